"""Child processes of a scenario: the pilot, and the gateways with their clients."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

from damsonpick.testing.scenarios.errors import ProcessError

PILOT_START_TIMEOUT_S = 20
PORT_POLL_S = 0.02  # interval of the checks for the pilot's port file
STOP_TIMEOUT_S = 5  # a process that has not ended after this time is killed
GATEWAYS_COMMAND = [sys.executable, "-m", "damsonpick.testing.fakes.fleet"]


class PilotProcess:
    """A pilot process that can be killed and restarted.

    Attributes:
        settings_file: Settings file of the pilot.
        port_file: File to which the pilot writes its xDS port. The file of the SASP port has the same name with the
            suffix `.sasp`.
    """

    def __init__(self, folder: Path, command: list[str]) -> None:
        """Set the paths and the command; `start` starts the process.

        Args:
            folder: Folder for settings, port files and log.
            command: Command that runs the pilot, without its arguments.
        """
        self.command = command
        self.settings_file = folder / "pilot.ini"
        self.port_file = folder / "pilot.port"
        self.log_file = folder / "pilot.log"
        self._process: Process | None = None

    async def start(self) -> None:
        """Start the pilot and wait until it has written its port file.

        Raises:
            ProcessError: The pilot ended or did not open its port in time.
        """
        self._remove_port_files()
        with self.log_file.open("a") as log:
            self._process = await anyio.open_process(
                [*self.command, "run", str(self.settings_file), "--port-file", str(self.port_file)],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        with anyio.move_on_after(PILOT_START_TIMEOUT_S):
            while not self.port_file.exists() and self._process.returncode is None:
                await anyio.sleep(PORT_POLL_S)
        if not self.port_file.exists():
            raise ProcessError(
                f"the pilot ended or did not open its port within {PILOT_START_TIMEOUT_S} s", self.log_file
            )

    async def kill(self) -> None:
        """Kill the pilot without a graceful shutdown."""
        self._process.kill()
        await self._process.wait()
        self._remove_port_files()

    async def stop(self) -> None:
        """Shut the pilot down gracefully if it is running; kill it if it does not end in time."""
        if self._process is not None and self._process.returncode is None:
            self._process.terminate()
            await _wait_or_kill(self._process)

    def _remove_port_files(self) -> None:
        for path in (self.port_file, self.port_file.with_suffix(".sasp")):
            path.unlink(missing_ok=True)


class GatewayProcesses:
    """The gateway processes. Each runs several gateways, and reads its setup and commands as JSON on standard input."""

    def __init__(self, folder: Path) -> None:
        """Set the log file in `folder`; `start` starts the processes."""
        self.log_file = folder / "fleet.log"
        self._processes: list[Process] = []

    async def start(self, setup: dict[str, Any]) -> None:
        """Start one process and send it its setup."""
        with self.log_file.open("a") as log:
            process = await anyio.open_process(GATEWAYS_COMMAND, stdout=subprocess.DEVNULL, stderr=log)
        await process.stdin.send(json.dumps(setup).encode() + b"\n")
        self._processes.append(process)

    async def send_command(self, name: str, **details: Any) -> None:
        """Send a command to all processes.

        Raises:
            ProcessError: A gateway process has ended.
        """
        line = json.dumps({"do": name, **details}).encode() + b"\n"
        try:
            for process in self._processes:
                await process.stdin.send(line)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ProcessError("a gateway process has ended", self.log_file) from None

    async def watch(self) -> None:
        """Wait until a process ends.

        Raises:
            ProcessError: A process ended, with any exit code, so that its early end fails the scenario.
        """
        exit_codes: list[int | None] = []

        async def wait_for(process: Process) -> None:
            exit_codes.append(await process.wait())
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for process in self._processes:
                group.start_soon(wait_for, process)
        raise ProcessError(f"a gateway process ended; exit codes of the ended processes: {exit_codes}", self.log_file)

    async def stop(self) -> None:
        """End all processes by closing their standard input; kill those that do not end in time."""
        for process in self._processes:
            await process.stdin.aclose()
        for process in self._processes:
            await _wait_or_kill(process)


async def _wait_or_kill(process: Process) -> None:
    with anyio.move_on_after(STOP_TIMEOUT_S) as scope:
        await process.wait()
    if scope.cancelled_caught:
        process.kill()
        await process.wait()
