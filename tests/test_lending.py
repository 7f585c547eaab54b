"""Lending's place in a controller: what is written with a loan, who may cancel, what is reckoned. Two
clusters of records, each with its own revision, whose leaders, users and owners act in generated order.
"""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearstep.domain.job_state import JobState
from pearstep.domain.team import Team
from pearstep.federation import handoff
from pearstep.federation.capacity_estimate import (
    CapacityEstimate,
    can_run_elsewhere,
    capacity_for_peer,
    offloads_to_return,
    waiting_with_estimates,
)
from pearstep.federation.carrying import home_key, pieces
from pearstep.federation.ledger import LedgerEntry, OffloadLedger, OriginRecord, RemoteRecord, ResourceAmounts
from pearstep.federation.offload_records import OffloadRecords, PeerRecord
from pearstep.federation.offload_selection import Grant, PlannedOffer
from pearstep.federation.settings import FederationError, load
from pearstep.federation.writes import belongs, borrowed_rec, guest_writes, home_writes, local_ref
from pearstep.jobs.description import home_name
from pearstep.leader.route_planner import RoutePlanner
from pearstep.state.job import Job
from pearstep.state.records import JobRecord, Placement, PlacementRecord, RouteRecord
from pearstep.state.replica import Replica
from tests.world import TYPES, FakeKeyValueStore, spec

S = 1_000_000
NEED = ResourceAmounts(1.0, 0.0, 1.0)


class Cluster:
    """The records of a cluster, and a view of them."""

    def __init__(self):
        self.ledger = FakeKeyValueStore()
        self.view = Replica()
        self.changed = []
        self.loans = OffloadRecords(self.view, self.changed.append)
        self.books = OffloadLedger(7, {"huye": Grant(100, 100, 1000)}, 30 * S)
        self.books.follow_records(
            self.loans.origin_records,
            self.loans.remote_records,
            self.loans.open_origin,
            self.loans.open_remote,
        )

    def write(self, writes):
        if writes is None:
            return False
        puts, conditions = writes
        outcome = self.ledger.txn(conditions, {k: msgspec.to_builtins(v) for k, v in puts.items()})
        if not isinstance(outcome, int):
            return False
        for key, value in puts.items():
            self.view.put(key, outcome, msgspec.json.encode(value), 0)
        return True

    def put(self, key, value):
        assert self.write(({key: value}, {}))

    def home(self, entry):
        return entry is not None and self.write(home_writes(self.view, entry.key[2:], entry, 9))

    def guest(self, entry):
        _, peer, ref = entry.key.split("/")
        return self.write(guest_writes(self.view, peer, ref, entry, 9))

    def job(self, **fields):
        one = spec(job_id="req-1", **fields)
        self.put("j/req-1", JobRecord(one, 1))
        return self.view.jobs["req-1"]

    def offer(self, job, rows):
        return self.books.offer(
            "req-1",
            job.spec.tasks,
            NEED,
            PlannedOffer("req-1", "kigali", rows),
            job.placed_tasks | job.done_tasks,
            False,
            job.spec,
        )


def hear(cluster, kind, **fields):
    loan = cluster.loans.origin_records["req-1"].offload
    return cluster.books.change_origin(
        "req-1", handoff.receive_at_origin(loan, handoff.Message(kind, loan.number, **fields))
    )


def test_an_offer_takes_the_route_away_and_what_was_placed_meanwhile_stays():
    one = Cluster()
    job = one.job(kind="array", tasks=4)
    one.put("r/0/req-1", RouteRecord("0-3"))
    entry = one.offer(job, 2)
    # The owner places a task after the decision, before the write: the offer does not stand.
    one.ledger.txn(
        {},
        {"p/0/req-1/0": msgspec.to_builtins(PlacementRecord({0: Placement("i-1", 1, 1, 1)}, last_attempt=1))},
    )
    assert not one.home(entry) and not job.offloaded_tasks and job.routed_tasks == 0b1111
    placed = msgspec.json.encode(PlacementRecord({0: Placement("i-1", 1, 1, 1)}))
    one.view.put("p/0/req-1/0", one.ledger.revision, placed, 0)
    assert one.home(one.offer(job, 2))
    # The running task is not among what is lent, and what is lent is not routed.
    assert job.offloaded_tasks == 0b0110 and job.routed_tasks == 0b1001


def test_a_cancellation_and_a_grant_cannot_both_stand():
    for first in ("cancel", "grant"):
        one = Cluster()
        job = one.job(kind="array", tasks=2)
        assert one.home(one.offer(job, 2))
        grant = hear(one, handoff.ACCEPT)
        # Any node: under the conditions that it was told.
        stamps = {"j/req-1": job.version, "l/req-1": one.view.version_of("l/req-1")}
        cancel = ({"j/req-1": JobRecord(job.spec, 1, JobState.CANCELLED, 2)}, stamps)
        granted, cancelled = (
            (one.home(grant), one.write(cancel))
            if first == "grant"
            else (one.write(cancel), one.home(grant))[::-1]
        )
        assert granted != cancelled
        assert job.is_final == cancelled
        assert one.loans.origin_records["req-1"].offload.state == (
            handoff.GRANTED if granted else handoff.OFFERED
        )


def test_a_lent_job_that_is_cancelled_ends_with_the_guests_word():
    one = Cluster()
    job = one.job(kind="array", tasks=3)
    assert one.home(one.offer(job, 2)) and one.home(hear(one, handoff.ACCEPT))
    # What any node writes when a user cancels: the wish alone.
    book = one.loans.origin_records["req-1"]
    one.put("l/req-1", msgspec.structs.replace(book, offload=handoff.cancel(book.offload)[0]))
    assert (
        job.state == JobState.QUEUED
        and job.offloaded_tasks == job.spec.all_tasks
        and not job.has_waiting_tasks
    )
    assert "l/req-1" in one.changed and one.loans.origin_records["req-1"].offload.state == handoff.RECALLING
    assert one.home(hear(one, handoff.ENDED, task_mask=0b011, done_mask=0b001))
    assert job.state == JobState.CANCELLED and one.loans.open_origin == set()


def test_the_last_result_ends_the_job_wherever_it_comes_from():
    one = Cluster()
    job = one.job(kind="array", tasks=3)
    assert one.home(one.offer(job, 2)) and one.home(hear(one, handoff.ACCEPT))
    one.put("r/0/req-1", RouteRecord("2"))
    one.put("p/0/req-1/0", PlacementRecord({}, "4", 1))
    assert job.state == JobState.QUEUED and job.done_tasks == 0b100
    assert one.home(hear(one, handoff.RESULT, task_mask=0b011, done_mask=0b011))
    assert job.state == JobState.DONE and one.loans.origin_records["req-1"].offload.done_mask == 0b011
    other = Cluster()
    job = other.job(kind="array", tasks=3)
    assert other.home(other.offer(job, 2)) and other.home(hear(other, handoff.ACCEPT))
    assert other.home(hear(other, handoff.RESULT, task_mask=0b011, done_mask=0b011))
    # Its own task still runs: its owner will find the job complete.
    assert job.state == JobState.QUEUED and job.done_tasks == 0b011 and not job.offloaded_tasks
    other.put("p/0/req-1/0", PlacementRecord({}, "4", 1))
    assert job.all_tasks_done


def test_what_is_borrowed_runs_with_the_numbers_of_home_and_in_no_aim_of_ours():
    there = Cluster()
    one = spec(job_id="req-5", kind="array", tasks=6, priority=0, team="t", job_class="urgent", deadline_us=5)
    book = RemoteRecord(handoff.RemoteOffload(handoff.HOLDING, 9, 0b011000, highest_number=9), NEED, 3, one)
    rec = borrowed_rec("huye", "req-5", book, 50)
    there.put("j/" + rec.spec.job_id, rec)
    job = there.view.jobs["lent-huye-5-9"]
    assert job.spec.team == "peer:huye" and job.spec.priority == 3 and job.spec.deadline_us is None
    assert (
        job.spec.all_tasks & ~job.done_tasks == 0b011000
        and job.has_waiting_tasks
        and not job.all_tasks_done
        and job.consecutive_failures == 0
    )
    assert home_name(job.spec.job_id) == "req-5" and home_name("req-5") == "req-5"
    leader = RoutePlanner(1, there.view, TYPES, {"t": Team("t")}, 1, 12, {"urgent": (1,)})
    assert leader.ordered_jobs(0, 60) == [job]
    there.put("p/0/lent-huye-5-9/0", PlacementRecord({}, f"{0b011000:x}", 1))
    assert job.all_tasks_done
    assert borrowed_rec("huye", "req-5", msgspec.structs.replace(book, spec=None), 0) is None


def test_stopping_a_loan_and_beginning_its_job_cannot_both_stand():
    one = spec(job_id="req-5", kind="array", tasks=2)
    for first in ("begin", "stop"):
        there = Cluster()
        book = RemoteRecord(handoff.RemoteOffload(handoff.HOLDING, 9, 0b11, highest_number=9), NEED, 3, one)
        there.put("g/huye/req-5", book)
        local = "j/" + local_ref("huye", "req-5", 9)
        begin = (
            {local: borrowed_rec("huye", "req-5", book, 5)},
            {"g/huye/req-5": there.view.version_of("g/huye/req-5"), local: 0},
        )
        stop = there.books.change_remote("huye", "req-5", (handoff.begin_return(book.offload), []))
        if first == "begin":
            assert there.write(begin)
            # Decided before the job was there, written after: it withdraws the job as well.
            assert there.guest(stop)
            assert there.view.jobs[local[2:]].state == JobState.CANCELLED
            # Of our own accord it is stopped with time to save, and withdrawn once nothing of it runs.
            there = Cluster()
            there.put("g/huye/req-5", book)
            there.put(local, borrowed_rec("huye", "req-5", book, 5))
            stop = there.books.change_remote("huye", "req-5", (handoff.begin_return(book.offload), []))
            stop.graceful = True
            assert there.write(guest_writes(there.view, "huye", "req-5", stop, 50 * S))
            job = there.view.jobs[local[2:]]
            assert job.state == JobState.QUEUED and job.past_run_limit(49 * S)
            held = there.loans.remote_records["huye", "req-5"].offload
            gone = there.books.change_remote("huye", "req-5", handoff.all_tasks_stopped(held))
            assert there.guest(gone) and job.state == JobState.CANCELLED
        else:
            assert there.guest(stop) and not there.write(begin)
            assert local[2:] not in there.view.jobs


def test_loans_that_are_read_before_their_job_are_known_once_they_are_marked():
    one = Cluster()
    job = one.job(kind="array", tasks=2)
    assert one.home(one.offer(job, 2))
    late = Replica()
    loans = OffloadRecords(late, lambda key: None)
    for key in ("l/req-1", "j/req-1"):
        stamp, raw = next((s, raw) for s, k, raw in reversed(one.ledger.log) if k == key)
        late.put(key, stamp, raw, 0)
    loans.mark_offloaded_tasks("req-1")
    assert late.jobs["req-1"].offloaded_tasks == 0b11
    late.delete("l/req-1", one.ledger.revision + 1)
    assert late.jobs["req-1"].offloaded_tasks == 0 and not loans.open_origin


def test_a_node_without_lending_says_so_when_there_are_loans():
    view = Replica()
    assert not view.put("l/req-1", 3, b"{}", 0) and view.has_unread_offloads
    assert not Replica().has_unread_offloads


@given(
    st.lists(st.tuples(st.integers(0, 30), st.integers(0, 5), st.booleans()), max_size=8),
    st.integers(0, 12),
    st.integers(0, 10),
)
def test_what_gives_way_covers_what_waits_and_no_more(rows, wants, waited):
    loans, jobs = [], {}
    for i, (since, running, holding) in enumerate(rows):
        one = spec(job_id=f"lent-huye-{i}-1", kind="array", tasks=5, cpus=1.0)
        job = Job(JobRecord(one, 0), 1, 0)
        job.placed_tasks = (1 << running) - 1
        state = handoff.HOLDING if holding else handoff.STOPPING
        loans.append(
            (
                ("huye", f"req-{i}"),
                RemoteRecord(handoff.RemoteOffload(state, 1, 31), ResourceAmounts(1, 0, 0), since),
                job,
            )
        )
        jobs["huye", f"req-{i}"] = (since, running, holding)
    seen = CapacityEstimate(own_demand=(float(wants), 0.0, 0.0), own_waiting_since_us=0 if wants else None)
    out = offloads_to_return(seen, loans, waited * S, 5 * S, 10**12, 0)
    assert all(jobs[name][2] and jobs[name][1] for name in out)
    freed = sum(jobs[name][1] for name in out)
    there = sum(running for _, running, holding in jobs.values() if holding)
    if waited < 5 or not wants:
        assert out == []
    else:
        assert freed >= min(wants, there)
        # None of it was in vain: without the last one it would not have been enough.
        assert not out or freed - jobs[out[-1]][1] < wants
        assert [jobs[n][0] for n in out] == sorted((jobs[n][0] for n in out), reverse=True)
    idle = [name for name, (_, running, holding) in jobs.items() if holding and not running]
    assert sorted(offloads_to_return(CapacityEstimate(), loans, 0, 5 * S, 0, 0)) == sorted(idle)


def test_what_is_offered_is_idle_and_nobody_waits_for_it():
    seen = CapacityEstimate(free=(50, 0, 100), own_demand=(20, 0, 0), peer_demand=(10, 0, 0))
    zero = (0.0, 0.0, 0.0)
    grant = Grant(100, 0, 100, spare=0)
    assert capacity_for_peer(grant, seen, zero, (5.0, 0.0, 0.0), False) == (15, 0, 100)
    assert capacity_for_peer(grant, seen, zero, zero, True) == zero
    # What may be rented is offered whether it is there or not, less what is held.
    idle = CapacityEstimate(free=(0, 0, 0))
    assert capacity_for_peer(Grant(30, 0, 30, rent=True), idle, (10.0, 0.0, 40.0), zero, False) == (20, 0, 0)
    # But not while own work waits: all that there is to rent is rented.
    assert capacity_for_peer(Grant(30, 0, 30, rent=True), seen, zero, zero, False) == zero


def world_with(tasks, machines, running):
    one = Cluster()
    from pearstep.state.records import LeaseHolderRecord, MachineRecord

    one.put("part/0", LeaseHolderRecord("a"))
    kind = next(iter(TYPES.values()))
    for i in range(machines):
        one.put(f"m/0/i-{i}", MachineRecord(kind.name, "a", False, "x"))
    busy = spec(
        job_id="req-9", kind="array", tasks=machines, cpus=kind.cpus, memory_gb=1.0, estimate_us=100 * S
    )
    one.put("j/req-9", JobRecord(busy, 0))
    places = {i: Placement(f"i-{i}", 1, 1, 0) for i in range(running)}
    one.put("r/0/req-9", RouteRecord(f"0-{machines - 1}"))
    one.put("p/0/req-9/0", PlacementRecord(places, "0", 1))
    return one, kind


def test_what_waits_is_reckoned_behind_what_runs():
    one, kind = world_with(2, 2, 2)
    one.put(
        "j/req-1",
        JobRecord(
            spec(job_id="req-1", kind="gang", tasks=2, cpus=kind.cpus, memory_gb=1.0, estimate_us=50 * S), 0
        ),
    )
    one.put(
        "j/req-2",
        JobRecord(
            spec(
                job_id="req-2",
                kind="gang",
                tasks=2,
                cpus=kind.cpus,
                memory_gb=1.0,
                estimate_us=50 * S,
                zone="a",
            ),
            1,
        ),
    )
    leader = RoutePlanner(1, one.view, TYPES, {"t": Team("t")}, 1, 12, {})
    leader.plan(20 * S, 0, 20 * S)
    rows = waiting_with_estimates(leader, 1, {}, 30 * S, 10 * S, {"req-1": 2}, 20 * S, 20 * S)
    # Both machines are free at 100 s. What is bound to a zone of ours stays, but keeps its turn.
    assert [(w.ref, w.start_us, w.objective_us, w.task_count, w.is_queue_head, w.returned) for w in rows] == [
        ("req-1", 80 * S, 10 * S, 2, True, 2)
    ]
    assert waiting_with_estimates(leader, 1, {}, 30 * S, 25 * S, {}, 20 * S, 20 * S) == []
    assert not can_run_elsewhere(one.view.jobs["req-2"])


@given(st.binary(max_size=30), st.lists(st.tuples(st.integers(0, 30), st.integers(1, 5)), max_size=4))
def test_holes_stay_holes_when_a_log_is_carried_home(data, cuts):
    holes, at, kept = [], 0, bytearray(data)
    for gap, length in cuts:
        offset = at + gap
        if offset + length > len(data):
            break
        holes.append((100 + offset, length))
        kept[offset : offset + length] = bytes(length)
        at = offset + length
    parts = pieces(100, bytes(kept), holes)
    position = 100
    for offset, length, part in parts:
        assert offset == position and length > 0 and (part is None or len(part) == length)
        position += length
    assert position == 100 + len(data)
    assert [(o, n) for o, n, p in parts if p is None] == holes


def test_names_of_what_is_lent():
    local = local_ref("huye", "req-42", 7)
    assert local == "lent-huye-42-7" and belongs("huye", local)
    for peer in ("hu", "huye-42", "nyarugenge"):
        assert not belongs(peer, local)
    attempt = {"task": 3, "attempt": 2, "machine": "i-7", "start": 4}
    assert home_key("nyarugenge", "req-1", attempt).machine == "nyarugenge.i-7"


def test_settings_are_checked(tmp_path):
    file = tmp_path / "f.yaml"
    file.write_text("keys: k\nbinds: {node-0: 127.0.0.1:1}\nleaving: {keep_teams: [a], least_gain_s: 2}\n")
    assert load(str(file)).leaving.policy().min_gain_us == 2 * S
    for text, why in (
        ("keys: k\nbinds: {}\n", "names no controller"),
        ("keys: k\nbinds: {a: x}\n", "binds"),
        ("keys: k\nbinds: {a: 127.0.0.1:1}\noffer_s: 40\n", "offer_s must be less"),
        ("keys: k\nbinds: {a: 127.0.0.1:1}\nfoo: 1\n", "foo"),
    ):
        file.write_text(text)
        with pytest.raises(FederationError, match=why):
            load(str(file))


# -- two clusters, everything in generated order ------------------------------------------------


class Both:
    """Home and guest as their controllers act on them: each step is one transaction of one side."""

    def __init__(self):
        self.home, self.there = Cluster(), Cluster()
        self.wire = []
        self.answers = []
        self.ran = []

    def say(self, to, says):
        self.wire += [(to, m) for m in says]

    def do(self, cluster, write, entry, to):
        if entry is not None and write(entry):
            self.say(to, [s.message for s in entry.messages])
            return True
        return False

    def hear(self, to, message):
        if to == "guest":
            book = self.there.loans.remote_records.get(("huye", "req-1")) or RemoteRecord(
                handoff.RemoteOffload()
            )
            loan, says = handoff.receive_at_remote(book.offload, message, True)
            if loan == book.offload:
                self.say("home", says)
                return
            one = self.home.view.jobs["req-1"].spec if loan.state == handoff.RESERVED else book.spec
            entry = LedgerEntry("g/huye/req-1", book, RemoteRecord(loan, NEED, 0, one), "huye", [])
            if self.there.guest(entry):
                self.say("home", says)
            return
        book = self.home.loans.origin_records.get("req-1")
        if book is None:
            return
        loan, says = handoff.receive_at_origin(book.offload, message)
        if loan == book.offload or self.home.home(
            LedgerEntry("l/req-1", book, msgspec.structs.replace(book, offload=loan), "kigali", [])
        ):
            self.say("guest", says)

    def local(self):
        book = self.there.loans.remote_records.get(("huye", "req-1"))
        if book is None:
            return None, None, None
        name = local_ref("huye", "req-1", book.offload.number)
        return book, name, self.there.view.jobs.get(name)

    def step(self, what):
        job = self.home.view.jobs["req-1"]
        book, name, there = self.local()
        if what == "offer" and not job.is_final:
            self.do(self.home, self.home.home, self.home.offer(job, 2), "guest")
        elif what == "withdraw" and "req-1" in self.home.loans.open_origin:
            loan = self.home.loans.origin_records["req-1"].offload
            self.do(
                self.home,
                self.home.home,
                self.home.books.change_origin("req-1", handoff.withdraw(loan)),
                "guest",
            )
        elif what == "cancel" and not job.is_final:
            mine = self.home.loans.origin_records.get("req-1")
            if mine is not None and mine.offload.state in (handoff.GRANTED, handoff.RECALLING):
                self.home.put(
                    "l/req-1", msgspec.structs.replace(mine, offload=handoff.cancel(mine.offload)[0])
                )
            else:
                self.home.put("j/req-1", JobRecord(job.spec, 1, JobState.CANCELLED, 2))
                self.answers.append(JobState.CANCELLED)
        elif what == "run here" and not job.is_final:
            able = job.spec.all_tasks & ~job.done_tasks & ~job.offloaded_tasks
            if able:
                task = able.bit_length() - 1
                self.ran.append(("home", task))
                raw = PlacementRecord({}, f"{(job.done_tasks | 1 << task):x}", 1)
                self.home.put("p/0/req-1/0", raw)
                if job.all_tasks_done and job.state == JobState.QUEUED:
                    self.home.put("j/req-1", JobRecord(job.spec, 1, JobState.DONE, 2))
        elif what == "begin" and book is not None and there is None:
            rec = borrowed_rec("huye", "req-1", book, 0)
            if rec is not None:
                key = "g/huye/req-1"
                self.there.write(({f"j/{name}": rec}, {key: self.there.view.version_of(key), f"j/{name}": 0}))
        elif what == "run there" and there is not None and not there.is_final:
            able = there.spec.all_tasks & ~there.done_tasks
            if able:
                task = able.bit_length() - 1
                self.ran.append(("guest", task))
                self.there.put(f"p/0/{name}/0", PlacementRecord({}, f"{there.done_tasks | 1 << task:x}", 1))
                if there.all_tasks_done:
                    self.there.put(f"j/{name}", JobRecord(there.spec, 1, JobState.DONE, 2))
        elif what == "give back" and book is not None and book.offload.state == handoff.HOLDING:
            entry = self.there.books.change_remote("huye", "req-1", (handoff.begin_return(book.offload), []))
            self.there.guest(entry)
        elif (
            what == "tend" and book is not None and book.offload.state in (handoff.HOLDING, handoff.STOPPING)
        ):
            if (there is not None and there.is_final) or (
                there is None and book.offload.state == handoff.STOPPING
            ):
                loan, says = book.offload, []
                done = (
                    0
                    if there is None
                    else loan.task_mask
                    if there.state == JobState.DONE
                    else there.done_tasks & loan.task_mask
                )
                for task in range(3):
                    if done >> task & 1 and loan.state in (handoff.HOLDING, handoff.STOPPING):
                        loan, says = handoff.task_done_at_remote(loan, task)
                if loan.state == handoff.STOPPING:
                    loan, says = handoff.all_tasks_stopped(loan)
                entry = self.there.books.change_remote("huye", "req-1", (loan, says))
                self.do(self.there, self.there.guest, entry, "home")
        elif what == "again":
            mine = self.home.loans.origin_records.get("req-1")
            self.say("guest", handoff.origin_messages(mine.offload) if mine else [])
            self.say("home", handoff.remote_messages(book.offload) if book else [])


STEPS = st.sampled_from(
    ["offer", "withdraw", "cancel", "run here", "begin", "run there", "give back", "tend", "again"]
    + ["deliver"] * 6
)


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(STEPS, st.integers(0, 10**6), st.booleans()), max_size=60))
def test_whatever_the_order_one_answer_and_no_task_is_done_in_both(steps):
    both = Both()
    job = both.home.job(kind="array", tasks=3)
    states = [JobState.QUEUED]
    for what, pick, keep in steps:
        if what == "deliver":
            if both.wire:
                to, message = both.wire[pick % len(both.wire)]
                if not keep:
                    both.wire.remove((to, message))
                both.hear(to, message)
        else:
            both.step(what)
        if job.state != states[-1]:
            states.append(job.state)
    # Then the link holds and nobody has a wish any more: everything comes to its end.
    for _ in range(30):
        for what in ("again", "begin", "run there", "tend", "run here"):
            both.step(what)
        said, both.wire = both.wire, []
        for to, message in said:
            both.hear(to, message)
        if "req-1" in both.home.loans.open_origin and job.is_final:
            both.step("withdraw")
        if job.state != states[-1]:
            states.append(job.state)
    assert job.state in (JobState.DONE, JobState.CANCELLED) and len(states) == 2
    assert len(set(both.ran)) == len(both.ran)
    tasks = [task for _, task in both.ran]
    assert len(set(tasks)) == len(tasks), "a task was done in both clusters"
    if job.state == JobState.DONE:
        assert sorted(tasks) == [0, 1, 2]
    book, _, _ = both.local()
    assert book is None or book.offload.state == handoff.NO_OFFLOAD
    assert not both.home.loans.open_origin


def test_records_of_peers_are_read_as_written():
    one = Cluster()
    one.put("peer/huye", PeerRecord(["127.0.0.1:1"], grant=Grant(4, 0, 4, rent=True)))
    assert one.loans.peers["huye"].grant.rent
    one.view.delete("peer/huye", one.ledger.revision + 1)
    assert one.loans.peers == {}


def test_a_cancellation_is_told_to_wait_while_a_peer_has_the_job():
    from pearstep.federation.place import Federation

    one = Cluster()
    job = one.job(kind="array", tasks=2)

    class Store:
        async def commit(self, conditions, puts, urgency=0):
            from pearstep.transport.kv_client import CommitOutcome, CommitResult

            assert one.write(({k: v for k, (v, _) in puts.items()}, conditions))
            return CommitResult(CommitOutcome.COMMITTED, one.ledger.revision)

    class Node:
        kv = Store()

        class follower:
            @staticmethod
            def apply_own_commit(key, stamp, value):
                one.view.put(key, stamp, msgspec.json.encode(value), 0)

    place = Federation.__new__(Federation)
    place.loans, place.view, place.node = one.loans, one.view, Node()

    def ask():
        return asyncio.run(place.before_cancellation(job))

    # Never lent: under the condition that it is still not lent when the cancellation is written.
    assert ask() == {"l/req-1": 0}
    assert one.home(one.offer(job, 2))
    assert ask() == {"l/req-1": one.view.version_of("l/req-1")}
    assert one.home(hear(one, handoff.ACCEPT))
    assert ask() is None and one.loans.origin_records["req-1"].offload.cancel_requested
    stamp = one.view.version_of("l/req-1")
    assert ask() is None and one.view.version_of("l/req-1") == stamp  # asked again: nothing more is written
    assert isinstance(one.loans.origin_records["req-1"], OriginRecord)
