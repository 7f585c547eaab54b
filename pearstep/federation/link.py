"""The link between two clusters: envelopes of messages over HTTPS, both sides with certificates.

An envelope is msgpack, versioned; fields that a side does not know are ignored. One is under way to a peer
at a time, and its answer carries what the peer says to it at once.
"""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from ..links.http import Answer, Client, Server
from .books import Said
from .keys import Keys, KeyTrouble, server_name

LOANS = "/v1/loans"
VERSION = 1
MOST_BYTES = 256 * 1024


class Envelope(msgspec.Struct, frozen=True):
    """What one cluster says to another. ``whole`` says that everything open between them is in here or was
    said since the link came back."""

    version: int
    site: str
    items: list[Said]
    whole: bool = False


_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """As it goes over the link."""
    return msgspec.msgpack.encode(envelope)


def decode(body: bytes) -> Envelope:
    """Read an envelope; raises ValueError with a sentence."""
    if len(body) > MOST_BYTES:
        raise ValueError(f"an envelope has at most {MOST_BYTES} bytes")
    try:
        envelope = _decoder.decode(body)
    except msgspec.MsgspecError as err:
        raise ValueError(f"not an envelope: {err}") from None
    if envelope.version < 1:
        raise ValueError("a version is at least 1")
    return envelope


class _SecureClient(Client):
    """A client whose connections go to one peer and to nobody else."""

    def __init__(self, context: Callable[[], ssl.SSLContext], peer: str) -> None:
        super().__init__(4)
        self._context = context
        self._name = server_name(peer)

    async def _open(self, addr: str) -> IOStream:
        plain = await super()._open(addr)
        return await plain.start_tls(False, self._context(), self._name)


class Link:
    """This site's end of its links. ``hear`` is told who speaks, by certificate, and what is said; it returns
    what is answered. ``peers`` are addresses by name."""

    def __init__(
        self, keys: Keys, peers: dict[str, str], hear: Callable[[str, Envelope], Awaitable[Envelope]],
    ) -> None:  # fmt: skip
        self.keys = keys
        self.peers = dict(peers)
        self.refused = 0
        self._hear = hear
        self._server_context = keys.context(True)
        self._seen = self._marks()
        self._clients = {peer: _SecureClient(self._client_context(peer), peer) for peer in peers}

    def _client_context(self, peer: str) -> Callable[[], ssl.SSLContext]:
        return lambda: self.keys.context(False, peer)

    def listen(self, host: str, port: int) -> None:
        """Begin to take links."""
        Server(self.handle, self._server_context).listen(host, port)

    def _marks(self) -> dict[Path, int]:
        files = [self.keys.root / "current.pem", *sorted((self.keys.root / "trusted").iterdir())]
        return {f: f.stat().st_mtime_ns for f in files if f.exists()}

    def renew(self) -> bool:
        """Take up keys that were changed on disk, for handshakes from now on; links that stand go on."""
        marks = self._marks()
        if marks == self._seen:
            return False
        self._seen = marks
        self._server_context.load_cert_chain(self.keys.root / "current.pem")
        for name in self.keys.peers():
            self._server_context.load_verify_locations(self.keys.root / "trusted" / f"{name}.pem")
        return True

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """One envelope. Who is speaking is asked anew each time: a peer may have been revoked meanwhile."""
        certificate = request.get_ssl_certificate(binary_form=True)
        if not isinstance(certificate, bytes):
            return 403, b"", {}
        try:
            peer = self.keys.peer_of(certificate)
        except KeyTrouble as err:
            self.refused += 1
            return 403, msgspec.json.encode({"error": str(err)}), {}
        if request.path != LOANS or request.method != "POST":
            return 404, b"", {}
        try:
            envelope = decode(request.body)
        except ValueError as err:
            return 400, msgspec.json.encode({"error": str(err)}), {}
        if envelope.site != peer or peer not in self.peers:
            self.refused += 1
            return 403, msgspec.json.encode({"error": f"{peer} may speak for itself alone"}), {}
        answer = await self._hear(peer, envelope)
        return 200, encode(answer), {"Content-Type": "application/msgpack"}

    async def send(self, peer: str, envelope: Envelope, timeout_s: float = 5.0) -> Envelope | None:
        """Say something and hear the answer; None if there was none."""
        try:
            status, body = await self._clients[peer].fetch(
                self.peers[peer], "POST", LOANS, encode(envelope), timeout_s
            )
        except (KeyTrouble, ssl.SSLError):
            return None
        if status != 200:
            return None
        try:
            answer = decode(body)
        except ValueError:
            return None
        return answer if answer.site == peer else None
