"""Preemption: which lower-priority tasks to stop so that a job of higher priority finds room."""

from __future__ import annotations

from collections.abc import Mapping

from .backfill import Item
from .machine import Machine
from .model import US
from .placement import Seat, zone_limit
from .task import HEARD, PLACED, Attempt


def _yielding(machine: Machine, priority: int, now_us: int) -> list[Attempt]:
    """Tasks that may be stopped for the priority: the lowest first, then those that lose the least."""
    able = [
        a for a in machine.attempts.values()
        if a.spec.priority > priority and a.stop_grace_us is None and a.state in (PLACED, HEARD)
        and a.spec.kind != "gang"
    ]  # fmt: skip
    able.sort(key=lambda a: (-a.spec.priority, min(a.unsaved_us(now_us), a.spec.save_us), -a.placed_us))
    return able


def _make_room(item: Item, seat: Seat, machine: Machine, now_us: int) -> list[Attempt] | None:
    """What to stop on this machine so that one more task fits; None if nothing would do."""
    room = seat.room.copy()
    out: list[Attempt] = []
    if room.fits(item.spec):
        return out
    for a in _yielding(machine, item.spec.priority, now_us):
        room.take(a.spec, -1)
        out.append(a)
        if room.fits(item.spec):
            return out
    return None


def victims(
    item: Item, seats: list[Seat], machines: Mapping[str, Machine], now_us: int
) -> list[Attempt]:
    """The tasks to stop for an item. The seats' rooms are used up as if it had started; where it fits
    in room that is coming anyway, nothing is stopped."""
    spec = item.spec
    count = len(item.tasks) if spec.kind == "gang" else 1
    able = [s for s in seats if s.allows(spec, item.zone) and s.name not in item.avoid]
    best: list[tuple[Seat, list[Attempt]]] | None = None
    zones = sorted({s.zone for s in able}) if spec.one_zone else [None]
    rounds = 1 if spec.kind == "gang" else len(item.tasks)
    stopped: list[Attempt] = []
    for _ in range(rounds):
        best = None
        for zone in zones:
            there = [s for s in able if zone is None or s.zone == zone]
            plan = _plan(item, count, there, machines, stopped, now_us)
            if plan is not None and (best is None or _price(plan, item) < _price(best, item)):
                best = plan
        if best is None:
            break
        for seat, ends in best:
            for a in ends:
                seat.room.take(a.spec, -1)
                stopped.append(a)
            seat.room.take(spec)
    return stopped


def _price(plan: list[tuple[Seat, list[Attempt]]], item: Item) -> float:
    """Tasks stopped, and seconds until the last image is there."""
    return sum(len(ends) for _, ends in plan) + max(seat.fetch_us(item.spec) for seat, _ in plan) / US


def _plan(
    item: Item, count: int, seats: list[Seat], machines: Mapping[str, Machine], stopped: list[Attempt],
    now_us: int,
) -> list[tuple[Seat, list[Attempt]]] | None:
    """Machines for ``count`` tasks with what to stop on each: few stops, and the image near."""
    spec = item.spec
    plan: list[tuple[Seat, list[Attempt]]] = []
    used: set[int] = {id(a) for a in stopped}
    per_zone: dict[str, int] = {}
    rooms = {s.name: s.room for s in seats}
    most = zone_limit(spec)
    try:
        for seat in seats:
            seat.room = seat.room.copy()
        while len(plan) < count:
            options = []
            for seat in seats:
                if per_zone.get(seat.zone, 0) >= most:
                    continue
                ends = _make_room(item, seat, machines[seat.name], now_us)
                if ends is not None and not any(id(a) in used for a in ends):
                    price = len(ends) + seat.fetch_us(spec) / US
                    options.append((price, seat.cost(spec, item.queue), seat.name, seat, ends))
            if not options:
                return None
            _, _, _, seat, ends = min(options, key=lambda o: o[:3])
            for a in ends:
                seat.room.take(a.spec, -1)
                used.add(id(a))
            seat.room.take(spec)
            per_zone[seat.zone] = per_zone.get(seat.zone, 0) + 1
            plan.append((seat, ends))
        return plan
    finally:
        for seat in seats:
            seat.room = rooms[seat.name]
