"""Exhaustive model of missed cancellations: a shard owner extends an agent's lease, two other controllers
confirm a cancellation, and the state service answers any node at any time and commits transactions late.

Faults are not modelled one by one. A refusal, an outage, a peer network that is down, one-way or slow, and a
paused process are all the same: a possible step that is not taken yet. Controllers may crash and restart at
once with an empty replica. The model uses ``StalenessBound`` of the service; without any one of the guards it
must find a violation.
"""

from typing import NamedTuple

import pytest

from pearstep.failure_detection.staleness import NEVER_US, StalenessBound
from tests.world import explore_states

CANCEL_DEADLINE, LEASE_DURATION = 4, 2
STALENESS_LIMIT = CANCEL_DEADLINE - LEASE_DURATION
END_TIME = 6
STATE_SERVICE = 2
GUARDS = ("too old", "sent", "read sent", "every peer", "empty", "merged")


class Peer(NamedTuple):
    """A controller: its start time, whether it has read the records, and whether it has the cancellation."""

    started_at: int = 0
    loaded: bool = True
    has_cancellation: bool = False


class PendingAnswer(NamedTuple):
    """An answer in flight to the owner, from a peer or from the state service (2).

    ``uptime`` is set if the peer had not read the records yet. There is one answer at a time; it may stay in
    flight without limit or be lost. Delayed requests are left out: they find more and still count from
    their sending.
    """

    source: int
    sent_at: int
    lists_cancellation: bool
    uptime: int | None = None


class State(NamedTuple):
    """State of the model.

    ``transaction_sent``: whether the cancellation's transaction was sent; ``lease_end``: the end of the
    agent's lease; ``confirmed_at``: when the first user got the confirmation.
    """

    now: int = 0
    transaction_sent: bool = False
    committed: bool = False
    confirmed_at: int | None = None
    lease_end: int = LEASE_DURATION
    running: bool = True
    has_cancellation: bool = False
    last_read_at: int = 0
    peer_answers_at: tuple[int, int] = (NEVER_US, NEVER_US)
    pending_answer: PendingAnswer | None = None
    peers: tuple[Peer, Peer] = (Peer(), Peer())


def replace_item(pair: tuple, index: int, value: object) -> tuple:
    """Return the pair with the item at ``index`` replaced."""
    return (value, pair[1]) if index == 0 else (pair[0], value)


def staleness_bound(state: State, guards: frozenset[str]) -> StalenessBound:
    """Return the owner's staleness bound in this state, without the guards that are left out."""
    bound = StalenessBound(STALENESS_LIMIT, ["0", "1"], 0)
    bound.last_read_us = state.last_read_at
    bound.last_peer_answer_us = {"0": state.peer_answers_at[0], "1": state.peer_answers_at[1]}
    if "every peer" not in guards:
        bound.all_complete_through_us = lambda: max(bound.last_read_us, *bound.last_peer_answer_us.values())  # type: ignore[method-assign]
    if "too old" not in guards:
        bound.exceeded = lambda now_us: False  # type: ignore[method-assign]
    return bound


def apply_answer(state: State, pending_answer: PendingAnswer, guards: frozenset[str]) -> State:
    """Apply an answer at the owner."""
    state = state._replace(pending_answer=None)
    if pending_answer.source == STATE_SERVICE:
        sent_at = pending_answer.sent_at if "read sent" in guards else state.now
        return state._replace(
            has_cancellation=state.has_cancellation or pending_answer.lists_cancellation,
            last_read_at=max(state.last_read_at, sent_at),
        )
    bound = staleness_bound(state, guards)
    uptime = pending_answer.uptime if "empty" in guards else None
    bound.record_peer_answer(
        str(pending_answer.source),
        pending_answer.sent_at if "sent" in guards else state.now,
        state.now,
        uptime,
    )
    return state._replace(
        has_cancellation=state.has_cancellation
        or (bool(pending_answer.lists_cancellation) and "merged" in guards),
        peer_answers_at=(bound.last_peer_answer_us["0"], bound.last_peer_answer_us["1"]),
    )


def next_states(state: State, guards: frozenset[str]) -> list[State]:
    """Return all possible next states."""
    following = []
    if state.now < END_TIME:
        now = state.now + 1
        following.append(state._replace(now=now, running=state.running and now < state.lease_end))
    if not state.transaction_sent:
        following.append(state._replace(transaction_sent=True))
    elif not state.committed:
        following.append(state._replace(committed=True))
    for index, peer in enumerate(state.peers):
        if not peer.loaded or peer.has_cancellation != state.committed:
            # The peer reads the records, or gets the answer to its transaction.
            following.append(
                state._replace(
                    peers=replace_item(
                        state.peers, index, peer._replace(loaded=True, has_cancellation=state.committed)
                    )
                )
            )
        if peer.has_cancellation and state.confirmed_at is None:
            following.append(state._replace(confirmed_at=state.now))
        if peer.loaded and state.confirmed_at is not None:
            # The peer crashes and restarts at once. Before the first confirmation that hides nothing.
            following.append(
                state._replace(peers=replace_item(state.peers, index, Peer(state.now, False, False)))
            )
        if state.pending_answer is None:
            uptime = None if peer.loaded else state.now - peer.started_at
            following.append(
                state._replace(pending_answer=PendingAnswer(index, state.now, peer.has_cancellation, uptime))
            )
    if state.pending_answer is None:
        following.append(
            state._replace(pending_answer=PendingAnswer(STATE_SERVICE, state.now, state.committed))
        )
    else:
        following += [state._replace(pending_answer=None), apply_answer(state, state.pending_answer, guards)]
    if (
        state.running
        and not state.has_cancellation
        and not staleness_bound(state, guards).exceeded(state.now)
    ):
        following.append(state._replace(lease_end=state.now + LEASE_DURATION))
    return following


def find_violation(state: State) -> str:
    """Return the violation in this state; empty if there is none."""
    late = (
        state.running and state.confirmed_at is not None and state.now >= state.confirmed_at + CANCEL_DEADLINE
    )
    return "a task of a job that was called cancelled is still there" if late else ""


def can_still_violate(state: State) -> bool:
    """Tell whether a violation can still follow.

    It cannot if the task has ended or is stopped with the next answer, or if the confirmation would come too
    late for the end of the model.
    """
    return (
        state.running
        and not state.has_cancellation
        and (state.now if state.confirmed_at is None else state.confirmed_at) + CANCEL_DEADLINE <= END_TIME
    )


def explore(guards: frozenset[str]) -> tuple[int, str]:
    """Return the number of states and the first violation."""
    return explore_states(
        State(), lambda state: next_states(state, guards), find_violation, can_still_violate
    )


def test_no_order_of_events_keeps_a_cancelled_task_past_the_deadline():
    states, violation = explore(frozenset(GUARDS))
    assert violation == "" and states > 100_000


@pytest.mark.parametrize("guard", GUARDS)
def test_violation_is_found_without_any_one_guard(guard):
    assert explore(frozenset(GUARDS) - {guard})[1] != ""
