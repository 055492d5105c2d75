"""Decodes the events of the registry's watch, one JSON object per line, to validated types. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from damsonpick.protocols.platform.errors import InvalidMessageError, MalformedMessageError
from damsonpick.protocols.platform.json_values import DECODE_ERRORS, describe_value, invalid_message
from damsonpick.protocols.platform.messages import Name, Uint16

NonNegative = Annotated[float, Meta(ge=0)]


class Heartbeat(Struct):
    """Shows that the watch is alive and has reported all entries of the slices that were assigned before it.

    It is an empty object on the wire.
    """


class ProxyAttached(Struct):
    """A proxy has joined."""

    proxy: Uint16
    zone: Name
    fresh: bool  # whether the proxy has no tables yet
    weight: float = 0.0


class ProxyDetached(Struct):
    """A proxy has left."""

    proxy: Uint16


class SyncCompleted(Struct):
    """A proxy has applied the message with this sync token."""

    proxy: Uint16
    token: Uint16 = msgspec.field(name="mark")
    delay_ms: NonNegative = msgspec.field(name="took_ms", default=0.0)


class OwnershipChanged(Struct):
    """A slice was assigned to this pilot, or its assignment was revoked."""

    slice: Uint16
    owned: bool = msgspec.field(name="on")


class EntryChanged(Struct):
    """An entry of an owned slice was stored, or was removed if its weight is 0."""

    slice: Uint16
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
    """Decode one line of the watch.

    Raises:
        InvalidMessageError: The line is a JSON object, but not a valid event.
        MalformedMessageError: The line cannot be decoded as JSON, or is not a JSON object.
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
        raise InvalidMessageError("type", f"{describe_value(name)} is not a known event type")
    try:
        return msgspec.convert(message.get("object"), _EVENT_TYPES[name])
    except msgspec.ValidationError as error:
        raise invalid_message(name, error) from None
