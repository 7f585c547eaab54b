"""Routing of gangs: to one shard as a whole, or over several shards if no shard can hold the gang."""

from __future__ import annotations

from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.units import SECOND_US
from pearstep.leader.cluster_snapshot import MachineGroup, SnapshotMachine
from pearstep.leader.scheduling_pass import SchedulingPass
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.scheduling.capacity import CapacityIndex
from pearstep.scheduling.placement import reserve_earliest
from pearstep.state.job import Job
from pearstep.state.records import RouteRecord

# A cross-shard plan expires if no shard owner has placed a task this long after its start time.
CROSS_SHARD_PLAN_LIFETIME_US = 60 * SECOND_US


class _GangReservation(NamedTuple):
    """The machines reserved for a gang, one for each task, and the start time."""

    machines: list[SnapshotMachine]
    start_at_us: int


def plan_gang(work: SchedulingPass, job: Job) -> None:
    """Route a waiting gang, move it, or keep its route."""
    if job.done_tasks or job.offloaded_tasks:
        return
    if job.spans_shards:
        _plan_spanning_gang(work, job)
        return
    if job.placed_tasks:
        return
    spec = job.spec
    routed_shard = next((shard for shard, route in job.routes.items() if route.tasks), None)
    quota_limits = work.quota_limits
    if routed_shard is None and (
        quota_limits.is_held_back(spec) or not quota_limits.allows(spec, spec.tasks)
    ):
        quota_limits.mark_waiting(spec)
        return
    fitting_shards = _shards_with_capacity(work, spec, work.snapshot.free_now)
    if routed_shard is None:
        _route_waiting_gang(work, job, fitting_shards)
    else:
        _reconsider_route(work, job, routed_shard, fitting_shards)


def _plan_spanning_gang(work: SchedulingPass, job: Job) -> None:
    if job.placed_tasks and _has_draining_machine(work, job):
        # Withdrawing every route makes all shard owners stop their tasks while there is time to save. If only
        # the owner of the draining machine stopped its tasks, the other owners would notice too late and the
        # gang would fall back to its last checkpoint.
        for shard_id, route in job.routes.items():
            if route.tasks:
                work.route_plan(job).withdraw(shard_id, route.tasks)
        return
    plan_cross_shard(work, job)


def _has_draining_machine(work: SchedulingPass, job: Job) -> bool:
    drains = work.replica.drains
    return any(
        placement.machine in drains
        for placements in job.placements.values()
        for placement in placements.record.placements.values()
    )


def _shards_with_capacity(
    work: SchedulingPass, spec: JobSpec, capacity: CapacityIndex[SnapshotMachine, MachineGroup]
) -> list[int]:
    """Return the shards in which the whole gang fits, counted by the given capacity index."""
    snapshot = work.snapshot
    return [
        shard for shard in snapshot.by_shard if snapshot.count_together(spec, capacity, shard) >= spec.tasks
    ]


def _reconsider_route(work: SchedulingPass, job: Job, routed_shard: int, fitting_shards: list[int]) -> None:
    """Keep a routed gang in its shard, or move it to a shard in which it fits now."""
    spec = job.spec
    if routed_shard in fitting_shards:
        work.snapshot.allocate_gang(spec, routed_shard)
        return
    route = job.routes[routed_shard]
    is_settling = work.now_us - route.observed_at_us <= work.settle_us
    if is_settling or (not fitting_shards and not plan_cross_shard(work, job, only_if_free_now=True)):
        work.load[routed_shard] += spec.tasks * spec.cpus
        work.unplaced.append(UnplacedWork(job, spec.tasks))
        return
    if not fitting_shards:
        return
    work.route_plan(job).remove(routed_shard, route.tasks)
    _route_to_preferred_shard(work, job, fitting_shards)


def _route_waiting_gang(work: SchedulingPass, job: Job, fitting_shards: list[int]) -> None:
    """Route a gang that has no route.

    The order of preference is a shard in which it fits now, several shards together, a shard to wait in.
    """
    spec = job.spec
    if fitting_shards:
        _route_to_preferred_shard(work, job, fitting_shards)
    elif plan_cross_shard(work, job, only_if_free_now=True):
        return
    else:
        work.unplaced.append(UnplacedWork(job, spec.tasks))
        shard_id = _choose_waiting_shard(work, spec)
        if shard_id is None:
            plan_cross_shard(work, job)
            return
        work.route_plan(job).add(shard_id, None, spec.all_tasks)
    work.quota_limits.charge(spec, spec.tasks)


def _route_to_preferred_shard(work: SchedulingPass, job: Job, fitting_shards: list[int]) -> None:
    """Route a gang to the preferred one of the shards in which it fits now."""
    spec = job.spec
    snapshot = work.snapshot
    avoids_gpu_machines = not spec.gpus and spec.job_class in work.boot_tolerant_classes

    def preference(shard: int) -> tuple[bool, int, int, int]:
        return (
            avoids_gpu_machines
            and snapshot.count_together(spec, snapshot.free_now, shard, without_gpus=True) >= spec.tasks,
            snapshot.count_with_image(spec, shard),
            snapshot.count_together(spec, snapshot.free_now, shard),
            -shard,
        )

    shard_id = max(fitting_shards, key=preference)
    snapshot.allocate_gang(spec, shard_id)
    work.route_plan(job).add(shard_id, None, spec.all_tasks)


def _choose_waiting_shard(work: SchedulingPass, spec: JobSpec) -> int | None:
    """Choose a shard in which the gang waits.

    Shards in which the gang would fit by preempting lower-priority tasks are preferred, then the least load.

    Returns:
        The shard; None if the gang fits in no shard even when the shard is empty.
    """
    snapshot = work.snapshot
    capable_shards = _shards_with_capacity(work, spec, snapshot.when_empty)
    if not capable_shards:
        return None
    preemption_capacity = snapshot.with_preemption(spec.priority)
    preemptible_shards = [
        shard
        for shard in capable_shards
        if snapshot.count_together(spec, preemption_capacity, shard) - work.planned_preemptions.get(shard, 0)
        >= spec.tasks
    ]
    shard_id = min(preemptible_shards or capable_shards, key=work.load_order)
    work.load[shard_id] += spec.tasks * spec.cpus
    if preemptible_shards:
        work.planned_preemptions[shard_id] = work.planned_preemptions.get(shard_id, 0) + spec.tasks
    return shard_id


def plan_cross_shard(work: SchedulingPass, job: Job, only_if_free_now: bool = False) -> bool:
    """Plan a gang over machines of several shards.

    The leader chooses the machines and the start time; the shard owners reserve the resources and start their
    tasks of the attempt. If the gang does not assemble, its tasks exit, and the next attempt is planned after
    all of them are gone.

    Args:
        work: The scheduling pass.
        job: The gang.
        only_if_free_now: Whether the gang is planned only if it fits in what is free now, rather than on
            empty machines. It is set for gangs that one shard may be able to hold later.

    Returns:
        Whether a new plan was made.
    """
    spec = job.spec
    snapshot = work.snapshot
    planned = next((route.record for route in job.routes.values() if route.record.machines), None)
    last_attempt = max((placed.record.last_attempt for placed in job.placements.values()), default=0)
    if planned is not None and _is_plan_valid(work, job, planned, last_attempt):
        _allocate_planned_machines(work, job)
        return False
    capacity = snapshot.free_now if only_if_free_now else snapshot.when_empty
    if snapshot.count_together(spec, capacity) < spec.tasks:
        return False
    reservation = _reserve_machines(work, spec)
    if reservation is None:
        return False
    for machine in reservation.machines:
        snapshot.allocate_on(machine, spec, 1)
    was_routed = job.routed_tasks
    attempt = max(last_attempt, planned.attempt if planned else 0) + 1
    work.route_plan(job).span_shards(reservation.machines, attempt, reservation.start_at_us)
    if not was_routed:
        work.quota_limits.charge(spec, spec.tasks)
    return True


def _is_plan_valid(work: SchedulingPass, job: Job, planned: RouteRecord, last_attempt: int) -> bool:
    """Tell whether a cross-shard plan has been started or can still be started."""
    if job.placed_tasks:
        return True
    return (
        last_attempt < planned.attempt
        and work.wall_us < planned.start_at_us + CROSS_SHARD_PLAN_LIFETIME_US
        and all(
            name in work.snapshot.by_name and work.snapshot.by_name[name].usable
            for route in job.routes.values()
            for name in (route.record.machines or {}).values()
        )
    )


def _allocate_planned_machines(work: SchedulingPass, job: Job) -> None:
    """Allocate the planned machines of tasks that are not placed yet, so that other jobs do not use them."""
    snapshot = work.snapshot
    for route in job.routes.values():
        for task, name in (route.record.machines or {}).items():
            if job.placed_tasks >> task & 1:
                continue
            machine = snapshot.by_name.get(name)
            if machine is not None:
                snapshot.allocate_on(machine, job.spec, 1)


def _reserve_machines(work: SchedulingPass, spec: JobSpec) -> _GangReservation | None:
    """Reserve machines for the gang at the earliest time at which it fits; None if it never fits."""
    candidates = work.candidates()
    start_at_us = reserve_earliest(spec, spec.tasks, candidates, work.wall_us, max(spec.estimate_us, 1))
    machines: list[SnapshotMachine] = []
    for candidate in candidates:
        for reservation in candidate.reservations:
            machines.extend([work.snapshot.by_name[candidate.name]] * reservation.count)
        candidate.reservations.clear()
    return None if start_at_us is None else _GangReservation(machines, start_at_us)
