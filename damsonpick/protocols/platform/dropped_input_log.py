"""Logs dropped input with a limited number of lines."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from damsonpick.protocols.platform.collaborators import Logger

MAX_UNSAMPLED_LINES = 30  # for each kind of input; after that, every SAMPLING_INTERVAL-th case is logged
SAMPLING_INTERVAL = 100
MAX_REASON_CHARS = 200


class DroppedInput(StrEnum):
    """Kinds of input that can be dropped."""

    REPORT = "report"
    CONNECTION = "connection"
    ACCEPT = "accept"
    REGISTRY_EVENT = "registry_event"
    ENDPOINT_LIST = "endpoint_list"


class DroppedInputLog:
    """Counts dropped input by kind, and logs the first cases of each kind and a sample of the later cases."""

    def __init__(self, log: Logger) -> None:
        """Create a log with all counts at zero."""
        self._log = log
        self._counts: Counter[DroppedInput] = Counter()

    def record(self, kind: DroppedInput, reason: str) -> None:
        """Count one dropped input, and log it unless the sampling omits it."""
        self._counts[kind] += 1
        count = self._counts[kind]
        if count <= MAX_UNSAMPLED_LINES or count % SAMPLING_INTERVAL == 0:
            self._log.warning("input_dropped", kind=kind, reason=reason[:MAX_REASON_CHARS], count=count)
