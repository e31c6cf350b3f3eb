"""Handles one request from its arrival to its single final response (design 7, docs/requests.md).

A `RequestHandler` lives as long as its request and decides what follows each event: the result of admission, the choice
of a replica, the end of an attempt, the deadline, a client disconnect. `request_state` documents the states and their
invariants. The components are in modules of their own: `admission_filters` (whether the request is admitted),
`replica_selection` (the replica of the next attempt), `retry_policy` (whether the request may be sent again),
`replica_watch` (replica timeouts), `response_writer` and `stream_resumption` (the response to the client),
`attempt_runner`, `attempt_accounting` and `custody_trails` (the attempts and their records).
"""

from __future__ import annotations

import typing
import weakref

from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import admission_filters
from ploverward.data_plane.requests import attempt_accounting
from ploverward.data_plane.requests import attempt_runner
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.requests import replica_selection
from ploverward.data_plane.requests import request_state
from ploverward.data_plane.requests import response_writer
from ploverward.data_plane.requests import retry_policy
from ploverward.data_plane.requests import step_log

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from ploverward.data_plane.requests import handler_context
    from ploverward.data_plane.requests import route_table
    from ploverward.transport import event_loop
    from ploverward.transport import http_request

# Not forwarded from a replica: a client would take them for this proxy's guarantee that the request did not run.
UNFORWARDED_STATUSES = (408, 421, 429, 503)
QUEUE_WAIT_SHARE = 0.2  # share of the latency target: how long a request waits for an available replica
STREAM_WAIT_FACTOR = 3  # times the latency target: how long an interrupted stream waits for an available replica
RETRY_INTERVAL_SHARE = 0.05  # share of the latency target: interval of choices of a replica while a request waits
MIN_RETRY_INTERVAL_S = 0.02
MIN_RETRY_AFTER_S = 0.05  # Retry-After of a rejected request: an earlier retry would only find the same replicas


class RequestHandler:
    """Drives one request through admission, its attempts and its final response.

    Args:
        context: The proxy.
        request: The complete request.

    Attributes:
        state: The current state.
        request_id: The X-Attempt-Id header of the request.
        facts: The results of the admission filters.
        policy: Counts the attempts and decides whether another one may follow.
        writer: Writes the response to the client.
        edition: Version of the configuration that was in force when the request arrived.
        custody: The rows of the custody trail, one for each attempt (design 10).
    """

    def __init__(self, *, context: handler_context.HandlerContext, request: http_request.Request) -> None:
        self.context = context
        self.loop = context.loop
        self.request = request
        self.state = request_state.RequestState.ADMITTING
        self.request_id = request.header(b"x-attempt-id")
        self.facts = admission_filters.RequestFacts()
        on_head = weakref.WeakMethod(self._on_head_written)  # this handler owns the writer: see `_release`
        self.writer = response_writer.ResponseWriter(request=request, on_head=lambda: _call(on_head))
        self.edition: int = context.routes.edition
        self._selection = replica_selection.ReplicaSelection(facts=self.facts, context=context)
        self._steps = step_log.StepLog(begun_at=request.at)
        self._runner = attempt_runner.AttemptRunner(
            listener=self,
            context=context,
            request=request,
            facts=self.facts,
            writer=self.writer,
            steps=self._steps,
            on_event=self._apply_event,
            may_fail_over=self._may_fail_over,
            on_timeout=self._on_replica_timeout,
        )
        self.policy = self._runner.policy
        self.custody = self._runner.custody
        self._is_first_choice = True
        self._has_started = False  # whether a replica began to run the request
        self._retry_timer: event_loop.Timer | None = None
        self._deadline_timer: event_loop.Timer | None = None
        self._wait_until = 0.0  # on the loop's clock
        self._retry_after_s = 0.0
        request.on_disconnect = self.on_client_gone

    @property
    def is_over(self) -> bool:
        """Whether the request has ended."""
        return self.state is request_state.RequestState.OVER

    @property
    def route(self) -> route_table.Route:
        """The route in force for an admitted request."""
        route = self.facts.route
        assert route is not None, "the request was not admitted"
        return route

    @property
    def attempt(self) -> attempts.Attempt | None:
        """The running attempt, or None."""
        return self._runner.attempt

    def _apply_event(self, event: request_state.RequestEvent) -> None:
        self.state = request_state.next_state(self.state, event)

    def _on_head_written(self) -> None:
        self._apply_event(request_state.RequestEvent.HEAD_WRITTEN)

    # Admission.
    def begin(self) -> None:
        """Runs the admission filters on the complete request and starts the first attempt."""
        facts = self.facts
        refused = admission_filters.admit(request=self.request, facts=facts, context=self.context)
        if refused is not None:
            if refused.status in retry_policy.NOT_RUN_STATUSES:
                self._answer(status=refused.status, headers=_retry_after(refused.retry_after_s))
            else:
                self._answer(status=refused.status)
            return
        self._apply_event(request_state.RequestEvent.ADMITTED)
        self._begin_attempts()

    def _begin_attempts(self) -> None:
        facts = self.facts
        self.context.quota.retry_budget.record_request(facts.service)
        self._deadline_timer = self.loop.at(when=facts.deadline, callback=self.on_deadline)
        self._wait_until = self.request.at + facts.latency_target_s * QUEUE_WAIT_SHARE
        self._try_attempt()

    # Replica selection.
    def _try_attempt(self) -> None:
        if self.is_over:
            return
        if not self._is_first_choice and not self._follow_configuration():
            self._give_up()
            return
        self._is_first_choice = False
        facts, route = self.facts, self.route
        self._selection.refresh_permitted(route)
        replica, prefill_tokens, has_eligible_replica = self._choose(route=route)
        self._retry_after_s = facts.latency_target_s * admission_filters.RETRY_AFTER_SHARE
        if replica is None:
            if not has_eligible_replica:  # an unreachable replica takes longer to return than a full one to free a slot
                self._retry_after_s = max(self._retry_after_s, self.context.failover_s)
            self._wait_or_reject()
            return
        if self.policy.sent_attempts and not self.context.quota.retry_budget.charge(facts.service):
            self._give_up()
            return
        connection = self.context.table.connection(replica=replica, request_id=self.request_id)
        if connection is None:
            self._selection.avoided.add(replica.id)
            self._wait_or_reject()
            return
        self._runner.start(
            route=route,
            replica=replica,
            connection=connection,
            prefill_tokens=prefill_tokens,
            permitted=self._selection.permitted,
        )

    def _choose(self, *, route: route_table.Route, avoided: set[str] | None = None) -> replica_selection.Selection:
        is_first = self.policy.next_sent_attempt(is_sending=self._runner.is_sending) == 1
        return self._selection.choose(route=route, is_first=is_first, avoided=avoided)

    def _follow_configuration(self) -> bool:
        """Returns whether another attempt may follow under the current configuration.

        If it changed since the request arrived, the home regions of both versions apply, so the stricter ones bind.
        """
        route = admission_filters.find_route(request=self.request, routes=self.context.routes)
        if route is None or not self.policy.may_continue_under(route):
            return False
        return admission_filters.readmit(request=self.request, facts=self.facts, route=route, context=self.context)

    def _wait_or_reject(self) -> None:
        """Schedules another choice of a replica, or rejects the request once its waiting time is over."""
        now = self.loop.now()
        latency_target_s = self.facts.latency_target_s
        until = self._wait_until
        if self.writer.has_head:
            until = self.request.at + latency_target_s * STREAM_WAIT_FACTOR
        if now >= min(until, self.facts.deadline):
            self._give_up()
            return
        if not self.policy.sent_attempts:
            self._selection.avoided = set()
        self._retry_timer = self.loop.after(
            delay=max(MIN_RETRY_INTERVAL_S, latency_target_s * RETRY_INTERVAL_SHARE), callback=self._try_attempt
        )

    # Attempts.
    def _end_attempt(self, attempt: attempts.Attempt, *, kind: int) -> None:
        self._runner.end(attempt, route=self.route, kind=kind)

    def _drop_attempt(self, attempt: attempts.Attempt, *, kind: int) -> None:
        self._runner.drop(attempt, route=self.route, kind=kind)

    def _may_fail_over(self, attempt: attempts.Attempt) -> bool:
        """Returns whether another replica can resume the request now; otherwise a timeout does not end the attempt."""
        route = self.route
        may_retry = self.policy.may_retry(
            route=route, now=self.loop.now(), deadline=self.facts.deadline, is_sending=self._runner.is_sending
        )
        if not may_retry or not self.context.quota.retry_budget.has_budget(self.facts.service):
            return False
        replica = self._choose(route=route, avoided=self._selection.avoided | {attempt.replica.id}).replica
        return replica is not None and self.context.table.has_capacity(replica=replica)

    def _on_replica_timeout(self, attempt: attempts.Attempt) -> None:
        self._steps.record("silent", now=self.loop.now())
        self._drop_attempt(attempt, kind=report_source.BROKEN)
        self._on_attempt_unresolved(attempt)

    # Responses of replicas.
    def handle_head(
        self, attempt: attempts.Attempt, *, headers: Iterable[tuple[bytes, bytes]], table: dict[bytes, bytes]
    ) -> None:
        """Handles the head of a replica's response."""
        if attempt.response_class is attempts.ResponseClass.NOT_RUN:
            return  # handled at its end: only a complete response states reliably that the request did not run
        if attempt.response_class is attempts.ResponseClass.UNUSABLE:
            self._drop_attempt(attempt, kind=report_source.BROKEN)
            self._on_attempt_unresolved(attempt)
            return
        if self.writer.has_head:
            return  # a resumed stream keeps its first head, and no byte of an error response belongs to the stream
        forwarded = attempts.forwarded_headers(headers=headers, table=table)
        is_stream = self.route.is_stream or table.get(b"content-type", b"").startswith(b"text/event-stream")
        if attempt.response_class is attempts.ResponseClass.SUCCESS and is_stream:
            self.writer.begin_stream(forwarded)
        else:
            if attempt.response_class is attempts.ResponseClass.SUCCESS:
                self._note_request_started()
            self.writer.begin_body(forwarded)

    def is_event_stream(self, attempt: attempts.Attempt) -> bool:
        """Returns whether the response of a replica is a stream, which is forwarded event by event."""
        return self.writer.stream is not None and attempt.response_class is attempts.ResponseClass.SUCCESS

    def handle_data(self, attempt: attempts.Attempt, data: bytes) -> int:
        """Handles a chunk of the body of a replica's response; returns the number of events of a stream in it."""
        if attempt.response_class is attempts.ResponseClass.NOT_RUN:
            return 0
        stream = self.writer.stream
        if stream is None or not self.is_event_stream(attempt):
            self.writer.write_body(data, status=attempt.status)
            return 0
        if not attempt.is_prefilled:
            attempt.is_prefilled = True
            self._note_request_started()
            self._steps.record(step_log.PREFILLED, now=self.loop.now())
            attempt_accounting.note_prefilled(attempt, facts=self.facts, route=self.route, context=self.context)
        events = stream.receive_data(data)
        for event in events:
            attempt.note_event(now=attempt.last_received_at)
            self.forward_event(event)
        return len(events)

    def _note_request_started(self) -> None:
        """Records that a replica began to run the request; once per request, also if it is resumed or sent again."""
        if not self._has_started and self.facts.tenant is not None:
            self.context.note_request_started(self.facts.tenant.name)
        self._has_started = True

    def forward_event(self, event: bytes) -> None:
        """Writes one event to the client, and pauses the replica's connection while the client reads too slowly."""
        runner = self._runner
        is_backed_up = self.writer.write_event(event, status=200 if runner.attempt is None else runner.attempt.status)
        if is_backed_up and runner.attempt is not None:  # otherwise the write found that the client disconnected
            runner.attempt.connection.pause()
            self.request.on_drain = self._on_client_drained

    def _on_client_drained(self) -> None:
        self.request.on_drain = None
        if self.attempt is not None:
            # This proxy paused the connection, so the pause does not count towards the replica's timeout.
            self.attempt.last_received_at = self.loop.now()
            self.attempt.connection.resume()

    def handle_end(self, attempt: attempts.Attempt) -> None:
        """Handles the end of a replica's complete response."""
        if attempt.response_class is attempts.ResponseClass.NOT_RUN:
            attempt.is_known_not_run = True
            self._end_attempt(attempt, kind=report_source.DONE)
            self._on_attempt_not_run(attempt)
        elif self.writer.stream is not None and attempt.response_class is attempts.ResponseClass.SUCCESS:
            remainder = self.writer.stream.take_remainder()
            self._end_attempt(attempt, kind=report_source.DONE)
            self.writer.write_head(status=attempt.status)
            self.writer.write(remainder)
            self._finish(status=attempt.status)
            self.writer.end()
        else:
            self._end_body(attempt)

    def _end_body(self, attempt: attempts.Attempt) -> None:
        """Handles the end of a complete response that is not a stream, or of an error response."""
        status = attempt.status
        self._end_attempt(attempt, kind=report_source.FAILED if status >= 500 else report_source.DONE)
        if status >= 500 and self._may_resend():
            self._on_attempt_unresolved(attempt)
        elif self.writer.has_head and self.writer.stream is not None:
            self._abort_response()  # an error response in place of the rest of a stream
        elif status in UNFORWARDED_STATUSES and not self.writer.has_head:
            self._answer(status=502)  # lacks X-Not-Run, so the replica may have run it
        else:
            self._finish(status=status)
            self.writer.end_body(status=status)

    def handle_failure(self, attempt: attempts.Attempt, *, reason: str, was_sent: bool, was_up: bool) -> None:
        """Handles the end of the connection before the response was complete."""
        self._steps.record("failed", reason, now=self.loop.now())
        self.context.note_attempt_failure(replica=attempt.replica, reason=reason, was_up=was_up)
        kind = report_source.DONE
        if not was_up:
            kind = report_source.BROKEN
        elif attempt.is_connection_stale:
            idle_for_s = attempt.sent_at - attempt.connection.idle_since
            self.context.table.note_stale_connection(replica=attempt.replica, idle_for_s=idle_for_s)
        elif was_sent:
            kind = report_source.FAILED
        self._end_attempt(attempt, kind=kind)
        if was_sent:
            self._on_attempt_unresolved(attempt)
        else:
            self._on_attempt_unsent(attempt)

    # After an attempt.
    def _on_attempt_unsent(self, attempt: attempts.Attempt) -> None:
        """Tries another replica after an attempt of which no byte was sent."""
        self._selection.avoided.add(attempt.replica.id)
        if self.policy.may_reconnect(now=self.loop.now(), deadline=self.facts.deadline):
            self._try_attempt()
        else:
            self._give_up()

    def _on_attempt_not_run(self, attempt: attempts.Attempt) -> None:
        """Tries another replica after one stated that it did not run the request."""
        if attempt.status == 421:
            self.context.note_wrong_replica(attempt.replica)
        else:
            self.context.note_replica_full(attempt.replica)
        self._selection.avoided.add(attempt.replica.id)
        if self.policy.may_retry(
            route=self.route, now=self.loop.now(), deadline=self.facts.deadline, is_sending=self._runner.is_sending
        ):
            self._try_attempt()
        else:
            self._give_up()

    def _on_attempt_unresolved(self, attempt: attempts.Attempt) -> None:
        """Tries another replica, where allowed, after an attempt that may have run."""
        self._selection.avoided.add(attempt.replica.id)
        if self._may_resend():
            self.writer.begin_next_attempt()
            self._try_attempt()
        else:
            self._give_up()

    def _may_resend(self) -> bool:
        return self.policy.may_resend(
            route=self.route,
            now=self.loop.now(),
            deadline=self.facts.deadline,
            has_head=self.writer.has_head,
            stream=self.writer.stream,
            is_sending=self._runner.is_sending,
        )

    # End of the request.
    def _give_up(self) -> None:
        if self.writer.has_head:
            self._abort_response()
        else:
            self._reject(retry_after_s=max(MIN_RETRY_AFTER_S, self._retry_after_s))

    def abort_for_shutdown(self) -> None:
        """Rejects the request shortly before the process exits, unless a running attempt may still be answered.

        That is an attempt of which a byte was sent, since its replica may have received it.
        """
        if self.is_over or self._runner.is_sending:
            return
        if self.attempt is not None:
            self._drop_attempt(self.attempt, kind=report_source.DONE)
        self._give_up()

    def on_deadline(self) -> None:
        """Ends the request at its deadline."""
        if self.is_over:
            return
        if self.attempt is not None:
            self._runner.abandon(self.attempt, route=self.route)
        if self.writer.has_head:
            self._abort_response()
        elif self.policy.unresolved_attempts:
            self._answer(status=504)
        else:
            self._reject(retry_after_s=admission_filters.LATE_RETRY_AFTER_S)

    def on_client_gone(self) -> None:
        """Ends the request after the client disconnected."""
        if self.is_over:
            return
        if self.attempt is not None:
            self._runner.abandon(self.attempt, route=self.route)
        self._finish()

    def _reject(self, *, retry_after_s: float) -> None:
        """Answers 503, which guarantees that the request has not run and never will, or 502 if that is not certain."""
        if self.policy.unresolved_attempts:
            self._answer(status=502)
        else:
            self._answer(status=503, headers=_retry_after(retry_after_s))

    def _answer(self, *, status: int, headers: Sequence[tuple[bytes, bytes]] = ()) -> None:
        self._finish(status=status)
        self.writer.reply(status=status, headers=headers)

    def _abort_response(self) -> None:
        self._finish()
        self.writer.abort()

    def _finish(self, *, status: int = 0) -> None:
        """Ends the request: cancels its timers and hands over its custody trail.

        Called before the last write, because that write may start the next request on the client's connection or find
        that the client disconnected, and neither may affect this request any more.

        Args:
            status: Status of the response, 0 if the response is aborted.
        """
        if self.is_over:
            return
        facts, route = self.facts, self.facts.route
        self._apply_event(request_state.RequestEvent.FINISHED)
        self._release()
        if route is not None:
            self._steps.write_if_slow(route=route.name, now=self.loop.now(), latency_target_s=facts.latency_target_s)
        if (
            facts.tenant is not None
            and facts.is_counted
            and not self.writer.has_head
            and self.policy.is_not_run_guaranteed(status=status)
        ):
            self.context.quota_allowance.return_admission(facts.tenant.key)
        if route is not None:
            trail = custody_trails.build_trail(handler=self, route=route, context=self.context, status=status)
            self.context.batches.add(trail)

    def _release(self) -> None:
        """Drops what refers to this handler.

        Otherwise request, handler and client's connection would keep each other, and the bodies, in memory until the
        cyclic collector runs, which is seldom (docs/incidents/bodies-in-memory.md).
        """
        self._runner.release()
        for timer in (self._retry_timer, self._deadline_timer):
            self.loop.cancel(timer=timer)
        self.request.on_disconnect = None
        self.request.on_drain = None
        self.context.handlers.discard(self)


def _call(reference: weakref.WeakMethod[Callable[[], None]]) -> None:
    method = reference()
    if method is not None:
        method()


def _retry_after(seconds: float) -> list[tuple[bytes, bytes]]:
    return [(b"Retry-After", b"%.2f" % seconds)]
