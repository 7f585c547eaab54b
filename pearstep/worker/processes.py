"""Tasks as processes of the operating system (Linux): started in a group of their own, ended for certain.

Output goes to files directly, never through the agent, so that the agent's death loses no byte. What the
agent started is known by three marks: the process group, its leader's start time (process ids are used
again), and a variable in the environment that children inherit, by which also those are found that left the
group.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import signal
import subprocess
import time
from pathlib import Path

import msgspec

MARK = "PEARSTEP_RUN"
_PR_SET_CHILD_SUBREAPER = 36
_FALLOC_PUNCH = 0x03  # keep the size, punch a hole


class Started(msgspec.Struct):
    """What is written down of a process: with its start time (clock ticks since boot) it is not mistaken."""

    pid: int
    started: int


class End(msgspec.Struct):
    """How a process ended: its exit code, or the signal that ended it."""

    code: int | None
    signal: int | None = None


def adopt_orphans() -> None:
    """Children whose parent ended become ours, so that they are found and reaped."""
    ctypes.CDLL(None, use_errno=True).prctl(_PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)


def punch(path: Path, offset: int, length: int) -> bool:
    """Give back the disk space of a range of a file that somebody writes to.

    Returns False if the file system does not know how.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    fd = os.open(path, os.O_WRONLY)
    try:
        return libc.fallocate(fd, _FALLOC_PUNCH, ctypes.c_long(offset), ctypes.c_long(length)) == 0
    finally:
        os.close(fd)


def _stat(pid: int) -> tuple[str, int, int] | None:
    """State, process group and start time of a process."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    fields = text.rpartition(")")[2].split()
    return fields[0], int(fields[2]), int(fields[19])


def start_time(pid: int) -> int:
    """Start time of a process, 0 if it is gone."""
    found = _stat(pid)
    return found[2] if found else 0


def _pids() -> list[int]:
    return [int(name) for name in os.listdir("/proc") if name.isdigit()]


def marked(mark: str) -> list[int]:
    """Processes that inherited a mark and have not ended."""
    wanted = f"{MARK}={mark}".encode()
    out = []
    for pid in _pids():
        try:
            environ = Path(f"/proc/{pid}/environ").read_bytes()
        except OSError:
            continue
        if any(var == wanted or var.startswith(wanted + b":") for var in environ.split(b"\0")):
            found = _stat(pid)
            if found and found[0] not in "ZX":
                out.append(pid)
    return out


def group_runs(pgid: int) -> bool:
    """Whether anything of a process group has not ended."""
    try:
        os.killpg(pgid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        pass
    return any((s := _stat(pid)) and s[1] == pgid and s[0] not in "ZX" for pid in _pids())


# Waits for a word before it becomes the task. If the agent dies before it has written down whom it started,
# the word never comes, and nothing was run. Seen: a child that was between fork and exec while a new agent
# looked for what the former one had left; it bore no mark yet, and wrote to a log that was sealed already.
GATE = 'read -r go && exec "$@" </dev/null'


class Process:
    """One task's process group. It runs nothing before ``go``."""

    def __init__(
        self, argv: list[str], folder: Path, env: dict[str, str], stdout: Path, stderr: Path, mark: str
    ) -> None:
        """Start the process behind a gate, so that its command does not run yet."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        out, err = os.open(stdout, flags, 0o640), os.open(stderr, flags, 0o640)
        wait, self._gate = os.pipe()
        try:
            self._popen = subprocess.Popen(
                ["/bin/sh", "-c", GATE, "pearstep", *argv],
                cwd=folder,
                env={**env, MARK: mark},
                stdin=wait,
                stdout=out,
                stderr=err,
                start_new_session=True,
                close_fds=True,
            )
        except BaseException:
            os.close(self._gate)
            raise
        finally:
            for fd in (out, err, wait):
                os.close(fd)
        self.mark = mark
        self.pid = self._popen.pid
        self.started = Started(self.pid, start_time(self.pid))

    def go(self) -> None:
        """Let it run: called once it is written down."""
        # A broken pipe: it was ended already.
        with contextlib.suppress(BrokenPipeError):
            os.write(self._gate, b"go\n")
        os.close(self._gate)

    def send(self, name: str) -> None:
        """A signal to the whole group."""
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.pid, getattr(signal, f"SIG{name}"))

    def poll(self) -> End | None:
        """How it ended, once nothing of its group runs: what its children still hold would write on."""
        code = self._popen.poll()
        if code is None:
            return None
        if group_runs(self.pid):
            self.send("KILL")
            return None
        return End(code) if code >= 0 else End(None, -code)


def reap() -> None:
    """Collect adopted children that have ended, but for those whose end somebody waits for."""
    for pid in _children():
        found = _stat(pid)
        if found and found[0] == "Z" and found[1] != pid:
            with contextlib.suppress(ChildProcessError):
                os.waitpid(pid, os.WNOHANG)


def _children() -> list[int]:
    try:
        return [int(p) for p in Path(f"/proc/self/task/{os.getpid()}/children").read_text().split()]
    except OSError:
        return []


def kill_escaped(mark: str) -> int:
    """End what a task started outside its group; return how many processes there were.

    Only adopted children are looked at: a process that left the group and lost its parent is one.
    """
    count = 0
    if not any(
        (s := _stat(pid)) and s[0] not in "ZX" and os.getpgid(pid) != os.getpgid(0) for pid in _children()
    ):
        return 0
    for pid in marked(mark):
        try:
            os.kill(pid, signal.SIGKILL)
            count += 1
        except ProcessLookupError:
            pass
    return count


def sweep(mark: str, known: list[Started], patience_s: float = 10.0) -> int:
    """End everything that a former agent started, wait until it is gone, and return how many processes.

    Raises TimeoutError if something cannot be ended: then nothing new may be started here.
    """
    count = 0
    deadline = time.monotonic() + patience_s
    while True:
        alive = marked(mark)
        for one in known:
            # Without the start time, a stranger that was given the same number would be ended.
            if one.started and start_time(one.pid) == one.started and group_runs(one.pid):
                alive.append(one.pid)
                os.killpg(one.pid, signal.SIGKILL)
        if not alive:
            return count
        for pid in alive:
            try:
                os.kill(pid, signal.SIGKILL)
                count += 1
            except ProcessLookupError:
                pass
        if time.monotonic() > deadline:
            raise TimeoutError(f"processes {alive} of a former agent cannot be ended")
        time.sleep(0.02)
