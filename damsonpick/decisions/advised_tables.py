"""Tables and weights that are calculated outside the decisions, for deployments without slices or with uneven entries.

The endpoint list, slow start, flow control and admission levels bind them as they bind what the search decides.
"""

from __future__ import annotations

import math

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState


def apply_advice(fleet: FleetState, event: api.TableAdvised) -> None:
    """Take over advised weights of an owned table, and the whole table where the advice is complete.

    Unknown endpoints and weights that are not positive and finite are passed over. A complete advice of which nothing
    remains is not taken for an order to empty the table.
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
