"""Workers and archive nodes are killed at random points while tasks write; afterwards every byte is
compared with what the tasks themselves recorded.

python -m measurements.archive_kills [--rounds N] [--seed S] [--quick]

A task's bytes follow from its job, number, attempt and stream alone; after each write it notes how much it
has written. So a log is right if it is a beginning of those bytes, at least as long as what was noted, and
at most one write longer. Prints one JSON line; exit 1 if anything is missing, doubled or changed.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import click

from measurements.harness import Boss, Service, agent, archive_node, say, state_service
from pearstep.archive.records import Key
from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError
from pearstep.jobs.description import Description, Run, encode
from pearstep.transport.http import Client
from pearstep.worker.folder import Folder
from pearstep.worker.processes import sweep

MOST_WRITE = 8192
# Rounds under way at once: what is killed in one is killed for all of them.
LANES = 3
WRITER = (Path(__file__).parent / "task_writer.py").read_text()


def expected(job: str, task: int, attempt: int, stream: int | str, length: int) -> bytes:
    """The beginning of a task's stream."""
    name = f"{job}/{task}/{attempt}/{stream}".encode()
    return b"".join(hashlib.blake2b(name + b"%d" % i).digest() for i in range(length // 64 + 1))[:length]


class Kills:
    """The rounds, and what was found."""

    def __init__(self, root: Path, seed: int) -> None:
        self.root = root
        self.rng = random.Random(seed)
        self.truth = root / "truth"
        self.truth.mkdir()
        self.boss = Boss()
        self.archives: list[Service] = []
        self.agents: dict[str, Service] = {}
        self.count = {
            "rounds": 0,
            "attempts": 0,
            "bytes": 0,
            "agents_killed": 0,
            "archives_killed": 0,
            "machines_gone": 0,
            "files": 0,
            "sealed": 0,
            "lost": 0,
        }
        self.wrong: list[str] = []
        self.machine = 0
        self.gone: set[str] = set()
        self.used: dict[int, set[str]] = {}
        self.striking = asyncio.Lock()

    async def begin(self) -> None:
        """Start everything and wait until writes are taken."""
        self.boss.listen()
        self.state, addr = state_service()
        self.archives = [archive_node(self.root, f"ar-{i}", addr, lost_after_s=4.0) for i in range(3)]
        for node in self.archives:
            node.start()
        asyncio.ensure_future(self._leases())
        self.client = ArchiveClient(Client(), [n.settings["bind"] for n in self.archives])
        until = time.monotonic() + 20
        while (layout := await self.client.refresh()) is None or len(layout.members) < 3:
            if time.monotonic() > until:
                raise TimeoutError("the archive did not come up")
            await asyncio.sleep(0.1)
        for _ in range(2):
            self.new_machine()

    async def _leases(self) -> None:
        from pearstep.transport.clock import now_us

        while True:
            self.state.keys.expire_leases(now_us())
            await asyncio.sleep(0.05)

    def new_machine(self) -> None:
        """A machine that was never there."""
        self.machine += 1
        name = f"i-{self.machine}"
        self.agents[name] = agent(
            self.root, name, self.boss.addr, [n.settings["bind"] for n in self.archives]
        )
        self.agents[name].start()

    async def round(self, number: int) -> None:
        """One job, killed at random points, then compared."""
        job = f"req-{number}"
        sizes = [self.rng.choice([0, 1, 3000, 60_000, 400_000]) for _ in range(5)]
        codes = [self.rng.choice([0, 0, 3]) for _ in sizes]
        argv = [sys.executable, "writer.py", "{job}", "{task}", "{attempt}", str(self.truth)]
        script = WRITER.replace("TOTALS, CODES = [], []", f"TOTALS, CODES = {sizes!r}, {codes!r}")
        body = encode(
            Description(
                "kill", "t", Run(argv, files={"writer.py": script}, outputs=["out.bin"]), tasks=len(sizes)
            )
        )
        await self._until(lambda: self._put(job, body), "description", 20)
        waiting: set[tuple[str, str, int]] = set()
        for task in range(len(sizes)):
            name = self.rng.choice(list(self.agents))
            self.boss.start(name, f"{job}/{task}", 1)
            waiting.add((name, f"{job}/{task}", 1))
        used = self.used[number] = {name for name, _, _ in waiting}
        for i in range(self.rng.randint(1, 3)):
            await asyncio.sleep(self.rng.random() * 0.5)
            async with self.striking:
                await self._strike(number % 8 == 7 and i == 0)
        retried: set[tuple[str, int]] = set()
        until = time.monotonic() + 40
        while True:
            # What was killed is tried again, on another machine if there is one: attempts stand side by side.
            for machine, task_name, attempt in list(waiting):
                key = (machine, task_name, attempt)
                if key in self.boss.ends or key in self.boss.lost or machine in self.gone:
                    waiting.discard(key)
                    if (
                        self.boss.ends.get(key) not in ("done", "error")
                        and (task_name, attempt) not in retried
                        and attempt < 3
                    ):
                        retried.add((task_name, attempt))
                        name = self.rng.choice(list(self.agents))
                        self.boss.start(name, task_name, attempt + 1)
                        waiting.add((name, task_name, attempt + 1))
                        used.add(name)
            if not waiting:
                break
            if time.monotonic() > until:
                self.wrong.append(f"round {number}: {sorted(waiting)} did not end")
                return
            await asyncio.sleep(0.05)
        await self._until(lambda: self._settled(job), f"round {number}: not sealed", 30)
        for _ in range(100):
            try:
                await self._compare(job, number)
                break
            except ArchiveUnreachableError:
                # Another round's kill: the nodes are asked again, from the beginning.
                await asyncio.sleep(0.2)
        else:
            self.wrong.append(f"round {number}: could not be read")
        self.count["rounds"] += 1

    async def _put(self, job: str, body: bytes) -> bool:
        return (await self.client.ask("PUT", f"/v1/jobs/{job}", body))[0] in (200, 201)

    async def _until(self, what, why: str, patience_s: float) -> None:
        until = time.monotonic() + patience_s
        while True:
            try:
                if await what():
                    return
            except ArchiveUnreachableError:
                pass
            if time.monotonic() > until:
                self.wrong.append(why)
                return
            await asyncio.sleep(0.1)

    async def _strike(self, for_good: bool) -> None:
        what = self.rng.choice(["agent", "agent", "archive", "both", "nothing"])
        if for_good:
            name = self.rng.choice(list(self.agents))
            lost = self.agents.pop(name)
            lost.kill()
            place = Folder(lost.settings["directory"])
            sweep(place.mark, [n.process for _, n, seal in place.found() if n.process and seal is None])
            place.close()
            shutil.rmtree(lost.folder)
            self.gone.add(name)
            self.count["machines_gone"] += 1
            self.new_machine()
            return
        struck: list[Service] = []
        if what in ("agent", "both"):
            struck.append(self.agents[self.rng.choice(list(self.agents))])
            self.count["agents_killed"] += 1
        if what in ("archive", "both"):
            struck.append(self.rng.choice(self.archives))
            self.count["archives_killed"] += 1
        for service in struck:
            service.kill()
        await asyncio.sleep(self.rng.random() * 0.3)
        for service in struck:
            service.start()

    async def _settled(self, job: str) -> bool:
        found = await self.client.attempts(job) or []
        known = {(a["machine"], str(a["start"])) for a in found}
        for note in self.truth.glob(f"{job}.*"):
            machine, start = note.name.split(".")[3:5]
            if machine not in self.gone and (machine, start) not in known:
                return False
        return all(
            (a["state"] == "sealed" and (a["cause"] != "done" or a["artefacts"])) or a["machine"] in self.gone
            for a in found
        )

    async def _compare(self, job: str, number: int) -> None:
        """Every byte of every attempt, and every attempt that the tasks noted."""
        found = await self.client.attempts(job) or []
        seen = {}
        texts = {}
        for a in found:
            key = Key(a["job"], a["task"], a["attempt"], a["machine"], a["start"])
            texts[key] = [await self._read(key, name) for name in ("stdout", "stderr")]
        for a in found:
            key = Key(a["job"], a["task"], a["attempt"], a["machine"], a["start"])
            self.count["attempts"] += 1
            for file in a["artefacts"]:
                text = expected(a["job"], a["task"], a["attempt"], "file", file["size"])
                self.count["files"] += 1
                if file["size"] < 10_000 or hashlib.sha256(text).hexdigest() != file["sha256"]:
                    self.wrong.append(f"round {number}: {key.text()}: another file")
            self.count["sealed" if a["state"] == "sealed" else "lost"] += 1
            for stream, name in ((1, "stdout"), (2, "stderr")):
                data = texts[key][stream - 1]
                note = self.truth / ".".join(
                    [key.job, str(key.task), str(key.attempt), key.machine, str(key.start), str(stream)]
                )
                noted = int(note.read_bytes() or b"0") if note.exists() else 0
                seen[note.name] = True
                self.count["bytes"] += len(data)
                if data != expected(job, a["task"], a["attempt"], stream, len(data)):
                    self.wrong.append(f"round {number}: {key.text()} {name}: other bytes")
                elif a["state"] == "sealed" and not noted <= len(data) <= noted + MOST_WRITE:
                    self.wrong.append(
                        f"round {number}: {key.text()} {name}: {len(data)} bytes, {noted} noted"
                    )
                elif a["state"] == "lost" and len(data) > noted + MOST_WRITE:
                    self.wrong.append(f"round {number}: {key.text()} {name}: more than was written")
        if self.used[number] & self.gone:
            return  # what was never confirmed went with the machine
        for note in self.truth.glob(f"{job}.*"):
            if note.name not in seen and note.stat().st_size:
                self.wrong.append(f"round {number}: {note.name}: no attempt in the archive")

    async def _read(self, key: Key, stream: str) -> bytes:
        out = b""
        while True:
            data, holes = await self.client.read(key, stream, len(out))
            if holes:
                self.wrong.append(f"{key.text()} {stream}: holes {holes}")
            if not data:
                return out
            out += data

    def end(self) -> None:
        """End what was started."""
        for service in [*self.agents.values(), *self.archives]:
            service.kill()
        for service in self.agents.values():
            place = Folder(service.settings["directory"])
            sweep(place.mark, [])
            place.close()


async def play(rounds: int, seed: int) -> int:
    """All rounds; the exit code."""
    root = Path(tempfile.mkdtemp(prefix="pearstep-kills-"))
    begun = time.monotonic()
    kills = Kills(root, seed)
    me = asyncio.current_task()
    assert me is not None
    # Told to end, it ends what it started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, me.cancel)
    try:
        await kills.begin()
        numbers = iter(range(1, rounds + 1))

        async def lane() -> None:
            for number in numbers:
                await kills.round(number)
                if len(kills.wrong) > 5:
                    return

        await asyncio.gather(*(lane() for _ in range(LANES)))
    finally:
        kills.end()
        if not kills.wrong:
            shutil.rmtree(root, ignore_errors=True)
    took = time.monotonic() - begun
    if kills.count["rounds"] < rounds and not kills.wrong:
        kills.wrong.append("not all rounds were played")
    kept = {"kept_in": str(root)} if kills.wrong else {}
    return say(
        {
            "measurement": "archive_kills",
            "seed": seed,
            **kills.count,
            "s": round(took, 1),
            "wrong": kills.wrong,
            **kept,
        }
    )


@click.command()
@click.option("--rounds", default=1000, show_default=True)
@click.option("--quick", is_flag=True, help="30 rounds.")
@click.option("--seed", type=int, default=None, help="Drawn and printed without it.")
def main(rounds: int, quick: bool, seed: int | None) -> None:
    """Kill workers and archive nodes at random points and compare every byte."""
    seed = random.SystemRandom().randrange(10**9) if seed is None else seed
    sys.exit(asyncio.run(play(30 if quick else rounds, seed)))


if __name__ == "__main__":
    main()
