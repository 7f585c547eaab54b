"""Segments of frames on a disk, with their index: what is written is durable before anyone is told.

Blocking; the service calls it from one thread. A crash at any point loses nothing that was confirmed: the
tail of the last segment may be torn and is cut at opening, what the index has not seen is read again.
"""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterable
from functools import partial

from pearstep.archive.disk import Disk
from pearstep.archive.frames import (
    HEAD,
    ChunkFrame,
    DamagedFrameError,
    Frame,
    ManifestFrame,
    decode,
    encode,
    scan,
    unpack,
)
from pearstep.archive.index import Index
from pearstep.archive.records import Chunk, Key

log = logging.getLogger("pearstep.archive")

UPLOADS, BLOBS = "uploads", "blobs"
# A segment of which less is needed is written anew.
WORTH = 0.5


def segment_name(segment: int) -> str:
    """The file of a segment."""
    return f"segments/{segment:08d}.seg"


class Storage:
    """One node's directory. ``segment_bytes``: a segment is closed when it has grown over this."""

    def __init__(self, disk: Disk, index: Index, segment_bytes: int = 64 * 1024 * 1024) -> None:
        """Open the storage on ``disk`` and recover its state from the segments."""
        self.disk = disk
        self.index = index
        self.segment_bytes = segment_bytes
        self.cut = 0  # bytes of a torn tail that were cut at opening
        self.segment, self.position = self._recover()

    def _recover(self) -> tuple[int, int]:
        disk, index = self.disk, self.index
        names = [n for n in disk.names() if n.startswith("segments/") and n.endswith(".seg")]
        numbers = sorted(int(n[len("segments/") : -len(".seg")]) for n in names)
        seg_from, at_from = index.place()
        last = numbers[-1] if numbers else 0
        position = 0
        for number in numbers:
            if number < seg_from:
                continue
            name = segment_name(number)
            size = disk.size(name)
            begin = at_from if number == seg_from else 0
            position = min(begin, size)
            batch: list[tuple[int, int, int, Frame]] = []
            for at, length, frame in scan(partial(disk.read, name), position, size):
                if frame is None:
                    if number != last:
                        raise DamagedFrameError(
                            f"{name} is damaged at {at}, and later segments follow it. Move this directory "
                            "away and start the node empty: its copies are made anew from the other nodes"
                        )
                    log.warning("cutting %d bytes of a torn write off %s", length, name)
                    self.cut = length
                    disk.truncate(name, at)
                    break
                batch.append((number, at, length, frame))
                position = at + length
            index.apply(batch, number, position)
        # Uploads that nobody will go on with, and blobs whose publishing was never written.
        for name in disk.names():
            folder, _, rest = name.partition("/")
            if folder == UPLOADS or (folder == BLOBS and not index.knows_blob(rest)):
                disk.remove(name)
        return max(last, 1), position if last else 0

    # -- writing ---------------------------------------------------------------------------------

    def write(self, frames: Iterable[Frame]) -> None:
        """Append, sync, index. On an error nothing of it counts, and the segment is cut to where it was."""
        if self.position >= self.segment_bytes:
            self.segment, self.position = self.segment + 1, 0
        name, begin = segment_name(self.segment), self.position
        placed = []
        parts: list[bytes] = []
        at = begin
        for frame in frames:
            head, payload = encode(frame)
            size = len(head) + len(payload)
            placed.append((self.segment, at, size, frame))
            parts += [head, payload]
            at += size
        if not parts:
            return
        try:
            self.disk.append(name, *parts)
            self.disk.sync(name)
            if begin == 0:
                self.disk.sync_names()
        except OSError:
            # A half-written frame must not stand before those that follow.
            self.disk.truncate(name, begin)
            raise
        self.position = at
        self.index.apply(placed, self.segment, at)

    # -- reading ---------------------------------------------------------------------------------

    def read(self, key: Key, stream: str, begin: int, most: int) -> tuple[bytes, list[tuple[int, int]]]:
        """Read plain bytes from an offset on, up to the first gap, and the holes among them.

        Holes are returned as (offset, length): a hole's bytes are zero.
        """
        out: list[bytes] = []
        holes: list[tuple[int, int]] = []
        at = begin
        for chunk in self.raw(key, stream, begin, most):
            if chunk.offset > at or at - begin >= most:
                break
            data = unpack(chunk)[at - chunk.offset :]
            if chunk.hole:
                holes.append((at, len(data)))
            out.append(data)
            at += len(data)
        return b"".join(out)[:most], holes

    def raw(self, key: Key, stream: str, begin: int, most: int) -> list[Chunk]:
        """Chunks as they were written, from the one that holds ``begin`` on."""
        out = []
        for _, _, segment, position, size in self.index.chunks(key, stream, begin, most):
            payload = self.disk.read(segment_name(segment), position, size)[HEAD.size :]
            frame = decode(payload)
            if not isinstance(frame, ChunkFrame) or frame.key != key:
                raise DamagedFrameError(f"segment {segment} at {position} holds something else")
            out.append(frame.chunk)
        return out

    # -- artefacts -------------------------------------------------------------------------------

    def upload(self, name: str, offset: int, data: bytes) -> int:
        """Append to an upload, if it is as long as the caller believes; how long it is now."""
        file = f"{UPLOADS}/{name}"
        size = self.disk.size(file)
        if size == offset:
            self.disk.append(file, data)
            return size + len(data)
        return size

    def publish(self, frame: ManifestFrame) -> str:
        """Make uploads visible as the files of an attempt, or say why not.

        Their bytes are verified and durable before their names are, and the one frame that names all of them
        comes last: half an upload, or half a manifest, is never seen. An upload is named by the digest that
        it should have.
        """
        new = {f.digest: f for f in frame.files if not self.index.knows_blob(f.digest)}
        for file in new.values():
            name = f"{UPLOADS}/{file.digest}"
            if file.size == 0:
                self.disk.append(name, b"")
            if self.disk.size(name) != file.size:
                return f"{file.name}: {self.disk.size(name)} of {file.size} bytes are here"
            if self.digest(name, file.size) != file.digest:
                self.disk.remove(name)
                return f"{file.name}: the bytes do not have this digest"
        for digest in new:
            self.disk.sync(f"{UPLOADS}/{digest}")
            self.disk.rename(f"{UPLOADS}/{digest}", f"{BLOBS}/{digest}")
        if new:
            self.disk.sync_names()
        self.write([frame])
        return ""

    def digest(self, file: str, size: int) -> str:
        """SHA-256 of a file."""
        sha = hashlib.sha256()
        for at in range(0, size, 1 << 20):
            sha.update(self.disk.read(file, at, 1 << 20))
        return sha.hexdigest()

    def blob(self, digest: str, offset: int, most: int) -> bytes:
        """Bytes of an artefact's content."""
        return self.disk.read(f"{BLOBS}/{digest}", offset, most)

    # -- giving back -----------------------------------------------------------------------------

    def reclaim(self) -> int:
        """Compact one sparse segment and return the bytes given back.

        What is still needed of it is written to the end, and then it is removed. A crash between the two
        leaves the same frames twice, which changes nothing.
        """
        for segment, size, live in self.index.segments():
            if segment == self.segment or live > size * WORTH:
                continue
            name = segment_name(segment)
            keep = [
                frame
                for at, _, frame in scan(partial(self.disk.read, name), 0, self.disk.size(name))
                if frame is not None and self.index.needed(segment, at, frame)
            ]
            self.write(keep)
            self.disk.remove(name)
            self.disk.sync_names()
            self.index.forget_segment(segment)
            return size
        return 0

    def sweep_blobs(self) -> int:
        """Remove contents that no artefact names any more; how many."""
        count = 0
        for name in self.disk.names():
            folder, _, rest = name.partition("/")
            if folder == BLOBS and not self.index.knows_blob(rest):
                self.disk.remove(name)
                count += 1
        return count
