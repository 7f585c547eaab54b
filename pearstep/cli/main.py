"""The command line: one group of commands.

Exit codes: 0 done, 1 the answer is no (a job that was cancelled, no such job), 2 wrong use or settings, 3 the
cluster does not answer.
"""

from __future__ import annotations

import os
from importlib import import_module
from pathlib import Path

import click

from pearstep import __version__

# Commands are imported when they are used: a node must not carry the rest.
COMMANDS = {
    "node": ("node", "main"),
    "worker": ("services", "worker"),
    "archive": ("services", "archive"),
    "standin": ("services", "standin"),
    "up": ("up", "up"),
    "submit": ("jobs", "submit"),
    "status": ("jobs", "status"),
    "cancel": ("jobs", "cancel"),
    "logs": ("logs", "logs"),
    "artefacts": ("logs", "artefacts"),
    "images": ("images", "images"),
    "keys": ("keys", "keys"),
    "state": ("state", "state"),
    "peers": ("peers", "peers"),
    "loans": ("peers", "loans"),
}
ORDER = list(COMMANDS)


class Group(click.Group):
    """Commands by name, imported on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the commands that the help text lists, in order."""
        return [name for name in ORDER if name != "standin"]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return the command of this name; None if there is none."""
        found = COMMANDS.get(cmd_name)
        if found is None:
            return None
        command = getattr(import_module(f".{found[0]}", __package__), found[1])
        assert isinstance(command, click.Command)
        return command


@click.group(cls=Group, context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--cluster",
    metavar="DIR",
    default=lambda: os.environ.get("PEARSTEP_CLUSTER", "cluster"),
    help="The cluster's folder, made by `up`; also PEARSTEP_CLUSTER. Default: ./cluster",
)
@click.version_option(__version__, prog_name="pearstep")
@click.pass_context
def main(ctx: click.Context, cluster: str) -> None:
    """pearstep, a cluster scheduler.

    Begin with `pearstep up DIR`, which starts a whole cluster on this machine.
    """
    ctx.obj = Path(cluster)
