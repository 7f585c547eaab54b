"""Answers for jobs that have left their records, in a controller or a command.

The reader follows the stored roots and blocks, and reads the blocks that an answer needs.
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
# Blocks that one question may look into: one per run without a filter, and roots are replaced meanwhile.
MOST_LOOKUPS = 64
READ_RETRY_S = 0.2


class Reader:
    """Answers from the records that the replica follows.

    Attributes:
        damaged: The keys of records that can't be read or contradict others.
        whole: Whether the keys of all blocks have been read, so that every run has its filter.
        compactor: The record of the process that compacts, as it is stored; empty if there is none.
    """

    def __init__(
        self,
        replica: Replica,
        kv: KeyValueStore,
        read_barrier: Callable[[], Awaitable[bool]],
        kept_blocks: int,
        most_waiting: int,
    ) -> None:
        """Register with the replica for the records of the history.

        Args:
            replica: The replica of the stored records.
            kv: The client of the state service.
            read_barrier: Waits until the replica is as new as the state service; False if that fails.
            kept_blocks: The number of blocks that stay unpacked in memory.
            most_waiting: The number of questions that may wait for a block at a time.
        """
        self.replica = replica
        self.kv = kv
        self.history = History(kept_blocks)
        self.damaged: list[str] = []
        self.whole = False
        self._read_barrier = read_barrier
        self._most_waiting = most_waiting
        self._reading: dict[str, asyncio.Future[bool]] = {}
        self._waiting = 0
        # Blocks as they are written, until their run has its filter.
        self._raw: dict[tuple[int, str], dict[int, bytes]] = {}
        # The listing of all blocks: the key it has come to, its keys, the load it follows, its revision.
        self._listed_until = HISTORY_BLOCK_PREFIX
        self._listed: set[str] = set()
        self._listed_load = -1
        self._listing_revision = 0
        self.compactor = b""
        replica.extension_readers.update(
            {
                HISTORY_ROOT_PREFIX.rstrip("/"): self._put_root,
                HISTORY_BLOCK_PREFIX.rstrip("/"): self._put_block,
                COMPACTOR: self._put_compactor,
            }
        )

    @property
    def roots(self) -> dict[int, Root]:
        """The known roots by bucket."""
        return self.history.roots

    # -- records that the replica follows --------------------------------------------------------

    def _put_root(self, rest: str, version: int, raw: bytes | None) -> None:
        """Take in a root; ``rest`` is its key without the prefix, ``raw`` None if it was deleted."""
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
            # Questions go on being answered from the root before.
            self._report_damage(
                f"{HISTORY_ROOT_PREFIX}{rest}", f"has {root.count} jobs, and had {before.count}"
            )
            return
        if self.history.put_root(bucket, version, root):
            for run in root.runs:
                self._fill(bucket, run.name)

    def _put_block(self, rest: str, version: int, raw: bytes | None) -> None:
        """Take in a block until its run has a filter; ``rest`` is its key without the prefix."""
        try:
            bucket_text, name, index_text = rest.split("/")
            bucket, index = int(bucket_text), int(index_text)
            block = _block_decoder.decode(raw).encode() if raw is not None else b""
        except (ValueError, msgspec.MsgspecError) as err:
            # A damaged value must not keep the replica from following other records.
            self._report_damage(f"{HISTORY_BLOCK_PREFIX}{rest}", str(err))
            return
        if raw is None:
            self._drop_block(bucket, name, index)
            return
        named = {run.name for run in self.roots.get(bucket, Root()).runs}
        if name in named and self.history.has_filter(bucket, name):
            return
        self._raw.setdefault((bucket, name), {})[index] = block
        if name in named:
            self._fill(bucket, name)

    def _drop_block(self, bucket: int, name: str, index: int) -> None:
        """Forget the text of a block that was deleted."""
        blocks = self._raw.get((bucket, name), {})
        blocks.pop(index, None)
        if not blocks:
            self._raw.pop((bucket, name), None)

    def strays(self) -> bool:
        """Tell whether there are blocks that no root names.

        A compactor writes blocks before the root that names them; without a compactor, one was interrupted.
        """
        stored = sum(key.startswith(HISTORY_BLOCK_PREFIX) for key in self.replica.versions)
        return stored > sum(len(run.first_numbers) for root in self.roots.values() for run in root.runs)

    def _put_compactor(self, rest: str, version: int, raw: bytes | None) -> None:
        """Take in the record of the compactor."""
        self.compactor = raw or b""

    def _fill(self, bucket: int, name: str) -> None:
        """Make the filter of a run once all of its blocks are known."""
        run = next(run for run in self.roots[bucket].runs if run.name == name)
        blocks = self._raw.get((bucket, name), {})
        if len(blocks) < len(run.first_numbers) or self.history.has_filter(bucket, name):
            return
        del self._raw[bucket, name]
        try:
            self.history.build_filter(
                bucket, name, (entry for raw in blocks.values() for entry in unpack(raw))
            )
        except BadBlockError as err:
            self._report_damage(f"{HISTORY_BLOCK_PREFIX}{bucket}/{name}", str(err))

    def _report_damage(self, key: str, reason: str) -> None:
        """Remember and log once that a record is damaged: nothing is answered from it."""
        if key not in self.damaged:
            self.damaged.append(key)
            log.error("history record damaged", key=key, reason=reason)

    # -- reading ---------------------------------------------------------------------------------

    async def catch_up(self, loads: int) -> bool:
        """Read one more page of the blocks that were stored before the replica was loaded.

        Args:
            loads: How often the replica has been loaded; a new number begins the listing again.

        Returns:
            Whether there is more to read.
        """
        if loads != self._listed_load:
            self._listed_load, self._listed_until, self.whole = loads, HISTORY_BLOCK_PREFIX, False
            self._listing_revision = 0
            self._listed.clear()
        if self.whole:
            return False
        page = await self.kv.read_page(HISTORY_BLOCK_PREFIX, self._listed_until, NORMAL)
        if page is None or loads != self._listed_load:
            await asyncio.sleep(READ_RETRY_S)
            return True
        self._listing_revision = self._listing_revision or page.revision
        for pair in page.items:
            self._listed.add(pair.key)
            self.replica.put(pair.key, pair.version, bytes(pair.value), now_us())
            await asyncio.sleep(0)
        if page.items and page.more:
            self._listed_until = page.items[-1].key
            return True
        self._delete_unlisted()
        self.whole = True
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

    async def block(self, key: str, urgency: int = URGENT) -> bool | None:
        """Read a block; concurrent calls for the same block share one read.

        Args:
            key: The key of the block.
            urgency: The priority of the request in the rate limiter.

        Returns:
            True if it was read, False if it isn't stored, None if there is no answer now.
        """
        if key in self._reading:
            found = await self._reading[key]
            return found or None
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._reading[key] = future
        was_read = False
        try:
            pair = await self.kv.read(key, urgency)
            if pair is False and await self._read_barrier() and self._named(key):
                # Its root was read after it was not found.
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
            del self._reading[key]
            future.set_result(was_read)

    def _named(self, key: str) -> bool:
        """Tell whether the root of a block's bucket names the block."""
        bucket, run, index = key[len(HISTORY_BLOCK_PREFIX) :].split("/")
        runs = self.roots.get(int(bucket), Root()).runs
        return any(one.name == run and int(index) < len(one.first_numbers) for one in runs)

    async def run(self, bucket: int, name: str) -> list[HistoryEntry] | None:
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
        """Find how a job ended that has no record of its own.

        Returns:
            The job's final state, or the conditions (versions by key) under which the job is new, or None if
            it can't be told now: the state service is away, or too many questions wait for a block.
        """
        number = parse_job_number(job_id)
        if number is None:
            return {}
        searched: set[str] = set()
        for _ in range(MOST_LOOKUPS):
            found = self.history.look_up(number, searched)
            if isinstance(found, HistoryEntry):
                return FinishedJob(job_id, found.state, found.done)
            if not isinstance(found, NeedsBlock):
                return {found.key: found.version}
            if self._waiting >= self._most_waiting or self.kv.is_unavailable():
                return None
            self._waiting += 1
            try:
                if await self.block(found.key) is None:
                    return None
            finally:
                self._waiting -= 1
        return None
