"""Typed requests of the control socket, decoded once from the JSON objects that the command line sends.

The keys `ask` and `do` of an object select the type of the request. The other keys are the fields of that type.
Decoding checks types and ranges. The handler of a request checks whether a slice, a version or a zone exists.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from damsonpick.protocols.shared.validation import invalid_field
from damsonpick.time_units import NS_PER_SECOND

MAX_DURATION_NS = 10 * 365 * 86_400 * NS_PER_SECOND  # ten years
MAX_SLICE_NUMBER = 1 << 31
MAX_GENERATION = 1 << 62
MAX_LOGGED_VALUE = 60  # characters of an unknown operation that the error message shows

DurationNs = Annotated[int, Meta(ge=0, le=MAX_DURATION_NS)]
SliceNumber = Annotated[int, Meta(ge=0, le=MAX_SLICE_NUMBER)]
Generation = Annotated[int, Meta(ge=0, le=MAX_GENERATION)]

JsonObject = Mapping[str, Any]


class Query(StrEnum):
    """Kinds of requests, with the values of the request key `ask`."""

    STATUS = "status"
    TABLES = "tables"
    WEIGHTS = "weights"
    VERSIONS = "versions"
    LIST = "list"
    SASP = "sasp"
    FORGET = "forget"


class InvalidRequestError(ValueError):
    """A request has a field that is missing, malformed or out of range.

    Attributes:
        field: Path of the invalid field. Empty if the error does not belong to one field.
    """

    def __init__(self, field: str, reason: str) -> None:
        """Build the message from the field and the reason."""
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field


class UnknownOrderError(InvalidRequestError):
    """The key `do` of a request does not contain the name of a known operation.

    Attributes:
        order: Value of `do` as received.
    """

    def __init__(self, order: object, known: Iterable[str]) -> None:
        """Build a message that lists the known operations."""
        *names, last = known
        super().__init__("", f"unknown order {str(order)[:MAX_LOGGED_VALUE]!r}; use {', '.join(names)} or {last}")
        self.order = order


class EmptyRequest(Struct, frozen=True):
    """A request without parameters."""


class TablesRequest(Struct, frozen=True):
    """Return the tables of the given slices, or of all slices if `slices` is None."""

    slices: list[SliceNumber] | None = None


class ShowList(Struct, frozen=True):
    """Return the endpoint list."""


class AcceptList(Struct, frozen=True):
    """Confirm that endpoints missing from the list no longer exist."""


class ListVersions(Struct, frozen=True):
    """Return up to `most` of the newest versions."""

    most: int = 20


class ShowVersion(Struct, frozen=True):
    """Return one version, identified by its number or a prefix of its root."""

    version: str | int


class DiffVersions(Struct, frozen=True):
    """Return the difference between two versions."""

    one: str | int
    other: str | int


class WhoHolds(Struct, frozen=True):
    """Return which gateways have a version, or the newest version if `version` is None."""

    version: str | int | None = None


class Rollback(Struct, frozen=True):
    """Roll the tables back to a version and pin them."""

    version: str | int
    pin_ns: DurationNs | None = None  # None selects the duration in the settings
    expected: Generation | None = None  # generation of the pin that the operator saw; None skips the check
    dry: bool = False  # whether only to report what the rollback would change
    stages: list[str] | None = None  # zones that receive the change first, in this order
    hold_ns: DurationNs | None = None  # delay between successive zones of `stages`; None selects 0
    levels: bool = False  # whether to restore admission levels and retry modes as well


class Pin(Struct, frozen=True):
    """Pin the current tables."""

    pin_ns: DurationNs | None = None
    expected: Generation | None = None


class ReleasePin(Struct, frozen=True):
    """Release the pin."""

    expected: Generation | None = None


ListRequest = ShowList | AcceptList
VersionsRequest = ListVersions | ShowVersion | DiffVersions | WhoHolds | Rollback | Pin | ReleasePin
ControlRequest = EmptyRequest | TablesRequest | ListRequest | VersionsRequest

LIST_ORDERS: dict[str, type[ListRequest]] = {"show": ShowList, "accept": AcceptList}
VERSION_ORDERS: dict[str, type[VersionsRequest]] = {
    "list": ListVersions,
    "show": ShowVersion,
    "diff": DiffVersions,
    "who": WhoHolds,
    "rollback": Rollback,
    "pin": Pin,
    "release": ReleasePin,
}


def decode_request(query: Query, request: JsonObject) -> ControlRequest:
    """Return the typed request.

    Args:
        query: Kind of the request.
        request: JSON object of the request. Unknown keys are ignored.

    Raises:
        InvalidRequestError: A field is missing, has the wrong type or is out of range. The message names the field.
    """
    request_type = _request_type(query, request)
    try:
        return msgspec.convert(dict(request), request_type)
    except msgspec.ValidationError as error:
        field = invalid_field(error)
        raise InvalidRequestError(field.path, field.reason) from None


def _request_type(query: Query, request: JsonObject) -> type[ControlRequest]:
    if query is Query.VERSIONS:
        return _order_type(request.get("do", "list"), VERSION_ORDERS)
    if query is Query.LIST:
        return _order_type(request.get("do", "show"), LIST_ORDERS)
    return TablesRequest if query is Query.TABLES else EmptyRequest


def _order_type(order: object, known: Mapping[str, type[ControlRequest]]) -> type[ControlRequest]:
    if not isinstance(order, str) or order not in known:
        raise UnknownOrderError(order, known)
    return known[order]
