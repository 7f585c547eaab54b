"""Users and their load balancer. Whoever has submitted a job asks for it until it is over, and each job that
was accepted is asked for again and again after that: nothing is taken from a sample.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec

from measurements.simulation.checker import Checker
from measurements.simulation.clock import VirtualLoop
from measurements.simulation.net import Net
from pearstep.domain.job_spec import JobSpec
from pearstep.protocol.controller_messages import (
    CANCEL_ACTION,
    JOBS_PATH,
    KIND_FROM_WIRE,
    PRIORITY_FROM_WIRE,
    READY_PATH,
    decode_submission,
)

KIND_OUT = {mine: theirs for theirs, mine in KIND_FROM_WIRE.items()}
RANK_OUT = {number: name for name, number in PRIORITY_FROM_WIRE.items()}
POLL_S = 5.0
# Pauses between close looks.
LOOKS_S = (0.0, 0.001, 0.004, 0.02, 0.1)


def submission(spec: JobSpec) -> bytes:
    """What a user sends."""
    out: dict[str, Any] = {
        "ref": spec.job_id,
        "cohort": spec.job_class,
        "holder": spec.team,
        "shape": KIND_OUT[spec.kind],
        "rank": RANK_OUT[spec.priority],
        "parcels": spec.tasks,
        "vcpus": spec.cpus,
        "accelerators": spec.gpus,
        "memoryGb": spec.memory_gb,
        "bundle": spec.image,
        "sizeGb": spec.image_gb,
        "breeds": None,
        "plot": spec.zone,
        "together": spec.one_zone,
        "scatter": spec.spread,
        "windfall": spec.spot,
        "reckonS": spec.estimate_us / 1e6,
        "markS": spec.checkpoint_us / 1e6,
        "stowS": spec.save_us / 1e6,
        "dueS": None,
    }
    body = msgspec.json.encode(out)
    assert decode_submission(body) == spec
    return body


class Balancer:
    """Chooses among the nodes that say they are ready."""

    def __init__(self, net: Net, addrs: list[str], rng: random.Random) -> None:
        self.net, self.addrs, self.rng = net, addrs, rng
        self.good = dict.fromkeys(addrs, 0)
        self.ready = dict.fromkeys(addrs, False)
        self.out_s = dict.fromkeys(addrs, -10.0)

    async def probe(self, addr: str) -> None:
        """Ask one node whether it is ready, for ever."""
        while True:
            status, _ = await self.net.fetch("balancer", addr, "GET", READY_PATH, None, 1.0)
            now = self.net.loop.time()
            self.good[addr] = max(self.good[addr], 0) + 1 if status == 200 else min(self.good[addr], 0) - 1
            if self.ready[addr] and self.good[addr] <= -2:
                self.ready[addr], self.out_s[addr] = False, now
            elif not self.ready[addr] and self.good[addr] >= 2 and now - self.out_s[addr] >= 3:
                self.ready[addr] = True
            await asyncio.sleep(1.0)

    async def fetch(self, method: str, path: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """A request through the balancer."""
        able = [a for a in self.addrs if self.ready[a]]
        self.rng.shuffle(able)
        for addr in able[:3]:
            if addr in self.net.endpoints and self.net.endpoints[addr].life.state != "dead":
                return await self.net.fetch("balancer", addr, method, path, body, timeout_s)
        return 0, b""


def stage_of(body: bytes) -> str:
    """What an answer says of a job."""
    try:
        found = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return ""
    return str(found.get("stage", "")) if isinstance(found, dict) else ""


class User:
    """Whoever submits one job, follows it, and perhaps cancels it."""

    def __init__(self, loop: VirtualLoop, balancer: Balancer, checker: Checker, spec: JobSpec) -> None:
        self.loop, self.balancer, self.checker, self.spec = loop, balancer, checker, spec

    async def _ask(
        self,
        judge: Callable[..., None],
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        addr: str = "",
    ) -> int:
        """Ask through the balancer, or one node, and have the answer judged; its status."""
        asked_s = self.loop.time()
        if addr:
            status, data = await self.balancer.net.fetch("balancer", addr, method, path, body, timeout_s)
        else:
            status, data = await self.balancer.fetch(method, path, body, timeout_s)
        judge(self.spec.job_id, status, stage_of(data), self.loop.time(), asked_s)
        return status

    async def live(self, cancel_after_s: float | None) -> None:
        """From the submission on, for ever."""
        seen = self.checker.submitted(self.spec, self.loop.time())
        while seen.accepted_s is None and not seen.refused:
            if self.loop.time() - seen.at_s > 60:
                return
            if await self.submit() not in (200, 201):
                await asyncio.sleep(1.0)
        if seen.refused:
            return
        if cancel_after_s is not None:
            asyncio.ensure_future(self.cancel(cancel_after_s))
        while True:
            await asyncio.sleep(POLL_S)
            await self.poll()
            if self.balancer.rng.random() < 0.02:
                # A retry may come at any later time.
                await self.submit()

    async def submit(self, body: bytes | None = None, addr: str = "") -> int:
        """Send it, or once more, perhaps with something else beside its id."""
        body = submission(self.spec) if body is None else body
        return await self._ask(self.checker.submit_answer, "POST", JOBS_PATH, body, 5.0, addr)

    async def poll(self, addr: str = "") -> int:
        """Ask how it is."""
        path = f"{JOBS_PATH}/{self.spec.job_id}"
        return await self._ask(self.checker.poll_answer, "GET", path, None, 2.0, addr)

    async def abort(self, addr: str = "") -> int:
        """Ask once for its end."""
        path = f"{JOBS_PATH}/{self.spec.job_id}/{CANCEL_ACTION}"
        return await self._ask(self.checker.abort_answer, "POST", path, b"", 5.0, addr)

    async def look_closely(self, nodes: list[str]) -> None:
        """Ask at all nodes, again and again within milliseconds, and repeat the submission."""
        for pause_s in LOOKS_S:
            await asyncio.sleep(pause_s)
            for addr in nodes:
                asyncio.ensure_future(self.poll(addr))
            asyncio.ensure_future(self.submit(addr=self.balancer.rng.choice(nodes)))

    async def cancel(self, after_s: float = 0.0, addr: str = "") -> None:
        """Withdraw the job, through the balancer or at one node."""
        await asyncio.sleep(after_s)
        seen = self.checker.jobs[self.spec.job_id]
        if seen.told:
            return
        seen.wish_s = seen.wish_s or self.loop.time()
        while not seen.told:
            if await self.abort(addr) != 200:
                await asyncio.sleep(1.0)


async def odd_requests(user: User, n: int) -> None:
    """One of what careless users send: a job that fits no machine or lacks a field, under an id of its own or
    that of an accepted job; a cancellation of a job that is done; a question about one that nobody sent.
    """
    balancer, checker, loop = user.balancer, user.checker, user.loop
    good = msgspec.json.decode(submission(user.spec))
    mistakes: list[dict[str, Any]] = [
        {"vcpus": 1000.0},
        {"holder": "nobody"},
        {"plot": "nowhere"},
        {"breeds": []},
        {"parcels": 0},
        {"parcels": 100_001},
        {"memoryGb": -1.0},
        {"vcpus": "many"},
        {"rank": "higher"},
        {"cohort": None},
        {"breeds": ["none"]},
        {"shape": "heap"},
        {"reckonS": None},
    ]
    wrong = mistakes[n % len(mistakes)]
    other = {**good, **wrong, "ref": f"req-{900_000 + n:06d}"}
    if n % 5 == 0:
        del other["bundle"]
    status, data = await balancer.fetch("POST", JOBS_PATH, msgspec.json.encode(other), 5.0)
    checker.odd_answer(f"{wrong}", status, stage_of(data), loop.time())
    status, data = await balancer.fetch("GET", f"{JOBS_PATH}/{other['ref']}", None, 2.0)
    checker.poll_answer(other["ref"], status, stage_of(data), loop.time())
    seen = checker.jobs[user.spec.job_id]
    if seen.accepted_s is not None:
        # An accepted job is known, whatever stands beside its id.
        await user.submit(msgspec.json.encode({**good, **wrong}))
    if seen.told == "done":
        await user.abort()
