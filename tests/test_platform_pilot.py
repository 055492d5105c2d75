"""Tests of the platform's pilot as a process against fake servers with faults."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time

import anyio
import pytest

from damsonpick.testing.fakes.collector import FakeCollector, frame
from damsonpick.testing.fakes.registry import FakeRegistry, PartlyApplied, RequestFault
from tests.platform_world import ROOT, config, until, world

INVALID_REPORTS = [
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


def run(run_scenario, *arguments) -> None:
    anyio.run(run_scenario, *arguments)


def test_drain_and_shutdown_without_faults(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            collector = await site.connect_collector()
            assert await collector.heartbeat_is_answered()
            await collector.send_report("a", "p")
            await site.discovery.update_server("q", "Terminating")
            await site.wait_until_avoided("q", 2.0)
            await site.wait_until_covered(2.0)
            started_at = time.monotonic()
            assert await site.end() == 0
            assert time.monotonic() - started_at < 0.7

    run(run_scenario)


def test_state_after_a_kill_comes_from_registry_and_discovery_alone(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            before = {n: dict(t) for n, t in site.registry.tables.items()}
            await site.end(signal.SIGKILL)
            await site.discovery.update_server("p", "Gone")
            requests_before = site.registry.request_count
            await site.start()
            await until(lambda: site.registry.request_count > requests_before and not site.uncovered_slices(), 4.0)
            kept = [n for n, t in before.items() if "p" not in t]
            assert all(before[n].items() <= site.registry.tables[n].items() for n in kept)

    run(run_scenario)


@pytest.mark.parametrize(
    "fault",
    [
        RequestFault.ANSWER_LOST,
        RequestFault.CONNECTION_CUT,
        RequestFault.ANSWER_WITHHELD,
        RequestFault.IGNORED,
        RequestFault.ANSWER_INVALID,
        RequestFault.ANSWER_OUT_OF_RANGE,
        RequestFault.BUSY,
        RequestFault.SYNTAX,
        PartlyApplied(orders=1),
    ],
)
def test_every_outcome_of_a_request_ends_in_the_desired_state(tmp_path, fault):
    async def run_scenario():
        async with world(tmp_path) as site:
            site.registry.faults.extend([fault, fault])
            await site.discovery.update_server("q", "Terminating")
            await until(lambda: not site.registry.faults and site.is_avoided("q"), 4.0)
            await site.wait_until_covered(4.0)  # the planner decides again on a rejected entry
            assert site.process.returncode is None

    run(run_scenario)


def test_repeated_requests_leave_the_channel_time(tmp_path):
    """Rule 5: repeated requests whose outcome stays unknown must not accumulate in the channel."""

    async def run_scenario():
        # With 4 proxies and 8 entries of overhead, the channel needs nearly a second for a request.
        async with world(tmp_path, rate=40.0) as site:
            site.registry.faults.extend([RequestFault.ANSWER_LOST] * 3)
            started_at, requests_before = time.monotonic(), site.registry.request_count
            await site.discovery.update_server("q", "Terminating")
            await until(lambda: site.registry.request_count >= requests_before + 2, 2.0)
            assert time.monotonic() - started_at < 0.6, "the first repeat is sent without an additional delay"
            await until(lambda: site.registry.request_count >= requests_before + 3, 4.0)
            assert time.monotonic() - started_at > 0.8
            await until(lambda: not site.registry.faults and not site.uncovered_slices(), 6.0)

    run(run_scenario)


def test_an_interrupted_or_silent_registry_watch_is_opened_again_and_reports_the_difference(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            site.registry.silent = True
            site.registry.tables[2] = {"p": 1.0}
            del site.registry.tables[5]
            await site.wait_for_log_entry("watch_interrupted", timeout_s=5.0)
            site.registry.silent = False
            await site.wait_for_log_entry("registry_synchronized", count=2)
            assert site.log_entries("registry_synchronized")[-1]["slices"] == 5
            await site.registry.cut_watches()
            await site.wait_for_log_entry("registry_synchronized", count=3)
            await site.discovery.update_server("p", "Terminating")
            await site.wait_until_covered(4.0)

    run(run_scenario)


def test_an_interrupted_invalid_or_outdated_discovery_watch_is_opened_again(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            await site.discovery.send_line(b'{"version":')
            # The watch may or may not report this update, as it is being reopened.
            await site.discovery.update_server("q", "Terminating")
            await site.wait_until_avoided("q", 4.0)
            await site.discovery.send_line(json.dumps({"version": 0, "full": False, "servers": []}).encode())
            await site.wait_for_log_entry("watch_interrupted", count=2)
            site.discovery.silent = True
            await site.wait_for_log_entry("watch_interrupted", reason="no data", timeout_s=6.0)
            site.discovery.is_down = True
            await site.discovery.cut_watches()
            await site.wait_for_log_entry("watch_interrupted", reason="503")
            site.discovery.is_down = False
            asked = len(site.discovery.requested_targets)
            await until(lambda: len(site.discovery.requested_targets) > asked)
            await site.discovery.update_server("r", "Terminating")
            await site.wait_until_covered(4.0)

    run(run_scenario)


def test_invalid_connections_are_rejected_and_collectors_stay(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            collector = await site.connect_collector()
            invalid_inputs = [
                b"GET / HTTP/1.1\r\n\r\n",
                b"\xff\xff\xff\xff",
                b"\0\0\0\0",
                frame(b"[1]"),
                frame(b"{}"),
                frame({"@type": "telemetry", "zone": "nowhere"}),
                frame({"@type": "attach", "proxy": 1}),
                frame({"@type": "range_stats", "slice": 1, "class": "look", "tries": 1, "failed": 0, "span_ms": 1.0}),
                frame({"@type": "SET"}),
                b"",
                b"\x10\0\0\0{",
                frame({"@type": "hb"}),
                frame(b"[" * 4000),
            ]
            async with anyio.create_task_group() as group:
                for invalid_input in invalid_inputs:
                    group.start_soon(_expect_rejection, site.port, invalid_input)
            assert await collector.heartbeat_is_answered() and site.process.returncode is None

    run(run_scenario)


async def _expect_rejection(port: int, invalid_input: bytes) -> None:
    connection = await FakeCollector.connect(port)
    await connection.send_bytes(invalid_input)
    assert await connection.is_closed_within(2.5), invalid_input


def test_connections_beyond_the_descriptor_limit_are_closed_and_service_continues(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            collector = await site.connect_collector()
            connections = [await FakeCollector.connect(site.port) for _ in range(400)]
            assert await collector.heartbeat_is_answered()
            held = len(os.listdir(f"/proc/{site.process.pid}/fd"))
            assert held < 256
            for connection in connections:
                assert await connection.is_closed_within(3.0)
            await until(lambda: len(os.listdir(f"/proc/{site.process.pid}/fd")) < 40)
            await site.discovery.update_server("q", "Terminating")
            await site.wait_until_avoided("q", 3.0)

    run(run_scenario)


def test_invalid_reports_are_dropped_alone_and_malformed_ones_end_the_connection(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            collector = await site.connect_collector()
            for message in INVALID_REPORTS:
                await collector.send(message)
            await collector.send_report("a", "p", mean_ms=150.0)
            assert await collector.heartbeat_is_answered()
            await site.wait_for_latency("p", 150)
            assert len(site.log_entries("input_dropped")) == len(INVALID_REPORTS)
            await collector.send_report("a", "q", mean_ms=170.0)
            await collector.send_bytes(b"\4\0\0\0what")
            assert await collector.is_closed_within(2.0)
            await site.wait_for_latency("q", 170)

    run(run_scenario)


def test_reload_moves_to_new_addresses_and_rejects_an_invalid_configuration(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            other = FakeRegistry(0, 4)
            other.tables, other.withdrawn = site.registry.tables, site.registry.withdrawn
            async with other.running() as port:
                site.file.write_text('{"name": "n0", "registry": 5}')
                site.reload()
                await site.wait_for_log_entry("configuration_rejected")
                reason = site.log_entries("configuration_rejected")[0]["reason"]
                assert "registry" in reason or "settings" in reason
                site.registry_port = port
                site.write()
                site.reload()
                await until(lambda: other.watchers and not site.registry.watchers)
                assert [e["gap"] for e in site.log_entries("registry_synchronized")] == [True, False]
                requests_before = site.registry.request_count
                await site.discovery.update_server("q", "Terminating")
                await until(lambda: other.request_count and not site.uncovered_slices(), 3.0)
                assert site.registry.request_count == requests_before

    run(run_scenario)


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
def test_an_invalid_configuration_ends_with_one_line(tmp_path, change, word):
    file = tmp_path / "c.json"
    file.write_text(json.dumps(config() | change))
    done = start({"EDGE_CONFIG": str(file)})
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and word in done.stderr


def test_a_missing_configuration_is_reported(tmp_path):
    assert "EDGE_CONFIG" in start({}).stderr
    assert "nowhere" in start({"EDGE_CONFIG": str(tmp_path / "nowhere")}).stderr


def test_heavy_packages_are_not_imported():
    code = (
        "import sys, damsonpick.protocols.platform.__main__\n"
        "print([m for m in ('grpc', 'pydantic', 'numpy', 'highspy', 'google.protobuf') if m in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=20)
    assert done.stdout.strip() == "[]", done.stderr
