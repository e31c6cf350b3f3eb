"""The judge: whether a new version fails or is slow, against the former one of the same seconds (docs/rollouts.md 5).

One cumulative sum (Page's test) for each kind of request, fault and group of replicas: each answer adds the logarithm of
how much more likely it is from a bad version than from one like the former, and the sum never falls below 0, so that a
version that turns bad late is found as soon as one that was bad from the start. No clock, no sockets.
"""

import collections
import dataclasses
import math

from ploverward.common import rollout_evidence

FAULTS = ("failed", "broken", "first", "pace")
TIME_FAULTS = ("first", "pace")
BAD_SHARE = 0.3  # the least share of bad answers that a bad version is taken to have
BAD_TIMES = 3.0  # and so many times the former version's share
MAX_BAD_SHARE = 0.95
BASELINE_FAULT_RATES = {"failed": 0.03, "broken": 0.1, "first": 0.06, "pace": 0.04}  # shares that are ordinary anywhere
MAX_BASELINE_ERROR_RATE = 0.35  # where the former version does worse than this, nothing can be told
LEAST_FORMER = 8  # answers of the former version in the window, below which its times say nothing
SLOW_STEPS = 7  # buckets above the former version's median: five times as long
GROUP_LIMIT = 5.0  # the most that one group of replicas counts: a single replica may be faulty by itself
POOL_LIMIT = 8.0  # the sum over groups from which on the version is bad
SUSPICION = 2.5
CLEARING_ANSWERS = 12  # of other groups, that clear a version of what one group shows
WINDOW_S = 6.0  # of the former version's answers


@dataclasses.dataclass(frozen=True)
class Finding:
    """The fault that stands out most: of a route, with its sum over groups."""

    route: str
    fault: str
    score: float


NOTHING_FOUND = Finding(route="", fault="", score=0.0)


def _bad_counts(tally: rollout_evidence.Tally, fault: str, limit: int | None) -> tuple:
    """(bad, all) of a tally for one fault; `limit`: the bucket from which on a time is slow, None: it can't be told."""
    if fault in ("failed", "broken"):
        return getattr(tally, fault), tally.ended
    if limit is None:
        return 0, 0
    table = tally.firsts if fault == "first" else tally.paces
    return sum(count for bucket, count in table.items() if bucket >= limit), sum(table.values())


def _median(table: collections.Counter) -> int | None:
    total = sum(table.values())
    if total < LEAST_FORMER:
        return None
    passed = 0
    for bucket in sorted(table):
        passed += table[bucket]
        if passed * 2 >= total:
            return bucket
    return None


class Judge:
    """Takes what was counted since the last look, by `evidence.Key`, and says what stands out."""

    def __init__(self):
        self.is_lone = False  # one replica alone has the new version: no other can confirm what it shows
        self.cumulative_sums = {}  # (route, fault, group): cumulative sum
        self.answers = collections.Counter()  # (route, group): answers of the new version
        self._former = collections.deque()  # (when, {route: Tally}) of the former version
        self._kept = {}  # route: the last window of the former version that said something

    def record(self, *, now: float, counted: dict, has_times: bool = True) -> None:
        """`has_times`: whether the former version's times are to be met. A replica under a load beyond the ordinary, or
        one that keeps no prompts yet while all traffic moves to it, is slower whatever its version."""
        faults = FAULTS if has_times else tuple(fault for fault in FAULTS if fault not in TIME_FAULTS)
        former = {key.route: tally for key, tally in counted.items() if not key.is_new}
        self._former.append((now, former))
        while self._former and now - self._former[0][0] > WINDOW_S:
            self._former.popleft()
        baselines = self._baselines()
        for key, tally in counted.items():
            if key.is_new:
                self.answers[key.route, key.group] += tally.ended
                self._weigh(key, tally, baselines.get(key.route, rollout_evidence.Tally()), faults)

    def forget_times(self) -> None:
        """What times have shown so far counts no longer."""
        self.cumulative_sums = {
            score_key: score for score_key, score in self.cumulative_sums.items() if score_key[1] not in TIME_FAULTS
        }

    def _baselines(self) -> dict:
        """Route: what the former version did in the window; where it gets nothing any more, in the last that it had."""
        window = {}
        for _when, tallies in self._former:
            for route, tally in tallies.items():
                window.setdefault(route, rollout_evidence.Tally()).add(tally)
        for route, tally in window.items():
            if tally.ended >= LEAST_FORMER:
                self._kept[route] = tally
        return {**window, **self._kept}

    def _weigh(self, key, tally, former, faults: tuple) -> None:
        for fault in faults:
            limit = None
            if fault in TIME_FAULTS:
                median = _median(former.firsts if fault == "first" else former.paces)
                limit = None if median is None else median + SLOW_STEPS
            bad, total = _bad_counts(tally, fault, limit)
            if not total:
                continue
            former_bad, former_total = _bad_counts(former, fault, limit)
            if fault == "broken" and former_total < LEAST_FORMER:
                continue  # silence and resets may have any cause: they count only beside answers of the former version
            ordinary = max(
                BASELINE_FAULT_RATES[fault], (former_bad + 0.5) / (former_total + 5) if former_total else 0.0
            )
            if ordinary > MAX_BASELINE_ERROR_RATE:
                continue
            worse = min(MAX_BAD_SHARE, max(BAD_SHARE, BAD_TIMES * ordinary))
            step = bad * math.log(worse / ordinary) + (total - bad) * math.log((1 - worse) / (1 - ordinary))
            score_key = (key.route, fault, key.group)
            self.cumulative_sums[score_key] = max(0.0, self.cumulative_sums.get(score_key, 0.0) + step)

    def finding(self) -> Finding:
        """What stands out most, over all groups; one group counts up to its limit."""
        pooled = collections.Counter()
        for (route, fault, _group), score in self.cumulative_sums.items():
            pooled[route, fault] += min(GROUP_LIMIT, score)
        if not pooled:
            return NOTHING_FOUND
        (route, fault), score = max(pooled.items(), key=lambda row: row[1])
        return Finding(route=route, fault=fault, score=score)

    @property
    def is_bad(self) -> bool:
        return self.finding().score >= (GROUP_LIMIT if self.is_lone else POOL_LIMIT)

    @property
    def is_suspicious(self) -> bool:
        """Whether a fault stands out that other groups of replicas do not clear: at one alone, it may be the replica's."""
        by_fault = {}
        for (route, fault, group), score in self.cumulative_sums.items():
            by_fault.setdefault((route, fault), {})[group] = score
        return any(self._is_doubtful(route, scores) for (route, _fault), scores in by_fault.items())

    def _is_doubtful(self, route: str, scores: dict) -> bool:
        worst = max(scores, key=scores.get)
        others = sum(score for group, score in scores.items() if group != worst)
        if others >= SUSPICION:
            return True
        return scores[worst] >= SUSPICION and self.answers_of(route, without=worst) < CLEARING_ANSWERS

    def answers_of(self, route: str, *, without: int | None = None) -> int:
        """Answers of the new version on a route, of all groups but one."""
        return sum(count for (name, group), count in self.answers.items() if name == route and group != without)

    def bad_groups(self) -> frozenset:
        """Groups of replicas that have shown enough by themselves: others are to confirm it."""
        return frozenset(
            group for (_route, _fault, group), score in self.cumulative_sums.items() if score >= GROUP_LIMIT
        )
