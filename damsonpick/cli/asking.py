"""What the commands share: settings read, a pilot asked, rows printed."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import anyio
import click

from damsonpick.controller import control_socket

WRONG, NO_PILOT = 2, 3
settings_file = click.argument("file", type=click.Path(path_type=Path))
as_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object for scripts.")


def load_settings(file: Path) -> Any:
    """Settings of a pilot; ends the program with code 2 where they are wrong."""
    from damsonpick.settings import SettingsError, load

    try:
        return load(file)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(WRONG)


def ask(file: Path, request: dict[str, Any]) -> dict[str, Any]:
    """The answer of the pilot that runs on these settings; ends the program with code 3 where none answers."""
    settings = load_settings(file)
    try:
        reply = anyio.run(control_socket.ask, settings.control_path(), request)
    except control_socket.ControlError as error:
        click.echo(str(error), err=True)
        sys.exit(NO_PILOT)
    if "error" in reply:
        click.echo(reply["error"], err=True)
        sys.exit(WRONG)
    return reply


def rows(titles: list[str], lines: list[list[object]]) -> None:
    """A table of left-aligned columns."""
    cells = [titles, *[[str(c) for c in row] for row in lines]]
    widths = [max(len(row[k]) for row in cells) for k in range(len(titles))]
    for row in cells:
        click.echo("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip())
