"""Logs input that was dropped, in bounded number."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from damsonpick.protocols.platform.collaborators import Logger

MAX_LINES = 30  # of a kind; after them one in LINE_INTERVAL is logged
LINE_INTERVAL = 100
MAX_REASON = 200  # characters


class DroppedInput(StrEnum):
    """Kinds of input that can be dropped."""

    REPORT = "report"
    CONNECTION = "connection"
    ACCEPT = "accept"
    REGISTRY_EVENT = "registry_event"
    ENDPOINT_LIST = "endpoint_list"


class DroppedInputLog:
    """Counts dropped input by kind and logs the first cases and a sample of the others."""

    def __init__(self, log: Logger) -> None:
        """Start with no case."""
        self._log = log
        self._counts: Counter[DroppedInput] = Counter()

    def record(self, kind: DroppedInput, reason: str) -> None:
        """Note that input was dropped."""
        self._counts[kind] += 1
        count = self._counts[kind]
        if count <= MAX_LINES or count % LINE_INTERVAL == 0:
            self._log.warning("input_dropped", kind=kind, reason=reason[:MAX_REASON], count=count)
