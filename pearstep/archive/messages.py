"""Messages between archive nodes, workers and clients.

They are msgpack where they carry bytes, and JSON where people and tools read them. Names of files are checked
here.
"""

from __future__ import annotations

import msgspec

from pearstep.archive.frames import File, Frame, ManifestFrame
from pearstep.archive.records import Append, Key, Record

APPEND = "/v1/append"
REPLICA = "/v1/replica"
JOBS = "/v1/jobs"
ATTEMPTS = "/v1/attempts"
LOG = "/v1/log"
UPLOAD = "/v1/upload"
PUBLISH = "/v1/publish"
BLOB = "/v1/blob"
MEMBERS = "/v1/members"
DIGESTS = "/v1/digests"
BUCKET = "/v1/bucket"
RAW = "/v1/raw"
BOARD = "/v1/board"
SETS = "/v1/sets"

MOST_BODY = 4 * 1024 * 1024
MOST_NAME = 1024
MOST_PART = 255
MOST_ARTEFACTS = 10_000


class Result(msgspec.Struct, array_like=True):
    """What became of one append: ``have`` is how much of each stream is durable, or wanted next."""

    status: int
    have: dict[str, int]
    why: str = ""
    # Where to ask instead (421), or when to come again.
    node: str = ""
    retry_after_s: float = 0.0


class AppendBatch(msgspec.Struct, array_like=True):
    """Appends for attempts of buckets that one node takes."""

    epoch: int
    items: list[Append]


class Publish(msgspec.Struct, array_like=True):
    """Asks to make uploads visible as the files of an attempt, all of them at once."""

    key: Key
    team: str
    files: list[File]


class Inventory(msgspec.Struct, array_like=True):
    """The attempts of a bucket: records and how much of each is there, with their files."""

    records: list[tuple[Record, dict[str, int]]]
    manifests: list[ManifestFrame] = []


class RawChunks(msgspec.Struct, array_like=True):
    """Frames as another node stores them."""

    frames: list[Frame]


encode = msgspec.msgpack.Encoder().encode
batches = msgspec.msgpack.Decoder(AppendBatch)
results = msgspec.msgpack.Decoder(list[Result])
publishes = msgspec.msgpack.Decoder(Publish)
inventories = msgspec.msgpack.Decoder(Inventory)
raws = msgspec.msgpack.Decoder(RawChunks)


def bad_name(name: str) -> str:
    """Why a file's name is not taken, or ''. Names are relative, with '/' between folders."""
    if not name or len(name.encode("utf-8", "surrogatepass")) > MOST_NAME:
        return f"a name has 1 to {MOST_NAME} bytes"
    if name.startswith("/") or "\\" in name or any(ord(c) < 32 or 0xD800 <= ord(c) < 0xE000 for c in name):
        return "a name is relative and has no control characters"
    for part in name.split("/"):
        if part in ("", ".", "..") or len(part.encode()) > MOST_PART:
            return "a name has no empty, '.' or '..' parts, and none over 255 bytes"
    return ""
