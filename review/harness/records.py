"""The record of a case: what was sent, answered and run, with the seconds since the start."""

from __future__ import annotations

import pathlib
import threading
import time


class Record:
    """Writes the lines of `record.txt`, also from threads.

    Args:
        path: The file, which is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Writes one line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()
