"""Mutants of the roll-out code: seeded bugs that show that the checks of the simulation detect them.

The names in `MUTANTS` are those that `simulate --world rollouts --planted` prints (docs/simulate.md).
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

MAX_SEEDS = 60  # runs within which a mutant must be detected
EARLY_RECORDING_S = 2.0  # time for which the judge of one mutant records answers
LEASE_DURATION_FACTOR = 9  # extended lease of a mutant, relative to the granted lease

Patches = Callable[[], list[contextlib.AbstractContextManager]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A seeded bug.

    Attributes:
        patches: Creates the patches that apply the bug to the code.
        kind: "good", or the defect of the new version in the runs.
        fault_kinds: Faults injected in the runs.
        check: Name of the check that must detect it.
    """

    patches: Patches
    kind: str
    fault_kinds: tuple[str, ...]
    check: str


def _extended_leases() -> list[contextlib.AbstractContextManager]:
    """Proxies use leases for `LEASE_DURATION_FACTOR` times their duration."""
    real = version_routing.VersionRouter.handle_leases

    def handle_leases(router: version_routing.VersionRouter, message: messages.RolloutLeases) -> None:
        real(router, message._replace(duration_s=message.duration_s * LEASE_DURATION_FACTOR))

    return [unittest.mock.patch.object(version_routing.VersionRouter, "handle_leases", handle_leases)]


def _reverted_stage() -> list[contextlib.AbstractContextManager]:
    """The coordinator returns to the canary stage after promotion, and the register accepts any transition."""
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


def _coordinator_without_deactivation() -> list[contextlib.AbstractContextManager]:
    """A coordinator that loses its role remains active."""

    def deactivate(rollout_manager: manager.RolloutManager) -> None:
        rollout_manager._acting_until = 1e9

    return [unittest.mock.patch.object(manager.RolloutManager, "deactivate", deactivate)]


def _delivery_without_drain() -> list[contextlib.AbstractContextManager]:
    """The order is delivered while attempts still run at the former version."""
    return [unittest.mock.patch.object(evidence_table.EvidenceTable, "is_drained", lambda _table, **_about: True)]


def _admission_without_order() -> list[contextlib.AbstractContextManager]:
    """A version receives requests as soon as the platform lists it, before any order."""
    return [unittest.mock.patch.object(state.Rollout, "is_admitted", lambda _row, _edition: True)]


def _judge_of_early_answers() -> list[contextlib.AbstractContextManager]:
    """The judge ignores all answers later than `EARLY_RECORDING_S` after its first one."""
    real = judge.CanaryJudge.record
    began: weakref.WeakKeyDictionary[judge.CanaryJudge, float] = weakref.WeakKeyDictionary()

    def record(canary_judge: judge.CanaryJudge, *, now: float, **arguments: Any) -> None:  # noqa: ANN401  # passed through
        if now - began.setdefault(canary_judge, now) < EARLY_RECORDING_S:
            real(canary_judge, now=now, **arguments)

    return [unittest.mock.patch.object(judge.CanaryJudge, "record", record)]


def permanently_doubtful_verdict() -> list[contextlib.AbstractContextManager]:
    """The verdict on a promoted version stays doubtful whatever it answers. By itself this violates no check."""
    real = canary_trial.CanaryTrial.evaluate
    promoted: weakref.WeakSet[canary_trial.CanaryTrial] = weakref.WeakSet()

    def evaluate(trial: canary_trial.CanaryTrial, *, is_canary: bool, **arguments: Any) -> None:  # noqa: ANN401
        real(trial, is_canary=is_canary, **arguments)
        if not is_canary:
            promoted.add(trial)

    def verdict(trial: canary_trial.CanaryTrial) -> judge.Verdict:
        return judge.Verdict.DOUBTFUL if trial in promoted else judge.Verdict.CLEAR

    return [
        unittest.mock.patch.object(canary_trial.CanaryTrial, "evaluate", evaluate),
        unittest.mock.patch.object(canary_trial.CanaryTrial, "verdict", property(verdict)),
    ]


def _no_transition_in_doubt() -> list[contextlib.AbstractContextManager]:
    """A promoted version with a doubtful verdict never leaves its stage."""
    real = planner.next_transition

    def next_transition(view: planner.RolloutView) -> planner.Transition | None:
        is_waiting = view.rollout.stage == state.Stage.PROMOTING and view.verdict is judge.Verdict.DOUBTFUL
        return None if is_waiting else real(view)

    return [*permanently_doubtful_verdict(), unittest.mock.patch.object(planner, "next_transition", next_transition)]


def _unconditional_clearance() -> list[contextlib.AbstractContextManager]:
    """Any answer clears a version, and promotion comes at once: only the judge then limits the exposure."""
    return [
        unittest.mock.patch.object(canary_trial.CanaryTrial, "verdict", property(lambda _trial: judge.Verdict.CLEAR)),
        unittest.mock.patch.object(planner, "EARLIEST_PROMOTION", 0.0),
    ]


def _leases_after_bad_verdict() -> list[contextlib.AbstractContextManager]:
    """A version found bad keeps its leases until the transition is written, and the transition is never written."""
    real = lease_granter.LeaseGranter.grant

    def grant(granter: lease_granter.LeaseGranter, *, trial: canary_trial.CanaryTrial, **arguments: Any) -> Any:  # noqa: ANN401
        with unittest.mock.patch.object(trial, "is_bad", False):
            return real(granter, trial=trial, **arguments)

    def next_transition(view: planner.RolloutView) -> planner.Transition | None:
        is_bad = view.verdict is judge.Verdict.BAD
        return None if is_bad else real_transition(view)

    real_transition = planner.next_transition
    return [
        unittest.mock.patch.object(lease_granter.LeaseGranter, "grant", grant),
        unittest.mock.patch.object(planner, "next_transition", next_transition),
    ]


MUTANTS: dict[str, Mutant] = {
    "leases without end": Mutant(
        patches=_extended_leases, kind="errors", fault_kinds=("kill_all", "cut_proxies"), check="lease"
    ),
    "a stage that is reverted": Mutant(patches=_reverted_stage, kind="good", fault_kinds=("none",), check="stage"),
    "a coordinator that never stops": Mutant(
        patches=_coordinator_without_deactivation, kind="good", fault_kinds=("cut_holder",), check="holder"
    ),
    "delivered with work running": Mutant(
        patches=_delivery_without_drain, kind="good", fault_kinds=("none",), check="delivered"
    ),
    "the list before the order": Mutant(
        patches=_admission_without_order, kind="errors", fault_kinds=("none",), check="admitted"
    ),
    "a judge that looks only at the beginning": Mutant(
        patches=_judge_of_early_answers, kind="late", fault_kinds=("none",), check="exposure"
    ),
    "a promoted version in doubt that waits for ever": Mutant(
        patches=_no_transition_in_doubt, kind="good", fault_kinds=("none",), check="term"
    ),
    "any answer proves a version": Mutant(
        patches=_unconditional_clearance, kind="errors", fault_kinds=("none",), check="exposure"
    ),
    "requests after the finding": Mutant(
        patches=_leases_after_bad_verdict, kind="errors", fault_kinds=("none",), check="term"
    ),
}


def search(name: str) -> int | None:
    """Runs simulations with a mutant until its check detects it.

    Args:
        name: Key of `MUTANTS`.

    Returns:
        The seed that detects it, or None if none of `MAX_SEEDS` seeds does.
    """
    mutant = MUTANTS[name]
    with contextlib.ExitStack() as stack:
        for patch in mutant.patches():
            stack.enter_context(patch)
        for seed in range(MAX_SEEDS):
            report = rollout_simulation.run_simulation(seed, kind=mutant.kind, fault_kinds=mutant.fault_kinds)
            if any(finding.check == mutant.check for finding in report.findings):
                return seed
    return None
