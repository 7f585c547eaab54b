"""Carry out the autoscaler's decisions: request instances, reconcile the machine list, drain machines."""

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

# Shortest interval between two reads of the cloud's machine list, and the largest share of the cloud's
# request rate for all nodes that these reads may use.
MIN_LIST_INTERVAL_US = 8 * SECOND_US
MAX_LIST_REQUEST_SHARE = 1 / 8
# A failed read of the list is retried after the list interval divided by this.
LIST_RETRY_DIVISOR = 8
# A pass sends no further instance request after this time.
REQUEST_ROUND_US = SECOND_US
# An instance request without an answer is sent again after this time.
REQUEST_RETRY_US = 3 * SECOND_US
# Completed instance requests are deleted once there are this many, in one transaction.
MIN_REQUESTS_PER_DELETION = 4
# The fleet is not scaled for this time after a shard has lost its owner.
UNOWNED_SHARD_WAIT_US = 15 * SECOND_US
# No consolidation for this time after a pass with unplaced work.
CONSOLIDATION_PAUSE_US = 10 * SECOND_US
# Earlier than any time of the clock.
NEVER_US = -(1 << 60)


def list_interval_us(pages: int, requests_per_s: float) -> int:
    """Return the interval between two reads of a machine list with a number of pages."""
    return max(MIN_LIST_INTERVAL_US, int(pages / (MAX_LIST_REQUEST_SHARE * requests_per_s) * 1e6))


class AutoscalerLoop:
    """Rents, lists and drains machines under one leadership."""

    def __init__(
        self,
        context: LeaderContext,
        transactions: LeaderTransactions,
        planner: RoutePlanner,
        autoscaler: Autoscaler,
    ) -> None:
        """Create a loop that carries out an autoscaler's decisions for a planner's unplaced work."""
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
        # When machines of each type, spot or not, were last requested. The types take turns.
        self.type_requested_at_us: dict[tuple[str, bool], int] = {}
        self.listed_at_us = NEVER_US
        self.list_interval_us = MIN_LIST_INTERVAL_US
        self.has_listed = False
        self.started_at_us = self.now_us()
        self.all_owned_at_us = self.now_us()

    async def run_pass(self) -> None:
        """Repeat unanswered requests, rent machines for unplaced work, and drain unneeded machines."""
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
            return  # machines that a former leader rented may no longer exist; only the list shows that
        unplaced = self.planner.unplaced + self.planner.unroutable
        await self._scale_out(unplaced, now_us, wall_us)
        await self._scale_in(unplaced, now_us, wall_us)
        await self.delete_completed_requests()

    def _is_shard_unowned(self, now_us: int) -> bool:
        """Tell whether a shard has recently lost its owner.

        The machines of such a shard appear to have no room, but another node takes the shard over in seconds.
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
            # The cloud allows only a few requests per second, so machine types take turns. Seen: a round of
            # twelve requests took five seconds, and work that became urgent during it was served last. Seen
            # with the most urgent request always first: requests of one or two machines for services that
            # were submitted one by one delayed the machines for gangs by six seconds.
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
        """Record a request before sending it, so that a later leader can repeat it."""
        self.request_count += 1
        # Unique over all nodes and leaderships, because each leadership has its own fencing token.
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

    async def delete_completed_requests(self) -> None:
        """Delete the records of requests whose machines have all come up or are being deleted."""
        completed = [
            instance_request_key(name)
            for name, record in self.replica.instance_requests.items()
            if record.machines is not None
            and not any(machine in self.autoscaler.booting for machine in record.machines)
        ]
        completed = completed[: self.settings.txn_ops]
        if len(completed) >= min(MIN_REQUESTS_PER_DELETION, self.settings.txn_ops):
            versions = {key: self.replica.version_of(key) for key in completed}
            await self.transactions.commit_independently({}, versions, completed)

    async def drain(self, drains: dict[str, DrainRecord]) -> None:
        """Record the drains of machines, as many as fit in one transaction."""
        written = islice(drains.items(), self.settings.txn_ops)
        puts = {drain_key(name): record for name, record in written}
        log.info("draining machines", machines=[f"{name} ({drain.reason})" for name, drain in drains.items()])
        await self.transactions.commit_independently(puts, dict.fromkeys(puts, 0), [])

    async def reconcile_machine_list(self) -> None:
        """Read the machine list, and drain failed machines and unrequested machines that never came up."""
        listed = await self.cloud.machines()
        if listed is None:
            retry_us = self.list_interval_us // LIST_RETRY_DIVISOR
            self.listed_at_us = self.now_us() - self.list_interval_us + retry_us
            return
        cloud_settings = self.settings.params.cloud
        self.list_interval_us = list_interval_us(self.cloud.list_pages, cloud_settings.rps)
        wall_us = self.wall_us()
        self.has_listed = True
        self.autoscaler.observe_machine_list(
            {item.name for item in listed}, to_us(cloud_settings.list_lag_s), wall_us
        )
        drains = self._drains_for(listed, wall_us)
        # A long list is read less often, so more drains are written after each read.
        for _ in range(self.list_interval_us // MIN_LIST_INTERVAL_US):
            if drains:
                await self.drain(drains)
            drains = dict(islice(drains.items(), self.settings.txn_ops, None))

    def _drains_for(self, listed: list[ListedMachine], wall_us: int) -> dict[str, DrainRecord]:
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
