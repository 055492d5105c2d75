"""Clients' requests through the proxies to the endpoints, and the check of every try against the rules."""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from review.standins.endpoint import Endpoint
from review.standins.proxy import Proxy
from review.standins.settings import RequestClass

if TYPE_CHECKING:
    from review.standins.world import World

TICK_S = 0.01
SLACK_S = 0.3  # by which the rules' time limits are longer on sockets
BARE_CHECK_S = 0.25
COLD_SLACK = 1.1


class Call:
    """One request of a client."""

    __slots__ = ("at", "number", "proxy", "request_class", "slice", "starts", "tries", "work_s")

    def __init__(
        self, number: int, proxy: Proxy, slice_number: int, request_class: RequestClass, work_s: float
    ) -> None:
        """Create a request that arrives now."""
        self.number, self.proxy, self.slice = number, proxy, slice_number
        self.request_class, self.work_s = request_class, work_s
        self.at = time.monotonic()
        self.starts = proxy.starts
        self.tries = 0


class Traffic:
    """Generates requests and counts what the collectors report."""

    def __init__(self, world: World, seed: str) -> None:
        """Create the traffic of a world."""
        self.world = world
        self.random = random.Random(f"traffic-{seed}")
        deployment = world.deployment
        self.slice_weights = [self.random.lognormvariate(0, 0.6) for _ in range(deployment.slices)]
        self.rate = deployment.request_rate
        self.tries: defaultdict[tuple[int, str, str], list[float]] = defaultdict(lambda: [0, 0, 0.0])
        self.demand: defaultdict[tuple[int, int, str], list[int]] = defaultdict(lambda: [0, 0])
        self._number = 0
        self._round: list[int] = []  # slices that still get a request in this round of equal traffic
        self._bare_since: dict[tuple[int, int], float] = {}
        self._in_hand: defaultdict[int, list[str]] = defaultdict(list)  # endpoints with a write in hand, by slice
        self._writes: dict[tuple[int, int], str] = {}  # writes in hand
        self._writers: defaultdict[int, list[str]] = defaultdict(list)  # endpoints in order of their first write

    async def run(self) -> None:
        """Generate requests until cancelled."""
        due, last = 0.0, time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            due += self.rate * (now - last)
            last = now
            while due >= 1:
                due -= 1 if self.world.deployment.even else self.random.expovariate(1.0)
                call = self._draw_even() if self.world.deployment.even else self._draw()
                self._number += 1
                if call.proxy.running and call.proxy.stalled_until <= now:
                    self._arrive(call)

    def _draw(self) -> Call:
        deployment = self.world.deployment
        proxy = self.random.choice(self.world.proxies)
        slice_number = self.random.choices(range(deployment.slices), self.slice_weights)[0]
        request_class = self.random.choices(deployment.classes, [c.share for c in deployment.classes])[0]
        work_s = deployment.work_s * self.random.lognormvariate(-0.15, 0.5)
        return Call(self._number, proxy, slice_number, request_class, work_s)

    def _draw_even(self) -> Call:
        """Return the next request of a round. A round has one request for each slice, in random order."""
        deployment = self.world.deployment
        if not self._round:
            self._round = list(range(deployment.slices))
            self.random.shuffle(self._round)
        proxy = self.world.proxies[self._number % deployment.proxies]
        request_class = self.random.choice(deployment.classes)
        return Call(self._number, proxy, self._round.pop(), request_class, deployment.work_s)

    def _arrive(self, call: Call) -> None:
        owner = self.world.store.owner[call.slice]
        if owner is not None and call.proxy.streams[owner].reaches():
            self.demand[owner, call.slice, call.request_class.name][0] += 1
            level = call.proxy.levels[owner].get(call.request_class.name, 1.0)
            if self.random.random() >= level:
                self.world.record.counts["shed"] += 1
                return
        self._attempt(call, "")

    def _attempt(self, call: Call, tried: str) -> None:
        if call.starts != call.proxy.starts or not call.proxy.running:
            return
        owner = self.world.store.owner[call.slice]
        name = call.proxy.pick(call.proxy.lines(call.slice, owner), tried)
        now = time.monotonic()
        if name is None:
            if call.tries == 0 and now - call.at < 0.2:
                asyncio.get_running_loop().call_later(0.05, self._attempt, call, tried)
            else:
                self._end(call, "refused", "-")
            return
        call.tries += 1
        endpoint = self.world.endpoints[name]
        call.proxy.outstanding[name] = call.proxy.outstanding.get(name, 0) + 1
        write = self.world.record.write
        write("sent", id=call.number, proxy=call.proxy.number, slice=call.slice, endpoint=name)
        self._check_drain(call, name, owner, now)
        if self.world.deployment.sole_owner and call.request_class.write and endpoint.up:
            self._check_owner(call, name)
        self._send(call, endpoint, owner, now)

    def _send(self, call: Call, endpoint: Endpoint, owner: int | None, now: float) -> None:
        loop = asyncio.get_running_loop()
        if not endpoint.up:
            loop.call_later(0.002, self._tried, call, endpoint, owner, now, "refused-connection")
            return
        deployment = self.world.deployment
        share = endpoint.share(now, deployment.cold_share, deployment.cold_s)
        if share < 1:
            self._check_cold(call, endpoint, owner, now, share)
        deadline = call.at + call.request_class.deadline_s
        end = endpoint.finish_at(now, call.work_s, share)
        if endpoint.hangs or end > deadline:
            loop.call_at(deadline, self._tried, call, endpoint, owner, now, "timeout")
        else:
            loop.call_at(end, self._served, call, endpoint, owner, now, endpoint.epoch)

    def _served(self, call: Call, endpoint: Endpoint, owner: int | None, at: float, epoch: int) -> None:
        self._tried(call, endpoint, owner, at, "answered" if endpoint.epoch == epoch else "lost")

    def _tried(self, call: Call, endpoint: Endpoint, owner: int | None, at: float, outcome: str) -> None:
        succeeded = outcome == "answered"
        if (call.slice, call.number) in self._writes:
            self._writes.pop((call.slice, call.number))
            self._in_hand[call.slice].remove(endpoint.name)
        if call.starts == call.proxy.starts:
            call.proxy.ended(endpoint.name, succeeded)
        if owner is not None and call.proxy.streams[owner].reaches():
            sums = self.tries[owner, call.proxy.zone, endpoint.name]
            sums[0] += 1
            sums[1] += not succeeded
            sums[2] += (time.monotonic() - at) * 1000 if succeeded else 0.0
        if outcome == "refused-connection" and call.tries == 1:
            self._attempt(call, endpoint.name)  # the try provably never ran
        else:
            self._end(call, outcome, endpoint.name)

    def _end(self, call: Call, outcome: str, name: str) -> None:
        owner = self.world.store.owner[call.slice]
        if owner is not None and outcome != "answered":
            self.demand[owner, call.slice, call.request_class.name][1] += 1
        self.world.record.write(outcome, id=call.number, endpoint=name)

    # -- rules

    def _check_drain(self, call: Call, name: str, owner: int | None, now: float) -> None:
        if owner is None or not call.proxy.streams[owner].reaches():
            return
        told = self.world.discovery.told[owner].get(name)
        if told is None:
            return
        world = self.world
        start = max(told, call.proxy.streams[owner].at, world.store.given_at[call.slice], world.limits_from[owner])
        late = now - start - world.deployment.grace_s * world.factor - SLACK_S
        if late > 0:
            state = "drains" if world.endpoints[name].up else "gone"
            fields = {"proxy": call.proxy.number, "slice": call.slice, "endpoint": name, "state": state}
            since_told, since_joined = now - told, now - call.proxy.streams[owner].at
            world.record.breach(
                "drain",
                id=call.number,
                **fields,
                since_told=f"{since_told:.2f}",
                since_joined=f"{since_joined:.2f}",
                late=f"{late:.2f}",
            )

    def _check_owner(self, call: Call, name: str) -> None:
        """Check that no other endpoint has a write of the slice in hand, and that no later owner took one."""
        writers, in_hand = self._writers[call.slice], self._in_hand[call.slice]
        others = sorted({other for other in in_hand if other != name})
        if others:
            self.world.record.breach("twice", id=call.number, slice=call.slice, endpoint=name, in_hand=",".join(others))
        if name not in writers:
            writers.append(name)
        elif writers[-1] != name:
            fields = {"slice": call.slice, "former": name, "later": writers[-1]}
            self.world.record.breach("twice", id=call.number, **fields)
        in_hand.append(name)
        self._writes[call.slice, call.number] = name

    def _check_cold(self, call: Call, endpoint: Endpoint, owner: int | None, now: float, share: float) -> None:
        deployment = self.world.deployment
        known = None
        if owner is not None:
            known = self.world.discovery.restarts_told[owner].get(f"{endpoint.name}@{endpoint.started_ms}")
        knowing = known is not None and now > known + deployment.grace_s * self.world.factor + SLACK_S
        recent = endpoint.recent
        recent.append((now, call.work_s / endpoint.speed / endpoint.cores, knowing))
        while recent[0][0] < now - deployment.fall_s:
            recent.popleft()
        work = sum(item[1] for item in recent)
        if work > deployment.fall_multiple * share * deployment.fall_s * COLD_SLACK:
            informed = sum(item[1] for item in recent if item[2])
            if informed * 3 >= work * 2:
                self.world.record.breach("cold", endpoint=endpoint.name, work=f"{work:.2f}", share=f"{share:.2f}")

    async def watch_tables(self) -> None:
        """Check until cancelled that no joined proxy lacks a line for longer than the settings allow."""
        while True:
            await asyncio.sleep(BARE_CHECK_S)
            now = time.monotonic()
            for proxy in self.world.proxies:
                self._check_tables(proxy, now)

    def _check_tables(self, proxy: Proxy, now: float) -> None:
        world = self.world
        limit = world.deployment.unserved_max_s * world.factor + SLACK_S
        for slice_number, owner in enumerate(world.store.owner):
            key = (proxy.number, slice_number)
            joined = owner is not None and proxy.streams[owner].reaches()
            if not joined or proxy.lines(slice_number, owner):
                self._bare_since.pop(key, None)
                continue
            start = max(proxy.streams[owner].at, world.store.given_at[slice_number], world.limits_from[owner])
            since = max(self._bare_since.setdefault(key, now), start)
            if now - since > limit:
                fields = {"proxy": proxy.number, "slice": slice_number}
                world.record.breach("bare", **fields, seconds=f"{now - since:.2f}")
                self._bare_since[key] = now
