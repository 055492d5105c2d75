"""SASP messages to bytes and back, and the framing of a byte stream. Sans I/O.

Nothing is allocated for what a length or a count claims, only for bytes that are there. A message whose frame is right
and whose content is not leaves the stream usable and is answered NOT_UNDERSTOOD; a frame that lies ends it, as nothing
after it can be found.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator

from damsonpick.protocols.sasp import layout as sasp
from damsonpick.protocols.sasp.layout import Kind

HEAD = struct.Struct(">HHBiI")
PART = struct.Struct(">HH")
MEMBER = struct.Struct(">BH16sB")
LARGEST = 1_048_576  # bytes of a message


class FrameError(ValueError):
    """The stream cannot be followed any more; the text says where."""


class NotUnderstood(ValueError):
    """A message whose frame is right and whose content is not. `kind` is its type, if that could be read."""

    def __init__(self, text: str, number: int = 0, kind: int = 0) -> None:
        super().__init__(text)
        self.number, self.kind = number, kind


# -- writing


def _part(kind: int, body: bytes) -> bytes:
    size = PART.size + len(body)
    if size > 0xFFFF:
        raise ValueError(f"component 0x{kind:04x} has {size} bytes, a length holds at most 65535: split the group")
    return PART.pack(kind, size) + body


def _text(text: bytes) -> bytes:
    if len(text) > 255:
        raise ValueError(f"{text[:20]!r}... has {len(text)} bytes, a name holds at most 255")
    return bytes((len(text),)) + text


def write_member(m: sasp.Member) -> bytes:
    if len(m.label) > 255:
        raise ValueError(f"the label of {m.endpoint} has {len(m.label)} bytes, at most 255 fit")
    return _part(sasp.MEMBER, MEMBER.pack(m.protocol, m.port, m.address, len(m.label)) + m.label)


def write_group(g: sasp.Group) -> bytes:
    return _part(sasp.GROUP, _text(g.lb) + _text(g.name))


def write_weight(w: sasp.Weight) -> bytes:
    return _part(sasp.WEIGHT, write_member(w.member) + struct.pack(">BBH", w.state, w.flags, w.weight))


def _write_state(s: sasp.MemberState) -> bytes:
    return _part(sasp.STATE, write_member(s.member) + struct.pack(">BB", s.state, s.flags))


def _write_of(kind: int, group: sasp.Group, rows: list[bytes]) -> bytes:
    return _part(kind, struct.pack(">H", len(rows)) + write_group(group) + b"".join(rows))


def write_weights_of(group: sasp.Group, count: int, rows: bytes) -> bytes:
    """A group of weights from so many entries that are encoded already."""
    return _part(sasp.WEIGHTS_OF, struct.pack(">H", count) + write_group(group) + rows)


def _members_of(groups: tuple[sasp.MembersOf, ...]) -> bytes:
    return struct.pack(">H", len(groups)) + b"".join(
        _write_of(sasp.MEMBERS_OF, g.group, [write_member(m) for m in g.members]) for g in groups
    )


def _weights_of(groups: tuple[sasp.WeightsOf, ...]) -> bytes:
    return struct.pack(">H", len(groups)) + b"".join(
        _write_of(sasp.WEIGHTS_OF, g.group, [write_weight(w) for w in g.weights]) for g in groups
    )


def _body(body: sasp.Body) -> tuple[int, bytes]:
    match body:
        case sasp.Register(sender, groups):
            return Kind.REGISTER, bytes((sender,)) + _members_of(groups)
        case sasp.Deregister(sender, reason, groups):
            return Kind.DEREGISTER, bytes((sender, reason)) + _members_of(groups)
        case sasp.GetWeights(groups):
            return Kind.GET_WEIGHTS, struct.pack(">H", len(groups)) + b"".join(map(write_group, groups))
        case sasp.WeightsReply(code, interval, groups):
            return Kind.GET_WEIGHTS_REPLY, struct.pack(">BH", code, interval) + _weights_of(groups)
        case sasp.SendWeights(groups):
            return Kind.SEND_WEIGHTS, _weights_of(groups)
        case sasp.SetLbState(lb, health, flags):
            return Kind.SET_LB_STATE, _text(lb) + bytes((health, flags))
        case sasp.SetMemberState(sender, groups):
            return Kind.SET_MEMBER_STATE, bytes((sender,)) + struct.pack(">H", len(groups)) + b"".join(
                _write_of(sasp.STATES_OF, g.group, [_write_state(s) for s in g.states]) for g in groups
            )
        case sasp.Reply(kind, code):
            return kind, bytes((code,))
    raise TypeError(f"{body!r} is no SASP message")


def frame(number: int, kind: int, body: bytes) -> bytes:
    """A message round a body that is encoded already. A length above 65535 does not fit the message's own component:
    the message length of the header tells it all the same, and the component's says 65535."""
    size = PART.size + len(body)
    return (
        HEAD.pack(sasp.HEADER, sasp.HEADER_SIZE, sasp.VERSION, sasp.HEADER_SIZE + size, number)
        + PART.pack(kind, min(size, 0xFFFF))
        + body
    )


def encode(message: sasp.Message) -> bytes:
    kind, body = _body(message.body)
    return frame(message.number, kind, body)


# -- reading


class Reader:
    """A walk over the bytes of one component; reads past its end are NotUnderstood."""

    def __init__(self, data: memoryview, what: str) -> None:
        self.data, self.at, self.what = data, 0, what

    def take(self, count: int) -> memoryview:
        if self.at + count > len(self.data):
            raise NotUnderstood(f"{self.what}: {count} bytes are read at {self.at}, there are {len(self.data)}")
        self.at += count
        return self.data[self.at - count : self.at]

    def unpack(self, form: struct.Struct) -> tuple:
        return form.unpack(self.take(form.size))

    def byte(self) -> int:
        return self.take(1)[0]

    def short(self) -> int:
        return int.from_bytes(self.take(2), "big")

    def text(self) -> bytes:
        return bytes(self.take(self.byte()))

    def part(self, kind: int) -> Reader:
        """The next component, which must be of a kind."""
        found, size = self.unpack(PART)
        if found != kind:
            raise NotUnderstood(f"{self.what}: component 0x{found:04x} where 0x{kind:04x} belongs")
        if size < PART.size:
            raise NotUnderstood(
                f"{self.what}: component 0x{kind:04x} says it has {size} bytes, its head alone has {PART.size}"
            )
        return Reader(self.take(size - PART.size), f"component 0x{kind:04x}")

    def each(self, count: int, least: int, read: Callable[[Reader], object]) -> tuple:
        """So many rows. A count that the bytes left cannot hold is refused before anything is made for it."""
        if count * least > len(self.data) - self.at:
            raise NotUnderstood(f"{self.what}: {count} rows are counted, {len(self.data) - self.at} bytes are left")
        return tuple(read(self) for _ in range(count))

    def end(self) -> None:
        if self.at != len(self.data):
            raise NotUnderstood(f"{self.what}: {len(self.data) - self.at} bytes are left over")


def _member(reader: Reader) -> sasp.Member:
    part = reader.part(sasp.MEMBER)
    protocol, port, address, size = part.unpack(MEMBER)
    made = sasp.Member(protocol, port, address, bytes(part.take(size)))
    part.end()
    return made


def _group(reader: Reader) -> sasp.Group:
    part = reader.part(sasp.GROUP)
    made = sasp.Group(part.text(), part.text())
    part.end()
    return made


def _weight(reader: Reader) -> sasp.Weight:
    part = reader.part(sasp.WEIGHT)
    made = sasp.Weight(_member(part), part.byte(), sasp.WeightFlag(part.byte() & 0x0F), part.short())
    part.end()
    return made


def _state(reader: Reader) -> sasp.MemberState:
    part = reader.part(sasp.STATE)
    made = sasp.MemberState(_member(part), part.byte(), sasp.MemberFlag(part.byte() & 0x01))
    part.end()
    return made


LEAST = {sasp.MEMBER: 24, sasp.GROUP: 6, sasp.WEIGHT: 32, sasp.STATE: 30, sasp.MEMBERS_OF: 12}  # bytes of a row


def _of(kind: int, row: int, read: Callable[[Reader], object], make: Callable) -> Callable[[Reader], object]:
    def one(reader: Reader) -> object:
        part = reader.part(kind)
        count = part.short()
        group = _group(part)
        made = make(group, part.each(count, LEAST[row], read))
        part.end()
        return made

    return one


_members = _of(sasp.MEMBERS_OF, sasp.MEMBER, _member, sasp.MembersOf)
_weights = _of(sasp.WEIGHTS_OF, sasp.WEIGHT, _weight, sasp.WeightsOf)
_states = _of(sasp.STATES_OF, sasp.STATE, _state, sasp.StatesOf)


def _rows(reader: Reader, read: Callable[[Reader], object], least: int = 12) -> tuple:
    return reader.each(reader.short(), least, read)


READ: dict[int, Callable[[Reader], sasp.Body]] = {
    Kind.REGISTER: lambda r: sasp.Register(sasp.Sender(r.byte() & 1), _rows(r, _members)),
    Kind.DEREGISTER: lambda r: sasp.Deregister(sasp.Sender(r.byte() & 1), r.byte(), _rows(r, _members)),
    Kind.GET_WEIGHTS: lambda r: sasp.GetWeights(_rows(r, _group, LEAST[sasp.GROUP])),
    Kind.GET_WEIGHTS_REPLY: lambda r: sasp.WeightsReply(r.byte(), r.short(), _rows(r, _weights)),
    Kind.SEND_WEIGHTS: lambda r: sasp.SendWeights(_rows(r, _weights)),
    Kind.SET_LB_STATE: lambda r: sasp.SetLbState(r.text(), r.byte(), sasp.LbFlag(r.byte() & 7)),
    Kind.SET_MEMBER_STATE: lambda r: sasp.SetMemberState(sasp.Sender(r.byte() & 1), _rows(r, _states)),
} | {
    kind: (lambda r, k=kind: sasp.Reply(k, r.byte()))
    for kind in (Kind.REGISTER_REPLY, Kind.DEREGISTER_REPLY, Kind.SET_LB_STATE_REPLY, Kind.SET_MEMBER_STATE_REPLY)
}


def decode(data: bytes) -> sasp.Message:
    """One whole frame.

    Raises:
        NotUnderstood: its content is not as the protocol has it; it holds number and type for the reply.
    """
    _, _, version, _, number = HEAD.unpack_from(data)
    kind = 0
    try:
        if version != sasp.VERSION:
            raise NotUnderstood(f"version {version}, this is a manager of version {sasp.VERSION}")
        reader = Reader(memoryview(data)[sasp.HEADER_SIZE :], "the message")
        kind, size = reader.unpack(PART)
        if kind not in READ:
            raise NotUnderstood(f"message type 0x{kind:04x} is unknown")
        rest = len(data) - sasp.HEADER_SIZE
        if size != min(rest, 0xFFFF):
            raise NotUnderstood(f"message 0x{kind:04x} says it has {size} bytes, the header leaves {rest}")
        body = READ[kind](reader)
        reader.end()
    except NotUnderstood as error:
        raise NotUnderstood(str(error), number, kind) from None
    return sasp.Message(number, body)


class Splitter:
    """Cuts a byte stream into frames, whatever the pieces it comes in."""

    def __init__(self, largest: int = LARGEST) -> None:
        self.largest, self.data = largest, bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Whole frames that are there by now.

        Raises:
            FrameError: a head that is none, or a length that cannot be.
        """
        self.data += data
        while (size := self._size()) is not None and len(self.data) >= size:
            whole = bytes(self.data[:size])
            del self.data[:size]
            yield whole

    def _size(self) -> int | None:
        """Bytes of the frame at the front; None: not known yet. Each field is judged as soon as it is there."""
        if len(self.data) >= 4:
            kind, own = PART.unpack_from(self.data)
            if kind != sasp.HEADER or own != sasp.HEADER_SIZE:
                raise FrameError(
                    f"a message begins with 0x{kind:04x} of {own} bytes, not with a SASP header of {sasp.HEADER_SIZE}"
                )
        if len(self.data) < sasp.HEADER_SIZE:
            return None
        size = HEAD.unpack_from(self.data)[3]
        if not sasp.HEADER_SIZE + PART.size <= size <= self.largest:
            raise FrameError(
                f"a message says it has {size} bytes; from {sasp.HEADER_SIZE + PART.size} to {self.largest} are taken"
            )
        return size
