"""Commands that run until they are ended: worker, archive, and the stand-ins of a cluster on one machine."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import yaml

from pearstep.transport import log_setup as logs

config_option = click.option(
    "--config", required=True, metavar="FILE", help="Settings (YAML), see docs/operators/logs.md."
)
check_option = click.option("--check", is_flag=True, help="Check the settings and exit.")


def _serve(
    config: str,
    check: bool,
    load: Callable[[str], Any],
    run: Callable[[Any], None],
    errors: tuple[type[Exception], ...],
) -> None:
    """Run a process on a settings file; what it raises of its own is one line and exit 2."""
    logs.configure()
    try:
        settings = load(config)
        if check:
            click.echo("settings are valid")
            return
        run(settings)
    except errors as err:
        click.echo(f"pearstep: {err}", err=True)
        sys.exit(2)


@click.command()
@config_option
@check_option
def worker(config: str, check: bool) -> None:
    """Run a machine's worker until it is killed."""
    from pearstep.worker.agent import run
    from pearstep.worker.folder import AgentRunningError
    from pearstep.worker.settings import WorkerError, load

    _serve(config, check, load, run, (WorkerError, AgentRunningError, TimeoutError))


@click.command()
@config_option
@check_option
def archive(config: str, check: bool) -> None:
    """Run an archive node until it is killed."""
    from pearstep.archive.frames import DamagedFrameError
    from pearstep.archive.service import run
    from pearstep.archive.settings import ArchiveError, load

    _serve(config, check, load, run, (ArchiveError, DamagedFrameError))


@click.group(hidden=True)
def standin() -> None:
    """The platform's services on one machine; started by `up`."""


def _settings(file: str) -> tuple[dict[str, Any], str, int]:
    raw = yaml.safe_load(Path(file).read_text())
    host, _, port = raw["bind"].rpartition(":")
    return raw, host, int(port)


@standin.command()
@click.argument("file")
def state(file: str) -> None:
    """A state service."""
    from pearstep.emulator.state_service import StateService

    logs.configure()
    raw, host, port = _settings(file)

    async def run() -> None:
        service = StateService(raw.get("file"), raw.get("rps", 400.0), raw.get("write_rps", 200.0), 16.0, 16)
        await service.run(host, port)

    asyncio.run(run())


@standin.command()
@click.argument("file")
def cloud(file: str) -> None:
    """A cloud."""
    import msgspec

    from pearstep.emulator.cloud import Cloud, MachineKind

    logs.configure()
    raw, host, port = _settings(file)
    kinds = msgspec.convert(raw["kinds"], list[MachineKind], strict=False)

    async def run() -> None:
        one = Cloud(Path(raw["directory"]), kinds, raw["worker"], raw.get("rps", 10.0), raw.get("lag_s", 0.5))
        loop, running = asyncio.get_running_loop(), asyncio.ensure_future(one.run(host, port))
        loop.add_signal_handler(signal.SIGTERM, running.cancel)
        try:
            await running
        except asyncio.CancelledError:
            pass
        finally:
            one.stop_all()

    asyncio.run(run())
