"""The stand-ins keep the protocol's word: the state service against a model, and what survives its end."""

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstep.emulator.key_value_store import MAX_LOGGED_CHANGES, InMemoryStore, LeaseNotFoundError
from pearstep.emulator.state_service import StateService
from pearstep.protocol import emulator_messages as wire
from pearstep.protocol.controller_messages import encode_transaction

NAMES = st.sampled_from(["a", "a/b", "b", "c/1", "c/2"])


def txn(conditions, puts, deletes=()):
    return wire.decode_transaction(encode_transaction(conditions, puts, list(deletes)))


@given(st.lists(st.tuples(NAMES, st.integers(0, 6), st.booleans(), st.integers(0, 3)), max_size=40))
def test_transactions_are_whole_or_nothing_and_the_log_tells_all(steps):
    keys, model, replica, seen = InMemoryStore(), {}, {}, 0
    for name, stamp, delete, value in steps:
        before = keys.revision
        other = "b" if name != "b" else "a"
        ops = ({}, [name]) if delete else ({name: (value, None), other: (value, None)}, [])
        outcome = keys.apply_transaction(txn({name: stamp}, *ops))
        if model.get(name, (0,))[0] != stamp:
            assert outcome == [name] and keys.revision == before
            continue
        assert outcome == keys.revision
        if delete:
            model.pop(name, None)
        else:
            model |= {n: (keys.revision, value) for n in (name, other)}
        assert keys.revision == before + (1 if not delete or stamp else 0)
        for version, key, raw in keys.changes_after("", seen):
            replica.pop(key, None) if raw is None else replica.update(
                {key: (version, msgspec.json.decode(raw))}
            )
        seen = keys.revision
    assert {k: v for k, v in replica.items()} == model
    listed, after = [], ""
    while True:
        page, more = keys.read_page("", after, 2)
        listed += page
        if not more:
            break
        after = page[-1][0]
    assert {k: (v, msgspec.json.decode(raw)) for k, v, raw, _ in listed} == model
    assert [k for k, *_ in keys.read_page("c/", "", 9)[0]] == sorted(k for k in model if k.startswith("c/"))


def test_keys_of_a_lease_go_with_it_and_late_puts_are_refused():
    keys = InMemoryStore()
    lease = keys.grant_lease(5_000_000, 0)
    keys.apply_transaction(txn({}, {"part/0": (1, lease), "x": (2, None)}))
    assert keys.renew_lease(lease, 4_000_000) and not keys.expire_leases(9_000_000)
    assert keys.expire_leases(9_000_001) and keys.version("part/0") == 0 and keys.version("x") == 1
    assert keys.changes_after("part/", 1) == [(2, "part/0", None)]
    with pytest.raises(LeaseNotFoundError):
        keys.apply_transaction(txn({}, {"part/0": (1, lease)}))
    assert keys.revision == 2 and not keys.renew_lease(lease, 10_000_000)


def test_a_log_that_is_too_short_says_so():
    keys = InMemoryStore()
    for i in range(MAX_LOGGED_CHANGES + 5):
        keys.apply_transaction(txn({}, {"a": (i, None)}))
    assert keys.changes_after("", 3) is None and len(keys.changes_after("", 5)) == MAX_LOGGED_CHANGES


@given(st.integers(0, 400))
def test_what_was_confirmed_is_there_after_a_torn_write(cut):
    import tempfile
    from pathlib import Path

    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "keys"

        async def play():
            service = StateService(str(file), 1e6, 1e6, 16, 16)
            lease = service.keys.grant_lease(5_000_000, 0)
            for i in range(6):
                before = service.keys.revision
                service.keys.apply_transaction(
                    txn({}, {f"k/{i}": (i, lease if i % 2 else None), "both": (i, None)})
                )
                service._persist_changes(before)
            whole = file.read_bytes()
            file.write_bytes(whole[: max(len(whole) - cut, whole.index(b"\n") + 1)])
            lines = file.read_bytes().count(b"\n")
            again = StateService(str(file), 1e6, 1e6, 16, 16)
            count = lines - 1
            assert again.keys.revision == count
            assert sorted(again.keys.keys) == (["both"] if count else []) + [f"k/{i}" for i in range(count)]
            # All or nothing of each transaction, and leases go on.
            if count:
                assert (
                    msgspec.json.decode(again.keys.keys["both"][1]) == count - 1
                    and lease in again.keys.leases
                )

        asyncio.run(play())
