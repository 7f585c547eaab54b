"""Attribution of task failures to faulty machines or faulty jobs."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearstep.domain.units import SECOND_US

# The longest backoff of a job that fails, and how long it avoids the machines that it failed on.
MAX_BACKOFF_S = 45
# Backoffs double with each attempt; the exponents are capped, as larger ones exceed the longest backoff.
MAX_FAILURE_BACKOFF_EXPONENT = 6
MAX_UNKNOWN_JOB_BACKOFF_EXPONENT = 5
MAX_UNKNOWN_JOB_BACKOFF_S = 30
# How long a machine is not used after a failure that it may have caused, and after a refused start.
MACHINE_FAILURE_BACKOFF_S = 5
REFUSED_START_BACKOFF_S = 2


@dataclass(slots=True)
class JobFaults:
    """The recorded failures of one job.

    Attributes:
        failed_machines: Machines on which tasks of it have failed.
        failed_attempts: The number of attempts that failed, or that an agent refused as an unknown job.
        retry_at_us: The end of its backoff; 0 if there is none.
        reported_suspect: Whether its stored records show repeated failures.
        proven: Whether one of its tasks has completed; the job itself is then not at fault.
    """

    failed_machines: set[str] = field(default_factory=set)
    failed_attempts: int = 0
    retry_at_us: int = 0
    reported_suspect: bool = False
    proven: bool = False


@dataclass(slots=True)
class MachineFaults:
    """The recorded failures on one machine.

    Attributes:
        errors_by_job: The number of failures of each job since the last success on the machine.
        backoff_until_us: The end of the machine's backoff; 0 if there is none.
    """

    errors_by_job: dict[str, int] = field(default_factory=dict)
    backoff_until_us: int = 0


class FaultAttribution:
    """Counts failures by machine and by job, and decides which of them is at fault.

    A job that fails on several machines is suspect: it backs off, and its failures do not count against
    machines. A machine is faulty if several jobs fail on it that failed on no other machine, or if jobs
    fail on it that have completed elsewhere.
    """

    def __init__(self, suspect_machines: int, faulty_machine_errors: int) -> None:
        """Create an empty record of failures.

        Args:
            suspect_machines: The number of machines on which a job must fail to become suspect.
            faulty_machine_errors: The number of failed jobs, or of failures of proven jobs, that makes a
                machine faulty.
        """
        self.suspect_machines = suspect_machines
        self.faulty_machine_errors = faulty_machine_errors
        self._jobs: dict[str, JobFaults] = {}
        self._machines: dict[str, MachineFaults] = {}
        # The time until which a job avoids the machines on which it failed. It is kept outside the records
        # of the jobs so that each pass examines only recently failed jobs.
        self._avoid_until_us: dict[str, int] = {}

    def is_suspect(self, job_id: str) -> bool:
        """Tell whether the job itself is probably at fault."""
        job = self._jobs.get(job_id)
        return job is not None and self._is_suspect_job(job)

    def _is_suspect_job(self, job: JobFaults) -> bool:
        return not job.proven and (job.reported_suspect or len(job.failed_machines) >= self.suspect_machines)

    def failed_machines(self, job_id: str) -> frozenset[str]:
        """Return the machines on which tasks of the job have failed."""
        job = self._jobs.get(job_id)
        return frozenset(job.failed_machines) if job is not None else frozenset()

    def restore_failures(self, job_id: str, failures: int) -> None:
        """Restore the failures of a job from its stored records.

        Without them a new shard owner would let the job fail again on several machines.
        """
        if failures < self.suspect_machines:
            return
        job = self._job(job_id)
        if not job.proven:
            job.reported_suspect = True
            job.failed_attempts = max(job.failed_attempts, failures)

    def forget_job(self, job_id: str) -> None:
        """Remove all records of a job that has ended."""
        self._jobs.pop(job_id, None)
        self._avoid_until_us.pop(job_id, None)
        for machine in self._machines.values():
            machine.errors_by_job.pop(job_id, None)

    def record_failure(self, machine_name: str, job_id: str, now_us: int) -> bool:
        """Record a failed task.

        Returns:
            Whether the machine now counts as faulty.
        """
        machine = self._machine(machine_name)
        machine.errors_by_job[job_id] = machine.errors_by_job.get(job_id, 0) + 1
        job = self._job(job_id)
        job.failed_machines.add(machine_name)
        job.failed_attempts += 1
        self._avoid_until_us[job_id] = now_us + MAX_BACKOFF_S * SECOND_US
        if self._is_suspect_job(job):
            exponent = min(job.failed_attempts, MAX_FAILURE_BACKOFF_EXPONENT)
            job.retry_at_us = now_us + min(2**exponent, MAX_BACKOFF_S) * SECOND_US
            return False
        if self._is_faulty(machine):
            return True
        # The machine backs off, so that a faulty one does not fail a whole array before it is detected.
        machine.backoff_until_us = now_us + MACHINE_FAILURE_BACKOFF_S * SECOND_US
        return False

    def _is_faulty(self, machine: MachineFaults) -> bool:
        jobs = 0
        errors_of_proven_jobs = 0
        for job_id, errors in machine.errors_by_job.items():
            job = self._jobs[job_id]
            if job.proven:
                errors_of_proven_jobs += errors
            # Seen: two jobs submitted with a mistake failed on the same good machine, and it was deleted.
            # Such a job is tried on another machine next, fails there too, and then no longer counts
            # against the first machine.
            if job.proven or (not self._is_suspect_job(job) and len(job.failed_machines) == 1):
                jobs += 1
        return jobs >= self.faulty_machine_errors or errors_of_proven_jobs >= self.faulty_machine_errors

    def record_unknown_job(self, job_id: str, now_us: int) -> None:
        """Start the backoff of a job that an agent reported as unknown: its input is not uploaded yet."""
        job = self._job(job_id)
        job.failed_attempts += 1
        exponent = min(job.failed_attempts, MAX_UNKNOWN_JOB_BACKOFF_EXPONENT)
        job.retry_at_us = now_us + min(2**exponent, MAX_UNKNOWN_JOB_BACKOFF_S) * SECOND_US

    def record_refused_start(self, machine_name: str, job_id: str, now_us: int) -> None:
        """Start the backoff of a machine that refused a start: its free resources were miscounted."""
        self._machine(machine_name).backoff_until_us = now_us + REFUSED_START_BACKOFF_S * SECOND_US

    def record_success(self, machine_name: str, job_id: str) -> None:
        """Record a completed task, which clears its job and its machine."""
        job = self._job(job_id)
        job.proven = True
        job.reported_suspect = False
        job.retry_at_us = 0
        self._machines.pop(machine_name, None)

    def machine_backs_off(self, machine_name: str, now_us: int) -> bool:
        """Tell whether the machine is in backoff and must not be used."""
        machine = self._machines.get(machine_name)
        return machine is not None and machine.backoff_until_us > now_us

    def retry_at_us(self, job_id: str) -> int:
        """Return the end of the job's backoff; 0 if there is none."""
        job = self._jobs.get(job_id)
        return job.retry_at_us if job is not None else 0

    def expire_avoidance(self, now_us: int) -> None:
        """Let jobs use the machines on which they failed again, once the avoidance time is over.

        Seen (simulation, seed 1184): a job failed on the only machine of its shard while that machine was
        temporarily faulty, and was never retried. The leader saw free resources there and did not move it.
        """
        expired = [job_id for job_id, until_us in self._avoid_until_us.items() if until_us <= now_us]
        for job_id in expired:
            del self._avoid_until_us[job_id]

    def machines_to_avoid(self, job_id: str) -> frozenset[str]:
        """Return the machines on which the job failed recently; none if the job itself is suspect."""
        if job_id not in self._avoid_until_us or self.is_suspect(job_id):
            return frozenset()
        return self.failed_machines(job_id)

    def _job(self, job_id: str) -> JobFaults:
        job = self._jobs.get(job_id)
        if job is None:
            job = self._jobs[job_id] = JobFaults()
        return job

    def _machine(self, machine_name: str) -> MachineFaults:
        machine = self._machines.get(machine_name)
        if machine is None:
            machine = self._machines[machine_name] = MachineFaults()
        return machine
