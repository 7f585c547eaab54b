"""Answer heartbeats of machine agents."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.httputil import HTTPServerRequest

from pearstep.controller.direct_commands import (
    MAX_COMMANDS_PER_MESSAGE,
    DirectCommandSender,
    to_heartbeat,
)
from pearstep.controller.start_permission import StartPermission
from pearstep.controller.task_log import TaskLog
from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.timeouts import AGENT_FAILOVER_US
from pearstep.protocol import controller_messages as wire
from pearstep.shard.commands import CommandAction
from pearstep.shard.machine import Machine
from pearstep.shard.owner import ShardOwner
from pearstep.state.records import ShardLayoutRecord
from pearstep.state.replica import Replica
from pearstep.state.shard_layout import ShardLayout
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Answer, Client

log = EventLogger("pearstep.agent_gateway")

# Misdirected heartbeats of a machine belong to one series if the gaps between them are no longer than this.
MISDIRECTED_SERIES_US = 6 * SECOND_US
# How many agents with misdirected heartbeats are probed. The timeout is short enough for the result to reach
# the peer that queries this controller.
PROBED_AGENTS, PROBE_TIMEOUT_S = 3, 0.6
# The Retry-After header of a 503 answer to an agent, in seconds.
RETRY_AFTER_S = "1"


class MisdirectedHeartbeat(NamedTuple):
    """A series of heartbeats sent to a controller that does not own the machine's shard.

    ``first_us`` and ``last_us`` are the times of the first and the last heartbeat of the series.
    """

    shard_id: int
    first_us: int
    last_us: int
    address: str


def _unavailable(reason: str) -> Answer:
    """Build a 503 answer: the agent should retry here or at another controller."""
    return 503, wire.encode_error(reason), {"Retry-After": RETRY_AFTER_S}


def _redirect(node: str) -> Answer:
    return 421, wire.encode_redirect(node), {}


class AgentGateway:
    """Passes heartbeats to the owner of the machine's shard, and the owner's commands to the machine."""

    def __init__(  # noqa: PLR0913 - one argument for each collaborator, as the controller wires them
        self,
        client: Client,
        replica: Replica,
        owners: dict[int, ShardOwner],
        node: str,
        shard_count: int,
        zones: list[str],
        now_us: Callable[[], int],
        wall_us: Callable[[], int],
        request_pass: Callable[[], None],
        redirect_us: int = 0,
    ) -> None:
        """Create a gateway for the shards in ``owners``.

        Args:
            client: For requests to agents.
            replica: The replica of the stored state.
            owners: The shards that this controller owns now; shared with the lease manager.
            node: This controller's name.
            shard_count: How many shards there are.
            zones: The zone of each shard; empty if shards are not bound to zones.
            now_us: The monotonic clock in microseconds.
            wall_us: The wall clock in microseconds.
            request_pass: Requests a pass over the owned shards.
            redirect_us: How long an agent whose shard's holder does not answer is redirected to other nodes.
        """
        self.client = client
        self.replica = replica
        self.owners = owners
        self.node = node
        self.shard_count = shard_count
        self.zones = zones
        self._layout: tuple[ShardLayoutRecord | None, ShardLayout] = (None, ShardLayout(shard_count))
        self.now_us = now_us
        self.wall_us = wall_us
        self.request_pass = request_pass
        # The last known holder of each shard's lease, if it is another node.
        self.last_holder: dict[int, str] = {}
        self.redirect_us = redirect_us
        self.may_act: Callable[[], bool] = lambda: True
        # Whether the state service is unavailable to this node, which may then have missed a failover.
        self.kv_unavailable: Callable[[], bool] = lambda: False
        # Machines that sent heartbeats here although another node owns their shard. They show an owner that
        # it has lost contact with its agents, rather than the agents with all nodes.
        self.misdirected: dict[str, MisdirectedHeartbeat] = {}
        self._task_log = TaskLog(replica)
        self._direct = DirectCommandSender(client, owners, self._task_log, now_us, wall_us, request_pass)
        self.send_commands = self._direct.send

    @property
    def start_permission(self) -> StartPermission:
        """Whether start commands may be sent; the controller replaces it if there are other controllers."""
        return self._direct.start_permission

    @start_permission.setter
    def start_permission(self, permission: StartPermission) -> None:
        self._direct.start_permission = permission

    # -- heartbeats ------------------------------------------------------------------------------

    def handle_heartbeat(self, request: HTTPServerRequest) -> Answer | Awaitable[Answer]:
        """Answer an agent's heartbeat; the answer is awaitable if it must wait for a read."""
        if request.method != "POST":
            return 405, wire.encode_error("method not allowed"), {"Allow": "POST"}
        try:
            message = wire.decode_heartbeat(request.body)
        except wire.MalformedMessageError as err:
            log.error("heartbeat malformed", cause=err)
            return 400, wire.encode_error(str(err)), {}
        layout = self.layout()
        if layout is None or not self.may_act():
            # Ownership that was read before a process pause may have ended. The agent asks another node.
            return _unavailable("not certain what is owned here")
        shard_id = layout.shard_of(message.machine, message.zone)
        owner = self.owners.get(shard_id)
        if owner is not None and owner.is_of_later_owner(message.fencing_token):
            self._on_later_token(message, shard_id, owner)
            owner = None
        if owner is None:
            answer = self._answer_misdirected(message, shard_id)
            log.debug(
                "heartbeat misdirected",
                machine=message.machine,
                shard=shard_id,
                status=answer[0],
                answer=answer[1],
            )
            return answer
        return self._answer_owned(message, owner)

    def _on_later_token(self, message: wire.HeartbeatMessage, shard_id: int, owner: ShardOwner) -> None:
        """Stop owning a shard if an agent's later fencing token shows that another node has claimed it.

        Only lease holders get fencing tokens. While the state service is available, the replica shows a
        takeover, and the agent's token is ignored: it may come from a state that was reset since, and must
        not make an owner lose its shard.
        """
        if not self.kv_unavailable():
            return
        log.info(
            "shard taken over by a later holder",
            shard=shard_id,
            fencing_token=owner.fencing_token,
            machine=message.machine,
            later_token=message.fencing_token,
        )
        del self.owners[shard_id]

    def _answer_owned(self, message: wire.HeartbeatMessage, owner: ShardOwner) -> Answer | Awaitable[Answer]:
        """Answer a heartbeat of a machine whose shard this node owns, with the machine's commands."""
        machine = owner.on_heartbeat(to_heartbeat(message), self.now_us(), self.wall_us())
        if machine is None:
            return _unavailable("machine not usable")
        self._task_log.log_reported(message)
        self._task_log.log_unknown(owner, machine)
        if self._must_read_before_starts(owner, machine):
            return self._answer_after_read(owner, machine)
        return self._answer_with_commands(owner, machine)

    def _must_read_before_starts(self, owner: ShardOwner, machine: Machine) -> bool:
        """Tell whether there are tasks to start, but cancellations have to be read first."""
        if self.kv_unavailable() or self.start_permission.is_granted():
            return False
        return any(command.action == CommandAction.START for command in owner.commands_for(machine))

    async def _answer_after_read(self, owner: ShardOwner, machine: Machine) -> Answer:
        """Answer a heartbeat after a read that may permit starts."""
        await self.start_permission.renew()
        is_current = self.owners.get(owner.shard_id) is owner and owner.machines.get(machine.name) is machine
        if not is_current or not self.may_act():
            return _unavailable("not certain what is owned here")
        return self._answer_with_commands(owner, machine)

    def _answer_with_commands(self, owner: ShardOwner, machine: Machine) -> Answer:
        # Other nodes may confirm cancellations that this node has not read, and no task of a cancelled job
        # may start. So without the permission no start commands are sent.
        starts = not self.kv_unavailable() and self.start_permission.is_granted()
        commands = owner.commands_for(machine, starts=starts)[:MAX_COMMANDS_PER_MESSAGE]
        self._task_log.log_starts(owner, machine, commands, "heartbeat")
        self._task_log.log_forgets(owner, machine, commands)
        owner.on_heartbeat_answered(machine, self.now_us())
        if owner.pass_due or owner.pending_writes:
            self.request_pass()
        return 200, wire.encode_commands(owner.token_for(machine), commands), {}

    # -- misdirected heartbeats ------------------------------------------------------------------

    def _answer_misdirected(self, message: wire.HeartbeatMessage, shard_id: int) -> Answer:
        """Answer an agent whose shard this node does not own."""
        now = self.now_us()
        first_us = self._record_misdirected(message, shard_id, now)
        holder = self.replica.shard_holders.get(shard_id)
        if holder is not None and message.fencing_token > max(holder.fencing_token, self.replica.revision):
            # The agent may have the token of a later holder than this node's replica shows, and keeps trying
            # nodes until it reaches that holder. Seen: two nodes without contact to the state service and to
            # each other redirected agents to one another by their outdated replicas, and the agents
            # alternated between them until their leases expired (510 tasks in one run).
            return _unavailable("the part's holder is not known here")
        misdirected_for_us = now - first_us
        if holder is not None and holder.node not in ("", self.node):
            self.last_holder[shard_id] = holder.node
            # A new holder is named even to agents that have its token. Seen: a new holder had sent its token
            # to every machine, and agents that were looking for it were redirected to other nodes instead (76
            # tasks killed by their lease after all controllers had ended). An agent that got no answer from
            # the holder has already waited for it.
            is_new = now - holder.observed_at_us < AGENT_FAILOVER_US
            has_holder_token = message.fencing_token >= holder.fencing_token
            if is_new or not has_holder_token or misdirected_for_us >= self.redirect_us:
                return _redirect(holder.node)
        # Either the agent had contact with the holder and now gets no answer from it, or the shard has no
        # holder and some node will claim it. In the meantime the agent is redirected to the other nodes.
        # Seen: agents were redirected back to a partitioned node, or got 503 and returned to it by
        # themselves, waited four more seconds, and their leases expired before another node had claimed the
        # shard (381 tasks on a day of network partitions).
        if misdirected_for_us < self.redirect_us:
            other = self._other_node(self.last_holder.get(shard_id, ""))
            if other is not None:
                return _redirect(other)
        return _unavailable("nobody answers for the part now")

    def _record_misdirected(self, message: wire.HeartbeatMessage, shard_id: int, now: int) -> int:
        """Record a misdirected heartbeat; return when its series began."""
        earlier = self.misdirected.get(message.machine)
        if earlier is None or now - earlier.last_us > MISDIRECTED_SERIES_US:
            first_us = now
        else:
            first_us = earlier.first_us
        self.misdirected[message.machine] = MisdirectedHeartbeat(shard_id, first_us, now, message.address)
        return first_us

    def _other_node(self, holder: str) -> str | None:
        """Return a node that holds a shard, is not this node and is not ``holder``; None if there is none."""
        alive = {record.node for record in self.replica.shard_holders.values()} - {"", self.node, holder}
        return min(alive, key=lambda node: (node < self.node, node), default=None)

    def layout(self) -> ShardLayout | None:
        """Return how machines are assigned to shards; None while that is undecided."""
        record = self.replica.layout
        if record is None and self.zones and not self.replica.machines:
            return None
        if record is not self._layout[0]:
            zones = record.zones if record is not None else ()
            self._layout = (record, ShardLayout(self.shard_count, zones))
        return self._layout[1]

    def count_misdirected(self, within_us: int) -> dict[int, int]:
        """Count the machines of each shard that sent misdirected heartbeats here within a time."""
        now = self.now_us()
        kept_us = max(within_us, MISDIRECTED_SERIES_US)
        self.misdirected = {
            machine: heartbeat
            for machine, heartbeat in self.misdirected.items()
            if now - heartbeat.last_us <= kept_us
        }
        return dict(
            Counter(
                heartbeat.shard_id
                for heartbeat in self.misdirected.values()
                if now - heartbeat.last_us <= within_us
            )
        )

    async def count_misdirected_reachable(self, within_us: int) -> dict[int, int]:
        """Count machines as ``count_misdirected`` does, for shards whose agents answer this node's probes.

        Seen: the answers of all nodes to the agents of one zone were lost. The agents sent heartbeats to
        every node, and each owner released its shards to another node that had no better contact.
        """
        counts = self.count_misdirected(within_us)
        for shard_id in list(counts):
            addresses = [
                heartbeat.address for heartbeat in self.misdirected.values() if heartbeat.shard_id == shard_id
            ]
            probed = random.sample(addresses, min(PROBED_AGENTS, len(addresses)))
            if not await self.most_answer(probed, PROBE_TIMEOUT_S):
                del counts[shard_id]
        return counts

    async def most_answer(self, addresses: list[str], timeout_s: float = 2.0) -> bool:
        """Tell whether most of these agents answer this node."""
        answers = await asyncio.gather(
            *(
                self.client.fetch(address, "GET", wire.INSPECT_PATH, timeout_s=timeout_s)
                for address in addresses
            )
        )
        return 2 * sum(status == 200 for status, _ in answers) > len(addresses)
