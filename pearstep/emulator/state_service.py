"""The emulated state service: the store over HTTP, with the protocol's limits, kept in a file.

Changes are appended to the file as they are made, and the file is written anew when it has grown. It is the
only copy of the state of a cluster on one machine, so every change is synced before it is confirmed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.emulator.key_value_store import MOST_BODY_BYTES, Keys, LeaseNotFoundError
from pearstep.protocol import emulator_messages as wire
from pearstep.transport.clock import now_us
from pearstep.transport.http import Answer, Server
from pearstep.transport.rate_limiter import RateLimiter

TICK_S = 0.05
REWRITE_BYTES = 16 * 1024 * 1024
MOST_PAGE_ROWS = 1000
MOST_WAIT_MS = 60_000
LEAST_TTL_MS, MOST_TTL_MS = 100, 600_000
BYTES_PER_KB = 1024


class StateService:
    """Serves the store to controllers and commands."""

    def __init__(self, file: str | None, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        """Recover the state from a file, if there is one.

        Args:
            file: The path of the file, or None to keep the state in memory only.
            rps: The number of requests per second.
            write_rps: The number of changes per second.
            value_kb: The largest size of a value in KiB.
            txn_ops: The largest number of changes in a transaction.
        """
        self.keys = Keys(int(value_kb * BYTES_PER_KB), txn_ops)
        self.requests = RateLimiter(rps, rps, now_us)
        self.writes = RateLimiter(write_rps, write_rps, now_us)
        self.news = asyncio.Event()
        self._path = Path(file) if file else None
        self._fd = -1
        if self._path is not None:
            self._recover(self._path)

    def _recover(self, path: Path) -> None:
        """Read the file: a dump, and a line for each transaction since."""
        if path.exists():
            lines = path.read_bytes().split(b"\n")
            for line in lines[:-1]:
                # The last line is torn if the machine stopped within a write: nobody was told of it. A
                # transaction is one line, so that none is there in part.
                if line[:1] == b"{":
                    self.keys.load(msgspec.json.decode(line), now_us())
                else:
                    self._replay(line)
        self._rewrite(path)

    def _replay(self, line: bytes) -> None:
        """Apply a line of the file."""
        changes, next_lease, leases = msgspec.json.decode(line)
        keys = self.keys
        for revision, key, value, lease in changes:
            keys.revision = revision
            if value is None:
                keys.keys.pop(key, None)
            else:
                keys.keys[key] = (revision, value.encode(), lease)
        now = now_us()
        keys.next_lease = next_lease
        keys.leases = {lease: (ttl_us, now + ttl_us) for lease, ttl_us in leases}
        keys.first = keys.revision + 1

    def _rewrite(self, path: Path) -> None:
        """Replace the file by a dump of the present state, atomically."""
        temporary = path.with_suffix(".new")
        temporary.parent.mkdir(parents=True, exist_ok=True)
        with open(temporary, "wb") as stream:
            stream.write(msgspec.json.encode(self.keys.dump()) + b"\n")
            stream.flush()
            os.fsync(stream.fileno())
        os.replace(temporary, path)
        if self._fd >= 0:
            os.close(self._fd)
        self._fd = os.open(path, os.O_WRONLY | os.O_APPEND)

    def _keep(self, before: int) -> None:
        """Wake the requests that wait for changes, and append the changes after a revision to the file."""
        self.news.set()
        self.news = asyncio.Event()
        if self._path is None:
            return
        leases = [[lease, ttl_us] for lease, (ttl_us, _) in self.keys.leases.items()]
        changes = []
        for version, key, value in self.keys.changes("", before) or ():
            lease = self.keys.keys[key][2] if value is not None and key in self.keys.keys else None
            changes.append([version, key, None if value is None else value.decode(), lease])
        os.write(self._fd, msgspec.json.encode([changes, self.keys.next_lease, leases]) + b"\n")
        os.fdatasync(self._fd)
        if os.fstat(self._fd).st_size > REWRITE_BYTES:
            self._rewrite(self._path)

    async def run(self, host: str, port: int) -> None:
        """Serve until the process is killed."""
        Server(self.handle).listen(host, port)
        while True:
            await asyncio.sleep(TICK_S)
            before = self.keys.revision
            if self.keys.expire(now_us()):
                self._keep(before)

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Answer one request."""
        if not self.requests.try_acquire():
            return 429, b'{"error":"too many requests"}', {}
        try:
            return await self._handle(request)
        except LeaseNotFoundError:
            return 400, b'{"error":"no such lease"}', {}
        except (msgspec.MsgspecError, ValueError, KeyError) as err:
            return 400, msgspec.json.encode({"error": str(err)}), {}

    async def _handle(self, request: HTTPServerRequest) -> Answer:
        """Answer one request; errors are raised."""
        path, method, keys = request.path, request.method, self.keys
        arguments = {name: values[0].decode() for name, values in request.arguments.items()}
        if path == "/txn" and method == "POST":
            return self._transaction(request.body)
        if path == "/kv" and method == "GET":
            return self._page(arguments)
        if path.startswith("/kv/") and method == "GET":
            key = path[4:]
            found = keys.keys.get(key)
            if found is None:
                return 404, wire.encode_revision(keys.revision), {}
            version, value, lease = found
            return 200, msgspec.json.encode(wire.build_key_value(key, value, version, lease)), {}
        if path == "/changes" and method == "GET":
            after, wait_ms = int(arguments["from"]), int(arguments.get("waitMs", 0))
            return await self._changes(arguments.get("starts", ""), after, wait_ms)
        return self._lease(request, path, method or "")

    def _transaction(self, body: bytes) -> Answer:
        """Answer a transaction, after its changes are synced."""
        keys, before = self.keys, self.keys.revision
        if len(body) > MOST_BODY_BYTES:
            raise ValueError("transaction too large")
        transaction = wire.decode_transaction(body)
        if transaction.ops and not self.writes.try_acquire(len(transaction.ops)):
            return 429, b'{"error":"too many changes"}', {}
        outcome = keys.txn(transaction)
        if isinstance(outcome, list):
            return 409, wire.encode_conflict(outcome, keys.revision), {}
        if keys.revision != before:
            self._keep(before)
        return 200, wire.encode_revision(outcome), {}

    def _page(self, arguments: dict[str, str]) -> Answer:
        """Answer with a page of keys."""
        limit = min(int(arguments.get("limit", MOST_PAGE_ROWS)), MOST_PAGE_ROWS)
        rows, more = self.keys.page(arguments.get("starts", ""), arguments.get("from", ""), limit)
        pairs = [wire.build_key_value(row.key, row.value, row.version, row.lease) for row in rows]
        return 200, wire.encode_key_page(pairs, more, self.keys.revision), {}

    async def _changes(self, prefix: str, after: int, wait_ms: int) -> Answer:
        """Answer with the changes after a revision, once there are any or the wait is over."""
        until_us = now_us() + min(wait_ms, MOST_WAIT_MS) * 1000
        while True:
            log = self.keys.changes(prefix, after)
            if log is None:
                return 410, wire.encode_revision(self.keys.revision), {}
            left_s = (until_us - now_us()) / 1e6
            if log or left_s <= 0:
                return 200, wire.encode_changes(log, self.keys.revision), {}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), left_s)

    def _lease(self, request: HTTPServerRequest, path: str, method: str) -> Answer:
        """Answer a request to grant, renew or end a lease."""
        keys, before = self.keys, self.keys.revision
        if path == "/leases" and method == "POST":
            lease_request = wire.decode_lease_request(request.body)
            if not LEAST_TTL_MS <= lease_request.ttl_ms <= MOST_TTL_MS:
                raise ValueError("ttlMs is 100 to 600,000")
            lease = keys.grant(lease_request.ttl_ms * 1000, now_us())
            self._keep(before)
            return 200, wire.encode_lease(lease), {}
        number, _, verb = path.removeprefix("/leases/").partition("/")
        if not path.startswith("/leases/") or not number.isdigit():
            return 404, b'{"error":"no such path"}', {}
        if verb == "renew" and method == "POST":
            return (
                (200 if keys.renew(int(number), now_us()) else 404),
                wire.encode_revision(keys.revision),
                {},
            )
        if not verb and method == "DELETE":
            was_there = keys.end(int(number))
            self._keep(before)
            return (200 if was_there else 404), wire.encode_revision(keys.revision), {}
        return 405, b'{"error":"method not allowed"}', {}
