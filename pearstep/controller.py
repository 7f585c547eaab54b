"""Joins the core to its neighbours: follows the state service, holds parts and the lead, and carries
out what the core decides."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

import msgspec
from tornado.httputil import HTTPServerRequest

from . import wire
from .budget import Budget
from .chief import Chief
from .cloud import Cloud
from .core.model import US, MachineType
from .core.owner import Owner
from .core.records import HolderRec
from .core.talk import Actions, OwnerConfig
from .core.view import View
from .http import Answer, Client, Server
from .mesh import Mesh
from .settings import Settings, address, us
from .store import COMMITTED, CONFLICT, NO_LEASE, REFUSED, Store
from .users import Users
from .workers import Workers

log = logging.getLogger("pearstep")

# How many times as long as it took a pass rests: a fortieth of the time at the most is spent on walks.
PACE = 39


def now_us() -> int:
    """The steady clock."""
    return time.monotonic_ns() // 1000


def wall_us() -> int:
    """The time of day."""
    return time.time_ns() // 1000


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
        self.chief: Chief | None = None
        self.lease: int | None = None
        self.loaded = False
        self.alone = False
        self.dirty = asyncio.Event()
        self.route_due = asyncio.Event()
        self.part_gone: dict[int, int] = {}
        self._refresh: asyncio.Future[bool] | None = None
        self._refreshing = False
        self._refreshed_us = 0
        self._committing: set[int] = set()
        self.users = Users(
            self.store, self.view, settings.teams, self.fresh, self.applied, wall_us,
            settings.tuning.guarding.retry_after_s, settings.txn_ops,
        )  # fmt: skip
        self.workers = Workers(
            client, self.view, self.owners, self.node, settings.parts, now_us, wall_us, self.dirty.set
        )
        self.mesh = Mesh(
            client, self.node, [o.peer_addr for o in settings.platform.others], self._state_ok
        )

    # -- serving ---------------------------------------------------------------------------------

    def handle(self, request: HTTPServerRequest) -> Answer | Awaitable[Answer]:
        """Everything that arrives on the public address."""
        path = request.path
        if path == wire.REPORT:
            return self.workers.report(request)
        if path == wire.READY:
            if request.method != "GET":
                return 405, wire.error_answer("method not allowed"), {"Allow": "GET"}
            ready = self.loaded and bool(self.types) and not self.alone
            return (200 if ready else 503), msgspec.json.encode({"ready": ready}), {}
        return self._answer_user(request)

    async def _answer_user(self, request: HTTPServerRequest) -> Answer:
        answer = await self.users.handle(request)
        return answer if answer is not None else (404, wire.error_answer("no such path"), {})

    def _state_ok(self) -> bool:
        return self.loaded and self.store.refused_since is None

    async def run(self) -> None:
        """Until the process is killed."""
        host, port = address(self.settings.platform.bind)
        Server(self.handle).listen(host, port)
        if self.settings.platform.mesh_addr:
            Server(self.mesh.handle).listen(*address(self.settings.platform.mesh_addr))
        log.info("node %s on %s:%d, part %d of %d", self.node, host, port, self.settings.home,
                 self.settings.parts)
        loops: list[Callable[[], Awaitable[None]]] = [
            self._follow, self._keep_lease, self._claim_loop, self._step_loop, self._lead_loop,
            self._types_loop, self._alone_loop, self._fleet_loop,
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

    # -- following the state service -------------------------------------------------------------

    async def _load(self) -> bool:
        listing = await self.store.list_all()
        if listing is None:
            return False
        pairs, revision = listing
        listed = set()
        for pair in pairs:
            listed.add(pair.key)
            self._put(pair.key, pair.version, bytes(pair.value))
        for key in [k for k in self.view.stamps if k not in listed]:
            if self.view.stamps[key] <= revision:
                self.view.delete(key, revision + 1)
        self.view.revision = max(self.view.revision, revision)
        if not self.loaded:
            log.info("loaded %d keys at revision %d, %d open jobs", len(pairs), revision,
                     len(self.view.open))
        self.loaded = True
        self._sync_ready()
        self._check_holders()
        return True

    def _sync_ready(self) -> None:
        self.users.types = self.types
        self.users.ready = self.loaded and bool(self.types)

    async def _follow(self) -> None:
        if not self.loaded:
            if not await self._load():
                await asyncio.sleep(random.uniform(0.2, 0.4))
                return
        pause = self.settings.tuning.leading.follow_ms / 1000
        changes = await self.store.changes(self.view.revision, 10_000)
        if isinstance(changes, int):
            if changes == 410:
                await self._load()
            else:
                await asyncio.sleep(random.uniform(0.15, 0.4))
            return
        self._apply_changes(changes)
        await asyncio.sleep(pause)
        while (rest_us := self._refreshed_us + us(pause) - now_us()) > 0:
            # What users ask keeps the view up to date already: no need to read the changes twice.
            await asyncio.sleep(rest_us / US)

    def _apply_changes(self, changes: wire.Changes) -> None:
        touched = False
        for event in changes.events:
            if event.put is not None:
                touched |= self._put(event.put, event.version, bytes(event.value))
            elif event.delete is not None and self.view.delete(event.delete, event.version):
                touched = True
                self._changed(event.delete)
        self.view.revision = max(self.view.revision, changes.revision)
        if touched:
            self._check_holders()

    def _put(self, key: str, stamp: int, raw: bytes) -> bool:
        known = self.view.stamp(key) > 0
        if self.view.put(key, stamp, raw, now_us()):
            self._changed(key, known)
            return True
        return False

    def applied(self, key: str, stamp: int, value: object) -> None:
        """A change of our own is committed: no need to wait until it comes back."""
        self._put(key, stamp, msgspec.json.encode(value))

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
        if self.chief is not None:
            self.route_due.set()

    def _check_holders(self) -> None:
        """Give up at once what somebody else holds, or what our lease no longer holds."""
        for part, owner in list(self.owners.items()):
            holder = self.view.parts.get(part)
            if holder is None or holder.stamp != owner.token:
                log.info("part %d is no longer ours", part)
                del self.owners[part]
        if self.chief is not None:
            lead = self.view.leader
            if lead is None or lead.stamp != self.chief.stamp:
                log.info("the lead is no longer ours")
                self.chief = None
        for part in range(self.settings.parts):
            if part in self.view.parts:
                self.part_gone.pop(part, None)
            else:
                self.part_gone.setdefault(part, now_us())

    async def fresh(self) -> bool:
        """Wait for a view read after this call. All calls that wait at the moment share one read."""
        if self._refresh is None:
            self._refresh = asyncio.get_running_loop().create_future()
            if not self._refreshing:
                asyncio.ensure_future(self._refresh_loop())
        return await self._refresh

    async def _refresh_loop(self) -> None:
        self._refreshing = True
        try:
            while self._refresh is not None:
                waiting, self._refresh = self._refresh, None
                ok = False
                try:
                    changes = await self.store.changes(self.view.revision, 0, urgency=0)
                    if isinstance(changes, int):
                        ok = changes == 410 and await self._load()
                    else:
                        self._apply_changes(changes)
                        self._refreshed_us = now_us()
                        ok = True
                except Exception:
                    log.exception("refresh failed")
                if not waiting.done():
                    waiting.set_result(ok)
                await asyncio.sleep(self.settings.tuning.leading.refresh_ms / 1000)
        finally:
            self._refreshing = False

    # -- leases, parts and the lead --------------------------------------------------------------

    async def _keep_lease(self) -> None:
        ttl_s = self.settings.tuning.leading.lease_s
        if self.lease is None:
            self.lease = await self.store.grant(int(ttl_s * 1000))
            if self.lease is None:
                await asyncio.sleep(random.uniform(0.2, 0.5))
                return
        await asyncio.sleep(ttl_s / 4)
        if self.lease is None:
            return
        if await self.store.renew(self.lease) is False:
            log.info("our lease is over")
            self._lost_lease()

    def _lost_lease(self) -> None:
        self.lease = None
        self.owners.clear()
        self.chief = None

    async def _claim_loop(self) -> None:
        await asyncio.sleep(0.2)
        if not self.loaded or not self.types or self.lease is None or self.store.refused_since is not None:
            return
        home = self.settings.home
        holder = self.view.parts.get(home)
        if home not in self.owners and (holder is None or holder.stamp != 0):
            await self._claim(f"part/{home}")
        if self.chief is None:
            lead = self.view.leader
            if lead is None or lead.node == self.node:
                if lead is None and home:
                    await asyncio.sleep(0.3 * home)
                if self.view.leader is lead:
                    await self._claim("leader")
        patience = us(self.settings.tuning.leading.takeover_s)
        for part, since in list(self.part_gone.items()):
            # The owner of the least loaded live node would be fairest; the first to see it will do.
            if part != home and now_us() - since > patience + 300_000 * ((home - part) % self.settings.parts):
                await self._claim(f"part/{part}")

    async def _claim(self, key: str) -> None:
        if self.lease is None:
            return
        lease = self.lease
        outcome = await self.store.txn(
            {key: self.view.stamp(key)}, {key: (HolderRec(self.node), lease)}, urgency=0
        )
        if outcome.state == NO_LEASE:
            self._lost_lease()
            return
        if outcome.state == CONFLICT:
            await self.fresh()
            return
        if outcome.state != COMMITTED:
            return
        # Everything committed before our stamp must be known before we act on it.
        while self.view.revision < outcome.revision:
            if not await self.fresh():
                await asyncio.sleep(0.1)
                if self.lease != lease:
                    return
        if self.view.stamp(key) != outcome.revision or self.lease != lease:
            return
        if key == "leader":
            self.chief = Chief(self.settings, self.view, self.types, self.store, self.cloud,
                               outcome.revision, now_us, wall_us, self.applied, self.fresh)
            self.route_due.set()
            log.info("leading since %d", outcome.revision)
        else:
            part = int(key.partition("/")[2])
            owner = Owner(part, outcome.revision, self.view, self.types, self._owner_config(),
                          now_us(), wall_us())
            self.owners[part] = owner
            log.info("owning part %d with token %d: %d machines", part, owner.token, len(owner.machines))
        self.dirty.set()

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
        await asyncio.sleep(max(self.settings.tuning.leading.step_ms / 1000, min(PACE * took_s, 1.0)))

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
                        self.applied(key, outcome.revision, value)
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
                    while not await self.fresh():
                        await asyncio.sleep(random.uniform(0.1, 0.3))
                        if self.owners.get(owner.part) is not owner:
                            return
                    owner.rejected(batch, now_us(), wall_us(), unchanged=False)
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
        chief = self.chief
        if chief is None or self.store.refused_since is not None:
            await asyncio.sleep(0.1)
            return
        begun = now_us()
        plans = chief.plan()
        thought = now_us() - begun
        await chief.write(plans)
        await self._rest(now_us() - thought)

    async def _fleet_loop(self) -> None:
        await asyncio.sleep(0.4)
        chief = self.chief
        if chief is not None and self.store.refused_since is None:
            await chief.tend_fleet()

    async def _types_loop(self) -> None:
        types = await self.cloud.types()
        if types:
            self.types.update(types)
            self._sync_ready()
        await asyncio.sleep(30 if types else random.uniform(0.5, 1.0))

    async def _alone_loop(self) -> None:
        await asyncio.sleep(1.0)
        since = self.store.refused_since
        refused = since is not None and now_us() - since > 1.5 * US
        self.alone = refused and bool(self.mesh.peers) and await self.mesh.any_served()


