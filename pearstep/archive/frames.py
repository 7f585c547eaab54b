"""Frames of a segment: length, checksum, and a payload in msgpack. A frame is whole or it is not there.

Layout, little endian: magic (2 bytes), length of the payload (u32), XXH3-64 of the payload (u64), payload.
"""

from __future__ import annotations

import struct
import threading
from collections.abc import Callable, Iterator

import msgspec
import xxhash
import zstandard

from pearstep.archive.records import MOST_CHUNK, Chunk, Key, Record

MAGIC = b"\xa7P"
HEAD = struct.Struct("<2sIQ")
MOST_PAYLOAD = 8 * 1024 * 1024


class RecordFrame(msgspec.Struct, array_like=True, tag="r"):
    """A version of an attempt's record."""

    record: Record


class ChunkFrame(msgspec.Struct, array_like=True, tag="c"):
    """Bytes of an attempt."""

    key: Key
    chunk: Chunk


class File(msgspec.Struct, array_like=True, frozen=True):
    """A file of an attempt; its bytes are the blob named by its SHA-256."""

    name: str
    digest: str
    size: int


class ManifestFrame(msgspec.Struct, array_like=True, tag="a"):
    """All published files of an attempt, in one frame: they are seen together or not at all."""

    key: Key
    files: list[File]
    at_us: int


class DropFrame(msgspec.Struct, array_like=True, tag="d"):
    """This node no longer holds these attempts: others keep them. Only frames before it are meant."""

    keys: list[Key]


class JobFrame(msgspec.Struct, array_like=True, tag="j"):
    """A job's description, as its user uploaded it (JSON)."""

    job: str
    body: bytes


Frame = RecordFrame | ChunkFrame | ManifestFrame | JobFrame | DropFrame

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


class _Tools(threading.local):
    """Compressors of this thread.

    They are not made for use by two threads at once: an agent ended with a segmentation fault when two
    batches were built at the same time.
    """

    def __init__(self) -> None:
        self.compress = zstandard.ZstdCompressor(level=3).compress
        self.expand = zstandard.ZstdDecompressor().decompress


_tools = _Tools()


class DamagedFrameError(Exception):
    """Bytes that are not what was written; the text says where."""


def encode(frame: Frame) -> tuple[bytes, bytes]:
    """A frame as it stands in a segment: head and payload."""
    payload = _encoder.encode(frame)
    return HEAD.pack(MAGIC, len(payload), xxhash.xxh3_64_intdigest(payload)), payload


def decode(payload: bytes) -> Frame:
    """The frame in a payload whose checksum was right."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as err:
        raise DamagedFrameError(f"frame cannot be read: {err}") from None


def scan(read: Callable[[int, int], bytes], begin: int, size: int) -> Iterator[tuple[int, int, Frame | None]]:
    """Yield all frames from ``begin`` on, as position, length with header, and frame.

    Where a frame is torn or damaged, yield None with the length that is left, and stop.
    """
    at = begin
    while at < size:
        head = read(at, HEAD.size)
        if len(head) < HEAD.size:
            yield at, size - at, None
            return
        magic, length, digest = HEAD.unpack(head)
        if magic != MAGIC or length > MOST_PAYLOAD or at + HEAD.size + length > size:
            yield at, size - at, None
            return
        payload = read(at + HEAD.size, length)
        if len(payload) < length or xxhash.xxh3_64_intdigest(payload) != digest:
            yield at, size - at, None
            return
        yield at, HEAD.size + length, decode(payload)
        at += HEAD.size + length


def pack(stream: str, offset: int, data: bytes) -> Chunk:
    """A chunk of plain bytes, compressed and with its checksum."""
    return Chunk(stream, offset, len(data), xxhash.xxh3_64_intdigest(data), _tools.compress(data))


def unpack(chunk: Chunk) -> bytes:
    """The plain bytes of a chunk; zero bytes stand for a hole. Raises DamagedFrameError."""
    if chunk.hole:
        return bytes(chunk.length)
    try:
        data = _tools.expand(chunk.data, max_output_size=MOST_CHUNK)
    except zstandard.ZstdError as err:
        raise DamagedFrameError(f"chunk at {chunk.offset} cannot be expanded: {err}") from None
    if len(data) != chunk.length or xxhash.xxh3_64_intdigest(data) != chunk.digest:
        raise DamagedFrameError(f"chunk at {chunk.offset} is not what was written")
    return data
