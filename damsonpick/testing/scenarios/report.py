"""Plays the scenarios that an operator selects and prints the results of the rules."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import anyio
import click

from damsonpick.settings.problems import SettingsError
from damsonpick.testing.rules import Breach, RuleResult
from damsonpick.testing.scenarios.outcome import Outcome, ProcessLoad
from damsonpick.testing.scenarios.player import play
from damsonpick.testing.scenarios.script import Script, load

SHOWN_BREACHES = 5  # most breaches printed per rule
EXIT_KEPT, EXIT_BROKEN, EXIT_UNREADABLE = 0, 1, 2


def play_scenarios(
    paths: tuple[Path, ...],
    seed: int | None,
    times: int,
    keep: Path | None,
    pilot: list[str] | None,
    as_json: bool,
    proxies: bool = False,
) -> int:
    """Play scenarios and print their outcome.

    Args:
        paths: Paths of the scripts.
        seed: Seed of the first play; None for the script's own seed.
        times: Number of plays of each scenario; each play uses the next seed.
        keep: Folder in which each play gets a new folder for its settings, records and logs; None to keep no files.
        pilot: Command that runs a pilot; None for this program's own pilot.
        as_json: Whether to print one JSON object per play instead of a table.
        proxies: Whether real proxies forward the requests, instead of the fake gateways.

    Returns:
        The exit code: 0 if all rules were kept, 1 if a rule was broken, 2 if a script is unreadable or invalid.
    """
    try:
        scripts = [(path, load(path)) for path in paths]
    except SettingsError as error:
        click.echo(str(error), err=True)
        return EXIT_UNREADABLE
    all_kept = True
    for path, script in scripts:
        first_seed = script.day.seed if seed is None else seed
        for play_seed in range(first_seed, first_seed + times):
            outcome = _play_one(path, script, play_seed, keep, pilot, proxies)
            all_kept &= outcome.kept
            if as_json:
                click.echo(json.dumps({"day": str(path), "seed": play_seed, **outcome.as_dict()}))
            else:
                _print_outcome(path, play_seed, outcome)
    return EXIT_KEPT if all_kept else EXIT_BROKEN


def _play_one(
    path: Path, script: Script, seed: int, keep: Path | None, pilot: list[str] | None, proxies: bool
) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="scenario-") as scratch:
        folder = Path(scratch)
        if keep is not None:
            folder = keep / f"{path.stem}-{seed}"
            folder.mkdir(parents=True, exist_ok=False)
        return anyio.run(play, script, seed, folder, pilot, proxies)


def _print_outcome(path: Path, seed: int, outcome: Outcome) -> None:
    verdict = "all rules kept" if outcome.kept else "A RULE WAS BROKEN"
    click.echo(
        f"{path} (seed {seed}): {verdict}; service {outcome.service:.3f} over {outcome.requests} requests "
        "(fakes on loopback)"
    )
    click.echo("  ends: " + ", ".join(f"{ending} {count}" for ending, count in sorted(outcome.endings.items())))
    for rule in outcome.rules:
        _print_rule(rule)
    for process in outcome.processes:
        click.echo(f"  {process.name}: loop late by {process.longest_lag_s:.2f} s at most, {_cpu_text(process)}")


def _cpu_text(process: ProcessLoad) -> str:
    if not process.wall_s:
        return "CPU time unknown, because the process was killed"
    return f"{process.cpu_s:.1f} s of CPU in {process.wall_s:.1f} s"


def _print_rule(rule: RuleResult) -> None:
    kept = "kept" if rule.tested else "NOT TESTED"
    verdict = "BROKEN" if rule.breaches else kept
    figures = f"tested {rule.tested:>7}  worst {rule.worst:8.3f} of {rule.limit:g} {rule.unit}"
    click.echo(f"  {verdict:<10}  {rule.name:<30} {figures}")
    for breach in rule.breaches[:SHOWN_BREACHES]:
        click.echo("          " + _breach_text(breach))
    if len(rule.breaches) > SHOWN_BREACHES:
        click.echo(f"          and {len(rule.breaches) - SHOWN_BREACHES} more")


def _breach_text(breach: Breach) -> str:
    where = f"gateway {breach.gateway} slice {breach.slice_number} server {breach.server}"
    return f"at {breach.time_ns / 1e9:.3f} {where}: {breach.text}"
