"""The transaction of an entry of the offload ledger: what is put, and under which conditions.

The job's own records change in the same transaction as the record of its offload, so that no controller can
route, end or cancel the job by an earlier state. This module does no input or output.
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

Transaction = tuple[dict[str, Any], dict[str, int]]
LOWEST_PRIORITY = len(PRIORITIES) - 1
# An instant this far back is past by every controller's clock; the clocks differ by milliseconds.
PAST_MARGIN_US = 2_000_000


def local_job_id(peer: str, ref: str, number: int) -> str:
    """Return the id of a peer's job here: unique for each offload, and none that a user may choose."""
    return f"lent-{peer}-{ref.removeprefix('req-')}-{number}"


def belongs_to_peer(peer: str, local: str) -> bool:
    """Tell whether a job id is that of a job of this peer."""
    return re.fullmatch(rf"lent-{re.escape(peer)}-[0-9]{{1,20}}-[0-9]+", local) is not None


def team_of_peer(peer: str) -> str:
    """Return the team of a peer's jobs, which has no quota guarantee."""
    return f"peer:{peer}"


def is_peer_job(spec: JobSpec) -> bool:
    """Tell whether a job is a peer's; such a job is never offloaded again."""
    return spec.job_id.startswith("lent-")


def remote_job_record(
    peer: str, ref: str, record: RemoteRecord, wall_us: int, run_until_us: int = 0
) -> JobRecord | None:
    """Return the record of the job that runs here for a peer, or None if it may not begin.

    It has the task numbers of the origin cluster, without the tasks that are not offloaded, the lowest
    priority, and a class of its own, so that no service-level objective or quota guarantee of this cluster
    applies to it. A job whose term is over doesn't begin.
    """
    if (
        record.spec is None
        or record.offload.state != handoff.HOLDING
        or (run_until_us and wall_us >= run_until_us)
    ):
        return None
    spec = msgspec.structs.replace(
        record.spec,
        job_id=local_job_id(peer, ref, record.offload.number),
        team=team_of_peer(peer),
        job_class=f"{peer}:{record.spec.job_class}",
        priority=LOWEST_PRIORITY,
        deadline_us=None,
    )
    return JobRecord(
        spec,
        wall_us,
        excluded_tasks=format_task_ranges(spec.all_tasks & ~record.offload.task_mask),
        run_until_us=run_until_us,
    )


def origin_transaction(replica: Replica, ref: str, entry: LedgerEntry, wall_us: int) -> Transaction | None:
    """Return the transaction of an entry of the origin cluster; None if the job no longer allows it."""
    assert isinstance(entry.after, OriginRecord)
    job = replica.jobs.get(ref)
    if job is None:
        return None
    key = entry.key
    offload = entry.after.offload
    before = entry.before.offload.state if isinstance(entry.before, OriginRecord) else handoff.AT_ORIGIN
    puts: dict[str, Any] = {key: entry.after}
    conditions = {key: replica.version_of(key)}
    if offload.state in (handoff.OFFERED, handoff.GRANTED) and offload.state != before:
        # A grant must not overtake a cancellation that another controller has accepted.
        if job.state != JobState.QUEUED:
            return None
        conditions[f"j/{ref}"] = job.version
    if offload.state == handoff.OFFERED and before != handoff.OFFERED:
        if offload.task_mask & (job.placed_tasks | job.done_tasks) or job.spans_shards:
            return None
        route_puts, route_conditions = _unroute(job, offload.task_mask)
        puts |= route_puts
        conditions |= route_conditions
    if job.state == JobState.QUEUED and offload.state not in OPEN_ORIGIN_STATES:
        final_state = _final_state(job, offload)
        if final_state is not None:
            puts[f"j/{ref}"] = JobRecord(job.spec, job.submitted_at_us, final_state, wall_us)
            conditions[f"j/{ref}"] = job.version
    return puts, conditions


def _unroute(job: Job, tasks: int) -> Transaction:
    """Return the writes that take tasks, given as a mask, out of all routes of a job."""
    routing = RoutePlan(job)
    for shard_id, route in job.routes.items():
        if route.tasks & tasks:
            routing.remove(shard_id, tasks)
    return routing.writes()


def _final_state(job: Job, offload: handoff.OriginOffload) -> JobState | None:
    """Return the final state of a job whose offload has ended; None if the job goes on."""
    if (job.done_tasks | offload.done_mask) == job.spec.all_tasks and job.spec.kind != "service":
        return JobState.DONE
    return JobState.CANCELLED if offload.final_state == "cancelled" else None


def remote_transaction(
    replica: Replica, peer: str, ref: str, entry: LedgerEntry, wall_us: int, run_until_us: int = 0
) -> Transaction | None:
    """Return the transaction of an entry of the remote cluster.

    ``run_until_us`` is the wall time until which the job may run after it; 0 if there is no term.
    """
    assert isinstance(entry.after, RemoteRecord)
    offload = entry.after.offload
    puts: dict[str, Any] = {entry.key: entry.after}
    conditions = {entry.key: replica.version_of(entry.key)}
    if offload.state in (handoff.STOPPING, handoff.RETURNED):
        # No further task of the job starts: the job is cancelled in the same transaction, or can't be
        # created. If this cluster returns it without a recall, the shard owners stop it with time for a
        # checkpoint, as at the end of a term, and it is cancelled once none of its tasks runs.
        key = f"j/{local_job_id(peer, ref, offload.number)}"
        job = replica.jobs.get(key[2:])
        conditions[key] = replica.version_of(key)
        if job is not None and job.state == JobState.QUEUED:
            if entry.graceful:
                excluded_tasks = format_task_ranges(job.excluded_tasks)
                puts[key] = JobRecord(
                    job.spec,
                    job.submitted_at_us,
                    excluded_tasks=excluded_tasks,
                    run_until_us=max(wall_us - PAST_MARGIN_US, 1),
                )
            else:
                puts[key] = JobRecord(job.spec, job.submitted_at_us, JobState.CANCELLED, wall_us)
    elif offload.state == handoff.HOLDING and run_until_us:
        # A renewal reaches the shard owners in the same transaction, or not at all.
        key = f"j/{local_job_id(peer, ref, offload.number)}"
        job = replica.jobs.get(key[2:])
        if job is not None and job.state == JobState.QUEUED:
            puts[key] = JobRecord(
                job.spec,
                job.submitted_at_us,
                excluded_tasks=format_task_ranges(job.excluded_tasks),
                run_until_us=run_until_us,
            )
            conditions[key] = job.version
    return puts, conditions
