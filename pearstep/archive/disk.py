"""The few file system operations that the archive needs.

Storage uses the file system through this module alone, so that tests can stop it at every write, sync and
rename.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

# Parts of one write (IOV_MAX on Linux is 1024).
MOST_PARTS = 512


class Disk(Protocol):
    """A directory of files by name.

    Nothing is durable before its ``sync``; a rename or a new name is not durable before ``sync_names``.
    Errors are ``OSError``.
    """

    def names(self) -> list[str]:
        """All files, sorted."""

    def size(self, name: str) -> int:
        """Bytes in a file."""

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Up to ``length`` bytes."""

    def append(self, name: str, *parts: bytes) -> None:
        """Write at the end, one part after the other; the file is made if need be."""

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file, durably."""

    def rename(self, old: str, new: str) -> None:
        """Give a file its new name, in one step."""

    def remove(self, name: str) -> None:
        """Forget a file; one that is not there is no error."""

    def sync_names(self) -> None:
        """Make names durable."""

    def free(self) -> int:
        """Bytes that may still be written."""


class Folder:
    """A directory of the operating system; names may have one folder in front."""

    def __init__(self, root: str | Path) -> None:
        """Open the directory ``root`` and create it if it does not exist."""
        self.root = Path(root)
        self.root.mkdir(parents=True, exist_ok=True)
        self._open: dict[str, int] = {}

    def names(self) -> list[str]:
        """All files below, sorted."""
        return sorted(str(p.relative_to(self.root)) for p in self.root.rglob("*") if p.is_file())

    def size(self, name: str) -> int:
        """Bytes in a file; 0 if there is none."""
        try:
            return (self.root / name).stat().st_size
        except FileNotFoundError:
            return 0

    def read(self, name: str, offset: int, length: int) -> bytes:
        """Up to ``length`` bytes from ``offset``."""
        with open(self.root / name, "rb") as file:
            file.seek(offset)
            return file.read(length)

    def append(self, name: str, *parts: bytes) -> None:
        """Write all of it at the end."""
        fd = self._open.get(name)
        if fd is None:
            path = self.root / name
            path.parent.mkdir(exist_ok=True)
            fd = self._open[name] = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o640)
        for begin in range(0, len(parts), MOST_PARTS):
            left = [memoryview(p) for p in parts[begin : begin + MOST_PARTS] if p]
            while left:
                count = os.writev(fd, left)
                while left and count >= len(left[0]):
                    count -= len(left.pop(0))
                if left:
                    left[0] = left[0][count:]

    def sync(self, name: str) -> None:
        """Make the file's data durable with ``fdatasync``."""
        fd = self._open.get(name)
        if fd is not None:
            os.fdatasync(fd)

    def close(self, name: str) -> None:
        """Forget an open file; nothing happens to its bytes."""
        fd = self._open.pop(name, None)
        if fd is not None:
            os.close(fd)

    def truncate(self, name: str, size: int) -> None:
        """Cut and sync."""
        self.close(name)
        fd = os.open(self.root / name, os.O_WRONLY)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def rename(self, old: str, new: str) -> None:
        """In one step, over what was there."""
        self.close(old)
        (self.root / new).parent.mkdir(exist_ok=True)
        os.replace(self.root / old, self.root / new)

    def remove(self, name: str) -> None:
        """Unlink."""
        self.close(name)
        (self.root / name).unlink(missing_ok=True)

    def sync_names(self) -> None:
        """Make names durable: ``fsync`` of the directory and of the directories in it."""
        for path in (self.root, *(p for p in self.root.iterdir() if p.is_dir())):
            fd = os.open(path, os.O_RDONLY)
            try:
                os.fsync(fd)
            finally:
                os.close(fd)

    def free(self) -> int:
        """What the file system has for us."""
        stat = os.statvfs(self.root)
        return stat.f_bavail * stat.f_frsize
