"""Adaptive delay of extra-long jobs (paper, section 4.2)."""

from __future__ import annotations

from pearstep.domain.units import SECOND_US


class AdaptiveDelay:
    """Adjusts the delay of extra-long jobs to the mean slowdown of short jobs, batch by batch.

    The first batch changes nothing and only sets the mean to compare with. The paper uses the first
    batch's slowdown as the first change, which would always lengthen the delay.

    Attributes:
        delay_us: How long an extra-long job waits while shorter jobs are waiting.
        previous_mean: The mean slowdown of the last batch that had short jobs; None before the first.
    """

    def __init__(self, initial_us: int, batch_size: int, threshold: float) -> None:
        """Start with the initial delay.

        Args:
            initial_us: The first delay, and the unit in which it changes.
            batch_size: The number of completed jobs after which the delay is adjusted.
            threshold: The relative change of the mean slowdown that must be exceeded to change the delay.
        """
        self.initial_us = initial_us
        self.batch_size = batch_size
        self.threshold = threshold
        self.delay_us = initial_us
        self.completions = 0
        self.short_completions = 0
        self.slowdown_sum = 0.0
        self.previous_mean: float | None = None

    def record_completion(self, short: bool, wait_us: int, run_us: int) -> None:
        """Record a completed job.

        Args:
            short: Whether the job is short; only short jobs count towards the mean.
            wait_us: How long it waited.
            run_us: How long it ran; less than one second counts as one second.
        """
        self.completions += 1
        if short:
            self.short_completions += 1
            self.slowdown_sum += 1 + max(wait_us, 0) / max(run_us, SECOND_US)
        if self.completions >= self.batch_size:
            self._end_batch()

    def _end_batch(self) -> None:
        if self.short_completions:
            mean = self.slowdown_sum / self.short_completions
            if self.previous_mean is not None:
                self._adjust(mean, self.previous_mean)
            self.previous_mean = mean
        self.completions = 0
        self.short_completions = 0
        self.slowdown_sum = 0.0

    def _adjust(self, mean: float, previous_mean: float) -> None:
        change = (mean - previous_mean) / max(mean, previous_mean)
        if abs(change) > self.threshold:
            self.delay_us = max(self.delay_us + int(change * self.initial_us), 0)
