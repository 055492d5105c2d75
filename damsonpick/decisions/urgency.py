"""The urgency of orders, and the shares of the channel and of the messages that orders of each urgency may use."""

from __future__ import annotations

from enum import IntEnum


class Urgency(IntEnum):
    """Urgency of an order. A lower value is more urgent."""

    CRITICAL = 0  # withdrawals, and changes of tables without a routable entry
    CONTROL = 1  # admission levels, and withdrawal states sent again because a proxy has rejoined
    REBALANCE = 2  # moves: changes of tables that are neither critical nor cleanup
    CLEANUP = 3  # removal of the entries of withdrawn endpoints from tables that need no other change


# Share of the channel's limit that orders of each urgency may use. It is below half, because a message whose outcome is
# unknown is sent again and both copies may wait in the channel. Less urgent orders leave capacity for more urgent ones.
LIMIT_SHARE = {
    Urgency.CRITICAL: 0.49,
    Urgency.CONTROL: 0.49,
    Urgency.REBALANCE: 0.48,
    Urgency.CLEANUP: 0.4,
}
# Share of the messages allowed in a window that orders of each urgency may use.
MESSAGE_SHARE = {
    Urgency.CRITICAL: 1.0,
    Urgency.CONTROL: 0.8,
    Urgency.REBALANCE: 0.75,
    Urgency.CLEANUP: 0.75,
}
