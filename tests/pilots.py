"""A real pilot in a separate process, and a minimal xDS client that uses the generated stubs directly."""

from __future__ import annotations

import json
import queue
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
RDS = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
PATIENCE = 10.0  # s; upper bound of a wait for a condition, not a fixed delay

SETTINGS = """
[pilot]
zone = a
zones = a, b
state = state
[tables]
slices = {slices}
[rules]
drain_grace = 2.2 s
bare_limit = 2.8 s
cold_share = 0.2
cold_time = 15 s
fall_multiple = 4
fall_time = 1.5 s
[channel]
lines_per_second = {rate}
limit = 6000
[list]
source = file
file = servers.ini
poll = 20 ms
[log]
format = json
[class page]
aim = 1.5 s
deadline = 4 s
[class tally]
aim = 1.5 s
deadline = 4 s
worth = 2
effect = non_idempotent
"""


def until(condition, patience: float = PATIENCE):
    """Call `condition` until it returns a true value, and return that value; fail after `patience` seconds."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        if found := condition():
            return found
        time.sleep(0.01)
    raise AssertionError(f"not within {patience} s")


class Pilot:
    def __init__(self, folder: Path, slices: int = 6, rate: float = 0, module: str = "damsonpick"):
        self.folder, self.module = folder, module
        self.file, self.port_file = folder / "pilot.ini", folder / "port"
        self.file.write_text(SETTINGS.format(slices=slices, rate=rate))
        self.process = None

    def start(self) -> Pilot:
        self.port_file.unlink(missing_ok=True)
        with (self.folder / "log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module, "run", str(self.file), "--port-file", str(self.port_file)],
                stdout=log,
                stderr=log,
            )
        until(lambda: self.port_file.exists() or self.process.poll() is not None)
        assert self.process.poll() is None, (self.folder / "log").read_text()
        self.port = int(self.port_file.read_text())
        return self

    def stop(self, how=signal.SIGTERM) -> int:
        if self.process.poll() is None:
            self.process.send_signal(how)
        return self.process.wait(PATIENCE)

    def list(self, **states: str) -> None:
        """Write the server list: servers s1, s2 ... with their states; server n has port 9000 + n."""
        text = "".join(
            f"[server 127.0.0.1:{9000 + int(n[1:])}]\nzone = {'ab'[int(n[1:]) % 2]}\nstate = {s}\n"
            for n, s in states.items()
        )
        self.put_list(text)

    def put_list(self, text: str) -> None:
        part = self.folder / "servers.part"
        part.write_text(text)
        part.replace(self.folder / "servers.ini")

    def log(self, event: str) -> list[dict]:
        lines = [json.loads(x) for x in (self.folder / "log").read_text().splitlines() if x.startswith("{")]
        return [x for x in lines if x["event"] == event]

    def ask(self, *words: str) -> dict:
        done = subprocess.run(
            [sys.executable, "-m", "damsonpick", words[0], str(self.file), *words[1:], "--json"],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert done.returncode == 0, done.stderr
        return json.loads(done.stdout)

    def versions(self, *words: str) -> subprocess.CompletedProcess:
        """Run `damsonpick versions` with `--json`, as an operator does."""
        return subprocess.run(
            [sys.executable, "-m", "damsonpick", "versions", words[0], str(self.file), *words[1:], "--json"],
            capture_output=True,
            text=True,
            timeout=30,
        )


def server_address(n: int) -> str:
    return f"127.0.0.1:{9000 + n}"


class Client:
    """A client with one ADS stream. `delta` selects the variant of xDS.

    The client acknowledges a response only if the test calls `acknowledge`, `acknowledge_until_quiet` or `until`.
    """

    def __init__(self, port: int, node: str = "gw", delta: bool = True):
        self.delta, self.node = delta, node
        self.out: queue.Queue = queue.Queue()
        self.received: queue.Queue = queue.Queue()
        self.channel = grpc.insecure_channel(f"127.0.0.1:{port}", [("grpc.use_local_subchannel_pool", 1)])
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self.channel)
        method = stub.DeltaAggregatedResources if delta else stub.StreamAggregatedResources
        self.call = method(iter(self.out.get, None))
        self.tables: dict[str, set[str]] = {}
        self.versions: dict[str, dict[str, str]] = {}
        self.names: dict[str, list[str]] = {}
        self.version: dict[str, str] = {}
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        try:
            for response in self.call:
                self.received.put(response)
        except grpc.RpcError as error:
            self.received.put(error)

    def subscribe(self, kind: str, names: list[str], held: dict[str, str] | None = None, version: str = "") -> None:
        node = base_pb2.Node(id=self.node, locality=base_pb2.Locality(zone="a"))
        self.names[kind] = names
        if self.delta:
            self.out.put(
                discovery_pb2.DeltaDiscoveryRequest(
                    node=node, type_url=kind, resource_names_subscribe=names, initial_resource_versions=held or {}
                )
            )
        else:
            self.out.put(
                discovery_pb2.DiscoveryRequest(node=node, type_url=kind, resource_names=names, version_info=version)
            )

    def next(self, patience: float = PATIENCE):
        """Return the next response, or the error that ended the stream."""
        got = self.received.get(timeout=patience)
        if not isinstance(got, Exception):
            for key, version, body in self.read(got):
                self.versions.setdefault(got.type_url, {})[key] = version
                if got.type_url == EDS:
                    table = endpoint_pb2.ClusterLoadAssignment.FromString(body)
                    self.tables[key] = {
                        f"{e.endpoint.address.socket_address.address}:{e.endpoint.address.socket_address.port_value}"
                        for p in table.endpoints
                        for e in p.lb_endpoints
                    }
        return got

    def read(self, response) -> list[tuple[str, str, bytes]]:
        if self.delta:
            return [(r.name, r.version, r.resource.value) for r in response.resources]
        kind = {EDS: endpoint_pb2.ClusterLoadAssignment}.get(response.type_url)
        return [
            (kind.FromString(b.value).cluster_name if kind else str(k), response.version_info, b.value)
            for k, b in enumerate(response.resources)
        ]

    def acknowledge(self, response, bad: str = "", nonce: str | None = None) -> None:
        kind, nonce = response.type_url, response.nonce if nonce is None else nonce
        if self.delta:
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=kind, response_nonce=nonce)
        else:
            if not bad:
                self.version[kind] = response.version_info
            request = discovery_pb2.DiscoveryRequest(
                type_url=kind,
                response_nonce=nonce,
                resource_names=self.names[kind],
                version_info=self.version.get(kind, ""),
            )
        if bad:
            request.error_detail.code, request.error_detail.message = 3, bad
        self.out.put(request)

    def acknowledge_until_quiet(self, quiet: float = 0.4) -> list:
        """Acknowledge all responses until none arrives for `quiet` seconds, and return them."""
        got = []
        while True:
            try:
                got.append(self.next(quiet))
            except queue.Empty:
                return got
            self.acknowledge(got[-1])

    def until(self, condition, patience: float = PATIENCE) -> list:
        """Acknowledge responses until `condition` holds, and return them; fail after `patience` seconds."""
        got, end = [], time.monotonic() + patience
        while not condition():
            assert time.monotonic() < end, f"not within {patience} s; got {len(got)} responses"
            try:
                got.append(self.next(0.2))
                if not isinstance(got[-1], Exception):
                    self.acknowledge(got[-1])
            except queue.Empty:
                continue
            assert not isinstance(got[-1], Exception), got[-1]
        return got

    def close(self) -> None:
        self.out.put(None)
        self.call.cancel()
        self.channel.close()
