"""The design's promises: undelayed pivots, lending partitions, the adaptive delay."""

from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import total_resources
from pearstep.domain.scheduling_order import scheduling_key
from pearstep.domain.units import SECOND_US
from pearstep.scheduling.adaptive_delay import AdaptiveDelay
from pearstep.scheduling.backfill import BackfillScheduler
from pearstep.scheduling.placement import Candidate
from pearstep.scheduling.queued_work import QueuedWork
from tests.world import spec

BOX = MachineType("box", 10, 0, 1000, 100, 0, 1, 1, SECOND_US, ("a", "b"))
BOUNDS = [100 * SECOND_US, 1000 * SECOND_US, 10_000 * SECOND_US]

JOBS = st.lists(
    st.tuples(
        st.integers(0, 60),  # arrival
        st.sampled_from([5, 20, 80, 150, 400, 2000]),  # run time, known exactly
        st.integers(1, 10),  # room of a task
        st.integers(1, 4),  # tasks
        st.booleans(),  # gang
    ),
    min_size=2,
    max_size=14,
)


class Simulation:
    """Boxes and jobs whose estimates are exact; time moves from arrival or completion to the next."""

    def __init__(self, jobs, boxes):
        self.backfill = BackfillScheduler(BOUNDS)
        self.boxes = [f"b{n}" for n in range(boxes)]
        self.running = []
        self.items = {}
        self.started = {}
        self.arrivals = list(
            (
                at * SECOND_US,
                spec(
                    f"req-{n}",
                    kind="gang" if gang else "array",
                    tasks=tasks,
                    cpus=float(room),
                    memory_gb=0.0,
                    image_gb=0.0,
                    estimate_us=run * SECOND_US,
                ),
            )
            for n, (at, run, room, tasks, gang) in enumerate(jobs)
        )

    def seats(self, now):
        seats = []
        for name in self.boxes:
            room = total_resources(BOX)
            ends = [(end, job) for end, box, job in self.running if box == name]
            for _, job in ends:
                room.allocate(job)
            seats.append(
                Candidate(
                    name,
                    BOX,
                    "a",
                    False,
                    room,
                    partition=self.backfill.partition_of(name),
                    expected_ends=ends,
                )
            )
        return seats

    def promises(self):
        """(time, {queue: (job, promised time)}, started now) at each walk."""
        now = 0
        while self.arrivals or self.running:
            now = min([at for at, _ in self.arrivals] + [end for end, _, _ in self.running])
            self.running = [r for r in self.running if r[0] > now]
            for at, job in [a for a in self.arrivals if a[0] <= now]:
                self.arrivals.remove((at, job))
                queue = self.backfill.queue_of(job)
                order = (0, at, job.job_id)
                self.items[job.job_id] = QueuedWork(
                    job, list(range(job.tasks)), order, queue, job.estimate_us
                )
            began = set()
            for start in self.backfill.scheduling_pass(now, self.seats(now), self.items.values()):
                began.add(start.work.spec.job_id)
                for _, seat in start.assignments:
                    self.running.append((now + start.work.run_us, seat.name, start.work.spec))
            self.items = {r: i for r, i in self.items.items() if i.tasks}
            for name in self.boxes:
                used = sum(job.cpus for _, box, job in self.running if box == name)
                assert used <= BOX.cpus
            yield now, dict(self.backfill.pivots), began


@given(JOBS, st.integers(1, 4))
def test_with_accurate_estimates_no_pivot_starts_after_its_time(jobs, boxes):
    promised = {}
    for now, pivots, began in Simulation(jobs, boxes).promises():
        for ref in began & promised.keys():
            assert now <= promised.pop(ref)
        for ref, at in pivots.values():
            # The room it waits for may come sooner, never later.
            assert at <= promised.get(ref, at)
            promised[ref] = at
        assert all(at >= now for at in promised.values())


def seat(name, ends=(), label=0, images=(), zone="a"):
    room = total_resources(BOX)
    for _, job in ends:
        room.allocate(job)
    return Candidate(name, BOX, zone, False, room, images=images, partition=label, expected_ends=list(ends))


def item(ref, run, at=0, cpus=10.0, tasks=1, **more):
    job = spec(ref, tasks=tasks, cpus=cpus, memory_gb=0.0, image_gb=0.0, estimate_us=run * SECOND_US, **more)
    return QueuedWork(
        job, list(range(tasks)), (2, at, ref), BackfillScheduler(BOUNDS).queue_of(job), run * SECOND_US
    )


def test_backfilled_job_must_end_before_the_pivot_or_fit_beside_it():
    running = spec("req-9", cpus=6.0, memory_gb=0.0)
    pivot = item("req-1", 50, at=1, cpus=8.0)
    fits_before = item("req-2", 30, at=2, cpus=4.0)
    too_long = item("req-3", 60, at=3, cpus=4.0)
    beside = item("req-4", 60, at=4, cpus=2.0)
    for later, starts in ((fits_before, True), (too_long, False), (beside, True)):
        walk = BackfillScheduler(BOUNDS)
        got = walk.scheduling_pass(0, [seat("m", [(40 * SECOND_US, running)])], [pivot, later])
        assert [s.work for s in got] == ([later] if starts else [])
        assert walk.pivots == {0: ("req-1", 40 * SECOND_US)}


def test_short_job_has_its_own_queue_and_is_not_held_back_by_a_long_one():
    long_first = item("req-1", 500, at=1, cpus=10.0, tasks=2, kind="gang")
    short = item("req-2", 20, at=2)
    running = spec("req-9", memory_gb=0.0)
    walk = BackfillScheduler(BOUNDS)
    got = walk.scheduling_pass(0, [seat("m1"), seat("m2", [(40 * SECOND_US, running)])], [long_first, short])
    assert [s.work for s in got] == [short]


def test_partitions_are_dealt_evenly_and_an_idle_machine_changes_to_its_borrower():
    walk = BackfillScheduler(BOUNDS)
    labels = [walk.partition_of(f"m{n}") for n in range(8)]
    assert sorted(labels) == [0, 0, 1, 1, 2, 2, 3, 3]
    seats = [seat(f"m{n}", label=labels[n]) for n in range(8)]
    walk.scheduling_pass(0, seats, [item(f"req-{n}", 20, at=n) for n in range(3)])
    assert list(walk.partitions.values()).count(0) == 3


def test_extra_long_job_waits_its_delay_only_while_shorter_ones_wait():
    extra = item("req-1", 20_000, at=0)
    service = item("req-2", 0, at=0, kind="service")
    short = item("req-3", 20, at=1)
    walk = BackfillScheduler(BOUNDS)
    assert [s.work for s in walk.scheduling_pass(5 * SECOND_US, [seat("m")], [extra], 20 * SECOND_US)] == [
        extra
    ]
    extra = item("req-1", 20_000, at=0)
    started = [
        s.work
        for s in walk.scheduling_pass(
            5 * SECOND_US, [seat(f"m{n}") for n in range(3)], [extra, service, short], 20 * SECOND_US
        )
    ]
    assert extra not in started and set(started) == {service, short}


def test_class_with_the_nearest_aim_goes_first_until_it_is_missed():
    # Seen on a saturated day: gangs that were minutes late already went before arrays still in time.
    aims = {"soon": (40 * SECOND_US, 250 * SECOND_US), "later": (200 * SECOND_US,)}
    at = {
        "soon": spec("req-1", job_class="soon"),
        "later": spec("req-2", job_class="later"),
        "any": spec("req-3"),
    }

    def order(now_s, **arrived_s):
        return sorted(
            arrived_s, key=lambda c: scheduling_key(at[c], arrived_s[c] * SECOND_US, now_s * SECOND_US, aims)
        )

    assert order(30, any=0, later=0, soon=29) == ["soon", "later", "any"]
    assert order(170, later=0, soon=165) == ["later", "soon"]
    assert order(170, later=0, soon=100) == ["later", "soon"]
    assert order(170, later=160, soon=100) == ["soon", "later"]
    assert order(400, later=0, soon=0) == ["later", "soon"]
    assert order(400, any=0, later=0) == ["later", "any"]


def test_gang_stays_in_one_zone_or_scatters():
    together = item("req-1", 20, tasks=2, kind="gang", one_zone=True)
    walk = BackfillScheduler(BOUNDS)
    seats = [seat("m1"), seat("m2", zone="b"), seat("m3", zone="b")]
    (start,) = walk.scheduling_pass(0, seats, [together])
    assert {s.zone for _, s in start.assignments} == {"b"}
    scatter = item("req-1", 20, tasks=3, cpus=5.0, kind="gang", spread=True)
    seats = [seat("m1"), seat("m2"), seat("m3", zone="b")]
    (start,) = walk.scheduling_pass(0, seats, [scatter])
    zones = [s.zone for _, s in start.assignments]
    assert max(zones.count("a"), zones.count("b")) == 2


def test_machine_with_the_image_goes_first():
    job = spec("req-1", tasks=1, image="x", image_gb=50.0)
    box = MachineType("box", 32, 0, 128, 100, 0.5, 1, 1, SECOND_US, ("a",))
    cold = Candidate("cold", box, "a", False, total_resources(box))
    warm = Candidate("warm", box, "a", False, total_resources(box), images=("x",), partition=3)
    (start,) = BackfillScheduler(BOUNDS).scheduling_pass(
        0, [cold, warm], [QueuedWork(job, [0], (2, 0, "req-1"), 0, 60 * SECOND_US)]
    )
    assert start.assignments[0][1] is warm


def test_delay_follows_the_papers_steps_but_the_first_batch_only_records():
    delay = AdaptiveDelay(20 * SECOND_US, 2, 0.25)
    for wait in (0, 0):  # mean slowdown 1
        delay.record_completion(True, wait * SECOND_US, 10 * SECOND_US)
    assert delay.delay_us == 20 * SECOND_US
    for wait in (10, 10):  # mean 2: change (2-1)/2
        delay.record_completion(True, wait * SECOND_US, 10 * SECOND_US)
    assert delay.delay_us == 30 * SECOND_US
    for wait in (11, 11):  # within the threshold
        delay.record_completion(True, wait * SECOND_US, 10 * SECOND_US)
    assert delay.delay_us == 30 * SECOND_US


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 10**9), st.integers(0, 10**9)), max_size=80))
def test_delay_is_never_negative_and_a_run_of_no_length_counts_as_a_second(completions):
    delay = AdaptiveDelay(20 * SECOND_US, 5, 0.25)
    for short, wait, run in completions:
        delay.record_completion(short, wait, run)
        assert delay.delay_us >= 0
    calm = AdaptiveDelay(20 * SECOND_US, 1, 0.25)
    calm.record_completion(True, SECOND_US, 0)
    assert calm.previous_mean == 2.0
