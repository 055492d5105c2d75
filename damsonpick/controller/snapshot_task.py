"""Writes snapshots of learned state, periodically and at the end. Files are written in a worker thread."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import anyio
import anyio.to_thread
from structlog.typing import FilteringBoundLogger

from damsonpick.controller.engine import Engine
from damsonpick.decisions.planner import Planner
from damsonpick.runtime.clock import Clock
from damsonpick.settings.model import PilotSettings
from damsonpick.state.learned import ageing, codec, generations
from damsonpick.state.learned.capture import Capture, SnapshotInfo
from damsonpick.state.learned.disk import OsDisk, host_time
from damsonpick.state.learned.snapshot import PreEncodedSnapshot, Snapshot


class LearnedState(NamedTuple):
    """What an earlier incarnation left."""

    snapshot: Snapshot | None  # aged; None: nothing is kept
    away: int | None  # ns of the pilot's clock since it was written; None: not known


NOTHING_LEARNED = LearnedState(None, None)


class WriteReport(NamedTuple):
    """How the last write of a snapshot went."""

    sequence: int
    bytes: int
    stall_ms: float  # the longest time for which the loop stood still
    error: str  # '': it succeeded


NOTHING_WRITTEN = WriteReport(0, 0, 0.0, "")


@dataclass(slots=True, eq=False)
class SnapshotTask:
    """Reads the newest snapshot at the start and writes new ones while the pilot runs.

    Args:
        settings: the pilot's settings.
        clock: the pilot's clock.
        engine: its planner is what is captured.
        list_confirmed_at: clock time when a source last confirmed the endpoint list; 0: none does.
        last_success_at: for each endpoint, clock time of its last successful response.
        log: names the file or the error.
    """

    settings: PilotSettings
    clock: Clock
    engine: Engine
    list_confirmed_at: Callable[[], int]
    last_success_at: Callable[[], Mapping[str, int]]
    log: FilteringBoundLogger
    disk: generations.Disk = field(default_factory=OsDisk, init=False)
    found: generations.LoadedSnapshot = field(default=generations.NOTHING_LOADED, init=False)  # what the folder holds
    sequence: int = field(default=0, init=False)  # of the newest snapshot
    failing: bool = field(default=False, init=False)  # the last write failed
    last_write: WriteReport = field(default=NOTHING_WRITTEN, init=False)

    @property
    def folder(self) -> Path:
        """Where the generations are."""
        return self.settings.learned_path()

    def read(self) -> LearnedState:
        """The newest snapshot, faded by its age."""
        self.found = generations.load(self.disk, self.folder)
        for problem in self.found.problems:
            self.log.error("snapshot_rejected", reason=problem, remedy="the other generation, or nothing, is used")
        snapshot = self.found.snapshot
        if snapshot is None:
            return NOTHING_LEARNED
        self.sequence = snapshot.sequence
        age = ageing.age_of(snapshot.taken_at, host_time())
        if age.clock_warning:
            self.log.warning("snapshot_age_uncertain", reason=age.clock_warning)
        away = int(age.ns * self.clock.rate)
        return LearnedState(ageing.decay(snapshot, away), away)

    def forget(self) -> None:
        """Remove every generation."""
        generations.remove(self.folder)
        self.found = generations.NOTHING_LOADED

    async def run(self) -> None:
        """Write a snapshot once a period until cancelled; nothing, where a newer program's file must not be lost."""
        if self.found.newer_format:
            return
        while True:
            await anyio.sleep(self.clock.seconds(self.settings.learned_state.period))
            try:
                await self.write()
            except Exception as error:  # what learns must not stop what serves
                self._failed(error)

    def _failed(self, error: Exception) -> None:
        self.log.error("snapshot_failed", error=repr(error), remedy="send this to the maintainers")

    async def write(self) -> None:
        """Write one snapshot. A folder that cannot be written is logged once, and tried again each time."""
        planner = self.engine.planner
        if planner is None or self.found.newer_format:
            return
        captured, stall_s = await self._capture(planner)
        try:
            size = await anyio.to_thread.run_sync(self._save, captured)
        except OSError as error:
            self._write_failed(error)
            return
        if self.failing:
            self.log.info("snapshot_write_recovered")
        self.failing = False
        self.sequence += 1
        self.last_write = WriteReport(self.sequence, size, stall_ms=round(stall_s * 1e3, 3), error="")

    async def _capture(self, planner: Planner) -> tuple[PreEncodedSnapshot, float]:
        """A snapshot, and the longest time in wall seconds for which the loop stood still.

        The planner is read in steps between which the loop runs on.
        """
        info = SnapshotInfo(
            sequence=self.sequence + 1,
            pilot=self.settings.pilot.name,
            taken_at=host_time(),
            clock_at=self.clock.now(),
            list_confirmed_at=self.list_confirmed_at(),
        )
        capture = Capture(planner, info, dict(self.last_success_at()))
        longest_s = 0.0
        step_start = time.perf_counter()
        for _ in capture.steps(pre_encode=True):
            longest_s = max(longest_s, time.perf_counter() - step_start)
            await anyio.lowlevel.checkpoint()
            step_start = time.perf_counter()
        snapshot = capture.pre_encoded_snapshot()
        longest_s = max(longest_s, time.perf_counter() - step_start)
        return snapshot, longest_s

    def _write_failed(self, error: OSError) -> None:
        if not self.failing:
            self.log.error(
                "snapshot_not_written",
                error=str(error),
                remedy="free space or rights on the state folder; the pilot goes on without",
            )
        self.failing = True
        self.last_write = self.last_write._replace(error=str(error))

    def _save(self, snapshot: PreEncodedSnapshot) -> int:
        """Write a generation in a worker thread; returns its bytes."""
        data = codec.encode(snapshot)
        generations.save(self.disk, self.folder, data, rotate=self.found.generation == generations.CURRENT)
        self.found = generations.LoadedSnapshot(None, generations.CURRENT, (), False)
        return len(data)
