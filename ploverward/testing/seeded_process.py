"""Runs programs of this package in a process of their own, in which sets of strings have one order.

So a seed of a simulation names one history, whatever the process of the tests drew.
"""

import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 120


def run(*arguments: str) -> subprocess.CompletedProcess:
    """Runs Python with these arguments at the root of the repository, for at most `TIMEOUT_S` seconds."""
    return subprocess.run(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
