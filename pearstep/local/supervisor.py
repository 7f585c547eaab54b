"""Keeps the processes of a cluster on one machine: starts them in order, starts anew what ends, ends all."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import structlog

from pearstep.domain.state_machine import TransitionTable
from pearstep.local.layout import FEDERATION, HISTORY, Cluster, write_settings
from pearstep.transport.clock import now_us
from pearstep.transport.http import Client

log = structlog.get_logger("pearstep.up")

DOWN = "down"
STARTING = "starting"
UP = "up"
WAITING = "waiting"  # ended by itself; it is started anew after a pause that grows
ENDED = "ended"

CHILD = TransitionTable(
    "child",
    {
        DOWN: (STARTING,),
        STARTING: (UP, WAITING, ENDED),
        UP: (WAITING, ENDED),
        WAITING: (STARTING, ENDED),
        ENDED: (STARTING,),
    },
)
FIRST_PAUSE_US, LONGEST_PAUSE_US = 500_000, 10_000_000
# One that ran this long has earned a short pause again.
STEADY_US = 20_000_000


class Child:
    """One process: how it is started and when again."""

    def __init__(self, name: str, argv: list[str], addr: str, ready: str) -> None:
        """Describe a process that is not started yet; the path ``ready`` at ``addr`` tells when it is."""
        self.name = name
        self.argv = argv
        self.addr = addr
        self.ready = ready
        self.state = DOWN
        self.process: subprocess.Popen[bytes] | None = None
        self.pause_us = FIRST_PAUSE_US
        self.since_us = 0

    def ended(self, now: int) -> None:
        """It ended by itself."""
        self.pause_us = (
            FIRST_PAUSE_US if now - self.since_us > STEADY_US else min(self.pause_us * 2, LONGEST_PAUSE_US)
        )
        self.since_us = now
        CHILD.transition(self, WAITING)

    def due(self, now: int) -> bool:
        """Whether it is to be started now."""
        return self.state == DOWN or (self.state == WAITING and now - self.since_us >= self.pause_us)


class Supervisor:
    """All processes of one folder."""

    def __init__(self, root: Path, cluster: Cluster) -> None:
        """Write the settings of all processes below ``root`` and list the processes; none is started yet."""
        self.root = root
        write_settings(root, cluster)
        conf = root / "conf"
        me = [sys.executable, "-m", "pearstep"]
        more = ["--history", str(conf / HISTORY)]
        more += ["--federation", str(conf / FEDERATION)] if cluster.site else []
        self.children = [
            Child("state", [*me, "standin", "state", str(conf / "state.yaml")], cluster.state, "/kv?limit=1"),
            Child("cloud", [*me, "standin", "cloud", str(conf / "cloud.yaml")], cluster.cloud, "/flavors"),
            *(
                Child(n, [*me, "archive", "--config", str(conf / f"{n}.yaml")], a, "/ready")
                for n, a in cluster.archives.items()
            ),
            *(
                Child(n, [*me, "node", "--config", str(conf / f"{n}.toml"), *more], a, "/ready")
                for n, a in cluster.nodes.items()
            ),
        ]
        (root / "logs").mkdir(exist_ok=True)
        self.client = Client(20)

    def start(self, child: Child) -> None:
        """Start one process; its output goes to its log."""
        with open(self.root / "logs" / f"{child.name}.log", "ab") as out:
            child.process = subprocess.Popen(
                child.argv,
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
                cwd=Path(__file__).resolve().parents[2],
            )
        child.since_us = now_us()
        CHILD.transition(child, STARTING)

    async def bring_up(self, patience_s: float = 30.0) -> list[str]:
        """Start everything and wait until it is ready; names of those that are not."""
        for child in self.children:
            self.start(child)
        until = now_us() + int(patience_s * 1e6)
        while now_us() < until:
            await self.step()
            if all(c.state == UP for c in self.children):
                return []
            await asyncio.sleep(0.1)
        return [c.name for c in self.children if c.state != UP]

    async def step(self) -> None:
        """Look at every process once."""
        now = now_us()
        for child in self.children:
            if (
                child.state in (STARTING, UP)
                and child.process is not None
                and child.process.poll() is not None
            ):
                log.warning(
                    "ended", process=child.name, code=child.process.returncode, log=f"logs/{child.name}.log"
                )
                child.ended(now)
            elif child.due(now):
                self.start(child)
            elif child.state == STARTING:
                status, _ = await self.client.fetch(child.addr, "GET", child.ready, timeout_s=1.0)
                if status == 200:
                    CHILD.transition(child, UP)

    async def watch(self) -> None:
        """Until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(0.3)

    def end(self) -> None:
        """End all that was started, those first that act on others."""
        for child in reversed(self.children):
            if child.state in (STARTING, UP) and child.process is not None and child.process.poll() is None:
                # The cloud ends its machines itself when it is asked to.
                os.killpg(child.process.pid, signal.SIGTERM)
                try:
                    child.process.wait(15)
                except subprocess.TimeoutExpired:
                    os.killpg(child.process.pid, signal.SIGKILL)
                    child.process.wait()
            if child.state != DOWN:
                CHILD.transition(child, ENDED)
