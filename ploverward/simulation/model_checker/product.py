"""What the model checker knows of the product: its constructors, messages and values."""

import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import proposer as proposers
from ploverward.simulation.model_checker import faults
from ploverward.transport import messages

REGISTER = "r"
FIRST_TAG = "v"
FIRST_BALLOT = Ballot(1, "first")
NOBODY = ""  # in place of a proposer whose life is over
OVER = -1  # in place of the revision at which a call began


def make_value(*, members: tuple, tags: tuple, previous: tuple = ()) -> bytes:
    """With `previous`, the value is the one that began a move from that set."""
    if not previous:
        return ballots.pack(members=members, payload=list(tags))
    return ballots.pack(members=members, payload=list(tags), previous=previous, moved_at=len(tags))


def tags_of(value: bytes) -> tuple:
    return tuple(ballots.unpack(value)[1])


def set_of(value: bytes) -> tuple:
    return ballots.unpack(value)[0]


def learn_chosen(proposer, value: bytes) -> None:
    """What `ConsensusNode.publish` does with a chosen value."""
    proposer.known_sets.learn_chosen(register=REGISTER, revision=len(tags_of(value)), value=value)


def learn_accepted(proposer, value: bytes) -> None:
    """What `ConsensusNode` does at a start with a value found accepted on its own disk."""
    proposer.known_sets.learn_accepted(register=REGISTER, value=value)


def make_catch_up(*, own: str, kind: str):
    return faults.CATCH_UPS[kind](own=own, registers=(REGISTER,))


def answer_catch_up(acceptor, request: tuple) -> tuple:
    """What `ConsensusNode._handle_catch_up_request` tells: what is asked to be promised is promised first. All rows are told whole."""
    for fence in request.fences:
        if fence.fence.number:
            acceptor.fence(name=fence.register, ballot=fence.fence)
    return acceptor.rows()


def hand_answer(proposer, member: str, answer: tuple) -> None:
    if isinstance(answer, messages.Promise):
        proposer.handle_promise(member, answer)
    elif isinstance(answer, messages.QuorumReadReply):
        proposer.handle_quorum_read_reply(member, answer)
    else:
        proposer.handle_accepted(member, answer)


def make_proposer(*, own: str, port, seeds: tuple, is_naming: bool):
    return proposers.Proposer(
        own=own,
        seeds=seeds,
        send=port.send,
        later=port.later,
        now=port.now,
        chance=port.chance,
        on_chosen=port.on_chosen,
        accepted_value=port.accepted_value if is_naming else None,
        limit_s=1.0,
        attempt_timeout_s=0.5,
    )


def copy_acceptor(old):
    new = acceptors.Acceptor(incarnation=old.incarnation)
    new.states = dict(old.states)
    return new


def acceptor_form(acceptor) -> tuple:
    return (acceptor.incarnation, tuple(sorted(acceptor.states.items())))


class Reply(typing.NamedTuple):
    """An answer on its way, where requests and answers are apart."""

    message: tuple
