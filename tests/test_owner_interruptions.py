"""The shard owner after pauses of its process, lost machines, and answers that overtake each other."""

from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.units import SECOND_US
from pearstep.shard.commands import Heartbeat
from pearstep.state.records import DrainRecord, RouteRecord
from tests.world import ShardHarness, spec


def test_process_pause_does_not_count_as_machine_silence():
    for paused in (False, True):
        world = ShardHarness()
        for n in range(4):
            world.add_machine(f"m{n}")
        world.advance_clock(12)
        if paused:
            world.owner.on_process_pause(11 * SECOND_US, world.now)
        world.run_and_commit()
        assert bool(world.replica.drains) != paused
    world.advance_clock(11)
    world.run_and_commit()
    assert len(world.replica.drains) == 4  # silence after the pause counts


def test_last_machine_to_reconnect_after_a_partition_is_not_deleted():
    """After a partition, the machines of another zone reconnect one by one. The last one, silent for longer
    than the limit, was deleted as soon as most others had reported.
    """
    world = ShardHarness()
    for n in range(4):
        world.add_machine(f"m{n}", zone="b")
    for _ in range(20):
        world.advance_clock(1)
        world.run_and_commit()
    assert not world.replica.drains
    for n in range(3):
        world.report(f"m{n}", zone="b")
    for _ in range(10):
        world.advance_clock(1)
        for n in range(3):
            world.report(f"m{n}", zone="b")
        world.run_and_commit()
        assert not world.replica.drains
    world.advance_clock(1)
    for n in range(3):
        world.report(f"m{n}", zone="b")
    world.run_and_commit()
    assert set(world.replica.drains) == {"m3"}  # silence after the partition counts


def test_lease_expires_during_a_process_pause():
    world = ShardHarness()
    m, name, number = world.place_one()
    world.report(m, (name, number, "running"))
    world.advance_clock(20)
    world.owner.on_process_pause(19 * SECOND_US, world.now)
    world.run_pass()
    assert (name, number) not in world.owner.machines[m].attempts


def test_next_owner_frees_the_task_of_a_deleted_machine():
    world = ShardHarness()
    world.add_machine("m0")
    world.add_machine("m1")
    world.submit(spec(tasks=1))
    ((m, name, number),) = world.starts(world.run_and_commit())
    world.put(f"d/{m}", DrainRecord("lost", world.now))
    # The owner fails after the machine's records are deleted and before the end of its task is written.
    world.ledger.txn({}, {}, [f"d/{m}", f"m/0/{m}"])
    world.take_over()
    other = ({"m0", "m1"} - {m}).pop()
    world.report(other)
    assert {(o, n) for o, n, _ in world.starts(world.run_and_commit())} == {(other, name)}


def test_direct_answer_that_overtakes_a_start_does_not_end_the_attempt():
    world = ShardHarness()
    m, name, number = world.place_one()
    assert ("start", name, number, None) in world.report(m)  # sent, not yet received
    owner = world.owner
    attempt = owner.machines[m].attempts[name, number]
    attempt.stop_grace_us = 0
    heartbeat = Heartbeat(
        m, "127.0.0.1:1", "small", "a", False, 1, world.last_sequences[m] + 1, owner.fencing_token, None
    )
    owner.on_heartbeat(heartbeat, world.now, world.now, direct=True)
    assert owner.machines[m].attempts
    world.report(m, sequence=world.last_sequences[m] + 2)  # the next heartbeat follows that answer
    assert not owner.machines[m].attempts


def test_short_task_starts_with_the_answer_to_a_heartbeat():
    world = ShardHarness()
    world.add_machine("m0")
    world.submit(spec(tasks=1, estimate_us=4 * SECOND_US))
    assert not world.starts(world.run_and_commit())
    (command,) = world.report("m0")
    assert command[0] == "start"


def test_conflict_over_one_job_keeps_the_placements_of_others():
    world = ShardHarness()
    world.add_machine("m0", machine_type="big")
    for n in (1, 2, 3):
        world.submit(spec(f"req-{n}", tasks=1))
    world.run_pass()
    batch = world.owner.gather_commit(world.now, world.now)
    assert len(batch.placed_attempts) == 3
    previous = {a.spec.job_id: a for a in batch.placed_attempts}
    world.ledger.txn({}, {"r/0/req-2": RouteRecord("")})  # the leader withdrew the route in the meantime
    failed = world.ledger.txn(batch.preconditions, {k: v for k, (v, _) in batch.puts.items()})
    assert failed == ["r/0/req-2"]
    world.catch_up()
    world.owner.on_rejected(batch, world.now, world.now, unchanged=False, failed=failed)
    retried = world.owner.gather_commit(world.now, world.now)
    assert {a.spec.job_id for a in retried.placed_attempts} == {"req-1", "req-3"}
    assert all(previous[a.spec.job_id] is a for a in retried.placed_attempts)
    world.owner.on_rejected(retried, world.now, world.now, unchanged=True)
    assert {n for _, n, _ in world.starts(world.commit())} == {"req-1/0", "req-3/0"}


steps = st.lists(
    st.sampled_from(["report", "silent", "still", "exit", "take_over", "run", "run", "new_session"]),
    max_size=40,
)


@given(steps)
def test_task_never_runs_on_two_machines(events):
    world = ShardHarness()
    for n in range(3):
        world.add_machine(f"m{n}")
    world.submit(spec(tasks=2, checkpoint_us=0))
    running: dict[str, set[tuple[str, int]]] = {f"m{n}": set() for n in range(3)}
    sessions = dict.fromkeys(running, 1)

    def execute(commands, m):
        for action, name, number, _ in commands:
            if action == "start":
                names_elsewhere = {
                    n for other, attempts in running.items() if other != m for n, _ in attempts
                }
                assert name not in names_elsewhere
                running[m].add((name, number))
            elif action == "stop":
                running[m].discard((name, number))

    def report(m):
        execute(world.report(m, *[(n, k, "running") for n, k in sorted(running[m])], session=sessions[m]), m)

    def perform(actions):
        for m, commands in actions.commands.items():
            if world.owner.machines[m].incarnation == sessions[m]:
                world.owner.on_commands_sent(world.owner.machines[m], commands, world.now)
                execute(commands, m)
                world.owner.on_commands_answered(world.owner.machines[m], commands)

    for event in events:
        if event == "report":
            for m in running:
                report(m)
        elif event == "silent":
            world.advance_clock(1)
        elif event == "still":
            # The pause is longer than a lease: without answers, the workers' leases expire.
            world.advance_clock(20)
            for m in running:
                running[m].clear()
                sessions[m] += 1
            world.owner.on_process_pause(20 * SECOND_US, world.now)
        elif event == "exit":
            for m, attempts in running.items():
                for name, number in sorted(attempts)[:1]:
                    attempts.discard((name, number))
                    execute(world.report(m, (name, number, "exited", "stopped"), session=sessions[m]), m)
        elif event == "new_session":
            sessions["m0"] += 1
            running["m0"].clear()
        elif event == "take_over":
            world.take_over()
        else:
            perform(world.run_pass())
            perform(world.commit())
