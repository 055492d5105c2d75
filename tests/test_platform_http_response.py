"""Tests of decoding the HTTP responses of the registry and discovery."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damsonpick.protocols.platform.errors import TransportError
from damsonpick.protocols.platform.http_response import ResponseReader


@given(st.integers(1, 80))
def test_chunked_lines_cut_anywhere(size):
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}\n\nx\r\n4\r\nyz\n\n\r\n"
    reader, lines = ResponseReader(), []
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
        lines += reader.take_lines()
    assert lines == [b"{}", b"", b"xyz", b""] and reader.status() == 200 and not reader.complete


def test_a_response_without_end_is_given_up():
    reader = ResponseReader(100)
    with pytest.raises(TransportError, match="over 100"):
        reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"x" * 101)
