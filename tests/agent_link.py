"""Test harness: an agent's session and its owner's gateway, joined by the messages that they really send.

Each direct command that the agent gets is kept, so that a copy of it can arrive once more.
"""

from __future__ import annotations

import asyncio
import inspect
import random
from collections.abc import Callable
from types import SimpleNamespace

from pearstep.controller.agent_gateway import AgentGateway
from pearstep.domain.job_state import JobState
from pearstep.protocol.agent_messages import (
    decode_direct_commands,
    decode_heartbeat_answer,
    encode_heartbeat,
)
from pearstep.shard.commands import ShardActions
from pearstep.state.records import JobRecord, RouteRecord
from pearstep.worker.session import Effect, Machine, Session, Timing
from tests.world import SMALL, ShardHarness, spec

MACHINE, NODE = "m0", "n0"
TaskKey = tuple[str, int]


class LinkedAgent:
    """An agent of one machine and the owner of its shard; every message is encoded and decoded.

    Attributes:
        world: The shard, its owner and the state service.
        session: The agent's session.
        running: The attempts that run on the machine.
        starts: The attempts that began to run, in order.
        commands: The direct commands that were sent to the agent, as encoded.
        answers: The agent's answers to them, as status and body.
    """

    def __init__(self) -> None:
        self.world = ShardHarness()
        self.running: set[TaskKey] = set()
        self.starts: list[TaskKey] = []
        self.commands: list[bytes] = []
        self.answers: list[tuple[int, bytes]] = []
        # Called once, after a direct command has left and before it arrives.
        self.before_delivery: Callable[[], None] | None = None
        self.begin_life()
        self.owners = {0: self.world.owner}
        self.gateway = AgentGateway(
            self,  # type: ignore[arg-type]
            self.world.replica,
            self.owners,
            NODE,
            1,
            [],
            self.now,
            self.now,
            lambda: None,
        )
        self.heartbeat()
        self.commit()

    def now(self) -> int:
        """Return the time of every clock."""
        return self.world.now

    def begin_life(self) -> None:
        """Start the agent with nothing on its machine, counting sessions, messages and tokens anew."""
        config = self.world.config
        machine = Machine(MACHINE, "127.0.0.1:1", SMALL.name, "a", False, SMALL.cpus, 0, SMALL.memory_gb)
        timing = Timing(config.report_us, config.lease_us, config.lease_us, config.report_us)
        self.running.clear()
        self.session = Session(machine, timing, {NODE: NODE}, 1, self.now(), random.Random(1))

    # -- messages --------------------------------------------------------------------------------

    async def fetch(self, addr, method, path, body=None, timeout_s=4.0):  # type: ignore[no-untyped-def]
        """Deliver a direct command, as the gateway's HTTP client."""
        content = body() if callable(body) else body
        self.commands.append(content)
        hook, self.before_delivery = self.before_delivery, None
        if hook is not None:
            await asyncio.to_thread(hook)
        self.answers.append(self.deliver(content))
        return self.answers[-1]

    def deliver(self, content: bytes) -> tuple[int, bytes]:
        """Let a direct command arrive, also once more; return the agent's answer."""
        status, effects = self.session.commands(decode_direct_commands(content), self.now())
        self._perform(effects)
        return status, encode_heartbeat(self.session.snapshot(self.now()))

    def deliver_copies(self) -> None:
        """Let every direct command arrive once more."""
        for content in list(self.commands):
            self.deliver(content)

    def heartbeat(self, answered: bool = True) -> None:
        """Send a heartbeat after the usual pause, and handle its answer."""
        self.world.advance_clock(3)
        due = self.session.report(self.now())
        if due is None:
            return
        status, body = self.answer_of(encode_heartbeat(due[1]))
        status = status if answered else 0
        self._perform(self.session.answered(status, decode_heartbeat_answer(body), self.now()))

    def answer_of(self, content: bytes) -> tuple[int, bytes]:
        """Return the controller's answer to a heartbeat, also to a copy."""

        async def answer() -> tuple[int, bytes]:
            found = self.gateway.handle_heartbeat(SimpleNamespace(method="POST", body=content))  # type: ignore[arg-type]
            status, body, _ = await found if inspect.isawaitable(found) else found
            return status, body

        return asyncio.run(answer())

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            key = (effect.task, effect.attempt)
            if effect.what == "fetch":
                needs = (10.0, 0.0, 8.0)
                self._perform(self.session.described(key, needs, False, False, 0, False, self.now()))
            elif effect.what == "start":
                self.running.add(key)
                self.starts.append(key)
            elif effect.what in ("kill", "forget"):
                self.end(key, "stopped")

    def end(self, key: TaskKey, cause: str) -> None:
        """End a task that runs."""
        self.running.discard(key)
        self.session.exited(key, cause)

    # -- the owner -------------------------------------------------------------------------------

    def commit(self) -> None:
        """Run a pass of the owner, commit, and send the direct commands of both."""
        self.send(self.world.run_pass())
        self.send(self.world.commit())

    def send(self, actions: ShardActions) -> None:
        """Send direct commands through the gateway."""

        async def send() -> None:
            self.gateway.send_commands(self.world.owner, actions)
            while len(asyncio.all_tasks()) > 1:
                await asyncio.sleep(0)

        asyncio.run(send())

    def take_over(self) -> None:
        """Replace the owner by one that claims the shard anew, as after the end of its controller."""
        self.owners[0] = self.world.take_over()

    # -- users and the leader --------------------------------------------------------------------

    def run_task(self) -> TaskKey:
        """Submit a job of one task, which is started directly; return its attempt."""
        self.world.submit(spec(tasks=1))
        self.commit()
        return self.starts[-1]

    def move_task(self) -> None:
        """Give the task to another shard."""
        self.world.put("r/0/req-1", RouteRecord(""))

    def cancel_job(self) -> None:
        """Cancel the job."""
        self.world.put("j/req-1", JobRecord(spec(tasks=1), self.now(), JobState.CANCELLED, self.now()))

    def knows(self, key: TaskKey) -> bool:
        """Return whether the agent still remembers an attempt."""
        return key in self.session.tasks
