"""Errors of the SASP server."""

from __future__ import annotations


class SaspServerError(Exception):
    """The SASP server cannot be run."""


class ListenError(SaspServerError):
    """The address cannot be opened."""

    def __init__(self, address: str, cause: OSError) -> None:
        """Name the setting, what the operating system says, and the remedy."""
        super().__init__(f"[sasp] listen = {address}: cannot be opened ({cause}); free the port or choose another")
        self.address = address
