"""Encodes and decodes SASP messages and splits a byte stream into frames. Sans I/O.

Memory is allocated only for bytes that were received, never for a size that only a length or count field states. A
message with a valid frame and invalid content leaves the stream usable: its reply has the code NOT_UNDERSTOOD. A frame
with an invalid header ends the stream, because the start of the next frame cannot be determined.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Sequence
from typing import Any, TypeVar

from damsonpick.protocols.sasp import layout as sasp
from damsonpick.protocols.sasp.layout import Kind

HEADER = struct.Struct(">HHBiI")  # type, length, version, message length, message id
COMPONENT = struct.Struct(">HH")  # type, length
MEMBER = struct.Struct(">BH16sB")  # protocol, port, address, length of the label
WEIGHT_TAIL = struct.Struct(">BBH")  # state, flags, weight
STATE_TAIL = struct.Struct(">BB")  # state, flags
COUNT = struct.Struct(">H")
REPLY_HEAD = struct.Struct(">BH")  # code, interval
MAX_COMPONENT_BYTES = 0xFFFF
MAX_NAME_BYTES = 255
MAX_MESSAGE_BYTES = 1_048_576
# Masks of the flags that this version defines. Other flags are ignored when a message is read.
KNOWN_WEIGHT_FLAGS = 0x0F
KNOWN_MEMBER_FLAGS = 0x01
KNOWN_LB_FLAGS = 0x07
KNOWN_SENDER_FLAGS = 0x01
# Minimum sizes of components in bytes, including their type and length.
MIN_MEMBER_BYTES = 24
MIN_GROUP_BYTES = 6
MIN_WEIGHT_BYTES = 32
MIN_STATE_BYTES = 30
MIN_GROUP_OF_BYTES = 12  # component with a group and its members, weights or states, if it has no such rows

T = TypeVar("T")


class SaspFormatError(ValueError):
    """Base class of the errors for bytes that do not follow the protocol."""


class FrameError(SaspFormatError):
    """Raised for an invalid frame header, after which the stream cannot be read any further."""


class MessageError(SaspFormatError):
    """Raised for a message with a valid frame and invalid content."""

    def __init__(self, text: str, number: int = 0, kind: int = 0) -> None:
        """Store the error text, the message id and the message type; a type of 0 means that it could not be read."""
        super().__init__(text)
        self.number = number
        self.kind = kind


# -- encoding


def _write_component(kind: int, body: bytes) -> bytes:
    size = COMPONENT.size + len(body)
    if size > MAX_COMPONENT_BYTES:
        raise ValueError(f"component 0x{kind:04x} has {size} bytes, but a component has at most 65535: split the group")
    return COMPONENT.pack(kind, size) + body


def _write_name(name: bytes) -> bytes:
    if len(name) > MAX_NAME_BYTES:
        raise ValueError(f"{name[:20]!r}... has {len(name)} bytes, but a name has at most 255")
    return bytes((len(name),)) + name


def write_member(member: sasp.Member) -> bytes:
    """Encode a member component (RFC 4678, 5.1).

    Raises:
        ValueError: The label of the member is longer than 255 bytes.
    """
    label = member.label
    if len(label) > MAX_NAME_BYTES:
        raise ValueError(f"the label of {member.endpoint} has {len(label)} bytes, but a label has at most 255")
    return _write_component(sasp.MEMBER, MEMBER.pack(member.protocol, member.port, member.address, len(label)) + label)


def write_group(group: sasp.Group) -> bytes:
    """Encode a group component.

    Raises:
        ValueError: The group name or the load balancer identifier is longer than 255 bytes.
    """
    return _write_component(sasp.GROUP, _write_name(group.lb) + _write_name(group.name))


def write_weight(weight: sasp.Weight) -> bytes:
    """Encode a weight entry with its member."""
    tail = WEIGHT_TAIL.pack(weight.state, weight.flags, weight.weight)
    return _write_component(sasp.WEIGHT, write_member(weight.member) + tail)


def _write_state(state: sasp.MemberState) -> bytes:
    return _write_component(sasp.STATE, write_member(state.member) + STATE_TAIL.pack(state.state, state.flags))


def _write_group_of(kind: int, group: sasp.Group, rows: Sequence[bytes]) -> bytes:
    return _write_component(kind, COUNT.pack(len(rows)) + write_group(group) + b"".join(rows))


def write_weights_of(group: sasp.Group, count: int, entries: bytes) -> bytes:
    """Encode a component with a group and its weights.

    Args:
        group: The group.
        count: Number of weight entries.
        entries: Concatenated results of `write_weight`.

    Raises:
        ValueError: The component is longer than 65535 bytes.
    """
    return _write_component(sasp.WEIGHTS_OF, COUNT.pack(count) + write_group(group) + entries)


def write_groups(groups: Sequence[bytes]) -> bytes:
    """Encode the number of encoded groups, followed by the groups. This is the body of a push."""
    return b"".join((COUNT.pack(len(groups)), *groups))


def write_weights_reply(code: int, interval: int, groups: Sequence[bytes]) -> bytes:
    """Encode the body of Get Weights Reply (RFC 4678, 6.3) from encoded groups; `interval` is in seconds."""
    return b"".join((REPLY_HEAD.pack(code, interval), COUNT.pack(len(groups)), *groups))


def _write_member_groups(groups: Sequence[sasp.MemberGroup]) -> bytes:
    encoded = []
    for group, members in groups:
        encoded.append(_write_group_of(sasp.MEMBERS_OF, group, [write_member(member) for member in members]))
    return write_groups(encoded)


def _write_weight_groups(groups: Sequence[sasp.WeightGroup]) -> list[bytes]:
    encoded = []
    for group, weights in groups:
        encoded.append(_write_group_of(sasp.WEIGHTS_OF, group, [write_weight(weight) for weight in weights]))
    return encoded


def _write_state_groups(groups: Sequence[sasp.StateGroup]) -> bytes:
    encoded = []
    for group, states in groups:
        encoded.append(_write_group_of(sasp.STATES_OF, group, [_write_state(state) for state in states]))
    return write_groups(encoded)


def _write_body(body: sasp.Body) -> tuple[int, bytes]:
    """Return the message type and the encoded body of a message."""
    kind: int
    match body:
        case sasp.Register(sender, groups):
            kind, content = Kind.REGISTER, bytes((sender,)) + _write_member_groups(groups)
        case sasp.Deregister(sender, reason, groups):
            kind, content = Kind.DEREGISTER, bytes((sender, reason)) + _write_member_groups(groups)
        case sasp.GetWeights(keys):
            kind, content = Kind.GET_WEIGHTS, write_groups([write_group(key) for key in keys])
        case sasp.WeightsReply(code, interval, weights):
            kind, content = Kind.GET_WEIGHTS_REPLY, write_weights_reply(code, interval, _write_weight_groups(weights))
        case sasp.SendWeights(weights):
            kind, content = Kind.SEND_WEIGHTS, write_groups(_write_weight_groups(weights))
        case sasp.SetLbState(lb, health, flags):
            kind, content = Kind.SET_LB_STATE, _write_name(lb) + bytes((health, flags))
        case sasp.SetMemberState(sender, states):
            kind, content = Kind.SET_MEMBER_STATE, bytes((sender,)) + _write_state_groups(states)
        case sasp.Reply(kind, code):
            content = bytes((code,))
        case _:
            raise TypeError(f"{body!r} is not a SASP message")
    return kind, content


def frame(number: int, kind: int, body: bytes) -> bytes:
    """Return a complete message with an encoded body.

    The 16-bit length field of the message component cannot represent a size above 65535. It then contains 65535, and
    only the message length in the header gives the real size.
    """
    size = COMPONENT.size + len(body)
    header = HEADER.pack(sasp.HEADER, sasp.HEADER_SIZE, sasp.VERSION, sasp.HEADER_SIZE + size, number)
    return header + COMPONENT.pack(kind, min(size, MAX_COMPONENT_BYTES)) + body


def encode(message: sasp.Message) -> bytes:
    """Encode a message as one frame.

    Raises:
        ValueError: A name or the label of a member is longer than 255 bytes, or the component of a group and its
            members, weights or states is longer than 65535 bytes.
    """
    kind, body = _write_body(message.body)
    return frame(message.number, kind, body)


# -- decoding


class Reader:
    """Reads the fields of one component in order.

    Every method raises MessageError if the bytes do not follow the protocol.

    Args:
        data: Bytes of the component after its type and length.
        what: Name of the component in error messages.
    """

    def __init__(self, data: memoryview, what: str) -> None:
        """Start reading at the first byte."""
        self.data = data
        self.position = 0
        self.what = what

    @property
    def remaining(self) -> int:
        """Number of bytes that have not been read yet."""
        return len(self.data) - self.position

    def take(self, count: int) -> memoryview:
        """Read the next `count` bytes."""
        start = self.position
        end = start + count
        if end > len(self.data):
            raise MessageError(
                f"{self.what}: {count} bytes are read at offset {start}, but only {len(self.data)} exist"
            )
        self.position = end
        return self.data[start:end]

    def unpack(self, form: struct.Struct) -> tuple[Any, ...]:
        """Read the next fields according to a struct format."""
        return form.unpack(self.take(form.size))

    def byte(self) -> int:
        """Read the next byte as an unsigned number."""
        return self.take(1)[0]

    def short(self) -> int:
        """Read the next two bytes as an unsigned number."""
        return int.from_bytes(self.take(2), "big")

    def name(self) -> bytes:
        """Read a name, which is preceded by its length in one byte."""
        return bytes(self.take(self.byte()))

    def component(self, kind: int) -> Reader:
        """Return a reader for the next component, whose type must be `kind`."""
        found, size = self.unpack(COMPONENT)
        if found != kind:
            raise MessageError(f"{self.what}: component 0x{found:04x} found where 0x{kind:04x} belongs")
        if size < COMPONENT.size:
            raise MessageError(
                f"{self.what}: component 0x{kind:04x} says it has {size} bytes, but its head has {COMPONENT.size}"
            )
        return Reader(self.take(size - COMPONENT.size), f"component 0x{kind:04x}")

    def rows(self, count: int, min_row_bytes: int, read_row: Callable[[Reader], T]) -> tuple[T, ...]:
        """Read `count` rows. A count that does not fit into the remaining bytes is rejected before any row is read."""
        if count * min_row_bytes > self.remaining:
            raise MessageError(f"{self.what}: {count} rows are declared, but only {self.remaining} bytes are left")
        return tuple(read_row(self) for _ in range(count))

    def counted_rows(self, min_row_bytes: int, read_row: Callable[[Reader], T]) -> tuple[T, ...]:
        """Read rows that are preceded by their count."""
        return self.rows(self.short(), min_row_bytes, read_row)

    def end(self) -> None:
        """Raise MessageError if any bytes have not been read."""
        if self.remaining:
            raise MessageError(f"{self.what}: {self.remaining} unexpected bytes at the end")


def _read_member(reader: Reader) -> sasp.Member:
    component = reader.component(sasp.MEMBER)
    protocol, port, address, label_bytes = component.unpack(MEMBER)
    member = sasp.Member(protocol, port, address, bytes(component.take(label_bytes)))
    component.end()
    return member


def _read_group(reader: Reader) -> sasp.Group:
    component = reader.component(sasp.GROUP)
    lb = component.name()
    group = sasp.Group(lb, component.name())
    component.end()
    return group


def _read_weight(reader: Reader) -> sasp.Weight:
    component = reader.component(sasp.WEIGHT)
    member = _read_member(component)
    state, flags, weight = component.unpack(WEIGHT_TAIL)
    component.end()
    return sasp.Weight(member, state, sasp.WeightFlag(flags & KNOWN_WEIGHT_FLAGS), weight)


def _read_state(reader: Reader) -> sasp.MemberState:
    component = reader.component(sasp.STATE)
    member = _read_member(component)
    state, flags = component.unpack(STATE_TAIL)
    component.end()
    return sasp.MemberState(member, state, sasp.MemberFlag(flags & KNOWN_MEMBER_FLAGS))


def _read_group_of(
    reader: Reader, kind: int, min_row_bytes: int, read_row: Callable[[Reader], T]
) -> tuple[sasp.Group, tuple[T, ...]]:
    """Read a group with its rows. The count of the rows precedes the group."""
    component = reader.component(kind)
    count = component.short()
    group = _read_group(component)
    rows = component.rows(count, min_row_bytes, read_row)
    component.end()
    return group, rows


def _read_members_of(reader: Reader) -> sasp.MemberGroup:
    return sasp.MemberGroup(*_read_group_of(reader, sasp.MEMBERS_OF, MIN_MEMBER_BYTES, _read_member))


def _read_weights_of(reader: Reader) -> sasp.WeightGroup:
    return sasp.WeightGroup(*_read_group_of(reader, sasp.WEIGHTS_OF, MIN_WEIGHT_BYTES, _read_weight))


def _read_states_of(reader: Reader) -> sasp.StateGroup:
    return sasp.StateGroup(*_read_group_of(reader, sasp.STATES_OF, MIN_STATE_BYTES, _read_state))


def _read_sender(reader: Reader) -> sasp.Sender:
    return sasp.Sender(reader.byte() & KNOWN_SENDER_FLAGS)


def _read_register(reader: Reader) -> sasp.Register:
    sender = _read_sender(reader)
    return sasp.Register(sender, reader.counted_rows(MIN_GROUP_OF_BYTES, _read_members_of))


def _read_deregister(reader: Reader) -> sasp.Deregister:
    sender = _read_sender(reader)
    reason = reader.byte()
    return sasp.Deregister(sender, reason, reader.counted_rows(MIN_GROUP_OF_BYTES, _read_members_of))


def _read_get_weights(reader: Reader) -> sasp.GetWeights:
    return sasp.GetWeights(reader.counted_rows(MIN_GROUP_BYTES, _read_group))


def _read_weights_reply(reader: Reader) -> sasp.WeightsReply:
    code, interval = reader.unpack(REPLY_HEAD)
    return sasp.WeightsReply(code, interval, reader.counted_rows(MIN_GROUP_OF_BYTES, _read_weights_of))


def _read_send_weights(reader: Reader) -> sasp.SendWeights:
    return sasp.SendWeights(reader.counted_rows(MIN_GROUP_OF_BYTES, _read_weights_of))


def _read_set_lb_state(reader: Reader) -> sasp.SetLbState:
    lb = reader.name()
    health = reader.byte()
    return sasp.SetLbState(lb, health, sasp.LbFlag(reader.byte() & KNOWN_LB_FLAGS))


def _read_set_member_state(reader: Reader) -> sasp.SetMemberState:
    sender = _read_sender(reader)
    return sasp.SetMemberState(sender, reader.counted_rows(MIN_GROUP_OF_BYTES, _read_states_of))


BODY_READERS: dict[int, Callable[[Reader], sasp.Body]] = {
    Kind.REGISTER: _read_register,
    Kind.DEREGISTER: _read_deregister,
    Kind.GET_WEIGHTS: _read_get_weights,
    Kind.GET_WEIGHTS_REPLY: _read_weights_reply,
    Kind.SEND_WEIGHTS: _read_send_weights,
    Kind.SET_LB_STATE: _read_set_lb_state,
    Kind.SET_MEMBER_STATE: _read_set_member_state,
}
CODE_REPLIES = frozenset(
    (Kind.REGISTER_REPLY, Kind.DEREGISTER_REPLY, Kind.SET_LB_STATE_REPLY, Kind.SET_MEMBER_STATE_REPLY)
)


def _read_body(kind: int, reader: Reader) -> sasp.Body:
    if kind in CODE_REPLIES:
        body: sasp.Body = sasp.Reply(Kind(kind), reader.byte())
    elif kind in BODY_READERS:
        body = BODY_READERS[kind](reader)
    else:
        raise MessageError(f"message type 0x{kind:04x} is unknown")
    reader.end()
    return body


def _check_size(kind: int, size: int, available: int) -> None:
    """Raise MessageError if the length of the message component contradicts the message length in the header.

    The length of a message of an unknown type is not checked.
    """
    is_known = kind in CODE_REPLIES or kind in BODY_READERS
    if is_known and size != min(available, MAX_COMPONENT_BYTES):
        raise MessageError(f"message 0x{kind:04x} says it has {size} bytes, but {available} follow the header")


def decode(data: bytes) -> sasp.Message:
    """Decode one complete frame.

    Raises:
        MessageError: The content does not follow the protocol. The error has the message id and type for the reply.
    """
    _, _, version, _, number = HEADER.unpack_from(data)
    kind = 0
    try:
        if version != sasp.VERSION:
            raise MessageError(f"version {version} is not supported; version {sasp.VERSION} is expected")
        reader = Reader(memoryview(data)[sasp.HEADER_SIZE :], "the message")
        kind, size = reader.unpack(COMPONENT)
        _check_size(kind, size, len(data) - sasp.HEADER_SIZE)
        body = _read_body(kind, reader)
    except MessageError as error:
        raise MessageError(str(error), number, kind) from None
    return sasp.Message(number, body)


class Splitter:
    """Splits a byte stream into frames, independent of how the stream is divided into reads.

    Args:
        max_message_bytes: Maximum length of a message. A longer one ends the stream.
    """

    def __init__(self, max_message_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """Create a splitter with an empty buffer."""
        self.max_message_bytes = max_message_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add received bytes and yield each frame that is complete.

        Raises:
            FrameError: The stream has an invalid header or a message length outside the accepted range.
        """
        self.buffer += data
        while True:
            size = self._frame_bytes()
            if size is None or len(self.buffer) < size:
                return
            frame_data = bytes(self.buffer[:size])
            del self.buffer[:size]
            yield frame_data

    def _frame_bytes(self) -> int | None:
        """Return the size of the first frame in the buffer, or None if it is not known yet.

        The type and length of the header are checked once they have been received, and the message length once the
        header is complete. `decode` checks the version.

        Raises:
            FrameError: One of these checks failed.
        """
        if len(self.buffer) >= COMPONENT.size:
            kind, header_bytes = COMPONENT.unpack_from(self.buffer)
            if kind != sasp.HEADER or header_bytes != sasp.HEADER_SIZE:
                raise FrameError(
                    f"a message begins with component 0x{kind:04x} of {header_bytes} bytes, "
                    f"not with a SASP header of {sasp.HEADER_SIZE} bytes"
                )
        if len(self.buffer) < sasp.HEADER_SIZE:
            return None
        size = HEADER.unpack_from(self.buffer)[3]
        smallest = sasp.HEADER_SIZE + COMPONENT.size
        if not smallest <= size <= self.max_message_bytes:
            raise FrameError(f"a message says it has {size} bytes; {smallest} to {self.max_message_bytes} are accepted")
        return size
