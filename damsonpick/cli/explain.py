"""`damsonpick explain`: shows the solver's last plan and the limits that led to its weights."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from damsonpick.cli.shared import as_json, ask_pilot, print_json, print_table, settings_file

if TYPE_CHECKING:
    from damsonpick.controller.control_socket import Reply


@click.group()
def explain() -> None:
    """Explain what the pilot publishes."""


@explain.command()
@settings_file
@as_json
def weights(file: Path, as_json: bool) -> None:
    """Show the solver's last plan: the share of each server, the limits that bind it, the value of one more core.

    `limits`: capacity (the server is full), cold (the server gets only a part while it warms up), least (the server
    keeps a minimum share, so that reports on it continue), moves (bound on the change of shares). Prices are priority
    weight per second for one more unit of work per second. Exit code 3: no pilot answers.
    """
    reply = ask_pilot(file, {"ask": "weights"})
    if print_json(reply, as_json):
        return
    objective = (
        f", priority weight {reply['value']} per second, solved in {reply['solved_in_ms']} ms"
        if "value" in reply
        else ""
    )
    click.echo(f"plan: {reply['status']}{objective}")
    print_table(
        ["class", "admitted", "value shed"],
        [[c["class"], f"{c['let_in']:.1%}", c["shed_worth"]] for c in reply["classes"]],
    )
    click.echo()
    print_table(["building", "price of work"], [[b["building"], b["price_of_work"]] for b in reply["buildings"]])
    click.echo()
    _print_servers(reply)


def _print_servers(reply: Reply) -> None:
    rows = [
        [
            server["server"],
            server["building"],
            f"{server['share']:.2%}",
            f"{server['was']:.2%}",
            f"{server['used']:.0%}",
            ", ".join(server["limits"]) or "-",
            server["price_of_a_core"],
            server["why"],
        ]
        for server in reply["servers"]
    ]
    print_table(["server", "building", "share", "was", "used", "limits", "a core more", "why"], rows)
