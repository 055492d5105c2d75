"""Registry of load balancers, their groups and members, and their access rights. Sans I/O.

A request is carried out completely or not at all: its reply code describes the first fault that is found, and a request
with a fault changes nothing. The flags of Set LB State belong to a session. Because two sessions may use the same load
balancer identifier, members may register themselves and set their own states only if every session with that
identifier has set the trust flag.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, Protocol

from damsonpick.protocols.sasp.layout import Code, Group, LbFlag, Member, MemberFlag, MemberGroup, Sender, StateGroup
from damsonpick.time_units import NS_PER_SECOND

# Time for which the registrations of a load balancer are kept after its last session has ended.
REGISTRATION_RETENTION_NS = 60 * NS_PER_SECOND
MAX_GROUP_BYTES = 65_535  # largest size that the length field of a component can represent
GROUP_HEAD_BYTES = 12  # encoded group without names and entries: two component heads, count, two name lengths
WEIGHT_BYTES = 32  # size of a weight entry with an empty label
MAX_SHARED_SNAPSHOTS = 10_000  # number of stored snapshots above which the snapshots that no group uses are dropped


class AccessLevel(IntEnum):
    """What a load balancer may do. Each level includes the levels below it."""

    REFUSE = 0
    READ = 1
    REGISTER = 2
    STATE = 3  # may also set member states


class Limits(NamedTuple):
    """Limits on registrations.

    Attributes:
        groups: Most groups of one load balancer.
        members: Most members of one group.
    """

    groups: int
    members: int


class RegisteredSession(Protocol):
    """The part of a session that the registry and its operator view use."""

    seen_seq: int

    def acknowledged_at(self) -> int:
        """Return the time of the last poll reply or push in nanoseconds, or 0 if there was none.

        SASP has no acknowledgements, so sending counts as acknowledgement.
        """


@dataclass(slots=True)
class MemberRegistration:
    """A registered member.

    Attributes:
        self_registered: Whether the member registered itself.
        state: Opaque value from Set Member State.
        quiesced: Whether the member must not get new work.
    """

    self_registered: bool
    state: int = 0
    quiesced: bool = False


class MemberSnapshot(NamedTuple):
    """Copy of a member and its registration: the inputs of its advice, apart from the state of the fleet."""

    member: Member
    state: int
    quiesced: bool
    self_registered: bool


@dataclass(slots=True, eq=False)
class RegisteredGroup:
    """A registered group.

    Attributes:
        key: Load balancer identifier and group name.
        coverage: Slices that the group covers: 'fleet', 'class NAME' or 'slices 0-9, 12'.
        members: Registrations by member, in the order of registration.
        snapshot: Snapshot of all members. Groups with equal members share one object, which allows comparison by
            identity.
    """

    key: Group
    coverage: str
    members: dict[Member, MemberRegistration] = field(default_factory=dict)
    snapshot: tuple[MemberSnapshot, ...] = ()


@dataclass(slots=True, eq=False)
class Balancer:
    """Sessions and registrations of one load balancer identifier.

    Attributes:
        sessions: Open sessions with their flags.
        groups: Registered groups by name.
        health: Health that the load balancer last sent, 0 to 127.
        disconnected_at: Time at which its last session ended, nanoseconds; 0 while a session is open.
    """

    sessions: dict[RegisteredSession, LbFlag] = field(default_factory=dict)
    groups: dict[bytes, RegisteredGroup] = field(default_factory=dict)
    health: int = 0
    disconnected_at: int = 0


class Registry:
    """Keeps all registrations and carries out the requests that change them.

    Args:
        limits: Limits on the registrations of one load balancer.
        coverage_of: Returns the coverage for a group name, or None if groups with this name are rejected.
        access_of: Returns the access level of a load balancer.
    """

    def __init__(
        self, limits: Limits, coverage_of: Callable[[bytes], str | None], access_of: Callable[[bytes], AccessLevel]
    ) -> None:
        """Create an empty registry."""
        self.limits = limits
        self.coverage_of = coverage_of
        self.access_of = access_of
        self.balancers: dict[bytes, Balancer] = {}
        self.revision = 0  # increases with each change of groups or members
        self._snapshots: dict[tuple[MemberSnapshot, ...], tuple[MemberSnapshot, ...]] = {}

    def may(self, lb: bytes, level: AccessLevel) -> bool:
        """Return whether a load balancer has at least this access level."""
        return self.access_of(lb) >= level

    # -- sessions

    def set_lb(self, session: RegisteredSession, lb: bytes, health: int, flags: LbFlag) -> Code:
        """Carry out Set LB State (RFC 4678, 6.5): a load balancer identifies itself, or changes its health or flags."""
        if not lb:
            return Code.EMPTY_LB_UID
        if not self.may(lb, AccessLevel.READ):
            return Code.NOT_FROM_SENDER
        self._join(session, lb, flags).health = health
        return Code.OK

    def _join(self, session: RegisteredSession, lb: bytes, flags: LbFlag) -> Balancer:
        balancer = self.balancers.setdefault(lb, Balancer())
        balancer.sessions[session] = flags
        balancer.disconnected_at = 0
        return balancer

    def leave(self, now: int, session: RegisteredSession) -> None:
        """Record that a session ended at `now` (ns).

        The registrations of its load balancer are kept for `REGISTRATION_RETENTION_NS`.
        """
        for balancer in self.balancers.values():
            had_session = balancer.sessions.pop(session, None) is not None
            if had_session and not balancer.sessions:
                balancer.disconnected_at = now

    def expire(self, now: int) -> list[bytes]:
        """Drop load balancers without a session for `REGISTRATION_RETENTION_NS` and return their identifiers."""
        expired = []
        for lb, balancer in self.balancers.items():
            if balancer.disconnected_at and now - balancer.disconnected_at >= REGISTRATION_RETENTION_NS:
                expired.append(lb)
        for lb in expired:
            del self.balancers[lb]
            self.revision += 1
        return expired

    def trusts_members(self, lb: bytes) -> bool:
        """Return whether members of this load balancer may register themselves and set their own states."""
        sessions = self.balancers[lb].sessions if lb in self.balancers else {}
        return bool(sessions) and all(flags & LbFlag.TRUST for flags in sessions.values())

    def session_count(self) -> int:
        """Return the number of sessions of all load balancers."""
        return sum(len(balancer.sessions) for balancer in self.balancers.values())

    # -- requests

    def register(self, session: RegisteredSession, sender: Sender, groups: Iterable[MemberGroup]) -> Code:
        """Carry out a registration request (RFC 4678, 6.1).

        If a load balancer sends the request and it is carried out, the session also becomes a session of each load
        balancer that the groups name.
        """
        seen: set[tuple[Group, Member]] = set()
        for group, members in groups:
            code = self._check_registration(sender, group, members, seen)
            if code != Code.OK:
                return code
        for group, members in groups:
            self._add(session, sender, group, members)
        return Code.OK

    def _check_registration(
        self, sender: Sender, group: Group, members: Sequence[Member], seen: set[tuple[Group, Member]]
    ) -> Code:
        """Return `Code.OK` if members may be added to a group, or the reply code of the rejection.

        `seen` collects the members of the whole request, so that a duplicate is found.
        """
        code = _check_names(group) or self._check_sender(sender, group.lb, AccessLevel.REGISTER)
        if code != Code.OK:
            return code
        balancer = self.balancers.get(group.lb)
        groups = balancer.groups if balancer is not None else {}
        registered = groups[group.name].members if group.name in groups else {}
        is_uncovered = self.coverage_of(group.name) is None
        exceeds_group_limit = group.name not in groups and len(groups) >= self.limits.groups
        if is_uncovered or exceeds_group_limit or not self._fits(group, [*registered, *members]):
            return Code.INVALID_GROUP
        for member in members:
            if (group, member) in seen:
                return Code.DUPLICATE_MEMBER
            if member in registered:
                return Code.ALREADY_REGISTERED
            seen.add((group, member))
        return Code.OK

    def _fits(self, group: Group, members: Sequence[Member]) -> bool:
        """Return whether a group with these members is within the limits of the settings and of the protocol."""
        return len(members) <= self.limits.members and _encoded_bytes(group, members) <= MAX_GROUP_BYTES

    def _add(self, session: RegisteredSession, sender: Sender, group: Group, members: Iterable[Member]) -> None:
        is_balancer = bool(sender & Sender.BALANCER)
        if is_balancer and session not in self.balancers.get(group.lb, Balancer()).sessions:
            self._join(session, group.lb, LbFlag(0))
        groups = self.balancers[group.lb].groups
        if group.name not in groups:
            coverage = self.coverage_of(group.name)
            assert coverage is not None, "_check_registration has checked the coverage"
            groups[group.name] = RegisteredGroup(group, coverage)
        registered = groups[group.name]
        for member in members:
            registered.members[member] = MemberRegistration(self_registered=not is_balancer)
        self._update_snapshot(registered)

    def deregister(self, session: RegisteredSession, sender: Sender, groups: tuple[MemberGroup, ...]) -> Code:
        """Carry out a deregistration request (RFC 4678, 6.2).

        If the request lists a group without members, the group is removed with all its members. If the request lists no
        groups, all groups of the session's load balancer are removed.
        """
        if not groups:
            return self._deregister_all(session, sender)
        seen: set[Group] = set()
        for group, members in groups:
            registered = self._find_changeable(sender, group, AccessLevel.REGISTER)
            if isinstance(registered, Code):
                return registered
            if group in seen:
                return Code.DUPLICATE_GROUP
            seen.add(group)
            if len(set(members)) != len(members):
                return Code.DUPLICATE_MEMBER
            if any(member not in registered.members for member in members):
                return Code.NOT_REGISTERED
        for group, members in groups:
            self._remove(group, members)
        return Code.OK

    def _deregister_all(self, session: RegisteredSession, sender: Sender) -> Code:
        """Remove all groups of each load balancer to which the session belongs."""
        balancers = [balancer for balancer in self.balancers.values() if session in balancer.sessions]
        if not sender & Sender.BALANCER or not balancers:
            return Code.UNKNOWN_LB
        for balancer in balancers:
            balancer.groups.clear()
        self.revision += 1
        return Code.OK

    def _remove(self, group: Group, members: Sequence[Member]) -> None:
        groups = self.balancers[group.lb].groups
        registered = groups[group.name]
        for member in members:
            del registered.members[member]
        if not members:
            del groups[group.name]
        self._update_snapshot(registered)

    def set_states(self, sender: Sender, groups: Iterable[StateGroup]) -> Code:
        """Carry out Set Member State (RFC 4678, 6.6): set opaque states and quiesce or resume members."""
        for group, states in groups:
            registered = self._find_changeable(sender, group, AccessLevel.STATE)
            if isinstance(registered, Code):
                return registered
            if len({state.member for state in states}) != len(states):
                return Code.DUPLICATE_MEMBER
            if any(state.member not in registered.members for state in states):
                return Code.NOT_REGISTERED
        for group, states in groups:
            registered = self.balancers[group.lb].groups[group.name]
            for member, state, flags in states:
                registration = registered.members[member]
                registration.state = state
                registration.quiesced = bool(flags & MemberFlag.QUIESCE)
            self._update_snapshot(registered)
        return Code.OK

    def find(self, group: Group) -> RegisteredGroup | Code:
        """Return a registered group, or the reply code with the reason if it cannot be read."""
        code = _check_names(group)
        if code != Code.OK:
            return code
        if not self.may(group.lb, AccessLevel.READ):
            return Code.NOT_FROM_SENDER
        return self._lookup(group)

    def _find_changeable(self, sender: Sender, group: Group, level: AccessLevel) -> RegisteredGroup | Code:
        """Return a registered group that this sender may change, or the reply code of the rejection."""
        code = _check_names(group) or self._check_sender(sender, group.lb, level)
        if code != Code.OK:
            return code
        return self._lookup(group)

    def _lookup(self, group: Group) -> RegisteredGroup | Code:
        if group.lb not in self.balancers:
            return Code.UNKNOWN_LB
        return self.balancers[group.lb].groups.get(group.name) or Code.UNKNOWN_GROUP

    def _check_sender(self, sender: Sender, lb: bytes, level: AccessLevel) -> Code:
        """Return `Code.OK` if this sender may change groups of a load balancer, or the reply code of the rejection."""
        if sender & Sender.BALANCER:
            return Code.OK if self.may(lb, level) else Code.NOT_FROM_SENDER
        if lb not in self.balancers or not self.balancers[lb].sessions:
            return Code.NO_BALANCER_YET
        return Code.OK if self.trusts_members(lb) else Code.NOT_FROM_SENDER

    def _update_snapshot(self, group: RegisteredGroup) -> None:
        self.revision += 1
        snapshot = tuple(
            MemberSnapshot(member, registration.state, registration.quiesced, registration.self_registered)
            for member, registration in group.members.items()
        )
        group.snapshot = self._snapshots.setdefault(snapshot, snapshot)
        if len(self._snapshots) > MAX_SHARED_SNAPSHOTS:
            self._drop_unused_snapshots()

    def _drop_unused_snapshots(self) -> None:
        self._snapshots = {}
        for balancer in self.balancers.values():
            for group in balancer.groups.values():
                self._snapshots[group.snapshot] = group.snapshot

    # -- the fleet

    def endpoints(self) -> dict[str, bool]:
        """Return the endpoints of all members of load balancers with access level STATE.

        The value is True if any registration of the endpoint is quiesced.
        """
        quiesced: dict[str, bool] = {}
        for lb, balancer in self.balancers.items():
            if not self.may(lb, AccessLevel.STATE):
                continue
            for group in balancer.groups.values():
                for member, registration in group.members.items():
                    endpoint = member.endpoint
                    quiesced[endpoint] = quiesced.get(endpoint, False) or registration.quiesced
        return quiesced


def _encoded_bytes(group: Group, members: Iterable[Member]) -> int:
    """Return the encoded size of a group's weights in bytes."""
    names = len(group.lb) + len(group.name)
    return GROUP_HEAD_BYTES + names + sum(WEIGHT_BYTES + len(member.label) for member in members)


def _check_names(group: Group) -> Code:
    if not group.lb:
        return Code.EMPTY_LB_UID
    return Code.OK if group.name else Code.EMPTY_GROUP_NAME
