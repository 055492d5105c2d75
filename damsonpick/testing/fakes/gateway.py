"""A gateway that stands in: an xDS and LRS client, and plain forwarding by the tables it was given."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
import structlog

from damsonpick.protocols.xds import load_stats
from damsonpick.protocols.xds.names import EDS, slice_of
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.proxy.watch_client import WatchCallbacks, WatchClient
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes import http
from damsonpick.testing.fakes.picking import Picker
from damsonpick.testing.fakes.record import Recorder

HOLD = 500_000_000  # ns that a request waits for a table with a line
CONNECT = 400_000_000  # ns
NEVER_RAN, ANY = "connect-failure", "5xx"
QUIET = structlog.wrap_logger(None, processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])


def shown(
    received_state: ReceivedState, kind: str, nonce: str, resources: list, removed: list[str], bad: str
) -> dict[str, Any]:
    """A response as the rule checker reads it."""
    found: dict[str, Any] = {}
    for name, version, _ in resources:
        found[name] = {"v": version}
        if kind == EDS and not bad:
            table = received_state.tables[name]
            found[name] |= {
                "lines": {endpoint: entry.weight for endpoint, entry in table.entries.items()},
                "levels": table.levels,
            }
    return {"type": kind.rpartition(".")[2], "nonce": nonce, "res": found, "removed": removed, "nack": bad}


class Kind(NamedTuple):
    """A request class as gateways know it. Times in ns."""

    name: str
    aim: int
    deadline: int
    effect: str


class Links:
    """Which zones reach which, and which gateways reach the pilot."""

    def __init__(self) -> None:
        self.cut: set[str] = set()  # zones cut off from the others
        self.away: set[str] = set()  # gateways that reach no pilot
        self.pilot_zone = ""

    def joined(self, one: str, other: str) -> bool:
        return one == other or (one not in self.cut and other not in self.cut)

    def to_pilot(self, gateway: str, zone: str) -> bool:
        return gateway not in self.away and self.joined(zone, self.pilot_zone)


class Gateway:
    """One gateway.

    Args:
        name, zone: node id and locality.
        delta: which variant it speaks.
        dial: gives the pilot's address, or '' while there is none.
        kinds: request classes by name.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        delta: bool,
        dial: Callable[[], str],
        kinds: dict[str, Kind],
        clock: Clock,
        record: Recorder,
        links: Links,
        rng: random.Random,
    ) -> None:
        self.name, self.zone, self.kinds = name, zone, kinds
        self.clock, self.record, self.links, self.rng = clock, record, links, rng
        self.received_state, self.picker = ReceivedState(), Picker(rng)
        self.pools: dict[str, list[http.Wire]] = {}
        self.counts: dict[int, load_stats.SliceCounts] = {}
        self.changed = anyio.Event()
        self.stalled_until = self.read_delay = 0  # ns
        callbacks = WatchCallbacks(
            addresses=lambda: [address] if (address := dial()) else [],
            resources_applied=self._took,
            take_counts=self._sums,
            record=self._said,
            may_connect=lambda: links.to_pilot(name, zone),
            read_pause=lambda: clock.seconds(max(self.stalled_until - clock.now(), 0) + self.read_delay),
        )
        backoff = Backoff(rng, 0.1, 1.0)
        self.watch_client = WatchClient(name, zone, self.received_state, callbacks, clock, backoff, QUIET, delta)

    # -- the pilot

    @property
    def report_delay(self) -> int:
        return self.watch_client.report_delay

    @report_delay.setter
    def report_delay(self, ns: int) -> None:
        self.watch_client.report_delay = ns

    async def follow(self) -> None:
        """Keep a stream to the pilot, for ever."""
        await self.watch_client.run()

    def _took(self, kind: str, resources: list, removed: list[str]) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _sums(self) -> dict[int, load_stats.SliceCounts]:
        found, self.counts = self.counts, {}
        return found

    def _said(self, event: str, **details: Any) -> None:
        if event == "got":
            details = shown(
                self.received_state,
                details["type"],
                details["nonce"],
                details["resources"],
                details["removed"],
                details["nack"],
            )
        self.record.put(event, gw=self.name, **details)

    async def _stand_still(self) -> None:
        wait = self.stalled_until - self.clock.now()
        if wait > 0:
            await anyio.sleep(self.clock.seconds(wait))

    # -- requests

    async def serve(self, rid: str, kind: Kind, cluster: str, work: float) -> tuple[bool, str]:
        """Forward one request; returns whether it was answered, and how it ended."""
        start = self.clock.now()
        counts = self.counts.setdefault(slice_of(cluster), load_stats.SliceCounts())
        if self.rng.random() >= self.received_state.admission_level(cluster, kind.name):
            counts.count_dropped(kind.name)
            return False, "refused"
        counts.count_admitted(kind.name)
        await self._stand_still()
        good, how = await self._tries(rid, kind, cluster, work, start + kind.deadline)
        if not good:
            counts = self.counts.setdefault(slice_of(cluster), load_stats.SliceCounts())
            counts.count_failed(kind.name)
        return good, how

    async def _tries(self, rid: str, kind: Kind, cluster: str, work: float, end: int) -> tuple[bool, str]:
        tried: set[str] = set()
        most = self.received_state.retries_of(cluster, kind.name).limit
        how = "no server"
        for number in range(most + 1):
            server = await self._choose(cluster, tried, end, number)
            if server is None:
                return False, how
            tried.add(server)
            how = await self._try(rid, kind, cluster, server, work, end)
            if how == "ok":
                return True, how
            conditions = self.received_state.retries_of(cluster, kind.name).conditions
            if not ((how == "never ran" and NEVER_RAN in conditions) or ANY in conditions):
                return False, how
        return False, how

    async def _choose(self, cluster: str, tried: set[str], end: int, number: int) -> str | None:
        """A server; the first try waits a little for a table with a line, then is given up."""
        until = min(end, self.clock.now() + HOLD) if number == 0 else 0
        while True:
            server = self.picker.pick(self.clock.now(), self.received_state.available_entries(cluster), tried)
            left = until - self.clock.now()
            if server is not None or left <= 0:
                return server
            with anyio.move_on_after(self.clock.seconds(left)):
                await self.changed.wait()

    async def _try(self, rid: str, kind: Kind, cluster: str, server: str, work: float, end: int) -> str:
        start = self.clock.now()
        entry = self.received_state.available_entries(cluster).get(server)
        zone = entry.zone if entry else ""
        self.record.put("try", gw=self.name, id=rid, kind=kind.name, slice=slice_of(cluster), server=server)
        self.picker.sent(server)
        how = "too late"
        with anyio.move_on_after(self.clock.seconds(end - start)):
            how = await self._exchange(rid, kind, cluster, server, zone, work)
        now, good = self.clock.now(), how == "ok"
        self.picker.ended(now, server, good, self.received_state.ejection_failures)
        counts = self.counts.setdefault(slice_of(cluster), load_stats.SliceCounts())
        counts.count_attempt(zone, server, good, (now - start) / 1e6)
        return how

    async def _exchange(self, rid: str, kind: Kind, cluster: str, server: str, zone: str, work: float) -> str:
        if zone and not self.links.joined(self.zone, zone):
            await anyio.sleep(self.clock.seconds(CONNECT))  # across a cut link nothing answers
            return "never ran"
        wire, done = None, False
        try:
            wire = await self._wire(server)
            said = await wire.ask(
                "/",
                {
                    "x-request-id": rid,
                    "x-damson-class": kind.name,
                    "x-work-ms": f"{work:.1f}",
                    "x-slice": str(slice_of(cluster)),
                },
            )
            done = True
            if said.status == 200:
                return "ok"
            return "never ran" if "x-not-run" in said.headers else f"status {said.status}"
        except http.NeverRan:
            return "never ran"
        except http.Broken:
            return "broken"
        finally:
            if wire is not None:
                if done and wire.reuse():
                    self.pools.setdefault(server, []).append(wire)
                else:
                    with anyio.CancelScope(shield=True):
                        await wire.close()

    async def _wire(self, server: str) -> http.Wire:
        pool = self.pools.get(server)
        while pool:
            wire = pool.pop()
            if wire.idle():
                return wire
            await wire.close()
        return await http.Wire.dial(server, self.clock.seconds(CONNECT))
