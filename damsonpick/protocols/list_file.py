"""The server list as a watched INI file: the embedded default source.

    [server 127.0.0.1:9001]
    zone = north
    state = in_service
    weight = 6
    started = 0

`started` is the wall-clock time of the last start in nanoseconds since 1970; 0 or absent: long ago.
"""

from __future__ import annotations

import configparser
from collections.abc import AsyncIterator
from pathlib import Path

import anyio

from damsonpick import interface as api
from damsonpick.settings.units import parse_address
from damsonpick.state.endpoint_list.sources import ListError
from damsonpick.state.endpoint_list.validation import STATES

KEYS = ("zone", "state", "weight", "started")


def parse(text: str, name: str = "list") -> list[api.EndpointEntry]:
    """All entries, or ListError naming the first thing wrong: half a list would be a smaller fleet."""
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        raise ListError(f"{name}: {' '.join(str(error).split())}; write [server IP:PORT] sections, each once") from None
    return [_entry(name, section, parser[section]) for section in parser.sections()]


def _entry(name: str, section: str, values: configparser.SectionProxy) -> api.EndpointEntry:
    kind, _, endpoint = section.partition(" ")
    if kind != "server":
        raise ListError(f"{name}: [{section}] is no section of a list; write [server IP:PORT]")
    for key in values:
        if key not in KEYS:
            raise ListError(f"{name}: [{section}] {key}: no such key; a server has {', '.join(KEYS)}")
    try:
        endpoint = parse_address(endpoint)
    except ValueError as error:
        raise ListError(f"{name}: [{section}] {error}") from None
    state = values.get("state", "in_service")
    if state not in STATES:
        raise ListError(f"{name}: [{section}] state = {state!r}: write one of {', '.join(STATES)}")
    if "zone" not in values:
        raise ListError(f"{name}: [{section}] zone is missing; name the building the server stands in")
    numbers = {}
    for key, usual in (("weight", "1"), ("started", "0")):
        try:
            numbers[key] = float(values.get(key, usual)) if key == "weight" else int(values.get(key, usual))
        except ValueError:
            raise ListError(f"{name}: [{section}] {key} = {values[key]!r}: write a number") from None
    return api.EndpointEntry(endpoint, values["zone"], state, numbers["weight"], numbers["started"])


def render(entries: list[api.EndpointEntry]) -> str:
    return "".join(
        f"[server {e.endpoint}]\nzone = {e.zone}\nstate = {e.state}\nweight = {e.weight:g}\nstarted = {e.started}\n\n"
        for e in entries
    )


class FileSource:
    """Yields whole lists as the file changes; a file that cannot be used is said once and skipped."""

    def __init__(self, path: Path, poll_s: float) -> None:
        self.path, self.poll_s = path, poll_s

    async def lists(self) -> AsyncIterator[list[api.EndpointEntry] | ListError]:
        """Endless; an error stands in the place of a list, and the next good text follows it."""
        last: object = None
        while True:
            try:
                text = await anyio.Path(self.path).read_text(encoding="utf-8")
                said: list[api.EndpointEntry] | ListError = parse(text, str(self.path))
            except (OSError, UnicodeDecodeError) as error:
                text = f"error {error}"
                said = ListError(f"{self.path}: cannot be read ({error}); restore the file")
            except ListError as error:
                said = error
            if text != last:
                last = text
                yield said
            await anyio.sleep(self.poll_s)
