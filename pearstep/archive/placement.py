"""Which archive nodes keep which attempts: rendezvous hashing by bucket.

All attempts of a task are in one bucket, and a bucket is with the ``copies`` nodes that score highest for it.
When a node comes or goes only the buckets move in which it scores high (Thaler and Ravishankar, "A Name-Based
Mapping Scheme for Rendezvous", 1996). Buckets are also what copies are compared by.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

BUCKETS = 512


def bucket_of(job: str, task: int) -> int:
    """The bucket of a task's attempts."""
    return xxhash.xxh3_64_intdigest(f"{job}/{task}".encode()) % BUCKETS


def owners(bucket: int, names: Sequence[str], copies: int) -> list[str]:
    """The nodes that keep a bucket, the one that takes writes first."""
    ranked = sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name}#{bucket}".encode()), reverse=True
    )
    return ranked[:copies]


class Layout:
    """The placement of one epoch of the members."""

    def __init__(self, epoch: int, members: dict[str, str], copies: int) -> None:
        """Create the layout of ``epoch``: ``members`` by name and address, and ``copies`` of each bucket."""
        self.epoch = epoch
        self.members = dict(members)
        self.copies = copies
        self._owners: dict[int, list[str]] = {}

    def owners(self, bucket: int) -> list[str]:
        """Names of the nodes that keep a bucket."""
        found = self._owners.get(bucket)
        if found is None:
            found = self._owners[bucket] = owners(bucket, sorted(self.members), self.copies)
        return found

    def keeps(self, name: str, bucket: int) -> bool:
        """Whether a node keeps a bucket."""
        return name in self.owners(bucket)
