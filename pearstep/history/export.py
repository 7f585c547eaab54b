"""Export and import of the whole state as one file.

A file is a sequence of msgpack messages in one zstandard frame: a header, the sorted keys, and an end message
with their number and a checksum of everything before it. No part is used before the checksum has been
verified. Keys of leases are not exported, nor is the archive's member list, since the members register again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import msgspec
import xxhash
import zstandard

from pearstep import __version__
from pearstep.history.compaction import COMPACTOR
from pearstep.history.errors import HistoryPackageError
from pearstep.history.verification import verify

FORMAT, VERSION = "pearstep state", 1
# Kinds of keys that are not exported: leases, and keys that are valid only in this state service.
EXCLUDED_KINDS = ("part", "leader", COMPACTOR, "importing", "archive")
# Kinds whose records contain revisions: in names of rented machines, in attempts and in offloads.
KINDS_WITH_REVISIONS = ("h", "m", "d", "p", "l", "g")
# The key that marks an unfinished import; its value is the digest of the file.
IMPORT_KEY = "importing"
COMPRESSION_LEVEL = 9
FRAME_BYTES = 4
# The bytes of a request body for each row, in addition to its key and value.
ROW_OVERHEAD_BYTES = 100


class ExportError(HistoryPackageError):
    """The file can't be used, or not with this state service; the message says why and what to do."""


class Header(msgspec.Struct, tag="header"):
    """The format of the file. ``revision`` is the revision of the state service when it was exported."""

    format: str
    version: int
    release: str
    revision: int


class Row(msgspec.Struct, tag="row"):
    """A key and its value as JSON."""

    key: str
    value: bytes


class End(msgspec.Struct, tag="end"):
    """The end of a file: the number of rows, and the checksum of header and rows."""

    rows: int
    digest: str


_message_decoder = msgspec.msgpack.Decoder(Header | Row | End)  # type: ignore[var-annotated]


def dump(file: Path, pairs: Iterable[tuple[str, bytes]], revision: int) -> int:
    """Write a file under a temporary name and rename it when it is complete.

    Returns:
        The number of keys that were written.
    """
    digest, count = xxhash.xxh3_128(), 0
    temporary = file.with_name(file.name + ".part")
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    with open(temporary, "wb") as raw, compressor.stream_writer(raw) as stream:

        def put(message: Header | Row | End) -> None:
            body = msgspec.msgpack.encode(message)
            framed = len(body).to_bytes(FRAME_BYTES, "big") + body
            digest.update(framed)
            stream.write(framed)

        put(Header(FORMAT, VERSION, __version__, revision))
        for key, value in sorted(pairs):
            if key.partition("/")[0] not in EXCLUDED_KINDS:
                put(Row(key, value))
                count += 1
        put(End(count, digest.hexdigest()))
    temporary.replace(file)
    return count


def _messages(file: Path) -> Iterator[tuple[bytes, Header | Row | End]]:
    """Yield each message with its encoded bytes."""
    with open(file, "rb") as raw, zstandard.ZstdDecompressor().stream_reader(raw) as stream:
        while True:
            head = _read_exactly(stream, FRAME_BYTES)
            if not head:
                return
            body = _read_exactly(stream, int.from_bytes(head, "big"))
            yield head + body, _message_decoder.decode(body)


def _read_exactly(stream: zstandard.ZstdDecompressionReader, count: int) -> bytes:
    """Read exactly ``count`` bytes; empty at the end of the stream."""
    found = b""
    while len(found) < count:
        more = stream.read(count - len(found))
        if not more:
            if found:
                raise ExportError("the file ends in the middle of a message")
            return b""
        found += more
    return found


def load(file: Path) -> tuple[Header, list[tuple[str, bytes]], str]:
    """Read a whole file.

    Returns:
        The header, the keys with their values, and the checksum.

    Raises:
        ExportError: The file can't be read, is damaged, or is not an export.
    """
    digest, rows = xxhash.xxh3_128(), list[tuple[str, bytes]]()
    header: Header | None = None
    try:
        for raw, message in _messages(file):
            if header is None:
                if not isinstance(message, Header) or message.format != FORMAT:
                    raise ExportError("it is not an export of a pearstep state")
                if message.version > VERSION:
                    raise ExportError(
                        f"it has version {message.version}, and this release reads up to version {VERSION}"
                    )
                header = message
            elif isinstance(message, Row):
                rows.append((message.key, message.value))
            elif isinstance(message, End):
                if message.rows != len(rows) or message.digest != digest.hexdigest():
                    raise ExportError("its checksum is wrong: the file is damaged")
                return header, rows, message.digest
            digest.update(raw)
    except (OSError, msgspec.MsgspecError, zstandard.ZstdError, OverflowError) as err:
        raise ExportError(f"it cannot be read: {' '.join(str(err).split())}") from None
    raise ExportError("its end is missing: the file was not written completely")


def check_import(
    header: Header,
    rows: Sequence[tuple[str, bytes]],
    existing: Iterable[str],
    revision: int,
    begun_digest: str | None,
    digest: str,
) -> None:
    """Check that a file may be imported into a state service.

    Args:
        header: The header of the file.
        rows: The keys of the file with their values.
        existing: The keys of the state service.
        revision: The revision of the state service.
        begun_digest: The digest of the file whose import was begun there, or None.
        digest: The digest of this file.

    Raises:
        ExportError: The file may not be imported.
    """
    kinds = {key.partition("/")[0] for key in existing} - {IMPORT_KEY, "archive"}
    if kinds & {"part", "leader"}:
        raise ExportError(
            "controllers run on this state service: stop them, and wait until their leases have expired"
        )
    if begun_digest is not None and begun_digest != digest:
        raise ExportError("an import of another file was begun on this state service: finish it first")
    if begun_digest is None and kinds:
        raise ExportError(f"the state service has keys already: {', '.join(sorted(kinds))}")
    kinds_with_revisions = sorted({key.partition("/")[0] for key, _ in rows} & set(KINDS_WITH_REVISIONS))
    if kinds_with_revisions and revision < header.revision:
        raise ExportError(
            f"it has keys of {', '.join(kinds_with_revisions)}, which carry numbers up to revision "
            f"{header.revision}, and the state service is only at revision {revision}: workers and the cloud "
            "would take new numbers for old ones. Empty the site before the export, or continue with the "
            "state service's own copy"
        )
    wrong = verify(rows).violations
    if wrong:
        raise ExportError(f"it does not hold together: {wrong[0]} ({len(wrong)} violations)")


def batches(
    rows: Sequence[tuple[str, bytes]], existing: dict[str, bytes], max_ops: int, max_bytes: int = 48 * 1024
) -> Iterator[dict[str, bytes]]:
    """Yield the keys still to be written, by transaction; keys that exist with the same value are left out.

    Args:
        rows: The keys of the file with their values.
        existing: The keys of the state service with their values.
        max_ops: The largest number of changes in a transaction.
        max_bytes: The largest size of a transaction.

    Raises:
        ExportError: A key exists with another value.
    """
    batch: dict[str, bytes] = {}
    size = 0
    for key, value in rows:
        if key in existing:
            if existing[key] != value:
                raise ExportError(f"{key} exists with another value")
            continue
        row_bytes = len(key) + len(value) + ROW_OVERHEAD_BYTES
        if batch and (len(batch) >= max_ops or size + row_bytes > max_bytes):
            yield batch
            batch, size = {}, 0
        batch[key] = value
        size += row_bytes
    if batch:
        yield batch
