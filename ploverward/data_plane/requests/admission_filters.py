"""What is settled about a request before any replica is chosen: readiness, route, time, prompt (design 7).

Each filter takes stated inputs; the first one that refuses ends the chain.
"""

import dataclasses

from ploverward.data_plane.quotas import tenant_admission
from ploverward.data_plane.relay import cuckoo_filter

NOT_SERVING_RETRY_AFTER_S = 0.5  # until the client may come back while this proxy serves nothing yet
DEFAULT_TARGET_FRACTION = 0.25  # of the route's time, where it names no aim


@dataclasses.dataclass(frozen=True)
class Model:
    """What X-Model names: a model, and an adapter of it, as far as that is known for the service."""

    text: str = ""
    name: str = ""
    adapter: str = ""
    is_adapter_known: bool = True


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The shared parts of a prompt, their hashes, and its tokens."""

    parts: tuple = ()
    chain: tuple = ()
    tokens: int = 0


NO_MODEL = Model()
NO_PROMPT = Prompt()


@dataclasses.dataclass(frozen=True)
class Times:
    """Until when the client waits, and within which time an answer earns its full worth."""

    deadline: float
    latency_target_s: float


@dataclasses.dataclass(frozen=True)
class Refused:
    """The end of the chain: a status, and with 503 the pause that the client is told."""

    status: int
    after_s: float = 0.0


def find_route(*, request, routes):
    return routes.find(host=request.text(b"host"), target=request.target)


def authenticate_tenant(*, request, route, proxy):
    """The tenant whose key the request bears, None where none is wanted, or Refused."""
    tenant_directory = proxy.routes.tenant_directory
    if tenant_directory is None or route.is_keyless:
        return None
    rows = [value for name, value in request.headers if name == b"authorization"]
    key = tenant_admission.key_of(rows[0]) if len(rows) == 1 else b""
    tenant = tenant_directory.find(key) if key else None
    verdict = proxy.credential_freshness.verdict(tenant=tenant, has_key=bool(key), age_s=proxy.configuration_age_s())
    if verdict is tenant_admission.Verdict.UNKNOWN:
        return Refused(status=401)
    if verdict is tenant_admission.Verdict.UNSURE:
        return Refused(status=503, after_s=proxy.failover_s)
    return tenant


def read_times(*, request, route):
    """Times, or Refused where the time left is not a number."""
    left_s = route.expiry_s
    given = request.text(b"x-time-left-ms")
    if given:
        try:
            left_s = min(left_s, float(given) / 1000.0)
        except ValueError:
            return Refused(status=400)
    return Times(
        deadline=request.begun_at + left_s, latency_target_s=route.target_s or left_s * DEFAULT_TARGET_FRACTION
    )


def read_model(*, text: str, service: str, table) -> Model:
    name, adapter, is_known = table.resolve(service=service, text=text)
    return Model(text=text, name=name, adapter=adapter, is_adapter_known=is_known)


def parse_parts(text: str) -> tuple:
    """X-Prompt-Lead: ID:TOKENS, by commas. Empty where it can't be read whole."""
    rows = []
    for item in text.split(","):
        part, colon, tokens = item.strip().partition(":")
        if not colon or not tokens.isdigit():
            return ()
        rows.append((part, int(tokens)))
    return tuple(rows)


def read_prompt(*, request, model_text: str, is_sticky: bool) -> Prompt:
    first_count = request.text(b"x-token-count").split(",")[0].strip()
    tokens = int(first_count) if first_count.isdigit() else 0
    lead = request.text(b"x-prompt-lead")
    if not lead or not is_sticky:
        return Prompt(tokens=tokens)
    parts = parse_parts(lead)
    chain = cuckoo_filter.chain(model=model_text, parts=parts)
    return Prompt(parts=parts, chain=chain, tokens=max(tokens, sum(count for _part, count in parts)))
