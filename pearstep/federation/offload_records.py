"""The stored records of offloads and peers, which every controller follows.

``l/<job>``        a job of the origin cluster; the leader writes it, and any controller that takes a
cancellation. ``g/<peer>/<job>`` a job of a peer in the remote cluster; the leader writes it.
``peer/<name>``    a peer; operators write it.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pearstep.federation import handoff
from pearstep.federation.ledger import OriginRecord, RemoteRecord
from pearstep.federation.offload_selection import Grant
from pearstep.state.job import Job
from pearstep.state.replica import Replica

OPEN_HOME = (handoff.OFFERED, handoff.GRANTED, handoff.RECALLING)


class PeerRec(msgspec.Struct, omit_defaults=True):
    """A peer as an operator entered it.

    Attributes:
        addrs: The addresses of its controllers.
        lend: Whether our work may be offloaded to it.
        grant: What its work may take here.
        price: What its machines cost relative to ours.
        drained: Whether nothing new goes either way.
        forgotten: The operator's reason why it will never answer again; what it holds is taken back, and runs
            twice if the operator is wrong.
    """

    addrs: list[str]
    lend: bool = True
    grant: Grant = Grant()
    price: float = 1.0
    drained: bool = False
    forgotten: str = ""


_home = msgspec.json.Decoder(OriginRecord)
_guest = msgspec.json.Decoder(RemoteRecord)
_peer = msgspec.json.Decoder(PeerRec)


def lent_mask(job: Job, book: OriginRecord) -> int:
    """Return the mask of tasks that must not be routed here.

    These are the offloaded tasks, and all tasks once a cancellation waits for the answer of a peer.
    """
    if book.offload.cancel_requested and not job.is_final:
        return job.spec.all_tasks
    return book.offload.task_mask if book.offload.state in OPEN_HOME else 0


class Loans:
    """The records by name, and which of them are open."""

    def __init__(self, view: Replica, changed: Callable[[str], None]) -> None:
        """Register with the replica; ``changed`` is called with each key that changes."""
        self.view = view
        self.home: dict[str, OriginRecord] = {}
        self.guest: dict[tuple[str, str], RemoteRecord] = {}
        self.peers: dict[str, PeerRec] = {}
        self.open_home: set[str] = set()
        self.open_guest: set[tuple[str, str]] = set()
        self._changed = changed
        view.extension_readers.update(l=self._put_home, g=self._put_guest, peer=self._put_peer)

    def _put_home(self, ref: str, stamp: int, raw: bytes | None) -> None:
        if raw is None:
            self.home.pop(ref, None)
            self.open_home.discard(ref)
        else:
            book = self.home[ref] = _home.decode(raw)
            if book.offload.state in OPEN_HOME:
                self.open_home.add(ref)
            else:
                self.open_home.discard(ref)
        self.mark(ref)
        self._changed(f"l/{ref}")

    def mark(self, ref: str) -> None:
        """Enter in a job which of its tasks are offloaded, and which a peer has done.

        While keys are listed, the record of an offload may be read before that of its job, so the leader
        calls this again before each pass.
        """
        job, book = self.view.jobs.get(ref), self.home.get(ref)
        if job is None:
            return
        if book is None:
            job.offloaded_tasks = 0
            return
        job.done_tasks |= book.offload.done_mask
        job.offloaded_tasks = lent_mask(job, book)

    def _put_guest(self, rest: str, stamp: int, raw: bytes | None) -> None:
        peer, _, ref = rest.partition("/")
        if raw is None:
            self.guest.pop((peer, ref), None)
            self.open_guest.discard((peer, ref))
        else:
            book = self.guest[peer, ref] = _guest.decode(raw)
            if book.offload.state == handoff.NO_OFFLOAD:
                self.open_guest.discard((peer, ref))
            else:
                self.open_guest.add((peer, ref))
        self._changed(f"g/{rest}")

    def _put_peer(self, name: str, stamp: int, raw: bytes | None) -> None:
        if raw is None:
            self.peers.pop(name, None)
        else:
            self.peers[name] = _peer.decode(raw)
        self._changed(f"peer/{name}")
