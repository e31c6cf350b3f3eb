"""Identifiers shared by several parts of the system: ballots, and versions of distributed topics.

Both are named tuples, which compare by their fields in order; this is the order that the protocols define.
"""

import typing


class Ballot(typing.NamedTuple):
    """Proposal number of the consensus registers (docs/register.md 1). Ballots are totally ordered."""

    number: int
    proposer: str  # breaks ties between proposers that chose the same number


NO_BALLOT = Ballot(number=0, proposer="")


class Version(typing.NamedTuple):
    """Version of a distributed topic (docs/scale.md 2). The versions of a topic only increase."""

    epoch: int  # epoch of the publisher that may write the topic; 0 for consensus registers
    number: int


NO_VERSION = Version(epoch=0, number=0)
