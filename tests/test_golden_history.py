"""The export file as released code writes it; roots and blocks are in the golden files of ``state``."""

import msgspec
import xxhash
import zstandard

from pearstep.history import export as portable
from pearstep.history.export import End, Header, Row, dump, load
from tests.golden import files

ROWS = [
    ("hr/0", b"[[],0]"),
    ("j/req-7", files.read("state/job_defaults.json")),
    ("layout", b'{"zones":[]}'),
]
# Keys that are not exported.
NOT_EXPORTED = [(key, b"{}") for key in ("part/3", "leader", "compactor", "importing", "archive/members")]
DIGEST = "b051b724a778e048c03c81bf3c9d6c8e"


def decompress(file):
    with open(file, "rb") as raw, zstandard.ZstdDecompressor().stream_reader(raw) as stream:
        return stream.read()


def messages():
    """Yield the messages of the export, each with its length prefix."""
    rest = files.read("history/export_plain.bin")
    while rest:
        length = int.from_bytes(rest[:4], "big")
        yield rest[4 : 4 + length]
        rest = rest[4 + length :]


def test_every_golden_file_is_covered():
    assert files.names("history") == {"history/export.bin", "history/export_plain.bin"}


def test_an_export_is_read_unchanged():
    header, rows, digest = load(files.path("history/export.bin"))
    assert files.fields(header) == dict(format="pearstep state", version=1, release="0.1.0", revision=413)
    assert (rows, digest) == (ROWS, DIGEST)


def test_an_export_is_written_unchanged(tmp_path, monkeypatch):
    monkeypatch.setattr(portable, "__version__", "0.1.0")
    file = tmp_path / "export"
    assert dump(file, [*ROWS, *NOT_EXPORTED], 413) == 3
    assert (
        decompress(file)
        == decompress(files.path("history/export.bin"))
        == files.read("history/export_plain.bin")
    )


def test_each_message_of_an_export_round_trips():
    kinds, encoded = [Header, Row, Row, Row, End], list(messages())
    read = [msgspec.msgpack.decode(raw, type=kind) for kind, raw in zip(kinds, encoded, strict=True)]
    assert [(row.key, row.value) for row in read[1:4]] == ROWS
    assert files.fields(read[4]) == dict(rows=3, digest=DIGEST)
    assert [msgspec.msgpack.encode(one) for one in read] == encoded
    body = b"".join(len(raw).to_bytes(4, "big") + raw for raw in encoded[:4])
    assert xxhash.xxh3_128(body).hexdigest() == DIGEST
