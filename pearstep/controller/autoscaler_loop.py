"""Carries out the autoscaler's decisions: requests instances, reconciles the machine list, drains."""

from __future__ import annotations

from itertools import islice

import msgspec

from pearstep.controller.cloud_client import InstancesGranted, NoCapacity
from pearstep.controller.leader_transactions import LeaderContext, LeaderTransactions
from pearstep.controller.settings import to_us
from pearstep.domain.units import SECOND_US
from pearstep.leader.autoscaler import Autoscaler
from pearstep.leader.instance_selection import InstanceKind
from pearstep.leader.route_planner import RoutePlanner
from pearstep.leader.scale_out import InstanceRequest
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.protocol.controller_messages import ListedMachine
from pearstep.state.records import DrainRecord, InstanceRequestRecord, drain_key, instance_request_key
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import CommitOutcome

log = EventLogger("pearstep.leader")

# The cloud's machine list is read no more often than this, and no more often than that its pages take this
# share of the requests that the cloud allows all nodes.
LIST_US = 8 * SECOND_US
LIST_SHARE = 1 / 8
# A list that failed is asked for again after this part of the time between two.
LIST_RETRY_FRACTION = 8
# The instance requests of one pass are sent for so long.
REQUEST_ROUND_US = SECOND_US
# A request without an answer is repeated after this.
REQUEST_RETRY_US = 3 * SECOND_US
# So many instance requests are forgotten together.
MIN_FORGOTTEN_TOGETHER = 4
# A shard without an owner keeps the fleet as it is for so long.
UNOWNED_SHARD_WAIT_US = 15 * SECOND_US
# No consolidation for so long after work found no room.
CONSOLIDATION_PAUSE_US = 10 * SECOND_US
# Before any time that the clock shows.
NEVER_US = -(1 << 60)


def list_interval_us(pages: int, requests_per_s: float) -> int:
    """Return the time between two reads of a machine list of so many pages."""
    return max(LIST_US, int(pages / (LIST_SHARE * requests_per_s) * 1e6))


class AutoscalerLoop:
    """Rents, lists and drains machines under one leadership."""

    def __init__(
        self,
        context: LeaderContext,
        transactions: LeaderTransactions,
        planner: RoutePlanner,
        autoscaler: Autoscaler,
    ) -> None:
        """Act on the decisions of an autoscaler, for the work that a planner found no room for."""
        self.settings = context.settings
        self.replica = context.replica
        self.cloud = context.cloud
        self.fencing_token = context.fencing_token
        self.now_us = context.now_us
        self.wall_us = context.wall_us
        self.transactions = transactions
        self.planner = planner
        self.autoscaler = autoscaler
        self.request_count = 0
        self.last_request_at_us: dict[str, int] = {}
        # When machines of each type, spot or not, were last asked for: they take turns.
        self.type_requested_at_us: dict[tuple[str, bool], int] = {}
        self.listed_at_us = NEVER_US
        self.list_interval_us = LIST_US
        self.has_listed = False
        self.started_at_us = self.now_us()
        self.all_owned_at_us = self.now_us()

    async def run_pass(self) -> None:
        """Rent for what finds no room, return what is not needed, repeat what was not answered."""
        now_us, wall_us = self.now_us(), self.wall_us()
        self.autoscaler.observe(now_us, wall_us)
        await self._repeat_requests(now_us)
        if now_us - self.started_at_us < to_us(self.settings.tuning.renting.settle_s):
            return
        if self._is_shard_unowned(now_us):
            return
        if now_us - self.listed_at_us > self.list_interval_us:
            self.listed_at_us = now_us
            await self.reconcile_machine_list()
        if not self.has_listed:
            return  # what a former leader rented may be gone: only the list tells
        unplaced = self.planner.unplaced + self.planner.unroutable
        await self._scale_out(unplaced, now_us, wall_us)
        await self._scale_in(unplaced, now_us, wall_us)
        await self.forget_completed_requests()

    def _is_shard_unowned(self, now_us: int) -> bool:
        """Tell whether a shard has lost its owner a moment ago.

        It looks like machines without room; it is taken over in seconds.
        """
        owned = sum(bool(holder.node) for holder in self.replica.shard_holders.values())
        if owned < self.settings.shard_count and now_us - self.all_owned_at_us < UNOWNED_SHARD_WAIT_US:
            return True
        if owned == self.settings.shard_count:
            self.all_owned_at_us = now_us
        return False

    async def _scale_out(self, unplaced: list[UnplacedWork], now_us: int, wall_us: int) -> None:
        requests = self.autoscaler.plan_scale_out(unplaced, now_us, wall_us)
        while requests and self.now_us() - now_us <= REQUEST_ROUND_US:
            # Requests are few a second. Seen: a round of twelve took five seconds, and what had become urgent
            # meanwhile came last; and with the most urgent first each time, a machine or two for services
            # that came one by one kept the gangs' machines back for six seconds.
            request = min(requests, key=lambda each: self.type_requested_at_us.get((each.type, each.spot), 0))
            requests.remove(request)
            self.type_requested_at_us[request.type, request.spot] = self.now_us()
            await self._request(request)

    async def _scale_in(self, unplaced: list[UnplacedWork], now_us: int, wall_us: int) -> None:
        if unplaced:
            self.autoscaler.next_consolidation_at_us = now_us + CONSOLIDATION_PAUSE_US
        drains = self.autoscaler.plan_scale_in(unplaced, now_us, wall_us)
        if not drains:
            drains = self.autoscaler.plan_consolidation(self.planner.snapshot_machines(), now_us, wall_us)
        if drains:
            await self.drain(drains)

    async def _request(self, request: InstanceRequest) -> None:
        """Record a request, then send it: whoever leads next can repeat it."""
        self.request_count += 1
        # Never used again, by any node: the fencing token is this leadership's alone.
        name = f"r-{self.fencing_token}-{self.request_count}"
        key = instance_request_key(name)
        record = InstanceRequestRecord(
            request.type, request.zone, request.spot, request.count, self.wall_us()
        )
        if await self.transactions.commit({key: record}, {key: 0}) == CommitOutcome.COMMITTED:
            await self._send_request(name, record)

    async def _send_request(self, name: str, record: InstanceRequestRecord) -> None:
        self.last_request_at_us[name] = self.now_us()
        key = instance_request_key(name)
        outcome = await self.cloud.request_instances(
            name, record.type, record.zone, record.spot, record.count
        )
        condition = {key: self.replica.version_of(key)}
        if isinstance(outcome, NoCapacity):
            log.info("no capacity", count=record.count, machine_type=record.type, zone=record.zone)
            self._record_refusal(record)
            await self.transactions.commit({}, condition, [key])
        elif isinstance(outcome, InstancesGranted):
            log.info(
                "instances granted",
                granted=len(outcome.machines),
                count=record.count,
                machine_type=record.type,
                zone=record.zone,
                spot=record.spot,
                machines=outcome.machines,
            )
            if len(outcome.machines) < record.count:
                self._record_refusal(record)
            granted = msgspec.structs.replace(record, machines=outcome.machines)
            await self.transactions.commit({key: granted}, condition)

    def _record_refusal(self, record: InstanceRequestRecord) -> None:
        kind = InstanceKind(record.type, record.zone, record.spot)
        self.autoscaler.record_refusal(kind, self.now_us())

    async def _repeat_requests(self, now_us: int) -> None:
        for name, record in list(self.replica.instance_requests.items()):
            sent_at_us = self.last_request_at_us.get(name, 0)
            if record.machines is None and now_us - sent_at_us > REQUEST_RETRY_US:
                await self._send_request(name, record)

    async def forget_completed_requests(self) -> None:
        """Delete the records of requests whose machines have all come up or are being deleted."""
        completed = [
            instance_request_key(name)
            for name, record in self.replica.instance_requests.items()
            if record.machines is not None and not any(m in self.autoscaler.booting for m in record.machines)
        ]
        completed = completed[: self.settings.txn_ops]
        if len(completed) >= min(MIN_FORGOTTEN_TOGETHER, self.settings.txn_ops):
            versions = {key: self.replica.version_of(key) for key in completed}
            await self.transactions.commit_independently({}, versions, completed)

    async def drain(self, drains: dict[str, DrainRecord]) -> None:
        """Write the drains of machines, as many as one transaction may hold."""
        written = islice(drains.items(), self.settings.txn_ops)
        puts = {drain_key(name): record for name, record in written}
        log.info("draining machines", machines=[f"{n} ({r.reason})" for n, r in drains.items()])
        await self.transactions.commit_independently(puts, dict.fromkeys(puts, 0), [])

    async def reconcile_machine_list(self) -> None:
        """Drain machines that failed, or that nobody expects and that never came up."""
        listed = await self.cloud.machines()
        if listed is None:
            retry_us = self.list_interval_us // LIST_RETRY_FRACTION
            self.listed_at_us = self.now_us() - self.list_interval_us + retry_us
            return
        cloud_settings = self.settings.params.cloud
        self.list_interval_us = list_interval_us(self.cloud.list_pages, cloud_settings.rps)
        wall_us = self.wall_us()
        self.has_listed = True
        self.autoscaler.observe_machine_list(
            {item.name for item in listed}, to_us(cloud_settings.list_lag_s), wall_us
        )
        drains = self._drains_of(listed, wall_us)
        # A long list comes more rarely: then more of what it shows is written at once.
        for _ in range(self.list_interval_us // LIST_US):
            if drains:
                await self.drain(drains)
            drains = dict(islice(drains.items(), self.settings.txn_ops, None))

    def _drains_of(self, listed: list[ListedMachine], wall_us: int) -> dict[str, DrainRecord]:
        """Return the drains that a machine list calls for."""
        drains: dict[str, DrainRecord] = {}
        requested = {
            name for record in self.replica.instance_requests.values() for name in record.machines or ()
        }
        for item in listed:
            if item.name in self.replica.drains:
                continue
            if item.state == "failed":
                drains[item.name] = DrainRecord("failed", wall_us)
            elif (
                item.state == "booting"
                and item.name not in requested
                and item.name not in self.replica.machines
                and item.age_s * SECOND_US > self.autoscaler.boot_timeout_us(item.type)
            ):
                drains[item.name] = DrainRecord("never came up", wall_us)
        return drains
