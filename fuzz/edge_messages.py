"""Fuzz what the platform's pilot reads: its address, the relay's news and answers, discovery's watch.

    python -m fuzz.edge_messages -max_total_time=600 fuzz/corpus/edge

Needs `pip install -e '.[fuzz]'` (atheris, on libFuzzer). The first byte names the reader, the second a place to cut.
Wherever a stream is cut, the same must come of it; nothing but what is promised is raised; what is kept is bounded by
what came in; every event is one the module can take.
"""

from __future__ import annotations

import sys

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.platform import connection_limiter, discovery, http_client, messages
from damsonpick.protocols.platform.pending_orders import Orders, read_answer
from damsonpick.protocols.platform.registry import Registry, Standing

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


def through_the_door(pieces: list[bytes]) -> list[object]:
    caller, events = connection_limiter.Caller(messages.Reports(SETTINGS, ("a",))), []
    try:
        for piece in pieces:
            events += caller.feed(NOW, piece).events
    except connection_limiter.Turned as turned:
        events += turned.heard.events
        return [*events, "turned"]
    assert len(caller.frames.data) <= sum(map(len, pieces))
    return events


def watched(pieces: list[bytes]) -> list[bytes]:
    answers, lines = http_client.Answers(), []
    try:
        for piece in pieces:
            answers.feed(piece)
            lines += answers.lines()
    except http_client.Broken:
        return lines
    return lines


def news(pieces: list[bytes]) -> list[object]:
    registry, events = Registry(Orders(("look",)), 4, 4), []
    standing = Standing()
    for line in watched(pieces):
        try:
            told = messages.decode_news(line)
        except messages.Spoilt:
            continue
        except messages.Unreadable:
            break
        if isinstance(told, messages.Beat):
            events += registry.reconcile(standing)
        else:
            standing.take(told)
            events += registry.news(told)
    assert all(n < 4 for n in registry.members) and all(n < 4 for n in registry.tables)
    return events


def listed(pieces: list[bytes]) -> list[object]:
    endpoint_list, events = discovery.EndpointList(discovery.EMPTY), []
    for line in watched(pieces):
        try:
            events.append(endpoint_list.take(discovery.decode(line), 0))
        except discovery.ListingError:
            break
    return events


READERS = (through_the_door, news, listed)


def check(data: bytes) -> None:
    """One stream. Raises: whatever is a finding."""
    if len(data) < 2:
        return
    reader, body = READERS[data[0] % len(READERS)], data[2:]
    cut = data[1] % (len(body) or 1)
    whole, cut_in_two = reader([body]), reader([body[:cut], body[cut:]])
    if reader is through_the_door:
        assert whole == cut_in_two
    else:  # bytes behind an offence may or may not have been seen before it
        assert whole[: len(cut_in_two)] == cut_in_two[: len(whole)]
    Planner(SETTINGS, 1).handle(NOW, [e for e in whole if e != "turned"])
    read_answer(body, 3)


def main() -> None:
    import atheris

    atheris.instrument_all()
    atheris.Setup(sys.argv, check)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
