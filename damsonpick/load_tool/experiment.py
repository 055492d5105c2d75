"""An experiment's INI file, and the arrivals drawn from it. Everything follows from the seed."""

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
from damsonpick.time_units import NS_PER_SECOND


class Section(BaseModel):
    """A section of the file. Field names are its keys."""

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


class RequestClass(Section):
    """[class NAME]: a share of the requests."""

    share: float = Field(gt=0)
    path: str = Field("/", pattern=r"^/[!-~]*$")
    method: str = Field("GET", pattern=r"^[A-Z]+$")
    body: int = Field(0, ge=0, le=10_000_000)  # bytes
    timeout: Duration = 5_000_000_000


class Experiment(Section):
    """The complete file."""

    load: Load
    classes: dict[str, RequestClass]


class Arrival(NamedTuple):
    """One request.

    Attributes:
        due_ns: from the start of the run.
        request_class: name of its class.
        key: number of the key it asks for.
        number: of the request in the run.
    """

    due_ns: int
    request_class: str
    key: int
    number: int


def read(path: Path) -> Experiment:
    """Read and check an experiment.

    Raises:
        SettingsError: with every problem, each with section, key, value and remedy.
    """
    experiment, problems = sections.read(path, Experiment, ("load",), {"class": "classes"})
    if experiment.load.warm_up >= experiment.load.length:
        problems.append(Problem("load", "warm_up", "", "is not shorter than length; nothing would be counted"))
    if problems:
        raise SettingsError(path, problems)
    return experiment


def arrivals(experiment: Experiment) -> Iterator[Arrival]:
    """All requests in order of time: Poisson arrivals, classes by share, keys by Zipf's law."""
    load = experiment.load
    rng = random.Random(load.seed)
    names = list(experiment.classes)
    shares = [spec.share for spec in experiment.classes.values()]
    cumulative = list(accumulate(1 / (rank + 1) ** load.skew for rank in range(load.keys)))
    due_ns = rng.expovariate(load.rate) * NS_PER_SECOND
    number = 0
    while due_ns < load.length:
        key = min(bisect(cumulative, rng.random() * cumulative[-1]), load.keys - 1)
        request_class = rng.choices(names, shares)[0]
        yield Arrival(int(due_ns), request_class, key, number)
        number += 1
        due_ns += rng.expovariate(load.rate) * NS_PER_SECOND
