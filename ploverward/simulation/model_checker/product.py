"""What the model checker knows of the product: its constructors, messages and values.

Everything else in this package reaches acceptors, proposers and values through here, so that a change of the product
is followed in one place.
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
NO_PROPOSER = ""  # in place of a proposer that no longer runs
CALL_ENDED = -1  # in place of the revision at which a call began

# Of a proposer, in seconds. The clock of a port stands still, so only their being positive matters.
LIMIT_S = 1.0
ATTEMPT_TIMEOUT_S = 0.5

Request = messages.Prepare | messages.Accept | messages.QuorumRead
Answer = messages.Promise | messages.Accepted | messages.QuorumReadReply


class Reply(typing.NamedTuple):
    """An answer on its way, where requests and answers are apart."""

    message: Answer


class Item(typing.NamedTuple):
    """A message between a proposer and a node. The node sent a `Reply`, the proposer all else."""

    proposer: str
    node: str
    message: Request | Reply


def make_value(*, members: tuple[str, ...], tags: tuple[str, ...], previous: tuple[str, ...] = ()) -> bytes:
    """A value that consists of tags. With `previous` it is the one that began a move from that set."""
    if not previous:
        return ballots.pack(members=members, payload=list(tags))
    return ballots.pack(members=members, payload=list(tags), previous=previous, moved_at=len(tags))


def tags_of(value: bytes) -> tuple[str, ...]:
    """The tags that a value consists of, in the order of its changes."""
    return tuple(ballots.unpack(value)[1])


def members_of(value: bytes) -> tuple[str, ...]:
    """The set that a value stands under."""
    return ballots.unpack(value)[0]


def learn_chosen(proposer: Proposer, value: bytes) -> None:
    """What `ConsensusNode.publish` does with a chosen value."""
    proposer.known_sets.learn_chosen(register=REGISTER, revision=len(tags_of(value)), value=value)


def learn_accepted(proposer: Proposer, value: bytes) -> None:
    """What `ConsensusNode` does at a start with a value found accepted on its own disk."""
    proposer.known_sets.learn_accepted(register=REGISTER, value=value)


def make_catch_up(*, own: str, kind: str) -> LearnerCatchUp:
    """A catch-up of an emptied node.

    Args:
        own: the node.
        kind: a key of `faults.CATCH_UPS`.
    """
    return faults.CATCH_UPS[kind](own=own, registers=(REGISTER,))


def answer_catch_up(acceptor: Acceptor, request: messages.CatchUpRequest) -> tuple[messages.RegisterRow, ...]:
    """What `ConsensusNode._handle_catch_up_request` replies, with all values in the rows.

    The fences are promised before the rows are read, as there.
    """
    for fence in request.fences:
        if fence.fence.number:
            acceptor.fence(name=fence.register, ballot=fence.fence)
    return acceptor.rows()


def deliver_answer(proposer: Proposer, member: str, answer: Answer) -> None:
    """Gives an acceptor's answer to the method for its kind."""
    if isinstance(answer, messages.Promise):
        proposer.handle_promise(member, answer)
    elif isinstance(answer, messages.QuorumReadReply):
        proposer.handle_quorum_read_reply(member, answer)
    else:
        proposer.handle_accepted(member, answer)


def make_proposer(*, own: str, port: Port, seeds: tuple[str, ...], is_naming: bool) -> Proposer:
    """A proposer whose outside is a port.

    Args:
        own: its unique name.
        port: what it sends through.
        seeds: the set in force before any value was chosen.
        is_naming: whether it names the value that its node holds, so that answers leave it out.
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
    """An acceptor in the same state; the rows are immutable and shared."""
    new = Acceptor(incarnation=old.incarnation)
    new.states = dict(old.states)
    return new


def acceptor_form(acceptor: Acceptor) -> tuple:
    """A canonical form of an acceptor."""
    return (acceptor.incarnation, tuple(sorted(acceptor.states.items())))
