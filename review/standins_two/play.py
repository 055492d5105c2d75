"""Plays one case: `python -m review.standins_two.play N`. TROUBLE=0 leaves the disruption out.

The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from review.standins_two import cases
from review.standins_two.record import Record
from review.standins_two.site import Site
from review.standins_two.world import World

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110.0


class Case(NamedTuple):
    """A case.

    Attributes:
        rule: The rule that is judged.
        site: The deployment.
        play: What happens; the argument tells whether the disruption does.
    """

    rule: str
    site: Site
    play: Callable[[World, bool], Awaitable[None]]


CASES = {
    6: Case("owner", cases.SOLE_OWNER_SITE, cases.play_cut_off_during_handover),
    7: Case("bare", cases.RESTART_SITE, cases.play_restart_while_servers_are_dead),
    8: Case("bare", cases.PIECES_SITE, cases.play_restarts_while_news_comes_in_pieces),
}


async def run(number: int, trouble: bool, seed: int, record: Record) -> int:
    """Play a case and return the exit code."""
    case = CASES[number]
    world = World(case.site, record, seed)
    try:
        if not await world.open():
            print("a pilot did not get ready", file=sys.stderr)
            return NOT_RUN
        await asyncio.wait_for(case.play(world, trouble), LONGEST_S)
    finally:
        await world.close()
    return BROKEN if record.breaches.get(case.rule) else HELD


def main() -> int:
    """Play the case that the argument names."""
    number = int(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED") or random.randrange(1 << 31))
    record = Record(Path(__file__).resolve().parents[1] / str(number) / "record.txt")
    record.write("play", case=number, trouble=trouble, seed=seed, rule=CASES[number].rule)
    try:
        result = asyncio.run(run(number, trouble, seed, record))
    except Exception:
        traceback.print_exc()
        result = NOT_RUN
    record.write("exit", code=result)
    record.close()
    found = {rule: len(texts) for rule, texts in record.breaches.items()}
    print(f"case {number}, trouble {int(trouble)}, seed {seed}: exit {result}; breaches of rules: {found or 'none'}")
    for text in record.breaches.get(CASES[number].rule, [])[:3]:
        print(f"  {text}")
    return result


if __name__ == "__main__":
    sys.exit(main())
