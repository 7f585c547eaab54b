"""Selection of the jobs that are within their team's guaranteed quota.

A job is within the guarantee if it fits into the guarantee together with the team's earlier unfinished jobs,
as the protocol defines it ("How aims are counted"). Earlier jobs can only end, so a job that is within the
guarantee stays within it, and the scheduling order based on it does not oscillate.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.team import Team
from pearstep.state.job import Job


def guarantee_applies(team: Team, spec: JobSpec) -> bool:
    """Tell whether the job uses any resource for which its team has a guarantee."""
    return bool((team.cpus and spec.cpus) or (team.gpus and spec.gpus))


def jobs_within_guarantee(jobs: Iterable[Job], teams: Mapping[str, Team]) -> frozenset[str]:
    """Return the ids of the queued jobs that are within their teams' guarantees."""
    job_ids: set[str] = set()
    used: dict[str, tuple[float, float]] = {}
    queued = (job for job in jobs if job.state == JobState.QUEUED)
    for job in sorted(queued, key=lambda job: (job.submitted_at_us, job.spec.job_id)):
        spec = job.spec
        team = teams.get(spec.team)
        if team is None or not (team.cpus or team.gpus):
            continue
        cpus, gpus = used.get(spec.team, (0.0, 0.0))
        cpus += spec.tasks * spec.cpus
        gpus += spec.tasks * spec.gpus
        used[spec.team] = (cpus, gpus)
        if guarantee_applies(team, spec) and team.within_guarantee(cpus, gpus):
            job_ids.add(spec.job_id)
    return frozenset(job_ids)


class QuotaGuarantees:
    """The jobs within their teams' guarantees, recomputed only after job records have changed.

    Attributes:
        teams: the teams by name.
        within_us: the time within which a job within its team's guarantee is to start; 0: no such
            objective.
    """

    def __init__(self, teams: Mapping[str, Team] | None = None, within_us: int = 0) -> None:
        """Set the teams and the time within which their guaranteed jobs are to start."""
        self.teams = teams or {}
        self.within_us = within_us
        self._job_ids: frozenset[str] = frozenset()
        self._computed_at_change = -1

    def start_within_us(self, job_id: str, jobs: Mapping[str, Job], job_changes: int) -> int:
        """Return the time within which a job is to start by its team's guarantee.

        Args:
            job_id: the job.
            jobs: all jobs that have not ended.
            job_changes: the number of changes of job records so far.

        Returns:
            The time from the job's submission; 0: the job is not within the guarantee.
        """
        if not self.within_us:
            return 0
        if self._computed_at_change != job_changes:
            self._computed_at_change = job_changes
            self._job_ids = jobs_within_guarantee(jobs.values(), self.teams)
        return self.within_us if job_id in self._job_ids else 0
