"""`damsonpick learned`: the snapshots of the pilot's learned state."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import anyio
import click
import msgspec

from damsonpick.cli.shared import (
    EXIT_NEGATIVE_RESULT,
    EXIT_NO_PILOT,
    EXIT_WRONG_INPUT,
    as_json,
    fail,
    load_settings,
    print_json,
    print_table,
    settings_file,
)
from damsonpick.time_units import NS_PER_SECOND

if TYPE_CHECKING:
    from damsonpick.settings import PilotSettings
    from damsonpick.state.learned.generations import LoadedSnapshot
    from damsonpick.state.learned.snapshot import LearnedEndpoint, Snapshot


@click.group()
def learned() -> None:
    """The learned state that the pilot keeps on disk.

    All commands except `forget` work in the same way whether or not the pilot runs.
    """


def _find_newest(folder: Path) -> LoadedSnapshot:
    """Return the newest valid snapshot, and the problems of the files that were rejected."""
    from damsonpick.state.learned import generations
    from damsonpick.state.learned.disk import OsDisk

    return generations.load(OsDisk(), folder)


@learned.command()
@settings_file
@as_json
def show(file: Path, as_json: bool) -> None:
    """Show what a pilot that starts now would restore: the figures as written and after ageing.

    Exit code 1: no valid snapshot is stored.
    """
    from damsonpick.state.learned import ageing
    from damsonpick.state.learned.disk import host_time

    folder = load_settings(file).learned_path()
    found = _find_newest(folder)
    for problem in found.problems:
        click.echo(problem, err=True)
    written = found.snapshot
    if written is None:
        fail(f"{folder}: no valid snapshot is stored", EXIT_NEGATIVE_RESULT)
    age = ageing.age_of(written.taken_at, host_time())
    aged = ageing.decay(written, age.ns)
    age_s = age.ns / NS_PER_SECOND
    report = {
        "which": found.generation,
        "sequence": written.sequence,
        "age_s": age_s,
        "doubt": age.clock_warning,
        "written": msgspec.to_builtins(written),
        "aged": msgspec.to_builtins(aged),
    }
    if print_json(report, as_json):
        return
    uncertainty = f"; {age.clock_warning}" if age.clock_warning else ""
    click.echo(f"snapshot {written.sequence} of {written.pilot} ({found.generation}), {age_s:.1f} s old{uncertainty}")
    _print_fleet(written, aged)
    _print_servers(written, aged)


def _request_rate(snapshot: Snapshot) -> float:
    """Return the request rate over all slices and classes, requests per second."""
    return sum(sum(learned_slice.rates) for learned_slice in snapshot.slices)


def _print_fleet(written: Snapshot, aged: Snapshot) -> None:
    click.echo(
        f"best throughput {written.fleet.best_throughput:.1f} responses/s, now {aged.fleet.best_throughput:.1f}; "
        f"{len(written.slices)} slices with {_request_rate(written):.1f} requests/s, now {_request_rate(aged):.1f}"
    )


def _print_servers(written: Snapshot, aged: Snapshot) -> None:
    rows = []
    for server, aged_server in zip(written.endpoints, aged.endpoints, strict=True):
        rows.append(
            [
                server.endpoint,
                server.started or "long ago",
                f"{server.capacity_factor:.3f}",
                f"{aged_server.capacity_factor:.3f}",
                _last_answer(written, server),
            ]
        )
    print_table(["server", "process started", "speed", "aged", "last good answer"], rows)


def _last_answer(written: Snapshot, server: LearnedEndpoint) -> str:
    if not server.last_success_at:
        return "unknown"
    return f"{(written.clock_at - server.last_success_at) / NS_PER_SECOND:.1f} s before the snapshot was written"


@learned.command()
@settings_file
def verify(file: Path) -> None:
    """Read every snapshot generation and report which are valid.

    Exit code 1: an existing generation is invalid or cannot be read.
    """
    from damsonpick.state.learned import codec, generations
    from damsonpick.state.learned.errors import SnapshotError

    folder = load_settings(file).learned_path()
    all_valid = True
    for generation in (generations.CURRENT, generations.PREVIOUS):
        path = folder / generation
        try:
            data = path.read_bytes()
            snapshot = codec.decode(data)
            click.echo(f"{path}: valid, snapshot {snapshot.sequence}, {len(data)} bytes")
        except FileNotFoundError:
            click.echo(f"{path}: does not exist")
        except (SnapshotError, OSError) as error:
            click.echo(f"{path}: {error}")
            all_valid = False
    sys.exit(0 if all_valid else EXIT_NEGATIVE_RESULT)


@learned.command()
@settings_file
@click.argument("out", type=click.Path(path_type=Path))
def export(file: Path, out: Path) -> None:
    """Write the newest valid snapshot to OUT as JSON, without ageing. Exit code 1: no valid snapshot is stored."""
    folder = load_settings(file).learned_path()
    snapshot = _find_newest(folder).snapshot
    if snapshot is None:
        fail(f"{folder}: no valid snapshot is stored", EXIT_NEGATIVE_RESULT)
    try:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(snapshot), indent=1) + b"\n")
    except OSError as error:
        fail(f"{out}: cannot be written ({error}); choose another file", EXIT_WRONG_INPUT)


@learned.command()
@settings_file
def forget(file: Path) -> None:
    """Delete the learned state.

    Tables, endpoint list and withdrawals stay. A running pilot starts to learn anew.
    """
    from damsonpick.controller import control_socket

    settings = load_settings(file)
    try:
        reply = anyio.run(control_socket.ask, settings.control_path(), {"ask": "forget"})
    except control_socket.NoPilotError:
        _forget_without_pilot(settings)
        return
    except control_socket.NoReplyError as error:
        fail(
            f"{error}; no file was touched; the pilot forgets the learned state if it still reads the request",
            EXIT_NO_PILOT,
        )
    except control_socket.ControlError as error:
        fail(f"{error}; nothing was forgotten", EXIT_NO_PILOT)
    if "error" in reply:
        fail(reply["error"], EXIT_WRONG_INPUT)
    click.echo("forgotten; the running pilot learns anew")


def _forget_without_pilot(settings: PilotSettings) -> None:
    """Remove the snapshot files of a pilot that does not run.

    Only the lock of its folder proves that the pilot does not run; a missing reply does not.
    """
    from damsonpick.state.learned import generations
    from damsonpick.state.learned.disk import FolderLock
    from damsonpick.state.learned.errors import LockError

    folder = settings.learned_path()
    count = 0
    if folder.exists():
        try:
            lock = FolderLock(settings.pilot.state)
        except LockError as error:
            fail(f"{error}; nothing was forgotten", EXIT_NO_PILOT)
        try:
            count = generations.remove(folder)
        finally:
            lock.release()
    click.echo(f"forgotten: {count} files in {folder}")
