"""The sans-I/O parts of the edge: frames, messages, orders, relay, discovery, door."""

from __future__ import annotations

import contextlib
import itertools
import json
import random
from pathlib import Path

import anyio
import pytest
import structlog
from hypothesis import example, given, settings
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.protocols.platform import config, connection_limiter, discovery, framing, http_client, messages
from damsonpick.protocols.platform.pending_orders import MOST_BYTES, Orders, apply, read_answer
from damsonpick.protocols.platform.registry import SHUT_MOST, Registry, Standing
from damsonpick.protocols.platform.watch_client import Follower
from damsonpick.testing.fakes.discovery import Catalogue
from fuzz import edge_messages
from tests import helpers
from tests.edge_world import config as config_file

REPORTS = messages.Reports(helpers.settings(), ("a", "b"))
JOIN = framing.frame(b'{"@type":"telemetry","zone":"a"}')
REPORT = framing.frame(
    b'{"@type":"upstream_stats","zone":"a","server":"p","tries":4,"failed":1,"mean_ms":2.5,"span_ms":1000.0}'
)


@given(st.lists(st.binary(min_size=2, max_size=300), max_size=6), st.lists(st.integers(1, 50), max_size=60))
def test_frames_cut_anywhere_give_the_same_messages(bodies, cuts):
    data, reader, got = b"".join(map(framing.frame, bodies)), framing.Frames(), []
    places = [0, *sorted({min(sum(cuts[:k]), len(data)) for k in range(1, len(cuts) + 1)}), len(data)]
    for start, end in itertools.pairwise(places):
        reader.feed(data[start:end])
        while (body := reader.next()) is not None:
            got.append(body)
    assert got == bodies


@pytest.mark.parametrize("size", [0, 1, framing.MOST + 1, 0xFFFFFFFF])
def test_a_length_that_cannot_be_is_seen_before_the_body(size):
    reader = framing.Frames()
    reader.feed(size.to_bytes(4, "little"))
    with pytest.raises(framing.FrameError):
        reader.next()


@given(st.binary(max_size=200))
def test_no_bytes_raise_anything_but_what_is_promised(body):
    for read in (messages.decode, messages.decode_news, discovery.decode, config.parse):
        with contextlib.suppress(messages.Spoilt, messages.Unreadable, discovery.ListingError, config.ConfigError):
            read(body)


@pytest.mark.parametrize("body", [b'{"a":' * 5000, b"[" * 5000, b"1" * 5000])
def test_deep_and_huge_json_is_unreadable_not_an_error(body):
    with pytest.raises((messages.Spoilt, messages.Unreadable)):
        messages.decode(body)


def test_more_failures_than_requests_are_news_of_a_slice_and_nonsense_of_a_server():
    slice_ = messages.decode(b'{"@type":"range_stats","slice":1,"class":"cheap","tries":0,"failed":2,"span_ms":1}')
    assert REPORTS.event(slice_) == api.SliceDemand(1, "cheap", 0, 2, 1_000_000)
    server = messages.decode(b'{"@type":"upstream_stats","zone":"a","server":"p","tries":0,"failed":2,"span_ms":1}')
    with pytest.raises(messages.Spoilt, match="failed"):
        REPORTS.event(server)


# -- the door


def test_what_came_before_an_offence_counts():
    caller = connection_limiter.Caller(REPORTS)
    with pytest.raises(connection_limiter.Turned) as turned:
        caller.feed(5, JOIN + REPORT + b"\0\0\0\0")
    assert [e.endpoint for e in turned.value.heard.events] == ["p"] and caller.zone == "a"


@given(st.integers(1, len(JOIN + REPORT) - 1))
def test_a_join_and_a_report_in_two_pieces(cut):
    caller, data = connection_limiter.Caller(REPORTS), JOIN + REPORT
    events = caller.feed(1, data[:cut]).events + caller.feed(2, data[cut:]).events
    assert len(events) == 1 and caller.zone == "a"


def test_the_door_lets_the_oldest_stranger_go_and_keeps_two_collectors_a_zone():
    made = connection_limiter.Door(132)
    callers = [connection_limiter.Caller(REPORTS) for _ in range(made.most + 1)]
    callers[0].feed(0, JOIN)
    gone = [made.enter(n, c) for n, c in enumerate(callers)]
    assert gone[:-1] == [None] * made.most and gone[-1] is callers[1]
    for at, caller in enumerate(callers[2:4], 100):
        caller.feed(at, JOIN)
        again = made.joined(caller)
    assert again == [callers[0]]


# -- orders

MODEL = st.one_of(
    st.builds(api.SetEntry, st.integers(0, 2), st.sampled_from("pq"), st.sampled_from([0.0, 1.0, 2.0])),
    st.builds(api.SetWithdrawn, st.sampled_from("pq"), st.booleans()),
    st.builds(lambda level: api.SetAdmission(None, (0,), level, 1), st.sampled_from([0.5, 1.0])),
    st.builds(api.ClearTable, st.integers(0, 2)),
    st.builds(api.RequestSync, st.integers(0, 9), st.just(True)),
)


class Store:
    """What orders come to, carried out in order."""

    def __init__(self) -> None:
        self.state: dict = {}

    def do(self, order) -> None:
        if isinstance(order, api.SetEntry):
            self.state[order.table, order.endpoint] = order.weight
        elif isinstance(order, api.SetWithdrawn):
            self.state[order.endpoint] = order.withdrawn
        elif isinstance(order, api.SetAdmission):
            self.state["level"] = order.level
        elif isinstance(order, api.ClearTable):
            self.state |= {k: 0.0 for k in self.state if isinstance(k, tuple) and k[0] == order.table}

    def lines(self) -> dict:
        return {k: v for k, v in self.state.items() if v}


@settings(max_examples=300)
@given(
    st.lists(
        st.tuples(st.lists(MODEL, max_size=4), st.sampled_from(["taken", "lost", "cut", "busy", "part"])), max_size=12
    )
)
def test_any_outcomes_end_in_the_wanted_state(steps):
    orders, wanted, store, marks = Orders(("x",)), Store(), Store(), []
    for pushed, outcome in [*steps, ([], "taken"), ([], "taken"), ([], "taken")]:
        orders.push(pushed)
        for order in pushed:
            wanted.do(order)
            marks = [order.token] if isinstance(order, api.RequestSync) else marks
        call = orders.call()
        if call is None:
            continue
        half, count = len(call.orders) // 2, len(call.orders)
        if outcome == "part":  # the relay refuses what names an endpoint it does not know
            count = next((k for k in range(half, count) if isinstance(call.orders[k], api.SetEntry)), count)
        if outcome in ("taken", "lost", "part"):
            for order in call.orders[:count]:
                store.do(order)
        if outcome in ("taken", "part"):
            _, refused = orders.taken(call.orders, count)
            if refused is not None:  # it is given up by itself, and nobody wants it any more
                wanted.state[refused.table, refused.endpoint] = store.state.get((refused.table, refused.endpoint))
    assert not orders.waiting and store.lines() == wanted.lines()


def test_a_call_is_cut_between_orders_and_marks_go_last():
    orders = Orders(("x",), shift=70)
    orders.push([api.SetEntry(n, "s-" + "x" * 80, 1.0) for n in range(1000)] + [api.RequestSync(3, True)])
    first = orders.call()
    assert len(first.body) <= MOST_BYTES and 0 < len(first.orders) < 1000
    while (last := orders.call()).orders != tuple(orders):
        orders.taken(last.orders, len(last.orders))
    assert json.loads(last.body)["ops"][-1] == {"op": "SYNC", "nonce_out": 73, "on": 1} and orders.mark_of(73) == 3


TARGETS = st.lists(
    st.tuples(
        st.integers(0, 1),
        st.sets(st.sampled_from("pqrs"), min_size=1),
        st.sampled_from(["taken", "lost", "cut", "wait"]),
        st.integers(1, 4),
    ),
    max_size=14,
)


@settings(max_examples=400)
@given(TARGETS)
def test_no_table_is_bare_between_the_orders_of_any_steps(steps):
    """Make before break, as the module orders it, wherever a call is cut and whether it is carried out or not."""
    orders, store = Orders(("x",)), {0: {"p": 1.0}, 1: {"q": 1.0}}
    believed = {n: set(lines) for n, lines in store.items()}
    for table, target, outcome, length in [*steps, *((n, {"s"}, "taken", 99) for n in (0, 1))]:
        adds, gone = sorted(target - believed[table]), sorted(believed[table] - target)
        orders.push([*(api.SetEntry(table, n, 1.0) for n in adds), *(api.SetEntry(table, n, 0.0) for n in gone)])
        believed[table] = set(target)
        call = tuple(orders)[:length]
        if outcome in ("taken", "lost"):
            for order in call:
                apply(store[order.table], order)
                assert store[order.table], (order, call)
        if outcome == "taken":
            orders.taken(call, len(call))
    assert not orders.waiting and store == {0: {"s": 1.0}, 1: {"s": 1.0}}


def test_what_is_ordered_last_holds_and_an_endpoint_is_let_in_behind_its_lines():
    orders = Orders(("x", "y"))
    orders.push([api.SetAdmission(3, (0,), 0.5, 1), api.SetAdmission(None, (0,), 0.2, 1), api.SetWithdrawn("p", True)])
    orders.push([api.SetEntry(1, "q", 1.0), api.SetEntry(1, "p", 0.0), api.SetAdmission(3, (0,), 0.9, 1)])
    orders.push([api.SetWithdrawn("p", False), api.RequestSync(4, True)])
    assert tuple(orders) == (
        api.SetAdmission(None, (0,), 0.2, 1),
        api.SetEntry(1, "q", 1.0),
        api.SetEntry(1, "p", 0.0),
        api.SetAdmission(3, (0,), 0.9, 1),
        api.SetWithdrawn("p", False),
        api.RequestSync(4, True),
    )
    orders.push([api.SetWithdrawn("p", True)])
    assert tuple(orders)[4] == api.SetWithdrawn("p", True)


class Charge:
    """A relay with one slice that is given and withdrawn, its news on their way, and a module that wants lines."""

    def __init__(self) -> None:
        self.owned, self.store, self.coming = True, {"p": 1.0}, []
        self.orders = Orders(("x",))
        self.registry = Registry(self.orders, 1, 2)
        self.believed: dict[str, float] | None = None
        self.wanted = "p"
        self.call = self.charges = self.carried = None
        self.hear(self.registry.reconcile(standing(t1="p")))

    def hear(self, events) -> None:
        for event in events:
            if isinstance(event, api.SliceOwnershipChanged):
                self.believed = {} if event.owned else None
            elif isinstance(event, api.StoredEntry):
                self.believed[event.endpoint] = event.weight
        self.decide()

    def decide(self) -> None:
        if self.believed is not None and self.believed != {self.wanted: 1.0}:
            gone = [n for n in self.believed if n != self.wanted]
            self.orders.push([api.SetEntry(1, self.wanted, 1.0), *(api.SetEntry(1, n, 0.0) for n in gone)])
            self.believed = {self.wanted: 1.0}

    def step(self, what: str) -> None:
        if what == "off" and self.owned:
            self.owned = False
            self.coming.append(messages.Owner(1, False))
        elif what == "on" and not self.owned:  # somebody else has had it meanwhile
            self.owned, self.store = True, {"r": 1.0} if len(self.coming) % 2 else dict(self.store)
            self.coming += [messages.Owner(1, True), *(messages.Entry(1, n, w) for n, w in self.store.items())]
        elif what == "news" and self.coming:
            self.hear(self.registry.news(self.coming.pop(0)))
        elif what in "pq":
            self.wanted = what
            self.decide()
        elif what == "call" and self.call is None and (call := self.orders.call()):
            self.call, self.charges, self.carried = call, self.registry.charges, False
        elif what == "carry" and self.call is not None and not self.carried:
            self.carried = True
            for order in self.call.orders:
                if self.owned:
                    apply(self.store, order)
        elif what in ("answer", "lose") and self.call is not None:
            call, self.call = self.call, None
            if what == "answer" and self.carried:
                stand, _ = self.orders.taken(call.orders, len(call.orders))
                self.registry.carried_out(stand, self.charges)
            self.registry.unsure(call.orders, self.charges)


STEPS = st.lists(st.sampled_from(["off", "on", "news", "p", "q", "call", "carry", "answer", "lose"]), max_size=40)


@settings(max_examples=1500, deadline=None)
@example(["off", "on", "q", "p", "call", "carry", "q", "answer"])
@given(STEPS)
def test_what_stands_is_what_is_believed_after_any_order_of_news_and_outcomes(steps):
    world = Charge()
    for step in steps:
        world.step(step)
    for step in [*["news"] * 40, *["carry", "answer", "call", "news"] * 4]:
        world.step(step)
    world.hear(world.registry.news(messages.Beat()))  # one a second; it comes behind all that was told
    for step in ["call", "carry", "answer"] * 2:
        world.step(step)
    if world.owned:
        assert world.store == {world.wanted: 1.0} == world.registry.tables[1] and not world.orders.waiting


def test_orders_of_an_earlier_charge_do_not_come_to_life_in_a_later_one():
    orders = Orders(("x",))
    registry = Registry(orders, 4, 4)
    registry.news(messages.Owner(1, True))
    orders.push([api.SetEntry(1, "p", 1.0), api.SetEntry(2, "p", 1.0)])
    registry.news(messages.Owner(1, False))
    assert [o.table for o in orders] == [2]


@pytest.mark.parametrize(
    "body, most, answer",
    [
        (b'{"taken":2}', 3, (2, "")),
        (b'{"taken":4}', 3, None),
        (b'{"taken":-1}', 3, None),
        (b'{"taken":true}', 3, None),
        (b'{"taken":"2"}', 3, None),
        (b"{}", 3, None),
        (b"", 3, None),
        (b'{"error":"BUSY"}', 3, (None, "BUSY")),
        (b'{"error":{"code":"SYNTAX"}}', 3, (None, "SYNTAX")),
        (b"[" * 9000, 3, None),
    ],
)
def test_answers(body, most, answer):
    assert read_answer(body, most) == answer


# -- the relay's news


def standing(members=(), **tables) -> Standing:
    made = Standing()
    for proxy, fresh in members:
        made.take(messages.Attach(proxy, "a", fresh))
    for name, lines in tables.items():
        made.take(messages.Owner(int(name[1:]), True))
        for server in lines:
            made.take(messages.Entry(int(name[1:]), server, 1.0))
    return made


def test_what_stands_after_a_break_is_told_as_the_difference():
    registry = Registry(Orders(("x",)), 8, 8)
    registry.reconcile(standing([(0, True), (1, True)], t1="p", t2="q", t3="r"))
    events = registry.reconcile(standing([(1, True), (2, False)], t1="p", t2="pq"))
    assert events == [
        api.SliceOwnershipChanged(3, False),
        api.SliceOwnershipChanged(2, True),
        api.StoredEntry(2, "p", 1.0),
        api.StoredEntry(2, "q", 1.0),
        api.ProxyLeft(0),
        api.ProxyLeft(1),
        api.ProxyJoined(1, "a", 0.0, False),
        api.ProxyJoined(2, "a", 0.0, False),
    ]


def test_a_watch_that_follows_another_without_a_gap_tells_only_who_stands_differently():
    registry = Registry(Orders(("x",)), 8, 8)
    registry.reconcile(standing([(0, True), (1, True), (2, False)], t1="p"))
    events = registry.reconcile(standing([(0, True), (1, False), (3, True)], t1="p"), gap=False)
    assert events == [
        api.ProxyLeft(1),
        api.ProxyLeft(2),
        api.ProxyJoined(1, "a", 0.0, False),
        api.ProxyJoined(3, "a", 0.0, True),
    ]
    assert set(registry.members) == {0, 1, 3}


def test_what_a_call_of_unknown_outcome_changed_is_no_difference():
    orders = Orders(("x",))
    registry = Registry(orders, 8, 8)
    registry.reconcile(standing(t1="p"))
    orders.push([api.SetEntry(1, "q", 1.0), api.SetEntry(1, "p", 0.0)])
    orders.call()
    assert registry.reconcile(standing(t1="q")) == [] == registry.reconcile(standing(t1="p"))


def test_news_of_what_is_not_joined_or_known_already_are_nothing():
    registry = Registry(Orders(("x",)), 8, 8)
    registry.reconcile(standing([(0, True)], t1="p"))
    for news in (
        messages.Done(5, 1),
        messages.Detach(5),
        messages.Entry(1, "p", 1.0),
        messages.Entry(7, "p", 1.0),
        messages.Attach(99, "a", True),
        messages.Owner(99, True),
    ):
        assert registry.news(news) == []
    assert registry.news(messages.Attach(0, "a", True))[0] == api.ProxyLeft(0)


def test_what_the_registry_keeps_of_withdrawals_is_bounded():
    registry = Registry(Orders(("x",)), 8, 8)
    for k in range(3 * SHUT_MOST):
        registry.carried_out((api.SetWithdrawn(f"s{k}", True),))
    assert len(registry.shut) == SHUT_MOST and f"s{3 * SHUT_MOST - 1}" in registry.shut


def test_a_planner_begun_anew_is_told_withdrawals_and_levels_that_wait():
    orders = Orders(("x", "y"))
    registry = Registry(orders, 8, 8)
    registry.carried_out(
        (api.SetWithdrawn("p", True), api.SetWithdrawn("q", True), api.SetAdmission(None, (0, 1), 0.9, 1))
    )
    orders.push([api.SetWithdrawn("r", True), api.SetWithdrawn("q", False), api.SetAdmission(None, (1,), 0.4, 1)])
    assert registry.begin() == [api.FleetRestored((0.9, 0.4), ("p", "r"), 0.0, 0.0)]


def test_a_planner_begun_anew_is_told_what_stands_and_what_was_ordered():
    registry = Registry(Orders(("x", "y")), 8, 8)
    registry.reconcile(standing([(0, True)], t1="p"))
    registry.carried_out((api.SetWithdrawn("p", True), api.SetAdmission(None, (1,), 0.5, 1), api.SetEntry(1, "q", 1.0)))
    events = registry.begin()
    assert api.FleetRestored((1.0, 0.5), ("p",), 0.0, 0.0) in events and api.StoredEntry(1, "q", 1.0) in events
    assert events[-1] == api.ProxyJoined(0, "a", 0.0, False)


# -- discovery


def listing(version: int, full: bool, *servers: dict) -> discovery.Listing:
    return discovery.read_listing({"version": version, "full": full, "servers": list(servers)})


def server(name: str, state: str = "Ready", **more) -> dict:
    return {"id": name, "zone": "a", "state": state, "weight": 1.0, "started_ms": 0} | more


def test_lists_bind_at_once_and_spoilt_entries_cost_only_themselves():
    endpoint_list = discovery.EndpointList(listing(3, True, server("p"), server("q"), server("r")))
    event = endpoint_list.take(listing(5, True, server("p"), server("q", state="Odd")), 0)
    assert event.kind == "replace" and {e.endpoint for e in event.entries} == {"p", "q"}
    event = endpoint_list.take(listing(6, False, server("p", "Gone"), server("s", started_ms=7)), 0)
    assert (
        event.kind == "update"
        and set(endpoint_list.entries) == {"q", "s"}
        and endpoint_list.entries["s"].started == 7_000_000
    )


def test_an_older_copy_of_the_list_brings_nothing_back_unless_no_newer_one_comes():
    second = 1_000_000_000
    endpoint_list = discovery.EndpointList(listing(3, True, server("p"), server("q")), 10 * second)
    endpoint_list.take(listing(6, False, server("p", "Gone"), server("q", "Terminating")), 0)
    for made in (listing(3, True, server("p"), server("q")), listing(5, False, server("p"))):
        assert endpoint_list.take(made, second) is None
    assert (
        endpoint_list.entries["q"].state == "terminating"
        and "p" not in endpoint_list.entries
        and endpoint_list.since() == 6
    )
    assert endpoint_list.take(listing(6, True, server("q", "Terminating")), 8 * second).kind == "replace"
    assert endpoint_list.take(listing(4, False), 9 * second) is None  # the patience begins anew
    with pytest.raises(discovery.ListingError, match="version 4 after 6"):
        endpoint_list.take(listing(4, False), 19 * second)
    assert endpoint_list.since() == 0
    assert endpoint_list.take(listing(2, True, server("p")), 20 * second).kind == "replace"
    assert endpoint_list.version == endpoint_list.since() == 2 and set(endpoint_list.entries) == {"p"}


VERSIONS = st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=12)


@given(VERSIONS)
def test_whole_and_partial_lists_in_any_order_end_at_the_newest(steps):
    """Two watches interleave while discovery moves: each tells in its order, and neither undoes the other."""
    states = {v: {f"s{k}": ("Ready" if k > v else "Terminating") for k in range(10)} for v in range(10)}
    endpoint_list = discovery.EndpointList(listing(1, True, *(server(n, s) for n, s in states[1].items())))
    for version, full in steps:
        if full:
            made = listing(version, True, *(server(n, s) for n, s in states[version].items()))
        else:  # what has changed since the version that is known, as a watch is told it
            made = listing(
                version,
                False,
                *(
                    server(f"s{k}", states[version][f"s{k}"])
                    for k in range(min(version, endpoint_list.version), version + 1)
                ),
            )
        before = endpoint_list.version
        event = endpoint_list.take(made, 0)
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
def test_entries_that_cannot_be_are_doubted(change):
    made = listing(1, True, server("p") | change, server("q"))
    assert [e.endpoint for e in made.entries] == ["q"] and len(made.doubts) == 1


# -- HTTP


@given(st.integers(1, 80))
def test_chunked_lines_cut_anywhere(size):
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}\n\nx\r\n4\r\nyz\n\n\r\n"
    reader, lines = http_client.Answers(), []
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
        lines += reader.lines()
    assert lines == [b"{}", b"", b"xyz", b""] and reader.status() == 200 and not reader.done


def test_an_answer_without_end_is_given_up():
    reader = http_client.Answers(100)
    with pytest.raises(http_client.Broken, match="over 100"):
        reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"x" * 101)


def test_the_configuration_is_read_whole():
    made = config.parse(json.dumps(config_file(known={"version": 4, "full": True, "servers": [server("p")]})).encode())
    assert made.known.version == 4 and made.zones == ("a", "b") and made.settings.classes[1].priority_weight == 3.0
    assert made.seed == 0x8C1F30D27A5BE964 and made.settings.load_fields == ("busy_reqs",)


@pytest.mark.parametrize("path", sorted(Path("fuzz/corpus/edge").iterdir()), ids=lambda p: p.name)
def test_corpus_of_the_fuzzer_whole_and_with_every_byte_changed(path):
    data = path.read_bytes()
    edge_messages.check(data)
    for place in range(len(data)):
        for value in (0, 0xFF, data[place] ^ 1):
            edge_messages.check(data[:place] + bytes((value,)) + data[place + 1 :])


def test_a_watch_that_raises_is_had_anew_and_does_not_end_the_pilot():
    async def scene():
        catalogue, log, seen = Catalogue("p"), structlog.get_logger(), []

        class Reader:
            def path(self) -> str:
                return "/catalog/members?watch=1&from=0"

            def take(self, lines: list[bytes]) -> bool:
                seen.append(lines)
                if len(seen) == 1:
                    raise RuntimeError("a fault of ours")
                return True

        async with catalogue.running() as port, anyio.create_task_group() as group:
            follower = Follower("list", 3.0, Reader, random.Random(1), log)
            follower.point(group, config.Address("127.0.0.1", port))
            with anyio.fail_after(5):
                while not follower.reading():
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        assert len(seen) >= 2 and follower.breaks == 1

    anyio.run(scene)
