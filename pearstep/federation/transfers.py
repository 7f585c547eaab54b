"""Transfers that accompany an offloaded job: its description to the remote cluster, logs and files back.

The remote cluster requests descriptions over the link; the origin cluster requests logs and files. A peer
may read its own jobs only. A copy is named by the remote cluster's attempt, so that an interrupted
transfer can be repeated: data that is stored already is confirmed and not stored twice
(``archive.records``).
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

DESCRIPTION_PATH, ATTEMPTS_PATH, READ_PATH, FILE_PATH = (
    "/v1/description",
    "/v1/attempts",
    "/v1/read",
    "/v1/file",
)
MAX_CONCURRENT_COPIES = 4
COPY_AFTER_END_US = 30_000_000
JOB_ID = re.compile(r"req-[0-9]{1,20}")
ReadAnswer = tuple[bytes, list[tuple[int, int]]]


class TransferError(Exception):
    """The link or an archive did not return what was requested; the transfer is tried again."""


def split_at_holes(
    begin: int, data: bytes, holes: list[tuple[int, int]]
) -> list[tuple[int, int, bytes | None]]:
    """Return data read from a stream as parts (offset, length, bytes or None for a hole), in order."""
    output: list[tuple[int, int, bytes | None]] = []
    position = begin
    for offset, length in sorted(holes):
        if offset > position:
            output.append((position, offset - position, data[position - begin : offset - begin]))
        output.append((offset, length, None))
        position = offset + length
    if position < begin + len(data):
        output.append((position, begin + len(data) - position, data[position - begin :]))
    return output


def origin_key(peer: str, ref: str, attempt: dict[str, Any]) -> Key:
    """Return the key in this cluster of an attempt that ran at a peer."""
    return Key(ref, attempt["task"], attempt["attempt"], f"{peer}.{attempt['machine']}", attempt["start"])


class Transfers:
    """Transfers of one site. A site without archives transfers nothing and needs no descriptions."""

    def __init__(
        self,
        archives: list[str],
        link: Link,
        records: OffloadRecords,
        replica: Replica,
        now_us: Callable[[], int] = clocks.now_us,
    ) -> None:
        """Transfer between the archive nodes of this site and the peers on the link."""
        self.archive = ArchiveClient(Client(20), archives) if archives else None
        self.link = link
        self.records = records
        self.replica = replica
        self.copied_bytes = 0
        self._complete: set[tuple[str, int]] = set()
        self._ended_us: dict[tuple[str, int], int] = {}
        self._now_us = now_us
        self._offloads_to_copy: dict[tuple[str, int], str] = {}

    # -- requests of peers -----------------------------------------------------------------------

    async def serve(self, peer: str, request: HTTPServerRequest) -> Answer:
        """Answer a request of a peer."""
        arguments = {k: v[0].decode() for k, v in request.arguments.items()}
        if self.archive is None:
            return 404, b'{"error":"this site has no archive"}', {}
        try:
            if request.path == DESCRIPTION_PATH:
                return await self._description(peer, arguments)
            if request.path == ATTEMPTS_PATH:
                if (
                    not JOB_ID.fullmatch(arguments.get("ref", ""))
                    or not arguments.get("number", "").isdigit()
                ):
                    return 400, b'{"error":"ref and number are needed"}', {}
                found = await self.archive.look(
                    local_job_id(peer, arguments["ref"], int(arguments["number"]))
                )
                return 200, msgspec.json.encode(found or Found([], True, [])), {}
            if request.path in (READ_PATH, FILE_PATH) and request.method == "POST":
                key = msgspec.msgpack.decode(request.body, type=Key)
                if not belongs_to_peer(peer, key.job):
                    return 403, b'{"error":"not a job of this peer"}', {}
                if request.path == READ_PATH:
                    begin = int(arguments.get("from", "0"))
                    read = await self.archive.read(key, arguments.get("stream", "stdout"), begin)
                    return 200, msgspec.msgpack.encode(read), {}
                return await self._read_file(key, arguments)
        except ArchiveUnreachableError as err:
            return 503, msgspec.json.encode({"error": str(err)}), {"Retry-After": "2"}
        except (msgspec.MsgspecError, ValueError) as err:
            return 400, msgspec.json.encode({"error": str(err)}), {}
        return 404, b'{"error":"no such path"}', {}

    async def _description(self, peer: str, arguments: dict[str, str]) -> Answer:
        """Answer with the description of a job, if the requesting peer holds its offload."""
        assert self.archive is not None
        record = self.records.origin_records.get(arguments.get("ref", ""))
        if (
            record is None
            or record.peer != peer
            or record.offload.state not in (handoff.GRANTED, handoff.RECALLING)
        ):
            return 404, b'{"error":"not lent to this peer"}', {}
        status, body = await self.archive.ask("GET", f"/v1/jobs/{arguments['ref']}")
        return status, body, {}

    async def _read_file(self, key: Key, arguments: dict[str, str]) -> Answer:
        """Answer with a part of a file, if the attempt has published the file."""
        assert self.archive is not None
        attempts = await self.archive.attempts(key.job, key.task) or []
        files = [f for a in attempts if key_of(a) == key for f in a["artefacts"]]
        file = next((f for f in files if f["sha256"] == arguments.get("digest")), None)
        if file is None:
            return 404, b'{"error":"no such file"}', {}
        begin = int(arguments.get("from", "0"))
        async for part in self.archive.blob(key, file["sha256"], file["size"], begin):
            return 200, part, {}
        return 200, b"", {}

    # -- requests to peers -----------------------------------------------------------------------

    async def _request(self, peer: str, method: str, path: str, body: bytes | None = None) -> bytes:
        status = 0
        for addr in list(self.link.peers.get(peer, ())):
            status, data = await self.link.request(peer, addr, method, path, body, 10.0)
            if status == 200:
                return data
            if status == 404:
                break
        raise TransferError(f"{peer} answers {status or 'nothing'} to {path.partition('?')[0]}")

    async def fetch_description(self, peer: str, ref: str, local_id: str) -> bool:
        """Copy the description of a peer's job to this site's archive; return whether it is stored there."""
        if self.archive is None:
            return True
        try:
            job = decode(await self._request(peer, "GET", f"{DESCRIPTION_PATH}?ref={ref}"))
            # Data that the job stores here is accounted to the peer's team.
            body = encode(msgspec.structs.replace(job, team=team_of_peer(peer)))
            status, data = await self.archive.ask("PUT", f"/v1/jobs/{local_id}", body)
        except (TransferError, ArchiveUnreachableError, DescriptionError) as err:
            log.info("description of %s not fetched: %s", ref, err)
            return False
        if status not in (200, 201):
            log.warning("description of %s not accepted by the archive: %s %r", ref, status, data[:200])
        return status in (200, 201)

    async def step(self) -> None:
        """Copy what offloaded tasks have written since the last step, a few offloads at a time."""
        if self.archive is None:
            return
        for ref in self.records.open_origin:
            record = self.records.origin_records[ref]
            if record.offload.state != handoff.OFFERED:
                self._offloads_to_copy[ref, record.offload.number] = record.peer
        # After a change of leader, the copy of an offload that has just ended may be incomplete.
        for ref, job in self.replica.open_jobs.items():
            ended_record = self.records.origin_records.get(ref)
            if (
                ended_record is not None
                and ended_record.peer
                and ended_record.offload.number
                and job.state == JobState.QUEUED
            ):
                self._offloads_to_copy.setdefault((ref, ended_record.offload.number), ended_record.peer)
        pending = [k for k in self._offloads_to_copy if k not in self._complete]
        for i in range(0, len(pending), MAX_CONCURRENT_COPIES):
            await asyncio.gather(*(self._copy(*key) for key in pending[i : i + MAX_CONCURRENT_COPIES]))

    async def _copy(self, ref: str, number: int) -> None:
        peer = self._offloads_to_copy[ref, number]
        record = self.records.origin_records.get(ref)
        has_ended = record is None or record.offload.number != number or ref not in self.records.open_origin
        try:
            found = msgspec.json.decode(
                await self._request(peer, "GET", f"{ATTEMPTS_PATH}?ref={ref}&number={number}"), type=Found
            )
            complete = [await self._copy_attempt(peer, ref, a) for a in found.attempts]
        except (TransferError, ArchiveUnreachableError, msgspec.MsgspecError) as err:
            log.debug("logs of %s wait: %s", ref, err)
            return
        if not (has_ended and found.certain and all(complete)):
            return
        # Files that a task saved arrive after its end, so copying continues for COPY_AFTER_END_US.
        since = self._ended_us.setdefault((ref, number), self._now_us())
        if self._now_us() - since >= COPY_AFTER_END_US:
            self._complete.add((ref, number))
            del self._offloads_to_copy[ref, number], self._ended_us[ref, number]

    async def _copy_attempt(self, peer: str, ref: str, attempt: dict[str, Any]) -> bool:
        """Copy what is missing of one attempt; return whether the copy is complete."""
        assert self.archive is not None
        key = origin_key(peer, ref, attempt)
        copies = [a for a in await self.archive.attempts(ref, attempt["task"]) or () if key_of(a) == key]
        have = dict(copies[0]["have"]) if copies else {}
        ended = attempt["state"] != "open"
        if (
            copies
            and copies[0]["state"] == "sealed"
            and len(copies[0]["artefacts"]) == len(attempt["artefacts"])
        ):
            return True
        for stream, end in attempt["have"].items():
            while have.get(stream, 0) < end:
                position = have.get(stream, 0)
                raw = await self._request(
                    peer,
                    "POST",
                    f"{READ_PATH}?stream={stream}&from={position}",
                    msgspec.msgpack.encode(key_of(attempt)),
                )
                data, holes = msgspec.msgpack.decode(raw, type=ReadAnswer)
                if not data and not holes:
                    break
                chunks = [
                    Chunk(stream, offset, length, hole=True) if part is None else pack(stream, offset, part)
                    for offset, length, part in split_at_holes(position, data, holes)
                ]
                have = await self._append(key, attempt, chunks, None)
                self.copied_bytes += have.get(stream, 0) - position
        if attempt["state"] == "sealed" and not (copies and copies[0]["state"] == "sealed"):
            seal = Seal(attempt["cause"], attempt["code"], dict(attempt["have"]), attempt["ended_us"])
            await self._append(key, attempt, [], seal)
        if attempt["artefacts"]:
            await self._copy_files(peer, key, attempt)
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
            self.archive.layout = None  # read again: the list of nodes may have changed
            raise TransferError(f"the archive answers {result.status}: {result.why}")
        return result.have

    async def _copy_files(self, peer: str, key: Key, attempt: dict[str, Any]) -> None:
        """Copy the files of an attempt as one set, which the archive verifies and publishes in one step."""
        assert self.archive is not None
        with tempfile.TemporaryDirectory(prefix="pearstep-lent-") as folder:
            for file in attempt["artefacts"]:
                path = Path(folder) / file["name"]
                path.parent.mkdir(parents=True, exist_ok=True)
                with open(path, "wb") as output:  # noqa: ASYNC230 - one local file, written a part at a time
                    while output.tell() < file["size"]:
                        query = f"{FILE_PATH}?digest={file['sha256']}&from={output.tell()}"
                        part = await self._request(
                            peer, "POST", query, msgspec.msgpack.encode(key_of(attempt))
                        )
                        if not part:
                            raise TransferError(f"{file['name']} is shorter than it was")
                        output.write(part)
            names = [f["name"] for f in attempt["artefacts"]]
            reason = await self.archive.publish(key, attempt["team"], Path(folder), names)
            if reason:
                log.warning("files of %s not accepted by the archive: %s", key.text(), reason)
