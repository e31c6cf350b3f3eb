"""The stand-in platform's side of roll-outs: starts replicas of a new version when one is ordered, and stops the others.

What a version does is in its name: `v2` is good; `v2-errors`, `v2-slow`, `v2-route` (on /chat/ alone) and `v2-late` (from
LATE_S after its start) are bad in half of their answers.
"""

import json
import urllib.error
import urllib.request

LATE_S = 3.0
BAD_SHARE = 0.5
SLOW_TIMES = 8.0
DRAIN_S = 4.0
POLL_S = 0.5


def is_bad(*, edition: str, target: bytes, age_s: float, chance: float) -> bool:
    """Whether this answer of a replica of this version is one of the bad ones."""
    kind = edition.partition("-")[2]
    if not kind or chance >= BAD_SHARE:
        return False
    if kind == "route":
        return target.startswith(b"/chat/")
    return kind != "late" or age_s >= LATE_S


def is_slow(edition: str) -> bool:
    """Whether a bad answer of this version comes slowly; else it fails."""
    return edition.endswith("-slow")


class FakeVersions:
    """Follows the core's roll-outs. `start` (edition) starts replicas, `drain` (edition) marks them as leaving, `stop` (is_gone) ends
    those of whose edition is_gone says so."""

    def __init__(self, *, loop, core: str, service: str, start, drain, stop):
        self._loop = loop
        self._url = f"http://{core}/ploverward/rollouts/{service}"
        self._start = start
        self._drain = drain
        self._stop = stop
        self._seen = (0, "")  # number of the order, and its condition, that was acted on
        self._loop.after(delay=POLL_S, callback=self._poll)

    def _poll(self) -> None:
        self._loop.offload(work=self._read, done=self._take)

    def _read(self):
        try:
            with urllib.request.urlopen(self._url, timeout=2) as reply:
                return json.load(reply)
        except (urllib.error.URLError, OSError, ValueError):
            return None

    def _take(self, future) -> None:
        self._loop.after(delay=POLL_S, callback=self._poll)
        row = future.result()
        if row is None:
            return
        seen = (row["number"], row["condition"])
        if seen == self._seen:
            return
        is_new = row["number"] != self._seen[0]
        self._seen = seen
        target = row["targetEdition"]
        if is_new and row["condition"] == "in_service":
            self._start(target)
        elif row["condition"] == "delivered":
            self._stop(lambda edition: edition != target)
        elif row["condition"] == "returned":
            self._drain(target)
            self._loop.after(delay=DRAIN_S, callback=lambda: self._stop(lambda edition: edition == target))
