"""An archive node: HTTP round the writer, the copies and the readers."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import re
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import structlog
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from tornado.httputil import HTTPServerRequest

from pearstep.archive import messages as msg
from pearstep.archive.board import Board, Post
from pearstep.archive.copies import Copies
from pearstep.archive.disk import Folder
from pearstep.archive.frames import ChunkFrame, DamagedFrameError, Frame, ManifestFrame, RecordFrame
from pearstep.archive.index import Index
from pearstep.archive.members import Joining, Membership
from pearstep.archive.placement import bucket_of
from pearstep.archive.reading import Reading, UnreadableError
from pearstep.archive.records import STREAMS, Key
from pearstep.archive.repair import Pace
from pearstep.archive.retention import DAY_US, Room, expire
from pearstep.archive.settings import ArchiveSettings
from pearstep.archive.storage import Storage
from pearstep.archive.writer import RETRY_S, Writer
from pearstep.domain.units import SECOND_US
from pearstep.transport.clock import now_us, wall_us
from pearstep.transport.http import Answer, Client, Server
from pearstep.transport.kv_client import CommitOutcome, KeyValueStore
from pearstep.transport.rate_limiter import RateLimiter

log = structlog.get_logger("pearstep.archive")

MB = 1024 * 1024
# Users' jobs, those lent by a peer, and images.
REF = re.compile(r"^(req-[0-9]{1,20}|lent-[a-z0-9-]{1,120})$")
NAMED = re.compile(r"^((req|set)-[0-9]{1,20}|lent-[a-z0-9-]{1,120}|img-[a-z0-9][a-z0-9._-]{0,60})$")
MOST_JOB = 64 * 1024
_key = msgspec.msgpack.Decoder(Key)


class RefusedError(Exception):
    """A request that is answered with a status and one sentence."""

    def __init__(self, status: int, why: str, retry_s: float = 0.0) -> None:
        """Create a refusal with an HTTP status, a reason, and seconds after which to retry."""
        super().__init__(why)
        self.status, self.why, self.retry_s = status, why, retry_s


def refusal(status: int, why: str, retry_s: float = 0.0) -> Answer:
    """The answer to a request that is not taken."""
    head = {"Retry-After": str(max(int(retry_s), 1))} if retry_s or status in (429, 503) else {}
    return status, msgspec.json.encode({"error": why}), head


class Archive:
    """One node."""

    def __init__(self, settings: ArchiveSettings) -> None:
        """Open the archive node's storage and set up its parts from the settings."""
        self.settings = settings
        root = Path(settings.directory)
        self.disk = Folder(root)
        self.index = Index(str(root / "index.sqlite"))
        self.storage = Storage(self.disk, self.index, int(settings.segment_mb * MB))
        self.room = Room(
            int(settings.reserve_mb * MB), {t: int(q * MB) for t, q in settings.quotas_mb.items()}
        )
        keep = settings.retention
        self.writer = Writer(
            self.storage,
            self.room,
            now_us,
            lambda item: keep.too_old(item.cls, item.opened_us, wall_us()),
        )
        self.client = Client(100)
        self.joining: Joining | None = None
        if settings.state:
            self.membership = Membership(
                settings.name,
                settings.bind,
                settings.copies,
                int(settings.patience_s * SECOND_US),
                int(settings.lease_s * SECOND_US),
                now_us(),
            )
            store = KeyValueStore(
                self.client,
                settings.state,
                RateLimiter(settings.state_rps, settings.state_rps, now_us),
                RateLimiter(settings.state_write_rps, max(settings.state_write_rps, 2.0), now_us),
                now_us,
            )
            self.joining = Joining(store, self.membership, now_us)
        else:
            self.membership = Membership.alone(settings.name, settings.bind, now_us())
        self.copies = Copies(
            self.client,
            self.membership,
            self.writer,
            settings.durable_on,
            Pace(settings.repair_mb_per_s * MB, now_us()),
            lambda record: keep.forgotten(record, wall_us()),
        )
        self.reading = Reading(self.client, self.membership, self.writer)
        self.board = Board(now_us)
        self._meters()
        self._routes: dict[tuple[str, str], Callable[[HTTPServerRequest], Awaitable[Answer]]] = {
            ("POST", msg.APPEND): self._append,
            ("POST", msg.REPLICA): self._replica,
            ("GET", msg.ATTEMPTS): self._attempts,
            ("POST", msg.LOG): self._log,
            ("POST", msg.RAW): self._raw,
            ("PUT", msg.UPLOAD): self._upload,
            ("POST", msg.PUBLISH): self._publish,
            ("GET", msg.MEMBERS): self._members,
            ("GET", msg.DIGESTS): self._digests,
            ("POST", msg.BOARD): self._board,
        }

    def _meters(self) -> None:
        self.registry = CollectorRegistry()
        self.m_bytes = Counter("archive_taken_bytes", "Compressed bytes confirmed.", registry=self.registry)
        self.m_appends = Counter("archive_appends", "Appends by answer.", ["status"], registry=self.registry)
        for name, text, figure in (
            ("archive_open_attempts", "Attempts that are written now.", lambda: len(self.writer.open)),
            ("archive_commits", "Syncs of the segment.", lambda: self.writer.commits),
            ("archive_free_bytes", "Bytes free on the disk.", lambda: self.room.free),
            ("archive_repaired_bytes", "Bytes fetched from other nodes.", lambda: self.copies.repaired),
            ("archive_lacking_buckets", "Buckets that differ from a copy.", lambda: self.copies.lacking),
            ("archive_members", "Nodes in the list.", lambda: len(self.membership.layout.members)),
            ("archive_may_write", "1 if this node confirms writes.", lambda: int(self.membership.takes)),
        ):
            Gauge(name, text, registry=self.registry).set_function(figure)

    # -- running ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Until the process is killed."""
        host, _, port = self.settings.bind.rpartition(":")
        Server(self.handle).listen(host, int(port))
        log.info(
            "archive node",
            name=self.settings.name,
            bind=self.settings.bind,
            cut=self.storage.cut,
            open=len(self.writer.open),
        )
        loops = [
            self._forever(self._upkeep, self.settings.upkeep_pause_s),
            self._forever(self.copies.round, self.settings.repair_pause_s),
        ]
        if self.joining is not None:
            loops.append(self.joining.run())
        await asyncio.gather(*loops)

    async def _forever(self, step: Callable[[], Awaitable[object]], pause_s: float) -> None:
        while True:
            try:
                await step()
            except Exception:
                log.exception("failed", loop=step.__name__)
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))

    async def _upkeep(self) -> None:
        """Room, silent writers, retention and reclaiming: one small step of each."""
        # Counting goes through all attempts: only where somebody has a quota.
        used = await self.writer.call(self.index.used) if self.room.quotas else {}
        self.room.counted(used, self.disk.free())
        for record in await self.writer.lose_silent(int(self.settings.lost_after_s * SECOND_US), wall_us()):
            log.warning("attempt lost", attempt=record.key.text(), have=record.lost_from)
        now = wall_us()
        retention = self.settings.retention
        for cls, age_us in retention.rules():
            ended = await self.writer.call(self.index.ended_before, cls, now - age_us, 256)
            await self.writer.put_records([expire(r) for r in ended if retention.due(r, now)])
        if retention.record_days:
            before = now - int(retention.record_days * DAY_US)
            gone = await self.writer.call(self.index.expired_before, before, 256)
            gone = [r.key for r in gone if retention.forgotten(r, now)]
            if gone:
                await self.writer.drop(gone)
                log.info("records forgotten", count=len(gone))
        if await self.writer.call(self.storage.reclaim):
            await self.writer.call(self.storage.sweep_blobs)

    # -- requests --------------------------------------------------------------------------------

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Everything that arrives."""
        path = request.path
        if path == "/metrics":
            return 200, generate_latest(self.registry), {"Content-Type": "text/plain; version=0.0.4"}
        if path == "/ready":
            return (200 if self.membership.takes else 503), b"{}", {}
        try:
            answer = await self._routed(request)
            if answer is not None:
                return answer
        except RefusedError as err:
            return refusal(err.status, err.why, err.retry_s)
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as err:
            return refusal(400, f"malformed: {err}")
        except UnreadableError as err:
            return refusal(503, str(err), RETRY_S)
        except DamagedFrameError as err:
            log.error("damaged", why=str(err))
            return refusal(500, str(err))
        except OSError as err:
            return refusal(
                503, "the archive's disk is full" if err.errno == errno.ENOSPC else str(err), RETRY_S
            )
        if any(p == path for _, p in self._routes):
            return refusal(405, "method not allowed")
        return refusal(404, "no such path")

    async def _routed(self, request: HTTPServerRequest) -> Answer | None:
        path = request.path
        route = self._routes.get((request.method or "", path))
        if route is not None:
            return await route(request)
        if path.startswith(msg.JOBS + "/"):
            return await self._job(request, path[len(msg.JOBS) + 1 :])
        if path.startswith(msg.SETS + "/"):
            return await self._set(request, path[len(msg.SETS) + 1 :])
        if path.startswith(msg.BLOB + "/") and request.method == "GET":
            return await self._blob(request, path[len(msg.BLOB) + 1 :])
        if path.startswith(msg.BUCKET + "/") and request.method == "GET":
            bucket = await self.writer.call(self.reading.bucket, int(path[len(msg.BUCKET) + 1 :]))
            return 200, msg.encode(bucket), {}
        return None

    async def _append(self, request: HTTPServerRequest) -> Answer:
        batch = msg.batches.decode(request.body)
        for item in batch.items:
            self._check(item.key)
        results = await self.copies.take(batch)
        for item, result in zip(batch.items, results, strict=True):
            self.m_appends.labels(result.status).inc()
            if result.status == 200:
                self.m_bytes.inc(sum(len(c.data) for c in item.chunks))
        return 200, msg.encode(results), {}

    async def _replica(self, request: HTTPServerRequest) -> Answer:
        results = await self.copies.replica(msg.batches.decode(request.body))
        if isinstance(results, int):
            return refusal(409, f"the list of members is at epoch {results}")
        return 200, msg.encode(results), {}

    async def _attempts(self, request: HTTPServerRequest) -> Answer:
        job, task = _arg(request, "job"), _arg(request, "task")
        number = int(task) if task else None
        if _arg(request, "local"):
            return 200, msgspec.json.encode(await self.writer.call(self.reading.here, job, number)), {}
        found = await self.reading.everywhere(job, number)
        if not found.attempts and not found.certain:
            return refusal(503, "not enough archive nodes answer to be certain", RETRY_S)
        if not found.attempts and self.index.job(job) is None:
            return refusal(404, "no such job")
        return 200, msgspec.json.encode(found), {}

    async def _log(self, request: HTTPServerRequest) -> Answer:
        key = _key.decode(request.body)
        stream, begin = _arg(request, "stream") or "stdout", int(_arg(request, "from") or 0)
        if stream not in STREAMS or begin < 0:
            return refusal(400, "unknown stream, or a negative offset")
        found = await self.reading.log(
            key, stream, begin, int(_arg(request, "most") or MB), bool(_arg(request, "local"))
        )
        if found is None:
            return refusal(404, "no such attempt")
        return 200, msg.encode(found), {}

    async def _raw(self, request: HTTPServerRequest) -> Answer:
        key = _key.decode(request.body)
        live = self.writer.known(key)
        if live is None:
            return refusal(404, "no such attempt")
        chunks = await self.writer.call(
            self.storage.raw,
            key,
            _arg(request, "stream"),
            int(_arg(request, "from") or 0),
            int(_arg(request, "most") or MB),
        )
        frames: list[Frame] = [RecordFrame(live.record), *(ChunkFrame(key, c) for c in chunks)]
        return 200, msg.encode(msg.RawChunks(frames)), {}

    async def _upload(self, request: HTTPServerRequest) -> Answer:
        name = _arg(request, "digest")
        if not re.fullmatch(r"[0-9a-f]{64}", name):
            return refusal(400, "an upload is named by its SHA-256 in hexadecimal")
        if self.index.knows_blob(name):
            return 200, b'{"known":true}', {}
        offset = int(_arg(request, "from") or 0)
        if offset + len(request.body) > self.settings.most_artefact_mb * MB:
            return refusal(413, f"an artefact has at most {self.settings.most_artefact_mb:g} MB")
        refused = self.room.refusal(_arg(request, "team"), len(request.body))
        if refused is not None:
            return refusal(*refused, RETRY_S)
        size = await self.writer.call(self.storage.upload, name, offset, request.body)
        return 200, msgspec.json.encode({"have": size}), {}

    async def _publish(self, request: HTTPServerRequest) -> Answer:
        wish = msg.publishes.decode(request.body)
        self._check(wish.key)
        names = [f.name for f in wish.files]
        bad = next((f"{n!r}: {why}" for n in names if (why := msg.bad_name(n))), "")
        if bad or len(set(names)) < len(names):
            return refusal(422, bad or "two files have the same name")
        if not all(re.fullmatch(r"[0-9a-f]{64}", f.digest) and f.size >= 0 for f in wish.files):
            return refusal(422, "a digest is SHA-256 in hexadecimal")
        if len(names) > msg.MOST_ARTEFACTS:
            return refusal(413, f"an attempt has at most {msg.MOST_ARTEFACTS} artefacts")
        if self.writer.known(wish.key) is None:
            return refusal(404, "no such attempt")
        known = self.index.manifest(wish.key)
        if known is not None:
            if sorted(known.files, key=str) == sorted(wish.files, key=str):
                return 200, b"{}", {}
            return refusal(409, "this attempt has published other files")
        if not self.membership.takes:
            return refusal(503, f"this node is {self.membership.state}", RETRY_S)
        why = await self.writer.call(self.storage.publish, ManifestFrame(wish.key, wish.files, wall_us()))
        if why:
            return refusal(422, why)
        self.room.took(wish.team, sum(f.size for f in wish.files))
        return 200, b"{}", {}

    async def _blob(self, request: HTTPServerRequest, digest: str) -> Answer:
        if not re.fullmatch(r"[0-9a-f]{64}", digest) or not self.index.knows_blob(digest):
            return refusal(404, "no such content")
        data = await self.writer.call(
            self.storage.blob,
            digest,
            int(_arg(request, "from") or 0),
            min(int(_arg(request, "most") or MB), MB),
        )
        return 200, data, {"Content-Type": "application/octet-stream"}

    async def _job(self, request: HTTPServerRequest, job: str) -> Answer:
        if not REF.match(job):
            return refusal(400, "a job's id is req- and up to 20 digits")
        local = bool(_arg(request, "local"))
        if request.method == "GET":
            return await self._get_job(job, local)
        if request.method != "PUT":
            return refusal(405, "method not allowed")
        return await self._put_job(job, request.body, local)

    async def _get_job(self, job: str, local: bool) -> Answer:
        peers = list(self.membership.peers.values())
        body = self.index.job(job)
        silent = 0
        for addr in peers if body is None and not local else ():
            status, data = await self.client.fetch(addr, "GET", f"{msg.JOBS}/{job}?local=1")
            if status == 200:
                body = data
                break
            silent += status != 404
        if body is None and not local and not self.reading.certain(silent):
            # A worker that is told 404 refuses the task for good. Seen with a node that had just started.
            return refusal(503, "not enough archive nodes answer to be certain", RETRY_S)
        if body is None:
            return refusal(404, "no such job")
        return 200, body, {}

    async def _put_job(self, job: str, body: bytes, local: bool) -> Answer:
        peers = list(self.membership.peers.values())
        if len(body) > MOST_JOB:
            return refusal(413, "a description has at most 64 KiB")
        status = await self.writer.put_job(job, body)
        if status == 409:
            return refusal(409, "this job has another description")
        if not local:
            # Descriptions are small and every worker may ask any node: each member keeps all of them.
            answers = await asyncio.gather(
                *(self.client.fetch(a, "PUT", f"{msg.JOBS}/{job}?local=1", body) for a in peers)
            )
            done = 1 + sum(s in (200, 201) for s, _ in answers)
            if any(s == 409 for s, _ in answers):
                return refusal(409, "this job has another description")
            if done < min(self.settings.durable_on, 1 + len(peers)):
                return refusal(503, "not durable on enough nodes", RETRY_S)
        return status, b"{}", {}

    async def _set(self, request: HTTPServerRequest, ref: str) -> Answer:  # noqa: C901 - steps in order; to be split
        """Answer which set of a job's files stands.

        The first that is proposed does, for ever: it is settled by a transaction of the state service,
        whichever node is asked; a node that stands alone settles it itself. Each node remembers what it has
        learnt.
        """
        if not REF.match(ref):
            return refusal(400, "a job's id is req- and up to 20 digits")
        name, key = f"set of {ref}", f"set/{ref}"
        known = self.index.job(name)
        if known is None and self.joining is not None:
            listing = await self.joining.store.list_all(key)
            if listing is None:
                return refusal(503, "the state service does not answer", RETRY_S)
            known = next((bytes(p.value) for p in listing[0] if p.key == key), None)
            if known is not None:
                await self.writer.put_job(name, known)
        if request.method == "GET":
            return (200, known, {}) if known is not None else refusal(404, "this job has no published set")
        if request.method != "PUT":
            return refusal(405, "method not allowed")
        wish = msgspec.json.decode(request.body, type=_Standing)
        if not re.fullmatch(r"[0-9a-f]{64}", wish.digest):
            return refusal(422, "a digest is SHA-256 in hexadecimal")
        body = msgspec.json.encode(wish)
        if known is not None:
            return (200, known, {}) if known == body else refusal(409, "another set of this job stands")
        if self.joining is not None:
            outcome = await self.joining.store.commit({key: 0}, {key: (wish, None)}, [])
            if outcome.state == CommitOutcome.CONFLICT:
                return refusal(409, "another set of this job stands")
            if outcome.state != CommitOutcome.COMMITTED:
                return refusal(503, "the state service does not answer", RETRY_S)
        status = await self.writer.put_job(name, body)
        return (status, body, {}) if status != 409 else refusal(409, "another set of this job stands")

    async def _members(self, request: HTTPServerRequest) -> Answer:
        layout = self.membership.layout
        return (
            200,
            msgspec.json.encode(
                {
                    "epoch": layout.epoch,
                    "members": layout.members,
                    "copies": layout.copies,
                    "state": self.membership.state,
                }
            ),
            {},
        )

    async def _digests(self, request: HTTPServerRequest) -> Answer:
        return 200, msg.encode(await self.copies.digests()), {}

    async def _board(self, request: HTTPServerRequest) -> Answer:
        post = msgspec.json.decode(request.body, type=Post)
        # All tasks of a gang meet on the node that keeps the job's first task.
        owners = self.membership.layout.owners(bucket_of(post.job, 0))
        if owners and self.membership.name not in owners[:1] and not _arg(request, "local"):
            addr = self.membership.layout.members[owners[0]]
            status, data = await self.client.fetch(addr, "POST", msg.BOARD + "?local=1", request.body)
            if status == 200:
                return 200, data, {}
        tasks = self.board.post(post)
        if tasks is None:
            return refusal(503, "too many gangs gather", RETRY_S)
        return 200, msgspec.json.encode({str(t): a for t, a in tasks.items()}), {}

    def _check(self, key: Key) -> None:
        if not NAMED.match(key.job) or not 0 <= key.task < 100_000 or key.attempt < 0:
            raise RefusedError(422, "an attempt is named by a job's id, a task and an attempt number")
        if not key.machine or len(key.machine) > 200 or any(c in key.machine for c in "/ \n"):
            raise RefusedError(422, "a machine's name has no spaces and no slashes")


class _Standing(msgspec.Struct):
    digest: str


def _arg(request: HTTPServerRequest, name: str) -> str:
    values = request.arguments.get(name)
    return values[0].decode() if values else ""


def run(settings: ArchiveSettings) -> None:
    """Start a node; returns when the process is asked to end."""
    os.umask(0o027)
    asyncio.run(Archive(settings).run())
