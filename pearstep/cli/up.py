"""`pearstep up`: the whole cluster on one machine."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import click

from pearstep.cli.common import AWAY, WRONG, Clients, fail
from pearstep.local.layout import KEYS, Cluster, LayoutError, make
from pearstep.local.supervisor import Supervisor
from pearstep.transport import log_setup as logs

# As many as `renting.most_machines` allows by default; what one computer bears is far less.
MOST_MACHINES = 5000


@click.command()
@click.argument("directory")
@click.option("--nodes", type=click.IntRange(1, 9), default=1, help="Controllers (at the first start).")
@click.option("--archives", type=click.IntRange(1, 9), default=1, help="Archive nodes (at the first start).")
@click.option(
    "--machines",
    type=click.IntRange(1, MOST_MACHINES),
    default=2,
    help="Workers at most (at the first start).",
)
@click.option("--site", default="", help="Name this site towards peers (at the first start); makes its keys.")
@click.option("--job", metavar="FILE", help="Submit this job, show its log, and go on.")
@click.option("--once", is_flag=True, help="With --job: end everything once the job is over.")
def up(  # noqa: PLR0913 - one parameter for each option of the command
    directory: str, nodes: int, archives: int, machines: int, site: str, job: str | None, once: bool
) -> None:
    """Start state service, cloud, archive, controllers and workers in DIRECTORY.

    Everything that was started ends with this command (Ctrl-C). Started again, the cluster goes on with
    the jobs that it had.
    """
    logs.configure()
    root = Path(directory)
    memory_gb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    try:
        cluster = make(
            root, nodes, archives, machines, float(os.cpu_count() or 1), round(memory_gb * 0.75, 1), site
        )
        if cluster.site:
            _keys(root / KEYS, cluster.site)
    except LayoutError as err:
        fail(str(err), WRONG)
    sys.exit(asyncio.run(_run(root, cluster, job, once)))


def _keys(folder: Path, site: str) -> None:
    """The site's keys, made at its first start."""
    from pearstep.federation.keys import Keys, SiteKeyError

    try:
        if not (folder / "authority.pem").exists():
            Keys.init(folder, site).issue()
    except SiteKeyError as err:
        fail(str(err), WRONG)


async def _run(root: Path, cluster: Cluster, job: str | None, once: bool) -> int:
    supervisor = Supervisor(root, cluster)
    loop, me = asyncio.get_running_loop(), asyncio.current_task()
    assert me is not None
    for sig in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(sig, me.cancel)
    try:
        late = await supervisor.bring_up()
        if late:
            fail(f"not ready after 30 s: {', '.join(late)}; see {root}/logs/", AWAY)
        for name, addr in {
            **cluster.nodes,
            **cluster.archives,
            "state": cluster.state,
            "cloud": cluster.cloud,
            **{f"link {name}": addr for name, addr in cluster.links.items()},
        }.items():
            click.echo(f"{name:12} {addr}", err=True)
        click.echo(f"up; in another terminal: pearstep --cluster {root} submit FILE", err=True)
        watching = asyncio.ensure_future(supervisor.watch())
        code = 0
        if job is not None:
            from pearstep.cli.jobs import submit_and_follow

            code = await submit_and_follow(Clients(root), job)
        if job is None or not once:
            await watching
        watching.cancel()
        return code
    except asyncio.CancelledError:
        return 130
    finally:
        click.echo("ending what was started", err=True)
        supervisor.end()
