"""Two sites on loopback, linked by TLS: offloads over an interrupted link, refused peers, key rotation."""

import asyncio
import ssl

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstep.emulator.cloud import free_port
from pearstep.federation import handoff, peer_health
from pearstep.federation.coordinator import Coordinator
from pearstep.federation.handoff import Message
from pearstep.federation.ledger import JobMessage, OffloadLedger, ResourceAmounts
from pearstep.federation.link import MAX_ENVELOPE_BYTES, Envelope, Link, decode, encode
from pearstep.federation.offload_selection import Grant, PlannedOffer
from pearstep.federation.peer_health import HealthTimeouts
from tests.test_keys import site, trust

S = 1_000_000
NEED = ResourceAmounts(1.0, 0.0, 1.0)


def free_addr():
    return f"127.0.0.1:{free_port()}"


class Cluster:
    """A site with its coordinator, on the clock of the test."""

    def __init__(self, world, keys, name, other, addrs):
        self.world, self.name, self.other, self.keys = world, name, other, keys
        self.commits = 0
        self.is_unreachable = False
        self.link = Link(keys, {other: [addrs[other]]}, self.receive)
        host, _, port = addrs[name].rpartition(":")
        self.link.listen(host, int(port))
        self.fencing_token = 3
        self.coordinator = self.create_coordinator(
            OffloadLedger(self.fencing_token, {other: Grant(100, 0, 100)}, 30 * S)
        )

    def create_coordinator(self, ledger):
        return Coordinator(
            self.name,
            ledger,
            [self.other],
            HealthTimeouts(backoff_us=0),
            self.commit,
            self.send,
            lambda peer: ResourceAmounts(100, 0, 100),
            lambda: self.world.now,
            lambda: self.world.now,
        )

    async def receive(self, peer, envelope):
        if self.is_unreachable:
            raise ConnectionError("cut")
        return await self.coordinator.receive(peer, envelope)

    async def send(self, peer, envelope):
        return None if self.is_unreachable else await self.link.send(peer, envelope)

    async def commit(self, entry):
        self.commits += 1
        return True

    def take_over(self):
        """Replace the coordinator, as when another controller becomes leader."""
        origin_records, remote_records = (
            self.coordinator.ledger.origin_records,
            self.coordinator.ledger.remote_records,
        )
        self.fencing_token += 1
        ledger = OffloadLedger(self.fencing_token, {self.other: Grant(100, 0, 100)}, 30 * S)
        ledger.load(origin_records, remote_records)
        self.coordinator = self.create_coordinator(ledger)


class World:
    def __init__(self, tmp_path):
        self.now = 0
        keys = {n: site(tmp_path, n) for n in ("huye", "nyarugenge")}
        trust(keys["huye"], keys["nyarugenge"])
        trust(keys["nyarugenge"], keys["huye"])
        addrs = {n: free_addr() for n in keys}
        self.origin = Cluster(self, keys["huye"], "huye", "nyarugenge", addrs)
        self.remote = Cluster(self, keys["nyarugenge"], "nyarugenge", "huye", addrs)

    async def steps(self, count):
        for _ in range(count):
            self.now += S
            for cluster in (self.origin, self.remote):
                await cluster.coordinator.step()

    async def finish_remote_tasks(self):
        """Finish all tasks that the remote cluster may run."""
        ledger = self.remote.coordinator.ledger
        for (peer, job), record in list(ledger.remote_records.items()):
            if record.offload.startable:
                await self.remote.coordinator.apply(
                    ledger.change_remote(peer, job, handoff.task_done_at_remote(record.offload, 0))
                )


def play(scenario, tmp_path):
    async def run():
        await scenario(World(tmp_path))

    asyncio.run(asyncio.wait_for(run(), 60))


async def offer_jobs(world, *refs):
    for ref in refs:
        assert await world.origin.coordinator.apply(
            world.origin.coordinator.ledger.offer(ref, 1, NEED, PlannedOffer(ref, "nyarugenge", 1), 0, False)
        )


def states(world):
    return {j: b.offload.state for j, b in world.origin.coordinator.ledger.origin_records.items()}


def test_offloads_over_the_link_end_with_one_final_state(tmp_path):
    async def scenario(world):
        await world.steps(4)
        assert (
            world.origin.coordinator.peers["nyarugenge"].state
            == world.remote.coordinator.peers["huye"].state
            == peer_health.UP
        )
        await offer_jobs(world, "req-1", "req-2")
        await world.steps(1)
        assert set(states(world).values()) == {handoff.GRANTED}
        assert [b.offload.state for b in world.remote.coordinator.ledger.remote_records.values()] == [
            handoff.HOLDING
        ] * 2
        await world.finish_remote_tasks()
        await world.steps(2)
        assert all(
            b.offload.final_state == "done" for b in world.origin.coordinator.ledger.origin_records.values()
        )
        assert all(
            b.offload.state == handoff.NO_OFFLOAD
            for b in world.remote.coordinator.ledger.remote_records.values()
        )
        # Each offload takes three commits at the origin and four at the remote cluster.
        assert (world.origin.commits, world.remote.commits) == (6, 8)

    play(scenario, tmp_path)


def test_an_interrupted_link_and_a_takeover_neither_lose_nor_repeat_tasks(tmp_path):
    async def scenario(world):
        await world.steps(4)
        await offer_jobs(world, "req-1", "req-2", "req-3")
        await world.steps(1)
        world.origin.is_unreachable = True
        await world.finish_remote_tasks()
        await world.steps(17)
        assert world.origin.coordinator.peers["nyarugenge"].state == peer_health.UNREACHABLE
        # A user cancels one job meanwhile, which has no final state before the remote cluster has answered.
        ledger = world.origin.coordinator.ledger
        await world.origin.coordinator.apply(
            ledger.change_origin("req-3", handoff.cancel(ledger.origin_records["req-3"].offload))
        )
        assert (
            states(world)["req-3"] == handoff.RECALLING
            and not ledger.origin_records["req-3"].offload.final_state
        )
        world.origin.take_over()
        world.remote.take_over()
        world.origin.is_unreachable = False
        await world.steps(6)
        origin_records = world.origin.coordinator.ledger.origin_records
        # The remote cluster had finished all jobs before it received the cancellation, so that they are done.
        assert {b.offload.final_state for b in origin_records.values()} == {"done"}
        assert world.origin.coordinator.peers["nyarugenge"].state == peer_health.UP

    play(scenario, tmp_path)


def test_keys_rotate_during_a_handoff_and_a_revoked_peer_is_refused(tmp_path):
    async def scenario(world):
        await world.steps(4)
        await offer_jobs(world, "req-1")
        old = world.origin.keys.show()[0]
        world.origin.keys.issue()
        world.remote.keys.issue()
        assert (
            world.origin.link.reload_keys()
            and world.remote.link.reload_keys()
            and not world.remote.link.reload_keys()
        )
        await world.steps(1)
        assert states(world)["req-1"] == handoff.GRANTED
        world.origin.keys.revoke(old.serial)
        new = [i for i in world.origin.keys.show() if i.state == "current"]
        world.origin.keys.revoke(new[0].serial)
        trust(world.remote.keys, world.origin.keys)
        await world.finish_remote_tasks()
        refused = world.remote.link.refused
        last_answer_us = world.remote.coordinator.peers["huye"].last_answer_us
        world.now += S
        await world.origin.coordinator.step()
        assert (
            world.remote.link.refused > refused
            and world.remote.coordinator.peers["huye"].last_answer_us == last_answer_us
        )
        assert (
            states(world)["req-1"] == handoff.GRANTED
        )  # no message ends it, and no task starts at the origin
        world.origin.keys.issue()
        await world.steps(4)
        assert world.origin.coordinator.ledger.origin_records["req-1"].offload.final_state == "done"

    play(scenario, tmp_path)


def test_an_entry_that_is_not_committed_sends_nothing(tmp_path):
    async def scenario(world):
        await world.steps(4)

        async def refuse(entry):
            return False

        world.origin.coordinator._commit = refuse
        ledger = world.origin.coordinator.ledger
        assert not await world.origin.coordinator.apply(
            ledger.offer("req-1", 1, NEED, PlannedOffer("req-1", "nyarugenge", 1), 0, False)
        )
        await world.steps(2)
        assert not ledger.origin_records and not world.remote.coordinator.ledger.remote_records

    play(scenario, tmp_path)


MESSAGE_KINDS = st.sampled_from([handoff.OFFER, handoff.GRANT, handoff.RESULT, "a later kind"])
TASK_MASKS = st.integers(0, 2**40)
JOB_MESSAGES = st.builds(
    JobMessage,
    st.text(max_size=10),
    st.builds(Message, MESSAGE_KINDS, st.integers(0, 2**62), TASK_MASKS, TASK_MASKS, st.booleans()),
)


@given(st.lists(JOB_MESSAGES, max_size=5), st.booleans(), st.binary(max_size=60))
def test_envelopes_round_trip_and_other_bytes_are_refused(items, whole, garbage):
    envelope = Envelope(1, "huye", items, whole)
    assert decode(encode(envelope)) == envelope
    try:
        decode(garbage)
    except ValueError as err:
        assert "envelope" in str(err) or "version" in str(err)
    with pytest.raises(ValueError, match="at most"):
        decode(bytes(MAX_ENVELOPE_BYTES + 1))


def test_an_untrusted_site_cannot_send_an_envelope(tmp_path):
    async def scenario(world):
        stranger = site(tmp_path, "stranger")
        trust(stranger, world.remote.keys)
        addr = world.origin.link.peers["nyarugenge"][0]

        async def unexpected_receive(peer, envelope):
            raise AssertionError("the stranger was answered")

        link = Link(stranger, {"nyarugenge": [addr]}, unexpected_receive)
        assert await link.send("nyarugenge", Envelope(1, "stranger", [])) is None
        # An envelope that names another site than the certificate is refused.
        assert await world.origin.link.send("nyarugenge", Envelope(1, "nyarugenge", [])) is None
        assert world.remote.link.refused == 1 and ssl.HAS_TLSv1_3

    play(scenario, tmp_path)
