"""The records in the key-value store and their keys.

The part of a key before the first ``/`` is the kind of record; ``RECORD_TYPES`` lists the kinds of the core.
Programs beyond the core have their own kinds. ``history`` writes ``hr/<bucket>`` and ``zb/`` for finished
jobs that have left their records, and ``compactor`` for the process that moves them. ``federation`` writes
``l/``, ``g/`` and ``peer/``.
The keys of history blocks sort last: a starting node reads all keys before them.

Every write of a lease holder is also conditional on its lease's key, whose version is its fencing token, and
on its write fence. The docstrings of the records name the preconditions beside these two. A key's version is
the revision of its last change; a precondition of 0 requires that the key is absent.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.job_state import JobState

# Kinds of records: the first part of a key.
JOB_KIND = "j"
ROUTE_KIND = "r"
PLACEMENT_KIND = "p"
MACHINE_KIND = "m"
DRAIN_KIND = "d"
INSTANCE_REQUEST_KIND = "h"
SHARD_LEASE_KIND = "part"
LEADER_LEASE_KIND = "leader"
SHARD_LAYOUT_KIND = "layout"
WRITE_FENCE_KIND = "e"
# A kind with a single record is also its key.
LEADER_LEASE_KEY = LEADER_LEASE_KIND
SHARD_LAYOUT_KEY = SHARD_LAYOUT_KIND

# Kinds that ``history`` writes.
HISTORY_ROOT_PREFIX, HISTORY_BLOCK_PREFIX = "hr/", "zb/"
# Kinds that ``federation`` writes.
OFFLOAD_PREFIXES = ("l/", "g/")

# The maximum number of tasks of a job in one placement record.
TASKS_PER_RECORD = 16_384
# ``LeaseHolderRecord.node_version``: the features that a node supports. 1: shard layouts within zones.
NODE_VERSION = 1
# 2: also the history of finished jobs that have left their records.
HISTORY_VERSION = 2


class JobRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "submitted_at_us": "at_us",
        "ended_at_us": "end_us",
        "shard_id": "part",
        "excluded_tasks": "skip",
        "run_until_us": "until_us",
    },
):
    """An accepted job. Key: ``job_key``.

    Writers: any controller that accepts the job (the key must be absent, and the history roots in which the
    id was not found must be unchanged) or cancels it (its version); the shard's owner when the job is done
    (its version). Times are wall times.

    Attributes:
        spec: the job as submitted.
        submitted_at_us: when the job was accepted.
        state: see ``JobState``.
        ended_at_us: when the job was done or cancelled; 0: not yet.
        shard_id: the shard that the job is routed to at submission; it applies until a route record of the
            shard replaces it, and saves writing a route record.
        excluded_tasks: tasks that this cluster does not run, as ranges; set if a peer has lent only part of
            the job.
        run_until_us: the time from which on no task of the job may run here; 0: no limit. Shard owners stop
            the job by their own clocks, also while they cannot write.
    """

    spec: JobSpec
    submitted_at_us: int
    state: JobState = JobState.QUEUED
    ended_at_us: int = 0
    shard_id: int | None = None
    excluded_tasks: str = ""
    run_until_us: int = 0


class RouteRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"zone_tasks": "zoned", "machines": "wide", "start_at_us": "at_us"},
):
    """The tasks of a job that a shard may place, freely or bound to a zone. Key: ``route_key``.

    Writer: the leader. Preconditions: the route's version; if tasks move, also the versions of their
    placement records. A job with a ``shard_id`` is routed there as if by a route of version 0.

    Attributes:
        tasks: tasks that are not bound to a zone, as ranges.
        zone_tasks: tasks that are bound to a zone, as ranges, by zone.
        attempt: for a gang that spans shards: the number of the attempt that all shards start.
        machines: for such a gang: the machine that the leader chose for each task.
        start_at_us: for such a gang: the wall time from which on the shard owners reserve the resources of
            those machines for it, as they do for a pivot of their own.
    """

    tasks: str = ""
    zone_tasks: dict[str, str] | None = None
    attempt: int = 0
    machines: dict[int, str] | None = None
    start_at_us: int = 0


class Placement(msgspec.Struct, array_like=True):
    """The placement of a task on a machine.

    Attributes:
        machine: the name of the machine.
        incarnation: the incarnation of the machine's agent.
        attempt: the number of the attempt.
        placed_at_us: wall time of the placement.
    """

    machine: str
    incarnation: int
    attempt: int
    placed_at_us: int


class PlacementRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={"placements": "run", "last_attempt": "last", "consecutive_failures": "faults"},
):
    """Placements of up to ``TASKS_PER_RECORD`` tasks of a job in one shard. Key: ``placement_key``.

    Writer: the shard's owner. Preconditions: the record's version; for new placements also the versions of
    the job and the route, and the absence of drain records of their machines.

    Attributes:
        placements: the placement of each task that has one, by the task's number within the job.
        done: the tasks that are done, as a hexadecimal bit mask; bit 0 is the first task of the chunk.
        last_attempt: the highest attempt number so far.
        consecutive_failures: the number of task failures since a task last completed; a new owner and the
            leader detect a faulty job by it.
    """

    placements: dict[int, Placement] = {}
    done: str = "0"
    last_attempt: int = 0
    consecutive_failures: int = 0


class MachineRecord(msgspec.Struct, omit_defaults=True, rename={"address": "addr"}):
    """A machine whose agent has sent heartbeats to the shard's owner. Key: ``machine_key``.

    Writer: the shard's owner; no further preconditions.

    Attributes:
        type: the machine type.
        zone: the zone of the machine.
        spot: whether the machine is a spot instance.
        address: host and port of the machine's agent.
        images: the sizes in GB of the images on the machine, by name. A task starts sooner where its image is
            present, and a new owner cannot learn the images from heartbeats.
    """

    type: str
    zone: str
    spot: bool
    address: str
    images: dict[str, float] = {}


class DrainReason(StrEnum):
    """Why a machine is drained. The values are stored, and shown in logs."""

    IDLE = "idle"  # nothing has run on it for long enough
    CONSOLIDATION = "moving"  # its tasks can run on other machines at lower cost
    NEVER_BOOTED = "never came up"  # its agent has not sent a heartbeat in time
    INSTANCE_FAILED = "failed"  # the cloud lists it as failed
    RECLAIM_NOTICE = "notice"  # the cloud will reclaim the spot instance soon
    LOST = "lost"  # it has sent no heartbeat for too long
    NO_COMMANDS = "deaf"  # it sends heartbeats, but no command reaches it
    NOT_STOPPING = "stuck"  # a task on it keeps running after a stop command
    QUARANTINED = "sick"  # tasks of several jobs have failed there


class DrainRecord(msgspec.Struct, omit_defaults=True, rename={"reason": "why", "requested_at_us": "at_us"}):
    """A machine that gets no new tasks, is emptied and then deleted. Key: ``drain_key``.

    Writers: the leader (the key must be absent); the shard's owner, which also deletes it with the machine
    (no further preconditions).

    Attributes:
        reason: a ``DrainReason``; stored as text since other releases may store reasons unknown to this one.
        requested_at_us: wall time of the request.
    """

    reason: str
    requested_at_us: int


class InstanceRequestRecord(msgspec.Struct, omit_defaults=True, rename={"requested_at_us": "at_us"}):
    """A request for instances, written before it is sent to the cloud. Key: ``instance_request_key``.

    Writer: the leader. Preconditions: the key must be absent; later the record's version. The name of the
    request contains the leader's fencing token.

    Attributes:
        type: the machine type.
        zone: the requested zone.
        spot: whether spot instances are requested.
        count: the number of instances.
        requested_at_us: wall time of the request.
        machines: the names of the instances; None until the request is answered.
    """

    type: str
    zone: str
    spot: bool
    count: int
    requested_at_us: int
    machines: list[str] | None = None


class LeaseHolderRecord(msgspec.Struct, rename={"node_version": "v"}):
    """The holder of a shard lease or of the leader lease. Keys: ``shard_lease_key``, ``LEADER_LEASE_KEY``.

    Writer: the node that claims the lease (the key must be absent, or given up at the version that the node
    has read) or gives it up (its fencing token). The key is deleted when the holder's lease ends; its version
    is the holder's fencing token.

    Attributes:
        node: the holder; empty: a partitioned holder gave the lease up, and any other node may claim it.
        node_version: the features that the node supports, see ``NODE_VERSION``.
    """

    node: str
    node_version: int = 0


class WriteFenceRecord(msgspec.Struct):
    """A write fence (``controller/write_fence.py``); only its version is used. Key: ``fence_key``.

    Writer: the lease holder, when the outcome of one of its transactions is unknown. Preconditions: its
    fencing token and the fence's version.
    """


class ShardLayoutRecord(msgspec.Struct):
    """How machines are divided over shards (``ShardLayout``). Key: ``SHARD_LAYOUT_KEY``.

    Writer: the leader, once, before any machine is recorded (the key must be absent). The layout does not
    change while there are machines.

    Attributes:
        zones: the zone of each shard; machines belong to a shard of their zone. Empty: to any shard.
    """

    zones: list[str] = []


RECORD_TYPES: dict[str, type[msgspec.Struct]] = {
    JOB_KIND: JobRecord,
    ROUTE_KIND: RouteRecord,
    PLACEMENT_KIND: PlacementRecord,
    MACHINE_KIND: MachineRecord,
    DRAIN_KIND: DrainRecord,
    INSTANCE_REQUEST_KIND: InstanceRequestRecord,
    SHARD_LEASE_KIND: LeaseHolderRecord,
    LEADER_LEASE_KIND: LeaseHolderRecord,
    SHARD_LAYOUT_KIND: ShardLayoutRecord,
    WRITE_FENCE_KIND: WriteFenceRecord,
}
DECODERS = {kind: msgspec.json.Decoder(record_type) for kind, record_type in RECORD_TYPES.items()}


def decode_record(key: str, raw: bytes | memoryview) -> msgspec.Struct | None:
    """Decode a stored value by its key; None if the kind is not of the core or the value is unreadable."""
    decoder = DECODERS.get(key.partition("/")[0])
    if decoder is None:
        return None
    try:
        return decoder.decode(raw)
    except msgspec.MsgspecError:
        return None


def job_key(job_id: str) -> str:
    """Return the key of a job's ``JobRecord``."""
    return f"{JOB_KIND}/{job_id}"


def route_key(shard_id: int, job_id: str) -> str:
    """Return the key of the ``RouteRecord`` of a job in a shard."""
    return f"{ROUTE_KIND}/{shard_id}/{job_id}"


def placement_key(shard_id: int, job_id: str, chunk: int) -> str:
    """Return the key of the ``PlacementRecord`` of one chunk of a job's tasks in a shard."""
    return f"{PLACEMENT_KIND}/{shard_id}/{job_id}/{chunk}"


def machine_key(shard_id: int, machine: str) -> str:
    """Return the key of the ``MachineRecord`` of a machine in a shard."""
    return f"{MACHINE_KIND}/{shard_id}/{machine}"


def drain_key(machine: str) -> str:
    """Return the key of a machine's ``DrainRecord``."""
    return f"{DRAIN_KIND}/{machine}"


def instance_request_key(name: str) -> str:
    """Return the key of an ``InstanceRequestRecord`` by the request's name."""
    return f"{INSTANCE_REQUEST_KIND}/{name}"


def shard_lease_key(shard_id: int) -> str:
    """Return the key of the ``LeaseHolderRecord`` of a shard."""
    return f"{SHARD_LEASE_KIND}/{shard_id}"


def fence_key(lease_key: str) -> str:
    """Return the key of the ``WriteFenceRecord`` of a lease, by the lease's own key."""
    return f"{WRITE_FENCE_KIND}/{lease_key}"
