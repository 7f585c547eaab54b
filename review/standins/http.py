"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
NO_ANSWER = 0


class Request:
    """One request: method, path, query and decoded body."""

    def __init__(self, method: str, target: str, body: bytes) -> None:
        """Split the target; the body is decoded when it is asked for."""
        self.method = method
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.body = body

    def json(self) -> Any:
        """Return the body as JSON; raises ValueError if it is none."""
        return json.loads(self.body)


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read the first line, headers and body of one message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Serves a handler; answers are JSON."""

    def __init__(self, handler: Handler) -> None:
        """Serve this handler once started."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512, limit=1 << 24)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            for writer in list(self._writers):
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                status, answer = await self._handler(Request(method, target, body))
                data = json.dumps(answer).encode()
                close = headers.get("connection", "").lower() == "close"
                head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n"
                head += "Connection: close\r\n\r\n" if close else "\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if close:
                    return
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def fetch(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 4.0
) -> tuple[int, Any, dict[str, str]]:
    """Send one request on a new connection; status 0 if there is no answer."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            message = await _read_message(reader)
            if message is None:
                return NO_ANSWER, None, {}
            first, headers, raw = message
            return int(first.split(" ")[1]), json.loads(raw) if raw else None, headers
    except (TimeoutError, OSError, EOFError, ValueError):
        return NO_ANSWER, None, {}
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
