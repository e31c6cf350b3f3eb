"""The decisions of a roll-out: stages, exposure, replicas of the canary, capacity."""

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


def at(stage, **about):
    return dataclasses.replace(VIEW, rollout=dataclasses.replace(VIEW.rollout, stage=stage), **about)


def test_a_version_is_let_in_past_the_middle_of_its_term_and_not_before():
    assert planner.next_move(VIEW).stage == state.Stage.PROMOTING
    assert planner.next_move(dataclasses.replace(VIEW, age_s=8.7)) is None


@pytest.mark.parametrize(
    "about",
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
def test_what_holds_a_version_back(about):
    assert planner.next_move(dataclasses.replace(VIEW, **about)) is None


def test_a_version_that_is_not_cleared_in_time_is_rolled_back():
    late = dataclasses.replace(VIEW, verdict=judges.Verdict.DOUBTFUL, age_s=10.5)
    assert planner.next_move(late).stage == state.Stage.RETURNED


def test_an_undecided_version_gets_more_canary_requests_for_a_while():
    undecided = dataclasses.replace(VIEW, verdict=judges.Verdict.UNDECIDED, age_s=10.5)
    assert planner.next_move(undecided) is None
    assert planner.next_move(dataclasses.replace(undecided, age_s=11.6)).stage == state.Stage.RETURNED
    assert planner.next_move(dataclasses.replace(undecided, verdict=judges.Verdict.FAVOURABLE)) is not None


def test_a_version_with_outstanding_responses_is_rolled_back():
    late = dataclasses.replace(VIEW, answers=dataclasses.replace(VIEW.answers, new={"r": 19}), age_s=10.5)
    assert planner.next_move(late).stage == state.Stage.RETURNED


@pytest.mark.parametrize("stage", state.IN_PROGRESS_STAGES)
def test_a_bad_version_is_rolled_back_from_every_stage(stage):
    assert planner.next_move(at(stage, verdict=judges.Verdict.BAD)).stage == state.Stage.RETURNED


def promoted(age_s, **about):
    return planner.next_move(at(state.Stage.PROMOTING, age_s=age_s, stage_age_s=5.0, **about))


DOUBTED = {"verdict": judges.Verdict.DOUBTFUL, "finding": "failed on r: 3.1"}


def test_a_promoted_version_in_doubt_waits_while_its_term_allows():
    assert promoted(12.0, **DOUBTED, doubted_answers=5000) is None
    assert promoted(14.9, **DOUBTED, doubted_answers=planner.TELLING_ANSWERS - 1) is None


def test_a_promoted_version_that_many_answers_did_not_condemn_goes_on_in_time_to_drain():
    move = promoted(13.7, **DOUBTED, doubted_answers=planner.TELLING_ANSWERS)
    assert move.stage == state.Stage.DRAINING and "did not confirm failed on r" in move.reason


def test_a_promoted_version_that_few_answers_leave_in_doubt_is_rolled_back_before_its_term_ends():
    move = promoted(15.1, **DOUBTED, doubted_answers=planner.TELLING_ANSWERS - 1)
    assert move.stage == state.Stage.RETURNED and "not cleared" in move.reason


def test_a_promoted_version_gets_all_requests_for_good_only_once_it_is_proved():
    unproved = {"is_cleared": False, "verdict": judges.Verdict.FAVOURABLE}
    assert promoted(12.0, **unproved) is None
    assert promoted(12.0, verdict=judges.Verdict.UNDECIDED).stage == state.Stage.DRAINING
    assert promoted(13.7, **unproved).stage == state.Stage.DRAINING
    assert promoted(13.7, is_cleared=False, verdict=judges.Verdict.UNDECIDED) is None


@pytest.mark.parametrize("stage", state.IN_PROGRESS_STAGES)
@pytest.mark.parametrize("verdict", judges.Verdict)
@pytest.mark.parametrize("has_capacity", [True, False])
@pytest.mark.parametrize("doubted_answers", [0, 5000])
def test_no_order_outlasts_its_term(stage, verdict, has_capacity, doubted_answers):
    move = planner.next_move(
        at(
            stage,
            age_s=planner.LAST_DELIVERY * VIEW.rollout.over_s,
            stage_age_s=5.0,
            verdict=verdict,
            has_capacity=has_capacity,
            doubted_answers=doubted_answers,
        )
    )
    assert move is not None and move.stage in state.NEXT_STAGES[stage]


def test_delivered_is_announced_only_when_nothing_runs_at_the_former_version_or_the_term_is_over():
    assert planner.next_move(at(state.Stage.DRAINING, age_s=12.0)) is None
    assert planner.next_move(at(state.Stage.DRAINING, age_s=12.0, is_drained_without_silent=True)) is None
    assert planner.next_move(at(state.Stage.DRAINING, age_s=12.0, is_drained=True)).stage == state.Stage.DELIVERED
    assert (
        planner.next_move(at(state.Stage.DRAINING, age_s=14.0, is_drained_without_silent=True)).stage
        == state.Stage.DELIVERED
    )
    assert planner.next_move(at(state.Stage.DRAINING, age_s=15.1)).stage == state.Stage.DELIVERED


@pytest.mark.parametrize("per_s", [1, 5, 20, 150, 3000])
@pytest.mark.parametrize("over_s", [4.0, 16.0, 60.0])
def test_the_canary_stays_inside_the_bound_even_if_no_request_follows(per_s, over_s):
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
def test_a_promoted_version_that_is_not_proved_stays_inside_the_bound(per_s, sent_new_at_promotion):
    """Reports reach the coordinator late, and leases the proxies: what is on its way counts as well."""
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


def inventory(rows, *, evacuated_zones=()):
    return replica_inventory.ReplicaInventory(
        listed=lambda: rows, zones=lambda: {"a1": "a", "a2": "a", "b1": "b"}, evacuated_zones=lambda: evacuated_zones
    ).replicas("pool")


def test_canary_replicas_are_few_spread_and_stable():
    rows = rollout_samples.listed()
    chosen = canary_replicas.choose(replicas=inventory(rows), share=0.1, bad_groups=())
    assert len(chosen) == 3.0 / canary_replicas.CANARY_LOAD
    assert chosen == canary_replicas.choose(replicas=inventory(rows[::-1]), share=0.1, bad_groups=())
    zones = {row["id"]: row["zone"] for row in rows}
    assert {zones[name][0] for name in chosen} == {"a", "b"}


def test_a_group_that_has_shown_faults_gives_way_to_another():
    rows = rollout_samples.listed()
    first = canary_replicas.choose(replicas=inventory(rows), share=0.02, bad_groups=())
    group = rollout_evidence.group_of(row_codec.key_of(first[0]))
    second = canary_replicas.choose(replicas=inventory(rows), share=0.02, bad_groups={group})
    assert len(first) == len(second) == 1 and rollout_evidence.group_of(row_codec.key_of(second[0])) != group


def test_capacity_wants_warm_replicas_in_each_region():
    former = rollout_samples.listed(edition="v1")
    for new, out, wanted in (
        (rollout_samples.listed(), (), True),
        ([], (), False),
        (rollout_samples.listed(cold=15), (), False),
        (rollout_samples.listed(zones=("a1", "a2")), (), False),
        (rollout_samples.listed(zones=("a1", "a2")), ("b1",), True),
    ):
        found = replica_inventory.has_capacity(
            replicas=inventory(former + new, evacuated_zones=out), rollout=VIEW.rollout
        )
        assert found == wanted
