"""Bounds the staleness of a node's replica with respect to cancellations confirmed to users.

Any controller may confirm to a user that a job is cancelled, and ``cancel_s`` later no task of the job may
run. A shard owner that has missed the cancellation continues to answer agents, and each answer extends an
agent's lease. Seen (found in review, and on the users' "gap" day): the state service refused only the leader,
another controller confirmed cancellations, and then the service was unavailable to all nodes for longer than
``cancel_s``. All owners continued with their replicas, and the cancelled tasks kept running.

The node computes a time up to which it has applied all confirmed cancellations. A read of the state service
is complete: it contains everything that was committed before the read was sent, and cancellations are
confirmed only after they are committed. Without reads, every *other* controller must list the cancellations
that it may confirm; a cancellation that it learns of later is confirmed later than the request was sent. All
of them must answer, because a controller that does not answer may still confirm cancellations.
"""

from __future__ import annotations

from pearstep.failure_detection.timeouts import CLOCK_DRIFT_DIVISOR, MAX_START_STALENESS_US

# Earlier than any time of a monotonic clock.
NEVER_US = -(1 << 60)


class StalenessBound:
    """The time up to which all confirmed cancellations are applied, and the largest staleness allowed.

    All times are microseconds of this node's monotonic clock.
    """

    def __init__(self, limit_us: int, peers: list[str], now_us: int) -> None:
        """Start at ``now_us`` without answers from peers.

        Args:
            limit_us: The largest staleness allowed (``Timeouts.max_staleness_us``).
            peers: The names of all other controllers.
            now_us: The start time.
        """
        self.limit_us = limit_us
        # Nothing has been read yet. Counting the start as a read is safe, because the node holds no lease
        # before its first complete read, and it keeps a starting node from being stale.
        self.last_read_us = now_us
        self.last_peer_answer_us = dict.fromkeys(peers, NEVER_US)

    def read_completed(self, sent_us: int) -> None:
        """Record that a complete read, or a read of all later changes, is applied.

        The read counts from the time of its request, because its answer may have been delayed.
        """
        self.last_read_us = max(self.last_read_us, sent_us)

    def complete_through_us(self, peer: str) -> int:
        """Return the time up to which all confirmations by one peer are applied here."""
        return max(self.last_read_us, self.last_peer_answer_us[peer])

    def record_peer_answer(self, peer: str, sent_us: int, received_us: int, uptime_us: int | None) -> None:
        """Record that the cancellations listed in a peer's answer are applied.

        Args:
            peer: The name of the peer; unconfigured peers are ignored.
            sent_us: The time of the request.
            received_us: The time at which the whole answer was applied.
            uptime_us: The uptime of the peer's process if it has not read the records yet; None if it has.
                A process that has read the records lists what its previous processes confirmed. Otherwise
                the answer lacks these cancellations, and it counts only if the process started before the
                time up to which all confirmations by this peer are applied already.
        """
        if peer not in self.last_peer_answer_us:
            return
        if uptime_us is not None:
            latest_start_us = received_us - (uptime_us - uptime_us // CLOCK_DRIFT_DIVISOR)
            if latest_start_us >= self.complete_through_us(peer):
                return
        self.last_peer_answer_us[peer] = max(self.last_peer_answer_us[peer], sent_us)

    def allows_starts(self, now_us: int, confirmed_at_us: int = NEVER_US) -> bool:
        """Tell whether tasks may be started, because every confirmed cancellation is applied here.

        A cancellation that this node has missed was committed after its latest read was sent, and is
        confirmed ``CANCELLATION_BROADCAST_US`` after that or later. Answers of peers do not count: what they
        list is applied only to jobs that are in this replica already.

        Args:
            now_us: The current time.
            confirmed_at_us: A time at which the jobs to start were certainly not cancelled.
        """
        known_through_us = max(self.last_read_us, confirmed_at_us)
        return not self.last_peer_answer_us or now_us - known_through_us <= MAX_START_STALENESS_US

    def all_complete_through_us(self) -> int:
        """Return the time up to which all confirmations by any controller are applied here."""
        return max(self.last_read_us, min(self.last_peer_answer_us.values(), default=NEVER_US))

    def staleness_us(self, now_us: int) -> int:
        """Return the staleness; 0 without peers, because the node has its own cancellations."""
        return now_us - self.all_complete_through_us() if self.last_peer_answer_us else 0

    def needs_refresh(self, now_us: int) -> bool:
        """Tell whether to ask the peers, because half of the allowed staleness is reached without a read."""
        return self.staleness_us(now_us) * 2 > self.limit_us

    def exceeded(self, now_us: int) -> bool:
        """Tell whether answering an agent now could keep a task alive past the cancellation deadline."""
        return self.staleness_us(now_us) > self.limit_us
