"""`damsonpick versions`: the table version that each gateway has, and rollback to an earlier version."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from damsonpick.cli.shared import (
    EXIT_NEGATIVE_RESULT,
    EXIT_WRONG_INPUT,
    as_json,
    ask_pilot,
    fail,
    print_json,
    print_table,
    settings_file,
)
from damsonpick.settings.units import parse_duration
from damsonpick.time_units import NS_PER_SECOND

if TYPE_CHECKING:
    from damsonpick.controller.control_socket import Reply

SHORT_ROOT_CHARS = 12  # length of a root as printed in a table

expect = click.option(
    "--expect",
    type=int,
    help="Run the command only if `list` still shows this generation. Each pin, rollback and release adds 1 to it.",
)
span = click.option(
    "--for", "span", help="How long the tables stay pinned, such as 10 min; default: as in the settings."
)


@click.group()
def versions() -> None:
    """Versions of the published tables, and rollback to an earlier version.

    A version is identified by its number or by the beginning of its root.
    """


def _duration_option(text: str | None) -> int | None:
    """Parse an option such as `10 min` and return ns; end the program with exit code 2 if it is not a duration."""
    if text is None:
        return None
    try:
        return parse_duration(text)
    except ValueError as error:
        fail(f"{text}: {error}", EXIT_WRONG_INPUT)


def _ask_versions(file: Path, command: str, **parameters: Any) -> Reply:
    return ask_pilot(file, {"ask": "versions", "do": command, **parameters})


def _format_time(ns: int) -> str:
    return datetime.fromtimestamp(ns / NS_PER_SECOND, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def _print_state(reply: Reply) -> None:
    pinned = "not pinned"
    if reply["pinned"] is not None:
        pinned = f"pinned at {reply['pinned']} for {reply['pin_left_s']} s"
    click.echo(f"version {reply['newest']}, root {reply['root']}; {pinned}; generation {reply['generation']}")
    if reply["waiting_for_disk"]:
        click.echo(f"{reply['waiting_for_disk']} versions are not stored on disk yet; see the log")


@versions.command("list")
@settings_file
@click.option("--most", default=20, show_default=True, type=click.IntRange(1, 1000))
@as_json
def list_versions(file: Path, most: int, as_json: bool) -> None:
    """List the newest versions, with the time, the cause and the size of each change."""
    reply = _ask_versions(file, "list", most=most)
    if print_json(reply, as_json):
        return
    _print_state(reply)
    rows = []
    for version in reply["versions"]:
        rows.append(
            [
                version["version"],
                version["root"][:SHORT_ROOT_CHARS],
                version["parent"],
                _format_time(version["at"]),
                version["cause"],
                version["units"],
                version["lines"],
                version["note"],
            ]
        )
    print_table(["version", "root", "parent", "time (UTC)", "cause", "units", "lines", "note"], rows)


def _format_value(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"


def _print_difference(difference: dict[str, dict[str, tuple[float | None, float | None]]]) -> None:
    rows = []
    for unit, keys in sorted(difference.items()):
        for key, (before, after) in sorted(keys.items()):
            rows.append([unit, key, _format_value(before), _format_value(after)])
    print_table(["unit", "what", "before", "after"], rows)


@versions.command()
@settings_file
@click.argument("version")
@as_json
def show(file: Path, version: str, as_json: bool) -> None:
    """Show the origin of a version and what it changed."""
    reply = _ask_versions(file, "show", version=version)
    if print_json(reply, as_json):
        return
    click.echo(
        f"version {reply['version']}, root {reply['root']}, after {reply['parent']}, {_format_time(reply['at'])}, "
        f"{reply['cause']} {reply['note']}"
    )
    _print_difference(reply["difference"])


@versions.command()
@settings_file
@click.argument("one")
@click.argument("other")
@as_json
def diff(file: Path, one: str, other: str, as_json: bool) -> None:
    """Show what changes from version ONE to OTHER."""
    reply = _ask_versions(file, "diff", one=one, other=other)
    if print_json(reply, as_json):
        return
    click.echo("no difference" if reply["same"] else f"{reply['one']} to {reply['other']}:")
    _print_difference(reply["difference"])


@versions.command()
@settings_file
@click.argument("version", required=False)
@as_json
def who(file: Path, version: str | None, as_json: bool) -> None:
    """Show which gateways have VERSION (default: the newest). Exit code 1: not all gateways have it."""
    reply = _ask_versions(file, "who", version=version)
    if not print_json(reply, as_json):
        click.echo(f"version {reply['version']}, root {reply['root']}")
        _print_holders(reply)
        for resource, stopped_version in reply["stopped"].items():
            click.echo(f"{resource}: version {stopped_version} is no longer sent: too many gateways rejected it")
    all_hold_it = all(gateway["holds"] for gateway in reply["gateways"])
    sys.exit(0 if all_hold_it else EXIT_NEGATIVE_RESULT)


def _print_holders(reply: Reply) -> None:
    rows = []
    for gateway in reply["gateways"]:
        held_version = gateway["version"]
        rows.append(
            [
                gateway["gateway"],
                gateway["zone"],
                "yes" if gateway["holds"] else "no",
                gateway["root"][:SHORT_ROOT_CHARS] if held_version is None else held_version,
                gateway["pending"],
                "-" if gateway["since_s"] is None else f"{gateway['since_s']} s",
                "itself" if gateway["verified"] else "by acknowledgement",
                ", ".join(gateway["rejected"]) or "-",
            ]
        )
    print_table(["gateway", "zone", "holds it", "holds", "pending", "since", "checked by", "rejected"], rows)


@versions.command()
@settings_file
@click.argument("version")
@click.option("--dry-run", is_flag=True, help="Only print what would be done.")
@click.option("--stages", help="Zones to roll back one after another, such as north,south; all other zones follow.")
@click.option("--hold", help="Time between stages, such as 5 s.")
@click.option("--levels", is_flag=True, help="Roll back admission levels and retry modes as well.")
@span
@expect
@as_json
def rollback(  # noqa: PLR0913, PLR0917 (click passes each option as an argument)
    file: Path,
    version: str,
    dry_run: bool,
    stages: str | None,
    hold: str | None,
    levels: bool,
    span: str | None,
    expect: int | None,
    as_json: bool,
) -> None:
    """Roll the tables back to VERSION, as far as is safe, and pin them.

    The output lists the entries that had to differ: unroutable endpoints are not restored, warming endpoints get no
    more weight than they have, and a slice that would have no server left keeps its entries. Withdrawals continue.
    Admission levels continue to change, unless --levels rolls them back: then they may fall but not rise until the pin
    ends.
    """
    zones = _parse_zones(stages)
    if zones and hold is None:
        fail("--stages needs --hold, the time between two stages, such as 5 s", EXIT_WRONG_INPUT)
    if expect is None:
        expect = _ask_versions(file, "list", most=1)["generation"]
    reply = _ask_versions(
        file,
        "rollback",
        version=version,
        dry=dry_run,
        pin_ns=_duration_option(span),
        expected=expect,
        stages=zones,
        hold_ns=_duration_option(hold),
        levels=levels,
    )
    if not print_json(reply, as_json):
        _print_rollback(reply)


def _parse_zones(stages: str | None) -> list[str]:
    names = [name.strip() for name in (stages or "").split(",")]
    return [name for name in names if name]


def _print_rollback(reply: Reply) -> None:
    outcome = f"now version {reply['now']}" if reply["done"] else "would be done"
    same = ", identical to that version" if reply.get("same") else ""
    click.echo(f"rollback to {reply['version']}: {reply['lines']} lines of {reply['slices']} slices, {outcome}{same}")
    for kept in reply["kept"]:
        click.echo(f"slice {kept['slice']} {kept['endpoint']}: {kept['why']}")


@versions.command()
@settings_file
@span
@expect
@as_json
def pin(file: Path, span: str | None, expect: int | None, as_json: bool) -> None:
    """Pin the tables as they are; withdrawals, admission levels and changes that the rules require still apply."""
    reply = _ask_versions(file, "pin", pin_ns=_duration_option(span), expected=expect)
    if not print_json(reply, as_json):
        _print_state(reply)


@versions.command()
@settings_file
@expect
@as_json
def release(file: Path, expect: int | None, as_json: bool) -> None:
    """Release the pin, so that the pilot changes the tables again, starting from their present state."""
    reply = _ask_versions(file, "release", expected=expect)
    if not print_json(reply, as_json):
        _print_state(reply)
