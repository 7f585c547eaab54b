"""What the measurements share: a state service, archive nodes and agents as real processes on loopback, and a
stand-in for the controllers that gives the agents their orders.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import yaml
from tornado.httputil import HTTPServerRequest

from pearstep.emulator.cloud import free_port
from pearstep.emulator.state_service import StateService
from pearstep.protocol.controller_messages import decode_heartbeat, encode_commands
from pearstep.transport.http import Answer, Server

ROOT = Path(__file__).resolve().parents[1]


class Service:
    """A process that is started, killed and started again on the same settings."""

    def __init__(self, kind: str, folder: Path, settings: dict) -> None:
        self.kind, self.folder, self.settings = kind, folder, settings
        folder.mkdir(parents=True, exist_ok=True)
        self.config = folder / f"{kind}.yaml"
        self.config.write_text(yaml.safe_dump(settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it; output goes to a log in its folder."""
        with open(self.folder / "log", "ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "pearstep", self.kind, "--config", str(self.config)],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                start_new_session=True,
            )

    def kill(self) -> None:
        """SIGKILL to this process alone: what it started goes on."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    @property
    def rss_mb(self) -> float:
        """Resident memory."""
        assert self.process is not None
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


class Boss:
    """Stands in for the controllers: hands out starts by machine, notes ends, lets ended tasks be
    forgotten.
    """

    def __init__(self) -> None:
        self.addr = f"127.0.0.1:{free_port()}"
        self.starts: dict[str, dict[tuple[str, int], bool]] = {}
        self.ends: dict[tuple[str, str, int], str] = {}
        self.sessions: dict[str, int] = {}
        self.lost: set[tuple[str, str, int]] = set()

    def listen(self) -> None:
        """Begin to answer."""
        host, _, port = self.addr.rpartition(":")
        Server(self.handle).listen(host, int(port))

    def start(self, machine: str, task: str, attempt: int) -> None:
        """Let a machine start a task at its next report."""
        self.starts.setdefault(machine, {})[task, attempt] = False

    def handle(self, request: HTTPServerRequest) -> Answer:
        """A report, answered with what is due."""
        report = decode_heartbeat(request.body)
        mine = self.starts.setdefault(report.machine, {})
        here = {(t.task, t.attempt): t for t in report.tasks}
        if report.incarnation != self.sessions.get(report.machine, report.incarnation):
            for key, told in list(mine.items()):
                if told and key not in here:
                    del mine[key]
                    self.lost.add((report.machine, *key))
        self.sessions[report.machine] = report.incarnation
        orders: list[tuple[str, str, int, float | None]] = []
        for key, told in list(mine.items()):
            found = here.get(key)
            if found is None:
                orders.append(("start", *key, None))
            elif found.state == "exited":
                self.ends[report.machine, *key] = found.cause or ""
                del mine[key]
            if found is not None and not told and key in mine:
                mine[key] = True
        orders += [
            ("forget", *key, None)
            for key, t in here.items()
            if t.state == "exited" and (report.machine, *key) in self.ends
        ]
        return 200, encode_commands(1, orders), {}


def leaders(wanted: Callable[[list[bytes]], bool]) -> list[int]:
    """Processes that lead their group and whose arguments are wanted: what a supervisor or a cloud has
    started, not what that has forked.
    """
    out = []
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            argv = (folder / "cmdline").read_bytes().split(b"\0")
            leads = os.getpgid(int(folder.name)) == int(folder.name)
        except OSError:
            continue
        if leads and wanted(argv):
            out.append(int(folder.name))
    return out


def state_service() -> tuple[StateService, str]:
    """A state service in this process."""
    service, addr = StateService(None, 1e6, 1e6, 16, 16), f"127.0.0.1:{free_port()}"
    host, _, port = addr.rpartition(":")
    Server(service.handle).listen(host, int(port))
    return service, addr


def archive_node(root: Path, name: str, state: str, **more: object) -> Service:
    """An archive node's process."""
    base: dict[str, object] = {
        "name": name,
        "bind": f"127.0.0.1:{free_port()}",
        "directory": str(root / name / "data"),
        "state": state,
        "copies": 2,
        "durable_on": 2,
        "lease_s": 2.0,
        "patience_s": 1.0,
        "reserve_mb": 0,
        "repair_pause_s": 0.5,
        "upkeep_pause_s": 0.3,
        "state_rps": 100,
        "state_write_rps": 50,
    }
    return Service("archive", root / name, {**base, **more})


def agent(root: Path, name: str, boss: str, archives: list[str], **more: object) -> Service:
    """An agent's process."""
    base: dict[str, object] = {
        "machine": name,
        "bind": f"127.0.0.1:{free_port()}",
        "directory": str(root / name / "agent"),
        "nodes": {"boss": boss},
        "type": "any",
        "cpus": 64,
        "memory_gb": 64,
        "archives": archives,
        "report_s": 0.5,
        "lease_s": 20,
        "ship_ms": 50,
        "chunk_kb": 64,
        "keep_s": 1.0,
    }
    return Service("worker", root / name, {**base, **more})


def say(result: dict) -> int:
    """Print the one line; the exit code is 1 if anything is in ``wrong``."""
    print(msgspec.json.encode(result).decode(), flush=True)
    return 1 if result.get("wrong") else 0
