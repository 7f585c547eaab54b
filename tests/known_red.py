"""A pytest plugin for tests that fail because of a known fault, listed in ``KNOWN-RED.txt`` at the root.

Each line is ``test | cause | issue``, with three lines at most; normally the file is absent or empty. Listed
tests run like all others, but their failures are printed and do not fail the run. The list can't become
stale: a listed test that passes, is not run, or does not exist fails the run, and so does a fourth line.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> dict[str, KnownFailure]:
    """Return the lines by test; raise ``pytest.UsageError`` if the list is invalid."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(f"{FILE}: {len(lines)} tests, {MAX_ENTRIES} at most: mend one first")
    entries = {}
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields) or "::" not in fields[0]:
            raise pytest.UsageError(f"{FILE}: not of the form 'file::test | cause | issue': {line!r}")
        entries[fields[0]] = KnownFailure(*fields)
    return entries


class KnownRedPlugin:
    """Checks the outcomes of tests against the list."""

    def __init__(self, known_failures: dict[str, KnownFailure]) -> None:
        self.known_failures = known_failures
        self.failures: dict[str, str] = {}

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config, items):
        """Check that listed tests exist, before deselection; a run of some files checks only these files."""
        collected = {item.nodeid for item in items}
        files = {nodeid.partition("::")[0] for nodeid in collected}
        is_full_run = config.args_source is not pytest.Config.ArgsSource.ARGS
        for test in self.known_failures:
            file = test.partition("::")[0]
            if test not in collected and (
                is_full_run or file in files or not (config.rootpath / file).exists()
            ):
                raise pytest.UsageError(f"{FILE}: there is no test {test}")

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item, call):
        """Report the failure of a listed test as expected, and any other outcome of it as a failure."""
        outcome = yield
        report = outcome.get_result()
        known_failure = self.known_failures.get(item.nodeid)
        if known_failure is None or (report.when != "call" and not report.skipped):
            return
        if report.failed:
            self.failures[known_failure.test] = report.longreprtext
            report.outcome = "skipped"
            report.wasxfail = f"known red: {known_failure.cause} ({known_failure.issue})"
        else:
            result = "passes" if report.passed else "was not run"
            report.outcome = "failed"
            report.longrepr = f"{known_failure.test} {result} and is listed in {FILE}: take it out"

    def pytest_terminal_summary(self, terminalreporter):
        """Print the failures of listed tests."""
        for test, failure in self.failures.items():
            terminalreporter.section(
                f"KNOWN RED {test}: {self.known_failures[test].cause} ({self.known_failures[test].issue})"
            )
            terminalreporter.write_line(failure)


def pytest_configure(config):
    """Register the plugin if there is a list with entries."""
    file = config.rootpath / FILE
    known_failures = parse_list(file.read_text()) if file.exists() else {}
    if known_failures and not config.pluginmanager.has_plugin("known-red"):
        config.pluginmanager.register(KnownRedPlugin(known_failures), "known-red")
