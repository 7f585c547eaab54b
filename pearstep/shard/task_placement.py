"""What starts where in a shard: placement passes, shares of wide gangs, preemption."""

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

# Compared for each task or machine; on CPython 3.11 a member is found slowly on its enum.
_UP = MachineState.UP
_QUEUED = JobState.QUEUED

# How long a job whose task gave way leaves the freed resources alone.
YIELD_US = 5 * SECOND_US
# Behind all priorities.
LAST = 10 * FAR_FUTURE_US
# What a record takes beside its placements, mostly its done tasks, and at most for each placement.
RECORD_BASE_BYTES = 6 * 1024
MAX_PLACEMENT_BYTES = 50
# A record has room for so many placements, however small values may be.
MIN_PLACEMENTS = 16


class TaskPlacement:
    """Decides starts; a decision is only a plan until its record is committed.

    Attributes:
        state: The data of the shard.
    """

    def __init__(self, state: ShardState) -> None:
        """Place tasks on the machines of ``state``."""
        self.state = state

    def run(self, now_us: int, wall_us: int, actions: ShardActions) -> None:
        """Run a placement pass: place what can start, and preempt for what found no machine."""
        candidates = self._place_queued(now_us, wall_us)
        if self.state.backfill.blocked:
            self._preempt(candidates, now_us, actions)

    def candidates(self, now_us: int) -> list[Candidate]:
        """Return the machines that may be given tasks."""
        state = self.state
        config = state.config
        state.replica.machine_reservations.refresh(state.machine_types.values(), now_us)
        # Where even the most urgent class has time, seconds of image fetch matter less than accelerators.
        # Seen: gangs that had 80 s went to accelerator machines to save 4 s, and arrays found no room.
        nearest_us = min((within[0] for within in config.start_objectives.values()), default=0)
        penalty_us = max(config.accelerator_penalty_us, nearest_us // 4)
        return [
            self._candidate_of(machine, penalty_us, now_us)
            for machine in state.machines.values()
            if self._may_be_given_tasks(machine, now_us)
        ]

    def _may_be_given_tasks(self, machine: Machine, now_us: int) -> bool:
        """Return whether a machine takes new tasks."""
        state = self.state
        return not (
            machine.state != _UP
            or not machine.token_acknowledged
            or machine.reclaim_at_us is not None
            or machine.name in state.replica.drains
            or not self._recorded(machine)
            or f"d/{machine.name}" in state.pending_writes
            or state.faults.machine_backs_off(machine.name, now_us)
        )

    def _candidate_of(self, machine: Machine, accelerator_penalty_us: int, now_us: int) -> Candidate:
        """Return a machine as a placement pass sees it."""
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

    def _recorded(self, machine: Machine) -> bool:
        """Return whether the machine's record is committed.

        Were a task placed on one without, and the owner ended, the next owner would take the machine for
        deleted and the task for gone.
        """
        return machine.name in self.state.replica.machines

    def queued_work(self, now_us: int, wall_us: int) -> list[QueuedWork]:
        """Return what waits in this shard."""
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
            items += self._items_of(job, route.zone_tasks, waiting, wall_us, unknown_names)
        return items

    def _waiting_tasks(self, job: Job, route: Route) -> int:
        """Return the bit set of the tasks that are routed here, and neither placed nor done."""
        waiting = route.tasks & ~job.done_tasks
        for draft in self.state.drafts_of(job.spec):
            waiting &= ~draft.done_tasks
            for task in draft.attempts:
                waiting &= ~(1 << task)
        return waiting

    def _items_of(
        self, job: Job, zone_tasks: dict[str, int], waiting: int, wall_us: int, unknown_names: set[str]
    ) -> list[QueuedWork]:
        """Return a job's waiting tasks: one item for each zone that some are bound to, one for the rest."""
        state = self.state
        spec = job.spec
        retry_at_us = max(state.faults.retry_at_us(spec.job_id), state.preempted_until_us.get(spec.job_id, 0))
        overdue = job.is_overdue(wall_us, state.config.first_start_within_us)
        suspect = state.faults.is_suspect(spec.job_id)
        order = self._order_of(job, overdue, suspect, wall_us)
        queue = state.backfill.queue_of(spec)
        limit = self._task_limit(spec, suspect, overdue)
        items: list[QueuedWork] = []
        for zone, mask in _masks_by_zone(zone_tasks, waiting):
            tasks = _startable_tasks(spec, mask, limit, unknown_names)
            if tasks:
                avoided = state.faults.machines_to_avoid(spec.job_id)
                urgent = spec.job_class in state.config.urgent_classes
                run_us = run_time_us(spec)
                items.append(
                    QueuedWork(
                        spec,
                        tasks,
                        order,
                        queue,
                        run_us,
                        zone=zone,
                        retry_at_us=retry_at_us,
                        avoided_machines=avoided,
                        urgent=urgent,
                    )
                )
        return items

    def _order_of(self, job: Job, overdue: bool, suspect: bool, wall_us: int) -> tuple[int, int, str]:
        """Return the key that orders a job among what waits."""
        spec = job.spec
        key = scheduling_key(
            spec,
            job.submitted_at_us,
            wall_us,
            self.state.config.start_objectives,
            self.state.replica.guaranteed_start_within_us(spec.job_id),
            overdue,
        )
        if suspect:
            # Probably submitted with a mistake: after everything else, and with one task, to see.
            key += LAST
        return key, job.submitted_at_us, spec.job_id

    def _task_limit(self, spec: JobSpec, suspect: bool, overdue: bool) -> int:
        """Return how many tasks of a job a pass may start."""
        if spec.kind == "gang":
            return spec.tasks
        drafts = self.state.drafts_of(spec)
        if suspect or overdue:
            # Of what is overdue the first task: the others wait for their turn.
            return 0 if any(draft.attempts for draft in drafts) else 1
        # All that runs stands in one value. Seen: 25,000 small tasks, and a record that was refused.
        value_bytes = self.state.config.value_bytes
        placements = max((value_bytes - RECORD_BASE_BYTES) // MAX_PLACEMENT_BYTES, MIN_PLACEMENTS)
        return max(placements - max((len(draft.attempts) for draft in drafts), default=0), 0)

    def _place_queued(self, now_us: int, wall_us: int) -> list[Candidate]:
        """Start what can start; return the candidates as they are then."""
        state = self.state
        state.faults.expire_avoidance(now_us)
        items = self.queued_work(now_us, wall_us)
        candidates = self.candidates(now_us) if items or self._any_wide() else []
        self._place_wide(candidates, now_us, wall_us)
        if not items:
            state.backfill.blocked = []
            state.backfill.pivots = {}
            return candidates
        for start in state.backfill.scheduling_pass(now_us, candidates, items, state.delay.delay_us):
            self._place_start(start, now_us, wall_us)
        return candidates

    def _place_start(self, start: PlannedStart, now_us: int, wall_us: int) -> None:
        """Place the tasks of a planned start, those of a gang with one attempt number."""
        spec = start.work.spec
        gang = spec.kind == "gang"
        chunks = {task // TASKS_PER_RECORD for task, _ in start.assignments}
        number = max(self.state.draft_for(spec, chunk).last_attempt for chunk in chunks) + 1
        for task, candidate in start.assignments:
            draft = self.state.draft_for(spec, task // TASKS_PER_RECORD)
            if not gang:
                number = draft.last_attempt + 1
            draft.last_attempt = max(draft.last_attempt, number)
            self._place(draft, task, candidate.name, number, now_us, wall_us)

    def _any_wide(self) -> bool:
        """Return whether a share of a wide gang is routed here."""
        return any(
            (route := job.routes.get(self.state.shard_id)) is not None and route.record.machines
            for job in self.state.replica.open_jobs.values()
        )

    def _place_wide(self, candidates: list[Candidate], now_us: int, wall_us: int) -> None:
        """Place our share of gangs wider than any shard, on the machines that the leader chose."""
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
            self._place_share(job.spec, route, by_name, now_us, wall_us)

    def _place_share(
        self, spec: JobSpec, route: Route, by_name: dict[str, Candidate], now_us: int, wall_us: int
    ) -> None:
        """Place our share of one gang; until its time its resources are kept like a pivot's."""
        record = route.record
        machines = record.machines or {}
        drafts = {task: self.state.draft_for(spec, task // TASKS_PER_RECORD) for task in machines}
        if any(draft.last_attempt >= record.attempt or draft.attempts for draft in drafts.values()):
            return  # each attempt is tried once
        end_us = now_us + run_time_us(spec)
        chosen = self._choose_for_share(spec, machines, by_name, end_us)
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

    def _choose_for_share(
        self, spec: JobSpec, machines: dict[int, str], by_name: dict[str, Candidate], end_us: int
    ) -> dict[int, Candidate]:
        """Take the resources for a share's tasks, up to the first that finds none; return them by task."""
        chosen: dict[int, Candidate] = {}
        for task, name in machines.items():
            candidate = by_name.get(name)
            if candidate is None or not candidate.free.fits(spec):
                candidate = self._substitute(spec, name, by_name)
            if candidate is None:
                break
            candidate.start(spec, end_us)
            chosen[task] = candidate
        return chosen

    def _substitute(self, spec: JobSpec, name: str, by_name: dict[str, Candidate]) -> Candidate | None:
        """Return another machine for a wide gang's task, in the zone of the one that the leader chose.

        Seen: a machine was taken before the leader's choice arrived, and the gang's other tasks kept their
        places for nothing until they gave up.
        """
        known = self.state.replica.machines.get(name)
        if known is None:
            return None
        zone = known[1].zone
        queue = self.state.backfill.queue_of(spec)
        able = [c for c in by_name.values() if c.allows(spec, zone) and c.free.fits(spec)]
        return min(able, key=lambda c: c.cost(spec, queue), default=None)

    def _place(
        self, draft: PlacementDraft, task: int, machine_name: str, number: int, now_us: int, wall_us: int
    ) -> None:
        """Plan a task's attempt on a machine."""
        machine = self.state.machines[machine_name]
        attempt = TaskAttempt(draft.spec, task, machine_name, machine.incarnation, number, wall_us, now_us)
        draft.attempts[task] = attempt
        draft.dirty = True
        machine.attempts[attempt.name, number] = attempt

    def _preempt(self, candidates: list[Candidate], now_us: int, actions: ShardActions) -> None:
        """Stop lower-priority tasks where that makes room for a job that finds none."""
        state = self.state
        for candidate in candidates:
            for attempt in state.machines[candidate.name].attempts.values():
                if attempt.stop_grace_us is not None:
                    candidate.free.allocate(attempt.spec, -1)  # it stops already, and frees what it has
        preemption = Preemption(candidates, state.machines, now_us)
        for item in sorted(state.backfill.blocked, key=lambda item: item.sort_key):
            if item.retry_at_us > now_us or state.faults.is_suspect(item.spec.job_id):
                continue
            for victim in preemption.choose_victims(item):
                # Where less is lost since the last checkpoint than saving takes, it stops at once: the
                # job that waits gains the saving time.
                cheap = victim.unsaved_us(now_us) <= victim.spec.save_us
                # Seen: a task that gave way was started again at once in the room that the gang was
                # still waiting to complete, and stopped again, ten times a second.
                state.preempted_until_us[victim.spec.job_id] = now_us + YIELD_US
                state.stop_with_gang(victim, 0 if cheap else stop_grace_us(victim.spec), now_us, actions)


def _masks_by_zone(zone_tasks: dict[str, int], waiting: int) -> Iterator[tuple[str | None, int]]:
    """Yield the waiting tasks that are bound to each zone, and with None those that are bound to none."""
    bound = 0
    for zone, mask in zone_tasks.items():
        bound |= mask
        yield zone, waiting & mask
    yield None, waiting & ~bound


def _startable_tasks(spec: JobSpec, mask: int, limit: int, unknown_names: set[str]) -> list[int]:
    """Return at most ``limit`` of the tasks, without those that a machine still has of an unknown attempt."""
    tasks = task_numbers(mask, limit)
    if not unknown_names:
        return tasks
    startable = [task for task in tasks if f"{spec.job_id}/{task}" not in unknown_names]
    if spec.kind == "gang" and len(startable) < len(tasks):
        return []
    return startable
