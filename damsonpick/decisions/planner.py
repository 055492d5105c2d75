"""Every decision of damsonpick. Types, events and actions: damsonpick/interface.py.

The ordinary path is HBase's StochasticLoadBalancer as the design page states it: a slop gate on slice count
and heat per listed weight, a keep-if-cheaper search with three pickers on a copy, a move cap, and hottest
first publishing within the channel's budget. Everything else is an exception to it, and says so.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Iterator

from damsonpick import interface as api

SECOND = 1_000_000_000
TICK = SECOND // 4  # ns between looks at the clock: well under any grace
# -- the design's search; values the design marks "ours" and leaves open
PERIOD = 2 * SECOND  # ns between rounds: heat moves within ten seconds or so
SLOP = 0.3  # share off the mean that is still even: slices are lumpy
STEP_FACTOR, MAX_STEPS = 1.0, 20_000  # steps per slice and endpoint; a round's most, bounds the CPU
PART, REST = 1000, SECOND // 200  # steps of a search at a time, ns between parts: news and drains go first
MIN_GAIN = 0.032  # cost a kept step must save, a part for each endpoint: a step concerns two of them
HEAT_TAU, WARM_TAU = 9.0, 15.0  # s over which heat is averaged; in which an endpoint warms to a slice
SURGE, SURGE_SHARE = 3.0, 0.7  # times the average at which demand has jumped; how much of it counts at once
COUNT_COST, HEAT_COST, WARM_COST = 0.025, 1.0, 1.5  # cost weights: heat is what queues
MOVE_CAP = 0.02  # share of own slices that a round may move
# -- exceptions
HOT_SHARE = 0.1  # of an average endpoint's fair heat: a slice above this gets further lines
COLD_PACE = 1.5  # times the fleet's best pace: the most let in while most of it is cold
COLD_HEADROOM = 1.2  # times the fair share of a cold endpoint's present capacity
EVIDENCE_TAU, MIN_TRIES = 2.5, 4.0  # s over which answers are averaged; tries behind a judgement
LATE_TAU = 1.0  # s over which the fleet's lateness is averaged: many answers, and it turns fast
SPEED_DOWN, SPEED_UP = 0.25, 0.12  # how far learned speed follows the observed each report period
SPEEDS = 0.1, 2.0  # its bounds
FAILING = 0.5  # power by which the answered share counts as speed
SHED_LATENCY, CALM_LATENCY = 0.4, 0.3  # of the aim: allow less above, more below
CUT_DEPTH, CUT_LEAST = 0.3, 0.7  # cut by this times latency per aim, to no less than this part
KNOWN, BEST_KEPT = 0.85, 0.98  # of the best answered: grow fast below, probe above; what a period keeps
EASY, USUAL_KEPT = 1.2, 0.995  # times the usual latency below which nothing queues: grow fast
ALLOW_UP, ALLOW_PROBE = 1.15, 1.04  # growth a report period
CUT_HOLD = 3 * SECOND  # ns until a cut shows in the reports
STEPS = 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0  # levels for all; no class is shut out
RECALL_GAIN, RECALL_MOST = 0.6, 1.5  # first correction of a recalled speed; most of a recalled best, to seen
SHUT_MOST, AWAY = 2000, 300 * SECOND  # withdrawals remembered; time that a proxy may be away and come back
LAST_RESORT = 0.05  # trust below which an endpoint is only better than none
RETRY = 1  # once, at another endpoint, on proof that the first never ran: safe for all, no double load
# -- channel
ROUND_MESSAGES = 2.0  # messages that a round may fill with further lines
FILL = 0.49, 0.49, 0.48, 0.4  # of the channel's limit, by urgency: rules find room behind balance
MESSAGES = 1.0, 0.8, 0.75, 0.75  # of the messages allowed, by urgency
RULE, FAILURE, BALANCE, LEISURE = 0, 1, 2, 3  # urgencies


class EndpointState:
    def __init__(self, name: str, state: str = "unlisted") -> None:
        self.name, self.weight, self.state, self.started = name, 1.0, state, 0
        self.capacity_factor = 1.0  # learned, against the fleet's median; the machine's, so it outlives a process
        self.restored_share, self.list_confidence = (
            0.0,
            1.0,
        )  # how much of the speed is hearsay; how far the list is believed
        self.forget()

    def forget(self) -> None:
        """Start with no evidence: first seen, or a new process under the old name."""
        self.attempts = self.failures = self.answer_rate = 0.0  # sums; answers a second
        self.latency = 0.0  # ns
        self.success_ratio, self.reporting_zones = 1.0, 0  # share answered where it is most, and zones that told of it
        self.last_report_at = 0  # when evidence last came
        self.zone_views: dict[str, list[float]] = {}  # by proxy zone: tries, good, their time, s covered, heard

    def hear(self, now: int, report: api.EndpointReport) -> None:
        """Add a report to what its zone saw. Rates go by the time covered, which grows with the fleet."""
        good, span = report.attempts - report.failures, report.period / SECOND
        view = self.zone_views.setdefault(report.zone, [0.0, 0.0, 0.0, 0.0, now, 0.0, 0.0])
        age = max(0, now - view[4]) / SECOND
        keep, recent = math.exp(-age / EVIDENCE_TAU), math.exp(-age / LATE_TAU)
        new = report.attempts, good, good * report.latency, span
        view[:] = [
            *(old * keep + more for old, more in zip(view, new, strict=False)),
            now,
            view[5] * recent + good,
            view[6] * recent + good * report.latency,
        ]
        self.last_report_at = now
        views = [v for v in self.zone_views.values() if now - v[4] < 2 * EVIDENCE_TAU * SECOND]
        self.attempts, answered, time = (sum(v[k] for v in views) for k in range(3))
        self.failures = self.attempts - answered
        self.latency = time / answered if answered > 0 else 0.0
        self.answer_rate = sum(v[1] / v[3] for v in views)
        self.success_ratio, self.reporting_zones = max(v[1] / v[0] for v in views), len(views)


class SliceState:
    """One slice in this instance's charge: where it should live and what the store holds."""

    def __init__(self, number: int, rates: list[float], now: int) -> None:
        self.number, self.since = number, now  # since when it is in our charge
        self.assigned: list[str] = []
        self.published: dict[str, float] = {}  # as published
        self.rates = rates  # requests a second by class, averaged
        self.last_reports_at = [0] * len(rates)
        self.rates_assumed = True  # rates of classes not heard of are the usual ones
        self.warmth: dict[str, float] = {}
        self.advised_weights: dict[str, float] = {}  # advised from outside; a line without one weighs 1
        self.externally_assigned = False  # advised whole: rounds leave it alone

    @property
    def load(self) -> float:
        return sum(self.rates) + 0.01  # an unheard slice still counts a little

    def load_share(self, home: str) -> float:
        """Heat that a home gets."""
        if not self.advised_weights:
            return self.load / len(self.assigned)
        return self.load * self.desired_weight(home) / sum(map(self.desired_weight, self.assigned))

    def desired_weight(self, home: str) -> float:
        return self.advised_weights.get(home, 1.0)

    def is_out_of_sync(self) -> bool:
        """The store does not hold what is wanted."""
        return self.published.keys() != dict.fromkeys(self.assigned).keys() or any(
            self.published.get(n, w) != w for n, w in self.advised_weights.items()
        )


class FlowControl:
    """Lines sent and not yet acknowledged: holds when the channel runs slower than stated. Messages leave in
    order, so what half of the proxies it went to (not those joined since) have applied is out, with all
    before it; waiting for every proxy would let one stalled or cut off stop the drains."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.proxies: dict[int, str] = {}  # joined, with their zones
        self.in_flight: deque[tuple[int, float, int, dict[int, str]]] = deque()  # mark, cost, for, still to ack
        self.sent: deque[int] = deque()  # times of messages, for the window
        self.last_token = self.last = self.last_move_token = 0  # moved: the last mark behind more than old lines
        self.message_head = settings.message_overhead + 2  # lines of a message beside its orders

    def available(self, now: int, urgency: int) -> int:
        """Lines that a message may hold now; below 1: none."""
        s = self.settings
        while self.sent and self.sent[0] <= now - s.message_window:
            self.sent.popleft()
        if s.messages_per_window:  # evenly spaced: a burst would use up what later failures and levels need
            allowed = MESSAGES[urgency] * s.messages_per_window
            spaced = urgency != RULE or 4 * len(self.sent) > allowed
            if len(self.sent) + 1 > allowed or (spaced and now - self.last < s.message_window / allowed):
                return 0
        room = self.message_capacity(urgency, sum(cost * len(waits) / most for _, cost, most, waits in self.in_flight))
        if urgency == RULE and not self.in_flight:  # where the limit takes no message at all, rules still go
            return max(room, 2)
        return room if 2 * room >= self.message_capacity(urgency, 0.0) else 0  # many small messages would be all heads

    def message_capacity(self, urgency: int, waiting: float) -> int:
        """Lines of a message to all proxies, with this much waiting. Each costs its head as well."""
        proxies = max(1, len(self.proxies))
        return int((FILL[urgency] * self.settings.channel_limit - waiting) / proxies - self.message_head)

    def moves_acknowledged(self) -> bool:
        """No moves are on their way; old lines that are being cleared away do not hold up a round."""
        return all(number != self.last_move_token for number, *_ in self.in_flight)

    def send(self, now: int, lines: int, moves: bool) -> api.RequestSync:
        self.last_token = (self.last_token + 1) % 65536
        self.last_move_token = self.last_token if moves else self.last_move_token
        cost = len(self.proxies) * (self.message_head + lines)
        self.in_flight.append((self.last_token, cost, len(self.proxies), dict(self.proxies)))
        self.sent.append(now)
        self.last = now
        return api.RequestSync(self.last_token, True)  # all: withdrawals alone may reach nobody, and wait for ever

    def acknowledge(self, proxy: int, mark: int | None) -> None:
        """A proxy has applied what came up to a mark, or (None) has left and will apply nothing."""
        out = 0
        for k, (number, _, most, waits) in enumerate(self.in_flight):
            if mark in (None, number):
                waits.pop(proxy, None)
            out = k + 1 if 2 * len(waits) <= most else out
        for _ in range(out):
            self.in_flight.popleft()


class Planner:
    """One instance of the controller. `handle` is its only entrance."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.class_index = {c.name: k for k, c in enumerate(settings.classes)}
        self.aim = min(c.latency_objective for c in settings.classes)
        self.endpoints: dict[str, EndpointState] = {}
        self.slices: dict[int, SliceState] = {}
        self.flow_control = FlowControl(settings)
        self.listed = False  # a list newer than `restored` has come
        self.ask_at: int | None = 0 if settings.subscribe else None
        self.known_proxies: dict[int, str] = {}  # proxies that have joined since our start, and their zones
        self.report_span = float(settings.report_period)  # that reports cover: more where they are many
        self.greet = True  # standing orders must be sent (again)
        self.published_levels = self.desired_levels = (1.0,) * len(settings.classes)  # let in: as published, as wanted
        self.unpublished: dict[int, SliceState] = {}  # slices whose table is not as wanted
        self.withdrawn: dict[str, bool] = {}  # endpoints ever withdrawn, and whether they are now
        self.resync_withdrawals: list[str] = []  # what a proxy that was away may have missed of it
        self.tick_at = self.round_at = self.judge_at = self.last_report_at = self.ask_fails = 0
        self.admitted_rate_limit, self.best_throughput, self.cut_at = (
            math.inf,
            0.0,
            0,
        )  # answers/s allowed, seen at best; last cut
        self.advised = 0.0  # answers/s that the fleet can give, as reckoned outside; 0: not known
        self.usual = math.inf  # least part of the aim that answers took, slowly forgotten
        self.throughput_per_capacity, self.admitted_share = (
            0.0,
            1.0,
        )  # best answers/s for each unit of capacity; share let in
        self.taken_over = self.hearsay = False  # levels of an earlier life not weighed yet; best not tried
        self.changed, self.landed, self.over = True, True, 0.0
        self.rates = [0.0] * len(settings.classes)  # usual ones of a slice
        self.search: Iterator[None] | None = None  # under way
        self.search_at, self.gone = 0, {}  # when it goes on; since when endpoints are gone for good
        self.out: list[api.Action] = []

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Take in what happened, then order what follows from it."""
        self.now, self.out = now, []
        for event in events:
            getattr(self, "on_" + type(event).__name__, self.on_other)(event)
        if self.changed:
            self.changed = False
            self.evacuate()
        if now >= self.tick_at:
            self.tick_at = now + TICK
            self.out.append(api.SetTimer(TICK, 0))
            self.tick()
        if self.search and now >= self.search_at:
            self.seek()
        self.publish()
        return self.out

    def on_other(self, event: api.Event) -> None:
        """Timers only wake; probes, peers and per-proxy demand are not used."""

    def on_EndpointListChanged(self, event: api.EndpointListChanged) -> None:
        if event.kind == "unavailable":
            # Asking again at once would pile onto a list service that just failed.
            self.ask_fails = min(self.ask_fails + 1, 4)
            self.ask_at = self.now + int(SECOND / 4 * 2**self.ask_fails * self.random.uniform(0.5, 1.0))
            return
        if event.kind != "restored":
            self.listed = True
            self.ask_fails, self.ask_at = 0, None
        if event.kind == "replace":
            named = {entry.endpoint: True for entry in event.entries}
            for ep in self.endpoints.values():  # what the full list does not name is gone
                if ep.state != "unlisted" and ep.name not in named:
                    ep.state = "terminated"
        for entry in event.entries:
            ep = self.endpoints.setdefault(entry.endpoint, EndpointState(entry.endpoint))
            if ep.state == "unlisted" and not ep.last_report_at:  # a newcomer is like others of its weight
                like = [e.capacity_factor for e in self.endpoints.values() if e.weight == entry.weight and e.attempts]
                ep.capacity_factor = sum(like) / len(like) if like else ep.capacity_factor
            if entry.started != ep.started:
                ep.forget()
                ep.capacity_factor = (
                    1.0 if ep.restored_share else ep.capacity_factor
                )  # hearsay of a process that is no more
            ep.started, ep.state = entry.started, entry.state
            ep.weight = entry.weight if entry.weight > 0 else 1.0
        self.changed = True

    def on_ProxyJoined(self, event: api.ProxyJoined) -> None:
        self.flow_control.proxies[event.proxy] = event.zone
        self.greet = True
        if not event.fresh:  # it keeps withdrawals of earlier streams; of our earlier lives, who knows which
            if event.proxy not in self.known_proxies:
                self.withdrawn = dict.fromkeys(self.endpoints, False) | self.withdrawn
            self.resync_withdrawals = [n for n in self.withdrawn if n in self.endpoints]
        self.known_proxies[event.proxy] = event.zone

    def on_ProxyLeft(self, event: api.ProxyLeft) -> None:
        self.flow_control.proxies.pop(event.proxy, None)
        self.flow_control.acknowledge(event.proxy, None)

    def on_SyncAcknowledged(self, event: api.SyncAcknowledged) -> None:
        self.flow_control.acknowledge(event.proxy, event.token)

    def on_SliceOwnershipChanged(self, event: api.SliceOwnershipChanged) -> None:
        had = len(self.slices)
        self.slices.pop(event.slice, None)
        self.unpublished.pop(event.slice, None)
        if event.owned:
            self.slices[event.slice] = SliceState(event.slice, list(self.rates), self.now)
            # Reports cover it in part at first.
            self.cut_at = self.now
        if had and self.slices:  # what is allowed is allowed for the slices in charge
            self.admitted_rate_limit = self.admitted_rate_limit * len(self.slices) / had
            self.best_throughput = self.best_throughput * len(self.slices) / had
        self.changed = True

    def on_StoredEntry(self, event: api.StoredEntry) -> None:
        piece = self.slices.get(event.slice)
        if piece is not None and event.weight > 0:
            self.endpoints.setdefault(event.endpoint, EndpointState(event.endpoint))
            piece.published[event.endpoint] = event.weight
            piece.assigned.append(event.endpoint)
            piece.warmth[event.endpoint] = 1.0
            self.changed = True

    def on_SliceDemand(self, event: api.SliceDemand) -> None:
        piece, k = self.slices.get(event.slice), self.class_index.get(event.request_class)
        if piece is None or k is None or event.period <= 0:
            return
        span = event.period / SECOND
        rate, share = event.requests / span, 1 - math.exp(-span / HEAT_TAU)
        if self.young(piece.since):
            rate = max(rate, piece.rates[k])  # it counts what came since the slice is ours
        surge = not piece.last_reports_at[k] or rate > SURGE * (piece.rates[k] + 1)
        piece.rates[k] += (SURGE_SHARE if surge else share) * (rate - piece.rates[k])
        piece.last_reports_at[k] = self.last_report_at = self.now

    def on_EndpointReport(self, event: api.EndpointReport) -> None:
        ep = self.endpoints.get(event.endpoint)
        if ep is None or event.attempts <= 0 or event.period <= 0:
            return
        if ep.started and self.now - ep.started < event.period:
            return  # counted before the present process began
        ep.hear(self.now, event)
        self.last_report_at = self.now
        self.report_span += 0.02 * (event.period - self.report_span)

    def on_TableAdvised(self, event: api.TableAdvised) -> None:
        """Exception (no slices, or unlike lines): weights come from outside. List, starts, channel and levels
        bind them as they bind the search; what they name that is not listed is passed over."""
        piece = self.slices.get(event.table)
        if piece is not None:
            piece.advised_weights = {n: w for n, w in event.entries if n in self.endpoints and 0 < w < math.inf}
            piece.externally_assigned = event.complete and (bool(piece.advised_weights) or not event.entries)
            piece.assigned = list(piece.advised_weights) if piece.externally_assigned else piece.assigned
            self.changed = True

    def on_CapacityAdvised(self, event: api.CapacityAdvised) -> None:
        self.advised = event.rate

    def on_EndpointRestored(self, event: api.EndpointRestored) -> None:
        """Exception (restart): what an earlier life learned counts until evidence replaces it, which it does
        faster than what was learned here. Wrong hearsay costs a slow or a fast server some seconds."""
        ep = self.endpoints.get(event.endpoint)
        if ep is not None and ep.started == event.started and not ep.last_report_at:
            ep.capacity_factor, ep.restored_share = min(SPEEDS[1], max(SPEEDS[0], event.capacity_factor)), 1.0

    def on_SliceRestored(self, event: api.SliceRestored) -> None:
        piece = self.slices.get(event.slice)  # the first report counts as a surge and takes most of it back
        if piece is not None and not any(piece.last_reports_at) and len(event.rates) == len(piece.rates):
            piece.rates, piece.rates_assumed = list(event.rates), False
            piece.warmth.update(event.warmth)

    def on_FleetRestored(self, event: api.FleetRestored) -> None:
        """Exception (restart): proxies go on by the levels and withdrawals of an earlier life. Forgetting the
        levels would open an overloaded fleet at once; they hold until reports come, which then decide."""
        self.published_levels = self.desired_levels = event.levels
        self.withdrawn.update(dict.fromkeys(event.withdrawn, True))
        self.best_throughput, self.throughput_per_capacity, self.taken_over = (
            event.best_throughput,
            event.throughput_per_capacity,
            True,
        )
        for name in event.withdrawn:  # one that no list names stays out
            self.endpoints.setdefault(name, EndpointState(name, "terminated"))
        self.changed = True

    def on_EndpointConfidenceChanged(self, event: api.EndpointConfidenceChanged) -> None:
        if event.endpoint in self.endpoints:
            self.endpoints[event.endpoint].list_confidence = event.confidence
            self.changed = True

    def is_unroutable(self, name: str) -> bool:
        """No proxy may send there: told so by the list. Before a fresh list, the store is trusted."""
        state = self.endpoints[name].state if name in self.endpoints else "terminated"
        return state in ("terminating", "terminated") or (state == "unlisted" and self.listed)

    def warm_up_share(self, ep: EndpointState) -> float:
        """Share of its warm capacity that a newly started endpoint has at least."""
        s, age = self.settings, self.now - ep.started
        if not ep.started or age >= s.warm_up_time:
            return 1.0
        return s.cold_capacity_share + (1 - s.cold_capacity_share) * max(0.0, age / s.warm_up_time)

    def is_warming_up(self, name: str) -> bool:
        return self.warm_up_share(self.endpoints[name]) < 1  # cold: it must not get more than its present share

    def part(self, heat: float, capacity: float) -> float:
        """Mean heat by which a cold endpoint's part is measured: what is let in, at most the fleet's pace."""
        return min(self.admitted_share * (heat + 1e-9) / (capacity + 1e-9), self.throughput_per_capacity or math.inf)

    def capacity_of(self, ep: EndpointState) -> float:
        """Listed weight, corrected for a start and learned speed."""
        return ep.weight * self.warm_up_share(ep) * ep.capacity_factor * max(ep.list_confidence, LAST_RESORT / 2)

    def usable_capacities(self) -> dict[str, float]:
        """Endpoints that may take slices, with their present capacity; doubtful ones are better than none."""
        fit = {n: self.capacity_of(ep) for n, ep in self.endpoints.items() if not self.is_unroutable(n)}
        fit = {n: room for n, room in fit.items() if not self.withdrawn.get(n)} or fit
        return {n: room for n, room in fit.items() if self.endpoints[n].list_confidence >= LAST_RESORT} or fit

    def endpoint_loads(self, names: Iterable[str]) -> dict[str, float]:
        """Heat that each endpoint should get from our slices as they are wanted."""
        load = dict.fromkeys(names, 0.0)
        for piece in self.slices.values():
            for home in filter(load.__contains__, piece.assigned):
                load[home] += piece.load_share(home)
        return load

    def evacuate(self) -> None:
        """Exception: what the list rules out, or a cold endpoint cannot hold, moves past gate and cap."""
        cap = self.usable_capacities()
        load = self.endpoint_loads(cap)
        mean = self.part(sum(load.values()), sum(cap.values()))
        for piece in sorted(self.slices.values(), key=lambda p: (-p.load, p.number)):
            piece.assigned = [h for h in piece.assigned if h in cap]
            # Cold endpoints fall over when pushed: what they hold above their share leaves.
            for home in filter(self.is_warming_up, list(piece.assigned)):
                heat = piece.load_share(home)
                over = load[home] > COLD_HEADROOM * mean * cap[home]
                if over and (
                    len(piece.assigned) > 1
                    if piece.externally_assigned
                    # all are homes, others take its part
                    else self.roomiest(cap, load, heat, mean, piece.assigned)
                ):
                    piece.assigned.remove(home)
                    load[home] -= heat
            if not piece.assigned and cap and (piece.advised_weights or not piece.externally_assigned):
                best = self.roomiest(self.known(piece, cap), load, piece.load, mean, None)
                piece.assigned = [best]
                load[best] += piece.load
            if piece.is_out_of_sync():
                self.unpublished[piece.number] = piece

    def young(self, since: int) -> bool:
        """Whether reports can cover the time in our charge in part at most: heat is not known yet."""
        return self.now - since <= self.settings.report_period + 2 * self.report_span

    def known(self, piece: SliceState, cap: dict[str, float]) -> dict[str, float]:
        """Where a slice may go as far as its heat is known: one that may be hot, to no cold endpoint."""
        return {n: c for n, c in cap.items() if not self.is_warming_up(n)} or cap if self.young(piece.since) else cap

    def roomiest(self, cap: dict, load: dict, heat: float, mean: float, taken: list | None) -> str | None:
        """Where heat adds least per capacity; a cold endpoint only within its share, but for `taken` None."""
        levels = {n: (load[n] + heat) / room for n, room in cap.items() if n not in (taken or ())}
        fit = [n for n, level in levels.items() if level <= COLD_HEADROOM * mean or not self.is_warming_up(n)]
        return min(fit or (levels if taken is None else []), key=levels.__getitem__, default=None)

    def tick(self) -> None:
        """The slow clockwork: list, learned speed, levels, rounds."""
        if self.ask_at is not None and self.now >= self.ask_at:
            self.out.append(api.SubscribeEndpointList(True))
            self.ask_at = self.now + max(SECOND, self.settings.poll_interval // 2)  # in case no answer comes
        if self.now >= self.judge_at:
            self.judge_at = self.now + self.settings.report_period
            if self.now - self.last_report_at <= 2 * self.report_span:  # reports late for all: heat and levels hold
                self.cool()
                self.learn_speed()
                self.shed()
            self.evacuate()
        old = self.now - self.flow_control.last > 2 * SECOND + 2 * self.settings.max_transit
        due = self.now >= self.round_at and self.last_report_at and not self.search
        if due and self.landed and (old or self.flow_control.moves_acknowledged()):
            self.round_at = self.now + PERIOD
            self.split_hot()
            search = Search(self, self.usable_capacities())
            if search.skewed():
                self.search = search.run()
            self.evacuate()

    def seek(self) -> None:
        """Take the search a part further; what it found counts at its end, as far as it still holds."""
        self.search_at = self.now + REST
        self.out.append(api.SetTimer(REST, 0))
        if next(self.search, True):  # a part ends with None
            self.search = None
            self.evacuate()

    def cool(self) -> None:
        """Slices without requests send no line: let their heat fade. One that no report can have covered yet
        counts as usual, not as idle: a dozen of them, laid on a server that just started, pushed it over."""
        period = self.settings.report_period
        fade, warm = (math.exp(-period / SECOND / tau) for tau in (HEAT_TAU, WARM_TAU))
        for k in range(len(self.rates)):
            heard = [p.rates[k] for p in self.slices.values() if p.last_reports_at[k]]
            self.rates[k] = sum(heard) / len(heard) if heard else self.rates[k]
        for piece in self.slices.values():
            for k, heard in enumerate(piece.last_reports_at):
                if self.now - heard > period + 2 * self.report_span and not self.young(piece.since):
                    piece.rates[k] *= fade
                elif piece.rates_assumed and not heard:
                    piece.rates[k] = self.rates[k]
            for name in [*piece.warmth, *(h for h in piece.assigned if h not in piece.warmth)]:
                aim = float(name in piece.assigned)
                piece.warmth[name] = aim + (piece.warmth.get(name, 0.0) - aim) * warm
            piece.warmth = {n: w for n, w in piece.warmth.items() if w > 0.01}
        # Gone and in no table: forgotten once no proxy that was away may come back with a line of it.
        named = {n: True for p in self.slices.values() for n in (*p.published, *p.assigned)}
        self.gone = {
            n: self.gone.get(n, self.now)
            for n, e in self.endpoints.items()
            if e.state == "terminated" and n not in named
        }
        gone = {n: True for n, since in self.gone.items() if self.now - since > AWAY}
        self.endpoints = {n: e for n, e in self.endpoints.items() if n not in gone}
        while len(self.withdrawn) > SHUT_MOST:
            del self.withdrawn[next(iter(self.withdrawn))]

    def learn_speed(self) -> None:
        """Exception (doubt: listed weight does not tell speed): capacity follows latency, and the share that
        is answered, against the fleet's. Covers slow, overloaded, ageing, hung and failing ones, whatever
        they report; none is taken out, which threw its load on the next. Harm: costly keys look slow."""
        warm = [
            e
            for e in self.endpoints.values()
            if e.state == "in_service"
            and self.warm_up_share(e) >= 1
            and e.attempts >= MIN_TRIES
            and self.now - e.last_report_at <= 2 * self.report_span
        ]
        times = sorted(e.latency for e in warm if e.latency > 0) or [1.0]
        middle = times[len(times) // 2]
        # A link cut around us is no dead server, nor a lossy one: half of the zones must tell of it.
        zones = len(dict.fromkeys(self.known_proxies.values()))
        sound = {e.name: e.success_ratio if 2 * e.reporting_zones >= zones else 1.0 for e in warm}
        usual = sum(sound.values()) / (len(sound) or 1) + 1e-9
        for ep in warm:
            target = middle / (ep.latency or middle) * min(1.0, sound[ep.name] / usual) ** FAILING
            gain = max(SPEED_DOWN if target < ep.capacity_factor else SPEED_UP, RECALL_GAIN * ep.restored_share)
            ep.restored_share /= 2
            ep.capacity_factor *= (min(SPEEDS[1], max(SPEEDS[0], target)) / ep.capacity_factor) ** gain

    def shed(self) -> None:
        """Exception: when answers come late across the fleet it is allowed less than it was seen to answer,
        then slowly more. Late reports would drive steps of a level far past the mark, and a level for each
        slice would fill the channel and hold up drains."""
        cap = self.usable_capacities()
        fresh = [
            e
            for e in map(self.endpoints.get, cap)
            if self.now - e.last_report_at <= 2 * self.report_span and e.answer_rate
        ]
        good = sum(e.answer_rate for e in fresh)
        rates = [sum(p.rates[k] for p in self.slices.values()) for k in range(len(self.published_levels))]
        let_in = sum(level * rate for level, rate in zip(self.published_levels, rates, strict=True))
        # Reports of a large fleet, or after a start, cover a part: the share answered there holds for all.
        share = sum(e.attempts - e.failures for e in fresh) / (sum(e.attempts for e in fresh) or 1.0)
        good = max(good, min(share * let_in, good / max(0.1, self.covered(cap))))
        # The middle of what all zones met: slow links, or servers, that are fewer than half do not shed.
        # A view that heard nothing since fades: a jam that is over would else be seen where few still ask.
        views, seen = (
            sorted(
                (v[6] / v[5], v[5] * math.exp((v[4] - self.now) / SECOND / LATE_TAU))
                for e in fresh
                for v in e.zone_views.values()
                if v[5] > 0
            ),
            0.0,
        )
        half = sum(n for _, n in views) / 2
        late = next((time for time, n in views if (seen := seen + n) >= half), 0.0) / self.aim
        if self.taken_over:  # what the levels of the earlier life let in is the first allowance
            self.taken_over, self.hearsay = False, True
            if min(self.published_levels) < 1:
                self.admitted_rate_limit = let_in
        self.best_throughput = max(good, self.best_throughput * BEST_KEPT)
        self.usual = min(late or math.inf, self.usual / USUAL_KEPT)
        if late > SHED_LATENCY:
            if self.now - self.cut_at > CUT_HOLD:
                if self.hearsay:  # it may lead the way back, not the cut: one too high would not cut at all
                    self.hearsay, self.best_throughput = False, min(self.best_throughput, RECALL_MOST * good)
                cut, self.cut_at = max(CUT_LEAST, 1 - CUT_DEPTH * late), self.now
                self.admitted_rate_limit = max(1.0, cut * max(good, KNOWN * self.best_throughput))
        elif late > CALM_LATENCY and self.advised and sum(rates) > self.advised:  # before answers are late
            self.admitted_rate_limit = min(self.admitted_rate_limit, max(self.advised, good))
        elif late < CALM_LATENCY:
            sure = self.admitted_rate_limit < KNOWN * self.best_throughput or late < max(
                CALM_LATENCY / 2, EASY * self.usual
            )
            grown = self.admitted_rate_limit * (ALLOW_UP if sure else ALLOW_PROBE)
            self.admitted_rate_limit = grown if grown < 2 * sum(rates) else math.inf
        total = sum(cap.values()) + 1e-6
        self.throughput_per_capacity = max(0.99 * self.throughput_per_capacity, good / total)
        if 2 * sum(cap[n] for n in filter(self.is_warming_up, cap)) > total:  # cold ones refuse before they fall
            self.admitted_rate_limit = min(
                self.admitted_rate_limit, COLD_PACE * self.throughput_per_capacity * total or math.inf
            )
        self.admitted_share = min(1.0, self.admitted_rate_limit / (sum(rates) + 1e-6))
        if self.settings.admission == "ratio":
            self.desired_levels = self.levels(self.admitted_share, rates)

    def covered(self, cap: dict[str, float]) -> float:
        """Share of the capacity that our slices are on, and of the zones that use it, heard of lately."""
        zones = len(dict.fromkeys(self.known_proxies.values())) or 1
        homes = {h: True for p in self.slices.values() for h in p.assigned if h in cap}
        late = self.now - 2 * self.report_span
        seen = sum(
            cap[h] * min(1.0, self.endpoints[h].reporting_zones / zones)
            for h in homes
            if self.endpoints[h].last_report_at >= late
        )
        return seen / (sum(cap[h] for h in homes) or 1.0)

    def levels(self, share: float, rates: list[float]) -> tuple[float, ...]:
        """Admission level of each class where this share of demand can be let in: the most worth first."""
        left, result = share * sum(rates), [1.0] * len(rates)
        for k in sorted(range(len(rates)), key=lambda k: -self.settings.classes[k].priority_weight):
            level = 1.0 if share >= 1 else min(1.0, (max(0.0, left) + 1e-6) / (rates[k] + 1e-6))
            left -= rates[k]
            result[k] = min(STEPS, key=lambda step: abs(step - level))
        return tuple(result)

    def split_hot(self) -> None:
        """Exception (doubt: a slice hotter than one server can carry): further full lines in its table, where
        its homes are above the mean. A line more costs half of a move and keeps the warmth where it is."""
        if self.settings.sole_owner:
            return
        cap = self.usable_capacities()
        load = self.endpoint_loads(cap)
        mean = (sum(load.values()) + 1e-9) / (sum(cap.values()) + 1e-9)
        fair = mean * max(cap.values(), default=1.0)
        whole = fair * max(1.0, self.settings.slices / (len(self.slices) or 1))  # and that of others
        part, budget = (
            self.part(mean, 1.0),
            max(4, int(ROUND_MESSAGES * self.flow_control.message_capacity(BALANCE, 0.0))),
        )
        for piece in sorted(self.slices.values(), key=lambda p: (-p.load, p.number)):
            have = len(piece.assigned) if not piece.externally_assigned else 0
            need = max(1, math.ceil(piece.load / (HOT_SHARE * fair)))
            need = min(need, max(3, math.ceil(piece.load / whole)))
            if need > have > 0 < budget and any(load[h] > mean * cap[h] for h in piece.assigned):
                best = self.roomiest(self.known(piece, cap), load, piece.load / (have + 1), part, piece.assigned)
                if best and load[best] < mean * cap[best]:
                    load.update((h, load[h] - piece.load / have / (have + 1)) for h in piece.assigned)
                    piece.assigned.append(best)
                    load[best] += piece.load / (have + 1)
                    budget -= 1

    def orders(self, piece: SliceState) -> tuple[int, list[str], list[str]]:
        """How urgent a slice's table is, and the endpoints it gains and loses. New lines go alone where it is
        bare; lines of endpoints that are withdrawn and stay away can wait until nothing else does."""
        adds = [n for n in piece.assigned if piece.published.get(n) != piece.desired_weight(n)]
        gone = [n for n in piece.published if n not in piece.assigned and not self.settings.sole_owner]
        if all(self.is_unroutable(n) or self.withdrawn.get(n) for n in piece.published):
            return RULE, adds, []
        live = [n for n in gone if not (self.withdrawn.get(n) and self.is_unroutable(n))]
        return (BALANCE, adds, live) if adds or live else (LEISURE, adds, gone)

    def publish(self) -> None:
        """Send what differs from the published state: levels and rules, then balance, then old lines, hottest
        first, as one message a proxy and as much as the channel has room for."""
        back = [n for n, out in self.withdrawn.items() if out and not self.is_unroutable(n)]
        if not self.flow_control.proxies or not (
            self.unpublished
            or self.greet
            or self.resync_withdrawals
            or back
            or self.desired_levels != self.published_levels
        ):
            return
        room = [self.flow_control.available(self.now, urgency) for urgency in (RULE, FAILURE, BALANCE, LEISURE)]
        if max(room) < 1:
            return
        stale = {n: True for p in self.unpublished.values() for n in p.published if n not in p.assigned}
        # Exception: one line withdraws what the list bars, as two for each slice would miss the grace at 100
        # proxies. It goes before all: the message after next is too late. Old lines leave the tables when
        # nothing else waits, and only then may an endpoint come back.
        flips = [api.SetWithdrawn(n, True) for n in stale if self.is_unroutable(n) and not self.withdrawn.get(n)]
        lines: list[api.Action] = flips[: max(0, room[RULE])]
        out = {f.endpoint: True for f in lines}
        self.withdrawn.update(out)
        again = room[FAILURE] / (2 if self.unpublished else 1)  # what is said again leaves room for bare slices
        while self.resync_withdrawals and len(lines) < again:
            name = self.resync_withdrawals.pop()
            lines += (
                [api.SetWithdrawn(name, self.withdrawn[name])] if name in self.withdrawn and name not in out else []
            )
        if (self.greet or self.desired_levels != self.published_levels) and room[FAILURE] > len(lines) + 2:
            self.greet, self.published_levels = False, self.desired_levels
            lines += [api.SetAdmission(None, (k,), level, RETRY) for k, level in enumerate(self.desired_levels)]
        todo = sorted(
            ((*self.orders(p), p) for p in self.unpublished.values()), key=lambda t: (t[0], -t[3].load, t[3].number)
        )
        if lines or room[BALANCE] > 0:  # a return alone is not worth a message kept for rules
            backs = [api.SetWithdrawn(n, False) for n in back if n not in stale][: max(0, room[RULE] - len(lines))]
            self.withdrawn.update((b.endpoint, False) for b in backs)
            lines += backs
            self.changed |= bool(backs)
        moves = bool(lines)
        self.changed |= bool(out)
        self.landed, sole = True, self.settings.sole_owner  # a sole owner's line replaces the old
        for urgency, adds, drops, piece in todo:
            if piece.externally_assigned:  # it may be longer than a message: what fits, and the rest with the next
                adds = adds[: max(0, int(room[urgency]) - len(lines) - len(drops))]
            if len(lines) + len(adds) + len(drops) <= room[urgency]:
                moves = moves or urgency != LEISURE
                lines += [api.SetEntry(piece.number, n, piece.desired_weight(n)) for n in adds]
                lines += [api.SetEntry(piece.number, n, 0.0) for n in drops]
                kept = {n: w for n, w in piece.published.items() if n not in drops and not sole}
                kept |= {n: piece.desired_weight(n) for n in piece.assigned if n in adds or n in kept or sole}
                piece.published = kept
                if not piece.is_out_of_sync():
                    del self.unpublished[piece.number]
            else:
                self.landed = self.landed and urgency == LEISURE
        if lines:
            self.out += [*lines, self.flow_control.send(self.now, len(lines), moves)]
            if self.flow_control.in_flight[-1][1] > self.settings.channel_limit > self.over:
                self.over = math.inf  # said once
                self.out.append(api.Log("the channel's limit is below one message to all proxies"))


class Search:
    """The design's search on a copy: units of heat (a slice, or its share on each of its homes)."""

    def __init__(self, planner: Planner, cap: dict[str, float]) -> None:
        self.planner, self.random = planner, planner.random
        self.names = list(cap)
        self.cap = [max(1e-6, cap[n]) for n in self.names]
        place = {n: i for i, n in enumerate(self.names)}
        self.cold = [planner.is_warming_up(n) for n in self.names]
        self.units: list[tuple[SliceState, int]] = []  # the slice and which of its homes
        self.at: list[int] = []
        self.heat: list[float] = []
        self.on: list[list[int]] = [[] for _ in place]  # units by endpoint
        self.load = [0.0] * len(place)
        for piece in planner.slices.values():
            for k, home in enumerate(piece.assigned):
                if home in place and piece.externally_assigned:
                    self.load[place[home]] += piece.load_share(home)
                elif home in place:
                    at, heat = place[home], piece.load_share(home)
                    self.on[at].append(len(self.units))
                    self.load[at] += heat
                    self.units.append((piece, k))
                    self.at.append(at)
                    self.heat.append(heat)
        self.start = list(self.at)
        self.warmest = [
            [place[n] for n, _ in sorted(p.warmth.items(), key=lambda i: -i[1]) if n in place] for p, _ in self.units
        ]
        self.total, self.weight = sum(self.load) or 1.0, sum(self.cap) or 1.0
        self.most = COLD_HEADROOM * planner.part(self.total, self.weight)  # heat per capacity where cold
        self.level = [x / w for x, w in zip(self.load, self.cap, strict=True)]
        # Squares of heat and count per capacity; warmth lost by moves, in heat; units away from their start.
        self.sums = (
            sum(x * x / w for x, w in zip(self.load, self.cap, strict=True)),
            sum(len(x) ** 2 / w for x, w in zip(self.on, self.cap, strict=True)),
            0.0,
            0,
        )

    def skewed(self) -> bool:
        """The slop gate: some endpoint's count or heat per weight is off the mean by more than the slop."""
        if len(self.names) < 2 or not self.units:
            return False
        even = (self.load, self.total / self.weight), (map(len, self.on), len(self.units) / self.weight)
        return any(abs(x / w - mean) > SLOP * mean for have, mean in even for x, w in zip(have, self.cap, strict=True))

    def spread(self, squares: float, total: float) -> float:
        """Spread per weight, against the mean: 0 is even. Exception (scaled to 1 for all on the smallest,
        what a move saves falls faster with the size of the fleet than the warmth it costs, and none pays)."""
        return math.sqrt(max(0.0, squares * self.weight / (total * total) - 1))

    def cost(self, heat_sq: float, count_sq: float, lost: float) -> float:
        return (
            COUNT_COST * self.spread(count_sq, len(self.units))
            + HEAT_COST * self.spread(heat_sq, self.total)
            + WARM_COST * lost / self.total
        )

    def trial(self, moves: list[tuple[int, int]]) -> tuple[float, float, float, int]:
        """The sums after a step, in constant time, as its moves are between two endpoints. Changes nothing:
        most steps are not kept."""
        a, b = self.at[moves[0][0]], moves[0][1]
        (heat_sq, count_sq, lost, moved), load, cap = self.sums, self.load, self.cap
        heat = count = 0.0  # that go from a to b
        for unit, to in moves:
            heat += self.heat[unit] if to == b else -self.heat[unit]
            count += 1 if to == b else -1
            old, start = self.at[unit], self.start[unit]
            lost += self.loss(unit, to) - self.loss(unit, old)
            moved += (to != start) - (old != start)
        for end, more, units in ((a, -heat, -count), (b, heat, count)):
            heat_sq += more * (2 * load[end] + more) / cap[end]
            count_sq += units * (2 * len(self.on[end]) + units) / cap[end]
        return heat_sq, count_sq, lost, moved

    def shift(self, unit: int, to: int) -> None:
        """Move one unit on the copy."""
        old = self.at[unit]
        self.on[old].remove(unit)
        self.on[to].append(unit)
        self.at[unit] = to
        for end, more in ((old, -self.heat[unit]), (to, self.heat[unit])):
            self.load[end] += more
            self.level[end] = self.load[end] / self.cap[end]

    def loss(self, unit: int, end: int) -> float:
        warmth = self.units[unit][0].warmth
        start, there = (warmth.get(self.names[e], 0.0) for e in (self.start[unit], end))
        return self.heat[unit] * max(0.0, start - there)

    def pick(self) -> list[tuple[int, int]]:
        """One of the three pickers: random swap, most to least loaded, a slice to its warmest server."""
        rnd = self.random
        kind = rnd.randrange(3)
        if kind == 2:
            unit = rnd.randrange(len(self.units))
            away = next((e for e in self.warmest[unit] if e != self.at[unit]), None)
            return [] if away is None else [(unit, away)]
        if kind == 1:
            a, b = self.level.index(max(self.level)), self.level.index(min(self.level))
        else:
            a, b = rnd.randrange(len(self.names)), rnd.randrange(len(self.names))
        if a == b or not self.on[a]:
            return []
        moves = [(rnd.choice(self.on[a]), b)]
        if self.on[b] and rnd.random() < 0.5:
            moves.append((rnd.choice(self.on[b]), a))
        return moves

    def allowed(self, unit: int, to: int) -> bool:
        piece, _ = self.units[unit]
        room = self.load[to] + self.heat[unit] <= self.most * self.cap[to]
        fits = not self.cold[to] or (room and not self.planner.young(piece.since))
        return fits and (to == self.start[unit] or self.names[to] not in piece.assigned)  # each home once

    def run(self) -> Iterator[None]:
        """Keep a step only if it is cheaper by the least gain; slices follow at the end. In parts."""
        most, best = max(1, int(MOVE_CAP * len(self.planner.slices))), self.cost(*self.sums[:3])
        least = MIN_GAIN / max(1, len(self.names))
        for step in range(min(MAX_STEPS, int(len(self.units) * len(self.names) * STEP_FACTOR))):
            if step % PART == PART - 1:
                yield
            moves = self.pick()
            if not moves or not all(self.allowed(u, to) for u, to in moves):
                continue
            sums = self.trial(moves)
            if sums[3] <= most and (cost := self.cost(*sums[:3])) < best - least:
                best, self.sums = cost, sums
                for unit, to in moves:
                    self.shift(unit, to)
        usable = self.planner.usable_capacities()
        for unit, (piece, k) in enumerate(self.units):
            home, to = self.names[self.start[unit]], self.names[self.at[unit]]
            # List, starts or charge may have changed since the search began: such moves are left out.
            ours = self.planner.slices.get(piece.number) is piece and piece.assigned[k : k + 1] == [home]
            if ours and to in usable and to not in piece.assigned and not piece.externally_assigned:
                piece.assigned[k] = to
