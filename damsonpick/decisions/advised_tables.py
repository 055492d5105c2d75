"""Tables and weights calculated by the solver, for deployments without slices or with different weights in a table.

The endpoint list, slow start, flow control and admission levels apply to them in the same way as to the results of the
search.
"""

from __future__ import annotations

import math

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState


def apply_advice(fleet: FleetState, event: api.TableAdvised) -> None:
    """Apply advised weights to an owned table. Complete advice also replaces the assigned endpoints.

    Entries with an unknown endpoint, or with a weight that is not positive and finite, are ignored. If complete advice
    has entries and all of them are ignored, the table is not emptied.
    """
    slice_state = fleet.slices.get(event.table)
    if slice_state is None:
        return
    weights = {n: w for n, w in event.entries if n in fleet.endpoints and 0 < w < math.inf}
    slice_state.advised_weights = weights
    slice_state.externally_assigned = event.complete and (bool(weights) or not event.entries)
    if slice_state.externally_assigned:
        slice_state.assigned = list(weights)
    fleet.assignments_stale = True
