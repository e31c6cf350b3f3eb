"""One request, from its arrival to its one final answer (design 7, docs/requests.md).

A `RequestHandler` exists as long as its request and decides what follows each event: a filter's verdict, the choice
of a replica, the end of an attempt, the deadline, a client that leaves. `request_state` explains the states and their
invariants. The components are in modules of their own: `admission_filters` (is it admitted), `replica_selection`
(which replica), `retry_policy` (may it be sent again), `replica_watch` (did the replica time out), `response_writer`
and `stream_resumption` (what the client receives), `attempt_runner`, `attempt_accounting` and `custody_trails` (the
records).
"""

from __future__ import annotations

import typing

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
    from collections.abc import Iterable
    from collections.abc import Sequence

    from ploverward.data_plane.requests import handler_context
    from ploverward.data_plane.requests import route_table
    from ploverward.transport import event_loop
    from ploverward.transport import http_request

LIMITED_STATUSES = (408, 421, 429, 503)  # of a replica: forwarded, they would look like promises of this proxy
QUEUE_WAIT_SHARE = 0.2  # of the latency target: how long a request waits for an available replica
STREAM_WAIT_FACTOR = 3  # of the latency target: the same for a stream that was started
RETRY_INTERVAL_SHARE = 0.05  # of the latency target, between two choices while a request waits
MIN_RETRY_INTERVAL_S = 0.02
MIN_RETRY_AFTER_S = 0.05  # pause for a client that is rejected: a sooner retry would only find the same replicas


class RequestHandler:
    """One request.

    Args:
        context: The proxy.
        request: The complete request.

    Attributes:
        state: Its present state.
        request_id: Its X-Attempt-Id.
        facts: The results of the filters.
        policy: What its attempts allow to follow.
        writer: What the client has of its answer.
        edition: Version of the configuration that it arrived under.
        custody: One row for each attempt (design 10).
    """

    def __init__(self, *, context: handler_context.HandlerContext, request: http_request.Request) -> None:
        self.context = context
        self.loop = context.loop
        self.request = request
        self.state = request_state.RequestState.ADMITTING
        self.request_id = request.header(b"x-attempt-id")
        self.facts = admission_filters.RequestFacts()
        self.writer = response_writer.ResponseWriter(request=request, on_head=self._on_head_written)
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
            on_silent=self._on_replica_silent,
        )
        self.policy = self._runner.policy
        self.custody = self._runner.custody
        self._is_first_choice = True
        self._has_begun = False  # whether a replica began to run it
        self._retry_timer: event_loop.Timer | None = None
        self._deadline_timer: event_loop.Timer | None = None
        self._wait_until = 0.0  # on the loop's clock
        self._retry_after_s = 0.0
        request.on_gone = self.on_client_gone

    @property
    def is_over(self) -> bool:
        """Whether the request had its end."""
        return self.state is request_state.RequestState.OVER

    @property
    def route(self) -> route_table.Route:
        """The route in force for an admitted request."""
        route = self.facts.route
        assert route is not None, "not admitted"
        return route

    @property
    def attempt(self) -> attempts.Attempt | None:
        """The running attempt, None where there is none."""
        return self._runner.attempt

    def _apply_event(self, event: request_state.RequestEvent) -> None:
        self.state = request_state.next_state(self.state, event)

    def _on_head_written(self) -> None:
        self._apply_event(request_state.RequestEvent.HEAD_WRITTEN)

    # Admission.
    def begin(self) -> None:
        """The request is complete: filters, then the first attempt."""
        facts = self.facts
        refused = admission_filters.admit(request=self.request, facts=facts, context=self.context)
        if refused is not None:
            if refused.status in retry_policy.NOT_RUN_STATUSES:
                self._answer(status=refused.status, headers=_retry_after(refused.after_s))
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

    # Choosing a replica.
    def _try_attempt(self) -> None:
        if self.is_over:
            return
        if not self._is_first_choice and not self._follow_configuration():
            self._give_up()
            return
        self._is_first_choice = False
        facts, route = self.facts, self.route
        self._selection.refresh_permitted(route)
        replica, prefill_tokens, is_any_known = self._choose(route=route)
        self._retry_after_s = facts.latency_target_s * admission_filters.RETRY_AFTER_SHARE
        if replica is None:
            if not is_any_known:  # an unreachable replica returns later than a full one is free again
                self._retry_after_s = max(self._retry_after_s, self.context.failover_s)
            self._wait_or_reject()
            return
        if self.policy.arrivals and not self.context.quota.retry_budget.charge(facts.service):
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
        is_first = self.policy.next_arrival(is_sending=self._runner.is_sending) == 1
        return self._selection.choose(route=route, is_first=is_first, avoided=avoided)

    def _follow_configuration(self) -> bool:
        """Whether another attempt may follow under the configuration now in force; the stricter homes of both bind."""
        route = admission_filters.find_route(request=self.request, routes=self.context.routes)
        if route is None or not self.policy.may_continue_under(route):
            return False
        return admission_filters.readmit(request=self.request, facts=self.facts, route=route, context=self.context)

    def _wait_or_reject(self) -> None:
        """No replica can be named now: a short wait, then the request is rejected."""
        now = self.loop.now()
        latency_target_s = self.facts.latency_target_s
        until = self._wait_until
        if self.writer.has_head:
            until = self.request.at + latency_target_s * STREAM_WAIT_FACTOR
        if now >= min(until, self.facts.deadline):
            self._give_up()
            return
        if not self.policy.arrivals:
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
        """Whether another replica can resume the request now; else a time-out does not end the attempt."""
        route = self.route
        may_retry = self.policy.may_retry(
            route=route, now=self.loop.now(), deadline=self.facts.deadline, is_sending=self._runner.is_sending
        )
        if not may_retry or not self.context.quota.retry_budget.has_budget(self.facts.service):
            return False
        replica = self._choose(route=route, avoided=self._selection.avoided | {attempt.replica.id}).replica
        return replica is not None and self.context.table.has_capacity(replica=replica)

    def _on_replica_silent(self, attempt: attempts.Attempt) -> None:
        self._steps.record("silent", now=self.loop.now())
        self._drop_attempt(attempt, kind=report_source.BROKEN)
        self._on_attempt_unresolved(attempt)

    # What the replica answers.
    def handle_head(
        self, attempt: attempts.Attempt, *, headers: Iterable[tuple[bytes, bytes]], table: dict[bytes, bytes]
    ) -> None:
        """The head of a replica's answer was received."""
        if attempt.response_class is attempts.ResponseClass.NOT_RUN:
            return  # decided at its end: only a complete answer is a promise
        if attempt.response_class is attempts.ResponseClass.UNUSABLE:
            self._drop_attempt(attempt, kind=report_source.BROKEN)
            self._on_attempt_unresolved(attempt)
            return
        if self.writer.has_head:
            return  # a resumed stream keeps its first head; of a failure in its place no byte belongs to the stream
        forwarded = attempts.forwarded_headers(headers=headers, table=table)
        is_stream = self.route.is_stream or table.get(b"content-type", b"").startswith(b"text/event-stream")
        if attempt.response_class is attempts.ResponseClass.SUCCESS and is_stream:
            self.writer.begin_stream(forwarded)
        else:
            if attempt.response_class is attempts.ResponseClass.SUCCESS:
                self._note_request_started()
            self.writer.begin_body(forwarded)

    def handle_data(self, attempt: attempts.Attempt, data: bytes) -> None:
        """A chunk of the body of a replica's answer was received."""
        if attempt.response_class is attempts.ResponseClass.NOT_RUN:
            return
        stream = self.writer.stream
        if stream is None or attempt.response_class is not attempts.ResponseClass.SUCCESS:
            self.writer.write_body(data, status=attempt.status)
            return
        if not attempt.is_read:
            attempt.is_read = True
            self._note_request_started()
            self._steps.record(step_log.PREFILLED, now=self.loop.now())
            attempt_accounting.note_prefilled(attempt, facts=self.facts, route=self.route, context=self.context)
        for event in stream.receive_data(data):
            attempt.note_event(now=attempt.heard_at)
            self.forward_event(event)

    def _note_request_started(self) -> None:
        """A replica began to run the request: that counts once, whatever is resumed or sent again."""
        if not self._has_begun and self.facts.tenant is not None:
            self.context.note_request_started(self.facts.tenant.name)
        self._has_begun = True

    def forward_event(self, event: bytes) -> None:
        """Writes one event; a client that reads slowly pauses its replica."""
        runner = self._runner
        is_backed_up = self.writer.write_event(event, status=200 if runner.attempt is None else runner.attempt.status)
        if is_backed_up and runner.attempt is not None:  # else the write found that the client has left
            runner.attempt.connection.pause()
            self.request.on_drain = self._on_client_drained

    def _on_client_drained(self) -> None:
        self.request.on_drain = None
        if self.attempt is not None:
            self.attempt.heard_at = self.loop.now()  # the pause was ours
            self.attempt.connection.resume()

    def handle_end(self, attempt: attempts.Attempt) -> None:
        """A replica's answer was received completely."""
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
        """A complete answer that is no stream, or a failure."""
        status = attempt.status
        self._end_attempt(attempt, kind=report_source.FAILED if status >= 500 else report_source.DONE)
        if status >= 500 and self._may_resend():
            self._on_attempt_unresolved(attempt)
        elif self.writer.has_head and self.writer.stream is not None:
            self._abort_response()  # a failure instead of the remainder of a stream
        elif status in LIMITED_STATUSES and not self.writer.has_head:
            self._answer(status=502)  # without X-Not-Run it is no promise of the replica, and may be none of ours
        else:
            self._finish(status=status)
            self.writer.end_body(status=status)

    def handle_failure(self, attempt: attempts.Attempt, *, reason: str, was_sent: bool, was_up: bool) -> None:
        """The connection ended before the answer was complete."""
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

    # What follows an attempt.
    def _on_attempt_unsent(self, attempt: attempts.Attempt) -> None:
        """No byte of it was sent."""
        self._selection.avoided.add(attempt.replica.id)
        if self.policy.may_reconnect(now=self.loop.now(), deadline=self.facts.deadline):
            self._try_attempt()
        else:
            self._give_up()

    def _on_attempt_not_run(self, attempt: attempts.Attempt) -> None:
        """The replica did not run it."""
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
        """It may have run."""
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

    # The end.
    def _give_up(self) -> None:
        if self.writer.has_head:
            self._abort_response()
        else:
            self._reject(after_s=max(MIN_RETRY_AFTER_S, self._retry_after_s))

    def abort_for_shutdown(self) -> None:
        """The process ends soon: a request that no replica received is rejected; others may still be answered."""
        if self.is_over or self._runner.is_sending:
            return
        if self.attempt is not None:
            self._drop_attempt(self.attempt, kind=report_source.DONE)
        self._give_up()

    def on_deadline(self) -> None:
        """The client's time is over."""
        if self.is_over:
            return
        if self.attempt is not None:
            self._runner.abandon(self.attempt, route=self.route)
        if self.writer.has_head:
            self._abort_response()
        elif self.policy.unresolved_attempts:
            self._answer(status=504)
        else:
            self._reject(after_s=admission_filters.LATE_RETRY_AFTER_S)

    def on_client_gone(self) -> None:
        """The client left."""
        if self.is_over:
            return
        if self.attempt is not None:
            self._runner.abandon(self.attempt, route=self.route)
        self._finish()

    def _reject(self, *, after_s: float) -> None:
        """Answers 503, a promise that the request has not run and never will; 502 where that is not certain."""
        if self.policy.unresolved_attempts:
            self._answer(status=502)
        else:
            self._answer(status=503, headers=_retry_after(after_s))

    def _answer(self, *, status: int, headers: Sequence[tuple[bytes, bytes]] = ()) -> None:
        self._finish(status=status)
        self.writer.reply(status=status, headers=headers)

    def _abort_response(self) -> None:
        self._finish()
        self.writer.abort()

    def _finish(self, *, status: int = 0) -> None:
        """Ends the request: timers are cancelled and the trail is written. `status`: of the answer, 0 if it is aborted.

        It is called before the last write: that may start the next request on the client's connection, or find that the
        client has left, and neither may reach this request any more.
        """
        if self.is_over:
            return
        facts, route = self.facts, self.facts.route
        self._apply_event(request_state.RequestEvent.FINISHED)
        if route is not None:
            self._steps.write_if_slow(route=route.name, now=self.loop.now(), latency_target_s=facts.latency_target_s)
        self._runner.close()
        for timer in (self._retry_timer, self._deadline_timer):
            self.loop.cancel(timer=timer)
        self.context.handlers.discard(self)
        if (
            facts.tenant is not None
            and facts.is_counted
            and not self.writer.has_head
            and self.policy.is_promise_kept(status=status)
        ):
            self.context.quota_allowance.return_admission(facts.tenant.key)
        if route is not None:
            trail = custody_trails.trail_of(handler=self, route=route, context=self.context, status=status)
            self.context.batches.add(trail)


def _retry_after(seconds: float) -> list[tuple[bytes, bytes]]:
    return [(b"Retry-After", b"%.2f" % seconds)]
