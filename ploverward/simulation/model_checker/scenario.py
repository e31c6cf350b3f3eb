"""What is explored: nodes, their rows at the start, the calls of the writers, and the budget of faults."""

import dataclasses

from ploverward.simulation.model_checker.product import FIRST_TAG


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One call at one proposer. kind: write, move (writes its tag under the set `to`), read."""

    name: str
    kind: str
    to: tuple = ()
    attempts: int = 1
    is_first: bool = True  # begun at the start; otherwise at any moment


@dataclasses.dataclass(frozen=True, kw_only=True)
class Writer:
    """One proposer. `known` is the set it knows at the start, () for none: then its seeds count."""

    name: str
    calls: tuple
    known: tuple = ()
    seeds: tuple = ()
    home: str = ""  # the node whose disk tells it the set after a restart
    is_naming: bool = False  # names the value that its node holds already; answers leave that out


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """What one node holds at the start: promised at and accepted under `ballot`."""

    node: str
    ballot: tuple
    members: tuple
    tags: tuple
    previous: tuple = ()
    is_safe: bool = True  # False: in memory, not yet on the disk


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    name: str
    members: tuple  # the first set
    nodes: tuple
    writers: tuple
    first_value_members: tuple = ()  # hold the first value; () for all members
    rows: tuple = ()  # in place of the first value: a start in the middle of a history
    chosen: tuple = (FIRST_TAG,)  # the newest chosen value at the start
    chosen_set: tuple = ()  # its set; () for `members`
    catch_up: str = "real"  # or a planted fault, see REFILLS
    wipes: tuple = ()  # one of these may lose its disk once
    restarts: tuple = ()  # one of these proposers may start again once
    learning_proposers: tuple = ()  # proposers that may hear of chosen values
    repeats: int = 0  # requests that may arrive twice
    is_split: bool = False
    crashes: tuple = ()  # their disks are slow, and one of them may lose what was not yet on its disk
    is_quorum_read_early: bool = False  # planted fault: a peek is answered from memory
    learners: tuple = ()  # start without anything, and refill
