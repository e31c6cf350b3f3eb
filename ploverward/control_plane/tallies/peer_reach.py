"""Detection of core nodes that are out of reach, so that adds are acknowledged without them (docs/tallies.md 5).

A peer is out of reach once nothing was received from it for some heartbeat intervals, or once it left the probes
unanswered that are sent while adds or reads wait. Silence is not the only sign: where packets pass in one direction
only, a peer that receives nothing can go on sending for a long time. A peer answers probes even while its disk stalls.

Both are counted in heartbeat intervals of this process, not by the clock: a process that was frozen finds all its
connections silent for a long time, although none of its peers is out of reach.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection

SILENT_INTERVALS = 3  # as many heartbeat intervals as the peer timeout has
# The limit for a peer from which this process never received anything. It is longer because the peer may still be
# starting, for example after all nodes were down.
FIRST_SILENT_INTERVALS = 9


class PeerReach:
    """Counts for how long each expected core node has been silent.

    Args:
        expected: Returns the addresses of the other core nodes of the set.
        last_received_at: Returns when data was last received from a core node on its open connection; None without one.
        probe: Sends a core node a message that it answers at once.
    """

    def __init__(
        self,
        *,
        expected: Callable[[], Collection[str]],
        last_received_at: Callable[[str], float | None],
        probe: Callable[[str], object],
    ) -> None:
        self._expected = expected
        self._last_received_at = last_received_at
        self._probe = probe
        self._open_probes: set[str] = set()
        self._unanswered_probes: dict[str, int] = {}
        self._previous_received_at: dict[str, float] = {}
        self._silent_intervals: dict[str, int] = {}

    def tick(self, *, is_waiting: bool) -> None:
        """Updates the counts; to be called at each heartbeat interval.

        Args:
            is_waiting: Whether adds or reads wait, so that peers are probed.
        """
        for address in self._expected():
            self._count_probe(address, is_waiting)
            received_at = self._last_received_at(address)
            if received_at is not None and received_at != self._previous_received_at.get(address):
                self._previous_received_at[address] = received_at
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
        """Records that a peer answered a probe."""
        self._open_probes.discard(address)
        self._unanswered_probes.pop(address, None)

    def in_reach(self) -> list[str]:
        """Returns the expected core nodes that are not known to be out of reach."""
        return [address for address in self._expected() if not self.is_out_of_reach(address)]

    def is_out_of_reach(self, address: str) -> bool:
        """Returns whether a core node has been silent for so long that no add or read waits for it any more."""
        limit = SILENT_INTERVALS if address in self._previous_received_at else FIRST_SILENT_INTERVALS
        intervals = max(self._silent_intervals.get(address, 0), self._unanswered_probes.get(address, 0))
        return intervals >= limit
