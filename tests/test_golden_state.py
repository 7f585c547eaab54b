"""Records in the state service as released code stores them: they decode under their keys to the same fields,
and encode to the same bytes.
"""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.archive import members
from pearstep.archive.members import Here, MemberList
from pearstep.archive.service import _Standing
from pearstep.federation.ledger import OriginRecord, RemoteRecord
from pearstep.federation.offload_records import OffloadRecords, PeerRecord
from pearstep.history import compaction, tree
from pearstep.history import export as portable
from pearstep.history.blocks import HistoryEntry, pack, unpack
from pearstep.history.extension import CompactorRecord
from pearstep.history.reader import Reader
from pearstep.history.tree import Root
from pearstep.state import records
from pearstep.state.records import (
    DrainRecord,
    InstanceRequestRecord,
    JobRecord,
    LeaseHolderRecord,
    MachineRecord,
    PlacementRecord,
    RouteRecord,
    ShardLayoutRecord,
    WriteFenceRecord,
)
from pearstep.state.replica import Replica
from tests.golden import files

# fmt: off
SPEC = dict(job_id="req-000412", job_class="train", team="vision", kind="gang", priority=1, tasks=16,
    cpus=8.0, gpus=1.5, memory_gb=64.25, image="img-07", image_gb=6.2, types=["g8", "g4"], zone="north",
    one_zone=True, spread=True, spot=True, estimate_us=240_000_000, checkpoint_us=30_000_000,
    save_us=4_000_000, deadline_us=900_000_000)
PLAIN = dict(job_id="req-7", job_class="batch", team="dev", kind="array", priority=2, tasks=2, cpus=10.0,
    gpus=0.0, memory_gb=8.0, image="img", image_gb=1.0, types=None, zone=None, one_zone=False, spread=False,
    spot=False, estimate_us=0, checkpoint_us=0, save_us=0, deadline_us=None)

CORE = {
    "job_all": (JobRecord, dict(spec=SPEC, submitted_at_us=1_700_000_000_000_001, state="done",
        ended_at_us=1_700_000_360_000_002, shard_id=3, excluded_tasks="0-4,7",
        run_until_us=1_700_000_500_000_003)),
    "job_defaults": (JobRecord, dict(spec=PLAIN, submitted_at_us=1_700_000_000_000_001, state="queued",
        ended_at_us=0, shard_id=None, excluded_tasks="", run_until_us=0)),
    "job_cancelled": (JobRecord, dict(spec=PLAIN, submitted_at_us=1_700_000_000_000_001, state="cancelled",
        ended_at_us=1_700_000_100_000_002, shard_id=None, excluded_tasks="", run_until_us=0)),
    "job_part_zero": (JobRecord, dict(spec=PLAIN, submitted_at_us=1_700_000_000_000_001, state="queued",
        ended_at_us=0, shard_id=0, excluded_tasks="", run_until_us=0)),
    "job_of_peer": (JobRecord, dict(spec=dict(job_id="lent-south-7-4294967297", job_class="south:batch",
        team="peer:south", kind="array", priority=3, tasks=2, cpus=10.0, gpus=0.0, memory_gb=8.0,
        image="img", image_gb=1.0, types=None, zone=None, one_zone=False, spread=False, spot=False,
        estimate_us=0, checkpoint_us=0, save_us=0, deadline_us=None), submitted_at_us=1_700_000_000_000_001,
        state="queued", ended_at_us=0, shard_id=None, excluded_tasks="1",
        run_until_us=1_700_000_060_000_000)),
    "route_all": (RouteRecord, dict(tasks="0-4,7", zone_tasks={"north": "0-4", "south": "7"}, attempt=2,
        machines={0: "i-1", 15: "i-2"}, start_at_us=1_700_000_000_000_001)),
    "route_free": (RouteRecord, dict(tasks="0-1", zone_tasks=None, attempt=0, machines=None, start_at_us=0)),
    "route_defaults": (RouteRecord, dict(tasks="", zone_tasks=None, attempt=0, machines=None, start_at_us=0)),
    "route_empty_maps": (RouteRecord, dict(tasks="", zone_tasks={}, attempt=0, machines={}, start_at_us=0)),
    "place_all": (PlacementRecord, dict(placements={0: dict(machine="i-1", incarnation=4, attempt=2,
        placed_at_us=1_700_000_000_000_001), 16_383: dict(machine="i-2", incarnation=5, attempt=1,
        placed_at_us=0)}, done="1f", last_attempt=7, consecutive_failures=2)),
    "place_defaults": (PlacementRecord, dict(placements={}, done="0", last_attempt=0,
        consecutive_failures=0)),
    "machine_all": (MachineRecord, dict(type="g8", zone="north", spot=True, address="10.0.0.1:9000",
        images={"img-07": 6.2, "img": 1.0})),
    "machine_defaults": (MachineRecord, dict(type="small", zone="south", spot=False, address="10.0.0.2:9000",
        images={})),
    "drain": (DrainRecord, dict(reason="lost", requested_at_us=1_700_000_000_000_001)),
    "hire_asked": (InstanceRequestRecord, dict(type="g8", zone="north", spot=True, count=3,
        requested_at_us=1_700_000_000_000_001, machines=None)),
    "hire_answered": (InstanceRequestRecord, dict(type="small", zone="south", spot=False, count=2,
        requested_at_us=1_700_000_000_000_001, machines=["i-1", "i-2"])),
    "hire_answered_none": (InstanceRequestRecord, dict(type="small", zone="south", spot=False, count=2,
        requested_at_us=1_700_000_000_000_001, machines=[])),
    "part_held": (LeaseHolderRecord, dict(node="node-3", node_version=2)),
    "part_given_up": (LeaseHolderRecord, dict(node="", node_version=0)),
    "leader_held": (LeaseHolderRecord, dict(node="node-0", node_version=1)),
    "layout_zones": (ShardLayoutRecord, dict(zones=["north", "south", "north"])),
    "layout_over_all": (ShardLayoutRecord, dict(zones=[])),
    "fence_of_part": (WriteFenceRecord, dict()),
    "fence_of_leader": (WriteFenceRecord, dict()),
}
LOANS = {
    "loan_home_all": (OriginRecord, dict(offload=dict(tasks=16, state="recalling", number=4_294_967_297,
        task_mask=10, done_mask=2, rerunnable=True, cancel_requested=True, final_state="cancelled"),
        peer="south", need=dict(cpus=8.0, gpus=1.5, memory_gb=64.25), returned=2, spec=SPEC,
        forced="ana: site is gone", term_us=60_000_000, since_us=1_700_000_000_000_001)),
    "loan_home_defaults": (OriginRecord, dict(offload=dict(tasks=2, state="at home", number=0, task_mask=0,
        done_mask=0, rerunnable=False, cancel_requested=False, final_state=""), peer="",
        need=dict(cpus=1.0, gpus=0.0, memory_gb=0.0), returned=0, spec=None, forced="", term_us=0,
        since_us=0)),
    "loan_guest_all": (RemoteRecord, dict(offload=dict(state="holding", number=4_294_967_297, task_mask=10,
        done_mask=2, rerunnable=True, highest_number=4_294_967_298), need=dict(cpus=8.0, gpus=1.5,
        memory_gb=64.25), since_us=1_700_000_000_000_001, spec=SPEC, term_us=60_000_000)),
    "loan_guest_defaults": (RemoteRecord, dict(offload=dict(state="none", number=0, task_mask=0, done_mask=0,
        rerunnable=False, highest_number=0), need=dict(cpus=1.0, gpus=0.0, memory_gb=0.0), since_us=0,
        spec=None, term_us=0)),
    "peer_all": (PeerRecord, dict(addrs=["10.1.0.1:7101", "10.1.0.2:7101"], lend=False, grant=dict(cpus=32.0,
        gpus=2.0, memory_gb=128.0, spare=0.25, rent=True), price=1.5, drained=True,
        forgotten="ana: site is gone")),
    "peer_defaults": (PeerRecord, dict(addrs=["10.2.0.1:7101"], lend=True, grant=dict(cpus=0.0, gpus=0.0,
        memory_gb=0.0, spare=0.1, rent=False), price=1.0, drained=False, forgotten="")),
}
HISTORY = {
    "history_root_all": (Root, dict(runs=[dict(name="11-0", level=1, count=40, first_numbers=[1_000_007,
        1_000_412]), dict(name="12-3", level=0, count=2, first_numbers=[1_000_500])], count=42)),
    "history_root_defaults": (Root, dict(runs=[], count=0)),
    "compactor": (CompactorRecord, dict(node="node-0", process=9_007_199_254_740_991)),
}
ARCHIVE = {
    "archive_node": (Here, dict(addr="127.0.0.1:9100")),
    "archive_members": (MemberList, dict(members={"archive-0": "127.0.0.1:9100", "archive-1":
        "127.0.0.1:9101"})),
    "published_set": (_Standing,
        dict(digest="abababababababababababababababababababababababababababababababab")),
}
# fmt: on
ALL = CORE | LOANS | HISTORY | ARCHIVE
KEYS = files.table("state/keys_of_files.json")


def stored(name):
    return files.read(f"state/{name}.json")


def test_every_golden_state_file_is_tested():
    others = {"keys", "keys_of_files", "history_block", "root_keys_of_ids"}
    assert files.names("state") == {f"state/{name}.json" for name in {*ALL, *others}}
    assert KEYS.keys() == ALL.keys()


@pytest.mark.parametrize("name", ALL)
def test_record_decodes_to_these_fields_and_encodes_to_the_same_bytes(name):
    kind, values = ALL[name]
    record = msgspec.json.decode(stored(name), type=kind)
    assert files.fields(record) == values
    assert msgspec.json.encode(record) == stored(name)


@pytest.mark.parametrize("name", CORE)
def test_core_record_is_decoded_by_its_key(name):
    kind, values = CORE[name]
    record = records.decode_record(KEYS[name], stored(name))
    assert type(record) is kind and files.fields(record) == values


def test_keys_are_unchanged():
    assert files.table("state/keys.json") == {
        "route of req-7 in part 3": records.route_key(3, "req-7"),
        "placements of chunk 2 of req-7 in part 3": records.placement_key(3, "req-7", 2),
        "fence of part 3": records.fence_key("part/3"),
        "fence of the lead": records.fence_key("leader"),
        "root of bucket 5": tree.root_key(5),
        "block 2 of run 11-0 of bucket 5": tree.block_key(5, "11-0", 2),
        "kinds": sorted(records.RECORD_TYPES),
        "history roots": records.HISTORY_ROOT_PREFIX,
        "history blocks": records.HISTORY_BLOCK_PREFIX,
        "compactor": compaction.COMPACTOR,
        "import under way": portable.IMPORT_KEY,
        "archive": members.PREFIX,
        "archive nodes": members.NODES,
        "archive members": members.LIST,
    }


def replica_of(names):
    """Return a replica that has read these files under their keys; versions follow the order of the names."""
    replica = Replica()
    offloads = OffloadRecords(replica, lambda key: None)
    for version, name in enumerate(names, 1):
        assert replica.put(KEYS[name], version, stored(name), 0)
    assert not replica.unreadable
    return replica, offloads


def test_replica_reads_each_kind_of_record_under_its_key():
    # A job that has ended is never queued again, so its final record comes last.
    names = [name for name in CORE | LOANS if name != "job_cancelled"] + ["job_cancelled"]
    replica, offloads = replica_of(names)
    wide, plain = replica.jobs["req-000412"], replica.jobs["req-7"]
    assert (wide.state, wide.is_final, plain.state) == ("done", True, "cancelled")
    assert sorted(wide.routes) == [3] and sorted(plain.routes) == [0]
    assert sorted(wide.placements) == [(3, 0)] and sorted(plain.placements) == [(0, 1)]
    assert {name: shard_id for name, (shard_id, _) in replica.machines.items()} == {"i-1": 3, "i-2": 0}
    assert sorted(replica.drains) == ["i-1"]
    assert sorted(replica.instance_requests) == ["n0-12-1", "n0-12-2", "n0-12-3"]
    holders = {
        shard_id: (holder.node, holder.fencing_token, holder.node_version)
        for shard_id, holder in replica.shard_holders.items()
    }
    versions = {name: version for version, name in enumerate(names, 1)}
    assert holders == {3: ("node-3", versions["part_held"], 2), 4: ("", versions["part_given_up"], 0)}
    assert (replica.leader.node, replica.leader.fencing_token, replica.leader.node_version) == (
        "node-0",
        versions["leader_held"],
        1,
    )
    assert files.fields(replica.layout) == {"zones": []}
    assert sorted(offloads.origin_records) == ["req-000412", "req-7"]
    assert sorted(offloads.remote_records) == [("south", "req-000412"), ("south", "req-7")]
    assert sorted(offloads.peers) == ["north", "south"]
    assert (offloads.open_origin, offloads.open_remote) == ({"req-000412"}, {("south", "req-000412")})


def test_replica_deletes_each_kind_of_record_under_its_key():
    names = [name for name in CORE | LOANS if not name.startswith("job_")]
    replica, offloads = replica_of(["job_all", "job_defaults", *names])
    for key in dict.fromkeys(KEYS[name] for name in names):
        assert replica.delete(key, 1000)
    wide, plain = replica.jobs["req-000412"], replica.jobs["req-7"]
    assert not (wide.routes or plain.routes or wide.placements or plain.placements)
    assert not (replica.machines or replica.drains or replica.instance_requests or replica.shard_holders)
    assert replica.leader is None and replica.layout is None
    assert not (
        offloads.origin_records
        or offloads.remote_records
        or offloads.peers
        or offloads.open_origin
        or offloads.open_remote
    )
    for key in ("j/req-000412", "j/req-7"):
        assert replica.delete(key, 1000)
    assert not replica.jobs and not replica.versions


def test_node_without_the_extensions_detects_their_keys():
    replica = Replica()
    assert not replica.put(KEYS["history_root_all"], 1, stored("history_root_all"), 0)
    assert (replica.has_unread_history, replica.has_unread_offloads) == (True, False)
    assert not replica.put(KEYS["loan_home_all"], 2, stored("loan_home_all"), 0)
    assert replica.has_unread_offloads
    assert replica.unreadable == ["hr/5", "l/req-000412"]


def test_history_block_decodes_and_packs_unchanged():
    text = msgspec.json.decode(stored("history_block"), type=str)
    entries = unpack(text.encode())
    assert files.fields(entries) == [
        {"number": 1_000_007, "cancelled": False, "done": 2},
        {"number": 1_000_412, "cancelled": True, "done": 0},
        {"number": 12_345_678_901_234_567_890, "cancelled": False, "done": 100_000},
    ]
    entries_to_pack = [
        HistoryEntry(1_000_007, False, 2),
        HistoryEntry(1_000_412, True, 0),
        HistoryEntry(12_345_678_901_234_567_890, False, 100_000),
    ]
    assert [msgspec.json.encode(block.decode()) for block in pack(entries_to_pack, 16_384)] == [
        stored("history_block")
    ]


def test_history_is_read_under_its_keys():
    replica = Replica()
    store = SimpleNamespace(is_unavailable=lambda: True)
    reader = Reader(replica, store, None, 4, 4)
    raw = msgspec.json.encode([[["11-0", 0, 3, [1_000_007]]], 3])
    assert replica.put("hr/5", 1, raw, 0) and replica.put("zb/5/11-0/0", 2, stored("history_block"), 0)
    assert replica.put(KEYS["compactor"], 3, stored("compactor"), 0)
    assert sorted(reader.roots) == [5] and reader.history.has_filter(5, "11-0") and not reader.damaged
    assert reader.compactor_record == stored("compactor")


@pytest.mark.parametrize("job_id, key", files.table("state/root_keys_of_ids.json").items())
def test_job_id_belongs_to_the_same_bucket(job_id, key):
    reader = Reader(Replica(), SimpleNamespace(is_unavailable=lambda: True), None, 4, 4)
    assert asyncio.run(reader.find(job_id)) == {key: 0}
