"""Logs the tasks of agents: those that they report, and the start commands that are sent to them."""

from __future__ import annotations

import logging

from pearstep.protocol.controller_messages import HeartbeatMessage
from pearstep.shard.commands import Command, CommandAction
from pearstep.shard.machine import Machine, TaskKey
from pearstep.shard.owner import ShardOwner
from pearstep.state.replica import Replica
from pearstep.transport.event_log import EventLogger

log = EventLogger("pearstep.agent_gateway")


def _label(key: TaskKey) -> str:
    """Return an attempt as it is logged, as in ``req-1/0@2``."""
    return f"{key[0]}@{key[1]}"


class TaskLog:
    """Logs what happens to tasks, with what the controller knew then."""

    def __init__(self, replica: Replica) -> None:
        """Log with the revision of a replica."""
        self._replica = replica
        # The unknown tasks that were last logged, by machine.
        self._unknown_tasks: dict[str, set[TaskKey]] = {}

    def log_reported(self, message: HeartbeatMessage) -> None:
        """Log each task of a heartbeat, for developers."""
        if not log.is_enabled_for(logging.DEBUG):
            return
        for task in message.tasks:
            log.debug(
                "task reported",
                machine=message.machine,
                task=task.task,
                attempt=task.attempt,
                state=task.state,
                cause=task.cause or "",
            )

    def log_starts(
        self, owner: ShardOwner, machine: Machine, commands: list[Command], sent_with: str
    ) -> None:
        """Log start commands; ``sent_with``: the message that they are sent with."""
        started = [
            _label((command.task, command.attempt))
            for command in commands
            if command.action == CommandAction.START
        ]
        if started:
            token = owner.token_for(machine)
            self._log_attempts("starts sent", owner, machine, started, token=token, sent_with=sent_with)

    def log_forgets(self, owner: ShardOwner, machine: Machine, commands: list[Command]) -> None:
        """Log commands to forget attempts, each with the revision that recorded its end (0: unknown)."""
        forgotten = []
        for command in commands:
            if command.action == CommandAction.FORGET:
                key = (command.task, command.attempt)
                forgotten.append(f"{_label(key)}:{machine.tasks_to_forget.get(key, 0)}")
        if forgotten:
            self._log_attempts("forgets sent", owner, machine, forgotten, token=owner.token_for(machine))

    def log_unknown(self, owner: ShardOwner, machine: Machine) -> None:
        """Log the tasks that a machine runs and that no record places there, when they change."""
        if machine.unknown_tasks.keys() == self._unknown_tasks.get(machine.name, set()):
            return
        if not machine.unknown_tasks:
            del self._unknown_tasks[machine.name]
            return
        self._unknown_tasks[machine.name] = set(machine.unknown_tasks)
        unknown = [_label(key) for key in machine.unknown_tasks]
        start_tokens = [machine.start_tokens.get(key, 0) for key in machine.unknown_tasks]
        self._log_attempts(
            "tasks without a record reported",
            owner,
            machine,
            unknown,
            token=owner.token_for(machine),
            reported_token=machine.reported_token,
            start_tokens=start_tokens,
        )

    def _log_attempts(
        self, event: str, owner: ShardOwner, machine: Machine, attempts: list[str], **fields: object
    ) -> None:
        log.info(
            event,
            shard=owner.shard_id,
            fencing_token=owner.fencing_token,
            read_revision=self._replica.revision,
            machine=machine.name,
            session=machine.incarnation,
            **fields,
            attempts=attempts,
        )
