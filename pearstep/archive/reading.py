"""Answers to readers: finds an attempt on whichever node has the most of it."""

from __future__ import annotations

import asyncio

import msgspec

from pearstep.archive import messages as msg
from pearstep.archive.frames import ManifestFrame
from pearstep.archive.members import Membership
from pearstep.archive.records import RANK, Key, Live
from pearstep.archive.writer import Writer
from pearstep.transport.http import Client

MOST_READ = 1024 * 1024


class AttemptFacts(msgspec.Struct):
    """What readers are told of an attempt (JSON).

    ``have`` is how much of each stream can be read; ``whole`` says whether that is all there will ever be and
    all there was.
    """

    job: str
    task: int
    attempt: int
    machine: str
    start: int
    state: str
    cause: str
    code: int | None
    opened_us: int
    ended_us: int
    have: dict[str, int]
    whole: bool
    team: str
    cls: str
    version: int
    artefacts: list[dict[str, str | int]]
    node: str = ""
    published: bool = False  # whether its files are named, be it none

    @property
    def key(self) -> Key:
        """The name of the record."""
        return Key(self.job, self.task, self.attempt, self.machine, self.start)


def facts(live: Live, manifest: ManifestFrame | None, node: str) -> AttemptFacts:
    """A record in readers' terms."""
    r, k = live.record, live.record.key
    files: list[dict[str, str | int]] = [
        {"name": f.name, "size": f.size, "sha256": f.digest} for f in (manifest.files if manifest else ())
    ]
    whole = r.state == "sealed" and all(live.have.get(s, 0) == end for s, end in r.ends.items())
    return AttemptFacts(
        k.job,
        k.task,
        k.attempt,
        k.machine,
        k.start,
        r.state,
        r.cause,
        r.code,
        r.opened_us,
        r.ended_us,
        dict(live.have),
        whole,
        r.team,
        r.cls,
        r.version,
        files,
        node,
        manifest is not None,
    )


class Found(msgspec.Struct):
    """What the nodes that answered know of a job's attempts.

    ``certain`` says that enough of them answered that each attempt's copies cannot all be with the ``silent``
    ones, and that this node knows who the others are. A node that has just started knows nobody: it must not
    say that something is not there.
    """

    attempts: list[AttemptFacts]
    certain: bool
    silent: list[str]


class UnreadableError(Exception):
    """The node that has the bytes did not give them: this is not the end of the stream."""


class Reading:
    """Reads here and, where others may know more, there."""

    def __init__(self, client: Client, membership: Membership, writer: Writer) -> None:
        """Create a reader of this node's storage and of the other members."""
        self.client = client
        self.membership = membership
        self.writer = writer

    def here(self, job: str, task: int | None) -> list[AttemptFacts]:
        """Attempts in this node's own index, and what is not indexed yet but durable is among it."""
        index = self.writer.storage.index
        return [
            facts(live, index.manifest(live.record.key), self.membership.name)
            for live in index.find(job, task)
        ]

    def certain(self, silent: int) -> bool:
        """Whether nothing can be hidden from this node while so many peers do not answer."""
        return self.membership.takes and silent < self.membership.layout.copies

    async def everywhere(self, job: str, task: int | None) -> Found:
        """Attempts as told by the node that has the most of each, ordered by task and attempt."""
        query = f"{msg.ATTEMPTS}?job={job}&local=1" + (f"&task={task}" if task is not None else "")
        peers = self.membership.peers
        answers = await asyncio.gather(
            *(self.client.fetch(a, "GET", query, timeout_s=5.0) for a in peers.values())
        )
        best = {f.key: f for f in self.here(job, task)}
        silent = []
        for name, (status, data) in zip(peers, answers, strict=True):
            if status != 200:
                silent.append(name)
                continue
            for fact in msgspec.json.decode(data, type=list[AttemptFacts]):
                mine = best.get(fact.key)
                if mine is None or _more(fact, mine):
                    best[fact.key] = fact
        found = sorted(best.values(), key=lambda f: (f.task, f.attempt, f.opened_us))
        return Found(found, self.certain(len(silent)), silent)

    async def log(
        self, key: Key, stream: str, begin: int, most: int, local: bool
    ) -> tuple[bytes, list[tuple[int, int]]] | None:
        """Read bytes of a stream and the holes among them; None if nobody knows the attempt.

        Raises DamagedFrameError, and UnreadableError if a node that may know the attempt does not answer.
        """
        most = min(most, MOST_READ)
        if local:
            facts_, certain = self.here(key.job, key.task), True
        else:
            found = await self.everywhere(key.job, key.task)
            facts_, certain = found.attempts, found.certain
        fact = next((f for f in facts_ if f.key == key), None)
        if fact is None:
            if not certain:
                raise UnreadableError("not enough archive nodes answer to be certain")
            return None
        if fact.node in ("", self.membership.name):
            return await self.writer.call(self.writer.storage.read, key, stream, begin, most)
        addr = self.membership.layout.members.get(fact.node, "")
        status, body = await self.client.fetch(
            addr, "POST", f"{msg.LOG}?stream={stream}&from={begin}&most={most}&local=1", msg.encode(key), 10.0
        )
        if status != 200:
            raise UnreadableError(f"{fact.node}, which has this log, answers {status or 'nothing'}")
        return msgspec.msgpack.decode(body, type=tuple[bytes, list[tuple[int, int]]])

    def bucket(self, bucket: int) -> msg.Inventory:
        """All that is here of a bucket."""
        index = self.writer.storage.index
        lives = index.bucket(bucket)
        manifests = [m for live in lives if (m := index.manifest(live.record.key)) is not None]
        return msg.Inventory([(live.record, live.have) for live in lives], manifests)


def _more(a: AttemptFacts, b: AttemptFacts) -> bool:
    return (RANK[a.state], sum(a.have.values()), a.version) > (RANK[b.state], sum(b.have.values()), b.version)
