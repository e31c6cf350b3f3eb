"""Tests that a shortened run still breaks its check, and that no further fault can be omitted from it."""

import dataclasses

import pytest

from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import recorder
from ploverward.simulation.control_plane import scenario
from ploverward.simulation.control_plane import shrinking

DRAWN = [faults.DrawnFault(number=number, kind="kill", at=5.0 + number) for number in range(12)]


class Runs:
    """A fake runner, whose runs break a check if they contain the needed faults and, optionally, the closing fault."""

    def __init__(self, *, needed: set[int], needs_closing: bool = False, other_check: str = "") -> None:
        self.needed = needed
        self.needs_closing = needs_closing
        self.other_check = other_check
        self.played: list[scenario.Plan] = []

    def play(self, plan: scenario.Plan) -> scenario.Report:
        self.played.append(plan)
        is_broken = not (self.needed & plan.skipped_faults) and (bool(plan.closing) or not self.needs_closing)
        check = "agreement" if is_broken else self.other_check
        when = 5.5 + max(self.needed, default=0)
        findings = [recorder.Finding(check=check, when=when, text="")] if check else []
        return scenario.Report(
            plan=plan,
            findings=findings,
            history=[],
            machines=3,
            tolerated=1,
            orders=0,
            chosen=0,
            troubles=0,
            faults=list(DRAWN),
            steps=0,
            peak_shares={},
            took_s=0.0,
        )


def shortened(runs: Runs, **about) -> shrinking.ShortenedRun:
    first = runs.play(scenario.Plan(seed=1))
    runs.played.clear()
    return shrinking.RunShortener(report=first, play=runs.play, **about).shorten()


@pytest.mark.parametrize("needed", [set(), {0}, {11}, {3, 4}, {0, 5, 11}, {1, 2, 3, 7}])
def test_shortening_keeps_only_needed_faults(needed):
    result = shortened(Runs(needed=needed))
    assert {fault.number for fault in result.kept} == needed
    assert result.check == "agreement" and result.drawn == len(DRAWN) and not result.has_closing


def test_shortening_keeps_needed_closing_fault():
    result = shortened(Runs(needed={2}, needs_closing=True))
    assert result.has_closing and {fault.number for fault in result.kept} == {2}


def test_shortening_rejects_run_that_breaks_another_check():
    result = shortened(Runs(needed={4}, other_check="reads"))
    assert {fault.number for fault in result.kept} == {4}


def test_the_number_of_runs_is_bounded():
    runs = Runs(needed=set(range(12)))
    result = shortened(runs, max_runs=5)
    assert len(runs.played) == result.runs == 5 and len(result.kept) == 12


def test_skipped_faults_are_drawn_and_not_begun():
    plan = scenario.Plan(seed=5, machines=3, tolerated=1, troubles=("kill",), closing=(), span_s=6.0)
    played = scenario.run_simulation(plan)
    none = scenario.run_simulation(dataclasses.replace(plan, skipped_faults=frozenset(range(1000)), keeps_history=True))
    assert played.faults and played.troubles and none.faults
    assert none.troubles == 0 and not any("kill begins" in text for _when, text in none.history)
