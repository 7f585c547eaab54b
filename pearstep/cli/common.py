"""What the commands share: the cluster's clients, errors with exit codes, output for people or as JSON."""

from __future__ import annotations

import asyncio
import functools
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from pearstep.client.archive import ArchiveClient, ArchiveUnreachableError
from pearstep.client.jobs import ClusterUnreachableError, JobsClient, RejectedError
from pearstep.jobs.description import DescriptionError
from pearstep.local.layout import Cluster, LayoutError, load
from pearstep.transport.http import Client

NO, WRONG, AWAY = 1, 2, 3


class Clients:
    """The clients of one cluster."""

    def __init__(self, root: Path) -> None:
        """Load the cluster's folder ``root`` and create clients for its services."""
        self.cluster: Cluster = load(root)
        self.http = Client(50)
        self.jobs = JobsClient(self.http, list(self.cluster.nodes.values()))
        self.archive = ArchiveClient(self.http, list(self.cluster.archives.values()))


def fail(why: str, code: int) -> NoReturn:
    """One line on standard error, and the exit code."""
    click.echo(f"pearstep: {why}", err=True)
    sys.exit(code)


def command(work: Callable[..., Coroutine[Any, Any, int | None]]) -> Callable[..., None]:
    """Run a coroutine as a command; what it raises becomes one line and a code."""

    @click.pass_obj
    @functools.wraps(work)
    def run(root: Path, /, **options: Any) -> None:
        try:
            sys.exit(asyncio.run(work(root, **options)) or 0)
        except (LayoutError, DescriptionError) as err:
            fail(str(err), WRONG)
        except RejectedError as err:
            fail(str(err), NO)
        except (ClusterUnreachableError, ArchiveUnreachableError) as err:
            fail(str(err), AWAY)

    return run


output = click.option(
    "--output", type=click.Choice(["text", "json"]), default="text", help="For people, or JSON for programs."
)


def show(value: Any, output: str, text: str) -> None:
    """Print facts."""
    click.echo(msgspec.json.encode(value).decode() if output == "json" else text)
