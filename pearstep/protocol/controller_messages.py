"""The controllers' side of the protocol. The protocol's own names for things appear in this package only."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.units import SECOND_US

JOBS_PATH = "/v2/runs"
CANCEL_ACTION = "abort"
READY_PATH = "/ready"
HEARTBEAT_PATH = "/hello"
COMMANDS_PATH = "/commands"
INSPECT_PATH = "/inspect"
MACHINE_TYPES_PATH = "/flavors"
MACHINES_PATH = "/hosts"
DELETE_MACHINES_PATH = "/hosts/delete"
KEYS_PATH = "/kv"
TRANSACTION_PATH = "/txn"
LEASES_PATH = "/leases"
RENEW_ACTION = "renew"
CHANGES_PATH = "/changes"
PEER_STATUS_PATH = "/mesh/status"
PEER_CANCELLATIONS_PATH = "/mesh/ends"

BODY_LIMIT = 64 * 1024
PEER_QUERY_CLOUD, PEER_QUERY_AGENTS, PEER_QUERY_AFTER = "cloud", "workers", "after"
REF = r"^req-[0-9]{1,20}$"

Ref = Annotated[str, Meta(pattern=REF)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0, le=1e6)]
Seconds = Annotated[float, Meta(ge=0, le=1e8)]

KIND_IN = {"batch": "array", "gang": "gang", "daemon": "service"}
PRIORITY_IN = {"critical": 0, "high": 1, "normal": 2, "low": 3}
STAGE_OUT = {"queued": "queued", "running": "running", "done": "done", "cancelled": "withdrawn"}
STAGE_IN = {
    "pulling": "fetching",
    "gathering": "waiting",
    "running": "running",
    "saving": "saving",
    "exited": "exited",
}
CAUSE_IN = {"mates_gone": "peers", "full": "no_room", "in_use": "busy", "no_such": "unknown"}
VERB_OUT = {"start": "run", "stop": "halt", "forget": "reap"}


class Submission(
    msgspec.Struct,
    rename={
        "job_id": "ref",
        "job_class": "cohort",
        "team": "holder",
        "kind": "shape",
        "priority": "rank",
        "tasks": "parcels",
        "cpus": "vcpus",
        "gpus": "accelerators",
        "memory_gb": "memoryGb",
        "image": "bundle",
        "image_gb": "sizeGb",
        "types": "breeds",
        "zone": "plot",
        "one_zone": "together",
        "spread": "scatter",
        "spot": "windfall",
        "estimate_s": "reckonS",
        "checkpoint_s": "markS",
        "save_s": "stowS",
        "deadline_s": "dueS",
    },
):
    """A job as a user submits it."""

    job_id: Ref
    job_class: Name
    team: Name
    kind: str
    priority: str
    tasks: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Name
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Seconds
    checkpoint_s: Seconds
    save_s: Seconds
    types: Annotated[list[Name], Meta(max_length=100)] | None = None
    zone: Name | None = None
    deadline_s: Seconds | None = None


class MalformedMessageError(Exception):
    """A message that cannot be understood; the text says why."""


_submission = msgspec.json.Decoder(Submission)


class _RefOnly(msgspec.Struct):
    ref: Ref


_ref_only = msgspec.json.Decoder(_RefOnly)


def decode_job_id(body: bytes) -> str:
    """The job id of a submission that may otherwise be invalid: a known job is answered before
    its repeat is checked."""
    try:
        return _ref_only.decode(body).ref
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from None


def decode_submission(body: bytes) -> JobSpec:
    """Check a submission and turn it into the core's terms."""
    try:
        sub = _submission.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from None
    if sub.kind not in KIND_IN:
        raise MalformedMessageError("unknown shape")
    if sub.priority not in PRIORITY_IN:
        raise MalformedMessageError("unknown rank")
    return JobSpec(
        job_id=sub.job_id,
        job_class=sub.job_class,
        team=sub.team,
        kind=KIND_IN[sub.kind],
        priority=PRIORITY_IN[sub.priority],
        tasks=sub.tasks,
        cpus=sub.cpus,
        gpus=sub.gpus,
        memory_gb=sub.memory_gb,
        image=sub.image,
        image_gb=sub.image_gb,
        types=None if sub.types is None else tuple(sub.types),
        zone=sub.zone,
        one_zone=sub.one_zone,
        spread=sub.spread,
        spot=sub.spot,
        estimate_us=int(sub.estimate_s * SECOND_US),
        checkpoint_us=int(sub.checkpoint_s * SECOND_US),
        save_us=int(sub.save_s * SECOND_US),
        deadline_us=None if sub.deadline_s is None else int(sub.deadline_s * SECOND_US),
    )


def encode_job_status(ref: str, stage: str, done: int | None = None, running: int | None = None) -> bytes:
    """What a user is told of a job."""
    out: dict[str, Any] = {"ref": ref, "stage": STAGE_OUT[stage]}
    if done is not None:
        out["done"], out["running"] = done, running
    return msgspec.json.encode(out)


def encode_error(why: str) -> bytes:
    """A short reason."""
    return msgspec.json.encode({"error": why})


class TaskStatusMessage(
    msgspec.Struct,
    rename={"task": "parcel", "attempt": "try", "state": "stage", "cause": "cause", "saved": "kept"},
):
    """A task as its worker sees it."""

    task: str
    attempt: int
    state: str
    cause: str | None = None
    saved: bool | None = None


class HeartbeatMessage(
    msgspec.Struct,
    rename={
        "machine": "tree",
        "type": "breed",
        "zone": "plot",
        "spot": "windfall",
        "incarnation": "tenure",
        "sequence": "tally",
        "fencing_token": "warrant",
        "notice_s": "warningS",
        "tasks": "parcels",
    },
):
    """A worker's report."""

    machine: Name
    address: str
    type: str
    zone: str
    spot: bool
    incarnation: int
    sequence: int
    fencing_token: int
    tasks: list[TaskStatusMessage]
    notice_s: float | None = None


_report = msgspec.json.Decoder(HeartbeatMessage)


def decode_heartbeat(body: bytes) -> HeartbeatMessage:
    """Check a report and translate its tasks' states."""
    try:
        report = _report.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from None
    for task in report.tasks:
        if task.state not in STAGE_IN:
            raise MalformedMessageError(f"unknown task state {task.state}")
        task.state = STAGE_IN[task.state]
        if task.cause is not None:
            task.cause = CAUSE_IN.get(task.cause, task.cause)
    return report


class CommandMessage(
    msgspec.Struct,
    omit_defaults=True,
    rename={"op": "verb", "task": "parcel", "attempt": "try", "grace_s": "respiteS"},
):
    """A command to a worker."""

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


def encode_commands(
    token: int, orders: Sequence[tuple[str, str, int, float | None]], session: int | None = None
) -> bytes:
    """Commands as a report's answer, or with a session as a direct request."""
    out: dict[str, Any] = {"warrant": token}
    if session is not None:
        out["tenure"] = session
    out["orders"] = [
        CommandMessage(VERB_OUT[op], task, attempt, grace) for op, task, attempt, grace in orders
    ]
    return msgspec.json.encode(out)


def encode_redirect(node: str | None) -> bytes:
    """Tells a worker which node to report to."""
    return msgspec.json.encode({"steward": node} if node else {})


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
    """The machine types on offer by name."""
    return {
        t.name: MachineType(
            t.name,
            t.cpus,
            t.gpus,
            t.memory_gb,
            t.cache_gb,
            t.fetch_gb_per_s,
            t.price,
            t.spot_price,
            int(t.boot_s * SECOND_US),
            tuple(t.zones),
        )
        for t in msgspec.json.decode(body, type=MachineTypeList).types
    }


class InstanceRequestAnswer(msgspec.Struct, rename={"machines": "trees"}):
    """The answer to a rental request."""

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
    """A page of the cloud's list."""

    machines: list[ListedMachine]
    more: bool = False


def encode_instance_request(name: str, mtype: str, zone: str, spot: bool, count: int) -> bytes:
    """A rental request."""
    return msgspec.json.encode(
        {"hire": name, "breed": mtype, "plot": zone, "windfall": spot, "howMany": count}
    )


def encode_delete_machines(names: list[str]) -> bytes:
    """A request to delete machines."""
    return msgspec.json.encode({"trees": names})


class KeyValue(msgspec.Struct, rename={"key": "path", "version": "stamp"}):
    """A key with its value, undecoded."""

    key: str
    value: msgspec.Raw
    version: int


class KeyPage(msgspec.Struct, rename={"items": "pairs", "more": "hasNext", "revision": "ledger"}):
    """A page of keys."""

    items: list[KeyValue]
    revision: int
    more: bool = False


class Change(msgspec.Struct, rename={"version": "stamp"}):
    """One change of a key: a put with its value, or a delete."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class Changes(msgspec.Struct, rename={"revision": "ledger", "events": "log"}):
    """All changes after a revision."""

    revision: int
    events: list[Change]


class TransactionAnswer(msgspec.Struct, rename={"revision": "ledger"}):
    """The outcome of a transaction."""

    revision: int
    failed: list[str] = []


class LeaseGranted(msgspec.Struct, rename={"lease": "tenancy"}):
    """A new lease."""

    lease: int


def encode_transaction(
    conditions: dict[str, int], puts: dict[str, tuple[Any, int | None]], deletes: list[str]
) -> bytes:
    """A transaction: conditions by key, puts with an optional lease, deletes."""
    then: list[dict[str, Any]] = []
    for key, (value, lease) in puts.items():
        put: dict[str, Any] = {"put": key, "value": value}
        if lease is not None:
            put["tenancy"] = lease
        then.append(put)
    then.extend({"delete": key} for key in deletes)
    return msgspec.json.encode(
        {"when": [{"path": k, "stamp": v} for k, v in conditions.items()], "then": then}
    )


def encode_lease_request(ttl_ms: int) -> bytes:
    """A request for a lease."""
    return msgspec.json.encode({"ttlMs": ttl_ms})


def key_page_path(prefix: str, after: str | None, limit: int) -> str:
    """Path and query of a page of keys."""
    more = f"&from={after}" if after else ""
    return f"{KEYS_PATH}?starts={prefix}{more}&limit={limit}"


def changes_path(after: int, wait_ms: int) -> str:
    """Path and query of the changes after a revision, of all keys."""
    return f"{CHANGES_PATH}?starts=&from={after}&waitMs={wait_ms}"


def machine_page_path(after: str | None) -> str:
    """Path and query of a page of the machine list."""
    return f"{MACHINES_PATH}?limit=500" + (f"&from={after}" if after else "")
