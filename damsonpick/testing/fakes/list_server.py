"""A fake list server: it serves one EDS resource over state-of-the-world ADS and can fail on command."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf import any_pb2

from damsonpick import interface as api
from damsonpick.protocols.xds import endpoint_list_client
from damsonpick.testing.fakes.record import Recorder


class FakeListServer(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):
    """Sends the whole list on each change.

    Each list that is sent is recorded; the rules take it as what the pilot knows.

    Attributes:
        entries: Entries of the list, by endpoint.
    """

    def __init__(self, cluster: str, record: Recorder) -> None:
        """Create a server with an empty list.

        Args:
            cluster: Name of the EDS resource.
            record: Recorder of the lists that the server sends.
        """
        self.entries: dict[str, api.EndpointEntry] = {}
        self._cluster, self._record = cluster, record
        self._version = 0
        self._is_down = self._is_empty = False
        self._wakeups: set[anyio.Event] = set()

    async def start(self) -> tuple[grpc.aio.Server, str]:
        """Start a gRPC server on a free port. Return the server and its address."""
        server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        return server, f"127.0.0.1:{port}"

    def update_entries(self, *entries: api.EndpointEntry) -> None:
        """Add or replace entries. An entry in state `terminated` is removed from the list."""
        for entry in entries:
            if entry.state == "terminated":
                self.entries.pop(entry.endpoint, None)
            else:
                self.entries[entry.endpoint] = entry
        self._notify()

    def set_failure(self, is_down: bool, is_empty: bool) -> None:
        """Set how the server fails. Both arguments False restore normal service.

        Args:
            is_down: Whether open streams end and new ones are refused.
            is_empty: Whether the server sends an empty list instead of its entries.
        """
        self._is_down, self._is_empty = is_down, is_empty
        self._notify()

    def _notify(self) -> None:
        self._version += 1
        for wakeup in self._wakeups:
            wakeup.set()

    async def StreamAggregatedResources(  # noqa: N802 (gRPC calls this name)
        self, requests: AsyncIterator[discovery_pb2.DiscoveryRequest], context: grpc.aio.ServicerContext
    ) -> None:
        """Serve one stream until the client closes it or the server is set to be down."""
        if self._is_down:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the list is down")
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_requests, requests, group.cancel_scope)
            await self._send_changes(context)
            group.cancel_scope.cancel()

    async def _send_changes(self, context: grpc.aio.ServicerContext) -> None:
        """Send the list now, unless it has never been changed, and on each change until the server is down."""
        sent_version = 0
        while not self._is_down:
            wakeup = anyio.Event()
            self._wakeups.add(wakeup)
            if sent_version != self._version:
                sent_version = self._version
                await self._send(context)
            await wakeup.wait()
            self._wakeups.discard(wakeup)

    async def _send(self, context: grpc.aio.ServicerContext) -> None:
        entries = [] if self._is_empty else list(self.entries.values())
        shown = {entry.endpoint: [entry.state, entry.started, entry.zone] for entry in entries}
        self._record.put("list", entries=shown)
        await context.write(self._response(entries))

    def _response(self, entries: list[api.EndpointEntry]) -> discovery_pb2.DiscoveryResponse:
        body = any_pb2.Any()
        body.Pack(endpoint_list_client.write_entries(self._cluster, entries))
        version = str(self._version)
        return discovery_pb2.DiscoveryResponse(
            version_info=version, type_url=endpoint_list_client.EDS, nonce=version, resources=[body]
        )

    async def _read_requests(
        self, requests: AsyncIterator[discovery_pb2.DiscoveryRequest], scope: anyio.CancelScope
    ) -> None:
        """Discard all requests. End the serving of the stream once the client has closed its side."""
        async for _ in requests:
            pass
        scope.cancel()
