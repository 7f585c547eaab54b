"""HTTP over tornado: a client with persistent connections, and a small server that calls a handler."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import DefaultLoopResolver
from tornado.tcpclient import TCPClient

from pearstep.transport.background_tasks import BackgroundTasks
from pearstep.transport.event_log import EventLogger

log = EventLogger("pearstep.http")

# Status of a request that got no answer.
NO_ANSWER = 0
# Idle connections kept open to each address.
MAX_IDLE_CONNECTIONS = 8
CONNECT_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_REQUEST_BYTES = 4 * 1024 * 1024
IDLE_CONNECTION_TIMEOUT_S = 600
# Connections that wait to be accepted: all agents of a fleet may connect at once. The operating system
# applies its own limit as well (on Linux ``net.core.somaxconn``).
BACKLOG = 8192
# The body of a request, or a function that is called for it once the connection is open.
RequestBody = bytes | Callable[[], bytes]
# Status, body, headers.
Answer = tuple[int, bytes, dict[str, str]]
# A handler returns its answer if it need not wait for anything, and an awaitable otherwise.
Handler = Callable[[HTTPServerRequest], Answer | Awaitable[Answer]]
INTERNAL_ERROR: Answer = (500, b'{"error":"internal"}', {})


class _AddressResolver(DefaultLoopResolver):
    """Resolves IP addresses without a thread, and host names like the default resolver."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        try:
            socket.inet_aton(host)
        except OSError:
            return await super().resolve(host, port, family)
        return [(socket.AF_INET, (host, port))]


class _Response(HTTPMessageDelegate):
    """Collects one response."""

    def __init__(self) -> None:
        self.status = NO_ANSWER
        self.closes_connection = False
        self.is_complete = False
        self.chunks: list[bytes] = []

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        self.status = start_line.code
        self.closes_connection = headers.get("Connection", "").lower() == "close"

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = True


class Client:
    """Sends requests over tornado's connections.

    Connections to ``persistent_addresses`` stay open and are reused: tornado's own client opens one per
    request, which with a large fleet took more CPU time than all scheduling decisions. At most
    ``max_requests`` requests run at once to these addresses, and as many to all others, so that a lease is
    renewed even while a thousand agents do not answer.
    """

    def __init__(self, max_requests: int = 200, persistent_addresses: Collection[str] = ()) -> None:
        """Limit concurrent requests, and keep connections to ``persistent_addresses`` open."""
        self._limit = asyncio.Semaphore(max_requests)
        self._persistent_limit = asyncio.Semaphore(max_requests)
        self._idle: dict[str, list[IOStream]] = {address: [] for address in persistent_addresses}
        self._tcp = TCPClient(_AddressResolver())
        self._params = HTTP1ConnectionParameters(max_body_size=MAX_RESPONSE_BYTES)

    async def fetch(
        self, addr: str, method: str, path: str, body: RequestBody | None = None, timeout_s: float = 4.0
    ) -> tuple[int, bytes]:
        """Send a request; return status and body, or NO_ANSWER and no body after any failure.

        A request may wait for other requests to end, and for its connection. A body that depends on what is
        true when the request is sent is given as a function.
        """
        if method == "POST" and body is None:
            body = b""
        stream: IOStream | None = None
        try:
            idle = self._idle.get(addr)
            async with self._limit if idle is None else self._persistent_limit, asyncio.timeout(timeout_s):
                while idle and (stream is None or stream.closed()):
                    stream = idle.pop()
                if stream is None or stream.closed():
                    async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                        stream = await self._open(addr)
                content = body() if callable(body) else body
                response, reusable = await self._send_request(stream, addr, method, path, content)
                if idle is not None and reusable and len(idle) < MAX_IDLE_CONNECTIONS:
                    idle.append(stream)
                    stream = None
                return (
                    (response.status, b"".join(response.chunks)) if response.is_complete else (NO_ANSWER, b"")
                )
        except (TimeoutError, OSError, StreamClosedError, HTTPInputError, ValueError) as err:
            log.debug("request failed", method=method, address=addr, path=path, cause=err)
            return NO_ANSWER, b""
        finally:
            if stream is not None:
                stream.close()

    async def _open(self, addr: str) -> IOStream:
        """Open a new connection."""
        host, _, port = addr.rpartition(":")
        return await self._tcp.connect(host, int(port), max_buffer_size=MAX_RESPONSE_BYTES)

    async def _send_request(
        self, stream: IOStream, addr: str, method: str, path: str, body: bytes | None
    ) -> tuple[_Response, bool]:
        """Send one request; return its response, and whether the connection can be used again."""
        connection = HTTP1Connection(stream, True, self._params)
        headers = HTTPHeaders({"Host": addr})
        if body is not None:
            headers["Content-Type"] = "application/json"
            headers["Content-Length"] = str(len(body))
        if addr not in self._idle:
            headers["Connection"] = "close"
        response = _Response()
        # A failed write shows up as a missing response; its exception needs no handling of its own.
        sent = connection.write_headers(RequestStartLine(method, path, "HTTP/1.1"), headers, body or None)
        sent.add_done_callback(lambda done: done.cancelled() or done.exception())
        connection.finish()
        is_open = await connection.read_response(response)
        if not is_open or not response.is_complete or response.closes_connection or stream.closed():
            return response, False
        connection.detach()
        return response, True


class Server:
    """Listens on an address and answers each request with what the handler returns."""

    def __init__(self, handler: Handler, ssl_options: ssl.SSLContext | None = None) -> None:
        """Answer with what ``handler`` returns; over TLS if ``ssl_options`` are given."""
        self._tasks = BackgroundTasks(log)
        self._handler = handler
        self._server = HTTPServer(
            self._handle_request,
            max_body_size=MAX_REQUEST_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            ssl_options=ssl_options,
        )

    def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        self._server.listen(port, address=host, backlog=BACKLOG)

    def _handle_request(self, request: HTTPServerRequest) -> None:
        try:
            answer = self._handler(request)
        except Exception:
            log.exception("request handler failed", method=request.method, path=request.path)
            answer = INTERNAL_ERROR
        if isinstance(answer, tuple):
            # Most requests are heartbeats, which are answered without waiting and need no event loop task.
            self._reply(request, answer)
        else:
            self._tasks.start(self._reply_when_ready(request, answer))

    async def _reply_when_ready(self, request: HTTPServerRequest, pending: Awaitable[Answer]) -> None:
        try:
            answer = await pending
        except Exception:
            log.exception("request handler failed", method=request.method, path=request.path)
            answer = INTERNAL_ERROR
        self._reply(request, answer)

    def _reply(self, request: HTTPServerRequest, answer: Answer) -> None:
        connection = request.connection
        if connection is None:
            return
        status, body, headers = answer
        all_headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body)), **headers}
        )
        try:
            sent = connection.write_headers(ResponseStartLine("HTTP/1.1", status, "x"), all_headers, body)
            # The client may have disconnected.
            sent.add_done_callback(lambda done: done.cancelled() or done.exception())
            connection.finish()
        except Exception as err:
            # The client may have disconnected, which is not a fault of this server.
            log.debug("answer not sent", path=request.path, cause=err)
