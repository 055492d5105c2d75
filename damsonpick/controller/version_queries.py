"""What `damsonpick versions` asks of a running pilot, answered from engine, history and hub."""

from __future__ import annotations

from typing import Any

from damsonpick.controller.engine import Engine
from damsonpick.protocols.shared.session_manager import Hub
from damsonpick.settings.model import PilotSettings
from damsonpick.state.history.recorder import Keeper

MOST = 1000  # versions in one answer


class Questions:
    """Args: engine, keeper, hub, settings of one pilot."""

    def __init__(self, engine: Engine, keeper: Keeper, hub: Hub, settings: PilotSettings) -> None:
        self.engine, self.keeper, self.hub, self.settings = engine, keeper, hub, settings

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
        pin, newest = self.keeper.pin, self.keeper.history.newest()
        return {
            "newest": newest.number,
            "root": newest.root,
            "generation": pin.generation,
            "pinned": pin.version if pin.holds(now) else None,
            "pin_left_s": round((pin.until - now) / 1e9, 1) if pin.holds(now) else 0.0,
            "waiting_for_disk": len(self.keeper.pending),
        }

    def _list(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        most = min(MOST, max(1, int(request.get("most", 20))))
        chosen = list(self.keeper.history.versions.values())[-most:]
        return self._state(now) | {
            "kept": len(self.keeper.history.versions),
            "versions": [v.brief() for v in reversed(chosen)],
        }

    def _show(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        version = self.keeper.history.find(str(request["version"]))
        return version.brief() | {"difference": version.difference, "state": self.keeper.history.at(version.number)}

    def _diff(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        history = self.keeper.history
        one, other = history.find(str(request["one"])), history.find(str(request["other"]))
        return {
            "one": one.number,
            "other": other.number,
            "same": one.root == other.root,
            "difference": history.difference(one.number, other.number),
        }

    def _who(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        history = self.keeper.history
        asked = history.find(str(request["version"])) if request.get("version") else history.newest()
        rows = [row | {"holds": row["root"] == asked.root} for row in self.hub.holders(now, history.roots)]
        return {
            "version": asked.number,
            "root": asked.root,
            "gateways": rows,
            "stopped": dict(self.hub.catalogue.stopped),
        }

    def _until(self, now: int, request: dict[str, Any]) -> int:
        """When a pin ends, ns."""
        span = request.get("pin_ns")
        return now + (self.settings.versions.pin if span is None else int(span))

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
        self.keeper.pin.check(request.get("expected"))
        self.keeper.set_pin(self.keeper.history.newest().number, self._until(now, request))
        return self._state(now)

    def _release(self, now: int, request: dict[str, Any]) -> dict[str, Any]:
        self.keeper.pin.check(request.get("expected"))
        self.keeper.release()
        return self._state(now)
