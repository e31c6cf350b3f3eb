"""Definition of a scenario: nodes, their initial rows, the calls of the writers, and the budget of faults."""

import dataclasses

from ploverward.common.identifiers import Ballot
from ploverward.simulation.model_checker.product import FIRST_TAG

MemberSet = tuple[str, ...]  # names of nodes; () for none


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One call to one proposer.

    Attributes:
        name: unique; also the tag that a change adds.
        kind: "write", "move" (writes its tag under the set `to`) or "read".
        to: the target set of a move.
        attempts: maximum number of attempts that the proposer may begin.
        is_first: whether the call begins in the initial state; otherwise it begins at any moment.
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
        calls: the calls to this proposer.
        known: the member set that it knows at the start; () for none, so that its seeds are in force.
        seeds: the set in force before any value was chosen; () for the first set of the scenario.
        home: the node whose disk it reads the set from after a restart.
        is_naming: whether its requests name the value that its node already has, so that answers leave it out.
    """

    name: str
    calls: tuple[Call, ...]
    known: MemberSet = ()
    seeds: MemberSet = ()
    home: str = ""
    is_naming: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Initial state of the register at one node, which has promised and accepted the same ballot.

    Attributes:
        node: name of the node.
        ballot: the promised and accepted ballot.
        members: the member set of the value.
        tags: what the value consists of.
        previous: the set before the move that the value began; () if it began none.
        is_durable: whether the row is on disk; otherwise it is in memory only.
    """

    node: str
    ballot: Ballot
    members: MemberSet
    tags: tuple[str, ...]
    previous: MemberSet = ()
    is_durable: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Initial state and budget of faults of one search.

    Attributes:
        name: unique among the scenarios.
        members: the first member set.
        nodes: names of all nodes.
        writers: the proposers.
        first_value_members: nodes that have the first value; () for all members.
        rows: replace the first value at their nodes, so that the search starts in the middle of a history.
        chosen: tags of the newest chosen value at the start.
        chosen_set: the member set of that value; () for `members`.
        catch_up: the class of catch-ups, a key of `faults.CATCH_UPS`.
        wipes: nodes one of which may lose its disk, once.
        restarts: proposers one of which may restart, once.
        learning_proposers: proposers that may be notified of chosen values.
        repeats: how many messages may be delivered twice.
        is_split: whether a request and its answer are two steps.
        crashes: nodes with slow disks; one of them may crash, once, and lose what was not yet on its disk.
        is_quorum_read_early: seeded bug: a quorum read is answered from memory.
        learners: nodes that start empty and catch up.
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
