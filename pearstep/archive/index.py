"""Where everything is: SQLite, made from the segments and never the truth itself.

It is written after the segment is durable and remembers up to where it has read it, so that after a crash the
rest of the segment is read again; everything in it may be applied twice and in any order.
"""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Iterable

import msgspec

from pearstep.archive.frames import (
    ChunkFrame,
    DropFrame,
    File,
    Frame,
    JobFrame,
    ManifestFrame,
    RecordFrame,
)
from pearstep.archive.placement import BUCKETS, bucket_of
from pearstep.archive.records import EXPIRED, SEALED, STREAMS, Key, Live, Record, merge

SCHEMA = """
create table if not exists place(id integer primary key, segment integer, position integer);
create table if not exists segments(segment integer primary key, size integer, live integer);
create table if not exists attempts(
  id integer primary key, job text, task integer, attempt integer, machine text, start integer,
  version integer, state text, team text, cls text, ended_us integer, bytes integer default 0,
  plain integer default 0, bucket integer, record blob, segment integer, size integer);
create unique index if not exists by_key on attempts(job, task, attempt, machine, start);
create index if not exists by_bucket on attempts(bucket);
create index if not exists by_state on attempts(state, ended_us);
create index if not exists by_team on attempts(team, state);
create table if not exists chunks(
  id integer, stream integer, offset integer, length integer, segment integer, position integer,
  size integer, primary key(id, stream, offset)) without rowid;
create table if not exists manifests(id integer primary key, segment integer, frame integer, at_us integer);
create table if not exists artefacts(
  id integer, name text, digest text, size integer, primary key(id, name)) without rowid;
create index if not exists by_digest on artefacts(digest);
create table if not exists jobs(job text primary key, body blob, segment integer, size integer) without rowid;
"""

Placed = tuple[int, int, int, Frame]
_record = msgspec.msgpack.Decoder(Record)


class Index:
    """One connection behind a lock: the writer's thread and the readers take turns."""

    def __init__(self, path: str) -> None:
        """Open the SQLite database at ``path`` and create its tables if they do not exist."""
        self._db = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self._lock = threading.Lock()
        self._touched = set(range(BUCKETS))
        with self._lock:
            self._db.execute("pragma journal_mode=wal")
            # What is lost of it in a power cut is read again from the segments.
            self._db.execute("pragma synchronous=normal")
            self._db.execute("pragma cache_size=-8000")
            self._db.executescript(SCHEMA)

    def close(self) -> None:
        """End the connection."""
        with self._lock:
            self._db.close()

    def place(self) -> tuple[int, int]:
        """Segment and position up to which everything is known."""
        with self._lock:
            row = self._db.execute("select segment, position from place").fetchone()
        return (row[0], row[1]) if row else (0, 0)

    def apply(self, placed: Iterable[Placed], segment: int, position: int) -> None:
        """Take in frames at their places (segment, position, length with head), in one transaction."""
        with self._lock:
            db = self._db
            db.execute("begin")
            try:
                for seg, at, size, frame in placed:
                    self._apply(db, seg, at, size, frame)
                db.execute("insert or replace into place values(1, ?, ?)", (segment, position))
                db.execute("commit")
            except BaseException:
                db.execute("rollback")
                raise

    def _apply(self, db: sqlite3.Connection, seg: int, at: int, size: int, frame: Frame) -> None:
        db.execute(
            "insert into segments values(?, ?, 0) on conflict do update set size = max(size, excluded.size)",
            (seg, at + size),
        )
        if not isinstance(frame, JobFrame):
            # What was touched and then rolled back is only gone through once more.
            self._touched.update(bucket_of(key.job, key.task) for key in _keys(frame))
        if isinstance(frame, RecordFrame):
            self._apply_record(db, seg, size, frame)
        elif isinstance(frame, ChunkFrame):
            self._apply_chunk(db, seg, at, size, frame)
        elif isinstance(frame, ManifestFrame):
            self._apply_manifest(db, seg, size, frame)
        elif isinstance(frame, DropFrame):
            self._apply_drop(db, frame)
        elif isinstance(frame, JobFrame):
            self._apply_job(db, seg, size, frame)

    def _apply_record(self, db: sqlite3.Connection, seg: int, size: int, frame: RecordFrame) -> None:
        rowid, mine, old = self._row(db, frame.record.key)
        if not merge(mine, frame.record) and (mine is None or frame.record.version != mine.version):
            return
        record = frame.record
        self._shift(db, old, (seg, size))
        db.execute(
            "update attempts set version=?, state=?, team=?, cls=?, ended_us=?, record=?, segment=?,"
            " size=? where id=?",
            (
                record.version,
                record.state,
                record.team,
                record.cls,
                record.ended_us,
                msgspec.msgpack.encode(record),
                seg,
                size,
                rowid,
            ),
        )
        if record.state == EXPIRED:
            self._drop_bytes(db, rowid)

    def _apply_chunk(self, db: sqlite3.Connection, seg: int, at: int, size: int, frame: ChunkFrame) -> None:
        rowid, mine, _ = self._row(db, frame.key)
        if mine is not None and mine.state == EXPIRED:
            return
        c = frame.chunk
        stream = STREAMS.index(c.stream)
        was = db.execute(
            "select segment, size from chunks where id=? and stream=? and offset=?",
            (rowid, stream, c.offset),
        ).fetchone()
        if was is None:
            db.execute(
                "update attempts set bytes = bytes + ?, plain = plain + ? where id=?",
                (size, c.length, rowid),
            )
        self._shift(db, was, (seg, size))
        db.execute(
            "insert or replace into chunks values(?, ?, ?, ?, ?, ?, ?)",
            (rowid, stream, c.offset, c.length, seg, at, size),
        )

    def _apply_manifest(self, db: sqlite3.Connection, seg: int, size: int, frame: ManifestFrame) -> None:
        rowid, mine, _ = self._row(db, frame.key)
        if mine is not None and mine.state == EXPIRED:
            return
        was = db.execute("select segment, frame from manifests where id=?", (rowid,)).fetchone()
        if was is None:
            plain = sum(f.size for f in frame.files)
            db.execute(
                "update attempts set bytes = bytes + ?, plain = plain + ? where id=?",
                (plain, plain, rowid),
            )
        self._shift(db, was, (seg, size))
        db.execute("insert or replace into manifests values(?, ?, ?, ?)", (rowid, seg, size, frame.at_us))
        db.executemany(
            "insert or replace into artefacts values(?, ?, ?, ?)",
            [(rowid, f.name, f.digest, f.size) for f in frame.files],
        )

    def _apply_drop(self, db: sqlite3.Connection, frame: DropFrame) -> None:
        for key in frame.keys:
            rowid, _, old = self._row(db, key)
            self._shift(db, old, None)
            self._drop_bytes(db, rowid)
            db.execute("delete from attempts where id=?", (rowid,))

    def _apply_job(self, db: sqlite3.Connection, seg: int, size: int, frame: JobFrame) -> None:
        was = db.execute("select segment, size from jobs where job=?", (frame.job,)).fetchone()
        self._shift(db, was, (seg, size))
        db.execute("insert or replace into jobs values(?, ?, ?, ?)", (frame.job, frame.body, seg, size))

    def _row(self, db: sqlite3.Connection, key: Key) -> tuple[int, Record | None, tuple[int, int] | None]:
        row = db.execute(
            "select id, record, segment, size from attempts"
            " where job=? and task=? and attempt=? and machine=? and start=?",
            (key.job, key.task, key.attempt, key.machine, key.start),
        ).fetchone()
        if row is not None:
            return row[0], _record.decode(row[1]) if row[1] else None, (row[2], row[3]) if row[1] else None
        done = db.execute(
            "insert into attempts(job, task, attempt, machine, start, version, state, bucket)"
            " values(?, ?, ?, ?, ?, 0, '', ?)",
            (key.job, key.task, key.attempt, key.machine, key.start, bucket_of(key.job, key.task)),
        )
        return int(done.lastrowid or 0), None, None

    @staticmethod
    def _shift(db: sqlite3.Connection, old: tuple[int, int] | None, new: tuple[int, int] | None) -> None:
        """Count what of a segment is still needed."""
        if old is not None:
            db.execute("update segments set live = live - ? where segment=?", (old[1], old[0]))
        if new is not None:
            db.execute("update segments set live = live + ? where segment=?", (new[1], new[0]))

    def _drop_bytes(self, db: sqlite3.Connection, rowid: int) -> None:
        for seg, size in db.execute(
            "select segment, sum(size) from chunks where id=? group by segment", (rowid,)
        ).fetchall():
            self._shift(db, (seg, size), None)
        for seg, size in db.execute("select segment, frame from manifests where id=?", (rowid,)).fetchall():
            self._shift(db, (seg, size), None)
        db.execute("delete from manifests where id=?", (rowid,))
        db.execute("delete from chunks where id=?", (rowid,))
        db.execute("delete from artefacts where id=?", (rowid,))
        db.execute("update attempts set bytes=0, plain=0 where id=?", (rowid,))

    # -- questions -------------------------------------------------------------------------------

    def _all(self, sql: str, *args: object) -> list[tuple]:
        with self._lock:
            return self._db.execute(sql, args).fetchall()

    def _id(self, key: Key) -> int | None:
        rows = self._all(
            "select id from attempts where job=? and task=? and attempt=? and machine=? and start=?",
            key.job,
            key.task,
            key.attempt,
            key.machine,
            key.start,
        )
        return rows[0][0] if rows else None

    def live(self, key: Key) -> Live | None:
        """A record with how much of each stream is here without a gap."""
        rows = self._all(
            "select id, record from attempts where job=? and task=? and attempt=? and machine=? and start=?",
            key.job,
            key.task,
            key.attempt,
            key.machine,
            key.start,
        )
        if not rows or rows[0][1] is None:
            return None
        record = _record.decode(rows[0][1])
        if record.state == EXPIRED:
            return Live(record, dict(record.ends or record.lost_from))
        return Live(record, self._have(rows[0][0]))

    def _have(self, rowid: int) -> dict[str, int]:
        have = self._all("select stream, max(offset + length) from chunks where id=? group by stream", rowid)
        return {STREAMS[stream]: end for stream, end in have}

    def chunks(self, key: Key, stream: str, begin: int, most: int) -> list[tuple[int, int, int, int, int]]:
        """Chunks that hold bytes from ``begin`` on: offset, length, segment, position, size."""
        rowid = self._id(key)
        if rowid is None:
            return []
        return self._all(
            "select offset, length, segment, position, size from chunks"
            " where id=? and stream=? and offset + length > ? and offset < ? order by offset limit 64",
            rowid,
            STREAMS.index(stream),
            begin,
            begin + most,
        )

    def find(self, job: str, task: int | None = None) -> list[Live]:
        """All attempts of a job, or of one of its tasks, in order."""
        where, args = ("job=? and task=?", (job, task)) if task is not None else ("job=?", (job,))
        rows = self._all(
            f"select id, record from attempts where {where} and record is not null"
            " order by task, attempt, machine, start",
            *args,
        )
        out = []
        for rowid, raw in rows:
            record = _record.decode(raw)
            gone = record.state == EXPIRED
            out.append(Live(record, dict(record.ends or record.lost_from) if gone else self._have(rowid)))
        return out

    def manifest(self, key: Key) -> ManifestFrame | None:
        """The published files of an attempt, by name."""
        rowid = self._id(key)
        at = self._all("select at_us from manifests where id=?", rowid or 0)
        if not at:
            return None
        rows = self._all("select name, digest, size from artefacts where id=? order by name", rowid)
        return ManifestFrame(key, [File(*row) for row in rows], at[0][0])

    def knows_blob(self, digest: str) -> bool:
        """Whether a published file has this content."""
        return bool(self._all("select 1 from artefacts where digest=? limit 1", digest))

    def job(self, job: str) -> bytes | None:
        """A job's description."""
        rows = self._all("select body from jobs where job=?", job)
        return rows[0][0] if rows else None

    def unsealed(self) -> list[Record]:
        """Records of attempts that have not ended."""
        return [_record.decode(r[0]) for r in self._all("select record from attempts where state='open'")]

    def ended_before(self, cls: str, at_us: int, most: int) -> list[Record]:
        """Records that ended before a time of day, by class ('' for all), oldest first."""
        rows = self._all(
            "select record from attempts where state in (?, 'lost') and ended_us < ? and (?='' or cls=?)"
            " order by ended_us limit ?",
            SEALED,
            at_us,
            cls,
            cls,
            most,
        )
        return [_record.decode(r[0]) for r in rows]

    def expired_before(self, at_us: int, most: int) -> list[Record]:
        """Records without bytes of attempts that ended before a time of day, oldest first."""
        rows = self._all(
            "select record from attempts where state=? and ended_us < ? order by ended_us limit ?",
            EXPIRED,
            at_us,
            most,
        )
        return [_record.decode(r[0]) for r in rows]

    def used(self) -> dict[str, int]:
        """Bytes by team."""
        return dict(self._all("select team, sum(bytes) from attempts where state != 'expired' group by team"))

    def bucket(self, bucket: int) -> list[Live]:
        """All attempts of a bucket."""
        rows = self._all("select id, record from attempts where bucket=? and record is not null", bucket)
        return [Live(_record.decode(raw), self._have(rowid)) for rowid, raw in rows]

    def take_touched(self) -> list[int]:
        """The buckets that were written to since this was last asked; all of them the first time."""
        with self._lock:
            out, self._touched = sorted(self._touched), set()
        return out

    def bucket_rows(
        self, bucket: int | None = None
    ) -> list[tuple[int, str, int, int, str, int, int, str, int]]:
        """Return what copies are compared by: bucket, key, version, state, and plain bytes of each attempt.

        Copies of the same bytes may have been cut into different chunks, so chunks are not compared.
        """
        where, args = ("bucket=? and ", (bucket,)) if bucket is not None else ("", ())
        return self._all(
            "select bucket, job, task, attempt, machine, start, version, state, plain from attempts"
            f" where {where}record is not null order by bucket, job, task, attempt, machine, start",
            *args,
        )  # type: ignore[return-value]

    def segments(self) -> list[tuple[int, int, int]]:
        """Segment, size, and how much of it is needed."""
        return self._all("select segment, size, live from segments order by segment")  # type: ignore[return-value]

    def needed(self, segment: int, position: int, frame: Frame) -> bool:
        """Whether a frame at this place is what the index points to."""
        if isinstance(frame, ChunkFrame):
            rowid = self._id(frame.key)
            return bool(
                self._all(
                    "select 1 from chunks where id=? and stream=? and offset=? and segment=? and position=?",
                    rowid or 0,
                    STREAMS.index(frame.chunk.stream),
                    frame.chunk.offset,
                    segment,
                    position,
                )
            )
        if isinstance(frame, RecordFrame):
            key = frame.record.key
            return bool(
                self._all(
                    "select 1 from attempts where job=? and task=? and attempt=? and machine=? and start=?"
                    " and segment=? and version=?",
                    key.job,
                    key.task,
                    key.attempt,
                    key.machine,
                    key.start,
                    segment,
                    frame.record.version,
                )
            )
        if isinstance(frame, ManifestFrame):
            rowid = self._id(frame.key)
            return bool(self._all("select 1 from manifests where id=? and segment=?", rowid or 0, segment))
        if isinstance(frame, DropFrame):
            # Moved to the end it would undo what came since. Without it, an index made anew may find again
            # what was dropped, and it is dropped again.
            return False
        return bool(self._all("select 1 from jobs where job=? and segment=?", frame.job, segment))

    def forget_segment(self, segment: int) -> None:
        """A segment that was removed."""
        with self._lock:
            self._db.execute("delete from segments where segment=?", (segment,))


def _keys(frame: RecordFrame | ChunkFrame | ManifestFrame | DropFrame) -> list[Key]:
    """The attempts that a frame is about."""
    if isinstance(frame, DropFrame):
        return frame.keys
    return [frame.record.key if isinstance(frame, RecordFrame) else frame.key]
