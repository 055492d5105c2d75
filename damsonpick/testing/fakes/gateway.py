"""A fake gateway: an xDS and LRS client, and plain forwarding by the tables it was given."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio
import structlog

from damsonpick.protocols.xds import load_stats
from damsonpick.protocols.xds.names import EDS, slice_of
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.proxy.watch_client import WatchCallbacks, WatchClient
from damsonpick.runtime.backoff import Backoff
from damsonpick.testing.fakes import http
from damsonpick.testing.fakes.gateway_context import GatewayContext, TrafficClass
from damsonpick.testing.fakes.server_picker import ServerPicker

TABLE_WAIT_NS = 500_000_000  # that a request waits for a table with an entry
CONNECT_TIMEOUT_NS = 400_000_000
RETRY_ON_CONNECT_FAILURE = "connect-failure"
RETRY_ON_ANY_FAILURE = "5xx"
NO_LOG = structlog.wrap_logger(None, processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])


def response_details(
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


def known_addresses(pilot_address: Callable[[], str]) -> list[str]:
    """The pilot's address, if there is one."""
    address = pilot_address()
    return [address] if address else []


class FakeGateway:
    """One gateway.

    Attributes:
        name, zone: node id and locality.
        received_state: what it received from the pilot.
        stalled_until: until when it reads and forwards nothing, ns.
        read_delay: how much longer it takes to read a response, ns.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        delta: bool,
        pilot_address: Callable[[], str],
        context: GatewayContext,
        rng: random.Random,
    ) -> None:
        """Prepare a gateway that is not yet connected.

        Args:
            name: node id.
            zone: locality.
            delta: which variant it speaks.
            pilot_address: gives the pilot's address, or '' while there is none.
            context: what it shares with the other gateways.
            rng: draws servers, retries and admitted requests.
        """
        clock, network = context.clock, context.network
        self.name, self.zone = name, zone
        self.clock, self.record, self.network, self.rng = clock, context.record, network, rng
        self.received_state, self.picker = ReceivedState(), ServerPicker(rng)
        self.pools: dict[str, list[http.ClientConnection]] = {}
        self.counts: dict[int, load_stats.SliceCounts] = {}
        self.changed = anyio.Event()
        self.stalled_until = self.read_delay = 0  # ns
        callbacks = WatchCallbacks(
            addresses=lambda: known_addresses(pilot_address),
            resources_applied=self._took,
            take_counts=self._sums,
            record=self._said,
            may_connect=lambda: network.reaches_pilot(name, zone),
            read_pause=lambda: clock.seconds(max(self.stalled_until - clock.now(), 0) + self.read_delay),
        )
        backoff = Backoff(rng, 0.1, 1.0)
        self.watch_client = WatchClient(name, zone, self.received_state, callbacks, clock, backoff, NO_LOG, delta)

    # The pilot

    @property
    def report_delay(self) -> int:
        """How late load reports are sent, ns."""
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
            details = response_details(
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

    # Requests

    async def serve(self, rid: str, kind: TrafficClass, cluster: str, work: float) -> tuple[bool, str]:
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

    async def _tries(self, rid: str, kind: TrafficClass, cluster: str, work: float, end: int) -> tuple[bool, str]:
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
            if not (
                (how == "never ran" and RETRY_ON_CONNECT_FAILURE in conditions) or RETRY_ON_ANY_FAILURE in conditions
            ):
                return False, how
        return False, how

    async def _choose(self, cluster: str, tried: set[str], end: int, number: int) -> str | None:
        """A server; the first try waits a little for a table with a line, then is given up."""
        until = min(end, self.clock.now() + TABLE_WAIT_NS) if number == 0 else 0
        while True:
            server = self.picker.pick(self.clock.now(), self.received_state.available_entries(cluster), tried)
            left = until - self.clock.now()
            if server is not None or left <= 0:
                return server
            with anyio.move_on_after(self.clock.seconds(left)):
                await self.changed.wait()

    async def _try(self, rid: str, kind: TrafficClass, cluster: str, server: str, work: float, end: int) -> str:
        start = self.clock.now()
        entry = self.received_state.available_entries(cluster).get(server)
        zone = entry.zone if entry else ""
        self.record.put("try", gw=self.name, id=rid, kind=kind.name, slice=slice_of(cluster), server=server)
        self.picker.request_sent(server)
        how = "too late"
        with anyio.move_on_after(self.clock.seconds(end - start)):
            how = await self._exchange(rid, kind, cluster, server, zone, work)
        now, good = self.clock.now(), how == "ok"
        self.picker.request_ended(now, server, good, self.received_state.ejection_failures)
        counts = self.counts.setdefault(slice_of(cluster), load_stats.SliceCounts())
        counts.count_attempt(zone, server, good, (now - start) / 1e6)
        return how

    async def _exchange(self, rid: str, kind: TrafficClass, cluster: str, server: str, zone: str, work: float) -> str:
        if zone and not self.network.connects(self.zone, zone):
            await anyio.sleep(self.clock.seconds(CONNECT_TIMEOUT_NS))  # across a cut link nothing answers
            return "never ran"
        wire, done = None, False
        try:
            wire = await self._wire(server)
            said = await wire.post(
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
        except http.NotSentError:
            return "never ran"
        except http.ConnectionBrokenError:
            return "broken"
        finally:
            if wire is not None:
                if done and wire.prepare_reuse():
                    self.pools.setdefault(server, []).append(wire)
                else:
                    with anyio.CancelScope(shield=True):
                        await wire.close()

    async def _wire(self, server: str) -> http.ClientConnection:
        pool = self.pools.get(server)
        while pool:
            wire = pool.pop()
            if wire.is_idle():
                return wire
            await wire.close()
        return await http.ClientConnection.connect(server, self.clock.seconds(CONNECT_TIMEOUT_NS))
