"""Takes a snapshot of the state that a planner has learned. Sans I/O; the planner is only read."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple, TypeVar

import msgspec

from damsonpick.decisions.planner import Planner
from damsonpick.state.learned.snapshot import (
    HostTime,
    LearnedEndpoint,
    LearnedFleet,
    LearnedSlice,
    PreEncodedSnapshot,
    Snapshot,
)

SLICES_PER_STEP = 200
STORED_MIN_CAPACITY_FACTOR = 0.01
STORED_MAX_CAPACITY_FACTOR = 100.0
MIN_WARMTH = 0.02  # a warmth of at most this share is not stored

SnapshotType = TypeVar("SnapshotType", Snapshot, PreEncodedSnapshot)


class SnapshotInfo(NamedTuple):
    """Metadata that identify a snapshot.

    Attributes:
        sequence: Incremented with each snapshot written.
        pilot: Name of the pilot.
        taken_at: Present time of the host.
        clock_at: Present time of the pilot's clock, ns.
        list_confirmed_at: Time of the pilot's clock at which the active list source was reachable and so confirmed the
            endpoint list, ns; 0 if no source was active and reachable when the snapshot was taken, or if unknown.
    """

    sequence: int
    pilot: str
    taken_at: HostTime
    clock_at: int = 0
    list_confirmed_at: int = 0


class Capture:
    """Takes a snapshot in small steps, so that it never blocks the control loop for long."""

    def __init__(self, planner: Planner, info: SnapshotInfo, last_success_at: Mapping[str, int] | None = None) -> None:
        """Prepare a snapshot; `steps` reads the planner.

        Args:
            planner: Planner to read; it may handle events between the steps.
            info: Metadata of the snapshot.
            last_success_at: Time of the pilot's clock at the last successful response by endpoint, ns.
        """
        self.planner = planner
        self.info = info
        self.last_success_at = last_success_at or {}
        self.endpoints: list[LearnedEndpoint] = []
        self.slices: list[LearnedSlice] = []
        self.encoded_slices: list[msgspec.Raw] = []

    def steps(self, pre_encode: bool = False) -> Iterator[None]:
        """Read the planner step by step; the control loop may run after each step.

        Args:
            pre_encode: Whether to encode the slices for `pre_encoded_snapshot`; otherwise call `snapshot` afterwards.
        """
        self._read_endpoints()
        yield
        for index, state in enumerate(list(self.planner.slices.values())):
            # This is inlined because calls for thousands of slices would delay the control loop.
            warmth = tuple((name, min(1.0, share)) for name, share in state.warmth.items() if share > MIN_WARMTH)
            learned = LearnedSlice(state.number, tuple(max(0.0, rate) for rate in state.rates), warmth)
            if pre_encode:
                self.encoded_slices.append(msgspec.Raw(msgspec.msgpack.encode(learned)))
            else:
                self.slices.append(learned)
            if index % SLICES_PER_STEP == SLICES_PER_STEP - 1:
                yield

    def _read_endpoints(self) -> None:
        """Read the endpoints of which anything was learned.

        For the others, a new planner assumes the values that they have now.
        """
        for name, state in list(self.planner.endpoints.items()):
            last_success_at = self.last_success_at.get(name, 0)
            if state.last_report_at or state.restored_share or last_success_at:
                factor = min(STORED_MAX_CAPACITY_FACTOR, max(STORED_MIN_CAPACITY_FACTOR, state.capacity_factor))
                self.endpoints.append(LearnedEndpoint(name, state.started, factor, last_success_at))

    def snapshot(self) -> Snapshot:
        """Return the snapshot, after all steps."""
        return self._build(Snapshot, tuple(self.slices))

    def pre_encoded_snapshot(self) -> PreEncodedSnapshot:
        """Return the snapshot with encoded slices, after all steps with `pre_encode`."""
        return self._build(PreEncodedSnapshot, self.encoded_slices)

    def _build(
        self, snapshot_type: Callable[..., SnapshotType], slices: Sequence[LearnedSlice] | Sequence[msgspec.Raw]
    ) -> SnapshotType:
        planner = self.planner
        best_throughput = max(0.0, planner.best_throughput)
        throughput_per_capacity = max(0.0, planner.throughput_per_capacity)
        return snapshot_type(
            **self.info._asdict(),
            classes=tuple(request_class.name for request_class in planner.settings.classes),
            slice_count=planner.settings.slices,
            endpoints=tuple(self.endpoints),
            slices=slices,
            fleet=LearnedFleet(best_throughput, throughput_per_capacity),
        )


def take_snapshot(planner: Planner, info: SnapshotInfo) -> Snapshot:
    """Take a snapshot without interruption."""
    capture = Capture(planner, info)
    for _ in capture.steps():
        pass
    return capture.snapshot()
