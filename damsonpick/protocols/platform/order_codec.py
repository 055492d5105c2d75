"""Encodes orders and decodes responses in the wire format of the registry. No I/O."""

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
    """Kinds of orders; the values are the names on the wire."""

    SET_ENTRY = "SET"
    CLEAR_TABLE = "DEL"
    WITHDRAW = "OUT"
    RESTORE = "IN"
    SET_ADMISSION = "LIMIT"
    SYNC = "SYNC"


class Rejection(StrEnum):
    """Reasons why the registry rejects a request as a whole; the values are the names on the wire."""

    BUSY = "BUSY"
    SYNTAX = "SYNTAX"


class OrderRequest(NamedTuple):
    """One request to the registry.

    Attributes:
        body: The encoded request.
        orders: The orders in the body.
        ownership_epoch: `OwnershipTracker.epoch` when the request was built. If the ownership of a slice has changed
            since then, it is unknown whether the registry applied the orders before or after the change.
    """

    body: bytes
    orders: tuple[Order, ...]
    ownership_epoch: int


class OrderResponse(NamedTuple):
    """A decoded response of the registry.

    Attributes:
        accepted_count: Number of accepted orders, which are the first orders of the request, or None if the request was
            rejected as a whole.
        rejection: Reason why the request was rejected as a whole, or None if it was not.
    """

    accepted_count: int | None
    rejection: Rejection | None = None


class OrderCodec:
    """Encodes orders, and maps sync tokens of the planner to those on the wire and back."""

    def __init__(self, class_names: tuple[str, ...], token_offset: int = 0) -> None:
        """Create a codec.

        Args:
            class_names: Names of the request classes, in the order of the settings.
            token_offset: Offset that is added to sync tokens on the wire. If incarnations have different offsets, a
                proxy's acknowledgement of a token of an earlier incarnation is not mistaken for the acknowledgement of
                the same token of this incarnation.
        """
        self.class_names = class_names
        self.token_offset = token_offset
        self._newest_wire_token = token_offset

    def encode(self, order: Order) -> bytes:
        """Encode one order as JSON."""
        return _encode_json(self._to_wire(order))

    def decode_token(self, wire_token: int) -> int:
        """Map a sync token on the wire to the token of the planner."""
        return (wire_token - self.token_offset) % SYNC_TOKEN_RANGE

    def start_planner(self) -> None:
        """Give the sync tokens of a new planner other values on the wire than those that were encoded so far."""
        self.token_offset = self._newest_wire_token

    def _to_wire(self, order: Order) -> dict[str, object]:
        # The sequence of the keys is part of the wire format.
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
            self._newest_wire_token = wire_token
            return {"op": Operation.SYNC, "nonce_out": wire_token, "on": int(order.all_proxies)}
        return {
            "op": Operation.SET_ADMISSION,
            "table": "*" if order.table is None else order.table,
            "routes": [self.class_names[index] for index in order.classes] or "*",
            "admit": shorten_number(order.level),
            "policy": order.retry,
        }


def shorten_number(value: float) -> float | int:
    """Round to six significant digits, and return an integer if the rounded value is integral."""
    rounded = float(f"{value:.6g}")
    return int(rounded) if rounded.is_integer() else rounded


def encode_request(encoded_orders: list[bytes]) -> bytes:
    """Build the body of a request from encoded orders."""
    return REQUEST_PREFIX + b",".join(encoded_orders) + REQUEST_SUFFIX


def decode_response(body: bytes, order_count: int) -> OrderResponse | None:
    """Decode the response to a request.

    Args:
        body: Body of the HTTP response.
        order_count: Number of orders in the request.

    Returns:
        The response, or None if it is invalid, in which case the outcome of the request is unknown.
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
