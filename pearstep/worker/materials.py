"""What a task needs before it starts, beside its description.

These are its image, and the checkpoint that an earlier attempt saved. Both come from the archive; decisions
come first in this module, the fetching of bytes below them.
"""

from __future__ import annotations

import asyncio
import os
import shutil
from collections import Counter, OrderedDict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import structlog

from pearstep.archive.packs import BadPackError, size_of, unpack_folder
from pearstep.client.archive import ArchiveClient, key_of
from pearstep.client.sets import Sets
from pearstep.jobs.description import Description

log = structlog.get_logger("pearstep.worker")

IMAGE = "img-"
IMAGE_FILE, CHECKPOINT_FILE = "image.tar", "checkpoint.tar"
SHORT = 12  # digits of a digest that name a version


class NoImageError(Exception):
    """The archive has no such image or input: waiting would not bring it."""


def file_of(attempt: dict[str, Any], name: str) -> dict[str, Any] | None:
    """A published file of an attempt."""
    return next((f for f in attempt["artefacts"] if f["name"] == name), None)


def choose_image(attempts: Iterable[dict[str, Any]], version: str) -> dict[str, Any] | None:
    """Choose the push that is meant: the one whose digest begins with ``version``, or the latest.

    Pushes at the same time are told apart by their digest, so that all machines choose alike.
    """
    found = [(a, f) for a in attempts if (f := file_of(a, IMAGE_FILE)) and f["sha256"].startswith(version)]
    best = max(found, key=lambda af: (af[0]["opened_us"], af[1]["sha256"]), default=None)
    return None if best is None else best[0]


def choose_checkpoint(
    attempts: Iterable[dict[str, Any]], tasks: int, task: int, gang: bool
) -> dict[str, Any] | None:
    """Choose the attempt whose checkpoint a task goes on from.

    It is the last that the task saved, here or at a peer (whose attempts are numbered anew). A gang's members
    go on from the same attempt, the last that all of them saved: one that had saved while a mate died in the
    middle of it would otherwise be ahead of the others.
    """
    # Of an array also what a killed task had saved by itself: it is published only if the job says that it is
    # whole at any moment. A gang's tasks save together or not at all.
    saved = [a for a in attempts if file_of(a, CHECKPOINT_FILE) and (a["cause"] == "saved" or not gang)]
    if gang:
        members: dict[tuple[str, int], dict[int, int]] = {}
        for a in saved:
            rows = members.setdefault(_where(a), {})
            rows[a["task"]] = max(rows.get(a["task"], 0), a["ended_us"])
        whole = {w: max(rows.values()) for w, rows in members.items() if len(rows) == tasks}
        last = max(whole, key=lambda w: (whole[w], w), default=None)
        saved = [a for a in saved if _where(a) == last]
    mine = [a for a in saved if a["task"] == task]
    return max(mine, key=lambda a: (a["ended_us"], a["attempt"]), default=None)


def _where(attempt: dict[str, Any]) -> tuple[str, int]:
    """A gang's attempt: which cluster's, and its number there."""
    peer, _, machine = attempt["machine"].partition(".")
    return (peer if machine else "", attempt["attempt"])


class Kept:
    """Which images stay on the machine: the most recently used within a bound, and whatever a task uses."""

    def __init__(self, bound: int) -> None:
        """Create an empty list of kept images that may hold ``bound`` bytes in total."""
        self.bound = bound
        self.sizes: OrderedDict[str, int] = OrderedDict()
        self.used: Counter[str] = Counter()

    def has(self, name: str, size: int) -> list[str]:
        """An image is here and was used now; the names of those to remove."""
        self.sizes[name] = size
        self.sizes.move_to_end(name)
        out, total = [], sum(self.sizes.values())
        for other, its in list(self.sizes.items()):
            if total <= self.bound:
                break
            if other != name and not self.used[other]:
                total -= its
                out.append(other)
                del self.sizes[other]
        return out


class Materials:
    """One machine's images and checkpoints.

    Tasks that want the same image at the same time share one fetch.
    """

    def __init__(self, archive: ArchiveClient, root: Path, cache_bytes: int) -> None:
        """Open the cache of images below ``root`` and remove fetches that were not finished."""
        self.archive = archive
        self.images = root / "images"
        self.checkpoints = root / "checkpoints"
        self.images.mkdir(parents=True, exist_ok=True)
        self.kept = Kept(cache_bytes)
        self.fetched = 0
        self.sets = Sets(archive)
        self._locks: dict[str, asyncio.Lock] = {}
        for path in sorted(self.images.iterdir(), key=lambda p: p.stat().st_mtime):
            if path.is_dir() and not path.name.endswith(".part"):
                self.kept.has(path.name, size_of(path))
            else:
                # What a killed agent was fetching.
                _remove(path)

    async def image(self, name: str) -> Path | None:
        """Return the folder of an image, fetched if it is not here.

        None if the name is not one of the archive's. Raises NoImageError, or
        ArchiveUnreachableError if it cannot be had now.
        """
        if not name.startswith(IMAGE):
            return None
        base, _, version = name.partition("@")
        here = [n for n in self.kept.sizes if version and n.startswith(f"{base}@{version}")]
        if here:
            # A version never changes: nobody need be asked.
            return self._take(here[0])
        async with self._locks.setdefault(base, asyncio.Lock()):
            chosen = choose_image(await self.archive.attempts(base) or (), version)
            if chosen is None:
                raise NoImageError(f"the archive has no image {name}; push it with `pearstep images push`")
            file = file_of(chosen, IMAGE_FILE)
            assert file is not None
            full = f"{base}@{file['sha256'][:SHORT]}"
            if full not in self.kept.sizes:
                size = await self._fetch(chosen, file, self.images / full)
                self.fetched += 1
                log.info("image fetched", image=full, bytes=size)
                self.kept.sizes[full] = size
            return self._take(full)

    def _take(self, name: str) -> Path:
        self.kept.used[name] += 1
        path = self.images / name
        os.utime(path)
        for other in self.kept.has(name, self.kept.sizes[name]):
            log.info("image removed", image=other)
            _remove(self.images / other)
        return path

    def release(self, path: Path | None) -> None:
        """A task does not use its image any more."""
        if path is not None:
            self.kept.used[path.name] -= 1

    async def inputs(self, job: Description, target: Path) -> None:
        """Put exactly the files of the sets that a job names where its task will find them.

        Raises NoImageError, or ArchiveUnreachableError if they cannot be had now.
        """
        for one in job.run.inputs:
            if not one.digest:
                raise NoImageError(f"input {one.ref} has no digest: submit the job with `pearstep submit`")
            found = await self.sets.read(one.ref, one.digest)
            await self.sets.fetch(found, target / one.to)

    def folder(self, job: str, task: int) -> Path:
        """Where a task's checkpoint is while it runs here."""
        return self.checkpoints / job / str(task)

    async def resume(self, job: str, task: int, tasks: int, gang: bool) -> None:
        """Bring the checkpoint that a task goes on from, or an empty folder.

        What an attempt that was killed left here counts for nothing: it may be half written. Raises
        ArchiveUnreachableError.
        """
        target = self.folder(job, task)
        attempts = await self.archive.attempts(job, None if gang else task)
        chosen = choose_checkpoint(attempts or (), tasks, task, gang)
        await asyncio.to_thread(_remove, target)
        if chosen is not None:
            file = file_of(chosen, CHECKPOINT_FILE)
            assert file is not None
            target.parent.mkdir(parents=True, exist_ok=True)
            await self._fetch(chosen, file, target)
            log.info("checkpoint fetched", attempt=key_of(chosen).text(), bytes=file["size"])
        target.mkdir(parents=True, exist_ok=True)

    def forget(self, job: str, task: int) -> None:
        """What is left of a task's checkpoint here: it is in the archive, or not needed."""
        _remove(self.folder(job, task))

    async def _fetch(self, attempt: dict[str, Any], file: dict[str, Any], target: Path) -> int:
        pack = target.with_name(target.name + ".tar.part")
        try:
            await self.archive.save(key_of(attempt), file["sha256"], file["size"], pack)
            return await asyncio.to_thread(unpack_folder, pack, target)
        except BadPackError as err:
            raise NoImageError(str(err)) from None
        finally:
            pack.unlink(missing_ok=True)


def _remove(path: Path) -> None:
    if path.is_dir():
        shutil.rmtree(path, ignore_errors=True)
    else:
        path.unlink(missing_ok=True)
