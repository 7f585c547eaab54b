"""Messages between controllers and the cloud: machine types, instance requests, deletions, machine lists."""

from __future__ import annotations

import msgspec

from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US

MACHINE_TYPES_PATH = "/flavors"
MACHINES_PATH = "/hosts"
DELETE_MACHINES_PATH = "/hosts/delete"
MACHINES_PER_PAGE = 500


class MachineTypeMessage(
    msgspec.Struct,
    rename={
        "name": "sku",
        "cpus": "vcpus",
        "gpus": "accelerators",
        "memory_gb": "memoryGb",
        "cache_gb": "localGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "price": "rate",
        "spot_price": "spotPrice",
        "boot_s": "startupS",
        "zones": "plots",
    },
):
    """A machine type on offer."""

    name: str
    cpus: float
    memory_gb: float
    zones: list[str]
    gpus: float = 0.0
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 0.0
    price: float = 0.0
    spot_price: float = 0.0
    boot_s: float = 0.0


class MachineTypeList(msgspec.Struct, rename={"types": "breeds"}):
    """All machine types."""

    types: list[MachineTypeMessage]


def decode_machine_types(body: bytes) -> dict[str, MachineType]:
    """Decode the machine types on offer, by name; seconds become microseconds."""
    return {
        machine_type.name: MachineType(
            machine_type.name,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            machine_type.cache_gb,
            machine_type.fetch_gb_per_s,
            machine_type.price,
            machine_type.spot_price,
            int(machine_type.boot_s * SECOND_US),
            tuple(machine_type.zones),
        )
        for machine_type in msgspec.json.decode(body, type=MachineTypeList).types
    }


class InstanceRequestAnswer(msgspec.Struct, rename={"machines": "trees"}):
    """The answer to an instance request: the names of the new machines."""

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={
        "name": "ref",
        "type": "breed",
        "zone": "plot",
        "spot": "windfall",
        "state": "stage",
        "age_s": "ageS",
    },
):
    """A machine in the cloud's list."""

    name: str
    type: str
    zone: str
    state: str
    spot: bool = False
    address: str = ""
    age_s: float = 0.0


class MachineList(msgspec.Struct, rename={"machines": "trees", "more": "hasNext"}):
    """A page of the cloud's list of machines."""

    machines: list[ListedMachine]
    more: bool = False


def encode_instance_request(name: str, machine_type: str, zone: str, spot: bool, count: int) -> bytes:
    """Encode an instance request; ``name`` identifies it when it is repeated."""
    return msgspec.json.encode(
        {"hire": name, "breed": machine_type, "plot": zone, "windfall": spot, "howMany": count}
    )


def encode_delete_machines(names: list[str]) -> bytes:
    """Encode a request to delete machines."""
    return msgspec.json.encode({"trees": names})


def machine_page_path(after: str | None) -> str:
    """Return path and query of the page of the machine list that follows a name."""
    more = f"&from={after}" if after else ""
    return f"{MACHINES_PATH}?limit={MACHINES_PER_PAGE}{more}"
