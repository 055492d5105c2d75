"""Digests of named versions, and the root statements of delta responses."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import RANGE_COUNT, Digest, names_in_ranges, range_of

names = st.dictionaries(st.text("abc/", min_size=1, max_size=6), st.text("0123", min_size=1, max_size=4), max_size=30)


@given(names, names)
def test_digest_after_changes_equals_that_of_the_whole(before, after):
    digest = Digest(before)
    for name in {**before, **after}:
        digest.change(name, before.get(name, ""), after.get(name, ""))
    assert digest.root() == Digest(after).root()
    differing = {range_of(n) for n in {**before, **after} if before.get(n) != after.get(n)}
    assert set(Digest(after).differing_ranges(Digest(before).range_sums())) == differing
    assert (digest.root() == Digest(before).root()) == (before == after)


def test_text_that_is_no_digest_is_rejected():
    with pytest.raises(ValueError, match="1024 hex digits"):
        Digest().differing_ranges("abc")
    assert names_in_ranges(["a", "b"], range(RANGE_COUNT)) == ["a", "b"] and names_in_ranges(["a"], []) == []


def test_root_statements_and_mismatches_are_parsed_as_written():
    for statement in (
        root_statement.RootStatement("0" * 32, "f" * 32),
        root_statement.RootStatement("0" * 32, "f" * 32, (1, 63)),
    ):
        assert root_statement.parse(statement.text()) == statement
    for text in ("", "some control plane", "from=1 to=2", "from=" + "0" * 32):
        assert root_statement.parse(text) is None
    error_text = root_statement.mismatch_text("a" * 32, "b" * 32, Digest().range_sums())
    assert (
        root_statement.mismatch_range_sums(error_text) == Digest().range_sums()
        and "a" * 32 in error_text
        and "b" * 32 in error_text
    )
    assert root_statement.mismatch_range_sums("weights over the limit") is None
