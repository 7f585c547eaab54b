"""Consolidation: draining expensive machines that are little used."""

from __future__ import annotations

from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.leader.autoscaler_config import AutoscalerConfig
from pearstep.leader.cluster_snapshot import SnapshotMachine
from pearstep.leader.instance_selection import hourly_price
from pearstep.state.records import DrainRecord
from pearstep.state.replica import Replica

# How many of the most wasteful machines are tried beyond the drain limit; it bounds the cost of a pass.
EXTRA_MACHINES_TRIED = 12
# One in this many machines is drained at a time. Moved tasks can settle, and a large fleet is consolidated in
# the same time as a small one.
MACHINES_PER_DRAIN = 48


class _RunningTask(NamedTuple):
    spec: JobSpec
    ran_us: int


class _WastefulMachine(NamedTuple):
    wasted_price: float
    machine: SnapshotMachine


def _price(machine: SnapshotMachine) -> float:
    return hourly_price(machine.machine_type, machine.spot)


def _wasted_price(machine: SnapshotMachine) -> float:
    """Return the price per hour of a machine's unused resources."""
    machine_type = machine.machine_type
    free_gpus = machine.free.gpus / machine_type.gpus if machine_type.gpus else 1.0
    return _price(machine) * min(machine.free.cpus / machine_type.cpus, free_gpus)


class Consolidation:
    """One search for machines whose tasks all fit on other busy machines or on cheaper ones."""

    def __init__(
        self, replica: Replica, config: AutoscalerConfig, machines: list[SnapshotMachine], wall_us: int
    ) -> None:
        """Create a search over snapshot machines; moves allocate these machines' free resources."""
        self.config = config
        self.machines = machines
        self.wall_us = wall_us
        self.running_tasks: dict[str, list[_RunningTask]] = {
            name: [
                _RunningTask(replica.jobs[job_id].spec, wall_us - placement.placed_at_us)
                for (job_id, _), placement in placements.items()
            ]
            for name, placements in replica.placements_by_machine.items()
        }
        self._drained: set[str] = set()

    def plan(self) -> dict[str, DrainRecord]:
        """Return the drains of machines whose tasks can save and move elsewhere."""
        wasteful = [
            _WastefulMachine(_wasted_price(machine), machine)
            for machine in self.machines
            if self._can_drain(machine)
        ]
        wasteful.sort(key=lambda entry: (-entry.wasted_price, entry.machine.name))
        max_drains = 1 + len(self.machines) // MACHINES_PER_DRAIN
        drains: dict[str, DrainRecord] = {}
        for _, machine in wasteful[: EXTRA_MACHINES_TRIED + max_drains]:
            if self._move_elsewhere(machine):
                self._drained.add(machine.name)
                drains[machine.name] = DrainRecord("moving", self.wall_us)
                if len(drains) == max_drains:
                    break
        return drains

    def _can_drain(self, machine: SnapshotMachine) -> bool:
        running_tasks = self.running_tasks.get(machine.name)
        if not running_tasks or not machine.usable or not all(self._can_move(task) for task in running_tasks):
            return False
        longest_left_us = max(task.spec.estimate_us - task.ran_us for task in running_tasks)
        return longest_left_us >= self.config.consolidation_min_left_us

    def _can_move(self, task: _RunningTask) -> bool:
        return (
            task.spec.checkpoint_us > 0
            and task.spec.kind != "service"
            and task.ran_us > self.config.consolidation_min_run_us
        )

    def _move_elsewhere(self, machine: SnapshotMachine) -> bool:
        """Allocate the resources for a machine's tasks on other machines.

        Returns:
            False, with nothing allocated, if the tasks do not all fit.
        """
        price = _price(machine)
        targets = [
            (other, other.free.copy())
            for other in self.machines
            if other.name != machine.name
            and other.name not in self._drained
            and (other.name in self.running_tasks or _price(other) < price / 2)
        ]
        targets.sort(key=lambda target: (_price(target[0]), target[1].cpus))
        for spec, _ in self.running_tasks[machine.name]:
            zone = machine.zone if spec.one_zone else None
            for other, free in targets:
                if other.allows(spec, zone) and free.fits(spec):
                    free.allocate(spec)
                    break
            else:
                return False
        for other, free in targets:
            other.free = free
        return True
