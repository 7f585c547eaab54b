"""Connections in memory: requests and their answers as messages between hosts, with what can happen to them.

A path that is cut takes no new connections; what was under way is held back and delivered in order when the
cut ends, also when its sender has given up (PROTOCOL, "Delayed messages").
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine

from measurements.simulation.clock import DEAD, Life, VirtualLoop
from pearstep.protocol.controller_messages import COMMANDS_PATH, HEARTBEAT_PATH
from pearstep.transport.http import NO_ANSWER, Answer, Handler, RequestBody

CONNECT_S = 2.0
LOOK_S = 0.05
Path = tuple[str, str]
# Messages on their way belong to no process.
NOBODY = contextvars.Context()


class Request(HTTPServerRequest):
    """A request that came over no socket."""

    def __init__(self, method: str, path: str, body: bytes) -> None:
        connection = SimpleNamespace(context=SimpleNamespace(remote_ip="", protocol="http"))
        super().__init__(
            start_line=RequestStartLine(method, path, "HTTP/1.1"),
            headers=HTTPHeaders({"Host": "rig"}),
            body=body,
            connection=connection,  # type: ignore[arg-type]
        )


class Endpoint:
    """A life that listens on an address."""

    def __init__(self, life: Life, handler: Handler) -> None:
        self.life = life
        self.handler = handler


class Net:
    """All hosts. ``cuts``: directed paths that carry nothing (how often each is cut: faults overlap);
    ``deaf``: hosts that nothing reaches, neither answers nor requests, although what they send arrives.
    """

    def __init__(self, loop: VirtualLoop, rng: random.Random) -> None:
        self.loop = loop
        self.rng = rng
        self.endpoints: dict[str, Endpoint] = {}
        self.host_of: dict[str, str] = {}
        self.cuts: dict[Path, int] = {}
        self.deaf: dict[str, int] = {}
        self.held: dict[Path, list[Callable[[], None]]] = {}
        self.broken: set[tuple[str, str]] = set()
        # Told of each request that arrives: source host, address, method, path, body, and the delivery.
        self.taps: list[Callable[[str, str, str, str, bytes], None]] = []
        # Told of each request whose answer its sender got: source host, address, method, path, body, status.
        self.answered: list[Callable[[str, str, str, str, bytes, int], None]] = []
        # Told of each body with commands that leaves for a worker, in whatever message.
        self.commands: list[Callable[[bytes], None]] = []
        self.delivered = 0
        # Up to how much longer each message takes.
        self.slow_s = 0.0

    # -- what can happen -------------------------------------------------------------------------

    def cut(self, a: str, b: str, both: bool = True) -> None:
        """Nothing passes from one host to the other any more."""
        for path in ((a, b), (b, a))[: 2 if both else 1]:
            self.cuts[path] = self.cuts.get(path, 0) + 1

    def heal(self, a: str, b: str, both: bool = True) -> None:
        """The cut is over: what was held back arrives, in order."""
        for path in ((a, b), (b, a))[: 2 if both else 1]:
            self.cuts[path] -= 1
            if not self.cuts[path]:
                del self.cuts[path]
                for n, deliver in enumerate(self.held.pop(path, ())):
                    self.loop.call_later(0.001 + n * 1e-5, deliver)

    def set_deaf(self, host: str, deaf: bool) -> None:
        """Whether anything reaches the host."""
        self.deaf[host] = self.deaf.get(host, 0) + (1 if deaf else -1)
        if not self.deaf[host]:
            del self.deaf[host]

    # -- requests --------------------------------------------------------------------------------

    def listen(self, addr: str, host: str, life: Life, handler: Handler) -> None:
        """A life takes requests on an address."""
        self.endpoints[addr] = Endpoint(life, handler)
        self.host_of[addr] = host

    def _latency_s(self) -> float:
        least_s = self.rng.uniform(0.0003, 0.002)
        return least_s + self.rng.uniform(0.0, self.slow_s) if self.slow_s else least_s

    def _send(self, path: Path, deliver: Callable[[], None]) -> None:
        if path in self.cuts:
            self.held.setdefault(path, []).append(deliver)
        else:
            self.loop.call_later(self._latency_s(), deliver, context=NOBODY.copy())

    def _commands(self, body: bytes) -> None:
        for tell in self.commands:
            tell(body)

    async def fetch(
        self,
        src: str,
        addr: str,
        method: str,
        path: str,
        body: RequestBody | None,
        timeout_s: float,
        kept: bool = False,
    ) -> tuple[int, bytes]:
        """One request; NO_ANSWER if there was no answer, whatever the reason."""
        dst = self.host_of.get(addr, "")
        there, back = (src, dst), (dst, src)
        answer: asyncio.Future[tuple[int, bytes]] = self.loop.create_future()
        try:
            async with asyncio.timeout(timeout_s):
                # A connection that is kept exists already, unless it was found broken.
                if not kept or there in self.broken:
                    async with asyncio.timeout(min(timeout_s, CONNECT_S)):
                        while there in self.cuts or back in self.cuts or dst in self.deaf:
                            await asyncio.sleep(LOOK_S)
                    await asyncio.sleep(self._latency_s())
                content = (body() if callable(body) else body) or b""
                if path == COMMANDS_PATH:
                    self._commands(content)
                self._send(there, lambda: self._arrive(src, addr, method, path, content, answer))
                found = await answer
                self.broken.discard(there)
                for tell in self.answered:
                    tell(src, addr, method, path, content, found[0])
                return found
        except TimeoutError:
            self.broken.add(there)
            return NO_ANSWER, b""

    def _arrive(
        self,
        src: str,
        addr: str,
        method: str,
        path: str,
        body: bytes,
        answer: asyncio.Future[tuple[int, bytes]] | None,
    ) -> None:
        endpoint = self.endpoints.get(addr)
        dst = self.host_of.get(addr, "")
        if dst in self.deaf:
            return
        if endpoint is None or endpoint.life.state == DEAD:
            if answer is not None:
                self._reply(dst, src, answer, (NO_ANSWER, b""))
            return
        self.delivered += 1
        if answer is not None:
            for tap in self.taps:
                tap(src, addr, method, path, body)
        endpoint.life.soon(self._handle, endpoint, src, dst, method, path, body, answer)

    def copy(self, src: str, addr: str, method: str, path: str, body: bytes, after_s: float) -> None:
        """The same request arrives once more; nobody waits for its answer."""
        self.loop.call_later(
            after_s, self._arrive, src, addr, method, path, body, None, context=NOBODY.copy()
        )

    def _handle(
        self,
        endpoint: Endpoint,
        src: str,
        dst: str,
        method: str,
        path: str,
        body: bytes,
        answer: asyncio.Future[tuple[int, bytes]] | None,
    ) -> None:
        found = endpoint.handler(Request(method, path, body))
        if isinstance(found, tuple):
            self._leave(found, path, src, dst, answer)
            return
        asyncio.ensure_future(self._serve(found, path, src, dst, answer))

    async def _serve(
        self,
        coming: Awaitable[Answer],
        path: str,
        src: str,
        dst: str,
        answer: asyncio.Future[tuple[int, bytes]] | None,
    ) -> None:
        try:
            found = await coming
        except Exception:
            found = (500, b"", {})
        self._leave(found, path, src, dst, answer)

    def _leave(
        self,
        found: Answer,
        path: str,
        src: str,
        dst: str,
        answer: asyncio.Future[tuple[int, bytes]] | None,
    ) -> None:
        """An answer leaves the node, unless nobody waits for it."""
        if answer is None:
            return
        if path == HEARTBEAT_PATH and found[0] == 200:
            self._commands(found[1])
        self._reply(dst, src, answer, found[:2])

    def _reply(
        self, src: str, dst: str, answer: asyncio.Future[tuple[int, bytes]], found: tuple[int, bytes]
    ) -> None:
        def deliver() -> None:
            if not answer.done() and dst not in self.deaf:
                answer.set_result(found)

        self._send((src, dst), deliver)


class RigClient:
    """Stands for ``links.http.Client``."""

    def __init__(self, net: Net, host: str, most: int, kept: tuple[str, ...] = ()) -> None:
        self.net = net
        self.host = host
        self.kept = kept
        self._room = asyncio.Semaphore(most)

    async def fetch(
        self, addr: str, method: str, path: str, body: RequestBody | None = None, timeout_s: float = 4.0
    ) -> tuple[int, bytes]:
        """Status and body."""
        try:
            async with asyncio.timeout(timeout_s), self._room:
                return await self.net.fetch(self.host, addr, method, path, body, timeout_s, addr in self.kept)
        except TimeoutError:
            return NO_ANSWER, b""


class RigServer:
    """Stands for ``links.http.Server``."""

    def __init__(self, net: Net, life: Life, handler: Handler) -> None:
        self.net = net
        self.life = life
        self.handler = handler

    def listen(self, host: str, port: int) -> None:
        """Begin to take requests."""
        self.net.listen(f"{host}:{port}", self.life.host, self.life, self.handler)
