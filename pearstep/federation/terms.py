"""Terms of offloaded work that may run twice.

If no messages arrive between the clusters, the remote cluster has certainly stopped the work before the
origin cluster takes it back. Each counts by its own monotonic clock; the clocks drift apart by up to 0.05%
(PROTOCOL). The remote cluster counts from the time at which it *sent* its acceptance or its request to renew,
the origin from the time at which it *received* that message. So the origin's term begins no earlier than the
remote one, however long the messages took.
"""

from __future__ import annotations

import msgspec

DRIFT_PPM = 500


class Term(msgspec.Struct, frozen=True):
    """The term of offloaded work, and the times that the remote cluster needs to stop all of it.

    Attributes:
        term_us: The term.
        lease_us: The lease of the remote cluster's workers, which stop by themselves when it expires.
        save_us: The longest time in which the job saves a checkpoint.
        step_us: How long the remote cluster's controllers may take to notice the time.
    """

    term_us: int
    lease_us: int
    save_us: int
    step_us: int

    @property
    def stop_us(self) -> int:
        """The time after which the remote cluster begins to stop, counted from when it sent its message.

        All tasks have stopped by the end of the term, even if the remote cluster has no controllers.
        """
        return max(self.term_us - self.lease_us - self.save_us - self.step_us, 0)

    @property
    def renew_us(self) -> int:
        """The time after which the remote cluster requests a renewal."""
        return self.stop_us // 2

    @property
    def take_back_us(self) -> int:
        """The time after which the origin cluster may take the work back, counted from receipt.

        Both clocks are assumed to be at the limit of their drift.
        """
        return self.term_us + self.term_us * 2 * DRIFT_PPM // 1_000_000 + self.step_us

    @property
    def leaves_time_to_run(self) -> bool:
        """Whether the term leaves any time to run."""
        return self.renew_us > self.step_us


class RemoteTerm:
    """The remote cluster's clock of one offload.

    A controller that has just become the leader has no record of when the request was sent. It uses the wall
    time that was stored with the request, less the error of the clock.
    """

    def __init__(self, term: Term, sent_us: int) -> None:
        """Begin at the monotonic time at which the acceptance was sent."""
        self.term = term
        self.sent_us = sent_us
        self.requested_us: int | None = None

    def request_renewal(self, now_us: int) -> bool:
        """Tell whether to request a renewal from the origin cluster now, and store the time."""
        if now_us - self.sent_us < self.term.renew_us:
            return False
        if self.requested_us is not None and now_us - self.requested_us < self.term.step_us:
            return False
        self.requested_us = now_us
        return True

    def apply_renewal(self, requested_us: int) -> None:
        """Apply a renewal by the origin cluster of the request that was sent at this time."""
        self.sent_us = max(self.sent_us, requested_us)

    def must_stop(self, now_us: int) -> bool:
        """Tell whether the tasks must be stopped now."""
        return now_us - self.sent_us >= self.term.stop_us


class OriginTerm:
    """The origin cluster's clock of one offload."""

    def __init__(self, term: Term, received_us: int) -> None:
        """Begin at the monotonic time at which the acceptance was received."""
        self.term = term
        self.received_us = received_us

    def apply_renewal(self, received_us: int) -> None:
        """Apply a request to renew, which is stored before it is answered."""
        self.received_us = max(self.received_us, received_us)

    def has_ended(self, now_us: int) -> bool:
        """Tell whether the remote cluster has certainly stopped all tasks of the offload."""
        return now_us - self.received_us >= self.term.take_back_us
