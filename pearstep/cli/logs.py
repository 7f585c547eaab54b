"""Commands on what the archive keeps: logs and artefacts."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import Any

import click

from pearstep.archive.messages import bad_name
from pearstep.archive.records import Key
from pearstep.archive.sets import PublishedSet, UnsettledError, build, digest_of, standing
from pearstep.cli.common import AWAY, NO, Clients, command, fail, output, show
from pearstep.client.archive import key_of
from pearstep.client.sets import Sets

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
    clients: Clients,
    ref: str,
    task: int | None,
    stream: str,
    until: asyncio.Future[Any] | None,
    number: int | None = None,
) -> None:
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
async def logs(  # noqa: PLR0913 - one parameter for each option of the command
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
    """List the files of the job REF by task and attempt, and what they are: published (the job's answer),
    superseded (another attempt's), or unfinished (the job has no published files yet).
    """  # noqa: D205 - the text that --help shows, one paragraph
    clients = Clients(root)
    attempts = await known(clients, ref, task)
    sets = Sets(clients.archive)
    one = await sets.published(ref)
    if one is None and attempts:
        status = await clients.jobs.status(ref)
        if status is not None and status.state == "done":
            with contextlib.suppress(UnsettledError):
                one = await sets.publish(ref)
    rows = [
        {"task": a["task"], "attempt": a["attempt"], "standing": standing(a, one), **f}
        for a in attempts
        for f in a["artefacts"]
    ]
    lines = [f"{r['task']}/{r['attempt']}\t{r['standing']}\t{r['size']}\t{r['name']}" for r in rows]
    show(rows, output, "\n".join(lines))
    return 0


async def publish(clients: Clients, ref: str) -> PublishedSet:
    """The published files of a job; ends the command with 1 if there are none yet."""
    sets = Sets(clients.archive)
    one = await sets.published(ref)
    if one is not None:
        return one
    status = await clients.jobs.status(ref)
    if status is None:
        fail(f"{ref}: no such job", NO)
    if status.state != "done":
        fail(f"{ref} is {status.state}: unfinished, it has no published files; --attempt shows others", NO)
    try:
        return await sets.publish(ref)
    except UnsettledError as err:
        fail(f"{ref} is done, its files are not settled yet: {err}", NO)


@artefacts.command("show")
@click.argument("ref")
@output
@command
async def show_set(root: Path, ref: str, output: str) -> int:
    """Tell what the published files of the job REF are: their digest as a whole, and what they were built
    from.
    """  # noqa: D205 - the text that --help shows, one paragraph
    one = await publish(Clients(root), ref)
    digest = digest_of(one)
    facts = {
        "ref": ref,
        "digest": digest,
        "files": len(one.files),
        "bytes": sum(m.size for m in one.files),
        "inputs": [{"ref": i.ref, "digest": i.digest} for i in one.inputs],
    }
    lines = [f"{ref} {digest}, {len(one.files)} files, {facts['bytes']} bytes"]
    lines += [f"  built from {i.ref} {i.digest}" for i in one.inputs]
    show(facts, output, "\n".join(lines))
    return 0


@artefacts.command()
@click.argument("ref")
@click.argument("name", required=False)
@click.option("--task", type=int, help="Of this task only.")
@click.option("--attempt", type=int, help="What this attempt left, be it the job's answer or not.")
@click.option("--to", "target", default=".", metavar="DIR", show_default=True, help="Where to put them.")
@output
@command
async def get(  # noqa: PLR0913 - one parameter for each option of the command
    root: Path, ref: str, name: str | None, task: int | None, attempt: int | None, target: str, output: str
) -> int:
    """Get the published files of the job REF, or NAME alone, verified by their digests.

    They are there once the job is done, all from the attempts that gave its answer; before that the command
    ends with 1. Files of a job with several tasks are below the task's number.
    """
    clients = Clients(root)
    sets = Sets(clients.archive)
    if attempt is None:
        one = await publish(clients, ref)
    else:
        some = [a for a in await known(clients, ref, task or 0) if a["artefacts"]]
        chosen = pick(some, task or 0, attempt)
        if chosen is None:
            fail(f"{ref}: task {task or 0} left no files in attempt {attempt}", NO)
        one = build(ref, {chosen["task"]: chosen})
        stands = await sets.published(ref)
        click.echo(f"[pearstep: these files are {standing(chosen, stands)}]", err=True)
    wanted = [m for m in one.files if name in (None, m.name, m.source) and task in (None, m.task)]
    bad = next((m.name for m in wanted if bad_name(m.name)), None)
    if bad is not None:
        fail(f"{bad!r}: {bad_name(bad)}", NO)
    if not wanted and (name is not None or task is not None):
        fail(f"{ref} has no such file; see `pearstep artefacts list {ref}`", NO)
    quiet = output == "json" or not sys.stderr.isatty()
    total = sum(m.size for m in wanted)
    with click.progressbar(length=total, label="artefacts", file=sys.stderr, hidden=quiet) as bar:
        paths = await sets.fetch(one, Path(target), {m.name for m in wanted}, bar.update)
    rows = [{"path": str(p), "size": m.size, "sha256": m.sha256} for p, m in zip(paths, wanted, strict=True)]
    show(rows, output, "\n".join(str(r["path"]) for r in rows))
    return 0
