"""Restarts and endpoint lists that are stored, outdated or incomplete, with real sockets, processes and commands."""

from __future__ import annotations

import contextlib
import json
import random
import shutil
import signal
import socket
import sqlite3
import subprocess
import sys

import anyio
import msgspec
import pytest

from damsonpick.runtime import port_files
from damsonpick.runtime.clock import Clock
from damsonpick.state.learned import codec, generations
from damsonpick.state.learned.snapshot import FORMAT, HostTime
from damsonpick.testing.fakes.gateway import FakeGateway
from damsonpick.testing.fakes.gateway_context import GatewayContext, Network, TrafficClass
from damsonpick.testing.fakes.record import Recorder
from damsonpick.testing.fakes.results_server import FakeResultsServer, ServerConfig
from tests.gates import wait_for, wait_within_empty_table_limit, weights, world
from tests.learned_state import with_format
from tests.pilots import Pilot, until

pytestmark = pytest.mark.anyio
SECOND = 1_000_000_000
WEEK_S = 7 * 86_400


@pytest.fixture
def anyio_backend():
    return "asyncio"


def run_command(pilot, *words):
    head = words[:2] if words[0] in ("knowledge", "list") else words[:1]
    return subprocess.run(
        [sys.executable, "-m", "damsonpick", *head, str(pilot.file), *words[len(head) :]],
        capture_output=True,
        text=True,
        timeout=30,
    )


def kept(folder):
    return folder / "state" / "knowledge"


def age(folder, seconds):
    """Make the stored list and the snapshots of a pilot `seconds` older."""
    store = sqlite3.connect(folder / "state" / "tables.db", isolation_level=None)
    store.execute("UPDATE listed SET at = MAX(0, at - ?)", (seconds * SECOND,))
    store.close()
    for path in kept(folder).glob("*"):
        snapshot = codec.decode(path.read_bytes())
        path.write_bytes(
            codec.encode(
                msgspec.structs.replace(
                    snapshot, taken_at=HostTime(snapshot.taken_at.wall_ns - seconds * SECOND, "another start", 0)
                )
            )
        )


class FakeFleet:
    """Fake servers, gateways with clients, and a pilot that may have to start without its list source."""

    def __init__(self, folder, group, pilot, servers, gateway_count=6):
        self.folder, self.group, self.pilot = folder, group, pilot
        self.clock = Clock()
        self.record = Recorder(folder / "record.jsonl", self.clock.now)
        self.servers, self.network = [], Network()
        self.count, self.ends = servers, {}
        self.kinds = {
            "page": TrafficClass("page", 1_500_000_000, 4 * SECOND, "read_like"),
            "tally": TrafficClass("tally", 1_500_000_000, 4 * SECOND, "non_idempotent"),
        }
        context = GatewayContext(self.clock, self.record, self.network, self.kinds)
        self.fake_gateways = [
            FakeGateway(
                f"g{k}",
                "ab"[k % 2],
                True,
                lambda: port_files.address(pilot.port_file),
                context,
                random.Random(k),
            )
            for k in range(gateway_count)
        ]

    async def open(self):
        for k in range(self.count):
            config = ServerConfig("ab"[k % 2], 4, 1.0, 0.2, 15 * SECOND, 4, 1_500_000_000)
            fake_server = FakeResultsServer(config, self.clock, self.record, random.Random(k))
            await fake_server.start(self.group, cold=False)
            self.servers.append(fake_server)

    def start_gateways(self):
        for fake_gateway in self.fake_gateways:
            self.group.start_soon(fake_gateway.follow)
            self.group.start_soon(self._run_clients, fake_gateway)

    async def _run_clients(self, fake_gateway):
        rng, number = random.Random(fake_gateway.name), 0
        while True:
            await anyio.sleep(0.02)
            number += 1
            cluster = f"slice/{rng.randrange(6)}"
            _, how = await fake_gateway.serve(
                f"{fake_gateway.name}-{number}", self.kinds[rng.choice(("page", "tally"))], cluster, 15.0
            )
            self.ends[how] = self.ends.get(how, 0) + 1

    def list(self, entries):
        """Write the list file of the pilot. `entries` maps addresses to states."""
        zones = {s.address: s.config.zone for s in self.servers}
        self.pilot.put_list(
            "".join(
                f"[server {name}]\nzone = {zones.get(name, 'a')}\nstate = {state}\nweight = 4\n\n"
                for name, state in entries.items()
            )
        )

    def gateway_tables_with(self, name):
        return [
            (g.name, n)
            for g in self.fake_gateways
            for n in g.received_state.tables
            if name in g.received_state.available_entries(n)
        ]

    def usable(self):
        return all(
            g.watch_client.connected and all(g.received_state.available_entries(f"slice/{n}") for n in range(6))
            for g in self.fake_gateways
        )

    def tries(self, name, since=0):
        lines = (json.loads(x) for x in (self.folder / "record.jsonl").read_text().splitlines())
        return sum(e["e"] == "try" and e["server"] == name and e["t"] >= since for e in lines)


@contextlib.asynccontextmanager
async def running_fleet(folder, servers=4):
    pilot = Pilot(folder)
    try:
        async with anyio.create_task_group() as group:
            fake_fleet = FakeFleet(folder, group, pilot, servers)
            await fake_fleet.open()
            yield fake_fleet
            group.cancel_scope.cancel()
    finally:
        if pilot.process is not None:
            pilot.stop(signal.SIGKILL)
        fake_fleet.record.close()


def closed_port():
    """Return an address on which no process listens, like that of a retired server."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


async def eventually(what):
    async def look():
        return what()

    return await wait_for(look)


async def start_pilot(fake_fleet):
    await anyio.to_thread.run_sync(fake_fleet.pilot.start)


async def learned(fake_fleet):
    """Run the pilot until it has load reports on every server, then shut it down."""
    fake_fleet.list({s.address: "in_service" for s in fake_fleet.servers})
    await start_pilot(fake_fleet)
    fake_fleet.start_gateways()
    await eventually(fake_fleet.usable)
    await eventually(lambda: len(fake_fleet.pilot.ask("status")["endpoints"]) == len(fake_fleet.servers))
    await anyio.to_thread.run_sync(
        lambda: until(
            lambda: sum(e["tries"] > 0 for e in fake_fleet.pilot.ask("status")["endpoints"]) == len(fake_fleet.servers)
        )
    )
    await anyio.to_thread.run_sync(fake_fleet.pilot.stop)


# -- restarts


async def test_a_killed_pilot_comes_back_knowing_and_gateways_are_sent_nothing_new(tmp_path):
    async with running_fleet(tmp_path) as fake_fleet:
        fake_fleet.servers[0].faults.slowdown = 6.0
        fake_fleet.list({s.address: "in_service" for s in fake_fleet.servers})
        await start_pilot(fake_fleet)
        fake_fleet.start_gateways()
        slow = fake_fleet.servers[0].address

        def speed():
            return {e["endpoint"]: e["speed"] for e in fake_fleet.pilot.ask("status")["endpoints"]}[slow]

        await anyio.to_thread.run_sync(lambda: until(lambda: speed() < 0.6))
        number = fake_fleet.pilot.ask("status")["knowledge"]["sequence"]
        await anyio.to_thread.run_sync(
            lambda: until(lambda: fake_fleet.pilot.ask("status")["knowledge"]["sequence"] > number + 1)
        )
        fake_fleet.pilot.stop(signal.SIGKILL)
        await start_pilot(fake_fleet)
        assert fake_fleet.pilot.log("learned_state_restored")[-1]["endpoints"] >= 3
        assert speed() < 0.75, "the learned capacity factor was restored, not learned again"
        await eventually(fake_fleet.usable)


async def test_a_withdrawal_outlives_the_pilot_that_ordered_it(tmp_path):
    """Gateways rejoin with the same fleet resource, so the drained server is never readmitted, not even briefly."""
    async with world(tmp_path, gates=3) as (pilot, gates):
        await eventually(lambda: all(len(weights(g)) == 6 for g in gates))
        pilot.list(s1="in_service", s2="in_service", s3="terminating")
        await eventually(lambda: all("127.0.0.1:9003" in g.received_state.tables["fleet"].entries for g in gates))
        before = [g.received_state.versions for g in gates]
        pilot.stop(signal.SIGKILL)
        for gate in gates:
            gate.received.clear()
        await anyio.to_thread.run_sync(pilot.start)
        await eventually(lambda: len(pilot.log("gateway_joined")) >= 6)
        await anyio.sleep(0.3)  # a pilot that lost the withdrawal would have sent an update by now
        assert not any("fleet" in {n for n, *_ in d["resources"]} for g in gates for _, d in g.received)
        assert [g.received_state.versions for g in gates] == before


async def test_two_pilots_on_one_folder_the_second_is_told_and_the_first_goes_on(tmp_path):
    pilot = Pilot(tmp_path)
    pilot.list(s1="in_service")
    pilot.start()
    try:
        second = subprocess.run(
            [sys.executable, "-m", "damsonpick", "run", str(pilot.file)], capture_output=True, text=True, timeout=30
        )
        assert second.returncode == 2 and f"process {pilot.process.pid}" in second.stderr
        assert "Traceback" not in second.stderr and "state of its own" in second.stderr
        assert pilot.ask("status")["pilot"] == "pilot-0"
    finally:
        pilot.stop(signal.SIGKILL)
    assert pilot.start().stop() == 0, "the lock of a killed pilot is free"


def ended(tmp_path):
    """Return a pilot that has run and shut down."""
    pilot = Pilot(tmp_path)
    pilot.list(s1="in_service", s2="in_service")
    pilot.start()
    until(lambda: pilot.log("list_applied"))
    assert pilot.stop() == 0
    return pilot


def test_a_damaged_file_gives_way_to_the_previous_one_and_is_said(tmp_path):
    pilot = ended(tmp_path)
    pilot.start().stop()
    path = kept(tmp_path) / generations.CURRENT
    newest = codec.decode(path.read_bytes()).sequence
    path.write_bytes(path.read_bytes()[:-3])
    assert run_command(pilot, "knowledge", "verify").returncode == 1
    pilot.start()
    assert pilot.log("snapshot_rejected")[-1]["reason"].startswith(str(path))
    assert pilot.log("learned_state_restored")
    pilot.stop()
    again = [codec.decode((kept(tmp_path) / w).read_bytes()).sequence for w in ("current", "previous")]
    assert again[0] >= newest and run_command(pilot, "knowledge", "verify").returncode == 0


def test_a_newer_programs_file_is_left_alone_byte_for_byte(tmp_path):
    pilot = ended(tmp_path)
    path = kept(tmp_path) / generations.CURRENT
    path.write_bytes(with_format(path.read_bytes(), FORMAT + 1))
    before = path.read_bytes()
    pilot.start()
    until(lambda: pilot.log("snapshot_rejected"))
    assert pilot.stop() == 0 and path.read_bytes() == before
    done = run_command(pilot, "knowledge", "verify")
    assert done.returncode == 1 and f"format {FORMAT + 1}" in done.stdout


def test_a_folder_that_cannot_be_written_stops_nothing(tmp_path):
    """A file replaces the folder, because root can write to any folder. The pilot's writes then raise an OSError."""
    pilot = ended(tmp_path)
    shutil.rmtree(kept(tmp_path))
    kept(tmp_path).write_text("not a folder")
    pilot.file.write_text(pilot.file.read_text() + "[knowledge]\nevery = 50 ms\n")
    pilot.start()
    until(lambda: pilot.log("snapshot_not_written"))
    assert pilot.ask("status")["knowledge"]["error"]
    kept(tmp_path).unlink()
    until(lambda: pilot.log("snapshot_write_recovered"))
    assert len(pilot.log("snapshot_not_written")) == 1 and pilot.stop() == 0


def test_what_operators_ask_of_knowledge(tmp_path):
    pilot = ended(tmp_path)
    shown = run_command(pilot, "knowledge", "show")
    assert shown.returncode == 0 and "snapshot" in shown.stdout
    assert json.loads(run_command(pilot, "knowledge", "show", "--json").stdout)["which"] == "current"
    out = tmp_path / "out.json"
    assert run_command(pilot, "knowledge", "export", str(out)).returncode == 0
    assert json.loads(out.read_text())["pilot"] == "pilot-0"
    assert run_command(pilot, "knowledge", "export", str(tmp_path / "no" / "where")).returncode == 2
    assert "forgotten: 1 files" in run_command(pilot, "knowledge", "forget").stdout.replace("2 files", "1 files")
    gone = run_command(pilot, "knowledge", "show")
    assert gone.returncode == 1 and "no valid snapshot is stored" in gone.stderr
    pilot.start()
    try:
        assert "learns anew" in run_command(pilot, "knowledge", "forget").stdout
    finally:
        pilot.stop()


# -- lists


async def test_start_without_discovery_from_a_list_a_week_old_that_names_retired_servers(tmp_path):
    """Gateways receive usable tables within 2 s, retired servers soon receive few attempts, and the return of the list
    moves no entry unnecessarily."""
    async with running_fleet(tmp_path) as fake_fleet:
        retired = [closed_port(), closed_port()]
        await learned(fake_fleet)
        store = sqlite3.connect(tmp_path / "state" / "tables.db", isolation_level=None)
        for k, name in enumerate(retired):  # servers of a week ago: listed, and each in the table of one slice
            store.execute(
                "INSERT INTO listed SELECT ?, 'a', 'in_service', 4.0, 0, MAX(at), 'list' FROM listed", (name,)
            )
            store.execute("DELETE FROM lines WHERE slice = ?", (k,))
            store.execute("INSERT INTO lines VALUES (?, ?, 1.0)", (k, name))
        store.close()
        age(tmp_path, WEEK_S)
        (tmp_path / "servers.ini").unlink()
        fake_fleet.ends.clear()
        begun = anyio.current_time()
        await start_pilot(fake_fleet)
        await eventually(fake_fleet.usable)
        assert anyio.current_time() - begun < 2 + 1, "2 s, plus the gateways' wait between connection attempts"
        with anyio.fail_after(10):
            while any(fake_fleet.gateway_tables_with(name) for name in retired):
                await anyio.sleep(0.05)
        settled = fake_fleet.clock.now()
        shown = json.loads(run_command(fake_fleet.pilot, "list", "show", "--json").stdout)
        assert not shown["live"] and all(s["trust"] == 0 for s in shown["servers"] if s["endpoint"] in retired)
        assert all(not s["up"] for s in shown["sources"])
        await anyio.sleep(3)
        retired_attempts = sum(fake_fleet.tries(name, settled) for name in retired)
        assert retired_attempts <= 0.05 * sum(fake_fleet.ends.values()), (retired_attempts, fake_fleet.ends)
        last_version = json.loads(fake_fleet.pilot.versions("list").stdout)["newest"]
        fake_fleet.list({s.address: "in_service" for s in fake_fleet.servers})
        await eventually(lambda: fake_fleet.pilot.log("list_applied"))
        await eventually(lambda: json.loads(run_command(fake_fleet.pilot, "list", "show", "--json").stdout)["live"])
        moved_entries = [
            key
            for n in list_changes_since(fake_fleet.pilot, last_version)
            for unit, keys in n.items()
            for key in keys
            if unit.startswith("slice/") and key.partition(" ")[2] not in retired
        ]
        assert not moved_entries, "no entry moves unnecessarily"
        await wait_within_empty_table_limit(fake_fleet.usable)
        assert "Traceback" not in (tmp_path / "log").read_text()


def list_changes_since(pilot, last_version):
    """Return the differences of all versions after `last_version` that a list change caused."""
    rows = json.loads(pilot.versions("list").stdout)["versions"]
    return [
        json.loads(pilot.versions("show", str(v["version"])).stdout)["difference"]
        for v in rows
        if v["version"] > last_version and v["cause"] == "list"
    ]


async def test_a_list_all_alive_but_one_now_draining_binds_when_discovery_returns(tmp_path):
    async with running_fleet(tmp_path) as fake_fleet:
        await learned(fake_fleet)
        (tmp_path / "servers.ini").unlink()
        await start_pilot(fake_fleet)
        await eventually(fake_fleet.usable)
        draining = fake_fleet.servers[1].address
        states = {s.address: "in_service" for s in fake_fleet.servers} | {draining: "terminating"}
        fake_fleet.list(states)
        await eventually(lambda: fake_fleet.pilot.log("list_applied"))
        with anyio.fail_after(2.2):
            while fake_fleet.gateway_tables_with(draining):
                await anyio.sleep(0.02)
        await wait_within_empty_table_limit(fake_fleet.usable)


async def test_a_drain_known_before_the_crash_binds_while_discovery_is_down(tmp_path):
    async with running_fleet(tmp_path) as fake_fleet:
        await learned(fake_fleet)
        draining = fake_fleet.servers[1].address
        await start_pilot(fake_fleet)
        await eventually(fake_fleet.usable)
        fake_fleet.list({s.address: "in_service" for s in fake_fleet.servers} | {draining: "terminating"})
        await eventually(lambda: not fake_fleet.gateway_tables_with(draining))
        fake_fleet.pilot.stop(signal.SIGKILL)
        (tmp_path / "servers.ini").unlink()
        since = fake_fleet.clock.now()
        await start_pilot(fake_fleet)
        await eventually(fake_fleet.usable)
        await anyio.sleep(2)
        assert fake_fleet.tries(draining, since) == 0 and not fake_fleet.gateway_tables_with(draining)


async def test_an_address_that_now_answers_as_something_else_is_left(tmp_path):
    """Another program accepts connections at the address but does not use HTTP. All attempts fail, so the address is
    only a last resort."""

    async def send_smtp_banner(stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                await stream.receive()
                await stream.send(b"220 mail.example ready\r\n")

    async with running_fleet(tmp_path) as fake_fleet:
        await learned(fake_fleet)
        age(tmp_path, 3600)
        (tmp_path / "servers.ini").unlink()
        replaced_server = fake_fleet.servers[0]
        port = int(replaced_server.address.rpartition(":")[2])
        replaced_server.stop("replaced")
        await anyio.sleep(0.1)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        fake_fleet.group.start_soon(listener.serve, send_smtp_banner)
        await start_pilot(fake_fleet)
        await eventually(fake_fleet.usable)
        with anyio.fail_after(10):
            while fake_fleet.gateway_tables_with(replaced_server.address):
                await anyio.sleep(0.05)
        await wait_within_empty_table_limit(fake_fleet.usable)


async def test_a_list_that_returns_half_empty_is_held_and_an_operator_ends_it(tmp_path):
    async with running_fleet(tmp_path, servers=6) as fake_fleet:
        await learned(fake_fleet)
        await start_pilot(fake_fleet)
        await eventually(fake_fleet.usable)
        fake_fleet.list({s.address: "in_service" for s in fake_fleet.servers[:2]})
        await eventually(
            lambda: any("missing at once" in e["reason"] for e in fake_fleet.pilot.log("list_validation_failed"))
        )
        shown = json.loads(run_command(fake_fleet.pilot, "list", "show", "--json").stdout)
        assert sum(s["held"] for s in shown["servers"]) == 4 and shown["held_for_s"] is not None
        assert "held" in run_command(fake_fleet.pilot, "list", "show").stdout
        done = run_command(fake_fleet.pilot, "list", "accept")
        assert done.returncode == 0 and done.stdout.count("released") == 4
        with anyio.fail_after(2.2):
            while any(fake_fleet.gateway_tables_with(s.address) for s in fake_fleet.servers[2:]):
                await anyio.sleep(0.02)
        await wait_within_empty_table_limit(fake_fleet.usable)
        assert run_command(fake_fleet.pilot, "list", "accept").returncode == 1


async def test_the_second_source_serves_while_the_first_is_down_and_a_drain_by_either_binds(tmp_path):
    async with running_fleet(tmp_path) as fake_fleet:
        text = fake_fleet.pilot.file.read_text() + "[list spare]\nsource = file\nfile = spare.ini\npoll = 20 ms\n"
        fake_fleet.pilot.file.write_text(text)
        fake_fleet.list({s.address: "in_service" for s in fake_fleet.servers})
        (tmp_path / "servers.ini").rename(tmp_path / "spare.ini")
        await start_pilot(fake_fleet)
        fake_fleet.start_gateways()
        await eventually(fake_fleet.usable)
        assert [
            s["source"]
            for s in json.loads(run_command(fake_fleet.pilot, "list", "show", "--json").stdout)["sources"]
            if s["believed"]
        ] == ["spare"]
        fake_fleet.list({s.address: "in_service" for s in fake_fleet.servers})
        await eventually(lambda: [e["source"] for e in fake_fleet.pilot.log("list_source_changed")] == ["list"])
        draining = fake_fleet.servers[2].address
        spare = (tmp_path / "spare.ini").read_text()
        at = spare.index(draining)
        (tmp_path / "spare.part").write_text(spare[:at] + spare[at:].replace("in_service", "terminating", 1))
        (tmp_path / "spare.part").replace(tmp_path / "spare.ini")
        await eventually(lambda: not fake_fleet.gateway_tables_with(draining))
        await wait_within_empty_table_limit(fake_fleet.usable)
        assert fake_fleet.pilot.log("list_sources_disagreed")


def test_settings_name_what_is_wrong_with_a_further_source(tmp_path):
    pilot = Pilot(tmp_path)
    pilot.file.write_text(pilot.file.read_text() + "[list spare]\nsource = file\n[knowledge]\nevery = soon\n")
    done = run_command(pilot, "check")
    assert done.returncode == 2
    pilot.file.write_text(pilot.file.read_text().replace("every = soon", "every = 1 s"))
    done = run_command(pilot, "check")
    assert done.returncode == 2 and "[list spare] file" in done.stdout
