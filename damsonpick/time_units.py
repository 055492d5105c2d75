"""Units of time.

Times and durations are integer nanoseconds. Names of values in seconds or milliseconds end in `_s` or `_ms`.
"""

from __future__ import annotations

MS_PER_SECOND = 1_000
NS_PER_US = 1_000
NS_PER_MS = 1_000_000
NS_PER_SECOND = 1_000_000_000
