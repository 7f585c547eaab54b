"""An archive node's settings: YAML, checked at start."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from pearstep.archive.retention import Retention
from pearstep.transport.settings_file import Address, NotNegative, Positive, PositiveInt, read_settings


class ArchiveError(Exception):
    """A setting is missing or wrong; the text is one line for the operator."""


class ArchiveSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one archive node.

    ``state`` is the state service; without it the node stands alone. ``copies`` is on how many nodes each
    attempt is kept, ``durable_on`` on how many it must be durable before the worker is told so.
    """

    name: Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    bind: Address
    directory: str
    state: str = ""
    copies: PositiveInt = 1
    durable_on: PositiveInt = 1
    segment_mb: Positive = 64.0
    reserve_mb: NotNegative = 256.0
    quotas_mb: dict[str, Positive] = {}
    retention: Retention = msgspec.field(default_factory=Retention)
    lost_after_s: Positive = 30.0
    lease_s: Positive = 6.0
    patience_s: NotNegative = 10.0
    repair_mb_per_s: Positive = 20.0
    repair_pause_s: Positive = 5.0
    upkeep_pause_s: Positive = 2.0
    most_artefact_mb: Positive = 4096.0
    state_rps: Positive = 8.0
    state_write_rps: Positive = 2.0


def load(file: str) -> ArchiveSettings:
    """Read and check a file; raises ArchiveError with one line."""
    settings = read_settings(file, ArchiveSettings, ArchiveError)
    if settings.durable_on > settings.copies:
        raise ArchiveError(f"{file}: durable_on may be at most copies ({settings.copies})")
    if settings.copies > 1 and not settings.state:
        raise ArchiveError(f"{file}: copies on other nodes need the state service: set `state`")
    return settings
