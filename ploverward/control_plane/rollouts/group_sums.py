"""Sums of log likelihood ratios for one kind of fault on one route, overall and by group of replicas.

`GroupSums` runs the two-sided sequential test of `judge` for one kind of fault on one route (docs/rollouts.md 5). Three
hypotheses are compared: the version is bad; it is good; it is good and one group of replicas is faulty by itself. So
there is a sum over all answers and, for each group, a sum over the answers of all other groups. Every answer counts in
full, good ones as well. A sum does not fall below `FLOOR`, so that a version that turns bad late is detected soon.
"""

import math
from collections.abc import Mapping

from ploverward.common import rollout_evidence

FLOOR = -4.0  # lower limit of a sum
FAULTY_GROUP_PROBABILITY = 0.1  # probability that one group is faulty by itself, whatever its version
LEAVE_ONE_OUT_PENALTY = 2.0  # reduces the log odds of a good version that only hold with one group left out


class GroupSums:
    """Sums for one route and one kind of fault; positive ones are evidence for a bad version.

    Attributes:
        answers: Number of answers that were judged.
    """

    def __init__(self) -> None:
        self.answers = 0
        self._all = 0.0
        self._others = [0.0] * rollout_evidence.GROUPS  # by group: the sum over all other groups
        self._own = [0.0] * rollout_evidence.GROUPS  # by group; these do not fall below 0

    def add(self, steps: Mapping[int, float], *, answers: int) -> None:
        """Adds answers that were reported at the same time.

        Args:
            steps: The log likelihood ratio of each group's answers, by group.
            answers: Number of these answers.
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
        """Log odds of a bad version against a good one, which may have one faulty group."""
        share = FAULTY_GROUP_PROBABILITY / rollout_evidence.GROUPS
        good = (1 - FAULTY_GROUP_PROBABILITY) * math.exp(-self._all)
        return -math.log(good + sum(share * math.exp(-others) for others in self._others))

    @property
    def good_log_odds(self) -> float:
        """Log odds of a good version against a bad one.

        They are computed from all answers, or with one group left out, less a penalty, if that gives higher odds.
        """
        return -min(self._all, min(self._others) + LEAVE_ONE_OUT_PENALTY)

    @property
    def all_log_odds(self) -> float:
        """Log odds of a bad version against one without any fault, from all answers."""
        return self._all

    def groups_at_least(self, score: float) -> frozenset[int]:
        """Returns the groups whose own answers have a sum of at least `score`."""
        return frozenset(group for group, own in enumerate(self._own) if own >= score)
