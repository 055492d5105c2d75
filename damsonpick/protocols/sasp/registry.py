"""Who is registered: balancers, their groups and members, and what each may do. Sans I/O.

A request is carried out whole or not at all: the first thing wrong with it is its reply code, and nothing of it stays.
Flags of a balancer are each session's own; a member may speak for itself only where every session under that identifier
trusts members, as two may use one identifier.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from damsonpick.protocols.sasp.layout import Code, Group, LbFlag, Member, MemberFlag, MembersOf, Sender, StatesOf

SECOND = 1_000_000_000
GONE = 60 * SECOND  # ns that registrations outlive the last session of their balancer
LARGEST = 65_535  # bytes that a group's component can say it has
MOST_LOOKS = 10_000  # kept before those that no group has are dropped
RIGHTS = ("refuse", "read", "register", "state")  # each includes those before it


def _size(group: Group, members: Iterable[Member]) -> int:
    """Bytes of a group's weights on the wire."""
    return 12 + len(group.lb) + len(group.name) + sum(32 + len(m.label) for m in members)


class Limits(NamedTuple):
    groups: int  # of one balancer
    members: int  # of one group


class Entry:
    """A registered member."""

    def __init__(self, own: bool) -> None:
        self.own = own  # it registered itself
        self.state = 0
        self.quiesced = False


class GroupOf:
    """A registered group."""

    def __init__(self, key: Group, covers: str) -> None:
        self.key, self.covers = key, covers
        self.members: dict[Member, Entry] = {}
        self.look: tuple[tuple[Member, int, bool, bool], ...] = ()  # all that advice depends on, but the fleet


class Balancer:
    """One identifier."""

    def __init__(self) -> None:
        self.sessions: dict[Any, LbFlag] = {}  # flags by session
        self.groups: dict[bytes, GroupOf] = {}
        self.health = 0
        self.gone = 0  # ns: when its last session left; 0: one is there


class Registry:
    """Args: limits; covers: what a group's name stands for, None if groups of that name are not served; rights: of a
    balancer, one of RIGHTS."""

    def __init__(self, limits: Limits, covers: Any, rights: Any) -> None:
        self.limits, self.covers, self.rights = limits, covers, rights
        self.balancers: dict[bytes, Balancer] = {}
        self.stamp = 0  # grows with each change of anything
        self.looks: dict[tuple, tuple] = {}

    def may(self, lb: bytes, right: str) -> bool:
        return RIGHTS.index(self.rights(lb)) >= RIGHTS.index(right)

    # -- sessions

    def set_lb(self, session: Any, lb: bytes, health: int, flags: LbFlag) -> Code:
        """A balancer has made itself known, or changed its flags."""
        if not lb:
            return Code.EMPTY_LB_UID
        if not self.may(lb, "read"):
            return Code.NOT_FROM_SENDER
        self._join(session, lb, flags).health = health
        return Code.OK

    def _join(self, session: Any, lb: bytes, flags: LbFlag) -> Balancer:
        balancer = self.balancers.setdefault(lb, Balancer())
        balancer.sessions[session], balancer.gone = flags, 0
        return balancer

    def leave(self, now: int, session: Any) -> None:
        """A session has ended; what its balancer registered stays for a while."""
        for balancer in self.balancers.values():
            if balancer.sessions.pop(session, None) is not None and not balancer.sessions:
                balancer.gone = now

    def expire(self, now: int) -> list[bytes]:
        """Forget balancers that have been gone for long; returns which."""
        out = [lb for lb, b in self.balancers.items() if b.gone and now - b.gone >= GONE]
        for lb in out:
            del self.balancers[lb]
            self.stamp += 1
        return out

    def trusts(self, lb: bytes) -> bool:
        """Whether members may speak for themselves."""
        sessions = self.balancers[lb].sessions if lb in self.balancers else {}
        return bool(sessions) and all(flags & LbFlag.TRUST for flags in sessions.values())

    # -- requests

    def register(self, session: Any, sender: Sender, groups: Iterable[MembersOf]) -> Code:
        seen: set[tuple[Group, Member]] = set()
        for group, members in groups:
            if code := self._named(group) or self._speaks(sender, group.lb, "register"):
                return code
            balancer = self.balancers.get(group.lb)
            have = balancer.groups.get(group.name) if balancer else None
            if self.covers(group.name) is None:
                return Code.INVALID_GROUP
            fresh = have is None and len(balancer.groups if balancer else ()) >= self.limits.groups
            every = [*(have.members if have else ()), *members]
            if fresh or len(every) > self.limits.members or _size(group, every) > LARGEST:
                return Code.INVALID_GROUP
            for member in members:
                if (group, member) in seen:
                    return Code.DUPLICATE_MEMBER
                if have is not None and member in have.members:
                    return Code.ALREADY_REGISTERED
                seen.add((group, member))
        for group, members in groups:
            self._add(session, sender, group, members)
        return Code.OK

    def _add(self, session: Any, sender: Sender, group: Group, members: Iterable[Member]) -> None:
        if sender & Sender.BALANCER and session not in self.balancers.get(group.lb, Balancer()).sessions:
            self._join(session, group.lb, LbFlag(0))
        balancer = self.balancers[group.lb]
        made = balancer.groups.setdefault(group.name, GroupOf(group, self.covers(group.name)))
        for member in members:
            made.members[member] = Entry(own=not sender & Sender.BALANCER)
        self._touch(made)

    def deregister(self, session: Any, sender: Sender, groups: tuple[MembersOf, ...]) -> Code:
        if not groups:
            return self._all_of(session, sender)
        seen: set[Group] = set()
        for group, members in groups:
            have = self._changeable(sender, group, "register")
            if isinstance(have, Code):
                return have
            if group in seen:
                return Code.DUPLICATE_GROUP
            seen.add(group)
            if len(dict.fromkeys(members)) != len(members):
                return Code.DUPLICATE_MEMBER
            if any(member not in have.members for member in members):
                return Code.NOT_REGISTERED
        for group, members in groups:
            self._remove(group, members)
        return Code.OK

    def _all_of(self, session: Any, sender: Sender) -> Code:
        """No group named: all groups of the session's balancer."""
        mine = [b for b in self.balancers.values() if session in b.sessions]
        if not sender & Sender.BALANCER or not mine:
            return Code.UNKNOWN_LB
        for balancer in mine:
            balancer.groups.clear()
        self.stamp += 1
        return Code.OK

    def _remove(self, group: Group, members: Iterable[Member]) -> None:
        balancer = self.balancers[group.lb]
        have = balancer.groups[group.name]
        for member in members:
            del have.members[member]
        if not members:
            del balancer.groups[group.name]
        self._touch(have)

    def set_states(self, sender: Sender, groups: Iterable[StatesOf]) -> Code:
        """Opaque states, and who is to get no new work."""
        for group, states in groups:
            have = self._changeable(sender, group, "state")
            if isinstance(have, Code):
                return have
            if len({s.member for s in states}) != len(states):
                return Code.DUPLICATE_MEMBER
            if any(s.member not in have.members for s in states):
                return Code.NOT_REGISTERED
        for group, states in groups:
            have = self.balancers[group.lb].groups[group.name]
            for member, state, flags in states:
                entry = have.members[member]
                entry.state, entry.quiesced = state, bool(flags & MemberFlag.QUIESCE)
            self._touch(have)
        return Code.OK

    def find(self, group: Group) -> GroupOf | Code:
        """A registered group, or why it cannot be had."""
        if code := self._named(group):
            return code
        if not self.may(group.lb, "read"):
            return Code.NOT_FROM_SENDER
        if group.lb not in self.balancers:
            return Code.UNKNOWN_LB
        return self.balancers[group.lb].groups.get(group.name) or Code.UNKNOWN_GROUP

    def _changeable(self, sender: Sender, group: Group, right: str) -> GroupOf | Code:
        """A registered group that this sender may change, or why not."""
        if code := self._named(group) or self._speaks(sender, group.lb, right):
            return code
        if group.lb not in self.balancers:
            return Code.UNKNOWN_LB
        return self.balancers[group.lb].groups.get(group.name) or Code.UNKNOWN_GROUP

    def _named(self, group: Group) -> Code:
        if not group.lb:
            return Code.EMPTY_LB_UID
        return Code.OK if group.name else Code.EMPTY_GROUP_NAME

    def _speaks(self, sender: Sender, lb: bytes, right: str) -> Code:
        """Whether this sender may change groups of that balancer."""
        if sender & Sender.BALANCER:
            return Code.OK if self.may(lb, right) else Code.NOT_FROM_SENDER
        if lb not in self.balancers or not self.balancers[lb].sessions:
            return Code.NO_BALANCER_YET
        return Code.OK if self.trusts(lb) else Code.NOT_FROM_SENDER

    def _touch(self, group: GroupOf) -> None:
        self.stamp += 1
        look = tuple((m, e.state, e.quiesced, e.own) for m, e in group.members.items())
        group.look = self.looks.setdefault(look, look)  # one for all groups with the same members: found by identity
        if len(self.looks) > MOST_LOOKS:
            self.looks = {g.look: g.look for b in self.balancers.values() for g in b.groups.values()}

    # -- what follows for the fleet

    def endpoints(self) -> dict[str, bool]:
        """Endpoints of all members of trusted balancers, and whether any of their entries is quiesced."""
        found: dict[str, bool] = {}
        for lb, balancer in self.balancers.items():
            if not self.may(lb, "state"):
                continue
            for group in balancer.groups.values():
                for member, entry in group.members.items():
                    found[member.endpoint] = found.get(member.endpoint, False) or entry.quiesced
        return found
