"""Errors of the SASP server."""

from __future__ import annotations


class SaspServerError(Exception):
    """Base class of the errors that prevent the SASP server from running."""


class ListenError(SaspServerError):
    """Raised when the SASP server cannot listen on the address in the settings."""

    def __init__(self, address: str, cause: OSError) -> None:
        """Build a message with the setting, the error of the operating system and the remedy."""
        super().__init__(
            f"[sasp] listen = {address}: cannot be opened ({cause}); use a free port and an address of this host"
        )
        self.address = address
