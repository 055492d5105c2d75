"""Reads the INI file of an experiment and generates its arrivals. The seed determines all arrivals."""

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
    """Base class of the sections of the file. The field names are the keys of the section."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Load(Section):
    """[load]: target, rate and length of the experiment."""

    target: Address
    rate: float = Field(gt=0, le=100_000)  # requests per second over all classes
    length: Duration
    warm_up: Duration = 1_000_000_000  # initial time whose requests are sent but not counted
    connections: int = Field(64, ge=1, le=20_000)
    keys: int = Field(1000, ge=1)
    skew: float = Field(0.0, ge=0, le=3)  # exponent of the Zipf distribution of keys
    seed: int = 1


class RequestClass(Section):
    """[class NAME]: a request class and its relative share of the requests."""

    share: float = Field(gt=0)
    path: str = Field("/", pattern=r"^/[!-~]*$")
    method: str = Field("GET", pattern=r"^[A-Z]+$")
    body: int = Field(0, ge=0, le=10_000_000)  # bytes
    timeout: Duration = 5_000_000_000


class Experiment(Section):
    """All settings of an experiment."""

    load: Load
    classes: dict[str, RequestClass]


class Arrival(NamedTuple):
    """One scheduled request.

    Attributes:
        due_ns: Scheduled send time in ns after the start of the run.
        request_class: Name of the request class.
        key: Number of the requested key.
        number: Number of the request within the run.
    """

    due_ns: int
    request_class: str
    key: int
    number: int


def read(path: Path) -> Experiment:
    """Read and validate an experiment.

    Raises:
        SettingsError: The settings are invalid. The error lists problems with section, key, value and remedy.
    """
    experiment, problems = sections.read(path, Experiment, ("load",), {"class": "classes"})
    if experiment.load.warm_up >= experiment.load.length:
        problems.append(Problem("load", "warm_up", "", "is not shorter than length; nothing would be counted"))
    if problems:
        raise SettingsError(path, problems)
    return experiment


def arrivals(experiment: Experiment) -> Iterator[Arrival]:
    """Generate all requests in order of time: Poisson arrivals, classes by share, keys by a Zipf distribution."""
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
