"""No start follows a confirmed cancellation, and a cancelled task counts against its team's limit until it
has stopped.
"""

import asyncio
from types import SimpleNamespace
from unittest import mock

import msgspec
import pytest

from measurements.simulation.cluster import Setup, run
from measurements.simulation.faults import Fault
from pearstep.controller.cancellation_exchange import CancellationExchange
from pearstep.controller.leader_loop import LeaderLoop
from pearstep.controller.peers import CancelledJob, PeerClient
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
from tests.world import ShardHarness, spec


def test_late_placement_answer_starts_nothing_after_a_cancellation():
    world = ShardHarness()
    world.add_machine("m0")
    world.submit(spec(tasks=1))
    world.run_pass()
    # The placement is committed, but its answer is slow, and the job is cancelled before it arrives.
    batch = world.owner.gather_commit(world.now, world.now)
    revision = world.ledger.txn(
        batch.preconditions, {key: value for key, (value, _) in batch.puts.items()}, batch.deletes
    )
    world.put("j/req-1", JobRecord(spec(tasks=1), world.now, JobState.CANCELLED, world.now))
    actions = SimpleNamespace(commands={}, send=lambda machine, command: pytest.fail(f"{command} is sent"))
    world.owner.on_committed(batch, revision, actions)
    assert not [command for command in world.report("m0") if command[0] == "start"]


def test_owner_without_the_state_service_starts_nothing():
    world = ShardHarness()
    machine, name, attempt = world.place_one()
    machine_state = world.owner.machines[machine]
    assert world.owner.commands_for(machine_state) == [("start", name, attempt, None)]
    # Another controller may have confirmed a cancellation of the job that this owner has not read.
    assert world.owner.commands_for(machine_state, starts=False) == []
    world.owner.on_commands_sent(machine_state, [Command(CommandAction.START, name, attempt)], world.now)
    world.owner.stop(next(iter(machine_state.attempts.values())), 0, world.now, world.run_pass())
    assert [action for action, *_ in world.owner.commands_for(machine_state, starts=False)] == ["stop"]


@pytest.mark.parametrize("acknowledged", [True, False])
def test_cancellation_is_confirmed_after_acknowledgement_or_delay(acknowledged):
    broadcasts = []

    async def steps(ask, state, users):
        async def broadcast(job_id, version, ended_at_us):
            # The record is committed before the broadcast: its version in the store is compared below.
            broadcasts.append(
                (
                    job_id,
                    version,
                    state.ledger.keys[f"j/{job_id}"][1],
                    users.replica.jobs[job_id].final_seen_at_us,
                )
            )
            return acknowledged

        users.broadcast_cancellation = broadcast
        await ask("POST", wire.JOBS_PATH, JOB)
        status, body = await ask("POST", f"{wire.JOBS_PATH}/req-000412/abort")
        assert (status, body["stage"]) == (200, "withdrawn")
        job = users.replica.jobs["req-000412"]
        assert job.cancellation_acknowledged == acknowledged and (
            acknowledged or now_us() - job.final_seen_at_us >= CANCELLATION_BROADCAST_US
        )
        ((job_id, version, committed_version, _),) = broadcasts
        assert (job_id, version) == ("req-000412", committed_version)
        # A node that has read a cancellation from the state service does not report it at once: a shard owner
        # may not have read it yet.
        job.cancellation_acknowledged, job.final_seen_at_us = False, now_us()
        assert (await ask("GET", f"{wire.JOBS_PATH}/req-000412"))[0] == 503
        job.final_seen_at_us -= CANCELLATION_BROADCAST_US
        assert (await ask("GET", f"{wire.JOBS_PATH}/req-000412"))[1]["stage"] == "withdrawn"

    asyncio.run(scenario(steps))


def test_peers_apply_and_acknowledge_cancellations():
    applied = []

    async def acknowledge(cancelled):
        applied.append(cancelled)
        return True

    async def refuse(cancelled):
        return False

    class InMemoryHttpClient:
        async def fetch(self, addr, method, path, body=None, timeout_s=4.0):
            request = SimpleNamespace(method=method, path=path, body=body)
            status, answer, _ = await peers[addr].handle(request)
            return status, answer

    peers = {"b": PeerClient(None, {}), "c": PeerClient(None, {})}
    sender = PeerClient(InMemoryHttpClient(), {"n1": "b", "n2": "c"})
    assert not asyncio.run(sender.broadcast_cancellation("req-1", 7, 9))  # both peers are still starting
    peers["b"].acknowledge_cancellations = acknowledge
    assert not asyncio.run(sender.broadcast_cancellation("req-1", 7, 9)) and applied == [[("req-1", 7, 9)]]
    peers["c"].acknowledge_cancellations = acknowledge
    assert (
        asyncio.run(sender.broadcast_cancellation("req-2", 8, 9)) and applied[1:] == [[("req-2", 8, 9)]] * 2
    )
    peers["c"].acknowledge_cancellations = refuse
    assert not asyncio.run(sender.broadcast_cancellation("req-3", 9, 9))
    peers["c"].acknowledge_cancellations = acknowledge
    for body in (b"{", b"[]", b'{"cancelled":[["req-1"]]}', b"\xff"):
        request = SimpleNamespace(method="POST", path=wire.PEER_CANCELLATIONS_PATH, body=body)
        assert asyncio.run(peers["b"].handle(request))[0] == 400
    request = SimpleNamespace(method="GET", path=wire.PEER_CANCELLATIONS_PATH, body=b"")
    assert asyncio.run(peers["b"].handle(request))[0] == 405


@pytest.mark.parametrize("reachable", [True, False])
def test_cancellation_of_a_job_that_is_not_read_yet_is_acknowledged_only_after_a_read(reachable):
    # Without the read, this node could take over the job's shard from records older than the cancellation,
    # and start tasks after the user was told.
    world = ShardHarness()
    world.ledger.txn({}, {"j/req-1": JobRecord(spec(tasks=1), world.now)})
    version = world.ledger.txn(
        {}, {"j/req-1": JobRecord(spec(tasks=1), world.now, JobState.CANCELLED, world.now)}
    )

    async def read_barrier():
        if reachable:
            world.catch_up()
        return reachable

    def apply_own_commit(key, version, record):
        world.replica.put(key, version, msgspec.json.encode(record), world.now)

    follower = SimpleNamespace(loaded=True, read_barrier=read_barrier, apply_own_commit=apply_own_commit)
    exchange = CancellationExchange(world.replica, follower, None, None, now_us)
    cancelled = [CancelledJob("req-1", version, world.now)]
    receiver, sender = PeerClient(None, {}), PeerClient(None, {"n0": "a"})
    receiver.acknowledge_cancellations = exchange.acknowledge

    class InMemoryHttpClient:
        async def fetch(self, addr, method, path, body=None, timeout_s=4.0):
            request = SimpleNamespace(method=method, path=path, body=body)
            status, answer, _ = await receiver.handle(request)
            return status, answer

    sender.client = InMemoryHttpClient()
    assert asyncio.run(sender.broadcast_cancellation(*cancelled[0])) == reachable
    job = world.replica.jobs.get("req-1")
    assert (job is not None and job.state == JobState.CANCELLED) == reachable
    # A node that has not listed the records yet cannot tell.
    follower.loaded = False
    assert not asyncio.run(exchange.acknowledge([CancelledJob("req-2", version, world.now)]))


def slow_state_service_setup(seed):
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
        result, trace = run(slow_state_service_setup(seed), log=True)
        assert result.broken == [] and sum("told that req" in line for line in trace) > 10


def test_starts_follow_cancellations_if_they_are_not_broadcast():
    # Shows that the simulation detects the fault.
    async def skip_broadcast(self, job_id, version, ended_at_us):
        return True

    with mock.patch.object(PeerClient, "broadcast_cancellation", skip_broadcast):
        broken = [text for seed in SEEDS for text in run(slow_state_service_setup(seed))[0].broken]
    assert any("is sent, told" in text for text in broken)


def isolated_owner_setup(seed):
    """Jobs that wait for a start are cancelled through the other nodes while their owner is isolated."""
    isolated_s = (20.0, 45.0, 70.0)
    faults = [Fault("small_jobs", 16.0, 60.0)]
    faults += [Fault("node_isolated", at_s, 12.0, who=[n]) for n, at_s in enumerate(isolated_s)]
    faults += [
        Fault("cancel_waiting", at_s + delay_s, who=[n + 1])
        for n, at_s in enumerate(isolated_s)
        for delay_s in (0.05, 0.4, 1.2)
    ]
    return Setup(
        seed,
        3,
        1,
        9,
        36.0,
        5.0,
        load=0.05,
        run_s=(3.0, 9.0),
        calm_s=90.0,
        until_s=150.0,
        faults=faults,
        kinds=(5, 3, 0),
        history=False,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_isolated_owner_starts_no_task_of_a_job_whose_cancellation_was_confirmed(seed):
    # Seen: a controller cut off from the state service and its peers sent starts up to 3.4 s after the cut.
    result, trace = run(isolated_owner_setup(seed), log=True)
    assert result.broken == [] and sum("told that req" in line for line in trace) > 10


# -- a cancellation that is read before older records ----------------------------------------------


def leader_with_incomplete_replica():
    """Return a leader that has read a cancellation, but not the placement committed just before it."""
    leader = LeaderHarness(1, [Team("t", cpus_max=20.0)])
    leader.add_machine("m0", 0)
    leader.submit(spec("req-1", tasks=1, cpus=20.0))
    leader.put("r/0/req-1", RouteRecord("0"))
    leader.submit(spec("req-2", tasks=1, cpus=20.0), at=1)
    leader.ledger.txn({}, {"p/0/req-1/0": PlacementRecord({0: Placement("m0", 1, 1, 0)}, "0", 1)})
    cancelled = JobRecord(leader.replica.jobs["req-1"].spec, 0, JobState.CANCELLED, leader.now)
    revision = leader.ledger.txn({}, {"j/req-1": cancelled})
    leader.replica.put("j/req-1", revision, msgspec.json.encode(cancelled), leader.now)
    return leader


def test_plan_from_an_incomplete_replica_exceeds_the_team_limit():
    # Shows the fault that the read barrier prevents.
    leader = leader_with_incomplete_replica()
    assert not leader.replica.is_complete_up_to_last_end
    assert [plan.job.spec.job_id for plan in leader.planner.plan(leader.now, 0, leader.now)] == ["req-2"]


def test_leader_plans_within_the_limit_after_it_has_read_all_records():
    leader = leader_with_incomplete_replica()
    leader.ledger.update_replica(leader.replica, leader.now)
    assert leader.replica.is_complete_up_to_last_end and not leader.planner.plan(leader.now, 0, leader.now)


@pytest.mark.parametrize("reachable", [True, False])
def test_leader_makes_no_pass_before_its_replica_is_complete(reachable):
    leader = leader_with_incomplete_replica()
    plans = []

    async def read_barrier():
        if reachable:
            leader.ledger.update_replica(leader.replica, leader.now)
        return reachable

    async def do_nothing(*args):
        return None

    def plan():
        plans.append(leader.replica.is_complete_up_to_last_end)
        return []

    leadership = SimpleNamespace(
        replica=leader.replica,
        read_barrier=read_barrier,
        fix_shard_layout=do_nothing,
        plan=plan,
        write_routes=do_nothing,
    )
    held_leases = SimpleNamespace(leadership=leadership, may_act=lambda: True)

    async def one_pass():
        pass_requested = asyncio.Event()
        pass_requested.set()
        settings = LeadingSettings(step_ms=1)
        store = SimpleNamespace(unavailable_since_us=None)
        await LeaderLoop(settings, held_leases, store, None, {}, pass_requested, lambda: None).plan_routes()

    asyncio.run(one_pass())
    assert plans == ([True] if reachable else [])
