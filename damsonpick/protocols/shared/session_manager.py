"""All sessions of one pilot, on any wire: who is joined, what goes to whom, how far each has come. Sans I/O."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from damsonpick import interface as api
from damsonpick.protocols.shared.send_queue import Channel
from damsonpick.protocols.shared.session import Due, Session
from damsonpick.state.history.digest import Digest
from damsonpick.state.published_tables import FLEET, Change, PublishedTables

MOST_REFUSED = 10_000  # resources and versions whose refusers are remembered
SPARE = 60_000  # numbers from here on are for second streams under a node id that is taken


class Catalogue(Protocol):
    """What keeps ready-made texts of the units in step with what is published."""

    stopped: dict[str, str]  # unit: a version that too many refused

    def refresh(self, units: Iterable[str]) -> object: ...


class Waiting(NamedTuple):
    """A mark that a gateway has not yet answered for."""

    seq: int
    mark: int
    ordered: int


class Member:
    """A joined gateway."""

    def __init__(self, number: int, session: Session, now: int) -> None:
        self.number, self.session, self.since = number, session, now
        self.marks: deque[Waiting] = deque()
        self.acked_at = now


class SessionManager:
    """Streams, their queues and their marks.

    Args:
        published, catalogue: the state and its resources.
        channel: the queues.
        number_of: the lasting number of a node id.
    """

    def __init__(
        self, published: PublishedTables, catalogue: Catalogue, channel: Channel, number_of: Callable[[str], int]
    ) -> None:
        self.published, self.catalogue, self.channel, self.number_of = published, catalogue, channel, number_of
        self.members: dict[int, Member] = {}
        self.by: dict[Session, Member] = {}
        self.events: list[api.Event] = []  # for the module, in order
        self.spare = SPARE
        self.stop_share = 1.0
        self.refusers: dict[tuple[str, str], set[str]] = {}  # (resource, version): node ids that refused it
        self.stopped: list[tuple[str, str, int]] = []  # newly held back: resource, version, how many refused
        self.later: list[tuple[int, int, int, dict[str, set[str]]]] = []  # stages: at, number, seq, lines by unit

    def join(self, now: int, session: Session) -> Member:
        """A stream has asked for tables. Two under one node id are two members: a drain must bind both."""
        number = self.number_of(session.node)
        if number in self.members:
            number, self.spare = self.spare, self.spare + 1 if self.spare < 65_534 else SPARE
        member = Member(number, session, now)
        self.members[number], self.by[session] = member, member
        self.channel.join(number)
        self.events.append(api.ProxyJoined(number, session.zone, 0.0, session.fresh))
        return member

    def leave(self, session: Session) -> None:
        member = self.by.pop(session, None)
        if member is not None:
            del self.members[member.number]
            self.channel.leave(member.number)
            self.events.append(api.ProxyLeft(member.number))

    def publish(self, now: int, change: Change, stages: dict[str, int] | None = None) -> list[Session]:
        """Queue a change for every gateway it concerns; returns those that may answer for its marks now.

        Args:
            stages: ns to wait by zone of the gateways. Whoever needs a unit earlier, for a later change of it or
                because it joins, is sent it whole at once.
        """
        self.catalogue.refresh(change.lines)
        marks, idle = [Waiting(change.seq, mark, now) for mark in change.marks], []
        for member in self.members.values():
            mine = {unit: lines for unit, lines in change.lines.items() if member.session.wants(unit)}
            member.marks.extend(marks)
            wait = (stages or {}).get(member.session.zone, 0)
            if mine and wait:
                heapq.heappush(self.later, (now + wait, member.number, change.seq, mine))
            elif mine:
                self.channel.order(now, member.number, change.seq, mine, change.urgent)
            elif marks:
                idle.append(member.session)
        return idle

    def offer(self, now: int, session: Session, lines: dict[str, set[str]], urgent: bool) -> None:
        """Queue something for one session that no change of the tables brings: it takes the channel as any other."""
        member = self.by.get(session)
        if member is not None:
            self.channel.order(now, member.number, self.published.seq, lines, urgent)

    def pump(self, now: int) -> tuple[list[Session], int | None]:
        """Hand to sessions what may leave now; returns those and ns until more may, None if nothing waits."""
        stirred: list[Session] = []
        self._staged(now)
        while (parcel := self.channel.take(now)) is not None:
            session = self.members[parcel.gateway].session
            session.change(parcel.units, Due(parcel.first, parcel.ordered, parcel.lines))
            stirred.append(session)
            self.channel.open(parcel.gateway, session.ready())
        wake = self.channel.wake(now)
        if self.later:
            wake = min(wake, self.later[0][0] - now) if wake is not None else self.later[0][0] - now
        return stirred, wake

    def _staged(self, now: int) -> None:
        """Stages whose time has come; a stage does not begin while what it carries is held back."""
        while self.later and self.later[0][0] <= now:
            _, number, seq, mine = heapq.heappop(self.later)
            if number in self.members:
                self.channel.order(now, number, seq, mine, False)

    def hasten(self, now: int) -> None:
        """No stage waits any longer: servers may have begun to drain that only the new tables have left."""
        self.later = [(now, *rest) for _, *rest in self.later]

    def _refused(self, session: Session) -> None:
        """Count who refuses what: a resource refused by too many goes to nobody else. Withdrawals always go."""
        for name, version in session.refused:
            who = self.refusers.setdefault((name, version), set())
            who.add(session.node)
            if (
                name != FLEET
                and version
                and len(who) >= self.stop_share * max(2, len(self.members))
                and self.catalogue.stopped.get(name) != version
            ):
                self.catalogue.stopped[name] = version
                self.stopped.append((name, version, len(who)))
        session.refused.clear()
        if len(self.refusers) > MOST_REFUSED:
            self.refusers = {k: v for k, v in self.refusers.items() if self.catalogue.stopped.get(k[0]) == k[1]}

    def review(self, session: Session) -> bool:
        """A stream answered or was sent something: whether it takes more; True if something waits for it."""
        member = self.by.get(session)
        if member is None:
            return False
        ready = session.ready()
        self.channel.open(member.number, ready)
        return ready and bool(self.channel.waits[member.number].units)

    def settle(self, now: int, session: Session) -> None:
        """Tell the module of every mark that this gateway has now answered for."""
        if session.refused:
            self._refused(session)
        member = self.by.get(session)
        if member is None or not member.marks:
            return
        low = min(session.oldest(), self._queued(member.number))
        while member.marks and member.marks[0].seq < low:
            mark = member.marks.popleft()
            if any(first <= mark.seq <= upto for first, upto in session.void if first):
                continue  # rejected: not applied, and a later mark clears the module's books
            member.acked_at = now
            self.events.append(api.SyncAcknowledged(mark.mark, member.number, max(0, now - mark.ordered)))
        if not member.marks:
            session.void.clear()

    def _queued(self, number: int) -> int:
        wait = self.channel.waits.get(number)
        return wait.first if wait is not None and wait.units else 1 << 62

    def holders(self, now: int, roots: dict[str, int]) -> Iterable[dict[str, object]]:
        """Which version each gateway holds. `roots`: number by root.

        `verified`: it checks roots itself; otherwise it is what it has acknowledged. `version` None: what it holds
        is no kept version, such as halfway between two.
        """
        for _, member in sorted(self.members.items()):
            session = member.session
            held, since = session.held(), session.since()
            root = Digest(held).root()
            yield {
                "gateway": session.node,
                "zone": session.zone,
                "root": root,
                "version": roots.get(root),
                "pending": session.unanswered()
                + len(self.channel.waits[member.number].units)
                + sum(member.number == n for _, n, *_ in self.later),
                "since_s": round((now - since) / 1e9, 3) if since else None,
                "verified": session.roots,
                "rejected": dict(session.rejections),
            }

    def view(self, now: int) -> Iterable[dict[str, object]]:
        """For operators: what each gateway holds, what is under way and what it refused."""
        for number, member in sorted(self.members.items()):
            session, wait = member.session, self.channel.waits[number]
            low = min(session.oldest(), self._queued(number))
            yield {
                "gateway": session.node,
                "number": number,
                "zone": session.zone,
                "variant": session.variant,
                "acknowledged": min(self.published.seq, low - 1),
                "published": self.published.seq,
                "applied_s": round((now - member.acked_at) / 1e9, 3),
                "unanswered": session.unanswered(),
                "waiting_lines": wait.lines,
                "waiting_s": round((now - wait.ordered) / 1e9, 3) if wait.units else 0.0,
                "holds": session.holds(),
                "rejected": dict(session.rejections),
            }
