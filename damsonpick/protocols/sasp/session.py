"""State machine of one SASP connection. Sans I/O.

SASP has no acknowledgements, so sending counts as acknowledgement. A poll reply contains the current advice, so the
load balancer counts as having seen everything that was published by the time of the reply. The changes in a push count
as acknowledged as soon as the socket has accepted the push. Until then, they and their sync tokens are unacknowledged,
whether the changes wait in the send queue, wait in the session or are being written. A load balancer that neither polls
nor accepts pushes is assumed to still use the advice that it received last.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from damsonpick.protocols.sasp import codec, weights
from damsonpick.protocols.sasp import layout as sasp
from damsonpick.protocols.sasp.advisor import GroupAdvice, WeightAdvisor
from damsonpick.protocols.sasp.layout import Code, Kind, LbFlag, Sender
from damsonpick.protocols.sasp.pacing import MessageRateLimiter
from damsonpick.protocols.sasp.registry import RegisteredGroup
from damsonpick.protocols.sasp.weights import Advice
from damsonpick.protocols.shared.session import CoveredChanges, RejectedVersion, SeqRange
from damsonpick.state.published_tables import FLEET

NOTHING_UNACKNOWLEDGED = 1 << 62  # greater than every sequence number
REPLY_KINDS: dict[int, Kind] = {
    Kind.REGISTER: Kind.REGISTER_REPLY,
    Kind.DEREGISTER: Kind.DEREGISTER_REPLY,
    Kind.GET_WEIGHTS: Kind.GET_WEIGHTS_REPLY,
    Kind.SET_LB_STATE: Kind.SET_LB_STATE_REPLY,
    Kind.SET_MEMBER_STATE: Kind.SET_MEMBER_STATE_REPLY,
}


class ChangedGroup(NamedTuple):
    """A group whose changed advice should be sent to the peer."""

    group: RegisteredGroup
    advice: dict[str, Advice]
    encoded: bytes


class UnsentAdvice(NamedTuple):
    """Advice that has changed since it was last sent, possibly without a table change, and should be pushed to a peer.

    Attributes:
        entries: Names of the entries to queue, by unit: one for each endpoint of a changed group. The push may contain
            fewer members if the load balancer has set the flag NO_CHANGE.
        urgent: Whether a member has newly been quiesced in a group whose advice the peer has received before.
    """

    entries: dict[str, set[str]]
    urgent: bool


class Subscription(NamedTuple):
    """Union of the units that the groups of a load balancer cover, as of a revision of the registry."""

    revision: int
    units: frozenset[str]


class SaspSession:
    """Session of one connection.

    It is used as a `protocols.shared.session.Session` only after its load balancer has identified itself.

    Args:
        advisor: Computes advice; shared by all sessions.
        zone_of: Returns the zone of a load balancer.
        rate_limiter: Limits the message rate of this session.

    Attributes:
        lb: Identifier of the load balancer; empty until the load balancer has identified itself.
        flags: Flags that the load balancer set last.
        seen_seq: Sequence number of the published state at the last successful poll reply, or at the last call of
            `compose` that had pending changes, even if it found nothing to send. 0 if there was none.
        pushed_members: Number of members in the last push; 0 if the last call of `compose` with pending changes found
            nothing to send.
        decode_error: Reason why the last message could not be decoded; empty if it was decoded.
    """

    variant = "sasp"
    verifies_roots = False

    def __init__(
        self, advisor: WeightAdvisor, zone_of: Callable[[bytes], str], rate_limiter: MessageRateLimiter
    ) -> None:
        """Create a session whose load balancer has not identified itself yet."""
        self.advisor = advisor
        self.zone_of = zone_of
        self.rate_limiter = rate_limiter
        self.lb = b""
        self.node = ""
        self.zone = ""
        self.fresh = True
        self.flags = LbFlag(0)
        self.rejected_ranges: list[SeqRange] = []
        self.rejections: dict[str, str] = {}
        self.newly_rejected: list[RejectedVersion] = []
        self.decode_error = ""
        self.seen_seq = 0
        self.pushed_members = 0
        self._last_advice: dict[bytes, dict[str, Advice]] = {}  # by group name: advice that was last sent to the peer
        self._polled_at = 0  # time of the last poll reply in ns; 0 if there was none
        self._pushed_at = 0  # time of the last push in ns; 0 if there was none
        self._pending: CoveredChanges | None = None  # changes that the next push must deliver; None if there are none
        self._pending_units: set[str] = set()  # units with changes to push; FLEET affects all groups
        self._subscription = Subscription(-1, frozenset())
        self._writing_seq = 0  # lowest sequence number in the push being written; 0 if no push is being written
        self._push_number = 0  # message id of the last push

    # -- requests

    def receive(self, now: int, data: bytes) -> bytes:
        """Process one complete frame and return the encoded reply."""
        self.decode_error = ""
        try:
            message = codec.decode(data)
        except codec.MessageError as error:
            self.decode_error = str(error)
            return _encode_not_understood(error)
        return self._answer(now, message)

    def _answer(self, now: int, message: sasp.Message) -> bytes:
        registry = self.advisor.registry
        match message.body:
            case sasp.GetWeights(groups):
                return self._answer_poll(now, message.number, groups)
            case sasp.SetLbState(lb, health, flags):
                kind, code = Kind.SET_LB_STATE, self._set_lb(lb, health, flags)
            case sasp.Register(sender, groups):
                kind, code = Kind.REGISTER, self._register(sender, groups)
            case sasp.Deregister(sender, _, groups):
                kind, code = Kind.DEREGISTER, registry.deregister(self, sender, groups)
            case sasp.SetMemberState(sender, groups):
                kind, code = Kind.SET_MEMBER_STATE, registry.set_states(sender, groups)
            case _:  # a reply or a push, which only the manager sends
                kind, code = Kind.SET_LB_STATE, Code.NOT_UNDERSTOOD
        return codec.encode(sasp.Message(message.number, sasp.Reply(REPLY_KINDS[kind], code)))

    def _set_lb(self, lb: bytes, health: int, flags: LbFlag) -> Code:
        if self.lb and lb != self.lb:
            return Code.UNKNOWN_LB
        code = self.advisor.registry.set_lb(self, lb, health, flags)
        if code == Code.OK:
            self._identify(lb, flags)
        return code

    def _register(self, sender: Sender, groups: tuple[sasp.MemberGroup, ...]) -> Code:
        code = self.advisor.registry.register(self, sender, groups)
        if code == Code.OK and sender & Sender.BALANCER and groups:
            self._identify(groups[0].group.lb, self.flags)
        return code

    def _identify(self, lb: bytes, flags: LbFlag) -> None:
        if not self.lb:
            self.lb = lb
            self.node = "sasp:" + lb.decode("utf-8", "backslashreplace")
            self.zone = self.zone_of(lb)
        self.flags = flags

    def _answer_poll(self, now: int, number: int, groups: tuple[sasp.Group, ...]) -> bytes:
        """Return the encoded Get Weights Reply (RFC 4678, 6.3).

        With the flag NO_CHANGE, the reply omits groups whose advice is the same as last sent.
        """
        if not groups:
            groups = self._own_groups()
        encoded_groups: list[bytes] = []
        code = self._collect_weights(now, groups, encoded_groups)
        if code == Code.OK:
            self._polled_at = now
            self.seen_seq = self.advisor.published.seq
        else:
            encoded_groups = []
        interval = self.advisor.poll_interval(now)
        return codec.frame(number, Kind.GET_WEIGHTS_REPLY, codec.write_weights_reply(code, interval, encoded_groups))

    def _own_groups(self) -> tuple[sasp.Group, ...]:
        """Return the keys of all groups of the load balancer."""
        balancer = self.advisor.registry.balancers.get(self.lb) if self.lb else None
        if balancer is None:
            return ()
        return tuple(group.key for group in balancer.groups.values())

    def _collect_weights(self, now: int, groups: tuple[sasp.Group, ...], encoded_groups: list[bytes]) -> Code:
        """Append the encoded weights of groups to `encoded_groups` and return the reply code.

        The advice on each of these groups is recorded as last sent. Groups that are listed twice are rejected before
        any weight is collected; otherwise the first group that cannot be read ends the collection and determines the
        reply code.
        """
        if len(set(groups)) != len(groups):
            return Code.DUPLICATE_GROUP
        for key in groups:
            group = self.advisor.registry.find(key)
            if isinstance(group, Code):
                return group
            current = self.advisor.advise(now, group)
            if self.flags & LbFlag.NO_CHANGE and self._last_advice.get(key.name) == current.advice:
                continue
            self._last_advice[key.name] = current.advice
            encoded_groups.append(current.encoded)
        return Code.OK

    # -- pushes

    @property
    def accepts_pushes(self) -> bool:
        """Whether the load balancer has asked for pushes with the flag PUSH."""
        return bool(self.flags & LbFlag.PUSH)

    def compose(self, now: int) -> bytes | None:
        """Return the next push (Send Weights; RFC 4678, 6.4).

        The result is None if no changes are pending, if no advice has changed significantly since it was last sent, or
        while a push is being written. The pending changes are removed unless a push is being written, and the advice in
        the push is recorded as last sent.
        """
        if self._pending is None or self._writing_seq:
            return None
        covered, self._pending = self._pending, None
        units, self._pending_units = self._pending_units, set()
        encoded_groups = []
        self.pushed_members = 0
        for changed in self._changed_groups(now, units):
            encoded_groups.append(self._encode_push(changed))
            self._last_advice[changed.group.key.name] = changed.advice
        self.seen_seq = self.advisor.published.seq
        if not encoded_groups:
            return None
        self._pushed_at = now
        self._writing_seq = covered.first_seq or 1
        self._push_number += 1
        return codec.frame(self._push_number, Kind.SEND_WEIGHTS, codec.write_groups(encoded_groups))

    def _encode_push(self, changed: ChangedGroup) -> bytes:
        """Encode the weights of a group.

        Only the changed members are included if the load balancer set NO_CHANGE and has received advice on the group
        before. Otherwise, all members are included.
        """
        before = self._last_advice.get(changed.group.key.name)
        if not self.flags & LbFlag.NO_CHANGE or before is None:
            self.pushed_members += len(changed.group.snapshot)
            return changed.encoded
        members = self.advisor.encode_changed(changed.group, before, changed.advice)
        self.pushed_members += members.size
        return members.encoded

    def _changed_groups(self, now: int, units: set[str]) -> Iterator[ChangedGroup]:
        """Yield the groups whose advice has changed significantly since it was last sent.

        Only groups that cover any of `units` are considered, or all groups if `units` contains FLEET. The advice last
        sent on groups that are no longer registered is forgotten.
        """
        balancer = self.advisor.registry.balancers.get(self.lb)
        groups = balancer.groups if balancer else {}
        for name in [name for name in self._last_advice if name not in groups]:
            del self._last_advice[name]
        for group in groups.values():
            covered = self.advisor.covered_units(group.coverage).keys()
            if FLEET not in units and covered.isdisjoint(units):
                continue
            current: GroupAdvice = self.advisor.advise(now, group)
            before = self._last_advice.get(group.key.name)
            if current.advice is not before and weights.is_significant(before or {}, current.advice):
                yield ChangedGroup(group, current.advice, current.encoded)

    def unsent_advice(self, now: int, max_entries: int) -> UnsentAdvice:
        """Return advice that has changed significantly since it was last sent, possibly without a table change.

        The result is empty if the peer does not accept pushes, changes are pending, or a push is being written.

        Args:
            now: Current time, nanoseconds.
            max_entries: Approximate limit on the entries. Groups with newly quiesced members are included even above
                the limit; other groups wait for the next call or for the peer's poll.
        """
        entries: dict[str, set[str]] = {}
        if not self.accepts_pushes or self._pending is not None or self._writing_seq:
            return UnsentAdvice(entries, False)
        count = 0
        urgent = False
        for group, advice, _ in self._changed_groups(now, {FLEET}):
            name = group.key.name
            newly_quiesced = weights.has_newly_quiesced(self._last_advice.get(name, {}), advice)
            if count >= max_entries and not newly_quiesced:
                continue
            urgent |= newly_quiesced and name in self._last_advice
            count += len(advice)
            unit = next(iter(self.advisor.covered_units(group.coverage)), FLEET)
            entries.setdefault(unit, set()).update(f"{name!r} {endpoint}" for endpoint in advice)
        return UnsentAdvice(entries, urgent)

    def push_written(self) -> None:
        """Record that the socket has accepted the push."""
        self._writing_seq = 0

    # -- protocols.shared.session.Session

    @property
    def joined(self) -> bool:
        """Whether the load balancer has identified itself."""
        return bool(self.lb)

    def subscribes_to(self, unit: str) -> bool:
        """Return whether changes of a unit are pushed to the peer.

        Poll replies need no capacity of the send queue, because the peer asks for them.
        """
        registry = self.advisor.registry
        if not self.accepts_pushes or self.lb not in registry.balancers:
            return False
        if unit == FLEET:
            return True
        if self._subscription.revision != registry.revision:
            units: set[str] = set()
            for group in registry.balancers[self.lb].groups.values():
                units.update(self.advisor.covered_units(group.coverage))
            self._subscription = Subscription(registry.revision, frozenset(units))
        return unit in self._subscription.units

    def enqueue(self, units: Iterable[str], covered: CoveredChanges) -> None:
        """Add changed units to those that wait for the next push."""
        first_seq = covered.first_seq
        if self._pending is not None and self._pending.first_seq:
            first_seq = min(first_seq, self._pending.first_seq)
        self._pending = CoveredChanges(first_seq, covered.ordered_at, covered.entries)
        self._pending_units.update(units)

    def ready(self) -> bool:
        """Return whether no push is being written."""
        return not self._writing_seq

    def oldest_unacknowledged(self) -> int:
        """Return the lowest sequence number that is pending or being written.

        Returns `NOTHING_UNACKNOWLEDGED` if there is none.
        """
        pending_seq = self._pending.first_seq if self._pending else 0
        return min((seq for seq in (self._writing_seq, pending_seq) if seq), default=NOTHING_UNACKNOWLEDGED)

    def unacknowledged_messages(self) -> int:
        """Return the number of pushes that the socket has not accepted yet: 0 or 1."""
        return int(bool(self._writing_seq))

    def acknowledged_versions(self) -> dict[str, str]:
        """Return an empty dictionary, because SASP messages carry no versions."""
        return {}

    def acknowledged_at(self) -> int:
        """Return the time of the last poll reply or push in nanoseconds, or 0 if there was none.

        SASP has no acknowledgements, so sending counts as acknowledgement.
        """
        return max(self._polled_at, self._pushed_at)

    def state_counts(self) -> dict[str, int]:
        """Return the number of groups whose advice was sent to the peer."""
        return {"groups": len(self._last_advice)}


def _encode_not_understood(error: codec.MessageError) -> bytes:
    """Return the encoded reply to a message that cannot be decoded.

    The reply type matches the type of the request if that is known, and is Set LB State Reply otherwise.
    """
    kind = REPLY_KINDS.get(error.kind, Kind.SET_LB_STATE_REPLY)
    if kind is Kind.GET_WEIGHTS_REPLY:
        return codec.encode(sasp.Message(error.number, sasp.WeightsReply(Code.NOT_UNDERSTOOD, 0, ())))
    return codec.encode(sasp.Message(error.number, sasp.Reply(kind, Code.NOT_UNDERSTOOD)))
