"""Detect shards whose agents have nearly all stopped sending heartbeats to this node."""

from __future__ import annotations

from pearstep.domain.units import SECOND_US
from pearstep.shard.machine import MachineState
from pearstep.shard.owner import ShardOwner

# How long agents may take to find a new owner.
AGENT_REDISCOVERY_US = 8 * SECOND_US
# Fewer silent machines are no evidence of a network fault.
MIN_SILENT_MACHINES = 2
# A shard is silent if at least three of four of its machines are (numerator and denominator).
SILENT_SHARE = (3, 4)


class AgentSilenceDetector:
    """Counts the silent machines of the shards that this node owns.

    Attributes:
        silent_shards: The number of silent machines of each silent shard.
    """

    def __init__(self, owners: dict[int, ShardOwner], heartbeat_interval_us: int) -> None:
        """Create a detector for the shards in ``owners``, whose agents send heartbeats at an interval."""
        self._owners = owners
        self._limit_us = heartbeat_interval_us + SECOND_US
        self._refused_until_us = -AGENT_REDISCOVERY_US
        self.silent_shards: dict[int, int] = {}

    def heartbeats_accepted_again(self, now_us: int) -> None:
        """Record that this node refused all heartbeats until now, so agents have turned to other nodes."""
        self._refused_until_us = now_us

    def update(self, now_us: int) -> None:
        """Count the silent machines again."""
        limit_us = self._limit_us
        if now_us - self._refused_until_us < AGENT_REDISCOVERY_US:
            limit_us += AGENT_REDISCOVERY_US
        numerator, denominator = SILENT_SHARE
        self.silent_shards = {}
        for shard_id, owner in self._owners.items():
            machines = [
                machine
                for machine in owner.machines.values()
                if machine.state not in (MachineState.DELETING, MachineState.GONE)
            ]
            # An agent that has not yet acknowledged the fencing token has to find this node first.
            silent = sum(
                now_us - machine.last_heartbeat_us
                > (limit_us if machine.token_acknowledged else limit_us + AGENT_REDISCOVERY_US)
                for machine in machines
            )
            if silent >= MIN_SILENT_MACHINES and silent * denominator >= len(machines) * numerator:
                self.silent_shards[shard_id] = silent
