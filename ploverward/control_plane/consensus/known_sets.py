"""The core set in force for each register, as far as a proposer knows it (docs/register.md 2).

Invariant: only sets known to be chosen are recorded. A set that was merely accepted by some member may never be chosen,
and a majority of it need not overlap a majority of the set in force.
"""

from ploverward.control_plane.consensus import ballots


class KnownSets:
    """The newest core set of each register that is known to be chosen.

    Args:
        seeds: the set in force before any value was chosen; () if this node does not know one.

    Attributes:
        seeds: the given `seeds`.
        members_by_register: register to its newest set that is known to be chosen.
    """

    def __init__(self, *, seeds: tuple[str, ...]) -> None:
        self.seeds = tuple(seeds)
        self.members_by_register: dict[str, tuple[str, ...]] = {}
        # register: revision of the chosen value that the set is known from; 0 if only the set is known
        self._revisions: dict[str, int] = {}
        self._half_moved: set[str] = set()  # registers whose newest known value still names the previous set

    def members(self, register: str) -> tuple[str, ...]:
        """Returns the set in force, as far as it is known."""
        return self.members_by_register.get(register, self.seeds)

    def revision(self, register: str) -> int:
        """Returns the revision of the newest value known to be chosen, or 0."""
        return self._revisions.get(register, 0)

    def is_move_over(self, *, register: str, revision: int) -> bool:
        """Returns whether a value at or after this revision was chosen that no longer names the previous set."""
        return self.revision(register) >= revision and register not in self._half_moved

    def learn_chosen(self, *, register: str, revision: int, value: bytes) -> None:
        """Records that a value, and with it its set, was chosen; values older than the newest known one are ignored."""
        if revision >= self._revisions.get(register, 0):
            self._revisions[register] = revision
            self.members_by_register[register] = ballots.members_of(value)
            if ballots.is_moving(value):
                self._half_moved.add(register)
            else:
                self._half_moved.discard(register)

    def learn_accepted(self, *, register: str, value: bytes) -> None:
        """Records a value that was found accepted; if it is in a move, only the previous set is known to be chosen."""
        self.members_by_register[register] = ballots.member_sets(value)[0]
        self._revisions[register] = 0
        self._half_moved.add(register)


def is_chosen_set(*, value: bytes, known_revision: int) -> bool:
    """Returns whether the set of a value is chosen, for a proposer that knew a chosen value at this revision.

    The same nodes may form a set again later, so sets are distinguished by the revision of their move, not by their
    members: a chosen value at or after that revision was written after the move
    (`test_returning_set_is_not_treated_as_chosen_from_its_earlier_term`).
    """
    return known_revision >= ballots.moved_at(value)
