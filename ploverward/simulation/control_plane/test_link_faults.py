"""When the halves of a split core can agree: only then is a change owed in time."""

import pytest

from ploverward.simulation.control_plane import link_faults

ODD, EVEN = ("a", "b", "c"), ("a", "b", "c", "d")


@pytest.mark.parametrize(
    "members, reached, voters, expected",
    [
        (ODD, "ab", "abc", True),
        (ODD, "a", "abc", False),
        (ODD, "ab", "bc", False),  # run 530816: a was emptied and needs b and c to catch up
        (ODD, "abc", "bc", True),
        (EVEN, "abc", "abcd", True),
        (EVEN, "abc", "bcd", True),  # two voters are enough for the learner, and the three are a majority then
        (EVEN, "abc", "cd", False),
        (("a", "b", "c", "d", "e"), "abc", "bcde", False),
        (("a", "b", "c", "d", "e"), "abcd", "bcde", True),
    ],
)
def test_can_agree_counts_learners_only_if_enough_voters_are_reached(members, reached, voters, expected):
    assert link_faults.can_agree(members=members, reached=set(reached), voters=set(voters)) is expected
