"""Machines that are kept for work which needs one whole and can be nowhere else."""

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
from tests.test_leader import Office
from tests.world import SMALL, TYPES, World, spec

WHOLE = spec("req-1", kind="gang", tasks=1, cpus=90.0, gpus=8.0, memory_gb=300.0)
LITTLE = spec("req-2", cpus=4.0, memory_gb=20.0)
BIG = TYPES["big"]
ZONES = ("a", "b")


def knowing(*jobs, types=TYPES, now=0):
    scarce = WholeMachineReservations()
    for job in jobs * MIN_RECURRING_JOBS:
        scarce.record_job(job, now)
    scarce.refresh(types.values(), now)
    return scarce


def regular(view):
    """Jobs like ``WHOLE`` have come before."""
    for _ in range(MIN_RECURRING_JOBS):
        view.machine_reservations.record_job(WHOLE, 0)


def test_one_such_job_keeps_nothing_for_itself():
    scarce = WholeMachineReservations()
    for n in range(MIN_RECURRING_JOBS):
        scarce.refresh(TYPES.values(), n)
        assert scarce.shared_resources("big", False) is None
        scarce.record_job(WHOLE, n)
    scarce.refresh(TYPES.values(), MIN_RECURRING_JOBS)
    assert scarce.shared_resources("big", False) is not None


def test_small_work_gets_what_the_whole_work_leaves_over():
    room = knowing(WHOLE).total_resources(BIG, False)
    # 96 CPUs less 90, 384 GB less 300.
    assert room.count_fitting(LITTLE, 100) == 1
    room.allocate(LITTLE)
    assert not room.fits(LITTLE) and room.fits(WHOLE)
    room.allocate(WHOLE)
    assert not room.fits(LITTLE)
    room.allocate(LITTLE, -1)
    assert room.fits(LITTLE)


def test_what_may_be_kept_for_whom():
    spot = spec("req-3", cpus=90.0, gpus=8.0, memory_gb=300.0, spot=True)
    assert knowing(WHOLE).shared_resources("big", True) is None  # it may not use spot machines
    assert knowing(spot).shared_resources("big", True) is not None
    # Half a machine or less, or work that another type holds too: what a small task blocks is a small share.
    assert knowing(spec(cpus=10.0, gpus=4.0)).shared_resources("big", False) is None
    assert knowing(spec(cpus=30.0)).shared_resources("small", False) is None
    assert knowing(WHOLE, types={"big": BIG}).shared_resources("big", False) is None
    # Of two shapes the rest is what either leaves over.
    rest = knowing(WHOLE, spec("req-4", cpus=60.0, gpus=1.0, memory_gb=380.0)).shared_resources("big", False)
    assert (rest.cpus, rest.memory_gb) == (6.0, 4.0)


def test_it_ends_when_no_such_job_came_for_long_and_shapes_are_bounded():
    scarce = knowing(WHOLE)
    before = scarce.version
    scarce.refresh(TYPES.values(), SHAPE_RETENTION_US + SECOND_US)
    assert scarce.shared_resources("big", False) is None and scarce.version == before + 1
    for n in range(3 * MAX_SHAPES):
        scarce.record_job(spec(f"req-{n}", cpus=float(n + 1)), 2 * SHAPE_RETENTION_US)
    assert len(scarce._recent) == MAX_SHAPES


@given(
    st.lists(st.tuples(st.floats(1, 95), st.sampled_from([0.0, 2.0]), st.floats(1, 300)), max_size=8),
    st.lists(st.integers(0, 7), max_size=30),
)
def test_as_many_whole_tasks_fit_beside_small_work_as_without(shapes, order):
    small = [
        spec(f"req-{n}", cpus=c, gpus=g, memory_gb=m)
        for n, (c, g, m) in enumerate(shapes, 10)
        if c <= SMALL.cpus and m <= SMALL.memory_gb and not g
    ]
    room = knowing(WHOLE, *small).total_resources(BIG, False)
    taken = []
    for n in order:
        if n < len(small) and room.fits(small[n]):
            room.allocate(small[n])
            taken.append(small[n])
    assert room.count_fitting(WHOLE, 9) == total_resources(BIG).count_fitting(WHOLE, 9)
    for job in taken:
        room.allocate(job, -1)
    assert abs(room.shared.free.cpus - 6.0) < 1e-6 and abs(room.cpus - 96.0) < 1e-6


def test_leader_routes_small_work_past_kept_machines_and_gangs_onto_them():
    o = Office()
    o.machine("m0", 0, mtype="big")
    o.machine("m1", 1)
    regular(o.replica)
    o.submit(WHOLE)
    o.submit(spec("req-2", tasks=9, cpus=4.0, memory_gb=20.0, priority=0, kind="service"), at=1)
    routes = o.route()
    # 32 CPUs, 128 GB on m1: 6 places; one more beside the gang.
    assert routes["req-1", 0] == 1
    assert routes["req-2", 1].bit_count() >= 6 and routes.get(("req-2", 0), 0).bit_count() <= 1 + 12


def test_owner_places_a_service_beside_the_room_of_a_whole_task():
    w = World()
    regular(w.view)
    w.submit(WHOLE)
    w.submit(spec("req-2", kind="service", tasks=3, cpus=4.0, memory_gb=20.0, priority=0))
    w.machine("m0", mtype="big")
    w.step()
    placed = [a.spec.job_id for a in w.owner.machines["m0"].attempts.values()]
    assert sorted(placed) == ["req-1", "req-2"]


def short_of(tasks):
    """An office without machines where a whole job waits, and a small one of so many tasks; its work."""
    o = Office()
    regular(o.replica)
    o.submit(WHOLE)
    o.submit(spec("req-2", tasks=tasks, cpus=4.0, memory_gb=20.0), at=1)
    o.route()
    return o, o.leader.unplaced + o.leader.without_machine


def test_kept_machines_are_not_rented_for_small_work_and_frees_count_for_their_own():
    o, unplaced = short_of(9)
    for zone in ZONES:
        o.fleet.record_refusal(InstanceKind("small", zone, False), o.now)
    assert {w.type for w in o.fleet.plan_scale_out(unplaced, o.now, o.now)} == {"big"}
    assert sum(w.count for w in o.fleet.plan_scale_out(unplaced, o.now, o.now)) == 1


def test_a_place_is_not_rented_at_many_times_the_price_of_the_cheapest_even_if_that_is_rented_out():
    o = Office()
    o.submit(spec("req-1", tasks=1, cpus=8.0, memory_gb=30.0))
    o.route()
    unplaced = o.leader.without_machine
    for zone in ZONES:
        o.fleet.record_refusal(InstanceKind("small", zone, False), o.now)
    # 0.5 a place on small machines, 2.4 on big ones.
    o.fleet.config.max_price_ratio = 4.0
    assert o.fleet.plan_scale_out(unplaced, o.now, o.now) == []
    o.fleet.config.max_price_ratio = 5.0
    (request,) = o.fleet.plan_scale_out(unplaced, o.now, o.now)
    assert request.type == "big"


def test_idle_machine_goes_though_others_wait_if_it_is_of_no_use_to_them():
    o = Office()
    o.machine("m0", 0)
    o.machine("m1", 0, mtype="big")
    o.fleet.observe(o.now, o.now)
    o.now += 90 * SECOND_US
    o.fleet.observe(o.now, o.now)
    regular(o.replica)
    o.submit(WHOLE)
    unplaced = [UnplacedWork(o.replica.jobs["req-1"], 1)]
    assert set(o.fleet.plan_scale_in(unplaced, o.now, o.now)) == {"m0"}
    o.submit(spec("req-2", tasks=1))
    unplaced.append(UnplacedWork(o.replica.jobs["req-2"], 1))
    assert o.fleet.plan_scale_in(unplaced, o.now, o.now) == {}


def test_types_that_become_known_later_count():
    scarce = WholeMachineReservations()
    for _ in range(MIN_RECURRING_JOBS):
        scarce.record_job(WHOLE, 0)
    scarce.refresh([BIG], 0)
    assert scarce.shared_resources("big", False) is None
    dearer = MachineType("huge", 200, 16, 900, 100, 1.0, 90.0, 40.0, 50 * SECOND_US, ZONES)
    scarce.refresh([BIG, SMALL], SECOND_US)
    assert scarce.shared_resources("big", False) is not None
    scarce.refresh([BIG, SMALL, dearer], 2 * SECOND_US)
    assert scarce.shared_resources("big", False) is None  # it can be elsewhere now


def test_a_rental_under_way_counts_whole_for_whom_it_is_kept():
    o, unplaced = short_of(2)
    o.put("h/r-1-1", InstanceRequestRecord("big", "a", False, 1, o.now))
    requests = o.fleet.plan_scale_out(unplaced, o.now, o.now)
    assert {w.type for w in requests} == {"small"}
