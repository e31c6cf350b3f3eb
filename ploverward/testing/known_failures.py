"""Runs the tests on several cores. Passes over just what KNOWN-RED.txt lists, prints it, and fails where a listed test
passes or did not run.

    python3 -m ploverward.testing.known_failures                   all tests
    python3 -m ploverward.testing.known_failures ploverward/common -n 0      one folder, in this process

All arguments go to pytest, behind the default ones; paths among them replace `pytest.ini`'s.
"""

import dataclasses
import os
import sys

import pytest

LIST_NAME = "KNOWN-RED.txt"
MOST_WORKERS = 8
ID_SEPARATORS = ("/", "::", "[")  # between a path, its parts, the tests in it and their parameters


@dataclasses.dataclass(frozen=True, kw_only=True)
class KnownFailure:
    """One line of the list: the id of a test, why it fails, and the issue that mends it."""

    test: str
    cause: str
    issue: str


def read(*, path: str) -> list[KnownFailure]:
    """One line each: test id, cause, issue, by '|'. Empty lines and those that begin with '#' say nothing."""
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as handle:
        lines = [line.strip() for line in handle]
    listed = []
    for line in lines:
        if line and not line.startswith("#"):
            test, cause, issue = (part.strip() for part in line.split("|"))
            listed.append(KnownFailure(test=test, cause=cause, issue=issue))
    return listed


def is_below(*, test: str, place: str) -> bool:
    """Whether a test's id lies in a place: a folder, a file, a class or the test itself, as pytest takes them."""
    return test == place or any(test.startswith(place + separator) for separator in ID_SEPARATORS)


class FailureCollector:
    """A pytest plugin: which tests passed and failed, and which places were asked for.

    Under xdist it stands in the process that hands the tests out, where the reports of all workers arrive.
    """

    def __init__(self):
        self.passed = set()
        self.failed = set()
        self.places = []

    def pytest_configure(self, config):
        """Notes the places of the run, relative to the root, as test ids are."""
        for argument in config.args:
            path, separator, inside = argument.partition("::")
            path = os.path.relpath(os.path.join(config.invocation_params.dir, path), config.rootpath)
            self.places.append(path.replace(os.sep, "/") + separator + inside)

    def pytest_collectreport(self, report):
        if report.failed:
            self.failed.add(report.nodeid)

    def pytest_runtest_logreport(self, report):
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.when == "call" and report.passed:
            self.passed.add(report.nodeid)

    def is_asked_for(self, test: str) -> bool:
        return any(place == "." or is_below(test=test, place=place) for place in self.places)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """The exit code of the run, and what to print below pytest's own lines."""

    code: int
    lines: list[str]


def verdict(*, listed: list[KnownFailure], collector: FailureCollector, code: int) -> Verdict:
    """Judges a run that pytest ended with `code`; a listed test outside of the run's places counts for nothing."""
    known = sorted((failure for failure in listed if collector.is_asked_for(failure.test)), key=lambda one: one.test)
    names = [failure.test for failure in known]
    mended = [test for test in names if test in collector.passed and test not in collector.failed]
    absent = [test for test in names if test not in collector.passed and test not in collector.failed]
    new = collector.failed.difference(names)
    lines = [f"known failure: {failure.test}: {failure.cause} ({failure.issue})" for failure in known]
    lines += [f"listed in {LIST_NAME} but passes: {test}" for test in mended]
    lines += [f"listed in {LIST_NAME} but did not run: {test}" for test in absent]
    if mended or absent or new:
        return Verdict(code=1, lines=lines)
    if code == pytest.ExitCode.TESTS_FAILED and collector.failed:
        return Verdict(code=0, lines=lines)  # all of them are listed
    return Verdict(code=code, lines=lines)


def worker_count() -> int:
    """As many processes as this one may use cores, up to `MOST_WORKERS`."""
    return min(MOST_WORKERS, len(os.sched_getaffinity(0)))


def main(arguments: list[str]) -> int:
    collector = FailureCollector()
    defaults = ["-q", "-n", str(worker_count()), "--dist", "worksteal"]
    code = int(pytest.main([*defaults, *arguments], plugins=[collector]))
    judged = verdict(listed=read(path=LIST_NAME), collector=collector, code=code)
    for line in judged.lines:
        print(line)
    return judged.code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
