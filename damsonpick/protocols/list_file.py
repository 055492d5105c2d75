"""The endpoint list as a watched INI file: the default list source.

    [server 127.0.0.1:9001]
    zone = north
    state = in_service
    weight = 6
    started = 0

`started` is the wall-clock time of the last start in nanoseconds since 1970; 0 or absent: long ago.
"""

from __future__ import annotations

import configparser
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import NamedTuple, TypeVar

import anyio

from damsonpick import interface as api
from damsonpick.settings.units import parse_address
from damsonpick.state.endpoint_list.sources import ListError
from damsonpick.state.endpoint_list.validation import STATES_BY_SAFETY

SECTION_KIND = "server"  # first word of a section's name; the endpoint follows
KEYS = ("zone", "state", "weight", "started")
DEFAULT_STATE, DEFAULT_WEIGHT, DEFAULT_STARTED = "in_service", "1", "0"

Number = TypeVar("Number", int, float)


class ListFileError(ListError):
    """A list file cannot be used.

    Attributes:
        place: the file, or a section of it.
        problem: what is wrong there, and the remedy.
    """

    def __init__(self, place: str, problem: str) -> None:
        """Put place and problem into one text."""
        super().__init__(f"{place} {problem}")
        self.place = place
        self.problem = problem


def parse(text: str, name: str = "list") -> list[api.EndpointEntry]:
    """All entries of a list file.

    Args:
        text: contents of the file.
        name: of the file, for errors.

    Raises:
        ListFileError: the first thing wrong. No entry is used then, as half a list would be a smaller fleet.
    """
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        problem = " ".join(str(error).split())
        raise ListFileError(f"{name}:", f"{problem}; write [server IP:PORT] sections, each once") from None
    return [_entry(f"{name}: [{section}]", section, parser[section]) for section in parser.sections()]


def _entry(place: str, section: str, values: configparser.SectionProxy) -> api.EndpointEntry:
    """The entry of one section; `place` names file and section in errors."""
    kind, _, endpoint = section.partition(" ")
    if kind != SECTION_KIND:
        raise ListFileError(place, "is no section of a list; write [server IP:PORT]")
    for key in values:
        if key not in KEYS:
            raise ListFileError(place, f"{key}: no such key; a server has {', '.join(KEYS)}")
    try:
        endpoint = parse_address(endpoint)
    except ValueError as error:
        raise ListFileError(place, str(error)) from None
    state = values.get("state", DEFAULT_STATE)
    if state not in STATES_BY_SAFETY:
        raise ListFileError(place, f"state = {state!r}: write one of {', '.join(STATES_BY_SAFETY)}")
    if "zone" not in values:
        raise ListFileError(place, "zone is missing; name the building the server stands in")
    weight = _number(place, values, "weight", DEFAULT_WEIGHT, float)
    started = _number(place, values, "started", DEFAULT_STARTED, int)
    return api.EndpointEntry(endpoint, values["zone"], state, weight, started)


def _number(
    place: str, values: configparser.SectionProxy, key: str, default: str, convert: Callable[[str], Number]
) -> Number:
    try:
        return convert(values.get(key, default))
    except ValueError:
        raise ListFileError(place, f"{key} = {values[key]!r}: write a number") from None


def render(entries: list[api.EndpointEntry]) -> str:
    """The text of a list file; `parse` gives the entries again."""
    return "".join(_render_entry(entry) for entry in entries)


def _render_entry(entry: api.EndpointEntry) -> str:
    return (
        f"[{SECTION_KIND} {entry.endpoint}]\n"
        f"zone = {entry.zone}\n"
        f"state = {entry.state}\n"
        f"weight = {entry.weight:g}\n"
        f"started = {entry.started}\n\n"
    )


class _FileContent(NamedTuple):
    """One look at a list file.

    Attributes:
        text: by which a change is noticed; an error in reading stands for it.
        result: what the text says.
    """

    text: str
    result: list[api.EndpointEntry] | ListError


class FileSource:
    """Gives whole lists as the file changes; a file that cannot be used is reported once and skipped.

    Args:
        path: of the file.
        poll_s: seconds between reads.
    """

    def __init__(self, path: Path, poll_s: float) -> None:
        """Read nothing yet."""
        self.path = path
        self.poll_s = poll_s

    async def lists(self) -> AsyncIterator[list[api.EndpointEntry] | ListError]:
        """Endless; an error stands in the place of a list, and the next text that can be used follows it."""
        last: str | None = None
        while True:
            content = await self._read()
            if content.text != last:
                last = content.text
                yield content.result
            await anyio.sleep(self.poll_s)

    async def _read(self) -> _FileContent:
        try:
            text = await anyio.Path(self.path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return _FileContent(
                f"error {error}", ListFileError(f"{self.path}:", f"cannot be read ({error}); restore the file")
            )
        try:
            return _FileContent(text, parse(text, str(self.path)))
        except ListFileError as error:
            return _FileContent(text, error)
