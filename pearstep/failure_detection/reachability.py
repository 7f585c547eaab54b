"""Decides from contact with neighbours whether this node may hold leases and act on its replica.

One state machine combines which neighbours this node reaches, which of them its peers reach, and whether its
process was paused. If no node reaches a neighbour, that is an outage, and all nodes continue. If only this
node does not reach it, this node is partitioned: it releases its leases and claims none before it reaches the
neighbour again.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from pearstep.domain.state_machine import TransitionTable
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.staleness import NEVER_US, StalenessBound
from pearstep.failure_detection.timeouts import MAX_PEER_AGREEMENT_US, MIN_PEER_AGREEMENT_US


class Neighbour(StrEnum):
    """Systems with which a node exchanges messages."""

    STATE = "state"
    WORKERS = "workers"
    CLOUD = "cloud"


class NodeHealth(StrEnum):
    """Health of a node, which decides what it may do."""

    # Serves users and agents, holds leases and declares silent machines lost.
    HEALTHY = "healthy"
    # The process was paused: no decisions or commands before its lease is renewed and its replica reread.
    RESUMED = "resumed"
    # The node does not reach a neighbour that its peers reach: it holds no lease.
    PARTITIONED = "partitioned"
    # The replica may lack cancellations that are too old for tasks to be kept alive: agents get no answer.
    STALE = "stale"


NODE_HEALTH_TRANSITIONS = TransitionTable(
    "node health",
    {
        NodeHealth.HEALTHY: (NodeHealth.RESUMED, NodeHealth.PARTITIONED, NodeHealth.STALE),
        NodeHealth.RESUMED: (NodeHealth.HEALTHY, NodeHealth.PARTITIONED, NodeHealth.STALE),
        NodeHealth.PARTITIONED: (NodeHealth.HEALTHY, NodeHealth.RESUMED, NodeHealth.STALE),
        NodeHealth.STALE: (NodeHealth.HEALTHY, NodeHealth.RESUMED, NodeHealth.PARTITIONED),
    },
)


class PeerObservation(NamedTuple):
    """A period in which peers reported without a gap that they reach a neighbour."""

    first_us: int
    last_us: int


NEVER_OBSERVED = PeerObservation(0, NEVER_US)

# How long an observation by peers is valid.
OBSERVATION_LIFETIME_US = 4 * SECOND_US
# After this time without the state service the peers are asked; two consecutive observations of theirs decide
# whether users are redirected. This is sooner than leases are released, because redirecting users costs a
# connection and releasing leases costs a takeover.
VERIFY_AFTER_US = SECOND_US
# After this many consecutive rounds without an answer from any peer, the node counts as isolated from them.
ISOLATED_ROUNDS = 2
# The longest backoff after a partition before the node claims leases again.
MAX_CLAIM_BACKOFF_US = 60 * SECOND_US
# After this long without a partition, the backoff after the next one is the shortest again.
CLAIM_BACKOFF_RESET_US = 4 * MAX_CLAIM_BACKOFF_US


class Reachability:
    """State machine of this node's health.

    Only ``update`` and ``check_staleness`` change the state, as ``NODE_HEALTH_TRANSITIONS`` allows. All times
    are microseconds of this node's monotonic clock.
    """

    def __init__(
        self,
        failure_timeouts_us: Mapping[str, int],
        min_claim_backoff_us: int,
        peer_agreement_us: int = MAX_PEER_AGREEMENT_US,
        staleness_bound: StalenessBound | None = None,
    ) -> None:
        """Create a healthy node that reaches every neighbour.

        Args:
            failure_timeouts_us: How long each neighbour must fail before the peers' observations of it count.
            min_claim_backoff_us: The shortest backoff between the end of a partition and the next claim.
            peer_agreement_us: How long peers must report that they reach the neighbour. It is not 0, because
                at the end of an outage one node is served slightly before the others.
            staleness_bound: The bound on the staleness of the replica; None: the node never becomes stale.
        """
        self.failure_timeouts_us = failure_timeouts_us
        self.staleness_bound = staleness_bound
        self.peer_agreement_us = peer_agreement_us
        self.min_claim_backoff_us = min_claim_backoff_us
        self.state = NodeHealth.HEALTHY
        self.failing_since_us: dict[str, int] = {}
        self.peer_observations: dict[str, PeerObservation] = {}
        self.unreachable: tuple[str, ...] = ()
        self.resumed_state_checked = True
        self.may_claim_at_us = 0
        # The number of consecutive rounds in which the peers were asked and none answered.
        self.rounds_without_peers = 0
        self._claim_backoff_us = min_claim_backoff_us
        self._partition_ended_us = 0

    def record_contact(self, neighbour: str, reached: bool, now_us: int) -> None:
        """Record whether this node has just reached a neighbour.

        Args:
            neighbour: A member of ``Neighbour``.
            reached: Whether it answered.
            now_us: The time of the contact; for consecutive failures the first one is kept.
        """
        if reached:
            self.failing_since_us.pop(neighbour, None)
        else:
            self.failing_since_us.setdefault(neighbour, now_us)

    def failing_neighbours(self, now_us: int) -> list[str]:
        """Return the neighbours that have failed for at least their failure timeout."""
        return [
            neighbour
            for neighbour, since_us in self.failing_since_us.items()
            if now_us - since_us >= self.failure_timeouts_us[neighbour]
        ]

    def neighbours_to_verify(self, now_us: int) -> list[str]:
        """Return the neighbours to ask the peers about: failing ones, and the state service even earlier."""
        suspects = self.failing_neighbours(now_us)
        if Neighbour.STATE not in suspects and self._state_failing_us(now_us) >= VERIFY_AFTER_US:
            suspects.append(Neighbour.STATE)
        return suspects

    def can_serve_users(self, now_us: int) -> bool:
        """Tell whether the node should serve users.

        A node without the state service cannot serve them, and should leave the load balancer if a peer can.
        If no peer reaches the state service either, redirecting users does not help. Seen: the node left the
        load balancer only after 8 s, when it released its leases, and a third of the users got 503 meanwhile.
        """
        if Neighbour.STATE in self.unreachable:
            return False
        if self._state_failing_us(now_us) < VERIFY_AFTER_US:
            return True
        if self.rounds_without_peers >= ISOLATED_ROUNDS:
            # No peer answers either. This node is cut off, or all nodes are, which it cannot distinguish. In
            # the first case the other nodes serve the users; in the second no node can. The node keeps its
            # leases as in an outage: once its shards are taken over, their agents have a later fencing token
            # and report it.
            return False
        first_us, last_us = self.peer_observations.get(Neighbour.STATE, NEVER_OBSERVED)
        return now_us - last_us > OBSERVATION_LIFETIME_US or last_us - first_us < MIN_PEER_AGREEMENT_US

    def record_peer_observation(self, neighbour: str, reached: bool, now_us: int) -> None:
        """Record the answers of the peers about a neighbour.

        Args:
            neighbour: A member of ``Neighbour``.
            reached: Whether at least one of the peers reaches it.
            now_us: The time of the answers.
        """
        if not reached:
            self.peer_observations.pop(neighbour, None)
            return
        first_us, last_us = self.peer_observations.get(neighbour, (now_us, now_us))
        continues = now_us - last_us <= OBSERVATION_LIFETIME_US
        self.peer_observations[neighbour] = PeerObservation(first_us if continues else now_us, now_us)

    def record_peer_round(self, any_answered: bool) -> None:
        """Record whether any peer answered in a round in which all were asked."""
        self.rounds_without_peers = 0 if any_answered else self.rounds_without_peers + 1

    def process_resumed(self, now_us: int) -> None:
        """Record that the process was paused, and drop earlier observations of the peers as outdated."""
        self.peer_observations.clear()
        self.resumed_state_checked = False
        self.update(now_us)

    def resume_completed(self, now_us: int) -> None:
        """Record that after a pause the lease was renewed or found lost, and the replica was reread."""
        self.resumed_state_checked = True
        self.update(now_us)

    def update(self, now_us: int) -> str:
        """Derive the state from the recorded contacts and observations.

        Call it right after the peers were asked. A partitioned node holds no leases and need not ask its
        peers again: it stays partitioned until it reaches the neighbour itself. Peers cannot judge the
        reachability of a node that has no agents.

        Returns:
            The state, a member of ``NodeHealth``.
        """
        before = self.state
        self.unreachable = tuple(
            sorted(
                neighbour
                for neighbour in self.failing_neighbours(now_us)
                if neighbour in self.unreachable or self._peers_agree(neighbour, now_us)
            )
        )
        NODE_HEALTH_TRANSITIONS.transition(self, self._derived_state(now_us))
        if before == NodeHealth.PARTITIONED and self.state != NodeHealth.PARTITIONED:
            self._back_off_claims(now_us)
        return self.state

    def check_staleness(self, now_us: int) -> None:
        """Change to stale if the replica is too old.

        Observations of the peers are not considered, because they count only right after the peers were
        asked. Seen (day ``gap-wide``): at the beginning of an outage for all nodes, an observation that was
        half a second old made an owner release its shards.
        """
        if (
            self.state == NodeHealth.HEALTHY
            and self.staleness_bound is not None
            and self.staleness_bound.exceeded(now_us)
        ):
            NODE_HEALTH_TRANSITIONS.transition(self, NodeHealth.STALE)

    def may_act(self) -> bool:
        """Tell whether the node may declare silent machines lost and act on its replica."""
        return self.state not in (NodeHealth.RESUMED, NodeHealth.STALE)

    def may_claim(self, now_us: int) -> bool:
        """Tell whether the node may claim shards and the leadership."""
        return self.state == NodeHealth.HEALTHY and now_us >= self.may_claim_at_us

    def _state_failing_us(self, now_us: int) -> int:
        """Return for how long the state service has failed; 0 if it is reached."""
        return now_us - self.failing_since_us.get(Neighbour.STATE, now_us)

    def _peers_agree(self, neighbour: str, now_us: int) -> bool:
        """Tell whether peers have reported for long enough, up to now, that they reach a neighbour."""
        first_us, last_us = self.peer_observations.get(neighbour, NEVER_OBSERVED)
        return now_us - last_us <= OBSERVATION_LIFETIME_US and last_us - first_us >= self.peer_agreement_us

    def _derived_state(self, now_us: int) -> NodeHealth:
        """Return the state that follows from contacts, pauses and staleness."""
        if self.unreachable:
            return NodeHealth.PARTITIONED
        if not self.resumed_state_checked:
            return NodeHealth.RESUMED
        if self.staleness_bound is not None and self.staleness_bound.exceeded(now_us):
            return NodeHealth.STALE
        return NodeHealth.HEALTHY

    def _back_off_claims(self, now_us: int) -> None:
        """Delay the next claim; repeated partitions double the backoff, because each handoff has a cost."""
        if now_us - self._partition_ended_us > CLAIM_BACKOFF_RESET_US:
            self._claim_backoff_us = self.min_claim_backoff_us
        self.may_claim_at_us = now_us + self._claim_backoff_us
        self._claim_backoff_us = min(2 * self._claim_backoff_us, MAX_CLAIM_BACKOFF_US)
        self._partition_ended_us = now_us
