"""Tests of the bound on open connections."""

from __future__ import annotations

import anyio
import pytest

from damsonpick.runtime.connection_slots import ConnectionSlots, NoSlotError


def test_idle_connections_make_room_and_busy_ones_do_not():
    slots, closed = ConnectionSlots(3, limit_by_owner=2), []

    async def serve(name: str, owner: str, idle: bool) -> None:
        with slots.occupy(owner) as slot:
            slot.idle = idle
            try:
                await anyio.sleep_forever()
            finally:
                closed.append(name)

    async def run() -> None:
        async with anyio.create_task_group() as group:
            for name, owner, idle in (("a", "x", False), ("b", "x", True), ("c", "x", True), ("d", "y", False)):
                group.start_soon(serve, name, owner, idle)
                await anyio.wait_all_tasks_blocked()
            assert closed == ["b"] and slots.count() == 3, "the limit of an owner"
            group.start_soon(serve, "e", "z", False)
            await anyio.wait_all_tasks_blocked()
            assert closed == ["b", "c"] and slots.count() == 3, "the limit of all"
            with pytest.raises(NoSlotError), slots.occupy("z"):
                pass
            group.cancel_scope.cancel()

    anyio.run(run)
    assert slots.count() == 0
