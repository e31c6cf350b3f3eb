"""Breadth-first search through all states of a scenario, with the history of a violated invariant."""

import collections
import collections.abc
import dataclasses
import time
import typing

from ploverward.common.identifiers import Ballot
from ploverward.simulation.model_checker.invariants import InvariantError
from ploverward.simulation.model_checker.moves import TransitionSystem
from ploverward.simulation.model_checker.product import members_of
from ploverward.simulation.model_checker.product import tags_of
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.state import State


class Trail(typing.NamedTuple):
    """Linked list of the steps that led to a state, the last one first."""

    label: tuple
    before: "Trail | None"  # None if the step was taken in the initial state


@dataclasses.dataclass(frozen=True)
class Finding:
    """A history that violates an invariant.

    Attributes:
        rule: description of the violation.
        events: labels of the steps, from the start.
        states: number of distinct states reached until then.
    """

    rule: str
    events: tuple[tuple, ...]
    states: int

    def text(self) -> str:
        """Returns the report: the violation, then one line per step."""
        return "\n".join([f"{self.rule} ({len(self.events)} steps, {self.states} states)", *map(str, self.events)])


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The result of a search.

    Attributes:
        scenario: name of the scenario.
        states: number of distinct states reached; not all of them were continued if the search ended early.
        seconds: duration of the search.
        finding: the first history that violates an invariant; None if none was found.
        is_exhaustive: whether all states were visited.
    """

    scenario: str
    states: int
    seconds: float
    finding: Finding | None
    is_exhaustive: bool


def run(*, transitions: TransitionSystem, max_states: int) -> Outcome:
    """Goes through the states breadth first, until an invariant breaks, none is left, or there are too many."""
    begun = time.monotonic()
    first = transitions.start()
    seen: set[collections.abc.Hashable] = {first.key()}
    queue: collections.deque[tuple[State, Trail | None]] = collections.deque([(first, None)])
    finding = None
    while queue and finding is None and len(seen) < max_states:
        state, trail = queue.popleft()
        for label, take in transitions.steps(state):
            new = state.copy()
            try:
                take(new)
            except InvariantError as error:
                finding = Finding(str(error), history(Trail(label, trail)), len(seen))
                break
            transitions.prune(new)
            key = hash(new.key())
            if key not in seen:
                seen.add(key)
                queue.append((new, Trail(label, trail)))
    is_exhaustive = finding is None and not queue
    return Outcome(transitions.scenario.name, len(seen), time.monotonic() - begun, finding, is_exhaustive)


def history(trail: Trail | None) -> tuple[tuple, ...]:
    """Returns the readable labels of the steps, from the start."""
    labels = []
    while trail is not None:
        labels.append(readable(trail.label))
        trail = trail.before
    return tuple(reversed(labels))


def readable(label: tuple) -> tuple:
    """Returns a label in which packed values are replaced by their member set and tags."""

    def describe(part: object) -> object:
        if isinstance(part, bytes):
            return f"{''.join(members_of(part))}:{'+'.join(tags_of(part))}" if part else "-"
        if not isinstance(part, tuple):
            return part
        name = () if type(part) in (tuple, Ballot) else (type(part).__name__,)
        return (*name, *(describe(item) for item in part))

    return tuple(describe(part) for part in label)


def explore(*, scenario: Scenario, max_states: int) -> Outcome:
    """Searches a scenario without a seeded bug."""
    return run(transitions=TransitionSystem(scenario=scenario), max_states=max_states)
