"""Identifiers that several parts of the system share: ballots and versions of what is distributed.

Both are named tuples: they compare by their fields in order, which is the order that the protocols define.
"""

import typing


class Ballot(typing.NamedTuple):
    """A proposal number of the consensus registers (docs/register.md 1). Ballots are totally ordered."""

    number: int
    proposer: str  # breaks ties between proposers that chose the same number


NO_BALLOT = Ballot(number=0, proposer="")


class Version(typing.NamedTuple):
    """A version of a distributed topic (docs/scale.md 2). Versions only rise."""

    epoch: int  # of the publisher that may write the topic; 0 for consensus registers
    number: int


NO_VERSION = Version(epoch=0, number=0)
