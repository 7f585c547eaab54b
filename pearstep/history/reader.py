"""Finds the outcome of compacted jobs, in a controller or a command.

The reader follows the stored roots and blocks through the replica, and reads the blocks that a lookup needs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from pearstep.controller.extension import FinishedJob
from pearstep.history.blocks import BadBlockError, HistoryEntry, parse_job_number, unpack
from pearstep.history.compaction import COMPACTOR
from pearstep.history.lookup import History, NeedsBlock
from pearstep.history.tree import Root
from pearstep.state.records import HISTORY_BLOCK_PREFIX, HISTORY_ROOT_PREFIX
from pearstep.state.replica import Replica
from pearstep.transport.clock import now_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import KeyValueStore
from pearstep.transport.rate_limiter import IDLE, NORMAL, URGENT

log = EventLogger("pearstep.history")

_root_decoder = msgspec.json.Decoder(Root)
_block_decoder = msgspec.json.Decoder(str)
# A lookup may read one block per run without a filter, and roots may be replaced meanwhile.
MAX_BLOCKS_PER_LOOKUP = 64
READ_RETRY_S = 0.2


class Reader:
    """Looks up compacted jobs in the records that the replica follows.

    Attributes:
        damaged: The keys of records that can't be read or contradict others.
        fully_listed: Whether the keys of all blocks have been read, so that every run has its filter.
        compactor_record: The record of the process that compacts, as it is stored; empty if there is none.
    """

    def __init__(
        self,
        replica: Replica,
        kv: KeyValueStore,
        read_barrier: Callable[[], Awaitable[bool]],
        max_cached_blocks: int,
        max_waiting: int,
    ) -> None:
        """Register with the replica for the records of the history.

        Args:
            replica: The replica of the stored records.
            kv: The client of the state service.
            read_barrier: Waits until the replica is as new as the state service; False if that fails.
            max_cached_blocks: The largest number of unpacked blocks kept in memory.
            max_waiting: The largest number of lookups that may wait for a block at a time.
        """
        self.replica = replica
        self.kv = kv
        self.history = History(max_cached_blocks)
        self.damaged: list[str] = []
        self.fully_listed = False
        self._read_barrier = read_barrier
        self._max_waiting = max_waiting
        self._reads_in_progress: dict[str, asyncio.Future[bool]] = {}
        self._waiting_lookups = 0
        # Encoded blocks of runs that have no filter yet, by bucket and run, then by index.
        self._pending_blocks: dict[tuple[int, str], dict[int, bytes]] = {}
        # The listing of all blocks: the last key read, the keys, the load of the replica, the revision.
        self._list_cursor = HISTORY_BLOCK_PREFIX
        self._listed: set[str] = set()
        self._listing_load = -1
        self._listing_revision = 0
        self.compactor_record = b""
        replica.extension_readers.update(
            {
                HISTORY_ROOT_PREFIX.rstrip("/"): self._store_root,
                HISTORY_BLOCK_PREFIX.rstrip("/"): self._store_block,
                COMPACTOR: self._store_compactor,
            }
        )

    @property
    def roots(self) -> dict[int, Root]:
        """The known roots by bucket."""
        return self.history.roots

    # -- records that the replica follows --------------------------------------------------------

    def _store_root(self, rest: str, version: int, raw: bytes | None) -> None:
        """Store a root; ``rest`` is its key without the prefix, ``raw`` is None if it was deleted."""
        if raw is None:
            self._report_damage(f"{HISTORY_ROOT_PREFIX}{rest}", "has been removed")
            return
        try:
            bucket, root = int(rest), _root_decoder.decode(raw)
        except (ValueError, msgspec.MsgspecError) as err:
            self._report_damage(f"{HISTORY_ROOT_PREFIX}{rest}", str(err))
            return
        before = self.roots.get(bucket, Root())
        if root.count < before.count:
            # Lookups continue to use the previous root.
            self._report_damage(
                f"{HISTORY_ROOT_PREFIX}{rest}", f"has {root.count} jobs, and had {before.count}"
            )
            return
        if self.history.put_root(bucket, version, root):
            for run in root.runs:
                self._try_build_filter(bucket, run.name)

    def _store_block(self, rest: str, version: int, raw: bytes | None) -> None:
        """Keep a block if its run has no filter yet; ``rest`` is its key without the prefix."""
        try:
            bucket_text, name, index_text = rest.split("/")
            bucket, index = int(bucket_text), int(index_text)
            block = _block_decoder.decode(raw).encode() if raw is not None else b""
        except (ValueError, msgspec.MsgspecError) as err:
            # A damaged value must not stop the replica from following other records.
            self._report_damage(f"{HISTORY_BLOCK_PREFIX}{rest}", str(err))
            return
        if raw is None:
            self._remove_pending_block(bucket, name, index)
            return
        named = {run.name for run in self.roots.get(bucket, Root()).runs}
        if name in named and self.history.has_filter(bucket, name):
            return
        self._pending_blocks.setdefault((bucket, name), {})[index] = block
        if name in named:
            self._try_build_filter(bucket, name)

    def _remove_pending_block(self, bucket: int, name: str, index: int) -> None:
        """Remove the text of a deleted block."""
        blocks = self._pending_blocks.get((bucket, name), {})
        blocks.pop(index, None)
        if not blocks:
            self._pending_blocks.pop((bucket, name), None)

    def has_unreferenced_blocks(self) -> bool:
        """Tell whether there are blocks that no root references.

        A compactor writes blocks before the root that references them. Such blocks without a running
        compactor mean that one was interrupted.
        """
        stored = sum(key.startswith(HISTORY_BLOCK_PREFIX) for key in self.replica.versions)
        return stored > sum(len(run.first_numbers) for root in self.roots.values() for run in root.runs)

    def _store_compactor(self, rest: str, version: int, raw: bytes | None) -> None:
        """Store the record of the compactor."""
        self.compactor_record = raw or b""

    def _try_build_filter(self, bucket: int, name: str) -> None:
        """Build the filter of a run if all of its blocks are known."""
        run = next(run for run in self.roots[bucket].runs if run.name == name)
        blocks = self._pending_blocks.get((bucket, name), {})
        if len(blocks) < len(run.first_numbers) or self.history.has_filter(bucket, name):
            return
        del self._pending_blocks[bucket, name]
        try:
            self.history.build_filter(
                bucket, name, (entry for raw in blocks.values() for entry in unpack(raw))
            )
        except BadBlockError as err:
            self._report_damage(f"{HISTORY_BLOCK_PREFIX}{bucket}/{name}", str(err))

    def _report_damage(self, key: str, reason: str) -> None:
        """Record and log, once for each key, that a record is damaged; it is not used for lookups."""
        if key not in self.damaged:
            self.damaged.append(key)
            log.error("history record damaged", key=key, reason=reason)

    # -- reading ---------------------------------------------------------------------------------

    async def catch_up(self, loads: int) -> bool:
        """Read one more page of the blocks that were stored before the replica was loaded.

        Args:
            loads: How often the replica has been loaded; a new value restarts the listing.

        Returns:
            Whether there is more to read.
        """
        if loads != self._listing_load:
            self._listing_load, self._list_cursor, self.fully_listed = loads, HISTORY_BLOCK_PREFIX, False
            self._listing_revision = 0
            self._listed.clear()
        if self.fully_listed:
            return False
        page = await self.kv.read_page(HISTORY_BLOCK_PREFIX, self._list_cursor, NORMAL)
        if page is None or loads != self._listing_load:
            await asyncio.sleep(READ_RETRY_S)
            return True
        self._listing_revision = self._listing_revision or page.revision
        for pair in page.items:
            self._listed.add(pair.key)
            self.replica.put(pair.key, pair.version, bytes(pair.value), now_us())
            await asyncio.sleep(0)
        if page.items and page.more:
            self._list_cursor = page.items[-1].key
            return True
        self._delete_unlisted()
        self.fully_listed = True
        if self._listed:
            jobs = sum(root.count for root in self.roots.values())
            log.info("history read", jobs=jobs, blocks=len(self._listed))
        self._listed.clear()
        return False

    def _delete_unlisted(self) -> None:
        """Delete from the replica the blocks that the state service no longer has."""
        versions = self.replica.versions
        unlisted = [
            key for key in versions if key.startswith(HISTORY_BLOCK_PREFIX) and key not in self._listed
        ]
        for key in unlisted:
            if versions[key] <= self._listing_revision:
                self.replica.delete(key, self._listing_revision + 1)

    async def read_block(self, key: str, urgency: int = URGENT) -> bool | None:
        """Read a block; concurrent calls for the same block share one read.

        Args:
            key: The key of the block.
            urgency: The priority of the request in the rate limiter.

        Returns:
            True if it was read, False if it isn't stored, None if it can't be read now.
        """
        if key in self._reads_in_progress:
            found = await self._reads_in_progress[key]
            return found or None
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._reads_in_progress[key] = future
        was_read = False
        try:
            pair = await self.kv.read(key, urgency)
            if pair is False and await self._read_barrier() and self._is_referenced(key):
                # The barrier came after the failed read, so the root is not out of date.
                self._report_damage(key, "is named by its root, and is not there")
                return None
            if isinstance(pair, bool):
                return None if pair else False
            self.history.put_block(key, _block_decoder.decode(pair.value).encode())
            was_read = True
            return True
        except (BadBlockError, msgspec.MsgspecError) as err:
            self._report_damage(key, str(err))
            return None
        finally:
            del self._reads_in_progress[key]
            future.set_result(was_read)

    def _is_referenced(self, key: str) -> bool:
        """Tell whether the root of a block's bucket references the block."""
        bucket, run, index = key[len(HISTORY_BLOCK_PREFIX) :].split("/")
        runs = self.roots.get(int(bucket), Root()).runs
        return any(one.name == run and int(index) < len(one.first_numbers) for one in runs)

    async def read_run(self, bucket: int, name: str) -> list[HistoryEntry] | None:
        """Read all entries of a run; None if they can't be read now."""
        entries: list[HistoryEntry] = []
        run = next((run for run in self.roots.get(bucket, Root()).runs if run.name == name), None)
        if run is None:
            return None
        prefix, after = f"{HISTORY_BLOCK_PREFIX}{bucket}/{name}/", None
        while True:
            page = await self.kv.read_page(prefix, after, IDLE)
            if page is None:
                return None
            try:
                for pair in page.items:
                    entries += unpack(_block_decoder.decode(pair.value).encode())
                    await asyncio.sleep(0)
            except (BadBlockError, msgspec.MsgspecError) as err:
                self._report_damage(prefix, str(err))
                return None
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        if len(entries) != run.count:
            self._report_damage(prefix, f"has {len(entries)} jobs instead of {run.count}")
            return None
        return entries

    async def find(self, job_id: str) -> FinishedJob | dict[str, int] | None:
        """Find the outcome of a job that has no record of its own.

        Returns:
            The job's final state, or the conditions (versions by key) under which the job is new, or None if
            that can't be determined now: the state service is unavailable, or too many lookups wait for a
            block.
        """
        number = parse_job_number(job_id)
        if number is None:
            return {}
        searched: set[str] = set()
        for _ in range(MAX_BLOCKS_PER_LOOKUP):
            found = self.history.look_up(number, searched)
            if isinstance(found, HistoryEntry):
                return FinishedJob(job_id, found.state, found.done)
            if not isinstance(found, NeedsBlock):
                return {found.key: found.version}
            if self._waiting_lookups >= self._max_waiting or self.kv.is_unavailable():
                return None
            self._waiting_lookups += 1
            try:
                if await self.read_block(found.key) is None:
                    return None
            finally:
                self._waiting_lookups -= 1
        return None
