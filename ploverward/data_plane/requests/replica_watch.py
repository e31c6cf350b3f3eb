"""Detects that the replica of a running attempt timed out, so that another one may resume the request.

`ReplicaWatch` owns one timer. A time-out alone ends no attempt: a busy replica may send nothing during a long prefill.
A health check (a new connection) decides, and the attempt ends only if that connection is not established and another
replica can resume the request now (`test_replica_timeout_keeps_attempt_if_no_other_replica_can_resume`).
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.requests import attempts
    from ploverward.data_plane.requests import route_table
    from ploverward.transport import event_loop

MIN_TIMEOUT_S = 0.2  # less would mistake a pause of the network for a time-out
FIRST_EVENT_SHARE = 0.5  # of the latency target, before the first event: the other half remains for another replica
GAP_SHARE = 0.45  # of the longest pause between events that is still in time, after the first one
RECHECK_SHARE = 0.1  # of the time-out: until the result of the health check is read
MIN_PAUSE_S = 0.02  # between two checks


def silence_timeout_s(*, route: route_table.Route, latency_target_s: float, is_read: bool) -> float:
    """Returns the seconds without data after which a replica times out; `is_read`: its first event arrived."""
    if is_read:
        return max(MIN_TIMEOUT_S, (route.gap_s or latency_target_s) * GAP_SHARE)
    return max(MIN_TIMEOUT_S, latency_target_s * FIRST_EVENT_SHARE)


class ReplicaWatch:
    """Watches one attempt at a time.

    Args:
        loop: The event loop.
        table: The replicas: it makes the health checks.
        may_fail_over: Whether another replica can resume the request now.
        on_silent: The replica does not respond, and another one can resume the request.
    """

    __slots__ = ("_loop", "_table", "_may_fail_over", "_on_silent", "_timer")

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        table: replica_table.Table,
        may_fail_over: Callable[[attempts.Attempt], bool],
        on_silent: Callable[[attempts.Attempt], None],
    ) -> None:
        self._loop = loop
        self._table = table
        self._may_fail_over = may_fail_over
        self._on_silent = on_silent
        self._timer: event_loop.Timer | None = None

    def check(self, attempt: attempts.Attempt, *, route: route_table.Route, latency_target_s: float) -> None:
        """Checks the attempt now, and again later while it runs."""
        if attempt.is_over:
            return
        timeout_s = silence_timeout_s(route=route, latency_target_s=latency_target_s, is_read=attempt.is_read)
        # Another connection to the replica may have brought something later.
        quiet_s = self._loop.now() - max(attempt.heard_at, attempt.replica.heard_at)
        pause_s = timeout_s - quiet_s
        if quiet_s >= timeout_s and attempt.connection.is_up and not attempt.connection.is_paused:
            if attempt.replica.is_probe_failed and self._may_fail_over(attempt):
                self._on_silent(attempt)
                return
            self._table.probe(replica=attempt.replica)
            pause_s = timeout_s * RECHECK_SHARE
        self._timer = self._loop.after(
            delay=max(MIN_PAUSE_S, pause_s),
            callback=lambda: self.check(attempt, route=route, latency_target_s=latency_target_s),
        )

    def cancel(self) -> None:
        """The attempt is over."""
        if self._timer is not None:
            self._loop.cancel(timer=self._timer)
            self._timer = None
