"""The transaction of an entry of the offload ledger: what is put, and under which conditions.

The job's own records change in the same transaction as the record of its offload, so that no controller can
route, end or cancel the job by an earlier state. There is no input or output here.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from pearstep.domain.job_spec import PRIORITIES, JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.task_set import format_task_ranges
from pearstep.federation import handoff
from pearstep.federation.ledger import LedgerEntry, OriginRecord, RemoteRecord
from pearstep.federation.offload_records import OPEN_ORIGIN_STATES
from pearstep.leader.route_plan import RoutePlan
from pearstep.state.job import Job
from pearstep.state.records import JobRecord
from pearstep.state.replica import Replica

Writes = tuple[dict[str, Any], dict[str, int]]
LOWEST = len(PRIORITIES) - 1
# How far back an instant must be to be past by the clock of every controller; they differ by milliseconds.
PAST_US = 2_000_000


def local_ref(peer: str, ref: str, number: int) -> str:
    """Return the id of a peer's job here: unique for each offload, and none that a user may choose."""
    return f"lent-{peer}-{ref.removeprefix('req-')}-{number}"


def belongs(peer: str, local: str) -> bool:
    """Tell whether a job id is that of a job of this peer."""
    return re.fullmatch(rf"lent-{re.escape(peer)}-[0-9]{{1,20}}-[0-9]+", local) is not None


def team_of(peer: str) -> str:
    """Return the team of a peer's jobs, which has no quota guarantee."""
    return f"peer:{peer}"


def borrowed(spec: JobSpec) -> bool:
    """Tell whether a job is a peer's; such a job is never offloaded again."""
    return spec.job_id.startswith("lent-")


def borrowed_rec(
    peer: str, ref: str, book: RemoteRecord, wall_us: int, until_us: int = 0
) -> JobRecord | None:
    """Return the record of the job that runs here for a peer, or None if it may not begin.

    It has the task numbers of the origin cluster, without the tasks that are not offloaded, the lowest
    priority, and a class of its own, so that no service-level objective or quota guarantee of ours counts for
    it. A job whose term is over doesn't begin.
    """
    if book.spec is None or book.offload.state != handoff.HOLDING or (until_us and wall_us >= until_us):
        return None
    spec = msgspec.structs.replace(
        book.spec,
        job_id=local_ref(peer, ref, book.offload.number),
        team=team_of(peer),
        job_class=f"{peer}:{book.spec.job_class}",
        priority=LOWEST,
        deadline_us=None,
    )
    return JobRecord(
        spec,
        wall_us,
        excluded_tasks=format_task_ranges(spec.all_tasks & ~book.offload.task_mask),
        run_until_us=until_us,
    )


def home_writes(view: Replica, ref: str, entry: LedgerEntry, wall_us: int) -> Writes | None:
    """Return the transaction of an entry of the origin cluster; None if the job no longer allows it."""
    assert isinstance(entry.after, OriginRecord)
    job = view.jobs.get(ref)
    if job is None:
        return None
    key = entry.key
    loan = entry.after.offload
    before = entry.before.offload.state if isinstance(entry.before, OriginRecord) else handoff.AT_ORIGIN
    puts: dict[str, Any] = {key: entry.after}
    conditions = {key: view.version_of(key)}
    if loan.state in (handoff.OFFERED, handoff.GRANTED) and loan.state != before:
        # A grant must not overtake a cancellation that another controller has accepted.
        if job.state != JobState.QUEUED:
            return None
        conditions[f"j/{ref}"] = job.version
    if loan.state == handoff.OFFERED and before != handoff.OFFERED:
        if loan.task_mask & (job.placed_tasks | job.done_tasks) or job.spans_shards:
            return None
        route_puts, route_conditions = _unroute(job, loan.task_mask)
        puts |= route_puts
        conditions |= route_conditions
    if job.state == JobState.QUEUED and loan.state not in OPEN_ORIGIN_STATES:
        final_state = _final_state(job, loan)
        if final_state is not None:
            puts[f"j/{ref}"] = JobRecord(job.spec, job.submitted_at_us, final_state, wall_us)
            conditions[f"j/{ref}"] = job.version
    return puts, conditions


def _unroute(job: Job, tasks: int) -> Writes:
    """Return the writes that take tasks, given as a mask, out of all routes of a job."""
    routing = RoutePlan(job)
    for shard_id, route in job.routes.items():
        if route.tasks & tasks:
            routing.remove(shard_id, tasks)
    return routing.writes()


def _final_state(job: Job, loan: handoff.OriginOffload) -> JobState | None:
    """Return the final state of a job whose offload has ended; None if the job goes on."""
    if (job.done_tasks | loan.done_mask) == job.spec.all_tasks and job.spec.kind != "service":
        return JobState.DONE
    return JobState.CANCELLED if loan.final_state == "cancelled" else None


def guest_writes(
    view: Replica, peer: str, ref: str, entry: LedgerEntry, wall_us: int, until_us: int = 0
) -> Writes | None:
    """Return the transaction of an entry of the remote cluster.

    ``until_us`` is the wall time until which the job may run after it; 0 if there is no term.
    """
    assert isinstance(entry.after, RemoteRecord)
    loan = entry.after.offload
    puts: dict[str, Any] = {entry.key: entry.after}
    conditions = {entry.key: view.version_of(entry.key)}
    if loan.state in (handoff.STOPPING, handoff.RETURNED):
        # From here on nothing of it starts: the job is cancelled in the same transaction, or can't be
        # created. If it is returned without being asked for, the shard owners stop it with time for a
        # checkpoint, as at the end of a term, and it is cancelled once nothing of it runs.
        key = f"j/{local_ref(peer, ref, loan.number)}"
        job = view.jobs.get(key[2:])
        conditions[key] = view.version_of(key)
        if job is not None and job.state == JobState.QUEUED:
            if entry.graceful:
                skip = format_task_ranges(job.excluded_tasks)
                puts[key] = JobRecord(
                    job.spec, job.submitted_at_us, excluded_tasks=skip, run_until_us=max(wall_us - PAST_US, 1)
                )
            else:
                puts[key] = JobRecord(job.spec, job.submitted_at_us, JobState.CANCELLED, wall_us)
    elif loan.state == handoff.HOLDING and until_us:
        # A renewal reaches the shard owners in the same transaction, or not at all.
        key = f"j/{local_ref(peer, ref, loan.number)}"
        job = view.jobs.get(key[2:])
        if job is not None and job.state == JobState.QUEUED:
            puts[key] = JobRecord(
                job.spec,
                job.submitted_at_us,
                excluded_tasks=format_task_ranges(job.excluded_tasks),
                run_until_us=until_us,
            )
            conditions[key] = job.version
    return puts, conditions
