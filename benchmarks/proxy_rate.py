"""Compare the proxy with a plain byte relay and with the forwarding of the fake gateway.

    python -m benchmarks.proxy_rate --out benchmarks/proxy_rate.json

Each front (relay, proxy, fake gateway) runs in a process of its own, in front of four plain servers in another process.
This process sends the requests: in a closed loop for the rate at 1, 64 and 1,000 connections, and in an open loop
(`damsonpick load`) at a tenth of the proxy's rate for latency. The relay copies bytes between two sockets and parses
nothing, so it is the lower bound of what Python can do. All traffic stays on loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import psutil

if TYPE_CHECKING:
    from damsonpick.proxy.received_resources import ReceivedResource
    from damsonpick.proxy.received_state import ReceivedState

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\nx-damson-class: page\r\nx-key: k%d\r\n\r\n"


class PlainServer(asyncio.Protocol):
    """A server that answers each request head at once."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.data = transport, b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        count = self.data.count(b"\r\n\r\n")
        if count:
            self.data = self.data.rpartition(b"\r\n\r\n")[2]
            self.transport.write(RESPONSE * count)


class Relay(asyncio.Protocol):
    """Copies bytes from a client to a random server and back. `early` buffers them until the server is connected."""

    ports: tuple[int, ...] = ()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.client_transport, self.server_transport, self.early = transport, None, b""
        asyncio.get_running_loop().create_task(self.connect_server())

    async def connect_server(self) -> None:
        client_transport = self.client_transport

        class ServerSide(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                client_transport.write(data)

        self.server_transport, _ = await asyncio.get_running_loop().create_connection(
            ServerSide, "127.0.0.1", random.choice(self.ports)
        )
        self.server_transport.write(self.early)

    def data_received(self, data: bytes) -> None:
        if self.server_transport is None:
            self.early += data
        else:
            self.server_transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.server_transport:
            self.server_transport.close()


async def servers() -> None:
    loop = asyncio.get_running_loop()
    listeners = [await loop.create_server(PlainServer, "127.0.0.1", 0, backlog=2048) for _ in range(4)]
    print(*(s.sockets[0].getsockname()[1] for s in listeners), flush=True)
    await asyncio.to_thread(sys.stdin.read)


async def relay(ports: list[int]) -> None:
    Relay.ports = tuple(ports)
    listener = await asyncio.get_running_loop().create_server(Relay, "127.0.0.1", 0, backlog=2048)
    print(listener.sockets[0].getsockname()[1], flush=True)
    await asyncio.to_thread(sys.stdin.read)


def fill_tables(received_state: ReceivedState, ports: list[int], slices: int, lines: int) -> list[ReceivedResource]:
    """Fill each table with `lines` entries: the servers, and endpoints of weight 0. Return the resources."""
    from damsonpick.proxy.received_resources import ReceivedEntry, ReceivedResource, ReceivedTable

    for n in range(slices):
        table = {f"127.0.0.1:{p}": ReceivedEntry(1000, "a") for p in ports}
        table |= {f"127.0.0.2:{9000 + k}": ReceivedEntry(0, "a") for k in range(lines - len(ports))}
        received_state.tables[f"slice/{n}"] = ReceivedTable(table, {})
    return [ReceivedResource(f"slice/{n}", "1", b"") for n in range(slices)]


async def proxy(ports: list[int], slices: int, lines: int) -> None:
    import structlog

    from damsonpick.protocols.xds.names import EDS
    from damsonpick.proxy.program import Proxy
    from damsonpick.proxy.settings import Limits, ProxySection, ProxySettings, RequestClass

    settings = ProxySettings(
        proxy=ProxySection(name="p", zone="a", slices=slices),
        limits=Limits(per_server=1000, churn=1e6, waiting=4000, connections=4000),
        classes={"page": RequestClass(deadline=10_000_000_000)},
    )
    running_proxy = Proxy(settings, structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()]), seed=1)
    async with running_proxy.running():
        running_proxy.apply_resources(EDS, fill_tables(running_proxy.router.received_state, ports, slices, lines), [])
        print(running_proxy.port, flush=True)
        await anyio.to_thread.run_sync(sys.stdin.read)


async def fake_gateway(ports: list[int]) -> None:
    """Run the forwarding of the earlier fake gateway behind a socket of its own."""
    from damsonpick.proxy.received_resources import ReceivedEntry, ReceivedTable
    from damsonpick.runtime.clock import Clock
    from damsonpick.testing.fakes import http
    from damsonpick.testing.fakes.gateway import FakeGateway
    from damsonpick.testing.fakes.gateway_context import GatewayContext, Network, TrafficClass
    from damsonpick.testing.fakes.record import Recorder

    kind = TrafficClass("page", 10**9, 10**10, "read_like")
    clock = Clock()
    context = GatewayContext(clock, Recorder(Path(os.devnull), clock.now), Network(), {"page": kind})
    gateway = FakeGateway("g", "a", True, str, context, random.Random(1))
    entries = {f"127.0.0.1:{p}": ReceivedEntry(1000, "a") for p in ports}
    gateway.received_state.tables["slice/0"] = ReceivedTable(entries, {})

    async def handle(headers: dict[str, str]) -> http.Response:
        good, _ = await gateway.serve("r", kind, "slice/0", 1.0)
        return http.Response(200 if good else 502, {}, b"ok")

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=2048)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, lambda s: http.serve_connection(s, handle))
        print(listener.extra(anyio.abc.SocketAttribute.local_port), flush=True)
        await anyio.to_thread.run_sync(sys.stdin.read)
        group.cancel_scope.cancel()


class ClosedLoopClient(asyncio.Protocol):
    """A client that sends its next request when it has received the response."""

    done = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.data = transport, b""

    def ask(self) -> None:
        self.transport.write(REQUEST % random.randrange(400))

    def data_received(self, data: bytes) -> None:
        self.data += data
        if self.data.endswith(b"ok"):
            self.data = b""
            ClosedLoopClient.done += 1
            self.ask()


async def rate(port: int, connections: int, seconds: float, process: psutil.Process) -> dict[str, float]:
    """Send requests in a closed loop. Return requests per second, and CPU per request and memory of the front."""
    loop, opened = asyncio.get_running_loop(), []
    for _ in range(connections):
        opened.append(await loop.create_connection(ClosedLoopClient, "127.0.0.1", port))
    for _, client in opened:
        client.ask()
    await asyncio.sleep(0.5)
    ClosedLoopClient.done, start, cpu = 0, time.monotonic(), process.cpu_times()
    await asyncio.sleep(seconds)
    took, count, end = time.monotonic() - start, ClosedLoopClient.done, process.cpu_times()
    rss = process.memory_info().rss
    for transport, _ in opened:
        transport.abort()
    await asyncio.sleep(0.2)
    used = end.user + end.system - cpu.user - cpu.system
    return {"per_second": count / took, "cpu_us": used / max(1, count) * 1e6, "rss": rss}


async def idle(port: int, process: psutil.Process, count: int = 1000) -> float:
    """Return the memory of the front per idle connection, in KiB."""
    before, opened = process.memory_info().rss, []
    for _ in range(count):
        opened.append(await asyncio.open_connection("127.0.0.1", port))
    await asyncio.sleep(0.5)
    grown = process.memory_info().rss - before
    for _, writer in opened:
        writer.transport.abort()
    return grown / count / 1024


def latency(port: int, per_second: float, folder: Path) -> dict[str, int]:
    path = folder / "load.ini"
    path.write_text(
        f"[load]\ntarget = 127.0.0.1:{port}\nrate = {per_second:.0f}\nlength = 6 s\n"
        "connections = 64\n[class page]\nshare = 1\n"
    )
    done = subprocess.run(
        [sys.executable, "-m", "damsonpick", "load", str(path), "--json"], capture_output=True, text=True, check=True
    )
    return json.loads(done.stdout)["classes"]["page"]["latency_us"]


def start(*arguments: str) -> tuple[subprocess.Popen, list[int]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.proxy_rate", "--role", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, [int(p) for p in process.stdout.readline().split()]


def measure(repeat: int, seconds: float) -> list[dict]:
    rows = []
    fronts = {
        "relay": ("relay",),
        "proxy": ("proxy", "1", "4"),
        "proxy, 400 slices x 60 lines": ("proxy", "400", "60"),
        "stand-in gateway": ("standin",),
    }
    server_process, ports = start("servers")
    port_arguments = [str(p) for p in ports]
    for k in range(repeat):
        for name, (role, *more) in fronts.items():
            front, (port,) = start(role, *more, "--ports", *port_arguments)
            process = psutil.Process(front.pid)
            row = {"front": name, "run": k, "idle_kib": round(asyncio.run(idle(port, process)), 1)}
            for connections in (1, 64, 1000):
                found = asyncio.run(rate(port, connections, seconds, process))
                row[f"per_second_{connections}"] = round(found["per_second"])
                row[f"cpu_us_{connections}"] = round(found["cpu_us"], 1)
            with tempfile.TemporaryDirectory() as scratch:
                row["latency_us"] = latency(port, 300, Path(scratch))
            rows.append(row)
            print(json.dumps(row), flush=True)
            front.stdin.close()
            front.wait()
    server_process.stdin.close()
    server_process.wait()
    return rows


def summary(rows: list[dict]) -> dict[str, object]:
    result = {}
    relay_rows = {r["run"]: r for r in rows if r["front"] == "relay"}
    for name in dict.fromkeys(r["front"] for r in rows):
        front_rows = [r for r in rows if r["front"] == name]
        result[name] = {
            f"rate_to_relay_{c}": [
                round(f(r[f"per_second_{c}"] / relay_rows[r["run"]][f"per_second_{c}"] for r in front_rows), 3)
                for f in (min, statistics.median, max)
            ]
            for c in (1, 64, 1000)
        }
        result[name]["added_us"] = {
            p: round(statistics.median(r["latency_us"][p] - relay_rows[r["run"]]["latency_us"][p] for r in front_rows))
            for p in ("p50", "p99", "p99.9")
        }
    return result


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--role", nargs="*")
    parser.add_argument("--ports", nargs="*", type=int, default=[])
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    if args.role:
        role, *more = args.role
        job = {
            "servers": lambda: servers(),
            "relay": lambda: relay(args.ports),
            "standin": lambda: fake_gateway(args.ports),
            "proxy": lambda: proxy(args.ports, *map(int, more)),
        }[role]
        if role == "proxy":
            anyio.run(job, backend_options={"use_uvloop": True})  # as `damsonpick proxy` runs it
        else:
            asyncio.run(job())
        return
    rows = measure(args.repeat, args.seconds)
    result = summary(rows)
    print(json.dumps(result, indent=1))
    if args.out:
        machine = {"python": platform.python_version(), "cores": os.cpu_count()}
        args.out.write_text(
            json.dumps(
                {
                    "command": "python -m benchmarks.proxy_rate --out benchmarks/proxy_rate.json",
                    "machine": machine,
                    "columns": "[min, median, max]",
                    "summary": result,
                    "rows": rows,
                },
                indent=1,
            )
            + "\n"
        )


if __name__ == "__main__":
    main()
