"""What can happen next in a state: steps of proposers, of nodes and of their disks.

Parts of a state are never changed, so what comes of a step on a part is kept and used again.
"""

from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus.register_state import RegisterState
from ploverward.simulation.model_checker import invariants
from ploverward.simulation.model_checker.live_objects import clone
from ploverward.simulation.model_checker.live_objects import form
from ploverward.simulation.model_checker.live_objects import is_pause
from ploverward.simulation.model_checker.live_objects import is_stale
from ploverward.simulation.model_checker.nodes import Nodes
from ploverward.simulation.model_checker.outside import Done
from ploverward.simulation.model_checker.outside import Edit
from ploverward.simulation.model_checker.outside import Port
from ploverward.simulation.model_checker.product import FIRST_BALLOT
from ploverward.simulation.model_checker.product import FIRST_TAG
from ploverward.simulation.model_checker.product import NOBODY
from ploverward.simulation.model_checker.product import OVER
from ploverward.simulation.model_checker.product import REGISTER
from ploverward.simulation.model_checker.product import Reply
from ploverward.simulation.model_checker.product import acceptor_form
from ploverward.simulation.model_checker.product import hand_answer
from ploverward.simulation.model_checker.product import learn_accepted
from ploverward.simulation.model_checker.product import learn_chosen
from ploverward.simulation.model_checker.product import make_catch_up
from ploverward.simulation.model_checker.product import make_proposer
from ploverward.simulation.model_checker.product import make_value
from ploverward.simulation.model_checker.product import set_of
from ploverward.simulation.model_checker.product import tags_of
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.scenario import Writer
from ploverward.simulation.model_checker.state import State
from ploverward.simulation.model_checker.state import StateComponent
from ploverward.transport import messages


class Moves:
    """All steps that may follow a state of one scenario. A step changes a copy of the state."""

    def __init__(self, *, scenario: Scenario, acceptor_type=acceptors.Acceptor):
        self.scenario = scenario
        self._ids = {}  # canonical form of a writer: its number
        self._nodes = Nodes(scenario=scenario, acceptor_type=acceptor_type)
        self._items = []  # requests (and answers, where split) by their number; a pool is a set of numbers
        self._item_numbers = {}
        self._moves = {}  # (part, step): what comes of it; parts are never changed, so each step is taken once
        self.ports = {writer.name: Port(name=writer.name) for writer in scenario.writers}
        self._writers = {writer.name: writer for writer in scenario.writers}
        self._calls = {call.name: (writer.name, call) for writer in scenario.writers for call in writer.calls}

    # -- building parts

    def _intern(self, key) -> int:
        return self._ids.setdefault(key, len(self._ids))

    def _writer(self, proposer, timers) -> StateComponent:
        timers = [action for action in timers if not is_stale(action)]
        memo = {}
        return StateComponent((proposer, timers), self._intern((form(proposer, memo), form(timers, memo))))

    def _retire_writer(self, state: State, name: str) -> None:
        """A writer without attempts left does nothing more: what it knows no longer tells states apart."""
        state.left[name] = -1
        state.latest[name] = (-1, ())
        state.writers[name] = StateComponent((state.writers[name].live[0], []), -1)

    def _make_proposer(self, writer: Writer, own: str = ""):
        return make_proposer(
            own=own or writer.name,
            port=self.ports[writer.name],
            seeds=writer.seeds or self.scenario.members,
            is_naming=writer.is_naming,
        )

    def start(self) -> State:
        scenario = self.scenario
        state = State()
        state.nodes = {}
        value = make_value(members=scenario.members, tags=(FIRST_TAG,))
        for name in scenario.nodes:
            current = self._nodes.make_acceptor(f"{name}1")
            if name in (scenario.first_value_members or scenario.members):
                current.states[REGISTER] = RegisterState(FIRST_BALLOT, FIRST_BALLOT, 1, value)
            state.nodes[name] = self._nodes.node(current)
        state.waits = {}
        for row in scenario.rows:
            safe = state.nodes[row.node].live[1]
            current = self._nodes.copy_acceptor(safe)
            found = make_value(members=row.members, tags=row.tags, previous=row.previous)
            current.states[REGISTER] = RegisterState(row.ballot, row.ballot, len(row.tags), found)
            state.nodes[row.node] = self._nodes.node(current, None if row.is_safe else safe)
            if not row.is_safe:
                state.waits[row.node] = ()
        top = max([FIRST_BALLOT[0], *[row.ballot[0] for row in scenario.rows]])
        state.writers = {}
        state.pool = frozenset()
        state.begun = {}
        state.latest = {}
        state.left = {}
        state.longest = scenario.chosen
        state.latest_chosen = make_value(members=scenario.chosen_set or scenario.members, tags=scenario.chosen)
        state.budget = {
            "wipe": int(bool(scenario.wipes)),
            "restart": int(bool(scenario.restarts)),
            "repeat": scenario.repeats,
            "crash": int(bool(scenario.crashes)),
        }
        state.gathered = {}
        for name in scenario.learners:
            state.nodes[name] = self._nodes.node(self._nodes.make_acceptor(""))
            state.gathered[name] = self._nodes.catch_up_part(make_catch_up(own=name, kind=scenario.catch_up))
        for writer in scenario.writers:
            proposer = self._make_proposer(writer)
            proposer.note_ballot_number(name=REGISTER, number=top)
            if writer.known:
                proposer.known_sets.members_by_register[REGISTER] = writer.known
            state.writers[writer.name] = self._writer(proposer, [])
            state.left[writer.name] = 0
            state.latest[writer.name] = (0, ())
        for writer in scenario.writers:
            for call in writer.calls:
                if call.is_first:
                    self._begin(state, call.name)
        self.prune(state)
        return state

    # -- steps of proposers

    def _act(self, state: State, name: str, step: tuple, action) -> None:
        """Takes on what comes of a step: the proposer after it, what it sent, what it told."""
        slot = (state.writers[name].key, step)
        if self._writers[name].is_naming:
            part = state.nodes[self._writers[name].home]
            self.ports[name].state = part.live[1].get(REGISTER)
            slot = (*slot, part.key)
        if slot not in self._moves:
            self._moves[slot] = self._play(state.writers[name], name, action)
        part, sent, facts = self._moves[slot]
        state.writers[name] = part
        self._handle_sent(state, name, sent)
        if state.left[name] < 0:
            self._retire_writer(state, name)
        for fact in facts:
            self._handle_event(state, name, fact)
        if facts and all(state.begun.get(call.name) == OVER for call in self._writers[name].calls):
            self._retire_writer(state, name)

    def _play(self, part: StateComponent, name: str, action) -> tuple:
        """Lets `act(proposer, timers)` run on a copy."""
        port = self.ports[name]
        memo = {}
        proposer = clone(part.live[0], memo)
        timers = clone(part.live[1], memo)
        action(proposer, timers)
        for _index in range(100):
            due = [after for delay, after in port.timers if delay == 0 or is_pause(after)]
            timers += [after for delay, after in port.timers if delay > 0 and not is_pause(after)]
            port.timers = []
            if not due:
                break
            for after in due:
                after()
        sent, port.sent = tuple(port.sent), []
        facts, port.facts = tuple(port.facts), []
        return self._writer(proposer, timers), sent, facts

    def _number_item(self, item: tuple) -> int:
        if item not in self._item_numbers:
            self._item_numbers[item] = len(self._items)
            self._items.append(item)
        return self._item_numbers[item]

    def _handle_sent(self, state: State, name: str, sent: tuple) -> None:
        pool = set(state.pool)
        for member, message in sent:
            number, ballot = state.latest[name]
            if isinstance(message, messages.Prepare) and message.ballot != ballot:
                # A new attempt. Without attempts left the writer falls silent from here on.
                state.left[name] -= 1
                ballot = message.ballot
            state.latest[name] = (message.number, ballot)
            if state.left[name] >= 0 and member in state.nodes:
                pool.add(self._number_item((name, member, message)))
        state.pool = frozenset(pool)

    def _begin(self, state: State, call_name: str) -> None:
        name, call = self._calls[call_name]
        state.begun.setdefault(call_name, len(state.longest))
        state.left[name] += call.attempts
        done = Done(port=self.ports[name], call=call_name)

        def action(proposer, _timers):
            if call.kind == "read":
                proposer.read(name=REGISTER, done=done)
            else:
                edit = Edit(tag=call_name)
                proposer.change(name=REGISTER, edit=edit, done=done, next_set=call.to or None)

        self._act(state, name, ("begin", call_name), action)

    def _handle_event(self, state: State, name: str, fact: tuple) -> None:
        kind = fact[0]
        if kind == "failed":
            state.begun[fact[1]] = OVER
            return
        revision, tags = (fact[1], tags_of(fact[2])) if kind == "chosen" else fact[2:]
        invariants.check_order(owner=name, revision=revision, tags=tags, longest=state.longest)
        if kind == "done":
            invariants.check_end(call=self._calls[fact[1]][1], tags=tags, begun_at=state.begun[fact[1]])
            state.begun[fact[1]] = OVER
        if len(tags) > len(state.longest):
            state.longest = tags
            if kind == "chosen":
                state.latest_chosen = fact[2]

    # -- steps of nodes

    def _deliver(self, state: State, item: tuple) -> None:
        name, member, message = item
        if isinstance(message, Reply):
            self._answer(state, name, member, message.message)
            return
        part = state.nodes[member]
        if member not in self.scenario.crashes:
            state.nodes[member], answer = self._nodes.answer(part, message)
            self._send_answer(state, name, member, answer)
            return
        current, safe = part.live
        if isinstance(message, messages.QuorumRead):
            self._send_answer(
                state,
                name,
                member,
                (current if self.scenario.is_quorum_read_early else safe).quorum_read(message),
            )
            return
        acceptor, answer = self._nodes.apply(current, message)
        is_waiting = current is not safe or acceptor_form(acceptor) != acceptor_form(current)
        if not is_waiting:
            self._send_answer(state, name, member, answer)
            return
        state.nodes[member] = self._nodes.node(acceptor, safe)
        state.waits[member] = (*state.waits.get(member, ()), (name, answer))

    def _send_answer(self, state: State, name: str, member: str, answer: tuple) -> None:
        if self.scenario.is_split:
            state.pool = state.pool | {self._number_item((name, member, Reply(answer)))}
        else:
            self._answer(state, name, member, answer)

    def _answer(self, state: State, name: str, member: str, answer: tuple) -> None:
        if state.left.get(name, -1) >= 0 and answer.number == state.latest[name][0]:
            step = ("answer", member, answer)
            self._act(state, name, step, lambda proposer, _timers: hand_answer(proposer, member, answer))

    def _flush(self, state: State, member: str) -> None:
        state.nodes[member] = self._nodes.node(state.nodes[member].live[0])
        for name, answer in state.waits.pop(member):
            self._send_answer(state, name, member, answer)

    def _gather(self, state: State, own: str, other: str) -> None:
        """An emptied node takes one more answer, and votes again once its refill is done."""
        part, source = state.gathered[own], state.nodes[other]
        source, is_done, found = self._nodes.gather(part, source, own, other)
        state.nodes[other] = source
        if is_done:
            state.nodes[own] = found
            del state.gathered[own]
        else:
            state.gathered[own] = found

    # -- the choice of steps

    def steps(self, state: State):
        scenario = self.scenario
        for number in state.pool:
            item = self._items[number]
            yield ("deliver", *item), lambda new, number=number: self.deliver_once(new, number)
            if state.budget["repeat"]:
                yield ("repeat", *item), lambda new, item=item: self._repeat(new, item)
        for name, part in state.writers.items():
            if state.left[name] <= 0:
                continue
            for slot in range(len(part.live[1])):
                yield ("timer", name, slot), lambda new, name=name, slot=slot: self._fire(new, name, slot)
        for call in self._calls:
            if call not in state.begun:
                yield ("begin", call), lambda new, call=call: self._begin(new, call)
        for name in scenario.learning_proposers:
            if state.writers[name].live[0].known_sets.members_by_register.get(REGISTER) != set_of(state.latest_chosen):
                yield ("told", name), lambda new, name=name: self._notify_chosen(new, name)
        if state.budget["wipe"]:
            for name in scenario.wipes:
                yield ("disk emptied", name), lambda new, name=name: self._wipe(new, name)
        if state.budget["restart"]:
            for name in scenario.restarts:
                yield ("process restarts", name), lambda new, name=name: self._restart(new, name)
        for own, part in state.gathered.items():
            for other in state.nodes:
                if other not in state.gathered and other not in part.live.answers:
                    yield ("refill", own, other), lambda new, own=own, other=other: self._gather(new, own, other)
        for name in state.waits:
            yield ("safe on disk", name), lambda new, name=name: self._flush(new, name)
            if state.budget["crash"]:
                yield ("crash before safe", name), lambda new, name=name: self._crash(new, name)

    def deliver_once(self, state: State, number: int) -> None:
        state.pool = state.pool - {number}
        self._deliver(state, self._items[number])

    def _repeat(self, state: State, item: tuple) -> None:
        state.budget["repeat"] -= 1
        self._deliver(state, item)

    def _fire(self, state: State, name: str, slot: int) -> None:
        self._act(state, name, ("timer", slot), lambda _proposer, timers: timers.pop(slot)())

    def _notify_chosen(self, state: State, name: str) -> None:
        value = state.latest_chosen
        self._act(state, name, ("told", value), lambda proposer, _timers: learn_chosen(proposer, value))

    def _wipe(self, state: State, name: str) -> None:
        state.budget["wipe"] -= 1
        state.nodes[name] = self._nodes.node(self._nodes.make_acceptor(""))
        state.waits.pop(name, None)
        state.gathered[name] = self._nodes.catch_up_part(make_catch_up(own=name, kind=self.scenario.catch_up))

    def _crash(self, state: State, name: str) -> None:
        state.budget["crash"] -= 1
        state.nodes[name] = self._nodes.node(state.nodes[name].live[1])
        state.waits.pop(name, None)

    def _restart(self, state: State, name: str) -> None:
        """The proposer forgets all but what its node's disk holds; its open calls begin once more, in a new life."""
        state.budget["restart"] -= 1
        writer = self._writers[name]
        proposer = self._make_proposer(writer, own=f"{name}2")
        promised, _accepted, _rev, value = state.nodes[writer.home].live[1].get(REGISTER)
        proposer.note_ballot_number(name=REGISTER, number=promised[0])
        if value:
            learn_accepted(proposer, value)
        state.writers[name] = self._writer(proposer, [])
        state.left[name] = 0
        state.latest[name] = (-1, ())
        state.pool = frozenset(self._after_end(state.pool, name))
        for call in writer.calls:
            if state.begun.get(call.name, OVER) != OVER:
                self._begin(state, call.name)

    def _after_end(self, pool: frozenset, name: str):
        """Accepts go on their way when their proposer's life ends; answers to it, and all else, end with its links."""
        for number in pool:
            owner, member, message = self._items[number]
            if owner != name:
                yield number
            elif isinstance(message, messages.Accept):
                yield self._number_item((NOBODY, member, message))

    def prune(self, state: State) -> None:
        """Drops what can only refuse (see the head of this module)."""
        state.pool = frozenset([number for number in state.pool if self._matters(state, number)])

    def _matters(self, state: State, number: int) -> bool:
        name, member, message = self._items[number]
        inner = message.message if isinstance(message, Reply) else message
        if state.left.get(name, -1) >= 0 and inner.number == state.latest[name][0]:
            return True
        return isinstance(message, messages.Accept) and self._nodes.would_accept(state.nodes[member], message)
