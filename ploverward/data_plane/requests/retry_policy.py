"""Decides whether a request may be sent to another replica (docs/requests.md 1 and 3).

`RetryPolicy` owns the counts of one request's attempts. It decides without I/O, so that every case can be tested
separately. An attempt has one of three outcomes, which determines what may follow:

* Unsent: no byte of it was sent. The request has not run, so any request may be sent again; the attempt uses up
  neither the route's `tries` nor the retry budget. Only `MAX_ATTEMPTS` and the deadline limit these attempts.
* Not run: the replica received it and states in a complete response that it did not run it. Any request may be sent
  again, within the route's `tries`.
* Unresolved: it may have run, or may still run. Only an idempotent request may be sent again, within `tries`. From then
  on no response to the client may state that the request has not run.

`request_handler.RequestHandler._try_attempt` handles the retry budget, a newer configuration or key, and the wait for
an available replica.

An attempt counts as unresolved before its first byte is passed to the connection. An internal error between these two
steps can therefore not cause a false guarantee to the client
(`test_internal_error_after_send_is_not_answered_as_not_run`).
"""

from __future__ import annotations

from typing import Protocol

MAX_ATTEMPTS = 6  # per request, including unsent ones: bounds the connections that are tried without success
MIN_TIME_LEFT_S = 0.05  # before the deadline; an attempt started later could not be answered in time
NOT_RUN_STATUSES = (429, 503)  # if sent by this proxy, they guarantee that the request has not run


class RetryRules(Protocol):
    """Retry properties of a route (`route_table.Route`)."""

    @property
    def max_attempts(self) -> int:
        """Largest number of replicas that may receive the request (`tries`)."""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""

    @property
    def is_resumable(self) -> bool:
        """Whether another replica may continue the stream of the response."""


class StreamProgress(Protocol):
    """Progress of a streamed response (`stream_resumption.ResumableStream`)."""

    is_resumable: bool


class RetryPolicy:
    """Counts the attempts of one request and decides whether another one may follow.

    Attributes:
        attempts: Number of attempts started, including unsent ones.
        sent_attempts: Number of attempts that ended and of which a byte was sent, so that a replica may have received
            them.
        unresolved_attempts: Number of attempts, including the running one, that may have run or may still run.
    """

    def __init__(self) -> None:
        self.attempts = 0
        self.sent_attempts = 0
        self.unresolved_attempts = 0

    def on_attempt_started(self) -> None:
        """Counts an attempt that is about to be passed to its connection."""
        self.attempts += 1
        self.unresolved_attempts += 1

    def on_attempt_ended(self, *, is_unsent: bool, is_known_not_run: bool) -> None:
        """Updates the counts for an attempt that is over.

        Args:
            is_unsent: Whether no byte of it was sent.
            is_known_not_run: Whether the replica's complete response states that the request did not run.
        """
        if not is_unsent:
            self.sent_attempts += 1
        if is_unsent or is_known_not_run:
            self.unresolved_attempts -= 1

    def next_sent_attempt(self, *, is_sending: bool) -> int:
        """Returns the number, from 1, that the next attempt has among the sent ones.

        Args:
            is_sending: Whether a byte of a running attempt was sent.
        """
        return self.sent_attempts + 1 + is_sending

    def may_reconnect(self, *, now: float, deadline: float) -> bool:
        """Returns whether another attempt may follow an unsent one, which no replica received."""
        return self.attempts < MAX_ATTEMPTS and now < deadline

    def may_retry(self, *, route: RetryRules, now: float, deadline: float, is_sending: bool = False) -> bool:
        """Returns whether `tries` and the deadline allow another attempt of a request that has not run."""
        return self.next_sent_attempt(is_sending=is_sending) <= route.max_attempts and now < deadline - MIN_TIME_LEFT_S

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
        """Returns whether a request that may have run may be sent to another replica.

        Args:
            route: The route in force for this request.
            now: Seconds on the loop's clock.
            deadline: Deadline of the request, on the same clock.
            has_head: Whether the client has the head of the response, so that only the rest of a stream can follow.
            stream: The streamed response, None if the response is not a stream.
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
        """Returns whether another attempt may follow under a newer configuration than that of the first one.

        The kind and the `tries` of the newer route apply too
        (`test_newer_configuration_that_forbids_retry_applies_to_request_in_progress`).
        """
        return self.sent_attempts < route.max_attempts and (route.is_idempotent or not self.unresolved_attempts)

    def is_not_run_guaranteed(self, *, status: int) -> bool:
        """Returns whether a final status states, correctly, that the request has not run."""
        return status in NOT_RUN_STATUSES and not self.unresolved_attempts
