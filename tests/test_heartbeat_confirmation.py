"""Confirmation of messages by machines: late copies of heartbeats, and answers that do not arrive."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstep.domain.units import SECOND_US
from pearstep.shard.commands import Heartbeat, TaskStatus
from pearstep.shard.machine import MachineState
from tests.world import ShardHarness, spec

REPORT_S = 2


def send_heartbeat(world, name, sequence, *tasks, token=None, session=1, answered=True):
    """Deliver a heartbeat with the given sequence number, and answer it."""
    world.last_sequences[name] = sequence
    statuses = [TaskStatus(*t) for t in tasks]
    fencing_token = world.owner.fencing_token if token is None else token
    heartbeat = Heartbeat(
        name, "127.0.0.1:1", "small", "a", False, session, sequence, fencing_token, None, statuses
    )
    machine = world.owner.on_heartbeat(heartbeat, world.now, world.now)
    if machine is not None and answered:
        world.owner.on_heartbeat_answered(machine, world.now)
    return machine


def report_after_failover_rounds(world, names, seconds, every_s=15, sequence_step=3):
    """Let machines that get no answers report here once per round over all nodes."""
    for _ in range(int(seconds // every_s)):
        for name in names:
            send_heartbeat(world, name, world.last_sequences[name] + sequence_step)
        for _ in range(every_s):
            world.advance_clock(1)
            world.run_and_commit()


def drain_reasons(world):
    return {name: record.reason for name, record in world.replica.drains.items()}


def test_unreachable_machine_gets_no_tasks_and_is_replaced():
    world = ShardHarness(machine_silence_us=30 * SECOND_US)
    world.add_machine("m0")
    world.advance_clock(1)
    world.report("m0")
    world.advance_clock(15)
    send_heartbeat(world, "m0", world.last_sequences["m0"] + 3)
    assert world.owner.machines["m0"].state == MachineState.UNREACHABLE
    world.submit(spec(tasks=1))
    assert not world.starts(world.run_and_commit())  # the machine would not receive the start command
    report_after_failover_rounds(world, ["m0"], 60)
    assert drain_reasons(world) == {"m0": "deaf"}


def test_machine_that_confirms_an_answer_in_time_is_used_again():
    world = ShardHarness(machine_silence_us=30 * SECOND_US)
    world.add_machine("m0")
    world.advance_clock(15)
    send_heartbeat(world, "m0", world.last_sequences["m0"] + 3)
    world.submit(spec(tasks=1))
    assert not world.starts(world.run_and_commit())
    world.advance_clock(2)
    # The next sequence number proves the previous answer.
    send_heartbeat(world, "m0", world.last_sequences["m0"] + 1)
    assert len(world.starts(world.run_and_commit())) == 1 and not drain_reasons(world)


def test_answer_to_a_direct_command_confirms_the_command():
    world = ShardHarness(machine_silence_us=30 * SECOND_US)
    world.add_machine("m0")
    world.advance_clock(15)
    m = send_heartbeat(world, "m0", world.last_sequences["m0"] + 3)
    assert m.state == MachineState.UNREACHABLE
    world.owner.on_commands_sent(m, [], world.now)
    heartbeat = Heartbeat(
        "m0", "127.0.0.1:1", "small", "a", False, 1, m.sequence + 5, world.owner.fencing_token, None
    )
    world.owner.on_heartbeat(heartbeat, world.now, world.now, direct=True)
    assert m.state == MachineState.UP


def test_machines_of_an_unreachable_zone_are_not_deleted_together():
    # The network is at fault, not all the machines; single machines may be replaced, in case it is not.
    world = ShardHarness(machine_silence_us=10 * SECOND_US, shard_count=3)
    names = [f"m{n}" for n in range(6)]
    for name in names:
        world.add_machine(name)
    report_after_failover_rounds(world, names, 75)
    assert 1 <= len(drain_reasons(world)) <= 2 and set(drain_reasons(world).values()) == {"deaf"}


def test_silent_zone_is_replaced_after_a_failover_round():
    world = ShardHarness(machine_silence_us=10 * SECOND_US, shard_count=3)
    for n in range(4):
        world.add_machine(f"m{n}")
    for second in range(40):
        world.advance_clock(1)
        world.run_and_commit()
        if second < 14:
            assert not drain_reasons(world)
    assert set(drain_reasons(world).values()) == {"lost"} and len(drain_reasons(world)) == 4


def test_late_copy_of_a_heartbeat_changes_nothing():
    world = ShardHarness()
    machine, name, attempt = world.place_one()
    send_heartbeat(world, machine, 10, (name, attempt, "running"))
    m = world.owner.machines[machine]
    before = (m.last_heartbeat_us, m.heartbeat_answered_at_us, m.last_received_us, m.state)
    world.advance_clock(12)
    for sequence in (10, 9, 1):
        # The copy reports no tasks, which was true when it was sent.
        send_heartbeat(world, machine, sequence)
    assert (m.last_heartbeat_us, m.heartbeat_answered_at_us, m.last_received_us, m.state) == before
    assert list(m.attempts) == [(name, attempt)] and not m.awaiting_answer


def test_heartbeat_overtaken_by_a_direct_answer_renews_the_lease():
    # The heartbeat looks like a late copy, but its worker receives our answer. If the answer did not count,
    # the resources of a running task would be freed before the worker's lease has expired.
    world = ShardHarness(machine_silence_us=10_000 * SECOND_US)
    machine, name, attempt = world.place_one()
    m = send_heartbeat(world, machine, 10, (name, attempt, "running"))
    world.advance_clock(3)
    world.owner.on_commands_sent(m, [], world.now)
    statuses = [TaskStatus(name, attempt, "running")]
    heartbeat = Heartbeat(
        machine, "127.0.0.1:1", "small", "a", False, 1, 12, world.owner.fencing_token, None, statuses
    )
    world.owner.on_heartbeat(heartbeat, world.now, world.now, direct=True)
    send_heartbeat(world, machine, 11, (name, attempt, "running"))
    world.advance_clock(16)
    world.run_and_commit()
    assert list(m.attempts) == [(name, attempt)]
    world.advance_clock(2)
    world.run_and_commit()
    assert not m.attempts


def test_new_owner_records_only_machines_that_have_its_token():
    # Seen with late copies: a machine was deleted, and a later owner added and recorded it again.
    world = ShardHarness()
    previous_token = world.owner.fencing_token
    world.take_over()
    assert send_heartbeat(world, "m9", 40, token=previous_token) is not None
    world.run_and_commit()
    assert "m9" not in world.replica.machines
    world.submit(spec(tasks=1))
    assert not world.starts(world.run_and_commit())
    send_heartbeat(world, "m9", 41)  # with our token, which only a message of this owner delivers
    world.run_and_commit()
    assert "m9" in world.replica.machines


@pytest.mark.parametrize("session", [1, 2])
def test_copy_from_before_a_machine_restarted_does_not_end_what_it_runs_now(session):
    world = ShardHarness()
    former_token = world.owner.fencing_token
    send_heartbeat(world, "m0", 30, session=session)
    world.take_over()
    # The machine is back with nothing on it, and counts from the start.
    send_heartbeat(world, "m0", 1, token=0)
    send_heartbeat(world, "m0", 2)
    world.run_and_commit()
    world.submit(spec(tasks=1))
    ((_, task, attempt),) = world.starts(world.run_and_commit())
    send_heartbeat(world, "m0", 3, (task, attempt, "running"))
    send_heartbeat(world, "m0", 30, token=former_token, session=session)
    assert list(world.owner.machines["m0"].attempts) == [(task, attempt)]


messages = st.lists(
    st.one_of(
        st.tuples(st.just("report"), st.booleans()),
        st.tuples(st.just("copy"), st.integers(0, 30)),
        st.tuples(st.just("elsewhere"), st.integers(1, 4)),
        st.tuples(st.just("later"), st.integers(1, 12)),
    ),
    max_size=40,
)


@given(messages)
def test_last_received_time_is_never_later_than_the_last_received_answer(steps):
    """Some heartbeats of one worker are answered here, some go to other nodes, and late copies arrive at any
    time. ``last_received_us`` is never later than the latest answer that the worker has received.
    """
    world = ShardHarness(machine_silence_us=10_000 * SECOND_US)
    world.add_machine("m0")
    m = world.owner.machines["m0"]
    sequence, received_us, sent_sequences = m.sequence, m.last_received_us, []
    answered = True  # whether the worker got an answer to its last heartbeat, and so stays with this node
    for kind, value in steps:
        if kind == "later":
            world.advance_clock(value)
        elif kind == "elsewhere":
            sequence += value
            answered = False
        elif kind == "copy" and sent_sequences:
            send_heartbeat(world, "m0", sent_sequences[value % len(sent_sequences)])
        elif kind == "report":
            # Without an answer to the last heartbeat, the worker has tried another node in between.
            sequence += 1 if answered else 2
            sent_sequences.append(sequence)
            send_heartbeat(world, "m0", sequence)
            answered = value
            if value:
                received_us = world.now
        assert m.last_received_us <= received_us
