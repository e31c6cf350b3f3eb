"""Seeded bugs that mutants put into the code for the time of a search."""

import collections.abc
import contextlib

from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up as catch_ups
from ploverward.transport import messages


@contextlib.contextmanager
def majority_check_skipped(members: tuple[str, ...]) -> collections.abc.Iterator[None]:
    """Seeded bug: nobody asks for a majority of this set."""
    real = ballots.has_majority

    def faulty(*, of: collections.abc.Collection[str], among: collections.abc.Container[str]) -> bool:
        return set(of) == set(members) or real(of=of, among=among)

    ballots.has_majority = faulty
    try:
        yield
    finally:
        ballots.has_majority = real


@contextlib.contextmanager
def previous_set_skipped() -> collections.abc.Iterator[None]:
    """Seeded bug: of a value found, only its own set counts, not the one before it."""
    real = ballots.member_sets
    ballots.member_sets = lambda value: real(value)[-1:]
    try:
        yield
    finally:
        ballots.member_sets = real


class IncarnationBlindAcceptor(acceptors.Acceptor):
    """Seeded bug: an accept is accepted whichever incarnation promised."""

    def accept(self, request: messages.Accept) -> acceptors.AcceptorResult:
        """Accepts as if this incarnation had promised."""
        return super().accept(request._replace(incarnation=self.incarnation))


class UnfencedCatchUp(catch_ups.LearnerCatchUp):
    """Seeded bug: takes over the rows as they are answered, without a fence."""

    def _begin_fence_stage(self) -> None:
        self.stage = catch_ups.Stage.DONE


class SingleNodeCatchUp(catch_ups.LearnerCatchUp):
    """Seeded bug: one answer is enough."""

    def has_enough_replies(self) -> bool:
        """Whether any node answered."""
        return bool(self.replies)


# Name in a scenario to the class.
CATCH_UPS: dict[str, type[catch_ups.LearnerCatchUp]] = {
    "real": catch_ups.LearnerCatchUp,
    "plain": UnfencedCatchUp,
    "single": SingleNodeCatchUp,
}
