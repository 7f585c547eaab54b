"""What a run is made of: nodes, machines, users and what they deal with. What fails is in ``troubles``."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from measurements.simulation.checker import Checker
from measurements.simulation.clock import DEAD, Life, VirtualLoop
from measurements.simulation.faults import Fault
from measurements.simulation.net import Net, RigClient, RigServer
from measurements.simulation.platform import Cloud, Rented, State
from measurements.simulation.users import Balancer, User
from measurements.simulation.worker import SimWorker
from measurements.simulation.world import World
from pearstep.controller.controller import Controller
from pearstep.controller.settings import Platform, Settings, Tuning
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.history.extension import CompactionExtension
from pearstep.history.settings import HistorySettings
from pearstep.worker.session import Timing

ZONES = ("north", "south", "west")
CLOUD = "10.1.0.2:1"
DRIFT = 0.0005


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
    # How many tasks gangs may have, and the CPUs of each.
    gang_tasks: tuple[int, ...] = (1, 2, 4)
    gang_cpus: float = 10.0

    @property
    def cancel_s(self) -> float:
        """How long the tasks of a cancelled job may stay."""
        return self.lease_s + self.extra_s


class Node:
    """One controller, through all its lives."""

    def __init__(self, cluster: Built, number: int) -> None:
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
        self.controller = self.cluster.controller(self, life)
        await self.controller.run()

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


class Built:
    """All that there is, before anything happens."""

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
            "nodes": setup.nodes,
            "zones": self.zones,
            "skew_ms": 1000.0,
            "teams": teams,
            "objectives": [
                {"kind": "wait", "class": "maps", "within_s": 20.0, "share": 0.9},
                {"kind": "wait", "class": "solver", "within_s": 40.0, "share": 0.9},
                {"kind": "wait", "class": "portal", "within_s": 5.0, "share": 0.9},
                {"kind": "guarantee", "within_s": 30.0, "share": 0.9},
            ],
            "workers": {
                "report_s": setup.report_s,
                "lease_s": setup.lease_s,
                "gang_wait_s": 40.0,
                "gang_peer_s": 4.0,
                "cancel_s": setup.cancel_s,
            },
            "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 4.0},
        }
        self.nodes = [Node(self, n) for n in range(setup.nodes)]
        self.types = {
            "plain": MachineType("plain", 32, 0, 128, 60, 1.0, 2.0, 0.6, 12 * SECOND_US, tuple(self.zones)),
            "accel": MachineType("accel", 32, 4, 128, 60, 1.0, 9.0, 3.0, 15 * SECOND_US, tuple(self.zones)),
        }
        checked = Settings(
            msgspec.convert(self.platform_file(self.nodes[0]), Platform, strict=False), Tuning()
        )
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

    # -- what is built ---------------------------------------------------------------------------

    def state_addr(self, node: str) -> str:
        """Where a node finds the state service: it can tell its callers apart by the address."""
        return f"10.1.{node[1:]}.1:1"

    def platform_file(self, node: Node) -> dict[str, Any]:
        """The file that the platform hands over."""
        others = [
            {"node": o.name, "peer_addr": o.mesh, "location": o.zone} for o in self.nodes if o is not node
        ]
        return {
            "node": node.name,
            "location": node.zone,
            "bind": node.addr,
            "mesh_addr": node.mesh,
            "others": others,
            "params": self.params,
            "endpoints": {"cloud": CLOUD, "state": self.state_addr(node.name)},
        }

    def settings(self, node: Node) -> Settings:
        """A node's settings."""
        return Settings(
            msgspec.convert(self.platform_file(node), Platform, strict=False),
            msgspec.convert(self.setup.tuning, Tuning),
        )

    def client(self, node: Node) -> RigClient:
        """A node's connections to everybody."""
        return RigClient(self.net, node.name, 175, (self.state_addr(node.name), CLOUD))

    def controller(self, node: Node, life: Life) -> Controller:
        """The controller of a node's new life."""
        extension = (
            CompactionExtension(HistorySettings(rest_s=20, keep=4, batch=4)) if self.setup.history else None
        )
        return Controller(
            self.settings(node),
            extension,
            self.client(node),  # type: ignore[arg-type]
            lambda handler: RigServer(self.net, life, handler),  # type: ignore[arg-type,return-value]
        )

    def boot(self, rented: Rented) -> None:
        """A machine comes up."""
        s = self.setup
        life = Life(self.loop, rented.name, rented.name, 1 + self.rng.uniform(-DRIFT, DRIFT))
        timing = Timing(
            int(s.report_s * SECOND_US), int(s.lease_s * SECOND_US), 40 * SECOND_US, 4 * SECOND_US
        )
        self.world.machines[rented.name] = SimWorker(
            self.world,
            self.net,
            life,
            rented.name,
            self.types[rented.mtype],
            rented.zone,
            rented.spot,
            timing,
            {n.name: n.addr for n in self.nodes},
            random.Random(f"{rented.name} {s.seed}"),
        )

    def end(self, name: str) -> None:
        """A machine is gone."""
        worker = self.world.machines.pop(name, None)
        if worker is not None:
            worker.life.end()
            worker.gone_all()
            self.checker.note(self.loop.time(), f"{name} is gone")

    # -- jobs ------------------------------------------------------------------------------------

    def job(self, small: bool = False) -> tuple[JobSpec, float | None]:
        """A job of one of the classes, and when it is cancelled. ``small``: of one task, one in four."""
        rng = self.rng
        ref = f"req-{len(self.world.uploaded):06d}"
        kind = rng.choices(["array", "gang", "service"], self.setup.kinds)[0]
        run_s = rng.uniform(*self.setup.run_s)
        one = dict(
            job_id=ref,
            team=rng.choice(["blue", "red"]),
            priority=rng.choice([1, 2, 2, 3]),
            kind=kind,
            estimate_us=int(run_s * rng.uniform(0.5, 1.6)) * SECOND_US,
            image=f"img-{rng.randrange(6)}",
            image_gb=rng.choice([0.5, 2.0]),
            gpus=0.0,
            memory_gb=4.0,
        )
        if kind == "array":
            one |= dict(job_class="maps", tasks=rng.choice([1, 3, 8, 30]), cpus=4.0, spot=True)
            if rng.random() < 0.3:
                one |= dict(gpus=1.0)
            if rng.random() < 0.5:
                one |= dict(checkpoint_us=5 * SECOND_US, save_us=2 * SECOND_US)
        elif kind == "gang":
            one |= dict(
                job_class="solver",
                tasks=rng.choice(self.setup.gang_tasks),
                cpus=self.setup.gang_cpus,
                one_zone=True,
                checkpoint_us=5 * SECOND_US,
                save_us=2 * SECOND_US,
            )
        else:
            one |= dict(
                job_class="portal",
                tasks=rng.choice([1, 2, 3]),
                cpus=2.0,
                estimate_us=0,
                priority=0,
                spread=self.setup.zones > 1,
            )
        if self.setup.bound and kind != "service" and rng.random() < self.setup.bound:
            one |= dict(zone=rng.choice(self.zones))
        if small:
            one |= dict(
                kind="array",
                job_class="maps",
                tasks=1,
                cpus=1.0,
                gpus=0.0,
                one_zone=False,
                spread=False,
                priority=2,
                estimate_us=4 * SECOND_US,
            )
            run_s = rng.uniform(1, 8)
        spec = JobSpec(**one)  # type: ignore[arg-type]
        self.world.uploaded[ref] = spec
        self.world.run_s[ref] = run_s
        if small:
            return spec, rng.choice([0.0, 0.05, 0.2, 1.0, 5.0]) if rng.random() < 0.25 else None
        return spec, rng.uniform(1, 40) if rng.random() < 0.15 else None

    def submit(self, small: bool = False) -> None:
        """A user comes."""
        spec, cancel_s = self.job(small)
        user = self.jobs[spec.job_id] = User(self.loop, self.balancer, self.checker, spec)
        self.users.start(user.live(cancel_s))
