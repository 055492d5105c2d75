"""Bounds that the rule checks use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, NamedTuple

Effect = Literal["read_like", "idempotency_key", "non_idempotent"]
KeyScope = Literal["all", "zone", "cell"]


class EffectRule(NamedTuple):
    """Conditions under which a request of a class may run more than once.

    Attributes:
        effect: Side effect of the requests. A `read_like` request has none. An `idempotency_key` request takes effect
            once within its key's scope and window. A `non_idempotent` request takes effect on each run.
        key_scope: Which servers share their stored idempotency keys: all servers, or the servers of one zone or cell.
        key_window_ns: Time for which the servers store an idempotency key.
    """

    effect: Effect
    key_scope: KeyScope
    key_window_ns: int


UNKNOWN_CLASS = EffectRule("read_like", "all", 0)


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the rules. Times are in ns of the scenario's clock.

    Attributes:
        slice_count: Number of slices. Each gateway needs a table for each slice.
        empty_table_ns: Longest time for which a slice may have no usable entry.
        drain_grace_ns: Longest time for which gateways may keep sending requests to a draining or departed server.
        warm_up_ns: Time for which a server is cold after its start.
        overload_multiple: Ratio of received work to current capacity above which a cold server crashes.
        overload_window_ns: Period over which the received work is summed.
        queued_entries: Most table entries that the send queue may hold, including the fixed costs of its messages.
        message_overhead_entries: Fixed cost of a message in addition to its entries, expressed in entries.
        messages_per_window: Most messages that the pilot may send to one gateway in a window; 0 for no limit.
        message_window_ns: Length of the message window.
        effect_rules: Rule on repeated runs of each request class, by class name.
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
        """Return the rule of a request class; requests of an unknown class may run any number of times."""
        return self.effect_rules.get(request_class, UNKNOWN_CLASS)
