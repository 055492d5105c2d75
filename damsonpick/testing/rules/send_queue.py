"""Rule: the pilot's send queue stays within its limit, and so does the number of messages to a gateway in a window."""

from __future__ import annotations

from collections import deque

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.records import ResponseRead, SendInfo, StreamChanged
from damsonpick.testing.rules.result import Breach, RuleResult


class SendQueueRule:
    """Reconstructs the length of the pilot's send queue from the nonces of the responses.

    Checks this length, and the number of messages to each gateway in a window.
    """

    def __init__(self, limits: Limits) -> None:
        """Check against `limits`."""
        self.limits = limits
        self.result = RuleResult("a short queue", limits.queued_entries, "lines")
        self._sent_messages: list[SendInfo] = []
        self._recently_sent: dict[str, deque[int]] = {}  # send times within the last message window, ns, by gateway

    def on_stream(self, record: StreamChanged) -> None:
        """When a stream opens, discard the previous stream's send times, because the message window starts anew."""
        if record.is_open:
            self._recently_sent.pop(record.gateway, None)

    def on_response(self, record: ResponseRead) -> None:
        """Store a message, and check the number of messages to its gateway in the window that ends when it was sent.

        A response without `send_info` does not count as a message.
        """
        if record.send_info is None:
            return
        queued_ns, sent_ns, entries = record.send_info
        self._sent_messages.append(SendInfo(queued_ns, sent_ns, entries + self.limits.message_overhead_entries))
        if not self.limits.messages_per_window:
            return
        recent = self._recently_sent.setdefault(record.gateway, deque())
        recent.append(sent_ns)
        while recent[0] <= sent_ns - self.limits.message_window_ns:
            recent.popleft()
        if len(recent) > self.limits.messages_per_window:
            text = f"{len(recent)} messages in the window, {self.limits.messages_per_window} allowed"
            self.result.breaches.append(Breach(record.time_ns, text, gateway=record.gateway))

    def finish(self) -> None:
        """Check the number of queued entries each time a message is queued.

        A message counts with its entries and its overhead from the time it was queued until it was sent.
        """
        queued = [(message.queued_ns, message.entries) for message in self._sent_messages]
        sent = [(message.sent_ns, -message.entries) for message in self._sent_messages]
        waiting = 0.0
        for time_ns, entries in sorted(queued + sent):
            waiting += entries
            if entries <= 0:
                continue
            self.result.observe(waiting)
            if waiting > self.limits.queued_entries:
                self.result.breaches.append(Breach(time_ns, f"{waiting:.0f} table entries in the send queue"))
