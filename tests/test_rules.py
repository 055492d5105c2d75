"""Tests the rule checker with records that keep each rule and records that break it."""

from __future__ import annotations

import pytest

from damsonpick.testing.rules import Checker, EffectRule, Limits

SECOND = 1_000_000_000
LIMITS = Limits(
    slice_count=1,
    empty_table_ns=2 * SECOND,
    drain_grace_ns=2 * SECOND,
    warm_up_ns=10 * SECOND,
    overload_multiple=2,
    overload_window_ns=SECOND,
    queued_entries=100,
    message_overhead_entries=8,
    messages_per_window=3,
    message_window_ns=10 * SECOND,
    effect_rules={
        "safe": EffectRule("read_like", "all", 0),
        "once": EffectRule("non_idempotent", "all", 0),
        "keyed": EffectRule("idempotency_key", "zone", 5 * SECOND),
    },
)
LIST = {"x": ["in_service", 0, "a"], "y": ["in_service", 0, "b"]}
TABLE = {"slice/0": {"v": "1", "lines": {"x": 1000, "y": 1000}, "levels": {}}}


def got(time_s, res, nonce="1.0.0.0", nack="", removed=(), gw="g"):
    return {
        "t": time_s * SECOND,
        "e": "got",
        "gw": gw,
        "type": "ClusterLoadAssignment",
        "nonce": nonce,
        "res": res,
        "removed": list(removed),
        "nack": nack,
    }


def event(time_s, event_kind, **more):
    return {"t": int(time_s * SECOND), "e": event_kind, **more}


def initial_records():
    return [event(1, "list", entries=LIST), event(1, "stream", gw="g", up=True, zone="a", fresh=True), got(2, TABLE)]


def check(*events):
    first = [
        event(0.5, "up", server=s, zone=z, capacity=4, started=0, cold_share=0.2, cold_time=10 * SECOND)
        for s, z in (("x", "a"), ("y", "b"))
    ]
    return {r.name: r for r in Checker(LIMITS).feed([*first, *initial_records(), *events]).results()}


def try_(time_s, request_id="r1", server="x", kind="safe", gw="g"):
    return event(time_s, "try", gw=gw, id=request_id, kind=kind, slice=0, server=server)


def ran(time_s, request_id="r1", server="x", kind="safe"):
    return event(time_s, "ran", id=request_id, kind=kind, slice=0, server=server)


FLEET = {"fleet": {"v": "1", "lines": {"x": 1000, "y": 1000}, "levels": {}}}
EMPTY = {"slice/0": {"v": "2", "lines": {}, "levels": {}}}
DRAIN = {"x": ["terminating", 0, "a"], "y": ["in_service", 0, "b"]}
COLD = {"x": ["in_service", 4 * SECOND, "a"], "y": ["in_service", 0, "b"]}


def cold_server_requests(times, work):
    """Return records of server x restarting cold, and of requests that an informed gateway sends to it.

    The process starts at 4 s, the list shows it at 4.5 s, and the gateway reads a response at 5 s.
    """
    events = [
        event(4, "up", server="x", zone="a", capacity=4, started=4 * SECOND, cold_share=0.2, cold_time=10 * SECOND),
        event(4.5, "list", entries=COLD),
        got(5, TABLE),
    ]
    for k in range(times):
        events += [
            try_(5.1 + k / 1000, f"r{k}"),
            event(5.1 + k / 1000, "in", server="x", id=f"r{k}", kind="safe", slice=0, work=work),
        ]
    return events


KEEPS = {
    "bare shorter than the limit": ("nobody left without a server", [got(5, EMPTY), got(6, TABLE)]),
    "bare while no warm server is listed": (
        "nobody left without a server",
        [event(4, "list", entries={"x": ["in_service", 4 * SECOND, "a"]}), got(5, EMPTY), got(9, TABLE)],
    ),
    "bare without a stream": (
        "nobody left without a server",
        [event(4, "stream", gw="g", up=False), got(5, EMPTY), event(20, "done")],
    ),
    "an answer that was refused stays the last good": (
        "nobody left without a server",
        [got(5, EMPTY, nack="no"), event(20, "done")],
    ),
    "one run": ("no effect twice", [try_(5, kind="once"), ran(5, kind="once")]),
    "read again": ("no effect twice", [ran(5), ran(6, server="y")]),
    "key within scope and window": ("no effect twice", [ran(5, kind="keyed"), ran(6, kind="keyed")]),
    "sent within the grace": ("drains kept", [event(5, "list", entries=DRAIN), try_(6.9)]),
    "sent without a stream": (
        "drains kept",
        [event(5, "list", entries=DRAIN), event(5.5, "stream", gw="g", up=False), try_(9)],
    ),
    "an empty list is no news": ("drains kept", [event(5, "list", entries={}), try_(12)]),
    "little to a cold one": ("no cold server pushed over", cold_server_requests(3, 400)),
    "short queue": ("a short queue", [got(5, TABLE, "2.4000000000.5000000000.40")]),
}
BREAKS = {
    "bare past the limit": ("nobody left without a server", [got(5, EMPTY), got(8, TABLE)]),
    "all withdrawn past the limit": ("nobody left without a server", [got(5, FLEET), event(9, "done")]),
    "resource removed": ("nobody left without a server", [got(5, {}, removed=["slice/0"]), event(9, "done")]),
    "never given a table": (
        "nobody left without a server",
        [event(5, "stream", gw="h", up=True, zone="a", fresh=True), event(9, "done")],
    ),
    "ran twice": ("no effect twice", [ran(5, kind="once"), ran(6, kind="once", server="y")]),
    "sent again after it ran": ("no effect twice", [ran(5, kind="once"), try_(6, kind="once", server="y")]),
    "key out of its scope": ("no effect twice", [ran(5, kind="keyed"), ran(6, kind="keyed", server="y")]),
    "key after its window": ("no effect twice", [ran(5, kind="keyed"), ran(11, kind="keyed")]),
    "sent after the grace": ("drains kept", [event(5, "list", entries=DRAIN), try_(7.1)]),
    "sent to one that is gone": ("drains kept", [event(5, "list", entries={"y": LIST["y"]}), try_(8)]),
    "rejoined and sent after the grace": (
        "drains kept",
        [
            event(4, "stream", gw="g", up=False),
            event(5, "list", entries=DRAIN),
            event(9, "stream", gw="g", up=True, zone="a", fresh=False),
            try_(11.5),
        ],
    ),
    "pushed over": ("no cold server pushed over", cold_server_requests(12, 400)),
    "long queue": (
        "a short queue",
        [got(5, TABLE, "2.4000000000.5000000000.60"), got(5, TABLE, "3.4100000000.5000000000.60", gw="h")],
    ),
    "too many messages": (
        "a short queue",
        [got(5 + k, TABLE, f"{k}.{5 + k}000000000.{5 + k}000000001.1") for k in range(4)],
    ),
}


@pytest.mark.parametrize("case", KEEPS)
def test_kept(case):
    rule, events = KEEPS[case]
    result = check(*events)[rule]
    assert not result.breaches
    assert result.tested or case in (
        "sent without a stream",
        "read again",
        "an empty list is no news",
        "bare without a stream",
    )


@pytest.mark.parametrize("case", BREAKS)
def test_broken(case):
    rule, events = BREAKS[case]
    results = check(*events)
    breach = results[rule].breaches[0]
    assert breach.time_ns and breach.text
    assert [name for name, r in results.items() if r.breaches] == [rule]
