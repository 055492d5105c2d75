"""Writes snapshots of the learned state periodically and at shutdown. A worker thread writes the files."""

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
    """Learned state of an earlier incarnation."""

    snapshot: Snapshot | None  # with its aging applied; None if there is none
    away: int | None  # time since it was written, in ns of the pilot's clock; None if unknown


NOTHING_LEARNED = LearnedState(None, None)


class WriteReport(NamedTuple):
    """Result of the last successful snapshot write, and the error of a write that failed after it."""

    sequence: int
    bytes: int
    stall_ms: float  # longest time for which the capture blocked the event loop
    error: str  # empty if the last write succeeded


NOTHING_WRITTEN = WriteReport(0, 0, 0.0, "")


@dataclass(slots=True, eq=False)
class SnapshotTask:
    """Reads the newest snapshot at the start and writes new ones while the pilot runs.

    Args:
        settings: Settings of the pilot.
        clock: Clock of the pilot.
        engine: Runs the planner whose state is captured.
        list_confirmed_at: Returns the current clock time while the active source confirms the endpoint list, or 0.
        last_success_at: Returns the clock time of the last successful response of each endpoint.
        log: Logger for rejected files and failed writes.
    """

    settings: PilotSettings
    clock: Clock
    engine: Engine
    list_confirmed_at: Callable[[], int]
    last_success_at: Callable[[], Mapping[str, int]]
    log: FilteringBoundLogger
    disk: generations.Disk = field(default_factory=OsDisk, init=False)
    # Snapshot files in the folder, as of the last load, write or removal.
    loaded: generations.LoadedSnapshot = field(default=generations.NOTHING_LOADED, init=False)
    sequence: int = field(default=0, init=False)  # sequence number of the newest snapshot
    failing: bool = field(default=False, init=False)  # whether the last write failed
    last_write: WriteReport = field(default=NOTHING_WRITTEN, init=False)

    @property
    def folder(self) -> Path:
        """Folder that contains the snapshot generations."""
        return self.settings.learned_path()

    def read(self) -> LearnedState:
        """Return the newest snapshot with the decay for its age applied, or `NOTHING_LEARNED` if none is usable."""
        self.loaded = generations.load(self.disk, self.folder)
        for problem in self.loaded.problems:
            self.log.error(
                "snapshot_rejected",
                reason=problem,
                remedy="the other generation is used, or no snapshot if there is none",
            )
        snapshot = self.loaded.snapshot
        if snapshot is None:
            return NOTHING_LEARNED
        self.sequence = snapshot.sequence
        age = ageing.age_of(snapshot.taken_at, host_time())
        if age.clock_warning:
            self.log.warning("snapshot_age_uncertain", reason=age.clock_warning)
        away = int(age.ns * self.clock.rate)
        return LearnedState(ageing.decay(snapshot, away), away)

    def forget(self) -> None:
        """Remove all snapshot generations."""
        generations.remove(self.folder)
        self.loaded = generations.NOTHING_LOADED

    async def run(self) -> None:
        """Write a snapshot once per period until cancelled.

        Returns immediately if the folder contains a file of a newer program version, which must not be overwritten.
        """
        if self.loaded.newer_format:
            return
        while True:
            await anyio.sleep(self.clock.seconds(self.settings.learned_state.period))
            try:
                await self.write()
            except Exception as error:  # a failure of the learned state must not stop the service
                self._failed(error)

    def _failed(self, error: Exception) -> None:
        self.log.error("snapshot_failed", error=repr(error), remedy="send this to the maintainers")

    async def write(self) -> None:
        """Write one snapshot, unless no planner runs or the folder contains a file of a newer program version.

        Each call tries to write. Of consecutive failed writes only the first is logged.
        """
        planner = self.engine.planner
        if planner is None or self.loaded.newer_format:
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
        """Return a snapshot and the longest time in wall seconds for which the capture blocked the event loop.

        The planner is read in steps, and the event loop runs other tasks between them.
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
                remedy="check free space and permissions of the state folder; "
                "the last snapshot stays, and the write is repeated each period",
            )
        self.failing = True
        self.last_write = self.last_write._replace(error=str(error))

    def _save(self, snapshot: PreEncodedSnapshot) -> int:
        """Write one generation and return its size in bytes. Runs in a worker thread."""
        data = codec.encode(snapshot)
        generations.save(self.disk, self.folder, data, rotate=self.loaded.generation == generations.CURRENT)
        self.loaded = generations.LoadedSnapshot(None, generations.CURRENT, (), False)
        return len(data)
