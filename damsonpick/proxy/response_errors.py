"""Errors for which a proxy rejects a response of the control service. The NACK contains the error text."""

from __future__ import annotations

from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import Digest


class ResponseRejectedError(Exception):
    """Base class of the errors for which a response is not applied."""


class UnwantedResourceError(ResponseRejectedError):
    """Raised when a response contains a resource that the proxy is set to reject, as test scenarios do.

    Attributes:
        name: Name of the resource.
    """

    def __init__(self, name: str) -> None:
        """Create the error for a resource."""
        super().__init__(f"{name}: this gateway was told to refuse it")
        self.name = name


class VersionMismatchError(ResponseRejectedError):
    """Raised when a resource's version is not the hash of its body.

    Attributes:
        name: Name of the resource.
    """

    def __init__(self, name: str, body_hash: str, version: str) -> None:
        """Create the error for a resource, the hash of its body and its stated version."""
        super().__init__(f"{name}: the body's hash is {body_hash}, its version says {version}")
        self.name = name


class RootMismatchError(ResponseRejectedError):
    """Raised when the proxy's resources do not have the root that the response states."""

    def __init__(self, actual_root: str, stated_root: str, held: Digest) -> None:
        """Create the error.

        The text contains the range sums of the proxy's resources, which the control service uses to repair them.

        Args:
            actual_root: Root of the proxy's resources before or after the response, whichever differs.
            stated_root: Root that the response states for the same moment.
            held: Digest of the proxy's resources.
        """
        super().__init__(root_statement.mismatch_text(actual_root, stated_root, held.range_sums()))
