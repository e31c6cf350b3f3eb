"""Detects that the replica of a running attempt timed out, so that another one may resume the request.

`ReplicaWatch` owns one timer. A timeout alone does not end an attempt, because a busy replica may send nothing during a
long prefill. A health check (a new connection) follows, and the attempt ends only if that connection is not established
and another replica can resume the request now
(`test_replica_timeout_keeps_attempt_if_no_other_replica_can_resume`).
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.requests import attempts
    from ploverward.data_plane.requests import route_table
    from ploverward.transport import event_loop

MIN_TIMEOUT_S = 0.2  # a shorter timeout would take a network pause for a failure
FIRST_EVENT_SHARE = 0.5  # share of the latency target before the first event; the rest is left for another replica
GAP_SHARE = 0.45  # share of the longest gap between events that meets the target, after the first event
RECHECK_SHARE = 0.1  # share of the timeout: delay until the result of a health check is read
MIN_CHECK_INTERVAL_S = 0.02


def replica_timeout_s(*, route: route_table.Route, latency_target_s: float, is_prefilled: bool) -> float:
    """Returns the seconds without data after which a replica times out.

    Args:
        route: The route in force for the request.
        latency_target_s: The latency target of the request.
        is_prefilled: Whether the first event arrived.
    """
    if is_prefilled:
        return max(MIN_TIMEOUT_S, (route.event_gap_target_s or latency_target_s) * GAP_SHARE)
    return max(MIN_TIMEOUT_S, latency_target_s * FIRST_EVENT_SHARE)


class ReplicaWatch:
    """Watches the replica of a running attempt, one attempt at a time.

    Args:
        loop: The event loop.
        table: The replicas; starts the health checks.
        may_fail_over: Returns whether another replica can resume the request now.
        on_timeout: Called when the replica does not respond and another one can resume the request.
    """

    __slots__ = ("_loop", "_table", "_may_fail_over", "_on_timeout", "_timer")

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        table: replica_table.ReplicaTable,
        may_fail_over: Callable[[attempts.Attempt], bool],
        on_timeout: Callable[[attempts.Attempt], None],
    ) -> None:
        self._loop = loop
        self._table = table
        self._may_fail_over = may_fail_over
        self._on_timeout = on_timeout
        self._timer: event_loop.Timer | None = None

    def check(self, attempt: attempts.Attempt, *, route: route_table.Route, latency_target_s: float) -> None:
        """Checks the attempt now, and schedules further checks while it runs."""
        if attempt.is_over:
            return
        timeout_s = replica_timeout_s(route=route, latency_target_s=latency_target_s, is_prefilled=attempt.is_prefilled)
        # Data on another connection to the replica also shows that it responds.
        idle_s = self._loop.now() - max(attempt.last_received_at, attempt.replica.last_received_at)
        delay_s = timeout_s - idle_s
        connection = attempt.connection
        is_reading = connection.is_up and not connection.is_paused and not connection.has_undelivered_data
        if idle_s >= timeout_s and is_reading:
            if attempt.replica.is_probe_failed and self._may_fail_over(attempt):
                self._on_timeout(attempt)
                return
            self._table.probe(replica=attempt.replica)
            delay_s = timeout_s * RECHECK_SHARE
        self._timer = self._loop.after(
            delay=max(MIN_CHECK_INTERVAL_S, delay_s),
            callback=lambda: self.check(attempt, route=route, latency_target_s=latency_target_s),
        )

    def cancel(self) -> None:
        """Cancels the next check; the attempt is over."""
        if self._timer is not None:
            self._loop.cancel(timer=self._timer)
            self._timer = None
