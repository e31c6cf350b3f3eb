"""The evidence that a coordinator collects about one order, and its evaluation (docs/rollouts.md 5).

`CanaryTrial` belongs to one order and one coordinator; the next coordinator starts a new one, from cumulative reports.
"""

import collections
import dataclasses

from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import judge

MIN_UNANSWERED = 6  # attempts without an answer, below which nothing is concluded from them
LAG_FACTOR = 2.5  # times the former version's response time, beyond which the new version lags
LAG_SLACK_S = 0.4  # added to that multiple of the former version's response time


class CanaryTrial:
    """The evidence of one order and its evaluation.

    Attributes:
        number: The number of the order.
        begun_at: When this coordinator began to collect evidence, on its clock.
        evidence: The merged reports.
        first_answer_s: Seconds from the order to the first answer of the new version; None before that answer.
        is_bad: Whether a fault was found. It is never reset, since writing the rollback to the register may take
            several attempts.
        is_cleared: Whether the answers have proved the version good since it was promoted. It is never reset: later
            failures that affect all versions are still judged, but must not hold back a version that users have
            already.
    """

    def __init__(self, *, number: int, now: float) -> None:
        self.number = number
        self.begun_at = now
        self.evidence = evidence_table.EvidenceTable()
        self.first_answer_s: float | None = None
        self.is_bad = False
        self.is_cleared = False
        self._judge = judge.CanaryJudge()
        # The group under load is judged separately: it is a single replica, and its times are not judged.
        self._load_judge = judge.CanaryJudge(is_single_replica=True)
        self._loaded_group: int | None = None
        self._first_sent_s: float | None = None
        self._is_lagging = False  # far more attempts are unanswered than at the former version, in proportion

    def start_load_test(self, *, group: int) -> None:
        """Treats a group of replicas as overloaded on purpose from now on. Only the first call has an effect."""
        if self._loaded_group is None:
            self._loaded_group = group

    def evaluate(
        self, *, now: float, age_s: float, replica_count: int, is_canary: bool, totals: evidence_table.Tallies
    ) -> None:
        """Judges the answers that were reported since the last call.

        Args:
            now: This node's clock, in seconds.
            age_s: Seconds since the order.
            replica_count: Replicas of the new version.
            is_canary: Whether the order is in its canary stage. Times are not judged in later stages: replicas with
                empty caches are slow while all traffic moves to them, whatever their version.
            totals: The tallies of all reports so far.
        """
        counted = self.evidence.consume_new()
        if self.first_answer_s is None and any(key.is_new and tally.ended for key, tally in counted.items()):
            self.first_answer_s = age_s
        self._judge.is_single_replica = replica_count == 1
        if self._first_sent_s is None and self.evidence.sent_new:
            self._first_sent_s = age_s
        if is_canary:
            if self._loaded_group is None and self._first_sent_s is not None:
                self._is_lagging = self._is_response_time_high(age_s, self._first_sent_s, totals)
            counted = self._judge_load_test(now, counted)
        else:
            self._judge.forget_times()
        self._judge.record(now=now, counted=counted, has_times=is_canary)
        judges = (self._judge, self._load_judge)
        self.is_bad = self.is_bad or any(one.verdict is judge.Verdict.BAD for one in judges)
        self.is_cleared = self.is_cleared or (not is_canary and self.verdict is judge.Verdict.CLEAR)

    def _judge_load_test(self, now: float, counted: evidence_table.Tallies) -> evidence_table.Tallies:
        """Judges the group under load separately, and returns the tallies that the main judge is to record.

        A replica under load is slow whatever its version, so neither judge gets its times; both get its failures.
        """
        loaded = {key for key in counted if key.is_new and key.group == self._loaded_group}
        separate = {key: tally for key, tally in counted.items() if not key.is_new or key in loaded}
        self._load_judge.record(now=now, counted=separate, has_times=False)
        without_times = {
            key: dataclasses.replace(
                counted[key], first_chunk_times=collections.Counter(), chunk_intervals=collections.Counter()
            )
            for key in loaded
        }
        return {**counted, **without_times}

    def _is_response_time_high(self, age_s: float, first_sent_s: float, totals: evidence_table.Tallies) -> bool:
        """Returns whether the new version responds far more slowly than the former one, before its answers arrive.

        By Little's law the response time is the number of unanswered attempts divided by the rate of attempts.
        """
        ended: collections.Counter[bool] = collections.Counter()
        for key, tally in totals.items():
            ended[key.is_new] += tally.ended
        sent_new = self.evidence.sent_new
        sent_former = self.evidence.sent - sent_new
        unanswered_new = sent_new - ended[True]
        unanswered_former = max(0, sent_former - ended[False])
        if unanswered_new < MIN_UNANSWERED or not sent_former:
            return False
        new_s = unanswered_new * (age_s - first_sent_s) / sent_new
        former_s = unanswered_former * age_s / sent_former
        return new_s > LAG_FACTOR * former_s + LAG_SLACK_S

    def finding(self) -> judge.Finding:
        """Returns the fault with the highest score."""
        return max(self._judge.finding(), self._load_judge.finding(), key=lambda finding: finding.score)

    def bad_groups(self) -> frozenset[int]:
        """Returns the groups of replicas whose own answers suffice to call them faulty."""
        return self._judge.bad_groups()

    @property
    def verdict(self) -> judge.Verdict:
        """The current verdict on the new version, over all groups and the group under load."""
        if self.is_bad:
            return judge.Verdict.BAD
        if self._is_lagging or self._load_judge.verdict is judge.Verdict.DOUBTFUL:
            return judge.Verdict.DOUBTFUL
        return self._judge.verdict
