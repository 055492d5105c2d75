"""The published state, and the changes that orders make to it."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.state.published_tables import PublishedTables, slice_unit


def test_orders_that_change_nothing_change_no_entry():
    published = PublishedTables(("page",), 2)
    order = api.SetEntry(0, "x:1", 1.0)
    assert published.apply([order]).entry_count() == 1 and published.apply([order]).entry_count() == 0
    assert published.apply([api.SetWithdrawn("x:1", False), api.SetAdmission(None, (), 1.0, 0)]).entry_count() == 0
    change = published.apply(
        [api.SetWithdrawn("x:1", True), api.SetAdmission(0, (0,), 0.5, 1), api.RequestSync(7, True)]
    )
    assert change.urgent and change.sync_tokens == [7] and set(change.entries) == {"fleet", slice_unit(0), "routes"}
    assert published.routable_endpoints(0) == [] and published.level(0, 0) == 0.5
    assert published.apply([api.ClearTable(0)]).entries == {slice_unit(0): {"x:1", "level 0"}}
