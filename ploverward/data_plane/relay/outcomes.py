"""Replicas judged by the outcomes of attempts at them, over all proxies (docs/digest.md 5).

Health checks alone never mark a replica as failing.

An `OutlierDetector` owns the window of each replica's outcomes, and which replicas are failing and until when.
"""

import collections
import typing
from collections.abc import Callable
from collections.abc import Collection

WINDOW_SPANS = 6  # a window slides in so many steps
FAILING_SHARE = 0.25  # of what ended in the window
MIN_FAILURES = 4  # failures below which a replica is not judged
MAX_REPEATED_EJECTIONS = 3  # an ejection doubles with each repeat, up to eight times the first one


class _Span:
    """Outcomes of a part of the window."""

    __slots__ = ("began_s", "ended", "failed")

    def __init__(self, *, began_s: float) -> None:
        self.began_s = began_s
        self.ended = 0
        self.failed = 0


class _Ejections(typing.NamedTuple):
    """How often a replica was found failing, one time soon after the other."""

    repeats: int
    until_s: float  # when the last one ends, on the loop's clock


class OutlierDetector:
    """A replica fails while too large a share of the attempts that ended in the window failed.

    Each repeated ejection lasts longer.

    Args:
        now: the loop's clock, in seconds.
        suspicion_s: for how long a replica that does not respond is suspected: the window is three times, an ejection
            twice as long.
    """

    def __init__(self, *, now: Callable[[], float], suspicion_s: float) -> None:
        self._now = now
        self._window_s = suspicion_s * 3
        self._eject_s = suspicion_s * 2
        self._spans: dict[bytes, collections.deque[_Span]] = {}  # by replica key
        self._ejected_until_s: dict[bytes, float] = {}  # replica key: when it may be tried again
        self._ejections: dict[bytes, _Ejections] = {}
        self._updated: set[bytes] = set()
        self.failing: set[bytes] = set()

    def retain(self, *, keys: Collection[bytes]) -> None:
        """Forgets all replicas but these."""
        tables: tuple[dict[bytes, typing.Any], ...] = (self._spans, self._ejected_until_s, self._ejections)
        for table in tables:
            for key in [key for key in table if key not in keys]:
                del table[key]
        self.failing &= set(keys)

    def record(self, *, key: bytes, ended: int, failed: int) -> None:
        """So many attempts at a replica ended, and so many of these failed."""
        now = self._now()
        spans = self._spans.setdefault(key, collections.deque())
        if not spans or now - spans[-1].began_s > self._window_s / WINDOW_SPANS:
            spans.append(_Span(began_s=now))
        spans[-1].ended += ended
        spans[-1].failed += failed
        self._updated.add(key)

    def update(self) -> set[bytes]:
        """Judges all replicas again.

        Returns:
            Keys of the replicas whose judgement changed: that are failing now and were not before, or the reverse.
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
        """Whether the replica is to be ejected now; one that is ejected already is not judged."""
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
