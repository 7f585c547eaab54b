"""The shard loop: runs passes over owned shards, commits their writes, and sends the resulting commands."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from functools import partial

from pearstep.controller.agent_gateway import AgentGateway
from pearstep.controller.cloud_client import CloudClient
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.controller.settings import Leading
from pearstep.controller.write_fence import WriteFence
from pearstep.domain.units import SECOND_US
from pearstep.shard.commands import ShardActions
from pearstep.shard.owner import ShardOwner
from pearstep.shard.placement_drafts import GroupCommit
from pearstep.state.replica import Replica
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.clock import now_us, wall_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome, CommitResult, KeyValueStore

log = EventLogger("pearstep.shard_loop")

# Longest wait between two passes.
MAX_PASS_INTERVAL_S = 0.5
# Machines per delete request to the cloud.
DELETE_BATCH_SIZE = 100
# Conflicting keys named in one log line.
MAX_LOGGED_KEYS = 4


async def _backoff() -> None:
    """Wait for a short random time before retrying a request to the state service."""
    await asyncio.sleep(random.uniform(0.1, 0.3))


async def pause_after_pass(leading: Leading, started_us: int) -> None:
    """Pause in proportion to a pass's duration, so that heartbeats, user requests and leases get served."""
    duration_s = (now_us() - started_us) / SECOND_US
    pause_s = min(leading.pace * duration_s, leading.longest_rest_ms / 1000)
    await asyncio.sleep(max(leading.step_ms / 1000, pause_s))


class ShardLoop:
    """Runs passes and commits of the shards in ``owners``, which the lease manager fills."""

    def __init__(  # noqa: PLR0913 - one argument for each collaborator, as the controller wires them
        self,
        leading: Leading,
        owners: dict[int, ShardOwner],
        kv: KeyValueStore,
        cloud: CloudClient,
        replica: Replica,
        follower: ReplicaFollower,
        agents: AgentGateway,
        pass_requested: asyncio.Event,
        may_act: Callable[[], bool],
        on_key_removed: Callable[[str], None],
    ) -> None:
        """Run the shards in ``owners``.

        Args:
            leading: The operators' settings for the pace of passes.
            owners: The shards that this controller owns now.
            kv: The key-value store.
            cloud: The cloud client, which deletes machines.
            replica: The replica of the stored state.
            follower: Applies this node's commits to the replica, and brings it up to date.
            agents: Sends commands to agents.
            pass_requested: Set to request a pass.
            may_act: Whether this controller may act for its shards now.
            on_key_removed: Called with each key that a commit deleted.
        """
        self.leading = leading
        self.owners = owners
        self.kv = kv
        self.cloud = cloud
        self.replica = replica
        self.follower = follower
        self.agents = agents
        self.pass_requested = pass_requested
        self._may_act = may_act
        self._on_key_removed = on_key_removed
        self._committing: set[int] = set()
        self._tasks = BackgroundTasks(log)

    async def run_pass(self) -> None:
        """Wait until a pass is requested or the interval has passed, then run one pass over all shards."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.pass_requested.wait(), MAX_PASS_INTERVAL_S)
        self.pass_requested.clear()
        if not self._may_act():
            return
        started_us = now_us()
        for owner in list(self.owners.values()):
            self._perform(owner, owner.run_pass(now_us(), wall_us()))
            if owner.shard_id not in self._committing:
                self._committing.add(owner.shard_id)
                self._tasks.start(self._commit(owner))
        await pause_after_pass(self.leading, started_us)

    def _is_owned(self, owner: ShardOwner) -> bool:
        return self.owners.get(owner.shard_id) is owner

    def _perform(self, owner: ShardOwner, actions: ShardActions) -> None:
        self.agents.send_commands(owner, actions)
        if actions.machines_to_delete:
            self._tasks.start(self._delete(owner, actions.machines_to_delete))

    # -- deletion of machines --------------------------------------------------------------------

    async def _delete(self, owner: ShardOwner, names: list[str]) -> None:
        """Delete machines in the cloud, in batches."""
        for start in range(0, len(names), DELETE_BATCH_SIZE):
            batch = names[start : start + DELETE_BATCH_SIZE]
            deleted = await self.cloud.delete(batch)
            log.info(
                "machines deleted" if deleted else "machine deletion failed",
                shard=owner.shard_id,
                machines=[self._with_reason(name) for name in batch],
            )
            if not self._is_owned(owner):
                return
            for name in batch:
                if deleted:
                    owner.on_machine_deleted(name, now_us(), wall_us())
                else:
                    owner.on_delete_failed(name, now_us())
        self.pass_requested.set()

    def _with_reason(self, name: str) -> str:
        """Return a machine's name, followed by its drain reason if it is draining."""
        drain = self.replica.drains.get(name)
        return f"{name}({drain.reason})" if drain else name

    # -- commits ---------------------------------------------------------------------------------

    @staticmethod
    def _log_unwritable_keys(owner: ShardOwner) -> None:
        for unwritable in owner.unwritable_keys:
            log.error(
                "record can't be written",
                shard=owner.shard_id,
                key=unwritable.key,
                cause=unwritable.reason,
            )
        owner.unwritable_keys.clear()

    async def _commit(self, owner: ShardOwner) -> None:
        """Commit the owner's pending writes in groups until none is left or the shard is no longer owned."""
        fence = WriteFence(
            self.kv,
            self.replica,
            f"part/{owner.shard_id}",
            owner.fencing_token,
            partial(self._on_fence_written, owner),
            self.follower.read_barrier,
        )
        try:
            while self._is_owned(owner) and await self._commit_group(owner, fence):
                pass
        finally:
            self._committing.discard(owner.shard_id)

    def _on_fence_written(self, owner: ShardOwner, key: str, revision: int, value: object) -> None:
        """Apply a write of the owner's fence, which is conditional on the shard's key."""
        owner.confirm_ownership(revision)
        self.follower.apply_own_commit(key, revision, value)

    async def _commit_group(self, owner: ShardOwner, fence: WriteFence) -> bool:
        """Commit one group of writes; return whether to continue with the next."""
        if not owner.has_writes(now_us()):
            return False
        await self.kv.wait_for_write_quota()
        if not self._is_owned(owner):
            # This node stopped owning the shard during the wait. The owner object has received no changes
            # since, so its writes could refer to jobs whose records have been removed.
            return False
        batch = owner.gather_commit(now_us(), wall_us())
        self._log_unwritable_keys(owner)
        if batch is None:
            return False
        sent_at_us = now_us()
        result = await self.kv.commit(
            {**batch.preconditions, **fence.preconditions()}, batch.puts, batch.deletes
        )
        if result.state == CommitOutcome.COMMITTED:
            self._on_committed(owner, batch, result, sent_at_us)
        elif result.state == CommitOutcome.MALFORMED:
            owner.on_malformed(batch, now_us(), wall_us())
            self._log_unwritable_keys(owner)
            self.pass_requested.set()
        elif result.state == CommitOutcome.REFUSED:
            owner.on_rejected(batch, now_us(), wall_us(), unchanged=True)
            await _backoff()
        else:
            return await self._on_not_applied(owner, fence, batch, result)
        return True

    def _on_committed(
        self, owner: ShardOwner, batch: GroupCommit, result: CommitResult, sent_at_us: int
    ) -> None:
        """Apply a commit that was sent at a time to the replica, and send the commands that it allows."""
        actions = ShardActions()
        owner.on_committed(batch, result.revision, actions)
        if batch.placed_attempts or batch.freed:
            log.info(
                "shard commit applied",
                shard=owner.shard_id,
                fencing_token=owner.fencing_token,
                read_revision=batch.read_revision,
                revision=result.revision,
                placed=batch.placed_labels,
                freed=batch.freed_labels,
            )
        for attempt in batch.placed_attempts:
            log.debug(
                "attempt placed",
                task=attempt.name,
                attempt=attempt.number,
                machine=attempt.machine,
                image=attempt.spec.image,
                job_class=attempt.spec.job_class,
            )
        for key, (value, _) in batch.puts.items():
            self.follower.apply_own_commit(key, result.revision, value)
        for key in batch.deletes:
            if self.replica.delete(key, result.revision):
                self._on_key_removed(key)
        # The answer may have been delayed by a process pause during which jobs were cancelled. In that case
        # nothing is sent now; the start commands go out with the next heartbeat answers.
        if self._is_owned(owner) and self._may_act():
            # The versions of the jobs were conditions of the commit, so none was cancelled when it was sent.
            self.agents.send_commands(owner, actions, confirmed_at_us=sent_at_us)

    async def _on_not_applied(
        self, owner: ShardOwner, fence: WriteFence, batch: GroupCommit, result: CommitResult
    ) -> bool:
        """Handle a conflict or an unknown outcome; return whether the shard is still owned."""
        log.info(
            "shard commit not applied",
            shard=owner.shard_id,
            outcome=result.state,
            failed=result.failed[:MAX_LOGGED_KEYS],
            fencing_token=owner.fencing_token,
            read_revision=batch.read_revision,
            placed=batch.placed_labels,
            freed=batch.freed_labels,
        )
        is_conflict = result.state == CommitOutcome.CONFLICT
        # Only an up-to-date replica shows the conflicting record, or whether the commit was applied.
        if not is_conflict and not await fence.invalidate_pending_writes(lambda: self._is_owned(owner)):
            return False
        while not await self.follower.read_barrier():
            await _backoff()
            if not self._is_owned(owner):
                return False
        failed = result.failed if is_conflict else ()
        owner.on_rejected(batch, now_us(), wall_us(), unchanged=False, failed=failed)
        self.pass_requested.set()
        return True
