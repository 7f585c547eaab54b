"""The link between two clusters: envelopes of messages over HTTPS, both sides with certificates.

An envelope is msgpack, versioned; unknown fields are ignored. At most one is in flight to a peer at
a time, and its answer carries the messages with which the peer replies at once.
"""

from __future__ import annotations

import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from tornado.httputil import HTTPServerRequest
from tornado.iostream import IOStream

from pearstep.federation.keys import Keys, SiteKeyError, server_name
from pearstep.federation.ledger import JobMessage
from pearstep.transport.http import Answer, Client, Server

OFFLOADS_PATH = "/v1/loans"
VERSION = 1
MAX_ENVELOPE_BYTES = 256 * 1024


class Offer(msgspec.Struct, frozen=True):
    """Capacity for a peer's jobs: the amounts, the delay until they are free, and the relative price.

    ``start_us`` is 0 if they are free now; ``price`` is relative to the price of the peer's own machines.
    """

    cpus: float
    gpus: float
    memory_gb: float
    start_us: int = 0
    price: float = 1.0


class NotCoordinatorError(Exception):
    """This controller does not run the coordinator; a controller at another address of the site does."""


class Envelope(msgspec.Struct, frozen=True):
    """The messages that one cluster sends to another at once.

    ``whole`` tells whether every open offload between them is in this envelope or was sent since the link
    was restored; ``offer`` is the capacity for the other cluster's jobs.
    """

    version: int
    site: str
    items: list[JobMessage]
    whole: bool = False
    offer: Offer | None = None


_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as it goes over the link."""
    return msgspec.msgpack.encode(envelope)


def decode(body: bytes) -> Envelope:
    """Decode an envelope.

    Raises:
        ValueError: The body is too long or not a valid envelope; the text is sent to the peer.
    """
    if len(body) > MAX_ENVELOPE_BYTES:
        raise ValueError(f"an envelope has at most {MAX_ENVELOPE_BYTES} bytes")
    try:
        envelope = _decoder.decode(body)
    except msgspec.MsgspecError as err:
        raise ValueError(f"not an envelope: {err}") from None
    if envelope.version < 1:
        raise ValueError("a version is at least 1")
    return envelope


class _SecureClient(Client):
    """A client whose TLS connections are accepted only if the server proves to be one given peer."""

    def __init__(self, context: Callable[[], ssl.SSLContext], peer: str) -> None:
        super().__init__(4)
        self._context = context
        self._name = server_name(peer)

    async def _open(self, addr: str) -> IOStream:
        plain = await super()._open(addr)
        return await plain.start_tls(False, self._context(), self._name)


class Link:
    """This site's end of its links to peers."""

    def __init__(
        self,
        keys: Keys,
        peers: dict[str, list[str]],
        receive: Callable[[str, Envelope], Awaitable[Envelope]],
        serve: Callable[[str, HTTPServerRequest], Awaitable[Answer]] | None = None,
    ) -> None:
        """Prepare the links; none is opened yet.

        Args:
            keys: The keys of this site.
            peers: The addresses of each peer by its name, any of which may run the peer's coordinator.
            receive: Answers an envelope of a peer, whose name is that of its certificate; raises
                NotCoordinatorError.
            serve: Answers the other requests of a peer.
        """
        self.keys = keys
        self.peers: dict[str, list[str]] = {}
        self.refused = 0
        self._serve = serve
        self._clients: dict[str, _SecureClient] = {}
        self.set_peers(peers)
        self._receive = receive
        self._server_context: ssl.SSLContext | None = None
        self._key_file_times = self._read_key_file_times()

    def set_peers(self, peers: dict[str, list[str]]) -> None:
        """Set the peers and their addresses; the address that answered last stays first."""
        for peer, addrs in peers.items():
            current = self.peers.get(peer, [])
            self.peers[peer] = [a for a in current if a in addrs] + [a for a in addrs if a not in current]
            if peer not in self._clients:
                self._clients[peer] = _SecureClient(self._client_context(peer), peer)
        for peer in [p for p in self.peers if p not in peers]:
            del self.peers[peer]

    def _client_context(self, peer: str) -> Callable[[], ssl.SSLContext]:
        return lambda: self.keys.context(False, peer)

    def listen(self, host: str, port: int) -> bool:
        """Listen for links; return False while no peer is trusted, in which case the caller tries again."""
        if self._server_context is None:
            if not self.keys.peers():
                return False
            self._server_context = self.keys.context(True)
            Server(self.handle, self._server_context).listen(host, port)
        return True

    def _read_key_file_times(self) -> dict[Path, int]:
        files = [self.keys.root / "current.pem", *sorted((self.keys.root / "trusted").iterdir())]
        return {f: f.stat().st_mtime_ns for f in files if f.exists()}

    def reload_keys(self) -> bool:
        """Reload keys that changed on disk, for later handshakes; open connections stay.

        Returns whether any had changed.
        """
        times = self._read_key_file_times()
        if times == self._key_file_times:
            return False
        self._key_file_times = times
        if self._server_context is None:
            return True
        self._server_context.load_cert_chain(self.keys.root / "current.pem")
        for name in self.keys.peers():
            self._server_context.load_verify_locations(self.keys.root / "trusted" / f"{name}.pem")
        return True

    async def handle(self, request: HTTPServerRequest) -> Answer:
        """Answer one request; its certificate is checked each time, since the peer may have been revoked."""
        certificate = request.get_ssl_certificate(binary_form=True)
        if not isinstance(certificate, bytes):
            return 403, b"", {}
        try:
            peer = self.keys.peer_of(certificate)
        except SiteKeyError as err:
            self.refused += 1
            return 403, msgspec.json.encode({"error": str(err)}), {}
        if request.path != OFFLOADS_PATH and self._serve is not None and peer in self.peers:
            return await self._serve(peer, request)
        if request.path != OFFLOADS_PATH or request.method != "POST":
            return 404, b"", {}
        try:
            envelope = decode(request.body)
        except ValueError as err:
            return 400, msgspec.json.encode({"error": str(err)}), {}
        if envelope.site != peer or peer not in self.peers:
            self.refused += 1
            return 403, msgspec.json.encode({"error": f"{peer} may speak for itself alone"}), {}
        try:
            answer = await self._receive(peer, envelope)
        except NotCoordinatorError:
            return 421, msgspec.json.encode({"error": "another controller keeps the desk"}), {}
        return 200, encode(answer), {"Content-Type": "application/msgpack"}

    async def send(self, peer: str, envelope: Envelope, timeout_s: float = 5.0) -> Envelope | None:
        """Send an envelope and return the answer; None if there was none.

        A controller that doesn't run the peer's coordinator, or doesn't answer, is moved to the end of the
        addresses.
        """
        body = encode(envelope)
        data = b""
        for addr in list(self.peers.get(peer, ())):
            status, data = await self.request(peer, addr, "POST", OFFLOADS_PATH, body, timeout_s)
            if status == 200:
                break
            addresses = self.peers.get(peer, [])
            if addr in addresses:
                addresses.remove(addr)
                addresses.append(addr)
            if status not in (421, 503):
                # The peer may have received it: a request to another address would be a second one in flight.
                return None
        else:
            return None
        try:
            answer = decode(data)
        except ValueError:
            return None
        return answer if answer.site == peer else None

    async def request(
        self, peer: str, addr: str, method: str, path: str, body: bytes | None = None, timeout_s: float = 5.0
    ) -> tuple[int, bytes]:
        """Send a request to one of a peer's addresses; return the status (0: no answer) and the body."""
        try:
            return await self._clients[peer].fetch(addr, method, path, body, timeout_s)
        except (SiteKeyError, ssl.SSLError, KeyError):
            return 0, b""
