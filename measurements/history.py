"""Finished jobs in blocks: bytes in the state, memory of a node, changes, and what a question costs. The
pure part.

python -m measurements.history [--quick] [--jobs N]

Ids are drawn as clients draw them (18 random digits). The tree is built by the compaction itself, a thousand
jobs at a time, each step counted as the transaction that it would be; a second, empty node then reads all of
it. Prints one JSON line; exit 1 if a job is answered wrongly, or a bound of docs/state.md is exceeded.
"""

from __future__ import annotations

import random
import sys
import time
import tracemalloc
from typing import Any

import click
import msgspec

from measurements.harness import say
from pearstep.history.blocks import HistoryEntry, parse_job_number, unpack
from pearstep.history.compaction import IDLE, CompactableJob, Compaction
from pearstep.history.lookup import Absent, History, NeedsBlock
from pearstep.history.tree import BUCKETS, Root, bucket_of, root_key, runs_to_merge

MOST_BYTES, MOST_OPS, BATCH, PAGE = 16_300, 12, 1000, 1000
BOUNDS = {"state_bytes_a_job": 9.5, "memory_bytes_a_job": 2.0, "changes_a_job": 0.1, "reads_a_known": 1.2}


class Built:
    """The keys that the compaction wrote, and how many changes it took."""

    def __init__(self) -> None:
        self.blocks: dict[str, bytes] = {}
        self.roots = {bucket: Root() for bucket in range(BUCKETS)}
        self.changes = 0
        self.transactions = 0

    def run(self, one: Compaction, bucket: int) -> None:
        """To its end. The deletes of the jobs' own records are not counted: they are as many as the
        records.
        """
        stamp = 1
        while one.state != IDLE:
            clearing = one.state == "clearing"
            step = one.step(self.roots[bucket], stamp)
            if step is None:
                return
            self.transactions += 1
            self.changes += 0 if clearing else len(step.puts) + len(step.deletes)
            for key, value in step.puts.items():
                if isinstance(value, Root):
                    self.roots[bucket] = value
                else:
                    self.blocks[key] = value
            for key in step.deletes:
                self.blocks.pop(key, None)
            one.record_outcome(True)

    def take(self, one: Compaction, jobs: list[CompactableJob]) -> None:
        """Take jobs into a bucket, and make larger runs where they are due."""
        bucket = one.bucket
        if one.begin_write(jobs):
            self.run(one, bucket)
        while old := runs_to_merge(self.roots[bucket]):
            read = {r.name: self.contents(bucket, r.name, len(r.first_numbers)) for r in old}
            one.begin_merge(self.roots[bucket], read)
            self.run(one, bucket)

    def contents(self, bucket: int, run: str, count: int) -> list[HistoryEntry]:
        """All entries of a run."""
        out = []
        for i in range(count):
            out += unpack(self.blocks[f"zb/{bucket}/{run}/{i}"])
        return out


def measure(jobs: int, seed: int) -> dict[str, Any]:
    """One size."""
    rng = random.Random(seed)
    begun = time.process_time()
    waiting: dict[int, list[CompactableJob]] = {bucket: [] for bucket in range(BUCKETS)}
    sample: list[HistoryEntry] = []
    built = Built()
    compactions = {bucket: Compaction(bucket, 7, MOST_OPS, MOST_BYTES) for bucket in range(BUCKETS)}
    for i in range(jobs):
        ref = f"req-{rng.randrange(10**17, 10**18)}"
        number = parse_job_number(ref)
        assert number is not None
        one = HistoryEntry(number, rng.random() < 0.05, rng.choice([1, 1, 1, 3, 16, 70]))
        if i % max(jobs // 1000, 1) == 0:
            sample.append(one)
        bucket = bucket_of(number)
        waiting[bucket].append(CompactableJob(one, ((f"j/{ref}", 1),)))
        if len(waiting[bucket]) == BATCH:
            built.take(compactions[bucket], waiting[bucket])
            waiting[bucket] = []
    for bucket, rest in waiting.items():
        built.take(compactions[bucket], rest)
    building_s = time.process_time() - begun
    roots = {root_key(b): msgspec.json.encode(r) for b, r in built.roots.items()}
    state = sum(len(k) + len(v) + 2 for k, v in built.blocks.items()) + sum(map(len, roots.values()))

    def load() -> History:
        node = History()
        for bucket, root in built.roots.items():
            if root.runs:
                node.put_root(bucket, 3, root)
        for bucket, root in built.roots.items():
            for run in root.runs:
                node.build_filter(bucket, run.name, built.contents(bucket, run.name, len(run.first_numbers)))
        return node

    begun = time.process_time()
    load()
    loading_s = time.process_time() - begun
    # Once more with its memory traced, which takes many times as long.
    tracemalloc.start()
    node = load()
    python_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()

    wrong = []
    reads = {"known": 0, "unknown": 0}
    unknown = [parse_job_number(f"req-{rng.randrange(10**17, 10**18)}") for _ in sample]
    for kind, numbers in (("known", [e.number for e in sample]), ("unknown", unknown)):
        for expected, number in zip(sample, numbers, strict=True):
            assert number is not None
            while isinstance(found := node.look_up(number), NeedsBlock):
                node.put_block(found.key, built.blocks[found.key])
                reads[kind] += 1
            right = found == expected if kind == "known" else isinstance(found, Absent)
            if not right:
                wrong.append(f"{kind} {number}: {found}")
    figures: dict[str, float] = {
        "state_bytes_a_job": round(state / jobs, 2),
        # Filters are outside Python's own memory.
        "memory_bytes_a_job": round((python_bytes + node.filter_bytes) / jobs, 2),
        "changes_a_job": round(built.changes / jobs, 4),
        "reads_a_known": round(reads["known"] / len(sample), 3),
    }
    for name, most in BOUNDS.items():
        # A filter and a root cost something however few jobs there are.
        if figures[name] > most and jobs >= 100_000:
            wrong.append(f"{name}: {figures[name]} is over {most}")
    return {
        "jobs": jobs,
        **figures,
        "reads_an_unknown": round(reads["unknown"] / len(sample), 3),
        "keys": len(built.blocks) + len(roots),
        "largest_root": max(map(len, roots.values())),
        "listing_pages": -(-(len(built.blocks) + len(roots)) // PAGE),
        "building_s": round(building_s, 2),
        "loading_s": round(loading_s, 2),
        "wrong": wrong[:5],
    }


@click.command()
@click.option("--quick", is_flag=True, help="10,000 and 100,000 jobs.")
@click.option("--jobs", type=int, default=None, help="Only this many.")
@click.option("--seed", type=int, default=1, show_default=True)
def main(quick: bool, jobs: int | None, seed: int) -> None:
    """Build a history and ask it."""
    sizes = [jobs] if jobs else [10_000, 100_000] if quick else [10_000, 100_000, 1_000_000]
    rows = [measure(size, seed) for size in sizes]
    sys.exit(
        say(
            {
                "measurement": "history",
                "sizes": rows,
                "wrong": [text for row in rows for text in row["wrong"]],
            }
        )
    )


if __name__ == "__main__":
    main()
