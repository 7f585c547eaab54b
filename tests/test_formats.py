"""Formats of task sets, messages, stored records and settings."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstep.controller import settings
from pearstep.domain.task_set import format_task_ranges, parse_task_ranges, task_numbers
from pearstep.protocol import controller_messages as wire
from pearstep.state import records, replica
from pearstep.state.records import (
    DECODERS,
    DrainReason,
    DrainRecord,
    JobRecord,
    MachineRecord,
    Placement,
    PlacementRecord,
)
from pearstep.state.replica import Replica
from tests.world import spec

MASKS = st.sets(st.integers(0, 3000), max_size=60).map(lambda tasks: sum(1 << task for task in tasks))


@given(MASKS, st.integers(0, 500), st.integers(0, 400))
def test_task_ranges_round_trip(mask, start, length):
    mask |= ((1 << length) - 1) << start
    assert parse_task_ranges(format_task_ranges(mask)) == mask
    assert sum(1 << task for task in task_numbers(mask)) == mask


def test_ranges_of_a_hundred_thousand_tasks_are_short():
    assert format_task_ranges((1 << 100_000) - 1) == "0-99999"


SUBMISSION = {
    "ref": "req-000412",
    "cohort": "train",
    "holder": "vision",
    "shape": "gang",
    "rank": "high",
    "parcels": 16,
    "vcpus": 8.0,
    "accelerators": 1.0,
    "memoryGb": 64.0,
    "bundle": "img-07",
    "sizeGb": 6.2,
    "breeds": ["g8"],
    "plot": None,
    "together": True,
    "scatter": False,
    "windfall": True,
    "reckonS": 240.0,
    "markS": 30.0,
    "stowS": 4.0,
    "dueS": 900.0,
}


def test_submission_is_decoded_into_a_job_spec():
    job = wire.decode_submission(msgspec.json.encode({**SUBMISSION, "unknown": [1]}))
    assert (job.kind, job.priority, job.tasks, job.estimate_us) == ("gang", 1, 16, 240_000_000)
    assert (
        wire.decode_submission(msgspec.json.encode({k: v for k, v in SUBMISSION.items() if k != "plot"}))
        == job
    )


@pytest.mark.parametrize(
    "change",
    [
        {"ref": "job-1"},
        {"ref": 7},
        {"vcpus": -1},
        {"vcpus": "8"},
        {"parcels": 0},
        {"parcels": 100_001},
        {"parcels": 1.5},
        {"rank": "urgent"},
        {"shape": "pack"},
        {"memoryGb": 1e9},
        {"together": "yes"},
        {"breeds": "g8"},
        {"reckonS": None},
        {"dueS": -1},
    ],
)
def test_submission_with_an_invalid_field_is_refused(change):
    with pytest.raises(wire.MalformedMessageError):
        wire.decode_submission(msgspec.json.encode({**SUBMISSION, **change}))


@pytest.mark.parametrize("field", sorted(set(SUBMISSION) - {"breeds", "plot", "dueS"}))
def test_submission_with_a_missing_field_is_refused(field):
    with pytest.raises(wire.MalformedMessageError):
        wire.decode_submission(msgspec.json.encode({k: v for k, v in SUBMISSION.items() if k != field}))


@given(
    st.binary(max_size=60)
    | st.recursive(st.none() | st.integers() | st.text(), st.lists).map(msgspec.json.encode)
)
def test_garbage_raises_malformed_message_error(body):
    for decode in (wire.decode_submission, wire.decode_heartbeat, wire.decode_job_id):
        with pytest.raises(wire.MalformedMessageError):
            decode(body)


PLACEMENTS = st.dictionaries(
    st.integers(0, 16_383),
    st.builds(Placement, st.text(max_size=8), st.integers(1, 9), st.integers(1, 99), st.integers(0, 2**50)),
    max_size=5,
)


@given(PLACEMENTS, st.integers(0, 2**64))
def test_placement_records_round_trip(placements, done):
    record = PlacementRecord(placements, f"{done:x}", 3)
    assert DECODERS["p"].decode(msgspec.json.encode(record)) == record


@pytest.mark.parametrize(
    "key, kind, expected",
    [
        (records.job_key("req-7"), records.JOB_KIND, "j/req-7"),
        (records.route_key(3, "req-7"), records.ROUTE_KIND, "r/3/req-7"),
        (records.placement_key(3, "req-7", 2), records.PLACEMENT_KIND, "p/3/req-7/2"),
        (records.machine_key(3, "i-1"), records.MACHINE_KIND, "m/3/i-1"),
        (records.drain_key("i-1"), records.DRAIN_KIND, "d/i-1"),
        (records.instance_request_key("n0-12-1"), records.INSTANCE_REQUEST_KIND, "h/n0-12-1"),
        (records.shard_lease_key(3), records.SHARD_LEASE_KIND, "part/3"),
        (records.LEADER_LEASE_KEY, records.LEADER_LEASE_KIND, "leader"),
        (records.SHARD_LAYOUT_KEY, records.SHARD_LAYOUT_KIND, "layout"),
        (records.fence_key("part/3"), records.WRITE_FENCE_KIND, "e/part/3"),
    ],
)
def test_keys_start_with_their_kind_and_keep_their_stored_form(key, kind, expected):
    assert key == expected
    assert key.split("/")[0] == kind and kind in records.RECORD_TYPES


def test_the_replica_applies_every_kind_of_record():
    assert replica._HANDLERS.keys() == records.RECORD_TYPES.keys() == DECODERS.keys()


def test_a_drain_reason_is_stored_as_its_text_and_an_unknown_one_is_decoded():
    stored = {reason: msgspec.json.encode(DrainRecord(reason, 1)) for reason in DrainReason}
    assert set(stored.values()) == {
        b'{"why":"%s","at_us":1}' % text
        for text in (
            b"idle",
            b"moving",
            b"never came up",
            b"failed",
            b"notice",
            b"lost",
            b"deaf",
            b"stuck",
            b"sick",
        )
    }
    for reason, raw in stored.items():
        assert records.decode_record("d/m1", raw) == DrainRecord(reason, 1)
    assert records.decode_record("d/m1", b'{"why":"of a later release","at_us":1}') == DrainRecord(
        "of a later release", 1
    )


def test_a_registered_machine_equals_its_pair_of_shard_and_record():
    local_replica = Replica()
    record = MachineRecord("g8", "north", False, "10.0.0.1:9000")
    assert local_replica.put(records.machine_key(3, "i-1"), 1, msgspec.json.encode(record), 0)
    machine = local_replica.machines["i-1"]
    assert (machine.shard_id, machine.record) == machine == (3, record)


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), min_size=1, max_size=12), st.randoms())
def test_replica_reaches_the_same_state_however_answers_overlap(changes, rng):
    log = []
    existing_keys: set[str] = set()
    for version, (number, is_put) in enumerate(changes, 1):
        key = records.drain_key(f"m{number}")
        if is_put or key not in existing_keys:
            log.append((key, version, b'{"why":"%d","at_us":1}' % version))
            existing_keys.add(key)
        else:
            log.append((key, version, None))
            existing_keys.discard(key)
    in_order, overlapping = Replica(), Replica()
    overlapping_log: list = []
    for index in range(len(log)):
        # Answers repeat earlier changes.
        overlapping_log += log[max(0, index - rng.randint(0, 3)) : index + 1]
    for local_replica, events in ((in_order, log), (overlapping, overlapping_log)):
        for key, version, raw in events:
            if version <= local_replica.revision:
                continue
            if raw:
                local_replica.put(key, version, raw, 0)
            else:
                local_replica.delete(key, version)
            local_replica.revision = version
    assert in_order.drains == overlapping.drains and in_order.versions == overlapping.versions


def test_a_final_job_state_is_never_replaced_by_an_older_one():
    local_replica = Replica()
    local_replica.put("j/req-1", 5, msgspec.json.encode(JobRecord(spec(), 1, "done", 2)), 0)
    assert not local_replica.put("j/req-1", 4, msgspec.json.encode(JobRecord(spec(), 1)), 0)
    assert local_replica.jobs["req-1"].state == "done"


TOML = """
node = "n0"
bind = "127.0.0.1:1"
[endpoints]
cloud = "127.0.0.1:2"
state = "127.0.0.1:3"
[params]
nodes = 1
zones = ["a"]
new_field = true
[params.workers]
report_s = 2.0
lease_s = 16.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 40.0
[params.state]
rps = 100
write_rps = 40
value_kb = 16
txn_ops = 12
[params.cloud]
rps = 4
list_lag_s = 5
"""


def test_settings_ignore_unknown_fields_and_errors_name_invalid_ones(tmp_path):
    settings_file = tmp_path / "good.toml"
    settings_file.write_text(TOML)
    loaded = settings.load(str(settings_file), None)
    assert (loaded.shard_count, loaded.timeouts.silent_us, loaded.txn_ops) == (1, 10_000_000, 12)
    # Seen with a report interval of 5 s: two reports were lost, and a working machine was deleted.
    sparse_settings = TOML.replace("report_s = 2.0", "report_s = 6.0")
    settings_file.write_text(sparse_settings.replace("write_rps = 40", "write_rps = 5"))
    loaded = settings.load(str(settings_file), None)
    assert (loaded.timeouts.silent_us, loaded.txn_ops) == (18_000_000, 5)
    invalid_settings = (
        ("rps = 100", "rps = -1", "rps"),
        ('bind = "127.0.0.1:1"', 'bind = "x"', "address"),
        ("lease_s = 16.0", "", "lease_s"),
    )
    for old, new, field_name in invalid_settings:
        invalid_file = tmp_path / "bad.toml"
        invalid_file.write_text(TOML.replace(old, new, 1))
        with pytest.raises(settings.SettingsError, match=field_name) as error:
            settings.load(str(invalid_file), None)
        assert "\n" not in str(error.value)


def test_tuning_is_validated(tmp_path):
    settings_file = tmp_path / "good.toml"
    settings_file.write_text(TOML)
    tuning = tmp_path / "tuning.yaml"
    tuning.write_text("backfilling: {initial_delay_s: 5}\n")
    assert settings.load(str(settings_file), str(tuning)).tuning.backfilling.initial_delay_s == 5
    tuning.write_text("renting: {idle_s: 9}\ndeployments: [{zones: [a], renting: {most_at_once: 3}}]")
    renting = settings.load(str(settings_file), str(tuning)).tuning.renting
    assert (renting.idle_s, renting.most_at_once) == (9, 3)
    tuning.write_text("deployments: [{zones: [b], renting: {idle_s: 3}}]")
    assert settings.load(str(settings_file), str(tuning)).tuning.renting.idle_s != 3
    for text in ("backfilling: {no_such: 1}", "backfilling: {bounds_s: [5, 2, 9]}", "a: [", "renting: 3"):
        tuning.write_text(text)
        with pytest.raises(settings.SettingsError):
            settings.load(str(settings_file), str(tuning))
