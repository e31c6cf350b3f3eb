"""Cumulative sums of one kind of fault on one route: of each group of replicas, and of all groups but one.

`GroupSums` is a CUSUM (Page's test) that is kept several times: once for each group, and once for all others together,
for each group that may be left out. Adding up the groups' own sums instead would raise the score of a good version,
since none of them falls below 0: with eight groups the chance excursions of all would count, and none of the good
answers between them (docs/rollouts.md 5).
"""

import dataclasses
from collections.abc import Mapping

from ploverward.common import rollout_evidence


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """What the sums show.

    Attributes:
        group: The group with the highest sum.
        own: Its sum.
        others: The sum of all other groups' answers, as if they were of one group.
    """

    group: int
    own: float
    others: float


class GroupSums:
    """The sums of one route and kind of fault; log likelihood ratios, never below 0."""

    def __init__(self) -> None:
        self._own = [0.0] * rollout_evidence.GROUPS
        self._others = [0.0] * rollout_evidence.GROUPS

    def add(self, steps: Mapping[int, float]) -> None:
        """Adds the log likelihood ratios of answers that came at the same time, by group."""
        total = sum(steps.values())
        for group in range(rollout_evidence.GROUPS):
            step = steps.get(group, 0.0)
            self._own[group] = max(0.0, self._own[group] + step)
            self._others[group] = max(0.0, self._others[group] + total - step)

    def suspicion(self) -> Suspicion:
        """The group that is most likely to be bad, and how likely all others are."""
        group = max(range(rollout_evidence.GROUPS), key=lambda number: self._own[number])
        return Suspicion(group=group, own=self._own[group], others=self._others[group])

    def groups_from(self, score: float) -> frozenset[int]:
        """The groups whose own sum is at least this."""
        return frozenset(group for group, own in enumerate(self._own) if own >= score)
