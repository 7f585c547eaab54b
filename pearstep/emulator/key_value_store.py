"""The store of the emulated state service, without input or output.

It has keys with versions, compare-and-swap transactions, leases, and a bounded log of changes.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

from sortedcontainers import SortedDict

from pearstep.protocol.emulator_messages import Transaction, TransactionOperation

KEPT_CHANGES = 10_000
MOST_PAGE_BYTES = 512 * 1024
MOST_BODY_BYTES = 64 * 1024
MOST_KEY_BYTES = 200
CONDITIONS_PER_OP = 4
# What a key and a value take in a page beyond their own bytes.
ROW_OVERHEAD_BYTES = 40


class EmulatorError(Exception):
    """An error of the emulators."""


class LeaseNotFoundError(EmulatorError):
    """A put names a lease that doesn't exist or has expired."""


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


class Keys:
    """The keys, leases and changes of a state service; the caller tells the time.

    Attributes:
        revision: Counts the transactions that changed something.
        keys: Version, value and lease by key.
        leases: Duration and instant of expiry by number of the lease, in microseconds.
        first: The first revision from which on the log has all changes.
    """

    def __init__(self, value_bytes: int = 16 * 1024, txn_ops: int = 16) -> None:
        """Begin empty.

        Args:
            value_bytes: The largest size of a value.
            txn_ops: The largest number of changes in a transaction.
        """
        self.value_bytes = value_bytes
        self.txn_ops = txn_ops
        self.revision = 0
        self.keys: SortedDict[str, tuple[int, bytes, int | None]] = SortedDict()
        self.leases: dict[int, tuple[int, int]] = {}
        self.next_lease = 1
        self.log: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.first = 1

    def txn(self, txn: Transaction) -> int | list[str]:
        """Apply a transaction as a whole, or not at all.

        Returns:
            Its revision, or the keys whose conditions failed.

        Raises:
            LeaseNotFoundError: A put names a lease that doesn't exist.
            ValueError: The transaction is malformed or too large.
        """
        if len(txn.ops) > self.txn_ops or len(txn.conditions) > CONDITIONS_PER_OP * self.txn_ops:
            raise ValueError("too many changes or conditions")
        for op in txn.ops:
            self._check(op)
        failed = [
            condition.key for condition in txn.conditions if self.version(condition.key) != condition.version
        ]
        if failed:
            return failed
        changes = [op for op in txn.ops if op.put is not None or op.delete in self.keys]
        if changes:
            self.revision += 1
        for op in changes:
            self._apply(op.put or op.delete or "", None if op.put is None else bytes(op.value), op.lease)
        return self.revision

    def _check(self, op: TransactionOperation) -> None:
        """Raise what is wrong with a change."""
        key = op.put if op.put is not None else op.delete
        if (op.put is None) == (op.delete is None) or not key or len(key) > MOST_KEY_BYTES or " " in key:
            raise ValueError("a change is a put or a delete of a key of 1 to 200 bytes")
        if len(bytes(op.value)) > self.value_bytes:
            raise ValueError("value too large")
        if op.put is not None and op.lease is not None and op.lease not in self.leases:
            raise LeaseNotFoundError

    def _apply(self, key: str, value: bytes | None, lease: int | None) -> None:
        """Put or delete a key at the present revision."""
        if value is None:
            del self.keys[key]
        else:
            self.keys[key] = (self.revision, value, lease)
        if len(self.log) == KEPT_CHANGES:
            self.first = self.log[0].revision + 1
        self.log.append(Change(self.revision, key, value))

    def version(self, key: str) -> int:
        """Return the revision of a key's last change; 0 if it doesn't exist."""
        found = self.keys.get(key)
        return found[0] if found else 0

    def page(self, prefix: str, after: str, limit: int) -> tuple[list[PageRow], bool]:
        """Return keys with a prefix that follow the key ``after``, and whether there are more."""
        rows: list[PageRow] = []
        size = 0
        for key in self.keys.irange(max(prefix, after), inclusive=(after < prefix, True)):
            if not key.startswith(prefix):
                return rows, False
            version, value, lease = self.keys[key]
            size += len(value) + len(key) + ROW_OVERHEAD_BYTES
            if len(rows) >= limit or (rows and size > MOST_PAGE_BYTES):
                return rows, True
            rows.append(PageRow(key, version, value, lease))
        return rows, False

    def changes(self, prefix: str, after: int) -> list[tuple[int, str, bytes | None]] | None:
        """Return the changes after a revision; None if the log doesn't reach back so far."""
        if after + 1 < self.first:
            return None
        newest_first: list[tuple[int, str, bytes | None]] = []
        for change in reversed(self.log):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                newest_first.append(change)
        return newest_first[::-1]

    # -- leases ----------------------------------------------------------------------------------

    def grant(self, ttl_us: int, now_us: int) -> int:
        """Grant a lease and return its number."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = (ttl_us, now_us + ttl_us)
        return lease

    def renew(self, lease: int, now_us: int) -> bool:
        """Renew a lease for its full duration; False if it doesn't exist."""
        if lease not in self.leases:
            return False
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, now_us + ttl)
        return True

    def end(self, lease: int) -> bool:
        """End a lease and delete its keys; False if it doesn't exist."""
        if self.leases.pop(lease, None) is None:
            return False
        held = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if held:
            self.revision += 1
            for key in held:
                self._apply(key, None, None)
        return True

    def expire(self, now_us: int) -> bool:
        """End the leases that have expired; tell whether there were any."""
        expired = [lease for lease, (_, expires_at_us) in self.leases.items() if now_us > expires_at_us]
        for lease in expired:
            self.end(lease)
        return bool(expired)

    # -- persistence -----------------------------------------------------------------------------

    def dump(self) -> dict[str, Any]:
        """Return what must outlive the process."""
        return {
            "revision": self.revision,
            "next_lease": self.next_lease,
            "leases": [[lease, ttl] for lease, (ttl, _) in self.leases.items()],
            "keys": [[key, version, raw.decode(), lease] for key, (version, raw, lease) in self.keys.items()],
        }

    def load(self, data: dict[str, Any], now_us: int) -> None:
        """Restore what ``dump`` returned; leases begin their full duration again."""
        self.revision, self.next_lease = data["revision"], data["next_lease"]
        self.leases = {lease: (ttl_us, now_us + ttl_us) for lease, ttl_us in data["leases"]}
        self.keys = SortedDict(
            {key: (version, raw.encode(), lease) for key, version, raw, lease in data["keys"]}
        )
        self.log.clear()
        self.first = self.revision + 1
