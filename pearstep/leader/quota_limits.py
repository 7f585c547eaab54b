"""Quota limits of the teams: the usage of their tasks, and withdrawing routes to stay within a limit."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.task_set import task_numbers
from pearstep.domain.team import Team
from pearstep.leader.route_plan import RoutePlan
from pearstep.state.job import Job
from pearstep.state.replica import Replica

# The placement time of a task that is routed but not placed; it is later than any real one.
NOT_PLACED_AT_US = 1 << 62


class _ReclaimableTask(NamedTuple):
    """A routed task whose route can be withdrawn."""

    priority: int
    placed_at_us: int
    plan: RoutePlan
    shard_id: int
    task: int


def _reclaim_order(entry: _ReclaimableTask) -> tuple[int, int]:
    """Return a sort key: the lowest priority first, then the latest placement."""
    return -entry.priority, -entry.placed_at_us


class QuotaLimits:
    """The teams' usage of their quota limits during one pass.

    A task counts from the time it is routed until there is evidence that it is gone.
    """

    def __init__(self, replica: Replica, teams: dict[str, Team]) -> None:
        """Count the usage of the replica's open jobs."""
        self.teams = teams
        self.waiting_priority: dict[str, int] = {}
        self.usage: dict[str, tuple[float, float]] = {}
        for job in replica.open_jobs.values():
            count = job.tasks_within_quota().bit_count()
            if count:
                self.charge(job.spec, count)

    def charge(self, spec: JobSpec, count: int) -> None:
        """Count tasks against their team's limit."""
        cpus, gpus = self.usage.get(spec.team, (0.0, 0.0))
        self.usage[spec.team] = (cpus + count * spec.cpus, gpus + count * spec.gpus)

    def allows(self, spec: JobSpec, count: int) -> bool:
        """Tell whether this many more tasks of the job are within the team's limit."""
        team = self.teams.get(spec.team)
        cpus, gpus = self.usage.get(spec.team, (0.0, 0.0))
        return team is None or team.within_limit(cpus + count * spec.cpus, gpus + count * spec.gpus)

    def mark_waiting(self, spec: JobSpec) -> None:
        """Record that the job waits for its team's limit; this holds back lower-priority jobs of the team."""
        waiting = self.waiting_priority.get(spec.team, spec.priority)
        self.waiting_priority[spec.team] = min(waiting, spec.priority)

    def is_held_back(self, spec: JobSpec) -> bool:
        """Tell whether a job of the same team with higher priority waits for the team's limit."""
        return spec.priority > self.waiting_priority.get(spec.team, spec.priority)

    def reclaim(self, jobs: list[Job], route_plans: dict[str, RoutePlan]) -> None:
        """Withdraw routes of lower-priority jobs for jobs that wait for their team's limit.

        Routes of the lowest priority are withdrawn first; within a priority, those of tasks that are not
        placed, then those of the latest placements. A shard owner stops tasks whose routes are withdrawn.

        Args:
            jobs: The open jobs.
            route_plans: The route plans of this pass by job id; missing plans are added.
        """
        for team_name, priority in self.waiting_priority.items():
            team = self.teams.get(team_name)
            team_jobs = [job for job in jobs if job.spec.team == team_name]
            waiting = next(
                (job for job in team_jobs if job.spec.priority == priority and not job.routed_tasks), None
            )
            if waiting is not None and team is not None:
                _reclaim_for(waiting.spec, team, team_jobs, route_plans)


def _reclaim_for(
    waiting: JobSpec, team: Team, team_jobs: list[Job], route_plans: dict[str, RoutePlan]
) -> None:
    """Withdraw routes until a waiting job fits within its team's limit."""
    needed = waiting.tasks if waiting.kind == "gang" else 1
    cpus, gpus = needed * waiting.cpus, needed * waiting.gpus
    reclaimable: list[_ReclaimableTask] = []
    for job in team_jobs:
        remaining = _count_remaining_tasks(job)
        cpus += remaining * job.spec.cpus
        gpus += remaining * job.spec.gpus
        if job.spec.priority > waiting.priority and job.spec.kind != "gang" and job.routed_tasks:
            reclaimable.extend(_reclaimable_tasks(job, route_plans))
    reclaimable.sort(key=_reclaim_order)
    for entry in reclaimable:
        if team.within_limit(cpus, gpus):
            break
        entry.plan.withdraw(entry.shard_id, 1 << entry.task)
        cpus -= entry.plan.job.spec.cpus
        gpus -= entry.plan.job.spec.gpus


def _count_remaining_tasks(job: Job) -> int:
    """Count the tasks that use the quota and are not already being stopped."""
    stopping = job.placed_tasks & ~job.routed_tasks
    return (job.tasks_within_quota() & ~stopping).bit_count()


def _reclaimable_tasks(job: Job, route_plans: dict[str, RoutePlan]) -> Iterator[_ReclaimableTask]:
    """Yield the routed tasks of a job, unless this pass has already changed the job's routes."""
    plan = route_plans.get(job.spec.job_id)
    if plan is None:
        plan = route_plans[job.spec.job_id] = RoutePlan(job)
    if plan.changed:
        return
    placed_at_us = {
        task: placement.placed_at_us
        for placements in job.placements.values()
        for task, placement in placements.record.placements.items()
    }
    for shard_id, route in job.routes.items():
        for task in task_numbers(route.tasks & ~job.done_tasks):
            placed = placed_at_us.get(task, NOT_PLACED_AT_US)
            yield _ReclaimableTask(job.spec.priority, placed, plan, shard_id, task)
