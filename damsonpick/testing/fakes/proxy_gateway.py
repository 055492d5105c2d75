"""The project's own proxy with the interface of a fake gateway: the fleet sends it requests over real HTTP."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio

from damsonpick.proxy.program import Proxy
from damsonpick.proxy.settings import Limits, ProxySection, ProxySettings, RequestClass
from damsonpick.testing.fakes import http
from damsonpick.testing.fakes.gateway import NO_LOG, ForwardedRequest, known_addresses, response_details
from damsonpick.testing.fakes.gateway_context import GatewayContext, TrafficClass
from damsonpick.testing.fakes.request_outcome import HTTP_OK, Ending, RequestOutcome, ended, status_ending

CONNECT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_MARGIN_S = 1.0  # added to the request's deadline, which the proxy itself enforces


class ProxyGateway:
    """One proxy. It has the attributes of `FakeGateway` that the fleet uses."""

    def __init__(
        self,
        name: str,
        zone: str,
        delta: bool,
        pilot_address: Callable[[], str],
        context: GatewayContext,
        rng: random.Random,
    ) -> None:
        """Create a proxy; `follow` runs it. The arguments are those of `FakeGateway`."""
        clock, network = context.clock, context.network
        self.name, self.zone, self.clock, self.record = name, zone, clock, context.record
        settings = ProxySettings(
            proxy=ProxySection(name=name, zone=zone, slice_header="x-damson-cluster"),
            limits=Limits(),
            clock_rate=clock.rate,
            classes={
                c.name: RequestClass(deadline=c.deadline, aim=c.latency_objective, effect=c.effect)
                for c in context.classes.values()
            },
        )
        self.proxy = Proxy(settings, NO_LOG, self._record_event, rng.random(), delta)
        callbacks = self.proxy.watch_client.callbacks
        callbacks.addresses = lambda: known_addresses(pilot_address)
        callbacks.may_connect = lambda: network.reaches_pilot(name, zone)
        callbacks.read_pause = self._read_pause_s
        self.proxy.requests.connector.can_reach_zone = lambda other: not other or network.connects(zone, other)
        self.proxy.requests.stall = lambda: clock.seconds(self.stalled_until - clock.now())
        self.received_state = self.proxy.router.received_state
        self.stalled_until = self.read_delay = 0
        self.connections: list[http.ClientConnection] = []

    @property
    def report_delay(self) -> int:
        """Time in ns by which each load report is sent late."""
        return self.proxy.watch_client.report_delay

    @report_delay.setter
    def report_delay(self, ns: int) -> None:
        self.proxy.watch_client.report_delay = ns

    def _read_pause_s(self) -> float:
        return self.clock.seconds(max(self.stalled_until - self.clock.now(), 0) + self.read_delay)

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
        if event in ("got", "try", "stream"):
            self.record.put(event, gw=self.name, **details)

    async def follow(self) -> None:
        """Run the proxy until cancelled."""
        async with self.proxy.running():
            await anyio.sleep_forever()

    async def serve(self, request_id: str, traffic_class: TrafficClass, cluster: str, work_ms: float) -> RequestOutcome:
        """Send one client's request to the proxy's socket. The arguments are those of `FakeGateway.serve`."""
        if not self.proxy.port:
            return ended(Ending.NO_SERVER)
        request = ForwardedRequest(
            request_id, traffic_class, cluster, work_ms, self.clock.now() + traffic_class.deadline
        )
        headers = request.headers() | {"x-damson-cluster": cluster, "x-client-id": request_id}
        connection = None
        try:
            with anyio.fail_after(self.clock.seconds(traffic_class.deadline) + CLIENT_TIMEOUT_MARGIN_S):
                connection = self._idle_connection() or await self._new_connection()
                answer = await connection.post("/", headers)
        except (http.ConnectionBrokenError, http.NotSentError, TimeoutError) as error:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await connection.close()
            return ended(Ending.TOO_LATE if isinstance(error, TimeoutError) else Ending.BROKEN)
        if connection.prepare_reuse():
            self.connections.append(connection)
        else:
            await connection.close()
        if answer.status != HTTP_OK and "retry-after" in answer.headers:
            return ended(Ending.REFUSED)
        return ended(status_ending(answer.status))

    async def _new_connection(self) -> http.ClientConnection:
        return await http.ClientConnection.connect(f"127.0.0.1:{self.proxy.port}", CONNECT_TIMEOUT_S)

    def _idle_connection(self) -> http.ClientConnection | None:
        while self.connections:
            connection = self.connections.pop()
            if connection.is_idle():
                return connection
        return None
