"""Renting and returning machines: the leader's decisions, from the records and the cloud's list."""

from __future__ import annotations

from dataclasses import dataclass

from .job import Job
from .leader import Slot
from .model import US, MachineType, Room, Spec, room_of
from .placement import type_allowed
from .records import QUEUED, DrainRec, HireRec
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
    patience: float = 1.0
    overrun: float = 0.25
    urgent: frozenset[str] = frozenset()
    move_us: int = 0
    move_ran_us: int = 35 * US
    move_left_us: int = 20 * US


Offer = tuple[MachineType, str, bool, Room]


def _pack(spec: Spec, count: int, offers: list[Offer]) -> int:
    """Use up room that comes for tasks that wait; how many found some."""
    left = count
    for mtype, zone, spot, room in offers:
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
    return count - left


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
        self.next_move_us = 0

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

    def _freeing(self, wall_us: int) -> list[Offer]:
        """Room that running tasks should free before a machine rented now would be up. A task past its
        estimate is taken to run on for the share of its time that overruns usually take."""
        rooms: dict[str, Room] = {}
        for job in self.view.open.values():
            for placed in job.places.values():
                for place in placed.rec.run.values():
                    known = self.view.machines.get(place.machine)
                    if known is None or place.machine in self.view.drains or known[1].type not in self.types:
                        continue
                    ran = wall_us - place.at_us
                    left = job.spec.estimate_us - ran
                    if left <= 0:
                        left = int(ran * self.cfg.overrun)
                    if job.state != QUEUED or left <= self.types[known[1].type].boot_us * self.cfg.patience:
                        room = rooms.setdefault(place.machine, Room(0, 0, 0))
                        room.take(job.spec, -1)
        return [
            (self.types[rec.type], rec.zone, rec.spot, room)
            for name, room in rooms.items() for rec in (self.view.machines[name][1],)
        ]  # fmt: skip

    def wishes(self, unplaced: list[tuple[Job, int]], now_us: int, wall_us: int) -> list[Wish]:
        """What to rent for tasks that find no room, beyond what is booting already."""
        coming: list[Offer] = []
        for rec, _ in self.booting.values():
            if rec.type in self.types:
                mtype = self.types[rec.type]
                coming.append((mtype, rec.zone, rec.spot, room_of(mtype)))
        for rec in self.view.hires.values():
            if rec.machines is None and rec.type in self.types:
                mtype = self.types[rec.type]
                coming.extend((mtype, rec.zone, rec.spot, room_of(mtype)) for _ in range(rec.count))
        total = len(self.view.machines) + len(coming)
        freeing = self._freeing(wall_us)
        new: dict[tuple[str, str, bool], int] = {}
        for job, count in unplaced:
            spec = job.spec
            left = count
            # Work that is to start soon does not wait for others to end.
            offers = coming if spec.cls in self.cfg.urgent else freeing + coming
            while left > 0:
                # Accelerators that come are for others, if something cheaper can be rented beside.
                left -= _pack(spec, left, [o for o in offers if spec.gpus or not o[0].gpus])
                choice = self._cheapest(job, left, now_us) if left else None
                if left and (choice is None or self.types[choice[0]].gpus):
                    left -= _pack(spec, left, offers)
                if not left or choice is None or total >= self.cfg.most_machines:
                    break
                name, zone, spot = choice
                mtype = self.types[name]
                offer = (mtype, zone, spot, room_of(mtype))
                coming.append(offer)
                if offers is not coming:
                    offers.append(offer)
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

    def moves(self, slots: list[Slot], now_us: int, wall_us: int) -> dict[str, DrainRec]:
        """A dear machine with little on it, if all of that fits on other busy or cheaper machines: its
        tasks save and go there, and it is returned. One at a time, so that what moves can settle."""
        if not self.cfg.move_us or now_us < self.next_move_us:
            return {}
        tasks: dict[str, list[tuple[Spec, int]]] = {}
        for job in self.view.open.values():
            for placed in job.places.values():
                for place in placed.rec.run.values():
                    tasks.setdefault(place.machine, []).append((job.spec, wall_us - place.at_us))
        best: tuple[float, str] | None = None
        for slot in slots:
            mine = tasks.get(slot.name)
            if not mine or not slot.usable or not all(self._movable(spec, ran) for spec, ran in mine):
                continue
            if max(spec.estimate_us - ran for spec, ran in mine) < self.cfg.move_left_us:
                continue
            waste = self._rate(slot) * min(
                slot.room.cpus / slot.mtype.cpus,
                slot.room.gpus / slot.mtype.gpus if slot.mtype.gpus else 1.0,
            )
            if (best is None or waste > best[0]) and self._fit_elsewhere(slot, mine, slots, tasks):
                best = (waste, slot.name)
        if best is None:
            return {}
        self.next_move_us = now_us + self.cfg.move_us
        return {best[1]: DrainRec("moving", wall_us)}

    def _movable(self, spec: Spec, ran_us: int) -> bool:
        return spec.checkpoint_us > 0 and spec.kind != "service" and ran_us > self.cfg.move_ran_us

    def _rate(self, slot: Slot) -> float:
        return slot.mtype.spot_price if slot.spot else slot.mtype.price

    def _fit_elsewhere(
        self, slot: Slot, mine: list[tuple[Spec, int]], slots: list[Slot],
        tasks: dict[str, list[tuple[Spec, int]]],
    ) -> bool:  # fmt: skip
        rate = self._rate(slot)
        rooms = [
            (other, other.room.copy()) for other in slots
            if other.name != slot.name and (other.name in tasks or self._rate(other) < rate / 2)
        ]  # fmt: skip
        rooms.sort(key=lambda r: (self._rate(r[0]), r[1].cpus))
        for spec, _ in mine:
            for other, room in rooms:
                if other.allows(spec, slot.zone if spec.one_zone else None) and room.fits(spec):
                    room.take(spec)
                    break
            else:
                return False
        return True

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
