"""A write fence: keeps a transaction whose outcome is unknown from being executed after newer ones.

A transaction without an answer may be executed seconds later, after newer ones of the same controller, and
its preconditions can hold again, for example if a key is still absent or has been deleted again.
Seen (fault hunt, ``ran_twice``): the leader's transaction that routed a job to one shard had no answer, and a
new read did not show the route. The leader routed the job to another shard, then the first transaction was
executed, and both shards placed the task.

Each lease holder therefore has a fence key besides its fencing token. All its transactions are conditional on
the version of that key. When an outcome is unknown, the holder changes the key, so that the preconditions of
transactions still in flight can never hold again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from pearstep.state.records import WriteFenceRecord, fence_key
from pearstep.state.replica import Replica
from pearstep.transport.kv_client import CommitOutcome, KeyValueStore
from pearstep.transport.rate_limiter import URGENT


class WriteFence:
    """The write fence of one lease holder.

    A later holder doesn't need the fences of earlier ones: its claim changed the fencing token, which makes
    their transactions fail.
    """

    def __init__(
        self,
        kv: KeyValueStore,
        replica: Replica,
        claim_key: str,
        fencing_token: int,
        apply_own_commit: Callable[[str, int, object], None],
        read_barrier: Callable[[], Awaitable[bool]],
    ) -> None:
        """Create the fence for the writes of one lease holder.

        Args:
            kv: The key-value store.
            replica: This node's replica of it.
            claim_key: The key of the shard or of the leadership that is held.
            fencing_token: The version that this key got with the claim.
            apply_own_commit: Applies a committed key, its version and its value to the replica.
            read_barrier: Reads all changes; False if that failed.
        """
        self.kv = kv
        self.replica = replica
        self.key = fence_key(claim_key)
        self._claim = {claim_key: fencing_token}
        self._apply_own_commit = apply_own_commit
        self._read_barrier = read_barrier

    def preconditions(self) -> dict[str, int]:
        """Return the versions by key on which every transaction of the holder is conditional."""
        return {**self._claim, self.key: self.replica.version_of(self.key)}

    async def invalidate_pending_writes(self, is_held: Callable[[], bool]) -> bool:
        """Wait until no earlier transaction can still be executed and the replica shows those that were.

        Args:
            is_held: Whether the claim is still held.

        Returns:
            False if the claim is no longer held; pending transactions then fail on the claim's version.
        """
        version_before = self.replica.version_of(self.key)
        while is_held():
            if self.replica.version_of(self.key) == version_before:
                await self._write()
            # This read comes after the fence write, so it shows every transaction executed before that. If
            # the answer to the fence write was lost, the read shows the new version, or the write is retried
            # under the same precondition.
            if await self._read_barrier() and self.replica.version_of(self.key) != version_before:
                return True
            await asyncio.sleep(random.uniform(0.1, 0.3))
        return False

    async def _write(self) -> None:
        """Try once to change the fence's key."""
        record = WriteFenceRecord()
        outcome = await self.kv.commit(self.preconditions(), {self.key: (record, None)}, urgency=URGENT)
        if outcome.state == CommitOutcome.COMMITTED:
            self._apply_own_commit(self.key, outcome.revision, record)
