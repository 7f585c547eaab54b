"""Two sites as real processes, linked through a relay that cuts at named points while jobs are lent.

python -m measurements.federation_cuts [--rounds N] [--seed S] [--quick]

Every task notes when it begins and when it has finished, and where. After each round: every job that was not
cancelled is done, every task of it finished exactly once, no task ran at both sites at once, and nothing of a
cancelled job began after its user was told. Prints one JSON line; exit 1 otherwise.
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
import msgspec

from measurements.harness import ROOT, leaders, say
from measurements.relay import CUTS, PASS, Relay
from pearstep.client.archive import ArchiveClient
from pearstep.client.jobs import ClusterUnreachableError, JobsClient
from pearstep.federation import handoff
from pearstep.federation.keys import Keys
from pearstep.federation.operator_api import STATUS_PATH
from pearstep.jobs.description import Description, Run
from pearstep.local.layout import load, make, save
from pearstep.transport.http import Client

SITES = ("huye", "nyarugenge")
# Where a cut begins: as soon as a loan is seen in this state, or at a random time.
POINTS = (handoff.OFFERED, handoff.GRANTED, handoff.RECALLING, "ending", "any")
FAST = {
    "leaving": {"wait_s": 0.5, "aim_s": 0.5, "least_gain_s": 0.5, "gain": 0.05},
    "patience": {"suspect_s": 1.5, "cut_s": 4.0, "rest_s": 0.5},
    "offer_s": 4.0,
    "reserve_s": 8.0,
    "idle_s": 8.0,
    "lend_s": 0.3,
}
SCRIPT = """
import os, sys, time
job, task, truth, secs = sys.argv[1:]
site = "huye" if "/huye/" in os.getcwd() else "nyarugenge"
attempt = os.environ["PEARSTEP_ATTEMPT"]
with open(f"{truth}/{job}.{task}.{site}.{attempt}.{os.getpid()}", "w", buffering=1) as note:
    note.write(f"{time.time()}\\n")
    time.sleep(float(secs))
    note.write(f"{time.time()}\\n")
print("task", task, "of", job)
"""
JOBS, TASKS = 7, 4


class Pair:
    """Both sites and the relays between them."""

    def __init__(self, root: Path, seed: int) -> None:
        self.root = root
        self.truth = root / "truth"
        self.truth.mkdir()
        self.rng = random.Random(seed)
        self.http = Client(50)
        self.ups: dict[str, subprocess.Popen[bytes]] = {}
        self.relays: dict[str, list[Relay]] = {}
        self.count: Counter[str] = Counter()
        self.points: Counter[str] = Counter()
        self.wrong: list[str] = []

    async def begin(self) -> None:
        """Start both sites and let them know each other, through the relays."""
        for site in SITES:
            folder = self.root / site
            cluster = make(folder, 2, 1, 2, 4.0, 4.0, site)
            cluster.federation = FAST
            save(folder, cluster)
            Keys.init(folder / "keys", site).issue()
            self.relays[site] = [Relay(addr) for addr in cluster.links.values()]
            for relay in self.relays[site]:
                await relay.listen()
        for site, other in (SITES, SITES[::-1]):
            authority = (self.root / other / "keys" / "authority.pem").read_bytes()
            Keys(self.root / site / "keys").trust(other, authority)
            with open(self.root / f"{site}.log", "ab") as out:
                self.ups[site] = subprocess.Popen(
                    [sys.executable, "-m", "pearstep", "up", str(self.root / site)],
                    stdout=out,
                    stderr=out,
                    stdin=subprocess.DEVNULL,
                    cwd=ROOT,
                    start_new_session=True,
                )
        self.clusters = {site: load(self.root / site) for site in SITES}
        for site, other in (SITES, SITES[::-1]):
            await self._until(lambda s=site: self._ready(s), f"{site} is not up", 40)
            # The guest's room is for peers as well; what home has is its own.
            grant = ["--cpus", "4", "--memory-gb", "4", "--rent"] if site == "nyarugenge" else []
            lend = "--lend" if site == "huye" else "--no-lend"
            addrs = [relay.addr for relay in self.relays[other]]
            await self._command(site, "peers", "add", other, *addrs, *grant, lend)
        await self._until(self._linked, "the sites do not see each other", 30)
        home = self.clusters["huye"]
        self.jobs = JobsClient(self.http, list(home.nodes.values()))
        self.archive = ArchiveClient(self.http, list(home.archives.values()))

    async def _command(self, site: str, *words: str) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pearstep",
            "--cluster",
            str(self.root / site),
            *words,
            cwd=ROOT,
        )
        if await process.wait():
            raise RuntimeError(f"{site}: {' '.join(words)} failed")

    async def _ready(self, site: str) -> bool:
        addrs = self.clusters[site].nodes.values()
        return all([(await self.http.fetch(a, "GET", "/ready", timeout_s=1.0))[0] == 200 for a in addrs])

    async def facts(self, site: str) -> dict:
        """What the site's leader says of lending; nothing while there is none."""
        for addr in self.clusters[site].nodes.values():
            status, data = await self.http.fetch(addr, "GET", STATUS_PATH, timeout_s=1.0)
            if status == 200 and (found := msgspec.json.decode(data))["leads"]:
                return found
        return {"peers": [], "loans": []}

    async def _linked(self) -> bool:
        return all([any(p["state"] == "up" for p in (await self.facts(s))["peers"]) for s in SITES])

    async def _until(self, what, why: str, patience_s: float) -> bool:
        until = time.monotonic() + patience_s
        while not await what():
            if time.monotonic() > until:
                self.wrong.append(why)
                return False
            await asyncio.sleep(0.1)
        return True

    # -- a round ---------------------------------------------------------------------------------

    async def round(self, number: int) -> None:
        """Jobs for more than home's room, a cut at a point, perhaps kills and cancellations; then compare."""
        point = POINTS[number % len(POINTS)]
        mode = self.rng.choice(CUTS)
        jobs = {}
        for _ in range(JOBS):
            secs = self.rng.choice([0.3, 1.0, 2.0])
            gang = self.rng.random() < 0.3
            run = Run([sys.executable, "-c", SCRIPT, "{job}", "{task}", str(self.truth), str(secs)])
            kind, tasks = ("gang", 2) if gang else ("array", TASKS)
            job = Description("solve", "default", run, kind=kind, tasks=tasks, memory_gb=0.1, estimate_s=5.0)
            jobs[await self.jobs.submit(job, self.archive)] = tasks
        cutting = asyncio.ensure_future(self._cut(point, mode))
        told: dict[str, float] = {}
        wishes = []
        if point == handoff.RECALLING or self.rng.random() < 0.4:
            wishes.append(asyncio.ensure_future(self._cancel_lent(list(jobs), told)))
        if self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            self._kill(self.rng.choice(SITES))
        await cutting
        await asyncio.gather(*wishes)
        states: dict[str, str] = {}

        async def over() -> bool:
            for ref in jobs:
                if states.get(ref) not in ("done", "cancelled"):
                    status = await self.jobs.status(ref)
                    states[ref] = status.state if status is not None else "forgotten"
            return all(s in ("done", "cancelled") for s in states.values())

        if await self._until(over, f"round {number} ({point}, {mode}): not over", 90):
            await asyncio.sleep(0.5)
        else:
            self.wrong[-1] += f": {states} {(await self.facts('huye'))['loans']}"
        self._compare(number, jobs, states, told)
        self.count["rounds"] += 1

    async def _cut(self, point: str, mode: str) -> None:
        until = time.monotonic() + 6.0
        if point == "any":
            await asyncio.sleep(self.rng.uniform(0.2, 4.0))
        while point != "any" and time.monotonic() < until:
            rows = (await self.facts("nyarugenge" if point == "ending" else "huye"))["loans"]
            wanted = ("given back", "finished") if point == "ending" else (point,)
            if any(row["state"] in wanted for row in rows):
                self.points[point] += 1
                break
            await asyncio.sleep(0.005)
        await asyncio.sleep(self.rng.choice([0.0, 0.0, 0.05, 0.3]))
        # Both directions, or only the requests of one side.
        relays = [r for rows in self.relays.values() for r in rows]
        if self.rng.random() < 0.3:
            relays = self.relays[self.rng.choice(SITES)]
        for relay in relays:
            relay.cut(mode)
        self.count["cuts"] += 1
        await asyncio.sleep(self.rng.choice([0.5, 2.0, 6.0]))
        for relay in relays:
            relay.cut(PASS)

    async def _cancel_lent(self, refs: list[str], told: dict[str, float]) -> None:
        """Cancel one that a peer has, if there is one within a while."""
        until = time.monotonic() + 4.0
        ref = self.rng.choice(refs)
        while time.monotonic() < until:
            lent = [r["ref"] for r in (await self.facts("huye"))["loans"] if r["state"] == handoff.GRANTED]
            lent = [r for r in lent if r in refs]
            if lent:
                ref = lent[0]
                self.count["cancelled_lent"] += 1
                break
            await asyncio.sleep(0.02)
        try:
            status = await self.jobs.cancel(ref)
        except ClusterUnreachableError:
            self.wrong.append(f"{ref}: could not be cancelled within the user's patience")
            return
        if status is not None and status.state == "cancelled":
            told[ref] = time.time()

    def _kill(self, site: str) -> None:
        """SIGKILL to one of a site's controllers; its supervisor starts it anew."""
        name = self.rng.choice(list(self.clusters[site].nodes))
        config = str(self.root / site / "conf" / f"{name}.toml").encode()
        for pid in leaders(lambda argv: config in argv):
            os.kill(pid, signal.SIGKILL)
            self.count["controllers_killed"] += 1

    def _compare(
        self, number: int, jobs: dict[str, int], states: dict[str, str], told: dict[str, float]
    ) -> None:
        for ref, tasks in jobs.items():
            self.count["jobs"] += 1
            runs: dict[int, list[tuple[float, float | None, str]]] = {}
            for note in self.truth.glob(f"{ref}.*"):
                _, task, site, *_ = note.name.split(".")
                times = [float(line) for line in note.read_text().split()]
                if times:
                    ended = times[1] if len(times) > 1 else None
                    runs.setdefault(int(task), []).append((times[0], ended, site))
                    self.count[f"ran_at_{site}"] += 1
            where = f"round {number}: {ref} {states.get(ref)}"
            if states.get(ref) == "done":
                for row in range(tasks):
                    finished = [r for r in runs.get(row, []) if r[1] is not None]
                    if not finished:
                        self.count["lost"] += 1
                        self.wrong.append(f"{where}: task {row} never finished")
                    elif len(finished) > 1:
                        self.count["finished_twice"] += 1
                        self.wrong.append(f"{where}: task {row} finished {len(finished)} times {finished}")
            for number_of_task, rows in runs.items():
                if len({site for _, _, site in rows}) > 1:
                    last = {s: max(e or b for b, e, x in rows if x == s) for s in SITES}
                    first = {s: min(b for b, _, x in rows if x == s) for s in SITES}
                    if first["huye"] < last["nyarugenge"] and first["nyarugenge"] < last["huye"]:
                        self.wrong.append(f"{where}: task {number_of_task} ran at both sites at once")
                if ref in told and any(begun > told[ref] for begun, _, _ in rows):
                    self.wrong.append(f"{where}: task {number_of_task} began after its user was told")

    def end(self) -> None:
        """End both sites."""
        for process in self.ups.values():
            if process.poll() is None:
                process.send_signal(signal.SIGINT)
        for process in self.ups.values():
            try:
                process.wait(40)
            except subprocess.TimeoutExpired:
                os.killpg(process.pid, signal.SIGKILL)


async def play(rounds: int, seed: int) -> int:
    """All rounds; the exit code."""
    root = Path(tempfile.mkdtemp(prefix="pearstep-cuts-"))
    begun = time.monotonic()
    pair = Pair(root, seed)
    me = asyncio.current_task()
    assert me is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, me.cancel)
    try:
        await pair.begin()
        for number in range(rounds):
            if len(pair.wrong) > 3:
                break
            await pair.round(number)
    finally:
        pair.end()
        if not pair.wrong:
            shutil.rmtree(root, ignore_errors=True)
    count = {
        k: pair.count[k]
        for k in (
            "rounds",
            "jobs",
            "finished_twice",
            "lost",
            "cuts",
            "controllers_killed",
            "cancelled_lent",
            "ran_at_huye",
            "ran_at_nyarugenge",
        )
    }
    if not count["ran_at_nyarugenge"] and not pair.wrong:
        pair.wrong.append("nothing was lent: no cut could be in the way of anything")
    kept = {"kept_in": str(root)} if pair.wrong else {}
    return say(
        {
            "measurement": "federation_cuts",
            "seed": seed,
            **count,
            "cut_at": dict(pair.points),
            "s": round(time.monotonic() - begun, 1),
            "wrong": pair.wrong,
            **kept,
        }
    )


@click.command()
@click.option("--rounds", default=100, show_default=True)
@click.option("--quick", is_flag=True, help="3 rounds.")
@click.option("--seed", type=int, default=None, help="Drawn and printed without it.")
def main(rounds: int, quick: bool, seed: int | None) -> None:
    """Cut the link between two sites at named points while jobs are lent."""
    seed = random.SystemRandom().randrange(10**9) if seed is None else seed
    sys.exit(asyncio.run(play(3 if quick else rounds, seed)))


if __name__ == "__main__":
    main()
