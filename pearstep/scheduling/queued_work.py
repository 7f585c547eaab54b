"""Work waiting to be scheduled."""

from __future__ import annotations

from dataclasses import KW_ONLY, dataclass

from pearstep.domain.job_spec import JobSpec

# Scheduling key (``scheduling_key``), submission time and job ID; the lowest is scheduled first.
SortKey = tuple[int, int, str]


# Created for each waiting job and pass: slots save memory, and comparison is by identity.
@dataclass(slots=True, eq=False)
class QueuedWork:
    """Work waiting in a shard: one gang, or the waiting tasks of an array or a service.

    Attributes:
        spec: The job.
        tasks: The numbers of the waiting tasks; a pass removes those that it starts.
        sort_key: Its position among all waiting work.
        queue: The index of its queue, by estimated run time.
        run_us: Its estimated run time.
        zone: The only zone in which it may run; None: any.
        retry_at_us: The end of its backoff; 0 if there is none.
        avoided_machines: Machines on which it must not start.
        urgent: Whether its class has a start objective, so that image fetch time comes first in placement.
    """

    spec: JobSpec
    tasks: list[int]
    sort_key: SortKey
    queue: int
    run_us: int
    _: KW_ONLY
    zone: str | None = None
    retry_at_us: int = 0
    avoided_machines: frozenset[str] = frozenset()
    urgent: bool = True

    @property
    def tasks_together(self) -> int:
        """The number of tasks that must start together: all of a gang, otherwise one."""
        return len(self.tasks) if self.spec.kind == "gang" else 1
