"""Sums of groups of replicas, and of all groups but one."""

import random

import pytest

from ploverward.control_plane.rollouts import group_sums


def test_one_group_is_suspected_and_the_others_are_not():
    sums = group_sums.GroupSums()
    for _index in range(4):
        sums.add({1: 2.0, 2: -0.5, 3: -0.5})
    assert sums.suspicion() == group_sums.Suspicion(group=1, own=8.0, others=0.0)
    assert sums.groups_from(8.0) == {1} and sums.groups_from(8.1) == frozenset()


def test_others_confirm_it_together():
    sums = group_sums.GroupSums()
    for _index in range(4):
        sums.add({1: 2.0, 2: 0.5, 3: 0.5})
    assert sums.suspicion() == group_sums.Suspicion(group=1, own=8.0, others=4.0)


def test_no_sum_falls_below_zero_so_a_late_fault_counts_in_full():
    sums = group_sums.GroupSums()
    for _index in range(100):
        sums.add({0: -1.0, 5: -1.0})
    sums.add({0: 3.0, 5: 3.0})
    assert sums.suspicion() == group_sums.Suspicion(group=0, own=3.0, others=3.0)


@pytest.mark.parametrize("seed", range(20))
def test_the_order_of_groups_in_a_step_changes_nothing(seed):
    chance = random.Random(seed)
    first, second = group_sums.GroupSums(), group_sums.GroupSums()
    for _index in range(50):
        steps = {group: chance.uniform(-1.0, 1.0) for group in chance.sample(range(8), 4)}
        first.add(steps)
        second.add(dict(reversed(steps.items())))
        assert first.suspicion().own == second.suspicion().own
        assert first.suspicion().others == pytest.approx(second.suspicion().others)
