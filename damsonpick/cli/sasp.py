"""`damsonpick sasp`: what a balancer would be told, and who is registered."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import anyio
import click

from damsonpick.cli.asking import NO_PILOT, WRONG, as_json, ask, rows, settings_file
from damsonpick.protocols.sasp import client as wire
from damsonpick.protocols.sasp.layout import LbFlag, SendWeights, WeightFlag, WeightsOf, member

MARKS = {
    WeightFlag.CONTACT: "contact",
    WeightFlag.QUIESCE: "quiesced",
    WeightFlag.REGISTERED: "by itself",
    WeightFlag.CONFIDENT: "confident",
}

NONE: dict[str, dict[str, Any]] = {"-": {"covers": "-", "members": 0, "quiesced": []}}  # of one without groups


@click.group()
def sasp() -> None:
    """Weight advice over SASP (RFC 4678), as a balancer meets it."""


def _shown(groups: tuple[WeightsOf, ...], machine: bool) -> None:
    found = [
        {
            "group": g.group.name.decode("utf-8", "backslashreplace"),
            "endpoint": w.member.endpoint,
            "weight": w.weight,
            "flags": [t for f, t in MARKS.items() if w.flags & f],
            "state": w.state,
        }
        for g in groups
        for w in g.weights
    ]
    if machine:
        click.echo(json.dumps(found))
    else:
        rows(
            ["group", "member", "weight", "flags"],
            [[r["group"], r["endpoint"], r["weight"], ", ".join(r["flags"]) or "-"] for r in found],
        )


def _members(texts: tuple[str, ...]) -> list[Any]:
    try:
        return [member(text) for text in texts]
    except ValueError as error:
        click.echo(f"{' '.join(texts)}: {error}; write members such as 127.0.0.1:9001 or [::1]:9001", err=True)
        sys.exit(WRONG)


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
    """Register MEMBERS with the manager at ADDRESS, ask for their weights once and deregister.

    Exit code 1: the manager refuses; 2: wrong input; 3: nobody listens.
    """
    listed = _members(members)

    async def once() -> int:
        async with wire.connect(address, lb.encode()) as client:
            for code in (await client.hello(), await client.register(name.encode(), listed)):
                if code:
                    click.echo(f"refused: {wire.words(code)}", err=True)
                    return 1
            reply = await client.weights(name.encode())
            _shown(reply.groups, as_json)
            if not as_json:
                click.echo(f"{wire.words(reply.code)}; ask again in {reply.interval} s")
            await client.deregister(name.encode())
            return 1 if reply.code else 0

    sys.exit(_run(once))


@sasp.command()
@address
@members
@group
@uid
@click.option("--count", type=click.IntRange(1), help="End after so many pushes.")
@as_json
def watch(address: str, members: tuple[str, ...], name: str, lb: str, count: int | None, as_json: bool) -> None:
    """Register MEMBERS and print what the manager at ADDRESS pushes, until interrupted."""
    listed = _members(members)

    async def follow() -> int:
        send, receive = anyio.create_memory_object_stream[SendWeights](100)
        async with wire.connect(address, lb.encode(), send.send_nowait) as client:
            for code in (await client.hello(LbFlag.PUSH), await client.register(name.encode(), listed)):
                if code:
                    click.echo(f"refused: {wire.words(code)}", err=True)
                    return 1
            left = count
            async for push in receive:
                _shown(push.groups, as_json)
                left = left - 1 if left else None
                if left == 0:
                    break
            await client.deregister(name.encode())
        return 0

    sys.exit(_run(follow))


def _run(what: Any) -> int:
    try:
        return anyio.run(what)
    except BaseExceptionGroup as group:
        errors = group.subgroup(wire.SaspError)
        if errors is None:
            raise
        click.echo(str(errors.exceptions[0]), err=True)
    except wire.SaspError as error:
        click.echo(str(error), err=True)
    return NO_PILOT


@sasp.command()
@settings_file
@as_json
def balancers(file: Path, as_json: bool) -> None:
    """Who is registered with the pilot that runs on FILE: balancers, groups, when each was last told."""
    reply = ask(file, {"ask": "sasp"})
    if as_json:
        click.echo(json.dumps(reply))
        return
    rows(
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
        [
            [
                b["balancer"],
                b["sessions"],
                "yes" if b["pushes"] else "no",
                "yes" if b["trusted"] else "no",
                b["seen"],
                f"{b['last_told_s']} s ago" if b["last_told_s"] is not None else "never",
                name,
                g["covers"],
                g["members"],
                ", ".join(g["quiesced"]) or "-",
            ]
            for b in reply["balancers"]
            for name, g in (b["groups"] or NONE).items()
        ],
    )
