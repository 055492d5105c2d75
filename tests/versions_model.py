"""An explicit-state model checker of the version protocol, which uses the real session and the real received state.

The model has one stream of a pilot, one gateway, and two tables with three possible contents each. Messages are
delivered in order on a stream that may break at any point. Every action is tried in every state up to a depth; states
that were visited before are not explored again.

    python -m tests.versions_model 8     # explore to depth 8 and print the numbers of states and steps
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
CONTENT_COUNT = 3


def resource(name, content):
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    message.endpoints.add().lb_endpoints.add().load_balancing_weight.value = content + 1
    body = message.SerializeToString(deterministic=True)
    version = xxhash.xxh3_64_hexdigest(body)
    packed = any_pb2.Any(type_url=EDS, value=body)
    delta_resource = discovery_pb2.Resource(name=name, version=version, resource=packed)
    return Resource(version, discovery_pb2.DeltaDiscoveryResponse(resources=[delta_resource]).SerializeToString(), b"")


RESOURCES = {(name, n): resource(name, n) for name in NAMES for n in range(CONTENT_COUNT)}


class Catalogue:
    """The part of the catalogue that a session uses. Copies share the resources."""

    def __init__(self):
        self.content_by_name = dict.fromkeys(NAMES, 0)
        self.stopped = {}
        self.published = SimpleNamespace(seq=0)

    @property
    def by_type(self):
        return {CDS: {}, EDS: {n: RESOURCES[n, k] for n, k in self.content_by_name.items()}, RDS: {}}

    def get(self, kind, name):
        return RESOURCES[name, self.content_by_name[name]] if kind == EDS and name in self.content_by_name else None


class State:
    """State of the session, the gateway, and the messages in flight between them."""

    def __init__(self):
        self.catalogue, self.received_state = Catalogue(), ReceivedState()
        self.corrupted = self.faults = 0
        self.connect()

    def connect(self):
        self.session = DeltaSession(self.catalogue, 1)
        self.ads = AdsClient(self.received_state, "gw", "a", True)
        # messages in flight to the gateway and to the pilot
        self.down, self.up = [], [self.ads.subscribe(EDS, list(NAMES))]

    def copy(self):
        return copy.deepcopy(self, {id(r): r for r in RESOURCES.values()})

    def key(self):
        watch = self.session.watches.get(EDS)
        watch_state = (
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
            tuple(self.catalogue.content_by_name.items()),
            tuple(sorted(self.received_state.versions[EDS].items())),
            watch_state,
            tuple((m.control_plane.identifier, tuple((r.name, r.version) for r in m.resources)) for m, _ in self.down),
            tuple((bool(m.response_nonce), m.error_detail.message) for m in self.up),
            tuple(sorted(self.received_state.rejected_names)),
        )

    # -- actions

    def publish(self, name):
        self.catalogue.content_by_name[name] = (self.catalogue.content_by_name[name] + 1) % CONTENT_COUNT
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
        error_text = ""
        try:
            self.received_state.apply(*parsed)
        except ResponseRejectedError as error:
            error_text = str(error)
        self.up.append(self.ads.acknowledge(message, error_text))
        assert error_text or self.received_state.versions[EDS] == expected, "a delta was applied to the wrong base"

    def handle_request(self):
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
        """Replace the version of a resource in the gateway without its knowledge."""
        current = self.received_state.versions[EDS].get(name)
        other = next(RESOURCES[name, k].version for k in range(CONTENT_COUNT) if RESOURCES[name, k].version != current)
        self.received_state._set_version(EDS, name, other)
        self.corrupted += 1

    def break_stream(self):
        self.connect()

    def refuse(self, name):
        self.received_state.rejected_names ^= {name}

    def actions(self, faults):
        possible = [("publish", n) for n in NAMES]
        if self.session.watches:
            possible.append(("send",))
        if self.down:
            possible.append(("deliver",))
        if self.up:
            possible.append(("handle_request",))
        if self.faults < faults:
            possible += [("break_stream",), ("refuse", NAMES[0])]
            possible += [("corrupt", n) for n in NAMES if n in self.received_state.versions[EDS]]
        return possible

    def do(self, action):
        self.faults += action[0] in ("break_stream", "refuse", "corrupt")
        getattr(self, action[0])(*action[1:])


def settle(state):
    """Check that without further faults the gateway has the published resources after a bounded number of steps.

    A corrupted copy on the gateway is detected at the next delta, so a change of each resource is published first.
    """
    state.received_state.rejected_names = set()
    for name in NAMES:
        state.publish(name)
        watch = state.session.watches.get(EDS)
        if (
            watch is not None
            and watch.expected.get(name) == RESOURCES[name, state.catalogue.content_by_name[name]].version
        ):
            state.publish(name)  # an unchanged version would not be sent as a delta
    state.catalogue.stopped.clear()
    for _ in range(60):
        made_progress = state.send() if state.session.watches else False
        while state.down:
            state.deliver()
            made_progress = True
        while state.up:
            state.handle_request()
            made_progress = True
        if not made_progress:
            break
    else:
        raise AssertionError("messages are still sent after 60 rounds")
    expected = {n: RESOURCES[n, k].version for n, k in state.catalogue.content_by_name.items()}
    watch = state.session.watches[EDS]
    for name, version in watch.rejected.items():
        if expected[name] == version:
            # The gateway rejected this content, so it keeps its previous version.
            expected[name] = state.received_state.versions[EDS].get(name)
    expected_versions = {n: v for n, v in expected.items() if v}
    assert state.received_state.versions[EDS] == expected_versions, "the gateway does not hold what is published"


def explore(depth, faults=2):
    """Explore all states up to a depth; return the numbers of states and steps.

    Raises:
        AssertionError: A check failed; the message contains the actions that lead to it.
    """
    start = State()
    seen, layer, steps = {start.key()}, [(start, ())], 0
    for _ in range(depth):
        next_layer = []
        for state, path in layer:
            for action in state.actions(faults):
                successor = state.copy()
                steps += 1
                try:
                    successor.do(action)
                    key = successor.key()
                    if key in seen:
                        continue
                    settle(successor.copy())
                except AssertionError as error:
                    raise AssertionError(f"{error}, by {[*path, action]}") from None
                seen.add(key)
                next_layer.append((successor, (*path, action)))
        layer = next_layer
    return len(seen), steps


if __name__ == "__main__":
    print(explore(int(sys.argv[1])))
