"""A list server that stands in: one EDS resource over ADS, state of the world, with commands for its troubles."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf import any_pb2

from damsonpick import interface as api
from damsonpick.protocols.xds import endpoint_list_client
from damsonpick.testing.fakes.record import Recorder


class ListServer(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):
    """Sends the whole list at each change; what it sent is recorded as what the pilot was told."""

    def __init__(self, cluster: str, record: Recorder) -> None:
        self.cluster, self.record = cluster, record
        self.entries: dict[str, api.EndpointEntry] = {}
        self.version = 0
        self.down = self.empty = False
        self.bells: set[anyio.Event] = set()

    async def start(self) -> tuple[grpc.aio.Server, str]:
        server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        return server, f"127.0.0.1:{port}"

    def put(self, *entries: api.EndpointEntry) -> None:
        """Change entries; `terminated` ones leave the list."""
        for entry in entries:
            if entry.state == "terminated":
                self.entries.pop(entry.endpoint, None)
            else:
                self.entries[entry.endpoint] = entry
        self.changed()

    def changed(self) -> None:
        self.version += 1
        for bell in self.bells:
            bell.set()

    async def StreamAggregatedResources(
        self, requests: AsyncIterator[discovery_pb2.DiscoveryRequest], context: grpc.aio.ServicerContext
    ) -> None:
        if self.down:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the list is down")
        sent = 0
        async with anyio.create_task_group() as group:
            group.start_soon(self._drain, requests, group.cancel_scope)
            while not self.down:
                bell = anyio.Event()
                self.bells.add(bell)
                if sent != self.version:
                    sent = self.version
                    shown = [] if self.empty else list(self.entries.values())
                    self.record.put("list", entries={e.endpoint: [e.state, e.started, e.zone] for e in shown})
                    await context.write(self._response(shown))
                await bell.wait()
                self.bells.discard(bell)
            group.cancel_scope.cancel()

    def _response(self, shown: list[api.EndpointEntry]) -> discovery_pb2.DiscoveryResponse:
        body = any_pb2.Any()
        body.Pack(endpoint_list_client.write_entries(self.cluster, shown))
        return discovery_pb2.DiscoveryResponse(
            version_info=str(self.version), type_url=endpoint_list_client.EDS, nonce=str(self.version), resources=[body]
        )

    async def _drain(self, requests: AsyncIterator[discovery_pb2.DiscoveryRequest], scope: anyio.CancelScope) -> None:
        async for _ in requests:
            pass
        scope.cancel()
