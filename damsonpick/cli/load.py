"""`damsonpick load`: generates load and prints the results."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import anyio
import click

from damsonpick.cli.shared import EXIT_WRONG_INPUT, as_json, fail, print_json, print_table


@click.command()
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Write the results to this file, for a later --compare.")
@click.option(
    "--compare", type=click.Path(path_type=Path), help="Compare with this earlier results file of the same experiment."
)
@as_json
def load(experiment: Path, out: Path | None, compare: Path | None, as_json: bool) -> None:
    """Send the load that EXPERIMENT describes and print the results.

    The load is open loop: each request is sent when it is due, and its latency counts from that time. Exit code 2:
    wrong input.
    """
    from damsonpick.load_tool import player, results
    from damsonpick.load_tool.experiment import read
    from damsonpick.settings.problems import SettingsError

    try:
        result = anyio.run(player.LoadGenerator(read(experiment)).run)
        comparison = results.compare(result, compare) if compare else []
    except (SettingsError, ValueError) as error:
        fail(str(error), EXIT_WRONG_INPUT)
    if out:
        out.write_text(json.dumps(result) + "\n")
    if print_json(result, as_json):
        return
    _print_classes(result, results.PERCENTILES)
    click.echo(f"the sender was late by at most {result['sender_late_us']} us")
    if comparison:
        print_table(["class", "figure", "earlier", "now", "ratio"], comparison)


def _print_classes(result: dict[str, Any], percentiles: tuple[float, ...]) -> None:
    rows = []
    for name, figures in result["classes"].items():
        outcomes = ", ".join(f"{outcome} {count}" for outcome, count in figures["ends"].items())
        rows.append([name, figures["requests"], figures["per_second"], *figures["latency_us"].values(), outcomes])
    latencies = [f"p{percentile:g} us" for percentile in percentiles]
    print_table(["class", "requests", "per second", *latencies, "ends"], rows)
