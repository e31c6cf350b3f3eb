"""Computes the value that a proposer writes in phase 2 from the value that it found (docs/register.md 2), without I/O.

A value names its core set, and also the previous set until its own is known to be chosen. Moves are sequential: a move
that is found incomplete is proposed again, and chosen, before the next move is proposed.
"""

from ploverward.common import errors
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import known_sets
from ploverward.control_plane.consensus.proposal import NextValue
from ploverward.control_plane.consensus.proposal import Proposal
from ploverward.control_plane.consensus.register_state import AcceptedValue


def choose(proposal: Proposal) -> NextValue:
    """Returns the value for phase 2 of an attempt.

    Args:
        proposal: a proposal that has finished phase 1, with `highest`, the value found, and `known_set`.
    """
    found = proposal.highest
    members = chosen_set = proposal.known_set
    payload = None
    if found.value:
        members, payload = ballots.unpack(found.value)
        is_chosen = known_sets.is_chosen_set(value=found.value, known_revision=proposal.known_revision)
        chosen_set = members if is_chosen else ballots.member_sets(found.value)[0]
    new_set = tuple(proposal.next_set) if proposal.next_set is not None else members
    if new_set != members and chosen_set != members:
        return NextValue(
            revision=found.revision, payload=payload, members=members, value=found.value, is_older_move=True
        )
    result = None
    new_payload = payload
    if proposal.edit is not None:
        try:
            new_payload, result = proposal.edit(payload)
        except errors.PloverwardError as error:
            return _found_value(found, chosen_set=chosen_set, payload=payload, error=error)
    if new_payload is payload and new_set == members:
        return _found_value(found, chosen_set=chosen_set, payload=payload, result=result)
    revision = found.revision + 1
    previous: tuple[str, ...] = ()
    moved_at = 0
    if new_set != members:
        previous, moved_at = members, revision
    elif chosen_set != members:
        previous, moved_at = chosen_set, ballots.moved_at(found.value)
    value = ballots.pack(members=new_set, payload=new_payload, previous=previous, moved_at=moved_at)
    return NextValue(revision=revision, payload=new_payload, members=new_set, value=value, result=result)


def _found_value(
    found: AcceptedValue,
    *,
    chosen_set: tuple[str, ...],
    payload: object,
    error: Exception | None = None,
    result: object = None,
) -> NextValue:
    """Returns the value found, to be proposed again under this ballot, as the proposal changes nothing.

    Once a majority has accepted it, the proposal is acknowledged. The previous set is removed from the value if the
    value's own set is known to be chosen.
    """
    value, members = found.value, chosen_set
    if value:
        member_sets = ballots.member_sets(value)
        members = member_sets[-1]
        if members == chosen_set and len(member_sets) > 1:
            value = ballots.pack(members=chosen_set, payload=payload)
    return NextValue(revision=found.revision, payload=payload, members=members, value=value, error=error, result=result)
