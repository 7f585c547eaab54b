"""Detect process pauses, and collect the evidence for ``failure_detection.reachability``.

The evidence comes from this node's own contact with its neighbours and, while it has lost contact with one,
from its peers.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from pearstep.controller.agent_gateway import PROBED_AGENTS, AgentGateway
from pearstep.controller.agent_silence import AgentSilenceDetector
from pearstep.controller.cancellation_exchange import CancellationExchange
from pearstep.controller.cloud_client import CloudClient
from pearstep.controller.peers import PeerClient, PeerQuery, PeerStatus
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import Settings
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.reachability import Neighbour, NodeHealth, Reachability
from pearstep.failure_detection.staleness import StalenessBound
from pearstep.shard.owner import ShardOwner
from pearstep.state.replica import Replica
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import KeyValueStore

log = EventLogger("pearstep.health")

PAUSE_CHECK_INTERVAL_US = SECOND_US // 4
CLOUD_FAILURE_US = 3 * SECOND_US
# Peers query the cloud before they answer, so they are asked about it no more often than this.
CLOUD_QUERY_INTERVAL_US = 2 * SECOND_US
# How long a misdirected heartbeat counts as recent.
MISDIRECTED_RECENT_US = 6 * SECOND_US


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthMonitorDependencies:
    """The dependencies of a ``HealthMonitor``."""

    settings: Settings
    kv: KeyValueStore
    cloud: CloudClient
    agents: AgentGateway
    peers: PeerClient
    replica: Replica
    # The shards that this node owns; other components share this dict.
    owners: dict[int, ShardOwner]
    follower: ReplicaFollower
    # The monotonic clock, microseconds.
    now_us: Callable[[], int]


class HealthMonitor:
    """Records evidence in ``Reachability``. Other components decide what to do about its state."""

    def __init__(self, dependencies: HealthMonitorDependencies) -> None:
        """Create the monitor, and register its callbacks with the follower, the peers and the cloud."""
        settings = dependencies.settings
        self.settings = settings
        self.kv = dependencies.kv
        self.cloud = dependencies.cloud
        self.agents = dependencies.agents
        self.peers = dependencies.peers
        self.replica = dependencies.replica
        self.owners = dependencies.owners
        self.follower = dependencies.follower
        self.now_us = now_us = dependencies.now_us
        self.staleness_bound = StalenessBound(
            settings.timeouts.max_staleness_us, list(self.peers.peers), now_us()
        )
        self.reachability = _reachability(settings, self.staleness_bound)
        self.cancellations = CancellationExchange(
            self.replica, self.follower, self.peers, self.staleness_bound, now_us
        )
        self.agent_silence = AgentSilenceDetector(self.owners, settings.heartbeat_interval_us)
        self._tasks = BackgroundTasks(log)
        self._cloud_asked_us = 0
        self._pause_checked_us = self._started_us = now_us()
        # The time since when this node has been stale; None if it is not.
        self._stale_since_us: int | None = None
        self._logged_state = NodeHealth.HEALTHY
        self.follower.on_read_completed = self.staleness_bound.read_completed
        self.peers.answer_query = self.status
        self.peers.acknowledge_cancellations = self.cancellations.acknowledge
        self.cloud.on_contact = lambda ok: self.reachability.record_contact(Neighbour.CLOUD, ok, now_us())

    async def status(self, query: PeerQuery) -> PeerStatus:
        """Answer a query of a peer."""
        if query.check_cloud:
            await self.cloud.machine_types()
        misdirected: dict[int, int] = {}
        if query.count_misdirected:
            misdirected = await self.agents.count_misdirected_reachable(
                max(2 * self.settings.heartbeat_interval_us, MISDIRECTED_RECENT_US)
            )
        loaded = self.follower.loaded
        status = PeerStatus(
            node=self.settings.node,
            kv_reachable=loaded and self.kv.unavailable_since_us is None,
            cloud_reachable=Neighbour.CLOUD not in self.reachability.failing_since_us,
            misdirected_by_shard=misdirected,
        )
        if query.after is not None:
            self.cancellations.add_cancellations(status, query.after)
            status.uptime_us = None if loaded else self.now_us() - self._started_us
        return status

    def detect_process_pause(self) -> bool:
        """Tell whether the process was paused since the last call; if so, mark the replica as not current.

        Call it before anything that acts on the replica. The replica may be acted on again after
        ``Reachability.resume_completed``.
        """
        now = self.now_us()
        pause_us = now - self._pause_checked_us - PAUSE_CHECK_INTERVAL_US
        self._pause_checked_us = now
        # The interval between two calls was much longer than requested: the process was paused, or is so busy
        # that its replica is as outdated as after a pause.
        if pause_us < self.settings.timeouts.process_pause_us:
            return False
        log.info("process pause detected", pause_s=round(pause_us / SECOND_US, 1))
        for owner in self.owners.values():
            owner.on_process_pause(pause_us, now)
        self.reachability.process_resumed(now)
        return True

    async def check(self) -> None:
        """Check all neighbours once, and derive the health of this node."""
        now = self.now_us()
        self._record_kv_contact(now)
        self._record_agent_contact(now)
        suspects = self.reachability.neighbours_to_verify(now)
        aging = self.follower.loaded and self.staleness_bound.needs_refresh(now)
        if aging and self.kv.unavailable_since_us is None:
            # The state service is available, but the watch request has not been answered.
            self._tasks.start(self.follower.read_barrier(), "read barrier")
        if (suspects or aging) and self.peers.peers:
            await self._query_peers(suspects)
        if Neighbour.WORKERS in self.reachability.unreachable:
            await self._probe_agents()
        if self.reachability.state != NodeHealth.RESUMED:
            self.update()

    def update(self) -> None:
        """Derive the health of this node from the evidence; call it after the peers have been queried."""
        self.reachability.update(self.now_us())
        self._on_state_updated()

    def check_staleness(self) -> None:
        """Set the state to stale if the replica is now too old to answer agents."""
        self.reachability.check_staleness(self.now_us())
        self._on_state_updated()

    def _record_kv_contact(self, now: int) -> None:
        unavailable_since_us = self.kv.unavailable_since_us
        self.reachability.record_contact(
            Neighbour.STATE, unavailable_since_us is None, unavailable_since_us or now
        )

    def _record_agent_contact(self, now: int) -> None:
        """Record whether the agents of all owned shards send heartbeats here."""
        self.agent_silence.update(now)
        if self.owners:
            # A stale node refuses heartbeats, so agents turn to other nodes; that is not a loss of contact.
            reached = not self.agent_silence.silent_shards or self.reachability.state == NodeHealth.STALE
            self.reachability.record_contact(Neighbour.WORKERS, reached, now)

    def _on_state_updated(self) -> None:
        """Log a change of state, and excuse the silence of agents whose heartbeats were refused."""
        now, state = self.now_us(), self.reachability.state
        if state != self._logged_state:
            log.info("node health changed", state=state, unreachable=self.reachability.unreachable)
            self._logged_state = state
        if state == NodeHealth.STALE and self._stale_since_us is None:
            self._stale_since_us = now
        elif state != NodeHealth.STALE and self._stale_since_us is not None:
            for owner in self.owners.values():
                owner.on_process_pause(now - self._stale_since_us, now)
            self._stale_since_us = None
            self.agent_silence.heartbeats_accepted_again(now)

    async def _query_peers(self, suspects: list[str]) -> None:
        """Query all peers about suspected neighbours and for cancellations."""
        sent_us = self.now_us()
        query = PeerQuery(
            check_cloud=Neighbour.CLOUD in suspects
            and sent_us - self._cloud_asked_us > CLOUD_QUERY_INTERVAL_US,
            count_misdirected=Neighbour.WORKERS in suspects,
            after=self.replica.revision if self.follower.loaded else None,
        )
        if query.check_cloud:
            self._cloud_asked_us = sent_us
        statuses = await self.peers.query_all(query)
        if query.after is not None:
            for status in statuses:
                await self.cancellations.apply_peer_answer(status, query.after, sent_us)
        self._record_peer_observations(query, suspects, statuses)

    def _record_peer_observations(
        self, query: PeerQuery, suspects: list[str], statuses: list[PeerStatus]
    ) -> None:
        now = self.now_us()
        self.reachability.record_peer_round(bool(statuses))
        if Neighbour.STATE in suspects:
            reached = any(status.kv_reachable for status in statuses)
            self.reachability.record_peer_observation(Neighbour.STATE, reached, now)
        if query.count_misdirected:
            reached = self._agents_reach_a_peer(statuses)
            self.reachability.record_peer_observation(Neighbour.WORKERS, reached, now)
        if query.check_cloud:
            reached = any(status.cloud_reachable for status in statuses)
            self.reachability.record_peer_observation(Neighbour.CLOUD, reached, now)

    def _agents_reach_a_peer(self, statuses: list[PeerStatus]) -> bool:
        """Tell whether one peer has received heartbeats from at least half of the silent agents of a shard.

        Agents that this node redirects try its peers in turn, so every peer may have received heartbeats from
        the same agents. The counts are therefore not added up.
        """
        for shard_id, silent in self.agent_silence.silent_shards.items():
            misdirected = (status.misdirected_by_shard.get(shard_id, 0) for status in statuses)
            if 2 * max(misdirected, default=0) >= silent:
                return True
        return False

    async def _probe_agents(self) -> None:
        """Probe some agents directly, because agents send no heartbeats to a node that owns no shard."""
        addresses = [
            record.address
            for name, (_, record) in self.replica.machines.items()
            if name not in self.replica.drains
        ]
        probed = random.sample(addresses, min(PROBED_AGENTS, len(addresses)))
        if not probed or await self.agents.most_answer(probed):
            self.reachability.record_contact(Neighbour.WORKERS, True, self.now_us())


def _reachability(settings: Settings, staleness_bound: StalenessBound) -> Reachability:
    """Build the reachability state machine with this cluster's timeouts."""
    lease_us = settings.timeouts.lease_us
    patience_us: dict[str, int] = {
        # A lease stays valid for its whole duration after its last renewal. Other nodes cannot take over
        # before it ends, and an earlier release would leave the agents without an owner.
        Neighbour.STATE: lease_us,
        Neighbour.WORKERS: 0,
        Neighbour.CLOUD: CLOUD_FAILURE_US,
    }
    return Reachability(patience_us, 2 * lease_us, settings.timeouts.peer_agreement_us, staleness_bound)
