"""What makes certain how a transaction without an answer ended, and the meeting that it is for in the rig."""

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


class Service:
    """The state service for one holder. ``ends``: how its next transactions end: carried out with an answer,
    without one, later, or refused.
    """

    def __init__(self):
        self.ledger, self.view = FakeKeyValueStore(), Replica()
        self.ledger.txn({}, {"leader": LeaseHolderRecord("n0")})
        self.ledger.update_replica(self.view)
        self.ends, self.pending, self.asked = [], [], 0

    async def commit(self, conditions, puts, deletes=None, urgency=0):
        self.asked += 1
        work = (conditions, {k: v for k, (v, _) in puts.items()}, deletes)
        how = self.ends.pop(0) if self.ends else "now"
        if how == "refused":
            return CommitResult(CommitOutcome.REFUSED)
        if how == "later":
            self.pending.append(work)
            return CommitResult(CommitOutcome.UNKNOWN)
        found = self.ledger.txn(*work)
        if how == "unsaid":
            return CommitResult(CommitOutcome.UNKNOWN)
        return (
            CommitResult(CommitOutcome.COMMITTED, found)
            if isinstance(found, int)
            else CommitResult(CommitOutcome.CONFLICT, 0, found)
        )

    async def fresh(self):
        self.ledger.update_replica(self.view)
        return True

    def applied(self, key, stamp, value):
        self.view.put(key, stamp, msgspec.json.encode(value), 0)

    def fence(self):
        return WriteFence(self, self.view, "leader", self.view.version_of("leader"), self.applied, self.fresh)


def close(fence, holds=lambda: True):
    async def now(_):
        return None

    with mock.patch("pearstep.controller.write_fence.asyncio", SimpleNamespace(sleep=now)):
        return asyncio.run(fence.close(holds))


@given(st.lists(st.sampled_from(["now", "unsaid", "later", "refused"]), max_size=6), st.booleans())
def test_nothing_sent_before_a_closed_fence_is_carried_out_after_it(ends, lands):
    s = Service()
    fence = s.fence()
    route = RouteRecord("0-1")
    s.ends = ["later", *ends]
    outcome = asyncio.run(s.commit({**fence.preconditions(), "r/1/req-1": 0}, {"r/1/req-1": (route, None)}))
    assert outcome.state == CommitOutcome.UNKNOWN
    if lands:
        s.ledger.txn(*s.pending.pop())
    assert close(fence)
    # It stands and is known, or it never will.
    assert (s.view.version_of("r/1/req-1") > 0) == lands
    before = s.ledger.keys.copy()
    for work in s.pending:
        assert isinstance(s.ledger.txn(*work), list)
    assert s.ledger.keys == before
    # What is written next finds its conditions.
    s.ends = []
    assert (
        asyncio.run(s.commit(fence.preconditions(), {"r/2/req-1": (route, None)})).state
        == CommitOutcome.COMMITTED
    )


def test_fence_without_an_answer_is_found_and_not_written_twice():
    s = Service()
    s.ends = ["unsaid"]
    assert close(s.fence()) and s.asked == 1
    s.ends = ["refused", "later", "now"]
    assert close(s.fence()) and s.asked == 4


def test_holder_that_was_replaced_stops_waiting():
    s = Service()
    fence = s.fence()
    s.ledger.txn({}, {"leader": LeaseHolderRecord("n1")})
    holds = lambda: s.view.version_of("leader") == fence._claim["leader"]  # noqa: E731
    assert not close(fence, holds) and fence.key not in s.ledger.keys


def late(seed):
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


async def read_only(self, holds):
    """What was done before: the replica is read anew, and that is all."""
    while holds() and not await self._read_barrier():
        await asyncio.sleep(0.2)
    return holds()


def test_transactions_carried_out_after_newer_ones_start_nothing_twice():
    with mock.patch.object(WriteFence, "close", read_only):
        unfenced = [run(late(seed))[0] for seed in (10, 15)]
    assert any("ran_twice" in text for r in unfenced for text in r.broken)
    for seed in (10, 15):
        result, _ = run(late(seed))
        assert result.carried > 10 and result.broken == []
