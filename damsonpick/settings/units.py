"""Parses values of a settings file: durations, loopback addresses, names, costs of zone pairs and coverages.

Each `parse_` function accepts the text of a value or a value that is already parsed. If the text is invalid, it raises
an error of `value_errors`, which is a ValueError whose message describes the problem and the correct form. Only a cost
that is not a number, such as 0.1.2, raises the ValueError of `float`.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

from pydantic import BeforeValidator

from damsonpick.settings.value_errors import (
    NoNamesError,
    NotACoverageError,
    NotADurationError,
    NotAnAddressError,
    NotLoopbackError,
    PortError,
    RepeatedNameError,
    SliceRangeError,
    ZonePairCostError,
)

NS_PER_UNIT = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
_DURATION = re.compile(r"^([0-9]+(?:\.[0-9]+)?)\s*(ns|us|ms|s|min|h)$")
_ZONE_PAIR_COST = re.compile(r"(\S+?)\s*>\s*(\S+)\s+([0-9.]+)")
HIGHEST_PORT = 65_535

ZonePairCost = tuple[str, str, float]  # from, to, cost


def parse_duration(text: object) -> int:
    """Return the nanoseconds of a duration such as '2.2 s', '250 ms' or '15 min'.

    A text without a unit is rejected, because its unit would be a guess. An integer is an already parsed duration.
    """
    if isinstance(text, int) and not isinstance(text, bool):
        return text
    match = _DURATION.match(str(text).strip())
    if not match:
        raise NotADurationError
    return round(float(match[1]) * NS_PER_UNIT[match[2]])


def parse_address(text: object) -> str:
    """Return a loopback address such as '127.0.0.1:18000' or '[::1]:18000'. With port 0 the system chooses the port."""
    stripped = str(text).strip()
    host, _, port = stripped.rpartition(":")
    try:
        is_loopback = ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError:
        raise NotAnAddressError from None
    if not port.isdecimal() or int(port) > HIGHEST_PORT:
        raise PortError
    if not is_loopback:
        raise NotLoopbackError
    return stripped


def parse_names(text: object) -> tuple[str, ...]:
    """Return the names of a comma-separated list. An empty list and repeated names are rejected."""
    names = tuple(text) if isinstance(text, tuple | list) else _split(text)
    if len(set(names)) != len(names):
        raise RepeatedNameError
    if not names:
        raise NoNamesError
    return names


def parse_zone_pair_costs(text: object) -> tuple[ZonePairCost, ...]:
    """Return the cost of each ordered pair of zones in a text such as 'north>south 0.05, south>north 0.02'."""
    if isinstance(text, tuple):
        return text
    costs = []
    for part in _split(text):
        match = _ZONE_PAIR_COST.fullmatch(part)
        if not match:
            raise ZonePairCostError
        costs.append((match[1], match[2], float(match[3])))
    return tuple(costs)


def parse_coverage(text: object) -> str:
    """Return a coverage ('fleet', 'class NAME' or 'slices 0-9, 12') with single spaces."""
    coverage = " ".join(str(text).split())
    kind, _, rest = coverage.partition(" ")
    if coverage == "fleet" or (kind == "class" and rest):
        return coverage
    if kind != "slices":
        raise NotACoverageError
    for part in rest.split(","):
        low, _, high = part.strip().partition("-")
        is_range = low.isdecimal() and (not high or (high.isdecimal() and int(high) >= int(low)))
        if not is_range:
            raise SliceRangeError(part.strip())
    return coverage


def slice_numbers(coverage: str) -> list[int]:
    """Return the slices of a coverage such as 'slices 0-9, 12' that `parse_coverage` returned."""
    numbers: list[int] = []
    for part in coverage.partition(" ")[2].split(","):
        low, _, high = part.strip().partition("-")
        numbers += range(int(low), int(high or low) + 1)
    return numbers


def _split(text: object) -> tuple[str, ...]:
    parts = [part.strip() for part in str(text).split(",")]
    return tuple(part for part in parts if part)


Duration = Annotated[int, BeforeValidator(parse_duration)]  # ns
Address = Annotated[str, BeforeValidator(parse_address)]
Names = Annotated[tuple[str, ...], BeforeValidator(parse_names)]
ZonePairCosts = Annotated[tuple[ZonePairCost, ...], BeforeValidator(parse_zone_pair_costs)]
Coverage = Annotated[str, BeforeValidator(parse_coverage)]
