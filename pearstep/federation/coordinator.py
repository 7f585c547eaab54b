"""Coordinator of one site's offloads: keeps the ledger, commits its decisions, exchanges messages with peers.

It runs on the controller that leads. Another controller can take over at any time: the state that must
survive is in the stored records.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from pearstep.federation.ledger import JobMessage, LedgerEntry, OffloadLedger, ResourceAmounts
from pearstep.federation.link import VERSION, Envelope, Offer
from pearstep.federation.peer_health import RECONCILING, HealthTimeouts, PeerHealth

log = logging.getLogger("pearstep.federation")

# An envelope goes to each peer at least this often, so that an idle link doesn't look unreachable.
SEND_INTERVAL_US = 1_000_000

Commit = Callable[[LedgerEntry], Awaitable[bool]]
Send = Callable[[str, Envelope], Awaitable[Envelope | None]]


class Coordinator:
    """Coordinates the offloads between one site and its peers."""

    def __init__(  # noqa: PLR0913 - callbacks of the owner, passed one by one; to be grouped in one type
        self,
        site: str,
        ledger: OffloadLedger,
        peers: list[str],
        timeouts: HealthTimeouts,
        commit: Commit,
        send: Send,
        free_capacity: Callable[[str], ResourceAmounts],
        now_us: Callable[[], int],
        wall_us: Callable[[], int],
        on_commit: Callable[[LedgerEntry], None] = lambda entry: None,
        capacity_offer: Callable[[str], Offer | None] = lambda peer: None,
    ) -> None:
        """Coordinate the offloads of a site.

        Args:
            site: The name of this site.
            ledger: The ledger of offloads.
            peers: The names of the peers that are known at the start.
            timeouts: The timeouts after which a silent peer changes its state.
            commit: Writes an entry in a conditional transaction; returns whether it was committed.
            send: Sends an envelope to a peer; returns the answer, or None if there is none.
            free_capacity: Returns the capacity that the site has for offloads of a peer now.
            now_us: The monotonic clock, in microseconds.
            wall_us: The wall clock, in microseconds.
            on_commit: Called with each entry that was committed.
            capacity_offer: Returns the capacity that is announced to a peer.
        """
        self.site = site
        self.ledger = ledger
        self.peers = {name: PeerHealth(name, timeouts, now_us()) for name in peers}
        self._commit, self._send, self._free_capacity = commit, send, free_capacity
        self._now_us, self._wall_us = now_us, wall_us
        self._on_commit = on_commit
        self._capacity_offer = capacity_offer
        # The last offer of each peer, and the monotonic time at which it was received.
        self.offers: dict[str, tuple[Offer, int]] = {}
        self.link_delay_us: dict[str, int] = {}
        self._last_sent_us: dict[str, int] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._queued: dict[str, list[JobMessage]] = {}

    async def commit_entry(self, entry: LedgerEntry | None) -> list[JobMessage]:
        """Commit an entry; return the messages that it permits, none if it was not committed.

        Entries of one record are committed one after another. An entry that was decided on a version of the
        record that has changed since is not committed.
        """
        if entry is None:
            return []
        lock = self._locks.setdefault(entry.key, asyncio.Lock())
        async with lock:
            if self.ledger.record(entry.key) != entry.before or not await self._commit(entry):
                return []
            messages = self.ledger.apply_commit(entry, self._now_us())
        self._on_commit(entry)
        return messages

    async def apply(self, entry: LedgerEntry | None) -> bool:
        """Commit an entry decided here; the messages that it permits go with the next envelope.

        Returns whether the record is now as the entry says.
        """
        messages = await self.commit_entry(entry)
        if entry is not None and messages:
            self._queued.setdefault(entry.peer, []).extend(messages)
        return entry is not None and self.ledger.record(entry.key) == entry.after

    def queue_message(self, peer: str, message: JobMessage) -> None:
        """Queue a message that changes no record here for the next envelope."""
        queue = self._queued.setdefault(peer, [])
        if message not in queue:
            queue.append(message)

    async def receive(self, peer: str, envelope: Envelope) -> Envelope:
        """Apply the messages of a peer's envelope and return the answer."""
        self._record_envelope(peer, envelope)
        return self._envelope(peer, await self._apply_messages(peer, envelope.items))

    def _envelope(self, peer: str, items: list[JobMessage]) -> Envelope:
        return Envelope(VERSION, self.site, items, self._all_messages_sent(peer), self._capacity_offer(peer))

    def _record_envelope(self, peer: str, envelope: Envelope) -> None:
        health = self.peers[peer]
        if envelope.offer is not None:
            self.offers[peer] = (envelope.offer, self._now_us())
        before = health.state
        health.answer_received(self._now_us())
        if health.state == RECONCILING and before != RECONCILING:
            self.ledger.reset_backoffs(peer)
        if envelope.whole and health.state == RECONCILING:
            health.records_agreed(self._now_us())
        if health.state != before:
            log.info("peer %s: %s -> %s", peer, before, health.state)

    def _all_messages_sent(self, peer: str) -> bool:
        """Tell whether every open offload with a peer was sent since the peer is reachable again."""
        return not self.ledger.has_unsent_messages(peer)

    async def _apply_messages(self, peer: str, items: list[JobMessage]) -> list[JobMessage]:
        answers: list[JobMessage] = []
        for message in items:
            result = self.ledger.receive(peer, message, self._free_capacity(peer), self._wall_us())
            answers += await self.commit_entry(result) if isinstance(result, LedgerEntry) else result
        return answers

    async def step(self) -> None:
        """Apply timeouts and send the messages that are due, in one envelope to each peer at a time."""
        now = self._now_us()
        for peer in self.peers.values():
            before = peer.state
            peer.check_silence(now)
            if peer.state != before:
                log.info("peer %s: %s -> %s", peer.name, before, peer.state)
        for entry in self.ledger.expired_reservations(self._wall_us()):
            await self.commit_entry(entry)
        due = self.ledger.due_messages(self.peers, now)
        exchanges = []
        for name in self.peers:
            items = self._queued.pop(name, [])
            items += [message for message in due.get(name, []) if message not in items]
            if items or now - self._last_sent_us.get(name, -SEND_INTERVAL_US) >= SEND_INTERVAL_US:
                self._last_sent_us[name] = now
                exchanges.append(self._exchange(name, items))
        await asyncio.gather(*exchanges)

    async def _exchange(self, peer: str, items: list[JobMessage]) -> None:
        sent_at_us = self._now_us()
        answer = await self._send(peer, self._envelope(peer, items))
        if answer is None:
            return
        self.link_delay_us[peer] = (self._now_us() - sent_at_us) // 2
        self._record_envelope(peer, answer)
        replies = await self._apply_messages(peer, answer.items)
        if replies:
            # Replies to the answer are sent at once, so that a grant doesn't wait for the next step.
            last_answer = await self._send(peer, self._envelope(peer, replies))
            if last_answer is not None:
                self._record_envelope(peer, last_answer)
                self._queued.setdefault(peer, []).extend(await self._apply_messages(peer, last_answer.items))
