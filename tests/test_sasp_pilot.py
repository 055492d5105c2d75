"""Tests of the SASP server over real sockets: a pilot process, raw bytes and the project's SASP client."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import subprocess
import sys

import anyio
import pytest

from damsonpick.protocols.sasp import codec
from damsonpick.protocols.sasp.client import connect
from damsonpick.protocols.sasp.layout import (
    Code,
    Deregister,
    GetWeights,
    Group,
    LbFlag,
    MemberFlag,
    MemberGroup,
    MemberState,
    Message,
    Register,
    Sender,
    SetLbState,
    SetMemberState,
    StateGroup,
    WeightFlag,
    member,
)
from tests.gates import wait_for, wait_within_empty_table_limit, weights, world
from tests.pilots import Pilot, server_address, until

pytestmark = pytest.mark.anyio
SASP_SETTINGS = """
[sasp]
listen = 127.0.0.1:0
messages = 2000
feed = yes
unknown = state
[sasp group some]
covers = slices 0-2
[sasp balancer reader]
may = read
[sasp balancer stranger]
may = refuse
[sasp balancer modest]
may = register
"""


@pytest.fixture
def anyio_backend():
    return "asyncio"


class SaspPilot:
    """A pilot process that serves SASP."""

    def __init__(self, pilot):
        self.pilot = pilot

    @property
    def address(self):
        return f"127.0.0.1:{self.pilot.log('sasp_opened')[-1]['port']}"


@contextlib.asynccontextmanager
async def running_pilot(folder, servers=3, gates=1, sasp_settings=SASP_SETTINGS, **options):
    """Run a pilot that serves SASP, and gateways that are connected to it with their own protocol."""
    original_start = Pilot.start

    def start(self):
        text = self.file.read_text()
        if "[sasp]" not in text:
            self.file.write_text(text + sasp_settings)
        return original_start(self)

    Pilot.start = start
    try:
        async with world(folder, gates=gates, servers=servers, **options) as (pilot, gateways):
            await wait_until(lambda: all(len(weights(g)) == 6 and all(weights(g).values()) for g in gateways))
            yield SaspPilot(pilot), gateways
    finally:
        Pilot.start = original_start


async def wait_until(what):
    async def look():
        return what()

    return await wait_for(look)


ALL_MEMBERS = [member(server_address(k)) for k in (1, 2, 3)]


def by_endpoint(reply):
    return {w.member.endpoint: w for g in reply.groups for w in g.weights}


async def poll_until(client, what, *names):
    """Poll until the weights by endpoint satisfy the condition, and return that reply."""

    async def look():
        reply = await client.weights(*names)
        return reply if not reply.code and what(by_endpoint(reply)) else None

    return await wait_for(look)


async def test_weights_follow_the_tables_and_a_drain_has_the_same_effect_on_gateways_and_balancers(tmp_path):
    async with running_pilot(tmp_path) as (server, gates), connect(server.address, b"lb1") as client:
        assert await client.set_lb_state() == Code.OK and await client.register(b"web", ALL_MEMBERS) == Code.OK
        reply = await client.weights(b"web")
        assert reply.code == Code.OK and reply.interval >= 1
        assert all(w.weight > 0 and w.flags & WeightFlag.CONTACT for w in by_endpoint(reply).values())
        server.pilot.list(s1="in_service", s2="in_service", s3="terminating")
        await wait_until(
            lambda: all(
                server_address(3) not in g.received_state.available_entries(n) for g in gates for n in weights(g)
            )
        )
        after = by_endpoint(await client.weights(b"web"))
        assert after[server_address(3)].weight == 0 and after[server_address(3)].flags & WeightFlag.QUIESCE
        assert after[server_address(1)].weight > 0 and after[server_address(2)].weight > 0
        assert await client.register(b"slice/0", ALL_MEMBERS) == Code.OK
        lines = weights(gates[0])["slice/0"]
        assert {n for n, w in by_endpoint(await client.weights(b"slice/0")).items() if w.weight} == set(lines) - {
            server_address(3)
        }


async def test_a_drain_is_pushed_within_the_grace_and_noise_is_not(tmp_path):
    pushes = []
    async with running_pilot(tmp_path) as (server, _), connect(server.address, b"lb1", pushes.append) as client:
        assert (
            await client.set_lb_state(LbFlag.PUSH) == Code.OK and await client.register(b"web", ALL_MEMBERS) == Code.OK
        )
        await wait_until(lambda: pushes)
        count = len(pushes)
        await anyio.sleep(1.5)  # refreshes of load and reports occur in this time
        assert len(pushes) == count
        server.pilot.list(s1="in_service", s2="terminating", s3="in_service")
        with anyio.fail_after(2.2):
            while not any(
                by_endpoint(p).get(server_address(2)) and by_endpoint(p)[server_address(2)].weight == 0
                for p in pushes[count:]
            ):
                await anyio.sleep(0.01)


async def test_quiesce_over_sasp_drains_the_gateways_and_races_with_the_list(tmp_path):
    def states(flag):
        return SetMemberState(
            Sender.BALANCER, (StateGroup(Group(b"lb1", b"web"), (MemberState(ALL_MEMBERS[1], 9, flag),)),)
        )

    async with running_pilot(tmp_path) as (server, gates), connect(server.address, b"lb1") as client:
        await client.set_lb_state()
        await client.register(b"web", ALL_MEMBERS)

        def reached():
            return any(server_address(2) in g.received_state.available_entries(n) for g in gates for n in weights(g))

        assert reached()
        assert (await client.ask(states(MemberFlag.QUIESCE))).code == Code.OK
        with anyio.fail_after(2.2):
            while reached():
                await anyio.sleep(0.02)
        reply = by_endpoint(await client.weights(b"web"))
        assert reply[server_address(2)].weight == 0 and reply[server_address(2)].state == 9
        for k in range(10):  # the endpoint list changes each time a quiesce is set or cleared
            server.pilot.list(s1="in_service", s2="in_service", s3="terminating" if k % 2 else "in_service")
            await client.ask(states(MemberFlag(k % 2)))
        await client.ask(states(MemberFlag.QUIESCE))
        server.pilot.list(s1="in_service", s2="in_service", s3="in_service")
        await poll_until(
            client,
            lambda w: w[server_address(2)].weight == 0 and not w[server_address(3)].flags & WeightFlag.QUIESCE,
            b"web",
        )
        await wait_within_empty_table_limit(
            lambda: all(g.received_state.available_entries(n) for g in gates for n in weights(g))
        )
        assert not reached()
        await client.ask(states(MemberFlag(0)))
        await poll_until(client, lambda w: not w[server_address(2)].flags & WeightFlag.QUIESCE, b"web")


def connect_raw(address):
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=10)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_messages(sock, count=1):
    splitter, got = codec.Splitter(), []
    while len(got) < count:
        data = sock.recv(65536)
        if not data:
            break
        got += [codec.decode(f) for f in splitter.feed(data)]
    return got


HELLO = codec.encode(Message(1, SetLbState(b"raw", 1, LbFlag(0))))


async def test_requests_split_at_every_byte_are_answered_alike(tmp_path):
    async with running_pilot(tmp_path) as (server, _):
        register = codec.encode(
            Message(2, Register(Sender.BALANCER, (MemberGroup(Group(b"raw", b"g"), tuple(ALL_MEMBERS)),)))
        )
        poll = codec.encode(Message(3, GetWeights((Group(b"raw", b"g"),))))

        def exchange():
            with connect_raw(server.address) as sock:
                sock.sendall(HELLO + register)
                assert [m.body.code for m in read_messages(sock, 2)] == [0, 0]
                for cut in range(1, len(poll)):
                    sock.sendall(poll[:cut])
                    sock.sendall(poll[cut:])
                    assert read_messages(sock)[0].number == 3
                for byte in poll * 3:
                    sock.sendall(bytes((byte,)))
                assert len(read_messages(sock, 3)) == 3

        await anyio.to_thread.run_sync(exchange)


@pytest.mark.parametrize("length", [0, 5, 2**32 - 1, 2**31, 5_000_000])
async def test_an_invalid_length_ends_only_that_session(tmp_path, length):
    async with running_pilot(tmp_path) as (server, _), connect(server.address, b"lb1") as client:
        await client.set_lb_state()

        def exchange():
            with connect_raw(server.address) as sock:
                bad = bytearray(HELLO)
                bad[5:9] = length.to_bytes(4, "big")
                sock.sendall(bytes(bad))
                return sock.recv(100)

        assert await anyio.to_thread.run_sync(exchange) == b""
        await wait_until(lambda: any("bytes" in e["why"] for e in server.pilot.log("sasp_frame_invalid")))
        assert await client.register(b"web", ALL_MEMBERS) == Code.OK


async def test_unknown_types_and_versions_are_answered_and_the_session_goes_on(tmp_path):
    async with running_pilot(tmp_path) as (server, _):

        def exchange():
            with connect_raw(server.address) as sock:
                for place, value in ((13, 0x66), (4, 9)):
                    bad = bytearray(HELLO)
                    bad[place] = value
                    sock.sendall(bytes(bad))
                    assert read_messages(sock)[0].body.code == Code.NOT_UNDERSTOOD
                sock.sendall(HELLO)
                assert read_messages(sock)[0].body.code == Code.OK

        await anyio.to_thread.run_sync(exchange)
        assert len(server.pilot.log("sasp_message_invalid")) == 2


async def test_rights_are_refused_with_their_code(tmp_path):
    async with running_pilot(tmp_path) as (server, _):
        quiesce = MemberState(ALL_MEMBERS[0], 0, MemberFlag.QUIESCE)
        for lb, codes in (
            (b"stranger", (0x11, 0x11, 0x11)),
            (b"reader", (0, 0x11, 0x11)),
            (b"modest", (0, 0, 0x11)),
            (b"anybody", (0, 0, 0)),
        ):
            async with connect(server.address, lb) as client:
                state = SetMemberState(Sender.BALANCER, (StateGroup(Group(lb, b"web"), (quiesce,)),))
                got = (
                    await client.set_lb_state(),
                    await client.register(b"web", ALL_MEMBERS),
                    (await client.ask(state)).code,
                )
                assert got == codes, lb


async def test_a_balancer_that_stops_reading_is_disconnected_and_delays_nobody(tmp_path):
    """A balancer that does not read must not delay replies to others or drains of gateways.

    Replies fill the socket of this balancer until a send times out.
    """
    sasp_settings = SASP_SETTINGS.replace("messages = 2000", "messages = 2000\npatience = 2 s")
    async with (
        running_pilot(tmp_path, sasp_settings=sasp_settings) as (server, gates),
        connect(server.address, b"lb1") as client,
    ):
        await client.set_lb_state()
        await client.register(b"web", ALL_MEMBERS)
        many = tuple(member(f"10.1.{k // 200}.{k % 200}:80") for k in range(900))
        poll = codec.encode(Message(3, GetWeights((Group(b"raw", b"g"),))))

        def exchange():
            sock = connect_raw(server.address)
            body = Register(Sender.BALANCER, (MemberGroup(Group(b"raw", b"g"), many),))
            sock.sendall(HELLO + codec.encode(Message(2, body)))
            assert [m.body.code for m in read_messages(sock, 2)] == [0, 0]
            sock.settimeout(3)
            with contextlib.suppress(TimeoutError, OSError):
                for _ in range(3000):
                    sock.sendall(poll)
            return sock

        stalled_socket = await anyio.to_thread.run_sync(exchange)
        try:
            reply = await client.weights(b"web")
            assert reply.code == Code.OK
            server.pilot.list(s1="in_service", s2="in_service", s3="terminating")
            with anyio.fail_after(2.2):
                while any(
                    server_address(3) in g.received_state.available_entries(n) for g in gates for n in weights(g)
                ):
                    await anyio.sleep(0.02)
            assert by_endpoint(await client.weights(b"web"))[server_address(3)].weight == 0
            await wait_until(
                lambda: [e["why"] for e in server.pilot.log("balancer_left")] == ["the peer does not read"]
            )
        finally:
            stalled_socket.close()


async def test_two_balancers_with_one_identifier_one_of_them_without_trust(tmp_path):
    """A member may set its own state only while every session with that identifier trusts members."""
    quiesce = SetMemberState(
        Sender(0), (StateGroup(Group(b"lb1", b"web"), (MemberState(ALL_MEMBERS[0], 0, MemberFlag.QUIESCE),)),)
    )
    async with running_pilot(tmp_path) as (server, _), connect(server.address, b"member") as own:
        assert await own.register(b"web", [ALL_MEMBERS[0]], Sender(0)) == Code.NO_BALANCER_YET
        async with connect(server.address, b"lb1") as one:
            await one.set_lb_state(LbFlag.TRUST)
            body = Register(Sender(0), (MemberGroup(Group(b"lb1", b"web"), (ALL_MEMBERS[0],)),))
            assert (await own.ask(body)).code == Code.OK
            assert by_endpoint(await one.weights(b"web"))[server_address(1)].flags & WeightFlag.REGISTERED
            async with connect(server.address, b"lb1") as other:
                await other.set_lb_state()
                assert (await own.ask(quiesce)).code == Code.NOT_FROM_SENDER
            await wait_until(lambda: len(server.pilot.log("balancer_left")) == 1)
            assert (await own.ask(quiesce)).code == Code.OK
            await poll_until(one, lambda w: w[server_address(1)].weight == 0, b"web")


async def test_duplicate_members_unknown_members_and_one_member_with_two_protocols(tmp_path):
    async with running_pilot(tmp_path) as (server, _), connect(server.address, b"lb1") as client:
        await client.set_lb_state()
        twin = ALL_MEMBERS[0]._replace(protocol=17)
        assert await client.register(b"web", [ALL_MEMBERS[0], ALL_MEMBERS[0]]) == Code.DUPLICATE_MEMBER
        assert await client.register(b"web", [ALL_MEMBERS[0], twin]) == Code.OK
        assert await client.register(b"web", [ALL_MEMBERS[0]]) == Code.ALREADY_REGISTERED
        rows = [w for g in (await client.weights(b"web")).groups for w in g.weights]
        assert len(rows) == 2 and rows[0].weight == rows[1].weight > 0, (
            "both members have the same endpoint and get the same weight"
        )
        stranger = Deregister(Sender.BALANCER, 0, (MemberGroup(Group(b"lb1", b"web"), (ALL_MEMBERS[2],)),))
        assert (await client.ask(stranger)).code == Code.NOT_REGISTERED
        assert await client.deregister(b"nosuch") == Code.UNKNOWN_GROUP
        await client.register(b"odd", [member("10.9.9.9:1")])
        assert by_endpoint(await client.weights(b"odd"))["10.9.9.9:1"].weight == 0, (
            "an endpoint that is not on the endpoint list gets weight 0"
        )


async def test_groups_deleted_while_their_pushes_are_written(tmp_path):
    """No push of a group may arrive after its deregistration, although each drain starts a push just before."""
    pushes = []
    async with running_pilot(tmp_path) as (server, _), connect(server.address, b"lb1", pushes.append) as client:
        await client.set_lb_state(LbFlag.PUSH)
        for k in range(8):
            await client.register(b"web", ALL_MEMBERS)
            server.pilot.list(s1="in_service", s2="in_service", s3="terminating" if k % 2 else "in_service")
            await anyio.sleep(0.02 * (k % 4))
            assert await client.deregister(b"web") == Code.OK
            pushes.clear()
            await anyio.sleep(0.1)
            assert not pushes
        assert await client.register(b"web", ALL_MEMBERS) == Code.OK
        assert (await client.weights(b"web")).code == Code.OK


async def test_a_poll_while_the_pilot_has_no_list_and_knows_no_member(tmp_path):
    async with running_pilot(tmp_path, gates=0) as (server, _):
        server.pilot.stop()
        (tmp_path / "servers.ini").unlink()
        for path in (tmp_path / "state").glob("tables.db*"):
            path.unlink()
        await anyio.to_thread.run_sync(server.pilot.start)
        async with connect(server.address, b"lb1") as client:
            await client.set_lb_state()
            await client.register(b"web", ALL_MEMBERS)
            reply = await client.weights(b"web")
            assert reply.code == Code.OK and len(by_endpoint(reply)) == 3


async def test_a_thousand_groups(tmp_path):
    async with running_pilot(tmp_path) as (server, _), connect(server.address, b"lb1") as client:
        await client.set_lb_state()
        names = [f"group {k}".encode() for k in range(1000)]
        for k in range(0, 1000, 100):
            body = Register(
                Sender.BALANCER, tuple(MemberGroup(Group(b"lb1", n), tuple(ALL_MEMBERS)) for n in names[k : k + 100])
            )
            assert (await client.ask(body)).code == Code.OK
        reply = await client.weights()
        assert reply.code == Code.OK and len(reply.groups) == 1000
        gone = Deregister(Sender.BALANCER, 0, tuple(MemberGroup(Group(b"lb1", n), ()) for n in names[1:]))
        assert (await client.ask(gone)).code == Code.OK
        assert len((await client.weights()).groups) == 1


async def test_a_group_too_large_for_its_component_is_refused_and_the_session_goes_on(tmp_path):
    async with running_pilot(tmp_path) as (server, _), connect(server.address, b"lb1") as client:
        await client.set_lb_state()
        wordy = [member(f"10.2.{k // 200}.{k % 200}:80", label=b"x" * 250) for k in range(200)]
        assert await client.register(b"wordy", wordy) == Code.OK
        more = [member(f"10.3.{k // 200}.{k % 200}:80", label=b"x" * 250) for k in range(100)]
        assert await client.register(b"wordy", more) == Code.INVALID_GROUP
        assert len(by_endpoint(await client.weights(b"wordy"))) == 200 and not server.pilot.log("sasp_session_failed")


async def test_a_restart_drops_registrations_and_polls_get_an_error_code_until_reregistration(tmp_path):
    async with running_pilot(tmp_path) as (server, gates):
        async with connect(server.address, b"lb1") as client:
            await client.set_lb_state()
            await client.register(b"web", ALL_MEMBERS)
            server.pilot.stop(signal.SIGKILL)
            with anyio.fail_after(10):
                await client.ended.wait()
        await anyio.to_thread.run_sync(server.pilot.start)
        async with connect(server.address, b"lb1") as client:
            assert (await client.weights(b"web")).code == Code.UNKNOWN_LB
            await client.set_lb_state()
            assert (await client.weights(b"web")).code == Code.UNKNOWN_GROUP
            assert await client.register(b"web", ALL_MEMBERS) == Code.OK
        await wait_until(lambda: all(g.watch_client.connected for g in gates))


async def test_without_load_reports_a_returning_server_gets_weight_by_capacity(tmp_path):
    async with running_pilot(tmp_path, gates=0) as (server, _), connect(server.address, b"lb1") as client:
        await client.set_lb_state()
        await client.register(b"web", ALL_MEMBERS)
        server.pilot.list(s1="in_service", s2="in_service", s3="terminating")
        await poll_until(client, lambda w: w[server_address(3)].weight == 0, b"web")
        server.pilot.list(s1="in_service", s2="in_service", s3="in_service")
        await poll_until(client, lambda w: w[server_address(3)].weight == w[server_address(1)].weight > 0, b"web")


async def test_two_pilots_asked_by_one_balancer_agree_on_what_the_list_says(tmp_path):
    """Zero weights, quiesce flags and membership follow the list, so they must agree.

    Other weights depend on what each pilot has observed.
    """
    (tmp_path / "a").mkdir()
    (tmp_path / "b").mkdir()
    async with running_pilot(tmp_path / "a") as (one, _), running_pilot(tmp_path / "b") as (other, _):
        got = []
        for server in (one, other):
            server.pilot.list(s1="in_service", s2="terminating", s3="in_service")
            async with connect(server.address, b"lb1") as client:
                await client.set_lb_state()
                await client.register(b"web", ALL_MEMBERS)
                reply = await poll_until(client, lambda w: w[server_address(2)].weight == 0, b"web")
                got.append(
                    {n: (w.weight > 0, bool(w.flags & WeightFlag.QUIESCE)) for n, w in by_endpoint(reply).items()}
                )
        assert got[0] == got[1]


def test_sasp_commands_of_operators(tmp_path):
    pilot = Pilot(tmp_path)
    pilot.file.write_text(pilot.file.read_text() + SASP_SETTINGS)
    pilot.list(s1="in_service", s2="in_service")
    pilot.start()

    def run(*words):
        return subprocess.run(
            [sys.executable, "-m", "damsonpick", "sasp", *words], capture_output=True, text=True, timeout=30
        )

    try:
        address = SaspPilot(pilot).address
        until(lambda: pilot.log("list_applied"))
        done = run("get", address, server_address(1), server_address(2), "--json")
        assert done.returncode == 0 and {r["endpoint"] for r in json.loads(done.stdout)} == {
            server_address(1),
            server_address(2),
        }
        assert run("get", address, server_address(1), "--lb", "stranger").returncode == 1
        assert run("get", address, "nonsense").returncode == 2
        assert "ask again in" in run("get", address, server_address(1)).stdout
        done = run("watch", address, server_address(1), "--count", "1", "--lb", "watcher")
        assert done.returncode == 0 and server_address(1) in done.stdout
        done = run("balancers", str(pilot.file))
        assert done.returncode == 0 and "watcher" in done.stdout
    finally:
        pilot.stop()
    done = run("get", address, server_address(1))
    assert done.returncode == 3 and "no manager answers" in done.stderr


def test_an_address_in_use_is_reported_with_its_setting(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        pilot = Pilot(tmp_path)
        pilot.file.write_text(pilot.file.read_text() + f"[sasp]\nlisten = 127.0.0.1:{port}\n")
        pilot.list(s1="in_service")
        done = subprocess.run(
            [sys.executable, "-m", "damsonpick", "run", str(pilot.file)], capture_output=True, text=True, timeout=30
        )
    assert done.returncode == 2 and f"[sasp] listen = 127.0.0.1:{port}" in done.stderr
    assert "Traceback" not in done.stderr


def test_sasp_settings_are_checked_completely(tmp_path):
    pilot = Pilot(tmp_path)
    text = pilot.file.read_text()
    for wrong, said in (
        ("[sasp group x]\ncovers = slices 4-99\n", "names slice 99"),
        ("[sasp group x]\ncovers = half\n", "is none of"),
        ("[sasp group x]\ncovers = slices 9-2\n", "names"),
        ("[sasp balancer x]\nmay = everything\n", "[sasp balancer x] may"),
        ("[sasp balancer x]\nzone = z\n", "is not among the zones"),
        ("[sasp group x]\ncovers = class page\n", "share"),
        ("[sasp]\nlisten = 8.8.8.8:1\n", "loopback"),
    ):
        pilot.file.write_text(text + wrong)
        done = subprocess.run(
            [sys.executable, "-m", "damsonpick", "check", str(pilot.file)], capture_output=True, text=True
        )
        assert done.returncode == 2 and said in done.stdout, (wrong, done.stdout)
