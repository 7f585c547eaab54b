"""Explores all states of a small history (`measurements.history_states`), and variants without one guard."""

import pytest

from measurements.history_states import COMPACTED, CONDITION, FENCE, Bounds, explore


@pytest.mark.parametrize("bounds", [Bounds(1, 2, 1), Bounds(2, 1, 0), Bounds(1, 3, 1)])
def test_no_state_loses_invents_or_accepts_a_job_twice(bounds):
    states, compacted, wrong = explore(bounds)
    print(f"[history, {bounds}: {states} states]", end=" ")
    assert wrong == "" and states > 1000 and compacted > states / 2


@pytest.mark.parametrize(
    ("without", "expected"),
    [(FENCE, "two runs"), (CONDITION, "accepted twice"), (COMPACTED, "two runs")],
)
def test_exploration_detects_a_missing_guard(without, expected):
    assert expected in explore(Bounds(1, 2, 1, without))[2]
