"""Copies: a write is confirmed when it is durable on as many nodes as the setting says.

The node that takes a write stores it, sends it on to the others that keep the bucket, and brings one that is
behind up to date from its own bytes. One that finds itself behind asks the others before it refuses.
"""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable

import msgspec

from pearstep.archive import messages as msg
from pearstep.archive.frames import ChunkFrame, File, RecordFrame
from pearstep.archive.members import Membership
from pearstep.archive.messages import Result
from pearstep.archive.placement import Layout, bucket_of
from pearstep.archive.records import EXPIRED, SEALED, Append, Key, Live, Record, merge
from pearstep.archive.repair import Pace, Plan, differing, digests, plan, surplus
from pearstep.archive.writer import RETRY_S, Writer
from pearstep.transport.http import Client

log = logging.getLogger("pearstep.archive")

PIECE = 1024 * 1024


class Copies:
    """One node's dealings with the others."""

    def __init__(
        self,
        client: Client,
        membership: Membership,
        writer: Writer,
        durable_on: int,
        pace: Pace,
        forgotten: Callable[[Record], bool] = lambda record: False,
    ) -> None:
        """Set up replication of the writer's storage to the other members."""
        self.client = client
        self.membership = membership
        self.writer = writer
        self.durable_on = durable_on
        self.pace = pace
        self._forgotten = forgotten
        self.repaired = 0  # plain bytes
        self._digests: dict[int, int] = {}
        self.dropped = 0  # copies that others keep
        self.lacking = 0  # buckets that differed in the last round

    # -- writes ----------------------------------------------------------------------------------

    async def take(self, batch: msg.AppendBatch) -> list[Result]:  # noqa: C901, PLR0912 - steps in order; to be split
        """Store a batch here and on the others; a result for each item."""
        me = self.membership
        layout = me.layout
        if not me.takes:
            return [Result(503, {}, f"this node is {me.state}", "", RETRY_S)] * len(batch.items)
        results: list[Result | None] = [None] * len(batch.items)
        mine: list[int] = []
        need: dict[int, int] = {}
        groups: dict[str, list[int]] = defaultdict(list)
        for i, item in enumerate(batch.items):
            owners = layout.owners(bucket_of(item.key.job, item.key.task))
            if me.name not in owners:
                results[i] = Result(421, {}, "another node keeps this", layout.members[owners[0]])
                continue
            mine.append(i)
            need[i] = min(self.durable_on, len(owners))
            for owner in owners:
                if owner != me.name:
                    groups[owner].append(i)
        local, *others = await asyncio.gather(
            self._store([batch.items[i] for i in mine]),
            *(self._send(owner, [batch.items[i] for i in some]) for owner, some in groups.items()),
        )
        confirmed: dict[int, list[dict[str, int]]] = defaultdict(list)
        for i, result in zip(mine, local, strict=True):
            if result.status == 200:
                confirmed[i].append(result.have)
            else:
                results[i] = result
        for (owner, some), answers in zip(groups.items(), others, strict=True):
            for i, answer in zip(some, answers, strict=True):
                if answer.status == 409 and results[i] is None:
                    answer = await self._catch_up(owner, batch.items[i], answer.have)
                if answer.status == 200:
                    confirmed[i].append(answer.have)
                elif answer.status == 403:
                    results[i] = answer
        for i in mine:
            if results[i] is not None:
                continue
            if len(confirmed[i]) < need[i]:
                results[i] = Result(503, {}, f"durable on {len(confirmed[i])} of {need[i]}", "", RETRY_S)
            else:
                results[i] = Result(200, confirmed[i][0])
        return [r if r is not None else Result(503, {}, "not decided", "", RETRY_S) for r in results]

    async def _store(self, items: list[Append]) -> list[Result]:
        results = await self.writer.append(items)
        if len(self.membership.layout.members) == 1:
            return results
        for i, (item, result) in enumerate(zip(items, results, strict=True)):
            behind = result.status == 409 and any(
                c.offset > result.have.get(c.stream, 0) for c in item.chunks
            )
            if behind and await self.fetch_attempt(item.key):
                results[i] = (await self.writer.append([item]))[0]
        return results

    async def _send(self, owner: str, items: list[Append]) -> list[Result]:
        layout = self.membership.layout
        body = msg.encode(msg.AppendBatch(layout.epoch, items))
        status, data = await self.client.fetch(layout.members[owner], "POST", msg.REPLICA, body, 5.0)
        if status != 200:
            return [Result(503, {}, f"{owner} answered {status}")] * len(items)
        return msg.results.decode(data)

    async def _catch_up(self, owner: str, item: Append, have: dict[str, int]) -> Result:
        """Send what the other lacks from what is here, and then the item again."""
        live = self.writer.known(item.key)
        if live is None:
            return Result(409, have)
        for stream, end in live.have.items():
            at = have.get(stream, 0)
            while at < end:
                chunks = await self.writer.call(self.writer.storage.raw, item.key, stream, at, PIECE)
                chunks = [c for c in chunks if c.offset + c.length > at]
                if not chunks or chunks[0].offset > at:
                    return Result(409, have)
                back = msgspec.structs.replace(item, chunks=chunks, seal=None)
                answer = (await self._send(owner, [back]))[0]
                if answer.status != 200 or answer.have.get(stream, 0) <= at:
                    return answer if answer.status != 200 else Result(409, answer.have)
                at = answer.have[stream]
        return (await self._send(owner, [item]))[0]

    async def replica(self, batch: msg.AppendBatch) -> list[Result] | int:
        """Store what another node sends on; the epoch if the sender goes by an older list."""
        if batch.epoch < self.membership.layout.epoch:
            return self.membership.layout.epoch
        return await self.writer.append(batch.items, checked=True)

    # -- repair ----------------------------------------------------------------------------------

    async def round(self) -> int:
        """Compare with every peer and fetch what is lacking here; plain bytes fetched."""
        me = self.membership
        layout = me.layout
        if len(layout.members) < 2:
            return 0
        done = lacking = 0
        heard: dict[str, dict[int, int]] = {}
        for peer, addr in me.peers.items():
            status, data = await self.client.fetch(addr, "GET", msg.DIGESTS, timeout_s=10.0)
            if status != 200:
                continue
            theirs = heard[peer] = msgspec.msgpack.decode(data, type=dict[int, int])
            mine = await self.digests()
            for bucket in differing(me.name, layout, mine, peer, theirs):
                lacking += 1
                done += await self._mend(addr, peer, bucket)
        self.lacking = lacking
        self.repaired += done
        if me.takes and layout is me.layout and not done:
            await self._give_up(layout, heard)
        return done

    async def digests(self) -> dict[int, int]:
        """Return a digest of each bucket that holds something.

        Only buckets that were written to since the last call are read again: every peer asks for these
        digests every few seconds.
        """
        return await self.writer.call(self._follow_digests)

    def _follow_digests(self) -> dict[int, int]:
        index = self.writer.storage.index
        for bucket in index.take_touched():
            self._digests.pop(bucket, None)
            self._digests.update(digests(index.bucket_rows(bucket)))
        return dict(self._digests)

    async def _give_up(self, layout: Layout, heard: dict[str, dict[int, int]]) -> None:
        """Drop copies that others keep whole.

        Nothing that is still written is dropped: its keepers only look whole until the next byte.
        """
        index = self.writer.storage.index
        mine = await self.digests()
        for bucket in surplus(self.membership.name, layout, mine, heard):
            lives = await self.writer.call(index.bucket, bucket)
            if lives and all(live.record.state in (SEALED, EXPIRED) for live in lives):
                log.info("bucket %d is with its keepers: dropping %d copies", bucket, len(lives))
                await self.writer.drop([live.record.key for live in lives])
                self.dropped += len(lives)

    async def _mend(self, addr: str, peer: str, bucket: int) -> int:
        status, data = await self.client.fetch(addr, "GET", f"{msg.BUCKET}/{bucket}", timeout_s=10.0)
        if status != 200:
            return 0
        theirs = msg.inventories.decode(data)
        index = self.writer.storage.index
        mine: dict[Key, Live] = {}
        published: set[Key] = set()
        for live in await self.writer.call(index.bucket, bucket):
            mine[live.record.key] = live
            if index.manifest(live.record.key) is not None:
                published.add(live.record.key)
        todo = plan(mine, peer, theirs.records, published, theirs.manifests)
        return await self._fetch(addr, todo)

    async def fetch_attempt(self, key: Key) -> bool:
        """Fetch one attempt from whoever has more of it; whether anything came."""
        came = 0
        for peer, addr in self.membership.peers.items():
            bucket = bucket_of(key.job, key.task)
            status, data = await self.client.fetch(addr, "GET", f"{msg.BUCKET}/{bucket}", timeout_s=5.0)
            if status != 200:
                continue
            theirs = [r for r in msg.inventories.decode(data).records if r[0].key == key]
            live = self.writer.known(key)
            came += await self._fetch(addr, plan({key: live} if live else {}, peer, theirs))
        return came > 0

    async def _fetch(self, addr: str, todo: Plan) -> int:
        done = 0
        for fetch in todo.fetches:
            at = fetch.begin
            while at < fetch.end:
                query = f"{msg.RAW}?stream={fetch.stream}&from={at}&most={PIECE}"
                status, data = await self.client.fetch(addr, "POST", query, msg.encode(fetch.key), 10.0)
                if status != 200:
                    return done
                frames = msg.raws.decode(data).frames
                record = next((f.record for f in frames if isinstance(f, RecordFrame)), None)
                chunks = [f.chunk for f in frames if isinstance(f, ChunkFrame)]
                if record is None or not chunks:
                    return done
                # A lost or sealed record comes last: until then the copy is written like any attempt.
                item = Append(record.key, record.session, record.team, record.cls, record.opened_us, chunks)
                result = (await self.writer.append([item], checked=True))[0]
                reached = result.have.get(fetch.stream, 0)
                if result.status != 200 or reached <= at:
                    break
                done += reached - at
                at = reached
                await asyncio.sleep(
                    self.pace.spend(sum(len(c.data) for c in chunks), self.writer.now_us()) / 1e6
                )
        await self._take_records(todo)
        return done + await self._fetch_manifests(addr, todo)

    async def _take_records(self, todo: Plan) -> None:
        for record in todo.records:
            if self._forgotten(record):
                continue  # gone here already; the other will drop it too
            live = self.writer.known(record.key)
            whole = live is not None and all(live.have.get(s, 0) >= e for s, e in record.ends.items())
            if record.state == "expired" or (
                (whole or not record.ends) and merge(live.record if live is not None else None, record)
            ):
                await self.writer.put_records([record])

    async def _fetch_manifests(self, addr: str, todo: Plan) -> int:
        done = 0
        for manifest in todo.manifests:
            if all([await self._fetch_blob(addr, f) for f in manifest.files]):
                why = await self.writer.call(self.writer.storage.publish, manifest)
                if why:
                    log.warning("copy of the files of %s: %s", manifest.key.text(), why)
                else:
                    done += sum(f.size for f in manifest.files)
        return done

    async def _fetch_blob(self, addr: str, file: File) -> bool:
        storage = self.writer.storage
        at = 0
        while at < file.size and not storage.index.knows_blob(file.digest):
            status, data = await self.client.fetch(
                addr, "GET", f"{msg.BLOB}/{file.digest}?from={at}&most={PIECE}", timeout_s=10.0
            )
            if status != 200 or not data:
                return False
            reached = await self.writer.call(storage.upload, file.digest, at, data)
            await asyncio.sleep(self.pace.spend(len(data), self.writer.now_us()) / 1e6)
            if reached <= at:
                return False
            at = reached
        return True
