"""The group commits of a part: what is written together, and what follows from the answer."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from .job import Job, Route
from .orders import Actions, split_task
from .placements import Batch, Placements
from .placing import Placing
from .records import CHUNK, DONE, QUEUED, JobRec, route_key
from .task import ATTEMPT, ENDED, PLACED, PLACING, Attempt

# Tasks that are over within so many pauses between reports are short.
SHORT_REPORTS = 3


class Commits(Placing):
    """Gathers what is to be written, and carries out what a commit permits."""

    def gather(self, now_us: int, wall_us: int) -> Batch | None:
        """The next group commit, conditional on our token, or None if there is nothing to write."""
        batch = Batch()
        part_key = f"part/{self.part}"
        batch.conditions[part_key] = self.token
        most = self.cfg.txn_ops
        ends: dict[tuple[str, int], list[tuple[str, tuple[str, int]]]] | None = None
        needs = 0
        # Gangs first: what waits for a start waits whole. Then what was not written for longest: seen with a
        # vast array, whose record had something new each time, that hundreds of small jobs never came to
        # their turn.
        for rec in sorted(
            (r for r in self.recs.values() if r.dirty and not r.inflight),
            key=lambda r: (r.spec.kind != "gang", r.written_us),
        ):  # fmt: skip
            # A record may bring its job's end along: both must fit. An array's end takes the place of its
            # last record.
            needs += 2 if rec.done and rec.spec.kind != "array" else 1
            if batch.recs and (needs > most or batch.size > 40_000):
                break
            if ends is None:
                ends = self._pending()
            if not self._gather_rec(rec, batch, 2 * most, ends, now_us):
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
        if job.spec.kind == "array":
            for rec in batch.recs:
                if rec.spec.ref == job.spec.ref:
                    batch.puts.pop(rec.key, None)  # the job's end says it all

    def _allowed(self, a: Attempt, job: Job, route: Route | None) -> bool:
        """Whether the records as they are known now allow what was decided."""
        if job.state != QUEUED or route is None or not route.mask >> a.task & 1 or job.done >> a.task & 1:
            return False
        m = self.machines.get(a.machine)
        if m is None or m.session != a.session or a.machine in self.view.drains:
            return False
        return all(zone == m.zone for zone, mask in route.zoned.items() if mask >> a.task & 1)

    def _unplace(self, rec: Placements, a: Attempt) -> None:
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
        self, rec: Placements, batch: Batch, most_conditions: int,
        ends: dict[tuple[str, int], list[tuple[str, tuple[str, int]]]], now_us: int,
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
        rec.written_us = now_us
        return True

    def committed(self, batch: Batch, revision: int, actions: Actions) -> None:
        """The group commit is in the state service: now its commands may be sent."""
        for rec in batch.recs:
            rec.inflight = False
            if rec.key in batch.puts:
                rec.stamp = revision
        for a in batch.placed:
            if a.state != PLACING:
                continue
            ATTEMPT.move(a, PLACED)
            # Where tasks are shorter than a few reports, the machine reports at once when one ends, and the
            # start goes with the answer. Seen: with an array of 25,000 such tasks, a message of its own for
            # each start was a third of what the controllers did.
            short = a.spec.kind == "array" and a.spec.estimate_us < SHORT_REPORTS * self.cfg.report_us
            # The answer may have been slow, and its user told meanwhile that nothing starts any more.
            if a.stop_grace_us is None and not short and not self._cancelled(a.spec.ref):
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

    def rejected(
        self, batch: Batch, now_us: int, wall_us: int, unchanged: bool, failed: Collection[str] = ()
    ) -> None:
        """The group commit was not applied, or may not have been. ``unchanged``: it certainly was not,
        and nothing stands against it: write it again later. The same holds for the records that have
        nothing to do with the conditions that ``failed``: seen with routes that move, that a dozen
        placements were undone for one. Otherwise, the view having been renewed, everything in it is
        decided afresh."""
        undone: set[tuple[str, int]] = set()
        for rec in batch.recs:
            rec.inflight = False
            if unchanged or (failed and not self._concerned(rec, batch, failed)):
                rec.dirty = True
            else:
                undone.add((rec.spec.ref, rec.chunk))
                self._reload(rec, now_us, wall_us)
        for key, (value, _) in batch.puts.items():
            if key.startswith(("m/", "d/")):
                self.outbox.setdefault(key, (value, {}))
        for key in batch.deletes:
            self.outbox.setdefault(key, (None, {}))
        # Ends that went with an undone record and were not written are seen again in the next reports:
        # their attempts are back, and nothing is reaped before its end is recorded.
        for name, ended in batch.ended:
            ref, number = split_task(ended[0])
            if (ref, number // CHUNK) in undone and (m := self.machines.get(name)) is not None:
                m.pending_ends.discard(ended)

    def _concerned(self, rec: Placements, batch: Batch, failed: Collection[str]) -> bool:
        """Whether a failed condition of the batch speaks against this record."""
        ref = rec.spec.ref
        return (
            not {rec.key, f"j/{ref}", route_key(self.part, ref), f"part/{self.part}"}.isdisjoint(failed)
            or any(a.spec.ref == ref and f"d/{a.machine}" in failed for a in batch.placed)
        )
