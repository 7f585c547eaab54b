"""Shipping of the spool to the archive.

It reads files and sends appends in batches, one batch at a time to each node.
"""

from __future__ import annotations

import asyncio
import os
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import structlog

from pearstep.archive.frames import pack
from pearstep.archive.messages import Result
from pearstep.archive.records import Append, Chunk
from pearstep.client.archive import ArchiveClient
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.clock import now_us
from pearstep.transport.event_log import EventLogger
from pearstep.worker.folder import lengths
from pearstep.worker.processes import punch
from pearstep.worker.spool import GIVEN_UP, LIVE, SEALED, Piece, Spooled, over_bound

log = structlog.get_logger("pearstep.worker")
event_log = EventLogger("pearstep.worker")

BATCH = 2 * 1024 * 1024
MOST_ITEMS = 2000
REFRESH_US = 5_000_000


class Shipping:
    """All attempts of this machine that are not in the archive yet, with the folders of their files."""

    def __init__(
        self, archive: ArchiveClient, chunk: int, bound: int, keep_us: int, on_end: Callable[[Spooled], None]
    ) -> None:
        """Create a shipper with no spools that calls ``on_end`` with each spool that is finished."""
        self.archive = archive
        self.chunk = chunk
        self.bound = bound
        self.keep_us = keep_us
        self.spools: dict[Spooled, Path] = {}
        self._on_end = on_end
        self._busy: set[str] = set()
        self._tasks = BackgroundTasks(event_log)
        self._refreshed_us = -REFRESH_US
        self.confirmed = 0
        self.dropped = 0
        self.refused: dict[int, int] = defaultdict(int)

    def add(self, spool: Spooled, folder: Path) -> None:
        """Begin to bring an attempt's files."""
        self.spools[spool] = folder

    @property
    def unconfirmed(self) -> int:
        """Bytes that are on this machine alone."""
        return sum(s.unconfirmed for s in self.spools)

    async def step(self) -> None:
        """Look at the files, drop what is over the bound, send what there is."""
        now = now_us()
        for spool, folder in self.spools.items():
            if spool.state == LIVE:
                spool.grown(lengths(folder))
        self._keep_bound()
        if self.archive.layout is None or now - self._refreshed_us > REFRESH_US:
            self._refreshed_us = now
            await self.archive.refresh()
        groups: dict[str, list[Spooled]] = defaultdict(list)
        for spool in self.spools:
            owners = await self.archive.owners(spool.key.job, spool.key.task)
            if owners and owners[0] not in self._busy:
                groups[owners[0]].append(spool)
        for addr, some in groups.items():
            self._busy.add(addr)
            self._tasks.start(self._serve(addr, some))

    async def _serve(self, addr: str, spools: list[Spooled]) -> None:
        try:
            await self._send(addr, spools)
        except Exception:
            log.exception("shipping failed", to=addr)
        finally:
            for spool in spools:
                spool.flying = False
            self._busy.discard(addr)

    async def _send(self, addr: str, spools: list[Spooled]) -> None:
        """Build one batch.

        Attempts that wait longest to say something come first, so that one that writes without end doesn't
        keep the others silent.
        """
        left, now = BATCH, now_us()
        chosen: list[tuple[Spooled, list[Piece], bool]] = []
        for spool in sorted(spools, key=lambda s: s.said_us):
            if left <= 0 or len(chosen) >= MOST_ITEMS:
                break
            todo = spool.next(min(left, BATCH // 4), self.chunk, now, self.keep_us)
            if todo is None:
                continue
            left -= sum(p.length for p in todo[0] if not p.hole)
            spool.sent(now)
            chosen.append((spool, *todo))
        if not chosen:
            return
        items = await asyncio.to_thread(self._build, chosen)
        before = {spool: spool.unconfirmed for spool, _, _ in chosen}
        results = await self.archive.append(addr, items)
        for (spool, _, sealed), result in zip(chosen, results, strict=True):
            self._answered(spool, result, sealed)
            self.confirmed += max(before[spool] - spool.unconfirmed, 0)

    def _build(self, chosen: list[tuple[Spooled, list[Piece], bool]]) -> list[Append]:
        out = []
        for spool, pieces, sealed in chosen:
            chunks = []
            for piece in pieces:
                if piece.hole:
                    chunks.append(Chunk(piece.stream, piece.offset, piece.length, hole=True))
                    continue
                data = read(self.spools[spool] / piece.stream, piece.offset, piece.length)
                if data:
                    chunks.append(pack(piece.stream, piece.offset, data))
            out.append(
                Append(
                    spool.key,
                    spool.session,
                    spool.team,
                    spool.cls,
                    spool.opened_us,
                    chunks,
                    spool.seal if sealed else None,
                )
            )
        return out

    def _answered(self, spool: Spooled, result: Result, sealed: bool) -> None:
        if result.status != 200:
            self.refused[result.status] += 1
        if result.status == 421:
            self._refreshed_us = -REFRESH_US
            spool.flying = False
            return
        retry_us = int((result.retry_after_s or 0.5) * 1e6)
        why = spool.answered(result.status, result.have, sealed, retry_us, now_us())
        if why is not None:
            log.warning("log given up", attempt=spool.key.text(), why=why, said=result.why)
        if spool.state in (SEALED, GIVEN_UP):
            del self.spools[spool]
            self._on_end(spool)

    def _keep_bound(self) -> None:
        for spool, count in over_bound(self.spools, self.bound):
            for stream, begin, length in spool.drop(count):
                log.warning(
                    "log dropped", attempt=spool.key.text(), stream=stream, offset=begin, bytes=length
                )
                punch(self.spools[spool] / stream, begin, length)
                self.dropped += length


def read(path: Path, offset: int, length: int) -> bytes:
    """Bytes of a file."""
    fd = os.open(path, os.O_RDONLY)
    try:
        return os.pread(fd, length, offset)
    finally:
        os.close(fd)
