"""Sends pending orders to the registry over one connection, with at most one request in flight."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import anyio

from damsonpick import interface as api
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.collaborators import EventSink, Logger
from damsonpick.protocols.platform.errors import TransportError
from damsonpick.protocols.platform.http_client import HttpConnection
from damsonpick.protocols.platform.order_codec import Order, OrderRequest, Rejection, decode_response
from damsonpick.protocols.platform.registry import Registry
from damsonpick.protocols.platform.rejected_orders import MAX_RESENDS, RejectedOrders
from damsonpick.runtime.backoff import Backoff

CONNECT_TIMEOUT_S = 0.3
RESPONSE_TIMEOUT_S = 0.16  # the registry responds within 50 ms or not at all; the rest allows for a late event loop
MAX_IDLE_S = 3.0  # the registry closes an idle connection after about 10 s
FIRST_RETRY_DELAY_S = 0.03
MAX_RETRY_DELAY_S = 0.4
MAX_SYNTAX_REJECTIONS = 3  # SYNTAX rejections of requests with a single order after which this order is dropped
MAX_LOGGED_REQUEST_BYTES = 400
MAX_LOGGED_RESPONSE_BYTES = 80
ORDER_PATH = "/txn"


class RetryDelays:
    """Computes how long the order client waits before its next request."""

    def __init__(self, rng: random.Random, transmission_time_s: Callable[[int], float]) -> None:
        """Create an instance without recorded failures.

        Args:
            rng: Draws the jitter of the backoff.
            transmission_time_s: Returns the seconds that the channel needs to send a request to all proxies, given the
                number of orders in the request.
        """
        self._backoff = Backoff(rng, FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._transmission_time_s = transmission_time_s
        self._consecutive_unconfirmed = 0

    def reset(self) -> None:
        """Reset all delays after an accepted request."""
        self._backoff.reset()
        self._consecutive_unconfirmed = 0

    def reset_backoff(self) -> None:
        """Reset only the backoff, because the address has changed."""
        self._backoff.reset()

    def next_delay_s(self) -> float:
        """Return the delay after a failed attempt."""
        return self._backoff.next_delay_s()

    def unconfirmed_delay_s(self, order_count: int) -> float:
        """Count a request whose outcome is unknown, and return the delay after it in addition to the backoff.

        The first such request since the last accepted request causes no additional delay: it may contain a drain, and
        the planner leaves half of the channel free. If the outcome of the repeated request is unknown as well, both
        requests may wait in the channel. The delay then leaves time for the channel to send one of the two requests.
        """
        self._consecutive_unconfirmed += 1
        if self._consecutive_unconfirmed == 1:
            return 0.0
        return self._transmission_time_s(order_count)


class OrderClient:
    """Sends pending orders until the registry has accepted them.

    While a change of ownership may have been missed, only withdrawals are sent. Other orders wait for the watch: they
    were decided for tables that another pilot may have changed since, and its changes must not be undone.

    Attributes:
        request_count: Number of requests sent.
        unconfirmed_count: Number of these requests whose outcome is unknown.
        registry: Known state of the registry, with the pending orders.
    """

    def __init__(
        self,
        address: Address,
        registry: Registry,
        is_registry_current: Callable[[], bool],
        enqueue: EventSink,
        delays: RetryDelays,
        log: Logger,
    ) -> None:
        """Create a client that is not connected yet.

        Args:
            address: Address of the registry.
            registry: Known state of the registry, with the pending orders.
            is_registry_current: Returns whether no change of the registry's state can have been missed.
            enqueue: Queues events for the planner.
            delays: Computes the delays between requests.
            log: Receives the outcomes of requests.
        """
        self.request_count = 0
        self.unconfirmed_count = 0
        self.registry = registry
        self._pending = registry.pending
        self._is_registry_current = is_registry_current
        self._enqueue = enqueue
        self._delays = delays
        self._log = log
        self._connection = HttpConnection(address, MAX_IDLE_S)
        self._wakeup = anyio.Event()
        # SYNTAX rejections of requests with a single order since the last accepted request or dropped order.
        self._syntax_rejections = 0
        # Limit on the orders of a request during the search for an order that the registry cannot parse, else None.
        self._max_orders: int | None = None
        self._busy = False  # whether a request was rejected as BUSY since the last accepted request
        self._rejected = RejectedOrders()
        self._withholding = False  # whether orders other than withdrawals wait for the watch, as last logged

    def push(self, orders: Iterable[Order]) -> None:
        """Add the orders of one step of the planner; they replace rejected orders with the same keys."""
        orders = tuple(orders)
        self._rejected.supersede(orders)
        self._pending.push(orders)
        self.wake()

    def wake(self) -> None:
        """End the wait for pending orders, so that the client checks for them immediately.

        A request in flight and the delay before a retry are not interrupted.
        """
        self._wakeup.set()

    def move_to(self, address: Address) -> None:
        """Send all further requests to a new address. A request in flight completes at the previous address."""
        self._connection = HttpConnection(address, MAX_IDLE_S)
        self._delays.reset_backoff()
        self.wake()

    async def run(self) -> None:
        """Send pending orders until cancelled."""
        while True:
            self._wakeup = anyio.Event()
            self._resend_rejected()
            if not self._pending.has_sendable(withdrawals_only=self._must_withhold_orders()):
                with anyio.move_on_after(self._rejected.next_due_s(anyio.current_time())):
                    await self._wakeup.wait()
                continue
            connection = self._connection
            try:
                succeeded = await self._send_oldest(connection)
            except Exception as error:  # an error in one request must not stop the pilot; the outcome is unknown
                self._log.exception("order_request_failed", error=repr(error))
                succeeded = False
            if not succeeded:
                await anyio.sleep(self._delays.next_delay_s())
            if connection is not self._connection:
                await connection.close()

    async def _send_oldest(self, connection: HttpConnection) -> bool:
        """Send one request with the oldest orders; return whether the next request may follow without a delay."""
        try:
            await connection.connect(CONNECT_TIMEOUT_S)
        except TransportError as error:
            self._log.warning("registry_unreachable", reason=str(error), pending_orders=self._pending.key_count())
            return False
        withdrawals_only = self._must_withhold_orders()
        request = self._pending.next_request(self.registry.ownership.epoch, self._max_orders, withdrawals_only)
        if request is None:
            return True
        self.request_count += 1
        try:
            response = await connection.request("POST", ORDER_PATH, request.body, RESPONSE_TIMEOUT_S)
        except TransportError as error:
            return await self._handle_unconfirmed(request, str(error))
        return await self._handle_response(connection, request, response.body)

    def _must_withhold_orders(self) -> bool:
        """Return whether orders other than withdrawals must wait for the watch. Log when the wait begins and ends."""
        must_withhold = not self._is_registry_current()
        if must_withhold != self._withholding:
            self._withholding = must_withhold
            event = "orders_withheld" if must_withhold else "orders_released"
            self._log.info(event, pending_orders=self._pending.key_count())
        return must_withhold

    async def _handle_unconfirmed(self, request: OrderRequest, reason: str) -> bool:
        """Handle a request whose outcome is unknown: the registry has applied it once or not at all.

        The orders are not removed from the pending orders, so they are sent again unless newer orders replace them.
        `Registry.repeat_uncertain` also repeats orders for slices whose ownership may have changed during the request.
        The method then waits for `RetryDelays.unconfirmed_delay_s`, which is 0 for the first such request since the
        last accepted request.

        Returns:
            Always False: the next request must not follow without the delay of the backoff.
        """
        self.unconfirmed_count += 1
        self.registry.repeat_uncertain(request.orders, request.ownership_epoch)
        self._log.warning("order_request_unconfirmed", reason=reason, pending_orders=self._pending.key_count())
        delay_s = self._delays.unconfirmed_delay_s(len(request.orders))
        if delay_s > 0:
            await anyio.sleep(delay_s)
        return False

    async def _handle_response(self, connection: HttpConnection, request: OrderRequest, body: bytes) -> bool:
        response = decode_response(body, len(request.orders))
        if response is None:
            await connection.close()
            reason = f"invalid response {body[:MAX_LOGGED_RESPONSE_BYTES]!r}"
            return await self._handle_unconfirmed(request, reason)
        if response.accepted_count is None:
            self._handle_rejected_request(request, response.rejection)
            return False
        self._handle_accepted(request, response.accepted_count)
        return True

    def _handle_accepted(self, request: OrderRequest, accepted_count: int) -> None:
        acknowledged = self._pending.acknowledge(request.orders, accepted_count)
        self.registry.apply_accepted_orders(acknowledged.accepted, request.ownership_epoch)
        if self.registry.repeat_uncertain(acknowledged.accepted, request.ownership_epoch):
            self._log.info("orders_repeated", reason="the ownership of a slice possibly changed during the request")
        self._log.info("orders_accepted", **count_by_kind(acknowledged.accepted))
        if acknowledged.rejected is not None:
            self._log.warning(
                "order_rejected",
                order=repr(acknowledged.rejected),
                position=accepted_count,
                order_count=len(request.orders),
            )
            self._handle_rejected_order(acknowledged.rejected, request.ownership_epoch)
        self._delays.reset()
        self._syntax_rejections = 0
        self._max_orders = None
        self._busy = False

    def _resend_rejected(self) -> None:
        """Resend the rejected orders that are due, except those of an earlier ownership of their slice."""
        due = self._rejected.take_due(anyio.current_time())
        valid = (r.order for r in due if not self.registry.is_outdated(r.order, r.ownership_epoch))
        self._pending.push(valid)

    def _handle_rejected_order(self, order: Order, ownership_epoch: int) -> None:
        """Let the planner decide again on a rejected entry; resend any other rejected order up to `MAX_RESENDS` times.

        A withdrawal must not be lost if it is rejected because the registry does not know the endpoint yet.
        """
        self._enqueue(*self.registry.rejection_events(order))
        if isinstance(order, api.SetEntry):
            return
        if not self._rejected.add(order, ownership_epoch, anyio.current_time()):
            self._log.error("order_abandoned", order=repr(order), attempts=MAX_RESENDS)

    def _handle_rejected_request(self, request: OrderRequest, rejection: Rejection | None) -> None:
        """Handle the rejection of a whole request.

        The orders stay pending, except one that `_handle_syntax_rejection` drops.
        """
        if rejection is Rejection.SYNTAX:
            self._handle_syntax_rejection(request)
        elif not self._busy:  # log only the first BUSY rejection after an accepted request
            self._busy = True
            self._log.warning("order_request_busy", pending_orders=self._pending.key_count())

    def _handle_syntax_rejection(self, request: OrderRequest) -> None:
        """Halve the number of orders per request until a rejected request contains only the invalid order.

        This order is dropped after `MAX_SYNTAX_REJECTIONS` rejections, so that it does not block other orders. No other
        order is dropped.
        """
        self._log.error(
            "order_request_rejected",
            orders=len(request.orders),
            body=request.body[:MAX_LOGGED_REQUEST_BYTES].decode("utf-8", "replace"),
        )
        self._max_orders = max(1, len(request.orders) // 2)
        if len(request.orders) > 1:
            return
        self._syntax_rejections += 1
        if self._syntax_rejections < MAX_SYNTAX_REJECTIONS:
            return
        self._syntax_rejections = 0
        (order,) = request.orders
        self._pending.discard(request.orders)
        self._log.error("order_abandoned", order=repr(order), attempts=MAX_SYNTAX_REJECTIONS)
        self._enqueue(*self.registry.rejection_events(order))


def count_by_kind(orders: Iterable[Order]) -> dict[str, int]:
    """Count the orders of each kind for the log.

    Kinds without orders are omitted. Orders that clear a table or request a sync are not counted.
    """
    counts = {
        "entries_set": 0,
        "entries_removed": 0,
        "endpoints_withdrawn": 0,
        "endpoints_restored": 0,
        "levels_set": 0,
    }
    for order in orders:
        if isinstance(order, api.SetEntry):
            counts["entries_set" if order.weight > 0 else "entries_removed"] += 1
        elif isinstance(order, api.SetWithdrawn):
            counts["endpoints_withdrawn" if order.withdrawn else "endpoints_restored"] += 1
        elif isinstance(order, api.SetAdmission):
            counts["levels_set"] += 1
    return {kind: count for kind, count in counts.items() if count}
