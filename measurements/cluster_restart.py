"""A whole cluster on this machine, whose controllers all die at once, and half of its workers, again and
again, while jobs are built from each other's files.

python -m measurements.cluster_restart [--rounds N] [--seed S] [--quick]

Each round: a job of several tasks leaves files; a second job is built from the first one's published files
and copies what it found into its own. Afterwards: both are done; each published set names one attempt a
task, and its files say that this attempt wrote them; every archive node tells the same set; what the second
job found is the first one's published set, file by file, in all of its tasks. Prints one JSON line; exit 1
otherwise.
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
from collections import Counter
from pathlib import Path

import click

from measurements.harness import ROOT, leaders, say
from pearstep.archive.sets import PublishedSet, UnsettledError, digest_of
from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError
from pearstep.client.jobs import JobsClient
from pearstep.client.sets import Sets
from pearstep.jobs.description import Description, InputSet, Run
from pearstep.local.layout import load, make
from pearstep.transport.http import Client

TASKS = 3
FIRST = """
import os, sys, time, uuid
task, secs = sys.argv[1:]
time.sleep(float(secs) / 2)
with open("sheet.txt", "w") as out:
    out.write(f"{os.environ['PEARSTEP_JOB']} {task} {os.environ['PEARSTEP_ATTEMPT']} {uuid.uuid4()}\\n")
    out.flush()
    time.sleep(float(secs) / 2)
    out.write("whole\\n")
"""
SECOND = """
import os, sys, time
from pathlib import Path
task, secs = sys.argv[1:]
time.sleep(float(secs))
found = {str(p.relative_to("ortho")): p.read_text() for p in sorted(Path("ortho").rglob("*")) if p.is_file()}
head = f"{os.environ['PEARSTEP_JOB']} {task} {os.environ['PEARSTEP_ATTEMPT']} built\\n"
Path("mosaic.txt").write_text(head + "".join(f"{k}: {v}" for k, v in found.items()))
"""


class Restarts:
    """The cluster, and what was found."""

    def __init__(self, root: Path, seed: int) -> None:
        self.root = root
        self.rng = random.Random(seed)
        self.count: Counter[str] = Counter()
        self.wrong: list[str] = []
        self.http = Client(50)

    async def begin(self) -> None:
        """Start it and wait until it takes jobs."""
        make(self.root / "site", 3, 3, 4, 8.0, 8.0)
        with open(self.root / "up.log", "ab") as out:
            self.up = subprocess.Popen(
                [sys.executable, "-m", "pearstep", "up", str(self.root / "site")],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                start_new_session=True,
            )
        self.cluster = load(self.root / "site")
        self.jobs = JobsClient(self.http, list(self.cluster.nodes.values()))
        self.archive = ArchiveClient(self.http, list(self.cluster.archives.values()))
        until = time.monotonic() + 60
        while not all(
            [
                (await self.http.fetch(a, "GET", "/ready", timeout_s=1.0))[0] == 200
                for a in [*self.cluster.nodes.values(), *self.cluster.archives.values()]
            ]
        ):
            if time.monotonic() > until:
                raise TimeoutError("the cluster did not come up")
            await asyncio.sleep(0.2)

    def _processes(self, kind: str) -> list[int]:
        """Leaders of process groups of this cluster: controllers, archive nodes or agents."""
        root = str(self.root).encode()

        def wanted(argv: list[bytes]) -> bool:
            return kind.encode() in argv and b"--config" in argv and any(a.startswith(root) for a in argv)

        return leaders(wanted)

    def _strike(self) -> None:
        """All controllers at once, half of the agents, and now and then an archive node."""
        victims = self._processes("node")
        self.count["controllers_killed"] += len(victims)
        agents = self._processes("worker")
        half = self.rng.sample(agents, len(agents) // 2)
        self.count["agents_killed"] += len(half)
        victims += half
        if self.rng.random() < 0.3:
            archives = self._processes("archive")
            some = self.rng.sample(archives, min(1, len(archives)))
            self.count["archives_killed"] += len(some)
            victims += some
        for pid in victims:
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                pass

    async def _run(self, script: str, inputs: list[InputSet], outputs: list[str], strikes: int) -> str:
        """Submit a job and strike while it runs; its id once it is over."""
        secs = self.rng.choice([0.4, 1.0, 2.0])
        run = Run([sys.executable, "-c", script, "{task}", str(secs)], outputs=outputs, inputs=inputs)
        job = Description("build", "default", run, tasks=TASKS, memory_gb=0.1, estimate_s=3.0)
        ref = await self.jobs.submit(job, self.archive)
        for _ in range(strikes):
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            self._strike()
        until = time.monotonic() + 120
        while True:
            status = await self.jobs.status(ref)
            if status is None or status.state in ("done", "cancelled"):
                break
            if time.monotonic() > until:
                break
            await asyncio.sleep(0.2)
        if status is None or status.state != "done":
            self.wrong.append(f"{ref}: {'forgotten' if status is None else status.state}")
        return ref

    async def _publish(self, ref: str) -> PublishedSet | None:
        """The published set, asked for at several nodes at once."""
        until = time.monotonic() + 60
        while True:
            try:
                nodes = [Sets(ArchiveClient(self.http, [a])) for a in self.cluster.archives.values()]
                rivals = await asyncio.gather(*(n.publish(ref) for n in nodes), return_exceptions=True)
                found = [r for r in rivals if isinstance(r, PublishedSet)]
                if len({digest_of(one) for one in found}) > 1:
                    self.wrong.append(f"{ref}: archive nodes tell different sets")
                if len(found) == len(rivals):
                    return found[0]
                bad = next(r for r in rivals if not isinstance(r, PublishedSet))
                if not isinstance(bad, (ArchiveUnreachableError, UnsettledError)):
                    raise bad
                why = str(bad)
            except (ArchiveUnreachableError, UnsettledError) as err:
                why = str(err)
            if time.monotonic() > until:
                self.wrong.append(f"{ref}: not published after 60 s: {why}")
                return None
            await asyncio.sleep(0.3)

    async def _texts(self, one: PublishedSet) -> dict[str, str]:
        with tempfile.TemporaryDirectory(dir=self.root) as folder:
            while True:
                try:
                    await Sets(self.archive).fetch(one, Path(folder))
                    return {m.name: (Path(folder) / m.name).read_text() for m in one.files}
                except ArchiveUnreachableError:
                    await asyncio.sleep(0.3)

    def _check(self, one: PublishedSet, texts: dict[str, str], name: str) -> None:
        """One attempt a task, and its own files."""
        if [m.name for m in one.files] != [f"{t}/{name}" for t in range(TASKS)]:
            self.wrong.append(f"{one.ref}: its set holds {[m.name for m in one.files]}")
        for m in one.files:
            ref, task, attempt, _ = texts[m.name].split("\n")[0].split(" ")
            if (ref, int(task), int(attempt)) != (one.ref, m.task, m.attempt):
                self.wrong.append(f"{one.ref}: {m.name} was written by {ref} {task} {attempt}")

    async def round(self, number: int) -> None:
        """One pair of jobs."""
        first = await self._publish(await self._run(FIRST, [], ["sheet.txt"], self.rng.randint(1, 2)))
        if first is None:
            return
        texts = await self._texts(first)
        self._check(first, texts, "sheet.txt")
        if any(not text.endswith("whole\n") for text in texts.values()):
            self.wrong.append(f"{first.ref}: a half-written file was published")
        inputs = [InputSet(first.ref, "ortho", digest_of(first))]
        second = await self._publish(await self._run(SECOND, inputs, ["mosaic.txt"], self.rng.randint(0, 2)))
        if second is None:
            return
        built = await self._texts(second)
        self._check(second, built, "mosaic.txt")
        wanted = "".join(f"{name}: {texts[name]}" for name in sorted(texts))
        for name, text in built.items():
            if text.partition("\n")[2] != wanted:
                self.wrong.append(f"{second.ref}: {name} was built from something else")
        if [(i.ref, i.digest) for i in second.inputs] != [(first.ref, digest_of(first))]:
            self.wrong.append(f"{second.ref}: its set names other inputs")
        for one in (first, second):
            found = await self.archive.attempts(one.ref) or []
            self.count["attempts"] += len(found)
            self.count["superseded"] += len(found) - TASKS
        self.count["jobs"] += 2
        self.count["rounds"] += 1

    def end(self) -> None:
        """End the cluster."""
        if self.up.poll() is None:
            self.up.send_signal(signal.SIGINT)
            try:
                self.up.wait(60)
            except subprocess.TimeoutExpired:
                os.killpg(self.up.pid, signal.SIGKILL)


async def play(rounds: int, seed: int) -> int:
    """All rounds; the exit code."""
    root = Path(tempfile.mkdtemp(prefix="pearstep-restart-"))
    begun = time.monotonic()
    cluster = Restarts(root, seed)
    me = asyncio.current_task()
    assert me is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, me.cancel)
    try:
        await cluster.begin()
        for number in range(rounds):
            await cluster.round(number)
            if len(cluster.wrong) > 3:
                break
    finally:
        cluster.end()
        if not cluster.wrong:
            shutil.rmtree(root, ignore_errors=True)
    names = (
        "rounds",
        "jobs",
        "attempts",
        "superseded",
        "controllers_killed",
        "agents_killed",
        "archives_killed",
    )
    if not cluster.wrong and cluster.count["rounds"] < rounds:
        cluster.wrong.append("not all rounds were played")
    kept = {"kept_in": str(root)} if cluster.wrong else {}
    return say(
        {
            "measurement": "cluster_restart",
            "seed": seed,
            **{n: cluster.count[n] for n in names},
            "s": round(time.monotonic() - begun, 1),
            "wrong": cluster.wrong,
            **kept,
        }
    )


@click.command()
@click.option("--rounds", default=200, show_default=True)
@click.option("--quick", is_flag=True, help="5 rounds.")
@click.option("--seed", type=int, default=None, help="Drawn and printed without it.")
def main(rounds: int, quick: bool, seed: int | None) -> None:
    """Kill all controllers and half of the workers again and again while jobs build on each other."""
    seed = random.SystemRandom().randrange(10**9) if seed is None else seed
    sys.exit(asyncio.run(play(5 if quick else rounds, seed)))


if __name__ == "__main__":
    main()
