"""Multiple-queue aggressive backfilling (paper, section 3.2 and figure 4), over machines.

Work waits in four queues by estimated run time, each with a partition of the machines. The *pivot* of a
queue (the paper's term) is its first job, if that job cannot start now. A pivot gets a start time and a
reservation on certain machines from that time. Work behind a pivot is *backfilled*: it starts now if it
ends before the pivot's start or fits beside the reservation, so it delays no pivot. A queue may also use
machines of another queue's partition if that delays no pivot; an idle machine used this way moves to the
partition of the queue that uses it.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.scheduling.capacity import CapacityIndex
from pearstep.scheduling.placement import Candidate, choose_machines, reserve_earliest
from pearstep.scheduling.queued_work import QueuedWork, SortKey

QUEUE_COUNT = 4


@dataclass(slots=True, eq=False)
class PlannedStart:
    """Tasks that are to start now, each with its machine."""

    work: QueuedWork
    assignments: list[tuple[int, Candidate]]


class PivotKey(NamedTuple):
    """Identifies a pivot across passes: its job and the first of its waiting tasks."""

    job_id: str
    first_task: int


class BackfillScheduler:
    """Runs scheduling passes and keeps the state between them: partitions and the order of pivots.

    Attributes:
        partitions: The queue whose partition each machine is in.
        pivots: The job and the start time of each queue's pivot, as of the last pass.
        pivot_order: Pivots in the order in which they became pivots. A pivot that already has a start
            time precedes a new pivot of another queue, even if the new one was submitted earlier.
        blocked: Work that could not start in the last pass.
    """

    def __init__(self, bounds_us: list[int]) -> None:
        """Create a scheduler without machines.

        Args:
            bounds_us: The longest estimated run time of each queue except the last.
        """
        self.bounds_us = bounds_us
        self.partitions: dict[str, int] = {}
        self.pivots: dict[int, tuple[str, int]] = {}
        self.pivot_order: list[PivotKey] = []
        self.blocked: list[QueuedWork] = []
        self._next_partition = 0

    def queue_of(self, spec: JobSpec) -> int:
        """Return the queue of a job by its estimated run time; services go to the last queue."""
        if spec.kind == "service":
            return QUEUE_COUNT - 1
        for queue, bound_us in enumerate(self.bounds_us):
            if spec.estimate_us <= bound_us:
                return queue
        return QUEUE_COUNT - 1

    def partition_of(self, machine_name: str) -> int:
        """Return the partition of a machine; new machines are distributed evenly."""
        if machine_name not in self.partitions:
            self.partitions[machine_name] = self._next_partition
            self._next_partition = (self._next_partition + 1) % QUEUE_COUNT
        return self.partitions[machine_name]

    def forget(self, machine_name: str) -> None:
        """Remove a machine that no longer exists."""
        self.partitions.pop(machine_name, None)

    def scheduling_pass(
        self, now_us: int, candidates: list[Candidate], waiting: Iterable[QueuedWork], delay_us: int = 0
    ) -> list[PlannedStart]:
        """Plan the tasks that start now; called at each arrival and completion.

        Args:
            now_us: The time of the pass.
            candidates: The machines; planned starts and reservations are recorded in them.
            waiting: The waiting work; tasks that start are removed from it.
            delay_us: How long an extra-long job is held back while shorter jobs wait.

        Returns:
            The planned starts, in the order of the decisions.
        """
        queues = _eligible_queues(waiting, now_us, delay_us)
        scheduling = _SchedulingPass(now_us, candidates, self.partitions, self.pivot_order)
        behind_pivots = scheduling.start_heads(queues)
        scheduling.backfill(behind_pivots)
        self.pivots = scheduling.pivots
        self.pivot_order = scheduling.pivot_order
        self.blocked = scheduling.blocked
        return scheduling.starts


def _eligible_queues(waiting: Iterable[QueuedWork], now_us: int, delay_us: int) -> list[list[QueuedWork]]:
    """Return the work that may start now, by queue and in scheduling order."""
    queues: list[list[QueuedWork]] = [[] for _ in range(QUEUE_COUNT)]
    for work in sorted(waiting, key=lambda w: w.sort_key):
        if work.retry_at_us <= now_us:
            queues[work.queue].append(work)
    # Extra-long jobs are held back only while shorter jobs wait; services are never held back.
    if any(queues[:-1]):
        queues[-1] = [
            work
            for work in queues[-1]
            if work.spec.kind == "service" or now_us >= work.sort_key[1] + delay_us
        ]
    return queues


class _HeadOutcome(Enum):
    """Result of the attempt to start the first job of a queue."""

    STARTED = auto()
    # Only the first task of an array started; the next task competes again with the other queues' heads.
    PARTLY_STARTED = auto()
    # The job is now the pivot of its queue.
    RESERVED = auto()
    # The job can never fit on this shard's machines: the leader finds another shard or rents machines. It
    # does not become a pivot, because no other job can delay it, and the next job becomes the head.
    UNPLACEABLE = auto()


class _SchedulingPass:
    """One pass over the queues; the results are stored in the attributes."""

    def __init__(
        self,
        now_us: int,
        candidates: list[Candidate],
        partitions: dict[str, int],
        previous_pivots: list[PivotKey],
    ) -> None:
        """Begin a pass; ``previous_pivots`` are the pivots of the previous pass, in order."""
        self.now_us = now_us
        self.candidates = candidates
        self.partitions = partitions
        self.previous_pivots = previous_pivots
        self.capacity: CapacityIndex[Candidate, str] = CapacityIndex(
            candidates, lambda c: c.zone, lambda c: c.free
        )
        self.starts: list[PlannedStart] = []
        self.blocked: list[QueuedWork] = []
        self.pivots: dict[int, tuple[str, int]] = {}
        self.pivot_order: list[PivotKey] = []

    def start_heads(self, queues: list[list[QueuedWork]]) -> list[QueuedWork]:
        """Start the heads of all queues in turn, until each queue is empty or has its pivot.

        Returns:
            The work that waits behind the pivots, in order.
        """
        # An unplaceable job may precede its queue's pivot, so the rank is the minimum over the queue.
        heads = [(min(self._rank(w) for w in works), queue) for queue, works in enumerate(queues) if works]
        heapq.heapify(heads)
        positions = [0] * QUEUE_COUNT
        while heads:
            _, queue = heapq.heappop(heads)
            outcome = self._start_or_reserve_head(
                queues[queue][positions[queue]], other_heads_waiting=bool(heads)
            )
            if outcome is _HeadOutcome.RESERVED:
                continue
            if outcome is not _HeadOutcome.PARTLY_STARTED:
                positions[queue] += 1
            if positions[queue] < len(queues[queue]):
                heapq.heappush(heads, (self._rank(queues[queue][positions[queue]]), queue))
        behind_pivots = [w for queue, works in enumerate(queues) for w in works[positions[queue] + 1 :]]
        return sorted(behind_pivots, key=lambda w: w.sort_key)

    def backfill(self, behind_pivots: list[QueuedWork]) -> None:
        """Start the work that can start without delaying any pivot."""
        for work in behind_pivots:
            if not self._start_tasks(work):
                self.blocked.append(work)

    def _rank(self, work: QueuedWork) -> tuple[int, SortKey]:
        """Return the rank among the heads: pivots of the previous pass first, in their order."""
        key = PivotKey(work.spec.job_id, work.tasks[0])
        previous_order = self.previous_pivots
        return (previous_order.index(key) if key in previous_order else len(previous_order), work.sort_key)

    def _start_or_reserve_head(self, work: QueuedWork, *, other_heads_waiting: bool) -> _HeadOutcome:
        """Start the first job of a queue, or make it the queue's pivot."""
        first_task = work.tasks[0]
        # While heads of other queues wait, only the first task of an array is tried and may become the pivot.
        if self._start_tasks(work, 1 if other_heads_waiting else None):
            return _HeadOutcome.STARTED
        if work.tasks[0] != first_task and other_heads_waiting:
            return _HeadOutcome.PARTLY_STARTED
        pivot_us = reserve_earliest(
            work.spec, work.tasks_together, self._allowed_machines(work), self.now_us, work.run_us, work.zone
        )
        self.blocked.append(work)
        if pivot_us is None:
            return _HeadOutcome.UNPLACEABLE
        self.pivots[work.queue] = (work.spec.job_id, pivot_us)
        self.pivot_order.append(PivotKey(work.spec.job_id, work.tasks[0]))
        return _HeadOutcome.RESERVED

    def _allowed_machines(self, work: QueuedWork) -> list[Candidate]:
        """Return the machines that the work may use, without those that it avoids."""
        if not work.avoided_machines:
            return self.candidates
        return [c for c in self.candidates if c.name not in work.avoided_machines]

    def _start_tasks(self, work: QueuedWork, limit: int | None = None) -> bool:
        """Start as many tasks as fit now, up to ``limit`` single tasks or gangs.

        Returns:
            Whether all tasks of the work have started.
        """
        candidates = self._allowed_machines(work)
        started = 0
        last: Candidate | None = None
        while work.tasks:
            if started == limit:
                return False
            started += 1
            count = work.tasks_together
            if not self._may_fit(work, count):
                return False
            chosen = self._choose(work, count, candidates, last)
            if chosen is None:
                return False
            self._plan_start(work, chosen)
            last = chosen[0]
        return True

    def _choose(
        self, work: QueuedWork, count: int, candidates: list[Candidate], last: Candidate | None
    ) -> list[Candidate] | None:
        """Choose machines; ``last`` is the machine on which the previous task of this work started."""
        spec = work.spec
        if last is not None:
            end_us = self.now_us + work.run_us + last.fetch_us(spec)
            # The best machine for the previous task has an even lower cost for the next one.
            if last.fits_now(spec, self.now_us, end_us):
                return [last]
        return choose_machines(work, count, candidates, self.now_us)

    def _plan_start(self, work: QueuedWork, chosen: list[Candidate]) -> None:
        """Plan the start of the first waiting tasks, one on each of the machines."""
        spec = work.spec
        for candidate in chosen:
            if not candidate.expected_ends:
                self.partitions[candidate.name] = candidate.partition = work.queue
            candidate.start(spec, self.now_us + work.run_us + candidate.fetch_us(spec))
        for candidate in chosen:
            self.capacity.update(candidate)
        count = len(chosen)
        self.starts.append(PlannedStart(work, list(zip(work.tasks[:count], chosen, strict=True))))
        work.tasks = work.tasks[count:]

    def _may_fit(self, work: QueuedWork, count: int) -> bool:
        """Tell whether enough resources are free, without regard to reservations.

        This check is cheap and rejects most waiting jobs without examining every machine.
        """
        counts = self.capacity.by_group(work.spec)
        if work.zone is not None:
            return counts.get(work.zone, 0) >= count
        if work.spec.one_zone:
            return max(counts.values(), default=0) >= count
        return sum(counts.values()) >= count
