"""Federation as an extension of a controller.

It follows the stored records, runs the coordinator of offloads while this controller leads, offers waiting
jobs to peers before a scheduling pass, and runs jobs of peers like any others.
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
from pearstep.federation.transfers import Transfers
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

# An older offer of a peer no longer describes its capacity.
MAX_OFFER_AGE_US = 5 * SECOND_US


class Federation:
    """The extension of a controller that federates its site with peers (``controller.extension``)."""

    def __init__(self, settings: FederationSettings) -> None:
        """Prepare the federation of one site with its peers."""
        self.settings = s = settings
        self.keys = Keys(s.keys)
        self.site = self.keys.site
        self.policy = s.leaving.policy()
        health = s.patience
        self.timeouts = peer_health.HealthTimeouts(
            int(health.suspect_s * SECOND_US),
            int(health.cut_s * SECOND_US),
            int(health.gone_s * SECOND_US),
            backoff_us=int(health.rest_s * SECOND_US),
        )
        self.coordinator: Coordinator | None = None
        self.capacity = CapacityEstimate()
        self._leadership: Leadership | None = None
        self._last_offers_us = -(1 << 60)
        self._offered_since_us: dict[str, int] = {}
        self._starting: set[tuple[str, str]] = set()
        self._tasks = BackgroundTasks(EventLogger(log.name))
        self._renewal_requested_us: dict[tuple[str, str], int] = {}
        self._listening = False
        self.metrics = FederationMetrics()

    def attach(self, controller: Controller) -> None:
        """Connect to the controller, which calls this once it is built."""
        self.controller = controller
        self.replica = controller.replica
        self.records = OffloadRecords(controller.replica, self._record_changed)
        self.link = Link(self.keys, {}, self._receive, self._serve)
        self.transfers = Transfers(self.settings.archives, self.link, self.records, controller.replica)

    def loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that the controller runs beside its own."""
        return [self.step, self.transfer]

    def _record_changed(self, key: str) -> None:
        if self.coordinator is not None and key[:2] in ("l/", "g/"):
            self.coordinator.ledger.record_changed(key)

    # -- the coordinator, while this controller leads --------------------------------------------

    def _current_coordinator(self) -> Coordinator | None:
        """Return the coordinator of the current leadership; None while this controller must not act."""
        leadership = self.controller.leases.leadership
        if leadership is None or not leadership.is_current():
            self.coordinator = self._leadership = None
            return None
        if self.controller.kv.unavailable_since_us is not None or not self.controller.leases.may_act():
            return None
        if leadership is not self._leadership:
            ledger = OffloadLedger(
                leadership.fencing_token,
                {},
                int(self.settings.reserve_s * SECOND_US),
                self.controller.settings.lease_us,
                int(self.settings.margin_s * SECOND_US),
            )
            records = self.records
            ledger.follow_records(
                records.origin_records, records.remote_records, records.open_origin, records.open_remote
            )
            self._leadership = leadership
            self._offered_since_us.clear()
            self.coordinator = Coordinator(
                self.site,
                ledger,
                [],
                self.timeouts,
                self._commit,
                self.link.send,
                self._reservable_capacity,
                now_us,
                wall_us,
                capacity_offer=self._offer,
            )
            log.info(
                "coordinator started: %d open offloads as the origin cluster, %d as the remote cluster",
                len(self.records.open_origin),
                len(self.records.open_remote),
            )
        assert self.coordinator is not None
        return self.coordinator

    def _follow_peers(self) -> None:
        """Apply the records of peers that operators have entered."""
        active_peers = {
            name: peer_record for name, peer_record in self.records.peers.items() if not peer_record.forgotten
        }
        self.link.set_peers({name: peer_record.addrs for name, peer_record in active_peers.items()})
        if self.coordinator is None:
            return
        coordinator, now = self.coordinator, now_us()
        for name in [n for n in coordinator.peers if n not in active_peers]:
            del coordinator.peers[name]
        for name, peer_record in active_peers.items():
            peer = coordinator.peers.get(name)
            if peer is None:
                peer = coordinator.peers[name] = peer_health.PeerHealth(name, self.timeouts, now)
            if peer_record.drained and peer.state != peer_health.DRAINED:
                peer.drain()
            elif not peer_record.drained and peer.state == peer_health.DRAINED:
                peer.resume()
            coordinator.ledger.grants[name] = peer_record.grant if not peer_record.drained else Grant()

    async def _commit(self, entry: LedgerEntry) -> bool:
        """Write an entry and the resulting changes of its job in one transaction."""
        leadership = self._leadership
        if leadership is None or not leadership.is_current():
            return False
        kind, _, rest = entry.key.partition("/")
        if kind == "l":
            transaction = origin_transaction(self.replica, rest, entry, wall_us())
        else:
            peer, _, ref = rest.partition("/")
            assert self.coordinator is not None and isinstance(entry.after, RemoteRecord)
            run_until_us = self.coordinator.ledger.run_until_us(entry.after)
            transaction = remote_transaction(self.replica, peer, ref, entry, wall_us(), run_until_us)
        return transaction is not None and await leadership.commit(*transaction) == CommitOutcome.COMMITTED

    async def step(self) -> None:
        """Run one step of the coordinator, if this controller leads."""
        await asyncio.sleep(self.settings.step_s * random.uniform(0.8, 1.2))
        if not self._listening:
            host, _, port = self.settings.binds[self.controller.node].rpartition(":")
            self._listening = self.link.listen(host, int(port))
        if not self.controller.follower.loaded:
            return
        self.link.reload_keys()
        coordinator = self._current_coordinator()
        self._follow_peers()
        if coordinator is None:
            return
        await self._manage_origin_offloads(coordinator)
        await self._manage_remote_offloads(coordinator)
        await coordinator.step()
        self.metrics.update(coordinator, self.records, self.link.refused)

    async def _manage_origin_offloads(self, coordinator: Coordinator) -> None:
        now = now_us()
        for ref in list(self.records.open_origin):
            record, job = self.records.origin_records[ref], self.replica.jobs.get(ref)
            peer_record = self.records.peers.get(record.peer)
            since = (
                self._offered_since_us.setdefault(ref, now)
                if record.offload.state == handoff.OFFERED
                else now
            )
            if peer_record is None or peer_record.forgotten:
                entry = coordinator.ledger.change_origin(ref, handoff.force_end(record.offload))
                if entry is not None:
                    reason = peer_record.forgotten if peer_record is not None else "the peer was removed"
                    entry.after = msgspec.structs.replace(entry.after, forced=reason)
                    log.warning("offload of %s to %s ended by an operator: %s", ref, record.peer, reason)
                    await coordinator.apply(entry)
            elif coordinator.ledger.term_has_ended(record, wall_us()):
                log.info("the term of %s at %s has ended; its tasks are taken back", ref, record.peer)
                await coordinator.apply(
                    coordinator.ledger.change_origin(ref, handoff.take_back_after_term(record.offload))
                )
            elif record.offload.state == handoff.OFFERED and (
                (job is not None and job.is_final) or now - since >= self.settings.offer_s * SECOND_US
            ):
                await coordinator.apply(
                    coordinator.ledger.change_origin(ref, handoff.withdraw(record.offload))
                )
        for ref in [r for r in self._offered_since_us if r not in self.records.open_origin]:
            del self._offered_since_us[ref]

    async def _manage_remote_offloads(self, coordinator: Coordinator) -> None:
        """Start jobs of peers, report their ends, and return those that must give way."""
        remote_jobs: list[tuple[tuple[str, str], RemoteRecord, Job | None]] = []
        for peer, ref in list(self.records.open_remote):
            record = self.records.remote_records[peer, ref]
            job = self.replica.jobs.get(local_job_id(peer, ref, record.offload.number))
            remote_jobs.append(((peer, ref), record, job))
            if record.offload.state == handoff.HOLDING and job is None:
                if (peer, ref) not in self._starting:
                    self._starting.add((peer, ref))
                    self._tasks.start(self._start_remote_job(peer, ref))
            elif job is not None and (
                (job.is_final and record.offload.state in (handoff.HOLDING, handoff.STOPPING))
                or (
                    record.offload.state == handoff.STOPPING
                    and job.past_run_limit(wall_us())
                    and not job.placed_tasks
                )
            ):
                await self._report_ended_job(coordinator, peer, ref, record, job)
            elif record.offload.state == handoff.STOPPING and job is None:
                await coordinator.apply(
                    coordinator.ledger.change_remote(peer, ref, handoff.all_tasks_stopped(record.offload))
                )
            if record.term_us and record.offload.state == handoff.HOLDING:
                await self._maintain_term(coordinator, peer, ref, record)
        for offload_key in [n for n in self._renewal_requested_us if n not in self.records.open_remote]:
            del self._renewal_requested_us[offload_key]
        s = self.settings
        for peer, ref in offloads_to_return(
            self.capacity,
            remote_jobs,
            now_us(),
            int(s.yield_s * SECOND_US),
            int(s.idle_s * SECOND_US),
            wall_us(),
        ):
            log.info("giving %s back to %s", ref, peer)
            await self._return_offload(coordinator, peer, ref)

    async def _return_offload(self, coordinator: Coordinator, peer: str, ref: str) -> None:
        """Return an offload without a recall; running tasks are stopped with time for a checkpoint."""
        entry = coordinator.ledger.change_remote(
            peer, ref, (handoff.begin_return(self.records.remote_records[peer, ref].offload), [])
        )
        if entry is not None:
            entry.graceful = True
            await coordinator.apply(entry)

    async def _maintain_term(
        self, coordinator: Coordinator, peer: str, ref: str, record: RemoteRecord
    ) -> None:
        """Request a renewal once half of the term is over, and return the job at its end.

        The shard owners stop running tasks by themselves then; this only reports it to the origin cluster.
        """
        if wall_us() >= coordinator.ledger.run_until_us(record):
            log.info("the term of %s, offloaded by %s, has ended", ref, peer)
            await self._return_offload(coordinator, peer, ref)
        elif now_us() - self._renewal_requested_us.get((peer, ref), -(1 << 60)) >= SECOND_US:
            message = coordinator.ledger.renewal_request(peer, ref, wall_us())
            if message is not None:
                self._renewal_requested_us[peer, ref] = now_us()
                coordinator.queue_message(peer, message)

    async def _start_remote_job(self, peer: str, ref: str) -> None:
        """Fetch the description of an offloaded job, then create the job here."""
        try:
            record, leadership = self.records.remote_records.get((peer, ref)), self._leadership
            if record is None or leadership is None:
                return
            coordinator = self.coordinator
            run_until_us = coordinator.ledger.run_until_us(record) if coordinator is not None else 0
            job_record = remote_job_record(peer, ref, record, wall_us(), run_until_us)
            if job_record is None or not await self.transfers.fetch_description(
                peer, ref, job_record.spec.job_id
            ):
                return
            # The job is created only while the offload is held: stopping the offload writes the same record.
            key, job = f"g/{peer}/{ref}", f"j/{job_record.spec.job_id}"
            if self.records.remote_records.get((peer, ref)) == record:
                await leadership.commit({job: job_record}, {key: self.replica.version_of(key), job: 0})
        finally:
            self._starting.discard((peer, ref))

    async def _report_ended_job(
        self, coordinator: Coordinator, peer: str, ref: str, record: RemoteRecord, job: Job
    ) -> None:
        """Report the end of a peer's job to the origin cluster once none of its tasks is placed."""
        if job.placed_tasks:
            return
        offload, messages = record.offload, list[handoff.Message]()
        if offload.state == handoff.HOLDING and job.state != JobState.DONE:
            # A user of this cluster cancelled the job.
            await coordinator.apply(
                coordinator.ledger.change_remote(peer, ref, (handoff.begin_return(offload), []))
            )
            return
        done = offload.task_mask if job.state == JobState.DONE else job.done_tasks & offload.task_mask
        for task in range(job.spec.tasks):
            if done >> task & 1 and offload.state in (handoff.HOLDING, handoff.STOPPING):
                offload, messages = handoff.task_done_at_remote(offload, task)
        if offload.state == handoff.STOPPING:
            offload, messages = handoff.all_tasks_stopped(offload)
        await coordinator.apply(coordinator.ledger.change_remote(peer, ref, (offload, messages)))

    # -- offers ----------------------------------------------------------------------------------

    async def before_plan(self, leadership: Leadership) -> None:
        """Offer jobs that wait too long, before the leader's scheduling pass.

        No route is in flight at this moment, so that an offered task can't be routed at the same time.
        """
        for ref in list(self.records.open_origin):
            self.records.mark_offloaded_tasks(ref)
        coordinator, now = self.coordinator, now_us()
        if (
            coordinator is None
            or leadership is not self._leadership
            or now - self._last_offers_us < self.settings.lend_s * SECOND_US
        ):
            return
        peer_capacities = self._peer_capacities(coordinator, now)
        if not peer_capacities:
            return
        self._last_offers_us = now
        s = self.settings
        refs = [job.spec.job_id for job, _ in waiting_jobs(leadership.planner)]
        returned = {
            ref: self.records.origin_records[ref].returned
            for ref in refs
            if ref in self.records.origin_records
        }
        queue = waiting_with_estimates(
            leadership.planner,
            self.controller.settings.shard_count,
            self.controller.settings.start_objectives,
            int(s.leaving.aim_s * SECOND_US),
            int(s.leaving.wait_s * SECOND_US),
            returned,
            now,
            wall_us(),
        )
        entries: list[LedgerEntry] = []
        for planned in choose_offers(queue, peer_capacities, self.policy, now):
            job = self.replica.jobs[planned.ref]
            spec = job.spec
            term_us = int(s.leaving.terms_s.get(spec.job_class, 0.0) * SECOND_US)
            entry = coordinator.ledger.offer(
                planned.ref,
                spec.tasks,
                ResourceAmounts(spec.cpus, spec.gpus, spec.memory_gb),
                planned,
                job.placed_tasks | job.done_tasks,
                bool(term_us),
                spec,
                term_us,
            )
            if entry is not None:
                log.info("offering %d tasks of %s to %s", planned.task_count, planned.ref, planned.peer)
                entries.append(entry)
        await asyncio.gather(*(coordinator.apply(entry) for entry in entries))

    def _peer_capacities(self, coordinator: Coordinator, now: int) -> list[PeerCapacity]:
        capacities = []
        open_offers: dict[str, int] = {}
        for ref in self.records.open_origin:
            record = self.records.origin_records[ref]
            if record.offload.state == handoff.OFFERED:
                open_offers[record.peer] = open_offers.get(record.peer, 0) + 1
        for name, peer in coordinator.peers.items():
            offer, received_at_us = coordinator.offers.get(name, (None, 0))
            peer_record = self.records.peers.get(name)
            if (
                offer is None
                or peer_record is None
                or not peer_record.lend
                or now - received_at_us > MAX_OFFER_AGE_US
                or not peer.accepts_offers(now)
            ):
                continue
            capacities.append(
                PeerCapacity(
                    name,
                    offer.cpus,
                    offer.gpus,
                    offer.memory_gb,
                    offer.start_us,
                    coordinator.link_delay_us.get(name, 0),
                    peer_record.price * offer.price,
                    open_offers.get(name, 0),
                )
            )
        return capacities

    def after_plan(self, leadership: Leadership) -> None:
        """Estimate the free capacity and the demand after a scheduling pass."""
        now = now_us()
        self.capacity = estimate_capacity(leadership.planner, self.capacity, now)
        self.capacity.refused = any(
            refused_until_us > now for refused_until_us in leadership.autoscaler.refused_until_us.values()
        )
        renting_teams = {
            f"peer:{name}" for name, peer_record in self.records.peers.items() if peer_record.grant.rent
        }

        def may_rent_machines(row: tuple[Job, int]) -> bool:
            team = row[0].spec.team
            return not team.startswith("peer:") or team in renting_teams

        # Machines are rented for a peer's jobs only if its grant allows it.
        leadership.planner.unplaced = [row for row in leadership.planner.unplaced if may_rent_machines(row)]
        leadership.planner.unroutable = [
            row for row in leadership.planner.unroutable if may_rent_machines(row)
        ]

    def _capacity_for_peer(self, peer: str) -> tuple[float, float, float]:
        peer_record = self.records.peers.get(peer)
        coordinator = self.coordinator
        if peer_record is None or coordinator is None:
            return (0.0, 0.0, 0.0)
        return capacity_for_peer(
            peer_record.grant,
            self.capacity,
            coordinator.ledger.used(peer),
            coordinator.ledger.reserved(),
            peer_record.drained,
        )

    def _reservable_capacity(self, peer: str) -> ResourceAmounts:
        """Return what the ledger may reserve for a peer; the ledger subtracts what is reserved already."""
        coordinator = self.coordinator
        assert coordinator is not None
        return to_resource_amounts(add_amounts(self._capacity_for_peer(peer), coordinator.ledger.reserved()))

    def _offer(self, peer: str) -> Offer | None:
        amounts = self._capacity_for_peer(peer)
        peer_record = self.records.peers.get(peer)
        if peer_record is None:
            return None
        # A job that needs a rented machine starts after the machine has booted.
        is_free_now = all(have >= want for have, want in zip(self.capacity.free, amounts, strict=True))
        boot_us = max((t.boot_us for t in self.controller.machine_types.values()), default=0)
        return Offer(*amounts, start_us=0 if is_free_now or not peer_record.grant.rent else boot_us)

    # -- users, peers, operators -----------------------------------------------------------------

    async def before_cancellation(self, job: Job) -> dict[str, int] | None:
        """Return the record versions on which a cancellation depends; None while it must wait for a peer.

        A job of which a peer holds a part is not cancelled before the peer has reported that none of it runs.
        Until then any controller may record that the cancellation was requested.
        """
        ref = job.spec.job_id
        key = f"l/{ref}"
        record = self.records.origin_records.get(ref)
        if record is None or record.offload.state not in (handoff.GRANTED, handoff.RECALLING):
            return {key: self.replica.version_of(key)}
        if not record.offload.cancel_requested:
            after = msgspec.structs.replace(record, offload=handoff.cancel(record.offload)[0])
            outcome = await self.controller.kv.commit(
                {key: self.replica.version_of(key), f"j/{ref}": job.version},
                {key: (after, None)},
                urgency=URGENT,
            )
            if outcome.state == CommitOutcome.COMMITTED:
                self.controller.follower.apply_own_commit(key, outcome.revision, after)
                log.info("cancelling %s, which %s has", ref, record.peer)
        return None

    async def _receive(self, peer: str, envelope: Envelope) -> Envelope:
        coordinator = self._current_coordinator()
        if coordinator is None or peer not in coordinator.peers:
            raise NotCoordinatorError
        return await coordinator.receive(peer, envelope)

    async def _serve(self, peer: str, request: HTTPServerRequest) -> Answer:
        return await self.transfers.serve(peer, request)

    async def transfer(self) -> None:
        """Copy the logs and files of offloaded tasks here, if this controller leads."""
        await asyncio.sleep(1.0)
        if self.coordinator is not None:
            await self.transfers.step()

    def handle(self, request: HTTPServerRequest) -> Answer | None:
        """Answer requests of operators; None if the path is not one of the federation."""
        base_fields: dict[str, Any] = {"site": self.site, "node": self.controller.node}
        return answer_request(request, base_fields, self.coordinator, self.records, self.metrics)
