"""Tests for the canary judge: which versions it condemns, doubts or clears."""

import random

import pytest

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import judge as judges
from ploverward.control_plane.rollouts import rollout_samples


def run_canary(*, chance, seconds=8.0, bad=0.0, bad_from=0.0, former_bad=0.0, slow=0.0, groups=2, per_s=6.0, times=9):
    """Runs a judge through a canary. Returns it and the time of the verdict BAD, None without one.

    `bad`, `former_bad` and `slow` are probabilities of an answer, `times` is by how many buckets slow ones are slower.
    """
    judge = judges.CanaryJudge()
    found_at = None
    for tick in range(int(seconds / 0.4)):
        now = tick * 0.4
        counted = {rollout_samples.key(is_new=False): former_answers(chance=chance, former_bad=former_bad, count=25)}
        share = bad if now >= bad_from else 0.0
        for group in range(groups):
            ended = sum(chance.random() < 0.5 for _index in range(round(per_s * 0.8 / groups)))
            failed = sum(chance.random() < max(share, former_bad) for _index in range(ended))
            tally = rollout_evidence.Tally(ended=ended, failed=failed)
            for _index in range(ended - failed):
                is_slow = chance.random() < slow
                tally.first_chunk_times[8 + chance.choice((-1, 0, 0, 1, 2)) + (times if is_slow else 0)] += 1
            counted[rollout_samples.key(group=group)] = tally
        judge.record(now=now, counted=counted)
        if judge.verdict is judges.Verdict.BAD and found_at is None:
            found_at = now
    return judge, found_at


def former_answers(*, chance, former_bad, count):
    """Returns a tally of `count` answers of ordinary times, which fail with probability `former_bad`."""
    failed = sum(chance.random() < former_bad for _index in range(count))
    tally = rollout_evidence.Tally(ended=count, failed=failed)
    for _index in range(count - failed):
        tally.first_chunk_times[8 + chance.choice((-1, 0, 0, 1, 2))] += 1
    return tally


@pytest.mark.parametrize("seed", range(60))
def test_judge_detects_a_version_that_fails_half_of_its_answers(seed):
    assert run_canary(chance=random.Random(seed), bad=0.5, per_s=12.0)[1] is not None


@pytest.mark.parametrize("seed", range(60))
def test_judge_detects_a_version_that_turns_bad_late(seed):
    _judge, found_at = run_canary(chance=random.Random(seed), bad=0.5, bad_from=4.0, per_s=12.0, seconds=9.0)
    assert found_at is not None and found_at >= 4.0


@pytest.mark.parametrize("seed", range(60))
def test_judge_detects_a_version_with_half_of_its_answers_slow(seed):
    assert run_canary(chance=random.Random(seed), slow=0.5, per_s=12.0)[1] is not None


@pytest.mark.parametrize("former_bad", [0.0, 0.02, 0.1, 0.2, 0.5])
def test_judge_does_not_condemn_a_version_that_fails_as_often_as_the_former_one(former_bad):
    found = [run_canary(chance=random.Random(seed), former_bad=former_bad)[1] for seed in range(100)]
    assert sum(when is not None for when in found) <= 1


def test_verdict_is_not_bad_if_one_of_two_groups_is_faulty():
    judge = judges.CanaryJudge()
    for step in range(30):
        counted = {
            rollout_samples.key(is_new=False): rollout_samples.tally(ended=20),
            rollout_samples.key(group=1): rollout_samples.tally(ended=2, failed=2),
        }
        counted[rollout_samples.key(group=2)] = rollout_samples.tally(ended=2)
        judge.record(now=step * 0.4, counted=counted)
    assert judge.verdict is not judges.Verdict.BAD and judge.bad_groups() == {1}


def test_verdict_is_bad_if_the_only_replica_is_faulty():
    judge = judges.CanaryJudge()
    judge.is_single_replica = True
    judge.record(
        now=0.0,
        counted={
            rollout_samples.key(is_new=False): rollout_samples.tally(ended=20),
            rollout_samples.key(group=1): rollout_samples.tally(ended=8, failed=6),
        },
    )
    assert judge.verdict is judges.Verdict.BAD


def test_timeouts_count_only_if_the_former_version_has_answers():
    judge = judges.CanaryJudge()
    silent = {rollout_samples.key(group=group): rollout_evidence.Tally(ended=9, broken=9) for group in range(3)}
    judge.record(now=0.0, counted=silent)
    assert judge.verdict is not judges.Verdict.BAD
    judge.record(now=0.4, counted={**silent, rollout_samples.key(is_new=False): rollout_samples.tally(ended=20)})
    assert judge.verdict is judges.Verdict.BAD


@pytest.mark.parametrize("groups", [2, 8])
def test_chance_failures_of_many_groups_do_not_condemn_a_version(groups):
    """About 0.08 of the answers of both versions fail: enough for doubt, too little to condemn the new one."""
    found = [
        run_canary(chance=random.Random(seed), former_bad=0.08, groups=groups, per_s=24.0, seconds=12.0)[1]
        for seed in range(200)
    ]
    assert sum(when is not None for when in found) <= 2


def test_failures_that_begin_for_both_versions_do_not_condemn_the_new_one():
    condemned = 0
    for seed in range(100):
        chance = random.Random(seed)
        judge = judges.CanaryJudge()
        verdicts = set()
        for tick in range(25):
            rate = 0.15 if tick >= 15 else 0.0
            counted = {
                rollout_samples.key(is_new=False): former_answers(chance=chance, former_bad=rate, count=40),
                **{
                    rollout_samples.key(group=group): former_answers(chance=chance, former_bad=rate, count=2)
                    for group in range(4)
                },
            }
            judge.record(now=tick * 0.4, counted=counted)
            verdicts.add(judge.verdict)
        condemned += judges.Verdict.BAD in verdicts
    assert condemned <= 2


def verdict_after(*, answered, failed, former_answered=115, former_failed=15):
    """Returns the verdict on answers of one route that are spread evenly over four groups."""
    judge = judges.CanaryJudge()
    former = rollout_samples.tally(ended=former_answered, failed=former_failed)
    counted = {rollout_samples.key(is_new=False): former}
    for group in range(4):
        ended = len(range(group, answered, 4))
        counted[rollout_samples.key(group=group)] = rollout_samples.tally(
            ended=ended, failed=len(range(group, failed, 4))
        )
    judge.record(now=0.0, counted=counted)
    return judge.verdict


def test_verdict_is_doubtful_or_bad_if_half_of_the_answers_over_all_groups_fail():
    """Nine of 19 answers of the new version fail, and 15 of 115 of the former one (seed 470067 of the simulation).

    Good answers of some groups must not cancel out the failures of others.
    """
    assert verdict_after(answered=19, failed=9) in (judges.Verdict.DOUBTFUL, judges.Verdict.BAD)


@pytest.mark.parametrize(
    "answered, failed, verdict",
    [
        (8, 0, judges.Verdict.FAVOURABLE),
        (30, 0, judges.Verdict.CLEAR),
        (12, 3, judges.Verdict.UNDECIDED),
        (4, 0, judges.Verdict.CLEAR),  # too few to judge; the planner waits for more answers
        (60, 40, judges.Verdict.BAD),
    ],
)
def test_verdict_by_number_of_answers_and_failures(answered, failed, verdict):
    assert verdict_after(answered=answered, failed=failed) is verdict


def test_judge_rarely_clears_a_bad_version():
    cleared = 0
    for seed in range(400):
        judge, _found_at = run_canary(chance=random.Random(seed), bad=0.5, former_bad=0.08, per_s=8.0, seconds=6.0)
        cleared += judge.verdict in (judges.Verdict.CLEAR, judges.Verdict.FAVOURABLE)
    assert cleared <= 4


def test_baseline_keeps_the_last_full_window_once_the_former_version_gets_few_answers():
    judge = judges.CanaryJudge()
    judge.record(now=0.0, counted={rollout_samples.key(is_new=False): rollout_samples.tally(ended=200, failed=16)})
    for tick in range(1, 40):
        counted = {rollout_samples.key(is_new=False): rollout_samples.tally(ended=1)}
        counted |= {rollout_samples.key(group=group): rollout_samples.tally(ended=3) for group in range(4)}
        counted[rollout_samples.key(group=tick % 4)] = rollout_samples.tally(ended=3, failed=1)
        judge.record(now=tick * 0.4, counted=counted)
        assert judge.verdict is not judges.Verdict.BAD


@pytest.mark.parametrize("seed", range(20))
def test_judge_detects_a_slow_version_after_a_slowness_of_both_versions_ended(seed):
    """The former version was slow until shortly before, and its slow answers are still in the window.

    Compared with the whole window, the new version's slow answers would look normal (seed 601859 of the simulation).
    """
    chance = random.Random(seed)
    judge = judges.CanaryJudge()
    for tick in range(20):
        shift = 6 if tick < 12 else 0  # three buckets are a factor of two
        former = rollout_evidence.Tally(ended=30)
        for _answer in range(30):
            former.first_chunk_times[8 + shift + chance.choice((-1, 0, 0, 1, 2))] += 1
        counted = {rollout_samples.key(is_new=False): former}
        for group in range(4) if tick >= 12 else ():  # the canary starts as the slowness ends
            new = rollout_evidence.Tally(ended=2)
            for _answer in range(2):
                new.first_chunk_times[8 + chance.choice((-1, 0, 0, 1, 2)) + chance.choice((0, 9))] += 1
            counted[rollout_samples.key(group=group)] = new
        judge.record(now=tick * 0.4, counted=counted)
    assert judge.verdict is judges.Verdict.BAD
