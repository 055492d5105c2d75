"""The solver in a running pilot, tested through real sockets and the real command line."""

from __future__ import annotations

import json
import subprocess
import sys
import time

import pytest

from tests.pilots import EDS, RDS, SETTINGS, Client, Pilot, server_address, until

TABLES = [f"slice/{n}" for n in range(4)]


class SolverPilot(Pilot):
    """A pilot with a solver and without slices: one table for each pair of two zones and two request classes."""

    def __init__(self, folder, which=None):
        super().__init__(folder, module="tests.slow_solver_pilot" if which else "damsonpick")
        text = SETTINGS.format(slices=0, rate=0).replace("aim = 1.5 s", "work = 300 ms\naim = 1.5 s")
        self.file.write_text(text + "[solver]\nevery = 300 ms\ntime_limit = 300 ms\n")
        self.which = which
        self.list(s1="in_service", s2="in_service", s3="in_service")

    def start(self):
        if not self.which:
            return super().start()
        self.port_file.unlink(missing_ok=True)
        with (self.folder / "log").open("a") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    self.module,
                    self.which,
                    "run",
                    str(self.file),
                    "--port-file",
                    str(self.port_file),
                ],
                stdout=log,
                stderr=log,
            )
        until(lambda: self.port_file.exists() or self.process.poll() is not None)
        self.port = int(self.port_file.read_text())
        return self


@pytest.fixture
def start_solver_pilot(tmp_path):
    started_pilots = []

    def start_pilot(which=None):
        started_pilots.append(SolverPilot(tmp_path, which).start())
        return started_pilots[-1]

    yield start_pilot
    for pilot in started_pilots:
        pilot.stop()


def join(pilot, node="gw"):
    client = Client(pilot.port, node)
    client.subscribe(EDS, ["fleet", *TABLES])
    client.subscribe(RDS, ["routes"])
    return client


def test_tables_without_slices_are_laid_at_once_and_then_solved(start_solver_pilot):
    pilot = start_solver_pilot()
    client = join(pilot)
    client.until(lambda: all(len(client.tables.get(t, ())) >= 1 for t in TABLES))
    plan = until(lambda: (p := explain(pilot))["status"] == "optimal" and p)
    assert len(plan["servers"]) == 3 and all("price_of_a_core" in s for s in plan["servers"])
    text = subprocess.run(
        [sys.executable, "-m", "damsonpick", "explain", "weights", str(pilot.file)],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert server_address(1) in text and "price of work" in text
    pilot.list(s1="terminating", s2="in_service", s3="in_service")
    client.until(lambda: drained_tables(client, 1))
    client.close()


def explain(pilot):
    done = subprocess.run(
        [sys.executable, "-m", "damsonpick", "explain", "weights", str(pilot.file), "--json"],
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


def drained_tables(client, n):
    return server_address(n) in client.tables.get("fleet", ()) or all(
        server_address(n) not in client.tables[t] for t in TABLES
    )


@pytest.mark.parametrize("which", ["slow", "failing", "dying"])
def test_orders_flow_while_the_solver_is_slow_fails_or_dies(start_solver_pilot, which):
    pilot = start_solver_pilot(which)
    client = join(pilot)
    client.until(lambda: all(client.tables.get(t) for t in TABLES))
    states, waits = {"s1": "in_service", "s2": "in_service", "s3": "in_service"}, []
    for k in range(6):
        states["s1"] = "terminating" if k % 2 == 0 else "in_service"
        start = time.monotonic()
        pilot.list(**states)
        client.until(lambda k=k: drained_tables(client, 1) == (k % 2 == 0))
        waits.append(time.monotonic() - start)
    assert max(waits) < 2.5, waits
    failed = until(lambda: pilot.log("solver_failed"))
    why = {"slow": "took too long", "failing": "told to fail", "dying": "died"}[which]
    assert why in failed[0]["reason"] and all(client.tables[t] for t in TABLES)
    client.close()


def test_a_setting_that_the_solver_needs_is_asked_for(tmp_path):
    path = tmp_path / "pilot.ini"
    path.write_text(SETTINGS.format(slices=0, rate=0) + "[solver]\npairs = a>q 0.1\nbound = 0\n")
    done = subprocess.run([sys.executable, "-m", "damsonpick", "check", str(path)], capture_output=True, text=True)
    assert done.returncode == 2 and "[solver] bound" in done.stdout
    path.write_text(SETTINGS.format(slices=0, rate=0) + "[solver]\npairs = a>q 0.1\n")
    done = subprocess.run([sys.executable, "-m", "damsonpick", "check", str(path)], capture_output=True, text=True)
    assert "[class page] work: is missing" in done.stdout and "[solver] pairs = 'q'" in done.stdout


def test_explain_where_there_is_nothing_to_solve(pilot):
    done = subprocess.run(
        [sys.executable, "-m", "damsonpick", "explain", "weights", str(pilot.file)], capture_output=True, text=True
    )
    assert done.returncode == 2 and "nothing to do" in done.stderr
