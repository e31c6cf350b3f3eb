"""Faults that mutants put into the code for the time of a search."""

import contextlib

from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up as catch_ups
from ploverward.transport import messages


@contextlib.contextmanager
def majority_check_skipped(members: tuple):
    """Planted fault: nobody asks for a majority of this set."""
    real = ballots.has_majority

    def faulty(*, of, among) -> bool:
        return set(of) == set(members) or real(of=of, among=among)

    ballots.has_majority = faulty
    try:
        yield
    finally:
        ballots.has_majority = real


@contextlib.contextmanager
def previous_set_skipped():
    """Planted fault: of a value found, only its own set counts, not the one before it."""
    real = ballots.member_sets
    ballots.member_sets = lambda value: real(value)[-1:]
    try:
        yield
    finally:
        ballots.member_sets = real


class ForgetfulAcceptor(acceptors.Acceptor):
    """Planted fault: an accept is taken whichever incarnation promised."""

    def accept(self, request: messages.Accept) -> acceptors.Decision:
        return super().accept(request._replace(incarnation=self.incarnation))


class UnfencedCatchUp(catch_ups.LearnerCatchUp):
    """Planted fault: takes the rows as they are told, without a fence."""

    def _raise_fence(self) -> None:
        self.stage = catch_ups.Stage.DONE


class SingleNodeCatchUp(catch_ups.LearnerCatchUp):
    """Planted fault: one answer is enough."""

    def has_enough(self) -> bool:
        return bool(self.answers)


CATCH_UPS = {"real": catch_ups.LearnerCatchUp, "plain": UnfencedCatchUp, "single": SingleNodeCatchUp}
