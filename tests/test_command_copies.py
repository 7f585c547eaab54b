"""Copies of direct commands that were carried out and answered, and arrive once more up to minutes later."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearstep.shard.command_tokens import CommandTokens
from pearstep.shard.machine import Machine
from tests.agent_link import LinkedAgent
from tests.world import SMALL, spec


def fail(agent, attempt):
    agent.end(attempt, "error")


def complete(agent, attempt):
    agent.end(attempt, "done")


def move(agent, attempt):
    agent.move_task()
    agent.commit()


def cancel(agent, attempt):
    agent.cancel_job()
    agent.commit()


ENDS = [fail, complete, move, cancel]


def record_end(agent):
    """Report an end and record it."""
    agent.heartbeat()
    agent.commit()


def forget(agent, attempt):
    for _ in range(4):
        agent.heartbeat()
    assert not agent.knows(attempt)


def test_copy_of_an_answered_start_does_not_run_an_attempt_again_after_its_end_is_recorded():
    agent = LinkedAgent()
    attempt = agent.run_task()
    (start,) = [content for content in agent.commands if b'"run"' in content]
    agent.end(attempt, "error")
    agent.heartbeat()
    agent.commit()
    while agent.knows(attempt):
        agent.heartbeat()
    agent.deliver(start)
    assert agent.starts.count(attempt) == 1


@pytest.mark.parametrize("takes_over", ["never", "before the forget", "after the forget"])
@pytest.mark.parametrize("end", ENDS)
def test_copy_of_a_start_runs_nothing_again_however_the_attempt_ended(end, takes_over):
    agent = LinkedAgent()
    attempt = agent.run_task()
    end(agent, attempt)
    agent.deliver_copies()
    record_end(agent)
    agent.deliver_copies()
    if takes_over == "before the forget":
        agent.take_over()
    forget(agent, attempt)
    if takes_over == "after the forget":
        agent.take_over()
    agent.deliver_copies()
    assert agent.starts.count(attempt) == 1


def test_end_is_forgotten_under_a_raised_token_if_the_commit_that_recorded_it_had_no_answer():
    agent = CopyingAgent()
    attempt = agent.starts[-1]
    agent.end(attempt, "error")
    agent.heartbeat()
    agent.commit_without_answer()
    forget(agent, attempt)
    agent.deliver_copies()
    assert agent.starts.count(attempt) == 1


def test_token_is_raised_only_to_revisions_at_which_the_shard_was_certainly_held():
    tokens, machine, attempt = CommandTokens(3), Machine("m0", SMALL, "a", False, "", 0), ("req-1/0", 1)
    assert tokens.record_starts(machine, [attempt]) == 3
    assert not tokens.outdate_start(machine, attempt) and tokens.token_for(machine) == 3
    tokens.confirm(5)
    assert tokens.outdate_start(machine, attempt) and tokens.token_for(machine) == 5
    # A start that is sent under the raised token waits for the next commit.
    assert tokens.record_starts(machine, [attempt]) == 5
    assert not tokens.outdate_start(machine, attempt) and tokens.token_for(machine) == 5
    tokens.confirm(9)
    assert tokens.outdate_start(machine, attempt) and tokens.token_for(machine) == 9
    assert not tokens.acknowledge(machine, 10) and tokens.is_of_later_owner(10)
    assert tokens.acknowledge(machine, 9) and not tokens.acknowledge(machine, 2)


def test_start_that_an_answer_with_a_raised_token_overtook_is_sent_again():
    agent = LinkedAgent()
    agent.end(agent.run_task(), "done")
    agent.heartbeat()
    agent.world.submit(spec("req-2", tasks=1))
    agent.world.run_pass()
    actions = agent.world.commit()  # records the end, and places the other task
    assert agent.world.starts(actions)
    agent.before_delivery = agent.heartbeat
    agent.send(actions)
    statuses = [status for status, _ in agent.answers]
    assert statuses[-2:] == [409, 200] and len(agent.running) == 1


def test_later_owner_begins_above_every_token_of_the_one_before():
    agent = LinkedAgent()
    attempt = agent.run_task()
    agent.end(attempt, "done")
    record_end(agent)
    forget(agent, attempt)
    former = agent.world.owner
    raised = agent.session.token
    assert raised > former.fencing_token
    agent.take_over()
    assert agent.world.owner.fencing_token > raised
    assert former.is_of_later_owner(agent.world.owner.fencing_token)
    agent.heartbeat()
    agent.heartbeat()
    assert agent.session.token == agent.world.owner.fencing_token
    assert agent.world.owner.machines["m0"].token_acknowledged


def test_log_tells_under_which_token_an_attempt_was_started_and_forgotten(caplog):
    caplog.set_level("INFO", "pearstep.agent_gateway")
    agent = LinkedAgent()
    attempt = agent.run_task()
    start_token = agent.session.token
    agent.end(attempt, "error")
    record_end(agent)
    end_revision = agent.world.ledger.keys["p/0/req-1/0"][1]
    forget(agent, attempt)
    lines = [line for line in caplog.messages if "req-1/0@1" in line]
    assert [line.partition(" shard=")[0] for line in lines] == ["starts sent", "forgets sent"]
    assert f" token={start_token} sent_with=command attempts=req-1/0@1" in lines[0]
    assert f" token={end_revision} attempts=req-1/0@1:{end_revision}" in lines[1]


class CopyingAgent(LinkedAgent):
    """An agent with a job of one task, whose direct commands may arrive once more at any step."""

    def __init__(self):
        super().__init__()
        self.run_task()

    def end_task(self, cause="error"):
        for attempt in sorted(self.running):
            self.end(attempt, cause)

    def lose_lease(self):
        self.world.advance_clock(20)
        effects = self.session.tick(self.now())
        if effects or self.session.state == "ending":
            self.running.clear()
            self.session.all_gone(self.session.number + 1, self.now())

    def commit_without_answer(self):
        self.send(self.world.run_pass())
        owner = self.world.owner
        batch = owner.gather_commit(self.now(), self.now())
        if batch is None:
            return
        values = {key: value for key, (value, _) in batch.puts.items()}
        self.world.ledger.txn(batch.preconditions, values, batch.deletes)
        fence = self.world.ledger.txn({"part/0": owner.fencing_token}, {"e/part/0": 0})
        owner.confirm_ownership(fence)
        self.world.catch_up()
        owner.on_rejected(batch, self.now(), self.now(), unchanged=False)

    def heartbeat_without_answer(self):
        self.heartbeat(answered=False)

    def commit_with_starts_in_answers(self):
        self.send(self.world.run_pass())
        self.world.commit()


EVENTS = ["heartbeat", "heartbeat", "commit", "commit", "end_task", "deliver_copies", "take_over"]
EVENTS += ["heartbeat_without_answer", "commit_without_answer", "commit_with_starts_in_answers"]
EVENTS += ["lose_lease", "move_task", "cancel_job"]


def play(events):
    """Play events; return whether an attempt ever ran without a record."""
    agent = CopyingAgent()
    for event in events:
        getattr(agent, event)()
        if agent.running - agent.world.placed_attempts():
            return True
    return False


@settings(max_examples=600)
@given(st.lists(st.sampled_from(EVENTS), min_size=10, max_size=30))
def test_no_copy_of_a_command_runs_an_attempt_without_a_record(events):
    assert not play(events)


def test_search_finds_an_attempt_without_a_record_if_tokens_are_not_raised(monkeypatch):
    monkeypatch.setattr(CommandTokens, "outdate_start", lambda tokens, machine, attempt: True)
    assert play(["end_task", "heartbeat", "commit", "heartbeat", "heartbeat", "deliver_copies"])


def test_copy_of_a_start_is_refused_by_a_restarted_machine_once_its_owner_has_answered_it():
    agent = LinkedAgent()
    attempt = agent.run_task()
    agent.end(attempt, "done")
    record_end(agent)
    forget(agent, attempt)
    agent.begin_life()  # counts its sessions and tokens from the start
    agent.heartbeat()
    agent.deliver_copies()
    assert agent.starts.count(attempt) == 1


def test_copy_of_a_start_that_was_not_forgotten_runs_nothing_in_the_next_session():
    agent = CopyingAgent()
    agent.end_task()
    agent.lose_lease()
    assert agent.session.number == 2
    assert {agent.deliver(content)[0] for content in agent.commands} == {409}
    assert len(agent.starts) == 1
