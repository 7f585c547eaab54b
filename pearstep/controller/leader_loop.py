"""Act as the leader while this node holds the leader lease: plan routes and scale the fleet.

The machine types, which every node needs, are read here too.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from pearstep.controller.cloud_client import CloudClient
from pearstep.controller.extension import Extension
from pearstep.controller.leadership import Leadership
from pearstep.controller.lease_manager import LeaseManager
from pearstep.controller.settings import Leading as LeadingSettings
from pearstep.controller.shard_loop import pause_after_pass
from pearstep.domain.machine_type import MachineType
from pearstep.transport.clock import now_us
from pearstep.transport.kv_client import KeyValueStore

# Longest wait between two planning passes.
PASS_INTERVAL_S = 0.7
# Wait while this node does not lead or must not act.
IDLE_WAIT_S = 0.1
FLEET_INTERVAL_S = 0.4
MACHINE_TYPES_INTERVAL_S = 30
MACHINE_TYPES_RETRY_S = (0.5, 1.0)


class LeaderLoop:
    """The leader's loops. The dict of machine types is shared with all components that make decisions."""

    def __init__(  # noqa: PLR0913 - one argument for each collaborator, as the controller wires them
        self,
        settings: LeadingSettings,
        leases: LeaseManager,
        kv: KeyValueStore,
        cloud: CloudClient,
        machine_types: dict[str, MachineType],
        pass_requested: asyncio.Event,
        on_machine_types: Callable[[], None],
        extension: Extension | None = None,
    ) -> None:
        """Create the loops.

        Args:
            settings: The operators' settings for the pace of passes.
            leases: Holds the leadership while this node leads.
            kv: The client of the state service.
            cloud: The client of the cloud.
            machine_types: The machine types on offer, updated here.
            pass_requested: Set to request a pass.
            on_machine_types: Called when the machine types have been read.
            extension: Called before and after planning.
        """
        self.settings = settings
        self.leases = leases
        self.kv = kv
        self.cloud = cloud
        self.machine_types = machine_types
        self.pass_requested = pass_requested
        self._on_machine_types = on_machine_types
        self._extension = extension

    async def plan_routes(self) -> None:
        """Wait until a pass is requested or the interval has passed, then plan and write routes once."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.pass_requested.wait(), PASS_INTERVAL_S)
        self.pass_requested.clear()
        leadership = self._acting_leadership()
        if leadership is None:
            await asyncio.sleep(IDLE_WAIT_S)
            return
        await leadership.fix_shard_layout()
        if self._extension is not None:
            await self._extension.before_plan(leadership)
        if not leadership.replica.is_complete_up_to_last_end and not await leadership.read_barrier():
            return
        started_us = now_us()
        plans = leadership.plan()
        planning_us = now_us() - started_us
        if self._extension is not None:
            self._extension.after_plan(leadership)
        await leadership.write_routes(plans)
        await pause_after_pass(self.settings, now_us() - planning_us)

    def _acting_leadership(self) -> Leadership | None:
        """Return this node's leadership if it has one and may act on it now."""
        leadership = self.leases.leadership
        if leadership is None or self.kv.unavailable_since_us is not None or not self.leases.may_act():
            return None
        return leadership

    async def scale_fleet(self) -> None:
        """Wait, then rent and drain machines."""
        await asyncio.sleep(FLEET_INTERVAL_S)
        leadership = self._acting_leadership()
        if leadership is not None:
            await leadership.scale_fleet()

    async def refresh_machine_types(self) -> None:
        """Read the machine types on offer, then wait; they are read again because prices change."""
        types = await self.cloud.machine_types()
        if types:
            self.machine_types.update(types)
            self._on_machine_types()
        await asyncio.sleep(MACHINE_TYPES_INTERVAL_S if types else random.uniform(*MACHINE_TYPES_RETRY_S))
