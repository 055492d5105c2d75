"""Handles `damsonpick versions` requests. The keys of requests and replies are part of the command's interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from damsonpick.controller.control_requests import (
    DiffVersions,
    InvalidRequestError,
    ListVersions,
    Pin,
    ReleasePin,
    Rollback,
    ShowVersion,
    VersionsRequest,
    WhoHolds,
)
from damsonpick.controller.control_socket import Reply
from damsonpick.controller.engine import Engine
from damsonpick.controller.table_pin import RollbackRequest
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.settings.model import PilotSettings
from damsonpick.state.history.recorder import HistoryRecorder

MAX_VERSIONS = 1000  # most versions in one reply


class UnknownZoneError(InvalidRequestError):
    """A request names a zone that does not exist.

    Attributes:
        zone: Name of the zone in the request.
    """

    def __init__(self, zone: str, known: Iterable[str]) -> None:
        """Build a message that lists the known zones."""
        super().__init__(f"zone {zone}", f"does not exist; the zones are {', '.join(known)}")
        self.zone = zone


class VersionQueries:
    """Answers queries about versions of the tables and executes operations on them.

    Args:
        engine: The decision loop.
        recorder: Records the history of the tables and stores the pin.
        session_manager: Manages the connected clients.
        settings: Settings of the controller.
    """

    def __init__(
        self, engine: Engine, recorder: HistoryRecorder, session_manager: SessionManager, settings: PilotSettings
    ) -> None:
        """Map each request type to its handler."""
        self.engine = engine
        self.recorder = recorder
        self.session_manager = session_manager
        self.settings = settings
        self.handlers: dict[type[VersionsRequest], Callable[[int, Any], Reply]] = {
            ListVersions: self._list,
            ShowVersion: self._show,
            DiffVersions: self._diff,
            WhoHolds: self._who,
            Rollback: self._rollback,
            Pin: self._pin,
            ReleasePin: self._release,
        }

    def answer(self, now: int, request: VersionsRequest) -> Reply:
        """Answer one request.

        Raises:
            ValueError, KeyError: The request cannot be executed. The message gives the reason.
        """
        return self.handlers[type(request)](now, request)

    def _state(self, now: int) -> Reply:
        """Return the newest version and the state of the pin."""
        pin, newest = self.recorder.pin, self.recorder.history.newest()
        pinned = pin.is_active(now)
        return {
            "newest": newest.number,
            "root": newest.root,
            "generation": pin.generation,
            "pinned": pin.version if pinned else None,
            "pin_left_s": round((pin.until - now) / 1e9, 1) if pinned else 0.0,
            "waiting_for_disk": len(self.recorder.pending),
        }

    # -- queries

    def _list(self, now: int, request: ListVersions) -> Reply:
        most = min(MAX_VERSIONS, max(1, request.most))
        kept = list(self.recorder.history.versions.values())
        newest_first = reversed(kept[-most:])
        return self._state(now) | {"kept": len(kept), "versions": [version.summary() for version in newest_first]}

    def _show(self, _now: int, request: ShowVersion) -> Reply:
        history = self.recorder.history
        version = history.find(str(request.version))
        return version.summary() | {"difference": version.difference, "state": history.state_at(version.number)}

    def _diff(self, _now: int, request: DiffVersions) -> Reply:
        history = self.recorder.history
        one, other = history.find(str(request.one)), history.find(str(request.other))
        return {
            "one": one.number,
            "other": other.number,
            "same": one.root == other.root,
            "difference": history.difference(one.number, other.number),
        }

    def _who(self, now: int, request: WhoHolds) -> Reply:
        history = self.recorder.history
        asked = history.find(str(request.version)) if request.version else history.newest()
        rows = self.session_manager.client_versions(now, history.roots)
        return {
            "version": asked.number,
            "root": asked.root,
            "gateways": [row | {"holds": row["root"] == asked.root} for row in rows],
            "stopped": dict(self.session_manager.catalogue.stopped),
        }

    # -- operations

    def _rollback(self, now: int, request: Rollback) -> Reply:
        rollback = RollbackRequest(
            version=str(request.version),
            pinned_until=self._pin_end(now, request.pin_ns),
            expected_generation=request.expected,
            dry_run=request.dry,
            delay_by_zone=self._delay_by_zone(request.stages or (), request.hold_ns or 0),
            restore_admission=request.levels,
        )
        return self.engine.roll_back(now, rollback)

    def _pin(self, now: int, request: Pin) -> Reply:
        """Pin the current tables."""
        self.recorder.pin.check_generation(request.expected)
        self.recorder.set_pin(self.recorder.history.newest().number, self._pin_end(now, request.pin_ns))
        return self._state(now)

    def _release(self, now: int, request: ReleasePin) -> Reply:
        self.recorder.pin.check_generation(request.expected)
        self.recorder.release_pin()
        return self._state(now)

    def _pin_end(self, now: int, duration_ns: int | None) -> int:
        """Return the end of a requested pin in ns. If `duration_ns` is None, the duration in the settings applies."""
        return now + (self.settings.versions.pin_time if duration_ns is None else duration_ns)

    def _delay_by_zone(self, first_zones: Sequence[str], hold_ns: int) -> dict[str, int]:
        """Return the delay in ns for the clients of each zone, or an empty dict if `first_zones` is empty.

        The delays are successive multiples of `hold_ns`, from 0, for `first_zones` in their order and then for the
        other zones in the order of the settings.

        Raises:
            UnknownZoneError: A zone in `first_zones` does not exist.
        """
        known = self.settings.pilot.zones
        for zone in first_zones:
            if zone not in known:
                raise UnknownZoneError(zone, known)
        if not first_zones:
            return {}
        zones = [*first_zones, *(zone for zone in known if zone not in first_zones)]
        return {zone: position * hold_ns for position, zone in enumerate(zones)}
