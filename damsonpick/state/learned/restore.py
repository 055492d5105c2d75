"""From a planner to a snapshot, and from a snapshot to events for another planner. Sans I/O.

The planner is read, never written. What is handed over is only what the new planner can check against the list: of a
server whose process started anew nothing is told.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.state.learned.list_confidence import Kept
from damsonpick.state.learned.snapshot import Draft, Fleet, Moment, Piece, Server, Snapshot

CHUNK = 200  # slices looked at in one go
LEAST_SPEED, MOST_SPEED = 0.01, 100.0
LEAST_WARMTH = 0.02


class Capture:
    """A snapshot made in small steps, so that the loop is never held up for long.

    Args:
        planner: what is read; it may go on between the steps.
        sequence, pilot, at: of the snapshot.
        clock, vouched, answered: the pilot's clock, when a source last stood by the list, and when each server last
            gave a good answer.
    """

    def __init__(
        self,
        planner: Planner,
        sequence: int,
        pilot: str,
        at: Moment,
        clock: int = 0,
        vouched: int = 0,
        answered: Mapping[str, int] | None = None,
    ) -> None:
        self.planner, self.sequence, self.pilot, self.at = planner, sequence, pilot, at
        self.clock, self.vouched, self.answered = clock, vouched, answered or {}
        self.servers: list[Server] = []
        self.pieces: list[Piece] = []
        self.packed: list[msgspec.Raw] = []

    def steps(self, pack: bool = False) -> Iterator[None]:
        """Each step looks at some servers or slices. `pack`: for `draft` in place of `snapshot`."""
        planner = self.planner
        for name, ep in list(planner.endpoints.items()):
            when = self.answered.get(name, 0)
            if ep.last_report_at or ep.restored_share or when:  # the rest is as the ignorant assume
                self.servers.append(
                    Server(name, ep.started, min(MOST_SPEED, max(LEAST_SPEED, ep.capacity_factor)), when)
                )
        yield
        for k, piece in enumerate(list(planner.slices.values())):
            warmth = tuple((n, min(1.0, w)) for n, w in piece.warmth.items() if w > LEAST_WARMTH)
            made = Piece(piece.number, tuple(max(0.0, r) for r in piece.rates), warmth)
            if pack:
                self.packed.append(msgspec.Raw(msgspec.msgpack.encode(made)))
            else:
                self.pieces.append(made)
            if k % CHUNK == CHUNK - 1:
                yield

    def snapshot(self) -> Snapshot:
        return self._made(Snapshot, tuple(self.pieces))

    def draft(self) -> Draft:
        return self._made(Draft, self.packed)

    def _made(self, kind: type, pieces: object) -> Any:
        planner = self.planner
        classes = tuple(c.name for c in planner.settings.classes)
        fleet = Fleet(max(0.0, planner.best_throughput), max(0.0, planner.throughput_per_capacity))
        return kind(
            self.sequence,
            self.pilot,
            self.at,
            self.clock,
            self.vouched,
            classes,
            planner.settings.slices,
            tuple(self.servers),
            pieces,
            fleet,
        )


def take(planner: Planner, sequence: int, pilot: str, at: Moment) -> Snapshot:
    """A snapshot in one go."""
    made = Capture(planner, sequence, pilot, at)
    for _ in made.steps():
        pass
    return made.snapshot()


def fits(snapshot: Snapshot, classes: tuple[str, ...], slices: int) -> str:
    """Why a snapshot does not belong to these settings; '': it does. Speeds belong to servers, not to settings."""
    if snapshot.slices != slices:
        return f"it knows {snapshot.slices} slices, there are {slices}"
    if snapshot.classes != classes:
        return f"it knows the classes {', '.join(snapshot.classes)}, there are {', '.join(classes)}"
    return ""


def events(
    snapshot: Snapshot, listed: Mapping[str, api.EndpointEntry], owned: Iterable[int], whole: bool = True
) -> tuple[list[api.Event], list[str]]:
    """What a planner is told of an aged snapshot, and the servers that nothing is told of as they started anew.

    Args:
        whole: slices and classes are still the same; else speeds alone are told.
    """
    found: list[api.Event] = []
    anew: list[str] = []
    for server in snapshot.servers:
        entry = listed.get(server.endpoint)
        if entry is None:
            continue
        if entry.started != server.started:
            anew.append(server.endpoint)
            continue
        found.append(api.EndpointRestored(server.endpoint, server.started, server.speed))
    if whole:
        mine = set(owned)
        found += [api.SliceRestored(p.number, p.rates, p.warmth) for p in snapshot.pieces if p.number in mine]
    return found, anew


def kept(
    snapshot: Snapshot | None,
    now: int,
    away: int | None,
    listed: Mapping[str, api.EndpointEntry],
    at: Mapping[str, tuple[int, str]],
) -> dict[str, Kept]:
    """When each entry of a kept list was last spoken for, on the clock of this life.

    Args:
        now, away: ns; the clock, and how long ago the snapshot was made.
        listed, at: the kept list, and when and by which source each entry was listed.
    """
    newest = max((when for when, _ in at.values()), default=0)
    vouched, answered = 0, {}
    if snapshot is not None and away is not None and snapshot.clock:
        shift = now - away - snapshot.clock  # from the clock of that life, whatever was done to it since, to ours
        vouched = snapshot.vouched + shift if snapshot.vouched else 0
        answered = {
            s.endpoint: s.answered + shift
            for s in snapshot.servers
            if s.answered and s.endpoint in listed and listed[s.endpoint].started == s.started
        }
    found = {}
    for name in listed:
        when = at.get(name, (0, ""))[0]
        mine = max(when, vouched) if when == newest else when
        found[name] = Kept(min(now, mine), min(now, answered.get(name, 0)))
    return found
