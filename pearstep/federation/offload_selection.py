"""Decides which jobs to offload, and to which peer, without input or output.

A job is offloaded if it would start here later than its service-level objective and sooner at the peer, with
a margin both ways so that no job goes back and forth. The resources that a peer offers are spent as jobs are
assigned to it, and only so many offers to one peer are under way at a time, so that a burst doesn't fall on
the peer that offered first.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import msgspec
import xxhash


class Waiting(msgspec.Struct, frozen=True):
    """A job that waits.

    ``start_us`` is the time from now until it should start here by the leader's snapshot, ``aim_us`` the time
    from now within which its class is to start, ``rows`` the number of tasks that wait, each of ``cpus``,
    ``gpus`` and ``memory_gb``.
    """

    ref: str
    cls: str
    team: str
    rows: int
    cpus: float
    gpus: float
    memory_gb: float
    start_us: int
    aim_us: int
    gang: bool = False
    pivot: bool = False
    borrowed: bool = False
    returned: int = 0  # how often a loan of it came back


class Room(msgspec.Struct):
    """The resources that a peer offers to a team without a quota guarantee.

    ``start_us`` is the time until a job given to it now should start, ``price`` its price relative to ours.
    """

    peer: str
    cpus: float
    gpus: float
    memory_gb: float
    start_us: int
    link_us: int
    price: float = 1.0
    under_way: int = 0
    not_before_us: int = 0


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operator allows.

    ``classes`` may be offloaded (if none is named: all but those kept). A start at the peer must be sooner by
    ``gain`` of the wait here and by ``least_gain_us``; a job that was returned needs as much again for each
    return, up to ``most_returns``.
    """

    classes: frozenset[str] = frozenset()
    keep_classes: frozenset[str] = frozenset()
    keep_teams: frozenset[str] = frozenset()
    gain: float = 0.25
    least_gain_us: int = 5_000_000
    most_price: float = 2.0
    price_us: int = 30_000_000
    most_under_way: int = 32
    most_returns: int = 3
    most_in_pass: int = 256


class PlannedOffer(msgspec.Struct, frozen=True):
    """Offer ``rows`` tasks of a job to a peer."""

    ref: str
    peer: str
    rows: int


def may_leave(job: Waiting, policy: Policy) -> bool:
    """Whether a job may be lent at all. What is borrowed is never lent on: no loan can go in a circle."""
    if job.borrowed or job.returned >= policy.most_returns:
        return False
    if job.cls in policy.keep_classes or job.team in policy.keep_teams:
        return False
    return not policy.classes or job.cls in policy.classes


def fits(job: Waiting, room: Room) -> int:
    """How many of a job's tasks find room: a gang whole or not at all."""
    rows = job.rows
    for need, there in ((job.cpus, room.cpus), (job.gpus, room.gpus), (job.memory_gb, room.memory_gb)):
        if need > 0:
            rows = min(rows, int(there / need + 1e-9))
    return 0 if job.gang and rows < job.rows else rows


def cost_us(job: Waiting, room: Room, policy: Policy) -> int:
    """Return the cost of a peer for a job: the time until its start there, with the price as time.

    Peers of nearly equal cost are told apart by the job's id, so that several origin clusters don't choose
    alike.
    """
    price = int(max(room.price - 1.0, 0.0) * policy.price_us)
    spread = xxhash.xxh3_64_intdigest(f"{job.ref}#{room.peer}".encode()) % 1_000_000
    return room.start_us + 2 * room.link_us + price + spread


def worthwhile(job: Waiting, room: Room, policy: Policy) -> bool:
    """Tell whether the job starts enough sooner at the peer."""
    there = room.start_us + 2 * room.link_us
    margin = max(int(job.start_us * policy.gain), policy.least_gain_us) * (1 + job.returned)
    return job.start_us > job.aim_us and there + margin <= job.start_us


def choose(
    waiting: Iterable[Waiting], rooms: Iterable[Room], policy: Policy, now_us: int
) -> list[PlannedOffer]:
    """Return what to offer now, the most overdue jobs first and pivots last.

    The rooms are changed: resources that are assigned in this pass are taken from them.
    """
    open_rooms = [
        r
        for r in rooms
        if now_us >= r.not_before_us and r.price <= policy.most_price and r.under_way < policy.most_under_way
    ]
    if not open_rooms:
        return []
    soonest = min(r.start_us + 2 * r.link_us for r in open_rooms) + policy.least_gain_us
    late = (
        job
        for job in waiting
        if job.start_us > job.aim_us and job.start_us >= soonest and may_leave(job, policy)
    )
    # Only so many are offered in a pass: the rest of a hundred thousand need not be put in order.
    first = heapq.nsmallest(
        4 * policy.most_in_pass, late, key=lambda job: (job.pivot, job.aim_us - job.start_us, job.ref)
    )
    out: list[PlannedOffer] = []
    for job in first:
        best = None
        for room in open_rooms:
            if room.under_way >= policy.most_under_way or not worthwhile(job, room, policy):
                continue
            rows = fits(job, room)
            if rows and (best is None or cost_us(job, room, policy) < best[0]):
                best = (cost_us(job, room, policy), rows, room)
        if best is None:
            continue
        _, rows, room = best
        room.cpus -= rows * job.cpus
        room.gpus -= rows * job.gpus
        room.memory_gb -= rows * job.memory_gb
        room.under_way += 1
        out.append(PlannedOffer(job.ref, room.peer, rows))
        if len(out) >= policy.most_in_pass:
            break
    return out


class Grant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the remote cluster's operator grants a peer.

    At most so much of the cluster at a time, and only what its own teams don't wait for. ``spare`` is the
    share of free resources that stays free, ``rent`` whether machines may be rented for the peer.
    """

    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    spare: float = 0.1
    rent: bool = False


def offered(
    grant: Grant,
    free: tuple[float, float, float],
    own_waiting: tuple[float, float, float],
    lent: tuple[float, float, float],
) -> tuple[float, float, float]:
    """Return the CPUs, GPUs and GB to offer a peer now.

    What own teams wait for comes first, a share of the free resources stays free for their next jobs, and no
    more than the grant is used at a time.
    """
    granted = (grant.cpus, grant.gpus, grant.memory_gb)
    return tuple(  # type: ignore[return-value]
        max(min(most - out, (there - own) * (1 - grant.spare)), 0.0)
        for most, there, own, out in zip(granted, free, own_waiting, lent, strict=True)
    )
