"""Values as operators write them: durations with a unit, addresses, lists."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

from pydantic import BeforeValidator

NS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
_DURATION = re.compile(r"^([0-9]+(?:\.[0-9]+)?)\s*(ns|us|ms|s|min|h)$")


def duration(text: object) -> int:
    """Nanoseconds from '2.2 s', '250 ms', '15 min'. A bare number is refused: its unit would be a guess."""
    if isinstance(text, int) and not isinstance(text, bool):
        return text
    match = _DURATION.match(str(text).strip())
    if not match:
        raise ValueError("is not a duration; write a number and a unit, such as 2.2 s or 250 ms")
    return round(float(match[1]) * NS[match[2]])


def address(text: object) -> str:
    """'127.0.0.1:18000' or '[::1]:18000'; port 0 lets the system choose. Loopback only."""
    host, _, port = str(text).strip().rpartition(":")
    try:
        loopback = ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError:
        raise ValueError("is not an address; write IP:PORT, such as 127.0.0.1:18000") from None
    if not port.isdigit() or int(port) > 65535:
        raise ValueError("has no port from 0 to 65535; write IP:PORT, such as 127.0.0.1:18000")
    if not loopback:
        raise ValueError("is not a loopback address; streams are plain text so far, so only loopback is served")
    return str(text).strip()


def names(text: object) -> tuple[str, ...]:
    """A comma-separated list without repeats."""
    items = (
        tuple(text)
        if isinstance(text, (tuple, list))
        else tuple(part.strip() for part in str(text).split(",") if part.strip())
    )
    if len(dict.fromkeys(items)) != len(items):
        raise ValueError("names one thing twice; list each once")
    if not items:
        raise ValueError("is empty; list at least one name")
    return items


def pairs(text: object) -> tuple[tuple[str, str, float], ...]:
    """'north>south 0.05, south>north 0.02': a price for each ordered pair."""
    if isinstance(text, tuple):
        return text
    found = []
    for part in filter(None, (p.strip() for p in str(text).split(","))):
        match = re.fullmatch(r"(\S+?)\s*>\s*(\S+)\s+([0-9.]+)", part)
        if not match:
            raise ValueError("is no list of pairs; write from>to price, such as north>south 0.05")
        found.append((match[1], match[2], float(match[3])))
    return tuple(found)


Duration = Annotated[int, BeforeValidator(duration)]
Address = Annotated[str, BeforeValidator(address)]
Names = Annotated[tuple[str, ...], BeforeValidator(names)]
Pairs = Annotated[tuple[tuple[str, str, float], ...], BeforeValidator(pairs)]


def covers(text: object) -> str:
    """'fleet', 'class NAME' or 'slices 0-9, 12'."""
    said = " ".join(str(text).split())
    kind, _, rest = said.partition(" ")
    if said == "fleet" or (kind == "class" and rest):
        return said
    if kind == "slices":
        for part in rest.split(","):
            low, _, high = part.strip().partition("-")
            if not low.isdigit() or (high and (not high.isdigit() or int(high) < int(low))):
                raise ValueError(f"names {part.strip()!r}; write slices such as 0-9, 12")
        return said
    raise ValueError("is none of: fleet, class NAME, slices 0-9, 12")


def numbers(said: str) -> list[int]:
    """The slices of a text that `covers` has checked, such as 'slices 0-9, 12'."""
    found: list[int] = []
    for part in said.partition(" ")[2].split(","):
        low, _, high = part.strip().partition("-")
        found += range(int(low), int(high or low) + 1)
    return found


Covers = Annotated[str, BeforeValidator(covers)]
