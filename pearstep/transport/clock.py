"""The monotonic clock and the wall clock, as whole microseconds."""

from __future__ import annotations

import time


def now_us() -> int:
    """Return the monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """Return the time since the Unix epoch (1970), in microseconds."""
    return time.time_ns() // 1000
