"""The other nodes. They exchange one thing: whether the state service answers them. A node that alone
is refused takes itself out of the users' way; in an outage for all, nobody does."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from tornado.httputil import HTTPServerRequest

from . import wire
from .http import Answer, Client


class Status(msgspec.Struct):
    """What a node says of itself."""

    node: str
    state_ok: bool


class Mesh:
    """Asks the peers, and answers them."""

    def __init__(self, client: Client, node: str, peers: list[str], state_ok: Callable[[], bool]) -> None:
        self.client = client
        self.node = node
        self.peers = peers
        self.state_ok = state_ok

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Answer a peer."""
        if request.path != wire.MESH_STATUS:
            return 404, wire.error_answer("no such path"), {}
        if request.method != "GET":
            return 405, wire.error_answer("method not allowed"), {"Allow": "GET"}
        return 200, msgspec.json.encode(Status(self.node, self.state_ok())), {}

    async def any_served(self) -> bool:
        """Whether some peer is served by the state service."""
        answers = await asyncio.gather(
            *(self.client.fetch(p, "GET", wire.MESH_STATUS, timeout_s=1.0) for p in self.peers)
        )
        for status, body in answers:
            if status == 200:
                try:
                    if msgspec.json.decode(body, type=Status).state_ok:
                        return True
                except msgspec.MsgspecError:
                    continue
        return False
