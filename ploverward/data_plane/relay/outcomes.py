"""Replicas judged by how attempts at them ended, over all proxies of the system (docs/digest.md 5): never by health alone."""

import collections

WINDOW_BUCKETS = 6  # a window has so many spans
FAILING_SHARE = 0.25
MIN_FAILURES = 4  # failures below which nothing is said
MAX_REPEATED_EJECTIONS = 3


class Judge:
    """A replica fails while too large a share of what ended in the window failed; each repeat counts for longer."""

    def __init__(self, *, now, suspicion_s: float):
        self._now = now
        self._window_s = suspicion_s * 3
        self._eject_s = suspicion_s * 2
        self._spans = {}  # key: deque of [began, ended, failed]
        self._until = {}  # key: when it may be tried again
        self._repeats = {}  # key: (how often in a row, when the last one ends)
        self._fresh = set()
        self.failing = set()

    def keep(self, *, keys) -> None:
        """Lives that are gone take their past along."""
        for table in (self._spans, self._until, self._repeats):
            for key in [key for key in table if key not in keys]:
                del table[key]
        self.failing &= set(keys)

    def take(self, *, key: bytes, ended: int, failed: int) -> None:
        now = self._now()
        spans = self._spans.setdefault(key, collections.deque())
        if not spans or now - spans[-1][0] > self._window_s / WINDOW_BUCKETS:
            spans.append([now, 0, 0])
        spans[-1][1] += ended
        spans[-1][2] += failed
        self._fresh.add(key)

    def look(self) -> set:
        """Keys whose standing changed since the last look."""
        now = self._now()
        changed = set()
        for key in [key for key, until in self._until.items() if until <= now]:
            del self._until[key]
            self.failing.discard(key)
            self._spans.pop(key, None)  # it is tried again with a clean window
            changed.add(key)
        fresh, self._fresh = self._fresh, set()
        for key in fresh:
            spans = self._spans.get(key)
            while spans and now - spans[0][0] > self._window_s:
                spans.popleft()
            if not spans or key in self.failing:
                continue
            ended = sum(span[1] for span in spans)
            failed = sum(span[2] for span in spans)
            if failed < MIN_FAILURES or failed < FAILING_SHARE * ended:
                continue
            count, last = self._repeats.get(key, (0, 0.0))
            count = min(count + 1, MAX_REPEATED_EJECTIONS) if now - last < self._window_s * 2 else 0
            self._until[key] = now + self._eject_s * 2**count
            self._repeats[key] = (count, self._until[key])
            self.failing.add(key)
            changed.add(key)
        return changed
