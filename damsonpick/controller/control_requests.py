"""Requests on the control socket, decoded once where they enter. The keys are the command line's interface.

What decodes has the right types and ranges; whether a slice, a version or a zone exists is for the answerer to say.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from damsonpick.protocols.shared.validation import invalid_field
from damsonpick.time_units import NS_PER_SECOND

MAX_DURATION_NS = 10 * 365 * 86_400 * NS_PER_SECOND
MAX_SLICE_NUMBER = 1 << 31
MAX_ACT_NUMBER = 1 << 62
MAX_LOGGED_VALUE = 60  # characters

DurationNs = Annotated[int, Meta(ge=0, le=MAX_DURATION_NS)]
SliceNumber = Annotated[int, Meta(ge=0, le=MAX_SLICE_NUMBER)]
ActNumber = Annotated[int, Meta(ge=0, le=MAX_ACT_NUMBER)]

JsonObject = Mapping[str, Any]


class Query(StrEnum):
    """What can be asked, as the request's `ask` names it."""

    STATUS = "status"
    TABLES = "tables"
    WEIGHTS = "weights"
    VERSIONS = "versions"
    LIST = "list"
    SASP = "sasp"
    FORGET = "forget"


class InvalidRequestError(ValueError):
    """A request that cannot be carried out as it is written.

    Attributes:
        field: of the request.
    """

    def __init__(self, field: str, reason: str) -> None:
        """Name the field and what is wrong with it."""
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field


class UnknownOrderError(InvalidRequestError):
    """A request gives an order that there is not.

    Attributes:
        order: as the request gives it.
    """

    def __init__(self, order: object, known: Iterable[str]) -> None:
        """Name the orders there are as the remedy."""
        *names, last = known
        super().__init__("", f"unknown order {str(order)[:MAX_LOGGED_VALUE]!r}; use {', '.join(names)} or {last}")
        self.order = order


class PlainRequest(Struct, frozen=True):
    """A question without parameters."""


class TablesRequest(Struct, frozen=True):
    """The tables of some slices; None: of all."""

    slices: list[SliceNumber] | None = None


class ShowList(Struct, frozen=True):
    """The endpoint list."""


class AcceptList(Struct, frozen=True):
    """Missing endpoints are gone."""


class ListVersions(Struct, frozen=True):
    """The newest versions."""

    most: int = 20


class ShowVersion(Struct, frozen=True):
    """One version, by number or the beginning of its root."""

    version: str | int


class DiffVersions(Struct, frozen=True):
    """The difference between two versions."""

    one: str | int
    other: str | int


class WhoHolds(Struct, frozen=True):
    """Which gateways hold a version; None: the newest."""

    version: str | int | None = None


class Rollback(Struct, frozen=True):
    """Go back to a version."""

    version: str | int
    pin_ns: DurationNs | None = None  # None: as in the settings
    expected: ActNumber | None = None
    dry: bool = False
    stages: list[str] | None = None
    hold_ns: DurationNs | None = None
    levels: bool = False


class Pin(Struct, frozen=True):
    """Pin the tables as they are."""

    pin_ns: DurationNs | None = None
    expected: ActNumber | None = None


class ReleasePin(Struct, frozen=True):
    """End a pin."""

    expected: ActNumber | None = None


ListRequest = ShowList | AcceptList
VersionsRequest = ListVersions | ShowVersion | DiffVersions | WhoHolds | Rollback | Pin | ReleasePin
ControlRequest = PlainRequest | TablesRequest | ListRequest | VersionsRequest

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
        query: what the request asks.
        request: its JSON object; keys that are not known are ignored.

    Raises:
        InvalidRequestError: names the field that is missing, of another type or out of range.
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
    return TablesRequest if query is Query.TABLES else PlainRequest


def _order_type(order: object, known: Mapping[str, type[ControlRequest]]) -> type[ControlRequest]:
    if not isinstance(order, str) or order not in known:
        raise UnknownOrderError(order, known)
    return known[order]
