"""The retry budget of a proxy: how many attempts beyond each request's first it may send (design 8).

Over a sliding window the number of retries is limited to a ratio of this proxy's requests, plus the proxy's leased
share of a slack that all proxies have together. `RetryBudget` owns the times of requests and retries.
"""

import collections
from collections.abc import Callable

MARGIN = 0.9  # the share of the budget that is used: all proxies together must stay below the budget at every moment


class RetryBudget:
    """Counts the requests and retries of each service in a sliding window, and limits the retries.

    Args:
        now: Clock of this process, in seconds.
        ratio: Retries allowed per request (retryRatio).
        slack: Retries that all proxies together may send in a window beyond the ratio (retrySlack).
        window_s: Length of the sliding window, in seconds (retryWindowS).
        slack_share: Returns this proxy's leased share of the slack, 0 to 1.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        ratio: float,
        slack: float,
        window_s: float,
        slack_share: Callable[[], float],
    ) -> None:
        self._now = now
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slack_share = slack_share
        self._requests: dict[str, collections.deque[float]] = {}  # by service: times
        self._retries: dict[str, collections.deque[float]] = {}

    def _recent(self, table: dict[str, collections.deque[float]], service: str) -> collections.deque[float]:
        times = table.setdefault(service, collections.deque())
        now = self._now()
        while times and now - times[0] > self._window_s:
            times.popleft()
        return times

    def record_request(self, service: str) -> None:
        """Records the first attempt of a request."""
        self._recent(self._requests, service).append(self._now())

    def has_budget(self, service: str) -> bool:
        """Returns whether the budget allows one more retry."""
        retries = self._recent(self._retries, service)
        requests = self._recent(self._requests, service)
        return len(retries) + 1 <= MARGIN * self._ratio * len(requests) + MARGIN * self._slack * self._slack_share()

    def charge(self, service: str) -> bool:
        """Charges one retry to the budget; returns False if the budget does not allow it."""
        if not self.has_budget(service):
            return False
        self._recent(self._retries, service).append(self._now())
        return True
