"""Group commit: what arrives while one write is on its way to the disk goes with the next.

One sync serves all of it. Decisions are made one after another on what is known so far; nobody is told before
it is durable.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from pearstep.archive.frames import (
    ChunkFrame,
    DamagedFrameError,
    DropFrame,
    Frame,
    JobFrame,
    RecordFrame,
    unpack,
)
from pearstep.archive.messages import Result
from pearstep.archive.records import OPEN, Append, Key, Live, Record, Verdict, decide, lose
from pearstep.archive.retention import Room
from pearstep.archive.storage import Storage
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.event_log import EventLogger

log = logging.getLogger("pearstep.archive")
event_log = EventLogger("pearstep.archive")

# Attempts kept in memory beyond those that are open.
MOST_KNOWN = 4096
RETRY_S = 2.0


class Writer:
    """The one that writes to a storage. All that blocks runs in its thread."""

    def __init__(
        self,
        storage: Storage,
        room: Room,
        now_us: Callable[[], int],
        too_old: Callable[[Append], bool] = lambda item: False,
    ) -> None:
        """Create a writer to ``storage`` that stores no more than ``room`` allows."""
        self.storage = storage
        self.room = room
        self.now_us = now_us
        self._too_old = too_old
        self.open: dict[Key, Live] = {}
        self._known: OrderedDict[Key, Live] = OrderedDict()
        self._thread = ThreadPoolExecutor(1, "archive-disk")
        self._queue: list[tuple[list[Frame], asyncio.Future[None]]] = []
        self._tasks = BackgroundTasks(event_log)
        self._running = False
        self.commits = 0
        self.failed = ""
        for record in storage.index.unsealed():
            live = storage.index.live(record.key)
            if live is not None and live.record.state == OPEN:
                live.heard_us = now_us()
                self.open[record.key] = live

    async def call(self, work: Callable[..., Any], *args: Any) -> Any:
        """Run something that blocks, between two commits."""
        return await asyncio.get_running_loop().run_in_executor(self._thread, work, *args)

    def known(self, key: Key) -> Live | None:
        """An attempt as decided so far; what is not durable yet is among it."""
        live = self.open.get(key) or self._known.get(key)
        if live is None:
            live = self.storage.index.live(key)
            if live is not None:
                self._remember(live)
        return live

    def _remember(self, live: Live) -> None:
        key = live.record.key
        if live.record.state == OPEN:
            self._known.pop(key, None)
            self.open[key] = live
        else:
            self.open.pop(key, None)
            self._known[key] = live
            self._known.move_to_end(key)
            while len(self._known) > MOST_KNOWN:
                self._known.popitem(last=False)

    async def append(self, items: list[Append], checked: bool = False) -> list[Result]:
        """Decide and store appends; return a result for each, in order, once all of it is durable.

        ``checked`` says that the bytes come from another node of the archive, and that quotas were judged
        there.
        """
        frames: list[Frame] = []
        results: list[Result] = []
        now = self.now_us()
        for item in items:
            live = self.known(item.key)
            verdict = self._judge(live, item, checked)
            retry = RETRY_S if verdict.status in (429, 503) else 0.0
            results.append(Result(verdict.status, verdict.have, verdict.why, "", retry))
            if verdict.status != 200:
                continue
            if live is not None:
                live.heard_us = now
            if verdict.record is not None:
                frames.append(RecordFrame(verdict.record))
            for chunk in verdict.chunks:
                frames.append(ChunkFrame(item.key, chunk))
                self.room.took(item.team, len(chunk.data))
            if verdict.record is not None or verdict.chunks:
                record = verdict.record or (live.record if live is not None else Record(item.key))
                self._remember(Live(record, verdict.have, now))
        try:
            if frames:
                await self.write(frames)
            else:
                # What was here already may still be on its way to the disk.
                await self._flushed()
        except OSError as err:
            return [r if r.status != 200 else Result(503, {}, str(err), "", RETRY_S) for r in results]
        return results

    def _judge(self, live: Live | None, item: Append, checked: bool) -> Verdict:
        if live is None and self._too_old(item):
            return Verdict(410, "this attempt is past its retention")
        verdict = decide(live, item)
        if verdict.status != 200:
            return verdict
        have = live.have if live is not None else {}
        try:
            for chunk in verdict.chunks:
                if not chunk.hole:
                    unpack(chunk)
        except DamagedFrameError as err:
            return Verdict(422, str(err), have=have)
        if not checked:
            refused = self.room.refusal(item.team, sum(len(c.data) for c in verdict.chunks))
            if refused is not None:
                return Verdict(refused[0], refused[1], have=have)
        return verdict

    async def write(self, frames: list[Frame]) -> None:
        """Store frames; returns once they are durable. Raises OSError if they can't be."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.append((frames, future))
        if not self._running:
            self._running = True
            self._tasks.start(self._commit())
        await future

    async def _flushed(self) -> None:
        if self._running:
            await self.write([])

    async def _commit(self) -> None:
        try:
            while self._queue:
                group, self._queue = self._queue, []
                frames = [frame for some, _ in group for frame in some]
                try:
                    await self.call(self.storage.write, frames)
                    self.commits += 1
                    self.failed = ""
                except Exception as err:
                    # What was decided on this is not so: everything is looked up again, and those who decided
                    # meanwhile fail with us.
                    log.error("cannot write: %s", err)
                    self.failed = str(err)
                    group, self._queue = group + self._queue, []
                    self._forget()
                    for _, future in group:
                        if not future.done():
                            future.set_exception(OSError(str(err)))
                    continue
                for _, future in group:
                    if not future.done():
                        future.set_result(None)
        finally:
            self._running = False

    def _forget(self) -> None:
        heard = {key: live.heard_us for key, live in self.open.items()}
        self.open.clear()
        self._known.clear()
        for record in self.storage.index.unsealed():
            live = self.storage.index.live(record.key)
            if live is not None and live.record.state == OPEN:
                live.heard_us = heard.get(record.key, self.now_us())
                self.open[record.key] = live

    async def put_records(self, records: list[Record]) -> None:
        """Store records that a peer or a rule has changed, in one commit."""
        for record in records:
            live = self.known(record.key)
            have = live.have if live is not None else {}
            self._remember(Live(record, dict(have), self.now_us()))
        if records:
            await self.write([RecordFrame(record) for record in records])

    async def drop(self, keys: list[Key]) -> None:
        """Give up copies that others keep."""
        for key in keys:
            self.open.pop(key, None)
            self._known.pop(key, None)
        await self.write([DropFrame(keys)])

    async def put_job(self, job: str, body: bytes) -> int:
        """Store a job's description: 201 if new, 200 if it was here, 409 if another one was."""
        known = self.storage.index.job(job)
        if known is not None:
            return 200 if known == body else 409
        await self.write([JobFrame(job, body)])
        # Two at the same time: the one that was indexed last stands, and the other is told so.
        return 201 if self.storage.index.job(job) == body else 409

    async def lose_silent(self, silent_us: int, wall_us: int) -> list[Record]:
        """Mark attempts whose writer was not heard for too long."""
        now = self.now_us()
        lost = [lose(live, wall_us) for live in list(self.open.values()) if now - live.heard_us > silent_us]
        await self.put_records(lost)
        return lost

    def close(self) -> None:
        """End the thread once it has written what it was given."""
        self._thread.shutdown(wait=True)
