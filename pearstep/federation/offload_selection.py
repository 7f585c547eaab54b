"""Selects the jobs to offload and their peers, without input or output.

A job is offloaded if it would start here later than its service-level objective and sooner at the peer. A
margin in both directions keeps a job from moving back and forth. Jobs that are assigned to a peer reduce the
resources that it offers, and the number of open offers to one peer is limited, so that a burst of jobs is not
sent to the peer that announced its capacity first.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import msgspec
import xxhash


class WaitingJob(msgspec.Struct, frozen=True):
    """A job that waits for resources.

    ``start_us`` is the time from now until its start here, estimated from the leader's snapshot, and
    ``objective_us`` the time from now within which jobs of its class are to start. ``task_count`` tasks wait,
    each of which takes ``cpus``, ``gpus`` and ``memory_gb``.
    """

    ref: str
    cls: str
    team: str
    task_count: int
    cpus: float
    gpus: float
    memory_gb: float
    start_us: int
    objective_us: int
    gang: bool = False
    is_queue_head: bool = False
    from_peer: bool = False
    returned: int = 0  # how often a peer returned it


class PeerCapacity(msgspec.Struct):
    """The resources that a peer offers to a team without a quota guarantee.

    ``start_us`` is the expected time until the start of a job that is offloaded to it now, ``price`` its
    price relative to ours.
    """

    peer: str
    cpus: float
    gpus: float
    memory_gb: float
    start_us: int
    link_delay_us: int
    price: float = 1.0
    open_offers: int = 0
    not_before_us: int = 0


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's rules for offloading.

    Jobs of ``classes`` may be offloaded; if none is named, all but ``excluded_classes``. The start at the
    peer must be sooner by ``min_gain_share`` of the wait here and by ``min_gain_us``. Each return of a job
    adds the same margin once more, and after ``max_returns`` returns the job is no longer offloaded.
    """

    classes: frozenset[str] = frozenset()
    excluded_classes: frozenset[str] = frozenset()
    excluded_teams: frozenset[str] = frozenset()
    min_gain_share: float = 0.25
    min_gain_us: int = 5_000_000
    max_price: float = 2.0
    price_penalty_us: int = 30_000_000
    max_open_offers: int = 32
    max_returns: int = 3
    max_offers_in_pass: int = 256


class PlannedOffer(msgspec.Struct, frozen=True):
    """The decision to offer ``task_count`` tasks of a job to a peer."""

    ref: str
    peer: str
    task_count: int


def may_be_offloaded(job: WaitingJob, policy: Policy) -> bool:
    """Tell whether a job may be offloaded; a peer's job is not, so that no offload goes in a circle."""
    if job.from_peer or job.returned >= policy.max_returns:
        return False
    if job.cls in policy.excluded_classes or job.team in policy.excluded_teams:
        return False
    return not policy.classes or job.cls in policy.classes


def fitting_task_count(job: WaitingJob, capacity: PeerCapacity) -> int:
    """Return how many tasks of a job fit the offered capacity; for a gang all of them or 0."""
    task_count = job.task_count
    for need, offered in (
        (job.cpus, capacity.cpus),
        (job.gpus, capacity.gpus),
        (job.memory_gb, capacity.memory_gb),
    ):
        if need > 0:
            task_count = min(task_count, int(offered / need + 1e-9))
    return 0 if job.gang and task_count < job.task_count else task_count


def cost_us(job: WaitingJob, capacity: PeerCapacity, policy: Policy) -> int:
    """Return the cost of a peer for a job: the time until its start there plus the price as a time.

    A hash of the job's id and the peer is added, so that several origin clusters do not choose the same one
    of peers with nearly equal cost.
    """
    price = int(max(capacity.price - 1.0, 0.0) * policy.price_penalty_us)
    spread = xxhash.xxh3_64_intdigest(f"{job.ref}#{capacity.peer}".encode()) % 1_000_000
    return capacity.start_us + 2 * capacity.link_delay_us + price + spread


def starts_sooner(job: WaitingJob, capacity: PeerCapacity, policy: Policy) -> bool:
    """Tell whether the job starts enough sooner at the peer."""
    start_at_peer_us = capacity.start_us + 2 * capacity.link_delay_us
    margin = max(int(job.start_us * policy.min_gain_share), policy.min_gain_us) * (1 + job.returned)
    return job.start_us > job.objective_us and start_at_peer_us + margin <= job.start_us


def choose_offers(
    waiting: Iterable[WaitingJob], capacities: Iterable[PeerCapacity], policy: Policy, now_us: int
) -> list[PlannedOffer]:
    """Return the offers to make now, those of the most overdue jobs first and of heads of queues last.

    Resources that are assigned in this pass are subtracted from ``capacities``.
    """
    available = [
        capacity
        for capacity in capacities
        if now_us >= capacity.not_before_us
        and capacity.price <= policy.max_price
        and capacity.open_offers < policy.max_open_offers
    ]
    if not available:
        return []
    soonest = (
        min(capacity.start_us + 2 * capacity.link_delay_us for capacity in available) + policy.min_gain_us
    )
    late_jobs = (
        job
        for job in waiting
        if job.start_us > job.objective_us and job.start_us >= soonest and may_be_offloaded(job, policy)
    )
    # The number of offers in a pass is limited, so the rest of a hundred thousand jobs need not be sorted.
    most_overdue = heapq.nsmallest(
        4 * policy.max_offers_in_pass,
        late_jobs,
        key=lambda job: (job.is_queue_head, job.objective_us - job.start_us, job.ref),
    )
    offers: list[PlannedOffer] = []
    for job in most_overdue:
        best = None
        for capacity in available:
            if capacity.open_offers >= policy.max_open_offers or not starts_sooner(job, capacity, policy):
                continue
            task_count = fitting_task_count(job, capacity)
            if task_count and (best is None or cost_us(job, capacity, policy) < best[0]):
                best = (cost_us(job, capacity, policy), task_count, capacity)
        if best is None:
            continue
        _, task_count, capacity = best
        capacity.cpus -= task_count * job.cpus
        capacity.gpus -= task_count * job.gpus
        capacity.memory_gb -= task_count * job.memory_gb
        capacity.open_offers += 1
        offers.append(PlannedOffer(job.ref, capacity.peer, task_count))
        if len(offers) >= policy.max_offers_in_pass:
            break
    return offers


class Grant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The resources that the remote cluster's operator grants a peer.

    The peer may use at most these amounts at a time, and only resources that own teams do not wait for.
    ``spare`` is the share of free resources that stays free, ``rent`` whether machines may be rented for the
    peer.
    """

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    spare: float = 0.1
    rent: bool = False


def capacity_to_offer(
    grant: Grant,
    free: tuple[float, float, float],
    own_waiting: tuple[float, float, float],
    used: tuple[float, float, float],
) -> tuple[float, float, float]:
    """Return the CPUs, GPUs and GB to offer a peer now.

    The demand of own teams is subtracted, a share of the free resources stays free for their next jobs, and
    the peer uses no more than its grant at a time.
    """
    granted = (grant.cpus, grant.gpus, grant.memory_gb)
    return tuple(  # type: ignore[return-value]
        max(min(granted_amount - used_amount, (available - own) * (1 - grant.spare)), 0.0)
        for granted_amount, available, own, used_amount in zip(granted, free, own_waiting, used, strict=True)
    )
