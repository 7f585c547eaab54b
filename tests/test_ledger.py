"""The ledgers of two clusters that offload to each other, over a link that loses messages and with
writes that fail.
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

SECOND_US = 1_000_000
TASK_AMOUNTS = ResourceAmounts(2.0, 0.0, 1.0)
FREE_AMOUNTS = ResourceAmounts(40.0, 0.0, 100.0)


class Cluster:
    """A cluster: its ledger, and the messages that it has sent."""

    def __init__(self, name, other, rng):
        self.name, self.other, self.rng = name, other, rng
        self.ledger = OffloadLedger(7, {other: Grant(cpus=20, memory_gb=100)}, 30 * SECOND_US)
        self.peers = {other: PeerHealth(other, HealthTimeouts(), 0)}
        self.fencing_token = 7
        self.outbox = []
        self.message_count = 0

    def commit(self, entry, now_us, failure_rate=0.0):
        if entry is None:
            return
        if self.rng.random() < failure_rate:
            return  # refused, or another write came first: no message is permitted
        self.send(self.ledger.apply_commit(entry, now_us))

    def send(self, messages):
        self.message_count += len(messages)
        self.outbox += messages

    def receive(self, message, now_us, failure_rate):
        outcome = self.ledger.receive(self.other, message, FREE_AMOUNTS, now_us)
        if isinstance(outcome, LedgerEntry):
            self.commit(outcome, now_us, failure_rate)
        else:
            self.send(outcome)

    def take_over(self):
        """Let another controller take over, which starts from the stored records alone."""
        saved_origin_records, saved_remote_records = self.ledger.origin_records, self.ledger.remote_records
        self.fencing_token += 1
        self.ledger = OffloadLedger(self.fencing_token, self.ledger.grants, 30 * SECOND_US)
        self.ledger.load(saved_origin_records, saved_remote_records)


def two_clusters(seed):
    rng = random.Random(seed)
    return Cluster("a", "b", rng), Cluster("b", "a", rng), rng


def offer_tasks(cluster, ref, now_us, task_count=1, tasks=2):
    cluster.commit(
        cluster.ledger.offer(
            ref, tasks, TASK_AMOUNTS, PlannedOffer(ref, cluster.other, task_count), 0, False
        ),
        now_us,
    )


def run_tasks(cluster, now_us, failure_rate=0.0):
    """Finish all tasks that may run in the cluster, as origin or as remote."""
    for (peer, job), record in list(cluster.ledger.remote_records.items()):
        for task in range(2):
            if record.offload.startable >> task & 1:
                entry = cluster.ledger.change_remote(
                    peer, job, handoff.task_done_at_remote(record.offload, task)
                )
                cluster.commit(entry, now_us, failure_rate)
                record = cluster.ledger.remote_records[peer, job]
        if record.offload.state == handoff.STOPPING:
            cluster.commit(
                cluster.ledger.change_remote(peer, job, handoff.all_tasks_stopped(record.offload)),
                now_us,
                failure_rate,
            )
    for job, origin_record in list(cluster.ledger.origin_records.items()):
        for task in range(2):
            if (
                origin_record.offload.startable >> task & 1
                and origin_record.offload.state == handoff.AT_ORIGIN
            ):
                cluster.commit(
                    cluster.ledger.change_origin(
                        job, (handoff.task_done_at_origin(origin_record.offload, task), [])
                    ),
                    now_us,
                    failure_rate,
                )
                origin_record = cluster.ledger.origin_records[job]


def simulate(a, b, rng, steps, loss_rate, failure_rate, tasks_run=True):
    now_us = 0
    for _ in range(steps):
        now_us += SECOND_US // 2
        for sender, receiver in ((a, b), (b, a)):
            batch, sender.outbox = sender.outbox, []
            for message in batch:
                if rng.random() >= loss_rate:
                    receiver.receive(message, now_us, failure_rate)
                if rng.random() < 0.1:
                    receiver.receive(message, now_us, failure_rate)
        for cluster in (a, b):
            if tasks_run:
                run_tasks(cluster, now_us, failure_rate)
            for entry in cluster.ledger.expired_reservations(now_us):
                cluster.commit(entry, now_us, failure_rate)
            for messages in cluster.ledger.due_messages(cluster.peers, now_us).values():
                cluster.send(messages)
    return now_us


@given(st.integers(0, 10**6), st.sampled_from([0.0, 0.3, 0.7]), st.sampled_from([0.0, 0.2]), st.booleans())
def test_every_offload_ends_despite_lost_messages_and_takeovers(seed, loss_rate, failure_rate, take_over):
    a, b, rng = two_clusters(seed)
    for i in range(8):
        offer_tasks(a if i % 2 else b, f"req-{i}", 0, task_count=1 + i % 2)
    simulate(a, b, rng, 20, loss_rate, failure_rate)
    for job, record in list(a.ledger.origin_records.items())[:2]:
        a.commit(a.ledger.change_origin(job, handoff.cancel(record.offload)), 0)
    if take_over:
        a.take_over()
        b.take_over()
    simulate(a, b, rng, 100, loss_rate, failure_rate)
    a.ledger.reset_backoffs("b")
    b.ledger.reset_backoffs("a")
    simulate(a, b, rng, 120, 0.0, 0.0)
    for cluster in (a, b):
        assert all(record.offload.final_state for record in cluster.ledger.origin_records.values())
        assert all(
            record.offload.state == handoff.NO_OFFLOAD for record in cluster.ledger.remote_records.values()
        )


def test_offers_beyond_the_grant_are_refused():
    a, b, rng = two_clusters(1)
    for i in range(30):
        offer_tasks(a, f"req-{i}", 0)
    simulate(a, b, rng, 4, 0.0, 0.0, tasks_run=False)
    assert b.ledger.used("a") == (20.0, 0.0, 10.0)
    states = [record.offload.state for record in a.ledger.origin_records.values()]
    assert states.count(handoff.GRANTED) == 10 and states.count(handoff.AT_ORIGIN) == 20
    c, d, rng = two_clusters(2)
    d.ledger.grants = {}
    offer_tasks(c, "req-1", 0)
    simulate(c, d, rng, 4, 0.0, 0.0, tasks_run=False)
    assert c.ledger.origin_records[
        "req-1"
    ].offload.state == handoff.AT_ORIGIN and not d.ledger.remote_records.get(("c", "req-1"))


def test_unanswered_messages_are_sent_again_with_a_growing_backoff():
    a, b, rng = two_clusters(3)
    offer_tasks(a, "req-1", 0)
    times = [
        now_us
        for now_us in range(0, 600 * SECOND_US, SECOND_US // 4)
        if a.ledger.due_messages(a.peers, now_us)
    ]
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert (
        gaps[0] <= 2 * FIRST_BACKOFF_US + SECOND_US
        and gaps[-1] == LONGEST_BACKOFF_US
        and gaps == sorted(gaps)
    )
    # A failed write permits no message.
    c, _, _ = two_clusters(4)
    c.commit(
        c.ledger.offer("req-1", 2, TASK_AMOUNTS, PlannedOffer("req-1", "b", 1), 0, False), 0, failure_rate=1.0
    )
    assert c.outbox == [] and c.ledger.origin_records == {}


def test_a_reservation_without_a_grant_expires():
    a, b, rng = two_clusters(5)
    offer_tasks(a, "req-1", 0)
    b.receive(a.outbox.pop(), 0, 0.0)
    assert b.ledger.used("a")[0] == 2.0
    assert b.ledger.expired_reservations(30 * SECOND_US - 1) == []
    for entry in b.ledger.expired_reservations(30 * SECOND_US):
        b.commit(entry, 30 * SECOND_US)
    assert b.ledger.used("a")[0] == 0.0
    # The acceptance arrives late: the origin grants and is told that the offload has ended.
    a.receive(b.outbox.pop(), 31 * SECOND_US, 0.0)
    b.receive(a.outbox.pop(), 32 * SECOND_US, 0.0)
    a.receive(b.outbox.pop(), 33 * SECOND_US, 0.0)
    record = a.ledger.origin_records["req-1"]
    assert (record.offload.state, record.returned) == (handoff.AT_ORIGIN, 1)


def test_numbers_grow_over_leaderships_and_a_former_remote_cluster_gets_a_recall():
    a, b, _ = two_clusters(6)
    offer_tasks(a, "req-1", 0)
    first = a.ledger.origin_records["req-1"].offload.number
    offer = a.outbox.pop()
    a.commit(a.ledger.change_origin("req-1", handoff.withdraw(a.ledger.origin_records["req-1"].offload)), 1)
    a.take_over()
    a.other = "c"
    offer_tasks(a, "req-1", 2)
    assert (
        a.ledger.origin_records["req-1"].offload.number > first
        and a.ledger.origin_records["req-1"].peer == "c"
    )
    b.receive(offer, 3, 0.0)
    answers = a.ledger.receive("b", b.outbox.pop(), FREE_AMOUNTS, 4)
    assert [answer.message.kind for answer in answers] == [handoff.RECALL] and a.ledger.origin_records[
        "req-1"
    ].peer == "c"
    b.receive(answers[0], 5, 0.0)
    assert b.ledger.remote_records["a", "req-1"].offload.state == handoff.NO_OFFLOAD
