"""Task placement in a shard: placement passes, shares of cross-shard gangs, and preemption."""

from __future__ import annotations

from collections.abc import Iterator

from pearstep.domain.attempt import TaskAttempt
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.scheduling_order import scheduling_key
from pearstep.domain.task_set import task_numbers
from pearstep.domain.units import FAR_FUTURE_US, SECOND_US
from pearstep.scheduling.backfill import PlannedStart
from pearstep.scheduling.placement import Candidate, Reservation
from pearstep.scheduling.queued_work import QueuedWork
from pearstep.shard.commands import ShardActions
from pearstep.shard.machine import Machine, MachineState
from pearstep.shard.placement_drafts import PlacementDraft
from pearstep.shard.preemption import Preemption
from pearstep.shard.shard_state import ShardState, run_time_us, stop_grace_us
from pearstep.state.job import Job, Route
from pearstep.state.records import TASKS_PER_RECORD

# Aliases for hot comparisons (per task or machine): enum member lookup is slow on CPython 3.11.
_UP = MachineState.UP
_QUEUED = JobState.QUEUED

# A job whose task was preempted is not placed again for this long, so that the preempting job gets the
# freed resources.
PLACEMENT_BACKOFF_US = 5 * SECOND_US
# Added to the sort key of a suspect job: orders it after jobs of every priority.
SUSPECT_SORT_OFFSET = 10 * FAR_FUTURE_US
# Size of a placement record without its placements (mostly the bit set of done tasks), and the maximum
# size of one placement in it.
RECORD_BASE_BYTES = 6 * 1024
MAX_PLACEMENT_BYTES = 50
# Lower limit of the placements per record, for settings with a very small value size.
MIN_PLACEMENTS_PER_RECORD = 16


class TaskPlacement:
    """Places tasks on machines. A placement takes effect only when its record is committed.

    Attributes:
        state: The data of the shard.
    """

    def __init__(self, state: ShardState) -> None:
        """Place tasks on the machines of ``state``."""
        self.state = state

    def run(self, now_us: int, wall_us: int, actions: ShardActions) -> None:
        """Run a placement pass: place queued tasks, and preempt others for work that found no machine."""
        candidates = self._place_queued(now_us, wall_us)
        if self.state.backfill.blocked:
            self._preempt(candidates, now_us, actions)

    def candidates(self, now_us: int) -> list[Candidate]:
        """Return the machines that accept new tasks, as candidates of a placement pass."""
        state = self.state
        config = state.config
        state.replica.machine_reservations.refresh(state.machine_types.values(), now_us)
        # If even the strictest start objective leaves time, keeping accelerators free is worth more than a
        # few seconds of image fetch. Seen: gangs with an objective of 80 s were placed on accelerator
        # machines to save 4 s, and arrays found no room.
        strictest_objective_us = min(
            (objective_us[0] for objective_us in config.start_objectives.values()), default=0
        )
        accelerator_penalty_us = max(config.accelerator_penalty_us, strictest_objective_us // 4)
        return [
            self._candidate_of(machine, accelerator_penalty_us, now_us)
            for machine in state.machines.values()
            if self._may_be_given_tasks(machine, now_us)
        ]

    def _may_be_given_tasks(self, machine: Machine, now_us: int) -> bool:
        """Return whether a machine accepts new tasks."""
        state = self.state
        return not (
            machine.state != _UP
            or not machine.token_acknowledged
            or machine.reclaim_at_us is not None
            or machine.name in state.replica.drains
            or not self._is_recorded(machine)
            or f"d/{machine.name}" in state.pending_writes
            or state.faults.machine_backs_off(machine.name, now_us)
        )

    def _candidate_of(self, machine: Machine, accelerator_penalty_us: int, now_us: int) -> Candidate:
        """Return the candidate of a machine for a placement pass."""
        state = self.state
        overrun_share = state.config.overrun_share
        expected_ends = [
            (attempt.expected_end_us(now_us, run_time_us(attempt.spec), overrun_share), attempt.spec)
            for attempt in machine.attempts.values()
        ]
        candidate = Candidate(
            machine.name,
            machine.machine_type,
            machine.zone,
            machine.spot,
            machine.free_resources(state.replica.machine_reservations),
            images=machine.images,
            partition=state.backfill.partition_of(machine.name),
            expected_ends=expected_ends,
        )
        candidate.accelerator_penalty_us = accelerator_penalty_us
        for _, spec in expected_ends:
            if spec.image not in machine.images:
                candidate.fetching.add(spec.image)
        return candidate

    def _is_recorded(self, machine: Machine) -> bool:
        """Return whether the machine's record is committed.

        Without a record, the next owner of the shard would consider the machine deleted and a task placed
        on it lost.
        """
        return machine.name in self.state.replica.machines

    def queued_work(self, now_us: int, wall_us: int) -> list[QueuedWork]:
        """Return the work that waits for placement in this shard."""
        state = self.state
        items: list[QueuedWork] = []
        unknown_names = {name for machine in state.machines.values() for name, _ in machine.unknown_tasks}
        for job in state.replica.open_jobs.values():
            route = job.routes.get(state.shard_id)
            if route is None or job.state != _QUEUED or route.record.machines or job.past_run_limit(wall_us):
                continue
            waiting = self._waiting_tasks(job, route)
            if not waiting or (job.spec.kind == "gang" and waiting != job.spec.all_tasks):
                continue
            items += self._work_items_of(job, route.zone_tasks, waiting, wall_us, unknown_names)
        return items

    def _waiting_tasks(self, job: Job, route: Route) -> int:
        """Return the bit set of the tasks that are routed to this shard and neither placed nor done."""
        waiting = route.tasks & ~job.done_tasks
        for draft in self.state.drafts_of(job.spec):
            waiting &= ~draft.done_tasks
            for task in draft.attempts:
                waiting &= ~(1 << task)
        return waiting

    def _work_items_of(
        self, job: Job, zone_tasks: dict[str, int], waiting: int, wall_us: int, unknown_names: set[str]
    ) -> list[QueuedWork]:
        """Return a job's waiting tasks: one item for each zone with tasks bound to it, one for the others."""
        state = self.state
        spec = job.spec
        retry_at_us = max(
            state.faults.retry_at_us(spec.job_id), state.placement_backoff_until_us.get(spec.job_id, 0)
        )
        overdue = job.is_overdue(wall_us, state.config.first_start_within_us)
        suspect = state.faults.is_suspect(spec.job_id)
        sort_key = self._sort_key_of(job, overdue, suspect, wall_us)
        queue = state.backfill.queue_of(spec)
        limit = self._task_limit(spec, suspect, overdue)
        items: list[QueuedWork] = []
        for zone, mask in _waiting_by_zone(zone_tasks, waiting):
            tasks = _startable_tasks(spec, mask, limit, unknown_names)
            if tasks:
                avoided = state.faults.machines_to_avoid(spec.job_id)
                urgent = spec.job_class in state.config.urgent_classes
                run_us = run_time_us(spec)
                items.append(
                    QueuedWork(
                        spec,
                        tasks,
                        sort_key,
                        queue,
                        run_us,
                        zone=zone,
                        retry_at_us=retry_at_us,
                        avoided_machines=avoided,
                        urgent=urgent,
                    )
                )
        return items

    def _sort_key_of(self, job: Job, overdue: bool, suspect: bool, wall_us: int) -> tuple[int, int, str]:
        """Return the sort key of a job in the queue."""
        spec = job.spec
        priority_key = scheduling_key(
            spec,
            job.submitted_at_us,
            wall_us,
            self.state.config.start_objectives,
            self.state.replica.guaranteed_start_within_us(spec.job_id),
            overdue,
        )
        if suspect:
            # The job is probably faulty: it runs after all other work, and with a single task as a trial.
            priority_key += SUSPECT_SORT_OFFSET
        return priority_key, job.submitted_at_us, spec.job_id

    def _task_limit(self, spec: JobSpec, suspect: bool, overdue: bool) -> int:
        """Return how many tasks of a job one placement pass may start."""
        if spec.kind == "gang":
            return spec.tasks
        drafts = self.state.drafts_of(spec)
        if suspect or overdue:
            # Only the first task of an overdue job is started early; the others wait in normal order.
            return 0 if any(draft.attempts for draft in drafts) else 1
        # All placements of a record must fit into one value of the state service. Seen: the record of an
        # array of 25,000 small tasks was rejected.
        value_bytes = self.state.config.value_bytes
        max_placements = max(
            (value_bytes - RECORD_BASE_BYTES) // MAX_PLACEMENT_BYTES, MIN_PLACEMENTS_PER_RECORD
        )
        return max(max_placements - max((len(draft.attempts) for draft in drafts), default=0), 0)

    def _place_queued(self, now_us: int, wall_us: int) -> list[Candidate]:
        """Place the queued work that can start; return the candidates with their remaining resources."""
        state = self.state
        state.faults.expire_avoidance(now_us)
        items = self.queued_work(now_us, wall_us)
        candidates = self.candidates(now_us) if items or self._has_cross_shard_gangs() else []
        self._place_cross_shard_gangs(candidates, now_us, wall_us)
        if not items:
            state.backfill.blocked = []
            state.backfill.pivots = {}
            return candidates
        for start in state.backfill.scheduling_pass(now_us, candidates, items, state.delay.delay_us):
            self._place_start(start, now_us, wall_us)
        return candidates

    def _place_start(self, start: PlannedStart, now_us: int, wall_us: int) -> None:
        """Place the tasks of a planned start; all tasks of a gang get the same attempt number."""
        spec = start.work.spec
        is_gang = spec.kind == "gang"
        chunks = {task // TASKS_PER_RECORD for task, _ in start.assignments}
        attempt_number = max(self.state.draft_for(spec, chunk).last_attempt for chunk in chunks) + 1
        for task, candidate in start.assignments:
            draft = self.state.draft_for(spec, task // TASKS_PER_RECORD)
            if not is_gang:
                attempt_number = draft.last_attempt + 1
            draft.last_attempt = max(draft.last_attempt, attempt_number)
            self._place(draft, task, candidate.name, attempt_number, now_us, wall_us)

    def _has_cross_shard_gangs(self) -> bool:
        """Return whether a share of a cross-shard gang is routed to this shard."""
        return any(
            (route := job.routes.get(self.state.shard_id)) is not None and route.record.machines
            for job in self.state.replica.open_jobs.values()
        )

    def _place_cross_shard_gangs(self, candidates: list[Candidate], now_us: int, wall_us: int) -> None:
        """Place this shard's share of cross-shard gangs on the machines that the leader chose.

        A cross-shard gang is one that no single shard has room for.
        """
        by_name = {candidate.name: candidate for candidate in candidates}
        for job in self.state.replica.open_jobs.values():
            route = job.routes.get(self.state.shard_id)
            if (
                route is None
                or not route.record.machines
                or job.state != _QUEUED
                or job.done_tasks
                or job.past_run_limit(wall_us)
            ):
                continue
            self._place_gang_share(job.spec, route, by_name, now_us, wall_us)

    def _place_gang_share(
        self, spec: JobSpec, route: Route, by_name: dict[str, Candidate], now_us: int, wall_us: int
    ) -> None:
        """Place this shard's share of one gang.

        Before the start time its resources are reserved, as those of a pivot job are.
        """
        record = route.record
        machines = record.machines or {}
        drafts = {task: self.state.draft_for(spec, task // TASKS_PER_RECORD) for task in machines}
        if any(draft.last_attempt >= record.attempt or draft.attempts for draft in drafts.values()):
            return  # each attempt number is placed only once
        end_us = now_us + run_time_us(spec)
        chosen = self._allocate_gang_share(spec, machines, by_name, end_us)
        if len(chosen) == len(drafts) and wall_us >= record.start_at_us:
            for task, candidate in chosen.items():
                drafts[task].last_attempt = record.attempt
                self._place(drafts[task], task, candidate.name, record.attempt, now_us, wall_us)
            return
        for candidate in chosen.values():
            candidate.revert_start(spec, end_us)
        from_us = now_us + max(record.start_at_us - wall_us, 0)
        for name in machines.values():
            reserved = by_name.get(name)
            if reserved is not None:
                reserved.reservations.append(Reservation(from_us, from_us + run_time_us(spec), spec, 1))

    def _allocate_gang_share(
        self, spec: JobSpec, machines: dict[int, str], by_name: dict[str, Candidate], end_us: int
    ) -> dict[int, Candidate]:
        """Allocate a share's tasks in order until one does not fit; return the chosen candidates by task."""
        chosen: dict[int, Candidate] = {}
        for task, name in machines.items():
            candidate = by_name.get(name)
            if candidate is None or not candidate.free.fits(spec):
                candidate = self._replacement_candidate(spec, name, by_name)
            if candidate is None:
                break
            candidate.start(spec, end_us)
            chosen[task] = candidate
        return chosen

    def _replacement_candidate(
        self, spec: JobSpec, name: str, by_name: dict[str, Candidate]
    ) -> Candidate | None:
        """Return a replacement for a machine that the leader chose, from the same zone.

        Seen: a machine was occupied before the leader's choice arrived, and the gang's other tasks held their
        resources in vain until they timed out.
        """
        machine_entry = self.state.replica.machines.get(name)
        if machine_entry is None:
            return None
        zone = machine_entry[1].zone
        queue = self.state.backfill.queue_of(spec)
        eligible = [c for c in by_name.values() if c.allows(spec, zone) and c.free.fits(spec)]
        return min(eligible, key=lambda c: c.cost(spec, queue), default=None)

    def _place(
        self,
        draft: PlacementDraft,
        task: int,
        machine_name: str,
        attempt_number: int,
        now_us: int,
        wall_us: int,
    ) -> None:
        """Add a task's attempt to its draft and its machine."""
        machine = self.state.machines[machine_name]
        attempt = TaskAttempt(
            draft.spec, task, machine_name, machine.incarnation, attempt_number, wall_us, now_us
        )
        draft.attempts[task] = attempt
        draft.dirty = True
        machine.attempts[attempt.name, attempt_number] = attempt

    def _preempt(self, candidates: list[Candidate], now_us: int, actions: ShardActions) -> None:
        """Stop lower-priority tasks where that makes room for blocked work."""
        state = self.state
        for candidate in candidates:
            for attempt in state.machines[candidate.name].attempts.values():
                if attempt.stop_grace_us is not None:
                    candidate.free.allocate(attempt.spec, -1)  # already stopping: its resources become free
        preemption = Preemption(candidates, state.machines, now_us)
        for item in sorted(state.backfill.blocked, key=lambda item: item.sort_key):
            if item.retry_at_us > now_us or state.faults.is_suspect(item.spec.job_id):
                continue
            for victim in preemption.choose_victims(item):
                # If less work would be lost than a save takes, the task is stopped without saving, and the
                # waiting job starts earlier by the duration of the save.
                skip_save = victim.unsaved_us(now_us) <= victim.spec.save_us
                # Seen: without a pause, a preempted task was restarted at once on the resources that the
                # gang was still collecting, and was stopped again, ten times a second.
                state.placement_backoff_until_us[victim.spec.job_id] = now_us + PLACEMENT_BACKOFF_US
                state.stop_with_gang(victim, 0 if skip_save else stop_grace_us(victim.spec), now_us, actions)


def _waiting_by_zone(zone_tasks: dict[str, int], waiting: int) -> Iterator[tuple[str | None, int]]:
    """Yield the bit set of waiting tasks for each zone, and with None that of tasks bound to no zone."""
    bound_tasks = 0
    for zone, mask in zone_tasks.items():
        bound_tasks |= mask
        yield zone, waiting & mask
    yield None, waiting & ~bound_tasks


def _startable_tasks(spec: JobSpec, mask: int, limit: int, unknown_names: set[str]) -> list[int]:
    """Return at most ``limit`` of the tasks, without those that a machine reports with an unknown attempt."""
    tasks = task_numbers(mask, limit)
    if not unknown_names:
        return tasks
    startable = [task for task in tasks if f"{spec.job_id}/{task}" not in unknown_names]
    if spec.kind == "gang" and len(startable) < len(tasks):
        return []
    return startable
