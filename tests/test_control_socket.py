"""Asking a daemon that hangs, one that is not there, and one of another user."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys

import anyio
import pytest

from damsonpick.controller import control_socket
from tests.pilots import SETTINGS, until


def command(*words: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "damsonpick", *words], capture_output=True, text=True, timeout=30, check=False
    )


def ask(path, timeout_s: float = 0.2):
    return anyio.run(control_socket.ask, path, {"ask": "status"}, timeout_s)


def test_a_pilot_that_takes_a_request_and_is_silent_is_not_taken_for_none(tmp_path):
    """A timeout is an OSError, so that one handler took it for "no pilot answers"."""
    with socket.socket(socket.AF_UNIX) as listener:
        listener.bind(str(tmp_path / "control.sock"))
        listener.listen()
        with pytest.raises(control_socket.NoReplyError, match=r"no answer in 0\.2 s"):
            ask(tmp_path / "control.sock")


def test_nobody_listens(tmp_path):
    with pytest.raises(control_socket.NoPilotError, match="start it with"):
        ask(tmp_path / "control.sock")


def test_a_socket_of_another_user_is_not_taken_for_none(tmp_path, monkeypatch):
    async def refuse(path):
        raise PermissionError(13, "Permission denied")

    monkeypatch.setattr(anyio, "connect_unix", refuse)
    with pytest.raises(control_socket.NotPermittedError, match="ask as the user"):
        ask(tmp_path / "control.sock")


def test_forget_leaves_the_files_of_a_pilot_that_hangs_or_lost_its_socket(pilot):
    """What decides that no pilot runs is the lock of its folder; files were deleted under one that hung."""
    folder = pilot.folder / "state"
    until(lambda: pilot.ask("status")["knowledge"]["sequence"])

    def snapshots() -> set:
        return set(folder.glob("knowledge/*"))

    kept = snapshots()
    assert kept
    control = folder / "control.sock"
    control.rename(folder / "elsewhere")
    done = command("learned", "forget", str(pilot.file))
    assert done.returncode == 3 and "nothing was forgotten" in done.stderr and snapshots() >= kept
    (folder / "elsewhere").rename(control)
    os.kill(pilot.process.pid, signal.SIGSTOP)
    try:
        done = command("learned", "forget", str(pilot.file))
        assert done.returncode == 3 and "no answer in" in done.stderr and "no file was touched" in done.stderr
        assert snapshots() >= kept
    finally:
        os.kill(pilot.process.pid, signal.SIGCONT)
    pilot.stop()
    done = command("learned", "forget", str(pilot.file))
    assert done.returncode == 0 and "forgotten: " in done.stdout and not snapshots()


def started_on(folder, change: str = "", port_file: str = "port") -> subprocess.CompletedProcess:
    """Run a pilot that cannot start."""
    file = folder / "pilot.ini"
    file.write_text(SETTINGS.format(slices=2, rate=0) + change)
    (folder / "servers.ini").write_text("")
    return command("run", str(file), "--port-file", str(folder / port_file))


def test_an_address_that_is_taken_is_named(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        done = started_on(tmp_path, f"[listen]\nxds = {address}\n")
    assert done.returncode == 2 and f"[listen] xds = {address}: cannot be opened" in done.stderr


def test_a_state_folder_whose_name_is_too_long_for_a_socket_is_named(tmp_path):
    """It ended with a traceback, or as an address that cannot be opened."""
    folder = tmp_path / ("x" * 120)
    folder.mkdir()
    done = started_on(folder)
    assert done.returncode == 2 and "the control socket cannot be opened" in done.stderr
    assert "Traceback" not in done.stderr and "[listen]" not in done.stderr


def test_a_port_file_that_cannot_be_written_is_named(tmp_path):
    done = started_on(tmp_path, port_file="nowhere/port")
    assert done.returncode == 2 and "the port file cannot be written" in done.stderr
