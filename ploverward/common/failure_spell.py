"""Logs a series of consecutive failures twice, at its start and at its end, however many failures are in between."""

import logging
from collections.abc import Callable

_log = logging.getLogger("ploverward.common.failure_spell")


class FailureSpell:
    """Tracks whether an operation is failing, and logs the changes.

    Args:
        now: Returns the time of a monotonic clock, in seconds.
        failed_event: Name of the event logged at the first failure, with the field `fault`.
        recovered_event: Name of the event logged at the first success after it, with the field `failing_s`.
    """

    def __init__(self, *, now: Callable[[], float], failed_event: str, recovered_event: str) -> None:
        self._now = now
        self._failed_event = failed_event
        self._recovered_event = recovered_event
        self._since: float | None = None

    @property
    def is_failing(self) -> bool:
        """True if the last attempt failed."""
        return self._since is not None

    def note_failure(self, error: BaseException) -> None:
        """Records that an attempt failed."""
        if self._since is None:
            self._since = self._now()
            _log.error(self._failed_event, extra={"fault": str(error)})

    def note_success(self) -> None:
        """Records that an attempt succeeded."""
        if self._since is not None:
            _log.info(self._recovered_event, extra={"failing_s": round(self._now() - self._since, 1)})
            self._since = None
