"""Controllers of two versions beside each other, in simulated time, rolled one after the other under load.

    python -m measurements.mixed_versions --before DIR [--seeds N] [--first N] [--copies] [--slow-links]

``DIR`` is a checkout of the other version; its package is loaded under another name. Each seed is played in
both orders: from the other version to this one, and back. ``--copies``: direct commands that were answered
arrive once more; a controller of a version without a guard breaks rules then. Prints one JSON line; exits
with 1 if a rule was broken.
"""

from __future__ import annotations

import importlib
import os
import random
import shutil
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click
import msgspec

from measurements.simulation.built import Node, Setup
from measurements.simulation.clock import Clock, Life, VirtualLoop
from measurements.simulation.cluster import Cluster, Result, run
from measurements.simulation.faults import Fault
from measurements.simulation.net import RigServer

# The other version's package, as it is loaded here.
BEFORE = "pearstep_before"
FROM_S, BETWEEN_S, BACK_S, SETTLE_S = 25.0, 12.0, (0.2, 3.0, 8.0), 20.0
ORDERS = ("forward", "back")


def copy_before(checkout: str, folder: Path) -> None:
    """Copy the package of a checkout into a folder under its other name."""
    shutil.copytree(
        Path(checkout) / "pearstep", folder / BEFORE, ignore=shutil.ignore_patterns("__pycache__")
    )
    for file in (folder / BEFORE).rglob("*.py"):
        text = file.read_text()
        file.write_text(
            text.replace("from pearstep", f"from {BEFORE}").replace("import pearstep", f"import {BEFORE}")
        )


def before(module: str) -> Any:
    """Return a module of the other version."""
    return importlib.import_module(f"{BEFORE}.{module}")


class MixedCluster(Cluster):
    """A cluster whose controllers change their version with their second life."""

    order = ORDERS[0]

    def __init__(self, setup: Setup, loop: VirtualLoop) -> None:
        super().__init__(setup, loop)
        before("transport.clock").time = Clock(loop)

    def controller(self, node: Node, life: Life) -> Any:
        """The controller of a node's new life."""
        is_first = node.lives == 1
        if is_first != (self.order == "forward"):
            return super().controller(node, life)
        settings, history = before("controller.settings"), before("history.settings")
        platform = msgspec.convert(self.platform_file(node), settings.Platform, strict=False)
        extension = before("history.extension").CompactionExtension(
            history.HistorySettings(rest_s=20, keep=4, batch=4)
        )
        return before("controller.controller").Controller(
            settings.Settings(platform, settings.Tuning()),
            extension,
            self.client(node),
            lambda handler: RigServer(self.net, life, handler),
        )


class BackCluster(MixedCluster):
    """The same, from this version to the other one."""

    order = ORDERS[1]


def setup_of(seed: int, copies: bool, slow_links: bool) -> Setup:
    """What a seed stands for: each controller ends once and is back with the other version."""
    rng = random.Random(f"mixed {seed}")
    nodes = rng.choice([3, 3, 5])
    faults = [
        Fault("node_crash", FROM_S + BETWEEN_S * n + rng.uniform(0, 4), who=[n], back_s=rng.choice(BACK_S))
        for n in range(nodes)
    ]
    rolled_s = FROM_S + BETWEEN_S * nodes
    faults += [Fault("cancel_now", rng.uniform(FROM_S, rolled_s), count=4) for _ in range(3)]
    if slow_links:
        faults += [Fault("slow_links", rng.uniform(FROM_S, rolled_s), 10.0)]
    if copies:
        faults += [Fault("command_copies", FROM_S - 10, rolled_s, share=0.6, late_s=(0.3, 30.0))]
    calm_s = rolled_s + SETTLE_S
    return Setup(
        seed,
        nodes=nodes,
        zones=rng.choice([1, 2]),
        lease_s=10.0,
        load=0.5,
        faults=sorted(faults, key=lambda fault: fault.at_s),
        calm_s=calm_s,
        until_s=calm_s + 220.0,
    )


class Played(msgspec.Struct, frozen=True):
    """One run: the folder of the other version's package, a seed, an order, and what happens besides."""

    folder: str
    seed: int
    order: str
    copies: bool
    slow_links: bool


def play(played: Played, log: bool = False) -> tuple[Result, list[str]]:
    """Play a seed in one order."""
    if played.folder not in sys.path:
        sys.path.insert(0, played.folder)
    setup = setup_of(played.seed, played.copies, played.slow_links)
    return run(setup, log, MixedCluster if played.order == ORDERS[0] else BackCluster)


def _result(played: Played) -> Result:
    return play(played)[0]


@click.command()
@click.option("--before", "checkout", required=True, help="A checkout of the other version.")
@click.option("--seeds", default=10, help="How many seeds.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--copies", is_flag=True, help="Copies of answered commands arrive.")
@click.option("--slow-links", is_flag=True, help="Messages take up to 0.25 s longer for 10 s.")
@click.option("--log", is_flag=True, help="Only the first seed, forward, with its trace.")
@click.option("--jobs", default=os.cpu_count() or 1, help="Processes.")
def main(checkout: str, seeds: int, first: int, copies: bool, slow_links: bool, log: bool, jobs: int) -> None:
    """Play seeds in both orders and judge them."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        arguments = [sys.executable, "-m", "measurements.mixed_versions", *sys.argv[1:]]
        os.execve(sys.executable, arguments, {**os.environ, "PYTHONHASHSEED": "0"})
    with tempfile.TemporaryDirectory(prefix="mixed-versions-") as folder:
        copy_before(checkout, Path(folder))
        if log:
            result, trace = play(Played(folder, first, ORDERS[0], copies, slow_links), log=True)
            click.echo("\n".join(trace), err=True)
            results = {(first, ORDERS[0]): result}
        else:
            numbers = range(first, first + seeds)
            played = [Played(folder, n, order, copies, slow_links) for n in numbers for order in ORDERS]
            with ProcessPoolExecutor(jobs) as pool:
                results = {
                    (p.seed, p.order): r for p, r in zip(played, pool.map(_result, played), strict=True)
                }
    failed = {which: result for which, result in results.items() if result.broken}
    for (seed, order), result in failed.items():
        click.echo(f"seed {seed} {order}: {len(result.broken)} broken, first: {result.broken[0]}", err=True)
    rules = Counter(text.partition(":")[0] for result in failed.values() for text in result.broken)
    summary = {"measurement": "mixed_versions", "simulated": True, "copies": copies, "runs": len(results)}
    totals = {
        name: sum(getattr(result, name) for result in results.values())
        for name in ("jobs", "finished", "starts", "killed")
    }
    summary |= {"failed": len(failed), "rules_broken": dict(rules), **totals}
    click.echo(msgspec.json.encode(summary).decode())
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
