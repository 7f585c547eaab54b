"""Commands on what the archive keeps: logs and artefacts."""

from __future__ import annotations

import asyncio
import hashlib
import os
import sys
from pathlib import Path
from typing import Any

import click

from ..archive.messages import bad_name
from ..archive.records import Key
from ..client.archive import key_of
from .common import AWAY, NO, Clients, command, fail, output, show

PAUSE_S = 0.2
ENDED = ("sealed", "expired")


def write(data: bytes, holes: list[tuple[int, int]], begin: int) -> None:
    """Bytes to standard output as they are; what is missing is said on standard error, never left silent."""
    at = begin
    out = sys.stdout.buffer
    for offset, length in holes:
        out.write(data[at - begin : offset - begin])
        out.flush()
        click.echo(f"[pearstep: {length} bytes from {offset} on were dropped by the worker]", err=True)
        at = offset + length
    out.write(data[at - begin :])
    out.flush()


async def known(clients: Clients, ref: str, task: int | None) -> list[dict[str, Any]]:
    """The attempts that can be known now; what silent nodes may hide is said."""
    found = await clients.archive.look(ref, task)
    if found is None:
        fail(f"{ref}: no such job in the archive", NO)
    if not found.certain:
        silent = ", ".join(found.silent) or "some"
        click.echo(f"[pearstep: archive nodes are silent ({silent}); attempts may be missing]", err=True)
    return found.attempts


async def copy(clients: Clients, attempt: dict[str, Any], stream: str, begin: int) -> int:
    """Show a stream from an offset on as far as it goes; where it ends."""
    at = begin
    while True:
        data, holes = await clients.archive.read(key_of(attempt), stream, at)
        if not data:
            return at
        write(data, holes, at)
        at += len(data)


async def follow_job(
    clients: Clients, ref: str, task: int | None, stream: str, until: asyncio.Future[Any] | None,
    number: int | None = None,
) -> None:  # fmt: skip
    """Show the output of all attempts as it comes, until the job is over and all of it was shown."""
    seen: dict[Key, int] = {}
    while True:
        over = until is not None and until.done()
        found = await clients.archive.look(ref, task)
        attempts = found.attempts if found is not None else []
        chosen = [a for a in attempts if number is None or a["attempt"] == number]
        for attempt in chosen:
            key = key_of(attempt)
            if attempt["have"].get(stream, 0) > seen.get(key, 0):
                seen[key] = await copy(clients, attempt, stream, seen.get(key, 0))
        ended = all(a["state"] in ENDED for a in chosen)
        if ended and (over or (until is None and chosen)):
            return
        await asyncio.sleep(PAUSE_S)


def pick(attempts: list[dict[str, Any]], task: int, number: int | None) -> dict[str, Any] | None:
    """The attempt that is meant: the given one, or the task's last."""
    found = [a for a in attempts if a["task"] == task and number in (None, a["attempt"])]
    return found[-1] if found else None


@click.command()
@click.argument("ref")
@click.option("--task", type=int, default=0, show_default=True, help="The task.")
@click.option("--attempt", type=int, help="The attempt; the task's last without it.")
@click.option("--follow", is_flag=True, help="Show what comes until the attempt ends.")
@click.option("--stderr", is_flag=True, help="Standard error instead of standard output.")
@output
@command
async def logs(
    root: Path, ref: str, task: int, attempt: int | None, follow: bool, stderr: bool, output: str
) -> int:
    """Show the log of a task of the job REF, byte by byte as it was written.

    With --output json: what is known of the attempt, without the bytes. What is missing (dropped by the
    worker, or lost with it) is said on standard error.
    """
    clients = Clients(root)
    stream = "stderr" if stderr else "stdout"
    chosen = pick(await known(clients, ref, task), task, attempt)
    if chosen is None and not follow:
        fail(f"{ref}: task {task} has no attempt" + (f" {attempt}" if attempt is not None else " yet"), NO)
    if output == "json":
        show(chosen, output, "")
        return 0
    if follow:
        await follow_job(clients, ref, task, stream, None, attempt)
        return 0
    assert chosen is not None
    end = await copy(clients, chosen, stream, 0)
    if end < chosen["have"].get(stream, 0) and chosen["state"] != "expired":
        fail(f"only {end} of {chosen['have'][stream]} bytes could be read; try again", AWAY)
    if chosen["state"] == "lost":
        click.echo(f"[pearstep: its worker was lost; nothing is known from byte {end} on]", err=True)
    elif chosen["state"] == "expired":
        click.echo("[pearstep: this log is past its retention]", err=True)
    elif chosen["state"] == "open":
        click.echo("[pearstep: the attempt goes on; --follow shows the rest]", err=True)
    return 0


@click.group()
def artefacts() -> None:
    """Files that tasks left."""


@artefacts.command("list")
@click.argument("ref")
@click.option("--task", type=int, help="Of this task only.")
@output
@command
async def list_(root: Path, ref: str, task: int | None, output: str) -> int:
    """List the files of the job REF by task and attempt."""
    attempts = await known(Clients(root), ref, task)
    rows = [{"task": a["task"], "attempt": a["attempt"], **f} for a in attempts for f in a["artefacts"]]
    show(rows, output, "\n".join(f"{r['task']}/{r['attempt']}\t{r['size']}\t{r['name']}" for r in rows))
    return 0


@artefacts.command()
@click.argument("ref")
@click.argument("name", required=False)
@click.option("--task", type=int, default=0, show_default=True)
@click.option("--attempt", type=int, help="The attempt; the task's last that left files without it.")
@click.option("--to", "target", default=".", metavar="DIR", show_default=True, help="Where to put them.")
@output
@command
async def get(
    root: Path, ref: str, name: str | None, task: int, attempt: int | None, target: str, output: str
) -> int:
    """Get the file NAME of a task, or all of its files, verified by their digests."""
    clients = Clients(root)
    attempts = [a for a in await known(clients, ref, task) if a["artefacts"]]
    chosen = pick(attempts, task, attempt)
    files = [f for f in chosen["artefacts"] if name in (None, f["name"])] if chosen else []
    if chosen is None or not files:
        fail(f"{ref}: task {task} has no such file; see `pearstep artefacts list {ref}`", NO)
    total = sum(f["size"] for f in files)
    quiet = output == "json" or not sys.stderr.isatty()
    with click.progressbar(length=total, label="artefacts", file=sys.stderr, hidden=quiet) as bar:
        for file in files:
            if bad_name(file["name"]):
                fail(f"{file['name']!r}: {bad_name(file['name'])}", NO)
            path = Path(target) / file["name"]
            path.parent.mkdir(parents=True, exist_ok=True)
            beside = path.with_name(path.name + ".part")
            sha = hashlib.sha256()
            with open(beside, "wb") as out:
                async for part in clients.archive.blob(key_of(chosen), file["sha256"], file["size"]):
                    sha.update(part)
                    out.write(part)
                    bar.update(len(part))
            if sha.hexdigest() != file["sha256"]:
                os.unlink(beside)
                fail(f"{file['name']}: the bytes that came do not have its digest; try again", AWAY)
            os.replace(beside, path)
    rows = [{"path": str(Path(target) / f["name"]), "size": f["size"], "sha256": f["sha256"]} for f in files]
    show(rows, output, "\n".join(r["path"] for r in rows))
    return 0
