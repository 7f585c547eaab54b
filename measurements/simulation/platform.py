"""The region's state service and cloud behind connections in memory, with the protocol's limits, lags, leases
and outages. The state service is the stand-in's own.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from measurements.simulation.clock import Life, VirtualLoop
from measurements.simulation.net import Request
from pearstep.domain.machine_type import MachineType
from pearstep.emulator.state_service import EXPIRY_INTERVAL_S, StateService
from pearstep.protocol import emulator_messages as wire
from pearstep.transport.http import Answer
from pearstep.transport.rate_limiter import RateLimiter

TROUBLE: Answer = (503, b'{"error":"trouble"}', {})
MANY: Answer = (429, b"{}", {})
# How much later a transaction without an answer is carried out, and how long a slow answer takes each way.
LATE_S = (2.0, 12.0)
SLOW_S = 1.2


def asked(request: Request) -> dict[str, str]:
    """The arguments of a query."""
    return {k: v[0].decode() for k, v in request.arguments.items()}


class State(StateService):
    """The state service. ``away``: an outage for all; ``refuses``: nodes that alone get 503."""

    def __init__(
        self, life: Life, rps: float, write_rps: float, value_kb: float, txn_ops: int, rng: random.Random
    ) -> None:
        super().__init__(None, rps, write_rps, value_kb, txn_ops)
        self.life = life
        self.rng = rng
        # Shares of transactions that have no answer and are carried out later, and of answers that are slow.
        self.late = self.slow = 0.0
        # Share of transactions that are carried out at once, and of which only the answer is lost.
        self.lost = 0.0
        # Transactions that were carried out late: when, and whether their conditions still held.
        self.carried: list[tuple[float, bool]] = []
        self.away = 0
        self.refuses: set[str] = set()
        # Told of each key that a transaction changed, and its value; None: deleted.
        self.steps: list[Callable[[str, bytes | None], None]] = []
        life.start(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            before = self.keys.revision
            if not self.away and self.keys.expire_leases(self.life.now_us()):
                super()._persist_changes(before)

    def _persist_changes(self, before: int) -> None:
        super()._persist_changes(before)
        for _, key, value in self.keys.changes_after("", before) or ():
            for step in self.steps:
                step(key, value)

    def outage(self, away: bool) -> None:
        """An outage begins or ends; when it ends, all leases have their full time again."""
        self.away += 1 if away else -1
        if not self.away:
            for lease in list(self.keys.leases):
                self.keys.renew_lease(lease, self.life.now_us())

    def door(self, host: str) -> Callable[[Request], Awaitable[Answer]]:
        """Requests of one host."""

        def refused() -> bool:
            return bool(self.away) or host in self.refuses

        async def answer(request: Request) -> Answer:
            if refused():
                return TROUBLE
            if request.path == "/txn" and self.rng.random() < self.late:
                self.life.loop.call_later(
                    self.rng.uniform(*LATE_S),
                    self._carry_out,
                    request,
                    refused,
                    context=self.life.context.copy(),
                )
                await asyncio.Event().wait()  # no answer, ever
            if request.path == "/txn" and self.lost and self.rng.random() < self.lost:
                self.carried.append((self.life.loop.time(), (await self.handle(request))[0] == 200))
                await asyncio.Event().wait()
            slow = self.rng.random() < self.slow
            if slow:
                await asyncio.sleep(self.rng.uniform(0.0, SLOW_S))
                if refused():
                    return TROUBLE
            found = await self.handle(request)
            if slow:
                await asyncio.sleep(self.rng.uniform(0.0, SLOW_S))
            while request.path == "/changes" and refused():
                # A watch stays open during an outage, and while its node alone is refused.
                await asyncio.sleep(EXPIRY_INTERVAL_S)
            return found

        return answer

    def _carry_out(self, request: Request, refused: Callable[[], bool]) -> None:
        async def work() -> None:
            if not refused():
                status = (await self.handle(request))[0]
                self.carried.append((self.life.loop.time(), status == 200))

        self.life.start(work())


class Rented:
    """A machine as the cloud has it."""

    def __init__(self, name: str, mtype: str, zone: str, spot: bool, asked_s: float) -> None:
        self.name, self.mtype, self.zone, self.spot, self.asked_s = name, mtype, zone, spot, asked_s
        self.stage = "booting"


class Cloud:
    """The cloud. ``boot`` brings a machine up, ``end`` ends one."""

    def __init__(
        self,
        loop: VirtualLoop,
        life: Life,
        types: dict[str, MachineType],
        capacity: int,
        lag_s: float,
        rps: float,
        rng: random.Random,
        boot: Callable[[Rented], None],
        end: Callable[[str], None],
    ) -> None:
        self.loop, self.types, self.capacity, self.lag_s, self.rng = loop, types, capacity, lag_s, rng
        self.requests = RateLimiter(rps, 2 * rps, life.now_us)
        self.life = life
        self.boot, self.end = boot, end
        self.away = 0
        # Whether machines are up within two seconds.
        self.quick = False
        self.machines: dict[str, Rented] = {}
        self.deleted: dict[str, float] = {}
        self.hires: dict[str, list[str]] = {}
        self.shown: list[tuple[float, list[tuple[str, str, str, str, bool, str, float]]]] = []
        life.start(self._picture())

    async def _picture(self) -> None:
        while True:
            now = self.loop.time()
            rows = [
                (m.name, f"{m.name}:9000", m.mtype, m.zone, m.spot, m.stage, m.asked_s)
                for m in sorted(self.machines.values(), key=lambda m: m.name)
            ]
            self.shown.append((now, rows))
            while len(self.shown) > 1 and self.shown[1][0] <= now - self.lag_s:
                self.shown.pop(0)
            await asyncio.sleep(0.5)

    def rent(self, mtype: str, zone: str, spot: bool, boot_s: float | None = None) -> str:
        """One machine."""
        name = f"i-{len(self.machines) + len(self.deleted) + 1:06d}"
        machine = self.machines[name] = Rented(name, mtype, zone, spot, self.loop.time())
        if boot_s is None:
            # At times machines are up within a second, a few take several times as long.
            usual = self.types[mtype].boot_us / 1e6 * self.rng.uniform(0.6, 1.5)
            boot_s = self.rng.choice([0.5, usual, usual, usual, usual, 3 * usual])
            if self.quick:
                boot_s = self.rng.uniform(0.2, 2.0)
        self.loop.call_later(boot_s, self._up, machine, context=self.life.context.copy())
        return name

    def _up(self, machine: Rented) -> None:
        if machine.name in self.machines:
            machine.stage = "running"
            self.boot(machine)

    def take(self, name: str) -> None:
        """The machine is gone, by a deletion or because the cloud took it."""
        if self.machines.pop(name, None) is not None:
            self.deleted[name] = self.loop.time()
            self.end(name)

    async def handle(self, request: Request) -> Answer:
        """One request."""
        if self.away:
            return TROUBLE
        if not self.requests.try_acquire():
            return MANY
        await asyncio.sleep(self.rng.uniform(0.02, 0.15))
        if request.path == "/flavors":
            return (
                200,
                wire.encode_machine_types(
                    [
                        wire.build_machine_type(
                            t.name, t.cpus, t.gpus, t.memory_gb, t.boot_us / 1e6, t.price, list(t.zones)
                        )
                        for t in self.types.values()
                    ]
                ),
                {},
            )
        if request.path == "/hosts/delete":
            for name in wire.decode_deletion_request(request.body).machines:
                self.take(name)
            return 200, b"{}", {}
        if request.method == "GET":
            at_s, rows = self.shown[0]
            after = asked(request).get("from", "")
            rows = [r for r in rows if r[0] > after][:500]
            return 200, wire.encode_machine_page([(*r[:6], at_s - r[6]) for r in rows], False), {}
        wish = wire.decode_instance_request(request.body)
        if wish.name not in self.hires:
            room = self.capacity - len(self.machines)
            if room <= 0:
                return 503, b'{"error":"no capacity"}', {}
            self.hires[wish.name] = [
                self.rent(wish.type, wish.zone, wish.spot) for _ in range(min(room, wish.count))
            ]
        return 200, wire.encode_instance_names(self.hires[wish.name]), {}
