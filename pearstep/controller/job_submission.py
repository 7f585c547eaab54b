"""Group commit of submissions: those that arrive while transactions are in flight share the next one."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from pearstep.domain.job_spec import JobSpec
from pearstep.state.records import JobRecord
from pearstep.state.transactions import TransactionLimits, TransactionSize
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome, CommitResult, KeyValueStore
from pearstep.transport.rate_limiter import URGENT

log = EventLogger("pearstep.job_api")

# Maximum number of submission transactions in flight.
MAX_CONCURRENT_COMMITS = 4
# Allowance for the growth of a job's record until the job ends.
RECORD_GROWTH_BYTES = 128


class SubmissionOutcome(StrEnum):
    """How the commit of a submission ended."""

    ACCEPTED = "accepted"
    # There is already a record for the job id.
    CONFLICT = "conflict"
    # A key that the lookup of the id depends on has changed since: the lookup must be repeated.
    STALE = "stale"
    # The job's record is larger than a value may be.
    TOO_LARGE = "too large"
    # Not written, or the outcome is unknown: the user has to retry.
    FAILED = "failed"


@dataclass(eq=False, slots=True)
class PendingSubmission:
    """A submission that waits for a transaction; the job is new if ``preconditions`` hold."""

    spec: JobSpec
    preconditions: dict[str, int]
    answer: asyncio.Future[SubmissionOutcome]
    # Whether it needs a transaction of its own, because one that it shared was rejected as malformed.
    alone: bool = False

    @property
    def key(self) -> str:
        """The key of the job's record."""
        return f"j/{self.spec.job_id}"

    def settle(self, outcome: SubmissionOutcome) -> None:
        """Report the outcome to the waiting request; later calls have no effect."""
        if not self.answer.done():
            self.answer.set_result(outcome)


@dataclass(slots=True)
class _SubmissionGroup:
    """Submissions that are written in one transaction, and their records by key."""

    size: TransactionSize
    submissions: list[PendingSubmission] = field(default_factory=list)
    records: dict[str, JobRecord] = field(default_factory=dict)

    def preconditions(self) -> dict[str, int]:
        """Collect the versions that keys must have for each job to be new."""
        preconditions = dict.fromkeys(self.records, 0)
        for submission in self.submissions:
            preconditions.update(submission.preconditions)
        return preconditions

    def settle(self, outcome: SubmissionOutcome) -> None:
        """Report the same outcome to all submissions of the group."""
        for submission in self.submissions:
            submission.settle(outcome)


class SubmissionQueue:
    """Writes submissions in groups. A slow transaction delays only its own submissions."""

    def __init__(
        self,
        kv: KeyValueStore,
        limits: TransactionLimits,
        *,
        apply: Callable[[str, int, object], None],
        wall_us: Callable[[], int],
        is_current: Callable[[dict[str, int]], bool],
        direct_shard: Callable[[JobSpec], int | None],
    ) -> None:
        """Write to a key-value store.

        Args:
            kv: The store.
            limits: The limits of a transaction.
            apply: Applies a committed record to the replica: key, revision, record.
            wall_us: The time of day in microseconds.
            is_current: Returns whether the replica has no newer versions of the keys of some preconditions.
            direct_shard: Returns the shard that may place a job without the leader, or None.
        """
        self._kv = kv
        self._limits = limits
        self._apply = apply
        self._wall_us = wall_us
        self._is_current = is_current
        self._direct_shard = direct_shard
        self._queue: deque[PendingSubmission] = deque()
        self._writers = 0
        self._tasks = BackgroundTasks(log)

    async def submit(self, spec: JobSpec, preconditions: dict[str, int]) -> SubmissionOutcome:
        """Write a job that is new if the preconditions hold, and wait for the outcome."""
        answer: asyncio.Future[SubmissionOutcome] = asyncio.get_running_loop().create_future()
        self._queue.append(PendingSubmission(spec, preconditions, answer))
        if self._writers < MAX_CONCURRENT_COMMITS:
            self._writers += 1
            self._tasks.start(self._write_queued())
        return await answer

    async def _write_queued(self) -> None:
        """Write groups until the queue is empty. The submissions of a group that raises fail."""
        try:
            while self._queue:
                group = self._next_group()
                if not group.records:
                    continue
                try:
                    await self._commit(group)
                except Exception:
                    log.exception("submission commit failed", jobs=len(group.submissions))
                    group.settle(SubmissionOutcome.FAILED)
        finally:
            self._writers -= 1

    async def _commit(self, group: _SubmissionGroup) -> None:
        puts: dict[str, tuple[JobRecord, int | None]] = {
            key: (record, None) for key, record in group.records.items()
        }
        result = await self._kv.commit(group.preconditions(), puts, urgency=URGENT)
        if result.state == CommitOutcome.COMMITTED:
            for key, record in group.records.items():
                self._apply(key, result.revision, record)
            group.settle(SubmissionOutcome.ACCEPTED)
        elif result.state == CommitOutcome.CONFLICT:
            self._settle_conflict(group, result)
        elif result.state == CommitOutcome.MALFORMED and len(group.submissions) > 1:
            for submission in group.submissions:
                submission.alone = True
            self._queue.extend(group.submissions)
        else:
            group.settle(SubmissionOutcome.FAILED)

    def _settle_conflict(self, group: _SubmissionGroup, result: CommitResult) -> None:
        """Report the conflict to the submissions that it concerns, and queue the others again."""
        failed = set(result.failed)
        for submission in group.submissions:
            if not failed or submission.key in failed:
                submission.settle(SubmissionOutcome.CONFLICT)
            elif failed & submission.preconditions.keys():
                submission.settle(SubmissionOutcome.STALE)
            else:
                self._queue.append(submission)

    def _next_group(self) -> _SubmissionGroup:
        """Take as many submissions off the queue as fit in one transaction."""
        group = _SubmissionGroup(TransactionSize(self._limits))
        while self._queue:
            submission = self._queue.popleft()
            try:
                handled = self._try_add(group, submission)
            except Exception:
                # Only this submission fails; the rest of the queue is still processed.
                log.exception("submission not prepared", job=submission.spec.job_id)
                submission.settle(SubmissionOutcome.FAILED)
                continue
            if not handled:
                self._queue.appendleft(submission)
                break
        return group

    def _try_add(self, group: _SubmissionGroup, submission: PendingSubmission) -> bool:
        """Add a submission to the group or settle it; return False if it has to wait for the next group."""
        if not self._is_still_new(submission):
            return True
        if group.submissions and (submission.alone or group.submissions[0].alone):
            return False
        spec = submission.spec
        record = JobRecord(spec, self._wall_us(), shard_id=self._direct_shard(spec))
        value_bytes = len(msgspec.json.encode(record)) + RECORD_GROWTH_BYTES
        key = submission.key
        if group.size.try_add({key, *submission.preconditions}, {key: value_bytes}):
            group.submissions.append(submission)
            group.records[key] = record
            return True
        if group.submissions:
            return False
        log.error("submission too large", job=spec.job_id, value_bytes=value_bytes)
        submission.settle(SubmissionOutcome.TOO_LARGE)
        return True

    def _is_still_new(self, submission: PendingSubmission) -> bool:
        """Return whether a submission still waits for its outcome and the keys of its lookup are unchanged.

        Otherwise a transaction could combine submissions that were looked up before and after a change, whose
        preconditions cannot both hold.
        """
        if not self._is_current(submission.preconditions):
            submission.settle(SubmissionOutcome.STALE)
        return not submission.answer.done()
