"""Selects finished jobs that may be compacted and records without a job; performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from pearstep.domain.job_state import JobState
from pearstep.history.blocks import HistoryEntry, parse_job_number
from pearstep.history.compaction import COMPACTOR, CompactableJob, Step
from pearstep.state.job import Job
from pearstep.state.records import placement_key, route_key
from pearstep.state.replica import Replica


def compactable_job(job_id: str, job: Job, max_records: int) -> CompactableJob | None:
    """Return a finished job with its records if it may be compacted, else None.

    A job keeps its records if one of its tasks may still run, if its id has no number, or if its records
    don't fit in one transaction: the records of a cancelled job tell only together how many of its tasks were
    done, so they must be deleted together.
    """
    number = parse_job_number(job_id)
    if not job.is_final or job.placed_tasks or number is None:
        return None
    records = [
        (route_key(shard_id, job_id), route.version)
        for shard_id, route in job.routes.items()
        if route.version
    ]
    records += [
        (placement_key(shard_id, job_id, chunk), placement.version)
        for (shard_id, chunk), placement in job.placements.items()
    ]
    records.append((f"j/{job_id}", job.version))
    if len(records) > max_records:
        return None
    done = job.spec.tasks if job.state == JobState.DONE else job.done_tasks.bit_count()
    return CompactableJob(HistoryEntry(number, job.state == JobState.CANCELLED, done), tuple(records))


def compactable_jobs(
    replica: Replica, wall_us: int, min_age_us: int, max_records: int
) -> list[CompactableJob]:
    """Return all jobs that may be compacted now, the oldest first.

    A job that is or was offloaded to another cluster keeps its records: the record of the offload refers to
    them.

    Args:
        replica: The replica of the stored records.
        wall_us: The wall time.
        min_age_us: The minimum time for which a finished job keeps its records.
        max_records: The largest number of records of a job that may be compacted.
    """
    found = []
    for job_id, job in replica.jobs.items():
        if job.is_final and wall_us - job.ended_at_us >= min_age_us and f"l/{job_id}" not in replica.versions:
            candidate = compactable_job(job_id, job, max_records)
            if candidate is not None:
                found.append((job.ended_at_us, candidate))
    return [candidate for _, candidate in sorted(found, key=lambda row: (row[0], row[1].final))]


def find_orphaned_records(
    replica: Replica, first_seen_us: dict[str, int], now_us: int, min_age_us: int
) -> list[str]:
    """Return the keys of routes and placements whose job has had no record for a while.

    For example, the leader was writing a route while the job's records were deleted.

    Args:
        replica: The replica of the stored records.
        first_seen_us: When each key was first seen; updated here, kept by the caller between calls.
        now_us: The monotonic time.
        min_age_us: The time after which such a record is returned.
    """
    orphaned = {key for late_records in replica.records_before_job.values() for key, _, _ in late_records}
    for key in [key for key in first_seen_us if key not in orphaned]:
        del first_seen_us[key]
    return sorted(key for key in orphaned if now_us - first_seen_us.setdefault(key, now_us) >= min_age_us)


def orphan_deletion_step(replica: Replica, fencing_token: int, keys: Iterable[str], max_deletes: int) -> Step:
    """Return the step that deletes up to ``max_deletes`` records whose jobs still have no record."""
    deletes = list(keys)[:max_deletes]
    conditions = {COMPACTOR: fencing_token, **{key: replica.version_of(key) for key in deletes}}
    conditions.update((f"j/{key.split('/')[2]}", 0) for key in deletes)
    return Step({}, tuple(deletes), conditions)
