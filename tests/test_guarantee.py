"""Jobs within their teams' guarantees, and the order that follows."""

from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.job_state import JobState
from pearstep.domain.scheduling_order import scheduling_key
from pearstep.domain.team import Team
from pearstep.domain.units import SECOND_US
from pearstep.state.quota_guarantee import QuotaGuarantees, jobs_within_guarantee
from pearstep.state.records import JobRecord
from tests.test_leader import LeaderHarness
from tests.world import spec

TEAMS = {"a": Team("a", cpus=100.0), "b": Team("b", gpus=4.0), "c": Team("c")}


def office(*jobs):
    o = LeaderHarness()
    o.replica.quota_guarantees = QuotaGuarantees(TEAMS, 30 * SECOND_US)
    for n, job in enumerate(jobs):
        o.submit(job, at=n)
    return o


def test_a_job_is_within_if_it_fits_together_with_the_earlier_ones_of_its_team():
    o = office(
        spec("req-1", team="a", tasks=6),
        spec("req-2", team="a", tasks=5),
        spec("req-3", team="a", tasks=1),
        spec("req-4", team="b", tasks=4, gpus=1.0),
        spec("req-5", team="b", tasks=1, gpus=1.0),
        spec("req-6", team="b", tasks=9),
        spec("req-7", team="c", tasks=1),
    )
    # Nothing that a team's guarantee does not speak of is within it: req-6 uses no accelerator.
    assert jobs_within_guarantee(o.replica.open_jobs.values(), TEAMS) == {"req-1", "req-4"}
    o.put("j/req-1", JobRecord(spec("req-1", team="a", tasks=6), 0, JobState.DONE, 9))
    assert jobs_within_guarantee(o.replica.open_jobs.values(), TEAMS) == {"req-2", "req-3", "req-4"}


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 6), st.integers(0, 2)), max_size=12),
    st.lists(st.integers(0, 11), max_size=12),
)
def test_what_is_within_stays_within_as_earlier_jobs_end_and_is_reckoned_as_if_afresh(jobs, ends):
    specs = [
        spec(f"req-{n}", team=team, tasks=tasks, gpus=float(gpus))
        for n, (team, tasks, gpus) in enumerate(jobs)
    ]
    o = office(*specs)
    for n in ends:
        before = jobs_within_guarantee(o.replica.open_jobs.values(), TEAMS)
        if n < len(specs):
            o.put(f"j/req-{n}", JobRecord(specs[n], n, JobState.DONE, 99))
        now = jobs_within_guarantee(o.replica.open_jobs.values(), TEAMS)
        assert before & o.replica.open_jobs.keys() <= now
        assert {ref for ref in o.replica.open_jobs if o.replica.guaranteed_start_within_us(ref)} == now
        used = {}
        for ref in now:
            job = o.replica.open_jobs[ref].spec
            cpus, gpus = used.get(job.team, (0.0, 0.0))
            used[job.team] = (cpus + job.tasks * job.cpus, gpus + job.tasks * job.gpus)
        assert all(cpus <= 100 or team != "a" for team, (cpus, _) in used.items())
        assert all(gpus <= 4 or team != "b" for team, (_, gpus) in used.items())


def test_guarantee_is_one_more_time_to_start_within():
    job, aims = spec(job_class="c"), {"c": (50 * SECOND_US,)}
    assert scheduling_key(job, 0, SECOND_US, aims, 30 * SECOND_US) == scheduling_key(
        job, 0, SECOND_US, {"c": (30 * SECOND_US, 50 * SECOND_US)}
    )
    assert scheduling_key(job, 0, 40 * SECOND_US, aims, 30 * SECOND_US) == scheduling_key(
        job, 0, 40 * SECOND_US, aims
    )
    # Without an aim of its class it comes before what has none, and after all of a higher priority.
    assert scheduling_key(job, 0, 900 * SECOND_US, {}, 30 * SECOND_US) < scheduling_key(
        job, 0, 900 * SECOND_US, {}
    )
    assert scheduling_key(spec(priority=1), 0, SECOND_US, {}) < scheduling_key(
        job, 0, SECOND_US, {}, 30 * SECOND_US
    )


def test_team_that_floods_does_not_hold_back_others_within_their_guarantee():
    # Seen: 270 places came free, 1,600 tasks of one team were before nine others, each within its own
    # guarantee, and all 270 went to that team.
    teams = {f"t{n}": Team(f"t{n}", cpus=100.0) for n in range(10)}
    o = LeaderHarness()
    o.replica.quota_guarantees = QuotaGuarantees(teams, 30 * SECOND_US)
    o.submit(spec("req-0", team="t0", tasks=1600), at=0)
    for n in range(1, 10):
        o.submit(spec(f"req-{n}", team=f"t{n}", tasks=10), at=n)
    assert not o.plan_routes()
    for n in range(90):
        o.add_machine(f"m{n}", n % 2)
    routes = o.plan_routes()
    for n in range(1, 10):
        assert sum(m.bit_count() for (ref, _), m in routes.items() if ref == f"req-{n}") == 10
    flood = sum(m.bit_count() for (ref, _), m in routes.items() if ref == "req-0")
    assert 180 <= flood <= 180 + 12
