"""The platform's settings file (TOML): a controller's node, its peers, and the limits of its environment."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from pearstep.controller.settings_error import SettingsError, convert, parse_address
from pearstep.transport.settings_file import NotNegative, Positive, PositiveInt


class Other(msgspec.Struct):
    """Another controller node."""

    node: str
    peer_addr: str
    location: str = ""


class Endpoints(msgspec.Struct):
    """Where the cloud and the state service are."""

    cloud: str
    state: str


class TeamSettings(msgspec.Struct):
    """A team's guaranteed quota and quota limit."""

    name: str
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


class Objective(msgspec.Struct, rename={"cls": "class"}):
    """A service-level objective on starting or finishing."""

    kind: str
    within_s: float = 0.0
    share: float = 0.0
    cls: str = ""


class WorkerSettings(msgspec.Struct):
    """Intervals and timeouts of the agents, in seconds."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class StateSettings(msgspec.Struct):
    """Limits of the state service: requests and changes a second, value size, changes per transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: PositiveInt


class CloudSettings(msgspec.Struct):
    """Limits of the cloud: requests a second, and how late its list of machines may be, in seconds."""

    rps: Positive
    list_lag_s: NotNegative


class Resources(msgspec.Struct):
    """Resource limits of this process."""

    cpu: Positive = 1.0
    ram_mb: Positive = 256.0
    fd_limit: PositiveInt = 1024


class Params(msgspec.Struct):
    """Settings that all nodes share."""

    nodes: PositiveInt
    zones: list[str]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    teams: list[TeamSettings] = []
    objectives: list[Objective] = []
    resources: Resources = msgspec.field(default_factory=Resources)
    skew_ms: NotNegative = 0.0


class Platform(msgspec.Struct):
    """The platform's settings file."""

    node: str
    bind: str
    endpoints: Endpoints
    params: Params
    location: str = ""
    mesh_addr: str = ""
    others: list[Other] = []


def load_platform(file: str) -> Platform:
    """Read and check the platform's file.

    Raises:
        SettingsError: The file can't be read, or a setting is wrong.
    """
    try:
        data = tomllib.loads(Path(file).read_text())
    except (OSError, ValueError) as err:
        raise SettingsError(f"{file}: {err}") from err
    return convert(data, Platform, file)


def check_platform(platform: Platform, file: str) -> None:
    """Check what the types of the fields can't express; raise SettingsError if a setting is wrong."""
    for text in (platform.bind, platform.endpoints.cloud, platform.endpoints.state):
        parse_address(text)
    if platform.mesh_addr:
        parse_address(platform.mesh_addr)
    for other in platform.others:
        parse_address(other.peer_addr)
    if platform.node in {other.node for other in platform.others}:
        raise SettingsError(f"{file}: others names this node, {platform.node}")
