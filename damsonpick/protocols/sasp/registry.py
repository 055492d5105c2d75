"""Registrations: load balancers, their groups and members, and what each may do. Sans I/O.

A request is carried out whole or not at all: the first thing wrong with it is its reply code, and nothing of it stays.
The flags of Set LB State belong to a session. Two sessions may use one load balancer identifier, so members may act for
themselves only where every session under that identifier has set the trust flag.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, Protocol

from damsonpick.protocols.sasp.layout import Code, Group, LbFlag, Member, MemberFlag, MembersOf, Sender, StatesOf
from damsonpick.time_units import NS_PER_SECOND

REGISTRATION_RETENTION_NS = 60 * NS_PER_SECOND  # that registrations outlive the last session of their load balancer
MAX_GROUP_BYTES = 65_535  # what the length of a component can tell
GROUP_HEAD_BYTES = 12  # of a group of weights: two component heads, the count and two lengths of names
WEIGHT_BYTES = 32  # of a weight entry without its label
MAX_SHARED_SNAPSHOTS = 10_000  # kept before those that no group has are dropped


class AccessLevel(IntEnum):
    """What a load balancer may do; each level includes those below it."""

    REFUSE = 0
    READ = 1
    REGISTER = 2
    STATE = 3  # set member states


class Limits(NamedTuple):
    """Limits on registrations.

    Attributes:
        groups: of one load balancer.
        members: of one group.
    """

    groups: int
    members: int


class RegisteredSession(Protocol):
    """A session, as the registry knows it."""

    seen_seq: int

    def acknowledged_at(self) -> int:
        """Time of the last poll reply or push, ns; 0: none. SASP acknowledges nothing, so what was sent counts."""


@dataclass(slots=True)
class MemberRegistration:
    """A registered member.

    Attributes:
        self_registered: the member itself asked for its registration.
        state: opaque, as it was set.
        quiesced: it is to get no new work.
    """

    self_registered: bool
    state: int = 0
    quiesced: bool = False


class MemberSnapshot(NamedTuple):
    """A member and its registration at one moment: what advice on it depends on, beside the fleet."""

    member: Member
    state: int
    quiesced: bool
    self_registered: bool


@dataclass(slots=True, eq=False)
class RegisteredGroup:
    """A registered group.

    Attributes:
        key: the load balancer and the name.
        coverage: what the group stands for: 'fleet', 'class NAME' or 'slices 0-9, 12'.
        members: in the order of their registration.
        snapshot: of all members; groups with equal members share one object, so that it may be compared by identity.
    """

    key: Group
    coverage: str
    members: dict[Member, MemberRegistration] = field(default_factory=dict)
    snapshot: tuple[MemberSnapshot, ...] = ()


@dataclass(slots=True, eq=False)
class Balancer:
    """All that stands under one load balancer identifier.

    Attributes:
        sessions: with the flags of each.
        groups: by name.
        health: as it last told, 0 to 127.
        disconnected_at: ns; when its last session ended; 0: one is open.
    """

    sessions: dict[RegisteredSession, LbFlag] = field(default_factory=dict)
    groups: dict[bytes, RegisteredGroup] = field(default_factory=dict)
    health: int = 0
    disconnected_at: int = 0


class Registry:
    """All registrations.

    Args:
        limits: on what one load balancer may register.
        coverage_of: what a group's name stands for; None: groups of that name are refused.
        access_of: what a load balancer may do.
    """

    def __init__(
        self, limits: Limits, coverage_of: Callable[[bytes], str | None], access_of: Callable[[bytes], AccessLevel]
    ) -> None:
        """Begin without registrations."""
        self.limits = limits
        self.coverage_of = coverage_of
        self.access_of = access_of
        self.balancers: dict[bytes, Balancer] = {}
        self.revision = 0  # grows with each change of groups or members
        self._snapshots: dict[tuple[MemberSnapshot, ...], tuple[MemberSnapshot, ...]] = {}

    def may(self, lb: bytes, level: AccessLevel) -> bool:
        """Whether a load balancer has this level of access."""
        return self.access_of(lb) >= level

    # -- sessions

    def set_lb(self, session: RegisteredSession, lb: bytes, health: int, flags: LbFlag) -> Code:
        """Carry out Set LB State (RFC 4678, 6.5): a load balancer makes itself known, or changes its flags."""
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
        """Note at `now` (ns) that a session has ended; what its load balancer registered stays for a while."""
        for balancer in self.balancers.values():
            had_session = balancer.sessions.pop(session, None) is not None
            if had_session and not balancer.sessions:
                balancer.disconnected_at = now

    def expire(self, now: int) -> list[bytes]:
        """Drop load balancers without a session for `REGISTRATION_RETENTION_NS`; returns their identifiers."""
        expired = []
        for lb, balancer in self.balancers.items():
            if balancer.disconnected_at and now - balancer.disconnected_at >= REGISTRATION_RETENTION_NS:
                expired.append(lb)
        for lb in expired:
            del self.balancers[lb]
            self.revision += 1
        return expired

    def trusts_members(self, lb: bytes) -> bool:
        """Whether members may register and set states themselves."""
        sessions = self.balancers[lb].sessions if lb in self.balancers else {}
        return bool(sessions) and all(flags & LbFlag.TRUST for flags in sessions.values())

    def session_count(self) -> int:
        """Sessions of all load balancers."""
        return sum(len(balancer.sessions) for balancer in self.balancers.values())

    # -- requests

    def register(self, session: RegisteredSession, sender: Sender, groups: Iterable[MembersOf]) -> Code:
        """Carry out a registration (RFC 4678, 6.1)."""
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
        """Whether members may be added to a group; `seen` collects those of the whole request."""
        code = _check_names(group) or self._check_sender(sender, group.lb, AccessLevel.REGISTER)
        if code != Code.OK:
            return code
        balancer = self.balancers.get(group.lb)
        groups = balancer.groups if balancer is not None else {}
        registered = groups[group.name].members if group.name in groups else {}
        is_refused = self.coverage_of(group.name) is None
        is_one_too_many = group.name not in groups and len(groups) >= self.limits.groups
        if is_refused or is_one_too_many or not self._fits(group, [*registered, *members]):
            return Code.INVALID_GROUP
        for member in members:
            if (group, member) in seen:
                return Code.DUPLICATE_MEMBER
            if member in registered:
                return Code.ALREADY_REGISTERED
            seen.add((group, member))
        return Code.OK

    def _fits(self, group: Group, members: Sequence[Member]) -> bool:
        """Whether a group with these members is within the limits of the settings and of the protocol."""
        return len(members) <= self.limits.members and _encoded_bytes(group, members) <= MAX_GROUP_BYTES

    def _add(self, session: RegisteredSession, sender: Sender, group: Group, members: Iterable[Member]) -> None:
        is_balancer = bool(sender & Sender.BALANCER)
        if is_balancer and session not in self.balancers.get(group.lb, Balancer()).sessions:
            self._join(session, group.lb, LbFlag(0))
        groups = self.balancers[group.lb].groups
        if group.name not in groups:
            coverage = self.coverage_of(group.name)
            assert coverage is not None, "checked before"
            groups[group.name] = RegisteredGroup(group, coverage)
        registered = groups[group.name]
        for member in members:
            registered.members[member] = MemberRegistration(self_registered=not is_balancer)
        self._update_snapshot(registered)

    def deregister(self, session: RegisteredSession, sender: Sender, groups: tuple[MembersOf, ...]) -> Code:
        """Carry out a deregistration (RFC 4678, 6.2); a group without members goes whole, no group means all."""
        if not groups:
            return self._deregister_all(session, sender)
        seen: set[Group] = set()
        for group, members in groups:
            registered = self._changeable(sender, group, AccessLevel.REGISTER)
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
        """Drop all groups of the session's load balancer."""
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

    def set_states(self, sender: Sender, groups: Iterable[StatesOf]) -> Code:
        """Carry out Set Member State (RFC 4678, 6.6): opaque states, and which members are quiesced."""
        for group, states in groups:
            registered = self._changeable(sender, group, AccessLevel.STATE)
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
        """A registered group, or the reply code that says why it cannot be had."""
        code = _check_names(group)
        if code != Code.OK:
            return code
        if not self.may(group.lb, AccessLevel.READ):
            return Code.NOT_FROM_SENDER
        return self._lookup(group)

    def _changeable(self, sender: Sender, group: Group, level: AccessLevel) -> RegisteredGroup | Code:
        """A registered group that this sender may change, or the reply code that says why not."""
        code = _check_names(group) or self._check_sender(sender, group.lb, level)
        if code != Code.OK:
            return code
        return self._lookup(group)

    def _lookup(self, group: Group) -> RegisteredGroup | Code:
        if group.lb not in self.balancers:
            return Code.UNKNOWN_LB
        return self.balancers[group.lb].groups.get(group.name) or Code.UNKNOWN_GROUP

    def _check_sender(self, sender: Sender, lb: bytes, level: AccessLevel) -> Code:
        """Whether this sender may change groups of that load balancer."""
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
        """Endpoints of members of load balancers with access level STATE, and whether any registration is quiesced."""
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
    """Bytes of a group's weights on the wire."""
    names = len(group.lb) + len(group.name)
    return GROUP_HEAD_BYTES + names + sum(WEIGHT_BYTES + len(member.label) for member in members)


def _check_names(group: Group) -> Code:
    if not group.lb:
        return Code.EMPTY_LB_UID
    return Code.OK if group.name else Code.EMPTY_GROUP_NAME
