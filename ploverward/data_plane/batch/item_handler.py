"""Runs one item by the code that serves requests: choice of a replica, attempts, resumption (docs/batch.md 4).

What differs from a request: the job was admitted, so no filter runs; its time is the job's; quotas and the budget of
further attempts don't cover it.
"""

from __future__ import annotations

import typing

from ploverward.data_plane.quotas import tenant_directory
from ploverward.data_plane.requests import admission_filters
from ploverward.data_plane.requests import handler_context
from ploverward.data_plane.requests import request_handler
from ploverward.data_plane.requests import request_state
from ploverward.data_plane.requests import route_table
from ploverward.transport import http_request

LATENCY_TARGET_S = 2.0  # within which its first event is looked for
RUN_LIMIT_S = 60.0  # of one run


class UnlimitedRetries:
    """The retry budget of items: they don't count against that of requests."""

    def record_request(self, _service: str) -> None:
        """An item begins."""

    def charge(self, _service: str) -> bool:
        """Whether a further attempt is allowed."""
        return True

    def has_budget(self, _service: str) -> bool:
        """Whether a further attempt would be allowed."""
        return True


class ItemQuota:
    """The limits that items share with requests, but for retries."""

    def __init__(self, quota: typing.Any) -> None:  # noqa: ANN401  # of `shared_limits.SharedLimits`
        self._quota = quota
        self.retry_budget = UnlimitedRetries()

    def __getattr__(self, name: str) -> typing.Any:  # noqa: ANN401  # whatever the shared limits have
        return getattr(self._quota, name)


class ItemContext:
    """The proxy as items see it.

    Args:
        node: The proxy.
    """

    def __init__(self, node: handler_context.HandlerContext) -> None:
        self._node = node
        self.quota = ItemQuota(node.quota)
        self.handlers: set[request_handler.RequestHandler] = set()

    def __getattr__(self, name: str) -> typing.Any:  # noqa: ANN401  # whatever the proxy has
        return getattr(self._node, name)


class ItemHandler(request_handler.RequestHandler):
    """One run of an item.

    Args:
        context: The proxy as items see it.
        request: The item's request.
        tenant: Whose it is, None where no tenants are configured any more.
    """

    def __init__(
        self,
        *,
        context: handler_context.HandlerContext,
        request: http_request.Request,
        tenant: tenant_directory.Tenant | None,
    ) -> None:
        super().__init__(context=context, request=request)
        self._tenant = tenant

    def start(self, route: route_table.Route) -> None:
        """Begins the first attempt."""
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

    def _note_request_started(self) -> None:
        """Reports of use do not cover items."""

    def _follow_configuration(self) -> bool:
        route = admission_filters.find_route(request=self.request, routes=self.context.routes)
        if route is None or route.batch is None or not self.policy.may_continue_under(route):
            return False
        if not any(name == self.facts.service for name, _share in route.service_shares):
            admission_filters.pick_service(
                request=self.request, facts=self.facts, route=route, table=self.context.table
            )
        self.facts.route = route
        return True
