"""Obtain and renew the lease of this node in the state service."""

from __future__ import annotations

import asyncio
import random

from pearstep.controller.held_leases import HeldLeases
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.reachability import NodeHealth, Reachability
from pearstep.transport.clock import now_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import KeyValueStore

log = EventLogger("pearstep.lease")

# Renewals within the duration of one lease.
RENEWALS_PER_LEASE = 4
# How long the state service must be unavailable before a node resumes after a pause without asking it.
RESUME_WITHOUT_KV_US = SECOND_US


class LeaseRenewal:
    """Grants and renews the lease, and verifies it after a process pause."""

    def __init__(
        self,
        held: HeldLeases,
        kv: KeyValueStore,
        follower: ReplicaFollower,
        reachability: Reachability,
        lease_us: int,
    ) -> None:
        """Create the renewal; no lease is granted yet.

        Args:
            held: Stores the lease, and the shards and leadership that are lost with it.
            kv: The state service.
            follower: Brings the replica up to date after a pause.
            reachability: Records when the verification after a pause is complete.
            lease_us: The duration of the lease.
        """
        self._held = held
        self._kv = kv
        self._follower = follower
        self._reachability = reachability
        self._lease_us = lease_us

    async def keep_lease(self) -> None:
        """Obtain a lease if this node has none, wait, and renew it."""
        held = self._held
        if held.lease_id is None:
            held.lease_id = await self._kv.grant_lease(self._lease_us // 1000)
            if held.lease_id is None:
                await asyncio.sleep(random.uniform(0.2, 0.5))
                return
        await asyncio.sleep(self._lease_us / RENEWALS_PER_LEASE / SECOND_US)
        if held.lease_id is None:
            return
        if await self._kv.renew_lease(held.lease_id) is False:
            log.info("state lease expired")
            held.on_lease_lost()

    async def verify_after_pause(self) -> None:
        """Renew the lease or find that it is lost after a process pause, and refresh the replica."""
        while self._reachability.state == NodeHealth.RESUMED:
            renewed = await self._renew_now()
            if renewed is False:
                self._held.on_lease_lost()
            if renewed is not None and await self._follower.read_barrier():
                break
            unavailable_since_us = self._kv.unavailable_since_us
            if unavailable_since_us is not None and now_us() - unavailable_since_us > RESUME_WITHOUT_KV_US:
                # It is unknown whether the lease is still valid. If the state service is down for all nodes,
                # this node still owns its shards and their agents need it. If only this node is refused, the
                # peers will report that.
                break
            await asyncio.sleep(random.uniform(0.1, 0.3))
        self._reachability.resume_completed(now_us())

    async def _renew_now(self) -> bool | None:
        """Renew the lease; False if it no longer exists, None if that cannot be determined."""
        if self._held.lease_id is None:
            return False
        return await self._kv.renew_lease(self._held.lease_id)
