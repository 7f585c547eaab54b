"""Copies of direct commands that were carried out and answered, and arrive once more up to minutes later."""

from tests.agent_link import LinkedAgent


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
