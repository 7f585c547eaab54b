"""Decide whether start commands may be sent, and read the state service first if they may not.

A cancellation is confirmed to its user once every controller has acknowledged it, or after
``CANCELLATION_BROADCAST_US``. A controller that is cut off acknowledges nothing and does not notice the cut
before one of its requests has timed out. Its permission to start tasks therefore ends by itself, before a
cancellation that it has missed can be confirmed: it lasts for ``MAX_START_STALENESS_US`` from the time at
which its latest completed read was sent.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.staleness import NEVER_US, StalenessBound

# How long an answer to an agent is delayed for a read. It is well below the agents' timeout
# (``AGENT_ANSWER_TIMEOUT_US``), because an agent without an answer turns to another controller.
MAX_READ_WAIT_US = 2 * SECOND_US


class StartPermission:
    """The permission of a controller to send start commands."""

    def __init__(
        self,
        staleness_bound: StalenessBound,
        read_barrier: Callable[[], Awaitable[bool]],
        kv_unavailable: Callable[[], bool],
        now_us: Callable[[], int],
    ) -> None:
        """Derive the permission from the reads of a replica.

        Args:
            staleness_bound: Knows when the latest completed read was sent.
            read_barrier: Brings the replica up to date; returns whether that succeeded.
            kv_unavailable: Whether the state service is unavailable to this node.
            now_us: The monotonic clock in microseconds.
        """
        self._staleness_bound = staleness_bound
        self._read_barrier = read_barrier
        self._kv_unavailable = kv_unavailable
        self._now_us = now_us
        # How long ``renew`` waits for the read.
        self.max_wait_us = MAX_READ_WAIT_US

    def is_granted(self, confirmed_at_us: int = NEVER_US) -> bool:
        """Tell whether start commands may be sent now.

        Args:
            confirmed_at_us: A time at which none of the jobs to start was cancelled, known apart from reads:
                the time at which the transaction that placed their tasks was sent.
        """
        return not self._kv_unavailable() and self._staleness_bound.allows_starts(
            self._now_us(), confirmed_at_us
        )

    async def renew(self) -> bool:
        """Renew the permission with a read, and return whether it is granted then.

        It returns after ``max_wait_us`` at the latest, and at once while the state service is
        unavailable.
        """
        if not self._kv_unavailable():
            with contextlib.suppress(TimeoutError):
                # The read goes on after the timeout: others may wait for it too.
                await asyncio.wait_for(asyncio.shield(self._read()), self.max_wait_us / SECOND_US)
        return self.is_granted()

    async def _read(self) -> bool:
        return await self._read_barrier()


def unrestricted_start_permission() -> StartPermission:
    """Return the permission of a controller without peers, which knows of all cancellations itself."""

    async def read_barrier() -> bool:
        return True

    return StartPermission(StalenessBound(0, [], 0), read_barrier, lambda: False, lambda: 0)
