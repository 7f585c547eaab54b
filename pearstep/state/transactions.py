"""The limits of the key-value store on one transaction, and the size of a transaction against them."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

# Limits of the state service's protocol.
CONDITIONS_PER_OPERATION = 4
MAX_BODY_BYTES = 64 * 1024
# Upper bounds of the JSON around the body, a condition's key, and an operation's key and value.
_BODY_OVERHEAD_BYTES = 32
_CONDITION_OVERHEAD_BYTES = 48
_OPERATION_OVERHEAD_BYTES = 64


def encoded_sizes(values: Mapping[str, Any]) -> dict[str, int]:
    """Return the size in bytes of each value as it is sent, by key."""
    return {key: len(msgspec.json.encode(value)) for key, value in values.items()}


@dataclass(frozen=True)
class TransactionLimits:
    """The limits of one transaction.

    Attributes:
        operations: the maximum number of puts and deletes.
        conditions: the maximum number of preconditions.
        value_bytes: the maximum size of one value.
        body_bytes: the maximum size of the request body.
    """

    operations: int
    conditions: int
    value_bytes: int
    body_bytes: int = MAX_BODY_BYTES


class TransactionSize:
    """The size of a transaction that is being assembled."""

    def __init__(self, limits: TransactionLimits, conditions: Iterable[str] = ()) -> None:
        """Start with the keys on which every transaction of the writer is conditional."""
        self.limits = limits
        self._conditions: set[str] = set()
        self._operations: dict[str, int] = {}
        self._bytes = _BODY_OVERHEAD_BYTES
        self._add_conditions(conditions)

    def _add_conditions(self, keys: Iterable[str]) -> None:
        new = set(keys) - self._conditions
        self._conditions |= new
        self._bytes += sum(len(key) + _CONDITION_OVERHEAD_BYTES for key in new)

    def try_add(
        self, conditions: Collection[str], value_bytes: Mapping[str, int], replaces: Collection[str] = ()
    ) -> bool:
        """Add conditions and operations if the transaction stays within its limits.

        Args:
            conditions: keys on which the transaction becomes conditional.
            value_bytes: the size of each value that is put, by key; 0 for a key that is deleted.
            replaces: keys whose earlier operations are removed from the transaction.

        Returns:
            Whether they were added; if not, nothing has changed.
        """
        new_conditions = set(conditions) - self._conditions
        if not self._within_counts(new_conditions, value_bytes, replaces):
            return False
        added = sum(len(key) + size + _OPERATION_OVERHEAD_BYTES for key, size in value_bytes.items())
        added += sum(len(key) + _CONDITION_OVERHEAD_BYTES for key in new_conditions)
        if self._bytes + added > self.limits.body_bytes:
            return False
        self._bytes += added
        self._conditions |= new_conditions
        for key in replaces:
            if key in self._operations:
                self._bytes -= len(key) + self._operations.pop(key) + _OPERATION_OVERHEAD_BYTES
        self._operations.update(value_bytes)
        return True

    def _within_counts(
        self, new_conditions: set[str], value_bytes: Mapping[str, int], replaces: Collection[str]
    ) -> bool:
        limits = self.limits
        operations = self._operations.keys() - set(replaces) | value_bytes.keys()
        return (
            len(self._conditions) + len(new_conditions) <= limits.conditions
            and len(operations) <= limits.operations
            and max(value_bytes.values(), default=0) <= limits.value_bytes
        )

    def free_conditions(self, reserved: Collection[str] = ()) -> int:
        """Return how many more conditions fit, not counting those on the ``reserved`` keys."""
        return self.limits.conditions - len(self._conditions | set(reserved))

    def has_condition(self, key: str) -> bool:
        """Tell whether the transaction is already conditional on a key."""
        return key in self._conditions
