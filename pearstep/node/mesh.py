"""The other nodes. They tell each other what they reach: the state service, the cloud, and the workers of
each part, as far as these have knocked at the wrong door. A node asks only while it misses something."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from tornado.httputil import HTTPServerRequest

from ..links.http import Answer, Client
from ..wire import node as wire


class Status(msgspec.Struct):
    """What a node says of itself. ``knocks``: machines by part that came to it although another node owns
    the part, within the last few seconds."""

    node: str
    state_ok: bool
    cloud_ok: bool = False
    knocks: dict[int, int] = {}


class Mesh:
    """Asks the peers, and answers them."""

    def __init__(self, client: Client, peers: list[str]) -> None:
        self.client = client
        self.peers = peers
        # Set by whoever knows; with True it asks the cloud first.
        self.status: Callable[[bool], Awaitable[Status]] | None = None

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Answer a peer."""
        if request.path != wire.MESH_STATUS:
            return 404, wire.error_answer("no such path"), {}
        if request.method != "GET":
            return 405, wire.error_answer("method not allowed"), {"Allow": "GET"}
        if self.status is None:
            return 503, wire.error_answer("starting"), {}
        return 200, msgspec.json.encode(await self.status("cloud" in request.arguments)), {}

    async def ask(self, cloud: bool = False) -> list[Status]:
        """What the peers that answer say; with ``cloud`` they ask the cloud first."""
        path = wire.MESH_STATUS + ("?cloud=1" if cloud else "")
        answers = await asyncio.gather(
            *(self.client.fetch(p, "GET", path, timeout_s=3.0 if cloud else 1.0) for p in self.peers)
        )
        out = []
        for status, body in answers:
            if status == 200:
                try:
                    out.append(msgspec.json.decode(body, type=Status))
                except msgspec.MsgspecError:
                    continue
        return out
