"""Loans of work that may run twice: the guest has surely stopped before home takes them back, whatever the
link, the clocks and either side's controllers do; and what an owner does at a term's end.
"""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from pearstep.domain.units import SECOND_US
from pearstep.federation import handoff
from pearstep.federation.handoff import Message, OriginOffload, RemoteOffload
from pearstep.federation.ledger import (
    JobMessage,
    LedgerEntry,
    OffloadLedger,
    OriginRecord,
    RemoteRecord,
    ResourceAmounts,
)
from pearstep.federation.link import Envelope, decode, encode
from pearstep.federation.offload_selection import Grant, PlannedOffer
from pearstep.federation.terms import Term
from pearstep.federation.writes import borrowed_rec, guest_writes, local_ref
from pearstep.state.records import JobRecord
from tests.test_lending import Cluster
from tests.world import World, spec

TERM, LEASE, MARGIN = 200 * SECOND_US, 16 * SECOND_US, 5 * SECOND_US
NEED = ResourceAmounts(1.0, 0.0, 1.0)


def test_owners_stop_what_is_past_its_time_though_nothing_can_be_written():
    world = World()
    world.machine("m0")
    world.submit(spec(tasks=2))
    rec = JobRecord(spec(tasks=2), world.now, run_until_us=world.now + 30 * SECOND_US)
    world.put("j/req-1", rec)
    starts = world.starts(world.run())
    assert len(starts) == 2
    tasks = [(name, n, "running") for _, name, n in sorted(starts)]
    world.report("m0", *tasks)
    world.later(29)
    assert not [o for o in world.report("m0", *tasks) if o[0] == "stop"]
    world.later(1)
    # No commit from here on: the state service is away. The owner goes on answering, and says stop.
    world.step()
    orders = world.report("m0", *tasks)
    assert sorted(o[:2] for o in orders if o[0] == "stop") == [("stop", "req-1/0"), ("stop", "req-1/1")]
    assert all(grace == 3.0 for op, _, _, grace in orders if op == "stop")  # time to save, and the way


def test_nothing_is_begun_after_its_time_and_a_renewal_gives_more():
    world = World()
    world.machine("m0")
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, run_until_us=world.now))
    from pearstep.state.records import RouteRecord

    world.put("r/0/req-1", RouteRecord("0"))
    assert not world.starts(world.run())
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, run_until_us=world.now + 9 * SECOND_US))
    assert world.starts(world.run())
    # Its end says nothing of the time; another time, later or sooner, counts at once.
    job = world.view.jobs["req-1"]
    job.update(JobRecord(spec(tasks=1), world.now), job.version, world.now)
    assert job.run_until_us == world.now + 9 * SECOND_US
    job.update(JobRecord(spec(tasks=1), world.now, run_until_us=world.now), job.version, world.now)
    assert job.past_run_limit(world.now)


def test_a_renewal_reaches_the_owners_in_the_step_that_writes_it():
    there = Cluster()
    one = spec(job_id="req-5", kind="array", tasks=4)
    book = RemoteRecord(RemoteOffload(handoff.HOLDING, 9, 0b11, highest_number=9), NEED, 100, one, TERM)
    there.put("g/huye/req-5", book)
    rec = borrowed_rec("huye", "req-5", book, 100, 500)
    assert rec.run_until_us == 500 and borrowed_rec("huye", "req-5", book, 500, 500) is None
    there.put("j/lent-huye-5-9", rec)
    after = msgspec.structs.replace(book, since_us=300)
    entry = LedgerEntry("g/huye/req-5", book, after, "huye", [])
    assert there.write(guest_writes(there.view, "huye", "req-5", entry, 301, 700))
    job = there.view.jobs["lent-huye-5-9"]
    assert job.run_until_us == 700 and job.done_tasks == 0b1100 and not job.is_final
    # Beside a stop only one of the two stands.
    again = LedgerEntry("g/huye/req-5", after, msgspec.structs.replace(after, since_us=400), "huye", [])
    late = guest_writes(there.view, "huye", "req-5", again, 401, 800)
    given_back = msgspec.structs.replace(after, offload=handoff.begin_return(after.offload))
    stop = LedgerEntry("g/huye/req-5", after, given_back, "huye", [])
    assert there.write(guest_writes(there.view, "huye", "req-5", stop, 402)) and not there.write(late)
    assert job.is_final and job.run_until_us == 700


def test_an_offer_whose_term_leaves_no_time_is_refused():
    cases = ((TERM, True, True), (30 * SECOND_US, True, False), (0, True, False), (0, False, True))
    for term_us, rerunnable, taken in cases:
        books = OffloadLedger(1, {"huye": Grant(9, 9, 9)}, 30 * SECOND_US, LEASE, MARGIN)
        said = JobMessage("req-1", Message(handoff.OFFER, 5, 1, rerunnable=rerunnable), NEED, spec(), term_us)
        found = books.receive("huye", said, ResourceAmounts(9, 9, 9), 7)
        if taken:
            assert isinstance(found, LedgerEntry) and found.after.offload.state == handoff.RESERVED
        else:
            assert [s.message.kind for s in found] == [handoff.REFUSE], (term_us, rerunnable)


class Side:
    """One site's clock (time of day, which drifts) and books."""

    def __init__(self, drift, offset, grants):
        self.drift, self.offset = drift, offset
        self.books = OffloadLedger(3, grants, 10**15, LEASE, MARGIN)

    def wall(self, now):
        return int(now * (1 + self.drift)) + self.offset


class Pair:
    def __init__(self, drift):
        self.now = 0
        self.home = Side(drift, 0, {})
        self.there = Side(-drift, 10**9, {"huye": Grant(100, 100, 100)})
        self.channel = []
        self.job = spec(job_id="req-1", kind="array", tasks=1, save_us=4 * SECOND_US)
        # The guest's side of the truth: until when tasks may run at the latest, if they ran at all.
        self.runs_until = None

    def write(self, side, entry):
        said = side.books.apply_commit(entry, side.wall(self.now))
        self.channel += [(side is self.home, s) for s in said]

    def deliver(self, index):
        from_home, said = self.channel[index % len(self.channel)]
        side = self.there if from_home else self.home
        peer = "huye" if from_home else "kigali"
        out = side.books.receive(peer, said, ResourceAmounts(100, 100, 100), side.wall(self.now))
        if isinstance(out, LedgerEntry):
            self.write(side, out)
        else:
            self.channel += [(side is self.home, s) for s in out]

    def guest(self):
        return self.there.books.remote_records.get(("huye", "req-1"))

    def owners_serve(self):
        """Owners that know the records as they are now answer a worker: it lives a lease longer, unless its
        time is over, when it is told to stop with time to save.
        """
        book = self.guest()
        if book is None or book.offload.state != handoff.HOLDING:
            return
        until = self.there.books.run_until_us(book)
        if self.there.wall(self.now) < until:
            self.runs_until = max(self.runs_until or 0, self.now + int(LEASE * 1.0005))

    def take_back(self):
        book = self.home.books.origin_records.get("req-1")
        if book is not None and self.home.books.term_has_ended(book, self.home.wall(self.now)):
            entry = self.home.books.change_origin("req-1", handoff.take_back_after_term(book.offload))
            self.write(self.home, entry)
            if self.runs_until is not None:
                # What was answered last, and what it then needs to save and to be noticed.
                assert self.now >= self.runs_until + self.job.save_us, (self.now, self.runs_until)

    def edge(self, guest):
        """Go on to the last moment at which the guest may run, or to the first at which home may take
        back.
        """
        book, home = self.guest(), self.home.books.origin_records["req-1"]
        if guest and book is not None and book.offload.state == handoff.HOLDING:
            target = self.there.books.run_until_us(book) - 1
            side, at = self.there, target
        elif not guest and home.offload.state in (handoff.GRANTED, handoff.RECALLING):
            side, at = self.home, home.since_us + self.home.books.term(home).take_back_us
        else:
            return
        while side.wall(self.now) < at:
            self.now += max(int((at - side.wall(self.now)) * 0.999), 1)


STEPS = st.sampled_from(["any", "last", "last", "wait", "serve", "edge", "renew", "say", "back", "end"])


@settings(max_examples=400, deadline=None)
@given(
    st.sampled_from([-0.0005, 0.0, 0.0005]),
    st.lists(st.integers(0, 20 * SECOND_US), min_size=3, max_size=3),
    st.lists(st.tuples(st.integers(0, 20 * SECOND_US), st.integers(0, 20 * SECOND_US)), max_size=2),
    st.lists(st.tuples(STEPS, st.integers(0, 10**6)), max_size=40),
)
def test_the_guest_has_stopped_before_home_takes_it_back(drift, delays, renewals, steps):
    pair = Pair(drift)
    lend = pair.home.books.offer(
        "req-1", 1, NEED, PlannedOffer("req-1", "kigali", 1), 0, True, pair.job, TERM
    )
    pair.write(pair.home, lend)
    # The handoff, each message late: home hears of the acceptance long after the guest began to count.
    for delay in delays:
        pair.now += delay
        pair.deliver(len(pair.channel) - 1)
    # Renewals, asked for and answered as late.
    for asked, told in renewals:
        pair.now += TERM // 2
        said = pair.there.books.renewal_request("huye", "req-1", pair.there.wall(pair.now))
        if said is not None:
            pair.channel.append((False, said))
            for delay in (asked, told):
                pair.now += delay
                pair.deliver(len(pair.channel) - 1)
    for what, pick in steps:
        if what == "any":
            pair.deliver(pick)  # any message that was ever sent, at any time, as often as one likes
        elif what == "last":
            pair.deliver(len(pair.channel) - 1)
        elif what == "wait":
            pair.now += pick % (60 * SECOND_US)
        elif what == "serve":
            pair.owners_serve()
        elif what == "edge":
            pair.edge(guest=True)
            pair.owners_serve()
        elif what == "renew":
            said = pair.there.books.renewal_request("huye", "req-1", pair.there.wall(pair.now))
            if said is not None:
                pair.channel.append((False, said))
        elif what == "say":
            book, offload = pair.guest(), pair.home.books.origin_records["req-1"].offload
            pair.channel += [
                (True, JobMessage("req-1", m, NEED, pair.job, TERM)) for m in handoff.origin_messages(offload)
            ]
            pair.channel += [
                (False, JobMessage("req-1", m))
                for m in (handoff.remote_messages(book.offload) if book else [])
            ]
        elif what == "end":
            pair.edge(guest=False)
        pair.take_back()
    # Home takes it back at the last, or has its word.
    pair.edge(guest=True)
    pair.owners_serve()
    pair.edge(guest=False)
    pair.take_back()
    assert pair.home.books.origin_records["req-1"].offload.state == handoff.AT_ORIGIN


def test_terms_that_are_renewed_last():
    pair = Pair(0.0)
    lend = pair.home.books.offer(
        "req-1", 1, NEED, PlannedOffer("req-1", "kigali", 1), 0, True, pair.job, TERM
    )
    pair.write(pair.home, lend)
    for _ in range(4):
        pair.deliver(len(pair.channel) - 1)
    assert pair.guest().offload.state == handoff.HOLDING
    half = Term(TERM, LEASE, pair.job.save_us, MARGIN).renew_us
    assert pair.there.books.renewal_request("huye", "req-1", pair.there.wall(half - 1)) is None
    for _ in range(5):
        pair.now += half
        said = pair.there.books.renewal_request("huye", "req-1", pair.there.wall(pair.now))
        pair.channel.append((False, said))
        pair.deliver(len(pair.channel) - 1)
        pair.deliver(len(pair.channel) - 1)
        assert pair.guest().since_us == pair.there.wall(pair.now)
        assert pair.home.books.origin_records["req-1"].since_us == pair.now
    # What is recalled is not renewed; its guest is told so again.
    entry = pair.home.books.change_origin(
        "req-1", handoff.recall(pair.home.books.origin_records["req-1"].offload)
    )
    pair.write(pair.home, entry)
    said = JobMessage("req-1", Message(handoff.RENEW, pair.guest().offload.number), at_us=1)
    out = pair.home.books.receive("kigali", said, NEED, 0)
    assert [s.message.kind for s in out] == [handoff.RECALL]


# -- a peer of the release before -------------------------------------------------------------------


class OldSaid(msgspec.Struct, frozen=True):
    ref: str
    message: Message
    need: ResourceAmounts = ResourceAmounts()


class OldEnvelope(msgspec.Struct, frozen=True):
    version: int
    site: str
    items: list[OldSaid]
    whole: bool = False


@given(
    st.sampled_from(
        [handoff.OFFER, handoff.GRANT, handoff.RECALL, handoff.CONFIRM, handoff.RENEW, "something later"]
    ),
    st.booleans(),
)
def test_an_older_peer_reads_what_it_knows_and_we_read_what_it_says(kind, whole):
    new = Envelope(1, "huye", [JobMessage("req-1", Message(kind, 7, 3), NEED, spec(), TERM, 5)], whole)
    old = msgspec.msgpack.decode(encode(new), type=OldEnvelope)
    said = old.items[0]
    assert (old.site, said.message.kind, said.need, old.whole) == ("huye", kind, NEED, whole)
    older = OldEnvelope(1, "huye", [OldSaid("req-1", Message(kind, 7, 3))], whole)
    back = decode(msgspec.msgpack.encode(older))
    assert back.items[0].spec is None and back.offer is None
    # Without the job itself nothing can be begun: it goes home again, and is not run as something else.
    book = RemoteRecord(RemoteOffload(handoff.HOLDING, 7, 3, highest_number=7), NEED, 0, back.items[0].spec)
    assert borrowed_rec("huye", "req-1", book, 0) is None
    # What nobody knows here changes nothing.
    books = OffloadLedger(1, {}, 1)
    books.origin_records["req-1"] = OriginRecord(
        OriginOffload(2, state=handoff.GRANTED, number=7, task_mask=3), "kigali"
    )
    if kind == "something later":
        assert books.receive("kigali", back.items[0], NEED, 0) == []
    assert local_ref("huye", "req-1", 7) == "lent-huye-1-7"
