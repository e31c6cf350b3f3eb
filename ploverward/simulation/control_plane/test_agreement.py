"""Tests of `can_agree`, which decides whether a half of a split core can make progress and deadlines apply."""

import pytest

from ploverward.simulation.control_plane import agreement

ODD, EVEN = ("a", "b", "c"), ("a", "b", "c", "d")


@pytest.mark.parametrize(
    "members, reached, voters, expected",
    [
        (ODD, "ab", "abc", True),
        (ODD, "a", "abc", False),
        (ODD, "ab", "bc", False),  # run 530816: a was emptied and needs b and c to catch up
        (ODD, "abc", "bc", True),
        (EVEN, "abc", "abcd", True),
        (EVEN, "abc", "bcd", True),  # two voters let the learner catch up; the three are then a majority
        (EVEN, "abc", "cd", False),
        (("a", "b", "c", "d", "e"), "abc", "bcde", False),
        (("a", "b", "c", "d", "e"), "abcd", "bcde", True),
    ],
)
def test_can_agree_counts_learners_only_if_enough_voters_are_reached(members, reached, voters, expected):
    assert agreement.can_agree(members=members, reached=set(reached), voters=set(voters)) is expected
