"""`pearstep keys`: a site's authority and certificates, and whom it trusts."""

from __future__ import annotations

import functools
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from pearstep.cli.common import WRONG, fail, output, show
from pearstep.federation.keys import Issued, Keys, SiteKeyError

folder = click.option(
    "--keys", "folder", default="keys", show_default=True, metavar="DIR", help="The site's keys."
)


def plain(work: Callable[..., None]) -> Callable[..., None]:
    """Trouble with keys becomes one line and a code."""

    @functools.wraps(work)
    def run(**options: Any) -> None:
        try:
            work(**options)
        except (SiteKeyError, OSError, ValueError) as err:
            fail(str(err), WRONG)

    return run


def line(one: Issued) -> str:
    """A certificate for people."""
    return f"{one.serial}  {one.state:8} until {one.not_after[:16]} ({one.days_left:.1f} days)"


@click.group()
def keys() -> None:
    """Keys for links to peers."""


@keys.command()
@click.argument("name")
@folder
@plain
def init(name: str, folder: str) -> None:
    """Make the authority of the site NAME and its first certificate."""
    click.echo(line(Keys.init(folder, name).issue()))


@keys.command()
@click.option("--days", type=click.FloatRange(min=0.01, max=825), default=90.0, show_default=True)
@folder
@plain
def issue(days: float, folder: str) -> None:
    """Issue a certificate and use it from the next handshake on."""
    click.echo(line(Keys(folder).issue(days)))


@keys.command()
@click.option("--days", type=click.FloatRange(min=0.01, max=825), default=90.0, show_default=True)
@click.option(
    "--revoke", "revokes", is_flag=True, help="Revoke all earlier ones at once: links made with them end."
)
@folder
@plain
def rotate(days: float, revokes: bool, folder: str) -> None:
    """Issue the next certificate; earlier ones stay valid, so that no link pauses."""
    site = Keys(folder)
    new = site.issue(days)
    for old in site.show():
        if revokes and old.serial != new.serial and old.state == "earlier":
            site.revoke(old.serial)
    click.echo(line(new))


@keys.command()
@click.argument("serial")
@folder
@plain
def revoke(serial: str, folder: str) -> None:
    """Revoke the certificate SERIAL; give `revoked.pem` to the peers."""
    Keys(folder).revoke(serial)
    click.echo(f"revoked; give {Path(folder) / 'revoked.pem'} to the peers")


@keys.command()
@click.argument("name")
@click.argument("authority", type=click.Path(exists=True, dir_okay=False))
@click.option("--revoked", type=click.Path(exists=True, dir_okay=False), help="The peer's revoked.pem.")
@folder
@plain
def trust(name: str, authority: str, revoked: str | None, folder: str) -> None:
    """Trust the file AUTHORITY as that of the peer NAME."""
    Keys(folder).trust(name, Path(authority).read_bytes(), Path(revoked).read_bytes() if revoked else None)


@keys.command()
@click.argument("name")
@folder
@plain
def distrust(name: str, folder: str) -> None:
    """Trust nobody as the peer NAME any more."""
    Keys(folder).distrust(name)


@keys.command("show")
@folder
@output
@plain
def show_(folder: str, output: str) -> None:
    """Show this site's certificates, its peers, and what needs seeing to."""
    site = Keys(folder)
    found, peers, warnings = site.show(), site.peers(), site.warnings()
    text = [f"site {site.site}", *map(line, found), f"peers: {', '.join(peers) or 'none'}"]
    text += [f"warning: {w}" for w in warnings]
    show({"site": site.site, "issued": found, "peers": peers, "warnings": warnings}, output, "\n".join(text))
