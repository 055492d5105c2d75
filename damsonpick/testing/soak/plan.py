"""What one soak does, drawn from its seed alone."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

SMALL_DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT = 192, 384
MIN_LIFE_S, MAX_LIFE_S = 1.5, 3.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.02, 0.25


class Ending(StrEnum):
    """How a life of the pilot ends."""

    TERM = "TERM"
    TERM_TWICE = "TERM TERM"
    RELOADS_THEN_TERM = "HUP HUP TERM"
    TERM_DURING_RELOAD = "HUP TERM"
    TERM_BEFORE_READY = "TERM before readiness"
    KILL = "KILL"


class Action(StrEnum):
    """What happens to the pilot while it serves."""

    SERVER_DRAINS = "server drains"
    SERVER_GONE = "server gone"
    SERVER_READY = "server ready"
    ODD_ENTRY = "odd entry"
    HALF_LINE = "half a line of the list"
    DISCOVERY_CUT = "list watch cut"
    DISCOVERY_DOWN = "discovery down"
    SLICE_LOST = "slice lost"
    SLICE_LOST_TWICE = "slice lost, given and lost again"
    SLICE_GIVEN = "slice given"
    REGISTRY_CUT = "registry watch cut"
    REGISTRY_SILENT = "registry silent"
    ANSWER_LOST = "answer lost"
    ANSWER_WITHHELD = "answer withheld"
    ANSWER_INVALID = "answer invalid"
    CONNECTION_CUT = "request cut"
    BUSY = "BUSY"
    SYNTAX = "SYNTAX"
    PARTLY_APPLIED = "partly applied"
    PROXIES_RECONNECT = "proxies reconnect"
    RELOAD = "reload"
    RELOAD_INVALID = "reload of an invalid file"
    REGISTRY_MOVES = "registry moves"


@dataclass(frozen=True, slots=True)
class Step:
    """An action after a pause, s; `draw` is for whatever the action has to choose."""

    pause_s: float
    action: Action
    draw: int


@dataclass(frozen=True, slots=True)
class Life:
    """One life of the pilot: what happens in it, and how it ends."""

    steps: tuple[Step, ...]
    ending: Ending


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """A whole soak.

    Attributes:
        seed: all that it takes to draw the plan again.
        servers, slices, proxies: how many.
        max_descriptors: that the pilot may hold.
        strangers: connections that say nothing, or half a message; near the descriptor limit in a crowd.
        odd_kept_list: whether the kept list of the configuration has entries of odd types.
        lives: one after another; the last one is judged at its end.
    """

    seed: int
    servers: int
    slices: int
    proxies: int
    max_descriptors: int
    strangers: int
    odd_kept_list: bool
    lives: tuple[Life, ...]


def draw_plan(seed: int) -> SoakPlan:
    """Draw a plan from a seed."""
    rng = random.Random(seed)
    has_crowd = rng.random() < 0.3
    max_descriptors = rng.choice((SMALL_DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
    lives = [_draw_life(rng, rng.choice(tuple(Ending))) for _ in range(rng.randint(1, 2))]
    return SoakPlan(
        seed=seed,
        servers=rng.randint(3, 8),
        slices=rng.randint(6, 30),
        proxies=rng.randint(2, 8),
        max_descriptors=max_descriptors,
        strangers=max_descriptors - rng.randint(0, 40) if has_crowd else rng.randint(0, 5),
        odd_kept_list=rng.random() < 0.3,
        lives=(*lives, _draw_life(rng, rng.choice((Ending.TERM, Ending.RELOADS_THEN_TERM)))),
    )


def _draw_life(rng: random.Random, ending: Ending) -> Life:
    if ending is Ending.TERM_BEFORE_READY:
        return Life((), ending)
    steps: list[Step] = []
    left_s = rng.uniform(MIN_LIFE_S, MAX_LIFE_S)
    while left_s > 0:
        step = Step(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S), rng.choice(tuple(Action)), rng.randrange(1 << 20))
        steps.append(step)
        left_s -= step.pause_s
    return Life(tuple(steps), ending)
