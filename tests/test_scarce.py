"""Tests of whole-machine reservations: placement, routing, scale-out and scale-in respect them."""

from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import total_resources
from pearstep.domain.units import SECOND_US
from pearstep.leader.instance_selection import InstanceKind
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.scheduling.whole_machine import (
    MAX_SHAPES,
    MIN_RECURRING_JOBS,
    SHAPE_RETENTION_US,
    WholeMachineReservations,
)
from pearstep.state.records import InstanceRequestRecord
from tests.test_leader import LeaderHarness
from tests.world import SMALL, TYPES, ShardHarness, spec

WHOLE_MACHINE_JOB = spec("req-1", kind="gang", tasks=1, cpus=90.0, gpus=8.0, memory_gb=300.0)
SMALL_JOB = spec("req-2", cpus=4.0, memory_gb=20.0)
BIG = TYPES["big"]
ZONES = ("a", "b")


def reservations_for(*jobs, types=TYPES, now=0):
    reservations = WholeMachineReservations()
    for job in jobs * MIN_RECURRING_JOBS:
        reservations.record_job(job, now)
    reservations.refresh(types.values(), now)
    return reservations


def record_recurring_jobs(view):
    """Record earlier jobs of the shape of ``WHOLE_MACHINE_JOB``, so that it counts as recurring."""
    for _ in range(MIN_RECURRING_JOBS):
        view.machine_reservations.record_job(WHOLE_MACHINE_JOB, 0)


def test_single_whole_machine_job_reserves_nothing():
    reservations = WholeMachineReservations()
    for n in range(MIN_RECURRING_JOBS):
        reservations.refresh(TYPES.values(), n)
        assert reservations.shared_resources("big", False) is None
        reservations.record_job(WHOLE_MACHINE_JOB, n)
    reservations.refresh(TYPES.values(), MIN_RECURRING_JOBS)
    assert reservations.shared_resources("big", False) is not None


def test_small_jobs_get_only_what_a_whole_machine_task_leaves_free():
    free = reservations_for(WHOLE_MACHINE_JOB).total_resources(BIG, False)
    # A whole-machine task leaves 96 - 90 CPUs and 384 - 300 GB.
    assert free.count_fitting(SMALL_JOB, 100) == 1
    free.allocate(SMALL_JOB)
    assert not free.fits(SMALL_JOB) and free.fits(WHOLE_MACHINE_JOB)
    free.allocate(WHOLE_MACHINE_JOB)
    assert not free.fits(SMALL_JOB)
    free.allocate(SMALL_JOB, -1)
    assert free.fits(SMALL_JOB)


def test_which_jobs_reserve_machines():
    spot = spec("req-3", cpus=90.0, gpus=8.0, memory_gb=300.0, spot=True)
    # The first job may not use spot instances.
    assert reservations_for(WHOLE_MACHINE_JOB).shared_resources("big", True) is None
    assert reservations_for(spot).shared_resources("big", True) is not None
    # Nothing is reserved for tasks of half a machine or less, nor for work that fits on another type too.
    assert reservations_for(spec(cpus=10.0, gpus=4.0)).shared_resources("big", False) is None
    assert reservations_for(spec(cpus=30.0)).shared_resources("small", False) is None
    assert reservations_for(WHOLE_MACHINE_JOB, types={"big": BIG}).shared_resources("big", False) is None
    # With two shapes, the remainder is the smaller one of each resource.
    remainder = reservations_for(
        WHOLE_MACHINE_JOB, spec("req-4", cpus=60.0, gpus=1.0, memory_gb=380.0)
    ).shared_resources("big", False)
    assert (remainder.cpus, remainder.memory_gb) == (6.0, 4.0)


def test_reservation_expires_and_the_number_of_shapes_is_bounded():
    reservations = reservations_for(WHOLE_MACHINE_JOB)
    before = reservations.version
    reservations.refresh(TYPES.values(), SHAPE_RETENTION_US + SECOND_US)
    assert reservations.shared_resources("big", False) is None and reservations.version == before + 1
    for n in range(3 * MAX_SHAPES):
        reservations.record_job(spec(f"req-{n}", cpus=float(n + 1)), 2 * SHAPE_RETENTION_US)
    assert len(reservations._recent) == MAX_SHAPES


@given(
    st.lists(st.tuples(st.floats(1, 95), st.sampled_from([0.0, 2.0]), st.floats(1, 300)), max_size=8),
    st.lists(st.integers(0, 7), max_size=30),
)
def test_small_jobs_do_not_reduce_the_number_of_whole_machine_tasks(shapes, order):
    small = [
        spec(f"req-{n}", cpus=cpus, gpus=gpus, memory_gb=memory_gb)
        for n, (cpus, gpus, memory_gb) in enumerate(shapes, 10)
        if cpus <= SMALL.cpus and memory_gb <= SMALL.memory_gb and not gpus
    ]
    free = reservations_for(WHOLE_MACHINE_JOB, *small).total_resources(BIG, False)
    allocated = []
    for n in order:
        if n < len(small) and free.fits(small[n]):
            free.allocate(small[n])
            allocated.append(small[n])
    assert free.count_fitting(WHOLE_MACHINE_JOB, 9) == total_resources(BIG).count_fitting(
        WHOLE_MACHINE_JOB, 9
    )
    for job in allocated:
        free.allocate(job, -1)
    assert abs(free.shared.free.cpus - 6.0) < 1e-6 and abs(free.cpus - 96.0) < 1e-6


def test_leader_routes_gangs_to_reserved_machines_and_small_jobs_to_others():
    office = LeaderHarness()
    office.add_machine("m0", 0, machine_type="big")
    office.add_machine("m1", 1)
    record_recurring_jobs(office.replica)
    office.submit(WHOLE_MACHINE_JOB)
    office.submit(spec("req-2", tasks=9, cpus=4.0, memory_gb=20.0, priority=0, kind="service"), at=1)
    routes = office.plan_routes()
    # m1 has 32 CPUs and 128 GB, enough for 6 tasks; one more fits beside the gang.
    assert routes["req-1", 0] == 1
    assert routes["req-2", 1].bit_count() >= 6 and routes.get(("req-2", 0), 0).bit_count() <= 1 + 12


def test_owner_places_a_service_beside_a_whole_machine_task():
    world = ShardHarness()
    record_recurring_jobs(world.replica)
    world.submit(WHOLE_MACHINE_JOB)
    world.submit(spec("req-2", kind="service", tasks=3, cpus=4.0, memory_gb=20.0, priority=0))
    world.add_machine("m0", machine_type="big")
    world.run_pass()
    placed = [a.spec.job_id for a in world.owner.machines["m0"].attempts.values()]
    assert sorted(placed) == ["req-1", "req-2"]


def office_with_unplaced_work(tasks):
    """Return an office with two waiting jobs, one of ``tasks`` small tasks, and its unplaced work."""
    office = LeaderHarness()
    record_recurring_jobs(office.replica)
    office.submit(WHOLE_MACHINE_JOB)
    office.submit(spec("req-2", tasks=tasks, cpus=4.0, memory_gb=20.0), at=1)
    office.plan_routes()
    return office, office.planner.unplaced + office.planner.unroutable


def test_reserved_machine_types_are_not_rented_for_small_jobs():
    office, unplaced = office_with_unplaced_work(9)
    for zone in ZONES:
        office.autoscaler.record_refusal(InstanceKind("small", zone, False), office.now)
    assert {
        request.type for request in office.autoscaler.plan_scale_out(unplaced, office.now, office.now)
    } == {"big"}
    assert (
        sum(request.count for request in office.autoscaler.plan_scale_out(unplaced, office.now, office.now))
        == 1
    )


def test_price_ratio_limits_scale_out_even_if_the_cheapest_type_is_unavailable():
    office = LeaderHarness()
    office.submit(spec("req-1", tasks=1, cpus=8.0, memory_gb=30.0))
    office.plan_routes()
    unplaced = office.planner.unroutable
    for zone in ZONES:
        office.autoscaler.record_refusal(InstanceKind("small", zone, False), office.now)
    # A task costs 0.5 on a small machine and 2.4 on a big one.
    office.autoscaler.config.max_price_ratio = 4.0
    assert office.autoscaler.plan_scale_out(unplaced, office.now, office.now) == []
    office.autoscaler.config.max_price_ratio = 5.0
    (request,) = office.autoscaler.plan_scale_out(unplaced, office.now, office.now)
    assert request.type == "big"


def test_idle_machine_that_no_waiting_job_can_use_is_released():
    office = LeaderHarness()
    office.add_machine("m0", 0)
    office.add_machine("m1", 0, machine_type="big")
    office.autoscaler.observe(office.now, office.now)
    office.now += 90 * SECOND_US
    office.autoscaler.observe(office.now, office.now)
    record_recurring_jobs(office.replica)
    office.submit(WHOLE_MACHINE_JOB)
    unplaced = [UnplacedWork(office.replica.jobs["req-1"], 1)]
    assert set(office.autoscaler.plan_scale_in(unplaced, office.now, office.now)) == {"m0"}
    office.submit(spec("req-2", tasks=1))
    unplaced.append(UnplacedWork(office.replica.jobs["req-2"], 1))
    assert office.autoscaler.plan_scale_in(unplaced, office.now, office.now) == {}


def test_new_machine_types_change_reservations():
    reservations = WholeMachineReservations()
    for _ in range(MIN_RECURRING_JOBS):
        reservations.record_job(WHOLE_MACHINE_JOB, 0)
    reservations.refresh([BIG], 0)
    assert reservations.shared_resources("big", False) is None
    largest = MachineType("huge", 200, 16, 900, 100, 1.0, 90.0, 40.0, 50 * SECOND_US, ZONES)
    reservations.refresh([BIG, SMALL], SECOND_US)
    assert reservations.shared_resources("big", False) is not None
    reservations.refresh([BIG, SMALL, largest], 2 * SECOND_US)
    assert reservations.shared_resources("big", False) is None  # the job now fits on another type, too


def test_requested_instance_counts_for_the_whole_machine_job_it_is_reserved_for():
    office, unplaced = office_with_unplaced_work(2)
    office.put("h/r-1-1", InstanceRequestRecord("big", "a", False, 1, office.now))
    requests = office.autoscaler.plan_scale_out(unplaced, office.now, office.now)
    assert {request.type for request in requests} == {"small"}
