"""Canary judge: detects a new version that fails or is slow, compared with the former version at the same time.

It runs a two-sided sequential test (Wald's SPRT; docs/rollouts.md 5) for each route and kind of fault. Each answer adds
its log likelihood ratio: how much more likely it is from a bad version than from one like the former. At the upper
bound the version is bad. It is promoted only once the answers are evidence for a good one; in between, more canary
requests are sent. A single group of replicas may be faulty whatever its version, which the answers of the other groups
show (`group_sums`).

`CanaryJudge` owns the sums and the window of the former version's answers. It has no clock and no I/O.
"""

import collections
import dataclasses
import enum
import math
import typing
from collections.abc import Mapping

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import group_sums


class FaultKind(enum.StrEnum):
    """Kinds of bad answers. The values are part of the reason that is stored with a step."""

    FAILED = "failed"  # a status of 500 or more
    BROKEN = "broken"  # broken off before its end
    FIRST = "first"  # a slow first chunk
    PACE = "pace"  # long pauses between chunks


TIME_FAULTS = (FaultKind.FIRST, FaultKind.PACE)
MIN_BASELINE_RATES = {  # shares of bad answers that occur with any version
    FaultKind.FAILED: 0.03,
    FaultKind.BROKEN: 0.1,
    FaultKind.FIRST: 0.06,
    FaultKind.PACE: 0.04,
}
MIN_BAD_RATE = 0.3  # lower limit of the share of bad answers that a bad version is assumed to have
BAD_RATE_FACTOR = 3.0  # that share as a multiple of the baseline rate
MAX_BAD_RATE = 0.95  # upper limit of that share
MAX_BASELINE_RATE = 0.35  # share of bad answers of the former version, beyond which nothing is judged
MIN_FORMER_ANSWERS = 8  # in the window; below it, the former version's times and broken answers are not compared with
FULL_FORMER_ANSWERS = 40  # in the window; below it, an earlier window with more answers is used
SLOW_BUCKETS = 7  # buckets above the former version's median, from which on a time is slow: five times the median
BAD_LOG_ODDS = 8.0  # of a bad version, from which on the verdict is BAD
SINGLE_REPLICA_BAD_LOG_ODDS = 5.0  # the same for a version with a single replica: no other one can confirm the fault
BAD_GROUP_LOG_ODDS = 5.0  # of a faulty group of replicas, from which on other groups are to confirm the fault
DOUBTFUL_LOG_ODDS = 2.5  # of a bad version, from which on the verdict is DOUBTFUL
FAVOURABLE_LOG_ODDS = 1.0  # of a good version, from which on the verdict is FAVOURABLE
FAVOURABLE_TIME_LOG_ODDS = -1.0  # the same for times: those of a replica under load do not count, so there are few
CLEAR_LOG_ODDS = 3.0  # of a good version: a bad one reaches that about once in a thousand times
MIN_JUDGED_ANSWERS = 8  # on a route; with fewer, they need not be evidence for a good version
WINDOW_S = 6.0  # window of the former version's answers
RECENT_TIMES = 20  # of the former version in the last `RECENT_S`; from so many on, only these are compared with
# The former version's answers of the last `RECENT_S` are also compared with alone, so that failures that begin for all
# versions do not condemn the new one.
RECENT_S = 1.5


class Verdict(enum.Enum):
    """The judgement of a version by its answers."""

    CLEAR = "clear"  # good
    FAVOURABLE = "favourable"  # probably good
    UNDECIDED = "undecided"
    DOUBTFUL = "doubtful"  # a fault is probable
    BAD = "bad"


@dataclasses.dataclass(frozen=True)
class Finding:
    """The most probable fault: its route, its kind and its score, which is the log odds of a bad version."""

    route: str
    fault: str
    score: float


NO_FINDING = Finding(route="", fault="", score=0.0)


class _Sample(typing.NamedTuple):
    """The numbers of bad answers and of all answers."""

    bad: int
    total: int


NO_SAMPLE = _Sample(bad=0, total=0)


def _sample(tally: rollout_evidence.Tally, fault: FaultKind, slow_bucket: int | None) -> _Sample:
    """Returns the sample for one kind of fault. A time in `slow_bucket` or above is slow; None if that is unknown."""
    if fault is FaultKind.FAILED:
        return _Sample(bad=tally.failed, total=tally.ended)
    if fault is FaultKind.BROKEN:
        return _Sample(bad=tally.broken, total=tally.ended)
    if slow_bucket is None:
        return NO_SAMPLE
    histogram = _histogram(tally, fault)
    return _Sample(
        bad=sum(count for bucket, count in histogram.items() if bucket >= slow_bucket), total=sum(histogram.values())
    )


def _histogram(tally: rollout_evidence.Tally, fault: FaultKind) -> collections.Counter[int]:
    return tally.first_chunk_times if fault is FaultKind.FIRST else tally.chunk_intervals


def _median(histogram: collections.Counter[int]) -> int | None:
    total = sum(histogram.values())
    if total < MIN_FORMER_ANSWERS:
        return None
    passed = 0
    for bucket in sorted(histogram):
        passed += histogram[bucket]
        if passed * 2 >= total:
            return bucket
    return None


def _log_likelihood_ratio(sample: _Sample, *, baseline_rate: float) -> float:
    """Returns the log likelihood ratio of a bad version to one with the baseline rate of bad answers."""
    bad = min(MAX_BAD_RATE, max(MIN_BAD_RATE, BAD_RATE_FACTOR * baseline_rate))
    good_answers = sample.total - sample.bad
    return sample.bad * math.log(bad / baseline_rate) + good_answers * math.log((1 - bad) / (1 - baseline_rate))


@dataclasses.dataclass(frozen=True)
class _Baseline:
    """The former version's answers on one route: in the whole window, and in the last `RECENT_S` of it."""

    window: rollout_evidence.Tally
    recent: rollout_evidence.Tally


NO_BASELINE = _Baseline(window=rollout_evidence.Tally(), recent=rollout_evidence.Tally())


def _former_rate(sample: _Sample) -> float:
    """Estimates the former version's share of bad answers from a sample, smoothed for small samples."""
    return (sample.bad + 0.5) / (sample.total + 5) if sample.total else 0.0


class _Increment(typing.NamedTuple):
    """The log likelihood ratio of a group's new answers, and how many of them were judged."""

    log_likelihood_ratio: float
    answers: int


NO_INCREMENT = _Increment(log_likelihood_ratio=0.0, answers=0)


def _increment(fault: FaultKind, *, tally: rollout_evidence.Tally, former: _Baseline) -> _Increment:
    """Returns the increment by a group's new answers; none if the former version has too few to compare with.

    Args:
        fault: The kind of fault.
        tally: The new version's answers.
        former: The former version's answers to compare with.
    """
    if fault in TIME_FAULTS:
        return _time_increment(fault, tally=tally, former=former)
    sample = _sample(tally, fault, None)
    baseline = _sample(former.window, fault, None)
    if not sample.total:
        return NO_INCREMENT
    if fault is FaultKind.BROKEN and baseline.total < MIN_FORMER_ANSWERS:
        # Timeouts and resets may have any cause: they count only if the former version has answers.
        return NO_INCREMENT
    recent = _sample(former.recent, fault, None)
    return _increment_by(
        sample, baseline_rate=max(MIN_BASELINE_RATES[fault], _former_rate(baseline), _former_rate(recent))
    )


def _time_increment(fault: FaultKind, *, tally: rollout_evidence.Tally, former: _Baseline) -> _Increment:
    """Returns the increment by response times.

    They are compared with the recent times of the former version if it has enough: otherwise, a slowness of both
    versions that has ended would hide a slow new version for as long as the window lasts.
    """
    is_recent_enough = sum(_histogram(former.recent, fault).values()) >= RECENT_TIMES
    compared = former.recent if is_recent_enough else former.window
    median = _median(_histogram(compared, fault))
    if median is None:
        return NO_INCREMENT
    sample = _sample(tally, fault, median + SLOW_BUCKETS)
    if not sample.total:
        return NO_INCREMENT
    baseline = _sample(compared, fault, median + SLOW_BUCKETS)
    return _increment_by(sample, baseline_rate=max(MIN_BASELINE_RATES[fault], _former_rate(baseline)))


def _increment_by(sample: _Sample, *, baseline_rate: float) -> _Increment:
    """Returns the increment by a sample; none if the former version has too many bad answers to compare with."""
    if baseline_rate > MAX_BASELINE_RATE:
        return NO_INCREMENT
    return _Increment(_log_likelihood_ratio(sample, baseline_rate=baseline_rate), answers=sample.total)


def _favourable_log_odds(fault: FaultKind) -> float:
    return FAVOURABLE_TIME_LOG_ODDS if fault in TIME_FAULTS else FAVOURABLE_LOG_ODDS


class CanaryJudge:
    """The sequential test of one order.

    Attributes:
        is_single_replica: Whether the new version has a single replica, so that no other one can confirm a fault.
    """

    def __init__(self, *, is_single_replica: bool = False) -> None:
        self.is_single_replica = is_single_replica
        self._sums: dict[tuple[str, FaultKind], group_sums.GroupSums] = {}
        self._former: collections.deque[tuple[float, dict[str, rollout_evidence.Tally]]] = collections.deque()
        self._last_windows: dict[str, rollout_evidence.Tally] = {}  # by route: the last window with enough answers

    def record(
        self, *, now: float, counted: Mapping[rollout_evidence.TallyKey, rollout_evidence.Tally], has_times: bool = True
    ) -> None:
        """Records the answers that were reported since the last call.

        Args:
            now: Seconds on any monotonic clock.
            counted: New answers, by route, version and group.
            has_times: Whether times are judged. A replica under extraordinary load, or one with an empty cache while
                all traffic moves to it, is slower whatever its version.
        """
        faults = [fault for fault in FaultKind if has_times or fault not in TIME_FAULTS]
        self._former.append((now, {key.route: tally for key, tally in counted.items() if not key.is_new}))
        while self._former and now - self._former[0][0] > WINDOW_S:
            self._former.popleft()
        baselines = self._baselines()
        increments: dict[tuple[str, FaultKind], dict[int, _Increment]] = {}
        for key, tally in counted.items():
            if key.is_new:
                former = baselines.get(key.route, NO_BASELINE)
                for fault in faults:
                    increment = _increment(fault, tally=tally, former=former)
                    increments.setdefault((key.route, fault), {})[key.group] = increment
        for test, by_group in increments.items():
            self._sums.setdefault(test, group_sums.GroupSums()).add(
                {group: increment.log_likelihood_ratio for group, increment in by_group.items()},
                answers=sum(increment.answers for increment in by_group.values()),
            )

    def forget_times(self) -> None:
        """Discards what the times of answers have shown so far; the sums of the other faults stay."""
        self._sums = {test: sums for test, sums in self._sums.items() if test[1] not in TIME_FAULTS}

    def _baselines(self) -> dict[str, _Baseline]:
        """Returns, by route, the former version's answers in the window, or in the last window that had enough."""
        window = self._former_since(-math.inf)
        recent = self._former_since(self._former[-1][0] - RECENT_S)
        for route, tally in window.items():
            last = self._last_windows.get(route)
            is_enough = tally.ended >= FULL_FORMER_ANSWERS or last is None or tally.ended >= last.ended
            if is_enough and tally.ended >= MIN_FORMER_ANSWERS:
                self._last_windows[route] = tally
        return {
            route: _Baseline(window=tally, recent=recent.get(route, NO_BASELINE.recent))
            for route, tally in {**window, **self._last_windows}.items()
        }

    def _former_since(self, since: float) -> dict[str, rollout_evidence.Tally]:
        """Returns the former version's answers that were recorded at `since` or later, by route."""
        found: dict[str, rollout_evidence.Tally] = {}
        for at, tallies in self._former:
            if at >= since:
                for route, tally in tallies.items():
                    found.setdefault(route, rollout_evidence.Tally()).add(tally)
        return found

    def finding(self) -> Finding:
        """Returns the most probable fault."""
        found = [
            Finding(route=route, fault=fault, score=self._bad_log_odds(sums))
            for (route, fault), sums in self._sums.items()
        ]
        return max(found, key=lambda finding: finding.score, default=NO_FINDING)

    def _bad_log_odds(self, sums: group_sums.GroupSums) -> float:
        return sums.all_log_odds if self.is_single_replica else sums.bad_log_odds

    @property
    def verdict(self) -> Verdict:
        """The current verdict by the sums; it may change again."""
        score = self.finding().score
        if score >= (SINGLE_REPLICA_BAD_LOG_ODDS if self.is_single_replica else BAD_LOG_ODDS):
            return Verdict.BAD
        if score >= DOUBTFUL_LOG_ODDS:
            return Verdict.DOUBTFUL
        judged = [
            (fault, sums.good_log_odds)
            for (_route, fault), sums in self._sums.items()
            if sums.answers >= MIN_JUDGED_ANSWERS
        ]
        if all(log_odds >= CLEAR_LOG_ODDS for _fault, log_odds in judged):
            return Verdict.CLEAR
        is_favourable = all(log_odds >= _favourable_log_odds(fault) for fault, log_odds in judged)
        return Verdict.FAVOURABLE if is_favourable else Verdict.UNDECIDED

    def bad_groups(self) -> frozenset[int]:
        """Returns the groups whose own answers suffice to call them faulty; other groups are to confirm that."""
        return frozenset().union(*(sums.groups_at_least(BAD_GROUP_LOG_ODDS) for sums in self._sums.values()))
