"""`pearstep images`: folders that tasks need on their machine, kept in the archive."""

from __future__ import annotations

import secrets
import shutil
import tempfile
from pathlib import Path
from typing import Any

import click

from pearstep.archive.packs import pack_folder
from pearstep.archive.records import Key
from pearstep.archive.retention import IMAGE_CLASS
from pearstep.cli.common import NO, WRONG, Clients, command, fail, output, show
from pearstep.client.archive import digest
from pearstep.jobs.description import ImageName
from pearstep.worker.materials import IMAGE, IMAGE_FILE, SHORT, file_of


def versions(attempts: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The pushes of an image, the latest last."""
    found = [(a, f) for a in attempts if (f := file_of(a, IMAGE_FILE))]
    found.sort(key=lambda af: (af[0]["opened_us"], af[1]["sha256"]))
    return [
        {"image": f"{a['job']}@{f['sha256'][:SHORT]}", "bytes": f["size"], "pushed_us": a["opened_us"]}
        for a, f in found
    ]


@click.group()
def images() -> None:
    """Images: folders that tasks need, kept in the archive and fetched once by each machine."""


@images.command()
@click.argument("name")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--team", default="default", show_default=True, help="Whose quota it counts for.")
@output
@command
async def push(root: Path, name: str, folder: Path, team: str, output: str) -> int:
    """Push FOLDER as the image NAME; prints what to write as image.name. The same content is pushed once."""
    job = name if name.startswith(IMAGE) else IMAGE + name
    if not ImageName.match(job) or "@" in job:
        fail(f"{name!r}: a name has small letters, digits and . _ -, 61 at most", WRONG)
    clients = Clients(root)
    scratch = Path(tempfile.mkdtemp(prefix="pearstep-image-"))
    try:
        pack_folder(folder, scratch / IMAGE_FILE)
        sha, _ = digest(scratch / IMAGE_FILE)
        found = versions(await clients.archive.attempts(job) or [])
        if not found or not sha.startswith(found[-1]["image"].partition("@")[2]):
            await _push(clients, job, team, scratch)
            found = versions(await clients.archive.attempts(job) or [])
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    show(found[-1], output, found[-1]["image"])
    return 0


async def _push(clients: Clients, job: str, team: str, scratch: Path) -> None:
    """An image is a record like an attempt's, of a writer that nobody else is, with one file."""
    key = Key(job, 0, 1, f"push-{secrets.token_hex(6)}", 1)
    why = await clients.archive.keep(key, team, IMAGE_CLASS, scratch, IMAGE_FILE)
    if why:
        fail(why, NO)


@images.command("list")
@click.argument("name")
@output
@command
async def list_(root: Path, name: str, output: str) -> int:
    """List the versions of the image NAME, the one that is used without a version last."""
    job = name if name.startswith(IMAGE) else IMAGE + name
    rows = versions(await Clients(root).archive.attempts(job) or [])
    show(rows, output, "\n".join(f"{r['image']}\t{r['bytes']}" for r in rows))
    if not rows and output == "text":
        fail(f"the archive has no image {job}", NO)
    return 0 if rows else NO
