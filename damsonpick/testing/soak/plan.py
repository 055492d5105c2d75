"""The plan of one soak, which depends on nothing but its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

# Limits on the pilot's open file descriptors, of which each plan uses one.
SMALL_DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT = 192, 384
# Range from which the sum of the pauses of one incarnation is drawn. Steps are added until their pauses reach this sum.
MIN_STEPS_S, MAX_STEPS_S = 1.5, 3.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.02, 0.25  # range of the pause before each step


class Ending(StrEnum):
    """How an incarnation of the pilot ends: the signals that it receives, and when."""

    TERM = "TERM"
    TERM_TWICE = "TERM TERM"
    RELOADS_THEN_TERM = "HUP HUP TERM"
    TERM_DURING_RELOAD = "HUP TERM"
    TERM_BEFORE_READY = "TERM before readiness"
    KILL = "KILL"


class Action(StrEnum):
    """An action of the platform while the pilot serves."""

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
    """An action after a pause.

    Attributes:
        pause_s: Pause before the action, in seconds.
        action: The action.
        choice_seed: Seed of the random choices that the action makes.
    """

    pause_s: float
    action: Action
    choice_seed: int


@dataclass(frozen=True, slots=True)
class Incarnation:
    """The plan of one incarnation of the pilot: the steps while it runs, and how it ends."""

    steps: tuple[Step, ...]
    ending: Ending


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The plan of a whole soak.

    Attributes:
        seed: Seed from which the plan was drawn. The same seed gives the same plan.
        servers: Number of servers.
        slices: Number of slices.
        proxies: Number of proxies.
        max_descriptors: Most file descriptors that the pilot may have open.
        unjoined_clients: Number of clients that connect and send nothing or half a message. In some plans the number
            is close to `max_descriptors`.
        malformed_cached_list: Whether the cached list in the configuration contains entries with malformed states.
        incarnations: Incarnations of the pilot, in order. Tables and open descriptors are checked only at the end of
            the last incarnation.
    """

    seed: int
    servers: int
    slices: int
    proxies: int
    max_descriptors: int
    unjoined_clients: int
    malformed_cached_list: bool
    incarnations: tuple[Incarnation, ...]


def draw_plan(seed: int) -> SoakPlan:
    """Draw the plan for a seed."""
    rng = random.Random(seed)
    is_near_limit = rng.random() < 0.3
    max_descriptors = rng.choice((SMALL_DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
    incarnations = [_draw_incarnation(rng, rng.choice(tuple(Ending))) for _ in range(rng.randint(1, 2))]
    return SoakPlan(
        seed=seed,
        servers=rng.randint(3, 8),
        slices=rng.randint(6, 30),
        proxies=rng.randint(2, 8),
        max_descriptors=max_descriptors,
        unjoined_clients=max_descriptors - rng.randint(0, 40) if is_near_limit else rng.randint(0, 5),
        malformed_cached_list=rng.random() < 0.3,
        incarnations=(*incarnations, _draw_incarnation(rng, rng.choice((Ending.TERM, Ending.RELOADS_THEN_TERM)))),
    )


def _draw_incarnation(rng: random.Random, ending: Ending) -> Incarnation:
    if ending is Ending.TERM_BEFORE_READY:
        return Incarnation((), ending)
    steps: list[Step] = []
    remaining_s = rng.uniform(MIN_STEPS_S, MAX_STEPS_S)
    while remaining_s > 0:
        step = Step(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S), rng.choice(tuple(Action)), rng.randrange(1 << 20))
        steps.append(step)
        remaining_s -= step.pause_s
    return Incarnation(tuple(steps), ending)
