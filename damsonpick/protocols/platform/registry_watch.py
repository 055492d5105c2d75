"""Reads the registry's watch: the current state until the first heartbeat, and then each change."""

from __future__ import annotations

from collections.abc import Callable

from damsonpick.protocols.platform import registry_events
from damsonpick.protocols.platform.collaborators import EventSink, Logger
from damsonpick.protocols.platform.dropped_input_log import DroppedInput, DroppedInputLog
from damsonpick.protocols.platform.errors import InvalidMessageError, MalformedMessageError, TransportError
from damsonpick.protocols.platform.readiness import Readiness, Source
from damsonpick.protocols.platform.registry import Registry
from damsonpick.protocols.platform.watch_snapshot import WatchSnapshot

SILENCE_TIMEOUT_S = 2.4  # the registry sends a heartbeat every second
WATCH_PATH = "/watch"


class RegistrySynchronizer:
    """Applies snapshots and events of the watch to the known state, and notifies the planner of the differences."""

    def __init__(
        self,
        registry: Registry,
        enqueue: EventSink,
        wake_order_client: Callable[[], None],
        readiness: Readiness,
        log: Logger,
    ) -> None:
        """Create a synchronizer.

        Args:
            registry: Known state of the registry.
            enqueue: Queues events for the planner.
            wake_order_client: Called after a snapshot, and after an event of the watch if orders are pending.
            readiness: Is notified of each snapshot.
            log: Receives a line for each snapshot.
        """
        self._registry = registry
        self._enqueue = enqueue
        self._wake_order_client = wake_order_client
        self._readiness = readiness
        self._log = log

    def apply_snapshot(self, snapshot: WatchSnapshot, gap: bool) -> None:
        """Apply the snapshot of a new watch.

        Args:
            snapshot: State at the start of the watch.
            gap: Whether events may have been missed before the snapshot.
        """
        pending_before = self._registry.pending.key_count()
        self._enqueue(*self._registry.reconcile(snapshot, gap))
        self._log.info(
            "registry_synchronized",
            proxies=len(snapshot.proxies),
            slices=len(snapshot.tables),
            gap=gap,
            discarded_orders=pending_before - self._registry.pending.key_count(),
        )
        self._wake_order_client()
        self._readiness.confirm(Source.REGISTRY)

    def apply_event(self, event: registry_events.RegistryEvent) -> None:
        """Apply an event that the watch sent after its snapshot."""
        self._enqueue(*self._registry.apply(event))
        if not self._registry.pending.is_empty():
            self._wake_order_client()


class RegistryWatchReader:
    """Reads one watch of the registry."""

    def __init__(
        self, synchronizer: RegistrySynchronizer, has_gap: Callable[[], bool], dropped_input_log: DroppedInputLog
    ) -> None:
        """Create a reader for a new watch.

        Args:
            synchronizer: Applies the snapshot and the events.
            has_gap: Returns whether events may have been missed before the snapshot. This is so unless another open
                watch has sent the current state and none of its heartbeats is overdue.
            dropped_input_log: Records events that cannot be decoded.
        """
        self._synchronizer = synchronizer
        self._has_gap = has_gap
        self._dropped_input_log = dropped_input_log
        self._snapshot: WatchSnapshot | None = WatchSnapshot()  # None once the snapshot is complete

    def path(self) -> str:
        """Return the path of the watch."""
        return WATCH_PATH

    def process(self, lines: list[bytes]) -> bool:
        """Process lines in order.

        Returns:
            Whether the snapshot is complete.

        Raises:
            TransportError: A line cannot be decoded as JSON or is not a JSON object, so the watch must be opened again.
        """
        for line in filter(None, lines):
            try:
                event = registry_events.decode_event(line)
            except InvalidMessageError as error:
                self._dropped_input_log.record(DroppedInput.REGISTRY_EVENT, str(error))
            except MalformedMessageError as error:
                raise TransportError("registry_event", str(error)) from None
            else:
                self._process_event(event)
        return self._snapshot is None

    def _process_event(self, event: registry_events.RegistryEvent) -> None:
        if self._snapshot is None:
            self._synchronizer.apply_event(event)
        elif isinstance(event, registry_events.Heartbeat):
            snapshot, self._snapshot = self._snapshot, None
            self._synchronizer.apply_snapshot(snapshot, self._has_gap())
        else:
            self._snapshot.apply(event)
