"""The emulated state service: the store over HTTP, with the protocol's limits, persisted in a file.

Each change is appended to the file, which is replaced by a dump when it has grown large. It is the only copy
of the state of a cluster on one machine, so every change is synced before it is confirmed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.emulator.key_value_store import MAX_BODY_BYTES, InMemoryStore, LeaseNotFoundError
from pearstep.protocol import emulator_messages as wire
from pearstep.transport.clock import now_us
from pearstep.transport.http import Answer, Server
from pearstep.transport.rate_limiter import RateLimiter

EXPIRY_INTERVAL_S = 0.05
MAX_FILE_BYTES = 16 * 1024 * 1024
MAX_PAGE_ROWS = 1000
MAX_WAIT_MS = 60_000
MIN_TTL_MS, MAX_TTL_MS = 100, 600_000
BYTES_PER_KB = 1024


class StateService:
    """Serves the store to controllers and command-line tools."""

    def __init__(self, file: str | None, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        """Recover the state from a file, if it exists.

        Args:
            file: The path of the file, or None to keep the state in memory only.
            rps: The limit of requests per second.
            write_rps: The limit of changes per second.
            value_kb: The largest size of a value in KiB.
            txn_ops: The largest number of changes in a transaction.
        """
        self.keys = InMemoryStore(int(value_kb * BYTES_PER_KB), txn_ops)
        self.requests = RateLimiter(rps, rps, now_us)
        self.writes = RateLimiter(write_rps, write_rps, now_us)
        self.changed = asyncio.Event()
        self._path = Path(file) if file else None
        self._fd = -1
        if self._path is not None:
            self._recover(self._path)

    def _recover(self, path: Path) -> None:
        """Read the file: a dump, and a line for each later transaction."""
        if path.exists():
            lines = path.read_bytes().split(b"\n")
            for line in lines[:-1]:
                # An incomplete last line is skipped: the machine stopped during its write, before the change
                # was confirmed. A transaction is one line, so none is recovered in part.
                if line[:1] == b"{":
                    self.keys.load(msgspec.json.decode(line), now_us())
                else:
                    self._replay(line)
        self._rewrite(path)

    def _replay(self, line: bytes) -> None:
        """Apply a line of the file to the store."""
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
        keys.first_logged_revision = keys.revision + 1

    def _rewrite(self, path: Path) -> None:
        """Atomically replace the file by a dump of the current state."""
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

    def _persist_changes(self, before: int) -> None:
        """Wake the requests that wait for changes, and append the changes after a revision to the file."""
        self.changed.set()
        self.changed = asyncio.Event()
        if self._path is None:
            return
        leases = [[lease, ttl_us] for lease, (ttl_us, _) in self.keys.leases.items()]
        changes = []
        for version, key, value in self.keys.changes_after("", before) or ():
            lease = self.keys.keys[key][2] if value is not None and key in self.keys.keys else None
            changes.append([version, key, None if value is None else value.decode(), lease])
        os.write(self._fd, msgspec.json.encode([changes, self.keys.next_lease, leases]) + b"\n")
        os.fdatasync(self._fd)
        if os.fstat(self._fd).st_size > MAX_FILE_BYTES:
            self._rewrite(self._path)

    async def run(self, host: str, port: int) -> None:
        """Serve until the process is killed."""
        Server(self.handle).listen(host, port)
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            before = self.keys.revision
            if self.keys.expire_leases(now_us()):
                self._persist_changes(before)

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
        """Answer one request, or raise an error."""
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
        """Answer a transaction after syncing its changes."""
        keys, before = self.keys, self.keys.revision
        if len(body) > MAX_BODY_BYTES:
            raise ValueError("transaction too large")
        transaction = wire.decode_transaction(body)
        if transaction.ops and not self.writes.try_acquire(len(transaction.ops)):
            return 429, b'{"error":"too many changes"}', {}
        outcome = keys.apply_transaction(transaction)
        if isinstance(outcome, list):
            return 409, wire.encode_conflict(outcome, keys.revision), {}
        if keys.revision != before:
            self._persist_changes(before)
        return 200, wire.encode_revision(outcome), {}

    def _page(self, arguments: dict[str, str]) -> Answer:
        """Answer with a page of keys."""
        limit = min(int(arguments.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows, more = self.keys.read_page(arguments.get("starts", ""), arguments.get("from", ""), limit)
        pairs = [wire.build_key_value(row.key, row.value, row.version, row.lease) for row in rows]
        return 200, wire.encode_key_page(pairs, more, self.keys.revision), {}

    async def _changes(self, prefix: str, after: int, wait_ms: int) -> Answer:
        """Answer with the changes after a revision, once there are any or ``wait_ms`` has passed."""
        deadline_us = now_us() + min(wait_ms, MAX_WAIT_MS) * 1000
        while True:
            log = self.keys.changes_after(prefix, after)
            if log is None:
                return 410, wire.encode_revision(self.keys.revision), {}
            remaining_s = (deadline_us - now_us()) / 1e6
            if log or remaining_s <= 0:
                return 200, wire.encode_changes(log, self.keys.revision), {}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)

    def _lease(self, request: HTTPServerRequest, path: str, method: str) -> Answer:
        """Answer a request to grant, renew or end a lease."""
        keys, before = self.keys, self.keys.revision
        if path == "/leases" and method == "POST":
            lease_request = wire.decode_lease_request(request.body)
            if not MIN_TTL_MS <= lease_request.ttl_ms <= MAX_TTL_MS:
                raise ValueError("ttlMs is 100 to 600,000")
            lease = keys.grant_lease(lease_request.ttl_ms * 1000, now_us())
            self._persist_changes(before)
            return 200, wire.encode_lease(lease), {}
        lease_id, _, action = path.removeprefix("/leases/").partition("/")
        if not path.startswith("/leases/") or not lease_id.isdigit():
            return 404, b'{"error":"no such path"}', {}
        if action == "renew" and method == "POST":
            return (
                (200 if keys.renew_lease(int(lease_id), now_us()) else 404),
                wire.encode_revision(keys.revision),
                {},
            )
        if not action and method == "DELETE":
            existed = keys.end_lease(int(lease_id))
            self._persist_changes(before)
            return (200 if existed else 404), wire.encode_revision(keys.revision), {}
        return 405, b'{"error":"method not allowed"}', {}
