"""`damsonpick scenario`: runs scripted faults against a real pilot on this machine."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path

import click

from damsonpick.cli.shared import as_json


@click.command()
@click.argument("scripts", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option(
    "--seed", type=int, help="Seed of the fleet, the traffic and the targets of faults; default: the script's seed."
)
@click.option(
    "--times",
    default=1,
    show_default=True,
    type=click.IntRange(1, 100),
    help="Run each scenario this number of times, with consecutive seeds.",
)
@click.option("--keep", type=click.Path(path_type=Path), help="Keep settings, records and logs in this folder.")
@click.option("--proxies", is_flag=True, help="Use real proxies as the data plane instead of simulated forwarding.")
@click.option("--pilot", help="Command that runs a pilot, instead of this program's own.")
@as_json
def scenario(
    scripts: tuple[Path, ...],
    seed: int | None,
    times: int,
    keep: Path | None,
    proxies: bool,
    pilot: str | None,
    as_json: bool,
) -> None:
    """Run the scenarios of SCRIPTS: a pilot, gateways and servers on loopback, with scripted faults.

    The five rules are checked against the traffic on the sockets. Exit code 0: every scenario kept all rules; 1: a rule
    was broken, and the output names it; 2: a script cannot be read.
    """
    from damsonpick.testing.scenarios import report

    pilot_command = shlex.split(pilot) if pilot else None
    sys.exit(report.play_scenarios(scripts, seed, times, keep, pilot_command, as_json, proxies))
