"""An attempt whose place is freed, and the evidence for that, for the log of the commit that frees it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from pearstep.domain.attempt import TaskAttempt


class EndEvidence(StrEnum):
    """How the owner knows that an attempt does not run any more."""

    EXITED = "exited"  # its agent reported the exit
    NOT_REPORTED = "not_reported"  # its agent would report it if it still had it
    SESSION_ENDED = "session_ended"  # its agent is in a later session
    LEASE_EXPIRED = "lease_expired"  # its agent has had no answer for a lease
    MACHINE_DELETED = "machine_deleted"  # the cloud has confirmed the machine's deletion


class FreedAttempt(NamedTuple):
    """An attempt whose place is freed.

    Attributes:
        attempt: The attempt.
        evidence: Why it is known not to run.
        cause: Why it exited, as on the wire; empty unless its agent reported that.
    """

    attempt: TaskAttempt
    evidence: EndEvidence
    cause: str = ""

    @property
    def label(self) -> str:
        """The attempt and its evidence, as in ``req-1/0@2:i-000017#3:exited/done``."""
        cause = f"/{self.cause}" if self.cause else ""
        return f"{self.attempt.label}:{self.evidence}{cause}"
