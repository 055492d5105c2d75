"""Fuzz what the platform's pilot reads: accepted connections, the registry's watch and responses, discovery's watch.

    python -m fuzz.edge_messages -max_total_time=600 fuzz/corpus/edge

Requires `pip install -e '.[fuzz]'` (atheris, on libFuzzer). The first byte of an input selects the reader, and the
second byte the position at which the rest, the stream, is cut in two. The target checks that the cut does not change
the result, that the readers raise only documented errors, that they buffer no more than the bytes received, and that
the planner can handle every event.
"""

from __future__ import annotations

import sys

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.platform import messages, registry_events
from damsonpick.protocols.platform.connection import CollectorConnection, ConnectionRejectedError
from damsonpick.protocols.platform.discovery import EMPTY_LIST, decode_update
from damsonpick.protocols.platform.endpoint_list import EndpointList
from damsonpick.protocols.platform.errors import (
    EndpointListError,
    InvalidMessageError,
    MalformedMessageError,
    TransportError,
)
from damsonpick.protocols.platform.http_response import ResponseReader
from damsonpick.protocols.platform.order_codec import decode_response
from damsonpick.protocols.platform.pending_orders import PendingOrders
from damsonpick.protocols.platform.registry import Registry
from damsonpick.protocols.platform.watch_snapshot import WatchSnapshot

CLASSES = (api.RequestClass("look", 10**9, 3 * 10**9, "read_like", "all", 0, 1.0),)
SETTINGS = api.Settings(
    0,
    1,
    "a",
    CLASSES,
    4,
    4,
    False,
    "ratio",
    False,
    0,
    4000.0,
    6000.0,
    8.0,
    0,
    10**10,
    10**8,
    10**9,
    2 * 10**9,
    0.2,
    10**10,
    0,
    0,
    ("busy_reqs",),
    "pair",
)
NOW = 10**18
REJECTED = "rejected"


def read_connection(pieces: list[bytes]) -> list[object]:
    """Return the events that a collector's connection reads from a stream."""
    connection, events = CollectorConnection(messages.ReportMapper(SETTINGS, ("a",))), []
    try:
        for piece in pieces:
            events += connection.feed(NOW, piece).events
    except ConnectionRejectedError as rejected:
        events += rejected.received.events
        return [*events, REJECTED]
    assert len(connection.frames.buffer) <= sum(map(len, pieces))
    return events


def read_lines(pieces: list[bytes]) -> list[bytes]:
    """Return the lines that a watch sends in an HTTP response."""
    reader, lines = ResponseReader(), []
    try:
        for piece in pieces:
            reader.feed(piece)
            lines += reader.take_lines()
    except TransportError:
        return lines
    return lines


def read_registry_watch(pieces: list[bytes]) -> list[object]:
    """Return the events that the registry's watch produces."""
    registry, events = Registry(PendingOrders(("look",)), 4, 4), []
    snapshot = WatchSnapshot()
    for line in read_lines(pieces):
        try:
            event = registry_events.decode_event(line)
        except InvalidMessageError:
            continue
        except MalformedMessageError:
            break
        if isinstance(event, registry_events.Heartbeat):
            events += registry.reconcile(snapshot)
        else:
            snapshot.apply(event)
            events += registry.apply(event)
    assert all(number < 4 for number in registry.proxies) and all(number < 4 for number in registry.tables)
    return events


def read_discovery_watch(pieces: list[bytes]) -> list[object]:
    """Return the events that discovery's watch produces."""
    endpoint_list, events = EndpointList(EMPTY_LIST), []
    for line in read_lines(pieces):
        try:
            events.append(endpoint_list.apply(decode_update(line), 0))
        except EndpointListError:
            break
    return events


READERS = (read_connection, read_registry_watch, read_discovery_watch)


def check(data: bytes) -> None:
    """Check one input. Every exception that this raises is a finding."""
    if len(data) < 2:
        return
    reader, body = READERS[data[0] % len(READERS)], data[2:]
    cut = data[1] % (len(body) or 1)
    whole, cut_in_two = reader([body]), reader([body[:cut], body[cut:]])
    if reader is read_connection:
        assert whole == cut_in_two
    else:  # An error loses the valid lines of its piece, so with another cut one result may be a prefix of the other.
        assert whole[: len(cut_in_two)] == cut_in_two[: len(whole)]
    Planner(SETTINGS, 1).handle(NOW, [event for event in whole if event != REJECTED])
    decode_response(body, 3)


def main() -> None:
    import atheris

    atheris.instrument_all()
    atheris.Setup(sys.argv, check)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
