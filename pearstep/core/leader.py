"""The leader: routes work to parts within the teams' limits. It commands no machine.

It sees only what is committed, so a new leader continues where the last one stopped. A route is a
permission to place; a team's tasks count against its limit from the route on, until there is evidence
that they are gone.
"""

from __future__ import annotations

from .job import Job, Route
from .model import MachineType, Room, Spec, Team, bits, rank, room_of, to_ranges
from .placement import Seat, could_hold, reserve, zone_limit
from .records import CHUNK, QUEUED, RouteRec, place_key, route_key
from .view import View

# A wide gang whose owners have not begun by then is planned afresh.
WIDE_STALE_US = 60_000_000


class Slot:
    """A machine's free room as the records show it, while routes are planned."""

    __slots__ = ("name", "part", "mtype", "zone", "spot", "room", "usable", "lower")

    def __init__(
        self, name: str, part: int, mtype: MachineType, zone: str, spot: bool, room: Room, usable: bool
    ) -> None:
        self.name = name
        self.part = part
        self.mtype = mtype
        self.zone = zone
        self.spot = spot
        self.room = room
        self.usable = usable
        self.lower: list[Spec] = []

    def allows(self, spec: Spec, zone: str | None) -> bool:
        """Whether the job may use this machine."""
        return (
            self.usable
            and (spec.types is None or self.mtype.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (zone is None or zone == self.zone)
            and (spec.spot or not self.spot)
        )


class Routing:
    """New routes of a job, by part: tasks free of a zone, and tasks bound to one."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.masks: dict[int, dict[str | None, int]] = {}
        self.moved = False
        for part, route in job.routes.items():
            keep = ~job.done
            bound = 0
            masks: dict[str | None, int] = {}
            for zone, mask in route.zoned.items():
                masks[zone] = mask & keep
                bound |= mask
            masks[None] = route.mask & ~bound & keep
            self.masks[part] = masks
        self.changed: set[int] = set()
        self.wide: dict[int, str] | None = None
        self.attempt = 0
        self.at_us = 0

    def go_wide(self, chosen: list[Slot], attempt: int, at_us: int) -> None:
        """Spread the gang over machines of several parts, as one attempt."""
        for part in self.masks:
            self.remove(part, (1 << self.job.spec.tasks) - 1)
        self.moved = True
        self.wide = {}
        self.attempt = attempt
        self.at_us = at_us
        for task, slot in enumerate(chosen):
            self.wide[task] = slot.name
            self.add(slot.part, None, 1 << task)

    def add(self, part: int, zone: str | None, task_mask: int) -> None:
        """Route tasks to a part."""
        masks = self.masks.setdefault(part, {})
        masks[zone] = masks.get(zone, 0) | task_mask
        self.changed.add(part)

    def take_back(self, part: int, task_mask: int) -> None:
        """Withdraw a part's permission; what is placed already is stopped by its owner."""
        for zone in self.masks[part]:
            self.masks[part][zone] &= ~task_mask
        self.changed.add(part)

    def remove(self, part: int, task_mask: int) -> None:
        """Take tasks back from a part that must not have placed them."""
        self.take_back(part, task_mask)
        self.moved = True

    def writes(self) -> tuple[dict[str, RouteRec], dict[str, int]]:
        """The records to put and the conditions that make it safe."""
        ref = self.job.spec.ref
        puts: dict[str, RouteRec] = {}
        conditions: dict[str, int] = {}
        for part in sorted(self.changed):
            key = route_key(part, ref)
            masks = self.masks[part]
            zoned = {zone: to_ranges(mask) for zone, mask in masks.items() if zone is not None and mask}
            mask = masks.get(None, 0)
            if self.wide is None:
                puts[key] = RouteRec(to_ranges(mask), zoned or None)
            else:
                there = {task: self.wide[task] for task in bits(mask)}
                puts[key] = RouteRec(to_ranges(mask), None, self.attempt, there, self.at_us)
            route = self.job.routes.get(part)
            conditions[key] = route.stamp if route else 0
        if self.moved:
            # What is moved must not have been placed meanwhile.
            for part in self.changed:
                for chunk in range((self.job.spec.tasks - 1) // CHUNK + 1):
                    placed = self.job.places.get((part, chunk))
                    conditions[place_key(part, ref, chunk)] = placed.stamp if placed else 0
        return puts, conditions


class Leader:
    """Plans routes from the view. Everything it remembers can be derived again."""

    def __init__(
        self, stamp: int, view: View, types: dict[str, MachineType], teams: dict[str, Team], parts: int,
        backlog: int, urgent: frozenset[str] = frozenset(),
    ) -> None:  # fmt: skip
        self.stamp = stamp
        self.view = view
        self.types = types
        self.teams = teams
        self.parts = parts
        self.backlog = backlog
        self.urgent = urgent
        self.held: dict[str, int] = {}
        self.wall_us = 0
        self.unplaced: list[tuple[Job, int]] = []
        self.placeless: list[tuple[Job, int]] = []

    def slots(self) -> list[Slot]:
        """The machines and what is free on them by the records."""
        slots: dict[str, Slot] = {}
        live = set(self.view.parts)
        for name, (part, rec) in self.view.machines.items():
            mtype = self.types.get(rec.type)
            if mtype is not None:
                usable = name not in self.view.drains and part in live
                slots[name] = Slot(name, part, mtype, rec.zone, rec.spot, room_of(mtype), usable)
        for job in self.view.open.values():
            for placed in job.places.values():
                for place in placed.rec.run.values():
                    slot = slots.get(place.machine)
                    if slot is not None:
                        slot.room.take(job.spec)
                        slot.lower.append(job.spec)
        return list(slots.values())

    def usage(self) -> dict[str, tuple[float, float]]:
        """What each team's tasks use or may use."""
        out: dict[str, tuple[float, float]] = {}
        for job in self.view.open.values():
            n = job.using().bit_count()
            if n:
                cpus, gpus = out.get(job.spec.team, (0.0, 0.0))
                out[job.spec.team] = (cpus + n * job.spec.cpus, gpus + n * job.spec.gpus)
        return out

    def ordered(self) -> list[Job]:
        """Open jobs in the order in which they are served."""
        jobs = [j for j in self.view.open.values() if j.state == QUEUED]
        jobs.sort(key=lambda j: (rank(j.spec, self.urgent), j.at_us, j.spec.ref))
        return jobs

    def plan(self, now_us: int, settle_us: int, wall_us: int) -> list[Routing]:
        """Routes that should change, in order of importance."""
        self.wall_us = wall_us
        slots = self.slots()
        by_part: dict[int, list[Slot]] = {p: [] for p in range(self.parts)}
        for slot in slots:
            by_part[slot.part].append(slot)
        usage = self.usage()
        load = {p: 0.0 for p in by_part}
        self.unplaced = []
        self.placeless = []
        self.held = {}
        routings: dict[str, Routing] = {}
        for job in self.ordered():
            routing = routings[job.spec.ref] = Routing(job)
            self._plan_job(job, routing, by_part, usage, load, now_us, settle_us)
        self._withdraw(routings)
        return [r for r in routings.values() if r.changed]

    def _hold(self, spec: Spec) -> None:
        """The team's limit keeps this job waiting: its lower-priority work gets no more room."""
        self.held[spec.team] = min(self.held.get(spec.team, spec.priority), spec.priority)

    def _withdraw(self, routings: dict[str, Routing]) -> None:
        """Make room within a team's limit for a job of higher priority: take routes back, first of what
        is not placed, then of what was placed last. An owner stops what it may no longer place."""
        for team, priority in self.held.items():
            wanted = next(
                (r.job for r in routings.values()
                 if r.job.spec.team == team and r.job.spec.priority == priority and not r.job.routed), None
            )  # fmt: skip
            limit = self.teams.get(team)
            if wanted is None or limit is None:
                continue
            need = wanted.spec.tasks if wanted.spec.kind == "gang" else 1
            cpus, gpus = need * wanted.spec.cpus, need * wanted.spec.gpus
            lower: list[tuple[int, int, Routing, int, int]] = []
            for routing in routings.values():
                job = routing.job
                spec = job.spec
                if spec.team != team:
                    continue
                leaving = job.run & ~job.routed
                stays = job.using() & ~leaving
                cpus += stays.bit_count() * spec.cpus
                gpus += stays.bit_count() * spec.gpus
                if spec.priority <= priority or spec.kind == "gang" or routing.changed:
                    continue
                placed_at = {
                    task: place.at_us for p in job.places.values() for task, place in p.rec.run.items()
                }
                for part, route in job.routes.items():
                    lower.extend(
                        (-spec.priority, -placed_at.get(task, 1 << 62), routing, part, task)
                        for task in bits(route.mask & ~job.done)
                    )
            lower.sort(key=lambda v: v[:2])
            for _, _, routing, part, task in lower:
                if limit.within_limit(cpus, gpus):
                    break
                routing.take_back(part, 1 << task)
                cpus -= routing.job.spec.cpus
                gpus -= routing.job.spec.gpus

    def _plan_job(
        self, job: Job, routing: Routing, by_part: dict[int, list[Slot]],
        usage: dict[str, tuple[float, float]], load: dict[int, float], now_us: int, settle_us: int,
    ) -> None:  # fmt: skip
        spec = job.spec
        run = job.run
        if any(r.rec.wide for r in job.routes.values()):
            self._plan_wide(job, routing, by_part, usage)
            return
        # First what is routed and waits: it uses its part's room, or moves where there is room.
        if spec.kind == "gang":
            self._plan_gang(job, routing, by_part, usage, load, now_us, settle_us, run)
            return
        moved = 0
        short = 0
        for part, route in job.routes.items():
            waiting = route.mask & ~job.done & ~run
            if not waiting:
                continue
            n = waiting.bit_count()
            fitted = self._pack(spec, n, by_part[part], None)
            load[part] += (n - fitted) * spec.cpus
            if fitted < n:
                short += n - fitted
                if now_us - route.at_us <= settle_us:
                    continue
                tasks = bits(waiting)[fitted:]
                if route.zoned:
                    # Bound to a zone without room: taken back, so that the zone is chosen afresh.
                    if now_us - route.at_us > 5 * settle_us:
                        routing.remove(part, waiting)
                else:
                    moved += self._move(spec, routing, part, tasks, by_part, load)
        if short > moved:
            self.unplaced.append((job, short - moved))
        unrouted = spec.all_tasks & ~job.done & ~job.routed & ~run
        if unrouted and spec.priority <= self.held.get(spec.team, spec.priority):
            self._route_new(job, routing, unrouted, by_part, usage, load)

    def _pack(self, spec: Spec, count: int, slots: list[Slot], zone: str | None) -> int:
        """Use up room for waiting tasks; how many found some."""
        left = count
        for slot in sorted(
            (s for s in slots if s.allows(spec, zone)), key=lambda s: (s.mtype.gpus > 0, s.room.cpus)
        ):
            n = slot.room.how_many(spec, left)
            if n:
                slot.room.take(spec, n)
                left -= n
            if not left:
                break
        return count - left

    def _idle(self, spec: Spec, slots: list[Slot], zone: str | None) -> tuple[float, Slot | None]:
        """The part's idle room for the job, and the machine to count the task on."""
        best: Slot | None = None
        idle = 0.0
        for slot in slots:
            if slot.allows(spec, zone) and slot.room.fits(spec):
                idle += slot.room.gpus if spec.gpus else slot.room.cpus
                if best is None or (slot.mtype.gpus, slot.room.cpus) < (best.mtype.gpus, best.room.cpus):
                    best = slot
        return idle, best

    def _most_idle(
        self, spec: Spec, by_part: dict[int, list[Slot]], zone: str | None
    ) -> tuple[int, Slot] | None:
        found: tuple[int, Slot] | None = None
        most = 0.0
        for part, slots in by_part.items():
            idle, slot = self._idle(spec, slots, zone)
            if slot is not None and idle > most:
                most, found = idle, (part, slot)
        return found

    def _move(
        self, spec: Spec, routing: Routing, part: int, tasks: list[int], by_part: dict[int, list[Slot]],
        load: dict[int, float],
    ) -> int:  # fmt: skip
        moved = 0
        for task in tasks:
            found = self._most_idle(spec, by_part, None)
            if found is None:
                break
            to, slot = found
            slot.room.take(spec)
            if to == part:
                continue
            routing.remove(part, 1 << task)
            routing.add(to, None, 1 << task)
            load[part] -= spec.cpus
            moved += 1
        return moved

    def _within_limit(self, spec: Spec, count: int, usage: dict[str, tuple[float, float]]) -> bool:
        team = self.teams.get(spec.team)
        cpus, gpus = usage.get(spec.team, (0.0, 0.0))
        return team is None or team.within_limit(cpus + count * spec.cpus, gpus + count * spec.gpus)

    def _charge(self, spec: Spec, count: int, usage: dict[str, tuple[float, float]]) -> None:
        cpus, gpus = usage.get(spec.team, (0.0, 0.0))
        usage[spec.team] = (cpus + count * spec.cpus, gpus + count * spec.gpus)

    def _zones_used(self, job: Job) -> dict[str, int]:
        """How many tasks of the job are in each zone, or may be."""
        used: dict[str, int] = {}
        for placed in job.places.values():
            for task, place in placed.rec.run.items():
                known = self.view.machines.get(place.machine)
                zone = known[1].zone if known else "?"
                used[zone] = used.get(zone, 0) + 1
                del task
        run = job.run
        for route in job.routes.values():
            for zone, mask in route.zoned.items():
                n = (mask & ~job.done & ~run).bit_count()
                if n:
                    used[zone] = used.get(zone, 0) + n
        return used

    def _zone_choice(self, job: Job, used: dict[str, int], by_part: dict[int, list[Slot]]) -> str | None:
        """The zone for the next task of a job that is bound to one or must scatter; '' for none."""
        spec = job.spec
        zones = {s.zone for slots in by_part.values() for s in slots if s.allows(spec, None)}
        if spec.one_zone:
            if used:
                return next(iter(used)) if len(used) == 1 else ""
        else:
            zones = {z for z in zones if used.get(z, 0) < zone_limit(spec)}
        if not zones:
            return ""
        def idle(zone: str) -> float:
            return sum(self._idle(spec, slots, zone)[0] for slots in by_part.values())
        return max(sorted(zones), key=idle)

    def _route_new(
        self, job: Job, routing: Routing, unrouted: int, by_part: dict[int, list[Slot]],
        usage: dict[str, tuple[float, float]], load: dict[int, float],
    ) -> None:  # fmt: skip
        spec = job.spec
        bound = spec.one_zone or spec.spread
        used = self._zones_used(job) if bound else {}
        waiting = sum((r.mask & ~job.done & ~job.run).bit_count() for r in job.routes.values())
        rest = unrouted.bit_count()
        blocked = False
        # Only so many tasks as could be routed now are looked at; 100,000 tasks take many rounds.
        window = unrouted & ((1 << ((unrouted & -unrouted).bit_length() + 4 * self.backlog)) - 1)
        for task in bits(window):
            if not self._within_limit(spec, 1, usage):
                # Renting would not help: the team's limit holds the rest back.
                self._hold(spec)
                return
            zone = self._zone_choice(job, used, by_part) if bound else None
            if zone == "":
                break
            found = None if blocked else self._most_idle(spec, by_part, zone)
            if found is not None:
                part, slot = found
                slot.room.take(spec)
            else:
                blocked = not bound
                if waiting >= self.backlog:
                    break
                able = [
                    p for p, slots in by_part.items()
                    if any(s.allows(spec, zone) and room_of(s.mtype).fits(spec) for s in slots)
                ]  # fmt: skip
                if not able:
                    break
                part = min(able, key=lambda p: (load[p] / max(len(by_part[p]), 1), p))
                load[part] += spec.cpus
                waiting += 1
                self.unplaced.append((job, 1))
            routing.add(part, zone, 1 << task)
            if zone is not None:
                used[zone] = used.get(zone, 0) + 1
            self._charge(spec, 1, usage)
            rest -= 1
        if rest:
            self.placeless.append((job, rest))

    def _plan_gang(
        self, job: Job, routing: Routing, by_part: dict[int, list[Slot]],
        usage: dict[str, tuple[float, float]], load: dict[int, float], now_us: int, settle_us: int, run: int,
    ) -> None:  # fmt: skip
        spec = job.spec
        if run or job.done:
            return
        here = next((p for p, r in job.routes.items() if r.mask), None)
        if here is None and (
            spec.priority > self.held.get(spec.team, spec.priority)
            or not self._within_limit(spec, spec.tasks, usage)
        ):
            self._hold(spec)
            return
        fit_now = [p for p, slots in by_part.items() if could_hold(spec, _rooms(slots), spec.tasks)]
        route: Route | None = job.routes.get(here) if here is not None else None
        if here is not None and route is not None:
            if here in fit_now or not fit_now or now_us - route.at_us <= settle_us:
                if here in fit_now:
                    self._take_gang(spec, by_part[here])
                else:
                    load[here] += spec.tasks * spec.cpus
                    self.unplaced.append((job, spec.tasks))
                return
            routing.remove(here, route.mask)
        if fit_now:
            part = max(
                fit_now,
                key=lambda p: (self._warm(spec, by_part[p]), self._idle(spec, by_part[p], None)[0], -p),
            )
            self._take_gang(spec, by_part[part])
        else:
            self.unplaced.append((job, spec.tasks))
            able = [
                p for p, slots in by_part.items()
                if could_hold(spec, [
                    (s.mtype.name, s.zone, s.spot, room_of(s.mtype)) for s in slots if s.usable
                ], spec.tasks)
            ]  # fmt: skip
            if not able:
                self._plan_wide(job, routing, by_part, usage)
                return
            # Where lower-priority work can give way, else where least waits.
            yielding = [
                p for p in able if could_hold(spec, _rooms(by_part[p], spec.priority), spec.tasks)
            ]
            part = min(yielding or able, key=lambda p: (load[p] / max(len(by_part[p]), 1), p))
            load[part] += spec.tasks * spec.cpus
            for slot in by_part[part]:
                slot.lower.clear()
        routing.add(part, None, spec.all_tasks)
        if here is None:
            self._charge(spec, spec.tasks, usage)

    def _plan_wide(
        self, job: Job, routing: Routing, by_part: dict[int, list[Slot]],
        usage: dict[str, tuple[float, float]],
    ) -> None:  # fmt: skip
        """A gang wider than any part: the leader chooses the machines and the time, the owners keep the
        room and start their tasks of the attempt. If the gang does not come together, its tasks exit,
        and the next attempt is planned once all of them are gone."""
        spec = job.spec
        if job.run or job.done:
            return
        planned = next((r.rec for r in job.routes.values() if r.rec.wide), None)
        last = max((p.rec.last for p in job.places.values()), default=0)
        if planned is not None and last < planned.attempt and self.wall_us < planned.at_us + WIDE_STALE_US:
            return
        seats = {}
        for slot in (s for slots in by_part.values() for s in slots if s.usable):
            seats[slot.name] = (slot, Seat(slot.name, slot.mtype, slot.zone, slot.spot, slot.room.copy()))
        for other in self.view.open.values():
            for placed in other.places.values():
                for place in placed.rec.run.values():
                    if place.machine in seats:
                        end_us = max(place.at_us + other.spec.estimate_us, self.wall_us + 1)
                        seats[place.machine][1].ends.append((end_us, other.spec))
        all_seats = [seat for _, seat in seats.values()]
        at_us = reserve(spec, spec.tasks, all_seats, self.wall_us, max(spec.estimate_us, 1))
        if at_us is None:
            return
        chosen = [seats[s.name][0] for s in all_seats for hold in s.holds for _ in range(hold.count)]
        for slot in chosen:
            slot.room.take(spec)
        routing.go_wide(chosen, max(last, planned.attempt if planned else 0) + 1, at_us)
        if planned is None:
            self._charge(spec, spec.tasks, usage)

    def _warm(self, spec: Spec, slots: list[Slot]) -> int:
        """How many of a gang's tasks find the image there: it starts when the last fetch is over."""
        per_zone: dict[str, int] = {}
        for slot in slots:
            known = self.view.machines.get(slot.name)
            if slot.allows(spec, None) and known is not None and spec.image in known[1].images:
                zone = slot.zone if spec.one_zone else ""
                per_zone[zone] = per_zone.get(zone, 0) + slot.room.how_many(spec, spec.tasks)
        return min(max(per_zone.values(), default=0), spec.tasks)

    def _take_gang(self, spec: Spec, slots: list[Slot]) -> None:
        if spec.one_zone:
            for zone in sorted({s.zone for s in slots}):
                rooms = [s for s in slots if s.zone == zone]
                if could_hold(spec, _rooms(rooms), spec.tasks):
                    self._pack(spec, spec.tasks, rooms, None)
                    return
        self._pack(spec, spec.tasks, slots, None)


def _rooms(slots: list[Slot], priority: int | None = None) -> list[tuple[str, str, bool, Room]]:
    """The slots' rooms, with what work below a priority could give up."""
    out = []
    for s in slots:
        if not s.usable:
            continue
        room = s.room
        if priority is not None and any(below.priority > priority for below in s.lower):
            room = room.copy()
            for below in s.lower:
                if below.priority > priority:
                    room.take(below, -1)
        out.append((s.mtype.name, s.zone, s.spot, room))
    return out
