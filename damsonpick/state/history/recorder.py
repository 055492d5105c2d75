"""The history of one pilot: digest of what is published, versions, pin, and their store behind an interface.

A history that cannot be written is said loudly and kept in memory, bounded; service goes on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from damsonpick.state.history.digest import Digest
from damsonpick.state.history.history import History, Version
from damsonpick.state.history.rollback import Pin
from damsonpick.state.published_tables import PublishedTables

SECOND = 1_000_000_000
MOST_PENDING = 1000  # versions that wait for a store that cannot be written


class Store(Protocol):
    """What keeps versions (see store.VersionStore)."""

    def load(self) -> tuple[list[Version], str]: ...
    def append(self, versions: list[Version], lowest: int) -> None: ...
    def pin(self) -> tuple[int, int, int, int]: ...
    def set_pin(self, version: int, until: int, generation: int, levels: bool) -> None: ...


class HistoryRecorder:
    """Args: published; held: versions by unit, of the units named; store; keep, age: retention; log."""

    def __init__(
        self,
        published: PublishedTables,
        held: Callable[[Iterable[str]], Mapping[str, str]],
        store: Store,
        keep: int,
        age: int,
        log: Any,
    ) -> None:
        self.published, self.held, self.store, self.log = published, held, store, log
        self.history, self.pin = History(keep, age), Pin()
        self.digest, self.known = Digest(), {}
        self.pending: list[Version] = []
        self.failing, self.retry_at = False, 0

    def start(self, now: int) -> None:
        """Take up the history where it was left."""
        versions, wrong = self.store.load()
        if wrong:
            self.log.error("history_damaged", what=wrong, remedy="what is left is used; nothing else depends on it")
        self.history.start(versions)
        self.pin.version, self.pin.until, self.pin.generation, levels = self.store.pin()
        self.pin.levels = bool(levels)
        self.known = dict(self.held(self.published.units()))
        self.digest = Digest(self.known)
        last = self.history.newest()
        if last is None or last.root != self.digest.root():
            self._keep(now, self.history.begin(now, self.published, self.digest.root(), "restart"))
        else:
            self.history.resume(self.published)

    def note(self, now: int, units: Iterable[str], cause: str, words: str = "") -> Version | None:
        """A change has been published."""
        units = list(units)
        for unit, version in self.held(units).items():
            self.digest.change(unit, self.known.get(unit, ""), version)
            self.known[unit] = version
        made = self.history.add(now, self.published, units, self.digest.root(), cause, words)
        if made is not None:
            self._keep(now, made)
        return made

    def _keep(self, now: int, version: Version) -> None:
        self.pending.append(version)
        self.write(now)

    def write(self, now: int) -> None:
        """Put what waits on disk; where that fails it is tried again a second later."""
        lowest = self.history.prune(now)
        try:
            self.store.append(self.pending, lowest)
        except Exception as error:
            self.retry_at = now + SECOND
            if not self.failing:
                self.log.error(
                    "history_not_written",
                    error=str(error),
                    waiting=len(self.pending),
                    remedy="free space or rights on the state folder; tables keep flowing meanwhile",
                )
            self.failing = True
            del self.pending[:-MOST_PENDING]
            return
        if self.failing:
            self.log.info("history_caught_up", versions=len(self.pending))
        self.failing = False
        self.pending.clear()

    def set_pin(self, version: int, until: int, levels: bool = False) -> None:
        """Hold the tables at a version until a time in ns; `levels`: what is let in may only fall meanwhile."""
        self.pin.set(version, until, levels)
        self._write_pin()

    def release(self) -> None:
        self.pin.release()
        self._write_pin()

    def _write_pin(self) -> None:
        try:
            self.store.set_pin(self.pin.version, self.pin.until, self.pin.generation, self.pin.levels)
        except Exception as error:
            self.log.error("pin_not_written", error=str(error), remedy="it holds until this pilot ends; free space")
