"""The pilot on the platform's protocol, as a process, against stand-ins that fail."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time

import anyio
import pytest

from damsonpick.testing.fakes.collector import Collector, framed
from damsonpick.testing.fakes.relay import Relay
from tests.edge_world import ROOT, config, until, world

SPOILT = [
    {"@type": "upstream_stats", "zone": "a", "server": "p", "tries": 5, "span_ms": 1000.0},
    {"@type": "upstream_stats", "zone": "a", "server": "p", "tries": True, "failed": 0, "mean_ms": 1, "span_ms": 1000},
    {"@type": "upstream_stats", "zone": "a", "server": "p", "tries": 5, "failed": 9, "mean_ms": 1, "span_ms": 1000},
    {"@type": "upstream_stats", "zone": "nowhere", "server": "p", "tries": 5, "failed": 0, "mean_ms": 1, "span_ms": 9},
    {"@type": "upstream_stats", "zone": "a", "server": "p", "tries": 5, "failed": 0, "mean_ms": -1, "span_ms": 1000},
    {"@type": "range_stats", "slice": 99, "class": "look", "tries": 1, "failed": 0, "span_ms": 1000.0},
    {"@type": "range_stats", "slice": 1, "class": "none", "tries": 1, "failed": 0, "span_ms": 1000.0},
    {"@type": "no_such_kind"},
    {"tries": 1},
]


def run(scene, *arguments) -> None:
    anyio.run(scene, *arguments)


def test_a_calm_service_drains_and_ends(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            collector = await w.collector()
            assert await collector.alive()
            await collector.report("a", "p")
            await w.catalogue.put("q", "Terminating")
            await until(lambda: w.avoided("q"), 2.0)
            await until(lambda: not w.bare(), 2.0)
            began = time.monotonic()
            assert await w.end() == 0
            assert time.monotonic() - began < 0.7

    run(scene)


def test_a_kill_is_stood_up_from_the_relay_and_discovery_alone(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            before = {n: dict(t) for n, t in w.relay.tables.items()}
            await w.end(signal.SIGKILL)
            await w.catalogue.put("p", "Gone")
            calls = w.relay.calls
            await w.start()
            await until(lambda: w.relay.calls > calls and not w.bare(), 4.0)
            kept = [n for n, t in before.items() if "p" not in t]
            assert all(before[n].items() <= w.relay.tables[n].items() for n in kept)

    run(scene)


@pytest.mark.parametrize("fault", ["lost", "cut", "silent", "mute", "spoilt", "huge", "busy", "syntax", 1])
def test_every_outcome_of_a_call_ends_in_the_wanted_state(tmp_path, fault):
    async def scene():
        async with world(tmp_path) as w:
            w.relay.faults.extend([fault, fault])
            await w.catalogue.put("q", "Terminating")
            await until(lambda: not w.relay.faults and w.avoided("q"), 4.0)
            await until(lambda: not w.bare(), 4.0)  # a refused line is decided anew
            assert w.process.returncode is None

    run(scene)


def test_repeats_leave_the_channel_time(tmp_path):
    """Rule 5: a call whose outcome stays unknown is not heaped upon itself."""

    async def scene():
        async with world(tmp_path, rate=40.0) as w:  # 4 proxies and 8 head lines: nearly a second for a call
            w.relay.faults.extend(["lost"] * 3)
            began, calls = time.monotonic(), w.relay.calls
            await w.catalogue.put("q", "Terminating")
            await until(lambda: w.relay.calls >= calls + 2, 2.0)
            assert time.monotonic() - began < 0.6, "the first repeat follows at once"
            await until(lambda: w.relay.calls >= calls + 3, 4.0)
            assert time.monotonic() - began > 0.8
            await until(lambda: not w.relay.faults and not w.bare(), 6.0)

    run(scene)


def test_news_that_breaks_or_falls_silent_is_had_anew_with_the_difference(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            w.relay.silent = True
            w.relay.tables[2] = {"p": 1.0}
            del w.relay.tables[5]
            await until(lambda: "watch_broken" in w.said(), 5.0)
            w.relay.silent = False
            await until(lambda: len(w.said("relay_stands")) > 1)
            assert w.said("relay_stands")[-1]["slices"] == 5
            await w.relay.cut()
            await until(lambda: len(w.said("relay_stands")) > 2)
            await w.catalogue.put("p", "Terminating")
            await until(lambda: not w.bare(), 4.0)

    run(scene)


def test_discovery_that_breaks_lies_or_goes_back_is_asked_again(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            await w.catalogue.say(b'{"version":')
            await w.catalogue.put("q", "Terminating")  # told or not, as the watch is being had anew
            await until(lambda: w.avoided("q"), 4.0)
            await w.catalogue.say(json.dumps({"version": 0, "full": False, "servers": []}).encode())
            await until(lambda: len(w.said("watch_broken")) > 1)
            w.catalogue.silent = True
            await until(lambda: any("silent" in e["why"] for e in w.said("watch_broken")), 6.0)
            w.catalogue.down = True
            await w.catalogue.cut()
            await until(lambda: any("503" in e["why"] for e in w.said("watch_broken")))
            w.catalogue.down = False
            asked = len(w.catalogue.asked)
            await until(lambda: len(w.catalogue.asked) > asked)
            await w.catalogue.put("r", "Terminating")
            await until(lambda: not w.bare(), 4.0)

    run(scene)


def test_strangers_are_turned_away_and_collectors_stay(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            collector = await w.collector()
            offences = [
                b"GET / HTTP/1.1\r\n\r\n",
                b"\xff\xff\xff\xff",
                b"\0\0\0\0",
                framed(b"[1]"),
                framed(b"{}"),
                framed({"@type": "telemetry", "zone": "nowhere"}),
                framed({"@type": "attach", "proxy": 1}),
                framed({"@type": "range_stats", "slice": 1, "class": "look", "tries": 1, "failed": 0, "span_ms": 1.0}),
                framed({"@type": "SET"}),
                b"",
                b"\x10\0\0\0{",
                framed({"@type": "hb"}),
                framed(b"[" * 4000),
            ]
            async with anyio.create_task_group() as group:
                for offence in offences:
                    group.start_soon(_offend, w.port, offence)
            assert await collector.alive() and w.process.returncode is None

    run(scene)


async def _offend(port: int, offence: bytes) -> None:
    stranger = await Collector.dial(port)
    await stranger.raw(offence)
    assert await stranger.closed(2.5), offence


def test_a_crowd_at_the_limit_of_descriptors_is_let_go_and_service_goes_on(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            collector = await w.collector()
            crowd = [await Collector.dial(w.port) for _ in range(400)]
            assert await collector.alive()
            held = len(os.listdir(f"/proc/{w.process.pid}/fd"))
            assert held < 256
            for stranger in crowd:
                assert await stranger.closed(3.0)
            await until(lambda: len(os.listdir(f"/proc/{w.process.pid}/fd")) < 40)
            await w.catalogue.put("q", "Terminating")
            await until(lambda: w.avoided("q"), 3.0)

    run(scene)


def test_spoilt_reports_cost_only_themselves_and_unreadable_ones_the_connection(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            collector = await w.collector()
            for message in SPOILT:
                await collector.say(message)
            await collector.report("a", "p", mean_ms=150.0)
            assert await collector.alive()
            await until(lambda: "ms=150" in w.said("beliefs")[-1]["servers"].get("p", "") if w.said("beliefs") else 0)
            assert len(w.said("dropped")) == len(SPOILT)
            await collector.report("a", "q", mean_ms=170.0)
            await collector.raw(b"\4\0\0\0what")
            assert await collector.closed(2.0)
            await until(lambda: "ms=170" in w.said("beliefs")[-1]["servers"].get("q", ""))

    run(scene)


def test_a_new_configuration_moves_to_new_addresses_and_a_bad_one_is_refused(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            other = Relay(0, 4)
            other.tables, other.shut = w.relay.tables, w.relay.shut
            async with other.running() as port:
                w.file.write_text('{"name": "n0", "registry": 5}')
                w.process.send_signal(signal.SIGHUP)
                await until(lambda: w.said("configuration_refused"))
                assert (
                    "registry" in w.said("configuration_refused")[0]["why"]
                    or "settings" in w.said("configuration_refused")[0]["why"]
                )
                w.registry = port
                w.write()
                w.process.send_signal(signal.SIGHUP)
                await until(lambda: other.watchers and not w.relay.watchers)
                assert [e["gap"] for e in w.said("relay_stands")] == [True, False]
                calls = w.relay.calls
                await w.catalogue.put("q", "Terminating")
                await until(lambda: other.calls and not w.bare(), 3.0)
                assert w.relay.calls == calls

    run(scene)


def start(env: dict, *more: str) -> subprocess.CompletedProcess:
    env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | env
    return subprocess.run(
        [sys.executable, "-m", "damsonpick.edge"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=20
    )


@pytest.mark.parametrize(
    "change, word",
    [
        ({"listen": "nowhere"}, "listen"),
        ({"registry": {}}, "registry.address"),
        ({"discovery": None}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {}}, "missing setting"),
        ({"limits": {"sockets": "many"}}, "sockets"),
        ({"known": []}, "known"),
        ({"settings": config()["settings"] | {"me": "zero"}}, "me: not a whole number"),
    ],
)
def test_a_configuration_that_cannot_be_used_ends_with_one_line(tmp_path, change, word):
    file = tmp_path / "c.json"
    file.write_text(json.dumps(config() | change))
    done = start({"EDGE_CONFIG": str(file)})
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and word in done.stderr


def test_no_configuration_at_all_is_said(tmp_path):
    assert "EDGE_CONFIG" in start({}).stderr
    assert "nowhere" in start({"EDGE_CONFIG": str(tmp_path / "nowhere")}).stderr


def test_run_imports_none_of_what_it_leaves_off():
    code = (
        "import sys, damsonpick.protocols.platform.__main__\n"
        "print([m for m in ('grpc', 'pydantic', 'numpy', 'highspy', 'google.protobuf') if m in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert done.stdout.strip() == "[]", done.stderr
