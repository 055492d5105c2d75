"""The limit on the messages that are sent to one proxy within a window of time."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions.time_units import NS_PER_SECOND
from damsonpick.decisions.urgency import LIMIT_SHARE, MESSAGE_SHARE, Urgency

WINDOW_MARGIN_NS = NS_PER_SECOND // 10  # by which the times between order and sending may differ


def critical_send_limit(settings: api.Settings) -> int:
    """Return the time (ns) within which a withdrawal must be sent so that proxies apply it within the drain grace.

    It waits for the messages in the channel, and then for its transit.
    """
    channel_wait_s = LIMIT_SHARE[Urgency.CRITICAL] * settings.channel_limit / settings.channel_rate
    return settings.drain_grace - settings.max_transit - int(channel_wait_s * NS_PER_SECOND)


@dataclass(slots=True, eq=False)
class MessageWindow:
    """Determines when the next message may be sent.

    Attributes:
        settings: Settings with the limit.
        sent_at: Send times of the messages in the last `Settings.message_window`, ns, oldest first.
        last_sent_at: Send time of the newest message, ns.
        next_critical_at: Time from which the next critical message may be sent, ns. It changes only with a message.
    """

    settings: api.Settings
    sent_at: deque[int] = field(default_factory=deque)
    last_sent_at: int = 0
    next_critical_at: int = 0

    def record(self, now: int) -> None:
        """Record that a message is sent now."""
        self.sent_at.append(now)
        self.last_sent_at = now
        self.next_critical_at = self._next_critical_at(self.sent_at)

    def admits(self, now: int, urgency: Urgency) -> bool:
        """Return whether one more message may be sent now.

        Messages are evenly spaced, since a burst would use up the messages that later withdrawals and admission levels
        need. Critical messages may use what the others leave, as long as later ones need not wait too long.
        """
        window = self.settings.message_window
        while self.sent_at and self.sent_at[0] <= now - window - WINDOW_MARGIN_NS:
            self.sent_at.popleft()
        if not self.settings.messages_per_window:
            return True
        allowed = MESSAGE_SHARE[urgency] * self.settings.messages_per_window
        if len(self.sent_at) + 1 > allowed or now < self.next_critical_at:
            return False
        return urgency == Urgency.CRITICAL or now - self.last_sent_at >= window / allowed

    def spacing_after_message(self, now: int) -> int:
        """Return the time (ns) for which the next critical message has to wait if a message is sent now."""
        return max(0, self._next_critical_at([*self.sent_at, now]) - now)

    def _next_critical_at(self, sent_at: Sequence[int]) -> int:
        """Return the earliest time (ns) of the next critical message after messages sent at these times.

        It is the earliest time after which critical messages can still follow each other within `_critical_gap` until
        each of the earlier messages has left the window.
        """
        settings = self.settings
        if not settings.messages_per_window or not sent_at:
            return 0
        gap = self._critical_gap()
        unused = settings.messages_per_window - len(sent_at) - 1  # after the next message
        free_at = [at + settings.message_window + WINDOW_MARGIN_NS for at in sent_at]
        limits = [at - gap * (unused + place) for place, at in enumerate(free_at, start=1)]
        return max(*limits, free_at[0] if unused < 0 else 0)

    def _critical_gap(self) -> int:
        """Return the longest time between two critical messages with which the drain grace is kept, ns.

        If that would be less than the time between evenly spaced messages, it is this time.
        """
        settings = self.settings
        even = (settings.message_window + WINDOW_MARGIN_NS) // settings.messages_per_window + 1
        return max(even, critical_send_limit(settings))
