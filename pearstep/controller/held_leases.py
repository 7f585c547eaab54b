"""The lease of this node in the state service, and the shards and leadership held under it."""

from __future__ import annotations

from dataclasses import dataclass

from pearstep.controller.leadership import Leadership
from pearstep.shard.owner import ShardOwner

LEADER_KEY = "leader"


def shard_key(shard_id: int) -> str:
    """Return the key of a shard's lease holder."""
    return f"part/{shard_id}"


@dataclass(kw_only=True, slots=True)
class HeldLeases:
    """The lease of this node, and the shards and leadership held under it."""

    # The shards that this node owns; other components share this dict.
    owners: dict[int, ShardOwner]
    leadership: Leadership | None = None
    # The lease in the state service; None while there is none.
    lease_id: int | None = None

    def clear(self) -> None:
        """Stop acting as owner and leader."""
        self.owners.clear()
        self.leadership = None

    def on_lease_lost(self) -> None:
        """Stop acting as owner and leader because the lease has expired."""
        self.lease_id = None
        self.clear()
