"""Writes and reads the file in which a program publishes its port to clients on the same machine."""

from __future__ import annotations

from pathlib import Path

LOOPBACK = "127.0.0.1"


class PortFileError(Exception):
    """Raised when the port file cannot be written. The operator can choose another path with --port-file."""

    def __init__(self, path: Path, cause: OSError) -> None:
        """Build the message from the path and the error of the operating system."""
        super().__init__(f"{path}: the port file cannot be written ({cause}); choose another path with --port-file")
        self.path = path


def write(path: Path | None, port: int) -> None:
    """Write the port to a file. Until the new file is complete, a reader sees no file or the previous complete file.

    Args:
        path: Path of the file. If None, nothing is written.
        port: TCP port.

    Raises:
        PortFileError: The file cannot be written.
    """
    if path is None:
        return
    partial = path.with_suffix(".part")
    try:
        partial.write_text(f"{port}\n")
        partial.replace(path)
    except OSError as error:
        raise PortFileError(path, error) from None


def address(path: Path) -> str:
    """Return the address to connect to, or an empty string if the file cannot be read."""
    try:
        return f"{LOOPBACK}:{path.read_text().strip()}"
    except OSError:
        return ""
