"""What the archive costs: throughput with syncs, memory with many attempts open, finding one among many.

python -m measurements.archive_load [--quick]

Throughput is compared with a plain sequential write of as many bytes with as many syncs in the same run, on
the same disk. Prints one JSON line; exit 1 if less than half of the plain write is reached, if 10,000 open
attempts take over 128 MB, or if finding grows by more than three times from the small index to the large
one.
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from measurements.harness import say
from pearstep.archive.disk import Folder
from pearstep.archive.frames import Frame, RecordFrame, pack
from pearstep.archive.index import Index
from pearstep.archive.records import SEALED, Append, Key, Record, change
from pearstep.archive.retention import Room
from pearstep.archive.storage import Storage
from pearstep.archive.writer import Writer
from pearstep.transport.clock import now_us

MB = 1024 * 1024
CHUNK = 256 * 1024


def writer_on(folder: Path) -> Writer:
    """A writer on a new directory."""
    return Writer(Storage(Folder(folder), Index(str(folder / "index.sqlite"))), Room(0, {}), now_us)


async def throughput(root: Path, total_mb: int, streams: int) -> dict[str, float]:
    """Bytes that hardly compress, a megabyte at a time as workers send them, from several writers at once;
    each sync serves all that wait.
    """
    rng = random.Random(1)
    blocks = [rng.randbytes(CHUNK) for _ in range(16)]
    writer = writer_on(root / "load")
    per_stream = total_mb * MB // CHUNK // streams
    chunks = [
        [pack("stdout", i * CHUNK, blocks[(i + s) % 16]) for i in range(per_stream)] for s in range(streams)
    ]

    async def write(s: int) -> None:
        key = Key(f"req-{s}", 0, 1, "i", 1)
        for i in range(0, per_stream, 4):
            result = (await writer.append([Append(key, 1, "t", "c", 0, chunks[s][i : i + 4])]))[0]
            assert result.status == 200, result

    begun = time.monotonic()
    await asyncio.gather(*(write(s) for s in range(streams)))
    took = time.monotonic() - begun
    syncs = writer.commits
    writer.close()
    size = streams * per_stream * CHUNK
    fd = os.open(root / "plain", os.O_WRONLY | os.O_CREAT, 0o600)
    plain = time.monotonic()
    share = size // max(syncs, 1)
    block = b"".join(blocks)
    for _ in range(syncs):
        left = share
        while left > 0:
            left -= os.write(fd, block[: min(left, len(block))])
        os.fdatasync(fd)
    plain_took = time.monotonic() - plain
    os.close(fd)
    return {
        "mb_per_s": round(size / MB / took, 1),
        "plain_mb_per_s": round(size / MB / plain_took, 1),
        "syncs": syncs,
        "share": round(plain_took / took, 2),
    }


async def open_attempts(root: Path, count: int) -> float:
    """Resident MB that this many open attempts add, each with a first chunk; measured in this process."""

    def rss() -> float:
        return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / MB

    writer = writer_on(root / "open")
    before = rss()
    for begin in range(0, count, 500):
        items = []
        for i in range(begin, min(begin + 500, count)):
            key = Key("req-1", i, 1, f"i-{i % 50:06d}", i)
            items.append(Append(key, 1, "team", "class", 1, [pack("stdout", 0, b"x" * 100)]))
        results = await writer.append(items)
        assert all(r.status == 200 for r in results)
    assert len(writer.open) == count
    grown = rss() - before
    writer.close()
    return round(grown, 1)


def finding(root: Path, count: int, looks: int) -> dict[str, float]:
    """Microseconds to find one attempt by job and task among ``count``."""
    folder = Folder(root / f"find-{count}")
    index = Index(str(folder.root / "index.sqlite"))
    storage = Storage(folder, index)
    tasks = 10
    rng = random.Random(3)
    jobs = [f"req-{rng.randrange(10**17)}" for _ in range(count // tasks)]
    batch: list[Frame] = []
    for n, job in enumerate(jobs):
        for task in range(tasks):
            key = Key(job, task, 1, f"i-{n % 400:06d}", n * tasks + task)
            batch.append(
                RecordFrame(change(Record(key, team="t", cls="c"), SEALED, ends={"stdout": 1}, ended_us=n))
            )
        if len(batch) >= 20_000:
            storage.write(batch)
            batch = []
    storage.write(batch)
    histogram = HdrHistogram(1, 10_000_000, 3)
    for _ in range(looks):
        job, task = rng.choice(jobs), rng.randrange(tasks)
        begun = time.perf_counter_ns()
        found = index.find(job, task)
        histogram.record_value(max((time.perf_counter_ns() - begun) // 1000, 1))
        assert len(found) == 1 and found[0].record.key.job == job
    index.close()
    return {"p50_us": histogram.get_value_at_percentile(50), "p99_us": histogram.get_value_at_percentile(99)}


@click.command()
@click.option("--quick", is_flag=True, help="A tenth of the sizes.")
def main(quick: bool) -> None:
    """Measure what the archive costs."""
    root = Path(tempfile.mkdtemp(prefix="pearstep-load-"))
    small, large = (1_000, 100_000) if quick else (10_000, 1_000_000)
    try:
        result: dict[str, object] = {"measurement": "archive_load", "quick": quick}
        speed = asyncio.run(throughput(root, 128 if quick else 512, 8))
        memory = asyncio.run(open_attempts(root, 10_000))
        few, many = finding(root, small, 2000), finding(root, large, 2000)
        result |= {
            "throughput": speed,
            "open_attempts": 10_000,
            "open_mb": memory,
            f"find_{small}": few,
            f"find_{large}": many,
        }
        wrong = []
        if speed["share"] < 0.5:
            wrong.append("less than half of a plain write")
        if memory > 128:
            wrong.append("10,000 open attempts take over 128 MB")
        if many["p50_us"] > 3 * few["p50_us"]:
            wrong.append("finding grows with the number of attempts")
        sys.exit(say({**result, "wrong": wrong}))
    finally:
        shutil.rmtree(root, ignore_errors=True)


if __name__ == "__main__":
    main()
