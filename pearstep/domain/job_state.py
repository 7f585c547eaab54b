"""States of a job."""

from __future__ import annotations

from enum import StrEnum


class JobState(StrEnum):
    """States of a job. The values are part of stored records."""

    QUEUED = "queued"
    DONE = "done"
    CANCELLED = "cancelled"
