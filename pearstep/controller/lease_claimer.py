"""Claim shards and the leadership for this node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from pearstep.controller.held_leases import LEADER_KEY, HeldLeases, shard_key
from pearstep.controller.leadership import Leadership
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import Settings
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.reachability import Reachability
from pearstep.failure_detection.timeouts import CLAIM_INTERVAL_US, CLAIM_STAGGER_US
from pearstep.shard.owner import ShardOwner
from pearstep.state.records import NODE_VERSION, LeaseHolderRecord
from pearstep.state.replica import Replica
from pearstep.transport.clock import now_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome, KeyValueStore

log = EventLogger("pearstep.lease")


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseClaimerDependencies:
    """The dependencies of a ``LeaseClaimer``."""

    settings: Settings
    kv: KeyValueStore
    replica: Replica
    machine_types: dict[str, MachineType]
    held: HeldLeases
    follower: ReplicaFollower
    reachability: Reachability
    # Whether the replica may be acted on.
    may_act: Callable[[], bool]
    # Builds the owner of a shard with a fencing token.
    create_owner: Callable[[int, int], ShardOwner]
    # Builds the leadership with a fencing token.
    create_leadership: Callable[[int], Leadership]
    # Called after each successful claim.
    on_acquired: Callable[[], None]


class LeaseClaimer:
    """Claims the home shard, a vacant leadership, and shards without an owner.

    Attributes:
        node_version: The feature version that this node writes into its claims.
    """

    def __init__(self, dependencies: LeaseClaimerDependencies) -> None:
        """Create the claimer; nothing is claimed yet."""
        self.node_version = NODE_VERSION
        self._dependencies = dependencies
        self._settings = dependencies.settings
        self._replica = dependencies.replica
        self._held = dependencies.held
        self._follower = dependencies.follower
        self._kv = dependencies.kv
        # The time since when each shard without an owner has had none.
        self._unowned_since_us: dict[int, int] = {}
        self._missing_extension_logged = False

    def track_unowned_shards(self) -> None:
        """Record since when shards have had no owner; call it when lease holders have changed."""
        for shard_id in range(self._settings.shard_count):
            holder = self._replica.shard_holders.get(shard_id)
            if holder is not None and holder.node:
                self._unowned_since_us.pop(shard_id, None)
            else:
                self._unowned_since_us.setdefault(shard_id, now_us())

    async def claim(self) -> None:
        """Wait, then claim the shards and the leadership that this node should hold."""
        await asyncio.sleep(CLAIM_INTERVAL_US / SECOND_US)
        if not self._may_claim():
            return
        await self._claim_home_shard()
        await self._claim_leadership()
        await self._reclaim_shards()
        await self._take_over_shards()

    def _may_claim(self) -> bool:
        dependencies = self._dependencies
        if not self._follower.loaded or not dependencies.machine_types or self._held.lease_id is None:
            return False
        if self._kv.unavailable_since_us is not None:
            return False
        return dependencies.may_act() and dependencies.reachability.may_claim(now_us())

    async def _claim_home_shard(self) -> None:
        home = self._settings.home_shard
        holder = self._replica.shard_holders.get(home)
        if home not in self._held.owners and (holder is None or holder.fencing_token != 0):
            await self._claim(shard_key(home))

    async def _claim_leadership(self) -> None:
        """Claim the leadership if it is vacant or held by a former process of this node."""
        if self._held.leadership is not None:
            return
        if self._replica.has_unread_offloads:
            # A leader that cannot read the offload records would start offloaded tasks here as well.
            self._log_missing_extension()
            return
        home = self._settings.home_shard
        leader = self._replica.leader
        if leader is not None and leader.node != self._settings.node:
            return
        if leader is None and home:
            await asyncio.sleep(CLAIM_STAGGER_US / SECOND_US * home)
        if self._replica.leader is leader:
            await self._claim(LEADER_KEY)

    def _log_missing_extension(self) -> None:
        if not self._missing_extension_logged:
            log.error("jobs are offloaded to peers, start this node with the option", option="--federation")
            self._missing_extension_logged = True

    async def _reclaim_shards(self) -> None:
        """Claim shards that a former process of this node holds.

        Other nodes must wait for the lease of that process to expire, this node need not. The new fencing
        token invalidates whatever the former process still sends.
        """
        home = self._settings.home_shard
        for shard_id, holder in list(self._replica.shard_holders.items()):
            if shard_id != home and shard_id not in self._held.owners and holder.node == self._settings.node:
                await self._claim(shard_key(shard_id))

    async def _take_over_shards(self) -> None:
        """Claim shards that have had no owner for longer than this node's takeover delay.

        The least loaded live node would be the fairest choice, but the first one to claim the shard suffices.
        """
        for shard_id, since_us in list(self._unowned_since_us.items()):
            # A released shard was given up by a live node, so there is no lease to wait for.
            released = shard_id in self._replica.shard_holders
            delay_us = 0 if released else self._settings.timeouts.takeover_us
            delay_us += self._cross_zone_delay_us(shard_id)
            delay_us += self._stagger_us(shard_id)
            if shard_id != self._settings.home_shard and now_us() - since_us > delay_us:
                await self._claim(shard_key(shard_id))

    def _stagger_us(self, shard_id: int) -> int:
        """Return this node's delay by its position in the claim order for a shard."""
        return CLAIM_STAGGER_US * ((self._settings.home_shard - shard_id) % self._settings.shard_count)

    def _cross_zone_delay_us(self, shard_id: int) -> int:
        """Return how much longer this node waits before it claims a shard of another zone.

        While any node of that zone holds a shard, a node of that zone should take over the shard.
        """
        zones = self._settings.shard_zones
        if not zones or zones[shard_id] == zones[self._settings.home_shard]:
            return 0
        alive = {holder.node for holder in self._replica.shard_holders.values()}
        nodes_in_zone = (
            node for node, zone in zip(self._settings.nodes, zones, strict=True) if zone == zones[shard_id]
        )
        if any(node in alive for node in nodes_in_zone):
            return self._settings.timeouts.cross_zone_takeover_us
        return 0

    async def _claim(self, key: str) -> None:
        """Write this node as the holder of a key, and act for it once the replica shows the claim."""
        lease_id = self._held.lease_id
        if lease_id is None:
            return
        outcome = await self._kv.commit(
            {key: self._replica.version_of(key)},
            {key: (LeaseHolderRecord(self._settings.node, self.node_version), lease_id)},
            urgency=0,
        )
        if outcome.state == CommitOutcome.NO_LEASE:
            self._held.on_lease_lost()
        elif outcome.state == CommitOutcome.CONFLICT:
            await self._follower.read_barrier()
        elif outcome.state == CommitOutcome.COMMITTED and await self._read_up_to_claim(
            key, outcome.revision, lease_id
        ):
            self._acquire(key, outcome.revision)

    async def _read_up_to_claim(self, key: str, revision: int, lease_id: int) -> bool:
        """Bring the replica up to date with a claim; return False if the claim is lost in the meantime."""
        while self._replica.revision < revision:
            if not await self._follower.read_barrier():
                await asyncio.sleep(0.1)
                if self._held.lease_id != lease_id:
                    return False
        return self._replica.version_of(key) == revision and self._held.lease_id == lease_id

    def _acquire(self, key: str, fencing_token: int) -> None:
        """Start acting as the holder of a claimed key."""
        if key == LEADER_KEY:
            self._held.leadership = self._dependencies.create_leadership(fencing_token)
            log.info("leadership acquired", fencing_token=fencing_token, read_revision=self._replica.revision)
        else:
            shard_id = int(key.partition("/")[2])
            owner = self._dependencies.create_owner(shard_id, fencing_token)
            self._held.owners[shard_id] = owner
            log.info(
                "shard lease acquired",
                shard=shard_id,
                fencing_token=owner.fencing_token,
                machines=len(owner.machines),
                read_revision=self._replica.revision,
            )
        self._dependencies.on_acquired()
