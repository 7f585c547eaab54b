"""The shard owner's view of a machine, and the machine's state transitions."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum

from pearstep.domain.attempt import TaskAttempt
from pearstep.domain.job_spec import JobSpec
from pearstep.domain.machine_type import MachineType
from pearstep.domain.resources import FreeResources
from pearstep.domain.state_machine import TransitionTable
from pearstep.scheduling.whole_machine import WholeMachineReservations

# Earlier than every clock value.
NEVER_US = -(1 << 60)
# Task name and attempt number.
TaskKey = tuple[str, int]


class MachineState(StrEnum):
    """States of a machine in its owner's view."""

    UNCONFIRMED = "unseen"  # known from records; no heartbeat with our token yet
    UP = "up"
    SILENT = "silent"  # no heartbeat for a while; its tasks may still be running
    UNREACHABLE = "deaf"  # sends heartbeats, but does not confirm our answers and commands
    DRAINING = "draining"  # accepts no new tasks; its tasks are being stopped
    DELETING = "deleting"  # the cloud has been asked to delete it
    GONE = "gone"


MACHINE_TRANSITIONS = TransitionTable(
    "machine",
    {
        MachineState.UNCONFIRMED: (
            MachineState.UP,
            MachineState.UNREACHABLE,
            MachineState.DRAINING,
            MachineState.GONE,
        ),
        MachineState.UP: (
            MachineState.SILENT,
            MachineState.UNREACHABLE,
            MachineState.DRAINING,
            MachineState.GONE,
        ),
        MachineState.SILENT: (
            MachineState.UP,
            MachineState.UNREACHABLE,
            MachineState.DRAINING,
            MachineState.GONE,
        ),
        MachineState.UNREACHABLE: (
            MachineState.UP,
            MachineState.SILENT,
            MachineState.DRAINING,
            MachineState.GONE,
        ),
        MachineState.DRAINING: (MachineState.DELETING, MachineState.GONE),
        MachineState.DELETING: (MachineState.DRAINING, MachineState.GONE),
        MachineState.GONE: (),
    },
)


class Machine:
    """The owner's view of a machine.

    Attributes:
        name: Name of the machine.
        machine_type: Its type.
        zone: Its zone.
        spot: Whether the cloud may reclaim it.
        address: Address at which its worker accepts direct commands.
        state: Its state; see ``MACHINE_TRANSITIONS``.
        incarnation: Number of its worker's session; 0 before the first heartbeat.
        sequence: Number of its latest message in the session.
        token_acknowledged: Whether it has received our fencing token; it then rejects commands with older
            tokens.
        last_heartbeat_us: Time of its last heartbeat.
        silence_excused_at_us: When its silence was last excused because most of its zone was silent.
        lease_renewed_at_us: Latest time at which its session's lease may have been renewed.
        last_received_us: Send time of the latest answer or command that it has confirmed as received. A late
            copy of a heartbeat confirms nothing newer.
        heartbeat_answered_at_us: When this node answered its latest heartbeat.
        command_sent_at_us: When the last direct command was sent to it.
        awaiting_answer: Whether its latest heartbeat has not been answered yet; late copies do not count.
        unreachable_since_us: Since when it has sent heartbeats without confirming our messages; None if it
            confirms them.
        attempts: Attempts that may be on it, by task key; none of them is of an earlier session than
            ``incarnation``.
        tasks_to_forget: Revisions that recorded the ends of tasks which the worker may forget, by task; 0 if
            the record is gone.
        unrecorded_ends: Ended tasks whose end is not recorded yet.
        unanswered_starts: Tasks whose direct start command has not been answered.
        reported_token: The highest token that it has shown in a message to this owner.
        raised_token: The token that messages to it carry if that is higher than the shard's; otherwise 0.
        start_tokens: Tokens of the direct starts that were sent to it, by task, until it forgets the task.
        unknown_tasks: Tasks that it reports but that have no attempt here, with their jobs if these exist.
        images: Sizes in GB of the images that it has fetched, by image, the least recently used first.
        reclaim_at_us: When the cloud reclaims it; None without a reclaim notice.
        drain_reason: Reason of its drain.
        drain_started_at_us: When its drain started.
        images_recorded_at_us: When its images were last recorded.
        next_probe_at_us: Earliest time of the next probe.
        next_delete_at_us: Earliest time of the next deletion request.
    """

    __slots__ = (
        "address",
        "attempts",
        "awaiting_answer",
        "command_sent_at_us",
        "drain_reason",
        "drain_started_at_us",
        "heartbeat_answered_at_us",
        "images",
        "images_recorded_at_us",
        "incarnation",
        "last_heartbeat_us",
        "last_received_us",
        "lease_renewed_at_us",
        "machine_type",
        "name",
        "next_delete_at_us",
        "next_probe_at_us",
        "raised_token",
        "reclaim_at_us",
        "reported_token",
        "sequence",
        "silence_excused_at_us",
        "spot",
        "start_tokens",
        "state",
        "tasks_to_forget",
        "token_acknowledged",
        "unanswered_starts",
        "unknown_tasks",
        "unreachable_since_us",
        "unrecorded_ends",
        "zone",
    )

    def __init__(
        self, name: str, machine_type: MachineType, zone: str, spot: bool, address: str, now_us: int
    ) -> None:
        """Create a machine that has not sent a heartbeat with our token yet."""
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.address = address
        self.state = MachineState.UNCONFIRMED
        self.incarnation = 0
        self.sequence = -1
        self.token_acknowledged = False
        self.last_heartbeat_us = now_us
        self.silence_excused_at_us = now_us
        self.lease_renewed_at_us = now_us
        self.last_received_us = now_us
        self.heartbeat_answered_at_us = now_us
        self.command_sent_at_us = now_us
        self.awaiting_answer = False
        self.unreachable_since_us: int | None = None
        self.attempts: dict[TaskKey, TaskAttempt] = {}
        self.tasks_to_forget: dict[TaskKey, int] = {}
        self.unrecorded_ends: set[TaskKey] = set()
        self.unanswered_starts: set[TaskKey] = set()
        self.reported_token = 0
        self.raised_token = 0
        self.start_tokens: dict[TaskKey, int] = {}
        self.unknown_tasks: dict[TaskKey, JobSpec | None] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.reclaim_at_us: int | None = None
        self.drain_reason = ""
        self.drain_started_at_us = 0
        self.images_recorded_at_us = NEVER_US
        self.next_probe_at_us = 0
        self.next_delete_at_us = 0

    def free_resources(self, reservations: WholeMachineReservations) -> FreeResources:
        """Return the free resources, assuming that every task that may be on the machine is."""
        free = reservations.total_resources(self.machine_type, self.spot)
        for attempt in self.attempts.values():
            free.allocate(attempt.spec)
        for spec in self.unknown_tasks.values():
            if spec is not None:
                free.allocate(spec)
        return free

    def record_image(self, spec: JobSpec) -> None:
        """Record a fetched image; the least recently used images are evicted from the cache."""
        self.images[spec.image] = spec.image_gb
        self.images.move_to_end(spec.image)
        total_gb = sum(self.images.values())
        while total_gb > self.machine_type.cache_gb and len(self.images) > 1:
            _, size_gb = self.images.popitem(last=False)
            total_gb -= size_gb
