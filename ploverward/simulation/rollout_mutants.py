"""Mutants of the roll-outs: seeded bugs in the product's code, to show that the checks of the simulation find them.

Their names are those that `simulate --world rollouts --planted` prints (docs/simulate.md).
"""

from __future__ import annotations

import contextlib
import dataclasses
import unittest.mock
import weakref
from collections.abc import Callable
from typing import Any

from ploverward.control_plane.rollouts import canary_trial
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import judge
from ploverward.control_plane.rollouts import lease_granter
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.rollouts import version_routing
from ploverward.simulation import rollout_simulation
from ploverward.transport import messages

MAX_SEEDS = 60  # runs within which a mutant is to be found
JUDGED_AT_FIRST_S = 2.0  # of the mutant judge that does not look later
LONGER_LEASE = 9  # times the usual lease

Patches = Callable[[], list[contextlib.AbstractContextManager]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A seeded bug.

    Attributes:
        patches: Makes the patches that put it into the code.
        kind: Of the new version: "good", or how it is bad.
        fault_kinds: Of the runs that may show it.
        check: That is to find it.
    """

    patches: Patches
    kind: str
    fault_kinds: tuple[str, ...]
    check: str


def _leases_without_end() -> list[contextlib.AbstractContextManager]:
    real = version_routing.VersionRouter.handle_leases

    def handle_leases(router: version_routing.VersionRouter, message: messages.RolloutLeases) -> None:
        real(router, message._replace(duration_s=message.duration_s * LONGER_LEASE))

    return [unittest.mock.patch.object(version_routing.VersionRouter, "handle_leases", handle_leases)]


def _a_stage_that_is_reverted() -> list[contextlib.AbstractContextManager]:
    """A coordinator that begins anew after the promotion, and a register that takes any step."""
    real = planner.next_transition

    def next_transition(view: planner.RolloutView) -> planner.Transition | None:
        if view.rollout.stage == state.Stage.PROMOTING:
            return planner.Transition(stage=state.Stage.CANARY, reason="once more")
        return real(view)

    any_stage = dict.fromkeys(state.IN_PROGRESS_STAGES, tuple(state.Stage))
    return [
        unittest.mock.patch.object(planner, "next_transition", next_transition),
        unittest.mock.patch.object(state, "NEXT_STAGES", any_stage),
    ]


def _a_coordinator_that_never_stops() -> list[contextlib.AbstractContextManager]:
    def deactivate(acting: manager.RolloutManager) -> None:
        acting._acting_until = 1e9

    return [unittest.mock.patch.object(manager.RolloutManager, "deactivate", deactivate)]


def _delivered_with_work_running() -> list[contextlib.AbstractContextManager]:
    return [unittest.mock.patch.object(evidence_table.EvidenceTable, "is_drained", lambda _table, **_about: True)]


def _the_list_before_the_order() -> list[contextlib.AbstractContextManager]:
    return [unittest.mock.patch.object(state.Rollout, "is_admitted", lambda _row, _edition: True)]


def _a_judge_that_looks_only_at_the_beginning() -> list[contextlib.AbstractContextManager]:
    real = judge.CanaryJudge.record
    began: weakref.WeakKeyDictionary[judge.CanaryJudge, float] = weakref.WeakKeyDictionary()

    def record(judging: judge.CanaryJudge, *, now: float, **about: Any) -> None:  # noqa: ANN401  # handed on
        if now - began.setdefault(judging, now) < JUDGED_AT_FIRST_S:
            real(judging, now=now, **about)

    return [unittest.mock.patch.object(judge.CanaryJudge, "record", record)]


def permanently_doubtful_verdict() -> list[contextlib.AbstractContextManager]:
    """Of a promoted version: nothing that it answers clears or condemns it. By itself that breaks no check."""
    real = canary_trial.CanaryTrial.evaluate
    promoted: weakref.WeakSet[canary_trial.CanaryTrial] = weakref.WeakSet()

    def evaluate(trial: canary_trial.CanaryTrial, *, is_canary: bool, **about: Any) -> None:  # noqa: ANN401
        real(trial, is_canary=is_canary, **about)
        if not is_canary:
            promoted.add(trial)

    def verdict(trial: canary_trial.CanaryTrial) -> judge.Verdict:
        return judge.Verdict.DOUBTFUL if trial in promoted else judge.Verdict.CLEAR

    return [
        unittest.mock.patch.object(canary_trial.CanaryTrial, "evaluate", evaluate),
        unittest.mock.patch.object(canary_trial.CanaryTrial, "verdict", property(verdict)),
    ]


def _a_promoted_version_in_doubt_that_waits_for_ever() -> list[contextlib.AbstractContextManager]:
    real = planner.next_transition

    def next_transition(view: planner.RolloutView) -> planner.Transition | None:
        is_waiting = view.rollout.stage == state.Stage.PROMOTING and view.verdict is judge.Verdict.DOUBTFUL
        return None if is_waiting else real(view)

    return [*permanently_doubtful_verdict(), unittest.mock.patch.object(planner, "next_transition", next_transition)]


def _any_answer_proves_a_version() -> list[contextlib.AbstractContextManager]:
    """Promotion as soon as a version answered, all requests at once: the bound rests on the judge alone."""
    return [
        unittest.mock.patch.object(canary_trial.CanaryTrial, "verdict", property(lambda _trial: judge.Verdict.CLEAR)),
        unittest.mock.patch.object(planner, "EARLIEST_PROMOTION", 0.0),
    ]


def _leases_after_the_finding() -> list[contextlib.AbstractContextManager]:
    """A version that was found bad gets requests until the step is written, and the step is never written."""
    real = lease_granter.LeaseGranter.grant

    def grant(granter: lease_granter.LeaseGranter, *, trial: canary_trial.CanaryTrial, **about: Any) -> Any:  # noqa: ANN401
        with unittest.mock.patch.object(trial, "is_bad", False):
            return real(granter, trial=trial, **about)

    def next_transition(view: planner.RolloutView) -> planner.Transition | None:
        is_bad = view.verdict is judge.Verdict.BAD
        return None if is_bad else real_move(view)

    real_move = planner.next_transition
    return [
        unittest.mock.patch.object(lease_granter.LeaseGranter, "grant", grant),
        unittest.mock.patch.object(planner, "next_transition", next_transition),
    ]


MUTANTS: dict[str, Mutant] = {
    "leases without end": Mutant(
        patches=_leases_without_end, kind="errors", fault_kinds=("kill_all", "cut_proxies"), check="lease"
    ),
    "a stage that is reverted": Mutant(
        patches=_a_stage_that_is_reverted, kind="good", fault_kinds=("none",), check="stage"
    ),
    "a coordinator that never stops": Mutant(
        patches=_a_coordinator_that_never_stops, kind="good", fault_kinds=("cut_holder",), check="holder"
    ),
    "delivered with work running": Mutant(
        patches=_delivered_with_work_running, kind="good", fault_kinds=("none",), check="delivered"
    ),
    "the list before the order": Mutant(
        patches=_the_list_before_the_order, kind="errors", fault_kinds=("none",), check="admitted"
    ),
    "a judge that looks only at the beginning": Mutant(
        patches=_a_judge_that_looks_only_at_the_beginning, kind="late", fault_kinds=("none",), check="exposure"
    ),
    "a promoted version in doubt that waits for ever": Mutant(
        patches=_a_promoted_version_in_doubt_that_waits_for_ever, kind="good", fault_kinds=("none",), check="term"
    ),
    "any answer proves a version": Mutant(
        patches=_any_answer_proves_a_version, kind="errors", fault_kinds=("none",), check="exposure"
    ),
    "requests after the finding": Mutant(
        patches=_leases_after_the_finding, kind="errors", fault_kinds=("none",), check="term"
    ),
}


def search(name: str) -> int | None:
    """Plays runs with a mutant until its check finds it; returns the seed, None where `MAX_SEEDS` runs do not."""
    mutant = MUTANTS[name]
    with contextlib.ExitStack() as stack:
        for patch in mutant.patches():
            stack.enter_context(patch)
        for seed in range(MAX_SEEDS):
            report = rollout_simulation.run_simulation(seed, kind=mutant.kind, fault_kinds=mutant.fault_kinds)
            if any(finding.check == mutant.check for finding in report.findings):
                return seed
    return None
