"""Every decision of damsonpick. Types, events and actions: damsonpick/interface.py.

The ordinary path is HBase's StochasticLoadBalancer as the design page states it: a slop gate on slice
count and heat per listed weight, a keep-if-cheaper search with three pickers on a copy, a move cap, and
hottest-first publishing within the channel's budget. Everything else is an exception to it, and says so.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from damsonpick import interface as api

SECOND = 1_000_000_000
TICK = SECOND // 4  # ns between looks at the clock: well under any grace
# -- the design's search; values the design marks "ours" and leaves open
PERIOD = 4 * SECOND  # ns between rounds: heat moves within ten seconds or so
SLOP = 0.3  # share off the mean that is still even: slices are lumpy
STEP_FACTOR = 1.0  # steps per slice and endpoint
MAX_STEPS = 6000  # steps a round: bounds the CPU of very large fleets
MIN_GAIN = 0.002  # cost a kept step must save
HEAT_TAU = 9.0  # s over which heat is averaged
SURGE, SURGE_SHARE = 3.0, 0.7  # times the average at which demand has jumped; how much of it counts at once
WARM_TAU = 15.0  # s in which an endpoint warms to a slice, or forgets it
COUNT_COST, HEAT_COST, WARM_COST = 0.1, 4.0, 1.5  # cost weights: heat is what queues
MOVE_CAP = 0.07  # share of own slices that a round may move
# -- exceptions
HOT_SHARE = 0.1  # of an average endpoint's fair heat: a slice above this gets further lines
COLD_PACE = 1.0  # times the fleet's best pace: the most that a cold endpoint's slices let in
COLD_HEADROOM = 1.2  # times the fair share of a cold endpoint's present capacity
CROWDED = 0.6  # part of the demand let in, below which cold endpoints share no slice with others
EVIDENCE_TAU = 2.5  # s over which failures and latency are averaged
MIN_TRIES = 4.0  # tries behind a verdict
BAD_SHARE = 0.35  # failing share, above the fleet's, at which an endpoint is taken out
DEAD_SHARE = 0.97  # failing share at which it is dead to its proxies, whatever the few good answers say
SLOW_FROM = 1.6  # times the median latency from which good answers count as slow
SPEED_DOWN, SPEED_UP = 0.25, 0.12  # how far learned speed follows the observed each report period
SPEEDS = 0.1, 2.0  # its bounds
OUT_FIRST, OUT_MOST = 3 * SECOND, 8 * SECOND  # ns an ejected endpoint stays out, doubling
RETURN_SHARE, RETURN_TIME = 0.15, 6 * SECOND  # slow start after an ejection: first share, ns to full
EJECT_MOST = 0.4  # share of listed weight that may be out for health at a time
SHED_LATENCY, CALM_LATENCY = 0.5, 0.35  # of the aim: allow less above, more below
CUT_DEPTH, CUT_LEAST = 0.4, 0.5  # cut by this times latency per aim, to no less than this part
KNOWN = 0.85  # of the best answered lately: grow fast below, feel the way above
ALLOW_UP, ALLOW_PROBE = 1.15, 1.04  # growth a report period
BEST_KEPT, BEST_LATE = 0.99, 0.95  # fading of the best, a report period
CUT_HOLD = 3 * SECOND  # ns until a cut shows in the reports
LEVEL_GRAIN, LEVEL_LEAST = 0.125, 0.05  # levels are published in these steps; no class is shut out
RETRY = 1  # once, at another endpoint, on proof that the first try never ran
# -- channel
URGENT_FILL, FILL = 0.47, 0.25  # of the channel's limit: for failures and rules, for balance
RULE_MESSAGES, FAIL_MESSAGES, MESSAGES = 1.0, 0.8, 0.7  # of the messages allowed, by urgency
RULE, FAILURE, BALANCE = 0, 1, 2  # urgencies


Loads = dict[str, float]  # heat or capacity by endpoint


class Endpoint:
    """What is known of one endpoint."""

    def __init__(self, name: str) -> None:
        self.name, self.weight, self.state, self.started = name, 1.0, "unlisted", 0
        self.speed = 1.0  # learned, against the fleet's median; the machine's, so it outlives a process
        self.forget()

    def forget(self) -> None:
        """Start with no evidence: first seen, or a new process under the old name."""
        self.tries = self.fails = self.latency = self.best = 0.0  # sums, ns, most answers a second
        self.heard = 0  # when evidence last came
        self.views: dict[str, tuple[int, float]] = {}  # by proxy zone: when, and the failing share
        self.out_until = self.back_since = 0
        self.out_for = OUT_FIRST
        self.allow, self.cut_at = math.inf, 0  # requests a second it may be sent; when last cut


class Slice:
    """One slice in this instance's charge: where it should live and what the store holds."""

    def __init__(self, number: int, classes: int) -> None:
        self.number = number
        self.homes: list[str] = []
        self.lines: dict[str, float] = {}  # as published
        self.rates = [0.0] * classes  # requests a second by class, averaged
        self.heard = [0] * classes
        self.warmth: dict[str, float] = {}
        self.levels = (1.0,) * classes  # as published
        self.urgency = BALANCE

    @property
    def heat(self) -> float:
        return sum(self.rates) + 0.01  # an unheard slice still counts a little


class Channel:
    """Lines sent and not yet acknowledged. Counting acknowledgements, not the stated rate, holds when the
    channel runs slower than stated. Messages leave in order, so what half of the proxies have applied is
    out, with all before it; waiting for every proxy would let one stalled or cut off stop the drains."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.proxies: dict[int, str] = {}  # joined, with their zones
        self.flights: deque[list[float]] = deque()  # [mark, lines, acknowledgements] of each reply
        self.sent: deque[int] = deque()  # times of messages, for the window
        self.mark = self.last = 0

    def room(self, now: int, urgency: int) -> int:
        """Lines that a message may hold now; below 1: none."""
        s = self.settings
        while self.sent and self.sent[0] <= now - s.message_window:
            self.sent.popleft()
        allowed = (RULE_MESSAGES, FAIL_MESSAGES, MESSAGES)[urgency] * s.messages_per_window
        if s.messages_per_window and urgency != RULE and now - self.last < s.message_window / allowed:
            return 0  # evenly spaced: a burst would use up what later failures and levels need
        if not self.proxies or (s.messages_per_window and len(self.sent) + 1 > allowed):
            return 0
        waiting = sum(cost for _, cost, _ in self.flights)
        fill = FILL if urgency == BALANCE else URGENT_FILL
        return int((fill * s.channel_limit - waiting) / len(self.proxies) - s.message_overhead - 2)

    def send(self, now: int, lines: int) -> api.Mark:
        self.mark = (self.mark + 1) % 65536
        self.flights.append([self.mark, len(self.proxies) * (self.settings.message_overhead + lines + 2), 0])
        self.sent.append(now)
        self.last = now
        return api.Mark(self.mark, False)

    def applied(self, mark: int) -> None:
        for flight in self.flights:
            flight[2] += flight[0] == mark
        # Forget what half of the joined proxies have applied, and all sent before it.
        out = [k for k, flight in enumerate(self.flights) if 2 * flight[2] >= len(self.proxies)]
        for _ in range(out[-1] + 1 if out else 0):
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
        self.zones: dict[str, str] = {}  # zones with proxies, ever
        self.greet = True  # standing orders must be sent (again)
        self.tick_at = self.round_at = self.judge_at = self.report_at = self.ask_fails = 0
        self.median, self.crowded = 0.0, False
        self.share: Loads = {}  # let in of what is offered, by endpoint
        self.pace = 0.0  # answers a second for each unit of capacity, lately at best
        self.admitted = 1.0  # and of all: refused clients' repeats must not count for a cold endpoint's part
        self.changed = True
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
        self.publish()
        return self.out

    # ---- events ---------------------------------------------------------------------------------

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
            for ep in self.endpoints.values():  # what the full list does not name is gone
                ep.state = "terminated" if ep.state != "unlisted" else ep.state
        for entry in event.entries:
            ep = self.endpoints.setdefault(entry.endpoint, Endpoint(entry.endpoint))
            if ep.state == "unlisted" and not ep.heard:  # a newcomer is like others of its weight
                like = [e.speed for e in self.endpoints.values() if e.weight == entry.weight and e.tries]
                ep.speed = sum(like) / len(like) if like else ep.speed
            if entry.started != ep.started:
                ep.forget()
            ep.started, ep.state = entry.started, entry.state
            ep.weight = entry.weight if entry.weight > 0 else 1.0
        self.changed = True

    def on_ProxyJoined(self, event: api.ProxyJoined) -> None:
        self.channel.proxies[event.proxy] = self.zones[event.zone] = event.zone
        self.greet = True

    def on_ProxyLeft(self, event: api.ProxyLeft) -> None:
        self.channel.proxies.pop(event.proxy, None)

    def on_Applied(self, event: api.Applied) -> None:
        self.channel.applied(event.mark)

    def on_CustodyChanged(self, event: api.CustodyChanged) -> None:
        self.slices.pop(event.slice, None)
        if event.owned:
            self.slices[event.slice] = Slice(event.slice, len(self.settings.classes))
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
        surge = not piece.heard[k] or rate > SURGE * (piece.rates[k] + 1)
        piece.rates[k] += (SURGE_SHARE if surge else share) * (rate - piece.rates[k])
        piece.heard[k] = self.report_at = self.now

    def on_EndpointReport(self, event: api.EndpointReport) -> None:
        ep = self.endpoints.get(event.endpoint)
        if ep is None or event.tries <= 0 or event.period <= 0:
            return
        if ep.started and self.now - ep.started < event.period:
            return  # counted before the present process began
        keep = math.exp(-max(0, self.now - ep.heard) / SECOND / EVIDENCE_TAU)
        good = event.tries - event.failures
        if good > 0 and event.latency > 0:
            before = (ep.tries - ep.fails) * keep
            ep.latency = (ep.latency * before + event.latency * good) / (before + good)
        ep.tries = ep.tries * keep + event.tries
        ep.fails = ep.fails * keep + event.failures
        ep.heard = self.report_at = self.now
        ep.views[event.zone] = self.now, event.failures / event.tries

    # ---- what an endpoint may carry -------------------------------------------------------------

    def barred(self, name: str) -> bool:
        """No proxy may send there: told so by the list. Before a fresh list, the store is trusted."""
        state = self.endpoints[name].state
        return state in ("terminating", "terminated") or (state == "unlisted" and self.listed)

    def ramp(self, ep: Endpoint) -> float:
        """Share of its warm capacity that a newly started endpoint has at least."""
        s, age = self.settings, self.now - ep.started
        if not ep.started or age >= s.cold_time:
            return 1.0
        return s.cold_share + (1 - s.cold_share) * max(0.0, age / s.cold_time)

    def tender(self, name: str) -> bool:
        """Cold or on trial: it must not get more than its present share."""
        return self.ramp(self.endpoints[name]) < 1 or self.endpoints[name].back_since > 0

    def part(self, heat: float, capacity: float) -> float:
        """Mean heat by which a cold endpoint's part is measured: what is let in, at most the fleet's pace."""
        return min(self.admitted * (heat + 1e-9) / (capacity + 1e-9), self.pace or math.inf)

    def capacity(self, ep: Endpoint) -> float:
        """Listed weight, corrected for a start, a return and learned speed."""
        back = min(1.0, RETURN_SHARE + (self.now - ep.back_since) / RETURN_TIME) if ep.back_since else 1.0
        return ep.weight * self.ramp(ep) * max(RETURN_SHARE, back) * ep.speed

    def usable(self) -> dict[str, float]:
        """Endpoints that may take slices, with their present capacity; doubtful ones are better than none."""
        fit = [ep for ep in self.endpoints.values() if not self.barred(ep.name)]
        well = [ep for ep in fit if ep.out_until <= self.now]
        return {ep.name: self.capacity(ep) for ep in (well or fit)}

    def loads(self, names: Iterable[str]) -> dict[str, float]:
        """Heat that each endpoint should get from our slices as they are wanted."""
        load = dict.fromkeys(names, 0.0)
        for piece in self.slices.values():
            for home in piece.homes:
                if home in load:
                    load[home] += piece.heat / len(piece.homes)
        return load

    # ---- exceptions: evacuation, health, levels ----------------------------------------------------

    def evacuate(self) -> None:
        """Exception: what the list or the reports rule out moves at once, past gate and cap."""
        cap = self.usable()
        load = self.loads(cap)
        mean = self.part(sum(load.values()), sum(cap.values()))
        for piece in sorted(self.slices.values(), key=lambda p: (-p.heat, p.number)):
            if any(h not in cap for h in piece.homes):
                piece.homes = [h for h in piece.homes if h in cap]
                piece.urgency = FAILURE  # what the list bars is raised to a rule when it is published
            # Cold endpoints fall over when pushed: what they hold above their share leaves, and while
            # others shed they share no slice, or they would get all that its other homes turn away.
            for home in [h for h in piece.homes if self.ramp(self.endpoints[h]) < 1]:
                heat, shared = piece.heat / len(piece.homes), len(piece.homes) > 1
                over = load[home] > COLD_HEADROOM * mean * cap[home]
                if (shared and self.crowded) or (over and self.roomiest(cap, load, heat, mean, piece.homes)):
                    piece.homes.remove(home)
                    load[home] -= heat
                    piece.urgency = RULE
            if not piece.homes and cap:
                best = self.roomiest(cap, load, piece.heat, mean, None)
                piece.homes = [best]
                load[best] += piece.heat

    def roomiest(self, cap: Loads, load: Loads, heat: float, mean: float, taken: list | None) -> str | None:
        """Where heat adds least per capacity; a cold endpoint only within its share, but for `taken` None."""
        levels = {n: (load[n] + heat) / room for n, room in cap.items() if n not in (taken or ())}
        fit = [n for n, level in levels.items() if level <= COLD_HEADROOM * mean or not self.tender(n)]
        return min(fit or (levels if taken is None else []), key=levels.__getitem__, default=None)

    def tick(self) -> None:
        """The slow clockwork: list, health, levels, rounds."""
        if self.ask_at is not None and self.now >= self.ask_at:
            self.out.append(api.Subscribe(True))
            self.ask_at = self.now + max(SECOND, self.settings.ask_every // 2)  # in case no answer comes
        if self.now >= self.judge_at:
            self.judge_at = self.now + self.settings.report_period
            flowing = self.now - self.report_at <= 2 * self.settings.report_period
            if flowing:  # reports late for all: heat and allowances hold
                self.cool()
            self.judge()
            if flowing:
                self.shed()
            self.evacuate()
        lost = self.now - self.channel.last > 2 * SECOND + 2 * self.settings.transit_max
        if self.now >= self.round_at and (lost or not self.channel.flights) and all(
                p.lines == dict.fromkeys(p.homes, 1.0) for p in self.slices.values()):
            self.round_at = self.now + PERIOD
            self.split_hot()
            search = Search(self, self.usable())
            if search.skewed():
                for piece, homes in search.run():
                    piece.homes = homes
                self.evacuate()

    def cool(self) -> None:
        """Slices without requests send no line: let their heat fade."""
        period = self.settings.report_period
        fade = math.exp(-period / SECOND / HEAT_TAU)
        warm = math.exp(-period / SECOND / WARM_TAU)
        for piece in self.slices.values():
            for k, heard in enumerate(piece.heard):
                if self.now - heard > 3 * period:
                    piece.rates[k] *= fade
            for name in [*piece.warmth, *(h for h in piece.homes if h not in piece.warmth)]:
                aim = float(name in piece.homes)
                piece.warmth[name] = aim + (piece.warmth.get(name, 0.0) - aim) * warm

    def judge(self) -> None:
        """Take out endpoints that fail while the fleet does not: hangs, error storms and cut links alike."""
        period = self.settings.report_period
        listed = [e for e in self.endpoints.values() if e.state == "in_service"]
        fresh = [e for e in listed if self.now - e.heard < 3 * period and e.tries >= 1]
        timed = sorted(e.latency for e in fresh if e.latency > 0) or [self.median]
        self.median = timed[len(timed) // 2]
        tries, fails = sum(e.tries for e in fresh), sum(e.fails for e in fresh)
        weight, out = sum(e.weight for e in listed), sum(e.weight for e in listed if e.out_until > self.now)
        self.learn_speed(fresh)
        for ep in fresh:
            if ep.back_since and self.now - ep.back_since > RETURN_TIME:
                ep.back_since, ep.out_for = 0, OUT_FIRST
            if ep.out_until > self.now or ep.tries < MIN_TRIES:
                continue
            rest, share = (fails - ep.fails) / max(1.0, tries - ep.tries), ep.fails / ep.tries
            # Failing with slow good answers is overload: to eject would only push the load onto the next.
            ill = share > BAD_SHARE + rest and ep.latency < SLOW_FROM * self.median
            dead = share > DEAD_SHARE and rest < 0.5 and ep.tries > 2 * MIN_TRIES
            # A link cut around us is no dead server: half of the proxies' zones must say so.
            agreed = sum(self.now - at < 3 * period and bad > BAD_SHARE for at, bad in ep.views.values())
            if (ill or dead) and 2 * agreed >= len(self.zones) and out + ep.weight <= EJECT_MOST * weight:
                out += ep.weight
                self.out.append(api.Log(f"eject {ep.name}: {share:.2f} of {ep.tries:.0f} tries fail, fleet "
                                        f"{rest:.2f}; {ep.latency // 1000} us, {self.median // 1000} us"))
                wait = ep.out_for
                ep.forget()
                ep.out_until = ep.back_since = self.now + wait
                ep.out_for = min(2 * wait, OUT_MOST)

    def learn_speed(self, fresh: list[Endpoint]) -> None:
        """Exception (doubt: listed weight does not tell speed): capacity follows latency against the fleet's
        median. What is overloaded loses weight too. Harm: an endpoint whose keys are costly looks slow."""
        warm = [ep for ep in fresh if self.ramp(ep) >= 1 and ep.tries >= MIN_TRIES and ep.latency]
        times = sorted(ep.latency for ep in warm)
        for ep in warm:
            target = times[len(times) // 2] / ep.latency
            gain = SPEED_DOWN if target < ep.speed else SPEED_UP
            ep.speed *= (min(SPEEDS[1], max(SPEEDS[0], target)) / ep.speed) ** gain

    def shed(self) -> None:
        """Exception: an endpoint that answers late is allowed less than it was seen to answer, then slowly
        more. In requests, not in steps of a level: late reports would drive steps far past the mark."""
        span = self.settings.report_period / SECOND
        seen = span / (1 - math.exp(-span / EVIDENCE_TAU))  # s of answers in the decayed sums
        offered = self.loads(self.endpoints)
        for ep in self.endpoints.values():
            quiet = self.now - ep.heard > 2 * self.settings.report_period or ep.tries < MIN_TRIES
            late, good = ep.latency / self.aim, (ep.tries - ep.fails) / seen
            ep.best = max(good, ep.best * (BEST_LATE if late > SHED_LATENCY else BEST_KEPT))
            if late > SHED_LATENCY and not quiet and self.now - ep.cut_at > CUT_HOLD:
                cut = max(CUT_LEAST, 1 - CUT_DEPTH * late)
                ep.allow, ep.cut_at = max(1.0, cut * max(good, KNOWN * ep.best)), self.now
            elif quiet or late < CALM_LATENCY:
                sure = ep.allow < KNOWN * ep.best or late < CALM_LATENCY / 2
                grown = ep.allow * (ALLOW_UP if sure else ALLOW_PROBE)
                ep.allow = grown if grown < 2 * offered[ep.name] else math.inf
            if self.ramp(ep) < 1:
                ep.allow = COLD_PACE * self.pace * self.capacity(ep) or math.inf
        warm = [ep for ep in self.endpoints.values() if ep.best and not self.tender(ep.name)]
        self.pace = max(0.99 * self.pace, sum(e.best for e in warm) / (sum(map(self.capacity, warm)) + 1e-6))
        self.share = {n: min(1.0, self.endpoints[n].allow / (heat + 1e-6)) for n, heat in offered.items()}
        kept = sum(self.share[n] * heat for n, heat in offered.items())
        self.admitted = (kept + 1e-6) / (sum(offered.values()) + 1e-6)
        self.crowded = self.admitted < CROWDED

    def levels(self, piece: Slice) -> tuple[float, ...]:
        """Admission level of each class for a slice: what its homes allow goes to the most worth first."""
        full = (1.0,) * len(self.settings.classes)
        if self.settings.admission != "ratio" or not piece.homes:
            return full
        share = sum(self.share.get(h, 1.0) for h in piece.homes) / len(piece.homes)
        if share > 1 - LEVEL_GRAIN / 2:
            return full
        left, result = share * piece.heat, list(full)
        for k in sorted(range(len(full)), key=lambda k: -self.settings.classes[k].worth):
            level = min(1.0, max(0.0, left) / max(1e-6, piece.rates[k]))
            left -= piece.rates[k]
            result[k] = max(LEVEL_LEAST, round(level / LEVEL_GRAIN) * LEVEL_GRAIN)
        return tuple(result)

    def split_hot(self) -> None:
        """Exception (doubt: a slice hotter than one server can carry): further full lines in its table."""
        if self.settings.sole_owner:
            return
        cap = self.usable()
        load = self.loads(cap)
        mean = (sum(load.values()) + 1e-9) / (sum(cap.values()) + 1e-9)
        fair = mean * max(cap.values(), default=1.0)
        fit = {n: room for n, room in cap.items() if not (self.crowded and self.tender(n))}
        for piece in self.slices.values():
            need = min(3, max(1, math.ceil(piece.heat / (HOT_SHARE * fair))))
            if need > len(piece.homes) and not (self.crowded and any(map(self.tender, piece.homes))):
                best = self.roomiest(fit, load, piece.heat / need, self.part(mean, 1.0), piece.homes)
                if best:
                    piece.homes.append(best)
                    load[best] += piece.heat / need
            elif len(piece.homes) > 1 and piece.heat * 1.5 < HOT_SHARE * fair * (len(piece.homes) - 1):
                piece.homes.pop()

    # ---- publishing ---------------------------------------------------------------------------------

    def orders(self, piece: Slice) -> list[api.Action]:
        """What brings a slice's table to what is wanted: new lines first, so that it is never bare."""
        adds = [api.SetLine(piece.number, n, 1.0) for n in piece.homes if piece.lines.get(n) != 1.0]
        gone = [] if self.settings.sole_owner else [n for n in piece.lines if n not in piece.homes]
        return adds + [api.SetLine(piece.number, n, 0.0) for n in gone]

    def admits(self, table: int | None, levels: tuple[float, ...]) -> list[api.Action]:
        """Levels, with a further try only on proof that the first never ran: safe for every class. Trying
        again after any failure doubled the load of servers that were late, and lost more than it saved."""
        groups: dict[float, list[int]] = {}
        for k, level in enumerate(levels):
            groups.setdefault(level, []).append(k)
        return [api.Admit(table, tuple(ks), level, RETRY) for level, ks in groups.items()]

    def publish(self) -> None:
        """Send what differs from the published state: rules, then failures, then balance, hottest first,
        as one message a proxy and as much as the channel has room for."""
        lines: list[api.Action] = []
        room = [self.channel.room(self.now, urgency) for urgency in (RULE, FAILURE, BALANCE)]
        if self.greet and room[FAILURE] > 2:
            self.greet = False
            lines += self.admits(None, (1.0,) * len(self.settings.classes))
        todo, cap = [], self.usable()
        for piece in self.slices.values():
            orders, levels = self.orders(piece), self.levels(piece)
            if levels != piece.levels:
                orders += self.admits(piece.number, levels)
            if orders:
                must = any(map(self.barred, piece.lines)) or not any(n in cap for n in piece.lines)
                urgency = RULE if must else FAILURE if min(levels) < min(piece.levels) else piece.urgency
                todo.append((urgency, -piece.heat, piece.number, piece, orders, levels))
        for urgency, _, _, piece, orders, levels in sorted(todo, key=lambda t: t[:3]):
            if len(lines) + len(orders) <= room[urgency]:
                lines += orders
                piece.lines, piece.levels, piece.urgency = dict.fromkeys(piece.homes, 1.0), levels, BALANCE
        if lines:
            self.out += [*lines, self.channel.send(self.now, len(lines))]


class Search:
    """The design's search on a copy: units of heat (a slice, or its share on each of its homes)."""

    def __init__(self, planner: Planner, cap: Loads) -> None:
        self.planner, self.random = planner, planner.random
        self.names = list(cap)
        self.cap = [max(1e-6, cap[n]) for n in self.names]
        place = {n: i for i, n in enumerate(self.names)}
        self.cold = [planner.tender(n) for n in self.names]
        self.units: list[tuple[Slice, int]] = []  # the slice and which of its homes
        self.at: list[int] = []
        self.heat: list[float] = []
        for piece in planner.slices.values():
            for k, home in enumerate(piece.homes):
                if home in place:
                    self.units.append((piece, k))
                    self.at.append(place[home])
                    self.heat.append(piece.heat / len(piece.homes))
        self.start = list(self.at)
        self.warmest = [[place[n] for n, _ in sorted(p.warmth.items(), key=lambda i: -i[1]) if n in place]
                        for p, _ in self.units]
        self.load, self.count = [0.0] * len(place), [0] * len(place)
        for unit, at in enumerate(self.at):
            self.load[at] += self.heat[unit]
            self.count[at] += 1
        self.total, self.weight = sum(self.load) or 1.0, sum(self.cap) or 1.0
        self.most = COLD_HEADROOM * planner.part(self.total, self.weight)  # heat per capacity where cold
        self.heat_sq = sum(x * x / w for x, w in zip(self.load, self.cap, strict=True))
        self.count_sq = sum(x * x / w for x, w in zip(self.count, self.cap, strict=True))
        self.lost, self.moved = 0.0, 0  # warmth lost by moves, in heat; units away from their start

    def skewed(self) -> bool:
        """The slop gate: some endpoint's count or heat per weight is off the mean by more than the slop."""
        if len(self.names) < 2 or not self.units:
            return False
        even = ((self.load, self.total / self.weight), (self.count, len(self.units) / self.weight))
        return any(abs(x / w - mean) > SLOP * mean
                   for have, mean in even for x, w in zip(have, self.cap, strict=True))

    def spread(self, squares: float, total: float) -> float:
        """Spread per weight, from 0 (even) to 1 (all on the smallest endpoint)."""
        worst = 1 / min(self.cap) - 1 / self.weight
        return math.sqrt(max(0.0, squares / (total * total) - 1 / self.weight) / max(1e-9, worst))

    def cost(self) -> float:
        return (COUNT_COST * self.spread(self.count_sq, len(self.units))
                + HEAT_COST * self.spread(self.heat_sq, self.total) + WARM_COST * self.lost / self.total)

    def shift(self, unit: int, to: int) -> None:
        """Move one unit on the copy; all sums follow in constant time."""
        for end, sign in ((self.at[unit], -1), (to, 1)):
            w = self.cap[end]
            self.heat_sq -= self.load[end] ** 2 / w
            self.count_sq -= self.count[end] ** 2 / w
            self.load[end] += sign * self.heat[unit]
            self.count[end] += sign
            self.heat_sq += self.load[end] ** 2 / w
            self.count_sq += self.count[end] ** 2 / w
        self.lost += self.loss(unit, to) - self.loss(unit, self.at[unit])
        self.moved += (to != self.start[unit]) - (self.at[unit] != self.start[unit])
        self.at[unit] = to

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
            away = [e for e in self.warmest[unit] if e != self.at[unit]]
            return [(unit, away[0])] if away else []
        if kind == 1:
            level = [x / w for x, w in zip(self.load, self.cap, strict=True)]
            a, b = level.index(max(level)), level.index(min(level))
        else:
            a, b = rnd.randrange(len(self.names)), rnd.randrange(len(self.names))
        mine = [u for u, e in enumerate(self.at) if e == a]
        theirs = [u for u, e in enumerate(self.at) if e == b]
        if a == b or not mine:
            return []
        moves = [(rnd.choice(mine), b)]
        if theirs and rnd.random() < 0.5:
            moves.append((rnd.choice(theirs), a))
        return moves

    def allowed(self, unit: int, to: int) -> bool:
        piece, _ = self.units[unit]
        if self.names[to] in piece.homes and to != self.start[unit]:
            return False  # a slice has each home once
        spill = self.planner.crowded and len(piece.homes) > 1
        fits = self.load[to] + self.heat[unit] <= self.most * self.cap[to]
        return not self.cold[to] or (fits and not spill)

    def run(self) -> list[tuple[Slice, list[str]]]:
        """Keep a step only if it is cheaper by the least gain; return the slices that end elsewhere."""
        most, best = max(1, int(MOVE_CAP * len(self.planner.slices))), self.cost()
        for _ in range(min(MAX_STEPS, int(len(self.units) * len(self.names) * STEP_FACTOR))):
            moves = self.pick()
            if not moves or not all(self.allowed(u, to) for u, to in moves):
                continue
            undo = [(u, self.at[u]) for u, _ in moves]
            for u, to in moves:
                self.shift(u, to)
            cost = self.cost()
            if self.moved <= most and cost < best - MIN_GAIN:
                best = cost
            else:
                for u, back in reversed(undo):
                    self.shift(u, back)
        plans: dict[int, tuple[Slice, list[str]]] = {}
        for unit, (piece, k) in enumerate(self.units):
            if self.at[unit] != self.start[unit]:
                homes = plans.setdefault(piece.number, (piece, list(piece.homes)))[1]
                if self.names[self.at[unit]] not in homes:
                    homes[k] = self.names[self.at[unit]]
        return list(plans.values())
