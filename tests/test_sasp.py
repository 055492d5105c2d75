"""Tests of SASP without sockets: encoding after RFC 4678, framing, registrations, weights, sessions and rate limits."""

from __future__ import annotations

import random
import struct
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick.protocols.sasp import codec, weights
from damsonpick.protocols.sasp.advisor import WeightAdvisor
from damsonpick.protocols.sasp.layout import (
    Code,
    Deregister,
    GetWeights,
    Group,
    Kind,
    LbFlag,
    Member,
    MemberFlag,
    MemberGroup,
    MemberState,
    Message,
    Register,
    Reply,
    Sender,
    SendWeights,
    SetLbState,
    SetMemberState,
    StateGroup,
    Weight,
    WeightFlag,
    WeightGroup,
    WeightsReply,
    member,
)
from damsonpick.protocols.sasp.pacing import (
    MAX_POLL_INTERVAL_S,
    MIN_POLL_INTERVAL_S,
    MessageRateLimiter,
    PollPacer,
)
from damsonpick.protocols.sasp.registry import REGISTRATION_RETENTION_NS, AccessLevel, Limits, Registry
from damsonpick.protocols.sasp.session import SaspSession
from damsonpick.protocols.sasp.weights import Advice, Exclusions, MemberStatus
from damsonpick.protocols.shared.session import CoveredChanges
from damsonpick.state.published_tables import PublishedTables
from fuzz import sasp_messages

SECOND = 1_000_000_000
NOW = 10**18
WEB_GROUP = Group(b"lb1", b"web")
MEMBER_V4 = member("10.0.0.1:80")
MEMBER_V6 = member("[2001:db8::1]:8080", 17, b"six")

# Expected encodings, derived by hand from the figures of RFC 4678: header (4.1), messages (6.1 to 6.6) and components
# (5.1 to 5.8).
HEAD = "2010 000d 01"  # type, header length, version; message length and message id follow
HEX_GROUP = "3011 000c 03 6c6231 03 776562"  # length 12: 4 bytes head, 1 + "lb1", 1 + "web"
HEX_V4 = "3010 0018 06 0050 00000000000000000000ffff0a000001 00"  # 24 bytes: head 4, protocol, port, address, no label
HEX_V6 = "3010 001b 11 1f90 20010db8000000000000000000000001 03 736978"
VECTORS = {
    "registration request (6.1)": (
        Message(1, Register(Sender.BALANCER, (MemberGroup(WEB_GROUP, (MEMBER_V4, MEMBER_V6)),))),
        f"{HEAD} 00000059 00000001 1010 004c 01 0001 4010 0045 0002 {HEX_GROUP} {HEX_V4} {HEX_V6}",
    ),
    "registration reply (6.1)": (
        Message(1, Reply(Kind.REGISTER_REPLY, Code.ALREADY_REGISTERED)),
        f"{HEAD} 00000012 00000001 1015 0005 40",
    ),
    "deregistration request (6.2)": (
        Message(2, Deregister(Sender.BALANCER, 1, (MemberGroup(WEB_GROUP, (MEMBER_V4,)),))),
        f"{HEAD} 0000003f 00000002 1020 0032 01 01 0001 4010 002a 0001 {HEX_GROUP} {HEX_V4}",
    ),
    "deregistration reply (6.2)": (
        Message(2, Reply(Kind.DEREGISTER_REPLY, Code.OK)),
        f"{HEAD} 00000012 00000002 1025 0005 00",
    ),
    "get weights request (6.3)": (
        Message(3, GetWeights((WEB_GROUP,))),
        f"{HEAD} 0000001f 00000003 1030 0012 0001 {HEX_GROUP}",
    ),
    "get weights reply (6.3)": (
        Message(
            3,
            WeightsReply(
                Code.OK,
                10,
                (WeightGroup(WEB_GROUP, (Weight(MEMBER_V4, 7, WeightFlag.CONTACT | WeightFlag.CONFIDENT, 1000),)),),
            ),
        ),
        f"{HEAD} 00000048 00000003 1035 003b 00 000a 0001 4011 0032 0001 {HEX_GROUP} 3012 0020 {HEX_V4} 07 09 03e8",
    ),
    "send weights (6.4)": (
        Message(9, SendWeights((WeightGroup(WEB_GROUP, (Weight(MEMBER_V4, 0, WeightFlag.QUIESCE, 0),)),))),
        f"{HEAD} 00000045 00000009 1040 0038 0001 4011 0032 0001 {HEX_GROUP} 3012 0020 {HEX_V4} 00 02 0000",
    ),
    "set LB state request (6.5)": (
        Message(4, SetLbState(b"lb1", 127, LbFlag.PUSH | LbFlag.TRUST)),
        f"{HEAD} 00000017 00000004 1050 000a 03 6c6231 7f 03",
    ),
    "set LB state reply (6.5)": (
        Message(4, Reply(Kind.SET_LB_STATE_REPLY, Code.NOT_FROM_SENDER)),
        f"{HEAD} 00000012 00000004 1055 0005 11",
    ),
    "set member state request (6.6)": (
        Message(
            5, SetMemberState(Sender(0), (StateGroup(WEB_GROUP, (MemberState(MEMBER_V4, 5, MemberFlag.QUIESCE),)),))
        ),
        f"{HEAD} 00000044 00000005 1060 0037 00 0001 4012 0030 0001 {HEX_GROUP} 3013 001e {HEX_V4} 05 01",
    ),
    "set member state reply (6.6)": (
        Message(5, Reply(Kind.SET_MEMBER_STATE_REPLY, Code.UNKNOWN_GROUP)),
        f"{HEAD} 00000012 00000005 1065 0005 42",
    ),
}


@pytest.mark.parametrize("name", VECTORS)
def test_encoding_and_decoding_match_the_figures_of_the_rfc(name):
    message, text = VECTORS[name]
    data = bytes.fromhex(text.replace(" ", ""))
    assert codec.encode(message).hex() == data.hex()
    assert codec.decode(data) == message


short_bytes = st.binary(max_size=20)
groups = st.builds(Group, short_bytes, short_bytes)
members = st.builds(
    Member, st.integers(0, 255), st.integers(0, 65535), st.binary(min_size=16, max_size=16), short_bytes
)


def groups_of(kind, rows):
    return st.lists(st.builds(kind, groups, st.lists(rows, max_size=4).map(tuple)), max_size=4).map(tuple)


members_of = groups_of(MemberGroup, members)
weights_of = groups_of(
    WeightGroup,
    st.builds(Weight, members, st.integers(0, 255), st.integers(0, 15).map(WeightFlag), st.integers(0, 65535)),
)
states_of = groups_of(
    StateGroup, st.builds(MemberState, members, st.integers(0, 255), st.integers(0, 1).map(MemberFlag))
)
sender = st.integers(0, 1).map(Sender)
bodies = st.one_of(
    st.builds(Register, sender, members_of),
    st.builds(Deregister, sender, st.integers(0, 255), members_of),
    st.builds(GetWeights, st.lists(groups, max_size=4).map(tuple)),
    st.builds(WeightsReply, st.integers(0, 255), st.integers(0, 65535), weights_of),
    st.builds(SendWeights, weights_of),
    st.builds(SetLbState, short_bytes, st.integers(0, 255), st.integers(0, 7).map(LbFlag)),
    st.builds(SetMemberState, sender, states_of),
    st.builds(
        Reply,
        st.sampled_from([k for k in Kind if k.name.endswith("REPLY") and k != Kind.GET_WEIGHTS_REPLY]),
        st.integers(0, 255),
    ),
)
messages = st.builds(Message, st.integers(0, 2**32 - 1), bodies)


@settings(deadline=None)
@given(messages)
def test_what_is_written_is_read(message):
    assert codec.decode(codec.encode(message)) == message


@settings(deadline=None)
@given(st.lists(messages, max_size=4), st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_a_stream_cut_anywhere_gives_the_same_messages(sent, cuts):
    data, splitter, got, at, index = b"".join(map(codec.encode, sent)), codec.Splitter(), [], 0, 0
    while at < len(data):
        size = cuts[index % len(cuts)]
        got += [codec.decode(f) for f in splitter.feed(data[at : at + size])]
        at, index = at + size, index + 1
    assert got == sent


@settings(deadline=None, max_examples=300)
@given(messages, st.integers(0, 10**6), st.integers(0, 255))
def test_a_changed_byte_is_a_message_or_refused_and_never_anything_else(message, place, value):
    data = bytearray(codec.encode(message))
    data[place % len(data)] = value
    splitter = codec.Splitter()
    try:
        for frame in splitter.feed(bytes(data)):
            codec.decode(frame)
    except (codec.FrameError, codec.MessageError):
        pass


def _poll_with_length(value):
    data = bytearray(codec.encode(Message(3, GetWeights((WEB_GROUP,)))))
    data[5:9] = struct.pack(">I", value & 0xFFFFFFFF)
    return bytes(data)


@pytest.mark.parametrize("value", [0, 1, 16, 2**32 - 1, -1, -31, codec.MAX_MESSAGE_BYTES + 1, 2**31, 4 * 2**30 - 1])
def test_an_invalid_length_ends_the_stream_before_memory_is_allocated_for_it(value):
    splitter = codec.Splitter()
    with pytest.raises(codec.FrameError, match="bytes"):
        list(splitter.feed(_poll_with_length(value)))


def test_a_length_that_is_short_by_one_is_not_understood_and_one_too_long_waits():
    good = codec.encode(Message(3, GetWeights((WEB_GROUP,))))
    with pytest.raises(codec.MessageError) as caught:
        codec.decode(next(codec.Splitter().feed(_poll_with_length(len(good) - 1))))
    assert caught.value.number == 3 and caught.value.kind == Kind.GET_WEIGHTS
    assert not list(codec.Splitter().feed(_poll_with_length(len(good) + 1)))


@pytest.mark.parametrize(
    ("place", "value", "said"),
    [
        (4, 2, "version 2"),
        (13, 0x77, "type 0x7730 is unknown"),
        (17, 0xFF, "rows are declared"),
        (19, 0x40, "where 0x3011 belongs"),
        (22, 3, "says it has 3 bytes"),
        (23, 200, "bytes are read"),
    ],
)
def test_the_error_names_the_fault_and_the_id_of_the_request(place, value, said):
    data = bytearray(codec.encode(Message(3, GetWeights((WEB_GROUP,)))))
    data[place] = value
    with pytest.raises(codec.MessageError, match=said) as caught:
        codec.decode(bytes(data))
    assert caught.value.number == 3


def test_endpoints_of_both_families_and_of_the_older_form():
    assert MEMBER_V4.endpoint == "10.0.0.1:80" and MEMBER_V6.endpoint == "[2001:db8::1]:8080"
    assert Member(6, 80, bytes(12) + bytes((10, 0, 0, 1))).endpoint == "10.0.0.1:80"
    assert Member(6, 80, bytes(15) + b"\1").endpoint == "[::1]:80"


# -- registrations


def make_registry(access=AccessLevel.STATE, **named):
    return Registry(
        Limits(5, 3), lambda name: None if name == b"refused" else "fleet", lambda lb: named.get(lb.decode(), access)
    )


def register_members(registry, *members, session="s", sender=Sender.BALANCER, group=WEB_GROUP):
    return registry.register(session, sender, (MemberGroup(group, members),))


def test_registration_is_whole_or_not_at_all():
    registry = make_registry()
    assert register_members(registry, MEMBER_V4) == Code.OK
    assert (
        registry.register(
            "s",
            Sender.BALANCER,
            (MemberGroup(Group(b"lb1", b"new"), (MEMBER_V4,)), MemberGroup(WEB_GROUP, (MEMBER_V4,))),
        )
        == Code.ALREADY_REGISTERED
    )
    assert list(registry.balancers[b"lb1"].groups) == [b"web"]
    assert (
        register_members(registry, MEMBER_V6, MEMBER_V6) == Code.DUPLICATE_MEMBER
        and len(registry.find(WEB_GROUP).members) == 1
    )
    assert register_members(registry, group=Group(b"lb1", b"refused")) == Code.INVALID_GROUP
    assert register_members(registry, MEMBER_V4, group=Group(b"", b"x")) == Code.EMPTY_LB_UID
    assert register_members(registry, MEMBER_V4, group=Group(b"lb1", b"")) == Code.EMPTY_GROUP_NAME
    assert (
        register_members(registry, *(member(f"10.0.0.9:{k}") for k in range(4)), group=Group(b"lb1", b"big"))
        == Code.INVALID_GROUP
    )


def test_one_member_with_two_protocols_is_two_members_of_one_endpoint():
    registry = make_registry()
    assert register_members(registry, MEMBER_V4, MEMBER_V4._replace(protocol=17)) == Code.OK
    registry.set_states(Sender.BALANCER, (StateGroup(WEB_GROUP, (MemberState(MEMBER_V4, 0, MemberFlag.QUIESCE),)),))
    assert registry.endpoints() == {"10.0.0.1:80": True}, (
        "one quiesced member is enough for the endpoint to get no new work"
    )


def test_deregistration_of_what_was_never_there_is_refused_and_nothing_else_goes():
    registry = make_registry()
    assert registry.deregister("s", Sender.BALANCER, (MemberGroup(WEB_GROUP, ()),)) == Code.UNKNOWN_LB
    register_members(registry, MEMBER_V4)
    unknown_group = MemberGroup(Group(b"lb1", b"nosuch"), ())
    assert (
        registry.deregister("s", Sender.BALANCER, (MemberGroup(WEB_GROUP, (MEMBER_V4,)), unknown_group))
        == Code.UNKNOWN_GROUP
    )
    assert registry.deregister("s", Sender.BALANCER, (MemberGroup(WEB_GROUP, (MEMBER_V6,)),)) == Code.NOT_REGISTERED
    assert (
        registry.deregister("s", Sender.BALANCER, (MemberGroup(WEB_GROUP, (MEMBER_V4,)),) * 2) == Code.DUPLICATE_GROUP
    )
    assert MEMBER_V4 in registry.find(WEB_GROUP).members
    assert registry.deregister("s", Sender.BALANCER, (MemberGroup(WEB_GROUP, ()),)) == Code.OK
    assert registry.find(WEB_GROUP) == Code.UNKNOWN_GROUP
    register_members(registry, MEMBER_V4)
    assert registry.deregister("s", Sender.BALANCER, ()) == Code.OK and registry.find(WEB_GROUP) == Code.UNKNOWN_GROUP
    assert registry.deregister("t", Sender.BALANCER, ()) == Code.UNKNOWN_LB


def test_members_may_act_only_if_every_session_with_that_identifier_trusts_them():
    registry = make_registry()
    assert register_members(registry, MEMBER_V4, sender=Sender(0)) == Code.NO_BALANCER_YET
    registry.set_lb("s", b"lb1", 1, LbFlag.TRUST)
    assert (
        register_members(registry, MEMBER_V4, sender=Sender(0), session="m") == Code.OK
        and registry.find(WEB_GROUP).members[MEMBER_V4].self_registered
    )
    registry.set_lb("t", b"lb1", 1, LbFlag(0))
    quiesce = (StateGroup(WEB_GROUP, (MemberState(MEMBER_V4, 0, MemberFlag.QUIESCE),)),)
    assert registry.set_states(Sender(0), quiesce) == Code.NOT_FROM_SENDER
    registry.leave(NOW, "t")
    assert registry.set_states(Sender(0), quiesce) == Code.OK


@pytest.mark.parametrize(
    ("rights", "codes"),
    [("refuse", (0x11, 0x11, 0x11)), ("read", (0, 0x11, 0x11)), ("register", (0, 0, 0x11)), ("state", (0, 0, 0))],
)
def test_each_right_includes_those_before_it(rights, codes):
    registry = make_registry(AccessLevel[rights.upper()])
    quiesce = (StateGroup(WEB_GROUP, (MemberState(MEMBER_V4, 0, MemberFlag.QUIESCE),)),)
    assert (
        registry.set_lb("s", b"lb1", 1, LbFlag(0)),
        register_members(registry, MEMBER_V4),
        registry.set_states(Sender.BALANCER, quiesce),
    ) == codes


def test_registrations_outlive_their_last_session_for_a_while():
    registry = make_registry()
    register_members(registry, MEMBER_V4)
    registry.leave(NOW, "s")
    assert not registry.expire(NOW + REGISTRATION_RETENTION_NS - 1) and registry.find(WEB_GROUP) != Code.UNKNOWN_LB
    assert registry.expire(NOW + REGISTRATION_RETENTION_NS) == [b"lb1"] and registry.find(WEB_GROUP) == Code.UNKNOWN_LB


# -- weights


@given(st.dictionaries(st.text(max_size=4), st.floats(0, 1e6), max_size=40))
def test_whole_weights_keep_zero_and_order(shares):
    scaled = weights.whole_weights(shares)
    assert all(0 <= w <= 65535 for w in scaled.values())
    most = max(shares.values(), default=0)
    for a in shares:
        assert (scaled[a] == 0) == (shares[a] == 0)
        for b in shares:
            if shares[a] - shares[b] > 1e-6 * most:
                assert scaled[a] > scaled[b]


def test_even_the_smallest_and_the_closest_are_kept_apart():
    shares = {f"s{k}": 1 + k * 1e-7 for k in range(200)} | {"tiny": 1e-12}
    scaled = weights.whole_weights(shares)
    assert scaled["tiny"] == 1 and len(set(scaled.values())) == 201
    assert scaled["s199"] <= 65535


def make_published():
    published = PublishedTables(("page",), 3)
    for n, lines in enumerate(({"p": 1.0, "q": 3.0}, {"q": 1.0}, {"r": 1.0})):
        published.restore(n, lines)
    return published


def test_shares_follow_tables_and_loads():
    published = make_published()
    assert weights.traffic_shares(published, range(3), lambda n: [4.0, 2.0, 2.0][n]) == {
        "p": 1 / 8,
        "q": 5 / 8,
        "r": 2 / 8,
    }
    published.withdrawn["q"] = 1
    assert weights.traffic_shares(published, range(2), lambda n: 1.0) == {"p": 1.0}
    assert weights.traffic_shares(published, range(2), lambda n: 0.0) == {"p": 1.0}


def test_excluded_endpoints_have_weight_zero_and_are_quiesced():
    statuses = {
        "p": MemberStatus(True, True, True),
        "q": MemberStatus(True, False, True),
        "r": MemberStatus(False, False, False),
    }
    advice = weights.advise(
        {"p": 0.5, "q": 0.3, "r": 0.2}, "pqr", statuses.__getitem__, Exclusions(self_registered="p")
    )
    assert advice["p"].weight > 0 and advice["p"].flags == WeightFlag.CONTACT | WeightFlag.REGISTERED | 8
    assert advice["q"] == Advice(0, WeightFlag.QUIESCE | WeightFlag.CONFIDENT)
    assert advice["r"] == Advice(0, WeightFlag.QUIESCE)
    assert weights.advise({"p": 1.0}, "p", statuses.__getitem__, Exclusions(withdrawn=("p",)))["p"].weight == 0
    assert weights.advise({"p": 1.0}, "p", statuses.__getitem__, Exclusions(quiesced=("p",)))["p"].weight == 0


def test_noise_is_no_push_and_a_drain_always_is():
    before = {"p": Advice(1000, WeightFlag(0)), "q": Advice(500, WeightFlag(0))}
    assert not weights.is_significant(before, before | {"p": Advice(1040, WeightFlag(0))})
    assert weights.is_significant(before, before | {"p": Advice(1100, WeightFlag(0))})
    assert weights.is_significant(before, before | {"p": Advice(1000, WeightFlag.QUIESCE)})
    assert weights.is_significant(before, {"p": before["p"]})


# -- sessions


def make_advisor():
    published = make_published()
    return WeightAdvisor(
        published,
        make_registry(),
        PollPacer(random.Random(1)),
        lambda n: 1.0,
        lambda n: MemberStatus(True, True, True),
        lambda: 0.0,
    )


def make_session(advisor, lb=b"lb1", flags=LbFlag.PUSH, *names):
    session = SaspSession(advisor, lambda lb: "a", MessageRateLimiter(50))
    session.receive(NOW, codec.encode(Message(1, SetLbState(lb, 1, flags))))
    for name in names or (b"web",):
        reply = session.receive(
            NOW,
            codec.encode(
                Message(
                    2,
                    Register(
                        Sender.BALANCER, (MemberGroup(Group(lb, name), (member("1.1.1.1:1"), member("2.2.2.2:2"))),)
                    ),
                )
            ),
        )
        assert codec.decode(reply).body.code == Code.OK
    return session


def request(session, body):
    return codec.decode(session.receive(NOW, codec.encode(Message(7, body)))).body


def test_a_poll_without_change_leaves_groups_out_where_that_was_asked_for():
    advisor = make_advisor()
    session = make_session(advisor, b"lb1", LbFlag.NO_CHANGE)
    assert len(request(session, GetWeights((WEB_GROUP,))).groups) == 1
    assert not request(session, GetWeights((WEB_GROUP,))).groups
    session_without_flag = make_session(advisor, b"lb2", LbFlag(0))
    for _ in range(2):
        assert len(request(session_without_flag, GetWeights((Group(b"lb2", b"web"),))).groups) == 1


def test_a_push_tells_of_changed_members_alone_where_that_was_asked_for():
    advisor = make_advisor()
    session = make_session(advisor, b"lb1", LbFlag.PUSH | LbFlag.NO_CHANGE)
    session.enqueue(["fleet"], CoveredChanges(1, NOW, 1))
    assert len(codec.decode(session.compose(NOW)).body.groups[0].weights) == 2 and session.pushed_members == 2
    session.push_written()
    advisor.registry.set_states(
        Sender.BALANCER, (StateGroup(WEB_GROUP, (MemberState(member("1.1.1.1:1"), 0, MemberFlag.QUIESCE),)),)
    )
    session.enqueue(["slice/0"], CoveredChanges(2, NOW, 1))
    pushed_weights = codec.decode(session.compose(NOW)).body.groups[0].weights
    assert [w.member.endpoint for w in pushed_weights] == ["1.1.1.1:1"] and session.pushed_members == 1


def test_a_push_goes_once_and_waits_for_the_socket():
    session = make_session(make_advisor())
    assert [len(x) for x in session.unsent_advice(NOW, 9)[0].values()] == [2] and not session.unsent_advice(NOW, 9)[
        1
    ], "no member is quiesced, so the advice is not urgent"
    session.enqueue(["fleet"], CoveredChanges(1, NOW, 1))
    assert codec.decode(session.compose(NOW)).body.groups[0].group == WEB_GROUP and not session.ready()
    session.enqueue(["slice/0"], CoveredChanges(5, NOW, 1))
    assert session.compose(NOW) is None and session.oldest_unacknowledged() == 1
    session.push_written()
    assert session.ready() and session.compose(NOW) is None and session.unsent_advice(NOW, 9) == ({}, False), (
        "no advice has changed since the push"
    )
    assert session.oldest_unacknowledged() == 1 << 62


def test_a_group_deleted_before_its_push_is_written_is_not_in_it():
    session = make_session(make_advisor(), b"lb1", LbFlag.PUSH, b"web", b"other")
    session.enqueue(["slice/0"], CoveredChanges(1, NOW, 1))
    request(session, Deregister(Sender.BALANCER, 0, (MemberGroup(WEB_GROUP, ()),)))
    assert [g.group.name for g in codec.decode(session.compose(NOW)).body.groups] == [b"other"]


def test_requests_that_cannot_be_answered_get_a_reply_code():
    advisor = make_advisor()
    unidentified_session = SaspSession(advisor, lambda lb: "a", MessageRateLimiter(50))
    assert request(unidentified_session, GetWeights((WEB_GROUP,))).code == Code.UNKNOWN_LB
    session = make_session(advisor)
    assert request(session, GetWeights((WEB_GROUP, WEB_GROUP))).code == Code.DUPLICATE_GROUP
    assert request(session, GetWeights((Group(b"lb1", b"no"),))).code == Code.UNKNOWN_GROUP
    assert request(session, SetLbState(b"other", 1, LbFlag(0))).code == Code.UNKNOWN_LB
    assert request(session, SendWeights(())).code == Code.NOT_UNDERSTOOD
    assert len(request(session, GetWeights(())).groups) == 1, (
        "a poll without group names returns all groups of the load balancer"
    )


def test_only_sessions_with_pushes_subscribe_to_units():
    advisor = make_advisor()
    pushing_session, polling_session = make_session(advisor), make_session(advisor, b"lb2", LbFlag(0))
    assert (
        pushing_session.subscribes_to("slice/1")
        and pushing_session.subscribes_to("fleet")
        and not pushing_session.subscribes_to("routes")
    )
    assert not polling_session.subscribes_to("slice/1")


# -- poll intervals and message rates


def test_poll_intervals_are_short_after_a_change_and_long_with_a_full_queue_or_many_sessions():
    pacer = PollPacer(random.Random(3))

    def mean_interval(now, sessions, queue_fill):
        return sum(pacer.next_interval(now, sessions, queue_fill) for _ in range(200)) / 200

    assert 9 < mean_interval(NOW, 10, 0.0) < 11
    pacer.note_change(NOW)
    assert 1 < mean_interval(NOW + SECOND, 10, 0.0) < 3 < 5 < mean_interval(NOW + SECOND, 10, 0.9) < 7
    assert mean_interval(NOW + 60 * SECOND, 4000, 0.0) > 15
    spread = {pacer.next_interval(NOW + 60 * SECOND, 10, 0.0) for _ in range(100)}
    assert len(spread) >= 3 and min(spread) >= MIN_POLL_INTERVAL_S and max(spread) <= MAX_POLL_INTERVAL_S


def test_a_session_above_its_message_rate_is_delayed():
    fast_limiter, now, delay_s = MessageRateLimiter(50), NOW, 0.0
    for _ in range(300):
        delay_s += fast_limiter.delay(now)
        now += SECOND // 1000
    assert delay_s > 0
    slow = MessageRateLimiter(50)
    assert not any(slow.delay(NOW + k * SECOND // 40) for k in range(500))


@pytest.mark.parametrize("path", sorted(Path("fuzz/corpus/sasp").iterdir()), ids=lambda p: p.name)
def test_corpus_of_the_fuzzer_whole_and_with_every_byte_changed(path):
    data = path.read_bytes()
    sasp_messages.check(data)
    for place in range(len(data)):
        for value in (0, 0xFF, data[place] ^ 1):
            sasp_messages.check(data[:place] + bytes((value,)) + data[place + 1 :])
