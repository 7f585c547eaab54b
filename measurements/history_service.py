"""Finished jobs and real controllers: what they cost a node before and after they leave their records, and
whether every job is told as it ended while they leave them, with controllers killed meanwhile.

python -m measurements.history_service [--quick] [--seed S]

Three controllers, the state service and the cloud of the stand-ins as processes on loopback. *before*: a node
without `--history` over so many finished jobs with their records; *after*: a node with it, the jobs in
blocks. Memory is resident memory over that of a node with an empty state. *moving*: jobs with records are
compacted while a controller is killed every few seconds and old jobs are asked for. Prints one JSON line;
exit 1 if an answer is wrong, an invariant does not hold, or a bound of issue C is exceeded where it is
stated for the service.
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from hdrh.histogram import HdrHistogram

from measurements.harness import ROOT, say
from measurements.history import BATCH, MOST_BYTES, MOST_OPS, Built
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.history.blocks import HistoryEntry, parse_job_number
from pearstep.history.compaction import CompactableJob, Compaction
from pearstep.history.tree import BUCKETS, bucket_of, root_key
from pearstep.history.verification import verify
from pearstep.local.layout import Cluster, make, write_settings
from pearstep.protocol import controller_messages as wire
from pearstep.state.records import JobRecord, PlacementRecord
from pearstep.transport.clock import now_us
from pearstep.transport.http import Client
from pearstep.transport.kv_client import open_kv_store

POLLS = 300
BOUNDS = {"memory_mb_a_million": 20.0, "requests_more_a_100000": 1.0}


def spec_of(ref: str) -> JobSpec:
    """A small job."""
    return JobSpec(
        job_id=ref,
        job_class="c",
        team="default",
        kind="array",
        priority=2,
        tasks=1,
        cpus=1.0,
        gpus=0.0,
        memory_gb=1.0,
        image="img",
        image_gb=1.0,
        types=None,
        zone=None,
        one_zone=False,
        spread=False,
        spot=False,
        estimate_us=60 * SECOND_US,
        checkpoint_us=0,
        save_us=0,
        deadline_us=None,
    )


class Site:
    """The processes of one run, in a folder of its own."""

    def __init__(self, root: Path, history: dict[str, Any]) -> None:
        self.root = root
        self.cluster: Cluster = make(root, 3, 1, 1, 2.0, 2.0)
        self.cluster.history = history
        write_settings(root, self.cluster)
        self.http = Client(100)
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.store = open_kv_store(self.http, self.cluster.state, 10_000, 10_000)

    def fill(self, keys: dict[str, tuple[int, bytes]]) -> None:
        """The state service's file, as if these had been written."""
        file = self.root / "state" / "keys"
        file.parent.mkdir(parents=True, exist_ok=True)
        revision = max((v for v, _ in keys.values()), default=0)
        rows = [[k, v, raw.decode(), None] for k, (v, raw) in sorted(keys.items())]
        file.write_bytes(
            msgspec.json.encode({"revision": revision, "next_lease": 1, "leases": [], "keys": rows}) + b"\n"
        )

    def start(self, name: str, *argv: str) -> None:
        """One process."""
        with open(self.root / f"{name}.log", "ab") as out:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "pearstep", *argv],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                start_new_session=True,
            )

    def start_node(self, name: str, history: bool = True) -> None:
        """One controller."""
        conf = self.root / "conf"
        more = ["--history", str(conf / "history.yaml")] if history else []
        self.start(name, "node", "--config", str(conf / f"{name}.toml"), *more)

    async def begin(self) -> None:
        """State service and cloud."""
        conf = self.root / "conf"
        self.start("state", "standin", "state", str(conf / "state.yaml"))
        self.start("cloud", "standin", "cloud", str(conf / "cloud.yaml"))
        for addr, path in ((self.cluster.state, "/kv?limit=1"), (self.cluster.cloud, "/flavors")):
            await self.answers(addr, path, 60)

    async def answers(self, addr: str, path: str, patience_s: float) -> float:
        """Seconds until somebody answers 200."""
        begun = time.monotonic()
        while time.monotonic() - begun < patience_s:
            if (await self.http.fetch(addr, "GET", path, timeout_s=2))[0] == 200:
                return time.monotonic() - begun
            await asyncio.sleep(0.01)
        raise TimeoutError(f"{addr}{path} did not answer within {patience_s} s; see {self.root}")

    async def ask(self, addr: str, refs: list[str]) -> list[tuple[str, int, bytes, int]]:
        """Poll for jobs, ten at a time: id, status, answer, microseconds."""

        async def one(ref: str) -> tuple[str, int, bytes, int]:
            begun = now_us()
            status, body = await self.http.fetch(addr, "GET", f"{wire.JOBS_PATH}/{ref}", timeout_s=3)
            return ref, status, body, now_us() - begun

        out = []
        for at in range(0, len(refs), 10):
            out += await asyncio.gather(*(one(ref) for ref in refs[at : at + 10]))
        return out

    def kill(self, name: str) -> None:
        """At once."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def end(self) -> None:
        """All that was started here."""
        for name in list(self.running):
            self.kill(name)

    def rss_mb(self, name: str) -> float:
        """Resident memory."""
        pages = int(Path(f"/proc/{self.running[name].pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def cpu_s(self, name: str) -> float:
        """Processor time that it has used."""
        fields = Path(f"/proc/{self.running[name].pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def drawn(rng: random.Random, count: int) -> list[str]:
    """Ids as clients draw them."""
    return [f"req-{rng.randrange(10**17, 10**18)}" for _ in range(count)]


def with_records(refs: list[str], first: int) -> dict[str, tuple[int, bytes]]:
    """Finished jobs as they are before."""
    keys = {}
    for i, ref in enumerate(refs):
        keys[f"j/{ref}"] = (
            first + i,
            msgspec.json.encode(JobRecord(spec_of(ref), 1, JobState.DONE, 2, shard_id=0)),
        )
        keys[f"p/0/{ref}/0"] = (first + i, msgspec.json.encode(PlacementRecord({}, "1", 1)))
    return keys


def in_blocks(refs: list[str], first: int) -> dict[str, tuple[int, bytes]]:
    """Finished jobs as the compaction leaves them."""
    built = Built()
    compactions = {b: Compaction(b, 7, MOST_OPS, MOST_BYTES) for b in range(BUCKETS)}
    waiting: dict[int, list[CompactableJob]] = {b: [] for b in range(BUCKETS)}

    for ref in refs:
        number = parse_job_number(ref)
        assert number is not None
        bucket = bucket_of(number)
        waiting[bucket].append(CompactableJob(HistoryEntry(number, False, 1), ((f"j/{ref}", 1),)))
        if len(waiting[bucket]) == BATCH:
            built.take(compactions[bucket], waiting[bucket])
            waiting[bucket] = []
    for bucket, rest in waiting.items():
        built.take(compactions[bucket], rest)
    keys = {key: (first, msgspec.json.encode(block.decode())) for key, block in built.blocks.items()}
    for bucket, root in built.roots.items():
        if root.runs:
            keys[root_key(bucket)] = (first, msgspec.json.encode(root))
    return keys


async def one_node(
    root: Path, jobs: int, history: bool, empty_mb: float, wrong: list[str], rng: random.Random
) -> dict[str, Any]:
    """A node over so many finished jobs."""
    refs = drawn(rng, jobs)
    keys = in_blocks(refs, 1000) if history else with_records(refs, 1000)
    site = Site(root, {})
    site.fill(keys)
    try:
        await site.begin()
        pages = -(-len([k for k in keys if not k.startswith("zb/")]) // 1000) or 1
        site.start_node("node-0", history)
        addr = site.cluster.nodes["node-0"]
        ready_s = await site.answers(addr, "/ready", 120)
        until = time.monotonic() + 60
        log = root / "node-0.log"
        while history and jobs and time.monotonic() < until and "history read" not in log.read_text():
            await asyncio.sleep(0.05)
        whole_s = time.monotonic() - until + 60
        await asyncio.sleep(1.0)
        known, unknown = HdrHistogram(1, 10**8, 3), HdrHistogram(1, 10**8, 3)
        for ref, status, body, took_us in await site.ask(addr, rng.sample(refs, min(POLLS, jobs))):
            known.record_value(took_us)
            if status != 200 or msgspec.json.decode(body)["stage"] != "done":
                wrong.append(f"{jobs} {'after' if history else 'before'}: {ref} is told as {status} {body!r}")
        for ref, status, _, took_us in await site.ask(addr, drawn(rng, POLLS)):
            unknown.record_value(took_us)
            if status != 404:
                wrong.append(f"{jobs}: {ref}, never submitted, is told as {status}")
        return {
            "jobs": jobs,
            "history": history,
            "memory_mb": round(site.rss_mb("node-0") - empty_mb, 1),
            "cpu_s": round(site.cpu_s("node-0"), 2),
            "ready_s": round(ready_s, 2),
            "whole_s": round(whole_s, 2) if history and jobs else None,
            "pages_to_ready": pages,
            "keys": len(keys),
            "state_bytes_a_job": round(sum(len(k) + len(v) for k, (_, v) in keys.items()) / max(jobs, 1), 1),
            "old_p50_ms": known.get_value_at_percentile(50) / 1000,
            "old_p99_ms": known.get_value_at_percentile(99) / 1000,
            "unknown_p50_ms": unknown.get_value_at_percentile(50) / 1000,
            "unknown_p99_ms": unknown.get_value_at_percentile(99) / 1000,
        }
    finally:
        site.end()


async def count_changes(site: Site, count: dict[str, int]) -> None:
    """Follow the state service's changes, by kind."""
    after = (await site.store.list_all("nothing")) or ([], 0)
    revision = after[1]
    while True:
        found = await site.store.read_changes(revision, 2000)
        if isinstance(found, int):
            await asyncio.sleep(0.05)
            continue
        revision = max(revision, found.revision)
        for event in found.events:
            key = event.put or event.delete or ""
            kind = key.partition("/")[0] if event.put else f"-{key.partition('/')[0]}"
            count[kind] = count.get(kind, 0) + 1


async def moving(root: Path, jobs: int, kills: int, wrong: list[str], rng: random.Random) -> dict[str, Any]:
    """Jobs leave their records while controllers are killed."""
    refs = drawn(rng, jobs)
    site = Site(root, {"keep": 100, "batch": 100, "rest_s": 1, "share": 1.0, "step_s": 0.02})
    site.fill(with_records(refs, 1000))
    count: dict[str, int] = {}
    killed = asked = 0
    try:
        await site.begin()
        counting = asyncio.ensure_future(count_changes(site, count))
        names = list(site.cluster.nodes)
        for name in names:
            site.start_node(name)
        for name in names:
            await site.answers(site.cluster.nodes[name], "/ready", 60)
        begun = time.monotonic()
        next_kill = begun + 3
        left = jobs
        while left > 200 and time.monotonic() - begun < 600:
            name = rng.choice(names)
            ref = rng.choice(refs)
            status, body = await site.http.fetch(
                site.cluster.nodes[name], "GET", f"{wire.JOBS_PATH}/{ref}", timeout_s=2
            )
            asked += 1
            if status == 404 or (status == 200 and msgspec.json.decode(body)["stage"] != "done"):
                wrong.append(f"moving: {ref} is told as {status} {body!r}")
            if time.monotonic() > next_kill and killed < kills:
                # Most often the one that compacts.
                held = await site.store.list_all("compactor")
                value = bytes(held[0][0].value) if held and held[0] else b""
                victim = next((n for n in names if n.encode() in value), rng.choice(names))
                site.kill(victim)
                killed += 1
                site.start_node(victim)
                next_kill = time.monotonic() + rng.uniform(3, 6)
            if asked % 50 == 0:
                listing = await site.store.list_all("hr/")
                taken = sum(msgspec.json.decode(bytes(p.value))[1] for p in listing[0]) if listing else 0
                left = jobs - taken
            await asyncio.sleep(0.005)
        took_s = time.monotonic() - begun
        if left > 200:
            wrong.append(f"moving: {left} jobs are left after {took_s:.0f} s")
        # What is begun comes to its end; then the whole state is looked through.
        await asyncio.sleep(15)
        pairs = [(p.key, bytes(p.value)) for p in (await site.store.list_all() or ([], 0))[0]]
        report = verify(pairs)
        wrong += report.violations[:5]
        for name in names:
            addr = site.cluster.nodes[name]
            for ref, status, body, _ in await site.ask(addr, rng.sample(refs, min(POLLS, jobs))):
                if status != 200 or msgspec.json.decode(body)["stage"] != "done":
                    wrong.append(f"moved: {ref} is told by {name} as {status} {body!r}")
        counting.cancel()
        moved = max(report.finished, 1)
        tree = sum(count.get(kind, 0) for kind in ("hr", "zb", "-zb", "compactor", "-compactor"))
        return {
            "jobs": jobs,
            "left_their_records": report.finished,
            "took_s": round(took_s, 1),
            "controllers_killed": killed,
            "asked": asked,
            "tree_changes_a_job": round(tree / moved, 4),
            "deletes_a_job": round((count.get("-j", 0) + count.get("-p", 0) + count.get("-r", 0)) / moved, 3),
            "remarks": len(report.remarks),
            "keys": len(pairs),
            "changes": count,
        }
    finally:
        site.end()


async def measure(root: Path, quick: bool, seed: int) -> dict[str, Any]:
    """All of it."""
    rng = random.Random(seed)
    wrong: list[str] = []
    empty = await one_node(root / "empty", 0, True, 0.0, wrong, rng)
    base = float(empty["memory_mb"])
    rows = []
    for jobs in (10_000,) if quick else (10_000, 100_000):
        rows.append(await one_node(root / f"before-{jobs}", jobs, False, base, wrong, rng))
    for jobs in (10_000, 100_000) if quick else (10_000, 100_000, 1_000_000):
        rows.append(await one_node(root / f"after-{jobs}", jobs, True, base, wrong, rng))
    moved = await moving(root / "moving", 2000 if quick else 8000, 3 if quick else 12, wrong, rng)
    last = rows[-1]
    figures = {
        "memory_mb_a_million": last["memory_mb"] * 10**6 / last["jobs"],
        "requests_more_a_100000": (last["pages_to_ready"] - 1) * 10**5 / last["jobs"],
    }
    for name, value in figures.items():
        # What a filter and its blocks take at least weighs on fewer.
        if value > BOUNDS[name] and last["jobs"] >= 10**6:
            wrong.append(f"{name}: {value} is over {BOUNDS[name]}")
    return {"empty_node_mb": base, "rows": rows, "moving": moved, **figures, "wrong": wrong[:10]}


@click.command()
@click.option("--quick", is_flag=True, help="Up to 100,000 jobs, 2,000 that move.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--keep", is_flag=True, help="Leave the folder.")
def main(quick: bool, seed: int, keep: bool) -> None:
    """Measure it."""
    root = Path(tempfile.mkdtemp(prefix="pearstep-history-"))
    try:
        found = asyncio.run(measure(root, quick, seed))
    finally:
        if not keep:
            shutil.rmtree(root, ignore_errors=True)
    sys.exit(say({"measurement": "history_service", **found}))


if __name__ == "__main__":
    main()
