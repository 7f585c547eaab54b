"""Compaction of one bucket: moves finished jobs from their own records into blocks.

Each step is one transaction. This module performs no I/O: a compaction returns what to write under which
conditions, and the caller reports the outcome. The process may crash after any step.

    idle -> writing -> linking -> clearing -> idle
    idle -> merging -> swapping -> sweeping -> idle

The process that compacts holds the key ``compactor``. Every step is conditional on the version of that key,
the fencing token, so that a late transaction of a former compactor fails. All progress is stored: a new
compactor deletes the records of jobs that a root already contains, and the blocks that no root references.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from pearstep.domain.state_machine import TransitionTable
from pearstep.history.blocks import HistoryEntry, count_entries, pack
from pearstep.history.tree import (
    Root,
    Run,
    block_key,
    merge_entries,
    root_key,
    runs_to_merge,
    with_merged_run,
    with_run,
)

IDLE = "idle"
WRITING = "writing"  # puts the blocks of a new run, which no root references yet
LINKING = "linking"  # puts the root that references them
CLEARING = "clearing"  # deletes the jobs' own records
MERGING = "merging"  # puts the blocks of a larger run
SWAPPING = "swapping"  # puts the root with the larger run in place of the smaller ones
SWEEPING = "sweeping"  # deletes blocks that no root references

COMPACTION = TransitionTable(
    "compaction",
    {
        IDLE: (WRITING, MERGING, CLEARING, SWEEPING),
        WRITING: (LINKING, IDLE),
        LINKING: (CLEARING, IDLE),
        CLEARING: (IDLE,),
        MERGING: (SWAPPING, IDLE),
        SWAPPING: (SWEEPING, IDLE),
        SWEEPING: (IDLE,),
    },
)
COMPACTOR = "compactor"
# Leaves room for the rest of the request, whose body is limited to 64 KiB.
MAX_BLOCK_BYTES_PER_STEP = 56 * 1024


class CompactableJob(msgspec.Struct, frozen=True):
    """A finished job whose records may be deleted: no task of it runs and nothing more is written for it.

    ``records`` are its keys and their versions, the job's own record (``j/``) last.
    """

    final: HistoryEntry
    records: tuple[tuple[str, int], ...]


class Step(msgspec.Struct, frozen=True):
    """A transaction: blocks and roots to put, keys to delete, and expected versions by key."""

    puts: dict[str, bytes | Root]
    deletes: tuple[str, ...]
    conditions: dict[str, int]


class Compaction:
    """Compaction of one bucket under one fencing token."""

    def __init__(self, bucket: int, fencing_token: int, max_ops: int, max_value_bytes: int) -> None:
        """Create a compaction in the idle state.

        Args:
            bucket: The number of the bucket.
            fencing_token: The version of the compactor's key.
            max_ops: The largest number of changes in a transaction.
            max_value_bytes: The largest size of a value.
        """
        self.bucket = bucket
        self.fencing_token = fencing_token
        self.max_ops = max_ops
        self.max_value_bytes = max_value_bytes
        self.state = IDLE
        self.run_count = 0
        self._blocks: list[tuple[str, bytes]] = []
        self._run: Run | None = None
        self._replaced_runs: tuple[Run, ...] = ()
        self._jobs_to_clear: list[CompactableJob] = []
        self._keys_to_sweep: list[str] = []
        self._sent_count = 0

    # -- starting work ----------------------------------------------------------------------------

    def begin_write(self, jobs: Sequence[CompactableJob]) -> bool:
        """Start moving finished jobs that the root lacks; False if not idle or there are no jobs."""
        if self.state != IDLE or not jobs:
            return False
        self._jobs_to_clear = sorted(jobs, key=lambda job: job.final)
        self._prepare([job.final for job in self._jobs_to_clear], 0)
        COMPACTION.transition(self, WRITING)
        return True

    def begin_clear(self, jobs: Sequence[CompactableJob]) -> bool:
        """Start deleting records, left by a former compactor, of jobs that the root contains."""
        if self.state != IDLE or not jobs:
            return False
        self._jobs_to_clear = list(jobs)
        COMPACTION.transition(self, CLEARING)
        return True

    def begin_merge(self, root: Root, contents: Mapping[str, Sequence[HistoryEntry]]) -> bool:
        """Start merging the runs that are due; ``contents`` maps their names to their entries."""
        replaced_runs = runs_to_merge(root)
        if self.state != IDLE or not replaced_runs or any(run.name not in contents for run in replaced_runs):
            return False
        self._replaced_runs = replaced_runs
        self._prepare(
            list(merge_entries([contents[run.name] for run in replaced_runs])), replaced_runs[0].level + 1
        )
        COMPACTION.transition(self, MERGING)
        return True

    def begin_sweep(self, root: Root, blocks: Iterable[str]) -> bool:
        """Start deleting blocks that the root does not reference; only this compactor adds blocks."""
        if self.state != IDLE:
            return False
        named = {run.name for run in root.runs}
        self._keys_to_sweep = [key for key in blocks if key.split("/")[2] not in named]
        if self._keys_to_sweep:
            COMPACTION.transition(self, SWEEPING)
        return bool(self._keys_to_sweep)

    def _prepare(self, entries: list[HistoryEntry], level: int) -> None:
        """Pack entries into the blocks of a new run."""
        self.run_count += 1
        name = f"{self.fencing_token}-{self.run_count}"
        packed = pack(entries, self.max_value_bytes)
        first_numbers, position = [], 0
        for block in packed:
            first_numbers.append(entries[position].number)
            position += count_entries(block)
        self._blocks = [(block_key(self.bucket, name, index), block) for index, block in enumerate(packed)]
        self._run = Run(name, level, len(entries), tuple(first_numbers))

    # -- steps -----------------------------------------------------------------------------------

    def step(self, root: Root, root_version: int) -> Step | None:
        """Return the next transaction, given the latest known root; None if there is nothing to do."""
        key = root_key(self.bucket)
        fencing_condition = {COMPACTOR: self.fencing_token}
        if self.state in (WRITING, MERGING):
            blocks = self._blocks[: self._blocks_per_step()]
            self._sent_count = len(blocks)
            return Step(dict(blocks), (), fencing_condition)
        if self.state == LINKING:
            assert self._run is not None
            return Step({key: with_run(root, self._run)}, (), {**fencing_condition, key: root_version})
        if self.state == SWAPPING:
            assert self._run is not None
            if not set(self._replaced_runs) <= set(root.runs):
                # The root has changed since it was read; the blocks written for the merge are swept later.
                COMPACTION.transition(self, IDLE)
                return None
            return Step(
                {key: with_merged_run(root, self._replaced_runs, self._run)},
                (),
                {**fencing_condition, key: root_version},
            )
        if self.state == CLEARING:
            return self._clearing(fencing_condition, key, root_version)
        if self.state == SWEEPING:
            keys = tuple(self._keys_to_sweep[: self.max_ops])
            self._sent_count = len(keys)
            return Step({}, keys, {**fencing_condition, key: root_version})
        return None

    def _blocks_per_step(self) -> int:
        """Return the largest number of blocks in one transaction."""
        return max(min(self.max_ops, MAX_BLOCK_BYTES_PER_STEP // self.max_value_bytes), 1)

    def _clearing(self, fencing_condition: dict[str, int], key: str, root_version: int) -> Step:
        """Return the step that deletes records of jobs.

        It is conditional on the root that contains the jobs, and on the versions that the records had when
        the jobs were selected, so that a record that has changed since is kept.
        """
        conditions = {**fencing_condition, key: root_version}
        deletes: list[str] = []
        self._sent_count = 0
        for job in self._jobs_to_clear:
            if deletes and len(deletes) + len(job.records) > self.max_ops:
                break
            conditions.update(job.records)
            deletes += [record for record, _ in job.records]
            self._sent_count += 1
        return Step({}, tuple(deletes), conditions)

    def record_outcome(self, committed: bool, certain: bool = True) -> None:
        """Update the state with the outcome of the last step.

        Args:
            committed: Whether the transaction was applied.
            certain: Whether the outcome is known. If not, the transaction may have been applied or may still
                be, so work starts again from the records; written blocks that no root references are swept.
        """
        if not committed or not certain:
            COMPACTION.transition(self, IDLE)
            return
        if self.state in (WRITING, MERGING):
            del self._blocks[: self._sent_count]
            if not self._blocks:
                COMPACTION.transition(self, LINKING if self.state == WRITING else SWAPPING)
        elif self.state == LINKING:
            COMPACTION.transition(self, CLEARING)
        elif self.state == SWAPPING:
            self._keys_to_sweep = [
                block_key(self.bucket, run.name, index)
                for run in self._replaced_runs
                for index in range(len(run.first_numbers))
            ]
            COMPACTION.transition(self, SWEEPING)
        elif self.state == CLEARING:
            del self._jobs_to_clear[: self._sent_count]
            if not self._jobs_to_clear:
                COMPACTION.transition(self, IDLE)
        elif self.state == SWEEPING:
            del self._keys_to_sweep[: self._sent_count]
            if not self._keys_to_sweep:
                COMPACTION.transition(self, IDLE)
