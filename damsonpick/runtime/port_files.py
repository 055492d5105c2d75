"""A file that tells which port a program has opened, for those that start it or dial it on this machine."""

from __future__ import annotations

from pathlib import Path


def write(path: Path | None, port: int) -> None:
    """Tell the port, whole or not at all; `path` None: nobody wants to know."""
    if path is not None:
        part = path.with_suffix(".part")
        part.write_text(f"{port}\n")
        part.replace(path)


def address(path: Path) -> str:
    """Where to dial, or '' while nothing is told."""
    try:
        return "127.0.0.1:" + path.read_text().strip()
    except OSError:
        return ""
