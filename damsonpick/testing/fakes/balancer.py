"""A fake balancer: a fake gateway that makes its tables from SASP advice. It registers one group per slice."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from damsonpick.protocols.sasp.client import Client, SaspError, connect
from damsonpick.protocols.sasp.layout import (
    Group,
    LbFlag,
    MemberGroup,
    Register,
    Sender,
    SendWeights,
    WeightGroup,
    member,
)
from damsonpick.protocols.xds.names import EDS
from damsonpick.proxy.received_resources import ReceivedEntry, ReceivedTable
from damsonpick.runtime.backoff import Backoff
from damsonpick.testing.fakes.gateway import FakeGateway
from damsonpick.testing.fakes.gateway_context import GatewayContext

GROUPS_PER_REGISTRATION = 50
SESSION_LOST_ERRORS = (SaspError, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class FakeBalancer(FakeGateway):
    """One balancer. It has the attributes of `FakeGateway`."""

    def __init__(
        self,
        name: str,
        zone: str,
        pilot_address: Callable[[], str],
        context: GatewayContext,
        rng: random.Random,
        members: dict[str, str],
        slices: int,
    ) -> None:
        """Create a balancer without a connection; `follow` opens the session.

        Args:
            name: Name of the balancer, also its identifier in the SASP session.
            zone: Zone of the balancer.
            pilot_address: Returns the address of the pilot's SASP port, or '' while the port is not open.
            context: Objects shared by all gateways of the process.
            rng: Source of the random draws for server choice, backoff and admission.
            members: Zone of each server, by server address.
            slices: Number of slices. The balancer registers one group per slice.
        """
        super().__init__(name, zone, True, pilot_address, context, rng)
        self.pilot_address, self.members, self.slices = pilot_address, members, slices
        self.seen, self.count = False, 0

    async def follow(self) -> None:
        """Keep a session with the pilot until cancelled. Without a session, the latest advice stays in use."""
        backoff = Backoff(self.rng, 0.1, 1.0)
        while True:
            address = self.pilot_address()
            if address and self.network.reaches_pilot(self.name, self.zone):
                try:
                    await self._session(address, backoff)
                except* SESSION_LOST_ERRORS:
                    pass
            await anyio.sleep(backoff.next_delay_s() / self.clock.rate)

    async def _session(self, address: str, backoff: Backoff) -> None:
        pushes, receive = anyio.create_memory_object_stream[SendWeights](1000)
        up = False
        try:
            async with connect(address, self.name.encode(), pushes.send_nowait) as client:
                await self._register(client)
                first = (await client.weights()).groups
                backoff.reset()
                up = True
                self.record.put("stream", gw=self.name, up=True, zone=self.zone, fresh=not self.seen)
                self.seen = True
                await self._apply_advice(first)
                async with anyio.create_task_group() as group:
                    group.start_soon(self._poll, client)
                    group.start_soon(self._until_lost, client, group.cancel_scope)
                    async for push in receive:
                        await self._apply_advice(push.groups)
        finally:
            if up:
                self.record.put("stream", gw=self.name, up=False)

    async def _register(self, client: Client) -> None:
        if code := await client.set_lb_state(LbFlag.PUSH | LbFlag.NO_CHANGE):
            raise SaspError(f"refused with 0x{code:02x}")
        listed = tuple(member(name) for name in self.members)
        group_names = [f"slice/{n}".encode() for n in range(self.slices)]
        for k in range(0, len(group_names), GROUPS_PER_REGISTRATION):
            body = Register(
                Sender.BALANCER,
                tuple(MemberGroup(Group(client.lb, n), listed) for n in group_names[k : k + GROUPS_PER_REGISTRATION]),
            )
            code = (await client.ask(body)).code
            if code not in (0, 0x40):  # 0x40: still registered from the previous session
                raise SaspError(f"refused with 0x{code:02x}")

    async def _poll(self, client: Client) -> None:
        """Poll the weights at the interval that the pilot recommends.

        The pilot does not push advice if weights have changed only slightly. Only a poll returns such advice.
        """
        while True:
            reply = await client.weights()
            await self._apply_advice(reply.groups)
            await anyio.sleep(max(1, reply.interval) / self.clock.rate)

    async def _until_lost(self, client: Client, scope: anyio.CancelScope) -> None:
        while not client.ended.is_set() and self.network.reaches_pilot(self.name, self.zone):
            await anyio.sleep(0.05)
        scope.cancel()

    async def _apply_advice(self, groups: tuple[WeightGroup, ...]) -> None:
        """Apply advice to the tables, after any stall of this balancer and then its read delay have passed."""
        if (wait := self.clock.seconds(max(self.stalled_until - self.clock.now(), 0) + self.read_delay)) > 0:
            await anyio.sleep(wait)
        shown = {}
        for group, weights in groups:
            unit = group.name.decode()
            table = self.received_state.tables.get(unit)
            entries = dict(table.entries) if table else {}
            for w in weights:  # a push may contain only some of the members
                entries.pop(w.member.endpoint, None)
                if w.weight:
                    entries[w.member.endpoint] = ReceivedEntry(w.weight, self.members.get(w.member.endpoint, ""))
            self.received_state.tables[unit] = ReceivedTable(entries, {})
            self.count += 1
            weights_shown = {endpoint: entry.weight for endpoint, entry in entries.items()}
            shown[unit] = {"v": str(self.count), "lines": weights_shown, "levels": {}}
        if shown:
            self.changed.set()
            self.changed = anyio.Event()
            self.record.put("got", gw=self.name, type=EDS.rpartition(".")[2], nonce="", res=shown, removed=[], nack="")
