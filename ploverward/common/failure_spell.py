"""A spell of failures of one thing, logged once at its begin and once at its end, however many there are in between."""

import logging
from collections.abc import Callable

_log = logging.getLogger("ploverward.common.failure_spell")


class FailureSpell:
    """Notes failures and successes.

    Args:
        now: The clock, in seconds.
        failed_event: Name of the event at the begin; it has the field `fault`.
        recovered_event: Name of the event at the end; it has the field `failing_s`.
    """

    def __init__(self, *, now: Callable[[], float], failed_event: str, recovered_event: str) -> None:
        self._now = now
        self._failed_event = failed_event
        self._recovered_event = recovered_event
        self._since: float | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the newest attempt failed."""
        return self._since is not None

    def note_failure(self, error: BaseException) -> None:
        """An attempt failed."""
        if self._since is None:
            self._since = self._now()
            _log.error(self._failed_event, extra={"fault": str(error)})

    def note_success(self) -> None:
        """An attempt succeeded."""
        if self._since is not None:
            _log.info(self._recovered_event, extra={"failing_s": round(self._now() - self._since, 1)})
            self._since = None
