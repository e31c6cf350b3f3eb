"""Adapter to the code under test: constructors, messages and values.

The rest of this package builds acceptors, proposers and values through this module, so that a change to the code under
test needs an update in one place only.
"""

import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus.acceptor import Acceptor
from ploverward.control_plane.consensus.catch_up import LearnerCatchUp
from ploverward.control_plane.consensus.proposer import Proposer
from ploverward.simulation.model_checker import faults
from ploverward.simulation.model_checker.outside import Port
from ploverward.transport import messages

REGISTER = "r"
FIRST_TAG = "v"
FIRST_BALLOT = Ballot(1, "first")
NO_PROPOSER = ""  # in an `Item`, replaces the name of a proposer that no longer runs
CALL_ENDED = -1  # in `State.begin_revisions`, replaces the revision of a call that has ended

# Timeouts of a proposer. The clock of a port stands still, so these values only have to be positive.
LIMIT_S = 1.0
ATTEMPT_TIMEOUT_S = 0.5

Request = messages.Prepare | messages.Accept | messages.QuorumRead
Answer = messages.Promise | messages.Accepted | messages.QuorumReadReply


class Reply(typing.NamedTuple):
    """An answer in flight, in scenarios where a request and its answer are separate steps."""

    message: Answer


class Item(typing.NamedTuple):
    """A message in flight between a proposer and a node. Nodes send `Reply`, proposers all other messages."""

    proposer: str
    node: str
    message: Request | Reply


def make_value(*, members: tuple[str, ...], tags: tuple[str, ...], previous: tuple[str, ...] = ()) -> bytes:
    """Returns a value that consists of tags. With `previous`, it is the value that began a move from that set."""
    if not previous:
        return ballots.pack(members=members, payload=list(tags))
    return ballots.pack(members=members, payload=list(tags), previous=previous, moved_at=len(tags))


def tags_of(value: bytes) -> tuple[str, ...]:
    """Returns the tags that a value consists of, in the order of its changes."""
    return tuple(ballots.unpack(value)[1])


def members_of(value: bytes) -> tuple[str, ...]:
    """Returns the member set that a value is stored under."""
    return ballots.unpack(value)[0]


def learn_chosen(proposer: Proposer, value: bytes) -> None:
    """Tells a proposer of a chosen value, as `ConsensusNode.publish` does."""
    proposer.known_sets.learn_chosen(register=REGISTER, revision=len(tags_of(value)), value=value)


def learn_accepted(proposer: Proposer, value: bytes) -> None:
    """Tells a proposer of a value accepted on its own disk, as `ConsensusNode` does at startup."""
    proposer.known_sets.learn_accepted(register=REGISTER, value=value)


def make_catch_up(*, own: str, kind: str) -> LearnerCatchUp:
    """Returns the catch-up of a wiped node.

    Args:
        own: the name of the node.
        kind: a key of `faults.CATCH_UPS`.
    """
    return faults.CATCH_UPS[kind](own=own, registers=(REGISTER,))


def answer_catch_up(acceptor: Acceptor, request: messages.CatchUpRequest) -> tuple[messages.RegisterRow, ...]:
    """Returns the rows that `ConsensusNode._handle_catch_up_request` replies with, with all values in them.

    As there, the fences are promised before the rows are read.
    """
    for fence in request.fences:
        if fence.fence.number:
            acceptor.fence(name=fence.register, ballot=fence.fence)
    return acceptor.rows()


def deliver_answer(proposer: Proposer, member: str, answer: Answer) -> None:
    """Passes an acceptor's answer to the proposer method for its type."""
    if isinstance(answer, messages.Promise):
        proposer.handle_promise(member, answer)
    elif isinstance(answer, messages.QuorumReadReply):
        proposer.handle_quorum_read_reply(member, answer)
    else:
        proposer.handle_accepted(member, answer)


def make_proposer(*, own: str, port: Port, seeds: tuple[str, ...], is_naming: bool) -> Proposer:
    """Returns a proposer whose environment is a port.

    Args:
        own: its unique name.
        port: collects its messages, timers and events.
        seeds: the member set in force before any value was chosen.
        is_naming: whether its requests name the value that its node holds, so that answers leave it out.
    """
    return Proposer(
        own=own,
        seeds=seeds,
        send=port.send,
        later=port.later,
        now=port.now,
        chance=port.chance,
        on_chosen=port.on_chosen,
        accepted_value=port.accepted_value if is_naming else None,
        limit_s=LIMIT_S,
        attempt_timeout_s=ATTEMPT_TIMEOUT_S,
    )


def copy_acceptor(old: Acceptor) -> Acceptor:
    """Returns an acceptor in the same state; the rows are immutable and shared."""
    new = Acceptor(incarnation=old.incarnation)
    new.states = dict(old.states)
    return new


def acceptor_form(acceptor: Acceptor) -> tuple:
    """Returns a canonical form of an acceptor."""
    return (acceptor.incarnation, tuple(sorted(acceptor.states.items())))
