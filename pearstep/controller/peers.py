"""Exchange observations and cancellations with the other controllers.

Controllers report to each other what they can reach (the state service, the cloud, and the agents of each
shard that have sent them misdirected heartbeats) and which cancellations they may confirm to users. A
controller queries its peers only while it cannot reach something itself. It broadcasts each cancellation that
it commits before it answers the user.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from tornado.httputil import HTTPServerRequest

from pearstep.domain.units import SECOND_US
from pearstep.failure_detection.timeouts import CANCELLATION_BROADCAST_US
from pearstep.protocol import controller_messages as wire
from pearstep.transport.http import Answer, Client

# Timeouts of a query to a peer: without and with a request to the cloud first.
PEER_TIMEOUT_S = 1.0
PEER_CLOUD_TIMEOUT_S = 3.0


class CancelledJob(NamedTuple):
    """A committed cancellation."""

    job_id: str
    # The version of the job's record.
    version: int
    # Time of day, microseconds.
    ended_at_us: int


class PeerStatus(
    msgspec.Struct,
    rename={
        "kv_reachable": "state_ok",
        "cloud_reachable": "cloud_ok",
        "misdirected_by_shard": "knocks",
        "uptime_us": "up_us",
    },
):
    """What a controller reports of itself to a peer."""

    node: str
    kv_reachable: bool
    cloud_reachable: bool = False
    # How many machines of each shard have recently sent it heartbeats although another node owns the shard.
    misdirected_by_shard: dict[int, int] = {}
    # The cancellations that it may confirm, after the revision in the query. None: it does not list them,
    # as a controller of an earlier release.
    cancelled: list[CancelledJob] | None = None
    # Whether there are more cancellations than those listed.
    more: bool = False
    # How long its process has been running, if it has not read the records yet.
    uptime_us: int | None = None


class CancellationBroadcast(msgspec.Struct):
    """Committed cancellations."""

    cancelled: list[CancelledJob]


class PeerQuery(NamedTuple):
    """A query to a peer."""

    # Whether the peer sends a request to the cloud first.
    check_cloud: bool = False
    # Whether the peer counts the misdirected heartbeats.
    count_misdirected: bool = True
    # The peer lists the cancellations that it may confirm after this revision; None: it lists none.
    after: int | None = None

    @property
    def path(self) -> str:
        """Return the path and query string of the request."""
        flags = {wire.PEER_QUERY_CLOUD: self.check_cloud, wire.PEER_QUERY_AGENTS: self.count_misdirected}
        parameters = [f"{name}=1" for name, wanted in flags.items() if wanted]
        if self.after is not None:
            parameters.append(f"{wire.PEER_QUERY_AFTER}={self.after}")
        return wire.PEER_STATUS_PATH + ("?" + "&".join(parameters) if parameters else "")

    @classmethod
    def from_arguments(cls, arguments: dict[str, list[bytes]]) -> PeerQuery:
        """Read a query from the arguments of a request.

        A controller of an earlier release always expects the count of misdirected heartbeats, and sends no
        argument for it.
        """
        value = arguments.get(wire.PEER_QUERY_AFTER, [b""])[0]
        after = int(value) if value.isdigit() else None
        return cls(
            check_cloud=wire.PEER_QUERY_CLOUD in arguments,
            count_misdirected=after is None or wire.PEER_QUERY_AGENTS in arguments,
            after=after,
        )


class PeerClient:
    """Queries the peers, and answers their queries."""

    def __init__(self, client: Client, peers: dict[str, str]) -> None:
        """Initialize with the addresses of the peers.

        Args:
            client: The HTTP client.
            peers: The addresses of the other controllers by name.
        """
        self.client = client
        self.peers = peers
        # This and the next are set once this node can answer; until then peers get a 503.
        self.answer_query: Callable[[PeerQuery], Awaitable[PeerStatus]] | None = None
        # Applies cancellations, and returns whether the sender may rely on that.
        self.acknowledge_cancellations: Callable[[list[CancelledJob]], Awaitable[bool]] | None = None

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Answer a request of a peer."""
        if request.path == wire.PEER_CANCELLATIONS_PATH:
            return await self._receive_cancellations(request)
        if request.path != wire.PEER_STATUS_PATH:
            return 404, wire.encode_error("no such path"), {}
        if request.method != "GET":
            return 405, wire.encode_error("method not allowed"), {"Allow": "GET"}
        if self.answer_query is None:
            return 503, wire.encode_error("starting"), {}
        return (
            200,
            msgspec.json.encode(await self.answer_query(PeerQuery.from_arguments(request.arguments))),
            {},
        )

    async def broadcast_cancellation(self, job_id: str, version: int, ended_at_us: int) -> bool:
        """Send a committed cancellation to all peers.

        Args:
            job_id: The cancelled job.
            version: The version of its record.
            ended_at_us: When it was cancelled, time of day.

        Returns:
            Whether each peer has acknowledged it in time. Controllers of earlier releases do not.
        """
        body = msgspec.json.encode(CancellationBroadcast([CancelledJob(job_id, version, ended_at_us)]))
        answers = await asyncio.gather(
            *(
                self.client.fetch(
                    address, "POST", wire.PEER_CANCELLATIONS_PATH, body, CANCELLATION_BROADCAST_US / SECOND_US
                )
                for address in self.peers.values()
            )
        )
        return all(status == 200 for status, _ in answers)

    async def _receive_cancellations(self, request: HTTPServerRequest) -> Answer:
        if request.method != "POST":
            return 405, wire.encode_error("method not allowed"), {"Allow": "POST"}
        if self.acknowledge_cancellations is None:
            return 503, wire.encode_error("starting"), {}
        try:
            broadcast = msgspec.json.decode(request.body, type=CancellationBroadcast)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return 400, wire.encode_error(str(error)), {}
        if not await self.acknowledge_cancellations(broadcast.cancelled):
            return 503, wire.encode_error("a job is not read yet"), {}
        return 200, b"{}", {}

    async def query_all(self, query: PeerQuery) -> list[PeerStatus]:
        """Query all peers, and return the reports of those that answer."""
        answers = await asyncio.gather(*(self.query(name, query) for name in self.peers))
        return [answer for answer in answers if answer is not None]

    async def query(self, name: str, query: PeerQuery) -> PeerStatus | None:
        """Query one peer, and return its report; None if there is no valid answer."""
        timeout_s = PEER_CLOUD_TIMEOUT_S if query.check_cloud else PEER_TIMEOUT_S
        status, body = await self.client.fetch(self.peers[name], "GET", query.path, timeout_s=timeout_s)
        if status != 200:
            return None
        try:
            answer = msgspec.json.decode(body, type=PeerStatus)
        except msgspec.MsgspecError:
            return None
        return answer if answer.node == name else None
