"""What is explored: nodes, their rows at the start, the calls of the writers, and the budget of faults."""

import dataclasses

from ploverward.common.identifiers import Ballot
from ploverward.simulation.model_checker.product import FIRST_TAG

MemberSet = tuple[str, ...]  # names of nodes; () for none


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One call at one proposer.

    Attributes:
        name: also the tag that a change adds.
        kind: write, move (writes its tag under the set `to`), read.
        to: the set that a move leads to.
        attempts: how many the proposer may begin.
        is_first: whether it is begun at the start; otherwise at any moment.
    """

    name: str
    kind: str
    to: MemberSet = ()
    attempts: int = 1
    is_first: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Writer:
    """One proposer.

    Attributes:
        name: unique; breaks ties between ballots.
        calls: of this proposer.
        known: the set it knows at the start, () for none: then its seeds count.
        seeds: the set in force before any value was chosen; () for the first set of the scenario.
        home: the node whose disk it reads the set from after a restart.
        is_naming: whether it names the value that its node has already; answers leave that out.
    """

    name: str
    calls: tuple[Call, ...]
    known: MemberSet = ()
    seeds: MemberSet = ()
    home: str = ""
    is_naming: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """What one node has stored at the start: promised at and accepted under `ballot`.

    Attributes:
        node: its name.
        ballot: promised and accepted.
        members: the set of the value.
        tags: what the value consists of.
        previous: the set before the move that the value began; () where it began none.
        is_durable: whether it is on the disk; otherwise in memory only.
    """

    node: str
    ballot: Ballot
    members: MemberSet
    tags: tuple[str, ...]
    previous: MemberSet = ()
    is_durable: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """What one search explores.

    Attributes:
        name: unique among the scenarios.
        members: the first set.
        nodes: all of them.
        writers: the proposers.
        first_value_members: nodes that have the first value; () for all members.
        rows: in place of the first value: a start in the middle of a history.
        chosen: tags of the newest chosen value at the start.
        chosen_set: its set; () for `members`.
        catch_up: the class of catch-ups, a key of `faults.CATCH_UPS`.
        wipes: one of these nodes may lose its disk once.
        restarts: one of these proposers may start again once.
        learning_proposers: proposers that may hear of chosen values.
        repeats: how many requests may arrive twice.
        is_split: whether a request and its answer are two steps.
        crashes: nodes whose disks are slow; one of them may lose what was not yet on its disk.
        is_quorum_read_early: seeded bug: a quorum read is answered from memory.
        learners: nodes that start without anything, and catch up.
    """

    name: str
    members: MemberSet
    nodes: tuple[str, ...]
    writers: tuple[Writer, ...]
    first_value_members: MemberSet = ()
    rows: tuple[Row, ...] = ()
    chosen: tuple[str, ...] = (FIRST_TAG,)
    chosen_set: MemberSet = ()
    catch_up: str = "real"
    wipes: tuple[str, ...] = ()
    restarts: tuple[str, ...] = ()
    learning_proposers: tuple[str, ...] = ()
    repeats: int = 0
    is_split: bool = False
    crashes: tuple[str, ...] = ()
    is_quorum_read_early: bool = False
    learners: tuple[str, ...] = ()
