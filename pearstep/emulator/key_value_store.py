"""The in-memory store of the emulated state service.

It has keys with versions, compare-and-swap transactions, leases, and a bounded log of changes.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from sortedcontainers import SortedDict

from pearstep.protocol.emulator_messages import Transaction, TransactionOperation

MAX_LOGGED_CHANGES = 10_000
MAX_PAGE_BYTES = 512 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_KEY_BYTES = 200
MAX_CONDITIONS_PER_OPERATION = 4
# Bytes of a row in a page besides its key and value.
ROW_OVERHEAD_BYTES = 40


class EmulatorError(Exception):
    """Base class of the errors of the emulators."""


class LeaseNotFoundError(EmulatorError):
    """A put names a lease that does not exist or has expired."""


class Change(NamedTuple):
    """A change in the log; ``value`` is None for a delete."""

    revision: int
    key: str
    value: bytes | None


class PageRow(NamedTuple):
    """A key in a page of a listing."""

    key: str
    version: int
    value: bytes
    lease: int | None


class InMemoryStore:
    """The keys, leases and changes of a state service; callers pass the current time.

    Attributes:
        revision: The number of transactions, and of ends of leases, that changed a key.
        keys: Version, value and lease by key.
        leases: Duration and time of expiry by the number of the lease, in microseconds.
        first_logged_revision: The change log is complete from this revision on.
    """

    def __init__(self, value_bytes: int = 16 * 1024, txn_ops: int = 16) -> None:
        """Start empty.

        Args:
            value_bytes: The largest size of a value, in bytes.
            txn_ops: The largest number of changes in a transaction.
        """
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops
        self.revision = 0
        self.keys: SortedDict[str, tuple[int, bytes, int | None]] = SortedDict()
        self.leases: dict[int, tuple[int, int]] = {}
        self.next_lease = 1
        self.change_log: deque[Change] = deque(maxlen=MAX_LOGGED_CHANGES)
        self.first_logged_revision = 1

    def apply_transaction(self, transaction: Transaction) -> int | list[str]:
        """Apply a transaction as a whole, or not at all.

        Returns:
            Its revision, or the keys whose conditions failed.

        Raises:
            LeaseNotFoundError: A put names a lease that doesn't exist.
            ValueError: The transaction is malformed or too large.
        """
        if (
            len(transaction.ops) > self.txn_ops
            or len(transaction.conditions) > MAX_CONDITIONS_PER_OPERATION * self.txn_ops
        ):
            raise ValueError("too many changes or conditions")
        for op in transaction.ops:
            self._validate(op)
        failed = [
            condition.key
            for condition in transaction.conditions
            if self.version(condition.key) != condition.version
        ]
        if failed:
            return failed
        changes = [op for op in transaction.ops if op.put is not None or op.delete in self.keys]
        if changes:
            self.revision += 1
        for op in changes:
            self._write_key(op.put or op.delete or "", None if op.put is None else bytes(op.value), op.lease)
        return self.revision

    def _validate(self, op: TransactionOperation) -> None:
        """Raise an error if a change is invalid."""
        key = op.put if op.put is not None else op.delete
        if (op.put is None) == (op.delete is None) or not key or len(key) > MAX_KEY_BYTES or " " in key:
            raise ValueError("a change is a put or a delete of a key of 1 to 200 bytes")
        if len(bytes(op.value)) > self.value_bytes:
            raise ValueError("value too large")
        if op.put is not None and op.lease is not None and op.lease not in self.leases:
            raise LeaseNotFoundError

    def _write_key(self, key: str, value: bytes | None, lease: int | None) -> None:
        """Put or delete a key at the current revision."""
        if value is None:
            del self.keys[key]
        else:
            self.keys[key] = (self.revision, value, lease)
        if len(self.change_log) == MAX_LOGGED_CHANGES:
            self.first_logged_revision = self.change_log[0].revision + 1
        self.change_log.append(Change(self.revision, key, value))

    def version(self, key: str) -> int:
        """Return the revision of a key's last change; 0 if it doesn't exist."""
        found = self.keys.get(key)
        return found[0] if found else 0

    def read_page(self, prefix: str, after: str, limit: int) -> tuple[list[PageRow], bool]:
        """Return keys with a prefix that follow the key ``after``, and whether there are more."""
        rows: list[PageRow] = []
        size = 0
        for key in self.keys.irange(max(prefix, after), inclusive=(after < prefix, True)):
            if not key.startswith(prefix):
                return rows, False
            version, value, lease = self.keys[key]
            size += len(value) + len(key) + ROW_OVERHEAD_BYTES
            if len(rows) >= limit or (rows and size > MAX_PAGE_BYTES):
                return rows, True
            rows.append(PageRow(key, version, value, lease))
        return rows, False

    def changes_after(self, prefix: str, after: int) -> list[tuple[int, str, bytes | None]] | None:
        """Return the changes after a revision; None if the log is not complete from there on."""
        if after + 1 < self.first_logged_revision:
            return None
        newest_first: list[tuple[int, str, bytes | None]] = []
        for change in reversed(self.change_log):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                newest_first.append(change)
        return newest_first[::-1]

    # -- leases ----------------------------------------------------------------------------------

    def grant_lease(self, ttl_us: int, now_us: int) -> int:
        """Grant a lease and return its number."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = (ttl_us, now_us + ttl_us)
        return lease

    def renew_lease(self, lease: int, now_us: int) -> bool:
        """Renew a lease for its full duration; False if it doesn't exist."""
        if lease not in self.leases:
            return False
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, now_us + ttl)
        return True

    def end_lease(self, lease: int) -> bool:
        """End a lease and delete its keys; False if it doesn't exist."""
        if self.leases.pop(lease, None) is None:
            return False
        lease_keys = [key for key, (_, _, key_lease) in self.keys.items() if key_lease == lease]
        if lease_keys:
            self.revision += 1
            for key in lease_keys:
                self._write_key(key, None, None)
        return True

    def expire_leases(self, now_us: int) -> bool:
        """End the leases that have expired; return whether there were any."""
        expired = [lease for lease, (_, expires_at_us) in self.leases.items() if now_us > expires_at_us]
        for lease in expired:
            self.end_lease(lease)
        return bool(expired)

    # -- persistence -----------------------------------------------------------------------------

    def dump(self) -> dict[str, Any]:
        """Return the state that has to survive a restart."""
        return {
            "revision": self.revision,
            "next_lease": self.next_lease,
            "leases": [[lease, ttl] for lease, (ttl, _) in self.leases.items()],
            "keys": [[key, version, raw.decode(), lease] for key, (version, raw, lease) in self.keys.items()],
        }

    def load(self, data: dict[str, Any], now_us: int) -> None:
        """Restore the result of ``dump``; leases start their full duration again."""
        self.revision, self.next_lease = data["revision"], data["next_lease"]
        self.leases = {lease: (ttl_us, now_us + ttl_us) for lease, ttl_us in data["leases"]}
        self.keys = SortedDict(
            {key: (version, raw.encode(), lease) for key, version, raw, lease in data["keys"]}
        )
        self.change_log.clear()
        self.first_logged_revision = self.revision + 1
