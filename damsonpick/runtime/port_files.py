"""A file that names the port a program has opened, for those on this machine that connect to it."""

from __future__ import annotations

from pathlib import Path

LOOPBACK = "127.0.0.1"


class PortFileError(Exception):
    """The port file cannot be written."""

    def __init__(self, path: Path, cause: OSError) -> None:
        """Name the file and what the operating system says."""
        super().__init__(f"{path}: the port file cannot be written ({cause}); name another with --port-file")
        self.path = path


def write(path: Path | None, port: int) -> None:
    """Write the port; a reader sees the whole file or none. Nothing is written where `path` is None.

    Raises:
        PortFileError: it cannot be written.
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
    """The address to connect to; '' while there is no such file."""
    try:
        return f"{LOOPBACK}:{path.read_text().strip()}"
    except OSError:
        return ""
