"""The model: pilots with their planners, the store, the proxies, their writes, and the failures of all of them."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.testing.fleet_model.channel import Channel
from damsonpick.testing.fleet_model.proxy import Proxy, Stream
from damsonpick.testing.fleet_model.rules import RuleChecker

SECOND = 1_000_000_000
STEP_NS = SECOND // 50
START_NS = 100 * SECOND
READ_STORE_S = (0.09, 0.44)  # time after which a proxy reads the store
REDIAL_S = (0.6, 2.5)  # time after which a proxy dials again
NOTICE_S = (0.0, 1.0)  # time after which a broken stream is noticed
NEWS_S = (0.0, 0.06)  # time that an event takes to a pilot
CALL_S = (0.0, 0.05)  # time after which the orders of a call are carried out
REPEAT_S = (0.5, 1.5)  # time after which a lost call has been repeated
LOST_CALL_GRACE_NS = 3 * SECOND // 2  # time for which the limits wait after a lost call
MAX_HOLD_NS = SECOND // 2  # time for which a write waits for an entry at a proxy
REPORT_PERIOD_NS = SECOND
REPORTED_LATENCY_NS = SECOND // 5
MAX_SLICE_REQUESTS = 60  # most requests of a slice in a report period
WRITES_PER_SLICE = 10.0  # writes/s for each slice, over all proxies


@dataclass(slots=True)
class Pilot:
    """One pilot.

    Attributes:
        number: Its number.
        channel: Its channel.
        planner: The planner; None while the pilot is down.
        news: Events on their way to the pilot, with the time of their arrival (ns), in order.
        started_at: Time of its last start, ns; -1 while it is down.
        limits_from: Earliest time from which time limits count, ns.
        pending: Orders that are not carried out yet.
        call_open: Whether a call is on its way.
        lost_calls: Number of calls that are going to be lost before they are carried out.
    """

    number: int
    channel: Channel
    planner: Planner | None = None
    news: deque[tuple[int, api.Event]] = field(default_factory=deque)
    started_at: int = START_NS
    limits_from: int = START_NS
    pending: list[api.Action] = field(default_factory=list)
    call_open: bool = False
    lost_calls: int = 0

    def take_events(self, now: int) -> list[api.Event]:
        """Remove and return the events that have arrived."""
        events = []
        while self.news and self.news[0][0] <= now:
            events.append(self.news.popleft()[1])
        return events


@dataclass(slots=True)
class HeldWrite:
    """A write that waits at a proxy for an entry."""

    proxy: Proxy
    number: int
    accepted_at: int


class FleetModel:
    """A fleet on a site with sole owners.

    Attributes:
        now: Time, ns.
        rules: Checks of the rules.
        endpoints: List entries by endpoint, without those that are gone.
        owner: Pilot in charge, by slice.
    """

    def __init__(self, settings: api.Settings, pilots: int, endpoints: int, seed: int) -> None:
        """Create a fleet in which each slice has an entry, all proxies have joined and all pilots know the list."""
        self.settings, self.now = settings, START_NS
        self.random = random.Random(f"fleet-{seed}")
        self.rules = RuleChecker(settings)
        self.endpoints: dict[str, api.EndpointEntry] = {}
        self.store: dict[int, str] = {}
        self.owner = [number % pilots for number in range(settings.slices)]
        self.given_at = [0] * settings.slices
        self.told_at: dict[str, int] = {}
        self._calls: list[tuple[int, int, Callable[[], None]]] = []
        self._call_count = 0
        self._held: list[HeldWrite] = []
        self._endpoint_count = 0
        self.add_endpoints(endpoints, started=0)
        for number in range(settings.slices):
            self._appoint(number, list(self.endpoints)[number % endpoints])
        self.proxies = [
            Proxy(number, [Stream() for _ in range(pilots)], withdrawn=[{} for _ in range(pilots)])
            for number in range(settings.proxies)
        ]
        self.pilots = [
            Pilot(number, Channel(number, settings, random.Random(f"channel-{seed}-{number}")))
            for number in range(pilots)
        ]
        for pilot in self.pilots:
            self.start_pilot(pilot.number)
        for proxy in self.proxies:
            for pilot in self.pilots:
                self.join(proxy, pilot.number)

    # -- time

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something after a time."""
        self._call_count += 1
        heapq.heappush(self._calls, (self.now + int(seconds * SECOND), self._call_count, call))

    def run(self, seconds: float) -> None:
        """Advance the time in steps."""
        for _ in range(int(seconds * SECOND) // STEP_NS):
            self.now += STEP_NS
            while self._calls and self._calls[0][0] <= self.now:
                heapq.heappop(self._calls)[2]()
            for pilot in self.pilots:
                self._deliver(pilot)
            self._write()
            self._check_tables()
            if self.now % REPORT_PERIOD_NS == 0:
                self._report()
            for pilot in self.pilots:
                self._step(pilot)

    def _tell(self, pilot: Pilot, *events: api.Event) -> None:
        """Send events to a pilot; they arrive in order."""
        arrives_at = self.now + int(self.random.uniform(*NEWS_S) * SECOND)
        if pilot.news:
            arrives_at = max(arrives_at, pilot.news[-1][0])
        pilot.news += [(arrives_at, event) for event in events]

    def _step(self, pilot: Pilot) -> None:
        if pilot.planner is None:
            return
        actions = pilot.planner.handle(self.now, pilot.take_events(self.now))
        orders = [order for order in actions if isinstance(order, api.TableOrder)]
        if orders:
            self._call(pilot, orders)

    def _call(self, pilot: Pilot, orders: list[api.Action]) -> None:
        """Order something. One call is open at a time; the next one contains all that was ordered meanwhile."""
        pilot.pending += orders
        if not pilot.call_open:
            self._open_call(pilot)

    def _open_call(self, pilot: Pilot) -> None:
        """Send the pending orders in a call, which is carried out soon, or later if it is lost and repeated."""
        pilot.call_open = True
        duration_s = self.random.uniform(*CALL_S)
        if pilot.lost_calls:
            pilot.lost_calls -= 1
            duration_s += self.random.uniform(*REPEAT_S)
            pilot.limits_from = self.now + LOST_CALL_GRACE_NS
        started_at = pilot.started_at

        def carry_out() -> None:
            if pilot.started_at != started_at:
                return
            orders, pilot.pending, pilot.call_open = pilot.pending, [], False
            self._carry_out(pilot, orders)

        self.after(duration_s, carry_out)

    def _carry_out(self, pilot: Pilot, orders: list[api.Action]) -> None:
        tokens = [order.token for order in orders if isinstance(order, api.RequestSync)]
        changes: list[api.Action] = [order for order in orders if not isinstance(order, api.RequestSync)]
        for order in changes:
            if isinstance(order, api.SetEntry | api.ClearTable) and self.owner[order.table] == pilot.number:
                self._store(order)
        recipients = [proxy for proxy in self.proxies if proxy.streams[pilot.number].joined]
        for proxy in recipients:
            self.rules.check_message(self.now, pilot.number, proxy.number, proxy.streams[pilot.number].joined_at)
        pilot.channel.send(self.now, recipients, changes, tokens[-1] if tokens else None)
        self.rules.check_waiting(self.now, pilot.number, pilot.channel.waiting(self.now))

    def _report(self) -> None:
        """Report uneven demand, so that rounds move slices between endpoints in service."""
        for endpoint in self.endpoints:
            report = api.EndpointReport("a", endpoint, 20, 0, REPORTED_LATENCY_NS, REPORT_PERIOD_NS, ())
            for pilot in self.pilots:
                self._tell(pilot, report)
        name = self.settings.classes[0].name
        for number, owner in enumerate(self.owner):
            requests = self.random.randrange(MAX_SLICE_REQUESTS)
            self._tell(self.pilots[owner], api.SliceDemand(number, name, requests, 0, REPORT_PERIOD_NS))

    def _store(self, order: api.SetEntry | api.ClearTable) -> None:
        if isinstance(order, api.SetEntry) and order.weight > 0:
            self._appoint(order.table, order.endpoint)
        elif isinstance(order, api.ClearTable) or self.store.get(order.table) == order.endpoint:
            self.store.pop(order.table, None)

    def _appoint(self, number: int, endpoint: str) -> None:
        self.store[number] = endpoint
        self.rules.appoint(self.now, number, endpoint)

    def _deliver(self, pilot: Pilot) -> None:
        for message in pilot.channel.arrived(self.now):
            tables = api.SetEntry | api.ClearTable | api.SetAdmission
            orders = [
                order
                for order in message.orders
                if not (isinstance(order, tables) and order.table is not None)
                or self.owner[order.table] == pilot.number
            ]
            message.proxy.apply(pilot.number, orders)
            if message.token is not None:
                message.proxy.streams[pilot.number].unread_tokens.append(message.token)
                self._acknowledge(message.proxy, pilot)

    def _acknowledge(self, proxy: Proxy, pilot: Pilot) -> None:
        stream = proxy.streams[pilot.number]
        if stream.store_read:
            self._tell(pilot, *(api.SyncAcknowledged(token, proxy.number, 0) for token in stream.unread_tokens))
            stream.unread_tokens = []

    # -- writes and checks

    def _write(self) -> None:
        count = WRITES_PER_SLICE * self.settings.slices * STEP_NS / SECOND
        new = int(count) + (self.random.random() < count % 1)
        for _ in range(new):
            proxy = self.random.choice(self.proxies)
            if proxy.running:
                self._held.append(HeldWrite(proxy, self.random.randrange(self.settings.slices), self.now))
        held, self._held = self._held, []
        for write in held:
            if not self._send(write) and self.now - write.accepted_at < MAX_HOLD_NS and write.proxy.running:
                self._held.append(write)

    def _send(self, write: HeldWrite) -> bool:
        """Send a write if the proxy may do so. Return whether it was sent."""
        proxy, lease = write.proxy, self.settings.write_lease
        if proxy.stalled_until > self.now:
            return False
        endpoint = proxy.entry(write.number, self.owner[write.number])
        if endpoint is None or not proxy.may_write(write.number, self.now, lease):
            return False
        left = write.accepted_at + self.settings.write_linger - self.now
        ends_at = self.now + int(max(0, left) * self.random.random())
        self.rules.check_write(self.now, write.number, endpoint, ends_at, f"proxy {proxy.number}")
        return True

    def _check_tables(self) -> None:
        for proxy in self.proxies:
            if proxy.stalled_until > self.now:
                continue
            for number, pilot in enumerate(self.owner):
                if not proxy.streams[pilot].joined:
                    self.rules.check_bare(self.now, proxy.number, number, None)
                    continue
                start = max(proxy.streams[pilot].joined_at, self.given_at[number], self.pilots[pilot].limits_from)
                endpoint = proxy.entry(number, pilot)
                self.rules.check_bare(self.now, proxy.number, number, start if endpoint is None else None)
                if endpoint is not None and endpoint in self.told_at:
                    since = max(start, self.told_at[endpoint])
                    self.rules.check_drain(self.now, since, endpoint, f"proxy {proxy.number}, slice {number},")

    # -- endpoints

    def add_endpoints(self, count: int, started: int) -> None:
        """Add endpoints to the list. `started` is the time of their start, ns; 0 if it was long ago."""
        names = [f"e{self._endpoint_count + index:03}" for index in range(count)]
        self._endpoint_count += count
        self._list(*(api.EndpointEntry(name, "a", "in_service", 1.0, started) for name in names))

    def retire(self, names: list[str], drain_s: float) -> None:
        """Let endpoints drain for a while and then end."""
        self._list(*(self.endpoints[name]._replace(state="terminating") for name in names))
        self.after(drain_s, lambda: self.crash(names))

    def crash(self, names: list[str]) -> None:
        """Let endpoints end at once."""
        self._list(*(self.endpoints[name]._replace(state="terminated") for name in names if name in self.endpoints))

    def _list(self, *entries: api.EndpointEntry) -> None:
        for entry in entries:
            if entry.state == "terminated":
                self.endpoints.pop(entry.endpoint, None)
            else:
                self.endpoints[entry.endpoint] = entry
            if entry.state != "in_service":
                self.told_at.setdefault(entry.endpoint, self.now)
        for pilot in self.pilots if hasattr(self, "pilots") else ():
            self._tell(pilot, api.EndpointListChanged("update", entries))

    # -- proxies

    def join(self, proxy: Proxy, pilot: int) -> None:
        """Open the stream of a proxy to a pilot; the proxy reads the store soon after."""
        stream = proxy.streams[pilot]
        if stream.joined or not proxy.running or self.pilots[pilot].planner is None:
            return
        self._notice_loss(proxy, pilot)
        fresh, stream.known = not stream.known, True
        stream.joined, stream.store_read, stream.joined_at = True, False, self.now
        stream.epoch += 1
        stream.unread_tokens = []
        self._tell(self.pilots[pilot], api.ProxyJoined(proxy.number, "a", 5.0, fresh))
        epoch = stream.epoch
        self.after(self.random.uniform(*READ_STORE_S), lambda: self._read_store(proxy, pilot, epoch))

    def leave(self, proxy: Proxy, pilot: int) -> None:
        """Break the stream of a proxy to a pilot, which notices it later; the proxy's write leases start."""
        stream = proxy.streams[pilot]
        if not stream.joined:
            return
        stream.joined, stream.loss_unnoticed = False, True
        stream.epoch += 1
        for number, owner in enumerate(self.owner):
            if owner == pilot:
                proxy.stale_since.setdefault(number, self.now)
        notice_s = self.random.uniform(*NOTICE_S)
        self.after(notice_s, lambda: self._notice_loss(proxy, pilot))
        self.after(notice_s + self.random.uniform(*REDIAL_S), lambda: self.join(proxy, pilot))

    def _notice_loss(self, proxy: Proxy, pilot: int) -> None:
        stream = proxy.streams[pilot]
        if stream.loss_unnoticed:
            stream.loss_unnoticed = False
            self._tell(self.pilots[pilot], api.ProxyLeft(proxy.number))

    def restart_proxy(self, proxy: Proxy) -> None:
        """Kill a proxy. It starts again without its tables, and sends no write before it has read the store."""
        proxy.running = False
        for pilot in self.pilots:
            self.leave(proxy, pilot.number)
        proxy.restart()
        proxy.stale_since = dict.fromkeys(range(self.settings.slices), self.now - self.settings.write_lease)

        def start() -> None:
            proxy.running = True
            for pilot in self.pilots:
                self.join(proxy, pilot.number)

        self.after(NOTICE_S[1] + self.random.uniform(*REDIAL_S), start)

    def _read_store(self, proxy: Proxy, pilot: int, epoch: int) -> None:
        stream = proxy.streams[pilot]
        if not stream.joined or stream.epoch != epoch:
            return
        for number, owner in enumerate(self.owner):
            if owner == pilot:
                self._read_table(proxy, number)
        stream.store_read = True
        self._acknowledge(proxy, self.pilots[pilot])

    def _read_table(self, proxy: Proxy, number: int) -> None:
        proxy.stale_since.pop(number, None)
        if number in self.store:
            proxy.tables[number] = self.store[number]
        else:
            proxy.tables.pop(number, None)

    # -- pilots

    def start_pilot(self, number: int) -> None:
        """Start a pilot with the current list and the stored tables of its slices."""
        pilot = self.pilots[number]
        pilot.planner = Planner(self.settings, self.random.getrandbits(32))
        pilot.started_at = pilot.limits_from = self.now
        pilot.news.clear()
        entries = tuple(self.endpoints.values())
        self._tell(pilot, api.EndpointListChanged("restored", entries), api.EndpointListChanged("replace", entries))
        for slice_number, owner in enumerate(self.owner):
            if owner == number:
                self._announce(pilot, slice_number)

    def kill_pilot(self, number: int) -> None:
        """Kill a pilot: its streams break, and what waits or travels in its channel is lost."""
        pilot = self.pilots[number]
        pilot.planner, pilot.started_at, pilot.lost_calls = None, -1, 0
        pilot.pending, pilot.call_open = [], False
        pilot.news.clear()
        for proxy in self.proxies:
            self.leave(proxy, number)
            proxy.streams[number].loss_unnoticed = False  # it is no news for the next start of the pilot
        pilot.channel.clear()

    def restart_pilot(self, number: int, down_s: float) -> None:
        """Kill a pilot that starts again before its slices are given to another; the proxies dial again."""
        self.kill_pilot(number)
        self.after(down_s, lambda: self._return_pilot(number))

    def _return_pilot(self, number: int) -> None:
        self.start_pilot(number)
        for proxy in self.proxies:
            self.after(self.random.uniform(*REDIAL_S), lambda proxy=proxy: self.join(proxy, number))

    def give(self, slice_number: int, to: int) -> None:
        """Give a slice into the charge of another pilot; joined proxies read its table again."""
        former = self.owner[slice_number]
        self.owner[slice_number] = to
        self.given_at[slice_number] = self.now
        self._tell(self.pilots[former], api.SliceOwnershipChanged(slice_number, False))
        self._announce(self.pilots[to], slice_number)
        for proxy in self.proxies:
            proxy.stopped.pop(slice_number, None)
            proxy.stale_since.setdefault(slice_number, self.now)
            self._read_given(proxy, slice_number, to)

    def _read_given(self, proxy: Proxy, slice_number: int, pilot: int) -> None:
        stream = proxy.streams[pilot]
        epoch = stream.epoch

        def read() -> None:
            if stream.joined and stream.epoch == epoch and self.owner[slice_number] == pilot:
                self._read_table(proxy, slice_number)

        self.after(self.random.uniform(*READ_STORE_S), read)

    def _announce(self, pilot: Pilot, slice_number: int) -> None:
        events: list[api.Event] = [api.SliceOwnershipChanged(slice_number, True)]
        if slice_number in self.store:
            events.append(api.StoredEntry(slice_number, self.store[slice_number], 1.0))
        self._tell(pilot, *events)
