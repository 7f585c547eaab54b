"""Choice of machines for tasks by type, zone, free resources, reservations and cached images."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import KW_ONLY, dataclass, field
from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import RESOURCE_EPSILON, FreeResources, total_resources
from pearstep.domain.units import SECOND_US
from pearstep.scheduling.queued_work import QueuedWork

# Default cost of placing a task that needs no accelerator on a machine that has some.
DEFAULT_ACCELERATOR_PENALTY_US = 4 * SECOND_US
# The number of CPUs that one accelerator counts as when free resources are compared.
CPUS_PER_ACCELERATOR = 8


@dataclass(slots=True, eq=False)
class Reservation:
    """Resources reserved on a machine for the expected run time of a pivot."""

    from_us: int
    until_us: int
    spec: JobSpec
    count: int


# Created for each machine and pass: slots save memory; compared by identity, so usable as a dictionary key.
@dataclass(slots=True, eq=False)
class Candidate:
    """A machine as a scheduling pass sees it.

    Attributes:
        name: The machine's name.
        machine_type: Its type.
        zone: Its zone.
        spot: Whether it is a spot instance.
        free: Its free resources now; planned starts are subtracted.
        images: The images that it has cached.
        partition: The queue whose partition it is in.
        expected_ends: The expected end and the job of each task that runs on it.
        reservations: Its reservations for pivots.
        fetching: Images that it is fetching; concurrent fetches share the machine's fetch rate.
        accelerator_penalty_us: The cost of using a machine with accelerators for work that needs none.
    """

    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    free: FreeResources
    _: KW_ONLY
    images: Container[str] = ()
    partition: int = 0
    expected_ends: list[tuple[int, JobSpec]] = field(default_factory=list)
    reservations: list[Reservation] = field(default_factory=list)
    fetching: set[str] = field(default_factory=set)
    accelerator_penalty_us: int = DEFAULT_ACCELERATOR_PENALTY_US

    def allows(self, spec: JobSpec, zone: str | None = None) -> bool:
        """Tell whether the job may use this machine at all."""
        return (
            (spec.types is None or self.machine_type.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (zone is None or zone == self.zone)
            and (spec.spot or not self.spot)
        )

    def free_at(self, at_us: int, run_us: int) -> FreeResources:
        """Return the resources that are free for a task that starts at ``at_us`` and runs for ``run_us``.

        Tasks expected to end by the start are counted as ended. Reservations that overlap the run are not
        free. The caller must not change the result.
        """
        ended = [spec for end_us, spec in self.expected_ends if end_us <= at_us]
        if not ended and not self.reservations:
            return self.free
        free = self.free.copy()
        for spec in ended:
            free.allocate(spec, -1)
        for reservation in self.reservations:
            if reservation.from_us < at_us + run_us and reservation.until_us > at_us:
                free.allocate(reservation.spec, reservation.count)
        return free

    def fits_now(self, spec: JobSpec, now_us: int, end_us: int) -> bool:
        """Tell whether one task fits from now to ``end_us`` without using any pivot's reservation."""
        if not self.free.fits(spec):
            return False
        for reservation in self.reservations:
            overlaps = end_us > reservation.from_us and reservation.until_us > now_us
            if overlaps and not self._free_beside_reservations(reservation.from_us).fits(spec):
                return False
        return True

    def _free_beside_reservations(self, at_us: int) -> FreeResources:
        """Return what is free at that time, without the tasks that still run and the reservations."""
        free = self.free.copy()
        for end_us, spec in self.expected_ends:
            if end_us <= at_us:
                free.allocate(spec, -1)
        for reservation in self.reservations:
            if reservation.from_us <= at_us < reservation.until_us:
                free.allocate(reservation.spec, reservation.count)
        return free

    def start(self, spec: JobSpec, end_us: int) -> None:
        """Allocate resources to a task that is expected to end at ``end_us``."""
        self.free.allocate(spec)
        self.expected_ends.append((end_us, spec))
        if spec.image not in self.images:
            self.fetching.add(spec.image)

    def revert_start(self, spec: JobSpec, end_us: int) -> None:
        """Revert a planned start."""
        self.free.allocate(spec, -1)
        self.expected_ends.remove((end_us, spec))
        if not any(other.image == spec.image for _, other in self.expected_ends):
            self.fetching.discard(spec.image)

    def fetch_us(self, spec: JobSpec) -> int:
        """Return how long the image fetch takes here; the nominal rate is shared by all fetches."""
        if spec.image in self.images or self.machine_type.fetch_gb_per_s <= 0:
            return 0
        others = len(self.fetching - {spec.image})
        return int(spec.image_gb / self.machine_type.fetch_gb_per_s * SECOND_US) * (1 + others)

    def cost(self, spec: JobSpec, queue: int, urgent: bool = True) -> tuple[float, ...]:
        """Return the cost of placing the task here; the candidate with the lowest cost is chosen.

        For urgent work the order is: the time of the image fetch, plus a penalty of a few seconds if the
        machine has accelerators that the job does not need; the queue's own partition; the tightest fit.
        Other work prefers the tightest fit to partition and fetch, so that machines become idle and can be
        returned.
        """
        penalty_us = self.accelerator_penalty_us if self.machine_type.gpus and not spec.gpus else 0
        if not urgent:
            return (
                float(penalty_us),
                # Spot instances first, because some of the waiting work may not use them.
                0.0 if self.spot else 1.0,
                self.free.cpus + CPUS_PER_ACCELERATOR * self.free.gpus,
                0.0 if self.partition == queue else 1.0,
                self.fetch_us(spec) / SECOND_US,
            )
        return (
            (self.fetch_us(spec) + penalty_us) / SECOND_US,
            0.0 if self.partition == queue else 1.0,
            self.free.cpus + CPUS_PER_ACCELERATOR * self.free.gpus,
        )


def max_tasks_per_zone(spec: JobSpec) -> int:
    """Return the largest number of tasks of the job that may be in one zone."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def choose_machines(
    work: QueuedWork, count: int, candidates: list[Candidate], now_us: int
) -> list[Candidate] | None:
    """Choose machines for ``count`` tasks that start together now.

    For a job that must stay in one zone, each zone is tried. A job that must spread never exceeds the
    limit per zone.

    Returns:
        A machine for each task; None if the tasks don't all fit.
    """
    spec = work.spec
    eligible = [c for c in candidates if c.allows(spec, work.zone) and c.free.fits(spec)]
    if not eligible:
        return None
    if count == 1:
        best = _cheapest_machine(work, eligible, now_us)
        return None if best is None else [best]
    zones = sorted({c.zone for c in eligible}) if spec.one_zone else [None]
    plans: list[tuple[int, list[Candidate]]] = []
    for zone in zones:
        in_zone = [c for c in eligible if zone is None or c.zone == zone]
        chosen = _choose_together(work, count, in_zone, now_us)
        if chosen is not None:
            penalty_us = sum(
                c.accelerator_penalty_us for c in chosen if c.machine_type.gpus and not spec.gpus
            )
            plans.append((max(c.fetch_us(spec) for c in chosen) + penalty_us, chosen))
    return min(plans, key=lambda plan: plan[0])[1] if plans else None


def _cheapest_machine(work: QueuedWork, eligible: list[Candidate], now_us: int) -> Candidate | None:
    """Return the machine with the lowest cost for one task; None if reservations exclude all."""
    spec = work.spec
    best: Candidate | None = None
    best_cost: tuple[float, ...] = ()
    for candidate in eligible:
        cost = candidate.cost(spec, work.queue, work.urgent)
        if (best is None or cost < best_cost) and candidate.fits_now(
            spec, now_us, now_us + work.run_us + candidate.fetch_us(spec)
        ):
            best, best_cost = candidate, cost
    return best


def _choose_together(
    work: QueuedWork, count: int, candidates: list[Candidate], now_us: int
) -> list[Candidate] | None:
    """Choose machines for ``count`` tasks, the lowest cost first; None if they don't all fit.

    Each start is planned on its candidate, because it changes what fits next, and reverted at the end.
    """
    spec = work.spec
    starts: list[tuple[Candidate, int]] = []
    tasks_by_zone: dict[str, int] = {}
    zone_limit = max_tasks_per_zone(spec)
    for candidate in sorted(candidates, key=lambda c: c.cost(spec, work.queue, work.urgent)):
        zone = candidate.zone
        end_us = now_us + work.run_us + candidate.fetch_us(spec)
        while (
            len(starts) < count
            and tasks_by_zone.get(zone, 0) < zone_limit
            and candidate.fits_now(spec, now_us, end_us)
        ):
            candidate.start(spec, end_us)
            starts.append((candidate, end_us))
            tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
        if len(starts) == count:
            break
    for candidate, end_us in starts:
        candidate.revert_start(spec, end_us)
    return [candidate for candidate, _ in starts] if len(starts) == count else None


class _TaskCount(NamedTuple):
    """The number of tasks of a job on one machine."""

    candidate: Candidate
    tasks: int


def reserve_earliest(
    spec: JobSpec, count: int, candidates: list[Candidate], now_us: int, run_us: int, zone: str | None = None
) -> int | None:
    """Reserve resources for ``count`` tasks at the earliest time at which they fit together.

    Returns:
        The start time; None if the tasks do not fit together even on the empty machines.
    """
    eligible = [c for c in candidates if c.allows(spec, zone)]
    if not _fits_when_empty(spec, count, eligible):
        return None
    changes = _change_times(eligible, now_us, run_us)
    counts = {c: c.free_at(now_us, run_us).count_fitting(spec, count) for c in eligible}
    totals = _totals_by_zone(spec, counts.items())
    for at_us in sorted(changes):
        for candidate in changes[at_us]:
            fitting = candidate.free_at(at_us, run_us).count_fitting(spec, count)
            key = _zone_key(spec, candidate)
            totals[key] = totals.get(key, 0) + fitting - counts[candidate]
            counts[candidate] = fitting
        if not _enough_capacity(spec, count, totals):
            continue
        plan = _plan_at(spec, count, eligible, at_us, run_us)
        if plan is not None:
            for candidate, tasks in plan:
                candidate.reservations.append(Reservation(at_us, at_us + run_us, spec, tasks))
            return at_us
    return None


def _fits_when_empty(spec: JobSpec, count: int, eligible: list[Candidate]) -> bool:
    """Tell whether the tasks would fit together on the empty machines."""
    by_type = {
        c.machine_type.name: total_resources(c.machine_type).count_fitting(spec, count) for c in eligible
    }
    return _enough_capacity(
        spec, count, _totals_by_zone(spec, ((c, by_type[c.machine_type.name]) for c in eligible))
    )


def _change_times(eligible: list[Candidate], now_us: int, run_us: int) -> dict[int, set[Candidate]]:
    """Return the times at which free resources change, each with the machines on which they change.

    The free resources of a machine for a run of ``run_us`` change only where a task ends, a reservation
    ends, or a reservation starts to overlap the run.
    """
    changes: dict[int, set[Candidate]] = {now_us: set()}
    for candidate in eligible:
        times = [end_us for end_us, _ in candidate.expected_ends]
        for reservation in candidate.reservations:
            times += (reservation.until_us, reservation.from_us - run_us + 1)
        for time_us in times:
            if time_us > now_us:
                changes.setdefault(time_us, set()).add(candidate)
    return changes


def _plan_at(
    spec: JobSpec, count: int, eligible: list[Candidate], at_us: int, run_us: int
) -> list[_TaskCount] | None:
    """Return machines that can hold ``count`` tasks from that time, with the number on each."""
    by_zone: dict[str | None, list[_TaskCount]] = {}
    for candidate in eligible:
        fitting = candidate.free_at(at_us, run_us).count_fitting(spec, count)
        if fitting:
            zone = candidate.zone if spec.one_zone else None
            by_zone.setdefault(zone, []).append(_TaskCount(candidate, fitting))
    largest_first = sorted(by_zone.values(), key=lambda group: -sum(fitting for _, fitting in group))
    for group in largest_first:
        plan = _distribute(spec, count, group)
        if plan is not None:
            return plan
    return None


def _distribute(spec: JobSpec, count: int, available: list[_TaskCount]) -> list[_TaskCount] | None:
    """Distribute the tasks over few machines: those without unneeded accelerators, then the largest."""
    plan: list[_TaskCount] = []
    tasks_by_zone: dict[str, int] = {}
    zone_limit = max_tasks_per_zone(spec)
    remaining = count
    preferred = sorted(
        available, key=lambda a: (a.candidate.machine_type.gpus > 0 and not spec.gpus, -a.tasks)
    )
    for candidate, fitting in preferred:
        zone_remaining = zone_limit - tasks_by_zone.get(candidate.zone, 0)
        tasks = min(fitting, remaining, zone_remaining)
        if tasks > 0:
            plan.append(_TaskCount(candidate, tasks))
            remaining -= tasks
            tasks_by_zone[candidate.zone] = tasks_by_zone.get(candidate.zone, 0) + tasks
    return plan if not remaining else None


def _zone_key(spec: JobSpec, candidate: Candidate) -> str:
    return candidate.zone if spec.one_zone or spec.spread else ""


def _totals_by_zone(spec: JobSpec, counts: Iterable[tuple[Candidate, int]]) -> dict[str, int]:
    totals: dict[str, int] = {}
    for candidate, count in counts:
        key = _zone_key(spec, candidate)
        totals[key] = totals.get(key, 0) + count
    return totals


def _enough_capacity(spec: JobSpec, count: int, totals: dict[str, int]) -> bool:
    """Tell whether the capacities by zone suffice for ``count`` tasks that run together."""
    if spec.one_zone:
        return max(totals.values(), default=0) >= count
    zone_limit = max_tasks_per_zone(spec)
    return sum(min(total, zone_limit) for total in totals.values()) >= count


def fits_machine_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Tell whether a task of the job could ever run on an empty machine of this type."""
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus + RESOURCE_EPSILON
        and spec.gpus <= machine_type.gpus + RESOURCE_EPSILON
        and spec.memory_gb <= machine_type.memory_gb + RESOURCE_EPSILON
    )
