"""Watches the sources of the endpoint list and applies the active source's list, merged with the other lists."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.controller.list_updates import ListUpdater
from damsonpick.protocols.list_file import FileSource
from damsonpick.protocols.xds.endpoint_list_client import UpstreamSource
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock
from damsonpick.settings.model import ListSource, PilotSettings
from damsonpick.state.endpoint_list.sources import ListError, Sources

RECHECK_PERIOD_NS = 250_000_000  # time between checks for changes that need no new list
FIRST_SOURCE = "list"  # source that the settings section [list] configures
SASP_SOURCE = "sasp members"  # lowest-ranked source: members of the balancers that may set member states over SASP

ListResult = list[api.EndpointEntry] | ListError


class ListClient(Protocol):
    """A connection to one source."""

    def lists(self) -> AsyncIterator[ListResult]:
        """Yield each list that the source returns, or an error with the reason why it returned none."""


class ListWatch:
    """Follows every source and selects with `Sources` the list to apply.

    Args:
        settings: Settings of the pilot.
        clock: Clock of the pilot.
        updater: Applies a list that has changed.
        notify: Wakes the drive loop.
        log: Logger for failures and disagreements of sources.
    """

    def __init__(
        self,
        settings: PilotSettings,
        clock: Clock,
        updater: ListUpdater,
        notify: Callable[[], None],
        log: FilteringBoundLogger,
    ) -> None:
        """Register the configured sources. `run` starts to watch them."""
        self.settings = settings
        self.clock = clock
        self.updater = updater
        self.notify = notify
        self.log = log
        self.source_settings: dict[str, ListSource] = {FIRST_SOURCE: settings.list_source, **settings.fallback_sources}
        names = list(self.source_settings)
        if settings.sasp.members_as_list:
            names.append(SASP_SOURCE)
        self.sources = Sources(tuple(names), clock.now())
        self.summary = "no list yet"  # summary of the list for `status`
        self.applied_source = ""  # source of the list that was applied last
        self.applied_entries: list[api.EndpointEntry] | None = None  # None until the first list is applied
        self.disagreements: list[str] = []

    def confirmed_at(self) -> int:
        """Return the current clock time if the active source is up and so confirms the list, otherwise 0."""
        active = self.sources.active
        is_up = bool(active) and self.sources.all[active].up
        return self.clock.now() if is_up else 0

    async def run(self) -> None:
        """Watch all sources until cancelled. Merge and recheck their lists every `RECHECK_PERIOD_NS`."""
        async with anyio.create_task_group() as group:
            for name, source_settings in self.source_settings.items():
                group.start_soon(self._watch, name, source_settings)
            while True:
                await anyio.sleep(self.clock.seconds(RECHECK_PERIOD_NS))
                self._merge(self.clock.now())
                self.updater.recheck()

    async def _watch(self, name: str, source_settings: ListSource) -> None:
        client = self._client(name, source_settings)
        async for result in client.lists():
            self.receive(name, result)

    def _client(self, name: str, source_settings: ListSource) -> ListClient:
        if source_settings.source == "file":
            return FileSource(source_settings.file, self.clock.seconds(source_settings.poll_period))
        backoff = Backoff(random.Random(f"{self.settings.pilot.seed} {name}"))
        return UpstreamSource(source_settings.upstream, source_settings.cluster, self.settings.pilot.name, backoff)

    def receive_members(self, entries: list[api.EndpointEntry]) -> None:
        """Process the members registered over SASP as a list of the lowest-ranked source.

        A quiesced member drains, because a drain that any live source reports is binding. If no members are registered
        any more, the source counts as failed.
        """
        if entries:
            self.receive(SASP_SOURCE, entries)
        elif self.sources.all[SASP_SOURCE].up:
            self.receive(SASP_SOURCE, ListError("no members are registered"))

    def receive(self, name: str, result: ListResult) -> None:
        """Process a list of one source, or an error with the reason why it returned none.

        An empty list counts as a failure of the source if the current list has entries.
        """
        now = self.clock.now()
        if not isinstance(result, ListError) and not result and self.updater.endpoint_list.entries:
            result = ListError(
                f"{name}: the list is empty; the source counts as failed and the previous list stays in use"
            )
            self.log.warning("list_validation_failed", reason=str(result))
        if isinstance(result, ListError):
            self._source_failed(now, name, str(result))
        else:
            self.sources.received(now, name, result)
        self._merge(now)
        self.notify()

    def _source_failed(self, now: int, name: str, reason: str) -> None:
        if self.sources.all[name].why != reason:
            kept = len(self.updater.endpoint_list.entries)
            self.log.warning("list_source_failed", source=name, reason=reason, kept_endpoints=kept)
        self.sources.failed(now, name, reason)
        if not any(source.up for source in self.sources.all.values()):
            self.summary = reason
            self.updater.list_unavailable()

    def _merge(self, now: int) -> None:
        """Merge the lists of the sources. Apply the result unless it and the active source are unchanged."""
        merged = self.sources.merged(now)
        for disagreement in merged.disputes:
            if disagreement not in self.disagreements:
                self.log.warning("list_sources_disagreed", reason=disagreement)
        self.disagreements = merged.disputes
        entries = merged.entries
        active = self.sources.active
        if entries is None or (active == self.applied_source and entries == self.applied_entries):
            return
        if self.applied_entries is not None and self.applied_source != active:
            self.log.warning("list_source_changed", source=active, previous=self.applied_source)
        self.applied_source = active
        self.applied_entries = entries
        self.updater.apply(active, entries)
        self.summary = f"{len(entries)} servers"
