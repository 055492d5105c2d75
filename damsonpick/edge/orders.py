"""What the module ordered and the relay has yet to take. Sans I/O.

One call is under way at a time, and it is the oldest orders. What waits behind it is merged: of two orders for the
same thing the newer one stays, in the older one's place, so that what waits is bounded by what there is to order. A
call whose outcome is unknown was carried out once or not at all; as nothing newer was sent behind it, saying it
again, merged with what has come since, ends in the wanted state either way.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from damsonpick import interface as api

MOST_BYTES = 60_000  # of the orders of one call
MARKS = 65_536
_ENCODE = msgspec.json.Encoder().encode

Key = tuple
Order = api.SetLine | api.ClearTable | api.Withdraw | api.Admit | api.Mark


def number(value: float) -> float | int:
    """A figure as the simulator's wire gives it: six digits are enough for any weight or level."""
    short = float(f"{value:.6g}")
    return int(short) if short.is_integer() else short


def key(order: Order) -> Key:
    """What an order is about: of two with the same key only the later one counts."""
    if isinstance(order, api.SetLine):
        return ("line", order.table, order.endpoint)
    if isinstance(order, api.Withdraw):
        return ("out", order.endpoint)
    if isinstance(order, api.Admit):
        return ("level", order.table, order.classes)
    return ("table", order.table) if isinstance(order, api.ClearTable) else ("mark",)


class Call(NamedTuple):
    """One call: its body, and the orders in it."""

    body: bytes
    orders: tuple[Order, ...]


class Orders:
    """Args:
    classes: names of the request classes, in the settings' order.
    shift: added to marks, so that answers to an earlier life's marks are not taken for answers to ours.
    """

    def __init__(self, classes: tuple[str, ...], shift: int = 0) -> None:
        self.classes, self.shift = classes, shift
        self.waiting: dict[Key, Order] = {}

    def push(self, orders: Iterable[Order]) -> None:
        """Orders of one step of the module, in order."""
        for order in orders:
            at = key(order)
            if isinstance(order, api.ClearTable):  # lines ordered before it would come to life again behind it
                self.forget(order.table)
            if isinstance(order, api.Mark):  # the last mark answers for all before it, so it goes last
                self.waiting.pop(at, None)
            self.waiting[at] = order

    def forget(self, table: int) -> None:
        """Orders for a table that is not ours any more, or is emptied, have no meaning left."""
        for at in [k for k in self.waiting if k[0] in ("line", "table") and k[1] == table]:
            del self.waiting[at]

    def call(self) -> Call | None:
        """The next call, of the oldest orders; None: nothing waits."""
        parts: list[bytes] = []
        size, taken = len(b'{"ops":[]}'), []
        for order in self.waiting.values():
            part = _ENCODE(self._op(order))
            if parts and size + len(part) + 1 > MOST_BYTES:
                break
            parts.append(part)
            taken.append(order)
            size += len(part) + 1
        if not parts:
            return None
        return Call(b'{"ops":[' + b",".join(parts) + b"]}", tuple(taken))

    def taken(self, orders: tuple[Order, ...], count: int) -> tuple[tuple[Order, ...], Order | None]:
        """A call of these was answered: what stands now, and the order that was refused, if one was.

        A refused order is dropped by itself; those behind it are due again. A call without an answer, or one that was
        rejected, needs no word here: its orders are still at the front of what waits.
        """
        refused = orders[count] if count < len(orders) else None
        self.drop(orders[:count + 1])
        return orders[:count], refused

    def drop(self, orders: Iterable[Order]) -> None:
        """These wait no more; one that was overtaken meanwhile stays."""
        for order in orders:
            if self.waiting.get(key(order)) is order:
                del self.waiting[key(order)]

    def overlay(self, table: int, lines: dict[str, float]) -> dict[str, float]:
        """Lines of a table once all that waits is carried out."""
        lines = dict(lines)
        for order in self.waiting.values():
            if isinstance(order, api.ClearTable) and order.table == table:
                lines.clear()
            elif isinstance(order, api.SetLine) and order.table == table:
                apply(lines, order)
        return lines

    def mark_of(self, nonce: int) -> int:
        """The module's mark behind a number that the relay tells."""
        return (nonce - self.shift) % MARKS

    def _op(self, order: Order) -> dict[str, object]:
        if isinstance(order, api.SetLine):
            return {"op": "SET", "table": order.table, "server": order.endpoint, "weight": number(order.weight)}
        if isinstance(order, api.ClearTable):
            return {"op": "DEL", "table": order.table}
        if isinstance(order, api.Withdraw):
            return {"op": "OUT" if order.out else "IN", "server": order.endpoint}
        if isinstance(order, api.Mark):
            return {"op": "SYNC", "nonce_out": (order.number + self.shift) % MARKS, "on": int(order.everyone)}
        op: dict[str, object] = {"op": "LIMIT", "table": "*" if order.table is None else order.table}
        op["routes"] = [self.classes[k] for k in order.classes] or "*"
        return op | {"admit": number(order.level), "policy": order.retry}


def apply(lines: dict[str, float], order: api.SetLine) -> None:
    """Carry out an order on a table's lines."""
    if order.weight > 0:
        lines[order.endpoint] = order.weight
    else:
        lines.pop(order.endpoint, None)


class Answer(NamedTuple):
    """What the relay said to a call. `taken` None: it was rejected with `error`, and not carried out."""

    taken: int | None
    error: str = ""


def read_answer(body: bytes, most: int) -> Answer | None:
    """The answer in a body; None: it cannot be read, and the outcome is unknown."""
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raw = None
    taken = raw.get("taken") if isinstance(raw, dict) else None
    if isinstance(taken, int) and not isinstance(taken, bool) and 0 <= taken <= most:
        return Answer(taken)
    error = raw.get("error") if isinstance(raw, dict) else None
    for word in ("BUSY", "SYNTAX"):
        if error == word or (isinstance(error, dict) and word in error.values()):
            return Answer(None, word)
    return None
