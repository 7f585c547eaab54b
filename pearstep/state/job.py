"""A job as described by its committed records, and the job state machine."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.state_machine import TransitionTable
from pearstep.domain.task_set import parse_task_ranges
from pearstep.state.records import TASKS_PER_RECORD, JobRecord, PlacementRecord, RouteRecord

# Compared once for each task or machine; looking up a member of an enum is slow on CPython 3.11.
_QUEUED = JobState.QUEUED
_DONE = JobState.DONE

JOB_TRANSITIONS = TransitionTable(
    "job",
    {
        JobState.QUEUED: (JobState.DONE, JobState.CANCELLED),
        JobState.DONE: (),
        JobState.CANCELLED: (),
    },
)


class PlacementChunk(NamedTuple):
    """Identifies one placement record of a job by its shard and its chunk of the job's tasks."""

    shard_id: int
    chunk: int


class Route:
    """A committed route: the tasks of a job that one shard may place.

    Attributes:
        record: the record as stored.
        version: the record's version; 0: the route comes from the job's own record.
        tasks: all tasks of the route, as a bit mask.
        zone_tasks: the tasks that are bound to a zone, as bit masks by zone.
        observed_at_us: when this replica first read the route.
    """

    __slots__ = ("observed_at_us", "record", "tasks", "version", "zone_tasks")

    def __init__(
        self, record: RouteRecord, version: int, tasks: int, zone_tasks: dict[str, int], observed_at_us: int
    ) -> None:
        """Create a route from a record and its task sets as bit masks."""
        self.record = record
        self.version = version
        self.tasks = tasks
        self.zone_tasks = zone_tasks
        self.observed_at_us = observed_at_us

    @classmethod
    def from_record(cls, record: RouteRecord, version: int, observed_at_us: int) -> Route:
        """Create a route by parsing the task sets of a stored record."""
        zone_tasks = {zone: parse_task_ranges(text) for zone, text in (record.zone_tasks or {}).items()}
        tasks = parse_task_ranges(record.tasks)
        for tasks_of_zone in zone_tasks.values():
            tasks |= tasks_of_zone
        return cls(record, version, tasks, zone_tasks, observed_at_us)


class CommittedPlacements:
    """A committed placement record, with its sets as bit masks over the whole job.

    Attributes:
        record: the record as stored.
        version: the record's version.
        placed_tasks: the tasks that have a placement.
        done_tasks: the tasks that are done.
    """

    __slots__ = ("done_tasks", "placed_tasks", "record", "version")

    def __init__(self, record: PlacementRecord, version: int, chunk: int) -> None:
        """Derive the task sets from the record of a chunk."""
        self.record = record
        self.version = version
        self.done_tasks = int(record.done, 16) << (chunk * TASKS_PER_RECORD)
        self.placed_tasks = 0
        for task in record.placements:
            self.placed_tasks |= 1 << task

    def without_placements(self) -> CommittedPlacements:
        """Return the same record without its placements."""
        empty = CommittedPlacements(msgspec.structs.replace(self.record, placements={}), self.version, 0)
        empty.done_tasks = self.done_tasks
        return empty


class Job:
    """The committed state of a job.

    Attributes:
        spec: the job as submitted.
        state: see ``JobState``.
        version: the version of the job's own record.
        submitted_at_us: wall time of the submission.
        ended_at_us: wall time of the end; 0: the job has not ended.
        first_seen_at_us: when this replica first read the job.
        final_seen_at_us: when this replica first read the job's final state.
        cancellation_acknowledged: whether each node has acknowledged the cancellation.
        routes: the routes by shard.
        placements: the placement records by ``PlacementChunk``.
        excluded_tasks: tasks that this cluster does not run; they count as done from the start.
        done_tasks: tasks that are done.
        offloaded_tasks: tasks that are lent to a peer now and are not routed; set by ``federation``.
        run_until_us: wall time from which on no task of the job may run here; 0: no limit.
        placed_tasks: tasks that have a placement in any shard.
        routed_tasks: tasks that some shard may place.
    """

    __slots__ = (
        "cancellation_acknowledged",
        "done_tasks",
        "ended_at_us",
        "excluded_tasks",
        "final_seen_at_us",
        "first_seen_at_us",
        "offloaded_tasks",
        "placed_tasks",
        "placements",
        "routed_tasks",
        "routes",
        "run_until_us",
        "spec",
        "state",
        "submitted_at_us",
        "version",
    )

    def __init__(self, record: JobRecord, version: int, seen_at_us: int) -> None:
        """Create a job from its own record, without routes and placements."""
        self.spec: JobSpec = record.spec
        self.state = record.state
        self.version = version
        self.submitted_at_us = record.submitted_at_us
        self.ended_at_us = record.ended_at_us
        self.first_seen_at_us = seen_at_us
        self.final_seen_at_us = seen_at_us
        self.cancellation_acknowledged = False
        self.routes: dict[int, Route] = {}
        # The keys are PlacementChunks. The type is that of plain tuples since callers look up with those.
        self.placements: dict[tuple[int, int], CommittedPlacements] = {}
        excluded = parse_task_ranges(record.excluded_tasks) if record.excluded_tasks else 0
        self.excluded_tasks = self.done_tasks = excluded
        self.offloaded_tasks = 0
        self.run_until_us = record.run_until_us
        self.placed_tasks = 0
        self.routed_tasks = 0

    def recompute_task_sets(self) -> None:
        """Recompute the sets of placed and routed tasks after routes or placements have changed.

        The sets are cached since the leader reads them for every open job on every pass.
        """
        self.placed_tasks = self.routed_tasks = 0
        for placed in self.placements.values():
            self.placed_tasks |= placed.placed_tasks
        for route in self.routes.values():
            self.routed_tasks |= route.tasks

    def update(self, record: JobRecord, version: int, now_us: int) -> None:
        """Apply a newer version of the job's own record.

        Raises:
            InvalidTransitionError: the job is already in another final state, which stays unchanged.
        """
        if not self.is_final:
            self.final_seen_at_us = now_us
        JOB_TRANSITIONS.transition(self, record.state)
        self.version = version
        self.ended_at_us = record.ended_at_us
        if record.run_until_us:
            self.run_until_us = record.run_until_us

    def past_run_limit(self, wall_us: int) -> bool:
        """Tell whether the job's limit ``run_until_us`` has been reached."""
        return bool(self.run_until_us) and wall_us >= self.run_until_us

    @property
    def is_final(self) -> bool:
        """Whether the job is done or cancelled."""
        return self.state != _QUEUED

    def is_overdue(self, wall_us: int, first_start_within_us: int) -> bool:
        """Tell whether no task of the job was ever placed and half of its time to start is over.

        Seen (relevamiento-forestal): low-priority arrays behind a steady flow of normal ones started their
        first task after 310 s, the last of them after 451 s.

        Args:
            wall_us: the current wall time.
            first_start_within_us: the time within which every job is to start its first task; 0: no limit.
        """
        return (
            bool(first_start_within_us)
            and wall_us - self.submitted_at_us >= first_start_within_us // 2
            and not self.placed_tasks
            and not any(placed.record.last_attempt for placed in self.placements.values())
        )

    @property
    def ended_without_placements(self) -> bool:
        """Whether the job's final state implies that none of its tasks is placed.

        An array is done when its last task has exited, so the removal of its last placements need not be
        written. This saves one write for each job, which matters for many small jobs. The tasks of a gang may
        keep their placements briefly after the gang is done.
        """
        return self.state == _DONE and self.spec.kind == "array"

    @property
    def all_tasks_done(self) -> bool:
        """Whether every task is recorded as done; always false for services."""
        return self.spec.kind != "service" and self.done_tasks == self.spec.all_tasks

    @property
    def consecutive_failures(self) -> int:
        """The number of failures of the job's tasks if none has ever completed, else 0.

        A job with such failures was submitted with a mistake, or has run on faulty machines only.
        """
        if self.done_tasks & ~self.excluded_tasks:
            return 0
        return sum(placed.record.consecutive_failures for placed in self.placements.values())

    @property
    def spans_shards(self) -> bool:
        """Whether the job is a gang that the leader has routed to several shards as one attempt."""
        return any(route.record.machines for route in self.routes.values())

    @property
    def has_waiting_tasks(self) -> bool:
        """Whether the job is queued and some task is neither done, placed nor offloaded."""
        return self.state == _QUEUED and bool(
            self.spec.all_tasks & ~self.done_tasks & ~self.placed_tasks & ~self.offloaded_tasks
        )

    def tasks_within_quota(self) -> int:
        """Return the tasks that count against the team's quota limit: tasks that are placed or routed."""
        open_routes = 0 if self.is_final else self.routed_tasks & ~self.done_tasks
        return open_routes | self.placed_tasks
