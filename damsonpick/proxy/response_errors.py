"""Why a proxy rejects a response of the control service. The text is sent back in the NACK."""

from __future__ import annotations

from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import Digest


class ResponseRejectedError(Exception):
    """A response is not applied."""


class UnwantedResourceError(ResponseRejectedError):
    """The proxy was told to reject a resource, as rehearsals do.

    Attributes:
        name: of the resource.
    """

    def __init__(self, name: str) -> None:
        """Compose the text for a resource."""
        super().__init__(f"{name}: this gateway was told to refuse it")
        self.name = name


class VersionMismatchError(ResponseRejectedError):
    """A resource's version is not the hash of its body.

    Attributes:
        name: of the resource.
    """

    def __init__(self, name: str, body_hash: str, version: str) -> None:
        """Compose the text for a resource, the hash of its body and its stated version."""
        super().__init__(f"{name}: the body's hash is {body_hash}, its version says {version}")
        self.name = name


class RootMismatchError(ResponseRejectedError):
    """The proxy holds something else than the response states."""

    def __init__(self, actual_root: str, stated_root: str, held: Digest) -> None:
        """Compose the text for the roots and the digest of what is held, from which the control service repairs it."""
        super().__init__(root_statement.mismatch_text(actual_root, stated_root, held.range_sums()))
