"""Codec for the wire protocol of the simulator, which consists of lines of tab-separated values.

It reads lines as events and writes actions as lines. Only this module contains the message names of the wire; it maps
them to the terms of the interface. It takes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.protocols.shared import instance_settings

ALL_TABLES = 65535  # table number on the wire that stands for all tables of the instance
ABSENT = "-"  # value on the wire that stands for an absent value


class WireError(Exception):
    """Raised for input that violates the wire protocol.

    The text states the reason and, if `Reader` raises the error, the line number.
    """


class Start(NamedTuple):
    """The start of an instance with the given name, seed and settings."""

    instance: str
    seed: int
    settings: api.Settings


class Stop(NamedTuple):
    """The end of an instance."""

    instance: str


class InstanceEvent(NamedTuple):
    """An event for one instance."""

    instance: str
    event: api.Event


Item = Start | Stop | InstanceEvent


class Batch(NamedTuple):
    """The starts, stops and events up to the time `now` (ns)."""

    now: int
    items: list[Item]


def _int(text: str) -> int:
    return int(text)


def _optional_int(text: str) -> int:
    return 0 if text == ABSENT else int(text)


def _optional_float(text: str) -> float:
    return 0.0 if text == ABSENT else _float(text)


def _float(text: str) -> float:
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"not a finite number: {text}")
    return value


def _bool(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError(f"not a bool: {text}")
    return text == "1"


def _floats(text: str) -> tuple[float, ...]:
    return () if text in (ABSENT, "") else tuple(_optional_float(part) for part in text.split(","))


def _bytes(text: str) -> bytes:
    return b"" if text == ABSENT else bytes.fromhex(text)


def _one_of(*allowed: str) -> Callable[[str], str]:
    def read(text: str) -> str:
        if text not in allowed:
            raise ValueError(f"not one of {', '.join(allowed)}: {text}")
        return text

    return read


_endpoint_status = _one_of("in_service", "terminating", "terminated")
_change_kind = _one_of("update", "replace", "restored", "unavailable")


def _slice_demand(period: int, failures: int, requests: int, name: str, slice_: int) -> api.SliceDemand:
    return api.SliceDemand(slice_, name, requests, failures, period)


def _proxy_joined(fresh: bool, zone: str, rate: float, proxy: int) -> api.ProxyJoined:
    return api.ProxyJoined(proxy, zone, rate, fresh)


# By message name: the readers of the values that follow the instance, and the function that builds the event.
_EVENTS: dict[str, tuple[tuple[Callable, ...], Callable[..., api.Event]]] = {
    "FIRED": ((_int,), api.TimerFired),
    "PONG": ((str, str, _optional_int, _floats), api.ProbeResult),
    "FROM_PEER": ((_int, _bytes), api.PeerMessage),
    "ENROLLED": ((_bool, str, _optional_float, _int), _proxy_joined),
    "LOST_STREAM": ((_int,), api.ProxyLeft),
    "ROUNDUP": ((str, str, _int, _int, _optional_int, _optional_int, _floats), api.EndpointReport),
    "OFFERED_LOAD": ((_int, str, _int, _int, _optional_int), api.ProxyDemand),
    "ACTIVITY": ((_optional_int, _int, _int, str, _int), _slice_demand),
    "CUSTODY": ((_int, _bool), api.SliceOwnershipChanged),
    "RECORDED": ((_int, str, _float), api.StoredEntry),
    "CAUGHT_UP": ((_int, _int, _optional_int), api.SyncAcknowledged),
}


class Reader:
    """Splits an input stream into batches. An error names the line of the input that caused it."""

    def __init__(self, lines: Iterable[str]) -> None:
        self._lines = iter(lines)
        self._line_number = 0

    def _next(self) -> str | None:
        line = next(self._lines, None)
        if line is None:
            return None
        self._line_number += 1
        return line.rstrip("\n").rstrip("\r")

    def _fail(self, reason: object) -> WireError:
        return WireError(f"line {self._line_number}: {reason}")

    def batches(self) -> Iterator[Batch]:
        """Yield batches until the input ends. An end inside a batch is an error."""
        while (line := self._next()) is not None:
            parts = line.split("\t")
            if parts == [""]:
                continue
            if parts[0] != "TICK":
                raise self._fail(f"expected TICK, got {parts[0]!r}")
            try:
                (now,) = (_int(value) for value in parts[1:])
            except ValueError as error:
                raise self._fail(f"TICK: {error}") from None
            yield Batch(now, list(self._items()))

    def _items(self) -> Iterator[Item]:
        while True:
            line = self._next()
            if line is None:
                raise self._fail("input ended inside a batch")
            parts = line.split("\t")
            if parts[0] == "OVER_TO_YOU":
                return
            try:
                yield self._item(parts)
            except (ValueError, TypeError) as error:
                raise self._fail(f"{parts[0]}: {error}") from None

    def _item(self, parts: list[str]) -> Item:
        name, values = parts[0], parts[1:]
        if not values:
            raise ValueError("unknown message or missing instance")
        if name == "UP":
            if len(values) < 2:
                raise ValueError("missing seed")
            return Start(values[0], _int(values[1]), read_settings(values[2:]))
        if name == "EXIT":
            if len(values) != 1:
                raise ValueError(f"wants 1 value, got {len(values)}")
            return Stop(values[0])
        if name == "TOPOLOGY":
            return InstanceEvent(values[0], self._topology(values[1:]))
        if name not in _EVENTS:
            raise ValueError("unknown message")
        readers, build = _EVENTS[name]
        if len(values) != len(readers) + 1:
            raise ValueError(f"wants {len(readers) + 1} values, got {len(values)}")
        return InstanceEvent(values[0], build(*(read(text) for read, text in zip(readers, values[1:], strict=True))))

    def _topology(self, values: list[str]) -> api.EndpointListChanged:
        if len(values) < 2:
            raise ValueError("wants mode and rev, and optionally the number of ITEM lines")
        mode = _change_kind(values[0])
        count = _optional_int(values[2]) if len(values) > 2 else 0
        return api.EndpointListChanged(mode, tuple(self._entry() for _ in range(count)))

    def _entry(self) -> api.EndpointEntry:
        line = self._next()
        if line is None:
            raise ValueError("input ended inside a list")
        parts = line.split("\t")
        if parts[0] != "ITEM" or len(parts) != 8:
            raise ValueError(f"expected ITEM with 7 values, got {line[:60]!r}")
        _, endpoint, zone, _machine, _cell, state, weight, started = parts
        return api.EndpointEntry(
            endpoint, zone, _endpoint_status(state), _optional_float(weight), _optional_int(started)
        )


def read_settings(pairs: list[str]) -> api.Settings:
    """Read the settings from path=value pairs. Unknown settings are ignored."""
    known: dict[str, str] = {}
    for pair in pairs:
        path, equals, value = pair.partition("=")
        if not equals:
            raise ValueError(f"not a path=value pair: {pair[:60]!r}")
        known[path] = value
    return instance_settings.read_settings(known)


def _class_mask(classes: tuple[int, ...]) -> int:
    return sum(1 << place for place in classes)


def _decimal(value: float) -> str:
    return f"{value:.6g}"


_WRITERS: dict[type, Callable[..., tuple[object, ...]]] = {
    api.SetEntry: lambda a: ("WEIGH", a.endpoint, a.table, _decimal(a.weight)),
    api.ClearTable: lambda a: ("EMPTY", a.table),
    api.BindTable: lambda a: ("USE_TABLE", _class_mask(a.classes), a.proxy, a.table),
    api.SetWithdrawn: lambda a: ("BENCH", a.endpoint, int(a.withdrawn)),
    api.SetAdmission: lambda a: (
        "THROTTLE",
        ALL_TABLES if a.table is None else a.table,
        _class_mask(a.classes),
        _decimal(a.level),
        a.retry,
    ),
    api.RequestSync: lambda a: ("SEAL", a.token, int(a.all_proxies)),
    api.SubscribeEndpointList: lambda a: ("LISTEN", int(a.subscribe)),
    api.FetchEndpointList: lambda a: ("GET_LIST",),
    api.SetTimer: lambda a: ("WAKE_ME", a.delay, a.token),
    api.Probe: lambda a: ("SOUND_OUT", a.endpoint),
    api.SendToPeer: lambda a: ("TELL", "all" if a.to is None else a.to, a.payload.hex() or ABSENT),
    api.Log: lambda a: ("RECORD", " ".join(a.text.split())),
}


def write_action(instance: str, action: api.Action) -> str:
    """Return the reply line for an action."""
    name, *values = _WRITERS[type(action)](action)
    return "\t".join([str(name), instance, *(str(value) for value in values)])


def write_fault(instance: str, error: BaseException) -> str:
    """Return the reply line that reports an exception of a planner."""
    text = " ".join(f"{type(error).__name__}: {error}".split())
    return f"GIVE_IN\t{instance}\t{text}"
