"""Plays one case: `python -m review.standins.play N`. `TROUBLE=0` leaves the disruption out."""

from __future__ import annotations

import asyncio
import importlib.util
import os
import sys
import traceback
from pathlib import Path
from types import ModuleType

from review.standins.world import EXIT_CANNOT_RUN, play

REVIEW = Path(__file__).resolve().parents[1]


def load_case(number: str) -> ModuleType:
    """Import the scenario of a case."""
    spec = importlib.util.spec_from_file_location(f"case_{number}", REVIEW / number / "case.py")
    if spec is None or spec.loader is None:
        raise FileNotFoundError(number)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def main() -> int:
    """Play the case that the first argument names and return the exit code of its script."""
    number = sys.argv[1]
    try:
        case = load_case(number)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record_path = REVIEW / number / "record.txt"
        return play(case.DEPLOYMENT, case.scenario, record_path, case.RULE, trouble)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return EXIT_CANNOT_RUN


if __name__ == "__main__":
    sys.exit(main())
