"""The owner of a part: it alone commands the part's machines, and records before it commands.

Driven by reports, committed changes and time; it returns actions and never waits for anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from . import machine as mc
from .backfill import Backfill, Item
from .delay import AdaptiveDelay
from .gang import BREAKING, Gang
from .job import Job, Route
from .machine import MACHINE, Machine
from .model import US, Aims, MachineType, Spec, bits, rank
from .parts import part_of
from .placement import Hold, Seat
from .preempt import Preemption
from .rec import Batch, Rec
from .records import CANCELLED, CHUNK, DONE, QUEUED, DrainRec, JobRec, MachineRec, route_key
from .task import ATTEMPT, ENDED, HEARD, PLACED, PLACING, Attempt
from .trouble import Troubles
from .view import View

Order = tuple[str, str, int, float | None]
IMMEDIATE = ("lost", "stuck")
# How long a job whose task gave way leaves the room alone.
YIELD_US = 5 * US
# How often a machine's images are recorded: they only help to choose, and writes are scarce.
IMAGES_US = 20 * US


@dataclass
class OwnerConfig:
    """What the owner needs of the settings."""

    parts: int
    zone: str
    lease_us: int
    report_us: int
    cancel_us: int
    bounds_us: list[int]
    initial_delay_us: int
    batch: int
    threshold: float
    overrun: float
    silent_us: int
    sick_errors: int
    suspect_machines: int
    value_bytes: int
    txn_ops: int
    urgent: frozenset[str] = frozenset()
    aims: Aims = field(default_factory=dict)
    spare_us: int = 4 * US


@dataclass
class TaskSeen:
    """A task in a report."""

    name: str
    attempt: int
    state: str
    why: str | None = None
    saved: bool = False


@dataclass
class ReportSeen:
    """A report in the core's terms."""

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    notice_us: int | None
    tasks: list[TaskSeen] = field(default_factory=list)


@dataclass
class Actions:
    """What the owner wants done outside."""

    sends: dict[str, list[Order]] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)

    def send(self, machine: str, order: Order) -> None:
        """Add a direct command."""
        self.sends.setdefault(machine, []).append(order)

    def probe(self, machine: str) -> None:
        """An empty direct command: it carries the token there and a report back."""
        self.sends.setdefault(machine, [])


def split_task(name: str) -> tuple[str, int]:
    """The job and number in a task's name; number -1 if there is none."""
    ref, _, number = name.partition("/")
    return ref, int(number) if number.isdigit() else -1


class Owner:
    """One part while this node holds it. ``token`` is the stamp of the part's key."""

    def __init__(
        self, part: int, token: int, view: View, types: dict[str, MachineType], cfg: OwnerConfig,
        now_us: int, wall_us: int,
    ) -> None:  # fmt: skip
        self.part = part
        self.token = token
        self.view = view
        self.types = types
        self.cfg = cfg
        self.recs: dict[tuple[str, int], Rec] = {}
        self.machines: dict[str, Machine] = {}
        self.backfill = Backfill(cfg.bounds_us)
        self.delay = AdaptiveDelay(cfg.initial_delay_us, cfg.batch, cfg.threshold)
        self.gangs: dict[str, Gang] = {}
        self.troubles = Troubles(cfg.suspect_machines, cfg.sick_errors)
        self.outbox: dict[str, tuple[Any, dict[str, int]]] = {}
        self.finish: dict[str, int] = {}
        self.yielded: dict[str, int] = {}
        self.early_deletes: dict[str, int] = {}
        self.gone: set[str] = set()
        self.walk_due = True
        self.next_walk_us = 0
        self._load(now_us, wall_us)

    # -- records ---------------------------------------------------------------------------------

    def _load(self, now_us: int, wall_us: int) -> None:
        for name, (part, rec) in self.view.machines.items():
            if part == self.part and rec.type in self.types:
                m = Machine(name, self.types[rec.type], rec.zone, rec.spot, rec.addr, now_us)
                m.images.update(rec.images)
                self.machines[name] = m
        for job in self.view.jobs.values():
            for part, chunk in job.places:
                if part == self.part:
                    self._reload(self._rec(job.spec, chunk), now_us, wall_us)

    def _rec(self, spec: Spec, chunk: int) -> Rec:
        rec = self.recs.get((spec.ref, chunk))
        if rec is None:
            rec = self.recs[spec.ref, chunk] = Rec(self.part, spec, chunk)
        return rec

    def _reload(self, rec: Rec, now_us: int, wall_us: int) -> None:
        """Go back to what is committed. Whatever was decided but not written is decided again."""
        before = list(rec.attempts.values())
        job = self.view.jobs[rec.spec.ref]
        # Seen: a gang's end went with a commit that was refused; the gang, complete already, was
        # running again by the records, and every step of the owner failed from then on.
        self.gangs.pop(rec.spec.ref, None)
        placed = job.places.get((self.part, rec.chunk))
        if placed is None:
            rec.attempts, rec.done, rec.last, rec.stamp, rec.dirty = {}, 0, 0, 0, False
        else:
            rec.load(placed.rec, placed.stamp, now_us, wall_us)
        kept = {id(a) for a in rec.attempts.values()}
        for attempt in before:
            if id(attempt) not in kept and (m := self.machines.get(attempt.machine)):
                m.attempts.pop((attempt.name, attempt.number), None)
        for attempt in rec.attempts.values():
            m = self.machines.get(attempt.machine)
            if m is not None:
                m.attempts[attempt.name, attempt.number] = attempt
                m.pending_ends.discard((attempt.name, attempt.number))
                m.reaps.discard((attempt.name, attempt.number))
        self.walk_due = True

    def job_changed(self, ref: str, now_us: int, wall_us: int) -> None:
        """Records of a job have changed in the view."""
        job = self.view.jobs.get(ref)
        if job is None or (self.part not in job.routes and (ref, 0) not in self.recs and not any(
            part == self.part for part, _ in job.places
        )):  # fmt: skip
            return  # another part's work: with many parts that is most of what changes
        self.walk_due = True
        for (part, chunk), placed in job.places.items():
            if part != self.part:
                continue
            rec = self._rec(job.spec, chunk)
            # Only this owner writes here: a newer stamp is a transaction of ours whose answer was lost.
            if placed.stamp > rec.stamp and not rec.inflight:
                self._reload(rec, now_us, wall_us)
        if job.state == QUEUED and job.complete and ref not in self.finish:
            lowest = min((part for part, _ in job.places), default=self.part)
            self.finish[ref] = now_us if lowest == self.part else now_us + US

    # -- reports ---------------------------------------------------------------------------------

    def on_report(self, rep: ReportSeen, now_us: int, wall_us: int) -> Machine | None:
        """Take in a report. None if the machine cannot be used (unknown type, or deleted)."""
        if rep.machine in self.gone:
            return None
        m = self.machines.get(rep.machine)
        if m is None:
            mtype = self.types.get(rep.type)
            if mtype is None:
                return None
            m = Machine(rep.machine, mtype, rep.zone, rep.spot, rep.addr, now_us)
            self.machines[rep.machine] = m
        known = self.view.machines.get(m.name)
        if known is None or known[1].addr != rep.addr:
            m.addr = rep.addr
            self._record_machine(m)
        if (rep.session, rep.seq) <= (m.session, m.seq):
            return m  # a late message: its task list is old
        if rep.session > m.session or now_us - m.answered_us > self.cfg.lease_us:
            # A session lives on for a lease from its beginning, or longer than was thought. Seen after
            # a cut: counted from the last answer before it, the lease of a session just begun was over,
            # and tasks placed in it a moment ago were freed and started twice.
            m.answered_us = now_us
        if rep.session > m.session:
            self._new_session(m, rep.session, now_us, wall_us)
        m.seq = rep.seq
        m.heard_us = now_us
        if rep.token == self.token and not m.confirmed:
            m.confirmed = True
            # Whoever answered before can do so no longer; its last answer is not later than this.
            m.answered_us = now_us
            self.walk_due = True
        if m.state in (mc.UNSEEN, mc.SILENT):
            MACHINE.move(m, mc.UP)
            self.walk_due = True
        if rep.notice_us is not None and m.notice_us is None:
            m.notice_us = now_us + rep.notice_us
            self.want_drain(m.name, "notice", wall_us)
        self._match(m, rep, now_us, wall_us)
        return m

    def _record_machine(self, m: Machine) -> None:
        rec = MachineRec(m.mtype.name, m.zone, m.spot, m.addr, dict(m.images))
        self.outbox[f"m/{self.part}/{m.name}"] = (rec, {})

    def _new_session(self, m: Machine, session: int, now_us: int, wall_us: int) -> None:
        """The worker's lease ran out: it has killed and forgotten everything of earlier sessions."""
        for attempt in [a for a in m.attempts.values() if a.session < session]:
            self._end(m, attempt, "lost", now_us, wall_us)
        m.session = session
        m.reaps.clear()
        m.open_directs.clear()
        m.strays.clear()

    def _match(self, m: Machine, rep: ReportSeen, now_us: int, wall_us: int) -> None:
        strays: dict[tuple[str, int], Spec | None] = {}
        seen: set[tuple[str, int]] = set()
        m.reaps.intersection_update({(t.name, t.attempt) for t in rep.tasks})
        for t in rep.tasks:
            key = (t.name, t.attempt)
            seen.add(key)
            attempt = m.attempts.get(key)
            if attempt is None:
                if t.state == "exited":
                    if key not in m.pending_ends:
                        m.reaps.add(key)
                else:
                    job = self.view.jobs.get(split_task(t.name)[0])
                    strays[key] = job.spec if job else None
            elif t.state == "exited":
                self._end(m, attempt, t.why or "error", now_us, wall_us, t.saved)
            else:
                if t.state != "fetching":
                    m.holds_image(attempt.spec)
                    known = self.view.machines.get(m.name)
                    if (
                        known is not None and attempt.spec.image not in known[1].images
                        and now_us - m.recorded_us > IMAGES_US
                    ):  # fmt: skip
                        self._record_machine(m)
                        m.recorded_us = now_us
                attempt.heard(t.state, now_us)
        if strays.keys() != m.strays.keys():
            self.walk_due = True
        m.strays = strays
        if not m.confirmed:
            return
        for key, attempt in list(m.attempts.items()):
            if key in seen or attempt.state == PLACING or key in m.open_directs:
                continue
            # Reports are sent one at a time, so this one came after any start in an earlier answer
            # was executed or dropped; and no direct start is open.
            if attempt.state == HEARD or (attempt.state == PLACED and attempt.stop_grace_us is not None):
                self._end(m, attempt, "lost", now_us, wall_us)

    def _end(
        self, m: Machine, a: Attempt, why: str, now_us: int, wall_us: int, saved: bool = False
    ) -> None:
        """There is evidence that the attempt is gone: free its place and record it."""
        ref, task = a.spec.ref, a.task
        ATTEMPT.move(a, ENDED)
        m.attempts.pop((a.name, a.number), None)
        m.pending_ends.add((a.name, a.number))
        rec = self._rec(a.spec, task // CHUNK)
        if rec.attempts.get(task) is a:
            del rec.attempts[task]
        rec.dirty = True
        self.walk_due = True
        if why == "done":
            rec.done |= 1 << task
            if a.spec.kind == "gang":
                # Gangs complete together: when one task is done, all are.
                for t in range(a.spec.tasks):
                    other = self._rec(a.spec, t // CHUNK)
                    other.done |= 1 << t
                    other.dirty = True
            self.troubles.succeeded(m.name, ref)
            begun = a.running_us or now_us
            job = self.view.jobs.get(ref)
            waited = a.at_us - job.at_us if job else 0
            self.delay.completed(self.backfill.queue_of(a.spec) == 0, waited, now_us - begun)
        elif why == "unknown":
            self.troubles.unknown(ref, now_us)
        elif why == "error":
            if self.troubles.failed(m.name, ref, now_us):
                self.want_drain(m.name, "sick", wall_us)
        elif why in ("no_room", "busy"):
            self.troubles.refused(m.name, ref, now_us)

    def answered(self, m: Machine, now_us: int) -> None:
        """An answer with our token is on its way to the worker: its lease lives on."""
        m.answered_us = now_us

    def orders(self, m: Machine) -> list[Order]:
        """Commands for the answer to a report."""
        out: list[Order] = []
        for (name, number), a in m.attempts.items():
            if a.stop_grace_us is not None:
                if a.state in (PLACED, HEARD) and not (a.phase == "saving" and a.stop_grace_us):
                    out.append(("stop", name, number, a.stop_grace_us / US))
            elif a.state == PLACED and not self._cancelled(a.spec.ref):
                out.append(("start", name, number, None))
        for name, number in m.strays:
            out.append(("stop", name, number, 0.0))
        for key in m.reaps:
            if key not in m.open_directs:
                out.append(("forget", *key, None))
        return out

    def _cancelled(self, ref: str) -> bool:
        job = self.view.jobs.get(ref)
        return job is None or job.state == CANCELLED

    def directs_sent(self, m: Machine, orders: list[Order]) -> None:
        """Direct starts are on their way."""
        m.open_directs.update((name, number) for op, name, number, _ in orders if op == "start")

    def directs_answered(self, m: Machine, orders: list[Order]) -> None:
        """The worker has executed them, or certainly will not."""
        m.open_directs.difference_update((name, number) for op, name, number, _ in orders if op == "start")

    # -- time ------------------------------------------------------------------------------------

    def step(self, now_us: int, wall_us: int) -> Actions:
        """Everything that follows from what is known now."""
        actions = Actions()
        self._follow_cancels(now_us, wall_us, actions)
        for m in list(self.machines.values()):
            self._follow_machine(m, now_us, wall_us, actions)
        self._follow_early_deletes(now_us, actions)
        self._follow_gangs(now_us, actions)
        self._follow_routes(now_us, actions)
        if self.walk_due or now_us >= self.next_walk_us:
            self.walk_due = False
            self.next_walk_us = now_us + US
            seats = self._walk(now_us, wall_us)
            if self.backfill.blocked:
                self._preempt(seats, now_us, actions)
        return actions

    def _grace_us(self, spec: Spec) -> int:
        """The grace for an orderly stop: enough to save, with some for the way."""
        return spec.save_us + US if spec.checkpoint_us else 0

    def _follow_routes(self, now_us: int, actions: Actions) -> None:
        """Stop what the leader has taken back: its team's limit is needed for something more urgent."""
        for rec in self.recs.values():
            if not rec.attempts or rec.inflight:
                continue
            job = self.view.jobs[rec.spec.ref]
            route = job.routes.get(self.part)
            mask = route.mask if route else 0
            for task, a in rec.attempts.items():
                if not mask >> task & 1 and a.state in (PLACED, HEARD) and not job.done >> task & 1:
                    self._stop_whole(a, self._grace_us(a.spec), now_us, actions)

    def _preempt(self, seats: list[Seat], now_us: int, actions: Actions) -> None:
        """Stop lower-priority tasks where that makes room for a job that finds none."""
        for seat in seats:
            for a in self.machines[seat.name].attempts.values():
                if a.stop_grace_us is not None:
                    seat.room.take(a.spec, -1)  # on its way out: room that is coming
        room = Preemption(seats, self.machines, now_us)
        for item in sorted(self.backfill.blocked, key=lambda i: i.order):
            if item.not_before_us > now_us:
                continue
            for a in room.victims(item):
                # Where less is lost since the last checkpoint than saving takes, it stops at once: the
                # job that waits gains the saving time.
                cheap = a.unsaved_us(now_us) <= a.spec.save_us
                # Seen: a task that gave way was started again at once in the room that the gang was
                # still waiting to complete, and stopped again, ten times a second.
                self.yielded[a.spec.ref] = now_us + YIELD_US
                self._stop_whole(a, 0 if cheap else self._grace_us(a.spec), now_us, actions)

    def stop(self, a: Attempt, grace_us: int, now_us: int, actions: Actions) -> None:
        """Tell an attempt to stop; the order is repeated in answers until it is gone."""
        if a.stop_grace_us is not None and a.stop_grace_us <= grace_us:
            return
        a.stop_grace_us = grace_us
        a.stop_us = now_us
        if a.state in (PLACED, HEARD):
            actions.send(a.machine, ("stop", a.name, a.number, grace_us / US))

    def _follow_cancels(self, now_us: int, wall_us: int, actions: Actions) -> None:
        for key, rec in list(self.recs.items()):
            job = self.view.jobs[rec.spec.ref]
            if not rec.attempts:
                if job.final and not rec.dirty and not rec.inflight:
                    del self.recs[key]
                continue
            if job.state != CANCELLED:
                continue
            late = wall_us - job.end_us > self.cfg.cancel_us // 2
            for a in rec.attempts.values():
                self.stop(a, 0, now_us, actions)
                if late:
                    self.want_drain(a.machine, "stuck", wall_us)

    def want_drain(self, name: str, why: str, wall_us: int) -> None:
        """Record that the machine is to be emptied and deleted. Nothing is placed there afterwards:
        placements are conditional on the absence of this key."""
        key = f"d/{name}"
        known = self.view.drains.get(name)
        if name in self.gone or key in self.outbox or (
            known is not None and (known.why == why or why not in IMMEDIATE)
        ):
            return
        self.outbox[key] = (DrainRec(why, wall_us), {})

    def _follow_machine(self, m: Machine, now_us: int, wall_us: int, actions: Actions) -> None:
        cfg = self.cfg
        drain = self.view.drains.get(m.name)
        if m.attempts and m.confirmed and now_us - m.answered_us > cfg.lease_us + cfg.lease_us // 500 + US:
            # It has seen our token, so only our answers kept its lease alive: it has run out there.
            for a in list(m.attempts.values()):
                if a.state != PLACING:
                    self._end(m, a, "lost", now_us, wall_us)
        if drain is not None:
            if m.state not in (mc.DRAINING, mc.DELETING):
                MACHINE.move(m, mc.DRAINING)
                m.drain_us = now_us
            m.why = drain.why
            self._drain(m, now_us, actions)
            return
        quiet = now_us - m.heard_us
        if m.state == mc.UP and quiet > 2 * cfg.report_us:
            MACHINE.move(m, mc.SILENT)
        if (m.state in (mc.UNSEEN, mc.SILENT) or not m.confirmed) and now_us >= m.probe_us:
            m.probe_us = now_us + 3 * US
            actions.probe(m.name)
        if m.state in (mc.UNSEEN, mc.SILENT) and quiet > cfg.silent_us and not self._cut_off(m, now_us):
            self.want_drain(m.name, "lost", wall_us)

    def _cut_off(self, m: Machine, now_us: int) -> bool:
        """Many machines of another zone silent at once: a cut, not many deaths. They work on inside."""
        if m.zone == self.cfg.zone:
            return False
        same = [o for o in self.machines.values() if o.zone == m.zone and o.state != mc.DELETING]
        silent = [o for o in same if now_us - o.heard_us > 2 * self.cfg.report_us]
        return len(silent) >= 2 and len(silent) * 2 > len(same)

    def _drain(self, m: Machine, now_us: int, actions: Actions) -> None:
        if m.state != mc.DRAINING:
            return
        if m.why not in IMMEDIATE:
            left = None if m.notice_us is None else max(m.notice_us - now_us, 0)
            longest = 0
            for a in list(m.attempts.values()):
                grace = self._grace_us(a.spec)
                if left is not None and left < a.spec.save_us:
                    grace = 0
                longest = max(longest, grace)
                self._stop_whole(a, grace, now_us, actions)
            if m.attempts and now_us - m.drain_us < longest + 10 * US:
                return
        if now_us >= m.delete_us:
            MACHINE.move(m, mc.DELETING)
            actions.deletes.append(m.name)

    def _stop_whole(self, a: Attempt, grace_us: int, now_us: int, actions: Actions) -> None:
        """Stop a task, and with it its whole gang: all must be told within a short time to save."""
        if a.spec.kind != "gang":
            self.stop(a, grace_us, now_us, actions)
            return
        for rec in self._recs_of(a.spec):
            for mate in rec.attempts.values():
                self.stop(mate, grace_us, now_us, actions)

    def _recs_of(self, spec: Spec) -> list[Rec]:
        return [
            rec for chunk in range((spec.tasks - 1) // CHUNK + 1)
            if (rec := self.recs.get((spec.ref, chunk))) is not None
        ]  # fmt: skip

    def _follow_early_deletes(self, now_us: int, actions: Actions) -> None:
        """Machines that are to go before they ever reported to us."""
        for name in self.view.drains:
            if (
                name not in self.machines and name not in self.gone
                and part_of(name, self.cfg.parts) == self.part
                and now_us >= self.early_deletes.get(name, 0)
            ):  # fmt: skip
                self.early_deletes[name] = now_us + 5 * US
                actions.deletes.append(name)

    def delete_failed(self, name: str, now_us: int) -> None:
        """The cloud did not confirm; try again soon."""
        m = self.machines.get(name)
        if m is not None and m.state == mc.DELETING:
            MACHINE.move(m, mc.DRAINING)
            m.delete_us = now_us + US
        self.early_deletes[name] = now_us + US

    def deleted(self, name: str, now_us: int, wall_us: int) -> None:
        """The cloud has confirmed: the machine and all that was on it are gone."""
        m = self.machines.pop(name, None)
        if m is not None:
            for a in list(m.attempts.values()):
                self._end(m, a, "lost", now_us, wall_us)
            MACHINE.move(m, mc.GONE)
        self.gone.add(name)
        self.early_deletes.pop(name, None)
        self.backfill.forget(name)
        self.outbox[f"d/{name}"] = (None, {})
        self.outbox[f"m/{self.part}/{name}"] = (None, {})

    def _follow_gangs(self, now_us: int, actions: Actions) -> None:
        by_gang: dict[str, list[Attempt]] = {}
        for rec in self.recs.values():
            if rec.spec.kind == "gang" and (rec.attempts or rec.spec.ref in self.gangs):
                by_gang.setdefault(rec.spec.ref, []).extend(rec.attempts.values())
        for ref, attempts in by_gang.items():
            job = self.view.jobs[ref]
            here = job.spec.tasks
            route = job.routes.get(self.part)
            if route is not None and route.rec.wide:
                here = route.mask.bit_count()
            gang = self.gangs.setdefault(ref, Gang())
            done = any(rec.done for rec in self._recs_of(job.spec))
            if gang.update(here, done, attempts) == BREAKING:
                for a in attempts:
                    if a.stop_grace_us is None:
                        self.stop(a, 0, now_us, actions)
            if not attempts:
                del self.gangs[ref]

    # -- the walk --------------------------------------------------------------------------------

    def seats(self, now_us: int) -> list[Seat]:
        """The machines that may be given tasks."""
        out = []
        for m in self.machines.values():
            if (
                m.state != mc.UP or not m.confirmed or m.notice_us is not None
                or m.name in self.view.drains or m.name not in self.view.machines
                or f"d/{m.name}" in self.outbox or self.troubles.resting(m.name, now_us)
            ):  # fmt: skip
                continue
            ends = [
                (a.expected_end_us(now_us, self._run_us(a.spec), self.cfg.overrun), a.spec)
                for a in m.attempts.values()
            ]
            seat = Seat(
                m.name, m.mtype, m.zone, m.spot, m.free(), m.images, self.backfill.label(m.name), ends
            )
            seat.spare_us = self.cfg.spare_us
            for _, spec in ends:
                if spec.image not in m.images:
                    seat.fetching.add(spec.image)
            out.append(seat)
        return out

    def _run_us(self, spec: Spec) -> int:
        return max(spec.estimate_us, US)

    def items(self, now_us: int, wall_us: int) -> list[Item]:
        """What waits in this part."""
        out: list[Item] = []
        stray_names = {name for m in self.machines.values() for name, _ in m.strays}
        for job in self.view.open.values():
            route = job.routes.get(self.part)
            if route is None or job.state != QUEUED or route.rec.wide:
                continue
            waiting = route.mask & ~job.done
            for rec in self._recs_of(job.spec):
                waiting &= ~rec.done
                for task in rec.attempts:
                    waiting &= ~(1 << task)
            if not waiting:
                continue
            if job.spec.kind == "gang" and waiting != job.spec.all_tasks:
                continue
            self._items_of(job, route.zoned, waiting, wall_us, stray_names, out)
        return out

    def _items_of(
        self, job: Job, zoned: dict[str, int], waiting: int, wall_us: int, strays: set[str], out: list[Item]
    ) -> None:
        spec = job.spec
        resting_us = max(self.troubles.not_before(spec.ref), self.yielded.get(spec.ref, 0))
        order = (rank(spec, job.at_us, wall_us, self.cfg.aims), job.at_us, spec.ref)
        queue = self.backfill.queue_of(spec)
        room = max((self.cfg.value_bytes - 6 * 1024) // 64, 16)
        if spec.kind == "gang":
            room = spec.tasks
        bound = 0
        for zone, mask in zoned.items():
            bound |= mask
            self._add(out, spec, waiting & mask, room, order, queue, zone, resting_us, strays)
        self._add(out, spec, waiting & ~bound, room, order, queue, None, resting_us, strays)

    def _add(
        self, out: list[Item], spec: Spec, mask: int, room: int, order: tuple[int, int, str], queue: int,
        zone: str | None, resting_us: int, strays: set[str],
    ) -> None:  # fmt: skip
        tasks = bits(mask)[:room]
        if strays:
            names = {f"{spec.ref}/{t}" for t in tasks} & strays
            if names:
                if spec.kind == "gang":
                    return
                tasks = [t for t in tasks if f"{spec.ref}/{t}" not in names]
        if tasks:
            avoid = self.troubles.avoid(spec.ref)
            urgent = spec.cls in self.cfg.urgent
            out.append(Item(spec, tasks, order, queue, self._run_us(spec), zone, resting_us, avoid, urgent))

    def _walk(self, now_us: int, wall_us: int) -> list[Seat]:
        """Start what can start; the seats as they are then."""
        items = self.items(now_us, wall_us)
        seats = self.seats(now_us) if items or self._any_wide() else []
        self._place_wide(seats, now_us, wall_us)
        if not items:
            self.backfill.blocked = []
            self.backfill.pivots = {}
            return seats
        for start in self.backfill.walk(now_us, seats, items, self.delay.delay_us):
            spec = start.item.spec
            gang = spec.kind == "gang"
            recs = [self._rec(spec, chunk) for chunk in {t // CHUNK for t, _ in start.places}]
            number = max(r.last for r in recs) + 1
            for task, seat in start.places:
                rec = self._rec(spec, task // CHUNK)
                if not gang:
                    number = rec.last + 1
                rec.last = max(rec.last, number)
                self._place(rec, task, seat.name, number, now_us, wall_us)
        return seats

    def _any_wide(self) -> bool:
        return any(
            (route := job.routes.get(self.part)) is not None and route.rec.wide
            for job in self.view.open.values()
        )

    def _place_wide(self, seats: list[Seat], now_us: int, wall_us: int) -> None:
        """Our share of gangs wider than any part, on the machines that the leader chose. Until its time
        its room is kept like a pivot's."""
        by_name = {s.name: s for s in seats}
        for job in self.view.open.values():
            route = job.routes.get(self.part)
            if route is None or not route.rec.wide or job.state != QUEUED or job.done:
                continue
            spec = job.spec
            recs = {task: self._rec(spec, task // CHUNK) for task in route.rec.wide}
            if any(rec.last >= route.rec.attempt or rec.attempts for rec in recs.values()):
                continue  # each attempt is tried once
            begun: dict[int, Seat] = {}
            end_us = now_us + self._run_us(spec)
            for task, name in route.rec.wide.items():
                seat = by_name.get(name)
                if seat is None or not seat.room.fits(spec):
                    seat = self._instead(spec, name, seats)
                    if seat is None:
                        break
                seat.start(spec, end_us)
                begun[task] = seat
            if len(begun) == len(recs) and wall_us >= route.rec.at_us:
                for task, seat in begun.items():
                    recs[task].last = route.rec.attempt
                    self._place(recs[task], task, seat.name, route.rec.attempt, now_us, wall_us)
                continue
            for seat in begun.values():
                seat.undo(spec, end_us)
            from_us = now_us + max(route.rec.at_us - wall_us, 0)
            for name in route.rec.wide.values():
                if (kept := by_name.get(name)) is not None:
                    kept.holds.append(Hold(from_us, from_us + self._run_us(spec), spec, 1))

    def _instead(self, spec: Spec, name: str, seats: list[Seat]) -> Seat | None:
        """Another machine for a wide gang's task, in the zone of the one that the leader chose. Seen: a
        machine was taken before the leader's choice arrived, and the gang's other tasks kept their
        places for nothing until they gave up."""
        known = self.view.machines.get(name)
        if known is None:
            return None
        able = [s for s in seats if s.allows(spec, known[1].zone) and s.room.fits(spec)]
        return min(able, key=lambda s: s.cost(spec, self.backfill.queue_of(spec)), default=None)

    def _place(self, rec: Rec, task: int, machine: str, number: int, now_us: int, wall_us: int) -> None:
        m = self.machines[machine]
        a = Attempt(rec.spec, task, machine, m.session, number, wall_us, now_us)
        rec.attempts[task] = a
        rec.dirty = True
        m.attempts[a.name, number] = a

    # -- group commits ---------------------------------------------------------------------------

    def gather(self, now_us: int, wall_us: int) -> Batch | None:
        """The next group commit, conditional on our token, or None if there is nothing to write."""
        batch = Batch()
        part_key = f"part/{self.part}"
        batch.conditions[part_key] = self.token
        most = self.cfg.txn_ops
        ends: dict[tuple[str, int], list[tuple[str, tuple[str, int]]]] | None = None
        needs = 0
        for rec in self.recs.values():
            if not rec.dirty or rec.inflight:
                continue
            # A record may bring its job's end along: both must fit.
            needs += 2 if rec.done else 1
            if batch.recs and (needs > most or batch.size > 40_000):
                break
            if ends is None:
                ends = self._pending()
            if not self._gather_rec(rec, batch, 2 * most, ends):
                break
        for rec in batch.recs:
            job = self.view.jobs[rec.spec.ref]
            done = job.done
            for other in self._recs_of(rec.spec):
                if other in batch.recs or not other.dirty:
                    done |= other.done
            if min((part for part, _ in job.places), default=self.part) < self.part:
                # Another part ends the job once it hears of this. Seen: the parts of a wide gang, done at
                # the same moment, refused each other's commits, and its places stayed taken for seconds.
                continue
            if done == job.spec.all_tasks and job.state == QUEUED and job.spec.kind != "service":
                self._finish(job, batch, wall_us)
        for ref, at_us in list(self.finish.items()):
            job = self.view.jobs[ref]
            if job.state != QUEUED:
                del self.finish[ref]
            elif at_us <= now_us and batch.changes < most:
                self._finish(job, batch, wall_us)
        for key, (value, conditions) in list(self.outbox.items()):
            if batch.changes >= most:
                break
            if value is None:
                batch.deletes.append(key)
            else:
                batch.puts[key] = (value, None)
            batch.conditions.update(conditions)
            del self.outbox[key]
        return batch if batch.changes else None

    def has_writes(self, now_us: int) -> bool:
        """Whether there is anything for a group commit."""
        return (
            bool(self.outbox) or any(at_us <= now_us for at_us in self.finish.values())
            or any(rec.dirty and not rec.inflight for rec in self.recs.values())
        )  # fmt: skip

    def _finish(self, job: Job, batch: Batch, wall_us: int) -> None:
        key = f"j/{job.spec.ref}"
        batch.conditions[key] = job.stamp
        batch.puts[key] = (JobRec(job.spec, job.at_us, DONE, wall_us), None)
        batch.done_jobs.append(job.spec.ref)

    def _allowed(self, a: Attempt, job: Job, route: Route | None) -> bool:
        """Whether the records as they are known now allow what was decided."""
        if job.state != QUEUED or route is None or not route.mask >> a.task & 1 or job.done >> a.task & 1:
            return False
        m = self.machines.get(a.machine)
        if m is None or m.session != a.session or a.machine in self.view.drains:
            return False
        return all(zone == m.zone for zone, mask in route.zoned.items() if mask >> a.task & 1)

    def _unplace(self, rec: Rec, a: Attempt) -> None:
        """Forget a decision that was never written."""
        ATTEMPT.move(a, ENDED)
        rec.attempts.pop(a.task, None)
        if (m := self.machines.get(a.machine)) is not None:
            m.attempts.pop((a.name, a.number), None)
        self.walk_due = True

    def _pending(self) -> dict[tuple[str, int], list[tuple[str, tuple[str, int]]]]:
        """Ends that are not recorded yet, by the record that they belong to."""
        out: dict[tuple[str, int], list[tuple[str, tuple[str, int]]]] = {}
        for m in self.machines.values():
            for key in m.pending_ends:
                ref, number = split_task(key[0])
                out.setdefault((ref, number // CHUNK), []).append((m.name, key))
        return out

    def _gather_rec(
        self, rec: Rec, batch: Batch, most_conditions: int,
        ends: dict[tuple[str, int], list[tuple[str, tuple[str, int]]]],
    ) -> bool:  # fmt: skip
        """Add a record; False if its conditions do not fit beside the others'."""
        job = self.view.jobs[rec.spec.ref]
        route = job.routes.get(self.part)
        new = [a for a in rec.attempts.values() if a.state == PLACING]
        # The conditions name the records as they are known now. What was decided by older ones must be
        # checked again, or the conditions would hold for something that is no longer allowed: seen as
        # a task started in two parts, when its route moved between the decision and the write.
        stale = [a for a in new if not self._allowed(a, job, route)]
        if stale:
            for a in new if rec.spec.kind == "gang" else stale:
                self._unplace(rec, a)
            new = [a for a in new if a.state == PLACING]
        if new:
            # Not routed here any more, or over: the records decide, not what was meant to start.
            conditions = {
                route_key(self.part, rec.spec.ref): route.stamp if route else 0,
                f"j/{rec.spec.ref}": job.stamp,
            }
            conditions.update((f"d/{a.machine}", 0) for a in new)
            if batch.recs and len(batch.conditions | conditions) + 1 > most_conditions:
                return False
            batch.conditions.update(conditions)
        raw = msgspec.json.encode(rec.value())
        batch.conditions[rec.key] = rec.stamp
        batch.puts[rec.key] = (msgspec.Raw(raw), None)
        batch.size += len(raw) + 600
        batch.recs.append(rec)
        batch.placed.extend(new)
        batch.ended.extend(ends.get((rec.spec.ref, rec.chunk), ()))
        rec.dirty = False
        rec.inflight = True
        return True

    def committed(self, batch: Batch, revision: int, actions: Actions) -> None:
        """The group commit is in the state service: now its commands may be sent."""
        for rec in batch.recs:
            rec.inflight = False
            rec.stamp = revision
        for a in batch.placed:
            if a.state != PLACING:
                continue
            ATTEMPT.move(a, PLACED)
            if a.stop_grace_us is None:
                actions.send(a.machine, ("start", a.name, a.number, None))
        for name, key in batch.ended:
            m = self.machines.get(name)
            if m is not None and key in m.pending_ends:
                m.pending_ends.discard(key)
                if key not in m.attempts:
                    # Told in the next answer: nothing waits for it, and a message of its own for each
                    # task that ends was a third of all that was sent.
                    m.reaps.add(key)
        for ref in batch.done_jobs:
            self.finish.pop(ref, None)

    def rejected(self, batch: Batch, now_us: int, wall_us: int, unchanged: bool) -> None:
        """The group commit was not applied, or may not have been. ``unchanged``: it certainly was not,
        and nothing stands against it: write it again later. Otherwise, the view having been renewed,
        everything in it is decided afresh."""
        for rec in batch.recs:
            rec.inflight = False
            if unchanged:
                rec.dirty = True
            else:
                self._reload(rec, now_us, wall_us)
        for key, (value, _) in batch.puts.items():
            if key.startswith(("m/", "d/")):
                self.outbox.setdefault(key, (value, {}))
        for key in batch.deletes:
            self.outbox.setdefault(key, (None, {}))
        if not unchanged:
            # Ends that went with the batch and were not recorded are seen again in the next reports:
            # their attempts are back, and nothing is reaped before its end is recorded.
            for name, ended in batch.ended:
                if (m := self.machines.get(name)) is not None:
                    m.pending_ends.discard(ended)
