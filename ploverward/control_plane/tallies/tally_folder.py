"""When the ids of old adds are forgotten, so that memory and disk stay bounded (docs/tallies.md 6).

Nothing is folded while there are few ids. Above that, an add is folded once three things hold:

* It was here for `RETRY_HORIZON_S`, which is longer than any caller sends the same add again.
* Each member has it on its disk, as it told on its present connection. A member that is away holds this up; one that
  was removed from the set does not.
* This node has all that those members had when they told so. So if a member took the same id before the add reached
  it, that place is known here, and none comes later.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection

from ploverward.control_plane.tallies import tally_state
from ploverward.transport.messages import TallyLogName

RETRY_HORIZON_S = 120.0  # a caller repeats for its deadline, an operator for receiptMs: seconds, both
CHECKPOINT_INTERVAL_S = 15.0


class FoldScheduler:
    """Folds old adds of a state.

    Args:
        state: What is folded.
        now: The clock, in seconds.
        max_kept: How many ids and names are kept without folding.
        member_positions: Returns the positions on the disk of each member, this node included; None where one of them
            is not connected.
    """

    def __init__(
        self,
        *,
        state: tally_state.TallyState,
        now: Callable[[], float],
        max_kept: int,
        member_positions: Callable[[], Collection[tally_state.Positions] | None],
    ) -> None:
        self._state = state
        self._now = now
        self._max_kept = max_kept
        self._member_positions = member_positions
        self._checkpoints: collections.deque[tuple[float, tally_state.Positions]] = collections.deque()

    def tick(self) -> None:
        """To be called at each heartbeat interval."""
        now = self._now()
        if not self._checkpoints or now - self._checkpoints[-1][0] >= CHECKPOINT_INTERVAL_S:
            self._checkpoints.append((now, self._state.positions()))
        old: tally_state.Positions | None = None
        while self._checkpoints and now - self._checkpoints[0][0] >= RETRY_HORIZON_S:
            _at, old = self._checkpoints.popleft()
        if old is not None:
            self._fold(old)

    def _fold(self, old: tally_state.Positions) -> None:
        if self._state.size <= self._max_kept:
            return
        members = self._member_positions()
        if not members or not all(self._state.has(positions) for positions in members):
            return
        for log, position in old.items():
            self._state.fold(log=log, up_to=_least(log, position, members))


def _least(log: TallyLogName, position: int, members: Collection[tally_state.Positions]) -> int:
    return min(position, *(positions.get(log, 0) for positions in members))
