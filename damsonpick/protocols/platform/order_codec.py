"""Orders and responses on the registry's wire. No I/O."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

from damsonpick import interface as api
from damsonpick.protocols.platform.json_values import DECODE_ERRORS

SYNC_TOKEN_RANGE = 65_536
REQUEST_PREFIX, REQUEST_SUFFIX = b'{"ops":[', b"]}"

_encode_json = msgspec.json.Encoder().encode

Order = api.TableOrder


class Operation(StrEnum):
    """Kinds of orders by their names on the wire."""

    SET_ENTRY = "SET"
    CLEAR_TABLE = "DEL"
    WITHDRAW = "OUT"
    RESTORE = "IN"
    SET_ADMISSION = "LIMIT"
    SYNC = "SYNC"


class Rejection(StrEnum):
    """Why the registry rejected a complete request, by its names on the wire."""

    BUSY = "BUSY"
    SYNTAX = "SYNTAX"


class OrderRequest(NamedTuple):
    """One request to the registry.

    Attributes:
        body: as it is sent.
        orders: those in the body.
        ownership_epoch: of the registry when the request was built. Ownership that changed since makes it uncertain
            which owner the orders were applied for.
    """

    body: bytes
    orders: tuple[Order, ...]
    ownership_epoch: int


class OrderResponse(NamedTuple):
    """What the registry answered.

    Attributes:
        accepted_count: how many orders were accepted, from the first on; None: the request was rejected.
        rejection: why it was.
    """

    accepted_count: int | None
    rejection: Rejection | None = None


class OrderCodec:
    """Encodes orders, and maps sync tokens between planner and wire."""

    def __init__(self, class_names: tuple[str, ...], token_offset: int = 0) -> None:
        """Set up the mapping.

        Args:
            class_names: of the request classes, in the order of the settings.
            token_offset: added to sync tokens on the wire, so that a proxy's acknowledgement of an earlier
                incarnation's token is not taken for one of this incarnation's.
        """
        self.class_names = class_names
        self.token_offset = token_offset

    def encode(self, order: Order) -> bytes:
        """Encode one order as JSON."""
        return _encode_json(self._to_wire(order))

    def decode_token(self, wire_token: int) -> int:
        """Return the planner's sync token for one on the wire."""
        return (wire_token - self.token_offset) % SYNC_TOKEN_RANGE

    def _to_wire(self, order: Order) -> dict[str, object]:
        # The order of the keys is part of the wire format.
        if isinstance(order, api.SetEntry):
            return {
                "op": Operation.SET_ENTRY,
                "table": order.table,
                "server": order.endpoint,
                "weight": shorten_number(order.weight),
            }
        if isinstance(order, api.ClearTable):
            return {"op": Operation.CLEAR_TABLE, "table": order.table}
        if isinstance(order, api.SetWithdrawn):
            return {"op": Operation.WITHDRAW if order.withdrawn else Operation.RESTORE, "server": order.endpoint}
        if isinstance(order, api.RequestSync):
            wire_token = (order.token + self.token_offset) % SYNC_TOKEN_RANGE
            return {"op": Operation.SYNC, "nonce_out": wire_token, "on": int(order.all_proxies)}
        return {
            "op": Operation.SET_ADMISSION,
            "table": "*" if order.table is None else order.table,
            "routes": [self.class_names[index] for index in order.classes] or "*",
            "admit": shorten_number(order.level),
            "policy": order.retry,
        }


def shorten_number(value: float) -> float | int:
    """Round to six significant digits, and to an integer if that is equal."""
    rounded = float(f"{value:.6g}")
    return int(rounded) if rounded.is_integer() else rounded


def encode_request(encoded_orders: list[bytes]) -> bytes:
    """Join encoded orders to the body of a request."""
    return REQUEST_PREFIX + b",".join(encoded_orders) + REQUEST_SUFFIX


def decode_response(body: bytes, order_count: int) -> OrderResponse | None:
    """Read the response to a request.

    Args:
        body: of the HTTP response.
        order_count: number of orders in the request.

    Returns:
        The response; None if it cannot be read, so that the outcome of the request is unknown.
    """
    try:
        response = msgspec.json.decode(body)
    except DECODE_ERRORS:
        return None
    if not isinstance(response, dict):
        return None
    accepted_count = response.get("taken")
    if _is_count(accepted_count, order_count):
        return OrderResponse(accepted_count)
    error = response.get("error")
    for rejection in Rejection:
        if error == rejection or (isinstance(error, dict) and rejection in error.values()):
            return OrderResponse(None, rejection)
    return None


def _is_count(value: object, maximum: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= maximum
