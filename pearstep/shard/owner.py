"""The owner of a shard, which alone sends commands to the shard's machines, after committing the decisions.

The owner is driven by heartbeats, committed changes and time. It returns actions and never blocks. Its data
are in a ``ShardState`` that its components share: ``HeartbeatHandler``, ``MachineLifecycle``,
``TaskPlacement`` and ``GroupCommitter``.
"""

from __future__ import annotations

from collections.abc import Collection

from pearstep.domain.attempt import TaskAttempt
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.shard.attempt_completion import AttemptCompletion
from pearstep.shard.commands import (
    Command,
    Heartbeat,
    ShardActions,
    ShardOwnerConfig,
    UnwritableKey,
    parse_task_name,
)
from pearstep.shard.group_commit import GroupCommitter
from pearstep.shard.heartbeats import HeartbeatHandler, started_attempts
from pearstep.shard.machine import Machine
from pearstep.shard.machine_lifecycle import MachineLifecycle
from pearstep.shard.placement_drafts import GroupCommit
from pearstep.shard.shard_state import ShardState
from pearstep.shard.task_placement import TaskPlacement
from pearstep.state.replica import Replica

# Interval between two placement passes if no change requires one earlier.
PASS_INTERVAL_US = SECOND_US


class ShardOwner:
    """Facade of a shard that this node owns: the interface of its owner for the rest of the controller.

    Attributes:
        state: The state of the shard, shared by the components below.
        completion: Records the ends of attempts.
        heartbeats: Handles heartbeats, and chooses the commands for their answers.
        lifecycle: Handles silence, drains, cancellations, withdrawn routes and gangs.
        placement: Places tasks on machines, and preempts others.
        committer: Writes changes in group commits.
        shard_id: Number of the shard.
        fencing_token: Version of the shard's key in the state service, on which each write is conditional.
        machines: The shard's machines by name.
        drafts: Working copies of placement records, by job and chunk.
        gangs: States of the gangs with tasks in this shard, by job.
        faults: Attribution of failures to machines and jobs.
        pending_writes: Records and conditions for the next group commits, by key; the record is None for a
            key to delete.
        jobs_to_finish: Time at which the end of a job that is complete by its records is written, by job.
        deleted_machines: Names of machines whose deletion the cloud has confirmed.
    """

    def __init__(  # noqa: PLR0913  the shard's inputs and both clocks
        self,
        shard_id: int,
        fencing_token: int,
        replica: Replica,
        machine_types: dict[str, MachineType],
        config: ShardOwnerConfig,
        now_us: int,
        wall_us: int,
    ) -> None:
        """Restore the shard from the records of ``replica``."""
        state = ShardState(shard_id, fencing_token, replica, machine_types, config, now_us, wall_us)
        self.state = state
        self.completion = AttemptCompletion(state)
        self.heartbeats = HeartbeatHandler(state, self.completion)
        self.lifecycle = MachineLifecycle(state, self.completion)
        self.placement = TaskPlacement(state)
        self.committer = GroupCommitter(state)
        self.shard_id = shard_id
        self.fencing_token = fencing_token
        self.machines = state.machines
        self.drafts = state.drafts
        self.gangs = state.gangs
        self.faults = state.faults
        self.pending_writes = state.pending_writes
        self.jobs_to_finish = state.jobs_to_finish
        self.deleted_machines = state.deleted_machines
        self._next_pass_at_us = 0

    @property
    def pass_due(self) -> bool:
        """Whether a change requires a placement pass without delay."""
        return self.state.pass_due

    @pass_due.setter
    def pass_due(self, due: bool) -> None:
        self.state.pass_due = due

    @property
    def unwritable_keys(self) -> list[UnwritableKey]:
        """Keys that could not be written; the caller logs them and clears the list."""
        return self.committer.unwritable_keys

    def run_pass(self, now_us: int, wall_us: int) -> ShardActions:
        """Run the lifecycle checks, and a placement pass if one is due; return the resulting actions."""
        actions = ShardActions()
        self.lifecycle.run(now_us, wall_us, actions)
        if self.state.pass_due or now_us >= self._next_pass_at_us:
            self.state.pass_due = False
            self._next_pass_at_us = now_us + PASS_INTERVAL_US
            self.placement.run(now_us, wall_us, actions)
        return actions

    def on_heartbeat(
        self, heartbeat: Heartbeat, now_us: int, wall_us: int, direct: bool = False
    ) -> Machine | None:
        """Process a heartbeat; see ``HeartbeatHandler.on_heartbeat``."""
        return self.heartbeats.on_heartbeat(heartbeat, now_us, wall_us, direct)

    def on_heartbeat_answered(self, machine: Machine, now_us: int) -> None:
        """Note that an answer with our token was sent to the machine."""
        self.heartbeats.on_heartbeat_answered(machine, now_us)

    def commands_for(self, machine: Machine, starts: bool = True) -> list[Command]:
        """Return the commands for the answer to a heartbeat; ``starts``: whether tasks may start."""
        return self.heartbeats.commands_for(machine, starts)

    def allows_start(self, machine: Machine, start: Command) -> bool:
        """Return whether an attempt may be started: it has its place still, and its job is not cancelled."""
        is_placed = (start.task, start.attempt) in machine.attempts
        return is_placed and not self.state.is_cancelled(parse_task_name(start.task)[0])

    def is_of_later_owner(self, token: int) -> bool:
        """Tell whether a machine can have this token only from a later owner of the shard."""
        return self.state.tokens.is_of_later_owner(token)

    def token_for(self, machine: Machine) -> int:
        """Return the fencing token for the next message to a machine."""
        return self.state.tokens.token_for(machine)

    def confirm_ownership(self, revision: int) -> None:
        """Note that a transaction conditional on the shard's key was applied at a revision."""
        self.state.tokens.confirm(revision)

    def record_starts(self, machine: Machine, commands: list[Command]) -> int:
        """Note the starts of a direct command that is sent now; return the token to send it under."""
        return self.state.tokens.record_starts(machine, started_attempts(commands))

    def on_commands_sent(self, machine: Machine, commands: list[Command], now_us: int) -> None:
        """Note that direct commands were sent."""
        self.heartbeats.on_commands_sent(machine, commands, now_us)

    def on_commands_answered(self, machine: Machine, commands: list[Command]) -> None:
        """Note that the worker has executed direct commands, or will certainly not execute them."""
        self.heartbeats.on_commands_answered(machine, commands)

    def on_machine_deleted(self, name: str, now_us: int, wall_us: int) -> None:
        """Note that the cloud has confirmed the deletion of a machine."""
        self.lifecycle.on_machine_deleted(name, now_us, wall_us)

    def on_delete_failed(self, name: str, now_us: int) -> None:
        """Note that the cloud has not confirmed the deletion of a machine."""
        self.lifecycle.on_delete_failed(name, now_us)

    def on_job_changed(self, job_id: str, now_us: int, wall_us: int, by_owner: bool = False) -> None:
        """Handle a change of a job's records; ``by_owner``: of a placement record."""
        self.state.on_job_changed(job_id, now_us, wall_us, by_owner)

    def on_process_pause(self, pause_us: int, now_us: int) -> None:
        """Exclude a pause of this process from the machines' silence."""
        self.state.on_process_pause(pause_us, now_us)

    def request_drain(self, name: str, reason: str, wall_us: int) -> None:
        """Write a drain record, so that the machine is drained and deleted."""
        self.state.request_drain(name, reason, wall_us)

    def stop(self, attempt: TaskAttempt, grace_us: int, now_us: int, actions: ShardActions) -> None:
        """Send a stop command with a grace to an attempt."""
        self.state.stop(attempt, grace_us, now_us, actions)

    def has_writes(self, now_us: int) -> bool:
        """Return whether there is anything for a group commit."""
        return self.committer.has_writes(now_us)

    def gather_commit(self, now_us: int, wall_us: int) -> GroupCommit | None:
        """Return the next group commit, or None if there is nothing to write."""
        return self.committer.gather_commit(now_us, wall_us)

    def on_committed(self, batch: GroupCommit, revision: int, actions: ShardActions) -> None:
        """Note that a group commit was applied, and add the commands that it permits."""
        self.committer.on_committed(batch, revision, actions)

    def on_rejected(
        self, batch: GroupCommit, now_us: int, wall_us: int, unchanged: bool, failed: Collection[str] = ()
    ) -> None:
        """Restore the committed state; see ``GroupCommitter.on_rejected``."""
        self.committer.on_rejected(batch, now_us, wall_us, unchanged, failed)

    def on_malformed(self, batch: GroupCommit, now_us: int, wall_us: int) -> None:
        """Split up a group commit that is malformed; see ``GroupCommitter.on_malformed``."""
        self.committer.on_malformed(batch, now_us, wall_us)
