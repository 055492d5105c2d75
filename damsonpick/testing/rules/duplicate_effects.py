"""Rule: no request takes effect more than once.

A request that is not idempotent runs at most once, and no gateway sends it again after it has run. A request with an
idempotency key may run again within the key's scope and window. A request without side effects may run any number of
times.
"""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.testing.rules.limits import EffectRule, Limits
from damsonpick.testing.rules.observed import ObservedFleet
from damsonpick.testing.rules.records import RequestRan, RequestSent
from damsonpick.testing.rules.result import Breach, RuleResult


class Run(NamedTuple):
    """The time and the server of one execution of a request."""

    time_ns: int
    server: str


class DuplicateEffectsRule:
    """Counts the executions of each request, and records each execution or repeated send that breaks the rule."""

    def __init__(self, limits: Limits, fleet: ObservedFleet) -> None:
        """Check against `limits`; `fleet` provides the servers' zones."""
        self.limits, self.fleet = limits, fleet
        self.result = RuleResult("no effect twice", 1, "runs")
        self._runs: dict[str, list[Run]] = {}

    def on_request_sent(self, record: RequestSent) -> None:
        """Check that a request that is not idempotent is not sent after it has run."""
        effect_rule = self.limits.effect_rule(record.request_class)
        if effect_rule.effect == "non_idempotent" and record.request_id in self._runs:
            self._add_breach(record, f"{record.request_id} was sent again after it had run", record.gateway)

    def on_request_ran(self, record: RequestRan) -> None:
        """Count an execution, and check it against the rule of the request class."""
        effect_rule = self.limits.effect_rule(record.request_class)
        runs = self._runs.setdefault(record.request_id, [])
        runs.append(Run(record.time_ns, record.server))
        if effect_rule.effect == "read_like":
            return
        self.result.observe(len(runs))
        if len(runs) > 1 and not self._key_covers(effect_rule, runs[0], record):
            self._add_breach(record, f"{record.request_id} ran {len(runs)} times")

    def _key_covers(self, effect_rule: EffectRule, first: Run, record: RequestRan) -> bool:
        """Return whether the idempotency key of the first execution also covers the execution in `record`.

        Requests that are not idempotent have no key. The scopes `zone` and `cell` both cover the first server's zone.
        """
        if effect_rule.effect == "non_idempotent":
            return False
        if record.time_ns - first.time_ns > effect_rule.key_window_ns:
            return False
        return effect_rule.key_scope == "all" or self.fleet.zone(first.server) == self.fleet.zone(record.server)

    def _add_breach(self, record: RequestSent | RequestRan, text: str, gateway: str = "-") -> None:
        breach = Breach(record.time_ns, text, gateway, record.slice_number, record.server)
        self.result.breaches.append(breach)
