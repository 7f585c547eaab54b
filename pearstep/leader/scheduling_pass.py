"""The inputs and intermediate results of one scheduling pass of the leader."""

from __future__ import annotations

from pearstep.leader.cluster_snapshot import ClusterSnapshot
from pearstep.leader.quota_limits import QuotaLimits
from pearstep.leader.route_plan import RoutePlan
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.scheduling.placement import Candidate
from pearstep.state.job import Job
from pearstep.state.replica import Replica

# Limits of the tasks of one job that may wait in one shard. The minimum is several times the number of tasks
# that a shard's record allows to run at once; the limit per machine lets a large shard use all its resources.
MIN_WAITING_TASKS = 512
WAITING_TASKS_PER_MACHINE = 2


class SchedulingPass:
    """One scheduling pass: the snapshot, the quota limits and the decisions made so far.

    Attributes:
        now_us: The monotonic clock at the start of the pass.
        settle_us: The minimum age of a route before its tasks are moved.
        wall_us: The wall clock at the start of the pass.
        load: The CPUs of the tasks that wait in each shard without free resources.
        max_waiting_tasks: The maximum number of tasks of one job that may wait in each shard.
        planned_preemptions: The number of tasks routed to each shard in the expectation of preemption there.
        boot_tolerant_classes: The job classes whose start objective covers a machine boot.
        unplaced: Routed tasks for which there are no free resources.
        unroutable: Tasks that no shard can hold.
        route_plans: The new routes by job id.
    """

    def __init__(
        self,
        replica: Replica,
        snapshot: ClusterSnapshot,
        quota_limits: QuotaLimits,
        now_us: int,
        settle_us: int,
        wall_us: int,
    ) -> None:
        """Start a pass without any decisions."""
        self.replica = replica
        self.snapshot = snapshot
        self.quota_limits = quota_limits
        self.now_us = now_us
        self.settle_us = settle_us
        self.wall_us = wall_us
        self.load = {shard_id: 0.0 for shard_id in snapshot.by_shard}
        self.max_waiting_tasks = {
            shard_id: max(MIN_WAITING_TASKS, WAITING_TASKS_PER_MACHINE * len(machines))
            for shard_id, machines in snapshot.by_shard.items()
        }
        self.planned_preemptions: dict[int, int] = {}
        self.boot_tolerant_classes: frozenset[str] = frozenset()
        self.unplaced: list[UnplacedWork] = []
        self.unroutable: list[UnplacedWork] = []
        self.route_plans: dict[str, RoutePlan] = {}
        self._candidates: list[Candidate] | None = None

    def route_plan(self, job: Job) -> RoutePlan:
        """Return the route plan of a job, created at first use since most jobs need none."""
        plan = self.route_plans.get(job.spec.job_id)
        if plan is None:
            plan = self.route_plans[job.spec.job_id] = RoutePlan(job)
        return plan

    def load_order(self, shard_id: int) -> tuple[float, int]:
        """Return a sort key that orders shards by their waiting CPUs per machine."""
        return self.load[shard_id] / max(len(self.snapshot.by_shard[shard_id]), 1), shard_id

    def candidates(self) -> list[Candidate]:
        """Return all usable machines as candidates for gangs that span shards.

        The candidates are shared: resources that one gang uses are not available to the next.
        """
        if self._candidates is None:
            self._candidates = self.snapshot.candidates(self.replica, self.wall_us)
        return self._candidates
