"""Commands on jobs: submit, status, cancel."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
import msgspec

from pearstep.archive.sets import UnsettledError, digest_of
from pearstep.cli.common import NO, Clients, command, fail, output, show
from pearstep.cli.logs import follow_job, publish
from pearstep.cli.peers import describe, loan_of
from pearstep.client.sets import Sets
from pearstep.jobs.description import Description, DescriptionError, parse

FINAL = ("done", "cancelled")


async def wait(clients: Clients, ref: str) -> str:
    """The job's final state."""
    while True:
        status = await clients.jobs.status(ref)
        if status is not None and status.state in FINAL:
            return status.state
        await asyncio.sleep(0.5)


async def pin(clients: Clients, job: Description) -> Description:
    """Return the job with the digests of what it is built from.

    Its inputs must be finished: what starts later than others of its tasks must see the same files.
    """
    pinned = []
    for one in job.run.inputs:
        found = digest_of(await publish(clients, one.ref))
        if one.digest not in ("", found):
            fail(f"the published files of {one.ref} are {found}, not {one.digest}", NO)
        pinned.append(msgspec.structs.replace(one, digest=found))
    if not pinned:
        return job
    return msgspec.structs.replace(job, run=msgspec.structs.replace(job.run, inputs=pinned))


async def inputs_done(clients: Clients, job: Description) -> None:
    """Wait until everything that a job is built from is over."""
    for one in job.run.inputs:
        state = await wait(clients, one.ref)
        if state != "done":
            fail(f"{one.ref}, which this job is built from, was {state}", NO)


async def settled(clients: Clients, job: Description) -> None:
    """Wait until the files of its inputs are all in the archive."""
    sets = Sets(clients.archive)
    for one in job.run.inputs:
        while True:
            try:
                await sets.publish(one.ref)
                break
            except UnsettledError as err:
                click.echo(f"waiting for the files of {one.ref}: {err}", err=True)
                await asyncio.sleep(1.0)


def read(file: str) -> str:
    """A description's text."""
    try:
        return Path(file).read_text()
    except OSError as err:
        raise DescriptionError(f"{file}: {err.strerror}") from None


async def submit_and_follow(clients: Clients, file: str) -> int:
    """Submit a job and show all its tasks' output until it is over."""
    job = await pin(clients, parse(read(file), Path(file).parent, file))
    ref = await clients.jobs.submit(job, clients.archive)
    click.echo(f"submitted {ref}", err=True)
    waiting = asyncio.ensure_future(wait(clients, ref))
    await follow_job(clients, ref, None, "stdout", waiting)
    state = await waiting
    click.echo(f"{ref} {state}", err=True)
    return 0 if state == "done" else NO


@click.command()
@click.argument("file")
@click.option(
    "--wait", "waits", is_flag=True, help="Return once the job is over; exit 1 if it was cancelled."
)
@click.option("--follow", is_flag=True, help="Show its output until it is over.")
@click.option("--after", is_flag=True, help="Wait until the jobs that it is built from are done.")
@click.option("--ref", help="The job's id (req-...); the same id submits once, however often it is repeated.")
@output
@command
async def submit(  # noqa: PLR0913 - one parameter for each option of the command
    root: Path, file: str, waits: bool, follow: bool, after: bool, ref: str | None, output: str
) -> int:
    """Submit the job that FILE describes (YAML, see docs/jobs.md)."""
    clients = Clients(root)
    job = parse(read(file), Path(file).parent, file)
    if after:
        await inputs_done(clients, job)
        await settled(clients, job)
    if follow:
        return await submit_and_follow(clients, file)
    job = await pin(clients, job)
    ref = await clients.jobs.submit(job, clients.archive, ref)
    state = await wait(clients, ref) if waits else "queued"
    show({"ref": ref, "state": state}, output, ref if not waits else f"{ref} {state}")
    return 0 if state != "cancelled" else NO


@click.command()
@click.argument("ref")
@output
@command
async def status(root: Path, ref: str, output: str) -> int:
    """Tell the state of the job REF and its attempts."""
    clients = Clients(root)
    found = await clients.jobs.status(ref)
    if found is None:
        show({"ref": ref, "state": None}, output, f"{ref}: no such job")
        return NO
    look = await clients.archive.look(ref)
    attempts = look.attempts if look is not None else []
    lines = [f"{ref} {found.state}, {found.done} done, {found.running} running"]
    for a in attempts:
        how = a["cause"] or a["state"]
        code = "" if a["code"] is None else f" ({a['code']})"
        lines.append(f"  task {a['task']} attempt {a['attempt']} on {a['machine']}: {how}{code}")
    facts = {"ref": ref, "state": found.state, "done": found.done, "running": found.running}
    loan = await loan_of(clients, ref) if clients.cluster.site else None
    if loan is not None:
        facts["loan"] = loan
        lines.insert(1, f"  {describe(loan)}")
    show(
        {**facts, "attempts": attempts},
        output,
        "\n".join(lines),
    )
    return 0


@click.command()
@click.argument("ref")
@output
@command
async def cancel(root: Path, ref: str, output: str) -> int:
    """Cancel the job REF; tells what it is then (a job that is done stays done)."""
    found = await Clients(root).jobs.cancel(ref)
    if found is None:
        show({"ref": ref, "state": None}, output, f"{ref}: no such job")
        return NO
    show({"ref": ref, "state": found.state}, output, f"{ref} {found.state}")
    return 0 if found.state == "cancelled" else NO
