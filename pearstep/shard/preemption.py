"""Preemption: chooses lower-priority tasks to stop so that blocked work fits."""

from __future__ import annotations

from collections.abc import Mapping
from operator import attrgetter
from typing import NamedTuple

from pearstep.domain.attempt import AttemptState, TaskAttempt
from pearstep.domain.resources import FreeResources
from pearstep.domain.units import SECOND_US
from pearstep.scheduling.capacity import CapacityIndex
from pearstep.scheduling.placement import Candidate, max_tasks_per_zone
from pearstep.scheduling.queued_work import QueuedWork
from pearstep.shard.machine import Machine


class PreemptionOption(NamedTuple):
    """Tasks to stop on one machine so that one more task fits there.

    Attributes:
        price: Number of tasks stopped plus seconds of image fetch.
        cost: Placement cost of the machine for the task, which decides between options of the same price.
        machine_name: Decides between options of the same price and cost.
        candidate: The machine.
        victims: The tasks to stop.
    """

    price: float
    cost: tuple[float, ...]
    machine_name: str
    candidate: Candidate
    victims: list[TaskAttempt]


# Sort key of options, the best first; candidates and victims are not compared.
_option_order = attrgetter("price", "cost", "machine_name")

# One option for each task; several options may be on the same machine.
PreemptionPlan = list[PreemptionOption]


class Preemption:
    """Chooses victims for all blocked work of one placement pass.

    The preempting tasks are allocated on the candidates as if they had started. Work that fits into
    resources that become free anyway stops nothing.
    """

    def __init__(self, candidates: list[Candidate], machines: Mapping[str, Machine], now_us: int) -> None:
        """Choose among the tasks on the machines at one time.

        Args:
            candidates: The machines as the scheduling pass left them; their resources are changed.
            machines: The same machines by name, with what runs on them.
            now_us: The time.
        """
        self.candidates = candidates
        self.machines = machines
        self.now_us = now_us
        self._preemptible_by_priority: dict[int, dict[str, list[TaskAttempt]]] = {}
        self._capacity_by_priority: dict[int, CapacityIndex[Candidate, str]] = {}

    def choose_victims(self, work: QueuedWork) -> list[TaskAttempt]:
        """Return the tasks to stop for work that could not start; empty if stopping tasks does not help."""
        spec = work.spec
        count = work.tasks_together
        preemptible = self._preemptible(spec.priority)
        capacity = self._capacity(spec.priority).by_group(spec)
        if (max(capacity.values(), default=0) if spec.one_zone else sum(capacity.values())) < count:
            return []
        eligible = [
            c for c in self.candidates if c.allows(spec, work.zone) and c.name not in work.avoided_machines
        ]
        victims: list[TaskAttempt] = []
        for _ in range(1 if spec.kind == "gang" else len(work.tasks)):
            plan = self._best_plan(work, count, eligible)
            if plan is None:
                break
            victims += self._apply(work, plan)
            if not preemptible:
                break
        return victims

    def _preemptible(self, priority: int) -> dict[str, list[TaskAttempt]]:
        """Return the tasks that may be stopped for work of a priority, by machine.

        The tasks of the lowest priority come first, and among them those that lose the least work.
        """
        by_machine = self._preemptible_by_priority.get(priority)
        if by_machine is None:
            by_machine = self._preemptible_by_priority[priority] = {}
            for candidate in self.candidates:
                attempts = self._preemptible_on(self.machines[candidate.name], priority)
                if attempts:
                    by_machine[candidate.name] = attempts
        return by_machine

    def _preemptible_on(self, machine: Machine, priority: int) -> list[TaskAttempt]:
        attempts = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.spec.priority > priority
            and attempt.stop_grace_us is None
            and attempt.state in (AttemptState.PLACED, AttemptState.OBSERVED)
            and attempt.spec.kind != "gang"
        ]
        attempts.sort(
            key=lambda attempt: (
                -attempt.spec.priority,
                min(attempt.unsaved_us(self.now_us), attempt.spec.save_us),
                -attempt.placed_at_us,
            )
        )
        return attempts

    def _capacity(self, priority: int) -> CapacityIndex[Candidate, str]:
        """Return the index of the capacity that would be free if all preemptible tasks were stopped."""
        capacity = self._capacity_by_priority.get(priority)
        if capacity is None:
            preemptible = self._preemptible(priority)

            def free_if_preempted(candidate: Candidate) -> FreeResources:
                attempts = preemptible.get(candidate.name)
                if not attempts:
                    return candidate.free
                free = candidate.free.copy()
                for attempt in attempts:
                    free.allocate(attempt.spec, -1)
                return free

            capacity = self._capacity_by_priority[priority] = CapacityIndex(
                self.candidates, lambda c: c.zone, free_if_preempted
            )
        return capacity

    def _best_plan(self, work: QueuedWork, count: int, eligible: list[Candidate]) -> PreemptionPlan | None:
        """Return the plan with the lowest price, over all zones if the tasks need a single zone."""
        spec = work.spec
        if not spec.one_zone:
            return self._plan(work, count, eligible)
        capacity = self._capacity(spec.priority).by_group(spec)
        best: PreemptionPlan | None = None
        for zone in sorted({c.zone for c in eligible}):
            if capacity.get(zone, 0) < count:
                continue
            plan = self._plan(work, count, [c for c in eligible if c.zone == zone])
            if plan is not None and (best is None or _price(plan, work) < _price(best, work)):
                best = plan
        return best

    def _apply(self, work: QueuedWork, plan: PreemptionPlan) -> list[TaskAttempt]:
        """Apply the plan to the candidates' free resources; return the tasks to stop."""
        victims: list[TaskAttempt] = []
        for option in plan:
            candidate = option.candidate
            for attempt in option.victims:
                candidate.free.allocate(attempt.spec, -1)
                victims.append(attempt)
                self._remove_preemptible(candidate.name, attempt)
            candidate.free.allocate(work.spec)
            for capacity in self._capacity_by_priority.values():
                capacity.update(candidate)
        return victims

    def _remove_preemptible(self, machine_name: str, attempt: TaskAttempt) -> None:
        """Remove a task that is stopped from the preemptible tasks."""
        for preemptible in self._preemptible_by_priority.values():
            if attempt in preemptible.get(machine_name, ()):
                preemptible[machine_name].remove(attempt)

    def _plan(self, work: QueuedWork, count: int, candidates: list[Candidate]) -> PreemptionPlan | None:
        """Plan machines for ``count`` tasks with the tasks to stop on each, preferring low prices.

        After each choice only the chosen machine's option is computed again.

        Returns:
            The plan; None if the tasks don't all fit.
        """
        spec = work.spec
        preemptible = self._preemptible(spec.priority)
        plan: PreemptionPlan = []
        # Identities of the attempts that the plan already stops.
        planned: set[int] = set()
        tasks_by_zone: dict[str, int] = {}
        zone_limit = max_tasks_per_zone(spec)
        free_by_machine: dict[str, FreeResources] = {}
        options: dict[str, PreemptionOption] = {}
        for candidate in candidates:
            option = _best_option(
                work, candidate, candidate.free, preemptible.get(candidate.name, []), planned
            )
            if option is not None:
                options[candidate.name] = option
        while len(plan) < count:
            available = [o for o in options.values() if tasks_by_zone.get(o.candidate.zone, 0) < zone_limit]
            if not available:
                return None
            best = min(available, key=_option_order)
            plan.append(best)
            candidate, name = best.candidate, best.machine_name
            tasks_by_zone[candidate.zone] = tasks_by_zone.get(candidate.zone, 0) + 1
            free = free_by_machine.setdefault(name, candidate.free.copy())
            for attempt in best.victims:
                free.allocate(attempt.spec, -1)
                planned.add(id(attempt))
            free.allocate(spec)
            next_option = _best_option(work, candidate, free, preemptible.get(name, []), planned)
            if next_option is None:
                del options[name]
            else:
                options[name] = next_option
        return plan


def _best_option(
    work: QueuedWork,
    candidate: Candidate,
    free: FreeResources,
    preemptible: list[TaskAttempt],
    planned: set[int],
) -> PreemptionOption | None:
    """Return the tasks to stop on this machine so that one more task fits; None if it never fits.

    Args:
        work: The work that preempts.
        candidate: The machine.
        free: Its free resources in the plan so far; not changed.
        preemptible: The tasks there that may be stopped, in the order in which they are stopped.
        planned: Identities of the attempts that the plan already stops.
    """
    victims = _victims_on(work, free, preemptible, planned)
    if victims is None:
        return None
    price = len(victims) + candidate.fetch_us(work.spec) / SECOND_US
    return PreemptionOption(price, candidate.cost(work.spec, work.queue), candidate.name, candidate, victims)


def _victims_on(
    work: QueuedWork, free: FreeResources, preemptible: list[TaskAttempt], planned: set[int]
) -> list[TaskAttempt] | None:
    """Return the first preemptible tasks that make room for one more task; None if it never fits."""
    victims: list[TaskAttempt] = []
    if free.fits(work.spec):
        return victims
    free = free.copy()
    for attempt in preemptible:
        if id(attempt) in planned:
            continue
        free.allocate(attempt.spec, -1)
        victims.append(attempt)
        if free.fits(work.spec):
            return victims
    return None


def _price(plan: PreemptionPlan, work: QueuedWork) -> float:
    """Return the number of tasks stopped plus the seconds of the longest image fetch."""
    stops = sum(len(option.victims) for option in plan)
    return stops + max(option.candidate.fetch_us(work.spec) for option in plan) / SECOND_US
