"""Pin: keeps the published tables at a version until a given time, and filters the planner's actions. Sans I/O.

While the tables are pinned, the planner's changes of tables are held back, except those that safety requires. These are
the removal of an unroutable endpoint's entry if the slice has another routable entry, and an entry for a slice that has
no routable one, or the order that clears its table before it gets another sole owner. Withdrawals and admission levels
pass. If levels were rolled back too, actions that only raise levels are held back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.history.errors import GenerationMismatchError


class FilteredActions(NamedTuple):
    """Actions that pass while the tables are pinned, in their order, and the number of actions held back."""

    passed: list[api.Action]
    held_back_count: int


class Pin:
    """State of the pin of the tables.

    Attributes:
        version: Number of the pinned version; 0 before the first pin and after a release. An expired pin keeps it.
        until: Clock time when the pin ends, ns; 0 before the first pin and after a release.
        generation: Incremented by each pin and release. If two operators act at the same time, the second change is
            rejected, provided that its request states the generation that the operator saw.
        caps_levels: Whether admission levels were rolled back too. Actions that only raise them are then held back.
    """

    def __init__(self) -> None:
        """Create a pin that is not active."""
        self.version = 0
        self.until = 0
        self.generation = 0
        self.caps_levels = False

    def check_generation(self, expected: int | None) -> None:
        """Check the generation before an operator's change.

        Args:
            expected: Generation that the operator saw, or None to accept any.

        Raises:
            GenerationMismatchError: The pin has been set or released since.
        """
        if expected is not None and expected != self.generation:
            raise GenerationMismatchError(expected, self.generation)

    def set(self, version: int, until: int, caps_levels: bool = False) -> None:
        """Pin the tables at a version until a clock time in ns."""
        self.version = version
        self.until = until
        self.caps_levels = caps_levels
        self.generation += 1

    def release(self) -> None:
        """End the pin, so that all actions pass again."""
        self.version = 0
        self.until = 0
        self.caps_levels = False
        self.generation += 1

    def is_active(self, now: int) -> bool:
        """Return whether the tables are pinned at a clock time in ns."""
        return self.until > now

    def filter_actions(
        self,
        actions: Iterable[api.Action],
        tables: Mapping[int, Mapping[str, float]],
        is_unroutable: Callable[[str], bool],
        admitted_share: Callable[[int | None, int], float],
        class_count: int = 0,
    ) -> FilteredActions:
        """Separate the actions that pass while the tables are pinned from those that are held back.

        Args:
            actions: Actions of the planner, in order. Each is checked against the tables after the preceding ones.
            tables: Published weights, by slice and endpoint; not modified.
            is_unroutable: Returns whether requests must not be sent to an endpoint now.
            admitted_share: Returns the share admitted now, 0 to 1, by table (None for the fleet) and class index.
            class_count: Number of request classes, for an action that applies to all of them.
        """
        passed: list[api.Action] = []
        held_back_count = 0
        tables_after: dict[int, dict[str, float]] = {}
        for action in actions:
            if isinstance(action, api.SetEntry):
                entries = tables_after.setdefault(action.table, dict(tables.get(action.table, {})))
                passes = _is_required_for_safety(action, entries, is_unroutable)
                if passes:
                    _apply(action, entries)
            elif isinstance(action, api.ClearTable):
                entries = tables_after.setdefault(action.table, dict(tables.get(action.table, {})))
                passes = all(is_unroutable(name) for name in entries)
                if passes:
                    entries.clear()
            else:
                passes = not self._holds_back(action, admitted_share, class_count)
            if passes:
                passed.append(action)
            else:
                held_back_count += 1
        return FilteredActions(passed, held_back_count)

    def _holds_back(
        self, action: api.Action, admitted_share: Callable[[int | None, int], float], class_count: int
    ) -> bool:
        """Return whether an action that changes no table is held back: it raises capped levels and lowers none."""
        if not (self.caps_levels and isinstance(action, api.SetAdmission)):
            return False
        shares = [admitted_share(action.table, index) for index in action.classes or range(class_count)]
        lowers_any = any(action.level < share for share in shares)
        raises_any = any(action.level > share for share in shares)
        return raises_any and not lowers_any


def _is_required_for_safety(
    action: api.SetEntry, entries: Mapping[str, float], is_unroutable: Callable[[str], bool]
) -> bool:
    """Return whether safety requires a change of one entry.

    The entry of an unroutable endpoint must be removed if the slice has a routable entry. An entry for a routable
    endpoint must be added if the slice has no routable entry.
    """
    has_other_routable = any(name != action.endpoint and not is_unroutable(name) for name in entries)
    if action.weight > 0:
        return not has_other_routable and not is_unroutable(action.endpoint) and action.endpoint not in entries
    return is_unroutable(action.endpoint) and has_other_routable


def _apply(action: api.SetEntry, entries: dict[str, float]) -> None:
    if action.weight > 0:
        entries[action.endpoint] = action.weight
    else:
        entries.pop(action.endpoint, None)
