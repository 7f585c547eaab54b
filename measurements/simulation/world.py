"""What is true whatever the controllers believe: which tasks are where, what has been done and saved, which
gangs have come together. Everything that happens is told to the checker.
"""

from __future__ import annotations

from collections.abc import Callable

from measurements.simulation.checker import Checker
from measurements.simulation.clock import DEAD, VirtualLoop
from measurements.simulation.worker import Key, SimWorker
from pearstep.domain.job_spec import JobSpec

# Tasks of arrays that end far apart at most: with more, the last would run for half an hour.
MOST_UNEVEN = 3


class World:
    """The region. ``run_s``: how long a task of a job really takes."""

    def __init__(self, loop: VirtualLoop, checker: Checker, peer_s: float) -> None:
        self.loop = loop
        self.checker = checker
        self.peer_s = peer_s
        # How much longer each further task of a small array runs than the first: they end far apart.
        self.uneven = 0.0
        self.uploaded: dict[str, JobSpec] = {}
        self.run_s: dict[str, float] = {}
        self.faulty: set[str] = set()
        self.done: set[tuple[str, int]] = set()
        self.progress_s: dict[tuple[str, int], float] = {}
        self.machines: dict[str, SimWorker] = {}
        # Told of each job whose last task has completed.
        self.over: list[Callable[[str], None]] = []
        self._gangs: dict[tuple[str, int], dict[int, tuple[SimWorker, Key]]] = {}

    # -- what has been done ----------------------------------------------------------------------

    def is_done(self, ref: str, number: int) -> bool:
        """Whether the task's result is kept."""
        return (ref, number) in self.done

    def left_s(self, spec: JobSpec, number: int) -> float:
        """How long the task still takes; a gang's progress is that of the job."""
        even = spec.kind == "gang" or spec.tasks > MOST_UNEVEN
        longer = 1.0 if even else 1.0 + self.uneven * number
        return max(self.run_s[spec.job_id] * longer - self.progress_s.get(_whose(spec, number), 0.0), 0.05)

    def saved(self, spec: JobSpec, number: int, ran_s: float) -> None:
        """The task was saved after it ran for so long."""
        whose = _whose(spec, number)
        self.progress_s[whose] = self.progress_s.get(whose, 0.0) + ran_s

    def completed(self, spec: JobSpec, number: int) -> None:
        """The task is done; with it, its whole gang."""
        for n in range(spec.tasks) if spec.kind == "gang" else (number,):
            self.done.add((spec.job_id, n))
            self.checker.note(self.loop.time(), f"{spec.job_id}/{n} has completed")
            self.checker.done(spec.job_id, n)
        if all((spec.job_id, n) in self.done for n in range(spec.tasks)):
            for tell in self.over:
                tell(spec.job_id)

    # -- what is where ---------------------------------------------------------------------------

    def arrived(self, worker: SimWorker, key: Key, spec: JobSpec) -> None:
        """A task has its image: it is on its machine."""
        self.checker.arrived(
            self.loop.time(), worker.name, worker.mtype.name, worker.zone, worker.spot, key, spec
        )

    def left(self, worker: SimWorker, key: Key, spec: JobSpec) -> None:
        """Nothing of the task is on the machine any more."""
        self.checker.left(worker.name, key, spec)
        gang = self._gangs.get((spec.job_id, key[1]))
        if gang is not None:
            gang.pop(_number(key), None)
            for mate, its in gang.values():
                if mate.life.state != DEAD:
                    mate.life.soon(mate.lost_mate, its)

    def began(self, key: Key, spec: JobSpec) -> None:
        """A task runs."""
        self.checker.began(self.loop.time(), key, spec)

    def lease_over(self, machine: str, tasks: int) -> None:
        """A worker's lease ended; it has killed so many tasks."""
        self.checker.note(self.loop.time(), f"{machine} lease over, killed {tasks}")
        self.checker.killed += tasks

    # -- gangs -----------------------------------------------------------------------------------

    def gather(self, worker: SimWorker, key: Key, spec: JobSpec) -> list[tuple[SimWorker, Key]]:
        """A task of a gang has its image; all of its attempt that are there."""
        gang = self._gangs.setdefault((spec.job_id, key[1]), {})
        gang[_number(key)] = (worker, key)
        return list(gang.values())

    def mates(self, key: Key, spec: JobSpec) -> list[tuple[SimWorker, Key]]:
        """The other tasks of the same attempt that are there."""
        if spec.kind != "gang":
            return []
        gang = self._gangs.get((spec.job_id, key[1]), {})
        return [(mate, its) for mate, its in gang.values() if its != key and its in mate.runs]


def _number(key: Key) -> int:
    return int(key[0].rpartition("/")[2])


def _whose(spec: JobSpec, number: int) -> tuple[str, int]:
    return spec.job_id, 0 if spec.kind == "gang" else number
