"""The limits of the state service on a transaction: every writer keeps to them, and what is malformed all the
same is never sent again as it is, and stops nothing else.
"""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from pearstep.controller.held_leases import HeldLeases
from pearstep.controller.job_api import JobApi
from pearstep.controller.leadership import Leadership
from pearstep.controller.lease_release import LeaseRelease
from pearstep.controller.settings import Leading, load
from pearstep.controller.shard_loop import ShardLoop
from pearstep.domain.attempt import AttemptState
from pearstep.domain.task_set import parse_task_ranges
from pearstep.domain.team import Team
from pearstep.emulator.key_value_store import InMemoryStore
from pearstep.emulator.state_service import StateService
from pearstep.leader.route_plan import RoutePlan
from pearstep.protocol import emulator_messages as wire
from pearstep.protocol.controller_messages import encode_transaction
from pearstep.shard.commands import ShardActions
from pearstep.state.records import (
    DrainRecord,
    InstanceRequestRecord,
    JobRecord,
    LeaseHolderRecord,
    Placement,
    PlacementRecord,
    RouteRecord,
)
from pearstep.state.replica import Replica
from pearstep.state.transactions import TransactionLimits
from pearstep.transport.clock import now_us
from pearstep.transport.kv_client import CommitOutcome, KeyValueStore
from pearstep.transport.rate_limiter import RateLimiter
from tests.test_formats import GOOD, TOML
from tests.world import TYPES, Ledger, World, spec

MACHINES = 200
TEAM = Team("t")
JOB = {**GOOD, "shape": "batch", "parcels": 1, "breeds": None, "holder": "t", "memoryGb": 8.0}
# Without an end, as the code was before, a test fails after so long.
PATIENCE_S = 5.0


class Service(StateService):
    """The stand-in's state service as a client of the links sees it. ``forbidden``: a key of which every
    transaction is answered with 400.
    """

    def __init__(self, txn_ops, value_kb):
        super().__init__(None, 1e9, 1e9, value_kb, txn_ops)
        self.txns, self.malformed = [], []
        self.forbidden = None

    async def fetch(self, addr, method, path, body, timeout_s):
        request = SimpleNamespace(method=method, path=path, arguments={}, body=body)
        if path != "/txn":
            return (await self.handle(request))[:2]
        self.txns.append(wire.decode_transaction(body))
        touched = {op.put or op.delete for op in self.txns[-1].ops}
        status, data = 400, b'{"error":"malformed"}'
        if self.forbidden not in touched:
            status, data, _ = await self.handle(request)
        if status == 400:
            self.malformed.append(body)
        return status, data

    def store(self):
        budgets = RateLimiter(1e9, 1e9, now_us), RateLimiter(1e9, 1e9, now_us)
        return KeyValueStore(self, "state:1", *budgets, now_us)

    def puts_of(self, key):
        return sum(op.put == key for txn in self.txns for op in txn.ops)


class ServiceLedger(Ledger):
    """The service's keys as the world's ledger."""

    def __init__(self, keys):
        self.held = keys

    @property
    def revision(self):
        return self.held.revision

    @property
    def log(self):
        return self.held.change_log

    def txn(self, conditions, puts, deletes=None):
        body = encode_transaction(conditions, {k: (v, None) for k, v in puts.items()}, deletes or [])
        return self.held.apply_transaction(wire.decode_transaction(body))


class Site(World):
    """A part whose group commits go to the service, through the links. ``served``: the service's own limit,
    if it is another than the one in the settings.
    """

    def __init__(self, txn_ops, value_kb, served=None):
        self.service = Service(served or txn_ops, value_kb)
        super().__init__(ServiceLedger(self.service.keys), txn_ops=txn_ops, value_bytes=value_kb * 1024)
        self.now = now_us()
        self.take_over()
        self.sent = ShardActions()
        self.owning = ShardLoop(
            Leading(),
            {0: self.owner},
            self.service.store(),
            None,
            self.view,
            self,
            self,
            asyncio.Event(),
            lambda: True,
            lambda key: None,
        )

    # What the owner's node does: follows changes, and tells workers.

    def apply_own_commit(self, key, stamp, value):
        self.catch_up()

    async def read_barrier(self):
        self.catch_up()
        return True

    def send_commands(self, owner, actions):
        for machine, orders in actions.commands.items():
            for order in orders:
                self.sent.send(machine, order)

    def write(self):
        """Group commits until nothing waits; what may be sent then."""
        self.sent = ShardActions()
        asyncio.run(asyncio.wait_for(self.owning._commit(self.owner), PATIENCE_S))
        return self.starts(self.sent)

    def run(self):
        self.step()
        return self.write()

    def machines(self, count):
        for n in range(count):
            self.machine(f"i-{n:06d}")

    def placing(self):
        return [
            a
            for rec in self.owner.drafts.values()
            for a in rec.attempts.values()
            if a.state == AttemptState.PLACING
        ]


def keeps(site, txn_ops, value_kb):
    """Nothing that was sent is over the limits."""
    assert not site.service.malformed
    for txn in site.service.txns:
        assert len(txn.ops) <= txn_ops and len(txn.conditions) <= 4 * txn_ops
        assert all(len(bytes(op.value)) <= value_kb * 1024 for op in txn.ops)
    return True


@pytest.mark.parametrize("txn_ops", [12, 4])
@pytest.mark.parametrize("value_kb", [16, 2])
def test_array_that_finds_two_hundred_machines_at_once_is_placed_in_parts(txn_ops, value_kb):
    site = Site(txn_ops, value_kb)
    site.machines(MACHINES)
    site.submit(spec("req-1", tasks=MACHINES, cpus=32.0))
    room = min(max((value_kb * 1024 - 6 * 1024) // 50, 16), MACHINES)  # what a value has room for
    done = 0
    while done < MACHINES:
        site.service.txns.clear()
        starts = site.run()
        assert len(starts) == min(room, MACHINES - done) and not site.placing()
        there = site.view.jobs["req-1"].placements[0, 0].record.placements
        assert {f"req-1/{task}" for task in there} == {name for _, name, _ in starts}
        # Besides those of a machine: the part, its fence, the job, its route and its placements.
        most = 4 * txn_ops - 5
        assert site.service.puts_of("p/0/req-1/0") <= -(-len(starts) // most)
        for machine, name, attempt in starts:
            site.report(machine, (name, attempt, "exited", "done"))
        done += len(starts)
    site.run()
    assert site.view.jobs["req-1"].state == "done" and keeps(site, txn_ops, value_kb)


def test_other_jobs_of_a_part_go_on_while_a_record_is_malformed():
    # The service takes less than the settings say: what is too large shows in its answers alone.
    site = Site(12, 16, served=4)
    site.machines(MACHINES)
    for n in range(2, 12):
        site.submit(spec(f"req-{n}", tasks=1, cpus=32.0))
    site.submit(spec("req-1", tasks=MACHINES - 10, cpus=32.0))
    starts = site.run()
    assert len(starts) == MACHINES and not site.placing()
    service = site.service
    assert 0 < len(service.malformed) <= 12 and len(set(service.malformed)) == len(service.malformed)


def test_what_is_never_taken_is_given_up_and_nothing_else():
    site = Site(12, 16)
    site.machines(20)
    site.service.forbidden = "p/0/req-1/0"
    for n in range(1, 11):
        site.submit(spec(f"req-{n}", tasks=1, cpus=32.0))
    assert {name for _, name, _ in site.run()} == {f"req-{n}/0" for n in range(2, 11)}
    for n in range(11, 21):
        site.submit(spec(f"req-{n}", tasks=1, cpus=32.0))
        assert {name for _, name, _ in site.run()} == {f"req-{n}/0"}
    service = site.service
    assert 0 < len(service.malformed) <= 4 and len(set(service.malformed)) == len(service.malformed)
    assert any("req-1" in txn for txn in map(bytes.decode, service.malformed))


@pytest.mark.parametrize("key", ["m/0/i-000003", "d/i-000003"])
def test_a_machine_whose_record_is_never_taken_keeps_no_other_back(key):
    site = Site(12, 16)
    site.machines(3)
    site.service.forbidden = key
    for n in range(3, 9):
        site.report(f"i-{n:06d}")
        site.owner.request_drain(f"i-{n:06d}", "sick", site.now)
    site.write()
    others = {f"i-{n:06d}" for n in range(4, 9)}
    assert others <= set(site.view.machines) and others <= set(site.view.drains)
    before = len(site.service.malformed)
    assert 0 < before <= 2
    site.later(2)
    site.report("i-000003")
    site.owner.request_drain("i-000003", "sick", site.now)
    site.write()
    assert len(site.service.malformed) == before


@pytest.mark.parametrize("txn_ops", [12, 4])
def test_gang_wider_than_a_transaction_starts_when_all_of_it_is_placed(txn_ops):
    site = Site(txn_ops, 16)
    site.machines(60)
    site.submit(spec("req-1", kind="gang", tasks=60, cpus=32.0))
    site.step()
    placed = 0
    while batch := site.owner.gather_commit(site.now, site.now):
        values = {k: v for k, (v, _) in batch.puts.items()}
        revision = site.ledger.txn(batch.preconditions, values, batch.deletes)
        actions = ShardActions()
        site.owner.on_committed(batch, revision, actions)
        site.catch_up()
        placed += len(batch.placed_attempts)
        starts = site.starts(actions)
        assert len(starts) == (60 if placed == 60 else 0)
        if placed < 60:
            assert not [o for n in range(60) for o in site.report(f"i-{n:06d}") if o[0] == "start"]
    assert placed == 60 and len({attempt for _, _, attempt in starts}) == 1


def test_gang_of_which_a_part_stands_is_taken_back_whole_when_the_rest_is_refused():
    site = Site(4, 16)
    site.machines(20)
    site.submit(spec("req-1", kind="gang", tasks=16, cpus=32.0))
    site.step()
    first = site.owner.gather_commit(site.now, site.now)
    site.owner.on_committed(
        first,
        site.ledger.txn(first.preconditions, {k: v for k, (v, _) in first.puts.items()}),
        ShardActions(),
    )
    site.catch_up()
    (left, *_) = site.placing()
    site.put(f"d/{left.machine}", DrainRecord("idle", 1))
    assert not site.write() and not site.placing()
    stood = {a.machine for a in first.placed_attempts}
    told = site.step().commands
    assert {m for m, orders in told.items() if [op for op, *_ in orders] == ["stop"]} == stood
    for machine in stood:
        assert not site.report(machine)  # it has never heard of its task
    starts = site.run()
    assert len(starts) == 16 and {attempt for *_, attempt in starts} == {2}
    assert left.machine not in {machine for machine, *_ in starts}


def test_gang_wider_than_a_value_is_not_placed_and_keeps_nothing_back():
    site = Site(12, 2)
    site.machines(80)
    site.submit(spec("req-1", kind="gang", tasks=70, cpus=32.0))
    site.submit(spec("req-2", tasks=10, cpus=32.0))
    for _ in range(10):
        site.write()
        site.step()
        site.later(1)
    assert set(site.view.jobs["req-2"].placements[0, 0].record.placements) == set(range(10))
    assert not site.view.jobs["req-1"].placed_tasks and not site.placing()
    # It is tried once a minute; its record may be written, without placements.
    assert site.service.puts_of("p/0/req-1/0") <= 1 and keeps(site, 12, 2)


def test_a_machines_record_keeps_to_a_value_however_many_images_it_holds():
    site = Site(12, 2)
    site.machines(1)
    m = site.owner.machines["i-000000"]
    m.images.update((f"registry/image-{n:04d}", 0.01) for n in range(200))
    site.owner.heartbeats.record_machine(m)
    site.write()
    images = site.view.machines["i-000000"][1].images
    assert 50 < len(images) < 200 and "registry/image-0199" in images and keeps(site, 12, 2)


def test_stand_in_keeps_to_the_limits_of_a_transaction():
    keys = InMemoryStore(value_bytes=2048, txn_ops=4)
    sixteen = dict.fromkeys((f"a/{n}" for n in range(16)), 0)
    four = {f"b/{n}": ("x" * 2000, None) for n in range(4)}
    assert isinstance(
        keys.apply_transaction(wire.decode_transaction(encode_transaction(sixteen, four, []))), int
    )
    for conditions, puts in (
        ({**sixteen, "a/16": 0}, four),
        (sixteen, {**four, "b/4": ("", None)}),
        ({}, {"b/0": ("x" * 2047, None)}),
    ):
        with pytest.raises(ValueError):
            keys.apply_transaction(wire.decode_transaction(encode_transaction(conditions, puts, [])))

    async def body(size):
        service = Service(64, 64)
        raw = encode_transaction({}, {"a": ("", None)}, [])
        return (await service.fetch("", "POST", "/txn", raw + b" " * (size - len(raw)), 1))[0]

    assert asyncio.run(body(64 * 1024)) == 200 and asyncio.run(body(64 * 1024 + 1)) == 400


class Lead:
    """A leader whose writes go to the service; ``served`` as in ``Site``."""

    def __init__(self, folder, txn_ops, served=None):
        file = folder / "settings.toml"
        text = TOML.replace("txn_ops = 12", f"txn_ops = {txn_ops}").replace("value_kb = 16", "value_kb = 2")
        file.write_text(text)
        self.service = Service(served or txn_ops, 2)
        self.ledger, self.view = ServiceLedger(self.service.keys), Replica()
        self.put("leader", LeaseHolderRecord("n0"))
        store = self.service.store()
        self.leadership = Leadership(
            load(str(file), None),
            self.view,
            TYPES,
            store,
            None,
            self.view.version_of("leader"),
            lambda: 0,
            lambda: 0,
            lambda key, stamp, value: self.catch_up(),
            self.fresh,
        )

    def put(self, key, value):
        self.ledger.txn({}, {key: value})
        self.catch_up()

    def catch_up(self):
        self.ledger.feed(self.view)

    async def fresh(self):
        self.catch_up()
        return True

    def submit(self, job, route=None):
        self.put(f"j/{job.job_id}", JobRecord(job, 0))
        if route is not None:
            self.put(f"r/0/{job.job_id}", route)
        return RoutePlan(self.view.jobs[job.job_id])

    def write(self, *plans):
        asyncio.run(asyncio.wait_for(self.leadership.route_writer.write_plans(list(plans)), PATIENCE_S))

    def routed(self, ref):
        return {part: route.tasks for part, route in self.view.jobs[ref].routes.items()}

    def whole(self, ref):
        """No task is routed twice, now or after any transaction before."""
        routes = {}
        for txn in self.service.txns:
            for op in txn.ops:
                _, part, job = op.put.split("/")
                if job == ref:
                    rec = msgspec.json.decode(bytes(op.value), type=RouteRecord)
                    routes[part] = parse_task_ranges(rec.tasks)
            masks = [mask for mask in routes.values() if mask]
            assert sum(mask.bit_count() for mask in masks) == sum(masks).bit_count()
        return True


def spread(plan, parts, tasks):
    """All tasks leave part 0, but for the first share, and go to the others."""
    share = tasks // parts
    masks = [((1 << share) - 1) << (part * share) for part in range(parts)]
    plan.remove(0, sum(masks[1:]))
    for part, mask in enumerate(masks[1:], 1):
        plan.add(part, None, mask)
    return masks


@pytest.mark.parametrize("txn_ops", [12, 4])
def test_plan_that_moves_more_than_a_transaction_holds_is_written_by_part(tmp_path, txn_ops):
    lead = Lead(tmp_path, txn_ops)
    plan = lead.submit(spec("req-1", tasks=100_000), RouteRecord("0-99999"))
    masks = spread(plan, 8, 100_000)
    puts, conditions = plan.writes()
    assert len(puts) == 8 and len(conditions) == 8 + 8 * 7
    lead.write(plan)
    assert lead.routed("req-1") == dict(enumerate(masks))
    assert lead.whole("req-1") and keeps(lead, txn_ops, 2) and len(lead.service.txns) == 8


def test_plan_written_by_part_ends_where_something_was_placed_meanwhile(tmp_path):
    lead = Lead(tmp_path, 4)
    plan = lead.submit(spec("req-1", tasks=100), RouteRecord("0-99"))
    masks = spread(plan, 5, 100)
    lead.put("p/2/req-1/0", PlacementRecord({99: Placement("i-000001", 1, 1, 1)}))
    lead.write(plan)
    assert lead.routed("req-1") == {0: masks[0], 1: masks[1]} and lead.whole("req-1")
    again = Lead(tmp_path, 4)
    plan = again.submit(spec("req-1", tasks=100), RouteRecord("0-99"))
    spread(plan, 5, 100)
    again.put("p/0/req-1/0", PlacementRecord({99: Placement("i-000001", 1, 1, 1)}))
    again.write(plan)
    assert again.routed("req-1") == {0: (1 << 100) - 1}


def test_parts_that_change_tasks_with_each_other_have_none_twice_in_between(tmp_path):
    lead = Lead(tmp_path, 4, served=1)
    plan = lead.submit(spec("req-1", tasks=4), RouteRecord("0-1"))
    lead.put("r/1/req-1", RouteRecord("2-3"))
    plan = RoutePlan(lead.view.jobs["req-1"])
    plan.remove(0, 0b0001)
    plan.remove(1, 0b1000)
    plan.add(0, None, 0b1000)
    plan.add(1, "b", 0b0001)
    lead.write(plan)
    assert lead.routed("req-1") == {0: 0b1010, 1: 0b0101} and lead.whole("req-1")
    assert lead.view.jobs["req-1"].routes[1].zone_tasks == {"b": 0b0001}


def test_wide_gang_over_more_parts_than_a_transaction_has_changes(tmp_path):
    lead = Lead(tmp_path, 4)
    plan = lead.submit(spec("req-1", kind="gang", tasks=12), RouteRecord("0-11"))
    chosen = [SimpleNamespace(name=f"i-{n:06d}", shard_id=n % 6) for n in range(12)]
    plan.span_shards(chosen, 1, 5)
    lead.write(plan)
    routes = lead.view.jobs["req-1"].routes
    assert {part: route.record.machines for part, route in routes.items()} == {
        part: {part: f"i-{part:06d}", part + 6: f"i-{part + 6:06d}"} for part in range(6)
    }
    assert lead.whole("req-1") and keeps(lead, 4, 2)


def test_plan_that_is_malformed_keeps_no_other_back(tmp_path):
    lead = Lead(tmp_path, 12)
    lead.service.forbidden = "r/1/req-3"
    plans = []
    for n in range(1, 9):
        plans.append(lead.submit(spec(f"req-{n}", tasks=1)))
        plans[-1].add(1, None, 1)
    for _ in range(3):
        lead.write(*(plan for plan in plans if not lead.routed(plan.job.spec.job_id)))
    assert [n for n in range(1, 9) if not lead.routed(f"req-{n}")] == [3]
    malformed = lead.service.malformed
    assert len(malformed) == len(set(malformed)) == 2


def test_drain_that_is_malformed_keeps_no_other_back(tmp_path):
    lead = Lead(tmp_path, 12)
    lead.service.forbidden = "d/i-5"
    for _ in range(3):
        drains = {f"i-{n}": DrainRecord("idle", 1) for n in range(12) if f"i-{n}" not in lead.view.drains}
        asyncio.run(lead.leadership.autoscaler_loop.drain(drains))
    assert set(lead.view.drains) == {f"i-{n}" for n in range(12)} - {"i-5"}
    malformed = lead.service.malformed
    assert len(malformed) == len(set(malformed)) <= 5


def test_leader_does_not_send_what_is_too_large(tmp_path):
    lead = Lead(tmp_path, 4)
    before = len(lead.service.txns)
    for puts, conditions in (
        ({f"r/{n}/req-1": RouteRecord("0") for n in range(5)}, {}),
        ({"r/0/req-1": RouteRecord("0")}, dict.fromkeys((f"a/{n}" for n in range(15)), 0)),
        ({"r/0/req-1": RouteRecord("0," * 1100)}, {}),
    ):
        assert asyncio.run(lead.leadership.commit(puts, conditions)) == CommitOutcome.MALFORMED
    assert len(lead.service.txns) == before


def test_rental_requests_are_tidied_at_small_transactions_too(tmp_path):
    lead = Lead(tmp_path, 2)
    for n in range(2):
        lead.put(f"h/r-1-{n}", InstanceRequestRecord("small", "a", False, 1, 1, ["i-1"]))
    asyncio.run(lead.leadership.autoscaler_loop.forget_completed_requests())
    assert not lead.view.instance_requests and keeps(lead, 2, 2)


def test_node_gives_up_more_parts_than_a_transaction_has_changes():
    service = Service(4, 2)
    ledger, view = ServiceLedger(service.keys), Replica()
    for key in ["leader", *(f"part/{n}" for n in range(6))]:
        ledger.txn({}, {key: LeaseHolderRecord("n0")})
    ledger.feed(view)

    async def fresh():
        ledger.feed(view)

    held = HeldLeases(
        owners={n: SimpleNamespace(fencing_token=view.shard_holders[n].fencing_token) for n in range(6)},
        leadership=SimpleNamespace(fencing_token=view.leader.fencing_token),
    )
    follower, reachability = SimpleNamespace(read_barrier=fresh), SimpleNamespace(unreachable=[])
    asyncio.run(LeaseRelease(held, service.store(), follower, reachability, 4).release_all())
    assert view.leader is None and not any(holder.node for holder in view.shard_holders.values())
    assert not service.malformed and not held.owners and held.leadership is None


def test_submissions_keep_to_a_transaction_and_one_that_is_malformed_keeps_no_other_back():
    service = Service(12, 16)
    view = Replica()

    async def fresh():
        ServiceLedger(service.keys).feed(view)
        return True

    def applied(key, stamp, value):
        view.put(key, stamp, msgspec.json.encode(value), 0)

    async def submit(first, count, **more):
        limits = TransactionLimits(operations=12, conditions=48, value_bytes=16 * 1024)
        users = JobApi(service.store(), view, {"t": TEAM}, fresh, applied, lambda: 1, 1, limits)
        users.machine_types, users.ready = TYPES, True
        jobs = [{**JOB, "ref": f"req-{first + n}", **more} for n in range(count)]
        return [
            answer[0]
            for answer in await asyncio.gather(*(users.submit(msgspec.json.encode(job)) for job in jobs))
        ]

    service.forbidden = "j/req-3"
    assert asyncio.run(submit(0, 8)) == [503 if n == 3 else 201 for n in range(8)]
    assert len(service.malformed) == len(set(service.malformed)) == 2
    service.forbidden, service.malformed = None, []
    # Twelve of them are over 64 KiB.
    types = ["big", *(f"{n:0200}" for n in range(40))]
    assert set(asyncio.run(submit(8, 24, breeds=types))) == {201} and not service.malformed
    assert max(len(txn.ops) for txn in service.txns) <= 8
