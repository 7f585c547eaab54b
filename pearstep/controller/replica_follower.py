"""Keep this node's replica of all records up to date, and provide linearizable reads of it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from pearstep.controller.settings import Leading
from pearstep.domain.units import SECOND_US
from pearstep.protocol import controller_messages as wire
from pearstep.state.records import HISTORY_BLOCK_PREFIX
from pearstep.state.replica import Replica
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.clock import now_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import KeyValueStore

log = EventLogger("pearstep.replica")

# The state service no longer has the requested changes: all records must be listed again.
CHANGES_COMPACTED = 410
DEFAULT_WATCH_TIMEOUT_MS = 10_000


class ReplicaFollower:
    """Follows the changes of the state service.

    Attributes:
        loads: How often all records were listed.
        watch_timeout_ms: How long a watch request waits for changes.
        on_read_completed: Called once the answer to a read is applied, with the time at which the read was
            sent. The replica then has everything that was committed before that time.
    """

    def __init__(
        self,
        kv: KeyValueStore,
        replica: Replica,
        leading: Leading,
        on_change: Callable[[str, bool], None],
        on_holders: Callable[[], None],
    ) -> None:
        """Create the follower; nothing is read yet.

        Args:
            kv: The state service.
            replica: The replica to keep up to date.
            leading: The operators' settings for the pauses between reads.
            on_change: Called with each key that changed, and whether it was there before.
            on_holders: Called when lease holders may have changed.
        """
        self.kv = kv
        self.replica = replica
        self.loads = 0
        self.watch_timeout_ms = DEFAULT_WATCH_TIMEOUT_MS
        self.on_read_completed: Callable[[int], None] = lambda sent_us: None
        self._pause_s = leading.follow_ms / 1000
        self._barrier_pause_s = leading.refresh_ms / 1000
        self._on_change = on_change
        self._on_holders = on_holders
        # The result of the next read barrier, shared by all waiting callers; None if there are none.
        self._next_barrier: asyncio.Future[bool] | None = None
        self._serving_barriers = False
        self._last_barrier_us = 0
        self._tasks = BackgroundTasks(log)

    @property
    def loaded(self) -> bool:
        """Whether all records have been listed at least once."""
        return self.loads > 0

    async def load(self) -> bool:
        """List all records except history blocks, and make the replica match the listing.

        Returns:
            False if the state service did not answer.
        """
        sent_us = now_us()
        # Blocks of finished jobs have the last keys, and nothing here depends on them.
        listing = await self.kv.list_all(end_key=HISTORY_BLOCK_PREFIX)
        if listing is None:
            return False
        pairs, revision = listing
        listed = set()
        for pair in pairs:
            listed.add(pair.key)
            self._put(pair.key, pair.version, bytes(pair.value))
        self._delete_unlisted(listed, revision)
        self.replica.revision = max(self.replica.revision, revision)
        if not self.loaded:
            log.info(
                "replica loaded", keys=len(pairs), revision=revision, open_jobs=len(self.replica.open_jobs)
            )
        self.loads += 1
        self.on_read_completed(sent_us)
        self._on_holders()
        return True

    def _delete_unlisted(self, listed: set[str], revision: int) -> None:
        """Delete the replica's keys that a listing at a revision does not contain."""
        unlisted = [
            key
            for key in self.replica.versions
            if key not in listed and not key.startswith(HISTORY_BLOCK_PREFIX)
        ]
        for key in unlisted:
            if self.replica.versions[key] <= revision and self.replica.delete(key, revision + 1):
                self._on_change(key, False)

    async def follow(self) -> None:
        """Wait for changes once, and apply them; list all records first if that has not been done."""
        if not self.loaded and not await self.load():
            await asyncio.sleep(random.uniform(0.2, 0.4))
            return
        sent_us = now_us()
        changes = await self.kv.read_changes(self.replica.revision, self.watch_timeout_ms)
        if isinstance(changes, int):
            if changes == CHANGES_COMPACTED:
                await self.load()
            else:
                await asyncio.sleep(random.uniform(0.15, 0.4))
            return
        self.apply_changes(changes)
        self.on_read_completed(sent_us)
        await asyncio.sleep(self._pause_s)
        # Read barriers for user requests keep the replica up to date too, so the same changes need not be
        # read twice. Each barrier postpones the end of this wait, so the wait cannot be for an event.
        while (rest_us := self._last_barrier_us + int(self._pause_s * SECOND_US) - now_us()) > 0:  # noqa: ASYNC110
            await asyncio.sleep(rest_us / SECOND_US)

    def apply_changes(self, changes: wire.Changes) -> None:
        """Apply changes to the replica, and report them."""
        touched = False
        applied_revision = self.replica.revision
        for event in changes.events:
            if event.version <= applied_revision:
                # Answers overlap. A put that was read before the deletion of its key but is applied after it
                # would restore the key: a job whose record was removed, or a placement that has ended.
                continue
            if event.put is not None:
                touched |= self._put(event.put, event.version, bytes(event.value))
            elif event.delete is not None and self.replica.delete(event.delete, event.version):
                touched = True
                self._on_change(event.delete, False)
        self.replica.revision = max(self.replica.revision, changes.revision)
        if touched:
            self._on_holders()

    def _put(self, key: str, version: int, raw: bytes) -> bool:
        """Apply one record; return False if the replica already has it."""
        existed = self.replica.version_of(key) > 0
        if self.replica.put(key, version, raw, now_us()):
            self._on_change(key, existed)
            return True
        return False

    def apply_own_commit(self, key: str, version: int, value: object) -> None:
        """Apply a record that this node has committed, without waiting to read it back."""
        self._put(key, version, msgspec.json.encode(value))

    async def read_barrier(self) -> bool:
        """Wait until the replica has everything that was committed before this call.

        All calls that wait at the same time share one read.

        Returns:
            False if the read failed.
        """
        if self._next_barrier is None:
            self._next_barrier = asyncio.get_running_loop().create_future()
            if not self._serving_barriers:
                self._tasks.start(self._serve_barriers(), "read barriers")
        return await self._next_barrier

    async def _serve_barriers(self) -> None:
        """Read the changes repeatedly while callers wait for a read barrier."""
        self._serving_barriers = True
        try:
            while self._next_barrier is not None:
                barrier, self._next_barrier = self._next_barrier, None
                succeeded = False
                try:
                    succeeded = await self._read_changes()
                except Exception:
                    log.exception("read barrier failed")
                if not barrier.done():
                    barrier.set_result(succeeded)
                await asyncio.sleep(self._barrier_pause_s)
        finally:
            self._serving_barriers = False

    async def _read_changes(self) -> bool:
        """Read all changes without waiting for new ones; False if the state service did not answer."""
        sent_us = now_us()
        changes = await self.kv.read_changes(self.replica.revision, 0, urgency=0)
        if isinstance(changes, int):
            return changes == CHANGES_COMPACTED and await self.load()
        self.apply_changes(changes)
        self._last_barrier_us = now_us()
        self.on_read_completed(sent_us)
        return True
