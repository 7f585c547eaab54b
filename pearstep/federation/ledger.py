"""The ledger of offloads: all records of one cluster as origin and as remote cluster.

It decides which records to write and which messages to send again, without input or output. It returns
entries; the caller commits each in a compare-and-swap transaction and then calls ``apply_commit``, which
returns the messages to send.

The records are those of the state service, so that a controller that takes over starts from them. The time
at which a message was last sent is not stored; a controller that takes over sends it once more.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

import msgspec

from pearstep.domain.job_spec import JobSpec
from pearstep.federation import handoff
from pearstep.federation.handoff import Message, OriginOffload, RemoteOffload
from pearstep.federation.offload_selection import Grant, PlannedOffer
from pearstep.federation.peer_health import PeerHealth
from pearstep.federation.terms import OriginTerm, Term

FIRST_BACKOFF_US, LONGEST_BACKOFF_US = 1_000_000, 30_000_000
MAX_MESSAGES_PER_ENVELOPE = 200
# One leadership may make so many offloads: a number is its fencing token times this, plus a count below it.
OFFLOADS_PER_FENCING_TOKEN = 1 << 20


class ResourceAmounts(msgspec.Struct, frozen=True):
    """An amount of each resource, such as the amounts that one task takes."""

    cpus: float = 1.0
    gpus: float = 0.0
    memory_gb: float = 0.0


class JobMessage(msgspec.Struct, frozen=True):
    """A message about a job, as it is sent over the link; ``ref`` is the job's id in its origin cluster.

    An offer carries the resources that one task takes and the job's specification as it was accepted. The
    remote cluster requests the job's description by its id.
    """

    ref: str
    message: Message
    need: ResourceAmounts = ResourceAmounts()
    spec: JobSpec | None = None
    term_us: int = 0  # the length of the term of work that may run twice
    at_us: int = 0  # the remote cluster's wall time at which it requested a renewal


class OriginRecord(msgspec.Struct, frozen=True, rename={"offload": "loan"}):
    """A job's record in its origin cluster: the offload, its current or last peer, the resources of one task.

    ``returned`` counts the offloads that a peer returned. ``forced`` is the operator's reason for ending an
    offload without the remote cluster.
    """

    offload: OriginOffload
    peer: str = ""
    need: ResourceAmounts = ResourceAmounts()
    returned: int = 0
    spec: JobSpec | None = None
    forced: str = ""
    term_us: int = 0
    since_us: int = 0  # wall time of the grant or of the last renewal, from which the term counts


class RemoteRecord(msgspec.Struct, frozen=True, rename={"offload": "loan"}):
    """The record of a peer's job in the remote cluster."""

    offload: RemoteOffload
    need: ResourceAmounts = ResourceAmounts()
    # Wall time of the reservation, or of the request for the last renewal, from which the term counts.
    since_us: int = 0
    spec: JobSpec | None = None
    term_us: int = 0


class LedgerEntry(msgspec.Struct):
    """A record to write if the stored one is still ``before``, and the messages that it then permits."""

    key: str
    before: OriginRecord | RemoteRecord | None
    after: OriginRecord | RemoteRecord
    peer: str
    messages: list[JobMessage]
    # Whether the remote cluster stops the offload by its own decision, with time for a checkpoint.
    graceful: bool = False


class OffloadLedger:
    """The offloads of one cluster."""

    def __init__(
        self,
        fencing_token: int,
        grants: dict[str, Grant],
        reserve_us: int,
        lease_us: int = 0,
        margin_us: int = 0,
    ) -> None:
        """Begin without records.

        Args:
            fencing_token: The fencing token of the leader; with a count it makes unique, growing numbers.
            grants: The resources that each peer is granted, by its name.
            reserve_us: How long resources are reserved for an offer.
            lease_us: The lease of our workers.
            margin_us: How long our controllers may take to notice a change, plus the error of their clocks.
        """
        self.lease_us, self.margin_us = lease_us, margin_us
        self.fencing_token = fencing_token
        self.offload_count = 0
        self.grants = grants
        self.reserve_us = reserve_us
        self.origin_records: dict[str, OriginRecord] = {}
        self.remote_records: dict[tuple[str, str], RemoteRecord] = {}
        self._open_origin: Collection[str] | None = None
        self._open_remote: Collection[tuple[str, str]] | None = None
        self._retries: dict[tuple[str, str, str], tuple[int, int]] = {}  # next time and backoff

    def load(
        self, origin_records: dict[str, OriginRecord], remote_records: dict[tuple[str, str], RemoteRecord]
    ) -> None:
        """Start from a copy of the records."""
        self.origin_records, self.remote_records = dict(origin_records), dict(remote_records)

    def follow_records(
        self,
        origin_records: dict[str, OriginRecord],
        remote_records: dict[tuple[str, str], RemoteRecord],
        open_origin: Collection[str],
        open_remote: Collection[tuple[str, str]],
    ) -> None:
        """Use records that follow the state service, so that decisions see what other controllers write.

        ``open_origin`` and ``open_remote`` name the records whose offloads are open. Each round visits only
        these: records are kept after their offloads end, so the cost of visiting all would grow each round.
        """
        self.origin_records, self.remote_records = origin_records, remote_records
        self._open_origin, self._open_remote = open_origin, open_remote

    def _origin_items(self) -> list[tuple[str, OriginRecord]]:
        """Return the records of the origin side, at least those whose offloads are open."""
        if self._open_origin is None:
            return list(self.origin_records.items())
        return [(job, self.origin_records[job]) for job in self._open_origin]

    def _remote_items(self) -> list[tuple[str, str, RemoteRecord]]:
        """Return the records of the remote side (peer, job, record), at least those that are open."""
        names = self.remote_records if self._open_remote is None else self._open_remote
        return [(peer, job, self.remote_records[peer, job]) for peer, job in names]

    def _permitted_messages(self) -> Iterator[tuple[str, str, str, list[JobMessage]]]:
        """Yield the messages that each record permits, as kind, peer, job, messages."""
        for job, origin_record in self._origin_items():
            yield (
                "l",
                origin_record.peer,
                job,
                [
                    self._job_message(job, m, origin_record)
                    for m in handoff.origin_messages(origin_record.offload)
                ],
            )
        for peer, job, remote_record in self._remote_items():
            yield "g", peer, job, [JobMessage(job, m) for m in handoff.remote_messages(remote_record.offload)]

    def record(self, key: str) -> OriginRecord | RemoteRecord | None:
        """Return the record of a key, or None."""
        kind, _, rest = key.partition("/")
        if kind == "l":
            return self.origin_records.get(rest)
        peer, _, job = rest.partition("/")
        return self.remote_records.get((peer, job))

    def has_unsent_messages(self, peer: str) -> bool:
        """Tell whether a message about an open offload has not been sent to a peer since it came back."""
        return any(
            messages and to == peer and (kind, to, job) not in self._retries
            for kind, to, job, messages in self._permitted_messages()
        )

    # -- decisions -------------------------------------------------------------------------------

    def offer(  # noqa: PLR0913 - the parts of an offer, all of which each call passes
        self,
        job: str,
        tasks: int,
        need: ResourceAmounts,
        planned: PlannedOffer,
        running_mask: int,
        rerunnable: bool,
        spec: JobSpec | None = None,
        term_us: int = 0,
    ) -> LedgerEntry | None:
        """Offer waiting tasks of a job to a peer, those with the lowest numbers first.

        Args:
            job: The id of the job.
            tasks: The number of its tasks.
            need: The resources that one task takes.
            planned: The peer, and how many tasks to offer.
            running_mask: The mask of tasks that run here.
            rerunnable: Whether the tasks may run twice.
            spec: The job as it was accepted.
            term_us: The term of work that may run twice.

        Returns:
            The entry to write, or None if nothing can be offered.
        """
        record = self.origin_records.get(job) or OriginRecord(OriginOffload(tasks, rerunnable=rerunnable))
        waiting_mask = record.offload.startable & ~running_mask
        task_mask = 0
        for task in range(tasks):
            if waiting_mask >> task & 1 and task_mask.bit_count() < planned.task_count:
                task_mask |= 1 << task
        self.offload_count += 1
        if self.offload_count >= OFFLOADS_PER_FENCING_TOKEN:
            return None
        number = self.fencing_token * OFFLOADS_PER_FENCING_TOKEN + self.offload_count
        offload, messages = handoff.offer(record.offload, number, task_mask, running_mask)
        if offload == record.offload:
            return None
        after = msgspec.structs.replace(
            record, offload=offload, peer=planned.peer, need=need, spec=spec, term_us=term_us
        )
        return self._origin_entry(job, after, messages)

    def change_origin(self, job: str, change: tuple[OriginOffload, list[Message]]) -> LedgerEntry | None:
        """Return the entry of a change that the origin cluster decides by itself, such as a recall."""
        record = self.origin_records.get(job)
        if record is None or change[0] == record.offload:
            return None
        return self._origin_entry(job, msgspec.structs.replace(record, offload=change[0]), change[1])

    def change_remote(
        self, peer: str, job: str, change: tuple[RemoteOffload, list[Message]]
    ) -> LedgerEntry | None:
        """Return the entry of a change that the remote cluster decides by itself, such as a finished task."""
        record = self.remote_records.get((peer, job))
        if record is None or change[0] == record.offload:
            return None
        return self._remote_entry(peer, job, msgspec.structs.replace(record, offload=change[0]), change[1])

    def receive(
        self, peer: str, job_message: JobMessage, free: ResourceAmounts, wall_us: int
    ) -> LedgerEntry | list[JobMessage]:
        """Apply a message of a peer.

        Args:
            peer: The name of the peer.
            job_message: The message.
            free: The resources free for offloads now; what is reserved is subtracted from them here.
            wall_us: The wall time.

        Returns:
            The entry to write, or, if nothing changes, the messages to answer with at once.
        """
        kind = job_message.message.kind
        if kind == handoff.RENEW:
            return self._receive_renew(peer, job_message, wall_us)
        if kind == handoff.RENEWED:
            return self._receive_renewed(peer, job_message)
        if kind in (handoff.OFFER, handoff.GRANT, handoff.RECALL, handoff.CONFIRM):
            remote_record = self.remote_records.get((peer, job_message.ref)) or RemoteRecord(RemoteOffload())
            fits = kind != handoff.OFFER or (
                self._fits(peer, job_message, free) and self._leaves_time_to_run(job_message)
            )
            remote_offload, answers = handoff.receive_at_remote(
                remote_record.offload, job_message.message, fits
            )
            out = [JobMessage(job_message.ref, m) for m in answers]
            if remote_offload == remote_record.offload:
                return out
            after = msgspec.structs.replace(remote_record, offload=remote_offload)
            if (
                remote_offload.state == handoff.RESERVED
                and remote_record.offload.number != remote_offload.number
            ):
                after = RemoteRecord(
                    remote_offload, job_message.need, wall_us, job_message.spec, job_message.term_us
                )
            if remote_offload.state == handoff.NO_OFFLOAD:
                after = RemoteRecord(remote_offload)  # only the highest number is kept
            return self._remote_entry(peer, job_message.ref, after, answers)
        record = self.origin_records.get(job_message.ref) or OriginRecord(
            OriginOffload(0, state=handoff.SETTLED)
        )
        if record.peer and record.peer != peer:
            # This peer no longer has the job, so its offload has ended. Its number differs from the current
            # one, so the answer is the same as for any earlier offload.
            old = msgspec.structs.replace(record.offload, state=handoff.AT_ORIGIN, number=0)
            _, answers = handoff.receive_at_origin(old, job_message.message)
            return [JobMessage(job_message.ref, m) for m in answers]
        before = record.offload
        offload, answers = handoff.receive_at_origin(before, job_message.message)
        if offload == before or job_message.ref not in self.origin_records:
            return [self._job_message(job_message.ref, m, record) for m in answers]
        came_back = (
            before.state in (handoff.GRANTED, handoff.RECALLING) and offload.state == handoff.AT_ORIGIN
        )
        since = (
            wall_us
            if offload.state == handoff.GRANTED and before.state == handoff.OFFERED
            else record.since_us
        )
        ended = msgspec.structs.replace(
            record, offload=offload, returned=record.returned + came_back, since_us=since
        )
        return self._origin_entry(job_message.ref, ended, answers)

    # -- terms -----------------------------------------------------------------------------------

    def term(self, record: OriginRecord | RemoteRecord) -> Term | None:
        """Return the term of an offload, computed with this cluster's settings; None if it has none."""
        save_us = record.spec.save_us if record.spec is not None else 0
        return Term(record.term_us, self.lease_us, save_us, self.margin_us) if record.term_us else None

    def _leaves_time_to_run(self, job_message: JobMessage) -> bool:
        """Tell whether the term of an offer leaves any time to run.

        Work that may run twice needs a term longer than the time that this cluster needs to stop it.
        """
        if not job_message.message.rerunnable:
            return True
        save_us = job_message.spec.save_us if job_message.spec is not None else 0
        return Term(job_message.term_us, self.lease_us, save_us, self.margin_us).leaves_time_to_run

    def run_until_us(self, record: RemoteRecord) -> int:
        """Return the wall time until which a peer's job may run here; 0 if it has no term."""
        term = self.term(record)
        return record.since_us + term.stop_us if term is not None else 0

    def term_has_ended(self, record: OriginRecord, wall_us: int) -> bool:
        """Tell whether the remote cluster has certainly stopped; its term began no later than ours."""
        term = self.term(record)
        running = record.offload.state in (handoff.GRANTED, handoff.RECALLING) and record.offload.rerunnable
        return running and term is not None and OriginTerm(term, record.since_us).has_ended(wall_us)

    def renewal_request(self, peer: str, ref: str, wall_us: int) -> JobMessage | None:
        """Return the request to renew a held offload if half of its running time has passed, else None."""
        record = self.remote_records.get((peer, ref))
        term = self.term(record) if record is not None else None
        if record is None or term is None or record.offload.state != handoff.HOLDING:
            return None
        if not term.renew_us <= wall_us - record.since_us < term.stop_us:
            return None
        return JobMessage(ref, Message(handoff.RENEW, record.offload.number), at_us=wall_us)

    def _receive_renew(
        self, peer: str, job_message: JobMessage, wall_us: int
    ) -> LedgerEntry | list[JobMessage]:
        """Apply a request to renew a term; the renewal is stored before it is answered."""
        record = self.origin_records.get(job_message.ref)
        if record is None or record.peer != peer or record.offload.number != job_message.message.number:
            return []
        if record.offload.state != handoff.GRANTED:
            return [
                self._job_message(job_message.ref, m, record) for m in handoff.origin_messages(record.offload)
            ]
        after = msgspec.structs.replace(record, since_us=max(record.since_us, wall_us))
        entry = self._origin_entry(job_message.ref, after, [])
        entry.messages = [
            JobMessage(
                job_message.ref, Message(handoff.RENEWED, record.offload.number), at_us=job_message.at_us
            )
        ]
        return entry

    def _receive_renewed(self, peer: str, job_message: JobMessage) -> LedgerEntry | list[JobMessage]:
        """Apply a renewal, which counts from the time of our request by our own clock."""
        record = self.remote_records.get((peer, job_message.ref))
        if (
            record is None
            or record.offload.number != job_message.message.number
            or record.offload.state != handoff.HOLDING
        ):
            return []
        if job_message.at_us <= record.since_us:
            return []
        return self._remote_entry(
            peer, job_message.ref, msgspec.structs.replace(record, since_us=job_message.at_us), []
        )

    def _fits(self, peer: str, job_message: JobMessage, free: ResourceAmounts) -> bool:
        """Tell whether an offer fits in the free resources and in the unused part of the peer's grant."""
        grant = self.grants.get(peer)
        if grant is None:
            return False
        used = self.used(peer)
        count = job_message.message.task_mask.bit_count()
        need = (
            job_message.need.cpus * count,
            job_message.need.gpus * count,
            job_message.need.memory_gb * count,
        )
        reserved = self.reserved()
        granted = (grant.cpus, grant.gpus, grant.memory_gb)
        available = (free.cpus, free.gpus, free.memory_gb)
        return all(
            needed_amount <= free_amount - reserved_amount + 1e-9
            and needed_amount <= granted_amount - used_amount + 1e-9
            for needed_amount, free_amount, reserved_amount, granted_amount, used_amount in zip(
                need, available, reserved, granted, used, strict=True
            )
        )

    def used(self, peer: str) -> tuple[float, float, float]:
        """Return the resources that a peer uses of its grant: reserved, running and stopping."""
        return _total_amounts(
            record
            for used_by, _, record in self._remote_items()
            if used_by == peer and record.offload.state in _OCCUPYING_STATES
        )

    def reserved(self) -> tuple[float, float, float]:
        """Return the resources that are reserved for accepted offers that are not granted yet."""
        return _total_amounts(
            record for _, _, record in self._remote_items() if record.offload.state == handoff.RESERVED
        )

    # -- entries ---------------------------------------------------------------------------------

    def _origin_entry(self, job: str, after: OriginRecord, messages: list[Message]) -> LedgerEntry:
        before = self.origin_records.get(job)
        return LedgerEntry(
            f"l/{job}", before, after, after.peer, [self._job_message(job, m, after) for m in messages]
        )

    @staticmethod
    def _job_message(job: str, message: Message, record: OriginRecord) -> JobMessage:
        if message.kind != handoff.OFFER:
            return JobMessage(job, message, record.need)
        return JobMessage(job, message, record.need, record.spec, record.term_us)

    def _remote_entry(self, peer: str, job: str, after: RemoteRecord, messages: list[Message]) -> LedgerEntry:
        before = self.remote_records.get((peer, job))
        return LedgerEntry(f"g/{peer}/{job}", before, after, peer, [JobMessage(job, m) for m in messages])

    def apply_commit(self, entry: LedgerEntry, now_us: int) -> list[JobMessage]:
        """Apply a committed entry; return the messages that may be sent now."""
        kind, _, rest = entry.key.partition("/")
        if kind == "l":
            assert isinstance(entry.after, OriginRecord)
            self.origin_records[rest] = entry.after
        else:
            assert isinstance(entry.after, RemoteRecord)
            self.remote_records[entry.peer, rest.partition("/")[2]] = entry.after
        self._retries.pop((kind, entry.peer, rest.rpartition("/")[2]), None)
        for job_message in entry.messages:
            self._schedule_retry((kind, entry.peer, job_message.ref), now_us)
        return entry.messages

    # -- retries ---------------------------------------------------------------------------------

    def _schedule_retry(self, key: tuple[str, str, str], now_us: int) -> None:
        pause = self._retries.get(key, (0, FIRST_BACKOFF_US // 2))[1] * 2
        self._retries[key] = (now_us + pause, min(pause, LONGEST_BACKOFF_US // 2))

    def due_messages(self, peers: dict[str, PeerHealth], now_us: int) -> dict[str, list[JobMessage]]:
        """Return the messages to send again by peer, and about as many as fit an envelope.

        An unanswered message is sent again after a backoff that doubles. A peer that came back receives the
        messages of every open offload before it counts as up.
        """
        out: dict[str, list[JobMessage]] = {}
        for kind, peer, job, messages in self._permitted_messages():
            if not messages or peer not in peers:
                continue
            key = (kind, peer, job)
            batch = out.setdefault(peer, [])
            if now_us >= self._retries.get(key, (0, 0))[0] and len(batch) < MAX_MESSAGES_PER_ENVELOPE:
                batch += messages
                self._schedule_retry(key, now_us)
        return {peer: batch for peer, batch in out.items() if batch}

    def reset_backoffs(self, peer: str) -> None:
        """Reset the backoffs for a peer that answers again; all open messages to it are sent at once."""
        self._retries = {key: when for key, when in self._retries.items() if key[1] != peer}

    def record_changed(self, key: str) -> None:
        """Reset the backoff of a record that another controller wrote; its messages are sent at once."""
        kind, _, rest = key.partition("/")
        job = rest.rpartition("/")[2]
        self._retries = {k: when for k, when in self._retries.items() if (k[0], k[2]) != (kind, job)}

    def expired_reservations(self, wall_us: int) -> list[LedgerEntry]:
        """Return the entries that end the reservations whose time has passed."""
        out = []
        for peer, job, record in self._remote_items():
            if record.offload.state == handoff.RESERVED and wall_us - record.since_us >= self.reserve_us:
                entry = self.change_remote(peer, job, (handoff.expire_reservation(record.offload), []))
                if entry is not None:
                    out.append(entry)
        return out


_OCCUPYING_STATES = (handoff.RESERVED, handoff.HOLDING, handoff.STOPPING)


def _total_amounts(records: Iterable[RemoteRecord]) -> tuple[float, float, float]:
    cpus = gpus = memory = 0.0
    for record in records:
        count = (record.offload.task_mask & ~record.offload.done_mask).bit_count()
        cpus += record.need.cpus * count
        gpus += record.need.gpus * count
        memory += record.need.memory_gb * count
    return cpus, gpus, memory
