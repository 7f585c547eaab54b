"""``KNOWN-RED.txt``: which failures are tolerated and printed, and which outcomes still fail the run."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import parse_list

ROOT = Path(__file__).resolve().parents[1]
TESTS = """
import pytest

def test_good():
    pass

def test_bad():
    assert 1 == 2, "the fault itself"

def test_worse():
    assert 0

@pytest.mark.skip
def test_skipped():
    pass

@pytest.fixture
def broken():
    raise RuntimeError

def test_unready(broken):
    pass
"""
KNOWN_RED_LINE = "test_it.py::{} | - | a task twice | issue 7\n"
# A program that fails with some seeds, as a simulation does.
PROGRAM = """
import sys

print("played seed", sys.argv[2])
sys.exit({"7": 1, "8": 0, "9": 2}[sys.argv[2]])
"""
COMMAND_LINE = "python play.py --seed {0} | {0} | a task twice | issue 7\n"


def run_pytest(tmp_path, test_names, *args, known_red=None):
    """Run some of these tests with a list; return exit code and output."""
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "test_other.py").write_text("def test_other():\n    pass\n")
    (tmp_path / "play.py").write_text(PROGRAM)
    if known_red is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(known_red)
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-p",
            "tests.known_red",
            "-p",
            "no:cacheprovider",
            "--rootdir",
            str(tmp_path),
            "-k",
            " or ".join(test_names),
            *args,
        ],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_only_listed_failures_are_tolerated_and_printed(tmp_path):
    known_red = KNOWN_RED_LINE.format("test_bad")
    exit_code, output = run_pytest(tmp_path, ["good", "bad"], known_red=known_red)
    assert exit_code == 0 and "KNOWN RED test_it.py::test_bad: seed -: a task twice (issue 7)" in output
    assert "the fault itself" in output and "1 passed" in output
    exit_code, output = run_pytest(tmp_path, ["good", "bad", "worse"], known_red=known_red)
    assert exit_code == 1 and "1 failed" in output and "test_worse" in output
    # A test that fails in its setup has not shown the listed fault.
    assert run_pytest(tmp_path, ["unready"], known_red=KNOWN_RED_LINE.format("test_unready"))[0] == 1


@pytest.mark.parametrize("known_red", [None, "", "\n"])
def test_without_a_list_every_failure_fails_the_run(tmp_path, known_red):
    assert run_pytest(tmp_path, ["good"], known_red=known_red)[0] == 0
    assert run_pytest(tmp_path, ["good", "bad"], known_red=known_red)[0] == 1


def test_stale_or_too_long_list_fails_the_run(tmp_path):
    for known_red, message in (
        (KNOWN_RED_LINE.format("test_good"), "passes and is listed"),
        (KNOWN_RED_LINE.format("test_skipped"), "was not run and is listed"),
        (KNOWN_RED_LINE.format("test_none"), "there is no test test_it.py::test_none"),
        ("".join(KNOWN_RED_LINE.format(f"test_{n}") for n in range(4)), "4 entries, 3 at most"),
        ("test_it.py::test_bad\n", "not of the form"),
    ):
        exit_code, output = run_pytest(tmp_path, ["good", "skipped"], known_red=known_red)
        assert exit_code != 0 and message in output, output
    # A run of another file can't check whether a listed test exists, unless its file was removed.
    assert (
        run_pytest(tmp_path, ["other"], "test_other.py", known_red=KNOWN_RED_LINE.format("test_none"))[0] == 0
    )
    entry_of_removed_file = KNOWN_RED_LINE.format("test_none").replace("test_it", "test_gone")
    assert run_pytest(tmp_path, ["other"], "test_other.py", known_red=entry_of_removed_file)[0] != 0


def test_listed_command_that_finds_its_fault_is_tolerated_and_printed(tmp_path):
    exit_code, output = run_pytest(tmp_path, ["good"], known_red=COMMAND_LINE.format(7))
    assert exit_code == 0 and "played seed 7" in output
    assert "KNOWN RED python play.py --seed 7: seed 7: a task twice (issue 7)" in output
    # A run of some files does not play it, and it excuses no test.
    exit_code, output = run_pytest(tmp_path, ["good"], "test_it.py", known_red=COMMAND_LINE.format(7))
    assert exit_code == 0 and "played seed" not in output
    assert run_pytest(tmp_path, ["good", "bad"], known_red=COMMAND_LINE.format(7))[0] == 1


@pytest.mark.parametrize(
    "known_red, message",
    [
        (COMMAND_LINE.format(8), "python play.py --seed 8 passes and is listed"),
        (COMMAND_LINE.format(9), "could not be run: exit code 2"),
        (COMMAND_LINE.format(7).replace("play.py", "-m gone"), "there is no such program"),
    ],
)
def test_listed_command_with_any_other_outcome_fails_the_run(tmp_path, known_red, message):
    exit_code, output = run_pytest(tmp_path, ["good"], known_red=known_red)
    assert exit_code != 0 and message in output, output


@pytest.mark.parametrize(
    "line, message",
    [
        ("test_it.py::test_bad | a cause | issue 7", "not of the form"),
        ("test_it.py::test_bad | - | | issue 7", "not of the form"),
        ("test_it.py::test_bad | some | a task twice | issue 7", "the seed is a number or -"),
        ("python play.py --seed 7 | 70 | a task twice | issue 7", "does not name seed 70"),
        ("perl play.py --seed 7 | 7 | a task twice | issue 7", "neither a test nor a python command"),
    ],
)
def test_entry_that_can_not_be_played_again_as_it_stands_is_refused(line, message):
    with pytest.raises(pytest.UsageError, match=message):
        parse_list(line)
