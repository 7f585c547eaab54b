"""The leader's snapshot of the machines and their free resources while routes are planned."""

from __future__ import annotations

from collections.abc import Iterable
from operator import attrgetter
from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import FreeResources
from pearstep.scheduling.capacity import CapacityIndex
from pearstep.scheduling.placement import Candidate, max_tasks_per_zone
from pearstep.scheduling.whole_machine import WholeMachineReservations
from pearstep.state.records import MachineRecord
from pearstep.state.replica import Replica


class MachineGroup(NamedTuple):
    """Machines that are counted together.

    Attributes:
        shard_id: The shard of the machines.
        zone: The zone of the machines.
        spot: Whether the machines are spot instances.
        has_gpus: Whether the machines have accelerators.
    """

    shard_id: int
    zone: str
    spot: bool
    has_gpus: bool


_group_of = attrgetter("group")


class SnapshotMachine:
    """A machine in the leader's snapshot.

    Attributes:
        free_by_records: The resources that the committed records leave free.
        free: The resources that the current pass has not allocated yet.
        usable: Whether the machine's shard has an owner and the machine is not being drained.
        running_specs: The job specification of each task on the machine.
    """

    __slots__ = (
        "free",
        "free_by_records",
        "group",
        "images",
        "machine_type",
        "name",
        "running_specs",
        "shard_id",
        "spot",
        "usable",
        "zone",
    )

    def __init__(
        self, name: str, shard_id: int, record: MachineRecord, machine_type: MachineType, total: FreeResources
    ) -> None:
        """Create a machine without tasks.

        Args:
            name: The name of the machine.
            shard_id: The shard of the machine.
            record: The machine's record.
            machine_type: The machine's type.
            total: The resources of the empty machine; the machine keeps and changes this object.
        """
        self.name = name
        self.shard_id = shard_id
        self.machine_type = machine_type
        self.zone = record.zone
        self.spot = record.spot
        self.images = record.images
        self.group = MachineGroup(shard_id, record.zone, record.spot, machine_type.gpus > 0)
        self.free_by_records = total
        self.free = total
        self.usable = True
        self.running_specs: list[JobSpec] = []

    def allows(self, spec: JobSpec, zone: str | None) -> bool:
        """Tell whether the job may use this machine and the machine is in the zone, if one is given."""
        return (
            self.usable
            and (spec.types is None or self.machine_type.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (zone is None or zone == self.zone)
            and (spec.spot or not self.spot)
        )

    def free_if_preempted(self, priority: int) -> FreeResources:
        """Return the resources that would be free if all tasks of lower priority were preempted."""
        free = self.free
        if any(running.priority > priority for running in self.running_specs):
            free = free.copy()
            for running in self.running_specs:
                if running.priority > priority:
                    free.allocate(running, -1)
        return free


class AllocationLedger:
    """All machines with their allocations, kept between passes.

    Only machines whose records have changed are counted again.
    """

    def __init__(self, replica: Replica, machine_types: dict[str, MachineType]) -> None:
        """Mark all machines of the replica for counting."""
        self.replica = replica
        self.machine_types = machine_types
        self._machines: dict[str, SnapshotMachine] = {}
        self._to_recount = set(replica.machines)
        self._reservations_version = replica.machine_reservations.version
        self.machines_recounted = 0

    def snapshot_machines(self) -> list[SnapshotMachine]:
        """Return the machines by the current records, each with a copy of its free resources to plan with."""
        to_recount = self._to_recount | self.replica.changed_machines
        if self._reservations_version != self.replica.machine_reservations.version:
            self._reservations_version = self.replica.machine_reservations.version
            to_recount |= self.replica.machines.keys()
        self.replica.changed_machines.clear()
        self._to_recount = set()
        for name in to_recount:
            self._recount(name)
        held_shards = self.replica.shard_holders
        drains = self.replica.drains
        machines = list(self._machines.values())
        for machine in machines:
            machine.free = machine.free_by_records.copy()
            machine.usable = machine.shard_id in held_shards and machine.name not in drains
        return machines

    def _recount(self, name: str) -> None:
        registered = self.replica.machines.get(name)
        if registered is None:
            self._machines.pop(name, None)
            return
        shard_id, record = registered
        machine_type = self.machine_types.get(record.type)
        if machine_type is None:
            self._to_recount.add(name)
            return
        self.machines_recounted += 1
        total = self.replica.machine_reservations.total_resources(machine_type, record.spot)
        machine = SnapshotMachine(name, shard_id, record, machine_type, total)
        self._machines[name] = machine
        for job_id, _ in self.replica.placements_by_machine.get(name, ()):
            spec = self.replica.jobs[job_id].spec
            machine.free_by_records.allocate(spec)
            machine.running_specs.append(spec)


class ClusterSnapshot:
    """The machines of one pass, with counts of the tasks that fit on them."""

    def __init__(
        self,
        machines: list[SnapshotMachine],
        shard_ids: Iterable[int],
        reservations: WholeMachineReservations,
    ) -> None:
        """Index the machines by shard; shards without machines are included."""
        self.machines = machines
        self.by_name = {machine.name: machine for machine in machines}
        self.by_shard: dict[int, list[SnapshotMachine]] = {shard_id: [] for shard_id in shard_ids}
        for machine in machines:
            self.by_shard.setdefault(machine.shard_id, []).append(machine)
        self.free_now = CapacityIndex(machines, _group_of, attrgetter("free"))
        self.when_empty = CapacityIndex(
            machines,
            _group_of,
            lambda machine: reservations.total_resources(machine.machine_type, machine.spot),
        )
        self._with_preemption: dict[int, CapacityIndex[SnapshotMachine, MachineGroup]] = {}

    def with_preemption(self, priority: int) -> CapacityIndex[SnapshotMachine, MachineGroup]:
        """Return the capacity if all tasks below the priority were preempted.

        It is counted at the first call for a priority and kept for the pass.
        """
        capacity = self._with_preemption.get(priority)
        if capacity is None:
            capacity = CapacityIndex(
                self.machines, _group_of, lambda machine: machine.free_if_preempted(priority)
            )
            self._with_preemption[priority] = capacity
        return capacity

    def count_together(
        self,
        spec: JobSpec,
        capacity: CapacityIndex[SnapshotMachine, MachineGroup],
        shard_id: int | None = None,
        without_gpus: bool = False,
    ) -> int:
        """Return how many tasks of the job fit at the same time, within the job's zone constraints.

        Args:
            spec: The job.
            capacity: The capacity index to count with.
            shard_id: The shard to count in; None: all shards.
            without_gpus: Whether only machines without accelerators count.
        """
        zones: dict[str, int] = {}
        for (shard, zone, _, has_gpus), count in capacity.by_group(spec).items():
            if (shard_id is None or shard == shard_id) and not (without_gpus and has_gpus):
                zones[zone] = zones.get(zone, 0) + count
        if not zones:
            return 0
        if spec.one_zone:
            return max(zones.values())
        max_per_zone = max_tasks_per_zone(spec)
        return sum(min(count, max_per_zone) for count in zones.values())

    def free_by_shard(self, spec: JobSpec, zone: str | None, only_spot: bool = False) -> dict[int, int]:
        """Return how many tasks fit in each shard, optionally only in one zone or on spot machines."""
        free: dict[int, int] = {}
        for (shard, machine_zone, spot, _), count in self.free_now.by_group(spec).items():
            if count and (zone is None or zone == machine_zone) and (spot or not only_spot):
                free[shard] = free.get(shard, 0) + count
        return free

    def shards_when_empty(self, spec: JobSpec, zone: str | None) -> set[int]:
        """Return the shards with a machine that could hold a task of the job when empty."""
        return {
            shard
            for (shard, machine_zone, *_), count in self.when_empty.by_group(spec).items()
            if count and (zone is None or zone == machine_zone)
        }

    def allocate(self, spec: JobSpec, count: int, shard_id: int, zone: str | None) -> int:
        """Allocate free resources of a shard to tasks.

        Machines without accelerators come first, then spot machines, then the machines with least free CPUs.

        Returns:
            How many of the tasks were allocated.
        """
        if not any(
            fitting and shard == shard_id and (zone is None or zone == machine_zone)
            for (shard, machine_zone, *_), fitting in self.free_now.by_group(spec).items()
        ):
            return 0
        remaining = count
        capable_machines = [
            machine
            for machine in self.by_shard[shard_id]
            if machine.free.fits(spec) and machine.allows(spec, zone)
        ]
        capable_machines.sort(
            key=lambda machine: (machine.machine_type.gpus > 0, not machine.spot, machine.free.cpus)
        )
        for machine in capable_machines:
            fitting = machine.free.count_fitting(spec, remaining)
            if fitting:
                self.allocate_on(machine, spec, fitting)
                remaining -= fitting
            if not remaining:
                break
        return count - remaining

    def allocate_on(self, machine: SnapshotMachine, spec: JobSpec, count: int) -> None:
        """Allocate free resources of one machine."""
        machine.free.allocate(spec, count)
        self.free_now.update(machine)

    def allocate_gang(self, spec: JobSpec, shard_id: int) -> None:
        """Allocate free resources to a gang that fits in the shard."""
        zone = None
        if spec.one_zone:
            by_zone: dict[str, int] = {}
            for (shard, machine_zone, *_), count in self.free_now.by_group(spec).items():
                if shard == shard_id:
                    by_zone[machine_zone] = by_zone.get(machine_zone, 0) + count
            zone = next((each for each in sorted(by_zone) if by_zone[each] >= spec.tasks), None)
        self.allocate(spec, spec.tasks, shard_id, zone)

    def count_with_image(self, spec: JobSpec, shard_id: int) -> int:
        """Return how many tasks of a gang fit on the shard's machines that hold its image.

        The gang starts when the last image fetch is finished.
        """
        by_zone: dict[str, int] = {}
        for machine in self.by_shard[shard_id]:
            if spec.image in machine.images and machine.free.fits(spec) and machine.allows(spec, None):
                zone = machine.zone if spec.one_zone else ""
                by_zone[zone] = by_zone.get(zone, 0) + machine.free.count_fitting(spec, spec.tasks)
        return min(max(by_zone.values(), default=0), spec.tasks)

    def candidates(self, replica: Replica, wall_us: int) -> list[Candidate]:
        """Return the usable machines with the expected ends of their tasks, for reservations over all shards.

        The candidates share their free resources with the machines of the snapshot.
        """
        candidates: list[Candidate] = []
        for machine in self.machines:
            if machine.usable:
                expected_ends = [
                    (
                        max(placement.placed_at_us + replica.jobs[job_id].spec.estimate_us, wall_us + 1),
                        replica.jobs[job_id].spec,
                    )
                    for (job_id, _), placement in replica.placements_by_machine.get(machine.name, {}).items()
                ]
                candidates.append(
                    Candidate(
                        machine.name,
                        machine.machine_type,
                        machine.zone,
                        machine.spot,
                        machine.free,
                        expected_ends=expected_ends,
                    )
                )
        return candidates
