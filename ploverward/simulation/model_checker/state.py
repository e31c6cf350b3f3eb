"""One state of a scenario: everything that can affect later steps (docs/set-moves.md)."""

import collections.abc
import dataclasses
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus.acceptor import Acceptor
from ploverward.control_plane.consensus.catch_up import LearnerCatchUp
from ploverward.control_plane.consensus.proposer import Proposer
from ploverward.simulation.model_checker.product import Answer

Live = typing.TypeVar("Live")
TimerAction = collections.abc.Callable[[], object]


class NodeState(typing.NamedTuple):
    """A node: its acceptor in memory, and the one on its disk, which may be older."""

    current: Acceptor
    durable: Acceptor


class ProposerState(typing.NamedTuple):
    """A proposer with its pending timers."""

    proposer: Proposer
    timers: list[TimerAction]


class Attempt(typing.NamedTuple):
    """Newest attempt of a proposer."""

    number: int
    ballot: Ballot | None  # None if nothing was prepared yet


class StateComponent(typing.Generic[Live]):
    """Live objects with the number of their canonical form. Never changed once it is part of a state."""

    __slots__ = ("live", "key")

    def __init__(self, live: Live, key: int) -> None:
        self.live = live
        self.key = key


@dataclasses.dataclass(slots=True, kw_only=True)
class State:
    """Everything that can affect later steps. Copied shallowly; a step replaces the components that it changes.

    Attributes:
        nodes: by name.
        writers: proposers, by name.
        pool: numbers of the messages that may still arrive: requests, and answers if they are separate steps.
        begin_revisions: by call, the revision that was acknowledged when it began; `CALL_ENDED` once it has ended.
        latest_attempts: the newest attempt of each proposer.
        attempts_left: number of attempts that each proposer has left; negative once the proposer is retired.
        longest_chosen: the tags of the longest chosen value.
        latest_chosen: the newest value that a proposer reported as chosen.
        budget: number of failures of each kind that may still happen.
        catch_ups: catch-ups of wiped nodes and learners, by node.
        pending_answers: by node, the (proposer, answer) pairs that wait for its disk.
    """

    nodes: dict[str, StateComponent[NodeState]]
    writers: dict[str, StateComponent[ProposerState]]
    pool: frozenset[int]
    begin_revisions: dict[str, int]
    latest_attempts: dict[str, Attempt]
    attempts_left: dict[str, int]
    longest_chosen: tuple[str, ...]
    latest_chosen: bytes
    budget: dict[str, int]
    catch_ups: dict[str, StateComponent[LearnerCatchUp]]
    pending_answers: dict[str, tuple[tuple[str, Answer], ...]]

    def copy(self) -> "State":
        """Returns a state that shares the components; a step on the copy does not affect this state."""
        return State(
            nodes=dict(self.nodes),
            writers=dict(self.writers),
            pool=self.pool,
            begin_revisions=dict(self.begin_revisions),
            latest_attempts=dict(self.latest_attempts),
            attempts_left=dict(self.attempts_left),
            longest_chosen=self.longest_chosen,
            latest_chosen=self.latest_chosen,
            budget=dict(self.budget),
            catch_ups=dict(self.catch_ups),
            pending_answers=dict(self.pending_answers),
        )

    def key(self) -> tuple:
        """Returns a key that is equal for states with the same continuations.

        The first five fields have the same keys in the same order in each state of a scenario.
        """
        return (
            tuple([component.key for component in self.nodes.values()]),
            tuple([component.key for component in self.writers.values()]),
            tuple(self.latest_attempts.values()),
            tuple(self.attempts_left.values()),
            tuple(self.budget.values()),
            self.pool,
            self.longest_chosen,
            self.latest_chosen,
            tuple(sorted(self.begin_revisions.items())),
            tuple(sorted((name, component.key) for name, component in self.catch_ups.items())),
            tuple(sorted(self.pending_answers.items())),
        )
