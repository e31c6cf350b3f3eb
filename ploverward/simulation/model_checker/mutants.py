"""Mutants: scenarios with a seeded bug that the search has to find."""

import collections.abc
import contextlib
import dataclasses
import functools

from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.simulation.model_checker import search
from ploverward.simulation.model_checker.faults import IncarnationBlindAcceptor
from ploverward.simulation.model_checker.faults import majority_check_skipped
from ploverward.simulation.model_checker.faults import previous_set_skipped
from ploverward.simulation.model_checker.moves import TransitionSystem
from ploverward.simulation.model_checker.product import FIRST_TAG
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.scenarios import FIVE
from ploverward.simulation.model_checker.scenarios import GROWN
from ploverward.simulation.model_checker.scenarios import NEW_SEEDS
from ploverward.simulation.model_checker.scenarios import OLD
from ploverward.simulation.model_checker.scenarios import SWAPPED
from ploverward.simulation.model_checker.scenarios import accepted
from ploverward.simulation.model_checker.scenarios import half_moved
from ploverward.simulation.model_checker.scenarios import move_of
from ploverward.simulation.model_checker.scenarios import moved
from ploverward.simulation.model_checker.scenarios import second_move
from ploverward.simulation.model_checker.scenarios import slow_disk
from ploverward.simulation.model_checker.scenarios import write_by
from ploverward.simulation.model_checker.search import Outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A scenario with a seeded bug that the search has to find.

    Attributes:
        scenario: a scenario in which the bug violates an invariant.
        mutations: makes a context manager that patches the bug into the code for the duration of the search.
        acceptor_type: the class of all acceptors.
    """

    scenario: Scenario
    mutations: collections.abc.Callable[[], contextlib.AbstractContextManager[None]] = contextlib.nullcontext
    acceptor_type: type[acceptors.Acceptor] = acceptors.Acceptor


def mutations() -> tuple[Mutant, ...]:
    """Returns all mutants. A mutant without a patch or an acceptor type has its bug in the scenario itself."""
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
            scenario=second_move(
                name="the set before is not added", writers=(write_by("Q"), write_by("R", known=SWAPPED))
            ),
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
            acceptor_type=IncarnationBlindAcceptor,
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


def explore_mutant(*, mutant: Mutant, max_states: int) -> Outcome:
    """Searches the scenario of a mutant with its seeded bug in place."""
    transitions = TransitionSystem(scenario=mutant.scenario, acceptor_type=mutant.acceptor_type)
    with mutant.mutations():
        return search.run(transitions=transitions, max_states=max_states)
