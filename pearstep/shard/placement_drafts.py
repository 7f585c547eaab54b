"""Working copies of placement records, and the group commits that write them to the state service."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from pearstep.domain.attempt import AttemptState, TaskAttempt
from pearstep.domain.job_spec import JobSpec
from pearstep.shard.freed_attempt import FreedAttempt
from pearstep.state.records import TASKS_PER_RECORD, Placement, PlacementRecord, fence_key, placement_key
from pearstep.state.transactions import TransactionLimits, TransactionSize


class PlacementDraft:
    """Working copy of the placements of one chunk of a job's tasks.

    Attributes:
        spec: The job.
        chunk: Number of the chunk, of ``TASKS_PER_RECORD`` tasks each.
        key: Key of the record.
        attempts: The placed attempts, by task number.
        freed: Attempts that have ended since the last group commit.
        done_tasks: Bit set of the job's tasks that are done.
        last_attempt: Highest attempt number so far.
        consecutive_failures: Failures since the last success.
        version: Version of the committed record; 0 if there is none.
        dirty: Whether the draft has changes to write.
        in_flight: Whether a group commit that contains it has been sent and not answered.
        written_at_us: When it was last put into a group commit.
        max_new_placements: Maximum number of new placements in one transaction, set after a malformed one;
            None for as many as fit.
    """

    __slots__ = (
        "attempts",
        "chunk",
        "consecutive_failures",
        "dirty",
        "done_tasks",
        "freed",
        "in_flight",
        "key",
        "last_attempt",
        "max_new_placements",
        "spec",
        "version",
        "written_at_us",
    )

    def __init__(self, shard_id: int, spec: JobSpec, chunk: int) -> None:
        """Create a draft without placements, done tasks or a committed record."""
        self.spec = spec
        self.chunk = chunk
        self.key = placement_key(shard_id, spec.job_id, chunk)
        self.attempts: dict[int, TaskAttempt] = {}
        self.freed: list[FreedAttempt] = []
        self.done_tasks = 0
        self.last_attempt = 0
        self.consecutive_failures = 0
        self.version = 0
        self.dirty = False
        self.in_flight = False
        self.written_at_us = 0
        self.max_new_placements: int | None = None

    def to_record(self, left_out: Collection[int] = ()) -> PlacementRecord:
        """Return the record to write, without the placements of the tasks ``left_out``."""
        return PlacementRecord(
            placements={
                task: Placement(attempt.machine, attempt.incarnation, attempt.number, attempt.placed_wall_us)
                for task, attempt in self.attempts.items()
                if task not in left_out
            },
            done=f"{self.done_tasks >> (self.chunk * TASKS_PER_RECORD):x}",
            last_attempt=self.last_attempt,
            consecutive_failures=self.consecutive_failures,
        )

    def reset(self) -> None:
        """Reset the draft to a chunk without a committed record."""
        self.attempts = {}
        self.freed = []
        self.done_tasks = 0
        self.last_attempt = 0
        self.version = 0
        self.dirty = False

    def load(self, record: PlacementRecord, version: int, now_us: int, wall_us: int) -> None:
        """Load the committed record; attempts that exist already keep their observed state."""
        previous_attempts = self.attempts
        self.attempts = {}
        self.freed = []
        for task, placement in record.placements.items():
            previous = previous_attempts.get(task)
            if previous is not None and (previous.machine, previous.number) == (
                placement.machine,
                placement.attempt,
            ):
                if previous.state == AttemptState.PLACING:
                    previous.state = AttemptState.PLACED
                self.attempts[task] = previous
                continue
            age_us = max(wall_us - placement.placed_at_us, 0)
            attempt = TaskAttempt(
                self.spec,
                task,
                placement.machine,
                placement.incarnation,
                placement.attempt,
                placement.placed_at_us,
                now_us - age_us,
            )
            attempt.state = AttemptState.PLACED
            self.attempts[task] = attempt
        self.done_tasks = int(record.done, 16) << (self.chunk * TASKS_PER_RECORD)
        self.last_attempt = record.last_attempt
        self.consecutive_failures = record.consecutive_failures
        self.version = version
        self.dirty = False


class GroupCommit:
    """A group commit: the writes, their preconditions, and what is done after the commit.

    Attributes:
        preconditions: Required versions by key; 0 requires that the key does not exist.
        size: The part of the transaction limits that is used.
        puts: Records to write, and their leases, by key.
        deletes: Keys to delete.
        drafts: Drafts that the commit writes.
        placed_attempts: New placements; the tasks may start after the commit.
        recorded_ends: Ends of attempts that the commit records, as machine name and task key.
        freed: Attempts whose places the commit frees, by the key of their record.
        read_revision: Revision up to which the owner had read when it decided.
        finished_jobs: Jobs whose ends the commit records.
        partial_keys: Keys of records with new placements that are left for a later transaction.
    """

    def __init__(
        self, limits: TransactionLimits, shard_key: str, fencing_token: int, read_revision: int
    ) -> None:
        """Create an empty commit, conditional on the shard's key having the version ``fencing_token``."""
        self.preconditions: dict[str, int] = {shard_key: fencing_token}
        self.size = TransactionSize(limits, [shard_key, fence_key(shard_key)])
        self.puts: dict[str, tuple[Any, int | None]] = {}
        self.deletes: list[str] = []
        self.drafts: list[PlacementDraft] = []
        self.placed_attempts: list[TaskAttempt] = []
        self.recorded_ends: list[tuple[str, tuple[str, int]]] = []
        self.freed: dict[str, list[FreedAttempt]] = {}
        self.read_revision = read_revision
        self.finished_jobs: list[str] = []
        self.partial_keys: set[str] = set()

    @property
    def changes(self) -> int:
        """The number of puts and deletes."""
        return len(self.puts) + len(self.deletes)

    @property
    def placed_labels(self) -> list[str]:
        """The new placements, for the log."""
        return [attempt.label for attempt in self.placed_attempts]

    @property
    def freed_labels(self) -> list[str]:
        """The attempts whose places the commit frees, with the evidence, for the log."""
        return [freed.label for attempts in self.freed.values() for freed in attempts]

    @property
    def keys(self) -> list[str]:
        """The keys that the commit writes."""
        return list(dict.fromkeys([*(draft.key for draft in self.drafts), *self.puts, *self.deletes]))
