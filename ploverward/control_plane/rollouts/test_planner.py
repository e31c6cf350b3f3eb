"""Tests for the decisions of a roll-out: transitions, exposure, canary replicas, capacity."""

import dataclasses

import pytest

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import canary_replicas
from ploverward.control_plane.rollouts import evidence_summary
from ploverward.control_plane.rollouts import exposure
from ploverward.control_plane.rollouts import judge as judges
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import replica_inventory
from ploverward.control_plane.rollouts import rollout_samples
from ploverward.control_plane.rollouts import state
from ploverward.transport import row_codec

VIEW = planner.RolloutView(
    rollout=state.Rollout(admitted=("v1",), target="v2", over_s=16.0, stage=state.Stage.CANARY, number=1, step=2),
    age_s=9.0,
    stage_age_s=9.0,
    first_answer_s=2.0,
    answers=evidence_summary.AnswerCounts(new={"r": 40}, expected={"r": 44.0, "rare": 2.0}),
    verdict=judges.Verdict.CLEAR,
    is_cleared=True,
    finding="",
    doubted_answers=0,
    has_capacity=True,
    has_reports=True,
    is_drained=False,
    is_drained_without_silent=False,
)


def view_at(stage, **changes):
    """Returns a view of a roll-out in this stage."""
    return dataclasses.replace(VIEW, rollout=dataclasses.replace(VIEW.rollout, stage=stage), **changes)


def test_version_is_promoted_only_from_the_earliest_promotion_on():
    assert planner.next_transition(VIEW).stage == state.Stage.PROMOTING
    assert planner.next_transition(dataclasses.replace(VIEW, age_s=8.7)) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"first_answer_s": 5.5},
        {"answers": dataclasses.replace(VIEW.answers, new={"r": 3})},
        {"answers": dataclasses.replace(VIEW.answers, expected={"r": 40.0, "other": 9.0})},
        {"answers": dataclasses.replace(VIEW.answers, new={"r": 19})},
        {"has_capacity": False},
        {"has_reports": False},
        {"verdict": judges.Verdict.DOUBTFUL},
        {"verdict": judges.Verdict.UNDECIDED},
    ],
)
def test_version_is_not_promoted_while_a_condition_is_unmet(changes):
    assert planner.next_transition(dataclasses.replace(VIEW, **changes)) is None


def test_doubtful_version_is_rolled_back_at_the_latest_promotion():
    late = dataclasses.replace(VIEW, verdict=judges.Verdict.DOUBTFUL, age_s=10.5)
    assert planner.next_transition(late).stage == state.Stage.RETURNED


def test_undecided_version_stays_a_canary_until_the_latest_decision():
    undecided = dataclasses.replace(VIEW, verdict=judges.Verdict.UNDECIDED, age_s=10.5)
    assert planner.next_transition(undecided) is None
    assert planner.next_transition(dataclasses.replace(undecided, age_s=11.6)).stage == state.Stage.RETURNED
    assert planner.next_transition(dataclasses.replace(undecided, verdict=judges.Verdict.FAVOURABLE)) is not None


def test_version_with_missing_answers_is_rolled_back_at_the_latest_promotion():
    late = dataclasses.replace(VIEW, answers=dataclasses.replace(VIEW.answers, new={"r": 19}), age_s=10.5)
    assert planner.next_transition(late).stage == state.Stage.RETURNED


@pytest.mark.parametrize("stage", state.IN_PROGRESS_STAGES)
def test_a_bad_version_is_rolled_back_from_every_stage(stage):
    assert planner.next_transition(view_at(stage, verdict=judges.Verdict.BAD)).stage == state.Stage.RETURNED


def transition_when_promoted(age_s, **changes):
    """Returns the transition of a version that was promoted five seconds ago."""
    return planner.next_transition(view_at(state.Stage.PROMOTING, age_s=age_s, stage_age_s=5.0, **changes))


DOUBTED = {"verdict": judges.Verdict.DOUBTFUL, "finding": "failed on r: 3.1"}


def test_doubtful_promoted_version_waits_before_the_deadline_or_with_few_answers():
    assert transition_when_promoted(12.0, **DOUBTED, doubted_answers=5000) is None
    assert transition_when_promoted(14.9, **DOUBTED, doubted_answers=planner.CONCLUSIVE_ANSWERS - 1) is None


def test_doubtful_promoted_version_with_many_answers_drains_after_the_doubt_deadline():
    transition = transition_when_promoted(13.7, **DOUBTED, doubted_answers=planner.CONCLUSIVE_ANSWERS)
    assert transition.stage == state.Stage.DRAINING and "did not confirm failed on r" in transition.reason


def test_doubtful_promoted_version_with_few_answers_is_rolled_back_at_the_latest_step():
    transition = transition_when_promoted(15.1, **DOUBTED, doubted_answers=planner.CONCLUSIVE_ANSWERS - 1)
    assert transition.stage == state.Stage.RETURNED and "not cleared" in transition.reason


def test_promoted_version_drains_before_the_doubt_deadline_only_if_cleared():
    unproved = {"is_cleared": False, "verdict": judges.Verdict.FAVOURABLE}
    assert transition_when_promoted(12.0, **unproved) is None
    assert transition_when_promoted(12.0, verdict=judges.Verdict.UNDECIDED).stage == state.Stage.DRAINING
    assert transition_when_promoted(13.7, **unproved).stage == state.Stage.DRAINING
    assert transition_when_promoted(13.7, is_cleared=False, verdict=judges.Verdict.UNDECIDED) is None


@pytest.mark.parametrize("stage", state.IN_PROGRESS_STAGES)
@pytest.mark.parametrize("verdict", judges.Verdict)
@pytest.mark.parametrize("has_capacity", [True, False])
@pytest.mark.parametrize("doubted_answers", [0, 5000])
def test_every_stage_ends_at_the_latest_step(stage, verdict, has_capacity, doubted_answers):
    transition = planner.next_transition(
        view_at(
            stage,
            age_s=planner.LATEST_STEP * VIEW.rollout.over_s,
            stage_age_s=5.0,
            verdict=verdict,
            has_capacity=has_capacity,
            doubted_answers=doubted_answers,
        )
    )
    assert transition is not None and transition.stage in state.NEXT_STAGES[stage]


def test_version_is_delivered_only_once_drained_or_at_the_end_of_the_term():
    assert planner.next_transition(view_at(state.Stage.DRAINING, age_s=12.0)) is None
    assert planner.next_transition(view_at(state.Stage.DRAINING, age_s=12.0, is_drained_without_silent=True)) is None
    assert (
        planner.next_transition(view_at(state.Stage.DRAINING, age_s=12.0, is_drained=True)).stage
        == state.Stage.DELIVERED
    )
    assert (
        planner.next_transition(view_at(state.Stage.DRAINING, age_s=14.0, is_drained_without_silent=True)).stage
        == state.Stage.DELIVERED
    )
    assert planner.next_transition(view_at(state.Stage.DRAINING, age_s=15.1)).stage == state.Stage.DELIVERED


@pytest.mark.parametrize("per_s", [1, 5, 20, 150, 3000])
@pytest.mark.parametrize("over_s", [4.0, 16.0, 60.0])
def test_canary_share_stays_within_the_bound_even_if_no_request_follows(per_s, over_s):
    bound = exposure.ExposureBound(share=0.1, slack=50.0)
    sent, sent_new, credit = 0, 0, 0.9
    for tick in range(int(over_s * planner.LATEST_PROMOTION / 0.1)):
        age_s = tick * 0.1
        traffic = exposure.Traffic(sent=sent, sent_new=sent_new, age_s=age_s)
        share = exposure.canary_share(bound=bound, traffic=traffic, over_s=over_s)
        for _request in range(max(1, int(per_s * 0.1))):
            sent += 1
            credit += share
            if credit >= 1.0:
                credit -= 1.0
                sent_new += 1
            assert sent_new <= bound.share * sent + bound.slack


@pytest.mark.parametrize("per_s", [1, 5, 40, 150, 3000])
@pytest.mark.parametrize("sent_new_at_promotion", [0.5, 0.9, 1.0])
def test_unproved_share_stays_within_the_bound_despite_late_reports(per_s, sent_new_at_promotion):
    """Reports and leases arrive late, and requests sent in the meantime count towards the bound as well."""
    bound = exposure.ExposureBound(share=0.1, slack=50.0)
    promoting = state.Rollout(target="v2", over_s=16.0, stage=state.Stage.PROMOTING, number=1, step=3)
    sent = 9 * per_s
    sent_new, credit = int(sent_new_at_promotion * (bound.share * sent + exposure.LOAD_TEST_SLACK * bound.slack)), 0.0
    reports = [exposure.Traffic(sent=sent, sent_new=sent_new, age_s=9.0)] * 9
    for tick in range(70):
        reports.append(exposure.Traffic(sent=sent, sent_new=sent_new, age_s=9.0 + tick * 0.1))
        unproved = exposure.unproved_share(bound=bound, traffic=reports[-9])
        share = exposure.lease_share(rollout=promoting, canary=0.1, stage_age_s=tick * 0.1, unproved=unproved)
        sent += round(per_s * 0.1 * (tick + 1)) - round(per_s * 0.1 * tick)
        credit += share * per_s * 0.1
        sent_new, credit = sent_new + int(credit), credit - int(credit)
        assert sent_new <= bound.share * sent + bound.slack


def replicas_of(rows, *, evacuated_zones=()):
    return replica_inventory.ReplicaInventory(
        listed=lambda: rows, zones=lambda: {"a1": "a", "a2": "a", "b1": "b"}, evacuated_zones=lambda: evacuated_zones
    ).replicas("pool")


def test_choose_returns_few_replicas_of_all_regions_whatever_the_list_order():
    rows = rollout_samples.listed_rows()
    chosen = canary_replicas.choose(replicas=replicas_of(rows), share=0.1, bad_groups=())
    assert len(chosen) == 3.0 / canary_replicas.CANARY_LOAD
    assert chosen == canary_replicas.choose(replicas=replicas_of(rows[::-1]), share=0.1, bad_groups=())
    zones = {row["id"]: row["zone"] for row in rows}
    assert {zones[name][0] for name in chosen} == {"a", "b"}


def test_choose_avoids_a_group_that_has_shown_faults():
    rows = rollout_samples.listed_rows()
    first = canary_replicas.choose(replicas=replicas_of(rows), share=0.02, bad_groups=())
    group = rollout_evidence.group_of(row_codec.replica_key(first[0]))
    second = canary_replicas.choose(replicas=replicas_of(rows), share=0.02, bad_groups={group})
    assert len(first) == len(second) == 1 and rollout_evidence.group_of(row_codec.replica_key(second[0])) != group


def test_has_capacity_requires_warm_replicas_in_each_region():
    former = rollout_samples.listed_rows(edition="v1")
    for new, out, wanted in (
        (rollout_samples.listed_rows(), (), True),
        ([], (), False),
        (rollout_samples.listed_rows(cold=15), (), False),
        (rollout_samples.listed_rows(zones=("a1", "a2")), (), False),
        (rollout_samples.listed_rows(zones=("a1", "a2")), ("b1",), True),
    ):
        found = replica_inventory.has_capacity(
            replicas=replicas_of(former + new, evacuated_zones=out), rollout=VIEW.rollout
        )
        assert found == wanted
