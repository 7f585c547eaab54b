"""One start of a task on this machine: its folder, its process, its gang, its way to the archive."""

from __future__ import annotations

import os
from pathlib import Path

from pearstep.archive.records import Key, Seal
from pearstep.domain.state_machine import TransitionTable
from pearstep.jobs.description import Description, home_name
from pearstep.transport.clock import wall_us
from pearstep.worker.folder import CHECKPOINT, Folder, RunNote, lengths
from pearstep.worker.mates import Mates
from pearstep.worker.processes import End, Process, kill_escaped
from pearstep.worker.spool import Spooled

PREPARING = "preparing"  # its description is being fetched
GATHERING = "gathering"
RUNNING = "running"
STOPPING = "stopping"  # was told to save or is being killed
PAUSED = "paused"  # its process has ended, its gang has not
HELD = "held"  # ended; its end is told once its log is safe, or after a while
OVER = "over"

RUN = TransitionTable(
    "run",
    {
        PREPARING: (GATHERING, RUNNING, OVER),
        GATHERING: (RUNNING, OVER),
        RUNNING: (STOPPING, PAUSED, HELD, OVER),
        STOPPING: (PAUSED, HELD, OVER),
        PAUSED: (HELD, OVER, STOPPING),
        HELD: (OVER,),
        OVER: (),
    },
)
PASSED_ON = ("PATH", "LANG", "LC_ALL", "TZ", "TMPDIR")


class Run:
    """A start. ``state`` is changed by ``move`` alone."""

    def __init__(self, job: str, task: int, attempt: int, session: int) -> None:
        """Create the run of one attempt of a task, in preparation and without a process."""
        self.job, self.task, self.attempt, self.session = job, task, attempt, session
        self.state = PREPARING
        self.description: Description | None = None
        self.folder: Path | None = None
        self.process: Process | None = None
        self.mates: Mates | None = None
        self.spool: Spooled | None = None
        self.end: End | None = None
        self.saving = False
        self.killed = False
        self.abandoned = False  # its session is over: nothing is reported of it
        self.why: str | None = None
        self.saved: bool | None = None
        self.published = True
        self.held_until_us = 0
        self.image: Path | None = None
        self.inputs: Path | None = None  # where its input files wait until it starts
        self.checkpoint: Path | None = None  # where it saves; None: it does not
        self.archived = False  # whether what it saves goes to the archive

    @property
    def key(self) -> tuple[str, int]:
        """The protocol's name of the task, and the attempt."""
        return f"{self.job}/{self.task}", self.attempt

    def move(self, to: str) -> None:
        """Change the state."""
        RUN.transition(self, to)

    def start(self, place: Folder, machine: str) -> Spooled:
        """Begin its process, with everything written down first.

        Raises OSError if it cannot be begun: that is an end like any other, and the reason goes to its log.
        """
        assert self.description is not None
        job = self.description
        count, folder = place.new_start()
        key = Key(self.job, self.task, self.attempt, machine, count)
        note = RunNote(key, self.session, job.team, job.cls, wall_us(), outputs=job.run.outputs)
        place.note(folder, note)
        self.folder = folder
        self.spool = Spooled(key, self.session, job.team, job.cls, note.opened_us)
        if self.inputs is not None:
            for path in sorted(self.inputs.iterdir()):
                os.replace(path, folder / "task" / path.name)
            self.inputs.rmdir()
            self.inputs = None
        for name, text in job.run.files.items():
            (folder / "task" / name).write_text(text)
        env = {k: v for k, v in os.environ.items() if k in PASSED_ON}
        env |= {
            "HOME": str(folder / "task"),
            "PEARSTEP_JOB": home_name(self.job),
            "PEARSTEP_TASK": str(self.task),
            "PEARSTEP_TASKS": str(job.tasks),
            "PEARSTEP_ATTEMPT": str(self.attempt),
        }
        if self.checkpoint is not None:
            self.checkpoint.mkdir(parents=True, exist_ok=True)
            env["PEARSTEP_CHECKPOINT"] = str(self.checkpoint)
        if self.image is not None:
            env["PEARSTEP_IMAGE"] = str(self.image)
        values: dict[str, str | int] = {
            "job": home_name(self.job),
            "task": self.task,
            "tasks": job.tasks,
            "attempt": self.attempt,
        }
        try:
            self.process = Process(
                job.argv(values),
                folder / "task",
                env | job.run.env,
                folder / "stdout",
                folder / "stderr",
                f"{place.mark}:{count}",
            )
        except (OSError, ValueError) as err:
            (folder / "stderr").write_text(f"pearstep: cannot start {job.run.command[0]!r}: {err}\n")
            self.end = End(127)
            return self.spool
        note.process = self.process.started
        place.note(folder, note)
        self.process.go()
        return self.spool

    def poll(self) -> bool:
        """Whether its process has ended by now, and all that it started."""
        if self.process is None or self.end is not None:
            return self.end is not None
        end = self.process.poll()
        if end is None:
            return False
        kill_escaped(self.process.mark)
        self.end = end
        return True

    def outcome(self) -> tuple[str, bool | None, str]:
        """Why it ended: in the protocol's sense, whether progress was saved, and in the archive's words."""
        job, end = self.description, self.end
        assert job is not None and end is not None
        if end.code == 0 and not self.killed:
            return "done", None, "done"
        if self.saving and job.run.save is not None and end.code == job.run.save.code:
            return "stopped", True, "saved"
        if self.killed:
            return "stopped", False, "killed"
        if self.saving:
            return "stopped", False, "halted"
        return "error", None, "error"

    def seal(self, place: Folder, cause: str) -> Seal:
        """Write the end of the run to disk.

        What it saved for the archive is moved to its folder first: from here on the next attempt of the task
        may use the place where it was.
        """
        assert self.folder is not None and self.spool is not None
        save = self.description.run.save if self.description is not None else None
        kept = cause == "saved" or (cause != "done" and save is not None and save.whole)
        if kept and self.archived and self.checkpoint is not None:
            os.replace(self.checkpoint, self.folder / CHECKPOINT)
        code = None
        if self.end is not None:
            code = self.end.code if self.end.code is not None else -(self.end.signal or 0)
        seal = Seal(cause, code, lengths(self.folder), wall_us())
        place.ended(self.folder, seal)
        self.spool.end(seal)
        return seal
