"""Units of time; all times are integers in microseconds."""

from __future__ import annotations

SECOND_US = 1_000_000

# Later than any wall time in use.
FAR_FUTURE_US = 10**17
