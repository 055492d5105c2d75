"""Reads the script of a scenario, which is an INI file, and reports all of its problems at once.

If the key of a setting in the file differs from the name of its field, the key is the field's alias. Durations are
integer ns.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from damsonpick.settings import sections
from damsonpick.settings.problems import Problem, SettingsError
from damsonpick.settings.units import Duration, Names

Share = Annotated[float, Field(gt=0, le=1)]
PILOT_SECTIONS = ("rules", "channel", "reports", "solver", "knowledge")  # copied unchanged into the pilot's settings


class Section(BaseModel):
    """One section of the file; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class FleetSettings(Section):
    """[day]: the fleet and the traffic."""

    length: Duration
    clock_rate: float = Field(1.0, gt=0, le=10, alias="rate")  # seconds of the scenario per second of the wall clock
    seed: int = 1
    gateways: int = Field(20, ge=1, le=200)
    balancers: int = Field(0, ge=0, le=100)  # SASP clients, in addition to the gateways
    servers: int = Field(16, ge=1, le=100)
    zones: Names = ("north", "south", "west", "east")
    slices: int = Field(96, ge=0, le=5000)  # 0 for a table per zone and class instead of slices
    load: Share = 0.5  # offered load as a share of the fleet's capacity at the start
    cores: int = Field(4, ge=1, le=64)
    notice: Duration = 1_000_000_000  # delay until the endpoint list shows a crash or a restart


class RequestClassSettings(Section):
    """[class NAME]: a request class as in the pilot's settings, with its share of the traffic and its mean work."""

    latency_objective: Duration = Field(alias="aim")
    deadline: Duration
    priority_weight: float = Field(1.0, alias="worth")
    effect: Literal["read_like", "idempotency_key", "non_idempotent"] = "read_like"
    key_scope: Literal["all", "zone", "cell"] = "all"
    key_window: Duration = 0
    share: Share
    work: Duration


class Fault(Section):
    """[trouble NAME]: kind, start, duration and extent of a fault.

    The meaning of `size` and `extra` depends on the kind; see docs/operators/badday.md.
    """

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
    start: Duration = Field(alias="at")
    duration: Duration = Field(10_000_000_000, alias="len")
    affected_share: Share = Field(0.2, alias="part")
    size: float = 2.0
    extra: float = 2.0


class Script(Section):
    """A complete scenario.

    Attributes:
        day: Settings of the fleet and the traffic.
        classes: Request classes by name.
        faults: Faults by name.
        pilot: Sections of the pilot's settings, copied unchanged.
    """

    day: FleetSettings
    classes: dict[str, RequestClassSettings]
    faults: dict[str, Fault]
    pilot: dict[str, dict[str, str]]


def load(path: Path) -> Script:
    """Read a scenario's script.

    Raises:
        SettingsError: The script has problems. The error lists each of them with section, key, value and remedy.
    """
    script, problems = sections.read(
        path, Script, ("day", *PILOT_SECTIONS), {"class": "classes", "trouble": "faults"}, collecting_field="pilot"
    )
    problems += _late_faults(script)
    if problems:
        raise SettingsError(path, problems)
    return script


def _late_faults(script: Script) -> list[Problem]:
    """Return a problem for each fault that would not start before the scenario's end."""
    found = []
    for name, fault in script.faults.items():
        if fault.start >= script.day.length:
            start_s = f"{fault.start / 1e9:g} s"
            found.append(
                Problem(f"trouble {name}", "at", start_s, "is not before the scenario's end; start the fault earlier")
            )
    return found
