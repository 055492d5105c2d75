"""Hard cases of the xDS protocol over real sockets. The test client shares no code with the fakes of the package."""

from __future__ import annotations

import contextlib
import queue
import signal
import socket
import threading
import time

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2

from tests.pilots import CDS, EDS, RDS, Client, server_address, until

both = pytest.mark.parametrize("delta", [True, False], ids=["delta", "sotw"])
SLICES = [f"slice/{n}" for n in range(6)]


def served(client):
    """Return a predicate that is true once the client has a table of every slice."""
    return lambda: all(client.tables.get(s) for s in SLICES)


def gateway(pilot, node="gw"):
    return next(g for g in pilot.ask("status")["gateways"] if g["gateway"] == node)


def drained(pilot, client, n):
    """Return whether no request can reach server n: it is withdrawn, or no table contains it."""
    return server_address(n) in client.tables.get("fleet", set()) or all(
        server_address(n) not in client.tables[s] for s in SLICES
    )


@both
def test_rejected_table_keeps_last_good_and_drains_still_bind(pilot, clients, delta):
    client = clients(pilot, delta=delta)
    client.until(served(client))
    client.acknowledge_until_quiet()
    rejected_slice = next(s for s in SLICES if server_address(1) in client.tables[s])
    last_good = client.tables[rejected_slice]
    pilot.list(s1="terminating", s2="in_service", s3="in_service")
    rejected_contents, alone_count = [], 0
    end = time.monotonic() + 4
    while time.monotonic() < end:
        try:
            response = client.next(0.3)
        except queue.Empty:
            continue
        names = {key: body for key, _, body in client.read(response)}
        if rejected_slice in names:
            rejected_contents.append((len(names), names[rejected_slice]))
            alone_count += len(names) == 1
            client.acknowledge(response, bad=f"{rejected_slice} will not do")
        else:
            client.acknowledge(response)
    assert rejected_contents and last_good
    contents_alone = [body for count, body in rejected_contents if count == 1]
    assert alone_count >= 1 and len(contents_alone) == len(set(contents_alone)), (
        "content that was rejected alone in a response must not be sent again"
    )
    assert server_address(1) in client.tables["fleet"], "the withdrawal is applied although a table was rejected"
    reported = until(lambda: gateway(pilot)["rejected"])
    assert reported == {rejected_slice: f"{rejected_slice} will not do"}
    assert pilot.log("resource_rejected")[0]["reason"] == f"{rejected_slice} will not do"
    # the next version with other content is sent, and the client accepts it
    lines = next(t["lines"] for t in pilot.ask("tables")["tables"] if f"slice/{t['slice']}" == rejected_slice)
    states = {s: "terminating" if server_address(int(s[1])) in lines else "in_service" for s in ("s2", "s3")}
    pilot.list(s1="terminated", **states)
    client.until(lambda: not set(lines) & client.tables[rejected_slice])
    client.acknowledge_until_quiet()
    assert until(lambda: not gateway(pilot)["rejected"])


@both
def test_second_order_before_the_first_is_acknowledged_and_acks_out_of_step(pilot, clients, delta):
    client = clients(pilot, delta=delta)
    client.until(served(client))
    client.acknowledge_until_quiet()
    pilot.list(s1="terminating", s2="in_service", s3="in_service")
    unacknowledged = [client.next()]
    until(lambda: pilot.log("endpoint_withdrawn"))
    pilot.list(s1="terminating", s2="terminating", s3="in_service")
    end = time.monotonic() + 3
    while time.monotonic() < end and not drained(pilot, client, 2):
        try:
            unacknowledged.append(client.next(0.2))
        except queue.Empty:
            continue
    assert len(unacknowledged) >= 2 and drained(pilot, client, 2), (
        "a second order does not wait for the ACK of the first order"
    )
    for response in reversed(unacknowledged):
        client.acknowledge(response)
    client.until(lambda: gateway(pilot)["acknowledged"] == gateway(pilot)["published"])


@both
def test_stale_nonce_is_ignored(pilot, clients, delta):
    client = clients(pilot, delta=delta)
    client.until(served(client))
    last = client.acknowledge_until_quiet() or [None]
    response = (
        discovery_pb2.DeltaDiscoveryResponse(type_url=EDS) if delta else discovery_pb2.DiscoveryResponse(type_url=EDS)
    )
    assert last is not None
    client.acknowledge(response, nonce="99.1.1.1", bad="never sent")
    until(lambda: pilot.log("stale_nonce_received"))
    assert not gateway(pilot)["rejected"]
    pilot.list(s1="terminating", s2="in_service", s3="in_service")
    client.until(lambda: drained(pilot, client, 1))


def test_rejoin_with_older_unknown_and_current_versions_gets_only_what_differs(pilot, clients):
    client = clients(pilot)
    client.until(served(client))
    client.acknowledge_until_quiet()
    acknowledged = dict(client.versions[EDS])
    client.close()
    rejoined = clients(pilot, names=False)
    rejoined.subscribe(EDS, list(acknowledged), acknowledged | {"slice/3": "0123456789abcdef", "slice/99": "gone"})
    first = rejoined.next()
    assert [r.name for r in first.resources] == ["slice/3"]
    rejoined.acknowledge(first)
    assert not [r.name for g in rejoined.acknowledge_until_quiet() for r in g.resources if r.name != "slice/3"]
    assert [j["fresh"] for j in pilot.log("gateway_joined")] == [True, False]


def test_rejoin_after_a_kill_gets_only_what_differs(pilot, clients):
    client = clients(pilot)
    client.until(served(client))
    client.acknowledge_until_quiet()
    before = {t["slice"]: t["lines"] for t in pilot.ask("tables")["tables"]}
    acknowledged = dict(client.versions[EDS])
    client.close()
    pilot.stop(signal.SIGKILL)
    pilot.start()
    rejoined = clients(pilot, names=False)
    rejoined.subscribe(EDS, list(acknowledged), acknowledged)
    sent = [r.name for g in rejoined.acknowledge_until_quiet() for r in g.resources]
    after = {t["slice"]: t["lines"] for t in pilot.ask("tables")["tables"]}
    changed = {f"slice/{n}" for n in after if after[n] != before[n]}
    assert set(sent) <= changed, "tables restored from the store are not sent again"
    assert all(after.values()) and len(changed) < 6


def test_sotw_rejoin_is_sent_all_it_asks_for(pilot, clients):
    client = clients(pilot, delta=False)
    client.until(served(client))
    client.acknowledge_until_quiet()
    version = client.version[EDS]
    client.close()
    rejoined = clients(pilot, delta=False, names=False)
    rejoined.subscribe(EDS, SLICES, version=version)
    assert len(rejoined.next().resources) == 6
    assert pilot.log("gateway_joined")[-1]["fresh"] is False


@both
def test_one_that_never_acknowledges_holds_up_nobody(pilot, clients, delta):
    silent = clients(pilot, "silent", delta)
    silent.next()
    client = clients(pilot, "good", delta)
    client.until(served(client))
    states = {"s1": "in_service", "s2": "in_service", "s3": "in_service"}
    for round_number in range(12):
        states["s1"] = "terminating" if round_number % 2 == 0 else "in_service"
        pilot.list(**states)
        client.until(
            lambda round_number=round_number: (
                (server_address(1) in client.tables["fleet"]) == (round_number % 2 == 0)
                or (round_number % 2 == 0 and drained(pilot, client, 1))
            )
        )
    stuck = gateway(pilot, "silent")
    assert stuck["unanswered"] <= 4 and stuck["waiting_lines"] < 60


class SlowRelay(threading.Thread):
    """A relay that forwards one byte per second to its client."""

    def __init__(self, port: int):
        super().__init__(daemon=True)
        self.port, self.listener = port, socket.create_server(("127.0.0.1", 0))
        self.relay_port = self.listener.getsockname()[1]

    def run(self) -> None:
        client_socket, _ = self.listener.accept()
        pilot_socket = socket.create_connection(("127.0.0.1", self.port))
        threading.Thread(target=self.forward_slowly, args=(pilot_socket, client_socket), daemon=True).start()
        while data := client_socket.recv(4096):
            pilot_socket.sendall(data)

    def forward_slowly(self, pilot_socket, client_socket) -> None:
        unthrottled_bytes = 600  # enough for the handshake and a little more, so that the stream can be established
        with contextlib.suppress(OSError):  # the client has closed its connection
            while data := pilot_socket.recv(unthrottled_bytes if unthrottled_bytes > 0 else 1):
                unthrottled_bytes -= len(data)
                client_socket.sendall(data)
                if unthrottled_bytes <= 0:
                    time.sleep(1.0)


def test_one_that_reads_a_byte_a_second_holds_up_nobody(pilot, clients):
    relay = SlowRelay(pilot.port)
    relay.start()
    slow = Client(relay.relay_port, "slow")
    slow.subscribe(EDS, ["fleet", *SLICES])
    until(lambda: [j for j in pilot.log("gateway_joined") if j["gateway"] == "slow"])
    client = clients(pilot, "good")
    client.until(served(client))
    start = time.monotonic()
    pilot.list(s1="terminating", s2="in_service", s3="in_service")
    client.until(lambda: drained(pilot, client, 1))
    assert time.monotonic() - start < 2.0
    slow.close()


def test_one_that_floods_requests_is_ended_and_others_are_served(pilot, clients):
    flood = clients(pilot, "flood")
    flood.next()
    for _ in range(12_000):
        flood.out.put(discovery_pb2.DeltaDiscoveryRequest(type_url=EDS, resource_names_subscribe=["slice/1"]))
    ended = until(lambda: next((g for g in iter(lambda: flood.next(), None) if isinstance(g, Exception)), None), 30)
    assert ended.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
    client = clients(pilot, "good")
    client.until(served(client))


def test_two_with_one_node_id_are_both_bound(pilot, clients):
    one, two = clients(pilot, "twin"), clients(pilot, "twin")
    one.until(served(one))
    two.until(served(two))
    until(lambda: pilot.log("node_id_duplicated"))
    pilot.list(s1="terminating", s2="in_service", s3="in_service")
    one.until(lambda: drained(pilot, one, 1))
    two.until(lambda: drained(pilot, two, 1))
    assert len(pilot.ask("status")["gateways"]) == 2


@pytest.mark.parametrize(
    "garbage",
    [b"\xff" * 40, b"\x0a\x7f\x01", bytes(range(256)), b"x" * 2_000_000],
    ids=["random", "truncated", "all-bytes", "oversized"],
)
@pytest.mark.parametrize("method", ["StreamAggregatedResources", "DeltaAggregatedResources"])
def test_bytes_that_are_no_request_end_their_stream_alone(pilot, clients, garbage, method):
    client = clients(pilot)
    client.until(served(client))
    with grpc.insecure_channel(f"127.0.0.1:{pilot.port}") as channel:
        call = channel.stream_stream(f"/envoy.service.discovery.v3.AggregatedDiscoveryService/{method}")
        with pytest.raises(grpc.RpcError) as error:
            list(call(iter([garbage]), timeout=10))
    assert error.value.code() in (grpc.StatusCode.INVALID_ARGUMENT, grpc.StatusCode.RESOURCE_EXHAUSTED)
    pilot.list(s1="terminating", s2="in_service", s3="in_service")
    client.until(lambda: drained(pilot, client, 1))


@both
def test_unknown_type_is_said_and_the_stream_goes_on(pilot, clients, delta):
    client = clients(pilot, delta=delta, names=False)
    client.subscribe("type.googleapis.com/no.such.Type", ["x"])
    client.subscribe(EDS, SLICES)
    client.until(served(client))
    assert pilot.log("unknown_type_requested")[0]["type"] == "type.googleapis.com/no.such.Type"


@both
def test_first_request_without_a_node_is_refused(pilot, clients, delta):
    client = clients(pilot, node="", delta=delta)
    assert client.next().code() is grpc.StatusCode.INVALID_ARGUMENT


def test_killed_in_the_rush_the_pilot_comes_back_from_its_store(pilot, clients):
    client = clients(pilot)
    client.until(served(client))
    client.acknowledge_until_quiet()
    before = {t["slice"]: t["lines"] for t in pilot.ask("tables")["tables"]}
    pilot.stop(signal.SIGKILL)
    (pilot.folder / "servers.ini").unlink()
    pilot.start()
    after = pilot.ask("tables")["tables"]
    assert {t["slice"]: t["lines"] for t in after} == before
    rejoined = clients(pilot, names=False)
    rejoined.subscribe(EDS, SLICES)
    rejoined.until(served(rejoined))
    assert len(pilot.ask("status")["endpoints"]) == 3, "the stored endpoint list replaces the missing list file"


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("", "list_validation_failed"),
        ("[server 127.0.0.1:9001]\nzone = a\n[server 127.0.0.1:9001]\nzone = b\n", "list_source_failed"),
        ("[server 127.0.0.1:9001]\nstate = asleep\nzone = a\n", "list_source_failed"),
    ],
    ids=["empty", "contradictory", "unknown state"],
)
def test_a_list_that_cannot_be_true_changes_nothing(pilot, clients, text, what):
    client = clients(pilot)
    client.until(served(client))
    client.acknowledge_until_quiet()
    before = dict(client.tables)
    pilot.put_list(text)
    until(lambda: pilot.log(what))
    client.acknowledge_until_quiet()
    assert client.tables == before and not pilot.log("endpoint_withdrawn")


def test_list_all_draining_withdraws_all_and_shrinking_to_one_keeps_that_one(pilot, clients):
    client = clients(pilot)
    client.until(served(client))
    pilot.list(s1="in_service", s2="terminated", s3="terminated")
    client.until(lambda: all(client.tables[s] - client.tables["fleet"] == {server_address(1)} for s in SLICES))
    pilot.list(s1="terminating", s2="terminating", s3="terminating")
    client.until(lambda: drained(pilot, client, 1))
    pilot.list(s1="in_service", s2="terminating", s3="terminating")
    client.until(lambda: all(client.tables[s] - client.tables["fleet"] == {server_address(1)} for s in SLICES))


# -- conformance to the clauses of the specification (see docs/design/xds.md)


def test_delta_subscribes_unsubscribes_and_subscribes_again(pilot, clients):
    client = clients(pilot, names=False)
    client.subscribe(EDS, ["slice/0", "slice/nowhere"])
    response = client.next()
    assert {r.name for r in response.resources} <= {"slice/0"} and "slice/nowhere" in response.removed_resources
    client.acknowledge(response)
    client.acknowledge_until_quiet()
    client.out.put(discovery_pb2.DeltaDiscoveryRequest(type_url=EDS, resource_names_subscribe=["slice/0"]))
    assert [r.name for r in client.next().resources] == ["slice/0"], (
        "a repeated subscription is answered with the resource again"
    )
    client.out.put(discovery_pb2.DeltaDiscoveryRequest(type_url=EDS, resource_names_unsubscribe=["slice/0"]))
    client.out.put(discovery_pb2.DeltaDiscoveryRequest(type_url=EDS, resource_names_subscribe=["slice/1"]))
    client.acknowledge_until_quiet()
    pilot.list(s1="terminating", s2="terminating", s3="in_service")
    until(lambda: pilot.log("endpoint_withdrawn"))
    assert all(r.name != "slice/0" for g in client.acknowledge_until_quiet() for r in g.resources)


@both
def test_wildcard_brings_every_cluster_in_one_response(pilot, clients, delta):
    client = clients(pilot, delta=delta, names=False)
    client.subscribe(CDS, [])
    response = client.next()
    assert len(response.resources) == 7  # six slices and the fleet resource
    if delta:
        client.acknowledge(response)
        client.out.put(discovery_pb2.DeltaDiscoveryRequest(type_url=EDS, resource_names_subscribe=["*"]))
        client.until(served(client))


@both
def test_clusters_come_before_endpoints_before_routes(pilot, clients, delta):
    client = clients(pilot, delta=delta, names=False)
    for kind, names in ((RDS, ["routes"]), (EDS, SLICES), (CDS, [])):
        client.subscribe(kind, names)
    seen = []
    client.until(lambda: {CDS, EDS, RDS} <= set(client.versions))
    seen = list(client.versions)
    # The pilot may read the requests one by one, so the routes may be sent first.
    assert seen.index(CDS) < seen.index(EDS) or seen[0] == RDS
    nonces = [g.nonce for g in client.acknowledge_until_quiet()]
    assert len(nonces) == len(set(nonces))


def test_sotw_names_added_later_are_sent_and_names_left_out_are_not(pilot, clients):
    client = clients(pilot, delta=False, names=False)
    client.subscribe(EDS, ["slice/0"])
    got = client.next()
    client.names[EDS] = ["slice/0", "slice/1"]
    client.acknowledge(got)
    last = client.until(lambda: "slice/1" in client.versions[EDS])[-1]
    last = (client.acknowledge_until_quiet() or [last])[-1]
    client.names[EDS] = ["slice/1"]
    client.acknowledge(last)
    client.acknowledge_until_quiet(1.0)  # receives the responses sent before the pilot read the request
    pilot.list(s1="terminated", s2="terminated", s3="in_service")
    got = client.until(lambda: client.tables["slice/1"] == {server_address(3)})
    assert {key for g in got for key, _, _ in client.read(g)} <= {"slice/1"}


def test_two_wildcards_by_sotw_star_and_empty_are_alike(pilot, clients):
    star, bare = clients(pilot, "x", False, names=False), clients(pilot, "y", False, names=False)
    star.subscribe(CDS, ["*"])
    bare.subscribe(CDS, [])
    assert len(star.next().resources) == len(bare.next().resources) == 7
