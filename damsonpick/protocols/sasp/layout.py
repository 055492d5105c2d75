"""Constants and types for the messages and components of SASP version 1 (RFC 4678). Contains no logic for encoding.

All numbers are big-endian. A component consists of a type (2 bytes), a length (2 bytes) and its fields. The length
includes the type and the length themselves.
"""

from __future__ import annotations

import ipaddress
from enum import IntEnum, IntFlag
from typing import NamedTuple

VERSION = 1
HEADER = 0x2010  # component type of the message header
HEADER_SIZE = 13  # bytes: type, length, version, message length, message id
MAX_WEIGHT = 65_535
IPV4_COMPATIBLE_PREFIX = bytes(12)
IPV4_MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"
TCP = 6  # IANA protocol number

# Component types.
MEMBER = 0x3010
GROUP = 0x3011
WEIGHT = 0x3012
STATE = 0x3013
MEMBERS_OF = 0x4010
WEIGHTS_OF = 0x4011
STATES_OF = 0x4012


class Kind(IntEnum):
    """Message types."""

    REGISTER = 0x1010
    REGISTER_REPLY = 0x1015
    DEREGISTER = 0x1020
    DEREGISTER_REPLY = 0x1025
    GET_WEIGHTS = 0x1030
    GET_WEIGHTS_REPLY = 0x1035
    SEND_WEIGHTS = 0x1040
    SET_LB_STATE = 0x1050
    SET_LB_STATE_REPLY = 0x1055
    SET_MEMBER_STATE = 0x1060
    SET_MEMBER_STATE_REPLY = 0x1065


class Code(IntEnum):
    """Reply codes."""

    OK = 0x00
    NOT_UNDERSTOOD = 0x10
    NOT_FROM_SENDER = 0x11
    ALREADY_REGISTERED = 0x40
    NOT_REGISTERED = 0x41
    UNKNOWN_GROUP = 0x42
    UNKNOWN_LB = 0x43
    DUPLICATE_MEMBER = 0x44
    INVALID_GROUP = 0x45
    DUPLICATE_GROUP = 0x46
    EMPTY_GROUP_NAME = 0x50
    EMPTY_LB_UID = 0x51
    NO_BALANCER_YET = 0x61  # a member registers itself, but its load balancer has no session with the manager


class LbFlag(IntFlag):
    """Flags of the Set LB State message."""

    PUSH = 0x01  # the load balancer wants weights pushed to it, without polling
    TRUST = 0x02  # members may register themselves and set their own states
    NO_CHANGE = 0x04  # the manager may omit members whose weights have not changed


class Sender(IntFlag):
    """Sender of a request about members: the load balancer if BALANCER is set, else the member itself."""

    BALANCER = 0x01


class WeightFlag(IntFlag):
    """Flags of a weight entry."""

    CONTACT = 0x01  # the manager was able to contact the member
    QUIESCE = 0x02  # the member must not get new work
    REGISTERED = 0x04  # the member registered itself
    CONFIDENT = 0x08  # the weight is based on recent load reports


class MemberFlag(IntFlag):
    """Flags of a member state."""

    QUIESCE = 0x01  # the member must not get new work


class Member(NamedTuple):
    """A member of a group."""

    protocol: int  # IANA protocol number
    port: int
    address: bytes  # 16 bytes; an IPv4 address is stored as ::ffff:a.b.c.d
    label: bytes = b""

    @property
    def endpoint(self) -> str:
        """The member's address and port in the format of endpoint lists.

        The IPv4-mapped and the older IPv4-compatible form of an address give the same endpoint.
        """
        ip = ipaddress.IPv6Address(self.address)
        ipv4 = ip.ipv4_mapped
        is_compatible = self.address[:12] == IPV4_COMPATIBLE_PREFIX and self.address[12:14] != b"\0\0"
        if ipv4 is None and is_compatible:
            ipv4 = ipaddress.IPv4Address(self.address[12:])
        return f"{ipv4}:{self.port}" if ipv4 is not None else f"[{ip}]:{self.port}"


def member(endpoint: str, protocol: int = TCP, label: bytes = b"") -> Member:
    """Return the member for an endpoint such as 127.0.0.1:9001 or [::1]:9001.

    Raises:
        ValueError: The endpoint is not an IP address with a port.
    """
    host, _, port = endpoint.rpartition(":")
    ip = ipaddress.ip_address(host.strip("[]"))
    packed = ip.packed if ip.version == 6 else IPV4_MAPPED_PREFIX + ip.packed
    return Member(protocol, int(port), packed, label)


class Group(NamedTuple):
    """Key of a group: the identifier of its load balancer and the group's name."""

    lb: bytes
    name: bytes


class MemberGroup(NamedTuple):
    """A group with some of its members."""

    group: Group
    members: tuple[Member, ...]


class Weight(NamedTuple):
    """A weight entry: the advice on one member."""

    member: Member
    state: int  # opaque value that the member or its load balancer set
    flags: WeightFlag
    weight: int  # 0 to 65535


class WeightGroup(NamedTuple):
    """A group with weights of its members."""

    group: Group
    weights: tuple[Weight, ...]


class MemberState(NamedTuple):
    """The state of a member, as set by Set Member State."""

    member: Member
    state: int
    flags: MemberFlag


class StateGroup(NamedTuple):
    """A group with states of its members."""

    group: Group
    states: tuple[MemberState, ...]


class Register(NamedTuple):
    """Registration request (RFC 4678, 6.1)."""

    sender: Sender
    groups: tuple[MemberGroup, ...]


class Deregister(NamedTuple):
    """Deregistration request (RFC 4678, 6.2).

    A request without groups applies to all groups of the sender. A group that is listed without members is deregistered
    with all its members.
    """

    sender: Sender
    reason: int
    groups: tuple[MemberGroup, ...]


class GetWeights(NamedTuple):
    """Get Weights request (RFC 4678, 6.3): a poll. A request without groups asks for all groups of the sender."""

    groups: tuple[Group, ...]


class WeightsReply(NamedTuple):
    """Get Weights Reply (RFC 4678, 6.3)."""

    code: int
    interval: int  # advised time until the next poll, seconds
    groups: tuple[WeightGroup, ...]


class SendWeights(NamedTuple):
    """Send Weights (RFC 4678, 6.4): a push, which the manager sends without a request."""

    groups: tuple[WeightGroup, ...]


class SetLbState(NamedTuple):
    """Set LB State request (RFC 4678, 6.5)."""

    lb: bytes
    health: int  # from 0 (worst) to 127 (best)
    flags: LbFlag


class SetMemberState(NamedTuple):
    """Set Member State request (RFC 4678, 6.6)."""

    sender: Sender
    groups: tuple[StateGroup, ...]


class Reply(NamedTuple):
    """A reply that consists of a reply code only. `kind` is its message type."""

    kind: Kind
    code: int


Body = Register | Deregister | GetWeights | WeightsReply | SendWeights | SetLbState | SetMemberState | Reply


class Message(NamedTuple):
    """One SASP message."""

    number: int  # message id; a reply repeats the id of its request
    body: Body
