"""Tests of parts of the proxy without sockets: connection pools, HTTP messages and the table cache."""

from __future__ import annotations

import os
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick.protocols.xds.names import EDS
from damsonpick.proxy import messages as http
from damsonpick.proxy import table_cache
from damsonpick.proxy.pool import ConnectionPool
from damsonpick.proxy.received_state import ReceivedState
from fuzz.http_messages import check

SECOND = 1_000_000_000


def test_pools_are_bounded_by_server_and_idle_ones_make_room():
    pool = ConnectionPool(2, 1, 100.0, SECOND)
    assert (
        pool.reserve_new(1, "a")
        and pool.reserve_new(1, "a")
        and not pool.reserve_new(1, "a")
        and pool.reserve_new(1, "b")
    )
    assert pool.enqueue("a", "w1") and not pool.enqueue("a", "w2")
    assert pool.release(2, "a", "connection") == "w1" and pool.acquire_idle(2, "a", SECOND) == "connection"
    pool.release(3, "a", "connection")
    assert pool.acquire_idle(3 + SECOND // 2, "a", SECOND // 4) is None, "idle for too long to be reused for a write"
    assert pool.evict_idle("a") == "connection" and pool.reserve_new(4, "a")
    assert pool.counts()["a"].open == 2


def test_new_connections_come_at_a_bounded_rate():
    pool, now, opened = ConnectionPool(1000, 10, 10.0, SECOND), SECOND, 0
    for _ in range(200):
        now += 10_000_000
        if pool.reserve_new(now, "a"):
            opened += 1
            pool.release(now, "a", None)
    assert 28 <= opened <= 31


def test_idle_connections_expire_and_dropped_servers_keep_none():
    pool = ConnectionPool(4, 1, 100.0, SECOND)
    for name in ("x", "y"):
        pool.reserve_new(1, "a")
        pool.release(1, "a", name)
    assert pool.pop_idle("a") == ["x", "y"]
    pool.reserve_new(1, "a")
    pool.release(1, "a", "z")
    assert pool.pop_expired(3 * SECOND) == ["z"] and pool.counts() == {}


# -- messages


def whole(data, requests=True, cut=None):
    reader, events = http.Reader(requests), []
    for k in range(0, len(data), cut or len(data)):
        events += reader.feed(data[k : k + (cut or len(data))])
    return events


GOOD = b"POST /x?y HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n"


@pytest.mark.parametrize("cut", [None, 1, 2, 7])
@pytest.mark.parametrize("data", [GOOD, CHUNKED, GOOD + GOOD, CHUNKED + GOOD])
def test_messages_are_read_however_they_are_cut(data, cut):
    events = whole(data, cut=cut)
    heads = [e for e in events if isinstance(e, http.Head)]
    assert len(heads) == data.count(b"HTTP/1.1")
    assert b"".join(e.data for e in events if isinstance(e, http.Body)) == b"hello" * len(heads)
    assert sum(isinstance(e, http.End) for e in events) == len(heads)
    if data == CHUNKED:
        assert events[-1].trailers == [(b"x-t", b"1")] and heads[0].length is None


SMUGGLED = {
    "two lengths": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    "same length twice": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
    "length and chunked": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "list of lengths": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\nhello",
    "signed length": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello",
    "hidden coding": b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
    "coding with a tab": b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\tchunked, x\r\n\r\n0\r\n\r\n",
    "bare LF": b"POST / HTTP/1.1\nHost: a\nContent-Length: 0\n\n",
    "one bare LF": b"POST / HTTP/1.1\r\nHost: a\r\nX: 1\nContent-Length: 5\r\n\r\nhello",
    "bare CR": b"POST / HTTP/1.1\r\nHost: a\r\nX: 1\rContent-Length: 5\r\n\r\nhello",
    "folded": b"POST / HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 5\r\n\r\nhello",
    "space before colon": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "no name": b"GET / HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n",
    "zero byte": b"GET / HTTP/1.1\r\nHost: a\r\nX: a\0b\r\n\r\n",
    "bad chunk": b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\nhello\r\n",
    "chunk with a bare LF": b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
    "upgrade": b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n",
    "not HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    "huge head": b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 40_000 + b"\r\n\r\n",
}


@pytest.mark.parametrize("name", SMUGGLED)
@pytest.mark.parametrize("cut", [None, 1])
def test_what_could_be_read_two_ways_is_refused(name, cut):
    with pytest.raises(http.HttpProtocolError) as error:
        whole(SMUGGLED[name], cut=cut)
    assert error.value.status in (400, 431, 501)


PARTS = st.lists(
    st.sampled_from(
        [
            b"GET / HTTP/1.1\r\n",
            b"POST /a HTTP/1.1\r\n",
            b"Host: a\r\n",
            b"Content-Length: 3\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"\r\n",
            b"abc",
            b"3\r\nabc\r\n",
            b"0\r\n\r\n",
            b"\n",
            b"\r",
            b" ",
            b"\0",
            b"Expect: 100-continue\r\n",
            b"Connection: close\r\n",
            b"X: y\r\n",
            b"\xff\xfe",
        ]
    )
    | st.binary(max_size=12),
    max_size=14,
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(PARTS, st.booleans(), st.integers(1, 50))
def test_odd_bytes_never_crash_the_reader_and_lengths_agree(parts, requests, cut):
    """Whatever comes: events or HttpProtocolError; and however it is cut, the same requests are seen."""
    data = b"".join(parts)

    def seen(step):
        try:
            return [(e.start, e.length, e.chunked) for e in whole(data, requests, step) if isinstance(e, http.Head)]
        except http.HttpProtocolError:
            return None

    if data:
        one, other = seen(None), seen(cut)
        assert one == other or None in (one, other)


def test_headers_of_one_hop_are_not_passed_on():
    head = whole(
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Own\r\nX-Own: 1\r\nTE: trailers\r\nX-B: 2\r\n\r\n"
    )[0]
    assert http.forwardable_headers(head) == [(b"host", b"a"), (b"x-b", b"2")] and not head.keep_alive


# -- table cache


def serialized_tables():
    from damsonpick import interface as api
    from damsonpick.protocols.xds.assignment_builder import AssignmentBuilder
    from damsonpick.state.published_tables import PublishedTables

    published = PublishedTables(("page",), 2)
    published.apply([api.SetEntry(0, "127.0.0.1:1", 1.0), api.SetEntry(1, "127.0.0.1:2", 2.0)])
    builder = AssignmentBuilder(published, lambda n: "a")
    return {EDS: {f"slice/{n}": (str(n), builder.build_slice(n).SerializeToString()) for n in (0, 1)}}


def test_cached_tables_are_restored_and_damaged_files_are_rejected(tmp_path):
    path, bodies = tmp_path / "p.tables", serialized_tables()
    assert table_cache.load(path, ReceivedState()) == 0
    table_cache.save(path, bodies)
    received_state = ReceivedState()
    assert table_cache.load(path, received_state) == 2
    assert received_state.tables["slice/1"].entries == {"127.0.0.1:2": (2000, "a")}
    whole_file = path.read_bytes()
    rng = random.Random(4)
    for _ in range(60):
        data = bytearray(whole_file)
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        path.write_bytes(data)
        fresh = ReceivedState()
        with pytest.raises(table_cache.TableCacheError):
            table_cache.load(path, fresh)
        assert not fresh.tables
    for size in (0, 1, 17, len(whole_file) - 1):
        path.write_bytes(whole_file[:size])
        with pytest.raises(table_cache.TableCacheError):
            table_cache.load(path, ReceivedState())
    assert os.listdir(tmp_path) == ["p.tables"]


@pytest.mark.parametrize("path", sorted(Path("fuzz/corpus/http").iterdir()), ids=lambda p: p.name)
def test_corpus_of_the_fuzzer_whole_and_with_every_byte_changed(path):
    """The corpus of `python -m fuzz.http_messages`: two parsers agree, wherever the bytes are split."""
    data, rng = path.read_bytes(), random.Random(path.name)
    check(data)
    for index in range(len(data)):
        changed = bytearray(data)
        changed[index] = rng.choice((0, 10, 13, 32, 48, 58, changed[index] ^ 1 << rng.randrange(8)))
        check(bytes(changed))
