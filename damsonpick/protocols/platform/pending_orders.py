"""What the module ordered and the relay has yet to take. Sans I/O.

One call is under way at a time, and it is the oldest orders. What waits behind it is merged: of two orders for the
same thing only the newer one stays, so that what waits is bounded by what there is to order. A call whose outcome is
unknown was carried out once or not at all; as nothing newer was sent behind it, saying it again, merged with what has
come since, ends in the wanted state either way.

What the module ordered as make before break stays so, wherever a call is cut and whether it is carried out or not:
the lines of a table go together, in the place of the oldest of them, additions before removals. A withdrawal keeps
the place of an older order for its endpoint; letting in and levels go last, behind what they were ordered after.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from damsonpick import interface as api

MOST_BYTES = 60_000  # of the orders of one call
MARKS = 65_536
_ENCODE = msgspec.json.Encoder().encode

Key = tuple
Order = api.TableOrder


def number(value: float) -> float | int:
    """A figure as the simulator's wire gives it: six digits are enough for any weight or level."""
    short = float(f"{value:.6g}")
    return int(short) if short.is_integer() else short


def key(order: Order) -> Key:
    """Where an order waits: a table's lines together, all else by what it is about."""
    if isinstance(order, api.SetEntry | api.ClearTable):
        return ("table", order.table)
    if isinstance(order, api.SetWithdrawn):
        return ("out", order.endpoint)
    return ("level", order.table, order.classes) if isinstance(order, api.SetAdmission) else ("mark",)


class TableOrders:
    """What waits for one table."""

    def __init__(self) -> None:
        self.clear: api.ClearTable | None = None
        self.lines: dict[str, api.SetEntry] = {}  # by endpoint, the newest order last

    def push(self, order: api.SetEntry | api.ClearTable) -> None:
        if isinstance(order, api.ClearTable):  # lines ordered before it would come to life again behind it
            self.clear, self.lines = order, {}
        else:
            self.lines.pop(order.endpoint, None)
            self.lines[order.endpoint] = order

    def drop(self, order: api.SetEntry | api.ClearTable) -> None:
        """This one waits no more; one that was overtaken meanwhile stays."""
        if self.clear is order:
            self.clear = None
        elif isinstance(order, api.SetEntry) and self.lines.get(order.endpoint) is order:
            del self.lines[order.endpoint]

    def __iter__(self) -> Iterator[Order]:
        if self.clear is not None:
            yield self.clear
        yield from (line for line in self.lines.values() if line.weight > 0)
        yield from (line for line in self.lines.values() if line.weight <= 0)

    def __bool__(self) -> bool:
        return self.clear is not None or bool(self.lines)


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
        self.waiting: dict[Key, Order | TableOrders] = {}

    def __iter__(self) -> Iterator[Order]:
        """What waits, in the order in which it will go."""
        for order in self.waiting.values():
            if isinstance(order, TableOrders):
                yield from order
            else:
                yield order

    def push(self, orders: Iterable[Order]) -> None:
        """Orders of one step of the module, in order."""
        for order in orders:
            at = key(order)
            if isinstance(order, api.SetEntry | api.ClearTable):
                self.waiting.setdefault(at, TableOrders()).push(order)
                continue
            # The last mark answers for all before it. Of levels that overlap, the last one holds. An endpoint is let
            # in behind the lines that were taken from it first.
            if not (isinstance(order, api.SetWithdrawn) and order.withdrawn):
                self.waiting.pop(at, None)
            self.waiting[at] = order

    def forget(self, table: int) -> None:
        """Orders for a table that is not ours any more have no meaning left."""
        self.waiting.pop(("table", table), None)

    def waits(self, table: int, endpoint: str) -> bool:
        """Whether an order for this line has yet to be taken."""
        orders = self.waiting.get(("table", table))
        return orders is not None and endpoint in orders.lines

    def call(self) -> Call | None:
        """The next call, of the oldest orders; None: nothing waits."""
        parts: list[bytes] = []
        size, taken = len(b'{"ops":[]}'), []
        for order in self:
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
        self.drop(orders[: count + 1])
        return orders[:count], refused

    def drop(self, orders: Iterable[Order]) -> None:
        """These wait no more; one that was overtaken meanwhile stays."""
        for order in orders:
            at = key(order)
            there = self.waiting.get(at)
            if isinstance(there, TableOrders):
                there.drop(order)
            if there is order or (isinstance(there, TableOrders) and not there):
                del self.waiting[at]

    def overlay(self, table: int, lines: dict[str, float]) -> dict[str, float]:
        """Lines of a table once all that waits is carried out."""
        lines = dict(lines)
        for order in self.waiting.get(("table", table), ()):
            if isinstance(order, api.ClearTable):
                lines.clear()
            else:
                apply(lines, order)
        return lines

    def overlay_shut(self, shut: Iterable[str]) -> tuple[str, ...]:
        """Endpoints that are withdrawn once all that waits is carried out."""
        out = dict.fromkeys(shut)
        for order in self.waiting.values():
            if isinstance(order, api.SetWithdrawn) and order.withdrawn:
                out[order.endpoint] = None
            elif isinstance(order, api.SetWithdrawn):
                out.pop(order.endpoint, None)
        return tuple(out)

    def overlay_levels(self, levels: dict[int, float]) -> tuple[float, ...]:
        """Levels of all tables, by class, once all that waits is carried out."""
        levels = dict(levels)
        for order in self.waiting.values():
            if isinstance(order, api.SetAdmission) and order.table is None:
                levels.update((k, order.level) for k in order.classes or range(len(self.classes)))
        return tuple(levels.get(k, 1.0) for k in range(len(self.classes)))

    def mark_of(self, nonce: int) -> int:
        """The module's mark behind a number that the relay tells."""
        return (nonce - self.shift) % MARKS

    def _op(self, order: Order) -> dict[str, object]:
        if isinstance(order, api.SetEntry):
            return {"op": "SET", "table": order.table, "server": order.endpoint, "weight": number(order.weight)}
        if isinstance(order, api.ClearTable):
            return {"op": "DEL", "table": order.table}
        if isinstance(order, api.SetWithdrawn):
            return {"op": "OUT" if order.withdrawn else "IN", "server": order.endpoint}
        if isinstance(order, api.RequestSync):
            return {"op": "SYNC", "nonce_out": (order.token + self.shift) % MARKS, "on": int(order.all_proxies)}
        op: dict[str, object] = {"op": "LIMIT", "table": "*" if order.table is None else order.table}
        op["routes"] = [self.classes[k] for k in order.classes] or "*"
        return op | {"admit": number(order.level), "policy": order.retry}


def apply(lines: dict[str, float], order: api.SetEntry) -> None:
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
