"""Messages cut from a stream: a four-byte length, least significant byte first, and that many bytes. Sans I/O."""

from __future__ import annotations

HEAD = 4
MOST = 1 << 20  # bytes of a message


class FrameError(ValueError):
    """The stream cannot be read on; the text says why."""


class Frames:
    """Cuts a stream, however its bytes arrive.

    Args:
        most: bytes that a message may hold.
    """

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.data = bytearray()

    def feed(self, data: bytes) -> None:
        self.data += data

    def next(self) -> bytes | None:
        """The next whole message, or None.

        Raises:
            FrameError: a length that cannot be. It is seen as soon as the length is whole, before the body comes.
        """
        if len(self.data) < HEAD:
            return None
        size = int.from_bytes(self.data[:HEAD], "little")
        if not 2 <= size <= self.most:  # the shortest object is {}
            raise FrameError(f"a message of {size} bytes; 2 to {self.most} are allowed")
        if len(self.data) < HEAD + size:
            return None
        body = bytes(self.data[HEAD : HEAD + size])
        del self.data[: HEAD + size]
        return body


def frame(body: bytes) -> bytes:
    """A message ready to be written."""
    return len(body).to_bytes(HEAD, "little") + body
