"""The emulated cloud, whose instances are processes on this machine.

Each instance is a worker's agent in a folder of its own. Lists lag behind, instances take time to boot, and
the names of requests are stored, so that repeating an instance request is idempotent.
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


# An agent that exits sooner after its start counts as failing.
EARLY_EXIT_US = 2_000_000
MAX_EARLY_EXITS = 3
POLL_INTERVAL_S = 0.1
MAX_LISTED_MACHINES = 500
MAX_INSTANCES_PER_REQUEST = 50
# Ports of instances: below the range of outgoing connections on every common system.
PORT_RANGE = (20_000, 32_000)
# Independent of the generator that simulations seed.
_PORT_DRAWS = random.SystemRandom()


class MachineKind(msgspec.Struct, forbid_unknown_fields=True, rename={"max_instances": "most"}):
    """A machine type, and the maximum number of its instances."""

    name: str
    cpus: float
    memory_gb: float
    gpus: float = 0.0
    price: float = 1.0
    boot_s: float = 0.5
    max_instances: int = 4
    zones: list[str] = msgspec.field(default_factory=lambda: ["a"])


class Instance(msgspec.Struct):
    """A rented instance."""

    name: str
    addr: str
    kind: str
    zone: str
    spot: bool
    requested_at_us: int
    is_started: bool = False
    process: Any = None
    agent_started_at_us: int = 0
    early_exits: int = 0


class Cloud:
    """Creates instances, starts their agents, and lists them."""

    def __init__(
        self,
        root: Path,
        kinds: list[MachineKind],
        agent_settings: dict[str, Any],
        rps: float,
        list_lag_s: float,
    ) -> None:
        """Kill the instances that a previous cloud left in the folder, and start without instances.

        Args:
            root: The folder of the instances.
            kinds: The machine types.
            agent_settings: The settings that all agents share.
            rps: The limit of requests per second.
            list_lag_s: The age of the lists of machines, in seconds.
        """
        self.root = root
        self.kinds = {kind.name: kind for kind in kinds}
        self.agent_settings = agent_settings
        self.list_lag_us = int(list_lag_s * 1e6)
        self.requests = RateLimiter(rps, 2 * rps, now_us)
        self.instances: dict[str, Instance] = {}
        self.instances_by_request: dict[str, list[str]] = {}
        self.snapshots: list[tuple[int, list[tuple[str, str, str, str, bool, str, int]]]] = []
        root.mkdir(parents=True, exist_ok=True)
        self._kill_previous_instances()
        self._instance_count_file = root / "count"
        self.instance_count = (
            int(self._instance_count_file.read_text()) if self._instance_count_file.exists() else 0
        )

    def _kill_previous_instances(self) -> None:
        """Kill the instances of a previous cloud that was killed, because they appear in no list."""
        for folder in self.root.iterdir():
            if not folder.is_dir():
                continue
            try:
                pid, started = map(int, (folder / "pid").read_text().split())
            except (OSError, ValueError):
                continue
            if started and start_time(pid) == started:
                os.killpg(pid, signal.SIGKILL)
            _kill_tasks(folder)
            shutil.rmtree(folder, ignore_errors=True)

    async def run(self, host: str, port: int) -> None:
        """Serve until the process is killed."""
        Server(self.handle).listen(host, port)
        while True:
            self._poll_instances()
            await asyncio.sleep(POLL_INTERVAL_S)

    def _poll_instances(self) -> None:
        """Start the agents of booted instances, restart agents that exited, and take a snapshot for lists."""
        now = now_us()
        for instance in list(self.instances.values()):
            if (
                not instance.is_started
                and now - instance.requested_at_us >= self.kinds[instance.kind].boot_s * 1e6
            ):
                self._start_agent(instance)
            elif instance.is_started and instance.process.poll() is not None:
                self._restart_agent(instance, now)
        rows = []
        for instance in self.instances.values():
            state = self._instance_state(instance)
            rows.append(
                (
                    instance.name,
                    instance.addr,
                    instance.kind,
                    instance.zone,
                    instance.spot,
                    state,
                    instance.requested_at_us,
                )
            )
        self.snapshots.append((now, rows))
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - self.list_lag_us:
            self.snapshots.pop(0)

    def _restart_agent(self, instance: Instance, now: int) -> None:
        """Restart an agent that exited, as the init process of an instance would.

        An instance has failed if its agent exits early MAX_EARLY_EXITS times in a row.
        """
        if instance.early_exits >= MAX_EARLY_EXITS:
            return
        instance.early_exits = (
            instance.early_exits + 1 if now - instance.agent_started_at_us < EARLY_EXIT_US else 0
        )
        if instance.early_exits < MAX_EARLY_EXITS:
            log.warning(
                "agent exited; restarting it", machine=instance.name, code=instance.process.returncode
            )
            self._start_agent(instance)

    @staticmethod
    def _instance_state(instance: Instance) -> str:
        """Return the state of an instance as lists show it."""
        if not instance.is_started:
            return "booting"
        return "failed" if instance.early_exits >= MAX_EARLY_EXITS else "running"

    def _start_agent(self, instance: Instance) -> None:
        """Start the agent of an instance."""
        kind = self.kinds[instance.kind]
        folder = self.root / instance.name
        folder.mkdir(parents=True, exist_ok=True)
        settings_file = folder / "worker.yaml"
        instance_settings: dict[str, Any] = {
            "machine": instance.name,
            "bind": instance.addr,
            "directory": str(folder / "agent"),
        }
        instance_settings |= {"type": kind.name, "zone": instance.zone, "spot": instance.spot}
        resources = {"cpus": kind.cpus, "gpus": kind.gpus, "memory_gb": kind.memory_gb}
        settings_file.write_text(yaml.safe_dump({**self.agent_settings, **instance_settings, **resources}))
        with open(folder / "worker.log", "ab") as log_file:
            instance.process = subprocess.Popen(
                [sys.executable, "-m", "pearstep", "worker", "--config", str(settings_file)],
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        pid = instance.process.pid
        (folder / "pid").write_text(f"{pid} {start_time(pid)}")
        instance.is_started = True
        instance.agent_started_at_us = now_us()
        log.info("machine up", machine=instance.name, addr=instance.addr, pid=instance.process.pid)

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Answer one request."""
        if not self.requests.try_acquire():
            return 429, b'{"error":"too many requests"}', {}
        routes: dict[tuple[str, str], Callable[[HTTPServerRequest], Answer]] = {
            ("GET", "/flavors"): self._list_machine_types,
            ("GET", "/hosts"): self._list_instances,
            ("POST", "/hosts"): self._create_instances,
            ("POST", "/hosts/delete"): self._delete_instances,
        }
        route = routes.get((request.method or "", request.path))
        if route is None:
            return 404, b'{"error":"no such path"}', {}
        try:
            return route(request)
        except (msgspec.MsgspecError, ValueError) as err:
            return 400, msgspec.json.encode({"error": str(err)}), {}

    def _list_machine_types(self, request: HTTPServerRequest) -> Answer:
        """Answer with all machine types."""
        rows = [
            wire.build_machine_type(
                kind.name, kind.cpus, kind.gpus, kind.memory_gb, kind.boot_s, kind.price, kind.zones
            )
            for kind in self.kinds.values()
        ]
        return 200, wire.encode_machine_types(rows), {}

    def _list_instances(self, request: HTTPServerRequest) -> Answer:
        """Answer with a page of the oldest snapshot, whose age is the lag of lists."""
        arguments = {name: values[0].decode() for name, values in request.arguments.items()}
        limit = min(int(arguments.get("limit", MAX_LISTED_MACHINES)), MAX_LISTED_MACHINES)
        snapshot_at_us, rows = self.snapshots[0] if self.snapshots else (0, [])
        rows = sorted(row for row in rows if row[0] > arguments.get("from", ""))
        listed = [(*row[:6], (snapshot_at_us - row[6]) / 1e6) for row in rows[:limit]]
        return 200, wire.encode_machine_page(listed, len(rows) > limit), {}

    def _create_instances(self, request: HTTPServerRequest) -> Answer:
        """Create instances; a request with the name of an earlier one gets the same answer."""
        instance_request = wire.decode_instance_request(request.body)
        if instance_request.name in self.instances_by_request:
            return 200, wire.encode_instance_names(self.instances_by_request[instance_request.name]), {}
        kind = self.kinds.get(instance_request.type)
        if (
            kind is None
            or instance_request.zone not in kind.zones
            or not 1 <= instance_request.count <= MAX_INSTANCES_PER_REQUEST
        ):
            raise ValueError("unknown type or zone, or not 1 to 50 machines")
        available = kind.max_instances - sum(
            instance.kind == kind.name for instance in self.instances.values()
        )
        if available <= 0:
            return 503, b'{"error":"no capacity"}', {}
        names = []
        for _ in range(min(available, instance_request.count)):
            self.instance_count += 1
            self._instance_count_file.write_text(str(self.instance_count))
            name = f"i-{self.instance_count:06d}"
            self.instances[name] = Instance(
                name,
                f"127.0.0.1:{free_port()}",
                kind.name,
                instance_request.zone,
                instance_request.spot,
                now_us(),
            )
            names.append(name)
        self.instances_by_request[instance_request.name] = names
        return 200, wire.encode_instance_names(names), {}

    def _delete_instances(self, request: HTTPServerRequest) -> Answer:
        """Delete instances; unknown names are ignored."""
        for name in wire.decode_deletion_request(request.body).machines:
            instance = self.instances.pop(name, None)
            if instance is not None:
                self._stop(instance)
                shutil.rmtree(self.root / name, ignore_errors=True)
        return 200, b"{}", {}

    def _stop(self, instance: Instance) -> None:
        """Kill the agent of an instance and the processes of its tasks."""
        if instance.process is None:
            return
        if instance.process.poll() is None:
            os.killpg(instance.process.pid, signal.SIGKILL)
            instance.process.wait()
        _kill_tasks(self.root / instance.name)

    def stop_all(self) -> None:
        """Stop all instances when the cluster is shut down."""
        for instance in self.instances.values():
            self._stop(instance)


def _kill_tasks(folder: Path) -> None:
    """Kill the processes of the tasks of an instance."""
    if (folder / "agent").exists():
        agent_folder = AgentFolder(folder / "agent")
        running = [
            run_record.process
            for _, run_record, seal in agent_folder.found()
            if run_record.process and seal is None
        ]
        sweep(agent_folder.mark, running)
        agent_folder.close()


def free_port() -> int:
    """Return a free port of the loopback interface, from below the range of outgoing connections.

    Seen: an outgoing connection took a port of that range between this check and its use, and a test failed.
    Two suites that seeded the shared generator alike drew the same ports at the same moment.
    """
    while True:
        port = _PORT_DRAWS.randrange(*PORT_RANGE)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
