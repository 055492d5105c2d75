"""The channel of one pilot in the model: messages leave one after another and arrive in order, or are lost."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.testing.fleet_model.proxy import Proxy

MIN_TRANSIT_SHARE = 0.3  # shortest transit time as a share of the longest


class Message(NamedTuple):
    """A message to one proxy.

    Attributes:
        arrives_at: Time of arrival, ns.
        leaves_at: Time at which the message has left the channel, ns.
        proxy: The recipient.
        epoch: Epoch of the recipient's stream when the message was written.
        entries: Size in table entries.
        orders: The orders.
        token: Sync token that the proxy acknowledges.
    """

    arrives_at: int
    leaves_at: int
    proxy: Proxy
    epoch: int
    entries: float
    orders: list[api.Action]
    token: int | None


@dataclass(slots=True)
class Channel:
    """The channel of one pilot."""

    pilot: int
    settings: api.Settings
    random: random.Random
    free_at: int = 0
    queued: dict[int, deque[Message]] = field(default_factory=dict)

    def send(self, now: int, proxies: list[Proxy], orders: list[api.Action], token: int | None) -> None:
        """Write a message with the same orders to each of the proxies."""
        entries = self.settings.message_overhead + len(orders) + (token is not None)
        for proxy in proxies:
            self.free_at = max(self.free_at, now) + int(entries / self.settings.channel_rate * 1e9)
            transit = self.settings.max_transit * self.random.uniform(MIN_TRANSIT_SHARE, 1.0)
            queue = self.queued.setdefault(proxy.number, deque())
            arrives_at = max(self.free_at + int(transit), queue[-1].arrives_at if queue else 0)
            epoch = proxy.streams[self.pilot].epoch
            queue.append(Message(arrives_at, self.free_at, proxy, epoch, entries, orders, token))

    def waiting(self, now: int) -> float:
        """Return the number of entries that have not left the channel."""
        messages = (message for queue in self.queued.values() for message in queue)
        return sum(message.entries for message in messages if message.leaves_at > now and self._is_alive(message))

    def arrived(self, now: int) -> list[Message]:
        """Remove and return the messages that have arrived at proxies that apply them, in order for each proxy."""
        arrived = []
        for queue in self.queued.values():
            while queue and queue[0].arrives_at <= now and queue[0].proxy.stalled_until <= now:
                message = queue.popleft()
                if self._is_alive(message):
                    arrived.append(message)
        return arrived

    def clear(self) -> None:
        """Lose all messages, because the pilot died."""
        self.queued.clear()
        self.free_at = 0

    def _is_alive(self, message: Message) -> bool:
        stream = message.proxy.streams[self.pilot]
        return stream.joined and stream.epoch == message.epoch
