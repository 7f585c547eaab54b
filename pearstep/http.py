"""HTTP on tornado: a client for neighbours, and a small server that hands requests to a function."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.simple_httpclient import SimpleAsyncHTTPClient

log = logging.getLogger("pearstep.http")

NO_ANSWER = 0
Answer = tuple[int, bytes, dict[str, str]]
Handler = Callable[[HTTPServerRequest], Awaitable[Answer]]


class Client:
    """Requests to neighbours. Tornado queues beyond ``max_clients``, and long watches hold their
    places, so there is room for far more than are ever open."""

    def __init__(self, most: int = 200) -> None:
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(force_instance=True, max_clients=most)

    async def fetch(
        self, addr: str, method: str, path: str, body: bytes | None = None, timeout_s: float = 4.0
    ) -> tuple[int, bytes]:
        """Status and body; status NO_ANSWER if there was no answer, whatever the reason."""
        if method == "POST" and body is None:
            body = b""
        request = HTTPRequest(
            f"http://{addr}{path}",
            method=method,
            body=body,
            connect_timeout=min(timeout_s, 2.0),
            request_timeout=timeout_s,
            follow_redirects=False,
            headers={"Content-Type": "application/json"} if body else None,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except asyncio.CancelledError:
            raise
        except Exception as err:  # noqa: BLE001 - a neighbour may answer anything at all
            log.debug("%s %s%s: %s", method, addr, path, err)
            return NO_ANSWER, b""
        if response.code == 599 or response.error is not None and response.code >= 599:
            log.debug("%s %s%s: no answer", method, addr, path)
            return NO_ANSWER, b""
        return response.code, response.body or b""


class Server:
    """Listens on an address and answers each request with what the handler returns."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server = HTTPServer(self._accept, max_body_size=4 * 1024 * 1024, idle_connection_timeout=600)

    def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        self._server.listen(port, address=host, backlog=512)

    def _accept(self, request: HTTPServerRequest) -> None:
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request: HTTPServerRequest) -> None:
        try:
            status, body, headers = await self._handler(request)
        except Exception:
            log.exception("%s %s", request.method, request.path)
            status, body, headers = 500, b'{"error":"internal"}', {}
        connection = request.connection
        if connection is None:
            return
        head = HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(body)), **headers})
        try:
            await connection.write_headers(ResponseStartLine("HTTP/1.1", status, "x"), head, body)
            connection.finish()
        except Exception as err:  # noqa: BLE001 - the other side may be gone
            log.debug("answer to %s lost: %s", request.path, err)
