"""Events of the registry's watch: one JSON object per line to checked types. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from damsonpick.protocols.platform.errors import InvalidMessageError, MalformedMessageError
from damsonpick.protocols.platform.json_values import DECODE_ERRORS, describe_value, invalid_message
from damsonpick.protocols.platform.messages import Name, Number

NonNegative = Annotated[float, Meta(ge=0)]


class Heartbeat(Struct):
    """The watch is alive, and slices assigned before have been reported completely. An empty object on the wire."""


class ProxyAttached(Struct):
    """A proxy has joined."""

    proxy: Number
    zone: Name
    fresh: bool  # it holds no tables yet
    weight: float = 0.0


class ProxyDetached(Struct):
    """A proxy has left."""

    proxy: Number


class SyncCompleted(Struct):
    """A proxy has applied the message with this sync token."""

    proxy: Number
    token: Number = msgspec.field(name="mark")
    delay_ms: NonNegative = msgspec.field(name="took_ms", default=0.0)


class OwnershipChanged(Struct):
    """A slice was assigned to this pilot, or withdrawn from it."""

    slice: Number
    owned: bool = msgspec.field(name="on")


class EntryChanged(Struct):
    """An entry of an owned slice as it is stored; weight 0: it was removed."""

    slice: Number
    endpoint: Name = msgspec.field(name="server")
    weight: NonNegative


RegistryEvent = Heartbeat | ProxyAttached | ProxyDetached | SyncCompleted | OwnershipChanged | EntryChanged
_EVENT_TYPES: dict[str, type[RegistryEvent]] = {
    "attach": ProxyAttached,
    "detach": ProxyDetached,
    "done": SyncCompleted,
    "owner": OwnershipChanged,
    "entry": EntryChanged,
}
_decoder = msgspec.json.Decoder()


def decode_event(line: bytes) -> RegistryEvent:
    """Read one line of the watch.

    Raises:
        InvalidMessageError: it is an object, but no valid event.
        MalformedMessageError: it is no JSON object.
    """
    try:
        message = _decoder.decode(line)
    except DECODE_ERRORS as error:
        raise MalformedMessageError("", str(error)) from None
    if not isinstance(message, dict):
        raise MalformedMessageError("", "not a JSON object")
    if not message:
        return Heartbeat()
    name = message.get("type")
    if not isinstance(name, str) or name not in _EVENT_TYPES:
        raise InvalidMessageError("type", f"{describe_value(name)} is not known")
    try:
        return msgspec.convert(message.get("object"), _EVENT_TYPES[name])
    except msgspec.ValidationError as error:
        raise invalid_message(name, error) from None
