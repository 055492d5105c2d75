"""Units of time.

Times and durations are integer nanoseconds. Names of constants and variables in seconds end in `_S` or `_s`.
"""

from __future__ import annotations

NS_PER_SECOND = 1_000_000_000
