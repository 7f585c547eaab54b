"""A simulated worker: the protocol's part is the project's own (``worker.session``), what runs is pretended.

A machine that stands still does not execute its tasks; when it goes on past its lease it kills them first.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from measurements.simulation.clock import RUNNING as GOING
from measurements.simulation.clock import Life
from measurements.simulation.net import Net
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.protocol.agent_messages import (
    decode_direct_commands,
    decode_heartbeat_answer,
    encode_heartbeat,
)
from pearstep.protocol.controller_messages import (
    COMMANDS_PATH,
    HEARTBEAT_PATH,
    INSPECT_PATH,
    MalformedMessageError,
)
from pearstep.shard.commands import parse_task_name
from pearstep.transport.http import Answer
from pearstep.worker.session import (
    ENDING,
    EXITED,
    FETCHING,
    RUNNING,
    SAVING,
    Effect,
    Machine,
    Session,
    Timing,
)

if TYPE_CHECKING:
    from measurements.simulation.world import World

Key = tuple[str, int]


class Run:
    """A task that this worker has: since when it runs, and what it had done by then."""

    __slots__ = ("number", "saved", "since_s", "spec", "stood_s", "timer")

    def __init__(self, spec: JobSpec, number: int) -> None:
        self.spec = spec
        self.number = number
        self.since_s: float | None = None
        self.stood_s = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.saved = False


class SimWorker:
    """One machine with its worker. ``sick``: it fails every task that it starts."""

    def __init__(
        self,
        world: World,
        net: Net,
        life: Life,
        name: str,
        mtype: MachineType,
        zone: str,
        spot: bool,
        timing: Timing,
        nodes: dict[str, str],
        rng: random.Random,
    ) -> None:
        self.world = world
        self.net = net
        self.life = life
        self.name = name
        self.mtype = mtype
        self.zone = zone
        self.spot = spot
        self.rng = rng
        self.sick = False
        self.addr = f"{name}:9000"
        machine = Machine(name, self.addr, mtype.name, zone, spot, mtype.cpus, mtype.gpus, mtype.memory_gb)
        self.session = Session(machine, timing, nodes, 1, life.now_us(), rng)
        self.runs: dict[Key, Run] = {}
        self.images: set[str] = set()
        self.wake = asyncio.Event()
        net.listen(self.addr, name, life, self.handle)
        life.soon(lambda: asyncio.ensure_future(self._live()))

    # -- the worker ------------------------------------------------------------------------------

    async def _live(self) -> None:
        while True:
            self._time()
            due = self.session.report(self.life.now_us())
            if due is not None:
                asyncio.ensure_future(self._report(due[0], encode_heartbeat(due[1])))
            rest_s = (self.session.wake_us() - self.life.now_us()) / SECOND_US
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), max(rest_s, 0.0005))
            except TimeoutError:
                pass

    def _time(self) -> None:
        """What time alone brings. Before anything else is done: whoever stood still past its lease has lost
        all that it had.
        """
        now = self.life.now_us()
        effects = self.session.tick(now)
        if self.session.state == ENDING:
            self.world.lease_over(self.name, len(self.runs))
            for key in list(self.runs):
                self._gone(key)
            self.session.all_gone(self.session.number + 1, now)
        else:
            self._perform(effects)

    async def _report(self, addr: str, body: bytes) -> None:
        status, data = await self.net.fetch(self.name, addr, "POST", HEARTBEAT_PATH, body, 4.0)
        self._time()
        self._perform(self.session.answered(status, decode_heartbeat_answer(data), self.life.now_us()))
        self.wake.set()

    def handle(self, request: object) -> Answer:
        """What a controller sends straight here."""
        self._time()
        now = self.life.now_us()
        status = 200
        path, body = request.path, request.body  # type: ignore[attr-defined]
        if path == COMMANDS_PATH:
            try:
                status, effects = self.session.commands(decode_direct_commands(body), now)
            except MalformedMessageError:
                return 400, b"{}", {}
            self._perform(effects)
        elif path != INSPECT_PATH:
            return 404, b"{}", {}
        self.wake.set()
        return status, encode_heartbeat(self.session.snapshot(now)), {}

    # -- what runs -------------------------------------------------------------------------------

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            key = (effect.task, effect.attempt)
            getattr(self, f"_{effect.what}")(key)
        if effects:
            self.wake.set()

    def _spec(self, key: Key) -> JobSpec | None:
        ref, number = parse_task_name(key[0])
        spec = self.world.uploaded.get(ref)
        return spec if spec is not None and 0 <= number < spec.tasks else None

    def _fetch(self, key: Key) -> None:
        spec, held = self._spec(key), self.session.tasks[key]
        if spec is None:
            self.session.described(key, None, False, False, 0, False, self.life.now_us())
            return
        others = [h for h in self.session.tasks.values() if h.state != EXITED]
        room = self.mtype
        if (
            sum(h.cpus for h in others) + spec.cpus > room.cpus + 1e-6
            or sum(h.gpus for h in others) + spec.gpus > room.gpus + 1e-6
            or sum(h.memory_gb for h in others) + spec.memory_gb > room.memory_gb + 1e-6
        ):
            self.session.exited(key, "no_room")
            return
        held.cpus, held.gpus, held.memory_gb = spec.cpus, spec.gpus, spec.memory_gb
        self.runs[key] = Run(spec, parse_task_name(key[0])[1])
        took_s = 0.02 if spec.image in self.images else spec.image_gb / self.mtype.fetch_gb_per_s
        self.net.loop.call_later(took_s, self._fetched, key)

    def _fetched(self, key: Key) -> None:
        self._time()
        run, held = self.runs.get(key), self.session.tasks.get(key)
        if run is None or held is None or held.state != FETCHING:
            return
        spec = run.spec
        self.images.add(spec.image)
        self.world.arrived(self, key, spec)
        done = self.world.is_done(spec.job_id, run.number)
        need = (spec.cpus, spec.gpus, spec.memory_gb)
        gang, saves = spec.kind == "gang", spec.checkpoint_us > 0
        effects = self.session.described(key, need, gang, saves, spec.save_us, done, self.life.now_us())
        if done:
            self._gone(key)
        self._perform(effects)
        self.wake.set()

    def _gather(self, key: Key) -> None:
        run = self.runs[key]
        mates = self.world.gather(self, key, run.spec)
        if len(mates) == run.spec.tasks:
            for mate, its in mates:
                mate.life.soon(mate.gathered, its)

    def gathered(self, key: Key) -> None:
        """All tasks of the gang are there."""
        self._time()
        self._perform(self.session.gathered(key))
        self.wake.set()

    def _start(self, key: Key) -> None:
        run = self.runs[key]
        self.world.began(key, run.spec)
        if self.sick or run.spec.job_id in self.world.faulty:
            self.net.loop.call_later(0.1, self._exit, key, "error")
            return
        if run.spec.kind == "service":
            return
        run.since_s, run.stood_s = self.net.loop.time(), self.life.stood_s
        left_s = self.world.left_s(run.spec, run.number)
        run.timer = self.net.loop.call_later(left_s, self._complete, key)

    def _complete(self, key: Key) -> None:
        self._time()
        run, held = self.runs.get(key), self.session.tasks.get(key)
        if run is None or held is None or held.state != RUNNING:
            return
        if (stood_s := self.life.stood_s - run.stood_s) > 0:
            run.stood_s = self.life.stood_s
            run.timer = self.net.loop.call_later(stood_s, self._complete, key)
            return
        self.world.completed(run.spec, run.number)
        for mate, its in self.world.mates(key, run.spec):
            mate.life.soon(mate._exit, its, "done")
        self._exit(key, "done")

    def _save(self, key: Key) -> None:
        self.net.loop.call_later(self.runs[key].spec.save_us / SECOND_US, self._saved, key)

    def _saved(self, key: Key) -> None:
        self._time()
        run, held = self.runs.get(key), self.session.tasks.get(key)
        if run is None or held is None or held.state != SAVING:
            return
        run.saved = True
        mates = self.world.mates(key, run.spec)
        if all(mate.runs[its].saved for mate, its in mates):
            ran_s = self.net.loop.time() - (run.since_s or self.net.loop.time())
            self.world.saved(run.spec, run.number, ran_s)
            for mate, its in mates:
                mate.life.soon(mate._exit, its, "stopped", True)
            self._exit(key, "stopped", True)
        else:
            self.net.loop.call_later(self.world.peer_s, self._exit, key, "peers")

    def _exit(self, key: Key, why: str, saved: bool | None = None) -> None:
        """It has ended, unless it had before."""
        self._time()
        held = self.session.tasks.get(key)
        if held is not None and held.state != EXITED and key in self.runs:
            self.session.exited(key, why, saved)
            self._gone(key)
            self.wake.set()

    def _kill(self, key: Key) -> None:
        held = self.session.tasks.get(key)
        if held is not None and held.state != EXITED:
            self.session.exited(key, "stopped")
        self._gone(key)

    def _forget(self, key: Key) -> None:
        self._gone(key)

    def _gone(self, key: Key) -> None:
        """Nothing of it is on this machine any more; its gang notices."""
        run = self.runs.pop(key, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self.world.left(self, key, run.spec)

    def gone_all(self) -> None:
        """The machine is gone."""
        for key in list(self.runs):
            self._gone(key)

    def lost_mate(self, key: Key) -> None:
        """A task of the gang is gone: the rest notices and ends, unless it still waits for its start."""
        held = self.session.tasks.get(key)
        if held is not None and held.state in (RUNNING, SAVING):
            self.net.loop.call_later(self.world.peer_s, self._exit, key, "peers")

    def room(self, spec: JobSpec) -> int:
        """How many tasks of the job would find room here now."""
        if (
            (spec.types is not None and self.mtype.name not in spec.types)
            or (self.spot and not spec.spot)
            or (spec.zone is not None and self.zone != spec.zone)
        ):
            return 0
        held = [h for h in self.session.tasks.values() if h.state != EXITED]
        room = self.mtype
        free = [
            (room.cpus - sum(h.cpus for h in held), spec.cpus),
            (room.gpus - sum(h.gpus for h in held), spec.gpus),
            (room.memory_gb - sum(h.memory_gb for h in held), spec.memory_gb),
        ]
        return max(min(int((have + 1e-6) // need) for have, need in free if need), 0)

    @property
    def going(self) -> bool:
        """Whether the machine lives and does not stand still."""
        return self.life.state == GOING
