"""The long answers that a pilot follows: the relay's news and discovery's changes. Thin shells round http.py."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from damsonpick.protocols.platform import http_client
from damsonpick.protocols.platform.config import Address
from damsonpick.runtime.backoff import Backoff

DIAL = 0.5  # s to a connection, and to the head of an answer
FIRST, MOST = 0.04, 1.0  # s between tries: bounds of the first and of any
LOOK = 0.05  # s for bytes that came during a long step, although the time is up


class Reader(Protocol):
    """Takes one watch in."""

    def path(self) -> str:
        """What to ask for."""

    def take(self, lines: list[bytes]) -> bool:
        """Take lines in; True once the watch has told what stands, and may stand in for a former one.

        Raises:
            http.Broken: the watch can't be read on.
        """


async def follow(address: Address, path: str, silence: float) -> AsyncIterator[list[bytes]]:
    """Whole lines of a watch, as many at a time as came together.

    Args:
        silence: s without a whole line after which a watch is dead though open, and though it may drip.

    Raises:
        http.Broken: the watch has ended; the text says how.
    """
    stream = await http_client.dial(address, DIAL)
    try:
        await http_client.send(stream, http_client.request("GET", path, address), DIAL)
        answers, heard = http_client.Answers(http_client.LINE_MOST), anyio.current_time()
        while not answers.done:
            left = heard + silence - anyio.current_time()
            answers.feed(await http_client.receive(stream, max(left, LOOK)))
            if answers.status() not in (0, 200):
                raise http_client.Broken(f"status {answers.status()}: {bytes(answers.body[:80])!r}")
            if lines := answers.lines():
                heard = anyio.current_time()
                yield lines
            elif anyio.current_time() - heard > silence:
                raise http_client.Broken(f"no whole line for {silence:g} s")
        raise http_client.Broken("the answer ended")
    finally:
        await anyio.aclose_forcefully(stream)


class Link:
    """One address that is followed."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.scope = anyio.CancelScope()
        self.over = False  # another has taken its place
        self.heard = 0.0  # s: when bytes last came
        self.open = False  # its watch has told what stands and has not broken since


class Follower:
    """Keeps a watch open. A new address is followed before the former watch is let go.

    Args:
        name: for the log.
        silence: s without a byte after which a watch is dead.
        reader: makes the reader of one watch.
    """

    def __init__(self, name: str, silence: float, reader: Callable[[], Reader], rng: random.Random, log: Any) -> None:
        self.name, self.silence, self.reader, self.rng, self.log = name, silence, reader, rng, log
        self.newest: Link | None = None
        self.standing: Link | None = None  # whose watch is believed
        self.breaks = 0

    def reading(self) -> bool:
        """Whether a watch that is believed is open now: there is no gap before what another one tells."""
        now = anyio.current_time()
        return self.standing is not None and self.standing.open and now - self.standing.heard < self.silence / 2

    def point(self, group: TaskGroup, address: Address) -> None:
        """Follow this address from now on: it is dialled until another is named. One that was to be followed and
        has not stood up yet is given up, so that it cannot do so later and take the newest one's place."""
        if self.newest is not None and self.newest is not self.standing:
            self.newest.over = True
            self.newest.scope.cancel()
        self.newest = Link(address)
        group.start_soon(self._run, self.newest)

    async def _run(self, link: Link) -> None:
        backoff = Backoff(self.rng, FIRST, MOST)
        with link.scope:
            while link is self.newest:
                try:
                    await self._watch(link, backoff)
                except http_client.Broken as error:
                    link.open = False
                    self.breaks += 1
                    self.log.warning("watch_broken", what=self.name, why=str(error))
                except Exception as error:  # one watch must not end the pilot
                    link.open = False
                    self.breaks += 1
                    self.log.error("watch_failed", what=self.name, error=repr(error), exc_info=error)
                if not link.over:
                    await anyio.sleep(backoff.failed())

    async def _watch(self, link: Link, backoff: Backoff) -> None:
        reader, began = self.reader(), anyio.current_time()
        async with aclosing(follow(link.address, reader.path(), self.silence)) as watch:
            async for lines in watch:
                if link.over:
                    return
                now = link.heard = anyio.current_time()
                if not reader.take(lines):
                    if now - began > self.silence:
                        raise http_client.Broken("what stands is not told")
                    continue
                if now - began > MOST:  # one that stands up and breaks at once must not be dialled without a pause
                    backoff.succeeded()
                self._believe(link)

    def _believe(self, link: Link) -> None:
        former, self.standing, link.open = self.standing, link, True
        if former is not None and former is not link:
            former.over = True
            former.scope.cancel()
