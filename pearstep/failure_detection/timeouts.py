"""Derives the timeouts of a controller from the settings of the agents.

The timeouts are derived in one place so that their order is kept. An agent's lease counts from the time at
which its last answered heartbeat was sent. The node that takes over a shard must answer the shard's agents
before that lease expires; otherwise tasks are killed although their machines are healthy. The controller
leases therefore depend on the agents' lease: the operators' settings are maxima, and shorter values are used
if the agents' lease requires it. Seen: a lease of 6 s and a takeover delay of 3 s suited agents' leases of 16
and 36 s; with agents' leases of 10 s they left no time for an agent to find its new owner.
"""

from __future__ import annotations

import msgspec

from pearstep.domain.units import SECOND_US

# PROTOCOL, "POST /leases": a lease ends up to 100 ms late and never early.
LEASE_EXPIRY_DELAY_US = SECOND_US // 10
# Pause between two rounds of claiming.
CLAIM_INTERVAL_US = SECOND_US // 5
# Delay between the claims of successive controllers (``LeaseClaimer.claim``).
CLAIM_STAGGER_US = 300_000
# PROTOCOL, "Workers -> controller nodes": pause before an agent whose controller does not answer tries the
# next one.
AGENT_RETRY_US = SECOND_US
# PROTOCOL, "Workers -> controller nodes": how long an agent waits for an answer.
AGENT_ANSWER_TIMEOUT_US = 4 * SECOND_US
# How long an agent takes to leave a controller that does not answer.
AGENT_FAILOVER_US = AGENT_ANSWER_TIMEOUT_US + AGENT_RETRY_US
# One part in this many of the agents' lease is kept in reserve for slow answers and clock drift.
LEASE_MARGIN_DIVISOR = 10
# The shortest lease that is renewed in time if answers take hundreds of milliseconds.
MIN_LEASE_US = SECOND_US
# The largest threshold of a process pause: how late a sleep of the event loop must end to count as one.
MAX_PROCESS_PAUSE_US = 2 * SECOND_US
# The longest time for which peers must report that they reach a neighbour that this node does not reach.
MAX_PEER_AGREEMENT_US = 2 * SECOND_US
# The shortest such time; it requires at least two observations.
MIN_PEER_AGREEMENT_US = 400_000
# Pause between two health checks.
HEALTH_CHECK_INTERVAL_US = SECOND_US // 2
# PROTOCOL (introduction): steady clocks of different machines drift apart by up to 0.05%. Timeouts allow for
# twice that, one part in this many.
CLOCK_DRIFT_DIVISOR = 1000
# How long an agent takes to kill its tasks after its lease has expired. PROTOCOL, "Leases", gives no time.
LEASE_EXPIRY_KILL_US = SECOND_US
# The smallest bound on staleness; it leaves time for four slowly answered reads.
MIN_STALENESS_US = 4 * SECOND_US
# How old a controller's latest completed read may be when it sends start commands. Shorter than a read of the
# state service may take (``READ_TIMEOUT_S``), nothing could start while it answers slowly.
MAX_START_STALENESS_US = 1_500_000
# How long a permitted start command may take to leave its controller, with clock drift.
START_COMMAND_MARGIN_US = 200_000
# How long a peer may take to acknowledge a cancellation before the user gets the answer. A controller that
# has missed the cancellation may start nothing any more by then.
CANCELLATION_BROADCAST_US = MAX_START_STALENESS_US + START_COMMAND_MARGIN_US
# The longest wait of a watch request if nothing changes.
MAX_WATCH_TIMEOUT_US = 10 * SECOND_US

# The number of watch requests that end within the staleness bound.
_WATCHES_PER_STALENESS_BOUND = 4
# Consecutive missing heartbeats after which a machine counts as lost; one fewer is tolerated.
_MISSED_HEARTBEATS = 3


class Timeouts(msgspec.Struct, frozen=True):
    """Derived timeouts of a controller: durations in microseconds."""

    # Lease of a controller in the state service; it is renewed four times within its duration.
    lease_us: int
    # How long a shard is without an owner before a controller of the same zone takes it over.
    takeover_us: int
    # Additional delay of a controller of another zone.
    cross_zone_takeover_us: int
    # How long a machine sends no heartbeat before it counts as lost.
    silent_us: int
    # The length of a process pause after which the replica must be reread.
    process_pause_us: int
    # How long peers must report that they reach a neighbour before this node releases its leases.
    peer_agreement_us: int
    # How long an agent whose owner does not answer is redirected to other controllers.
    redirect_us: int
    # Upper bound from the death of an owner to the first answer of the next one if other nodes are healthy.
    failover_us: int
    # The largest staleness regarding cancellations at which an owner may answer its agents.
    max_staleness_us: int
    # How long a watch request waits for changes.
    watch_timeout_us: int
    # How long the confirmation of a cancellation to the user is delayed.
    cancellation_delay_us: int


def derive_timeouts(
    agent_lease_us: int,
    heartbeat_interval_us: int,
    cancellation_deadline_us: int,
    max_lease_us: int,
    max_takeover_us: int,
    max_silent_us: int,
) -> Timeouts:
    """Derive the timeouts of a controller; all durations are microseconds.

    Args:
        agent_lease_us: Lease of an agent, from the sending of its last answered heartbeat.
        heartbeat_interval_us: Pause between two heartbeats of an agent.
        cancellation_deadline_us: Time after which no task of a cancelled job may run.
        max_lease_us: The longest lease of a controller, set by the operators.
        max_takeover_us: The longest delay before a takeover, set by the operators.
        max_silent_us: The longest time without a heartbeat of a machine, set by the operators.

    Returns:
        The timeouts, as long as the agents' lease and the maxima allow.
    """
    usable_lease_us = agent_lease_us - agent_lease_us // LEASE_MARGIN_DIVISOR
    # PROTOCOL, "Workers -> controller nodes": heartbeats vary from their interval by up to a quarter.
    max_heartbeat_gap_us = heartbeat_interval_us * 5 // 4
    # From the end of an owner's lease to the first answer of the next owner, without the takeover delay.
    handover_us = LEASE_EXPIRY_DELAY_US + CLAIM_INTERVAL_US + 2 * CLAIM_STAGGER_US + AGENT_RETRY_US
    agent_rediscovery_us = AGENT_FAILOVER_US + max_heartbeat_gap_us
    remaining_us = max(usable_lease_us - handover_us - max_heartbeat_gap_us, 0)
    # Two thirds for the lease (pauses, slow answers and renewals), one third for the takeover delay.
    lease_us = max(min(max_lease_us, remaining_us * 2 // 3), MIN_LEASE_US)
    takeover_us = min(max_takeover_us, remaining_us // 3)
    max_staleness_us, cancellation_delay_us = _staleness_limits(agent_lease_us, cancellation_deadline_us)
    return Timeouts(
        lease_us=lease_us,
        takeover_us=takeover_us,
        cross_zone_takeover_us=takeover_us,
        # A machine past its lease has no running tasks. A healthy machine may be silent for a while, because
        # two heartbeats may be lost and an agent whose controller died has to find the next one.
        silent_us=max(
            min(max_silent_us, agent_lease_us),
            _MISSED_HEARTBEATS * heartbeat_interval_us,
            agent_rediscovery_us,
        ),
        process_pause_us=min(MAX_PROCESS_PAUSE_US, lease_us // 2),
        peer_agreement_us=_peer_agreement_us(usable_lease_us, agent_rediscovery_us),
        redirect_us=min(agent_lease_us // 3, AGENT_ANSWER_TIMEOUT_US),
        failover_us=lease_us + takeover_us + handover_us,
        max_staleness_us=max_staleness_us,
        watch_timeout_us=min(MAX_WATCH_TIMEOUT_US, max_staleness_us // _WATCHES_PER_STALENESS_BOUND),
        cancellation_delay_us=cancellation_delay_us,
    )


def _staleness_limits(agent_lease_us: int, cancellation_deadline_us: int) -> tuple[int, int]:
    """Return the largest staleness and the delay of cancellation confirmations (microseconds).

    A cancellation that an owner has missed was confirmed after the owner's last read was sent. An answer at
    the largest staleness extends an agent's lease for its full duration, after which all tasks must have
    ended. If the deadline leaves too little time beside the lease, the confirmation to the user is delayed by
    the difference, so that the owner has read the cancellation by then.
    """
    drift_us = max(cancellation_deadline_us, agent_lease_us + MIN_STALENESS_US) // CLOCK_DRIFT_DIVISOR
    spare_us = cancellation_deadline_us - drift_us - LEASE_EXPIRY_KILL_US - agent_lease_us
    max_staleness_us = max(spare_us, MIN_STALENESS_US)
    return max_staleness_us, max_staleness_us - spare_us


def _peer_agreement_us(usable_lease_us: int, agent_rediscovery_us: int) -> int:
    """Return how long peers must report that they reach a neighbour (microseconds).

    A node that is cut off from its agents learns it from its peers, to which the agents turn if they get no
    answer. Seen with agents' leases of 10 s: two more seconds of waiting killed 322 tasks on a day of network
    partitions.
    """
    remaining_us = (
        usable_lease_us - agent_rediscovery_us - HEALTH_CHECK_INTERVAL_US - CLAIM_INTERVAL_US - AGENT_RETRY_US
    )
    return min(max(remaining_us, MIN_PEER_AGREEMENT_US), MAX_PEER_AGREEMENT_US)
