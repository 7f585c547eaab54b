"""Judges what users, workers and cloud saw by the rules of the protocol (PROTOCOL, "Rules", and what the
operators added): a list of broken rules, each with its time. It knows nothing of the controllers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import ceil

from pearstep.domain.job_spec import JobSpec
from pearstep.domain.team import Team
from pearstep.shard.commands import parse_task_name

Key = tuple[str, int]
# A machine as the checker sees it: its zone, and whether a task of a job would find room there now.
Place = tuple[str, Callable[[JobSpec], int]]
# A job about which no question is answered for so long once all troubles are over counts as forgotten.
FORGOTTEN_S = 75.0
# While other polls are answered.
UNANSWERED_S = 90.0
# The largest jobs of a class are its upper tenth; they, too, begin within four minutes.
LARGEST_BEGIN_S = 240.0
# Once the troubles are over no job is left waiting for so long beside a machine that fits.
IDLE_S = 90.0


class Seen:
    """What a user has seen of a job. ``told``: the last final answer."""

    def __init__(self, spec: JobSpec, at_s: float) -> None:
        self.spec = spec
        self.at_s = at_s
        self.accepted_s: float | None = None
        self.refused = False
        self.told = ""
        self.told_s = 0.0
        self.wish_s: float | None = None
        self.cancelled_s: float | None = None
        self.answered_s = at_s
        self.begun_s: float | None = None
        # Since when it waits although there is room for it, and what of it was there or done then.
        self.beside_s: float | None = None
        self.had: tuple[int, int] = (0, 0)

    @property
    def in_time(self) -> bool:
        """Whether it has begun within the time in which the largest have to."""
        return self.begun_s is not None and self.begun_s - self.at_s <= LARGEST_BEGIN_S


class Checker:
    """All that is judged while it happens, and at the end."""

    def __init__(self, teams: dict[str, Team], cancel_s: float) -> None:
        self.teams = teams
        self.cancel_s = cancel_s
        self.jobs: dict[str, Seen] = {}
        self.where: dict[str, dict[tuple[str, int], tuple[str, str]]] = {}
        self.done_tasks: dict[str, set[int]] = {}
        self.used: dict[str, list[float]] = {name: [0.0, 0.0] for name in teams}
        self.broken: list[str] = []
        self.trace: list[str] = []
        self.starts = 0
        self.killed = 0
        # Tasks that came to be on a machine after their users heard that they are cancelled, by commands that
        # were on their way then.
        self.late_starts = 0
        self.kinds: Counter[str] = Counter()
        self.answered_s: list[float] = []
        # When the last trouble is over.
        self.calm_s = 1e18
        # Told of what users hear of a job for the first time: it, and "accepted", "done" or "withdrawn".
        self.heard: list[Callable[[str, str], None]] = []

    def note(self, at_s: float, text: str) -> None:
        """Something worth reading in a trace."""
        self.trace.append(f"{at_s:9.3f} {text}")

    def breaks(self, at_s: float, rule: str, text: str) -> None:
        """A rule is broken."""
        self.broken.append(f"{rule}: {text} at {at_s:.3f}")
        self.kinds[rule] += 1
        self.note(at_s, f"BROKEN {rule} {text}")

    # -- machines --------------------------------------------------------------------------------

    def arrived(
        self, at_s: float, machine: str, mtype: str, zone: str, spot: bool, key: Key, spec: JobSpec
    ) -> None:
        """A task is on a machine."""
        self.starts += 1
        self.note(at_s, f"{key[0]} try {key[1]} on {machine}")
        task = key[0]
        there = self.where.setdefault(task, {})
        if any(m != machine for m, _ in there):
            self.breaks(at_s, "ran_twice", f"{task} on {machine} while on {[m for m, _ in there]}")
        there[machine, key[1]] = (zone, spec.job_id)
        used = self.used[spec.team]
        if len(there) == 1:
            used[0] += spec.cpus
            used[1] += spec.gpus
        if not self.teams[spec.team].within_limit(*used):
            self.breaks(at_s, "quota", f"{spec.team} uses {used}")
        if (
            (spec.types is not None and mtype not in spec.types)
            or (spot and not spec.spot)
            or (spec.zone is not None and zone != spec.zone)
        ):
            self.breaks(at_s, "wrong_place", f"{task} on {machine} {mtype} {zone} spot {spot}")
        zones = [
            z
            for other, places in self.where.items()
            if other.partition("/")[0] == spec.job_id
            for z, _ in list(places.values())[:1]
        ]
        if spec.one_zone and len(set(zones)) > 1:
            self.breaks(at_s, "wrong_place", f"{task} in {zone}, its job in {sorted(set(zones))}")
        if spec.spread and zones.count(zone) > ceil(spec.tasks / 2):
            self.breaks(at_s, "wrong_place", f"{task}: {zones.count(zone)} of {spec.tasks} in {zone}")
        seen = self.jobs.get(spec.job_id)
        if seen is not None and seen.cancelled_s is not None:
            self.late_starts += 1
            if at_s > seen.cancelled_s + self.cancel_s:
                self.breaks(at_s, "ran_cancelled", f"{task} starts on {machine}")

    def commanded(self, at_s: float, names: list[str]) -> None:
        """A controller sends start commands. None may follow the first word to a user that the job is
        cancelled; what was sent before may still arrive.
        """
        for name in names:
            seen = self.jobs.get(parse_task_name(name)[0])
            if seen is not None and seen.cancelled_s is not None:
                self.breaks(at_s, "ran_cancelled", f"start of {name} is sent, told {seen.cancelled_s:.3f}")

    def left(self, machine: str, key: Key, spec: JobSpec) -> None:
        """It is gone from the machine."""
        there = self.where.get(key[0], {})
        if there.pop((machine, key[1]), None) is not None and not there:
            self.used[spec.team][0] -= spec.cpus
            self.used[spec.team][1] -= spec.gpus
            del self.where[key[0]]

    def began(self, at_s: float, key: Key, spec: JobSpec) -> None:
        """It runs."""
        seen = self.jobs.get(spec.job_id)
        if seen is not None and seen.begun_s is None:
            seen.begun_s = at_s

    def done(self, ref: str, number: int) -> None:
        """A task has completed."""
        self.done_tasks.setdefault(ref, set()).add(number)

    def look(self, at_s: float) -> None:
        """What only time shows: tasks of cancelled jobs that stay."""
        for task, there in self.where.items():
            seen = self.jobs.get(task.partition("/")[0])
            if seen is not None and seen.cancelled_s is not None:
                if at_s > seen.cancelled_s + self.cancel_s + 0.5:
                    self.breaks(at_s, "ran_cancelled", f"{task} still on {[m for m, _ in there]}")
                    seen.cancelled_s = 1e18  # said once

    # -- users -----------------------------------------------------------------------------------

    def submitted(self, spec: JobSpec, at_s: float) -> Seen:
        """A user submits a job."""
        return self.jobs.setdefault(spec.job_id, Seen(spec, at_s))

    def submit_answer(
        self, ref: str, status: int, stage: str, at_s: float, asked_s: float | None = None
    ) -> None:
        """The answer to a submission or its repeat, and when it was asked for."""
        seen = self.jobs[ref]
        if status in (200, 201):
            first = seen.accepted_s is None
            if first:
                seen.accepted_s = at_s
            self._answer(seen, stage, at_s, asked_s)
            if first:
                self._heard(ref, "accepted")
        elif status in (400, 422):
            if self._after_acceptance(seen, at_s, asked_s):
                self.breaks(at_s, "forgotten", f"repeat of {ref} gets {status}")
            seen.refused = True

    def odd_answer(self, what: str, status: int, stage: str, at_s: float) -> None:
        """The answer to a submission that can't be accepted: it can't run, or lacks a field."""
        if status in (200, 201):
            self.breaks(at_s, "accepted_bad", f"{what} gets {status} {stage}")

    @staticmethod
    def _after_acceptance(seen: Seen, at_s: float, asked_s: float | None) -> bool:
        """Whether a question was asked after its user heard that the job is accepted."""
        return seen.accepted_s is not None and (at_s if asked_s is None else asked_s) >= seen.accepted_s

    def _heard(self, ref: str, what: str) -> None:
        for tell in self.heard:
            tell(ref, what)

    def poll_answer(
        self, ref: str, status: int, stage: str, at_s: float, asked_s: float | None = None
    ) -> None:
        """The answer to a poll; status 0: none."""
        seen = self.jobs.get(ref)
        if seen is None:
            if status == 200:
                self.breaks(at_s, "invented", ref)
            return
        if status == 404 and self._after_acceptance(seen, at_s, asked_s):
            self.breaks(at_s, "forgotten", f"{ref} gets 404")
        if status == 200:
            if not seen.told and at_s - seen.answered_s > UNANSWERED_S and seen.accepted_s is not None:
                others = sum(s > seen.answered_s for s in self.answered_s[-400:])
                if others > 50:
                    self.breaks(at_s, "forgotten", f"{ref} unanswered for {at_s - seen.answered_s:.0f} s")
            self._answer(seen, stage, at_s, asked_s)

    def abort_answer(
        self, ref: str, status: int, stage: str, at_s: float, asked_s: float | None = None
    ) -> None:
        """The answer to a cancellation."""
        seen = self.jobs[ref]
        if status == 200:
            self._answer(seen, stage, at_s, asked_s)
        elif status == 404 and self._after_acceptance(seen, at_s, asked_s):
            self.breaks(at_s, "forgotten", f"cancellation of {ref} gets 404")

    def _answer(self, seen: Seen, stage: str, at_s: float, asked_s: float | None) -> None:
        # A user asks and cancels at the same time: the answer to a question that was asked before all was
        # over may say so, and arrive after the one that says it is.
        asked_s = at_s if asked_s is None else asked_s
        ref = seen.spec.job_id
        gap_s = at_s - max(seen.answered_s, self.calm_s, at_s if seen.accepted_s is None else seen.accepted_s)
        if gap_s > FORGOTTEN_S:
            self.breaks(at_s, "forgotten", f"{ref} unanswered for {gap_s:.0f} s after all troubles")
        seen.answered_s = at_s
        self.answered_s.append(at_s)
        if seen.told and stage != seen.told and asked_s >= seen.told_s:
            self.breaks(at_s, "went_back", f"{ref} was {seen.told}, now {stage}")
        if stage == "withdrawn" and seen.wish_s is None:
            self.breaks(at_s, "went_back", f"{ref} called cancelled, nobody asked")
        if stage == "done" and len(self.done_tasks.get(ref, ())) < seen.spec.tasks:
            self.breaks(at_s, "not_done", ref)
        first = not seen.told and stage in ("done", "withdrawn")
        if stage in ("done", "withdrawn"):
            seen.told_s = seen.told_s if seen.told else at_s
            seen.told = stage
        if stage == "withdrawn" and seen.cancelled_s is None:
            # By whatever answer: what a poll says was said as well.
            seen.cancelled_s = at_s
            self.note(at_s, f"told that {ref} is cancelled")
        if first:
            self._heard(ref, stage)

    # -- room ------------------------------------------------------------------------------------

    def look_for_room(self, at_s: float, places: list[Place], faulty: set[str]) -> None:
        """After all troubles: jobs that wait although there is room for them. A gang needs room for all its
        tasks at once, within a zone or spread as it asks; of others one task is enough.
        """
        on_machines = Counter(parse_task_name(task)[0] for task in self.where)
        for ref, seen in self.jobs.items():
            if seen.accepted_s is None or seen.told or seen.wish_s is not None or ref in faulty:
                continue
            spec = seen.spec
            had = there, done = on_machines[ref], len(self.done_tasks.get(ref, ()))
            waits = there + done < spec.tasks
            if not waits or had != seen.had or not self._room_beside(spec, there, places):
                seen.beside_s, seen.had = None, had
            elif seen.beside_s is None:
                seen.beside_s = at_s
            elif at_s - max(seen.beside_s, self.calm_s) > IDLE_S:
                self.breaks(at_s, "idle", f"{ref} {spec.kind} waits since {seen.beside_s:.0f} beside room")
                seen.beside_s = at_s  # said once each time

    def _room_beside(self, spec: JobSpec, there: int, places: list[Place]) -> bool:
        gang = spec.kind == "gang"
        need = spec.tasks if gang else 1
        if gang and there:
            return False  # its tasks gather, or leave
        used = self.used[spec.team]
        if not self.teams[spec.team].within_limit(used[0] + need * spec.cpus, used[1] + need * spec.gpus):
            return False
        if there and (spec.one_zone or spec.spread):
            return False  # which zone is left to it depends on where the others are
        zones: Counter[str] = Counter()
        for zone, room in places:
            zones[zone] += room(spec)
        if spec.one_zone:
            return max(zones.values(), default=0) >= need
        most = ceil(spec.tasks / 2) if spec.spread else need
        return sum(min(count, most) for count in zones.values()) >= need

    # -- at the end ------------------------------------------------------------------------------

    def end(self, at_s: float, ended: bool = True) -> None:
        """All is over. ``ended``: there was time for all to end."""
        if not self.starts and self.jobs:
            self.breaks(at_s, "nothing_ran", "")
        for ref, seen in self.jobs.items():
            if seen.accepted_s is None or at_s - max(self.calm_s, seen.accepted_s) < FORGOTTEN_S:
                continue
            if at_s - max(self.calm_s, seen.answered_s) > FORGOTTEN_S:
                self.breaks(at_s, "forgotten", f"{ref} unanswered for {at_s - seen.answered_s:.0f} s")
            elif ended and not seen.told and seen.spec.kind != "service" and seen.wish_s is None:
                done = len(self.done_tasks.get(ref, ()))
                self.breaks(at_s, "not_run", f"{ref} {seen.spec.kind}: {done} of {seen.spec.tasks} done")
        served = [
            s
            for s in self.jobs.values()
            if s.accepted_s is not None and s.wish_s is None and at_s - s.at_s > LARGEST_BEGIN_S
        ]
        self._largest(at_s, served)
        self._served(at_s, served)

    def _served(self, at_s: float, jobs: list[Seen]) -> None:
        """Half of each class and of each team is served: has begun within the time for the largest."""
        groups: dict[str, list[bool]] = {}
        for s in jobs:
            for group in (f"class {s.spec.job_class}", f"team {s.spec.team}"):
                groups.setdefault(group, []).append(s.in_time)
        for group, begun_of in sorted(groups.items()):
            if 2 * sum(begun_of) < len(begun_of):
                self.breaks(at_s, "unserved", f"{group}: {sum(begun_of)} of {len(begun_of)} have begun")

    def _largest(self, at_s: float, jobs: list[Seen]) -> None:
        """The largest jobs of each class: half of them are served, and begin in time."""
        for cls in {s.spec.job_class for s in jobs}:
            of_class = sorted((s for s in jobs if s.spec.job_class == cls), key=lambda s: -s.spec.tasks)
            largest = of_class[: max(len(of_class) // 10, 1)]
            late = [s for s in largest if not s.in_time]
            if len(late) * 2 > len(largest):
                self.breaks(at_s, "largest", f"{cls}: {len(late)} of {len(largest)} not begun in time")
