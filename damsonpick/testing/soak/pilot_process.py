"""The pilot of a soak: the real program as a process, its configuration, its log, and what is wrong with them."""

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

KILL_AFTER_S = 0.7  # after SIGTERM, at the platform's earliest
START_TIMEOUT_S = 20.0
LOG_POLL_S = 0.01
COMMAND = [sys.executable, "-m", "damsonpick.edge"]
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
    """One pilot over all its lives.

    Attributes:
        log_file: of all lives.
        config_file: that it is started with.
    """

    def __init__(self, folder: Path) -> None:
        """Prepare a pilot that is not yet started."""
        self.log_file = folder / "log"
        self.config_file = folder / "config.json"
        self._process: Process | None = None
        self._log_start = 0  # where the log of this life begins

    def write_config(self, config: dict[str, Any] | None) -> None:
        """Replace the configuration file; None: by one that cannot be used."""
        partial = self.config_file.with_suffix(".part")
        partial.write_text("{" if config is None else json.dumps(config))
        partial.replace(self.config_file)

    async def start(self) -> None:
        """Start a life; it may not serve yet."""
        self._log_start = self.log_file.stat().st_size if self.log_file.exists() else 0
        with self.log_file.open("a") as log:
            self._process = await anyio.open_process(
                COMMAND, stdin=None, stdout=log, stderr=log, env=os.environ | {"EDGE_CONFIG": str(self.config_file)}
            )

    @property
    def process(self) -> Process:
        """The process of this life."""
        assert self._process is not None, "start first"
        return self._process

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, if the process runs still."""
        if self.is_running():
            self.process.send_signal(signal_number)

    async def end_after_term(self) -> int | None:
        """Wait for the end after SIGTERM was sent; at the platform's earliest moment it is killed.

        Returns:
            The exit code; None: it had to be killed.
        """
        with anyio.move_on_after(KILL_AFTER_S):
            return await self.process.wait()
        self.process.kill()
        await self.process.wait()
        return None

    async def kill(self) -> None:
        """End the process without warning."""
        if self.is_running():
            self.process.kill()
        await self.process.wait()

    def descriptor_count(self) -> int:
        """How many descriptors the process holds."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    # -- the log

    def entries(self) -> list[dict[str, Any]]:
        """Return the log entries of this life; other text is left out."""
        entries = []
        for line in self._life_text().splitlines():
            try:
                entries.append(json.loads(line))
            except json.JSONDecodeError:
                continue  # a line that a kill has cut, or a traceback
        return [entry for entry in entries if isinstance(entry, dict)]

    def has_logged(self, *events: str) -> bool:
        """Whether one of these events stands in the log of this life."""
        return any(entry.get("event") in events for entry in self.entries())

    async def wait_for_any(self, events: Collection[str], timeout_s: float = START_TIMEOUT_S) -> bool:
        """Wait for one of these events in the log of this life; False: none came, or the process has ended."""
        with anyio.move_on_after(timeout_s):
            while not self.has_logged(*events):
                if not self.is_running():
                    return self.has_logged(*events)
                await anyio.sleep(LOG_POLL_S)
            return True
        return False

    def faults(self) -> list[str]:
        """Return what the log of this life says of faults of the program."""
        found = [
            f"{entry['event']}: {entry.get('error')}" for entry in self.entries() if entry["event"] in FAULT_EVENTS
        ]
        if "Traceback" in self._life_text():
            found.append("a traceback in the log")
        return found

    def _life_text(self) -> str:
        with self.log_file.open("rb") as file:
            file.seek(self._log_start)
            return file.read().decode("utf-8", "replace")
