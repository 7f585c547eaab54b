"""New routes of a job: the tasks that each shard may place, and the writes that store them."""

from __future__ import annotations

from dataclasses import dataclass

from pearstep.domain.task_set import format_task_ranges, task_numbers
from pearstep.leader.cluster_snapshot import SnapshotMachine
from pearstep.state.job import Job
from pearstep.state.records import TASKS_PER_RECORD, RouteRecord, placement_key, route_key

# Bit masks of the tasks of one shard by zone; None: tasks that are not bound to a zone.
ZoneMasks = dict[str | None, int]


@dataclass(frozen=True)
class RouteStep:
    """One shard's share of a plan that is written in several transactions.

    Attributes:
        key: The key of the route.
        route: The new value of the route.
        conditions: The required versions by key.
        follows_withdrawal: Whether an earlier step writes the same route; this step is then conditional on
            the version that the earlier step wrote.
    """

    key: str
    route: RouteRecord
    conditions: dict[str, int]
    follows_withdrawal: bool = False


class RoutePlan:
    """New routes of a job by shard, for tasks that are bound to a zone and tasks that are not.

    Attributes:
        tasks_by_shard: The tasks that each shard may place after the plan, as masks by zone.
        changed: The shards whose routes change.
        moved: Whether a task moves from one shard to another.
        withdrawn: Whether a task is withdrawn from a shard.
        machines: For a gang that spans shards: the machine of each task.
        attempt: For such a gang: the number of its attempt.
        start_at_us: For such a gang: the wall time of its start.
    """

    def __init__(self, job: Job) -> None:
        """Start from the job's current routes."""
        self.job = job
        # The versions are read when the plan is made. Seen: a plan waited for the write budget and used the
        # versions read when it was written; it moved a task that had been placed in between, which ran twice.
        self.route_versions = {shard_id: route.version for shard_id, route in job.routes.items()}
        self.placement_versions = {chunk_id: placed.version for chunk_id, placed in job.placements.items()}
        self.tasks_by_shard: dict[int, ZoneMasks] = {}
        self.moved = False
        self.withdrawn = False
        for shard_id, route in job.routes.items():
            # Done tasks stay in the masks: ranges with a gap for each ended task of thousands would not fit
            # into a record.
            zone_bound = 0
            masks: ZoneMasks = {}
            for zone, mask in route.zone_tasks.items():
                masks[zone] = mask
                zone_bound |= mask
            masks[None] = route.tasks & ~zone_bound
            self.tasks_by_shard[shard_id] = masks
        self.masks_before = {shard_id: dict(masks) for shard_id, masks in self.tasks_by_shard.items()}
        self.changed: set[int] = set()
        self.machines: dict[int, str] | None = None
        self.attempt = 0
        self.start_at_us = 0

    def span_shards(self, machines: list[SnapshotMachine], attempt: int, start_at_us: int) -> None:
        """Route the gang to machines of several shards as one attempt.

        Args:
            machines: The machine of each task, in the order of the tasks.
            attempt: The number of the attempt.
            start_at_us: The wall time at which the tasks start.
        """
        for shard_id in self.tasks_by_shard:
            self.remove(shard_id, (1 << self.job.spec.tasks) - 1)
        self.moved = True
        self.machines = {}
        self.attempt = attempt
        self.start_at_us = start_at_us
        for task, machine in enumerate(machines):
            self.machines[task] = machine.name
            self.add(machine.shard_id, None, 1 << task)

    def add(self, shard_id: int, zone: str | None, task_mask: int) -> None:
        """Route tasks to a shard."""
        masks = self.tasks_by_shard.setdefault(shard_id, {})
        masks[zone] = masks.get(zone, 0) | task_mask
        self.changed.add(shard_id)

    def withdraw(self, shard_id: int, task_mask: int) -> None:
        """Withdraw tasks from a shard; its owner stops those that are placed."""
        for zone in self.tasks_by_shard[shard_id]:
            self.tasks_by_shard[shard_id][zone] &= ~task_mask
        self.changed.add(shard_id)
        self.withdrawn = True

    def remove(self, shard_id: int, task_mask: int) -> None:
        """Withdraw tasks from a shard on the condition that it has not placed them."""
        self.withdraw(shard_id, task_mask)
        self.moved = True

    def writes(self) -> tuple[dict[str, RouteRecord], dict[str, int]]:
        """Return the records to put and the required versions by key."""
        puts: dict[str, RouteRecord] = {}
        conditions: dict[str, int] = {}
        for shard_id in sorted(self.changed):
            key = route_key(shard_id, self.job.spec.job_id)
            puts[key] = self._record(self.tasks_by_shard[shard_id], self.machines)
            conditions |= self._conditions_of(shard_id)
        return puts, conditions

    def steps(self) -> list[RouteStep]:
        """Return the same writes split by shard, for a plan that does not fit in one transaction.

        All withdrawals come before all additions, so that no task is routed to two shards, whichever step is
        the last one written.
        """
        withdrawals: list[RouteStep] = []
        additions: list[RouteStep] = []
        for shard_id in sorted(self.changed):
            key = route_key(shard_id, self.job.spec.job_id)
            before, after = self.masks_before.get(shard_id, {}), self.tasks_by_shard[shard_id]
            # The routes of an earlier plan for a gang that spans shards are withdrawn completely.
            retained = after if self.machines is None else {}
            kept = {zone: mask & retained.get(zone, 0) for zone, mask in before.items()}
            withdrawn = any(mask & ~kept[zone] for zone, mask in before.items())
            if withdrawn:
                withdrawals.append(RouteStep(key, self._record(kept, None), self._conditions_of(shard_id)))
            if any(mask & ~kept.get(zone, 0) for zone, mask in after.items()):
                conditions = {} if withdrawn else self._conditions_of(shard_id)
                additions.append(RouteStep(key, self._record(after, self.machines), conditions, withdrawn))
        return withdrawals + additions

    def _record(self, masks: ZoneMasks, machines: dict[int, str] | None) -> RouteRecord:
        mask = masks.get(None, 0)
        if machines is not None:
            chosen = {task: machines[task] for task in task_numbers(mask)}
            return RouteRecord(format_task_ranges(mask), None, self.attempt, chosen, self.start_at_us)
        by_zone = {
            zone: format_task_ranges(mask) for zone, mask in masks.items() if zone is not None and mask
        }
        return RouteRecord(format_task_ranges(mask), by_zone or None)

    def _conditions_of(self, shard_id: int) -> dict[str, int]:
        """Return the versions that are required for changing a shard's route.

        They include the shard's placement records if tasks move, since a moved task must not have been placed
        in the meantime.
        """
        spec = self.job.spec
        conditions = {route_key(shard_id, spec.job_id): self.route_versions.get(shard_id, 0)}
        if self.moved:
            for chunk in range((spec.tasks - 1) // TASKS_PER_RECORD + 1):
                key = placement_key(shard_id, spec.job_id, chunk)
                conditions[key] = self.placement_versions.get((shard_id, chunk), 0)
        return conditions
