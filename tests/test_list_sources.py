"""The endpoint list as a file and over EDS: both carry the same entries, and errors name place and remedy."""

from __future__ import annotations

import pytest

from damsonpick.protocols import list_file
from damsonpick.protocols.xds import endpoint_list_client
from damsonpick.state.endpoint_list.sources import ListError
from tests.helpers import entry


def test_list_file_and_upstream_carry_the_same_entries():
    entries = [
        entry("127.0.0.1:9001", "terminating", 6.0, 1_800_000_000_123_456_789, "b"),
        entry("[::1]:9002", weight=3.0),
    ]
    assert list_file.parse(list_file.render(entries)) == entries
    assignment = endpoint_list_client.write_entries("servers", entries)
    assert sorted(endpoint_list_client.read_entries(assignment)) == sorted(entries)


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("[machine x]\nzone=a", "is no section of a list"),
        ("[server nowhere]\nzone=a", "write IP:PORT"),
        ("[server 127.0.0.1:1]\n", "zone is missing"),
        ("[server 127.0.0.1:1]\nzone=a\nweight=heavy", "write a number"),
        ("[server 127.0.0.1:1]\nzone=a\ncolour=red", "no such key"),
        ("zone=a", "section"),
    ],
)
def test_list_file_errors_name_place_and_remedy(text, part):
    with pytest.raises(ListError, match=part):
        list_file.parse(text, "servers.ini")
