"""Two sites on loopback, linked by TLS: loans over a link that is cut, whoever is refused, keys rotated
meanwhile.
"""

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
    """A site with its desk; time is the test's."""

    def __init__(self, world, keys, name, other, addrs):
        self.world, self.name, self.other, self.keys = world, name, other, keys
        self.commits = 0
        self.cut = False
        self.link = Link(keys, {other: [addrs[other]]}, self.hear)
        host, _, port = addrs[name].rpartition(":")
        self.link.listen(host, int(port))
        self.stamp = 3
        self.coordinator = self.open(OffloadLedger(self.stamp, {other: Grant(100, 0, 100)}, 30 * S))

    def open(self, books):
        return Coordinator(
            self.name,
            books,
            [self.other],
            HealthTimeouts(backoff_us=0),
            self.commit,
            self.send,
            lambda peer: ResourceAmounts(100, 0, 100),
            lambda: self.world.now,
            lambda: self.world.now,
        )

    async def hear(self, peer, envelope):
        if self.cut:
            raise ConnectionError("cut")
        return await self.coordinator.receive(peer, envelope)

    async def send(self, peer, envelope):
        return None if self.cut else await self.link.send(peer, envelope)

    async def commit(self, entry):
        self.commits += 1
        return True

    def crash(self):
        """Another controller takes the desk over."""
        home, guest = self.coordinator.ledger.origin_records, self.coordinator.ledger.remote_records
        self.stamp += 1
        books = OffloadLedger(self.stamp, {self.other: Grant(100, 0, 100)}, 30 * S)
        books.load(home, guest)
        self.coordinator = self.open(books)


class World:
    def __init__(self, tmp_path):
        self.now = 0
        keys = {n: site(tmp_path, n) for n in ("huye", "nyarugenge")}
        trust(keys["huye"], keys["nyarugenge"])
        trust(keys["nyarugenge"], keys["huye"])
        addrs = {n: free_addr() for n in keys}
        self.a = Cluster(self, keys["huye"], "huye", "nyarugenge", addrs)
        self.b = Cluster(self, keys["nyarugenge"], "nyarugenge", "huye", addrs)

    async def steps(self, count):
        for _ in range(count):
            self.now += S
            for cluster in (self.a, self.b):
                await cluster.coordinator.step()

    async def finish(self):
        """The guest does all that it may."""
        books = self.b.coordinator.ledger
        for (peer, job), book in list(books.remote_records.items()):
            if book.offload.startable:
                await self.b.coordinator.apply(
                    books.change_remote(peer, job, handoff.task_done_at_remote(book.offload, 0))
                )


def play(scenario, tmp_path):
    async def run():
        await scenario(World(tmp_path))

    asyncio.run(asyncio.wait_for(run(), 60))


async def lend(world, *refs):
    for ref in refs:
        assert await world.a.coordinator.apply(
            world.a.coordinator.ledger.offer(ref, 1, NEED, PlannedOffer(ref, "nyarugenge", 1), 0, False)
        )


def states(world):
    return {j: b.offload.state for j, b in world.a.coordinator.ledger.origin_records.items()}


def test_loans_go_over_the_link_and_come_to_one_answer(tmp_path):
    async def scenario(world):
        await world.steps(4)
        assert (
            world.a.coordinator.peers["nyarugenge"].state
            == world.b.coordinator.peers["huye"].state
            == peer_health.UP
        )
        await lend(world, "req-1", "req-2")
        await world.steps(1)
        assert set(states(world).values()) == {handoff.GRANTED}
        assert [b.offload.state for b in world.b.coordinator.ledger.remote_records.values()] == [
            handoff.HOLDING
        ] * 2
        await world.finish()
        await world.steps(2)
        assert all(
            b.offload.final_state == "done" for b in world.a.coordinator.ledger.origin_records.values()
        )
        assert all(
            b.offload.state == handoff.NO_OFFLOAD for b in world.b.coordinator.ledger.remote_records.values()
        )
        # Three records written at home for each loan, four at the guest.
        assert (world.a.commits, world.b.commits) == (6, 8)

    play(scenario, tmp_path)


def test_a_link_cut_after_the_handoff_and_a_takeover_lose_and_double_nothing(tmp_path):
    async def scenario(world):
        await world.steps(4)
        await lend(world, "req-1", "req-2", "req-3")
        await world.steps(1)
        world.a.cut = True
        await world.finish()
        await world.steps(17)
        assert world.a.coordinator.peers["nyarugenge"].state == peer_health.UNREACHABLE
        # Its user cancels one meanwhile: that is not settled before the guest has answered.
        books = world.a.coordinator.ledger
        await world.a.coordinator.apply(
            books.change_origin("req-3", handoff.cancel(books.origin_records["req-3"].offload))
        )
        assert (
            states(world)["req-3"] == handoff.RECALLING
            and not books.origin_records["req-3"].offload.final_state
        )
        world.a.crash()
        world.b.crash()
        world.a.cut = False
        await world.steps(6)
        home = world.a.coordinator.ledger.origin_records
        # The guest had finished all of them before it heard of anything: that is the answer.
        assert {b.offload.final_state for b in home.values()} == {"done"}
        assert world.a.coordinator.peers["nyarugenge"].state == peer_health.UP

    play(scenario, tmp_path)


def test_keys_are_rotated_in_the_middle_of_a_handoff_and_a_revoked_peer_is_refused(tmp_path):
    async def scenario(world):
        await world.steps(4)
        await lend(world, "req-1")
        old = world.a.keys.show()[0]
        world.a.keys.issue()
        world.b.keys.issue()
        assert world.a.link.reload_keys() and world.b.link.reload_keys() and not world.b.link.reload_keys()
        await world.steps(1)
        assert states(world)["req-1"] == handoff.GRANTED
        world.a.keys.revoke(old.serial)
        new = [i for i in world.a.keys.show() if i.state == "current"]
        world.a.keys.revoke(new[0].serial)
        trust(world.b.keys, world.a.keys)
        await world.finish()
        refused = world.b.link.refused
        heard = world.b.coordinator.peers["huye"].last_answer_us
        world.now += S
        await world.a.coordinator.step()
        assert world.b.link.refused > refused and world.b.coordinator.peers["huye"].last_answer_us == heard
        assert (
            states(world)["req-1"] == handoff.GRANTED
        )  # nobody's word ends it, and nothing is started at home
        world.a.keys.issue()
        await world.steps(4)
        assert world.a.coordinator.ledger.origin_records["req-1"].offload.final_state == "done"

    play(scenario, tmp_path)


def test_an_entry_that_does_not_stand_permits_nothing(tmp_path):
    async def scenario(world):
        await world.steps(4)

        async def refuse(entry):
            return False

        world.a.coordinator._commit = refuse
        books = world.a.coordinator.ledger
        assert not await world.a.coordinator.apply(
            books.offer("req-1", 1, NEED, PlannedOffer("req-1", "nyarugenge", 1), 0, False)
        )
        await world.steps(2)
        assert not books.origin_records and not world.b.coordinator.ledger.remote_records

    play(scenario, tmp_path)


KINDS = st.sampled_from([handoff.OFFER, handoff.GRANT, handoff.RESULT, "a later kind"])
ROWS = st.integers(0, 2**40)
SAID = st.builds(
    JobMessage,
    st.text(max_size=10),
    st.builds(Message, KINDS, st.integers(0, 2**62), ROWS, ROWS, st.booleans()),
)


@given(st.lists(SAID, max_size=5), st.booleans(), st.binary(max_size=60))
def test_envelopes_are_read_as_written_and_anything_else_is_refused(items, whole, junk):
    envelope = Envelope(1, "huye", items, whole)
    assert decode(encode(envelope)) == envelope
    try:
        decode(junk)
    except ValueError as err:
        assert "envelope" in str(err) or "version" in str(err)
    with pytest.raises(ValueError, match="at most"):
        decode(bytes(MAX_ENVELOPE_BYTES + 1))


def test_a_stranger_does_not_get_as_far_as_an_envelope(tmp_path):
    async def scenario(world):
        stranger = site(tmp_path, "stranger")
        trust(stranger, world.b.keys)
        addr = world.a.link.peers["nyarugenge"][0]

        async def nobody(peer, envelope):
            raise AssertionError("the stranger was answered")

        link = Link(stranger, {"nyarugenge": [addr]}, nobody)
        assert await link.send("nyarugenge", Envelope(1, "stranger", [])) is None
        # A peer that speaks in another's name is refused, whatever its certificate.
        assert await world.a.link.send("nyarugenge", Envelope(1, "nyarugenge", [])) is None
        assert world.b.link.refused == 1 and ssl.HAS_TLSv1_3

    play(scenario, tmp_path)
