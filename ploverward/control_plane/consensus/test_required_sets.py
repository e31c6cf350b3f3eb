"""The sets of which an attempt needs a majority: the one known as chosen, and those of the newest value found."""

import pytest

from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import proposer as proposers
from ploverward.transport import messages

OLDER, NEWER = ("a", "b", "c", "x", "y"), ("a", "b", "c", "d", "e")
MOVING = messages.Promise(
    number=0,
    register="duty",
    is_granted=True,
    incarnation="1",
    promised=NO_BALLOT,
    accepted=Ballot(3, "y/1"),
    revision=4,
    value=ballots.pack(members=NEWER, payload=1, previous=OLDER, moved_at=4),
)
MOVED = MOVING._replace(accepted=Ballot(4, "y/1"), value=ballots.pack(members=NEWER, payload=1))


class ProposerHarness:
    """One attempt of node a, which knows the newer set as chosen; x and y are lost permanently."""

    def __init__(self):
        self.sent = []
        self.proposer = proposers.Proposer(
            own="a/1",
            seeds=NEWER,
            send=lambda member, message: self.sent.append((member, message)),
            later=lambda _delay, _callback: None,
            now=lambda: 0.0,
            chance=lambda: 0.5,
            on_chosen=lambda *_row: None,
            limit_s=2.5,
            attempt_timeout_s=0.5,
        )
        self.proposer.change(name="duty", edit=lambda payload: (payload + 1, None), done=lambda *_row: None)

    def of_type(self, message_type):
        return {member: message for member, message in self.sent if isinstance(message, message_type)}

    def promise(self, member, reply):
        prepare = self.of_type(messages.Prepare)[member]
        self.proposer.handle_promise(member, reply._replace(number=prepare.number, promised=prepare.ballot))


@pytest.mark.parametrize("replies", [(MOVING, MOVING, MOVED), (MOVED, MOVING, MOVING), (MOVING, MOVED, MOVING)])
def test_one_promise_with_the_finished_move_makes_the_older_set_unnecessary_in_any_order(replies):
    """Guards against a register that is blocked after losing two of the three members with the finished move.

    Found by seeds 520255 and 530734 of the simulation.
    """
    harness = ProposerHarness()
    for member, reply in zip("ade", replies, strict=True):
        harness.promise(member, reply)
    assert harness.of_type(messages.Accept).keys() == {"a", "d", "e"}


def test_unfinished_move_requires_a_majority_of_the_older_set_too():
    harness = ProposerHarness()
    for member in "ade":
        harness.promise(member, MOVING)
    assert harness.of_type(messages.Prepare).keys() == {*NEWER, "x", "y"}
    assert not harness.of_type(messages.Accept)
    harness.promise("b", MOVING)
    assert not harness.of_type(messages.Accept)
    harness.promise("c", MOVING)
    assert harness.of_type(messages.Accept).keys() == set(NEWER)
