"""One task's view of its gang: who is there, when to start, when to give up, when all are done. Pure.

Members tell each other their phase several times within ``gang_peer_us``; who is not heard for that long
counts as gone. Members that are done or saved say so for a while after they have ended, so that the last
one learns it.
"""

from __future__ import annotations

from pearstep.domain.state_machine import TransitionTable

READY = "ready"  # has its description, waits for the others
RUNNING = "running"
FINISHED = "finished"  # its process has ended well; the others' have not, as far as it knows
SAVING = "saving"
SAVED = "saved"
DONE = "done"
KEPT = "kept"  # ended with its progress saved
GONE = "gone"

MATE = TransitionTable(
    "mate",
    {
        READY: (RUNNING, GONE),
        RUNNING: (FINISHED, SAVING, GONE),
        FINISHED: (DONE, KEPT, GONE),
        SAVING: (SAVED, FINISHED, GONE),
        SAVED: (KEPT, GONE),
        DONE: (),
        KEPT: (),
        GONE: (),
    },
)

THERE = (READY, RUNNING, FINISHED, SAVING, SAVED)
ENDED = (DONE, KEPT, GONE)


class Mates:
    """The gang of one attempt as seen by task ``me``; ``state`` is this task's own phase."""

    def __init__(self, tasks: int, me: int, peer_us: int) -> None:
        """Create the view that task ``me`` has of a gang of ``tasks``, before it heard of any other."""
        self.tasks = tasks
        self.me = me
        self.peer_us = peer_us
        self.state = READY
        self.phases: dict[int, tuple[str, int]] = {}
        self.addrs: dict[int, str] = {}
        self.halted_us: int | None = None

    def move(self, to: str) -> None:
        """Change this task's phase."""
        MATE.transition(self, to)

    def heard(self, task: int, phase: str, now_us: int) -> None:
        """A member's phase. One that ended stays ended."""
        if task == self.me or not 0 <= task < self.tasks:
            return
        known = self.phases.get(task)
        if known is not None and known[0] in ENDED:
            return
        self.phases[task] = (phase, now_us)

    def _fresh(self, now_us: int) -> bool:
        return all(
            (found := self.phases.get(t)) is not None
            and (found[0] in ENDED or now_us - found[1] < self.peer_us)
            for t in range(self.tasks)
            if t != self.me
        )

    def decide(self, now_us: int) -> str | None:
        """Return what is to happen to this task now.

        This is ``start``, ``done``, ``kept``, ``mates_gone``, or nothing yet.
        """
        others = [self.phases.get(t, ("", 0))[0] for t in range(self.tasks) if t != self.me]
        if self.state == READY:
            # A mate that runs already knew of us: it has seen all of us ready.
            return "start" if self._fresh(now_us) and all(p in THERE for p in others) else None
        if self.state in ENDED:
            return None
        if self.state == FINISHED and (DONE in others or all(p in (FINISHED, DONE) for p in others)):
            return "done"
        if self.state == FINISHED and KEPT in others:
            return "kept"  # the gang was stopped in order just before its end; it goes on from there
        if self.state == SAVED and (KEPT in others or all(p in (SAVED, KEPT, FINISHED) for p in others)):
            return "kept"
        if GONE in others or not self._fresh(now_us):
            return "mates_gone"
        # It waits so long, from the first halt, for the others to have saved.
        if (
            self.state in (SAVED, FINISHED)
            and self.halted_us is not None
            and now_us - self.halted_us > self.peer_us
            and any(p == RUNNING for p in others)
        ):
            return "mates_gone"
        if self.state == RUNNING and KEPT in others:
            return "mates_gone"  # the others were told to stop, and this one was not in time
        return None
