"""Messages to and from the state service: pages of keys, transactions, leases, changes after a revision."""

from __future__ import annotations

from typing import Any

import msgspec

KEYS_PATH = "/kv"
TRANSACTION_PATH = "/txn"
LEASES_PATH = "/leases"
RENEW_ACTION = "renew"
CHANGES_PATH = "/changes"


class KeyValue(msgspec.Struct, rename={"key": "path", "version": "stamp"}):
    """A key with its undecoded value."""

    key: str
    value: msgspec.Raw
    version: int


class KeyPage(msgspec.Struct, rename={"items": "pairs", "more": "hasNext", "revision": "ledger"}):
    """A page of keys."""

    items: list[KeyValue]
    revision: int
    more: bool = False


class Change(msgspec.Struct, rename={"version": "stamp"}):
    """One change of a key: a put with its value, or a delete."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(msgspec.Struct, rename={"revision": "ledger", "events": "log"}):
    """All changes after a revision."""

    revision: int
    events: list[Change]


class TransactionAnswer(msgspec.Struct, rename={"revision": "ledger"}):
    """The answer to a transaction; ``failed`` lists the keys whose conditions did not hold."""

    revision: int
    failed: list[str] = []


class LeaseGranted(msgspec.Struct, rename={"lease": "tenancy"}):
    """A new lease."""

    lease: int


def encode_transaction(
    conditions: dict[str, int], puts: dict[str, tuple[Any, int | None]], deletes: list[str]
) -> bytes:
    """Encode a transaction.

    Args:
        conditions: The versions that keys must have; 0: the key does not exist.
        puts: Values by key, each with the lease that it ends with, or None.
        deletes: Keys to delete.
    """
    changes: list[dict[str, Any]] = []
    for key, (value, lease) in puts.items():
        put: dict[str, Any] = {"put": key, "value": value}
        if lease is not None:
            put["tenancy"] = lease
        changes.append(put)
    changes.extend({"delete": key} for key in deletes)
    return msgspec.json.encode(
        {"when": [{"path": key, "stamp": version} for key, version in conditions.items()], "then": changes}
    )


def encode_lease_request(ttl_ms: int) -> bytes:
    """Encode a request for a lease."""
    return msgspec.json.encode({"ttlMs": ttl_ms})


def key_page_path(prefix: str, after: str | None, limit: int) -> str:
    """Return path and query of the page of the keys with a prefix that follows a key."""
    more = f"&from={after}" if after else ""
    return f"{KEYS_PATH}?starts={prefix}{more}&limit={limit}"


def changes_path(after: int, wait_ms: int) -> str:
    """Return path and query of the changes after a revision, of all keys."""
    return f"{CHANGES_PATH}?starts=&from={after}&waitMs={wait_ms}"
