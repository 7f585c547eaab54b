"""How machines are dealt to parts: within zones where a cluster was begun so, and never in two ways at
once.
"""

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
def test_a_machine_belongs_to_one_part_of_its_zone_if_there_is_one(zones, number, zone):
    name = f"i-{number:06d}"
    part = ShardLayout(len(zones), zones).shard_of(name, zone)
    assert 0 <= part < len(zones)
    assert zones[part] == zone or zone not in zones
    if zone not in zones or len(set(zones)) == 1:
        assert part == shard_of(name, len(zones)) == ShardLayout(len(zones)).shard_of(name, zone)


def test_parts_of_a_zone_are_about_as_large():
    layout = ShardLayout(5, ZONES)
    north = Counter(layout.shard_of(f"i-{n:06d}", "north") for n in range(3000))
    assert set(north) == {0, 2, 4} and max(north.values()) < 1.2 * min(north.values())


def test_the_layout_is_settled_once_nobody_could_know_another():
    assert can_use_zone_layout(0, [1, 1, 1], 1) is True
    assert can_use_zone_layout(0, [1, 0, 1], 1) is False  # an earlier release deals over all
    assert can_use_zone_layout(0, [1, None, 1], 1) is None  # whoever takes that part may be one
    assert can_use_zone_layout(3, [1, 1, 1], 1) is False  # machines are dealt already
    assert can_use_zone_layout(3, [None], 1) is False


class Cluster:
    """Nodes of this release and of an earlier one on the same records; each sees them with its own delay."""

    def __init__(self, old):
        self.log = []
        self.old = old
        self.views = [Replica() for _ in ZONES]
        self.seen = [0] * len(ZONES)
        self.workers = [
            AgentGateway(None, view, {}, f"n{i}", len(ZONES), ZONES, lambda: 0, lambda: 0, lambda: None)
            for i, view in enumerate(self.views)
        ]

    def put(self, key, rec):
        self.log.append((key, msgspec.json.encode(rec)))

    def follow(self, node, count):
        for stamp in range(self.seen[node] + 1, min(self.seen[node] + count, len(self.log)) + 1):
            key, raw = self.log[stamp - 1]
            self.views[node].put(key, stamp, raw, 0)
            self.seen[node] = stamp

    def report(self, node, machine, zone):
        """Where a node would take the machine in, if the part is its own."""
        layout = ShardLayout(len(ZONES)) if node in self.old else self.workers[node].layout()
        if layout is None:
            return
        part = layout.shard_of(machine, zone)
        if part == node:
            self.put(f"m/{part}/{machine}", MachineRecord("small", zone, False, "x"))

    def settle(self, node):
        """A pass of the leader, if it is of this release. It has read everything up to its own claim."""
        self.follow(node, len(self.log))
        view = self.views[node]
        if view.layout is not None:
            return
        versions = [h.node_version if (h := view.shard_holders.get(p)) else None for p in range(len(ZONES))]
        within = can_use_zone_layout(len(view.machines), versions, NODE_VERSION)
        if within is not None and not any(key == "layout" for key, _ in self.log):
            self.put("layout", ShardLayoutRecord(ZONES if within else []))


@given(
    st.sets(st.integers(0, 4), max_size=2),
    st.lists(
        st.tuples(
            st.sampled_from(["claim", "follow", "report", "settle"]), st.integers(0, 4), st.integers(0, 30)
        ),
        max_size=120,
    ),
)
def test_no_machine_is_in_two_parts_whatever_each_node_knows(old, events):
    cluster = Cluster(old)
    leader = min(set(range(5)) - old)
    claimed = set()
    for what, node, number in events:
        if what == "claim" and node not in claimed:
            claimed.add(node)
            cluster.put(f"part/{node}", LeaseHolderRecord(f"n{node}", 0 if node in old else NODE_VERSION))
        elif what == "follow":
            cluster.follow(node, 3)
        elif what == "report" and node in claimed:
            cluster.report(node, f"i-{number}", "north" if number % 2 else "south")
        elif what == "settle" and leader in claimed:
            cluster.settle(leader)
    parts = {}
    for key, _ in cluster.log:
        if key.startswith("m/"):
            _, part, name = key.split("/")
            parts.setdefault(name, set()).add(part)
    assert all(len(found) == 1 for found in parts.values())


def test_workers_are_not_taken_in_before_the_layout_is_known():
    view = Replica()
    workers = AgentGateway(None, view, {}, "n0", 5, ZONES, lambda: 0, lambda: 0, lambda: None)
    assert workers.layout() is None
    # A cluster that was begun before there were layouts goes on as it was.
    view.put("m/3/i-1", 1, msgspec.json.encode(MachineRecord("small", "north", False, "x")), 0)
    assert workers.layout().zones == ()
    view.put("layout", 2, msgspec.json.encode(ShardLayoutRecord(ZONES)), 0)
    assert workers.layout().zones == tuple(ZONES)
    # In one zone there is nothing to wait for.
    assert (
        AgentGateway(None, Replica(), {}, "n0", 3, [], lambda: 0, lambda: 0, lambda: None).layout().zones
        == ()
    )


def test_the_leader_writes_it_once_and_only_when_certain():
    view, written = Replica(), []

    async def commit(puts, conditions):
        written.append((puts, conditions))

    leading = SimpleNamespace(parts_within_zones=True)
    chief = Leadership.__new__(Leadership)
    chief.replica = view
    chief.settings = SimpleNamespace(
        shard_zones=ZONES, shard_count=5, tuning=SimpleNamespace(leading=leading)
    )
    chief.commit = commit

    def settle():
        asyncio.run(chief.fix_shard_layout())
        return written[-1:] and written.pop()

    for part in range(4):
        view.put(
            f"part/{part}", part + 1, msgspec.json.encode(LeaseHolderRecord(f"n{part}", NODE_VERSION)), 0
        )
    assert not settle()
    view.put("part/4", 9, msgspec.json.encode(LeaseHolderRecord("", NODE_VERSION)), 0)
    assert not settle()  # given up: whoever takes it is not known
    view.put("part/4", 10, msgspec.json.encode(LeaseHolderRecord("n4", NODE_VERSION)), 0)
    assert settle() == ({"layout": ShardLayoutRecord(ZONES)}, {"layout": 0})
    leading.parts_within_zones = False
    assert settle() == ({"layout": ShardLayoutRecord([])}, {"layout": 0})
    view.put("layout", 11, msgspec.json.encode(ShardLayoutRecord(ZONES)), 0)
    assert not settle()


def test_a_part_is_left_to_a_node_of_its_zone_as_long_as_there_is_one():
    view = Replica()
    claimer = LeaseClaimer.__new__(LeaseClaimer)
    claimer._replica = view
    nodes = [f"n{i}" for i in range(5)]
    bounds = SimpleNamespace(cross_zone_takeover_us=3_000_000)
    claimer._settings = SimpleNamespace(shard_zones=ZONES, nodes=nodes, home_shard=0, timeouts=bounds)
    view.put("part/1", 1, msgspec.json.encode(LeaseHolderRecord("n1", NODE_VERSION)), 0)
    assert claimer._cross_zone_patience_us(3) == 3_000_000 and claimer._cross_zone_patience_us(2) == 0
    view.put("part/1", 2, msgspec.json.encode(LeaseHolderRecord("n4", NODE_VERSION)), 0)
    assert claimer._cross_zone_patience_us(3) == 0  # nobody of the south is left
    claimer._settings.shard_zones = []
    assert claimer._cross_zone_patience_us(3) == 0
