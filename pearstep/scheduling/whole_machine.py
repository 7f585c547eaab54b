"""Whole-machine reservations for tasks that fit on one machine type only and need a whole machine of it.

One small task on such a machine blocks the machine for these tasks as long as it runs. Seen
(relevamiento-forestal, simulated machines): services of 2 CPUs that ran for 800 s and arrays of 4 CPUs
occupied 22 machines of 48 CPUs; gangs of 43 CPUs a task waited 487 s at the 90th percentile. So work that
could run on other types gets only the part of such a machine that a whole-machine task leaves free.

Nothing is reserved for tasks that need half a machine or less: a small task blocks only a small share
there, and reserved machines that stay idle would cost more than they gain.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import FreeResources, SharedResources, total_resources
from pearstep.domain.units import SECOND_US
from pearstep.scheduling.capacity import ResourceShape, resource_shape
from pearstep.scheduling.placement import fits_machine_type

# How long a shape counts after its last job arrived: several times the duration of boots and runs.
SHAPE_RETENTION_US = 600 * SECOND_US
# How often reservations are recomputed if nothing changes.
RECOMPUTE_INTERVAL_US = SHAPE_RETENTION_US // 10
# Machines are reserved only for shapes with at least this many recent jobs; a single job has to wait.
MIN_RECURRING_JOBS = 2
# The largest number of shapes kept, which bounds memory if all jobs differ. 649 machines see 260 shapes in
# the retention time, 4,000 machines see 1,600; shapes with rare arrivals must be kept between them.
MAX_SHAPES = 4096
# The largest number of cached answers of ``can_run_elsewhere``.
MAX_CACHED_ANSWERS = 8192


class _RecentJobs(NamedTuple):
    """The recent jobs of one shape: the last one, its arrival time, and their number."""

    spec: JobSpec
    last_at_us: int
    arrivals: int


class _Remainder(NamedTuple):
    """The resources left beside a whole-machine task, and whether that task may use spot instances."""

    cpus: float
    gpus: float
    memory_gb: float
    spot: bool


class WholeMachineReservations:
    """Decides which machine types are reserved, from the shapes of recent jobs.

    Attributes:
        version: Incremented when the reservations change, for callers that cache free resources.
    """

    def __init__(self) -> None:
        """Create reservations without jobs and machine types."""
        # Jobs by shape, ordered by the arrival of the shape's last job.
        self._recent: dict[ResourceShape, _RecentJobs] = {}
        self._types: dict[str, MachineType] = {}
        # By reserved machine type: the resources left for work that could run elsewhere.
        self._remainders: dict[str, _Remainder] = {}
        self._elsewhere_cache: dict[tuple[str, ResourceShape], bool] = {}
        self._recomputed_at_us = -SHAPE_RETENTION_US
        self._recompute_due = False
        self.version = 0

    def record_job(self, spec: JobSpec, now_us: int) -> None:
        """Record the arrival of a job."""
        shape = resource_shape(spec)
        previous = self._recent.pop(shape, None)
        arrivals = 1 + (previous.arrivals if previous is not None else 0)
        self._recompute_due |= arrivals == MIN_RECURRING_JOBS
        self._recent[shape] = _RecentJobs(spec, now_us, arrivals)
        if len(self._recent) > MAX_SHAPES:
            del self._recent[next(iter(self._recent))]

    def refresh(self, types: Iterable[MachineType], now_us: int) -> None:
        """Set the machine types and remove expired shapes; called once before each pass."""
        types_by_name = {machine_type.name: machine_type for machine_type in types}
        changed = types_by_name.keys() != self._types.keys()
        self._types = types_by_name
        if changed:
            self._elsewhere_cache.clear()
        if changed or self._recompute_due or now_us - self._recomputed_at_us >= RECOMPUTE_INTERVAL_US:
            self._recompute_due = False
            self._recomputed_at_us = now_us
            self._recompute(now_us)

    def _recompute(self, now_us: int) -> None:
        self._remove_expired_shapes(now_us)
        previous_remainders = self._remainders
        self._remainders = {}
        for spec, _, arrivals in self._recent.values():
            if arrivals >= MIN_RECURRING_JOBS:
                self._reserve_for(spec)
        if previous_remainders != self._remainders:
            self.version += 1

    def _remove_expired_shapes(self, now_us: int) -> None:
        expired = [
            shape for shape, jobs in self._recent.items() if now_us - jobs.last_at_us > SHAPE_RETENTION_US
        ]
        for shape in expired:
            del self._recent[shape]

    def _reserve_for(self, spec: JobSpec) -> None:
        """Reserve the only machine type that fits the job, if each task needs a whole machine."""
        suitable_types = [
            machine_type for machine_type in self._types.values() if fits_machine_type(spec, machine_type)
        ]
        if len(suitable_types) != 1 or len(self._types) < 2:
            return
        name = suitable_types[0].name
        free = total_resources(suitable_types[0])
        if free.count_fitting(spec, 2) != 1:
            return
        free.allocate(spec)
        cpus, gpus, memory_gb, spot = free.cpus, free.gpus, free.memory_gb, spec.spot
        previous = self._remainders.get(name)
        if previous is not None:
            cpus = min(cpus, previous.cpus)
            gpus = min(gpus, previous.gpus)
            memory_gb = min(memory_gb, previous.memory_gb)
            spot = spot or previous.spot
        self._remainders[name] = _Remainder(cpus, gpus, memory_gb, spot)

    def can_run_elsewhere(self, spec: JobSpec, name: str) -> bool:
        """Tell whether the job could run on machines of another type than the named one."""
        key = (name, resource_shape(spec))
        cached = self._elsewhere_cache.get(key)
        if cached is None:
            if len(self._elsewhere_cache) >= MAX_CACHED_ANSWERS:
                self._elsewhere_cache.clear()
            cached = self._elsewhere_cache[key] = any(
                machine_type.name != name and fits_machine_type(spec, machine_type)
                for machine_type in self._types.values()
            )
        return cached

    def is_reserved_from(self, spec: JobSpec, name: str, spot: bool) -> bool:
        """Tell whether machines of the named type are reserved for jobs other than this one."""
        return self.shared_resources(name, spot) is not None and self.can_run_elsewhere(spec, name)

    def shared_resources(self, name: str, spot: bool) -> FreeResources | None:
        """Return the resources of an empty machine of this type for work that could run elsewhere.

        Returns:
            The resources; None if the type is not reserved, so that such work may use all of it.
        """
        remainder = self._remainders.get(name)
        if remainder is None or (spot and not remainder.spot):
            return None
        return FreeResources(remainder.cpus, remainder.gpus, remainder.memory_gb)

    def total_resources(self, machine_type: MachineType, spot: bool) -> FreeResources:
        """Return the resources of an empty machine, with the share open to work that could run elsewhere."""
        shared = self.shared_resources(machine_type.name, spot)
        return self._with_shared(total_resources(machine_type), shared, machine_type.name)

    def no_resources(self, machine_type: MachineType, spot: bool) -> FreeResources:
        """Return zero resources of such a machine, for callers that add what ending tasks free.

        Resources that are freed by work that could run elsewhere are added to its share.
        """
        reserved = self.shared_resources(machine_type.name, spot) is not None
        shared = FreeResources(0, 0, 0) if reserved else None
        return self._with_shared(FreeResources(0, 0, 0), shared, machine_type.name)

    def _with_shared(self, free: FreeResources, shared: FreeResources | None, name: str) -> FreeResources:
        if shared is not None:
            free.shared = SharedResources(shared, partial(self.can_run_elsewhere, name=name))
        return free
