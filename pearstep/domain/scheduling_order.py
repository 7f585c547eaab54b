"""Order in which waiting jobs are scheduled."""

from __future__ import annotations

from collections.abc import Mapping

from pearstep.domain.job_spec import PRIORITIES, JobSpec
from pearstep.domain.units import FAR_FUTURE_US

# The start objectives of each job class: times from submission to start (microseconds), ascending.
StartObjectives = Mapping[str, tuple[int, ...]]

# The priority of a job that is overdue for its first start; it precedes other work of that priority.
OVERDUE_PRIORITY = PRIORITIES.index("high")


def scheduling_key(
    spec: JobSpec,
    submitted_at_us: int,
    wall_us: int,
    start_objectives: StartObjectives,
    guaranteed_start_us: int = 0,
    overdue: bool = False,
) -> int:
    """Compute the scheduling key of a job; jobs with lower keys are scheduled first.

    Jobs are ordered by priority, then by the time at which the next start objective ends. Operators set
    start objectives for job classes and for jobs within their team's guaranteed quota. After a missed
    objective the job's next one counts, so that late jobs do not make all others late. A job that has missed
    all objectives moves up as it ages; jobs without objectives come last.

    Args:
        spec: the job.
        submitted_at_us: wall time of its submission.
        wall_us: the current wall time.
        start_objectives: the start objectives of each job class.
        guaranteed_start_us: the start objective of a job within its team's guaranteed quota; 0: the job is
            not within it.
        overdue: whether the job has waited too long for its first start (``Job.is_overdue``); then it
            precedes all work except production work.
    """
    if overdue:
        return min(spec.priority, OVERDUE_PRIORITY) * FAR_FUTURE_US + submitted_at_us
    due_us = FAR_FUTURE_US - 1
    objectives = start_objectives.get(spec.job_class)
    if guaranteed_start_us:
        objectives = tuple(sorted({guaranteed_start_us, *(objectives or ())}))
    if objectives:
        waited_us = wall_us - submitted_at_us
        next_objective_us = next((within for within in objectives if waited_us < within), 2 * objectives[-1])
        due_us = submitted_at_us + next_objective_us
    return spec.priority * FAR_FUTURE_US + due_us
