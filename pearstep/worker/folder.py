"""An agent's directory: what it must know when it is killed and started again.

Each start of a task has a folder of its own, named by a count that never goes back. Notes are written
beside and renamed, so that each is whole or not there; they need no sync, since what they guard against is
the death of the agent: with the machine everything here is gone anyway.
"""

from __future__ import annotations

import fcntl
import os
import shutil
import tempfile
import time
from pathlib import Path
from typing import TypeVar

import msgspec

from pearstep.archive.records import STREAMS, Key, Seal
from pearstep.worker.processes import Started

T = TypeVar("T", bound=msgspec.Struct)
# Below a start's folder: what the task saved, on its way to the archive.
CHECKPOINT = "checkpoint"


class State(msgspec.Struct):
    """The last session and the last start that were begun."""

    session: int = 0
    start: int = 0


class RunNote(msgspec.Struct):
    """What is known of a start before its process runs, and of the process once it does."""

    key: Key
    session: int
    team: str
    cls: str
    opened_us: int
    process: Started | None = None
    outputs: list[str] = []


class AgentRunningError(Exception):
    """Another agent has this directory."""


class Folder:
    """The directory of one agent; only one agent may have it."""

    def __init__(self, root: str | Path) -> None:
        """Open the folder ``root``, create it if it does not exist, and take its lock."""
        self.root = Path(root).resolve()
        self.runs = self.root / "runs"
        self.runs.mkdir(parents=True, exist_ok=True)
        self.waiting = self.root / "waiting"
        self._lock = open(self.root / "lock", "w")  # noqa: SIM115 - held open as the lock until close()
        deadline = time.monotonic() + 2.0
        while True:
            try:
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except OSError:
                # One that was killed a moment ago may not be gone yet.
                if time.monotonic() > deadline:
                    raise AgentRunningError(f"another agent runs on {self.root}; end it first") from None
                time.sleep(0.05)
        self.state = self._read(self.root / "state.json", State) or State()
        shutil.rmtree(self.waiting, ignore_errors=True)

    def close(self) -> None:
        """Let another agent have it."""
        self._lock.close()

    @property
    def mark(self) -> str:
        """What all processes of this directory's agents carry in their environment."""
        return str(self.root).replace(":", "_")

    def new_session(self) -> int:
        """The number of a session that was never used, on disk before it is."""
        self.state.session += 1
        self._write(self.root / "state.json", self.state)
        return self.state.session

    def new_start(self) -> tuple[int, Path]:
        """A count and a folder that were never used."""
        self.state.start += 1
        self._write(self.root / "state.json", self.state)
        folder = self.runs / str(self.state.start)
        (folder / "task").mkdir(parents=True)
        return self.state.start, folder

    def scratch(self) -> Path:
        """A folder for what is fetched before a start; all of them are removed when an agent begins."""
        self.waiting.mkdir(exist_ok=True)
        return Path(tempfile.mkdtemp(dir=self.waiting))

    def note(self, folder: Path, note: RunNote) -> None:
        """Write down a start."""
        self._write(folder / "run.json", note)

    def ended(self, folder: Path, seal: Seal) -> None:
        """Write down an end."""
        self._write(folder / "end.json", seal)

    def published(self, folder: Path) -> None:
        """Write down that a start's files are in the archive, or never will be."""
        (folder / "published").touch()

    def owes_files(self, folder: Path, note: RunNote, seal: Seal | None) -> bool:
        """Return whether files of a start that a former agent left may be missing in the archive.

        Only a start that was done, or that saved a checkpoint, has files for the archive.
        """
        if seal is None or (folder / "published").exists():
            return False
        return bool(note.outputs) if seal.cause == "done" else (folder / CHECKPOINT).is_dir()

    def found(self) -> list[tuple[Path, RunNote, Seal | None]]:
        """What a former agent left."""
        out = []
        for folder in sorted(self.runs.iterdir(), key=lambda p: int(p.name)):
            note = self._read(folder / "run.json", RunNote)
            if note is None:
                # It died before anything could have run.
                shutil.rmtree(folder, ignore_errors=True)
                continue
            out.append((folder, note, self._read(folder / "end.json", Seal)))
        return out

    def remove(self, folder: Path) -> None:
        """A start that is in the archive."""
        shutil.rmtree(folder, ignore_errors=True)

    @staticmethod
    def _write(path: Path, value: msgspec.Struct) -> None:
        beside = path.with_suffix(".new")
        beside.write_bytes(msgspec.json.encode(value))
        os.replace(beside, path)

    @staticmethod
    def _read(path: Path, cls: type[T]) -> T | None:
        try:
            return msgspec.json.decode(path.read_bytes(), type=cls)
        except (OSError, msgspec.MsgspecError):
            return None


def lengths(folder: Path) -> dict[str, int]:
    """How much each stream of a start holds."""
    out = {}
    for name in STREAMS:
        try:
            out[name] = os.stat(folder / name).st_size
        except FileNotFoundError:
            out[name] = 0
    return out
