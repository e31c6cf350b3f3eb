"""Folds old adds into the totals and drops their ids, so that memory and disk stay bounded (docs/tallies.md 6).

Nothing is folded while the state keeps few ids. Above that threshold, an add is folded once three conditions hold:

* It has been in the state of this node for `RETRY_HORIZON_S`, which is longer than any caller retries the same add.
* Each member has it on its disk, as the member reported on its current connection. A disconnected member delays
  folding; one that was removed from the core set does not.
* This node has all adds that those members had when they reported. So if a member accepted the same id before the add
  reached it, that occurrence is known here, and no further one can appear later.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Collection

from ploverward.control_plane.tallies import tally_state
from ploverward.transport.messages import TallyLogName

# Upper bound for how long the same add is sent again: a caller retries until its deadline and an operator for
# `receiptMs`, and both are a matter of seconds.
RETRY_HORIZON_S = 120.0
CHECKPOINT_INTERVAL_S = 15.0  # between records of the positions, by which the age of adds is known


class FoldScheduler:
    """Folds the adds of a state once they meet the conditions above.

    Args:
        state: The tallies whose adds are folded.
        now: The clock, in seconds.
        max_kept: Number of ids and names of tallies up to which nothing is folded.
        member_positions: Returns the positions on the disk of each member, including this node; None while the
            positions of a member are unknown, for example because it is not connected.
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
        """Records a checkpoint when one is due and folds old adds; to be called at each heartbeat interval."""
        now = self._now()
        if not self._checkpoints or now - self._checkpoints[-1][0] >= CHECKPOINT_INTERVAL_S:
            self._checkpoints.append((now, self._state.positions()))
        old_positions: tally_state.Positions | None = None
        while self._checkpoints and now - self._checkpoints[0][0] >= RETRY_HORIZON_S:
            _at, old_positions = self._checkpoints.popleft()
        if old_positions is not None:
            self._fold(old_positions)

    def _fold(self, old_positions: tally_state.Positions) -> None:
        if self._state.size <= self._max_kept:
            return
        members = self._member_positions()
        if not members or not all(self._state.has_all(positions) for positions in members):
            return
        for log, position in old_positions.items():
            self._state.fold(log=log, up_to=_min_position(log, position, members))


def _min_position(log: TallyLogName, position: int, members: Collection[tally_state.Positions]) -> int:
    """Returns the position, or the lowest one that a member has in the log if that is lower."""
    return min(position, *(positions.get(log, 0) for positions in members))
