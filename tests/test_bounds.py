"""Tests of the order between the derived timeouts, for a wide range of agents' leases."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.timeouts import (
    AGENT_ANSWER_TIMEOUT_US,
    CLAIM_INTERVAL_US,
    HEALTH_CHECK_INTERVAL_US,
    MAX_PEER_AGREEMENT_US,
    MIN_LEASE_US,
    MIN_PEER_AGREEMENT_US,
    derive_timeouts,
)

OPERATOR_MAXIMA_US = (6 * SECOND_US, 3 * SECOND_US, 10 * SECOND_US)


def derive_and_check_order(lease_s, report_s):
    lease_us, report_us = int(lease_s * SECOND_US), int(report_s * SECOND_US)
    timeouts = derive_timeouts(lease_us, report_us, lease_us + 25 * SECOND_US, *OPERATOR_MAXIMA_US)
    # The next owner answers before an agent's lease expires, even if the last heartbeat was a full gap ago.
    assert timeouts.failover_us + report_us * 5 // 4 < lease_us
    # A lease is renewed four times within its duration, each time with time for a slow answer.
    assert timeouts.lease_us // 4 >= SECOND_US // 4 and timeouts.lease_us >= MIN_LEASE_US
    # A paused process distrusts its replica before its lease can have passed to another node.
    assert timeouts.process_pause_us <= timeouts.lease_us // 2
    # A machine is not lost while its agent looks for the next controller, nor after two lost heartbeats.
    assert (
        timeouts.silent_us >= AGENT_ANSWER_TIMEOUT_US + SECOND_US + report_us
        and timeouts.silent_us >= 3 * report_us
    )
    # A node that is cut off from its agents releases them in time, if their lease leaves time to verify that.
    assert MIN_PEER_AGREEMENT_US <= timeouts.peer_agreement_us <= MAX_PEER_AGREEMENT_US
    if timeouts.peer_agreement_us > MIN_PEER_AGREEMENT_US:
        detected_us = AGENT_ANSWER_TIMEOUT_US + SECOND_US + report_us * 5 // 4
        assert (
            detected_us
            + timeouts.peer_agreement_us
            + HEALTH_CHECK_INTERVAL_US
            + CLAIM_INTERVAL_US
            + SECOND_US
            < lease_us
        )
    # An agent that is redirected needlessly returns to its owner in time.
    assert timeouts.redirect_us <= AGENT_ANSWER_TIMEOUT_US and timeouts.redirect_us * 3 <= lease_us
    # The operators' settings are maxima; the time that the agents' lease leaves is used in full.
    assert (
        timeouts.lease_us <= OPERATOR_MAXIMA_US[0]
        and timeouts.takeover_us <= OPERATOR_MAXIMA_US[1]
        and timeouts.takeover_us <= timeouts.lease_us
    )
    assert timeouts.cross_zone_takeover_us == timeouts.takeover_us > 0
    return timeouts


@pytest.mark.parametrize(
    ("lease_s", "report_s", "expected"),
    [
        (5, 0.5, (1.316, 0.658, 5.625)),
        (10, 1, (3.9, 1.95, 10)),
        (16, 2.5, (6, 3, 10)),
        (36, 3, (6, 3, 10)),
        (120, 10, (6, 3, 30)),
    ],
)
def test_timeouts_keep_their_order(lease_s, report_s, expected):
    timeouts = derive_and_check_order(lease_s, report_s)
    assert (
        timeouts.lease_us / SECOND_US,
        timeouts.takeover_us / SECOND_US,
        timeouts.silent_us / SECOND_US,
    ) == pytest.approx(expected, abs=0.001)


@given(st.floats(5, 300), st.floats(0.02, 0.1))
def test_timeouts_keep_their_order_for_any_lease(lease_s, share):
    derive_and_check_order(lease_s, lease_s * share)


def test_timeouts_are_usable_if_the_lease_leaves_no_time():
    timeouts = derive_timeouts(2 * SECOND_US, SECOND_US, 40 * SECOND_US, *OPERATOR_MAXIMA_US)
    assert timeouts.lease_us == MIN_LEASE_US and timeouts.takeover_us == 0 and timeouts.process_pause_us > 0
