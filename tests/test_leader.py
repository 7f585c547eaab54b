"""The leader: routes, the teams' limits, zones, rentals and returns."""

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
from tests.world import TYPES, Ledger, machine_rec, spec


class Office:
    """A leader with its view and ledger."""

    def __init__(self, shard_count=2, teams=()):
        self.ledger = Ledger()
        self.replica = Replica()
        self.now = 100 * SECOND_US
        for part in range(shard_count):
            self.put(f"part/{part}", LeaseHolderRecord(f"n{part}"))
        self.leader = RoutePlanner(1, self.replica, TYPES, {t.name: t for t in teams}, shard_count, 12)
        cfg = AutoscalerConfig(40 * SECOND_US, 10, 100, 15 * SECOND_US, 3.0, 15 * SECOND_US)
        self.fleet = Autoscaler(self.replica, TYPES, ["a", "b"], cfg)

    def put(self, key, value):
        self.ledger.txn({}, {key: value})
        self.ledger.feed(self.replica, getattr(self, "now", 0))

    def machine(self, name, part, **more):
        self.put(f"m/{part}/{name}", machine_rec(**more))

    def submit(self, job, at=0):
        self.put(f"j/{job.job_id}", JobRecord(job, at))

    def route(self):
        """Plan and write; the routes by job and part."""
        for plan in self.leader.plan(self.now, 2 * SECOND_US, self.now):
            puts, conditions = plan.writes()
            assert isinstance(self.ledger.txn(conditions, puts), int)
        self.ledger.feed(self.replica, self.now)
        return {
            (ref, part): route.tasks
            for ref, job in self.replica.jobs.items()
            for part, route in job.routes.items()
            if route.tasks
        }

    def place(self, part, ref, tasks, machine="m0", done=0):
        run = {t: Placement(machine, 1, n + 1, n) for n, t in enumerate(tasks)}
        self.put(f"p/{part}/{ref}/0", PlacementRecord(run, f"{done:x}", len(run)))


def test_array_tasks_go_singly_to_the_part_with_most_idle_room_and_gangs_whole():
    o = Office()
    o.machine("m0", 0)
    o.machine("m1", 1)
    o.submit(spec("req-1", tasks=4))
    o.submit(spec("req-2", tasks=2, kind="gang", cpus=5.0), at=1)
    routes = o.route()
    assert routes["req-1", 0].bit_count() == 2 and routes["req-1", 1].bit_count() == 2
    assert [mask for (ref, _), mask in routes.items() if ref == "req-2"] == [0b11]


def test_limit_counts_routed_placed_and_exiting_tasks():
    o = Office(teams=[Team("t", cpus_max=40.0)])
    for n in range(4):
        o.machine(f"m{n}", n % 2)
    o.submit(spec("req-1", tasks=8))
    routes = o.route()
    assert sum(m.bit_count() for m in routes.values()) == 4
    part = next(p for _, p in routes)
    mask = routes["req-1", part]
    placed = [t for t in range(8) if mask >> t & 1]
    o.place(part, "req-1", placed)
    o.put("j/req-1", JobRecord(spec("req-1", tasks=8), 0, JobState.CANCELLED, 5))
    o.submit(spec("req-2", tasks=8), at=1)
    routes = o.route()
    new = sum(m.bit_count() for (ref, _), m in routes.items() if ref == "req-2")
    assert new == 4 - len(placed)  # cancelled tasks that are still somewhere use the limit


def test_lower_priority_gives_its_routes_back_for_an_urgent_job_of_the_same_team():
    o = Office(teams=[Team("t", cpus_max=40.0)])
    for n in range(4):
        o.machine(f"m{n}", n % 2)
    o.submit(spec("req-1", tasks=8))
    for (_, part), mask in o.route().items():
        o.place(part, "req-1", [t for t in range(8) if mask >> t & 1], f"m{part}")
    o.submit(spec("req-2", kind="gang", tasks=1, cpus=20.0, priority=1), at=5)
    routes = o.route()
    assert ("req-2", 0) not in routes and ("req-2", 1) not in routes  # not before they are gone
    assert sum(m.bit_count() for (ref, _), m in routes.items() if ref == "req-1") == 2
    assert o.route() == routes  # and no more than needed


def test_waiting_task_moves_to_a_part_with_room_only_if_it_was_not_placed():
    o = Office()
    o.machine("m0", 0)
    o.submit(spec("req-1", tasks=1, cpus=32.0))
    o.submit(spec("req-2", tasks=1, cpus=32.0), at=1)
    routes = o.route()
    assert routes == {("req-1", 0): 1, ("req-2", 0): 1}
    o.place(0, "req-1", [0])
    o.now += 5 * SECOND_US
    o.machine("m1", 1)
    (plan,) = o.leader.plan(o.now, 2 * SECOND_US, o.now)
    puts, conditions = plan.writes()
    assert conditions["p/0/req-2/0"] == 0
    o.ledger.txn({}, {"p/0/req-2/0": PlacementRecord({0: Placement("m0", 1, 1, 1)}, "0", 1)})
    assert o.ledger.txn(conditions, puts) == ["p/0/req-2/0"]


def test_plan_made_before_a_task_was_placed_does_not_move_it_when_it_is_written_later():
    o = Office()
    o.machine("m0", 0)
    o.submit(spec("req-1", tasks=3))
    o.route()
    o.machine("m1", 1)
    o.place(0, "req-1", [0])
    o.put("j/req-2", JobRecord(spec("req-2", tasks=2, priority=0), 0))
    o.put("r/0/req-2", RouteRecord("0-1"))
    o.place(0, "req-2", [0, 1])
    o.now += 10 * SECOND_US
    plan = next(p for p in o.leader.plan(o.now, 2 * SECOND_US, o.now) if p.job.spec.job_id == "req-1")
    assert plan.moved
    o.place(0, "req-1", [0, 1, 2])  # heard of while the plan waits for the write budget
    puts, conditions = plan.writes()
    assert o.ledger.txn(conditions, puts) == ["p/0/req-1/0"]


def test_scattered_tasks_are_bound_to_zones_within_half_and_together_to_one():
    o = Office()
    for n in range(6):
        o.machine(f"m{n}", n % 2, zone="a" if n < 4 else "b")
    o.submit(spec("req-1", tasks=5, spread=True))
    o.submit(spec("req-2", tasks=4, one_zone=True), at=1)
    o.route()
    for ref, zones, most in (("req-1", 2, 3), ("req-2", 1, 4)):
        used = {}
        for route in o.replica.jobs[ref].routes.values():
            assert not parse_task_ranges(route.record.tasks)
            for zone, mask in route.zone_tasks.items():
                used[zone] = used.get(zone, 0) + mask.bit_count()
        assert len(used) == zones and max(used.values()) <= most


def test_a_hundred_thousand_tasks_are_routed_a_few_at_a_time():
    o = Office()
    o.machine("m0", 0)
    o.submit(spec("req-1", tasks=100_000))
    assert 0 < sum(m.bit_count() for m in o.route().values()) <= 3 + 12


def test_rents_the_cheapest_fit_and_counts_what_is_coming():
    o = Office()
    job = spec("req-1", tasks=6)
    o.submit(job)
    o.route()
    unplaced = o.leader.unplaced + o.leader.unroutable
    # Of zones that cost the same each is asked for its share.
    requests = {(w.type, w.zone, w.spot, w.count) for w in o.fleet.plan_scale_out(unplaced, o.now, o.now)}
    assert requests == {("small", "a", False, 1), ("small", "b", False, 1)}
    o.put("h/r-1-1", InstanceRequestRecord("small", "a", False, 2, o.now))
    assert o.fleet.plan_scale_out(unplaced, o.now, o.now) == []


def test_refused_type_rests_and_a_dearer_one_is_rented():
    o = Office()
    o.submit(spec("req-1", tasks=1))
    o.route()
    unplaced = o.leader.unroutable
    for zone in ("a", "b"):
        o.fleet.record_refusal(InstanceKind("small", zone, False), o.now)
    (request,) = o.fleet.plan_scale_out(unplaced, o.now, o.now)
    assert request.type == "big"


def test_idle_machine_and_one_that_never_boots_are_returned():
    o = Office()
    o.machine("m0", 0)
    o.machine("m1", 0)
    o.submit(spec("req-1", tasks=1))
    o.place(0, "req-1", [0], "m1")
    o.put("h/r-1-1", InstanceRequestRecord("small", "a", False, 1, o.now, ["m9"]))
    o.fleet.observe(o.now, o.now)
    assert o.fleet.plan_scale_in([], o.now, o.now) == {}
    o.now += 90 * SECOND_US
    o.fleet.observe(o.now, o.now)
    returned = o.fleet.plan_scale_in([], o.now, o.now)
    assert {n: r.reason for n, r in returned.items()} == {"m0": "idle", "m9": "never came up"}


def test_new_leader_does_not_wait_for_machines_that_were_deleted_before_its_time():
    o = Office()
    o.now = 1000 * SECOND_US
    o.put("h/r-1-1", InstanceRequestRecord("small", "a", False, 2, o.now - 100 * SECOND_US, ["gone", "slow"]))
    o.put("h/r-1-2", InstanceRequestRecord("small", "a", False, 1, o.now - 5 * SECOND_US, ["new"]))
    o.fleet.observe(o.now, o.now)
    assert set(o.fleet.booting) == {"gone", "slow", "new"}
    o.fleet.observe_machine_list({"slow"}, 3 * SECOND_US, o.now)  # the list lags: what is new may be missing
    o.fleet.observe(o.now, o.now)
    assert set(o.fleet.booting) == {"slow", "new"}
    assert set(o.fleet.plan_scale_in([], o.now, o.now)) == {"slow"}


def test_moves_empty_the_machine_that_wastes_most_if_its_work_fits_on_busy_ones():
    o = Office()
    o.fleet.config.consolidation_interval_us = SECOND_US
    for name in ("m0", "m1"):
        o.machine(name, 0, mtype="big")
    o.submit(spec("req-1", tasks=5, gpus=1.0, estimate_us=500 * SECOND_US))
    o.place(0, "req-1", [0, 1, 2, 3], "m0")
    o.submit(spec("req-2", tasks=1, gpus=1.0, estimate_us=500 * SECOND_US))
    o.place(0, "req-2", [0], "m1")
    assert list(
        o.fleet.plan_consolidation(o.leader.snapshot_machines(), 100 * SECOND_US, 100 * SECOND_US)
    ) == ["m1"]
    o.put("r/0/req-2", RouteRecord("0"))
    assert (
        o.fleet.plan_consolidation(o.leader.snapshot_machines(), 100 * SECOND_US, 100 * SECOND_US) == {}
    )  # one at a time


def test_gangs_without_room_share_the_accelerator_machines_rented_for_them():
    # Seen: with the cheaper types refused, each waiting gang rented a dear machine of its own, again
    # and again while those booted.
    o = Office()
    for n in range(4):
        o.submit(spec(f"req-{n}", kind="gang", tasks=1, cpus=30.0), at=n)
    o.route()
    unplaced = o.leader.unplaced + o.leader.unroutable
    for zone in ("a", "b"):
        o.fleet.record_refusal(InstanceKind("small", zone, False), o.now)
    requests = o.fleet.plan_scale_out(unplaced, o.now, o.now)
    assert [w.type for w in requests] == ["big", "big"] and sum(w.count for w in requests) == 2
    o.put("h/r-1-1", InstanceRequestRecord("big", "a", False, 2, o.now))
    assert o.fleet.plan_scale_out(unplaced, o.now, o.now) == []


def test_machines_for_a_gang_that_stays_together_are_rented_in_one_zone():
    o = Office()
    for n in range(2):
        o.submit(spec(f"req-{n}", kind="gang", tasks=2, cpus=30.0, one_zone=True), at=n)
    o.route()
    requests = o.fleet.plan_scale_out(o.leader.unplaced + o.leader.unroutable, o.now, o.now)
    assert {(w.zone, w.count) for w in requests} == {("a", 2), ("b", 2)}


def test_gang_wider_than_any_part_is_spread_by_the_leader_as_one_attempt():
    o = Office()
    for n in range(4):
        o.machine(f"m{n}", n % 2)
    job = spec("req-1", kind="gang", tasks=4, cpus=30.0, one_zone=True)
    o.submit(job)
    routes = o.route()
    assert routes["req-1", 0] | routes["req-1", 1] == 0b1111
    recs = [r.record for r in o.replica.jobs["req-1"].routes.values()]
    assert {r.attempt for r in recs} == {1} and {r.start_at_us for r in recs} == {o.now}
    assert o.route() == routes and {r.attempt for r in recs} == {1}  # planned once
    o.put("p/0/req-1/0", PlacementRecord({}, "0", 1))  # one part tried, and its tasks are gone again
    o.route()
    assert {r.record.attempt for r in o.replica.jobs["req-1"].routes.values()} == {2}


def test_wide_gang_waits_for_the_time_at_which_its_room_is_expected():
    o = Office()
    for n in range(2):
        o.machine(f"m{n}", n % 2)
    o.submit(spec("req-9", tasks=1, cpus=30.0, estimate_us=300 * SECOND_US))
    o.place(0, "req-9", [0], "m0")
    o.submit(spec("req-1", kind="gang", tasks=2, cpus=30.0), at=1)
    o.route()
    assert {r.record.start_at_us for r in o.replica.jobs["req-1"].routes.values()} == {300 * SECOND_US}


def test_wide_gang_that_loses_a_machine_is_stopped_in_all_parts_at_once():
    # Seen: the owner of a machine that was emptied stopped its own share, the others noticed when it was
    # too late to save, and the gang fell back to its last checkpoint.
    o = Office()
    for n in range(4):
        o.machine(f"m{n}", n % 2)
    o.submit(spec("req-1", kind="gang", tasks=4, cpus=30.0))
    o.route()
    for part in (0, 1):
        rec = o.replica.jobs["req-1"].routes[part].record
        o.put(
            f"p/{part}/req-1/0",
            PlacementRecord({t: Placement(m, 1, 1, 1) for t, m in rec.machines.items()}, "0", 1),
        )
    assert sum(mask.bit_count() for mask in o.route().values()) == 4
    o.put("d/m1", DrainRecord("notice", o.now))
    assert o.route() == {}
    assert o.route() == {}  # and not routed again before all of it is gone
    for part in (0, 1):
        o.put(f"p/{part}/req-1/0", PlacementRecord({}, "0", 1))
    o.machine("m4", 1)
    o.route()
    assert {r.record.attempt for r in o.replica.jobs["req-1"].routes.values() if r.tasks} == {2}


def test_job_that_has_not_begun_in_time_goes_before_all_but_production_with_one_task():
    # Seen (relevamiento-forestal): low arrays behind a steady flow of normal ones began after 310 and 451 s.
    o = Office(shard_count=1)
    o.machine("m0", 0)
    o.leader.first_start_within_us = 240 * SECOND_US
    o.submit(spec("req-1", tasks=30, priority=3), at=o.now)
    o.submit(spec("req-2", tasks=30, priority=2), at=o.now)
    order = lambda: [j.spec.job_id for j in o.leader.ordered_jobs(o.now, o.now)]  # noqa: E731
    assert order() == ["req-2", "req-1"]
    o.now += 119 * SECOND_US
    assert order() == ["req-2", "req-1"]
    o.now += SECOND_US
    o.submit(spec("req-3", tasks=1, priority=2), at=o.now)
    o.submit(spec("req-4", tasks=1, priority=0), at=o.now)
    assert order() == ["req-4", "req-1", "req-2", "req-3"]
    assert o.route()["req-1", 0] == 1
    o.place(0, "req-1", [0])
    assert order() == ["req-4", "req-2", "req-3", "req-1"]
    o.put("p/0/req-1/0", PlacementRecord({}, "0", 1))  # it gave way: begun it has
    assert order() == ["req-4", "req-2", "req-3", "req-1"]


def test_idle_machine_whose_record_has_gone_meanwhile_is_not_returned():
    # Seen (4,572 machines): its record went while the leader waited for the cloud, and the look at the fleet
    # ended with a KeyError.
    o = Office()
    o.machine("m0", 0)
    o.machine("m1", 0)
    o.fleet.observe(o.now, o.now)
    o.now += 90 * SECOND_US
    o.ledger.txn({}, {}, ["m/0/m0"])
    o.ledger.feed(o.replica, o.now)
    assert set(o.fleet.plan_scale_in([], o.now, o.now)) == {"m1"}


def test_places_of_a_job_that_has_left_its_records_are_not_looked_up():
    o = Office()
    o.machine("m0", 0)
    o.submit(spec("req-1", tasks=2))
    o.place(0, "req-1", [0, 1])
    o.ledger.txn({}, {}, ["j/req-1"])
    o.ledger.feed(o.replica, o.now)
    assert "p/0/req-1/0" in o.ledger.keys and not o.replica.placements_by_machine
    o.submit(spec("req-2", tasks=9))
    o.route()
    unplaced = o.leader.unplaced + o.leader.unroutable
    o.fleet.observe(o.now, o.now)
    assert unplaced and o.fleet.plan_scale_out(unplaced, o.now, o.now)
    slots = o.leader.snapshot_machines()
    assert slots[0].free_by_records.cpus == 32.0
    o.fleet.config.consolidation_interval_us = SECOND_US
    assert o.fleet.plan_consolidation(slots, o.now, o.now) == {}
