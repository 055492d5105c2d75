"""What an experiment measured, as a file that can be compared with an earlier one.

Latency runs from the moment a request was due, not from when it was sent, so waiting for a stalled target counts
(G. Tene, "How NOT to Measure Latency", 2015). Figures are kept in HDR histograms, three digits, 1 us to 100 s.
"""

from __future__ import annotations

import json
import platform
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from damsonpick.load_tool.experiment import Experiment

LEAST, MOST, DIGITS = 1, 100_000_000, 3  # microseconds
PERCENTILES = (50, 90, 99, 99.9, 100)


class Tally:
    """Outcomes of one class."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LEAST, MOST, DIGITS)
        self.ends: dict[str, int] = {}

    def add(self, how: str, microseconds: int) -> None:
        self.ends[how] = self.ends.get(how, 0) + 1
        self.histogram.record_value(min(MOST, max(LEAST, microseconds)))

    def view(self, seconds: float) -> dict[str, Any]:
        count = sum(self.ends.values())
        return {
            "requests": count,
            "per_second": round(count / seconds, 1),
            "ends": dict(sorted(self.ends.items())),
            "latency_us": {f"p{p:g}": self.histogram.get_value_at_percentile(p) for p in PERCENTILES},
            "histogram": self.histogram.encode().decode(),
        }


def report(made: Experiment, tallies: dict[str, Tally], behind_us: int) -> dict[str, Any]:
    """One JSON object; `behind_us` is how late the tool itself was at its worst, as a check on it."""
    seconds = (made.load.length - made.load.warm_up) / 1e9
    return {
        "experiment": made.model_dump(mode="json"),
        "python": platform.python_version(),
        "sender_late_us": behind_us,
        "classes": {n: t.view(seconds) for n, t in sorted(tallies.items())},
    }


def compare(now: dict[str, Any], path: Path) -> list[list[object]]:
    """Rows (class, figure, earlier, now, ratio).

    Raises:
        ValueError: the file is no results file, or of another experiment.
    """
    try:
        before = json.loads(path.read_text())
        classes = before["classes"]
    except (OSError, ValueError, KeyError) as error:
        raise ValueError(f"{path}: is no results file of this tool ({error}); give one that --out wrote") from None
    if before["experiment"] != now["experiment"]:
        raise ValueError(f"{path}: is of another experiment; compare runs of one file")
    rows: list[list[object]] = []
    for name, view in now["classes"].items():
        if name not in classes:
            continue
        for figure, value in view["latency_us"].items():
            earlier = classes[name]["latency_us"][figure]
            rows.append([name, f"{figure} us", earlier, value, f"{value / max(1, earlier):.2f}"])
        good, was = view["ends"].get("200", 0), classes[name]["ends"].get("200", 0)
        rows.append([name, "answered", was, good, f"{good / max(1, was):.2f}"])
    return rows
