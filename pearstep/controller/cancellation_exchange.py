"""Apply the cancellations that peers have committed, and list those of this node for them."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from pearstep.controller.peers import CancelledJob, PeerClient, PeerQuery, PeerStatus
from pearstep.controller.replica_follower import ReplicaFollower
from pearstep.domain.job_state import JobState
from pearstep.failure_detection.staleness import StalenessBound
from pearstep.state.records import JobRecord
from pearstep.state.replica import Replica

# Cancellations in one answer to a peer.
MAX_CANCELLATIONS_PER_ANSWER = 500


class CancellationExchange:
    """Keeps the replica's cancellations up to date while the state service cannot be read."""

    def __init__(
        self,
        replica: Replica,
        follower: ReplicaFollower,
        peers: PeerClient,
        staleness_bound: StalenessBound,
        now_us: Callable[[], int],
    ) -> None:
        """Exchange cancellations with peers.

        Args:
            replica: This node's replica.
            follower: Applies committed records to it.
            peers: The other controllers.
            staleness_bound: Records which peers have reported all their cancellations.
            now_us: The monotonic clock.
        """
        self._replica = replica
        self._follower = follower
        self._peers = peers
        self._staleness_bound = staleness_bound
        self._now_us = now_us

    def add_cancellations(self, status: PeerStatus, after: int) -> None:
        """Add the cancellations after a revision to the answer to a peer."""
        cancelled = self._replica.cancelled_after(after)
        listed = cancelled[:MAX_CANCELLATIONS_PER_ANSWER]
        status.cancelled = [CancelledJob(*entry) for entry in listed]
        status.more = len(cancelled) > MAX_CANCELLATIONS_PER_ANSWER

    async def apply_peer_answer(self, peer: PeerStatus, after: int, sent_us: int) -> None:
        """Apply the cancellations that a peer may confirm to users, and request the remaining pages of them.

        Args:
            peer: The first page.
            after: The revision after which cancellations were requested.
            sent_us: When the first page was requested.
        """
        page: PeerStatus | None = peer
        while page is not None and page.cancelled is not None:
            self.apply(page.cancelled)
            after = max([after, *(job.version for job in page.cancelled)])
            if not page.more:
                self._staleness_bound.record_peer_answer(peer.node, sent_us, self._now_us(), page.uptime_us)
                return
            page = await self._peers.query(peer.node, PeerQuery(count_misdirected=False, after=after))

    async def acknowledge(self, cancelled: Sequence[CancelledJob]) -> bool:
        """Apply cancellations that a peer has committed, and return whether the peer may rely on that.

        A job that is not in the replica may be in records that are read later: another node has placed its
        tasks, and this node takes over their shard. So the peer may rely on it only after a read.
        """
        if self.apply(cancelled):
            return True
        return self._follower.loaded and await self._follower.read_barrier()

    def apply(self, cancelled: Sequence[CancelledJob]) -> bool:
        """Apply cancellations that a peer has committed; return whether all jobs are in the replica.

        Jobs that are not in the replica are skipped.
        """
        all_found = True
        for job_id, version, ended_at_us in cancelled:
            job = self._replica.jobs.get(job_id)
            all_found &= job is not None
            if job is not None and not job.is_final:
                record = JobRecord(job.spec, job.submitted_at_us, JobState.CANCELLED, ended_at_us)
                self._follower.apply_own_commit(f"j/{job_id}", version, record)
        return all_found
