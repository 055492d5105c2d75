"""A fake gateway: an xDS and LRS client that forwards requests by the tables it has received."""

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
from damsonpick.testing.fakes import http
from damsonpick.testing.fakes.gateway_context import GatewayContext, TrafficClass
from damsonpick.testing.fakes.request_outcome import Ending, RequestOutcome, ended, status_ending
from damsonpick.testing.fakes.server_picker import ServerPicker
from damsonpick.time_units import NS_PER_MS

TABLE_WAIT_NS = 500_000_000  # longest time that a request waits for a table with an available entry
CONNECT_TIMEOUT_NS = 400_000_000
RETRY_ON_CONNECT_FAILURE = "connect-failure"
RETRY_ON_ANY_FAILURE = "5xx"
NOT_RUN_HEADER = "x-not-run"
# Logger that discards every event.
NO_LOG = structlog.wrap_logger(None, processors=[lambda *_: (_ for _ in ()).throw(structlog.DropEvent)])


def response_details(
    received_state: ReceivedState, kind: str, nonce: str, resources: list, removed: list[str], bad: str
) -> dict[str, Any]:
    """Return an xDS response as the details of a `got` record, which the rule checker reads.

    `bad` is the reason for which the gateway rejects the response, or '' if it accepts the response.
    """
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
    """Return a list with the pilot's address, or an empty list while the pilot has none."""
    address = pilot_address()
    return [address] if address else []


class ForwardedRequest(NamedTuple):
    """A request that a gateway has admitted.

    Attributes:
        request_id: Identifier of the request in the records.
        traffic_class: Request class.
        cluster: Cluster whose table the gateway uses.
        work_ms: Duration of the work on a server of mean speed, in ms.
        deadline: Time at which the last attempt must have ended, in ns of the scenario's clock.
    """

    request_id: str
    traffic_class: TrafficClass
    cluster: str
    work_ms: float
    deadline: int

    def headers(self) -> dict[str, str]:
        """Return the request headers that a results server reads."""
        return {
            "x-request-id": self.request_id,
            "x-damson-class": self.traffic_class.name,
            "x-work-ms": f"{self.work_ms:.1f}",
            "x-slice": str(slice_of(self.cluster)),
        }


class FakeGateway:
    """One gateway.

    Attributes:
        name: Node id.
        zone: Zone of the locality.
        received_state: State received from the pilot.
        stalled_until: Time until which the gateway reads and forwards nothing, in ns of the scenario's clock.
        read_delay: Time in ns that the gateway waits, after any stall, before it processes a response of the pilot.
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
        """Create a gateway without a connection; `follow` opens the stream.

        Args:
            name: Node id.
            zone: Zone of the locality.
            delta: Whether the gateway uses the delta variant of xDS instead of state of the world.
            pilot_address: Returns the pilot's address, or '' while the pilot has none.
            context: Objects shared by all gateways of the process.
            rng: Source of the random draws for server choice, backoff and admission.
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
            resources_applied=self._resources_applied,
            take_counts=self._take_counts,
            record=self._record_event,
            may_connect=lambda: network.reaches_pilot(name, zone),
            read_pause=lambda: clock.seconds(max(self.stalled_until - clock.now(), 0) + self.read_delay),
        )
        backoff = Backoff(rng, 0.1, 1.0)
        self.watch_client = WatchClient(name, zone, self.received_state, callbacks, clock, backoff, NO_LOG, delta)

    # The pilot

    @property
    def report_delay(self) -> int:
        """Time in ns by which each load report is sent late."""
        return self.watch_client.report_delay

    @report_delay.setter
    def report_delay(self, ns: int) -> None:
        self.watch_client.report_delay = ns

    async def follow(self) -> None:
        """Keep a stream to the pilot until cancelled."""
        await self.watch_client.run()

    def _resources_applied(self, type_url: str, resources: list, removed: list[str]) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _take_counts(self) -> dict[int, load_stats.SliceCounts]:
        counts, self.counts = self.counts, {}
        return counts

    def _record_event(self, event: str, **details: Any) -> None:
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

    async def _wait_while_stalled(self) -> None:
        wait = self.stalled_until - self.clock.now()
        if wait > 0:
            await anyio.sleep(self.clock.seconds(wait))

    # Requests

    async def serve(self, request_id: str, traffic_class: TrafficClass, cluster: str, work_ms: float) -> RequestOutcome:
        """Admit or reject one request, and forward it if it is admitted.

        Args:
            request_id: Identifier of the request in the records.
            traffic_class: Request class.
            cluster: Cluster whose table the gateway uses.
            work_ms: Duration of the work on a server of mean speed, in ms.
        """
        start = self.clock.now()
        counts = self.counts.setdefault(slice_of(cluster), load_stats.SliceCounts())
        if self.rng.random() >= self.received_state.admission_level(cluster, traffic_class.name):
            counts.count_dropped(traffic_class.name)
            return ended(Ending.REFUSED)
        counts.count_admitted(traffic_class.name)
        await self._wait_while_stalled()
        forwarded = ForwardedRequest(request_id, traffic_class, cluster, work_ms, start + traffic_class.deadline)
        outcome = ended(await self._attempt_until_answered(forwarded))
        if not outcome.answered:
            counts = self.counts.setdefault(slice_of(cluster), load_stats.SliceCounts())
            counts.count_failed(traffic_class.name)
        return outcome

    async def _attempt_until_answered(self, request: ForwardedRequest) -> str:
        """Make attempts within the published retry settings.

        Returns:
            How the last attempt ended, or `Ending.NO_SERVER` if no attempt was made.
        """
        attempted: set[str] = set()
        retries = self.received_state.retries_of(request.cluster, request.traffic_class.name)
        ending: str = Ending.NO_SERVER
        for number in range(retries.limit + 1):
            server = await self._choose_server(request, attempted, may_wait=number == 0)
            if server is None:
                return ending
            attempted.add(server)
            ending = await self._attempt(request, server)
            if ending == Ending.ANSWERED or not self._may_retry(request, ending):
                return ending
        return ending

    def _may_retry(self, request: ForwardedRequest, ending: str) -> bool:
        conditions = self.received_state.retries_of(request.cluster, request.traffic_class.name).conditions
        if ending == Ending.NEVER_RAN and RETRY_ON_CONNECT_FAILURE in conditions:
            return True
        return RETRY_ON_ANY_FAILURE in conditions

    async def _choose_server(self, request: ForwardedRequest, attempted: set[str], may_wait: bool) -> str | None:
        """Return the server for an attempt, or None if there is none.

        If `may_wait` is set, wait up to `TABLE_WAIT_NS`, but not beyond the deadline, for a table with an entry that is
        not withdrawn.
        """
        until = min(request.deadline, self.clock.now() + TABLE_WAIT_NS) if may_wait else 0
        while True:
            entries = self.received_state.available_entries(request.cluster)
            server = self.picker.pick(self.clock.now(), entries, attempted)
            remaining = until - self.clock.now()
            if server is not None or remaining <= 0:
                return server
            with anyio.move_on_after(self.clock.seconds(remaining)):
                await self.changed.wait()

    async def _attempt(self, request: ForwardedRequest, server: str) -> str:
        """Make, count and record one attempt. Return how it ended."""
        start = self.clock.now()
        entry = self.received_state.available_entries(request.cluster).get(server)
        zone = entry.zone if entry else ""
        slice_number = slice_of(request.cluster)
        class_name = request.traffic_class.name
        self.record.put("try", gw=self.name, id=request.request_id, kind=class_name, slice=slice_number, server=server)
        self.picker.request_sent(server)
        ending: str = Ending.TOO_LATE
        with anyio.move_on_after(self.clock.seconds(request.deadline - start)):
            ending = await self._exchange(request, server, zone)
        now, answered = self.clock.now(), ending == Ending.ANSWERED
        self.picker.request_ended(now, server, answered, self.received_state.ejection_failures)
        counts = self.counts.setdefault(slice_number, load_stats.SliceCounts())
        counts.count_attempt(zone, server, answered, (now - start) / NS_PER_MS)
        return ending

    async def _exchange(self, request: ForwardedRequest, server: str, zone: str) -> str:
        """Send the request and read the response. Return how the exchange ended."""
        if zone and not self.network.connects(self.zone, zone):
            await anyio.sleep(self.clock.seconds(CONNECT_TIMEOUT_NS))  # a server in an unreachable zone never responds
            return Ending.NEVER_RAN
        connection, complete = None, False
        try:
            connection = await self._connection(server)
            answer = await connection.post("/", request.headers())
            complete = True
            return Ending.NEVER_RAN if NOT_RUN_HEADER in answer.headers else status_ending(answer.status)
        except http.NotSentError:
            return Ending.NEVER_RAN
        except http.ConnectionBrokenError:
            return Ending.BROKEN
        finally:
            if connection is not None:
                if complete and connection.prepare_reuse():
                    self.pools.setdefault(server, []).append(connection)
                else:
                    with anyio.CancelScope(shield=True):
                        await connection.close()

    async def _connection(self, server: str) -> http.ClientConnection:
        """Return an idle connection to the server, or open a new one."""
        pool = self.pools.get(server)
        while pool:
            connection = pool.pop()
            if connection.is_idle():
                return connection
            await connection.close()
        return await http.ClientConnection.connect(server, self.clock.seconds(CONNECT_TIMEOUT_NS))
