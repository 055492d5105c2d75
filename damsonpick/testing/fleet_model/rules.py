"""Checks of the model: sole owners, drains, proxies without an entry, messages in a window and entries that wait."""

from __future__ import annotations

import heapq
from collections import Counter, deque
from dataclasses import dataclass, field

from damsonpick import interface as api

MAX_BREACH_TEXTS = 20
# Times with which a proxy need not lack an entry for longer than `Settings.unserved_limit`, ns.
SHORT_TIMES = {"write_linger": 20_000_000, "write_lease": 800_000_000}


@dataclass(slots=True)
class RuleChecker:
    """Counts breaches of the rules.

    Attributes:
        settings: Settings with the limits.
        breaches: Number of breaches by rule.
        texts: Descriptions of the first breaches.
        longest_bare: Longest time for which a joined proxy had no entry for a slice, ns.
    """

    settings: api.Settings
    breaches: Counter[str] = field(default_factory=Counter)
    texts: list[str] = field(default_factory=list)
    longest_bare: int = 0
    _in_hand: dict[int, list[tuple[int, str]]] = field(default_factory=dict)
    _appointments: dict[tuple[int, str], int] = field(default_factory=dict)
    _last_writer: dict[int, str] = field(default_factory=dict)
    _bare_since: dict[tuple[int, int], int] = field(default_factory=dict)
    _sent: dict[tuple[int, int], deque[int]] = field(default_factory=dict)

    def breach(self, rule: str, now: int, text: str) -> None:
        """Record a breach."""
        self.breaches[rule] += 1
        if len(self.texts) < MAX_BREACH_TEXTS:
            self.texts.append(f"{now / 1e9:.3f} {rule}: {text}")

    def appoint(self, now: int, number: int, endpoint: str) -> None:
        """Record that the store names an endpoint as the owner of a slice from now on."""
        self._appointments[number, endpoint] = now

    def check_write(self, now: int, number: int, endpoint: str, ends_at: int, origin: str) -> None:
        """Check a write of a slice that reaches an endpoint now and ends at `ends_at` (ns)."""
        in_hand = self._in_hand.setdefault(number, [])
        while in_hand and in_hand[0][0] <= now:
            heapq.heappop(in_hand)
        others = {name for _, name in in_hand if name != endpoint}
        if others:
            self.breach("owner", now, f"slice {number}: {origin} writes to {endpoint}, {others} has writes in hand")
        heapq.heappush(in_hand, (ends_at, endpoint))
        last = self._last_writer.get(number, endpoint)
        if self._appointments[number, endpoint] < self._appointments[number, last]:
            self.breach("owner", now, f"slice {number}: {origin} writes to {endpoint} after {last}")
        else:
            self._last_writer[number] = endpoint

    def check_drain(self, now: int, since: int, endpoint: str, origin: str) -> None:
        """Check that a proxy may still send to an unroutable endpoint, for which its time limit began at `since`."""
        if now - since > self.settings.drain_grace:
            self.breach("drain", now, f"{origin} may send to {endpoint}")

    def check_bare(self, now: int, proxy: int, number: int, start: int | None) -> None:
        """Record whether a proxy has no entry for a slice.

        Args:
            now: Time, ns.
            proxy: The proxy.
            number: The slice.
            start: Earliest time from which the limit counts, ns; None if the proxy has an entry or has not joined.
        """
        if start is None:
            self._bare_since.pop((proxy, number), None)
            return
        since = max(start, self._bare_since.setdefault((proxy, number), now))
        self.longest_bare = max(self.longest_bare, now - since)
        if now - since > self.settings.unserved_limit:
            self.breach("bare", now, f"proxy {proxy} has no entry for slice {number}")
            self._bare_since[proxy, number] = now

    def check_message(self, now: int, pilot: int, proxy: int, joined_at: int) -> None:
        """Count a message that a pilot writes to a proxy."""
        if not self.settings.messages_per_window:
            return
        sent = self._sent.setdefault((pilot, proxy), deque())
        while sent and sent[0] <= max(now - self.settings.message_window, joined_at - 1):
            sent.popleft()
        sent.append(now)
        if len(sent) > self.settings.messages_per_window:
            self.breach("messages", now, f"pilot {pilot} wrote {len(sent)} messages to proxy {proxy}")

    def check_waiting(self, now: int, pilot: int, entries: float) -> None:
        """Check the number of entries that wait in a pilot's channel."""
        if entries > self.settings.channel_limit:
            self.breach("waiting", now, f"{entries:.0f} entries wait in the channel of pilot {pilot}")
