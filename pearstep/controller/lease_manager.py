"""Manage this node's lease in the state service, and the shards and leadership held under it.

``LeaseRenewal``, ``LeaseClaimer`` and ``LeaseRelease`` do the work; this module combines them with the
health of the node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from pearstep.controller.health_monitor import PAUSE_CHECK_INTERVAL_US, HealthMonitor
from pearstep.controller.held_leases import HeldLeases
from pearstep.controller.leadership import Leadership
from pearstep.controller.lease_claimer import LeaseClaimer, LeaseClaimerDependencies
from pearstep.controller.lease_release import LeaseRelease
from pearstep.controller.lease_renewal import LeaseRenewal
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import Settings
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.reachability import NodeHealth
from pearstep.failure_detection.timeouts import HEALTH_CHECK_INTERVAL_US
from pearstep.shard.owner import ShardOwner
from pearstep.state.replica import Replica
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import KeyValueStore

log = EventLogger("pearstep.lease")


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseManagerDependencies:
    """The dependencies of a ``LeaseManager``."""

    settings: Settings
    kv: KeyValueStore
    replica: Replica
    machine_types: dict[str, MachineType]
    # The shards that this node owns; other components share this dict.
    owners: dict[int, ShardOwner]
    follower: ReplicaFollower
    health: HealthMonitor
    # Builds the owner of a shard with a fencing token.
    create_owner: Callable[[int, int], ShardOwner]
    # Builds the leadership with a fencing token.
    create_leadership: Callable[[int], Leadership]
    # Called after each successful claim.
    on_acquired: Callable[[], None]


class LeaseManager:
    """The lease, the shards and the leadership of this node."""

    def __init__(self, dependencies: LeaseManagerDependencies) -> None:
        """Create the manager; nothing is held yet."""
        settings = dependencies.settings
        kv, follower = dependencies.kv, dependencies.follower
        self.health = dependencies.health
        self.reachability = reachability = dependencies.health.reachability
        self._replica = dependencies.replica
        self._held = held = HeldLeases(owners=dependencies.owners)
        self._renewal = LeaseRenewal(held, kv, follower, reachability, settings.timeouts.lease_us)
        self._release = LeaseRelease(held, kv, follower, reachability, settings.txn_ops)
        self._claimer = LeaseClaimer(
            LeaseClaimerDependencies(
                settings=settings,
                kv=kv,
                replica=dependencies.replica,
                machine_types=dependencies.machine_types,
                held=held,
                follower=follower,
                reachability=reachability,
                may_act=self.may_act,
                create_owner=dependencies.create_owner,
                create_leadership=dependencies.create_leadership,
                on_acquired=dependencies.on_acquired,
            )
        )
        self._verifying_after_pause = False
        self._tasks = BackgroundTasks(log)

    @property
    def leadership(self) -> Leadership | None:
        """The leadership while this node is the leader, otherwise None."""
        return self._held.leadership

    @property
    def lease_id(self) -> int | None:
        """The lease of this node in the state service; None while there is none."""
        return self._held.lease_id

    @property
    def version(self) -> int:
        """The feature version that this node writes into its claims."""
        return self._claimer.node_version

    @version.setter
    def version(self, node_version: int) -> None:
        self._claimer.node_version = node_version

    def drop_lost_claims(self) -> None:
        """Stop acting at once for shards and a leadership that the replica no longer shows as this node's."""
        owners = self._held.owners
        for shard_id, owner in list(owners.items()):
            holder = self._replica.shard_holders.get(shard_id)
            if holder is None or holder.fencing_token != owner.fencing_token:
                log.info("shard lease lost", shard=shard_id, fencing_token=owner.fencing_token)
                del owners[shard_id]
        leadership = self._held.leadership
        if leadership is not None:
            leader = self._replica.leader
            if leader is None or leader.fencing_token != leadership.fencing_token:
                log.info("leadership lost", fencing_token=leadership.fencing_token)
                self._held.leadership = None
        self._claimer.track_unowned_shards()

    def may_act(self) -> bool:
        """Tell whether the replica may be acted on.

        The first call after a process pause detects the pause.
        """
        if self.health.detect_process_pause() and not self._verifying_after_pause:
            self._verifying_after_pause = True
            self._tasks.start(self._verify_after_pause(), "verification after a process pause")
        elif self.reachability.state != NodeHealth.RESUMED:
            self.health.check_staleness()
        return self.reachability.may_act()

    async def _verify_after_pause(self) -> None:
        try:
            await self._renewal.verify_after_pause()
        finally:
            self._verifying_after_pause = False

    async def detect_process_pause(self) -> None:
        """Detect a process pause even if nothing else calls ``may_act``, then wait."""
        self.may_act()
        await asyncio.sleep(PAUSE_CHECK_INTERVAL_US / SECOND_US)

    async def check_health(self) -> None:
        """Wait, check the health of the node once, and release its leases if it is partitioned."""
        await asyncio.sleep(HEALTH_CHECK_INTERVAL_US / SECOND_US)
        await self.health.check()
        holds_any = self._held.owners or self._held.leadership
        if self.reachability.state == NodeHealth.PARTITIONED and holds_any:
            await self._release.release_all()

    async def keep_lease(self) -> None:
        """Obtain a lease if this node has none, wait, and renew it."""
        await self._renewal.keep_lease()

    async def claim(self) -> None:
        """Wait, then claim the shards and the leadership that this node should hold."""
        await self._claimer.claim()
