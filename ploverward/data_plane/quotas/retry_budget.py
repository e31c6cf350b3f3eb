"""The retry budget of a proxy: how many attempts beyond each request's first it may send (design 8).

Over a sliding window the retries stay within a ratio of the requests here, and this proxy's leased share of a slack
that all proxies have together. `RetryBudget` owns the times of both.
"""

import collections
from collections.abc import Callable

MARGIN = 0.9  # of the budget that is used: all proxies together must stay below it at every moment


class RetryBudget:
    """Requests and retries of each service in the last seconds.

    Args:
        now: Clock of this process, in seconds.
        ratio: Retries for each request, retryRatio.
        slack: Retries beyond that of all proxies together in a window, retrySlack.
        window_s: The sliding window, retryWindowS.
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
        """Whether one more retry may be sent."""
        retries = self._recent(self._retries, service)
        requests = self._recent(self._requests, service)
        return len(retries) + 1 <= MARGIN * self._ratio * len(requests) + MARGIN * self._slack * self._slack_share()

    def charge(self, service: str) -> bool:
        """Charges one retry; False where there is no budget for it."""
        if not self.has_budget(service):
            return False
        self._recent(self._retries, service).append(self._now())
        return True
