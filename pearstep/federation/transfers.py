"""Transfers that accompany an offloaded job: its description to the guest, logs and files back home.

The guest site asks for descriptions over the link; the home site asks for logs and files. A peer may read
its own jobs only. A copy is named by the guest's attempt, so that an interrupted transfer can be repeated:
data that is stored already is confirmed and not stored twice (``archive.records``).
"""

from __future__ import annotations

import asyncio
import logging
import re
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.archive.frames import pack
from pearstep.archive.records import Append, Chunk, Key, Seal
from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError, Found, key_of
from pearstep.domain.job_state import JobState
from pearstep.federation import handoff
from pearstep.federation.link import Link
from pearstep.federation.offload_records import OffloadRecords
from pearstep.federation.offload_transactions import belongs_to_peer, local_job_id, team_of_peer
from pearstep.jobs.description import DescriptionError, decode, encode
from pearstep.state.replica import Replica
from pearstep.transport import clock as clocks
from pearstep.transport.http import Answer, Client

log = logging.getLogger("pearstep.federation")

DESCRIPTION, ATTEMPTS, READ, FILE = "/v1/description", "/v1/attempts", "/v1/read", "/v1/file"
AT_ONCE = 4
LINGER_US = 30_000_000
REF = re.compile(r"req-[0-9]{1,20}")
Read = tuple[bytes, list[tuple[int, int]]]


class TransferError(Exception):
    """The link or an archive did not give what was asked for; it is tried again."""


def pieces(begin: int, data: bytes, holes: list[tuple[int, int]]) -> list[tuple[int, int, bytes | None]]:
    """What was read, as (offset, length, bytes or None for a hole): holes stay holes."""
    out: list[tuple[int, int, bytes | None]] = []
    at = begin
    for offset, length in sorted(holes):
        if offset > at:
            out.append((at, offset - at, data[at - begin : offset - begin]))
        out.append((offset, length, None))
        at = offset + length
    if at < begin + len(data):
        out.append((at, begin + len(data) - at, data[at - begin :]))
    return out


def home_key(peer: str, ref: str, attempt: dict[str, Any]) -> Key:
    """The name at home of an attempt that ran at a peer."""
    return Key(ref, attempt["task"], attempt["attempt"], f"{peer}.{attempt['machine']}", attempt["start"])


class Transfers:
    """One site's end. Without archives nothing is carried, and descriptions are not needed."""

    def __init__(
        self,
        archives: list[str],
        link: Link,
        loans: OffloadRecords,
        view: Replica,
        now_us: Callable[[], int] = clocks.now_us,
    ) -> None:
        """Transfer between the archive nodes of this site and the peers on the link."""
        self.archive = ArchiveClient(Client(20), archives) if archives else None
        self.link = link
        self.loans = loans
        self.view = view
        self.copied_bytes = 0
        self._whole: set[tuple[str, int]] = set()
        self._over_us: dict[tuple[str, int], int] = {}
        self._now_us = now_us
        self._watched: dict[tuple[str, int], str] = {}

    # -- what peers ask --------------------------------------------------------------------------

    async def serve(self, peer: str, request: HTTPServerRequest) -> Answer:
        """A question of a peer."""
        arg = {k: v[0].decode() for k, v in request.arguments.items()}
        if self.archive is None:
            return 404, b'{"error":"this site has no archive"}', {}
        try:
            if request.path == DESCRIPTION:
                return await self._description(peer, arg)
            if request.path == ATTEMPTS:
                if not REF.fullmatch(arg.get("ref", "")) or not arg.get("number", "").isdigit():
                    return 400, b'{"error":"ref and number are needed"}', {}
                found = await self.archive.look(local_job_id(peer, arg["ref"], int(arg["number"])))
                return 200, msgspec.json.encode(found or Found([], True, [])), {}
            if request.path in (READ, FILE) and request.method == "POST":
                key = msgspec.msgpack.decode(request.body, type=Key)
                if not belongs_to_peer(peer, key.job):
                    return 403, b'{"error":"not a job of this peer"}', {}
                if request.path == READ:
                    begin = int(arg.get("from", "0"))
                    read = await self.archive.read(key, arg.get("stream", "stdout"), begin)
                    return 200, msgspec.msgpack.encode(read), {}
                return await self._file(key, arg)
        except ArchiveUnreachableError as err:
            return 503, msgspec.json.encode({"error": str(err)}), {"Retry-After": "2"}
        except (msgspec.MsgspecError, ValueError) as err:
            return 400, msgspec.json.encode({"error": str(err)}), {}
        return 404, b'{"error":"no such path"}', {}

    async def _description(self, peer: str, arg: dict[str, str]) -> Answer:
        """The description of a job, while the peer that asks holds its offload."""
        assert self.archive is not None
        book = self.loans.origin_records.get(arg.get("ref", ""))
        if (
            book is None
            or book.peer != peer
            or book.offload.state not in (handoff.GRANTED, handoff.RECALLING)
        ):
            return 404, b'{"error":"not lent to this peer"}', {}
        status, body = await self.archive.ask("GET", f"/v1/jobs/{arg['ref']}")
        return status, body, {}

    async def _file(self, key: Key, arg: dict[str, str]) -> Answer:
        """A part of a file, of those only that the attempt has published."""
        assert self.archive is not None
        attempts = await self.archive.attempts(key.job, key.task) or []
        files = [f for a in attempts if key_of(a) == key for f in a["artefacts"]]
        file = next((f for f in files if f["sha256"] == arg.get("digest")), None)
        if file is None:
            return 404, b'{"error":"no such file"}', {}
        begin = int(arg.get("from", "0"))
        async for part in self.archive.blob(key, file["sha256"], file["size"], begin):
            return 200, part, {}
        return 200, b"", {}

    # -- what this site asks ---------------------------------------------------------------------

    async def _ask(self, peer: str, method: str, path: str, body: bytes | None = None) -> bytes:
        status = 0
        for addr in list(self.link.peers.get(peer, ())):
            status, data = await self.link.ask(peer, addr, method, path, body, 10.0)
            if status == 200:
                return data
            if status == 404:
                break
        raise TransferError(f"{peer} answers {status or 'nothing'} to {path.partition('?')[0]}")

    async def fetch_description(self, peer: str, ref: str, local: str) -> bool:
        """Bring what a borrowed job runs to our archive, under its id here; whether it is there."""
        if self.archive is None:
            return True
        try:
            job = decode(await self._ask(peer, "GET", f"{DESCRIPTION}?ref={ref}"))
            # What it stores here counts for the peer.
            body = encode(msgspec.structs.replace(job, team=team_of_peer(peer)))
            status, data = await self.archive.ask("PUT", f"/v1/jobs/{local}", body)
        except (TransferError, ArchiveUnreachableError, DescriptionError) as err:
            log.info("description of %s not to be had: %s", ref, err)
            return False
        if status not in (200, 201):
            log.warning("description of %s not taken here: %s %r", ref, status, data[:200])
        return status in (200, 201)

    async def step(self) -> None:
        """Copy what lent tasks have written since, of a few loans at a time."""
        if self.archive is None:
            return
        for ref in self.loans.open_origin:
            book = self.loans.origin_records[ref]
            if book.offload.state != handoff.OFFERED:
                self._watched[ref, book.offload.number] = book.peer
        # After a change of the lead, what ended a moment ago may not be whole.
        for ref, job in self.view.open_jobs.items():
            lent = self.loans.origin_records.get(ref)
            if lent is not None and lent.peer and lent.offload.number and job.state == JobState.QUEUED:
                self._watched.setdefault((ref, lent.offload.number), lent.peer)
        todo = [k for k in self._watched if k not in self._whole]
        for i in range(0, len(todo), AT_ONCE):
            await asyncio.gather(*(self._copy(*key) for key in todo[i : i + AT_ONCE]))

    async def _copy(self, ref: str, number: int) -> None:
        peer = self._watched[ref, number]
        book = self.loans.origin_records.get(ref)
        over = book is None or book.offload.number != number or ref not in self.loans.open_origin
        try:
            found = msgspec.json.decode(
                await self._ask(peer, "GET", f"{ATTEMPTS}?ref={ref}&number={number}"), type=Found
            )
            whole = [await self._copy_attempt(peer, ref, a) for a in found.attempts]
        except (TransferError, ArchiveUnreachableError, msgspec.MsgspecError) as err:
            log.debug("logs of %s wait: %s", ref, err)
            return
        if not (over and found.certain and all(whole)):
            return
        # What a task saved follows its end: it is looked for a while longer.
        since = self._over_us.setdefault((ref, number), self._now_us())
        if self._now_us() - since >= LINGER_US:
            self._whole.add((ref, number))
            del self._watched[ref, number], self._over_us[ref, number]

    async def _copy_attempt(self, peer: str, ref: str, attempt: dict[str, Any]) -> bool:
        """Bring one attempt up to date; whether all of it is here."""
        assert self.archive is not None
        key = home_key(peer, ref, attempt)
        mine = [a for a in await self.archive.attempts(ref, attempt["task"]) or () if key_of(a) == key]
        have = dict(mine[0]["have"]) if mine else {}
        ended = attempt["state"] != "open"
        if mine and mine[0]["state"] == "sealed" and len(mine[0]["artefacts"]) == len(attempt["artefacts"]):
            return True
        for stream, end in attempt["have"].items():
            while have.get(stream, 0) < end:
                at = have.get(stream, 0)
                raw = await self._ask(
                    peer, "POST", f"{READ}?stream={stream}&from={at}", msgspec.msgpack.encode(key_of(attempt))
                )
                data, holes = msgspec.msgpack.decode(raw, type=Read)
                if not data and not holes:
                    break
                chunks = [
                    Chunk(stream, offset, length, hole=True) if part is None else pack(stream, offset, part)
                    for offset, length, part in pieces(at, data, holes)
                ]
                have = await self._append(key, attempt, chunks, None)
                self.copied_bytes += have.get(stream, 0) - at
        if attempt["state"] == "sealed" and not (mine and mine[0]["state"] == "sealed"):
            seal = Seal(attempt["cause"], attempt["code"], dict(attempt["have"]), attempt["ended_us"])
            await self._append(key, attempt, [], seal)
        if attempt["artefacts"]:
            await self._files(peer, key, attempt)
        return ended

    async def _append(
        self, key: Key, attempt: dict[str, Any], chunks: list[Chunk], seal: Seal | None
    ) -> dict[str, int]:
        assert self.archive is not None
        owners = await self.archive.owners(key.job, key.task)
        if not owners:
            raise ArchiveUnreachableError("no archive node answers")
        item = Append(key, 1, attempt["team"], attempt["cls"], attempt["opened_us"], chunks, seal)
        result = (await self.archive.append(owners[0], [item]))[0]
        if result.status not in (200, 409):
            self.archive.layout = None  # asked anew: the list of nodes may have changed
            raise TransferError(f"the archive answers {result.status}: {result.why}")
        return result.have

    async def _files(self, peer: str, key: Key, attempt: dict[str, Any]) -> None:
        """Files as one set: fetched whole, verified by the archive, named in one step."""
        assert self.archive is not None
        with tempfile.TemporaryDirectory(prefix="pearstep-lent-") as folder:
            for file in attempt["artefacts"]:
                path = Path(folder) / file["name"]
                path.parent.mkdir(parents=True, exist_ok=True)
                with open(path, "wb") as out:  # noqa: ASYNC230 - one local file, written a part at a time
                    while out.tell() < file["size"]:
                        query = f"{FILE}?digest={file['sha256']}&from={out.tell()}"
                        part = await self._ask(peer, "POST", query, msgspec.msgpack.encode(key_of(attempt)))
                        if not part:
                            raise TransferError(f"{file['name']} is shorter than it was")
                        out.write(part)
            names = [f["name"] for f in attempt["artefacts"]]
            why = await self.archive.publish(key, attempt["team"], Path(folder), names)
            if why:
                log.warning("files of %s not taken: %s", key.text(), why)
