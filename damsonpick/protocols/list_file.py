"""Reads the endpoint list from an INI file and watches the file. This is the default list source.

    [server 127.0.0.1:9001]
    zone = north
    state = in_service
    weight = 6
    started = 0

`started` is the wall-clock time of the last start in nanoseconds since 1970. If it is 0 or absent, the server is
assumed to have started long ago.
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

SECTION_KIND = "server"  # first word of a section name; the endpoint follows it
KEYS = ("zone", "state", "weight", "started")
DEFAULT_STATE, DEFAULT_WEIGHT, DEFAULT_STARTED = "in_service", "1", "0"

Number = TypeVar("Number", int, float)


class ListFileError(ListError):
    """Raised when a list file cannot be used.

    Attributes:
        place: Name of the file, or of the file and a section.
        problem: Problem at that place, and the remedy.
    """

    def __init__(self, place: str, problem: str) -> None:
        """Build the message from the place and the problem."""
        super().__init__(f"{place} {problem}")
        self.place = place
        self.problem = problem


def parse(text: str, name: str = "list") -> list[api.EndpointEntry]:
    """Return all entries of a list file.

    Args:
        text: Contents of the file.
        name: Name of the file, for error messages.

    Raises:
        ListFileError: The file has at least one error. Only the first error is reported. No entry is used, because an
            incomplete list would mean a smaller fleet.
    """
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
    try:
        parser.read_string(text, source=name)
    except configparser.Error as error:
        problem = " ".join(str(error).split())
        raise ListFileError(f"{name}:", f"{problem}; write [server IP:PORT] sections, each server once") from None
    return [_entry(f"{name}: [{section}]", section, parser[section]) for section in parser.sections()]


def _entry(place: str, section: str, values: configparser.SectionProxy) -> api.EndpointEntry:
    """Return the entry of a section. `place` names the file and the section in errors."""
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
        raise ListFileError(place, "zone is missing; give the zone of the server, which is the building it stands in")
    weight = _number(place, values, "weight", DEFAULT_WEIGHT, float)
    started = _number(place, values, "started", DEFAULT_STARTED, int)
    return api.EndpointEntry(endpoint, values["zone"], state, weight, started)


def _number(
    place: str, values: configparser.SectionProxy, key: str, default: str, convert: Callable[[str], Number]
) -> Number:
    try:
        return convert(values.get(key, default))
    except ValueError:
        raise ListFileError(
            place, f"{key} = {values[key]!r}: write a number, which must be whole for started"
        ) from None


def render(entries: list[api.EndpointEntry]) -> str:
    """Return the text of a list file.

    `parse` returns the same entries from it, except that weights are rounded to six significant digits.
    """
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
    """Result of one read of a list file.

    Attributes:
        text: Text of the file, which is compared to detect a change. If the file cannot be read, the read error is
            stored instead.
        result: Entries of the file, or the error.
    """

    text: str
    result: list[api.EndpointEntry] | ListError


class FileSource:
    """Provides the complete list each time the file changes. An unusable file is reported once and skipped.

    Args:
        path: Path of the file.
        poll_s: Seconds between reads.
    """

    def __init__(self, path: Path, poll_s: float) -> None:
        """Initialize the source without reading the file."""
        self.path = path
        self.poll_s = poll_s

    async def lists(self) -> AsyncIterator[list[api.EndpointEntry] | ListError]:
        """Yield the list, or an error if the file cannot be used: first at once, then after each change. Never ends."""
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
