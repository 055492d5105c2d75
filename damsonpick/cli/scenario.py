"""`damsonpick scenario`: plays scripted faults against a real pilot on this machine."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path

import click

from damsonpick.cli.shared import as_json


@click.command()
@click.argument("scripts", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="Draws fleet, traffic and who is struck; the script's own if not given.")
@click.option(
    "--times",
    default=1,
    show_default=True,
    type=click.IntRange(1, 100),
    help="Play each scenario so often, with the next seeds.",
)
@click.option("--keep", type=click.Path(path_type=Path), help="Keep settings, records and logs in this folder.")
@click.option("--proxies", is_flag=True, help="Real proxies as data plane, in place of simulated forwarding.")
@click.option("--pilot", help="The command that runs a pilot, in place of this program's own.")
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
    """Play the scenarios of SCRIPTS: a pilot, gateways and servers on loopback, with scripted faults.

    The five rules are checked from what passed on the sockets. Exit code 0: all kept in every scenario; 1: one was
    broken, it is named; 2: a script cannot be read.
    """
    from damsonpick.testing.scenarios import report

    pilot_command = shlex.split(pilot) if pilot else None
    sys.exit(report.rehearse(scripts, seed, times, keep, pilot_command, as_json, proxies))
