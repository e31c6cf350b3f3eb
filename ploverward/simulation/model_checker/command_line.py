"""Command line of the model checker: explores scenarios or mutants and prints the findings."""

import argparse
import collections.abc
import functools

from ploverward.simulation.model_checker.mutants import explore_mutant
from ploverward.simulation.model_checker.mutants import mutations
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.scenarios import large_scenarios
from ploverward.simulation.model_checker.scenarios import small_scenarios
from ploverward.simulation.model_checker.search import Outcome
from ploverward.simulation.model_checker.search import explore

# Default limits on the states of one scenario. All small scenarios have fewer; a large search ends within minutes.
SMALL_STATES = 100_000
LARGE_STATES = 1_000_000


def describe(outcome: Outcome) -> str:
    """Returns a one-line summary of a search."""
    how = "all" if outcome.is_exhaustive else "NOT ALL"
    how = "BROKEN" if outcome.finding is not None else how
    return f"{outcome.scenario}: {outcome.states} states in {outcome.seconds:.1f} s, {how}"


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Explores the selected scenarios.

    Args:
        arguments: command-line arguments; None for those of the process.

    Returns:
        The exit code: 1 if an invariant was violated or a seeded bug was not found.
    """
    parser = argparse.ArgumentParser(
        prog="python3 -m ploverward.simulation.model_checker",
        description="Checks moves of the core set in every order of steps.",
    )
    parser.add_argument("--budget", choices=("small", "large", "planted"), default="small")
    parser.add_argument("--scenario", default="", help="explore only scenarios whose name contains this text")
    parser.add_argument("--states", type=int, default=0, help="maximum number of states per scenario")
    options = parser.parse_args(arguments)
    is_large = options.budget == "large"
    max_states = options.states or (LARGE_STATES if is_large else SMALL_STATES)
    runs: list[tuple[Scenario, collections.abc.Callable[[], Outcome]]]
    if options.budget == "planted":
        runs = [
            (mutant.scenario, functools.partial(explore_mutant, mutant=mutant, max_states=max_states))
            for mutant in mutations()
        ]
    else:
        scenarios = large_scenarios() if is_large else small_scenarios()
        runs = [
            (scenario, functools.partial(explore, scenario=scenario, max_states=max_states)) for scenario in scenarios
        ]
    is_broken = False
    for scenario, run in runs:
        if options.scenario not in scenario.name:
            continue
        outcome = run()
        print(describe(outcome), flush=True)
        if outcome.finding is not None:
            print(outcome.finding.text(), flush=True)
        is_broken = is_broken or (outcome.finding is not None) != (options.budget == "planted")
    return int(is_broken)
