"""State of a gang within one shard, derived from its attempts."""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from pearstep.domain.attempt import RUNNING_PHASE, TaskAttempt
from pearstep.domain.state_machine import TransitionTable


class GangState(StrEnum):
    """States of a gang."""

    WAITING = "waiting"  # no task has a placement
    FORMING = "forming"  # all tasks are placed, not all run yet
    RUNNING = "running"
    BREAKING = "breaking"  # some tasks have ended or are being stopped; all must end before a restart
    COMPLETE = "complete"


GANG_TRANSITIONS = TransitionTable(
    "gang",
    {
        GangState.WAITING: (GangState.FORMING, GangState.COMPLETE),
        GangState.FORMING: (GangState.RUNNING, GangState.BREAKING, GangState.COMPLETE, GangState.WAITING),
        GangState.RUNNING: (GangState.BREAKING, GangState.COMPLETE, GangState.WAITING),
        GangState.BREAKING: (GangState.WAITING, GangState.COMPLETE),
        GangState.COMPLETE: (),
    },
)


class Gang:
    """State of a gang; only ``update`` changes it."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        """Create a gang without placements."""
        self.state = GangState.WAITING

    def update(self, tasks: int, done: bool, attempts: Collection[TaskAttempt]) -> GangState:
        """Derive the state from the attempts; a gang that lacks a task breaks until all tasks have ended.

        Args:
            tasks: the number of tasks of the gang.
            done: whether all of them are recorded as done.
            attempts: the attempts that are not known to have ended.

        Returns:
            The new state.
        """
        next_state = self._next_state(tasks, done, attempts)
        if self.state == GangState.WAITING and next_state in (GangState.RUNNING, GangState.BREAKING):
            GANG_TRANSITIONS.transition(self, GangState.FORMING)
        GANG_TRANSITIONS.transition(self, next_state)
        return next_state

    def _next_state(self, tasks: int, done: bool, attempts: Collection[TaskAttempt]) -> GangState:
        if done:
            return GangState.COMPLETE
        if not attempts:
            return GangState.WAITING
        if len(attempts) < tasks or any(attempt.stop_grace_us is not None for attempt in attempts):
            return GangState.BREAKING
        if self.state == GangState.BREAKING:
            return GangState.BREAKING
        if all(attempt.phase == RUNNING_PHASE for attempt in attempts):
            return GangState.RUNNING
        # A task that leaves the running phase to save its work does not return a running gang to forming.
        return GangState.RUNNING if self.state == GangState.RUNNING else GangState.FORMING
