"""Decides whether the replies to a quorum read show a chosen value (docs/register.md 1), without I/O.

If a majority of the set in force accepted the highest ballot seen, that value is chosen, so that a read needs no
promises.
"""

import collections.abc
import enum
import typing

from ploverward.common.identifiers import NO_BALLOT
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import known_sets
from ploverward.control_plane.consensus.register_state import NO_VALUE
from ploverward.control_plane.consensus.register_state import AcceptedValue


class Verdict(enum.Enum):
    """The result of evaluating the replies received so far."""

    INCOMPLETE = "incomplete"  # further replies may decide the read
    EMPTY = "empty"  # no value was chosen
    CHOSEN = "chosen"
    UNDECIDED = "undecided"  # only a proposal with a ballot of this node can decide the value


class QuorumReadResult(typing.NamedTuple):
    """The verdict, and the value if one is chosen."""

    verdict: Verdict
    chosen: AcceptedValue = NO_VALUE


def evaluate(
    *,
    replies: collections.abc.Mapping[str, AcceptedValue],
    members: tuple[str, ...],
    known_revision: int,
) -> QuorumReadResult:
    """Evaluates the replies received so far.

    Args:
        replies: member to its accepted value.
        members: the set in force, as this node knew it when the read began.
        known_revision: the revision of the chosen value that this node knew when the read began.

    Returns:
        The verdict, with the chosen value if the verdict is `Verdict.CHOSEN`.
    """
    if not ballots.has_majority(of=members, among=replies):
        return QuorumReadResult(Verdict.INCOMPLETE)
    highest = max(replies.values(), key=lambda reply: reply.ballot)
    if highest.ballot == NO_BALLOT:
        return QuorumReadResult(Verdict.EMPTY)
    has_value = {member for member, reply in replies.items() if reply.ballot == highest.ballot}
    is_same_set = ballots.members_of(highest.value) == members
    if (
        is_same_set
        and known_sets.is_chosen_set(value=highest.value, known_revision=known_revision)
        and ballots.has_majority(of=members, among=has_value)
    ):
        return QuorumReadResult(Verdict.CHOSEN, highest)
    if not is_same_set or len(replies) == len(members):
        return QuorumReadResult(Verdict.UNDECIDED)
    return QuorumReadResult(Verdict.INCOMPLETE)
