"""Release the shards and the leadership of this node when a peer can serve them better."""

from __future__ import annotations

from typing import Any

from pearstep.controller.held_leases import LEADER_KEY, HeldLeases, shard_key
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.failure_detection.reachability import Neighbour, Reachability
from pearstep.state.records import LeaseHolderRecord
from pearstep.transport.event_log import EventLogger
from pearstep.transport.kv_client import KeyValueStore
from pearstep.transport.rate_limiter import URGENT

log = EventLogger("pearstep.lease")


class LeaseRelease:
    """Releases shards and the leadership."""

    def __init__(
        self,
        held: HeldLeases,
        kv: KeyValueStore,
        follower: ReplicaFollower,
        reachability: Reachability,
        max_operations: int,
    ) -> None:
        """Create the release for the leases in ``held``.

        Args:
            held: The shards and the leadership that this node holds.
            kv: The state service.
            follower: Reads the result of the release.
            reachability: Tells whether the state service can be reached.
            max_operations: How many keys one transaction may change.
        """
        self._held = held
        self._kv = kv
        self._follower = follower
        self._reachability = reachability
        self._max_operations = max_operations

    async def release_all(self) -> None:
        """Stop acting as owner and leader, then record the release if the state service can be reached."""
        held = self._held
        tokens = [(shard_key(shard_id), owner.fencing_token) for shard_id, owner in held.owners.items()]
        log.info("releasing leases", shards=list(held.owners), leader=held.leadership is not None)
        if held.leadership is not None:
            tokens.insert(0, (LEADER_KEY, held.leadership.fencing_token))
        held.clear()
        if Neighbour.STATE in self._reachability.unreachable:
            return
        for start in range(0, len(tokens), self._max_operations):
            await self._record_release(dict(tokens[start : start + self._max_operations]))
        await self._follower.read_barrier()

    async def _record_release(self, tokens: dict[str, int]) -> None:
        """Clear the shard holders and delete the leader key, if they still have these fencing tokens."""
        puts: dict[str, tuple[Any, int | None]] = {
            key: (LeaseHolderRecord(""), None) for key in tokens if key != LEADER_KEY
        }
        deletes = [key for key in tokens if key == LEADER_KEY]
        await self._kv.commit(tokens, puts, deletes, urgency=URGENT)
