"""The canary judge: whether a new version fails or is slow, against the former one of the same seconds.

A two-sided sequential test (Wald's SPRT; docs/rollouts.md 5) for each route and kind of fault. Each answer adds the
logarithm of how much more likely it is from a bad version than from one like the former. At the upper bound the version
is bad; it is let in only once the answers speak for it, and in between more canary requests are sent. One group of
replicas may be faulty by itself: the answers of the others tell (`group_sums`).

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
    """The kinds of bad answers. The values are part of the reason that is stored with a step."""

    FAILED = "failed"  # a status of 500 and more
    BROKEN = "broken"  # no end
    FIRST = "first"  # a slow first piece
    PACE = "pace"  # slow pieces after it


TIME_FAULTS = (FaultKind.FIRST, FaultKind.PACE)
MIN_BASELINE_RATES = {  # shares of bad answers that are ordinary anywhere
    FaultKind.FAILED: 0.03,
    FaultKind.BROKEN: 0.1,
    FaultKind.FIRST: 0.06,
    FaultKind.PACE: 0.04,
}
MIN_BAD_RATE = 0.3  # share of bad answers that a bad version is assumed to have at least
BAD_RATE_FACTOR = 3.0  # and so many times the former version's share
MAX_BAD_RATE = 0.95
MAX_BASELINE_RATE = 0.35  # of the former version's bad answers; beyond it nothing is judged
MIN_FORMER_ANSWERS = 8  # of the former version in the window, below which its times are not used
FULL_FORMER_ANSWERS = 40  # in the window, below which an earlier window with more of them is used
SLOW_BUCKETS = 7  # buckets above the former version's median: five times as long
BAD_LOG_ODDS = 8.0  # of the version, from which on it is bad
SINGLE_REPLICA_BAD_LOG_ODDS = 5.0  # of a version that only one replica has: no other one can confirm it
BAD_GROUP_LOG_ODDS = 5.0  # of one group of replicas, from which on others are to confirm it
DOUBTFUL_LOG_ODDS = 2.5  # of the version: a fault is probable
FAVOURABLE_LOG_ODDS = 1.0  # that the version is good
FAVOURABLE_TIME_LOG_ODDS = -1.0  # the same, of its times: a loaded replica's do not count, so there are few
CLEAR_LOG_ODDS = 3.0  # that the version is good: what a bad one reaches about once in a thousand times
MIN_JUDGED_ANSWERS = 8  # on one route, below which they need not speak for the version
WINDOW_S = 6.0  # of the former version's answers
RECENT_TIMES = 20  # of the former version in its last moments, from which on they alone are compared with
RECENT_S = 1.5  # of them that count by themselves: what begins to fail for all versions is not the new one's fault


class Verdict(enum.Enum):
    """What the answers of the new version show."""

    CLEAR = "clear"  # it is good
    FAVOURABLE = "favourable"  # it is probably good
    UNDECIDED = "undecided"
    DOUBTFUL = "doubtful"  # a fault is probable
    BAD = "bad"


@dataclasses.dataclass(frozen=True)
class Finding:
    """The most probable fault: its route and its score, the log odds of a bad version."""

    route: str
    fault: str
    score: float


NO_FINDING = Finding(route="", fault="", score=0.0)


class _Sample(typing.NamedTuple):
    """Answers, and how many of them are bad."""

    bad: int
    total: int


NO_SAMPLE = _Sample(bad=0, total=0)


def _sample(tally: rollout_evidence.Tally, fault: FaultKind, slow_bucket: int | None) -> _Sample:
    """The sample of one fault kind. `slow_bucket`: from which on a time is slow; None: unknown."""
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
    return tally.firsts if fault is FaultKind.FIRST else tally.paces


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


def _log_likelihood_ratio(sample: _Sample, *, ordinary: float) -> float:
    """How much more likely the sample is from a bad version than from one with the ordinary share of bad answers."""
    bad = min(MAX_BAD_RATE, max(MIN_BAD_RATE, BAD_RATE_FACTOR * ordinary))
    good_answers = sample.total - sample.bad
    return sample.bad * math.log(bad / ordinary) + good_answers * math.log((1 - bad) / (1 - ordinary))


@dataclasses.dataclass(frozen=True)
class _Baseline:
    """The former version's answers on one route: of the window, and of its last moments alone."""

    window: rollout_evidence.Tally
    recent: rollout_evidence.Tally


NO_BASELINE = _Baseline(window=rollout_evidence.Tally(), recent=rollout_evidence.Tally())


def _former_rate(sample: _Sample) -> float:
    """The share of bad answers that a sample of the former version speaks for."""
    return (sample.bad + 0.5) / (sample.total + 5) if sample.total else 0.0


class _Step(typing.NamedTuple):
    """What a group's new answers show, and how many were judged."""

    log_likelihood_ratio: float
    answers: int


NO_STEP = _Step(log_likelihood_ratio=0.0, answers=0)


def _step(fault: FaultKind, *, tally: rollout_evidence.Tally, former: _Baseline) -> _Step:
    """What a group's new answers show; nothing where the former version has too few to compare with.

    Args:
        fault: The kind of fault.
        tally: The new version's answers.
        former: The former version's answers, to compare with.
    """
    if fault in TIME_FAULTS:
        return _time_step(fault, tally=tally, former=former)
    sample = _sample(tally, fault, None)
    baseline = _sample(former.window, fault, None)
    if not sample.total:
        return NO_STEP
    if fault is FaultKind.BROKEN and baseline.total < MIN_FORMER_ANSWERS:
        return NO_STEP  # time-outs and resets may have any cause: they count only if the former version has answers
    recent = _sample(former.recent, fault, None)
    return _judged(sample, ordinary=max(MIN_BASELINE_RATES[fault], _former_rate(baseline), _former_rate(recent)))


def _time_step(fault: FaultKind, *, tally: rollout_evidence.Tally, former: _Baseline) -> _Step:
    """The same of times, which are compared with those of the last moments where the former version has enough.

    A slowness of both versions that is over would hide that of the new one for as long as the window lasts.
    """
    is_recent_enough = sum(_histogram(former.recent, fault).values()) >= RECENT_TIMES
    compared = former.recent if is_recent_enough else former.window
    median = _median(_histogram(compared, fault))
    if median is None:
        return NO_STEP
    sample = _sample(tally, fault, median + SLOW_BUCKETS)
    if not sample.total:
        return NO_STEP
    baseline = _sample(compared, fault, median + SLOW_BUCKETS)
    return _judged(sample, ordinary=max(MIN_BASELINE_RATES[fault], _former_rate(baseline)))


def _judged(sample: _Sample, *, ordinary: float) -> _Step:
    """The step of a sample; nothing where so many answers of the former version are bad that nothing can be told."""
    if ordinary > MAX_BASELINE_RATE:
        return NO_STEP
    return _Step(_log_likelihood_ratio(sample, ordinary=ordinary), answers=sample.total)


def _favourable_log_odds(fault: FaultKind) -> float:
    return FAVOURABLE_TIME_LOG_ODDS if fault in TIME_FAULTS else FAVOURABLE_LOG_ODDS


class CanaryJudge:
    """The sequential test of one order.

    Attributes:
        is_lone: Whether one replica alone has the new version: no other can confirm what it shows.
    """

    def __init__(self, *, is_single_replica: bool = False) -> None:
        self.is_single_replica = is_single_replica
        self._sums: dict[tuple[str, FaultKind], group_sums.GroupSums] = {}
        self._former: collections.deque[tuple[float, dict[str, rollout_evidence.Tally]]] = collections.deque()
        self._last_windows: dict[str, rollout_evidence.Tally] = {}  # by route: the last with enough answers

    def record(
        self, *, now: float, counted: Mapping[rollout_evidence.Key, rollout_evidence.Tally], has_times: bool = True
    ) -> None:
        """Adds what was counted since the last call.

        Args:
            now: Seconds on any clock that does not go back.
            counted: New answers, by route, version and group.
            has_times: Whether times are judged. A replica under extraordinary load, or one with an empty cache while
                all traffic moves to it, is slower whatever its version.
        """
        faults = [fault for fault in FaultKind if has_times or fault not in TIME_FAULTS]
        self._former.append((now, {key.route: tally for key, tally in counted.items() if not key.is_new}))
        while self._former and now - self._former[0][0] > WINDOW_S:
            self._former.popleft()
        baselines = self._baselines()
        steps: dict[tuple[str, FaultKind], dict[int, _Step]] = {}
        for key, tally in counted.items():
            if key.is_new:
                former = baselines.get(key.route, NO_BASELINE)
                for fault in faults:
                    step = _step(fault, tally=tally, former=former)
                    steps.setdefault((key.route, fault), {})[key.group] = step
        for place, by_group in steps.items():
            self._sums.setdefault(place, group_sums.GroupSums()).add(
                {group: step.log_likelihood_ratio for group, step in by_group.items()},
                answers=sum(step.answers for step in by_group.values()),
            )

    def forget_times(self) -> None:
        """Drops what times have shown so far."""
        self._sums = {place: sums for place, sums in self._sums.items() if place[1] not in TIME_FAULTS}

    def _baselines(self) -> dict[str, _Baseline]:
        """By route: the former version's answers in the window, or in the last window that had enough."""
        window = self._former_since(-math.inf)
        recent = self._former_since(self._former[-1][0] - RECENT_S)
        for route, tally in window.items():
            known = self._last_windows.get(route)
            is_enough = tally.ended >= FULL_FORMER_ANSWERS or known is None or tally.ended >= known.ended
            if is_enough and tally.ended >= MIN_FORMER_ANSWERS:
                self._last_windows[route] = tally
        return {
            route: _Baseline(window=tally, recent=recent.get(route, NO_BASELINE.recent))
            for route, tally in {**window, **self._last_windows}.items()
        }

    def _former_since(self, since: float) -> dict[str, rollout_evidence.Tally]:
        """The former version's answers that were counted from then on, by route."""
        found: dict[str, rollout_evidence.Tally] = {}
        for at, tallies in self._former:
            if at >= since:
                for route, tally in tallies.items():
                    found.setdefault(route, rollout_evidence.Tally()).add(tally)
        return found

    def finding(self) -> Finding:
        """The most probable fault."""
        found = [
            Finding(route=route, fault=fault, score=self._bad_log_odds(sums))
            for (route, fault), sums in self._sums.items()
        ]
        return max(found, key=lambda finding: finding.score, default=NO_FINDING)

    def _bad_log_odds(self, sums: group_sums.GroupSums) -> float:
        return sums.all_log_odds if self.is_single_replica else sums.bad_log_odds

    @property
    def verdict(self) -> Verdict:
        """What the sums show now; they may change again."""
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
        """Groups of replicas that have shown enough by themselves: others are to confirm it."""
        return frozenset().union(*(sums.groups_at_least(BAD_GROUP_LOG_ODDS) for sums in self._sums.values()))
