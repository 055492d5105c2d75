"""Code that the commands share: exit codes, options, settings, queries to a running pilot, printed tables."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import anyio
import click

from damsonpick.controller import control_socket
from damsonpick.controller.control_socket import Reply, Request

if TYPE_CHECKING:
    from damsonpick.settings import PilotSettings

EXIT_NEGATIVE_RESULT = 1  # the answer is no, or a rule was broken
EXIT_WRONG_INPUT = 2
EXIT_NO_PILOT = 3

settings_file = click.argument("file", type=click.Path(path_type=Path))
as_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object for scripts.")


def fail(message: str, exit_code: int) -> NoReturn:
    """Print `message` on standard error and end the program with `exit_code`."""
    click.echo(message, err=True)
    sys.exit(exit_code)


def load_settings(file: Path) -> PilotSettings:
    """Load the settings of a pilot; end the program with exit code 2 if they are invalid."""
    from damsonpick.settings import SettingsError, load

    try:
        return load(file)
    except SettingsError as error:
        fail(str(error), EXIT_WRONG_INPUT)


def ask_pilot(file: Path, request: Request) -> Reply:
    """Send a request to the pilot that runs with these settings and return its reply.

    Ends the program with exit code 3 if no pilot answers, and with exit code 2 if the settings are invalid or the pilot
    rejects the request.
    """
    settings = load_settings(file)
    try:
        reply = anyio.run(control_socket.ask, settings.control_path(), request)
    except control_socket.ControlError as error:
        fail(str(error), EXIT_NO_PILOT)
    if "error" in reply:
        fail(reply["error"], EXIT_WRONG_INPUT)
    return reply


def print_json(value: Any, enabled: bool) -> bool:
    """Print `value` as JSON if `enabled` is true; return `enabled`."""
    if enabled:
        click.echo(json.dumps(value))
    return enabled


def print_table(titles: Sequence[str], lines: Sequence[Sequence[object]]) -> None:
    """Print a table with left-aligned columns."""
    cells = [list(titles)]
    for line in lines:
        cells.append([str(value) for value in line])
    widths = [max(len(row[column]) for row in cells) for column in range(len(titles))]
    for row in cells:
        padded = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
        click.echo("  ".join(padded).rstrip())
