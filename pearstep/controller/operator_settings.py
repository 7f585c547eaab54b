"""The operators' own settings file (YAML): how this deployment schedules, rents and detects failures."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml
from msgspec import Meta

from pearstep.controller.settings_error import SettingsError, convert
from pearstep.transport.settings_file import NotNegative, Positive, PositiveInt

FILE_VARIABLE = "PEARSTEP_TUNING"
# Sections that a deployment may override.
_SECTIONS = ("backfilling", "renting", "guarding", "leading")
# Jobs are queued by their length; there is one queue more than there are bounds.
QUEUE_BOUNDS = 3


class Backfilling(msgspec.Struct, forbid_unknown_fields=True):
    """The parameters of backfilling."""

    bounds_s: list[Positive] = msgspec.field(default_factory=lambda: [100.0, 1000.0, 10_000.0])
    initial_delay_s: NotNegative = 20.0
    batch: PositiveInt = 100
    threshold: NotNegative = 0.25
    overrun: Positive = 0.25
    backlog: PositiveInt = 12
    spare_s: NotNegative = 4.0
    urgent_s: NotNegative = 100.0
    # The time after its submission within which every job is to start, whatever its priority; 0: no limit.
    begin_s: NotNegative = 240.0


class Renting(msgspec.Struct, forbid_unknown_fields=True):
    """When machines are rented and returned: scale out and in."""

    idle_s: Positive = 40.0
    most_at_once: Annotated[int, Meta(ge=1, le=50)] = 50
    most_machines: PositiveInt = 5000
    settle_s: NotNegative = 2.0
    refused_s: Positive = 15.0
    boot_factor: Positive = 3.0
    boot_margin_s: Positive = 15.0
    patience: NotNegative = 1.0
    move_s: NotNegative = 4.0
    # The highest price of a machine, as a multiple of the cheapest one of its kind; 0: no limit.
    dearest: NotNegative = 0.0


class Guarding(msgspec.Struct, forbid_unknown_fields=True):
    """When a machine or a job is considered faulty."""

    silent_s: Positive = 10.0
    sick_errors: PositiveInt = 2
    suspect_machines: PositiveInt = 3
    retry_after_s: PositiveInt = 1


class Leading(msgspec.Struct, forbid_unknown_fields=True):
    """Leases of the controllers, and the intervals of their loops."""

    lease_s: Positive = 6.0
    takeover_s: Positive = 3.0
    step_ms: Positive = 50.0
    follow_ms: Positive = 120.0
    refresh_ms: Positive = 150.0
    # Whether machines are assigned to shards of their own zone; has an effect only when a cluster is new.
    parts_within_zones: bool = True
    # A loop pauses after a pass for ``pace`` times its duration, at most ``longest_rest_ms``: this leaves
    # processor time for heartbeats, users and leases.
    pace: Positive = 39.0
    longest_rest_ms: Positive = 1000.0


class Tuning(msgspec.Struct, forbid_unknown_fields=True):
    """The operators' settings file. Every setting has a default.

    ``deployments`` holds settings that override the others in one deployment; the one that has the platform's
    zones is used.
    """

    deployments: list[Deployment] = []

    backfilling: Backfilling = msgspec.field(default_factory=Backfilling)
    renting: Renting = msgspec.field(default_factory=Renting)
    guarding: Guarding = msgspec.field(default_factory=Guarding)
    leading: Leading = msgspec.field(default_factory=Leading)


class Deployment(msgspec.Struct, forbid_unknown_fields=True):
    """Overrides for the deployment with these zones: sections as in the file itself."""

    zones: list[str]
    name: str = ""
    backfilling: dict[str, Any] = {}
    renting: dict[str, Any] = {}
    guarding: dict[str, Any] = {}
    leading: dict[str, Any] = {}


def load_tuning(file: str | None, zones: list[str]) -> Tuning:
    """Read and check the operators' file, with the overrides of the deployment that has these zones.

    Args:
        file: The file; by default the one in the environment. Without any, all settings have their defaults.
        zones: The platform's zones.

    Raises:
        SettingsError: The file can't be read, or a setting is wrong.
    """
    name = file or os.environ.get(FILE_VARIABLE) or ""
    raw = _read(name) if name else {}
    tuning = convert(raw, Tuning, name)
    for deployment in tuning.deployments:
        if sorted(deployment.zones) == sorted(zones):
            tuning = _merge(raw, deployment, name)
            break
    bounds = tuning.backfilling.bounds_s
    if len(bounds) != QUEUE_BOUNDS or sorted(bounds) != bounds:
        raise SettingsError(f"{name}: backfilling.bounds_s must be three ascending bounds")
    return tuning


def _read(name: str) -> Any:
    try:
        return yaml.safe_load(Path(name).read_text()) or {}
    except (OSError, yaml.YAMLError) as err:
        raise SettingsError(f"{name}: {' '.join(str(err).split())}") from err


def _merge(raw: dict[str, Any], deployment: Deployment, name: str) -> Tuning:
    """Overlay the file's sections with a deployment's."""
    merged = {section: {**raw.get(section, {}), **getattr(deployment, section)} for section in _SECTIONS}
    return convert(merged, Tuning, f"{name}: deployment {deployment.name}")
