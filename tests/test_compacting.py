"""Finished jobs leave their records while nodes answer: the nodes' real code over a state service in memory,
whose answers are lost, late or refused, with nodes that start anew, lose their lease, or find the change log
too short, against a reference that keeps everything.
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
from pearstep.history import blocks, tree
from pearstep.history import extension as place_module
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
PARTS = 2
JOB = {**SUBMISSION, "shape": "batch", "parcels": 2, "breeds": None, "holder": "t", "memoryGb": 8.0}


class World:
    """The state service; ``late`` transactions were sent and may be applied at any later time."""

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
            found = self.keys.apply_transaction(txn)
        except LeaseNotFoundError:
            return CommitResult(CommitOutcome.NO_LEASE)
        if isinstance(found, list):
            return CommitResult(CommitOutcome.CONFLICT, self.keys.revision, found)
        for key in {k for k in self.keys.keys if k.startswith("j/")} - before:
            assert key[2:] not in self.accepted, f"{key[2:]} was accepted twice"
            self.accepted.add(key[2:])
        return CommitResult(CommitOutcome.COMMITTED, found)

    def deliver(self, pick):
        if self.late:
            self.apply(self.late.pop(pick % len(self.late)))


class Store:
    """One node's way to it. ``mode`` is what becomes of the next transaction."""

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
        found, more = self.world.keys.read_page(prefix, after or "", 3)
        pairs = [wire.KeyValue(k, msgspec.Raw(raw), v) for k, v, raw, _ in found]
        return wire.KeyPage(pairs, self.world.keys.revision, more)

    async def list_all(self, prefix="", end_key=""):
        keys = self.world.keys
        pairs = [wire.KeyValue(k, msgspec.Raw(raw), v) for k, (v, raw, _) in keys.keys.items() if k < end_key]
        return pairs, keys.revision

    async def read(self, key, urgency=1):
        self.reads += 1
        await asyncio.sleep(0)
        found = self.world.keys.keys.get(key)
        return wire.KeyValue(key, msgspec.Raw(found[1]), found[0]) if found else False

    def is_unavailable(self):
        return False

    def has_spare_writes(self, changes):
        return True


class Node:
    """What a controller has of this: its view, its users, and its place among those who compact."""

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
        self.settings = SimpleNamespace(shard_count=PARTS, params=SimpleNamespace(state=state), txn_ops=6)
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


def held(world):
    """All parts are held by nodes that understand this."""
    for part in range(PARTS):
        raw = msgspec.json.encode(LeaseHolderRecord(f"n{part}", 2))
        world.keys.revision += 1
        world.keys._write_key(f"part/{part}", raw, None)


async def stage(node, ref):
    status, body, _ = await node.job_api.poll(ref)
    return status, msgspec.json.decode(body)


async def check(world, nodes, refs):
    for node in nodes:
        for ref in refs:
            status, said = await stage(node, ref)
            if ref not in world.accepted:
                assert status == 404, f"{ref} was invented: {said}"
            else:
                assert status == 200, f"{ref} was forgotten"
                want, done = world.final.get(ref, ("queued", 0))
                assert (said["stage"], said["done"]) == (wire.JOB_STATE_TO_WIRE[want], done)


def write(world, conditions, puts):
    outcome = world.apply(wire.encode_transaction(conditions, {k: (v, None) for k, v in puts.items()}, []))
    assert outcome.state == CommitOutcome.COMMITTED


def finish(world, ref, cancelled):
    """Its tasks are done, or a user cancels it with one of them done."""
    found = world.keys.keys.get(f"j/{ref}")
    if found is None or ref in world.final:
        return
    rec = msgspec.json.decode(found[1], type=JobRecord)
    state, done = ("cancelled", 1) if cancelled else (JobState.DONE, rec.spec.tasks)
    over = JobRecord(rec.spec, rec.submitted_at_us, state, 5)
    puts = {
        f"j/{ref}": over,
        f"r/0/{ref}": RouteRecord("0-1"),
        f"p/0/{ref}/0": PlacementRecord({}, "1" if cancelled else "3"),
    }
    write(world, {f"j/{ref}": found[0]}, puts)
    world.final[ref] = (state, done)


REFS = [f"req-{n}" for n in (3, 44, 500, 6001, 70002, 800003)]
KINDS = ["submit", "submit", "finish", "finish", "deliver", "restart", "lease", "gap", "late route"]
KINDS += ["compact"] * 14
MODES = ["ok", "ok", "ok", "ok", "lost", "late", "refused"]


def events_of(seed, count=100):
    """Drawn by a seed: lists drawn one by one stay too short for a compaction to come to its end."""
    rng = random.Random(seed)
    return [
        (rng.choice(KINDS), rng.randrange(12), rng.choice(MODES), rng.random() < 0.5) for _ in range(count)
    ]


async def play(world, events, node_type=Node):
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
            # The leader had it on its way when the job ended; its own conditions are all that it has.
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
    """A world whose clock the nodes read, with merges from two runs on."""
    world = World()
    held(world)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(place_module, "now_us", lambda: world.now)
        patch.setattr(place_module, "wall_us", lambda: DAY_US + world.now)
        patch.setattr(tree, "FANOUT", 2)
        yield world


async def settle(world):
    """A node that nobody disturbs brings everything to its end."""
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
def test_every_node_tells_the_same_of_every_job_whatever_becomes_of_a_compaction(seed):
    async def all_of_it(world):
        await play(world, events_of(seed))
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

    in_world(all_of_it)


# -- what each guard is for -------------------------------------------------------------------------------


async def two_finished(world, keep=1):
    """Two nodes, and two finished jobs of which one is to leave its records."""
    nodes = [await Node(world, f"n{i}", keep).start() for i in range(2)]
    for node in nodes:
        await node.read()
    for ref in REFS[:2]:
        assert (await nodes[0].job_api.submit(msgspec.json.encode({**JOB, "ref": ref})))[0] == 201
        finish(world, ref, False)
    await nodes[0].follower.read_barrier()
    return nodes


async def steps(world, node, until):
    """Step until something is so; fails if it never is."""
    for _ in range(80):
        if until():
            return
        world.now += 6 * SECOND_US
        await node.follower.read_barrier()
        await node.compacting.step()
    raise AssertionError("it never came to that")


async def one_moved(world):
    """Two nodes; the first finished job has left its records."""
    nodes = await two_finished(world)
    await steps(world, nodes[0], lambda: f"j/{REFS[0]}" not in world.keys.keys)
    return nodes


def in_world(work):
    """Play something in a world of its own."""
    with new_world() as world:
        asyncio.run(work(world))


def roots_of(world):
    return [k for k in world.keys.keys if k.startswith("hr/")]


def late_root(fence):
    """The root that names a block is on its way without an answer. Its blocks seem to be named by nothing."""

    async def all_of_it(world):
        one, _ = await two_finished(world)
        await steps(world, one, lambda: any(k.startswith("zb/") for k in world.keys.keys))
        one.kv.mode = "late"
        if not fence:
            one.compacting._fence = forget_it
        await steps(world, one, lambda: world.late)
        # No job is due for a while; what is left lying about is swept.
        one.compacting.limits = msgspec.structs.replace(one.compacting.limits, batch=1000)
        if one.compacting.planner is not None:
            one.compacting.planner.limits = one.compacting.limits
        await steps(world, one, lambda: not any(k.startswith("zb/") for k in world.keys.keys))
        world.deliver(0)
        one.compacting.limits = msgspec.structs.replace(one.compacting.limits, batch=1)
        node = await settle(world)
        assert not node.compacting.reader.damaged
        await check(world, [node], REFS)
        assert f"j/{REFS[0]}" not in world.keys.keys
        assert [r.name for root in node.compacting.reader.roots.values() for r in root.runs]

    async def forget_it(planner):
        planner.record_outcome(False)

    in_world(all_of_it)


def test_a_root_that_arrives_late_names_no_block_that_was_swept():
    late_root(fence=True)
    with pytest.raises(AssertionError):
        late_root(fence=False)


def late_submission(conditional):
    """Both nodes are asked to accept a job; one's transaction arrives when the job has left its records."""

    async def all_of_it(world):
        nodes = [await Node(world, f"n{i}").start() for i in range(2)]
        for node in nodes:
            await node.read()
        if not conditional:
            ask = nodes[1].job_api.history.find

            async def without(ref):
                found = await ask(ref)
                return {} if isinstance(found, dict) else found

            nodes[1].job_api.history = SimpleNamespace(find=without)
        body = msgspec.json.encode({**JOB, "ref": REFS[0]})
        nodes[1].kv.mode = "late"
        assert (await nodes[1].job_api.submit(body))[0] == 503
        for ref in REFS[:2]:
            assert (await nodes[0].job_api.submit(msgspec.json.encode({**JOB, "ref": ref})))[0] == 201
            finish(world, ref, False)
        await steps(world, nodes[0], lambda: f"j/{REFS[0]}" not in world.keys.keys)
        world.deliver(0)
        await check(world, nodes, REFS)
        assert (await nodes[1].job_api.submit(body))[0] == 200

    in_world(all_of_it)


def test_a_submission_that_arrives_after_its_job_has_left_its_records_is_not_accepted():
    late_submission(conditional=True)
    with pytest.raises(AssertionError, match="accepted twice"):
        late_submission(conditional=False)


def test_a_submission_looks_anew_if_the_history_was_written_to_meanwhile():
    async def all_of_it(world):
        one, two = await two_finished(world)
        number = next(
            n
            for n in range(100, 10**6)
            if tree.bucket_of(blocks.parse_job_number(f"req-{n}"))
            == tree.bucket_of(blocks.parse_job_number(REFS[0]))
        )
        await steps(world, one, lambda: f"j/{REFS[0]}" not in world.keys.keys)
        # Node two has not heard of it: its first transaction fails by the root, and the next is right.
        status, _, _ = await two.job_api.submit(msgspec.json.encode({**JOB, "ref": f"req-{number}"}))
        assert status == 201 and f"j/req-{number}" in world.keys.keys

    in_world(all_of_it)


def test_nothing_leaves_its_records_before_every_node_knows_how_to_read_it():
    view = Replica()
    assert not may_compact(view, 2)
    view.put("part/0", 1, msgspec.json.encode(LeaseHolderRecord("n0", 2)), 0)
    view.put("part/1", 2, msgspec.json.encode(LeaseHolderRecord("n0", 2)), 0)
    assert not may_compact(view, 2)  # one node holds both: the other may be an older one
    view.put("part/1", 3, msgspec.json.encode(LeaseHolderRecord("n1", 1)), 0)
    assert not may_compact(view, 2)
    view.put("part/1", 4, msgspec.json.encode(LeaseHolderRecord("n1", 2)), 0)
    assert may_compact(view, 2)
    view.put("part/1", 5, msgspec.json.encode(LeaseHolderRecord("")), 0)
    assert not may_compact(view, 2)


def test_a_node_that_cannot_read_the_history_does_not_guess():
    async def all_of_it(world):
        one, _ = await one_moved(world)
        blind = await Node(world, "n2").start()
        blind.job_api.history = None
        blind.replica.extension_readers.clear()
        blind.replica.has_unread_history = True
        assert (await blind.job_api.poll(REFS[0]))[0] == 503
        assert (await blind.job_api.submit(msgspec.json.encode({**JOB, "ref": REFS[0]})))[0] == 503
        assert (await blind.job_api.poll(REFS[1]))[0] == 200
        view = Replica()
        view.put("hr/3", 5, b"[[],1]", 0)
        assert view.has_unread_history

    in_world(all_of_it)


def test_many_questions_for_old_jobs_share_a_read_and_do_not_pile_up():
    async def all_of_it(world):
        one, _ = await one_moved(world)
        node = await Node(world, "n1").start()
        asked = await asyncio.gather(*(node.job_api.history.find(REFS[0]) for _ in range(60)))
        assert node.kv.reads == 1 and sum(found is not None for found in asked) == 32
        assert (await node.job_api.poll(REFS[0]))[0] == 200 and node.kv.reads == 1
        assert (await node.job_api.cancel(REFS[0]))[0] == 200
        # With its filter, an id that was never submitted is told apart without a read.
        await node.read()
        for n in range(100, 110):
            assert (await node.job_api.poll(f"req-{n}"))[0] == 404
        assert node.kv.reads <= 2

    in_world(all_of_it)


def test_a_malformed_step_is_followed_by_smaller_ones():
    async def all_of_it(world):
        one, _ = await two_finished(world)
        compacting = one.compacting
        before = compacting.limits
        await steps(world, one, lambda: compacting.planner is not None)
        one.kv.mode = "malformed"
        await steps(world, one, lambda: compacting.limits != before)
        assert compacting.limits.max_ops == before.max_ops // 2 and not compacting.stopped
        await steps(world, one, lambda: f"j/{REFS[0]}" not in world.keys.keys)
        await settle(world)

    in_world(all_of_it)


def test_compaction_ends_where_not_even_one_change_is_taken():
    async def all_of_it(world):
        one, _ = await two_finished(world)
        compacting = one.compacting
        await steps(world, one, lambda: compacting.planner is not None)
        compacting.limits = msgspec.structs.replace(compacting.limits, max_ops=1, max_records=1)
        one.kv.mode = "malformed"
        await steps(world, one, lambda: compacting.stopped)
        before = world.keys.revision
        for _ in range(5):
            world.now += 6 * SECOND_US
            await compacting.step()
        assert world.keys.revision == before

    in_world(all_of_it)


def test_a_root_that_has_fewer_jobs_than_before_is_named_and_not_believed():
    async def all_of_it(world):
        one, _ = await one_moved(world)
        world.keys.revision += 1
        world.keys._write_key(roots_of(world)[0], b"[[],0]", None)
        await one.follower.read_barrier()
        assert (await one.job_api.poll(REFS[0]))[0] == 200
        assert one.compacting.reader.damaged == roots_of(world)
        world.now += 6 * SECOND_US
        before = world.keys.revision
        await one.compacting.step()
        assert world.keys.revision == before  # nothing more is written on top of it

    in_world(all_of_it)


def test_what_may_leave_its_records():
    view = Replica()

    def put(key, stamp, rec):
        view.put(key, stamp, msgspec.json.encode(rec), 0)

    def of(ref):
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
    assert of("req-1").records == (("j/req-1", 10),) and of("req-1").final.done == 2
    put("r/1/req-2", 20, RouteRecord("0-1"))
    put("p/1/req-2/0", 21, PlacementRecord({0: Placement("m", 1, 1, 0)}, "2"))
    assert of("req-2") is None  # a task of it may still be there
    put("p/1/req-2/0", 22, PlacementRecord({}, "2"))
    assert of("req-2").records == (("r/1/req-2", 20), ("p/1/req-2/0", 22), ("j/req-2", 11))
    assert of("req-2").final.done == 1 and compactable_job("req-2", view.jobs["req-2"], 2) is None
    assert of("req-3") is None and of("lent-x-1") is None
    assert [s.final.number for s in compactable_jobs(view, 6 * SECOND_US, SECOND_US, 8)] == [11, 12, 14]
    assert compactable_jobs(view, 6 * SECOND_US, 2 * SECOND_US, 8) == []
    view.versions["l/req-4"] = 3
    assert [s.final.number for s in compactable_jobs(view, 6 * SECOND_US, SECOND_US, 8)] == [11, 12]


def test_settings_say_what_is_wrong(tmp_path):
    file = tmp_path / "history.yaml"
    file.write_text("share: 2\n")
    with pytest.raises(HistorySettingsError, match="share"):
        load(str(file))
    assert load("deploy/history.yaml") == HistorySettings()


def test_a_compactor_that_has_not_read_the_roots_writes_nothing():
    # Seen: a command loaded the keys before it was attached, and tried to sweep every block there was.
    async def all_of_it(world):
        one, _ = await one_moved(world)
        for lease in list(world.keys.leases):
            world.keys.end_lease(lease)
        blind = Node(world, "n3")
        others = dict(blind.replica.extension_readers)
        blind.replica.extension_readers.clear()
        await blind.follower.load()
        blind.replica.extension_readers.update(others)
        await blind.read()
        assert blind.compacting.reader.fully_listed and blind.replica.has_unread_history
        before = world.keys.revision
        for _ in range(5):
            world.now += 6 * SECOND_US
            await blind.compacting.step()
        assert world.keys.revision == before

    in_world(all_of_it)


def test_a_damaged_block_is_named_and_the_node_follows_on():
    async def all_of_it(world):
        one, _ = await one_moved(world)
        for key, raw in (("zb/3/9-9/0", b"[1]"), ("zb/x", b'"a"'), ("hr/x", b"[[],1]"), ("hr/4", b'"a"')):
            world.keys.revision += 1
            world.keys._write_key(key, raw, None)
        assert (await one.job_api.submit(msgspec.json.encode({**JOB, "ref": REFS[2]})))[0] == 201
        assert await one.follower.read_barrier()
        assert one.compacting.reader.damaged == ["zb/3/9-9/0", "zb/x", "hr/x", "hr/4"]
        await check(world, [one], REFS[:3])

    in_world(all_of_it)
