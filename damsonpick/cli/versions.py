"""`damsonpick versions`: which table each gateway holds, and the way back to an earlier one."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from damsonpick.cli.shared import (
    EXIT_NO,
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

SHORT_ROOT = 12  # characters of a root that are shown

expect = click.option("--expect", type=int, help="Act only if this is still the act number that `list` shows.")
span = click.option("--for", "span", help="How long the tables stay pinned, such as 10 min; else as in the settings.")


@click.group()
def versions() -> None:
    """Versions of the published tables, and the way back.

    A version is named by its number or by the beginning of its root.
    """


def _duration_option(text: str | None) -> int | None:
    """ns of an option such as `10 min`; ends the program with code 2 where it is no duration."""
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
    click.echo(f"version {reply['newest']}, root {reply['root']}; {pinned}; act {reply['generation']}")
    if reply["waiting_for_disk"]:
        click.echo(f"{reply['waiting_for_disk']} versions are not on disk yet; see the log")


@versions.command("list")
@settings_file
@click.option("--most", default=20, show_default=True, type=click.IntRange(1, 1000))
@as_json
def list_versions(file: Path, most: int, as_json: bool) -> None:
    """The newest versions: when, why and how much each changed."""
    reply = _ask_versions(file, "list", most=most)
    if print_json(reply, as_json):
        return
    _print_state(reply)
    rows = []
    for version in reply["versions"]:
        rows.append(
            [
                version["version"],
                version["root"][:SHORT_ROOT],
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
    """One version: where it came from and what it changed."""
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
    """What changes from version ONE to OTHER."""
    reply = _ask_versions(file, "diff", one=one, other=other)
    if print_json(reply, as_json):
        return
    click.echo("the same" if reply["same"] else f"{reply['one']} to {reply['other']}:")
    _print_difference(reply["difference"])


@versions.command()
@settings_file
@click.argument("version", required=False)
@as_json
def who(file: Path, version: str | None, as_json: bool) -> None:
    """Which gateways hold VERSION, the newest if none is named; exit code 1: not all of them."""
    reply = _ask_versions(file, "who", version=version)
    if not print_json(reply, as_json):
        click.echo(f"version {reply['version']}, root {reply['root']}")
        _print_holders(reply)
        for resource, stopped_version in reply["stopped"].items():
            click.echo(f"{resource}: version {stopped_version} is held back: too many gateways refused it")
    all_hold_it = all(gateway["holds"] for gateway in reply["gateways"])
    sys.exit(0 if all_hold_it else EXIT_NO)


def _print_holders(reply: Reply) -> None:
    rows = []
    for gateway in reply["gateways"]:
        held_version = gateway["version"]
        rows.append(
            [
                gateway["gateway"],
                gateway["zone"],
                "yes" if gateway["holds"] else "no",
                gateway["root"][:SHORT_ROOT] if held_version is None else held_version,
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
@click.option("--dry-run", is_flag=True, help="Say what would be done.")
@click.option("--stages", help="Zones one after another, such as north,south; the others follow.")
@click.option("--hold", help="Time between stages, such as 5 s.")
@click.option("--levels", is_flag=True, help="Set admission levels and retry modes back as well.")
@span
@expect
@as_json
def rollback(  # noqa: PLR0913, PLR0917 (click hands each option over as an argument)
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
    """Set the tables as VERSION had them, as far as is safe, and pin them.

    What had to differ is listed: unroutable endpoints are not restored, warming ones get no more than they have, and a
    slice that would be left without a server keeps what it has. Withdrawals go on; levels go on unless --levels sets
    them back: then they may fall until the pin ends, and not rise.
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
    same = ", the same as then" if reply.get("same") else ""
    click.echo(f"back to {reply['version']}: {reply['lines']} lines of {reply['slices']} slices, {outcome}{same}")
    for kept in reply["kept"]:
        click.echo(f"slice {kept['slice']} {kept['endpoint']}: {kept['why']}")


@versions.command()
@settings_file
@span
@expect
@as_json
def pin(file: Path, span: str | None, expect: int | None, as_json: bool) -> None:
    """Hold the tables as they are; withdrawals, levels and what the rules need still flow."""
    reply = _ask_versions(file, "pin", pin_ns=_duration_option(span), expected=expect)
    if not print_json(reply, as_json):
        _print_state(reply)


@versions.command()
@settings_file
@expect
@as_json
def release(file: Path, expect: int | None, as_json: bool) -> None:
    """Let the pilot move tables again, from where they are."""
    reply = _ask_versions(file, "release", expected=expect)
    if not print_json(reply, as_json):
        _print_state(reply)
