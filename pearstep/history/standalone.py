"""Compaction without a controller.

An operator's command compacts at once, by the same rules and under the same key as a controller.
"""

from __future__ import annotations

import asyncio
import os

import msgspec

from pearstep.controller.extension import FinishedJobs
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import Leading, StateSettings
from pearstep.domain.units import SECOND_US
from pearstep.history.compaction import COMPACTOR
from pearstep.history.extension import NONE, CompactionExtension
from pearstep.history.settings import HistorySettings
from pearstep.state.replica import Replica
from pearstep.transport.clock import now_us
from pearstep.transport.http import Client
from pearstep.transport.kv_client import open_kv_store

LEASE_MS = 6000
RENEWALS_PER_LEASE = 4
MS_PER_SECOND = 1000


class CommandLeases:
    """The lease of a command, which never leads and announces no history format."""

    def __init__(self) -> None:
        """Create the leases without a lease."""
        self.lease_id: int | None = None
        self.leadership: None = None
        self.version = 0

    def may_act(self) -> bool:
        """Return True: only the lease itself restricts a command.

        A command that was paused loses its lease as a controller does.
        """
        return True


class CommandParameters(msgspec.Struct, frozen=True):
    """The tuning parameters of a command: the limits of the state service."""

    state: StateSettings


class CommandSettings(msgspec.Struct, frozen=True):
    """The settings of a command; see ``host.HostSettings``."""

    shard_count: int
    params: CommandParameters
    txn_ops: int


class CommandQueries:
    """Receives the reader of the history, which a command does not use."""

    def __init__(self) -> None:
        """Start without a reader."""
        self.history: FinishedJobs | None = None


class CommandHost:
    """The host of compaction in an operator's command; see ``host.HistoryHost``."""

    def __init__(self, http: Client, state: str, shard_count: int, limits: StateSettings) -> None:
        """Create a client of a state service; reads nothing yet.

        Args:
            http: The connections to use.
            state: The address of the state service.
            shard_count: The number of controllers of the site.
            limits: The limits of the state service that the command observes.
        """
        self.node = f"command-{os.getpid()}"
        self.kv = open_kv_store(http, state, limits.rps, limits.write_rps)
        self.replica = Replica()
        self.follower = ReplicaFollower(
            self.kv, self.replica, Leading(), lambda key, known: None, lambda: None
        )
        self.leases = CommandLeases()
        self.settings = CommandSettings(shard_count, CommandParameters(limits), limits.txn_ops)
        self.job_api = CommandQueries()

    async def keep_lease(self) -> None:
        """Keep a lease in the state service until the task is cancelled."""
        while True:
            lease_id = self.leases.lease_id
            if lease_id is None or await self.kv.renew_lease(lease_id) is False:
                self.leases.lease_id = await self.kv.grant_lease(LEASE_MS)
            await asyncio.sleep(LEASE_MS / RENEWALS_PER_LEASE / MS_PER_SECOND)


async def compact(
    host: CommandHost, settings: HistorySettings, claim_timeout_s: float = 30.0
) -> tuple[int, str]:
    """Compact until nothing is due.

    Args:
        host: The host of the command.
        settings: The rules of compaction.
        claim_timeout_s: How long to wait for the key of the compactor, in seconds.

    Returns:
        The number of compacted jobs, and the reason for the operator why compaction ended early, empty if all
        is done.
    """
    compacting = CompactionExtension(settings)
    compacting.attach(host)
    # The reader must be registered with the replica before the first root is read.
    if not await host.follower.load():
        return 0, "the state service does not answer"
    lease_task = asyncio.ensure_future(host.keep_lease())
    claim_until_us = now_us() + int(claim_timeout_s * SECOND_US)
    try:
        while await compacting.reader.catch_up(host.follower.loads):
            pass
        return await _compact_all(host, compacting, claim_until_us)
    finally:
        lease_task.cancel()


async def _compact_all(
    host: CommandHost, compacting: CompactionExtension, claim_until_us: int
) -> tuple[int, str]:
    """Take steps until nothing is due or compaction can't continue; returns the same as ``compact``."""
    moved, has_worked = 0, False
    while True:
        await host.follower.read_barrier()
        await compacting.step()
        if compacting.reader.damaged:
            return moved, f"{compacting.reader.damaged[0]} is damaged: see `pearstep state verify`"
        if compacting.stopped:
            return moved, "the state service takes no step of it: see the log"
        if compacting.planner is not None:
            has_worked, moved = True, compacting.planner.moved_count
        elif compacting.state == NONE and (has_worked or not compacting.has_work()):
            return moved, ""
        elif not has_worked and now_us() > claim_until_us:
            return moved, _why_not_claimed(host)


def _why_not_claimed(host: CommandHost) -> str:
    """Return a message for the operator why the key of the compactor could not be claimed."""
    if host.replica.version_of(COMPACTOR):
        return "a controller compacts at the moment"
    return "not every controller has said that it reads the history: start all with --history FILE"
