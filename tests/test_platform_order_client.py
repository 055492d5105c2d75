"""Tests of rejected orders: each is logged, and none blocks other orders or causes them to be dropped."""

from __future__ import annotations

import json
import random

import anyio
import pytest
import structlog
from structlog.testing import LogCapture

from damsonpick import interface as api
from damsonpick.protocols.platform import registry_events
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.order_client import OrderClient, RetryDelays
from damsonpick.protocols.platform.pending_orders import PendingOrders
from damsonpick.protocols.platform.registry import Registry
from damsonpick.protocols.platform.watch_snapshot import WatchSnapshot
from damsonpick.testing.fakes.faulty_http import response_bytes
from damsonpick.testing.fakes.registry import FakeRegistry
from tests.platform_world import until


class RejectingRegistry(FakeRegistry):
    """Rejects requests with the endpoint `unparsable` as SYNTAX, and stops at orders for the endpoint `unknown`."""

    unparsable, unknown, rejections, busy_responses = "", "", 0, 0
    unusable_op = ""  # kind of order that is rejected alone

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.ops: list[tuple[str, int | str | None]] = []  # kind and table of each order received

    async def _serve_orders(self, orders, stream):
        self.ops += [(order["op"], order.get("table")) for order in orders]
        if self.busy_responses:
            self.busy_responses -= 1
            await stream.send(response_bytes(b'{"error":"BUSY"}', "409 Conflict"))
            return True
        if any(order.get("server") == self.unparsable for order in orders):
            self.rejections += 1
            await stream.send(response_bytes(b'{"error":"SYNTAX"}', "400 Bad Request"))
            return True
        unusable = [order.get("server") == self.unknown or order["op"] == self.unusable_op for order in orders]
        usable = unusable.index(True) if True in unusable else len(orders)
        await self._apply(orders[:usable], reports_sync=False)
        await stream.send(response_bytes(json.dumps({"taken": usable}).encode()))
        return True


def run_client(registry: RejectingRegistry, run_scenario, is_registry_current=lambda: True) -> LogCapture:
    """Run a scenario with a client that owns the two slices of the registry, and return its log."""
    captured = LogCapture()
    log = structlog.wrap_logger(None, processors=[captured])
    known = Registry(PendingOrders(("look", "pay")), 4, 2)
    snapshot = WatchSnapshot()
    snapshot.tables = {0: {}, 1: {}}
    known.reconcile(snapshot)

    async def run() -> None:
        async with registry.running() as port, anyio.create_task_group() as group:
            delays = RetryDelays(random.Random(1), lambda count: 0.0)
            client = OrderClient(
                Address("127.0.0.1", port), known, is_registry_current, lambda *events: None, delays, log
            )
            group.start_soon(client.run)
            await run_scenario(client)
            group.cancel_scope.cancel()

    anyio.run(run)
    return captured


def event_names(captured: LogCapture) -> list[str]:
    return [entry["event"] for entry in captured.entries]


def test_an_invalid_order_does_not_cause_withdrawals_or_levels_to_be_dropped():
    """Guards against the third SYNTAX rejection dropping the whole request with its withdrawals and levels."""
    registry = RejectingRegistry(2, 2)
    registry.unparsable = "bad"

    async def run_scenario(client: OrderClient) -> None:
        orders = [api.SetWithdrawn(f"w{k}", True) for k in range(5)]
        orders += [api.SetEntry(0, "p", 1.0), api.SetEntry(0, "bad", 1.0), api.SetEntry(1, "q", 1.0)]
        client.push([*orders, api.SetAdmission(None, (1,), 0.5, 1)])
        await until(lambda: registry.levels and registry.tables[1])
        assert registry.withdrawn == {f"w{k}" for k in range(5)} and registry.levels == {"pay": 0.5}
        assert registry.tables == {0: {"p": 1.0}, 1: {"q": 1.0}}

    captured = run_client(registry, run_scenario)
    abandoned = [entry["order"] for entry in captured.entries if entry["event"] == "order_abandoned"]
    assert len(abandoned) == 1 and "bad" in abandoned[0]


def test_a_rejected_withdrawal_is_ordered_again_until_the_registry_can_use_it():
    registry = RejectingRegistry(2, 2)
    registry.unknown = "late"

    async def run_scenario(client: OrderClient) -> None:
        client.push([api.SetWithdrawn("late", True), api.SetWithdrawn("p", True)])
        await until(lambda: registry.withdrawn == {"p"})
        await anyio.sleep(0.3)
        registry.unknown = ""
        await until(lambda: registry.withdrawn == {"p", "late"})

    assert "order_rejected" in event_names(run_client(registry, run_scenario))


def test_a_newer_order_takes_the_place_of_a_rejected_one():
    registry = RejectingRegistry(2, 2)
    registry.unknown = "late"

    async def run_scenario(client: OrderClient) -> None:
        client.push([api.SetWithdrawn("late", True)])
        await until(lambda: registry.request_count or client.request_count)
        await anyio.sleep(0.02)
        registry.unknown = ""
        client.push([api.SetWithdrawn("late", False)])
        await anyio.sleep(0.5)
        assert not registry.withdrawn

    run_client(registry, run_scenario)


def test_a_busy_registry_is_logged_once_in_a_row():
    registry = RejectingRegistry(2, 2)
    registry.busy_responses = 3

    async def run_scenario(client: OrderClient) -> None:
        client.push([api.SetWithdrawn("p", True)])
        await until(lambda: registry.withdrawn)

    assert event_names(run_client(registry, run_scenario)).count("order_request_busy") == 1


def test_only_withdrawals_are_sent_while_a_change_of_ownership_may_have_been_missed():
    """Regression (review, case 6): after a cut, table orders were sent before the watch had reported the tables."""
    registry = RejectingRegistry(2, 2)
    current = False

    async def run_scenario(client: OrderClient) -> None:
        nonlocal current
        client.push([api.SetEntry(0, "p", 1.0), api.SetWithdrawn("w", True), api.SetWithdrawn("v", False)])
        client.push([api.SetAdmission(None, (1,), 0.5, 1), api.RequestSync(1, True)])
        await until(lambda: registry.withdrawn == {"w"})
        await anyio.sleep(0.3)
        assert (registry.tables, registry.levels, client.request_count) == ({0: {}, 1: {}}, {}, 1)
        current = True
        client.wake()
        await until(lambda: registry.levels == {"pay": 0.5})
        assert registry.tables[0] == {"p": 1.0}

    captured = run_client(registry, run_scenario, lambda: current)
    assert [name for name in event_names(captured) if name.startswith("orders_")].count("orders_withheld") == 1


@pytest.mark.parametrize(("order", "op"), [(api.ClearTable(1), "DEL"), (api.SetAdmission(1, (0,), 0.0, 1), "LIMIT")])
def test_a_rejected_order_is_not_resent_in_a_later_ownership_of_its_slice(order, op):
    """Regression (related to review, case 6): the table of another ownership was cleared, or its writes stopped."""
    registry = RejectingRegistry(2, 2)
    registry.unusable_op = op

    async def run_scenario(client: OrderClient) -> None:
        client.push([order])
        await until(lambda: registry.ops)
        for owned in (False, True):
            client.registry.apply(registry_events.OwnershipChanged(1, owned))
        registry.unusable_op = ""
        await anyio.sleep(0.5)
        assert registry.ops == [(op, 1)]

    run_client(registry, run_scenario)
