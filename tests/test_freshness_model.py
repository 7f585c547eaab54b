"""Exhaustive model of the reports of one machine: one agent, two successive shard owners, copies of every
report at any time, a new agent session, a start command in flight, a takeover and a deletion.

It mirrors ``shard/heartbeats.py`` and the deletion in ``shard/machine_lifecycle.py`` rule by rule; without
any one of the guards it must find a violation. The task has one attempt. A free placement may be given to
another machine at once, so a placement that is free while the task runs or can still start means that the
task runs twice.
"""

from typing import NamedTuple

import pytest

from tests.world import explore_states

MAX_SEQUENCE = 7


class Heartbeat(NamedTuple):
    """A heartbeat: session, sequence number, highest fencing token seen, and whether the task runs."""

    session: int
    sequence: int
    token: int
    running: bool


class State(NamedTuple):
    """State of the model.

    ``placed_session``: the session in the placement record, 0: none; ``observed``: whether a heartbeat showed
    the task to the owner; ``start_command``: session and token of a start command in flight.
    """

    session: int = 1
    sequence: int = 0
    token: int = 0
    running: bool = False
    alive: bool = True
    owner: int = 1
    last_heartbeat: tuple[int, int] = (0, -1)
    confirmed: bool = False
    gone: bool = False
    recorded: bool = False
    placed_session: int = 0
    observed: bool = False
    start_command: tuple[int, int] | None = None
    heartbeat_copies: frozenset[Heartbeat] = frozenset()


GUARDS = ("newer", "confirmed", "gone", "heard", "earlier session")


def apply_heartbeat(state: State, heartbeat: Heartbeat, guards: frozenset[str]) -> State:
    """Apply a heartbeat at the owner."""
    if state.gone and "gone" in guards:
        return state
    if (heartbeat.session, heartbeat.sequence) <= state.last_heartbeat and "newer" in guards:
        return state
    if (
        heartbeat.session > state.last_heartbeat[0]
        and state.placed_session
        and (state.placed_session < heartbeat.session or "earlier session" not in guards)
    ):
        state = state._replace(placed_session=0, observed=False)
    state = state._replace(
        last_heartbeat=(heartbeat.session, heartbeat.sequence),
        confirmed=state.confirmed or heartbeat.token == state.owner,
    )
    if state.confirmed or "confirmed" not in guards:
        state = state._replace(recorded=True)
    if heartbeat.running and state.placed_session == heartbeat.session:
        state = state._replace(observed=True)
    elif (
        not heartbeat.running
        and state.placed_session
        and state.confirmed
        and (state.observed or "heard" not in guards)
    ):
        state = state._replace(placed_session=0, observed=False)
    return state


def next_states(state: State, guards: frozenset[str]) -> list[State]:
    """Return all possible next states."""
    following = []
    if state.alive and state.sequence < MAX_SEQUENCE:
        heartbeat = Heartbeat(state.session, state.sequence + 1, state.token, state.running)
        sent = state._replace(
            sequence=state.sequence + 1, heartbeat_copies=state.heartbeat_copies | {heartbeat}
        )
        following.append(sent)  # it goes to another node, or is delayed
        applied = apply_heartbeat(sent, heartbeat, guards)
        following.append(applied)  # the answer is lost
        if not applied.gone and applied.owner >= applied.token:
            starts = applied.placed_session == applied.session and not applied.observed
            following.append(applied._replace(token=applied.owner, running=applied.running or starts))
    following += [apply_heartbeat(state, heartbeat, guards) for heartbeat in state.heartbeat_copies]
    if (
        state.confirmed
        and state.recorded
        and not state.placed_session
        and not state.running
        and state.last_heartbeat[0]
    ):
        following.append(state._replace(placed_session=state.last_heartbeat[0], observed=False))
    if state.placed_session and not state.observed and state.start_command is None and state.confirmed:
        following.append(state._replace(start_command=(state.placed_session, state.owner)))
    if state.start_command is not None:
        executed = state._replace(start_command=None)
        if state.alive and state.start_command[0] == state.session and state.start_command[1] >= state.token:
            executed = executed._replace(token=state.start_command[1], running=True)
        following.append(executed)
    if state.alive and state.session == 1:
        following.append(state._replace(session=2, running=False))  # its lease has expired
    if state.owner == 1:
        # The next owner has only the records.
        following.append(
            state._replace(owner=2, last_heartbeat=(0, -1), confirmed=False, gone=False, observed=False)
        )
    if state.alive and state.recorded:
        # The cloud has confirmed the deletion of the machine with all its tasks.
        following.append(
            state._replace(
                alive=False,
                running=False,
                gone=True,
                recorded=False,
                placed_session=0,
                observed=False,
                start_command=None,
                last_heartbeat=(0, -1),
                confirmed=False,
            )
        )
    return following


def find_violation(state: State) -> str:
    """Return the violation in this state; empty if there is none."""
    if state.running and not state.placed_session:
        return "free while it runs"
    if state.recorded and not state.alive:
        return "a machine that is gone is taken in"
    if state.placed_session and not state.alive:
        return "work for a machine that is gone"
    return ""


def explore(guards: frozenset[str]) -> tuple[int, str]:
    """Return the number of states and the first violation."""
    return explore_states(State(), lambda state: next_states(state, guards), find_violation)


def test_late_heartbeats_and_commands_cause_no_violation():
    states, violation = explore(frozenset(GUARDS))
    assert violation == "" and states > 10_000


@pytest.mark.parametrize("guard", GUARDS)
def test_violation_is_found_without_any_one_guard(guard):
    assert explore(frozenset(GUARDS) - {guard})[1] != ""
