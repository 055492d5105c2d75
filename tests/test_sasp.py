"""SASP without sockets: bytes as RFC 4678 has them, framing, registrations, weights, pace."""

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
    MembersOf,
    MemberState,
    Message,
    Register,
    Reply,
    Sender,
    SendWeights,
    SetLbState,
    SetMemberState,
    StatesOf,
    Weight,
    WeightFlag,
    WeightsOf,
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
WEB = Group(b"lb1", b"web")
ONE = member("10.0.0.1:80")
SIX = member("[2001:db8::1]:8080", 17, b"six")

# Worked out by hand from the figures of RFC 4678: header (4.1), messages (6.1 to 6.6), components (5.1 to 5.8).
HEAD = "2010 000d 01"  # type, its length, version; message length and id follow
GROUP = "3011 000c 03 6c6231 03 776562"  # length 12: head 4, 1 + "lb1", 1 + "web"
M1 = "3010 0018 06 0050 00000000000000000000ffff0a000001 00"  # length 24: head 4, protocol, port, address, no label
M6 = "3010 001b 11 1f90 20010db8000000000000000000000001 03 736978"
VECTORS = {
    "registration request (6.1)": (
        Message(1, Register(Sender.BALANCER, (MembersOf(WEB, (ONE, SIX)),))),
        f"{HEAD} 00000059 00000001 1010 004c 01 0001 4010 0045 0002 {GROUP} {M1} {M6}",
    ),
    "registration reply (6.1)": (
        Message(1, Reply(Kind.REGISTER_REPLY, Code.ALREADY_REGISTERED)),
        f"{HEAD} 00000012 00000001 1015 0005 40",
    ),
    "deregistration request (6.2)": (
        Message(2, Deregister(Sender.BALANCER, 1, (MembersOf(WEB, (ONE,)),))),
        f"{HEAD} 0000003f 00000002 1020 0032 01 01 0001 4010 002a 0001 {GROUP} {M1}",
    ),
    "deregistration reply (6.2)": (
        Message(2, Reply(Kind.DEREGISTER_REPLY, Code.OK)),
        f"{HEAD} 00000012 00000002 1025 0005 00",
    ),
    "get weights request (6.3)": (Message(3, GetWeights((WEB,))), f"{HEAD} 0000001f 00000003 1030 0012 0001 {GROUP}"),
    "get weights reply (6.3)": (
        Message(
            3,
            WeightsReply(
                Code.OK, 10, (WeightsOf(WEB, (Weight(ONE, 7, WeightFlag.CONTACT | WeightFlag.CONFIDENT, 1000),)),)
            ),
        ),
        f"{HEAD} 00000048 00000003 1035 003b 00 000a 0001 4011 0032 0001 {GROUP} 3012 0020 {M1} 07 09 03e8",
    ),
    "send weights (6.4)": (
        Message(9, SendWeights((WeightsOf(WEB, (Weight(ONE, 0, WeightFlag.QUIESCE, 0),)),))),
        f"{HEAD} 00000045 00000009 1040 0038 0001 4011 0032 0001 {GROUP} 3012 0020 {M1} 00 02 0000",
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
        Message(5, SetMemberState(Sender(0), (StatesOf(WEB, (MemberState(ONE, 5, MemberFlag.QUIESCE),)),))),
        f"{HEAD} 00000044 00000005 1060 0037 00 0001 4012 0030 0001 {GROUP} 3013 001e {M1} 05 01",
    ),
    "set member state reply (6.6)": (
        Message(5, Reply(Kind.SET_MEMBER_STATE_REPLY, Code.UNKNOWN_GROUP)),
        f"{HEAD} 00000012 00000005 1065 0005 42",
    ),
}


@pytest.mark.parametrize("name", VECTORS)
def test_bytes_are_those_of_the_figures_both_ways(name):
    message, text = VECTORS[name]
    data = bytes.fromhex(text.replace(" ", ""))
    assert codec.encode(message).hex() == data.hex()
    assert codec.decode(data) == message


bytes255 = st.binary(max_size=20)
groups = st.builds(Group, bytes255, bytes255)
members = st.builds(Member, st.integers(0, 255), st.integers(0, 65535), st.binary(min_size=16, max_size=16), bytes255)


def of(kind, rows):
    return st.lists(st.builds(kind, groups, st.lists(rows, max_size=4).map(tuple)), max_size=4).map(tuple)


members_of = of(MembersOf, members)
weights_of = of(
    WeightsOf,
    st.builds(Weight, members, st.integers(0, 255), st.integers(0, 15).map(WeightFlag), st.integers(0, 65535)),
)
states_of = of(StatesOf, st.builds(MemberState, members, st.integers(0, 255), st.integers(0, 1).map(MemberFlag)))
sender = st.integers(0, 1).map(Sender)
bodies = st.one_of(
    st.builds(Register, sender, members_of),
    st.builds(Deregister, sender, st.integers(0, 255), members_of),
    st.builds(GetWeights, st.lists(groups, max_size=4).map(tuple)),
    st.builds(WeightsReply, st.integers(0, 255), st.integers(0, 65535), weights_of),
    st.builds(SendWeights, weights_of),
    st.builds(SetLbState, bytes255, st.integers(0, 255), st.integers(0, 7).map(LbFlag)),
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
    data, splitter, got, at, k = b"".join(map(codec.encode, sent)), codec.Splitter(), [], 0, 0
    while at < len(data):
        size = cuts[k % len(cuts)]
        got += [codec.decode(f) for f in splitter.feed(data[at : at + size])]
        at, k = at + size, k + 1
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


def _length(value):
    data = bytearray(codec.encode(Message(3, GetWeights((WEB,)))))
    data[5:9] = struct.pack(">I", value & 0xFFFFFFFF)
    return bytes(data)


@pytest.mark.parametrize("value", [0, 1, 16, 2**32 - 1, -1, -31, codec.MAX_MESSAGE_BYTES + 1, 2**31, 4 * 2**30 - 1])
def test_a_length_that_lies_ends_the_stream_before_anything_is_kept_for_it(value):
    splitter = codec.Splitter()
    with pytest.raises(codec.FrameError, match="bytes"):
        list(splitter.feed(_length(value)))


def test_a_length_that_is_short_by_one_is_not_understood_and_one_too_long_waits():
    good = codec.encode(Message(3, GetWeights((WEB,))))
    with pytest.raises(codec.MessageError) as caught:
        codec.decode(next(codec.Splitter().feed(_length(len(good) - 1))))
    assert caught.value.number == 3 and caught.value.kind == Kind.GET_WEIGHTS
    assert not list(codec.Splitter().feed(_length(len(good) + 1)))


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
def test_what_is_wrong_inside_is_named_with_the_number_of_the_request(place, value, said):
    data = bytearray(codec.encode(Message(3, GetWeights((WEB,)))))
    data[place] = value
    with pytest.raises(codec.MessageError, match=said) as caught:
        codec.decode(bytes(data))
    assert caught.value.number == 3


def test_endpoints_of_both_families_and_of_the_older_form():
    assert ONE.endpoint == "10.0.0.1:80" and SIX.endpoint == "[2001:db8::1]:8080"
    assert Member(6, 80, bytes(12) + bytes((10, 0, 0, 1))).endpoint == "10.0.0.1:80"
    assert Member(6, 80, bytes(15) + b"\1").endpoint == "[::1]:80"


# -- registrations


def registry(access=AccessLevel.STATE, **named):
    return Registry(
        Limits(5, 3), lambda name: None if name == b"refused" else "fleet", lambda lb: named.get(lb.decode(), access)
    )


def put(made, *members, session="s", sender=Sender.BALANCER, group=WEB):
    return made.register(session, sender, (MembersOf(group, members),))


def test_registration_is_whole_or_not_at_all():
    made = registry()
    assert put(made, ONE) == Code.OK
    assert (
        made.register("s", Sender.BALANCER, (MembersOf(Group(b"lb1", b"new"), (ONE,)), MembersOf(WEB, (ONE,))))
        == Code.ALREADY_REGISTERED
    )
    assert list(made.balancers[b"lb1"].groups) == [b"web"]
    assert put(made, SIX, SIX) == Code.DUPLICATE_MEMBER and len(made.find(WEB).members) == 1
    assert put(made, group=Group(b"lb1", b"refused")) == Code.INVALID_GROUP
    assert put(made, ONE, group=Group(b"", b"x")) == Code.EMPTY_LB_UID
    assert put(made, ONE, group=Group(b"lb1", b"")) == Code.EMPTY_GROUP_NAME
    assert put(made, *(member(f"10.0.0.9:{k}") for k in range(4)), group=Group(b"lb1", b"big")) == Code.INVALID_GROUP


def test_one_member_with_two_protocols_is_two_members_of_one_endpoint():
    made = registry()
    assert put(made, ONE, ONE._replace(protocol=17)) == Code.OK
    made.set_states(Sender.BALANCER, (StatesOf(WEB, (MemberState(ONE, 0, MemberFlag.QUIESCE),)),))
    assert made.endpoints() == {"10.0.0.1:80": True}, "either quiesced: no new work for the endpoint"


def test_deregistration_of_what_was_never_there_is_refused_and_nothing_else_goes():
    made = registry()
    assert made.deregister("s", Sender.BALANCER, (MembersOf(WEB, ()),)) == Code.UNKNOWN_LB
    put(made, ONE)
    nothing = MembersOf(Group(b"lb1", b"nosuch"), ())
    assert made.deregister("s", Sender.BALANCER, (MembersOf(WEB, (ONE,)), nothing)) == Code.UNKNOWN_GROUP
    assert made.deregister("s", Sender.BALANCER, (MembersOf(WEB, (SIX,)),)) == Code.NOT_REGISTERED
    assert made.deregister("s", Sender.BALANCER, (MembersOf(WEB, (ONE,)),) * 2) == Code.DUPLICATE_GROUP
    assert ONE in made.find(WEB).members
    assert made.deregister("s", Sender.BALANCER, (MembersOf(WEB, ()),)) == Code.OK
    assert made.find(WEB) == Code.UNKNOWN_GROUP
    put(made, ONE)
    assert made.deregister("s", Sender.BALANCER, ()) == Code.OK and made.find(WEB) == Code.UNKNOWN_GROUP
    assert made.deregister("t", Sender.BALANCER, ()) == Code.UNKNOWN_LB


def test_members_speak_only_where_every_session_under_that_identifier_trusts_them():
    made = registry()
    assert put(made, ONE, sender=Sender(0)) == Code.NO_BALANCER_YET
    made.set_lb("s", b"lb1", 1, LbFlag.TRUST)
    assert put(made, ONE, sender=Sender(0), session="m") == Code.OK and made.find(WEB).members[ONE].self_registered
    made.set_lb("t", b"lb1", 1, LbFlag(0))
    quiesce = (StatesOf(WEB, (MemberState(ONE, 0, MemberFlag.QUIESCE),)),)
    assert made.set_states(Sender(0), quiesce) == Code.NOT_FROM_SENDER
    made.leave(NOW, "t")
    assert made.set_states(Sender(0), quiesce) == Code.OK


@pytest.mark.parametrize(
    ("rights", "codes"),
    [("refuse", (0x11, 0x11, 0x11)), ("read", (0, 0x11, 0x11)), ("register", (0, 0, 0x11)), ("state", (0, 0, 0))],
)
def test_each_right_includes_those_before_it(rights, codes):
    made = registry(AccessLevel[rights.upper()])
    quiesce = (StatesOf(WEB, (MemberState(ONE, 0, MemberFlag.QUIESCE),)),)
    assert (made.set_lb("s", b"lb1", 1, LbFlag(0)), put(made, ONE), made.set_states(Sender.BALANCER, quiesce)) == codes


def test_registrations_outlive_their_last_session_for_a_while():
    made = registry()
    put(made, ONE)
    made.leave(NOW, "s")
    assert not made.expire(NOW + REGISTRATION_RETENTION_NS - 1) and made.find(WEB) != Code.UNKNOWN_LB
    assert made.expire(NOW + REGISTRATION_RETENTION_NS) == [b"lb1"] and made.find(WEB) == Code.UNKNOWN_LB


# -- weights


@given(st.dictionaries(st.text(max_size=4), st.floats(0, 1e6), max_size=40))
def test_whole_weights_keep_zero_and_order(found):
    scaled = weights.whole_weights(found)
    assert all(0 <= w <= 65535 for w in scaled.values())
    most = max(found.values(), default=0)
    for a in found:
        assert (scaled[a] == 0) == (found[a] == 0)
        for b in found:
            if found[a] - found[b] > 1e-6 * most:
                assert scaled[a] > scaled[b]


def test_even_the_smallest_and_the_closest_are_kept_apart():
    found = {f"s{k}": 1 + k * 1e-7 for k in range(200)} | {"tiny": 1e-12}
    scaled = weights.whole_weights(found)
    assert scaled["tiny"] == 1 and len(set(scaled.values())) == 201
    assert scaled["s199"] <= 65535


def published():
    made = PublishedTables(("page",), 3)
    for n, lines in enumerate(({"p": 1.0, "q": 3.0}, {"q": 1.0}, {"r": 1.0})):
        made.restore(n, lines)
    return made


def test_shares_are_what_the_tables_bring():
    made = published()
    assert weights.traffic_shares(made, range(3), lambda n: [4.0, 2.0, 2.0][n]) == {"p": 1 / 8, "q": 5 / 8, "r": 2 / 8}
    made.withdrawn["q"] = 1
    assert weights.traffic_shares(made, range(2), lambda n: 1.0) == {"p": 1.0}
    assert weights.traffic_shares(made, range(2), lambda n: 0.0) == {"p": 1.0}


def test_what_is_barred_weighs_nothing_and_is_quiesced():
    about = {
        "p": MemberStatus(True, True, True),
        "q": MemberStatus(True, False, True),
        "r": MemberStatus(False, False, False),
    }
    found = weights.advise({"p": 0.5, "q": 0.3, "r": 0.2}, "pqr", about.__getitem__, Exclusions(self_registered="p"))
    assert found["p"].weight > 0 and found["p"].flags == WeightFlag.CONTACT | WeightFlag.REGISTERED | 8
    assert found["q"] == Advice(0, WeightFlag.QUIESCE | WeightFlag.CONFIDENT)
    assert found["r"] == Advice(0, WeightFlag.QUIESCE)
    assert weights.advise({"p": 1.0}, "p", about.__getitem__, Exclusions(withdrawn=("p",)))["p"].weight == 0
    assert weights.advise({"p": 1.0}, "p", about.__getitem__, Exclusions(quiesced=("p",)))["p"].weight == 0


def test_noise_is_no_push_and_a_drain_always_is():
    before = {"p": Advice(1000, WeightFlag(0)), "q": Advice(500, WeightFlag(0))}
    assert not weights.is_significant(before, before | {"p": Advice(1040, WeightFlag(0))})
    assert weights.is_significant(before, before | {"p": Advice(1100, WeightFlag(0))})
    assert weights.is_significant(before, before | {"p": Advice(1000, WeightFlag.QUIESCE)})
    assert weights.is_significant(before, {"p": before["p"]})


# -- sessions


def advisor():
    made = published()
    return WeightAdvisor(
        made,
        registry(),
        PollPacer(random.Random(1)),
        lambda n: 1.0,
        lambda n: MemberStatus(True, True, True),
        lambda: 0.0,
    )


def session(shared, lb=b"lb1", flags=LbFlag.PUSH, *names):
    made = SaspSession(shared, lambda lb: "a", MessageRateLimiter(50))
    made.receive(NOW, codec.encode(Message(1, SetLbState(lb, 1, flags))))
    for name in names or (b"web",):
        reply = made.receive(
            NOW,
            codec.encode(
                Message(
                    2,
                    Register(
                        Sender.BALANCER, (MembersOf(Group(lb, name), (member("1.1.1.1:1"), member("2.2.2.2:2"))),)
                    ),
                )
            ),
        )
        assert codec.decode(reply).body.code == Code.OK
    return made


def ask(made, body):
    return codec.decode(made.receive(NOW, codec.encode(Message(7, body)))).body


def test_a_poll_without_change_leaves_groups_out_where_that_was_asked_for():
    shared = advisor()
    made = session(shared, b"lb1", LbFlag.NO_CHANGE)
    assert len(ask(made, GetWeights((WEB,))).groups) == 1
    assert not ask(made, GetWeights((WEB,))).groups
    plain = session(shared, b"lb2", LbFlag(0))
    for _ in range(2):
        assert len(ask(plain, GetWeights((Group(b"lb2", b"web"),))).groups) == 1


def test_a_push_tells_of_changed_members_alone_where_that_was_asked_for():
    shared = advisor()
    made = session(shared, b"lb1", LbFlag.PUSH | LbFlag.NO_CHANGE)
    made.enqueue(["fleet"], CoveredChanges(1, NOW, 1))
    assert len(codec.decode(made.compose(NOW)).body.groups[0].weights) == 2 and made.pushed_members == 2
    made.push_written()
    shared.registry.set_states(
        Sender.BALANCER, (StatesOf(WEB, (MemberState(member("1.1.1.1:1"), 0, MemberFlag.QUIESCE),)),)
    )
    made.enqueue(["slice/0"], CoveredChanges(2, NOW, 1))
    weights_ = codec.decode(made.compose(NOW)).body.groups[0].weights
    assert [w.member.endpoint for w in weights_] == ["1.1.1.1:1"] and made.pushed_members == 1


def test_a_push_goes_once_and_waits_for_the_socket():
    made = session(advisor())
    assert [len(x) for x in made.unsent_advice(NOW, 9)[0].values()] == [2] and not made.unsent_advice(NOW, 9)[1], (
        "neither is barred"
    )
    made.enqueue(["fleet"], CoveredChanges(1, NOW, 1))
    assert codec.decode(made.compose(NOW)).body.groups[0].group == WEB and not made.ready()
    made.enqueue(["slice/0"], CoveredChanges(5, NOW, 1))
    assert made.compose(NOW) is None and made.oldest_unacknowledged() == 1
    made.push_written()
    assert made.ready() and made.compose(NOW) is None and made.unsent_advice(NOW, 9) == ({}, False), (
        "nothing is different"
    )
    assert made.oldest_unacknowledged() == 1 << 62


def test_a_group_deleted_before_its_push_is_written_is_not_in_it():
    made = session(advisor(), b"lb1", LbFlag.PUSH, b"web", b"other")
    made.enqueue(["slice/0"], CoveredChanges(1, NOW, 1))
    ask(made, Deregister(Sender.BALANCER, 0, (MembersOf(WEB, ()),)))
    assert [g.group.name for g in codec.decode(made.compose(NOW)).body.groups] == [b"other"]


def test_what_cannot_be_answered_has_a_code():
    shared = advisor()
    stranger = SaspSession(shared, lambda lb: "a", MessageRateLimiter(50))
    assert ask(stranger, GetWeights((WEB,))).code == Code.UNKNOWN_LB
    made = session(shared)
    assert ask(made, GetWeights((WEB, WEB))).code == Code.DUPLICATE_GROUP
    assert ask(made, GetWeights((Group(b"lb1", b"no"),))).code == Code.UNKNOWN_GROUP
    assert ask(made, SetLbState(b"other", 1, LbFlag(0))).code == Code.UNKNOWN_LB
    assert ask(made, SendWeights(())).code == Code.NOT_UNDERSTOOD
    assert len(ask(made, GetWeights(())).groups) == 1, "no group named: all of its own"


def test_only_pushes_are_ordered_through_the_channel():
    shared = advisor()
    pusher, poller = session(shared), session(shared, b"lb2", LbFlag(0))
    assert pusher.subscribes_to("slice/1") and pusher.subscribes_to("fleet") and not pusher.subscribes_to("routes")
    assert not poller.subscribes_to("slice/1")


# -- pace


def test_intervals_are_short_while_things_move_and_long_where_the_channel_is_full_or_a_crowd_asks():
    made = PollPacer(random.Random(3))

    def mean(now, sessions, filled):
        return sum(made.next_interval(now, sessions, filled) for _ in range(200)) / 200

    assert 9 < mean(NOW, 10, 0.0) < 11
    made.note_change(NOW)
    assert 1 < mean(NOW + SECOND, 10, 0.0) < 3 < 5 < mean(NOW + SECOND, 10, 0.9) < 7
    assert mean(NOW + 60 * SECOND, 4000, 0.0) > 15
    spread = {made.next_interval(NOW + 60 * SECOND, 10, 0.0) for _ in range(100)}
    assert len(spread) >= 3 and min(spread) >= MIN_POLL_INTERVAL_S and max(spread) <= MAX_POLL_INTERVAL_S


def test_a_session_that_asks_too_often_stands_still():
    meter, now, waited = MessageRateLimiter(50), NOW, 0.0
    for _ in range(300):
        waited += meter.delay(now)
        now += SECOND // 1000
    assert waited > 0
    slow = MessageRateLimiter(50)
    assert not any(slow.delay(NOW + k * SECOND // 40) for k in range(500))


@pytest.mark.parametrize("path", sorted(Path("fuzz/corpus/sasp").iterdir()), ids=lambda p: p.name)
def test_corpus_of_the_fuzzer_whole_and_with_every_byte_changed(path):
    data = path.read_bytes()
    sasp_messages.check(data)
    for place in range(len(data)):
        for value in (0, 0xFF, data[place] ^ 1):
            sasp_messages.check(data[:place] + bytes((value,)) + data[place + 1 :])
