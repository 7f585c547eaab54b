"""Published sets, for whoever reads a job's files.

A set is made by the first who asks once the job is done, and is the same for everybody from then on. Which
one stands is settled in the state service (``archive.service``).
"""

from __future__ import annotations

import hashlib
import tempfile
from collections.abc import Callable
from pathlib import Path

import msgspec

from pearstep.archive.messages import SETS
from pearstep.archive.records import Key
from pearstep.archive.sets import (
    SET_FILE,
    Input,
    PublishedSet,
    UnsettledError,
    answers,
    build,
    decode,
    digest_of,
    encode,
)
from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError, reason
from pearstep.jobs.description import Description, DescriptionError
from pearstep.jobs.description import decode as decode_job
from pearstep.transport.clock import wall_us


class Standing(msgspec.Struct):
    """Which set of a job stands."""

    digest: str


def set_job(ref: str) -> str:
    """The name under which a job's sets are kept."""
    return f"set-{ref.removeprefix('req-')}"


def _key(ref: str, digest: str) -> Key:
    return Key(set_job(ref), 0, 1, f"set-{digest[:16]}", 1)


class Sets:
    """Reads sets, and publishes those that are due."""

    def __init__(self, archive: ArchiveClient) -> None:
        """Create a reader and publisher of sets in ``archive``."""
        self.archive = archive

    async def standing(self, ref: str) -> str | None:
        """The digest of a job's set; None if there is none. Raises ArchiveUnreachableError."""
        status, data = await self.archive.ask("GET", f"{SETS}/{ref}")
        if status == 404:
            return None
        if status != 200:
            raise ArchiveUnreachableError(f"the archive answers {status}: {reason(data)}")
        return msgspec.json.decode(data, type=Standing).digest

    async def read(self, ref: str, digest: str) -> PublishedSet:
        """A set by its digest. Raises ArchiveUnreachableError."""
        found = await self.archive.attempts(set_job(ref)) or []
        size = next((f["size"] for a in found for f in a["artefacts"] if f["sha256"] == digest), None)
        if size is None:
            raise ArchiveUnreachableError(f"the archive has no set {digest[:12]} of {ref}")
        body = b""
        async for part in self.archive.blob(_key(ref, digest), digest, size):
            body += part
        if hashlib.sha256(body).hexdigest() != digest:
            raise ArchiveUnreachableError(f"set of {ref}: the bytes that came do not have its digest")
        return decode(body)

    async def published(self, ref: str) -> PublishedSet | None:
        """The set that stands; None if there is none."""
        digest = await self.standing(ref)
        return None if digest is None else await self.read(ref, digest)

    async def publish(self, ref: str) -> PublishedSet:
        """The set of a job that is done, made now if nobody has made it.

        Raises UnsettledError, ArchiveUnreachableError.
        """
        one = await self.published(ref)
        if one is not None:
            return one
        job = await self._description(ref)
        attempts = await self.archive.attempts(ref) or []
        chosen = answers(attempts, job.tasks, job.kind == "gang", bool(job.run.outputs), wall_us())
        one = build(ref, chosen, [Input(i.ref, i.digest) for i in job.run.inputs])
        digest = digest_of(one)
        await self._keep(ref, digest, encode(one))
        status, data = await self.archive.ask("PUT", f"{SETS}/{ref}", msgspec.json.encode(Standing(digest)))
        if status not in (200, 201, 409):
            raise ArchiveUnreachableError(f"the archive answers {status}: {reason(data)}")
        # Another reader may have been first: what stands counts, not what was proposed.
        stands = await self.published(ref)
        if stands is None:
            raise ArchiveUnreachableError(f"the set of {ref} could not be read back")
        return stands

    async def _description(self, ref: str) -> Description:
        status, body = await self.archive.ask("GET", f"/v1/jobs/{ref}")
        if status == 404:
            raise UnsettledError("no such job in the archive")
        if status != 200:
            raise ArchiveUnreachableError(f"the archive answers {status}: {reason(body)}")
        try:
            return decode_job(body)
        except DescriptionError as err:
            raise UnsettledError(f"its description cannot be read: {err}") from None

    async def _keep(self, ref: str, digest: str, body: bytes) -> None:
        with tempfile.TemporaryDirectory(prefix="pearstep-set-") as folder:
            (Path(folder) / SET_FILE).write_bytes(body)
            why = await self.archive.keep(_key(ref, digest), "", "set", Path(folder), SET_FILE)
        if why:
            raise ArchiveUnreachableError(f"the set of {ref} was not taken: {why}")

    async def fetch(
        self,
        one: PublishedSet,
        target: Path,
        names: set[str] | None = None,
        progress: Callable[[int], object] | None = None,
    ) -> list[Path]:
        """Bring a set's files, verified, each whole or not at all. Raises ArchiveUnreachableError."""
        out = []
        for m in one.files:
            if names is not None and m.name not in names:
                continue
            path = target / m.name
            path.parent.mkdir(parents=True, exist_ok=True)
            key = Key(one.ref, m.task, m.attempt, m.machine, m.start)
            await self.archive.save(key, m.sha256, m.size, path, progress)
            out.append(path)
        return out
