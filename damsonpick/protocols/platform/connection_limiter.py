"""Who may stay on the pilot's address: collectors of a zone that exists, and nobody else for long. Sans I/O.

`Caller` is one connection: bytes in, reports and bytes to write out. `Door` keeps the number of connections within
what descriptors leave room for.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from damsonpick import interface as api
from damsonpick.protocols.platform import framing, messages

JOIN_WITHIN = 1.0  # s
FIRST_MOST = 4096  # bytes of a message before joining: half of one must not hold much memory
RESERVED = 64  # descriptors kept for the relay, discovery, collectors, the loop and its logs
ALIVE = framing.frame(b'{"@type":"hb_ok"}')


class Heard(NamedTuple):
    """What bytes of a connection came to."""

    events: list[api.Event]
    beats: int  # signs of life that were asked for
    spoilt: list[str]  # messages dropped by themselves, with the reason


class Turned(Exception):
    """This connection may not stay; the text says why, `heard` what it said before."""

    def __init__(self, why: str, heard: Heard | None = None) -> None:
        super().__init__(why)
        self.heard = heard or Heard([], 0, [])


class Caller:
    """One connection at the pilot's address.

    Args:
        reports: makes events of reports.
    """

    def __init__(self, reports: messages.Reports) -> None:
        self.reports = reports
        self.frames = framing.Frames(FIRST_MOST)
        self.zone = ""  # of a collector that has joined
        self.last = 0  # ns: when bytes last came

    def feed(self, now: int, data: bytes) -> Heard:
        """What the bytes say. What came before an offence counts and is in `Turned.heard`.

        Raises:
            Turned: the connection is to be closed.
        """
        self.last = now
        self.frames.feed(data)
        heard = Heard([], 0, [])
        try:
            while (body := self.frames.next()) is not None:
                heard = self._take(body, heard)
        except (framing.FrameError, messages.Unreadable, Turned) as error:
            raise Turned(str(error), heard) from None
        return heard

    def _take(self, body: bytes, heard: Heard) -> Heard:
        try:
            message: Any = messages.decode(body)
            if isinstance(message, messages.Alive):
                return heard._replace(beats=heard.beats + 1)
            if isinstance(message, messages.Telemetry):
                self._join(message)
            elif not self.zone:
                raise Turned("a report before joining")
            else:
                heard.events.append(self.reports.event(message))
        except messages.Spoilt as error:
            if not self.zone:
                raise Turned(f"first message: {error}") from None
            heard.spoilt.append(str(error))
        return heard

    def _join(self, message: messages.Telemetry) -> None:
        if message.zone not in self.reports.zones:
            raise messages.Spoilt(f"zone: {message.zone[:60]!r} does not exist")
        self.zone = message.zone
        self.frames.most = framing.MOST


class Door:
    """The connections that are open.

    Args:
        sockets: descriptors that the process may hold.
    """

    def __init__(self, sockets: int) -> None:
        self.most = max(8, sockets - RESERVED) if sockets > 2 * RESERVED else max(4, sockets // 2)
        self.callers: dict[Caller, int] = {}  # with when each came, ns, oldest first

    def enter(self, now: int, caller: Caller) -> Caller | None:
        """A connection came; returns one that has to go for it."""
        self.callers[caller] = caller.last = now
        if len(self.callers) <= self.most:
            return None
        strangers = (c for c in self.callers if not c.zone)
        return next(strangers, caller)

    def leave(self, caller: Caller) -> None:
        self.callers.pop(caller, None)

    def joined(self, caller: Caller) -> list[Caller]:
        """A collector has joined; returns those of its zone that it replaces.

        Two may stay, as one may come before the other is seen to be gone. A third means that some have fallen
        silent and would hold their descriptors for ever: the longest silent one goes.
        """
        same = sorted((c for c in self.callers if c.zone == caller.zone), key=lambda c: c.last)
        return [c for c in same[:-2] if c is not caller]
