"""Selection of the instance kind to rent for a job: the allowed kind with the lowest price per task."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import total_resources
from pearstep.scheduling.capacity import COUNT_LIMIT
from pearstep.scheduling.placement import fits_machine_type
from pearstep.scheduling.whole_machine import WholeMachineReservations


class InstanceKind(NamedTuple):
    """A kind of instance that the cloud offers: a machine type in a zone, spot or on-demand."""

    machine_type: str
    zone: str
    spot: bool


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """Return the price of a machine per hour."""
    return machine_type.spot_price if spot else machine_type.price


def price_per_task(spec: JobSpec, machine_type: MachineType, spot: bool) -> float:
    """Return the price per hour of one task of the job on a fully used machine of this kind."""
    tasks_per_machine = total_resources(machine_type).count_fitting(spec, COUNT_LIMIT)
    return hourly_price(machine_type, spot) / tasks_per_machine


class InstanceSelector:
    """Chooses instance kinds by price among those that the cloud has not refused."""

    def __init__(
        self,
        machine_types: dict[str, MachineType],
        zones: list[str],
        reservations: WholeMachineReservations,
        refused_until_us: Mapping[InstanceKind, int],
        max_price_ratio: float,
    ) -> None:
        """Create a selector for the available machine types in the cluster's zones."""
        self.machine_types = machine_types
        self.zones = zones
        self.reservations = reservations
        self.refused_until_us = refused_until_us
        self.max_price_ratio = max_price_ratio

    def cheapest(
        self,
        spec: JobSpec,
        count: int,
        now_us: int,
        requested: Mapping[InstanceKind, int],
        preferred_zone: str | None,
    ) -> InstanceKind | None:
        """Return the instance kind with the lowest price per task that it would hold.

        Among zones with the same price, the zone of the job's other tasks is preferred, then the one with the
        fewest requested machines. Seen: all machines for a fleet were requested in one zone, the missing ones
        in the next zone a second later, and the last zone's machines came four seconds late for gangs that
        had 50 seconds.

        Args:
            spec: The job.
            count: The number of its tasks that need a machine.
            now_us: The current time of the monotonic clock.
            requested: The number of machines that this plan already requests, by kind.
            preferred_zone: The zone of the job's other tasks, if it is decided.
        """
        best: InstanceKind | None = None
        best_cost = (0.0, 0)
        max_prices = {spot: self.max_price(spec, spot) for spot in (True, False)}
        for machine_type in self.machine_types.values():
            if not fits_machine_type(spec, machine_type):
                continue
            tasks_held = total_resources(machine_type).count_fitting(spec, count)
            for kind in self._allowed_kinds(spec, machine_type, max_prices):
                if self.refused_until_us.get(kind, 0) > now_us:
                    continue
                zone_order = -1 if kind.zone == preferred_zone else requested.get(kind, 0)
                cost = (hourly_price(machine_type, kind.spot) / tasks_held, zone_order)
                if best is None or cost < best_cost:
                    best, best_cost = kind, cost
        return best

    def _allowed_kinds(
        self, spec: JobSpec, machine_type: MachineType, max_prices: dict[bool, float]
    ) -> Iterator[InstanceKind]:
        """Yield the instance kinds of a machine type that the job may use, by zone, spot instances first."""
        spot_options = [
            spot
            for spot in (True, False)
            if (spec.spot or not spot) and self.is_acceptable(spec, machine_type, spot, max_prices[spot])
        ]
        for zone in machine_type.zones:
            if zone in self.zones and (spec.zone is None or zone == spec.zone):
                for spot in spot_options:
                    yield InstanceKind(machine_type.name, zone, spot)

    def max_price(self, spec: JobSpec, spot: bool) -> float:
        """Return the maximum price per hour of one task of the job.

        It is a multiple of the cheapest price per task in the same market, whether or not that kind is
        available now. Seen (relevamiento-forestal): when the cheap machines were rented out, machines at
        eighteen times their price per task were rented for jobs that could wait, and the cost of the day was
        twice what the work was worth.
        """
        if not self.max_price_ratio:
            return float("inf")
        return self.max_price_ratio * min(
            price_per_task(spec, machine_type, spot)
            for machine_type in self.machine_types.values()
            if fits_machine_type(spec, machine_type)
        )

    def is_acceptable(self, spec: JobSpec, machine_type: MachineType, spot: bool, max_price: float) -> bool:
        """Tell whether the job may use machines of this kind and their price per task is acceptable."""
        return (
            not self.reservations.is_reserved_from(spec, machine_type.name, spot)
            and price_per_task(spec, machine_type, spot) <= max_price
        )
