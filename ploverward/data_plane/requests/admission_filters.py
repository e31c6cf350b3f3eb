"""Filters that a request passes before a replica is chosen (design 7).

`admit` runs them in order: readiness (503), route (404), API key (401, 503), deadline (400, 503), drain window (503),
quota (429), prompt. The first filter that rejects the request ends the chain. Each writes its results to
`RequestFacts`, which the handler owns; a rejected request keeps the earlier results, because its custody trail has
them.

The quota filter runs after all others that can reject a request, because what it admits is counted against the tenant.
Only the prompt, which is never a reason for a rejection, is read after it.
"""

from __future__ import annotations

import dataclasses
import random
import typing

from ploverward.data_plane.quotas import credential_freshness
from ploverward.data_plane.quotas import tenant_directory as tenant_directories
from ploverward.data_plane.relay import cuckoo_filter

if typing.TYPE_CHECKING:
    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.requests import handler_context
    from ploverward.data_plane.requests import route_table
    from ploverward.transport import http_request

NOT_SERVING_RETRY_AFTER_S = 0.5  # Retry-After while this proxy is not serving yet: about the duration of its start
DRAINING_RETRY_AFTER_S = 0.02  # Retry-After while this proxy drains: any other node accepts the request at once
LATE_RETRY_AFTER_S = 0.1  # Retry-After where the deadline has passed
DEFAULT_TARGET_FRACTION = 0.25  # latency target as a fraction of the time left, for routes without a target
RETRY_AFTER_SHARE = 0.3  # Retry-After as a share of the latency target: a retry then still has time for a response


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedModel:
    """The model and adapter that X-Model requests, resolved for the service.

    Attributes:
        text: The header as received.
        name: The name of the model.
        adapter: The name of the adapter; empty if none is requested.
        is_adapter_known: False if neither an endpoint list nor the configuration has what the header names.
    """

    text: str = ""
    name: str = ""
    adapter: str = ""
    is_adapter_known: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The size of a prompt and the parts of it that requests share.

    Attributes:
        parts: (id, token count) of each shared part, from X-Prompt-Lead.
        chain: For each part in order: (hash of all parts up to and including it, its token count).
        tokens: Token count of the whole prompt.
    """

    parts: tuple[tuple[str, int], ...] = ()
    chain: tuple[tuple[bytes, int], ...] = ()
    tokens: int = 0


NO_MODEL = RequestedModel()
NO_PROMPT = Prompt()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTiming:
    """The deadline and the latency target of a request.

    Attributes:
        deadline: When the client stops waiting, in seconds on the loop's clock.
        latency_target_s: Seconds within which a response has its full value.
    """

    deadline: float
    latency_target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The response to a request that a filter rejected.

    Attributes:
        status: The HTTP status.
        retry_after_s: With 429 and 503: seconds after which the client may retry.
    """

    status: int
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RequestFacts:
    """The results of the filters for one request.

    A newer configuration may replace route, tenant, service and model.

    Attributes:
        route: The route in force for the request; None until it is found.
        tenant: The tenant whose key the request has; None if no key is required.
        service: The service that was picked from the route.
        model: The model and adapter that X-Model requests.
        prompt: The size and the shared parts of its prompt.
        deadline: When the client stops waiting, in seconds on the loop's clock.
        latency_target_s: Seconds within which a response has its full value.
        first_homes: Regions that were permitted when the request arrived. They restrict it until it ends, even if a
            newer configuration permits others (design 10).
        is_counted: Whether the request was counted against the tenant's quota.
    """

    route: route_table.Route | None = None
    tenant: tenant_directories.Tenant | None = None
    service: str = ""
    model: RequestedModel = NO_MODEL
    prompt: Prompt = NO_PROMPT
    deadline: float = 0.0
    latency_target_s: float = 0.0
    first_homes: tuple[str, ...] = ()
    is_counted: bool = False


def admit(
    *, request: http_request.Request, facts: RequestFacts, context: handler_context.HandlerContext
) -> Rejection | None:
    """Runs the filters on a request that arrived.

    Args:
        request: The complete request.
        facts: Receives the results of the filters, up to the one that rejects the request.
        context: The proxy.

    Returns:
        None if the request is admitted, otherwise the response that rejects it.
    """
    if not context.is_serving:
        return Rejection(status=503, retry_after_s=NOT_SERVING_RETRY_AFTER_S)
    route = find_route(request=request, routes=context.routes)
    if route is None:
        return Rejection(status=404)
    tenant = authenticate_tenant(request=request, is_keyless=route.is_keyless, context=context)
    if isinstance(tenant, Rejection):
        return tenant
    facts.route = route
    facts.tenant = tenant
    facts.first_homes = tuple(sorted(context.permitted(route=route, first_homes=(), tenant=tenant) or ()))
    pick_service(request=request, facts=facts, route=route, table=context.table)
    timing = read_timing(request=request, route=route)
    if isinstance(timing, Rejection):
        return timing
    facts.deadline, facts.latency_target_s = timing.deadline, timing.latency_target_s
    if context.loop.now() >= timing.deadline:
        # The request was read late, because the process was frozen or the client sent it slowly. No replica received
        # it (`test_after_process_freeze_idle_connections_and_expired_requests_are_dropped`).
        return Rejection(status=503, retry_after_s=LATE_RETRY_AFTER_S)
    if not context.drain_window.may_accept(deadline=timing.deadline):
        return Rejection(status=503, retry_after_s=DRAINING_RETRY_AFTER_S)
    if tenant is not None and tenant.limit is not None:
        facts.is_counted = context.quota_allowance.admit(tenant.key)
        if not facts.is_counted:
            return Rejection(status=429, retry_after_s=timing.latency_target_s * RETRY_AFTER_SHARE)
    facts.prompt = read_prompt(request=request, model_text=facts.model.text, is_sticky=route.is_sticky)
    return None


def readmit(
    *,
    request: http_request.Request,
    facts: RequestFacts,
    route: route_table.Route,
    context: handler_context.HandlerContext,
) -> bool:
    """Applies a newer configuration to a request in progress.

    Args:
        request: The complete request.
        facts: Updated to the newer configuration; unchanged if that rejects the request.
        route: The newer configuration's route for the request.
        context: The proxy.

    Returns:
        False if the newer configuration rejects the request.
    """
    tenant = authenticate_tenant(request=request, is_keyless=route.is_keyless, context=context)
    if isinstance(tenant, Rejection):
        return False  # its key was revoked after it arrived
    facts.tenant = tenant
    if not any(name == facts.service for name, _share in route.service_shares):
        pick_service(request=request, facts=facts, route=route, table=context.table)
    facts.route = route
    return True


def find_route(*, request: http_request.Request, routes: route_table.Routes) -> route_table.Route | None:
    """Returns the route with the request's host and the longest matching path prefix; None if there is none."""
    return routes.find(host=request.text(b"host"), target=request.target)


def authenticate_tenant(
    *, request: http_request.Request, is_keyless: bool, context: handler_context.HandlerContext
) -> tenant_directories.Tenant | Rejection | None:
    """Returns the tenant whose key the request has, None if no key is required, or the rejection.

    A request with more than one Authorization header is treated as one without a key. A key that this proxy does not
    know is rejected with 401 only if the configuration here is fresh. Otherwise another node may know the key, and the
    status is 503 (docs/keys.md).
    """
    tenant_directory = context.routes.tenant_directory
    if tenant_directory is None or is_keyless:
        return None
    rows = [value for name, value in request.headers if name == b"authorization"]
    key = tenant_directories.bearer_key(rows[0]) if len(rows) == 1 else b""
    tenant = tenant_directory.find(key) if key else None
    verdict = context.credential_freshness.verdict(
        tenant=tenant, has_key=bool(key), age_s=context.configuration_age_s()
    )
    if verdict is credential_freshness.CredentialVerdict.UNKNOWN:
        return Rejection(status=401)
    if verdict is credential_freshness.CredentialVerdict.UNSURE:
        return Rejection(status=503, retry_after_s=context.failover_s)
    return tenant


def pick_service(
    *, request: http_request.Request, facts: RequestFacts, route: route_table.Route, table: replica_table.ReplicaTable
) -> None:
    """Picks one of the route's services at random by their shares, and resolves X-Model for that service."""
    facts.service = route.pick_service(random.random())
    facts.model = read_model(text=request.text(b"x-model"), service=facts.service, table=table)


def read_timing(*, request: http_request.Request, route: route_table.Route) -> RequestTiming | Rejection:
    """Returns the request's timing, from X-Time-Left-Ms and the route's timeout, whichever is shorter.

    A header that is not a number is rejected with 400.
    """
    left_s = route.timeout_s
    given = request.text(b"x-time-left-ms")
    if given:
        try:
            left_s = min(left_s, float(given) / 1000.0)
        except ValueError:
            return Rejection(status=400)
    return RequestTiming(
        deadline=request.begun_at + left_s, latency_target_s=route.target_s or left_s * DEFAULT_TARGET_FRACTION
    )


def read_model(*, text: str, service: str, table: replica_table.ReplicaTable) -> RequestedModel:
    """Resolves the text of X-Model to a model and an adapter of a service."""
    name, adapter, is_known = table.resolve(service=service, text=text)
    return RequestedModel(text=text, name=name, adapter=adapter, is_adapter_known=is_known)


def parse_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Parses the parts of X-Prompt-Lead (`ID:TOKENS`, separated by commas); returns none if one is malformed."""
    rows = []
    for item in text.split(","):
        part, colon, tokens = item.strip().partition(":")
        if not colon or not tokens.isdigit():
            return ()
        rows.append((part, int(tokens)))
    return tuple(rows)


def read_prompt(*, request: http_request.Request, model_text: str, is_sticky: bool) -> Prompt:
    """Reads the prompt's size and, for routes with affinity (`is_sticky`), its shared parts."""
    first_count = request.text(b"x-token-count").split(",")[0].strip()
    tokens = int(first_count) if first_count.isdigit() else 0
    lead = request.text(b"x-prompt-lead")
    if not lead or not is_sticky:
        return Prompt(tokens=tokens)
    parts = parse_parts(lead)
    chain = cuckoo_filter.chain(model=model_text, parts=parts)
    return Prompt(parts=parts, chain=chain, tokens=max(tokens, sum(count for _part, count in parts)))
