"""The folder of a cluster on one machine: which process listens where, and each one's settings."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml
from msgspec import Meta

from pearstep.emulator.cloud import MachineKind, free_port

CLUSTER, FEDERATION, KEYS = "cluster.yaml", "federation.yaml", "keys"
HISTORY = "history.yaml"


class TeamLimit(msgspec.Struct, forbid_unknown_fields=True):
    """A team, its guarantee and its limit (0: none)."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Cluster(msgspec.Struct, forbid_unknown_fields=True):
    """Content of ``cluster.yaml``: what clients need, and what the processes are started with.

    It is written once, at the first start; an operator may change it between two starts.
    """

    nodes: dict[str, str]
    mesh: dict[str, str]
    archives: dict[str, str]
    state: str
    cloud: str
    copies: Annotated[int, Meta(ge=1)] = 1
    durable_on: Annotated[int, Meta(ge=1)] = 1
    teams: list[TeamLimit] = []
    machines: list[MachineKind] = []
    archive: dict[str, Any] = {}
    worker: dict[str, Any] = {}
    # The name of this site towards peers, and where its controllers take links; none: it has no peers.
    site: str = ""
    links: dict[str, str] = {}
    federation: dict[str, Any] = {}
    # What differs from the defaults of `deploy/history.yaml`.
    history: dict[str, Any] = {}


class LayoutError(Exception):
    """The folder or its file is not usable; the text says what to do."""


def load(root: Path) -> Cluster:
    """Read a cluster's file."""
    file = root / CLUSTER
    try:
        return msgspec.convert(yaml.safe_load(file.read_text()), Cluster, strict=False)
    except FileNotFoundError:
        raise LayoutError(f"{file} is not there: start a cluster with `pearstep up {root}`") from None
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as err:
        raise LayoutError(f"{file}: {' '.join(str(err).split())}") from None


def make(  # noqa: PLR0913 - one parameter for each choice of the cluster's size
    root: Path, nodes: int, archives: int, machines: int, cpus: float, memory_gb: float, site: str = ""
) -> Cluster:
    """The cluster of a folder, made if it is not there yet; ``site`` names it towards peers."""
    file = root / CLUSTER
    if file.exists():
        return load(root)
    root.mkdir(parents=True, exist_ok=True)

    def at(prefix: str, count: int) -> dict[str, str]:
        return {f"{prefix}-{i}": f"127.0.0.1:{free_port()}" for i in range(count)}

    per_machine = max(cpus / machines, 1.0)
    copies = 1 if archives < 3 else 2
    cluster = Cluster(
        at("node", nodes),
        at("node", nodes),
        at("archive", archives),
        f"127.0.0.1:{free_port()}",
        f"127.0.0.1:{free_port()}",
        copies,
        copies,
        [TeamLimit("default")],
        [MachineKind("local", per_machine, max(memory_gb / machines, 0.5), max_instances=machines)],
    )
    if site:
        cluster.site, cluster.links = site, at("node", nodes)
    save(root, cluster)
    return cluster


def save(root: Path, cluster: Cluster) -> None:
    """Write the file, whole or not at all."""
    beside = root / (CLUSTER + ".new")
    beside.write_text(yaml.safe_dump(msgspec.to_builtins(cluster), sort_keys=False))
    os.replace(beside, root / CLUSTER)


TIMES = {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 20.0, "gang_peer_s": 4.0}


def write_settings(root: Path, cluster: Cluster) -> None:
    """Each process's own file, from the cluster's."""
    conf = root / "conf"
    conf.mkdir(exist_ok=True)
    zones = sorted({z for k in cluster.machines for z in k.zones}) or ["a"]
    for name, addr in cluster.nodes.items():
        text = [
            f'node = "{name}"',
            f'location = "{zones[0]}"',
            f'bind = "{addr}"',
            f'mesh_addr = "{cluster.mesh[name]}"',
        ]
        for other, mesh in cluster.mesh.items():
            if other != name:
                text += [
                    "[[others]]",
                    f'node = "{other}"',
                    f'peer_addr = "{mesh}"',
                    f'location = "{zones[0]}"',
                ]
        text += ["[endpoints]", f'cloud = "{cluster.cloud}"', f'state = "{cluster.state}"']
        text += ["[params]", f"nodes = {len(cluster.nodes)}", f"zones = {zones!r}".replace("'", '"')]
        for team in cluster.teams:
            text += ["[[params.teams]]"]
            text += [f"{k} = {v!r}".replace("'", '"') for k, v in msgspec.to_builtins(team).items()]
        text += ["[params.workers]", *(f"{k} = {v}" for k, v in TIMES.items()), "cancel_s = 20.0"]
        text += ["[params.state]", "rps = 400.0", "write_rps = 200.0", "value_kb = 16.0", "txn_ops = 16"]
        text += ["[params.cloud]", "rps = 10.0", "list_lag_s = 0.5"]
        (conf / f"{name}.toml").write_text("\n".join(text) + "\n")
    for name, addr in cluster.archives.items():
        (conf / f"{name}.yaml").write_text(
            yaml.safe_dump(
                {
                    "name": name,
                    "bind": addr,
                    "directory": str((root / name).resolve()),
                    "state": cluster.state,
                    "copies": cluster.copies,
                    "durable_on": cluster.durable_on,
                    "lease_s": 3.0,
                    "patience_s": 3.0,
                    **cluster.archive,
                }
            )
        )
    (conf / HISTORY).write_text(yaml.safe_dump(cluster.history))
    if cluster.site:
        (conf / FEDERATION).write_text(
            yaml.safe_dump(
                {
                    "keys": str((root / KEYS).resolve()),
                    "binds": cluster.links,
                    "archives": list(cluster.archives.values()),
                    **cluster.federation,
                }
            )
        )
    (conf / "cloud.yaml").write_text(
        yaml.safe_dump(
            {
                "bind": cluster.cloud,
                "directory": str((root / "machines").resolve()),
                "kinds": [msgspec.to_builtins(k) for k in cluster.machines],
                "worker": {
                    "nodes": cluster.nodes,
                    "archives": list(cluster.archives.values()),
                    # What goes home from a peer must be in the archive.
                    "checkpoints": "" if cluster.site else str((root / "checkpoints").resolve()),
                    **TIMES,
                    **cluster.worker,
                },
            }
        )
    )
    (conf / "state.yaml").write_text(
        yaml.safe_dump(
            {
                "bind": cluster.state,
                "file": str((root / "state" / "keys").resolve()),
            }
        )
    )
