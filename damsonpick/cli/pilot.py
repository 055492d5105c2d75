"""`damsonpick check`, `run`, `status` and `tables`: check settings, run a pilot, show its state and its tables."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import click

from damsonpick.cli.shared import (
    EXIT_WRONG_INPUT,
    as_json,
    ask_pilot,
    fail,
    load_settings,
    print_json,
    print_table,
    settings_file,
)

if TYPE_CHECKING:
    from damsonpick.controller.control_socket import Reply
    from damsonpick.controller.daemon import Pilot
    from damsonpick.runtime.port_files import PortFileError
    from damsonpick.settings import PilotSettings


@click.command()
@settings_file
@as_json
def check(file: Path, as_json: bool) -> None:
    """Read all of FILE and list every problem in it.

    Each line states file, section, key, value and remedy. Exit code 0: no problems were found; 2: FILE has
    problems.
    """
    from damsonpick.settings import read

    _, problems = read(file)
    report = {"file": str(file), "problems": [problem._asdict() for problem in problems]}
    if not print_json(report, as_json):
        for problem in problems:
            click.echo(f"{file}: {problem}")
        if not problems:
            click.echo(f"{file}: no problems found")
    sys.exit(EXIT_WRONG_INPUT if problems else 0)


@click.command()
@settings_file
@click.option("--port-file", type=click.Path(path_type=Path), help="Write the xDS port to this file once it is open.")
def run(file: Path, port_file: Path | None) -> None:
    """Run the pilot that FILE describes until SIGTERM or SIGINT.

    Logs are written to standard error. Exit code 0: shut down cleanly; 2: the settings, the state folder, an address or
    the port file cannot be used.
    """
    run_pilot(load_settings(file), port_file)


def run_pilot(settings: PilotSettings, port_file: Path | None, **parts: Any) -> None:
    """Run a pilot in the foreground until a signal ends it.

    Ends the program with exit code 2 if the pilot cannot start or if a port file cannot be written.

    Args:
        settings: Validated settings.
        port_file: File to which the xDS port is written. The SASP port is written to the same path with the suffix
            `.sasp`.
        parts: Factories that are passed to `Pilot` unchanged.
    """
    from damsonpick.controller.control_socket import ControlListenError
    from damsonpick.controller.daemon import Pilot, XdsListenError
    from damsonpick.protocols.sasp.errors import ListenError
    from damsonpick.runtime.logs import configure
    from damsonpick.runtime.port_files import PortFileError
    from damsonpick.runtime.signal_receiver import received_signals
    from damsonpick.state.learned.errors import LockError
    from damsonpick.state.store.errors import StoreError

    log = configure(settings.log.format, settings.log.level)

    async def serve_until_signal() -> None:
        pilot = Pilot(settings, log, **parts)
        with received_signals((signal.SIGTERM, signal.SIGINT)) as signals:
            async with pilot.running():
                problem = _write_port_files(pilot, port_file)
                if problem is None:
                    async for _ in signals:
                        break
        if problem is not None:
            raise problem

    try:
        anyio.run(serve_until_signal)
    except (StoreError, LockError, ListenError, XdsListenError, ControlListenError, PortFileError) as error:
        fail(str(error), EXIT_WRONG_INPUT)


def _write_port_files(pilot: Pilot, port_file: Path | None) -> PortFileError | None:
    """Write the ports to their files.

    Returns:
        The error if a file cannot be written, so that the pilot shuts down cleanly before the error is raised.
    """
    from damsonpick.runtime import port_files

    try:
        port_files.write(port_file, pilot.ports.xds)
        if port_file is not None and pilot.ports.sasp:
            port_files.write(port_file.with_suffix(".sasp"), pilot.ports.sasp)
    except port_files.PortFileError as error:
        return error
    return None


@click.command()
@settings_file
@as_json
def status(file: Path, as_json: bool) -> None:
    """Show what each gateway has acknowledged, what waits to be sent, and the state of each server with the reason.

    `behind` is the number of changes that a gateway has not acknowledged. Exit code 3: no pilot answers.
    """
    reply = ask_pilot(file, {"ask": "status"})
    if print_json(reply, as_json):
        return
    _print_summary(reply)
    click.echo()
    _print_gateways(reply)
    click.echo()
    print_table(
        ["server", "state", "lines", "weight", "speed", "why"],
        [[e["endpoint"], e["state"], e["lines"], f"{e['weight']:g}", e["speed"], e["why"]] for e in reply["endpoints"]],
    )


def _print_summary(reply: Reply) -> None:
    channel = reply["channel"]
    click.echo(
        f"{reply['pilot']}: start number {reply['epoch']}, port {reply['port']}, change {reply['published']}, "
        f"{reply['slices']} slices, planner {reply['module']}, list: {reply['list']}"
    )
    levels = ", ".join(f"{name} {level:.0%}" for name, level in reply["levels"].items())
    click.echo(
        f"admitted: {levels}; waiting entries {channel['waiting']:g} of {channel['limit']:g} "
        f"(highest so far {channel['most']:g})"
    )


def _print_gateways(reply: Reply) -> None:
    rows = []
    for gateway in reply["gateways"]:
        rejections = "; ".join(f"{resource}: {reason}" for resource, reason in gateway["rejected"].items())
        rows.append(
            [
                gateway["gateway"],
                gateway["zone"],
                gateway["variant"],
                gateway["acknowledged"],
                gateway["published"] - gateway["acknowledged"],
                f"{gateway['waiting_lines']} lines, {gateway['waiting_s']} s",
                rejections or "-",
            ]
        )
    print_table(["gateway", "zone", "variant", "acknowledged", "behind", "waiting", "rejected"], rows)


@click.command()
@settings_file
@click.argument("slices", nargs=-1, type=int)
@as_json
def tables(file: Path, slices: tuple[int, ...], as_json: bool) -> None:
    """Show the published tables of the given SLICES, or of all slices; `*` marks a withdrawn server."""
    reply = ask_pilot(file, {"ask": "tables", "slices": list(slices) or None})
    if print_json(reply, as_json):
        return
    withdrawn = set(reply["withdrawn"])
    rows = []
    for table in reply["tables"]:
        entries = [f"{n} {weight:g}{'*' if n in withdrawn else ''}" for n, weight in sorted(table["lines"].items())]
        rows.append([table["slice"], table["version"], table["changed"], ", ".join(entries) or "none"])
    print_table(["slice", "version", "change", "servers"], rows)
