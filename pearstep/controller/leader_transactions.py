"""Transactions of the leader, each conditional on its fencing token."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from pearstep.controller.cloud_client import CloudClient
from pearstep.controller.settings import Settings
from pearstep.controller.write_fence import WriteFence
from pearstep.domain.machine_type import MachineType
from pearstep.state.replica import Replica
from pearstep.state.transactions import TransactionSize, encoded_sizes
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome, CommitResult, KeyValueStore

log = EventLogger("pearstep.leader")

LEADER_KEY = "leader"
# Keys of a transaction named in one log line.
MAX_LOGGED_KEYS = 6
MAX_LOGGED_FAILED_KEYS = 4


@dataclass(kw_only=True)
class LeaderContext:
    """The dependencies of a leader: settings, the replica, the services, and the clocks.

    Attributes:
        apply_own_commit: Called with the key, revision and value of each record that is written.
        read_barrier: Brings the replica up to date; False if that failed.
        now_us: The monotonic clock, microseconds.
        wall_us: The wall clock, microseconds.
    """

    settings: Settings
    replica: Replica
    machine_types: dict[str, MachineType]
    kv: KeyValueStore
    cloud: CloudClient
    fencing_token: int
    now_us: Callable[[], int]
    wall_us: Callable[[], int]
    apply_own_commit: Callable[[str, int, object], None]
    read_barrier: Callable[[], Awaitable[bool]]


class LeaderTransactions:
    """Writes records under the fencing token of one leadership.

    Every write is conditional on the revision of the leader's key, so late writes of a former leader fail.
    """

    def __init__(self, context: LeaderContext) -> None:
        """Write under the fencing token of the context."""
        self.settings = context.settings
        self.replica = context.replica
        self.kv = context.kv
        self.fencing_token = context.fencing_token
        self.apply_own_commit = context.apply_own_commit
        self.read_barrier = context.read_barrier
        self.fence = WriteFence(
            context.kv,
            context.replica,
            LEADER_KEY,
            context.fencing_token,
            context.apply_own_commit,
            context.read_barrier,
        )
        # The last malformed transaction of each set of keys; an identical one is not sent again.
        self._malformed: dict[frozenset[str], tuple[dict[str, Any], dict[str, int]]] = {}

    async def commit(
        self, puts: dict[str, Any], conditions: dict[str, int], deletes: list[str] | None = None
    ) -> str:
        """Write in one transaction under the fencing token.

        Committed records are applied to the replica at once. After a conflict the replica is refreshed.

        Args:
            puts: The new values by key.
            conditions: The versions that keys must have, besides those of the fencing token.
            deletes: Keys to delete.

        Returns:
            The ``CommitOutcome``; MALFORMED, without sending it, for a transaction that is too large or was
            malformed before.
        """
        keys = frozenset([*puts, *(deletes or ())])
        if self._malformed.get(keys) == (puts, conditions):
            return CommitOutcome.MALFORMED
        if not self.try_add(self.new_size(), puts, conditions, deletes):
            log.error("leader transaction too large", keys=sorted(keys)[:MAX_LOGGED_KEYS])
            self._malformed[keys] = (puts, conditions)
            return CommitOutcome.MALFORMED
        outcome = await self.kv.commit(
            {**self.fence.preconditions(), **conditions},
            {key: (value, None) for key, value in puts.items()},
            deletes,
        )
        if outcome.state == CommitOutcome.COMMITTED:
            self._apply(outcome.revision, puts, deletes)
        elif outcome.state == CommitOutcome.MALFORMED:
            self._malformed[keys] = (puts, conditions)
        elif outcome.state != CommitOutcome.REFUSED:
            await self._refresh_replica(outcome)
        return outcome.state

    def _apply(self, revision: int, puts: dict[str, Any], deletes: list[str] | None) -> None:
        for key, value in puts.items():
            self.apply_own_commit(key, revision, value)
        for key in deletes or ():
            self.replica.delete(key, revision)

    async def _refresh_replica(self, outcome: CommitResult) -> None:
        """Bring the replica up to date after a conflict or a transaction without an answer."""
        if outcome.state == CommitOutcome.CONFLICT:
            log.info("leader transaction conflict", keys=outcome.failed[:MAX_LOGGED_FAILED_KEYS])
            await self.read_barrier()
        else:
            await self.fence.invalidate_pending_writes(self.is_current)

    def new_size(self) -> TransactionSize:
        """Return the size of a transaction that has only the preconditions of the write fence."""
        return TransactionSize(self.settings.transaction_limits, self.fence.preconditions())

    @staticmethod
    def try_add(
        size: TransactionSize,
        puts: dict[str, Any],
        conditions: dict[str, int],
        deletes: list[str] | None = None,
    ) -> bool:
        """Add changes to a transaction's size; return False and add nothing if they do not fit."""
        return size.try_add(conditions, encoded_sizes(puts) | dict.fromkeys(deletes or (), 0))

    async def commit_independently(
        self, puts: dict[str, Any], conditions: dict[str, int], deletes: list[str]
    ) -> None:
        """Write independent changes, each conditional on the version of its own key.

        If the transaction is malformed, each half of the changes is written separately.
        """
        keys = [*puts, *deletes]
        if await self.commit(puts, conditions, deletes) != CommitOutcome.MALFORMED or len(keys) < 2:
            return
        middle = len(keys) // 2
        for half in (keys[:middle], keys[middle:]):
            await self.commit_independently(
                {key: puts[key] for key in half if key in puts},
                {key: conditions[key] for key in half},
                [key for key in half if key not in puts],
            )

    def is_current(self) -> bool:
        """Tell whether the replica still shows this leadership as the current one."""
        leader = self.replica.leader
        return leader is not None and leader.fencing_token == self.fencing_token
