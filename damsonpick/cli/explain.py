"""`damsonpick explain`: the reasons behind what is published."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from damsonpick.cli.shared import as_json, ask_pilot, print_json, print_table, settings_file

if TYPE_CHECKING:
    from damsonpick.controller.control_socket import Reply


@click.group()
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
    reply = ask_pilot(file, {"ask": "weights"})
    if print_json(reply, as_json):
        return
    objective = f", worth {reply['value']} a second, solved in {reply['solved_in_ms']} ms" if "value" in reply else ""
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
