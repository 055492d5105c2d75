"""The endpoint list in a file and over EDS: both contain the same entries, and errors name the place and the remedy."""

from __future__ import annotations

import pytest
from envoy.service.discovery.v3 import discovery_pb2

from damsonpick.protocols import list_file
from damsonpick.protocols.xds import endpoint_list_client
from damsonpick.protocols.xds.names import EDS, slice_of
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


@pytest.mark.parametrize("started", ["²", "-", "1.5", "9" * 5000])
def test_a_start_that_is_no_number_is_an_error_of_the_list(started):
    """Regression: such values ended the daemon.

    A superscript digit passes a check for digits, and a number with 5000 digits cannot be parsed.
    """
    assignment = endpoint_list_client.write_entries("servers", [entry("127.0.0.1:9001")])
    metadata = assignment.endpoints[0].lb_endpoints[0].metadata
    metadata.filter_metadata["damsonpick"].update({"started": started})
    with pytest.raises(ListError, match="write nanoseconds as text"):
        endpoint_list_client.read_entries(assignment)


def test_a_resource_that_cannot_be_decoded_is_an_error_of_the_list():
    response = discovery_pb2.DiscoveryResponse()
    response.resources.add(type_url=EDS, value=b"\xff\xff\xff")
    with pytest.raises(ListError, match="though it says so"):
        endpoint_list_client._unpack_all(response)


def test_a_superscript_digit_is_no_slice():
    assert slice_of("slice/7") == 7 and slice_of("slice/²") < 0
