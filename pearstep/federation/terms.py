"""When a loan of work that may run twice ends without a word: the guest surely stops before home takes it
back.

All by steady clocks of their own, which drift apart by up to 0.05% (PROTOCOL). The guest counts from when
it *sent* what home answered (its acceptance, or its request to renew); home from when it *received* that.
So home's term begins no earlier than the guest's, however long the messages took.
"""

from __future__ import annotations

import msgspec

DRIFT_PPM = 500


class Term(msgspec.Struct, frozen=True):
    """A loan's term, and what the guest needs to end all of it, in microseconds: ``lease_us`` is the guest's
    workers' lease (they stop by themselves if all controllers are gone), ``save_us`` the longest save of the
    job, ``step_us`` how long the guest's controllers may take to notice."""

    term_us: int
    lease_us: int
    save_us: int
    step_us: int

    @property
    def stop_us(self) -> int:
        """After this the guest begins to stop, counted from when it sent: whether it has controllers or not,
        everything is gone by the term's end."""
        return max(self.term_us - self.lease_us - self.save_us - self.step_us, 0)

    @property
    def renew_us(self) -> int:
        """After this the guest asks to renew."""
        return self.stop_us // 2

    @property
    def back_us(self) -> int:
        """After this home may take it back, counted from when it received: both clocks at the edge of their
        drift."""
        return self.term_us + self.term_us * 2 * DRIFT_PPM // 1_000_000 + self.step_us

    @property
    def usable(self) -> bool:
        """Whether the term leaves any time to run."""
        return self.renew_us > self.step_us


class GuestTerm:
    """The guest's clock of one loan. A controller that has just taken over and does not know when the request
    was sent goes by the time of day that was written with it, less its error."""

    def __init__(self, term: Term, sent_us: int) -> None:
        self.term = term
        self.sent_us = sent_us
        self.asked_us: int | None = None

    def ask(self, now_us: int) -> bool:
        """Whether to ask home to renew now."""
        if now_us - self.sent_us < self.term.renew_us:
            return False
        if self.asked_us is not None and now_us - self.asked_us < self.term.step_us:
            return False
        self.asked_us = now_us
        return True

    def renewed(self, asked_us: int) -> None:
        """Home has renewed what was asked for at this time."""
        self.sent_us = max(self.sent_us, asked_us)

    def must_stop(self, now_us: int) -> bool:
        """Whether the loan's tasks are to be stopped now."""
        return now_us - self.sent_us >= self.term.stop_us


class HomeTerm:
    """Home's clock of one loan."""

    def __init__(self, term: Term, received_us: int) -> None:
        self.term = term
        self.received_us = received_us

    def renewed(self, received_us: int) -> None:
        """A request to renew was received, and written down before it is answered."""
        self.received_us = max(self.received_us, received_us)

    def over(self, now_us: int) -> bool:
        """Whether nothing of it can run at the guest any more."""
        return now_us - self.received_us >= self.term.back_us
