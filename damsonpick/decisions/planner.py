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


class Endpoint:
    def __init__(self, name: str, state: str = "unlisted") -> None:
        self.name, self.weight, self.state, self.started = name, 1.0, state, 0
        self.speed = 1.0  # learned, against the fleet's median; the machine's, so it outlives a process
        self.recalled, self.trust = 0.0, 1.0  # how much of the speed is hearsay; how far the list is believed
        self.forget()

    def forget(self) -> None:
        """Start with no evidence: first seen, or a new process under the old name."""
        self.tries = self.fails = self.rate = 0.0  # sums; answers a second
        self.latency = 0.0  # ns
        self.sound, self.seen = 1.0, 0  # share answered where it is most, and zones that told of it
        self.heard = 0  # when evidence last came
        self.views: dict[str, list[float]] = {}  # by proxy zone: tries, good, their time, s covered, heard

    def hear(self, now: int, report: api.EndpointReport) -> None:
        """Add a report to what its zone saw. Rates go by the time covered, which grows with the fleet."""
        good, span = report.tries - report.failures, report.period / SECOND
        view = self.views.setdefault(report.zone, [0.0, 0.0, 0.0, 0.0, now, 0.0, 0.0])
        age = max(0, now - view[4]) / SECOND
        keep, recent = math.exp(-age / EVIDENCE_TAU), math.exp(-age / LATE_TAU)
        new = report.tries, good, good * report.latency, span
        view[:] = [
            *(old * keep + more for old, more in zip(view, new, strict=False)),
            now,
            view[5] * recent + good,
            view[6] * recent + good * report.latency,
        ]
        self.heard = now
        views = [v for v in self.views.values() if now - v[4] < 2 * EVIDENCE_TAU * SECOND]
        self.tries, answered, time = (sum(v[k] for v in views) for k in range(3))
        self.fails = self.tries - answered
        self.latency = time / answered if answered > 0 else 0.0
        self.rate = sum(v[1] / v[3] for v in views)
        self.sound, self.seen = max(v[1] / v[0] for v in views), len(views)


class Slice:
    """One slice in this instance's charge: where it should live and what the store holds."""

    def __init__(self, number: int, rates: list[float], now: int) -> None:
        self.number, self.since = number, now  # since when it is in our charge
        self.homes: list[str] = []
        self.lines: dict[str, float] = {}  # as published
        self.rates = rates  # requests a second by class, averaged
        self.heard = [0] * len(rates)
        self.guessed = True  # rates of classes not heard of are the usual ones
        self.warmth: dict[str, float] = {}
        self.weights: dict[str, float] = {}  # advised from outside; a line without one weighs 1
        self.laid = False  # advised whole: rounds leave it alone

    @property
    def heat(self) -> float:
        return sum(self.rates) + 0.01  # an unheard slice still counts a little

    def part(self, home: str) -> float:
        """Heat that a home gets."""
        if not self.weights:
            return self.heat / len(self.homes)
        return self.heat * self.wanted(home) / sum(map(self.wanted, self.homes))

    def wanted(self, home: str) -> float:
        return self.weights.get(home, 1.0)

    def astray(self) -> bool:
        """The store does not hold what is wanted."""
        return self.lines.keys() != dict.fromkeys(self.homes).keys() or any(
            self.lines.get(n, w) != w for n, w in self.weights.items()
        )


class Channel:
    """Lines sent and not yet acknowledged: holds when the channel runs slower than stated. Messages leave in
    order, so what half of the proxies it went to (not those joined since) have applied is out, with all
    before it; waiting for every proxy would let one stalled or cut off stop the drains."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.proxies: dict[int, str] = {}  # joined, with their zones
        self.flights: deque[tuple[int, float, int, dict[int, str]]] = deque()  # mark, cost, for, still to ack
        self.sent: deque[int] = deque()  # times of messages, for the window
        self.mark = self.last = self.moved = 0  # moved: the last mark behind more than old lines
        self.head = settings.message_overhead + 2  # lines of a message beside its orders

    def room(self, now: int, urgency: int) -> int:
        """Lines that a message may hold now; below 1: none."""
        s = self.settings
        while self.sent and self.sent[0] <= now - s.message_window:
            self.sent.popleft()
        if s.messages_per_window:  # evenly spaced: a burst would use up what later failures and levels need
            allowed = MESSAGES[urgency] * s.messages_per_window
            spaced = urgency != RULE or 4 * len(self.sent) > allowed
            if len(self.sent) + 1 > allowed or (spaced and now - self.last < s.message_window / allowed):
                return 0
        room = self.lines(urgency, sum(cost * len(waits) / most for _, cost, most, waits in self.flights))
        if urgency == RULE and not self.flights:  # where the limit takes no message at all, rules still go
            return max(room, 2)
        return room if 2 * room >= self.lines(urgency, 0.0) else 0  # many small messages would be all heads

    def lines(self, urgency: int, waiting: float) -> int:
        """Lines of a message to all proxies, with this much waiting. Each costs its head as well."""
        proxies = max(1, len(self.proxies))
        return int((FILL[urgency] * self.settings.channel_limit - waiting) / proxies - self.head)

    def landed(self) -> bool:
        """No moves are on their way; old lines that are being cleared away do not hold up a round."""
        return all(number != self.moved for number, *_ in self.flights)

    def send(self, now: int, lines: int, moves: bool) -> api.Mark:
        self.mark = (self.mark + 1) % 65536
        self.moved = self.mark if moves else self.moved
        cost = len(self.proxies) * (self.head + lines)
        self.flights.append((self.mark, cost, len(self.proxies), dict(self.proxies)))
        self.sent.append(now)
        self.last = now
        return api.Mark(self.mark, True)  # all: withdrawals alone may reach nobody, and wait for ever

    def settle(self, proxy: int, mark: int | None) -> None:
        """A proxy has applied what came up to a mark, or (None) has left and will apply nothing."""
        out = 0
        for k, (number, _, most, waits) in enumerate(self.flights):
            if mark in (None, number):
                waits.pop(proxy, None)
            out = k + 1 if 2 * len(waits) <= most else out
        for _ in range(out):
            self.flights.popleft()


class Planner:
    """One instance of the controller. `handle` is its only entrance."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.class_index = {c.name: k for k, c in enumerate(settings.classes)}
        self.aim = min(c.aim for c in settings.classes)
        self.endpoints: dict[str, Endpoint] = {}
        self.slices: dict[int, Slice] = {}
        self.channel = Channel(settings)
        self.listed = False  # a list newer than `restored` has come
        self.ask_at: int | None = 0 if settings.subscribe else None
        self.met: dict[int, str] = {}  # proxies that have joined since our start, and their zones
        self.span = float(settings.report_period)  # that reports cover: more where they are many
        self.greet = True  # standing orders must be sent (again)
        self.level = self.wanted = (1.0,) * len(settings.classes)  # let in: as published, as wanted
        self.dirty: dict[int, Slice] = {}  # slices whose table is not as wanted
        self.shut: dict[str, bool] = {}  # endpoints ever withdrawn, and whether they are now
        self.restate: list[str] = []  # what a proxy that was away may have missed of it
        self.tick_at = self.round_at = self.judge_at = self.report_at = self.ask_fails = 0
        self.allow, self.best, self.cut_at = math.inf, 0.0, 0  # answers/s allowed, seen at best; last cut
        self.advised = 0.0  # answers/s that the fleet can give, as reckoned outside; 0: not known
        self.usual = math.inf  # least part of the aim that answers took, slowly forgotten
        self.pace, self.admitted = 0.0, 1.0  # best answers/s for each unit of capacity; share let in
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

    def on_ListChanged(self, event: api.ListChanged) -> None:
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
            ep = self.endpoints.setdefault(entry.endpoint, Endpoint(entry.endpoint))
            if ep.state == "unlisted" and not ep.heard:  # a newcomer is like others of its weight
                like = [e.speed for e in self.endpoints.values() if e.weight == entry.weight and e.tries]
                ep.speed = sum(like) / len(like) if like else ep.speed
            if entry.started != ep.started:
                ep.forget()
                ep.speed = 1.0 if ep.recalled else ep.speed  # hearsay of a process that is no more
            ep.started, ep.state = entry.started, entry.state
            ep.weight = entry.weight if entry.weight > 0 else 1.0
        self.changed = True

    def on_ProxyJoined(self, event: api.ProxyJoined) -> None:
        self.channel.proxies[event.proxy] = event.zone
        self.greet = True
        if not event.fresh:  # it keeps withdrawals of earlier streams; of our earlier lives, who knows which
            if event.proxy not in self.met:
                self.shut = dict.fromkeys(self.endpoints, False) | self.shut
            self.restate = [n for n in self.shut if n in self.endpoints]
        self.met[event.proxy] = event.zone

    def on_ProxyLeft(self, event: api.ProxyLeft) -> None:
        self.channel.proxies.pop(event.proxy, None)
        self.channel.settle(event.proxy, None)

    def on_Applied(self, event: api.Applied) -> None:
        self.channel.settle(event.proxy, event.mark)

    def on_CustodyChanged(self, event: api.CustodyChanged) -> None:
        had = len(self.slices)
        self.slices.pop(event.slice, None)
        self.dirty.pop(event.slice, None)
        if event.owned:
            self.slices[event.slice] = Slice(event.slice, list(self.rates), self.now)
            # Reports cover it in part at first.
            self.cut_at = self.now
        if had and self.slices:  # what is allowed is allowed for the slices in charge
            self.allow, self.best = (x * len(self.slices) / had for x in (self.allow, self.best))
        self.changed = True

    def on_StoredLine(self, event: api.StoredLine) -> None:
        piece = self.slices.get(event.slice)
        if piece is not None and event.weight > 0:
            self.endpoints.setdefault(event.endpoint, Endpoint(event.endpoint))
            piece.lines[event.endpoint] = event.weight
            piece.homes.append(event.endpoint)
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
        surge = not piece.heard[k] or rate > SURGE * (piece.rates[k] + 1)
        piece.rates[k] += (SURGE_SHARE if surge else share) * (rate - piece.rates[k])
        piece.heard[k] = self.report_at = self.now

    def on_EndpointReport(self, event: api.EndpointReport) -> None:
        ep = self.endpoints.get(event.endpoint)
        if ep is None or event.tries <= 0 or event.period <= 0:
            return
        if ep.started and self.now - ep.started < event.period:
            return  # counted before the present process began
        ep.hear(self.now, event)
        self.report_at = self.now
        self.span += 0.02 * (event.period - self.span)

    def on_TableAdvised(self, event: api.TableAdvised) -> None:
        """Exception (no slices, or unlike lines): weights come from outside. List, starts, channel and levels
        bind them as they bind the search; what they name that is not listed is passed over."""
        piece = self.slices.get(event.table)
        if piece is not None:
            piece.weights = {n: w for n, w in event.lines if n in self.endpoints and 0 < w < math.inf}
            piece.laid = event.whole and (bool(piece.weights) or not event.lines)
            piece.homes = list(piece.weights) if piece.laid else piece.homes
            self.changed = True

    def on_LoadAdvised(self, event: api.LoadAdvised) -> None:
        self.advised = event.rate

    def on_EndpointRecalled(self, event: api.EndpointRecalled) -> None:
        """Exception (restart): what an earlier life learned counts until evidence replaces it, which it does
        faster than what was learned here. Wrong hearsay costs a slow or a fast server some seconds."""
        ep = self.endpoints.get(event.endpoint)
        if ep is not None and ep.started == event.started and not ep.heard:
            ep.speed, ep.recalled = min(SPEEDS[1], max(SPEEDS[0], event.speed)), 1.0

    def on_SliceRecalled(self, event: api.SliceRecalled) -> None:
        piece = self.slices.get(event.slice)  # the first report counts as a surge and takes most of it back
        if piece is not None and not any(piece.heard) and len(event.rates) == len(piece.rates):
            piece.rates, piece.guessed = list(event.rates), False
            piece.warmth.update(event.warmth)

    def on_FleetRecalled(self, event: api.FleetRecalled) -> None:
        """Exception (restart): proxies go on by the levels and withdrawals of an earlier life. Forgetting the
        levels would open an overloaded fleet at once; they hold until reports come, which then decide."""
        self.level = self.wanted = event.levels
        self.shut.update(dict.fromkeys(event.shut, True))
        self.best, self.pace, self.taken_over = event.best, event.pace, True
        for name in event.shut:  # one that no list names stays out
            self.endpoints.setdefault(name, Endpoint(name, "terminated"))
        self.changed = True

    def on_EndpointTrusted(self, event: api.EndpointTrusted) -> None:
        if event.endpoint in self.endpoints:
            self.endpoints[event.endpoint].trust = event.trust
            self.changed = True

    def barred(self, name: str) -> bool:
        """No proxy may send there: told so by the list. Before a fresh list, the store is trusted."""
        state = self.endpoints[name].state if name in self.endpoints else "terminated"
        return state in ("terminating", "terminated") or (state == "unlisted" and self.listed)

    def ramp(self, ep: Endpoint) -> float:
        """Share of its warm capacity that a newly started endpoint has at least."""
        s, age = self.settings, self.now - ep.started
        if not ep.started or age >= s.cold_time:
            return 1.0
        return s.cold_share + (1 - s.cold_share) * max(0.0, age / s.cold_time)

    def tender(self, name: str) -> bool:
        return self.ramp(self.endpoints[name]) < 1  # cold: it must not get more than its present share

    def part(self, heat: float, capacity: float) -> float:
        """Mean heat by which a cold endpoint's part is measured: what is let in, at most the fleet's pace."""
        return min(self.admitted * (heat + 1e-9) / (capacity + 1e-9), self.pace or math.inf)

    def capacity(self, ep: Endpoint) -> float:
        """Listed weight, corrected for a start and learned speed."""
        return ep.weight * self.ramp(ep) * ep.speed * max(ep.trust, LAST_RESORT / 2)

    def usable(self) -> dict[str, float]:
        """Endpoints that may take slices, with their present capacity; doubtful ones are better than none."""
        fit = {n: self.capacity(ep) for n, ep in self.endpoints.items() if not self.barred(n)}
        fit = {n: room for n, room in fit.items() if not self.shut.get(n)} or fit
        return {n: room for n, room in fit.items() if self.endpoints[n].trust >= LAST_RESORT} or fit

    def loads(self, names: Iterable[str]) -> dict[str, float]:
        """Heat that each endpoint should get from our slices as they are wanted."""
        load = dict.fromkeys(names, 0.0)
        for piece in self.slices.values():
            for home in filter(load.__contains__, piece.homes):
                load[home] += piece.part(home)
        return load

    def evacuate(self) -> None:
        """Exception: what the list rules out, or a cold endpoint cannot hold, moves past gate and cap."""
        cap = self.usable()
        load = self.loads(cap)
        mean = self.part(sum(load.values()), sum(cap.values()))
        for piece in sorted(self.slices.values(), key=lambda p: (-p.heat, p.number)):
            piece.homes = [h for h in piece.homes if h in cap]
            # Cold endpoints fall over when pushed: what they hold above their share leaves.
            for home in filter(self.tender, list(piece.homes)):
                heat = piece.part(home)
                over = load[home] > COLD_HEADROOM * mean * cap[home]
                if over and (
                    len(piece.homes) > 1
                    if piece.laid
                    # all are homes, others take its part
                    else self.roomiest(cap, load, heat, mean, piece.homes)
                ):
                    piece.homes.remove(home)
                    load[home] -= heat
            if not piece.homes and cap and (piece.weights or not piece.laid):  # some tables are to be empty
                best = self.roomiest(self.known(piece, cap), load, piece.heat, mean, None)
                piece.homes = [best]
                load[best] += piece.heat
            if piece.astray():
                self.dirty[piece.number] = piece

    def young(self, since: int) -> bool:
        """Whether reports can cover the time in our charge in part at most: heat is not known yet."""
        return self.now - since <= self.settings.report_period + 2 * self.span

    def known(self, piece: Slice, cap: dict[str, float]) -> dict[str, float]:
        """Where a slice may go as far as its heat is known: one that may be hot, to no cold endpoint."""
        return {n: c for n, c in cap.items() if not self.tender(n)} or cap if self.young(piece.since) else cap

    def roomiest(self, cap: dict, load: dict, heat: float, mean: float, taken: list | None) -> str | None:
        """Where heat adds least per capacity; a cold endpoint only within its share, but for `taken` None."""
        levels = {n: (load[n] + heat) / room for n, room in cap.items() if n not in (taken or ())}
        fit = [n for n, level in levels.items() if level <= COLD_HEADROOM * mean or not self.tender(n)]
        return min(fit or (levels if taken is None else []), key=levels.__getitem__, default=None)

    def tick(self) -> None:
        """The slow clockwork: list, learned speed, levels, rounds."""
        if self.ask_at is not None and self.now >= self.ask_at:
            self.out.append(api.Subscribe(True))
            self.ask_at = self.now + max(SECOND, self.settings.ask_every // 2)  # in case no answer comes
        if self.now >= self.judge_at:
            self.judge_at = self.now + self.settings.report_period
            if self.now - self.report_at <= 2 * self.span:  # reports late for all: heat and levels hold
                self.cool()
                self.learn_speed()
                self.shed()
            self.evacuate()
        old = self.now - self.channel.last > 2 * SECOND + 2 * self.settings.transit_max
        due = self.now >= self.round_at and self.report_at and not self.search
        if due and self.landed and (old or self.channel.landed()):
            self.round_at = self.now + PERIOD
            self.split_hot()
            search = Search(self, self.usable())
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
            heard = [p.rates[k] for p in self.slices.values() if p.heard[k]]
            self.rates[k] = sum(heard) / len(heard) if heard else self.rates[k]
        for piece in self.slices.values():
            for k, heard in enumerate(piece.heard):
                if self.now - heard > period + 2 * self.span and not self.young(piece.since):
                    piece.rates[k] *= fade
                elif piece.guessed and not heard:
                    piece.rates[k] = self.rates[k]
            for name in [*piece.warmth, *(h for h in piece.homes if h not in piece.warmth)]:
                aim = float(name in piece.homes)
                piece.warmth[name] = aim + (piece.warmth.get(name, 0.0) - aim) * warm
            piece.warmth = {n: w for n, w in piece.warmth.items() if w > 0.01}
        # Gone and in no table: forgotten once no proxy that was away may come back with a line of it.
        named = {n: True for p in self.slices.values() for n in (*p.lines, *p.homes)}
        self.gone = {
            n: self.gone.get(n, self.now)
            for n, e in self.endpoints.items()
            if e.state == "terminated" and n not in named
        }
        gone = {n: True for n, since in self.gone.items() if self.now - since > AWAY}
        self.endpoints = {n: e for n, e in self.endpoints.items() if n not in gone}
        while len(self.shut) > SHUT_MOST:
            del self.shut[next(iter(self.shut))]

    def learn_speed(self) -> None:
        """Exception (doubt: listed weight does not tell speed): capacity follows latency, and the share that
        is answered, against the fleet's. Covers slow, overloaded, ageing, hung and failing ones, whatever
        they report; none is taken out, which threw its load on the next. Harm: costly keys look slow."""
        warm = [
            e
            for e in self.endpoints.values()
            if e.state == "in_service"
            and self.ramp(e) >= 1
            and e.tries >= MIN_TRIES
            and self.now - e.heard <= 2 * self.span
        ]
        times = sorted(e.latency for e in warm if e.latency > 0) or [1.0]
        middle = times[len(times) // 2]
        # A link cut around us is no dead server, nor a lossy one: half of the zones must tell of it.
        zones = len(dict.fromkeys(self.met.values()))
        sound = {e.name: e.sound if 2 * e.seen >= zones else 1.0 for e in warm}
        usual = sum(sound.values()) / (len(sound) or 1) + 1e-9
        for ep in warm:
            target = middle / (ep.latency or middle) * min(1.0, sound[ep.name] / usual) ** FAILING
            gain = max(SPEED_DOWN if target < ep.speed else SPEED_UP, RECALL_GAIN * ep.recalled)
            ep.recalled /= 2
            ep.speed *= (min(SPEEDS[1], max(SPEEDS[0], target)) / ep.speed) ** gain

    def shed(self) -> None:
        """Exception: when answers come late across the fleet it is allowed less than it was seen to answer,
        then slowly more. Late reports would drive steps of a level far past the mark, and a level for each
        slice would fill the channel and hold up drains."""
        cap = self.usable()
        fresh = [e for e in map(self.endpoints.get, cap) if self.now - e.heard <= 2 * self.span and e.rate]
        good = sum(e.rate for e in fresh)
        rates = [sum(p.rates[k] for p in self.slices.values()) for k in range(len(self.level))]
        let_in = sum(level * rate for level, rate in zip(self.level, rates, strict=True))
        # Reports of a large fleet, or after a start, cover a part: the share answered there holds for all.
        share = sum(e.tries - e.fails for e in fresh) / (sum(e.tries for e in fresh) or 1.0)
        good = max(good, min(share * let_in, good / max(0.1, self.covered(cap))))
        # The middle of what all zones met: slow links, or servers, that are fewer than half do not shed.
        # A view that heard nothing since fades: a jam that is over would else be seen where few still ask.
        views, seen = (
            sorted(
                (v[6] / v[5], v[5] * math.exp((v[4] - self.now) / SECOND / LATE_TAU))
                for e in fresh
                for v in e.views.values()
                if v[5] > 0
            ),
            0.0,
        )
        half = sum(n for _, n in views) / 2
        late = next((time for time, n in views if (seen := seen + n) >= half), 0.0) / self.aim
        if self.taken_over:  # what the levels of the earlier life let in is the first allowance
            self.taken_over, self.hearsay = False, True
            if min(self.level) < 1:
                self.allow = let_in
        self.best = max(good, self.best * BEST_KEPT)
        self.usual = min(late or math.inf, self.usual / USUAL_KEPT)
        if late > SHED_LATENCY:
            if self.now - self.cut_at > CUT_HOLD:
                if self.hearsay:  # it may lead the way back, not the cut: one too high would not cut at all
                    self.hearsay, self.best = False, min(self.best, RECALL_MOST * good)
                cut, self.cut_at = max(CUT_LEAST, 1 - CUT_DEPTH * late), self.now
                self.allow = max(1.0, cut * max(good, KNOWN * self.best))
        elif late > CALM_LATENCY and self.advised and sum(rates) > self.advised:  # before answers are late
            self.allow = min(self.allow, max(self.advised, good))
        elif late < CALM_LATENCY:
            sure = self.allow < KNOWN * self.best or late < max(CALM_LATENCY / 2, EASY * self.usual)
            grown = self.allow * (ALLOW_UP if sure else ALLOW_PROBE)
            self.allow = grown if grown < 2 * sum(rates) else math.inf
        total = sum(cap.values()) + 1e-6
        self.pace = max(0.99 * self.pace, good / total)
        if 2 * sum(cap[n] for n in filter(self.tender, cap)) > total:  # cold ones refuse before they fall
            self.allow = min(self.allow, COLD_PACE * self.pace * total or math.inf)
        self.admitted = min(1.0, self.allow / (sum(rates) + 1e-6))
        if self.settings.admission == "ratio":
            self.wanted = self.levels(self.admitted, rates)

    def covered(self, cap: dict[str, float]) -> float:
        """Share of the capacity that our slices are on, and of the zones that use it, heard of lately."""
        zones = len(dict.fromkeys(self.met.values())) or 1
        homes = {h: True for p in self.slices.values() for h in p.homes if h in cap}
        late = self.now - 2 * self.span
        seen = sum(cap[h] * min(1.0, self.endpoints[h].seen / zones) for h in homes if self.endpoints[h].heard >= late)
        return seen / (sum(cap[h] for h in homes) or 1.0)

    def levels(self, share: float, rates: list[float]) -> tuple[float, ...]:
        """Admission level of each class where this share of demand can be let in: the most worth first."""
        left, result = share * sum(rates), [1.0] * len(rates)
        for k in sorted(range(len(rates)), key=lambda k: -self.settings.classes[k].worth):
            level = 1.0 if share >= 1 else min(1.0, (max(0.0, left) + 1e-6) / (rates[k] + 1e-6))
            left -= rates[k]
            result[k] = min(STEPS, key=lambda step: abs(step - level))
        return tuple(result)

    def split_hot(self) -> None:
        """Exception (doubt: a slice hotter than one server can carry): further full lines in its table, where
        its homes are above the mean. A line more costs half of a move and keeps the warmth where it is."""
        if self.settings.sole_owner:
            return
        cap = self.usable()
        load = self.loads(cap)
        mean = (sum(load.values()) + 1e-9) / (sum(cap.values()) + 1e-9)
        fair = mean * max(cap.values(), default=1.0)
        whole = fair * max(1.0, self.settings.slices / (len(self.slices) or 1))  # and that of others
        part, budget = self.part(mean, 1.0), max(4, int(ROUND_MESSAGES * self.channel.lines(BALANCE, 0.0)))
        for piece in sorted(self.slices.values(), key=lambda p: (-p.heat, p.number)):
            have = len(piece.homes) if not piece.laid else 0
            need = max(1, math.ceil(piece.heat / (HOT_SHARE * fair)))
            need = min(need, max(3, math.ceil(piece.heat / whole)))
            if need > have > 0 < budget and any(load[h] > mean * cap[h] for h in piece.homes):
                best = self.roomiest(self.known(piece, cap), load, piece.heat / (have + 1), part, piece.homes)
                if best and load[best] < mean * cap[best]:
                    load.update((h, load[h] - piece.heat / have / (have + 1)) for h in piece.homes)
                    piece.homes.append(best)
                    load[best] += piece.heat / (have + 1)
                    budget -= 1

    def orders(self, piece: Slice) -> tuple[int, list[str], list[str]]:
        """How urgent a slice's table is, and the endpoints it gains and loses. New lines go alone where it is
        bare; lines of endpoints that are withdrawn and stay away can wait until nothing else does."""
        adds = [n for n in piece.homes if piece.lines.get(n) != piece.wanted(n)]
        gone = [n for n in piece.lines if n not in piece.homes and not self.settings.sole_owner]
        if all(self.barred(n) or self.shut.get(n) for n in piece.lines):
            return RULE, adds, []
        live = [n for n in gone if not (self.shut.get(n) and self.barred(n))]
        return (BALANCE, adds, live) if adds or live else (LEISURE, adds, gone)

    def publish(self) -> None:
        """Send what differs from the published state: levels and rules, then balance, then old lines, hottest
        first, as one message a proxy and as much as the channel has room for."""
        back = [n for n, out in self.shut.items() if out and not self.barred(n)]
        if not self.channel.proxies or not (
            self.dirty or self.greet or self.restate or back or self.wanted != self.level
        ):
            return
        room = [self.channel.room(self.now, urgency) for urgency in (RULE, FAILURE, BALANCE, LEISURE)]
        if max(room) < 1:
            return
        stale = {n: True for p in self.dirty.values() for n in p.lines if n not in p.homes}
        # Exception: one line withdraws what the list bars, as two for each slice would miss the grace at 100
        # proxies. It goes before all: the message after next is too late. Old lines leave the tables when
        # nothing else waits, and only then may an endpoint come back.
        flips = [api.Withdraw(n, True) for n in stale if self.barred(n) and not self.shut.get(n)]
        lines: list[api.Action] = flips[: max(0, room[RULE])]
        out = {f.endpoint: True for f in lines}
        self.shut.update(out)
        again = room[FAILURE] / (2 if self.dirty else 1)  # what is said again leaves room for bare slices
        while self.restate and len(lines) < again:
            name = self.restate.pop()
            lines += [api.Withdraw(name, self.shut[name])] if name in self.shut and name not in out else []
        if (self.greet or self.wanted != self.level) and room[FAILURE] > len(lines) + 2:
            self.greet, self.level = False, self.wanted
            lines += [api.Admit(None, (k,), level, RETRY) for k, level in enumerate(self.wanted)]
        todo = sorted(
            ((*self.orders(p), p) for p in self.dirty.values()), key=lambda t: (t[0], -t[3].heat, t[3].number)
        )
        if lines or room[BALANCE] > 0:  # a return alone is not worth a message kept for rules
            backs = [api.Withdraw(n, False) for n in back if n not in stale][: max(0, room[RULE] - len(lines))]
            self.shut.update((b.endpoint, False) for b in backs)
            lines += backs
            self.changed |= bool(backs)
        moves = bool(lines)
        self.changed |= bool(out)
        self.landed, sole = True, self.settings.sole_owner  # a sole owner's line replaces the old
        for urgency, adds, drops, piece in todo:
            if piece.laid:  # it may be longer than a message: what fits, and the rest with the next
                adds = adds[: max(0, int(room[urgency]) - len(lines) - len(drops))]
            if len(lines) + len(adds) + len(drops) <= room[urgency]:
                moves = moves or urgency != LEISURE
                lines += [api.SetLine(piece.number, n, piece.wanted(n)) for n in adds]
                lines += [api.SetLine(piece.number, n, 0.0) for n in drops]
                kept = {n: w for n, w in piece.lines.items() if n not in drops and not sole}
                kept |= {n: piece.wanted(n) for n in piece.homes if n in adds or n in kept or sole}
                piece.lines = kept
                if not piece.astray():
                    del self.dirty[piece.number]
            else:
                self.landed = self.landed and urgency == LEISURE
        if lines:
            self.out += [*lines, self.channel.send(self.now, len(lines), moves)]
            if self.channel.flights[-1][1] > self.settings.channel_limit > self.over:
                self.over = math.inf  # said once
                self.out.append(api.Log("the channel's limit is below one message to all proxies"))


class Search:
    """The design's search on a copy: units of heat (a slice, or its share on each of its homes)."""

    def __init__(self, planner: Planner, cap: dict[str, float]) -> None:
        self.planner, self.random = planner, planner.random
        self.names = list(cap)
        self.cap = [max(1e-6, cap[n]) for n in self.names]
        place = {n: i for i, n in enumerate(self.names)}
        self.cold = [planner.tender(n) for n in self.names]
        self.units: list[tuple[Slice, int]] = []  # the slice and which of its homes
        self.at: list[int] = []
        self.heat: list[float] = []
        self.on: list[list[int]] = [[] for _ in place]  # units by endpoint
        self.load = [0.0] * len(place)
        for piece in planner.slices.values():
            for k, home in enumerate(piece.homes):
                if home in place and piece.laid:
                    self.load[place[home]] += piece.part(home)
                elif home in place:
                    at, heat = place[home], piece.part(home)
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
        return fits and (to == self.start[unit] or self.names[to] not in piece.homes)  # each home once

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
        usable = self.planner.usable()
        for unit, (piece, k) in enumerate(self.units):
            home, to = self.names[self.start[unit]], self.names[self.at[unit]]
            # List, starts or charge may have changed since the search began: such moves are left out.
            ours = self.planner.slices.get(piece.number) is piece and piece.homes[k : k + 1] == [home]
            if ours and to in usable and to not in piece.homes and not piece.laid:
                piece.homes[k] = to
