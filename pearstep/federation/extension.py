"""Federation as an extension of a controller.

It follows the stored records, runs the coordinator of offloads while this controller leads, offers waiting
jobs to peers before a scheduling pass, and runs borrowed jobs like any others.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.domain.job_state import JobState
from pearstep.domain.units import SECOND_US
from pearstep.federation import handoff, peer_health
from pearstep.federation.capacity_estimate import (
    CapacityEstimate,
    add_amounts,
    capacity_for_peer,
    estimate_capacity,
    offloads_to_return,
    to_resource_amounts,
    waiting_jobs,
    waiting_with_estimates,
)
from pearstep.federation.coordinator import Coordinator
from pearstep.federation.keys import Keys
from pearstep.federation.ledger import LedgerEntry, OffloadLedger, RemoteRecord, ResourceAmounts
from pearstep.federation.link import Envelope, Link, NotCoordinatorError, Offer
from pearstep.federation.offload_records import OffloadRecords
from pearstep.federation.offload_selection import Grant, PeerCapacity, choose_offers
from pearstep.federation.offload_transactions import (
    local_job_id,
    origin_transaction,
    remote_job_record,
    remote_transaction,
)
from pearstep.federation.operator_api import FederationMetrics, answer_request
from pearstep.federation.settings import FederationSettings
from pearstep.federation.transfers import Carrying
from pearstep.state.job import Job
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.clock import now_us, wall_us
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Answer
from pearstep.transport.kv_client import CommitOutcome
from pearstep.transport.rate_limiter import URGENT

if TYPE_CHECKING:
    from pearstep.controller.controller import Controller
    from pearstep.controller.leadership import Leadership

log = logging.getLogger("pearstep.federation")

# An offer of a peer that is older says nothing about now.
FRESH_US = 5 * SECOND_US


class Federation:
    """An extension of a controller (``node.extension``)."""

    def __init__(self, settings: FederationSettings) -> None:
        """Federate one site with its peers, as its settings say."""
        self.settings = s = settings
        self.keys = Keys(s.keys)
        self.site = self.keys.site
        self.policy = s.leaving.policy()
        p = s.patience
        self.patience = peer_health.HealthTimeouts(
            int(p.suspect_s * SECOND_US),
            int(p.cut_s * SECOND_US),
            int(p.gone_s * SECOND_US),
            backoff_us=int(p.rest_s * SECOND_US),
        )
        self.desk: Coordinator | None = None
        self.seen = CapacityEstimate()
        self._chief: Leadership | None = None
        self._lent_us = -(1 << 60)
        self._offered: dict[str, int] = {}
        self._starting: set[tuple[str, str]] = set()
        self._tasks = BackgroundTasks(EventLogger(log.name))
        self._renewing: dict[tuple[str, str], int] = {}
        self._listening = False
        self.facts = FederationMetrics()

    def attach(self, controller: Controller) -> None:
        """The node is made."""
        self.node = controller
        self.view = controller.replica
        self.loans = OffloadRecords(controller.replica, self._changed)
        self.link = Link(self.keys, {}, self._hear, self._serve)
        self.carrying = Carrying(self.settings.archives, self.link, self.loans, controller.replica)

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Rounds beside the node's own."""
        return [self.step, self.carry]

    def _changed(self, key: str) -> None:
        if self.desk is not None and key[:2] in ("l/", "g/"):
            self.desk.ledger.record_changed(key)

    # -- the desk, while this node leads ---------------------------------------------------------

    def _keep_desk(self) -> Coordinator | None:
        """The desk of the present leadership; None while this node must not act."""
        chief = self.node.leases.leadership
        if chief is None or not chief.is_current():
            self.desk = self._chief = None
            return None
        if self.node.kv.unavailable_since_us is not None or not self.node.leases.may_act():
            return None
        if chief is not self._chief:
            books = OffloadLedger(
                chief.fencing_token,
                {},
                int(self.settings.reserve_s * SECOND_US),
                self.node.settings.lease_us,
                int(self.settings.margin_s * SECOND_US),
            )
            loans = self.loans
            books.follow_records(
                loans.origin_records, loans.remote_records, loans.open_origin, loans.open_remote
            )
            self._chief = chief
            self._offered.clear()
            self.desk = Coordinator(
                self.site,
                books,
                [],
                self.patience,
                self._commit,
                self.link.send,
                self._free,
                now_us,
                wall_us,
                capacity_offer=self._offer,
            )
            log.info(
                "keeping the desk: %d loans open as home, %d as guest",
                len(self.loans.open_origin),
                len(self.loans.open_remote),
            )
        assert self.desk is not None
        return self.desk

    def _follow_peers(self) -> None:
        """Peers as operators have entered them."""
        known = {n: p for n, p in self.loans.peers.items() if not p.forgotten}
        self.link.name_peers({name: rec.addrs for name, rec in known.items()})
        if self.desk is None:
            return
        desk, now = self.desk, now_us()
        for name in [n for n in desk.peers if n not in known]:
            del desk.peers[name]
        for name, rec in known.items():
            peer = desk.peers.get(name)
            if peer is None:
                peer = desk.peers[name] = peer_health.PeerHealth(name, self.patience, now)
            if rec.drained and peer.state != peer_health.DRAINED:
                peer.drain()
            elif not rec.drained and peer.state == peer_health.DRAINED:
                peer.resume()
            desk.ledger.grants[name] = rec.grant if not rec.drained else Grant()

    async def _commit(self, entry: LedgerEntry) -> bool:
        """Write an entry together with what it means for its job."""
        chief = self._chief
        if chief is None or not chief.is_current():
            return False
        kind, _, rest = entry.key.partition("/")
        if kind == "l":
            writes = origin_transaction(self.view, rest, entry, wall_us())
        else:
            peer, _, ref = rest.partition("/")
            assert self.desk is not None and isinstance(entry.after, RemoteRecord)
            until = self.desk.ledger.run_until_us(entry.after)
            writes = remote_transaction(self.view, peer, ref, entry, wall_us(), until)
        return writes is not None and await chief.commit(*writes) == CommitOutcome.COMMITTED

    async def step(self) -> None:
        """One round of the desk."""
        await asyncio.sleep(self.settings.step_s * random.uniform(0.8, 1.2))
        if not self._listening:
            host, _, port = self.settings.binds[self.node.node].rpartition(":")
            self._listening = self.link.listen(host, int(port))
        if not self.node.follower.loaded:
            return
        self.link.renew()
        desk = self._keep_desk()
        self._follow_peers()
        if desk is None:
            return
        await self._tend_home(desk)
        await self._tend_guest(desk)
        await desk.step()
        self.facts.update(desk, self.loans, self.link.refused)

    async def _tend_home(self, desk: Coordinator) -> None:
        now = now_us()
        for ref in list(self.loans.open_origin):
            book, job = self.loans.origin_records[ref], self.view.jobs.get(ref)
            rec = self.loans.peers.get(book.peer)
            since = self._offered.setdefault(ref, now) if book.offload.state == handoff.OFFERED else now
            if rec is None or rec.forgotten:
                entry = desk.ledger.change_origin(ref, handoff.force_end(book.offload))
                if entry is not None:
                    why = rec.forgotten if rec is not None else "the peer was removed"
                    entry.after = msgspec.structs.replace(entry.after, forced=why)
                    log.warning("loan of %s to %s ended by an operator's word: %s", ref, book.peer, why)
                    await desk.apply(entry)
            elif desk.ledger.term_has_ended(book, wall_us()):
                log.info("the term of %s at %s is over: it is home again", ref, book.peer)
                await desk.apply(desk.ledger.change_origin(ref, handoff.take_back_after_term(book.offload)))
            elif book.offload.state == handoff.OFFERED and (
                (job is not None and job.is_final) or now - since >= self.settings.offer_s * SECOND_US
            ):
                await desk.apply(desk.ledger.change_origin(ref, handoff.withdraw(book.offload)))
        for ref in [r for r in self._offered if r not in self.loans.open_origin]:
            del self._offered[ref]

    async def _tend_guest(self, desk: Coordinator) -> None:
        """What is borrowed: begin it, notice its end, give back what must go."""
        rows: list[tuple[tuple[str, str], RemoteRecord, Job | None]] = []
        for peer, ref in list(self.loans.open_remote):
            book = self.loans.remote_records[peer, ref]
            job = self.view.jobs.get(local_job_id(peer, ref, book.offload.number))
            rows.append(((peer, ref), book, job))
            if book.offload.state == handoff.HOLDING and job is None:
                if (peer, ref) not in self._starting:
                    self._starting.add((peer, ref))
                    self._tasks.start(self._begin(peer, ref))
            elif job is not None and (
                (job.is_final and book.offload.state in (handoff.HOLDING, handoff.STOPPING))
                or (
                    book.offload.state == handoff.STOPPING
                    and job.past_run_limit(wall_us())
                    and not job.placed_tasks
                )
            ):
                await self._ended(desk, peer, ref, book, job)
            elif book.offload.state == handoff.STOPPING and job is None:
                await desk.apply(
                    desk.ledger.change_remote(peer, ref, handoff.all_tasks_stopped(book.offload))
                )
            if book.term_us and book.offload.state == handoff.HOLDING:
                await self._keep_term(desk, peer, ref, book)
        for loan in [n for n in self._renewing if n not in self.loans.open_remote]:
            del self._renewing[loan]
        s = self.settings
        for peer, ref in offloads_to_return(
            self.seen, rows, now_us(), int(s.yield_s * SECOND_US), int(s.idle_s * SECOND_US), wall_us()
        ):
            log.info("giving %s back to %s", ref, peer)
            await self._give_back(desk, peer, ref)

    async def _give_back(self, desk: Coordinator, peer: str, ref: str) -> None:
        """Of our own accord: what runs is stopped with time to save."""
        entry = desk.ledger.change_remote(
            peer, ref, (handoff.begin_return(self.loans.remote_records[peer, ref].offload), [])
        )
        if entry is not None:
            entry.graceful = True
            await desk.apply(entry)

    async def _keep_term(self, desk: Coordinator, peer: str, ref: str, book: RemoteRecord) -> None:
        """Ask for more time once half of the term is over, and give the job back at its end.

        The shard owners stop running tasks by themselves then; this only reports it to the home site.
        """
        if wall_us() >= desk.ledger.run_until_us(book):
            log.info("the term of %s from %s is over here", ref, peer)
            await self._give_back(desk, peer, ref)
        elif now_us() - self._renewing.get((peer, ref), -(1 << 60)) >= SECOND_US:
            said = desk.ledger.renewal_request(peer, ref, wall_us())
            if said is not None:
                self._renewing[peer, ref] = now_us()
                desk.queue_message(peer, said)

    async def _begin(self, peer: str, ref: str) -> None:
        """Bring what the job runs, then let it be a job here."""
        try:
            book, chief = self.loans.remote_records.get((peer, ref)), self._chief
            if book is None or chief is None:
                return
            desk = self.desk
            until = desk.ledger.run_until_us(book) if desk is not None else 0
            rec = remote_job_record(peer, ref, book, wall_us(), until)
            if rec is None or not await self.carrying.fetch_description(peer, ref, rec.spec.job_id):
                return
            # Only while the loan is held: stopping it writes the same record.
            key, job = f"g/{peer}/{ref}", f"j/{rec.spec.job_id}"
            if self.loans.remote_records.get((peer, ref)) == book:
                await chief.commit({job: rec}, {key: self.view.version_of(key), job: 0})
        finally:
            self._starting.discard((peer, ref))

    async def _ended(self, desk: Coordinator, peer: str, ref: str, book: RemoteRecord, job: Job) -> None:
        """The borrowed job is over: once nothing of it is anywhere, home is told."""
        if job.placed_tasks:
            return
        loan, says = book.offload, list[handoff.Message]()
        if loan.state == handoff.HOLDING and job.state != JobState.DONE:
            # Somebody here has cancelled it.
            await desk.apply(desk.ledger.change_remote(peer, ref, (handoff.begin_return(loan), [])))
            return
        done = loan.task_mask if job.state == JobState.DONE else job.done_tasks & loan.task_mask
        for task in range(job.spec.tasks):
            if done >> task & 1 and loan.state in (handoff.HOLDING, handoff.STOPPING):
                loan, says = handoff.task_done_at_remote(loan, task)
        if loan.state == handoff.STOPPING:
            loan, says = handoff.all_tasks_stopped(loan)
        await desk.apply(desk.ledger.change_remote(peer, ref, (loan, says)))

    # -- lending ---------------------------------------------------------------------------------

    async def before_plan(self, chief: Leadership) -> None:
        """Offer jobs that wait too long, before the leader's scheduling pass.

        No route is in flight at this moment, so that an offered task can't be routed at the same time.
        """
        for ref in list(self.loans.open_origin):
            self.loans.mark_offloaded_tasks(ref)
        desk, now = self.desk, now_us()
        if desk is None or chief is not self._chief or now - self._lent_us < self.settings.lend_s * SECOND_US:
            return
        rooms = self._rooms(desk, now)
        if not rooms:
            return
        self._lent_us = now
        s = self.settings
        refs = [job.spec.job_id for job, _ in waiting_jobs(chief.planner)]
        returned = {
            ref: self.loans.origin_records[ref].returned for ref in refs if ref in self.loans.origin_records
        }
        queue = waiting_with_estimates(
            chief.planner,
            self.node.settings.shard_count,
            self.node.settings.start_objectives,
            int(s.leaving.aim_s * SECOND_US),
            int(s.leaving.wait_s * SECOND_US),
            returned,
            now,
            wall_us(),
        )
        entries: list[LedgerEntry] = []
        for lend in choose_offers(queue, rooms, self.policy, now):
            job = self.view.jobs[lend.ref]
            spec = job.spec
            term_us = int(s.leaving.terms_s.get(spec.job_class, 0.0) * SECOND_US)
            entry = desk.ledger.offer(
                lend.ref,
                spec.tasks,
                ResourceAmounts(spec.cpus, spec.gpus, spec.memory_gb),
                lend,
                job.placed_tasks | job.done_tasks,
                bool(term_us),
                spec,
                term_us,
            )
            if entry is not None:
                log.info("offering %d tasks of %s to %s", lend.task_count, lend.ref, lend.peer)
                entries.append(entry)
        await asyncio.gather(*(desk.apply(entry) for entry in entries))

    def _rooms(self, desk: Coordinator, now: int) -> list[PeerCapacity]:
        out = []
        under_way: dict[str, int] = {}
        for ref in self.loans.open_origin:
            book = self.loans.origin_records[ref]
            if book.offload.state == handoff.OFFERED:
                under_way[book.peer] = under_way.get(book.peer, 0) + 1
        for name, peer in desk.peers.items():
            offer, at = desk.offers.get(name, (None, 0))
            rec = self.loans.peers.get(name)
            if (
                offer is None
                or rec is None
                or not rec.lend
                or now - at > FRESH_US
                or not peer.accepts_offers(now)
            ):
                continue
            out.append(
                PeerCapacity(
                    name,
                    offer.cpus,
                    offer.gpus,
                    offer.memory_gb,
                    offer.start_us,
                    desk.link_delay_us.get(name, 0),
                    rec.price * offer.price,
                    under_way.get(name, 0),
                )
            )
        return out

    def after_plan(self, chief: Leadership) -> None:
        """After a pass: what is free, and what waits."""
        now = now_us()
        self.seen = estimate_capacity(chief.planner, self.seen, now)
        self.seen.refused = any(until > now for until in chief.autoscaler.refused_until_us.values())
        rents = {f"peer:{name}" for name, rec in self.loans.peers.items() if rec.grant.rent}

        def wanted(row: tuple[Job, int]) -> bool:
            team = row[0].spec.team
            return not team.startswith("peer:") or team in rents

        # No machine is rented for what is borrowed unless its grant says so.
        chief.planner.unplaced = [row for row in chief.planner.unplaced if wanted(row)]
        chief.planner.unroutable = [row for row in chief.planner.unroutable if wanted(row)]

    def _amounts(self, peer: str) -> tuple[float, float, float]:
        rec = self.loans.peers.get(peer)
        desk = self.desk
        if rec is None or desk is None:
            return (0.0, 0.0, 0.0)
        return capacity_for_peer(
            rec.grant, self.seen, desk.ledger.used(peer), desk.ledger.reserved(), rec.drained
        )

    def _free(self, peer: str) -> ResourceAmounts:
        """What the books may reserve for a peer; they subtract themselves what is reserved already."""
        desk = self.desk
        assert desk is not None
        return to_resource_amounts(add_amounts(self._amounts(peer), desk.ledger.reserved()))

    def _offer(self, peer: str) -> Offer | None:
        amounts = self._amounts(peer)
        rec = self.loans.peers.get(peer)
        if rec is None:
            return None
        # What has to be rented first starts after a boot.
        there = all(have >= want for have, want in zip(self.seen.free, amounts, strict=True))
        boot = max((t.boot_us for t in self.node.machine_types.values()), default=0)
        return Offer(*amounts, start_us=0 if there or not rec.grant.rent else boot)

    # -- users, peers, operators -----------------------------------------------------------------

    async def before_cancellation(self, job: Job) -> dict[str, int] | None:
        """Return the record versions on which a cancellation depends; None while it must wait for a peer.

        A job of which a peer holds a part is not cancelled before the peer has reported that none of it runs.
        Until then any controller may record that the cancellation was requested.
        """
        ref = job.spec.job_id
        key = f"l/{ref}"
        book = self.loans.origin_records.get(ref)
        if book is None or book.offload.state not in (handoff.GRANTED, handoff.RECALLING):
            return {key: self.view.version_of(key)}
        if not book.offload.cancel_requested:
            after = msgspec.structs.replace(book, offload=handoff.cancel(book.offload)[0])
            outcome = await self.node.kv.commit(
                {key: self.view.version_of(key), f"j/{ref}": job.version},
                {key: (after, None)},
                urgency=URGENT,
            )
            if outcome.state == CommitOutcome.COMMITTED:
                self.node.follower.apply_own_commit(key, outcome.revision, after)
                log.info("cancelling %s, which %s has", ref, book.peer)
        return None

    async def _hear(self, peer: str, envelope: Envelope) -> Envelope:
        desk = self._keep_desk()
        if desk is None or peer not in desk.peers:
            raise NotCoordinatorError
        return await desk.receive(peer, envelope)

    async def _serve(self, peer: str, request: HTTPServerRequest) -> Answer:
        return await self.carrying.serve(peer, request)

    async def carry(self) -> None:
        """Bring home what lent tasks wrote."""
        await asyncio.sleep(1.0)
        if self.desk is not None:
            await self.carrying.step()

    def handle(self, request: HTTPServerRequest) -> Answer | None:
        """Questions of operators."""
        known: dict[str, Any] = {"site": self.site, "node": self.node.node}
        return answer_request(request, known, self.desk, self.loans, self.facts)
