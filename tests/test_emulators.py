"""The emulated state service: transactions against a model, leases, the change log, and crash recovery."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstep.emulator.key_value_store import MAX_LOGGED_CHANGES, InMemoryStore, LeaseNotFoundError
from pearstep.emulator.state_service import StateService
from pearstep.protocol import emulator_messages as wire
from pearstep.protocol.controller_messages import encode_transaction

KEY_NAMES = st.sampled_from(["a", "a/b", "b", "c/1", "c/2"])


def make_transaction(conditions, puts, deletes=()):
    return wire.decode_transaction(encode_transaction(conditions, puts, list(deletes)))


@given(st.lists(st.tuples(KEY_NAMES, st.integers(0, 6), st.booleans(), st.integers(0, 3)), max_size=40))
def test_transactions_are_atomic_and_the_change_log_and_pages_are_complete(steps):
    store, model, replica, last_revision = InMemoryStore(), {}, {}, 0
    for key_name, expected_version, delete, value in steps:
        before = store.revision
        other_name = "b" if key_name != "b" else "a"
        ops = ({}, [key_name]) if delete else ({key_name: (value, None), other_name: (value, None)}, [])
        outcome = store.apply_transaction(make_transaction({key_name: expected_version}, *ops))
        if model.get(key_name, (0,))[0] != expected_version:
            assert outcome == [key_name] and store.revision == before
            continue
        assert outcome == store.revision
        if delete:
            model.pop(key_name, None)
        else:
            model |= {written_key: (store.revision, value) for written_key in (key_name, other_name)}
        assert store.revision == before + (1 if not delete or expected_version else 0)
        for version, key, encoded in store.changes_after("", last_revision):
            replica.pop(key, None) if encoded is None else replica.update(
                {key: (version, msgspec.json.decode(encoded))}
            )
        last_revision = store.revision
    assert {k: v for k, v in replica.items()} == model
    listed_rows, after = [], ""
    while True:
        page, more = store.read_page("", after, 2)
        listed_rows += page
        if not more:
            break
        after = page[-1][0]
    assert {k: (v, msgspec.json.decode(encoded)) for k, v, encoded, _ in listed_rows} == model
    assert [k for k, *_ in store.read_page("c/", "", 9)[0]] == sorted(k for k in model if k.startswith("c/"))


def test_keys_of_a_lease_are_deleted_on_expiry_and_later_puts_are_rejected():
    store = InMemoryStore()
    lease = store.grant_lease(5_000_000, 0)
    store.apply_transaction(make_transaction({}, {"part/0": (1, lease), "x": (2, None)}))
    assert store.renew_lease(lease, 4_000_000) and not store.expire_leases(9_000_000)
    assert store.expire_leases(9_000_001) and store.version("part/0") == 0 and store.version("x") == 1
    assert store.changes_after("part/", 1) == [(2, "part/0", None)]
    with pytest.raises(LeaseNotFoundError):
        store.apply_transaction(make_transaction({}, {"part/0": (1, lease)}))
    assert store.revision == 2 and not store.renew_lease(lease, 10_000_000)


def test_changes_older_than_the_log_are_reported_as_missing():
    store = InMemoryStore()
    for i in range(MAX_LOGGED_CHANGES + 5):
        store.apply_transaction(make_transaction({}, {"a": (i, None)}))
    assert store.changes_after("", 3) is None and len(store.changes_after("", 5)) == MAX_LOGGED_CHANGES


@given(st.integers(0, 400))
def test_complete_transactions_are_recovered_after_a_torn_write(lost_bytes):
    import tempfile
    from pathlib import Path

    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "keys"

        async def scenario():
            service = StateService(str(file), 1e6, 1e6, 16, 16)
            lease = service.keys.grant_lease(5_000_000, 0)
            for i in range(6):
                before = service.keys.revision
                service.keys.apply_transaction(
                    make_transaction({}, {f"k/{i}": (i, lease if i % 2 else None), "both": (i, None)})
                )
                service._persist_changes(before)
            content = file.read_bytes()
            file.write_bytes(content[: max(len(content) - lost_bytes, content.index(b"\n") + 1)])
            line_count = file.read_bytes().count(b"\n")
            restored = StateService(str(file), 1e6, 1e6, 16, 16)
            transaction_count = line_count - 1
            assert restored.keys.revision == transaction_count
            assert sorted(restored.keys.keys) == (["both"] if transaction_count else []) + [
                f"k/{i}" for i in range(transaction_count)
            ]
            # Transactions are recovered whole or not at all, and leases survive.
            if transaction_count:
                assert (
                    msgspec.json.decode(restored.keys.keys["both"][1]) == transaction_count - 1
                    and lease in restored.keys.leases
                )

        asyncio.run(scenario())
