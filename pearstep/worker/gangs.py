"""Communication among the tasks of a gang.

Addresses come from the archive's board; phases are sent from worker to worker.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from pearstep.archive.messages import BOARD
from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError
from pearstep.transport.http import Client
from pearstep.worker import mates as mt

if TYPE_CHECKING:
    from pearstep.worker.run import Run

GANG = "/gang"
REMEMBERED_US = 60_000_000


class Beat(msgspec.Struct):
    """Phases of tasks of one attempt, by task."""

    job: str
    attempt: int
    phases: dict[str, str]


class Gangs:
    """The gangs that have tasks here."""

    def __init__(self, client: Client, archive: ArchiveClient, addr: str) -> None:
        """Create an empty registry for the worker at ``addr``."""
        self.client = client
        self.archive = archive
        self.addr = addr
        self._here: dict[tuple[str, int], dict[int, Run]] = defaultdict(dict)
        self._past: dict[tuple[str, int], dict[int, tuple[str, int]]] = defaultdict(dict)

    def add(self, run: Run) -> None:
        """A task that gathers."""
        self._here[run.job, run.attempt][run.task] = run

    def drop(self, run: Run, phase: str) -> None:
        """A task that ended: its mates may still ask how."""
        if run.mates is None:
            return
        if run.mates.state not in mt.ENDED:
            run.mates.move(phase if phase in mt.MATE.transitions[run.mates.state] else mt.GONE)
        key = (run.job, run.attempt)
        if self._here[key].get(run.task) is run:
            del self._here[key][run.task]
        self._past[key][run.task] = (run.mates.state, 0)

    def phases(self, key: tuple[str, int]) -> dict[str, str]:
        """What is to be told of one attempt's tasks here."""
        out = {str(task): phase for task, (phase, _) in self._past.get(key, {}).items()}
        return out | {
            str(t): r.mates.state for t, r in self._here.get(key, {}).items() if r.mates is not None
        }

    def hear(self, body: bytes, now_us: int) -> bytes:
        """Take in what a mate's worker tells, and tell what is here."""
        beat = msgspec.json.decode(body, type=Beat)
        self._learn(beat, now_us)
        key = (beat.job, beat.attempt)
        return msgspec.json.encode(Beat(beat.job, beat.attempt, self.phases(key)))

    def _learn(self, beat: Beat, now_us: int) -> None:
        for run in self._here.get((beat.job, beat.attempt), {}).values():
            if run.mates is not None:
                for task, phase in beat.phases.items():
                    if task.isdigit() and phase in mt.MATE.transitions:
                        run.mates.heard(int(task), phase, now_us)

    async def tell(self, now_us: int) -> None:
        """Post and ask for addresses while somebody gathers; tell the mates where this worker's tasks are."""
        for key, past in list(self._past.items()):
            for task, (phase, since) in list(past.items()):
                if since == 0:
                    past[task] = (phase, now_us)
                elif now_us - since > REMEMBERED_US:
                    del past[task]
            if not past:
                del self._past[key]
        await asyncio.gather(
            *(self._tell_one(key, runs, now_us) for key, runs in list(self._here.items()) if runs)
        )
        for key in [k for k, runs in self._here.items() if not runs]:
            del self._here[key]

    async def _tell_one(self, key: tuple[str, int], runs: dict[int, Run], now_us: int) -> None:
        job, attempt = key
        addrs: dict[int, str] = {}
        for run in list(runs.values()):
            if run.mates is None:
                continue
            if run.mates.state == mt.READY or len(run.mates.addrs) < run.mates.tasks:
                post = {"job": job, "attempt": attempt, "task": run.task, "addr": self.addr}
                try:
                    status, data = await self.archive.ask("POST", BOARD, msgspec.json.encode(post))
                except ArchiveUnreachableError:
                    status, data = 0, b""
                if status == 200:
                    found = msgspec.json.decode(data, type=dict[str, str])
                    run.mates.addrs |= {int(t): a for t, a in found.items()}
            addrs |= run.mates.addrs
        body = msgspec.json.encode(Beat(job, attempt, self.phases(key)))
        # Tasks on this machine hear of each other directly.
        self._learn(Beat(job, attempt, self.phases(key)), now_us)
        others = {a for a in addrs.values() if a != self.addr}
        answers = await asyncio.gather(*(self.client.fetch(a, "POST", GANG, body, 2.0) for a in others))
        for status, data in answers:
            if status == 200:
                self._learn(msgspec.json.decode(data, type=Beat), now_us)
