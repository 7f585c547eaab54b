"""A relay for links on loopback, which can be told to cut them."""

from __future__ import annotations

import asyncio
import contextlib

# What happens to bytes: they pass; neither way; requests pass and answers do not; connections are reset.
PASS, HOLD, DEAF, RESET = "pass", "hold", "deaf", "reset"
CUTS = (HOLD, DEAF, RESET)


class Relay:
    """Listens on an address of its own and passes on to another. Bytes that a cut keeps are lost with their
    connection, as a network would lose them.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.addr = ""
        self.mode = PASS
        self.passed = 0
        self.kept = 0
        self._open: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Begin to listen."""
        server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.addr = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def cut(self, mode: str) -> None:
        """Begin or end a cut. At its end all connections that it touched are closed."""
        before, self.mode = self.mode, mode
        if mode == RESET or before != PASS:
            for writer in list(self._open):
                writer.transport.abort()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, there[1]}
        try:
            await asyncio.gather(self._pump(reader, there[1], False), self._pump(there[0], writer, True))
        except asyncio.CancelledError:
            pass  # the measurement ends, and its loop with it
        finally:
            for each in (writer, there[1]):
                self._open.discard(each)
                each.transport.abort()

    async def _pump(self, source: asyncio.StreamReader, to: asyncio.StreamWriter, answers: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                if self.mode == HOLD or (self.mode == DEAF and answers):
                    self.kept += len(data)
                    continue
                self.passed += len(data)
                to.write(data)
                await to.drain()
            if to.can_write_eof():
                to.write_eof()
