"""The agents' side of the protocol: encodes heartbeats, and decodes answers and direct commands."""

from __future__ import annotations

from typing import Any

import msgspec

from pearstep.protocol.agent_api_messages import (
    CAUSE_FROM_WIRE,
    OPERATION_TO_WIRE,
    TASK_STATE_FROM_WIRE,
    HeartbeatMessage,
)
from pearstep.protocol.errors import MalformedMessageError

TASK_STATE_TO_WIRE = {state: stage for stage, state in TASK_STATE_FROM_WIRE.items()}
CAUSE_TO_WIRE = {cause: wire_cause for wire_cause, cause in CAUSE_FROM_WIRE.items()}
OPERATION_FROM_WIRE = {verb: operation for operation, verb in OPERATION_TO_WIRE.items()}


class ReceivedCommand(
    msgspec.Struct, rename={"op": "verb", "task": "parcel", "attempt": "try", "grace_s": "respiteS"}
):
    """A command: ``start``, ``stop`` with its grace period, or ``forget``."""

    op: str
    task: str
    attempt: int
    grace_s: float = 0.0


class HeartbeatAnswer(
    msgspec.Struct, rename={"fencing_token": "warrant", "node": "steward", "commands": "orders"}
):
    """The answer to a heartbeat."""

    fencing_token: int = 0
    commands: list[ReceivedCommand] = []
    node: str = ""


class DirectCommands(
    msgspec.Struct, rename={"fencing_token": "warrant", "incarnation": "tenure", "commands": "orders"}
):
    """Commands sent directly to the agent; the fencing token and the incarnation are required."""

    fencing_token: int
    incarnation: int
    commands: list[ReceivedCommand] = []


_answer = msgspec.json.Decoder(HeartbeatAnswer)
_commands = msgspec.json.Decoder(DirectCommands)


def _translate_known_commands(commands: list[ReceivedCommand]) -> list[ReceivedCommand]:
    """Return the commands with a known operation, which is translated to the code's term; drop the others."""
    return [
        msgspec.structs.replace(command, op=OPERATION_FROM_WIRE[command.op])
        for command in commands
        if command.op in OPERATION_FROM_WIRE
    ]


def decode_heartbeat_answer(body: bytes) -> HeartbeatAnswer:
    """Decode the answer to a heartbeat; return an empty one if it is malformed."""
    try:
        answer = _answer.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return HeartbeatAnswer()
    answer.commands = _translate_known_commands(answer.commands)
    return answer


def decode_direct_commands(body: bytes) -> DirectCommands:
    """Decode direct commands; raise MalformedMessageError if they are malformed."""
    try:
        commands = _commands.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise MalformedMessageError(str(err)) from err
    commands.commands = _translate_known_commands(commands.commands)
    return commands


def encode_heartbeat(heartbeat: HeartbeatMessage) -> bytes:
    """Encode a heartbeat, with the protocol's terms for states and causes."""
    raw: dict[str, Any] = msgspec.to_builtins(heartbeat)
    for task in raw["parcels"]:
        task["stage"] = TASK_STATE_TO_WIRE[task["stage"]]
        if task.get("cause") is None:
            task.pop("cause", None)
        else:
            task["cause"] = CAUSE_TO_WIRE.get(task["cause"], task["cause"])
        if task.get("kept") is None:
            task.pop("kept", None)
    return msgspec.json.encode(raw)
