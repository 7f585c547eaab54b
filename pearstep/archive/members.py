"""Who belongs to the archive: a list with an epoch, kept in the state service, under leases.

``archive/node/NAME`` is attached to its node's lease and says that the node is there; ``archive/members``
is the list that everyone goes by, and its revision is the epoch. Any node may write the next list, on the
condition that the list is still the one it knows. One that has just come is taken in at once; one whose key
is gone is left out after a pause, since its copies then have to be made anew.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

import msgspec

from pearstep.archive.placement import Layout
from pearstep.domain.state_machine import TransitionTable
from pearstep.protocol.key_value_messages import KeyValue
from pearstep.transport.kv_client import CommitOutcome, KeyValueStore

log = logging.getLogger("pearstep.archive")

PREFIX = "archive/"
NODES = "archive/node/"
LIST = "archive/members"

ALONE = "alone"  # no state service is configured: this node is all there is
JOINING = "joining"  # not in the list yet: takes nothing, keeps what it has
MEMBER = "member"
UNSURE = "unsure"  # the state service did not answer for as long as a lease: the list may have changed

MEMBERSHIP = TransitionTable(
    "membership",
    {ALONE: (), JOINING: (MEMBER, UNSURE), MEMBER: (UNSURE, JOINING), UNSURE: (MEMBER, JOINING)},
)


class Here(msgspec.Struct):
    """A node that is there."""

    addr: str


class MemberList(msgspec.Struct):
    """The list that everyone goes by."""

    members: dict[str, str]


class Membership:
    """One node's view of who belongs; ``learn`` and ``tick`` are the only places where it changes."""

    def __init__(
        self, name: str, addr: str, copies: int, patience_us: int, lease_us: int, now_us: int
    ) -> None:
        """Create the membership of the node ``name``, which is joining and knows no other member yet."""
        self.name = name
        self.addr = addr
        self.copies = copies
        self.patience_us = patience_us
        self.lease_us = lease_us
        self.state = JOINING
        self.layout = Layout(0, {}, copies)
        self.heard_us = now_us
        self._missing: dict[str, int] = {}

    @classmethod
    def alone(cls, name: str, addr: str, now_us: int) -> Membership:
        """A single node without a state service."""
        out = cls(name, addr, 1, 0, 0, now_us)
        out.state = ALONE
        out.layout = Layout(1, {name: addr}, 1)
        return out

    def learn(
        self, present: dict[str, str], listed: dict[str, str] | None, epoch: int, now_us: int
    ) -> dict[str, str] | None:
        """Take in what the state service says; the list that should be written next, or None."""
        self.heard_us = now_us
        if listed is not None and epoch > self.layout.epoch:
            self.layout = Layout(epoch, listed, self.copies)
        self._settle()
        base = listed or {}
        self._missing = {n: self._missing.get(n, now_us) for n in base if n not in present}
        gone = {n for n, since in self._missing.items() if now_us - since >= self.patience_us}
        wanted = {n: present.get(n, addr) for n, addr in base.items() if n not in gone} | present
        return wanted if wanted != base and wanted else None

    def tick(self, now_us: int) -> None:
        """Without word of the state service for a lease's time, somebody else may own our buckets."""
        if self.state != ALONE and now_us - self.heard_us > self.lease_us:
            MEMBERSHIP.transition(self, UNSURE)

    def _settle(self) -> None:
        MEMBERSHIP.transition(self, MEMBER if self.layout.members.get(self.name) == self.addr else JOINING)

    @property
    def peers(self) -> dict[str, str]:
        """The other members' addresses by name, in order."""
        return {name: addr for name, addr in sorted(self.layout.members.items()) if name != self.name}

    @property
    def takes(self) -> bool:
        """Whether this node may confirm writes."""
        return self.state in (ALONE, MEMBER)


class Joining:
    """Keeps this node's lease and key, and the membership up to date, until the process ends."""

    def __init__(self, store: KeyValueStore, membership: Membership, now_us: Callable[[], int]) -> None:
        """Create the task that keeps ``membership`` registered in the state service ``store``."""
        self.store = store
        self.membership = membership
        self.now_us = now_us
        self.lease: int | None = None
        self.pause_s = max(membership.lease_us / 4e6, 0.1)

    async def run(self) -> None:
        """Forever; a fault is logged and tried again."""
        while True:
            try:
                await self.step()
            except Exception:
                log.exception("membership failed")
            self.membership.tick(self.now_us())
            await asyncio.sleep(self.pause_s * random.uniform(0.8, 1.2))

    async def step(self) -> None:
        """Renew, read, and write the next list if one is due."""
        me = self.membership
        asked_us = self.now_us()
        if self.lease is not None and await self.store.renew_lease(self.lease) is False:
            self.lease = None
        listing = await self.store.list_all(PREFIX)
        if listing is None:
            return
        present, listed, epoch = _read_members(listing[0])
        if self.lease is None:
            self.lease = await self.store.grant_lease(me.lease_us // 1000)
        if self.lease is not None and present.get(me.name) != me.addr:
            done = await self.store.commit({}, {NODES + me.name: (Here(me.addr), self.lease)}, [])
            if done.state == CommitOutcome.NO_LEASE:
                self.lease = None
            if done.state == CommitOutcome.COMMITTED:
                present[me.name] = me.addr
        wanted = me.learn(present, listed, epoch, asked_us)
        if wanted is not None:
            done = await self.store.commit({LIST: epoch}, {LIST: (MemberList(wanted), None)}, [])
            if done.state == CommitOutcome.COMMITTED:
                log.info("members since epoch %d: %s", done.revision, ", ".join(sorted(wanted)))
                me.learn(present, wanted, done.revision, asked_us)


def _read_members(pairs: Sequence[KeyValue]) -> tuple[dict[str, str], dict[str, str] | None, int]:
    """Read the nodes that are present, the members' list, if there is one, and the list's epoch."""
    present: dict[str, str] = {}
    listed: dict[str, str] | None = None
    epoch = 0
    for pair in pairs:
        if pair.key == LIST:
            listed = msgspec.json.decode(pair.value, type=MemberList).members
            epoch = pair.version
        elif pair.key.startswith(NODES):
            present[pair.key[len(NODES) :]] = msgspec.json.decode(pair.value, type=Here).addr
    return present, listed, epoch
