"""Reads the records of a scenario in time order and passes each record to the rules that need it.

Gateways, servers and the list server write the records. The checker has no access to the pilot's state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from damsonpick.testing.rules import records
from damsonpick.testing.rules.cold_servers import ColdServersRule
from damsonpick.testing.rules.drains import DrainsRule
from damsonpick.testing.rules.duplicate_effects import DuplicateEffectsRule
from damsonpick.testing.rules.empty_tables import EmptyTablesRule
from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.listed_servers import ListedServers
from damsonpick.testing.rules.observed import ObservedFleet, ObservedServer
from damsonpick.testing.rules.result import RuleResult
from damsonpick.testing.rules.send_queue import SendQueueRule


class Checker:
    """Checks all rules. Call `feed` once with all records in time order, then `results`."""

    def __init__(self, limits: Limits) -> None:
        """Create the check of each rule with the bounds in `limits`."""
        self.fleet = ObservedFleet()
        self.listed = ListedServers(limits.warm_up_ns)
        self.empty_tables = EmptyTablesRule(limits, self.fleet, self.listed)
        self.duplicate_effects = DuplicateEffectsRule(limits, self.fleet)
        self.drains = DrainsRule(limits, self.fleet, self.listed)
        self.cold_servers = ColdServersRule(limits, self.fleet, self.listed)
        self.send_queue = SendQueueRule(limits)
        self._handlers: dict[str, Callable[[dict[str, Any]], None]] = {
            "list": lambda record: self._on_list(records.ListSent.from_json(record)),
            "stream": lambda record: self._on_stream(records.StreamChanged.from_json(record)),
            "got": lambda record: self._on_response(records.ResponseRead.from_json(record)),
            "try": lambda record: self._on_request_sent(records.RequestSent.from_json(record)),
            "up": lambda record: self._on_server_started(records.ServerStarted.from_json(record)),
            "in": lambda record: self.cold_servers.on_request_received(records.RequestReceived.from_json(record)),
            "ran": lambda record: self.duplicate_effects.on_request_ran(records.RequestRan.from_json(record)),
        }

    def feed(self, events: Iterable[dict[str, Any]]) -> Checker:
        """Process all records, finish the checks at the time of the last record, and return this checker.

        Each record, even one without a handler, advances the current time and updates which servers have finished their
        warm-up. A record without a handler has no other effect.
        """
        now = 0
        for event in events:
            now = event["t"]
            if self.listed.warm_server_due(now):
                self._update_warmth(now)
            handler = self._handlers.get(event["e"])
            if handler is not None:
                handler(event)
        self.empty_tables.finish(now)
        self.send_queue.finish()
        return self

    def results(self) -> list[RuleResult]:
        """Return the result of each rule."""
        rules = (self.empty_tables, self.duplicate_effects, self.drains, self.cold_servers, self.send_queue)
        return [rule.result for rule in rules]

    def _update_warmth(self, now: int) -> None:
        if self.listed.update_warmth(now):
            self.empty_tables.on_warm_server(now)

    def _on_list(self, record: records.ListSent) -> None:
        if not record.servers:
            return
        self.drains.on_leaving(self.listed.apply(record))
        self._update_warmth(record.time_ns)

    def _on_stream(self, record: records.StreamChanged) -> None:
        self.fleet.gateway(record.gateway).apply_stream(record)
        self.send_queue.on_stream(record)
        self.drains.on_stream(record)
        self.empty_tables.on_stream(record)

    def _on_response(self, record: records.ResponseRead) -> None:
        self.fleet.gateway(record.gateway).apply_response(record)
        self.send_queue.on_response(record)
        self.empty_tables.on_response(record)

    def _on_request_sent(self, record: records.RequestSent) -> None:
        self.duplicate_effects.on_request_sent(record)
        self.cold_servers.on_request_sent(record)
        self.drains.on_request_sent(record)

    def _on_server_started(self, record: records.ServerStarted) -> None:
        self.fleet.servers[record.server] = ObservedServer(record)
