"""Cancels jobs for users. A transaction decides the race between a cancellation and the job's end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, auto

from pearstep.controller.extension import FinishedJob
from pearstep.controller.job_lookup import JobAbsent, JobLookup, JobUnknown
from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.timeouts import CANCELLATION_BROADCAST_US
from pearstep.state.job import Job
from pearstep.state.records import JobRecord
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome, CommitResult, KeyValueStore
from pearstep.transport.rate_limiter import URGENT

log = EventLogger("pearstep.job_api")

# Attempts to cancel a job whose record keeps changing concurrently.
MAX_CANCELLATION_ATTEMPTS = 4

BroadcastCancellation = Callable[[str, int, int], Awaitable[bool]]
BeforeCancellation = Callable[[Job], Awaitable[dict[str, int] | None]]


@dataclass(frozen=True, slots=True)
class JobFinal:
    """The final state of a job that has ended or is cancelled."""

    state: str


class CancellationRefusal(Enum):
    """Why a cancellation is not confirmed."""

    NO_SUCH_JOB = auto()
    STATE_UNKNOWN = auto()
    OFFLOADS_UNREAD = auto()
    OFFLOADED = auto()
    NOT_VISIBLE_YET = auto()
    NOT_COMMITTED = auto()


CancellationResult = JobFinal | CancellationRefusal


class JobCanceller:
    """Writes cancellations, and notifies the other controllers of them before the user."""

    def __init__(
        self,
        kv: KeyValueStore,
        lookup: JobLookup,
        apply: Callable[[str, int, object], None],
        wall_us: Callable[[], int],
    ) -> None:
        """Write to ``kv``; ``apply`` applies a committed record (key, revision, record) to the replica."""
        self._kv = kv
        self._lookup = lookup
        self._replica = lookup.replica
        self._apply = apply
        self._wall_us = wall_us
        # Returns preconditions under which a cancellation may be written now, or None if it must wait.
        self.before_cancellation: BeforeCancellation | None = None
        # Sends a cancellation to the other controllers; None if there are none.
        self.broadcast_cancellation: BroadcastCancellation | None = None

    async def cancel(self, job_id: str) -> CancellationResult:
        """Cancel a job, unless it has ended."""
        for _ in range(MAX_CANCELLATION_ATTEMPTS):
            found = await self._lookup.find(job_id)
            if isinstance(found, JobUnknown):
                return CancellationRefusal.STATE_UNKNOWN
            if isinstance(found, JobAbsent):
                return CancellationRefusal.NO_SUCH_JOB
            job = found.job
            if isinstance(job, FinishedJob) or job.is_final:
                return JobFinal(job.state)
            preconditions = await self._preconditions(job)
            if isinstance(preconditions, CancellationRefusal):
                return preconditions
            record = JobRecord(job.spec, job.submitted_at_us, JobState.CANCELLED, self._wall_us())
            result = await self._kv.commit(preconditions, {f"j/{job_id}": (record, None)}, urgency=URGENT)
            if result.state == CommitOutcome.COMMITTED:
                return await self._on_committed(record, result)
            if result.state != CommitOutcome.CONFLICT:
                break
        return CancellationRefusal.NOT_COMMITTED

    async def _preconditions(self, job: Job) -> dict[str, int] | CancellationRefusal:
        if self._replica.has_unread_offloads:
            return CancellationRefusal.OFFLOADS_UNREAD
        preconditions = {f"j/{job.spec.job_id}": job.version}
        if self.before_cancellation is not None:
            hook_preconditions = await self.before_cancellation(job)
            if hook_preconditions is None:
                return CancellationRefusal.OFFLOADED
            preconditions |= hook_preconditions
        return preconditions

    async def _on_committed(self, record: JobRecord, result: CommitResult) -> CancellationResult:
        job_id = record.spec.job_id
        self._apply(f"j/{job_id}", result.revision, record)
        log.info("job cancelled", job=job_id)
        job = self._replica.jobs[job_id]
        if self.broadcast_cancellation is not None:
            job.cancellation_acknowledged = await self.broadcast_cancellation(
                job_id, result.revision, record.ended_at_us
            )
            wait_us = min(self._lookup.time_until_visible_us(job), CANCELLATION_BROADCAST_US)
            await asyncio.sleep(max(wait_us, 0) / SECOND_US)
        if not self._lookup.is_visible(job):
            return CancellationRefusal.NOT_VISIBLE_YET
        return JobFinal(JobState.CANCELLED)
