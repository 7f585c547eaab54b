"""Case: a controller cut from the state service and its peers starts tasks of jobs that are cancelled."""

from __future__ import annotations

import asyncio
import sys
import time
import zlib
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standins.cloud import Machine, Task
from review.standins.padron import PADRON_FLEET
from review.standins.rig import CaseError, Node, Proxy, Rig, job, run_case, trouble

JOBS = 6
CUT = 1
CUT_S = 15.0
FIELDS: dict[str, Any] = {"holder": "agrimensura", "cohort": "publicar", "vcpus": 20.0, "memoryGb": 40.0}


class Cut:
    """The connections of one controller with the state service and with the other controllers."""

    def __init__(self, rig: Rig, node: Node) -> None:
        """Put a proxy into each of them; call it before the controllers are started."""
        self.rig, self.node = rig, node
        self.state = Proxy("")
        self.to_node = Proxy(node.mesh)
        self.from_node = {other.name: Proxy(other.mesh) for other in rig.nodes if other is not node}

    @property
    def proxies(self) -> list[Proxy]:
        """All proxies."""
        return [self.state, self.to_node, *self.from_node.values()]

    async def lay(self) -> None:
        """Start the proxies and name them in the settings."""
        for proxy in self.proxies:
            await proxy.start()
        self.node.state = self.state.address
        for other in self.rig.nodes:
            if other is not self.node:
                other.peers[self.node.name] = self.to_node.address
                self.node.peers[other.name] = self.from_node[other.name].address

    def hold(self, held: bool) -> None:
        """Hold all packets back, or let them go on."""
        self.rig.record("cut begins" if held else "cut ends", node=self.node.name)
        for proxy in self.proxies:
            if held:
                proxy.open.clear()
            else:
                proxy.open.set()


async def play(rig: Rig) -> bool:
    """Return whether the rule was broken."""
    node, other = rig.nodes[CUT], rig.nodes[2]
    told: dict[str, float] = {}
    late: list[str] = []

    def watch(event: str, machine: Machine, task: Task) -> None:
        ref = task.parcel.split("/")[0]
        if event == "started" and ref in told:
            after = time.monotonic() - told[ref]
            late.append(task.parcel)
            rig.record("started after the cancellation", task=task.parcel, seconds_after=f"{after:.3f}")

    rig.region.on_task.append(watch)
    for _ in range(JOBS):
        rig.cloud.skip_names(lambda name: zlib.crc32(name.encode()) % len(rig.nodes) != CUT)
        machine = await rig.cloud.add("chacra", "sala-prado", False)
        machine.images.add("img-1")
        await asyncio.sleep(PADRON_FLEET.workers["report_s"] / JOBS)
    await asyncio.sleep(6)
    refs = [f"req-{number:06d}" for number in range(1, JOBS + 1)]
    await asyncio.gather(*(rig.submit(job(ref, **FIELDS, reckonS=8.0), 8.0, node) for ref in refs))
    await asyncio.sleep(0.3)
    if trouble():
        CUTS[0].hold(True)

    async def cancel(ref: str) -> None:
        answer = await rig.cancel(ref, other)
        if answer["stage"] == "withdrawn":
            told[ref] = time.monotonic()

    await asyncio.gather(*(cancel(ref) for ref in refs))
    if not told:
        raise CaseError("no job was cancelled")
    await asyncio.sleep(CUT_S)
    if trouble():
        CUTS[0].hold(False)
    await asyncio.sleep(5)
    rig.record("seen", cancelled=len(told), started_after=late)
    return bool(late)


CUTS: list[Cut] = []


async def lay(rig: Rig) -> None:
    """Put the proxies between the controllers."""
    cut = Cut(rig, rig.nodes[CUT])
    cut.state.target = rig.state.server.address
    CUTS.append(cut)
    await cut.lay()


if __name__ == "__main__":
    run_case(__file__, PADRON_FLEET, play, lay)
