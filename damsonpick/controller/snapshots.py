"""Keeps what the pilot learns: a snapshot every so often and at the end. Files are written in a worker thread."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Any

import anyio
import anyio.to_thread

from damsonpick.controller.engine import Engine
from damsonpick.runtime.clock import Clock
from damsonpick.settings.model import PilotSettings
from damsonpick.state.learned import ageing, codec, generations
from damsonpick.state.learned.capture import Capture, SnapshotInfo
from damsonpick.state.learned.disk import OsDisk, host_time
from damsonpick.state.learned.snapshot import PreEncodedSnapshot, Snapshot


class Remembering:
    """Args: settings, clock; log: a structlog logger; disk: where files go."""

    def __init__(self, settings: PilotSettings, clock: Clock, log: Any, disk: generations.Disk | None = None) -> None:
        self.vouched: Callable[[], int] = lambda: 0  # clock time when a source last stood by the list
        self.answered: Mapping[str, int] = {}  # endpoint: when it last gave a good answer
        self.settings, self.clock, self.log, self.disk = settings, clock, log, disk or OsDisk()
        self.folder = settings.knowledge_path()
        self.found = generations.NOTHING_LOADED
        self.age = ageing.Age(0, "")
        self.sequence = 0
        self.failing = False
        self.written: dict[str, Any] = {"sequence": 0, "bytes": 0, "stall_ms": 0.0, "error": ""}

    # -- at the start

    def read(self) -> tuple[Snapshot | None, int | None]:
        """The aged snapshot, and how long ago (ns of the pilot's clock) the last life was seen; None: not known."""
        self.found = generations.load(self.disk, self.folder)
        for wrong in self.found.problems:
            self.log.error("knowledge_refused", what=wrong, remedy="the other generation, or nothing, is used")
        snapshot = self.found.snapshot
        if snapshot is None:
            return None, None
        self.sequence = snapshot.sequence
        self.age = ageing.age_of(snapshot.taken_at, host_time())
        if self.age.clock_warning:
            self.log.warning("knowledge_age_doubted", why=self.age.clock_warning)
        ns = int(self.age.ns * self.clock.rate)
        return ageing.decay(snapshot, ns), ns

    def forget(self) -> None:
        """Remove what is kept."""
        generations.remove(self.folder)
        self.found = generations.NOTHING_LOADED

    # -- while the pilot runs

    async def run(self, engine: Engine) -> None:
        """For ever; a folder that cannot be written is said once, and tried again each time."""
        if self.found.newer_format:
            return
        while True:
            await anyio.sleep(self.clock.seconds(self.settings.knowledge.every))
            try:
                await self.once(engine)
            except Exception as error:  # what learns must not stop what serves
                self.log.error("knowledge_failed", error=repr(error), remedy="send this to the maintainers")

    async def once(self, engine: Engine) -> None:
        """One snapshot. The planner is read in steps between which the loop runs on; the rest is a thread's."""
        planner = engine.planner
        if planner is None or self.found.newer_format:
            return
        info = SnapshotInfo(self.sequence + 1, self.settings.pilot.name, host_time(), self.clock.now(), self.vouched())
        capture = Capture(planner, info, dict(self.answered))
        longest, start = 0.0, time.perf_counter()
        for _ in capture.steps(pre_encode=True):
            longest = max(longest, time.perf_counter() - start)
            await anyio.lowlevel.checkpoint()
            start = time.perf_counter()
        draft = capture.pre_encoded_snapshot()
        longest = max(longest, time.perf_counter() - start)
        try:
            size = await anyio.to_thread.run_sync(self._write, draft)
        except OSError as error:
            if not self.failing:
                self.log.error(
                    "knowledge_not_written",
                    error=str(error),
                    remedy="free space or rights on the state folder; the pilot goes on without",
                )
            self.failing, self.written["error"] = True, str(error)
            return
        if self.failing:
            self.log.info("knowledge_written_again")
        self.failing = False
        self.sequence += 1
        self.written = {"sequence": self.sequence, "bytes": size, "stall_ms": round(longest * 1e3, 3), "error": ""}

    def _write(self, draft: PreEncodedSnapshot) -> int:
        data = codec.encode(draft)
        generations.save(self.disk, self.folder, data, rotate=self.found.generation == generations.CURRENT)
        self.found = generations.LoadedSnapshot(None, generations.CURRENT, (), False)
        return len(data)
