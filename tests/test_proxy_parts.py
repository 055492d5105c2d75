"""The proxy's decisions: choice against weights, shunning, further tries, admission, pools, messages, kept tables."""

from __future__ import annotations

import os
import random
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick.protocols.xds.names import EDS
from damsonpick.proxy import messages as http
from damsonpick.proxy import table_cache
from damsonpick.proxy.admission import EPOCH, Admission
from damsonpick.proxy.load_balancer import LOTTERY, PAIR, WHEEL, Chooser, Row
from damsonpick.proxy.pool import Pool
from damsonpick.proxy.received_state import Holdings
from damsonpick.proxy.retry_policy import Budget, Proof, may
from fuzz.http_messages import check

SECOND = 1_000_000_000
CHI_999 = {2: 13.82, 3: 16.27, 4: 18.47, 9: 27.88}  # 99.9% points of chi square by degrees of freedom


def chi_square(counts, shares):
    total = sum(counts.values())
    return sum((counts[n] - total * s) ** 2 / (total * s) for n, s in shares.items())


@pytest.mark.parametrize("weights", [(1, 1, 1), (5, 1, 1, 3), (1000, 1, 10, 100, 333), tuple(range(1, 11))])
def test_lottery_follows_the_weights(weights):
    row = Row({f"s{k}": w for k, w in enumerate(weights)})
    chooser = Chooser(random.Random(7), LOTTERY)
    counts = Counter(chooser.choose(0, row, ()) for _ in range(100_000))
    shares = {f"s{k}": w / sum(weights) for k, w in enumerate(weights)}
    assert chi_square(counts, shares) < CHI_999[len(weights) - 1]
    assert all(abs(counts[n] / 100_000 - s) < 0.02 for n, s in shares.items())


def test_pair_without_work_out_follows_the_weights_and_with_work_takes_the_less_busy():
    row, rng = Row({"a": 1, "b": 3}), random.Random(3)
    chooser = Chooser(rng, PAIR)
    counts = Counter(chooser.choose(0, row, ()) for _ in range(100_000))
    assert abs(counts["b"] / 100_000 - 0.75) < 0.02
    chooser.out["b"] = 1  # a wins whenever it is drawn at all: 1 - (3/4)^2
    counts = Counter(chooser.choose(0, row, ()) for _ in range(100_000))
    assert abs(counts["a"] / 100_000 - 7 / 16) < 0.01


def simulate(pick, servers, load, seed, steps=40_000):
    """Mean and largest queue of equal servers with exponential service, by an independent event count."""
    rng, chooser = random.Random(seed), Chooser(random.Random(seed + 1), pick)
    row, queue, seen, worst = Row(dict.fromkeys(map(str, range(servers)), 1.0)), Counter(), [], 0
    for _ in range(steps):
        if rng.random() < load / (load + 1):
            name = chooser.choose(0, row, ())
            queue[name] += 1
            chooser.sent(name)
        else:
            name = str(rng.randrange(servers))
            if queue[name]:
                queue[name] -= 1
                chooser.ended(0, name, True)
        seen.append(sum(queue.values()) / servers)
        worst = max(worst, max(queue.values(), default=0))
    return sum(seen[steps // 4 :]) / len(seen[steps // 4 :]), worst


def test_two_choices_against_the_closed_form():
    """Mitzenmacher's fixed point: the share of servers with at least i requests is load ** (2 ** i - 1)."""
    load = 0.9
    expected = sum(load ** (2**i - 1) for i in range(1, 12))
    mean, _ = simulate(PAIR, 100, load, 5, 200_000)
    assert mean == pytest.approx(expected, rel=0.08)
    random_mean, random_worst = simulate(LOTTERY, 100, load, 5, 200_000)
    assert random_mean > 2.5 * mean and random_worst > simulate(PAIR, 100, load, 5)[1]


def test_wheel_is_even_by_weight_in_every_turn():
    row, chooser = Row({"a": 5, "b": 1, "c": 1}), Chooser(random.Random(1), WHEEL)
    seen = [chooser.choose(0, row, ()) for _ in range(70)]
    assert Counter(seen) == {"a": 50, "b": 10, "c": 10}
    assert all(Counter(seen[k : k + 7])["a"] == 5 for k in range(0, 70, 7))


def test_a_failing_server_is_shunned_for_a_drawn_time_but_never_all_at_once():
    row, chooser = Row({"a": 1, "b": 1}), Chooser(random.Random(1), PAIR, strikes=3)
    for _ in range(3):
        chooser.sent("a")
        chooser.ended(0, "a", False)
    assert {chooser.choose(1, row, ()) for _ in range(50)} == {"b"}
    assert 2 * SECOND <= chooser.shunned["a"] <= 6 * SECOND
    for _ in range(3):
        chooser.sent("b")
        chooser.ended(0, "b", False)
    assert {chooser.choose(1, row, ()) for _ in range(50)} == {"a", "b"}
    assert "a" in {chooser.choose(7 * SECOND, row, ()) for _ in range(50)}


def test_barred_and_tried_are_left_out_and_zero_weights_have_no_line():
    chooser = Chooser(random.Random(1))
    assert chooser.choose(0, Row({"a": 0, "b": 0}), ()) is None and chooser.choose(0, Row({}), ()) is None
    assert {chooser.choose(0, Row({"a": 1, "b": 1, "c": 0}), ("a",)) for _ in range(20)} == {"b"}
    assert chooser.choose(0, Row({"a": 1, "b": 1}), ("a",), {"b"}) is None
    huge = Row({"a": 1e9, "b": 1e-9})
    assert chooser.choose(0, huge, ("a",)) == "b"


@pytest.mark.parametrize(
    ("proof", "effect", "conditions", "allowed"),
    [
        (Proof.NOT_SENT, "non_idempotent", "connect-failure,refused-stream", True),
        (Proof.REFUSED, "non_idempotent", "connect-failure,refused-stream", True),
        (Proof.UNKNOWN, "non_idempotent", "connect-failure,refused-stream,5xx,reset", False),
        (Proof.RAN, "non_idempotent", "connect-failure,refused-stream,5xx,reset", False),
        (Proof.UNKNOWN, "read_like", "connect-failure,refused-stream", False),
        (Proof.UNKNOWN, "read_like", "connect-failure,refused-stream,5xx,reset", True),
        (Proof.RAN, "idempotency_key", "connect-failure,refused-stream,5xx,reset", True),
        (Proof.NOT_SENT, "read_like", "", False),
    ],
)
def test_another_try_needs_orders_and_proof(proof, effect, conditions, allowed):
    known = {"replayable": True, "left": SECOND}
    assert may(proof, conditions, 1, 1, effect, **known) is allowed
    assert not may(proof, conditions, 1, 2, effect, **known), "no more than told"
    assert not may(proof, conditions, 1, 1, effect, replayable=False, left=SECOND)
    assert not may(proof, conditions, 1, 1, effect, replayable=True, left=0)


def test_the_budget_bounds_further_tries():
    budget, made = Budget(), 0
    for _ in range(1000):
        budget.request()
        made += budget.take()
    assert 200 <= made <= 211


def test_who_is_refused_is_refused_again_and_shares_are_kept():
    admission = Admission(12345)
    clients = [f"c{k}" for k in range(20_000)]
    first = [admission.admit(0, 0.3, "page", c) for c in clients]
    assert abs(sum(first) / len(first) - 0.3) < 0.02
    assert first == [admission.admit(SECOND // 2, 0.3, "page", c) for c in clients]
    assert all(admission.admit(0, 0.5, "page", c) for c, was in zip(clients, first, strict=True) if was)
    later = [admission.admit(3 * EPOCH, 0.3, "page", c) for c in clients]
    assert later != first and abs(sum(later) / len(later) - 0.3) < 0.02
    assert 1 <= admission.retry_after(0) <= 10
    assert admission.admit(0, 1.0, "page", "x") and not admission.admit(0, 0.0, "page", "x")


def test_pools_are_bounded_by_server_and_idle_ones_make_room():
    pool = Pool(2, 1, 100.0, SECOND)
    assert pool.make(1, "a") and pool.make(1, "a") and not pool.make(1, "a") and pool.make(1, "b")
    assert pool.wait("a", "w1") and not pool.wait("a", "w2")
    assert pool.give(2, "a", "wire") == "w1" and pool.take(2, "a", SECOND) == "wire"
    pool.give(3, "a", "wire")
    assert pool.take(3 + SECOND // 2, "a", SECOND // 4) is None, "too old for a write"
    assert pool.spare("a") == "wire" and pool.make(4, "a")
    assert pool.counts()["a"][0] == 2


def test_new_connections_come_at_a_bounded_rate():
    pool, now, made = Pool(1000, 10, 10.0, SECOND), SECOND, 0
    for _ in range(200):
        now += 10_000_000
        if pool.make(now, "a"):
            made += 1
            pool.give(now, "a", None)
    assert 28 <= made <= 31


def test_idle_connections_expire_and_dropped_servers_keep_none():
    pool = Pool(4, 1, 100.0, SECOND)
    for name in ("x", "y"):
        pool.make(1, "a")
        pool.give(1, "a", name)
    assert pool.drop("a") == ["x", "y"]
    pool.make(1, "a")
    pool.give(1, "a", "z")
    assert pool.expired(3 * SECOND) == ["z"] and pool.counts() == {}


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
    with pytest.raises(http.BadMessage) as error:
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
    """Whatever comes: events or BadMessage; and however it is cut, the same requests are seen."""
    data = b"".join(parts)

    def seen(step):
        try:
            return [(e.start, e.length, e.chunked) for e in whole(data, requests, step) if isinstance(e, http.Head)]
        except http.BadMessage:
            return None

    if data:
        one, other = seen(None), seen(cut)
        assert one == other or None in (one, other)


def test_headers_of_one_hop_are_not_passed_on():
    head = whole(
        b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Own\r\nX-Own: 1\r\nTE: trailers\r\nX-B: 2\r\n\r\n"
    )[0]
    assert http.forwardable(head) == [(b"host", b"a"), (b"x-b", b"2")] and not head.keep


# -- kept tables


def filled():
    from damsonpick import interface as api
    from damsonpick.protocols.xds.resources import Catalogue
    from damsonpick.state.published_tables import PublishedTables

    published = PublishedTables(("page",), 2)
    published.apply([api.SetEntry(0, "127.0.0.1:1", 1.0), api.SetEntry(1, "127.0.0.1:2", 2.0)])
    catalogue = Catalogue.__new__(Catalogue)
    catalogue.published, catalogue.zone_of = published, lambda n: "a"
    return {EDS: {f"slice/{n}": (str(n), catalogue._slice(n).SerializeToString()) for n in (0, 1)}}


def test_kept_tables_come_back_and_damaged_ones_are_refused(tmp_path):
    path, bodies = tmp_path / "p.tables", filled()
    assert table_cache.load(path, Holdings()) == 0
    table_cache.save(path, bodies)
    holdings = Holdings()
    assert table_cache.load(path, holdings) == 2 and holdings.tables["slice/1"].lines == {"127.0.0.1:2": (2000, "a")}
    whole_file = path.read_bytes()
    rng = random.Random(4)
    for _ in range(60):
        data = bytearray(whole_file)
        data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        path.write_bytes(data)
        fresh = Holdings()
        with pytest.raises(table_cache.Damaged):
            table_cache.load(path, fresh)
        assert not fresh.tables
    for size in (0, 1, 17, len(whole_file) - 1):
        path.write_bytes(whole_file[:size])
        with pytest.raises(table_cache.Damaged):
            table_cache.load(path, Holdings())
    assert os.listdir(tmp_path) == ["p.tables"]


@pytest.mark.parametrize("path", sorted(Path("fuzz/corpus/http").iterdir()), ids=lambda p: p.name)
def test_corpus_of_the_fuzzer_whole_and_with_every_byte_changed(path):
    """What `python -m fuzz.http_messages` began from: one look by two parsers, wherever the bytes are cut."""
    data, rng = path.read_bytes(), random.Random(path.name)
    check(data)
    for place in range(len(data)):
        changed = bytearray(data)
        changed[place] = rng.choice((0, 10, 13, 32, 48, 58, changed[place] ^ 1 << rng.randrange(8)))
        check(bytes(changed))
