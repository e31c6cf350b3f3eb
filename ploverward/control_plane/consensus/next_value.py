"""What a proposer writes after phase 1, from the value that it found (docs/register.md 2). Nothing here does I/O.

A value carries its set, and the set before it until its own is known to be chosen. Moves are sequential: a move
that was found incomplete is written once more, and chosen, before the next one is.
"""

from ploverward.common import errors
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import known_sets
from ploverward.control_plane.consensus.proposal import NextValue
from ploverward.control_plane.consensus.proposal import Proposal
from ploverward.control_plane.consensus.register_state import AcceptedValue


def choose(proposal: Proposal) -> NextValue:
    """The value for phase 2 of this attempt.

    Args:
        proposal: with `highest`, the value found, and `known_set`.
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
    """Nothing to change: the value found is made safe at a majority under this ballot, then acknowledged."""
    value, members = found.value, chosen_set
    if value:
        member_sets = ballots.member_sets(value)
        members = member_sets[-1]
        if members == chosen_set and len(member_sets) > 1:
            value = ballots.pack(members=chosen_set, payload=payload)
    return NextValue(revision=found.revision, payload=payload, members=members, value=value, error=error, result=result)
