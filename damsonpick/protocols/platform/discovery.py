"""Decodes the endpoint list updates that discovery sends from JSON to validated values. No I/O.

An invalid entry is omitted, and the rest of the update is used.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from damsonpick import interface as api
from damsonpick.protocols.platform.errors import EndpointEntryError, EndpointListError
from damsonpick.protocols.platform.json_values import DECODE_ERRORS, describe_value
from damsonpick.time_units import NS_PER_MS

STATUSES: dict[str, api.EndpointStatus] = {
    "Ready": "in_service",
    "Terminating": "terminating",
    "Gone": "terminated",
}
# The next three constants are exclusive upper bounds of values in an update.
MAX_START_MS = 1 << 52  # far later than any real clock shows
MAX_VERSION = 1 << 62
MAX_WEIGHT = 1e9
MAX_LOGGED_PROBLEMS = 8  # most reasons that are kept per update


class EndpointListUpdate(NamedTuple):
    """One update of the endpoint list.

    Attributes:
        version: Version of the list after the update.
        full: True if `entries` is the complete list, False if it contains only the changed entries.
        entries: The valid entries.
        invalid_endpoints: Endpoint names of the invalid entries; "" for an entry without a name.
        problems: The reasons why entries are invalid, at most `MAX_LOGGED_PROBLEMS`.
    """

    version: int
    full: bool
    entries: tuple[api.EndpointEntry, ...]
    invalid_endpoints: tuple[str, ...] = ()
    problems: tuple[str, ...] = ()


EMPTY_LIST = EndpointListUpdate(0, True, ())


def decode_update(line: bytes) -> EndpointListUpdate:
    """Decode an update from one line of discovery's watch.

    Raises:
        EndpointListError: The line is not a valid update.
    """
    try:
        message = msgspec.json.decode(line)
    except DECODE_ERRORS as error:
        raise EndpointListError("", f"not valid JSON: {error}") from None
    return read_update(message)


def read_update(message: object) -> EndpointListUpdate:
    """Validate an update that is decoded from JSON.

    Raises:
        EndpointListError: The value is not a valid update. The error names the field unless the value is not an object.
    """
    if not isinstance(message, dict):
        raise EndpointListError("", "not an object")
    if not _is_integer(message.get("version"), MAX_VERSION):
        raise EndpointListError("version", "missing, out of range, or not a whole number")
    if not isinstance(message.get("full"), bool):
        raise EndpointListError("full", "missing, or not a boolean")
    if not isinstance(message.get("servers"), list):
        raise EndpointListError("servers", "missing, or not a list")
    entries: list[api.EndpointEntry] = []
    invalid_endpoints: list[str] = []
    problems: list[str] = []
    for item in message["servers"]:
        try:
            entries.append(_read_entry(item))
        except EndpointEntryError as error:
            invalid_endpoints.append(error.endpoint)
            problems.append(str(error))
    return EndpointListUpdate(
        version=message["version"],
        full=message["full"],
        entries=tuple(entries),
        invalid_endpoints=tuple(invalid_endpoints),
        problems=tuple(problems[:MAX_LOGGED_PROBLEMS]),
    )


def _read_entry(item: object) -> api.EndpointEntry:
    if not isinstance(item, dict):
        raise EndpointEntryError("", "id", "missing, because the entry is not an object")
    endpoint = item.get("id")
    if not isinstance(endpoint, str) or not endpoint:
        raise EndpointEntryError("", "id", "missing, empty, or not text")
    status = item.get("state")
    if not isinstance(status, str) or status not in STATUSES:
        reason = f"{describe_value(status)} is none of {', '.join(STATUSES)}"
        raise EndpointEntryError(endpoint, "state", reason)
    if not isinstance(item.get("zone"), str):
        raise EndpointEntryError(endpoint, "zone", "missing, or not text")
    weight = item.get("weight", 1.0)
    if not _is_weight(weight):
        raise EndpointEntryError(endpoint, "weight", f"{describe_value(weight)} is out of range, or not a number")
    started_ms = item.get("started_ms", 0)
    if not _is_integer(started_ms, MAX_START_MS):
        raise EndpointEntryError(endpoint, "started_ms", f"{describe_value(started_ms)} is not a time in ms")
    return api.EndpointEntry(endpoint, item["zone"], STATUSES[status], float(weight), started_ms * NS_PER_MS)


def _is_integer(value: Any, limit: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < limit


def _is_weight(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < MAX_WEIGHT
