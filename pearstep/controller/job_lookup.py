"""Looks up jobs for users: what is certain about a job id now, and whether it may be reported to users."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pearstep.controller.extension import FinishedJob, FinishedJobs
from pearstep.domain.job_state import JobState
from pearstep.failure_detection.timeouts import CANCELLATION_BROADCAST_US
from pearstep.state.job import Job
from pearstep.state.replica import Replica
from pearstep.transport.clock import now_us
from pearstep.transport.kv_client import KeyValueStore


@dataclass(frozen=True, slots=True)
class JobFound:
    """The job exists: in the replica, or in the history of finished jobs."""

    job: Job | FinishedJob


@dataclass(frozen=True, slots=True)
class JobAbsent:
    """The job does not exist, as long as the preconditions (versions by key) hold."""

    preconditions: dict[str, int]


@dataclass(frozen=True, slots=True)
class JobUnknown:
    """It cannot be determined now whether the job exists, or which state it has."""


JobLookupResult = JobFound | JobAbsent | JobUnknown

_UNKNOWN = JobUnknown()


class JobLookup:
    """Finds jobs by their ids, in an up-to-date replica and in the history."""

    def __init__(
        self, kv: KeyValueStore, replica: Replica, read_barrier: Callable[[], Awaitable[bool]]
    ) -> None:
        """Look up jobs in ``replica``; ``read_barrier`` updates it and returns whether that succeeded."""
        self.kv = kv
        self.replica = replica
        self.read_barrier = read_barrier
        # Whether the replica is loaded and this controller may answer users.
        self.ready = False
        # Finds finished jobs whose records were moved to the history.
        self.history: FinishedJobs | None = None
        # The time from when this node learns of a cancellation until users are told.
        self.cancellation_delay_us = 0
        # Whether there are other controllers, which have to be notified of a cancellation before users.
        self.has_peers = False

    async def find(self, job_id: str) -> JobLookupResult:
        """Find a job in an up-to-date replica.

        Final states never change, so they are reported without a read barrier.
        """
        job = self.replica.jobs.get(job_id)
        if job is not None and job.is_final:
            return self._if_visible(job)
        finished: JobLookupResult = _UNKNOWN
        if job is None:
            finished = await self.find_finished(job_id)
        if isinstance(finished, JobFound):
            return finished
        # Seen while the state service did not answer one controller: polls waited for reads that could not
        # succeed, until the users' requests timed out.
        if not self.ready or self.kv.is_unavailable() or not await self.read_barrier():
            return _UNKNOWN
        job = self.replica.jobs.get(job_id)
        if job is not None:
            return self._if_visible(job)
        if isinstance(finished, JobAbsent) and self.is_current(finished.preconditions):
            return finished
        return await self.find_finished(job_id)

    async def find_finished(self, job_id: str) -> JobLookupResult:
        """Look up an id that has no record: how the job ended, or the preconditions under which it is new."""
        if self.history is None:
            return _UNKNOWN if self.replica.has_unread_history else JobAbsent({})
        found = await self.history.find(job_id)
        if found is None:
            return _UNKNOWN
        return JobFound(found) if isinstance(found, FinishedJob) else JobAbsent(found)

    def is_current(self, preconditions: dict[str, int]) -> bool:
        """Return whether the replica has no newer versions of the keys that a lookup depended on."""
        return all(self.replica.version_of(key) <= version for key, version in preconditions.items())

    def is_visible(self, job: Job) -> bool:
        """Return whether the state of a job may be reported to users."""
        return self.time_until_visible_us(job) <= 0

    def time_until_visible_us(self, job: Job) -> int:
        """Return the time until a cancellation may be reported to users, in microseconds.

        Shard owners must learn of it first; otherwise one could send a start after the user was told that
        nothing starts any more. Seen in simulation with slow answers: a placement's answer came 0.2 s after
        its job was cancelled through another controller. So users are told once each controller has
        acknowledged the cancellation or has had some time to learn of it. That time is longer where tasks
        of a cancelled job may run for hardly longer than the agents' lease.
        """
        if job.state != JobState.CANCELLED:
            return 0
        delay_us = self.cancellation_delay_us
        if self.has_peers and not job.cancellation_acknowledged:
            delay_us = max(delay_us, CANCELLATION_BROADCAST_US)
        return job.final_seen_at_us + delay_us - now_us()

    def _if_visible(self, job: Job) -> JobLookupResult:
        return JobFound(job) if self.is_visible(job) else _UNKNOWN
