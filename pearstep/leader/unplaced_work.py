"""Tasks for which a scheduling pass found no free resources."""

from __future__ import annotations

from typing import NamedTuple

from pearstep.state.job import Job


class UnplacedWork(NamedTuple):
    """Tasks of a job that wait for free resources.

    Attributes:
        job: The job.
        tasks: The number of its tasks that wait.
    """

    job: Job
    tasks: int
