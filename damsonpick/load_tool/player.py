"""Sends the requests of an experiment at their scheduled times, over a bounded number of connections."""

from __future__ import annotations

import time
from typing import Any

import anyio
import httptools
from anyio.abc import SocketStream

from damsonpick.load_tool.experiment import Arrival, Experiment, RequestClass, arrivals
from damsonpick.load_tool.results import ClassResults, report
from damsonpick.runtime import sockets
from damsonpick.time_units import NS_PER_SECOND, NS_PER_US

READ_BYTES = 262_144


class ResponseReader:
    """Reads one response to its end.

    Args:
        method: Method of the request. The response to HEAD ends with its head, whatever content-length it states.
    """

    def __init__(self, method: str) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.done = False
        self._ends_with_head = method == "HEAD"

    def on_headers_complete(self) -> None:
        """Handle the end of the response head. The parser calls this method."""
        if self._ends_with_head:
            self.on_message_complete()

    def on_message_complete(self) -> None:
        """Handle the end of a response. The parser calls this method. Interim (1xx) responses are ignored."""
        self.done = self.parser.get_status_code() >= 200


class LoadGenerator:
    """One run of an experiment.

    Args:
        experiment: A validated experiment.
    """

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.host, _, port = experiment.load.target.rpartition(":")
        self.port = int(port)
        self.idle_connections: list[SocketStream] = []
        self.slots = anyio.CapacityLimiter(experiment.load.connections)
        self.results = {name: ClassResults() for name in experiment.classes}
        # Largest delay between the due time of a request and the start of the task that sends it. This tool causes the
        # delay, not the target.
        self.max_lateness_ns = 0
        self.started_ns = 0

    async def run(self) -> dict[str, Any]:
        """Send all requests and return the report."""
        self.started_ns = time.monotonic_ns()
        async with anyio.create_task_group() as group:
            for arrival in arrivals(self.experiment):
                await self._wait_until_due(arrival)
                self.max_lateness_ns = max(self.max_lateness_ns, self._elapsed_ns() - arrival.due_ns)
                group.start_soon(self._send, arrival)
        for connection in self.idle_connections:
            await anyio.aclose_forcefully(connection)
        return report(self.experiment, self.results, self.max_lateness_ns // NS_PER_US)

    def _elapsed_ns(self) -> int:
        return time.monotonic_ns() - self.started_ns

    async def _wait_until_due(self, arrival: Arrival) -> None:
        left_ns = arrival.due_ns - self._elapsed_ns()
        if left_ns > 0:
            await anyio.sleep(left_ns / NS_PER_SECOND)
        else:
            await anyio.lowlevel.checkpoint()

    async def _send(self, arrival: Arrival) -> None:
        """Send one request and record its result, except during the warm-up. The latency counts from the due time."""
        spec = self.experiment.classes[arrival.request_class]
        outcome = "timed out"
        with anyio.move_on_after(spec.timeout / NS_PER_SECOND):
            async with self.slots:
                outcome = await self._exchange(arrival, spec)
        latency_ns = self._elapsed_ns() - arrival.due_ns
        if arrival.due_ns >= self.experiment.load.warm_up:
            self.results[arrival.request_class].add(outcome, latency_ns // NS_PER_US)

    async def _exchange(self, arrival: Arrival, spec: RequestClass) -> str:
        """Send one request and read its response. Return the status code, or the kind of failure."""
        connection = await self._take_idle()
        reusable = False
        try:
            if connection is None:
                connection = await anyio.connect_tcp(self.host.strip("[]"), self.port)
            await connection.send(self._request_bytes(arrival, spec))
            response = ResponseReader(spec.method)
            while not response.done:
                response.parser.feed_data(await connection.receive(READ_BYTES))
            reusable = response.parser.should_keep_alive()
            return str(response.parser.get_status_code())
        except OSError:
            return "not connected"
        except (anyio.EndOfStream, anyio.BrokenResourceError, httptools.HttpParserError):
            return "cut"
        finally:
            if reusable:
                self.idle_connections.append(connection)
            elif connection is not None:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(connection)

    async def _take_idle(self) -> SocketStream | None:
        """Return an idle connection that is still open, or None. Close connections that the target closed."""
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if sockets.is_reusable(connection):
                return connection
            await anyio.aclose_forcefully(connection)
        return None

    def _request_bytes(self, arrival: Arrival, spec: RequestClass) -> bytes:
        length = f"content-length: {spec.body}\r\n" if spec.body else ""
        lines = (
            f"{spec.method} {spec.path} HTTP/1.1",
            f"host: {self.experiment.load.target}",
            f"x-damson-class: {arrival.request_class}",
            f"x-key: k{arrival.key}",
            f"x-request-id: l{arrival.number}",
            f"x-client-id: c{arrival.key}",
        )
        return ("\r\n".join(lines) + f"\r\n{length}\r\n").encode() + b"x" * spec.body
