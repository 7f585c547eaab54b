"""Transactions of offloads: what is written with an offload, who may cancel, and the capacity estimates.

Two clusters with separate records and revisions act in generated order.
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
from pearstep.federation.ledger import LedgerEntry, OffloadLedger, OriginRecord, RemoteRecord, ResourceAmounts
from pearstep.federation.offload_records import OffloadRecords, PeerRecord
from pearstep.federation.offload_selection import Grant, PlannedOffer
from pearstep.federation.offload_transactions import (
    belongs_to_peer,
    local_job_id,
    origin_transaction,
    remote_job_record,
    remote_transaction,
)
from pearstep.federation.settings import FederationError, load
from pearstep.federation.transfers import origin_key, split_at_holes
from pearstep.jobs.description import home_name
from pearstep.leader.route_planner import RoutePlanner
from pearstep.state.job import Job
from pearstep.state.records import JobRecord, Placement, PlacementRecord, RouteRecord
from pearstep.state.replica import Replica
from tests.world import TYPES, FakeKeyValueStore, spec

S = 1_000_000
NEED = ResourceAmounts(1.0, 0.0, 1.0)


class Cluster:
    """The stored records of a cluster, with a replica and a ledger that follow them."""

    def __init__(self):
        self.store = FakeKeyValueStore()
        self.replica = Replica()
        self.changed = []
        self.records = OffloadRecords(self.replica, self.changed.append)
        self.ledger = OffloadLedger(7, {"huye": Grant(100, 100, 1000)}, 30 * S)
        self.ledger.follow_records(
            self.records.origin_records,
            self.records.remote_records,
            self.records.open_origin,
            self.records.open_remote,
        )

    def write(self, writes):
        if writes is None:
            return False
        puts, conditions = writes
        outcome = self.store.txn(conditions, {k: msgspec.to_builtins(v) for k, v in puts.items()})
        if not isinstance(outcome, int):
            return False
        for key, value in puts.items():
            self.replica.put(key, outcome, msgspec.json.encode(value), 0)
        return True

    def put(self, key, value):
        assert self.write(({key: value}, {}))

    def commit_origin(self, entry):
        return entry is not None and self.write(origin_transaction(self.replica, entry.key[2:], entry, 9))

    def commit_remote(self, entry):
        _, peer, ref = entry.key.split("/")
        return self.write(remote_transaction(self.replica, peer, ref, entry, 9))

    def job(self, **fields):
        job_spec = spec(job_id="req-1", **fields)
        self.put("j/req-1", JobRecord(job_spec, 1))
        return self.replica.jobs["req-1"]

    def offer(self, job, task_count):
        return self.ledger.offer(
            "req-1",
            job.spec.tasks,
            NEED,
            PlannedOffer("req-1", "kigali", task_count),
            job.placed_tasks | job.done_tasks,
            False,
            job.spec,
        )


def origin_entry(cluster, kind, **fields):
    offload = cluster.records.origin_records["req-1"].offload
    return cluster.ledger.change_origin(
        "req-1", handoff.receive_at_origin(offload, handoff.Message(kind, offload.number, **fields))
    )


def test_an_offer_removes_routes_and_fails_if_a_task_was_placed_meanwhile():
    cluster = Cluster()
    job = cluster.job(kind="array", tasks=4)
    cluster.put("r/0/req-1", RouteRecord("0-3"))
    entry = cluster.offer(job, 2)
    # The shard owner places a task between the decision and the write: the offer is not committed.
    cluster.store.txn(
        {},
        {"p/0/req-1/0": msgspec.to_builtins(PlacementRecord({0: Placement("i-1", 1, 1, 1)}, last_attempt=1))},
    )
    assert not cluster.commit_origin(entry) and not job.offloaded_tasks and job.routed_tasks == 0b1111
    placed = msgspec.json.encode(PlacementRecord({0: Placement("i-1", 1, 1, 1)}))
    cluster.replica.put("p/0/req-1/0", cluster.store.revision, placed, 0)
    assert cluster.commit_origin(cluster.offer(job, 2))
    # The running task is not offloaded, and offloaded tasks are not routed.
    assert job.offloaded_tasks == 0b0110 and job.routed_tasks == 0b1001


def test_a_cancellation_and_a_grant_cannot_both_be_committed():
    for first in ("cancel", "grant"):
        cluster = Cluster()
        job = cluster.job(kind="array", tasks=2)
        assert cluster.commit_origin(cluster.offer(job, 2))
        grant = origin_entry(cluster, handoff.ACCEPT)
        # Any controller cancels under the conditions that it was given.
        conditions = {"j/req-1": job.version, "l/req-1": cluster.replica.version_of("l/req-1")}
        cancel = ({"j/req-1": JobRecord(job.spec, 1, JobState.CANCELLED, 2)}, conditions)
        granted, cancelled = (
            (cluster.commit_origin(grant), cluster.write(cancel))
            if first == "grant"
            else (cluster.write(cancel), cluster.commit_origin(grant))[::-1]
        )
        assert granted != cancelled
        assert job.is_final == cancelled
        assert cluster.records.origin_records["req-1"].offload.state == (
            handoff.GRANTED if granted else handoff.OFFERED
        )


def test_cancelling_an_offloaded_job_completes_with_the_remote_answer():
    cluster = Cluster()
    job = cluster.job(kind="array", tasks=3)
    assert cluster.commit_origin(cluster.offer(job, 2)) and cluster.commit_origin(
        origin_entry(cluster, handoff.ACCEPT)
    )
    # When a user cancels, any controller writes the request only.
    record = cluster.records.origin_records["req-1"]
    cluster.put("l/req-1", msgspec.structs.replace(record, offload=handoff.cancel(record.offload)[0]))
    assert (
        job.state == JobState.QUEUED
        and job.offloaded_tasks == job.spec.all_tasks
        and not job.has_waiting_tasks
    )
    assert (
        "l/req-1" in cluster.changed
        and cluster.records.origin_records["req-1"].offload.state == handoff.RECALLING
    )
    assert cluster.commit_origin(origin_entry(cluster, handoff.ENDED, task_mask=0b011, done_mask=0b001))
    assert job.state == JobState.CANCELLED and cluster.records.open_origin == set()


def test_the_last_result_ends_the_job_from_either_cluster():
    cluster = Cluster()
    job = cluster.job(kind="array", tasks=3)
    assert cluster.commit_origin(cluster.offer(job, 2)) and cluster.commit_origin(
        origin_entry(cluster, handoff.ACCEPT)
    )
    cluster.put("r/0/req-1", RouteRecord("2"))
    cluster.put("p/0/req-1/0", PlacementRecord({}, "4", 1))
    assert job.state == JobState.QUEUED and job.done_tasks == 0b100
    assert cluster.commit_origin(origin_entry(cluster, handoff.RESULT, task_mask=0b011, done_mask=0b011))
    assert job.state == JobState.DONE and cluster.records.origin_records["req-1"].offload.done_mask == 0b011
    other = Cluster()
    job = other.job(kind="array", tasks=3)
    assert other.commit_origin(other.offer(job, 2)) and other.commit_origin(
        origin_entry(other, handoff.ACCEPT)
    )
    assert other.commit_origin(origin_entry(other, handoff.RESULT, task_mask=0b011, done_mask=0b011))
    # The task of this cluster still runs: its shard owner will find the job complete.
    assert job.state == JobState.QUEUED and job.done_tasks == 0b011 and not job.offloaded_tasks
    other.put("p/0/req-1/0", PlacementRecord({}, "4", 1))
    assert job.all_tasks_done


def test_a_remote_job_keeps_task_numbers_and_has_no_local_objective():
    remote = Cluster()
    job_spec = spec(
        job_id="req-5", kind="array", tasks=6, priority=0, team="t", job_class="urgent", deadline_us=5
    )
    record = RemoteRecord(
        handoff.RemoteOffload(handoff.HOLDING, 9, 0b011000, highest_number=9), NEED, 3, job_spec
    )
    job_record = remote_job_record("huye", "req-5", record, 50)
    remote.put("j/" + job_record.spec.job_id, job_record)
    job = remote.replica.jobs["lent-huye-5-9"]
    assert job.spec.team == "peer:huye" and job.spec.priority == 3 and job.spec.deadline_us is None
    assert (
        job.spec.all_tasks & ~job.done_tasks == 0b011000
        and job.has_waiting_tasks
        and not job.all_tasks_done
        and job.consecutive_failures == 0
    )
    assert home_name(job.spec.job_id) == "req-5" and home_name("req-5") == "req-5"
    planner = RoutePlanner(1, remote.replica, TYPES, {"t": Team("t")}, 1, 12, {"urgent": (1,)})
    assert planner.ordered_jobs(0, 60) == [job]
    remote.put("p/0/lent-huye-5-9/0", PlacementRecord({}, f"{0b011000:x}", 1))
    assert job.all_tasks_done
    assert remote_job_record("huye", "req-5", msgspec.structs.replace(record, spec=None), 0) is None


def test_stopping_an_offload_and_creating_its_job_cannot_both_be_committed():
    job_spec = spec(job_id="req-5", kind="array", tasks=2)
    for first in ("begin", "stop"):
        remote = Cluster()
        record = RemoteRecord(
            handoff.RemoteOffload(handoff.HOLDING, 9, 0b11, highest_number=9), NEED, 3, job_spec
        )
        remote.put("g/huye/req-5", record)
        local = "j/" + local_job_id("huye", "req-5", 9)
        begin = (
            {local: remote_job_record("huye", "req-5", record, 5)},
            {"g/huye/req-5": remote.replica.version_of("g/huye/req-5"), local: 0},
        )
        stop = remote.ledger.change_remote("huye", "req-5", (handoff.begin_return(record.offload), []))
        if first == "begin":
            assert remote.write(begin)
            # The stop, decided before the job was created and written after, cancels the job as well.
            assert remote.commit_remote(stop)
            assert remote.replica.jobs[local[2:]].state == JobState.CANCELLED
            # Without a recall the job is stopped with time for a checkpoint, and cancelled once no task runs.
            remote = Cluster()
            remote.put("g/huye/req-5", record)
            remote.put(local, remote_job_record("huye", "req-5", record, 5))
            stop = remote.ledger.change_remote("huye", "req-5", (handoff.begin_return(record.offload), []))
            stop.graceful = True
            assert remote.write(remote_transaction(remote.replica, "huye", "req-5", stop, 50 * S))
            job = remote.replica.jobs[local[2:]]
            assert job.state == JobState.QUEUED and job.past_run_limit(49 * S)
            held = remote.records.remote_records["huye", "req-5"].offload
            gone = remote.ledger.change_remote("huye", "req-5", handoff.all_tasks_stopped(held))
            assert remote.commit_remote(gone) and job.state == JobState.CANCELLED
        else:
            assert remote.commit_remote(stop) and not remote.write(begin)
            assert local[2:] not in remote.replica.jobs


def test_an_offload_read_before_its_job_is_applied_when_marked():
    cluster = Cluster()
    job = cluster.job(kind="array", tasks=2)
    assert cluster.commit_origin(cluster.offer(job, 2))
    late_replica = Replica()
    records = OffloadRecords(late_replica, lambda key: None)
    for key in ("l/req-1", "j/req-1"):
        revision, raw = next((s, raw) for s, k, raw in reversed(cluster.store.log) if k == key)
        late_replica.put(key, revision, raw, 0)
    records.mark_offloaded_tasks("req-1")
    assert late_replica.jobs["req-1"].offloaded_tasks == 0b11
    late_replica.delete("l/req-1", cluster.store.revision + 1)
    assert late_replica.jobs["req-1"].offloaded_tasks == 0 and not records.open_origin


def test_a_controller_without_federation_reports_unread_offloads():
    replica = Replica()
    assert not replica.put("l/req-1", 3, b"{}", 0) and replica.has_unread_offloads
    assert not Replica().has_unread_offloads


@given(
    st.lists(st.tuples(st.integers(0, 30), st.integers(0, 5), st.booleans()), max_size=8),
    st.integers(0, 12),
    st.integers(0, 10),
)
def test_returned_offloads_cover_the_waiting_demand_and_no_more(rows, wanted_cpus, waited_s):
    offloads, jobs = [], {}
    for i, (since, running, holding) in enumerate(rows):
        job_spec = spec(job_id=f"lent-huye-{i}-1", kind="array", tasks=5, cpus=1.0)
        job = Job(JobRecord(job_spec, 0), 1, 0)
        job.placed_tasks = (1 << running) - 1
        state = handoff.HOLDING if holding else handoff.STOPPING
        offloads.append(
            (
                ("huye", f"req-{i}"),
                RemoteRecord(handoff.RemoteOffload(state, 1, 31), ResourceAmounts(1, 0, 0), since),
                job,
            )
        )
        jobs["huye", f"req-{i}"] = (since, running, holding)
    estimate = CapacityEstimate(
        own_demand=(float(wanted_cpus), 0.0, 0.0), own_waiting_since_us=0 if wanted_cpus else None
    )
    out = offloads_to_return(estimate, offloads, waited_s * S, 5 * S, 10**12, 0)
    assert all(jobs[name][2] and jobs[name][1] for name in out)
    freed = sum(jobs[name][1] for name in out)
    returnable = sum(running for _, running, holding in jobs.values() if holding)
    if waited_s < 5 or not wanted_cpus:
        assert out == []
    else:
        assert freed >= min(wanted_cpus, returnable)
        # No offload is returned needlessly: without the last one the demand would not be covered.
        assert not out or freed - jobs[out[-1]][1] < wanted_cpus
        assert [jobs[n][0] for n in out] == sorted((jobs[n][0] for n in out), reverse=True)
    idle = [name for name, (_, running, holding) in jobs.items() if holding and not running]
    assert sorted(offloads_to_return(CapacityEstimate(), offloads, 0, 5 * S, 0, 0)) == sorted(idle)


def test_offered_capacity_is_idle_and_not_in_demand():
    estimate = CapacityEstimate(free=(50, 0, 100), own_demand=(20, 0, 0), peer_demand=(10, 0, 0))
    zero = (0.0, 0.0, 0.0)
    grant = Grant(100, 0, 100, spare=0)
    assert capacity_for_peer(grant, estimate, zero, (5.0, 0.0, 0.0), False) == (15, 0, 100)
    assert capacity_for_peer(grant, estimate, zero, zero, True) == zero
    # Rentable capacity is offered even if no machine is up, less the part that is in use.
    idle = CapacityEstimate(free=(0, 0, 0))
    assert capacity_for_peer(Grant(30, 0, 30, rent=True), idle, (10.0, 0.0, 40.0), zero, False) == (20, 0, 0)
    # It is not offered while own work waits, which takes all machines that can be rented.
    assert capacity_for_peer(Grant(30, 0, 30, rent=True), estimate, zero, zero, False) == zero


def cluster_with_running_job(tasks, machines, running):
    cluster = Cluster()
    from pearstep.state.records import LeaseHolderRecord, MachineRecord

    cluster.put("part/0", LeaseHolderRecord("a"))
    kind = next(iter(TYPES.values()))
    for i in range(machines):
        cluster.put(f"m/0/i-{i}", MachineRecord(kind.name, "a", False, "x"))
    busy = spec(
        job_id="req-9", kind="array", tasks=machines, cpus=kind.cpus, memory_gb=1.0, estimate_us=100 * S
    )
    cluster.put("j/req-9", JobRecord(busy, 0))
    places = {i: Placement(f"i-{i}", 1, 1, 0) for i in range(running)}
    cluster.put("r/0/req-9", RouteRecord(f"0-{machines - 1}"))
    cluster.put("p/0/req-9/0", PlacementRecord(places, "0", 1))
    return cluster, kind


def test_start_estimates_account_for_running_jobs():
    cluster, kind = cluster_with_running_job(2, 2, 2)
    cluster.put(
        "j/req-1",
        JobRecord(
            spec(job_id="req-1", kind="gang", tasks=2, cpus=kind.cpus, memory_gb=1.0, estimate_us=50 * S), 0
        ),
    )
    cluster.put(
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
    planner = RoutePlanner(1, cluster.replica, TYPES, {"t": Team("t")}, 1, 12, {})
    planner.plan(20 * S, 0, 20 * S)
    rows = waiting_with_estimates(planner, 1, {}, 30 * S, 10 * S, {"req-1": 2}, 20 * S, 20 * S)
    # Both machines are free at 100 s. A job bound to a local zone isn't offloaded, but keeps its place.
    assert [(w.ref, w.start_us, w.objective_us, w.task_count, w.is_queue_head, w.returned) for w in rows] == [
        ("req-1", 80 * S, 10 * S, 2, True, 2)
    ]
    assert waiting_with_estimates(planner, 1, {}, 30 * S, 25 * S, {}, 20 * S, 20 * S) == []
    assert not can_run_elsewhere(cluster.replica.jobs["req-2"])


@given(st.binary(max_size=30), st.lists(st.tuples(st.integers(0, 30), st.integers(1, 5)), max_size=4))
def test_holes_stay_holes_when_a_log_is_transferred(data, cuts):
    holes, at, kept = [], 0, bytearray(data)
    for gap, length in cuts:
        offset = at + gap
        if offset + length > len(data):
            break
        holes.append((100 + offset, length))
        kept[offset : offset + length] = bytes(length)
        at = offset + length
    parts = split_at_holes(100, bytes(kept), holes)
    position = 100
    for offset, length, part in parts:
        assert offset == position and length > 0 and (part is None or len(part) == length)
        position += length
    assert position == 100 + len(data)
    assert [(o, n) for o, n, p in parts if p is None] == holes


def test_ids_of_offloaded_jobs():
    local = local_job_id("huye", "req-42", 7)
    assert local == "lent-huye-42-7" and belongs_to_peer("huye", local)
    for peer in ("hu", "huye-42", "nyarugenge"):
        assert not belongs_to_peer(peer, local)
    attempt = {"task": 3, "attempt": 2, "machine": "i-7", "start": 4}
    assert origin_key("nyarugenge", "req-1", attempt).machine == "nyarugenge.i-7"


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


# -- two clusters, all steps in generated order -------------------------------------------------


class ClusterPair:
    """The origin and the remote cluster; each step is one transaction of one of them."""

    def __init__(self):
        self.origin, self.remote = Cluster(), Cluster()
        self.in_flight = []
        self.answers = []
        self.executions = []

    def send(self, to, messages):
        self.in_flight += [(to, m) for m in messages]

    def do(self, cluster, write, entry, to):
        if entry is not None and write(entry):
            self.send(to, [s.message for s in entry.messages])
            return True
        return False

    def deliver(self, to, message):
        if to == "guest":
            record = self.remote.records.remote_records.get(("huye", "req-1")) or RemoteRecord(
                handoff.RemoteOffload()
            )
            offload, messages = handoff.receive_at_remote(record.offload, message, True)
            if offload == record.offload:
                self.send("home", messages)
                return
            submitted_spec = (
                self.origin.replica.jobs["req-1"].spec if offload.state == handoff.RESERVED else record.spec
            )
            entry = LedgerEntry(
                "g/huye/req-1", record, RemoteRecord(offload, NEED, 0, submitted_spec), "huye", []
            )
            if self.remote.commit_remote(entry):
                self.send("home", messages)
            return
        record = self.origin.records.origin_records.get("req-1")
        if record is None:
            return
        offload, messages = handoff.receive_at_origin(record.offload, message)
        if offload == record.offload or self.origin.commit_origin(
            LedgerEntry("l/req-1", record, msgspec.structs.replace(record, offload=offload), "kigali", [])
        ):
            self.send("guest", messages)

    def remote_state(self):
        record = self.remote.records.remote_records.get(("huye", "req-1"))
        if record is None:
            return None, None, None
        name = local_job_id("huye", "req-1", record.offload.number)
        return record, name, self.remote.replica.jobs.get(name)

    def step(self, action):
        job = self.origin.replica.jobs["req-1"]
        record, name, remote_job = self.remote_state()
        if action == "offer" and not job.is_final:
            self.do(self.origin, self.origin.commit_origin, self.origin.offer(job, 2), "guest")
        elif action == "withdraw" and "req-1" in self.origin.records.open_origin:
            offload = self.origin.records.origin_records["req-1"].offload
            self.do(
                self.origin,
                self.origin.commit_origin,
                self.origin.ledger.change_origin("req-1", handoff.withdraw(offload)),
                "guest",
            )
        elif action == "cancel" and not job.is_final:
            origin_record = self.origin.records.origin_records.get("req-1")
            if origin_record is not None and origin_record.offload.state in (
                handoff.GRANTED,
                handoff.RECALLING,
            ):
                self.origin.put(
                    "l/req-1",
                    msgspec.structs.replace(origin_record, offload=handoff.cancel(origin_record.offload)[0]),
                )
            else:
                self.origin.put("j/req-1", JobRecord(job.spec, 1, JobState.CANCELLED, 2))
                self.answers.append(JobState.CANCELLED)
        elif action == "run here" and not job.is_final:
            runnable = job.spec.all_tasks & ~job.done_tasks & ~job.offloaded_tasks
            if runnable:
                task = runnable.bit_length() - 1
                self.executions.append(("home", task))
                placements = PlacementRecord({}, f"{(job.done_tasks | 1 << task):x}", 1)
                self.origin.put("p/0/req-1/0", placements)
                if job.all_tasks_done and job.state == JobState.QUEUED:
                    self.origin.put("j/req-1", JobRecord(job.spec, 1, JobState.DONE, 2))
        elif action == "begin" and record is not None and remote_job is None:
            job_record = remote_job_record("huye", "req-1", record, 0)
            if job_record is not None:
                key = "g/huye/req-1"
                self.remote.write(
                    ({f"j/{name}": job_record}, {key: self.remote.replica.version_of(key), f"j/{name}": 0})
                )
        elif action == "run there" and remote_job is not None and not remote_job.is_final:
            runnable = remote_job.spec.all_tasks & ~remote_job.done_tasks
            if runnable:
                task = runnable.bit_length() - 1
                self.executions.append(("guest", task))
                self.remote.put(
                    f"p/0/{name}/0", PlacementRecord({}, f"{remote_job.done_tasks | 1 << task:x}", 1)
                )
                if remote_job.all_tasks_done:
                    self.remote.put(f"j/{name}", JobRecord(remote_job.spec, 1, JobState.DONE, 2))
        elif action == "give back" and record is not None and record.offload.state == handoff.HOLDING:
            entry = self.remote.ledger.change_remote(
                "huye", "req-1", (handoff.begin_return(record.offload), [])
            )
            self.remote.commit_remote(entry)
        elif (
            action == "tend"
            and record is not None
            and record.offload.state in (handoff.HOLDING, handoff.STOPPING)
        ):
            if (remote_job is not None and remote_job.is_final) or (
                remote_job is None and record.offload.state == handoff.STOPPING
            ):
                offload, messages = record.offload, []
                done = (
                    0
                    if remote_job is None
                    else offload.task_mask
                    if remote_job.state == JobState.DONE
                    else remote_job.done_tasks & offload.task_mask
                )
                for task in range(3):
                    if done >> task & 1 and offload.state in (handoff.HOLDING, handoff.STOPPING):
                        offload, messages = handoff.task_done_at_remote(offload, task)
                if offload.state == handoff.STOPPING:
                    offload, messages = handoff.all_tasks_stopped(offload)
                entry = self.remote.ledger.change_remote("huye", "req-1", (offload, messages))
                self.do(self.remote, self.remote.commit_remote, entry, "home")
        elif action == "again":
            origin_record = self.origin.records.origin_records.get("req-1")
            self.send("guest", handoff.origin_messages(origin_record.offload) if origin_record else [])
            self.send("home", handoff.remote_messages(record.offload) if record else [])


STEPS = st.sampled_from(
    ["offer", "withdraw", "cancel", "run here", "begin", "run there", "give back", "tend", "again"]
    + ["deliver"] * 6
)


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(STEPS, st.integers(0, 10**6), st.booleans()), max_size=60))
def test_any_order_gives_one_final_state_and_no_task_done_in_both_clusters(steps):
    clusters = ClusterPair()
    job = clusters.origin.job(kind="array", tasks=3)
    states = [JobState.QUEUED]
    for action, pick, keep in steps:
        if action == "deliver":
            if clusters.in_flight:
                to, message = clusters.in_flight[pick % len(clusters.in_flight)]
                if not keep:
                    clusters.in_flight.remove((to, message))
                clusters.deliver(to, message)
        else:
            clusters.step(action)
        if job.state != states[-1]:
            states.append(job.state)
    # Then the link works and no user acts any more: every offload must end.
    for _ in range(30):
        for action in ("again", "begin", "run there", "tend", "run here"):
            clusters.step(action)
        delivered, clusters.in_flight = clusters.in_flight, []
        for to, message in delivered:
            clusters.deliver(to, message)
        if "req-1" in clusters.origin.records.open_origin and job.is_final:
            clusters.step("withdraw")
        if job.state != states[-1]:
            states.append(job.state)
    assert job.state in (JobState.DONE, JobState.CANCELLED) and len(states) == 2
    assert len(set(clusters.executions)) == len(clusters.executions)
    tasks = [task for _, task in clusters.executions]
    assert len(set(tasks)) == len(tasks), "a task was done in both clusters"
    if job.state == JobState.DONE:
        assert sorted(tasks) == [0, 1, 2]
    record, _, _ = clusters.remote_state()
    assert record is None or record.offload.state == handoff.NO_OFFLOAD
    assert not clusters.origin.records.open_origin


def test_records_of_peers_are_read_as_written():
    cluster = Cluster()
    cluster.put("peer/huye", PeerRecord(["127.0.0.1:1"], grant=Grant(4, 0, 4, rent=True)))
    assert cluster.records.peers["huye"].grant.rent
    cluster.replica.delete("peer/huye", cluster.store.revision + 1)
    assert cluster.records.peers == {}


def test_a_cancellation_waits_while_a_peer_holds_the_job():
    from pearstep.federation.extension import Federation

    cluster = Cluster()
    job = cluster.job(kind="array", tasks=2)

    class Store:
        async def commit(self, conditions, puts, urgency=0):
            from pearstep.transport.kv_client import CommitOutcome, CommitResult

            assert cluster.write(({k: v for k, (v, _) in puts.items()}, conditions))
            return CommitResult(CommitOutcome.COMMITTED, cluster.store.revision)

    class Node:
        kv = Store()

        class follower:
            @staticmethod
            def apply_own_commit(key, version, value):
                cluster.replica.put(key, version, msgspec.json.encode(value), 0)

    extension = Federation.__new__(Federation)
    extension.records, extension.replica, extension.controller = cluster.records, cluster.replica, Node()

    def ask():
        return asyncio.run(extension.before_cancellation(job))

    # Never offloaded: the cancellation requires that it still isn't when it is written.
    assert ask() == {"l/req-1": 0}
    assert cluster.commit_origin(cluster.offer(job, 2))
    assert ask() == {"l/req-1": cluster.replica.version_of("l/req-1")}
    assert cluster.commit_origin(origin_entry(cluster, handoff.ACCEPT))
    assert ask() is None and cluster.records.origin_records["req-1"].offload.cancel_requested
    version = cluster.replica.version_of("l/req-1")
    assert (
        ask() is None and cluster.replica.version_of("l/req-1") == version
    )  # a repeated request writes nothing
    assert isinstance(cluster.records.origin_records["req-1"], OriginRecord)
