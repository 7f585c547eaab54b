"""A cluster of controllers, machines and users that fail as their faults say; one seed, one trace."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

import msgspec

from pearstep.compacting.place import Compacting
from pearstep.compacting.settings import HistorySettings
from pearstep.core.model import US, MachineType, Spec
from pearstep.core.records import HolderRec, PlaceRec
from pearstep.node.controller import Controller
from pearstep.node.settings import Platform, Settings, Tuning
from pearstep.wire.agent import read_answer
from pearstep.wire.node import REPORT, VERB_OUT
from pearstep.worker.session import Timing

from .checker import Checker, Place
from .clock import DEAD, LIFE, STILL, Life, Virtual, VirtualLoop
from .faults import Fault, draw
from .meetings import BUILT, meet
from .net import Net, RigClient, RigServer
from .platform import Cloud, Rented, State
from .users import Balancer, User, odd_requests
from .worker import SimWorker
from .world import World

ZONES = ("north", "south", "west")
STATE, CLOUD = "10.1.0.1:1", "10.1.0.2:1"
DRIFT = 0.0005
# Reports that were on their way when a machine was deleted may still be taken for news so much later.
LATE_S = 1.0
# Between two looks for jobs that wait beside room.
LOOK_S = 5.0
# When kept reports reach the controllers after a new leader's claim; how many are kept; how much longer a
# message takes over slow links.
KEPT_S = (0.002, 0.4, 4.0)
MOST_KEPT = 200
SLOW_LINK_S = 0.25
RUN_VERB = f'"{VERB_OUT["start"]}"'.encode()


class Setup(msgspec.Struct):
    """What is built and what happens. Times in seconds; ``load``: jobs a second."""

    seed: int
    nodes: int = 3
    zones: int = 2
    machines: int = 12
    lease_s: float = 10.0
    report_s: float = 1.0
    load: float = 0.25
    faults: list[Fault] = []
    from_s: float = 20.0
    calm_s: float = 110.0
    until_s: float = 320.0
    history: bool = True
    run_s: tuple[float, float] = (3.0, 25.0)
    uneven: float = 0.0
    # How many of the jobs are arrays, gangs and services.
    kinds: tuple[int, int, int] = (5, 3, 1)
    # How much longer than usual all that was asked for may take: there is more work than room.
    more_s: float = 0.0
    # The share of jobs that may run in one zone only.
    bound: float = 0.0
    extra_s: float = 25.0
    # The most CPUs of each team, 0: any number.
    most_cpus: tuple[float, float] = (160.0, 0.0)
    tuning: dict[str, Any] = {}

    @property
    def cancel_s(self) -> float:
        """How long the tasks of a cancelled job may stay."""
        return self.lease_s + self.extra_s


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


class Node:
    """One controller, through all its lives."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self.cluster = cluster
        self.number = number
        self.name = f"n{number}"
        self.addr = f"10.0.0.{number + 1}:8080"
        self.mesh = f"10.0.0.{number + 1}:8081"
        self.zone = cluster.zones[number % len(cluster.zones)]
        self.lives = 0
        self.life: Life | None = None
        self.controller: Controller | None = None

    def begin(self) -> None:
        """A new life."""
        rng = self.cluster.rng
        self.lives += 1
        life = Life(
            self.cluster.loop,
            self.name,
            f"{self.name}.{self.lives}",
            1 + rng.uniform(-DRIFT, DRIFT),
            rng.uniform(-0.5, 0.5),
        )
        self.life = life
        life.start(self._run(life))

    async def _run(self, life: Life) -> None:
        net, setup = self.cluster.net, self.cluster.setup
        extension = Compacting(HistorySettings(rest_s=20, keep=4, batch=4)) if setup.history else None
        client = RigClient(net, self.name, 175, (self.cluster.state_addr(self.name), CLOUD))
        controller = Controller(
            self.cluster.settings(self), extension, client,  # type: ignore[arg-type]
            lambda handler: RigServer(net, life, handler),  # type: ignore[arg-type,return-value]
        )  # fmt: skip
        self.controller = controller
        await controller.run()

    def crash(self, back_s: float) -> None:
        """It ends, and is back after a while."""
        if self.life is None or self.life.state == DEAD:
            return
        self.life.end()
        self.controller = None
        self.cluster.loop.call_later(back_s, self._back)

    def _back(self) -> None:
        if self.life is not None and self.life.state == DEAD:
            self.begin()


class Cluster:
    """All of it."""

    def __init__(self, setup: Setup, loop: VirtualLoop) -> None:
        self.setup = setup
        self.loop = loop
        self.rng = random.Random(setup.seed)
        self.zones = list(ZONES[: setup.zones])
        self.net = Net(loop, random.Random(f"net {setup.seed}"))
        teams = [
            {"name": name, "cpus": 40.0, "cpus_max": most}
            for name, most in zip(("blue", "red"), setup.most_cpus, strict=True)
        ]
        self.params: dict[str, Any] = {
            "nodes": setup.nodes, "zones": self.zones, "skew_ms": 1000.0, "teams": teams,
            "objectives": [
                {"kind": "wait", "class": "maps", "within_s": 20.0, "share": 0.9},
                {"kind": "wait", "class": "solver", "within_s": 40.0, "share": 0.9},
                {"kind": "wait", "class": "portal", "within_s": 5.0, "share": 0.9},
                {"kind": "guarantee", "within_s": 30.0, "share": 0.9},
            ],
            "workers": {"report_s": setup.report_s, "lease_s": setup.lease_s, "gang_wait_s": 40.0,
                        "gang_peer_s": 4.0, "cancel_s": setup.cancel_s},
            "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 4.0},
        }  # fmt: skip
        self.nodes = [Node(self, n) for n in range(setup.nodes)]
        self.types = {
            "plain": MachineType("plain", 32, 0, 128, 60, 1.0, 2.0, 0.6, 12 * US, tuple(self.zones)),
            "accel": MachineType("accel", 32, 4, 128, 60, 1.0, 9.0, 3.0, 15 * US, tuple(self.zones)),
        }
        checked = Settings(self.platform(self.nodes[0]), Tuning())
        self.checker = Checker(checked.teams, setup.cancel_s)
        # What begins at a step begins before ``calm_s``.
        late_s = max((f.for_s + f.back_s + f.again_s for f in setup.faults), default=0.0)
        self.checker.calm_s = setup.calm_s + late_s
        self.world = World(loop, self.checker, 4.0)
        self.world.uneven = setup.uneven
        region = Life(loop, "region", "region")
        self.state = State(region, 250.0, 100.0, 16.0, 16, random.Random(f"state {setup.seed}"))
        self.cloud = Cloud(
            loop,
            region,
            self.types,
            setup.machines * 2,
            4.0,
            4.0,
            random.Random(f"cloud {setup.seed}"),
            self.boot,
            self.end,
        )
        self.net.listen(CLOUD, "cloud", region, self.cloud.handle)  # type: ignore[arg-type]
        for node in self.nodes:
            door = self.state.door(node.name)
            self.net.listen(self.state_addr(node.name), "state", region, door)  # type: ignore[arg-type]
        self.users = Life(loop, "balancer", "users")
        self.balancer = Balancer(self.net, [n.addr for n in self.nodes], random.Random(f"users {setup.seed}"))
        self.jobs: dict[str, User] = {}
        self.copying: list[Fault] = []
        self.copied = 0
        self.net.taps += [self._copy, self._keep_report]
        self.net.commands.append(self._commanded)
        # Reports that are kept until another node leads: who sent them, and what.
        self.keeping: list[Fault] = []
        self.kept: list[tuple[str, bytes]] = []
        self.led_by = ""
        # Shares of jobs whose users look closely, and cancel at the moment of the end.
        self.looking = 0
        self.at_end = 0.0
        self.looks = 0
        self.checker.heard.append(self._heard)
        self.world.over.append(self._job_over)
        self.waiting: list[tuple[Fault, int]] = []
        self.state.steps += [self._step, self._watch]
        self.places: dict[str, dict[tuple[int, int], str]] = {}
        self.deaf_since: dict[str, float] = {}
        self.placed_deaf = 0

    # -- what is built ---------------------------------------------------------------------------

    def state_addr(self, node: str) -> str:
        """Where a node finds the state service: it can tell its callers apart by the address."""
        return f"10.1.{node[1:]}.1:1"

    def platform(self, node: Node) -> Platform:
        """The file that the platform hands over."""
        others = [
            {"node": o.name, "peer_addr": o.mesh, "location": o.zone} for o in self.nodes if o is not node
        ]
        return msgspec.convert({
            "node": node.name, "location": node.zone, "bind": node.addr, "mesh_addr": node.mesh,
            "others": others, "params": self.params,
            "endpoints": {"cloud": CLOUD, "state": self.state_addr(node.name)},
        }, Platform, strict=False)  # fmt: skip

    def settings(self, node: Node) -> Settings:
        """A node's settings."""
        return Settings(self.platform(node), msgspec.convert(self.setup.tuning, Tuning))

    def boot(self, rented: Rented) -> None:
        """A machine comes up."""
        s = self.setup
        life = Life(self.loop, rented.name, rented.name, 1 + self.rng.uniform(-DRIFT, DRIFT))
        timing = Timing(int(s.report_s * US), int(s.lease_s * US), 40 * US, 4 * US)
        self.world.machines[rented.name] = SimWorker(
            self.world, self.net, life, rented.name, self.types[rented.mtype], rented.zone, rented.spot,
            timing, {n.name: n.addr for n in self.nodes}, random.Random(f"{rented.name} {s.seed}"),
        )  # fmt: skip

    def end(self, name: str) -> None:
        """A machine is gone."""
        worker = self.world.machines.pop(name, None)
        if worker is not None:
            worker.life.end()
            worker.gone_all()
            self.checker.note(self.loop.time(), f"{name} is gone")

    # -- jobs ------------------------------------------------------------------------------------

    def job(self, small: bool = False) -> tuple[Spec, float | None]:
        """A job of one of the classes, and when it is cancelled. ``small``: of one task, one in four."""
        rng = self.rng
        ref = f"req-{len(self.world.uploaded):06d}"
        kind = rng.choices(["array", "gang", "service"], self.setup.kinds)[0]
        run_s = rng.uniform(*self.setup.run_s)
        one = dict(
            ref=ref, team=rng.choice(["blue", "red"]), priority=rng.choice([1, 2, 2, 3]), kind=kind,
            estimate_us=int(run_s * rng.uniform(0.5, 1.6)) * US, image=f"img-{rng.randrange(6)}",
            image_gb=rng.choice([0.5, 2.0]), gpus=0.0, memory_gb=4.0,
        )  # fmt: skip
        if kind == "array":
            one |= dict(cls="maps", tasks=rng.choice([1, 3, 8, 30]), cpus=4.0, spot=True)
            if rng.random() < 0.3:
                one |= dict(gpus=1.0)
            if rng.random() < 0.5:
                one |= dict(checkpoint_us=5 * US, save_us=2 * US)
        elif kind == "gang":
            one |= dict(cls="solver", tasks=rng.choice([1, 2, 4]), cpus=10.0, one_zone=True,
                        checkpoint_us=5 * US, save_us=2 * US)  # fmt: skip
        else:
            one |= dict(cls="portal", tasks=rng.choice([1, 2, 3]), cpus=2.0, estimate_us=0, priority=0,
                        spread=self.setup.zones > 1)  # fmt: skip
        if self.setup.bound and kind != "service" and rng.random() < self.setup.bound:
            one |= dict(zone=rng.choice(self.zones))
        if small:
            one |= dict(
                kind="array", cls="maps", tasks=1, cpus=1.0, gpus=0.0, one_zone=False, spread=False,
                priority=2, estimate_us=4 * US,
            )  # fmt: skip
            run_s = rng.uniform(1, 8)
        spec = Spec(**one)  # type: ignore[arg-type]
        self.world.uploaded[ref] = spec
        self.world.run_s[ref] = run_s
        if small:
            return spec, rng.choice([0.0, 0.05, 0.2, 1.0, 5.0]) if rng.random() < 0.25 else None
        return spec, rng.uniform(1, 40) if rng.random() < 0.15 else None

    def submit(self, small: bool = False) -> None:
        """A user comes."""
        spec, cancel_s = self.job(small)
        user = self.jobs[spec.ref] = User(self.loop, self.balancer, self.checker, spec)
        self.users.start(user.live(cancel_s))

    # -- faults ----------------------------------------------------------------------------------

    def _watch(self, key: str, value: bytes | None) -> None:
        """What the controllers write: machines that are long gone, work for machines that hear nothing."""
        now = self.loop.time()
        kind, _, rest = key.partition("/")
        if kind == "leader" and value is not None:
            self._new_leader(msgspec.json.decode(value, type=HolderRec).node)
        if kind == "m" and value is not None:
            name = rest.rpartition("/")[2]
            if now - self.cloud.deleted.get(name, now) > LATE_S:
                self.checker.breaks(
                    now, "brought_back", f"{name} recorded, deleted at {self.cloud.deleted[name]:.1f}"
                )
        elif kind == "p":
            rec = msgspec.json.decode(value, type=PlaceRec) if value is not None else PlaceRec()
            before = self.places.get(key, {})
            new = {(t, p.attempt): p.machine for t, p in rec.run.items()}
            self.places[key] = new
            bound_s = 2 * self.setup.report_s * 1.25 + 2.5
            for what in new.keys() - before.keys():
                since = self.deaf_since.get(new[what])
                if since is not None and now - since > bound_s:
                    self.placed_deaf += 1

    def _step(self, key: str, value: bytes | None) -> None:
        for n, (fault, left) in enumerate(self.waiting):
            if key.startswith(fault.step) and left > 0:
                self.waiting[n] = (fault, left - 1)
                if left == 1:
                    self.loop.call_soon(self._begin, fault)

    def _copy(self, src: str, addr: str, method: str, path: str, body: bytes) -> None:
        if path != REPORT:
            return
        for fault in self.copying:
            if self.net.rng.random() < 0.2:
                # Mostly to whom it was sent; now and then to another node: whatever stands between may.
                elsewhere = self.net.rng.random() < 0.2
                to = self.net.rng.choice(self.nodes).addr if elsewhere else addr
                self.copied += 1
                self.net.copy(src, to, method, path, body, self.net.rng.uniform(*fault.late_s))

    def _workers(self, fault: Fault) -> list[SimWorker]:
        names = sorted(self.world.machines)
        return (
            [self.world.machines[n] for n in {names[w % len(names)]: 0 for w in fault.who}] if names else []
        )

    def _begin(self, fault: Fault) -> None:
        self.checker.note(self.loop.time(), f"FAULT {msgspec.json.encode(fault).decode()}")
        undo = getattr(self, f"_{fault.kind}")(fault)
        if undo is not None:
            self.loop.call_later(fault.for_s, undo)

    def _over(self, undo: list[Callable[[], None]]) -> Callable[[], None]:
        def over() -> None:
            for each in undo:
                each()

        return over

    def _cuts(self, pairs: list[tuple[str, str]], both: bool = True) -> Callable[[], None]:
        for a, b in pairs:
            self.net.cut(a, b, both)
        return self._over([lambda a=a, b=b: self.net.heal(a, b, both) for a, b in pairs])  # type: ignore[misc]

    def _node(self, fault: Fault) -> Node:
        """The node that is meant."""
        led = self.state.keys.keys.get("leader")
        if fault.whom == "leader" and led is not None:
            name = msgspec.json.decode(led[1], type=HolderRec).node
            return next(node for node in self.nodes if node.name == name)
        return self.nodes[fault.who[0] % len(self.nodes)]

    def _late_writes(self, fault: Fault) -> Callable[[], None]:
        self.state.late = fault.share
        return lambda: setattr(self.state, "late", 0.0)

    def _answers_lost(self, fault: Fault) -> Callable[[], None]:
        """Transactions are carried out at once, and only their answers are lost."""
        self.state.lost = fault.share
        return lambda: setattr(self.state, "lost", 0.0)

    def _quick_machines(self, fault: Fault) -> Callable[[], None]:
        self.cloud.quick = True
        return lambda: setattr(self.cloud, "quick", False)

    def _slow_links(self, fault: Fault) -> Callable[[], None]:
        self.net.slow_s = SLOW_LINK_S
        return lambda: setattr(self.net, "slow_s", 0.0)

    def _reports_kept(self, fault: Fault) -> Callable[[], None]:
        self.keeping.append(fault)
        return lambda: self.keeping.remove(fault)

    def _keep_report(self, src: str, addr: str, method: str, path: str, body: bytes) -> None:
        if path == REPORT and self.keeping and self.net.rng.random() < self.keeping[0].share:
            self.kept.append((src, body))
            del self.kept[:-MOST_KEPT]

    def _new_leader(self, name: str) -> None:
        """What was kept reaches it as it begins, and once it has acted; and all other controllers."""
        if name == self.led_by:
            return
        self.led_by = name
        kept, self.kept = self.kept, []
        for src, body in kept:
            for after_s in KEPT_S:
                for node in self.nodes:
                    self.copied += 1
                    self.net.copy(src, node.addr, "POST", REPORT, body, after_s)

    def _slow_state(self, fault: Fault) -> Callable[[], None]:
        self.state.slow = fault.share
        return lambda: setattr(self.state, "slow", 0.0)

    def _machine_held(self, fault: Fault) -> Callable[[], None]:
        """Commands and answers to it are held for seconds and then arrive."""
        nodes = [n.name for n in self.nodes]
        return self._cuts([(n, w.name) for w in self._workers(fault) for n in nodes], both=False)

    # -- what users do at the wrong moment -------------------------------------------------------

    def _commanded(self, body: bytes) -> None:
        if RUN_VERB in body:
            orders = read_answer(body).orders
            self.checker.commanded(self.loop.time(), [o.task for o in orders if o.op == "start"])

    def _look_closely(self, ref: str) -> None:
        self.looks += 1
        self.users.start(self.jobs[ref].look_closely([n.addr for n in self.nodes]))

    def _heard(self, ref: str, what: str) -> None:
        if not self.looking or ref not in self.jobs:
            return
        self._look_closely(ref)
        if what == "accepted" and self.net.rng.random() < 0.15:
            addr = self.net.rng.choice(self.nodes).addr
            self.users.start(self.jobs[ref].cancel(self.net.rng.choice([0.0, 0.002, 0.05]), addr))

    def _job_over(self, ref: str) -> None:
        """The last task of a job has completed; nobody knows of it yet."""
        if ref not in self.jobs:
            return
        if self.looking:
            self._look_closely(ref)
        if self.at_end and self.net.rng.random() < self.at_end:
            addr = self.net.rng.choice(self.nodes).addr
            self.users.start(self.jobs[ref].cancel(self.net.rng.choice([0.0, 0.01, 0.3, 0.6]), addr))

    def _close_looks(self, fault: Fault) -> Callable[[], None]:
        self.looking += 1
        return lambda: setattr(self, "looking", self.looking - 1)

    def _cancel_at_end(self, fault: Fault) -> Callable[[], None]:
        self.at_end = fault.share
        return lambda: setattr(self, "at_end", 0.0)

    def _cancel_now(self, fault: Fault) -> Callable[[], None]:
        """So many jobs that run are cancelled within a fifth of a second; with a duration, up to eight of
        their machines hang for so long."""
        running = sorted({task.partition("/")[0] for task in self.checker.where})
        wanted = [ref for ref in running if not self.checker.jobs[ref].told and ref in self.jobs]
        hung: dict[str, int] = {}
        for ref in self.net.rng.sample(wanted, min(fault.count or 6, len(wanted))):
            self.users.start(self.jobs[ref].cancel(self.net.rng.uniform(0, 0.2)))
            for task, there in self.checker.where.items():
                if task.partition("/")[0] == ref:
                    hung.update(dict.fromkeys((name for name, _ in there), 0))
        names = sorted(self.world.machines)
        who = [names.index(name) for name in list(hung)[:8] if name in self.world.machines]
        if not fault.for_s or not who:
            return lambda: None
        return self._machine_hangs(msgspec.structs.replace(fault, who=who))

    def _odd_requests(self, fault: Fault) -> None:
        async def ask() -> None:
            until_s, n = self.loop.time() + fault.for_s, 0
            while self.loop.time() < until_s:
                await asyncio.sleep(self.net.rng.uniform(0.1, 0.8))
                if self.jobs:
                    user = self.net.rng.choice(list(self.jobs.values()))
                    n += 1
                    self.users.start(odd_requests(self.balancer, self.checker, user, n))

        self.users.start(ask())

    def _small_jobs(self, fault: Fault) -> None:
        """One-task jobs come four a second."""
        for n in range(int(fault.for_s * 4)):
            self.loop.call_later(n / 4, self.submit, True, context=self.users.context.copy())

    def _users_cancel(self, fault: Fault) -> None:
        """Users of jobs with tasks on machines withdraw them, at one node."""
        addr = self._node(fault).addr
        running = {task.partition("/")[0] for task in self.checker.where}
        for ref in sorted(running):
            seen = self.checker.jobs[ref]
            if seen.accepted_s is not None and seen.wish_s is None and self.rng.random() < fault.share:
                seen.wish_s = self.loop.time()
                self.users.start(self.jobs[ref].cancel(addr=addr))

    def _node_crash(self, fault: Fault) -> None:
        node = self._node(fault)
        node.crash(fault.back_s)
        if fault.again_s:
            self.loop.call_later(fault.back_s + fault.again_s, node.crash, fault.back_s)

    def _nodes_crash(self, fault: Fault) -> None:
        for n in range(len(self.nodes)):
            self._node_crash(msgspec.structs.replace(fault, who=[n], whom=""))

    def _node_still(self, fault: Fault) -> Callable[[], None] | None:
        return self._still(self._node(fault).life)

    def _still(self, life: Life | None) -> Callable[[], None] | None:
        if life is None or life.state != "running":
            return None
        life.stand_still()
        return lambda: life.go_on() if life.state == STILL else None

    def _node_isolated(self, fault: Fault) -> Callable[[], None]:
        node = self._node(fault)
        pairs = [(node.name, o.name) for o in self.nodes if o is not node] + [(node.name, "state")]
        return self._cuts(pairs)

    def _node_refused(self, fault: Fault) -> Callable[[], None]:
        name = self._node(fault).name
        self.state.refuses.add(name)
        return lambda: self.state.refuses.discard(name)

    def _node_no_workers(self, fault: Fault) -> Callable[[], None]:
        name = self._node(fault).name
        return self._cuts([(name, w) for w in sorted(self.world.machines)])

    def _nodes_apart(self, fault: Fault) -> Callable[[], None]:
        names = [n.name for n in self.nodes]
        return self._cuts([(a, b) for i, a in enumerate(names) for b in names[i + 1 :]])

    def _zone_hosts(self, zone: str) -> list[str]:
        return [n.name for n in self.nodes if n.zone == zone] + [
            name for name, w in sorted(self.world.machines.items()) if w.zone == zone
        ]

    def _zone_cut(self, fault: Fault) -> Callable[[], None]:
        zone = self.zones[fault.who[0] % len(self.zones)]
        inside = self._zone_hosts(zone)
        outside = [h for other in self.zones if other != zone for h in self._zone_hosts(other)]
        return self._cuts([(a, b) for a in inside for b in outside])

    def _state_outage(self, fault: Fault) -> Callable[[], None]:
        self.state.outage(True)
        return lambda: self.state.outage(False)

    def _cloud_outage(self, fault: Fault) -> Callable[[], None]:
        self.cloud.away += 1
        return lambda: setattr(self.cloud, "away", self.cloud.away - 1)

    def _machine_dies(self, fault: Fault) -> None:
        for worker in self._workers(fault):
            worker.life.end()
            worker.gone_all()

    def _machine_hangs(self, fault: Fault) -> Callable[[], None]:
        workers = self._workers(fault)
        undo = [self._still(w.life) for w in workers]
        for worker in workers:
            # It may go on within its lease; past it its tasks are over (PROTOCOL, "Workers").
            gone_us = worker.life.now_us() - worker.session.base_us
            left_s = max(self.setup.lease_s - gone_us / 1e6, 0.0)
            self.loop.call_later(left_s + 0.01, self._past_lease, worker)
        return self._over([u for u in undo if u is not None])

    def _past_lease(self, worker: SimWorker) -> None:
        if worker.life.state == STILL:
            worker.gone_all()

    def _machine_sick(self, fault: Fault) -> Callable[[], None]:
        workers = self._workers(fault)
        for worker in workers:
            worker.sick = True
        return self._over([lambda w=w: setattr(w, "sick", False) for w in workers])  # type: ignore[misc]

    def _deaf(self, names: list[str]) -> Callable[[], None]:
        for name in names:
            self.net.set_deaf(name, True)
            self.deaf_since.setdefault(name, self.loop.time())

        def over() -> None:
            for name in names:
                self.net.set_deaf(name, False)
                if name not in self.net.deaf:
                    self.deaf_since.pop(name, None)

        return over

    def _machine_deaf(self, fault: Fault) -> Callable[[], None]:
        return self._deaf([w.name for w in self._workers(fault)])

    def _zone_deaf(self, fault: Fault) -> Callable[[], None]:
        zone = self.zones[fault.who[0] % len(self.zones)]
        return self._deaf([name for name, w in sorted(self.world.machines.items()) if w.zone == zone])

    def _machine_mute(self, fault: Fault) -> Callable[[], None]:
        """Its reports are held back and arrive when that is over."""
        nodes = [n.name for n in self.nodes]
        return self._cuts([(w.name, n) for w in self._workers(fault) for n in nodes], both=False)

    def _machine_reborn(self, fault: Fault) -> None:
        """It is back at once under its name, with nothing on it, and counts from the start."""
        for worker in self._workers(fault):
            if worker.name in self.cloud.machines:
                worker.life.end()
                worker.gone_all()
                self.boot(self.cloud.machines[worker.name])

    def _report_copies(self, fault: Fault) -> Callable[[], None]:
        self.copying.append(fault)
        return lambda: self.copying.remove(fault)

    def _spot_taken(self, fault: Fault) -> None:
        for worker in self._workers(fault):
            if worker.spot:
                self.cloud.take(worker.name)

    def _flood(self, fault: Fault) -> None:
        for _ in range(30):
            self.submit()

    # -- a run -----------------------------------------------------------------------------------

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
            n: o.token for node in self.nodes if node.controller for n, o in node.controller.owners.items()
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


def run(setup: Setup, log: bool = False) -> tuple[Result, list[str]]:
    """Play a setup; the result and the trace."""
    # The node draws its random pauses from the module's generator.
    random.seed(setup.seed)
    with Virtual() as loop:
        cluster = Cluster(setup, loop)
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
            setup.seed, checker.broken, len(checker.jobs), sum(s.accepted_s is not None for s in seen),
            sum(bool(s.told) for s in seen), checker.starts, checker.killed, cluster.copied,
            cluster.net.delivered, len(cluster.cloud.machines) + len(cluster.cloud.deleted),
            len(cluster.cloud.deleted), cluster.placed_deaf, len(cluster.state.carried),
            cluster.looks, checker.late_starts,
        )  # fmt: skip
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
