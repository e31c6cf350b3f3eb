"""Detection of failing replicas by the outcomes of attempts at them, over all proxies (docs/digest.md 5).

Health checks alone never mark a replica as failing.

An `OutlierDetector` owns the window of each replica's outcomes, and which replicas are failing and until when.
"""

import collections
import typing
from collections.abc import Callable
from collections.abc import Collection

WINDOW_SPANS = 6  # parts of the window, which slides by one at a time
FAILING_SHARE = 0.25  # share of failures, among the attempts that ended in the window, at which a replica is failing
MIN_FAILURES = 4  # with fewer failures in the window a replica is never failing
MAX_REPEATED_EJECTIONS = 3  # an ejection takes twice as long with each repeat, up to eight times the first one


class _Span:
    """Counts of the outcomes in one part of the window."""

    __slots__ = ("began_s", "ended", "failed")

    def __init__(self, *, began_s: float) -> None:
        self.began_s = began_s
        self.ended = 0
        self.failed = 0


class _Ejections(typing.NamedTuple):
    """Ejections of a replica that followed each other closely."""

    repeats: int
    until_s: float  # end of the last one, on the event loop's clock


class OutlierDetector:
    """Ejects a replica when too large a share of the attempts that ended in a sliding window failed.

    Each ejection soon after the last one takes longer.

    Args:
        now: Clock of the event loop, in seconds.
        suspicion_s: Seconds for which a replica that does not respond is suspected. The window is three times as long,
            a first ejection twice.
    """

    def __init__(self, *, now: Callable[[], float], suspicion_s: float) -> None:
        self._now = now
        self._window_s = suspicion_s * 3
        self._eject_s = suspicion_s * 2
        self._spans: dict[bytes, collections.deque[_Span]] = {}  # by replica key
        self._ejected_until_s: dict[bytes, float] = {}  # replica key: time at which it may be tried again
        self._ejections: dict[bytes, _Ejections] = {}
        self._updated: set[bytes] = set()
        self.failing: set[bytes] = set()

    def retain(self, *, keys: Collection[bytes]) -> None:
        """Removes all replicas except these."""
        tables: tuple[dict[bytes, typing.Any], ...] = (self._spans, self._ejected_until_s, self._ejections)
        for table in tables:
            for key in [key for key in table if key not in keys]:
                del table[key]
        self.failing &= set(keys)

    def record(self, *, key: bytes, ended: int, failed: int) -> None:
        """Adds the outcomes of attempts at a replica.

        Args:
            key: Key of the replica.
            ended: Number of attempts that ended.
            failed: Number of these that failed.
        """
        now = self._now()
        spans = self._spans.setdefault(key, collections.deque())
        if not spans or now - spans[-1].began_s > self._window_s / WINDOW_SPANS:
            spans.append(_Span(began_s=now))
        spans[-1].ended += ended
        spans[-1].failed += failed
        self._updated.add(key)

    def update(self) -> set[bytes]:
        """Ends the ejections that are over, and ejects replicas that are failing by their newest outcomes.

        Returns:
            Keys of the replicas that are failing now and were not before, or the reverse.
        """
        now = self._now()
        changed = set()
        for key in [key for key, until_s in self._ejected_until_s.items() if until_s <= now]:
            del self._ejected_until_s[key]
            self.failing.discard(key)
            self._spans.pop(key, None)  # it is tried again with an empty window
            changed.add(key)
        updated, self._updated = self._updated, set()
        for key in updated:
            if self._is_failing(key, now):
                self._eject(key, now)
                changed.add(key)
        return changed

    def _is_failing(self, key: bytes, now: float) -> bool:
        """Returns whether to eject the replica now; False if it is already ejected."""
        spans = self._spans.get(key)
        while spans and now - spans[0].began_s > self._window_s:
            spans.popleft()
        if not spans or key in self.failing:
            return False
        ended = sum(span.ended for span in spans)
        failed = sum(span.failed for span in spans)
        return failed >= MIN_FAILURES and failed >= FAILING_SHARE * ended

    def _eject(self, key: bytes, now: float) -> None:
        last = self._ejections.get(key, _Ejections(0, 0.0))
        is_repeat = now - last.until_s < self._window_s * 2
        repeats = min(last.repeats + 1, MAX_REPEATED_EJECTIONS) if is_repeat else 0
        self._ejected_until_s[key] = now + self._eject_s * 2**repeats
        self._ejections[key] = _Ejections(repeats, self._ejected_until_s[key])
        self.failing.add(key)
