"""Goes through all states of a scenario, and tells the history of what it finds."""

import collections
import dataclasses
import time

from ploverward.common.identifiers import Ballot
from ploverward.simulation.model_checker.invariants import InvariantError
from ploverward.simulation.model_checker.moves import Moves
from ploverward.simulation.model_checker.product import set_of
from ploverward.simulation.model_checker.product import tags_of
from ploverward.simulation.model_checker.scenario import Scenario


@dataclasses.dataclass(frozen=True)
class Finding:
    rule: str
    events: tuple
    states: int

    def text(self) -> str:
        return "\n".join([f"{self.rule} ({len(self.events)} steps, {self.states} states)", *map(str, self.events)])


@dataclasses.dataclass(frozen=True)
class Outcome:
    scenario: str
    states: int
    seconds: float
    finding: Finding | None
    is_exhaustive: bool


def run(*, moves: Moves, max_states: int) -> Outcome:
    """Goes through the states breadth first, until an invariant breaks, none is left, or there are too many."""
    begun = time.monotonic()
    first = moves.start()
    seen = {first.key(): None}
    queue = collections.deque([(first, None)])
    finding = None
    while queue and finding is None and len(seen) < max_states:
        state, trail = queue.popleft()
        for label, action in moves.steps(state):
            new = state.copy()
            try:
                action(new)
            except InvariantError as error:
                finding = Finding(str(error), history((label, trail)), len(seen))
                break
            moves.prune(new)
            key = hash(new.key())
            if key not in seen:
                seen[key] = None
                queue.append((new, (label, trail)))
    is_exhaustive = finding is None and not queue
    return Outcome(moves.scenario.name, len(seen), time.monotonic() - begun, finding, is_exhaustive)


def history(trail) -> tuple:
    labels = []
    while trail is not None:
        label, trail = trail
        labels.append(readable(label))
    return tuple(reversed(labels))


def readable(label: tuple) -> tuple:
    """Values are told by their set and tags."""

    def describe(part):
        if isinstance(part, bytes):
            return f"{''.join(set_of(part))}:{'+'.join(tags_of(part))}" if part else "-"
        if not isinstance(part, tuple):
            return part
        name = () if type(part) in (tuple, Ballot) else (type(part).__name__,)
        return (*name, *(describe(item) for item in part))

    return describe(label)


def explore(*, scenario: Scenario, max_states: int) -> Outcome:
    """Searches a scenario with the product as it is."""
    return run(moves=Moves(scenario=scenario), max_states=max_states)
