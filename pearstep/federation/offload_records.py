"""The stored records of offloads and peers, which every controller follows.

- ``l/<job>``: a job in its origin cluster, written by the leader and by a controller that accepts a
  cancellation of the job.
- ``g/<peer>/<job>``: a peer's job in the remote cluster, written by the leader.
- ``peer/<name>``: a peer, written by operators.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pearstep.federation import handoff
from pearstep.federation.ledger import OriginRecord, RemoteRecord
from pearstep.federation.offload_selection import Grant
from pearstep.state.job import Job
from pearstep.state.replica import Replica

OPEN_ORIGIN_STATES = (handoff.OFFERED, handoff.GRANTED, handoff.RECALLING)


class PeerRecord(msgspec.Struct, omit_defaults=True):
    """A peer as an operator entered it.

    Attributes:
        addrs: The addresses of its controllers.
        lend: Whether our jobs may be offloaded to it.
        grant: The resources that its jobs may use here.
        price: The price of its machines relative to ours.
        drained: Whether no new offload is made in either direction.
        forgotten: The operator's reason why it will never answer again. The work that it holds is taken back;
            it runs twice if the operator is wrong.
    """

    addrs: list[str]
    lend: bool = True
    grant: Grant = Grant()
    price: float = 1.0
    drained: bool = False
    forgotten: str = ""


_origin_decoder = msgspec.json.Decoder(OriginRecord)
_remote_decoder = msgspec.json.Decoder(RemoteRecord)
_peer_decoder = msgspec.json.Decoder(PeerRecord)


def offloaded_task_mask(job: Job, record: OriginRecord) -> int:
    """Return the mask of tasks that must not be routed here.

    These are the offloaded tasks, or all tasks while a cancellation waits for the answer of a peer.
    """
    if record.offload.cancel_requested and not job.is_final:
        return job.spec.all_tasks
    return record.offload.task_mask if record.offload.state in OPEN_ORIGIN_STATES else 0


class OffloadRecords:
    """The records of offloads and peers by name, and the names of those whose offloads are open."""

    def __init__(self, replica: Replica, on_change: Callable[[str], None]) -> None:
        """Register with the replica; ``on_change`` is called with each key that changes."""
        self.replica = replica
        self.origin_records: dict[str, OriginRecord] = {}
        self.remote_records: dict[tuple[str, str], RemoteRecord] = {}
        self.peers: dict[str, PeerRecord] = {}
        self.open_origin: set[str] = set()
        self.open_remote: set[tuple[str, str]] = set()
        self._on_change = on_change
        replica.extension_readers.update(
            l=self._put_origin_record, g=self._put_remote_record, peer=self._put_peer_record
        )

    def _put_origin_record(self, ref: str, revision: int, raw: bytes | None) -> None:
        if raw is None:
            self.origin_records.pop(ref, None)
            self.open_origin.discard(ref)
        else:
            record = self.origin_records[ref] = _origin_decoder.decode(raw)
            if record.offload.state in OPEN_ORIGIN_STATES:
                self.open_origin.add(ref)
            else:
                self.open_origin.discard(ref)
        self.mark_offloaded_tasks(ref)
        self._on_change(f"l/{ref}")

    def mark_offloaded_tasks(self, ref: str) -> None:
        """Set in a job which of its tasks are offloaded and which a peer has done.

        When keys are listed, the record of an offload may be read before that of its job, so the leader calls
        this again before each scheduling pass.
        """
        job, record = self.replica.jobs.get(ref), self.origin_records.get(ref)
        if job is None:
            return
        if record is None:
            job.offloaded_tasks = 0
            return
        job.done_tasks |= record.offload.done_mask
        job.offloaded_tasks = offloaded_task_mask(job, record)

    def _put_remote_record(self, rest: str, revision: int, raw: bytes | None) -> None:
        peer, _, ref = rest.partition("/")
        if raw is None:
            self.remote_records.pop((peer, ref), None)
            self.open_remote.discard((peer, ref))
        else:
            record = self.remote_records[peer, ref] = _remote_decoder.decode(raw)
            if record.offload.state == handoff.NO_OFFLOAD:
                self.open_remote.discard((peer, ref))
            else:
                self.open_remote.add((peer, ref))
        self._on_change(f"g/{rest}")

    def _put_peer_record(self, name: str, revision: int, raw: bytes | None) -> None:
        if raw is None:
            self.peers.pop(name, None)
        else:
            self.peers[name] = _peer_decoder.decode(raw)
        self._on_change(f"peer/{name}")
