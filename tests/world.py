"""Test harness for shard owners: an in-memory state service, and machines that send heartbeats."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.shard.commands import (
    Command,
    CommandAction,
    Heartbeat,
    ShardActions,
    ShardOwnerConfig,
    TaskStatus,
)
from pearstep.shard.owner import ShardOwner
from pearstep.state.records import JobRecord, LeaseHolderRecord, MachineRecord, RouteRecord
from pearstep.state.replica import Replica

SMALL = MachineType("small", 32, 0, 128, 60, 0.5, 2.0, 0.6, 15 * SECOND_US, ("a", "b"))
BIG = MachineType("big", 96, 8, 384, 100, 1.0, 29.0, 12.0, 50 * SECOND_US, ("a", "b"))
TYPES = {"small": SMALL, "big": BIG}


S = TypeVar("S")


def explore_states(
    first: S,
    next_states: Callable[[S], list[S]],
    find_violation: Callable[[S], str],
    may_continue: Callable[[S], bool] = lambda s: True,
) -> tuple[int, str]:
    """Explore all states reachable from ``first``, breadth first.

    Args:
        first: The initial state.
        next_states: Returns the states that follow a state.
        find_violation: Returns the violation in a state, or an empty string.
        may_continue: Whether a violation is still possible after a state; if not, exploration stops there.

    Returns:
        How many states were seen, and the first violation or an empty string.
    """
    seen, unexplored = {first}, deque([first])
    while unexplored:
        for state in next_states(unexplored.popleft()):
            if state in seen:
                continue
            if violation := find_violation(state):
                return len(seen), violation
            seen.add(state)
            if may_continue(state):
                unexplored.append(state)
    return len(seen), ""


def spec(job_id: str = "req-1", **changes: Any) -> JobSpec:
    """Return the spec of an array of two tasks, with the given changes."""
    values: dict[str, Any] = dict(
        job_id=job_id,
        job_class="c",
        team="t",
        kind="array",
        priority=2,
        tasks=2,
        cpus=10.0,
        gpus=0.0,
        memory_gb=8.0,
        image="img",
        image_gb=1.0,
        estimate_us=60 * SECOND_US,
        checkpoint_us=10 * SECOND_US,
        save_us=2 * SECOND_US,
    )
    return JobSpec(**{**values, **changes})


class FakeKeyValueStore:
    """The state service's transactions, in memory."""

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[bytes, int]] = {}
        self.log: list[tuple[int, str, bytes | None]] = []

    def txn(self, conditions: dict[str, int], puts: dict[str, Any], deletes: list[str] | None = None) -> Any:
        """Apply a transaction; return the new revision, or the keys whose conditions failed."""
        failed = [key for key, version in conditions.items() if self.keys.get(key, (b"", 0))[1] != version]
        if failed:
            return failed
        self.revision += 1
        for key, value in puts.items():
            raw = msgspec.json.encode(value)
            self.keys[key] = (raw, self.revision)
            self.log.append((self.revision, key, raw))
        for key in deletes or ():
            if self.keys.pop(key, None):
                self.log.append((self.revision, key, None))
        return self.revision

    def update_replica(self, replica: Replica, now_us: int = 0) -> set[str]:
        """Bring a replica up to date; return the keys that changed."""
        changed = set()
        for version, key, raw in self.log:
            if version > replica.revision and (
                replica.put(key, version, raw, now_us) if raw is not None else replica.delete(key, version)
            ):
                changed.add(key)
        replica.revision = self.revision
        return changed


def config(**changes: Any) -> ShardOwnerConfig:
    """Return the settings of a shard owner, with the given changes."""
    values: dict[str, Any] = dict(
        shard_count=1,
        zone="a",
        lease_us=16 * SECOND_US,
        report_us=2 * SECOND_US,
        cancel_us=40 * SECOND_US,
        queue_bounds_us=[100 * SECOND_US, 1000 * SECOND_US, 10_000 * SECOND_US],
        initial_delay_us=20 * SECOND_US,
        delay_batch_size=100,
        delay_threshold=0.25,
        overrun_share=0.25,
        machine_silence_us=10 * SECOND_US,
        faulty_machine_errors=2,
        suspect_machines=3,
        value_bytes=16_384,
        txn_ops=12,
    )
    return ShardOwnerConfig(**{**values, **changes})


class ShardHarness:
    """A shard with its owner, the in-memory state service and a clock."""

    def __init__(self, ledger: FakeKeyValueStore | None = None, **changes: Any) -> None:
        self.ledger = ledger or FakeKeyValueStore()
        self.replica = Replica()
        self.now = 1000 * SECOND_US
        self.config = config(**changes)
        self.last_sequences: dict[str, int] = {}
        self.last_reported_us: dict[str, int] = {}
        self.take_over()

    def take_over(self) -> ShardOwner:
        """Replace the owner by a new one that claims the shard."""
        version = self.replica.version_of("part/0")
        revision = self.ledger.txn({"part/0": version}, {"part/0": LeaseHolderRecord("n0")})
        self.ledger.update_replica(self.replica, self.now)
        self.owner = ShardOwner(0, revision, self.replica, TYPES, self.config, self.now, self.now)
        return self.owner

    def put(self, key: str, value: Any) -> None:
        """Write a key as another node would."""
        self.ledger.txn({}, {key: value})
        self.catch_up()

    def catch_up(self) -> None:
        """Read all changes into the owner's replica, and notify the owner."""
        for key in self.ledger.update_replica(self.replica, self.now):
            kind, *path = key.split("/")
            if kind in "jrp":
                self.owner.on_job_changed(path[0] if kind == "j" else path[1], self.now, self.now)

    def submit(self, job: JobSpec, route: RouteRecord | None = None) -> None:
        """Accept a job and route all its tasks to this shard."""
        self.put(f"j/{job.job_id}", JobRecord(job, self.now))
        self.put(f"r/0/{job.job_id}", route or RouteRecord(f"0-{job.tasks - 1}"))

    def report(
        self,
        machine: str,
        *tasks: tuple[str, int, str] | tuple[str, int, str, str],
        token: int | None = None,
        session: int = 1,
        machine_type: str = "small",
        zone: str = "a",
        notice: int | None = None,
        sequence: int = 0,
    ) -> list[Command]:
        """Deliver a heartbeat of a machine; return the commands of its answer."""
        silence_us = self.now - self.last_reported_us.get(machine, self.now)
        self.last_reported_us[machine] = self.now
        if silence_us > 4 * self.config.report_us and not sequence:
            # Agents report continuously: an extra heartbeat first confirms the answers to earlier ones.
            self.report(
                machine,
                *tasks,
                token=token,
                session=session,
                machine_type=machine_type,
                zone=zone,
                notice=notice,
            )
        self.last_sequences[machine] = sequence or self.last_sequences.get(machine, 0) + 1
        heartbeat = Heartbeat(
            machine,
            "127.0.0.1:1",
            machine_type,
            zone,
            False,
            session,
            self.last_sequences[machine],
            self.owner.fencing_token if token is None else token,
            notice,
            [TaskStatus(*task) for task in tasks],
        )
        reported_machine = self.owner.on_heartbeat(heartbeat, self.now, self.now)
        if reported_machine is None:
            return []
        commands = self.owner.commands_for(reported_machine)
        self.owner.on_heartbeat_answered(reported_machine, self.now)
        return commands

    def add_machine(self, name: str, machine_type: str = "small", zone: str = "a") -> None:
        """Add a machine that is up and recorded and has the owner's token."""
        self.report(name, machine_type=machine_type, zone=zone)
        self.commit()

    def run_pass(self) -> ShardActions:
        """Run a pass of the owner."""
        return self.owner.run_pass(self.now, self.now)

    def commit(self) -> ShardActions:
        """Commit all pending writes; return the actions that the commits permit."""
        actions = ShardActions()
        while batch := self.owner.gather_commit(self.now, self.now):
            values = {key: value for key, (value, _) in batch.puts.items()}
            outcome = self.ledger.txn(batch.preconditions, values, batch.deletes)
            if isinstance(outcome, int):
                self.owner.on_committed(batch, outcome, actions)
                self.catch_up()
            else:
                self.catch_up()
                self.owner.on_rejected(batch, self.now, self.now, unchanged=False)
        return actions

    def run_and_commit(self) -> ShardActions:
        """Run a pass of the owner, then commit; return the actions of the commits."""
        self.run_pass()
        return self.commit()

    def advance_clock(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += int(seconds * SECOND_US)

    def place_one(self) -> tuple[str, str, int]:
        """Place one task on the only machine; return the machine, task and attempt of its start."""
        self.add_machine("m0")
        self.submit(spec(tasks=1))
        (start,) = self.starts(self.run_and_commit())
        return start

    def placed_attempts(self, job_id: str = "req-1") -> set[tuple[str, int]]:
        """Return the task and attempt of each placement that the records of a job have."""
        return {
            (f"{job_id}/{task}", placement.attempt)
            for chunk in self.replica.jobs[job_id].placements.values()
            for task, placement in chunk.record.placements.items()
        }

    def starts(self, actions: ShardActions) -> set[tuple[str, str, int]]:
        """Return the machine, task and attempt of each start command."""
        return {
            (machine, command.task, command.attempt)
            for machine, commands in actions.commands.items()
            for command in commands
            if command.action == CommandAction.START
        }


def machine_record(machine_type: str = "small", zone: str = "a", spot: bool = False) -> MachineRecord:
    """Return the record of a machine."""
    return MachineRecord(machine_type, zone, spot, "127.0.0.1:1")
