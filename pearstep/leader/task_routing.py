"""Routing of arrays and services, whose tasks are routed one by one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.scheduling_order import StartObjectives
from pearstep.domain.task_set import task_numbers
from pearstep.leader.scheduling_pass import SchedulingPass
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.scheduling.placement import max_tasks_per_zone
from pearstep.state.job import Job, Route
from pearstep.state.replica import Replica

# A route to a zone without free resources is withdrawn after this many settling times.
ZONE_SETTLE_TIMES = 5
# The zone counted for tasks on machines that have no record any more.
UNKNOWN_ZONE = "?"


@dataclass(frozen=True, kw_only=True)
class TaskRoutingConfig:
    """The operators' tuning of the routing of tasks.

    Attributes:
        backlog: The maximum number of tasks of one job that are routed beyond what fits now.
        start_objectives: The start objectives by job class.
        first_start_within_us: The time within which each job is to start its first task; a job that has
            waited half of it is scheduled ahead of others.
    """

    backlog: int
    start_objectives: StartObjectives
    first_start_within_us: int


def route_tasks(work: SchedulingPass, job: Job, config: TaskRoutingConfig) -> None:
    """Route the tasks of an array or a service.

    Tasks that are routed but not placed come first: they use their shard's free resources, or move to a shard
    that has some.
    """
    _reconsider_routes(work, job)
    spec = job.spec
    unrouted = spec.all_tasks & ~job.done_tasks & ~job.routed_tasks & ~job.placed_tasks & ~job.offloaded_tasks
    if job.is_overdue(work.wall_us, config.first_start_within_us):
        # Only the first task of an overdue job is scheduled ahead of other jobs.
        unrouted = 0 if job.routed_tasks else unrouted & -unrouted
    if unrouted and not work.quota_limits.is_held_back(spec):
        NewRoutes(work, job, config).route(unrouted)


def waiting_tasks(job: Job, route: Route) -> int:
    """Return the tasks of a route that are not placed and not done, as a mask."""
    return route.tasks & ~job.done_tasks & ~job.placed_tasks


def _reconsider_routes(work: SchedulingPass, job: Job) -> None:
    spec = job.spec
    moved = 0
    unplaced = 0
    for shard_id, route in job.routes.items():
        waiting = waiting_tasks(job, route)
        if not waiting:
            continue
        count = waiting.bit_count()
        fitting = work.snapshot.allocate(spec, count, shard_id, None)
        work.load[shard_id] += (count - fitting) * spec.cpus
        if fitting == count:
            continue
        unplaced += count - fitting
        routed_for_us = work.now_us - route.observed_at_us
        if routed_for_us <= work.settle_us:
            continue
        if not route.zone_tasks:
            moved += _move_waiting_tasks(work, job, shard_id, task_numbers(waiting)[fitting:])
        elif routed_for_us > ZONE_SETTLE_TIMES * work.settle_us:
            # The tasks are bound to a zone without free resources; the next pass chooses a zone again.
            work.route_plan(job).remove(shard_id, waiting)
    if unplaced > moved:
        work.unplaced.append(UnplacedWork(job, unplaced - moved))


def _move_waiting_tasks(work: SchedulingPass, job: Job, shard_id: int, tasks: list[int]) -> int:
    """Move waiting tasks to shards with free resources and return how many were moved."""
    spec = job.spec
    free_by_shard = work.snapshot.free_by_shard(spec, None)
    moves: dict[int, int] = {}
    for task in tasks:
        target = max(free_by_shard, key=lambda shard: (free_by_shard[shard], -shard), default=shard_id)
        if target == shard_id or not free_by_shard[target]:
            break
        free_by_shard[target] -= 1
        moves[target] = moves.get(target, 0) | 1 << task
    for target, mask in moves.items():
        work.snapshot.allocate(spec, mask.bit_count(), target, None)
        work.route_plan(job).remove(shard_id, mask)
        work.route_plan(job).add(target, None, mask)
        work.load[shard_id] -= mask.bit_count() * spec.cpus
    return sum(mask.bit_count() for mask in moves.values())


def _count_tasks_by_zone(replica: Replica, job: Job) -> dict[str, int]:
    """Count the tasks of the job that are placed in each zone or routed to it."""
    counts: dict[str, int] = {}
    for placements in job.placements.values():
        for placement in placements.record.placements.values():
            registered = replica.machines.get(placement.machine)
            zone = registered[1].zone if registered else UNKNOWN_ZONE
            counts[zone] = counts.get(zone, 0) + 1
    for route in job.routes.values():
        for zone, mask in route.zone_tasks.items():
            count = (mask & ~job.done_tasks & ~job.placed_tasks).bit_count()
            if count:
                counts[zone] = counts.get(zone, 0) + count
    return counts


def _yields_to_gangs(work: SchedulingPass, job: Job, objectives: StartObjectives) -> bool:
    """Tell whether the job can wait while gangs with a shorter start objective are unplaced.

    A job can wait for half of the start objective of its class.
    """
    objective = objectives.get(job.spec.job_class)
    return (
        objective is not None
        and job.spec.spot
        and work.wall_us - job.submitted_at_us < objective[0] // 2
        and any(
            other.spec.kind == "gang"
            and not other.spec.spot
            and objectives.get(other.spec.job_class, objective) < objective
            for other, _ in work.unplaced
        )
    )


class _RouteTarget(NamedTuple):
    """The shard a task is routed to, and the zone if the job is bound to zones."""

    shard_id: int
    zone: str | None


class NewRoutes:
    """Routes the unrouted tasks of one job.

    Each task goes to the shard with most free resources; up to ``backlog`` tasks are routed beyond what fits.
    """

    def __init__(self, work: SchedulingPass, job: Job, config: TaskRoutingConfig) -> None:
        """Count the job's tasks by shard and zone."""
        spec = job.spec
        self.work = work
        self.job = job
        self.spec: JobSpec = spec
        self.is_zone_bound = bool(spec.one_zone or spec.spread)
        self.zone_counts = _count_tasks_by_zone(work.replica, job) if self.is_zone_bound else {}
        # Each shard has a limit of waiting tasks. Seen with 25,000 small tasks on an idle fleet: all were
        # routed at once, every fifth task to the same shard, and such a list does not fit into a record.
        self.waiting_by_shard = {
            shard_id: waiting_tasks(job, route).bit_count() for shard_id, route in job.routes.items()
        }
        self.waiting = sum(self.waiting_by_shard.values())
        # While gangs with a shorter start objective wait, jobs that may start later do not use the machines
        # that those gangs could use. Seen: resources that were freed bit by bit went to small tasks at once,
        # and a gang of 16 never found enough free resources at the same time.
        yields_to_gangs = not self.is_zone_bound and _yields_to_gangs(work, job, config.start_objectives)
        self.backlog = 0 if yields_to_gangs else config.backlog
        self.free = {} if self.is_zone_bound else work.snapshot.free_by_shard(spec, None, yields_to_gangs)
        self.counts: dict[_RouteTarget, int] = {}
        self.remaining = 0

    def route(self, unrouted: int) -> None:
        """Route as many tasks of a mask as limits and capacity allow."""
        self.remaining = unrouted.bit_count()
        while self.remaining and self._route_next():
            pass
        self._add_to_plan(unrouted)
        limits = self.work.max_waiting_tasks
        at_waiting_limit = any(count >= limits[shard_id] for shard_id, count in self.waiting_by_shard.items())
        if self.remaining and not at_waiting_limit:
            self.work.unroutable.append(UnplacedWork(self.job, self.remaining))

    def _route_next(self) -> bool:
        """Choose a shard for one more task.

        Returns:
            False if no more tasks can be routed.
        """
        quota_limits = self.work.quota_limits
        if not quota_limits.allows(self.spec, 1):
            # The team's quota limit blocks the remaining tasks, so renting machines would not help.
            quota_limits.mark_waiting(self.spec)
            self.remaining = 0
            return False
        zone = None
        if self.is_zone_bound:
            zone = self._choose_zone()
            if zone is None:
                return False
            self.free = self.work.snapshot.free_by_shard(self.spec, zone)
        shard_id = self._choose_shard(zone)
        if shard_id is None:
            return False
        target = _RouteTarget(shard_id, zone)
        self.counts[target] = self.counts.get(target, 0) + 1
        self.waiting_by_shard[shard_id] = self.waiting_by_shard.get(shard_id, 0) + 1
        if zone is not None:
            self.zone_counts[zone] = self.zone_counts.get(zone, 0) + 1
        quota_limits.charge(self.spec, 1)
        self.remaining -= 1
        return True

    def _choose_zone(self) -> str | None:
        """Return the zone for the next task of a job that is bound to zones; None if there is none."""
        spec = self.spec
        counts = self.zone_counts
        if spec.one_zone and counts:
            return next(iter(counts)) if len(counts) == 1 else None
        snapshot = self.work.snapshot
        zones = {
            zone
            for (_, zone, *_), count in snapshot.when_empty.by_group(spec).items()
            if count and (spec.one_zone or counts.get(zone, 0) < max_tasks_per_zone(spec))
        }
        return max(
            sorted(zones), key=lambda zone: sum(snapshot.free_by_shard(spec, zone).values()), default=None
        )

    def _choose_shard(self, zone: str | None) -> int | None:
        """Allocate in the shard with most free resources, or choose one to wait in; None if there is none."""
        free = self.free
        shard_id = max(free, key=lambda shard: (free[shard], -shard), default=None)
        if shard_id is None or not free[shard_id]:
            return self._choose_waiting_shard(zone)
        if self.waiting_by_shard.get(shard_id, 0) >= self.work.max_waiting_tasks[shard_id]:
            return None
        free[shard_id] -= 1
        if self.is_zone_bound:
            self.work.snapshot.allocate(self.spec, 1, shard_id, zone)
        return shard_id

    def _choose_waiting_shard(self, zone: str | None) -> int | None:
        """Return the least loaded shard that could hold the task when empty; None if the backlog is full."""
        if self.waiting >= self.backlog:
            return None
        capable_shards = self.work.snapshot.shards_when_empty(self.spec, zone)
        if not capable_shards:
            return None
        shard_id = min(capable_shards, key=self.work.load_order)
        self.work.load[shard_id] += self.spec.cpus
        self.waiting += 1
        self.work.unplaced.append(UnplacedWork(self.job, 1))
        return shard_id

    def _add_to_plan(self, unrouted: int) -> None:
        for target, count in self.counts.items():
            # Each shard gets consecutive task numbers, which keeps its record short.
            mask = sum(1 << task for task in task_numbers(unrouted, count))
            unrouted &= ~mask
            self.work.route_plan(self.job).add(target.shard_id, target.zone, mask)
            if not self.is_zone_bound:
                self.work.snapshot.allocate(self.spec, count, target.shard_id, None)
