"""Combinations of two faults, one by one, in the simulation of a cluster.

Each test checks by the trace that the combination took place, and that no rule was broken. Late transactions
are tested in ``test_fence``, refusals by the state service and its outages in ``test_knowledge``.
"""

import re

import pytest

from measurements.simulation.cluster import Setup, run, setup_of_meeting
from measurements.simulation.faults import KINDS, Fault
from measurements.simulation.meetings import MEETINGS, pairs


def make_setup(*faults, settle_s=60.0, **changes):
    defaults = dict(seed=6, nodes=3, zones=1, machines=9, load=0.5, run_s=(15.0, 30.0))
    calm_s = max(fault.at_s + fault.for_s + fault.back_s for fault in faults)
    faults = sorted(faults, key=lambda fault: fault.at_s)
    return Setup(faults=faults, calm_s=calm_s, until_s=calm_s + settle_s, **{**defaults, **changes})


def run_without_broken_rules(setup):
    result, trace = run(setup, log=True)
    assert result.broken == []
    return result, trace


def run_faults(*faults, **changes):
    return run_without_broken_rules(make_setup(*faults, **changes))


def find_in_trace(trace, pattern):
    """Return the time and the groups of each line of the trace that matches a pattern."""
    searches = [(float(line.split()[0]), re.search(pattern, line)) for line in trace]
    return [(at_s, match.groups()) for at_s, match in searches if match]


def confirmed_cancellation_times(trace):
    """Return the times at which cancellations were confirmed to users."""
    return [at_s for at_s, _ in find_in_trace(trace, r"told that (\S+) is cancelled")]


@pytest.mark.parametrize("leader_crashes", [1, 2])
def test_small_jobs_complete_across_leader_changes(leader_crashes):
    crashes = [Fault("node_crash", 30.0 + 12 * n, whom="leader", back_s=6.0) for n in range(leader_crashes)]
    _, trace = run_faults(*crashes, uneven=1.0, run_s=(8.0 * leader_crashes, 14.0 * leader_crashes), load=0.8)
    acquired = [at_s for at_s, _ in find_in_trace(trace, r"leadership acquired") if at_s > 30.0]
    completed = {}
    for at_s, (job_id, task) in find_in_trace(trace, r"(req-\d+)/(\d+) has completed"):
        completed.setdefault(job_id, {})[int(task)] = at_s
    spanning = [
        job_id
        for job_id, tasks in completed.items()
        if len(tasks) == 3 and min(tasks.values()) < acquired[0] and max(tasks.values()) > acquired[-1]
    ]
    # The first task of some jobs completed under one leader, and the last under another.
    assert len(acquired) >= leader_crashes and spanning
    starts = [name for _, (name,) in find_in_trace(trace, r"(req-\d+/\d+) try \d+ on ")]
    assert all(f"{job_id}/{n}" in starts for job_id in spanning for n in range(3))


def test_outdated_heartbeats_reach_a_later_shard_owner():
    result, trace = run_faults(
        Fault("report_copies", 20.0, 40.0, late_s=(2.0, 30.0)),
        Fault("machine_mute", 26.0, 15.0, [1, 4]),
        Fault("node_crash", 30.0, who=[1], back_s=6.0),
        Fault("node_crash", 42.0, who=[2], back_s=0.2),
    )
    assert result.copies > 50 and result.killed > 0
    assert sum(at_s > 30.0 for at_s, _ in find_in_trace(trace, r"shard lease acquired")) >= 2


def test_jobs_are_cancelled_through_a_new_leader_while_the_old_one_is_isolated():
    _, trace = run_faults(
        Fault("node_isolated", 30.0, 60.0, whom="leader"),
        *(Fault("users_cancel", at_s, who=[n], share=0.5) for at_s in (46.0, 52.0) for n in range(3)),
        run_s=(60.0, 90.0),
    )
    old_leader = next(
        node for at_s, (node,) in find_in_trace(trace, r"(n\d)\.\d leadership acquired") if at_s < 30.0
    )
    acquired = [
        at_s
        for at_s, (node,) in find_in_trace(trace, r"(n\d)\.\d leadership acquired")
        if at_s > 30.0 and node != old_leader
    ]
    # Cancellations were confirmed after a new leader took over, while the old one was still isolated.
    assert acquired and sum(acquired[0] < at_s < 90.0 for at_s in confirmed_cancellation_times(trace)) >= 3


def test_delayed_commands_and_answers_arrive_during_the_next_attempt():
    machines = [0, 2, 5, 7]
    result, trace = run_faults(
        Fault("machine_held", 30.0, 5.0, machines),
        Fault("users_cancel", 31.0, who=[0], share=0.4),
        Fault("machine_held", 38.0, 9.0, machines),
        Fault("machine_hangs", 50.0, 6.0, machines),
        Fault("node_crash", 53.0, who=[1], back_s=3.0),
    )
    assert confirmed_cancellation_times(trace) and result.starts > 50


@pytest.mark.parametrize("kind", ["machine_deaf", "machine_mute", "machine_hangs"])
def test_leader_crashes_while_machines_with_tasks_are_unreachable(kind):
    _, trace = run_faults(
        Fault(kind, 30.0, 20.0, [0, 3, 6, 8]),
        Fault("node_crash", 33.0, whom="leader", back_s=6.0),
        run_s=(60.0, 90.0),
    )
    assert any(33.0 < at_s < 50.0 for at_s, _ in find_in_trace(trace, r"leadership acquired"))


def test_each_pair_of_faults_overlaps_and_is_reproducible():
    assert len(pairs()) == len(MEETINGS) * len(KINDS)
    for meeting, kind in pairs():
        setup = setup_of_meeting(5, meeting, kind)
        assert setup.faults == setup_of_meeting(5, meeting, kind).faults
        assert kind in {fault.kind for fault in setup.faults}
        meeting_faults = [fault for fault in setup.faults if fault.kind != kind]
        added_faults = [fault for fault in setup.faults if fault.kind == kind]
        if len(added_faults) == 1 and meeting_faults:
            # The added fault begins before the others are over.
            assert added_faults[0].at_s <= max(fault.at_s + fault.for_s for fault in meeting_faults) + 0.01
        assert setup.until_s >= setup.calm_s + 75
