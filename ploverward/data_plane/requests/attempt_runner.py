"""Starts and ends the attempts of a request, and records both.

`AttemptRunner` owns the request's one running attempt, the rows of its custody trail, and its `RetryPolicy`. It makes
no decisions: the handler decides when an attempt starts or is abandoned, and what follows it.
"""

from __future__ import annotations

import typing

from ploverward.data_plane.requests import attempt_accounting
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.requests import replica_watch
from ploverward.data_plane.requests import request_state
from ploverward.data_plane.requests import retry_policy

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.requests import admission_filters
    from ploverward.data_plane.requests import handler_context
    from ploverward.data_plane.requests import response_writer
    from ploverward.data_plane.requests import route_table
    from ploverward.data_plane.requests import step_log
    from ploverward.data_plane.upstream import upstream_connection
    from ploverward.transport import http_request


class AttemptRunner:
    """Starts and ends the attempts of one request.

    Args:
        listener: Notified of the response of an attempt: the request handler.
        context: The proxy.
        request: The client's request.
        facts: The results of the admission filters.
        writer: Writes the response to the client.
        steps: The log of the request's steps.
        on_event: Called when an attempt has started or ended.
        may_fail_over: Returns whether another replica can resume the request after a timeout.
        on_timeout: Called when the replica of the attempt timed out.

    Attributes:
        attempt: The running attempt, or None.
        policy: Counts the attempts and decides whether another one may follow.
        custody: The rows of the custody trail, one for each attempt (design 10).
    """

    __slots__ = (
        "attempt",
        "policy",
        "custody",
        "_listener",
        "_context",
        "_request",
        "_facts",
        "_writer",
        "_steps",
        "_on_event",
        "_may_fail_over",
        "_on_timeout",
        "_watch",
    )

    def __init__(
        self,
        *,
        listener: attempts.AttemptListener,
        context: handler_context.HandlerContext,
        request: http_request.Request,
        facts: admission_filters.RequestFacts,
        writer: response_writer.ResponseWriter,
        steps: step_log.StepLog,
        on_event: Callable[[request_state.RequestEvent], None],
        may_fail_over: Callable[[attempts.Attempt], bool],
        on_timeout: Callable[[attempts.Attempt], None],
    ) -> None:
        self.attempt: attempts.Attempt | None = None
        self.policy = retry_policy.RetryPolicy()
        self.custody: list[custody_trails.AttemptRow] = []
        self._listener = listener
        self._context = context
        self._request = request
        self._facts = facts
        self._writer = writer
        self._steps = steps
        self._on_event = on_event
        self._may_fail_over = may_fail_over
        self._on_timeout = on_timeout
        self._watch: replica_watch.ReplicaWatch | None = None  # only for an idempotent request

    @property
    def is_sending(self) -> bool:
        """Whether an attempt is running of which a byte was sent."""
        return self.attempt is not None and not self.attempt.connection.is_unsent

    def start(
        self,
        *,
        route: route_table.Route,
        replica: replica_table.Replica,
        connection: upstream_connection.UpstreamConnection,
        prefill_tokens: int,
        permitted: frozenset[str] | None,
    ) -> None:
        """Starts an attempt: sends the request to a replica.

        Args:
            route: The route in force for the request.
            replica: The replica.
            connection: A free connection to it, which may still be connecting.
            prefill_tokens: Tokens that the replica has to prefill.
            permitted: Currently permitted regions, None for all.
        """
        context, facts = self._context, self._facts
        self.policy.on_attempt_started()
        now = context.loop.now()
        attempt = attempts.Attempt(
            handler=self._listener,
            replica=replica,
            connection=connection,
            number=context.next_attempt_number(),
            prefill_tokens=prefill_tokens,
            permitted=permitted,
            now=now,
        )
        self._on_event(request_state.RequestEvent.ATTEMPT_STARTED)
        self.attempt = attempt
        attempt_accounting.start(attempt, facts=facts, context=context)
        load = context.chooser.load(replica)
        self._steps.record("send", replica.id, replica.zone, prefill_tokens, *load, now=context.loop.now())
        attempt_accounting.report_start(attempt, facts=facts, route=route, context=context)
        attempt.row = custody_trails.begin_row(
            attempt=attempt, begun_at=self._request.begun_at, is_resumption=self._writer.has_head, context=context
        )
        self.custody.append(attempt.row)
        head = attempts.request_head(
            request=self._request,
            route=route,
            replica_id=replica.id,
            time_left_s=facts.deadline - now,
            last_event_id=self._writer.last_event_id,
            has_tenants=context.routes.tenant_directory is not None,
            tenant=facts.tenant,
        )
        connection.send_request(attempt, head=head, body=self._request.body)
        if attempt is self.attempt and route.is_idempotent:  # otherwise it failed within that call
            if self._watch is None:
                self._watch = replica_watch.ReplicaWatch(
                    loop=context.loop,
                    table=context.table,
                    may_fail_over=self._may_fail_over,
                    on_timeout=self._on_timeout,
                )
            self._watch.check(attempt, route=route, latency_target_s=facts.latency_target_s)

    def end(self, attempt: attempts.Attempt, *, route: route_table.Route, kind: int) -> None:
        """Ends an attempt and records its end; does nothing if it is over already.

        Args:
            attempt: The attempt.
            route: The route in force for the request.
            kind: How the attempt ended, a kind of `report_source`.
        """
        if attempt.is_over:
            return
        attempt.is_over = True
        context = self._context
        if attempt.row is not None:
            custody_trails.end_row(
                attempt.row, attempt=attempt, begun_at=self._request.begun_at, now=context.loop.now()
            )
        attempt_accounting.release(attempt, kind=kind, facts=self._facts, route=route, context=context)
        self.policy.on_attempt_ended(is_unsent=attempt.connection.is_unsent, is_known_not_run=attempt.is_known_not_run)
        attempt_accounting.report_end(attempt, kind=kind, context=context)
        self.close()
        if self.attempt is attempt:
            self.attempt = None
            self._on_event(request_state.RequestEvent.ATTEMPT_ENDED)

    def drop(self, attempt: attempts.Attempt, *, route: route_table.Route, kind: int) -> None:
        """Ends an attempt in progress and closes its connection, so that none of its data can arrive later."""
        connection = attempt.connection
        self.end(attempt, route=route, kind=kind)
        connection.drop_attempt()

    def abandon(self, attempt: attempts.Attempt, *, route: route_table.Route) -> None:
        """Drops an attempt whose response is no longer needed."""
        kind = attempt_accounting.abandoned_kind(
            attempt, latency_target_s=self._facts.latency_target_s, now=self._context.loop.now()
        )
        self.drop(attempt, route=route, kind=kind)

    def close(self) -> None:
        """Cancels the timeout of the replica."""
        if self._watch is not None:
            self._watch.cancel()

    def release(self) -> None:
        """Ends the use of this runner, whose request is over, and drops its references to the handler."""
        self.close()
        self._watch = None
        del self._listener, self._on_event, self._may_fail_over, self._on_timeout
