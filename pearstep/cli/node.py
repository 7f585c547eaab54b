"""The command ``pearstep node``: runs a controller."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import sys
from typing import NoReturn

import click

from pearstep import __version__
from pearstep.controller.extension import CompositeExtension, Extension
from pearstep.controller.settings import Settings, SettingsError, load

# The exit code for settings that are missing or wrong.
EXIT_BAD_SETTINGS = 2

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--config", "config", required=True, metavar="FILE", help="The platform's settings (TOML).")
@click.option(
    "--tuning",
    "tuning",
    metavar="FILE",
    default=None,
    help="The operators' own settings (YAML); also PEARSTEP_TUNING. Everything has a default.",
)
@click.option(
    "--federation",
    "federation",
    metavar="FILE",
    default=None,
    help="Lend to peers and borrow from them by these settings (YAML); also PEARSTEP_FEDERATION.",
)
@click.option(
    "--history",
    "history",
    metavar="FILE",
    default=None,
    help="Let finished jobs leave their records, by these settings (YAML); also PEARSTEP_HISTORY.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(__version__, prog_name="pearstep")
def main(config: str, tuning: str | None, federation: str | None, history: str | None, check: bool) -> None:
    """Run a pearstep controller node until it is killed.

    LOG_LEVEL (error, info or debug) says how much is logged to standard error.
    """
    settings = _load_settings(config, tuning)
    _set_up_logging()
    extension = _load_extensions(
        settings,
        history or os.environ.get("PEARSTEP_HISTORY"),
        federation or os.environ.get("PEARSTEP_FEDERATION"),
    )
    if check:
        click.echo("settings are valid")
        return
    _run(settings, extension)


def _refuse(reason: object) -> NoReturn:
    """Say in one line what is wrong, and exit."""
    click.echo(f"pearstep: {reason}", err=True)
    sys.exit(EXIT_BAD_SETTINGS)


def _load_settings(config: str, tuning: str | None) -> Settings:
    try:
        return load(config, tuning)
    except SettingsError as err:
        _refuse(err)


def _set_up_logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info")
    if level not in LEVELS:
        _refuse(f"LOG_LEVEL must be one of {', '.join(LEVELS)}, not {level!r}")
    logging.basicConfig(
        level=LEVELS[level], stream=sys.stderr, format="%(levelname).1s %(name)s: %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def _load_extensions(
    settings: Settings, history_file: str | None, federation_file: str | None
) -> Extension | None:
    """Load what is configured beside the controller itself."""
    found = [_load_history(history_file), _load_federation(federation_file, settings)]
    extensions = [extension for extension in found if extension is not None]
    return CompositeExtension(extensions) if extensions else None


def _load_history(file: str | None) -> Extension | None:
    """Load the compaction of finished jobs, if it is configured."""
    if not file:
        return None
    from pearstep.history.extension import CompactionExtension
    from pearstep.history.settings import HistorySettingsError
    from pearstep.history.settings import load as load_history

    try:
        return CompactionExtension(load_history(file))
    except HistorySettingsError as err:
        _refuse(err)


def _load_federation(file: str | None, settings: Settings) -> Extension | None:
    """Load the federation, if it is configured; a controller without it imports nothing of it."""
    if not file:
        return None
    from pearstep.federation.extension import Federation
    from pearstep.federation.keys import SiteKeyError
    from pearstep.federation.settings import FederationError
    from pearstep.federation.settings import load as load_federation

    try:
        federation = load_federation(file)
        if settings.node not in federation.binds:
            raise FederationError(f"{file}: `binds` has no address for this node, {settings.node}")
        return Federation(federation)
    except (FederationError, SiteKeyError) as err:
        _refuse(err)


def _run(settings: Settings, extension: Extension | None) -> None:
    from pearstep.controller.controller import Controller

    gc.freeze()
    # The replica of the state is large and lives long: to go through it often costs more than it frees.
    gc.set_threshold(20_000, 20, 50)
    asyncio.run(Controller(settings, extension).run())
