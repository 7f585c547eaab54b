"""A pytest plugin for known faults: tests and commands that fail, listed in ``KNOWN-RED.txt`` at the root.

Each line is ``test or command | seed | what was seen | issue``, with three lines at most; normally the file
is absent or empty. Listed tests run like all others, and listed commands run at the end of a full run, but
their failures are printed and do not fail the run. The list can't become stale: a listed test or command that
passes, is not run, or does not exist fails the run, and so does a fourth line.
"""

from __future__ import annotations

import re
import shlex
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
FORM = "test or command | seed | what was seen | issue"
MAX_ENTRIES = 3
# The seed of a test or command that draws nothing.
NO_SEED = "-"
COMMAND_TIMEOUT_S = 120
# The exit code of a command that found its fault. Others, such as that of a usage error, do not show it.
FAULT_FOUND = 1


class KnownFailure(NamedTuple):
    """One line of the list."""

    subject: str
    seed: str
    observation: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Whether the entry names a test rather than a command."""
        return "::" in self.subject

    def __str__(self) -> str:
        """Return the entry as it is printed beside its failure."""
        return f"{self.subject}: seed {self.seed}: {self.observation} ({self.issue})"


class CommandResult(NamedTuple):
    """The outcome of a listed command; ``objection`` is empty if it failed as listed."""

    output: str
    objection: str


def parse_list(text: str) -> dict[str, KnownFailure]:
    """Return the lines by test or command; raise ``pytest.UsageError`` if the list is invalid."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE}: {len(lines)} entries, {MAX_ENTRIES} at most: mend one first")
    entries = {}
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(KnownFailure._fields) or not all(fields):
            raise pytest.UsageError(f"{FILE}: not of the form '{FORM}': {line!r}")
        entry = KnownFailure(*fields)
        _check_entry(entry)
        entries[entry.subject] = entry
    return entries


def _check_entry(entry: KnownFailure) -> None:
    """Raise ``pytest.UsageError`` if an entry can't be played again as it stands."""
    if entry.seed != NO_SEED and not entry.seed.isdigit():
        raise pytest.UsageError(f"{FILE}: the seed is a number or {NO_SEED}: {entry.subject}")
    if entry.is_test:
        return
    if not entry.subject.startswith("python "):
        raise pytest.UsageError(f"{FILE}: neither a test nor a python command: {entry.subject}")
    if entry.seed != NO_SEED and entry.seed not in re.findall(r"\d+", entry.subject):
        raise pytest.UsageError(f"{FILE}: the command does not name seed {entry.seed}: {entry.subject}")


def run_command(command: str, root: Path) -> CommandResult:
    """Run a listed command in the root."""
    arguments = [sys.executable, *shlex.split(command)[1:]]
    if not _program_exists(arguments[1:], root):
        return CommandResult("", "could not be run: there is no such program")
    try:
        done = subprocess.run(
            arguments,
            cwd=root,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return CommandResult("", f"was not over after {COMMAND_TIMEOUT_S} s")
    if done.returncode == 0:
        return CommandResult(done.stdout, f"passes and is listed in {FILE}: take it out")
    if done.returncode != FAULT_FOUND:
        return CommandResult(done.stdout, f"could not be run: exit code {done.returncode}")
    return CommandResult(done.stdout, "")


def _program_exists(arguments: list[str], root: Path) -> bool:
    """Tell whether the root has the program of a command; Python exits with 1 if a module is missing."""
    if arguments[:1] != ["-m"]:
        return bool(arguments) and (root / arguments[0]).is_file()
    return len(arguments) > 1 and (root / arguments[1].replace(".", "/")).with_suffix(".py").is_file()


class KnownRedPlugin:
    """Checks the outcomes of tests and commands against the list."""

    def __init__(self, known_failures: dict[str, KnownFailure]) -> None:
        self.tests = {subject: entry for subject, entry in known_failures.items() if entry.is_test}
        self.commands = {subject: entry for subject, entry in known_failures.items() if not entry.is_test}
        self.failures: dict[str, str] = {}
        self.objections: list[str] = []

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config, items):
        """Check that listed tests exist, before deselection; a run of some files checks only these files."""
        collected = {item.nodeid for item in items}
        files = {nodeid.partition("::")[0] for nodeid in collected}
        for test in self.tests:
            file = test.partition("::")[0]
            if test not in collected and (
                _is_full_run(config) or file in files or not (config.rootpath / file).exists()
            ):
                raise pytest.UsageError(f"{FILE}: there is no test {test}")

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item, call):
        """Report the failure of a listed test as expected, and any other outcome of it as a failure."""
        outcome = yield
        report = outcome.get_result()
        known_failure = self.tests.get(item.nodeid)
        if known_failure is None or (report.when != "call" and not report.skipped):
            return
        if report.failed:
            self.failures[known_failure.subject] = report.longreprtext
            report.outcome = "skipped"
            report.wasxfail = f"known red: {known_failure}"
        else:
            result = "passes" if report.passed else "was not run"
            report.outcome = "failed"
            report.longrepr = f"{known_failure.subject} {result} and is listed in {FILE}: take it out"

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session):
        """Run the listed commands at the end of a full run."""
        if not _is_full_run(session.config) or session.config.option.collectonly:
            return
        for command in self.commands:
            result = run_command(command, session.config.rootpath)
            self.failures[command] = result.output
            if result.objection:
                self.objections.append(f"{command} {result.objection}")
        if self.objections and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter):
        """Print the failures of listed tests and commands, and what is wrong with listed commands."""
        for subject, failure in self.failures.items():
            entry = self.tests.get(subject) or self.commands[subject]
            terminalreporter.section(f"KNOWN RED {entry}")
            terminalreporter.write_line(failure)
        for objection in self.objections:
            terminalreporter.write_line(f"{FILE}: {objection}", red=True)


def _is_full_run(config: pytest.Config) -> bool:
    """Tell whether no files were named, so that all tests are collected."""
    return config.args_source is not pytest.Config.ArgsSource.ARGS


def pytest_configure(config):
    """Register the plugin if there is a list with entries."""
    file = config.rootpath / FILE
    known_failures = parse_list(file.read_text()) if file.exists() else {}
    if known_failures and not config.pluginmanager.has_plugin("known-red"):
        config.pluginmanager.register(KnownRedPlugin(known_failures), "known-red")
