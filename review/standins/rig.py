"""Controllers as processes, with stand-ins around them: what the cases share."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from review.standins.cloud import Cloud, Machine, Region, Task
from review.standins.http import HOST, fetch
from review.standins.state_service import StateService

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Users wait so long for an answer to a submission or a cancellation, and to a question.
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0
RETRY_FOR_S = 60.0
# All of a case has to end within this time.
MOST_S = 118.0


class CaseError(Exception):
    """The case could not run."""


def trouble() -> bool:
    """Tell whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Begin a new record."""
        self._file: IO[str] = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self._start

    def __call__(self, event: str, **details: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in details.items())
        self._file.write(f"{self.now():8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()


class Proxy:
    """A TCP proxy that can hold everything back, as a cut does."""

    def __init__(self, target: str) -> None:
        """Forward to a target address."""
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{HOST}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self.open.wait()
            host, _, port = self.target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


@dataclass
class Deployment:
    """The settings of a deployment, as its pages give them."""

    zones: list[str]
    locations: list[str]
    workers: dict[str, float]
    state: dict[str, float]
    cloud: dict[str, float]
    teams: list[dict[str, Any]]
    objectives: list[dict[str, Any]]
    resources: dict[str, float]
    flavors: list[dict[str, Any]]
    skew_ms: float = 25.0


@dataclass(eq=False)
class Node:
    """One controller: its addresses, its process and its connections to the others."""

    name: str
    location: str
    public: str
    mesh: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    # Where it reaches the state service and the other nodes: proxies, if the case asks for them.
    state: str = ""
    peers: dict[str, str] = field(default_factory=dict)


def _free_addresses(count: int) -> list[str]:
    """Return addresses with free ports."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((HOST, 0))
        return [f"{HOST}:{each.getsockname()[1]}" for each in sockets]
    finally:
        for each in sockets:
            each.close()


def _toml(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(_toml(each) for each in value) + "]"
    return repr(value)


def _table(name: str, fields: dict[str, Any]) -> str:
    return f"\n{name}\n" + "".join(f"{key} = {_toml(value)}\n" for key, value in fields.items())


class Rig:
    """A deployment on loopback addresses."""

    def __init__(self, deployment: Deployment, record: Record, folder: Path) -> None:
        """Prepare the stand-ins; nothing is started."""
        self.deployment, self.record, self.folder = deployment, record, folder
        self.region = Region(
            deployment.workers, {flavor["sku"]: flavor for flavor in deployment.flavors}, record
        )
        self.state = StateService(deployment.state)
        self.cloud = Cloud(self.region, deployment.cloud, {})
        addresses = _free_addresses(2 * len(deployment.locations))
        self.nodes = [
            Node(
                f"orchard-{index}",
                location,
                addresses[2 * index],
                addresses[2 * index + 1],
                folder / f"orchard-{index}.toml",
                folder / f"orchard-{index}.log",
            )
            for index, location in enumerate(deployment.locations)
        ]
        self.region.nodes = {node.name: node.public for node in self.nodes}

    # -- controllers -------------------------------------------------------------------------------

    async def start_platform(self) -> None:
        """Start the state service and the cloud."""
        await self.state.start()
        await self.cloud.server.start()

    async def start(self) -> None:
        """Start the controllers, and wait until they are ready."""
        for node in self.nodes:
            node.state = node.state or self.state.server.address
            node.peers = {
                other.name: node.peers.get(other.name, other.mesh)
                for other in self.nodes
                if other is not node
            }
            self._write_settings(node)
        for node in self.nodes:
            await self.start_node(node)
        await self.until(self._all_ready, 20, "the controllers are not ready")

    def _write_settings(self, node: Node) -> None:
        deployment = self.deployment
        text = f'node = "{node.name}"\nlocation = "{node.location}"\n'
        text += f'bind = "{node.public}"\nmesh_addr = "{node.mesh}"\n'
        for other in self.nodes:
            if other is not node:
                peer = {"node": other.name, "location": other.location, "peer_addr": node.peers[other.name]}
                text += _table("[[others]]", peer)
        text += _table("[endpoints]", {"cloud": self.cloud.server.address, "state": node.state})
        text += _table(
            "[params]",
            {"nodes": len(self.nodes), "zones": deployment.zones, "skew_ms": deployment.skew_ms},
        )
        for team in deployment.teams:
            text += _table("[[params.teams]]", team)
        for objective in deployment.objectives:
            text += _table("[[params.objectives]]", objective)
        text += _table("[params.workers]", deployment.workers)
        text += _table("[params.state]", deployment.state)
        text += _table("[params.cloud]", deployment.cloud)
        text += _table("[params.resources]", deployment.resources)
        node.settings.write_text(text)

    async def start_node(self, node: Node) -> None:
        """Start a controller with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"].split()
        with node.log.open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                *command, str(node.settings), cwd=ROOT, stderr=log, stdout=log, env=self._environment()
            )
        self.record("controller started", node=node.name, pid=node.process.pid)

    @staticmethod
    def _environment() -> dict[str, str]:
        kept = {name: value for name, value in os.environ.items() if not name.startswith("PEARSTEP")}
        return {"LOG_LEVEL": "info", **kept}

    async def kill(self, node: Node) -> None:
        """End a controller without a warning."""
        if node.process is not None and node.process.returncode is None:
            node.process.kill()
            await node.process.wait()
            self.record("controller killed", node=node.name)

    def signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        if node.process is not None and node.process.returncode is None:
            node.process.send_signal(number)
            self.record("signal", node=node.name, signal=number.name)

    async def stop(self) -> None:
        """End all processes."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()

    async def _all_ready(self) -> bool:
        for node in self.nodes:
            status, _, _ = await fetch(node.public, "GET", "/ready", timeout_s=1.0)
            if status != 200:
                return False
        return all(f"part/{index}" in self.state.keys for index in range(len(self.nodes)))

    async def until(
        self, condition: Callable[[], Awaitable[bool]], within_s: float, otherwise: str, pause_s: float = 0.2
    ) -> None:
        """Wait for a condition; raise CaseError if it does not come."""
        end = time.monotonic() + within_s
        while not await condition():
            if time.monotonic() > end:
                raise CaseError(otherwise)
            await asyncio.sleep(pause_s)

    # -- users -------------------------------------------------------------------------------------

    async def _ask(
        self, node: Node, method: str, path: str, body: Any, accepted: tuple[int, ...]
    ) -> tuple[int, Any]:
        """Repeat a request as users do, until an answer is one of those accepted."""
        end = time.monotonic() + RETRY_FOR_S
        nodes = [node, *(other for other in self.nodes if other is not node)]
        turn = 0
        while True:
            asked = nodes[turn % len(nodes)]
            turn += 1
            status, answer, headers = await fetch(asked.public, method, path, body, SUBMIT_TIMEOUT_S)
            self.record("user", node=asked.name, request=f"{method} {path}", status=status, answer=answer)
            if status in accepted:
                return status, answer
            if time.monotonic() > end:
                raise CaseError(f"{method} {path}: no answer within {RETRY_FOR_S:.0f} s")
            await asyncio.sleep(max(float(headers.get("retry-after", "1")), 1.0))

    async def submit(self, job: dict[str, Any], run_s: float = 0.0, node: Node | None = None) -> None:
        """Submit a job; its tasks run for ``run_s``."""
        self.region.jobs[job["ref"]] = job
        self.region.run_s[job["ref"]] = run_s
        await self._ask(node or self.nodes[0], "POST", "/v2/runs", job, (200, 201))

    async def cancel(self, ref: str, node: Node | None = None) -> Any:
        """Cancel a job; returns the answer."""
        _, answer = await self._ask(node or self.nodes[0], "POST", f"/v2/runs/{ref}/abort", None, (200,))
        return answer

    async def poll(self, ref: str, node: Node) -> tuple[int, Any]:
        """Ask for a job once."""
        status, answer, _ = await fetch(node.public, "GET", f"/v2/runs/{ref}", None, POLL_TIMEOUT_S)
        self.record("user", node=node.name, request=f"GET {ref}", status=status, answer=answer)
        return status, answer

    def running(self, ref: str) -> list[tuple[Machine, Task]]:
        """Return the tasks of a job that run on machines now."""
        return [
            (machine, task)
            for machine in self.cloud.machines.values()
            if machine.up
            for task in machine.tasks.values()
            if task.parcel.split("/")[0] == ref and task.stage == "running"
        ]

    def active(self, ref: str) -> set[str]:
        """Return the tasks of a job that are on machines now, or wait there for their image."""
        return {
            task.parcel
            for machine in self.cloud.machines.values()
            if machine.up
            for task in machine.tasks.values()
            if task.parcel.split("/")[0] == ref and task.stage in ("running", "pulling")
        }


def job(ref: str, **fields: Any) -> dict[str, Any]:
    """Return a submission: a small array task unless ``fields`` say otherwise."""
    return {
        "ref": ref,
        "cohort": "conteo-arboles",
        "holder": "equipo-montes-1",
        "shape": "batch",
        "rank": "normal",
        "parcels": 1,
        "vcpus": 4.0,
        "accelerators": 0.0,
        "memoryGb": 22.0,
        "bundle": "img-1",
        "sizeGb": 0.5,
        "breeds": None,
        "plot": None,
        "together": False,
        "scatter": False,
        "windfall": True,
        "reckonS": 30.0,
        "markS": 0.0,
        "stowS": 0.0,
        "dueS": None,
        **fields,
    }


async def _nothing(rig: Rig) -> None:
    """Change nothing before the controllers start."""


def run_case(
    case_file: str,
    deployment: Deployment,
    play: Callable[[Rig], Awaitable[bool]],
    prepare: Callable[[Rig], Awaitable[None]] = _nothing,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    ``prepare`` is called when the platform runs and the controllers are not started yet.
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix="pearstep-review-") as name:
            rig = Rig(deployment, record, Path(name))
            try:
                async with asyncio.timeout(MOST_S - 2):
                    await rig.start_platform()
                    await prepare(rig)
                    await rig.start()
                    return BROKEN if await play(rig) else HELD
            except CaseError as err:
                record("case could not run", why=err)
                return NOT_RUN
            except TimeoutError:
                record("case could not run", why="time is over")
                return NOT_RUN
            except Exception as err:
                # A mistake in a case or a stand-in says nothing about the rule.
                record("case could not run", why=repr(err))
                traceback.print_exc()
                return NOT_RUN
            finally:
                await rig.stop()
                if os.environ.get("KEEP_LOGS"):
                    for node in rig.nodes:
                        (Path(os.environ["KEEP_LOGS"]) / node.log.name).write_bytes(node.log.read_bytes())

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    code = asyncio.run(main())
    result = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[code]
    record("result", exit=code, meaning=f"'{result}'")
    print(f"{Path(case_file).resolve().parent.name}: {result}")
    sys.stdout.flush()
    os._exit(code)
