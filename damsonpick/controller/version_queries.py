"""What `damsonpick versions` asks of a running pilot, answered from engine, history and hub."""

from __future__ import annotations

from typing import Any

from damsonpick.controller.engine import Engine
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.settings.model import PilotSettings
from damsonpick.state.history.recorder import HistoryRecorder

MOST = 1000  # versions in one answer


class Questions:
    """Args: engine, keeper, hub, settings of one pilot."""

    def __init__(
        self, engine: Engine, recorder: HistoryRecorder, session_manager: SessionManager, settings: PilotSettings
    ) -> None:
        self.engine, self.recorder, self.session_manager, self.settings = engine, recorder, session_manager, settings

    def answer(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        """One answer.

        Raises:
            ValueError, KeyError: the request cannot be carried out; the text says why.
        """
        what = request.get("do", "list")
        if what not in ("list", "show", "diff", "who", "rollback", "pin", "release"):
            raise ValueError(f"unknown order {what!r}; use list, show, diff, who, rollback, pin or release")
        return getattr(self, f"_{what}")(now, request)

    def _state(self, now: int) -> dict[str, Any]:
        pin, newest = self.recorder.pin, self.recorder.history.newest()
        return {
            "newest": newest.number,
            "root": newest.root,
            "generation": pin.generation,
            "pinned": pin.version if pin.is_active(now) else None,
            "pin_left_s": round((pin.until - now) / 1e9, 1) if pin.is_active(now) else 0.0,
            "waiting_for_disk": len(self.recorder.pending),
        }

    def _list(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        most = min(MOST, max(1, int(request.get("most", 20))))
        chosen = list(self.recorder.history.versions.values())[-most:]
        return self._state(now) | {
            "kept": len(self.recorder.history.versions),
            "versions": [v.summary() for v in reversed(chosen)],
        }

    def _show(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        version = self.recorder.history.find(str(request["version"]))
        return version.summary() | {
            "difference": version.difference,
            "state": self.recorder.history.state_at(version.number),
        }

    def _diff(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        history = self.recorder.history
        one, other = history.find(str(request["one"])), history.find(str(request["other"]))
        return {
            "one": one.number,
            "other": other.number,
            "same": one.root == other.root,
            "difference": history.difference(one.number, other.number),
        }

    def _who(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        history = self.recorder.history
        asked = history.find(str(request["version"])) if request.get("version") else history.newest()
        rows = [row | {"holds": row["root"] == asked.root} for row in self.session_manager.holders(now, history.roots)]
        return {
            "version": asked.number,
            "root": asked.root,
            "gateways": rows,
            "stopped": dict(self.session_manager.catalogue.stopped),
        }

    def _until(self, now: int, request: dict[str, Any]) -> int:
        """When a pin ends, ns."""
        span = request.get("pin_ns")
        return now + (self.settings.versions.pin_time if span is None else int(span))

    def _rollback(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        zones, hold = request.get("stages") or [], int(request.get("hold_ns") or 0)
        known = self.settings.pilot.zones
        if unknown := [z for z in zones if z not in known]:
            raise ValueError(f"zone {unknown[0]}: there are {', '.join(known)}")
        order = [*zones, *(z for z in known if z not in zones)] if zones else []
        return self.engine.roll_back(
            now,
            str(request["version"]),
            self._until(now, request),
            request.get("expected"),
            bool(request.get("dry")),
            {z: k * hold for k, z in enumerate(order)},
            bool(request.get("levels")),
        )

    def _pin(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        """Hold the tables as they are."""
        self.recorder.pin.check_generation(request.get("expected"))
        self.recorder.set_pin(self.recorder.history.newest().number, self._until(now, request))
        return self._state(now)

    def _release(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        self.recorder.pin.check_generation(request.get("expected"))
        self.recorder.release_pin()
        return self._state(now)
