"""The users' further meetings in the rig: that each took place, by its trace; that no rule broke; and that a
rule breaks where the guard that the meeting is for is left out. What no start may follow is in
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
from tests.test_meetings import holds, times, told
from tests.test_meetings import setup as meeting
from tests.world import ShardHarness, spec

setup = partial(meeting, rest_s=45.0)


def rules(played, *patches):
    """The rules that are broken with something left out."""
    with ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        return {text.partition(":")[0] for text in run(played)[0].broken}


def led(trace, after_s):
    return [at for at, _ in times(trace, r"leadership acquired") if at > after_s]


def short_lease(settings):
    """Places are freed a quarter of a lease after the last answer."""
    cfg = owner_config(settings)
    cfg.lease_us //= 4
    return cfg


def freed_by_silence():
    return mock.patch.object(controller, "owner_config", short_lease)


# -- 2.1 close looks -------------------------------------------------------------------------------

LOOKS = setup(
    Fault("close_looks", 18.0, 40.0),
    Fault("slow_state", 22.0, 15.0, share=0.3),
    Fault("node_crash", 38.0, whom="leader", back_s=0.2),
    Fault("answers_lost", 42.0, 12.0, share=0.2),
)


def test_close_looks_at_all_nodes_are_told_nothing_older():
    result, trace = holds(LOOKS)
    assert result.looks > 30 and len(told(trace)) >= 5 and led(trace, 38.0) and result.carried > 3


def from_memory():
    """Nodes answer by what they know."""

    async def remembered():
        return True

    def careless(users, *args):
        made(users, *args)
        users.lookup.read_barrier = remembered

    made = JobApi.__init__
    return mock.patch.object(JobApi, "__init__", careless)


def test_close_looks_find_answers_from_memory():
    assert rules(LOOKS, from_memory()) & {"forgotten", "went_back"}


# -- 2.2 only the answer is lost -------------------------------------------------------------------

UNKNOWN_COMMIT = re.compile(r"shard commit not applied shard=\d+ outcome=unknown")

LOST = setup(
    Fault("answers_lost", 18.0, 40.0, share=0.4),
    Fault("close_looks", 18.0, 40.0),
    Fault("node_crash", 35.0, whom="leader", back_s=0.2),
)


def test_transactions_of_which_only_the_answer_is_lost():
    result, trace = holds(LOST)
    assert result.carried > 30 and any(UNKNOWN_COMMIT.search(line) for line in trace)
    assert result.looks > 30 and led(trace, 35.0)


def test_node_that_had_no_answer_does_not_know_what_the_others_read():
    assert rules(LOST, from_memory()) & {"forgotten", "went_back"}


# -- 2.3 teams at their limits ---------------------------------------------------------------------

LIMITS = setup(
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


def test_teams_at_their_limits_while_jobs_are_cancelled_whose_machines_cannot_be_asked():
    _, trace = holds(LIMITS)
    assert len(told(trace)) >= 12 and len(led(trace, 30.0)) >= 3


def test_cancelled_tasks_count_against_the_limit_until_they_are_gone():
    using = Job.tasks_within_quota
    forgetting = mock.patch.object(
        Job, "tasks_within_quota", lambda job: 0 if job.state == JobState.CANCELLED else using(job)
    )
    assert "quota" in rules(LIMITS, forgetting)


# -- 2.4 cancelled while a part changes hands ------------------------------------------------------

HAND_OVER = setup(
    *(Fault("node_crash", 30.0 + 9 * n, who=[n], back_s=(0.2, 6.0, 0.05)[n]) for n in range(3)),
    *(Fault("cancel_now", s, count=2) for s in (30.1, 33.0, 36.0, 39.2, 42.0, 45.0, 48.1, 50.0)),
    Fault("node_no_workers", 58.0, 12.0, [1]),
    *(Fault("cancel_now", s, count=2) for s in (60.0, 63.0, 66.0)),
    load=0.8,
    run_s=(30.0, 60.0),
)


def test_jobs_are_cancelled_while_parts_change_hands():
    _, trace = holds(HAND_OVER)
    taken = [at for at, _ in times(trace, r"shard lease acquired") if at > 30.0]
    # Some were told between an end and the next holder's beginning.
    assert len(taken) >= 3 and sum(30.0 < at < 70.0 for at in told(trace)) >= 10


def test_next_holder_stops_what_was_cancelled():
    assert "ran_cancelled" in rules(
        msgspec.structs.replace(HAND_OVER, until_s=HAND_OVER.until_s + 20),
        mock.patch.object(MachineLifecycle, "_handle_ended_jobs", lambda *args: None),
    )


# -- 2.5 machines up within two seconds ------------------------------------------------------------

QUICK = setup(
    Fault("quick_machines", 18.0, 40.0),
    Fault("machine_dies", 19.0, who=[0, 1, 2, 3, 4, 5]),
    Fault("slow_state", 18.0, 30.0, share=0.4),
    Fault("late_writes", 20.0, 25.0, share=0.2),
    Fault("flood", 19.5),
    *(Fault("node_crash", s, whom="leader", back_s=0.9) for s in (24.0, 31.0, 38.0)),
    Fault("nodes_crash", 44.0, back_s=0.9),
    run_s=(20.0, 40.0),
)


def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends():
    played = msgspec.structs.replace(QUICK, until_s=QUICK.until_s + 20)
    _, trace = holds(played)
    rented = [at for at, _ in times(trace, r"instances granted granted=\d+") if at > 19.0]
    assert rented and len(led(trace, 24.0)) >= 2
    first = {}
    for at, (machine,) in times(trace, r"req-\S+ try \d+ on (\S+)"):
        first.setdefault(machine, at)
    assert sum(19.0 < at < 60.0 for at in first.values()) >= 4


def test_nothing_is_placed_on_a_machine_before_its_record_is_committed():
    def first_write(*patches):
        w = ShardHarness()
        w.report("m0")
        w.submit(spec(tasks=1))
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            w.run_pass()
        return {key[0] for key in w.owner.gather_commit(w.now, w.now).puts}

    assert first_write() == {"m"}
    assert first_write(mock.patch.object(TaskPlacement, "_is_recorded", lambda *args: True)) == {"m", "p"}


# -- 2.6 old reports as a leader begins ------------------------------------------------------------

KEPT = setup(
    Fault("reports_kept", 18.0, 50.0, share=0.5),
    Fault("machine_mute", 24.0, 14.0, [0, 2, 4]),
    Fault("machine_dies", 37.0, who=[1, 3]),
    Fault("node_crash", 30.0, whom="leader", back_s=6.0),
    Fault("nodes_crash", 52.0, back_s=6.0),
    Fault("node_crash", 70.0, whom="leader", back_s=6.0),
    load=0.8,
    run_s=(20.0, 40.0),
)


def test_old_reports_reach_every_controller_as_a_leader_begins_and_once_it_has_acted():
    result, trace = holds(KEPT)
    assert result.copies > 100 and len(led(trace, 30.0)) >= 3


def test_old_reports_prove_nothing_to_a_new_holder():
    def believed(machine, name, *args):
        born(machine, name, *args)
        machine.token_acknowledged = True

    born = Machine.__init__
    broken = rules(KEPT, mock.patch.object(Machine, "__init__", believed))
    assert broken & {"ran_twice", "brought_back"}


# -- 2.7 one-task jobs -----------------------------------------------------------------------------


@pytest.mark.parametrize("most", [(160.0, 0.0), (160.0, 160.0)])
def test_one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled(most):
    result, trace = holds(
        setup(
            Fault("small_jobs", 18.0, 60.0),
            Fault("node_crash", 50.0, whom="leader", back_s=6.0),
            load=0.05,
            most_cpus=most,
        )
    )
    assert result.jobs > 240 and result.accepted == result.jobs
    assert len(told(trace)) > 30 and led(trace, 50.0)
    # All are over but services, which run for ever, and what came last.
    assert result.finished >= result.jobs - 8


# -- 8 to 13 ---------------------------------------------------------------------------------------

REFUSED = setup(
    Fault("node_refused", 30.0, 14.0, whom="leader"),
    Fault("cancel_now", 30.0, count=16),
    Fault("state_outage", 31.0, 55.0),
    load=1.0,
    run_s=(60.0, 90.0),
    nodes=3,
)


def test_cancelled_as_the_leader_alone_is_refused_and_a_second_later_all_are():
    _, trace = holds(REFUSED)
    assert sum(30.0 < at < 31.0 for at in told(trace)) >= 3


def test_holder_that_does_not_hear_of_cancellations_does_not_go_on():
    # Without the peers' words and without a bound for what is not known.
    apart = [*REFUSED.faults, Fault("nodes_apart", 29.9, 56.0)]
    cut = msgspec.structs.replace(REFUSED, faults=sorted(apart, key=lambda f: f.at_s))
    assert rules(cut) == set()
    assert "ran_cancelled" in rules(cut, mock.patch.object(StalenessBound, "exceeded", lambda *args: False))


AT_END = setup(
    Fault("cancel_at_end", 18.0, 50.0, share=0.7),
    Fault("close_looks", 18.0, 50.0),
    load=0.8,
    run_s=(5.0, 15.0),
)


def test_cancellations_and_questions_meet_the_end_of_the_last_task():
    result, trace = holds(AT_END)
    over = {ref for _, (ref, _) in times(trace, r"(req-\d+)/(\d+) has completed")}
    withdrawn = {ref for _, (ref,) in times(trace, r"told that (\S+) is cancelled")}
    # Some were cancelled although all had completed: the cancellation came first.
    assert result.looks > 50 and over & withdrawn


def test_cancellation_is_decided_against_the_end_by_its_transaction():
    txn = KeyValueStore.commit

    async def blind(self, conditions, puts, deletes=None, urgency=2):
        late = any(getattr(value, "state", "") == JobState.CANCELLED for value, _ in puts.values())
        return await txn(self, {} if late else conditions, puts, deletes, urgency)

    lagging = [Fault("cancel_at_end", 18.0, 50.0, share=1.0), Fault("slow_state", 18.0, 50.0, share=0.5)]
    lagging = msgspec.structs.replace(AT_END, faults=[*lagging, AT_END.faults[1]])
    assert rules(lagging) == set()
    assert rules(lagging, mock.patch.object(KeyValueStore, "commit", blind))


MUTE = setup(
    Fault("machine_mute", 30.0, 25.0, [0, 2, 4, 6, 8]),
    Fault("cancel_now", 33.0, count=6),
    Fault("node_crash", 36.0, whom="leader", back_s=6.0),
    load=0.8,
    run_s=(60.0, 90.0),
)


def test_machines_reach_no_controller_while_commands_reach_them():
    result, trace = holds(MUTE)
    assert result.killed > 0 and sum(33.0 < at < 55.0 for at in told(trace)) >= 3


def test_places_are_not_freed_by_silence():
    assert "ran_twice" in rules(MUTE, freed_by_silence())


AWAY = setup(
    Fault("zone_cut", 25.0, 16.0, [1]),
    Fault("cancel_now", 33.0, count=5),
    Fault("nodes_crash", 55.0, back_s=14.0),
    zones=2,
    nodes=3,
    machines=12,
    load=0.6,
    run_s=(40.0, 60.0),
)


def test_a_zone_then_all_controllers_are_away_for_longer_than_the_lease():
    result, trace = holds(AWAY)
    assert result.killed > 0 and sum(33.0 < at < 41.0 for at in told(trace)) >= 2
    assert min(at for at, _ in times(trace, r"shard lease acquired") if at > 55.0) > 55.0 + AWAY.lease_s


def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage():
    played = setup(
        *(Fault("node_crash", 20.0 + 11 * n, whom="leader", back_s=(0, 0.2, 6)[n % 3]) for n in range(10)),
        Fault("state_outage", 60.0, 20.0),
        *(Fault("cancel_now", s, count=3) for s in (25.0, 62.0, 90.0)),
    )
    _, trace = holds(played)
    assert len(led(trace, 20.0)) >= 9 and told(trace)


BOUND = setup(
    *(Fault("machine_dies", s, who=[n, n + 4, n + 8]) for n, s in enumerate((25.0, 35.0, 45.0))),
    Fault("slow_links", 20.0, 30.0),
    Fault("flood", 22.0),
    Fault("node_crash", 40.0, whom="leader", back_s=0.9),
    zones=3,
    machines=18,
    bound=0.8,
    run_s=(10.0, 25.0),
)


def test_jobs_bound_to_a_zone_lose_machines_over_slow_links_with_more_work_than_room():
    played = msgspec.structs.replace(BOUND, until_s=BOUND.until_s + 60)
    result, trace = holds(played)
    assert result.jobs > 50 and led(trace, 40.0)


def test_zone_of_a_job_is_looked_at_for_each_machine():
    allows = Candidate.allows
    anywhere = mock.patch.object(
        Candidate,
        "allows",
        lambda seat, spec, zone: allows(seat, msgspec.structs.replace(spec, zone=None), zone),
    )
    assert "wrong_place" in rules(BOUND, anywhere)
