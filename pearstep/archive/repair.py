"""Making copies good again after a node was away, lost or new: what to compare and what to fetch.

Every node asks the others for digests of the buckets that it keeps. Where they differ it asks for the
bucket's inventory and fetches what it lacks, within a rate. So a node that lost everything, one that was
away for a while, and one that joined all do the same, and nobody has to know which it was.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec
import xxhash

from pearstep.archive.frames import ManifestFrame
from pearstep.archive.placement import Layout
from pearstep.archive.records import EXPIRED, Key, Live, Record, merge


class Fetch(msgspec.Struct, frozen=True):
    """Something to fetch from a peer: a stream's bytes from ``begin`` to ``end``."""

    peer: str
    key: Key
    stream: str
    begin: int
    end: int


class Plan(msgspec.Struct):
    """What a bucket lacks: records that are newer elsewhere, ranges of streams, files."""

    records: list[Record] = []
    fetches: list[Fetch] = []
    manifests: list[ManifestFrame] = []

    @property
    def bytes(self) -> int:
        """Plain bytes to fetch."""
        return sum(f.end - f.begin for f in self.fetches) + sum(
            f.size for m in self.manifests for f in m.files
        )


def digests(rows: Iterable[tuple[int, str, int, int, str, int, int, str, int]]) -> dict[int, int]:
    """A digest for each bucket that holds something, in any order of its attempts."""
    out: dict[int, int] = {}
    for bucket, job, task, attempt, machine, start, _version, state, size in rows:
        one = xxhash.xxh3_64_intdigest(f"{job}/{task}/{attempt}/{machine}/{start}:{state}:{size}".encode())
        out[bucket] = out.get(bucket, 0) ^ one
    return out


def differing(
    name: str, layout: Layout, mine: dict[int, int], peer: str, theirs: dict[int, int]
) -> list[int]:
    """Return the buckets that this node keeps and of which the peer holds something else.

    A peer that does not keep the bucket any more may still hold what the keepers lack.
    """
    return sorted(
        b
        for b, digest in theirs.items()
        if layout.keeps(name, b) and mine.get(b, 0) != digest and peer in layout.members
    )


def surplus(name: str, layout: Layout, mine: dict[int, int], heard: dict[str, dict[int, int]]) -> list[int]:
    """Return the buckets that this node holds but does not keep, and whose keepers all hold the same.

    Only then may a copy be dropped, since it may be the last that is whole.
    """
    out = []
    for bucket, digest in sorted(mine.items()):
        keepers = layout.owners(bucket)
        if name in keepers or len(keepers) < layout.copies:
            continue
        if all(heard.get(peer, {}).get(bucket) == digest for peer in keepers):
            out.append(bucket)
    return out


def plan(
    mine: dict[Key, Live],
    peer: str,
    theirs: Iterable[tuple[Record, dict[str, int]]],
    published: Collection[Key] = (),
    manifests: Iterable[ManifestFrame] = (),
) -> Plan:
    """What to fetch of one bucket from one peer. ``published`` are the attempts whose files are here."""
    out = Plan()
    gone = {key for key, live in mine.items() if live.record.state == EXPIRED}
    for record, have in theirs:
        live = mine.get(record.key)
        if record.state == EXPIRED:
            gone.add(record.key)
            if live is not None and merge(live.record, record):
                out.records.append(record)
            continue
        if record.key in gone:
            continue
        for stream, end in sorted(have.items()):
            begin = live.have.get(stream, 0) if live is not None else 0
            if begin < end:
                out.fetches.append(Fetch(peer, record.key, stream, begin, end))
        if merge(live.record if live is not None else None, record):
            out.records.append(record)
    out.manifests = [m for m in manifests if m.key not in published and m.key not in gone]
    return out


class Pace:
    """Rate limit of fetching, in bytes per second.

    It is paid for after the fact, so that a single large piece passes too.
    """

    def __init__(self, bytes_per_s: float, now_us: int) -> None:
        """Create a limit of ``bytes_per_s`` that is unused at ``now_us``."""
        self.bytes_per_s = bytes_per_s
        self.free_us = now_us

    def spend(self, count: int, now_us: int) -> int:
        """Microseconds to wait before the next piece."""
        self.free_us = max(self.free_us, now_us) + int(count / self.bytes_per_s * 1e6)
        return self.free_us - now_us
