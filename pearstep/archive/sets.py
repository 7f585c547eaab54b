"""A job's files as one set: which attempts' files they are.

This is decided once, and never changed by what comes later. A reader must never take a half-built result for
a whole one, nor a mixture of attempts for one result. So files are read *of a job* only as its published set:
it exists once the job is done, names exactly one attempt for each task, and is fixed by its digest.
Everything else is read by attempt, and called what it is. This module has no input or output.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any

import msgspec

from pearstep.archive.records import OPEN

VERSION = 1
SET_FILE = "set.json"
# A worker of a release that published nothing where no file matched is waited for no longer than this.
NOTHING_US = 60_000_000
DONE = "done"


class Input(msgspec.Struct, frozen=True):
    """A published set that a job was built from."""

    ref: str
    digest: str


class Member(msgspec.Struct, frozen=True):
    """A file of the set: its name in the set, and the attempt that wrote it."""

    name: str
    sha256: str
    size: int
    task: int
    attempt: int
    machine: str
    start: int
    source: str  # its name in the attempt


class PublishedSet(msgspec.Struct, frozen=True):
    """All files of a job that is done, in order of their names."""

    ref: str
    tasks: int
    files: list[Member]
    inputs: list[Input] = []
    version: int = VERSION


class UnsettledError(Exception):
    """There can't be a set yet; the text says what is missing."""


def encode(one: PublishedSet) -> bytes:
    """The same set makes the same bytes: its digest names it."""
    return msgspec.json.encode(one, order="deterministic")


def decode(body: bytes) -> PublishedSet:
    """Read a set; raises ValueError."""
    try:
        one = msgspec.json.decode(body, type=PublishedSet)
    except msgspec.MsgspecError as err:
        raise ValueError(f"not a set of files: {err}") from None
    if one.version > VERSION:
        raise ValueError(f"a set of version {one.version}; this release reads up to {VERSION}")
    return one


def digest_of(one: PublishedSet) -> str:
    """SHA-256 of the set, in hexadecimal."""
    return hashlib.sha256(encode(one)).hexdigest()


def answers(
    attempts: Iterable[dict[str, Any]], tasks: int, gang: bool, outputs: bool, wall_us: int
) -> dict[int, dict[str, Any]]:
    """Choose the attempt that gave each task's answer, of all that the archive knows of a job that is done.

    Raises UnsettledError.

    An attempt is begun only once there is evidence that the one before is gone, so of those that ended well
    the one that began last is the one that was believed. One that began later and has not ended may still be
    it: its log was not safe when its end was reported. A gang's answer is one attempt of all its members.
    """
    rows: dict[int, list[dict[str, Any]]] = {}
    for a in attempts:
        rows.setdefault(a["task"], []).append(a)
    if gang:
        numbers = [
            n
            for n in {a["attempt"] for some in rows.values() for a in some}
            if {a["task"] for some in rows.values() for a in some if a["attempt"] == n and a["cause"] == DONE}
            >= set(range(tasks))
        ]
        if numbers:
            # Attempts of a gang may have the same number in two parts of the cluster; then the later one.
            best = max(
                numbers,
                key=lambda n: max(
                    a["opened_us"] for some in rows.values() for a in some if a["attempt"] == n
                ),
            )
            rows = {t: [a for a in some if a["attempt"] == best] for t, some in rows.items()}
    out: dict[int, dict[str, Any]] = {}
    for task in range(tasks):
        mine = rows.get(task, [])
        done = [a for a in mine if a["cause"] == DONE and a["state"] == "sealed"]
        if not done:
            raise UnsettledError(f"task {task} has no attempt in the archive that ended well")
        chosen = max(done, key=lambda a: (a["opened_us"], a["machine"], a["start"]))
        later = [a for a in mine if a["state"] == OPEN and a["opened_us"] > chosen["opened_us"]]
        if later:
            raise UnsettledError(
                f"task {task}: an attempt on {later[0]['machine']} is still being written down"
            )
        if outputs and not chosen["published"] and wall_us - chosen["ended_us"] < NOTHING_US:
            raise UnsettledError(f"task {task}: its files are on their way")
        out[task] = chosen
    return out


def build(ref: str, chosen: dict[int, dict[str, Any]], inputs: Iterable[Input] = ()) -> PublishedSet:
    """Build the set of the chosen attempts.

    Names are those of the attempt, below the task's number if there are several tasks.
    """
    files = [
        Member(
            f["name"] if len(chosen) == 1 else f"{task}/{f['name']}",
            f["sha256"],
            f["size"],
            task,
            a["attempt"],
            a["machine"],
            a["start"],
            f["name"],
        )
        for task, a in chosen.items()
        for f in a["artefacts"]
    ]
    files.sort(key=lambda m: m.name)
    return PublishedSet(ref, len(chosen), files, sorted(inputs, key=lambda i: (i.ref, i.digest)))


def standing(attempt: dict[str, Any], one: PublishedSet | None) -> str:
    """What an attempt's files are called: of the published set, superseded by it, or unfinished."""
    if one is None:
        return "unfinished"
    key = (attempt["task"], attempt["attempt"], attempt["machine"], attempt["start"])
    mine = any((m.task, m.attempt, m.machine, m.start) == key for m in one.files)
    return "published" if mine else "superseded"
