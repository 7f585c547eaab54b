"""The tree of blocks: a log-structured merge tree; performs no I/O.

Each bucket of ids has one root, replaced by compare-and-swap, that references runs of blocks. New runs
are small; eight runs of a level are merged into one run of the next level.

The invariant: **a root never loses an id, and a job's own record is deleted only under the condition of a
root that has the id.** So each accepted id is in its own record or in the current root. An
acceptance that is conditional on both (no record, and the version of the root that was searched without
finding the id) therefore can't accept the id again, however old the data of the controller.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Sequence

import msgspec
import xxhash

from pearstep.history.blocks import HistoryEntry
from pearstep.state.records import HISTORY_BLOCK_PREFIX, HISTORY_ROOT_PREFIX

BUCKETS = 16
FANOUT = 8
# A run and its filter are built without yielding to the event loop. At this size that takes about 0.15 s, and
# a controller must not pause for longer.
MAX_RUN_ENTRIES = 40_000


class Run(msgspec.Struct, frozen=True, array_like=True):
    """A sorted sequence of blocks.

    ``name`` is never reused: the compactor's fencing token and a counter. ``first_numbers`` are the first
    numbers of the blocks.
    """

    name: str
    level: int
    count: int
    first_numbers: tuple[int, ...]


class Root(msgspec.Struct, frozen=True, array_like=True):
    """The root of a bucket: its runs, the newest last, and the number of ids ever added."""

    runs: tuple[Run, ...] = ()
    count: int = 0


def bucket_of(number: int) -> int:
    """Return the bucket of an id, from a hash because ids may be consecutive."""
    return xxhash.xxh3_64_intdigest(number.to_bytes(16, "big")) % BUCKETS


def root_key(bucket: int) -> str:
    """Return the key of a bucket's root."""
    return f"{HISTORY_ROOT_PREFIX}{bucket}"


def block_key(bucket: int, run: str, index: int) -> str:
    """Return the key of a block."""
    return f"{HISTORY_BLOCK_PREFIX}{bucket}/{run}/{index}"


def candidate_blocks(root: Root, number: int) -> list[tuple[str, int]]:
    """Return the blocks (run, index) that may contain a number, the newest run first."""
    blocks = []
    for run in reversed(root.runs):
        index = bisect_right(run.first_numbers, number) - 1
        if index >= 0:
            blocks.append((run.name, index))
    return blocks


def with_run(root: Root, run: Run) -> Root:
    """Return the root with one more run, whose ids it must not contain yet."""
    return Root((*root.runs, run), root.count + run.count)


def runs_to_merge(root: Root) -> tuple[Run, ...]:
    """Return the runs that should be merged into one.

    These are the eight oldest runs of the lowest level that has eight and whose merged run would not exceed
    ``MAX_RUN_ENTRIES``.
    """
    levels: dict[int, list[Run]] = {}
    for run in root.runs:
        levels.setdefault(run.level, []).append(run)
    for level in sorted(levels):
        oldest = tuple(levels[level][:FANOUT])
        if len(oldest) == FANOUT and sum(run.count for run in oldest) <= MAX_RUN_ENTRIES:
            return oldest
    return ()


def with_merged_run(root: Root, old: Sequence[Run], new: Run) -> Root:
    """Return the root in which one run takes the place of several.

    Raises:
        ValueError: The number of ids differs from that of the old runs, or the root lacks one of these.
    """
    if new.count != sum(run.count for run in old) or not set(old) <= set(root.runs):
        raise ValueError("a merged run must have exactly the ids of the runs that it replaces")
    names = {run.name for run in old}
    kept = tuple(run for run in root.runs if run.name not in names)
    return Root((new, *kept), root.count)


def merge_entries(runs: Sequence[Sequence[HistoryEntry]]) -> Iterator[HistoryEntry]:
    """Yield the entries of several runs in order.

    Raises:
        ValueError: An id is in two runs.
    """
    last = 0
    for entry in sorted(entry for run in runs for entry in run):
        if entry.number == last:
            raise ValueError(f"{entry.number} is in two runs")
        last = entry.number
        yield entry
