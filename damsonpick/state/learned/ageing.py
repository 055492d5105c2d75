"""How old a snapshot is, and what is left of it. Sans I/O.

Each figure fades toward what an ignorant pilot assumes, with a half-life of its own: a slow disk stays slow for
minutes, heat is another after one. Ages come from the machine's own uptime where it has not been started anew, so that
a wall clock that was set makes knowledge neither younger nor older; else from the wall, and what seems to come from the
future is of unknown age.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from damsonpick.state.learned.snapshot import Fleet, Moment, Piece, Server, Snapshot

SECOND = 1_000_000_000
SPEED, PACE = 300 * SECOND, 600 * SECOND  # ns in which half of it is gone
HEAT, BEST, WARMTH = 60 * SECOND, 60 * SECOND, 15 * SECOND
LEVELS_LAST = 60 * SECOND  # ns after which levels of an earlier life answer to a load that is past
UNKNOWN = 1800 * SECOND  # ns taken for an age that cannot be told
SLACK = 5 * SECOND  # ns that two clocks of one machine may be apart
NOTHING = 0.02  # of a figure below which it is left out


class Age(NamedTuple):
    """ns, and what was wrong with the clocks ('': nothing)."""

    ns: int
    doubt: str


def age(then: Moment, now: Moment) -> Age:
    """How long ago `then` was."""
    wall = now.wall - then.wall
    if then.boot and then.boot == now.boot and now.up >= then.up:
        true = now.up - then.up
        if abs(wall - true) > SLACK:
            return Age(true, f"the wall clock was set by {(wall - true) / SECOND:+.0f} s meanwhile")
        return Age(true, "")
    if wall < -SLACK:
        return Age(UNKNOWN, f"it was written {-wall / SECOND:.0f} s in the future: its age is not known")
    return Age(max(0, wall), "")


def left(ns: int, half: int) -> float:
    """The part of a figure that is left after a time."""
    return 0.5 ** (max(0, ns) / half)


def fade(snapshot: Snapshot, ns: int) -> Snapshot:
    """What an age leaves of a snapshot."""
    speed, heat, warm = left(ns, SPEED), left(ns, HEAT), left(ns, WARMTH)
    servers = tuple(Server(s.endpoint, s.started, s.speed**speed, s.answered) for s in snapshot.servers)
    pieces = (
        tuple(
            Piece(
                p.number,
                tuple(r * heat for r in p.rates),
                tuple((n, w * warm) for n, w in p.warmth if w * warm > NOTHING),
            )
            for p in snapshot.pieces
        )
        if heat > NOTHING
        else ()
    )
    best, pace = left(ns, BEST), left(ns, PACE)
    fleet = Fleet(
        snapshot.fleet.best * best if best > NOTHING else 0.0, snapshot.fleet.pace if pace > 0.5 else 0.0
    )  # a pace halved would hold back a sound fleet
    return msgspec.structs.replace(snapshot, servers=servers, pieces=pieces, fleet=fleet)


def levels_hold(ns: int | None) -> bool:
    """Whether levels of an earlier life may stay in force; None: its end is not known."""
    return ns is not None and ns <= LEVELS_LAST
