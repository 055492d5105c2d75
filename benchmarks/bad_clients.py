"""Play misbehaving clients against the listeners of real processes; record memory and the other clients' answer times.

    python -m benchmarks.bad_clients --plays 3 --out benchmarks/bad_clients.json

Each play starts the program, lets the bad clients run for some seconds in processes of their own, and asks the program
at the same time as an ordinary client would. It records the highest resident memory, and the answer times and failures
of the ordinary client. All traffic stays on loopback, and all loops end by themselves.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import platform
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, ClassVar, NamedTuple

import psutil

from damsonpick.protocols.sasp import codec
from damsonpick.protocols.sasp import layout as sasp
from damsonpick.testing.fakes.platform_config import SETTINGS, free_port

FLOOD_S = 6.0
WARM_UP_S = 1.0  # before the bad clients begin
PROBE_PAUSE_S = 0.05
PROBE_TIMEOUT_S = 5.0
SAMPLE_S = 0.02
MANY_CLIENTS = 400
SERVICE_S = 0.002  # in which a server behind the proxy answers
FIELDS = 4000  # header fields of a head with very many short ones
PIPELINED = 10_000  # requests that a client writes at once before it leaves
MEGABYTE = 1_000_000
HOST = "127.0.0.1"

Flood = Callable[[int, float], None]  # a bad client: port, seconds


class Target(NamedTuple):
    """A running program.

    Attributes:
        pid: Its process.
        port: Port of the listener; 0 for a Unix socket.
        path: Path of the Unix socket, if there is one.
        probe: Asks as an ordinary client does; raises OSError or ValueError if there is no valid answer.
        executed: Counts of executed requests by id, where servers count them.
    """

    pid: int
    port: int
    path: str
    probe: Callable[[], None]
    executed: Callable[[], dict[str, int]] = dict


# -- bad clients


def _send_until(connection: socket.socket, data: bytes, until: float) -> None:
    """Send data again and again, and drop what arrives."""
    connection.settimeout(0.2)
    reader = threading.Thread(target=_drain, args=(connection, until), daemon=True)
    reader.start()
    view = memoryview(data)
    offset = 0
    with contextlib.suppress(OSError):
        while time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                offset = (offset + connection.send(view[offset:])) % len(data)


def _drain(connection: socket.socket, until: float) -> None:
    with contextlib.suppress(OSError):
        while time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                if not connection.recv(1 << 20):
                    return


def flood(connect: Callable[[], socket.socket], first: bytes, data: bytes, seconds: float) -> None:
    """Send at full speed on one connection; dial again when it ends."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError), connect() as connection:
            connection.sendall(first)
            _send_until(connection, data, until)
        time.sleep(0.01)


def crowd(connect: Callable[[], socket.socket], first: bytes, trickle: bytes, seconds: float) -> None:
    """Let many clients each send a part of a request, and then a few bytes now and then."""
    until = time.monotonic() + seconds
    clients: list[socket.socket] = []
    while time.monotonic() < until:
        while len(clients) < MANY_CLIENTS and time.monotonic() < until:
            try:
                connection = connect()
                connection.settimeout(0.1)
                with contextlib.suppress(TimeoutError):
                    connection.sendall(first)
                clients.append(connection)
            except OSError:
                break
        alive = []
        for connection in clients:
            try:
                connection.send(trickle)
                alive.append(connection)
            except TimeoutError:
                alive.append(connection)
            except OSError:
                connection.close()
        clients = alive
        time.sleep(0.1)


def flood_without_reading(connect: Callable[[], socket.socket], first: bytes, data: bytes, seconds: float) -> None:
    """Send at full speed on some connections and never read an answer."""
    until = time.monotonic() + seconds
    clients = []
    for _ in range(20):
        connection = connect()
        connection.sendall(first)
        connection.settimeout(0.02)
        clients.append(connection)
    while time.monotonic() < until:
        for connection in clients:
            with contextlib.suppress(OSError):
                connection.send(data)
        time.sleep(0.001)


# -- messages of the listeners


def tcp(port: int) -> Callable[[], socket.socket]:
    """Return a function that connects to a port."""
    return lambda: socket.create_connection((HOST, port), timeout=2.0)


def unix(path: str) -> Callable[[], socket.socket]:
    """Return a function that connects to a Unix socket."""

    def connect() -> socket.socket:
        connection = socket.socket(socket.AF_UNIX)
        connection.settimeout(2.0)
        connection.connect(path)
        return connection

    return connect


def frame(message: dict[str, Any]) -> bytes:
    """Return one frame of the platform's protocol."""
    body = json.dumps(message, separators=(",", ":")).encode()
    return struct.pack("<I", len(body)) + body


JOIN = frame({"@type": "telemetry", "zone": "a"})
UNSOUND_REPORT = frame({"@type": "upstream_stats", "zone": "a", "server": 5})
HEARTBEAT = frame({"@type": "hb"})


def _report(server: str) -> bytes:
    stats = {"zone": "a", "server": server, "tries": 10, "failed": 0, "mean_ms": 5.0, "span_ms": 1000.0}
    return frame({"@type": "upstream_stats", **stats})


def _new_names() -> bytes:
    return b"".join(_report(f"s-{number:06}") for number in range(20_000))


HTTP_REQUEST = b"GET /r%d HTTP/1.1\r\nhost: x\r\nx-key: k%d\r\nx-client-id: c%d\r\nx-request-id: r%d\r\n\r\n"


def _http_requests(count: int) -> bytes:
    return b"".join(HTTP_REQUEST % (n, n, n, n) for n in range(count))


MANY_FIELDS = b"GET / HTTP/1.1\r\nhost: x\r\n" + b"".join(b"%x:\r\n" % n for n in range(FIELDS // 2))
HALF_BODY = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000\r\n\r\n" + bytes(2_000_000)
HALF_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\nx-long: " + b"a" * 12_000


def _sasp_balancer(number: int) -> bytes:
    return codec.encode(sasp.Message(number, sasp.SetLbState(b"lb%d" % number, 100, sasp.LbFlag(0))))


def _sasp_poll(number: int) -> bytes:
    return codec.encode(sasp.Message(number, sasp.GetWeights(())))


def flood_new_balancers(port: int, seconds: float) -> None:
    """Connect under ever new names."""
    until = time.monotonic() + seconds
    number = 0
    while time.monotonic() < until:
        number += 1
        with contextlib.suppress(OSError), tcp(port)() as connection:
            connection.sendall(_sasp_balancer(number))
            connection.recv(1000)


def flood_xds(port: int, seconds: float) -> None:
    """Send small requests on one stream at full speed; the stream is dialled again when it ends."""
    import grpc
    from envoy.service.discovery.v3 import discovery_pb2

    request = discovery_pb2.DeltaDiscoveryRequest(type_url="type.googleapis.com/unknown")
    request.node.id = "flood"
    _stream(
        grpc,
        port,
        "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources",
        lambda n: request.SerializeToString(),
        seconds,
    )


def flood_load_stats(port: int, seconds: float) -> None:
    """Send load reports under ever new names of nodes and endpoints."""
    import grpc
    from envoy.service.load_stats.v3 import lrs_pb2

    def report(number: int) -> bytes:
        request = lrs_pb2.LoadStatsRequest()
        request.node.id = f"node-{os.getpid()}-{number // 100}"
        request.node.locality.zone = "a"
        cluster = request.cluster_stats.add(cluster_name="slice/1")
        cluster.load_report_interval.FromMilliseconds(1)
        for k in range(20):
            stats = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add(total_successful_requests=1)
            stats.address.socket_address.address = f"10.0.{k}.{number % 250}"
            stats.address.socket_address.port_value = number % 60_000 + 1
        return request.SerializeToString()

    _stream(grpc, port, "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats", report, seconds)


def flood_load_stats_nodes(port: int, seconds: float) -> None:
    """Open ever new load-report streams, each under a new name."""
    import grpc
    from envoy.service.load_stats.v3 import lrs_pb2

    until = time.monotonic() + seconds
    number = 0
    with grpc.insecure_channel(f"{HOST}:{port}") as channel:
        while time.monotonic() < until:
            number += 1
            request = lrs_pb2.LoadStatsRequest()
            request.node.id = f"node-{os.getpid()}-{number}" + "x" * 2000
            call = channel.stream_stream("/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats")
            with contextlib.suppress(grpc.RpcError):
                next(iter(call(iter([request.SerializeToString()]), timeout=2)), None)


def _http2_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return struct.pack("!I", len(payload))[1:] + bytes([kind, flags]) + struct.pack("!I", stream) + payload


def _header(name: bytes, value: bytes) -> bytes:
    """Return one header field as a literal without indexing (RFC 7541, 6.2.2)."""
    return bytes([0, len(name)]) + name + bytes([len(value)]) + value


def half_grpc_message(path: bytes) -> bytes:
    """Return the start of a gRPC call whose message of 3 MB ends after 60 kB (RFC 9113)."""
    fields = [
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", path),
        (b":authority", b"x"),
        (b"te", b"trailers"),
    ]
    headers = b"".join(_header(name, value) for name, value in [*fields, (b"content-type", b"application/grpc")])
    message = struct.pack("!BI", 0, 3_000_000) + bytes(60_000)
    data = b"".join(_http2_frame(0, 0, 1, message[k : k + 16_000]) for k in range(0, len(message), 16_000))
    start = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + _http2_frame(4, 0, 0, b"") + _http2_frame(4, 1, 0, b"")
    return start + _http2_frame(1, 4, 1, headers) + data


ADS_PATH = b"/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"


def _stream(grpc: Any, port: int, method: str, message: Callable[[int], bytes], seconds: float) -> None:
    until = time.monotonic() + seconds

    def messages() -> Iterator[bytes]:
        number = 0
        while time.monotonic() < until:
            number += 1
            yield message(number)

    while time.monotonic() < until:
        with contextlib.suppress(grpc.RpcError), grpc.insecure_channel(f"{HOST}:{port}") as channel:
            for _ in channel.stream_stream(method)(messages(), timeout=seconds + 1):
                pass
        time.sleep(0.01)


# -- programs


@contextmanager
def _process(command: list[str], folder: Path, **environment: str) -> Iterator[subprocess.Popen[bytes]]:
    with (folder / "log").open("ab") as log:
        process = subprocess.Popen(command, stdout=log, stderr=log, env=os.environ | environment)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def _wait_for(condition: Callable[[], Any], seconds: float = 15.0) -> Any:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError, ValueError):
            if found := condition():
                return found
        time.sleep(0.02)
    raise TimeoutError("the program did not get ready")


@contextmanager
def platform_pilot(folder: Path) -> Iterator[Target]:
    """Run the platform's pilot without a registry and discovery; the probe is a heartbeat on a new connection."""
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{free_port()}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "registry": {"address": f"{HOST}:{free_port()}"},
        "known": {"version": 0, "full": True, "servers": []},
        "settings": SETTINGS | {"domain": SETTINGS["domain"] | {"shards": 6, "agents": 8}},
    }
    (folder / "config.json").write_text(json.dumps(config))

    def probe() -> None:
        with socket.create_connection((HOST, port), timeout=PROBE_TIMEOUT_S) as connection:
            connection.sendall(HEARTBEAT)
            if b"hb_ok" not in connection.recv(100):
                raise ValueError("no heartbeat")

    command = [sys.executable, "-m", "damsonpick.edge"]
    with _process(command, folder, EDGE_CONFIG=str(folder / "config.json")) as process:
        _wait_for(lambda: probe() is None)
        yield Target(process.pid, port, "", probe)


DAEMON = """
[pilot]
zone = a
zones = a, b
state = state
[tables]
slices = 6
[rules]
drain_grace = 2.2 s
bare_limit = 2.8 s
cold_share = 0.2
cold_time = 15 s
fall_multiple = 4
fall_time = 1.5 s
[channel]
lines_per_second = 0
limit = 6000
[list]
source = file
file = servers.ini
poll = 20 ms
[log]
format = json
[sasp]
listen = 127.0.0.1:0
unknown = state
[class page]
aim = 1.5 s
deadline = 4 s
"""


@contextmanager
def daemon(folder: Path, servers: list[int] | None = None) -> Iterator[Target]:
    """Run the daemon; the probe is a query on the control socket."""
    (folder / "pilot.ini").write_text(DAEMON)
    ports = servers or [9001, 9002]
    (folder / "servers.ini").write_text(
        "".join(f"[server {HOST}:{port}]\nzone = a\nstate = in_service\n" for port in ports)
    )
    command = [
        sys.executable,
        "-m",
        "damsonpick",
        "run",
        str(folder / "pilot.ini"),
        "--port-file",
        str(folder / "port"),
    ]
    control = folder / "state" / "control.sock"

    def probe() -> None:
        with unix(str(_control_path(folder)))() as connection:
            connection.settimeout(PROBE_TIMEOUT_S)
            connection.sendall(b'{"ask":"status"}\n')
            if not connection.recv(100).startswith(b"{"):
                raise ValueError("no answer")

    with _process(command, folder) as process:
        _wait_for((folder / "port").exists)
        _wait_for(lambda: probe() is None)
        yield Target(process.pid, int((folder / "port").read_text()), str(_control_path(folder)), probe)
    del control


def _control_path(folder: Path) -> Path:
    return next(path for path in (folder / "state").iterdir() if path.is_socket())


@contextmanager
def sasp_server(folder: Path) -> Iterator[Target]:
    """Run the daemon with its SASP listener; the probe is a session that polls."""
    with daemon(folder) as target:
        lines = [json.loads(line) for line in (folder / "log").read_text().splitlines() if "sasp_opened" in line]
        port = lines[-1]["port"]

        def probe() -> None:
            with socket.create_connection((HOST, port), timeout=PROBE_TIMEOUT_S) as connection:
                connection.sendall(_sasp_balancer(10**6) + _sasp_poll(2))
                if len(connection.recv(1000)) < 10:
                    raise ValueError("no answer")

        yield target._replace(port=port, probe=probe)


@contextmanager
def xds_server(folder: Path) -> Iterator[Target]:
    """Run the daemon; the probe is a new stream that asks for the list of clusters."""
    import grpc
    from envoy.service.discovery.v3 import discovery_pb2

    with daemon(folder) as target:

        def probe() -> None:
            request = discovery_pb2.DiscoveryRequest(type_url="type.googleapis.com/envoy.config.cluster.v3.Cluster")
            request.node.id = "probe"
            method = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
            try:
                with grpc.insecure_channel(f"{HOST}:{target.port}") as channel:
                    call = channel.stream_stream(method)
                    answers = call(iter([request.SerializeToString()]), timeout=PROBE_TIMEOUT_S)
                    next(answers)
                    answers.cancel()
            except grpc.RpcError as error:
                raise ValueError(str(error)) from None

        yield target._replace(probe=probe)


class _CountingServer(asyncio.Protocol):
    """A plain HTTP server that counts each request by its id and drops bodies. `/counts` returns the counts."""

    executed: ClassVar[dict[str, int]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.data, self.body_left = transport, b"", 0

    def data_received(self, data: bytes) -> None:
        dropped = min(self.body_left, len(data))
        self.body_left -= dropped
        self.data += data[dropped:]
        while not self.body_left and b"\r\n\r\n" in self.data:
            head, _, rest = self.data.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
            self.body_left = max(0, length - len(rest))
            self.data = rest[length:]
            self.answer(head)

    def answer(self, head: bytes) -> None:
        body = b"ok"
        if head.startswith(b"GET /counts "):
            body = json.dumps(self.executed).encode()
        number = head.partition(b"x-request-id: ")[2].split(b"\r\n")[0].decode()
        self.executed[number] = self.executed.get(number, 0) + 1
        text = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        asyncio.get_running_loop().call_later(SERVICE_S, self.transport.write, text)


def _serve_counting(port: int) -> None:
    async def run() -> None:
        server = await asyncio.get_running_loop().create_server(_CountingServer, HOST, port, backlog=1024)
        await server.serve_forever()

    asyncio.run(run())


def _counts(port: int) -> dict[str, int]:
    with socket.create_connection((HOST, port), timeout=PROBE_TIMEOUT_S) as connection:
        connection.sendall(b"GET /counts HTTP/1.1\r\nhost: x\r\n\r\n")
        data = b""
        while not data.endswith(b"}"):
            data += connection.recv(1 << 20)
    return json.loads(data.partition(b"\r\n\r\n")[2])


@contextmanager
def proxy(folder: Path) -> Iterator[Target]:
    """Run the proxy below a daemon, in front of one server; the probe is a request on a new connection."""
    server_port = free_port()
    server = multiprocessing.get_context("fork").Process(target=_serve_counting, args=(server_port,), daemon=True)
    server.start()
    (folder / "daemon").mkdir()
    with daemon(folder / "daemon", [server_port]) as pilot:
        (folder / "proxy.ini").write_text(
            f"[proxy]\nname = px\nzone = a\nslices = 6\npilots = {HOST}:{pilot.port}\n[class page]\ndeadline = 4 s\n"
        )
        command = [sys.executable, "-m", "damsonpick", "proxy", str(folder / "proxy.ini")]
        command += ["--port-file", str(folder / "proxy.port"), "--log-format", "json"]

        def probe() -> None:
            port = int((folder / "proxy.port").read_text())
            with socket.create_connection((HOST, port), timeout=PROBE_TIMEOUT_S) as connection:
                connection.sendall(b"GET / HTTP/1.1\r\nhost: x\r\nx-request-id: probe\r\nx-key: probe\r\n\r\n")
                if not connection.recv(1000).startswith(b"HTTP/1.1 200"):
                    raise ValueError("no answer")

        with _process(command, folder) as process:
            _wait_for((folder / "proxy.port").exists)
            _wait_for(lambda: probe() is None)
            port = int((folder / "proxy.port").read_text())
            yield Target(process.pid, port, "", probe, lambda: _counts(server_port))
    server.kill()


# -- plays


class Play(NamedTuple):
    """Bad clients at one listener.

    Attributes:
        program: Starts the program.
        clients: The bad clients, each in a process of its own; arguments are the target and the seconds.
    """

    program: Callable[[Path], contextlib.AbstractContextManager[Target]]
    clients: tuple[Callable[[Target, float], None], ...]


def _flood(first: bytes, data: bytes) -> Callable[[Target, float], None]:
    return lambda target, seconds: flood(_connect(target), first, data, seconds)


def _crowd(first: bytes, trickle: bytes) -> Callable[[Target, float], None]:
    return lambda target, seconds: crowd(_connect(target), first, trickle, seconds)


def _deaf(first: bytes, data: bytes) -> Callable[[Target, float], None]:
    return lambda target, seconds: flood_without_reading(_connect(target), first, data, seconds)


def _connect(target: Target) -> Callable[[], socket.socket]:
    return unix(target.path) if target.path else tcp(target.port)


def _control(folder: Path) -> contextlib.AbstractContextManager[Target]:
    return daemon(folder)


def _leave_with_unread(target: Target, seconds: float) -> None:
    """Write many requests at once and close the connection without reading an answer; come again with the same ids."""
    until = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < until:
        turn += 1
        text = b"".join(
            b"GET / HTTP/1.1\r\nhost: x\r\nx-key: k\r\nx-request-id: left-%d-%d\r\n\r\n" % (turn, n)
            for n in range(PIPELINED)
        )
        with contextlib.suppress(OSError), tcp(target.port)() as connection:
            connection.sendall(text)
            time.sleep(0.01)
        time.sleep(0.5)


PLAYS: dict[str, Play] = {
    "a/pilot/half-messages": Play(platform_pilot, (_crowd(struct.pack("<I", 4000) + b"{" * 3000, b"{"),)),
    "a/pilot/half-large-joined": Play(
        platform_pilot, (_crowd(JOIN + struct.pack("<I", 1 << 20) + b"{" * 1_000_000, b"{"),)
    ),
    "b/pilot/unsound-reports": Play(platform_pilot, (_flood(JOIN, UNSOUND_REPORT * 1000),)),
    "b/pilot/unsound-reports-at-once": Play(platform_pilot, (_flood(b"", JOIN + UNSOUND_REPORT * 1000),)),
    "b/pilot/new-names": Play(platform_pilot, (lambda t, s: flood(_connect(t), JOIN, _new_names(), s),)),
    "b/pilot/heartbeats": Play(platform_pilot, (_flood(JOIN, HEARTBEAT * 1000),)),
    "b/pilot/heartbeats-unread": Play(platform_pilot, (_deaf(b"", HEARTBEAT * 1000),)),
    "b/pilot/unsound-first": Play(platform_pilot, (_flood(b"", UNSOUND_REPORT * 1000),) * 3),
    "a/proxy/half-bodies": Play(proxy, (_crowd(HALF_BODY, b"x"),)),
    "a/proxy/half-heads": Play(proxy, (_crowd(HALF_HEAD, b"x"),)),
    "a/proxy/many-fields-in-flight": Play(proxy, (_crowd(MANY_FIELDS + b"content-length: 9\r\n\r\n", b""),)),
    "a/proxy/pipelined-by-many": Play(
        proxy, (lambda t, s: crowd(tcp(t.port), _http_requests(2000), _http_requests(1), s),)
    ),
    "a/proxy/many-fields": Play(proxy, (_crowd(MANY_FIELDS, b"y:\r\n"),)),
    "b/proxy/pipelined": Play(proxy, (lambda t, s: flood(_connect(t), b"", _http_requests(20_000), s),)),
    "b/proxy/unsound": Play(proxy, (_flood(b"", b"GET / HTTP/1.1\r\n\r\n" * 1000),)),
    "b/proxy/too-large": Play(
        proxy, (_flood(b"", b"GET / HTTP/1.1\r\nhost: x\r\nx-key: k\r\nconnection: close\r\n\r\n" * 1000),)
    ),
    "c/proxy/leaves": Play(proxy, (_leave_with_unread,)),
    "a/sasp/half-frames": Play(sasp_server, (_crowd(_sasp_balancer(1)[:-1], b""),)),
    "b/sasp/polls": Play(
        sasp_server,
        (lambda t, s: flood(tcp(t.port), _sasp_balancer(1), b"".join(_sasp_poll(n) for n in range(1, 2000)), s),),
    ),
    "b/sasp/unsound": Play(
        sasp_server, (lambda t, s: flood(tcp(t.port), _sasp_balancer(1), _sasp_poll(1)[:-2] + b"\xff\xff", s),)
    ),
    "b/sasp/new-balancers": Play(sasp_server, (lambda t, s: flood_new_balancers(t.port, s),) * 2),
    "a/xds/half-messages": Play(xds_server, (lambda t, s: crowd(tcp(t.port), half_grpc_message(ADS_PATH), b"", s),)),
    "b/xds/requests": Play(xds_server, (lambda t, s: flood_xds(t.port, s),)),
    "b/xds/load-stats": Play(xds_server, (lambda t, s: flood_load_stats(t.port, s),) * 2),
    "b/xds/load-stats-nodes": Play(xds_server, (lambda t, s: flood_load_stats_nodes(t.port, s),) * 2),
    "a/control/half-requests": Play(_control, (_crowd(b'{"ask":"' + b"x" * 60_000, b"x"),)),
    "b/control/requests": Play(_control, (_flood(b"", b'{"ask":"status"}\n' * 1000),)),
    "b/control/unsound": Play(_control, (_flood(b"", b"[]\n" * 10_000),)),
    "b/control/unread": Play(_control, (_deaf(b"", b'{"ask":"status"}\n' * 100),)),
}


def play(name: str) -> dict[str, Any]:
    """Play once and return the figures."""
    chosen = PLAYS[name]
    with tempfile.TemporaryDirectory() as temporary, chosen.program(Path(temporary)) as target:
        if name.split("/")[1] != "control":
            target = target._replace(path="")
        measured = _measure(target, chosen)
        ids = {number: count for number, count in target.executed().items() if number.startswith("left")}
        if ids:
            measured["executed_of_gone_clients"] = len(ids)
            measured["executed_twice"] = sum(count > 1 for count in ids.values())
    return measured


def _measure(target: Target, chosen: Play) -> dict[str, Any]:
    process = psutil.Process(target.pid)
    before = process.memory_info().rss
    peak = [before]
    ended = threading.Event()

    def sample() -> None:
        while not ended.wait(SAMPLE_S):
            with contextlib.suppress(psutil.Error):
                peak[0] = max(peak[0], process.memory_info().rss)

    sampler = threading.Thread(target=sample, daemon=True)
    sampler.start()
    context = multiprocessing.get_context("fork")
    clients = [context.Process(target=client, args=(target, FLOOD_S), daemon=True) for client in chosen.clients]
    for client in clients:
        client.start()
    times, failures = _probe_for(target, FLOOD_S)
    for client in clients:
        client.join(FLOOD_S)
        client.kill()
    ended.set()
    alive = process.is_running() and process.status() != psutil.STATUS_ZOMBIE
    times.sort()
    return {
        "memory_before_mb": round(before / MEGABYTE),
        "memory_peak_mb": round(peak[0] / MEGABYTE),
        "alive": alive,
        "probes": len(times) + failures,
        "failed_probes": failures,
        "median_ms": round(times[len(times) // 2] * 1e3, 1) if times else None,
        "slowest_ms": round(times[-1] * 1e3, 1) if times else None,
    }


def _probe_for(target: Target, seconds: float) -> tuple[list[float], int]:
    times: list[float] = []
    failures = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        began = time.monotonic()
        try:
            target.probe()
        except (OSError, ValueError):
            failures += 1
        else:
            times.append(time.monotonic() - began)
        time.sleep(PROBE_PAUSE_S)
    return times, failures


def main() -> int:
    """Play the chosen plays and write their figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--only", default="", help="play only names that contain this text")
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    results: dict[str, list[dict[str, Any]]] = {}
    for name in PLAYS:
        if options.only in name:
            results[name] = []
            for _ in range(options.plays):
                figures = play(name)
                results[name].append(figures)
                print(name, json.dumps(figures), flush=True)
    if options.out:
        machine = {"machine": platform.machine(), "python": platform.python_version(), "cores": os.cpu_count()}
        options.out.write_text(json.dumps({"on": machine, "plays": results}, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
