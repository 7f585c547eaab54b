"""Copies of answered commands in the simulation of a cluster; controllers and machines are back at once."""

import pytest

from measurements.simulation.cluster import run, setup_of_meeting

SEEDS = [("machine_hangs", 8), ("node_crash", 8)]
SETTLE_S = 20.0
RULES = {"ran_twice", "ran_cancelled", "quota"}


def broken_rules(kind, seed):
    """Return the rules on places that are broken; the run is too short for the others."""
    setup = setup_of_meeting(seed, "command_copies", kind)
    setup.until_s = setup.calm_s + SETTLE_S
    result, _ = run(setup)
    assert result.copies > 20
    return {text.partition(":")[0] for text in result.broken} & RULES


@pytest.mark.parametrize(("kind", "seed"), SEEDS)
def test_copies_of_commands_run_no_task_twice_or_after_its_cancellation(kind, seed):
    assert not broken_rules(kind, seed)
