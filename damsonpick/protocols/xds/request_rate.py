"""A limit on the rate of requests of one stream, as a token bucket. Sans I/O."""

from __future__ import annotations

from damsonpick.protocols.xds.errors import RequestRateError
from damsonpick.time_units import NS_PER_SECOND

REQUESTS_PER_S = 200.0
REQUEST_BURST = 4000.0  # a client may subscribe to every slice with a request of its own


class RequestRateLimit:
    """The token bucket of one stream."""

    def __init__(self) -> None:
        """Begin with a full bucket."""
        self._tokens = REQUEST_BURST
        self._updated_at = 0  # ns; 0: no request yet

    def count_request(self, now: int) -> None:
        """Take a token for one request.

        Args:
            now: ns.

        Raises:
            RequestRateError: the bucket is empty.
        """
        gained = max(0, now - self._updated_at) / NS_PER_SECOND * REQUESTS_PER_S if self._updated_at else 0.0
        self._tokens = min(REQUEST_BURST, self._tokens + gained) - 1
        self._updated_at = now
        if self._tokens < 0:
            raise RequestRateError(REQUESTS_PER_S)
