"""Runs the tests. Passes over just what KNOWN-RED.txt lists, prints it, and fails where a listed test passes."""

import os
import sys

import pytest

LIST_NAME = "KNOWN-RED.txt"


def read(*, path: str) -> dict:
    """One line each: test id, cause, issue, by ' | '."""
    listed = {}
    if os.path.exists(path):
        with open(path, encoding="utf-8") as handle:
            for line in handle:
                line = line.strip()
                if line and not line.startswith("#"):
                    test, cause, issue = (part.strip() for part in line.split("|"))
                    listed[test] = (cause, issue)
    return listed


class Judge:
    def __init__(self, *, listed: dict):
        self.listed = listed
        self.passed = set()
        self.failed = set()

    def pytest_runtest_logreport(self, report):
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.when == "call" and report.passed:
            self.passed.add(report.nodeid)


def verdict(*, listed: dict, passed: set, failed: set, code: int) -> tuple:
    """(exit code, lines to print)."""
    lines = [f"known red: {test}: {cause} ({issue})" for test, (cause, issue) in sorted(listed.items())]
    mended = sorted(set(listed) & passed - failed)
    absent = sorted(set(listed) - passed - failed)
    new = sorted(failed - set(listed))
    lines += [f"listed in {LIST_NAME} but passes: {test}" for test in mended]
    lines += [f"listed in {LIST_NAME} but did not run: {test}" for test in absent]
    if mended or absent or new:
        return 1, lines
    if code not in (0, 1):
        return code, lines
    return 0, lines


def main(argv) -> int:
    listed = read(path=LIST_NAME)
    judge = Judge(listed=listed)
    code = int(pytest.main(["-q", "pw", *argv], plugins=[judge]))
    result, lines = verdict(listed=listed, passed=judge.passed, failed=judge.failed, code=code)
    for line in lines:
        print(line)
    return result


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
