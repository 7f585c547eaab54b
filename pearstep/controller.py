"""Joins the core to its neighbours: serves requests, and carries out what the core decides. Following the
state service is ``following``, parts and the lead are ``holding``."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

import msgspec
from tornado.httputil import HTTPServerRequest

from . import wire
from .budget import Budget
from .chief import Chief
from .clocks import now_us, wall_us
from .cloud import Cloud
from .core.model import US, MachineType
from .core.orders import Actions, OwnerConfig
from .core.owner import Owner
from .core.reach import STATE
from .core.view import View
from .following import Follower
from .holding import Holding
from .http import Answer, Client, Server
from .mesh import Mesh
from .settings import Settings, address, us
from .store import COMMITTED, CONFLICT, REFUSED, Store
from .users import Users
from .watch import Watch
from .workers import Workers

log = logging.getLogger("pearstep")

class Controller:
    """One node."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.node = settings.node
        limits = settings.params
        ends = settings.platform.endpoints
        client = Client(max(50, limits.resources.fd_limit // 4), (ends.state, ends.cloud))
        share = settings.parts
        self.store = Store(
            client,
            settings.platform.endpoints.state,
            Budget(limits.state.rps / share * 1.2, limits.state.rps / share, now_us),
            Budget(limits.state.write_rps / share * 1.25, max(limits.state.write_rps / share, 1.0), now_us),
            now_us,
        )
        self.cloud = Cloud(
            client, settings.platform.endpoints.cloud,
            Budget(limits.cloud.rps / 2, max(limits.cloud.rps / 2, 1.0), now_us),
        )  # fmt: skip
        self.view = View()
        self.types: dict[str, MachineType] = {}
        self.owners: dict[int, Owner] = {}
        self.dirty = asyncio.Event()
        self.route_due = asyncio.Event()
        self.follower = Follower(
            self.store, self.view, settings.tuning.leading, self._changed, self._holders_changed
        )
        self._committing: set[int] = set()
        self.users = Users(
            self.store, self.view, settings.teams, self.follower.fresh, self.follower.applied, wall_us,
            settings.tuning.guarding.retry_after_s, settings.txn_ops,
        )  # fmt: skip
        self.users.home = settings.home
        self.workers = Workers(
            client, self.view, self.owners, self.node, settings.parts, now_us, wall_us, self.dirty.set
        )
        self.mesh = Mesh(client, [o.peer_addr for o in settings.platform.others])
        self.watch = Watch(settings, self.store, self.cloud, self.workers, self.mesh, self.view,
                           self.owners, now_us)
        self.holding = Holding(
            settings, self.store, self.view, self.types, self.owners, self.follower, self.watch,
            self._new_owner, self._new_chief, self._gained,
        )  # fmt: skip
        self.workers.awake = self.holding.awake

    # -- serving ---------------------------------------------------------------------------------

    def handle(self, request: HTTPServerRequest) -> Answer | Awaitable[Answer]:
        """Everything that arrives on the public address."""
        path = request.path
        if path == wire.REPORT:
            return self.workers.report(request)
        if path == wire.READY:
            if request.method != "GET":
                return 405, wire.error_answer("method not allowed"), {"Allow": "GET"}
            ready = self.follower.loaded and bool(self.types) and STATE not in self.watch.reach.lacks
            return (200 if ready else 503), msgspec.json.encode({"ready": ready}), {}
        return self._answer_user(request)

    async def _answer_user(self, request: HTTPServerRequest) -> Answer:
        answer = await self.users.handle(request)
        return answer if answer is not None else (404, wire.error_answer("no such path"), {})

    async def run(self) -> None:
        """Until the process is killed."""
        host, port = address(self.settings.platform.bind)
        Server(self.handle).listen(host, port)
        if self.settings.platform.mesh_addr:
            Server(self.mesh.handle).listen(*address(self.settings.platform.mesh_addr))
        log.info("node %s on %s:%d, part %d of %d", self.node, host, port, self.settings.home,
                 self.settings.parts)
        loops: list[Callable[[], Awaitable[None]]] = [
            self.follower.follow, self.holding.keep_lease, self.holding.claim, self.holding.look,
            self.holding.tick, self._step_loop, self._lead_loop, self._types_loop, self._fleet_loop,
        ]  # fmt: skip
        await asyncio.gather(*(self._forever(loop) for loop in loops))

    async def _forever(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A fault in one loop is logged and must not end the process."""
        while True:
            try:
                await loop()
            except Exception:
                log.exception("%s failed", loop.__name__)
                await asyncio.sleep(0.5)

    def _sync_ready(self) -> None:
        self.users.types = self.types
        self.users.ready = self.follower.loaded and bool(self.types)

    def _holders_changed(self) -> None:
        self._sync_ready()
        self.holding.check()

    def _new_owner(self, part: int, stamp: int) -> Owner:
        return Owner(part, stamp, self.view, self.types, self._owner_config(), now_us(), wall_us())

    def _new_chief(self, stamp: int) -> Chief:
        return Chief(self.settings, self.view, self.types, self.store, self.cloud, stamp, now_us, wall_us,
                     self.follower.applied, self.follower.fresh)

    def _gained(self) -> None:
        self.dirty.set()
        self.route_due.set()

    def _changed(self, key: str, known: bool = False) -> None:
        """``known``: the key was there before, and only its value is new."""
        kind, _, rest = key.partition("/")
        ref = ""
        if kind == "j":
            ref = rest
        elif kind in ("r", "p"):
            ref = rest.split("/")[1]
        if ref:
            for owner in self.owners.values():
                owner.job_changed(ref, now_us(), wall_us(), by_owner=kind == "p")
        elif kind == "d" or (kind == "m" and not known):
            for owner in self.owners.values():
                owner.walk_due |= rest.rpartition("/")[2] in owner.machines
        if kind == "d" or any(owner.walk_due for owner in self.owners.values()):
            self.dirty.set()
        if self.holding.chief is not None:
            self.route_due.set()

    def _owner_config(self) -> OwnerConfig:
        s = self.settings
        tuning = s.tuning
        return OwnerConfig(
            parts=s.parts,
            zone=s.platform.location,
            lease_us=s.lease_us,
            report_us=s.report_us,
            cancel_us=s.cancel_us,
            bounds_us=[us(b) for b in tuning.backfilling.bounds_s],
            initial_delay_us=us(tuning.backfilling.initial_delay_s),
            batch=tuning.backfilling.batch,
            threshold=tuning.backfilling.threshold,
            overrun=tuning.backfilling.overrun,
            silent_us=s.silent_us,
            sick_errors=tuning.guarding.sick_errors,
            suspect_machines=tuning.guarding.suspect_machines,
            value_bytes=int(s.params.state.value_kb * 1024),
            txn_ops=s.txn_ops,
            urgent=s.urgent,
            aims=s.aims,
            spare_us=us(tuning.backfilling.spare_s),
        )

    # -- acting as an owner ----------------------------------------------------------------------

    async def _step_loop(self) -> None:
        try:
            await asyncio.wait_for(self.dirty.wait(), 0.5)
        except TimeoutError:
            pass
        self.dirty.clear()
        if not self.holding.awake():
            return
        begun = now_us()
        for owner in list(self.owners.values()):
            self._perform(owner, owner.step(now_us(), wall_us()))
            if owner.part not in self._committing:
                self._committing.add(owner.part)
                asyncio.ensure_future(self._commit(owner))
        await self._rest(begun)

    async def _rest(self, begun: int) -> None:
        """A pause after a pass. The longer it took, the longer reports, users and leases go first."""
        took_s = (now_us() - begun) / US
        leading = self.settings.tuning.leading
        rest_s = min(leading.pace * took_s, leading.longest_rest_ms / 1000)
        await asyncio.sleep(max(leading.step_ms / 1000, rest_s))

    def _perform(self, owner: Owner, actions: Actions) -> None:
        self.workers.perform(owner, actions)
        if actions.deletes:
            asyncio.ensure_future(self._delete(owner, actions.deletes))

    async def _delete(self, owner: Owner, names: list[str]) -> None:
        for i in range(0, len(names), 100):
            group = names[i : i + 100]
            ok = await self.cloud.delete(group)
            log.info("deleting %s: %s", ",".join(
                f"{n} ({d.why})" if (d := self.view.drains.get(n)) else n for n in group),
                "done" if ok else "failed")
            if self.owners.get(owner.part) is not owner:
                return
            for name in group:
                if ok:
                    owner.deleted(name, now_us(), wall_us())
                else:
                    owner.delete_failed(name, now_us())
        self.dirty.set()

    async def _commit(self, owner: Owner) -> None:
        try:
            while self.owners.get(owner.part) is owner:
                if not owner.has_writes(now_us()):
                    return
                await self.store.may_write()
                batch = owner.gather(now_us(), wall_us())
                if batch is None:
                    return
                outcome = await self.store.txn(batch.conditions, batch.puts, batch.deletes)
                actions = Actions()
                if outcome.state == COMMITTED:
                    owner.committed(batch, outcome.revision, actions)
                    for a in batch.placed:
                        log.debug("placed %s try %d on %s, image %s %s", a.name, a.number, a.machine,
                                  a.spec.image, a.spec.cls)
                    for key, (value, _) in batch.puts.items():
                        self.follower.applied(key, outcome.revision, value)
                    for key in batch.deletes:
                        if self.view.delete(key, outcome.revision):
                            self._changed(key)
                    if self.owners.get(owner.part) is owner:
                        self._perform(owner, actions)
                elif outcome.state == REFUSED:
                    owner.rejected(batch, now_us(), wall_us(), unchanged=True)
                    await asyncio.sleep(random.uniform(0.1, 0.3))
                else:
                    log.info("part %d: commit %s %s", owner.part, outcome.state, outcome.failed[:4])
                    # What stands in the way, or whether it was applied after all, only a new view tells.
                    while not await self.follower.fresh():
                        await asyncio.sleep(random.uniform(0.1, 0.3))
                        if self.owners.get(owner.part) is not owner:
                            return
                    failed = outcome.failed if outcome.state == CONFLICT else ()
                    owner.rejected(batch, now_us(), wall_us(), unchanged=False, failed=failed)
                    self.dirty.set()
        finally:
            self._committing.discard(owner.part)

    # -- acting as the leader --------------------------------------------------------------------

    async def _lead_loop(self) -> None:
        try:
            await asyncio.wait_for(self.route_due.wait(), 0.7)
        except TimeoutError:
            pass
        self.route_due.clear()
        chief = self.holding.chief
        if chief is None or self.store.refused_since is not None or not self.holding.awake():
            await asyncio.sleep(0.1)
            return
        begun = now_us()
        plans = chief.plan()
        thought = now_us() - begun
        await chief.write(plans)
        await self._rest(now_us() - thought)

    async def _fleet_loop(self) -> None:
        await asyncio.sleep(0.4)
        chief = self.holding.chief
        if chief is not None and self.store.refused_since is None and self.holding.awake():
            await chief.tend_fleet()

    async def _types_loop(self) -> None:
        types = await self.cloud.types()
        if types:
            self.types.update(types)
            self._sync_ready()
        await asyncio.sleep(30 if types else random.uniform(0.5, 1.0))
