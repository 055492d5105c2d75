"""`damsonpick versions`: which table each gateway holds, and the way back to an earlier one."""

from __future__ import annotations

import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click

from damsonpick.cli.asking import WRONG, as_json, ask, rows, settings_file
from damsonpick.settings.units import duration

expect = click.option("--expect", type=int, help="Act only if this is still the act number that `list` shows.")
span = click.option("--for", "span", help="How long the tables stay pinned, such as 10 min; else as in the settings.")


@click.group()
def versions() -> None:
    """Versions of the published tables, and the way back.

    A version is named by its number or by the beginning of its root.
    """


def _ns(text: str | None) -> int | None:
    try:
        return duration(text) if text is not None else None
    except ValueError as error:
        click.echo(f"{text}: {error}", err=True)
        sys.exit(WRONG)


def _ask(file: Path, what: str, **more: Any) -> dict[str, Any]:
    return ask(file, {"ask": "versions", "do": what, **more})


def _out(reply: dict[str, Any], machine: bool) -> bool:
    if machine:
        click.echo(json.dumps(reply))
    return machine


def _when(ns: int) -> str:
    return datetime.fromtimestamp(ns / 1e9, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def _state(reply: dict[str, Any]) -> None:
    pinned = f"pinned at {reply['pinned']} for {reply['pin_left_s']} s" if reply["pinned"] is not None else "not pinned"
    click.echo(f"version {reply['newest']}, root {reply['root']}; {pinned}; act {reply['generation']}")
    if reply["waiting_for_disk"]:
        click.echo(f"{reply['waiting_for_disk']} versions are not on disk yet; see the log")


@versions.command("list")
@settings_file
@click.option("--most", default=20, show_default=True, type=click.IntRange(1, 1000))
@as_json
def list_(file: Path, most: int, as_json: bool) -> None:
    """The newest versions: when, why and how much each changed."""
    reply = _ask(file, "list", most=most)
    if _out(reply, as_json):
        return
    _state(reply)
    rows(
        ["version", "root", "parent", "time (UTC)", "cause", "units", "lines", "note"],
        [
            [v["version"], v["root"][:12], v["parent"], _when(v["at"]), v["cause"], v["units"], v["lines"], v["note"]]
            for v in reply["versions"]
        ],
    )


def _difference(found: dict[str, Any]) -> None:
    rows(
        ["unit", "what", "before", "after"],
        [
            [unit, key, "-" if a is None else f"{a:g}", "-" if b is None else f"{b:g}"]
            for unit, keys in sorted(found.items())
            for key, (a, b) in sorted(keys.items())
        ],
    )


@versions.command()
@settings_file
@click.argument("version")
@as_json
def show(file: Path, version: str, as_json: bool) -> None:
    """One version: where it came from and what it changed."""
    reply = _ask(file, "show", version=version)
    if not _out(reply, as_json):
        click.echo(
            f"version {reply['version']}, root {reply['root']}, after {reply['parent']}, {_when(reply['at'])}, "
            f"{reply['cause']} {reply['note']}"
        )
        _difference(reply["difference"])


@versions.command()
@settings_file
@click.argument("one")
@click.argument("other")
@as_json
def diff(file: Path, one: str, other: str, as_json: bool) -> None:
    """What changes from version ONE to OTHER."""
    reply = _ask(file, "diff", one=one, other=other)
    if _out(reply, as_json):
        return
    click.echo("the same" if reply["same"] else f"{reply['one']} to {reply['other']}:")
    _difference(reply["difference"])


@versions.command()
@settings_file
@click.argument("version", required=False)
@as_json
def who(file: Path, version: str | None, as_json: bool) -> None:
    """Which gateways hold VERSION, the newest if none is named; exit code 1: not all of them."""
    reply = _ask(file, "who", version=version)
    if not _out(reply, as_json):
        click.echo(f"version {reply['version']}, root {reply['root']}")
        rows(
            ["gateway", "zone", "holds it", "holds", "pending", "since", "checked by", "rejected"],
            [
                [
                    g["gateway"],
                    g["zone"],
                    "yes" if g["holds"] else "no",
                    g["root"][:12] if g["version"] is None else g["version"],
                    g["pending"],
                    "-" if g["since_s"] is None else f"{g['since_s']} s",
                    "itself" if g["verified"] else "its word",
                    ", ".join(g["rejected"]) or "-",
                ]
                for g in reply["gateways"]
            ],
        )
        for name, text in reply["stopped"].items():
            click.echo(f"{name}: version {text} is held back: too many gateways refused it")
    sys.exit(0 if all(g["holds"] for g in reply["gateways"]) else 1)


@versions.command()
@settings_file
@click.argument("version")
@click.option("--dry-run", is_flag=True, help="Say what would be done.")
@click.option("--stages", help="Zones one after another, such as north,south; the others follow.")
@click.option("--hold", help="Time between stages, such as 5 s.")
@click.option("--levels", is_flag=True, help="Set what is let in, and retry modes, back as well.")
@span
@expect
@as_json
def rollback(
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

    What had to differ is listed: barred servers are not revived, cold ones get no more than they have, and a slice
    that would be left without a server keeps what it has. Withdrawals go on; levels go on unless --levels sets them
    back: then they may fall until the pin ends, and not rise.
    """
    zones = [z.strip() for z in stages.split(",") if z.strip()] if stages else []
    if zones and hold is None:
        click.echo("--stages needs --hold, the time between two stages, such as 5 s", err=True)
        sys.exit(WRONG)
    if expect is None:
        expect = _ask(file, "list", most=1)["generation"]
    reply = _ask(
        file,
        "rollback",
        version=version,
        dry=dry_run,
        pin_ns=_ns(span),
        expected=expect,
        stages=zones,
        hold_ns=_ns(hold),
        levels=levels,
    )
    if _out(reply, as_json):
        return
    verb = f"now version {reply['now']}" if reply["done"] else "would be done"
    same = ", the same as then" if reply.get("same") else ""
    click.echo(f"back to {reply['version']}: {reply['lines']} lines of {reply['slices']} slices, {verb}{same}")
    for kept in reply["kept"]:
        click.echo(f"slice {kept['slice']} {kept['endpoint']}: {kept['why']}")


@versions.command()
@settings_file
@span
@expect
@as_json
def pin(file: Path, span: str | None, expect: int | None, as_json: bool) -> None:
    """Hold the tables as they are; withdrawals, levels and what the rules need still flow."""
    reply = _ask(file, "pin", pin_ns=_ns(span), expected=expect)
    if not _out(reply, as_json):
        _state(reply)


@versions.command()
@settings_file
@expect
@as_json
def release(file: Path, expect: int | None, as_json: bool) -> None:
    """Let the pilot move tables again, from where they are."""
    reply = _ask(file, "release", expected=expect)
    if not _out(reply, as_json):
        _state(reply)
