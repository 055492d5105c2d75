"""All streams of one pilot: who is joined, what goes to whom, and how far each has come. Sans I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.channel.queue import Channel
from damsonpick.tables.published import Change, Published
from damsonpick.xds.names import SHORT
from damsonpick.xds.resources import Catalogue
from damsonpick.xds.session import Due, Session

SPARE = 60_000  # numbers from here on are for second streams under a node id that is taken


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


class Hub:
    """Streams, their queues and their marks.

    Args:
        published, catalogue: the state and its resources.
        channel: the queues.
        number_of: the lasting number of a node id.
    """

    def __init__(self, published: Published, catalogue: Catalogue, channel: Channel,
                 number_of: Callable[[str], int]) -> None:
        self.published, self.catalogue, self.channel, self.number_of = published, catalogue, channel, number_of
        self.members: dict[int, Member] = {}
        self.by: dict[Session, Member] = {}
        self.events: list[api.Event] = []  # for the module, in order
        self.spare = SPARE

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

    def publish(self, now: int, change: Change) -> list[Session]:
        """Queue a change for every gateway it concerns; returns those that may answer for its marks now."""
        self.catalogue.refresh(change.lines)
        marks, idle = [Waiting(change.seq, mark, now) for mark in change.marks], []
        for member in self.members.values():
            mine = {unit: lines for unit, lines in change.lines.items() if member.session.wants(unit)}
            member.marks.extend(marks)
            if mine:
                self.channel.order(now, member.number, change.seq, mine, change.urgent)
            elif marks:
                idle.append(member.session)
        return idle

    def pump(self, now: int) -> tuple[list[Session], int | None]:
        """Hand to sessions what may leave now; returns those and ns until more may, None if nothing waits."""
        stirred: list[Session] = []
        while (parcel := self.channel.take(now)) is not None:
            session = self.members[parcel.gateway].session
            session.change(parcel.units, Due(parcel.first, parcel.ordered, parcel.lines))
            stirred.append(session)
            self.channel.open(parcel.gateway, session.ready())
        return stirred, self.channel.wake(now)

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
        member = self.by.get(session)
        if member is None or not member.marks:
            return
        low = min(session.oldest(), self._queued(member.number))
        while member.marks and member.marks[0].seq < low:
            mark = member.marks.popleft()
            if any(first <= mark.seq <= upto for first, upto in session.void if first):
                continue  # rejected: not applied, and a later mark clears the module's books
            member.acked_at = now
            self.events.append(api.Applied(mark.mark, member.number, max(0, now - mark.ordered)))
        if not member.marks:
            session.void.clear()

    def _queued(self, number: int) -> int:
        wait = self.channel.waits.get(number)
        return wait.first if wait is not None and wait.units else 1 << 62

    def view(self, now: int) -> Iterable[dict[str, object]]:
        """For operators: what each gateway holds, what is under way and what it refused."""
        for number, member in sorted(self.members.items()):
            session, wait = member.session, self.channel.waits[number]
            low = min(session.oldest(), self._queued(number))
            yield {
                "gateway": session.node, "number": number, "zone": session.zone, "variant": session.variant,
                "acknowledged": min(self.published.seq, low - 1), "published": self.published.seq,
                "applied_s": round((now - member.acked_at) / 1e9, 3), "unanswered": session.unanswered(),
                "waiting_lines": wait.lines,
                "waiting_s": round((now - wait.ordered) / 1e9, 3) if wait.units else 0.0,
                "holds": {SHORT[kind]: len(w.held) for kind, w in session.watches.items()},
                "rejected": dict(session.rejections),
            }
