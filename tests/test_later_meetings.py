"""Further combinations of faults in the simulation of a cluster.

The tests check by the trace that each combination took place, that no rule was broken, and that a rule is
broken if the guard against this combination is left out. Starts after a cancellation are tested in
``test_cancelling``.
"""

import re
from contextlib import ExitStack
from functools import partial
from unittest import mock

import msgspec
import pytest

from measurements.simulation.cluster import run
from measurements.simulation.faults import Fault
from pearstep.controller import controller
from pearstep.controller.job_api import JobApi
from pearstep.controller.settings import owner_config
from pearstep.domain.job_state import JobState
from pearstep.failure_detection.staleness import StalenessBound
from pearstep.scheduling.placement import Candidate
from pearstep.shard.machine import Machine
from pearstep.shard.machine_lifecycle import MachineLifecycle
from pearstep.shard.task_placement import TaskPlacement
from pearstep.state.job import Job
from pearstep.transport.kv_client import KeyValueStore
from tests.test_meetings import (
    confirmed_cancellation_times,
    find_in_trace,
    run_without_broken_rules,
)
from tests.test_meetings import make_setup as make_fault_setup
from tests.world import ShardHarness, spec

make_setup = partial(make_fault_setup, settle_s=45.0)


def broken_rules(setup, *patches):
    """Return the rules that are broken in a run with patches."""
    with ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        return {text.partition(":")[0] for text in run(setup)[0].broken}


def leadership_times(trace, after_s):
    return [at_s for at_s, _ in find_in_trace(trace, r"leadership acquired") if at_s > after_s]


def owner_config_with_short_lease(settings):
    """Make the owner free placements a quarter of a lease after the last answer."""
    config = owner_config(settings)
    config.lease_us //= 4
    return config


def patch_short_lease():
    return mock.patch.object(controller, "owner_config", owner_config_with_short_lease)


# -- reads that follow writes closely --------------------------------------------------------------

CLOSE_READS = make_setup(
    Fault("close_looks", 18.0, 40.0),
    Fault("slow_state", 22.0, 15.0, share=0.3),
    Fault("node_crash", 38.0, whom="leader", back_s=0.2),
    Fault("answers_lost", 42.0, 12.0, share=0.2),
)


def test_reads_from_all_nodes_never_return_older_states():
    result, trace = run_without_broken_rules(CLOSE_READS)
    assert (
        result.looks > 30
        and len(confirmed_cancellation_times(trace)) >= 5
        and leadership_times(trace, 38.0)
        and result.carried > 3
    )


def patch_reads_without_barrier():
    """Make nodes answer reads from their replicas without a read barrier."""

    async def return_at_once():
        return True

    def init_without_barrier(job_api, *args):
        original_init(job_api, *args)
        job_api.lookup.read_barrier = return_at_once

    original_init = JobApi.__init__
    return mock.patch.object(JobApi, "__init__", init_without_barrier)


def test_reads_detect_answers_without_a_read_barrier():
    assert broken_rules(CLOSE_READS, patch_reads_without_barrier()) & {"forgotten", "went_back"}


# -- transactions whose answer is lost -------------------------------------------------------------

UNKNOWN_COMMIT = re.compile(r"shard commit not applied shard=\d+ outcome=unknown")

LOST_ANSWERS = make_setup(
    Fault("answers_lost", 18.0, 40.0, share=0.4),
    Fault("close_looks", 18.0, 40.0),
    Fault("node_crash", 35.0, whom="leader", back_s=0.2),
)


def test_executed_transactions_without_an_answer():
    result, trace = run_without_broken_rules(LOST_ANSWERS)
    assert result.carried > 30 and any(UNKNOWN_COMMIT.search(line) for line in trace)
    assert result.looks > 30 and leadership_times(trace, 35.0)


def test_node_without_an_answer_needs_a_read_barrier_to_agree_with_the_others():
    assert broken_rules(LOST_ANSWERS, patch_reads_without_barrier()) & {"forgotten", "went_back"}


# -- teams at their limits -------------------------------------------------------------------------

TEAM_LIMITS = make_setup(
    Fault("cancel_now", 30.0, 9.0, count=8),
    Fault("node_crash", 30.8, whom="leader", back_s=0.9),
    Fault("machine_held", 45.0, 8.0, [0, 1, 2, 3, 4]),
    Fault("cancel_now", 46.0, count=8),
    Fault("node_crash", 46.5, whom="leader", back_s=6.0),
    Fault("machine_deaf", 62.0, 9.0, [0, 2, 4, 6, 8]),
    Fault("cancel_now", 63.0, count=8),
    Fault("node_crash", 63.3, whom="leader", back_s=6.0),
    load=0.9,
    most_cpus=(44.0, 44.0),
    kinds=(5, 3, 0),
    lease_s=16.0,
    report_s=2.5,
)


def test_team_limits_hold_while_cancelled_jobs_run_on_unreachable_machines():
    _, trace = run_without_broken_rules(TEAM_LIMITS)
    assert len(confirmed_cancellation_times(trace)) >= 12 and len(leadership_times(trace, 30.0)) >= 3


def test_cancelled_tasks_count_against_the_limit_until_they_have_stopped():
    tasks_within_quota = Job.tasks_within_quota
    without_cancelled_tasks = mock.patch.object(
        Job,
        "tasks_within_quota",
        lambda job: 0 if job.state == JobState.CANCELLED else tasks_within_quota(job),
    )
    assert "quota" in broken_rules(TEAM_LIMITS, without_cancelled_tasks)


# -- cancellation while a shard changes its owner --------------------------------------------------

OWNER_CHANGE = make_setup(
    *(Fault("node_crash", 30.0 + 9 * n, who=[n], back_s=(0.2, 6.0, 0.05)[n]) for n in range(3)),
    *(Fault("cancel_now", at_s, count=2) for at_s in (30.1, 33.0, 36.0, 39.2, 42.0, 45.0, 48.1, 50.0)),
    Fault("node_no_workers", 58.0, 12.0, [1]),
    *(Fault("cancel_now", at_s, count=2) for at_s in (60.0, 63.0, 66.0)),
    load=0.8,
    run_s=(30.0, 60.0),
)


def test_jobs_are_cancelled_while_shards_change_their_owners():
    _, trace = run_without_broken_rules(OWNER_CHANGE)
    acquired = [at_s for at_s, _ in find_in_trace(trace, r"shard lease acquired") if at_s > 30.0]
    # Some cancellations were confirmed between an owner's crash and the next claim.
    assert (
        len(acquired) >= 3 and sum(30.0 < at_s < 70.0 for at_s in confirmed_cancellation_times(trace)) >= 10
    )


def test_next_owner_stops_tasks_of_cancelled_jobs():
    assert "ran_cancelled" in broken_rules(
        msgspec.structs.replace(OWNER_CHANGE, until_s=OWNER_CHANGE.until_s + 20),
        mock.patch.object(MachineLifecycle, "_handle_ended_jobs", lambda *args: None),
    )


# -- machines that are up within two seconds -------------------------------------------------------

QUICK_MACHINES = make_setup(
    Fault("quick_machines", 18.0, 40.0),
    Fault("machine_dies", 19.0, who=[0, 1, 2, 3, 4, 5]),
    Fault("slow_state", 18.0, 30.0, share=0.4),
    Fault("late_writes", 20.0, 25.0, share=0.2),
    Fault("flood", 19.5),
    *(Fault("node_crash", at_s, whom="leader", back_s=0.9) for at_s in (24.0, 31.0, 38.0)),
    Fault("nodes_crash", 44.0, back_s=0.9),
    run_s=(20.0, 40.0),
)


def test_new_machines_get_work_at_once_while_writes_are_slow_and_leaders_crash():
    setup = msgspec.structs.replace(QUICK_MACHINES, until_s=QUICK_MACHINES.until_s + 20)
    _, trace = run_without_broken_rules(setup)
    granted = [at_s for at_s, _ in find_in_trace(trace, r"instances granted granted=\d+") if at_s > 19.0]
    assert granted and len(leadership_times(trace, 24.0)) >= 2
    first_start_s = {}
    for at_s, (machine,) in find_in_trace(trace, r"req-\S+ try \d+ on (\S+)"):
        first_start_s.setdefault(machine, at_s)
    assert sum(19.0 < at_s < 60.0 for at_s in first_start_s.values()) >= 4


def test_nothing_is_placed_on_a_machine_before_its_record_is_committed():
    def first_written_kinds(*patches):
        world = ShardHarness()
        world.report("m0")
        world.submit(spec(tasks=1))
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            world.run_pass()
        return {key[0] for key in world.owner.gather_commit(world.now, world.now).puts}

    assert first_written_kinds() == {"m"}
    assert first_written_kinds(mock.patch.object(TaskPlacement, "_is_recorded", lambda *args: True)) == {
        "m",
        "p",
    }


# -- outdated heartbeats after a change of leader --------------------------------------------------

OLD_HEARTBEATS = make_setup(
    Fault("reports_kept", 18.0, 50.0, share=0.5),
    Fault("machine_mute", 24.0, 14.0, [0, 2, 4]),
    Fault("machine_dies", 37.0, who=[1, 3]),
    Fault("node_crash", 30.0, whom="leader", back_s=6.0),
    Fault("nodes_crash", 52.0, back_s=6.0),
    Fault("node_crash", 70.0, whom="leader", back_s=6.0),
    load=0.8,
    run_s=(20.0, 40.0),
)


def test_outdated_heartbeats_reach_every_controller_around_changes_of_leader():
    result, trace = run_without_broken_rules(OLD_HEARTBEATS)
    assert result.copies > 100 and len(leadership_times(trace, 30.0)) >= 3


def test_new_owner_does_not_rely_on_outdated_heartbeats():
    def init_with_acknowledged_token(machine, name, *args):
        original_init(machine, name, *args)
        machine.token_acknowledged = True

    original_init = Machine.__init__
    broken = broken_rules(
        OLD_HEARTBEATS, mock.patch.object(Machine, "__init__", init_with_acknowledged_token)
    )
    assert broken & {"ran_twice", "brought_back"}


# -- one-task jobs ---------------------------------------------------------------------------------


@pytest.mark.parametrize("most_cpus", [(160.0, 0.0), (160.0, 160.0)])
def test_four_one_task_jobs_a_second_of_which_a_quarter_is_cancelled(most_cpus):
    result, trace = run_without_broken_rules(
        make_setup(
            Fault("small_jobs", 18.0, 60.0),
            Fault("node_crash", 50.0, whom="leader", back_s=6.0),
            load=0.05,
            most_cpus=most_cpus,
        )
    )
    assert result.jobs > 240 and result.accepted == result.jobs
    assert len(confirmed_cancellation_times(trace)) > 30 and leadership_times(trace, 50.0)
    # All jobs have finished except services, which do not end, and the jobs submitted last.
    assert result.finished >= result.jobs - 8


# -- cancellation while nodes or machines are unreachable ------------------------------------------

REFUSED_LEADER = make_setup(
    Fault("node_refused", 30.0, 14.0, whom="leader"),
    Fault("cancel_now", 30.0, count=16),
    Fault("state_outage", 31.0, 55.0),
    load=1.0,
    run_s=(60.0, 90.0),
    nodes=3,
)


def test_cancellations_when_the_leader_is_refused_and_the_state_service_fails_a_second_later():
    _, trace = run_without_broken_rules(REFUSED_LEADER)
    assert sum(30.0 < at_s < 31.0 for at_s in confirmed_cancellation_times(trace)) >= 3


def test_owner_without_news_of_cancellations_stops_acting():
    # Without contact to peers, and in the second run without the staleness bound.
    faults = [*REFUSED_LEADER.faults, Fault("nodes_apart", 29.9, 56.0)]
    setup = msgspec.structs.replace(REFUSED_LEADER, faults=sorted(faults, key=lambda fault: fault.at_s))
    assert broken_rules(setup) == set()
    assert "ran_cancelled" in broken_rules(
        setup, mock.patch.object(StalenessBound, "exceeded", lambda *args: False)
    )


CANCEL_AT_END = make_setup(
    Fault("cancel_at_end", 18.0, 50.0, share=0.7),
    Fault("close_looks", 18.0, 50.0),
    load=0.8,
    run_s=(5.0, 15.0),
)


def test_cancellations_and_reads_coincide_with_the_end_of_the_last_task():
    result, trace = run_without_broken_rules(CANCEL_AT_END)
    completed = {job_id for _, (job_id, _) in find_in_trace(trace, r"(req-\d+)/(\d+) has completed")}
    cancelled = {job_id for _, (job_id,) in find_in_trace(trace, r"told that (\S+) is cancelled")}
    # Some jobs were cancelled although all tasks had completed: the cancellation was committed first.
    assert result.looks > 50 and completed & cancelled


def test_cancellation_transaction_decides_between_cancelled_and_done():
    original_commit = KeyValueStore.commit

    async def commit_cancellation_without_conditions(self, conditions, puts, deletes=None, urgency=2):
        is_cancellation = any(getattr(value, "state", "") == JobState.CANCELLED for value, _ in puts.values())
        return await original_commit(self, {} if is_cancellation else conditions, puts, deletes, urgency)

    faults = [Fault("cancel_at_end", 18.0, 50.0, share=1.0), Fault("slow_state", 18.0, 50.0, share=0.5)]
    setup = msgspec.structs.replace(CANCEL_AT_END, faults=[*faults, CANCEL_AT_END.faults[1]])
    assert broken_rules(setup) == set()
    assert broken_rules(
        setup, mock.patch.object(KeyValueStore, "commit", commit_cancellation_without_conditions)
    )


LOST_HEARTBEATS = make_setup(
    Fault("machine_mute", 30.0, 25.0, [0, 2, 4, 6, 8]),
    Fault("cancel_now", 33.0, count=6),
    Fault("node_crash", 36.0, whom="leader", back_s=6.0),
    load=0.8,
    run_s=(60.0, 90.0),
)


def test_machines_receive_commands_while_their_heartbeats_are_lost():
    result, trace = run_without_broken_rules(LOST_HEARTBEATS)
    assert result.killed > 0 and sum(33.0 < at_s < 55.0 for at_s in confirmed_cancellation_times(trace)) >= 3


def test_placements_are_not_freed_before_the_lease_of_a_silent_machine_expires():
    assert "ran_twice" in broken_rules(LOST_HEARTBEATS, patch_short_lease())


LONG_OUTAGE = make_setup(
    Fault("zone_cut", 25.0, 16.0, [1]),
    Fault("cancel_now", 33.0, count=5),
    Fault("nodes_crash", 55.0, back_s=14.0),
    zones=2,
    nodes=3,
    machines=12,
    load=0.6,
    run_s=(40.0, 60.0),
)


def test_a_zone_then_all_controllers_are_unreachable_for_longer_than_the_lease():
    result, trace = run_without_broken_rules(LONG_OUTAGE)
    assert result.killed > 0 and sum(33.0 < at_s < 41.0 for at_s in confirmed_cancellation_times(trace)) >= 2
    assert (
        min(at_s for at_s, _ in find_in_trace(trace, r"shard lease acquired") if at_s > 55.0)
        > 55.0 + LONG_OUTAGE.lease_s
    )


def test_leader_changes_ten_times_in_two_minutes_and_during_a_state_service_outage():
    setup = make_setup(
        *(Fault("node_crash", 20.0 + 11 * n, whom="leader", back_s=(0, 0.2, 6)[n % 3]) for n in range(10)),
        Fault("state_outage", 60.0, 20.0),
        *(Fault("cancel_now", at_s, count=3) for at_s in (25.0, 62.0, 90.0)),
    )
    _, trace = run_without_broken_rules(setup)
    assert len(leadership_times(trace, 20.0)) >= 9 and confirmed_cancellation_times(trace)


ZONE_BOUND = make_setup(
    *(Fault("machine_dies", at_s, who=[n, n + 4, n + 8]) for n, at_s in enumerate((25.0, 35.0, 45.0))),
    Fault("slow_links", 20.0, 30.0),
    Fault("flood", 22.0),
    Fault("node_crash", 40.0, whom="leader", back_s=0.9),
    zones=3,
    machines=18,
    bound=0.8,
    run_s=(10.0, 25.0),
)


def test_zone_bound_jobs_lose_machines_while_links_are_slow_and_the_zones_are_full():
    setup = msgspec.structs.replace(ZONE_BOUND, until_s=ZONE_BOUND.until_s + 60)
    result, trace = run_without_broken_rules(setup)
    assert result.jobs > 50 and leadership_times(trace, 40.0)


def test_zone_of_a_job_is_checked_for_each_machine():
    allows = Candidate.allows
    in_any_zone = mock.patch.object(
        Candidate,
        "allows",
        lambda candidate, spec, zone: allows(candidate, msgspec.structs.replace(spec, zone=None), zone),
    )
    assert "wrong_place" in broken_rules(ZONE_BOUND, in_any_zone)
