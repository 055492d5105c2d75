"""Tests of the client that keeps a watch open."""

from __future__ import annotations

import random

import anyio
import structlog

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.watch_client import WatchClient
from damsonpick.testing.fakes.discovery import FakeDiscovery


def test_a_watch_whose_reader_raises_is_opened_again():
    async def run_scenario():
        discovery, log, processed = FakeDiscovery("p"), structlog.get_logger(), []

        class Reader:
            def path(self) -> str:
                return "/catalog/members?watch=1&from=0"

            def process(self, lines: list[bytes]) -> bool:
                processed.append(lines)
                if len(processed) == 1:
                    raise RuntimeError("an error in the reader")
                return True

        async with discovery.running() as port, anyio.create_task_group() as group:
            client = WatchClient("list", 3.0, Reader, random.Random(1), log)
            client.follow(group, Address("127.0.0.1", port))
            with anyio.fail_after(5):
                while not client.is_current():
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert len(processed) >= 2 and client.interruptions == 1

    anyio.run(run_scenario)
