"""The platform of a soak's pilot: the fakes of registry and discovery, and the faults that a plan injects into them."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from damsonpick.testing.fakes.discovery import FakeDiscovery
from damsonpick.testing.fakes.platform_config import ZONES
from damsonpick.testing.fakes.registry import FakeRegistry, PartlyApplied, RequestFault
from damsonpick.testing.soak.plan import Action, SoakPlan, Step

REGISTRY_SILENCE_S = 2.6  # longer than the time for which the pilot tolerates a watch without heartbeats
DISCOVERY_OUTAGE_S = 0.5
ODD_SERVERS = ("odd", "Odd")  # names of servers that malformed entries may contain
ODD_VALUES = (["Ready"], {"Ready": 1}, None, 7, "", "Odd", [[]], 1e300)  # values of a field in a malformed entry
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
        plan: Plan of the soak, with the numbers of servers, slices and proxies.
        rng: Source of the random draws for the tables that another pilot makes while it owns a slice.
        reload: Makes the pilot reload its configuration. The argument states whether the new configuration is valid.

    Attributes:
        registry_ports: Ports of the registry. The pilot's configuration contains the first one.
    """

    def __init__(self, plan: SoakPlan, rng: random.Random, reload: Callable[[bool], None]) -> None:
        """Create the fakes; the player opens their ports."""
        self.discovery = FakeDiscovery(*(f"s{number}" for number in range(plan.servers)))
        self.registry = FakeRegistry(plan.slices, plan.proxies, ZONES)
        self.registry_ports: list[int] = []
        self._server_count = plan.servers
        self._rng = rng
        self._reload = reload
        self._lost_slices: list[int] = []  # slices that another pilot owns

    def pilot_ended(self) -> None:
        """Remove the withdrawals of an ended incarnation, as the operators' pages specify for an instance."""
        self.registry.withdrawn.clear()

    async def end_faults(self) -> None:
        """End all faults, report the servers of malformed entries as gone, and return all slices to the pilot.

        An entry that was meant to be malformed may be valid after all, for example the entry of a server without a
        zone. The pilot then rightly uses this server.
        """
        self.registry.faults.clear()
        self.registry.silent = self.discovery.silent = self.discovery.is_down = False
        for name in ODD_SERVERS:
            await self.discovery.update_server(name, "Gone")
        while self._lost_slices:
            await self._return_slice(0)

    def uncovered_slices(self) -> list[int]:
        """Return the slices without an entry for a usable server, or an empty list if no server is usable."""
        usable = {name for name, entry in self.discovery.servers.items() if entry["state"] == "Ready"}
        usable -= self.registry.withdrawn
        return [number for number, table in self.registry.tables.items() if not usable & set(table)] if usable else []

    def describe_uncovered(self) -> str:
        """Return a description of the slices without a usable server, for the text of a failure."""
        states = {name: entry["state"] for name, entry in self.discovery.servers.items()}
        uncovered = {number: self.registry.tables[number] for number in self.uncovered_slices()}
        return f"tables without a usable server {uncovered}, servers {states}, withdrawn {self.registry.withdrawn}"

    async def act(self, step: Step, group: TaskGroup) -> None:
        """Carry out one step of a plan.

        If the step injects a temporary fault, a task in `group` ends the fault after some time.
        """
        rng = random.Random(step.choice_seed)
        if step.action in REQUEST_FAULTS:
            self.registry.faults.extend([REQUEST_FAULTS[step.action]] * rng.randint(1, 2))
            return
        await getattr(self, f"_do_{step.action.name.lower()}")(rng, group)

    async def _do_partly_applied(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        self.registry.faults.append(PartlyApplied(rng.randint(0, 3)))

    async def _do_server_drains(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        await self._change_server(rng, "Terminating")

    async def _do_server_gone(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        await self._change_server(rng, "Gone")

    async def _change_server(self, rng: random.Random, state: str) -> None:
        ready = [name for name, entry in self.discovery.servers.items() if entry["state"] == "Ready"]
        if len(ready) > 1:
            await self.discovery.update_server(rng.choice(ready), state)

    async def _do_server_ready(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        await self.discovery.update_server(f"s{rng.randrange(self._server_count + 2)}")

    async def _do_odd_entry(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        entry = self.discovery.entry(ODD_SERVERS[0]) | {
            rng.choice(("state", "zone", "weight", "id")): rng.choice(ODD_VALUES)
        }
        await self.discovery.send_entries([entry])

    async def _do_half_line(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        await self.discovery.send_bytes(b'{"version":' + b"1" * rng.randint(0, 4))
        await self.discovery.cut_watches()

    async def _do_discovery_cut(self, rng: random.Random, group: TaskGroup) -> None:
        del rng, group
        await self.discovery.cut_watches()

    async def _do_discovery_down(self, rng: random.Random, group: TaskGroup) -> None:
        del rng
        self.discovery.is_down = True
        await self.discovery.cut_watches()
        group.start_soon(self._restore_discovery)

    async def _restore_discovery(self) -> None:
        await anyio.sleep(DISCOVERY_OUTAGE_S)
        self.discovery.is_down = False

    async def _do_slice_lost(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        owned = list(self.registry.tables)
        if len(owned) > 1:
            number = rng.choice(owned)
            await self.registry.revoke_slice(number)
            self._lost_slices.append(number)

    async def _do_slice_given(self, rng: random.Random, group: TaskGroup) -> None:
        del group
        if self._lost_slices:
            await self._return_slice(rng.randrange(len(self._lost_slices)))

    async def _return_slice(self, index: int) -> None:
        """Return a lost slice to the pilot, with a table that another pilot has made for it."""
        number = self._lost_slices.pop(index)
        servers = list(self.discovery.servers) or ["s0"]
        await self.registry.assign_slice(number, {self._rng.choice(servers): 1.0})

    async def _do_slice_lost_twice(self, rng: random.Random, group: TaskGroup) -> None:
        await self._do_slice_lost(rng, group)
        await self._do_slice_given(rng, group)
        await self._do_slice_lost(rng, group)

    async def _do_registry_cut(self, rng: random.Random, group: TaskGroup) -> None:
        del rng, group
        await self.registry.cut_watches()

    async def _do_registry_silent(self, rng: random.Random, group: TaskGroup) -> None:
        del rng
        self.registry.silent = True
        group.start_soon(self._end_silence)

    async def _end_silence(self) -> None:
        await anyio.sleep(REGISTRY_SILENCE_S)
        self.registry.silent = False

    async def _do_proxies_reconnect(self, rng: random.Random, group: TaskGroup) -> None:
        del rng, group
        await self.registry.reconnect_proxies()

    async def _do_reload(self, rng: random.Random, group: TaskGroup) -> None:
        del rng, group
        self._reload(True)

    async def _do_reload_invalid(self, rng: random.Random, group: TaskGroup) -> None:
        del rng, group
        self._reload(False)

    async def _do_registry_moves(self, rng: random.Random, group: TaskGroup) -> None:
        self.registry_ports.reverse()
        await self._do_reload(rng, group)
