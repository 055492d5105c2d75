"""Receives signals in the event loop, and never leaves them with their default effect."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import contextmanager
from types import FrameType


@contextmanager
def received_signals(numbers: Iterable[signal.Signals]) -> Iterator[AsyncIterator[signal.Signals]]:
    """Yield an iterator over the signals that arrive from now on. At the end, further ones are ignored.

    A receiver that restores the default handlers when it closes would let a signal that arrives after that end the
    process, as other threads of the event loop do not block it.
    """
    loop = asyncio.get_running_loop()
    received: asyncio.Queue[signal.Signals] = asyncio.Queue()

    def handle(number: int, _frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(received.put_nowait, signal.Signals(number))

    async def iterate() -> AsyncIterator[signal.Signals]:
        while True:
            yield await received.get()

    numbers = tuple(numbers)
    for number in numbers:
        signal.signal(number, handle)
    try:
        yield iterate()
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)
