"""An attempt to run a task on a machine, and its state machine."""

from __future__ import annotations

from enum import StrEnum

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.state_machine import TransitionTable
from pearstep.domain.units import SECOND_US

# The phase that an agent reports while the process of the task runs.
RUNNING_PHASE = "running"
# The shortest remaining time that is assumed for an attempt past its expected end.
MIN_REMAINING_US = SECOND_US


class AttemptState(StrEnum):
    """States of an attempt of a task."""

    PLACING = "placing"  # the record is not committed yet
    PLACED = "placed"  # recorded; the start command may be sent, and may arrive at any time
    OBSERVED = "heard"  # reported by a heartbeat as fetching, waiting, running or saving
    ENDED = "ended"  # known not to run any more


# Used in hot comparisons per task or machine; looking up an enum member is slow on CPython 3.11.
_PLACING = AttemptState.PLACING
_OBSERVED = AttemptState.OBSERVED
_PLACED = AttemptState.PLACED


ATTEMPT_TRANSITIONS = TransitionTable(
    "attempt",
    {
        AttemptState.PLACING: (AttemptState.PLACED, AttemptState.ENDED),
        AttemptState.PLACED: (AttemptState.OBSERVED, AttemptState.ENDED),
        AttemptState.OBSERVED: (AttemptState.ENDED,),
        AttemptState.ENDED: (),
    },
)


class TaskAttempt:
    """State of an attempt that the shard owner keeps in addition to the stored record.

    Attributes:
        spec: the job.
        task: the task's number within the job.
        machine: the name of the machine.
        incarnation: the incarnation of the machine's agent at the placement.
        number: the number of the attempt, which rises with each attempt in the same placement record.
        placed_wall_us: wall time of the placement, as recorded.
        state: see ``AttemptState``.
        phase: the phase that the agent last reported; empty before the first report.
        placed_at_us: time of the placement, by this node's clock.
        running_since_us: when it was first reported as running; 0: never.
        stop_grace_us: the time that a decided stop gives it to save its work; None: no stop is decided.
        stop_sent_at_us: when the stop was decided.
    """

    __slots__ = (
        "incarnation",
        "machine",
        "number",
        "phase",
        "placed_at_us",
        "placed_wall_us",
        "running_since_us",
        "spec",
        "state",
        "stop_grace_us",
        "stop_sent_at_us",
        "task",
    )

    # Many arguments instead of a parameter object, because an attempt is built for each placement.
    def __init__(  # noqa: PLR0913
        self,
        spec: JobSpec,
        task: int,
        machine: str,
        incarnation: int,
        number: int,
        placed_wall_us: int,
        placed_at_us: int,
    ) -> None:
        """Create an attempt whose record is not committed yet."""
        self.spec = spec
        self.task = task
        self.machine = machine
        self.incarnation = incarnation
        self.number = number
        self.placed_wall_us = placed_wall_us
        self.state = _PLACING
        self.phase = ""
        self.placed_at_us = placed_at_us
        self.running_since_us = 0
        self.stop_grace_us: int | None = None
        self.stop_sent_at_us = 0

    @property
    def name(self) -> str:
        """The name of the task in messages to and from agents."""
        return f"{self.spec.job_id}/{self.task}"

    @property
    def label(self) -> str:
        """The attempt, its machine and the agent's session, as in ``req-1/0@2:i-000017#3``, for logs."""
        return f"{self.name}@{self.number}:{self.machine}#{self.incarnation}"

    def observe(self, phase: str, now_us: int) -> None:
        """Apply a heartbeat that reports the attempt.

        Raises:
            InvalidTransitionError: the attempt has ended.
        """
        if self.state == _PLACING:
            ATTEMPT_TRANSITIONS.transition(self, _PLACED)
        ATTEMPT_TRANSITIONS.transition(self, _OBSERVED)
        self.phase = phase
        if phase == RUNNING_PHASE and not self.running_since_us:
            self.running_since_us = now_us

    def unsaved_us(self, now_us: int) -> int:
        """Estimate how much work a stop without a checkpoint would lose."""
        if not self.running_since_us:
            return 0
        ran_us = now_us - self.running_since_us
        return ran_us % self.spec.checkpoint_us if self.spec.checkpoint_us else ran_us

    def expected_end_us(self, now_us: int, run_us: int, overrun_share: float) -> int:
        """Estimate when the attempt ends.

        A task that runs longer than expected is not ended. Its expected end is moved ahead by a share of the
        time that it has run, so that the remaining time grows with the run time.

        Args:
            now_us: the time by this node's clock.
            run_us: how long it is expected to run.
            overrun_share: the share of the run time by which an overrun moves the expected end ahead.
        """
        if self.stop_grace_us is not None:
            return max(self.stop_sent_at_us + self.stop_grace_us, now_us) + MIN_REMAINING_US
        started_us = self.running_since_us or max(self.placed_at_us, now_us)
        end_us = started_us + run_us
        if end_us <= now_us:
            end_us = now_us + max(int((now_us - started_us) * overrun_share), MIN_REMAINING_US)
        return end_us
