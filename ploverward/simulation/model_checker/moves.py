"""Transitions of the model checker: steps of proposers, of nodes and of their disks.

`TransitionSystem.steps` names each possible step and gives the function that takes it on a copy of the state.
`Writers` and `Nodes` compute what a step does to one proposer or node; this module applies the result to the state
and checks the invariants.
"""

import collections.abc
import functools
import typing

from ploverward.control_plane.consensus.acceptor import Acceptor
from ploverward.control_plane.consensus.proposer import Proposer
from ploverward.simulation.model_checker import invariants
from ploverward.simulation.model_checker.nodes import Nodes
from ploverward.simulation.model_checker.outside import CallEnd
from ploverward.simulation.model_checker.outside import Chosen
from ploverward.simulation.model_checker.outside import Done
from ploverward.simulation.model_checker.outside import Edit
from ploverward.simulation.model_checker.outside import Event
from ploverward.simulation.model_checker.outside import Failed
from ploverward.simulation.model_checker.product import CALL_ENDED
from ploverward.simulation.model_checker.product import NO_PROPOSER
from ploverward.simulation.model_checker.product import REGISTER
from ploverward.simulation.model_checker.product import Answer
from ploverward.simulation.model_checker.product import Item
from ploverward.simulation.model_checker.product import Reply
from ploverward.simulation.model_checker.product import Request
from ploverward.simulation.model_checker.product import acceptor_form
from ploverward.simulation.model_checker.product import deliver_answer
from ploverward.simulation.model_checker.product import learn_accepted
from ploverward.simulation.model_checker.product import learn_chosen
from ploverward.simulation.model_checker.product import make_catch_up
from ploverward.simulation.model_checker.product import members_of
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.start import first_state
from ploverward.simulation.model_checker.state import Attempt
from ploverward.simulation.model_checker.state import State
from ploverward.simulation.model_checker.state import TimerAction
from ploverward.simulation.model_checker.writers import ProposerAction
from ploverward.simulation.model_checker.writers import Writers
from ploverward.transport import messages

NO_ATTEMPTS_LEFT = -1  # attempts of a retired proposer


class Step(typing.NamedTuple):
    """One possible transition."""

    label: tuple  # printed in the history
    take: collections.abc.Callable[[State], None]  # called with a copy of the state, which it changes


Steps = collections.abc.Iterator[Step]


class TransitionSystem:
    """Generates the transitions from each state of one scenario. A step changes a copy of the state.

    Args:
        scenario: the scenario to explore.
        acceptor_type: the class of all acceptors; any class but `Acceptor` is a seeded bug.
    """

    def __init__(self, *, scenario: Scenario, acceptor_type: type[Acceptor] = Acceptor) -> None:
        self.scenario = scenario
        self._nodes = Nodes(scenario=scenario, acceptor_type=acceptor_type)
        self.writers = Writers(scenario=scenario)
        self._items: list[Item] = []  # by their number; a pool is a set of numbers
        self._item_numbers: dict[Item, int] = {}

    def start(self) -> State:
        """Returns the initial state, in which all calls with `is_first` have begun."""
        state = first_state(scenario=self.scenario, nodes=self._nodes, writers=self.writers)
        for writer in self.scenario.writers:
            for call in writer.calls:
                if call.is_first:
                    self._begin_call(state, call.name)
        self.prune(state)
        return state

    # Enumeration of steps.
    def steps(self, state: State) -> Steps:
        """Yields all steps possible in this state, always in the same order."""
        yield from self._message_steps(state)
        yield from self._writer_steps(state)
        yield from self._failure_steps(state)
        yield from self._disk_steps(state)

    def _message_steps(self, state: State) -> Steps:
        for number in state.pool:
            item = self._items[number]
            yield Step(("deliver", *item), functools.partial(self.deliver_once, number=number))
            if state.budget["repeat"]:
                yield Step(("repeat", *item), functools.partial(self._deliver_duplicate, item=item))

    def _writer_steps(self, state: State) -> Steps:
        for name, writer in state.writers.items():
            if state.attempts_left[name] <= 0:
                continue
            for timer_index in range(len(writer.live.timers)):
                yield Step(
                    ("timer", name, timer_index),
                    functools.partial(self._fire_timer, name=name, timer_index=timer_index),
                )
        for call in self.writers.calls:
            if call not in state.begin_revisions:
                yield Step(("begin", call), functools.partial(self._begin_call, call_name=call))
        for name in self.scenario.learning_proposers:
            known = state.writers[name].live.proposer.known_sets.members_by_register.get(REGISTER)
            if known != members_of(state.latest_chosen):
                yield Step(("told", name), functools.partial(self._notify_chosen, name=name))

    def _failure_steps(self, state: State) -> Steps:
        if state.budget["wipe"]:
            for name in self.scenario.wipes:
                yield Step(("disk emptied", name), functools.partial(self._wipe, name=name))
        if state.budget["restart"]:
            for name in self.scenario.restarts:
                yield Step(("process restarts", name), functools.partial(self._restart, name=name))

    def _disk_steps(self, state: State) -> Steps:
        for own, catch_up in state.catch_ups.items():
            for other in state.nodes:
                if other not in state.catch_ups and other not in catch_up.live.replies:
                    yield Step(
                        ("refill", own, other), functools.partial(self._deliver_catch_up_reply, own=own, other=other)
                    )
        for name in state.pending_answers:
            yield Step(("safe on disk", name), functools.partial(self._sync_disk, name=name))
            if state.budget["crash"]:
                yield Step(("crash before safe", name), functools.partial(self._crash, name=name))

    # Steps of proposers.
    def _run_proposer_step(self, state: State, name: str, step: tuple, action: ProposerAction) -> None:
        """Runs a step of a proposer and applies the result: its new state, its sent messages and its events."""
        result = self.writers.run_step(state, name, step, action)
        state.writers[name] = result.component
        self._handle_sent(state, name, result.sent)
        if state.attempts_left[name] < 0:
            self._retire_writer(state, name)
        for event in result.events:
            self._handle_event(state, name, event)
        calls = self.writers.by_name[name].calls
        if result.events and all(state.begin_revisions.get(call.name) == CALL_ENDED for call in calls):
            self._retire_writer(state, name)

    def _retire_writer(self, state: State, name: str) -> None:
        """Retires a writer that does nothing more, so that its knowledge no longer distinguishes states."""
        state.attempts_left[name] = NO_ATTEMPTS_LEFT
        state.latest_attempts[name] = Attempt(number=-1, ballot=None)
        state.writers[name] = self.writers.retired(state.writers[name])

    def _number_item(self, item: Item) -> int:
        if item not in self._item_numbers:
            self._item_numbers[item] = len(self._items)
            self._items.append(item)
        return self._item_numbers[item]

    def _handle_sent(self, state: State, name: str, sent: tuple[tuple[str, Request], ...]) -> None:
        pool = set(state.pool)
        for member, message in sent:
            ballot = state.latest_attempts[name].ballot
            if isinstance(message, messages.Prepare) and message.ballot != ballot:
                # A prepare with a new ballot begins an attempt. With none left, the writer sends nothing from here on.
                state.attempts_left[name] -= 1
                ballot = message.ballot
            state.latest_attempts[name] = Attempt(number=message.number, ballot=ballot)
            if state.attempts_left[name] >= 0 and member in state.nodes:
                pool.add(self._number_item(Item(name, member, message)))
        state.pool = frozenset(pool)

    def _begin_call(self, state: State, call_name: str) -> None:
        name, call = self.writers.calls[call_name]
        state.begin_revisions.setdefault(call_name, len(state.longest_chosen))
        state.attempts_left[name] += call.attempts
        done = CallEnd(port=self.writers.ports[name], call=call_name)

        def action(proposer: Proposer, _timers: list[TimerAction]) -> None:
            if call.kind == "read":
                proposer.read(name=REGISTER, done=done)
            else:
                edit = Edit(tag=call_name)
                proposer.change(name=REGISTER, edit=edit, done=done, next_set=call.to or None)

        self._run_proposer_step(state, name, ("begin", call_name), action)

    def _handle_event(self, state: State, name: str, event: Event) -> None:
        if isinstance(event, Failed):
            state.begin_revisions[event.call] = CALL_ENDED
            return
        tags = event.tags
        invariants.check_value_order(
            owner=name, revision=event.revision, tags=tags, longest_chosen=state.longest_chosen
        )
        if isinstance(event, Done):
            call = self.writers.calls[event.call][1]
            invariants.check_call_end(call=call, tags=tags, acknowledged_revision=state.begin_revisions[event.call])
            state.begin_revisions[event.call] = CALL_ENDED
        if len(tags) > len(state.longest_chosen):
            state.longest_chosen = tags
            if isinstance(event, Chosen):
                state.latest_chosen = event.value

    def _fire_timer(self, state: State, name: str, timer_index: int) -> None:
        self._run_proposer_step(
            state, name, ("timer", timer_index), lambda _proposer, timers: timers.pop(timer_index)()
        )

    def _notify_chosen(self, state: State, name: str) -> None:
        value = state.latest_chosen
        self._run_proposer_step(state, name, ("told", value), lambda proposer, _timers: learn_chosen(proposer, value))

    def _restart(self, state: State, name: str) -> None:
        """Restarts a proposer with only what its node's disk holds; its open calls begin again in a new incarnation."""
        state.budget["restart"] -= 1
        writer = self.writers.by_name[name]
        proposer = self.writers.make_proposer(writer, own=f"{name}2")
        stored = state.nodes[writer.home].live.durable.get(REGISTER)
        proposer.note_ballot_number(name=REGISTER, number=stored.promised.number)
        if stored.value:
            learn_accepted(proposer, stored.value)
        state.writers[name] = self.writers.component(proposer, [])
        state.attempts_left[name] = 0
        state.latest_attempts[name] = Attempt(number=-1, ballot=None)
        state.pool = frozenset(self._items_after_restart(state.pool, name))
        for call in writer.calls:
            if state.begin_revisions.get(call.name, CALL_ENDED) != CALL_ENDED:
                self._begin_call(state, call.name)

    def _items_after_restart(self, pool: frozenset[int], name: str) -> collections.abc.Iterator[int]:
        """Yields the items still in flight after a proposer ended.

        Its accepts may still arrive; answers to it, and all its other messages, end with its connections.
        """
        for number in pool:
            item = self._items[number]
            if item.proposer != name:
                yield number
            elif isinstance(item.message, messages.Accept):
                yield self._number_item(item._replace(proposer=NO_PROPOSER))

    # Steps of nodes and their disks.
    def deliver_once(self, state: State, number: int) -> None:
        """Delivers an item of the pool and removes it."""
        state.pool = state.pool - {number}
        self._deliver(state, self._items[number])

    def _deliver_duplicate(self, state: State, item: Item) -> None:
        state.budget["repeat"] -= 1
        self._deliver(state, item)

    def _deliver(self, state: State, item: Item) -> None:
        name, member, message = item
        if isinstance(message, Reply):
            self._handle_answer(state, name, member, message.message)
        elif member in self.scenario.crashes:
            self._deliver_to_slow_disk(state, name, member, message)
        else:
            state.nodes[member], answer = self._nodes.handle_request(state.nodes[member], message)
            self._send_answer(state, name, member, answer)

    def _deliver_to_slow_disk(self, state: State, name: str, member: str, message: Request) -> None:
        """Delivers a request to a node with a slow disk.

        The answer waits until the node's whole state is on its disk; a quorum read is answered from the disk.
        """
        current, durable = state.nodes[member].live
        if isinstance(message, messages.QuorumRead):
            source = current if self.scenario.is_quorum_read_early else durable
            self._send_answer(state, name, member, source.quorum_read(message))
            return
        acceptor, answer = self._nodes.handle_in_memory(current, message)
        if current is durable and acceptor_form(acceptor) == acceptor_form(current):
            self._send_answer(state, name, member, answer)
            return
        state.nodes[member] = self._nodes.node(acceptor, durable)
        state.pending_answers[member] = (*state.pending_answers.get(member, ()), (name, answer))

    def _send_answer(self, state: State, name: str, member: str, answer: Answer) -> None:
        if self.scenario.is_split:
            state.pool = state.pool | {self._number_item(Item(name, member, Reply(answer)))}
        else:
            self._handle_answer(state, name, member, answer)

    def _handle_answer(self, state: State, name: str, member: str, answer: Answer) -> None:
        if state.attempts_left.get(name, NO_ATTEMPTS_LEFT) >= 0 and answer.number == state.latest_attempts[name].number:
            step = ("answer", member, answer)
            self._run_proposer_step(
                state, name, step, lambda proposer, _timers: deliver_answer(proposer, member, answer)
            )

    def _sync_disk(self, state: State, name: str) -> None:
        state.nodes[name] = self._nodes.node(state.nodes[name].live.current)
        for proposer, answer in state.pending_answers.pop(name):
            self._send_answer(state, proposer, name, answer)

    def _crash(self, state: State, name: str) -> None:
        state.budget["crash"] -= 1
        state.nodes[name] = self._nodes.node(state.nodes[name].live.durable)
        state.pending_answers.pop(name, None)

    def _wipe(self, state: State, name: str) -> None:
        state.budget["wipe"] -= 1
        state.nodes[name] = self._nodes.node(self._nodes.make_acceptor(""))
        state.pending_answers.pop(name, None)
        catch_up = make_catch_up(own=name, kind=self.scenario.catch_up)
        state.catch_ups[name] = self._nodes.catch_up_component(catch_up)

    def _deliver_catch_up_reply(self, state: State, own: str, other: str) -> None:
        """Delivers one more answer to a wiped node or a learner, which votes once its catch-up is done."""
        result = self._nodes.apply_catch_up_reply(state.catch_ups[own], state.nodes[other], own, other)
        state.nodes[other] = result.source
        if result.node is None:
            state.catch_ups[own] = result.catch_up
        else:
            state.nodes[own] = result.node
            del state.catch_ups[own]

    # Pruning.
    def prune(self, state: State) -> None:
        """Drops messages that can only be rejected (see the package docstring)."""
        state.pool = frozenset([number for number in state.pool if self._can_have_effect(state, number)])

    def _can_have_effect(self, state: State, number: int) -> bool:
        name, member, message = self._items[number]
        inner = message.message if isinstance(message, Reply) else message
        if state.attempts_left.get(name, NO_ATTEMPTS_LEFT) >= 0 and inner.number == state.latest_attempts[name].number:
            return True
        return isinstance(message, messages.Accept) and self._nodes.would_accept(state.nodes[member], message)
