"""Tests of compaction in controllers that serve users, against a reference that keeps every job.

The controllers' real code runs over an in-memory state service. Transactions are lost, late or refused, and
controllers restart, lose their lease, or find that the change log no longer reaches back far enough.
"""

import asyncio
import contextlib
import random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearstep.controller.job_api import JobApi
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import Leading
from pearstep.domain.job_state import JobState
from pearstep.domain.team import Team
from pearstep.domain.units import SECOND_US
from pearstep.emulator.key_value_store import InMemoryStore, LeaseNotFoundError
from pearstep.history import blocks, extension, tree
from pearstep.history.eligibility import compactable_job, compactable_jobs
from pearstep.history.extension import CompactionExtension, may_compact
from pearstep.history.settings import HistorySettings, HistorySettingsError, load
from pearstep.protocol import controller_messages as wire
from pearstep.protocol.emulator_messages import decode_transaction
from pearstep.state.records import JobRecord, LeaseHolderRecord, Placement, PlacementRecord, RouteRecord
from pearstep.state.replica import Replica
from pearstep.state.transactions import TransactionLimits
from pearstep.transport.kv_client import CommitOutcome, CommitResult
from tests.test_formats import SUBMISSION
from tests.world import TYPES, spec

DAY_US = 10**12
SHARD_COUNT = 2
JOB = {**SUBMISSION, "shape": "batch", "parcels": 2, "breeds": None, "holder": "t", "memoryGb": 8.0}


class World:
    """The state service; transactions in ``late`` were sent and may be applied at any later time."""

    def __init__(self):
        self.keys = InMemoryStore()
        self.late = []
        self.now = SECOND_US
        self.accepted = set()
        self.final = {}

    def apply(self, body):
        before = {k for k in self.keys.keys if k.startswith("j/")}
        txn = decode_transaction(body)
        assert len(txn.ops) <= 16 and len(txn.conditions) <= 64
        try:
            result = self.keys.apply_transaction(txn)
        except LeaseNotFoundError:
            return CommitResult(CommitOutcome.NO_LEASE)
        if isinstance(result, list):
            return CommitResult(CommitOutcome.CONFLICT, self.keys.revision, result)
        for key in {k for k in self.keys.keys if k.startswith("j/")} - before:
            assert key[2:] not in self.accepted, f"{key[2:]} was accepted twice"
            self.accepted.add(key[2:])
        return CommitResult(CommitOutcome.COMMITTED, result)

    def deliver(self, pick):
        if self.late:
            self.apply(self.late.pop(pick % len(self.late)))


class Store:
    """A node's client of the state service; ``mode`` selects the outcome of the next transaction."""

    def __init__(self, world):
        self.world = world
        self.unavailable_since_us = None
        self.mode = "ok"
        self.too_old = False
        self.reads = 0

    async def commit(self, conditions, puts, deletes=None, urgency=1):
        mode, self.mode = self.mode, "ok"
        body = wire.encode_transaction(conditions, puts, deletes or [])
        if mode == "refused":
            return CommitResult(CommitOutcome.REFUSED)
        if mode == "malformed":
            return CommitResult(CommitOutcome.MALFORMED)
        if mode == "late":
            self.world.late.append(body)
            return CommitResult(CommitOutcome.UNKNOWN)
        outcome = self.world.apply(body)
        return CommitResult(CommitOutcome.UNKNOWN) if mode == "lost" else outcome

    async def read_changes(self, after, wait_ms, urgency=1):
        log = self.world.keys.changes_after("", after)
        if self.too_old or log is None:
            self.too_old = False
            return 410
        events = [
            wire.Change(v, delete=k) if raw is None else wire.Change(v, put=k, value=msgspec.Raw(raw))
            for v, k, raw in log
        ]
        return wire.Changes(self.world.keys.revision, events)

    async def read_page(self, prefix, after, urgency=1):
        stored, more = self.world.keys.read_page(prefix, after or "", 3)
        pairs = [wire.KeyValue(k, msgspec.Raw(raw), v) for k, v, raw, _ in stored]
        return wire.KeyPage(pairs, self.world.keys.revision, more)

    async def list_all(self, prefix="", end_key=""):
        keys = self.world.keys
        pairs = [wire.KeyValue(k, msgspec.Raw(raw), v) for k, (v, raw, _) in keys.keys.items() if k < end_key]
        return pairs, keys.revision

    async def read(self, key, urgency=1):
        self.reads += 1
        await asyncio.sleep(0)
        stored = self.world.keys.keys.get(key)
        return wire.KeyValue(key, msgspec.Raw(stored[1]), stored[0]) if stored else False

    def is_unavailable(self):
        return False

    def has_spare_writes(self, changes):
        return True


class Node:
    """A controller reduced to its replica, the job API and the compaction extension."""

    def __init__(self, world, name, keep=1):
        self.node, self.world = name, world
        self.kv, self.replica = Store(world), Replica()
        self.follower = ReplicaFollower(
            self.kv, self.replica, Leading(refresh_ms=0.001), lambda key, known: None, lambda: None
        )
        self.job_api = JobApi(
            self.kv,
            self.replica,
            {"t": Team("t")},
            self.follower.read_barrier,
            self.follower.apply_own_commit,
            lambda: 1,
            1,
            TransactionLimits(12, 48, 16_384),
        )
        self.job_api.machine_types, self.job_api.ready = TYPES, True
        self.leases = SimpleNamespace(lease_id=None, may_act=lambda: True, leadership=None, version=1)
        state = SimpleNamespace(write_rps=20.0, txn_ops=16, value_kb=0.1)
        self.settings = SimpleNamespace(
            shard_count=SHARD_COUNT, params=SimpleNamespace(state=state), txn_ops=6
        )
        self.compacting = CompactionExtension(HistorySettings(rest_s=1, keep=keep, batch=1, step_s=1e-9))
        self.compacting.attach(self)
        self.lease()

    def lease(self):
        self.leases.lease_id = self.world.keys.grant_lease(10**15, 0)

    def lose_lease(self):
        self.world.keys.end_lease(self.leases.lease_id)
        self.lease()

    async def read(self):
        while await self.compacting.reader.catch_up(self.follower.loads):
            pass

    async def start(self):
        assert await self.follower.load()
        return self


def add_shard_holders(world):
    """Let each shard be held by a node that can read the history."""
    for part in range(SHARD_COUNT):
        raw = msgspec.json.encode(LeaseHolderRecord(f"n{part}", 2))
        world.keys.revision += 1
        world.keys._write_key(f"part/{part}", raw, None)


async def poll_job(node, ref):
    status, body, _ = await node.job_api.poll(ref)
    return status, msgspec.json.decode(body)


async def check(world, nodes, refs):
    for node in nodes:
        for ref in refs:
            status, answer = await poll_job(node, ref)
            if ref not in world.accepted:
                assert status == 404, f"{ref} was invented: {answer}"
            else:
                assert status == 200, f"{ref} was forgotten"
                expected_state, done = world.final.get(ref, ("queued", 0))
                assert (answer["stage"], answer["done"]) == (wire.JOB_STATE_TO_WIRE[expected_state], done)


def write(world, conditions, puts):
    outcome = world.apply(wire.encode_transaction(conditions, {k: (v, None) for k, v in puts.items()}, []))
    assert outcome.state == CommitOutcome.COMMITTED


def finish(world, ref, cancelled):
    """Write the records of a job whose tasks are done, or which a user cancelled with one task done."""
    stored = world.keys.keys.get(f"j/{ref}")
    if stored is None or ref in world.final:
        return
    record = msgspec.json.decode(stored[1], type=JobRecord)
    state, done = ("cancelled", 1) if cancelled else (JobState.DONE, record.spec.tasks)
    finished_record = JobRecord(record.spec, record.submitted_at_us, state, 5)
    puts = {
        f"j/{ref}": finished_record,
        f"r/0/{ref}": RouteRecord("0-1"),
        f"p/0/{ref}/0": PlacementRecord({}, "1" if cancelled else "3"),
    }
    write(world, {f"j/{ref}": stored[0]}, puts)
    world.final[ref] = (state, done)


REFS = [f"req-{n}" for n in (3, 44, 500, 6001, 70002, 800003)]
EVENT_KINDS = ["submit", "submit", "finish", "finish", "deliver", "restart", "lease", "gap", "late route"]
EVENT_KINDS += ["compact"] * 14
MODES = ["ok", "ok", "ok", "ok", "lost", "late", "refused"]


def random_events(seed, count=100):
    """Draw events from a seed: lists drawn by hypothesis stay too short for a compaction to complete."""
    rng = random.Random(seed)
    return [
        (rng.choice(EVENT_KINDS), rng.randrange(12), rng.choice(MODES), rng.random() < 0.5)
        for _ in range(count)
    ]


async def run_events(world, events, node_type=Node):
    nodes = [await node_type(world, f"n{i}").start() for i in range(2)]
    for node in nodes:
        await node.read()
    for what, pick, mode, flag in events:
        world.now += 6 * SECOND_US
        node, ref = nodes[flag], REFS[pick % len(REFS)]
        if what == "submit":
            node.kv.mode = mode
            status, _, _ = await node.job_api.submit(msgspec.json.encode({**JOB, "ref": ref}))
            node.kv.mode = "ok"
            assert status in (200, 201, 503)
            assert status == 503 or ref in world.accepted
        elif what == "finish":
            finish(world, ref, pick > 8)
        elif what == "deliver":
            world.deliver(pick)
        elif what == "restart":
            nodes[flag] = await node_type(world, node.node).start()
            if pick > 5:
                await nodes[flag].read()
        elif what == "lease":
            node.lose_lease()
        elif what == "gap":
            node.kv.too_old = True
        elif what == "late route" and ref in world.final:
            # The leader's write of a route was in flight when the job ended; only its conditions protect it.
            raw = wire.encode_transaction({f"r/1/{ref}": 0}, {f"r/1/{ref}": (RouteRecord("1"), None)}, [])
            world.late.append(raw)
        else:
            for _ in range(1 + pick // 4):
                node.kv.mode = mode
                await node.compacting.step()
                node.kv.mode = "ok"
                world.now += 6 * SECOND_US
            await node.read()
        await check(world, nodes, REFS)
    return nodes


@contextlib.contextmanager
def new_world():
    """Yield a world whose clock the nodes read; two runs are enough for a merge."""
    world = World()
    add_shard_holders(world)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(extension, "now_us", lambda: world.now)
        patch.setattr(extension, "wall_us", lambda: DAY_US + world.now)
        patch.setattr(tree, "FANOUT", 2)
        yield world


async def settle(world):
    """Let one undisturbed node finish all compaction, and return it."""
    world.late.clear()
    for lease in list(world.keys.leases):
        world.keys.end_lease(lease)
    node = await Node(world, "n0").start()
    await node.read()
    for _ in range(150):
        world.now += 6 * SECOND_US
        await node.compacting.step()
    return node


@settings(max_examples=60)
@given(st.integers(0, 10**6))
def test_all_nodes_report_the_same_jobs_despite_interrupted_compactions(seed):
    async def scenario(world):
        await run_events(world, random_events(seed))
        node = await settle(world)
        await check(world, [node], REFS)
        keys = world.keys.keys
        assert len([k for k in keys if k[:2] == "j/" and k[2:] in world.final]) <= 1
        assert [k for k in keys if k[:2] in ("r/", "p/") and f"j/{k.split('/')[2]}" not in keys] == []
        roots = node.compacting.reader.roots
        named = {
            tree.block_key(b, r.name, i)
            for b, root in roots.items()
            for r in root.runs
            for i in range(len(r.first_numbers))
        }
        assert named == {k for k in keys if k.startswith("zb/")}
        assert not node.compacting.reader.damaged and "compactor" not in keys

    run_in_world(scenario)


# -- the failure that each guard prevents -----------------------------------------------------------------


async def two_finished(world, keep=1):
    """Return two nodes with two finished jobs, one of which is due for compaction."""
    nodes = [await Node(world, f"n{i}", keep).start() for i in range(2)]
    for node in nodes:
        await node.read()
    for ref in REFS[:2]:
        assert (await nodes[0].job_api.submit(msgspec.json.encode({**JOB, "ref": ref})))[0] == 201
        finish(world, ref, False)
    await nodes[0].follower.read_barrier()
    return nodes


async def step_until(world, node, until):
    """Run steps until a condition holds; fail if it doesn't within 80 steps."""
    for _ in range(80):
        if until():
            return
        world.now += 6 * SECOND_US
        await node.follower.read_barrier()
        await node.compacting.step()
    raise AssertionError("the condition did not hold within 80 steps")


async def one_moved(world):
    """Return two nodes after the first finished job has been compacted."""
    nodes = await two_finished(world)
    await step_until(world, nodes[0], lambda: f"j/{REFS[0]}" not in world.keys.keys)
    return nodes


def run_in_world(work):
    """Run a scenario in a new world."""
    with new_world() as world:
        asyncio.run(work(world))


def root_keys(world):
    return [k for k in world.keys.keys if k.startswith("hr/")]


def apply_late_root(fence):
    """The transaction of a root is late, so that no root seems to reference its blocks, which are swept."""

    async def scenario(world):
        first_node, _ = await two_finished(world)
        await step_until(world, first_node, lambda: any(k.startswith("zb/") for k in world.keys.keys))
        first_node.kv.mode = "late"
        if not fence:
            first_node.compacting._fence = abandon_step
        await step_until(world, first_node, lambda: world.late)
        # No job is due now, so that unreferenced blocks are swept.
        first_node.compacting.limits = msgspec.structs.replace(first_node.compacting.limits, batch=1000)
        if first_node.compacting.planner is not None:
            first_node.compacting.planner.limits = first_node.compacting.limits
        await step_until(world, first_node, lambda: not any(k.startswith("zb/") for k in world.keys.keys))
        world.deliver(0)
        first_node.compacting.limits = msgspec.structs.replace(first_node.compacting.limits, batch=1)
        node = await settle(world)
        assert not node.compacting.reader.damaged
        await check(world, [node], REFS)
        assert f"j/{REFS[0]}" not in world.keys.keys
        assert [r.name for root in node.compacting.reader.roots.values() for r in root.runs]

    async def abandon_step(planner):
        planner.record_outcome(False)

    run_in_world(scenario)


def test_a_late_root_never_references_a_swept_block():
    apply_late_root(fence=True)
    with pytest.raises(AssertionError):
        apply_late_root(fence=False)


def apply_late_submission(conditional):
    """Both nodes accept the same job; the transaction of one arrives after the job was compacted."""

    async def scenario(world):
        nodes = [await Node(world, f"n{i}").start() for i in range(2)]
        for node in nodes:
            await node.read()
        if not conditional:
            find_job = nodes[1].job_api.history.find

            async def find_without_conditions(ref):
                answer = await find_job(ref)
                return {} if isinstance(answer, dict) else answer

            nodes[1].job_api.history = SimpleNamespace(find=find_without_conditions)
        body = msgspec.json.encode({**JOB, "ref": REFS[0]})
        nodes[1].kv.mode = "late"
        assert (await nodes[1].job_api.submit(body))[0] == 503
        for ref in REFS[:2]:
            assert (await nodes[0].job_api.submit(msgspec.json.encode({**JOB, "ref": ref})))[0] == 201
            finish(world, ref, False)
        await step_until(world, nodes[0], lambda: f"j/{REFS[0]}" not in world.keys.keys)
        world.deliver(0)
        await check(world, nodes, REFS)
        assert (await nodes[1].job_api.submit(body))[0] == 200

    run_in_world(scenario)


def test_a_late_submission_of_a_compacted_job_is_not_accepted():
    apply_late_submission(conditional=True)
    with pytest.raises(AssertionError, match="accepted twice"):
        apply_late_submission(conditional=False)


def test_a_submission_is_retried_if_the_root_changed_meanwhile():
    async def scenario(world):
        first_node, second_node = await two_finished(world)
        number = next(
            n
            for n in range(100, 10**6)
            if tree.bucket_of(blocks.parse_job_number(f"req-{n}"))
            == tree.bucket_of(blocks.parse_job_number(REFS[0]))
        )
        await step_until(world, first_node, lambda: f"j/{REFS[0]}" not in world.keys.keys)
        # The second node has an old root: its first transaction conflicts on the root, the next succeeds.
        status, _, _ = await second_node.job_api.submit(msgspec.json.encode({**JOB, "ref": f"req-{number}"}))
        assert status == 201 and f"j/req-{number}" in world.keys.keys

    run_in_world(scenario)


def test_no_job_is_compacted_before_every_node_can_read_the_history():
    view = Replica()
    assert not may_compact(view, 2)
    view.put("part/0", 1, msgspec.json.encode(LeaseHolderRecord("n0", 2)), 0)
    view.put("part/1", 2, msgspec.json.encode(LeaseHolderRecord("n0", 2)), 0)
    assert not may_compact(view, 2)  # one node holds both shards: the other node may run an older release
    view.put("part/1", 3, msgspec.json.encode(LeaseHolderRecord("n1", 1)), 0)
    assert not may_compact(view, 2)
    view.put("part/1", 4, msgspec.json.encode(LeaseHolderRecord("n1", 2)), 0)
    assert may_compact(view, 2)
    view.put("part/1", 5, msgspec.json.encode(LeaseHolderRecord("")), 0)
    assert not may_compact(view, 2)


def test_a_node_that_cannot_read_the_history_answers_503():
    async def scenario(world):
        first_node, _ = await one_moved(world)
        node_without_reader = await Node(world, "n2").start()
        node_without_reader.job_api.history = None
        node_without_reader.replica.extension_readers.clear()
        node_without_reader.replica.has_unread_history = True
        assert (await node_without_reader.job_api.poll(REFS[0]))[0] == 503
        assert (await node_without_reader.job_api.submit(msgspec.json.encode({**JOB, "ref": REFS[0]})))[
            0
        ] == 503
        assert (await node_without_reader.job_api.poll(REFS[1]))[0] == 200
        view = Replica()
        view.put("hr/3", 5, b"[[],1]", 0)
        assert view.has_unread_history

    run_in_world(scenario)


def test_concurrent_lookups_share_a_read_and_their_number_is_limited():
    async def scenario(world):
        first_node, _ = await one_moved(world)
        node = await Node(world, "n1").start()
        answers = await asyncio.gather(*(node.job_api.history.find(REFS[0]) for _ in range(60)))
        assert node.kv.reads == 1 and sum(answer is not None for answer in answers) == 32
        assert (await node.job_api.poll(REFS[0]))[0] == 200 and node.kv.reads == 1
        assert (await node.job_api.cancel(REFS[0]))[0] == 200
        # With a filter, lookups of ids that were never submitted need no read, apart from false positives.
        await node.read()
        for n in range(100, 110):
            assert (await node.job_api.poll(f"req-{n}"))[0] == 404
        assert node.kv.reads <= 2

    run_in_world(scenario)


def test_a_malformed_step_is_followed_by_smaller_ones():
    async def scenario(world):
        first_node, _ = await two_finished(world)
        compacting = first_node.compacting
        before = compacting.limits
        await step_until(world, first_node, lambda: compacting.planner is not None)
        first_node.kv.mode = "malformed"
        await step_until(world, first_node, lambda: compacting.limits != before)
        assert compacting.limits.max_ops == before.max_ops // 2 and not compacting.stopped
        await step_until(world, first_node, lambda: f"j/{REFS[0]}" not in world.keys.keys)
        await settle(world)

    run_in_world(scenario)


def test_compaction_stops_if_a_single_change_is_malformed():
    async def scenario(world):
        first_node, _ = await two_finished(world)
        compacting = first_node.compacting
        await step_until(world, first_node, lambda: compacting.planner is not None)
        compacting.limits = msgspec.structs.replace(compacting.limits, max_ops=1, max_records=1)
        first_node.kv.mode = "malformed"
        await step_until(world, first_node, lambda: compacting.stopped)
        before = world.keys.revision
        for _ in range(5):
            world.now += 6 * SECOND_US
            await compacting.step()
        assert world.keys.revision == before

    run_in_world(scenario)


def test_a_root_with_fewer_jobs_than_before_is_reported_and_not_used():
    async def scenario(world):
        first_node, _ = await one_moved(world)
        world.keys.revision += 1
        world.keys._write_key(root_keys(world)[0], b"[[],0]", None)
        await first_node.follower.read_barrier()
        assert (await first_node.job_api.poll(REFS[0]))[0] == 200
        assert first_node.compacting.reader.damaged == root_keys(world)
        world.now += 6 * SECOND_US
        before = world.keys.revision
        await first_node.compacting.step()
        assert world.keys.revision == before  # compaction writes nothing while a root is damaged

    run_in_world(scenario)


def test_which_jobs_are_compactable():
    view = Replica()

    def put(key, stamp, record):
        view.put(key, stamp, msgspec.json.encode(record), 0)

    def compactable(ref):
        return compactable_job(ref, view.jobs[ref], 8)

    for n, (ref, state) in enumerate(
        [
            ("req-1", JobState.DONE),
            ("req-2", "cancelled"),
            ("req-3", "queued"),
            ("lent-x-1", JobState.DONE),
            ("req-4", JobState.DONE),
        ]
    ):
        put(f"j/{ref}", 10 + n, JobRecord(spec(ref), 0, state, 5 * SECOND_US))
    assert compactable("req-1").records == (("j/req-1", 10),) and compactable("req-1").final.done == 2
    put("r/1/req-2", 20, RouteRecord("0-1"))
    put("p/1/req-2/0", 21, PlacementRecord({0: Placement("m", 1, 1, 0)}, "2"))
    assert compactable("req-2") is None  # one of its tasks may still run
    put("p/1/req-2/0", 22, PlacementRecord({}, "2"))
    assert compactable("req-2").records == (("r/1/req-2", 20), ("p/1/req-2/0", 22), ("j/req-2", 11))
    assert compactable("req-2").final.done == 1 and compactable_job("req-2", view.jobs["req-2"], 2) is None
    assert compactable("req-3") is None and compactable("lent-x-1") is None
    assert [s.final.number for s in compactable_jobs(view, 6 * SECOND_US, SECOND_US, 8)] == [11, 12, 14]
    assert compactable_jobs(view, 6 * SECOND_US, 2 * SECOND_US, 8) == []
    view.versions["l/req-4"] = 3
    assert [s.final.number for s in compactable_jobs(view, 6 * SECOND_US, SECOND_US, 8)] == [11, 12]


def test_an_invalid_setting_is_named(tmp_path):
    file = tmp_path / "history.yaml"
    file.write_text("share: 2\n")
    with pytest.raises(HistorySettingsError, match="share"):
        load(str(file))
    assert load("deploy/history.yaml") == HistorySettings()


def test_a_compactor_that_has_not_read_the_roots_writes_nothing():
    # Seen: a command loaded the keys before its reader was attached, and tried to sweep all blocks.
    async def scenario(world):
        first_node, _ = await one_moved(world)
        for lease in list(world.keys.leases):
            world.keys.end_lease(lease)
        node_without_reader = Node(world, "n3")
        others = dict(node_without_reader.replica.extension_readers)
        node_without_reader.replica.extension_readers.clear()
        await node_without_reader.follower.load()
        node_without_reader.replica.extension_readers.update(others)
        await node_without_reader.read()
        assert (
            node_without_reader.compacting.reader.fully_listed
            and node_without_reader.replica.has_unread_history
        )
        before = world.keys.revision
        for _ in range(5):
            world.now += 6 * SECOND_US
            await node_without_reader.compacting.step()
        assert world.keys.revision == before

    run_in_world(scenario)


def test_damaged_records_are_reported_and_the_replica_continues():
    async def scenario(world):
        first_node, _ = await one_moved(world)
        for key, raw in (("zb/3/9-9/0", b"[1]"), ("zb/x", b'"a"'), ("hr/x", b"[[],1]"), ("hr/4", b'"a"')):
            world.keys.revision += 1
            world.keys._write_key(key, raw, None)
        assert (await first_node.job_api.submit(msgspec.json.encode({**JOB, "ref": REFS[2]})))[0] == 201
        assert await first_node.follower.read_barrier()
        assert first_node.compacting.reader.damaged == ["zb/3/9-9/0", "zb/x", "hr/x", "hr/4"]
        await check(world, [first_node], REFS[:3])

    run_in_world(scenario)
