"""Watches how this node stands: notices when the process stood still, and gathers what ``core/reach`` needs
to know of neighbours, from its own dealings with them and, while it misses one, from its peers."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from ..core import machine as mc
from ..core.model import US
from ..core.owner import Owner
from ..core.reach import CLOUD, STATE, WOKEN, WORKERS, Reach
from ..core.view import View
from ..links.store import Store
from .cloud import Cloud
from .mesh import Mesh, Status
from .settings import Settings
from .workers import ASKED, Workers

log = logging.getLogger("pearstep")

TICK_US = US // 4
CLOUD_PATIENCE_US = 3 * US
# How long workers may take to find a new owner, and how long one at the wrong door counts as news.
FINDING_US = 8 * US
KNOCK_US = 6 * US


class Watch:
    """Feeds ``Reach``; what follows from its state is the controller's business."""

    def __init__(
        self, settings: Settings, store: Store, cloud: Cloud, workers: Workers, mesh: Mesh, view: View,
        owners: dict[int, Owner], now_us: Callable[[], int],
    ) -> None:  # fmt: skip
        lease_us = settings.bounds.lease_us
        # Our lease lives on for its whole time after the last renewal: till then nobody can follow us,
        # and stepping down earlier would leave the workers to nobody.
        patience_us = {STATE: lease_us, WORKERS: 0, CLOUD: CLOUD_PATIENCE_US}
        self.reach = Reach(patience_us, 2 * lease_us, settings.bounds.agreed_us)
        self.settings = settings
        self.store = store
        self.cloud = cloud
        self.workers = workers
        self.mesh = mesh
        self.view = view
        self.owners = owners
        self.now_us = now_us
        self.loaded = False
        self._asked_us = 0
        self._tick_us = now_us()
        self.unheard: dict[int, int] = {}
        mesh.status = self.status
        cloud.note = lambda ok: self.reach.note(CLOUD, ok, now_us())

    async def status(self, cloud: bool) -> Status:
        """What a peer is told."""
        if cloud:
            await self.cloud.types()
        return Status(
            self.settings.node, self.loaded and self.store.refused_since is None,
            CLOUD not in self.reach.failing,
            await self.workers.knocked_in_earnest(max(2 * self.settings.report_us, KNOCK_US)),
        )  # fmt: skip

    def stood_still(self) -> bool:
        """Whether the process stood still since the last look; if so everything is doubtful until
        ``Reach.settle``. Called before anything that acts on what is known."""
        now = self.now_us()
        gap = now - self._tick_us - TICK_US
        self._tick_us = now
        # A pause so much longer than asked for: the process stood still, or has so much to do that what it
        # knows is as old as if it had.
        if gap < self.settings.bounds.gap_us:
            return False
        log.info("stood still for %.1f s: nothing is judged until the lease is renewed", gap / US)
        for owner in self.owners.values():
            owner.stood_still(gap, now)
        self.reach.woke(now)
        return True

    def _hear_workers(self, now: int) -> None:
        """Whether nearly all machines of a part have stopped reporting here."""
        limit = self.settings.report_us + US
        self.unheard = {}
        for part, owner in self.owners.items():
            machines = [m for m in owner.machines.values() if m.state not in (mc.DELETING, mc.GONE)]
            # One that was not yet heard under our token has to find us first.
            silent = sum(
                now - m.heard_us > (limit if m.confirmed else limit + FINDING_US) for m in machines
            )
            if silent >= 2 and silent * 4 >= len(machines) * 3:
                self.unheard[part] = silent
        if self.owners:
            self.reach.note(WORKERS, not self.unheard, now)

    async def look(self) -> None:
        """One look at everything, about twice a second."""
        now = self.now_us()
        self.reach.note(STATE, self.store.refused_since is None, self.store.refused_since or now)
        self._hear_workers(now)
        suspects = self.reach.doubts(now)
        if suspects and self.mesh.peers:
            await self._ask(suspects)
        if WORKERS in self.reach.lacks:
            await self._look_for_workers()
        if self.reach.state != WOKEN:
            self.reach.update(self.now_us())

    async def _ask(self, suspects: list[str]) -> None:
        now = self.now_us()
        cloud = CLOUD in suspects and now - self._asked_us > 2 * US
        if cloud:
            self._asked_us = now
        peers = await self.mesh.ask(cloud)
        now = self.now_us()
        self.reach.met(bool(peers))
        if STATE in suspects:
            self.reach.heard(STATE, any(p.state_ok for p in peers), now)
        if WORKERS in suspects:
            self.reach.heard(WORKERS, any(
                # Workers that are kept from this node go round its peers: each may have heard them all.
                2 * max((p.knocks.get(part, 0) for p in peers), default=0) >= silent
                for part, silent in self.unheard.items()
            ), now)  # fmt: skip
        if cloud:
            self.reach.heard(CLOUD, any(p.cloud_ok for p in peers), now)

    async def _look_for_workers(self) -> None:
        """Nobody reports to a node that owns nothing: it asks some of the workers itself."""
        addrs = [
            rec.addr for name, (_, rec) in self.view.machines.items() if name not in self.view.drains
        ]  # fmt: skip
        some = random.sample(addrs, min(ASKED, len(addrs)))
        if not some or await self.workers.reached(some):
            self.reach.note(WORKERS, True, self.now_us())
