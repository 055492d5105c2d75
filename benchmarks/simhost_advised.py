"""The bench's adapter with the solver weighing the lines of slices: an experiment for `lbsim compare`.

    lbsim compare SITE -- .venv/bin/python benchmarks/simhost_advised.py --vs .venv/bin/python -m damsonpick.simhost

The wire tells no work of a class and no absolute capacity, so a request is one unit of work and a server does the
fleet's best pace seen for its share of capacity.
"""

from __future__ import annotations

import os
import sys

from damsonpick.decisions.planner import Planner
from damsonpick.interface import Event, TableAdvised
from damsonpick.protocols.simulator import __main__ as program
from damsonpick.protocols.simulator import host as hosts
from damsonpick.solver.model import Costs, RequestClass, Server
from damsonpick.solver.slice_weights import SliceLoad, SliceWeightsProblem, divide_slices

EVERY = 2_000_000_000
LAST: dict[str, int] = {}


def advice(planner: Planner) -> list[Event]:
    """Weights for slices with several homes."""
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
    found = divide_slices(SliceWeightsProblem(kinds, servers, pieces, Costs(move=0.1)))
    return [TableAdvised(n, lines, False) for n, lines in sorted(found.items())]


class Host(hosts.Host):
    def _run(self, instance: str, now: int, events: list[Event]) -> list[str]:
        if now - LAST.get(instance, 0) >= EVERY and hasattr(self._planners[instance], "now"):
            LAST[instance] = now
            events = events + advice(self._planners[instance])
        return super()._run(instance, now, events)


if __name__ == "__main__":
    sys.stdout = os.fdopen(os.dup(1), "w")  # the solver library prints a banner; the wire must not carry it
    os.dup2(2, 1)
    program.Host = Host
    sys.exit(program.main())
