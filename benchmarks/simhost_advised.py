"""Run the simulator adapter with the solver computing the weights in slices: an experiment for `lbsim compare`.

    lbsim compare SITE -- .venv/bin/python benchmarks/simhost_advised.py --vs .venv/bin/python -m damsonpick.simhost

The wire carries neither the work of a class nor absolute capacities. So each request counts as one unit of work, and
the throughput of a server is its share of the capacity times the best throughput per capacity seen on the fleet.
"""

from __future__ import annotations

import os
import sys

from damsonpick.decisions.planner import Planner
from damsonpick.interface import Event, TableAdvised
from damsonpick.protocols.simulator import __main__ as program
from damsonpick.protocols.simulator import host as hosts
from damsonpick.solver.model import Costs, RequestClass, Server
from damsonpick.solver.slice_weights import SliceLoad, SliceWeightsProblem, solve_slice_weights

ADVICE_PERIOD_NS = 2_000_000_000
LAST_ADVICE_NS: dict[str, int] = {}  # time of the last advice, by instance


def advice(planner: Planner) -> list[Event]:
    """Return weights for the slices that have several endpoints."""
    if not planner.throughput_per_capacity or planner.settings.sole_owner:
        return []
    kinds = (RequestClass("any", 1.0, 0.0, 1.0, 4.0),)
    usable = planner.usable_capacities()
    cores = {n: max(1, min(64, round(planner.endpoints[n].weight))) for n in usable}
    servers = tuple(
        Server(n, "", max(1e-3, c * planner.throughput_per_capacity / 0.9), cores[n]) for n, c in sorted(usable.items())
    )
    pieces = tuple(
        SliceLoad(p.number, p.load, tuple(p.assigned), tuple(map(p.desired_weight, p.assigned)))
        for _, p in sorted(planner.slices.items())
        if p.assigned
    )
    weights_by_slice = solve_slice_weights(SliceWeightsProblem(kinds, servers, pieces, Costs(move=0.1)))
    return [TableAdvised(n, lines, False) for n, lines in sorted(weights_by_slice.items())]


class Host(hosts.Host):
    def _run(self, instance: str, now: int, events: list[Event]) -> list[str]:
        if now - LAST_ADVICE_NS.get(instance, 0) >= ADVICE_PERIOD_NS and hasattr(self._planners[instance], "now"):
            LAST_ADVICE_NS[instance] = now
            events = events + advice(self._planners[instance])
        return super()._run(instance, now, events)


if __name__ == "__main__":
    sys.stdout = os.fdopen(os.dup(1), "w")  # The solver library prints a banner, which must not reach the wire.
    os.dup2(2, 1)
    program.Host = Host
    sys.exit(program.main())
