"""`damsonpick`: the operators' commands. Exit codes: 0 done, 1 not as it should be, 2 wrong input, 3 no pilot."""

from __future__ import annotations

import json
import shlex
import signal
import sys
from pathlib import Path
from typing import Any

import anyio
import click

from damsonpick.cli.asking import WRONG, as_json, ask, load_settings, rows, settings_file
from damsonpick.cli.knowledge import knowledge, listing
from damsonpick.cli.sasp import sasp
from damsonpick.cli.versions import versions


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Publishes tables of servers, weights and levels to plain proxies over xDS.

    Start with `damsonpick check FILE`, then `damsonpick run FILE`; ask the running pilot with
    `damsonpick status FILE`. `damsonpick badday examples/*.ini` rehearses a bad day on this machine.

    Exit codes: 0 done; 1 the answer is no (a rule was broken); 2 wrong input; 3 no pilot answers.
    """


@main.command()
@settings_file
@as_json
def check(file: Path, as_json: bool) -> None:
    """Read FILE whole and list everything that is wrong with it.

    Each line names file, section, key, value and remedy. Exit code 0: the pilot would start on it; 2: not.
    """
    from damsonpick.settings import read

    _, problems = read(file)
    if as_json:
        click.echo(json.dumps({"file": str(file), "problems": [p._asdict() for p in problems]}))
    else:
        for problem in problems:
            click.echo(f"{file}: {problem}")
        if not problems:
            click.echo(f"{file}: in order")
    sys.exit(WRONG if problems else 0)


@main.command()
@settings_file
@click.option("--port-file", type=click.Path(path_type=Path), help="Write the xDS port here once it is open.")
def run(file: Path, port_file: Path | None) -> None:
    """Run the pilot that FILE describes until SIGTERM or SIGINT.

    Logs go to standard error. Exit code 0: ended in order; 2: settings, store or address cannot be used.
    """
    serve(load_settings(file), port_file)


def serve(settings: Any, port_file: Path | None, **parts: Any) -> None:
    """Run a pilot in the foreground; `parts` go to Pilot as they are."""
    from damsonpick.controller.daemon import Pilot
    from damsonpick.protocols.sasp.server import FrontError
    from damsonpick.runtime import port_files
    from damsonpick.runtime.logs import configure
    from damsonpick.state.learned.errors import LockError
    from damsonpick.state.store.errors import StoreError

    log = configure(settings.log.format, settings.log.level)

    async def life() -> None:
        pilot = Pilot(settings, log, **parts)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with pilot.running():
                port_files.write(port_file, pilot.port)
                if port_file is not None and pilot.sasp is not None:
                    port_files.write(port_file.with_suffix(".sasp"), pilot.sasp.port)
                async for _ in signals:
                    break

    try:
        anyio.run(life)
    except (StoreError, LockError, FrontError) as error:
        click.echo(str(error), err=True)
        sys.exit(WRONG)
    except (RuntimeError, OSError) as error:
        click.echo(
            f"[listen] xds = {settings.listen.xds}: cannot be opened ({error}); free the port or choose another",
            err=True,
        )
        sys.exit(WRONG)


@main.command()
@settings_file
@as_json
def status(file: Path, as_json: bool) -> None:
    """What each gateway holds, what waits, and how each server is judged and why.

    `behind` is how many changes a gateway has not acknowledged. Exit code 3: no pilot answers.
    """
    reply = ask(file, {"ask": "status"})
    if as_json:
        click.echo(json.dumps(reply))
        return
    channel = reply["channel"]
    click.echo(
        f"{reply['pilot']}: start {reply['epoch']}, port {reply['port']}, change {reply['published']}, "
        f"{reply['slices']} slices, module {reply['module']}, list: {reply['list']}"
    )
    click.echo(
        "let in: "
        + ", ".join(f"{k} {v:.0%}" for k, v in reply["levels"].items())
        + f"; waiting lines {channel['waiting']:g} of {channel['limit']:g} (most so far {channel['most']:g})"
    )
    click.echo()
    rows(
        ["gateway", "zone", "variant", "acknowledged", "behind", "waiting", "rejected"],
        [
            [
                g["gateway"],
                g["zone"],
                g["variant"],
                g["acknowledged"],
                g["published"] - g["acknowledged"],
                f"{g['waiting_lines']} lines, {g['waiting_s']} s",
                "; ".join(f"{n}: {w}" for n, w in g["rejected"].items()) or "-",
            ]
            for g in reply["gateways"]
        ],
    )
    click.echo()
    rows(
        ["server", "state", "lines", "weight", "speed", "why"],
        [[e["endpoint"], e["state"], e["lines"], f"{e['weight']:g}", e["speed"], e["why"]] for e in reply["endpoints"]],
    )


@main.command()
@settings_file
@click.argument("slices", nargs=-1, type=int)
@as_json
def tables(file: Path, slices: tuple[int, ...], as_json: bool) -> None:
    """The published tables, all or those of the SLICES named; `*` marks a withdrawn server."""
    reply = ask(file, {"ask": "tables", "slices": list(slices) or None})
    if as_json:
        click.echo(json.dumps(reply))
        return
    out = set(reply["withdrawn"])
    rows(
        ["slice", "version", "change", "servers"],
        [
            [
                t["slice"],
                t["version"],
                t["changed"],
                ", ".join(f"{n} {w:g}{'*' if n in out else ''}" for n, w in sorted(t["lines"].items())) or "none",
            ]
            for t in reply["tables"]
        ],
    )


@main.command()
@settings_file
@click.option("--port-file", type=click.Path(path_type=Path), help="Write the port here once it is open.")
@click.option("--log-format", type=click.Choice(["console", "json"]), default="console", show_default=True)
def proxy(file: Path, port_file: Path | None, log_format: str) -> None:
    """Run a proxy that obeys the pilots' tables, until SIGTERM; requests under way may then end.

    Exit code 0: ended in order; 2: settings or address cannot be used.
    """
    from damsonpick.proxy import program
    from damsonpick.proxy.settings import load
    from damsonpick.runtime.logs import configure
    from damsonpick.settings.load import SettingsError

    try:
        settings = load(file)
        anyio.run(
            program.serve, settings, configure(log_format, "info"), port_file, backend_options={"use_uvloop": True}
        )
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(WRONG)
    except OSError as error:
        click.echo(f"[proxy] listen: cannot be opened ({error}); free the port or choose another", err=True)
        sys.exit(WRONG)


@main.command()
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Write the results here, for a later --compare.")
@click.option("--compare", type=click.Path(path_type=Path), help="An earlier results file of the same experiment.")
@as_json
def load(experiment: Path, out: Path | None, compare: Path | None, as_json: bool) -> None:
    """Send the load that EXPERIMENT describes and print what came of it.

    Open loop: requests are sent when they are due, and latency counts from then. Exit code 2: wrong input.
    """
    from damsonpick.load_tool import player, results
    from damsonpick.load_tool.experiment import read
    from damsonpick.settings.load import SettingsError

    try:
        made = read(experiment)
        found = anyio.run(player.Player(made).run)
        compared = results.compare(found, compare) if compare else []
    except (SettingsError, ValueError) as error:
        click.echo(str(error), err=True)
        sys.exit(WRONG)
    if out:
        out.write_text(json.dumps(found) + "\n")
    if as_json:
        click.echo(json.dumps(found))
        return
    rows(
        ["class", "requests", "per second", *(f"p{p:g} us" for p in results.PERCENTILES), "ends"],
        [
            [
                n,
                v["requests"],
                v["per_second"],
                *v["latency_us"].values(),
                ", ".join(f"{k} {c}" for k, c in v["ends"].items()),
            ]
            for n, v in found["classes"].items()
        ],
    )
    click.echo(f"the sender was late by {found['sender_late_us']} us at its worst")
    if compared:
        rows(["class", "figure", "earlier", "now", "ratio"], compared)


main.add_command(versions)
main.add_command(knowledge)
main.add_command(listing)
main.add_command(sasp)


@main.group()
def explain() -> None:
    """Why things are as they are."""


@explain.command()
@settings_file
@as_json
def weights(file: Path, as_json: bool) -> None:
    """The solver's last plan: each server's share, the limits it stands at, what a core more would be worth.

    `limits`: capacity (full), cold (only a part while it warms), least (kept for its evidence), moves (bound on
    change). Prices are worth a second for one more unit of work a second. Exit code 3: no pilot answers.
    """
    reply = ask(file, {"ask": "weights"})
    if as_json:
        click.echo(json.dumps(reply))
        return
    click.echo(
        f"plan: {reply['status']}"
        + (f", worth {reply['value']} a second, solved in {reply['solved_in_ms']} ms" if "value" in reply else "")
    )
    rows(
        ["class", "let in", "worth shed"],
        [[c["class"], f"{c['let_in']:.1%}", c["shed_worth"]] for c in reply["classes"]],
    )
    click.echo()
    rows(["building", "price of work"], [[b["building"], b["price_of_work"]] for b in reply["buildings"]])
    click.echo()
    rows(
        ["server", "building", "share", "was", "used", "limits", "a core more", "why"],
        [
            [
                s["server"],
                s["building"],
                f"{s['share']:.2%}",
                f"{s['was']:.2%}",
                f"{s['used']:.0%}",
                ", ".join(s["limits"]) or "-",
                s["price_of_a_core"],
                s["why"],
            ]
            for s in reply["servers"]
        ],
    )


@main.command()
@click.argument("days", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--seed", type=int, help="Draws fleet, traffic and who is struck; the script's own if not given.")
@click.option(
    "--times",
    default=1,
    show_default=True,
    type=click.IntRange(1, 100),
    help="Play each day so often, with the next seeds.",
)
@click.option("--keep", type=click.Path(path_type=Path), help="Keep settings, records and logs in this folder.")
@click.option("--proxies", is_flag=True, help="Real proxies as data plane, in place of stand-in forwarding.")
@click.option("--pilot", help="The command that runs a pilot, in place of this program's own.")
@as_json
def badday(
    days: tuple[Path, ...],
    seed: int | None,
    times: int,
    keep: Path | None,
    proxies: bool,
    pilot: str | None,
    as_json: bool,
) -> None:
    """Rehearse the bad DAYS: a pilot, gateways and servers on loopback, troubles by script.

    The five rules are checked from what passed on the sockets. Exit code 0: all kept on every day; 1: one was
    broken, it is named; 2: a script cannot be read.
    """
    from damsonpick.testing.scenarios import report

    sys.exit(report.rehearse(days, seed, times, keep, shlex.split(pilot) if pilot else None, as_json, proxies))


if __name__ == "__main__":
    main()
