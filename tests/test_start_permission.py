"""Starts are sent only while no confirmed cancellation can be missing in the owner's replica.

The simulated isolation of an owner is tested in ``test_cancelling``.
"""

import asyncio
import inspect
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.controller.agent_gateway import AgentGateway
from pearstep.controller.start_permission import StartPermission
from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.staleness import NEVER_US, StalenessBound
from pearstep.failure_detection.timeouts import (
    AGENT_ANSWER_TIMEOUT_US,
    CANCELLATION_BROADCAST_US,
    CLOCK_DRIFT_DIVISOR,
    MAX_START_STALENESS_US,
)
from pearstep.state.records import JobRecord
from pearstep.transport.kv_client import READ_TIMEOUT_S
from tests.world import ShardHarness, spec

MACHINE, TASK = "m0", "req-1/0"
STALE_S = MAX_START_STALENESS_US / SECOND_US + 0.1


class RecordingAgent:
    """An HTTP client that keeps the direct commands it sends, and gets no answer to any of them."""

    def __init__(self):
        self.sent = []
        # Called when the connection is open, before the request is sent.
        self.on_connected = lambda: None

    async def fetch(self, addr, method, path, body=None, timeout_s=4.0):
        self.on_connected()
        content = body() if callable(body) else body
        self.sent += [order["verb"] for order in msgspec.json.decode(content)["orders"]]
        return 0, b""


class OwnerWithPeer:
    """A gateway with a placed task, in a cluster of two controllers; the replica has just been read."""

    def __init__(self):
        self.world = ShardHarness()
        self.world.place_one()
        self.state_answers = True
        self.kv_unavailable = False
        self.reads = 0
        self.bound = StalenessBound(20 * SECOND_US, ["n1"], self.now())
        self.agent = RecordingAgent()
        self.owners = {0: self.world.owner}
        self.gateway = AgentGateway(
            self.agent, self.world.replica, self.owners, "n0", 1, [], self.now, self.now, lambda: None
        )
        self.gateway.kv_unavailable = self.is_kv_unavailable
        self.gateway.start_permission = StartPermission(
            self.bound, self.read_barrier, self.is_kv_unavailable, self.now
        )

    def now(self):
        return self.world.now

    def is_kv_unavailable(self):
        return self.kv_unavailable

    async def read_barrier(self):
        self.reads += 1
        if self.state_answers:
            sent_us = self.now()
            self.world.catch_up()
            self.bound.read_completed(sent_us)
        return self.state_answers

    def heartbeat(self):
        """Deliver a heartbeat without tasks; return the status and the actions of its answer."""
        self.world.last_sequences[MACHINE] += 1
        message = {
            "tree": MACHINE,
            "address": "127.0.0.1:1",
            "breed": "small",
            "plot": "a",
            "windfall": False,
            "tenure": 1,
            "tally": self.world.last_sequences[MACHINE],
            "warrant": self.world.owner.fencing_token,
            "warningS": None,
            "parcels": [],
        }
        request = SimpleNamespace(method="POST", body=msgspec.json.encode(message))

        async def answer():
            found = self.gateway.handle_heartbeat(request)
            return await found if inspect.isawaitable(found) else found

        status, body, _ = asyncio.run(answer())
        return status, [order["verb"] for order in msgspec.json.decode(body).get("orders", ())]

    def send(self, actions, confirmed_at_us=NEVER_US, before_requests=lambda: None):
        """Send the commands of some actions; ``before_requests`` is called before the requests begin."""

        async def send():
            self.gateway.send_commands(self.world.owner, actions, confirmed_at_us)
            before_requests()
            await asyncio.sleep(0)

        asyncio.run(send())

    def place_another(self):
        """Place a task of a second job at a time at which the latest read is old; return its start."""
        self.world.submit(spec("req-2", tasks=1))
        self.world.advance_clock(STALE_S)
        actions = self.world.run_and_commit()
        assert self.world.starts(actions)
        return actions

    def cancel_elsewhere(self):
        """Cancel the job through the other controller, which is not reached by this one."""
        cancelled = JobRecord(spec(tasks=1), self.now(), JobState.CANCELLED, self.now())
        self.world.ledger.txn({}, {"j/req-1": cancelled})


def test_heartbeat_answer_contains_a_start_without_a_read_while_the_replica_is_fresh():
    owner = OwnerWithPeer()
    assert owner.heartbeat() == (200, ["run"]) and owner.reads == 0


def test_heartbeat_answer_waits_for_a_read_before_a_start_if_the_replica_is_old():
    owner = OwnerWithPeer()
    owner.world.advance_clock(STALE_S)
    assert owner.heartbeat() == (200, ["run"]) and owner.reads == 1


def test_start_is_not_sent_for_a_cancellation_that_only_the_read_shows():
    owner = OwnerWithPeer()
    owner.cancel_elsewhere()
    owner.world.advance_clock(STALE_S)
    status, verbs = owner.heartbeat()
    assert status == 200 and "run" not in verbs and owner.reads == 1


def test_heartbeat_is_answered_without_a_start_if_the_read_fails():
    owner = OwnerWithPeer()
    owner.state_answers = False
    owner.world.advance_clock(STALE_S)
    assert owner.heartbeat() == (200, []) and owner.reads == 1
    # Once the state service is known to be unavailable, answers do not wait for reads any more.
    owner.kv_unavailable = True
    assert owner.heartbeat() == (200, []) and owner.reads == 1
    owner.kv_unavailable, owner.state_answers = False, True
    assert owner.heartbeat() == (200, ["run"])


def test_heartbeat_without_a_start_to_send_needs_no_read():
    owner = OwnerWithPeer()
    assert owner.heartbeat() == (200, ["run"])
    owner.world.report(MACHINE, (TASK, 1, "running"))
    owner.world.advance_clock(STALE_S)
    status, verbs = owner.heartbeat()
    assert status == 200 and "run" not in verbs and owner.reads == 0


def test_heartbeat_that_waited_while_the_shard_was_lost_gets_no_commands():
    owner = OwnerWithPeer()
    owner.world.advance_clock(STALE_S)
    read = owner.read_barrier

    async def read_that_shows_another_holder():
        owner.owners.clear()
        return await read()

    owner.gateway.start_permission = StartPermission(
        owner.bound, read_that_shows_another_holder, owner.is_kv_unavailable, owner.now
    )
    assert owner.heartbeat() == (503, [])


@pytest.mark.parametrize(("answer_took_s", "verbs"), [(0.01, ["run"]), (STALE_S, [])])
def test_direct_start_needs_a_commit_that_was_sent_recently(answer_took_s, verbs):
    # The answer to the placement's commit may come after the cancellation was confirmed.
    owner = OwnerWithPeer()
    actions = owner.place_another()
    sent_at_us = owner.now()
    owner.world.advance_clock(answer_took_s)
    owner.send(actions, sent_at_us)
    assert owner.agent.sent == verbs


@pytest.mark.parametrize("trouble", ["cancelled", "cut off", "none"])
def test_direct_start_that_waited_for_its_connection_is_judged_when_it_is_sent(trouble):
    # A request waits for others to end and for its connection; users may be told of a cancellation meanwhile.
    owner = OwnerWithPeer()
    actions = owner.place_another()

    def wait_for_the_connection():
        if trouble == "cancelled":
            owner.world.put("j/req-2", JobRecord(spec("req-2", tasks=1), 0, JobState.CANCELLED, 0))
        elif trouble == "cut off":
            owner.world.advance_clock(STALE_S)

    owner.agent.on_connected = wait_for_the_connection
    owner.send(actions, owner.now())
    assert owner.agent.sent == (["run"] if trouble == "none" else [])
    # A start that was not sent cannot arrive later, so nothing has to wait for it.
    unanswered = owner.world.owner.machines[MACHINE].unanswered_starts
    assert (("req-2/0", 1) in unanswered) == (trouble == "none")


@pytest.mark.parametrize("waits_for", ["its turn", "its connection"])
def test_direct_start_of_an_attempt_that_ended_with_its_session_is_not_sent_to_the_next(waits_for):
    owner = OwnerWithPeer()
    actions = owner.place_another()

    def begin_session():
        owner.world.report(MACHINE, session=2)

    if waits_for == "its connection":
        owner.agent.on_connected = begin_session
    owner.send(actions, owner.now(), begin_session if waits_for == "its turn" else lambda: None)
    assert owner.agent.sent == []
    assert not owner.world.owner.machines[MACHINE].unanswered_starts


def test_commands_other_than_starts_are_sent_without_a_permission():
    owner = OwnerWithPeer()
    machine = owner.world.owner.machines[MACHINE]
    owner.world.advance_clock(STALE_S)
    actions = owner.world.run_pass()
    owner.world.owner.stop(next(iter(machine.attempts.values())), 0, owner.now(), actions)
    owner.send(actions)
    assert "halt" in owner.agent.sent and "run" not in owner.agent.sent


def test_permission_ends_before_a_missed_cancellation_is_confirmed():
    drift_us = CANCELLATION_BROADCAST_US // CLOCK_DRIFT_DIVISOR
    assert MAX_START_STALENESS_US + 2 * drift_us < CANCELLATION_BROADCAST_US
    # A read that succeeds permits starts, however slow it was.
    assert READ_TIMEOUT_S * SECOND_US <= MAX_START_STALENESS_US


def test_answers_of_peers_do_not_permit_starts():
    # They list cancellations of all jobs, but those of jobs that this node has not read yet are not kept.
    bound = StalenessBound(20 * SECOND_US, ["n1"], 0)
    bound.record_peer_answer("n1", 10 * SECOND_US, 10 * SECOND_US, None)
    assert not bound.allows_starts(10 * SECOND_US)
    bound.read_completed(10 * SECOND_US)
    assert bound.allows_starts(10 * SECOND_US + MAX_START_STALENESS_US)
    assert not bound.allows_starts(10 * SECOND_US + MAX_START_STALENESS_US + 1)
    assert StalenessBound(20 * SECOND_US, [], 0).allows_starts(1 << 60)


def test_read_that_does_not_end_delays_an_answer_by_less_than_the_agent_waits():
    async def renew():
        endless = asyncio.get_running_loop().create_future()
        bound = StalenessBound(20 * SECOND_US, ["n1"], -10 * SECOND_US)
        permission = StartPermission(bound, lambda: endless, lambda: False, lambda: 0)
        permission.max_wait_us = 1000
        assert not await permission.renew()
        # Other callers that wait for the same read still get its result.
        assert not endless.cancelled()

    asyncio.run(renew())
    bound = StalenessBound(20 * SECOND_US, ["n1"], 0)
    permission = StartPermission(bound, lambda: None, lambda: False, lambda: 0)
    assert permission.max_wait_us < AGENT_ANSWER_TIMEOUT_US
