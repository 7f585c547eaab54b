"""The specification of a job as submitted."""

from __future__ import annotations

import msgspec

# In descending order; ``JobSpec.priority`` is an index into it.
PRIORITIES = ("production", "high", "normal", "low")

JOB_KINDS = ("array", "gang", "service")


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True, rename={"job_id": "ref", "job_class": "cls"}):
    """The immutable specification of a job, as submitted by its owner.

    Attributes:
        job_id: the ID chosen by the owner.
        job_class: the class of work, for which operators set start objectives.
        team: the team whose quota it uses.
        kind: one of ``JOB_KINDS``.
        priority: an index into ``PRIORITIES``; lower values are scheduled first.
        tasks: the number of tasks.
        cpus: processors of each task.
        gpus: accelerators of each task.
        memory_gb: memory of each task.
        image: the image that a machine must have cached to start a task.
        image_gb: the size of the image.
        types: the machine types that it may run on; None: all.
        zone: the zone that it must run in; None: any.
        one_zone: whether all its tasks must run in the same zone.
        spread: whether at most half of its tasks may be in one zone.
        spot: whether it may run on spot instances.
        estimate_us: the expected run time of a task; 0: not stated.
        checkpoint_us: the interval between checkpoints; 0: no checkpoints.
        save_us: the time that a task needs to save its work when it is stopped.
        deadline_us: the deadline as submitted; None: none.
    """

    job_id: str
    job_class: str
    team: str
    kind: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None = None
    zone: str | None = None
    one_zone: bool = False
    spread: bool = False
    spot: bool = False
    estimate_us: int = 0
    checkpoint_us: int = 0
    save_us: int = 0
    deadline_us: int | None = None

    @property
    def all_tasks(self) -> int:
        """The set of all tasks as a bit mask, the representation of all sets of tasks."""
        return (1 << self.tasks) - 1
