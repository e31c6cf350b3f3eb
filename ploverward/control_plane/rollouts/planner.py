"""Stage transitions of a roll-out: pure decisions on an immutable view of it (docs/rollouts.md 3).

`next_transition` is the state machine of the stages, `canary -> promoting -> draining -> delivered`, with `returned`
from each of the first three. It decides on a `RolloutView` alone; `ploverward.control_plane.rollouts.manager` creates
the view and writes the transition to the register. The term is the time that the order gives the roll-out (`over_s`).
"""

import dataclasses
import math

from ploverward.control_plane.rollouts import evidence_summary
from ploverward.control_plane.rollouts import judge
from ploverward.control_plane.rollouts import state

EARLIEST_PROMOTION = 0.55  # fraction of the term; not earlier, since a version may become bad late
# Fraction of the term. Then few answers suffice to promote a version, and one is rolled back that is in doubt or that
# lacks most answers on a route.
LATEST_PROMOTION = 0.65
LATEST_DECISION = 0.72  # fraction of the term; then a version that is still undecided is rolled back
MIN_JUDGED_S = 4.5  # from the first answer of the new version to its promotion, but not beyond `LATEST_PROMOTION`
RAMP = 0.08  # fraction of the term in which the share rises from the canary's to all requests
# Fraction of the term, from which on delivery does not wait for proxies that do not report.
IGNORE_SILENT_PROXIES_FROM = 0.85
DOUBT_DEADLINE = 0.85  # fraction of the term, after which the number of answers settles doubt about a promoted version
CONCLUSIVE_ANSWERS = 100  # number of answers on the doubtful route; a bad version would have been detected by so many
LATEST_STEP = 0.94  # fraction of the term; the last moment for a step, so that each stage ends by then
MIN_ROUTE_ANSWERS = 8  # number of answers of the new version, on each route that the former one serves
MIN_ANSWERED_SHARE = 0.5  # fraction of the expected answers; below it, answers count as missing
MIN_REPORTING_SHARE = 0.8  # fraction of the proxies in contact; a coordinator needs their reports before it promotes


@dataclasses.dataclass(frozen=True, kw_only=True)
class RolloutView:
    """The coordinator's view of one roll-out.

    Attributes:
        rollout: The service's row.
        age_s: Seconds since the order.
        stage_age_s: Seconds in the current stage.
        first_answer_s: Seconds from the order to the first answer of the new version; None before that answer.
        answers: Actual and expected answers of the new version, by route.
        verdict: The current verdict of the judges.
        is_cleared: Whether the answers have proved the version good since it was promoted.
        finding: The fault with the highest score, as text; may be empty.
        doubted_answers: Number of answers of the new version on the route of that fault.
        has_capacity: Whether warm replicas of the new version can carry the traffic of each region.
        has_reports: Whether this coordinator has the reports of most proxies, which it has not just after it acquired
            the role.
        is_drained: Whether no proxy in contact runs attempts at the former version.
        is_drained_without_silent: Whether no proxy that reports runs attempts at the former version.
    """

    rollout: state.Rollout
    age_s: float
    stage_age_s: float
    first_answer_s: float | None
    answers: evidence_summary.AnswerCounts
    verdict: judge.Verdict
    is_cleared: bool
    finding: str
    doubted_answers: int
    has_capacity: bool
    has_reports: bool
    is_drained: bool
    is_drained_without_silent: bool


@dataclasses.dataclass(frozen=True)
class Transition:
    """A transition to the next stage, with its reason for operators."""

    stage: state.Stage
    reason: str


def next_transition(view: RolloutView) -> Transition | None:
    """Returns the transition that is due now, or None."""
    rollout = view.rollout
    if not rollout.is_in_progress:
        return None
    if view.verdict is judge.Verdict.BAD:
        return Transition(stage=state.Stage.RETURNED, reason=view.finding)
    if rollout.stage == state.Stage.CANARY:
        return _from_canary(view)
    if rollout.stage == state.Stage.PROMOTING:
        return _from_promoting(view)
    return _from_draining(view)


def _from_canary(view: RolloutView) -> Transition | None:
    term_s = view.rollout.over_s
    if view.age_s >= LATEST_STEP * term_s:
        return Transition(stage=state.Stage.RETURNED, reason="the term is over before the new version could be let in")
    if view.age_s < _earliest_promotion_s(view) or not view.has_capacity or not view.has_reports:
        return None
    is_latest = view.age_s >= LATEST_PROMOTION * term_s
    missing = _route_with_missing_answers(view)
    if missing or view.verdict is judge.Verdict.DOUBTFUL:
        reason = f"answers are missing on {missing}" if missing else f"not cleared in time: {view.finding}"
        return Transition(stage=state.Stage.RETURNED, reason=reason) if is_latest else None
    if view.verdict is judge.Verdict.UNDECIDED:
        is_late = view.age_s >= LATEST_DECISION * term_s
        return (
            Transition(stage=state.Stage.RETURNED, reason=f"too little speaks for it: {view.finding}")
            if is_late
            else None
        )
    if _has_enough_answers(view):
        return Transition(stage=state.Stage.PROMOTING, reason="no kind of request is worse off")
    if is_latest:
        return Transition(stage=state.Stage.PROMOTING, reason="nothing worse was seen, on few answers")
    return None


def _earliest_promotion_s(view: RolloutView) -> float:
    term_s = view.rollout.over_s
    first_answer_s = view.first_answer_s if view.first_answer_s is not None else math.inf
    return min(LATEST_PROMOTION * term_s, max(EARLIEST_PROMOTION * term_s, first_answer_s + MIN_JUDGED_S))


def _route_with_missing_answers(view: RolloutView) -> str:
    """Returns the first route on which most of the expected answers are missing, or "" if there is none."""
    for route, expected in sorted(view.answers.expected.items()):
        if expected >= MIN_ROUTE_ANSWERS and view.answers.new.get(route, 0) < MIN_ANSWERED_SHARE * expected:
            return route
    return ""


def _has_enough_answers(view: RolloutView) -> bool:
    """Returns whether the new version has enough answers on each route with enough expected ones."""
    return all(
        view.answers.new.get(route, 0) >= MIN_ROUTE_ANSWERS
        for route, expected in view.answers.expected.items()
        if expected >= MIN_ROUTE_ANSWERS
    )


def _from_promoting(view: RolloutView) -> Transition | None:
    term_s = view.rollout.over_s
    is_last = view.age_s >= LATEST_STEP * term_s
    if is_last and not view.has_capacity:
        return Transition(
            stage=state.Stage.RETURNED, reason="too few replicas of the new version at the end of the term"
        )
    if view.stage_age_s < RAMP * term_s or not view.has_capacity:
        return None
    if view.is_cleared and view.verdict is not judge.Verdict.DOUBTFUL:
        return Transition(stage=state.Stage.DRAINING, reason="all traffic is at the new version")
    is_past_deadline = view.age_s >= DOUBT_DEADLINE * term_s
    if is_past_deadline and view.verdict in (judge.Verdict.CLEAR, judge.Verdict.FAVOURABLE):
        return Transition(stage=state.Stage.DRAINING, reason="the answers speak for the new version")
    if is_past_deadline and view.doubted_answers >= CONCLUSIVE_ANSWERS:
        return Transition(
            stage=state.Stage.DRAINING, reason=f"{view.doubted_answers} answers did not confirm {view.finding}"
        )
    if is_last:
        return Transition(stage=state.Stage.RETURNED, reason=f"not cleared by the end of the term: {view.finding}")
    return None


def _from_draining(view: RolloutView) -> Transition | None:
    term_s = view.rollout.over_s
    is_past_waiting = view.age_s >= IGNORE_SILENT_PROXIES_FROM * term_s
    if view.is_drained or (is_past_waiting and view.is_drained_without_silent):
        return Transition(stage=state.Stage.DELIVERED, reason="nothing runs at the former version")
    if view.age_s >= LATEST_STEP * term_s:
        return Transition(stage=state.Stage.DELIVERED, reason="the term is over")
    return None
