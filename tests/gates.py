"""Gateways that subscribe to a pilot's process and store what they receive, and an operator's commands to the pilot."""

from __future__ import annotations

import contextlib
import json
import random

import anyio
import structlog

from damsonpick.proxy.received_state import ReceivedState
from damsonpick.proxy.watch_client import WatchCallbacks, WatchClient
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock
from tests.pilots import Pilot

WAIT_TIMEOUT_S = 15.0  # s; longest wait for a condition
EMPTY_TABLE_LIMIT_S = 2.8  # s; the same as `bare_limit` in the pilots' settings


class RecordingGateway:
    """A gateway that subscribes to the pilot and stores what it receives."""

    def __init__(self, folder, name, zone="a", delta=True):
        self.name, self.zone, self.received_state, self.received = name, zone, ReceivedState(), []
        log = structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()])

        def pilots():
            with contextlib.suppress(OSError):
                return ["127.0.0.1:" + (folder / "port").read_text().strip()]
            return []

        callbacks = WatchCallbacks(pilots, lambda *a: None, lambda: {}, self._store_received)
        backoff = Backoff(random.Random(name), 0.02, 0.2)
        self.watch_client = WatchClient(name, zone, self.received_state, callbacks, Clock(), backoff, log, delta)

    def _store_received(self, event, **details):
        if event == "got":
            self.received.append((anyio.current_time(), details))


@contextlib.asynccontextmanager
async def world(folder, gates=4, servers=3, delta=True, **more):
    pilot = Pilot(folder, **more)
    pilot.list(**{f"s{k}": "in_service" for k in range(1, servers + 1)})
    await anyio.to_thread.run_sync(pilot.start)
    gateways = [RecordingGateway(folder, f"g{k}", "ab"[k % 2], delta) for k in range(gates)]
    try:
        async with anyio.create_task_group() as group:
            for gate in gateways:
                group.start_soon(gate.watch_client.run)
            yield pilot, gateways
            group.cancel_scope.cancel()
    finally:
        pilot.stop()


async def run_versions_command(pilot, *words, code=0):
    """Run one `damsonpick versions` command of an operator, check its exit code, and return its output."""
    done = await anyio.to_thread.run_sync(lambda: pilot.versions(*words))
    assert done.returncode == code, (done.returncode, done.stdout, done.stderr)
    return json.loads(done.stdout) if done.stdout else done.stderr


async def wait_for(condition):
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while not (found := await condition()):
            await anyio.sleep(0.05)
    return found


async def current_versions(pilot):
    """Return the `versions who` reply if it lists gateways that all verified the newest version, else None."""
    done = await anyio.to_thread.run_sync(lambda: pilot.versions("who"))
    if done.returncode not in (0, 1):
        return None
    reply = json.loads(done.stdout)
    rows = reply["gateways"]
    return reply if rows and all(g["holds"] and g["verified"] and not g["pending"] for g in rows) else None


async def wait_until_current(pilot, gates):
    async def look():
        reply = await current_versions(pilot)
        return reply if reply and len(reply["gateways"]) == len(gates) else None

    return await wait_for(look)


def weights(gate):
    return {
        n: {x: entry.weight for x, entry in t.entries.items()}
        for n, t in gate.received_state.tables.items()
        if n != "fleet"
    }


async def wait_within_empty_table_limit(look):
    """Wait until `look` returns true; fail after the longest time for which a slice may have no usable entry.

    Slices may have no usable entry for a short time, because a withdrawal arrives just before the new tables.
    """
    with anyio.fail_after(EMPTY_TABLE_LIMIT_S):
        while not look():
            await anyio.sleep(0.02)
    return True
