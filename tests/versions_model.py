"""An explicit-state explorer of the version protocol, run on the real session and the real received state.

One pilot's stream and one gateway, two tables of three contents each, messages in order on a stream that may break at
any point. Every action is tried in every state up to a depth; states seen before are not gone into again.

    python -m tests.versions_model 8     # explore to depth 8 and print how many states there were
"""

from __future__ import annotations

import copy
import sys
from types import SimpleNamespace

import xxhash
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from damsonpick.protocols.shared.session import CoveredChanges
from damsonpick.protocols.xds.delta_session import DeltaSession
from damsonpick.protocols.xds.names import CDS, EDS, RDS
from damsonpick.protocols.xds.resources import Resource
from damsonpick.proxy.ads_client import AdsClient
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.proxy.response_errors import ResponseRejectedError

NAMES = ("slice/0", "slice/1")
CONTENTS = 3


def resource(name, n):
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    message.endpoints.add().lb_endpoints.add().load_balancing_weight.value = n + 1
    body = message.SerializeToString(deterministic=True)
    version = xxhash.xxh3_64_hexdigest(body)
    packed = any_pb2.Any(type_url=EDS, value=body)
    one = discovery_pb2.Resource(name=name, version=version, resource=packed)
    return Resource(version, discovery_pb2.DeltaDiscoveryResponse(resources=[one]).SerializeToString(), b"")


POOL = {(name, n): resource(name, n) for name in NAMES for n in range(CONTENTS)}


class Catalogue:
    """Just what a session asks of one; a copy shares the resources."""

    def __init__(self):
        self.at = dict.fromkeys(NAMES, 0)
        self.stopped = {}
        self.published = SimpleNamespace(seq=0)

    @property
    def by_type(self):
        return {CDS: {}, EDS: {n: POOL[n, k] for n, k in self.at.items()}, RDS: {}}

    def get(self, kind, name):
        return POOL[name, self.at[name]] if kind == EDS and name in self.at else None


class State:
    """Both ends and what lies between them."""

    def __init__(self):
        self.catalogue, self.received_state = Catalogue(), ReceivedState()
        self.corrupted = self.faults = 0
        self.connect()

    def connect(self):
        self.session = DeltaSession(self.catalogue, 1)
        self.ads = AdsClient(self.received_state, "gw", "a", True)
        self.down, self.up = [], [self.ads.subscribe(EDS, list(NAMES))]

    def copy(self):
        return copy.deepcopy(self, {id(r): r for r in POOL.values()})

    def key(self):
        watch = self.session.watches.get(EDS)
        told = (
            ()
            if watch is None
            else (
                tuple(sorted(watch.expected.items())),
                tuple(sorted(watch.acknowledged.items())),
                tuple(sorted(watch.pending)),
                tuple(tuple(sorted(response.versions.items())) for response in watch.in_flight.values()),
                None if watch.ranges_to_replace is None else len(watch.ranges_to_replace),
                watch.repairs,
                tuple(map(tuple, watch.isolated_batches)),
                tuple(sorted(watch.rejected.items())),
            )
        )
        return (
            tuple(self.catalogue.at.items()),
            tuple(sorted(self.received_state.versions[EDS].items())),
            told,
            tuple((m.control_plane.identifier, tuple((r.name, r.version) for r in m.resources)) for m, _ in self.down),
            tuple((bool(m.response_nonce), m.error_detail.message) for m in self.up),
            tuple(sorted(self.received_state.rejected_names)),
        )

    # -- actions

    def publish(self, name):
        self.catalogue.at[name] = (self.catalogue.at[name] + 1) % CONTENTS
        self.catalogue.published.seq += 1
        self.session.enqueue([name], CoveredChanges(self.catalogue.published.seq, 0, 1))

    def send(self):
        response = self.session.compose(self.catalogue.published.seq)
        if response is not None:
            message = discovery_pb2.DeltaDiscoveryResponse.FromString(response)
            self.down.append((message, dict(self.session.watches[EDS].expected)))
        return response is not None

    def deliver(self):
        message, expected = self.down.pop(0)
        parsed = self.ads.parse(message)
        bad = ""
        try:
            self.received_state.apply(*parsed)
        except ResponseRejectedError as error:
            bad = str(error)
        self.up.append(self.ads.acknowledge(message, bad))
        assert bad or self.received_state.versions[EDS] == expected, "a delta was applied to the wrong base"

    def answer(self):
        self.session.receive(0, self.up.pop(0))
        watch = self.session.watches[EDS]
        if (
            not self.corrupted
            and not watch.in_flight
            and watch.ranges_to_replace is None
            and not self.down
            and not self.up
        ):
            for name, version in watch.acknowledged.items():
                assert self.received_state.versions[EDS].get(name) == version, "an acknowledged version was lost"

    def corrupt(self, name):
        """The gateway's copy is of another content than it should be, and it believes in it."""
        have = self.received_state.versions[EDS].get(name)
        other = next(POOL[name, k].version for k in range(CONTENTS) if POOL[name, k].version != have)
        self.received_state._set_version(EDS, name, other)
        self.corrupted += 1

    def lose(self):
        self.connect()

    def refuse(self, name):
        self.received_state.rejected_names ^= {name}

    def actions(self, faults):
        found = [("publish", n) for n in NAMES]
        if self.session.watches:
            found.append(("send",))
        if self.down:
            found.append(("deliver",))
        if self.up:
            found.append(("answer",))
        if self.faults < faults:
            found += [("lose",), ("refuse", NAMES[0])]
            found += [("corrupt", n) for n in NAMES if n in self.received_state.versions[EDS]]
        return found

    def do(self, action):
        self.faults += action[0] in ("lose", "refuse", "corrupt")
        getattr(self, action[0])(*action[1:])


def settle(state):
    """Faults stop: within bounds everything must come to rest with the gateway holding what is published.

    A copy that went wrong on the gateway is found at the next delta, so one is published."""
    state.received_state.rejected_names = set()
    for name in NAMES:
        state.publish(name)
        watch = state.session.watches.get(EDS)
        if watch is not None and watch.expected.get(name) == POOL[name, state.catalogue.at[name]].version:
            state.publish(name)  # the same as before would be no delta
    state.catalogue.stopped.clear()
    for _ in range(60):
        moved = state.send() if state.session.watches else False
        while state.down:
            state.deliver()
            moved = True
        while state.up:
            state.answer()
            moved = True
        if not moved:
            break
    else:
        raise AssertionError("it does not come to rest")
    want = {n: POOL[n, k].version for n, k in state.catalogue.at.items()}
    watch = state.session.watches[EDS]
    for name, version in watch.rejected.items():
        if want[name] == version:
            want[name] = state.received_state.versions[EDS].get(name)  # it would not take this content: it need not
    held = {n: v for n, v in want.items() if v}
    assert state.received_state.versions[EDS] == held, "the gateway does not hold what is published"


def explore(depth, faults=2):
    """All states up to a depth. Raises AssertionError with the way there; returns (states, steps)."""
    start = State()
    seen, layer, steps = {start.key()}, [(start, ())], 0
    for _ in range(depth):
        after = []
        for state, way in layer:
            for action in state.actions(faults):
                made = state.copy()
                steps += 1
                try:
                    made.do(action)
                    key = made.key()
                    if key in seen:
                        continue
                    settle(made.copy())
                except AssertionError as error:
                    raise AssertionError(f"{error}, by {[*way, action]}") from None
                seen.add(key)
                after.append((made, (*way, action)))
        layer = after
    return len(seen), steps


if __name__ == "__main__":
    print(explore(int(sys.argv[1])))
