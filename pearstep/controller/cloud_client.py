"""The cloud: machine types, the machine list, rentals and deletions."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from pearstep.domain.machine_type import MachineType
from pearstep.protocol import controller_messages as wire
from pearstep.transport.event_log import EventLogger
from pearstep.transport.http import Client
from pearstep.transport.rate_limiter import NORMAL, URGENT, RateLimiter

log = EventLogger("pearstep.cloud")

_instances_decoder = msgspec.json.Decoder(wire.InstanceRequestAnswer)
_machine_list_decoder = msgspec.json.Decoder(wire.MachineList)

MAX_TRIES = 4
TIMEOUT_S = 8.0
# Maximum number of bytes of an answer in a log line.
LOGGED_BYTES = 200


@dataclass(frozen=True)
class InstancesGranted:
    """The cloud has rented out machines: fewer than requested if it had no more."""

    machines: list[str]


@dataclass(frozen=True)
class NoCapacity:
    """The cloud has rented out no machines, and will not rent out any for this request."""


@dataclass(frozen=True)
class UnknownOutcome:
    """It is not known whether the cloud has rented out machines; the same request may be repeated."""


InstanceRequestOutcome = InstancesGranted | NoCapacity | UnknownOutcome


class CloudClient:
    """One node's client of the cloud."""

    def __init__(self, client: Client, address: str, rate_limiter: RateLimiter) -> None:
        """Send requests to the cloud at an address, within a rate limit."""
        self._client = client
        self._address = address
        self._rate_limiter = rate_limiter
        # The number of requests that the latest machine list took.
        self.list_pages = 0
        # Called after each request, answered or not, with whether the cloud serves this node.
        self.on_contact: Callable[[bool], None] = lambda ok: None

    async def _request(
        self, method: str, path: str, body: bytes | None = None, urgency: int = NORMAL
    ) -> tuple[int, bytes]:
        for _ in range(MAX_TRIES):
            await self._rate_limiter.acquire(1.0, urgency)
            status, data = await self._client.fetch(self._address, method, path, body, TIMEOUT_S)
            if status != 429:
                break
            # The request was not executed: the nodes share the rate, and another node has used it up.
            self._rate_limiter.drain()
            await asyncio.sleep(random.uniform(0.1, 0.4))
        self.on_contact(status not in (0, 503) or b"no capacity" in data)
        return status, data

    async def machine_types(self) -> dict[str, MachineType] | None:
        """Return the machine types on offer, or None if the cloud has not answered with them."""
        status, data = await self._request("GET", wire.MACHINE_TYPES_PATH, urgency=URGENT)
        if status != 200:
            return None
        try:
            return wire.decode_machine_types(data)
        except msgspec.MsgspecError as error:
            log.error("machine types malformed", error=error)
            return None

    async def machines(self) -> list[wire.ListedMachine] | None:
        """Return the whole machine list, or None if a page of it could not be read."""
        listed: list[wire.ListedMachine] = []
        after: str | None = None
        self.list_pages = 0
        while True:
            self.list_pages += 1
            status, data = await self._request("GET", wire.machine_page_path(after))
            if status != 200:
                return None
            try:
                page = _machine_list_decoder.decode(data)
            except msgspec.MsgspecError as error:
                log.error("machine list malformed", error=error)
                return None
            listed.extend(page.machines)
            if not page.more or not page.machines:
                return listed
            after = page.machines[-1].name

    async def request_instances(
        self, name: str, machine_type: str, zone: str, spot: bool, count: int
    ) -> InstanceRequestOutcome:
        """Rent machines.

        Args:
            name: The request's name. A request that is repeated with the same name rents no further machines.
            machine_type: The machines' type.
            zone: The zone of the machines.
            spot: Whether they are spot instances.
            count: The number of machines.

        Returns:
            The outcome according to the cloud's answer, or that the outcome is unknown.
        """
        body = wire.encode_instance_request(name, machine_type, zone, spot, count)
        status, data = await self._request("POST", wire.MACHINES_PATH, body)
        if status == 200:
            try:
                return InstancesGranted(_instances_decoder.decode(data).machines)
            except msgspec.MsgspecError:
                return UnknownOutcome()
        if status == 503 and b"no capacity" in data:
            return NoCapacity()
        if status == 400:
            log.error("instance request malformed", request=name, answer=data[:LOGGED_BYTES])
            return NoCapacity()
        return UnknownOutcome()

    async def delete(self, names: list[str]) -> bool:
        """Delete machines; return whether the cloud has confirmed it."""
        status, _ = await self._request(
            "POST", wire.DELETE_MACHINES_PATH, wire.encode_delete_machines(names), URGENT
        )
        return status == 200
