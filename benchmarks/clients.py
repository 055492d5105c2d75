"""Simple xDS clients for benchmarks: `python benchmarks/clients.py PORT COUNT delta|sotw SLICES PREFIX`.

Each client acknowledges every response at once. For each response acknowledged, it prints a line on standard output:
monotonic time, client, bytes, resources, bytes of the acknowledgement. The program ends when its standard input ends.
"""

from __future__ import annotations

import asyncio
import sys
import time

import grpc
from envoy.service.discovery.v3 import discovery_pb2

EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
SERVICE = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"


class Client:
    def __init__(self, port: int, name: str, delta: bool, slices: int) -> None:
        self.port, self.name, self.delta = port, name, delta
        self.names = ["fleet", *(f"slice/{n}" for n in range(slices))]

    def initial_request(self) -> bytes:
        kind = discovery_pb2.DeltaDiscoveryRequest if self.delta else discovery_pb2.DiscoveryRequest
        request = kind(type_url=EDS)
        request.node.id, request.node.locality.zone = self.name, "a"
        names = request.resource_names_subscribe if self.delta else request.resource_names
        names.extend(self.names)
        return request.SerializeToString()

    def acknowledgement(self, body: bytes) -> tuple[bytes, int]:
        """Return the acknowledgement of a response, and the number of resources in the response."""
        if self.delta:
            got = discovery_pb2.DeltaDiscoveryResponse.FromString(body)
            return discovery_pb2.DeltaDiscoveryRequest(type_url=EDS, response_nonce=got.nonce).SerializeToString(), len(
                got.resources
            )
        got = discovery_pb2.DiscoveryResponse.FromString(body)
        return discovery_pb2.DiscoveryRequest(
            type_url=EDS, response_nonce=got.nonce, version_info=got.version_info, resource_names=self.names
        ).SerializeToString(), len(got.resources)

    async def run(self) -> None:
        """Run streams forever. When a stream breaks, connect again, as gateways do."""
        while True:
            try:
                await self.run_stream()
            except grpc.aio.AioRpcError as error:
                print(f"{self.name}: {error.code().name} {error.details()}", file=sys.stderr, flush=True)
            await asyncio.sleep(0.2)

    async def run_stream(self) -> None:
        options = [("grpc.use_local_subchannel_pool", 1), ("grpc.max_receive_message_length", 1 << 26)]
        async with grpc.aio.insecure_channel(f"127.0.0.1:{self.port}", options) as channel:
            call = channel.stream_stream(
                SERVICE + ("DeltaAggregatedResources" if self.delta else "StreamAggregatedResources")
            )()
            await call.write(self.initial_request())
            while (body := await call.read()) is not grpc.aio.EOF:
                reply, count = self.acknowledgement(body)
                await call.write(reply)
                print(f"{time.monotonic()} {self.name} {len(body)} {count} {len(reply)}", flush=True)


async def main() -> None:
    port, count, variant, slices, prefix = sys.argv[1:]
    clients = [Client(int(port), f"{prefix}-{k}", variant == "delta", int(slices)) for k in range(int(count))]
    tasks = [asyncio.create_task(c.run()) for c in clients]
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


asyncio.run(main())
