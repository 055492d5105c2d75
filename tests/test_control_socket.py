"""Requests to a daemon that hangs, that is not running, or that belongs to another user."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys

import anyio
import pytest

from damsonpick.controller import control_socket
from tests.pilots import SETTINGS, until


def run_command(*words: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "damsonpick", *words], capture_output=True, text=True, timeout=30, check=False
    )


def ask(path, timeout_s: float = 0.2):
    return anyio.run(control_socket.ask, path, {"ask": "status"}, timeout_s)


def test_a_pilot_that_takes_a_request_and_is_silent_is_not_taken_for_none(tmp_path):
    """Regression: for a pilot that hung, the handler for OSError reported "no pilot answers".

    TimeoutError is a subclass of OSError.
    """
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
    """Regression: the command deleted the files of a running pilot that hung.

    Only the lock of the state folder shows whether a pilot runs.
    """
    folder = pilot.folder / "state"
    until(lambda: pilot.ask("status")["knowledge"]["sequence"])

    def snapshots() -> set:
        return set(folder.glob("knowledge/*"))

    kept = snapshots()
    assert kept
    control = folder / "control.sock"
    control.rename(folder / "elsewhere")
    done = run_command("learned", "forget", str(pilot.file))
    assert done.returncode == 3 and "nothing was forgotten" in done.stderr and snapshots() >= kept
    (folder / "elsewhere").rename(control)
    os.kill(pilot.process.pid, signal.SIGSTOP)
    try:
        done = run_command("learned", "forget", str(pilot.file))
        assert done.returncode == 3 and "no answer in" in done.stderr and "no file was touched" in done.stderr
        assert snapshots() >= kept
    finally:
        os.kill(pilot.process.pid, signal.SIGCONT)
    pilot.stop()
    done = run_command("learned", "forget", str(pilot.file))
    assert done.returncode == 0 and "forgotten: " in done.stdout and not snapshots()


def run_pilot_in(folder, change: str = "", port_file: str = "port") -> subprocess.CompletedProcess:
    """Run `damsonpick run` with settings that prevent the start, and return the finished process."""
    file = folder / "pilot.ini"
    file.write_text(SETTINGS.format(slices=2, rate=0) + change)
    (folder / "servers.ini").write_text("")
    return run_command("run", str(file), "--port-file", str(folder / port_file))


def test_an_address_that_is_taken_is_named(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        done = run_pilot_in(tmp_path, f"[listen]\nxds = {address}\n")
    assert done.returncode == 2 and f"[listen] xds = {address}: cannot be opened" in done.stderr


def test_a_state_folder_whose_name_is_too_long_for_a_socket_is_named(tmp_path):
    """Regression: the start failed with a traceback, or with a message that an address cannot be opened."""
    folder = tmp_path / ("x" * 120)
    folder.mkdir()
    done = run_pilot_in(folder)
    assert done.returncode == 2 and "the control socket cannot be opened" in done.stderr
    assert "Traceback" not in done.stderr and "[listen]" not in done.stderr


def test_a_port_file_that_cannot_be_written_is_named(tmp_path):
    done = run_pilot_in(tmp_path, port_file="nowhere/port")
    assert done.returncode == 2 and "the port file cannot be written" in done.stderr


def test_requests_of_a_client_that_has_hung_up_are_not_answered(tmp_path):
    """Regression (operators, picture c): a request that was still unread when its client left was carried out."""
    answered = []

    async def run() -> None:
        path = tmp_path / "control.sock"
        listener = await control_socket.listen(path)
        async with anyio.create_task_group() as group:
            group.start_soon(control_socket.serve, listener, path, lambda request: answered.append(request) or {}, None)
            await anyio.wait_all_tasks_blocked()
            with socket.socket(socket.AF_UNIX) as leaving:
                leaving.connect(str(path))
                leaving.sendall(b'{"ask":"forget"}\n' * 100)
            await anyio.sleep(0.1)
            assert await control_socket.ask(path, {"ask": "status"}) == {}
            group.cancel_scope.cancel()

    anyio.run(run)
    assert answered == [{"ask": "status"}]


def test_clients_that_send_no_complete_request_make_room_for_others(tmp_path):
    """Regression (operators, picture a): half requests of any number of clients stayed in memory without end."""

    async def run() -> None:
        path = tmp_path / "control.sock"
        listener = await control_socket.listen(path)
        async with anyio.create_task_group() as group:
            group.start_soon(control_socket.serve, listener, path, lambda request: {}, None)
            await anyio.wait_all_tasks_blocked()
            clients = [await anyio.connect_unix(path) for _ in range(control_socket.MAX_CONNECTIONS + 5)]
            for client in clients:
                with contextlib.suppress(anyio.BrokenResourceError):
                    await client.send(b"x" * 60_000)
                await anyio.wait_all_tasks_blocked()
            assert await control_socket.ask(path, {"ask": "status"}) == {}
            for client in clients[:5]:
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5.0):
                    await client.receive()
            for client in clients:
                await anyio.aclose_forcefully(client)
            group.cancel_scope.cancel()

    anyio.run(run)
