"""Inputs and outputs of a shard owner: settings, heartbeats, commands and other actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from pearstep.domain.scheduling_order import StartObjectives
from pearstep.domain.units import SECOND_US
from pearstep.state.transactions import CONDITIONS_PER_OPERATION, TransactionLimits

IMMEDIATE_DRAIN_REASONS = ("lost", "stuck", "deaf")


class CommandAction(StrEnum):
    """Actions that a worker can be told to perform on a task."""

    START = "start"
    STOP = "stop"
    FORGET = "forget"


class Command(NamedTuple):
    """A command for a worker.

    Attributes:
        action: The action to perform.
        task: Name of the task.
        attempt: Number of the attempt.
        grace_s: For a stop, the seconds that the task has to save its work; otherwise None.
    """

    action: CommandAction
    task: str
    attempt: int
    grace_s: float | None = None


@dataclass
class ShardOwnerConfig:
    """Settings of a shard owner.

    Attributes:
        shard_count: Number of shards.
        zone: Zone of this node.
        lease_us: How long a worker's session lasts without an answer.
        report_us: Time between two heartbeats of a machine.
        cancel_us: Time within which the tasks of a cancelled job must have ended.
        queue_bounds_us: Upper bounds of the backfill queues' run times.
        initial_delay_us: First value of the adaptive delay.
        delay_batch_size: Completed jobs after which the delay is adapted.
        delay_threshold: Relative change of the mean slowdown at which the delay is changed.
        overrun_share: Expected remaining run time of a task past its estimate, as a share of its run time so
            far.
        machine_silence_us: Silence after which a machine is replaced.
        faulty_machine_errors: Jobs that failed on a machine, or failures of jobs proven good, after which it
            is faulty.
        suspect_machines: Number of machines on which a job must fail to be considered suspect.
        value_bytes: Size of the largest value of the state service.
        txn_ops: Maximum number of changes in one transaction.
        urgent_classes: Job classes whose work is urgent (see ``QueuedWork``).
        start_objectives: Times within which jobs of a class should start, by class.
        accelerator_penalty_us: Image fetch time that is accepted to keep a machine with accelerators free of
            tasks that need none.
        first_start_within_us: Time after submission within which every job should start; 0 for no limit.
        shards_within_zones: Whether shards keep to their zones.
        txn_conditions: Maximum number of conditions in a transaction; 0 for the protocol's limit for
            ``txn_ops``.
    """

    shard_count: int
    zone: str
    lease_us: int
    report_us: int
    cancel_us: int
    queue_bounds_us: list[int]
    initial_delay_us: int
    delay_batch_size: int
    delay_threshold: float
    overrun_share: float
    machine_silence_us: int
    faulty_machine_errors: int
    suspect_machines: int
    value_bytes: int
    txn_ops: int
    urgent_classes: frozenset[str] = frozenset()
    start_objectives: StartObjectives = field(default_factory=dict)
    accelerator_penalty_us: int = 4 * SECOND_US
    first_start_within_us: int = 0
    shards_within_zones: bool = False
    txn_conditions: int = 0

    @property
    def transaction_limits(self) -> TransactionLimits:
        """Return the limits of a group commit."""
        conditions = self.txn_conditions or CONDITIONS_PER_OPERATION * self.txn_ops
        return TransactionLimits(self.txn_ops, conditions, self.value_bytes)


@dataclass
class TaskStatus:
    """A task in a heartbeat.

    Attributes:
        name: Name of the task.
        attempt: Number of the attempt.
        state: State reported by the worker: fetching, running, saving or exited, as on the wire.
        cause: Why it exited; None before that.
        saved: Whether it saved before it exited.
    """

    name: str
    attempt: int
    state: str
    cause: str | None = None
    saved: bool = False


@dataclass
class Heartbeat:
    """A heartbeat of a machine.

    Attributes:
        machine: Name of the machine.
        address: Where its worker takes direct commands.
        type: Name of its machine type.
        zone: Its zone.
        spot: Whether the cloud may reclaim it.
        incarnation: Number of the worker's session.
        sequence: Number of the message in the session.
        fencing_token: The latest token that the worker has seen.
        reclaim_notice_us: Time until the cloud reclaims the machine; None without a notice.
        tasks: The tasks on the machine.
    """

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    incarnation: int
    sequence: int
    fencing_token: int
    reclaim_notice_us: int | None
    tasks: list[TaskStatus] = field(default_factory=list)


@dataclass
class ShardActions:
    """Actions that the owner requests from its node.

    Attributes:
        commands: Direct commands by machine; an empty list is a probe.
        machines_to_delete: Names of the machines to delete in the cloud.
    """

    commands: dict[str, list[Command]] = field(default_factory=dict)
    machines_to_delete: list[str] = field(default_factory=list)

    def send(self, machine: str, command: Command) -> None:
        """Add a direct command for a machine."""
        self.commands.setdefault(machine, []).append(command)

    def probe(self, machine: str) -> None:
        """Add an empty direct command, which delivers the fencing token and returns a heartbeat."""
        self.commands.setdefault(machine, [])


@dataclass(frozen=True)
class UnwritableKey:
    """A key that can't be written to the state service as it is.

    Attributes:
        key: The key that is not written.
        reason: Why it can't be written and how it is handled, for the log.
    """

    key: str
    reason: str


def parse_task_name(name: str) -> tuple[str, int]:
    """Return the job and number in a task's name; number -1 if there is none."""
    job_id, _, number = name.partition("/")
    return job_id, int(number) if number.isdigit() else -1
