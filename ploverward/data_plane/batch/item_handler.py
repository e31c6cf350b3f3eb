"""Runs of items by the request handler: choice of a replica, attempts, resumption (docs/batch.md 4).

An item differs from a client's request in that no admission filters run, because its job was admitted already; its
deadline comes from the run limit instead of the client; quotas and the retry budget do not apply to it; and an answer
with status 500 is counted by the item's store before the next attempt starts (`failed_attempts`).
"""

from __future__ import annotations

import http
import typing

from ploverward.data_plane.batch import failed_attempts
from ploverward.data_plane.quotas import tenant_directory
from ploverward.data_plane.requests import admission_filters
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.requests import handler_context
from ploverward.data_plane.requests import request_handler
from ploverward.data_plane.requests import request_state
from ploverward.data_plane.requests import route_table
from ploverward.transport import batch_messages
from ploverward.transport import http_request

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

LATENCY_TARGET_S = 2.0  # target for the time to the first event of a response
RUN_LIMIT_S = 60.0  # longest time of one run


class UnlimitedRetryBudget:
    """A retry budget without a limit: retries of items do not count against the budget of requests."""

    def record_request(self, _service: str) -> None:
        """Ignores the request."""

    def charge(self, _service: str) -> bool:
        """Returns True: a retry is always allowed."""
        return True

    def has_budget(self, _service: str) -> bool:
        """Returns True: a retry would always be allowed."""
        return True


class ItemQuota:
    """The limits that items share with requests, except for the retry budget."""

    def __init__(self, quota: typing.Any) -> None:  # noqa: ANN401  # a `shared_limits.SharedLimits`
        self._quota = quota
        self.retry_budget = UnlimitedRetryBudget()

    def __getattr__(self, name: str) -> typing.Any:  # noqa: ANN401  # any attribute of the shared limits
        return getattr(self._quota, name)


class ItemContext:
    """The context of item handlers: the proxy, but with `ItemQuota` and a separate set of handlers.

    Args:
        node: The proxy.
    """

    def __init__(self, node: handler_context.HandlerContext) -> None:
        self._node = node
        self.quota = ItemQuota(node.quota)
        self.handlers: set[request_handler.RequestHandler] = set()

    def __getattr__(self, name: str) -> typing.Any:  # noqa: ANN401  # any attribute of the proxy
        return getattr(self._node, name)


class ItemHandler(request_handler.RequestHandler):
    """Handles one run of an item.

    Args:
        context: An `ItemContext`.
        request: The item's request.
        tenant: The tenant of the item's job; None if the configuration no longer has it.
        key: The item.
        reports: Reports failed attempts to the item's store.
        on_not_needed: Called if the store answers that the item is not to be tried again.

    Attributes:
        failed_answers: Number of answers with status 500 that replicas gave in this run.
        is_rejected: Whether a replica answered with status 422: no replica can ever run the item.
        has_uncounted_failure: Whether the store does not count failed attempts, so that the run is to be reported as
            failed at its end.
    """

    def __init__(
        self,
        *,
        context: handler_context.HandlerContext,
        request: http_request.Request,
        tenant: tenant_directory.Tenant | None,
        key: batch_messages.RunningItem,
        reports: failed_attempts.FailedAttemptReports,
        on_not_needed: Callable[[], object],
    ) -> None:
        super().__init__(context=context, request=request)
        self._tenant = tenant
        self._key = key
        self._reports = reports
        self._on_not_needed = on_not_needed
        self._is_waiting_for_count = False
        self.failed_answers = 0
        self.is_rejected = False
        self.has_uncounted_failure = False

    def handle_head(
        self, attempt: attempts.Attempt, *, headers: Iterable[tuple[bytes, bytes]], table: dict[bytes, bytes]
    ) -> None:
        """Reports an answer with status 500, then handles the head of a replica's response.

        The head is enough: the answer counts even if its replica breaks it off.
        """
        if attempt.status == http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self.failed_answers += 1
            self._reports.report(
                self._key,
                attempt=f"{self.context.incarnation}-{attempt.number}",
                done=self._handle_report_result,
            )
        elif attempt.status == http.HTTPStatus.UNPROCESSABLE_ENTITY:
            self.is_rejected = True
        super().handle_head(attempt, headers=headers, table=table)

    def start(self, route: route_table.Route) -> None:
        """Starts the first attempt."""
        facts, context = self.facts, self.context
        facts.route, facts.tenant = route, self._tenant
        facts.first_homes = tuple(sorted(context.permitted(route=route, first_homes=(), tenant=self._tenant) or ()))
        admission_filters.pick_service(request=self.request, facts=facts, route=route, table=context.table)
        facts.deadline = self.request.begun_at + RUN_LIMIT_S
        facts.latency_target_s = LATENCY_TARGET_S
        facts.prompt = admission_filters.read_prompt(
            request=self.request, model_text=facts.model.text, is_sticky=route.is_sticky
        )
        self._apply_event(request_state.RequestEvent.ADMITTED)
        self._begin_attempts()

    def _handle_report_result(self, result: failed_attempts.ReportResult) -> None:
        if result is failed_attempts.ReportResult.NOT_NEEDED:
            self._on_not_needed()
        elif result is failed_attempts.ReportResult.NOT_SUPPORTED:
            self.has_uncounted_failure = True

    def _try_attempt(self) -> None:
        """Starts another attempt once the store has counted the failed ones."""
        if self._reports.is_settled(self._key):
            super()._try_attempt()
        elif not self._is_waiting_for_count:
            self._is_waiting_for_count = True
            self._reports.when_settled(self._key, self._on_failures_counted)

    def _on_failures_counted(self) -> None:
        self._is_waiting_for_count = False
        self._try_attempt()

    def _note_request_started(self) -> None:
        """Does nothing: usage reports do not count items."""

    def _follow_configuration(self) -> bool:
        request = self.request
        route = self.context.routes.find_batch_route(host=request.text(b"host"), path=request.target.decode("latin-1"))
        if route is None or not self.policy.may_continue_under(route):
            return False
        if not any(name == self.facts.service for name, _share in route.service_shares):
            admission_filters.pick_service(
                request=self.request, facts=self.facts, route=route, table=self.context.table
            )
        self.facts.route = route
        return True
