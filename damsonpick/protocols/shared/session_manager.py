"""All sessions of one controller, in any protocol: who is connected, what goes to whom, how far each has come.

Sans I/O: time comes in as nanoseconds.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple, Protocol

from damsonpick import interface as api
from damsonpick.protocols.shared.send_queue import SendQueue
from damsonpick.protocols.shared.session import CoveredChanges, RejectedVersion, Session
from damsonpick.state.history.digest import Digest
from damsonpick.state.published_tables import FLEET, Change, PublishedTables

MAX_REMEMBERED_REJECTIONS = 10_000  # versions whose rejecting nodes are remembered
FIRST_DUPLICATE_NUMBER = 60_000  # client numbers from here on are for second streams under a node id in use
LAST_DUPLICATE_NUMBER = 65_534
NO_CHANGE = 1 << 62  # above all sequence numbers


class Catalogue(Protocol):
    """Keeps the units ready to be sent, in step with what is published.

    Attributes:
        stopped: by unit, a version that too many clients rejected: it goes to nobody else.
    """

    stopped: dict[str, str]

    def refresh(self, units: Iterable[str]) -> object:
        """Take over what is published of some units."""


class PendingToken(NamedTuple):
    """A sync token that a client has not acknowledged yet."""

    seq: int
    token: int
    ordered_at: int  # ns


class StagedChange(NamedTuple):
    """Changed entries that a client is sent later, for a rollout by zone. The order of the fields orders the heap."""

    due_at: int  # ns
    client: int
    seq: int
    entries: dict[str, set[str]]


class StoppedRollout(NamedTuple):
    """A version that goes to no further client."""

    unit: str
    version: str
    rejections: int  # nodes that rejected it


class Dispatch(NamedTuple):
    """What `SessionManager.dispatch` has done.

    Attributes:
        sessions: those that have something to send now.
        next_due: ns until more may leave; None: nothing waits.
    """

    sessions: list[Session]
    next_due: int | None


class Client:
    """A connected client.

    Args:
        number: the lasting number of its node id, or one for a second stream under it.
        session: its session.
        now: ns.
    """

    def __init__(self, number: int, session: Session, now: int) -> None:
        """Start with nothing to acknowledge."""
        self.number = number
        self.session = session
        self.pending_tokens: deque[PendingToken] = deque()  # by sequence number
        self.acknowledged_at = now  # ns; when it last acknowledged a sync token


class SessionManager:
    """The sessions, what waits for them, and the sync tokens they have not acknowledged.

    Args:
        published: the published state.
        catalogue: keeps its units ready to be sent.
        send_queue: what waits for each client.
        number_of: the lasting number of a node id.
    """

    def __init__(
        self, published: PublishedTables, catalogue: Catalogue, send_queue: SendQueue, number_of: Callable[[str], int]
    ) -> None:
        """Start without clients."""
        self.published = published
        self.catalogue = catalogue
        self.send_queue = send_queue
        self.number_of = number_of
        self.clients: dict[int, Client] = {}  # by number
        self.by_session: dict[Session, Client] = {}
        self.events: list[api.Event] = []  # for the planner, in order
        self.stop_share = 1.0  # of the clients; a version that so many rejected goes to no further one
        self.stopped_rollouts: list[StoppedRollout] = []  # newly stopped, for the log
        self._next_duplicate_number = FIRST_DUPLICATE_NUMBER
        self._rejecting_nodes: dict[RejectedVersion, set[str]] = {}
        self._staged: list[StagedChange] = []  # heap

    # -- who is connected

    def join(self, now: int, session: Session) -> Client:
        """A session has asked for tables.

        Two sessions under one node id are two clients: a drain must bind both.
        """
        number = self.number_of(session.node)
        if number in self.clients:
            number = self._duplicate_number()
        client = Client(number, session, now)
        self.clients[number] = client
        self.by_session[session] = client
        self.send_queue.join(number)
        self.events.append(api.ProxyJoined(number, session.zone, 0.0, session.fresh))
        return client

    def _duplicate_number(self) -> int:
        number = self._next_duplicate_number
        self._next_duplicate_number = number + 1 if number < LAST_DUPLICATE_NUMBER else FIRST_DUPLICATE_NUMBER
        return number

    def leave(self, session: Session) -> None:
        """A session has ended; one that never asked for tables is ignored."""
        client = self.by_session.pop(session, None)
        if client is not None:
            del self.clients[client.number]
            self.send_queue.leave(client.number)
            self.events.append(api.ProxyLeft(client.number))

    # -- what goes to whom

    def publish(self, now: int, change: Change, delay_by_zone: Mapping[str, int] | None = None) -> list[Session]:
        """Queue a change for every client it concerns.

        Args:
            now: ns.
            change: what has changed.
            delay_by_zone: ns that clients of a zone wait. A client that needs a unit earlier, for a later change of it
                or because it joins, is sent it whole at once.

        Returns:
            Sessions that the change does not concern, and which may acknowledge its sync tokens now.
        """
        self.catalogue.refresh(change.entries)
        tokens = [PendingToken(change.seq, token, now) for token in change.sync_tokens]
        idle: list[Session] = []
        for client in self.clients.values():
            client.pending_tokens.extend(tokens)
            entries = _subscribed_entries(client.session, change)
            delay = (delay_by_zone or {}).get(client.session.zone, 0)
            if entries and delay:
                heapq.heappush(self._staged, StagedChange(now + delay, client.number, change.seq, entries))
            elif entries:
                self.send_queue.enqueue(now, client.number, change.seq, entries, change.urgent)
            elif tokens:
                idle.append(client.session)
        return idle

    def enqueue(self, now: int, session: Session, entries: Mapping[str, set[str]], urgent: bool) -> None:
        """Queue entries for one session that no change of the tables brings; they count against the budget as any."""
        client = self.by_session.get(session)
        if client is not None:
            self.send_queue.enqueue(now, client.number, self.published.seq, entries, urgent)

    def dispatch(self, now: int) -> Dispatch:
        """Hand sessions what may leave now."""
        sessions: list[Session] = []
        self._enqueue_staged(now)
        while (message := self.send_queue.next_message(now)) is not None:
            session = self.clients[message.client].session
            session.enqueue(message.units, CoveredChanges(message.first_seq, message.ordered_at, message.entries))
            sessions.append(session)
            self.send_queue.set_ready(message.client, session.ready())
        return Dispatch(sessions, self._next_due(now))

    def _next_due(self, now: int) -> int | None:
        """ns until more may leave; None: nothing waits."""
        due = self.send_queue.next_due(now)
        if not self._staged:
            return due
        staged_due = self._staged[0].due_at - now
        return staged_due if due is None else min(due, staged_due)

    def _enqueue_staged(self, now: int) -> None:
        """Queue staged changes whose time has come."""
        while self._staged and self._staged[0].due_at <= now:
            staged = heapq.heappop(self._staged)
            if staged.client in self.clients:
                self.send_queue.enqueue(now, staged.client, staged.seq, staged.entries, False)

    def release_staged(self, now: int) -> None:
        """Let no staged change wait any longer: endpoints may drain now that only the new tables have dropped."""
        self._staged = [staged._replace(due_at=now) for staged in self._staged]

    def update_ready(self, session: Session) -> bool:
        """A session was answered or has sent something: note whether it takes more.

        Returns:
            Whether something waits that it takes now.
        """
        client = self.by_session.get(session)
        if client is None:
            return False
        ready = session.ready()
        self.send_queue.set_ready(client.number, ready)
        return ready and bool(self.send_queue.pending[client.number].units)

    # -- how far each has come

    def acknowledge(self, now: int, session: Session) -> None:
        """Tell the planner of every sync token that a client has now acknowledged, and note what it rejected."""
        if session.newly_rejected:
            self._count_rejections(session)
        client = self.by_session.get(session)
        if client is None or not client.pending_tokens:
            return
        unacknowledged = self._oldest_unacknowledged(client)
        while client.pending_tokens and client.pending_tokens[0].seq < unacknowledged:
            pending = client.pending_tokens.popleft()
            if _rejected(session, pending.seq):
                continue  # the change was not applied; a later token tells the planner what is
            client.acknowledged_at = now
            delay = max(0, now - pending.ordered_at)
            self.events.append(api.SyncAcknowledged(pending.token, client.number, delay))
        if not client.pending_tokens:
            session.rejected_ranges.clear()

    def _oldest_unacknowledged(self, client: Client) -> int:
        """The lowest sequence number that is queued for a client or sent to it, or a number above all."""
        return min(client.session.oldest_unacknowledged(), self._oldest_queued(client.number))

    def _oldest_queued(self, number: int) -> int:
        pending = self.send_queue.pending.get(number)
        return pending.first_seq if pending is not None and pending.units else NO_CHANGE

    def _count_rejections(self, session: Session) -> None:
        """Count which nodes reject a version; one that too many reject goes to no further client."""
        for rejected in session.newly_rejected:
            nodes = self._rejecting_nodes.setdefault(rejected, set())
            nodes.add(session.node)
            if self._stops_rollout(rejected, len(nodes)):
                self.catalogue.stopped[rejected.unit] = rejected.version
                self.stopped_rollouts.append(StoppedRollout(*rejected, len(nodes)))
        session.newly_rejected.clear()
        if len(self._rejecting_nodes) > MAX_REMEMBERED_REJECTIONS:
            self._forget_rejections()

    def _stops_rollout(self, rejected: RejectedVersion, rejections: int) -> bool:
        """Whether a version is rejected by too many; withdrawals are never stopped."""
        if rejected.unit == FLEET or not rejected.version:
            return False
        if self.catalogue.stopped.get(rejected.unit) == rejected.version:
            return False
        return rejections >= self.stop_share * max(2, len(self.clients))

    def _forget_rejections(self) -> None:
        """Keep only those of versions that are stopped."""
        stopped = self.catalogue.stopped
        self._rejecting_nodes = {
            rejected: nodes
            for rejected, nodes in self._rejecting_nodes.items()
            if stopped.get(rejected.unit) == rejected.version
        }

    # -- for operators; the keys are part of the commands' interface

    def held_versions(self, now: int, numbers_by_root: Mapping[str, int]) -> Iterator[dict[str, object]]:
        """Which version of the tables each client holds, as `damsonpick versions who` answers it.

        `verified`: the client checks roots itself; otherwise the version is what it has acknowledged. `version` None:
        what it holds is no kept version, such as halfway between two.

        Args:
            now: ns.
            numbers_by_root: kept versions.
        """
        for number, client in sorted(self.clients.items()):
            session = client.session
            acknowledged_at = session.acknowledged_at()
            root = Digest(session.acknowledged_versions()).root()
            yield {
                "gateway": session.node,
                "zone": session.zone,
                "root": root,
                "version": numbers_by_root.get(root),
                "pending": session.unacknowledged_messages() + self._waiting_units(number),
                "since_s": _seconds(now - acknowledged_at) if acknowledged_at else None,
                "verified": session.verifies_roots,
                "rejected": dict(session.rejections),
            }

    def _waiting_units(self, number: int) -> int:
        """Units queued for a client, and changes staged for it."""
        staged = sum(staged.client == number for staged in self._staged)
        return len(self.send_queue.pending[number].units) + staged

    def view(self, now: int) -> Iterator[dict[str, object]]:
        """What each client holds, what is under way and what it rejected, as `damsonpick status` answers it."""
        for number, client in sorted(self.clients.items()):
            session = client.session
            pending = self.send_queue.pending[number]
            yield {
                "gateway": session.node,
                "number": number,
                "zone": session.zone,
                "variant": session.variant,
                "acknowledged": min(self.published.seq, self._oldest_unacknowledged(client) - 1),
                "published": self.published.seq,
                "applied_s": _seconds(now - client.acknowledged_at),
                "unanswered": session.unacknowledged_messages(),
                "waiting_lines": pending.entries,
                "waiting_s": _seconds(now - pending.ordered_at) if pending.units else 0.0,
                "holds": session.held_counts(),
                "rejected": dict(session.rejections),
            }


def _subscribed_entries(session: Session, change: Change) -> dict[str, set[str]]:
    """Changed entries of the units that concern a session."""
    return {unit: keys for unit, keys in change.entries.items() if session.subscribes_to(unit)}


def _rejected(session: Session, seq: int) -> bool:
    """Whether a change was in a message that the client rejected; messages without a change number do not count."""
    return any(changes.first <= seq <= changes.last for changes in session.rejected_ranges if changes.first)


def _seconds(ns: int) -> float:
    return round(ns / 1e9, 3)
