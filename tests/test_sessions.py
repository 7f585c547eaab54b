"""Sessions of an agent's tasks: an attempt belongs to the session that its record names, and ends with it.

All the tasks of an agent are gone when its lease ends and its next session begins. That is evidence only for
attempts that were started in an earlier session.
"""

import pytest

from pearstep.state.records import RouteRecord
from tests.world import ShardHarness


def gather(world):
    """Run a pass; return the group commit that follows, and its transaction."""
    world.run_pass()
    batch = world.owner.gather_commit(world.now, world.now)
    return batch, (batch.preconditions, {key: value for key, (value, _) in batch.puts.items()}, batch.deletes)


def starts(commands):
    return [(command.task, command.attempt) for command in commands if command.action == "start"]


def lose_end(world, how):
    """Fail the commit that records an end, as late writes, lost answers and conflicts do."""
    batch, transaction = gather(world)
    assert batch.recorded_ends
    if how == "conflict":
        world.put("r/0/req-1", RouteRecord("0-0"))
    world.catch_up()
    failed = ["r/0/req-1"] if how == "conflict" else []
    world.owner.on_rejected(batch, world.now, world.now, unchanged=False, failed=failed)


@pytest.mark.parametrize("how", ["no answer", "conflict"])
def test_attempt_whose_recorded_end_failed_is_not_started_in_the_next_session(how):
    world = ShardHarness()
    machine, task, attempt = world.place_one()
    world.report(machine, (task, attempt, "running"))
    assert not starts(world.report(machine, session=2))
    lose_end(world, how)
    assert (task, attempt) not in starts(world.report(machine, session=2))
    world.commit()
    assert (task, attempt) not in starts(world.report(machine, session=2))


def test_next_owner_keeps_a_task_that_a_later_session_reports():
    world = ShardHarness()
    machine, task, attempt = world.place_one()
    world.take_over()
    world.report(machine, (task, attempt, "running"), session=2)
    assert (task, attempt) in world.owner.machines[machine].attempts
