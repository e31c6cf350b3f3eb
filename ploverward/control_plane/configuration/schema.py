"""The schema of an operator's configuration, and the rules between its parts (docs/orders.md 6).

Field names are those of the code; aliases are the names in the protocol, which also stand in the field paths of errors.
Unknown fields are allowed. A valid configuration is stored as the operator wrote it: the models here only validate and
are never written back.
"""

import collections.abc
import typing

import pydantic

from ploverward.common import errors

MAX_EDITION = 2**63 - 1  # the largest signed 64-bit integer


def _reject_text_and_booleans(value: object) -> object:
    """Rejects text and booleans, since pydantic would accept "5" and true as numbers."""
    if isinstance(value, (str, bool)):
        raise ValueError("not a number")  # noqa: TRY004 - pydantic reports a ValueError at its field
    return value


Integer = typing.Annotated[int, pydantic.BeforeValidator(_reject_text_and_booleans)]
Number = typing.Annotated[float, pydantic.BeforeValidator(_reject_text_and_booleans)]


BATCH_KIND = "batch"


def _accept_batch(value: object, check: pydantic.ValidatorFunctionWrapHandler) -> object:
    """Accepts the kind of batch routes; the error for other values, which is published, lists the kinds of requests."""
    return value if value == BATCH_KIND else check(value)


Kind = typing.Annotated[
    str,
    pydantic.Field(pattern=r"^(retry_safe|retry_unsafe|streaming)$"),
    pydantic.WrapValidator(_accept_batch),
]


class _OpenModel(pydantic.BaseModel):
    """Base class of models that allow unknown fields."""

    model_config = pydantic.ConfigDict(extra="allow")


class WeightedService(_OpenModel):
    """The weight of one service in a route's traffic split."""

    service: str = pydantic.Field(alias="destination")
    weight: Number = pydantic.Field(alias="share", ge=0)


class Route(_OpenModel):
    """A route: the requests that match it, the services that they are sent to, and how they are treated."""

    name: str = pydantic.Field(min_length=1)
    host: str = pydantic.Field(min_length=1)
    path_prefix: str = pydantic.Field(alias="pathLead", pattern=r"^/(.*/)?$")
    kind: Kind
    timeout_ms: Number = pydantic.Field(alias="expiryMs", gt=0)
    latency_target_ms: Number = pydantic.Field(alias="targetMs", default=0, ge=0)
    priority: Integer = pydantic.Field(alias="urgency", default=0)
    max_attempts: Integer = pydantic.Field(alias="tries", default=1, ge=1)
    has_session_affinity: bool = pydantic.Field(alias="sticky", default=False)
    is_anonymous: bool = pydantic.Field(alias="keyless", default=False)
    is_resumable: bool = pydantic.Field(alias="resume", default=False)
    token_gap_target_ms: Number = pydantic.Field(alias="gapTargetMs", default=0)
    home_regions: list[str] = pydantic.Field(alias="homeRegions", default=[])
    service: str | None = pydantic.Field(alias="destination", default=None)
    traffic_split: list[WeightedService] | None = pydantic.Field(alias="apportion", default=None)

    def weights(self) -> list[tuple[str, float]]:
        """Returns (service, weight) of each service of this route; empty if it names none."""
        if self.traffic_split is not None:
            return [(target.service, target.weight) for target in self.traffic_split]
        return [(self.service, 1.0)] if self.service else []


class Service(_OpenModel):
    """A service: interchangeable replicas, their health check and their limits."""

    name: str = pydantic.Field(min_length=1)
    health_check_path: str = pydantic.Field(alias="health", default="/health")
    max_connections: Integer = pydantic.Field(alias="maxConns", default=64, ge=1)
    slow_start_s: Number = pydantic.Field(alias="warmupS", default=0, ge=0)
    slow_start_per_s: Number = pydantic.Field(alias="warmupPerS", default=0, ge=0)


class Tenant(_OpenModel):
    """A tenant: its API keys and its rate limit."""

    name: str = pydantic.Field(min_length=1)
    api_keys: list[typing.Annotated[str, pydantic.Field(min_length=1)]] = pydantic.Field(alias="apiKeys", default=[])
    priority: Integer | None = pydantic.Field(alias="urgency", default=None)
    rate_per_s: Number = pydantic.Field(alias="perS", default=0, ge=0)
    burst: Number = pydantic.Field(default=0, ge=0)
    home_regions: list[str] = pydantic.Field(alias="homeRegions", default=[])


class Limits(_OpenModel):
    """Size limits and timeouts of client requests."""

    head_bytes: Integer = pydantic.Field(alias="labelBytes", default=16384, ge=256)
    body_bytes: Integer = pydantic.Field(alias="parcelBytes", default=4194304, ge=0)
    head_timeout_ms: Number = pydantic.Field(alias="labelMs", default=3000, gt=0)
    idle_timeout_ms: Number = pydantic.Field(alias="idleMs", default=15000, gt=0)


class Configuration(_OpenModel):
    """A complete configuration."""

    edition: Integer = pydantic.Field(ge=1, le=MAX_EDITION, strict=True)
    routes: list[Route]
    services: list[Service] = pydantic.Field(alias="destinations")
    limits: Limits = Limits()
    tenants: list[Tenant] | None = pydantic.Field(alias="senders", default=None)


Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


def validate(model: type[Model], body: dict[str, typing.Any]) -> Model:
    """Returns a JSON object as a pydantic model.

    Args:
        model: The class of the model.
        body: The JSON object.

    Raises:
        InvalidConfigurationError: The object does not match the model; the error names the first wrong field.
    """
    try:
        return model.model_validate(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field_path = ".".join(str(key) for key in first["loc"])
        raise errors.InvalidConfigurationError(first["msg"], field_path=field_path) from None


def check(*, body: dict[str, typing.Any]) -> Configuration:
    """Validates a complete configuration.

    Args:
        body: The configuration as the operator wrote it.

    Raises:
        InvalidConfigurationError: The configuration is not valid. No other exception leaves this function.
    """
    configuration = validate(Configuration, body)
    _check_services(configuration.services)
    _check_routes(configuration.routes, service_names={service.name for service in configuration.services})
    _check_tenants(configuration.tenants or ())
    return configuration


def _check_services(services: collections.abc.Iterable[Service]) -> None:
    names: set[str] = set()
    for index, service in enumerate(services):
        _add_name(names, service.name, field_path=f"destinations.{index}.name")


def _add_name(names: set[str], name: str, *, field_path: str) -> None:
    if name in names:
        raise errors.InvalidConfigurationError(f"'{name}' stands twice", field_path=field_path)
    names.add(name)


def _check_routes(routes: collections.abc.Iterable[Route], *, service_names: set[str]) -> None:
    """Checks that names and (host, path prefix) pairs are unique, services exist and no traffic split is all zeros."""
    names: set[str] = set()
    route_by_match: dict[tuple[str, str], str] = {}
    for index, route in enumerate(routes):
        field_path = f"routes.{index}"
        _add_name(names, route.name, field_path=f"{field_path}.name")
        match = (route.host.lower(), route.path_prefix)
        if match in route_by_match:
            text = f"same host and prefix as '{route_by_match[match]}'"
            raise errors.InvalidConfigurationError(text, field_path=f"{field_path}.pathLead")
        route_by_match[match] = route.name
        _check_weights(route.weights(), service_names=service_names, field_path=field_path)


def _check_weights(weights: list[tuple[str, float]], *, service_names: set[str], field_path: str) -> None:
    if not weights:
        raise errors.InvalidConfigurationError("no destination", field_path=f"{field_path}.destination")
    for name, _weight in weights:
        if name not in service_names:
            text = f"unknown destination '{name}'"
            raise errors.InvalidConfigurationError(text, field_path=f"{field_path}.destination")
    if sum(weight for _name, weight in weights) <= 0:
        raise errors.InvalidConfigurationError("the shares sum to 0", field_path=f"{field_path}.apportion")


def _check_tenants(tenants: collections.abc.Iterable[Tenant]) -> None:
    """Checks that names are unique and no two tenants share a key. The text of an error never contains a key."""
    names: set[str] = set()
    tenant_by_key: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        _add_name(names, tenant.name, field_path=f"senders.{index}.name")
        for key_index, key in enumerate(tenant.api_keys):
            owner = tenant_by_key.setdefault(key, tenant.name)
            if owner != tenant.name:
                text = f"the key is held by '{owner}' too"
                raise errors.InvalidConfigurationError(text, field_path=f"senders.{index}.apiKeys.{key_index}")
