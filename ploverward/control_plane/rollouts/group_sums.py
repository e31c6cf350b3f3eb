"""Log likelihood ratios of one kind of fault on one route, with the groups of replicas told apart.

`GroupSums` runs the two-sided sequential test of `judge` for one kind of fault on one route (docs/rollouts.md 5). Three
hypotheses are compared: the version is bad; it is good; it is good and one group of replicas is faulty by itself. So a
sum is kept of all answers, and one for each group of the answers of all other groups. Each answer counts in full, good
ones too; a sum that has reached `FLOOR` falls no further, so that a version that turns bad late is found soon.
"""

import math
from collections.abc import Mapping

from ploverward.common import rollout_evidence

FLOOR = -4.0  # of a sum
FAULTY_GROUP_PROBABILITY = 0.1  # that one group is faulty by itself, whatever its version
LEAVE_ONE_OUT_PENALTY = 2.0  # less speaks for a version if that holds only with one group left out


class GroupSums:
    """The sums of one route and kind of fault: positive ones speak for a bad version.

    Attributes:
        answers: Answers that were judged.
    """

    def __init__(self) -> None:
        self.answers = 0
        self._all = 0.0
        self._others = [0.0] * rollout_evidence.GROUPS  # of all groups but this one
        self._own = [0.0] * rollout_evidence.GROUPS

    def add(self, steps: Mapping[int, float], *, answers: int) -> None:
        """Adds answers that came at the same time.

        Args:
            steps: The log likelihood ratio of each group's answers.
            answers: How many they are.
        """
        self.answers += answers
        total = sum(steps.values())
        self._all = max(FLOOR, self._all + total)
        for group in range(rollout_evidence.GROUPS):
            step = steps.get(group, 0.0)
            self._own[group] = max(0.0, self._own[group] + step)
            self._others[group] = max(FLOOR, self._others[group] + total - step)

    @property
    def bad_log_odds(self) -> float:
        """How much more likely a bad version is than a good one, with or without one faulty group."""
        share = FAULTY_GROUP_PROBABILITY / rollout_evidence.GROUPS
        good = (1 - FAULTY_GROUP_PROBABILITY) * math.exp(-self._all)
        return -math.log(good + sum(share * math.exp(-others) for others in self._others))

    @property
    def good_log_odds(self) -> float:
        """How much more likely a good version is than a bad one, by all answers or by all but one group's."""
        return -min(self._all, min(self._others) + LEAVE_ONE_OUT_PENALTY)

    @property
    def all_log_odds(self) -> float:
        """How much more likely a bad version is than one without any fault."""
        return self._all

    def groups_at_least(self, score: float) -> frozenset[int]:
        """The groups whose own answers speak that much for a fault."""
        return frozenset(group for group, own in enumerate(self._own) if own >= score)
