"""Proposers of the model checker: runs a step on a copy, and collects the messages sent and the events reported.

A proposer is a `StateComponent` with its pending timers. Components are never changed, so the result of each step is
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

MAX_TIMER_ROUNDS = 100  # limit on rounds of timers due at once within a step; a proposer needs a few
RETIRED_KEY = -1  # shared by all retired proposers, whose knowledge makes no difference any more

ProposerAction = collections.abc.Callable[[Proposer, list[TimerAction]], object]


class StepResult(typing.NamedTuple):
    """The result of a step of a proposer."""

    component: StateComponent[ProposerState]
    sent: tuple[tuple[str, Request], ...]  # (member, message)
    events: tuple[Event, ...]


class Writers:
    """Builds the proposers of one scenario and runs their steps.

    Attributes:
        ports: environment of each proposer, by name.
        by_name: writers of the scenario, by name.
        calls: (name of the writer, call), by the name of the call.
    """

    def __init__(self, *, scenario: Scenario) -> None:
        self.scenario = scenario
        self.ports = {writer.name: Port(name=writer.name) for writer in scenario.writers}
        self.by_name = {writer.name: writer for writer in scenario.writers}
        self.calls: dict[str, tuple[str, Call]] = {
            call.name: (writer.name, call) for writer in scenario.writers for call in writer.calls
        }
        # Number of each canonical form of a proposer and its timers.
        self._ids: dict[collections.abc.Hashable, int] = {}
        self._step_results: dict[tuple, StepResult] = {}  # by the key of the component and the step

    def make_proposer(self, writer: Writer, *, own: str = "") -> Proposer:
        """Returns a proposer that knows nothing yet.

        Args:
            writer: its definition in the scenario.
            own: its unique name; empty for the name of the writer.
        """
        return make_proposer(
            own=own or writer.name,
            port=self.ports[writer.name],
            seeds=writer.seeds or self.scenario.members,
            is_naming=writer.is_naming,
        )

    def component(self, proposer: Proposer, timers: list[TimerAction]) -> StateComponent[ProposerState]:
        """Returns a proposer as a state component, without the timers that are stale."""
        timers = [action for action in timers if not is_stale_timer(action)]
        memo: dict[int, int] = {}
        proposer_form = (canonical_form(proposer, memo), canonical_form(timers, memo))
        return StateComponent(ProposerState(proposer, timers), self._ids.setdefault(proposer_form, len(self._ids)))

    def retired(self, old: StateComponent[ProposerState]) -> StateComponent[ProposerState]:
        """Returns a proposer that does nothing any more; all retired proposers compare equal."""
        return StateComponent(ProposerState(old.live.proposer, []), RETIRED_KEY)

    def run_step(self, state: State, name: str, step: tuple, action: ProposerAction) -> StepResult:
        """Returns the result of a step of a proposer, without changing the state.

        Args:
            state: the state before the step.
            name: name of the writer.
            step: identifies the step among those of this proposer.
            action: performs the step; called with a copy of the proposer and of its timers.
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
        for _round in range(MAX_TIMER_ROUNDS):
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
