"""Tests of the staleness bound: its value, and simulated outages in which it must stop a stale owner."""

import re
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from measurements.simulation.cluster import Setup, run
from measurements.simulation.faults import Fault
from pearstep.controller.cancellation_exchange import CancellationExchange
from pearstep.controller.peers import PeerClient, PeerQuery
from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.reachability import Neighbour, NodeHealth, Reachability
from pearstep.failure_detection.staleness import StalenessBound
from pearstep.failure_detection.timeouts import (
    CANCELLATION_BROADCAST_US,
    CLOCK_DRIFT_DIVISOR,
    LEASE_EXPIRY_KILL_US,
    MIN_STALENESS_US,
    derive_timeouts,
)
from pearstep.state.records import JobRecord
from tests.world import ShardHarness, spec

OPERATOR_MAXIMA_US = (6 * SECOND_US, 3 * SECOND_US, 10 * SECOND_US)


@pytest.mark.parametrize(
    ("lease_s", "cancel_s", "known_s", "telling_s"),
    [(10, 35, 23.965, 0), (16, 41, 23.959, 0), (36, 56, 18.944, 0), (36, 40, 4, 1.04), (120, 60, 4, 65.124)],
)
def test_staleness_bound_and_confirmation_delay_of_each_site(lease_s, cancel_s, known_s, telling_s):
    timeouts = derive_timeouts(lease_s * SECOND_US, SECOND_US, cancel_s * SECOND_US, *OPERATOR_MAXIMA_US)
    assert (
        timeouts.max_staleness_us / SECOND_US,
        timeouts.cancellation_delay_us / SECOND_US,
    ) == pytest.approx((known_s, telling_s), abs=1e-6)


@given(st.floats(5, 300), st.floats(5, 600))
def test_lease_extended_at_the_bound_expires_before_the_deadline_with_clock_drift(lease_s, cancel_s):
    lease_us, cancel_us = int(lease_s * SECOND_US), int(cancel_s * SECOND_US)
    timeouts = derive_timeouts(lease_us, lease_us // 10, cancel_us, *OPERATOR_MAXIMA_US)
    # The worst case: the confirmation follows the read that missed it at once, and the agent's clock is slow.
    worst_case_us = (
        (timeouts.max_staleness_us + lease_us) * (1 + 1 / (2 * CLOCK_DRIFT_DIVISOR))
        - timeouts.cancellation_delay_us
        + LEASE_EXPIRY_KILL_US
    )
    assert worst_case_us <= cancel_us
    assert (
        timeouts.max_staleness_us >= MIN_STALENESS_US
        and 4 * timeouts.watch_timeout_us <= timeouts.max_staleness_us
        and timeouts.cancellation_delay_us >= 0
    )


def test_answers_of_peers_count_from_their_requests_and_only_if_all_answer():
    bound = StalenessBound(24 * SECOND_US, ["a", "b"], 0)
    bound.read_completed(10 * SECOND_US)
    bound.record_peer_answer("a", 30 * SECOND_US, 31 * SECOND_US, None)
    assert bound.all_complete_through_us() == 10 * SECOND_US and bound.exceeded(35 * SECOND_US)
    bound.record_peer_answer("b", 32 * SECOND_US, 33 * SECOND_US, None)
    assert (
        bound.all_complete_through_us() == 30 * SECOND_US
        and not bound.exceeded(54 * SECOND_US)
        and bound.exceeded(54 * SECOND_US + 1)
    )
    bound.read_completed(5 * SECOND_US)
    bound.record_peer_answer("c", 90 * SECOND_US, 90 * SECOND_US, None)
    assert bound.all_complete_through_us() == 30 * SECOND_US
    # Without other controllers, nobody else can confirm cancellations that this node lacks.
    assert not StalenessBound(24 * SECOND_US, [], 0).exceeded(1 << 60)


def test_answer_of_a_restarted_peer_counts_only_if_no_confirmation_can_be_missing():
    bound = StalenessBound(24 * SECOND_US, ["a"], 0)
    bound.read_completed(10 * SECOND_US)
    # It started at 11 s: confirmations by its previous process since 10 s are missing in its answer.
    bound.record_peer_answer("a", 40 * SECOND_US, 40 * SECOND_US, 29 * SECOND_US)
    assert bound.all_complete_through_us() == 10 * SECOND_US
    # It started before 10 s: its previous process confirmed nothing since then.
    bound.record_peer_answer("a", 40 * SECOND_US, 40 * SECOND_US, 31 * SECOND_US)
    assert bound.all_complete_through_us() == 40 * SECOND_US


def test_stale_node_neither_acts_nor_claims_before_its_next_read():
    bound = StalenessBound(24 * SECOND_US, ["a"], 0)
    reachability = Reachability({Neighbour.STATE: 6 * SECOND_US}, 12 * SECOND_US, staleness_bound=bound)
    reachability.record_contact(Neighbour.STATE, False, SECOND_US)
    assert reachability.update(24 * SECOND_US) == NodeHealth.HEALTHY and reachability.may_act()
    assert (
        reachability.update(25 * SECOND_US) == NodeHealth.STALE
        and not reachability.may_act()
        and not reachability.may_claim(25 * SECOND_US)
    )
    reachability.record_peer_observation(Neighbour.STATE, True, 26 * SECOND_US)
    reachability.record_peer_observation(Neighbour.STATE, True, 28 * SECOND_US)
    assert reachability.update(28 * SECOND_US) == NodeHealth.PARTITIONED
    reachability.record_contact(Neighbour.STATE, True, 40 * SECOND_US)
    assert reachability.update(40 * SECOND_US) == NodeHealth.STALE
    reachability.process_resumed(41 * SECOND_US)
    assert reachability.state == NodeHealth.RESUMED
    bound.read_completed(41 * SECOND_US)
    reachability.resume_completed(41 * SECOND_US)
    assert reachability.state == NodeHealth.HEALTHY


def test_old_peer_observations_do_not_change_the_state_between_updates():
    # Seen (gap-wide): an observation half a second before an outage for all was evaluated at each heartbeat.
    bound = StalenessBound(24 * SECOND_US, ["a"], 0)
    reachability = Reachability({Neighbour.STATE: 6 * SECOND_US}, 12 * SECOND_US, staleness_bound=bound)
    reachability.record_contact(Neighbour.STATE, False, SECOND_US)
    reachability.record_peer_observation(Neighbour.STATE, True, 3 * SECOND_US)
    reachability.record_peer_observation(Neighbour.STATE, True, 6 * SECOND_US)
    reachability.check_staleness(7 * SECOND_US)
    assert reachability.state == NodeHealth.HEALTHY
    reachability.record_peer_observation(Neighbour.STATE, False, 7 * SECOND_US)
    assert reachability.update(7 * SECOND_US) == NodeHealth.HEALTHY
    reachability.check_staleness(25 * SECOND_US)
    assert reachability.state == NodeHealth.STALE and not reachability.may_act()
    reachability.check_staleness(26 * SECOND_US)
    assert reachability.state == NodeHealth.STALE


def test_peer_query_round_trip_and_query_of_an_earlier_release():
    for peer_query in (PeerQuery(), PeerQuery(True, False, 7), PeerQuery(False, True, 0)):
        path, _, query = peer_query.path.partition("?")
        arguments = {
            name: [value.encode()]
            for name, _, value in (part.partition("=") for part in query.split("&") if part)
        }
        assert path == "/mesh/status" and PeerQuery.from_arguments(arguments) == peer_query
    assert PeerQuery.from_arguments({}) == PeerQuery(False, True, None)


def test_replica_lists_jobs_cancelled_after_a_revision():
    world = ShardHarness()
    for n in range(3):
        world.submit(spec(f"req-{n}"))
    for n in (2, 0):
        world.put(f"j/req-{n}", JobRecord(spec(f"req-{n}"), world.now, JobState.CANCELLED, world.now + n))
    found = world.replica.cancelled_after(0)
    assert [job_id for job_id, _, _ in found] == ["req-2", "req-0"] and found[0][2] == world.now + 2
    assert [job_id for job_id, _, _ in world.replica.cancelled_after(found[0][1])] == ["req-0"]
    assert world.replica.cancelled_after(world.replica.revision) == []


def test_machine_is_not_drained_as_stuck_right_after_a_late_cancellation():
    # An outage hid the cancellation for longer than half of the time after which its tasks must have ended.
    world = ShardHarness()
    machine, task, number = world.place_one()
    world.report(machine, (task, number, "running"))
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, JobState.CANCELLED, world.now - 30 * SECOND_US))
    world.run_and_commit()
    assert machine not in world.replica.drains
    assert ("stop", task, number, 0.0) in world.report(machine, (task, number, "running"))
    for _ in range(4):
        world.advance_clock(2)
        world.report(machine, (task, number, "running"))
        world.run_and_commit()
    assert world.replica.drains[machine].reason == "stuck"


# -- the state service refuses one node, then all nodes ---------------------------------------------


def refusal_then_outage(lease_s, report_s, *more, mesh=True, nodes=3, outage_s=60.0, extra_s=25.0):
    """Let the state service refuse only n0, users cancel jobs through n1, then the service fail for all."""
    faults = [
        Fault("node_refused", 30.0, 80.0, [0]),
        Fault("users_cancel", 31.0, who=[1], share=1.0),
        Fault("state_outage", 33.0, outage_s),
        *more,
    ]
    if not mesh:
        faults.append(Fault("nodes_apart", 30.0, outage_s + 20))
    return Setup(
        6,
        nodes,
        1,
        9,
        lease_s,
        report_s,
        load=0.6,
        run_s=(120.0, 160.0),
        extra_s=extra_s,
        faults=sorted(faults, key=lambda f: f.at_s),
        calm_s=33 + outage_s,
        until_s=33 + outage_s + 25,
    )


def confirmed_before_outage(trace):
    """Tell whether at least five cancellations were confirmed between the refusal and the outage."""
    confirmed_at_s = [float(line.split()[0]) for line in trace if "told that" in line]
    return sum(31.0 <= at <= 33.0 for at in confirmed_at_s) >= 5


def guard_patches(*, too_old=False, peers=False, tell=False):
    """Return patches that disable guards of the service."""

    async def ignore_answer(*_):
        return None

    async def skip_broadcast(*_):
        return True

    patches = []
    if too_old:
        patches.append(mock.patch.object(StalenessBound, "exceeded", lambda self, now_us: False))
    if peers:
        patches.append(mock.patch.object(CancellationExchange, "apply_peer_answer", ignore_answer))
    if tell:
        patches.append(mock.patch.object(PeerClient, "broadcast_cancellation", skip_broadcast))
    return patches


def run_without_guards(setup, **guards):
    patches = guard_patches(**guards)
    for patch in patches:
        patch.start()
    try:
        return run(setup, log=True)
    finally:
        for patch in patches:
            patch.stop()


def test_cancelled_tasks_outlive_the_deadline_only_without_all_guards():
    result, trace = run_without_guards(refusal_then_outage(10.0, 1.0), too_old=True, peers=True, tell=True)
    assert confirmed_before_outage(trace) and any(re.match("ran_cancelled", text) for text in result.broken)
    # Without the bound, answers or broadcasts of peers suffice, and no running task is killed.
    for guards in ({"peers": True}, {"tell": True}):
        result, trace = run_without_guards(refusal_then_outage(10.0, 1.0), too_old=True, **guards)
        assert confirmed_before_outage(trace) and result.broken == [] and result.killed == 0
    # Without a peer network the bound alone suffices: leases expire in time.
    result, trace = run_without_guards(refusal_then_outage(10.0, 1.0, mesh=False), peers=True)
    assert confirmed_before_outage(trace) and result.broken == [] and result.killed > 0
    assert any("state=stale" in line for line in trace)


@pytest.mark.parametrize(
    ("lease_s", "report_s", "extra_s", "nodes"),
    [(5.0, 0.5, 25.0, 5), (16.0, 2.5, 25.0, 5), (36.0, 3.0, 20.0, 3), (120.0, 10.0, 25.0, 3)],
)
def test_deadline_holds_without_peer_network_at_other_leases(lease_s, report_s, extra_s, nodes):
    result, trace = run_without_guards(
        refusal_then_outage(lease_s, report_s, mesh=False, nodes=nodes, extra_s=extra_s)
    )
    assert confirmed_before_outage(trace) and result.broken == []


@pytest.mark.parametrize("back_s", [0.2, 6.0])
def test_deadline_holds_if_the_confirming_node_crashes_at_once(back_s):
    # Users ask at 31.0 s. Without peers they get the answer after the delay, and a read barrier's pause.
    crash_s = 31.0 + CANCELLATION_BROADCAST_US / SECOND_US + 0.25
    end = Fault("node_crash", crash_s, 0.0, [1], back_s=back_s)
    result, trace = run_without_guards(refusal_then_outage(10.0, 1.0, end, mesh=False))
    assert confirmed_before_outage(trace) and result.broken == []
    result, trace = run_without_guards(refusal_then_outage(10.0, 1.0, end))
    assert confirmed_before_outage(trace) and result.broken == []


def test_short_outage_kills_no_task_without_peer_network():
    result, trace = run_without_guards(refusal_then_outage(10.0, 1.0, mesh=False, outage_s=20.0))
    assert confirmed_before_outage(trace) and result.broken == [] and result.killed == 0
