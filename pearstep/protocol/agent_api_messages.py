"""Messages between agents and controllers: heartbeats, and commands in answers or in direct requests."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from pearstep.protocol.errors import MalformedMessageError
from pearstep.protocol.fields import Name

HEARTBEAT_PATH = "/hello"
COMMANDS_PATH = "/commands"
INSPECT_PATH = "/inspect"

TASK_STATE_FROM_WIRE = {
    "pulling": "fetching",
    "gathering": "waiting",
    "running": "running",
    "saving": "saving",
    "exited": "exited",
}
CAUSE_FROM_WIRE = {"mates_gone": "peers", "full": "no_room", "in_use": "busy", "no_such": "unknown"}
OPERATION_TO_WIRE = {"start": "run", "stop": "halt", "forget": "reap"}


class TaskStatusMessage(
    msgspec.Struct,
    rename={"task": "parcel", "attempt": "try", "state": "stage", "cause": "cause", "saved": "kept"},
):
    """The state of a task's attempt, as reported by its agent."""

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
    """An agent's heartbeat: its machine, and the states of all its tasks."""

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


_heartbeat = msgspec.json.Decoder(HeartbeatMessage)


def decode_heartbeat(body: bytes) -> HeartbeatMessage:
    """Decode a heartbeat, and translate the states and causes of its tasks to the code's terms.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    try:
        heartbeat = _heartbeat.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from err
    for task in heartbeat.tasks:
        if task.state not in TASK_STATE_FROM_WIRE:
            raise MalformedMessageError(f"unknown task state {task.state}")
        task.state = TASK_STATE_FROM_WIRE[task.state]
        if task.cause is not None:
            task.cause = CAUSE_FROM_WIRE.get(task.cause, task.cause)
    return heartbeat


class CommandMessage(
    msgspec.Struct,
    omit_defaults=True,
    rename={"op": "verb", "task": "parcel", "attempt": "try", "grace_s": "respiteS"},
):
    """A command to an agent; ``grace_s`` is the grace period of a stop."""

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


def encode_commands(
    fencing_token: int, commands: Sequence[tuple[str, str, int, float | None]], incarnation: int | None = None
) -> bytes:
    """Encode commands as the answer to a heartbeat or, with an incarnation, as a direct request."""
    message: dict[str, Any] = {"warrant": fencing_token}
    if incarnation is not None:
        message["tenure"] = incarnation
    message["orders"] = [
        CommandMessage(OPERATION_TO_WIRE[op], task, attempt, grace_s)
        for op, task, attempt, grace_s in commands
    ]
    return msgspec.json.encode(message)


def encode_redirect(node: str | None) -> bytes:
    """Encode the node that an agent shall send its heartbeats to, if there is one."""
    return msgspec.json.encode({"steward": node} if node else {})
