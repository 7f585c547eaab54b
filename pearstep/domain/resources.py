"""Free resources of a machine."""

from __future__ import annotations

from collections.abc import Callable

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType

# Tolerance for comparisons, because amounts are sums of floating-point numbers.
RESOURCE_EPSILON = 1e-6


class SharedResources:
    """The share of a machine for work that could also run on other machine types.

    The rest is reserved for work that fits on this machine type only (``scheduling.whole_machine``).

    Attributes:
        free: how much of the share is free.
        can_run_elsewhere: whether a job also fits on machines of another type.
    """

    __slots__ = ("can_run_elsewhere", "free")

    def __init__(self, free: FreeResources, can_run_elsewhere: Callable[[JobSpec], bool]) -> None:
        """Set the free amounts of the share and the test of which jobs are limited to it."""
        self.free = free
        self.can_run_elsewhere = can_run_elsewhere


class FreeResources:
    """Free or used amounts of one machine.

    Attributes:
        cpus: processors.
        gpus: accelerators.
        memory_gb: memory.
        shared: how much of these amounts is for work that could also run elsewhere; None: all.
    """

    __slots__ = ("cpus", "gpus", "memory_gb", "shared")

    def __init__(
        self, cpus: float, gpus: float, memory_gb: float, shared: SharedResources | None = None
    ) -> None:
        """Set the amounts."""
        self.cpus = cpus
        self.gpus = gpus
        self.memory_gb = memory_gb
        self.shared = shared

    def copy(self) -> FreeResources:
        """Return an independent copy, for planning."""
        shared = self.shared
        if shared is not None:
            shared = SharedResources(shared.free.copy(), shared.can_run_elsewhere)
        return FreeResources(self.cpus, self.gpus, self.memory_gb, shared)

    def fits(self, spec: JobSpec) -> bool:
        """Tell whether one task of the job fits."""
        return (
            spec.cpus <= self.cpus + RESOURCE_EPSILON
            and spec.gpus <= self.gpus + RESOURCE_EPSILON
            and spec.memory_gb <= self.memory_gb + RESOURCE_EPSILON
            and (
                self.shared is None or self.shared.free.fits(spec) or not self.shared.can_run_elsewhere(spec)
            )
        )

    def allocate(self, spec: JobSpec, count: int = 1) -> None:
        """Allocate the resources of ``count`` tasks of the job; a negative count frees them."""
        self.cpus -= spec.cpus * count
        self.gpus -= spec.gpus * count
        self.memory_gb -= spec.memory_gb * count
        if self.shared is not None and self.shared.can_run_elsewhere(spec):
            self.shared.free.allocate(spec, count)

    def count_fitting(self, spec: JobSpec, max_count: int) -> int:
        """Count the tasks of the job that fit, up to ``max_count``."""
        # The most frequently called function: it returns early for a machine without free resources.
        count = max_count
        if spec.cpus > 0:
            if self.cpus + RESOURCE_EPSILON < spec.cpus:
                return 0
            count = min(count, int((self.cpus + RESOURCE_EPSILON) / spec.cpus))
        if spec.gpus > 0:
            if self.gpus + RESOURCE_EPSILON < spec.gpus:
                return 0
            count = min(count, int((self.gpus + RESOURCE_EPSILON) / spec.gpus))
        if spec.memory_gb > 0:
            if self.memory_gb + RESOURCE_EPSILON < spec.memory_gb:
                return 0
            count = min(count, int((self.memory_gb + RESOURCE_EPSILON) / spec.memory_gb))
        if count and self.shared is not None and self.shared.can_run_elsewhere(spec):
            count = min(count, self.shared.free.count_fitting(spec, count))
        return count


def total_resources(machine_type: MachineType) -> FreeResources:
    """Return all resources that a machine of this type has."""
    return FreeResources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
