"""A cluster of controllers, machines and users that fail as their faults say; one seed, one trace."""

from __future__ import annotations

import asyncio
import logging
import random

import msgspec

from measurements.simulation.built import Setup
from measurements.simulation.checker import Place
from measurements.simulation.clock import LIFE, Virtual
from measurements.simulation.faults import draw
from measurements.simulation.meetings import BUILT, meet
from measurements.simulation.troubles import Troubles

# Between two looks for jobs that wait beside room.
LOOK_S = 5.0


def setup_of(seed: int, kinds: list[str] | None = None) -> Setup:
    """What a seed stands for."""
    rng = random.Random(f"setup {seed}")
    lease_s, report_s = rng.choice(
        [(5.0, 0.5), (10.0, 1.0), (10.0, 1.0), (16.0, 2.5), (36.0, 3.0), (120.0, 10.0)]
    )
    out = Setup(
        seed, rng.choice([3, 3, 3, 5]), rng.choice([1, 2, 3]), rng.choice([8, 14, 24]), lease_s, report_s
    )
    out.faults = draw(rng, out.from_s, out.calm_s, kinds)
    return out


def setup_of_meeting(seed: int, meeting: str, kind: str) -> Setup:
    """What a seed stands for, of a meeting with a fault of a kind within it."""
    out = setup_of(seed)
    rng = random.Random(f"meeting {seed} {meeting} {kind}")
    out.faults, calm_s = meet(rng, meeting, kind, out.from_s)
    out.load, out.run_s = 0.35, rng.choice([(3.0, 25.0), (10.0, 60.0)])
    out = msgspec.structs.replace(out, **BUILT.get(meeting, {}))
    out.calm_s = calm_s
    # Until tasks of a cancelled job are gone, and what is not answered counts as forgotten.
    out.until_s = calm_s + max(220.0, out.cancel_s + 5.0) + out.more_s
    return out


class _Name(logging.Filter):
    """Says whose line it is, and when."""

    def filter(self, record: logging.LogRecord) -> bool:
        life = LIFE.get()
        if life is None:
            return False
        record.life = life.name
        record.at = life.loop.time()
        return True


class Cluster(Troubles):
    """All of it, played."""

    async def play(self) -> None:
        """From the start to the end."""
        setup, loop = self.setup, self.loop
        for n in range(setup.machines):
            mtype = "accel" if n % 4 == 3 else "plain"
            self.cloud.rent(mtype, self.zones[n % len(self.zones)], n % 5 == 4, self.rng.uniform(0.2, 4))
        for node in self.nodes:
            node.begin()
        for addr in self.balancer.addrs:
            self.users.start(self.balancer.probe(addr))
        for fault in setup.faults:
            if fault.step:
                loop.call_later(fault.at_s, self.waiting.append, (fault, fault.count))
            else:
                loop.call_later(fault.at_s, self._begin, fault)
        submitting_s = setup.calm_s + 20
        next_s, looked_s = 4.0, 0.0
        while loop.time() < setup.until_s:
            await asyncio.sleep(0.5)
            self.checker.look(loop.time())
            if loop.time() >= setup.calm_s and loop.time() - looked_s >= LOOK_S:
                looked_s = loop.time()
                self.checker.look_for_room(looked_s, self.places_now(), self.world.faulty)
            while next_s < min(loop.time(), submitting_s):
                next_s += self.rng.expovariate(setup.load)
                self.submit()
            if loop.time() >= setup.calm_s:
                self.waiting.clear()
        self.judge()

    def places_now(self) -> list[Place]:
        """The machines that could take work now, for the checker."""
        out: list[Place] = []
        for name, worker in sorted(self.world.machines.items()):
            if worker.going and not worker.sick and name in self.cloud.machines:
                out.append((worker.zone, worker.room))
        return out

    def judge(self) -> None:
        """What is asked at the end beyond the protocol: everything is back in use."""
        now, setup = self.loop.time(), self.setup
        self.checker.end(now)
        held = {
            n: o.fencing_token
            for node in self.nodes
            if node.controller
            for n, o in node.controller.owners.items()
        }
        if len(held) != setup.nodes:
            self.checker.breaks(now, "unheld", f"parts held are {sorted(held)}")
        bound_us = int((2 * setup.report_s + 6) * 1e6)
        for name, worker in sorted(self.world.machines.items()):
            if worker.going and worker.life.now_us() - worker.session.base_us > bound_us:
                self.checker.breaks(now, "unserved", f"{name} had no answer for longer than it should")


class Result(msgspec.Struct):
    """What a run showed."""

    seed: int
    broken: list[str]
    jobs: int
    accepted: int
    finished: int
    starts: int
    killed: int
    copies: int
    messages: int
    rented: int
    deleted: int
    placed_deaf: int
    carried: int
    looks: int
    late_starts: int


def run(setup: Setup, log: bool = False, cluster_type: type[Cluster] = Cluster) -> tuple[Result, list[str]]:
    """Play a setup; the result and the trace."""
    # The node draws its random pauses from the module's generator.
    random.seed(setup.seed)
    with Virtual() as loop:
        cluster = cluster_type(setup, loop)
        handler: logging.Handler | None = None
        root = logging.getLogger("pearstep")
        before = (root.level, root.propagate)
        if log:
            handler = _Lines(cluster.checker.trace)
            handler.addFilter(_Name())
            root.addHandler(handler)
        root.setLevel(logging.INFO if log else logging.CRITICAL)
        root.propagate = False
        try:
            loop.run_until_complete(cluster.play())
        finally:
            root.setLevel(before[0])
            root.propagate = before[1]
            if handler is not None:
                root.removeHandler(handler)
        checker = cluster.checker
        seen = checker.jobs.values()
        result = Result(
            setup.seed,
            checker.broken,
            len(checker.jobs),
            sum(s.accepted_s is not None for s in seen),
            sum(bool(s.told) for s in seen),
            checker.starts,
            checker.killed,
            cluster.copied,
            cluster.net.delivered,
            len(cluster.cloud.machines) + len(cluster.cloud.deleted),
            len(cluster.cloud.deleted),
            cluster.placed_deaf,
            len(cluster.state.carried),
            cluster.looks,
            checker.late_starts,
        )
        return result, checker.trace


class _Lines(logging.Handler):
    """Log lines of the nodes in the trace."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self.lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(f"{record.at:9.3f} {record.life} {record.getMessage()}")  # type: ignore[attr-defined]
        if record.exc_info:
            self.lines.append(logging.Formatter().formatException(record.exc_info))
