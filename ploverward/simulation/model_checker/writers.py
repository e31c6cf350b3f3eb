"""What a step does to a proposer of the model checker: it runs on a copy, and what it sent and reported is gathered.

A proposer is a `StateComponent` with its pending timers. Components are never changed, so what comes of a step is
cached.
"""

import collections.abc
import typing

from ploverward.control_plane.consensus.proposer import Proposer
from ploverward.simulation.model_checker.live_objects import canonical_form
from ploverward.simulation.model_checker.live_objects import clone
from ploverward.simulation.model_checker.live_objects import is_backoff_timer
from ploverward.simulation.model_checker.live_objects import is_stale_timer
from ploverward.simulation.model_checker.outside import Event
from ploverward.simulation.model_checker.outside import Port
from ploverward.simulation.model_checker.product import REGISTER
from ploverward.simulation.model_checker.product import Request
from ploverward.simulation.model_checker.product import make_proposer
from ploverward.simulation.model_checker.scenario import Call
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.scenario import Writer
from ploverward.simulation.model_checker.state import ProposerState
from ploverward.simulation.model_checker.state import State
from ploverward.simulation.model_checker.state import StateComponent
from ploverward.simulation.model_checker.state import TimerAction

MAX_ROUNDS_OF_TIMERS = 100  # that are due at once within a step; a proposer needs a few
RETIRED_KEY = -1  # of a proposer that does nothing any more: what it knows makes no difference

ProposerAction = collections.abc.Callable[[Proposer, list[TimerAction]], object]


class StepResult(typing.NamedTuple):
    """What comes of a step of a proposer."""

    component: StateComponent[ProposerState]
    sent: tuple[tuple[str, Request], ...]  # (member, message)
    events: tuple[Event, ...]


class Writers:
    """Builds the proposers of one scenario and lets them act.

    Attributes:
        ports: the outside of each proposer, by name.
        by_name: the writers of the scenario.
        calls: name of a call to (name of its writer, call).
    """

    def __init__(self, *, scenario: Scenario) -> None:
        self.scenario = scenario
        self.ports = {writer.name: Port(name=writer.name) for writer in scenario.writers}
        self.by_name = {writer.name: writer for writer in scenario.writers}
        self.calls: dict[str, tuple[str, Call]] = {
            call.name: (writer.name, call) for writer in scenario.writers for call in writer.calls
        }
        self._ids: dict[collections.abc.Hashable, int] = {}  # canonical form of a proposer and its timers: its number
        self._step_results: dict[tuple, StepResult] = {}  # by the key of the component and the step

    def make_proposer(self, writer: Writer, *, own: str = "") -> Proposer:
        """A proposer that knows nothing yet.

        Args:
            writer: what the scenario says of it.
            own: its unique name; the writer's name at the start.
        """
        return make_proposer(
            own=own or writer.name,
            port=self.ports[writer.name],
            seeds=writer.seeds or self.scenario.members,
            is_naming=writer.is_naming,
        )

    def component(self, proposer: Proposer, timers: list[TimerAction]) -> StateComponent[ProposerState]:
        """A proposer with those of its timers that may still do something."""
        timers = [action for action in timers if not is_stale_timer(action)]
        memo: dict[int, int] = {}
        proposer_form = (canonical_form(proposer, memo), canonical_form(timers, memo))
        return StateComponent(ProposerState(proposer, timers), self._ids.setdefault(proposer_form, len(self._ids)))

    def retired(self, old: StateComponent[ProposerState]) -> StateComponent[ProposerState]:
        """A proposer that does nothing any more; all of them compare equal."""
        return StateComponent(ProposerState(old.live.proposer, []), RETIRED_KEY)

    def act(self, state: State, name: str, step: tuple, action: ProposerAction) -> StepResult:
        """What comes of a step of a proposer; the state stays as it is.

        Args:
            state: the state before it.
            name: of the writer.
            step: identifies the step among those of this proposer.
            action: does the step; called with the proposer and its timers.
        """
        port = self.ports[name]
        old = state.writers[name]
        cache_key: tuple = (old.key, step)
        writer = self.by_name[name]
        if writer.is_naming:
            home = state.nodes[writer.home]
            port.state = home.live.durable.get(REGISTER)
            cache_key = (*cache_key, home.key)
        if cache_key not in self._step_results:
            self._step_results[cache_key] = self._run_step(old, port, action)
        return self._step_results[cache_key]

    def _run_step(self, old: StateComponent[ProposerState], port: Port, action: ProposerAction) -> StepResult:
        memo: dict[int, object] = {}
        proposer = clone(old.live.proposer, memo)
        timers = clone(old.live.timers, memo)
        action(proposer, timers)
        for _round in range(MAX_ROUNDS_OF_TIMERS):
            due = [after for delay, after in port.timers if delay == 0 or is_backoff_timer(after)]
            timers += [after for delay, after in port.timers if delay > 0 and not is_backoff_timer(after)]
            port.timers = []
            if not due:
                break
            for after in due:
                after()
        sent, port.sent = tuple(port.sent), []
        events, port.events = tuple(port.events), []
        return StepResult(component=self.component(proposer, timers), sent=sent, events=events)
