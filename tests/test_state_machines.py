"""Tests of the state machines of jobs, attempts and gangs, over all pairs of states."""

from enum import StrEnum
from itertools import product
from typing import Any

import pytest

from pearstep.domain.attempt import ATTEMPT_TRANSITIONS, AttemptState, TaskAttempt
from pearstep.domain.errors import DomainError
from pearstep.domain.gang import GANG_TRANSITIONS, Gang, GangState
from pearstep.domain.job_state import JobState
from pearstep.domain.state_machine import InvalidTransitionError, TransitionTable
from pearstep.state.job import JOB_TRANSITIONS
from tests.world import spec

# All allowed changes of state; keeping the state is always allowed, every other change is an error.
ALLOWED = {
    JOB_TRANSITIONS: {("queued", "done"), ("queued", "cancelled")},
    ATTEMPT_TRANSITIONS: {
        ("placing", "placed"),
        ("placing", "ended"),
        ("placed", "heard"),
        ("placed", "ended"),
        ("heard", "ended"),
    },
    GANG_TRANSITIONS: {
        ("waiting", "forming"),
        ("waiting", "complete"),
        ("forming", "running"),
        ("forming", "breaking"),
        ("forming", "complete"),
        ("forming", "waiting"),
        ("running", "breaking"),
        ("running", "complete"),
        ("running", "waiting"),
        ("breaking", "waiting"),
        ("breaking", "complete"),
    },
}
STATES: dict[TransitionTable[Any], type[StrEnum]] = {
    JOB_TRANSITIONS: JobState,
    ATTEMPT_TRANSITIONS: AttemptState,
    GANG_TRANSITIONS: GangState,
}
PAIRS = [
    pytest.param(table, before, after, id=f"{table.name}-{before}-{after}")
    for table, states in STATES.items()
    for before, after in product(states, states)
]


class Subject:
    """An object with a state."""

    def __init__(self, state):
        """Set the initial state."""
        self.state = state


@pytest.mark.parametrize("table", STATES, ids=lambda table: table.name)
def test_table_lists_every_state_and_a_final_state_is_reachable_from_each(table):
    assert set(table.transitions) == set(STATES[table])
    final = {state for state, next_states in table.transitions.items() if not next_states}
    assert final
    for state in table.transitions:
        reached, unvisited = {state}, [state]
        while unvisited:
            newly_reached = set(table.transitions[unvisited.pop()]) - reached
            reached |= newly_reached
            unvisited += newly_reached
        assert reached & final


@pytest.mark.parametrize("table, before, after", PAIRS)
def test_only_listed_transitions_are_allowed(table, before, after):
    subject = Subject(before)
    if before == after or (before, after) in ALLOWED[table]:
        table.check(before, after)
        table.transition(subject, after)
        assert subject.state == after
        return
    for change in (lambda: table.check(before, after), lambda: table.transition(subject, after)):
        with pytest.raises(InvalidTransitionError, match=f"^{table.name}: {before} -> {after}$"):
            change()
    assert subject.state == before


def test_invalid_transition_is_a_domain_error():
    assert issubclass(InvalidTransitionError, DomainError)


def attempt(phase, stopping=False):
    """Return an attempt of a gang's task that reports this phase."""
    task_attempt = TaskAttempt(spec(), 0, "m0", 1, 1, 0, 0)
    task_attempt.phase = phase
    task_attempt.stop_grace_us = 1 if stopping else None
    return task_attempt


GANG_CASES = {
    "no attempt": (2, False, []),
    "some tasks placed": (2, False, [attempt("running")]),
    "all placed": (2, False, [attempt("running"), attempt("")]),
    "all running": (2, False, [attempt("running"), attempt("running")]),
    "one is being stopped": (2, False, [attempt("running"), attempt("running", stopping=True)]),
    "done": (2, True, [attempt("running")]),
}
# The next state for each current state in the order of ``GangState``; None: not allowed.
NEXT_STATES = {
    "no attempt": ["waiting", "waiting", "waiting", "waiting", None],
    "some tasks placed": ["breaking", "breaking", "breaking", "breaking", None],
    "all placed": ["forming", "forming", "running", "breaking", None],
    "all running": ["running", "running", "running", "breaking", None],
    "one is being stopped": ["breaking", "breaking", "breaking", "breaking", None],
    "done": ["complete"] * 5,
}


@pytest.mark.parametrize("case", GANG_CASES)
@pytest.mark.parametrize("position, state", list(enumerate(GangState)))
def test_gang_state_follows_from_its_attempts_in_each_state(case, position, state):
    gang = Gang()
    gang.state = state
    expected = NEXT_STATES[case][position]
    if expected is None:
        with pytest.raises(InvalidTransitionError):
            gang.update(*GANG_CASES[case])
        assert gang.state == GangState.COMPLETE
        return
    assert gang.update(*GANG_CASES[case]) == gang.state == expected
