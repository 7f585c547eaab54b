"""State of a shard on the node that owns it, shared by the components of the shard owner."""

from __future__ import annotations

from typing import Any

from pearstep.domain.attempt import AttemptState, TaskAttempt
from pearstep.domain.gang import Gang
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.scheduling.adaptive_delay import AdaptiveDelay
from pearstep.scheduling.backfill import BackfillScheduler
from pearstep.scheduling.fault_attribution import FaultAttribution
from pearstep.shard.command_tokens import CommandTokens
from pearstep.shard.commands import (
    IMMEDIATE_DRAIN_REASONS,
    Command,
    CommandAction,
    ShardActions,
    ShardOwnerConfig,
    parse_task_name,
)
from pearstep.shard.freed_attempt import EndEvidence, FreedAttempt
from pearstep.shard.machine import Machine
from pearstep.shard.placement_drafts import PlacementDraft
from pearstep.state.job import Job
from pearstep.state.records import TASKS_PER_RECORD, DrainRecord
from pearstep.state.replica import Replica


def run_time_us(spec: JobSpec) -> int:
    """Return how long a task of the job is expected to run, in microseconds."""
    return max(spec.estimate_us, SECOND_US)


def stop_grace_us(spec: JobSpec) -> int:
    """Return the grace of an orderly stop in microseconds: the time to save plus a network margin."""
    return spec.save_us + SECOND_US if spec.checkpoint_us else 0


class ShardState:
    """State of a shard on the node that owns it, with operations used by several components of the owner.

    Attributes:
        shard_id: Number of the shard.
        fencing_token: Version of the shard's key in the state service.
        tokens: The tokens for messages to the machines.
        replica: This node's replica of the committed records.
        machine_types: Types of machines by name.
        config: The owner's settings.
        drafts: Working copies of placement records, by job and chunk.
        machines: The shard's machines by name.
        backfill: Backfill scheduler, with its state between placement passes.
        delay: Adaptive delay of extra-long jobs.
        gangs: States of the gangs with tasks in this shard, by job.
        faults: Attribution of failures to machines and jobs.
        pending_writes: Records of machines and drains for the next group commits, with their conditions, by
            key; the record is None for a key to delete.
        jobs_to_finish: Time at which the end of a job that is complete by its records is written, by job.
        placement_backoff_until_us: Time before which no task of a job is placed, by job; set after a
            preemption, and when the job's record could not be written.
        deleted_machines: Names of machines whose deletion the cloud has confirmed.
        pass_due: Whether a change requires a placement pass without delay.
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
        self.shard_id = shard_id
        self.fencing_token = fencing_token
        self.tokens = CommandTokens(fencing_token)
        self.replica = replica
        self.machine_types = machine_types
        self.config = config
        self.drafts: dict[tuple[str, int], PlacementDraft] = {}
        self.machines: dict[str, Machine] = {}
        self.backfill = BackfillScheduler(config.queue_bounds_us)
        self.delay = AdaptiveDelay(config.initial_delay_us, config.delay_batch_size, config.delay_threshold)
        self.gangs: dict[str, Gang] = {}
        self.faults = FaultAttribution(config.suspect_machines, config.faulty_machine_errors)
        self.pending_writes: dict[str, tuple[Any, dict[str, int]]] = {}
        self.jobs_to_finish: dict[str, int] = {}
        self.placement_backoff_until_us: dict[str, int] = {}
        self.deleted_machines: set[str] = set()
        self.pass_due = True
        self._load(now_us, wall_us)

    def _load(self, now_us: int, wall_us: int) -> None:
        """Restore the committed machines and placements, and schedule the ends of complete jobs."""
        for name, (shard_id, record) in self.replica.machines.items():
            machine_type = self.machine_types.get(record.type)
            if shard_id == self.shard_id and machine_type is not None:
                machine = Machine(name, machine_type, record.zone, record.spot, record.address, now_us)
                machine.images.update(record.images)
                self.machines[name] = machine
        for job in self.replica.jobs.values():
            for shard_id, chunk in job.placements:
                if shard_id == self.shard_id:
                    self.reload_draft(self.draft_for(job.spec, chunk), now_us, wall_us)
        # Seen: all controllers failed after the last task of a job in two shards was recorded. The job was
        # complete by its records but never ended, because owners only checked when a record changed.
        for job in self.replica.open_jobs.values():
            self.schedule_job_end(job, now_us)

    def forget_job(self, job_id: str) -> None:
        """Drop the state of a finished job whose records were removed.

        By its records none of its tasks was placed any more. Attempts that are still held here were never
        committed, or their ends were not; a machine that still reports one is told to stop it, as with any
        unknown task.
        """
        for key in [key for key in self.drafts if key[0] == job_id]:
            for attempt in self.drafts.pop(key).attempts.values():
                machine = self.machines.get(attempt.machine)
                if machine is not None:
                    machine.attempts.pop((attempt.name, attempt.number), None)
                    self.pass_due = True
        self.gangs.pop(job_id, None)
        self.jobs_to_finish.pop(job_id, None)
        self.placement_backoff_until_us.pop(job_id, None)
        self.faults.forget_job(job_id)

    def schedule_job_end(self, job: Job, now_us: int) -> None:
        """Schedule the end of a job that is complete by its records.

        The lowest shard of the job ends it at once; the others do so a second later, in case the lowest
        shard has no owner.
        """
        job_id = job.spec.job_id
        if job.state == JobState.QUEUED and job.all_tasks_done and job_id not in self.jobs_to_finish:
            lowest_shard = min((shard_id for shard_id, _ in job.placements), default=self.shard_id)
            self.jobs_to_finish[job_id] = now_us if lowest_shard == self.shard_id else now_us + SECOND_US

    def draft_for(self, spec: JobSpec, chunk: int) -> PlacementDraft:
        """Return the draft of a chunk of a job's tasks; an empty one is created if there is none."""
        draft = self.drafts.get((spec.job_id, chunk))
        if draft is None:
            draft = self.drafts[spec.job_id, chunk] = PlacementDraft(self.shard_id, spec, chunk)
        return draft

    def drafts_of(self, spec: JobSpec) -> list[PlacementDraft]:
        """Return the existing drafts of a job."""
        return [
            draft
            for chunk in range((spec.tasks - 1) // TASKS_PER_RECORD + 1)
            if (draft := self.drafts.get((spec.job_id, chunk))) is not None
        ]

    def reload_draft(self, draft: PlacementDraft, now_us: int, wall_us: int) -> None:
        """Restore a draft from the replica. Uncommitted placements are discarded and decided again."""
        job_id = draft.spec.job_id
        previous_attempts = list(draft.attempts.values())
        job = self.replica.jobs.get(job_id)
        if job is None:
            self.forget_job(job_id)
            return
        # Seen: the commit with a gang's end was rejected. The gang's state was already complete while its
        # records said running, and every later pass of the owner failed.
        self.gangs.pop(job_id, None)
        committed = job.placements.get((self.shard_id, draft.chunk))
        if committed is None:
            draft.reset()
        else:
            draft.load(committed.record, committed.version, now_us, wall_us)
            self.faults.restore_failures(job_id, draft.consecutive_failures)
        kept_ids = {id(attempt) for attempt in draft.attempts.values()}
        for attempt in previous_attempts:
            if id(attempt) not in kept_ids and (machine := self.machines.get(attempt.machine)):
                machine.attempts.pop((attempt.name, attempt.number), None)
        for attempt in list(draft.attempts.values()):
            self._restore_attempt(draft, attempt)
        self.pass_due = True

    def _restore_attempt(self, draft: PlacementDraft, attempt: TaskAttempt) -> None:
        """Add a committed attempt to its machine, or drop it if the machine or the session has ended."""
        machine = self.machines.get(attempt.machine)
        if machine is not None and attempt.incarnation < machine.incarnation:
            # The new session was evidence of the end once, when it began, and will not be again. The commit
            # with the end failed, or the attempt was committed after the session had ended.
            self._drop_attempt(draft, attempt, EndEvidence.SESSION_ENDED)
        elif machine is not None:
            key = (attempt.name, attempt.number)
            machine.attempts[key] = attempt
            machine.unrecorded_ends.discard(key)
            machine.tasks_to_forget.pop(key, None)
        elif attempt.machine in self.deleted_machines or attempt.machine not in self.replica.machines:
            # A machine's record is deleted only after the cloud has confirmed the machine's deletion. The
            # ends of its attempts may be missing if their commit was rejected or the owner failed.
            self._drop_attempt(draft, attempt, EndEvidence.MACHINE_DELETED)

    @staticmethod
    def _drop_attempt(draft: PlacementDraft, attempt: TaskAttempt, evidence: EndEvidence) -> None:
        """Drop a committed attempt that ended earlier, so that its end is recorded."""
        del draft.attempts[attempt.task]
        draft.freed.append(FreedAttempt(attempt, evidence))
        draft.dirty = True

    def on_job_changed(self, job_id: str, now_us: int, wall_us: int, by_owner: bool = False) -> None:
        """Handle a change of a job's records in the replica; ``by_owner``: of a placement record."""
        job = self.replica.jobs.get(job_id)
        if job is None:
            self.forget_job(job_id)
            return
        if (
            self.shard_id not in job.routes
            and (job_id, 0) not in self.drafts
            and not any(shard_id == self.shard_id for shard_id, _ in job.placements)
        ):
            return  # another shard's job, as most changes are with many shards
        # Only owners write placement records, and this owner's placements were already part of a pass.
        self.pass_due |= not by_owner
        for (shard_id, chunk), committed in job.placements.items():
            if shard_id != self.shard_id:
                continue
            draft = self.draft_for(job.spec, chunk)
            # Only this owner writes this record, so a newer version is its own commit whose answer was lost.
            if committed.version > draft.version and not draft.in_flight:
                self.reload_draft(draft, now_us, wall_us)
        self.schedule_job_end(job, now_us)

    def on_process_pause(self, pause_us: int, now_us: int) -> None:
        """Exclude a pause of this process from the machines' silence.

        No heartbeat could be received during the pause. Leases still count from the last answer, because they
        continued to run down on the workers.
        """
        for machine in self.machines.values():
            machine.last_heartbeat_us = min(machine.last_heartbeat_us + pause_us, now_us)
            machine.last_received_us = min(machine.last_received_us + pause_us, now_us)

    def stop(self, attempt: TaskAttempt, grace_us: int, now_us: int, actions: ShardActions) -> None:
        """Send a stop command to an attempt; heartbeat answers repeat it until the attempt has ended."""
        if attempt.stop_grace_us is not None and attempt.stop_grace_us <= grace_us:
            return
        attempt.stop_grace_us = grace_us
        attempt.stop_sent_at_us = now_us
        if attempt.state in (AttemptState.PLACED, AttemptState.OBSERVED):
            command = Command(CommandAction.STOP, attempt.name, attempt.number, grace_us / SECOND_US)
            actions.send(attempt.machine, command)

    def stop_with_gang(self, attempt: TaskAttempt, grace_us: int, now_us: int, actions: ShardActions) -> None:
        """Stop a task, or its whole gang: all tasks of a gang must be told at about the same time to save."""
        if attempt.spec.kind != "gang":
            self.stop(attempt, grace_us, now_us, actions)
            return
        for draft in self.drafts_of(attempt.spec):
            for member in draft.attempts.values():
                self.stop(member, grace_us, now_us, actions)

    def request_drain(self, name: str, reason: str, wall_us: int) -> None:
        """Write a drain record, so that the machine is drained and deleted.

        No task is placed there after the commit: placements are conditional on the absence of this key.
        """
        key = f"d/{name}"
        existing_drain = self.replica.drains.get(name)
        if (
            name in self.deleted_machines
            or key in self.pending_writes
            or (
                existing_drain is not None
                and (existing_drain.reason == reason or reason not in IMMEDIATE_DRAIN_REASONS)
            )
        ):
            return
        self.pending_writes[key] = (DrainRecord(reason, wall_us), {})

    def end_revision(self, task_name: str) -> int:
        """Return the revision that wrote a task's placement record last; 0 if there is no record."""
        job_id, task = parse_task_name(task_name)
        job = self.replica.jobs.get(job_id)
        chunk = (self.shard_id, task // TASKS_PER_RECORD)
        committed = job.placements.get(chunk) if job is not None else None
        return committed.version if committed is not None else 0

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether the job is cancelled or has no record any more."""
        job = self.replica.jobs.get(job_id)
        return job is None or job.state == JobState.CANCELLED

    def is_partly_placed(self, spec: JobSpec) -> bool:
        """Return whether a gang has uncommitted placements, so that none of its tasks may start yet."""
        return spec.kind == "gang" and any(
            attempt.state == AttemptState.PLACING
            for draft in self.drafts_of(spec)
            for attempt in draft.attempts.values()
        )
