"""Initial state of a scenario, before any call has begun."""

from ploverward.control_plane.consensus.register_state import RegisterState
from ploverward.simulation.model_checker.nodes import Nodes
from ploverward.simulation.model_checker.product import FIRST_BALLOT
from ploverward.simulation.model_checker.product import FIRST_TAG
from ploverward.simulation.model_checker.product import REGISTER
from ploverward.simulation.model_checker.product import make_catch_up
from ploverward.simulation.model_checker.product import make_value
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.state import Attempt
from ploverward.simulation.model_checker.state import State
from ploverward.simulation.model_checker.writers import Writers


def first_state(*, scenario: Scenario, nodes: Nodes, writers: Writers) -> State:
    """Returns the nodes with their values, the proposers with their known sets, and the budget of failures."""
    state = State(
        nodes={},
        writers={},
        pool=frozenset(),
        begin_revisions={},
        latest_attempts={},
        attempts_left={},
        longest_chosen=scenario.chosen,
        latest_chosen=make_value(members=scenario.chosen_set or scenario.members, tags=scenario.chosen),
        budget={
            "wipe": int(bool(scenario.wipes)),
            "restart": int(bool(scenario.restarts)),
            "repeat": scenario.repeats,
            "crash": int(bool(scenario.crashes)),
        },
        catch_ups={},
        pending_answers={},
    )
    _add_nodes(state, scenario, nodes)
    _add_rows(state, scenario, nodes)
    _add_learners(state, scenario, nodes)
    _add_writers(state, scenario, writers)
    return state


def _add_nodes(state: State, scenario: Scenario, nodes: Nodes) -> None:
    value = make_value(members=scenario.members, tags=(FIRST_TAG,))
    for name in scenario.nodes:
        acceptor = nodes.make_acceptor(f"{name}1")
        if name in (scenario.first_value_members or scenario.members):
            acceptor.states[REGISTER] = RegisterState(FIRST_BALLOT, FIRST_BALLOT, 1, value)
        state.nodes[name] = nodes.node(acceptor)


def _add_rows(state: State, scenario: Scenario, nodes: Nodes) -> None:
    for row in scenario.rows:
        durable = state.nodes[row.node].live.durable
        acceptor = nodes.copy_acceptor(durable)
        value = make_value(members=row.members, tags=row.tags, previous=row.previous)
        acceptor.states[REGISTER] = RegisterState(row.ballot, row.ballot, len(row.tags), value)
        state.nodes[row.node] = nodes.node(acceptor, None if row.is_durable else durable)
        if not row.is_durable:
            state.pending_answers[row.node] = ()


def _add_learners(state: State, scenario: Scenario, nodes: Nodes) -> None:
    for name in scenario.learners:
        state.nodes[name] = nodes.node(nodes.make_acceptor(""))
        state.catch_ups[name] = nodes.catch_up_component(make_catch_up(own=name, kind=scenario.catch_up))


def _add_writers(state: State, scenario: Scenario, writers: Writers) -> None:
    highest = max([FIRST_BALLOT.number, *[row.ballot.number for row in scenario.rows]])
    for writer in scenario.writers:
        proposer = writers.make_proposer(writer)
        proposer.note_ballot_number(name=REGISTER, number=highest)
        if writer.known:
            proposer.known_sets.members_by_register[REGISTER] = writer.known
        state.writers[writer.name] = writers.component(proposer, [])
        state.attempts_left[writer.name] = 0
        state.latest_attempts[writer.name] = Attempt(number=0, ballot=None)
