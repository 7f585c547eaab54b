"""Sessions of agents that end while controllers end, in the simulation of a cluster."""

import re

import pytest

from measurements.simulation.cluster import Setup, run
from measurements.simulation.meetings import BUILT, sessions_over
from tests.test_meetings import find_in_trace
from tests.test_sessions import restore_attempts_of_any_session

SEEDS = [3, 14, 32]
FAULTS = sessions_over(30.0)
RULES = {"wrong_place", "ran_twice", "quota"}


def make_setup(seed):
    ends_s = FAULTS[-1].at_s
    return Setup(seed, faults=FAULTS, calm_s=ends_s + 20.0, until_s=ends_s + 12.0, **BUILT["sessions_over"])


def broken_rules(result):
    """Return the rules on places that are broken; the run is too short for the others."""
    return {text.partition(":")[0] for text in result.broken} & RULES


@pytest.mark.parametrize("seed", SEEDS)
def test_task_restarted_in_a_later_session_keeps_its_place_under_the_next_owner(seed):
    result, trace = run(make_setup(seed), log=True)
    assert not broken_rules(result)
    killed_s = [at_s for at_s, _ in find_in_trace(trace, r"lease over, killed [1-9]")]
    lost_s = [
        at_s for at_s, _ in find_in_trace(trace, r"not applied .*outcome=unknown.*freed=\S+:session_ended")
    ]
    # Sessions ended, and a commit that records it had no answer.
    assert killed_s and lost_s and min(killed_s) < min(lost_s) < FAULTS[-1].at_s


@pytest.mark.parametrize("seed", SEEDS)
def test_attempt_of_an_earlier_session_breaks_a_rule_if_it_is_restored(seed, monkeypatch):
    restore_attempts_of_any_session(monkeypatch)
    assert broken_rules(run(make_setup(seed))[0])


def test_log_tells_by_which_token_each_task_was_placed_and_started():
    _, trace = run(make_setup(SEEDS[0]), log=True)
    placed, started = {}, {}
    for line in trace:
        if match := re.search(r"shard commit (?:not )?applied .*fencing_token=(\d+) .*placed=(\S+)", line):
            for label in match[2].split(","):
                placed.setdefault(label.partition("#")[0], set()).add(match[1])
        if match := re.search(r"starts sent .*fencing_token=(\d+) .*machine=(\S+) .*attempts=(\S+)", line):
            for attempt in match[3].split(","):
                started.setdefault(f"{attempt}:{match[2]}", set()).add(match[1])
    arrived = find_in_trace(trace, r"(req-\S+) try (\d+) on (\S+)")
    labels = {f"{task}@{attempt}:{machine}" for _, (task, attempt, machine) in arrived}
    assert len(labels) > 20 and labels <= placed.keys() and labels <= started.keys()
