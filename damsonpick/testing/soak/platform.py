"""The platform round a soak's pilot: its fakes, and the faults that a plan has them make."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from damsonpick.testing.fakes.discovery import FakeDiscovery
from damsonpick.testing.fakes.platform_config import ZONES
from damsonpick.testing.fakes.registry import FakeRegistry, PartlyApplied, RequestFault
from damsonpick.testing.soak.plan import Action, SoakPlan, Step

SILENCE_S = 2.6  # longer than a watch may be silent
DOWN_S = 0.5
ODD_SERVERS = ("odd", "Odd")  # that odd entries may name
ODD_VALUES = (["Ready"], {"Ready": 1}, None, 7, "", "Odd", [[]], 1e300)
REQUEST_FAULTS = {
    Action.ANSWER_LOST: RequestFault.ANSWER_LOST,
    Action.ANSWER_WITHHELD: RequestFault.ANSWER_WITHHELD,
    Action.ANSWER_INVALID: RequestFault.ANSWER_INVALID,
    Action.CONNECTION_CUT: RequestFault.CONNECTION_CUT,
    Action.BUSY: RequestFault.BUSY,
    Action.SYNTAX: RequestFault.SYNTAX,
}


class SoakPlatform:
    """Registry and discovery of a soak.

    Args:
        plan: says how large they are.
        rng: draws what another pilot has made of a slice meanwhile.
        reload: has the pilot read its configuration again, one that can be used or one that cannot.

    Attributes:
        registry_ports: of the one registry; the first is in use.
    """

    def __init__(self, plan: SoakPlan, rng: random.Random, reload: Callable[[bool], None]) -> None:
        """Start nothing yet."""
        self.discovery = FakeDiscovery(*(f"s{number}" for number in range(plan.servers)))
        self.registry = FakeRegistry(plan.slices, plan.proxies, ZONES)
        self.registry_ports: list[int] = []
        self._server_count = plan.servers
        self._rng = rng
        self._reload = reload
        self._lost: list[int] = []  # slices that another pilot has

    def pilot_ended(self) -> None:
        """Drop the withdrawals of a life that has ended, as the operators' pages say of an instance."""
        self.registry.withdrawn.clear()

    async def end_faults(self) -> None:
        """End all faults, report the servers of odd entries as gone, and give all slices back.

        An odd entry may still be a valid one, of a server without a zone say, that the pilot rightly believes in.
        """
        self.registry.faults.clear()
        self.registry.silent = self.discovery.silent = self.discovery.is_down = False
        for name in ODD_SERVERS:
            await self.discovery.update_server(name, "Gone")
        while self._lost:
            await self._give_slice(0)

    def uncovered_slices(self) -> list[int]:
        """Return the slices without an entry for a usable server; none if no server is usable."""
        usable = {name for name, entry in self.discovery.servers.items() if entry["state"] == "Ready"}
        usable -= self.registry.withdrawn
        return [number for number, table in self.registry.tables.items() if not usable & set(table)] if usable else []

    def describe_uncovered(self) -> str:
        """Return what is known of slices without a usable server, for a failure."""
        states = {name: entry["state"] for name, entry in self.discovery.servers.items()}
        uncovered = {number: self.registry.tables[number] for number in self.uncovered_slices()}
        return f"tables without a usable server {uncovered}, servers {states}, withdrawn {self.registry.withdrawn}"

    async def act(self, step: Step, group: TaskGroup) -> None:
        """Carry out one step of a plan; what ends by itself later runs in `group`."""
        draw = random.Random(step.draw)
        if step.action in REQUEST_FAULTS:
            self.registry.faults.extend([REQUEST_FAULTS[step.action]] * draw.randint(1, 2))
            return
        await getattr(self, f"_do_{step.action.name.lower()}")(draw, group)

    async def _do_partly_applied(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        self.registry.faults.append(PartlyApplied(draw.randint(0, 3)))

    async def _do_server_drains(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        await self._change_server(draw, "Terminating")

    async def _do_server_gone(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        await self._change_server(draw, "Gone")

    async def _change_server(self, draw: random.Random, state: str) -> None:
        ready = [name for name, entry in self.discovery.servers.items() if entry["state"] == "Ready"]
        if len(ready) > 1:
            await self.discovery.update_server(draw.choice(ready), state)

    async def _do_server_ready(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        await self.discovery.update_server(f"s{draw.randrange(self._server_count + 2)}")

    async def _do_odd_entry(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        entry = self.discovery.entry(ODD_SERVERS[0]) | {
            draw.choice(("state", "zone", "weight", "id")): draw.choice(ODD_VALUES)
        }
        await self.discovery.send_entries([entry])

    async def _do_half_line(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        await self.discovery.send_bytes(b'{"version":' + b"1" * draw.randint(0, 4))
        await self.discovery.cut_watches()

    async def _do_discovery_cut(self, draw: random.Random, group: TaskGroup) -> None:
        del draw, group
        await self.discovery.cut_watches()

    async def _do_discovery_down(self, draw: random.Random, group: TaskGroup) -> None:
        del draw
        self.discovery.is_down = True
        await self.discovery.cut_watches()
        group.start_soon(self._restore_discovery)

    async def _restore_discovery(self) -> None:
        await anyio.sleep(DOWN_S)
        self.discovery.is_down = False

    async def _do_slice_lost(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        owned = list(self.registry.tables)
        if len(owned) > 1:
            number = draw.choice(owned)
            await self.registry.take_slice(number)
            self._lost.append(number)

    async def _do_slice_given(self, draw: random.Random, group: TaskGroup) -> None:
        del group
        if self._lost:
            await self._give_slice(draw.randrange(len(self._lost)))

    async def _give_slice(self, index: int) -> None:
        """Give a slice back with the table that another pilot has made for it meanwhile."""
        number = self._lost.pop(index)
        servers = list(self.discovery.servers) or ["s0"]
        await self.registry.give_slice(number, {self._rng.choice(servers): 1.0})

    async def _do_slice_lost_twice(self, draw: random.Random, group: TaskGroup) -> None:
        await self._do_slice_lost(draw, group)
        await self._do_slice_given(draw, group)
        await self._do_slice_lost(draw, group)

    async def _do_registry_cut(self, draw: random.Random, group: TaskGroup) -> None:
        del draw, group
        await self.registry.cut_watches()

    async def _do_registry_silent(self, draw: random.Random, group: TaskGroup) -> None:
        del draw
        self.registry.silent = True
        group.start_soon(self._end_silence)

    async def _end_silence(self) -> None:
        await anyio.sleep(SILENCE_S)
        self.registry.silent = False

    async def _do_proxies_reconnect(self, draw: random.Random, group: TaskGroup) -> None:
        del draw, group
        await self.registry.reconnect_proxies()

    async def _do_reload(self, draw: random.Random, group: TaskGroup) -> None:
        del draw, group
        self._reload(True)

    async def _do_reload_invalid(self, draw: random.Random, group: TaskGroup) -> None:
        del draw, group
        self._reload(False)

    async def _do_registry_moves(self, draw: random.Random, group: TaskGroup) -> None:
        self.registry_ports.reverse()
        await self._do_reload(draw, group)
