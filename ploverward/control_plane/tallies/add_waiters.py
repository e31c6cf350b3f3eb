"""Adds that wait until they are on enough disks, and when that is (docs/tallies.md 5)."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Collection

from ploverward.control_plane.tallies import tally_state
from ploverward.control_plane.tallies.tally_state import AddKey

Answer = Callable[[], object]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DurabilityView:
    """Who has what, at one moment.

    Attributes:
        own: Positions on this node's disk.
        peers: Positions on the disks of connected core nodes that stay, by address.
        in_reach: Addresses of the other members that are in reach, or may be.
        wanted_copies: On how many disks an add has to be while so many are in reach.
    """

    own: tally_state.Positions
    peers: dict[str, tally_state.Positions]
    in_reach: Collection[str]
    wanted_copies: int


def may_be_acknowledged(occurrences: Collection[tally_state.Occurrence], view: DurabilityView) -> bool:
    """Whether an add that stands at these places may be acknowledged.

    It may once it is on `wanted_copies` disks, or on this one and those of all members in reach.
    """
    is_own = _covers(view.own, occurrences)
    holders = {address for address, positions in view.peers.items() if _covers(positions, occurrences)}
    if len(holders) + is_own >= view.wanted_copies:
        return True
    return is_own and all(address in holders for address in view.in_reach)


def _covers(positions: tally_state.Positions, occurrences: Collection[tally_state.Occurrence]) -> bool:
    return any(positions.get(occurrence.log, 0) >= occurrence.position for occurrence in occurrences)


class AddWaiters:
    """The calls that wait for their add.

    Args:
        state: Where the adds are.
        view: Returns who has what now.
    """

    def __init__(self, *, state: tally_state.TallyState, view: Callable[[], DurabilityView]) -> None:
        self._state = state
        self._view = view
        self._answers: dict[AddKey, list[Answer]] = {}

    def __len__(self) -> int:
        """How many adds wait."""
        return len(self._answers)

    def wait(self, *, key: AddKey, answer: Answer) -> None:
        """Has `answer` called once, when the add is safe."""
        self._answers.setdefault(key, []).append(answer)

    def forget(self, *, key: AddKey, answer: Answer) -> None:
        """Takes a `wait` back, as its caller has left."""
        answers = self._answers.get(key, [])
        if answer in answers:
            answers.remove(answer)
        if not answers:
            self._answers.pop(key, None)

    def check(self) -> None:
        """Answers what is safe now. To be called whenever some node has more on its disk, or falls out of reach."""
        if not self._answers:
            return
        view = self._view()
        safe = [key for key in self._answers if may_be_acknowledged(self._state.places_of(key), view)]
        for key in safe:
            for answer in self._answers.pop(key):
                answer()
