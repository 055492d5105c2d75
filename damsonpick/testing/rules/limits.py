"""The bounds that the rules check against."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, NamedTuple

Effect = Literal["read_like", "idempotency_key", "non_idempotent"]
KeyScope = Literal["all", "zone", "cell"]


class EffectRule(NamedTuple):
    """Whether a request of a class may run more than once.

    Attributes:
        effect: what a second run does.
        key_scope: where an idempotency key is known.
        key_window_ns: how long an idempotency key is remembered.
    """

    effect: Effect
    key_scope: KeyScope
    key_window_ns: int


UNKNOWN_CLASS = EffectRule("read_like", "all", 0)


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the rules; times in ns of the scenario's clock.

    Attributes:
        slice_count: slices that each gateway needs a table for.
        empty_table_ns: longest time that a slice may have no usable entry.
        drain_grace_ns: time after which no request may go to a draining or departed server.
        warm_up_ns: time that a started server is cold.
        overload_multiple: offered work over present capacity at which a cold server falls over.
        overload_window_ns: period over which that work is summed.
        queued_entries: most table entries that may wait to be sent.
        message_overhead_entries: what a message costs beside its entries, in entries.
        messages_per_window: most messages to one gateway in a window; 0: no bound.
        message_window_ns: length of that window.
        effect_rules: by request class.
    """

    slice_count: int
    empty_table_ns: int
    drain_grace_ns: int
    warm_up_ns: int
    overload_multiple: float
    overload_window_ns: int
    queued_entries: float
    message_overhead_entries: float
    messages_per_window: int
    message_window_ns: int
    effect_rules: dict[str, EffectRule]

    def effect_rule(self, request_class: str) -> EffectRule:
        """The rule of a request class; unknown classes may run any number of times."""
        return self.effect_rules.get(request_class, UNKNOWN_CLASS)
