"""The ledger of offloads: all records of one cluster as origin and as remote cluster.

It decides what is to be written and which messages are to be sent again, without input or output: it returns
entries; the caller commits each in a compare-and-swap transaction and then calls ``written``, which permits
the messages.

The records are those of the state service, so that a controller that takes over starts from them. When a
message was last sent is not stored, so that it is sent once more then.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

import msgspec

from pearstep.domain.job_spec import JobSpec
from pearstep.federation import handoff
from pearstep.federation.handoff import Message, OriginOffload, RemoteOffload
from pearstep.federation.offload_selection import Grant, Lend
from pearstep.federation.peer_health import Peer
from pearstep.federation.terms import HomeTerm, Term

FIRST_AGAIN_US, LONGEST_AGAIN_US = 1_000_000, 30_000_000
MOST_IN_ENVELOPE = 200
# Offloads that one leadership may make: their numbers are its fencing token and a count below this.
PER_STAMP = 1 << 20


class Need(msgspec.Struct, frozen=True):
    """The resources that one task takes."""

    cpus: float = 1.0
    gpus: float = 0.0
    memory_gb: float = 0.0


class Said(msgspec.Struct, frozen=True):
    """A message about a job, as it goes over the link; the job's id is that of its origin cluster.

    An offer has what its tasks need, and the job as it was accepted; what it runs is requested by its id.
    """

    ref: str
    message: Message
    need: Need = Need()
    spec: JobSpec | None = None
    # For work with a term: its length, and when, by the remote cluster's wall clock, it asked to renew.
    term_us: int = 0
    at_us: int = 0


class HomeBook(msgspec.Struct, frozen=True):
    """A job as its origin cluster records it: the offload, its present or last peer, what a task needs.

    ``forced`` says which operator ended an offload without the remote cluster, and why.
    """

    loan: OriginOffload
    peer: str = ""
    need: Need = Need()
    returned: int = 0
    spec: JobSpec | None = None
    forced: str = ""
    term_us: int = 0
    since_us: int = 0  # wall time from which the term counts: of the grant, or of the last renewal


class GuestBook(msgspec.Struct, frozen=True):
    """A job's record as guest of a peer."""

    loan: RemoteOffload
    need: Need = Need()
    # Time of day of the reservation, or at which the last renewal was asked for: the term counts from here.
    since_us: int = 0
    spec: JobSpec | None = None
    term_us: int = 0


class Entry(msgspec.Struct):
    """A record to write, by key, under the condition that it is still ``before``; then what it permits."""

    key: str
    before: HomeBook | GuestBook | None
    after: HomeBook | GuestBook
    peer: str
    says: list[Said]
    # Of a loan that is being stopped: of our own accord, with time to save.
    orderly: bool = False


class Books:
    """The offloads of one cluster."""

    def __init__(
        self, stamp: int, grants: dict[str, Grant], reserve_us: int, lease_us: int = 0, margin_us: int = 0
    ) -> None:
        """Begin without records.

        Args:
            stamp: The fencing token of the leader; with a count it makes numbers that are unique and grow.
            grants: What each peer is granted, by its name.
            reserve_us: How long resources are reserved for an offer.
            lease_us: The lease of our workers.
            margin_us: How long our controllers may take to notice something, with the error of their clocks.
        """
        self.lease_us, self.margin_us = lease_us, margin_us
        self.stamp = stamp
        self.count = 0
        self.grants = grants
        self.reserve_us = reserve_us
        self.home: dict[str, HomeBook] = {}
        self.guest: dict[tuple[str, str], GuestBook] = {}
        self._open_home: Collection[str] | None = None
        self._open_guest: Collection[tuple[str, str]] | None = None
        self._again: dict[tuple[str, str, str], tuple[int, int]] = {}  # next time and backoff

    def load(self, home: dict[str, HomeBook], guest: dict[tuple[str, str], GuestBook]) -> None:
        """Start from a copy of the records."""
        self.home, self.guest = dict(home), dict(guest)

    def share(
        self,
        home: dict[str, HomeBook],
        guest: dict[tuple[str, str], GuestBook],
        open_home: Collection[str],
        open_guest: Collection[tuple[str, str]],
    ) -> None:
        """Use records that follow the state service, so that decisions see what other controllers write.

        ``open_home`` and ``open_guest`` name the records whose offloads are open. Only these are gone
        through: records outlive their offloads, and each round would cost more than the one before.
        """
        self.home, self.guest = home, guest
        self._open_home, self._open_guest = open_home, open_guest

    def _homes(self) -> list[tuple[str, HomeBook]]:
        """Return the records as origin cluster, at least those whose offloads are open."""
        if self._open_home is None:
            return list(self.home.items())
        return [(job, self.home[job]) for job in self._open_home]

    def _guests(self) -> list[tuple[str, str, GuestBook]]:
        """Return the records as remote cluster (peer, job, record), at least those that are open."""
        names = self.guest if self._open_guest is None else self._open_guest
        return [(peer, job, self.guest[peer, job]) for peer, job in names]

    def _says(self) -> Iterator[tuple[str, str, str, list[Said]]]:
        """Yield what every record permits to be sent: kind, peer, job, messages."""
        for job, home in self._homes():
            yield "l", home.peer, job, [self._said(job, m, home) for m in handoff.origin_messages(home.loan)]
        for peer, job, guest in self._guests():
            yield "g", peer, job, [Said(job, m) for m in handoff.remote_messages(guest.loan)]

    def record(self, key: str) -> HomeBook | GuestBook | None:
        """Return the record of a key, or None."""
        kind, _, rest = key.partition("/")
        if kind == "l":
            return self.home.get(rest)
        peer, _, job = rest.partition("/")
        return self.guest.get((peer, job))

    def unsaid(self, peer: str) -> bool:
        """Tell whether a message about an open offload has not been sent to a peer since it came back."""
        return any(
            says and to == peer and (kind, to, job) not in self._again for kind, to, job, says in self._says()
        )

    # -- decisions -------------------------------------------------------------------------------

    def lend(  # noqa: PLR0913 - the offer of a job has so many parts, and each call gives them all
        self,
        job: str,
        tasks: int,
        need: Need,
        lend: Lend,
        running: int,
        rerunnable: bool,
        spec: JobSpec | None = None,
        term_us: int = 0,
    ) -> Entry | None:
        """Offer waiting tasks of a job to a peer, from the lowest on.

        Args:
            job: The id of the job.
            tasks: The number of its tasks.
            need: What one task takes.
            lend: The peer, and how many tasks to offer.
            running: The mask of tasks that run here.
            rerunnable: Whether the tasks may run twice.
            spec: The job as it was accepted.
            term_us: The term of work that may run twice.

        Returns:
            The entry to write, or None if nothing can be offered.
        """
        book = self.home.get(job) or HomeBook(OriginOffload(tasks, rerunnable=rerunnable))
        waiting = book.loan.startable & ~running
        task_mask = 0
        for task in range(tasks):
            if waiting >> task & 1 and task_mask.bit_count() < lend.rows:
                task_mask |= 1 << task
        self.count += 1
        if self.count >= PER_STAMP:
            return None
        number = self.stamp * PER_STAMP + self.count
        loan, said = handoff.offer(book.loan, number, task_mask, running)
        if loan == book.loan:
            return None
        after = msgspec.structs.replace(
            book, loan=loan, peer=lend.peer, need=need, spec=spec, term_us=term_us
        )
        return self._home_entry(job, after, said)

    def act(self, job: str, change: tuple[OriginOffload, list[Message]]) -> Entry | None:
        """Return the entry of a change that the origin cluster makes by itself, such as a recall."""
        book = self.home.get(job)
        if book is None or change[0] == book.loan:
            return None
        return self._home_entry(job, msgspec.structs.replace(book, loan=change[0]), change[1])

    def act_as_guest(self, peer: str, job: str, change: tuple[RemoteOffload, list[Message]]) -> Entry | None:
        """Return the entry of a change that the remote cluster makes by itself, such as a finished task."""
        book = self.guest.get((peer, job))
        if book is None or change[0] == book.loan:
            return None
        return self._guest_entry(peer, job, msgspec.structs.replace(book, loan=change[0]), change[1])

    def hear(self, peer: str, said: Said, free: Need, wall_us: int) -> Entry | list[Said]:
        """Take in a message of a peer.

        Args:
            peer: The name of the peer.
            said: The message.
            free: What the cluster has free for offloads now, without what is reserved.
            wall_us: The wall time.

        Returns:
            The entry to write, or, if nothing changes, what to answer at once.
        """
        kind = said.message.kind
        if kind == handoff.RENEW:
            return self._renew(peer, said, wall_us)
        if kind == handoff.RENEWED:
            return self._renewed(peer, said)
        if kind in (handoff.OFFER, handoff.GRANT, handoff.RECALL, handoff.CONFIRM):
            guest = self.guest.get((peer, said.ref)) or GuestBook(RemoteOffload())
            fits = kind != handoff.OFFER or (self._room(peer, said, free) and self._usable(said))
            loan, answers = handoff.receive_at_remote(guest.loan, said.message, fits)
            out = [Said(said.ref, m) for m in answers]
            if loan == guest.loan:
                return out
            after = msgspec.structs.replace(guest, loan=loan)
            if loan.state == handoff.RESERVED and guest.loan.number != loan.number:
                after = GuestBook(loan, said.need, wall_us, said.spec, said.term_us)
            if loan.state == handoff.NO_OFFLOAD:
                after = GuestBook(loan)  # only the number must be remembered
            return self._guest_entry(peer, said.ref, after, answers)
        book = self.home.get(said.ref) or HomeBook(OriginOffload(0, state=handoff.SETTLED))
        if book.peer and book.peer != peer:
            # This peer no longer has the job, so its offload has ended. Its number is never the present one,
            # so that the answer is the same as for any earlier offload.
            old = msgspec.structs.replace(book.loan, state=handoff.AT_ORIGIN, number=0)
            _, answers = handoff.receive_at_origin(old, said.message)
            return [Said(said.ref, m) for m in answers]
        before = book.loan
        home, answers = handoff.receive_at_origin(before, said.message)
        if home == before or said.ref not in self.home:
            return [self._said(said.ref, m, book) for m in answers]
        came_back = before.state in (handoff.GRANTED, handoff.RECALLING) and home.state == handoff.AT_ORIGIN
        since = (
            wall_us if home.state == handoff.GRANTED and before.state == handoff.OFFERED else book.since_us
        )
        ended = msgspec.structs.replace(book, loan=home, returned=book.returned + came_back, since_us=since)
        return self._home_entry(said.ref, ended, answers)

    # -- terms -----------------------------------------------------------------------------------

    def term(self, book: HomeBook | GuestBook) -> Term | None:
        """Return the term of an offload as this side computes it; None if it has none."""
        save_us = book.spec.save_us if book.spec is not None else 0
        return Term(book.term_us, self.lease_us, save_us, self.margin_us) if book.term_us else None

    def _usable(self, said: Said) -> bool:
        """Tell whether an offer leaves any time to run.

        Work that may run twice needs a term that is longer than what we need to stop it.
        """
        if not said.message.rerunnable:
            return True
        save_us = said.spec.save_us if said.spec is not None else 0
        return Term(said.term_us, self.lease_us, save_us, self.margin_us).usable

    def until_us(self, book: GuestBook) -> int:
        """Return the wall time from which on a job of a peer may not run here; 0 if there is none."""
        term = self.term(book)
        return book.since_us + term.stop_us if term is not None else 0

    def over(self, book: HomeBook, wall_us: int) -> bool:
        """Tell whether the remote cluster has certainly stopped: its term began no later than ours."""
        term = self.term(book)
        running = book.loan.state in (handoff.GRANTED, handoff.RECALLING) and book.loan.rerunnable
        return running and term is not None and HomeTerm(term, book.since_us).over(wall_us)

    def renewal(self, peer: str, ref: str, wall_us: int) -> Said | None:
        """Return the request to renew an offload that we hold, if half of its time is over."""
        book = self.guest.get((peer, ref))
        term = self.term(book) if book is not None else None
        if book is None or term is None or book.loan.state != handoff.HOLDING:
            return None
        if not term.renew_us <= wall_us - book.since_us < term.stop_us:
            return None
        return Said(ref, Message(handoff.RENEW, book.loan.number), at_us=wall_us)

    def _renew(self, peer: str, said: Said, wall_us: int) -> Entry | list[Said]:
        """Take in a request to renew, which is stored before it is answered."""
        book = self.home.get(said.ref)
        if book is None or book.peer != peer or book.loan.number != said.message.number:
            return []
        if book.loan.state != handoff.GRANTED:
            return [self._said(said.ref, m, book) for m in handoff.origin_messages(book.loan)]
        after = msgspec.structs.replace(book, since_us=max(book.since_us, wall_us))
        entry = self._home_entry(said.ref, after, [])
        entry.says = [Said(said.ref, Message(handoff.RENEWED, book.loan.number), at_us=said.at_us)]
        return entry

    def _renewed(self, peer: str, said: Said) -> Entry | list[Said]:
        """Take in that the origin cluster has renewed the term from the time of our request, by our clock."""
        book = self.guest.get((peer, said.ref))
        if book is None or book.loan.number != said.message.number or book.loan.state != handoff.HOLDING:
            return []
        if said.at_us <= book.since_us:
            return []
        return self._guest_entry(peer, said.ref, msgspec.structs.replace(book, since_us=said.at_us), [])

    def _room(self, peer: str, said: Said, free: Need) -> bool:
        """Tell whether an offer fits in what is free and in what is left of the peer's grant."""
        grant = self.grants.get(peer)
        if grant is None:
            return False
        used = self.used(peer)
        count = said.message.task_mask.bit_count()
        need = (said.need.cpus * count, said.need.gpus * count, said.need.memory_gb * count)
        reserved = self.reserved()
        granted = (grant.cpus, grant.gpus, grant.memory_gb)
        there = (free.cpus, free.gpus, free.memory_gb)
        return all(
            n <= f - r + 1e-9 and n <= g - u + 1e-9
            for n, f, r, g, u in zip(need, there, reserved, granted, used, strict=True)
        )

    def used(self, peer: str) -> tuple[float, float, float]:
        """Return what a peer uses of its grant: reserved, running and stopping."""
        return _sum(b for p, _, b in self._guests() if p == peer and b.loan.state in _OCCUPIED)

    def reserved(self) -> tuple[float, float, float]:
        """Return what is reserved for offers that were accepted and not granted yet."""
        return _sum(b for _, _, b in self._guests() if b.loan.state == handoff.RESERVED)

    # -- entries ---------------------------------------------------------------------------------

    def _home_entry(self, job: str, after: HomeBook, says: list[Message]) -> Entry:
        before = self.home.get(job)
        return Entry(f"l/{job}", before, after, after.peer, [self._said(job, m, after) for m in says])

    @staticmethod
    def _said(job: str, message: Message, book: HomeBook) -> Said:
        if message.kind != handoff.OFFER:
            return Said(job, message, book.need)
        return Said(job, message, book.need, book.spec, book.term_us)

    def _guest_entry(self, peer: str, job: str, after: GuestBook, says: list[Message]) -> Entry:
        before = self.guest.get((peer, job))
        return Entry(f"g/{peer}/{job}", before, after, peer, [Said(job, m) for m in says])

    def written(self, entry: Entry, now_us: int) -> list[Said]:
        """Take in that an entry was committed; return what may be sent now."""
        kind, _, rest = entry.key.partition("/")
        if kind == "l":
            assert isinstance(entry.after, HomeBook)
            self.home[rest] = entry.after
        else:
            assert isinstance(entry.after, GuestBook)
            self.guest[entry.peer, rest.partition("/")[2]] = entry.after
        self._again.pop((kind, entry.peer, rest.rpartition("/")[2]), None)
        for said in entry.says:
            self._note((kind, entry.peer, said.ref), now_us)
        return entry.says

    # -- retries ---------------------------------------------------------------------------------

    def _note(self, key: tuple[str, str, str], now_us: int) -> None:
        pause = self._again.get(key, (0, FIRST_AGAIN_US // 2))[1] * 2
        self._again[key] = (now_us + pause, min(pause, LONGEST_AGAIN_US // 2))

    def due(self, peers: dict[str, Peer], now_us: int) -> dict[str, list[Said]]:
        """Return what is to be sent again by peer, at most an envelope each.

        That is what has not been answered, after a backoff that doubles. A peer that came back is told of
        every offload before it counts as up.
        """
        out: dict[str, list[Said]] = {}
        for kind, peer, job, says in self._says():
            if not says or peer not in peers:
                continue
            key = (kind, peer, job)
            box = out.setdefault(peer, [])
            if now_us >= self._again.get(key, (0, 0))[0] and len(box) < MOST_IN_ENVELOPE:
                box += says
                self._note(key, now_us)
        return {peer: box for peer, box in out.items() if box}

    def back(self, peer: str) -> None:
        """Forget the backoffs for a peer that is heard from again: what is open with it is sent at once."""
        self._again = {key: when for key, when in self._again.items() if key[1] != peer}

    def changed(self, key: str) -> None:
        """Take in that another controller wrote a record: what it permits is sent at once."""
        kind, _, rest = key.partition("/")
        job = rest.rpartition("/")[2]
        self._again = {k: when for k, when in self._again.items() if (k[0], k[2]) != (kind, job)}

    def overdue(self, wall_us: int) -> list[Entry]:
        """Return the entries that end reservations whose time is over."""
        out = []
        for peer, job, book in self._guests():
            if book.loan.state == handoff.RESERVED and wall_us - book.since_us >= self.reserve_us:
                entry = self.act_as_guest(peer, job, (handoff.expire_reservation(book.loan), []))
                if entry is not None:
                    out.append(entry)
        return out


_OCCUPIED = (handoff.RESERVED, handoff.HOLDING, handoff.STOPPING)


def _sum(books: Iterable[GuestBook]) -> tuple[float, float, float]:
    cpus = gpus = memory = 0.0
    for book in books:
        count = (book.loan.task_mask & ~book.loan.done_mask).bit_count()
        cpus += book.need.cpus * count
        gpus += book.need.gpus * count
        memory += book.need.memory_gb * count
    return cpus, gpus, memory
