"""Manages all sessions of one controller, of any protocol: connections, distribution of changes and acknowledgements.

This module performs no I/O. The caller passes the time in nanoseconds.
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

# Most versions whose rejecting nodes are remembered. Above this number, only the nodes that rejected a stopped version
# are remembered.
MAX_REMEMBERED_REJECTIONS = 10_000
FIRST_DUPLICATE_NUMBER = 60_000  # first of the client numbers for additional streams of a node id already in use
LAST_DUPLICATE_NUMBER = 65_534
NO_CHANGE = 1 << 62  # higher than every sequence number


class Catalogue(Protocol):
    """Keeps the units in a form that is ready to be sent, consistent with the published state.

    Attributes:
        stopped: By unit, the version whose rollout was stopped because too many clients rejected it. A client that has
            an earlier version keeps it; only a client without a version of the unit receives the stopped version.
    """

    stopped: dict[str, str]

    def refresh(self, units: Iterable[str]) -> object:
        """Update some units from the published state."""


class PendingToken(NamedTuple):
    """A sync token that a client has not acknowledged yet."""

    seq: int
    token: int
    ordered_at: int  # time in ns at which the change of the token was published


class StagedChange(NamedTuple):
    """Changed entries that are sent to a client later, for a rollout by zone. The field order orders the heap."""

    due_at: int  # time in ns
    client: int
    seq: int
    entries: dict[str, set[str]]


class StoppedRollout(NamedTuple):
    """A version that is no longer sent to clients that have an earlier version."""

    unit: str
    version: str
    rejections: int  # number of nodes that rejected the version


class Dispatch(NamedTuple):
    """Result of `SessionManager.dispatch`.

    Attributes:
        sessions: Sessions that have messages to send now.
        next_due: Time in ns until more may be sent. None if no change is staged for later and no client that accepts
            messages has queued changes.
    """

    sessions: list[Session]
    next_due: int | None


class Client:
    """A connected client.

    Args:
        number: Permanent number of the node id, or a duplicate number for an additional stream of that node id.
        session: Session of the client.
        now: Current time in ns.
    """

    def __init__(self, number: int, session: Session, now: int) -> None:
        """Initialize the client without pending sync tokens."""
        self.number = number
        self.session = session
        self.pending_tokens: deque[PendingToken] = deque()  # in order of sequence numbers
        self.acknowledged_at = now  # time in ns of the last acknowledged sync token; initially the time of joining


class SessionManager:
    """Keeps the sessions, the changes that wait for them, and the sync tokens that they have not acknowledged.

    Args:
        published: Published state.
        catalogue: Keeps the units of the published state ready to be sent.
        send_queue: Changes that wait for each client.
        number_of: Returns the permanent number of a node id.
    """

    def __init__(
        self, published: PublishedTables, catalogue: Catalogue, send_queue: SendQueue, number_of: Callable[[str], int]
    ) -> None:
        """Initialize the manager without clients."""
        self.published = published
        self.catalogue = catalogue
        self.send_queue = send_queue
        self.number_of = number_of
        self.clients: dict[int, Client] = {}  # by number
        self.by_session: dict[Session, Client] = {}
        self.events: list[api.Event] = []  # events for the planner, in order
        self.stop_share = 1.0  # share of the clients whose rejections stop a rollout; a single client counts as two
        self.stopped_rollouts: list[StoppedRollout] = []  # newly stopped rollouts, for the log
        self._next_duplicate_number = FIRST_DUPLICATE_NUMBER
        self._rejecting_nodes: dict[RejectedVersion, set[str]] = {}
        self._staged: list[StagedChange] = []  # heap ordered by due time

    # -- connections

    def join(self, now: int, session: Session) -> Client:
        """Register a session as a client and notify the planner that a proxy has joined.

        Two sessions with the same node id are two clients, because a drain must reach both.
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
        """Remove a session that has ended and notify the planner. A session that never joined is ignored."""
        client = self.by_session.pop(session, None)
        if client is not None:
            del self.clients[client.number]
            self.send_queue.leave(client.number)
            self.events.append(api.ProxyLeft(client.number))

    # -- distribution of changes

    def publish(self, now: int, change: Change, delay_by_zone: Mapping[str, int] | None = None) -> list[Session]:
        """Queue a change for every client that subscribes to a changed unit.

        Args:
            now: Current time in ns.
            change: Change of the published state.
            delay_by_zone: Delay in ns for the clients of a zone, by zone. If a client needs a unit earlier, because the
                unit changes again or because the client joins, the complete unit is sent to it at once.

        Returns:
            Sessions that subscribe to none of the changed units. They may acknowledge the change's sync tokens now. The
            list is empty if the change has no sync tokens.
        """
        self.catalogue.refresh(change.entries)
        tokens = [PendingToken(change.seq, token, now) for token in change.sync_tokens]
        unaffected: list[Session] = []
        for client in self.clients.values():
            client.pending_tokens.extend(tokens)
            entries = _subscribed_entries(client.session, change)
            delay = (delay_by_zone or {}).get(client.session.zone, 0)
            if entries and delay:
                heapq.heappush(self._staged, StagedChange(now + delay, client.number, change.seq, entries))
            elif entries:
                self.send_queue.enqueue(now, client.number, change.seq, entries, change.urgent)
            elif tokens:
                unaffected.append(client.session)
        return unaffected

    def enqueue(self, now: int, session: Session, entries: Mapping[str, set[str]], urgent: bool) -> None:
        """Queue entries for one session. They are not part of a change of the tables, but count against the budget."""
        client = self.by_session.get(session)
        if client is not None:
            self.send_queue.enqueue(now, client.number, self.published.seq, entries, urgent)

    def dispatch(self, now: int) -> Dispatch:
        """Pass to the sessions the messages that may be sent now."""
        sessions: list[Session] = []
        self._enqueue_staged(now)
        while (message := self.send_queue.next_message(now)) is not None:
            session = self.clients[message.client].session
            session.enqueue(message.units, CoveredChanges(message.first_seq, message.ordered_at, message.entries))
            sessions.append(session)
            self.send_queue.set_ready(message.client, session.ready())
        return Dispatch(sessions, self._next_due(now))

    def _next_due(self, now: int) -> int | None:
        """Return the time in ns until more may be sent, or None; see `Dispatch.next_due`."""
        due = self.send_queue.next_due(now)
        if not self._staged:
            return due
        staged_due = self._staged[0].due_at - now
        return staged_due if due is None else min(due, staged_due)

    def _enqueue_staged(self, now: int) -> None:
        """Queue the staged changes that are due."""
        while self._staged and self._staged[0].due_at <= now:
            staged = heapq.heappop(self._staged)
            if staged.client in self.clients:
                self.send_queue.enqueue(now, staged.client, staged.seq, staged.entries, False)

    def release_staged(self, now: int) -> None:
        """Make all staged changes due now, because an endpoint that only the new tables omit may be draining."""
        self._staged = [staged._replace(due_at=now) for staged in self._staged]

    def update_ready(self, session: Session) -> bool:
        """Record whether a session accepts another message, after it received or sent a message.

        Returns:
            Whether changes are waiting that the session accepts now.
        """
        client = self.by_session.get(session)
        if client is None:
            return False
        ready = session.ready()
        self.send_queue.set_ready(client.number, ready)
        return ready and bool(self.send_queue.pending[client.number].units)

    # -- acknowledgements and rejections

    def discard_sync_tokens(self) -> None:
        """Await no more acknowledgements of the sync tokens so far: a new planner issues the same tokens again."""
        for client in self.clients.values():
            client.pending_tokens.clear()

    def acknowledge(self, now: int, session: Session) -> None:
        """Notify the planner of every sync token that a client has now acknowledged, and record what it rejected."""
        if session.newly_rejected:
            self._count_rejections(session)
        client = self.by_session.get(session)
        if client is None or not client.pending_tokens:
            return
        unacknowledged = self._oldest_unacknowledged(client)
        while client.pending_tokens and client.pending_tokens[0].seq < unacknowledged:
            pending = client.pending_tokens.popleft()
            if _rejected(session, pending.seq):
                continue  # the client did not apply the change; a later token reports what it applied
            client.acknowledged_at = now
            delay = max(0, now - pending.ordered_at)
            self.events.append(api.SyncAcknowledged(pending.token, client.number, delay))
        if not client.pending_tokens:
            session.rejected_ranges.clear()

    def _oldest_unacknowledged(self, client: Client) -> int:
        """Return the lower of two sequence numbers of a client.

        These are `first_seq`, the number of the change that was queued first, and the session's oldest unacknowledged
        number. Staged changes are not included. If there is neither, the result is higher than every sequence number.
        """
        return min(client.session.oldest_unacknowledged(), self._oldest_queued(client.number))

    def _oldest_queued(self, number: int) -> int:
        pending = self.send_queue.pending.get(number)
        return pending.first_seq if pending is not None and pending.units else NO_CHANGE

    def _count_rejections(self, session: Session) -> None:
        """Count the nodes that reject each version, and stop the rollout of a version that too many nodes reject."""
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
        """Return whether enough nodes have rejected a version to stop its rollout, and it is not stopped already.

        The unit FLEET (withdrawals and fleet-wide admission levels) and the removal of a unit (an empty version) are
        never stopped.
        """
        if rejected.unit == FLEET or not rejected.version:
            return False
        if self.catalogue.stopped.get(rejected.unit) == rejected.version:
            return False
        return rejections >= self.stop_share * max(2, len(self.clients))

    def _forget_rejections(self) -> None:
        """Forget the rejections of all versions that are not stopped."""
        stopped = self.catalogue.stopped
        self._rejecting_nodes = {
            rejected: nodes
            for rejected, nodes in self._rejecting_nodes.items()
            if stopped.get(rejected.unit) == rejected.version
        }

    # -- state for operators; the keys are part of the interface of the commands

    def client_versions(self, now: int, numbers_by_root: Mapping[str, int]) -> Iterator[dict[str, object]]:
        """Yield the version of the tables that each client has, as `damsonpick versions who` shows it.

        If `verified` is true, the client itself checks the root of its state. Otherwise the version is only what the
        client has acknowledged. `version` is None if the state of the client is not a stored version, for example while
        the client is between two versions.

        Args:
            now: Current time in ns.
            numbers_by_root: Numbers of the stored versions by root.
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
        """Return the number of units queued for a client plus the number of changes staged for it."""
        staged = sum(staged.client == number for staged in self._staged)
        return len(self.send_queue.pending[number].units) + staged

    def view(self, now: int) -> Iterator[dict[str, object]]:
        """Yield the state of each client, its waiting changes and its rejections, as `damsonpick status` shows them."""
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
                "holds": session.state_counts(),
                "rejected": dict(session.rejections),
            }


def _subscribed_entries(session: Session, change: Change) -> dict[str, set[str]]:
    """Return the changed entries of the units that a session subscribes to."""
    return {unit: keys for unit, keys in change.entries.items() if session.subscribes_to(unit)}


def _rejected(session: Session, seq: int) -> bool:
    """Return whether a message that the client rejected contained the change `seq`.

    Rejected messages without changes, whose range starts at 0, do not count.
    """
    return any(changes.first <= seq <= changes.last for changes in session.rejected_ranges if changes.first)


def _seconds(ns: int) -> float:
    return round(ns / 1e9, 3)
