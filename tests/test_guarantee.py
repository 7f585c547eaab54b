"""Tests of guaranteed quotas: which jobs are within them, and their place in the scheduling order."""

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


def office_with_jobs(*jobs):
    office = LeaderHarness()
    office.replica.quota_guarantees = QuotaGuarantees(TEAMS, 30 * SECOND_US)
    for n, job in enumerate(jobs):
        office.submit(job, at=n)
    return office


def test_job_is_within_the_guarantee_if_it_fits_beside_earlier_jobs_of_its_team():
    office = office_with_jobs(
        spec("req-1", team="a", tasks=6),
        spec("req-2", team="a", tasks=5),
        spec("req-3", team="a", tasks=1),
        spec("req-4", team="b", tasks=4, gpus=1.0),
        spec("req-5", team="b", tasks=1, gpus=1.0),
        spec("req-6", team="b", tasks=9),
        spec("req-7", team="c", tasks=1),
    )
    # A job that uses none of the guaranteed resources is not within the guarantee: req-6 uses no accelerator.
    assert jobs_within_guarantee(office.replica.open_jobs.values(), TEAMS) == {"req-1", "req-4"}
    office.put("j/req-1", JobRecord(spec("req-1", team="a", tasks=6), 0, JobState.DONE, 9))
    assert jobs_within_guarantee(office.replica.open_jobs.values(), TEAMS) == {"req-2", "req-3", "req-4"}


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 6), st.integers(0, 2)), max_size=12),
    st.lists(st.integers(0, 11), max_size=12),
)
def test_jobs_stay_within_the_guarantee_when_earlier_jobs_end(jobs, ended_jobs):
    specs = [
        spec(f"req-{n}", team=team, tasks=tasks, gpus=float(gpus))
        for n, (team, tasks, gpus) in enumerate(jobs)
    ]
    office = office_with_jobs(*specs)
    for n in ended_jobs:
        before = jobs_within_guarantee(office.replica.open_jobs.values(), TEAMS)
        if n < len(specs):
            office.put(f"j/req-{n}", JobRecord(specs[n], n, JobState.DONE, 99))
        now = jobs_within_guarantee(office.replica.open_jobs.values(), TEAMS)
        assert before & office.replica.open_jobs.keys() <= now
        assert {
            job_id for job_id in office.replica.open_jobs if office.replica.guaranteed_start_within_us(job_id)
        } == now
        used = {}
        for job_id in now:
            job = office.replica.open_jobs[job_id].spec
            cpus, gpus = used.get(job.team, (0.0, 0.0))
            used[job.team] = (cpus + job.tasks * job.cpus, gpus + job.tasks * job.gpus)
        assert all(cpus <= 100 or team != "a" for team, (cpus, _) in used.items())
        assert all(gpus <= 4 or team != "b" for team, (_, gpus) in used.items())


def test_guarantee_adds_a_start_objective():
    job, objectives = spec(job_class="c"), {"c": (50 * SECOND_US,)}
    assert scheduling_key(job, 0, SECOND_US, objectives, 30 * SECOND_US) == scheduling_key(
        job, 0, SECOND_US, {"c": (30 * SECOND_US, 50 * SECOND_US)}
    )
    assert scheduling_key(job, 0, 40 * SECOND_US, objectives, 30 * SECOND_US) == scheduling_key(
        job, 0, 40 * SECOND_US, objectives
    )
    # Without an objective of its class, the job precedes jobs without any objective and follows jobs of
    # higher priority.
    assert scheduling_key(job, 0, 900 * SECOND_US, {}, 30 * SECOND_US) < scheduling_key(
        job, 0, 900 * SECOND_US, {}
    )
    assert scheduling_key(spec(priority=1), 0, SECOND_US, {}) < scheduling_key(
        job, 0, SECOND_US, {}, 30 * SECOND_US
    )


def test_team_with_many_tasks_does_not_delay_others_within_their_guarantee():
    # Seen: resources for 270 tasks became free. 1,600 tasks of one team were ahead of nine other teams, each
    # within its guarantee, and all 270 places went to the first team.
    teams = {f"t{n}": Team(f"t{n}", cpus=100.0) for n in range(10)}
    office = LeaderHarness()
    office.replica.quota_guarantees = QuotaGuarantees(teams, 30 * SECOND_US)
    office.submit(spec("req-0", team="t0", tasks=1600), at=0)
    for n in range(1, 10):
        office.submit(spec(f"req-{n}", team=f"t{n}", tasks=10), at=n)
    assert not office.plan_routes()
    for n in range(90):
        office.add_machine(f"m{n}", n % 2)
    routes = office.plan_routes()
    for n in range(1, 10):
        assert sum(tasks.bit_count() for (job_id, _), tasks in routes.items() if job_id == f"req-{n}") == 10
    first_team_tasks = sum(tasks.bit_count() for (job_id, _), tasks in routes.items() if job_id == "req-0")
    assert 180 <= first_team_tasks <= 180 + 12
