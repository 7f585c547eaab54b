"""Exhaustive model of copies of a start command: one agent, one attempt, two owners one after the other.

A start that was sent may arrive at any later time and any number of times. A forget travels in the answer to
a heartbeat, and arrives once or never. Another attempt may be forgotten at any time, which raises the token.
The former owner goes on sending after the later one has claimed the shard. It knows only of ends that it
recorded itself, because it reads the later claim before what the later owner wrote. The model uses
``CommandTokens`` of the service; without any one of the guards it must find a violation.
"""

from typing import Any, NamedTuple

import pytest

from pearstep.shard.command_tokens import CommandTokens
from pearstep.shard.machine import Machine
from tests.world import SMALL, explore_states

ATTEMPT = ("req-1/0", 1)
FIRST_CLAIM, LAST_REVISION = 2, 8
UNKNOWN, RUNNING, EXITED = "unknown", "running", "exited"
# "raised": a forget carries a token above that of the start. "confirmed": tokens are raised only to revisions
# at which the shard was held. "latest start": the token of the latest start counts, not that of the first.
GUARDS = ("raised", "confirmed", "latest start")


class Owner(NamedTuple):
    """An owner: its claim, its latest commit, the machine's token, the start's, and what it has recorded."""

    claim: int
    confirmed: int
    raised: int = 0
    start: int = 0
    end_recorded: bool = False


class State(NamedTuple):
    """State of the model; ``starts`` and ``forgets`` are the tokens of messages that may arrive."""

    revision: int = FIRST_CLAIM
    owners: tuple[Owner, ...] = (Owner(FIRST_CLAIM, FIRST_CLAIM),)
    placed: bool = True
    agent_token: int = 0
    task: str = UNKNOWN
    starts: frozenset[int] = frozenset()
    forgets: frozenset[int] = frozenset()

    def with_owner(self, index: int, **changes: Any) -> "State":
        """Return the state with an owner changed."""
        owners = list(self.owners)
        owners[index] = owners[index]._replace(**changes)
        return self._replace(owners=tuple(owners))


def tokens_of(owner: Owner) -> tuple[CommandTokens, Machine]:
    """Return the service's tokens of an owner, and its machine."""
    tokens, machine = CommandTokens(owner.claim), Machine("m0", SMALL, "a", False, "", 0)
    tokens.confirm(owner.confirmed)
    machine.raised_token = owner.raised
    if owner.start:
        machine.start_tokens[ATTEMPT] = owner.start
    return tokens, machine


def commit(state: State, index: int, answered: bool, **changes: Any) -> State:
    """Apply a transaction of the latest owner."""
    revision = state.revision + 1
    confirmed = revision if answered else state.owners[index].confirmed
    return state._replace(revision=revision).with_owner(index, confirmed=confirmed, **changes)


def steps_of_owner(state: State, index: int, guards: frozenset[str]) -> list[State]:
    """Return what an owner may do next; only the latest one's transactions are applied."""
    owner, following = state.owners[index], []
    tokens, machine = tokens_of(owner)
    if index == len(state.owners) - 1 and state.revision < LAST_REVISION:
        following.append(commit(state, index, answered=True))
        if state.task == EXITED and state.placed:
            for answered in (True, False):
                following.append(
                    commit(state._replace(placed=False), index, answered=answered, end_recorded=True)
                )
    if not owner.end_recorded and state.placed:
        token = tokens.record_starts(machine, [ATTEMPT])
        start = token if "latest start" in guards or not owner.start else owner.start
        following.append(state.with_owner(index, start=start)._replace(starts=state.starts | {token}))
    if "confirmed" not in guards:
        tokens.confirm(state.revision)
    if tokens.confirmed_revision > tokens.token_for(machine):
        following.append(state.with_owner(index, raised=tokens.confirmed_revision))
    if tokens.token_for(machine) > state.agent_token:
        following.append(state._replace(agent_token=tokens.token_for(machine)))
    if owner.end_recorded and state.task == EXITED:
        if tokens.outdate_start(machine, ATTEMPT) or "raised" not in guards:
            token = tokens.token_for(machine) if "raised" in guards else owner.claim
            following.append(
                state.with_owner(index, raised=machine.raised_token)._replace(forgets=state.forgets | {token})
            )
    return following


def next_states(state: State, guards: frozenset[str]) -> list[State]:
    """Return all possible next states."""
    following = [step for index in range(len(state.owners)) for step in steps_of_owner(state, index, guards)]
    if len(state.owners) == 1 and state.revision < LAST_REVISION:
        claim = state.revision + 1
        later = Owner(claim, claim, end_recorded=not state.placed)
        following.append(state._replace(revision=claim, owners=(*state.owners, later)))
    for token in state.starts:
        if token >= state.agent_token:
            task = RUNNING if state.task == UNKNOWN else state.task
            following.append(state._replace(agent_token=token, task=task))
    for token in state.forgets:
        arrived = state._replace(forgets=state.forgets - {token})
        if token >= state.agent_token:
            task = UNKNOWN if state.task == EXITED else state.task
            following.append(arrived._replace(agent_token=token, task=task))
    if state.task == RUNNING:
        following.append(state._replace(task=EXITED))
    return following


def find_violation(state: State) -> str:
    """Return the violation in this state; empty if there is none."""
    if state.task == RUNNING and not state.placed:
        return "an attempt runs although its place is freed"
    if len(state.owners) == 2 and state.owners[0].raised >= state.owners[1].claim:
        return "the former owner's token is not below the later owner's"
    return ""


def explore(guards: frozenset[str]) -> tuple[int, str]:
    """Return the number of states and the first violation."""
    return explore_states(State(), lambda state: next_states(state, guards), find_violation)


def test_no_order_of_events_runs_an_attempt_again_after_it_is_forgotten():
    states, violation = explore(frozenset(GUARDS))
    assert violation == "" and states > 10_000


@pytest.mark.parametrize("guard", GUARDS)
def test_violation_is_found_without_any_one_guard(guard):
    assert explore(frozenset(GUARDS) - {guard})[1] != ""
