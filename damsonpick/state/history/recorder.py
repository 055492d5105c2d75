"""Records the history of one pilot: the digest of the published state, the versions, the pin, and their database.

If the history cannot be written, the first of consecutive failures is logged, and a bounded number of versions waits in
memory until a write succeeds. The pilot continues to serve.
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

RETRY_INTERVAL_NS = 1_000_000_000  # time after which a failed write is repeated
MAX_PENDING_VERSIONS = 1000  # maximum number of versions that wait in memory while the database cannot be written


class HistoryRecorder:
    """The only writer of the history.

    Attributes:
        history: Versions in memory.
        pin: Pin of the tables.
        digest: Digest over the versions of all published resources.
        pending: Versions that are not in the database yet.
        retry_at: Clock time from which `flush` must be called again while versions are pending, ns.
    """

    def __init__(
        self,
        published: PublishedTables,
        resource_versions: Callable[[Iterable[str]], Mapping[str, str]],
        database: VersionDatabase,
        retention: Retention,
        log: FilteringBoundLogger,
    ) -> None:
        """Create a recorder without versions; `start` loads them.

        Args:
            published: Published state; it is only read.
            resource_versions: Returns the versions of the resources of given units, by unit.
            database: Persistent storage of versions and pin.
            retention: Limits on the number and age of kept versions.
            log: Logger for failures to read or write.
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
        self._digested: dict[str, str] = {}  # resource version by unit that `digest` includes
        self._is_failing = False

    def start(self, now: int) -> None:
        """Load the history and continue it; add a version if the published state has changed since the newest one."""
        loaded = self.database.load()
        if loaded.problem:
            self.log.error(
                "history_damaged",
                reason=loaded.problem,
                remedy="the remaining versions are used; nothing else depends on the history",
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
        """Record a published change of some units; return its version, or None if no value differs."""
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
        """Write the pending versions. If the write fails, the caller must call `flush` again at `retry_at`."""
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
                remedy="check free space and permissions of the state folder; tables are still published meanwhile",
            )
        self._is_failing = True
        del self.pending[:-MAX_PENDING_VERSIONS]

    def _write_pending(self, lowest: int) -> Exception | None:
        """Write the pending versions. An error is returned, not raised, since the history must not stop the pilot."""
        try:
            self.database.append(self.pending, lowest)
        except Exception as error:
            return error
        return None

    def set_pin(self, version: int, until: int, caps_levels: bool = False) -> None:
        """Pin the tables at a version until a clock time, and save the pin. A failure to save it is only logged.

        Args:
            version: Number of the version.
            until: Clock time when the pin ends, ns.
            caps_levels: Whether actions that only raise admission levels are held back until the pin ends.
        """
        self.pin.set(version, until, caps_levels)
        self._save_pin()

    def release_pin(self) -> None:
        """End the pin, so that all actions pass again, and save this change. A failure to save it is only logged."""
        self.pin.release()
        self._save_pin()

    def _save_pin(self) -> None:
        pin = self.pin
        error = self._write_pin(StoredPin(pin.version, pin.until, pin.generation, pin.caps_levels))
        if error is not None:
            self.log.error(
                "pin_not_written",
                error=str(error),
                remedy="this change of the pin is not saved and applies at most until this pilot ends; free disk space",
            )

    def _write_pin(self, stored: StoredPin) -> Exception | None:
        """Write the pin or its release; return any error instead of raising it, as the change applies in memory."""
        try:
            self.database.save_pin(stored)
        except Exception as error:
            return error
        return None
