"""Runs Python programs in a subprocess with a fixed hash seed, so that sets of strings have one order.

Thus a seed of a simulation determines one history, whichever hash seed the process of the tests has.
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
