"""The pilot as a process where two things happen at once: the stand-ins' gates force which of them is first."""

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

from damsonpick.protocols.platform import config as cfg
from damsonpick.protocols.platform import discovery, messages
from damsonpick.protocols.platform import pilot as edge
from damsonpick.protocols.platform.registry import Standing
from damsonpick.testing.fakes.collector import Collector, framed
from damsonpick.testing.fakes.discovery import Catalogue
from damsonpick.testing.fakes.relay import Relay
from tests.edge_world import config, free_port, until, world

END_WITHIN = 0.7  # s from SIGTERM to the end, as the platform gives


def run(scene) -> None:
    anyio.run(scene)


async def reached(gate) -> None:
    with anyio.fail_after(5.0):
        await gate.reached.wait()


async def ends_in_time(w) -> None:
    began = time.monotonic()
    assert await w.end() == 0
    assert time.monotonic() - began < END_WITHIN


async def drained(w, name: str) -> None:
    await w.catalogue.put(name, "Terminating")
    await until(lambda: w.avoided(name), 4.0)
    await until(lambda: not w.bare(), 4.0)


def test_a_slice_withdrawn_and_given_again_during_a_call_is_laid_anew(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            number = next(n for n, table in w.relay.tables.items() if set(table) == {"q"})
            w.relay.faults.append("held")
            await w.catalogue.put("q", "Terminating")
            await reached(w.relay.gate)  # carried out, and not answered
            assert w.relay.tables[number].keys() - {"q"}
            await w.relay.withdraw(number)
            await w.relay.give(number, {"q": 1.0})  # as it stood before: the call's lines went with the former charge
            await until(lambda: "call_outcome_unknown" in w.said())  # the answer comes behind the news, if at all
            w.relay.gate.opened.set()
            await until(lambda: not w.bare(), 4.0)
            assert w.avoided("q") and w.process.returncode is None

    run(scene)


def test_a_restart_with_a_call_in_flight_ends_in_the_wanted_state(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            w.relay.faults.append("held")
            await w.catalogue.put("q", "Terminating")
            await reached(w.relay.gate)
            await ends_in_time(w)
            w.relay.gate.opened.set()
            await w.catalogue.put("p", "Terminating")
            await w.start()
            await until(lambda: w.avoided("q") and w.avoided("p"), 4.0)
            await until(lambda: not w.bare(), 4.0)

    run(scene)


def test_a_reload_in_the_middle_of_a_drain_takes_the_drain_along(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            other = Relay(0, 4)
            other.tables, other.shut = w.relay.tables, w.relay.shut
            async with other.running() as port:
                w.relay.faults.append("mute")  # neither carried out nor answered
                calls = w.relay.calls
                await w.catalogue.put("q", "Terminating")
                await until(lambda: w.relay.calls > calls)
                w.registry = port
                w.write()
                w.process.send_signal(signal.SIGHUP)
                await until(lambda: other.calls and w.avoided("q"), 4.0)
                await until(lambda: not w.bare(), 4.0)

    run(scene)


def test_of_two_reloads_at_once_the_newest_address_is_followed(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            slow, newest = Catalogue(*"pqr"), Catalogue(*"pqr")
            slow.version = newest.version = 5
            slow.held = True
            async with slow.running() as slow_port, newest.running() as newest_port:
                for service, port in ((slow, slow_port), (newest, newest_port)):
                    w.discovery = port
                    w.write()
                    w.process.send_signal(signal.SIGHUP)
                    await until(lambda service=service: service.asked)
                await until(lambda: newest.watchers and not w.catalogue.watchers)
                slow.gate.opened.set()  # it stands up behind the newest, and breaks
                await anyio.sleep(0.2)
                await slow.cut()
                assert len(slow.asked) == 1
                w.catalogue = newest
                await newest.cut()  # it is dialled again
                await until(lambda: newest.watchers)
                await drained(w, "q")
                assert len(slow.asked) == 1

    run(scene)


def test_an_address_that_breaks_while_the_new_one_is_away_and_a_way_back(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            first = w.discovery
            w.discovery = free_port()  # nobody is there
            w.write()
            w.process.send_signal(signal.SIGHUP)
            await until(lambda: w.said("configuration_read"))
            await w.catalogue.cut()
            await until(lambda: any("no connection" in e["why"] for e in w.said("watch_broken")))
            w.discovery = first
            w.write()
            w.process.send_signal(signal.SIGHUP)
            await until(lambda: w.catalogue.watchers)
            await drained(w, "q")

    run(scene)


def test_an_older_whole_list_does_not_bring_a_drained_server_back(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            await drained(w, "q")
            newest, w.catalogue.version = w.catalogue.version, 1
            w.catalogue.servers["q"] = w.catalogue.entry("q")
            asked, w.catalogue.history = len(w.catalogue.asked), []
            await w.catalogue.cut()
            await until(lambda: w.said("dropped") and len(w.catalogue.asked) > asked)
            assert str(newest) in w.said("dropped")[-1]["why"]
            calls = w.relay.calls
            w.catalogue.servers["q"] = w.catalogue.entry("q", "Terminating")
            w.catalogue.version = newest
            await w.catalogue.put("p", "Terminating")  # the copy has caught up
            await until(lambda: w.avoided("p") and w.relay.calls > calls, 4.0)
            assert w.avoided("q")
            await until(lambda: not w.bare(), 4.0)

    run(scene)


def test_a_list_that_only_drips_is_had_anew(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            w.catalogue.silent = True
            began, asked = time.monotonic(), len(w.catalogue.asked)
            while len(w.catalogue.asked) == asked:
                assert time.monotonic() - began < 2 * edge.LIST_SILENCE
                await w.catalogue.drip(b" ")
                await anyio.sleep(0.2)
            w.catalogue.silent = False
            assert [e["what"] for e in w.said("watch_broken")] == ["list"]
            await until(lambda: w.catalogue.watchers)
            await drained(w, "q")

    run(scene)


def test_signs_of_life_alone_are_no_list(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            w.catalogue.mute = True
            await w.end()
            await w.start()
            await until(lambda: any("what stands" in e["why"] for e in w.said("watch_broken")), 6.0)
            assert w.said("ready_without")[-1]["unheard"] == ["discovery"]
            w.catalogue.mute = False
            await until(lambda: w.catalogue.watchers, 4.0)
            await drained(w, "q")

    run(scene)


def test_proxies_that_leave_and_return_with_a_mark_owed_hold_nothing_up(tmp_path):
    async def scene():
        async with world(tmp_path, rate=100.0) as w:  # so that a mark owed fills the channel
            w.relay.faults.append("owed")
            await drained(w, "q")
            assert not w.relay.faults
            await w.relay.leave_and_return()
            await drained(w, "p")

    run(scene)


@pytest.mark.parametrize("where", ["call held", "discovery held", "reload", "strangers"])
def test_sigterm_ends_at_once_in_the_middle_of(tmp_path, where):
    async def scene():
        async with world(tmp_path) as w:
            strangers = []
            if where == "call held":
                w.relay.faults.append("held")
                await w.catalogue.put("q", "Terminating")
                await reached(w.relay.gate)
            elif where == "discovery held":
                w.catalogue.held = True
                await w.catalogue.cut()
                await reached(w.catalogue.gate)
            elif where == "reload":
                w.discovery = free_port()
                w.write()
                w.process.send_signal(signal.SIGHUP)
            else:
                strangers = [await Collector.dial(w.port) for _ in range(60)]
                for stranger in strangers:
                    await stranger.raw(b"\x10\0\0\0{")
            w.process.send_signal(signal.SIGTERM)  # and again, at once
            await ends_in_time(w)
            assert "pilot_ended" in w.said()
            w.relay.gate.opened.set()
            w.catalogue.gate.opened.set()

    run(scene)


def blocked(pid: int) -> set[int]:
    """Signals that a process has blocked; empty until it has."""
    with contextlib.suppress(OSError):
        with open(f"/proc/{pid}/status") as status:
            mask = next(int(line.split()[1], 16) for line in status if line.startswith("SigBlk"))
        return {n for n in range(1, 32) if mask >> (n - 1) & 1}
    return set()


def test_signals_before_their_receiver_is_open_are_taken_afterwards(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            await w.end()
            started, read = w.said().count("pilot_started"), len(w.said("configuration_read"))
            async with anyio.create_task_group() as group:
                group.start_soon(w.start)
                former = w.process.pid
                await until(lambda: w.process.pid != former)
                await until(lambda: signal.SIGHUP in blocked(w.process.pid))
                w.process.send_signal(signal.SIGHUP)
            await until(lambda: len(w.said("configuration_read")) > read)
            assert w.said().count("pilot_started") == started + 1
            await drained(w, "q")

    run(scene)


def test_each_sign_of_life_asked_for_is_given_however_it_is_asked(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            beat, join = framed({"@type": "hb"}), framed({"@type": "telemetry", "zone": "a"})
            report = framed(
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
            pieces = await Collector.dial(w.port)
            for byte in beat + beat:
                await pieces.raw(bytes([byte]))
            assert await beats(pieces, 2) == 2
            together = await Collector.dial(w.port)
            await together.raw(beat + join + report + beat)
            assert await beats(together, 2) == 2
            await until(lambda: w.said("beliefs") and "ms=123" in w.said("beliefs")[-1]["servers"].get("p", ""))
            half = await Collector.dial(w.port)
            await half.raw(beat)
            await half.stream.send_eof()
            assert await beats(half, 1) == 1 and await half.closed(2.0)
            offender = await Collector.dial(w.port)
            await offender.raw(beat + framed({"@type": "SET"}))
            assert await beats(offender, 1) == 1 and await offender.closed(2.0)

    run(scene)


async def beats(collector: Collector, most: int) -> int:
    """How many signs of life come, up to so many."""
    data = b""
    with anyio.move_on_after(3.0):
        while data.count(b"hb_ok") < most:
            data += await collector.stream.receive(1000)
    return data.count(b"hb_ok")


@contextlib.asynccontextmanager
async def pilot_in_here(listener=None):
    """A pilot's address alone, in this process."""
    port = free_port()
    made = edge.Pilot(cfg.parse(json.dumps(config(port)).encode()), structlog.get_logger())
    async with anyio.create_task_group() as group:
        group.start_soon(made._listen, listener or await made._open(), group)
        yield made, port, group
        group.cancel_scope.cancel()


def test_the_wait_for_readiness_does_not_run_on_the_time_to_join():
    async def scene():
        async with pilot_in_here() as (made, port, _):
            caller = await Collector.dial(port)
            await caller.raw(framed({"@type": "hb"}))
            await anyio.sleep(1.2)  # longer than a caller may take to join
            assert made.door.callers
            made.ready.set()
            assert await beats(caller, 1) == 1
            assert await caller.closed(2.0)  # it has not joined in its own time

    run(scene)


class Faulty:
    """A listener of which some accepts fail."""

    def __init__(self, inner, *errors: int) -> None:
        self.inner, self.errors = inner, list(errors)

    async def accept(self):
        if self.errors:
            raise OSError(self.errors.pop(0), "not accepted")
        return await self.inner.accept()


@pytest.mark.parametrize("error, stays", [(errno.ECONNABORTED, True), (errno.EPROTO, True), (errno.EMFILE, False)])
def test_only_running_out_of_descriptors_turns_a_stranger_out(error, stays):
    async def scene():
        async with pilot_in_here() as (made, port, group):
            stranger = await Collector.dial(port)
            await until(lambda: made.door.callers)
            group.start_soon(made._listen, Faulty(await made_listener(), error, error), group)
            assert await stranger.closed(0.5) != stays

    run(scene)


async def made_listener():
    made = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    return made.listeners[0]


def test_a_fault_beside_the_module_does_not_end_the_pilot(tmp_path):
    async def scene():
        async with world(tmp_path) as w:
            pid = w.process.pid
            w.file.write_text("[" * 100_000)  # no JSON decoder's stack holds it
            w.process.send_signal(signal.SIGHUP)
            await until(lambda: w.said("configuration_refused") or w.said("reload_failed"))
            os.kill(pid, 0)
            await drained(w, "q")

    run(scene)


def test_orders_that_cannot_be_carried_out_make_way_for_a_new_planner():
    async def scene():
        async with pilot_in_here() as (made, _, group):
            pushed = []

            def fails(orders):
                pushed.append(orders)
                if len(pushed) == 1:
                    raise RuntimeError("orders lost")

            made.calls.push = fails
            made.endpoint_list.take(
                discovery.decode(b'{"version":1,"full":true,"servers":[{"id":"p","zone":"a","state":"Ready"}]}'), 0
            )
            first = Standing()
            for news in (messages.Attach(0, "a", True), messages.Owner(0, True)):
                first.take(news)
            made.registry.reconcile(first)
            made._begin()
            group.start_soon(made._drive)
            await until(lambda: len(pushed) > 1)  # the next planner orders anew what the first one did
            assert made.loop.failures == 1 and set(pushed[0]) <= set(pushed[1])

    run(scene)


def test_an_answer_that_fails_to_an_offender_ends_neither_the_pilot_nor_others():
    async def scene():
        async with pilot_in_here() as (made, port, _):
            made.ready.set()
            heed, failed = made._heed, []

            async def fails(caller, stream, heard):
                if heard.beats and not failed:
                    failed.append(caller)
                    raise RuntimeError("not answered")
                await heed(caller, stream, heard)

            made._heed = fails
            offender = await Collector.dial(port)
            await offender.raw(framed({"@type": "hb"}) + framed({"@type": "SET"}))
            assert await offender.closed(2.0) and failed
            assert await (await Collector.dial(port)).alive()

    run(scene)
