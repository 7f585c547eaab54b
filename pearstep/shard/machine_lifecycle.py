"""Lifecycle of a shard's machines and their tasks: silence, draining, deletion and stops."""

from __future__ import annotations

from collections.abc import Callable

from pearstep.domain.attempt import AttemptState, TaskAttempt
from pearstep.domain.gang import Gang, GangState
from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.timeouts import AGENT_FAILOVER_US
from pearstep.shard.attempt_completion import AttemptCompletion
from pearstep.shard.commands import IMMEDIATE_DRAIN_REASONS, ShardActions
from pearstep.shard.freed_attempt import EndEvidence
from pearstep.shard.machine import MACHINE_TRANSITIONS, Machine, MachineState
from pearstep.shard.placement_drafts import PlacementDraft
from pearstep.shard.shard_state import ShardState, stop_grace_us
from pearstep.state.job import Job
from pearstep.state.shard_layout import shard_of

# Aliases for hot comparisons (per task or machine): enum member lookup is slow on CPython 3.11.
_DRAINING = MachineState.DRAINING
_SILENT = MachineState.SILENT
_UP = MachineState.UP
_PLACING = AttemptState.PLACING
_DELETING = MachineState.DELETING
_GONE = MachineState.GONE
_UNREACHABLE = MachineState.UNREACHABLE
_CANCELLED = JobState.CANCELLED
_UNCONFIRMED = MachineState.UNCONFIRMED
_PLACED = AttemptState.PLACED
_OBSERVED = AttemptState.OBSERVED

# Interval between two deletions of unreachable machines in a zone where most machines are unreachable.
ZONE_REPLACEMENT_INTERVAL_US = 60 * SECOND_US
# Interval between two probes of a machine that is silent or has not acknowledged our token.
PROBE_INTERVAL_US = 3 * SECOND_US
# Time beyond the longest stop grace after which a drained machine is deleted, even with tasks on it.
DRAIN_MARGIN_US = 10 * SECOND_US
# Delay after a deletion that the cloud did not confirm, and between two deletion requests for a machine that
# never reported.
DELETE_RETRY_US = SECOND_US
EARLY_DELETE_RETRY_US = 5 * SECOND_US
# A lease ends by the worker's clock, which may run slow by one part in CLOCK_RATE_ERROR; LEASE_MARGIN_US is
# added to that.
CLOCK_RATE_ERROR = 500
LEASE_MARGIN_US = SECOND_US

PROBED_STATES = (MachineState.UNCONFIRMED, MachineState.SILENT, MachineState.UNREACHABLE)


class MachineLifecycle:
    """Stops tasks and replaces machines after timeouts, cancellations, withdrawn routes and drains.

    Attributes:
        state: The data of the shard.
        completion: Records the ends of attempts.
        early_deletes: Earliest time of the next deletion request for a machine that never reported here, by
            name.
        next_replacement_at_us: Earliest time of the next deletion in a zone whose machines are mostly
            unreachable.
    """

    def __init__(self, state: ShardState, completion: AttemptCompletion) -> None:
        """Manage the machines of ``state``."""
        self.state = state
        self.completion = completion
        self.early_deletes: dict[str, int] = {}
        self.next_replacement_at_us = 0
        # Cached results of _holds_for_majority, by condition and zone, for one point in time.
        self._majority_cache: dict[tuple[str, str], bool] = {}
        self._majority_cached_at_us = -1

    def run(self, now_us: int, wall_us: int, actions: ShardActions) -> None:
        """Add the stops, probes and deletions that are due now to ``actions``."""
        self._handle_ended_jobs(now_us, wall_us, actions)
        for machine in list(self.state.machines.values()):
            self._update_machine(machine, now_us, wall_us, actions)
        self._delete_unreported_machines(now_us, actions)
        self._update_gangs(now_us, actions)
        self._stop_withdrawn_tasks(now_us, actions)

    def _handle_ended_jobs(self, now_us: int, wall_us: int, actions: ShardActions) -> None:
        """Stop jobs that are cancelled or past their run limit, and drop the drafts of finished jobs."""
        for key, draft in list(self.state.drafts.items()):
            job = self.state.replica.jobs.get(draft.spec.job_id)
            if job is None:
                self.state.forget_job(draft.spec.job_id)
            elif not draft.attempts:
                if job.is_final and not draft.dirty and not draft.in_flight:
                    del self.state.drafts[key]
                    self.state.faults.forget_job(draft.spec.job_id)
            elif job.state == _CANCELLED:
                self._stop_cancelled(draft, job, now_us, wall_us, actions)
            elif job.past_run_limit(wall_us):
                for attempt in list(draft.attempts.values()):
                    self.state.stop_with_gang(attempt, stop_grace_us(attempt.spec), now_us, actions)

    def _stop_cancelled(
        self, draft: PlacementDraft, job: Job, now_us: int, wall_us: int, actions: ShardActions
    ) -> None:
        """Stop the attempts of a cancelled job, and replace machines on which they do not stop in time."""
        config = self.state.config
        is_late = wall_us - job.ended_at_us > config.cancel_us // 2
        for attempt in draft.attempts.values():
            self.state.stop(attempt, 0, now_us, actions)
            # After an outage the cancellation may be read late: the stop command then needs some time first.
            if is_late and now_us - attempt.stop_sent_at_us > 2 * config.report_us + SECOND_US:
                self.state.request_drain(attempt.machine, "stuck", wall_us)

    def _stop_withdrawn_tasks(self, now_us: int, actions: ShardActions) -> None:
        """Stop tasks whose routes the leader has withdrawn to use their team's quota for more urgent work."""
        for draft in self.state.drafts.values():
            if not draft.attempts or draft.in_flight:
                continue
            job = self.state.replica.jobs.get(draft.spec.job_id)
            if job is None:
                continue
            route = job.routes.get(self.state.shard_id)
            routed_tasks = route.tasks if route else 0
            for task, attempt in draft.attempts.items():
                if (
                    not routed_tasks >> task & 1
                    and attempt.state in (_PLACED, _OBSERVED)
                    and not job.done_tasks >> task & 1
                ):
                    self.state.stop_with_gang(attempt, stop_grace_us(attempt.spec), now_us, actions)

    def _update_gangs(self, now_us: int, actions: ShardActions) -> None:
        """Update the states of all gangs; stop the remaining tasks of a gang that lost one."""
        attempts_by_gang: dict[str, list[TaskAttempt]] = {}
        for draft in self.state.drafts.values():
            if draft.spec.kind == "gang" and (draft.attempts or draft.spec.job_id in self.state.gangs):
                attempts_by_gang.setdefault(draft.spec.job_id, []).extend(draft.attempts.values())
        for job_id, attempts in attempts_by_gang.items():
            job = self.state.replica.jobs.get(job_id)
            if job is not None:
                self._update_gang(job, attempts, now_us, actions)

    def _update_gang(self, job: Job, attempts: list[TaskAttempt], now_us: int, actions: ShardActions) -> None:
        """Update the state of one gang."""
        job_id = job.spec.job_id
        tasks_here = job.spec.tasks
        route = job.routes.get(self.state.shard_id)
        if route is not None and route.record.machines:
            tasks_here = route.tasks.bit_count()
        gang = self.state.gangs.setdefault(job_id, Gang())
        done = any(draft.done_tasks for draft in self.state.drafts_of(job.spec))
        if gang.update(tasks_here, done, attempts) == GangState.BREAKING:
            for attempt in attempts:
                if attempt.stop_grace_us is None:
                    self.state.stop(attempt, 0, now_us, actions)
        if not attempts:
            del self.state.gangs[job_id]

    def _update_machine(self, machine: Machine, now_us: int, wall_us: int, actions: ShardActions) -> None:
        """Handle lease expiry, the drain record and silence of one machine."""
        if machine.attempts:
            self._end_expired_lease(machine, now_us, wall_us)
        drain = self.state.replica.drains.get(machine.name)
        if drain is not None:
            if machine.state not in (_DRAINING, _DELETING):
                MACHINE_TRANSITIONS.transition(machine, _DRAINING)
                machine.drain_started_at_us = now_us
            machine.drain_reason = drain.reason
            self._drain(machine, now_us, actions)
            return
        silence_us = now_us - machine.last_heartbeat_us
        if machine.state in (_UP, _UNREACHABLE) and silence_us > 2 * self.state.config.report_us:
            MACHINE_TRANSITIONS.transition(machine, _SILENT)
        if machine.state == _UP and machine.token_acknowledged and machine.unreachable_since_us is None:
            return  # the common case: the machine is up and reachable
        if (
            machine.state in PROBED_STATES or not machine.token_acknowledged
        ) and now_us >= machine.next_probe_at_us:
            machine.next_probe_at_us = now_us + PROBE_INTERVAL_US
            actions.probe(machine.name)
        self._replace_lost(machine, silence_us, now_us, wall_us)

    def _end_expired_lease(self, machine: Machine, now_us: int, wall_us: int) -> None:
        """End the attempts on a machine whose lease has expired.

        The machine has acknowledged our token, so only our answers renewed its lease: it has expired on the
        worker, too.
        """
        if not machine.token_acknowledged:
            return
        lease_us = self.state.config.lease_us
        margin_us = lease_us // CLOCK_RATE_ERROR + LEASE_MARGIN_US
        if now_us - machine.lease_renewed_at_us <= lease_us + margin_us:
            return
        for attempt in list(machine.attempts.values()):
            if attempt.state != _PLACING:
                self.completion.record_end(machine, attempt, EndEvidence.LEASE_EXPIRED, now_us, wall_us)

    def _replace_lost(self, machine: Machine, silence_us: int, now_us: int, wall_us: int) -> None:
        """Request the drain of a machine that has been unreachable or silent for too long."""
        limit_us = self.state.config.machine_silence_us
        if machine.unreachable_since_us is not None:
            # Although the machine sends heartbeats, it receives no commands. Its tasks run until its lease
            # expires; its next session or its deletion frees their resources, as usual.
            if now_us - machine.unreachable_since_us > limit_us and self._may_replace(machine, now_us):
                self.state.request_drain(machine.name, "deaf", wall_us)
        elif machine.state in (_UNCONFIRMED, _SILENT) and silence_us > limit_us:
            # When a partition between zones ends, machines reconnect one by one, and once half have reported
            # the others no longer look partitioned. Seen: 84 working machines were deleted within three
            # seconds. So a machine gets the full silence limit again from when its silence was last excused.
            if self._is_partitioned(machine, now_us) or silence_us <= self._failover_round_us(
                machine, now_us
            ):
                machine.silence_excused_at_us = now_us
            elif now_us - machine.silence_excused_at_us > limit_us:
                self.state.request_drain(machine.name, "lost", wall_us)

    def _may_replace(self, machine: Machine, now_us: int) -> bool:
        """Return whether an unreachable machine may be deleted now.

        If most machines of a zone are unreachable, the network is probably at fault. One machine per
        ``ZONE_REPLACEMENT_INTERVAL_US`` is still deleted, in case it is not.
        """
        if self._holds_for_majority(machine, "deaf", lambda m: m.unreachable_since_us is not None, now_us):
            if now_us < self.next_replacement_at_us:
                return False
            self.next_replacement_at_us = now_us + ZONE_REPLACEMENT_INTERVAL_US
        return True

    def _failover_round_us(self, machine: Machine, now_us: int) -> int:
        """Return how long a machine may be silent while most machines of its zone are silent, else 0.

        Workers that get no answers try each node in turn, and report here again after one round. Seen: a zone
        that received no answers was deleted before its workers had completed this round.
        """
        if not self._most_silent(machine, now_us):
            return 0
        return self.state.config.shard_count * AGENT_FAILOVER_US + SECOND_US

    def _most_silent(self, machine: Machine, now_us: int) -> bool:
        """Return whether most machines of the machine's zone are silent."""
        limit_us = 2 * self.state.config.report_us
        return self._holds_for_majority(
            machine, "silent", lambda m: now_us - m.last_heartbeat_us > limit_us, now_us
        )

    def _holds_for_majority(
        self, machine: Machine, condition: str, predicate: Callable[[Machine], bool], now_us: int
    ) -> bool:
        """Return whether a condition holds for more than half of the zone's machines here, and at least two.

        The result is cached for one pass, because it is needed for every machine of an affected zone.
        """
        if self._majority_cached_at_us != now_us:
            self._majority_cached_at_us = now_us
            self._majority_cache = {}
        is_majority = self._majority_cache.get((condition, machine.zone))
        if is_majority is None:
            in_zone = [
                other
                for other in self.state.machines.values()
                if other.zone == machine.zone and other.state != _DELETING
            ]
            count = sum(predicate(other) for other in in_zone)
            is_majority = count >= 2 and count * 2 > len(in_zone)
            self._majority_cache[condition, machine.zone] = is_majority
        return is_majority

    def _is_partitioned(self, machine: Machine, now_us: int) -> bool:
        """Return whether the machine's zone seems to be partitioned from ours.

        If most machines of another zone are silent at once, a network partition is more likely than many
        failures, and their tasks continue to run.
        """
        return machine.zone != self.state.config.zone and self._most_silent(machine, now_us)

    def _drain(self, machine: Machine, now_us: int, actions: ShardActions) -> None:
        """Stop the tasks on a machine; delete it once they have ended or their time to stop is over."""
        if machine.state != _DRAINING:
            return
        if machine.drain_reason not in IMMEDIATE_DRAIN_REASONS:
            longest_grace_us = self._stop_all(machine, now_us, actions)
            drained_for_us = now_us - machine.drain_started_at_us
            if machine.attempts and drained_for_us < longest_grace_us + DRAIN_MARGIN_US:
                return
        if now_us >= machine.next_delete_at_us:
            MACHINE_TRANSITIONS.transition(machine, _DELETING)
            actions.machines_to_delete.append(machine.name)

    def _stop_all(self, machine: Machine, now_us: int, actions: ShardActions) -> int:
        """Stop the tasks on a machine; return the longest grace in microseconds."""
        reclaim_in_us = None if machine.reclaim_at_us is None else max(machine.reclaim_at_us - now_us, 0)
        longest_grace_us = 0
        for attempt in list(machine.attempts.values()):
            grace_us = stop_grace_us(attempt.spec)
            if reclaim_in_us is not None and reclaim_in_us < attempt.spec.save_us:
                grace_us = 0
            longest_grace_us = max(longest_grace_us, grace_us)
            self.state.stop_with_gang(attempt, grace_us, now_us, actions)
        return longest_grace_us

    def _delete_unreported_machines(self, now_us: int, actions: ShardActions) -> None:
        """Delete machines with a drain record that have never reported to this owner."""
        state = self.state
        for name in state.replica.drains:
            if (
                name not in state.machines
                and name not in state.deleted_machines
                and shard_of(name, state.config.shard_count) == state.shard_id
                # If shards keep to zones, another shard may own the machine, and drains it before deletion.
                and (not state.config.shards_within_zones or name not in state.replica.machines)
                and now_us >= self.early_deletes.get(name, 0)
            ):
                self.early_deletes[name] = now_us + EARLY_DELETE_RETRY_US
                actions.machines_to_delete.append(name)

    def on_delete_failed(self, name: str, now_us: int) -> None:
        """Schedule another attempt at a deletion that the cloud did not confirm."""
        machine = self.state.machines.get(name)
        if machine is not None and machine.state == _DELETING:
            MACHINE_TRANSITIONS.transition(machine, _DRAINING)
            machine.next_delete_at_us = now_us + DELETE_RETRY_US
        self.early_deletes[name] = now_us + DELETE_RETRY_US

    def on_machine_deleted(self, name: str, now_us: int, wall_us: int) -> None:
        """End all attempts on a machine whose deletion the cloud has confirmed."""
        state = self.state
        machine = state.machines.pop(name, None)
        if machine is not None:
            for attempt in list(machine.attempts.values()):
                self.completion.record_end(machine, attempt, EndEvidence.MACHINE_DELETED, now_us, wall_us)
            MACHINE_TRANSITIONS.transition(machine, _GONE)
        state.deleted_machines.add(name)
        self.early_deletes.pop(name, None)
        state.backfill.forget(name)
        state.pending_writes[f"d/{name}"] = (None, {})
        state.pending_writes[f"m/{state.shard_id}/{name}"] = (None, {})
