"""The autoscaler decides which machines to rent and return, from the records and the cloud's machine list."""

from __future__ import annotations

from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US
from pearstep.leader.autoscaler_config import AutoscalerConfig
from pearstep.leader.cluster_snapshot import SnapshotMachine
from pearstep.leader.consolidation import Consolidation
from pearstep.leader.instance_selection import InstanceKind, InstanceSelector
from pearstep.leader.scale_out import InstanceRequest, ScaleOutPlan, UpcomingMachine, booting_machine
from pearstep.leader.unplaced_work import UnplacedWork
from pearstep.scheduling.capacity import resource_shape
from pearstep.scheduling.placement import fits_machine_type
from pearstep.state.records import DrainRecord, InstanceRequestRecord, MachineRecord
from pearstep.state.replica import Replica

# The boot time assumed for machine types that are no longer available.
DEFAULT_BOOT_US = 60 * SECOND_US
# A machine that is missing from the cloud's list is gone if it was rented this many list lags ago.
MIN_LIST_LAGS_UNTIL_GONE = 3


class BootingMachine(NamedTuple):
    """A rented machine that has not come up, with its request and its request time by the monotonic clock."""

    request: InstanceRequestRecord
    since_us: int


class Autoscaler:
    """The leader's view of the fleet. A new leader rebuilds it from the records.

    Attributes:
        idle_since: The time since which each idle machine has been idle, by the monotonic clock.
        refused_until_us: The time before which each instance kind is not requested, by the monotonic clock.
        booting: The rented machines that have not come up.
        no_longer_booting: The rented machines that have come up or are gone.
    """

    def __init__(
        self,
        replica: Replica,
        machine_types: dict[str, MachineType],
        zones: list[str],
        config: AutoscalerConfig,
    ) -> None:
        """Start without any observations of the fleet."""
        self.replica = replica
        self.machine_types = machine_types
        self.zones = zones
        self.config = config
        self.idle_since: dict[str, int] = {}
        self.refused_until_us: dict[InstanceKind, int] = {}
        self.booting: dict[str, BootingMachine] = {}
        self.no_longer_booting: set[str] = set()
        self.next_consolidation_at_us = 0

    def record_refusal(self, kind: InstanceKind, now_us: int) -> None:
        """Record that the cloud has no capacity for an instance kind now."""
        self.refused_until_us[kind] = now_us + self.config.refusal_backoff_us

    def observe(self, now_us: int, wall_us: int) -> None:
        """Update the sets of booting and idle machines from the records."""
        self._observe_booting(now_us, wall_us)
        self._observe_idle(now_us)

    def _observe_booting(self, now_us: int, wall_us: int) -> None:
        for request in self.replica.instance_requests.values():
            for name in request.machines or ():
                if name in self.replica.machines or name in self.replica.drains:
                    continue
                if name not in self.no_longer_booting and name not in self.booting:
                    age_us = max(wall_us - request.requested_at_us, 0)
                    self.booting[name] = BootingMachine(request, now_us - age_us)
        for name in list(self.booting):
            if name in self.replica.machines or name in self.replica.drains:
                self.no_longer_booting.add(name)
                del self.booting[name]

    def _observe_idle(self, now_us: int) -> None:
        for name in self.replica.machines:
            if name in self.replica.placements_by_machine:
                self.idle_since.pop(name, None)
            else:
                self.idle_since.setdefault(name, now_us)
        for name in [each for each in self.idle_since if each not in self.replica.machines]:
            del self.idle_since[name]

    def observe_machine_list(self, names: set[str], lag_us: int, wall_us: int) -> None:
        """Stop treating machines as booting if the cloud's machine list lacks them long after their request.

        Seen: each new leader treated every machine that had been deleted before its term as booting, counted
        on its capacity and requested its deletion repeatedly.

        Args:
            names: The names of the listed machines.
            lag_us: The maximum lag of the list.
            wall_us: The current wall time.
        """
        for name, (request, _) in list(self.booting.items()):
            if name not in names and wall_us - request.requested_at_us > MIN_LIST_LAGS_UNTIL_GONE * lag_us:
                self.no_longer_booting.add(name)
                del self.booting[name]

    def boot_timeout_us(self, machine_type: str) -> float:
        """Return the time in microseconds after which a booting machine of a type is given up."""
        offered_type = self.machine_types.get(machine_type)
        boot_us = DEFAULT_BOOT_US if offered_type is None else offered_type.boot_us
        return boot_us * self.config.boot_factor + self.config.boot_margin_us

    def plan_scale_out(
        self, unplaced: list[UnplacedWork], now_us: int, wall_us: int
    ) -> list[InstanceRequest]:
        """Return the instances to rent for unplaced tasks, beyond the machines that are already booting."""
        plan = ScaleOutPlan(
            self.replica, self.machine_types, self.config, self._selector(), self._upcoming_machines()
        )
        return plan.plan(unplaced, now_us, wall_us)

    def _selector(self) -> InstanceSelector:
        return InstanceSelector(
            self.machine_types,
            self.zones,
            self.replica.machine_reservations,
            self.refused_until_us,
            self.config.max_price_ratio,
        )

    def _upcoming_machines(self) -> list[UpcomingMachine]:
        """Return the booting machines and those of requests that are not answered yet."""
        requests = [booting.request for booting in self.booting.values()]
        for request in self.replica.instance_requests.values():
            if request.machines is None:
                requests.extend([request] * request.count)
        return [
            booting_machine(self.replica, self.machine_types[each.type], each.zone, each.spot)
            for each in requests
            if each.type in self.machine_types
        ]

    def plan_consolidation(
        self, machines: list[SnapshotMachine], now_us: int, wall_us: int
    ) -> dict[str, DrainRecord]:
        """Return the drains of expensive, little used machines whose tasks all fit elsewhere.

        The tasks save and move to other busy machines or to cheaper ones, and the drained machines are
        returned. Only a few machines are drained at a time, so that the moved tasks can settle.
        """
        interval_us = self.config.consolidation_interval_us
        if not interval_us or now_us < self.next_consolidation_at_us:
            return {}
        drains = Consolidation(self.replica, self.config, machines, wall_us).plan()
        self.next_consolidation_at_us = now_us + (interval_us if drains else SECOND_US)
        return drains

    def plan_scale_in(
        self, unplaced: list[UnplacedWork], now_us: int, wall_us: int
    ) -> dict[str, DrainRecord]:
        """Return the drains of machines that have been idle too long or have not come up in time.

        An idle machine is kept if a waiting job can use it. Seen (relevamiento-forestal): some job always
        waited, and idle machines that it could not use were kept until the end of the day.
        """
        drains: dict[str, DrainRecord] = {}
        waiting = {resource_shape(work.job.spec): work.job.spec for work in unplaced}
        for name, since_us in self.idle_since.items():
            if now_us - since_us <= self.config.idle_us or name in self.replica.drains:
                continue
            # Between ``observe`` and this call the leader waits for answers. Seen: a machine's record was
            # deleted in the meantime, and every pass of the autoscaler failed with a KeyError.
            registered = self.replica.machines.get(name)
            if registered is not None and not any(
                self._is_usable_by(registered[1], spec) for spec in waiting.values()
            ):
                drains[name] = DrainRecord("idle", wall_us)
        for name, (request, since_us) in self.booting.items():
            if now_us - since_us > self.boot_timeout_us(request.type):
                drains[name] = DrainRecord("never came up", wall_us)
        return drains

    def _is_usable_by(self, record: MachineRecord, spec: JobSpec) -> bool:
        """Tell whether the job can use an empty machine at an acceptable price."""
        machine_type = self.machine_types.get(record.type)
        if machine_type is None or not fits_machine_type(spec, machine_type):
            return False
        if not booting_machine(self.replica, machine_type, record.zone, record.spot).allows(spec):
            return False
        selector = self._selector()
        max_price = selector.max_price(spec, record.spot)
        return selector.is_acceptable(spec, machine_type, record.spot, max_price)
