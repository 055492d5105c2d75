"""Encodes and decodes frames: a four-byte little-endian length, followed by a body of that many bytes. No I/O."""

from __future__ import annotations

from damsonpick.protocols.platform.errors import FrameError

LENGTH_BYTES = 4
MIN_FRAME_BYTES = 2  # the shortest body is an empty JSON object
MAX_FRAME_BYTES = 1 << 20


class FrameReader:
    """Splits a byte stream into frames; the chunks it receives need not match the frames."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Create a reader with an empty buffer.

        Args:
            max_frame_bytes: Largest length of a frame's body. It may be changed between frames.
        """
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self.buffer += data

    def next_frame(self) -> bytes | None:
        """Remove and return the body of the next frame, or return None if the frame is incomplete.

        Raises:
            FrameError: The length is out of range. It is checked even before the body has been received.
        """
        if len(self.buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffer[:LENGTH_BYTES], "little")
        if not MIN_FRAME_BYTES <= length <= self.max_frame_bytes:
            reason = f"the body has {length} bytes; {MIN_FRAME_BYTES} to {self.max_frame_bytes} bytes are allowed"
            raise FrameError("length", reason)
        end = LENGTH_BYTES + length
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[LENGTH_BYTES:end])
        del self.buffer[:end]
        return body


def encode_frame(body: bytes) -> bytes:
    """Return the frame for a body."""
    return len(body).to_bytes(LENGTH_BYTES, "little") + body
