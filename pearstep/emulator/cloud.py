"""The emulated cloud, whose instances are processes of this machine.

Each instance is a worker's agent in a folder of its own. Lists lag, instances take their time to boot, and
the names of requests are remembered, so that a repeated request is idempotent.
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import structlog
import yaml
from tornado.httputil import HTTPServerRequest

from pearstep.protocol import emulator_messages as wire
from pearstep.transport.clock import now_us
from pearstep.transport.http import Answer, Server
from pearstep.transport.rate_limiter import RateLimiter
from pearstep.worker.folder import Folder as AgentFolder
from pearstep.worker.processes import start_time, sweep

log = structlog.get_logger("pearstep.cloud")


# An agent that ends within this time counts as one that can't live.
SHORT_US = 2_000_000
MOST_SHORT_LIVES = 3
LOOK_S = 0.1
MOST_LISTED = 500
MOST_PER_REQUEST = 50
# The range in which ports are chosen: below that of outgoing connections on every common system.
PORTS = (20_000, 32_000)


class MachineKind(msgspec.Struct, forbid_unknown_fields=True):
    """A machine type, and how many instances of it there may be."""

    name: str
    cpus: float
    memory_gb: float
    gpus: float = 0.0
    price: float = 1.0
    boot_s: float = 0.5
    most: int = 4
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])


class Rented(msgspec.Struct):
    """A rented instance."""

    name: str
    addr: str
    kind: str
    zone: str
    spot: bool
    asked_us: int
    up: bool = False
    process: Any = None
    begun_us: int = 0
    short_lives: int = 0


class Cloud:
    """Rents instances, starts their agents, and lists them."""

    def __init__(
        self, root: Path, kinds: list[MachineKind], worker: dict[str, Any], rps: float, lag_s: float
    ) -> None:
        """End what a former cloud left in the folder, and begin without instances.

        Args:
            root: The folder of the instances.
            kinds: The machine types.
            worker: The settings that all agents have in common.
            rps: The number of requests per second.
            lag_s: How far lists lag behind, in seconds.
        """
        self.root = root
        self.kinds = {kind.name: kind for kind in kinds}
        self.worker = worker
        self.lag_us = int(lag_s * 1e6)
        self.requests = RateLimiter(rps, 2 * rps, now_us)
        self.machines: dict[str, Rented] = {}
        self.hires: dict[str, list[str]] = {}
        self.shown: list[tuple[int, list[tuple[str, str, str, str, bool, str, int]]]] = []
        root.mkdir(parents=True, exist_ok=True)
        self._end_former()
        self._count_file = root / "count"
        self.count = int(self._count_file.read_text()) if self._count_file.exists() else 0

    def _end_former(self) -> None:
        """End the instances of a former cloud that was killed: no list shows them."""
        for folder in self.root.iterdir():
            if not folder.is_dir():
                continue
            try:
                pid, started = map(int, (folder / "pid").read_text().split())
            except (OSError, ValueError):
                continue
            if started and start_time(pid) == started:
                os.killpg(pid, signal.SIGKILL)
            _end_tasks(folder)
            shutil.rmtree(folder, ignore_errors=True)

    async def run(self, host: str, port: int) -> None:
        """Serve until the process is killed."""
        Server(self.handle).listen(host, port)
        while True:
            self._look()
            await asyncio.sleep(LOOK_S)

    def _look(self) -> None:
        """Start the agents of instances that have booted, and take a snapshot for lists."""
        now = now_us()
        for machine in list(self.machines.values()):
            if not machine.up and now - machine.asked_us >= self.kinds[machine.kind].boot_s * 1e6:
                self._boot(machine)
            elif machine.up and machine.process.poll() is not None:
                self._again(machine, now)
        rows = []
        for machine in self.machines.values():
            stage = self._stage(machine)
            rows.append(
                (
                    machine.name,
                    machine.addr,
                    machine.kind,
                    machine.zone,
                    machine.spot,
                    stage,
                    machine.asked_us,
                )
            )
        self.shown.append((now, rows))
        while len(self.shown) > 1 and self.shown[1][0] <= now - self.lag_us:
            self.shown.pop(0)

    def _again(self, machine: Rented, now: int) -> None:
        """Restart an agent that ended, as an instance's init would.

        An instance whose agent ends early several times in a row has failed.
        """
        if machine.short_lives >= MOST_SHORT_LIVES:
            return
        machine.short_lives = machine.short_lives + 1 if now - machine.begun_us < SHORT_US else 0
        if machine.short_lives < MOST_SHORT_LIVES:
            log.warning(
                "agent ended, starting it anew", machine=machine.name, code=machine.process.returncode
            )
            self._boot(machine)

    @staticmethod
    def _stage(machine: Rented) -> str:
        """Return the state of an instance as lists show it."""
        if not machine.up:
            return "booting"
        return "failed" if machine.short_lives >= MOST_SHORT_LIVES else "running"

    def _boot(self, machine: Rented) -> None:
        """Start the agent of an instance."""
        kind = self.kinds[machine.kind]
        folder = self.root / machine.name
        folder.mkdir(parents=True, exist_ok=True)
        config = folder / "worker.yaml"
        own: dict[str, Any] = {
            "machine": machine.name,
            "bind": machine.addr,
            "directory": str(folder / "agent"),
        }
        own |= {"type": kind.name, "zone": machine.zone, "spot": machine.spot}
        resources = {"cpus": kind.cpus, "gpus": kind.gpus, "memory_gb": kind.memory_gb}
        config.write_text(yaml.safe_dump({**self.worker, **own, **resources}))
        with open(folder / "worker.log", "ab") as log_file:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "pearstep", "worker", "--config", str(config)],
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        pid = machine.process.pid
        (folder / "pid").write_text(f"{pid} {start_time(pid)}")
        machine.up = True
        machine.begun_us = now_us()
        log.info("machine up", machine=machine.name, addr=machine.addr, pid=machine.process.pid)

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Answer one request."""
        if not self.requests.try_acquire():
            return 429, b'{"error":"too many requests"}', {}
        routes: dict[tuple[str, str], Callable[[HTTPServerRequest], Answer]] = {
            ("GET", "/flavors"): self._types,
            ("GET", "/hosts"): self._list,
            ("POST", "/hosts"): self._hire,
            ("POST", "/hosts/delete"): self._delete,
        }
        route = routes.get((request.method or "", request.path))
        if route is None:
            return 404, b'{"error":"no such path"}', {}
        try:
            return route(request)
        except (msgspec.MsgspecError, ValueError) as err:
            return 400, msgspec.json.encode({"error": str(err)}), {}

    def _types(self, request: HTTPServerRequest) -> Answer:
        """Answer with the machine types on offer."""
        rows = [
            wire.build_machine_type(
                kind.name, kind.cpus, kind.gpus, kind.memory_gb, kind.boot_s, kind.price, kind.zones
            )
            for kind in self.kinds.values()
        ]
        return 200, wire.encode_machine_types(rows), {}

    def _list(self, request: HTTPServerRequest) -> Answer:
        """Answer with a page of the oldest snapshot, which is as old as the lag."""
        arguments = {name: values[0].decode() for name, values in request.arguments.items()}
        limit = min(int(arguments.get("limit", MOST_LISTED)), MOST_LISTED)
        taken_at_us, rows = self.shown[0] if self.shown else (0, [])
        rows = sorted(row for row in rows if row[0] > arguments.get("from", ""))
        listed = [(*row[:6], (taken_at_us - row[6]) / 1e6) for row in rows[:limit]]
        return 200, wire.encode_machine_page(listed, len(rows) > limit), {}

    def _hire(self, request: HTTPServerRequest) -> Answer:
        """Rent instances; a request whose name is known gets the same answer again."""
        rental = wire.decode_instance_request(request.body)
        if rental.name in self.hires:
            return 200, wire.encode_instance_names(self.hires[rental.name]), {}
        kind = self.kinds.get(rental.type)
        if kind is None or rental.zone not in kind.zones or not 1 <= rental.count <= MOST_PER_REQUEST:
            raise ValueError("unknown type or zone, or not 1 to 50 machines")
        free = kind.most - sum(machine.kind == kind.name for machine in self.machines.values())
        if free <= 0:
            return 503, b'{"error":"no capacity"}', {}
        names = []
        for _ in range(min(free, rental.count)):
            self.count += 1
            self._count_file.write_text(str(self.count))
            name = f"i-{self.count:06d}"
            self.machines[name] = Rented(
                name, f"127.0.0.1:{free_port()}", kind.name, rental.zone, rental.spot, now_us()
            )
            names.append(name)
        self.hires[rental.name] = names
        return 200, wire.encode_instance_names(names), {}

    def _delete(self, request: HTTPServerRequest) -> Answer:
        """Delete instances; those that are unknown are passed over."""
        for name in wire.decode_deletion_request(request.body).machines:
            machine = self.machines.pop(name, None)
            if machine is not None:
                self.end(machine)
                shutil.rmtree(self.root / name, ignore_errors=True)
        return 200, b"{}", {}

    def end(self, machine: Rented) -> None:
        """End an instance: its agent, and the processes of its tasks."""
        if machine.process is None:
            return
        if machine.process.poll() is None:
            os.killpg(machine.process.pid, signal.SIGKILL)
            machine.process.wait()
        _end_tasks(self.root / machine.name)

    def end_all(self) -> None:
        """End all instances, when the cluster is taken down."""
        for machine in self.machines.values():
            self.end(machine)


def _end_tasks(folder: Path) -> None:
    """End the processes of the tasks of an instance."""
    if (folder / "agent").exists():
        agent_folder = AgentFolder(folder / "agent")
        running = [note.process for _, note, seal in agent_folder.found() if note.process and seal is None]
        sweep(agent_folder.mark, running)
        agent_folder.close()


def free_port() -> int:
    """Return a free port of the loopback interface, from below the range of outgoing connections.

    Seen: with a port of that range, an outgoing connection took it between this check and its use, and a test
    failed.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
