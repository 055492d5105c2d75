"""Reads discovery's watch of the endpoint list, starting at the known version or with the complete list."""

from __future__ import annotations

from collections.abc import Callable

from damsonpick.protocols.platform.collaborators import EventSink
from damsonpick.protocols.platform.discovery import EndpointListUpdate, decode_update
from damsonpick.protocols.platform.dropped_input_log import DroppedInput, DroppedInputLog
from damsonpick.protocols.platform.endpoint_list import EndpointList
from damsonpick.protocols.platform.errors import EndpointListError, TransportError
from damsonpick.protocols.platform.readiness import Readiness, Source

SILENCE_TIMEOUT_S = 3.2  # discovery sends a heartbeat (an empty line) every two seconds


class EndpointListWatchReader:
    """Reads one watch of the endpoint list and passes its updates to the planner."""

    def __init__(
        self,
        endpoint_list: EndpointList,
        now_ns: Callable[[], int],
        enqueue: EventSink,
        readiness: Readiness,
        dropped_input_log: DroppedInputLog,
    ) -> None:
        """Create a reader for a new watch.

        Args:
            endpoint_list: The list to which updates are applied.
            now_ns: Returns the time of the pilot's clock.
            enqueue: Queues events for the planner.
            readiness: Is notified when the watch has sent an update.
            dropped_input_log: Records ignored entries and updates.
        """
        self._endpoint_list = endpoint_list
        self._now_ns = now_ns
        self._enqueue = enqueue
        self._readiness = readiness
        self._dropped_input_log = dropped_input_log
        self._version: int | None = None  # version of the last update of this watch; None before the first update

    def path(self) -> str:
        """Return the path of the watch. `from` is the version since which changes are requested.

        If `from` is 0, the complete list is requested.
        """
        return f"/catalog/members?watch=1&from={self._endpoint_list.watch_from()}"

    def process(self, lines: list[bytes]) -> bool:
        """Process lines in order.

        Returns:
            Whether this watch has sent an update. Heartbeats do not count.

        Raises:
            TransportError: An update is invalid, is older than the previous update of this watch, is partial and
                contains an invalid entry, or cannot be applied without the complete list (see `EndpointList.apply`). A
                change may have been missed, so the watch must be opened again, with the complete list.
        """
        for line in filter(None, lines):
            try:
                self._process_update(decode_update(line))
            except EndpointListError as error:
                self._endpoint_list.request_full_list()
                raise TransportError("endpoint_list", str(error)) from None
        if self._version is None:
            return False
        self._readiness.confirm(Source.DISCOVERY)
        return True

    def _process_update(self, update: EndpointListUpdate) -> None:
        if self._version is not None and update.version < self._version:
            raise EndpointListError(
                "version",
                f"received version {update.version}, which is older than version {self._version} of the previous "
                "update in the same watch",
            )
        self._version = update.version
        for problem in update.problems:
            self._dropped_input_log.record(DroppedInput.ENDPOINT_LIST, problem)
        event = self._endpoint_list.apply(update, self._now_ns())
        if event is None:
            reason = f"version {update.version} is older than the known version {self._endpoint_list.version}"
            self._dropped_input_log.record(DroppedInput.ENDPOINT_LIST, reason)
        else:
            self._enqueue(event)
        if update.invalid_endpoints and not update.full:
            raise EndpointListError("", "a partial update contains an invalid entry")
