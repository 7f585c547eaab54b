"""A client of the controllers: submits, asks and cancels as the protocol says, at whichever node answers."""

from __future__ import annotations

import asyncio
import random

from pearstep.client.archive import ArchiveClient, reason
from pearstep.jobs.description import Description, encode
from pearstep.protocol import client_messages as wire
from pearstep.protocol.controller_messages import JOBS_PATH
from pearstep.transport.clock import now_us
from pearstep.transport.http import Client

PATIENCE_US = 60_000_000
REPEATED = (0, 429, 500, 502, 503, 504)


class RejectedError(Exception):
    """The cluster says no, for good; the text says why."""


class ClusterUnreachableError(Exception):
    """Nobody could answer within the protocol's 60 s."""


def new_ref() -> str:
    """A job id that nobody else chooses."""
    return f"req-{random.SystemRandom().randrange(10**17, 10**18)}"


class JobsClient:
    """``addrs`` are the controllers' addresses or a load balancer's."""

    def __init__(self, client: Client, addrs: list[str]) -> None:
        """Create a client of the controller nodes at ``addrs``."""
        self._client = client
        self._addrs = list(addrs)

    async def _ask(
        self, method: str, path: str, body: bytes | None, patience_us: int = PATIENCE_US
    ) -> tuple[int, bytes]:
        until = now_us() + patience_us
        addrs = random.sample(self._addrs, len(self._addrs))
        while True:
            status = 0
            for addr in addrs:
                status, data = await self._client.fetch(addr, method, path, body, 5.0)
                if status not in REPEATED:
                    return status, data
            if now_us() >= until:
                raise ClusterUnreachableError(
                    f"no controller could answer (last: {status or 'no answer'}); is the cluster up?"
                )
            await asyncio.sleep(random.uniform(0.3, 1.0))

    async def submit(self, job: Description, archive: ArchiveClient, ref: str | None = None) -> str:
        """Upload the description, then submit; the job's id. The same id may be submitted again."""
        ref = ref or new_ref()
        until = now_us() + PATIENCE_US
        while True:
            status, data = await archive.ask("PUT", f"/v1/jobs/{ref}", encode(job))
            if status in (200, 201):
                break
            if status not in REPEATED:
                raise RejectedError(reason(data))
            if now_us() >= until:
                raise ClusterUnreachableError(f"the archive answers {status}: {reason(data)}")
            await asyncio.sleep(0.5)
        status, data = await self._ask("POST", JOBS_PATH, wire.encode_submission(job.submission(ref)))
        if status not in (200, 201):
            raise RejectedError(reason(data))
        return ref

    async def status(self, ref: str, patience_us: int = PATIENCE_US) -> wire.JobStatus | None:
        """The job's state; None if there is no such job."""
        status, data = await self._ask("GET", wire.job_path(ref), None, patience_us)
        return wire.decode_job_status(data) if status == 200 else None

    async def cancel(self, ref: str) -> wire.JobStatus | None:
        """Cancel, and say what it is now; None if there is no such job."""
        status, data = await self._ask("POST", wire.cancel_path(ref), b"")
        return wire.decode_job_status(data) if status == 200 else None
