"""Acknowledgement of adds: the rule for when an add is on enough disks, and the calls that wait for it.

See docs/tallies.md 5.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Collection

from ploverward.control_plane.tallies import tally_state
from ploverward.control_plane.tallies.tally_state import AddKey

AnswerCallback = Callable[[], object]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DurabilityView:
    """The positions that are durable on each node at one moment.

    Attributes:
        own: Positions on this node's disk.
        peers: Positions on the disks of connected core nodes that are not shutting down, by address.
        in_reach: Addresses of the other members that are neither known to be out of reach nor shutting down.
        wanted_copies: Number of disks that an add has to be on while that many are in reach.
    """

    own: tally_state.Positions
    peers: dict[str, tally_state.Positions]
    in_reach: Collection[str]
    wanted_copies: int


def may_be_acknowledged(occurrences: Collection[tally_state.Occurrence], view: DurabilityView) -> bool:
    """Returns whether an add with these occurrences may be acknowledged.

    It may be once it is on `wanted_copies` disks, or on the disks of this node and of all members in reach.
    """
    is_on_own_disk = _covers(view.own, occurrences)
    holders = {address for address, positions in view.peers.items() if _covers(positions, occurrences)}
    if len(holders) + is_on_own_disk >= view.wanted_copies:
        return True
    return is_on_own_disk and all(address in holders for address in view.in_reach)


def _covers(positions: tally_state.Positions, occurrences: Collection[tally_state.Occurrence]) -> bool:
    return any(positions.get(occurrence.log, 0) >= occurrence.position for occurrence in occurrences)


class AddWaiters:
    """The calls that wait until their add may be acknowledged.

    Args:
        state: The tallies of this node, which hold the adds.
        view: Returns the positions that are durable on each node now.
    """

    def __init__(self, *, state: tally_state.TallyState, view: Callable[[], DurabilityView]) -> None:
        self._state = state
        self._view = view
        self._answers: dict[AddKey, list[AnswerCallback]] = {}

    def __len__(self) -> int:
        """Returns the number of adds that wait."""
        return len(self._answers)

    def wait(self, *, key: AddKey, answer: AnswerCallback) -> None:
        """Registers `answer` to be called once, when the add may be acknowledged."""
        self._answers.setdefault(key, []).append(answer)

    def cancel(self, *, key: AddKey, answer: AnswerCallback) -> None:
        """Cancels a `wait` whose caller has disconnected."""
        answers = self._answers.get(key, [])
        if answer in answers:
            answers.remove(answer)
        if not answers:
            self._answers.pop(key, None)

    def check(self) -> None:
        """Calls the callbacks of all adds that may be acknowledged now.

        To be called whenever the durable positions of a node grow or a node goes out of reach.
        """
        if not self._answers:
            return
        view = self._view()
        durable_keys = [key for key in self._answers if may_be_acknowledged(self._state.occurrences_of(key), view)]
        for key in durable_keys:
            for answer in self._answers.pop(key):
                answer()
