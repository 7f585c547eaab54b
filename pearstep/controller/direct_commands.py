"""Send direct commands to machine agents."""

from __future__ import annotations

from collections.abc import Callable

from pearstep.controller.start_permission import unrestricted_start_permission
from pearstep.controller.task_log import TaskLog
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.staleness import NEVER_US
from pearstep.protocol import controller_messages as wire
from pearstep.shard.commands import Command, CommandAction, Heartbeat, ShardActions, TaskStatus
from pearstep.shard.machine import Machine
from pearstep.shard.owner import ShardOwner
from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Client

log = EventLogger("pearstep.agent_gateway")

MAX_COMMANDS_PER_MESSAGE = 400
COMMAND_TIMEOUT_S = 4.0
# The machine has another incarnation than the commands name, or has seen a higher fencing token.
REFUSED = 409


def to_heartbeat(message: wire.HeartbeatMessage) -> Heartbeat:
    """Convert a heartbeat message to the domain type; seconds become microseconds."""
    notice_s = message.notice_s
    return Heartbeat(
        message.machine,
        message.address,
        message.type,
        message.zone,
        message.spot,
        message.incarnation,
        message.sequence,
        message.fencing_token,
        None if notice_s is None else int(max(notice_s, 0) * SECOND_US),
        [
            TaskStatus(task.task, task.attempt, task.state, task.cause, bool(task.saved))
            for task in message.tasks
        ],
    )


def _without_starts(commands: list[Command]) -> list[Command]:
    return [command for command in commands if command.action != CommandAction.START]


class DirectCommandSender:
    """Sends the commands of owned shards straight to their machines, and passes the answers to the owners."""

    def __init__(
        self,
        client: Client,
        owners: dict[int, ShardOwner],
        task_log: TaskLog,
        now_us: Callable[[], int],
        wall_us: Callable[[], int],
        request_pass: Callable[[], None],
    ) -> None:
        """Send commands of the shards in ``owners``.

        Args:
            client: For requests to agents.
            owners: The shards that this controller owns now; shared with the lease manager.
            task_log: Logs the starts that are sent.
            now_us: The monotonic clock in microseconds.
            wall_us: The wall clock in microseconds.
            request_pass: Requests a pass over the owned shards.
        """
        self.client = client
        self.owners = owners
        self.now_us = now_us
        self.wall_us = wall_us
        self.request_pass = request_pass
        self.start_permission = unrestricted_start_permission()
        self._task_log = task_log
        self._tasks = BackgroundTasks(log)

    def send(self, owner: ShardOwner, actions: ShardActions, confirmed_at_us: int = NEVER_US) -> None:
        """Send direct commands to machines, with one request for each machine.

        Start commands that are not permitted now are left out; they go with the next heartbeat answers.

        Args:
            owner: The owner that requests the commands.
            actions: The commands.
            confirmed_at_us: See ``StartPermission.is_granted``.
        """
        for name, requested in actions.commands.items():
            machine = owner.machines.get(name)
            if machine is None:
                continue
            commands = self._permitted(owner, machine, requested, confirmed_at_us)
            if commands or not requested:
                self._tasks.start(
                    self._send(owner, machine, commands[:MAX_COMMANDS_PER_MESSAGE], confirmed_at_us)
                )

    def _permitted(
        self, owner: ShardOwner, machine: Machine, commands: list[Command], confirmed_at_us: int
    ) -> list[Command]:
        """Return the commands without starts that may not be sent now."""
        if not self.start_permission.is_granted(confirmed_at_us):
            return _without_starts(commands)
        return [
            command
            for command in commands
            if command.action != CommandAction.START or owner.allows_start(machine, command)
        ]

    async def _send(
        self, owner: ShardOwner, machine: Machine, commands: list[Command], confirmed_at_us: int
    ) -> None:
        """Send commands to one machine, whose answer has the form of a heartbeat."""
        owner.on_commands_sent(machine, commands, self.now_us())
        incarnation = machine.incarnation
        permitted, token = commands, 0

        def encode() -> bytes:
            """Encode the commands that are permitted now that the connection is open."""
            nonlocal permitted, token
            permitted = self._permitted(owner, machine, commands, confirmed_at_us)
            token = owner.record_starts(machine, permitted)
            self._task_log.log_starts(owner, machine, permitted, "command")
            return wire.encode_commands(token, permitted, incarnation)

        status, body = await self.client.fetch(
            machine.address, "POST", wire.COMMANDS_PATH, encode, COMMAND_TIMEOUT_S
        )
        if machine.incarnation == incarnation:
            withheld = [command for command in commands if command not in permitted]
            owner.on_commands_answered(machine, withheld)
        message = self._decode_answer(owner, machine, status, body)
        if message is None:
            return
        if machine.incarnation == incarnation:
            owner.on_commands_answered(machine, commands)
        if owner.is_of_later_owner(message.fencing_token):
            return
        owner.on_heartbeat(to_heartbeat(message), self.now_us(), self.wall_us(), direct=True)
        self._task_log.log_unknown(owner, machine)
        self.request_pass()
        if status == REFUSED and not commands and message.incarnation != incarnation:
            machine.next_probe_at_us = 0
        elif status == REFUSED and commands and token < message.fencing_token:
            # A heartbeat's answer with a raised token overtook these commands.
            self.send(owner, ShardActions({machine.name: commands}), confirmed_at_us)

    def _decode_answer(
        self, owner: ShardOwner, machine: Machine, status: int, body: bytes
    ) -> wire.HeartbeatMessage | None:
        """Return a machine's answer to a command; None if there is none that the owner can use."""
        if status not in (200, REFUSED):
            return None
        try:
            message = wire.decode_heartbeat(body)
        except wire.MalformedMessageError as err:
            log.error("command answer malformed", machine=machine.name, cause=err)
            return None
        if self.owners.get(owner.shard_id) is not owner or message.machine != machine.name:
            return None
        return message
