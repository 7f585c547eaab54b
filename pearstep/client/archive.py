"""A client of the archive: finds the nodes that keep an attempt, asks another where one does not answer."""

from __future__ import annotations

import hashlib
import os
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import msgspec

from pearstep.archive import messages as msg
from pearstep.archive.frames import File
from pearstep.archive.messages import AppendBatch, Publish, Result
from pearstep.archive.placement import Layout, bucket_of
from pearstep.archive.records import Append, Key, Seal
from pearstep.transport.clock import wall_us
from pearstep.transport.http import Client

PART = 1024 * 1024


class ArchiveUnreachableError(Exception):
    """No archive node gave an answer; the text says what to look at."""


class _Members(msgspec.Struct):
    epoch: int
    members: dict[str, str]
    copies: int


class Found(msgspec.Struct):
    """An answer about attempts: ``certain`` if no silent node can hide another one."""

    attempts: list[dict[str, Any]]
    certain: bool
    silent: list[str]


class ArchiveClient:
    """``addrs`` are any nodes of the archive; the others are learnt from them."""

    def __init__(self, client: Client, addrs: list[str]) -> None:
        """Create a client of the archive nodes at ``addrs``."""
        self._client = client
        self._addrs = list(addrs)
        self.layout: Layout | None = None

    async def refresh(self) -> Layout | None:
        """Read the list of members from whoever answers; the newest that is known."""
        known = list(self.layout.members.values()) if self.layout else []
        for addr in [*self._addrs, *known]:
            status, data = await self._client.fetch(addr, "GET", msg.MEMBERS, timeout_s=3.0)
            if status == 200:
                got = msgspec.json.decode(data, type=_Members)
                if got.members and (self.layout is None or got.epoch >= self.layout.epoch):
                    self.layout = Layout(got.epoch, got.members, got.copies)
                    return self.layout
        return self.layout

    async def owners(self, job: str, task: int) -> list[str]:
        """Addresses of the nodes that keep a task's attempts, first the one that takes writes."""
        layout = self.layout or await self.refresh()
        if layout is None:
            return []
        return [layout.members[name] for name in layout.owners(bucket_of(job, task))]

    async def ask(
        self, method: str, path: str, body: bytes | None = None, timeout_s: float = 5.0
    ) -> tuple[int, bytes]:
        """Ask any node that answers. Raises ArchiveUnreachableError."""
        known = list(self.layout.members.values()) if self.layout else []
        last: tuple[int, bytes] = (0, b"")
        for addr in dict.fromkeys([*known, *self._addrs]):
            last = await self._client.fetch(addr, method, path, body, timeout_s)
            if last[0] not in (0, 500, 503):
                return last
        if last[0]:
            return last
        raise ArchiveUnreachableError(f"no archive node answers at {', '.join(self._addrs) or 'no address'}")

    # -- writers ---------------------------------------------------------------------------------

    async def append(self, addr: str, items: list[Append]) -> list[Result]:
        """Send appends to one node; a result for each."""
        epoch = self.layout.epoch if self.layout else 0
        status, data = await self._client.fetch(
            addr, "POST", msg.APPEND, msg.encode(AppendBatch(epoch, items)), 10.0
        )
        if status == 200:
            return msg.results.decode(data)
        return [Result(status or 503, {}, "no answer", "", 1.0)] * len(items)

    async def publish(self, key: Key, team: str, folder: Path, names: list[str]) -> str:
        """Upload files and make them visible as the attempt's.

        Returns '' once they are on every node that keeps the attempt, or a reason that will not change;
        raises ArchiveUnreachableError otherwise.
        """
        files = [File(name, *digest(folder / name)) for name in names]
        owners = await self.owners(key.job, key.task)
        if not owners:
            raise ArchiveUnreachableError("no archive node answers")
        for addr in owners:
            for file in files:
                why = await self._upload(addr, team, folder / file.name, file)
                if why:
                    return why
            status, data = await self._client.fetch(
                addr, "POST", msg.PUBLISH, msg.encode(Publish(key, team, files)), 30.0
            )
            if status in (0, 404, 429, 503):
                raise ArchiveUnreachableError(f"{addr} answers {status}")
            if status != 200:
                return reason(data)
        return ""

    async def _upload(self, addr: str, team: str, path: Path, file: File) -> str:
        at = 0
        with open(path, "rb") as source:  # noqa: ASYNC230 - a local file, read a part at a time
            while at < file.size:
                source.seek(at)
                part = source.read(PART)
                if not part:
                    return f"{file.name} became shorter while it was uploaded"
                query = f"{msg.UPLOAD}?digest={file.digest}&from={at}&team={team}"
                status, data = await self._client.fetch(addr, "PUT", query, part, 30.0)
                if status in (0, 429, 503):
                    raise ArchiveUnreachableError(f"{addr} answers {status}")
                if status != 200:
                    return reason(data)
                answer = msgspec.json.decode(data)
                if answer.get("known"):
                    return ""
                at = answer["have"]
        return ""

    async def keep(self, key: Key, team: str, cls: str, folder: Path, name: str) -> str:
        """Keep one file under a record that nobody writes to: begun, ended and published at once.

        Returns '' once it is there, or a reason that will not change; raises
        ArchiveUnreachableError otherwise.
        """
        owners = await self.owners(key.job, key.task)
        if not owners:
            raise ArchiveUnreachableError("no archive node answers")
        now = wall_us()
        item = Append(key, 1, team, cls, now, [], Seal("done", 0, {}, now))
        result = (await self.append(owners[0], [item]))[0]
        if result.status != 200:
            raise ArchiveUnreachableError(f"the archive answers {result.status}: {result.why}")
        return await self.publish(key, team, folder, [name])

    # -- readers ---------------------------------------------------------------------------------

    async def look(self, job: str, task: int | None = None) -> Found | None:
        """Return the attempts of a job or of one task, and whether that is surely all.

        None if there is no such job.
        """
        query = f"{msg.ATTEMPTS}?job={job}" + (f"&task={task}" if task is not None else "")
        status, data = await self.ask("GET", query)
        if status == 404:
            return None
        if status != 200:
            raise ArchiveUnreachableError(f"the archive answers {status}: {reason(data)}")
        return msgspec.json.decode(data, type=Found)

    async def attempts(self, job: str, task: int | None = None) -> list[dict[str, Any]] | None:
        """Return all attempts of a job or of one task; None if there is no such job.

        Raises ArchiveUnreachableError if too many nodes are silent to know all of them.
        """
        found = await self.look(job, task)
        if found is not None and not found.certain:
            raise ArchiveUnreachableError(
                f"archive nodes do not answer: {', '.join(found.silent) or 'list not known'}"
            )
        return None if found is None else found.attempts

    async def read(self, key: Key, stream: str, begin: int) -> tuple[bytes, list[tuple[int, int]]]:
        """Bytes of a stream from an offset on, and the holes among them."""
        status, data = await self.ask(
            "POST", f"{msg.LOG}?stream={stream}&from={begin}&most={PART}", msg.encode(key)
        )
        if status != 200:
            raise ArchiveUnreachableError(f"the archive answers {status}: {reason(data)}")
        return msgspec.msgpack.decode(data, type=tuple[bytes, list[tuple[int, int]]])

    async def blob(self, key: Key, content: str, size: int, begin: int = 0) -> AsyncIterator[bytes]:
        """The bytes of a published file from an offset on, part by part, from any node that has them."""
        addrs = await self.owners(key.job, key.task)
        addrs += [a for a in (self.layout.members.values() if self.layout else self._addrs) if a not in addrs]
        at = begin
        while at < size:
            part = b""
            for addr in addrs:
                status, part = await self._client.fetch(
                    addr, "GET", f"{msg.BLOB}/{content}?from={at}", timeout_s=10.0
                )
                if status == 200 and part:
                    break
            else:
                raise ArchiveUnreachableError("no archive node has this file now")
            at += len(part)
            yield part

    async def save(
        self, key: Key, content: str, size: int, path: Path, progress: Callable[[int], object] | None = None
    ) -> None:
        """Bring a published file to ``path``, verified, whole or not at all.

        Raises ArchiveUnreachableError.
        """
        beside = path.with_name(path.name + ".part")
        sha = hashlib.sha256()
        with open(beside, "wb") as out:  # noqa: ASYNC230 - a local file, written a part at a time
            async for part in self.blob(key, content, size):
                sha.update(part)
                out.write(part)
                if progress is not None:
                    progress(len(part))
        if sha.hexdigest() != content:
            beside.unlink()
            raise ArchiveUnreachableError(f"{path.name}: the bytes that came do not have its digest")
        os.replace(beside, path)


def key_of(attempt: dict[str, Any]) -> Key:
    """The name of an attempt's record, from what readers are told of it."""
    return Key(*(attempt[f] for f in ("job", "task", "attempt", "machine", "start")))


def digest(path: Path) -> tuple[str, int]:
    """SHA-256 and size of a file."""
    sha, size = hashlib.sha256(), 0
    with open(path, "rb") as source:
        while part := source.read(PART):
            sha.update(part)
            size += len(part)
    return sha.hexdigest(), size


def reason(data: bytes) -> str:
    """The sentence in a refusal."""
    try:
        return str(msgspec.json.decode(data).get("error", ""))
    except (msgspec.MsgspecError, AttributeError):
        return data[:200].decode(errors="replace")
