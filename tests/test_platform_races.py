"""Races of the pilot as a process: gates of the fake servers force what happens first."""

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
from tests.platform_world import config, free_port, gate_reached, until, world

SHUTDOWN_TIMEOUT_S = 0.7  # from SIGTERM to the end, as the platform allows


def run(scene) -> None:
    anyio.run(scene)


async def ends_in_time(site) -> None:
    began = time.monotonic()
    assert await site.end() == 0
    assert time.monotonic() - began < SHUTDOWN_TIMEOUT_S


def test_a_slice_withdrawn_and_assigned_again_during_a_request_is_ordered_again(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            number = next(n for n, table in site.registry.tables.items() if set(table) == {"q"})
            site.registry.faults.append(RequestFault.ANSWER_HELD)
            await site.discovery.update_server("q", "Terminating")
            await gate_reached(site.registry.gate)  # applied, and not answered
            assert site.registry.tables[number].keys() - {"q"}
            await site.registry.take_slice(number)
            await site.registry.give_slice(
                number, {"q": 1.0}
            )  # as before: the request's entries went with the former ownership
            await site.logged("order_request_unconfirmed")  # the response comes after the watch events, if at all
            site.registry.gate.opened.set()
            await site.covered(4.0)
            assert site.is_avoided("q") and site.process.returncode is None

    run(scene)


def test_a_restart_with_a_request_in_flight_ends_in_the_desired_state(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            site.registry.faults.append(RequestFault.ANSWER_HELD)
            await site.discovery.update_server("q", "Terminating")
            await gate_reached(site.registry.gate)
            await ends_in_time(site)
            site.registry.gate.opened.set()
            await site.discovery.update_server("p", "Terminating")
            await site.start()
            await until(lambda: site.is_avoided("q") and site.is_avoided("p"), 4.0)
            await site.covered(4.0)

    run(scene)


def test_a_reload_during_a_drain_completes_the_drain_at_the_new_address(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            other = FakeRegistry(0, 4)
            other.tables, other.withdrawn = site.registry.tables, site.registry.withdrawn
            async with other.running() as port:
                site.registry.faults.append(RequestFault.IGNORED)  # neither applied nor answered
                calls = site.registry.request_count
                await site.discovery.update_server("q", "Terminating")
                await until(lambda: site.registry.request_count > calls)
                site.registry_port = port
                site.write()
                site.reload()
                await until(lambda: other.request_count and site.is_avoided("q"), 4.0)
                await site.covered(4.0)

    run(scene)


def test_of_two_reloads_at_once_the_newest_address_is_followed(tmp_path):
    async def scene():
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
                slow.gate.opened.set()  # it sends the state after the newest, and ends
                await anyio.sleep(0.2)
                await slow.cut_watches()
                assert len(slow.requested_targets) == 1
                site.discovery = newest
                await newest.cut_watches()  # it is connected again
                await until(lambda: newest.watchers)
                await site.drain("q")
                assert len(slow.requested_targets) == 1

    run(scene)


def test_a_former_address_that_ends_while_the_new_one_is_down_can_be_returned_to(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            first = site.discovery_port
            site.discovery_port = free_port()  # nothing listens there
            site.write()
            site.reload()
            await site.logged("configuration_reloaded")
            await site.discovery.cut_watches()
            await site.logged("watch_interrupted", reason="connect: ")
            site.discovery_port = first
            site.write()
            site.reload()
            await until(lambda: site.discovery.watchers)
            await site.drain("q")

    run(scene)


def test_an_outdated_full_list_does_not_bring_a_drained_endpoint_back(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            await site.drain("q")
            newest, site.discovery.version = site.discovery.version, 1
            site.discovery.servers["q"] = site.discovery.entry("q")
            asked, site.discovery.history = len(site.discovery.requested_targets), []
            await site.discovery.cut_watches()
            await site.logged("input_dropped")
            await until(lambda: len(site.discovery.requested_targets) > asked)
            assert str(newest) in site.log_entries("input_dropped")[-1]["reason"]
            calls = site.registry.request_count
            site.discovery.servers["q"] = site.discovery.entry("q", "Terminating")
            site.discovery.version = newest
            await site.discovery.update_server("p", "Terminating")  # the copy has caught up
            await until(lambda: site.is_avoided("p") and site.registry.request_count > calls, 4.0)
            assert site.is_avoided("q")
            await site.covered(4.0)

    run(scene)


def test_a_watch_that_sends_only_parts_of_lines_is_opened_again(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            site.discovery.silent = True
            began, asked = time.monotonic(), len(site.discovery.requested_targets)
            while len(site.discovery.requested_targets) == asked:
                assert time.monotonic() - began < 2 * endpoint_list_watch.SILENCE_TIMEOUT_S
                await site.discovery.send_bytes(b" ")
                await anyio.sleep(0.2)
            site.discovery.silent = False
            assert [e["watch"] for e in site.log_entries("watch_interrupted")] == ["discovery"]
            await until(lambda: site.discovery.watchers)
            await site.drain("q")

    run(scene)


def test_heartbeats_alone_are_no_endpoint_list(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            site.discovery.omits_list = True
            await site.end()
            await site.start()
            await site.logged("watch_interrupted", reason="current state", timeout_s=6.0)
            assert site.log_entries("readiness_timed_out")[-1]["missing_sources"] == ["discovery"]
            site.discovery.omits_list = False
            await until(lambda: site.discovery.watchers, 4.0)
            await site.drain("q")

    run(scene)


def test_proxies_that_rejoin_with_a_sync_unacknowledged_do_not_block_the_channel(tmp_path):
    async def scene():
        async with world(tmp_path, rate=100.0) as site:  # so that one unacknowledged sync fills the channel
            site.registry.faults.append(RequestFault.SYNC_WITHHELD)
            await site.drain("q")
            assert not site.registry.faults
            await site.registry.reconnect_proxies()
            await site.drain("p")

    run(scene)


@pytest.mark.parametrize("where", ["request held", "discovery held", "reload", "unjoined connections"])
def test_sigterm_ends_at_once_during(tmp_path, where):
    async def scene():
        async with world(tmp_path) as site:
            connections = []
            if where == "request held":
                site.registry.faults.append(RequestFault.ANSWER_HELD)
                await site.discovery.update_server("q", "Terminating")
                await gate_reached(site.registry.gate)
            elif where == "discovery held":
                site.discovery.holds_requests = True
                await site.discovery.cut_watches()
                await gate_reached(site.discovery.gate)
            elif where == "reload":
                site.discovery_port = free_port()
                site.write()
                site.reload()
            else:
                connections = [await FakeCollector.connect(site.port) for _ in range(60)]
                for connection in connections:
                    await connection.send_bytes(b"\x10\0\0\0{")
            site.process.send_signal(signal.SIGTERM)  # and again, at once
            await ends_in_time(site)
            assert site.log_entries("pilot_ended")
            site.registry.gate.opened.set()
            site.discovery.gate.opened.set()

    run(scene)


def blocked_signals(pid: int) -> set[int]:
    """Return the signals that a process has blocked; none until it has started."""
    with contextlib.suppress(OSError):
        with open(f"/proc/{pid}/status") as status:
            mask = next(int(line.split()[1], 16) for line in status if line.startswith("SigBlk"))
        return {n for n in range(1, 32) if mask >> (n - 1) & 1}
    return set()


def test_signals_before_their_receiver_is_open_are_handled_afterwards(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            await site.end()
            starts, reloads = len(site.log_entries("pilot_started")), len(site.log_entries("configuration_reloaded"))
            async with anyio.create_task_group() as group:
                group.start_soon(site.start)
                former = site.process.pid
                await until(lambda: site.process.pid != former)
                await until(lambda: signal.SIGHUP in blocked_signals(site.process.pid))
                site.reload()
            await site.logged("configuration_reloaded", count=reloads + 1)
            assert len(site.log_entries("pilot_started")) == starts + 1
            await site.drain("q")

    run(scene)


def test_each_heartbeat_request_is_answered_however_it_arrives(tmp_path):
    async def scene():
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
            await site.latency_logged("p", 123)
            half = await FakeCollector.connect(site.port)
            await half.send_bytes(request)
            await half.stream.send_eof()
            assert await heartbeats(half, 1) == 1 and await half.is_closed_within(2.0)
            rejected = await FakeCollector.connect(site.port)
            await rejected.send_bytes(request + frame({"@type": "SET"}))
            assert await heartbeats(rejected, 1) == 1 and await rejected.is_closed_within(2.0)

    run(scene)


async def heartbeats(collector: FakeCollector, maximum: int) -> int:
    """Count the heartbeats that arrive, up to a maximum."""
    data = b""
    with anyio.move_on_after(3.0):
        while data.count(b"hb_ok") < maximum:
            data += await collector.stream.receive(1000)
    return data.count(b"hb_ok")


@contextlib.asynccontextmanager
async def pilot_in_process(listener=None):
    """Run only the listening side of a pilot, in this process."""
    port = free_port()
    made = Pilot(parse_config(json.dumps(config(port)).encode()), structlog.get_logger())
    async with anyio.create_task_group() as group:
        group.start_soon(made.listener.run, listener or await open_listener(Address("127.0.0.1", port)), group)
        yield made, port, group
        group.cancel_scope.cancel()


def test_the_wait_for_readiness_does_not_count_against_the_join_timeout():
    async def scene():
        async with pilot_in_process() as (made, port, _):
            connection = await FakeCollector.connect(port)
            await connection.send_bytes(frame({"@type": "hb"}))
            await anyio.sleep(1.2)  # longer than the join timeout
            assert made.limiter.connections
            made.readiness.become_ready()
            assert await heartbeats(connection, 1) == 1
            assert await connection.is_closed_within(2.0)  # it has not joined in its own second

    run(scene)


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
    async def scene():
        async with pilot_in_process() as (made, port, group):
            connection = await FakeCollector.connect(port)
            await until(lambda: made.limiter.connections)
            group.start_soon(made.listener.run, FaultyListener(await inner_listener(), error, error), group)
            assert await connection.is_closed_within(0.5) != stays

    run(scene)


async def inner_listener():
    made = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    return made.listeners[0]


def test_a_fault_outside_the_planner_does_not_end_the_pilot(tmp_path):
    async def scene():
        async with world(tmp_path) as site:
            pid = site.process.pid
            site.file.write_text("[" * 100_000)  # nested beyond any JSON decoder's stack
            site.reload()
            await until(lambda: site.log_entries("configuration_rejected") or site.log_entries("reload_failed"))
            os.kill(pid, 0)
            await site.drain("q")

    run(scene)


def test_orders_that_cannot_be_published_lead_to_a_new_planner():
    async def scene():
        async with pilot_in_process() as (made, _, group):
            pushed = []

            def fails(orders):
                pushed.append(orders)
                if len(pushed) == 1:
                    raise RuntimeError("orders lost")

            made.driver.publish = fails
            made.endpoint_list.apply(
                decode_update(b'{"version":1,"full":true,"servers":[{"id":"p","zone":"a","state":"Ready"}]}'), 0
            )
            snapshot = WatchSnapshot()
            snapshot.apply(registry_events.ProxyAttached(0, "a", True))
            snapshot.apply(registry_events.OwnershipChanged(0, True))
            made.registry.reconcile(snapshot)
            made.driver.start()
            group.start_soon(made.driver.run)
            await until(lambda: len(pushed) > 1)  # the next planner orders again what the first one did
            assert made.driver.loop.failures == 1 and set(pushed[0]) <= set(pushed[1])

    run(scene)


def test_a_failed_response_to_a_rejected_connection_ends_neither_the_pilot_nor_others():
    async def scene():
        async with pilot_in_process() as (made, port, _):
            made.readiness.become_ready()
            respond, failed = made.handler.respond, []

            async def fails(opened, received):
                if received.heartbeat_requests and not failed:
                    failed.append(opened)
                    raise RuntimeError("not answered")
                await respond(opened, received)

            made.handler.respond = fails
            rejected = await FakeCollector.connect(port)
            await rejected.send_bytes(frame({"@type": "hb"}) + frame({"@type": "SET"}))
            assert await rejected.is_closed_within(2.0) and failed
            assert await (await FakeCollector.connect(port)).gets_heartbeat()

    run(scene)
