"""Offloads of work that may run twice: the remote cluster has certainly stopped before the origin takes the
work back, whatever the link, the clocks and the controllers of either side do; and what a shard owner does at
the end of a term.
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
from pearstep.federation.offload_transactions import local_job_id, remote_job_record, remote_transaction
from pearstep.federation.terms import Term
from pearstep.state.records import JobRecord
from tests.test_offload_transactions import Cluster
from tests.world import ShardHarness, spec

TERM_US, LEASE_US, MARGIN_US = 200 * SECOND_US, 16 * SECOND_US, 5 * SECOND_US
TASK_AMOUNTS = ResourceAmounts(1.0, 0.0, 1.0)


def test_owners_stop_tasks_at_their_limit_without_the_state_service():
    world = ShardHarness()
    world.add_machine("m0")
    world.submit(spec(tasks=2))
    job_record = JobRecord(spec(tasks=2), world.now, run_until_us=world.now + 30 * SECOND_US)
    world.put("j/req-1", job_record)
    starts = world.starts(world.run_and_commit())
    assert len(starts) == 2
    tasks = [(name, n, "running") for _, name, n in sorted(starts)]
    world.report("m0", *tasks)
    world.advance_clock(29)
    assert not [o for o in world.report("m0", *tasks) if o[0] == "stop"]
    world.advance_clock(1)
    # No commit from here on: the state service is unavailable. The owner still answers, and orders the stop.
    world.run_pass()
    orders = world.report("m0", *tasks)
    assert sorted(o[:2] for o in orders if o[0] == "stop") == [("stop", "req-1/0"), ("stop", "req-1/1")]
    assert all(
        grace == 3.0 for op, _, _, grace in orders if op == "stop"
    )  # the time for a checkpoint and for the order to arrive


def test_no_task_starts_after_its_limit_and_a_renewal_extends_it():
    world = ShardHarness()
    world.add_machine("m0")
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, run_until_us=world.now))
    from pearstep.state.records import RouteRecord

    world.put("r/0/req-1", RouteRecord("0"))
    assert not world.starts(world.run_and_commit())
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, run_until_us=world.now + 9 * SECOND_US))
    assert world.starts(world.run_and_commit())
    # A record without a limit does not change it; an earlier or later limit takes effect at once.
    job = world.replica.jobs["req-1"]
    job.update(JobRecord(spec(tasks=1), world.now), job.version, world.now)
    assert job.run_until_us == world.now + 9 * SECOND_US
    job.update(JobRecord(spec(tasks=1), world.now, run_until_us=world.now), job.version, world.now)
    assert job.past_run_limit(world.now)


def test_a_renewal_reaches_the_owners_in_its_transaction():
    cluster = Cluster()
    job_spec = spec(job_id="req-5", kind="array", tasks=4)
    record = RemoteRecord(
        RemoteOffload(handoff.HOLDING, 9, 0b11, highest_number=9), TASK_AMOUNTS, 100, job_spec, TERM_US
    )
    cluster.put("g/huye/req-5", record)
    job_record = remote_job_record("huye", "req-5", record, 100, 500)
    assert job_record.run_until_us == 500 and remote_job_record("huye", "req-5", record, 500, 500) is None
    cluster.put("j/lent-huye-5-9", job_record)
    after = msgspec.structs.replace(record, since_us=300)
    entry = LedgerEntry("g/huye/req-5", record, after, "huye", [])
    assert cluster.write(remote_transaction(cluster.replica, "huye", "req-5", entry, 301, 700))
    job = cluster.replica.jobs["lent-huye-5-9"]
    assert job.run_until_us == 700 and job.done_tasks == 0b1100 and not job.is_final
    # Of a stop and a concurrent renewal only one is committed.
    again = LedgerEntry("g/huye/req-5", after, msgspec.structs.replace(after, since_us=400), "huye", [])
    late = remote_transaction(cluster.replica, "huye", "req-5", again, 401, 800)
    returning = msgspec.structs.replace(after, offload=handoff.begin_return(after.offload))
    stop = LedgerEntry("g/huye/req-5", after, returning, "huye", [])
    assert cluster.write(
        remote_transaction(cluster.replica, "huye", "req-5", stop, 402)
    ) and not cluster.write(late)
    assert job.is_final and job.run_until_us == 700


def test_an_offer_whose_term_leaves_no_time_is_refused():
    cases = ((TERM_US, True, True), (30 * SECOND_US, True, False), (0, True, False), (0, False, True))
    for term_us, rerunnable, accepted in cases:
        ledger = OffloadLedger(1, {"huye": Grant(9, 9, 9)}, 30 * SECOND_US, LEASE_US, MARGIN_US)
        message = JobMessage(
            "req-1", Message(handoff.OFFER, 5, 1, rerunnable=rerunnable), TASK_AMOUNTS, spec(), term_us
        )
        outcome = ledger.receive("huye", message, ResourceAmounts(9, 9, 9), 7)
        if accepted:
            assert isinstance(outcome, LedgerEntry) and outcome.after.offload.state == handoff.RESERVED
        else:
            assert [answer.message.kind for answer in outcome] == [handoff.REFUSE], (term_us, rerunnable)


class Site:
    """One site's wall clock, which drifts, and its ledger."""

    def __init__(self, clock_drift, offset, grants):
        self.clock_drift, self.offset = clock_drift, offset
        self.ledger = OffloadLedger(3, grants, 10**15, LEASE_US, MARGIN_US)

    def wall_us(self, now_us):
        return int(now_us * (1 + self.clock_drift)) + self.offset


class TwoSites:
    def __init__(self, clock_drift):
        self.now_us = 0
        self.origin = Site(clock_drift, 0, {})
        self.remote = Site(-clock_drift, 10**9, {"huye": Grant(100, 100, 100)})
        self.channel = []
        self.job = spec(job_id="req-1", kind="array", tasks=1, save_us=4 * SECOND_US)
        # The latest time at which tasks may run in the remote cluster; None if none ran.
        self.latest_run_end = None

    def commit(self, site, entry):
        messages = site.ledger.apply_commit(entry, site.wall_us(self.now_us))
        self.channel += [(site is self.origin, message) for message in messages]

    def deliver(self, index):
        from_origin, message = self.channel[index % len(self.channel)]
        site = self.remote if from_origin else self.origin
        peer = "huye" if from_origin else "kigali"
        outcome = site.ledger.receive(
            peer, message, ResourceAmounts(100, 100, 100), site.wall_us(self.now_us)
        )
        if isinstance(outcome, LedgerEntry):
            self.commit(site, outcome)
        else:
            self.channel += [(site is self.origin, answer) for answer in outcome]

    def remote_record(self):
        return self.remote.ledger.remote_records.get(("huye", "req-1"))

    def owners_answer_workers(self):
        """Let owners with the current records answer a worker, which renews its lease. A worker whose limit
        has passed is ordered to stop instead, with time for a checkpoint.
        """
        record = self.remote_record()
        if record is None or record.offload.state != handoff.HOLDING:
            return
        run_until_us = self.remote.ledger.run_until_us(record)
        if self.remote.wall_us(self.now_us) < run_until_us:
            self.latest_run_end = max(self.latest_run_end or 0, self.now_us + int(LEASE_US * 1.0005))

    def take_back(self):
        record = self.origin.ledger.origin_records.get("req-1")
        if record is not None and self.origin.ledger.term_has_ended(record, self.origin.wall_us(self.now_us)):
            entry = self.origin.ledger.change_origin("req-1", handoff.take_back_after_term(record.offload))
            self.commit(self.origin, entry)
            if self.latest_run_end is not None:
                # The last lease that was renewed has expired, and the time for a checkpoint has passed.
                assert self.now_us >= self.latest_run_end + self.job.save_us, (
                    self.now_us,
                    self.latest_run_end,
                )

    def advance_to_limit(self, of_remote):
        """Advance to the last moment at which the remote cluster may run tasks, or to the first at which the
        origin may take them back.
        """
        record, origin_record = self.remote_record(), self.origin.ledger.origin_records["req-1"]
        if of_remote and record is not None and record.offload.state == handoff.HOLDING:
            last_moment_us = self.remote.ledger.run_until_us(record) - 1
            site, limit_us = self.remote, last_moment_us
        elif not of_remote and origin_record.offload.state in (handoff.GRANTED, handoff.RECALLING):
            site, limit_us = (
                self.origin,
                origin_record.since_us + self.origin.ledger.term(origin_record).take_back_us,
            )
        else:
            return
        while site.wall_us(self.now_us) < limit_us:
            self.now_us += max(int((limit_us - site.wall_us(self.now_us)) * 0.999), 1)


ACTIONS = st.sampled_from(["any", "last", "last", "wait", "serve", "edge", "renew", "say", "back", "end"])


@settings(max_examples=400, deadline=None)
@given(
    st.sampled_from([-0.0005, 0.0, 0.0005]),
    st.lists(st.integers(0, 20 * SECOND_US), min_size=3, max_size=3),
    st.lists(st.tuples(st.integers(0, 20 * SECOND_US), st.integers(0, 20 * SECOND_US)), max_size=2),
    st.lists(st.tuples(ACTIONS, st.integers(0, 10**6)), max_size=40),
)
def test_remote_has_stopped_before_origin_takes_the_work_back(clock_drift, delays, renewals, actions):
    sites = TwoSites(clock_drift)
    offer_entry = sites.origin.ledger.offer(
        "req-1", 1, TASK_AMOUNTS, PlannedOffer("req-1", "kigali", 1), 0, True, sites.job, TERM_US
    )
    sites.commit(sites.origin, offer_entry)
    # Each message of the handoff is late: the origin receives the acceptance long after the term of the
    # remote cluster has begun.
    for delay in delays:
        sites.now_us += delay
        sites.deliver(len(sites.channel) - 1)
    # The requests to renew and their answers are as late.
    for request_delay, answer_delay in renewals:
        sites.now_us += TERM_US // 2
        message = sites.remote.ledger.renewal_request("huye", "req-1", sites.remote.wall_us(sites.now_us))
        if message is not None:
            sites.channel.append((False, message))
            for delay in (request_delay, answer_delay):
                sites.now_us += delay
                sites.deliver(len(sites.channel) - 1)
    for action, choice in actions:
        if action == "any":
            sites.deliver(choice)  # any message that was ever sent, any number of times
        elif action == "last":
            sites.deliver(len(sites.channel) - 1)
        elif action == "wait":
            sites.now_us += choice % (60 * SECOND_US)
        elif action == "serve":
            sites.owners_answer_workers()
        elif action == "edge":
            sites.advance_to_limit(of_remote=True)
            sites.owners_answer_workers()
        elif action == "renew":
            message = sites.remote.ledger.renewal_request("huye", "req-1", sites.remote.wall_us(sites.now_us))
            if message is not None:
                sites.channel.append((False, message))
        elif action == "say":
            record, offload = sites.remote_record(), sites.origin.ledger.origin_records["req-1"].offload
            sites.channel += [
                (True, JobMessage("req-1", m, TASK_AMOUNTS, sites.job, TERM_US))
                for m in handoff.origin_messages(offload)
            ]
            sites.channel += [
                (False, JobMessage("req-1", m))
                for m in (handoff.remote_messages(record.offload) if record else [])
            ]
        elif action == "end":
            sites.advance_to_limit(of_remote=False)
        sites.take_back()
    # In the end the origin takes the work back, or the remote cluster has reported it.
    sites.advance_to_limit(of_remote=True)
    sites.owners_answer_workers()
    sites.advance_to_limit(of_remote=False)
    sites.take_back()
    assert sites.origin.ledger.origin_records["req-1"].offload.state == handoff.AT_ORIGIN


def test_renewed_terms_continue():
    sites = TwoSites(0.0)
    offer_entry = sites.origin.ledger.offer(
        "req-1", 1, TASK_AMOUNTS, PlannedOffer("req-1", "kigali", 1), 0, True, sites.job, TERM_US
    )
    sites.commit(sites.origin, offer_entry)
    for _ in range(4):
        sites.deliver(len(sites.channel) - 1)
    assert sites.remote_record().offload.state == handoff.HOLDING
    renew_after_us = Term(TERM_US, LEASE_US, sites.job.save_us, MARGIN_US).renew_us
    assert (
        sites.remote.ledger.renewal_request("huye", "req-1", sites.remote.wall_us(renew_after_us - 1)) is None
    )
    for _ in range(5):
        sites.now_us += renew_after_us
        message = sites.remote.ledger.renewal_request("huye", "req-1", sites.remote.wall_us(sites.now_us))
        sites.channel.append((False, message))
        sites.deliver(len(sites.channel) - 1)
        sites.deliver(len(sites.channel) - 1)
        assert sites.remote_record().since_us == sites.remote.wall_us(sites.now_us)
        assert sites.origin.ledger.origin_records["req-1"].since_us == sites.now_us
    # A recalled offload is not renewed; the recall is sent again.
    entry = sites.origin.ledger.change_origin(
        "req-1", handoff.recall(sites.origin.ledger.origin_records["req-1"].offload)
    )
    sites.commit(sites.origin, entry)
    message = JobMessage("req-1", Message(handoff.RENEW, sites.remote_record().offload.number), at_us=1)
    outcome = sites.origin.ledger.receive("kigali", message, TASK_AMOUNTS, 0)
    assert [answer.message.kind for answer in outcome] == [handoff.RECALL]


# -- a peer of the previous release -------------------------------------------------------------------


class OldJobMessage(msgspec.Struct, frozen=True):
    ref: str
    message: Message
    need: ResourceAmounts = ResourceAmounts()


class OldEnvelope(msgspec.Struct, frozen=True):
    version: int
    site: str
    items: list[OldJobMessage]
    whole: bool = False


@given(
    st.sampled_from(
        [handoff.OFFER, handoff.GRANT, handoff.RECALL, handoff.CONFIRM, handoff.RENEW, "something later"]
    ),
    st.booleans(),
)
def test_older_peers_read_new_messages_and_we_read_theirs(kind, whole):
    new = Envelope(
        1, "huye", [JobMessage("req-1", Message(kind, 7, 3), TASK_AMOUNTS, spec(), TERM_US, 5)], whole
    )
    old = msgspec.msgpack.decode(encode(new), type=OldEnvelope)
    message = old.items[0]
    assert (old.site, message.message.kind, message.need, old.whole) == ("huye", kind, TASK_AMOUNTS, whole)
    older = OldEnvelope(1, "huye", [OldJobMessage("req-1", Message(kind, 7, 3))], whole)
    back = decode(msgspec.msgpack.encode(older))
    assert back.items[0].spec is None and back.offer is None
    # Without the job's specification no job record is created, so that nothing else is run in its place.
    record = RemoteRecord(
        RemoteOffload(handoff.HOLDING, 7, 3, highest_number=7), TASK_AMOUNTS, 0, back.items[0].spec
    )
    assert remote_job_record("huye", "req-1", record, 0) is None
    # A message of an unknown kind changes nothing.
    ledger = OffloadLedger(1, {}, 1)
    ledger.origin_records["req-1"] = OriginRecord(
        OriginOffload(2, state=handoff.GRANTED, number=7, task_mask=3), "kigali"
    )
    if kind == "something later":
        assert ledger.receive("kigali", back.items[0], TASK_AMOUNTS, 0) == []
    assert local_job_id("huye", "req-1", 7) == "lent-huye-1-7"
