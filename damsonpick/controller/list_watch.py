"""The list sources' shell: asks all of them, hands on what is believed, and how far."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio

from damsonpick import interface as api
from damsonpick.controller.engine import Engine
from damsonpick.protocols.list_file import FileSource
from damsonpick.protocols.xds.endpoint_list_client import UpstreamSource
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock
from damsonpick.settings.model import ListSource, PilotSettings
from damsonpick.state.endpoint_list.sources import ListError, Sources
from damsonpick.state.endpoint_list.validation import EndpointList, ListValidation
from damsonpick.state.learned import restore
from damsonpick.state.learned.list_confidence import ListConfidence
from damsonpick.state.learned.snapshot import Snapshot
from damsonpick.state.load_reports import LoadReports
from damsonpick.state.store.sqlite import ListedAt, Store

LOOK = 250_000_000  # ns between looks at what only time changes
FIRST = "list"  # the name of the source in [list]
MEMBERS = "sasp members"  # the last source: what trusted members and balancers say over SASP


class Listing:
    """Args: settings, clock, roster, engine, evidence, store of one pilot; stir: wakes its loop; log: structlog."""

    def __init__(
        self,
        settings: PilotSettings,
        clock: Clock,
        endpoint_list: EndpointList,
        engine: Engine,
        load_reports: LoadReports,
        store: Store,
        stir: Callable[[], None],
        log: Any,
    ) -> None:
        self.settings, self.clock, self.endpoint_list, self.engine = settings, clock, endpoint_list, engine
        self.load_reports, self.store, self.stir, self.log = load_reports, store, stir, log
        self.named: dict[str, ListSource] = {FIRST: settings.list, **settings.lists}
        names = [*self.named, MEMBERS] if settings.sasp.feed else list(self.named)
        self.sources = Sources(tuple(names), clock.now())
        self.trust = ListConfidence()
        self.changed: Callable[[], None] = lambda: None
        self.said = "nothing yet"
        self.taken: tuple[str, list[api.EndpointEntry]] | None = None  # believed source and list, as last handed on
        self.disputes: list[str] = []
        engine.set_confidence_source(lambda: self.trust.published_events())

    def begin(self, learned: Snapshot | None, away: int | None) -> None:
        """The kept list is in force."""
        now = self.clock.now()
        self.load_reports.known_endpoints = set(self.endpoint_list.entries)
        self.trust.restore(
            now, restore.entry_times(learned, now, away, self.endpoint_list.entries, self.store.listed_at())
        )

    def vouched(self) -> int:
        """Clock time when the believed source last stood by the list; 0: it does not."""
        believed = self.sources.active
        return self.clock.now() if believed and self.sources.all[believed].up else 0

    # -- what sources say

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            for name, source in self.named.items():
                group.start_soon(self._follow, name, source)
            while True:
                await anyio.sleep(self.clock.seconds(LOOK))
                self._look()

    async def _follow(self, name: str, s: ListSource) -> None:
        if s.source == "file":
            source = FileSource(s.file, self.clock.seconds(s.poll))
        else:
            backoff = Backoff(random.Random(f"{self.settings.pilot.seed} {name}"))
            source = UpstreamSource(s.upstream, s.cluster, self.settings.pilot.name, backoff)
        async for said in source.lists():
            self.heard(name, said)

    def members(self, entries: list[api.EndpointEntry]) -> None:
        """What is said over SASP: a quiesced member drains by the rule that a drain of any live source binds."""
        if entries:
            self.heard(MEMBERS, entries)
        elif self.sources.all[MEMBERS].up:
            self.heard(MEMBERS, ListError("no members are registered"))

    def heard(self, name: str, said: list[api.EndpointEntry] | ListError) -> None:
        """One source has given a list, or why there is none; the module hears of both."""
        now = self.clock.now()
        if not isinstance(said, ListError) and not said and self.endpoint_list.entries:
            said = ListError(f"{name}: the list is empty: taken as a failed source, the kept list stays in force")
            self.log.warning("list_doubted", what=str(said))
        if isinstance(said, ListError):
            if self.sources.all[name].why != str(said):
                self.log.warning("list_failed", source=name, why=str(said), kept=len(self.endpoint_list.entries))
            self.sources.failed(now, name, str(said))
            if not any(s.up for s in self.sources.all.values()):
                self.said = str(said)
                self.engine.tell(self.endpoint_list.failed())
        else:
            self.sources.received(now, name, said)
        self._merge(now)
        self.stir()

    def _merge(self, now: int) -> None:
        entries, disputes = self.sources.merged(now)
        for dispute in disputes:
            if dispute not in self.disputes:
                self.log.warning("list_disputed", what=dispute)
        self.disputes = disputes
        if entries is None or self.taken == (self.sources.active, entries):
            return
        if self.taken is not None and self.taken[0] != self.sources.active:
            self.log.warning("list_source", now=self.sources.active, before=self.taken[0])
        self.taken = (self.sources.active, entries)
        self._use(self.endpoint_list.apply(now, entries, lambda name: self.trust.is_lost(now, name)))
        self.said = f"{len(entries)} servers"

    def _use(self, verdict: ListValidation) -> None:
        """Hand on a list."""
        for doubt in verdict.problems:
            self.log.warning("list_doubted", what=doubt)
        event, now = verdict.event, self.clock.now()
        if event is None:
            return
        self.load_reports.known_endpoints.update(e.endpoint for e in event.entries)
        if event.kind == "replace":
            self.trust.confirm(now, (e.endpoint for e in event.entries))
            self._keep(event)
        self.engine.relocate(now, self.endpoint_list.update_zones(event.entries))
        self.engine.tell(event, *self.trust.changes(now))
        self.changed()
        self.stir()

    def _keep(self, event: api.EndpointListChanged) -> None:
        states: dict[str, int] = {}
        for entry in event.entries:
            states[entry.state] = states.get(entry.state, 0) + 1
        self.log.info("listed", **states)
        try:
            listed = ListedAt(self.clock.now(), self.sources.active)
            self.store.save_endpoint_list(event.entries, listed, self.endpoint_list.held)
        except Exception as error:
            self.log.error("list_not_kept", error=str(error), remedy="free space or rights on the state folder")

    def _look(self) -> None:
        """What only time changes: which source is believed, what is held, how far entries are trusted."""
        now = self.clock.now()
        self._merge(now)
        verdict = self.endpoint_list.recheck(now, lambda name: self.trust.is_lost(now, name))
        if verdict is not None:
            self._use(verdict)
        if said := self.trust.changes(now):
            self.log.info("list_trust", **{e.endpoint: e.confidence for e in said[:20]}, of=len(said))
            self.engine.tell(*said)
            self.stir()

    # -- questions

    def answer(self, request: dict[str, Any]) -> dict[str, Any]:
        """What `damsonpick list` asks.

        Raises:
            ValueError: an order that there is not.
        """
        now, what = self.clock.now(), request.get("do", "show")
        if what == "accept":
            held = sorted(self.endpoint_list.held)
            verdict = self.endpoint_list.accept(now, lambda name: False)
            if verdict is not None:
                self._use(verdict)
                self.log.warning("list_accepted", gone=held)
            return {"accepted": held}
        if what != "show":
            raise ValueError(f"unknown order {what!r}; use show or accept")
        levels = self.trust.confidences(now) if self.trust.is_settled(now) else {}
        rows = [
            {
                "endpoint": e.endpoint,
                "zone": e.zone,
                "state": e.state,
                "weight": e.weight,
                "started": e.started,
                "trust": levels.get(e.endpoint, 1.0),
                "held": e.endpoint in self.endpoint_list.held,
                "spoken_for_s": self._spoken(now, e.endpoint),
            }
            for e in sorted(self.endpoint_list.entries.values())
        ]
        return {
            "live": self.trust.is_confirmed,
            "sources": self.sources.view(now),
            "disputes": self.disputes,
            "servers": rows,
            "held_for_s": round((now - self.endpoint_list.held_since) / 1e9, 1) if self.endpoint_list.held else None,
        }

    def _spoken(self, now: int, name: str) -> float | None:
        """Seconds since a source or a good answer spoke for an entry; None: not known."""
        last = self.trust.last_evidence_at(name)
        return round((now - last) / 1e9, 1) if last else None
