"""Decides what a compactor does next, bucket by bucket.

This module performs no I/O: the planner returns the next transaction, or what must be read before it can be
chosen, and the caller reports the outcome.

A planner is bound to one fencing token, a version of the key ``compactor``. When the outcome of a transaction
is unknown, the extension first takes a new fencing token, so that a transaction that is still in flight can't
be applied, and then starts again from the records.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from pearstep.history.blocks import HistoryEntry
from pearstep.history.compaction import IDLE, CompactableJob, Compaction, Step
from pearstep.history.eligibility import compactable_jobs, orphan_deletion_step
from pearstep.history.lookup import History, NeedsBlock
from pearstep.history.tree import BUCKETS, Root, bucket_of, root_key, runs_to_merge
from pearstep.state.records import HISTORY_BLOCK_PREFIX
from pearstep.state.replica import Replica

# A scan of all jobs costs about 0.3 us per job.
JOB_SCAN_INTERVAL_US = 2_000_000
# More jobs make a block larger than 16 KiB, which is then split into two.
MAX_JOBS_PER_RUN = 1500


class Limits(msgspec.Struct, frozen=True):
    """The limits of compaction.

    Attributes:
        min_age_us: The minimum time for which a finished job keeps its records.
        keep: The number of finished jobs that keep their records.
        batch: The number of further finished jobs at which compaction begins.
        max_ops: The largest number of changes in a transaction; a single job may have more records.
        max_records: The largest number of records of a job that is compacted.
        max_value_bytes: The largest size of a value.
    """

    min_age_us: int
    keep: int
    batch: int
    max_ops: int
    max_records: int
    max_value_bytes: int


class ReadBlock(msgspec.Struct, frozen=True):
    """A block that must be read before the next step."""

    key: str


class ReadRun(msgspec.Struct, frozen=True):
    """A run whose entries must be read and passed to ``CompactionPlanner.put_run_entries``."""

    bucket: int
    run: str


Action = Step | ReadBlock | ReadRun | None


def due_jobs(replica: Replica, limits: Limits, wall_us: int) -> list[CompactableJob]:
    """Return the oldest finished jobs beyond the number to keep, or none if they are less than a batch."""
    if len(replica.jobs) - len(replica.open_jobs) - limits.keep < limits.batch:
        return []
    jobs = compactable_jobs(replica, wall_us, limits.min_age_us, limits.max_records)
    surplus = len(jobs) - limits.keep
    return jobs[:surplus] if surplus >= limits.batch else []


class CompactionPlanner:
    """Plans the steps under one fencing token; the replica must have the keys of all blocks."""

    def __init__(self, fencing_token: int, replica: Replica, history: History, limits: Limits) -> None:
        """Create a planner without a current bucket; all buckets are to be swept."""
        self.fencing_token = fencing_token
        self.replica = replica
        self.history = history
        self.limits = limits
        self.moved_count = 0
        self._buckets = [
            Compaction(bucket, fencing_token, limits.max_ops, limits.max_value_bytes)
            for bucket in range(BUCKETS)
        ]
        self._current: Compaction | None = None
        self._waiting_jobs: list[CompactableJob] = []
        self._last_scan_us = -JOB_SCAN_INTERVAL_US
        self._unswept = set(range(BUCKETS))
        self._run_entries: dict[str, Sequence[HistoryEntry]] = {}
        self._deleting_orphans = False
        # Blocks already searched, by job number; roots change only by this planner's own steps.
        self._searched_blocks: dict[int, set[str]] = {}

    def next_action(self, now_us: int, wall_us: int, orphaned: Sequence[str] = ()) -> Action:
        """Return the next action; None if there is nothing to do now.

        Args:
            now_us: The monotonic time.
            wall_us: The wall time.
            orphaned: The keys of records whose jobs have no record.
        """
        self._deleting_orphans = False
        task = self._continue() or self._next_merge() or self._next_jobs(now_us, wall_us)
        if task is not None:
            return task
        while self._unswept:
            step = self._sweep()
            if step is not None:
                return step
        if orphaned:
            self._deleting_orphans = True
            return orphan_deletion_step(self.replica, self.fencing_token, orphaned, self.limits.max_ops)
        return None

    def _continue(self) -> Step | None:
        """Return the next step of the current bucket, if any."""
        return self._step(self._current) if self._current is not None else None

    def _next_merge(self) -> Step | ReadRun | None:
        """Return the next action of the first bucket that has runs to merge."""
        for bucket, root in sorted(self.history.roots.items()):
            merge = self._merge(bucket, root)
            if merge is not None:
                return merge if not isinstance(merge, Compaction) else self._step(merge)
        return None

    def _next_jobs(self, now_us: int, wall_us: int) -> Step | ReadBlock | None:
        """Return the next action that moves finished jobs into blocks."""
        if not self._waiting_jobs and now_us - self._last_scan_us >= JOB_SCAN_INTERVAL_US:
            self._last_scan_us = now_us
            self._waiting_jobs = due_jobs(self.replica, self.limits, wall_us)
        if not self._waiting_jobs:
            return None
        work = self._begin_next_bucket()
        return self._step(work) if isinstance(work, Compaction) else work

    def _step(self, compaction: Compaction) -> Step | None:
        """Make this the current bucket and return its next step; None if its work has ended."""
        bucket = compaction.bucket
        self._current = compaction
        root = self.history.roots.get(bucket, Root())
        step = compaction.step(root, self.replica.version_of(root_key(bucket)))
        if step is None:
            self._current = None
            self._unswept.add(bucket)
        return step

    def _merge(self, bucket: int, root: Root) -> Compaction | ReadRun | None:
        """Start the merge that is due in a bucket, or request a run for it; None if no merge is due."""
        replaced_runs = runs_to_merge(root)
        for run in replaced_runs:
            if run.name not in self._run_entries:
                return ReadRun(bucket, run.name)
        if not replaced_runs:
            return None
        contents = {run.name: self._run_entries.pop(run.name) for run in replaced_runs}
        self._run_entries.clear()
        compaction = self._buckets[bucket]
        return compaction if compaction.begin_merge(root, contents) else None

    def put_run_entries(self, run: str, found: Sequence[HistoryEntry]) -> None:
        """Store the entries of a run that was requested with ``ReadRun``."""
        self._run_entries[run] = found

    def _begin_next_bucket(self) -> Compaction | ReadBlock | None:
        """Start work on the bucket with the most waiting jobs.

        Records of jobs that its root already contains were left by a former compactor: they are deleted, and
        no job is added twice.
        """
        by_bucket: dict[int, list[CompactableJob]] = {}
        for job in self._waiting_jobs:
            by_bucket.setdefault(bucket_of(job.final.number), []).append(job)
        bucket, jobs = max(by_bucket.items(), key=lambda item: len(item[1]))
        jobs = jobs[:MAX_JOBS_PER_RUN]
        new: list[CompactableJob] = []
        already_in: list[CompactableJob] = []
        for job in jobs:
            found = self.history.look_up(
                job.final.number, self._searched_blocks.setdefault(job.final.number, set())
            )
            if isinstance(found, NeedsBlock):
                return ReadBlock(found.key)
            (already_in if isinstance(found, HistoryEntry) else new).append(job)
        taken = {job.final.number for job in (already_in or new)}
        self._searched_blocks.clear()
        self._waiting_jobs = [job for job in self._waiting_jobs if job.final.number not in taken]
        compaction = self._buckets[bucket]
        self.moved_count += len(taken)
        return compaction if (compaction.begin_clear(already_in) or compaction.begin_write(new)) else None

    def _sweep(self) -> Step | None:
        """Start sweeping one bucket; None if all of its blocks are referenced."""
        bucket = self._unswept.pop()
        prefix = f"{HISTORY_BLOCK_PREFIX}{bucket}/"
        keys = [key for key in self.replica.versions if key.startswith(prefix)]
        compaction = self._buckets[bucket]
        return (
            self._step(compaction)
            if compaction.begin_sweep(self.history.roots.get(bucket, Root()), keys)
            else None
        )

    def record_outcome(self, committed: bool) -> None:
        """Update the state with the outcome of the last step, which must be certain."""
        if self._deleting_orphans:
            return
        compaction = self._current
        assert compaction is not None
        compaction.record_outcome(committed)
        if not committed:
            self._unswept.add(compaction.bucket)
            self._waiting_jobs = []
        if compaction.state == IDLE:
            self._current = None
