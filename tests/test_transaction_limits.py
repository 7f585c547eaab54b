"""The limits of a transaction: all writers keep to them.

A malformed transaction is never sent again unchanged, and does not delay other writes.
"""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.controller.held_leases import HeldLeases
from pearstep.controller.job_api import JobApi
from pearstep.controller.leadership import Leadership
from pearstep.controller.lease_release import LeaseRelease
from pearstep.controller.settings import Leading, load
from pearstep.controller.shard_loop import ShardLoop
from pearstep.domain.attempt import AttemptState
from pearstep.domain.task_set import parse_task_ranges
from pearstep.domain.team import Team
from pearstep.emulator.key_value_store import InMemoryStore
from pearstep.emulator.state_service import StateService
from pearstep.leader.route_plan import RoutePlan
from pearstep.protocol import emulator_messages as wire
from pearstep.protocol.controller_messages import encode_transaction
from pearstep.shard.commands import ShardActions
from pearstep.state.records import (
    DrainRecord,
    InstanceRequestRecord,
    JobRecord,
    LeaseHolderRecord,
    Placement,
    PlacementRecord,
    RouteRecord,
)
from pearstep.state.replica import Replica
from pearstep.state.transactions import TransactionLimits
from pearstep.transport.clock import now_us
from pearstep.transport.kv_client import CommitOutcome, KeyValueStore
from pearstep.transport.rate_limiter import RateLimiter
from tests.test_formats import SUBMISSION, TOML
from tests.world import TYPES, FakeKeyValueStore, ShardHarness, spec

MACHINES = 200
TEAM = Team("t")
JOB = {**SUBMISSION, "shape": "batch", "parcels": 1, "breeds": None, "holder": "t", "memoryGb": 8.0}
# Ends a test whose writer retries without end, as the code once did.
TIMEOUT_S = 5.0


class RecordingStateService(StateService):
    """The emulated state service as an HTTP client, which records transactions.

    Transactions that write ``rejected_key`` are answered with 400.
    """

    def __init__(self, txn_ops, value_kb):
        super().__init__(None, 1e9, 1e9, value_kb, txn_ops)
        self.transactions, self.malformed = [], []
        self.rejected_key = None

    async def fetch(self, addr, method, path, body, timeout_s):
        request = SimpleNamespace(method=method, path=path, arguments={}, body=body)
        if path != "/txn":
            return (await self.handle(request))[:2]
        self.transactions.append(wire.decode_transaction(body))
        written_keys = {op.put or op.delete for op in self.transactions[-1].ops}
        status, data = 400, b'{"error":"malformed"}'
        if self.rejected_key not in written_keys:
            status, data, _ = await self.handle(request)
        if status == 400:
            self.malformed.append(body)
        return status, data

    def store(self):
        rate_limiters = RateLimiter(1e9, 1e9, now_us), RateLimiter(1e9, 1e9, now_us)
        return KeyValueStore(self, "state:1", *rate_limiters, now_us)

    def puts_of(self, key):
        return sum(op.put == key for txn in self.transactions for op in txn.ops)


class StoreLedger(FakeKeyValueStore):
    """The store of the state service in place of the ledger of ``ShardHarness``."""

    def __init__(self, store):
        self.store = store

    @property
    def revision(self):
        return self.store.revision

    @property
    def log(self):
        return self.store.change_log

    def txn(self, conditions, puts, deletes=None):
        body = encode_transaction(conditions, {k: (v, None) for k, v in puts.items()}, deletes or [])
        return self.store.apply_transaction(wire.decode_transaction(body))


class SiteWithService(ShardHarness):
    """A shard whose group commits go to the service over a key-value client.

    ``served`` is the service's own limit of changes, if it differs from the one in the settings.
    """

    def __init__(self, txn_ops, value_kb, served=None):
        self.service = RecordingStateService(served or txn_ops, value_kb)
        super().__init__(StoreLedger(self.service.keys), txn_ops=txn_ops, value_bytes=value_kb * 1024)
        self.now = now_us()
        self.take_over()
        self.sent_commands = ShardActions()
        self.shard_loop = ShardLoop(
            Leading(),
            {0: self.owner},
            self.service.store(),
            None,
            self.replica,
            self,
            self,
            asyncio.Event(),
            lambda: True,
            lambda key: None,
        )

    # Replaces the controller of the owner: follows changes, and sends commands to agents.

    def apply_own_commit(self, key, version, value):
        self.catch_up()

    async def read_barrier(self):
        self.catch_up()
        return True

    def send_commands(self, owner, actions, confirmed_at_us):
        for machine, commands in actions.commands.items():
            for command in commands:
                self.sent_commands.send(machine, command)

    def write(self):
        """Commit until no write is pending; return the starts that may be sent then."""
        self.sent_commands = ShardActions()
        asyncio.run(asyncio.wait_for(self.shard_loop._commit(self.owner), TIMEOUT_S))
        return self.starts(self.sent_commands)

    def run_and_commit(self):
        self.run_pass()
        return self.write()

    def add_machines(self, count):
        for n in range(count):
            self.add_machine(f"i-{n:06d}")

    def placing_attempts(self):
        return [
            attempt
            for draft in self.owner.drafts.values()
            for attempt in draft.attempts.values()
            if attempt.state == AttemptState.PLACING
        ]


def check_limits(site, txn_ops, value_kb):
    """Assert that no transaction that was sent exceeds the limits; return True."""
    assert not site.service.malformed
    for txn in site.service.transactions:
        assert len(txn.ops) <= txn_ops and len(txn.conditions) <= 4 * txn_ops
        assert all(len(bytes(op.value)) <= value_kb * 1024 for op in txn.ops)
    return True


@pytest.mark.parametrize("txn_ops", [12, 4])
@pytest.mark.parametrize("value_kb", [16, 2])
def test_array_larger_than_a_transaction_is_placed_in_several_commits(txn_ops, value_kb):
    site = SiteWithService(txn_ops, value_kb)
    site.add_machines(MACHINES)
    site.submit(spec("req-1", tasks=MACHINES, cpus=32.0))
    max_placements = min(max((value_kb * 1024 - 6 * 1024) // 50, 16), MACHINES)  # that fit a value
    finished = 0
    while finished < MACHINES:
        site.service.transactions.clear()
        starts = site.run_and_commit()
        assert len(starts) == min(max_placements, MACHINES - finished) and not site.placing_attempts()
        placed = site.replica.jobs["req-1"].placements[0, 0].record.placements
        assert {f"req-1/{task}" for task in placed} == {name for _, name, _ in starts}
        # Five other conditions: on the shard, its fence, the job, its route and its placements.
        max_starts = 4 * txn_ops - 5
        assert site.service.puts_of("p/0/req-1/0") <= -(-len(starts) // max_starts)
        for machine, name, attempt in starts:
            site.report(machine, (name, attempt, "exited", "done"))
        finished += len(starts)
    site.run_and_commit()
    assert site.replica.jobs["req-1"].state == "done" and check_limits(site, txn_ops, value_kb)


def test_other_jobs_of_a_shard_are_placed_while_a_transaction_is_malformed():
    # The limit of the service is below that in the settings, so only its answers show what is too large.
    site = SiteWithService(12, 16, served=4)
    site.add_machines(MACHINES)
    for n in range(2, 12):
        site.submit(spec(f"req-{n}", tasks=1, cpus=32.0))
    site.submit(spec("req-1", tasks=MACHINES - 10, cpus=32.0))
    starts = site.run_and_commit()
    assert len(starts) == MACHINES and not site.placing_attempts()
    service = site.service
    assert 0 < len(service.malformed) <= 12 and len(set(service.malformed)) == len(service.malformed)


def test_only_the_record_that_is_always_rejected_is_given_up():
    site = SiteWithService(12, 16)
    site.add_machines(20)
    site.service.rejected_key = "p/0/req-1/0"
    for n in range(1, 11):
        site.submit(spec(f"req-{n}", tasks=1, cpus=32.0))
    assert {name for _, name, _ in site.run_and_commit()} == {f"req-{n}/0" for n in range(2, 11)}
    for n in range(11, 21):
        site.submit(spec(f"req-{n}", tasks=1, cpus=32.0))
        assert {name for _, name, _ in site.run_and_commit()} == {f"req-{n}/0"}
    service = site.service
    assert 0 < len(service.malformed) <= 4 and len(set(service.malformed)) == len(service.malformed)
    assert any("req-1" in txn for txn in map(bytes.decode, service.malformed))


@pytest.mark.parametrize("key", ["m/0/i-000003", "d/i-000003"])
def test_rejected_record_of_a_machine_does_not_delay_other_machines(key):
    site = SiteWithService(12, 16)
    site.add_machines(3)
    site.service.rejected_key = key
    for n in range(3, 9):
        site.report(f"i-{n:06d}")
        site.owner.request_drain(f"i-{n:06d}", "sick", site.now)
    site.write()
    others = {f"i-{n:06d}" for n in range(4, 9)}
    assert others <= set(site.replica.machines) and others <= set(site.replica.drains)
    before = len(site.service.malformed)
    assert 0 < before <= 2
    site.advance_clock(2)
    site.report("i-000003")
    site.owner.request_drain("i-000003", "sick", site.now)
    site.write()
    assert len(site.service.malformed) == before


@pytest.mark.parametrize("txn_ops", [12, 4])
def test_gang_larger_than_a_transaction_starts_once_all_tasks_are_placed(txn_ops):
    site = SiteWithService(txn_ops, 16)
    site.add_machines(60)
    site.submit(spec("req-1", kind="gang", tasks=60, cpus=32.0))
    site.run_pass()
    placed = 0
    while batch := site.owner.gather_commit(site.now, site.now):
        values = {k: v for k, (v, _) in batch.puts.items()}
        revision = site.ledger.txn(batch.preconditions, values, batch.deletes)
        actions = ShardActions()
        site.owner.on_committed(batch, revision, actions)
        site.catch_up()
        placed += len(batch.placed_attempts)
        starts = site.starts(actions)
        assert len(starts) == (60 if placed == 60 else 0)
        if placed < 60:
            assert not [
                command for n in range(60) for command in site.report(f"i-{n:06d}") if command[0] == "start"
            ]
    assert placed == 60 and len({attempt for _, _, attempt in starts}) == 1


def test_partly_placed_gang_is_rolled_back_when_the_rest_is_rejected():
    site = SiteWithService(4, 16)
    site.add_machines(20)
    site.submit(spec("req-1", kind="gang", tasks=16, cpus=32.0))
    site.run_pass()
    first_batch = site.owner.gather_commit(site.now, site.now)
    site.owner.on_committed(
        first_batch,
        site.ledger.txn(first_batch.preconditions, {k: v for k, (v, _) in first_batch.puts.items()}),
        ShardActions(),
    )
    site.catch_up()
    (unplaced, *_) = site.placing_attempts()
    site.put(f"d/{unplaced.machine}", DrainRecord("idle", 1))
    assert not site.write() and not site.placing_attempts()
    started_machines = {attempt.machine for attempt in first_batch.placed_attempts}
    stop_commands = site.run_pass().commands
    assert {
        machine
        for machine, commands in stop_commands.items()
        if [operation for operation, *_ in commands] == ["stop"]
    } == started_machines
    for machine in started_machines:
        assert not site.report(machine)  # it never received its task
    starts = site.run_and_commit()
    assert len(starts) == 16 and {attempt for *_, attempt in starts} == {2}
    assert unplaced.machine not in {machine for machine, *_ in starts}


def test_gang_too_large_for_a_value_is_not_placed_and_does_not_delay_other_jobs():
    site = SiteWithService(12, 2)
    site.add_machines(80)
    site.submit(spec("req-1", kind="gang", tasks=70, cpus=32.0))
    site.submit(spec("req-2", tasks=10, cpus=32.0))
    for _ in range(10):
        site.write()
        site.run_pass()
        site.advance_clock(1)
    assert set(site.replica.jobs["req-2"].placements[0, 0].record.placements) == set(range(10))
    assert not site.replica.jobs["req-1"].placed_tasks and not site.placing_attempts()
    # The gang is tried once a minute; its record may be written without placements.
    assert site.service.puts_of("p/0/req-1/0") <= 1 and check_limits(site, 12, 2)


def test_machine_record_with_many_images_fits_a_value():
    site = SiteWithService(12, 2)
    site.add_machines(1)
    machine_state = site.owner.machines["i-000000"]
    machine_state.images.update((f"registry/image-{n:04d}", 0.01) for n in range(200))
    site.owner.heartbeats.record_machine(machine_state)
    site.write()
    images = site.replica.machines["i-000000"][1].images
    assert 50 < len(images) < 200 and "registry/image-0199" in images and check_limits(site, 12, 2)


def test_emulator_enforces_the_limits_of_a_transaction():
    store = InMemoryStore(value_bytes=2048, txn_ops=4)
    sixteen_conditions = dict.fromkeys((f"a/{n}" for n in range(16)), 0)
    four_puts = {f"b/{n}": ("x" * 2000, None) for n in range(4)}
    assert isinstance(
        store.apply_transaction(
            wire.decode_transaction(encode_transaction(sixteen_conditions, four_puts, []))
        ),
        int,
    )
    for conditions, puts in (
        ({**sixteen_conditions, "a/16": 0}, four_puts),
        (sixteen_conditions, {**four_puts, "b/4": ("", None)}),
        ({}, {"b/0": ("x" * 2047, None)}),
    ):
        with pytest.raises(ValueError):
            store.apply_transaction(wire.decode_transaction(encode_transaction(conditions, puts, [])))

    async def send_body(body_bytes):
        service = RecordingStateService(64, 64)
        body = encode_transaction({}, {"a": ("", None)}, [])
        return (await service.fetch("", "POST", "/txn", body + b" " * (body_bytes - len(body)), 1))[0]

    assert asyncio.run(send_body(64 * 1024)) == 200 and asyncio.run(send_body(64 * 1024 + 1)) == 400


class LeaderWithService:
    """A leader whose writes go to the service; ``served`` as in ``SiteWithService``."""

    def __init__(self, folder, txn_ops, served=None):
        file = folder / "settings.toml"
        text = TOML.replace("txn_ops = 12", f"txn_ops = {txn_ops}").replace("value_kb = 16", "value_kb = 2")
        file.write_text(text)
        self.service = RecordingStateService(served or txn_ops, 2)
        self.ledger, self.view = StoreLedger(self.service.keys), Replica()
        self.put("leader", LeaseHolderRecord("n0"))
        store = self.service.store()
        self.leadership = Leadership(
            load(str(file), None),
            self.view,
            TYPES,
            store,
            None,
            self.view.version_of("leader"),
            lambda: 0,
            lambda: 0,
            lambda key, version, value: self.catch_up(),
            self.read_barrier,
        )

    def put(self, key, value):
        self.ledger.txn({}, {key: value})
        self.catch_up()

    def catch_up(self):
        self.ledger.update_replica(self.view)

    async def read_barrier(self):
        self.catch_up()
        return True

    def submit(self, job, route=None):
        self.put(f"j/{job.job_id}", JobRecord(job, 0))
        if route is not None:
            self.put(f"r/0/{job.job_id}", route)
        return RoutePlan(self.view.jobs[job.job_id])

    def write(self, *plans):
        asyncio.run(asyncio.wait_for(self.leadership.route_writer.write_plans(list(plans)), TIMEOUT_S))

    def routed(self, job_id):
        return {part: route.tasks for part, route in self.view.jobs[job_id].routes.items()}

    def check_routes(self, job_id):
        """Assert that no task was routed twice after any transaction; return True."""
        routes = {}
        for txn in self.service.transactions:
            for op in txn.ops:
                _, part, job = op.put.split("/")
                if job == job_id:
                    route = msgspec.json.decode(bytes(op.value), type=RouteRecord)
                    routes[part] = parse_task_ranges(route.tasks)
            masks = [mask for mask in routes.values() if mask]
            assert sum(mask.bit_count() for mask in masks) == sum(masks).bit_count()
        return True


def spread_tasks(plan, parts, tasks):
    """Move all tasks but the first share from shard 0 to the other shards."""
    share = tasks // parts
    tasks_by_shard = [((1 << share) - 1) << (part * share) for part in range(parts)]
    plan.remove(0, sum(tasks_by_shard[1:]))
    for part, mask in enumerate(tasks_by_shard[1:], 1):
        plan.add(part, None, mask)
    return tasks_by_shard


@pytest.mark.parametrize("txn_ops", [12, 4])
def test_route_plan_larger_than_a_transaction_is_written_by_shard(tmp_path, txn_ops):
    leader = LeaderWithService(tmp_path, txn_ops)
    plan = leader.submit(spec("req-1", tasks=100_000), RouteRecord("0-99999"))
    tasks_by_shard = spread_tasks(plan, 8, 100_000)
    puts, conditions = plan.writes()
    assert len(puts) == 8 and len(conditions) == 8 + 8 * 7
    leader.write(plan)
    assert leader.routed("req-1") == dict(enumerate(tasks_by_shard))
    assert (
        leader.check_routes("req-1")
        and check_limits(leader, txn_ops, 2)
        and len(leader.service.transactions) == 8
    )


def test_writing_a_plan_by_shard_stops_at_a_concurrent_placement(tmp_path):
    leader = LeaderWithService(tmp_path, 4)
    plan = leader.submit(spec("req-1", tasks=100), RouteRecord("0-99"))
    tasks_by_shard = spread_tasks(plan, 5, 100)
    leader.put("p/2/req-1/0", PlacementRecord({99: Placement("i-000001", 1, 1, 1)}))
    leader.write(plan)
    assert leader.routed("req-1") == {
        0: tasks_by_shard[0],
        1: tasks_by_shard[1],
    } and leader.check_routes("req-1")
    other_leader = LeaderWithService(tmp_path, 4)
    plan = other_leader.submit(spec("req-1", tasks=100), RouteRecord("0-99"))
    spread_tasks(plan, 5, 100)
    other_leader.put("p/0/req-1/0", PlacementRecord({99: Placement("i-000001", 1, 1, 1)}))
    other_leader.write(plan)
    assert other_leader.routed("req-1") == {0: (1 << 100) - 1}


def test_shards_that_swap_tasks_never_both_have_the_same_task(tmp_path):
    leader = LeaderWithService(tmp_path, 4, served=1)
    plan = leader.submit(spec("req-1", tasks=4), RouteRecord("0-1"))
    leader.put("r/1/req-1", RouteRecord("2-3"))
    plan = RoutePlan(leader.view.jobs["req-1"])
    plan.remove(0, 0b0001)
    plan.remove(1, 0b1000)
    plan.add(0, None, 0b1000)
    plan.add(1, "b", 0b0001)
    leader.write(plan)
    assert leader.routed("req-1") == {0: 0b1010, 1: 0b0101} and leader.check_routes("req-1")
    assert leader.view.jobs["req-1"].routes[1].zone_tasks == {"b": 0b0001}


def test_gang_may_span_more_shards_than_a_transaction_has_changes(tmp_path):
    leader = LeaderWithService(tmp_path, 4)
    plan = leader.submit(spec("req-1", kind="gang", tasks=12), RouteRecord("0-11"))
    chosen = [SimpleNamespace(name=f"i-{n:06d}", shard_id=n % 6) for n in range(12)]
    plan.span_shards(chosen, 1, 5)
    leader.write(plan)
    routes = leader.view.jobs["req-1"].routes
    assert {part: route.record.machines for part, route in routes.items()} == {
        part: {part: f"i-{part:06d}", part + 6: f"i-{part + 6:06d}"} for part in range(6)
    }
    assert leader.check_routes("req-1") and check_limits(leader, 4, 2)


def test_malformed_plan_does_not_delay_other_plans(tmp_path):
    leader = LeaderWithService(tmp_path, 12)
    leader.service.rejected_key = "r/1/req-3"
    plans = []
    for n in range(1, 9):
        plans.append(leader.submit(spec(f"req-{n}", tasks=1)))
        plans[-1].add(1, None, 1)
    for _ in range(3):
        leader.write(*(plan for plan in plans if not leader.routed(plan.job.spec.job_id)))
    assert [n for n in range(1, 9) if not leader.routed(f"req-{n}")] == [3]
    malformed = leader.service.malformed
    assert len(malformed) == len(set(malformed)) == 2


def test_malformed_drain_does_not_delay_other_drains(tmp_path):
    leader = LeaderWithService(tmp_path, 12)
    leader.service.rejected_key = "d/i-5"
    for _ in range(3):
        drains = {f"i-{n}": DrainRecord("idle", 1) for n in range(12) if f"i-{n}" not in leader.view.drains}
        asyncio.run(leader.leadership.autoscaler_loop.drain(drains))
    assert set(leader.view.drains) == {f"i-{n}" for n in range(12)} - {"i-5"}
    malformed = leader.service.malformed
    assert len(malformed) == len(set(malformed)) <= 5


def test_leader_does_not_send_transactions_over_the_limits(tmp_path):
    leader = LeaderWithService(tmp_path, 4)
    before = len(leader.service.transactions)
    for puts, conditions in (
        ({f"r/{n}/req-1": RouteRecord("0") for n in range(5)}, {}),
        ({"r/0/req-1": RouteRecord("0")}, dict.fromkeys((f"a/{n}" for n in range(15)), 0)),
        ({"r/0/req-1": RouteRecord("0," * 1100)}, {}),
    ):
        assert asyncio.run(leader.leadership.commit(puts, conditions)) == CommitOutcome.MALFORMED
    assert len(leader.service.transactions) == before


def test_completed_instance_requests_are_deleted_with_small_transactions(tmp_path):
    leader = LeaderWithService(tmp_path, 2)
    for n in range(2):
        leader.put(f"h/r-1-{n}", InstanceRequestRecord("small", "a", False, 1, 1, ["i-1"]))
    asyncio.run(leader.leadership.autoscaler_loop.delete_completed_requests())
    assert not leader.view.instance_requests and check_limits(leader, 2, 2)


def test_node_releases_more_shards_than_a_transaction_has_changes():
    service = RecordingStateService(4, 2)
    ledger, view = StoreLedger(service.keys), Replica()
    for key in ["leader", *(f"part/{n}" for n in range(6))]:
        ledger.txn({}, {key: LeaseHolderRecord("n0")})
    ledger.update_replica(view)

    async def read_barrier():
        ledger.update_replica(view)

    leases = HeldLeases(
        owners={n: SimpleNamespace(fencing_token=view.shard_holders[n].fencing_token) for n in range(6)},
        leadership=SimpleNamespace(fencing_token=view.leader.fencing_token),
    )
    follower, reachability = SimpleNamespace(read_barrier=read_barrier), SimpleNamespace(unreachable=[])
    asyncio.run(LeaseRelease(leases, service.store(), follower, reachability, 4).release_all())
    assert view.leader is None and not any(holder.node for holder in view.shard_holders.values())
    assert not service.malformed and not leases.owners and leases.leadership is None


def test_submissions_fit_a_transaction_and_a_malformed_one_does_not_delay_others():
    service = RecordingStateService(12, 16)
    view = Replica()

    async def read_barrier():
        StoreLedger(service.keys).update_replica(view)
        return True

    def apply_to_replica(key, version, value):
        view.put(key, version, msgspec.json.encode(value), 0)

    async def submit(first_number, count, **options):
        limits = TransactionLimits(operations=12, conditions=48, value_bytes=16 * 1024)
        job_api = JobApi(
            service.store(), view, {"t": TEAM}, read_barrier, apply_to_replica, lambda: 1, 1, limits
        )
        job_api.machine_types, job_api.ready = TYPES, True
        jobs = [{**JOB, "ref": f"req-{first_number + n}", **options} for n in range(count)]
        return [
            answer[0]
            for answer in await asyncio.gather(*(job_api.submit(msgspec.json.encode(job)) for job in jobs))
        ]

    service.rejected_key = "j/req-3"
    assert asyncio.run(submit(0, 8)) == [503 if n == 3 else 201 for n in range(8)]
    assert len(service.malformed) == len(set(service.malformed)) == 2
    service.rejected_key, service.malformed = None, []
    # Twelve of these jobs are over 64 KiB.
    types = ["big", *(f"{n:0200}" for n in range(40))]
    assert set(asyncio.run(submit(8, 24, breeds=types))) == {201} and not service.malformed
    assert max(len(txn.ops) for txn in service.transactions) <= 8
