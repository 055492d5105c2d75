"""Tests of endpoint list updates: which are applied, ignored or rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damsonpick.protocols.platform.discovery import EndpointListUpdate, read_update
from damsonpick.protocols.platform.endpoint_list import EndpointList
from damsonpick.protocols.platform.errors import EndpointListError


def update(version: int, full: bool, *servers: dict) -> EndpointListUpdate:
    return read_update({"version": version, "full": full, "servers": list(servers)})


def server(name: str, state: str = "Ready", **more) -> dict:
    return {"id": name, "zone": "a", "state": state, "weight": 1.0, "started_ms": 0} | more


def test_updates_apply_at_once_and_invalid_entries_are_left_out_alone():
    endpoint_list = EndpointList(update(3, True, server("p"), server("q"), server("r")))
    event = endpoint_list.apply(update(5, True, server("p"), server("q", state="Odd")), 0)
    assert event.kind == "replace" and {e.endpoint for e in event.entries} == {"p", "q"}
    event = endpoint_list.apply(update(6, False, server("p", "Gone"), server("s", started_ms=7)), 0)
    assert (
        event.kind == "update"
        and set(endpoint_list.entries) == {"q", "s"}
        and endpoint_list.entries["s"].started == 7_000_000
    )


def test_an_outdated_copy_is_ignored_until_no_newer_one_has_come_for_long():
    second = 1_000_000_000
    endpoint_list = EndpointList(update(3, True, server("p"), server("q")), 10 * second)
    endpoint_list.apply(update(6, False, server("p", "Gone"), server("q", "Terminating")), 0)
    for outdated in (update(3, True, server("p"), server("q")), update(5, False, server("p"))):
        assert endpoint_list.apply(outdated, second) is None
    assert (
        endpoint_list.entries["q"].state == "terminating"
        and "p" not in endpoint_list.entries
        and endpoint_list.watch_from() == 6
    )
    assert endpoint_list.apply(update(6, True, server("q", "Terminating")), 8 * second).kind == "replace"
    assert endpoint_list.apply(update(4, False), 9 * second) is None  # the delay starts again
    with pytest.raises(EndpointListError, match="version: 4 after 6"):
        endpoint_list.apply(update(4, False), 19 * second)
    assert endpoint_list.watch_from() == 0
    assert endpoint_list.apply(update(2, True, server("p")), 20 * second).kind == "replace"
    assert endpoint_list.version == endpoint_list.watch_from() == 2 and set(endpoint_list.entries) == {"p"}


VERSIONS = st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=12)


@given(VERSIONS)
def test_full_and_partial_updates_in_any_order_end_at_the_newest_version(steps):
    """When discovery's address changes, updates of two watches interleave; neither may revert updates of the other."""
    states = {v: {f"s{k}": ("Ready" if k > v else "Terminating") for k in range(10)} for v in range(10)}
    endpoint_list = EndpointList(update(1, True, *(server(n, s) for n, s in states[1].items())))
    for version, full in steps:
        if full:
            received = update(version, True, *(server(n, s) for n, s in states[version].items()))
        else:  # the changes since the known version, as a watch sends them
            received = update(
                version,
                False,
                *(
                    server(f"s{k}", states[version][f"s{k}"])
                    for k in range(min(version, endpoint_list.version), version + 1)
                ),
            )
        before = endpoint_list.version
        event = endpoint_list.apply(received, 0)
        assert (event is None) == (version < before) and endpoint_list.version == max(before, version)
        assert {n: e.state == "terminating" for n, e in endpoint_list.entries.items()} == {
            n: s == "Terminating" for n, s in states[endpoint_list.version].items()
        }


@pytest.mark.parametrize(
    "change",
    [
        {"id": 5},
        {"zone": None},
        {"weight": True},
        {"weight": -1},
        {"started_ms": 1.5},
        {"started_ms": -1},
        {"state": None},
    ],
)
def test_invalid_entries_are_reported(change):
    received = update(1, True, server("p") | change, server("q"))
    assert [e.endpoint for e in received.entries] == ["q"] and len(received.problems) == 1


@pytest.mark.parametrize("state", [["Ready"], {"Ready": 1}])
def test_an_entry_whose_state_is_not_text_is_left_out_alone(state):
    endpoint_list = EndpointList(update(3, True, server("p"), server("q")))
    event = endpoint_list.apply(update(4, True, server("p"), server("q", state=state)), 0)
    assert {entry.endpoint for entry in event.entries} == {"p", "q"}, "the previously known entry is kept"
