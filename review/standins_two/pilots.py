"""The pilots: processes that the deploy file's command starts, their readiness and their collectors."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

from review.standins_two import wire

ROOT = Path(__file__).resolve().parents[2]
FIRST_PORT, LAST_PORT = 20_000, 31_999
KILL_AFTER_S = 0.7


def free_port() -> int:
    """Return a port that is free now, below the range of outgoing connections."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((wire.HOST, port))
            except OSError:
                continue
            return port


class Pilot:
    """One pilot and the connections of the platform to it.

    Attributes:
        number: Its number.
        folder: Folder of its configuration and log.
        port: Port at which it listens.
        first_answer: Time of its first answer to a sign of life; None until then.
        expected: Whether it is meant to run.
    """

    def __init__(self, number: int, folder: Path) -> None:
        """Create a pilot that does not run."""
        self.number, self.folder = number, folder
        self.port = free_port()
        self.first_answer: float | None = None
        self.expected = False
        self.process: subprocess.Popen[bytes] | None = None
        self._collectors: dict[str, asyncio.StreamWriter] = {}

    def start(self, config: dict[str, Any]) -> None:
        """Write the configuration and start the process with the deploy file's command."""
        self.write_config(config)
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        temporary = self.folder / f"tmp-{time.monotonic_ns()}"
        temporary.mkdir()
        environment = os.environ | {
            "EDGE_NAME": config["name"],
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(self.folder / f"pilot-{self.number}.json"),
            "TMPDIR": str(temporary),
        }
        with (self.folder / f"pilot-{self.number}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.expected = True

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the file of the configuration."""
        path = self.folder / f"pilot-{self.number}.json"
        part = path.with_suffix(".part")
        part.write_text(json.dumps(config))
        part.replace(path)

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    async def end(self, term: bool) -> None:
        """End the process: SIGTERM and SIGKILL later, or SIGKILL at once."""
        self.expected = False
        self.first_answer = None
        if term:
            self.send(signal.SIGTERM)
            for _ in range(int(KILL_AFTER_S / 0.02)):
                if not self.is_running():
                    break
                await asyncio.sleep(0.02)
        self.send(signal.SIGKILL)
        while self.is_running():
            await asyncio.sleep(0.01)
        self.close_collectors()

    async def wait_until_ready(self, limit_s: float = 30.0) -> bool:
        """Ask for a sign of life until the pilot answers. Return whether it did."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until and self.is_running():
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(wire.HOST, self.port)
                try:
                    writer.write(wire.frame({"@type": "hb"}))
                    size = int.from_bytes(await asyncio.wait_for(reader.readexactly(4), 3.0), "little")
                    if json.loads(await asyncio.wait_for(reader.readexactly(size), 3.0)).get("@type") == "hb_ok":
                        self.first_answer = time.monotonic()
                        return True
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.05)
        return False

    async def report(self, zone: str, messages: list[dict[str, Any]]) -> None:
        """Hand on reports as the collector of a zone."""
        writer = self._collectors.get(zone)
        if writer is None or writer.transport.is_closing():
            try:
                _, writer = await asyncio.open_connection(wire.HOST, self.port)
            except OSError:
                return
            writer.write(wire.frame({"@type": "telemetry", "zone": zone}))
            self._collectors[zone] = writer
        with contextlib.suppress(ConnectionError, RuntimeError):
            writer.write(b"".join(wire.frame(message) for message in messages))

    def close_collectors(self) -> None:
        """Close the connections of the collectors."""
        for writer in self._collectors.values():
            writer.transport.abort()
        self._collectors.clear()
