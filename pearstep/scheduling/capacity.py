"""Index of how many tasks of a job fit on groups of machines.

Planning needs this count for every waiting job against every machine. With hundreds of both, counting is
most of a controller's work. So the count is made once for all jobs with the same resource shape, and only
machines whose free resources have changed are counted again.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from typing import Generic, NamedTuple, Protocol, TypeVar

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.resources import RESOURCE_EPSILON, FreeResources

# The largest number of tasks counted on one machine.
COUNT_LIMIT = 100_000


class CapacityMachine(Protocol):
    """The properties of a machine that planning uses."""

    name: str

    def allows(self, spec: JobSpec, zone: str | None) -> bool:
        """Tell whether the job may use the machine at all."""


Machine = TypeVar("Machine", bound=CapacityMachine)
Group = TypeVar("Group", bound=Hashable)

# CPUs, accelerators, memory (GB), machine types, zone, and whether spot instances may be used. It is a plain
# tuple because it is only used as a dictionary key and is built for each lookup, several times per machine
# and pass; a lookup with a NamedTuple takes more than twice as long.
ResourceShape = tuple[float, float, float, tuple[str, ...] | None, str | None, bool]


def resource_shape(spec: JobSpec) -> ResourceShape:
    """Return the properties that decide where a task fits; jobs of equal shape fit equally."""
    return (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


class _ShapeCounts(NamedTuple, Generic[Group]):
    """How many tasks of one shape fit, by group and by machine."""

    spec: JobSpec
    by_group: dict[Group, int]
    by_machine: dict[str, int]


class CapacityIndex(Generic[Machine, Group]):
    """Counts of the tasks that fit, by shape and group of machines."""

    def __init__(
        self,
        machines: Iterable[Machine],
        group: Callable[[Machine], Group],
        free_resources: Callable[[Machine], FreeResources],
    ) -> None:
        """Create the index; the tasks of a shape are counted at its first query.

        Args:
            machines: The machines to count on.
            group: Returns the group of a machine, for example its zone.
            free_resources: Returns the resources of a machine that count as free.
        """
        self._machines = list(machines)
        self._group = group
        self._free_resources = free_resources
        self._counts: dict[ResourceShape, _ShapeCounts[Group]] = {}
        self.machines_examined = 0

    def by_group(self, spec: JobSpec) -> dict[Group, int]:
        """Return how many tasks of the job fit in each group.

        Groups where none fits are missing or 0. The dictionary is live: ``update`` changes it.
        """
        shape = resource_shape(spec)
        counts = self._counts.get(shape)
        if counts is None:
            counts = self._counts[shape] = self._count(spec)
        return counts.by_group

    def _count(self, spec: JobSpec) -> _ShapeCounts[Group]:
        by_group: dict[Group, int] = {}
        by_machine: dict[str, int] = {}
        least_cpus = spec.cpus - RESOURCE_EPSILON
        self.machines_examined += len(self._machines)
        for machine in self._machines:
            free = self._free_resources(machine)
            if free.cpus >= least_cpus and machine.allows(spec, None):
                count = free.count_fitting(spec, COUNT_LIMIT)
                if count:
                    by_machine[machine.name] = count
                    group = self._group(machine)
                    by_group[group] = by_group.get(group, 0) + count
        return _ShapeCounts(spec, by_group, by_machine)

    def update(self, machine: Machine) -> None:
        """Count a machine again after its free resources have changed."""
        group = self._group(machine)
        free = self._free_resources(machine)
        for spec, by_group, by_machine in self._counts.values():
            before = by_machine.get(machine.name, 0)
            after = free.count_fitting(spec, COUNT_LIMIT) if machine.allows(spec, None) else 0
            if after != before:
                by_machine[machine.name] = after
                by_group[group] = by_group.get(group, 0) + after - before
