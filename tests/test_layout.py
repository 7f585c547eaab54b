"""Assignment of machines to shards: within zones if the cluster was started so, and equal on every node."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pearstep.controller.agent_gateway import AgentGateway
from pearstep.controller.leadership import Leadership
from pearstep.controller.lease_claimer import LeaseClaimer
from pearstep.state.records import NODE_VERSION, LeaseHolderRecord, MachineRecord, ShardLayoutRecord
from pearstep.state.replica import Replica
from pearstep.state.shard_layout import ShardLayout, can_use_zone_layout, shard_of

ZONES = ["north", "south", "north", "south", "north"]


@given(
    st.lists(st.sampled_from("abc"), min_size=1, max_size=9), st.integers(0, 10**6), st.sampled_from("abcd")
)
def test_a_machine_belongs_to_one_shard_of_its_zone_if_there_is_one(zones, number, zone):
    name = f"i-{number:06d}"
    shard_id = ShardLayout(len(zones), zones).shard_of(name, zone)
    assert 0 <= shard_id < len(zones)
    assert zones[shard_id] == zone or zone not in zones
    if zone not in zones or len(set(zones)) == 1:
        assert shard_id == shard_of(name, len(zones)) == ShardLayout(len(zones)).shard_of(name, zone)


def test_shards_of_a_zone_get_about_the_same_number_of_machines():
    layout = ShardLayout(5, ZONES)
    north = Counter(layout.shard_of(f"i-{n:06d}", "north") for n in range(3000))
    assert set(north) == {0, 2, 4} and max(north.values()) < 1.2 * min(north.values())


def test_zone_layout_is_decided_once_all_holders_are_known_to_support_it():
    assert can_use_zone_layout(0, [1, 1, 1], 1) is True
    assert can_use_zone_layout(0, [1, 0, 1], 1) is False  # an earlier release assigns over all shards
    assert can_use_zone_layout(0, [1, None, 1], 1) is None  # the next holder of that shard may be one
    assert can_use_zone_layout(3, [1, 1, 1], 1) is False  # machines are assigned already
    assert can_use_zone_layout(3, [None], 1) is False


class Cluster:
    """Nodes of this and an earlier release on the same records, which each node reads with its own delay."""

    def __init__(self, old_nodes):
        self.log = []
        self.old_nodes = old_nodes
        self.replicas = [Replica() for _ in ZONES]
        self.applied = [0] * len(ZONES)
        self.gateways = [
            AgentGateway(None, replica, {}, f"n{i}", len(ZONES), ZONES, lambda: 0, lambda: 0, lambda: None)
            for i, replica in enumerate(self.replicas)
        ]

    def put(self, key, record):
        self.log.append((key, msgspec.json.encode(record)))

    def apply_changes(self, node, count):
        for version in range(self.applied[node] + 1, min(self.applied[node] + count, len(self.log)) + 1):
            key, raw = self.log[version - 1]
            self.replicas[node].put(key, version, raw, 0)
            self.applied[node] = version

    def record_machine(self, node, machine, zone):
        """Record the machine if the shard that the node assigns it to is the node's own."""
        layout = ShardLayout(len(ZONES)) if node in self.old_nodes else self.gateways[node].layout()
        if layout is None:
            return
        shard_id = layout.shard_of(machine, zone)
        if shard_id == node:
            self.put(f"m/{shard_id}/{machine}", MachineRecord("small", zone, False, "x"))

    def decide_layout(self, node):
        """Run a pass of the leader, if it is of this release; it has read all changes up to its own claim."""
        self.apply_changes(node, len(self.log))
        replica = self.replicas[node]
        if replica.layout is not None:
            return
        versions = [
            holder.node_version if (holder := replica.shard_holders.get(p)) else None
            for p in range(len(ZONES))
        ]
        within_zones = can_use_zone_layout(len(replica.machines), versions, NODE_VERSION)
        if within_zones is not None and not any(key == "layout" for key, _ in self.log):
            self.put("layout", ShardLayoutRecord(ZONES if within_zones else []))


@given(
    st.sets(st.integers(0, 4), max_size=2),
    st.lists(
        st.tuples(
            st.sampled_from(["claim", "follow", "report", "settle"]), st.integers(0, 4), st.integers(0, 30)
        ),
        max_size=120,
    ),
)
def test_no_machine_is_recorded_in_two_shards_whatever_changes_each_node_has_read(old_nodes, events):
    cluster = Cluster(old_nodes)
    leader = min(set(range(5)) - old_nodes)
    claimed = set()
    for action, node, number in events:
        if action == "claim" and node not in claimed:
            claimed.add(node)
            cluster.put(
                f"part/{node}", LeaseHolderRecord(f"n{node}", 0 if node in old_nodes else NODE_VERSION)
            )
        elif action == "follow":
            cluster.apply_changes(node, 3)
        elif action == "report" and node in claimed:
            cluster.record_machine(node, f"i-{number}", "north" if number % 2 else "south")
        elif action == "settle" and leader in claimed:
            cluster.decide_layout(leader)
    shards_by_machine = {}
    for key, _ in cluster.log:
        if key.startswith("m/"):
            _, shard_id, name = key.split("/")
            shards_by_machine.setdefault(name, set()).add(shard_id)
    assert all(len(shards) == 1 for shards in shards_by_machine.values())


def test_gateway_has_no_layout_before_the_layout_is_decided():
    replica = Replica()
    gateway = AgentGateway(None, replica, {}, "n0", 5, ZONES, lambda: 0, lambda: 0, lambda: None)
    assert gateway.layout() is None
    # A cluster with machines but without a layout record keeps assigning machines over all shards.
    replica.put("m/3/i-1", 1, msgspec.json.encode(MachineRecord("small", "north", False, "x")), 0)
    assert gateway.layout().zones == ()
    replica.put("layout", 2, msgspec.json.encode(ShardLayoutRecord(ZONES)), 0)
    assert gateway.layout().zones == tuple(ZONES)
    # With a single zone there is no layout to wait for.
    assert (
        AgentGateway(None, Replica(), {}, "n0", 3, [], lambda: 0, lambda: 0, lambda: None).layout().zones
        == ()
    )


def test_the_leader_writes_the_layout_once_and_only_when_it_is_certain():
    replica, commits = Replica(), []

    async def commit(puts, conditions):
        commits.append((puts, conditions))

    leading = SimpleNamespace(parts_within_zones=True)
    leadership = Leadership.__new__(Leadership)
    leadership.replica = replica
    leadership.settings = SimpleNamespace(
        shard_zones=ZONES, shard_count=5, tuning=SimpleNamespace(leading=leading)
    )
    leadership.commit = commit

    def decide_layout():
        asyncio.run(leadership.fix_shard_layout())
        return commits[-1:] and commits.pop()

    for shard_id in range(4):
        replica.put(
            f"part/{shard_id}",
            shard_id + 1,
            msgspec.json.encode(LeaseHolderRecord(f"n{shard_id}", NODE_VERSION)),
            0,
        )
    assert not decide_layout()
    replica.put("part/4", 9, msgspec.json.encode(LeaseHolderRecord("", NODE_VERSION)), 0)
    assert not decide_layout()  # given up: its next holder is unknown
    replica.put("part/4", 10, msgspec.json.encode(LeaseHolderRecord("n4", NODE_VERSION)), 0)
    assert decide_layout() == ({"layout": ShardLayoutRecord(ZONES)}, {"layout": 0})
    leading.parts_within_zones = False
    assert decide_layout() == ({"layout": ShardLayoutRecord([])}, {"layout": 0})
    replica.put("layout", 11, msgspec.json.encode(ShardLayoutRecord(ZONES)), 0)
    assert not decide_layout()


def test_claiming_a_shard_waits_for_a_node_of_its_zone_while_there_is_one():
    replica = Replica()
    claimer = LeaseClaimer.__new__(LeaseClaimer)
    claimer._replica = replica
    nodes = [f"n{i}" for i in range(5)]
    bounds = SimpleNamespace(cross_zone_takeover_us=3_000_000)
    claimer._settings = SimpleNamespace(shard_zones=ZONES, nodes=nodes, home_shard=0, timeouts=bounds)
    replica.put("part/1", 1, msgspec.json.encode(LeaseHolderRecord("n1", NODE_VERSION)), 0)
    assert claimer._cross_zone_delay_us(3) == 3_000_000 and claimer._cross_zone_delay_us(2) == 0
    replica.put("part/1", 2, msgspec.json.encode(LeaseHolderRecord("n4", NODE_VERSION)), 0)
    assert claimer._cross_zone_delay_us(3) == 0  # no node of the zone south is left
    claimer._settings.shard_zones = []
    assert claimer._cross_zone_delay_us(3) == 0
