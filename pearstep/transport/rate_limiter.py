"""Rate limits: the nodes share the limits of a service, and urgent requests go first."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import NamedTuple

from pearstep.domain.units import SECOND_US

# Urgencies; the lowest is served first.
URGENT, NORMAL, IDLE = 0, 1, 2
# Added to the delay of the timer that serves waiting requests, because a timer may fire early.
TIMER_MARGIN_S = 0.002


class _Waiter(NamedTuple):
    """A waiting request; ordered by urgency, then by arrival."""

    urgency: int
    arrival: int
    amount: float
    granted: asyncio.Future[None]


class RateLimiter:
    """A token bucket with a steady refill; waiting requests are served by urgency, then by arrival.

    A request may take more tokens than the bucket holds as long as its level is above the minimum; later
    requests then wait longer. Callers therefore need not know the largest amount in advance.
    """

    def __init__(self, tokens_per_s: float, burst: float, now_us: Callable[[], int]) -> None:
        """Start with a full bucket.

        Args:
            tokens_per_s: Tokens added per second.
            burst: Tokens in a full bucket.
            now_us: The monotonic clock in microseconds.
        """
        self.tokens_per_us = tokens_per_s / SECOND_US
        self.burst = burst
        self.level = burst
        self._now_us = now_us
        self._refilled_at_us = now_us()
        self._waiters: list[_Waiter] = []
        self._arrivals = 0
        self._timer: asyncio.TimerHandle | None = None

    def _refill(self) -> None:
        now = self._now_us()
        self.level = min(self.burst, self.level + (now - self._refilled_at_us) * self.tokens_per_us)
        self._refilled_at_us = now

    def _min_level(self, urgency: int) -> float:
        """Return the level above which a request is served.

        Urgent requests are few, so they need not wait for others and may borrow up to ``burst`` tokens.
        """
        return -self.burst if urgency == URGENT else 0.0

    def try_acquire(self, amount: float = 1.0, urgency: int = NORMAL) -> bool:
        """Take tokens if that needs no waiting; return whether they were taken.

        A waiting request of the same or a higher urgency goes first.
        """
        self._refill()
        if self.level <= self._min_level(urgency) or (self._waiters and self._waiters[0].urgency <= urgency):
            return False
        self.level -= amount
        return True

    def has_spare(self, amount: float) -> bool:
        """Tell whether no request is waiting, and half of a full bucket is left after taking ``amount``.

        A full bucket has any amount to spare, even one over half of it.
        """
        self._refill()
        return not self._waiters and (self.level - amount >= self.burst / 2 or self.level >= self.burst)

    def drain(self) -> None:
        """Empty the bucket, after the service has answered that its limit is used up."""
        self._refill()
        self.level = min(self.level, 0.0)

    async def acquire(self, amount: float = 1.0, urgency: int = NORMAL) -> None:
        """Take tokens, waiting if necessary; an amount of 0 only waits."""
        if self.try_acquire(amount, urgency):
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        heapq.heappush(self._waiters, _Waiter(urgency, self._arrivals, amount, granted))
        self._schedule_timer()
        await granted

    def _schedule_timer(self) -> None:
        """Set the timer to when the first waiting request can be served."""
        if not self._waiters:
            return
        if self._timer is not None:
            self._timer.cancel()
        missing_tokens = self._min_level(self._waiters[0].urgency) - self.level
        delay_s = max(missing_tokens / self.tokens_per_us / SECOND_US, 0.0) + TIMER_MARGIN_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._serve_waiters)

    def _serve_waiters(self) -> None:
        self._timer = None
        self._refill()
        while self._waiters and self.level > self._min_level(self._waiters[0].urgency):
            waiter = heapq.heappop(self._waiters)
            if not waiter.granted.done():
                self.level -= waiter.amount
                waiter.granted.set_result(None)
        self._schedule_timer()
