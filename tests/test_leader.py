"""The leader: routes, quota limits, zones, scale-out, scale-in and consolidation."""

from pearstep.domain.job_state import JobState
from pearstep.domain.task_set import parse_task_ranges
from pearstep.domain.team import Team
from pearstep.domain.units import SECOND_US
from pearstep.leader.autoscaler import Autoscaler
from pearstep.leader.autoscaler_config import AutoscalerConfig
from pearstep.leader.instance_selection import InstanceKind
from pearstep.leader.route_planner import RoutePlanner
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
from tests.world import TYPES, FakeKeyValueStore, machine_record, spec


class LeaderHarness:
    """A route planner and an autoscaler over a replica, with a ledger in place of the state service."""

    def __init__(self, shard_count=2, teams=()):
        self.ledger = FakeKeyValueStore()
        self.replica = Replica()
        self.now = 100 * SECOND_US
        for shard_id in range(shard_count):
            self.put(f"part/{shard_id}", LeaseHolderRecord(f"n{shard_id}"))
        self.planner = RoutePlanner(1, self.replica, TYPES, {t.name: t for t in teams}, shard_count, 12)
        config = AutoscalerConfig(40 * SECOND_US, 10, 100, 15 * SECOND_US, 3.0, 15 * SECOND_US)
        self.autoscaler = Autoscaler(self.replica, TYPES, ["a", "b"], config)

    def put(self, key, value):
        self.ledger.txn({}, {key: value})
        self.ledger.update_replica(self.replica, getattr(self, "now", 0))

    def add_machine(self, name, shard_id, **record_fields):
        self.put(f"m/{shard_id}/{name}", machine_record(**record_fields))

    def submit(self, job, at=0):
        self.put(f"j/{job.job_id}", JobRecord(job, at))

    def plan_routes(self):
        """Plan a pass and write it; returns the routed tasks by job and shard."""
        for plan in self.planner.plan(self.now, 2 * SECOND_US, self.now):
            puts, conditions = plan.writes()
            assert isinstance(self.ledger.txn(conditions, puts), int)
        self.ledger.update_replica(self.replica, self.now)
        return {
            (job_id, shard_id): route.tasks
            for job_id, job in self.replica.jobs.items()
            for shard_id, route in job.routes.items()
            if route.tasks
        }

    def record_placements(self, shard_id, job_id, tasks, machine="m0", done=0):
        placements = {t: Placement(machine, 1, n + 1, n) for n, t in enumerate(tasks)}
        self.put(f"p/{shard_id}/{job_id}/0", PlacementRecord(placements, f"{done:x}", len(placements)))


def test_array_tasks_are_routed_one_by_one_to_the_emptiest_shard_and_gangs_as_a_whole():
    leader = LeaderHarness()
    leader.add_machine("m0", 0)
    leader.add_machine("m1", 1)
    leader.submit(spec("req-1", tasks=4))
    leader.submit(spec("req-2", tasks=2, kind="gang", cpus=5.0), at=1)
    routes = leader.plan_routes()
    assert routes["req-1", 0].bit_count() == 2 and routes["req-1", 1].bit_count() == 2
    assert [mask for (job_id, _), mask in routes.items() if job_id == "req-2"] == [0b11]


def test_quota_limit_counts_routed_placed_and_exiting_tasks():
    leader = LeaderHarness(teams=[Team("t", cpus_max=40.0)])
    for n in range(4):
        leader.add_machine(f"m{n}", n % 2)
    leader.submit(spec("req-1", tasks=8))
    routes = leader.plan_routes()
    assert sum(mask.bit_count() for mask in routes.values()) == 4
    shard_id = next(shard for _, shard in routes)
    mask = routes["req-1", shard_id]
    placed = [t for t in range(8) if mask >> t & 1]
    leader.record_placements(shard_id, "req-1", placed)
    leader.put("j/req-1", JobRecord(spec("req-1", tasks=8), 0, JobState.CANCELLED, 5))
    leader.submit(spec("req-2", tasks=8), at=1)
    routes = leader.plan_routes()
    newly_routed = sum(mask.bit_count() for (job_id, _), mask in routes.items() if job_id == "req-2")
    assert newly_routed == 4 - len(placed)  # cancelled tasks that are still placed count against the limit


def test_routes_of_lower_priority_are_withdrawn_for_an_urgent_job_of_the_same_team():
    leader = LeaderHarness(teams=[Team("t", cpus_max=40.0)])
    for n in range(4):
        leader.add_machine(f"m{n}", n % 2)
    leader.submit(spec("req-1", tasks=8))
    for (_, shard_id), mask in leader.plan_routes().items():
        leader.record_placements(shard_id, "req-1", [t for t in range(8) if mask >> t & 1], f"m{shard_id}")
    leader.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0, priority=1), at=5)
    routes = leader.plan_routes()
    # The urgent job is not routed before the stopped tasks are gone.
    assert ("req-2", 0) not in routes and ("req-2", 1) not in routes
    assert sum(mask.bit_count() for (job_id, _), mask in routes.items() if job_id == "req-1") == 2
    assert leader.plan_routes() == routes  # no more routes are withdrawn than needed


def test_waiting_task_moves_to_a_shard_with_free_resources_only_if_it_was_not_placed():
    leader = LeaderHarness()
    leader.add_machine("m0", 0)
    leader.submit(spec("req-1", tasks=1, cpus=32.0))
    leader.submit(spec("req-2", tasks=1, cpus=32.0), at=1)
    routes = leader.plan_routes()
    assert routes == {("req-1", 0): 1, ("req-2", 0): 1}
    leader.record_placements(0, "req-1", [0])
    leader.now += 5 * SECOND_US
    leader.add_machine("m1", 1)
    (plan,) = leader.planner.plan(leader.now, 2 * SECOND_US, leader.now)
    puts, conditions = plan.writes()
    assert conditions["p/0/req-2/0"] == 0
    leader.ledger.txn({}, {"p/0/req-2/0": PlacementRecord({0: Placement("m0", 1, 1, 1)}, "0", 1)})
    assert leader.ledger.txn(conditions, puts) == ["p/0/req-2/0"]


def test_plan_written_late_does_not_move_a_task_that_was_placed_in_the_meantime():
    leader = LeaderHarness()
    leader.add_machine("m0", 0)
    leader.submit(spec("req-1", tasks=3))
    leader.plan_routes()
    leader.add_machine("m1", 1)
    leader.record_placements(0, "req-1", [0])
    leader.put("j/req-2", JobRecord(spec("req-2", tasks=2, priority=0), 0))
    leader.put("r/0/req-2", RouteRecord("0-1"))
    leader.record_placements(0, "req-2", [0, 1])
    leader.now += 10 * SECOND_US
    plan = next(
        p for p in leader.planner.plan(leader.now, 2 * SECOND_US, leader.now) if p.job.spec.job_id == "req-1"
    )
    assert plan.moved
    leader.record_placements(0, "req-1", [0, 1, 2])  # placed while the plan waits for the write budget
    puts, conditions = plan.writes()
    assert leader.ledger.txn(conditions, puts) == ["p/0/req-1/0"]


def test_spread_tasks_are_bound_to_zones_by_half_and_one_zone_tasks_to_one():
    leader = LeaderHarness()
    for n in range(6):
        leader.add_machine(f"m{n}", n % 2, zone="a" if n < 4 else "b")
    leader.submit(spec("req-1", tasks=5, spread=True))
    leader.submit(spec("req-2", tasks=4, one_zone=True), at=1)
    leader.plan_routes()
    for job_id, zones, max_per_zone in (("req-1", 2, 3), ("req-2", 1, 4)):
        used = {}
        for route in leader.replica.jobs[job_id].routes.values():
            assert not parse_task_ranges(route.record.tasks)
            for zone, mask in route.zone_tasks.items():
                used[zone] = used.get(zone, 0) + mask.bit_count()
        assert len(used) == zones and max(used.values()) <= max_per_zone


def test_a_hundred_thousand_tasks_are_routed_a_few_at_a_time():
    leader = LeaderHarness()
    leader.add_machine("m0", 0)
    leader.submit(spec("req-1", tasks=100_000))
    assert 0 < sum(mask.bit_count() for mask in leader.plan_routes().values()) <= 3 + 12


def test_scale_out_requests_the_cheapest_type_and_counts_requested_machines():
    leader = LeaderHarness()
    job = spec("req-1", tasks=6)
    leader.submit(job)
    leader.plan_routes()
    unplaced = leader.planner.unplaced + leader.planner.unroutable
    # Requests are split over zones with the same price.
    requests = {
        (w.type, w.zone, w.spot, w.count)
        for w in leader.autoscaler.plan_scale_out(unplaced, leader.now, leader.now)
    }
    assert requests == {("small", "a", False, 1), ("small", "b", False, 1)}
    leader.put("h/r-1-1", InstanceRequestRecord("small", "a", False, 2, leader.now))
    assert leader.autoscaler.plan_scale_out(unplaced, leader.now, leader.now) == []


def test_scale_out_requests_a_more_expensive_type_while_the_cheapest_is_refused():
    leader = LeaderHarness()
    leader.submit(spec("req-1", tasks=1))
    leader.plan_routes()
    unplaced = leader.planner.unroutable
    for zone in ("a", "b"):
        leader.autoscaler.record_refusal(InstanceKind("small", zone, False), leader.now)
    (request,) = leader.autoscaler.plan_scale_out(unplaced, leader.now, leader.now)
    assert request.type == "big"


def test_idle_machine_and_one_that_never_boots_are_returned():
    leader = LeaderHarness()
    leader.add_machine("m0", 0)
    leader.add_machine("m1", 0)
    leader.submit(spec("req-1", tasks=1))
    leader.record_placements(0, "req-1", [0], "m1")
    leader.put("h/r-1-1", InstanceRequestRecord("small", "a", False, 1, leader.now, ["m9"]))
    leader.autoscaler.observe(leader.now, leader.now)
    assert leader.autoscaler.plan_scale_in([], leader.now, leader.now) == {}
    leader.now += 90 * SECOND_US
    leader.autoscaler.observe(leader.now, leader.now)
    returned = leader.autoscaler.plan_scale_in([], leader.now, leader.now)
    assert {n: r.reason for n, r in returned.items()} == {"m0": "idle", "m9": "never came up"}


def test_new_leader_does_not_wait_for_machines_that_were_deleted_before_its_term():
    leader = LeaderHarness()
    leader.now = 1000 * SECOND_US
    leader.put(
        "h/r-1-1",
        InstanceRequestRecord("small", "a", False, 2, leader.now - 100 * SECOND_US, ["gone", "slow"]),
    )
    leader.put("h/r-1-2", InstanceRequestRecord("small", "a", False, 1, leader.now - 5 * SECOND_US, ["new"]))
    leader.autoscaler.observe(leader.now, leader.now)
    assert set(leader.autoscaler.booting) == {"gone", "slow", "new"}
    # The list lags, so a new machine may be missing.
    leader.autoscaler.observe_machine_list({"slow"}, 3 * SECOND_US, leader.now)
    leader.autoscaler.observe(leader.now, leader.now)
    assert set(leader.autoscaler.booting) == {"slow", "new"}
    assert set(leader.autoscaler.plan_scale_in([], leader.now, leader.now)) == {"slow"}


def test_consolidation_drains_the_most_wasteful_machine_if_its_tasks_fit_on_busy_ones():
    leader = LeaderHarness()
    leader.autoscaler.config.consolidation_interval_us = SECOND_US
    for name in ("m0", "m1"):
        leader.add_machine(name, 0, machine_type="big")
    leader.submit(spec("req-1", tasks=5, gpus=1.0, estimate_us=500 * SECOND_US))
    leader.record_placements(0, "req-1", [0, 1, 2, 3], "m0")
    leader.submit(spec("req-2", tasks=1, gpus=1.0, estimate_us=500 * SECOND_US))
    leader.record_placements(0, "req-2", [0], "m1")
    assert list(
        leader.autoscaler.plan_consolidation(
            leader.planner.snapshot_machines(), 100 * SECOND_US, 100 * SECOND_US
        )
    ) == ["m1"]
    leader.put("r/0/req-2", RouteRecord("0"))
    assert (
        leader.autoscaler.plan_consolidation(
            leader.planner.snapshot_machines(), 100 * SECOND_US, 100 * SECOND_US
        )
        == {}
    )  # one at a time


def test_unplaced_gangs_share_the_accelerator_machines_rented_for_them():
    # Seen: while the cheaper types were refused, each waiting gang rented an expensive machine of its own,
    # repeatedly while those machines booted.
    leader = LeaderHarness()
    for n in range(4):
        leader.submit(spec(f"req-{n}", kind="gang", tasks=1, cpus=30.0), at=n)
    leader.plan_routes()
    unplaced = leader.planner.unplaced + leader.planner.unroutable
    for zone in ("a", "b"):
        leader.autoscaler.record_refusal(InstanceKind("small", zone, False), leader.now)
    requests = leader.autoscaler.plan_scale_out(unplaced, leader.now, leader.now)
    assert [w.type for w in requests] == ["big", "big"] and sum(w.count for w in requests) == 2
    leader.put("h/r-1-1", InstanceRequestRecord("big", "a", False, 2, leader.now))
    assert leader.autoscaler.plan_scale_out(unplaced, leader.now, leader.now) == []


def test_machines_for_a_one_zone_gang_are_rented_in_one_zone():
    leader = LeaderHarness()
    for n in range(2):
        leader.submit(spec(f"req-{n}", kind="gang", tasks=2, cpus=30.0, one_zone=True), at=n)
    leader.plan_routes()
    requests = leader.autoscaler.plan_scale_out(
        leader.planner.unplaced + leader.planner.unroutable, leader.now, leader.now
    )
    assert {(w.zone, w.count) for w in requests} == {("a", 2), ("b", 2)}


def test_gang_wider_than_any_shard_is_spread_over_shards_as_one_attempt():
    leader = LeaderHarness()
    for n in range(4):
        leader.add_machine(f"m{n}", n % 2)
    job = spec("req-1", kind="gang", tasks=4, cpus=30.0, one_zone=True)
    leader.submit(job)
    routes = leader.plan_routes()
    assert routes["req-1", 0] | routes["req-1", 1] == 0b1111
    route_records = [r.record for r in leader.replica.jobs["req-1"].routes.values()]
    assert {r.attempt for r in route_records} == {1} and {r.start_at_us for r in route_records} == {
        leader.now
    }
    assert leader.plan_routes() == routes and {r.attempt for r in route_records} == {1}  # the plan is kept
    leader.put("p/0/req-1/0", PlacementRecord({}, "0", 1))  # one shard placed its tasks, and they are gone
    leader.plan_routes()
    assert {r.record.attempt for r in leader.replica.jobs["req-1"].routes.values()} == {2}


def test_cross_shard_gang_starts_when_its_resources_are_expected_to_be_free():
    leader = LeaderHarness()
    for n in range(2):
        leader.add_machine(f"m{n}", n % 2)
    leader.submit(spec("req-9", tasks=1, cpus=30.0, estimate_us=300 * SECOND_US))
    leader.record_placements(0, "req-9", [0], "m0")
    leader.submit(spec("req-1", kind="gang", tasks=2, cpus=30.0), at=1)
    leader.plan_routes()
    assert {r.record.start_at_us for r in leader.replica.jobs["req-1"].routes.values()} == {300 * SECOND_US}


def test_cross_shard_gang_with_a_draining_machine_is_withdrawn_from_all_shards():
    # Seen: only the owner of a draining machine stopped its tasks, the other owners noticed too late to save,
    # and the gang fell back to its last checkpoint.
    leader = LeaderHarness()
    for n in range(4):
        leader.add_machine(f"m{n}", n % 2)
    leader.submit(spec("req-1", kind="gang", tasks=4, cpus=30.0))
    leader.plan_routes()
    for shard_id in (0, 1):
        route_record = leader.replica.jobs["req-1"].routes[shard_id].record
        leader.put(
            f"p/{shard_id}/req-1/0",
            PlacementRecord({t: Placement(m, 1, 1, 1) for t, m in route_record.machines.items()}, "0", 1),
        )
    assert sum(mask.bit_count() for mask in leader.plan_routes().values()) == 4
    leader.put("d/m1", DrainRecord("notice", leader.now))
    assert leader.plan_routes() == {}
    assert leader.plan_routes() == {}  # not routed again before all of its tasks are gone
    for shard_id in (0, 1):
        leader.put(f"p/{shard_id}/req-1/0", PlacementRecord({}, "0", 1))
    leader.add_machine("m4", 1)
    leader.plan_routes()
    assert {r.record.attempt for r in leader.replica.jobs["req-1"].routes.values() if r.tasks} == {2}


def test_one_task_of_an_overdue_job_is_scheduled_before_all_but_production():
    # Seen (relevamiento-forestal): low-priority arrays behind a steady flow of normal ones started after 310
    # and 451 s.
    leader = LeaderHarness(shard_count=1)
    leader.add_machine("m0", 0)
    leader.planner.first_start_within_us = 240 * SECOND_US
    leader.submit(spec("req-1", tasks=30, priority=3), at=leader.now)
    leader.submit(spec("req-2", tasks=30, priority=2), at=leader.now)
    order = lambda: [j.spec.job_id for j in leader.planner.ordered_jobs(leader.now, leader.now)]  # noqa: E731
    assert order() == ["req-2", "req-1"]
    leader.now += 119 * SECOND_US
    assert order() == ["req-2", "req-1"]
    leader.now += SECOND_US
    leader.submit(spec("req-3", tasks=1, priority=2), at=leader.now)
    leader.submit(spec("req-4", tasks=1, priority=0), at=leader.now)
    assert order() == ["req-4", "req-1", "req-2", "req-3"]
    assert leader.plan_routes()["req-1", 0] == 1
    leader.record_placements(0, "req-1", [0])
    assert order() == ["req-4", "req-2", "req-3", "req-1"]
    # The task was preempted; the job has started once, so it is not overdue.
    leader.put("p/0/req-1/0", PlacementRecord({}, "0", 1))
    assert order() == ["req-4", "req-2", "req-3", "req-1"]


def test_idle_machine_whose_record_was_deleted_is_not_returned():
    # Seen (4,572 machines): a record was deleted while the leader waited for the cloud, and the autoscaler's
    # pass failed with a KeyError.
    leader = LeaderHarness()
    leader.add_machine("m0", 0)
    leader.add_machine("m1", 0)
    leader.autoscaler.observe(leader.now, leader.now)
    leader.now += 90 * SECOND_US
    leader.ledger.txn({}, {}, ["m/0/m0"])
    leader.ledger.update_replica(leader.replica, leader.now)
    assert set(leader.autoscaler.plan_scale_in([], leader.now, leader.now)) == {"m1"}


def test_placements_of_a_job_without_a_record_are_ignored():
    leader = LeaderHarness()
    leader.add_machine("m0", 0)
    leader.submit(spec("req-1", tasks=2))
    leader.record_placements(0, "req-1", [0, 1])
    leader.ledger.txn({}, {}, ["j/req-1"])
    leader.ledger.update_replica(leader.replica, leader.now)
    assert "p/0/req-1/0" in leader.ledger.keys and not leader.replica.placements_by_machine
    leader.submit(spec("req-2", tasks=9))
    leader.plan_routes()
    unplaced = leader.planner.unplaced + leader.planner.unroutable
    leader.autoscaler.observe(leader.now, leader.now)
    assert unplaced and leader.autoscaler.plan_scale_out(unplaced, leader.now, leader.now)
    machines = leader.planner.snapshot_machines()
    assert machines[0].free_by_records.cpus == 32.0
    leader.autoscaler.config.consolidation_interval_us = SECOND_US
    assert leader.autoscaler.plan_consolidation(machines, leader.now, leader.now) == {}
