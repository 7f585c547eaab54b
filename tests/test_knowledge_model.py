"""An exhaustive model of the gap: a holder that prolongs a worker's lease, two controllers that confirm and
tell a cancellation, a state service that answers whom it likes, when it likes, and carries transactions out
late.

There is no fault in it by name. A refusal, an outage, a mesh that is down, one-way or slow, and a process
that stands still are all one: a step that could come next and does not come yet. Controllers end, and are
back at once and empty. It steps the service's own ``core/knowledge.py``; each guard, left out, must be
caught.
"""

from typing import NamedTuple

import pytest

from pearstep.failure_detection.staleness import NEVER_US, StalenessBound
from tests.world import walk

CANCEL, LEASE = 4, 2
LIMIT = CANCEL - LEASE
END = 6
STORE = 2
GUARDS = ("too old", "sent", "read sent", "every peer", "empty", "merged")


class Peer(NamedTuple):
    """A controller: since when it lives, whether it has read the records, and whether it knows."""

    since: int = 0
    loaded: bool = True
    knows: bool = False


class Asked(NamedTuple):
    """An answer on its way to the holder: whether the job is cancelled, and for how long the process has
    lived if it had not read anything. A question that is long on its way finds more and counts as old: it
    is left out. ``who``: the peer, or the state service (2). One at a time, which may be on its way for
    ever or lost.
    """

    who: int
    sent: int
    said: bool
    up: int | None = None


class State(NamedTuple):
    """``tried``: A's transaction was sent; ``lease``: when the worker's lease is over; ``told``: when the
    first user was told; ``asked``: an answer on its way to the holder.
    """

    now: int = 0
    tried: bool = False
    committed: bool = False
    told: int | None = None
    lease: int = LEASE
    runs: bool = True
    knows: bool = False
    read_at: int = 0
    vouched: tuple[int, int] = (NEVER_US, NEVER_US)
    asked: Asked | None = None
    peers: tuple[Peer, Peer] = (Peer(), Peer())


def put(pair: tuple, n: int, value: object) -> tuple:
    """The pair with its n-th part changed."""
    return (value, pair[1]) if n == 0 else (pair[0], value)


def knowledge(s: State, guards: frozenset[str]) -> StalenessBound:
    """The holder's, as it stands."""
    k = StalenessBound(LIMIT, ["0", "1"], 0)
    k.last_read_us = s.read_at
    k.last_peer_answer_us = {"0": s.vouched[0], "1": s.vouched[1]}
    if "every peer" not in guards:
        k.all_complete_through_us = lambda: max(k.last_read_us, *k.last_peer_answer_us.values())  # type: ignore[method-assign]
    if "too old" not in guards:
        k.exceeded = lambda now_us: False  # type: ignore[method-assign]
    return k


def hears(s: State, asked: Asked, guards: frozenset[str]) -> State:
    """The holder takes in an answer."""
    s = s._replace(asked=None)
    if asked.who == STORE:
        sent = asked.sent if "read sent" in guards else s.now
        return s._replace(knows=s.knows or asked.said, read_at=max(s.read_at, sent))
    k = knowledge(s, guards)
    up = asked.up if "empty" in guards else None
    k.record_peer_answer(str(asked.who), asked.sent if "sent" in guards else s.now, s.now, up)
    return s._replace(
        knows=s.knows or (bool(asked.said) and "merged" in guards),
        vouched=(k.last_peer_answer_us["0"], k.last_peer_answer_us["1"]),
    )


def steps(s: State, guards: frozenset[str]) -> list[State]:
    """All that may happen next."""
    out = []
    if s.now < END:
        now = s.now + 1
        out.append(s._replace(now=now, runs=s.runs and now < s.lease))
    if not s.tried:
        out.append(s._replace(tried=True))
    elif not s.committed:
        out.append(s._replace(committed=True))
    for n, peer in enumerate(s.peers):
        if not peer.loaded or peer.knows != s.committed:
            # It reads, or its transaction is answered.
            out.append(s._replace(peers=put(s.peers, n, peer._replace(loaded=True, knows=s.committed))))
        if peer.knows and s.told is None:
            out.append(s._replace(told=s.now))
        if peer.loaded and s.told is not None:
            # It ends, and is back at once. Before anybody was told that hides nothing.
            out.append(s._replace(peers=put(s.peers, n, Peer(s.now, False, False))))
        if s.asked is None:
            up = None if peer.loaded else s.now - peer.since
            out.append(s._replace(asked=Asked(n, s.now, peer.knows, up)))
    if s.asked is None:
        out.append(s._replace(asked=Asked(STORE, s.now, s.committed)))
    else:
        out += [s._replace(asked=None), hears(s, s.asked, guards)]
    if s.runs and not s.knows and not knowledge(s, guards).exceeded(s.now):
        out.append(s._replace(lease=s.now + LEASE))
    return out


def wrong(s: State) -> str:
    """What must never be."""
    late = s.runs and s.told is not None and s.now >= s.told + CANCEL
    return "a task of a job that was called cancelled is still there" if late else ""


def further(s: State) -> bool:
    """What no longer runs, or is to be stopped with the next answer, cannot go wrong any more; nor what would
    be told too late for this model's end.
    """
    return s.runs and not s.knows and (s.now if s.told is None else s.told) + CANCEL <= END


def explore(guards: frozenset[str]) -> tuple[int, str]:
    """How many states there are, and the first that is wrong."""
    return walk(State(), lambda s: steps(s, guards), wrong, further)


def test_no_order_of_events_keeps_a_task_alive_for_longer_than_its_user_may_see_it():
    states, found = explore(frozenset(GUARDS))
    assert found == "" and states > 100_000


@pytest.mark.parametrize("guard", GUARDS)
def test_each_guard_is_needed(guard):
    assert explore(frozenset(GUARDS) - {guard})[1] != ""
