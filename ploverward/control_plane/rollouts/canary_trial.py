"""What a coordinator collected about one order: the evidence and its judges (docs/rollouts.md 5).

`CanaryTrial` belongs to one order and one coordinator; the next coordinator starts a new one, from cumulative reports.
"""

import collections
import dataclasses

from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import judge

MIN_OWED_ANSWERS = 6  # attempts without an answer, below which nothing is concluded from them
OWED_TIME_FACTOR = 2.5  # of the former version's time
OWED_TIME_SLACK_S = 0.4


class CanaryTrial:
    """The evidence of one order and what it shows.

    Attributes:
        number: The order.
        begun_at: When this coordinator began to gather, on its clock.
        evidence: The merged reports.
        first_answer_s: Seconds from the order to the first answer of the new version; None before it.
        is_bad: Whether a fault was found. It is never reset: the decision has to be written, which may take several
            attempts.
        is_cleared: Whether the answers have proved the version good since it was promoted. It is never reset: what
            fails for all versions later on is judged, and holds nothing back that is with users already.
    """

    def __init__(self, *, number: int, now: float) -> None:
        self.number = number
        self.begun_at = now
        self.evidence = evidence_table.EvidenceTable()
        self.first_answer_s: float | None = None
        self.is_bad = False
        self.is_cleared = False
        self._judge = judge.CanaryJudge()
        # The group under load is judged apart, by one replica and without times.
        self._load_judge = judge.CanaryJudge(is_single_replica=True)
        self._loaded_group: int | None = None
        self._first_sent_s: float | None = None
        self._is_lagging = False  # the new version owes far more answers than the former one, for what it got

    def start_load_test(self, *, group: int) -> None:
        """One group of replicas has an extraordinary load from now on; later calls change nothing."""
        if self._loaded_group is None:
            self._loaded_group = group

    def evaluate(
        self, *, now: float, age_s: float, replica_count: int, is_canary: bool, totals: evidence_table.Tallies
    ) -> None:
        """Judges what was counted since the last call.

        Args:
            now: This node's clock, in seconds.
            age_s: Seconds since the order.
            replica_count: Replicas of the new version.
            is_canary: Whether the stage is the canary's. Afterwards times are not judged: replicas with empty caches
                are slow while all traffic moves to them, whatever their version.
            totals: All evidence so far.
        """
        counted = self.evidence.consume_new()
        if self.first_answer_s is None and any(key.is_new and tally.ended for key, tally in counted.items()):
            self.first_answer_s = age_s
        self._judge.is_single_replica = replica_count == 1
        if self._first_sent_s is None and self.evidence.sent_new:
            self._first_sent_s = age_s
        if is_canary:
            if self._loaded_group is None and self._first_sent_s is not None:
                self._is_lagging = self._owes_answers(age_s, self._first_sent_s, totals)
            counted = self._judge_load_test(now, counted)
        else:
            self._judge.forget_times()
        self._judge.record(now=now, counted=counted, has_times=is_canary)
        judges = (self._judge, self._load_judge)
        self.is_bad = self.is_bad or any(one.verdict is judge.Verdict.BAD for one in judges)
        self.is_cleared = self.is_cleared or (not is_canary and self.verdict is judge.Verdict.CLEAR)

    def _judge_load_test(self, now: float, counted: evidence_table.Tallies) -> evidence_table.Tallies:
        """Judges the loaded group separately, and returns the counts that are judged of all groups.

        A loaded replica is slow whatever its version, so its times are left out; its failures count in both.
        """
        loaded = {key for key in counted if key.is_new and key.group == self._loaded_group}
        apart = {key: tally for key, tally in counted.items() if not key.is_new or key in loaded}
        self._load_judge.record(now=now, counted=apart, has_times=False)
        without_times = {
            key: dataclasses.replace(counted[key], firsts=collections.Counter(), paces=collections.Counter())
            for key in loaded
        }
        return {**counted, **without_times}

    def _owes_answers(self, age_s: float, first_sent_s: float, totals: evidence_table.Tallies) -> bool:
        """Whether answers are far slower than the former version's, noticed before they arrive.

        By Little's law attempts without an answer, divided by the rate at which they are sent, are the time of one.
        """
        ended: collections.Counter[bool] = collections.Counter()
        for key, tally in totals.items():
            ended[key.is_new] += tally.ended
        sent_new = self.evidence.sent_new
        sent_former = self.evidence.sent - sent_new
        owed_new = sent_new - ended[True]
        owed_former = max(0, sent_former - ended[False])
        if owed_new < MIN_OWED_ANSWERS or not sent_former:
            return False
        new_s = owed_new * (age_s - first_sent_s) / sent_new
        former_s = owed_former * age_s / sent_former
        return new_s > OWED_TIME_FACTOR * former_s + OWED_TIME_SLACK_S

    def finding(self) -> judge.Finding:
        """The fault with the highest score."""
        return max(self._judge.finding(), self._load_judge.finding(), key=lambda finding: finding.score)

    def bad_groups(self) -> frozenset[int]:
        """Groups of replicas for which the evidence suffices by itself."""
        return self._judge.bad_groups()

    @property
    def verdict(self) -> judge.Verdict:
        """What the canary shows now."""
        if self.is_bad:
            return judge.Verdict.BAD
        if self._is_lagging or self._load_judge.verdict is judge.Verdict.DOUBTFUL:
            return judge.Verdict.DOUBTFUL
        return self._judge.verdict
