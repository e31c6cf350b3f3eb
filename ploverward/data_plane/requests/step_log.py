"""Records the steps of one request and logs them if it was slow (docs/operations.md)."""

from __future__ import annotations

import logging

_log = logging.getLogger(__name__)

PREFILLED = "read"  # name of the step at which the first event of a stream arrived


class StepLog:
    """Records the steps of one request.

    Args:
        begun_at: Time at which the request was complete, in seconds on the loop's clock.
    """

    __slots__ = ("_begun_at", "_steps")

    def __init__(self, *, begun_at: float) -> None:
        self._begun_at = begun_at
        self._steps: list[tuple] = []  # (seconds since the request was complete, step, details)

    def record(self, step: str, *details: object, now: float) -> None:
        """Adds a step."""
        self._steps.append((round(now - self._begun_at, 3), step, *details))

    def is_slow(self, *, now: float, latency_target_s: float) -> bool:
        """Returns whether the request was slow.

        It was if it has more than two steps, as with several attempts, or if its first event arrived after the latency
        target.
        """
        prefilled = [row[0] for row in self._steps if row[1] == PREFILLED]
        return len(self._steps) > 2 or (prefilled[0] if prefilled else now - self._begun_at) > latency_target_s

    def write_if_slow(self, *, route: str, now: float, latency_target_s: float) -> None:
        """Logs the steps if the request was slow; called at its end."""
        if self._steps and self.is_slow(now=now, latency_target_s=latency_target_s):
            _log.debug("request_slow", extra={"route": route, "trail": self._steps})
