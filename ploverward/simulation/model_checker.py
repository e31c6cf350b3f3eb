"""Exhaustive exploration of the register and of one move of its core set, at small size.

The real `Acceptor` and `Proposer` take every step here. What is around them (links, timers, disks, the refill of an
emptied node) is an explicit state, so that each state can be copied, compared and gone on from in every way:

- a request is delivered at any moment, in any order, or never; so a loss needs no step of its own;
- a timer fires at any moment, as long as the writer has attempts left;
- news of a chosen value reaches a proposer at any moment, or never;
- a disk is emptied, a refill takes one more answer, a process starts again, at any moment within the budget.

States are compared by a canonical form of all that can still matter; breadth first, so the first history that breaks
a rule is a shortest one. Three things are left out since they can only refuse, which a silent link does as well: a
prepare of an attempt that is over, an accept that can't be taken any more and whose attempt is over, an answer to an
attempt that is over. Where `is_split` is not set, a request and its answer are one step.

Command: python3 -m ploverward.simulation.model_checker [--budget small|large] [--scenario NAME] [--states N]
"""

import argparse
import collections.abc
import contextlib
import dataclasses
import enum
import functools
import sys
import time
import types
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up as refills
from ploverward.control_plane.consensus import proposer as proposers
from ploverward.control_plane.consensus.proposal import Stage
from ploverward.control_plane.consensus.register_state import EMPTY
from ploverward.control_plane.consensus.register_state import AcceptedValue
from ploverward.control_plane.consensus.register_state import RegisterState
from ploverward.transport import messages

REGISTER = "r"
FIRST_TAG = "v"
FIRST_BALLOT = Ballot(1, "first")
NOBODY = ""  # in place of a proposer whose life is over
OVER = -1  # in place of the revision at which a call began


# --- Adapter: all that is known here of the product's messages and values -------------------------------------------


def make_value(*, members: tuple, tags: tuple, previous: tuple = ()) -> bytes:
    """With `previous`, the value is the one that began a move from that set."""
    if not previous:
        return ballots.pack(members=members, payload=list(tags))
    return ballots.pack(members=members, payload=list(tags), previous=previous, moved_at=len(tags))


def tags_of(value: bytes) -> tuple:
    return tuple(ballots.unpack(value)[1])


def set_of(value: bytes) -> tuple:
    return ballots.unpack(value)[0]


def learn_chosen(proposer, value: bytes) -> None:
    """What `ConsensusNode.publish` does with a chosen value."""
    proposer.known_sets.learn_chosen(register=REGISTER, revision=len(tags_of(value)), value=value)


def learn_accepted(proposer, value: bytes) -> None:
    """What `ConsensusNode` does at a start with a value found accepted on its own disk."""
    proposer.known_sets.learn_accepted(register=REGISTER, value=value)


def make_catch_up(*, own: str, kind: str):
    return CATCH_UPS[kind](own=own, registers=(REGISTER,))


def answer_catch_up(acceptor, request: tuple) -> tuple:
    """What `ConsensusNode._handle_catch_up_request` tells: what is asked to be promised is promised first. All rows are told whole."""
    for fence in request.fences:
        if fence.fence.number:
            acceptor.fence(name=fence.register, ballot=fence.fence)
    return acceptor.rows()


def hand_answer(proposer, member: str, answer: tuple) -> None:
    if isinstance(answer, messages.Promise):
        proposer.handle_promise(member, answer)
    elif isinstance(answer, messages.QuorumReadReply):
        proposer.handle_quorum_read_reply(member, answer)
    else:
        proposer.handle_accepted(member, answer)


def make_proposer(*, own: str, port, seeds: tuple, is_naming: bool):
    return proposers.Proposer(
        own=own,
        seeds=seeds,
        send=port.send,
        later=port.later,
        now=port.now,
        chance=port.chance,
        on_chosen=port.on_chosen,
        accepted_value=port.accepted_value if is_naming else None,
        limit_s=1.0,
        attempt_timeout_s=0.5,
    )


def copy_acceptor(old):
    new = acceptors.Acceptor(incarnation=old.incarnation)
    new.states = dict(old.states)
    return new


def acceptor_form(accepted_state) -> tuple:
    return (accepted_state.incarnation, tuple(sorted(accepted_state.states.items())))


# --- Copying and comparing live proposers ---------------------------------------------------------------------------


class Reply(typing.NamedTuple):
    """An answer on its way, where requests and answers are apart."""

    message: tuple


class Immutable:
    """Never copied; compared by name. Everything of this module that a proposer holds on to."""

    name = ""


_PLAIN_TYPES = (str, bytes, int, float, enum.Enum, types.CodeType, types.ModuleType, type)


def _is_plain(item) -> bool:
    return item is None or isinstance(item, _PLAIN_TYPES)


def _fields(item) -> list:
    names = list(getattr(type(item), "__slots__", ())) + list(getattr(item, "__dict__", ()))
    return [(name, getattr(item, name)) for name in names if hasattr(item, name)]


def clone(item, memo: dict):
    """A deep copy that also copies closures, with their cells bound to the copies."""
    if _is_plain(item) or isinstance(item, Immutable):
        return item
    if isinstance(item, types.MethodType):
        return (
            item
            if isinstance(item.__self__, Immutable)
            else types.MethodType(item.__func__, clone(item.__self__, memo))
        )
    if isinstance(item, types.FunctionType) and not item.__closure__ and not item.__defaults__:
        return item
    known = memo.get(id(item))
    if known is not None:
        return known
    if isinstance(item, tuple | frozenset):
        parts = [clone(part, memo) for part in item]
        return type(item)._make(parts) if hasattr(item, "_make") else type(item)(parts)
    if isinstance(item, dict):
        new = memo[id(item)] = type(item)()
        for key, part in item.items():
            new[key] = clone(part, memo)
        return new
    if isinstance(item, list | collections.deque):
        new = memo[id(item)] = type(item)()
        new.extend(clone(part, memo) for part in item)
        return new
    if isinstance(item, set):
        return set(item)
    if isinstance(item, types.FunctionType):
        cells = tuple(types.CellType(clone(cell.cell_contents, memo)) for cell in item.__closure__ or ())
        defaults = clone(item.__defaults__, memo)
        return types.FunctionType(item.__code__, item.__globals__, item.__name__, defaults, cells)
    new = memo[id(item)] = object.__new__(type(item))
    for name, part in _fields(item):
        object.__setattr__(new, name, clone(part, memo))
    return new


def form(item, memo: dict):
    """A hashable canonical form; an object met again is told by its place."""
    if item is None or isinstance(item, str | bytes | int | float | enum.Enum):
        return item
    if isinstance(item, Immutable):
        return item.name
    if isinstance(item, types.MethodType):
        return (item.__name__, form(item.__self__, memo))
    if isinstance(item, types.FunctionType):
        cells = tuple(form(cell.cell_contents, memo) for cell in item.__closure__ or ())
        return (item.__code__.co_firstlineno, cells, form(item.__defaults__, memo))
    if isinstance(item, tuple):
        return tuple(form(part, memo) for part in item)
    if isinstance(item, set | frozenset):
        return tuple(sorted(item))
    if id(item) in memo:
        return ("again", memo[id(item)])
    memo[id(item)] = len(memo)
    if isinstance(item, dict):
        return tuple((key, form(item[key], memo)) for key in sorted(item))
    if isinstance(item, list | collections.deque):
        return tuple(form(part, memo) for part in item)
    return (type(item).__name__, tuple((name, form(part, memo)) for name, part in _fields(item)))


def _cells(action) -> dict:
    if not isinstance(action, types.FunctionType):
        return {}
    return dict(
        zip(action.__code__.co_freevars, [cell.cell_contents for cell in action.__closure__ or ()], strict=True)
    )


def is_stale(action) -> bool:
    """A timer of an attempt that is over does nothing."""
    cells = _cells(action)
    proposal = cells.get("proposal")
    if proposal is None:
        return False
    return proposal.stage is Stage.FINISHED or proposal.number != cells.get("number", proposal.number)


def is_pause(action) -> bool:
    """The wait before a further attempt. It is left out: requests may be delayed as long, so it tells nothing new."""
    proposal = _cells(action).get("proposal")
    return proposal is not None and proposal.stage is Stage.BACKOFF


class Port(Immutable):
    """The outside of one proposer: what it sends, sets and tells is gathered here and taken after each step."""

    def __init__(self, *, name: str):
        self.name = name
        self.sent = []
        self.timers = []
        self.facts = []
        self.state = EMPTY

    def accepted_value(self, _name: str) -> AcceptedValue:
        """What the disk of the proposer's own node holds."""
        return self.state.accepted_value

    def send(self, member: str, message: tuple) -> None:
        self.sent.append((member, message))

    def later(self, delay: float, action) -> None:
        self.timers.append((delay, action))

    def now(self) -> float:
        return 0.0

    def chance(self) -> float:
        return 0.0

    def on_chosen(self, _name, _ballot, rev, value, _is_newly_chosen) -> None:
        self.facts.append(("chosen", rev, value))


class Edit(Immutable):
    """Adds its tag, and knows its own work again."""

    def __init__(self, *, tag: str):
        self.name = tag

    def __call__(self, payload):
        payload = payload or []
        if self.name in payload:
            return payload, None
        return [*payload, self.name], None


class Done(Immutable):
    def __init__(self, *, port: Port, call: str):
        self.name = call
        self._port = port

    def __call__(self, fault, rev, payload, _result) -> None:
        if fault is None:
            self._port.facts.append(("done", self.name, rev, tuple(payload or ())))
        else:
            self._port.facts.append(("failed", self.name, 0, ()))


# --- Scenarios ------------------------------------------------------------------------------------------------------


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


class InvariantError(Exception):
    """A rule is broken in this history."""


class StateComponent:
    """A live object with its canonical form; never changed once it stands in a state."""

    __slots__ = ("live", "key")

    def __init__(self, live, key):
        self.live = live
        self.key = key


class State:
    """Everything that can still matter. Copied shallowly; a step puts new parts in place of those it changes."""

    __slots__ = (
        "nodes",
        "writers",
        "pool",
        "begun",
        "latest",
        "left",
        "longest",
        "latest_chosen",
        "budget",
        "gathered",
        "waits",
    )

    def copy(self):
        new = State()
        new.nodes = dict(self.nodes)
        new.writers = dict(self.writers)
        new.pool = self.pool
        new.begun = dict(self.begun)
        new.latest = dict(self.latest)
        new.left = dict(self.left)
        new.longest = self.longest
        new.latest_chosen = self.latest_chosen
        new.budget = dict(self.budget)
        new.gathered = dict(self.gathered)
        new.waits = dict(self.waits)
        return new

    def key(self) -> tuple:
        """The first five have the same keys in the same order in each state of a scenario."""
        return (
            tuple([part.key for part in self.nodes.values()]),
            tuple([part.key for part in self.writers.values()]),
            tuple(self.latest.values()),
            tuple(self.left.values()),
            tuple(self.budget.values()),
            self.pool,
            self.longest,
            self.latest_chosen,
            tuple(sorted(self.begun.items())),
            tuple(sorted((name, part.key) for name, part in self.gathered.items())),
            tuple(sorted(self.waits.items())),
        )


class Explorer:
    """Breadth-first over all states of one scenario."""

    def __init__(self, *, scenario: Scenario, acceptor_type=acceptors.Acceptor):
        self.scenario = scenario
        self._acceptor_type = acceptor_type
        self._ids = {}
        self._items = []  # requests (and answers, where split) by their number; a pool is a set of numbers
        self._item_numbers = {}
        self._gathered = {}  # (refill, answering node): what comes of one more answer
        self._takes = {}  # (part, accept): whether the node would accept it
        self._asked = {}  # (part, request): the node after it, and its answer
        self._moves = {}  # (part, step): what comes of it; parts are never changed, so each step is taken once
        self.ports = {writer.name: Port(name=writer.name) for writer in scenario.writers}
        self._writers = {writer.name: writer for writer in scenario.writers}
        self._calls = {call.name: (writer.name, call) for writer in scenario.writers for call in writer.calls}

    # -- building parts

    def _intern(self, key) -> int:
        return self._ids.setdefault(key, len(self._ids))

    def _node(self, accepted_state, safe=None) -> StateComponent:
        """`safe` is what the disk holds where that is older than what the node knows."""
        safe = safe or accepted_state
        return StateComponent(
            (accepted_state, safe), self._intern((acceptor_form(accepted_state), acceptor_form(safe)))
        )

    def _writer(self, proposer, timers) -> StateComponent:
        timers = [action for action in timers if not is_stale(action)]
        memo = {}
        return StateComponent((proposer, timers), self._intern((form(proposer, memo), form(timers, memo))))

    def _retire_writer(self, state: State, name: str) -> None:
        """A writer without attempts left does nothing more: what it knows no longer tells states apart."""
        state.left[name] = -1
        state.latest[name] = (-1, ())
        state.writers[name] = StateComponent((state.writers[name].live[0], []), -1)

    def _make_acceptor(self, incarnation: str):
        return self._acceptor_type(incarnation=incarnation)

    def _copy_acceptor(self, old):
        new = copy_acceptor(old)
        new.__class__ = self._acceptor_type
        return new

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
            accepted_state = self._make_acceptor(f"{name}1")
            if name in (scenario.first_value_members or scenario.members):
                accepted_state.states[REGISTER] = RegisterState(FIRST_BALLOT, FIRST_BALLOT, 1, value)
            state.nodes[name] = self._node(accepted_state)
        state.waits = {}
        for row in scenario.rows:
            safe = state.nodes[row.node].live[1]
            accepted_state = self._copy_acceptor(safe)
            found = make_value(members=row.members, tags=row.tags, previous=row.previous)
            accepted_state.states[REGISTER] = RegisterState(row.ballot, row.ballot, len(row.tags), found)
            state.nodes[row.node] = self._node(accepted_state, None if row.is_safe else safe)
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
            state.nodes[name] = self._node(self._make_acceptor(""))
            state.gathered[name] = self._catch_up(make_catch_up(own=name, kind=scenario.catch_up))
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
        self._prune(state)
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

    # -- rules

    def _handle_event(self, state: State, name: str, fact: tuple) -> None:
        if fact[0] == "failed":
            state.begun[fact[1]] = OVER
            return
        if fact[0] == "chosen":
            rev, tags = fact[1], tags_of(fact[2])
        else:
            rev, tags = fact[2], fact[3]
        if rev != len(tags):
            raise InvariantError(f"revision {rev} holds {tags}")
        size = min(len(tags), len(state.longest))
        if tags[:size] != state.longest[:size]:
            raise InvariantError(f"{name}: {tags} is chosen at revision {rev}, and so was {state.longest}")
        if fact[0] == "done":
            call = self._calls[fact[1]][1]
            if len(tags) < state.begun[fact[1]]:
                raise InvariantError(
                    f"{fact[1]} saw revision {rev}; {state.begun[fact[1]]} was acknowledged before it began"
                )
            if call.kind != "read" and call.name not in tags:
                raise InvariantError(f"{fact[1]} was acknowledged without its change: {tags}")
            state.begun[fact[1]] = OVER
        if len(tags) > len(state.longest):
            state.longest = tags
            if fact[0] == "chosen":
                state.latest_chosen = fact[2]

    # -- steps of nodes

    def _deliver(self, state: State, item: tuple) -> None:
        name, member, message = item
        if isinstance(message, Reply):
            self._answer(state, name, member, message.message)
            return
        part = state.nodes[member]
        if member not in self.scenario.crashes:
            state.nodes[member], answer = self._handle_durable_request(part, message)
            self._send_answer(state, name, member, answer)
            return
        accepted_state, safe = part.live
        if isinstance(message, messages.QuorumRead):
            self._send_answer(
                state,
                name,
                member,
                (accepted_state if self.scenario.is_quorum_read_early else safe).quorum_read(message),
            )
            return
        acceptor, answer = self._apply_request(accepted_state, message)
        is_waiting = accepted_state is not safe or acceptor_form(acceptor) != acceptor_form(accepted_state)
        if not is_waiting:
            self._send_answer(state, name, member, answer)
            return
        state.nodes[member] = self._node(acceptor, safe)
        state.waits[member] = (*state.waits.get(member, ()), (name, answer))

    def _handle_durable_request(self, part: StateComponent, message: tuple) -> tuple:
        """The node after a request, all of it safe on its disk, and its answer."""
        slot = (part.key, message)
        if slot not in self._asked:
            acceptor, answer = self._apply_request(part.live[0], message)
            self._asked[slot] = (self._node(acceptor), answer)
        return self._asked[slot]

    def _apply_request(self, accepted_state, message: tuple) -> tuple:
        acceptor = self._copy_acceptor(accepted_state)
        if isinstance(message, messages.Prepare):
            answer = acceptor.prepare(message)[0]
        elif isinstance(message, messages.Accept):
            answer = acceptor.accept(message)[0]
        else:
            answer = acceptor.quorum_read(message)
        return acceptor, answer

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
        state.nodes[member] = self._node(state.nodes[member].live[0])
        for name, answer in state.waits.pop(member):
            self._send_answer(state, name, member, answer)

    def _gather(self, state: State, own: str, other: str) -> None:
        """An emptied node takes one more answer, and votes again once its refill is done."""
        part, source = state.gathered[own], state.nodes[other]
        slot = (part.key, source.key, own, other)
        if slot not in self._gathered:
            self._gathered[slot] = self._gather_new(part, source, own, other)
        source, is_done, found = self._gathered[slot]
        state.nodes[other] = source
        if is_done:
            state.nodes[own] = found
            del state.gathered[own]
        else:
            state.gathered[own] = found

    def _gather_new(self, part: StateComponent, source: StateComponent, own: str, other: str) -> tuple:
        """(the node that answered, whether the refill is done, the emptied node or its refill)."""
        catch_up = clone(part.live, {})
        request = catch_up.request()
        answering = self._copy_acceptor(source.live[0])
        rows = answer_catch_up(answering, request)
        catch_up.handle(member=other, number=request.number, first_set=self.scenario.members, rows=rows)
        if catch_up.stage != refills.Stage.DONE:
            return self._node(answering), False, self._catch_up(catch_up)
        acceptor = self._make_acceptor("")
        acceptor.catch_up(incarnation=f"{own}2", states=tuple(catch_up.answers.values()))
        return self._node(answering), True, self._node(acceptor)

    def _catch_up(self, catch_up) -> StateComponent:
        return StateComponent(catch_up, self._intern(("refill", form(catch_up, {}))))

    # -- the choice of steps

    def steps(self, state: State):
        scenario = self.scenario
        for number in state.pool:
            item = self._items[number]
            yield ("deliver", *item), lambda new, number=number: self._deliver_once(new, number)
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

    def _deliver_once(self, state: State, number: int) -> None:
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
        state.nodes[name] = self._node(self._make_acceptor(""))
        state.waits.pop(name, None)
        state.gathered[name] = self._catch_up(make_catch_up(own=name, kind=self.scenario.catch_up))

    def _crash(self, state: State, name: str) -> None:
        state.budget["crash"] -= 1
        state.nodes[name] = self._node(state.nodes[name].live[1])
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

    def _prune(self, state: State) -> None:
        """Drops what can only refuse (see the head of this module)."""
        state.pool = frozenset([number for number in state.pool if self._matters(state, number)])

    def _matters(self, state: State, number: int) -> bool:
        name, member, message = self._items[number]
        inner = message.message if isinstance(message, Reply) else message
        if state.left.get(name, -1) >= 0 and inner.number == state.latest[name][0]:
            return True
        return isinstance(message, messages.Accept) and self._is_taken(state.nodes[member], message)

    def _is_taken(self, part: StateComponent, message: tuple) -> bool:
        """Whether the node would accept this, and does not hold it already."""
        slot = (part.key, message)
        if slot not in self._takes:
            accepted_state = part.live[0]
            is_promiser = (
                accepted_state.incarnation == message.incarnation or self._acceptor_type is not acceptors.Acceptor
            )
            promised, accepted = accepted_state.get(REGISTER)[:2]
            ballot = message.ballot
            self._takes[slot] = is_promiser and ballot >= promised and ballot != accepted
        return self._takes[slot]

    def run(self, *, max_states: int) -> Outcome:
        begun = time.monotonic()
        first = self.start()
        seen = {first.key(): None}
        queue = collections.deque([(first, None)])
        finding = None
        while queue and finding is None and len(seen) < max_states:
            state, trail = queue.popleft()
            for label, action in self.steps(state):
                new = state.copy()
                try:
                    action(new)
                except InvariantError as fault:
                    finding = Finding(str(fault), history((label, trail)), len(seen))
                    break
                self._prune(new)
                key = hash(new.key())
                if key not in seen:
                    seen[key] = None
                    queue.append((new, (label, trail)))
        is_exhaustive = finding is None and not queue
        return Outcome(self.scenario.name, len(seen), time.monotonic() - begun, finding, is_exhaustive)


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


# --- Planted faults -------------------------------------------------------------------------------------------------


@contextlib.contextmanager
def majority_check_skipped(members: tuple):
    """Planted fault: nobody asks for a majority of this set."""
    real = ballots.has_majority

    def faulty(*, of, among) -> bool:
        return set(of) == set(members) or real(of=of, among=among)

    ballots.has_majority = faulty
    try:
        yield
    finally:
        ballots.has_majority = real


@contextlib.contextmanager
def previous_set_skipped():
    """Planted fault: of a value found, only its own set counts, not the one before it."""
    real = ballots.member_sets
    ballots.member_sets = lambda value: real(value)[-1:]
    try:
        yield
    finally:
        ballots.member_sets = real


class ForgetfulAcceptor(acceptors.Acceptor):
    """Planted fault: an accept is taken whichever incarnation promised."""

    def accept(self, request: messages.Accept) -> acceptors.Decision:
        return super().accept(request._replace(incarnation=self.incarnation))


class UnfencedCatchUp(refills.LearnerCatchUp):
    """Planted fault: takes the rows as they are told, without a fence."""

    def _raise_fence(self) -> None:
        self.stage = refills.Stage.DONE


class SingleNodeCatchUp(refills.LearnerCatchUp):
    """Planted fault: one answer is enough."""

    def has_enough(self) -> bool:
        return bool(self.answers)


CATCH_UPS = {"real": refills.LearnerCatchUp, "plain": UnfencedCatchUp, "single": SingleNodeCatchUp}


# --- The scenarios --------------------------------------------------------------------------------------------------

OLD = ("A", "B", "C")
SWAPPED = ("B", "C", "D")
GROWN = ("A", "B", "C", "D")
SHRUNK = ("A", "B")
FIVE = ("A", "B", "C", "D", "E")
NEW_SEEDS = ("D", "E")


def write_by(name: str, *, attempts: int = 1, known: tuple = OLD, is_first: bool = True, **more) -> Writer:
    call = Call(name=name.lower(), kind="write", attempts=attempts, is_first=is_first)
    return Writer(name=name, known=known, calls=(call,), **more)


def read_by(name: str, *, attempts: int = 1, known: tuple = OLD, is_first: bool = False) -> Writer:
    call = Call(name=name.lower(), kind="read", attempts=attempts, is_first=is_first)
    return Writer(name=name, known=known, calls=(call,))


def move_by(name: str, *, to: tuple, attempts: int = 1, known: tuple = OLD) -> Writer:
    return Writer(name=name, known=known, calls=(Call(name="move", kind="move", to=to, attempts=attempts),))


def move_of(*, name: str, to: tuple, attempts: int = 1, others: tuple = (), **more) -> Scenario:
    """P moves the set, Q writes, others do what they do; all know the old set only."""
    nodes = tuple(sorted({*OLD, *to}))
    writers = (move_by("P", to=to), write_by("Q", attempts=attempts), *others)
    return Scenario(name=name, members=OLD, nodes=nodes, writers=writers, **more)


def accepted(*, nodes: str, ballot: tuple, members: tuple, tags: tuple, previous: tuple = ()) -> tuple:
    return tuple(
        Row(node=node, ballot=Ballot(*ballot), members=members, tags=tags, previous=previous) for node in nodes
    )


def half_moved(*, name: str, writers: tuple, **more) -> Scenario:
    """The swap was accepted at C and D only: a majority of the new set, not of the old one."""
    rows = accepted(nodes="CD", ballot=(2, "M"), members=SWAPPED, tags=(FIRST_TAG, "m"), previous=OLD)
    return Scenario(name=name, members=OLD, nodes=GROWN, rows=rows, writers=writers, **more)


def moved(*, name: str, writers: tuple, back: str = "", **more) -> Scenario:
    """The swap was chosen at B, C and D; A missed it. A move back was accepted at the nodes `back`, and is not chosen."""
    rows = accepted(nodes="BCD", ballot=(2, "M"), members=SWAPPED, tags=(FIRST_TAG, "m"))
    rows += accepted(nodes=back, ballot=(3, "N"), members=OLD, tags=(FIRST_TAG, "m", "n"), previous=SWAPPED)
    return Scenario(
        name=name,
        members=OLD,
        nodes=GROWN,
        rows=rows,
        chosen=(FIRST_TAG, "m"),
        chosen_set=SWAPPED,
        writers=writers,
        **more,
    )


def onward(*, name: str, writers: tuple, **more) -> Scenario:
    """The swap to BCD was chosen at A, B and D; a second one, to CDE, was accepted at C only."""
    rows = accepted(nodes="ABD", ballot=(2, "M"), members=SWAPPED, tags=(FIRST_TAG, "m"), previous=OLD)
    rows += accepted(nodes="C", ballot=(3, "N"), members=("C", "D", "E"), tags=(FIRST_TAG, "m", "n"), previous=SWAPPED)
    return Scenario(
        name=name,
        members=OLD,
        nodes=FIVE,
        rows=rows,
        chosen=(FIRST_TAG, "m"),
        chosen_set=SWAPPED,
        writers=writers,
        **more,
    )


def small() -> tuple:
    """Whole within seconds."""
    return (
        move_of(name="swap", to=SWAPPED),
        move_of(name="grow by one", to=GROWN),
        move_of(name="shrink by one, two attempts", to=SHRUNK, attempts=2),
        move_of(name="three to five at once", to=FIVE),
        move_of(name="shrink by one, requests twice", to=SHRUNK, repeats=1),
        move_of(name="shrink by one, answers apart from requests", to=SHRUNK, is_split=True),
        move_of(name="swap, one member lags", to=SWAPPED, first_value_members=("A", "B")),
        half_moved(name="half a swap, two old ones write", writers=(write_by("Q"), write_by("R"))),
        half_moved(name="half a swap, one reads", writers=(read_by("Q", is_first=True), write_by("R"))),
        moved(
            name="an evicted member with the old state",
            writers=(write_by("Q"), write_by("R", known=SWAPPED)),
            learning_proposers=("Q",),
        ),
        moved(name="an evicted member reads", writers=(read_by("Q"), write_by("R", known=SWAPPED))),
        moved(
            name="there and back, one of the first time reads",
            writers=(read_by("Q"), write_by("R", known=SWAPPED)),
            back="AB",
        ),
        moved(
            name="there and back, one of the first time writes",
            writers=(write_by("Q", attempts=2), write_by("R", known=SWAPPED)),
            back="A",
        ),
        onward(name="two moves, one knows neither", writers=(write_by("Q"), write_by("R", known=SWAPPED))),
        Scenario(name="one disk emptied", members=OLD, nodes=OLD, writers=(write_by("P"), write_by("R")), wipes=("A",)),
        Scenario(
            name="values left out of answers",
            members=OLD,
            nodes=OLD,
            writers=(write_by("P", attempts=2, home="A", is_naming=True), write_by("R", home="B", is_naming=True)),
        ),
        slow_disk(name="a peek while a disk is slow"),
    )


def slow_disk(*, name: str, is_quorum_read_early: bool = False) -> Scenario:
    """P's value is accepted at A; B has it under way. One reads by a peek, another writes, B may lose its memory."""
    rows = accepted(nodes="AB", ballot=(2, "P"), members=OLD, tags=(FIRST_TAG, "p"))
    rows = (rows[0], dataclasses.replace(rows[1], is_safe=False))
    return Scenario(
        name=name,
        members=OLD,
        nodes=OLD,
        rows=rows,
        writers=(read_by("Q", is_first=True), write_by("R")),
        crashes=("B",),
        is_quorum_read_early=is_quorum_read_early,
    )


def large() -> tuple:
    """Minutes; not all of it is gone through whole at the usual bound of states."""
    return (
        move_of(name="swap, two attempts", to=SWAPPED, attempts=2),
        move_of(name="grow by one, two attempts", to=GROWN, attempts=2),
        move_of(name="three to five at once, two attempts", to=FIVE, attempts=2),
        move_of(name="swap, the newcomer learns first", to=SWAPPED, learners=("D",)),
        half_moved(name="half a swap, B emptied", writers=(write_by("Q"), write_by("R")), wipes=("B",)),
        move_of(name="swap, B emptied", to=SWAPPED, wipes=("B",)),
        move_of(name="swap, the newcomer emptied", to=SWAPPED, wipes=("D",)),
        move_of(name="swap, one reads later", to=SWAPPED, others=(read_by("R"),)),
        move_of(name="swap, answers apart from requests", to=SWAPPED, is_split=True),
        move_of(name="swap, three write", to=SWAPPED, others=(write_by("R"),)),
        half_moved(
            name="half a swap, B emptied, two attempts",
            writers=(write_by("Q", attempts=2), write_by("R")),
            wipes=("B",),
        ),
        half_moved(
            name="half a swap, a process starts again from its disk",
            writers=(write_by("Q", home="D"), write_by("R")),
            restarts=("Q",),
        ),
        half_moved(
            name="half a swap, two old ones write, two attempts", writers=(write_by("Q", attempts=2), write_by("R"))
        ),
        moved(
            name="an evicted member with the old state, two attempts",
            writers=(write_by("Q", attempts=2), write_by("R", known=SWAPPED)),
            learning_proposers=("Q",),
        ),
        move_of(name="swap, requests twice", to=SWAPPED, repeats=1),
        moved(
            name="there and back, three attempts",
            writers=(write_by("Q", attempts=3), write_by("R", known=SWAPPED)),
            back="A",
        ),
        onward(
            name="two moves, one knows neither, two attempts",
            writers=(write_by("Q", attempts=2), write_by("R", known=SWAPPED)),
        ),
        Scenario(
            name="an even set, one disk emptied",
            members=GROWN,
            nodes=GROWN,
            writers=(write_by("P"), write_by("R")),
            wipes=("A",),
        ),
        Scenario(
            name="one disk emptied, two attempts",
            members=OLD,
            nodes=OLD,
            writers=(write_by("P", attempts=2), write_by("R")),
            wipes=("A",),
        ),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A scenario with a fault put in, which has to be found."""

    scenario: Scenario
    mutations: collections.abc.Callable = contextlib.nullcontext  # puts the fault into the code for the time of the run
    acceptor_type: type = acceptors.Acceptor


def mutations() -> tuple:
    emptied = Scenario(name="", members=OLD, nodes=OLD, writers=(write_by("P"), write_by("R")), wipes=("A",))
    return (
        Mutant(
            scenario=move_of(name="majority of the new set only", to=SWAPPED),
            mutations=functools.partial(majority_check_skipped, OLD),
        ),
        Mutant(
            scenario=moved(name="majority of the old set only", writers=(write_by("Q"), write_by("R", known=SWAPPED))),
            mutations=functools.partial(majority_check_skipped, SWAPPED),
        ),
        Mutant(
            scenario=onward(name="the set before is not added", writers=(write_by("Q"), write_by("R", known=SWAPPED))),
            mutations=previous_set_skipped,
        ),
        Mutant(
            scenario=half_moved(
                name="an accepted set taken as known after a restart",
                writers=(write_by("Q", home="D"), write_by("R")),
                restarts=("Q",),
            ),
            mutations=previous_set_skipped,
        ),
        Mutant(
            scenario=dataclasses.replace(emptied, name="accept under another incarnation than promised"),
            acceptor_type=ForgetfulAcceptor,
        ),
        Mutant(scenario=dataclasses.replace(emptied, name="refill from one node", catch_up="single")),
        Mutant(scenario=dataclasses.replace(emptied, name="refill without a fence", catch_up="plain")),
        Mutant(
            scenario=Scenario(
                name="seeds, all of them new, as the set of a newcomer",
                members=OLD,
                nodes=FIVE,
                writers=(write_by("Q", known=(), seeds=NEW_SEEDS), write_by("R")),
            )
        ),
        Mutant(scenario=slow_disk(name="a peek of what no disk holds", is_quorum_read_early=True)),
        Mutant(
            scenario=Scenario(
                name="a value that leaves out the set before while its own was never chosen",
                members=OLD,
                nodes=GROWN,
                rows=accepted(nodes="CD", ballot=(2, "M"), members=SWAPPED, tags=(FIRST_TAG, "m")),
                writers=(write_by("Q", known=SWAPPED), write_by("R")),
            )
        ),
    )


def explore(*, scenario: Scenario, max_states: int) -> Outcome:
    return Explorer(scenario=scenario).run(max_states=max_states)


def explore_mutant(*, fault: Mutant, max_states: int) -> Outcome:
    explorer = Explorer(scenario=fault.scenario, acceptor_type=fault.acceptor_type)
    with fault.mutations():
        return explorer.run(max_states=max_states)


SMALL_STATES = 100_000
LARGE_STATES = 1_000_000


def describe(outcome: Outcome) -> str:
    how = "all" if outcome.is_exhaustive else "NOT ALL"
    how = "BROKEN" if outcome.finding is not None else how
    return f"{outcome.scenario}: {outcome.states} states in {outcome.seconds:.1f} s, {how}"


def main(arguments=None) -> int:
    parser = argparse.ArgumentParser(
        prog="python3 -m ploverward.simulation.model_checker", description="Moves of the set, step by step."
    )
    parser.add_argument("--budget", choices=("small", "large", "planted"), default="small")
    parser.add_argument("--scenario", default="", help="only those whose name holds this text")
    parser.add_argument("--states", type=int, default=0, help="most states of one scenario")
    chosen = parser.parse_args(arguments)
    is_large = chosen.budget == "large"
    most = chosen.states or (LARGE_STATES if is_large else SMALL_STATES)
    if chosen.budget == "planted":
        runs = [
            (fault.scenario, lambda fault=fault: explore_mutant(fault=fault, max_states=most)) for fault in mutations()
        ]
    else:
        scenarios = large() if is_large else small()
        runs = [(row, lambda row=row: explore(scenario=row, max_states=most)) for row in scenarios]
    is_broken = False
    for scenario, run in runs:
        if chosen.scenario not in scenario.name:
            continue
        outcome = run()
        print(describe(outcome), flush=True)
        if outcome.finding is not None:
            print(outcome.finding.text(), flush=True)
        is_broken = is_broken or (outcome.finding is not None) != (chosen.budget == "planted")
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
