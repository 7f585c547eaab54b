"""The leader's route planner: routes jobs to shards within the teams' quota limits.

The planner sends no commands to machines. It reads committed records only, so a new leader continues where
the previous one stopped. A route permits a shard to place tasks. A task counts against its team's limit from
the time it is routed until there is evidence that it is gone.
"""

from __future__ import annotations

from pearstep.domain.job_state import JobState
from pearstep.domain.machine_type import MachineType
from pearstep.domain.scheduling_order import StartObjectives, scheduling_key
from pearstep.domain.team import Team
from pearstep.domain.units import SECOND_US
from pearstep.leader.cluster_snapshot import AllocationLedger, ClusterSnapshot, SnapshotMachine
from pearstep.leader.gang_routing import plan_gang
from pearstep.leader.quota_limits import QuotaLimits
from pearstep.leader.route_plan import RoutePlan
from pearstep.leader.scheduling_pass import SchedulingPass
from pearstep.leader.task_routing import TaskRoutingConfig, route_tasks
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.scheduling.fault_attribution import MAX_BACKOFF_S
from pearstep.state.job import Job
from pearstep.state.replica import Replica

# A job with this many failures and no completed task is treated as failing.
MIN_FAILURES_OF_FAILING_JOB = 3
# The backoff of a failing job doubles up to 2 to this power seconds.
MAX_BACKOFF_EXPONENT = 6


class FailingJob:
    """The backoff of a job of which no task has completed.

    Attributes:
        failures: The job's consecutive failures when it was last checked.
        tries: How many times the failures have increased.
        retry_at_us: The time of the next try, by the monotonic clock.
    """

    __slots__ = ("failures", "retry_at_us", "tries")

    def __init__(self) -> None:
        """Start without a backoff."""
        self.failures = 0
        self.tries = 0
        self.retry_at_us = 0

    def record_failures(self, failures: int, now_us: int) -> None:
        """Extend the backoff if the job has failed again."""
        if failures == self.failures:
            return
        self.failures = failures
        self.tries += 1
        backoff_s = min(2 ** min(self.tries + 1, MAX_BACKOFF_EXPONENT), MAX_BACKOFF_S)
        self.retry_at_us = now_us + backoff_s * SECOND_US


class RoutePlanner:
    """Plans routes from the replica. All state that it keeps between passes can be rebuilt.

    Attributes:
        unplaced: Routed tasks for which the last pass found no free resources.
        unroutable: Tasks that the last pass could not route because no shard can hold them.
    """

    def __init__(  # noqa: PLR0913 - collaborators first, then the tuning, as federation and tests give them
        self,
        fencing_token: int,
        replica: Replica,
        machine_types: dict[str, MachineType],
        teams: dict[str, Team],
        shard_count: int,
        backlog: int,
        start_objectives: StartObjectives | None = None,
        first_start_within_us: int = 0,
    ) -> None:
        """Create a planner over a replica.

        Args:
            fencing_token: The leadership's fencing token.
            replica: The replica of the committed records.
            machine_types: The available machine types by name.
            teams: The teams with their quota limits, by name.
            shard_count: The number of shards.
            backlog: The maximum number of tasks of one job that are routed beyond what fits now.
            start_objectives: The start objectives by job class.
            first_start_within_us: The time within which each job is to start its first task; a job that has
                waited half of it is scheduled ahead of others. 0: no limit.
        """
        self.fencing_token = fencing_token
        self.replica = replica
        self.teams = teams
        self.shard_count = shard_count
        self.backlog = backlog
        self.start_objectives = start_objectives or {}
        self.first_start_within_us = first_start_within_us
        self.ledger = AllocationLedger(replica, machine_types)
        self.unplaced: list[UnplacedWork] = []
        self.unroutable: list[UnplacedWork] = []
        self.failing_jobs: dict[str, FailingJob] = {}

    def snapshot_machines(self) -> list[SnapshotMachine]:
        """Return the machines with the resources that the records leave free."""
        return self.ledger.snapshot_machines()

    def ordered_jobs(self, now_us: int, wall_us: int) -> list[Job]:
        """Return the jobs with waiting tasks in scheduling order.

        Failing jobs come last and are omitted during their backoff.
        """
        jobs = [
            job
            for job in self.replica.open_jobs.values()
            if job.has_waiting_tasks or (job.spans_shards and job.state == JobState.QUEUED)
        ]
        jobs = [job for job in jobs if not self._is_backing_off(job, now_us)]
        jobs.sort(
            key=lambda job: (
                job.spec.job_id in self.failing_jobs,
                scheduling_key(
                    job.spec,
                    job.submitted_at_us,
                    wall_us,
                    self.start_objectives,
                    self.replica.guaranteed_start_within_us(job.spec.job_id),
                    job.is_overdue(wall_us, self.first_start_within_us),
                ),
                job.submitted_at_us,
                job.spec.job_id,
            )
        )
        return jobs

    def _is_backing_off(self, job: Job, now_us: int) -> bool:
        """Tell whether a failing job is in its backoff.

        Seen: gangs that were submitted with a mistake and spread over the shards assembled and failed again
        every few seconds, and machines were rented for them.
        """
        job_id, failures = job.spec.job_id, job.consecutive_failures
        if failures < MIN_FAILURES_OF_FAILING_JOB:
            self.failing_jobs.pop(job_id, None)
            return False
        failing = self.failing_jobs.setdefault(job_id, FailingJob())
        failing.record_failures(failures, now_us)
        return now_us < failing.retry_at_us

    def plan(self, now_us: int, settle_us: int, wall_us: int) -> list[RoutePlan]:
        """Plan one scheduling pass.

        Args:
            now_us: The current time of the monotonic clock.
            settle_us: The minimum age of a route before its tasks are moved.
            wall_us: The current wall time.

        Returns:
            The plans that change routes, most important first.
        """
        for job_id in [each for each in self.failing_jobs if each not in self.replica.open_jobs]:
            del self.failing_jobs[job_id]
        self.replica.machine_reservations.refresh(self.ledger.machine_types.values(), now_us)
        jobs = self.ordered_jobs(now_us, wall_us)
        self.unplaced = []
        self.unroutable = []
        if not jobs:
            return []
        snapshot = ClusterSnapshot(
            self.snapshot_machines(), range(self.shard_count), self.replica.machine_reservations
        )
        quota_limits = QuotaLimits(self.replica, self.teams)
        work = SchedulingPass(self.replica, snapshot, quota_limits, now_us, settle_us, wall_us)
        work.boot_tolerant_classes = self._boot_tolerant_classes()
        task_routing = TaskRoutingConfig(
            backlog=self.backlog,
            start_objectives=self.start_objectives,
            first_start_within_us=self.first_start_within_us,
        )
        for job in jobs:
            if job.spec.kind == "gang":
                plan_gang(work, job)
            else:
                route_tasks(work, job, task_routing)
        if quota_limits.waiting_priority:
            unfinished = [job for job in self.replica.open_jobs.values() if not job.is_final]
            quota_limits.reclaim(unfinished, work.route_plans)
        # No machines are rented for failing jobs.
        self.unplaced = self._without_failing_jobs(work.unplaced)
        self.unroutable = self._without_failing_jobs(work.unroutable)
        return [plan for plan in work.route_plans.values() if plan.changed]

    def _without_failing_jobs(self, unplaced: list[UnplacedWork]) -> list[UnplacedWork]:
        return [work for work in unplaced if work.job.spec.job_id not in self.failing_jobs]

    def _boot_tolerant_classes(self) -> frozenset[str]:
        """Return the job classes whose start objective is covers a machine boot, and so also an image fetch.

        Where possible, gangs of these classes without accelerators avoid machines that have them.
        """
        boot_us = max(
            (machine_type.boot_us for machine_type in self.ledger.machine_types.values()), default=0
        )
        return frozenset(
            job_class for job_class, objective in self.start_objectives.items() if objective[0] >= boot_us
        )
