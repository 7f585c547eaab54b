"""Tests of node health: process pauses, and neighbours that only this node does not reach."""

from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.reachability import Neighbour, NodeHealth, Reachability

NEIGHBOURS = (Neighbour.STATE, Neighbour.WORKERS, Neighbour.CLOUD)


def make_reachability():
    return Reachability(
        {Neighbour.STATE: 6 * SECOND_US, Neighbour.WORKERS: 0, Neighbour.CLOUD: 3 * SECOND_US}, 12 * SECOND_US
    )


def fail_contacts(reachability, neighbour, begin_s, end_s, peers_reach):
    """Update every half second while the neighbour does not answer; return the state."""
    for half_second in range(int(begin_s * 2), int(end_s * 2)):
        now = half_second * SECOND_US // 2
        reachability.record_contact(neighbour, False, now)
        if neighbour in reachability.failing_neighbours(now):
            reachability.record_peer_observation(neighbour, peers_reach(now), now)
        reachability.update(now)
    return reachability.state


def run_without_state_service(reachability, end_s, peers_reach):
    """Update every half second without the state service.

    Returns:
        When users were redirected and when the node became partitioned; None: never.
    """
    redirected_at_s = partitioned_at_s = None
    for half_second in range(int(end_s * 2)):
        now = half_second * SECOND_US // 2
        reachability.record_contact(Neighbour.STATE, False, now)
        if Neighbour.STATE in reachability.neighbours_to_verify(now):
            reachability.record_peer_observation(Neighbour.STATE, peers_reach(now), now)
        reachability.update(now)
        redirected_at_s = (
            now / SECOND_US
            if redirected_at_s is None and not reachability.can_serve_users(now)
            else redirected_at_s
        )
        partitioned_at_s = (
            now / SECOND_US
            if partitioned_at_s is None and reachability.state == NodeHealth.PARTITIONED
            else partitioned_at_s
        )
    return redirected_at_s, partitioned_at_s


def test_users_leave_a_node_without_state_service_long_before_its_shards():
    redirected_at_s, partitioned_at_s = run_without_state_service(make_reachability(), 12, lambda now: True)
    assert redirected_at_s <= 1.5 < 6 <= partitioned_at_s
    # Users stay during an outage for all nodes, and if a peer is served slightly before the others.
    assert run_without_state_service(make_reachability(), 60, lambda now: False) == (None, None)
    reachability = make_reachability()
    assert run_without_state_service(reachability, 10, lambda now: now == 19 * SECOND_US // 2) == (None, None)
    # A node that reaches the state service again serves users at once.
    reachability = make_reachability()
    run_without_state_service(reachability, 3, lambda now: True)
    reachability.record_contact(Neighbour.STATE, True, 3 * SECOND_US)
    reachability.update(3 * SECOND_US)
    assert reachability.can_serve_users(3 * SECOND_US)


def test_node_stays_healthy_if_no_peer_reaches_the_neighbour():
    for neighbour in NEIGHBOURS:
        assert fail_contacts(make_reachability(), neighbour, 10, 100, lambda now: False) == NodeHealth.HEALTHY


def test_node_is_partitioned_after_failure_timeout_and_peer_agreement():
    reachability = make_reachability()
    assert fail_contacts(reachability, Neighbour.STATE, 10, 17, lambda now: True) == NodeHealth.HEALTHY
    assert fail_contacts(reachability, Neighbour.STATE, 17, 20, lambda now: True) == NodeHealth.PARTITIONED
    assert not reachability.may_claim(20 * SECOND_US)


def test_peer_served_slightly_earlier_after_an_outage_causes_no_partition():
    reachability = make_reachability()
    fail_contacts(reachability, Neighbour.STATE, 10, 40, lambda now: now > 38.4 * SECOND_US)
    assert reachability.state == NodeHealth.HEALTHY
    reachability.record_contact(Neighbour.STATE, True, 40 * SECOND_US)
    assert reachability.update(40 * SECOND_US) == NodeHealth.HEALTHY and reachability.may_claim(
        40 * SECOND_US
    )


def test_claim_backoff_doubles_with_repeated_partitions():
    reachability = make_reachability()
    backoffs = []
    for begin in (10, 60, 130):
        assert (
            fail_contacts(reachability, Neighbour.WORKERS, begin, begin + 5, lambda now: True)
            == NodeHealth.PARTITIONED
        )
        recovered_us = (begin + 5) * SECOND_US
        reachability.record_contact(Neighbour.WORKERS, True, recovered_us)
        reachability.update(recovered_us)
        backoffs.append((reachability.may_claim_at_us - recovered_us) // SECOND_US)
        assert not reachability.may_claim(recovered_us) and reachability.may_claim(
            reachability.may_claim_at_us
        )
    assert backoffs == [12, 24, 48]


events = st.lists(
    st.one_of(
        st.tuples(st.just("note"), st.sampled_from(NEIGHBOURS), st.booleans()),
        st.tuples(st.just("heard"), st.sampled_from(NEIGHBOURS), st.booleans()),
        st.tuples(st.just("woke"), st.none(), st.none()),
        st.tuples(st.just("settle"), st.none(), st.none()),
        st.tuples(st.just("wait"), st.integers(1, 20 * SECOND_US), st.none()),
    ),
    max_size=60,
)


@given(events)
def test_paused_node_neither_claims_nor_acts_before_its_resume_is_completed(steps):
    reachability, now, paused = make_reachability(), 100 * SECOND_US, False
    for kind, what, ok in steps:
        if kind == "note":
            reachability.record_contact(what, ok, now)
        elif kind == "heard":
            reachability.record_peer_observation(what, ok, now)
        elif kind == "woke":
            reachability.process_resumed(now)
            paused = True
        elif kind == "settle":
            reachability.resume_completed(now)
            paused = False
        else:
            now += what
            reachability.update(now)
        state = reachability.update(now)
        assert (state == NodeHealth.RESUMED) <= paused
        if paused:
            assert not reachability.may_claim(now) and (
                state == NodeHealth.PARTITIONED or not reachability.may_act()
            )
        if state == NodeHealth.PARTITIONED:
            assert not reachability.may_claim(now) and set(reachability.unreachable) <= set(
                reachability.failing_since_us
            )
        if not reachability.failing_since_us and not paused:
            assert state == NodeHealth.HEALTHY


def test_isolated_node_redirects_users_and_keeps_its_shards():
    reachability = make_reachability()
    for half_second in range(2, 60):
        now = half_second * SECOND_US // 2
        reachability.record_contact(Neighbour.STATE, False, now)
        if Neighbour.STATE in reachability.neighbours_to_verify(now):
            reachability.record_peer_round(False)
            reachability.record_peer_observation(Neighbour.STATE, False, now)
        assert reachability.update(now) == NodeHealth.HEALTHY
    assert not reachability.can_serve_users(30 * SECOND_US)
    # A peer answers that does not reach it either: in an outage for all, redirecting users does not help.
    reachability.record_peer_round(True)
    assert reachability.can_serve_users(30 * SECOND_US)
    reachability.record_peer_round(False)
    reachability.record_contact(Neighbour.STATE, True, 31 * SECOND_US)
    assert reachability.can_serve_users(31 * SECOND_US)
