"""What may be sent again, and why (docs/requests.md 1 and 3).

`RetryPolicy` owns the counts of one request's attempts. It decides without I/O, so that every case has a test of its
own. An attempt has one of three outcomes, which decides what may follow:

* Unsent: no byte of it was sent. The request has not run, so any request may be sent again; the attempt uses up
  neither the route's `tries` nor the retry budget. `MAX_ATTEMPTS` alone bounds these.
* Not run: the replica received it and states in a complete answer that it did not run it. Any request may be sent
  again, within the route's `tries`.
* Unresolved: it may have run, or may still run. Only an idempotent request may be sent again, within `tries`. Until the
  end of the request no answer to the client may state that it has not run.

The retry budget, a newer configuration or key, and the wait for a free replica are decided in
`request_handler.RequestHandler._try_attempt`.

Every attempt counts as unresolved from before its first byte is passed to the connection. So a bug of this program
between the two causes no false promise to the client (`test_internal_error_after_send_is_not_answered_as_not_run`).
"""

from __future__ import annotations

from typing import Protocol

MAX_ATTEMPTS = 6  # attempts of one request, the unsent ones included: a bound for connections that are not established
MIN_TIME_LEFT_S = 0.05  # seconds before the deadline; an attempt started later could not be answered in time
NOT_RUN_STATUSES = (429, 503)  # sent by this proxy, they promise that the request has not run


class RetryRules(Protocol):
    """The properties of a route that concern retries (`route_table.Route`)."""

    @property
    def max_attempts(self) -> int:
        """Replicas that may receive the request, at most."""

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""

    @property
    def is_resumable(self) -> bool:
        """Whether another replica may continue its stream."""


class StreamProgress(Protocol):
    """What is forwarded of a streamed answer (`stream_resumption.ResumableStream`)."""

    is_resumable: bool


class RetryPolicy:
    """The attempts of one request, and what they allow to follow.

    Attributes:
        attempts: Attempts started, the unsent ones included.
        arrivals: Attempts that ended and of which a byte was sent: a replica may have received them.
        unresolved_attempts: Attempts, the running one included, that may have run or may still run.
    """

    def __init__(self) -> None:
        self.attempts = 0
        self.arrivals = 0
        self.unresolved_attempts = 0

    def on_attempt_started(self) -> None:
        """An attempt is about to be passed to its connection."""
        self.attempts += 1
        self.unresolved_attempts += 1

    def on_attempt_ended(self, *, is_unsent: bool, is_known_not_run: bool) -> None:
        """An attempt is over.

        Args:
            is_unsent: No byte of it was sent.
            is_known_not_run: The replica's complete answer states that it did not run.
        """
        if not is_unsent:
            self.arrivals += 1
        if is_unsent or is_known_not_run:
            self.unresolved_attempts -= 1

    def next_arrival(self, *, is_sending: bool) -> int:
        """Returns which arrival the next attempt would be, from 1; `is_sending`: a byte of the running one was sent."""
        return self.arrivals + 1 + is_sending

    def may_reconnect(self, *, now: float, deadline: float) -> bool:
        """Whether another attempt may follow an unsent one, which no replica has received."""
        return self.attempts < MAX_ATTEMPTS and now < deadline

    def may_retry(self, *, route: RetryRules, now: float, deadline: float, is_sending: bool = False) -> bool:
        """Whether a request that has not run may be sent to another replica: within `tries`, with time left."""
        return self.next_arrival(is_sending=is_sending) <= route.max_attempts and now < deadline - MIN_TIME_LEFT_S

    def may_resend(
        self,
        *,
        route: RetryRules,
        now: float,
        deadline: float,
        has_head: bool,
        stream: StreamProgress | None,
        is_sending: bool = False,
    ) -> bool:
        """Whether a request that may have run may be sent to another replica.

        Args:
            route: The route in force for this request.
            now: Seconds on the loop's clock.
            deadline: The request's end on the same clock.
            has_head: Whether the client has the head of the answer; then only the remainder of a stream can follow.
            stream: The streamed answer, None where it is none.
            is_sending: Whether a byte of a running attempt was sent.
        """
        if not route.is_idempotent or not self.may_retry(
            route=route, now=now, deadline=deadline, is_sending=is_sending
        ):
            return False
        if not has_head:
            return True
        return route.is_resumable and stream is not None and stream.is_resumable

    def may_continue_under(self, route: RetryRules) -> bool:
        """Whether another attempt may follow under a newer configuration than its first one.

        Kind and `tries` of the newer route bind too (`test_a_configuration_that_forbids_a_retry_…`).
        """
        return self.arrivals < route.max_attempts and (route.is_idempotent or not self.unresolved_attempts)

    def is_promise_kept(self, *, status: int) -> bool:
        """Whether the final answer correctly promises that the request has not run."""
        return status in NOT_RUN_STATUSES and not self.unresolved_attempts
