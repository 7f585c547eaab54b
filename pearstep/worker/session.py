"""A worker's side of the protocol as a state machine without input or output.

It is told what came and what time it is, and returns what to do. Sockets, processes and files are the
agent's.

Source: PROTOCOL, "Workers -> controller nodes", "Controller nodes -> workers", "Gangs".
"""

from __future__ import annotations

import random

import msgspec

from pearstep.domain.state_machine import TransitionTable
from pearstep.protocol.agent_messages import DirectCommands, HeartbeatAnswer, ReceivedCommand
from pearstep.protocol.controller_messages import HeartbeatMessage, TaskStatusMessage

SEEKING = "seeking"  # no node has answered this session yet, or the last one did not
SERVED = "served"
ENDING = "ending"  # the lease is over: what runs is being killed, and nothing is reported before it is gone

SESSION = TransitionTable(
    "session", {SEEKING: (SERVED, ENDING), SERVED: (SEEKING, ENDING), ENDING: (SEEKING,)}
)

FETCHING, WAITING, RUNNING, SAVING, EXITED = "fetching", "waiting", "running", "saving", "exited"

TASK = TransitionTable(
    "task on a worker",
    {
        FETCHING: (WAITING, RUNNING, EXITED),
        WAITING: (RUNNING, EXITED),
        RUNNING: (SAVING, EXITED),
        SAVING: (EXITED,),
        EXITED: (),
    },
)

HALF_SECOND = 500_000
SECOND = 1_000_000
ANSWER_US = 4_000_000


class Effect(msgspec.Struct, frozen=True):
    """Something that the agent is to do for a task.

    It is one of ``fetch`` its description, ``gather`` its gang, ``start`` it, ``save`` (tell it to save and
    end), ``kill`` it, or ``forget`` it.
    """

    what: str
    task: str
    attempt: int


class Held(msgspec.Struct):
    """A task that this worker has. ``cpus`` and so on are 0 until its description is known."""

    task: str
    attempt: int
    state: str = FETCHING
    why: str | None = None
    saved: bool | None = None
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    gang: bool = False
    saves: bool = False
    save_us: int = 0
    since_us: int = 0
    halted_us: int | None = None
    killed: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Task and attempt."""
        return self.task, self.attempt


class Machine(msgspec.Struct, frozen=True):
    """What this machine is."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float


class Timing(msgspec.Struct, frozen=True):
    """The deployment's times, in microseconds."""

    report_us: int
    lease_us: int
    gang_wait_us: int
    gang_peer_us: int


class Session:
    """One worker. ``number`` is the session's; a new one begins when the lease is over."""

    def __init__(
        self,
        machine: Machine,
        timing: Timing,
        nodes: dict[str, str],
        number: int,
        now_us: int,
        rng: random.Random,
    ) -> None:
        """Create the session ``number`` of a machine that talks to the controller nodes in ``nodes``."""
        self.machine = machine
        self.timing = timing
        self.nodes = dict(nodes)
        self.order = sorted(nodes)
        self.rng = rng
        self.state = SEEKING
        self.number = number
        self.seq = 0
        self.token = 0
        self.notice_us: int | None = None
        self.tasks: dict[tuple[str, int], Held] = {}
        self.node = rng.choice(self.order)
        self.base_us = now_us
        self.sent_us = -(1 << 60)
        self.flight: tuple[int, int] | None = None  # session and sending time of the report under way
        self.next_us = now_us
        self.changed = False
        self.token_said_us = -(1 << 60)

    # -- reports ---------------------------------------------------------------------------------

    def wake_us(self) -> int:
        """When something is due next."""
        due = self.next_us
        if self.changed:
            due = min(due, self.sent_us + HALF_SECOND)
        if self.flight is not None or self.state == ENDING:
            due = 1 << 62
        waits = [h.since_us + self.timing.gang_wait_us for h in self.tasks.values() if h.state == WAITING]
        return min([due, self.base_us + self.timing.lease_us, *waits])

    def report(self, now_us: int) -> tuple[str, HeartbeatMessage] | None:
        """The report to send now and the address to send it to, if one is due. One is under way at a time."""
        if self.state == ENDING or self.flight is not None:
            return None
        due = now_us >= self.next_us or (self.changed and now_us >= self.sent_us + HALF_SECOND)
        if not due or now_us < self.sent_us + HALF_SECOND:
            return None
        self.flight = (self.number, now_us)
        self.sent_us = now_us
        self.changed = False
        pause = int(self.timing.report_us * self.rng.uniform(0.75, 1.25))
        self.next_us = now_us + pause
        return self.nodes[self.node], self.snapshot(now_us)

    def snapshot(self, now_us: int) -> HeartbeatMessage:
        """All that the worker has, as the newest message."""
        self.seq += 1
        m = self.machine
        notice = None if self.notice_us is None else max(self.notice_us - now_us, 0) / 1e6
        return HeartbeatMessage(
            m.name,
            m.addr,
            m.type,
            m.zone,
            m.spot,
            self.number,
            self.seq,
            self.token,
            [TaskStatusMessage(h.task, h.attempt, h.state, h.why, h.saved) for h in self.tasks.values()],
            notice,
        )

    def answered(self, status: int, answer: HeartbeatAnswer, now_us: int) -> list[Effect]:
        """The answer to the report under way; status 0 if there was none within 4 s."""
        if self.flight is None:
            return []
        number, sent = self.flight
        self.flight = None
        if number != self.number or self.state == ENDING:
            return []
        if status == 200:
            SESSION.transition(self, SERVED)
            if answer.fencing_token < self.token or answer.fencing_token == 0 or now_us - sent > ANSWER_US:
                return []  # not entitled, or too old: dropped, and the lease runs on
            self._raise_token(answer.fencing_token, now_us)
            self.base_us = sent
            return self._execute(answer.commands, now_us)
        SESSION.transition(self, SEEKING)
        if status == 421 and answer.node in self.nodes and answer.node != self.node:
            self.node = answer.node
            self.next_us = max(now_us, self.sent_us) + self.rng.randrange(HALF_SECOND)
            self.sent_us = min(self.sent_us, now_us - HALF_SECOND)
        else:
            at = self.order.index(self.node)
            self.node = self.order[(at + 1) % len(self.order)]
            self.next_us = now_us + SECOND
            self.changed = False
        return []

    def commands(self, commands: DirectCommands, now_us: int) -> tuple[int, list[Effect]]:
        """Commands sent straight here: status, and what to do."""
        if self.state == ENDING or commands.incarnation != self.number or commands.fencing_token < self.token:
            return 409, []
        self._raise_token(commands.fencing_token, now_us)
        return 200, self._execute(commands.commands, now_us)

    def _raise_token(self, token: int, now_us: int) -> None:
        if token > self.token:
            self.token = token
            if now_us - self.token_said_us >= self.timing.lease_us // 2:
                self.token_said_us = now_us
                self.changed = True

    # -- commands --------------------------------------------------------------------------------

    def _execute(self, orders: list[ReceivedCommand], now_us: int) -> list[Effect]:
        out: list[Effect] = []
        for order in orders:
            held = self.tasks.get((order.task, order.attempt))
            if order.op == "start" and held is None:
                out += self._begin(order, now_us)
            elif order.op == "stop" and held is not None:
                out += self._stop(held, int(order.grace_s * 1e6), now_us)
            elif order.op == "forget" and held is not None and held.state == EXITED:
                del self.tasks[held.key]
                self.changed = True
                out.append(Effect("forget", *held.key))
        return out

    def _begin(self, order: ReceivedCommand, now_us: int) -> list[Effect]:
        held = Held(order.task, order.attempt, since_us=now_us)
        busy = any(h.task == order.task and h.state != EXITED for h in self.tasks.values())
        self.tasks[held.key] = held
        self.changed = True
        if busy:
            self._exit(held, "busy")
            return []
        return [Effect("fetch", *held.key)]

    def _stop(self, held: Held, grace_us: int, now_us: int) -> list[Effect]:
        if held.state in (FETCHING, WAITING):
            self._exit(held, "stopped")
            return [Effect("kill", *held.key)]
        if held.state == RUNNING and held.saves and grace_us >= held.save_us and not held.killed:
            held.halted_us = now_us
            self._move(held, SAVING)
            return [Effect("save", *held.key)]
        if held.state == RUNNING or (held.state == SAVING and grace_us == 0):
            held.halted_us = now_us if held.halted_us is None else held.halted_us
            held.killed = True
            return [Effect("kill", *held.key)]
        return []

    # -- what the agent tells --------------------------------------------------------------------

    def described(  # noqa: PLR0913 - one parameter for each fact; to be one message
        self,
        key: tuple[str, int],
        need: tuple[float, float, float] | None,
        gang: bool,
        saves: bool,
        save_us: int,
        done: bool,
        now_us: int,
    ) -> list[Effect]:
        """Take in that the description of a task is here.

        ``need`` is CPUs, GPUs and GB, or None if there is no such job; ``done`` says that the task's result
        is kept already.
        """
        held = self.tasks.get(key)
        if held is None or held.state != FETCHING:
            return []
        if need is None:
            self._exit(held, "unknown")
            return []
        if done:
            self._exit(held, "done")
            return []
        m = self.machine
        others = [h for h in self.tasks.values() if h.state != EXITED and h is not held]
        fits = (
            sum(h.cpus for h in others) + need[0] <= m.cpus
            and sum(h.gpus for h in others) + need[1] <= m.gpus
            and sum(h.memory_gb for h in others) + need[2] <= m.memory_gb
        )
        if not fits:
            self._exit(held, "no_room")
            return []
        held.cpus, held.gpus, held.memory_gb = need
        held.gang, held.saves, held.save_us = gang, saves, save_us
        if gang:
            held.since_us = now_us
            self._move(held, WAITING)
            return [Effect("gather", *key)]
        self._move(held, RUNNING)
        return [Effect("start", *key)]

    def gathered(self, key: tuple[str, int]) -> list[Effect]:
        """All tasks of the gang are there."""
        held = self.tasks.get(key)
        if held is None or held.state != WAITING:
            return []
        self._move(held, RUNNING)
        return [Effect("start", *key)]

    def exited(self, key: tuple[str, int], why: str, saved: bool | None = None) -> None:
        """The task has ended, and its processes are gone."""
        held = self.tasks.get(key)
        if held is not None and held.state != EXITED:
            self._exit(held, why, saved)

    def notice(self, at_us: int) -> None:
        """The cloud will take this machine away."""
        self.notice_us = at_us
        self.changed = True

    # -- time ------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> list[Effect]:
        """What time alone brings: the end of the lease, and gangs that did not come together."""
        out: list[Effect] = []
        if self.state != ENDING and now_us - self.base_us > self.timing.lease_us:
            SESSION.transition(self, ENDING)
            out = [Effect("kill", *h.key) for h in self.tasks.values() if h.state != EXITED]
            out += [Effect("forget", *h.key) for h in self.tasks.values()]
            self.tasks.clear()
            return out
        for held in self.tasks.values():
            if held.state == WAITING and now_us - held.since_us >= self.timing.gang_wait_us:
                self._exit(held, "alone")
                out.append(Effect("kill", *held.key))
        return out

    def all_gone(self, number: int, now_us: int) -> None:
        """Nothing of the ended session runs any more, and the next one's number is on disk."""
        SESSION.transition(self, SEEKING)
        self.number = number
        self.seq = 0
        self.base_us = now_us
        self.next_us = now_us
        self.flight = None
        self.changed = True

    # -- changes of a task's state ---------------------------------------------------------------

    def _move(self, held: Held, to: str) -> None:
        TASK.transition(held, to)
        self.changed = True

    def _exit(self, held: Held, why: str, saved: bool | None = None) -> None:
        held.why, held.saved = why, saved
        self._move(held, EXITED)
