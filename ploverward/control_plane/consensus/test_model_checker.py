"""Exhaustive search over the step orders of a register and one move of its set, at small size (docs/set-moves.md)."""

import contextlib

import pytest

from ploverward.simulation.model_checker import command_line
from ploverward.simulation.model_checker import live_objects
from ploverward.simulation.model_checker import moves
from ploverward.simulation.model_checker import mutants
from ploverward.simulation.model_checker import scenarios
from ploverward.simulation.model_checker import search

SCENARIOS = scenarios.small_scenarios()
MUTANTS = mutants.mutations()


def name_of(row) -> str:
    return row.name


def name_of_mutant(row) -> str:
    return row.scenario.name


@pytest.mark.parametrize("scenario", SCENARIOS, ids=name_of)
def test_scenario_violates_no_invariant_in_any_order_of_steps(scenario):
    outcome = search.explore(scenario=scenario, max_states=command_line.SMALL_STATES)
    assert outcome.finding is None, outcome.finding.text()
    assert outcome.is_exhaustive


@pytest.mark.parametrize("mutant", MUTANTS, ids=name_of_mutant)
def test_search_finds_the_bug_of_each_mutant(mutant):
    outcome = mutants.explore_mutant(mutant=mutant, max_states=command_line.SMALL_STATES)
    assert outcome.finding is not None


def test_mutant_scenario_without_its_bug_violates_no_invariant():
    """Shows that the search finds the bug itself, not a flaw of the scenario that the bug is put into."""
    for mutant in MUTANTS:
        if mutant.mutations is not contextlib.nullcontext and not mutant.scenario.restarts:
            outcome = search.explore(scenario=mutant.scenario, max_states=command_line.SMALL_STATES)
            assert outcome.finding is None, outcome.finding.text()
            assert outcome.is_exhaustive


def explorer_of(scenario):
    return moves.TransitionSystem(scenario=scenario)


def state_after(explorer, state, count):
    """Takes the first available step `count` times."""
    for _index in range(count):
        label, callback = min(explorer.steps(state), key=lambda step: str(step[0]))
        new = state.copy()
        callback(new)
        explorer.prune(new)
        state = new
    return state


def test_step_does_not_modify_the_state_it_starts_from():
    explorer = explorer_of(SCENARIOS[0])
    state = explorer.start()
    before = state.key()
    for _label, callback in explorer.steps(state):
        callback(state.copy())
    assert state.key() == before


def test_delivery_order_of_independent_messages_does_not_change_the_state():
    explorer = explorer_of(SCENARIOS[0])
    first, second = sorted(explorer.start().pool)[:2]
    keys = set()
    for order in ((first, second), (second, first)):
        state = explorer.start().copy()
        for number in order:
            explorer.deliver_once(state, number)
            explorer.prune(state)
        keys.add(state.key())
    assert len(keys) == 1


def test_cloned_proposer_shares_no_mutable_state():
    explorer = explorer_of(SCENARIOS[0])
    state = state_after(explorer, explorer.start(), 3)
    proposer, timers = state.writers["Q"].live
    copied, copied_timers = live_objects.clone((proposer, timers), {})
    assert live_objects.canonical_form((copied, copied_timers), {}) == live_objects.canonical_form(
        (proposer, timers), {}
    )
    before = live_objects.canonical_form((proposer, timers), {})
    for callback in copied_timers:
        callback()
    explorer.writers.ports["Q"].sent.clear()
    explorer.writers.ports["Q"].timers.clear()
    assert live_objects.canonical_form((proposer, timers), {}) == before


def test_command_prints_the_history_of_a_finding_step_by_step(capsys):
    name = MUTANTS[0].scenario.name
    assert command_line.main(["--budget", "planted", "--scenario", name]) == 0
    output = capsys.readouterr().out
    assert "is chosen at revision" in output
    assert "('deliver'" in output


def test_command_reports_a_search_cut_off_by_the_state_limit(capsys):
    assert command_line.main(["--scenario", SCENARIOS[0].name, "--states", "50"]) == 0
    assert "NOT ALL" in capsys.readouterr().out
