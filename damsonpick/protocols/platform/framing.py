"""Frames of a stream: a four-byte little-endian length, and a body of that many bytes. No I/O."""

from __future__ import annotations

from damsonpick.protocols.platform.errors import FrameError

LENGTH_BYTES = 4
MIN_FRAME_BYTES = 2  # the shortest body is an empty JSON object
MAX_FRAME_BYTES = 1 << 20


class FrameReader:
    """Cuts a stream into frames, however its bytes arrive."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Start with an empty buffer.

        Args:
            max_frame_bytes: of a body; may be changed between frames.
        """
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer += data

    def next_frame(self) -> bytes | None:
        """Remove and return the body of the next frame; None while it is incomplete.

        Raises:
            FrameError: the length is out of range. This is seen before the body arrives.
        """
        if len(self.buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "little")
        if not MIN_FRAME_BYTES <= length <= self.max_frame_bytes:
            reason = f"a message of {length} bytes; {MIN_FRAME_BYTES} to {self.max_frame_bytes} are allowed"
            raise FrameError("length", reason)
        end = LENGTH_BYTES + length
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[LENGTH_BYTES:end])
        del self.buffer[:end]
        return body


def encode_frame(body: bytes) -> bytes:
    """Return a frame with this body."""
    return len(body).to_bytes(LENGTH_BYTES, "little") + body
