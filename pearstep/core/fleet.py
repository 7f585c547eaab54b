"""Renting and returning machines: the leader's decisions, from the records and the cloud's list."""

from __future__ import annotations

from dataclasses import dataclass

from .job import Job
from .model import US, MachineType, Room, room_of
from .placement import type_allowed
from .records import DrainRec, HireRec
from .view import View


@dataclass
class FleetConfig:
    """The operators' tuning of the fleet."""

    idle_us: int
    most_at_once: int
    most_machines: int
    settle_us: int
    refused_us: int
    boot_factor: float
    boot_margin_us: int


@dataclass
class Wish:
    """Machines to rent."""

    type: str
    zone: str
    spot: bool
    count: int


class Fleet:
    """What the leader remembers of the fleet; a new leader begins afresh from the records."""

    def __init__(self, view: View, types: dict[str, MachineType], zones: list[str], cfg: FleetConfig) -> None:
        self.view = view
        self.types = types
        self.zones = zones
        self.cfg = cfg
        self.idle_since: dict[str, int] = {}
        self.refused: dict[tuple[str, str, bool], int] = {}
        self.booting: dict[str, tuple[HireRec, int]] = {}
        self.came_up: set[str] = set()

    def note_refusal(self, key: tuple[str, str, bool], now_us: int) -> None:
        """The cloud has none of these now."""
        self.refused[key] = now_us + self.cfg.refused_us

    def follow(self, now_us: int, wall_us: int) -> None:
        """Keep track of what boots and what idles."""
        for rec in self.view.hires.values():
            for name in rec.machines or ():
                if name not in self.view.machines and name not in self.view.drains:
                    if name not in self.came_up and name not in self.booting:
                        self.booting[name] = (rec, now_us - max(wall_us - rec.at_us, 0))
        for name in list(self.booting):
            if name in self.view.machines or name in self.view.drains:
                self.came_up.add(name)
                del self.booting[name]
        busy: set[str] = set()
        for job in self.view.open.values():
            for placed in job.places.values():
                busy.update(place.machine for place in placed.rec.run.values())
        for name in self.view.machines:
            if name in busy:
                self.idle_since.pop(name, None)
            else:
                self.idle_since.setdefault(name, now_us)
        for name in [n for n in self.idle_since if n not in self.view.machines]:
            del self.idle_since[name]

    def wishes(self, unplaced: list[tuple[Job, int]], now_us: int) -> list[Wish]:
        """What to rent for tasks that find no room, beyond what is booting already."""
        coming: list[tuple[MachineType, str, bool, Room]] = []
        for rec, _ in self.booting.values():
            if rec.type in self.types:
                mtype = self.types[rec.type]
                coming.append((mtype, rec.zone, rec.spot, room_of(mtype)))
        for rec in self.view.hires.values():
            if rec.machines is None and rec.type in self.types:
                mtype = self.types[rec.type]
                coming.extend((mtype, rec.zone, rec.spot, room_of(mtype)) for _ in range(rec.count))
        new: dict[tuple[str, str, bool], int] = {}
        total = len(self.view.machines) + len(coming)
        for job, count in unplaced:
            spec = job.spec
            left = count
            while left > 0:
                for mtype, zone, spot, room in coming:
                    if (
                        (spec.types is None or mtype.name in spec.types)
                        and (spec.zone is None or spec.zone == zone)
                        and (spec.spot or not spot)
                    ):
                        n = room.how_many(spec, left)
                        if n:
                            room.take(spec, n)
                            left -= n
                    if not left:
                        break
                if not left or total >= self.cfg.most_machines:
                    break
                choice = self._cheapest(job, left, now_us)
                if choice is None:
                    break
                name, zone, spot = choice
                mtype = self.types[name]
                coming.append((mtype, zone, spot, room_of(mtype)))
                new[choice] = new.get(choice, 0) + 1
                total += 1
        return [
            Wish(name, zone, spot, min(n, self.cfg.most_at_once)) for (name, zone, spot), n in new.items()
        ]

    def _cheapest(self, job: Job, left: int, now_us: int) -> tuple[str, str, bool] | None:
        """The type, zone and kind with the least price per task that it would hold."""
        spec = job.spec
        best: tuple[str, str, bool] | None = None
        best_cost = 0.0
        for mtype in self.types.values():
            if not type_allowed(spec, mtype):
                continue
            holds = room_of(mtype).how_many(spec, left)
            for zone in mtype.zones:
                if zone not in self.zones or (spec.zone is not None and zone != spec.zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    if self.refused.get((mtype.name, zone, spot), 0) > now_us:
                        continue
                    cost = (mtype.spot_price if spot else mtype.price) / holds
                    if best is None or cost < best_cost:
                        best, best_cost = (mtype.name, zone, spot), cost
        return best

    def returns(self, wanted: bool, now_us: int, wall_us: int) -> dict[str, DrainRec]:
        """Machines to empty and delete: idle for long, or never come up."""
        out: dict[str, DrainRec] = {}
        if not wanted:
            for name, since in self.idle_since.items():
                if now_us - since > self.cfg.idle_us and name not in self.view.drains:
                    out[name] = DrainRec("idle", wall_us)
        for name, (rec, since) in self.booting.items():
            boot_us = self.types[rec.type].boot_us if rec.type in self.types else 60 * US
            if now_us - since > boot_us * self.cfg.boot_factor + self.cfg.boot_margin_us:
                out[name] = DrainRec("never came up", wall_us)
        return out
