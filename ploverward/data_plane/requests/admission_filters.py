"""The filters that a request passes before a replica is chosen (design 7).

`admit` runs them in order: readiness (503), route (404), key (401, 503), time (400, 503), end of the process (503),
quota (429), prompt. The first one that refuses ends the chain. Each writes its results to `RequestFacts`, which the
handler owns; a refused request keeps the earlier results, because its custody trail states them.

The quota is checked last but for the prompt, which refuses nothing: what it admits is counted against the tenant.
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

NOT_SERVING_RETRY_AFTER_S = 0.5  # pause for a client while this proxy does not serve yet: about one start of it
DRAINING_RETRY_AFTER_S = 0.02  # pause for a client whose node ends: any other node accepts the request at once
LATE_RETRY_AFTER_S = 0.1  # pause for a client whose time is over
DEFAULT_TARGET_FRACTION = 0.25  # latency target, as a share of the time left, where the route names none
RETRY_AFTER_SHARE = 0.3  # of the latency target: pause for a refused client, who then still has time for an answer


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """What X-Model names: a model and an adapter of it, as far as that is known for the service.

    Attributes:
        text: The header as received.
        name: The model.
        adapter: The adapter, empty where none is named.
        is_adapter_known: False where the text names something that no list or configuration does.
    """

    text: str = ""
    name: str = ""
    adapter: str = ""
    is_adapter_known: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The shared parts of a prompt.

    Attributes:
        parts: (id, tokens) of each shared part, as X-Prompt-Lead names them.
        chain: (hash of all parts up to this one, tokens of this one), in order.
        tokens: Of the whole prompt.
    """

    parts: tuple[tuple[str, int], ...] = ()
    chain: tuple[tuple[bytes, int], ...] = ()
    tokens: int = 0


NO_MODEL = Model()
NO_PROMPT = Prompt()


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """The time of a request.

    Attributes:
        deadline: On the loop's clock, in seconds: the client waits until then.
        latency_target_s: Seconds within which an answer has its full value.
    """

    deadline: float
    latency_target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The end of the chain.

    Attributes:
        status: Of the answer.
        retry_after_s: With 429 and 503: seconds after which the client may retry.
    """

    status: int
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class RequestFacts:
    """What the filters settled about one request; a later configuration may change route, tenant, service and model.

    Attributes:
        route: The route in force for it, None before it was found.
        tenant: Who sent it, None where no key is required.
        service: The service that the route picked.
        model: What X-Model names.
        prompt: Its shared parts.
        deadline: On the loop's clock, in seconds.
        latency_target_s: Seconds within which an answer has its full value.
        first_homes: Regions that were permitted when it arrived; they bind it to its end (design 10).
        is_counted: Whether it was counted against the tenant's quota.
    """

    route: route_table.Route | None = None
    tenant: tenant_directories.Tenant | None = None
    service: str = ""
    model: Model = NO_MODEL
    prompt: Prompt = NO_PROMPT
    deadline: float = 0.0
    latency_target_s: float = 0.0
    first_homes: tuple[str, ...] = ()
    is_counted: bool = False


def admit(
    *, request: http_request.Request, facts: RequestFacts, context: handler_context.HandlerContext
) -> Rejection | None:
    """Runs the filters.

    Args:
        request: The complete request.
        facts: Filled up to the filter that refuses.
        context: The proxy.

    Returns:
        None where the request is admitted, else the answer.
    """
    if not context.is_serving:
        return Rejection(status=503, retry_after_s=NOT_SERVING_RETRY_AFTER_S)
    route = find_route(request=request, routes=context.routes)
    if route is None:
        return Rejection(status=404)
    tenant = authenticate_tenant(request=request, route=route, context=context)
    if isinstance(tenant, Rejection):
        return tenant
    facts.route = route
    facts.tenant = tenant
    facts.first_homes = tuple(sorted(context.permitted(route=route, first_homes=(), tenant=tenant) or ()))
    pick_service(request=request, facts=facts, route=route, table=context.table)
    times = read_times(request=request, route=route)
    if isinstance(times, Rejection):
        return times
    facts.deadline, facts.latency_target_s = times.deadline, times.latency_target_s
    if context.loop.now() >= times.deadline:
        # Read late: the process was frozen, or the client sent slowly (test_after_a_freeze_…). No replica received it.
        return Rejection(status=503, retry_after_s=LATE_RETRY_AFTER_S)
    if not context.drain_window.may_accept(deadline=times.deadline):
        return Rejection(status=503, retry_after_s=DRAINING_RETRY_AFTER_S)
    if tenant is not None and tenant.limit is not None:
        facts.is_counted = context.quota_allowance.admit(tenant.key)
        if not facts.is_counted:
            return Rejection(status=429, retry_after_s=times.latency_target_s * RETRY_AFTER_SHARE)
    facts.prompt = read_prompt(request=request, model_text=facts.model.text, is_sticky=route.is_sticky)
    return None


def readmit(
    *,
    request: http_request.Request,
    facts: RequestFacts,
    route: route_table.Route,
    context: handler_context.HandlerContext,
) -> bool:
    """Applies a newer configuration to a request in progress; False if that refuses it.

    Args:
        request: The complete request.
        facts: Updated to the newer configuration, or unchanged.
        route: The newer configuration's route for it.
        context: The proxy.
    """
    tenant = authenticate_tenant(request=request, route=route, context=context)
    if isinstance(tenant, Rejection):
        return False  # its key was revoked meanwhile
    facts.tenant = tenant
    if not any(name == facts.service for name, _share in route.service_shares):
        pick_service(request=request, facts=facts, route=route, table=context.table)
    facts.route = route
    return True


def find_route(*, request: http_request.Request, routes: route_table.Routes) -> route_table.Route | None:
    """Returns the route by host and longest path prefix, None where there is none."""
    return routes.find(host=request.text(b"host"), target=request.target)


def authenticate_tenant(
    *, request: http_request.Request, route: route_table.Route, context: handler_context.HandlerContext
) -> tenant_directories.Tenant | Rejection | None:
    """Returns the tenant whose key the request has, None where no key is wanted, or why it is refused.

    More than one Authorization header counts as no key. A key that this proxy does not know is refused with 401 only
    where its configuration is fresh; else another node may know it (503, docs/keys.md).
    """
    tenant_directory = context.routes.tenant_directory
    if tenant_directory is None or route.is_keyless:
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
    *, request: http_request.Request, facts: RequestFacts, route: route_table.Route, table: replica_table.Table
) -> None:
    """Draws one of the route's services by their shares, and reads what X-Model means for it."""
    facts.service = route.pick(random.random())
    facts.model = read_model(text=request.text(b"x-model"), service=facts.service, table=table)


def read_times(*, request: http_request.Request, route: route_table.Route) -> Times | Rejection:
    """Returns the request's times: X-Time-Left-Ms within the route's bound. Refused where that is not a number."""
    left_s = route.timeout_s
    given = request.text(b"x-time-left-ms")
    if given:
        try:
            left_s = min(left_s, float(given) / 1000.0)
        except ValueError:
            return Rejection(status=400)
    return Times(
        deadline=request.begun_at + left_s, latency_target_s=route.target_s or left_s * DEFAULT_TARGET_FRACTION
    )


def read_model(*, text: str, service: str, table: replica_table.Table) -> Model:
    """Returns what X-Model names for this service."""
    name, adapter, is_known = table.resolve(service=service, text=text)
    return Model(text=text, name=name, adapter=adapter, is_adapter_known=is_known)


def parse_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Returns the parts of X-Prompt-Lead (`ID:TOKENS`, separated by commas); none where one of them is malformed."""
    rows = []
    for item in text.split(","):
        part, colon, tokens = item.strip().partition(":")
        if not colon or not tokens.isdigit():
            return ()
        rows.append((part, int(tokens)))
    return tuple(rows)


def read_prompt(*, request: http_request.Request, model_text: str, is_sticky: bool) -> Prompt:
    """Returns the prompt's parts and size. Routes without affinity use no parts."""
    first_count = request.text(b"x-token-count").split(",")[0].strip()
    tokens = int(first_count) if first_count.isdigit() else 0
    lead = request.text(b"x-prompt-lead")
    if not lead or not is_sticky:
        return Prompt(tokens=tokens)
    parts = parse_parts(lead)
    chain = cuckoo_filter.chain(model=model_text, parts=parts)
    return Prompt(parts=parts, chain=chain, tokens=max(tokens, sum(count for _part, count in parts)))
