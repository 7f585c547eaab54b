"""Scaling out: the instances to rent for unplaced tasks."""

from __future__ import annotations

from dataclasses import dataclass

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState
from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import FreeResources
from pearstep.leader.autoscaler_config import AutoscalerConfig
from pearstep.leader.instance_selection import InstanceKind, InstanceSelector
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.scheduling.capacity import ResourceShape, resource_shape
from pearstep.state.job import Job
from pearstep.state.replica import Replica

# The horizon of free resources on booting machines; they count for every job.
BOOTING_HORIZON = -1


@dataclass
class InstanceRequest:
    """A request for instances of one kind."""

    type: str
    zone: str
    spot: bool
    count: int


class UpcomingMachine:
    """A machine whose resources tasks can use soon, so that no machine need be rented for them.

    It is booting, or running tasks on it are expected to end soon.

    Attributes:
        free_by_horizon: The resources that are free within each horizon in microseconds.
    """

    __slots__ = ("free_by_horizon", "machine_type", "spot", "zone")

    def __init__(
        self, machine_type: MachineType, zone: str, spot: bool, free_by_horizon: dict[int, FreeResources]
    ) -> None:
        """Create a machine with its free resources by horizon."""
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.free_by_horizon = free_by_horizon

    def allows(self, spec: JobSpec) -> bool:
        """Tell whether the job may use the machine."""
        return (
            (spec.types is None or self.machine_type.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.spot or not self.spot)
        )


def booting_machine(replica: Replica, machine_type: MachineType, zone: str, spot: bool) -> UpcomingMachine:
    """Return a booting machine, which is empty when it comes up."""
    total = replica.machine_reservations.total_resources(machine_type, spot)
    return UpcomingMachine(machine_type, zone, spot, {BOOTING_HORIZON: total})


def _allocate_upcoming(spec: JobSpec, count: int, machines: list[UpcomingMachine], horizon_us: int) -> int:
    """Allocate resources of upcoming machines to waiting tasks and return how many tasks were allocated."""
    remaining = count
    for machine in machines:
        free = machine.free_by_horizon.get(horizon_us) or machine.free_by_horizon.get(BOOTING_HORIZON)
        if free is not None and free.fits(spec) and machine.allows(spec):
            fitting = free.count_fitting(spec, remaining)
            # Resources that are free within a short horizon are also free within the longer ones.
            for resources in machine.free_by_horizon.values():
                resources.allocate(spec, fitting)
            remaining -= fitting
        if not remaining:
            break
    return count - remaining


class ScaleOutPlan:
    """The instances to rent for unplaced tasks, beyond booting machines and resources that are freed soon."""

    def __init__(
        self,
        replica: Replica,
        machine_types: dict[str, MachineType],
        config: AutoscalerConfig,
        selector: InstanceSelector,
        booting: list[UpcomingMachine],
    ) -> None:
        """Start with the machines that are booting or requested."""
        self.replica = replica
        self.machine_types = machine_types
        self.config = config
        self.selector = selector
        self.machine_count = len(replica.machines) + len(booting)
        self.requested: dict[InstanceKind, int] = {}
        self._booting = booting
        self._upcoming: list[UpcomingMachine] = []
        self._horizon_by_class: dict[str, int] = {}
        # By shape, the index of the first upcoming machine to try. When a shape has exhausted all upcoming
        # machines, only those added later can hold more tasks of it.
        self._first_untried_index: dict[ResourceShape, int] = {}

    def plan(self, unplaced: list[UnplacedWork], now_us: int, wall_us: int) -> list[InstanceRequest]:
        """Return the requests for instances; to be called once for each plan."""
        boot_us = max((each.boot_us for each in self.machine_types.values()), default=0)
        job_classes = {work.job.spec.job_class for work in unplaced}
        self._horizon_by_class = {
            job_class: self._horizon_us(job_class, boot_us) for job_class in job_classes
        }
        freeing_machines = (
            self._freeing_machines(set(self._horizon_by_class.values()), wall_us)
            if self.config.boot_wait_factor
            else []
        )
        self._upcoming = freeing_machines + self._booting
        for work in unplaced:
            self._place_or_rent(work, now_us, wall_us)
        return [
            InstanceRequest(kind.machine_type, kind.zone, kind.spot, min(count, self.config.max_per_request))
            for kind, count in self.requested.items()
        ]

    def _horizon_us(self, job_class: str, longest_boot_us: int) -> int:
        """Return how long jobs of a class may wait for running tasks to end.

        The default is the longest boot time. Half of the class's start objective shortens it for urgent
        classes and extends it for the others.
        """
        objective = self.config.start_objectives.get(job_class)
        wait_us = longest_boot_us
        if objective:
            half_us = objective[0] // 2
            is_urgent = job_class in self.config.urgent_classes
            wait_us = min(wait_us, half_us) if is_urgent else max(wait_us, half_us)
        return int(wait_us * self.config.boot_wait_factor)

    def _freeing_machines(self, horizons: set[int], wall_us: int) -> list[UpcomingMachine]:
        """Return the resources that running tasks are expected to free within each horizon.

        A task past its estimate is expected to run on for ``overrun_share`` of its elapsed time.
        """
        freeing_machines: list[UpcomingMachine] = []
        reservations = self.replica.machine_reservations
        for name, placements in self.replica.placements_by_machine.items():
            registered = self.replica.machines.get(name)
            if (
                registered is None
                or name in self.replica.drains
                or registered[1].type not in self.machine_types
            ):
                continue
            machine_type, spot = self.machine_types[registered[1].type], registered[1].spot
            free_by_horizon = {horizon: reservations.no_resources(machine_type, spot) for horizon in horizons}
            for (job_id, _), placement in placements.items():
                job = self.replica.jobs[job_id]
                left_us = self._expected_left_us(job, wall_us - placement.placed_at_us)
                for horizon, free in free_by_horizon.items():
                    if job.state != JobState.QUEUED or left_us <= horizon:
                        free.allocate(job.spec, -1)
            freeing_machines.append(UpcomingMachine(machine_type, registered[1].zone, spot, free_by_horizon))
        return freeing_machines

    def _expected_left_us(self, job: Job, ran_us: int) -> int:
        left_us = job.spec.estimate_us - ran_us
        return left_us if left_us > 0 else int(ran_us * self.config.overrun_share)

    def _place_or_rent(self, work: UnplacedWork, now_us: int, wall_us: int) -> None:
        """Allocate a job's tasks on upcoming machines, and rent machines for the remaining tasks."""
        spec = work.job.spec
        remaining = work.tasks
        horizon_us = self._waiting_horizon_us(work.job, wall_us)
        upcoming = self._upcoming[self._first_untried_index.get(resource_shape(spec), 0) :]
        zone: str | None = None
        while remaining > 0:
            # Tasks without accelerators use upcoming machines that have them only if no machine without
            # accelerators can be rented.
            preferred = (
                upcoming if spec.gpus else [machine for machine in upcoming if not machine.machine_type.gpus]
            )
            remaining -= _allocate_upcoming(spec, remaining, preferred, horizon_us)
            kind = (
                self.selector.cheapest(spec, remaining, now_us, self.requested, zone) if remaining else None
            )
            if remaining and (kind is None or self.machine_types[kind.machine_type].gpus):
                remaining -= _allocate_upcoming(spec, remaining, upcoming, horizon_us)
                if remaining and horizon_us != BOOTING_HORIZON:
                    self._first_untried_index[resource_shape(spec)] = len(self._upcoming)
            if not remaining or kind is None or self.machine_count >= self.config.max_machines:
                break
            upcoming = [self._rent(kind)]
            if spec.one_zone:
                zone = kind.zone

    def _waiting_horizon_us(self, job: Job, wall_us: int) -> int:
        """Return the horizon of a job; beyond it, the job no longer waits for running tasks."""
        job_class = job.spec.job_class
        horizon_us = self._horizon_by_class[job_class]
        if job_class in self.config.start_objectives and wall_us - job.submitted_at_us > horizon_us:
            return BOOTING_HORIZON
        return horizon_us

    def _rent(self, kind: InstanceKind) -> UpcomingMachine:
        """Request one more machine and add it to the upcoming machines."""
        machine_type = self.machine_types[kind.machine_type]
        machine = booting_machine(self.replica, machine_type, kind.zone, kind.spot)
        self._upcoming.append(machine)
        self.requested[kind] = self.requested.get(kind, 0) + 1
        self.machine_count += 1
        return machine
