"""Machine types offered by the cloud."""

from __future__ import annotations

import msgspec


class MachineType(msgspec.Struct, frozen=True):
    """A machine type offered by the cloud, with its prices.

    Attributes:
        name: the name of the type.
        cpus: processors.
        gpus: accelerators.
        memory_gb: memory.
        cache_gb: the space for cached images.
        fetch_gb_per_s: the rate at which images are fetched.
        price: the price of an instance per unit of time.
        spot_price: the price of a spot instance per unit of time.
        boot_us: the boot time of an instance.
        zones: the zones in which it is offered.
    """

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_us: int
    zones: tuple[str, ...]
