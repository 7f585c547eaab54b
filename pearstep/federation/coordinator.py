"""Coordinator of one site's offloads: keeps the ledger, commits its decisions, talks to the peers.

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

# A question now and then keeps a silent link from looking cut.
ASK_US = 1_000_000

Commit = Callable[[LedgerEntry], Awaitable[bool]]
Send = Callable[[str, Envelope], Awaitable[Envelope | None]]


class Desk:
    """Coordinates the offloads between one site and its peers."""

    def __init__(  # noqa: PLR0913 - callbacks of the owner, passed one by one; to be grouped in one type
        self,
        site: str,
        books: OffloadLedger,
        peers: list[str],
        patience: HealthTimeouts,
        commit: Commit,
        send: Send,
        free: Callable[[str], ResourceAmounts],
        now_us: Callable[[], int],
        wall_us: Callable[[], int],
        changed: Callable[[LedgerEntry], None] = lambda entry: None,
        offer: Callable[[str], Offer | None] = lambda peer: None,
    ) -> None:
        """Coordinate the offloads of a site.

        Args:
            site: The name of this site.
            books: The ledger of offloads.
            peers: The names of the peers that are known at the start.
            patience: The timeouts after which a silent peer changes its state.
            commit: Writes an entry in a conditional transaction; returns whether it was committed.
            send: Sends an envelope to a peer; returns the answer, or None if there is none.
            free: Returns the capacity that the site has for offloads of a peer now.
            now_us: The monotonic clock, in microseconds.
            wall_us: The wall clock, in microseconds.
            changed: Called with each entry that was committed.
            offer: Returns the capacity that is announced to a peer.
        """
        self.site = site
        self.books = books
        self.peers = {name: PeerHealth(name, patience, now_us()) for name in peers}
        self._commit, self._send, self._free = commit, send, free
        self._now_us, self._wall_us = now_us, wall_us
        self._changed = changed
        self._offer = offer
        # What peers offer, and when they said so.
        self.offers: dict[str, tuple[Offer, int]] = {}
        self.link_us: dict[str, int] = {}
        self._asked: dict[str, int] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._first: dict[str, list[JobMessage]] = {}

    async def write(self, entry: LedgerEntry | None) -> list[JobMessage]:
        """Commit an entry; return the messages that it permits, none if it was not committed.

        Entries of one record are committed one after another. An entry that was decided on a version of the
        record that has changed since is not committed.
        """
        if entry is None:
            return []
        lock = self._locks.setdefault(entry.key, asyncio.Lock())
        async with lock:
            if self.books.record(entry.key) != entry.before or not await self._commit(entry):
                return []
            said = self.books.apply_commit(entry, self._now_us())
        self._changed(entry)
        return said

    async def do(self, entry: LedgerEntry | None) -> bool:
        """A step of our own accord; what it permits goes with the next envelope."""
        said = await self.write(entry)
        if entry is not None and said:
            self._first.setdefault(entry.peer, []).extend(said)
        return entry is not None and self.books.record(entry.key) == entry.after

    def say(self, peer: str, said: JobMessage) -> None:
        """Something that changes no record here goes with the next envelope."""
        box = self._first.setdefault(peer, [])
        if said not in box:
            box.append(said)

    async def hear(self, peer: str, envelope: Envelope) -> Envelope:
        """What a peer says, answered."""
        self._heard(peer, envelope)
        return self._envelope(peer, await self._take(peer, envelope.items))

    def _envelope(self, peer: str, items: list[JobMessage]) -> Envelope:
        return Envelope(VERSION, self.site, items, self._whole(peer), self._offer(peer))

    def _heard(self, peer: str, envelope: Envelope) -> None:
        one = self.peers[peer]
        if envelope.offer is not None:
            self.offers[peer] = (envelope.offer, self._now_us())
        before = one.state
        one.answer_received(self._now_us())
        if one.state == RECONCILING and before != RECONCILING:
            self.books.reset_backoffs(peer)
        if envelope.whole and one.state == RECONCILING:
            one.records_agreed(self._now_us())
        if one.state != before:
            log.info("peer %s: %s -> %s", peer, before, one.state)

    def _whole(self, peer: str) -> bool:
        """Whether all that is open with a peer has been said since it is back."""
        return not self.books.has_unsent_messages(peer)

    async def _take(self, peer: str, items: list[JobMessage]) -> list[JobMessage]:
        out: list[JobMessage] = []
        for said in items:
            found = self.books.receive(peer, said, self._free(peer), self._wall_us())
            out += await self.write(found) if isinstance(found, LedgerEntry) else found
        return out

    async def step(self) -> None:
        """What time brings, and what is to be said now; one envelope to each peer at a time."""
        now = self._now_us()
        for peer in self.peers.values():
            before = peer.state
            peer.check_silence(now)
            if peer.state != before:
                log.info("peer %s: %s -> %s", peer.name, before, peer.state)
        for entry in self.books.expired_reservations(self._wall_us()):
            await self.write(entry)
        due = self.books.due_messages(self.peers, now)
        sends = []
        for name in self.peers:
            items = self._first.pop(name, [])
            items += [s for s in due.get(name, []) if s not in items]
            if items or now - self._asked.get(name, -ASK_US) >= ASK_US:
                self._asked[name] = now
                sends.append(self._exchange(name, items))
        await asyncio.gather(*sends)

    async def _exchange(self, peer: str, items: list[JobMessage]) -> None:
        begun = self._now_us()
        answer = await self._send(peer, self._envelope(peer, items))
        if answer is None:
            return
        self.link_us[peer] = (self._now_us() - begun) // 2
        self._heard(peer, answer)
        more = await self._take(peer, answer.items)
        if more:
            # An answer to an answer goes at once: a grant should not wait for the next look.
            last = await self._send(peer, self._envelope(peer, more))
            if last is not None:
                self._heard(peer, last)
                self._first.setdefault(peer, []).extend(await self._take(peer, last.items))
