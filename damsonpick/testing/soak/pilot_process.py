"""The pilot of a soak: the real program as a process, its configuration, its log, and the faults that the log shows."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Collection
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process

KILL_AFTER_S = 0.7  # shortest time after SIGTERM at which the platform sends SIGKILL
START_TIMEOUT_S = 20.0
LOG_POLL_S = 0.01
COMMAND = [sys.executable, "-m", "damsonpick.edge"]
# Log events that show a fault of the program.
FAULT_EVENTS = frozenset(
    (
        "connection_failed",
        "order_request_failed",
        "planner_failed",
        "planner_state_failed",
        "reload_failed",
        "watch_failed",
    )
)


class PilotProcess:
    """One pilot, whose process a soak starts several times.

    Attributes:
        log_file: Log of all incarnations of the pilot.
        config_file: Configuration with which the process is started.
    """

    def __init__(self, folder: Path) -> None:
        """Create a pilot with its files in `folder`; `start` starts the process."""
        self.log_file = folder / "log"
        self.config_file = folder / "config.json"
        self._process: Process | None = None
        self._log_offset = 0  # offset in the log file at which the log of this incarnation begins

    def write_config(self, config: dict[str, Any] | None) -> None:
        """Replace the configuration file. If `config` is None, the new file contains invalid JSON."""
        partial = self.config_file.with_suffix(".part")
        partial.write_text("{" if config is None else json.dumps(config))
        partial.replace(self.config_file)

    async def start(self) -> None:
        """Start a new incarnation. It may not be ready when this returns."""
        self._log_offset = self.log_file.stat().st_size if self.log_file.exists() else 0
        with self.log_file.open("a") as log:
            self._process = await anyio.open_process(
                COMMAND, stdin=None, stdout=log, stderr=log, env=os.environ | {"EDGE_CONFIG": str(self.config_file)}
            )

    @property
    def process(self) -> Process:
        """The process of the current incarnation."""
        assert self._process is not None, "the pilot has not been started"
        return self._process

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.is_running():
            self.process.send_signal(signal_number)

    async def wait_for_exit_after_sigterm(self) -> int | None:
        """Wait until the process exits after SIGTERM; kill it after the shortest time that the platform allows.

        Returns:
            The exit code, or None if the process had to be killed.
        """
        with anyio.move_on_after(KILL_AFTER_S):
            return await self.process.wait()
        self.process.kill()
        await self.process.wait()
        return None

    async def kill(self) -> None:
        """Kill the process without a prior SIGTERM."""
        if self.is_running():
            self.process.kill()
        await self.process.wait()

    def descriptor_count(self) -> int:
        """Return how many file descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    # Log

    def entries(self) -> list[dict[str, Any]]:
        """Return the log entries of this incarnation, without lines that are not JSON objects."""
        entries = []
        for line in self._incarnation_log().splitlines():
            try:
                entries.append(json.loads(line))
            except json.JSONDecodeError:
                continue  # a line cut off by SIGKILL, or part of a traceback
        return [entry for entry in entries if isinstance(entry, dict)]

    def has_logged(self, *events: str) -> bool:
        """Return whether the log of this incarnation contains one of these events."""
        return any(entry.get("event") in events for entry in self.entries())

    async def wait_for_any(self, events: Collection[str], timeout_s: float = START_TIMEOUT_S) -> bool:
        """Wait for one of these events in the log of this incarnation.

        Returns:
            Whether one of the events was logged before the timeout and before the process ended.
        """
        with anyio.move_on_after(timeout_s):
            while not self.has_logged(*events):
                if not self.is_running():
                    return self.has_logged(*events)
                await anyio.sleep(LOG_POLL_S)
            return True
        return False

    def faults(self) -> list[str]:
        """Return the faults of the program that the log of this incarnation shows."""
        found = [
            f"{entry['event']}: {entry.get('error')}" for entry in self.entries() if entry["event"] in FAULT_EVENTS
        ]
        if "Traceback" in self._incarnation_log():
            found.append("the log contains a traceback")
        return found

    def _incarnation_log(self) -> str:
        with self.log_file.open("rb") as file:
            file.seek(self._log_offset)
            return file.read().decode("utf-8", "replace")
