"""Reads discovery's watch of the endpoint list, from the version that is known."""

from __future__ import annotations

from collections.abc import Callable

from damsonpick.protocols.platform.collaborators import EventSink
from damsonpick.protocols.platform.discovery import EndpointListUpdate, decode_update
from damsonpick.protocols.platform.dropped_input_log import DroppedInput, DroppedInputLog
from damsonpick.protocols.platform.endpoint_list import EndpointList
from damsonpick.protocols.platform.errors import EndpointListError, TransportError
from damsonpick.protocols.platform.readiness import Readiness, Source

SILENCE_TIMEOUT_S = 3.2  # a heartbeat, which is an empty line, is due every two seconds


class EndpointListWatchReader:
    """Reads one watch of the endpoint list."""

    def __init__(
        self,
        endpoint_list: EndpointList,
        now_ns: Callable[[], int],
        enqueue: EventSink,
        readiness: Readiness,
        dropped: DroppedInputLog,
    ) -> None:
        """Start before the first line.

        Args:
            endpoint_list: the known list.
            now_ns: returns the time of the pilot's clock.
            enqueue: takes events for the planner.
            readiness: waits for the first update.
            dropped: for entries and updates that are not used.
        """
        self._endpoint_list = endpoint_list
        self._now_ns = now_ns
        self._enqueue = enqueue
        self._readiness = readiness
        self._dropped = dropped
        self._version: int | None = None  # of this watch's last update

    def path(self) -> str:
        """Return the path of the watch, with the version from which changes are wanted."""
        return f"/catalog/members?watch=1&from={self._endpoint_list.watch_from()}"

    def process(self, lines: list[bytes]) -> bool:
        """Process lines in order; return True once the watch has sent an update; heartbeats alone do not count.

        Raises:
            TransportError: a line is no usable update, and a change may be lost.
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
            raise EndpointListError("version", f"{update.version} after {self._version}")
        self._version = update.version
        for problem in update.problems:
            self._dropped.record(DroppedInput.ENDPOINT_LIST, problem)
        event = self._endpoint_list.apply(update, self._now_ns())
        if event is None:
            reason = f"version {update.version}: {self._endpoint_list.version} is known"
            self._dropped.record(DroppedInput.ENDPOINT_LIST, reason)
        else:
            self._enqueue(event)
        if update.invalid_endpoints and not update.full:
            raise EndpointListError("", "a change that cannot be read")
