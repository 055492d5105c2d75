"""Carries orders to the relay: one call at a time, over one connection."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import anyio

from damsonpick import interface as api
from damsonpick.protocols.platform import http_client
from damsonpick.protocols.platform.config import Address
from damsonpick.protocols.platform.pending_orders import Call, Order, Orders, read_answer
from damsonpick.protocols.platform.registry import Registry
from damsonpick.runtime.backoff import Backoff

CONNECT = 0.3  # s
ANSWER = 0.16  # s; an answer comes within 50 ms or never, and the loop may be late itself
KEEP = 3.0  # s for which an idle connection is used again; the relay closes one after some ten
FIRST, MOST = 0.03, 0.4  # s between tries
SYNTAX_MOST = 3  # tries of a call that the relay calls malformed


class Calls:
    """Args:
    address: of the relay.
    orders, registry: what waits, and what stands.
    tell: takes events for the module.
    takes: s that the channel needs for a call of so many orders.
    """

    def __init__(
        self,
        address: Address,
        orders: Orders,
        registry: Registry,
        tell: Callable[..., None],
        takes: Callable[[int], float],
        rng: random.Random,
        log: Any,
    ) -> None:
        self.caller = http_client.Caller(address, KEEP)
        self.orders, self.registry, self.tell, self.takes, self.log = orders, registry, tell, takes, log
        self.backoff = Backoff(rng, FIRST, MOST)
        self.bell = anyio.Event()
        self.made = self.unknown = self.malformed = self.running = 0  # running: unknown outcomes in a row

    def push(self, orders: Iterable[Order]) -> None:
        """Orders of one step of the module."""
        self.orders.push(orders)
        self.bell.set()

    def point(self, address: Address) -> None:
        """Call this address from now on; the call under way ends where it began."""
        self.caller = http_client.Caller(address, KEEP)
        self.backoff.succeeded()
        self.bell.set()

    async def run(self) -> None:
        while True:
            self.bell = anyio.Event()
            if not self.orders.waiting:
                await self.bell.wait()
                continue
            caller = self.caller
            try:
                good = await self._once(caller)
            except Exception as error:  # one call must not end the pilot; its outcome is unknown
                self.log.error("call_failed", error=repr(error), exc_info=error)
                good = False
            if not good:
                await anyio.sleep(self.backoff.failed())
            if caller is not self.caller:
                await caller.close()

    async def _once(self, caller: http_client.Caller) -> bool:
        """One try at the oldest orders; whether the next may follow at once."""
        try:
            await caller.connect(CONNECT)
        except http_client.Broken as error:
            self.log.warning("relay_not_reached", why=str(error), waiting=len(self.orders.waiting))
            return False
        call = self.orders.call()
        if call is None:
            return True
        self.made += 1
        charges = self.registry.charges
        try:
            _, body = await caller.call("POST", "/txn", call.body, ANSWER)
        except http_client.Broken as error:
            return await self._nobody_knows(str(error), call, charges)
        return await self._answered(caller, call, body, charges)

    async def _nobody_knows(self, why: str, call: Call, charges: int) -> bool:
        """Carried out once or not at all: said again, with what has come since.

        The first repeat follows at once, as the module leaves half of the channel free and a drain may be in it. If
        that one's outcome is unknown as well, both may wait in the channel: the next leaves time for one to get out.
        """
        self.unknown += 1
        self.running += 1
        self.registry.unsure(call.orders, charges)
        self.log.warning("call_outcome_unknown", why=why, waiting=len(self.orders.waiting))
        if self.running > 1:
            await anyio.sleep(self.takes(len(call.orders)))
        return False

    async def _answered(self, caller: http_client.Caller, call: Call, body: bytes, charges: int) -> bool:
        answer = read_answer(body, len(call.orders))
        if answer is None:
            await caller.close()
            return await self._nobody_knows(f"unreadable answer {body[:80]!r}", call, charges)
        if answer.taken is None:
            return self._rejected(call, answer.error)
        stand, refused = self.orders.taken(call.orders, answer.taken)
        self.registry.carried_out(stand, charges)
        if self.registry.unsure(stand, charges):
            self.log.info("said_again", why="the charge of a slice changed while its orders were being taken")
        self.log.info("call_taken", **count(stand))
        if refused is not None:
            self.log.warning("order_refused", order=repr(refused), at=answer.taken, of=len(call.orders))
            self.tell(*self.registry.refused(refused))
        self.backoff.succeeded()
        self.malformed = self.running = 0
        return True

    def _rejected(self, call: Call, error: str) -> bool:
        if error == "SYNTAX":
            self.malformed += 1
            self.log.error("call_malformed", tries=self.malformed, body=call.body[:400].decode("utf-8", "replace"))
            if self.malformed >= SYNTAX_MOST:  # guards against one call that blocks all others for good
                self.malformed = 0
                self.orders.drop(call.orders)
                self.tell(*(event for order in call.orders for event in self.registry.refused(order)))
        return False


def count(orders: Iterable[Order]) -> dict[str, int]:
    """How many orders of each kind, for the log."""
    kinds = {"lines": 0, "removed": 0, "out": 0, "let_in": 0, "levels": 0}
    for order in orders:
        if isinstance(order, api.SetEntry):
            kinds["lines" if order.weight > 0 else "removed"] += 1
        elif isinstance(order, api.SetWithdrawn):
            kinds["out" if order.withdrawn else "let_in"] += 1
        elif isinstance(order, api.SetAdmission):
            kinds["levels"] += 1
    return {kind: n for kind, n in kinds.items() if n}
