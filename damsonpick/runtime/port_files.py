"""A file that names the port a program has opened, for those on this machine that connect to it."""

from __future__ import annotations

from pathlib import Path

LOOPBACK = "127.0.0.1"


def write(path: Path | None, port: int) -> None:
    """Write the port; a reader sees the whole file or none. Nothing is written where `path` is None."""
    if path is None:
        return
    partial = path.with_suffix(".part")
    partial.write_text(f"{port}\n")
    partial.replace(path)


def address(path: Path) -> str:
    """The address to connect to; '' while there is no such file."""
    try:
        return f"{LOOPBACK}:{path.read_text().strip()}"
    except OSError:
        return ""
