"""Handles the heartbeats of a shard's machines, and chooses the commands for the answers."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from pearstep.domain.attempt import AttemptState, TaskAttempt
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.units import SECOND_US
from pearstep.shard.attempt_completion import AttemptCompletion
from pearstep.shard.commands import Command, CommandAction, Heartbeat, TaskStatus, parse_task_name
from pearstep.shard.freed_attempt import EndEvidence
from pearstep.shard.machine import MACHINE_TRANSITIONS, Machine, MachineState, TaskKey
from pearstep.shard.shard_state import ShardState
from pearstep.state.records import MachineRecord

# Aliases for hot comparisons (per task or machine): enum member lookup is slow on CPython 3.11.
_PLACED = AttemptState.PLACED
_START = CommandAction.START
_UNCONFIRMED = MachineState.UNCONFIRMED
_SILENT = MachineState.SILENT
_UNREACHABLE = MachineState.UNREACHABLE
_UP = MachineState.UP
_PLACING = AttemptState.PLACING
_OBSERVED = AttemptState.OBSERVED
_STOP = CommandAction.STOP
_FORGET = CommandAction.FORGET

# Interval between two records of a machine's images. They only improve placement, and writes are limited.
IMAGE_RECORD_INTERVAL_US = 20 * SECOND_US
# In a shard with more machines than this the interval grows in proportion, to leave writes for others.
IMAGE_RECORD_MACHINES = 256
# A machine is unreachable if it sends heartbeats, but has not confirmed any of our messages for more than
# this many heartbeat intervals: from one heartbeat to the next but one, with a margin for the network.
UNREACHABLE_AFTER_HEARTBEATS = 4


class HeartbeatHandler:
    """Handles heartbeats. Only evidence that a task has ended frees its resources; silence does not.

    Attributes:
        state: The data of the shard.
        completion: Records the ends of attempts that heartbeats prove.
    """

    def __init__(self, state: ShardState, completion: AttemptCompletion) -> None:
        """Handle the heartbeats of the machines of ``state``."""
        self.state = state
        self.completion = completion

    def on_heartbeat(
        self, heartbeat: Heartbeat, now_us: int, wall_us: int, direct: bool = False
    ) -> Machine | None:
        """Process a heartbeat, or (``direct``) a worker's answer to a direct command.

        A message proves which of our messages the machine has received. A heartbeat with the next sequence
        number of the same session proves the answer to the previous one, because a worker without an answer
        turns to the next node. A heartbeat with our fencing token proves that some message of ours arrived.
        The answer to a direct command proves that command. What a message reports about ended tasks, about
        sessions and about a reclaim notice remains valid even if the message is late.

        Returns:
            The machine, or None if it cannot be used (unknown type, or deleted).
        """
        machine = self._find_or_add_machine(heartbeat, now_us)
        if machine is None:
            return None
        if direct:
            machine.last_received_us = max(machine.last_received_us, machine.command_sent_at_us)
        if _is_outdated(machine, heartbeat):
            return machine
        if not direct:
            if heartbeat.incarnation == machine.incarnation and heartbeat.sequence == machine.sequence + 1:
                machine.last_received_us = max(machine.last_received_us, machine.heartbeat_answered_at_us)
            machine.awaiting_answer = True
        self._update_session(machine, heartbeat, now_us, wall_us)
        machine.sequence = heartbeat.sequence
        machine.last_heartbeat_us = now_us
        self._update_token(machine, heartbeat, now_us)
        self._update_reachability(machine, now_us)
        if heartbeat.reclaim_notice_us is not None and machine.reclaim_at_us is None:
            machine.reclaim_at_us = now_us + heartbeat.reclaim_notice_us
            self.state.request_drain(machine.name, "notice", wall_us)
        reported = self._reconcile_reported(machine, heartbeat.tasks, now_us, wall_us)
        if machine.token_acknowledged:
            self._end_unreported(machine, reported, now_us, wall_us, direct)
        return machine

    def _find_or_add_machine(self, heartbeat: Heartbeat, now_us: int) -> Machine | None:
        """Return the machine of a heartbeat, added if it is new; None if it cannot be used."""
        state = self.state
        if heartbeat.machine in state.deleted_machines:
            return None
        machine = state.machines.get(heartbeat.machine)
        if machine is None:
            machine_type = state.machine_types.get(heartbeat.type)
            if machine_type is None:
                return None
            machine = Machine(
                heartbeat.machine, machine_type, heartbeat.zone, heartbeat.spot, heartbeat.address, now_us
            )
            state.machines[heartbeat.machine] = machine
        return machine

    def _update_session(self, machine: Machine, heartbeat: Heartbeat, now_us: int, wall_us: int) -> None:
        """Renew the lease of a new session, and end the attempts of earlier sessions."""
        is_new_session = heartbeat.incarnation > machine.incarnation
        if is_new_session or now_us - machine.lease_renewed_at_us > self.state.config.lease_us:
            # A session lasts at least one lease from its start, and one that still reports after a lease has
            # lasted longer than assumed here, so the lease is counted from this heartbeat. Seen after a
            # network partition: counted from the last answer before the partition, the lease of a new session
            # had already expired, and tasks just placed in it were freed and started twice.
            machine.lease_renewed_at_us = now_us
        if is_new_session:
            self._begin_session(machine, heartbeat, now_us, wall_us)

    def _begin_session(self, machine: Machine, heartbeat: Heartbeat, now_us: int, wall_us: int) -> None:
        """End the attempts of earlier sessions: their lease expired and the worker killed their tasks.

        A task that the new session reports was started in it, by a controller of a version that also started
        attempts in other sessions than their records name.
        """
        reported = {(task.name, task.attempt) for task in heartbeat.tasks}
        for attempt in [a for a in machine.attempts.values() if a.incarnation < heartbeat.incarnation]:
            if (attempt.name, attempt.number) in reported:
                self.completion.record_session(attempt, heartbeat.incarnation)
            else:
                self.completion.record_end(machine, attempt, EndEvidence.SESSION_ENDED, now_us, wall_us)
        machine.incarnation = heartbeat.incarnation
        machine.tasks_to_forget.clear()
        machine.unanswered_starts.clear()
        machine.start_tokens.clear()
        machine.unknown_tasks.clear()

    def _update_token(self, machine: Machine, heartbeat: Heartbeat, now_us: int) -> None:
        """Note whether the machine has our token; if so, write its record if that is missing or outdated."""
        state = self.state
        machine.reported_token = max(machine.reported_token, heartbeat.fencing_token)
        if state.tokens.acknowledge(machine, heartbeat.fencing_token) and not machine.token_acknowledged:
            machine.token_acknowledged = True
            # The previous owner can no longer answer this machine; its last answer was not later than now.
            machine.lease_renewed_at_us = now_us
            machine.last_received_us = max(
                machine.last_received_us, machine.heartbeat_answered_at_us, machine.command_sent_at_us
            )
            state.pass_due = True
        if not machine.token_acknowledged:
            return
        machine_entry = state.replica.machines.get(machine.name)
        if machine_entry is None or machine_entry[1].address != heartbeat.address:
            # Only a machine that has received a message of ours is recorded. Late copies of heartbeats may
            # arrive long after a machine was deleted, and a later owner does not remember deleted machines.
            machine.address = heartbeat.address
            self.record_machine(machine)

    def _update_reachability(self, machine: Machine, now_us: int) -> None:
        """Set a machine to up or unreachable, by whether it has received our messages lately."""
        confirmation_limit_us = UNREACHABLE_AFTER_HEARTBEATS * self.state.config.report_us
        if now_us - machine.last_received_us <= confirmation_limit_us:
            machine.unreachable_since_us = None
            if machine.state in (_UNCONFIRMED, _SILENT, _UNREACHABLE):
                MACHINE_TRANSITIONS.transition(machine, _UP)
                self.state.pass_due = True
        elif machine.state in (_UNCONFIRMED, _SILENT, _UP):
            # If the answer to this heartbeat arrives, the machine's next heartbeat proves it.
            MACHINE_TRANSITIONS.transition(machine, _UNREACHABLE)
            if machine.unreachable_since_us is None:
                machine.unreachable_since_us = now_us

    def record_machine(self, machine: Machine) -> None:
        """Write the machine's record with the next group commit."""
        images = dict(machine.images)
        record = MachineRecord(machine.machine_type.name, machine.zone, machine.spot, machine.address, images)
        # The least recently used images are left out if the record would be too large.
        while images and len(msgspec.json.encode(record)) > self.state.config.value_bytes:
            del images[next(iter(images))]
        self.state.pending_writes[f"m/{self.state.shard_id}/{machine.name}"] = (record, {})

    def _reconcile_reported(
        self, machine: Machine, tasks: list[TaskStatus], now_us: int, wall_us: int
    ) -> set[TaskKey]:
        """Compare the tasks that a machine reports with its attempts; return the reported ones."""
        unknown_tasks: dict[TaskKey, JobSpec | None] = {}
        reported: set[TaskKey] = set()
        attempts = machine.attempts
        machine_entry = self.state.replica.machines.get(machine.name)
        recorded_ends, machine.tasks_to_forget = machine.tasks_to_forget, {}
        for task in tasks:
            key = (task.name, task.attempt)
            reported.add(key)
            if key in recorded_ends:
                machine.tasks_to_forget[key] = recorded_ends[key]
            attempt = attempts.get(key)
            if attempt is None:
                if task.state != "exited":
                    job = self.state.replica.jobs.get(parse_task_name(task.name)[0])
                    unknown_tasks[key] = job.spec if job else None
                elif key not in machine.unrecorded_ends and key not in recorded_ends:
                    machine.tasks_to_forget[key] = self.state.end_revision(task.name)
            elif task.state == "exited":
                cause = task.cause or "error"
                self.completion.record_end(machine, attempt, EndEvidence.EXITED, now_us, wall_us, cause)
            else:
                if task.state != "fetching":
                    machine.record_image(attempt.spec)
                    if machine_entry is not None and attempt.spec.image not in machine_entry[1].images:
                        self._record_images(machine, now_us)
                attempt.observe(task.state, now_us)
        if unknown_tasks.keys() != machine.unknown_tasks.keys():
            self.state.pass_due = True
        machine.unknown_tasks = unknown_tasks
        machine.start_tokens = {
            key: token
            for key, token in machine.start_tokens.items()
            if key in reported or key in attempts or key in machine.unanswered_starts
        }
        return reported

    def _record_images(self, machine: Machine, now_us: int) -> None:
        """Write the record of a machine with new images, unless that was done recently."""
        if now_us - machine.images_recorded_at_us > self._image_record_interval_us():
            self.record_machine(machine)
            machine.images_recorded_at_us = now_us

    def _image_record_interval_us(self) -> int:
        """Return the interval between two records of one machine's images."""
        return (
            IMAGE_RECORD_INTERVAL_US
            * max(len(self.state.machines), IMAGE_RECORD_MACHINES)
            // IMAGE_RECORD_MACHINES
        )

    def _end_unreported(
        self, machine: Machine, reported: Collection[TaskKey], now_us: int, wall_us: int, direct: bool
    ) -> None:
        """End the attempts that the machine did not report, although it would if it still had them."""
        for key, attempt in list(machine.attempts.items()):
            if key in reported or attempt.state == _PLACING or key in machine.unanswered_starts:
                continue
            # A worker sends one heartbeat at a time, so it had executed or dropped any start in an earlier
            # answer before it sent this one, and no direct start is unanswered. The answer to a direct
            # command proves less: it may overtake a heartbeat answer that contains a start.
            if attempt.state == _OBSERVED or (
                attempt.state == _PLACED and attempt.stop_grace_us is not None and not direct
            ):
                self.completion.record_end(machine, attempt, EndEvidence.NOT_REPORTED, now_us, wall_us)

    def on_heartbeat_answered(self, machine: Machine, now_us: int) -> None:
        """Renew the lease when an answer with our token is sent to the worker.

        Every answer must be assumed to renew the lease, even one to an apparent late copy: a heartbeat that
        the answer to a direct command overtook looks like one, and its answer renews the worker's lease.
        A later heartbeat only proves the answer to the latest heartbeat.
        """
        machine.lease_renewed_at_us = now_us
        if machine.awaiting_answer:
            machine.awaiting_answer = False
            machine.heartbeat_answered_at_us = now_us

    def commands_for(self, machine: Machine, starts: bool = True) -> list[Command]:
        """Return the commands for the answer to a heartbeat; raise its token if a task is to be forgotten.

        Args:
            machine: The machine that reported.
            starts: Whether tasks may start, because cancellations are read here without delay.
        """
        commands: list[Command] = []
        for attempt in machine.attempts.values():
            if attempt.stop_grace_us is not None:
                self._add_stop_commands(commands, machine, attempt, starts)
            elif starts and attempt.state == _PLACED and self._may_start(attempt.spec):
                commands.append(Command(_START, attempt.name, attempt.number))
        for name, number in machine.unknown_tasks:
            commands.append(Command(_STOP, name, number, 0.0))
        for key in machine.tasks_to_forget:
            # A worker that has forgotten an attempt would execute a copy of its start.
            if key not in machine.unanswered_starts and self.state.tokens.outdate_start(machine, key):
                commands.append(Command(_FORGET, *key))
        return commands

    def _add_stop_commands(
        self, commands: list[Command], machine: Machine, attempt: TaskAttempt, starts: bool
    ) -> None:
        """Add the commands for an attempt that is being stopped."""
        grace_us = attempt.stop_grace_us
        if grace_us is None:
            return
        name, number = attempt.name, attempt.number
        if (
            starts
            and attempt.state == _PLACED
            and (name, number) in machine.unanswered_starts
            and self._job_allows_start(attempt.spec.job_id)
        ):
            # The direct start was not answered: it may be lost or may still arrive, so the resources
            # can't be freed. Starting the task again and stopping it makes the attempt known to the
            # worker, and a late start then has no effect. Seen (rig, seed 1185): the other tasks of a
            # gang were lost while one machine was unreachable; its resources stayed allocated as long
            # as the machine existed, and the gang did not run.
            commands.append(Command(_START, name, number))
        is_saving = attempt.phase == "saving" and grace_us
        if attempt.state in (_PLACED, _OBSERVED) and not is_saving:
            commands.append(Command(_STOP, name, number, grace_us / SECOND_US))

    def _may_start(self, spec: JobSpec) -> bool:
        """Return whether a placed task of the job may start; a gang's only once the whole gang is placed."""
        return not (self.state.is_cancelled(spec.job_id) or self.state.is_partly_placed(spec))

    def _job_allows_start(self, job_id: str) -> bool:
        """Return whether the job still permits a start, even of a task that is stopped at once."""
        return not self.state.is_cancelled(job_id) and not self.state.replica.jobs[job_id].run_until_us

    def on_commands_sent(self, machine: Machine, commands: list[Command], now_us: int) -> None:
        """Note that direct commands were sent."""
        machine.command_sent_at_us = now_us
        machine.unanswered_starts.update(started_attempts(commands))

    def on_commands_answered(self, machine: Machine, commands: list[Command]) -> None:
        """Note that the worker has executed direct commands, or will certainly not execute them."""
        machine.unanswered_starts.difference_update(started_attempts(commands))


def _is_outdated(machine: Machine, heartbeat: Heartbeat) -> bool:
    """Return whether a message was sent before the latest one of the machine, so that its task list is old.

    A worker's token never falls, whereas a worker that is restarted may count its sessions and messages anew.
    """
    is_late = (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence)
    return is_late or heartbeat.fencing_token < machine.reported_token


def started_attempts(commands: list[Command]) -> list[TaskKey]:
    """Return the attempts that the commands start."""
    return [(command.task, command.attempt) for command in commands if command.action == _START]
