"""The group commits of a shard: what is written together, and what follows from the answer."""

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

# Tasks that are over within so many intervals between heartbeats are short.
SHORT_REPORTS = 3
# How long a gang is not placed again whose placements can't be written.
GANG_RETRY_US = 60 * SECOND_US
# A record that others of the same transaction come before goes with the next one, if the conditions of all
# were more than so many for each operation: the more there are, the more often one of them fails.
PREFERRED_CONDITIONS_PER_OPERATION = 2
# About what one placement takes in a record.
PLACEMENT_BYTES = 64

# Ends that are not recorded yet, as machine and task key, by job and chunk.
UnrecordedEnds = dict[tuple[str, int], list[tuple[str, TaskKey]]]


class GroupCommitter:
    """Gathers what is to be written, and carries out what a commit permits.

    Attributes:
        state: The data of the shard.
        isolated: Keys of malformed transactions, each of which is written in one of its own next.
        isolated_turn: Whether one of these comes next; they take turns with everything else.
        unwritable: Keys of which even that was malformed.
        unwritten: What could not be written, for the log.
    """

    def __init__(self, state: ShardState) -> None:
        """Write what changes in ``state``."""
        self.state = state
        self.isolated: deque[str] = deque()
        self.isolated_turn = True
        self.unwritable: set[str] = set()
        self.unwritten: list[UnwritableKey] = []

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

        What was in a malformed one is written alone, in turn with everything else, which goes on meanwhile.
        """
        while self.isolated and self.isolated_turn:
            batch = self._gather(now_us, wall_us, only=self.isolated.popleft())
            if batch is not None:
                self.isolated_turn = False
                return batch
        self.isolated_turn = True
        batch = self._gather(now_us, wall_us)
        return self.gather_commit(now_us, wall_us) if batch is None and self.isolated else batch

    def _gather(self, now_us: int, wall_us: int, only: str | None = None) -> GroupCommit | None:
        """Return a group commit; ``only``: the one key that is written, None for all that aren't isolated."""
        state = self.state
        limits = state.config.transaction_limits
        batch = GroupCommit(limits, f"part/{state.shard_id}", state.fencing_token)
        self._add_drafts(batch, only, now_us)
        if only is None:
            self._add_completed_jobs(batch, wall_us)
        self._add_due_job_ends(batch, only, now_us, wall_us)
        self._add_pending_writes(batch, only)
        return batch if batch.changes else None

    def _in_turn(self, key: str, only: str | None) -> bool:
        """Return whether a key may be written now."""
        return key not in self.isolated if only is None else key == only

    def _add_drafts(self, batch: GroupCommit, only: str | None, now_us: int) -> None:
        """Add placement records."""
        limit = self.state.config.txn_ops
        ends: UnrecordedEnds | None = None
        operations = 0
        # Gangs first: what waits for a start waits whole. Then what was not written for longest: seen with a
        # vast array, whose record had something new each time, that hundreds of small jobs never came to
        # their turn.
        for draft in sorted(
            (
                draft
                for draft in self.state.drafts.values()
                if draft.dirty and not draft.in_flight and self._in_turn(draft.key, only)
            ),
            key=lambda draft: (draft.spec.kind != "gang", draft.written_at_us),
        ):
            # A record may bring its job's end along: both must fit. An array's end takes the place of its
            # last record.
            operations += 2 if draft.done_tasks and draft.spec.kind != "array" else 1
            if batch.drafts and operations > limit:
                break
            if ends is None:
                ends = self._unrecorded_ends()
            if not self._add_draft(draft, batch, ends, now_us):
                break

    def _unrecorded_ends(self) -> UnrecordedEnds:
        """Return the ends that are not recorded yet, by the record that they belong to."""
        ends: UnrecordedEnds = {}
        for machine in self.state.machines.values():
            for key in machine.unrecorded_ends:
                job_id, task = parse_task_name(key[0])
                ends.setdefault((job_id, task // TASKS_PER_RECORD), []).append((machine.name, key))
        return ends

    def _add_draft(
        self, draft: PlacementDraft, batch: GroupCommit, ends: UnrecordedEnds, now_us: int
    ) -> bool:
        """Add a record; return False if it does not fit beside the others.

        One that does not fit alone is written in parts: with some of its new placements now, and the others
        in later transactions.
        """
        job = self.state.replica.jobs[draft.spec.job_id]
        route = job.routes.get(self.state.shard_id)
        new = self._within_value(draft, self._new_placements(draft, job, route), now_us)
        some = new[: draft.most_new]
        if not batch.drafts:
            some = _within_conditions(some, batch, self._conditions_of(draft, job, route, some[:1]))
        while True:
            conditions = self._conditions_of(draft, job, route, some)
            if some and batch.drafts and self._too_many_conditions(batch, conditions):
                return False
            raw = msgspec.json.encode(draft.to_record({attempt.task for attempt in new[len(some) :]}))
            if batch.size.try_add(conditions, {draft.key: len(raw)}):
                break
            if batch.drafts:
                return False
            if not some:
                self._hold(draft)
                return True
            some = some[: len(some) // 2]
        batch.preconditions.update(conditions)
        batch.puts[draft.key] = (msgspec.Raw(raw), None)
        batch.drafts.append(draft)
        batch.placed_attempts.extend(some)
        if len(some) < len(new):
            batch.partial.add(draft.key)
        batch.recorded_ends.extend(ends.get((draft.spec.job_id, draft.chunk), ()))
        draft.dirty = False
        draft.in_flight = True
        draft.written_at_us = now_us
        return True

    def _too_many_conditions(self, batch: GroupCommit, conditions: dict[str, int]) -> bool:
        """Return whether a batch with these conditions too would fail too often."""
        preferred = PREFERRED_CONDITIONS_PER_OPERATION * self.state.config.txn_ops
        return len(batch.preconditions.keys() | conditions.keys()) > preferred

    def _new_placements(self, draft: PlacementDraft, job: Job, route: Route | None) -> list[TaskAttempt]:
        """Return the placements that are still to be written, and allowed by the records as known now."""
        new = _placing(draft)
        # The conditions name the records as they are known now. What was decided by older ones must be
        # checked again, or the conditions would hold for something that is no longer allowed: seen as
        # a task started in two shards, when its route moved between the decision and the write.
        stale = [attempt for attempt in new if not self._allowed(attempt, job, route)]
        if not stale:
            return new
        for attempt in new if draft.spec.kind == "gang" else stale:
            self._unplace(draft, attempt)
        return [attempt for attempt in new if attempt.state == AttemptState.PLACING]

    def _allowed(self, attempt: TaskAttempt, job: Job, route: Route | None) -> bool:
        """Return whether the records as they are known now allow what was decided."""
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

    def _unplace(self, draft: PlacementDraft, attempt: TaskAttempt) -> None:
        """Forget a decision that was never written."""
        ATTEMPT_TRANSITIONS.transition(attempt, AttemptState.ENDED)
        draft.attempts.pop(attempt.task, None)
        machine = self.state.machines.get(attempt.machine)
        if machine is not None:
            machine.attempts.pop((attempt.name, attempt.number), None)
        self.state.pass_due = True

    def _conditions_of(
        self, draft: PlacementDraft, job: Job, route: Route | None, new: list[TaskAttempt]
    ) -> dict[str, int]:
        """Return what a record with new placements is conditional on."""
        job_id = draft.spec.job_id
        conditions = {draft.key: draft.version}
        if new:
            # Not routed here any more, or over: the records decide, not what was meant to start.
            conditions[route_key(self.state.shard_id, job_id)] = route.version if route else 0
            conditions[f"j/{job_id}"] = job.version
            conditions.update((f"d/{attempt.machine}", 0) for attempt in new)
        return conditions

    def _within_value(self, draft: PlacementDraft, new: list[TaskAttempt], now_us: int) -> list[TaskAttempt]:
        """Return the new placements that the record's value has room for; the others are decided again later.

        A gang that does not fit whole is not placed.
        """
        limit = self.state.config.value_bytes
        while new and (size := len(msgspec.json.encode(draft.to_record()))) > limit:
            excess = max((size - limit) // PLACEMENT_BYTES, 1)
            if draft.spec.kind == "gang":
                excess = len(new)
                reason = f"a gang's placements take {size} bytes, more than a value may have"
                self._report(draft.key, reason)
            for attempt in new[-excess:]:
                self._unplace(draft, attempt)
            new = new[:-excess]
            self._back_off(draft, now_us)
        return new

    def _add_completed_jobs(self, batch: GroupCommit, wall_us: int) -> None:
        """Add the ends of jobs that are complete with the batch's records."""
        for draft in batch.drafts:
            job = self.state.replica.jobs[draft.spec.job_id]
            done = job.done_tasks
            for other in self.state.drafts_of(draft.spec):
                if other in batch.drafts or not other.dirty:
                    done |= other.done_tasks
            shard_id = self.state.shard_id
            if min((placed_in for placed_in, _ in job.placements), default=shard_id) < shard_id:
                # Another shard ends the job once it hears of this. Seen: the shards of a wide gang, done at
                # the same moment, refused each other's commits, and its places stayed taken for seconds.
                continue
            if done == job.spec.all_tasks and job.state == JobState.QUEUED and job.spec.kind != "service":
                self._add_job_end(job, batch, wall_us)

    def _add_due_job_ends(self, batch: GroupCommit, only: str | None, now_us: int, wall_us: int) -> None:
        """Add the ends of jobs that are complete by their records."""
        jobs_to_finish = self.state.jobs_to_finish
        limit = self.state.config.txn_ops
        for job_id, at_us in list(jobs_to_finish.items()):
            job = self.state.replica.jobs[job_id]
            key = f"j/{job_id}"
            if job.state != JobState.QUEUED or key in self.unwritable:
                del jobs_to_finish[job_id]
            elif at_us <= now_us and batch.changes < limit and self._in_turn(key, only):
                self._add_job_end(job, batch, wall_us)

    def _add_job_end(self, job: Job, batch: GroupCommit, wall_us: int) -> None:
        """Add a job's end if it fits; if not, it follows once its records are known."""
        job_id = job.spec.job_id
        key = f"j/{job_id}"
        record = JobRecord(job.spec, job.submitted_at_us, JobState.DONE, wall_us)
        replaced: list[str] = []
        if job.spec.kind == "array":
            # The job's end says it all.
            replaced = [draft.key for draft in batch.drafts if draft.spec.job_id == job_id]
        if not batch.size.try_add([key], {key: len(msgspec.json.encode(record))}, replaced):
            return
        batch.preconditions[key] = job.version
        batch.puts[key] = (record, None)
        batch.finished_jobs.append(job_id)
        for replaced_key in replaced:
            batch.puts.pop(replaced_key, None)

    def _add_pending_writes(self, batch: GroupCommit, only: str | None) -> None:
        """Add records of machines and drains."""
        pending_writes = self.state.pending_writes
        for key, (record, conditions) in list(pending_writes.items()):
            if batch.changes >= self.state.config.txn_ops:
                break
            if key in self.unwritable:
                del pending_writes[key]
                continue
            if not self._in_turn(key, only):
                continue
            size = 0 if record is None else len(msgspec.json.encode(record))
            if not batch.size.try_add(conditions, {key: size}):
                if not batch.changes:
                    self._give_up(key, "larger than a value or a transaction may be")
                continue
            if record is None:
                batch.deletes.append(key)
            else:
                batch.puts[key] = (record, None)
            batch.preconditions.update(conditions)
            del pending_writes[key]

    def _back_off(self, draft: PlacementDraft, now_us: int) -> None:
        """Do not place any more of the job for a while."""
        pause_us = GANG_RETRY_US if draft.spec.kind == "gang" else PLACEMENT_BACKOFF_US
        self.state.placement_backoff_until_us[draft.spec.job_id] = now_us + pause_us

    def _hold(self, draft: PlacementDraft) -> None:
        """Do not write a record again before it changes."""
        draft.dirty = False
        self._report(draft.key, "it does not fit a transaction, and waits until it changes")

    def _give_up(self, key: str, reason: str) -> None:
        """Do not write a key again."""
        self.unwritable.add(key)
        self.state.pending_writes.pop(key, None)
        self.state.jobs_to_finish.pop(key.removeprefix("j/"), None)
        self._report(key, f"{reason}: it is not written any more")

    def _report(self, key: str, reason: str) -> None:
        """Note for the log that a key could not be written as it is."""
        self.unwritten.append(UnwritableKey(key, reason))

    def on_committed(self, batch: GroupCommit, revision: int, actions: ShardActions) -> None:
        """Send what a group commit permits, now that it is in the state service."""
        for draft in batch.drafts:
            draft.in_flight = False
            draft.dirty |= draft.key in batch.partial
            if draft.key in batch.puts:
                draft.version = revision
        placed = [attempt for attempt in batch.placed_attempts if attempt.state == AttemptState.PLACING]
        for attempt in placed:
            ATTEMPT_TRANSITIONS.transition(attempt, AttemptState.PLACED)
        for attempt in self._startable(placed):
            if self._start_is_sent(attempt):
                actions.send(attempt.machine, Command(CommandAction.START, attempt.name, attempt.number))
        for name, key in batch.recorded_ends:
            machine = self.state.machines.get(name)
            if machine is not None and key in machine.unrecorded_ends:
                machine.unrecorded_ends.discard(key)
                if key not in machine.attempts:
                    # Told in the next answer: nothing waits for it, and a message of its own for each
                    # task that ends was a third of all that was sent.
                    machine.tasks_to_forget.add(key)
        for job_id in batch.finished_jobs:
            self.state.jobs_to_finish.pop(job_id, None)

    def _start_is_sent(self, attempt: TaskAttempt) -> bool:
        """Return whether a start is sent directly; others go with the answer to a heartbeat, or nowhere."""
        spec = attempt.spec
        # Where tasks are shorter than a few heartbeat intervals, the machine reports at once when one ends,
        # and the start goes with the answer. Seen: with an array of 25,000 such tasks, a message of its own
        # for each start was a third of what the controllers did.
        short = spec.kind == "array" and spec.estimate_us < SHORT_REPORTS * self.state.config.report_us
        # The answer may have been slow, and its user told meanwhile that nothing starts any more.
        return attempt.stop_grace_us is None and not short and not self.state.is_cancelled(spec.job_id)

    def _startable(self, placed: list[TaskAttempt]) -> list[TaskAttempt]:
        """Return what may start now that these are placed.

        Of a gang that is nothing before all of it is placed, and then also what was placed before.
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

    def malformed(self, batch: GroupCommit, now_us: int, wall_us: int) -> None:
        """Write what was in a transaction that the state service will never take in smaller ones.

        Each key is written by itself, and of a record that was alone in it less.
        """
        self.on_rejected(batch, now_us, wall_us, unchanged=True)
        keys = batch.keys
        if len(keys) > 1:
            self.isolated.extend(key for key in keys if key not in self.isolated)
        elif batch.drafts:
            self._write_less(batch.drafts[0], batch.placed_attempts, now_us)
        else:
            self._give_up(keys[0], "malformed by itself")

    def _write_less(self, draft: PlacementDraft, placed: list[TaskAttempt], now_us: int) -> None:
        """Write half of the new placements with which a record was malformed, or none.

        A record that was malformed without any is not written before it changes.
        """
        if not placed:
            self._hold(draft)
            return
        if len(placed) > 1:
            draft.most_new = len(placed) // 2
        else:
            gang = draft.spec.kind == "gang"
            for attempt in _placing(draft):
                if gang or attempt is placed[0]:
                    self._unplace(draft, attempt)
            self._back_off(draft, now_us)
            self._report(draft.key, f"malformed with one new placement, on {placed[0].machine}")
        self.isolated.append(draft.key)

    def on_rejected(
        self, batch: GroupCommit, now_us: int, wall_us: int, unchanged: bool, failed: Collection[str] = ()
    ) -> None:
        """Go back to what is committed: the group commit was not applied, or may not have been.

        Args:
            batch: The group commit.
            now_us: Time of the monotonic clock.
            wall_us: Time of the wall clock.
            unchanged: Whether it certainly was not applied, and nothing stands against it: it is written
                again later. Otherwise, the replica having been renewed, everything in it is decided afresh.
            failed: Keys whose conditions failed. Records that have nothing to do with them are written again
                later too: seen with routes that move, that a dozen placements were undone for one.
        """
        undone: set[tuple[str, int]] = set()
        for draft in batch.drafts:
            draft.in_flight = False
            if unchanged or (failed and not self._concerned(draft, batch, failed)):
                draft.dirty = True
            else:
                undone.add((draft.spec.job_id, draft.chunk))
                self.state.reload_draft(draft, now_us, wall_us)
        pending_writes = self.state.pending_writes
        for key, (record, _) in batch.puts.items():
            if key.startswith(("m/", "d/")):
                pending_writes.setdefault(key, (record, {}))
        for key in batch.deletes:
            pending_writes.setdefault(key, (None, {}))
        # Ends that went with an undone record and were not written are seen again in the next heartbeats:
        # their attempts are back, and nothing is forgotten before its end is recorded.
        for name, ended in batch.recorded_ends:
            job_id, task = parse_task_name(ended[0])
            machine = self.state.machines.get(name)
            if machine is not None and (job_id, task // TASKS_PER_RECORD) in undone:
                machine.unrecorded_ends.discard(ended)

    def _concerned(self, draft: PlacementDraft, batch: GroupCommit, failed: Collection[str]) -> bool:
        """Return whether a failed condition of the batch speaks against this record."""
        job_id = draft.spec.job_id
        shard_id = self.state.shard_id
        own_keys = {draft.key, f"j/{job_id}", route_key(shard_id, job_id), f"part/{shard_id}"}
        return not own_keys.isdisjoint(failed) or any(
            attempt.spec.job_id == job_id and f"d/{attempt.machine}" in failed
            for attempt in batch.placed_attempts
        )


def _placing(draft: PlacementDraft) -> list[TaskAttempt]:
    """Return the placements of a draft that are still to be written."""
    return [attempt for attempt in draft.attempts.values() if attempt.state == AttemptState.PLACING]


def _within_conditions(
    new: list[TaskAttempt], batch: GroupCommit, of_first: Collection[str]
) -> list[TaskAttempt]:
    """Return as many of the new placements as a transaction has conditions for.

    Each machine takes one beside those of a record with the first of them (``of_first``).
    """
    free = batch.size.free_conditions(of_first)
    machines = {attempt.machine for attempt in new[:1]}
    for count, attempt in enumerate(new):
        if attempt.machine not in machines and len(machines) > free:
            return new[:count]
        machines.add(attempt.machine)
    return new
