"""An experiment's INI file, and what is drawn from it. Sans I/O; everything follows from the seed."""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from pathlib import Path
from typing import NamedTuple

from pydantic import BaseModel, ConfigDict, Field

from damsonpick.settings import sections
from damsonpick.settings.problems import Problem, SettingsError
from damsonpick.settings.units import Address, Duration


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Load(Section):
    """[load]: where to, how much, for how long."""

    target: Address
    rate: float = Field(gt=0, le=100_000)  # requests a second over all classes
    length: Duration
    warm_up: Duration = 1_000_000_000  # at the start, sent and not counted
    connections: int = Field(64, ge=1, le=20_000)
    keys: int = Field(1000, ge=1)
    skew: float = Field(0.0, ge=0, le=3)  # exponent of Zipf's law over the keys
    seed: int = 1


class Kind(Section):
    """[class NAME]: a share of the requests."""

    share: float = Field(gt=0)
    path: str = Field("/", pattern=r"^/[!-~]*$")
    method: str = Field("GET", pattern=r"^[A-Z]+$")
    body: int = Field(0, ge=0, le=10_000_000)  # bytes
    timeout: Duration = 5_000_000_000


class Experiment(Section):
    load: Load
    classes: dict[str, Kind]


class Arrival(NamedTuple):
    """One request: when (ns from the start), of which class, for which key."""

    at: int
    kind: str
    key: int
    number: int


def read(path: Path) -> Experiment:
    """An experiment.

    Raises:
        SettingsError: with every problem, each with section, key, value and remedy.
    """
    made, problems = sections.read(path, Experiment, ("load",), {"class": "classes"})
    if made.load.warm_up >= made.load.length:
        problems.append(Problem("load", "warm_up", "", "is not shorter than length; nothing would be counted"))
    if problems:
        raise SettingsError(path, problems)
    return made


def arrivals(made: Experiment) -> Iterator[Arrival]:
    """All requests in order of time: Poisson arrivals, classes by share, keys by Zipf's law."""
    load, rng = made.load, random.Random(made.load.seed)
    names, shares = list(made.classes), [k.share for k in made.classes.values()]
    sums = list(accumulate(1 / (rank + 1) ** load.skew for rank in range(load.keys)))
    at, number = 0.0, 0
    while (at := at + rng.expovariate(load.rate) * 1e9) < load.length:
        key = min(bisect(sums, rng.random() * sums[-1]), load.keys - 1)
        yield Arrival(int(at), rng.choices(names, shares)[0], key, number)
        number += 1
