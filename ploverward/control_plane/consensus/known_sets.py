"""The core set in force of each register, as far as a proposer knows it (docs/register.md 2).

Invariant: only sets of chosen values are recorded. A set that was merely accepted somewhere may never be chosen, and
a majority of it need not overlap a majority of the set in force.
"""

from ploverward.control_plane.consensus import ballots


class KnownSets:
    """The newest set of each register that is known to be chosen.

    Args:
        seeds: the set in force before any value was chosen; () where this node does not know one.

    Attributes:
        seeds: as above.
        members_by_register: register to its newest chosen set.
    """

    def __init__(self, *, seeds: tuple[str, ...]) -> None:
        self.seeds = tuple(seeds)
        self.members_by_register: dict[str, tuple[str, ...]] = {}
        # register: revision of the chosen value that the set is known from; 0 where only the set is known
        self._revisions: dict[str, int] = {}
        self._half_moved: set[str] = set()  # registers whose newest chosen value still names the set before its own

    def members(self, register: str) -> tuple[str, ...]:
        """The set in force, as far as it is known."""
        return self.members_by_register.get(register, self.seeds)

    def revision(self, register: str) -> int:
        """The revision of the newest value known to be chosen, or 0."""
        return self._revisions.get(register, 0)

    def is_move_over(self, *, register: str, revision: int) -> bool:
        """Whether a value at or after this revision was chosen that no longer names the set before its own."""
        return self.revision(register) >= revision and register not in self._half_moved

    def learn_chosen(self, *, register: str, revision: int, value: bytes) -> None:
        """This value was chosen, and so is its set."""
        if revision >= self._revisions.get(register, 0):
            self._revisions[register] = revision
            self.members_by_register[register] = ballots.members_of(value)
            if ballots.is_moving(value):
                self._half_moved.add(register)
            else:
                self._half_moved.discard(register)

    def learn_accepted(self, *, register: str, value: bytes) -> None:
        """This value was found accepted; only the set before a move is known to be chosen."""
        self.members_by_register[register] = ballots.member_sets(value)[0]
        self._revisions[register] = 0
        self._half_moved.add(register)


def is_chosen_set(*, value: bytes, known_revision: int) -> bool:
    """Whether the set of a value is chosen, for a proposer that knew a chosen value at this revision.

    The same machines may form a set twice, so a set is known by the revision of its move: a chosen value at or after
    that revision was written after the move
    (`test_returning_set_is_not_treated_as_chosen_from_its_earlier_term`).
    """
    return known_revision >= ballots.moved_at(value)
