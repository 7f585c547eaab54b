"""Estimates capacity for offloading from the leader's cluster snapshot, without input or output.

It estimates the starts of waiting jobs and the resources that are free for peers, and selects the offloads of
peers to return.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from pearstep.domain.scheduling_order import StartObjectives
from pearstep.federation import handoff
from pearstep.federation.ledger import RemoteRecord, ResourceAmounts
from pearstep.federation.offload_selection import Grant, WaitingJob, capacity_to_offer
from pearstep.federation.offload_transactions import is_peer_job
from pearstep.leader.cluster_snapshot import ClusterSnapshot
from pearstep.leader.route_planner import RoutePlanner
from pearstep.scheduling.placement import reserve_earliest
from pearstep.state.job import Job

Amounts = tuple[float, float, float]
NO_AMOUNTS: Amounts = (0.0, 0.0, 0.0)
# Starts of so many jobs are estimated one after another; later jobs start no sooner than these.
MAX_START_ESTIMATES = 64
ARCHIVED_IMAGE_PREFIX = "img-"


def add_amounts(a: Amounts, b: Amounts, times: float = 1.0) -> Amounts:
    """Return ``a + times * b``."""
    return a[0] + times * b[0], a[1] + times * b[1], a[2] + times * b[2]


def task_amounts(job: Job) -> Amounts:
    """Return the resources that one task takes."""
    return job.spec.cpus, job.spec.gpus, job.spec.memory_gb


class CapacityEstimate(msgspec.Struct):
    """The capacity of the cluster after a scheduling pass.

    Attributes:
        free: The resources that are free on usable machines.
        own_demand: The resources that own jobs wait for.
        peer_demand: The resources that jobs of peers wait for.
        own_waiting_since_us: The monotonic time since which own jobs have waited without a break.
        refused: Whether the cloud refuses machines at present.
    """

    free: Amounts = NO_AMOUNTS
    own_demand: Amounts = NO_AMOUNTS
    peer_demand: Amounts = NO_AMOUNTS
    own_waiting_since_us: int | None = None
    refused: bool = False


def waiting_jobs(leader: RoutePlanner) -> list[tuple[Job, int]]:
    """Return the jobs with tasks that were not placed in the last pass, and the number of these tasks."""
    waiting: dict[str, tuple[Job, int]] = {}
    for job, count in [*leader.unplaced, *leader.unroutable]:
        before = waiting.get(job.spec.job_id, (job, 0))[1]
        waiting[job.spec.job_id] = (job, before + count)
    return list(waiting.values())


def estimate_capacity(leader: RoutePlanner, before: CapacityEstimate, now_us: int) -> CapacityEstimate:
    """Return free resources and demand; tasks that are routed but not placed yet count as placed."""
    capacity = CapacityEstimate()
    for machine in leader.snapshot_machines():
        if machine.usable:
            free = machine.free_by_records
            capacity.free = add_amounts(capacity.free, (free.cpus, free.gpus, free.memory_gb))
    for job in leader.replica.open_jobs.values():
        not_placed_yet = (job.routed_tasks & ~job.done_tasks & ~job.placed_tasks).bit_count()
        if not_placed_yet and not job.is_final:
            capacity.free = add_amounts(capacity.free, task_amounts(job), -not_placed_yet)
    cpus, gpus, memory_gb = capacity.free
    capacity.free = (max(cpus, 0.0), max(gpus, 0.0), max(memory_gb, 0.0))
    for job, count in waiting_jobs(leader):
        if is_peer_job(job.spec):
            capacity.peer_demand = add_amounts(capacity.peer_demand, task_amounts(job), count)
        else:
            capacity.own_demand = add_amounts(capacity.own_demand, task_amounts(job), count)
    if capacity.own_demand != NO_AMOUNTS:
        capacity.own_waiting_since_us = (
            before.own_waiting_since_us if before.own_waiting_since_us is not None else now_us
        )
    return capacity


def can_run_elsewhere(job: Job) -> bool:
    """Tell whether a job can run in another cluster at all.

    Services cannot, nor can jobs that are bound to our machine types or zones, or to an image that only our
    archive has.
    """
    spec = job.spec
    bound = spec.zone is not None or spec.types is not None or spec.image.startswith(ARCHIVED_IMAGE_PREFIX)
    return spec.kind != "service" and not bound and not job.spans_shards and not job.is_final


def waiting_with_estimates(  # noqa: PLR0913 - two clocks and three limits, which the caller reads from three places
    leader: RoutePlanner,
    shard_count: int,
    objectives: StartObjectives,
    default_objective_us: int,
    wait_us: int,
    returned: Mapping[str, int],
    now_us: int,
    wall_us: int,
) -> list[WaitingJob]:
    """Return the jobs that wait here, with an estimate of when each should start.

    Jobs are placed one after another on the existing machines, in the order in which they are scheduled, and
    each keeps its resources.

    Args:
        leader: The planner of the leader after a scheduling pass.
        shard_count: The number of shards.
        objectives: The service-level objectives for starts by job class.
        default_objective_us: The objective of classes without one of their own.
        wait_us: The time that a job must have waited.
        returned: How often each job was returned by a peer.
        now_us: The monotonic time.
        wall_us: The wall time.
    """
    candidates = ClusterSnapshot(
        leader.snapshot_machines(), range(shard_count), leader.replica.machine_reservations
    ).candidates(leader.replica, wall_us)
    waiting: list[WaitingJob] = []
    latest = wall_us
    is_queue_head = True
    for job, _ in waiting_jobs(leader):
        spec = job.spec
        task_count = (spec.all_tasks & ~job.done_tasks & ~job.placed_tasks & ~job.offloaded_tasks).bit_count()
        if not task_count or (spec.kind == "gang" and task_count < spec.tasks):
            continue
        run_us = max(spec.estimate_us, 1_000_000)
        start_us = (
            reserve_earliest(spec, task_count, candidates, wall_us, run_us)
            if len(waiting) < MAX_START_ESTIMATES
            else None
        )
        if start_us is None:
            # The job is larger than all machines together, or after the jobs whose start is estimated.
            start_us = latest + run_us
        latest = max(latest, start_us)
        waited_us = wall_us - job.submitted_at_us
        if can_run_elsewhere(job) and waited_us >= wait_us:
            objective_us = objectives.get(spec.job_class, (default_objective_us,))[0]
            waiting.append(
                WaitingJob(
                    spec.job_id,
                    spec.job_class,
                    spec.team,
                    task_count,
                    spec.cpus,
                    spec.gpus,
                    spec.memory_gb,
                    max(start_us - wall_us, 0),
                    max(objective_us - waited_us, 0),
                    spec.kind == "gang",
                    is_queue_head,
                    is_peer_job(spec),
                    returned.get(spec.job_id, 0),
                )
            )
        is_queue_head = False
    return waiting


def capacity_for_peer(
    grant: Grant, estimate: CapacityEstimate, used: Amounts, reserved: Amounts, drained: bool
) -> Amounts:
    """Return the resources that a peer is offered now.

    If machines may be rented for it, this is the unused part of its grant; otherwise the idle resources that
    no job waits for.
    """
    if drained or (grant.rent and (estimate.own_demand != NO_AMOUNTS or estimate.refused)):
        # Seen: a site that had rented all machines it could get accepted again a job it had just returned.
        return NO_AMOUNTS
    if grant.rent:
        left = add_amounts((grant.cpus, grant.gpus, grant.memory_gb), used, -1)
        return max(left[0], 0.0), max(left[1], 0.0), max(left[2], 0.0)
    free = add_amounts(estimate.free, reserved, -1)
    return capacity_to_offer(grant, free, add_amounts(estimate.own_demand, estimate.peer_demand), used)


def to_resource_amounts(amounts: Amounts) -> ResourceAmounts:
    """Return amounts as the type that the ledger uses."""
    return ResourceAmounts(*amounts)


def offloads_to_return(
    estimate: CapacityEstimate,
    offloads: Iterable[tuple[tuple[str, str], RemoteRecord, Job | None]],
    now_us: int,
    yield_us: int,
    idle_us: int,
    wall_us: int,
) -> list[tuple[str, str]]:
    """Return the offloads of peers to return, as (peer, job).

    If own jobs have waited for ``yield_us``, the youngest offloads are returned until the resources that they
    free cover the demand of own jobs. Ordinary preemption also stops arrays of peers, but no gangs. Offloads
    that have had no resources here for ``idle_us`` are returned as well, as they may start sooner in their
    origin cluster.
    """
    holding = [
        (name, record, job) for name, record, job in offloads if record.offload.state == handoff.HOLDING
    ]
    out: list[tuple[str, str]] = []
    if estimate.own_waiting_since_us is not None and now_us - estimate.own_waiting_since_us >= yield_us:
        need = estimate.own_demand
        for name, record, job in sorted(holding, key=lambda h: (-h[1].since_us, h[0])):
            if job is None or not job.placed_tasks or all(n <= 0 for n in need):
                continue
            running = (job.placed_tasks & ~job.done_tasks).bit_count()
            need = add_amounts(need, (record.need.cpus, record.need.gpus, record.need.memory_gb), -running)
            out.append(name)
    for name, _, job in holding:
        if (
            name not in out
            and job is not None
            and not job.placed_tasks
            and wall_us - job.submitted_at_us >= idle_us
        ):
            out.append(name)
    return out
