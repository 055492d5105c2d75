"""The pin: published tables held at a version until a time, and which actions flow meanwhile. Sans I/O.

While pinned, the planner's moves of weight are held back. What safety needs flows: withdrawals, levels, the removal of
entries of unroutable endpoints, and an entry for a slice that has no routable one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.history.errors import GenerationMismatchError


class FilteredActions(NamedTuple):
    """Actions that flow while pinned, in their order, and how many were held back."""

    passed: list[api.Action]
    held_back_count: int


class Pin:
    """Whether, and until when, the tables are held.

    Attributes:
        version: that they are held at; 0: none.
        until: clock time, ns; 0: not pinned.
        generation: grows with each pin and release, so that of two operators who act at once the second is refused.
        caps_levels: admission levels were rolled back as well; until the pin ends they may fall and not rise.
    """

    def __init__(self) -> None:
        """Begin unpinned."""
        self.version = 0
        self.until = 0
        self.generation = 0
        self.caps_levels = False

    def check_generation(self, expected: int | None) -> None:
        """Compare before an operator's change.

        Args:
            expected: the generation that the operator saw; None: any.

        Raises:
            GenerationMismatchError: somebody else has acted since.
        """
        if expected is not None and expected != self.generation:
            raise GenerationMismatchError(expected, self.generation)

    def set(self, version: int, until: int, caps_levels: bool = False) -> None:
        """Hold the tables at a version until a clock time in ns."""
        self.version = version
        self.until = until
        self.caps_levels = caps_levels
        self.generation += 1

    def release(self) -> None:
        """Let all actions flow again."""
        self.version = 0
        self.until = 0
        self.caps_levels = False
        self.generation += 1

    def is_active(self, now: int) -> bool:
        """Whether the tables are held at a clock time in ns."""
        return self.until > now

    def filter_actions(
        self,
        actions: Iterable[api.Action],
        tables: Mapping[int, Mapping[str, float]],
        is_unroutable: Callable[[str], bool],
        admitted_share: Callable[[int | None, int], float],
        class_count: int = 0,
    ) -> FilteredActions:
        """Separate actions that flow while pinned from those that are held back.

        Args:
            actions: of the planner, in order. Each is judged by the tables as the ones before it leave them.
            tables: the published weights, by slice and endpoint; not changed.
            is_unroutable: whether requests may not be sent to an endpoint now.
            admitted_share: admitted now, 0 to 1, by table (None: the fleet's) and class index.
            class_count: of the request classes, for an action that is for all of them.
        """
        passed: list[api.Action] = []
        held_back_count = 0
        tables_after: dict[int, dict[str, float]] = {}
        for action in actions:
            if isinstance(action, api.SetEntry):
                entries = tables_after.setdefault(action.table, dict(tables.get(action.table, {})))
                flows = _is_needed(action, entries, is_unroutable)
                if flows:
                    _apply(action, entries)
            else:
                flows = not self._holds_back(action, admitted_share, class_count)
            if flows:
                passed.append(action)
            else:
                held_back_count += 1
        return FilteredActions(passed, held_back_count)

    def _holds_back(
        self, action: api.Action, admitted_share: Callable[[int | None, int], float], class_count: int
    ) -> bool:
        """Whether an action other than of an entry must wait: one that clears a table, or only raises capped levels."""
        if isinstance(action, api.ClearTable):
            return True
        if not (self.caps_levels and isinstance(action, api.SetAdmission)):
            return False
        shares = [admitted_share(action.table, index) for index in action.classes or range(class_count)]
        lowers_any = any(action.level < share for share in shares)
        raises_any = any(action.level > share for share in shares)
        return raises_any and not lowers_any


def _is_needed(action: api.SetEntry, entries: Mapping[str, float], is_unroutable: Callable[[str], bool]) -> bool:
    """Whether safety needs a change of one entry.

    A removal is needed of an unroutable endpoint, if the slice has another routable entry. An entry is needed of a
    routable endpoint, if the slice has no other routable entry.
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
