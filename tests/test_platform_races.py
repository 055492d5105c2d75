"""Tests of races in the pilot as a process; gates of the fake servers force the sequence of events."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import signal
import time

import anyio
import pytest
import structlog

from damsonpick.protocols.platform import endpoint_list_watch, registry_events
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.config import parse_config
from damsonpick.protocols.platform.connection_listener import open_listener
from damsonpick.protocols.platform.discovery import decode_update
from damsonpick.protocols.platform.pilot import Pilot
from damsonpick.protocols.platform.watch_snapshot import WatchSnapshot
from damsonpick.testing.fakes.collector import FakeCollector, frame
from damsonpick.testing.fakes.discovery import FakeDiscovery
from damsonpick.testing.fakes.registry import FakeRegistry, RequestFault
from tests.platform_world import config, free_port, until, wait_for_gate, world

SHUTDOWN_TIMEOUT_S = 0.7  # the platform allows this time from SIGTERM to the end of the process


def run(run_scenario) -> None:
    anyio.run(run_scenario)


async def assert_ends_in_time(site) -> None:
    started_at = time.monotonic()
    assert await site.end() == 0
    assert time.monotonic() - started_at < SHUTDOWN_TIMEOUT_S


def test_a_slice_withdrawn_and_assigned_again_during_a_request_is_ordered_again(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            number = next(n for n, table in site.registry.tables.items() if set(table) == {"q"})
            site.registry.faults.append(RequestFault.ANSWER_HELD)
            await site.discovery.update_server("q", "Terminating")
            await wait_for_gate(site.registry.gate)  # applied, but no response was sent
            assert site.registry.tables[number].keys() - {"q"}
            await site.registry.revoke_slice(number)
            # The table has its old entries: those of the request were lost with the previous ownership.
            await site.registry.assign_slice(number, {"q": 1.0})
            # If there is a response, it arrives after the watch events.
            await site.wait_for_log_entry("order_request_unconfirmed")
            site.registry.gate.opened.set()
            await site.wait_until_covered(4.0)
            assert site.is_avoided("q") and site.process.returncode is None

    run(run_scenario)


def test_a_restart_with_a_request_in_flight_ends_in_the_desired_state(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            site.registry.faults.append(RequestFault.ANSWER_HELD)
            await site.discovery.update_server("q", "Terminating")
            await wait_for_gate(site.registry.gate)
            await assert_ends_in_time(site)
            site.registry.gate.opened.set()
            await site.discovery.update_server("p", "Terminating")
            await site.start()
            await until(lambda: site.is_avoided("q") and site.is_avoided("p"), 4.0)
            await site.wait_until_covered(4.0)

    run(run_scenario)


def test_a_reload_during_a_drain_completes_the_drain_at_the_new_address(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            other = FakeRegistry(0, 4)
            other.tables, other.withdrawn = site.registry.tables, site.registry.withdrawn
            async with other.running() as port:
                site.registry.faults.append(RequestFault.IGNORED)  # neither applied nor answered
                requests_before = site.registry.request_count
                await site.discovery.update_server("q", "Terminating")
                await until(lambda: site.registry.request_count > requests_before)
                site.registry_port = port
                site.write()
                site.reload()
                await until(lambda: other.request_count and site.is_avoided("q"), 4.0)
                await site.wait_until_covered(4.0)

    run(run_scenario)


def test_of_two_reloads_at_once_the_newest_address_is_followed(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            slow, newest = FakeDiscovery(*"pqr"), FakeDiscovery(*"pqr")
            slow.version = newest.version = 5
            slow.holds_requests = True
            async with slow.running() as slow_port, newest.running() as newest_port:
                for service, port in ((slow, slow_port), (newest, newest_port)):
                    site.discovery_port = port
                    site.write()
                    site.reload()
                    await until(lambda service=service: service.requested_targets)
                await until(lambda: newest.watchers and not site.discovery.watchers)
                # The slow service sends its state after the newest service has sent its own state.
                # Then the slow service ends.
                slow.gate.opened.set()
                await anyio.sleep(0.2)
                await slow.cut_watches()
                assert len(slow.requested_targets) == 1
                site.discovery = newest
                await newest.cut_watches()  # the pilot reconnects to the newest service
                await until(lambda: newest.watchers)
                await site.drain("q")
                assert len(slow.requested_targets) == 1

    run(run_scenario)


def test_a_former_address_that_ends_while_the_new_one_is_down_can_be_returned_to(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            first = site.discovery_port
            site.discovery_port = free_port()  # nothing listens there
            site.write()
            site.reload()
            await site.wait_for_log_entry("configuration_reloaded")
            await site.discovery.cut_watches()
            await site.wait_for_log_entry("watch_interrupted", reason="connect: ")
            site.discovery_port = first
            site.write()
            site.reload()
            await until(lambda: site.discovery.watchers)
            await site.drain("q")

    run(run_scenario)


def test_an_outdated_full_list_does_not_bring_a_drained_endpoint_back(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            await site.drain("q")
            newest, site.discovery.version = site.discovery.version, 1
            site.discovery.servers["q"] = site.discovery.entry("q")
            asked, site.discovery.history = len(site.discovery.requested_targets), []
            await site.discovery.cut_watches()
            await site.wait_for_log_entry("input_dropped")
            await until(lambda: len(site.discovery.requested_targets) > asked)
            assert str(newest) in site.log_entries("input_dropped")[-1]["reason"]
            requests_before = site.registry.request_count
            site.discovery.servers["q"] = site.discovery.entry("q", "Terminating")
            site.discovery.version = newest
            await site.discovery.update_server("p", "Terminating")  # the outdated copy has caught up
            await until(lambda: site.is_avoided("p") and site.registry.request_count > requests_before, 4.0)
            assert site.is_avoided("q")
            await site.wait_until_covered(4.0)

    run(run_scenario)


def test_a_watch_that_sends_only_parts_of_lines_is_opened_again(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            site.discovery.silent = True
            started_at, asked = time.monotonic(), len(site.discovery.requested_targets)
            while len(site.discovery.requested_targets) == asked:
                assert time.monotonic() - started_at < 2 * endpoint_list_watch.SILENCE_TIMEOUT_S
                await site.discovery.send_bytes(b" ")
                await anyio.sleep(0.2)
            site.discovery.silent = False
            assert [e["watch"] for e in site.log_entries("watch_interrupted")] == ["discovery"]
            await until(lambda: site.discovery.watchers)
            await site.drain("q")

    run(run_scenario)


def test_heartbeats_alone_are_no_endpoint_list(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            site.discovery.omits_list = True
            await site.end()
            await site.start()
            await site.wait_for_log_entry("watch_interrupted", reason="current state", timeout_s=6.0)
            assert site.log_entries("readiness_timed_out")[-1]["missing_sources"] == ["discovery"]
            site.discovery.omits_list = False
            await until(lambda: site.discovery.watchers, 4.0)
            await site.drain("q")

    run(run_scenario)


def test_proxies_that_rejoin_with_a_sync_unacknowledged_do_not_block_the_channel(tmp_path):
    async def run_scenario():
        async with world(tmp_path, rate=100.0) as site:  # one unacknowledged sync fills the channel at this rate
            site.registry.faults.append(RequestFault.SYNC_WITHHELD)
            await site.drain("q")
            assert not site.registry.faults
            await site.registry.reconnect_proxies()
            await site.drain("p")

    run(run_scenario)


@pytest.mark.parametrize("where", ["request held", "discovery held", "reload", "unjoined connections"])
def test_sigterm_ends_at_once_during(tmp_path, where):
    async def run_scenario():
        async with world(tmp_path) as site:
            connections = []
            if where == "request held":
                site.registry.faults.append(RequestFault.ANSWER_HELD)
                await site.discovery.update_server("q", "Terminating")
                await wait_for_gate(site.registry.gate)
            elif where == "discovery held":
                site.discovery.holds_requests = True
                await site.discovery.cut_watches()
                await wait_for_gate(site.discovery.gate)
            elif where == "reload":
                site.discovery_port = free_port()
                site.write()
                site.reload()
            else:
                connections = [await FakeCollector.connect(site.port) for _ in range(60)]
                for connection in connections:
                    await connection.send_bytes(b"\x10\0\0\0{")
            site.process.send_signal(signal.SIGTERM)  # the pilot receives a second SIGTERM immediately after it
            await assert_ends_in_time(site)
            assert site.log_entries("pilot_ended")
            site.registry.gate.opened.set()
            site.discovery.gate.opened.set()

    run(run_scenario)


def blocked_signals(pid: int) -> set[int]:
    """Return the signals that a process has blocked; the set is empty until the process has started."""
    with contextlib.suppress(OSError):
        with open(f"/proc/{pid}/status") as status:
            mask = next(int(line.split()[1], 16) for line in status if line.startswith("SigBlk"))
        return {n for n in range(1, 32) if mask >> (n - 1) & 1}
    return set()


def test_signals_before_their_receiver_is_open_are_handled_afterwards(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            await site.end()
            starts, reloads = len(site.log_entries("pilot_started")), len(site.log_entries("configuration_reloaded"))
            async with anyio.create_task_group() as group:
                group.start_soon(site.start)
                former = site.process.pid
                await until(lambda: site.process.pid != former)
                await until(lambda: signal.SIGHUP in blocked_signals(site.process.pid))
                site.reload()
            await site.wait_for_log_entry("configuration_reloaded", count=reloads + 1)
            assert len(site.log_entries("pilot_started")) == starts + 1
            await site.drain("q")

    run(run_scenario)


def test_each_heartbeat_request_is_answered_however_it_arrives(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            request, join = frame({"@type": "hb"}), frame({"@type": "telemetry", "zone": "a"})
            report = frame(
                {
                    "@type": "upstream_stats",
                    "zone": "a",
                    "server": "p",
                    "tries": 5,
                    "failed": 0,
                    "mean_ms": 123.0,
                    "span_ms": 1000.0,
                    "load": {"busy_reqs": 1},
                }
            )
            bytewise = await FakeCollector.connect(site.port)
            for byte in request + request:
                await bytewise.send_bytes(bytes([byte]))
            assert await heartbeats(bytewise, 2) == 2
            together = await FakeCollector.connect(site.port)
            await together.send_bytes(request + join + report + request)
            assert await heartbeats(together, 2) == 2
            await site.wait_for_latency("p", 123)
            half = await FakeCollector.connect(site.port)
            await half.send_bytes(request)
            await half.stream.send_eof()
            assert await heartbeats(half, 1) == 1 and await half.is_closed_within(2.0)
            rejected = await FakeCollector.connect(site.port)
            await rejected.send_bytes(request + frame({"@type": "SET"}))
            assert await heartbeats(rejected, 1) == 1 and await rejected.is_closed_within(2.0)

    run(run_scenario)


async def heartbeats(collector: FakeCollector, maximum: int) -> int:
    """Receive heartbeats until their number reaches `maximum` or a timeout expires, and return the number."""
    data = b""
    with anyio.move_on_after(3.0):
        while data.count(b"hb_ok") < maximum:
            data += await collector.stream.receive(1000)
    return data.count(b"hb_ok")


@contextlib.asynccontextmanager
async def pilot_in_process(listener=None):
    """Run only the connection listener of a pilot, in this process."""
    port = free_port()
    local_pilot = Pilot(parse_config(json.dumps(config(port)).encode()), structlog.get_logger())
    async with anyio.create_task_group() as group:
        group.start_soon(local_pilot.listener.run, listener or await open_listener(Address("127.0.0.1", port)), group)
        yield local_pilot, port, group
        group.cancel_scope.cancel()


def test_the_wait_for_readiness_does_not_count_against_the_join_timeout():
    async def run_scenario():
        async with pilot_in_process() as (local_pilot, port, _):
            connection = await FakeCollector.connect(port)
            await connection.send_bytes(frame({"@type": "hb"}))
            await anyio.sleep(1.2)  # longer than the join timeout
            assert local_pilot.limiter.connections
            local_pilot.readiness.become_ready()
            assert await heartbeats(connection, 1) == 1
            assert await connection.is_closed_within(2.0)  # it has not joined within the join timeout

    run(run_scenario)


class FaultyListener:
    """A listener whose first accepts fail."""

    def __init__(self, inner, *errors: int) -> None:
        self.inner, self.errors = inner, list(errors)

    async def accept(self):
        if self.errors:
            raise OSError(self.errors.pop(0), "not accepted")
        return await self.inner.accept()


@pytest.mark.parametrize("error, stays", [(errno.ECONNABORTED, True), (errno.EPROTO, True), (errno.EMFILE, False)])
def test_only_exhausted_descriptors_close_an_unjoined_connection(error, stays):
    async def run_scenario():
        async with pilot_in_process() as (local_pilot, port, group):
            connection = await FakeCollector.connect(port)
            await until(lambda: local_pilot.limiter.connections)
            group.start_soon(local_pilot.listener.run, FaultyListener(await inner_listener(), error, error), group)
            assert await connection.is_closed_within(0.5) != stays

    run(run_scenario)


async def inner_listener():
    opened = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    return opened.listeners[0]


def test_a_fault_outside_the_planner_does_not_end_the_pilot(tmp_path):
    async def run_scenario():
        async with world(tmp_path) as site:
            pid = site.process.pid
            site.file.write_text("[" * 100_000)  # nested too deeply for the stack of any JSON decoder
            site.reload()
            await until(lambda: site.log_entries("configuration_rejected") or site.log_entries("reload_failed"))
            os.kill(pid, 0)
            await site.drain("q")

    run(run_scenario)


def test_orders_that_cannot_be_published_lead_to_a_new_planner():
    async def run_scenario():
        async with pilot_in_process() as (local_pilot, _, group):
            pushed = []

            def publish_failing_once(orders):
                pushed.append(orders)
                if len(pushed) == 1:
                    raise RuntimeError("publishing failed")

            local_pilot.driver.publish = publish_failing_once
            local_pilot.endpoint_list.apply(
                decode_update(b'{"version":1,"full":true,"servers":[{"id":"p","zone":"a","state":"Ready"}]}'), 0
            )
            snapshot = WatchSnapshot()
            snapshot.apply(registry_events.ProxyAttached(0, "a", True))
            snapshot.apply(registry_events.OwnershipChanged(0, True))
            local_pilot.registry.reconcile(snapshot)
            local_pilot.driver.start()
            group.start_soon(local_pilot.driver.run)
            await until(lambda: len(pushed) > 1)  # the next planner repeats the orders of the first planner
            assert local_pilot.driver.loop.failures == 1 and set(pushed[0]) <= set(pushed[1])

    run(run_scenario)


def test_a_failed_response_to_a_rejected_connection_ends_neither_the_pilot_nor_others():
    async def run_scenario():
        async with pilot_in_process() as (local_pilot, port, _):
            local_pilot.readiness.become_ready()
            respond, failed = local_pilot.handler.respond, []

            async def respond_failing_once(opened, received):
                if received.heartbeat_requests and not failed:
                    failed.append(opened)
                    raise RuntimeError("response failed")
                await respond(opened, received)

            local_pilot.handler.respond = respond_failing_once
            rejected = await FakeCollector.connect(port)
            await rejected.send_bytes(frame({"@type": "hb"}) + frame({"@type": "SET"}))
            assert await rejected.is_closed_within(2.0) and failed
            assert await (await FakeCollector.connect(port)).heartbeat_is_answered()

    run(run_scenario)
