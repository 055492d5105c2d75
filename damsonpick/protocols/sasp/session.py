"""One SASP connection as a state machine, and the desk that all of them share. Sans I/O.

SASP has no acknowledgement. What stands in its place: a poll tells a balancer all there is, so it has seen what was
published when it was answered; a push counts as seen once the peer's socket took it. Until then its mark is open, and
the channel's books with it. A balancer that neither polls nor takes pushes is treated as holding what it was last told.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from damsonpick.protocols.sasp import codec, weights
from damsonpick.protocols.sasp import layout as sasp
from damsonpick.protocols.sasp.layout import Code, Kind, LbFlag, Sender
from damsonpick.protocols.sasp.pacing import Meter, Pace
from damsonpick.protocols.sasp.registry import GroupOf, Registry
from damsonpick.protocols.sasp.weights import Advice, Known
from damsonpick.protocols.shared.session import CoveredChanges, RejectedVersion, SeqRange
from damsonpick.settings.units import slice_numbers
from damsonpick.state.published_tables import FLEET, PublishedTables, slice_unit

SECOND = 1_000_000_000
FRESH = 2 * SECOND  # ns for which shares are kept while no table changes: heat moves slowly
MOST_MADE = 20_000  # pieces of advice kept
NEVER = 1 << 62
REPLY = {
    Kind.REGISTER: Kind.REGISTER_REPLY,
    Kind.DEREGISTER: Kind.DEREGISTER_REPLY,
    Kind.SET_LB_STATE: Kind.SET_LB_STATE_REPLY,
    Kind.SET_MEMBER_STATE: Kind.SET_MEMBER_STATE_REPLY,
}


class Desk:
    """What all sessions share: registrations, advice, texts made once.

    Args:
        published: the state.
        registry, pace: see there.
        heat: of a slice, requests a second.
        known: what is known of an endpoint.
        tables_of: the tables that a class or slices cover.
        filled: part of the channel's limit that waits.
        blind: capacities by endpoint while no gateway reports anything: rounds then stand still, and a server that
            returns would never get a line; empty as soon as one does.
    """

    def __init__(
        self,
        published: PublishedTables,
        registry: Registry,
        pace: Pace,
        heat: Callable[[int], float],
        known: Callable[[str], Known],
        filled: Callable[[], float],
        blind: Callable[[], dict[str, float]] = dict,
    ) -> None:
        self.published, self.registry, self.pace, self.blind = published, registry, pace, blind
        self.heat, self.known, self.filled = heat, known, filled
        self.kept: dict[str, tuple[tuple, dict[str, float]]] = {}  # covers: (what it rests on, shares)
        self.texts: dict[tuple[sasp.Member, int, Advice], bytes] = {}
        self.made: dict[tuple[str, int], tuple[tuple, tuple, dict[str, Advice], bytes]] = {}
        self.units: dict[str, dict[str, None]] = {}  # by what is covered
        self.listed = 0  # grows when what is known of endpoints changes
        self.seq = 0

    def slices(self, covers: str) -> list[int]:
        """Tables that a group covers."""
        kind, _, rest = covers.partition(" ")
        if kind == "slices":
            return slice_numbers(covers)
        if kind == "class":
            count = len(self.published.classes)
            return list(range(self.published.classes.index(rest), self.published.slices, count))
        return list(range(self.published.slices))

    def covered(self, covers: str) -> Mapping[str, None]:
        """Units of what a group covers."""
        if covers not in self.units:
            self.units[covers] = dict.fromkeys(slice_unit(n) for n in self.slices(covers))
        return self.units[covers]

    def shares(self, now: int, covers: str) -> tuple[tuple, dict[str, float]]:
        """Shares over what is covered, and what they rest on: a change elsewhere makes nothing anew, and heat moves
        only what covers several slices."""
        changed, units = self.published.changed, self.covered(covers)
        if self.published.seq != self.seq:
            self.seq = self.published.seq
            self.pace.change(now)
        rests = (changed[FLEET], max((changed[u] for u in units), default=0), now // FRESH if len(units) > 1 else 0)
        kept = self.kept.get(covers)
        if kept is None or kept[0] != rests:
            capacities = self.blind() if covers == "fleet" else {}  # a slice stays where its table has it
            found = weights.by_capacity(capacities, self.published.withdrawn) or weights.shares(
                self.published, self.slices(covers), self.heat
            )
            kept = self.kept[covers] = rests, found
        return kept

    def advice(self, now: int, group: GroupOf) -> tuple[dict[str, Advice], bytes]:
        """Advice on a group, and its text on the wire. Made once for all groups that cover the same and have the same
        members; the same object as long as nothing of it changes."""
        rests, share = self.shares(now, group.covers)
        rests = (*rests, self.listed)
        key = (group.covers, id(group.look))
        made = self.made.get(key)
        if made is None or made[0] is not group.look or made[1] != rests:
            found = weights.advise(
                share,
                dict.fromkeys(m.endpoint for m, *_ in group.look),
                self.known,
                self.published.withdrawn,
                [m.endpoint for m, _, quiesced, _ in group.look if quiesced],
                [m.endpoint for m, _, _, own in group.look if own],
            )
            if made is not None and made[0] is group.look and made[2] == found:
                found, text = made[2], made[3]
            else:
                text = b"".join(self._row(m, state, found[m.endpoint]) for m, state, *_ in group.look)
            if len(self.made) > MOST_MADE:
                self.made.clear()
            made = self.made[key] = group.look, rests, found, text
        return made[2], codec.write_weights_of(group.key, len(group.look), made[3])

    def changed(self, group: GroupOf, before: Mapping[str, Advice], after: Mapping[str, Advice]) -> tuple[int, bytes]:
        """The members of a group whose advice has changed: how many, and their text."""
        rows = [
            self._row(m, state, after[m.endpoint])
            for m, state, *_ in group.look
            if before.get(m.endpoint) != after[m.endpoint]
        ]
        return len(rows), codec.write_weights_of(group.key, len(rows), b"".join(rows))

    def _row(self, member: sasp.Member, state: int, advice: Advice) -> bytes:
        key = (member, state, advice)
        if key not in self.texts:
            if len(self.texts) > 100_000:
                self.texts.clear()
            self.texts[key] = codec.write_weight(sasp.Weight(member, state, advice.flags, advice.weight))
        return self.texts[key]


class SaspSession:
    """One connection. Implements `fronts.session.Session` once its balancer has made itself known."""

    variant, verifies_roots = "sasp", False

    def __init__(self, desk: Desk, zone_of: Callable[[bytes], str], meter: Meter) -> None:
        self.desk, self.zone_of, self.meter = desk, zone_of, meter
        self.lb = b""
        self.node, self.zone, self.fresh = "", "", True
        self.flags = LbFlag(0)
        self.rejected_ranges: list[SeqRange] = []
        self.rejections: dict[str, str] = {}
        self.newly_rejected: list[RejectedVersion] = []
        self.told: dict[bytes, dict[str, Advice]] = {}  # by group: what its peer was last told
        self.polled = self.pushed = self.seen = 0  # ns, ns, change number
        self.interval = 0  # s that it was last asked to wait
        self.pending: CoveredChanges | None = None  # a change that is to be pushed
        self.stale: set[str] = set()  # units whose groups are to be looked at; FLEET: all
        self.wanted: tuple[int, set[str]] = (-1, set())  # units of all its groups, at a stamp of the registry
        self.writing = 0  # lowest change number of a push that the socket has not taken; 0: none
        self.number = 0  # of the last message of ours
        self.rows = 0  # members in the last push

    # -- requests

    def receive(self, now: int, data: bytes) -> bytes:
        """The reply to one whole frame."""
        try:
            message = codec.decode(data)
        except codec.NotUnderstood as error:
            kind = REPLY.get(
                error.kind, Kind.GET_WEIGHTS_REPLY if error.kind == Kind.GET_WEIGHTS else Kind.SET_LB_STATE_REPLY
            )
            self.rejections["message"] = str(error)
            if kind is Kind.GET_WEIGHTS_REPLY:
                return codec.encode(sasp.Message(error.number, sasp.WeightsReply(Code.NOT_UNDERSTOOD, 0, ())))
            return codec.encode(sasp.Message(error.number, sasp.Reply(kind, Code.NOT_UNDERSTOOD)))
        return self._answer(now, message)

    def _answer(self, now: int, message: sasp.Message) -> bytes:
        registry = self.desk.registry
        match message.body:
            case sasp.GetWeights(groups):
                return self._weights(now, message.number, groups)
            case sasp.SetLbState(lb, health, flags):
                code = registry.set_lb(self, lb, health, flags) if lb == self.lb or not self.lb else Code.UNKNOWN_LB
                if code == Code.OK:
                    self._known(lb, flags)
                kind = Kind.SET_LB_STATE
            case sasp.Register(sender, groups):
                code, kind = registry.register(self, sender, groups), Kind.REGISTER
                if code == Code.OK and sender & Sender.BALANCER and groups:
                    self._known(groups[0].group.lb, self.flags)
            case sasp.Deregister(sender, _, groups):
                code, kind = registry.deregister(self, sender, groups), Kind.DEREGISTER
            case sasp.SetMemberState(sender, groups):
                code, kind = registry.set_states(sender, groups), Kind.SET_MEMBER_STATE
            case _:  # a reply or a push: only we send those
                code, kind = Code.NOT_UNDERSTOOD, Kind.SET_LB_STATE
        return codec.encode(sasp.Message(message.number, sasp.Reply(REPLY[kind], code)))

    def _known(self, lb: bytes, flags: LbFlag) -> None:
        if not self.lb:
            self.lb, self.node = lb, "sasp:" + lb.decode("utf-8", "backslashreplace")
            self.zone = self.zone_of(lb)
        self.flags = flags

    @property
    def pushes(self) -> bool:
        return bool(self.flags & LbFlag.PUSH)

    def _weights(self, now: int, number: int, groups: tuple[sasp.Group, ...]) -> bytes:
        """A poll. With NO_CHANGE, groups that say what they said are left out."""
        if not groups and self.lb:
            mine = self.desk.registry.balancers.get(self.lb)
            groups = tuple(g.key for g in mine.groups.values()) if mine else ()
        code, texts = Code.OK, []
        if len(dict.fromkeys(groups)) != len(groups):
            code, groups = Code.DUPLICATE_GROUP, ()
        for key in groups:
            found = self.desk.registry.find(key)
            if isinstance(found, Code):
                code, texts = found, []
                break
            advice, text = self.desk.advice(now, found)
            if self.flags & LbFlag.NO_CHANGE and self.told.get(key.name) == advice:
                continue
            self.told[key.name] = advice
            texts.append(text)
        if code == Code.OK:
            self.polled, self.seen = now, self.desk.published.seq
        desk = self.desk
        self.interval = desk.pace.interval(
            now, sum(len(b.sessions) for b in desk.registry.balancers.values()), desk.filled()
        )
        body = bytes((code,)) + self.interval.to_bytes(2, "big") + len(texts).to_bytes(2, "big") + b"".join(texts)
        return codec.frame(number, Kind.GET_WEIGHTS_REPLY, body)

    # -- pushes

    def compose(self, now: int) -> bytes | None:
        """A push, or None: nothing it was not told, beyond noise."""
        if self.pending is None or self.writing:
            return None
        due, self.pending = self.pending, None
        stale, self.stale = self.stale, set()
        texts, self.rows = [], 0
        for group, advice, text in self._news(now, stale):
            before = self.told.get(group.key.name)
            if self.flags & LbFlag.NO_CHANGE and before is not None:
                count, text = self.desk.changed(group, before, advice)
            else:
                count = len(group.look)
            self.told[group.key.name] = advice
            self.rows += count
            texts.append(text)
        self.seen = self.desk.published.seq
        if not texts:
            return None
        self.pushed, self.writing = now, due.first_seq or 1
        self.number += 1
        body = len(texts).to_bytes(2, "big") + b"".join(texts)
        return codec.frame(self.number, Kind.SEND_WEIGHTS, body)

    def _news(self, now: int, stale: set[str]) -> Iterator[tuple[GroupOf, dict[str, Advice], bytes]]:
        """Groups of which its peer should be told, beyond noise."""
        balancer = self.desk.registry.balancers.get(self.lb)
        groups = balancer.groups if balancer else {}
        for name in [n for n in self.told if n not in groups]:
            del self.told[name]
        for group in groups.values():
            units = self.desk.covered(group.covers)
            if FLEET not in stale and not (
                stale & units.keys() if len(stale) < len(units) else any(u in stale for u in units)
            ):
                continue
            advice, text = self.desk.advice(now, group)
            before = self.told.get(group.key.name)
            if advice is not before and weights.matters(before or {}, advice):
                yield group, advice, text

    def news(self, now: int, most: int) -> tuple[dict[str, set[str]], bool]:
        """What it should be told though no table changed, as lines by unit of about `most`, and whether a member has
        newly been quiesced: that is never put off. The rest waits for the next look, or for its poll."""
        if not self.pushes or self.pending is not None or self.writing:
            return {}, False
        lines: dict[str, set[str]] = {}
        count, hurry = 0, False
        for group, advice, _ in self._news(now, {FLEET}):
            quiesced = weights.urgent(self.told.get(group.key.name, {}), advice)
            if count >= most and not quiesced:
                continue
            hurry |= quiesced and group.key.name in self.told
            count += len(advice)
            unit = next(iter(self.desk.covered(group.covers)), FLEET)
            lines.setdefault(unit, set()).update(f"{group.key.name!r} {n}" for n in advice)
        return lines, hurry

    def written(self) -> None:
        """The socket took the push."""
        self.writing = 0

    # -- fronts.session.Session

    @property
    def joined(self) -> bool:
        return bool(self.lb)

    def subscribes_to(self, unit: str) -> bool:
        """Pushes alone go through the channel; a poll costs no line, as the balancer pays for it by asking."""
        if not self.flags & LbFlag.PUSH or self.lb not in self.desk.registry.balancers:
            return False
        if unit == FLEET:
            return True
        if self.wanted[0] != self.desk.registry.stamp:
            groups = self.desk.registry.balancers[self.lb].groups.values()
            self.wanted = self.desk.registry.stamp, {u for g in groups for u in self.desk.covered(g.covers)}
        return unit in self.wanted[1]

    def enqueue(self, units: Iterable[str], covered: CoveredChanges) -> None:
        first_seq = covered.first_seq
        if self.pending is not None and self.pending.first_seq:
            first_seq = min(first_seq, self.pending.first_seq)
        self.pending = CoveredChanges(first_seq, covered.ordered_at, covered.entries)
        self.stale.update(units)

    def ready(self) -> bool:
        return not self.writing

    def oldest_unacknowledged(self) -> int:
        firsts = [n for n in (self.writing, self.pending.first_seq if self.pending else 0) if n]
        return min(firsts, default=NEVER)

    def unacknowledged_messages(self) -> int:
        return int(bool(self.writing))

    def acknowledged_versions(self) -> dict[str, str]:
        return {}

    def acknowledged_at(self) -> int:
        return max(self.polled, self.pushed)

    def held_counts(self) -> dict[str, int]:
        return {"groups": len(self.told)}
