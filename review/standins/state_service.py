"""A stand-in for the state service, after "Controller nodes -> state service" of the protocol."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import deque
from collections.abc import Callable
from typing import Any

from review.standins.http import HttpServer, Request

MAX_LOG = 10_000
MAX_BODY_BYTES = 64 * 1024
CONDITIONS_PER_CHANGE = 4


class Bucket:
    """A rate limit that allows a burst of some seconds' worth."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        """Start full."""
        self.rate, self.most = rate, rate * burst_s
        self.level, self.at = self.most, asyncio.get_running_loop().time()

    def take(self, amount: float) -> bool:
        """Take an amount, or return False."""
        now = asyncio.get_running_loop().time()
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    """Keys with versions, transactions, leases and watches, in memory."""

    def __init__(self, limits: dict[str, float]) -> None:
        """Start empty, with the limits of the settings."""
        self.limits = limits
        self.revision = 0
        self.keys: dict[str, tuple[int, Any, int | None]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.log: deque[tuple[int, str, Any, bool]] = deque(maxlen=MAX_LOG)
        self.lost_before = 0
        self.changed = asyncio.Event()
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        # Called with each change after it was applied: key, value (None: deleted).
        self.on_change: Callable[[str, Any], None] = lambda key, value: None
        self._next_lease = 1
        self.server = HttpServer(self._handle)
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve, and end leases in time."""
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.03)
            now = asyncio.get_running_loop().time()
            for lease in [lease for lease, (_, end) in self.leases.items() if now > end]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        held = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if held:
            self.revision += 1
            for key in held:
                self._apply(key, None, None, delete=True)
            self._wake()

    def _apply(self, key: str, value: Any, lease: int | None, *, delete: bool) -> None:
        if delete:
            self.keys.pop(key, None)
        else:
            self.keys[key] = (self.revision, value, lease)
        if len(self.log) == MAX_LOG:
            self.lost_before = self.log[0][0]
        self.log.append((self.revision, key, value, delete))
        self.on_change(key, None if delete else value)

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request: Request) -> tuple[int, Any]:
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        try:
            return await self._answer(request)
        except (ValueError, KeyError, TypeError) as err:
            return 400, {"error": f"malformed: {err}"}

    async def _answer(self, request: Request) -> tuple[int, Any]:
        path = request.path
        if path == "/txn":
            return self._transact(request)
        if path == "/changes":
            return await self._changes(request)
        if path == "/kv":
            return self._page(request)
        if path.startswith("/kv/"):
            found = self.keys.get(path[4:])
            if found is None:
                return 404, {"ledger": self.revision}
            return 200, {"path": path[4:], "value": found[1], "stamp": found[0], "tenancy": found[2]}
        return self._lease(request)

    def _transact(self, request: Request) -> tuple[int, Any]:
        if len(request.body) > MAX_BODY_BYTES:
            return 400, {"error": "too large"}
        body = request.json()
        when, then = body.get("when") or [], body.get("then") or []
        most = self.limits["txn_ops"]
        too_large = any(
            len(json.dumps(change.get("value")).encode()) > self.limits["value_kb"] * 1024 for change in then
        )
        if len(then) > most or len(when) > CONDITIONS_PER_CHANGE * most or too_large:
            return 400, {"error": "too many changes, or a value too large"}
        if then and not self.writes.take(len(then)):
            return 429, {"error": "too many changes"}
        for change in then:
            if change.get("tenancy") is not None and change["tenancy"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [each["path"] for each in when if self._version(each["path"]) != each["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        real = [change for change in then if "put" in change or change["delete"] in self.keys]
        if real:
            self.revision += 1
            for change in real:
                is_delete = "put" not in change
                key = change["delete"] if is_delete else change["put"]
                self._apply(key, change.get("value"), change.get("tenancy"), delete=is_delete)
            self._wake()
        return 200, {"ledger": self.revision}

    def _version(self, key: str) -> int:
        found = self.keys.get(key)
        return found[0] if found else 0

    async def _changes(self, request: Request) -> tuple[int, Any]:
        prefix, after = request.query.get("starts", ""), int(request.query["from"])
        loop = asyncio.get_running_loop()
        end = loop.time() + min(int(request.query.get("waitMs", "0")), 60_000) / 1000
        while True:
            if after < self.lost_before:
                return 410, {"ledger": self.revision}
            events = [
                {"delete": key, "stamp": revision}
                if deleted
                else {"put": key, "value": value, "stamp": revision}
                for revision, key, value, deleted in self.log
                if revision > after and key.startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"ledger": self.revision, "log": events}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _page(self, request: Request) -> tuple[int, Any]:
        prefix, after = request.query.get("starts", ""), request.query.get("from", "")
        limit = min(int(request.query.get("limit", "1000")), 1000)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        pairs, size = [], 0
        for key in names[:limit]:
            version, value, _ = self.keys[key]
            size += len(key) + len(json.dumps(value)) + 60
            if pairs and size > 512 * 1024:
                break
            pairs.append({"path": key, "value": value, "stamp": version})
        return 200, {"pairs": pairs, "hasNext": len(pairs) < len(names), "ledger": self.revision}

    def _lease(self, request: Request) -> tuple[int, Any]:
        now = asyncio.get_running_loop().time()
        if request.path == "/leases" and request.method == "POST":
            ttl_s = request.json()["ttlMs"] / 1000
            lease = self._next_lease
            self._next_lease += 1
            self.leases[lease] = (ttl_s, now + ttl_s)
            return 200, {"tenancy": lease}
        name, _, action = request.path.removeprefix("/leases/").partition("/")
        lease = int(name)
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if action == "renew":
            ttl_s, _ = self.leases[lease]
            self.leases[lease] = (ttl_s, now + ttl_s)
        else:
            self._end_lease(lease)
        return 200, {"tenancy": lease}
