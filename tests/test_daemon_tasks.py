"""An exception in one task of the daemon restarts that task and affects nothing else."""

from __future__ import annotations

import anyio
import pytest
import structlog
from structlog.testing import LogCapture

from damsonpick.controller import control_socket
from damsonpick.controller.daemon import Pilot
from damsonpick.controller.drive_loop import DriveLoop
from damsonpick.controller.lease_task import LeaseTask
from damsonpick.controller.list_watch import ListWatch
from damsonpick.controller.load_report_task import LoadReportTask
from damsonpick.controller.snapshot_task import SnapshotTask
from damsonpick.protocols.sasp.server import SaspServer
from damsonpick.settings import load
from tests.pilots import SETTINGS

TASKS = {
    "list watch": (ListWatch, "run"),
    "load reports": (LoadReportTask, "run"),
    "leases": (LeaseTask, "run"),
    "drive loop": (DriveLoop, "run"),
    "snapshots": (SnapshotTask, "run"),
    "sasp refresh": (SaspServer, "_refresh_periodically"),
}


@pytest.mark.parametrize("name", TASKS)
def test_a_task_that_raises_is_started_again_and_the_daemon_serves(name, tmp_path, monkeypatch):
    owner, method = TASKS[name]
    original, starts = getattr(owner, method), []

    async def raise_once(self) -> None:
        starts.append(None)
        if len(starts) == 1:
            raise LookupError("told to")
        await original(self)

    monkeypatch.setattr(owner, method, raise_once)
    captured = LogCapture()
    file = tmp_path / "pilot.ini"
    file.write_text(SETTINGS.format(slices=2, rate=0) + "[sasp]\nlisten = 127.0.0.1:0\n")
    (tmp_path / "servers.ini").write_text("[server 127.0.0.1:9001]\nzone = a\n")
    settings = load(file)

    async def run_scenario() -> None:
        pilot = Pilot(settings, structlog.wrap_logger(None, processors=[captured]))
        async with pilot.running():
            with anyio.fail_after(10):
                while len(starts) < 2 or "1 servers" not in (await status())["list"]:
                    await anyio.sleep(0.02)

    async def status() -> dict:
        return await control_socket.ask(settings.control_path(), {"ask": "status"})

    anyio.run(run_scenario)
    failed = [entry for entry in captured.entries if entry["event"] == "task_failed"]
    assert [(entry["task"], entry["error"]) for entry in failed] == [(name, "LookupError('told to')")]
