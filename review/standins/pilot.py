"""Starts, signals and ends one pilot with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from review.standins import sockets

ROOT = Path(__file__).resolve().parents[2]


class Pilot:
    """One pilot process with its configuration file and log."""

    def __init__(self, number: int, folder: Path, settings: dict[str, Any], seed: str) -> None:
        """Choose an address. Nothing is started."""
        self.number, self.folder, self.settings = number, folder, settings
        self.port = sockets.free_port()
        self.config: dict[str, Any] = {}
        self.process: subprocess.Popen[bytes] | None = None
        self._random = random.Random(f"pilot-{number}-{seed}")
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command = tomllib.load(file)["run"]

    def configure(self, discovery_port: int, registry_port: int, known: dict[str, Any]) -> None:
        """Write the configuration file."""
        self.config = {
            "name": f"n{self.number}",
            "listen": f"{sockets.HOST}:{self.port}",
            "discovery": f"{sockets.HOST}:{discovery_port}",
            "seed": f"{self._random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "registry": {"address": f"{sockets.HOST}:{registry_port}"},
            "known": known,
            "settings": self.settings,
        }
        path = self.folder / f"pilot-{self.number}.json"
        part = path.with_suffix(".part")
        part.write_text(json.dumps(self.config))
        part.replace(path)

    def start(self) -> None:
        """Start the process."""
        environment = dict(os.environ)
        environment |= {
            "EDGE_NAME": self.config["name"],
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "EDGE_CONFIG": str(self.folder / f"pilot-{self.number}.json"),
        }
        with (self.folder / f"pilot-{self.number}.log").open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stderr=log)

    def exit_code(self) -> int | None:
        """Return the exit code, or None if the process runs or was not started."""
        return self.process.poll() if self.process is not None else None

    def has_ended(self) -> bool:
        """Return whether the process has ended by itself."""
        return self.exit_code() is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and not self.has_ended():
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int | None:
        """Signal the process and wait for its end. Return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        for _ in range(150):
            if self.process is None or self.has_ended():
                break
            await asyncio.sleep(0.02)
        self.send_signal(signal.SIGKILL)
        return self.process.wait() if self.process is not None else None
