"""Sessions of an agent's tasks: an attempt belongs to the session that its record names, and ends with it.

All the tasks of an agent are gone when its lease ends and its next session begins. That is evidence only for
attempts that were started in an earlier session.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearstep.shard.commands import ShardActions
from pearstep.shard.freed_attempt import EndEvidence
from pearstep.shard.heartbeats import HeartbeatHandler
from pearstep.shard.shard_state import ShardState
from pearstep.state.records import RouteRecord
from tests.world import ShardHarness, spec


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


def test_attempt_committed_after_its_session_ended_is_not_started_in_the_next_session():
    world = ShardHarness()
    world.add_machine("m0")
    world.submit(spec(tasks=1))
    batch, transaction = gather(world)
    (placed,) = batch.placed_attempts
    world.report("m0", session=2)
    world.ledger.txn(*transaction)  # applied, and its answer is lost
    world.catch_up()
    world.owner.on_rejected(batch, world.now, world.now, unchanged=False)
    assert (placed.name, placed.number) not in starts(world.report("m0", session=2))


class Agent:
    """An agent as it is, with the tasks that it runs, and the owner of its shard."""

    def __init__(self):
        self.world = ShardHarness()
        self.session = 1
        self.running = set()
        self.world.add_machine("m0")
        self.world.submit(spec(tasks=1))

    def heartbeat_without_answer(self):
        tasks = [(task, attempt, "running") for task, attempt in sorted(self.running)]
        return self.world.report("m0", *tasks, session=self.session)

    def heartbeat(self):
        for command in self.heartbeat_without_answer():
            if command.action == "start":
                self.running.add((command.task, command.attempt))
            elif command.action == "stop":
                self.running.discard((command.task, command.attempt))

    def lose_lease(self):
        self.running.clear()
        self.session += 1

    def commit(self, applied=True, answered=True):
        self.world.run_pass()
        if not self.world.owner.has_writes(self.world.now):
            return
        batch, transaction = gather(self.world)
        revision = self.world.ledger.txn(*transaction) if applied else 0
        self.world.catch_up()
        if applied and answered:
            # Starts are left to the answers to heartbeats.
            self.world.owner.on_committed(batch, revision, ShardActions())
        else:
            self.world.owner.on_rejected(batch, self.world.now, self.world.now, unchanged=False)

    def commit_not_applied(self):
        self.commit(applied=False)

    def commit_without_answer(self):
        self.commit(answered=False)

    def take_over(self):
        self.world.take_over()

    def tasks_without_a_record(self):
        """Return what runs although no record places it here."""
        return self.running - self.world.placed_attempts()


EVENTS = ["heartbeat", "heartbeat_without_answer", "lose_lease", "take_over"]
EVENTS += ["commit", "commit_not_applied", "commit_without_answer"]


@settings(max_examples=1000)
@given(st.lists(st.sampled_from(EVENTS), min_size=10, max_size=40))
def test_task_that_runs_always_has_a_record(events):
    agent = Agent()
    for event in events:
        getattr(agent, event)()
        assert not agent.tasks_without_a_record()


def restore_attempts_of_any_session(monkeypatch):
    """Let reloads put attempts of earlier sessions back, and end all of them in the next session."""
    restore_attempt = ShardState._restore_attempt

    def restore_in_any_session(state, draft, attempt):
        machine = state.machines.get(attempt.machine)
        session, attempt.incarnation = attempt.incarnation, 1 << 60
        restore_attempt(state, draft, attempt)
        attempt.incarnation = session
        assert machine is None or (attempt.name, attempt.number) in machine.attempts

    def end_all_earlier(handler, machine, heartbeat, now_us, wall_us):
        for attempt in [a for a in machine.attempts.values() if a.incarnation < heartbeat.incarnation]:
            handler.completion.record_end(machine, attempt, EndEvidence.SESSION_ENDED, now_us, wall_us)
        begin_session(handler, machine, heartbeat, now_us, wall_us)

    begin_session = HeartbeatHandler._begin_session
    monkeypatch.setattr(ShardState, "_restore_attempt", restore_in_any_session)
    monkeypatch.setattr(HeartbeatHandler, "_begin_session", end_all_earlier)


# An end that is not recorded, a start in the next session, and an answer of the next owner that is lost.
RESTARTED_LATER = ["commit", "heartbeat", "heartbeat", "lose_lease", "heartbeat", "commit_not_applied"]
RESTARTED_LATER += ["heartbeat", "take_over", "heartbeat_without_answer", "commit"]


@pytest.mark.parametrize("restored", [False, True])
def test_task_runs_without_a_record_only_if_attempts_of_an_earlier_session_are_restored(
    restored, monkeypatch
):
    if restored:
        restore_attempts_of_any_session(monkeypatch)
    agent = Agent()
    for event in RESTARTED_LATER:
        getattr(agent, event)()
    assert bool(agent.tasks_without_a_record()) == restored
