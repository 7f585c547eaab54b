"""A worker's settings: YAML, checked at start."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from pearstep.transport.settings_file import Address, NotNegative, Positive, read_settings


class WorkerError(Exception):
    """A setting is missing or wrong; the text is one line for the operator."""


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """One machine's agent. ``nodes`` are the controllers by name, ``archives`` any archive nodes.

    ``ship_ms`` is how long written bytes may lie before they are sent, ``spool_mb`` how many unconfirmed
    bytes are kept while the archive takes none, ``hold_s`` how long an ended task waits for its log to be
    safe before its end is reported. ``checkpoints`` is a folder that all machines share; without one, what
    tasks save goes to the archive. ``images_gb`` bounds the images that stay on the machine.
    """

    machine: Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$")]
    bind: Address
    directory: str
    nodes: dict[str, Address]
    type: str
    zone: str = ""
    spot: bool = False
    cpus: Positive = 1.0
    gpus: NotNegative = 0.0
    memory_gb: Positive = 1.0
    archives: list[Address] = []
    checkpoints: str = ""
    report_s: Positive = 2.0
    lease_s: Positive = 15.0
    gang_wait_s: Positive = 30.0
    gang_peer_s: Positive = 4.0
    ship_ms: Positive = 200.0
    chunk_kb: Annotated[float, Meta(gt=0, le=1024)] = 256.0
    spool_mb: Positive = 512.0
    hold_s: NotNegative = 5.0
    keep_s: Positive = 5.0
    images_gb: Positive = 20.0


def load(file: str) -> WorkerSettings:
    """Read and check a file; raises WorkerError with one line."""
    settings = read_settings(file, WorkerSettings, WorkerError)
    if not settings.nodes:
        raise WorkerError(f"{file}: `nodes` names no controller")
    return settings
