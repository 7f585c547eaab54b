"""What keeps a large fleet affordable: counts that agree with counting afresh, and work that is counted."""

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
from tests.world import BIG, SMALL, TYPES, World, machine_rec, spec

# The largest fleet that the users run.
FLEET = 4000

SHAPES = [
    spec("req-1", cpus=10.0, memory_gb=8.0),
    spec("req-2", cpus=15.0, memory_gb=51.0, one_zone=True),
    spec("req-3", cpus=4.0, gpus=1.0, memory_gb=36.0, spot=True),
    spec("req-4", cpus=30.0, memory_gb=4.0, zone="b"),
]
BOXES = st.lists(
    st.tuples(st.sampled_from([SMALL, BIG]), st.sampled_from(["a", "b"]), st.booleans()), max_size=12
)


def seats_of(boxes):
    return [Candidate(f"m{n}", t, z, spot, total_resources(t)) for n, (t, z, spot) in enumerate(boxes)]


@given(BOXES, st.lists(st.tuples(st.integers(0, 11), st.integers(0, 3)), max_size=20))
def test_counts_kept_up_to_date_agree_with_counting_afresh(boxes, uses):
    seats = seats_of(boxes)
    kept = CapacityIndex(seats, lambda s: s.zone, lambda s: s.free)
    for job in SHAPES:
        kept.by_group(job)
    for n, shape in uses:
        if n < len(seats):
            seats[n].free.allocate(SHAPES[shape])
            kept.update(seats[n])
    afresh = CapacityIndex(seats, lambda s: s.zone, lambda s: s.free)
    for job in SHAPES:
        assert {z: n for z, n in kept.by_group(job).items() if n} == afresh.by_group(job)
    assert kept.machines_examined == len(SHAPES) * len(seats)


@given(
    BOXES,
    st.lists(st.tuples(st.integers(0, 11), st.integers(1, 400), st.integers(0, 3)), max_size=24),
    st.lists(st.tuples(st.integers(0, 11), st.integers(0, 300), st.integers(1, 200)), max_size=6),
    st.sampled_from(SHAPES),
    st.integers(1, 8),
    st.integers(1, 200),
)
def test_reservation_is_the_earliest_time_at_which_everything_fits(boxes, ends, holds, job, count, run_s):
    seats = seats_of(boxes)
    for n, end_s, shape in ends:
        if n < len(seats) and seats[n].allows(SHAPES[shape]) and seats[n].free.fits(SHAPES[shape]):
            seats[n].start(SHAPES[shape], end_s * SECOND_US)
    for n, from_s, for_s in holds:
        if n < len(seats):
            seats[n].reservations.append(
                Reservation(from_s * SECOND_US, (from_s + for_s) * SECOND_US, SHAPES[0], 1)
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
        zones = {}
        for s in seats:
            if s.allows(job):
                key = s.zone if job.one_zone else ""
                zones[key] = zones.get(key, 0) + s.free_at(at_us, run_s * SECOND_US).count_fitting(job, count)
        return max(zones.values(), default=0) >= count

    times = sorted(
        {
            0,
            *(e for s in seats for e, _ in s.expected_ends),
            *(h.until_us for s in seats for h in s.reservations),
        }
    )
    expected = next((at for at in times if fits(at)), None)
    kept = sum(len(s.reservations) for s in seats)
    assert reserve_earliest(job, count, seats, 0, run_s * SECOND_US) == expected
    new = [h for s in seats for h in s.reservations if h.spec is job]
    assert sum(h.count for h in new) == (0 if expected is None else count)
    assert sum(len(s.reservations) for s in seats) == kept + len(new)


def test_only_machines_whose_records_changed_are_counted_again():
    o = LeaderHarness(shard_count=2)
    for n in range(50):
        o.add_machine(f"m{n}", n % 2)
    book = AllocationLedger(o.replica, TYPES)
    assert len(book.snapshot_machines()) == 50 and book.machines_recounted == 50
    o.submit(spec("req-1", tasks=1))
    o.record_placements(0, "req-1", [0], "m4")
    slots = {s.name: s for s in book.snapshot_machines()}
    assert book.machines_recounted == 51
    assert slots["m4"].free.cpus == 22.0 and slots["m5"].free.cpus == 32.0
    o.put("p/0/req-1/0", PlacementRecord({}, "1", 1))
    assert {s.name: s for s in book.snapshot_machines()}["m4"].free.cpus == 32.0
    assert book.machines_recounted == 52


def test_jobs_without_room_are_dismissed_without_a_look_at_every_machine(monkeypatch):
    looks = 0
    count = CapacityIndex.by_group

    def counted(self, job):
        nonlocal looks
        before = self.machines_examined
        out = count(self, job)
        looks += self.machines_examined - before
        return out

    monkeypatch.setattr(CapacityIndex, "by_group", counted)
    o = LeaderHarness(shard_count=2)
    for n in range(40):
        o.add_machine(f"m{n}", n % 2)
    o.submit(spec("req-0", tasks=40, cpus=32.0))
    o.put("p/0/req-0/0", PlacementRecord({n: Placement(f"m{n}", 1, 1, 1) for n in range(40)}, "0", 1))
    for n in range(100):
        o.submit(spec(f"req-1{n}", kind="gang", tasks=2, cpus=15.0), at=1)
    assert len(RoutePlanner(1, o.replica, TYPES, {}, 2, 12).plan(o.now, 0, o.now)) == 100
    # One count of what is free, one of what there is, one of what could give way.
    assert looks <= 3 * 40


def test_gang_that_finds_room_only_over_several_parts_is_spread_at_once():
    # Seen: with a third of the fleet to each part, gangs of 16 waited while twice their room was free.
    o = LeaderHarness(shard_count=2)
    for n in range(6):
        o.add_machine(f"m{n}", n % 2)
    o.submit(spec("req-0", tasks=2, cpus=30.0, estimate_us=500 * SECOND_US))
    o.put("p/0/req-0/0", PlacementRecord({0: Placement("m0", 1, 1, o.now)}, "0", 1))
    o.put("p/1/req-0/0", PlacementRecord({1: Placement("m1", 1, 1, o.now)}, "0", 1))
    o.submit(spec("req-1", kind="gang", tasks=3, cpus=30.0, one_zone=True), at=1)
    o.plan_routes()
    routes = o.replica.jobs["req-1"].routes
    assert sorted(r.tasks.bit_count() for r in routes.values()) == [1, 2]
    assert all(r.record.machines and r.record.start_at_us == o.now for r in routes.values())


def fleet_office(machines=FLEET, parts=3):
    """An office whose machines are recorded in one go."""
    o = LeaderHarness(shard_count=parts)
    o.ledger.txn({}, {f"m/{n % parts}/m{n}": machine_rec() for n in range(machines)})
    o.ledger.feed(o.replica, o.now)
    return o


@pytest.mark.parametrize(
    ("machines", "most"), [(600, MIN_WAITING_TASKS), (FLEET, WAITING_TASKS_PER_MACHINE * FLEET // 3)]
)
def test_an_array_may_wait_in_a_part_with_as_many_tasks_as_its_machines_could_use(machines, most):
    o = fleet_office(machines)
    # Three fit on each machine: the bound of a part, not its room, ends it.
    o.submit(spec("req-1", tasks=4 * FLEET))
    routes = o.plan_routes()
    assert [abs(mask.bit_count() - most) <= 2 for mask in routes.values()] == [True] * 3
    assert not o.planner.unroutable
    assert max(len(raw) for key, (raw, _) in o.ledger.keys.items() if key.startswith("r/")) < 2048


def test_a_pass_over_4000_machines_counts_each_a_few_times_whatever_waits(monkeypatch):
    looks = 0
    count = CapacityIndex.by_group

    def counted(self, job):
        nonlocal looks
        before = self.machines_examined
        out = count(self, job)
        looks += self.machines_examined - before
        return out

    monkeypatch.setattr(CapacityIndex, "by_group", counted)
    o = fleet_office()
    o.submit(spec("req-0", tasks=FLEET, cpus=32.0))
    places = {n: Placement(f"m{n}", 1, 1, 1) for n in range(FLEET)}
    o.put("p/0/req-0/0", PlacementRecord(places, "0", 1))
    for n in range(100):
        o.submit(spec(f"req-1{n}", kind="gang", tasks=2, cpus=15.0), at=1)
    assert len(o.planner.plan(o.now, 0, o.now)) == 100
    assert o.planner.ledger.machines_recounted == FLEET and looks <= 3 * FLEET
    looks = 0
    o.planner.plan(o.now, 0, o.now)
    assert o.planner.ledger.machines_recounted == FLEET  # nothing has changed: none is counted again


def autoscaler_loop_of(o, cloud=None, rps=4.0, txn_ops=12):
    """A leader's autoscaler loop whose writes go to the ledger, with a cloud or none."""
    settings = SimpleNamespace(
        txn_ops=txn_ops, params=SimpleNamespace(cloud=SimpleNamespace(rps=rps, list_lag_s=5.0))
    )
    context = SimpleNamespace(
        settings=settings,
        replica=o.replica,
        cloud=cloud,
        fencing_token=1,
        now_us=lambda: o.now,
        wall_us=lambda: o.now,
    )
    written = []

    async def commit(puts, conditions, deletes=None):
        assert isinstance(o.ledger.txn(conditions, puts, deletes), int)
        o.ledger.feed(o.replica, o.now)
        written.append(len(puts) + len(deletes or ()))
        return CommitOutcome.COMMITTED

    transactions = LeaderTransactions.__new__(LeaderTransactions)
    transactions.commit = commit
    loop = AutoscalerLoop(context, transactions, o.planner, o.autoscaler)
    loop.written = written
    return loop


def test_returns_of_4000_machines_page_on_through_drains_and_name_each_once():
    o = fleet_office()
    o.autoscaler.observe(o.now, o.now)
    o.now += 90 * SECOND_US
    loop = autoscaler_loop_of(o)

    async def looks():
        while drains := o.autoscaler.plan_scale_in([], o.now, o.now):
            await loop.drain(drains)

    asyncio.run(looks())
    assert len(o.replica.drains) == FLEET
    assert max(loop.written) <= 12 and len(loop.written) == -(-FLEET // 12)


class ListingCloud:
    """A client whose cloud lists so many failed machines, in pages as asked for."""

    def __init__(self, machines):
        self.names = [f"i-{n:06}" for n in range(machines)]
        self.asked = 0

    async def fetch(self, addr, method, path, body=None, timeout_s=4.0):
        self.asked += 1
        query = dict(part.split("=") for part in path.partition("?")[2].split("&"))
        rest = [name for name in self.names if name > query.get("from", "")]
        page = rest[: int(query["limit"])]
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
        return 200, msgspec.json.encode({"trees": rows, "hasNext": len(rest) > len(page)})


@pytest.mark.parametrize(("machines", "pages", "interval_s", "drained"), [(649, 2, 8, 12), (4000, 8, 16, 24)])
def test_the_machine_list_comes_more_rarely_the_longer_it_is(machines, pages, interval_s, drained):
    client = ListingCloud(machines)
    o = LeaderHarness(shard_count=3)
    o.put("h/r-1-1", InstanceRequestRecord("small", "a", False, 50, o.now, []))
    loop = autoscaler_loop_of(o, CloudClient(client, "cloud:1", RateLimiter(1e6, 1e6, lambda: o.now)))
    asyncio.run(loop.reconcile_machine_list())
    assert client.asked == pages
    assert loop.list_interval_us == interval_s * SECOND_US
    # What it shows is written as fast as from a short list.
    assert len(o.replica.drains) == drained and max(loop.written) <= 12
    assert drained * 8 == 12 * interval_s


@given(st.integers(1, 50), st.floats(0.5, 50.0))
def test_listing_uses_no_more_than_its_share_of_the_clouds_budget(pages, rps):
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


def test_an_owner_takes_in_and_deletes_4000_machines_within_the_transactions_limits():
    w = World(txn_ops=12)
    for n in range(FLEET):
        w.report(f"m{n}")
    commits = 0

    def write():
        nonlocal commits
        while batch := w.owner.gather_commit(w.now, w.now):
            assert batch.changes <= 12 and len(batch.preconditions) < 4 * 12
            values = {key: value for key, (value, _) in batch.puts.items()}
            revision = w.ledger.txn(batch.preconditions, values, batch.deletes)
            assert isinstance(revision, int)
            w.owner.on_committed(batch, revision, w.step())
            commits += 1
        w.ledger.feed(w.view, w.now)

    write()
    assert len(w.view.machines) == FLEET and commits == -(-FLEET // 12)
    for n in range(FLEET):
        w.owner.on_machine_deleted(f"m{n}", w.now, w.now)
    commits = 0
    write()
    # Two keys each: its drain, absent here, and its record.
    assert not w.view.machines and commits == -(-2 * FLEET // 12)


@pytest.mark.parametrize(("machines", "pause_s"), [(200, 20), (800, 62)])
def test_images_of_a_large_parts_machines_are_recorded_more_rarely(machines, pause_s):
    w = World()
    for n in range(machines):
        w.report(f"m{n}")
    w.commit()
    w.submit(spec("req-1", tasks=1))
    ((machine, name, number),) = w.starts(w.run())

    def runs():
        """The machine reports that the task runs; whether its record is to be written for that."""
        w.report(machine, (name, number, "running"))
        return f"m/0/{machine}" in w.owner.pending_writes

    assert runs()
    w.commit()
    w.put(f"m/0/{machine}", machine_rec())  # its record names no image
    w.later(pause_s - 1)
    assert not runs()
    w.later(2)
    assert runs()


def test_4000_machines_are_deleted_in_requests_that_the_cloud_takes():
    groups = []

    async def delete(names):
        groups.append(len(names))
        return True

    w = World()
    owning = ShardLoop.__new__(ShardLoop)
    owning.cloud, owning.replica = SimpleNamespace(delete=delete), w.view
    owning.owners, owning.pass_requested = {0: w.owner}, asyncio.Event()
    asyncio.run(owning._delete(w.owner, [f"m{n}" for n in range(FLEET)]))
    assert groups == [100] * 40 and len(w.owner.deleted_machines) == FLEET


def test_no_fixed_limit_stands_below_the_largest_fleet():
    for limit in (BACKLOG, MOST_MACHINES, MAX_SHAPES, Renting().most_machines):
        assert limit >= FLEET
