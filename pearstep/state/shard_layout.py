"""Assignment of machines to shards."""

from __future__ import annotations

import zlib
from collections.abc import Sequence


def shard_of(machine: str, shard_count: int) -> int:
    """Return the shard of a machine by a hash that is the same on every node and in every release."""
    return zlib.crc32(machine.encode()) % shard_count


class ShardLayout:
    """How machines are divided over shards: over all shards, or over the shards of the machine's zone.

    With shards within zones, the node that must answer a machine is in the machine's zone, so the machine can
    reach it also while zones are partitioned from each other. A machine whose zone has no shard is assigned
    to one of all shards.

    Attributes:
        shard_count: the number of shards.
        zones: the zone of each shard; empty: shards have no zone.
    """

    def __init__(self, shard_count: int, zones: Sequence[str] = ()) -> None:
        """Set the number of shards, and each shard's zone."""
        self.shard_count = shard_count
        self.zones = tuple(zones)
        self._shards_by_zone: dict[str, list[int]] = {}
        for shard_id, zone in enumerate(self.zones):
            self._shards_by_zone.setdefault(zone, []).append(shard_id)

    def shard_of(self, machine: str, zone: str) -> int:
        """Return the shard of a machine in a zone."""
        shards = self._shards_by_zone.get(zone)
        return shards[shard_of(machine, len(shards))] if shards else shard_of(machine, self.shard_count)


def can_use_zone_layout(
    machine_count: int, node_versions: Sequence[int | None], required_version: int
) -> bool | None:
    """Decide once, before any machine is recorded, whether machines are assigned to shards within zones.

    A node of an earlier release divides machines over all shards, and two nodes that divide them differently
    would both act for the same machine.

    Args:
        machine_count: the number of recorded machines.
        node_versions: the node versions of the shards' holders; None: the shard has no holder.
        required_version: the lowest node version that supports layouts within zones.

    Returns:
        The final decision; None: it cannot be made yet.
    """
    if machine_count:
        return False
    if any(version is None for version in node_versions):
        return None
    return all(version is not None and version >= required_version for version in node_versions)
