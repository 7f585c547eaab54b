"""Offloads among three clusters, terms at the limit of the clocks' drift, the health of peers, and the
selection of jobs to offload.
"""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from pearstep.federation import handoff, peer_health
from pearstep.federation.handoff import OriginOffload, RemoteOffload
from pearstep.federation.offload_selection import (
    Grant,
    PeerCapacity,
    Policy,
    WaitingJob,
    capacity_to_offer,
    choose_offers,
)
from pearstep.federation.peer_health import HealthTimeouts, PeerHealth
from pearstep.federation.terms import OriginTerm, RemoteTerm, Term

SECOND_US = 1_000_000
CLUSTERS = ("a", "b", "c")


class ThreeClusters(RuleBasedStateMachine):
    """Each cluster is the origin of some jobs and a remote cluster for those of the others. Messages are
    lost, duplicated and late. A remote cluster keeps one record and one highest number for each job of each
    origin; a job is offloaded to one of two remote clusters at a time.
    """

    @initialize()
    def initialize_clusters(self):
        self.origin_offloads = {(h, j): OriginOffload(2) for h in CLUSTERS for j in range(3)}
        self.remote_offloads = {
            (h, j, g): RemoteOffload() for h in CLUSTERS for j in range(3) for g in CLUSTERS if g != h
        }
        self.current_remote = {}  # the remote cluster of a job's current offload
        self.running_on = {}  # (origin, job, task) -> cluster
        self.messages = []
        self.last_number = 0
        self.final_states = {}

    JOB_KEYS = st.tuples(st.sampled_from(CLUSTERS), st.integers(0, 2))

    def apply_origin_step(self, key, step):
        before = self.origin_offloads[key]
        self.origin_offloads[key] = step[0]
        if step[0].final_state and not before.final_state:
            assert key not in self.final_states
            self.final_states[key] = step[0].final_state
        if before.final_state:
            assert step[0].final_state == before.final_state
        if key in self.current_remote:
            self.messages += [(key, self.current_remote[key], m, "guest") for m in step[1]]

    def apply_remote_step(self, key, step):
        self.remote_offloads[key] = step[0]
        self.messages += [(key[:2], key[2], m, "home") for m in step[1]]

    @rule(key=JOB_KEYS, to=st.sampled_from(CLUSTERS), task_mask=st.integers(1, 3))
    def offer(self, key, to, task_mask):
        if to == key[0] or self.origin_offloads[key].state != handoff.AT_ORIGIN:
            return
        self.last_number += 1
        running = sum(1 << t for h, j, t in self.running_on if (h, j) == key)
        self.current_remote[key] = to
        self.apply_origin_step(
            key, handoff.offer(self.origin_offloads[key], self.last_number, task_mask, running)
        )

    @rule(key=JOB_KEYS, change=st.sampled_from([handoff.withdraw, handoff.recall, handoff.cancel]))
    def origin_acts(self, key, change):
        if change is handoff.cancel and any(
            (h, j) == key and c == key[0] for (h, j, _), c in self.running_on.items()
        ):
            return
        self.apply_origin_step(key, change(self.origin_offloads[key]))

    @rule(key=JOB_KEYS, task=st.integers(0, 1), done=st.booleans())
    def task(self, key, task, done):
        self.run_or_end_task(key, task, done)

    def run_or_end_task(self, key, task, done):
        """End a task that runs, done or not; start one that may run."""
        run = (*key, task)
        cluster = self.running_on.get(run)
        if cluster is None:
            if self.origin_offloads[key].startable >> task & 1:
                self.start(run, key[0])
            for g in CLUSTERS:
                if g != key[0] and self.remote_offloads[(*key, g)].startable >> task & 1:
                    self.start(run, g)
            return
        del self.running_on[run]
        if cluster == key[0]:
            if done:
                self.apply_origin_step(
                    key, (handoff.task_done_at_origin(self.origin_offloads[key], task), [])
                )
        elif done:
            self.apply_remote_step(
                (*key, cluster), handoff.task_done_at_remote(self.remote_offloads[(*key, cluster)], task)
            )

    def start(self, run, cluster):
        # A task never runs in two clusters, nor once it is done or cancelled.
        assert run not in self.running_on and run[:2] not in self.final_states
        assert not self.origin_offloads[run[:2]].done_mask >> run[2] & 1
        self.running_on[run] = cluster

    @rule(key=JOB_KEYS, remote=st.sampled_from(CLUSTERS), what=st.sampled_from(["over", "back", "stopped"]))
    def remote_acts(self, key, remote, what):
        if remote == key[0]:
            return
        offload_key = (*key, remote)
        if what == "over":
            self.remote_offloads[offload_key] = handoff.expire_reservation(self.remote_offloads[offload_key])
        elif what == "back":
            self.remote_offloads[offload_key] = handoff.begin_return(self.remote_offloads[offload_key])
        elif not any((h, j) == key and c == remote for (h, j, _), c in self.running_on.items()):
            self.apply_remote_step(offload_key, handoff.all_tasks_stopped(self.remote_offloads[offload_key]))

    @rule(data=st.data(), again=st.booleans(), has_capacity=st.booleans())
    def deliver(self, data, again, has_capacity):
        if not self.messages:
            return
        i = data.draw(st.integers(0, len(self.messages) - 1))
        key, peer, message, to = self.messages[i] if again else self.messages.pop(i)
        if to == "guest":
            offload_key = (*key, peer)
            self.apply_remote_step(
                offload_key,
                handoff.receive_at_remote(self.remote_offloads[offload_key], message, has_capacity),
            )
        else:
            # A message of a former remote cluster is applied to the same record, and answered to its sender.
            offload, said = handoff.receive_at_origin(self.origin_offloads[key], message)
            present = self.current_remote.get(key)
            self.current_remote[key] = peer
            self.apply_origin_step(key, (offload, said))
            self.current_remote[key] = present if present is not None else peer

    @rule()
    def resend_all(self):
        """Lose all messages, and send again those that the records of both sides permit."""
        self.messages = []
        for key, offload in self.origin_offloads.items():
            self.apply_origin_step(key, (offload, handoff.origin_messages(offload)))
        for key, offload in self.remote_offloads.items():
            self.apply_remote_step(key, (offload, handoff.remote_messages(offload)))

    @invariant()
    def no_task_runs_after_the_final_state(self):
        if not hasattr(self, "origin_offloads"):
            return
        for key, answer in self.final_states.items():
            running = [run for run in self.running_on if run[:2] == key]
            assert not running, (answer, running)
            assert (
                answer != "done" or self.origin_offloads[key].done_mask == self.origin_offloads[key].all_tasks
            )

    def teardown(self):
        """Over a reliable link every job reaches its final state and every offload ends."""
        if not hasattr(self, "origin_offloads"):
            return
        for _ in range(60):
            self.resend_all()
            for _ in range(len(self.messages) * 4):
                if not self.messages:
                    break
                key, peer, message, to = self.messages.pop(0)
                if to == "guest":
                    self.apply_remote_step(
                        (*key, peer),
                        handoff.receive_at_remote(self.remote_offloads[(*key, peer)], message, True),
                    )
                else:
                    loan, said = handoff.receive_at_origin(self.origin_offloads[key], message)
                    present = self.current_remote.get(key, peer)
                    self.current_remote[key] = peer
                    self.apply_origin_step(key, (loan, said))
                    self.current_remote[key] = present
            for key in list(self.origin_offloads):
                for task in (0, 1):
                    self.run_or_end_task(key, task, True)
                for g in CLUSTERS:
                    if g != key[0] and not any(r[:2] == key and c == g for r, c in self.running_on.items()):
                        self.apply_remote_step(
                            (*key, g), handoff.all_tasks_stopped(self.remote_offloads[(*key, g)])
                        )
        assert all(loan.final_state for loan in self.origin_offloads.values())
        assert all(loan.state == handoff.NO_OFFLOAD for loan in self.remote_offloads.values())


ThreeClusters.TestCase.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
TestThreeClusters = ThreeClusters.TestCase


TERM = Term(term_us=120 * SECOND_US, lease_us=16 * SECOND_US, save_us=5 * SECOND_US, step_us=2 * SECOND_US)


CLOCK_ERRORS_PPM = st.sampled_from([-500, 0, 500])
RENEWALS = st.lists(
    st.tuples(st.integers(1, 60 * SECOND_US), st.integers(0, 90 * SECOND_US), st.booleans()), max_size=5
)


@given(
    st.integers(0, 60 * SECOND_US),
    st.integers(0, 60 * SECOND_US),
    CLOCK_ERRORS_PPM,
    CLOCK_ERRORS_PPM,
    RENEWALS,
)
def test_remote_has_stopped_before_origin_takes_back(
    acceptance_delay_us, write_delay_us, remote_ppm, origin_ppm, renewals
):
    """Each side counts by its own clock; the times here are true times. The remote cluster has stopped, with
    or without controllers, when the origin's term ends.
    """

    def clock(true_us, ppm):
        return true_us + true_us * ppm // 1_000_000

    sent_us, received_us = 0, acceptance_delay_us  # true times
    remote_term, origin_term = (
        RemoteTerm(TERM, clock(sent_us, remote_ppm)),
        OriginTerm(TERM, clock(received_us, origin_ppm)),
    )
    now_us = received_us + write_delay_us
    for pause, delay, lost in renewals:
        now_us += pause
        requested_us = clock(now_us, remote_ppm)
        if remote_term.must_stop(requested_us) or origin_term.has_ended(clock(now_us + delay, origin_ppm)):
            break
        origin_term.apply_renewal(clock(now_us + delay, origin_ppm))
        if not lost:
            remote_term.apply_renewal(requested_us)
    stop_begins = next(t for t in range(0, 10**10, 10_000) if remote_term.must_stop(clock(t, remote_ppm)))
    # The time to notice, then the workers' lease if no controller answers them, then the checkpoint.
    remote_stopped_us = stop_begins + TERM.step_us + TERM.lease_us + TERM.save_us
    taken_back_us = next(t for t in range(0, 10**10, 10_000) if origin_term.has_ended(clock(t, origin_ppm)))
    assert remote_stopped_us <= taken_back_us


def test_a_term_that_leaves_no_time_to_run_is_detected():
    assert (
        TERM.leaves_time_to_run
        and not msgspec.structs.replace(TERM, term_us=20 * SECOND_US).leaves_time_to_run
    )
    remote_term = RemoteTerm(TERM, 0)
    assert not remote_term.request_renewal(TERM.renew_us - 1) and remote_term.request_renewal(TERM.renew_us)
    assert not remote_term.request_renewal(TERM.renew_us + SECOND_US) and remote_term.request_renewal(
        TERM.renew_us + 2 * SECOND_US
    )


@given(st.lists(st.tuples(st.integers(1, 40 * SECOND_US), st.booleans(), st.booleans()), max_size=60))
def test_a_reconciling_peer_accepts_offers_only_after_records_agree(events):
    peer, now, last_answer_us = PeerHealth("b", HealthTimeouts(), 0), 0, 0
    for pause, answered, exchanged in events:
        now += pause
        peer.check_silence(now)
        if answered:
            peer.answer_received(now)
            last_answer_us = now
        if exchanged and peer.state == peer_health.RECONCILING:
            peer.records_agreed(now)
        peer.check_silence(now)
        if peer.accepts_offers(now):
            assert (
                peer.have_records_agreed
                and now - last_answer_us < HealthTimeouts().suspect_us
                and now >= peer.no_offers_before_us
            )
    before = peer.backoff_us
    assert before <= HealthTimeouts().max_backoff_us


def test_the_backoff_of_an_unstable_link_grows():
    peer, now, backoffs = PeerHealth("b", HealthTimeouts(), 0), 0, []
    for _ in range(6):
        for _ in range(3):
            peer.answer_received(now)
        peer.records_agreed(now)
        assert peer.state == peer_health.UP
        now += 20 * SECOND_US
        peer.check_silence(now)
        assert peer.state == peer_health.UNREACHABLE
        backoffs.append(peer.no_offers_before_us - now)
    assert backoffs == sorted(set(backoffs))
    peer.check_silence(now + 2 * 3600 * SECOND_US)
    assert peer.state == peer_health.GONE
    peer.drain()
    peer.answer_received(now)
    assert peer.state == peer_health.DRAINED and not peer.accepts_offers(now)
    peer.resume()
    assert peer.state == peer_health.RECONCILING


def waiting_job(i, start_s, objective_s=10, task_count=1, **more):
    base = dict(cls="c", team="t", cpus=2.0, gpus=0.0, memory_gb=4.0)
    return WaitingJob(
        f"req-{i}",
        task_count=task_count,
        start_us=start_s * SECOND_US,
        objective_us=objective_s * SECOND_US,
        **{**base, **more},
    )


def peer_capacity(peer="b", cpus=64.0, start_s=0, **more):
    return PeerCapacity(peer, cpus, 0.0, 10_000.0, start_s * SECOND_US, 50_000, **more)


def test_only_jobs_late_here_and_sooner_at_the_peer_are_offloaded():
    policy = Policy(excluded_classes=frozenset({"own"}), excluded_teams=frozenset({"secret"}))
    jobs = [
        waiting_job(1, 5),
        waiting_job(2, 60),
        waiting_job(3, 60, cls="own"),
        waiting_job(4, 60, team="secret"),
        waiting_job(5, 60, from_peer=True),
        waiting_job(6, 60, returned=3),
        waiting_job(7, 90, is_queue_head=True),
        waiting_job(8, 60, gang=True, task_count=40),
        waiting_job(9, 30, task_count=40),
        waiting_job(10, 12, objective_s=10),
        waiting_job(11, 30, returned=2),
    ]
    offers = choose_offers(jobs, [peer_capacity(start_s=8)], policy, 0)
    # 7 is the head of its queue and comes last; 8 is a gang that does not fit; as many tasks of 9 as fit are
    # offered; 10 gains too little; 11 was returned twice and needs three times the gain.
    assert [(offer.ref, offer.task_count) for offer in offers] == [("req-2", 1), ("req-9", 31)]
    assert [
        offer.ref for offer in choose_offers(jobs[:2] + jobs[6:7], [peer_capacity(start_s=8)], policy, 0)
    ] == [
        "req-2",
        "req-7",
    ]


JOBS = st.lists(st.tuples(st.integers(0, 300), st.integers(1, 5), st.booleans()), max_size=60)
PEER_VALUES = st.lists(
    st.tuples(st.integers(0, 40), st.integers(0, 100), st.integers(1, 3)), min_size=1, max_size=4
)


@given(JOBS, PEER_VALUES)
def test_no_more_is_assigned_than_a_peer_offers(jobs, peer_values):
    policy = Policy(max_open_offers=8)
    waiting = [
        waiting_job(i, start, task_count=task_count, gang=gang)
        for i, (start, task_count, gang) in enumerate(jobs)
    ]
    capacities = [
        peer_capacity(f"p{i}", float(cpus), start, price=price)
        for i, (cpus, start, price) in enumerate(peer_values)
    ]
    offers = choose_offers(waiting, capacities, policy, 0)
    for i, (cpus, start, price) in enumerate(peer_values):
        peer_offers = [offer for offer in offers if offer.peer == f"p{i}"]
        assert sum(offer.task_count * 2.0 for offer in peer_offers) <= cpus and len(peer_offers) <= 8
        assert not peer_offers or price <= policy.max_price
        for offer in peer_offers:
            job = waiting[int(offer.ref.removeprefix("req-"))]
            assert offer.task_count == job.task_count or not job.gang
            assert start * SECOND_US + 5 * SECOND_US < job.start_us
    assert len({offer.ref for offer in offers}) == len(offers)


def test_equal_peers_share_a_burst():
    policy = Policy(max_open_offers=1000)
    burst = [waiting_job(i, 100) for i in range(100)]
    offers = choose_offers(burst, [peer_capacity("b", 1000.0), peer_capacity("c", 1000.0)], policy, 0)
    count = sum(offer.peer == "b" for offer in offers)
    assert len(offers) == 100 and 30 < count < 70
    assert choose_offers(burst, [peer_capacity("b", not_before_us=5)], policy, 4) == []


def test_the_demand_of_own_teams_is_not_offered():
    grant = Grant(cpus=100, memory_gb=1000, spare=0.1)
    assert capacity_to_offer(grant, (50, 4, 500), (20, 0, 100), (0, 0, 0)) == (27.0, 0.0, 360.0)
    assert capacity_to_offer(grant, (500, 0, 500), (0, 0, 0), (90, 0, 0))[0] == 10
    assert capacity_to_offer(grant, (10, 0, 10), (20, 0, 0), (0, 0, 0))[0] == 0
