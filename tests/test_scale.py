"""What keeps a large fleet affordable: counts that agree with counting afresh, and work that is counted."""

from hypothesis import given
from hypothesis import strategies as st

from pearstep.core.capacity import Capacity
from pearstep.core.leader import Leader
from pearstep.core.model import US, room_of
from pearstep.core.picture import Book
from pearstep.core.placement import Hold, Seat, reserve
from pearstep.core.records import Place, PlaceRec

from .test_leader import Office
from .world import BIG, SMALL, TYPES, spec

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
    return [Seat(f"m{n}", t, z, spot, room_of(t)) for n, (t, z, spot) in enumerate(boxes)]


@given(BOXES, st.lists(st.tuples(st.integers(0, 11), st.integers(0, 3)), max_size=20))
def test_counts_kept_up_to_date_agree_with_counting_afresh(boxes, uses):
    seats = seats_of(boxes)
    kept = Capacity(seats, lambda s: s.zone, lambda s: s.room)
    for job in SHAPES:
        kept.by_group(job)
    for n, shape in uses:
        if n < len(seats):
            seats[n].room.take(SHAPES[shape])
            kept.changed(seats[n])
    afresh = Capacity(seats, lambda s: s.zone, lambda s: s.room)
    for job in SHAPES:
        assert {z: n for z, n in kept.by_group(job).items() if n} == afresh.by_group(job)
    assert kept.looked_at == len(SHAPES) * len(seats)


@given(
    BOXES,
    st.lists(st.tuples(st.integers(0, 11), st.integers(1, 400), st.integers(0, 3)), max_size=24),
    st.lists(st.tuples(st.integers(0, 11), st.integers(0, 300), st.integers(1, 200)), max_size=6),
    st.sampled_from(SHAPES), st.integers(1, 8), st.integers(1, 200),
)  # fmt: skip
def test_reservation_is_the_earliest_time_at_which_everything_fits(boxes, ends, holds, job, count, run_s):
    seats = seats_of(boxes)
    for n, end_s, shape in ends:
        if n < len(seats) and seats[n].allows(SHAPES[shape]) and seats[n].room.fits(SHAPES[shape]):
            seats[n].start(SHAPES[shape], end_s * US)
    for n, from_s, for_s in holds:
        if n < len(seats):
            seats[n].holds.append(Hold(from_s * US, (from_s + for_s) * US, SHAPES[0], 1))
    job = spec("req-9", kind="gang", tasks=count, cpus=job.cpus, gpus=job.gpus, memory_gb=job.memory_gb,
               one_zone=job.one_zone, zone=job.zone, spot=job.spot)

    def fits(at_us):
        zones = {}
        for s in seats:
            if s.allows(job):
                key = s.zone if job.one_zone else ""
                zones[key] = zones.get(key, 0) + s.room_at(at_us, run_s * US).how_many(job, count)
        return max(zones.values(), default=0) >= count

    times = sorted({0, *(e for s in seats for e, _ in s.ends), *(h.until_us for s in seats for h in s.holds)})
    expected = next((at for at in times if fits(at)), None)
    kept = sum(len(s.holds) for s in seats)
    assert reserve(job, count, seats, 0, run_s * US) == expected
    new = [h for s in seats for h in s.holds if h.spec is job]
    assert sum(h.count for h in new) == (0 if expected is None else count)
    assert sum(len(s.holds) for s in seats) == kept + len(new)


def test_only_machines_whose_records_changed_are_counted_again():
    o = Office(parts=2)
    for n in range(50):
        o.machine(f"m{n}", n % 2)
    book = Book(o.view, TYPES)
    assert len(book.slots()) == 50 and book.counted == 50
    o.submit(spec("req-1", tasks=1))
    o.place(0, "req-1", [0], "m4")
    slots = {s.name: s for s in book.slots()}
    assert book.counted == 51
    assert slots["m4"].room.cpus == 22.0 and slots["m5"].room.cpus == 32.0
    o.put("p/0/req-1/0", PlaceRec({}, "1", 1))
    assert {s.name: s for s in book.slots()}["m4"].room.cpus == 32.0
    assert book.counted == 52


def test_jobs_without_room_are_dismissed_without_a_look_at_every_machine(monkeypatch):
    looks = 0
    count = Capacity.by_group

    def counted(self, job):
        nonlocal looks
        before = self.looked_at
        out = count(self, job)
        looks += self.looked_at - before
        return out

    monkeypatch.setattr(Capacity, "by_group", counted)
    o = Office(parts=2)
    for n in range(40):
        o.machine(f"m{n}", n % 2)
    o.submit(spec("req-0", tasks=40, cpus=32.0))
    o.put("p/0/req-0/0", PlaceRec({n: Place(f"m{n}", 1, 1, 1) for n in range(40)}, "0", 1))
    for n in range(100):
        o.submit(spec(f"req-1{n}", kind="gang", tasks=2, cpus=15.0), at=1)
    assert len(Leader(1, o.view, TYPES, {}, 2, 12).plan(o.now, 0, o.now)) == 100
    # One count of what is free, one of what there is, one of what could give way.
    assert looks <= 3 * 40


def test_gang_that_finds_room_only_over_several_parts_is_spread_at_once():
    # Seen: with a third of the fleet to each part, gangs of 16 waited while twice their room was free.
    o = Office(parts=2)
    for n in range(6):
        o.machine(f"m{n}", n % 2)
    o.submit(spec("req-0", tasks=2, cpus=30.0, estimate_us=500 * US))
    o.put("p/0/req-0/0", PlaceRec({0: Place("m0", 1, 1, o.now)}, "0", 1))
    o.put("p/1/req-0/0", PlaceRec({1: Place("m1", 1, 1, o.now)}, "0", 1))
    o.submit(spec("req-1", kind="gang", tasks=3, cpus=30.0, one_zone=True), at=1)
    o.route()
    routes = o.view.jobs["req-1"].routes
    assert sorted(r.mask.bit_count() for r in routes.values()) == [1, 2]
    assert all(r.rec.wide and r.rec.at_us == o.now for r in routes.values())
