"""Records the history of one pilot: digest of what is published, versions, pin, and their database.

A history that cannot be written is logged once and kept in memory, bounded; service goes on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from structlog.typing import FilteringBoundLogger

from damsonpick.state.history.database import StoredPin, VersionDatabase
from damsonpick.state.history.digest import Digest
from damsonpick.state.history.history import History, Retention
from damsonpick.state.history.pin import Pin
from damsonpick.state.history.version import Cause, Version, VersionOrigin
from damsonpick.state.published_tables import PublishedTables

RETRY_INTERVAL_NS = 1_000_000_000
MAX_PENDING_VERSIONS = 1000  # that wait for a database that cannot be written


class HistoryRecorder:
    """The one writer of the history.

    Attributes:
        history: the versions.
        pin: of the tables.
        digest: over the versions of all resources, as published.
        pending: versions that the database does not hold yet.
        retry_at: clock time, ns, from which `flush` is to be called again while versions are pending.
    """

    def __init__(
        self,
        published: PublishedTables,
        resource_versions: Callable[[Iterable[str]], Mapping[str, str]],
        database: VersionDatabase,
        retention: Retention,
        log: FilteringBoundLogger,
    ) -> None:
        """Begin without versions; `start` loads them.

        Args:
            published: the published state, read only.
            resource_versions: versions of resources by unit, of the units named.
            database: where versions and pin are kept.
            retention: how many versions are kept, and for how long.
            log: for what cannot be read or written.
        """
        self.published = published
        self.resource_versions = resource_versions
        self.database = database
        self.log = log
        self.history = History(retention)
        self.pin = Pin()
        self.digest = Digest()
        self.pending: list[Version] = []
        self.retry_at = 0
        self._digested: dict[str, str] = {}  # version by unit, as the digest has it
        self._is_failing = False

    def start(self, now: int) -> None:
        """Continue the history where it was left, with a version of its own if something has changed since."""
        loaded = self.database.load()
        if loaded.problem:
            self.log.error(
                "history_damaged", reason=loaded.problem, remedy="what is left is used; nothing else depends on it"
            )
        self.history.load(loaded.versions)
        self._restore_pin(self.database.load_pin())
        self._digested = dict(self.resource_versions(self.published.units()))
        self.digest = Digest(self._digested)
        root = self.digest.root()
        newest = self.history.newest()
        if newest is None or newest.root != root:
            self._append(now, self.history.begin(self.published, VersionOrigin(now, root, "restart")))
        else:
            self.history.resume(self.published)

    def _restore_pin(self, stored: StoredPin) -> None:
        self.pin.version = stored.version
        self.pin.until = stored.until
        self.pin.generation = stored.generation
        self.pin.caps_levels = stored.caps_levels

    def record(self, now: int, units: Iterable[str], cause: Cause, note: str = "") -> Version | None:
        """Record that a change of some units has been published; returns its version, None if nothing differs."""
        changed_units = list(units)
        for unit, resource_version in self.resource_versions(changed_units).items():
            self.digest.change(unit, self._digested.get(unit, ""), resource_version)
            self._digested[unit] = resource_version
        origin = VersionOrigin(now, self.digest.root(), cause, note)
        version = self.history.add(self.published, changed_units, origin)
        if version is not None:
            self._append(now, version)
        return version

    def _append(self, now: int, version: Version) -> None:
        self.pending.append(version)
        self.flush(now)

    def flush(self, now: int) -> None:
        """Write pending versions; where that fails it is to be tried again at `retry_at`."""
        lowest = self.history.prune(now)
        error = self._write_pending(lowest)
        if error is None:
            if self._is_failing:
                self.log.info("history_write_recovered", versions=len(self.pending))
            self._is_failing = False
            self.pending.clear()
            return
        self.retry_at = now + RETRY_INTERVAL_NS
        if not self._is_failing:
            self.log.error(
                "history_not_written",
                error=str(error),
                pending_versions=len(self.pending),
                remedy="free space or rights on the state folder; tables keep flowing meanwhile",
            )
        self._is_failing = True
        del self.pending[:-MAX_PENDING_VERSIONS]

    def _write_pending(self, lowest: int) -> Exception | None:
        """Any error is returned: the history must not stop service."""
        try:
            self.database.append(self.pending, lowest)
        except Exception as error:
            return error
        return None

    def set_pin(self, version: int, until: int, caps_levels: bool = False) -> None:
        """Hold the tables at a version until a clock time in ns.

        Args:
            version: its number.
            until: clock time, ns.
            caps_levels: admission levels may only fall meanwhile.
        """
        self.pin.set(version, until, caps_levels)
        self._save_pin()

    def release_pin(self) -> None:
        """Let all actions flow again."""
        self.pin.release()
        self._save_pin()

    def _save_pin(self) -> None:
        pin = self.pin
        error = self._write_pin(StoredPin(pin.version, pin.until, pin.generation, pin.caps_levels))
        if error is not None:
            self.log.error("pin_not_written", error=str(error), remedy="it holds until this pilot ends; free space")

    def _write_pin(self, stored: StoredPin) -> Exception | None:
        """Any error is returned: the pin holds in memory."""
        try:
            self.database.save_pin(stored)
        except Exception as error:
            return error
        return None
