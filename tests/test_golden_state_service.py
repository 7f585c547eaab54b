"""Messages of the state service, and the answers and files of its emulator, match the golden files."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.emulator.key_value_store import InMemoryStore
from pearstep.emulator.state_service import StateService
from pearstep.protocol import controller_messages as wire
from pearstep.protocol import emulator_messages as emulator_wire
from tests.golden import files

KEY_VALUE = dict(key="j/req-7", value='{"at_us":1}', version=412)
ANSWERS = {
    "listing_all": (
        wire.KeyPage,
        dict(items=[KEY_VALUE, KEY_VALUE | dict(key="leader", value="null")], revision=500, more=True),
    ),
    "listing_required": (wire.KeyPage, dict(items=[], revision=500, more=False)),
    "listing_leased": (wire.KeyPage, dict(items=[KEY_VALUE], revision=500, more=False)),
    "pair": (wire.KeyValue, KEY_VALUE),
    "changes_all": (
        wire.Changes,
        dict(
            revision=500,
            events=[
                dict(version=412, put="j/req-7", delete=None, value='{"at_us":1}'),
                dict(version=413, put=None, delete="leader", value="null"),
            ],
        ),
    ),
    "changes_none": (wire.Changes, dict(revision=500, events=[])),
    "txn_done": (wire.TransactionAnswer, dict(revision=500, failed=[])),
    "txn_conflict": (wire.TransactionAnswer, dict(revision=500, failed=["j/req-7", "leader"])),
    "lease_granted": (wire.LeaseGranted, dict(lease=17)),
}
TRANSACTION = dict(
    conditions=[dict(key="j/req-7", version=0), dict(key="part/3", version=412)],
    ops=[
        dict(put="j/req-7", delete=None, value='{"at_us":1}', lease=None),
        dict(put="part/3", delete=None, value='{"node":"node-3","v":2}', lease=17),
        dict(put=None, delete="leader", value="null", lease=None),
    ],
)
OTHER_FILES = {"txn_all", "txn_empty", "lease", "paths", "exchanges", "emulator_dump", "emulator_log"}
EXCHANGES = files.table("state_service/exchanges.json")


def read_golden(name):
    return files.read(f"state_service/{name}.json")


def test_every_golden_file_of_the_area_is_covered():
    names = {*ANSWERS, *OTHER_FILES}
    assert files.names("state_service") == {f"state_service/{name}.json" for name in names}


@pytest.mark.parametrize("name", ANSWERS)
def test_answers_are_decoded_as_in_the_golden_files(name):
    message_type, values = ANSWERS[name]
    assert files.fields(msgspec.json.decode(read_golden(name), type=message_type)) == values


def test_answers_of_the_emulator_are_encoded_as_in_the_golden_files():
    value = b'{"at_us":1}'
    row, leased_row = (
        emulator_wire.build_key_value("j/req-7", value, 412, None),
        emulator_wire.build_key_value("j/req-7", value, 412, 17),
    )
    second_row = emulator_wire.build_key_value("leader", b"null", 412, None)
    log = [(412, "j/req-7", value), (413, "leader", None)]
    assert emulator_wire.encode_key_page([row, second_row], True, 500) == read_golden("listing_all")
    assert emulator_wire.encode_key_page([], False, 500) == read_golden("listing_required")
    assert emulator_wire.encode_key_page([leased_row], False, 500) == read_golden("listing_leased")
    assert msgspec.json.encode(row) == read_golden("pair")
    assert emulator_wire.encode_changes(log, 500) == read_golden("changes_all")
    assert emulator_wire.encode_changes([], 500) == read_golden("changes_none")
    assert emulator_wire.encode_revision(500) == read_golden("txn_done")
    assert emulator_wire.encode_conflict(["j/req-7", "leader"], 500) == read_golden("txn_conflict")
    assert emulator_wire.encode_lease(17) == read_golden("lease_granted")


def test_transactions_are_encoded_and_decoded_as_in_the_golden_files():
    puts = {
        "j/req-7": (msgspec.Raw(b'{"at_us":1}'), None),
        "part/3": (msgspec.Raw(b'{"node":"node-3","v":2}'), 17),
    }
    assert wire.encode_transaction({"j/req-7": 0, "part/3": 412}, puts, ["leader"]) == read_golden("txn_all")
    assert files.fields(emulator_wire.decode_transaction(read_golden("txn_all"))) == TRANSACTION
    assert wire.encode_transaction({}, {}, []) == read_golden("txn_empty")
    assert files.fields(emulator_wire.decode_transaction(read_golden("txn_empty"))) == dict(
        conditions=[], ops=[]
    )


def test_lease_requests_are_encoded_and_decoded_as_in_the_golden_file():
    assert wire.encode_lease_request(6000) == read_golden("lease")
    assert files.fields(emulator_wire.decode_lease_request(read_golden("lease"))) == dict(ttl_ms=6000)


def test_paths_are_as_in_the_golden_file():
    assert files.table("state_service/paths.json") == {
        "transaction": wire.TRANSACTION_PATH,
        "keys": wire.KEYS_PATH,
        "leases": wire.LEASES_PATH,
        "renew": wire.RENEW_ACTION,
        "changes": wire.CHANGES_PATH,
        "first page": wire.key_page_path("j/", None, 1000),
        "next page": wire.key_page_path("j/", "j/req-7", 500),
        "changes after": wire.changes_path(412, 9000),
    }


# -- the emulator ----------------------------------------------------------------------------------

EXHAUSTED_LIMITER = SimpleNamespace(try_acquire=lambda *amount: False)


def test_emulator_answers_as_in_the_golden_file():
    """All requests go to one emulator, so that later requests see the writes of earlier ones."""
    service = StateService(None, 1000.0, 1000.0, 0.1, 4)
    for name, golden in EXCHANGES.items():
        if name == "too many changes":
            service.writes = EXHAUSTED_LIMITER
        if name == "too many requests":
            service.requests = EXHAUSTED_LIMITER
        arguments = (argument.partition("=") for argument in golden["query"].split("&") if argument)
        request = SimpleNamespace(
            method=golden["method"],
            path=golden["path"],
            body=golden["body"].encode(),
            arguments={argument: [value.encode()] for argument, _, value in arguments},
        )
        status, body, headers = asyncio.run(service.handle(request))
        assert (status, body.decode(), headers) == (golden["status"], golden["answer"], golden["headers"]), (
            name
        )


def test_dump_of_the_emulator_is_loaded_and_written_as_in_the_golden_file():
    store = InMemoryStore()
    store.load(msgspec.json.decode(read_golden("emulator_dump")), 1_000)
    assert (store.revision, store.next_lease, store.leases) == (413, 18, {17: (6_000_000, 6_001_000)})
    assert dict(store.keys) == {"j/req-7": (412, b'{"at_us":1}', None), "part/3": (413, b'{"node":"n"}', 17)}
    assert msgspec.json.encode(store.dump()) == read_golden("emulator_dump")


def test_change_log_of_the_emulator_is_read_and_written_as_in_the_golden_file(tmp_path):
    file = tmp_path / "first"
    file.write_bytes(read_golden("emulator_dump") + b"\n" + read_golden("emulator_log") + b"\n")
    service = StateService(str(file), 1000.0, 1000.0, 16.0, 16)
    assert (service.keys.revision, service.keys.next_lease, sorted(service.keys.leases)) == (415, 19, [18])
    assert dict(service.keys.keys) == {"j/req-7": (414, b'{"at_us":2}', None), "leader": (415, b"{}", 18)}
    restored = StateService(str(tmp_path / "again"), 1000.0, 1000.0, 16.0, 16)
    restored.keys.load(msgspec.json.decode(read_golden("emulator_dump")), 1_000)
    restored.keys.grant_lease(5_000_000, 1_000)
    put_job = emulator_wire.TransactionOperation(put="j/req-7", value=msgspec.Raw(b'{"at_us":2}'))
    put_leader = emulator_wire.TransactionOperation(put="leader", value=msgspec.Raw(b"{}"), lease=18)
    restored.keys.apply_transaction(
        emulator_wire.Transaction(ops=[put_job, emulator_wire.TransactionOperation(delete="part/3")])
    )
    restored.keys.apply_transaction(emulator_wire.Transaction(ops=[put_leader]))
    del restored.keys.leases[17]
    restored._persist_changes(413)
    assert (tmp_path / "again").read_bytes().split(b"\n")[1] == read_golden("emulator_log")
