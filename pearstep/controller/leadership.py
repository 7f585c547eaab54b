"""One leadership of this node: its fencing token, and the routes and machine requests written under it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from pearstep.controller.autoscaler_loop import AutoscalerLoop
from pearstep.controller.cloud_client import CloudClient
from pearstep.controller.leader_transactions import LeaderContext, LeaderTransactions
from pearstep.controller.route_writer import RouteWriter
from pearstep.controller.settings import Settings, to_us
from pearstep.domain.machine_type import MachineType
from pearstep.leader.autoscaler import Autoscaler
from pearstep.leader.autoscaler_config import AutoscalerConfig
from pearstep.leader.route_plan import RoutePlan
from pearstep.leader.route_planner import RoutePlanner
from pearstep.state.records import NODE_VERSION, ShardLayoutRecord
from pearstep.state.replica import Replica
from pearstep.state.shard_layout import can_use_zone_layout
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import KeyValueStore

log = EventLogger("pearstep.leader")

LAYOUT_KEY = "layout"


def _route_planner(context: LeaderContext) -> RoutePlanner:
    settings = context.settings
    backfilling = settings.tuning.backfilling
    return RoutePlanner(
        context.fencing_token,
        context.replica,
        context.machine_types,
        settings.teams,
        settings.shard_count,
        backfilling.backlog,
        settings.start_objectives,
        to_us(backfilling.begin_s),
    )


def _autoscaler(context: LeaderContext) -> Autoscaler:
    settings = context.settings
    renting = settings.tuning.renting
    config = AutoscalerConfig(
        idle_us=to_us(renting.idle_s),
        max_per_request=renting.most_at_once,
        max_machines=renting.most_machines,
        refusal_backoff_us=to_us(renting.refused_s),
        boot_factor=renting.boot_factor,
        boot_margin_us=to_us(renting.boot_margin_s),
        boot_wait_factor=renting.patience,
        overrun_share=settings.tuning.backfilling.overrun,
        urgent_classes=settings.urgent_classes,
        start_objectives=settings.start_objectives,
        consolidation_interval_us=to_us(renting.move_s),
        max_price_ratio=renting.dearest,
    )
    return Autoscaler(context.replica, context.machine_types, settings.params.zones, config)


class Leadership:
    """One term of this node as the leader.

    Its fencing token is the revision of the leader's key. The ``RouteWriter`` writes routes and the
    ``AutoscalerLoop`` rents and drains machines, both under that token.
    """

    def __init__(  # noqa: PLR0913 - one argument for each collaborator; bundled in a LeaderContext here
        self,
        settings: Settings,
        replica: Replica,
        machine_types: dict[str, MachineType],
        kv: KeyValueStore,
        cloud: CloudClient,
        fencing_token: int,
        now_us: Callable[[], int],
        wall_us: Callable[[], int],
        apply_own_commit: Callable[[str, int, object], None],
        read_barrier: Callable[[], Awaitable[bool]],
    ) -> None:
        """Build the components of a leadership with a fencing token."""
        context = LeaderContext(
            settings=settings,
            replica=replica,
            machine_types=machine_types,
            kv=kv,
            cloud=cloud,
            fencing_token=fencing_token,
            now_us=now_us,
            wall_us=wall_us,
            apply_own_commit=apply_own_commit,
            read_barrier=read_barrier,
        )
        self.settings = settings
        self.replica = replica
        self.fencing_token = fencing_token
        self.now_us = now_us
        self.wall_us = wall_us
        self.read_barrier = read_barrier
        self.planner = _route_planner(context)
        self.autoscaler = _autoscaler(context)
        self.transactions = LeaderTransactions(context)
        self.route_writer = RouteWriter(context, self.transactions)
        self.autoscaler_loop = AutoscalerLoop(context, self.transactions, self.planner, self.autoscaler)

    async def commit(
        self, puts: dict[str, Any], conditions: dict[str, int], deletes: list[str] | None = None
    ) -> str:
        """Write under the fencing token; see ``LeaderTransactions.commit``."""
        return await self.transactions.commit(puts, conditions, deletes)

    def is_current(self) -> bool:
        """Tell whether the replica still shows this leadership as the current one."""
        return self.transactions.is_current()

    async def fix_shard_layout(self) -> None:
        """Record once how machines are assigned to shards, before the first machine is registered."""
        zones = self.settings.shard_zones
        if self.replica.layout is not None or not zones:
            return
        holders = [self.replica.shard_holders.get(shard) for shard in range(self.settings.shard_count)]
        versions = [holder.node_version if holder is not None and holder.node else None for holder in holders]
        within_zones = can_use_zone_layout(len(self.replica.machines), versions, NODE_VERSION)
        if within_zones and not self.settings.tuning.leading.parts_within_zones:
            within_zones = False
        if within_zones is not None:
            log.info("shard layout fixed", within_zones=within_zones)
            layout = ShardLayoutRecord(list(zones) if within_zones else [])
            await self.commit({LAYOUT_KEY: layout}, {LAYOUT_KEY: 0})

    def plan(self) -> list[RoutePlan]:
        """Return plans for the routes that should change."""
        settle_us = to_us(self.settings.tuning.renting.settle_s)
        return self.planner.plan(self.now_us(), settle_us, self.wall_us())

    async def write_routes(self, plans: list[RoutePlan]) -> None:
        """Write new routes."""
        await self.route_writer.write_routes(plans)

    async def scale_fleet(self) -> None:
        """Run one pass that rents and drains machines."""
        await self.autoscaler_loop.run_pass()
