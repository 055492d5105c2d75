"""`damsonpick knowledge` and `damsonpick list`: what is kept of the past, and which list is believed."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec

from damsonpick.cli.asking import WRONG, as_json, ask, load_settings, rows, settings_file


@click.group()
def knowledge() -> None:
    """What the pilot has learned and keeps on disk. All but `forget` work while it runs and while it does not."""


def _found(file: Path) -> tuple[Any, Any, Path]:
    from damsonpick.state.learned import generations
    from damsonpick.state.learned.disk import OsDisk

    settings = load_settings(file)
    folder = settings.knowledge_path()
    return settings, generations.load(OsDisk(), folder), folder


def _aged(found: Any) -> tuple[Any, Any]:
    from damsonpick.state.learned import ageing
    from damsonpick.state.learned.disk import host_time

    age = ageing.age_of(found.snapshot.taken_at, host_time())
    return age, ageing.decay(found.snapshot, age.ns)


@knowledge.command()
@settings_file
@as_json
def show(file: Path, as_json: bool) -> None:
    """What a pilot that starts now would be told: figures as written and as they have aged.

    Exit code 1: nothing is kept, or it cannot be read.
    """
    _, found, folder = _found(file)
    for wrong in found.problems:
        click.echo(wrong, err=True)
    if found.snapshot is None:
        click.echo(f"{folder}: nothing is kept", err=True)
        sys.exit(1)
    age, aged = _aged(found)
    kept = found.snapshot
    if as_json:
        click.echo(
            json.dumps(
                {
                    "which": found.generation,
                    "sequence": kept.sequence,
                    "age_s": age.ns / 1e9,
                    "doubt": age.clock_warning,
                    "written": msgspec.to_builtins(kept),
                    "aged": msgspec.to_builtins(aged),
                }
            )
        )
        return
    click.echo(
        f"snapshot {kept.sequence} of {kept.pilot} ({found.generation}), {age.ns / 1e9:.1f} s old"
        + (f"; {age.clock_warning}" if age.clock_warning else "")
    )
    click.echo(
        f"best {kept.fleet.best_throughput:.1f} answers/s, now {aged.fleet.best_throughput:.1f}; "
        f"{len(kept.slices)} slices with {sum(map(sum, (p.rates for p in kept.slices))):.1f} requests/s, now "
        f"{sum(map(sum, (p.rates for p in aged.slices))):.1f}"
    )
    rows(
        ["server", "process started", "speed", "aged", "last good answer"],
        [
            [
                s.endpoint,
                s.started or "long ago",
                f"{s.capacity_factor:.3f}",
                f"{now.capacity_factor:.3f}",
                f"{(kept.clock_at - s.last_success_at) / 1e9:.1f} s before it was written"
                if s.last_success_at
                else "not known",
            ]
            for s, now in zip(kept.endpoints, aged.endpoints, strict=True)
        ],
    )


@knowledge.command()
@settings_file
def verify(file: Path) -> None:
    """Read every generation and say which are whole. Exit code 1: one is not."""
    from damsonpick.state.learned import codec, generations
    from damsonpick.state.learned.errors import SnapshotError

    folder = load_settings(file).knowledge_path()
    bad = 0
    for which in (generations.CURRENT, generations.PREVIOUS):
        path = folder / which
        try:
            data = path.read_bytes()
            snapshot = codec.decode(data)
            click.echo(f"{path}: whole, snapshot {snapshot.sequence}, {len(data)} bytes")
        except FileNotFoundError:
            click.echo(f"{path}: there is none")
        except (SnapshotError, OSError) as error:
            click.echo(f"{path}: {error}")
            bad += 1
    sys.exit(1 if bad else 0)


@knowledge.command()
@settings_file
@click.argument("out", type=click.Path(path_type=Path))
def export(file: Path, out: Path) -> None:
    """Write what is kept to OUT as JSON, as it was written. Exit code 1: nothing is kept."""
    _, found, folder = _found(file)
    if found.snapshot is None:
        click.echo(f"{folder}: nothing is kept", err=True)
        sys.exit(1)
    try:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(found.snapshot), indent=1) + b"\n")
    except OSError as error:
        click.echo(f"{out}: cannot be written ({error}); name another file", err=True)
        sys.exit(WRONG)


@knowledge.command()
@settings_file
def forget(file: Path) -> None:
    """Forget what was learned. Tables, list and withdrawals stay; a running pilot starts to learn anew."""
    from damsonpick.controller import control_socket
    from damsonpick.state.learned import generations

    settings = load_settings(file)
    try:
        anyio.run(control_socket.ask, settings.control_path(), {"ask": "forget"})
        click.echo("forgotten; the running pilot learns anew")
    except control_socket.ControlError:
        count = generations.remove(settings.knowledge_path())
        click.echo(f"forgotten: {count} files of {settings.knowledge_path()}")


@click.group("list")
def listing() -> None:
    """Which server list is believed, and how far."""


@listing.command("show")
@settings_file
@as_json
def list_show(file: Path, as_json: bool) -> None:
    """Sources, and each server with its trust: 1 as listed, 0 only if no other is left."""
    reply = ask(file, {"ask": "list", "do": "show"})
    if as_json:
        click.echo(json.dumps(reply))
        return
    rows(
        ["source", "answers", "believed", "servers", "for", "why"],
        [
            [
                s["source"],
                "yes" if s["up"] else "no",
                "yes" if s["believed"] else "",
                s["servers"],
                f"{s['since_s']} s" if s["since_s"] is not None else "-",
                s["why"],
            ]
            for s in reply["sources"]
        ],
    )
    if not reply["live"]:
        click.echo("no source has answered yet: the list is the one kept on disk")
    for dispute in reply["disputes"]:
        click.echo(dispute)
    if reply["held_for_s"] is not None:
        click.echo(
            f"servers are held that the list no longer names, for {reply['held_for_s']} s; "
            "`damsonpick list accept` lets them go"
        )
    click.echo()
    rows(
        ["server", "zone", "state", "trust", "spoken for", "held"],
        [
            [
                e["endpoint"],
                e["zone"],
                e["state"],
                f"{e['trust']:g}",
                f"{e['spoken_for_s']} s ago" if e["spoken_for_s"] is not None else "not known",
                "yes" if e["held"] else "",
            ]
            for e in reply["servers"]
        ],
    )


@listing.command("accept")
@settings_file
def list_accept(file: Path) -> None:
    """Believe a list from which many servers vanished at once: what was held goes now. Exit code 1: none was held."""
    gone = ask(file, {"ask": "list", "do": "accept"})["accepted"]
    for name in gone:
        click.echo(f"{name}: let go")
    if not gone:
        click.echo("nothing is held", err=True)
        sys.exit(1)
