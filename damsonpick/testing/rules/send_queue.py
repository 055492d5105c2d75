"""Rule: few table entries wait to be sent at one time, and few messages go to a gateway in a window."""

from __future__ import annotations

from collections import deque

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.records import ResponseRead, SendInfo, StreamChanged
from damsonpick.testing.rules.result import Breach, RuleResult


class SendQueueRule:
    """Reconstructs the pilot's send queue from the responses' nonces."""

    def __init__(self, limits: Limits) -> None:
        """Check against `limits`."""
        self.limits = limits
        self.result = RuleResult("a short queue", limits.queued_entries, "lines")
        self._messages: list[SendInfo] = []
        self._recently_sent: dict[str, deque[int]] = {}  # gateway: times, ns

    def on_stream(self, record: StreamChanged) -> None:
        """A new stream begins with a whole window."""
        if record.is_open:
            self._recently_sent.pop(record.gateway, None)

    def on_response(self, record: ResponseRead) -> None:
        """Note a message, and count those of the gateway's last window."""
        if record.send_info is None:
            return
        queued_ns, sent_ns, entries = record.send_info
        self._messages.append(SendInfo(queued_ns, sent_ns, entries + self.limits.message_overhead_entries))
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
        """Sum the entries that waited at each time, from when each was queued until it was sent."""
        queued = [(message.queued_ns, message.entries) for message in self._messages]
        sent = [(message.sent_ns, -message.entries) for message in self._messages]
        waiting = 0.0
        for time_ns, entries in sorted(queued + sent):
            waiting += entries
            if entries <= 0:
                continue
            self.result.observe(waiting)
            if waiting > self.limits.queued_entries:
                self.result.breaches.append(Breach(time_ns, f"{waiting:.0f} lines wait"))
