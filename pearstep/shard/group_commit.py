"""Group commits of a shard: builds the transactions, and handles their outcomes."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

import msgspec

from pearstep.domain.attempt import ATTEMPT_TRANSITIONS, AttemptState, TaskAttempt
from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.shard.commands import Command, CommandAction, ShardActions, UnwritableKey, parse_task_name
from pearstep.shard.machine import TaskKey
from pearstep.shard.placement_drafts import GroupCommit, PlacementDraft
from pearstep.shard.shard_state import ShardState
from pearstep.shard.task_placement import PLACEMENT_BACKOFF_US
from pearstep.state.job import Job, Route
from pearstep.state.records import TASKS_PER_RECORD, JobRecord, route_key

# Tasks estimated to end within this many heartbeat intervals count as short.
SHORT_TASK_HEARTBEATS = 3
# A gang whose placements could not be written is not placed again for this long.
GANG_RETRY_US = 60 * SECOND_US
# A further record is left for the next transaction if the transaction would then have more conditions per
# operation than this: the more conditions there are, the more often one of them fails.
PREFERRED_CONDITIONS_PER_OPERATION = 2
# Approximate encoded size of one placement in a record.
APPROXIMATE_PLACEMENT_BYTES = 64

# Ends of attempts that are not recorded yet, as machine name and task key, by job and chunk.
UnrecordedEnds = dict[tuple[str, int], list[tuple[str, TaskKey]]]


class GroupCommitter:
    """Builds group commits from the pending changes, and sends the commands that a commit permits.

    Attributes:
        state: The data of the shard.
        isolated_keys: Keys from malformed transactions; each is retried in a transaction of its own.
        isolated_key_next: Whether an isolated key is written next; they alternate with all other writes.
        abandoned_keys: Keys that failed even in a transaction of their own, and are not written again.
        unwritable_keys: Keys that could not be written as they are, to be logged.
    """

    def __init__(self, state: ShardState) -> None:
        """Commit the changes of ``state``."""
        self.state = state
        self.isolated_keys: deque[str] = deque()
        self.isolated_key_next = True
        self.abandoned_keys: set[str] = set()
        self.unwritable_keys: list[UnwritableKey] = []

    def has_writes(self, now_us: int) -> bool:
        """Return whether there is anything for a group commit."""
        state = self.state
        return (
            bool(state.pending_writes)
            or any(at_us <= now_us for at_us in state.jobs_to_finish.values())
            or any(draft.dirty and not draft.in_flight for draft in state.drafts.values())
        )

    def gather_commit(self, now_us: int, wall_us: int) -> GroupCommit | None:
        """Return the next group commit, conditional on our token, or None if there is nothing to write.

        Keys from malformed transactions are written one per transaction, alternating with normal group
        commits.
        """
        while self.isolated_keys and self.isolated_key_next:
            batch = self._gather(now_us, wall_us, only_key=self.isolated_keys.popleft())
            if batch is not None:
                self.isolated_key_next = False
                return batch
        self.isolated_key_next = True
        batch = self._gather(now_us, wall_us)
        return self.gather_commit(now_us, wall_us) if batch is None and self.isolated_keys else batch

    def _gather(self, now_us: int, wall_us: int, only_key: str | None = None) -> GroupCommit | None:
        """Return a group commit of the key ``only_key``; if that is None, of all keys not isolated."""
        state = self.state
        limits = state.config.transaction_limits
        shard_key = f"part/{state.shard_id}"
        batch = GroupCommit(limits, shard_key, state.fencing_token, state.replica.revision)
        self._add_drafts(batch, only_key, now_us)
        if only_key is None:
            self._add_completed_jobs(batch, wall_us)
        self._add_due_job_ends(batch, only_key, now_us, wall_us)
        self._add_pending_writes(batch, only_key)
        return batch if batch.changes else None

    def _is_selected(self, key: str, only_key: str | None) -> bool:
        """Return whether a key belongs in this commit; see ``_gather``."""
        return key not in self.isolated_keys if only_key is None else key == only_key

    def _add_drafts(self, batch: GroupCommit, only_key: str | None, now_us: int) -> None:
        """Add changed placement records."""
        limit = self.state.config.txn_ops
        ends: UnrecordedEnds | None = None
        operations = 0
        # Gangs come first, because none of a gang's tasks starts before all are committed. Then the records
        # that were written longest ago. Seen: the record of a very large array changed every time, and the
        # records of hundreds of small jobs were never written.
        for draft in sorted(
            (
                draft
                for draft in self.state.drafts.values()
                if draft.dirty and not draft.in_flight and self._is_selected(draft.key, only_key)
            ),
            key=lambda draft: (draft.spec.kind != "gang", draft.written_at_us),
        ):
            # The commit may also contain the end of the record's job, so both must fit. For an array, the
            # job's end replaces its last record.
            operations += 2 if draft.done_tasks and draft.spec.kind != "array" else 1
            if batch.drafts and operations > limit:
                break
            if ends is None:
                ends = self._unrecorded_ends()
            if not self._add_draft(draft, batch, ends, now_us):
                break

    def _unrecorded_ends(self) -> UnrecordedEnds:
        """Return the ends that are not recorded yet, by the placement record that will contain them."""
        ends: UnrecordedEnds = {}
        for machine in self.state.machines.values():
            for key in machine.unrecorded_ends:
                job_id, task = parse_task_name(key[0])
                ends.setdefault((job_id, task // TASKS_PER_RECORD), []).append((machine.name, key))
        return ends

    def _add_draft(
        self, draft: PlacementDraft, batch: GroupCommit, ends: UnrecordedEnds, now_us: int
    ) -> bool:
        """Add a record to the batch; return False if it does not fit in addition to the others.

        A record that does not fit into a transaction of its own is written in parts: with some of its new
        placements now, and with the others in later transactions.
        """
        job = self.state.replica.jobs[draft.spec.job_id]
        route = job.routes.get(self.state.shard_id)
        new_attempts = self._fit_value_size(draft, self._new_placements(draft, job, route), now_us)
        included = new_attempts[: draft.max_new_placements]
        if not batch.drafts:
            included = _fit_conditions(included, batch, self._conditions_of(draft, job, route, included[:1]))
        while True:
            conditions = self._conditions_of(draft, job, route, included)
            if included and batch.drafts and self._too_many_conditions(batch, conditions):
                return False
            encoded_record = msgspec.json.encode(
                draft.to_record({attempt.task for attempt in new_attempts[len(included) :]})
            )
            if batch.size.try_add(conditions, {draft.key: len(encoded_record)}):
                break
            if batch.drafts:
                return False
            if not included:
                self._defer_until_changed(draft)
                return True
            included = included[: len(included) // 2]
        batch.preconditions.update(conditions)
        batch.puts[draft.key] = (msgspec.Raw(encoded_record), None)
        batch.drafts.append(draft)
        batch.placed_attempts.extend(included)
        if len(included) < len(new_attempts):
            batch.partial_keys.add(draft.key)
        batch.recorded_ends.extend(ends.get((draft.spec.job_id, draft.chunk), ()))
        if draft.freed:
            batch.freed[draft.key] = draft.freed
            draft.freed = []
        draft.dirty = False
        draft.in_flight = True
        draft.written_at_us = now_us
        return True

    def _too_many_conditions(self, batch: GroupCommit, conditions: dict[str, int]) -> bool:
        """Return whether these conditions would bring the batch above the preferred number of conditions."""
        preferred = PREFERRED_CONDITIONS_PER_OPERATION * self.state.config.txn_ops
        return len(batch.preconditions.keys() | conditions.keys()) > preferred

    def _new_placements(self, draft: PlacementDraft, job: Job, route: Route | None) -> list[TaskAttempt]:
        """Return the uncommitted placements that the replica's records still allow; discard the others."""
        new_attempts = _uncommitted_placements(draft)
        # The commit's conditions use the record versions in the replica now. A placement decided with older
        # versions must be checked again: the conditions would hold although it is no longer allowed. Seen:
        # a task was started in two shards, because its route moved between the decision and the write.
        disallowed = [attempt for attempt in new_attempts if not self._is_allowed(attempt, job, route)]
        if not disallowed:
            return new_attempts
        for attempt in new_attempts if draft.spec.kind == "gang" else disallowed:
            self._discard_placement(draft, attempt)
        return [attempt for attempt in new_attempts if attempt.state == AttemptState.PLACING]

    def _is_allowed(self, attempt: TaskAttempt, job: Job, route: Route | None) -> bool:
        """Return whether the records in the replica still allow a placement."""
        task = attempt.task
        if (
            job.state != JobState.QUEUED
            or route is None
            or not route.tasks >> task & 1
            or job.done_tasks >> task & 1
        ):
            return False
        machine = self.state.machines.get(attempt.machine)
        if (
            machine is None
            or machine.incarnation != attempt.incarnation
            or attempt.machine in self.state.replica.drains
        ):
            return False
        return all(zone == machine.zone for zone, mask in route.zone_tasks.items() if mask >> task & 1)

    def _discard_placement(self, draft: PlacementDraft, attempt: TaskAttempt) -> None:
        """Discard a placement that was never committed."""
        ATTEMPT_TRANSITIONS.transition(attempt, AttemptState.ENDED)
        draft.attempts.pop(attempt.task, None)
        machine = self.state.machines.get(attempt.machine)
        if machine is not None:
            machine.attempts.pop((attempt.name, attempt.number), None)
        self.state.pass_due = True

    def _conditions_of(
        self, draft: PlacementDraft, job: Job, route: Route | None, new_attempts: list[TaskAttempt]
    ) -> dict[str, int]:
        """Return the preconditions for writing a draft with new placements, as versions by key."""
        job_id = draft.spec.job_id
        conditions = {draft.key: draft.version}
        if new_attempts:
            # The commit must fail if the task is no longer routed here, the job has ended, or a machine is
            # being drained.
            conditions[route_key(self.state.shard_id, job_id)] = route.version if route else 0
            conditions[f"j/{job_id}"] = job.version
            conditions.update((f"d/{attempt.machine}", 0) for attempt in new_attempts)
        return conditions

    def _fit_value_size(
        self, draft: PlacementDraft, new_attempts: list[TaskAttempt], now_us: int
    ) -> list[TaskAttempt]:
        """Return the new placements that fit into the record's value; discard the others.

        Discarded tasks are placed again later. A gang of which any task does not fit is discarded whole.
        """
        limit = self.state.config.value_bytes
        while new_attempts and (size := len(msgspec.json.encode(draft.to_record()))) > limit:
            excess = max((size - limit) // APPROXIMATE_PLACEMENT_BYTES, 1)
            if draft.spec.kind == "gang":
                excess = len(new_attempts)
                reason = f"a gang's placements take {size} bytes, more than a value may have"
                self._add_unwritable_key(draft.key, reason)
            for attempt in new_attempts[-excess:]:
                self._discard_placement(draft, attempt)
            new_attempts = new_attempts[:-excess]
            self._back_off(draft, now_us)
        return new_attempts

    def _add_completed_jobs(self, batch: GroupCommit, wall_us: int) -> None:
        """Add the ends of jobs that the batch's records complete."""
        for draft in batch.drafts:
            job = self.state.replica.jobs[draft.spec.job_id]
            done = job.done_tasks
            for other in self.state.drafts_of(draft.spec):
                if other in batch.drafts or not other.dirty:
                    done |= other.done_tasks
            shard_id = self.state.shard_id
            if min((other_shard_id for other_shard_id, _ in job.placements), default=shard_id) < shard_id:
                # The lowest shard of the job ends it after reading this commit. Seen: when all shards of a
                # cross-shard gang wrote the end at the same moment, their commits conflicted, and the gang's
                # resources stayed allocated for seconds.
                continue
            if done == job.spec.all_tasks and job.state == JobState.QUEUED and job.spec.kind != "service":
                self._add_job_end(job, batch, wall_us)

    def _add_due_job_ends(self, batch: GroupCommit, only_key: str | None, now_us: int, wall_us: int) -> None:
        """Add the ends of jobs that are complete according to their committed records."""
        jobs_to_finish = self.state.jobs_to_finish
        limit = self.state.config.txn_ops
        for job_id, at_us in list(jobs_to_finish.items()):
            job = self.state.replica.jobs[job_id]
            key = f"j/{job_id}"
            if job.state != JobState.QUEUED or key in self.abandoned_keys:
                del jobs_to_finish[job_id]
            elif at_us <= now_us and batch.changes < limit and self._is_selected(key, only_key):
                self._add_job_end(job, batch, wall_us)

    def _add_job_end(self, job: Job, batch: GroupCommit, wall_us: int) -> None:
        """Add a job's end if it fits; otherwise it is written after the committed records have been read."""
        job_id = job.spec.job_id
        key = f"j/{job_id}"
        record = JobRecord(job.spec, job.submitted_at_us, JobState.DONE, wall_us)
        replaced: list[str] = []
        if job.spec.kind == "array":
            # An array's end makes its placement records in this batch unnecessary.
            replaced = [draft.key for draft in batch.drafts if draft.spec.job_id == job_id]
        if not batch.size.try_add([key], {key: len(msgspec.json.encode(record))}, replaced):
            return
        batch.preconditions[key] = job.version
        batch.puts[key] = (record, None)
        batch.finished_jobs.append(job_id)
        for replaced_key in replaced:
            batch.puts.pop(replaced_key, None)

    def _add_pending_writes(self, batch: GroupCommit, only_key: str | None) -> None:
        """Add pending records of machines and drains."""
        pending_writes = self.state.pending_writes
        for key, (record, conditions) in list(pending_writes.items()):
            if batch.changes >= self.state.config.txn_ops:
                break
            if key in self.abandoned_keys:
                del pending_writes[key]
                continue
            if not self._is_selected(key, only_key):
                continue
            size = 0 if record is None else len(msgspec.json.encode(record))
            if not batch.size.try_add(conditions, {key: size}):
                if not batch.changes:
                    self._abandon_key(key, "larger than a value or a transaction may be")
                continue
            if record is None:
                batch.deletes.append(key)
            else:
                batch.puts[key] = (record, None)
            batch.preconditions.update(conditions)
            del pending_writes[key]

    def _back_off(self, draft: PlacementDraft, now_us: int) -> None:
        """Pause the placement of the draft's job."""
        pause_us = GANG_RETRY_US if draft.spec.kind == "gang" else PLACEMENT_BACKOFF_US
        self.state.placement_backoff_until_us[draft.spec.job_id] = now_us + pause_us

    def _defer_until_changed(self, draft: PlacementDraft) -> None:
        """Do not write a record again until it changes."""
        draft.dirty = False
        self._add_unwritable_key(draft.key, "it does not fit a transaction, and waits until it changes")

    def _abandon_key(self, key: str, reason: str) -> None:
        """Never write a key again."""
        self.abandoned_keys.add(key)
        self.state.pending_writes.pop(key, None)
        self.state.jobs_to_finish.pop(key.removeprefix("j/"), None)
        self._add_unwritable_key(key, f"{reason}: it is not written any more")

    def _add_unwritable_key(self, key: str, reason: str) -> None:
        """Add a key that could not be written as it is to the list for the log."""
        self.unwritable_keys.append(UnwritableKey(key, reason))

    def on_committed(self, batch: GroupCommit, revision: int, actions: ShardActions) -> None:
        """Apply the effects of a committed group commit, and send the start commands that it permits."""
        self.state.tokens.confirm(revision)
        for draft in batch.drafts:
            draft.in_flight = False
            draft.dirty |= draft.key in batch.partial_keys
            if draft.key in batch.puts:
                draft.version = revision
        placed = [attempt for attempt in batch.placed_attempts if attempt.state == AttemptState.PLACING]
        for attempt in placed:
            ATTEMPT_TRANSITIONS.transition(attempt, AttemptState.PLACED)
        for attempt in self._startable(placed):
            if self._starts_directly(attempt):
                actions.send(attempt.machine, Command(CommandAction.START, attempt.name, attempt.number))
        for machine_name, key in batch.recorded_ends:
            machine = self.state.machines.get(machine_name)
            if machine is not None and key in machine.unrecorded_ends:
                machine.unrecorded_ends.discard(key)
                if key not in machine.attempts:
                    # The forget command is sent with the next heartbeat answer, because nothing waits for
                    # it. Separate messages for each ended task were a third of all messages sent.
                    machine.tasks_to_forget[key] = revision
        for job_id in batch.finished_jobs:
            self.state.jobs_to_finish.pop(job_id, None)

    def _starts_directly(self, attempt: TaskAttempt) -> bool:
        """Return whether a start is sent as a direct command rather than with the next heartbeat answer."""
        spec = attempt.spec
        # A machine reports the end of a short task at once, so the next start can go with that answer.
        # Seen: with an array of 25,000 short tasks, separate messages for each start took a third of the
        # controllers' work.
        is_short_task = (
            spec.kind == "array" and spec.estimate_us < SHORT_TASK_HEARTBEATS * self.state.config.report_us
        )
        # The commit's answer may have been slow: in the meantime the job may have been cancelled, and its
        # user told that no more tasks start.
        return (
            attempt.stop_grace_us is None and not is_short_task and not self.state.is_cancelled(spec.job_id)
        )

    def _startable(self, placed: list[TaskAttempt]) -> list[TaskAttempt]:
        """Return the attempts that may start after these placements were committed.

        No task of a gang may start before all of its placements are committed; then those committed earlier
        start, too.
        """
        partly_placed = {
            attempt.spec.job_id for attempt in placed if self.state.is_partly_placed(attempt.spec)
        }
        complete_gangs = {
            attempt.spec.job_id: attempt.spec
            for attempt in placed
            if attempt.spec.kind == "gang" and attempt.spec.job_id not in partly_placed
        }
        waiting = [
            attempt
            for spec in complete_gangs.values()
            for draft in self.state.drafts_of(spec)
            for attempt in draft.attempts.values()
            if attempt.state == AttemptState.PLACED and attempt not in placed
        ]
        return [*waiting, *(attempt for attempt in placed if attempt.spec.job_id not in partly_placed)]

    def on_malformed(self, batch: GroupCommit, now_us: int, wall_us: int) -> None:
        """Split up a group commit that the state service rejected as malformed, and will always reject.

        Its keys are written in separate transactions; a record that was alone in the commit is written with
        fewer new placements.
        """
        self.on_rejected(batch, now_us, wall_us, unchanged=True)
        keys = batch.keys
        if len(keys) > 1:
            self.isolated_keys.extend(key for key in keys if key not in self.isolated_keys)
        elif batch.drafts:
            self._reduce_placements(batch.drafts[0], batch.placed_attempts, now_us)
        else:
            self._abandon_key(keys[0], "malformed by itself")

    def _reduce_placements(self, draft: PlacementDraft, placed: list[TaskAttempt], now_us: int) -> None:
        """Halve the new placements written with a malformed record; discard a single one.

        A record that was malformed without new placements is not written again until it changes.
        """
        if not placed:
            self._defer_until_changed(draft)
            return
        if len(placed) > 1:
            draft.max_new_placements = len(placed) // 2
        else:
            is_gang = draft.spec.kind == "gang"
            for attempt in _uncommitted_placements(draft):
                if is_gang or attempt is placed[0]:
                    self._discard_placement(draft, attempt)
            self._back_off(draft, now_us)
            self._add_unwritable_key(draft.key, f"malformed with one new placement, on {placed[0].machine}")
        self.isolated_keys.append(draft.key)

    def on_rejected(
        self, batch: GroupCommit, now_us: int, wall_us: int, unchanged: bool, failed: Collection[str] = ()
    ) -> None:
        """Restore the committed state after a group commit that was not applied, or may not have been.

        Args:
            batch: The group commit.
            now_us: Time of the monotonic clock.
            wall_us: Time of the wall clock.
            unchanged: Whether the commit was certainly not applied and none of its conditions failed; it is
                then written again later. Otherwise its drafts are reloaded from the replica, which has been
                brought up to date, and the placements are decided again.
            failed: Keys whose conditions failed. Records that do not depend on these keys are also kept and
                written again later. Seen: one moved route undid a dozen unrelated placements.
        """
        reloaded_drafts: set[tuple[str, int]] = set()
        for draft in batch.drafts:
            draft.in_flight = False
            if unchanged or (failed and not self._depends_on(draft, batch, failed)):
                draft.dirty = True
                draft.freed = [*batch.freed.get(draft.key, ()), *draft.freed]
            else:
                reloaded_drafts.add((draft.spec.job_id, draft.chunk))
                self.state.reload_draft(draft, now_us, wall_us)
        pending_writes = self.state.pending_writes
        for key, (record, _) in batch.puts.items():
            if key.startswith(("m/", "d/")):
                pending_writes.setdefault(key, (record, {}))
        for key in batch.deletes:
            pending_writes.setdefault(key, (None, {}))
        # The attempts whose ends were in an undone record are restored, and the next heartbeats report the
        # ends again: a worker is told to forget a task only after its end is recorded.
        for machine_name, task_key in batch.recorded_ends:
            job_id, task = parse_task_name(task_key[0])
            machine = self.state.machines.get(machine_name)
            if machine is not None and (job_id, task // TASKS_PER_RECORD) in reloaded_drafts:
                machine.unrecorded_ends.discard(task_key)

    def _depends_on(self, draft: PlacementDraft, batch: GroupCommit, failed: Collection[str]) -> bool:
        """Return whether this record depends on one of the failed keys of the batch."""
        job_id = draft.spec.job_id
        shard_id = self.state.shard_id
        own_keys = {draft.key, f"j/{job_id}", route_key(shard_id, job_id), f"part/{shard_id}"}
        return not own_keys.isdisjoint(failed) or any(
            attempt.spec.job_id == job_id and f"d/{attempt.machine}" in failed
            for attempt in batch.placed_attempts
        )


def _uncommitted_placements(draft: PlacementDraft) -> list[TaskAttempt]:
    """Return the placements of a draft that are not committed yet."""
    return [attempt for attempt in draft.attempts.values() if attempt.state == AttemptState.PLACING]


def _fit_conditions(
    new_attempts: list[TaskAttempt], batch: GroupCommit, first_conditions: Collection[str]
) -> list[TaskAttempt]:
    """Return the first of the new placements, as many as the transaction's free conditions allow.

    Each further machine needs one condition in addition to those of the record with the first placement
    (``first_conditions``).
    """
    free = batch.size.free_conditions(first_conditions)
    machines = {attempt.machine for attempt in new_attempts[:1]}
    for count, attempt in enumerate(new_attempts):
        if attempt.machine not in machines and len(machines) > free:
            return new_attempts[:count]
        machines.add(attempt.machine)
    return new_attempts
