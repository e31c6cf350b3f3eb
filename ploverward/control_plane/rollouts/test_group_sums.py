"""Tests for the log odds over all groups of replicas and over all but one."""

import random

import pytest

from ploverward.control_plane.rollouts import group_sums


def sums_of(*steps, answers=1):
    sums = group_sums.GroupSums()
    for step in steps:
        sums.add(step, answers=answers)
    return sums


def test_bad_log_odds_stay_low_if_only_one_group_fails():
    sums = sums_of(*[{1: 2.0, 2: -0.5, 3: -0.5}] * 20)
    assert sums.all_log_odds == 20.0 and sums.bad_log_odds < 2.0
    assert sums.good_log_odds == -group_sums.FLOOR - group_sums.LEAVE_ONE_OUT_PENALTY
    assert sums.groups_at_least(40.0) == {1} and sums.groups_at_least(40.1) == frozenset()


def test_bad_log_odds_rise_if_other_groups_fail_too():
    sums = sums_of(*[{1: 2.0, 2: 0.5, 3: 0.5}] * 8)
    assert sums.bad_log_odds > 8.0 and sums.good_log_odds < 0


def test_good_answers_of_every_group_lower_the_sum_in_full():
    """Bad and good answers in different groups, such as nine bad ones of 19, add up as if they were in one group."""
    mixed = sums_of({0: 3.0, 1: -1.0}, {2: 2.0, 3: -1.0}, {4: 1.0, 5: -1.0})
    assert mixed.all_log_odds == pytest.approx(3.0)
    assert mixed.good_log_odds == pytest.approx(-min(3.0, 0.0 + group_sums.LEAVE_ONE_OUT_PENALTY))


def test_good_log_odds_are_zero_before_the_first_answer():
    assert group_sums.GroupSums().good_log_odds == 0 and group_sums.GroupSums().answers == 0


def test_sum_stops_at_the_floor_so_that_a_late_fault_shows_soon():
    sums = sums_of(*[{0: -1.0, 5: -1.0}] * 100, answers=4)
    assert sums.all_log_odds == group_sums.FLOOR and sums.answers == 400
    sums.add({0: 8.0, 5: 8.0}, answers=8)
    assert sums.all_log_odds == 16.0 + group_sums.FLOOR


@pytest.mark.parametrize("seed", range(20))
def test_add_is_independent_of_the_order_of_groups(seed):
    chance = random.Random(seed)
    first, second = group_sums.GroupSums(), group_sums.GroupSums()
    for _index in range(50):
        steps = {group: chance.uniform(-1.0, 1.0) for group in chance.sample(range(8), 4)}
        first.add(steps, answers=4)
        second.add(dict(reversed(steps.items())), answers=4)
        assert first.bad_log_odds == pytest.approx(second.bad_log_odds)
        assert first.good_log_odds == pytest.approx(second.good_log_odds)
