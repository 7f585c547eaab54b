"""What the archive keeps of an attempt, and what may change: decisions without input or output.

Every attempt has a record of its own, named by job, task, attempt and its writer (machine and start number),
so that no two writers ever share one: a later attempt can't touch an earlier one, whatever arrives late.
"""

from __future__ import annotations

import msgspec

from pearstep.domain.state_machine import TransitionTable

OPEN = "open"  # its worker writes
LOST = "lost"  # its worker has been silent for too long; what it may still bring is taken
SEALED = "sealed"  # ended, and every byte that it wrote is here or known to be missing
EXPIRED = "expired"  # kept long enough: its bytes are given back, the record tells that it was there

ATTEMPT = TransitionTable(
    "attempt",
    {
        OPEN: (LOST, SEALED),
        LOST: (OPEN, SEALED, EXPIRED),
        SEALED: (EXPIRED,),
        EXPIRED: (),
    },
)

# Of two copies of a record the further one is the newer; lost is as far as open, since it may go on.
RANK = {OPEN: 0, LOST: 0, SEALED: 1, EXPIRED: 2}

# How an attempt ended. A halted one was told to stop; a killed one had no time to end by itself.
CAUSES = ("done", "error", "halted", "saved", "killed", "mates gone", "alone")
STREAMS = ("stdout", "stderr")
MOST_CHUNK = 1024 * 1024


class Key(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The name of an attempt's record.

    ``start`` is the writer's own count of what it ever started: an attempt that was forgotten and started
    once more is another record.
    """

    job: str
    task: int
    attempt: int
    machine: str
    start: int

    def text(self) -> str:
        """For logs and for hashing."""
        return f"{self.job}/{self.task}/{self.attempt}/{self.machine}/{self.start}"


class Record(msgspec.Struct, array_like=True):
    """One attempt.

    ``version`` grows with each change of the record, so that copies of it, and frames read again after a
    crash, need no order: the highest version is the latest.
    """

    key: Key
    version: int = 1
    state: str = OPEN
    session: int = 0
    team: str = ""
    cls: str = ""
    opened_us: int = 0
    ended_us: int = 0
    cause: str = ""
    code: int | None = None
    ends: dict[str, int] = {}
    # Where the record stops being certain, by stream, while it is lost.
    lost_from: dict[str, int] = {}


class Chunk(msgspec.Struct, array_like=True):
    """Bytes of a stream from ``offset`` on.

    ``data`` is compressed (zstd), ``length`` counts plain bytes, ``digest`` is XXH3 of the plain bytes. A
    hole has no data: its bytes were dropped by the writer, which says so instead of leaving a silent gap.
    """

    stream: str
    offset: int
    length: int
    digest: int = 0
    data: bytes = b""
    hole: bool = False


class Seal(msgspec.Struct, array_like=True):
    """The end of an attempt: why, its exit code, and how long each stream is."""

    cause: str
    code: int | None
    ends: dict[str, int]
    at_us: int


class Append(msgspec.Struct, array_like=True):
    """What a writer sends for one attempt: its next chunks, and perhaps its end.

    Without either it says that the attempt is still alive.
    """

    key: Key
    session: int
    team: str
    cls: str
    opened_us: int
    chunks: list[Chunk] = []
    seal: Seal | None = None


class Live(msgspec.Struct):
    """A record with how much of each stream is here, and when its writer was last heard (steady clock)."""

    record: Record
    have: dict[str, int]
    heard_us: int = 0


class Verdict(msgspec.Struct):
    """What becomes of an append: ``status`` as in HTTP; what is to be written; how much there is then."""

    status: int
    why: str = ""
    record: Record | None = None
    chunks: list[Chunk] = []
    have: dict[str, int] = {}


def change(record: Record, to: str, **fields: object) -> Record:
    """The only place where a record changes its state: a new version of it."""
    new = msgspec.structs.replace(record, version=record.version + 1, **fields)
    ATTEMPT.transition(new, to)
    return new


def decide(live: Live | None, append: Append) -> Verdict:  # noqa: C901, PLR0912 - one rule after another; to be split
    """Decide what an append means for what is here.

    Nothing is changed: the caller writes ``record`` and ``chunks`` first, and takes them for true only once
    they are durable.

    - a chunk that is here already is confirmed and not stored again;
    - a gap is refused (409) with ``have`` telling what is wanted;
    - a writer of an earlier session of the same machine is fenced (403): a newer agent has taken over;
    - a seal counts only when all it names is here.
    """
    if live is None:
        record = Record(append.key, 0, OPEN, append.session, append.team, append.cls, append.opened_us)
        have: dict[str, int] = {}
    else:
        record, have = live.record, dict(live.have)
    if append.session < record.session:
        return Verdict(403, "a later session of this machine writes this attempt", have=have)
    if record.state == EXPIRED:
        return Verdict(410, "this attempt is past its retention", have=have)
    bad = next((why for c in append.chunks if (why := _wrong(c))), "")
    if bad:
        return Verdict(422, bad, have=have)
    new: list[Chunk] = []
    for chunk in append.chunks:
        at = have.get(chunk.stream, 0)
        if chunk.offset + chunk.length <= at:
            continue
        if chunk.offset != at:
            return Verdict(
                409, "chunk does not follow what is here", have=have if not new else _before(new, have)
            )
        if record.state == SEALED:
            return Verdict(409, "this attempt has ended", have=have)
        have[chunk.stream] = at + chunk.length
        new.append(chunk)
    out: Record | None = None
    if record.version == 0:
        out = msgspec.structs.replace(record, version=1)
    elif record.state == LOST:
        # Its worker was cut off, not gone: what it kept is as good as if it had come in time.
        out = change(record, OPEN, session=append.session, lost_from={})
    elif append.session > record.session and record.state != SEALED:
        out = change(record, record.state, session=append.session)
    seal = append.seal
    if seal is not None:
        if seal.cause not in CAUSES:
            return Verdict(422, f"unknown cause {seal.cause!r}", have=have)
        if any(have.get(stream, 0) != end for stream, end in seal.ends.items()):
            return Verdict(409, "the end is not here yet", have=have if not new else _before(new, have))
        if record.state != SEALED:
            out = change(
                out or record,
                SEALED,
                cause=seal.cause,
                code=seal.code,
                ends=dict(seal.ends),
                ended_us=seal.at_us,
            )
            if record.version == 0:
                out.version = 1
    return Verdict(200, record=out, chunks=new, have=have)


def _before(new: list[Chunk], have: dict[str, int]) -> dict[str, int]:
    """What is here without the chunks that came with a refused append: it is taken whole or not at all."""
    out = dict(have)
    for chunk in reversed(new):
        out[chunk.stream] = chunk.offset
    return out


def _wrong(chunk: Chunk) -> str:
    if chunk.stream not in STREAMS:
        return f"unknown stream {chunk.stream!r}"
    if chunk.offset < 0 or chunk.length <= 0:
        return "a chunk has at least one byte and no negative offset"
    if not chunk.hole and chunk.length > MOST_CHUNK:
        return f"a chunk has at most {MOST_CHUNK} bytes"
    return ""


def lose(live: Live, at_us: int) -> Record:
    """The record of an attempt whose writer has not been heard for too long."""
    return change(live.record, LOST, lost_from=dict(live.have), ended_us=at_us)


def merge(mine: Record | None, other: Record) -> bool:
    """Whether a copy's record is newer than what is here. A record that ended beats one that is lost."""
    if mine is None:
        return True
    return (RANK[other.state], other.version) > (RANK[mine.state], mine.version)
