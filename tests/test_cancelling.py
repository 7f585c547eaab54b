"""No start follows a confirmed cancellation, and what a cancelled task uses of its team's limit is counted
until it is gone.
"""

import asyncio
from types import SimpleNamespace
from unittest import mock

import msgspec
import pytest

from measurements.simulation.cluster import Setup, run
from measurements.simulation.faults import Fault
from pearstep.controller.leader_loop import LeaderLoop
from pearstep.controller.peers import PeerClient
from pearstep.controller.settings import Leading as LeadingSettings
from pearstep.domain.job_state import JobState
from pearstep.domain.team import Team
from pearstep.failure_detection.timeouts import CANCELLATION_BROADCAST_US
from pearstep.protocol import controller_messages as wire
from pearstep.shard.commands import Command, CommandAction
from pearstep.state.records import JobRecord, Placement, PlacementRecord, RouteRecord
from pearstep.transport.clock import now_us
from tests.test_leader import LeaderHarness
from tests.test_users import JOB, scenario
from tests.world import World, spec


def test_nothing_starts_by_an_answer_that_comes_after_the_cancellation():
    w = World()
    w.machine("m0")
    w.submit(spec(tasks=1))
    w.step()
    # The placement is committed; its answer is slow, and the job is cancelled meanwhile.
    batch = w.owner.gather_commit(w.now, w.now)
    revision = w.ledger.txn(batch.preconditions, {k: v for k, (v, _) in batch.puts.items()}, batch.deletes)
    w.put("j/req-1", JobRecord(spec(tasks=1), w.now, JobState.CANCELLED, w.now))
    actions = SimpleNamespace(commands={}, send=lambda machine, order: pytest.fail(f"{order} is sent"))
    w.owner.on_committed(batch, revision, actions)
    assert not [order for order in w.report("m0") if order[0] == "start"]


def test_holder_that_the_state_service_does_not_serve_starts_nothing():
    w = World()
    machine, name, attempt = w.place_one()
    m = w.owner.machines[machine]
    assert w.owner.commands_for(m) == [("start", name, attempt, None)]
    # Others may be told meanwhile that the job is cancelled.
    assert w.owner.commands_for(m, starts=False) == []
    w.owner.on_commands_sent(m, [Command(CommandAction.START, name, attempt)], w.now)
    w.owner.stop(next(iter(m.attempts.values())), 0, w.now, w.step())
    assert [op for op, *_ in w.owner.commands_for(m, starts=False)] == ["stop"]


@pytest.mark.parametrize("answered", [True, False])
def test_user_hears_of_a_cancellation_once_every_node_has_or_had_time_to(answered):
    told = []

    async def steps(ask, state, users):
        async def tell(ref, stamp, end_us):
            # Not before it is committed.
            told.append(
                (ref, stamp, state.ledger.keys[f"j/{ref}"][1], users.replica.jobs[ref].final_seen_at_us)
            )
            return answered

        users.broadcast_cancellation = tell
        await ask("POST", wire.JOBS_PATH, JOB)
        status, body = await ask("POST", f"{wire.JOBS_PATH}/req-000412/abort")
        assert (status, body["stage"]) == (200, "withdrawn")
        job = users.replica.jobs["req-000412"]
        assert job.cancellation_acknowledged == answered and (
            answered or now_us() - job.final_seen_at_us >= CANCELLATION_BROADCAST_US
        )
        ((ref, stamp, committed, _),) = told
        assert (ref, stamp) == ("req-000412", committed)
        # Whoever learned of it by itself does not tell it at once: a holder may not know.
        job.cancellation_acknowledged, job.final_seen_at_us = False, now_us()
        assert (await ask("GET", f"{wire.JOBS_PATH}/req-000412"))[0] == 503
        job.final_seen_at_us -= CANCELLATION_BROADCAST_US
        assert (await ask("GET", f"{wire.JOBS_PATH}/req-000412"))[1]["stage"] == "withdrawn"

    asyncio.run(scenario(steps))


def test_peers_take_cancellations_in_and_say_so():
    heard = []

    class Peers:
        async def fetch(self, addr, method, path, body=None, timeout_s=4.0):
            request = SimpleNamespace(method=method, path=path, body=body)
            status, answer, _ = await peers[addr].handle(request)
            return status, answer

    peers = {"b": PeerClient(None, {}), "c": PeerClient(None, {})}
    mesh = PeerClient(Peers(), {"n1": "b", "n2": "c"})
    assert not asyncio.run(mesh.broadcast_cancellation("req-1", 7, 9))  # they have only just begun
    peers["b"].apply_cancellations = heard.append
    assert not asyncio.run(mesh.broadcast_cancellation("req-1", 7, 9)) and heard == [[("req-1", 7, 9)]]
    peers["c"].apply_cancellations = heard.append
    assert asyncio.run(mesh.broadcast_cancellation("req-2", 8, 9)) and heard[1:] == [[("req-2", 8, 9)]] * 2
    for body in (b"{", b"[]", b'{"cancelled":[["req-1"]]}', b"\xff"):
        request = SimpleNamespace(method="POST", path=wire.PEER_CANCELLATIONS_PATH, body=body)
        assert asyncio.run(peers["b"].handle(request))[0] == 400
    request = SimpleNamespace(method="GET", path=wire.PEER_CANCELLATIONS_PATH, body=b"")
    assert asyncio.run(peers["b"].handle(request))[0] == 405


def slow(seed):
    """Jobs are cancelled through every node while the state service answers slowly."""
    faults = [Fault("slow_state", 12.0, 28.0, share=0.5)]
    faults += [Fault("users_cancel", 16.0 + n, who=[n], share=0.5) for n in range(24)]
    return Setup(
        seed,
        3,
        1,
        8,
        10.0,
        1.0,
        load=1.5,
        run_s=(10.0, 30.0),
        calm_s=45.0,
        until_s=46.0,
        faults=faults,
        kinds=(5, 3, 0),
        history=False,
    )


SEEDS = (5, 6, 8)


def test_no_start_follows_a_cancellation_while_the_state_service_is_slow():
    for seed in SEEDS:
        result, trace = run(slow(seed), log=True)
        assert result.broken == [] and sum("told that req" in line for line in trace) > 10


def test_starts_follow_cancellations_where_peers_are_not_told():
    async def untold(self, ref, stamp, end_us):
        return True

    with mock.patch.object(PeerClient, "broadcast_cancellation", untold):
        broken = [text for seed in SEEDS for text in run(slow(seed))[0].broken]
    assert any("is sent, told" in text for text in broken)


# -- what is known ahead ---------------------------------------------------------------------------


def ahead():
    """A leader that heard of a cancellation before the placement that was committed just before it."""
    o = LeaderHarness(1, [Team("t", cpus_max=20.0)])
    o.add_machine("m0", 0)
    o.submit(spec("req-1", tasks=1, cpus=20.0))
    o.put("r/0/req-1", RouteRecord("0"))
    o.submit(spec("req-2", tasks=1, cpus=20.0), at=1)
    o.ledger.txn({}, {"p/0/req-1/0": PlacementRecord({0: Placement("m0", 1, 1, 0)}, "0", 1)})
    over = JobRecord(o.replica.jobs["req-1"].spec, 0, JobState.CANCELLED, o.now)
    stamp = o.ledger.txn({}, {"j/req-1": over})
    o.replica.put("j/req-1", stamp, msgspec.json.encode(over), o.now)
    return o


def test_leader_that_knows_of_an_end_ahead_of_the_rest_takes_its_limit_for_free():
    # The hazard itself: what is planned from such a view is over the limit.
    o = ahead()
    assert not o.replica.is_complete_up_to_last_end
    assert [plan.job.spec.job_id for plan in o.planner.plan(o.now, 0, o.now)] == ["req-2"]


def test_leader_reads_what_it_lacks_before_it_plans():
    o = ahead()
    o.ledger.feed(o.replica, o.now)
    assert o.replica.is_complete_up_to_last_end and not o.planner.plan(o.now, 0, o.now)


@pytest.mark.parametrize("served", [True, False])
def test_no_pass_of_the_leader_before_its_view_is_complete(served):
    o = ahead()
    plans = []

    async def fresh():
        if served:
            o.ledger.feed(o.replica, o.now)
        return served

    async def done(*args):
        return None

    def plan():
        plans.append(o.replica.is_complete_up_to_last_end)
        return []

    chief = SimpleNamespace(
        replica=o.replica, read_barrier=fresh, fix_shard_layout=done, plan=plan, write_routes=done
    )
    holding = SimpleNamespace(leadership=chief, may_act=lambda: True)

    async def one_pass():
        due = asyncio.Event()
        due.set()
        settings = LeadingSettings(step_ms=1)
        store = SimpleNamespace(unavailable_since_us=None)
        await LeaderLoop(settings, holding, store, None, {}, due, lambda: None).plan_routes()

    asyncio.run(one_pass())
    assert plans == ([True] if served else [])
