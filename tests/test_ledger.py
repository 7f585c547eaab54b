"""The books of loans of two clusters that borrow from each other, over a link that loses, with writes that
fail.
"""

import random
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from pearstep.federation import handoff
from pearstep.federation.ledger import (
    FIRST_BACKOFF_US,
    LONGEST_BACKOFF_US,
    LedgerEntry,
    OffloadLedger,
    ResourceAmounts,
)
from pearstep.federation.offload_selection import Grant, PlannedOffer
from pearstep.federation.peer_health import HealthTimeouts, PeerHealth

S = 1_000_000
NEED = ResourceAmounts(2.0, 0.0, 1.0)
FREE = ResourceAmounts(40.0, 0.0, 100.0)


class Side:
    """A cluster: its books, and the records that survive them."""

    def __init__(self, name, other, rng):
        self.name, self.other, self.rng = name, other, rng
        self.books = OffloadLedger(7, {other: Grant(cpus=20, memory_gb=100)}, 30 * S)
        self.peers = {other: PeerHealth(other, HealthTimeouts(), 0)}
        self.stamp = 7
        self.out = []
        self.messages = 0

    def write(self, entry, now, fails=0.0):
        if entry is None:
            return
        if self.rng.random() < fails:
            return  # refused, or somebody else was first: nothing was said
        self.say(self.books.apply_commit(entry, now))

    def say(self, said):
        self.messages += len(said)
        self.out += said

    def hear(self, said, now, fails):
        found = self.books.receive(self.other, said, FREE, now)
        if isinstance(found, LedgerEntry):
            self.write(found, now, fails)
        else:
            self.say(found)

    def crash(self):
        """Another controller takes the books over: records alone are left."""
        home, guest = self.books.origin_records, self.books.remote_records
        self.stamp += 1
        self.books = OffloadLedger(self.stamp, self.books.grants, 30 * S)
        self.books.load(home, guest)


def clusters(seed):
    rng = random.Random(seed)
    return Side("a", "b", rng), Side("b", "a", rng), rng


def lend(side, ref, now, rows=1, tasks=2):
    side.write(side.books.offer(ref, tasks, NEED, PlannedOffer(ref, side.other, rows), 0, False), now)


def work(side, now, fails=0.0):
    """Whatever may run as guest or at home gets done."""
    for (peer, job), book in list(side.books.remote_records.items()):
        for task in range(2):
            if book.offload.startable >> task & 1:
                entry = side.books.change_remote(peer, job, handoff.task_done_at_remote(book.offload, task))
                side.write(entry, now, fails)
                book = side.books.remote_records[peer, job]
        if book.offload.state == handoff.STOPPING:
            side.write(
                side.books.change_remote(peer, job, handoff.all_tasks_stopped(book.offload)), now, fails
            )
    for job, home in list(side.books.origin_records.items()):
        for task in range(2):
            if home.offload.startable >> task & 1 and home.offload.state == handoff.AT_ORIGIN:
                side.write(
                    side.books.change_origin(job, (handoff.task_done_at_origin(home.offload, task), [])),
                    now,
                    fails,
                )
                home = side.books.origin_records[job]


def play(a, b, rng, steps, loss, fails, works=True):
    now = 0
    for _ in range(steps):
        now += S // 2
        for one, two in ((a, b), (b, a)):
            mail, one.out = one.out, []
            for said in mail:
                if rng.random() >= loss:
                    two.hear(said, now, fails)
                if rng.random() < 0.1:
                    two.hear(said, now, fails)
        for side in (a, b):
            if works:
                work(side, now, fails)
            for entry in side.books.expired_reservations(now):
                side.write(entry, now, fails)
            for said in side.books.due_messages(side.peers, now).values():
                side.say(said)
    return now


@given(st.integers(0, 10**6), st.sampled_from([0.0, 0.3, 0.7]), st.sampled_from([0.0, 0.2]), st.booleans())
def test_every_loan_ends_whatever_is_lost_and_whoever_crashes(seed, loss, fails, crash):
    a, b, rng = clusters(seed)
    for i in range(8):
        lend(a if i % 2 else b, f"req-{i}", 0, rows=1 + i % 2)
    play(a, b, rng, 20, loss, fails)
    for job, book in list(a.books.origin_records.items())[:2]:
        a.write(a.books.change_origin(job, handoff.cancel(book.offload)), 0)
    if crash:
        a.crash()
        b.crash()
    play(a, b, rng, 100, loss, fails)
    a.books.reset_backoffs("b")
    b.books.reset_backoffs("a")
    play(a, b, rng, 120, 0.0, 0.0)
    for side in (a, b):
        assert all(book.offload.final_state for book in side.books.origin_records.values())
        assert all(book.offload.state == handoff.NO_OFFLOAD for book in side.books.remote_records.values())


def test_no_more_is_taken_than_the_grant_and_what_is_free():
    a, b, rng = clusters(1)
    for i in range(30):
        lend(a, f"req-{i}", 0)
    play(a, b, rng, 4, 0.0, 0.0, works=False)
    assert b.books.used("a") == (20.0, 0.0, 10.0)
    states = [book.offload.state for book in a.books.origin_records.values()]
    assert states.count(handoff.GRANTED) == 10 and states.count(handoff.AT_ORIGIN) == 20
    c, d, rng = clusters(2)
    d.books.grants = {}
    lend(c, "req-1", 0)
    play(c, d, rng, 4, 0.0, 0.0, works=False)
    assert c.books.origin_records[
        "req-1"
    ].offload.state == handoff.AT_ORIGIN and not d.books.remote_records.get(("c", "req-1"))


def test_what_is_not_answered_is_said_again_ever_more_rarely():
    a, b, rng = clusters(3)
    lend(a, "req-1", 0)
    times = [now for now in range(0, 600 * S, S // 4) if a.books.due_messages(a.peers, now)]
    gaps = [y - x for x, y in pairwise(times)]
    assert gaps[0] <= 2 * FIRST_BACKOFF_US + S and gaps[-1] == LONGEST_BACKOFF_US and gaps == sorted(gaps)
    # A write that did not happen permits nothing.
    c, _, _ = clusters(4)
    c.write(c.books.offer("req-1", 2, NEED, PlannedOffer("req-1", "b", 1), 0, False), 0, fails=1.0)
    assert c.out == [] and c.books.origin_records == {}


def test_a_reservation_that_is_not_granted_gives_the_room_back():
    a, b, rng = clusters(5)
    lend(a, "req-1", 0)
    b.hear(a.out.pop(), 0, 0.0)
    assert b.books.used("a")[0] == 2.0
    assert b.books.expired_reservations(30 * S - 1) == []
    for entry in b.books.expired_reservations(30 * S):
        b.write(entry, 30 * S)
    assert b.books.used("a")[0] == 0.0
    # The acceptance arrives after all: home grants, and is told that it is over.
    a.hear(b.out.pop(), 31 * S, 0.0)
    b.hear(a.out.pop(), 32 * S, 0.0)
    a.hear(b.out.pop(), 33 * S, 0.0)
    book = a.books.origin_records["req-1"]
    assert (book.offload.state, book.returned) == (handoff.AT_ORIGIN, 1)


def test_numbers_grow_over_leaderships_and_a_former_guest_is_told_the_loan_is_over():
    a, b, _ = clusters(6)
    lend(a, "req-1", 0)
    first = a.books.origin_records["req-1"].offload.number
    offer = a.out.pop()
    a.write(a.books.change_origin("req-1", handoff.withdraw(a.books.origin_records["req-1"].offload)), 1)
    a.crash()
    a.other = "c"
    lend(a, "req-1", 2)
    assert (
        a.books.origin_records["req-1"].offload.number > first and a.books.origin_records["req-1"].peer == "c"
    )
    b.hear(offer, 3, 0.0)
    said = a.books.receive("b", b.out.pop(), FREE, 4)
    assert [s.message.kind for s in said] == [handoff.RECALL] and a.books.origin_records["req-1"].peer == "c"
    b.hear(said[0], 5, 0.0)
    assert b.books.remote_records["a", "req-1"].offload.state == handoff.NO_OFFLOAD
