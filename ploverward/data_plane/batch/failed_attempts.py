"""Reports of failed attempts: each answer of a replica with status 500, until the item's store has counted it.

An item is given up after a number of such answers, so none of them may be lost with the run, the connection or the
store that knew of it (docs/batch.md 4). `FailedAttemptReports` therefore repeats a report until the owner of the item's
partition has committed it; the identifier of the attempt lets stores count it once. A run makes no further attempt
until then, so that a proxy that is killed takes at most one answer for each of its runs with it.
"""

from __future__ import annotations

import enum
import typing
from collections.abc import Callable

from ploverward.data_plane.batch import store_client
from ploverward.transport import batch_messages
from ploverward.transport import event_loop
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

REPORT_TIMEOUT_S = 1.0
REPORT_RETRY_S = 0.3

_NOT_FINAL = (Outcome.NOT_OWNER, Outcome.NOT_KNOWN)

ItemKey = batch_messages.RunningItem


class ReportResult(enum.Enum):
    """What became of a report."""

    COUNTED = "counted"
    NOT_NEEDED = "not needed"  # counted, or the item is unknown: in both cases it is not to be tried again
    NOT_SUPPORTED = "not supported"  # the store is of an earlier version, which counts only whole runs


ReportDone = Callable[[ReportResult], object]


class _Report(typing.NamedTuple):
    key: ItemKey
    message: batch_messages.FinishItem
    done: ReportDone


class FailedAttemptReports:
    """The reports that no store has confirmed yet, at most one for each item.

    Args:
        loop: The event loop.
        stores: The client for the stores.
    """

    def __init__(self, *, loop: event_loop.Loop, stores: store_client.StoreClient) -> None:
        self._loop = loop
        self._stores = stores
        self._waiting: dict[ItemKey, list[Callable[[], object]]] = {}

    def report(self, key: ItemKey, *, attempt: str, done: ReportDone) -> None:
        """Reports an attempt of an item that a replica answered with status 500.

        Args:
            key: The item.
            attempt: Identifies the attempt among those of all proxies.
            done: Called once with the result, before the callbacks of `when_settled`.
        """
        message = batch_messages.FinishItem(0, *key, int(Condition.FAILED), attempt.encode())
        self._waiting.setdefault(key, [])
        self._send(_Report(key, message, done))

    @property
    def has_unconfirmed(self) -> bool:
        """Whether any report waits for its store."""
        return bool(self._waiting)

    def is_settled(self, key: ItemKey) -> bool:
        """Returns whether no report of the item waits for its store."""
        return key not in self._waiting

    def when_settled(self, key: ItemKey, callback: Callable[[], object]) -> None:
        """Calls a callback once no report of the item waits for its store; at once if none does."""
        if key in self._waiting:
            self._waiting[key].append(callback)
        else:
            callback()

    def _send(self, report: _Report) -> None:
        address = self._stores.primary_of(report.key.tenant)
        is_supported = self._stores.counts_failed_attempts(address)
        if is_supported is None:
            self._retry_later(report)
        elif not is_supported:
            self._settle(report, ReportResult.NOT_SUPPORTED)
        else:
            self._stores.call(
                address=address,
                make_message=lambda number: report.message._replace(number=number),
                timeout_s=REPORT_TIMEOUT_S,
                done=lambda reply: self._handle_reply(report, reply),
            )

    def _handle_reply(self, report: _Report, reply: batch_messages.JobReply | None) -> None:
        if reply is None or reply.outcome in _NOT_FINAL:
            self._retry_later(report)
        elif reply.outcome == Outcome.DONE:
            self._settle(report, ReportResult.COUNTED)
        else:
            self._settle(report, ReportResult.NOT_NEEDED)

    def _retry_later(self, report: _Report) -> None:
        self._loop.after(delay=REPORT_RETRY_S, callback=lambda: self._send(report))

    def _settle(self, report: _Report, result: ReportResult) -> None:
        callbacks = self._waiting.pop(report.key, [])
        report.done(result)
        for callback in callbacks:
            callback()
