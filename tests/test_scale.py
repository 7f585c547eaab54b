"""The work on a fleet of 4000 machines is bounded, and incremental counts agree with full counts."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstep.cli.up import MOST_MACHINES
from pearstep.controller.autoscaler_loop import (
    MAX_LIST_REQUEST_SHARE,
    MIN_LIST_INTERVAL_US,
    AutoscalerLoop,
    list_interval_us,
)
from pearstep.controller.cloud_client import CloudClient
from pearstep.controller.leader_transactions import LeaderTransactions
from pearstep.controller.settings import Renting
from pearstep.controller.shard_loop import ShardLoop
from pearstep.domain.resources import total_resources
from pearstep.domain.units import SECOND_US
from pearstep.leader.cluster_snapshot import AllocationLedger
from pearstep.leader.route_planner import RoutePlanner
from pearstep.leader.scheduling_pass import MIN_WAITING_TASKS, WAITING_TASKS_PER_MACHINE
from pearstep.scheduling.capacity import CapacityIndex
from pearstep.scheduling.placement import Candidate, Reservation, reserve_earliest
from pearstep.scheduling.whole_machine import MAX_SHAPES
from pearstep.state.records import InstanceRequestRecord, Placement, PlacementRecord
from pearstep.transport.http import BACKLOG
from pearstep.transport.kv_client import CommitOutcome
from pearstep.transport.rate_limiter import RateLimiter
from tests.test_leader import LeaderHarness
from tests.world import BIG, SMALL, TYPES, ShardHarness, machine_record, spec

# The number of machines in the largest fleet that the users run.
FLEET_SIZE = 4000

SHAPES = [
    spec("req-1", cpus=10.0, memory_gb=8.0),
    spec("req-2", cpus=15.0, memory_gb=51.0, one_zone=True),
    spec("req-3", cpus=4.0, gpus=1.0, memory_gb=36.0, spot=True),
    spec("req-4", cpus=30.0, memory_gb=4.0, zone="b"),
]
MACHINE_LISTS = st.lists(
    st.tuples(st.sampled_from([SMALL, BIG]), st.sampled_from(["a", "b"]), st.booleans()), max_size=12
)


def candidates_of(machines):
    return [
        Candidate(f"m{n}", machine_type, zone, spot, total_resources(machine_type))
        for n, (machine_type, zone, spot) in enumerate(machines)
    ]


@given(MACHINE_LISTS, st.lists(st.tuples(st.integers(0, 11), st.integers(0, 3)), max_size=20))
def test_incremental_counts_agree_with_full_counts(machines, allocations):
    candidates = candidates_of(machines)
    incremental = CapacityIndex(candidates, lambda c: c.zone, lambda c: c.free)
    for job in SHAPES:
        incremental.by_group(job)
    for n, shape in allocations:
        if n < len(candidates):
            candidates[n].free.allocate(SHAPES[shape])
            incremental.update(candidates[n])
    full = CapacityIndex(candidates, lambda c: c.zone, lambda c: c.free)
    for job in SHAPES:
        assert {zone: n for zone, n in incremental.by_group(job).items() if n} == full.by_group(job)
    assert incremental.machines_examined == len(SHAPES) * len(candidates)


@given(
    MACHINE_LISTS,
    st.lists(st.tuples(st.integers(0, 11), st.integers(1, 400), st.integers(0, 3)), max_size=24),
    st.lists(st.tuples(st.integers(0, 11), st.integers(0, 300), st.integers(1, 200)), max_size=6),
    st.sampled_from(SHAPES),
    st.integers(1, 8),
    st.integers(1, 200),
)
def test_reservation_is_the_earliest_time_at_which_everything_fits(
    machines, ends, reservations, job, count, run_s
):
    candidates = candidates_of(machines)
    for n, end_s, shape in ends:
        if (
            n < len(candidates)
            and candidates[n].allows(SHAPES[shape])
            and candidates[n].free.fits(SHAPES[shape])
        ):
            candidates[n].start(SHAPES[shape], end_s * SECOND_US)
    for n, from_s, duration_s in reservations:
        if n < len(candidates):
            candidates[n].reservations.append(
                Reservation(from_s * SECOND_US, (from_s + duration_s) * SECOND_US, SHAPES[0], 1)
            )
    job = spec(
        "req-9",
        kind="gang",
        tasks=count,
        cpus=job.cpus,
        gpus=job.gpus,
        memory_gb=job.memory_gb,
        one_zone=job.one_zone,
        zone=job.zone,
        spot=job.spot,
    )

    def fits(at_us):
        room = {}
        for candidate in candidates:
            if candidate.allows(job):
                key = candidate.zone if job.one_zone else ""
                room[key] = room.get(key, 0) + candidate.free_at(at_us, run_s * SECOND_US).count_fitting(
                    job, count
                )
        return max(room.values(), default=0) >= count

    times = sorted(
        {
            0,
            *(end_us for candidate in candidates for end_us, _ in candidate.expected_ends),
            *(held.until_us for candidate in candidates for held in candidate.reservations),
        }
    )
    expected = next((at_us for at_us in times if fits(at_us)), None)
    earlier = sum(len(candidate.reservations) for candidate in candidates)
    assert reserve_earliest(job, count, candidates, 0, run_s * SECOND_US) == expected
    new = [held for candidate in candidates for held in candidate.reservations if held.spec is job]
    assert sum(held.count for held in new) == (0 if expected is None else count)
    assert sum(len(candidate.reservations) for candidate in candidates) == earlier + len(new)


def test_only_machines_whose_records_changed_are_counted_again():
    leader = LeaderHarness(shard_count=2)
    for n in range(50):
        leader.add_machine(f"m{n}", n % 2)
    ledger = AllocationLedger(leader.replica, TYPES)
    assert len(ledger.snapshot_machines()) == 50 and ledger.machines_recounted == 50
    leader.submit(spec("req-1", tasks=1))
    leader.record_placements(0, "req-1", [0], "m4")
    machines = {machine.name: machine for machine in ledger.snapshot_machines()}
    assert ledger.machines_recounted == 51
    assert machines["m4"].free.cpus == 22.0 and machines["m5"].free.cpus == 32.0
    leader.put("p/0/req-1/0", PlacementRecord({}, "1", 1))
    assert {machine.name: machine for machine in ledger.snapshot_machines()}["m4"].free.cpus == 32.0
    assert ledger.machines_recounted == 52


def test_jobs_without_room_are_skipped_without_examining_every_machine(monkeypatch):
    examined = 0
    original = CapacityIndex.by_group

    def by_group(self, job):
        nonlocal examined
        before = self.machines_examined
        result = original(self, job)
        examined += self.machines_examined - before
        return result

    monkeypatch.setattr(CapacityIndex, "by_group", by_group)
    leader = LeaderHarness(shard_count=2)
    for n in range(40):
        leader.add_machine(f"m{n}", n % 2)
    leader.submit(spec("req-0", tasks=40, cpus=32.0))
    leader.put("p/0/req-0/0", PlacementRecord({n: Placement(f"m{n}", 1, 1, 1) for n in range(40)}, "0", 1))
    for n in range(100):
        leader.submit(spec(f"req-1{n}", kind="gang", tasks=2, cpus=15.0), at=1)
    assert len(RoutePlanner(1, leader.replica, TYPES, {}, 2, 12).plan(leader.now, 0, leader.now)) == 100
    # One count of the free resources, one of the total, and one of those that preemption could free.
    assert examined <= 3 * 40


def test_gang_that_fits_only_across_shards_is_spread_at_once():
    # Seen: with a third of the fleet in each shard, gangs of 16 waited while twice their room was free.
    leader = LeaderHarness(shard_count=2)
    for n in range(6):
        leader.add_machine(f"m{n}", n % 2)
    leader.submit(spec("req-0", tasks=2, cpus=30.0, estimate_us=500 * SECOND_US))
    leader.put("p/0/req-0/0", PlacementRecord({0: Placement("m0", 1, 1, leader.now)}, "0", 1))
    leader.put("p/1/req-0/0", PlacementRecord({1: Placement("m1", 1, 1, leader.now)}, "0", 1))
    leader.submit(spec("req-1", kind="gang", tasks=3, cpus=30.0, one_zone=True), at=1)
    leader.plan_routes()
    routes = leader.replica.jobs["req-1"].routes
    assert sorted(r.tasks.bit_count() for r in routes.values()) == [1, 2]
    assert all(r.record.machines and r.record.start_at_us == leader.now for r in routes.values())


def fleet_leader(machines=FLEET_SIZE, shard_count=3):
    """Return a leader whose machines are recorded in one transaction."""
    leader = LeaderHarness(shard_count=shard_count)
    leader.ledger.txn({}, {f"m/{n % shard_count}/m{n}": machine_record() for n in range(machines)})
    leader.ledger.update_replica(leader.replica, leader.now)
    return leader


@pytest.mark.parametrize(
    ("machines", "max_tasks"),
    [(600, MIN_WAITING_TASKS), (FLEET_SIZE, WAITING_TASKS_PER_MACHINE * FLEET_SIZE // 3)],
)
def test_waiting_array_tasks_of_a_shard_are_bounded_by_its_machines(machines, max_tasks):
    leader = fleet_leader(machines)
    # Three tasks fit on each machine: the bound of a shard applies before its room is used up.
    leader.submit(spec("req-1", tasks=4 * FLEET_SIZE))
    routes = leader.plan_routes()
    assert [abs(mask.bit_count() - max_tasks) <= 2 for mask in routes.values()] == [True] * 3
    assert not leader.planner.unroutable
    assert max(len(raw) for key, (raw, _) in leader.ledger.keys.items() if key.startswith("r/")) < 2048


def test_a_pass_over_4000_machines_examines_each_a_few_times(monkeypatch):
    examined = 0
    original = CapacityIndex.by_group

    def by_group(self, job):
        nonlocal examined
        before = self.machines_examined
        result = original(self, job)
        examined += self.machines_examined - before
        return result

    monkeypatch.setattr(CapacityIndex, "by_group", by_group)
    leader = fleet_leader()
    leader.submit(spec("req-0", tasks=FLEET_SIZE, cpus=32.0))
    placements = {n: Placement(f"m{n}", 1, 1, 1) for n in range(FLEET_SIZE)}
    leader.put("p/0/req-0/0", PlacementRecord(placements, "0", 1))
    for n in range(100):
        leader.submit(spec(f"req-1{n}", kind="gang", tasks=2, cpus=15.0), at=1)
    assert len(leader.planner.plan(leader.now, 0, leader.now)) == 100
    assert leader.planner.ledger.machines_recounted == FLEET_SIZE and examined <= 3 * FLEET_SIZE
    examined = 0
    leader.planner.plan(leader.now, 0, leader.now)
    assert leader.planner.ledger.machines_recounted == FLEET_SIZE  # no record has changed


def autoscaler_loop_of(leader, cloud=None, rps=4.0, txn_ops=12):
    """Return an autoscaler loop whose writes go to the ledger, with a cloud or none."""
    settings = SimpleNamespace(
        txn_ops=txn_ops, params=SimpleNamespace(cloud=SimpleNamespace(rps=rps, list_lag_s=5.0))
    )
    context = SimpleNamespace(
        settings=settings,
        replica=leader.replica,
        cloud=cloud,
        fencing_token=1,
        now_us=lambda: leader.now,
        wall_us=lambda: leader.now,
    )
    written = []

    async def commit(puts, conditions, deletes=None):
        assert isinstance(leader.ledger.txn(conditions, puts, deletes), int)
        leader.ledger.update_replica(leader.replica, leader.now)
        written.append(len(puts) + len(deletes or ()))
        return CommitOutcome.COMMITTED

    transactions = LeaderTransactions.__new__(LeaderTransactions)
    transactions.commit = commit
    loop = AutoscalerLoop(context, transactions, leader.planner, leader.autoscaler)
    loop.written = written
    return loop


def test_scale_in_of_4000_machines_drains_each_once_in_several_transactions():
    leader = fleet_leader()
    leader.autoscaler.observe(leader.now, leader.now)
    leader.now += 90 * SECOND_US
    loop = autoscaler_loop_of(leader)

    async def drain_all():
        while drains := leader.autoscaler.plan_scale_in([], leader.now, leader.now):
            await loop.drain(drains)

    asyncio.run(drain_all())
    assert len(leader.replica.drains) == FLEET_SIZE
    assert max(loop.written) <= 12 and len(loop.written) == -(-FLEET_SIZE // 12)


class ListingCloud:
    """An HTTP client whose cloud lists a number of failed machines, in pages as requested."""

    def __init__(self, machines):
        self.names = [f"i-{n:06}" for n in range(machines)]
        self.request_count = 0

    async def fetch(self, addr, method, path, body=None, timeout_s=4.0):
        self.request_count += 1
        query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
        remaining = [name for name in self.names if name > query.get("from", "")]
        page = remaining[: int(query["limit"])]
        rows = [
            {
                "ref": name,
                "address": "x",
                "breed": "small",
                "plot": "a",
                "windfall": False,
                "stage": "failed",
                "ageS": 500.0,
            }
            for name in page
        ]
        return 200, msgspec.json.encode({"trees": rows, "hasNext": len(remaining) > len(page)})


@pytest.mark.parametrize(("machines", "pages", "interval_s", "drained"), [(649, 2, 8, 12), (4000, 8, 16, 24)])
def test_a_longer_machine_list_is_requested_less_often(machines, pages, interval_s, drained):
    client = ListingCloud(machines)
    leader = LeaderHarness(shard_count=3)
    leader.put("h/r-1-1", InstanceRequestRecord("small", "a", False, 50, leader.now, []))
    loop = autoscaler_loop_of(
        leader, CloudClient(client, "cloud:1", RateLimiter(1e6, 1e6, lambda: leader.now))
    )
    asyncio.run(loop.reconcile_machine_list())
    assert client.request_count == pages
    assert loop.list_interval_us == interval_s * SECOND_US
    # Drains are written at the same rate as with a short list.
    assert len(leader.replica.drains) == drained and max(loop.written) <= 12
    assert drained * 8 == 12 * interval_s


@given(st.integers(1, 50), st.floats(0.5, 50.0))
def test_listing_stays_within_its_share_of_the_clouds_rate_limit(pages, rps):
    interval_s = list_interval_us(pages, rps) / SECOND_US
    assert (
        pages / interval_s <= MAX_LIST_REQUEST_SHARE * rps * (1 + 1e-6)
        or interval_s == MIN_LIST_INTERVAL_US / SECOND_US
    )
    assert interval_s >= MIN_LIST_INTERVAL_US / SECOND_US
    assert (
        interval_s == MIN_LIST_INTERVAL_US / SECOND_US
        or interval_s <= pages / (MAX_LIST_REQUEST_SHARE * rps) + 1e-6
    )


def test_owner_records_and_deletes_4000_machines_within_transaction_limits():
    world = ShardHarness(txn_ops=12)
    for n in range(FLEET_SIZE):
        world.report(f"m{n}")
    commits = 0

    def write():
        nonlocal commits
        while batch := world.owner.gather_commit(world.now, world.now):
            assert batch.changes <= 12 and len(batch.preconditions) < 4 * 12
            values = {key: value for key, (value, _) in batch.puts.items()}
            revision = world.ledger.txn(batch.preconditions, values, batch.deletes)
            assert isinstance(revision, int)
            world.owner.on_committed(batch, revision, world.run_pass())
            commits += 1
        world.ledger.update_replica(world.replica, world.now)

    write()
    assert len(world.replica.machines) == FLEET_SIZE and commits == -(-FLEET_SIZE // 12)
    for n in range(FLEET_SIZE):
        world.owner.on_machine_deleted(f"m{n}", world.now, world.now)
    commits = 0
    write()
    # Each machine takes two keys: its drain record, absent here, and its machine record.
    assert not world.replica.machines and commits == -(-2 * FLEET_SIZE // 12)


@pytest.mark.parametrize(("machines", "pause_s"), [(200, 20), (800, 62)])
def test_images_of_a_large_shard_are_recorded_less_often(machines, pause_s):
    world = ShardHarness()
    for n in range(machines):
        world.report(f"m{n}")
    world.commit()
    world.submit(spec("req-1", tasks=1))
    ((machine, name, number),) = world.starts(world.run_and_commit())

    def running_report_writes_record():
        """Report the task as running; return whether the machine's record is to be written."""
        world.report(machine, (name, number, "running"))
        return f"m/0/{machine}" in world.owner.pending_writes

    assert running_report_writes_record()
    world.commit()
    world.put(f"m/0/{machine}", machine_record())  # the record lists no images
    world.advance_clock(pause_s - 1)
    assert not running_report_writes_record()
    world.advance_clock(2)
    assert running_report_writes_record()


def test_4000_machines_are_deleted_in_requests_of_100():
    request_sizes = []

    async def delete(names):
        request_sizes.append(len(names))
        return True

    world = ShardHarness()
    loop = ShardLoop.__new__(ShardLoop)
    loop.cloud, loop.replica = SimpleNamespace(delete=delete), world.replica
    loop.owners, loop.pass_requested = {0: world.owner}, asyncio.Event()
    asyncio.run(loop._delete(world.owner, [f"m{n}" for n in range(FLEET_SIZE)]))
    assert request_sizes == [100] * 40 and len(world.owner.deleted_machines) == FLEET_SIZE


def test_no_fixed_limit_is_below_the_largest_fleet():
    for limit in (BACKLOG, MOST_MACHINES, MAX_SHAPES, Renting().most_machines):
        assert limit >= FLEET_SIZE
