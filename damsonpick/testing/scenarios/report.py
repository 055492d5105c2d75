"""Plays the days that an operator names and prints the table of rules."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import anyio
import click

from damsonpick.settings.problems import SettingsError
from damsonpick.testing.scenarios.player import Outcome, play
from damsonpick.testing.scenarios.script import Script, load

BREACHES = 5  # shown for each rule


def rehearse(
    days: tuple[Path, ...],
    seed: int | None,
    times: int,
    keep: Path | None,
    pilot: list[str] | None,
    as_json: bool,
    proxies: bool = False,
) -> int:
    """Exit code: 0 all rules kept, 1 one broken, 2 a script cannot be read."""
    try:
        scripts = [(path, load(path)) for path in days]
    except SettingsError as error:
        click.echo(str(error), err=True)
        return 2
    kept = True
    for path, script in scripts:
        for k in range(times):
            number = (script.day.seed if seed is None else seed) + k
            outcome = _one(path, script, number, keep, pilot, proxies)
            kept &= outcome.kept
            if as_json:
                click.echo(json.dumps({"day": str(path), "seed": number, **outcome.as_dict()}))
            else:
                _print(path, number, outcome)
    return 0 if kept else 1


def _one(path: Path, script: Script, seed: int, keep: Path | None, pilot: list[str] | None, proxies: bool) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="badday-") as scratch:
        folder = Path(scratch)
        if keep is not None:
            folder = keep / f"{path.stem}-{seed}"
            folder.mkdir(parents=True, exist_ok=False)
        return anyio.run(play, script, seed, folder, pilot, proxies)


def _print(path: Path, seed: int, outcome: Outcome) -> None:
    click.echo(
        f"{path} (seed {seed}): {'all rules kept' if outcome.kept else 'A RULE WAS BROKEN'}; service "
        f"{outcome.service:.3f} over {outcome.requests} requests (stand-ins on loopback)"
    )
    click.echo("  ends: " + ", ".join(f"{how} {n}" for how, n in sorted(outcome.ends.items())))
    for rule in outcome.rules:
        mark = "kept  " if not rule.breaches else "BROKEN"
        click.echo(
            f"  {mark}  {rule.name:<30} tested {rule.tested:>7}  worst {rule.worst:8.3f} of {rule.limit:g} {rule.unit}"
        )
        for breach in rule.breaches[:BREACHES]:
            click.echo(
                f"          at {breach.time_ns / 1e9:.3f} gateway {breach.gateway} slice {breach.slice_number} "
                f"server {breach.server}: {breach.text}"
            )
        if len(rule.breaches) > BREACHES:
            click.echo(f"          and {len(rule.breaches) - BREACHES} more")
