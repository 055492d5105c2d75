"""The script of a bad day: an INI file, checked whole. Troubles are named as the bench names them."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from damsonpick.settings import sections
from damsonpick.settings.problems import Problem, SettingsError
from damsonpick.settings.units import Duration, Names

Share = Annotated[float, Field(gt=0, le=1)]
PILOT_SECTIONS = ("rules", "channel", "reports", "solver", "knowledge")  # handed to the pilot as they stand


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Day(Section):
    """[day]: the fleet and the traffic."""

    length: Duration
    rate: float = Field(1.0, gt=0, le=10)  # seconds of the day to one of the wall
    seed: int = 1
    gateways: int = Field(20, ge=1, le=200)
    balancers: int = Field(0, ge=0, le=100)  # on the SASP front, beside the gateways
    servers: int = Field(16, ge=1, le=100)
    zones: Names = ("north", "south", "west", "east")
    slices: int = Field(96, ge=0, le=5000)  # 0: a table for each zone and class
    load: Share = 0.5  # of the fleet's capacity, at the start
    cores: int = Field(4, ge=1, le=64)
    notice: Duration = 1_000_000_000  # until the list knows of a change


class Kind(Section):
    """[class NAME]: as in the pilot's settings, with its share of the traffic and its work."""

    aim: Duration
    deadline: Duration
    worth: float = 1.0
    effect: Literal["read_like", "idempotency_key", "non_idempotent"] = "read_like"
    key_scope: Literal["all", "zone", "cell"] = "all"
    key_window: Duration = 0
    share: Share
    work: Duration


class Trouble(Section):
    """[trouble NAME]: what goes wrong, when, for how long, and how much. See docs/operators/badday.md."""

    kind: Literal[
        "crash",
        "deploy",
        "shrink",
        "slow",
        "hang",
        "fast_errors",
        "hot_key",
        "zone_cut",
        "counter_down",
        "report_late",
        "origin_slow",
        "false_reports",
        "balancer_stall",
        "class_fail",
        "flapping",
        "preempt",
        "pilot_restart",
        "rush",
        "half_building",
        "answers_lost",
    ]
    at: Duration
    len: Duration = 10_000_000_000
    part: Share = 0.2
    size: float = 2.0
    extra: float = 2.0


class Script(Section):
    day: Day
    classes: dict[str, Kind]
    troubles: dict[str, Trouble]
    pilot: dict[str, dict[str, str]]


def load(path: Path) -> Script:
    """A day's script.

    Raises:
        SettingsError: with every problem found, each with section, key, value and remedy.
    """
    script, problems = sections.read(
        path, Script, ("day", *PILOT_SECTIONS), {"class": "classes", "trouble": "troubles"}, whole="pilot"
    )
    problems += _across(script)
    if problems:
        raise SettingsError(path, problems)
    return script


def _across(script: Script) -> list[Problem]:
    found = []
    for name, trouble in script.troubles.items():
        if trouble.at >= script.day.length:
            found.append(
                Problem(f"trouble {name}", "at", f"{trouble.at / 1e9:g} s", "is after the day's end; start it earlier")
            )
    return found
