"""How old what a holder knows may be: the bound itself, and the meeting that it is for, brought about in
the rig on the service's own nodes.
"""

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
    CLOCK_DRIFT_DIVISOR,
    LEASE_EXPIRY_KILL_US,
    MIN_STALENESS_US,
    derive_timeouts,
)
from pearstep.state.records import JobRecord
from tests.world import World, spec

SET = (6 * SECOND_US, 3 * SECOND_US, 10 * SECOND_US)


@pytest.mark.parametrize(
    ("lease_s", "cancel_s", "known_s", "telling_s"),
    [(10, 35, 23.965, 0), (16, 41, 23.959, 0), (36, 56, 18.944, 0), (36, 40, 4, 1.04), (120, 60, 4, 65.124)],
)
def test_bound_of_each_site_and_of_some_that_leave_no_time(lease_s, cancel_s, known_s, telling_s):
    b = derive_timeouts(lease_s * SECOND_US, SECOND_US, cancel_s * SECOND_US, *SET)
    assert (b.max_staleness_us / SECOND_US, b.cancellation_delay_us / SECOND_US) == pytest.approx(
        (known_s, telling_s), abs=1e-6
    )


@given(st.floats(5, 300), st.floats(5, 600))
def test_lease_prolonged_at_the_last_moment_is_over_in_time_by_any_two_clocks(lease_s, cancel_s):
    lease_us, cancel_us = int(lease_s * SECOND_US), int(cancel_s * SECOND_US)
    b = derive_timeouts(lease_us, lease_us // 10, cancel_us, *SET)
    # Told no earlier than that after the read that missed it; gone when the lease has run by a slow clock.
    slow = (
        (b.max_staleness_us + lease_us) * (1 + 1 / (2 * CLOCK_DRIFT_DIVISOR))
        - b.cancellation_delay_us
        + LEASE_EXPIRY_KILL_US
    )
    assert slow <= cancel_us
    assert (
        b.max_staleness_us >= MIN_STALENESS_US
        and 4 * b.watch_timeout_us <= b.max_staleness_us
        and b.cancellation_delay_us >= 0
    )


def test_word_of_all_peers_counts_from_when_they_were_asked_and_of_some_not_at_all():
    k = StalenessBound(24 * SECOND_US, ["a", "b"], 0)
    k.read_completed(10 * SECOND_US)
    k.record_peer_answer("a", 30 * SECOND_US, 31 * SECOND_US, None)
    assert k.all_complete_through_us() == 10 * SECOND_US and k.exceeded(35 * SECOND_US)
    k.record_peer_answer("b", 32 * SECOND_US, 33 * SECOND_US, None)
    assert (
        k.all_complete_through_us() == 30 * SECOND_US
        and not k.exceeded(54 * SECOND_US)
        and k.exceeded(54 * SECOND_US + 1)
    )
    k.read_completed(5 * SECOND_US)
    k.record_peer_answer("c", 90 * SECOND_US, 90 * SECOND_US, None)
    assert k.all_complete_through_us() == 30 * SECOND_US
    # With no other node there is nobody who could have told what this one does not know.
    assert not StalenessBound(24 * SECOND_US, [], 0).exceeded(1 << 60)


def test_peer_that_is_back_with_nothing_counts_only_if_nothing_was_told_in_between():
    k = StalenessBound(24 * SECOND_US, ["a"], 0)
    k.read_completed(10 * SECOND_US)
    # It began at 11 s: what its former life told since 10 s is lost.
    k.record_peer_answer("a", 40 * SECOND_US, 40 * SECOND_US, 29 * SECOND_US)
    assert k.all_complete_through_us() == 10 * SECOND_US
    # It began before that: nothing was told since.
    k.record_peer_answer("a", 40 * SECOND_US, 40 * SECOND_US, 31 * SECOND_US)
    assert k.all_complete_through_us() == 40 * SECOND_US


def test_blind_node_judges_and_claims_nothing_until_it_reads():
    k = StalenessBound(24 * SECOND_US, ["a"], 0)
    r = Reachability({Neighbour.STATE: 6 * SECOND_US}, 12 * SECOND_US, staleness_bound=k)
    r.record_contact(Neighbour.STATE, False, SECOND_US)
    assert r.update(24 * SECOND_US) == NodeHealth.HEALTHY and r.may_act()
    assert (
        r.update(25 * SECOND_US) == NodeHealth.STALE and not r.may_act() and not r.may_claim(25 * SECOND_US)
    )
    r.record_peer_observation(Neighbour.STATE, True, 26 * SECOND_US)
    r.record_peer_observation(Neighbour.STATE, True, 28 * SECOND_US)
    assert r.update(28 * SECOND_US) == NodeHealth.PARTITIONED
    r.record_contact(Neighbour.STATE, True, 40 * SECOND_US)
    assert r.update(40 * SECOND_US) == NodeHealth.STALE
    r.process_resumed(41 * SECOND_US)
    assert r.state == NodeHealth.RESUMED
    k.read_completed(41 * SECOND_US)
    r.resume_completed(41 * SECOND_US)
    assert r.state == NodeHealth.HEALTHY


def test_old_word_of_the_peers_counts_for_nothing_between_two_looks():
    # Seen (gap-wide): the word of half a second before an outage for all, looked at with each report.
    k = StalenessBound(24 * SECOND_US, ["a"], 0)
    r = Reachability({Neighbour.STATE: 6 * SECOND_US}, 12 * SECOND_US, staleness_bound=k)
    r.record_contact(Neighbour.STATE, False, SECOND_US)
    r.record_peer_observation(Neighbour.STATE, True, 3 * SECOND_US)
    r.record_peer_observation(Neighbour.STATE, True, 6 * SECOND_US)
    r.check_staleness(7 * SECOND_US)
    assert r.state == NodeHealth.HEALTHY
    r.record_peer_observation(Neighbour.STATE, False, 7 * SECOND_US)
    assert r.update(7 * SECOND_US) == NodeHealth.HEALTHY
    r.check_staleness(25 * SECOND_US)
    assert r.state == NodeHealth.STALE and not r.may_act()
    r.check_staleness(26 * SECOND_US)
    assert r.state == NodeHealth.STALE


def test_question_to_a_peer_is_read_as_it_was_put_and_an_earlier_release_is_understood():
    for question in (PeerQuery(), PeerQuery(True, False, 7), PeerQuery(False, True, 0)):
        path, _, query = question.path.partition("?")
        arguments = {k: [v.encode()] for k, _, v in (w.partition("=") for w in query.split("&") if w)}
        assert path == "/mesh/status" and PeerQuery.read(arguments) == question
    assert PeerQuery.read({}) == PeerQuery(False, True, None)


def test_view_names_what_was_cancelled_after_a_revision():
    w = World()
    for n in range(3):
        w.submit(spec(f"req-{n}"))
    for n in (2, 0):
        w.put(f"j/req-{n}", JobRecord(spec(f"req-{n}"), w.now, JobState.CANCELLED, w.now + n))
    found = w.view.cancelled_after(0)
    assert [ref for ref, _, _ in found] == ["req-2", "req-0"] and found[0][2] == w.now + 2
    assert [ref for ref, _, _ in w.view.cancelled_after(found[0][1])] == ["req-0"]
    assert w.view.cancelled_after(w.view.revision) == []


def test_machine_is_not_taken_for_stuck_when_the_cancellation_was_heard_of_late():
    # An outage hid the cancellation for longer than half of the time that its tasks may stay.
    w = World()
    machine, task, number = w.place_one()
    w.report(machine, (task, number, "running"))
    w.put("j/req-1", JobRecord(spec(tasks=1), w.now, JobState.CANCELLED, w.now - 30 * SECOND_US))
    w.run()
    assert machine not in w.view.drains
    assert ("stop", task, number, 0.0) in w.report(machine, (task, number, "running"))
    for _ in range(4):
        w.later(2)
        w.report(machine, (task, number, "running"))
        w.run()
    assert w.view.drains[machine].reason == "stuck"


# -- the gap ---------------------------------------------------------------------------------------


def gap(lease_s, report_s, *more, mesh=True, nodes=3, outage_s=60.0, extra_s=25.0):
    """The state service refuses n0 alone; users cancel through n1; then it is away for everyone."""
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


def met(trace):
    """Whether users were told between the refusal and the outage, of jobs with tasks on machines then."""
    told = [float(line.split()[0]) for line in trace if "told that" in line]
    return sum(31.0 <= at <= 33.0 for at in told) >= 5


def without(*, too_old=False, peers=False, tell=False):
    """The service without a guard."""

    async def deaf(*_):
        return None

    async def untold(*_):
        return True

    out = []
    if too_old:
        out.append(mock.patch.object(StalenessBound, "exceeded", lambda self, now_us: False))
    if peers:
        out.append(mock.patch.object(CancellationExchange, "apply_peer_answer", deaf))
    if tell:
        out.append(mock.patch.object(PeerClient, "broadcast_cancellation", untold))
    return out


def play(setup, **guards):
    patches = without(**guards)
    for patch in patches:
        patch.start()
    try:
        return run(setup, log=True)
    finally:
        for patch in patches:
            patch.stop()


def test_gap_breaks_the_rule_without_its_guards_and_each_alone_keeps_it():
    result, trace = play(gap(10.0, 1.0), too_old=True, peers=True, tell=True)
    assert met(trace) and any(re.match("ran_cancelled", text) for text in result.broken)
    # The peers' word alone, asked for or told unasked: nothing that runs is thrown away.
    for guards in ({"peers": True}, {"tell": True}):
        result, trace = play(gap(10.0, 1.0), too_old=True, **guards)
        assert met(trace) and result.broken == [] and result.killed == 0
    # The bound alone, with a mesh that is gone: leases end, in time.
    result, trace = play(gap(10.0, 1.0, mesh=False), peers=True)
    assert met(trace) and result.broken == [] and result.killed > 0
    assert any("state=stale" in line for line in trace)


@pytest.mark.parametrize(
    ("lease_s", "report_s", "extra_s", "nodes"),
    [(5.0, 0.5, 25.0, 5), (16.0, 2.5, 25.0, 5), (36.0, 3.0, 20.0, 3), (120.0, 10.0, 25.0, 3)],
)
def test_gap_with_a_mesh_that_is_gone_at_other_leases(lease_s, report_s, extra_s, nodes):
    result, trace = play(gap(lease_s, report_s, mesh=False, nodes=nodes, extra_s=extra_s))
    assert met(trace) and result.broken == []


@pytest.mark.parametrize("back_s", [0.2, 6.0])
def test_gap_in_which_the_node_that_confirmed_ends_at_once(back_s):
    end = Fault("node_crash", 32.6, 0.0, [1], back_s=back_s)
    result, trace = play(gap(10.0, 1.0, end, mesh=False))
    assert met(trace) and result.broken == []
    result, trace = play(gap(10.0, 1.0, end))
    assert met(trace) and result.broken == []


def test_short_outage_costs_nothing_also_where_no_peer_answers():
    result, trace = play(gap(10.0, 1.0, mesh=False, outage_s=20.0))
    assert met(trace) and result.broken == [] and result.killed == 0
