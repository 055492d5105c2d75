"""`python -m damsonpick.testing.soak FIRST COUNT`: runs the soaks of a range of seeds in parallel.

The exit code is 1 if a soak failed.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import anyio
import click

from damsonpick.testing.soak.player import SoakResult, play

DEFAULT_PARALLEL = 3


async def play_all(first: int, count: int, parallel: int, keep: Path | None) -> list[SoakResult]:
    """Run the soaks of `count` seeds from `first` on, and print each result once the soak has ended."""
    results: list[SoakResult] = []
    slots = anyio.Semaphore(parallel)

    async def play_one(seed: int) -> None:
        async with slots:
            with tempfile.TemporaryDirectory(prefix="soak-") as scratch:
                folder = Path(scratch) if keep is None else keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
                result = await play(seed, folder)
        results.append(result)
        verdict = "; ".join(result.failures) or "passed"
        endings = ", ".join(result.endings)
        click.echo(f"seed {result.seed}: {verdict} ({endings}; {result.requests} requests)")

    async with anyio.create_task_group() as group:
        for seed in range(first, first + count):
            group.start_soon(play_one, seed)
    return results


@click.command()
@click.argument("first", type=int)
@click.argument("count", type=click.IntRange(min=1))
@click.option("--parallel", default=DEFAULT_PARALLEL, show_default=True, type=click.IntRange(min=1))
@click.option("--keep", type=click.Path(path_type=Path), help="Keep configurations and logs in this folder.")
def main(first: int, count: int, parallel: int, keep: Path | None) -> None:
    """Run the soaks of COUNT seeds, starting with FIRST."""
    results = anyio.run(play_all, first, count, parallel, keep)
    failed = sorted(result.seed for result in results if result.failures)
    click.echo(f"{len(results)} soaks, {len(failed)} failed{': ' if failed else ''}{', '.join(map(str, failed))}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
