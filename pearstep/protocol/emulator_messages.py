"""The platform's side of the protocol, for the emulators of the state service and the cloud."""

from __future__ import annotations

from typing import Any

import msgspec


class Condition(msgspec.Struct, rename={"key": "path", "version": "stamp"}):
    """A key and the version that it must have; 0 if it must not exist."""

    key: str
    version: int


class TransactionOperation(msgspec.Struct, rename={"lease": "tenancy"}):
    """A put with its value and optional lease, or a delete."""

    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")
    lease: int | None = None


class Transaction(msgspec.Struct, rename={"conditions": "when", "ops": "then"}):
    """A transaction: operations that are executed if all conditions hold."""

    conditions: list[Condition] = []
    ops: list[TransactionOperation] = []


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "ttlMs"}):
    """A request for a lease."""

    ttl_ms: int


class InstanceRequestMessage(
    msgspec.Struct,
    rename={"name": "hire", "type": "breed", "zone": "plot", "spot": "windfall", "count": "howMany"},
):
    """An instance request."""

    name: str
    type: str
    zone: str
    spot: bool
    count: int


class DeletionRequest(msgspec.Struct, rename={"machines": "trees"}):
    """A request to delete machines."""

    machines: list[str]


decode_transaction = msgspec.json.Decoder(Transaction).decode
decode_lease_request = msgspec.json.Decoder(LeaseRequest).decode
decode_instance_request = msgspec.json.Decoder(InstanceRequestMessage).decode
decode_deletion_request = msgspec.json.Decoder(DeletionRequest).decode


def encode_revision(revision: int) -> bytes:
    """Encode an answer with a revision alone, such as that to an applied transaction."""
    return msgspec.json.encode({"ledger": revision})


def encode_conflict(failed: list[str], revision: int) -> bytes:
    """Encode the answer to a transaction in conflict, with the keys whose conditions failed."""
    return msgspec.json.encode({"failed": failed, "ledger": revision})


def build_key_value(key: str, value: bytes, version: int, lease: int | None) -> dict[str, Any]:
    """Return the fields of a key with its value, as in a page of keys."""
    fields: dict[str, Any] = {"path": key, "value": msgspec.Raw(value), "stamp": version}
    if lease is not None:
        fields["tenancy"] = lease
    return fields


def encode_key_page(pairs: list[dict[str, Any]], more: bool, revision: int) -> bytes:
    """Encode a page of keys."""
    return msgspec.json.encode({"pairs": pairs, "hasNext": more, "ledger": revision})


def encode_changes(log: list[tuple[int, str, bytes | None]], revision: int) -> bytes:
    """Encode changes, each with version, key and value; the value of a delete is None."""
    events: list[dict[str, Any]] = []
    for version, key, value in log:
        if value is None:
            events.append({"delete": key, "stamp": version})
        else:
            events.append({"put": key, "value": msgspec.Raw(value), "stamp": version})
    return msgspec.json.encode({"ledger": revision, "log": events})


def encode_lease(lease: int) -> bytes:
    """Encode the answer to a request for a lease."""
    return msgspec.json.encode({"tenancy": lease})


def build_machine_type(  # noqa: PLR0913 - one field of the message each
    name: str, cpus: float, gpus: float, memory_gb: float, boot_s: float, price: float, zones: list[str]
) -> dict[str, Any]:
    """Return the fields of a machine type on offer."""
    return {
        "sku": name,
        "vcpus": cpus,
        "accelerators": gpus,
        "memoryGb": memory_gb,
        "localGb": 100.0,
        "fetchGbPerS": 1.0,
        "rate": price,
        "spotPrice": price / 3,
        "startupS": boot_s,
        "plots": zones,
    }


def encode_machine_types(types: list[dict[str, Any]]) -> bytes:
    """Encode the machine types on offer."""
    return msgspec.json.encode({"breeds": types})


def encode_instance_names(names: list[str]) -> bytes:
    """Encode the answer to an instance request: the names of the new machines."""
    return msgspec.json.encode({"trees": names})


def encode_machine_page(rows: list[tuple[str, str, str, str, bool, str, float]], more: bool) -> bytes:
    """Encode a page of machines: name, address, type, zone, spot, state, age in seconds."""
    return msgspec.json.encode(
        {
            "trees": [
                {
                    "ref": name,
                    "address": address,
                    "breed": machine_type,
                    "plot": zone,
                    "windfall": spot,
                    "stage": state,
                    "ageS": age_s,
                }
                for name, address, machine_type, zone, spot, state, age_s in rows
            ],
            "hasNext": more,
        }
    )
