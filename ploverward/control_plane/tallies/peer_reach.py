"""Which core nodes are out of reach, so that adds are acknowledged without them (docs/tallies.md 5).

A peer is out of reach once it was silent for some intervals, or answered none of the probes that are sent while adds
wait: where packets pass in one direction only, a peer is heard for long that hears nothing. Probes are answered
whatever the peer's disk does.

Both are counted in intervals of this process, not by the clock: a process that was frozen finds all its connections
silent for long, and none of its peers is away for that.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection

SILENT_INTERVALS = 3  # heartbeat intervals, as in a peer time-out
FIRST_SILENT_INTERVALS = 9  # of a peer that this process never heard of: it may be starting, as after a loss of all


class PeerReach:
    """Counts for how long each expected core node has been silent.

    Args:
        expected: Returns the addresses of the other core nodes of the set.
        last_received_at: Returns when a core node was last heard of on its open connection; None without one.
        probe: Sends a core node something that it answers at once.
    """

    def __init__(
        self,
        *,
        expected: Callable[[], Collection[str]],
        last_received_at: Callable[[str], float | None],
        probe: Callable[[str], object],
    ) -> None:
        self._expected = expected
        self._heard_at = last_received_at
        self._probe = probe
        self._open_probes: set[str] = set()
        self._unanswered_probes: dict[str, int] = {}
        self._last_heard_at: dict[str, float] = {}
        self._silent_intervals: dict[str, int] = {}

    def tick(self, *, is_waiting: bool) -> None:
        """To be called at each heartbeat interval; `is_waiting`: whether adds wait, so that peers are probed."""
        for address in self._expected():
            self._count_probe(address, is_waiting)
            last_received_at = self._heard_at(address)
            if last_received_at is not None and last_received_at != self._last_heard_at.get(address):
                self._last_heard_at[address] = last_received_at
                self._silent_intervals[address] = 0
            else:
                self._silent_intervals[address] = self._silent_intervals.get(address, 0) + 1

    def _count_probe(self, address: str, is_waiting: bool) -> None:
        if address in self._open_probes:
            self._unanswered_probes[address] = self._unanswered_probes.get(address, 0) + 1
        if is_waiting:
            self._open_probes.add(address)
            self._probe(address)

    def handle_answer(self, address: str) -> None:
        """A peer answered a probe."""
        self._open_probes.discard(address)
        self._unanswered_probes.pop(address, None)

    def in_reach(self) -> list[str]:
        """Returns the expected core nodes that are in reach, or may be."""
        return [address for address in self._expected() if not self.is_out_of_reach(address)]

    def is_out_of_reach(self, address: str) -> bool:
        """Whether a core node has been silent for so long that nothing waits for it."""
        limit = SILENT_INTERVALS if address in self._last_heard_at else FIRST_SILENT_INTERVALS
        intervals = max(self._silent_intervals.get(address, 0), self._unanswered_probes.get(address, 0))
        return intervals >= limit
