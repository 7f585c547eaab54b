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


def walk(
    first: S,
    steps: Callable[[S], list[S]],
    wrong: Callable[[S], str],
    further: Callable[[S], bool] = lambda s: True,
) -> tuple[int, str]:
    """All states that can be reached, of those that can still go wrong (``further``): how many there are, and
    what is wrong in the first that is.
    """
    seen, todo = {first}, deque([first])
    while todo:
        for after in steps(todo.popleft()):
            if after in seen:
                continue
            if found := wrong(after):
                return len(seen), found
            seen.add(after)
            if further(after):
                todo.append(after)
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


class Ledger:
    """The state service's transactions, in memory."""

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[bytes, int]] = {}
        self.log: list[tuple[int, str, bytes | None]] = []

    def txn(self, conditions: dict[str, int], puts: dict[str, Any], deletes: list[str] | None = None) -> Any:
        """Apply a transaction; return the new revision, or the keys whose conditions failed."""
        failed = [k for k, v in conditions.items() if self.keys.get(k, (b"", 0))[1] != v]
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

    def feed(self, view: Replica, now_us: int = 0) -> set[str]:
        """Bring a replica up to date; return the keys that changed."""
        changed = set()
        for version, key, raw in self.log:
            if version > view.revision and (
                view.put(key, version, raw, now_us) if raw is not None else view.delete(key, version)
            ):
                changed.add(key)
        view.revision = self.revision
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


class World:
    """A shard with its owner, the in-memory state service and a clock."""

    def __init__(self, ledger: Ledger | None = None, **changes: Any) -> None:
        self.ledger = ledger or Ledger()
        self.view = Replica()
        self.now = 1000 * SECOND_US
        self.config = config(**changes)
        self.last_sequences: dict[str, int] = {}
        self.last_reported_us: dict[str, int] = {}
        self.take_over()

    def take_over(self) -> ShardOwner:
        """Replace the owner by a new one that claims the shard."""
        version = self.view.version_of("part/0")
        revision = self.ledger.txn({"part/0": version}, {"part/0": LeaseHolderRecord("n0")})
        self.ledger.feed(self.view, self.now)
        self.owner = ShardOwner(0, revision, self.view, TYPES, self.config, self.now, self.now)
        return self.owner

    def put(self, key: str, value: Any) -> None:
        """Write a key as another node would."""
        self.ledger.txn({}, {key: value})
        self.catch_up()

    def catch_up(self) -> None:
        """Read all changes into the owner's replica, and notify the owner."""
        for key in self.ledger.feed(self.view, self.now):
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
        mtype: str = "small",
        zone: str = "a",
        notice: int | None = None,
        sequence: int = 0,
    ) -> list[Command]:
        """Deliver a heartbeat of a machine; return the commands of its answer."""
        silence_us = self.now - self.last_reported_us.get(machine, self.now)
        self.last_reported_us[machine] = self.now
        if silence_us > 4 * self.config.report_us and not sequence:
            # Workers report continuously: an extra heartbeat first confirms the answers to earlier ones.
            self.report(machine, *tasks, token=token, session=session, mtype=mtype, zone=zone, notice=notice)
        self.last_sequences[machine] = sequence or self.last_sequences.get(machine, 0) + 1
        heartbeat = Heartbeat(
            machine,
            "127.0.0.1:1",
            mtype,
            zone,
            False,
            session,
            self.last_sequences[machine],
            self.owner.fencing_token if token is None else token,
            notice,
            [TaskStatus(*t) for t in tasks],
        )
        reported_machine = self.owner.on_heartbeat(heartbeat, self.now, self.now)
        if reported_machine is None:
            return []
        commands = self.owner.commands_for(reported_machine)
        self.owner.on_heartbeat_answered(reported_machine, self.now)
        return commands

    def machine(self, name: str, mtype: str = "small", zone: str = "a") -> None:
        """Add a machine that is up and recorded and has the owner's token."""
        self.report(name, mtype=mtype, zone=zone)
        self.commit()

    def step(self) -> ShardActions:
        """Run a pass of the owner."""
        return self.owner.run_pass(self.now, self.now)

    def commit(self) -> ShardActions:
        """Commit all pending writes; return the actions that the commits permit."""
        actions = ShardActions()
        while batch := self.owner.gather_commit(self.now, self.now):
            values = {k: v for k, (v, _) in batch.puts.items()}
            outcome = self.ledger.txn(batch.preconditions, values, batch.deletes)
            if isinstance(outcome, int):
                self.owner.on_committed(batch, outcome, actions)
                self.catch_up()
            else:
                self.catch_up()
                self.owner.on_rejected(batch, self.now, self.now, unchanged=False)
        return actions

    def run(self) -> ShardActions:
        """Run a pass of the owner, then commit; return the actions of the commits."""
        self.step()
        return self.commit()

    def later(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += int(seconds * SECOND_US)

    def place_one(self) -> tuple[str, str, int]:
        """Place one task on the only machine; return the machine, task and attempt of its start."""
        self.machine("m0")
        self.submit(spec(tasks=1))
        (start,) = self.starts(self.run())
        return start

    def starts(self, actions: ShardActions) -> set[tuple[str, str, int]]:
        """Return the machine, task and attempt of each direct start."""
        return {
            (machine, command.task, command.attempt)
            for machine, commands in actions.commands.items()
            for command in commands
            if command.action == CommandAction.START
        }


def machine_rec(mtype: str = "small", zone: str = "a", spot: bool = False) -> MachineRecord:
    """Return the record of a machine."""
    return MachineRecord(mtype, zone, spot, "127.0.0.1:1")
