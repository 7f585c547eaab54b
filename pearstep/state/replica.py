"""A replica of the records in the key-value store, kept up to date from the store's changes.

A change that is older than the known version of its key is ignored, so answers of the store may overlap and
arrive in any order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from pearstep.domain.job_state import JobState
from pearstep.scheduling.whole_machine import WholeMachineReservations
from pearstep.state.job import CommittedPlacements, Job, PlacementChunk, Route
from pearstep.state.quota_guarantee import QuotaGuarantees
from pearstep.state.records import (
    DRAIN_KIND,
    HISTORY_BLOCK_PREFIX,
    HISTORY_ROOT_PREFIX,
    INSTANCE_REQUEST_KIND,
    JOB_KIND,
    LEADER_LEASE_KIND,
    MACHINE_KIND,
    OFFLOAD_PREFIXES,
    PLACEMENT_KIND,
    ROUTE_KIND,
    SHARD_LAYOUT_KIND,
    SHARD_LEASE_KIND,
    WRITE_FENCE_KIND,
    DrainRecord,
    InstanceRequestRecord,
    JobRecord,
    LeaseHolderRecord,
    MachineRecord,
    Placement,
    PlacementRecord,
    RouteRecord,
    ShardLayoutRecord,
    decode_record,
    placement_key,
    route_key,
)

# The maximum number of keys of unknown or unreadable records that are kept for operators.
MAX_UNREADABLE_KEYS = 100

# Identifies a task by job id and task number. It is a plain tuple since one is created for each placement
# that is added or removed, and creating a NamedTuple takes several times as long.
TaskId = tuple[str, int]

# A reader of one kind of record for a program beyond the core. Its arguments are the rest of the key after
# the kind, the version, and the value (None: deleted).
ExtensionReader = Callable[[str, int, bytes | None], None]


class LeaseHolder:
    """The holder of a shard lease or of the leader lease.

    Attributes:
        node: the holder; empty: the lease was given up.
        fencing_token: the version of the lease's key.
        node_version: the record features that the node supports, see ``NODE_VERSION``.
        observed_at_us: when this replica first read the holder.
    """

    __slots__ = ("fencing_token", "node", "node_version", "observed_at_us")

    def __init__(self, node: str, fencing_token: int, node_version: int = 0, observed_at_us: int = 0) -> None:
        """Create a holder."""
        self.node = node
        self.fencing_token = fencing_token
        self.node_version = node_version
        self.observed_at_us = observed_at_us


class RegisteredMachine(NamedTuple):
    """A machine's record, and the shard whose owner wrote it."""

    shard_id: int
    record: MachineRecord


class EarlyRecord(NamedTuple):
    """A route or placement record that was read before its job's own record."""

    key: str
    version: int
    raw: bytes


class Replica:
    """All committed records, by kind.

    Attributes:
        revision: the revision up to which all changes have been applied.
        versions: the version of each key that exists.
        jobs: all jobs by id.
        open_jobs: the jobs that are not final or have placed tasks, by id.
        last_end_revision: the latest revision at which a job is known to have ended. It may be later than
            ``revision``, since this node's own cancellations and those that peers report are applied at once.
        job_changes: the number of changes of job records; values derived from them are valid until the next
            change.
        machines: the machines that have a record, by name.
        drains: the machines to be drained and deleted, by name.
        instance_requests: requests for instances, by name.
        shard_holders: the holder of each shard.
        leader: the holder of the leader lease; None: there is no leader.
        layout: how machines are divided over shards; None: not decided yet.
        records_before_job: routes and placements whose job has no record, by job id.
        unreadable: the first keys that are of an unknown kind or whose value could not be read.
        extension_readers: readers of records that are not of the core, by kind.
        has_unread_offloads: whether the store holds loans of jobs and no part of this process reads them, so
            that the restrictions they impose are unknown.
        has_unread_history: whether finished jobs have left their records and no part of this process reads
            the history, so that the state of a job id without a record is unknown.
        placements_by_machine: the recorded placements on each machine.
        changed_machines: the machines whose records have changed since the leader last counted them; with
            hundreds of machines the leader must not count all of them on every pass.
        machine_reservations: machines that are reserved for jobs that can run nowhere else.
        quota_guarantees: the jobs within their teams' guarantees; the controller sets the teams.
    """

    def __init__(self) -> None:
        """Create an empty replica."""
        self.revision = 0
        self.versions: dict[str, int] = {}
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.last_end_revision = 0
        self.job_changes = 0
        self.machines: dict[str, RegisteredMachine] = {}
        self.drains: dict[str, DrainRecord] = {}
        self.instance_requests: dict[str, InstanceRequestRecord] = {}
        self.shard_holders: dict[int, LeaseHolder] = {}
        self.leader: LeaseHolder | None = None
        self.layout: ShardLayoutRecord | None = None
        self.records_before_job: dict[str, list[EarlyRecord]] = {}
        self.unreadable: list[str] = []
        self.extension_readers: dict[str, ExtensionReader] = {}
        self.has_unread_offloads = False
        self.has_unread_history = False
        self.placements_by_machine: dict[str, dict[TaskId, Placement]] = {}
        self.changed_machines: set[str] = set()
        self.machine_reservations = WholeMachineReservations()
        self.quota_guarantees = QuotaGuarantees()

    @property
    def is_complete_up_to_last_end(self) -> bool:
        """Whether all changes before the latest known end of a job have been applied.

        A job that has ended counts against its team's limit with its recorded placements. A placement that
        was committed just before the end may be missing here although its task runs. A leader that reads the
        end first then sees the limit as free and plans the team's next job beside the running task
        (``tests/test_cancelling.py``).
        """
        return self.revision >= self.last_end_revision

    def version_of(self, key: str) -> int:
        """Return the known version of a key; 0 if the key does not exist."""
        return self.versions.get(key, 0)

    def put(self, key: str, version: int, raw: bytes | memoryview, now_us: int) -> bool:
        """Apply a put.

        Args:
            key: the key that was written.
            version: the revision of the put.
            raw: the stored value.
            now_us: the time by this node's clock.

        Returns:
            False if the put is not newer than the known version of its key, or the value can't be read.
        """
        if version <= self.versions.get(key, 0):
            return False
        record = decode_record(key, raw)
        if record is not None:
            self.versions[key] = version
            self._apply(key, version, record, now_us)
            return True
        kind, _, rest = key.partition("/")
        extension_reader = self.extension_readers.get(kind)
        if extension_reader is None:
            self._add_unreadable_key(key)
            return False
        self.versions[key] = version
        extension_reader(rest, version, bytes(raw))
        return True

    def delete(self, key: str, version: int) -> bool:
        """Apply a delete.

        Args:
            key: the key that was deleted.
            version: the revision of the delete.

        Returns:
            False if the key is not known, or the delete is not newer than its known version.
        """
        known_version = self.versions.get(key, 0)
        if not known_version or known_version >= version:
            return False
        del self.versions[key]
        kind, *path = key.split("/")
        handlers = _HANDLERS.get(kind)
        if handlers is not None:
            handlers.delete(self, key, path)
        elif kind in self.extension_readers:
            self.extension_readers[kind](key.partition("/")[2], version, None)
        return True

    def cancelled_after(self, revision: int) -> list[tuple[str, int, int]]:
        """Return the jobs that were cancelled after a revision and may still have tasks.

        Jobs that have left their records are not included, since they have no tasks.

        Returns:
            The job id, the revision and the wall time of each cancellation, in the order of revisions.
        """
        cancelled = [
            (job_id, job.version, job.ended_at_us)
            for job_id, job in self.jobs.items()
            if job.version > revision and job.state == JobState.CANCELLED
        ]
        return sorted(cancelled, key=lambda end: end[1])

    def guaranteed_start_within_us(self, job_id: str) -> int:
        """Return the time within which an open job is to start by its team's guarantee; 0: outside of it."""
        return self.quota_guarantees.start_within_us(job_id, self.open_jobs, self.job_changes)

    def _add_unreadable_key(self, key: str) -> None:
        self.has_unread_offloads |= key.startswith(OFFLOAD_PREFIXES)
        self.has_unread_history |= key.startswith((HISTORY_ROOT_PREFIX, HISTORY_BLOCK_PREFIX))
        if key not in self.unreadable and len(self.unreadable) < MAX_UNREADABLE_KEYS:
            self.unreadable.append(key)

    def _apply(self, key: str, version: int, record: msgspec.Struct, now_us: int) -> None:
        kind, *path = key.split("/")
        _HANDLERS[kind].put(self, key, path, version, record, now_us)

    # Jobs. Path: job id.

    def _put_job(self, key: str, path: list[str], version: int, record: JobRecord, now_us: int) -> None:
        job_id = path[0]
        self.job_changes += 1
        if record.state != JobState.QUEUED:
            self.last_end_revision = max(self.last_end_revision, version)
        job = self.jobs.get(job_id)
        if job is None:
            job = self._add_job(job_id, version, record, now_us)
        else:
            self._update_job(job, version, record, now_us)
        self._update_open_jobs(job)

    def _add_job(self, job_id: str, version: int, record: JobRecord, now_us: int) -> Job:
        job = self.jobs[job_id] = Job(record, version, now_us)
        self.machine_reservations.record_job(record.spec, now_us)
        if record.shard_id is not None:
            # Any route record has a version above 0 and replaces this route.
            route = RouteRecord(f"0-{record.spec.tasks - 1}")
            job.routes[record.shard_id] = Route(route, 0, record.spec.all_tasks, {}, now_us)
            job.recompute_task_sets()
        # While the keys are listed, a job's routes and placements may be read before the job.
        for early in self.records_before_job.pop(job_id, ()):
            early_record = decode_record(early.key, early.raw)
            if early_record is not None:
                self._apply(early.key, early.version, early_record, now_us)
        return job

    def _update_job(self, job: Job, version: int, record: JobRecord, now_us: int) -> None:
        job.update(record, version, now_us)
        if not job.ended_without_placements:
            return
        for chunk, placed in job.placements.items():
            job.placements[chunk] = empty = placed.without_placements()
            self._update_placements_by_machine(job, placed, empty)

    def _delete_job(self, key: str, path: list[str]) -> None:
        """Remove a finished job whose record was deleted; requests for it are answered from the history."""
        job_id = path[0]
        self.job_changes += 1
        job = self.jobs.pop(job_id, None)
        self.open_jobs.pop(job_id, None)
        if job is None:
            return
        # The remaining routes and placements were written while the job's records were being deleted.
        for shard_id, route in job.routes.items():
            if route.version:
                self._store_early_record(job_id, route_key(shard_id, job_id), route.version, route.record)
        for (shard_id, chunk), placed in job.placements.items():
            self._update_placements_by_machine(job, placed, None)
            key = placement_key(shard_id, job_id, chunk)
            self._store_early_record(job_id, key, placed.version, placed.record)

    # Routes. Path: shard, job id.

    def _put_route(self, key: str, path: list[str], version: int, record: RouteRecord, now_us: int) -> None:
        shard_id, job_id = path[0], path[1]
        job = self.jobs.get(job_id)
        if job is None:
            self._store_early_record(job_id, key, version, record)
            return
        job.routes[int(shard_id)] = Route.from_record(record, version, now_us)
        job.recompute_task_sets()

    def _delete_route(self, key: str, path: list[str]) -> None:
        shard_id, job_id = path[0], path[1]
        job = self.jobs.get(job_id)
        if job is None:
            self._drop_early_record(job_id, key)
            return
        job.routes.pop(int(shard_id), None)
        job.recompute_task_sets()

    # Placements. Path: shard, job id, chunk.

    def _put_placements(
        self, key: str, path: list[str], version: int, record: PlacementRecord, now_us: int
    ) -> None:
        shard_id, job_id, chunk = path[0], path[1], path[2]
        job = self.jobs.get(job_id)
        if job is None:
            self._store_early_record(job_id, key, version, record)
            return
        chunk_id = PlacementChunk(int(shard_id), int(chunk))
        placed = CommittedPlacements(record, version, chunk_id.chunk)
        if job.ended_without_placements:
            placed = placed.without_placements()
        before = job.placements.get(chunk_id)
        job.placements[chunk_id] = placed
        job.done_tasks |= placed.done_tasks
        self._update_placements_by_machine(job, before, placed)
        self._update_open_jobs(job)

    def _delete_placements(self, key: str, path: list[str]) -> None:
        shard_id, job_id, chunk = path[0], path[1], path[2]
        job = self.jobs.get(job_id)
        if job is None:
            self._drop_early_record(job_id, key)
            return
        before = job.placements.pop(PlacementChunk(int(shard_id), int(chunk)), None)
        self._update_placements_by_machine(job, before, None)
        self._update_open_jobs(job)

    # Machines. Path: shard, machine.

    def _put_machine(
        self, key: str, path: list[str], version: int, record: MachineRecord, now_us: int
    ) -> None:
        shard_id, machine = path[0], path[1]
        self.machines[machine] = RegisteredMachine(int(shard_id), record)
        self.changed_machines.add(machine)

    def _delete_machine(self, key: str, path: list[str]) -> None:
        machine = path[1]
        self.machines.pop(machine, None)
        self.changed_machines.add(machine)

    # Drains. Path: machine.

    def _put_drain(self, key: str, path: list[str], version: int, record: DrainRecord, now_us: int) -> None:
        self.drains[path[0]] = record

    def _delete_drain(self, key: str, path: list[str]) -> None:
        self.drains.pop(path[0], None)

    # Instance requests. Path: name of the request.

    def _put_instance_request(
        self, key: str, path: list[str], version: int, record: InstanceRequestRecord, now_us: int
    ) -> None:
        self.instance_requests[path[0]] = record

    def _delete_instance_request(self, key: str, path: list[str]) -> None:
        self.instance_requests.pop(path[0], None)

    # Leases. Path: shard; empty for the leader lease.

    def _put_shard_lease(
        self, key: str, path: list[str], version: int, record: LeaseHolderRecord, now_us: int
    ) -> None:
        self.shard_holders[int(path[0])] = _lease_holder(version, record, now_us)

    def _delete_shard_lease(self, key: str, path: list[str]) -> None:
        self.shard_holders.pop(int(path[0]), None)

    def _put_leader_lease(
        self, key: str, path: list[str], version: int, record: LeaseHolderRecord, now_us: int
    ) -> None:
        self.leader = _lease_holder(version, record, now_us)

    def _delete_leader_lease(self, key: str, path: list[str]) -> None:
        self.leader = None

    def _put_layout(
        self, key: str, path: list[str], version: int, record: ShardLayoutRecord, now_us: int
    ) -> None:
        self.layout = record

    def _delete_layout(self, key: str, path: list[str]) -> None:
        self.layout = None

    # Of a write fence only the version is used, which ``versions`` holds.

    def _put_write_fence(
        self, key: str, path: list[str], version: int, record: msgspec.Struct, now_us: int
    ) -> None:
        pass

    def _delete_write_fence(self, key: str, path: list[str]) -> None:
        pass

    def _store_early_record(
        self, job_id: str, key: str, version: int, record: RouteRecord | PlacementRecord
    ) -> None:
        early = EarlyRecord(key, version, msgspec.json.encode(record))
        self.records_before_job.setdefault(job_id, []).append(early)

    def _drop_early_record(self, job_id: str, key: str) -> None:
        remaining = [early for early in self.records_before_job.pop(job_id, ()) if early.key != key]
        if remaining:
            self.records_before_job[job_id] = remaining

    def _update_placements_by_machine(
        self, job: Job, before: CommittedPlacements | None, after: CommittedPlacements | None
    ) -> None:
        job_id = job.spec.job_id
        old = before.record.placements if before else {}
        new = after.record.placements if after else {}
        for task, placement in old.items():
            if new.get(task) != placement:
                self._remove_placement(job_id, task, placement.machine)
        for task, placement in new.items():
            if old.get(task) != placement:
                machine = placement.machine
                self.changed_machines.add(machine)
                self.placements_by_machine.setdefault(machine, {})[job_id, task] = placement
        job.recompute_task_sets()

    def _remove_placement(self, job_id: str, task: int, machine: str) -> None:
        self.changed_machines.add(machine)
        placements = self.placements_by_machine.get(machine)
        if placements is None:
            return
        placements.pop((job_id, task), None)
        if not placements:
            del self.placements_by_machine[machine]

    def _update_open_jobs(self, job: Job) -> None:
        job_id = job.spec.job_id
        if job.state == JobState.QUEUED or job.placed_tasks:
            self.open_jobs[job_id] = job
        else:
            self.open_jobs.pop(job_id, None)


def _lease_holder(version: int, record: LeaseHolderRecord, now_us: int) -> LeaseHolder:
    return LeaseHolder(record.node, version, record.node_version, now_us)


class _RecordHandlers(NamedTuple):
    """The methods that apply changes of one kind of record to the replica."""

    # Arguments: the key, its parts after the kind, the version, the record, the time by this node's clock.
    put: Callable[[Replica, str, list[str], int, Any, int], None]
    # Arguments: the key and its parts after the kind.
    delete: Callable[[Replica, str, list[str]], None]


# The handlers of the kinds in ``records.RECORD_TYPES``; each takes the record type that is listed there.
_HANDLERS: dict[str, _RecordHandlers] = {
    JOB_KIND: _RecordHandlers(Replica._put_job, Replica._delete_job),
    ROUTE_KIND: _RecordHandlers(Replica._put_route, Replica._delete_route),
    PLACEMENT_KIND: _RecordHandlers(Replica._put_placements, Replica._delete_placements),
    MACHINE_KIND: _RecordHandlers(Replica._put_machine, Replica._delete_machine),
    DRAIN_KIND: _RecordHandlers(Replica._put_drain, Replica._delete_drain),
    INSTANCE_REQUEST_KIND: _RecordHandlers(Replica._put_instance_request, Replica._delete_instance_request),
    SHARD_LEASE_KIND: _RecordHandlers(Replica._put_shard_lease, Replica._delete_shard_lease),
    LEADER_LEASE_KIND: _RecordHandlers(Replica._put_leader_lease, Replica._delete_leader_lease),
    SHARD_LAYOUT_KIND: _RecordHandlers(Replica._put_layout, Replica._delete_layout),
    WRITE_FENCE_KIND: _RecordHandlers(Replica._put_write_fence, Replica._delete_write_fence),
}
