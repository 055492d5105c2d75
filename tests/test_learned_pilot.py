"""Restarts, kept lists and doubtful lists through real sockets, a real pilot's process and the real command line."""

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
from tests.gates import not_bare, soon, weights, world
from tests.learned_state import with_format
from tests.pilots import Pilot, until

pytestmark = pytest.mark.anyio
SECOND = 1_000_000_000
WEEK = 7 * 86_400


@pytest.fixture
def anyio_backend():
    return "asyncio"


def command(pilot, *words):
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
    """Make what a pilot keeps look as old as that."""
    store = sqlite3.connect(folder / "state" / "tables.db", isolation_level=None)
    store.execute("UPDATE listed SET at = MAX(0, at - ?)", (seconds * SECOND,))
    store.close()
    for path in kept(folder).glob("*"):
        made = codec.decode(path.read_bytes())
        path.write_bytes(
            codec.encode(
                msgspec.structs.replace(
                    made, taken_at=HostTime(made.taken_at.wall_ns - seconds * SECOND, "another start", 0)
                )
            )
        )


class Town:
    """Servers that answer, gateways with clients, and a pilot that may have to do without its list."""

    def __init__(self, folder, group, pilot, servers, gates=6):
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
        self.gates = [
            FakeGateway(
                f"g{k}",
                "ab"[k % 2],
                True,
                lambda: port_files.address(pilot.port_file),
                context,
                random.Random(k),
            )
            for k in range(gates)
        ]

    async def open(self):
        for k in range(self.count):
            config = ServerConfig("ab"[k % 2], 4, 1.0, 0.2, 15 * SECOND, 4, 1_500_000_000)
            made = FakeResultsServer(config, self.clock, self.record, random.Random(k))
            await made.start(self.group, cold=False)
            self.servers.append(made)

    def follow(self):
        for gate in self.gates:
            self.group.start_soon(gate.follow)
            self.group.start_soon(self._clients, gate)

    async def _clients(self, gate):
        rng, number = random.Random(gate.name), 0
        while True:
            await anyio.sleep(0.02)
            number += 1
            cluster = f"slice/{rng.randrange(6)}"
            _, how = await gate.serve(f"{gate.name}-{number}", self.kinds[rng.choice(("page", "tally"))], cluster, 15.0)
            self.ends[how] = self.ends.get(how, 0) + 1

    def list(self, entries):
        """Address to state, or to (state, start)."""
        zones = {s.address: s.config.zone for s in self.servers}
        self.pilot.put_list(
            "".join(
                f"[server {name}]\nzone = {zones.get(name, 'a')}\nstate = {state}\nweight = 4\n\n"
                for name, state in entries.items()
            )
        )

    def reach(self, name):
        return [
            (g.name, n)
            for g in self.gates
            for n in g.received_state.tables
            if name in g.received_state.available_entries(n)
        ]

    def usable(self):
        return all(
            g.watch_client.connected and all(g.received_state.available_entries(f"slice/{n}") for n in range(6))
            for g in self.gates
        )

    def tries(self, name, since=0):
        lines = (json.loads(x) for x in (self.folder / "record.jsonl").read_text().splitlines())
        return sum(e["e"] == "try" and e["server"] == name and e["t"] >= since for e in lines)


@contextlib.asynccontextmanager
async def town(folder, servers=4):
    pilot = Pilot(folder)
    try:
        async with anyio.create_task_group() as group:
            made = Town(folder, group, pilot, servers)
            await made.open()
            yield made
            group.cancel_scope.cancel()
    finally:
        if pilot.process is not None:
            pilot.stop(signal.SIGKILL)
        made.record.close()


def closed_port():
    """An address where nobody listens: a retired server's."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{s.getsockname()[1]}"


async def true(what):
    async def look():
        return what()

    return await soon(look)


async def started(made):
    await anyio.to_thread.run_sync(made.pilot.start)


async def learned(made):
    """A pilot that has learned of its servers, ended in order."""
    made.list({s.address: "in_service" for s in made.servers})
    await started(made)
    made.follow()
    await true(made.usable)
    await true(lambda: len(made.pilot.ask("status")["endpoints"]) == len(made.servers))
    await anyio.to_thread.run_sync(
        lambda: until(lambda: sum(e["tries"] > 0 for e in made.pilot.ask("status")["endpoints"]) == len(made.servers))
    )
    await anyio.to_thread.run_sync(made.pilot.stop)


# -- restarts


async def test_a_killed_pilot_comes_back_knowing_and_gateways_are_sent_nothing_new(tmp_path):
    async with town(tmp_path) as made:
        made.servers[0].faults.slowdown = 6.0
        made.list({s.address: "in_service" for s in made.servers})
        await started(made)
        made.follow()
        slow = made.servers[0].address

        def speed():
            return {e["endpoint"]: e["speed"] for e in made.pilot.ask("status")["endpoints"]}[slow]

        await anyio.to_thread.run_sync(lambda: until(lambda: speed() < 0.6))
        number = made.pilot.ask("status")["knowledge"]["sequence"]
        await anyio.to_thread.run_sync(
            lambda: until(lambda: made.pilot.ask("status")["knowledge"]["sequence"] > number + 1)
        )
        made.pilot.stop(signal.SIGKILL)
        await started(made)
        assert made.pilot.log("learned_state_restored")[-1]["endpoints"] >= 3
        assert speed() < 0.75, "no second learning"
        await true(made.usable)


async def test_a_withdrawal_outlives_the_pilot_that_ordered_it(tmp_path):
    """Gateways rejoin with the same fleet resource; nothing lets the drained server in, not for a moment."""
    async with world(tmp_path, gates=3) as (pilot, gates):
        await true(lambda: all(len(weights(g)) == 6 for g in gates))
        pilot.list(s1="in_service", s2="in_service", s3="terminating")
        await true(lambda: all("127.0.0.1:9003" in g.received_state.tables["fleet"].entries for g in gates))
        before = [g.received_state.versions for g in gates]
        pilot.stop(signal.SIGKILL)
        for gate in gates:
            gate.got.clear()
        await anyio.to_thread.run_sync(pilot.start)
        await true(lambda: len(pilot.log("gateway_joined")) >= 6)
        await anyio.sleep(0.3)  # what a pilot that forgot would have sent by now
        assert not any("fleet" in {n for n, *_ in d["resources"]} for g in gates for _, d in g.got)
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
    """A pilot that has run and ended."""
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
    assert command(pilot, "knowledge", "verify").returncode == 1
    pilot.start()
    assert pilot.log("snapshot_rejected")[-1]["reason"].startswith(str(path))
    assert pilot.log("learned_state_restored")
    pilot.stop()
    again = [codec.decode((kept(tmp_path) / w).read_bytes()).sequence for w in ("current", "previous")]
    assert again[0] >= newest and command(pilot, "knowledge", "verify").returncode == 0


def test_a_newer_programs_file_is_left_alone_byte_for_byte(tmp_path):
    pilot = ended(tmp_path)
    path = kept(tmp_path) / generations.CURRENT
    path.write_bytes(with_format(path.read_bytes(), FORMAT + 1))
    before = path.read_bytes()
    pilot.start()
    until(lambda: pilot.log("snapshot_rejected"))
    assert pilot.stop() == 0 and path.read_bytes() == before
    done = command(pilot, "knowledge", "verify")
    assert done.returncode == 1 and f"format {FORMAT + 1}" in done.stdout


def test_a_folder_that_cannot_be_written_stops_nothing(tmp_path):
    """Root may write anywhere, so the folder is a file: the same error from the same calls."""
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
    shown = command(pilot, "knowledge", "show")
    assert shown.returncode == 0 and "snapshot" in shown.stdout
    assert json.loads(command(pilot, "knowledge", "show", "--json").stdout)["which"] == "current"
    out = tmp_path / "out.json"
    assert command(pilot, "knowledge", "export", str(out)).returncode == 0
    assert json.loads(out.read_text())["pilot"] == "pilot-0"
    assert command(pilot, "knowledge", "export", str(tmp_path / "no" / "where")).returncode == 2
    assert "forgotten: 1 files" in command(pilot, "knowledge", "forget").stdout.replace("2 files", "1 files")
    gone = command(pilot, "knowledge", "show")
    assert gone.returncode == 1 and "nothing is kept" in gone.stderr
    pilot.start()
    try:
        assert "learns anew" in command(pilot, "knowledge", "forget").stdout
    finally:
        pilot.stop()


# -- lists


async def test_start_without_discovery_from_a_list_a_week_old_that_names_retired_servers(tmp_path):
    """Gateways get usable tables within 2 s, the retired are left after a trickle, the switch back is clean."""
    async with town(tmp_path) as made:
        retired = [closed_port(), closed_port()]
        await learned(made)
        store = sqlite3.connect(tmp_path / "state" / "tables.db", isolation_level=None)
        for k, name in enumerate(retired):  # a week ago they served: listed, and with slices of their own
            store.execute(
                "INSERT INTO listed SELECT ?, 'a', 'in_service', 4.0, 0, MAX(at), 'list' FROM listed", (name,)
            )
            store.execute("DELETE FROM lines WHERE slice = ?", (k,))
            store.execute("INSERT INTO lines VALUES (?, ?, 1.0)", (k, name))
        store.close()
        age(tmp_path, WEEK)
        (tmp_path / "servers.ini").unlink()
        made.ends.clear()
        begun = anyio.current_time()
        await started(made)
        await true(made.usable)
        assert anyio.current_time() - begun < 2 + 1, "2 s, and the fleet's own wait between dials"
        with anyio.fail_after(10):
            while any(made.reach(name) for name in retired):
                await anyio.sleep(0.05)
        settled = made.clock.now()
        shown = json.loads(command(made.pilot, "list", "show", "--json").stdout)
        assert not shown["live"] and all(s["trust"] == 0 for s in shown["servers"] if s["endpoint"] in retired)
        assert all(not s["up"] for s in shown["sources"])
        await anyio.sleep(3)
        trickle = sum(made.tries(name, settled) for name in retired)
        assert trickle <= 0.05 * sum(made.ends.values()), (trickle, made.ends)
        last = json.loads(made.pilot.versions("list").stdout)["newest"]
        made.list({s.address: "in_service" for s in made.servers})
        await true(lambda: made.pilot.log("list_applied"))
        await true(lambda: json.loads(command(made.pilot, "list", "show", "--json").stdout)["live"])
        moved = [
            key
            for n in switched(made.pilot, last)
            for unit, keys in n.items()
            for key in keys
            if unit.startswith("slice/") and key.partition(" ")[2] not in retired
        ]
        assert not moved, "nothing moves that need not"
        await not_bare(made.usable)
        assert "Traceback" not in (tmp_path / "log").read_text()


def switched(pilot, last):
    """What the return of the list changed: differences of the versions that it caused."""
    rows = json.loads(pilot.versions("list").stdout)["versions"]
    return [
        json.loads(pilot.versions("show", str(v["version"])).stdout)["difference"]
        for v in rows
        if v["version"] > last and v["cause"] == "list"
    ]


async def test_a_list_all_alive_but_one_now_draining_binds_when_discovery_returns(tmp_path):
    async with town(tmp_path) as made:
        await learned(made)
        (tmp_path / "servers.ini").unlink()
        await started(made)
        await true(made.usable)
        victim = made.servers[1].address
        states = {s.address: "in_service" for s in made.servers} | {victim: "terminating"}
        made.list(states)
        await true(lambda: made.pilot.log("list_applied"))
        with anyio.fail_after(2.2):
            while made.reach(victim):
                await anyio.sleep(0.02)
        await not_bare(made.usable)


async def test_a_drain_known_before_the_crash_binds_while_discovery_is_down(tmp_path):
    async with town(tmp_path) as made:
        await learned(made)
        victim = made.servers[1].address
        await started(made)
        await true(made.usable)
        made.list({s.address: "in_service" for s in made.servers} | {victim: "terminating"})
        await true(lambda: not made.reach(victim))
        made.pilot.stop(signal.SIGKILL)
        (tmp_path / "servers.ini").unlink()
        since = made.clock.now()
        await started(made)
        await true(made.usable)
        await anyio.sleep(2)
        assert made.tries(victim, since) == 0 and not made.reach(victim)


async def test_an_address_that_now_answers_as_something_else_is_left(tmp_path):
    """Something accepts and speaks no HTTP: nothing but failures, so it is a last resort."""

    async def babble(stream):
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                await stream.receive()
                await stream.send(b"220 mail.example ready\r\n")

    async with town(tmp_path) as made:
        await learned(made)
        age(tmp_path, 3600)
        (tmp_path / "servers.ini").unlink()
        victim = made.servers[0]
        port = int(victim.address.rpartition(":")[2])
        victim.stop("replaced")
        await anyio.sleep(0.1)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        made.group.start_soon(listener.serve, babble)
        await started(made)
        await true(made.usable)
        with anyio.fail_after(10):
            while made.reach(victim.address):
                await anyio.sleep(0.05)
        await not_bare(made.usable)


async def test_a_list_that_returns_half_empty_is_held_and_an_operator_ends_it(tmp_path):
    async with town(tmp_path, servers=6) as made:
        await learned(made)
        await started(made)
        await true(made.usable)
        made.list({s.address: "in_service" for s in made.servers[:2]})
        await true(lambda: any("missing at once" in e["reason"] for e in made.pilot.log("list_validation_failed")))
        shown = json.loads(command(made.pilot, "list", "show", "--json").stdout)
        assert sum(s["held"] for s in shown["servers"]) == 4 and shown["held_for_s"] is not None
        assert "held" in command(made.pilot, "list", "show").stdout
        done = command(made.pilot, "list", "accept")
        assert done.returncode == 0 and done.stdout.count("released") == 4
        with anyio.fail_after(2.2):
            while any(made.reach(s.address) for s in made.servers[2:]):
                await anyio.sleep(0.02)
        await not_bare(made.usable)
        assert command(made.pilot, "list", "accept").returncode == 1


async def test_the_second_source_serves_while_the_first_is_down_and_a_drain_by_either_binds(tmp_path):
    async with town(tmp_path) as made:
        text = made.pilot.file.read_text() + "[list spare]\nsource = file\nfile = spare.ini\npoll = 20 ms\n"
        made.pilot.file.write_text(text)
        made.list({s.address: "in_service" for s in made.servers})
        (tmp_path / "servers.ini").rename(tmp_path / "spare.ini")
        await started(made)
        made.follow()
        await true(made.usable)
        assert [
            s["source"]
            for s in json.loads(command(made.pilot, "list", "show", "--json").stdout)["sources"]
            if s["believed"]
        ] == ["spare"]
        made.list({s.address: "in_service" for s in made.servers})
        await true(lambda: [e["source"] for e in made.pilot.log("list_source_changed")] == ["list"])
        victim = made.servers[2].address
        spare = (tmp_path / "spare.ini").read_text()
        at = spare.index(victim)
        (tmp_path / "spare.part").write_text(spare[:at] + spare[at:].replace("in_service", "terminating", 1))
        (tmp_path / "spare.part").replace(tmp_path / "spare.ini")
        await true(lambda: not made.reach(victim))
        await not_bare(made.usable)
        assert made.pilot.log("list_sources_disagreed")


def test_settings_name_what_is_wrong_with_a_further_source(tmp_path):
    pilot = Pilot(tmp_path)
    pilot.file.write_text(pilot.file.read_text() + "[list spare]\nsource = file\n[knowledge]\nevery = soon\n")
    done = command(pilot, "check")
    assert done.returncode == 2
    pilot.file.write_text(pilot.file.read_text().replace("every = soon", "every = 1 s"))
    done = command(pilot, "check")
    assert done.returncode == 2 and "[list spare] file" in done.stdout
