"""`damsonpick list`: the endpoint list in use, its sources, and the trust in each entry."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from damsonpick.cli.shared import EXIT_NEGATIVE_RESULT, as_json, ask_pilot, fail, print_json, print_table, settings_file

if TYPE_CHECKING:
    from damsonpick.controller.control_socket import Reply


@click.group("list")
def endpoint_list() -> None:
    """The server list in use, its sources, and the trust in each server."""


@endpoint_list.command("show")
@settings_file
@as_json
def show(file: Path, as_json: bool) -> None:
    """Show the list sources, and each server with its trust.

    A server with trust 1 is used as listed; a server with trust 0 is used only if no other server is left.
    """
    reply = ask_pilot(file, {"ask": "list", "do": "show"})
    if print_json(reply, as_json):
        return
    _print_sources(reply)
    if not reply["live"]:
        click.echo("no source has answered yet; the list stored on disk is in use")
    for disagreement in reply["disputes"]:
        click.echo(disagreement)
    if reply["held_for_s"] is not None:
        click.echo(
            f"servers that the list no longer contains have been held for {reply['held_for_s']} s; "
            "`damsonpick list accept` removes them"
        )
    click.echo()
    _print_servers(reply)


def _print_sources(reply: Reply) -> None:
    rows = []
    for source in reply["sources"]:
        rows.append(
            [
                source["source"],
                "yes" if source["up"] else "no",
                "yes" if source["believed"] else "",
                source["servers"],
                f"{source['since_s']} s" if source["since_s"] is not None else "-",
                source["why"],
            ]
        )
    print_table(["source", "answers", "believed", "servers", "for", "why"], rows)


def _print_servers(reply: Reply) -> None:
    rows = []
    for server in reply["servers"]:
        confirmed_s = server["spoken_for_s"]
        rows.append(
            [
                server["endpoint"],
                server["zone"],
                server["state"],
                f"{server['trust']:g}",
                f"{confirmed_s} s ago" if confirmed_s is not None else "unknown",
                "yes" if server["held"] else "",
            ]
        )
    print_table(["server", "zone", "state", "trust", "last confirmed", "held"], rows)


@endpoint_list.command("accept")
@settings_file
def accept(file: Path) -> None:
    """Accept a list from which many servers disappeared at once.

    The pilot removes the servers that it held, that is, kept in use although the list omits them. Exit code 1: no
    server was held.
    """
    removed = ask_pilot(file, {"ask": "list", "do": "accept"})["accepted"]
    for name in removed:
        click.echo(f"{name}: released")
    if not removed:
        fail("no server is held", EXIT_NEGATIVE_RESULT)
