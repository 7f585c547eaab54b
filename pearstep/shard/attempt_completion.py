"""Completion of attempts: frees the resources of an ended attempt, and records its end."""

from __future__ import annotations

from pearstep.domain.attempt import ATTEMPT_TRANSITIONS, AttemptState, TaskAttempt
from pearstep.shard.freed_attempt import EndEvidence, FreedAttempt
from pearstep.shard.machine import Machine
from pearstep.shard.placement_drafts import PlacementDraft
from pearstep.shard.shard_state import ShardState
from pearstep.state.records import TASKS_PER_RECORD


class AttemptCompletion:
    """Records the ends of attempts in the drafts, and counts failures.

    Attributes:
        state: The data of the shard.
    """

    def __init__(self, state: ShardState) -> None:
        """Record ends in ``state``."""
        self.state = state

    def record_end(
        self,
        machine: Machine,
        attempt: TaskAttempt,
        evidence: EndEvidence,
        now_us: int,
        wall_us: int,
        cause: str = "",
    ) -> None:
        """Free the resources of an attempt that has provably ended, and record its end.

        Args:
            machine: The machine of the attempt.
            attempt: The attempt.
            evidence: How the end is known.
            now_us: Time of the monotonic clock.
            wall_us: Time of the wall clock.
            cause: Why it exited, as on the wire; empty if its agent did not report that.
        """
        key = (attempt.name, attempt.number)
        ATTEMPT_TRANSITIONS.transition(attempt, AttemptState.ENDED)
        machine.attempts.pop(key, None)
        machine.unrecorded_ends.add(key)
        draft = self.state.draft_for(attempt.spec, attempt.task // TASKS_PER_RECORD)
        if draft.attempts.get(attempt.task) is attempt:
            del draft.attempts[attempt.task]
        draft.freed.append(FreedAttempt(attempt, evidence, cause))
        draft.dirty = True
        self.state.pass_due = True
        self._handle_cause(machine, attempt, draft, cause, now_us, wall_us)

    def record_session(self, attempt: TaskAttempt, incarnation: int) -> None:
        """Record that an attempt runs in a later session than its record names."""
        attempt.incarnation = incarnation
        self.state.draft_for(attempt.spec, attempt.task // TASKS_PER_RECORD).dirty = True

    def _handle_cause(
        self,
        machine: Machine,
        attempt: TaskAttempt,
        draft: PlacementDraft,
        cause: str,
        now_us: int,
        wall_us: int,
    ) -> None:
        """Record a success, or attribute a failure to the machine or the job."""
        job_id = attempt.spec.job_id
        if cause == "done":
            self._record_done(machine, attempt, draft, now_us)
        elif cause == "unknown":
            self.state.faults.record_unknown_job(job_id, now_us)
        elif cause == "error":
            draft.consecutive_failures += 1
            if self.state.faults.record_failure(machine.name, job_id, now_us):
                self.state.request_drain(machine.name, "sick", wall_us)
        elif cause in ("no_room", "busy"):
            self.state.faults.record_refused_start(machine.name, job_id, now_us)

    def _record_done(
        self, machine: Machine, attempt: TaskAttempt, draft: PlacementDraft, now_us: int
    ) -> None:
        """Record that a task is done, and report its wait and run times to the adaptive delay."""
        state = self.state
        spec = attempt.spec
        draft.done_tasks |= 1 << attempt.task
        draft.consecutive_failures = 0
        if spec.kind == "gang":
            # A gang completes as a whole: when one task is done, all are.
            for task in range(spec.tasks):
                task_draft = state.draft_for(spec, task // TASKS_PER_RECORD)
                task_draft.done_tasks |= 1 << task
                task_draft.dirty = True
        state.faults.record_success(machine.name, spec.job_id)
        started_at_us = attempt.running_since_us or now_us
        job = state.replica.jobs.get(spec.job_id)
        waited_us = attempt.placed_wall_us - job.submitted_at_us if job else 0
        in_first_queue = state.backfill.queue_of(spec) == 0
        state.delay.record_completion(in_first_queue, waited_us, now_us - started_at_us)
