"""Seeded bugs that mutants patch into the code for the duration of a search."""

import collections.abc
import contextlib

from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up as catch_ups
from ploverward.transport import messages


@contextlib.contextmanager
def majority_check_skipped(members: tuple[str, ...]) -> collections.abc.Iterator[None]:
    """Seeded bug: a majority of this set is never required."""
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
    """Seeded bug: for an accepted value, only its own set is considered, not the set before the move."""
    real = ballots.member_sets
    ballots.member_sets = lambda value: real(value)[-1:]
    try:
        yield
    finally:
        ballots.member_sets = real


class IncarnationBlindAcceptor(acceptors.Acceptor):
    """Seeded bug: accepts a value although another incarnation of the node made the promise."""

    def accept(self, request: messages.Accept) -> acceptors.AcceptorResult:
        """Handles the request as if this incarnation had made the promise."""
        return super().accept(request._replace(incarnation=self.incarnation))


class UnfencedCatchUp(catch_ups.LearnerCatchUp):
    """Seeded bug: adopts the rows of the first answers and skips the fence stage."""

    def _begin_fence_stage(self) -> None:
        self.stage = catch_ups.Stage.DONE


class SingleNodeCatchUp(catch_ups.LearnerCatchUp):
    """Seeded bug: a single answer completes a stage."""

    def has_enough_replies(self) -> bool:
        """Returns whether any node answered."""
        return bool(self.replies)


# Catch-up classes by the names that scenarios use.
CATCH_UPS: dict[str, type[catch_ups.LearnerCatchUp]] = {
    "real": catch_ups.LearnerCatchUp,
    "plain": UnfencedCatchUp,
    "single": SingleNodeCatchUp,
}
