"""`damsonpick sasp`: the weight advice that a balancer receives, and the registered balancers."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import click

from damsonpick.cli.shared import (
    EXIT_NEGATIVE_RESULT,
    EXIT_NO_PILOT,
    EXIT_WRONG_INPUT,
    as_json,
    ask_pilot,
    fail,
    print_json,
    print_table,
    settings_file,
)
from damsonpick.protocols.sasp import client as sasp_client
from damsonpick.protocols.sasp.layout import LbFlag, Member, SendWeights, WeightFlag, WeightGroup, member

PUSH_BUFFER = 100  # most pushes that may wait to be printed
FLAG_NAMES = {
    WeightFlag.CONTACT: "contact",
    WeightFlag.QUIESCE: "quiesced",
    WeightFlag.REGISTERED: "by itself",
    WeightFlag.CONFIDENT: "confident",
}

NO_GROUPS: dict[str, dict[str, Any]] = {"-": {"covers": "-", "members": 0, "quiesced": []}}


@click.group()
def sasp() -> None:
    """Weight advice over SASP (RFC 4678), as a balancer receives it."""


class RequestRejectedError(Exception):
    """The manager rejected a request. The message describes the code of its response."""


def _print_weights(groups: tuple[WeightGroup, ...], as_json: bool) -> None:
    rows = []
    for group in groups:
        name = group.group.name.decode("utf-8", "backslashreplace")
        rows += [_weight_row(name, weight) for weight in group.weights]
    if not print_json(rows, as_json):
        print_table(
            ["group", "member", "weight", "flags"],
            [[row["group"], row["endpoint"], row["weight"], ", ".join(row["flags"]) or "-"] for row in rows],
        )


def _weight_row(group: str, weight: Any) -> dict[str, Any]:
    return {
        "group": group,
        "endpoint": weight.member.endpoint,
        "weight": weight.weight,
        "flags": [name for flag, name in FLAG_NAMES.items() if weight.flags & flag],
        "state": weight.state,
    }


def _parse_members(texts: tuple[str, ...]) -> list[Member]:
    try:
        return [member(text) for text in texts]
    except ValueError as error:
        fail(f"{' '.join(texts)}: {error}; write members such as 127.0.0.1:9001 or [::1]:9001", EXIT_WRONG_INPUT)


async def _register(client: sasp_client.Client, group: bytes, members: list[Member], flags: int = 0) -> None:
    """Send a Set LB State message to the manager and register members.

    Raises:
        RequestRejectedError: The manager rejects the Set LB State message or the registration.
    """
    _require_success(await client.set_lb_state(flags))
    _require_success(await client.register(group, members))


def _require_success(code: int) -> None:
    if code:
        raise RequestRejectedError(sasp_client.describe_code(code))


address = click.argument("address")
group = click.option("--group", "name", default="all", show_default=True, help="The group's name.")
uid = click.option("--lb", default="damsonpick-cli", show_default=True, help="The balancer's identifier.")
members = click.argument("members", nargs=-1, required=True)


@sasp.command()
@address
@members
@group
@uid
@as_json
def get(address: str, members: tuple[str, ...], name: str, lb: str, as_json: bool) -> None:
    """Register MEMBERS with the manager at ADDRESS, request their weights once and deregister them.

    Exit code 1: the manager rejects a request; 2: wrong input; 3: no manager answers.
    """
    parsed = _parse_members(members)

    async def get_once() -> int:
        async with sasp_client.connect(address, lb.encode()) as client:
            await _register(client, name.encode(), parsed)
            reply = await client.weights(name.encode())
            _print_weights(reply.groups, as_json)
            if not as_json:
                click.echo(f"{sasp_client.describe_code(reply.code)}; ask again in {reply.interval} s")
            await client.deregister(name.encode())
            return EXIT_NEGATIVE_RESULT if reply.code else 0

    sys.exit(_run_client(get_once))


@sasp.command()
@address
@members
@group
@uid
@click.option("--count", type=click.IntRange(1), help="Stop after this number of pushes.")
@as_json
def watch(address: str, members: tuple[str, ...], name: str, lb: str, count: int | None, as_json: bool) -> None:
    """Register MEMBERS and print the weights that the manager at ADDRESS pushes.

    The command runs until it is interrupted or, with --count, until it has printed that number of pushes.
    """
    parsed = _parse_members(members)

    async def print_pushes() -> int:
        send, receive = anyio.create_memory_object_stream[SendWeights](PUSH_BUFFER)
        async with sasp_client.connect(address, lb.encode(), send.send_nowait) as client:
            await _register(client, name.encode(), parsed, LbFlag.PUSH)
            printed = 0
            async for push in receive:
                _print_weights(push.groups, as_json)
                printed += 1
                if printed == count:
                    break
            await client.deregister(name.encode())
        return 0

    sys.exit(_run_client(print_pushes))


def _run_client(conversation: Callable[[], Awaitable[int]]) -> int:
    """Run a conversation with a manager and return the exit code.

    A rejected request and a failure of the client are printed. Other exceptions are raised.
    """
    try:
        return anyio.run(conversation)
    except BaseExceptionGroup as group:
        errors = group.subgroup((sasp_client.SaspError, RequestRejectedError))
        if errors is None:
            raise
        return _print_error(errors.exceptions[0])
    except (sasp_client.SaspError, RequestRejectedError) as error:
        return _print_error(error)


def _print_error(error: BaseException) -> int:
    if isinstance(error, RequestRejectedError):
        click.echo(f"rejected by the manager: {error}", err=True)
        return EXIT_NEGATIVE_RESULT
    click.echo(str(error), err=True)
    return EXIT_NO_PILOT


@sasp.command()
@settings_file
@as_json
def balancers(file: Path, as_json: bool) -> None:
    """Show the balancers and groups registered with the pilot that runs on FILE, and when each was last notified."""
    reply = ask_pilot(file, {"ask": "sasp"})
    if print_json(reply, as_json):
        return
    rows = []
    for balancer in reply["balancers"]:
        groups = balancer["groups"] or NO_GROUPS
        rows += [_balancer_row(balancer, name, group) for name, group in groups.items()]
    print_table(
        [
            "balancer",
            "sessions",
            "pushes",
            "trusted",
            "seen change",
            "last told",
            "group",
            "covers",
            "members",
            "quiesced",
        ],
        rows,
    )


def _balancer_row(balancer: dict[str, Any], group_name: str, group: dict[str, Any]) -> list[object]:
    last_told_s = balancer["last_told_s"]
    return [
        balancer["balancer"],
        balancer["sessions"],
        "yes" if balancer["pushes"] else "no",
        "yes" if balancer["trusted"] else "no",
        balancer["seen"],
        f"{last_told_s} s ago" if last_told_s is not None else "never",
        group_name,
        group["covers"],
        group["members"],
        ", ".join(group["quiesced"]) or "-",
    ]
