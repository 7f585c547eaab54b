"""Tests of verification, export and import of the state.

Verification names each violated invariant; a damaged or incomplete file is rejected.
"""

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from pearstep.cli.main import main
from pearstep.domain.job_state import JobState
from pearstep.history import export as portable
from pearstep.history.blocks import HistoryEntry, pack, parse_job_number, unpack
from pearstep.history.export import ExportError, Header, batches, check_import, dump, load
from pearstep.history.tree import Root, Run, block_key, bucket_of, root_key
from pearstep.history.verification import verify
from pearstep.state.records import JobRecord, MachineRecord, Placement, PlacementRecord, RouteRecord
from tests.world import spec


def encode_record(record):
    return msgspec.json.encode(record)


def valid_state():
    """Return a valid state: an open job with a placement, a finished job, and two jobs in a block."""
    numbers = [n for n in (parse_job_number(f"req-{i}") for i in range(10**4)) if bucket_of(n) == 3][:2]
    (block,) = pack([HistoryEntry(n, False, 2) for n in numbers], 1000)
    keys = {
        "j/req-1": encode_record(JobRecord(spec("req-1"), 0)),
        "r/0/req-1": encode_record(RouteRecord("0-1")),
        "p/0/req-1/0": encode_record(PlacementRecord({0: Placement("m", 1, 1, 0)}, "2")),
        "j/req-2": encode_record(JobRecord(spec("req-2"), 0, JobState.DONE, 5)),
        "m/0/m": encode_record(MachineRecord("small", "a", False, "x")),
        root_key(3): encode_record(Root((Run("7-1", 0, 2, (numbers[0],)),), 2)),
        block_key(3, "7-1", 0): encode_record(block.decode()),
        "compactor": b"{}",
        "part/0": b'{"node":"n0"}',
    }
    return keys, numbers


def test_a_valid_state_has_no_violations():
    keys, _ = valid_state()
    report = verify(keys.items())
    assert report.violations == [] and report.remarks == []
    assert (report.jobs, report.open, report.finished) == (2, 1, 2)
    assert report.kinds["j"].keys == 2


def broken_states():
    keys, numbers = valid_state()
    block = block_key(3, "7-1", 0)
    ref = "req-" + str(numbers[0])[1:]
    entries = unpack(msgspec.json.decode(keys[block]).encode())
    other = next(n for n in (parse_job_number(f"req-{i}") for i in range(10**4)) if bucket_of(n) == 4)
    (wrong_bucket,) = pack(sorted([entries[0], HistoryEntry(other, False, 1)]), 1000)
    first = min(entries[0].number, other)
    yield "cannot be read", {**keys, "j/req-1": b"[1]"}
    yield "placed by", {**keys, "p/1/req-1/0": encode_record(PlacementRecord({0: Placement("n", 1, 1, 0)}))}
    yield "routed by", {**keys, "r/1/req-1": encode_record(RouteRecord("1"))}
    yield "does not have", {**keys, "p/0/req-1/0": encode_record(PlacementRecord({}, "4"))}
    yield "does not have", {**keys, "r/0/req-1": encode_record(RouteRecord("0-2"))}
    yield "is not there", {k: v for k, v in keys.items() if k != block}
    yield "not a block", {**keys, block: encode_record("\u20ac")}
    yield "took in", {**keys, root_key(3): encode_record(Root((Run("7-1", 0, 2, (numbers[0],)),), 3))}
    yield "instead of", {**keys, root_key(3): encode_record(Root((Run("7-1", 0, 3, (numbers[0],)),), 2))}
    yield (
        "does not begin",
        {**keys, root_key(3): encode_record(Root((Run("7-1", 0, 2, (numbers[0] + 1,)),), 2))},
    )
    yield (
        "is in",
        {
            **keys,
            block_key(3, "8-1", 0): keys[block],
            root_key(3): encode_record(
                Root((Run("7-1", 0, 2, (numbers[0],)), Run("8-1", 0, 2, (numbers[0],))), 4)
            ),
        },
    )
    yield "no such bucket", {**keys, "hr/99": keys[root_key(3)]}
    yield (
        "belong",
        {
            **keys,
            block: encode_record(wrong_bucket.decode()),
            root_key(3): encode_record(Root((Run("7-1", 0, 2, (first,)),), 2)),
        },
    )
    yield "in its record", {**keys, f"j/{ref}": encode_record(JobRecord(spec(ref), 0, "cancelled", 5))}


@pytest.mark.parametrize(("words", "keys"), list(broken_states()))
def test_each_violated_invariant_is_named(words, keys):
    found = verify(keys.items()).violations
    assert any(words in text for text in found), found


def test_what_is_cleaned_up_automatically_is_a_remark():
    keys, numbers = valid_state()
    ref = "req-" + str(numbers[0])[1:]
    keys |= {
        block_key(3, "9-1", 0): keys[block_key(3, "7-1", 0)],
        "r/0/req-77": encode_record(RouteRecord("0")),
        f"j/{ref}": encode_record(JobRecord(spec(ref), 0, JobState.DONE, 5)),
        "next/1": b"{}",
    }
    report = verify(keys.items())
    assert report.violations == []
    for words in ("sweeps", "collects", "clears", "no kind"):
        assert any(words in text for text in report.remarks)


KEYS = st.dictionaries(st.text("abchjpz/0123", min_size=1, max_size=12), st.binary(max_size=200), max_size=30)


@given(KEYS, st.integers(0, 10**9), st.data())
def test_a_file_round_trips_and_a_damaged_file_is_rejected(tmp_path_factory, keys, revision, data):
    file = tmp_path_factory.mktemp("export") / "state"
    dump(file, keys.items(), revision)
    header, rows, _ = load(file)
    assert header.revision == revision and rows == sorted(keys.items())
    contents = file.read_bytes()
    position = data.draw(st.integers(0, len(contents) - 1))
    for damaged in (
        contents[:position],
        contents[:position] + bytes([contents[position] ^ 1]) + contents[position + 1 :],
        b"",
    ):
        file.write_bytes(damaged)
        try:
            found = load(file)
        except ExportError:
            continue
        # zstandard does not use every bit, so a changed file may still decode to the same rows.
        assert found[1] == rows


def test_keys_of_leases_are_not_exported(tmp_path):
    keys, _ = valid_state()
    assert dump(tmp_path / "x", keys.items(), 9) == len(keys) - 2
    assert not {"compactor", "part/0"} & {key for key, _ in load(tmp_path / "x")[1]}


def test_a_file_of_a_newer_version_or_another_format_is_rejected(tmp_path, monkeypatch):
    monkeypatch.setattr(portable, "VERSION", 2)
    dump(tmp_path / "x", [], 9)
    monkeypatch.setattr(portable, "VERSION", 1)
    with pytest.raises(ExportError, match="version 2"):
        load(tmp_path / "x")
    (tmp_path / "y").write_bytes(b"something else")
    with pytest.raises(ExportError, match="cannot be read"):
        load(tmp_path / "y")


def test_import_checks_the_state_service():
    keys, _ = valid_state()
    rows = sorted((k, v) for k, v in keys.items() if k not in ("compactor", "part/0"))
    header = Header(portable.FORMAT, 1, "x", 100)
    check_import(header, rows, [], 100, None, "d")
    check_import(header, rows, ["j/req-1", "importing"], 120, "d", "d")
    rows_without_revisions = [(k, v) for k, v in rows if k[0] not in "mp"]
    check_import(header, rows_without_revisions, [], 0, None, "d")
    for words, args in (
        ("controllers run", (rows, ["part/0"], 100, None)),
        ("another file", (rows, ["importing"], 100, "e")),
        ("already", (rows, ["j/req-9"], 100, None)),
        ("carry numbers", (rows, [], 99, None)),
        (
            "hold together",
            ([*rows_without_revisions, ("r/0/req-2", encode_record(RouteRecord("0-9")))], [], 0, None),
        ),
    ):
        with pytest.raises(ExportError, match=words):
            check_import(header, args[0], args[1], args[2], args[3], "d")


@given(KEYS, st.integers(1, 5), st.data())
def test_an_interrupted_import_continues(keys, max_ops, data):
    rows = sorted(keys.items())
    existing = {}
    for puts in list(batches(rows, existing, max_ops))[: data.draw(st.integers(0, 10))]:
        assert len(puts) <= max_ops
        existing |= puts
    for puts in batches(rows, existing, max_ops):
        assert not puts.keys() & existing.keys()
        existing |= puts
    assert existing == keys
    if rows:
        with pytest.raises(ExportError, match="another value"):
            list(batches(rows, {rows[0][0]: rows[0][1] + b"x"}, max_ops))


def test_the_command_names_what_is_wrong_with_a_file(tmp_path):
    keys, _ = valid_state()
    dump(tmp_path / "good", keys.items(), 9)
    dump(tmp_path / "bad", {**keys, "r/1/req-1": encode_record(RouteRecord("1"))}.items(), 9)
    (tmp_path / "torn").write_bytes((tmp_path / "good").read_bytes()[:-3])
    run = CliRunner().invoke
    found = run(main, ["state", "verify", str(tmp_path / "good")])
    assert found.exit_code == 0 and "all holds together" in found.output
    found = run(main, ["state", "verify", str(tmp_path / "bad")])
    assert found.exit_code == 1 and "WRONG  r/1/req-1: task 1 is routed by r/0/req-1, too" in found.output
    found = run(main, ["state", "verify", str(tmp_path / "torn")])
    assert found.exit_code == 1 and ("cannot be read" in found.output or "end is missing" in found.output)
