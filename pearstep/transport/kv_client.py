"""The client of the state service: transactions, leases, reads and changes of a key-value store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec

from pearstep.protocol import controller_messages as wire
from pearstep.transport.clock import now_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import NO_ANSWER, Client
from pearstep.transport.rate_limiter import IDLE, NORMAL, URGENT, RateLimiter


class CommitOutcome(StrEnum):
    """How a transaction ended.

    REFUSED: it was not executed, and may be sent again unchanged. MALFORMED: it was not executed and never
    will be; the caller has to decide on other, fewer changes. UNKNOWN: it may have been applied, or may be
    applied later. NO_LEASE: it names a lease that has expired.
    """

    COMMITTED = "committed"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NO_LEASE = "no lease"
    MALFORMED = "malformed"


log = EventLogger("pearstep.kv_client")

_transaction_answer = msgspec.json.Decoder(wire.TransactionAnswer)
_key_value = msgspec.json.Decoder(wire.KeyValue)
_key_page = msgspec.json.Decoder(wire.KeyPage)
_changes = msgspec.json.Decoder(wire.Changes)
_lease_granted = msgspec.json.Decoder(wire.LeaseGranted)

# A single lost answer does not count as an outage.
UNAVAILABLE_AFTER_US = 500_000
# Keys of a malformed transaction that its log line lists.
MAX_LOGGED_KEYS = 6
# Attempts at a transaction that the state service rejects because its rate limit is exceeded.
MAX_COMMIT_ATTEMPTS = 5
KEYS_PER_PAGE = 1000
REQUEST_TIMEOUT_S, PAGE_TIMEOUT_S = 3.0, 5.0
# Users wait 2 s for an answer, so a slower read is of no use to them.
READ_TIMEOUT_S = 1.5
# Timeout of a watch beyond the wait that it requests.
WATCH_MARGIN_S = 3
# Random pause after a request over the rate limit: minimum, maximum of urgent and of other requests.
MIN_BACKOFF_S, MAX_URGENT_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.08, 0.25
# Bytes of a rejection that a log line shows.
MAX_LOGGED_ANSWER_BYTES = 200


class CommitResult:
    """The outcome of a transaction, its revision, and the keys in conflict."""

    __slots__ = ("failed", "revision", "state")

    def __init__(self, state: str, revision: int = 0, failed: list[str] | None = None) -> None:
        """Store an outcome, one of ``CommitOutcome``."""
        self.state = state
        self.revision = revision
        self.failed = failed or []


def _decode_commit_answer(status: int, data: bytes) -> CommitResult:
    """Decode the answer to a transaction."""
    try:
        if status == 200:
            return CommitResult(CommitOutcome.COMMITTED, _transaction_answer.decode(data).revision)
        if status == 409:
            answer = _transaction_answer.decode(data)
            return CommitResult(CommitOutcome.CONFLICT, answer.revision, answer.failed)
    except msgspec.MsgspecError:
        return CommitResult(CommitOutcome.UNKNOWN)
    if status in (429, 503):
        return CommitResult(CommitOutcome.REFUSED)
    if status == 400:
        return CommitResult(CommitOutcome.NO_LEASE if b"lease" in data else CommitOutcome.MALFORMED)
    return CommitResult(CommitOutcome.UNKNOWN)


class KeyValueStore:
    """Sends one node's requests to the state service, within the node's share of the rate limits."""

    def __init__(
        self, client: Client, addr: str, requests: RateLimiter, writes: RateLimiter, now_us: Callable[[], int]
    ) -> None:
        """Send requests to an address.

        Args:
            client: The HTTP client.
            addr: The state service's address, host:port.
            requests: The limiter for this node's share of requests.
            writes: The limiter for this node's share of changes.
            now_us: The monotonic clock in microseconds.
        """
        self._client = client
        self._address = addr
        self._requests = requests
        self._writes = writes
        self._now_us = now_us
        self.unavailable_since_us: int | None = None
        # Number of malformed transactions, including those that were too large.
        self.malformed_transactions = 0

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
        urgency: int = NORMAL,
    ) -> tuple[int, bytes]:
        """Send a request within the rate limit, track the service's availability; return status and body."""
        await self._requests.acquire(1.0, urgency)
        status, data = await self._client.fetch(self._address, method, path, body, timeout_s)
        if status in (503, NO_ANSWER):
            if self.unavailable_since_us is None:
                self.unavailable_since_us = self._now_us()
                log.info("state service unavailable", status=status, path=path)
        elif status == 429:
            self._requests.drain()
            log.info("state service rate limit exceeded", path=path)
            max_backoff_s = MAX_URGENT_BACKOFF_S if urgency == URGENT else MAX_BACKOFF_S
            await asyncio.sleep(random.uniform(MIN_BACKOFF_S, max_backoff_s))
        else:
            if self.unavailable_since_us is not None:
                log.info("state service available again")
            self.unavailable_since_us = None
        return status, data

    async def commit(
        self,
        conditions: dict[str, int],
        puts: dict[str, tuple[Any, int | None]],
        deletes: list[str] | None = None,
        urgency: int = NORMAL,
    ) -> CommitResult:
        """Apply a transaction; it is retried only if it certainly was not executed.

        Args:
            conditions: The versions that keys must have; 0: the key does not exist.
            puts: Values by key, each with the lease that it ends with, or None.
            deletes: Keys to delete.
            urgency: The priority within this node's share of the limits.
        """
        deleted_keys = deletes or []
        body = wire.encode_transaction(conditions, puts, deleted_keys)
        change_count = len(puts) + len(deleted_keys)
        for _ in range(MAX_COMMIT_ATTEMPTS):
            if change_count:
                await self._writes.acquire(change_count, urgency)
            status, data = await self._request("POST", wire.TRANSACTION_PATH, body, urgency=urgency)
            if status != 429:
                break
            self._writes.drain()
        result = _decode_commit_answer(status, data)
        if result.state == CommitOutcome.MALFORMED:
            self.malformed_transactions += 1
            log.error(
                "transaction malformed",
                cause=data[:MAX_LOGGED_ANSWER_BYTES],
                total=self.malformed_transactions,
                conditions=len(conditions),
                changes=change_count,
                size_bytes=len(body),
                keys=[*puts, *deleted_keys][:MAX_LOGGED_KEYS],
            )
        return result

    def is_unavailable(self) -> bool:
        """Tell whether the service was unavailable for UNAVAILABLE_AFTER_US, so that callers fail fast."""
        return (
            self.unavailable_since_us is not None
            and self._now_us() - self.unavailable_since_us > UNAVAILABLE_AFTER_US
        )

    async def wait_for_write_quota(self) -> None:
        """Wait until the rate limit allows a write.

        A caller that collects its writes after this wait collects larger batches when the limit is tight.
        """
        await self._writes.acquire(0.0)

    async def grant_lease(self, ttl_ms: int) -> int | None:
        """Request a new lease; return its id, or None if none was granted."""
        status, data = await self._request(
            "POST", wire.LEASES_PATH, wire.encode_lease_request(ttl_ms), urgency=URGENT
        )
        if status != 200:
            return None
        try:
            return _lease_granted.decode(data).lease
        except msgspec.MsgspecError:
            return None

    async def renew_lease(self, lease: int) -> bool | None:
        """Renew a lease; return whether it still exists, or None if that is unknown."""
        status, _ = await self._request(
            "POST", f"{wire.LEASES_PATH}/{lease}/{wire.RENEW_ACTION}", urgency=URGENT
        )
        if status == 200:
            return True
        return False if status == 404 else None

    async def list_all(self, prefix: str = "", end_key: str = "") -> tuple[list[wire.KeyValue], int] | None:
        """Read all keys with a prefix, page by page; if ``end_key`` is given, only those before it.

        Returns:
            The keys, and the revision of the first page: changes after it may or may not be in later pages,
            and have to be read again afterwards. None if a page could not be read.
        """
        pairs: list[wire.KeyValue] = []
        after: str | None = None
        revision: int | None = None
        while True:
            page = await self.read_page(prefix, after, URGENT)
            if page is None:
                return None
            if revision is None:
                revision = page.revision
            last_key = page.items[-1].key if page.items else ""
            reached_end = bool(end_key) and last_key >= end_key
            pairs.extend(
                page.items if not reached_end else (item for item in page.items if item.key < end_key)
            )
            if not page.more or not page.items or reached_end:
                return pairs, revision
            after = last_key

    async def read_page(self, prefix: str, after: str | None, urgency: int = IDLE) -> wire.KeyPage | None:
        """Read a page of the keys with a prefix, following the key ``after``; None without an answer."""
        path = wire.key_page_path(prefix, after, KEYS_PER_PAGE)
        status, data = await self._request("GET", path, urgency=urgency, timeout_s=PAGE_TIMEOUT_S)
        try:
            return _key_page.decode(data) if status == 200 else None
        except msgspec.MsgspecError:
            return None

    async def read(self, key: str, urgency: int = URGENT) -> wire.KeyValue | bool:
        """Read one key; return False if it does not exist, True if there was no answer."""
        status, data = await self._request(
            "GET", f"{wire.KEYS_PATH}/{key}", urgency=urgency, timeout_s=READ_TIMEOUT_S
        )
        if status != 200:
            return status != 404
        try:
            return _key_value.decode(data)
        except msgspec.MsgspecError:
            return True

    def has_spare_writes(self, changes: int) -> bool:
        """Tell whether this many changes can be written now without delaying other writes."""
        return self._writes.has_spare(changes)

    async def read_changes(self, after: int, wait_ms: int, urgency: int = IDLE) -> wire.Changes | int:
        """Read the changes after a revision, waiting for one; on failure return the status."""
        status, data = await self._request(
            "GET",
            wire.changes_path(after, wait_ms),
            urgency=urgency,
            timeout_s=wait_ms / 1000 + WATCH_MARGIN_S if wait_ms else READ_TIMEOUT_S,
        )
        if status != 200:
            return status
        try:
            return _changes.decode(data)
        except msgspec.MsgspecError:
            return NO_ANSWER


def open_kv_store(client: Client, addr: str, rps: float, write_rps: float) -> KeyValueStore:
    """Create a client for a command, with its own limits of requests and of changes per second."""
    return KeyValueStore(
        client, addr, RateLimiter(rps, rps, now_us), RateLimiter(write_rps, write_rps, now_us), now_us
    )
