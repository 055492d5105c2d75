"""A token bucket that limits the request rate of one stream. Sans I/O."""

from __future__ import annotations

from damsonpick.protocols.xds.errors import RequestRateError
from damsonpick.time_units import NS_PER_SECOND

REQUESTS_PER_S = 200.0  # refill rate of the bucket
REQUEST_BURST = 4000.0  # size of the bucket in requests; a client may subscribe to each slice in a separate request
LOAD_REPORTS_PER_S = 20.0  # refill rate of the bucket of a load-report stream, at least
LOAD_REPORTS_PER_PERIOD = 4.0  # the same for each report period
LOAD_REPORT_BURST = 200.0  # size of the bucket in load reports


class RequestRateLimit:
    """The token bucket of one stream."""

    def __init__(self, rate: float = REQUESTS_PER_S, burst: float = REQUEST_BURST) -> None:
        """Create a full bucket.

        Args:
            rate: Requests per second.
            burst: Requests that may follow each other at once.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = 0  # time of the last request, ns; 0 before the first request

    def count_request(self, now: int) -> None:
        """Remove one token from the bucket for a request.

        Args:
            now: Current time, ns.

        Raises:
            RequestRateError: The bucket contains less than one token.
        """
        gained = max(0, now - self._updated_at) / NS_PER_SECOND * self._rate if self._updated_at else 0.0
        self._tokens = min(self._burst, self._tokens + gained) - 1
        self._updated_at = now
        if self._tokens < 0:
            raise RequestRateError(self._rate)


def load_report_limit(report_period: int) -> RequestRateLimit:
    """Return the limit of a load-report stream whose client reports once in a period (ns)."""
    rate = max(LOAD_REPORTS_PER_S, LOAD_REPORTS_PER_PERIOD * NS_PER_SECOND / report_period)
    return RequestRateLimit(rate, rate * LOAD_REPORT_BURST / LOAD_REPORTS_PER_S)
