"""Looks up jobs that were moved to the history.

A controller keeps a Bloom filter per run and a few cached blocks in memory, not the whole history. This
module performs no I/O: a lookup returns the block that must be read.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec
from rbloom import Bloom

from pearstep.history.blocks import HistoryEntry, find_entry, unpack
from pearstep.history.tree import Root, block_key, bucket_of, candidate_blocks, root_key

# The share of unknown job ids that cause an unnecessary read.
FALSE_POSITIVE_RATE = 0.01
DEFAULT_CACHED_BLOCKS = 64


class Absent(msgspec.Struct, frozen=True):
    """The job is not in the history as of this version of its root; its acceptance is conditional on it."""

    key: str
    version: int


class NeedsBlock(msgspec.Struct, frozen=True):
    """A block that must be read before the lookup is repeated."""

    key: str


LookupResult = HistoryEntry | Absent | NeedsBlock


class _BucketIndex:
    """The root of one bucket and the filters of its runs by name."""

    def __init__(self) -> None:
        """Create the index with an empty root."""
        self.root = Root()
        self.version = 0
        self.by_run: dict[str, Bloom] = {}


class History:
    """The known roots, filters and cached blocks of all buckets."""

    def __init__(self, max_cached_blocks: int = DEFAULT_CACHED_BLOCKS) -> None:
        """Create an index without roots that caches at most ``max_cached_blocks`` unpacked blocks."""
        self._buckets: dict[int, _BucketIndex] = {}
        self._max_cached_blocks = max_cached_blocks
        self._blocks: OrderedDict[str, list[HistoryEntry]] = OrderedDict()

    @property
    def roots(self) -> dict[int, Root]:
        """The known roots by bucket."""
        return {bucket: filters.root for bucket, filters in self._buckets.items()}

    def put_root(self, bucket: int, version: int, root: Root) -> bool:
        """Store a root; False if this or a later version is already stored."""
        filters = self._buckets.setdefault(bucket, _BucketIndex())
        if version <= filters.version:
            return False
        filters.root, filters.version = root, version
        names = {run.name for run in root.runs}
        for name in [name for name in filters.by_run if name not in names]:
            del filters.by_run[name]
        return True

    def has_filter(self, bucket: int, run: str) -> bool:
        """Tell whether a run has a filter; without one, each lookup searches one of its blocks."""
        filters = self._buckets.get(bucket)
        return filters is not None and run in filters.by_run

    def build_filter(self, bucket: int, run: str, entries: Iterable[HistoryEntry]) -> None:
        """Build the filter of a run from all of its entries."""
        filters = self._buckets[bucket]
        found = next((one for one in filters.root.runs if one.name == run), None)
        if found is None:
            return  # the run was merged into another one meanwhile
        bloom = Bloom(max(found.count, 1), FALSE_POSITIVE_RATE)
        bloom.update(entry.number for entry in entries)
        filters.by_run[run] = bloom

    def put_block(self, key: str, raw: bytes) -> None:
        """Cache a block that was read.

        Raises:
            BadBlockError: The block can't be unpacked.
        """
        self._blocks[key] = unpack(raw)
        self._blocks.move_to_end(key)
        while len(self._blocks) > self._max_cached_blocks:
            self._blocks.popitem(last=False)

    def look_up(self, number: int, searched: set[str] | None = None) -> LookupResult:
        """Look up a job.

        Args:
            number: The number of the job.
            searched: The keys of blocks that don't have the job, kept by the caller between calls; blocks
                never change. Without this set, a lookup that searches more blocks than are cached would not
                end.

        Returns:
            The job's entry, its absence, or the block that must be read first.
        """
        searched = set() if searched is None else searched
        bucket = bucket_of(number)
        filters = self._buckets.get(bucket)
        if filters is None:
            return Absent(root_key(bucket), 0)
        for run, index in candidate_blocks(filters.root, number):
            bloom = filters.by_run.get(run)
            key = block_key(bucket, run, index)
            if key in searched or (bloom is not None and number not in bloom):
                continue
            entries = self._blocks.get(key)
            if entries is None:
                return NeedsBlock(key)
            self._blocks.move_to_end(key)
            found = find_entry(entries, number)
            if found is not None:
                return found
            searched.add(key)
        return Absent(root_key(bucket), filters.version)

    @property
    def filter_bytes(self) -> int:
        """The memory of all filters in bytes."""
        blooms = [bloom for filters in self._buckets.values() for bloom in filters.by_run.values()]
        return sum(bloom.size_in_bits // 8 for bloom in blooms)
