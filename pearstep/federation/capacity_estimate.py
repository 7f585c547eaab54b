"""Estimates capacity for offloading from the leader's cluster snapshot, without input or output.

It tells what waits here and until when, what is free for peers, and which work of peers is returned.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from pearstep.domain.scheduling_order import StartObjectives
from pearstep.federation import handoff
from pearstep.federation.ledger import RemoteRecord, ResourceAmounts
from pearstep.federation.offload_selection import Grant, Waiting, offered
from pearstep.federation.writes import borrowed
from pearstep.leader.cluster_snapshot import ClusterSnapshot
from pearstep.leader.route_planner import RoutePlanner
from pearstep.scheduling.placement import reserve_earliest
from pearstep.state.job import Job

Amounts = tuple[float, float, float]
NONE: Amounts = (0.0, 0.0, 0.0)
# Jobs whose start is estimated one after another; later ones start no sooner than these.
MOST_RECKONED = 64
ARCHIVED_IMAGE = "img-"


def add(a: Amounts, b: Amounts, times: float = 1.0) -> Amounts:
    """Return ``a + times * b``."""
    return a[0] + times * b[0], a[1] + times * b[1], a[2] + times * b[2]


def need_of(job: Job) -> Amounts:
    """Return the resources that one task takes."""
    return job.spec.cpus, job.spec.gpus, job.spec.memory_gb


class Look(msgspec.Struct):
    """The capacity of the cluster after a scheduling pass.

    Attributes:
        free: What is free on usable machines.
        own: What own jobs wait for.
        lent: What jobs of peers wait for.
        own_since_us: Since when own jobs have waited without a break, by the monotonic clock.
        refused: Whether the cloud refused us a machine a moment ago.
    """

    free: Amounts = NONE
    own: Amounts = NONE
    lent: Amounts = NONE
    own_since_us: int | None = None
    refused: bool = False


def waiting_jobs(leader: RoutePlanner) -> list[tuple[Job, int]]:
    """Return the jobs that were not placed in the last pass, with the number of their tasks."""
    found: dict[str, tuple[Job, int]] = {}
    for job, count in [*leader.unplaced, *leader.without_machine]:
        before = found.get(job.spec.job_id, (job, 0))[1]
        found[job.spec.job_id] = (job, before + count)
    return list(found.values())


def look(leader: RoutePlanner, before: Look, now_us: int) -> Look:
    """Return what is free now and what waits; tasks that are routed and not placed yet count as placed."""
    capacity = Look()
    for machine in leader.snapshot_machines():
        if machine.usable:
            free = machine.free_by_records
            capacity.free = add(capacity.free, (free.cpus, free.gpus, free.memory_gb))
    for job in leader.replica.open_jobs.values():
        not_placed_yet = (job.routed_tasks & ~job.done_tasks & ~job.placed_tasks).bit_count()
        if not_placed_yet and not job.is_final:
            capacity.free = add(capacity.free, need_of(job), -not_placed_yet)
    cpus, gpus, memory_gb = capacity.free
    capacity.free = (max(cpus, 0.0), max(gpus, 0.0), max(memory_gb, 0.0))
    for job, count in waiting_jobs(leader):
        if borrowed(job.spec):
            capacity.lent = add(capacity.lent, need_of(job), count)
        else:
            capacity.own = add(capacity.own, need_of(job), count)
    if capacity.own != NONE:
        capacity.own_since_us = before.own_since_us if before.own_since_us is not None else now_us
    return capacity


def may_go(job: Job) -> bool:
    """Tell whether a job can run in another cluster at all.

    Services can't, nor jobs that are bound to our machine types or zones, or to an image that only our
    archive has.
    """
    spec = job.spec
    bound = spec.zone is not None or spec.types is not None or spec.image.startswith(ARCHIVED_IMAGE)
    return spec.kind != "service" and not bound and not job.spans_shards and not job.is_final


def waiting(  # noqa: PLR0913 - two clocks and three limits, which a caller has in three different places
    leader: RoutePlanner,
    parts: int,
    aims: StartObjectives,
    aim_us: int,
    wait_us: int,
    returned: Mapping[str, int],
    now_us: int,
    wall_us: int,
) -> list[Waiting]:
    """Return the jobs that wait here, with an estimate of when each should start.

    Jobs are placed one after another, in the order in which they are served, on the machines that there are,
    and each keeps its resources.

    Args:
        leader: The planner of the leader after a scheduling pass.
        parts: The number of shards.
        aims: The service-level objectives for starts by job class.
        aim_us: The objective of classes that have none.
        wait_us: How long a job must have waited.
        returned: How often each job was returned by a peer.
        now_us: The monotonic time.
        wall_us: The wall time.
    """
    candidates = ClusterSnapshot(
        leader.snapshot_machines(), range(parts), leader.replica.machine_reservations
    ).candidates(leader.replica, wall_us)
    found: list[Waiting] = []
    latest = wall_us
    first = True
    for job, _ in waiting_jobs(leader):
        spec = job.spec
        rows = (spec.all_tasks & ~job.done_tasks & ~job.placed_tasks & ~job.offloaded_tasks).bit_count()
        if not rows or (spec.kind == "gang" and rows < spec.tasks):
            continue
        run_us = max(spec.estimate_us, 1_000_000)
        at = reserve_earliest(spec, rows, candidates, wall_us, run_us) if len(found) < MOST_RECKONED else None
        if at is None:
            # Larger than all machines together, or behind the jobs whose start is estimated.
            at = latest + run_us
        latest = max(latest, at)
        waited = wall_us - job.submitted_at_us
        if may_go(job) and waited >= wait_us:
            within = aims.get(spec.job_class, (aim_us,))[0]
            found.append(
                Waiting(
                    spec.job_id,
                    spec.job_class,
                    spec.team,
                    rows,
                    spec.cpus,
                    spec.gpus,
                    spec.memory_gb,
                    max(at - wall_us, 0),
                    max(within - waited, 0),
                    spec.kind == "gang",
                    first,
                    borrowed(spec),
                    returned.get(spec.job_id, 0),
                )
            )
        first = False
    return found


def room(grant: Grant, seen: Look, used: Amounts, reserved: Amounts, drained: bool) -> Amounts:
    """Return what a peer is offered now.

    If machines may be rented for it, that is all that it is granted and doesn't use; otherwise what is idle
    and nobody waits for.
    """
    if drained or (grant.rent and (seen.own != NONE or seen.refused)):
        # Seen: a site that had rented all that it could took back what it had just given back.
        return NONE
    if grant.rent:
        left = add((grant.cpus, grant.gpus, grant.memory_gb), used, -1)
        return max(left[0], 0.0), max(left[1], 0.0), max(left[2], 0.0)
    free = add(seen.free, reserved, -1)
    return offered(grant, free, add(seen.own, seen.lent), used)


def as_need(amounts: Amounts) -> ResourceAmounts:
    """Return amounts as the ledger takes them."""
    return ResourceAmounts(*amounts)


def give_way(
    seen: Look,
    loans: Iterable[tuple[tuple[str, str], RemoteRecord, Job | None]],
    now_us: int,
    yield_us: int,
    idle_us: int,
    wall_us: int,
) -> list[tuple[str, str]]:
    """Return the offloads of peers to return, as (peer, job).

    These are the youngest, until what they free covers what own work has waited for longer than ``yield_us``
    (an array of a peer is stopped by ordinary preemption as well, a gang by nothing else); and those that
    have found no resources here for ``idle_us``, which may do better in their origin cluster.
    """
    held = [(name, book, job) for name, book, job in loans if book.offload.state == handoff.HOLDING]
    out: list[tuple[str, str]] = []
    if seen.own_since_us is not None and now_us - seen.own_since_us >= yield_us:
        need = seen.own
        for name, book, job in sorted(held, key=lambda h: (-h[1].since_us, h[0])):
            if job is None or not job.placed_tasks or all(n <= 0 for n in need):
                continue
            running = (job.placed_tasks & ~job.done_tasks).bit_count()
            need = add(need, (book.need.cpus, book.need.gpus, book.need.memory_gb), -running)
            out.append(name)
    for name, _, job in held:
        if (
            name not in out
            and job is not None
            and not job.placed_tasks
            and wall_us - job.submitted_at_us >= idle_us
        ):
            out.append(name)
    return out
