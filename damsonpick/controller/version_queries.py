"""What `damsonpick versions` asks of a running controller. Keys of requests and replies are the command's interface."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from damsonpick.controller.control_socket import Reply, Request, UnknownOrderError
from damsonpick.controller.engine import Engine
from damsonpick.controller.table_pin import RollbackRequest
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.settings.model import PilotSettings
from damsonpick.state.history.recorder import HistoryRecorder

MAX_VERSIONS = 1000  # in one reply
DEFAULT_VERSIONS = 20


class UnknownZoneError(ValueError):
    """A request names a zone that there is not.

    Attributes:
        zone: as the request names it.
    """

    def __init__(self, zone: str, known: Iterable[str]) -> None:
        """Name the zones there are as the remedy."""
        super().__init__(f"zone {zone}: there are {', '.join(known)}")
        self.zone = zone


class VersionQueries:
    """Answers questions about the versions of the tables, and carries out orders on them.

    Args:
        engine: the decision loop.
        recorder: the history of the tables.
        session_manager: the connected clients.
        settings: of the controller.
    """

    def __init__(
        self, engine: Engine, recorder: HistoryRecorder, session_manager: SessionManager, settings: PilotSettings
    ) -> None:
        """Map the orders of the command to what carries them out."""
        self.engine = engine
        self.recorder = recorder
        self.session_manager = session_manager
        self.settings = settings
        self.handlers: dict[str, Callable[[int, Request], Reply]] = {
            "list": self._list,
            "show": self._show,
            "diff": self._diff,
            "who": self._who,
            "rollback": self._rollback,
            "pin": self._pin,
            "release": self._release,
        }

    def answer(self, now: int, request: Request) -> Reply:
        """Answer one request.

        Raises:
            ValueError, KeyError: the request cannot be carried out; the text says why. An order that there is not is an
                `UnknownOrderError`.
        """
        name = request.get("do", "list")
        handler = self.handlers.get(name)
        if handler is None:
            raise UnknownOrderError(name, self.handlers)
        return handler(now, request)

    def _state(self, now: int) -> Reply:
        """The newest version and the pin."""
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

    # -- questions

    def _list(self, now: int, request: Request) -> Reply:
        most = int(request.get("most", DEFAULT_VERSIONS))
        most = min(MAX_VERSIONS, max(1, most))
        kept = list(self.recorder.history.versions.values())
        newest_first = reversed(kept[-most:])
        return self._state(now) | {"kept": len(kept), "versions": [version.summary() for version in newest_first]}

    def _show(self, _now: int, request: Request) -> Reply:
        history = self.recorder.history
        version = history.find(str(request["version"]))
        return version.summary() | {"difference": version.difference, "state": history.state_at(version.number)}

    def _diff(self, _now: int, request: Request) -> Reply:
        history = self.recorder.history
        one, other = history.find(str(request["one"])), history.find(str(request["other"]))
        return {
            "one": one.number,
            "other": other.number,
            "same": one.root == other.root,
            "difference": history.difference(one.number, other.number),
        }

    def _who(self, now: int, request: Request) -> Reply:
        history = self.recorder.history
        asked = history.find(str(request["version"])) if request.get("version") else history.newest()
        rows = self.session_manager.held_versions(now, history.roots)
        return {
            "version": asked.number,
            "root": asked.root,
            "gateways": [row | {"holds": row["root"] == asked.root} for row in rows],
            "stopped": dict(self.session_manager.catalogue.stopped),
        }

    # -- orders

    def _rollback(self, now: int, request: Request) -> Reply:
        rollback = RollbackRequest(
            version=str(request["version"]),
            pinned_until=self._pin_end(now, request),
            expected_generation=request.get("expected"),
            dry_run=bool(request.get("dry")),
            delay_by_zone=self._delay_by_zone(request),
            restore_admission=bool(request.get("levels")),
        )
        return self.engine.roll_back(now, rollback)

    def _pin(self, now: int, request: Request) -> Reply:
        """Pin the tables as they are."""
        self.recorder.pin.check_generation(request.get("expected"))
        self.recorder.set_pin(self.recorder.history.newest().number, self._pin_end(now, request))
        return self._state(now)

    def _release(self, now: int, request: Request) -> Reply:
        self.recorder.pin.check_generation(request.get("expected"))
        self.recorder.release_pin()
        return self._state(now)

    def _pin_end(self, now: int, request: Request) -> int:
        """When a pin that is asked for ends, ns."""
        duration = request.get("pin_ns")
        return now + (self.settings.versions.pin_time if duration is None else int(duration))

    def _delay_by_zone(self, request: Request) -> dict[str, int]:
        """ns that clients of a zone wait: the zones named in their order, then all others.

        Raises:
            UnknownZoneError: there is no such zone.
        """
        first_zones = request.get("stages") or []
        hold = int(request.get("hold_ns") or 0)
        known = self.settings.pilot.zones
        for zone in first_zones:
            if zone not in known:
                raise UnknownZoneError(zone, known)
        if not first_zones:
            return {}
        zones = [*first_zones, *(zone for zone in known if zone not in first_zones)]
        return {zone: position * hold for position, zone in enumerate(zones)}
