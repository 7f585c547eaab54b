"""Tests of the write fence: transactions without an answer must not be executed after newer ones."""

import asyncio
from types import SimpleNamespace
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from measurements.simulation.cluster import Setup, run
from measurements.simulation.faults import Fault
from pearstep.controller.write_fence import WriteFence
from pearstep.state.records import LeaseHolderRecord, RouteRecord
from pearstep.state.replica import Replica
from pearstep.transport.kv_client import CommitOutcome, CommitResult
from tests.world import FakeKeyValueStore


class FakeStateService:
    """The state service for one lease holder.

    ``outcomes`` lists how the next transactions end: executed and answered (``now``), executed without an
    answer (``unsaid``), left pending without an answer (``later``), or ``refused``.
    """

    def __init__(self):
        self.ledger, self.replica = FakeKeyValueStore(), Replica()
        self.ledger.txn({}, {"leader": LeaseHolderRecord("n0")})
        self.ledger.update_replica(self.replica)
        self.outcomes, self.pending, self.commit_count = [], [], 0

    async def commit(self, conditions, puts, deletes=None, urgency=0):
        self.commit_count += 1
        transaction = (conditions, {key: value for key, (value, _) in puts.items()}, deletes)
        outcome = self.outcomes.pop(0) if self.outcomes else "now"
        if outcome == "refused":
            return CommitResult(CommitOutcome.REFUSED)
        if outcome == "later":
            self.pending.append(transaction)
            return CommitResult(CommitOutcome.UNKNOWN)
        result = self.ledger.txn(*transaction)
        if outcome == "unsaid":
            return CommitResult(CommitOutcome.UNKNOWN)
        return (
            CommitResult(CommitOutcome.COMMITTED, result)
            if isinstance(result, int)
            else CommitResult(CommitOutcome.CONFLICT, 0, result)
        )

    async def read_barrier(self):
        self.ledger.update_replica(self.replica)
        return True

    def apply_own_commit(self, key, version, value):
        self.replica.put(key, version, msgspec.json.encode(value), 0)

    def fence(self):
        return WriteFence(
            self,
            self.replica,
            "leader",
            self.replica.version_of("leader"),
            self.apply_own_commit,
            self.read_barrier,
        )


def invalidate_pending_writes(fence, is_held=lambda: True):
    async def return_at_once(_):
        return None

    with mock.patch("pearstep.controller.write_fence.asyncio", SimpleNamespace(sleep=return_at_once)):
        return asyncio.run(fence.invalidate_pending_writes(is_held))


@given(st.lists(st.sampled_from(["now", "unsaid", "later", "refused"]), max_size=6), st.booleans())
def test_no_transaction_from_before_a_fence_write_is_executed_after_it(outcomes, is_executed):
    service = FakeStateService()
    fence = service.fence()
    route = RouteRecord("0-1")
    service.outcomes = ["later", *outcomes]
    outcome = asyncio.run(
        service.commit({**fence.preconditions(), "r/1/req-1": 0}, {"r/1/req-1": (route, None)})
    )
    assert outcome.state == CommitOutcome.UNKNOWN
    if is_executed:
        service.ledger.txn(*service.pending.pop())
    assert invalidate_pending_writes(fence)
    # The transaction was executed and the replica shows it, or it can no longer be executed.
    assert (service.replica.version_of("r/1/req-1") > 0) == is_executed
    keys_before = service.ledger.keys.copy()
    for transaction in service.pending:
        assert isinstance(service.ledger.txn(*transaction), list)
    assert service.ledger.keys == keys_before
    # The conditions of the next transaction hold.
    service.outcomes = []
    assert (
        asyncio.run(service.commit(fence.preconditions(), {"r/2/req-1": (route, None)})).state
        == CommitOutcome.COMMITTED
    )


def test_fence_write_is_repeated_only_if_it_was_not_executed():
    service = FakeStateService()
    service.outcomes = ["unsaid"]
    assert invalidate_pending_writes(service.fence()) and service.commit_count == 1
    service.outcomes = ["refused", "later", "now"]
    assert invalidate_pending_writes(service.fence()) and service.commit_count == 4


def test_replaced_holder_stops_waiting_and_writes_no_fence():
    service = FakeStateService()
    fence = service.fence()
    service.ledger.txn({}, {"leader": LeaseHolderRecord("n1")})
    is_held = lambda: service.replica.version_of("leader") == fence._claim["leader"]  # noqa: E731
    assert not invalidate_pending_writes(fence, is_held) and fence.key not in service.ledger.keys


def setup_with_late_writes(seed):
    return Setup(
        seed,
        3,
        1,
        8,
        10.0,
        1.0,
        load=0.8,
        run_s=(8.0, 40.0),
        calm_s=65.0,
        until_s=75.0,
        faults=[Fault("late_writes", 20.0, 40.0, share=0.35)],
    )


async def read_without_fence_write(self, is_held):
    """Bring the replica up to date without a fence write, as before fences existed."""
    while is_held() and not await self._read_barrier():
        await asyncio.sleep(0.2)
    return is_held()


def test_transactions_executed_after_newer_ones_start_no_task_twice():
    with mock.patch.object(WriteFence, "invalidate_pending_writes", read_without_fence_write):
        unfenced = [run(setup_with_late_writes(seed))[0] for seed in (10, 15)]
    assert any("ran_twice" in text for result in unfenced for text in result.broken)
    for seed in (10, 15):
        result, _ = run(setup_with_late_writes(seed))
        assert result.carried > 10 and result.broken == []
