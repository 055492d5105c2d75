"""Numbers, messages and components of SASP version 1 (RFC 4678). Types only.

All numbers are big-endian. A component is a type (2 bytes), a length (2 bytes, its own head included) and its fields.
"""

from __future__ import annotations

import ipaddress
from enum import IntEnum, IntFlag
from typing import NamedTuple

VERSION = 1
HEADER = 0x2010
HEADER_SIZE = 13  # bytes: type, length, version, message length, message id
MAX_WEIGHT = 65_535
IPV4_COMPATIBLE_PREFIX = bytes(12)
IPV4_MAPPED_PREFIX = b"\0" * 10 + b"\xff\xff"
TCP = 6  # IANA protocol number

# Types of components.
MEMBER = 0x3010
GROUP = 0x3011
WEIGHT = 0x3012
STATE = 0x3013
MEMBERS_OF = 0x4010
WEIGHTS_OF = 0x4011
STATES_OF = 0x4012


class Kind(IntEnum):
    """Types of messages."""

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
    NO_BALANCER_YET = 0x61  # a member registers itself, and its balancer has not contacted the manager


class LbFlag(IntFlag):
    """Flags of Set LB State."""

    PUSH = 0x01  # weights are to be sent without being asked for
    TRUST = 0x02  # members may register and set states themselves
    NO_CHANGE = 0x04  # members whose weights have not changed need not be sent


class Sender(IntFlag):
    """Who sends registrations and member states: without BALANCER, the member itself."""

    BALANCER = 0x01


class WeightFlag(IntFlag):
    """Flags of a weight entry."""

    CONTACT = 0x01  # the manager could contact the member
    QUIESCE = 0x02  # no new work is to go there
    REGISTERED = 0x04  # it registered itself
    CONFIDENT = 0x08  # the weight rests on recent load reports


class MemberFlag(IntFlag):
    """Flags of a member state."""

    QUIESCE = 0x01  # no new work is to go there


class Member(NamedTuple):
    """A member of a group."""

    protocol: int  # IANA protocol number
    port: int
    address: bytes  # 16 bytes; an IPv4 address as ::ffff:a.b.c.d
    label: bytes = b""

    @property
    def endpoint(self) -> str:
        """As endpoint lists write it. The mapped and the older compatible form of IPv4 are the same endpoint."""
        ip = ipaddress.IPv6Address(self.address)
        ipv4 = ip.ipv4_mapped
        is_compatible = self.address[:12] == IPV4_COMPATIBLE_PREFIX and self.address[12:14] != b"\0\0"
        if ipv4 is None and is_compatible:
            ipv4 = ipaddress.IPv4Address(self.address[12:])
        return f"{ipv4}:{self.port}" if ipv4 is not None else f"[{ip}]:{self.port}"


def member(endpoint: str, protocol: int = TCP, label: bytes = b"") -> Member:
    """The member of an endpoint such as 127.0.0.1:9001 or [::1]:9001.

    Raises:
        ValueError: the endpoint is no address with a port.
    """
    host, _, port = endpoint.rpartition(":")
    ip = ipaddress.ip_address(host.strip("[]"))
    packed = ip.packed if ip.version == 6 else IPV4_MAPPED_PREFIX + ip.packed
    return Member(protocol, int(port), packed, label)


class Group(NamedTuple):
    """A group's name, and the identifier of its load balancer."""

    lb: bytes
    name: bytes


class MembersOf(NamedTuple):
    """A group with some of its members."""

    group: Group
    members: tuple[Member, ...]


class Weight(NamedTuple):
    """A weight entry."""

    member: Member
    state: int  # opaque, as the member set it
    flags: WeightFlag
    weight: int  # 0 to 65535


class WeightsOf(NamedTuple):
    """A group with weights of its members."""

    group: Group
    weights: tuple[Weight, ...]


class MemberState(NamedTuple):
    """The state of a member."""

    member: Member
    state: int
    flags: MemberFlag


class StatesOf(NamedTuple):
    """A group with states of its members."""

    group: Group
    states: tuple[MemberState, ...]


class Register(NamedTuple):
    """Registration (6.1)."""

    sender: Sender
    groups: tuple[MembersOf, ...]


class Deregister(NamedTuple):
    """Deregistration (6.2); no groups: all of the sender's; a group without members: the whole group."""

    sender: Sender
    reason: int
    groups: tuple[MembersOf, ...]


class GetWeights(NamedTuple):
    """Get Weights (6.3); no groups: all of the sender's."""

    groups: tuple[Group, ...]


class WeightsReply(NamedTuple):
    """Get Weights Reply (6.3)."""

    code: int
    interval: int  # s until the next request is advised
    groups: tuple[WeightsOf, ...]


class SendWeights(NamedTuple):
    """Send Weights (6.4): a push."""

    groups: tuple[WeightsOf, ...]


class SetLbState(NamedTuple):
    """Set LB State (6.5)."""

    lb: bytes
    health: int  # 0 to 127, worst to best
    flags: LbFlag


class SetMemberState(NamedTuple):
    """Set Member State (6.6)."""

    sender: Sender
    groups: tuple[StatesOf, ...]


class Reply(NamedTuple):
    """A reply that holds a code alone; `kind` says which."""

    kind: Kind
    code: int


Body = Register | Deregister | GetWeights | WeightsReply | SendWeights | SetLbState | SetMemberState | Reply


class Message(NamedTuple):
    """One message."""

    number: int  # message id; a reply has that of its request
    body: Body
